/* Cuts of workers in series, each longer than a lease, with and without deadly tasks. */
#include <check.h>
#include <stdlib.h>

#include "regress/lib_dag_world.h"

#define SECOND 1000000LL
#define MS 1000LL
#define N_SEEDS 40
#define N_BEATS 8
#define N_WORKERS 8
#define DEADLY 1000 /* first job with deadly tasks */

static struct dag_world w;

static void open_world(void)
{
	dw_open(&w, 1);
	w.crash_return_us = 3 * SECOND;
}

static void close_world(void)
{
	dw_close(&w);
}

static int64_t draw_us(int64_t min_us, int64_t max_us)
{
	return min_us + (int64_t)prng_below(&w.prng, (uint64_t)(max_us - min_us));
}

static void cut_workers(uint32_t percent, bool cut)
{
	for (uint32_t k = 0; k < N_WORKERS; k++)
		w.workers[k].cut = cut && prng_below(&w.prng, 100) < percent;
}

/*
 * One cut of a part of the workers, and a gap after it, which is so short that all runs
 * are young when the next cut begins. change: the leader changes within the cut.
 */
static void beat(uint32_t percent, bool change)
{
	int64_t cut_us = draw_us(9 * SECOND, 14 * SECOND);

	cut_workers(percent, true);
	dw_run_for(&w, cut_us / 2);
	if (change)
		dw_change_leader(&w);
	dw_run_for(&w, cut_us / 2);
	cut_workers(0, false);
	dw_run_for(&w, draw_us(300 * MS, 2500 * MS));
}

static void submit_gang(uint64_t id)
{
	struct dag_step st = {.count = 4,
			      .cpu_milli = 1000,
			      .mem_mb = 100,
			      .estimate_ms = 500,
			      .gang = true};

	dw_submit_step(&w, id, &st);
}

static void assert_no_job_failed(uint64_t first, uint64_t n)
{
	for (uint64_t id = first; id < first + n; id++)
		ck_assert_msg(dw_state(&w, id) == DAG_JOB_COMPLETED, "job %llu: %d",
			      (unsigned long long)id, dw_state(&w, id));
}

/* Guards against work that is given up since cuts followed its starts, again and again.
 */
START_TEST(cuts_soon_after_starts_give_nothing_up)
{
	uint32_t percent = _i & 2 ? 100 : 50 + (uint32_t)_i;

	w.prng.state = (uint64_t)_i + 1;
	w.work_us = 20 * SECOND;
	w.late_permille = _i & 4 ? 30 : 0;
	dw_add_workers(&w, N_WORKERS);
	for (uint64_t id = 1; id <= 4; id++)
		dw_submit_chain(&w, id, 1, 2);
	submit_gang(5);
	dw_submit_lasting(&w, 500, 6);
	dw_run_for(&w, draw_us(300 * MS, 2 * SECOND));
	for (int i = 0; i < N_BEATS; i++)
		beat(percent, _i & 1);
	dw_run_for(&w, 90 * SECOND);
	dw_assert_sound(&w);
	assert_no_job_failed(1, 5);
	ck_assert_int_ne(dw_state(&w, 500), DAG_JOB_FAILED);
	ck_assert_uint_eq(dw_alive(&w, 500), 6);
}
END_TEST

/* Guards against a deadly task that goes on since cuts hide the crashes under it. */
START_TEST(cuts_hide_no_deadly_task)
{
	w.prng.state = (uint64_t)_i + 1;
	w.work_us = 2 * SECOND;
	w.crash_new_id = _i & 1;
	w.crash_return_us = (_i % 4 + 1) * 3 * SECOND;
	w.crash_delay_us = draw_us(0, SECOND);
	w.deadly_job = DEADLY;
	w.deadly_jobs = 2;
	dw_add_workers(&w, N_WORKERS);
	for (uint64_t id = 1; id <= 4; id++)
		dw_submit_chain(&w, id, 1, 2);
	dw_submit_chain(&w, DEADLY, 1, 2);
	dw_submit_lasting(&w, DEADLY + 1, 2);
	dw_run_for(&w, draw_us(300 * MS, 4 * SECOND));
	for (int i = 0; i < N_BEATS; i++) {
		beat(30 + (uint32_t)_i, _i & 2);
		dw_run_for(&w, draw_us(0, 6 * SECOND));
	}
	dw_run_for(&w, 120 * SECOND);
	dw_assert_sound(&w);
	assert_no_job_failed(1, 4);
	for (uint64_t id = DEADLY; id < DEADLY + 2; id++)
		ck_assert_int_eq(dw_state(&w, id), DAG_JOB_FAILED);
}
END_TEST

/* Cuts off the worker of the only run, soon after its start, and waits for its lease. */
static void lose_run(uint32_t starts)
{
	while (w.starts < starts)
		dw_run_for(&w, SECOND / 20);
	for (uint32_t k = 0; k < N_WORKERS; k++)
		for (uint32_t i = 0; i < DW_RUNS; i++)
			if (w.workers[k].runs[i].used)
				w.workers[k].cut = true;
	dw_run_for(&w, 11 * SECOND);
}

/* A job of one task, of which four runs were lost soon after they began. */
static void submit_and_lose_four_runs(void)
{
	w.work_us = 2 * SECOND;
	dw_add_workers(&w, N_WORKERS);
	dw_submit_chain(&w, 1, 1, 1);
	for (uint32_t i = 1; i <= DAG_CRASHES_MAX; i++)
		lose_run(i);
}

static const struct dag_task *only_task(const struct dag_state *s)
{
	return dag_job_find_task(dag_state_find_job(s, 1), 0, 0, 0);
}

/* Guards against a start too many of a task that may have crashed four workers. */
START_TEST(doubted_task_waits_for_its_workers)
{
	submit_and_lose_four_runs();
	if (_i & 1)
		dw_change_leader(&w);
	dw_run_for(&w, 5 * SECOND);
	ck_assert_uint_eq(only_task(w.state)->n_suspected, DAG_CRASHES_MAX);
	ck_assert_uint_eq(w.starts, DAG_CRASHES_MAX);
	cut_workers(0, false);
	dw_run_for(&w, 5 * SECOND);
	dw_assert_sound(&w);
	assert_no_job_failed(1, 1);
}
END_TEST

/* Guards against a deadly task that counts as sound for the time until it was begun. */
START_TEST(late_start_is_no_long_run)
{
	w.crash_return_us = (_i & 2 ? 7 : 20) * SECOND;
	w.deadly_job = 1;
	w.deadly_jobs = 1;
	dw_add_workers(&w, N_WORKERS);
	dw_submit_lasting(&w, 1, 1);
	dw_run_for(&w, SECOND);
	while (only_task(w.state)->last_run < 3)
		dw_run_for(&w, 5 * MS);
	ck_assert_uint_eq(w.starts, 2);
	/* The start request is lost; a later leader repeats it after the cut. */
	for (uint32_t k = 0; k < N_WORKERS; k++)
		w.workers[k].cut = true;
	dw_run_for(&w, 4 * SECOND);
	dw_change_leader(&w);
	dw_run_for(&w, 6 * SECOND);
	cut_workers(0, false);
	while (w.starts < 3)
		dw_run_for(&w, 5 * MS);
	dw_run_for(&w, 5 * SECOND);
	if (_i & 1)
		dw_change_leader(&w);
	while (only_task(w.state)->n_live)
		dw_run_for(&w, 5 * MS);
	ck_assert_uint_eq(only_task(w.state)->crashes + only_task(w.state)->n_suspected,
			  3);
}
END_TEST

/* A replica that has its state from a snapshot becomes the leader. */
static void lead_from_snapshot(void)
{
	struct dag_state *old = w.state;
	struct buf image = {0};

	ck_assert_int_eq(dag_state_snapshot(old, &image), 0);
	ck_assert_int_eq(dag_state_new(&w.state), 0);
	w.state->clock_us = w.now_us;
	ck_assert_int_eq(dag_state_restore(w.state, buf_str(&image)), 0);
	buf_free(&image);
	dag_sched_free(w.sched);
	w.sched = NULL;
	dag_state_free(old);
	dw_change_leader(&w);
}

/* Guards against a deadly task that counts as sound as its start is not known. */
START_TEST(unknown_start_is_no_long_run)
{
	w.crash_return_us = 20 * SECOND;
	w.deadly_job = 1;
	w.deadly_jobs = 1;
	dw_add_workers(&w, N_WORKERS);
	dw_submit_lasting(&w, 1, 1);
	while (w.starts < 3)
		dw_run_for(&w, 5 * MS);
	dw_run_for(&w, (_i & 1 ? 5 : 0) * SECOND + 100 * MS);
	lead_from_snapshot();
	while (only_task(w.state)->n_live)
		dw_run_for(&w, 5 * MS);
	ck_assert_uint_eq(only_task(w.state)->crashes + only_task(w.state)->n_suspected,
			  3);
}
END_TEST

/* Guards against a task that waits for good, as the workers of its runs never return. */
START_TEST(doubted_task_waits_for_a_limited_time)
{
	submit_and_lose_four_runs();
	dw_run_for(&w, 40 * SECOND);
	dw_assert_sound(&w);
	assert_no_job_failed(1, 1);
}
END_TEST

/* Guards against a snapshot that forgets which runs may have crashed their workers. */
START_TEST(snapshot_keeps_the_doubts)
{
	struct dag_state *copy;

	submit_and_lose_four_runs();
	copy = dw_copy_of_state(&w);
	ck_assert_uint_eq(only_task(copy)->n_suspected, DAG_CRASHES_MAX);
	ck_assert(dag_task_is_held(only_task(copy)));
	dag_state_free(copy);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dag_beats");
	TCase *tc = tcase_create("dag_beats");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(tc, 120);
	tcase_add_checked_fixture(tc, open_world, close_world);
	tcase_add_loop_test(tc, cuts_soon_after_starts_give_nothing_up, 0, N_SEEDS);
	tcase_add_loop_test(tc, cuts_hide_no_deadly_task, 0, N_SEEDS);
	tcase_add_loop_test(tc, doubted_task_waits_for_its_workers, 0, 2);
	tcase_add_loop_test(tc, late_start_is_no_long_run, 0, 4);
	tcase_add_loop_test(tc, unknown_start_is_no_long_run, 0, 2);
	tcase_add_test(tc, doubted_task_waits_for_a_limited_time);
	tcase_add_test(tc, snapshot_keeps_the_doubts);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
