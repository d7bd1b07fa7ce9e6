/* Cases of test_dag_life that are open; see KNOWN-RED.txt. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

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

	dw_run_for(&w, SECOND);
	dw_submit_chain(&w, 1, 1, 1);
	w.hold_us = 3 * SECOND;
	dw_run_for(&w, 40 * MS);
	w.hold_us = 0;
	dw_run_for(&w, 2800 * MS);
	ck_assert_int_eq(dw_state(&w, 1), DAG_JOB_COMPLETED);
	w.workers[number].quiet_until_us = w.now_us + SECOND;
	dw_crash_for(&w, number, 175 * MS + _i * 5 * MS, false);
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

/* As the leader records an announced exit. */
static void record_exit(uint32_t record)
{
	struct dag_command c = {.kind = DAG_CMD_WORKER};

	dag_sched_worker_leaving(w.sched, record, w.now_us);
	c.dag_command_u.worker = dag_state_find_worker(w.state, record)->w;
	c.dag_command_u.worker.state = DAG_WORKER_GONE;
	ck_assert_int_eq(w.host.ops->propose(&w.host, &c), 0);
}

/*
 * Guards against runs that count as over when a worker announces its exit in a cut, as an
 * earlier life of it had left under an earlier leader. _i 0: it had not; 2: it had not,
 * and the cut refuses connections.
 */
START_TEST(exit_in_a_cut_after_an_earlier_exit_ends_no_runs)
{
	uint32_t number = dw_add_worker(&w, 8000, 8000);

	w.work_us = 60 * SECOND;
	dw_submit_chain(&w, 1, 1, 2);
	dw_run_for(&w, 2 * SECOND);
	ck_assert_uint_eq(w.starts, 2);
	w.cut_refuses = _i == 2;
	if (_i == 1) {
		w.refuse_us = 0;
		record_exit(1);
		dw_run_for(&w, 50 * MS);
		dw_crash_for(&w, number, 600 * MS, false);
		dw_change_leader(&w);
		dw_run_for(&w, 6 * SECOND);
		/* Its next life has the tasks. */
		ck_assert_uint_eq(w.starts, 4);
	}
	dw_add_worker(&w, 8000, 8000);
	dw_run_for(&w, 2 * SECOND);
	w.workers[number].cut = true;
	record_exit(1);
	dw_run_for(&w, 2400 * MS);
	w.workers[number].cut = false;
	dw_run_for(&w, 1600 * MS);
	dw_crash_worker(&w, number, false);
	dw_run_for(&w, 20 * SECOND);
	dw_assert_sound(&w);
}
END_TEST

/*
 * Guards against lasting tasks of a worker that has left, and whose machine refuses polls
 * for 0.5 s, that wait for its lease. _i 0: polls come at once; 1: the way to its gateway
 * was lost with it, which shows after 1.2 s; 2: ends are recorded 0.7 s later.
 */
START_TEST(tasks_of_a_worker_that_left_do_not_wait_for_its_lease)
{
	uint32_t number = dw_add_worker(&w, 8000, 8000);

	w.refuse_us = 500 * MS;
	dw_run_for(&w, SECOND);
	dw_submit_lasting(&w, 1, 2);
	if (_i == 2) {
		w.work_us = 2 * SECOND;
		dw_submit_chain(&w, 2, 1, 1);
	}
	dw_run_for(&w, SECOND);
	dw_add_worker(&w, 16000, 16000);
	dw_run_for(&w, 500 * MS);
	if (_i == 2) {
		w.commit_us = 900 * MS;
		while (!w.workers[number].n_ends)
			dw_run_for(&w, MS);
		dw_run_for(&w, 30 * MS);
	}
	record_exit(1);
	dw_run_for(&w, 20 * MS);
	if (_i == 1) {
		/* The answer to the poll in flight is lost, and so is the next one. */
		w.workers[number].reset_us = 1200 * MS;
	}
	dw_crash_worker(&w, number, false);
	w.workers[number].refuses_until_us = w.now_us + w.refuse_us;
	dw_run_for(&w, 1500 * MS);
	w.commit_us = 8 * MS;
	dw_run_for(&w, 4500 * MS);
	dw_assert_sound(&w);
	ck_assert(!dag_state_find_worker(w.state, 1) ||
		  dag_state_find_worker(w.state, 1)->n_runs == 0);
}
END_TEST

/*
 * Guards against a worker that has left and that a late report brings back for good. _i
 * 0: its exit was recorded before polls failed; 1: the two came together.
 */
START_TEST(late_report_of_a_worker_that_left_adds_none)
{
	uint32_t number = dw_add_worker(&w, 8000, 8000);
	struct dag_report r = {0};
	struct dag_command c = {.kind = DAG_CMD_WORKER};

	w.refuse_us = 500 * MS;
	dw_run_for(&w, SECOND);
	dw_submit_lasting(&w, 1, 2);
	dw_run_for(&w, SECOND);
	ck_assert_uint_eq(w.starts, 2);
	dw_add_worker(&w, 16000, 16000);
	dw_run_for(&w, SECOND);
	r.worker = dag_state_find_worker(w.state, 1)->w;
	r.worker.id.id_val = strdup(w.workers[number].id);
	r.worker.address.address_val = strdup(r.worker.address.address_val);
	r.clock_ms = 1000;
	w.commit_us = 30 * MS;
	record_exit(1);
	dw_run_for(&w, _i ? MS : 40 * MS);
	dw_crash_worker(&w, number, false);
	dw_run_for(&w, SECOND);
	if (dag_sched_report(w.sched, &r, w.now_us, &c.dag_command_u.worker))
		ck_assert_int_eq(w.host.ops->propose(&w.host, &c), 0);
	dw_run_for(&w, 30 * SECOND);
	for (uint32_t i = 3; i < 6; i++)
		ck_assert_ptr_null(dag_state_find_worker(w.state, i));
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
	tcase_add_loop_test(tc, exit_in_a_cut_after_an_earlier_exit_ends_no_runs, 0, 3);
	tcase_add_loop_test(tc, tasks_of_a_worker_that_left_do_not_wait_for_its_lease, 0,
			    3);
	tcase_add_loop_test(tc, late_report_of_a_worker_that_left_adds_none, 0, 2);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
