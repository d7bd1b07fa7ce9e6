/* Lists of a worker that cannot hold all of its ends. */
#include <check.h>
#include <stdlib.h>

#include "regress/lib_dag_world.h"

#define SECOND 1000000LL
#define MS 1000LL
#define LIST_MAX 8U
#define WIDE_JOBS 5U
#define WIDE_COUNT 6U

static struct dag_world w;

static void open_world(void)
{
	dw_open(&w, 1);
}

static void close_world(void)
{
	dw_close(&w);
}

/* Tasks of a worker that is cut off end; their ends do not fit into one list. */
static uint32_t end_many_while_cut_off(void)
{
	uint32_t number = dw_add_worker(&w, 32000, 32000);

	w.list_max = LIST_MAX;
	dw_run_for(&w, SECOND);
	for (uint64_t id = 1; id <= WIDE_JOBS; id++)
		dw_submit_chain(&w, id, 1, WIDE_COUNT);
	dw_run_for(&w, 100 * MS);
	w.workers[number].cut = true;
	dw_add_worker(&w, 32000, 32000);
	dw_run_for(&w, 2 * SECOND);
	ck_assert_uint_eq(w.workers[number].n_ends, WIDE_JOBS * WIDE_COUNT);
	return number;
}

/* Guards against a second run of tasks whose ends are behind those that a list holds. */
START_TEST(run_whose_end_was_cut_off_is_not_lost)
{
	uint32_t number = end_many_while_cut_off();

	if (_i == 1)
		dw_change_leader(&w);
	if (_i == 2)
		dw_cancel(&w, 1);
	if (_i == 3)
		w.commit_us = 150 * MS;
	w.workers[number].cut = false;
	dw_run_for(&w, 5 * SECOND);
	dw_assert_sound(&w);
	ck_assert_uint_eq(w.starts, WIDE_JOBS * WIDE_COUNT);
	ck_assert_uint_eq(w.workers[number].n_ends, 0);
	for (uint64_t id = 2; id <= WIDE_JOBS; id++)
		ck_assert_int_eq(dw_state(&w, id), DAG_JOB_COMPLETED);
}
END_TEST

/* Guards against a list that never ends, so that a run that is gone stays for ever. */
START_TEST(run_that_is_gone_is_found_after_the_last_end)
{
	uint32_t number = end_many_while_cut_off();

	dw_submit_lasting(&w, 90, 1);
	w.workers[number].cut = false;
	dw_run_for(&w, 5 * SECOND);
	ck_assert_uint_eq(dw_alive(&w, 90), 1);
	dw_assert_sound(&w);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dag_list");
	TCase *tc = tcase_create("dag_list");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(tc, 120);
	tcase_add_checked_fixture(tc, open_world, close_world);
	tcase_add_loop_test(tc, run_whose_end_was_cut_off_is_not_lost, 0, 4);
	tcase_add_test(tc, run_that_is_gone_is_found_after_the_last_end);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
