/* Gangs in the replicated state: what counts as a failed run, and what is saved. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "proto/codec.h"
#include "regress/lib_dag_world.h"

#define ATTEMPTS 2
#define MEMBERS 3

static struct dag_state *state;

/* A worker, and job 1 of one gang. */
static void setup(void)
{
	struct dag_step st = {.count = MEMBERS, .gang = true};
	struct dag_job job = {.id = 1, .steps = {1, &st}};
	struct dag_worker worker = {.state = DAG_WORKER_READY, .born_ms = 1};
	struct dag_worker_rec *w;
	struct dag_job_rec *j;

	XDR_SET(worker, id, STR("i-a"));
	ck_assert_int_eq(dag_state_new(&state), 0);
	ck_assert_int_eq(dag_state_put_worker(state, 0, &worker, &w), 0);
	ck_assert_int_eq(dag_state_add_job(state, &job, ATTEMPTS, &j), 0);
}

static void teardown(void)
{
	dag_state_free(state);
}

static void apply(const struct dag_command *c)
{
	struct dag_batch b = {.commands = {1, (struct dag_command *)(uintptr_t)c}};
	struct buf bytes = {0};

	ck_assert_int_eq(codec_encode((xdrproc_t)xdr_dag_batch, &b, &bytes), 0);
	ck_assert_int_eq(dag_state_apply(state, buf_str(&bytes)), 0);
	buf_free(&bytes);
}

static void start_all(uint32_t run)
{
	struct dag_command c = {.kind = DAG_CMD_START};

	for (uint32_t i = 0; i < MEMBERS; i++) {
		c.dag_command_u.start = (struct dag_start){{1, 0, 0, i}, run, 1};
		apply(&c);
	}
}

static void end(uint32_t member, uint32_t run, enum dag_end_how how,
		struct str checkpoint)
{
	struct dag_command c = {.kind = DAG_CMD_END};

	c.dag_command_u.end.task = (struct dag_task_ref){1, 0, 0, member};
	c.dag_command_u.end.run = run;
	c.dag_command_u.end.how = how;
	XDR_SET(c.dag_command_u.end, checkpoint, checkpoint);
	apply(&c);
}

static void restart(void)
{
	struct buf image = {0};

	ck_assert_int_eq(dag_state_snapshot(state, &image), 0);
	ck_assert_int_eq(dag_state_restore(state, buf_str(&image)), 0);
	buf_free(&image);
}

static enum dag_job_state job_state(void)
{
	return dag_state_find_job(state, 1)->state;
}

static void assert_checkpoint(const char *text)
{
	const struct dag_job_rec *j = dag_state_find_job(state, 1);

	for (uint32_t i = 0; i < MEMBERS; i++) {
		struct dag_task_ref t = {1, 0, 0, i};

		ck_assert(str_eq(dag_job_checkpoint(j, &t), str_from(text)));
	}
}

/*
 * Guards against a gang that is given up after one run of which two members failed. _i 1:
 * a snapshot is restored between the two.
 */
START_TEST(run_with_two_failures_counts_once)
{
	start_all(1);
	end(0, 1, DAG_END_FAILED, STR(""));
	if (_i)
		restart();
	end(1, 1, DAG_END_FAILED, STR(""));
	end(2, 1, DAG_END_BROKEN, STR(""));
	ck_assert_int_lt(job_state(), DAG_JOB_COMPLETED);
	start_all(2);
	end(2, 2, DAG_END_BROKEN, STR(""));
	end(1, 2, DAG_END_FAILED, STR(""));
	ck_assert_int_eq(job_state(), DAG_JOB_FAILED);
}
END_TEST

/* Guards against a gang that goes on though runs failed in turn under its members. */
START_TEST(failures_of_members_in_turn_are_counted)
{
	start_all(1);
	end(0, 1, DAG_END_FAILED, STR(""));
	end(1, 1, DAG_END_BROKEN, STR(""));
	end(2, 1, DAG_END_BROKEN, STR(""));
	start_all(2);
	end(2, 2, DAG_END_FAILED, STR(""));
	ck_assert_int_eq(job_state(), DAG_JOB_FAILED);
}
END_TEST

/*
 * Guards against members that start with two values after the worker of one crashed, of
 * which an older one was known. _i 0: its end is known first; 1: last; 2: with a restart
 * before the gang starts.
 */
START_TEST(members_start_with_one_checkpoint)
{
	start_all(1);
	if (_i != 1)
		end(0, 1, DAG_END_CRASHED, STR("2000"));
	end(1, 1, DAG_END_BROKEN, STR("4000"));
	end(2, 1, DAG_END_BROKEN, STR("4000"));
	if (_i == 1)
		end(0, 1, DAG_END_CRASHED, STR("2000"));
	if (_i == 2)
		restart();
	assert_checkpoint("4000");
	start_all(2);
	end(1, 2, DAG_END_LAPSED, STR("6000"));
	assert_checkpoint("6000");
}
END_TEST

/* Guards against state of an earlier version, in which members have two values. */
START_TEST(stored_checkpoints_of_members_become_one)
{
	const struct dag_job_rec *j = dag_state_find_job(state, 1);

	buf_set(&dag_job_find_task(j, 0, 0, 1)->checkpoint, STR("4000"));
	buf_set(&dag_job_find_task(j, 0, 0, 2)->checkpoint, STR("2000"));
	restart();
	assert_checkpoint("4000");
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dag_gang");
	TCase *tc = tcase_create("dag_gang");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_loop_test(tc, run_with_two_failures_counts_once, 0, 2);
	tcase_add_test(tc, failures_of_members_in_turn_are_counted);
	tcase_add_loop_test(tc, members_start_with_one_checkpoint, 0, 3);
	tcase_add_test(tc, stored_checkpoints_of_members_become_one);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
