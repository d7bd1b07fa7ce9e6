/* Fillers whose speed was set by commands that this leader did not send, or that were
 * lost.
 */
#include <check.h>
#include <stdlib.h>

#include "regress/lib_dag_world.h"

#define SECOND 1000000LL
#define MS 1000LL

static struct dag_world w;

static void open_world(void)
{
	dw_open(&w, 1);
}

static void close_world(void)
{
	dw_close(&w);
}

/* Two serving tasks, and two fillers beside them. */
static void start_two_fillers(void)
{
	struct dag_step st = {.count = 2,
			      .cpu_milli = 2000,
			      .mem_mb = 100,
			      .estimate_ms = 500,
			      .filler = true};

	dw_add_workers(&w, 1);
	dw_submit_lasting(&w, 1, 2);
	w.work_us = 60 * SECOND;
	dw_run_for(&w, 1 * SECOND);
	w.workers[0].tail_ms = 20;
	dw_submit_step(&w, 2, &st);
	dw_run_for(&w, 8 * SECOND);
	ck_assert_uint_eq(dw_alive(&w, 2), 2);
}

static void pause_two_fillers(void)
{
	start_two_fillers();
	w.workers[0].tail_ms = 200;
	dw_run_for(&w, 4 * SECOND);
	ck_assert_uint_eq(dw_alive(&w, 2), 2);
}

/* Both fillers were started once and run again. */
static void assert_resumed(uint32_t starts)
{
	const struct dw_run *runs = w.workers[0].runs;

	dw_assert_sound(&w);
	ck_assert_uint_eq(w.starts, starts);
	ck_assert_uint_eq(dw_alive(&w, 2), 2);
	for (size_t i = 0; i < DW_RUNS; i++)
		if (runs[i].used && runs[i].filler)
			ck_assert_uint_gt(runs[i].pace, 50);
}

/* Guards against a new leader that takes fillers that its predecessor paused for stalled.
 */
START_TEST(paused_filler_is_no_stall_for_a_new_leader)
{
	uint32_t starts;

	pause_two_fillers();
	starts = w.starts;
	dw_change_leader(&w);
	w.workers[0].tail_ms = 15;
	dw_run_for(&w, 6 * SECOND);
	assert_resumed(starts);
}
END_TEST

/* Guards against a filler that is taken for stalled as the command that ends its pause
 * was lost.
 */
START_TEST(lost_end_of_a_pause_is_no_stall)
{
	uint32_t starts;

	pause_two_fillers();
	starts = w.starts;
	w.lost_permille = 1000;
	w.workers[0].tail_ms = 15;
	dw_run_for(&w, 2 * SECOND);
	w.lost_permille = 0;
	dw_run_for(&w, 6 * SECOND);
	assert_resumed(starts);
}
END_TEST

/* Guards against a filler that works on beside a task above its target, as the command
 * that pauses it was lost.
 */
START_TEST(lost_pause_is_repeated)
{
	const struct dw_run *runs = w.workers[0].runs;

	start_two_fillers();
	w.lost_permille = 1000;
	w.workers[0].tail_ms = 200;
	dw_run_for(&w, 3 * SECOND);
	w.lost_permille = 0;
	dw_run_for(&w, 2 * SECOND);
	dw_assert_sound(&w);
	ck_assert_uint_eq(dw_alive(&w, 2), 2);
	for (size_t i = 0; i < DW_RUNS; i++)
		if (runs[i].used && runs[i].filler)
			ck_assert_uint_lt(runs[i].pace, 20);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dag_pace");
	TCase *tc = tcase_create("dag_pace");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(tc, 60);
	tcase_add_checked_fixture(tc, open_world, close_world);
	tcase_add_test(tc, paused_filler_is_no_stall_for_a_new_leader);
	tcase_add_test(tc, lost_end_of_a_pause_is_no_stall);
	tcase_add_test(tc, lost_pause_is_repeated);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
