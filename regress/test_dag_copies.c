/* Copies of a task that is done, under the next leader. */
#include <check.h>
#include <stdlib.h>

#include "regress/lib_dag_world.h"

#define SECOND 1000000LL
#define MS 1000LL
#define N_SEEDS 40

static struct dag_world w;

static void open_world(void)
{
	dw_open(&w, 1);
}

static void close_world(void)
{
	dw_close(&w);
}

/* A job: its first step, of so many tasks, may have copies; the second one follows. */
static void submit_copied(uint64_t id, uint32_t count)
{
	u_int before = 0;
	struct dag_step st[2] = {
		{.count = count,
		 .cpu_milli = 1000,
		 .mem_mb = 100,
		 .estimate_ms = 500,
		 .speculative = true},
		{.count = 1, .cpu_milli = 1000, .mem_mb = 100, .estimate_ms = 500},
	};
	struct dag_job job = {.id = id};

	st[1].depends_on.depends_on_len = 1;
	st[1].depends_on.depends_on_val = &before;
	job.steps.steps_len = 2;
	job.steps.steps_val = st;
	dw_submit(&w, &job);
}

/*
 * Task 0 of job 1 has a run on worker 0, which is cut off, and gets a copy on worker 1.
 * orders_lost: the orders to that are lost from then on.
 */
static void copy_task(bool orders_lost)
{
	dw_add_workers(&w, 1);
	submit_copied(1, 1);
	dw_run_for(&w, 200 * MS);
	ck_assert_uint_eq(w.starts, 1);
	dw_add_workers(&w, 1);
	w.workers[0].cut = true;
	w.lost_permille = orders_lost ? 1000 : 0;
	while (dag_job_find_task(dag_state_find_job(w.state, 1), 0, 0, 0)->n_live < 2)
		dw_run_for(&w, 10 * MS);
}

/* Guards against a next leader that starts the copy of a task that is done. */
START_TEST(next_leader_starts_no_copy_of_a_done_task)
{
	w.work_us = 4 * SECOND;
	copy_task(true);
	w.workers[0].cut = false;
	while (!dag_job_find_task(dag_state_find_job(w.state, 1), 0, 0, 0)->done)
		dw_run_for(&w, 10 * MS);
	dw_run_for(&w, 1500 * MS);
	ck_assert_uint_eq(w.starts, 1);
	dw_change_leader(&w);
	w.lost_permille = 0;
	dw_run_for(&w, 20 * SECOND);
	dw_assert_sound(&w);
	ck_assert_uint_eq(w.starts, 2);
	ck_assert_int_eq(dw_state(&w, 1), DAG_JOB_COMPLETED);
}
END_TEST

/* Guards against a copy that runs on under the next leader although its task is done. */
START_TEST(next_leader_stops_the_copy_of_a_done_task)
{
	int64_t since_us;

	w.work_us = 10 * SECOND;
	copy_task(false);
	dw_run_for(&w, 50 * MS);
	ck_assert_uint_eq(w.starts, 2);
	w.workers[0].cut = false;
	w.lost_permille = 1000;
	while (!dag_job_find_task(dag_state_find_job(w.state, 1), 0, 0, 0)->done)
		dw_run_for(&w, 10 * MS);
	dw_change_leader(&w);
	w.lost_permille = 0;
	since_us = w.now_us;
	while (dag_job_find_task(dag_state_find_job(w.state, 1), 0, 0, 0)->n_live)
		dw_run_for(&w, 10 * MS);
	ck_assert_int_lt(w.now_us - since_us, SECOND);
	dw_run_for(&w, 20 * SECOND);
	dw_assert_sound(&w);
	ck_assert_int_eq(dw_state(&w, 1), DAG_JOB_COMPLETED);
}
END_TEST

/* Guards against the same in random histories of cuts, lost orders and new leaders. */
START_TEST(copies_of_done_tasks_stay_ended)
{
	w.prng.state = (uint64_t)_i + 1;
	w.work_us = SECOND;
	w.lost_permille = 200;
	dw_add_workers(&w, 6);
	for (uint64_t id = 1; id <= 20; id++) {
		submit_copied(id, 4);
		for (uint32_t k = 0; k < 6; k++)
			w.workers[k].cut = prng_below(&w.prng, 3) == 0;
		dw_run_for(&w, 200 * MS + (int64_t)prng_below(&w.prng, 1500 * MS));
		for (uint32_t k = 0; k < 6; k++)
			w.workers[k].cut = false;
		dw_run_for(&w, (int64_t)prng_below(&w.prng, 800 * MS));
		if (prng_below(&w.prng, 2))
			dw_change_leader(&w);
	}
	w.lost_permille = 0;
	dw_run_for(&w, 60 * SECOND);
	dw_assert_sound(&w);
	for (uint64_t id = 1; id <= 20; id++)
		ck_assert_int_eq(dw_state(&w, id), DAG_JOB_COMPLETED);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dag_copies");
	TCase *tc = tcase_create("dag_copies");
	SRunner *sr;
	int failed;

	tcase_set_timeout(tc, 60);
	tcase_add_checked_fixture(tc, open_world, close_world);
	tcase_add_test(tc, next_leader_starts_no_copy_of_a_done_task);
	tcase_add_test(tc, next_leader_stops_the_copy_of_a_done_task);
	tcase_add_loop_test(tc, copies_of_done_tasks_stay_ended, 0, N_SEEDS);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
