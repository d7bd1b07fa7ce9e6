/* Deadly tasks whose start requests get no answer although they are carried out. */
#include <check.h>
#include <stdlib.h>

#include "regress/lib_dag_world.h"

#define SECOND 1000000LL
#define MS 1000LL
#define N_SEEDS 60
#define N_WORKERS 10
#define DEADLY 1000 /* first job with deadly tasks */

static struct dag_world w;

static void open_world(void)
{
	dw_open(&w, 1);
}

static void close_world(void)
{
	dw_close(&w);
}

/* Guards against a deadly task that goes on since no start of it is ever answered. */
START_TEST(deadly_task_without_answers_is_given_up)
{
	w.crash_new_id = _i & 1;
	w.crash_return_us = (_i / 2 + 1) * SECOND;
	w.refuse_us = w.crash_return_us;
	w.mute_starts = true;
	w.deadly_job = DEADLY;
	w.deadly_jobs = 1;
	dw_add_workers(&w, N_WORKERS);
	for (uint64_t id = 1; id <= 12; id++)
		dw_submit_chain(&w, id, 2, 4);
	dw_submit_chain(&w, DEADLY, 1, 4);
	dw_run_for(&w, 90 * SECOND);
	dw_assert_sound(&w);
	ck_assert_int_eq(dw_state(&w, DEADLY), DAG_JOB_FAILED);
	for (uint64_t id = 1; id <= 12; id++)
		ck_assert_int_eq(dw_state(&w, id), DAG_JOB_COMPLETED);
}
END_TEST

/* Guards against a known deadly task that goes on since its later starts are not
 * answered.
 */
START_TEST(task_that_crashed_two_workers_needs_no_answers)
{
	w.crash_new_id = _i & 1;
	w.crash_return_us = 2 * SECOND;
	w.deadly_job = DEADLY;
	w.deadly_jobs = 1;
	dw_add_workers(&w, N_WORKERS);
	dw_submit_chain(&w, DEADLY, 1, 1);
	while (w.crashes < 2)
		dw_run_for(&w, MS);
	w.mute_starts = true;
	dw_run_for(&w, 60 * SECOND);
	dw_assert_sound(&w);
	ck_assert_int_eq(dw_state(&w, DEADLY), DAG_JOB_FAILED);
}
END_TEST

/* Guards against deadly tasks that go on beside starts that are lost or come late. */
START_TEST(late_starts_hide_no_deadly_task)
{
	w.prng.state = (uint64_t)_i + 1;
	w.crash_new_id = _i & 1;
	w.crash_return_us = SECOND / 4 + (int64_t)prng_below(&w.prng, 3 * SECOND);
	w.crash_delay_us = (int64_t)prng_below(&w.prng, SECOND / 10);
	w.refuse_us = w.crash_return_us;
	w.late_permille = 150;
	w.lost_permille = 50;
	w.deadly_job = DEADLY;
	w.deadly_jobs = 3;
	dw_add_workers(&w, N_WORKERS);
	for (uint64_t id = 1; id <= 20; id++) {
		dw_submit_chain(&w, id, 2, 4);
		if (id <= w.deadly_jobs)
			dw_submit_chain(&w, DEADLY + id - 1, 1, 3);
		dw_run_for(&w, SECOND);
	}
	dw_run_for(&w, 120 * SECOND);
	dw_assert_sound(&w);
	for (uint64_t id = DEADLY; id < DEADLY + w.deadly_jobs; id++)
		ck_assert_int_eq(dw_state(&w, id), DAG_JOB_FAILED);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dag_deadly");
	TCase *tc = tcase_create("dag_deadly");
	SRunner *sr;
	int failed;

	tcase_set_timeout(tc, 60);
	tcase_add_checked_fixture(tc, open_world, close_world);
	tcase_add_loop_test(tc, deadly_task_without_answers_is_given_up, 0, 6);
	tcase_add_loop_test(tc, task_that_crashed_two_workers_needs_no_answers, 0, 2);
	tcase_add_loop_test(tc, late_starts_hide_no_deadly_task, 0, N_SEEDS);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
