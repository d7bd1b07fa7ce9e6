/* The number of jobs that wait: of those of which no worker has begun a task. */
#include <check.h>
#include <stdlib.h>

#include "regress/lib_dag_world.h"

#define SECOND 1000000LL
#define MS 1000LL
#define JOBS 10U

static struct dag_world w;

static void open_world(void)
{
	dw_open(&w, 1);
}

static void close_world(void)
{
	dw_close(&w);
}

static uint32_t waiting(void)
{
	return dw_count_waiting(w.state, STR("q"));
}

/* State of a job, and whether it waits, after a snapshot was taken and restored. */
static void assert_in_snapshot(uint32_t n)
{
	struct buf image = {0};
	struct dag_state *copy;

	ck_assert_int_eq(dag_state_new(&copy), 0);
	ck_assert_int_eq(dag_state_snapshot(w.state, &image), 0);
	ck_assert_int_eq(dag_state_restore(copy, buf_str(&image)), 0);
	ck_assert_uint_eq(dw_count_waiting(copy, STR("q")), n);
	buf_free(&image);
	dag_state_free(copy);
}

/*
 * Guards against jobs that are said to have started though their start requests were
 * refused (_i 0), got lost (1) or were not sent, as the worker was cut off (2).
 */
START_TEST(job_waits_until_a_worker_has_begun_a_task)
{
	uint32_t number = dw_add_worker(&w, 32000, 32000);

	dw_run_for(&w, SECOND);
	w.workers[number].refuses = _i == 0;
	w.lost_permille = _i == 1 ? 1000 : 0;
	w.workers[number].cut = _i == 2;
	for (uint64_t id = 1; id <= JOBS; id++)
		dw_submit_chain(&w, id, 1, 1);
	for (int i = 0; i < 50; i++) {
		dw_run_for(&w, 100 * MS);
		ck_assert_uint_eq(waiting(), JOBS);
		ck_assert_int_eq(dw_state(&w, 1), DAG_JOB_QUEUED);
		if (i == 25)
			dw_change_leader(&w);
	}
	assert_in_snapshot(JOBS);
	w.workers[number].refuses = false;
	w.lost_permille = 0;
	w.workers[number].cut = false;
	dw_run_for(&w, 30 * SECOND);
	ck_assert_uint_eq(waiting(), 0);
	ck_assert_int_eq(dw_state(&w, 1), DAG_JOB_COMPLETED);
	dw_assert_sound(&w);
}
END_TEST

/* Guards against jobs that wait again once a worker has begun one of their tasks. */
START_TEST(job_that_has_begun_does_not_wait)
{
	uint32_t number = dw_add_worker(&w, 32000, 32000);

	w.work_us = 20 * SECOND;
	dw_run_for(&w, SECOND);
	for (uint64_t id = 1; id <= JOBS; id++)
		dw_submit_chain(&w, id, 1, 2);
	dw_run_for(&w, SECOND);
	ck_assert_uint_eq(waiting(), 0);
	ck_assert_int_eq(dw_state(&w, 1), DAG_JOB_RUNNING);
	assert_in_snapshot(0);
	if (_i == 0)
		dw_change_leader(&w);
	else
		dw_crash_for(&w, number, 3 * SECOND, _i == 2);
	for (int i = 0; i < 50; i++) {
		dw_run_for(&w, 100 * MS);
		ck_assert_uint_eq(waiting(), 0);
	}
	dw_assert_sound(&w);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dag_waiting");
	TCase *tc = tcase_create("dag_waiting");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(tc, 120);
	tcase_add_checked_fixture(tc, open_world, close_world);
	tcase_add_loop_test(tc, job_waits_until_a_worker_has_begun_a_task, 0, 3);
	tcase_add_loop_test(tc, job_that_has_begun_does_not_wait, 0, 3);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
