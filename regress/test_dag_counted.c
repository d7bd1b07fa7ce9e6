/* What the log tells of a task that is given up: all runs that this was concluded from.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/dag_counted.h"
#include "proto/codec.h"
#include "regress/lib_dag_world.h"

#define SECOND 1000000LL
#define DEADLY 1000 /* the job with a deadly task */
#define N_WORKERS 10
#define ATTEMPTS 24

static struct dag_world w;

static void open_world(void)
{
	dw_open(&w, 1);
	dw_add_follower(&w);
	w.crash_return_us = 3 * SECOND;
}

static void close_world(void)
{
	dw_close(&w);
}

static bool is_crash(int64_t how)
{
	return how == DAG_END_CRASHED || how == DAG_END_CRASHED_ALONE ||
	       how == DAG_END_SUSPECTED || how == DAG_END_UNANSWERED ||
	       how == DAG_END_UNANSWERED_SUSPECTED;
}

/* Whether a leader ended this run on this worker as one that may count. */
static bool is_noted(uint32_t index, uint32_t run, const char *worker, bool crash)
{
	for (size_t i = 0; i < w.n_noted; i++) {
		const struct dw_noted_end *e = &w.noted[i];

		if (e->task.job == w.given_up.task.job && e->task.index == index &&
		    e->run == run && strcmp(e->worker, worker) == 0 &&
		    (crash ? is_crash(e->how) : e->how == DAG_END_FAILED))
			return true;
	}
	return false;
}

/* Fails unless the line names as many runs as counted, each with its worker. */
static void assert_names_all_runs(bool crash)
{
	const char *at = strchr(w.given_up.text, ':');
	uint32_t index = w.given_up.task.index;
	char worker[64];
	unsigned int run;
	int64_t n = 0;

	ck_assert_uint_eq(w.given_up.lines, 1);
	ck_assert_ptr_null(strstr(w.given_up.text, "not known"));
	for (; at; at = strchr(at + 1, ';'), n++) {
		if (sscanf(at + 1, " member %u run %u on %63[^:]:", &index, &run,
			   worker) != 3)
			ck_assert_msg(
				sscanf(at + 1, " run %u on %63[^:]:", &run, worker) == 2,
				"%s", w.given_up.text);
		ck_assert_msg(is_noted(index, run, worker, crash), "run %u on %s: %s",
			      run, worker, w.given_up.text);
	}
	ck_assert_msg(n == w.given_up.value, "%s", w.given_up.text);
}

/* Guards against crashes that the line leaves out, under one leader or several. */
START_TEST(line_names_the_crashes)
{
	bool new_leaders = _i & 4;
	uint32_t crashes = 0;

	w.crash_new_id = _i & 1;
	if (_i & 2)
		w.crash_return_us = 12 * SECOND; /* longer than a lease */
	w.deadly_job = DEADLY;
	w.deadly_jobs = 1;
	dw_add_workers(&w, N_WORKERS);
	for (uint64_t id = 1; id <= 4; id++)
		dw_submit_chain(&w, id, 2, 4);
	if (_i & 8)
		dw_submit_lasting(&w, DEADLY, 4);
	else
		dw_submit_chain(&w, DEADLY, 1, 4);
	for (int i = 0; i < 900; i++) {
		dw_run_for(&w, SECOND / 10);
		if (new_leaders && w.crashes > crashes) {
			dw_run_for(&w, SECOND);
			dw_change_leader(&w);
			crashes = w.crashes;
		}
	}
	dw_assert_sound(&w);
	ck_assert_int_eq(dw_state(&w, DEADLY), DAG_JOB_FAILED);
	ck_assert_int_ge(w.given_up.value, DAG_CRASHES_PROVEN);
	assert_names_all_runs(true);
}
END_TEST

/* Guards against a line that says less than the leader that saw the crash. */
START_TEST(line_says_how_a_crash_is_known)
{
	const char *want = _i & 1 ? "a newer worker replies at the same address"
				  : "the worker has started again";

	w.crash_new_id = _i & 1;
	w.deadly_job = DEADLY;
	w.deadly_jobs = 1;
	dw_add_workers(&w, N_WORKERS);
	dw_submit_chain(&w, DEADLY, 1, 1);
	dw_run_for(&w, 60 * SECOND);
	ck_assert_int_eq(dw_state(&w, DEADLY), DAG_JOB_FAILED);
	ck_assert_msg(strstr(w.given_up.text, want), "%s", w.given_up.text);
}
END_TEST

/* Guards against a job that fails for its limit of attempts without a word. */
START_TEST(line_names_the_failures)
{
	struct dag_step st = {.count = 4,
			      .cpu_milli = 1000,
			      .mem_mb = 100,
			      .estimate_ms = 500,
			      .gang = _i & 1};

	dw_add_workers(&w, N_WORKERS);
	for (size_t i = 0; i < N_WORKERS; i++)
		w.workers[i].fails = true;
	dw_submit_step(&w, 1, &st);
	dw_run_for(&w, SECOND / 5);
	if (_i & 2)
		dw_change_leader(&w);
	dw_run_for(&w, 30 * SECOND);
	ck_assert_int_eq(dw_state(&w, 1), DAG_JOB_FAILED);
	ck_assert_int_ge(w.given_up.value, 2);
	ck_assert_ptr_nonnull(strstr(w.given_up.text, "listed as failed"));
	assert_names_all_runs(false);
}
END_TEST

/* Guards against a line for a job that was not given up. */
START_TEST(other_ends_have_no_line)
{
	dw_add_workers(&w, N_WORKERS);
	dw_submit_chain(&w, 1, 2, 4);
	dw_submit_lasting(&w, 2, 4);
	dw_run_for(&w, 5 * SECOND);
	dw_cancel(&w, 2);
	dw_run_for(&w, 5 * SECOND);
	ck_assert_int_eq(dw_state(&w, 1), DAG_JOB_COMPLETED);
	ck_assert_int_eq(dw_state(&w, 2), DAG_JOB_CANCELLED);
	ck_assert_uint_eq(w.given_up.lines, 0);
}
END_TEST

/* Guards against a process that takes the runs that it knows for all of them. */
START_TEST(line_says_what_a_snapshot_left_out)
{
	struct dag_state *copy;
	struct buf image = {0};
	struct buf text = {0};
	struct dag_end e = {{DEADLY, 0, 0, 0}, 3, DAG_END_CRASHED, {0, NULL}};
	uint32_t total;

	w.crash_new_id = true;
	w.deadly_job = DEADLY;
	w.deadly_jobs = 1;
	dw_add_workers(&w, N_WORKERS);
	dw_submit_chain(&w, DEADLY, 1, 2);
	while (w.crashes < 3)
		dw_run_for(&w, SECOND / 10);
	ck_assert_int_eq(dag_state_snapshot(w.state, &image), 0);
	ck_assert_int_eq(dag_state_new(&copy), 0);
	ck_assert_int_eq(dag_state_restore(copy, buf_str(&image)), 0);
	ck_assert_int_eq(
		dag_counted_describe(dag_state_find_job(copy, DEADLY), &e, &text, &total),
		0);
	ck_assert_uint_eq(total, 2);
	ck_assert_str_eq(text.p, "workers crashed under it: 2 earlier ones are not known "
				 "here");
	buf_free(&text);
	buf_free(&image);
	dag_state_free(copy);
}
END_TEST

static void apply(struct dag_state *s, struct dag_command *c)
{
	struct dag_batch b = {.commands = {1, c}};
	struct buf bytes = {0};

	ck_assert_int_eq(codec_encode((xdrproc_t)xdr_dag_batch, &b, &bytes), 0);
	ck_assert_int_eq(dag_state_apply(s, buf_str(&bytes)), 0);
	buf_free(&bytes);
}

static void apply_end(struct dag_state *s, const struct dag_task_ref *t, uint32_t run,
		      enum dag_end_how how)
{
	struct dag_command c = {.kind = DAG_CMD_END};

	c.dag_command_u.end.task = *t;
	c.dag_command_u.end.run = run;
	c.dag_command_u.end.how = how;
	apply(s, &c);
}

static void apply_start(struct dag_state *s, const struct dag_task_ref *t, uint32_t run)
{
	struct dag_command c = {.kind = DAG_CMD_START};

	c.dag_command_u.start.task = *t;
	c.dag_command_u.start.run = run;
	c.dag_command_u.start.worker = 1;
	apply(s, &c);
}

/* A state with a worker, whose id is given, and job 1 of one step. */
static struct dag_state *make_state(struct str worker, u_int count, bool gang)
{
	struct dag_step st = {.count = count, .gang = gang};
	struct dag_job job = {.id = 1, .steps = {1, &st}};
	struct dag_worker rec = {.state = DAG_WORKER_READY, .born_ms = 1};
	struct dag_worker_rec *wr;
	struct dag_job_rec *j;
	struct dag_state *s;

	XDR_SET(rec, id, worker);
	ck_assert_int_eq(dag_state_new(&s), 0);
	ck_assert_int_eq(dag_state_put_worker(s, 1, &rec, &wr), 0);
	ck_assert_int_eq(dag_state_add_job(s, &job, ATTEMPTS, &j), 0);
	return s;
}

static void describe(const struct dag_state *s, const struct dag_task_ref *t,
		     struct buf *text, uint32_t *total)
{
	struct dag_end e = {*t, 0, DAG_END_FAILED, {0, NULL}};

	ck_assert_int_eq(dag_counted_describe(dag_state_find_job(s, 1), &e, text, total),
			 0);
}

/* Guards against the worker of a failure that was listed after its run's loss. */
START_TEST(late_failure_has_its_worker)
{
	struct dag_state *s = make_state(STR("i-a"), 1, false);
	struct dag_task_ref t = {1, 0, 0, 0};
	struct buf text = {0};
	uint32_t total;

	apply_start(s, &t, 1);
	apply_end(s, &t, 1, DAG_END_LAPSED);
	apply_end(s, &t, 1, DAG_END_FAILED);
	describe(s, &t, &text, &total);
	ck_assert_uint_eq(total, 1);
	ck_assert_str_eq(text.p,
			 "failed as often as it may: run 1 on i-a: listed as failed");
	buf_free(&text);
	dag_state_free(s);
}
END_TEST

/* Guards against memory and lines that grow with the failures. _i: of a gang. */
START_TEST(lists_and_text_are_bounded)
{
	char id[200];
	struct dag_task_ref t = {1, 0, 0, 0};
	u_int members = _i ? 4 : 1;
	struct buf text = {0};
	struct dag_state *s;
	uint32_t total;

	memset(id, 'i', sizeof(id));
	s = make_state((struct str){id, sizeof(id)}, members, _i);
	for (uint32_t run = 1; run <= ATTEMPTS; run++) {
		t.index = run % members;
		apply_start(s, &t, run);
		apply_end(s, &t, run, DAG_END_FAILED);
	}
	t.index = 0;
	ck_assert(dag_job_ended(dag_state_find_job(s, 1)));
	describe(s, &t, &text, &total);
	ck_assert_uint_eq(total, ATTEMPTS);
	ck_assert_uint_le(text.n, DAG_COUNTED_TEXT_MAX_BYTES);
	if (_i)
		ck_assert_ptr_nonnull(strstr(text.p, " more"));
	else
		ck_assert_ptr_nonnull(strstr(text.p, "; 16 earlier ones are not known"));
	ck_assert_ptr_nonnull(strstr(text.p, _i ? "member 0 run 4 on" : ": run 17 on"));
	buf_free(&text);
	dag_state_free(s);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dag_counted");
	TCase *tc = tcase_create("dag_counted");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(tc, 120);
	tcase_add_checked_fixture(tc, open_world, close_world);
	tcase_add_loop_test(tc, line_names_the_crashes, 0, 16);
	tcase_add_loop_test(tc, line_says_how_a_crash_is_known, 0, 2);
	tcase_add_loop_test(tc, line_names_the_failures, 0, 4);
	tcase_add_test(tc, other_ends_have_no_line);
	tcase_add_test(tc, line_says_what_a_snapshot_left_out);
	tcase_add_test(tc, late_failure_has_its_worker);
	tcase_add_loop_test(tc, lists_and_text_are_bounded, 0, 2);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
