/* Cases of test_dag_life that are open; see KNOWN-RED.txt. */
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

/*
 * Guards against a start request without an answer that reaches a worker's next life
 * before the leader knows of it, after its repetition has run to its end. _i: when the
 * worker starts again, in steps of 5 ms.
 */
START_TEST(late_start_before_any_other_call_is_refused)
{
	uint32_t number = dw_add_worker(&w, 8000, 8000);

	dw_restart_before_a_late_start(&w, number, 175 * MS + _i * 5 * MS);
	dw_run_for(&w, 10 * SECOND);
	dw_assert_sound(&w);
}
END_TEST

/*
 * Guards against an acknowledgement that reaches the next life of a worker that starts
 * again and ends a task within 100 ms of its last list.
 */
START_TEST(acknowledgement_after_a_quick_restart_is_refused)
{
	uint32_t number = dw_add_worker(&w, 8000, 8000);

	dw_run_for(&w, SECOND);
	dw_submit_chain(&w, 1, 4, 8);
	dw_run_for(&w, 10 * SECOND);
	w.work_us = 100 * MS;
	dw_submit_chain(&w, 2, 1, 1);
	dw_run_for(&w, 60 * MS);
	w.commit_us = 80 * MS;
	while (w.workers[number].n_ends == 0)
		dw_run_for(&w, 5 * MS);
	dw_run_for(&w, 5 * MS);
	w.work_us = 20 * MS;
	w.commit_us = 8 * MS;
	dw_restart_silently(&w, number);
	dw_submit_chain(&w, 3, 1, 1);
	dw_run_for(&w, 10 * SECOND);
	dw_assert_sound(&w);
}
END_TEST

/* Guards against a failure that is listed after the next run has begun, and not counted.
 */
START_TEST(late_failure_beside_a_successor_counts)
{
	uint32_t cut = dw_add_worker(&w, 8000, 8000);

	w.work_us = 30 * SECOND;
	dw_submit_chain(&w, 1, 1, 1);
	for (int i = 0; i < 2; i++) {
		dw_run_for(&w, 2 * SECOND);
		w.workers[cut].cut = true;
		w.workers[cut].fails = true;
		dw_add_worker(&w, 8000, 8000);
		dw_run_for(&w, 14 * SECOND);
		w.workers[cut].cut = false;
		w.workers[cut].fails = false;
		cut = (uint32_t)w.n_workers - 1;
	}
	dw_run_for(&w, 40 * SECOND);
	dw_assert_sound(&w);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dag_life_open");
	TCase *tc = tcase_create("dag_life_open");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(tc, 60);
	tcase_add_checked_fixture(tc, open_world, close_world);
	tcase_add_loop_test(tc, late_start_before_any_other_call_is_refused, 0, 3);
	tcase_add_test(tc, acknowledgement_after_a_quick_restart_is_refused);
	tcase_add_test(tc, late_failure_beside_a_successor_counts);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
