/* Reports and announcements of other writers: they end nothing and use up nothing. */
#include <check.h>
#include <stdlib.h>

#include "proto/codec.h"
#include "regress/lib_dag_world.h"

#define SECOND 1000000LL
#define MS 1000LL
#define HOUR_MS (3600LL * 1000)
#define TASKS 3U

static struct dag_world w;

static void open_world(void)
{
	dw_open(&w, 1);
	w.refuse_us = 100 * MS;
}

static void close_world(void)
{
	dw_close(&w);
}

/* What the report of the executor under a record says, as of now. */
static struct dag_report report_of(uint32_t number)
{
	struct dag_report r = {.clock_ms = dw_wall_ms(&w) - w.workers[number].born_ms};

	r.worker.born_ms = w.workers[number].born_ms;
	r.worker.cpu_milli = w.workers[number].room.cpu;
	r.worker.mem_mb = w.workers[number].room.mem;
	XDR_SET(r.worker, id, str_from(w.workers[number].id));
	XDR_SET(r.worker, address, str_from(w.workers[number].address));
	XDR_SET(r.worker, service, STR("svc"));
	XDR_SET(r.worker, zone, STR("z"));
	return r;
}

static void take(const struct dag_report *r)
{
	struct dag_command c = {.kind = DAG_CMD_WORKER};

	if (dag_sched_report(w.sched, r, w.now_us, &c.dag_command_u.worker))
		ck_assert_int_eq(w.host.ops->propose(&w.host, &c), 0);
}

enum foreign {
	FOREIGN_SERVICE,       /* own id, the address at work, a service of no config */
	FOREIGN_ADDRESS,       /* own id, the address at work */
	FOREIGN_ADDRESS_AHEAD, /* the same, with a start in the future */
	FOREIGN_ID,	       /* the id at work, another address */
	FOREIGN_ID_AHEAD,      /* the same, with a start in the future */
	FOREIGN_ID_SERVICE,    /* the id at work, another service */
	FOREIGN_BORN_AHEAD,    /* the id and place at work, a start in the future */
	FOREIGN_LATE,	       /* of an earlier life, which drains */
	FOREIGN_LEAVE,	       /* the id at work is said to have left */
	FOREIGN_KINDS,
};

static void send_foreign(enum foreign kind, uint32_t number)
{
	struct dag_report r = report_of(number);

	if (kind <= FOREIGN_ADDRESS_AHEAD)
		XDR_SET(r.worker, id, STR("foreign"));
	if (kind <= FOREIGN_ADDRESS)
		r.worker.born_ms = dw_wall_ms(&w);
	if (kind == FOREIGN_SERVICE || kind == FOREIGN_ID_SERVICE)
		XDR_SET(r.worker, service, STR("another"));
	if (kind == FOREIGN_ID || kind == FOREIGN_ID_AHEAD)
		XDR_SET(r.worker, address, STR("elsewhere"));
	if (kind == FOREIGN_ADDRESS_AHEAD || kind == FOREIGN_ID_AHEAD ||
	    kind == FOREIGN_BORN_AHEAD)
		r.worker.born_ms = dw_wall_ms(&w) + HOUR_MS;
	if (kind == FOREIGN_LATE) {
		r.worker.born_ms -= HOUR_MS;
		r.worker.state = DAG_WORKER_DRAINING;
	}
	if (kind != FOREIGN_LEAVE) {
		take(&r);
		return;
	}
	dw_announce_exit(&w, 1);
	dag_sched_worker_ended(w.sched, 1, w.now_us);
}

/* The worker goes on reporting, and a job is done there. */
static void assert_is_used(uint32_t number)
{
	for (int i = 0; i < 5; i++) {
		dw_report(&w, number);
		dw_run_for(&w, SECOND);
	}
	dw_submit_chain(&w, 1, 2, 4);
	dw_run_for(&w, 10 * SECOND);
	dw_assert_sound(&w);
	ck_assert_int_eq(dw_state(&w, 1), DAG_JOB_COMPLETED);
}

/*
 * Guards against runs that are ended, and start elsewhere, for the word of another writer
 * while their worker works on. _i / FOREIGN_KINDS: it comes several times, and a leader
 * changes.
 */
START_TEST(word_of_another_writer_ends_no_runs)
{
	enum foreign kind = (enum foreign)(_i % FOREIGN_KINDS);
	uint32_t number = dw_add_worker(&w, 8000, 8000);

	dw_run_for(&w, SECOND);
	dw_submit_lasting(&w, 1, TASKS);
	dw_run_for(&w, SECOND);
	ck_assert_uint_eq(w.starts, TASKS);
	dw_add_worker(&w, 16000, 16000);
	dw_run_for(&w, SECOND);
	for (int n = 0; n <= _i / FOREIGN_KINDS; n++) {
		send_foreign(kind, number);
		dw_run_for(&w, 5 * SECOND);
		dw_report(&w, number);
		dw_run_for(&w, 5 * SECOND);
		if (_i >= FOREIGN_KINDS)
			dw_change_leader(&w);
	}
	dw_run_for(&w, 20 * SECOND);
	dw_assert_sound(&w);
	ck_assert_uint_eq(w.starts, TASKS);
	ck_assert_uint_eq(dw_alive(&w, 1), TASKS);
}
END_TEST

/* Guards against a worker that is lost for good for such a word, while it is idle. */
START_TEST(word_of_another_writer_costs_no_worker)
{
	uint32_t number = dw_add_worker(&w, 8000, 8000);

	dw_run_for(&w, SECOND);
	send_foreign((enum foreign)(_i % FOREIGN_KINDS), number);
	dw_run_for(&w, SECOND);
	assert_is_used(number);
}
END_TEST

/*
 * Guards against a worker that is never used since another writer's report with its id
 * (_i 0: another address, 1: a start in the future as well, 2: its address and such a
 * start) or address (3) came before its own.
 */
START_TEST(word_of_another_writer_comes_first)
{
	static const enum foreign kinds[] = {FOREIGN_ID, FOREIGN_ID_AHEAD,
					     FOREIGN_BORN_AHEAD, FOREIGN_ADDRESS_AHEAD};
	uint32_t number;

	dw_run_for(&w, SECOND);
	number = dw_add_worker(&w, 8000, 8000);
	/* Its own first report is not committed yet, and is lost with the leader. */
	dw_change_leader(&w);
	ck_assert_ptr_null(
		dag_state_find_worker_by_id(w.state, str_from(w.workers[number].id)));
	send_foreign(kinds[_i], number);
	dw_run_for(&w, 3 * SECOND);
	assert_is_used(number);
}
END_TEST

/*
 * Guards against a worker that is lost for good for such a word while it is down. _i: the
 * kind.
 */
START_TEST(word_of_another_writer_while_the_worker_is_down)
{
	uint32_t number = dw_add_worker(&w, 8000, 8000);

	dw_run_for(&w, SECOND);
	dw_crash_for(&w, number, 4 * SECOND, false);
	dw_run_for(&w, 3 * SECOND);
	send_foreign((enum foreign)_i, number);
	dw_run_for(&w, 2 * SECOND);
	assert_is_used(number);
}
END_TEST

/* Guards against a worker that is not used when a configuration names its service later.
 */
START_TEST(worker_of_a_service_that_is_named_later_is_used)
{
	static const struct dw_queue queue = {"q", "/q/", "svc"};
	struct dag_report r = {0};
	uint32_t number = dw_add_worker(&w, 8000, 8000);

	/* Its own first report is not committed yet, and is lost with the leader. */
	dw_change_leader(&w);
	dw_name_service(&w, "another");
	dw_run_for(&w, SECOND);
	r = report_of(number);
	take(&r);
	dw_run_for(&w, SECOND);
	ck_assert_ptr_null(
		dag_state_find_worker_by_id(w.state, str_from(w.workers[number].id)));
	dw_set_queues(&w, &queue, 1);
	dw_run_for(&w, SECOND);
	r = report_of(number);
	take(&r);
	dw_run_for(&w, SECOND / 2);
	dw_submit_chain(&w, 1, 1, 4);
	dw_run_for(&w, 5 * SECOND);
	dw_assert_sound(&w);
	ck_assert_int_eq(dw_state(&w, 1), DAG_JOB_COMPLETED);
}
END_TEST

/*
 * Guards against tasks that wait for a lease although a successor is at the address. _i
 * 1: the loss of the poll that its predecessor held is not known for seconds.
 */
START_TEST(successor_at_an_address_frees_the_tasks_at_once)
{
	uint32_t number = dw_add_worker(&w, 8000, 8000);

	dw_run_for(&w, SECOND);
	dw_submit_lasting(&w, 1, TASKS);
	dw_run_for(&w, 3 * SECOND);
	w.workers[number].reset_us = _i ? 3 * SECOND : 0;
	dw_crash_for(&w, number, 100 * MS, true);
	dw_run_for(&w, 600 * MS);
	ck_assert_uint_eq(w.starts, 2 * TASKS);
	dw_run_for(&w, 20 * SECOND);
	dw_assert_sound(&w);
	ck_assert_uint_eq(dw_alive(&w, 1), TASKS);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dag_foreign");
	TCase *tc = tcase_create("dag_foreign");
	SRunner *sr;
	int failed;

	tcase_add_checked_fixture(tc, open_world, close_world);
	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, word_of_another_writer_ends_no_runs, 0,
			    3 * FOREIGN_KINDS);
	tcase_add_loop_test(tc, word_of_another_writer_costs_no_worker, 0, FOREIGN_KINDS);
	tcase_add_loop_test(tc, word_of_another_writer_comes_first, 0, 4);
	tcase_add_loop_test(tc, word_of_another_writer_while_the_worker_is_down, 0,
			    FOREIGN_KINDS);
	tcase_add_test(tc, worker_of_a_service_that_is_named_later_is_used);
	tcase_add_loop_test(tc, successor_at_an_address_frees_the_tasks_at_once, 0, 2);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
