/* Messages that once ended a process or damaged its state, most found by test_fuzz_*. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/err.h"
#include "core/dag_sched.h"
#include "proto/codec.h"

#define WALL_MS 1700000000000LL
#define MESSAGE_MAX_KB (64L << 10) /* memory that a short message may cost */

static struct dag_state *state;

static void open_state(void)
{
	ck_assert_int_eq(dag_state_new(&state), 0);
}

static void close_state(void)
{
	dag_state_free(state);
}

static void apply_at(const struct dag_command *c, int64_t time_ms)
{
	struct dag_batch b = {.time_ms = time_ms};
	struct buf bytes = {0};

	b.commands.commands_len = 1;
	b.commands.commands_val = (struct dag_command *)(uintptr_t)c;
	ck_assert_int_eq(codec_encode((xdrproc_t)xdr_dag_batch, &b, &bytes), 0);
	ck_assert_int_eq(dag_state_apply(state, buf_str(&bytes)), 0);
	buf_free(&bytes);
}

static void apply(const struct dag_command *c)
{
	apply_at(c, WALL_MS);
}

static void add_worker(struct str id)
{
	struct dag_command c = {.kind = DAG_CMD_WORKER};

	XDR_SET(c.dag_command_u.worker, id, id);
	XDR_SET(c.dag_command_u.worker, address, id);
	apply(&c);
}

static void add_job(uint64_t id, int64_t accepted_ms)
{
	struct dag_command c = {.kind = DAG_CMD_SUBMIT};
	struct dag_step step = {.count = 1};

	c.dag_command_u.job = (struct dag_job){.id = id, .accepted_ms = accepted_ms};
	c.dag_command_u.job.steps.steps_len = 1;
	c.dag_command_u.job.steps.steps_val = &step;
	apply(&c);
}

/* Largest address space of the process so far: memory may be allocated and not touched.
 */
static long max_kb(void)
{
	FILE *f = fopen("/proc/self/status", "r");
	char line[256];
	long kb = 0;

	ck_assert_ptr_nonnull(f);
	while (!kb && fgets(line, sizeof(line), f))
		sscanf(line, "VmPeak: %ld kB", &kb);
	fclose(f);
	ck_assert_int_gt(kb, 0);
	return kb;
}

/* Guards against a count in a message of 12 bytes that allocates gigabytes. */
START_TEST(count_beyond_the_message_allocates_nothing)
{
	struct dag_batch b = {0};
	char bytes[12] = {0};
	long before = max_kb();

	codec_put_u32(bytes + 8, 4000000);
	ck_assert_int_eq(codec_decode((xdrproc_t)xdr_dag_batch, &b,
				      (struct str){bytes, sizeof(bytes)}),
			 CF_EMALFORMED);
	codec_free((xdrproc_t)xdr_dag_batch, &b);
	ck_assert_int_lt(max_kb() - before, MESSAGE_MAX_KB);
}
END_TEST

/* Guards against one log entry that ends every replica, at each start again. */
START_TEST(entry_that_does_not_decode_is_ignored)
{
	char bytes[16] = {0};

	add_worker(STR("w"));
	codec_put_u32(bytes + 8, 1);
	codec_put_u32(bytes + 12, 99);
	ck_assert_int_eq(dag_state_apply(state, (struct str){bytes, sizeof(bytes)}), 0);
	ck_assert_int_eq(dag_state_apply(state, STR("text")), 0);
	ck_assert_uint_eq(HASH_COUNT(state->workers), 1);
}
END_TEST

/* Guards against times whose sums overflow, and a clock that one entry sets for good. */
START_TEST(times_out_of_range_are_limited)
{
	struct dag_command c = {.kind = DAG_CMD_CANCEL};

	apply_at(&c, INT64_MAX);
	ck_assert_int_eq(state->time_ms, 0);
	add_job(1, INT64_MIN);
	add_job(2, INT64_MAX);
	ck_assert_int_eq(dag_state_find_job(state, 1)->spec.accepted_ms, 0);
	ck_assert_int_eq(dag_state_find_job(state, 2)->spec.accepted_ms, DAG_MAX_TIME_MS);
}
END_TEST

/* Guards against a worker that counts a run for ever, as its job was forgotten. */
START_TEST(job_with_live_runs_is_not_forgotten)
{
	struct dag_command c = {.kind = DAG_CMD_START};

	add_worker(STR("w"));
	add_job(1, 0);
	c.dag_command_u.start =
		(struct dag_start){.task = {.job = 1}, .run = 1, .worker = 1};
	apply(&c);
	c = (struct dag_command){.kind = DAG_CMD_CANCEL, .dag_command_u.cancel = 1};
	apply(&c);
	c = (struct dag_command){.kind = DAG_CMD_FORGET, .dag_command_u.forget = 1};
	apply(&c);
	ck_assert_ptr_nonnull(dag_state_find_job(state, 1));
	c = (struct dag_command){.kind = DAG_CMD_END};
	c.dag_command_u.end =
		(struct dag_end){.task = {.job = 1}, .run = 1, .how = DAG_END_STOPPED};
	apply(&c);
	ck_assert_uint_eq(dag_state_find_worker(state, 1)->n_runs, 0);
	c = (struct dag_command){.kind = DAG_CMD_FORGET, .dag_command_u.forget = 1};
	apply(&c);
	ck_assert_ptr_null(dag_state_find_job(state, 1));
}
END_TEST

/* Guards against replicas that differ after a snapshot, and against empty keys. */
START_TEST(names_of_any_bytes_survive_a_snapshot)
{
	struct dag_command c = {.kind = DAG_CMD_ZONE};
	struct str zone = STR("z\0001");
	struct buf image = {0};

	c.dag_command_u.zone.closed = true;
	apply(&c);
	XDR_SET(c.dag_command_u.zone, name, zone);
	apply(&c);
	add_worker((struct str){NULL, 0});
	ck_assert_uint_eq(HASH_COUNT(state->workers), 0);
	ck_assert_int_eq(dag_state_snapshot(state, &image), 0);
	ck_assert_int_eq(dag_state_restore(state, buf_str(&image)), 0);
	ck_assert(dag_state_zone_closed(state, zone));
	ck_assert_uint_eq(HASH_COUNT(state->zones), 1);
	buf_free(&image);
}
END_TEST

/* A state with one worker and one job with a run on it, changed before it is encoded. */
static int restore_changed(int change)
{
	struct dag_image im = {.next_worker = 3, .time_ms = WALL_MS};
	struct dag_image_worker workers[2] = {{.number = 1}, {.number = 2}};
	struct dag_image_run live[2] = {{1, 1}, {2, 2}};
	struct dag_image_task task = {.last_run = 2, .live = {2, live}};
	struct dag_image_job jobs[2] = {{.spec.id = 1}, {.spec.id = 2}};
	struct dag_step step = {.count = 1};
	struct buf bytes = {0};
	int err;

	XDR_SET(workers[0].worker, id, STR("a"));
	XDR_SET(workers[1].worker, id, STR("b"));
	for (int i = 0; i < 2; i++) {
		jobs[i].spec.steps.steps_len = 1;
		jobs[i].spec.steps.steps_val = &step;
		jobs[i].tasks.tasks_len = 1;
		jobs[i].tasks.tasks_val = &task;
	}
	im.workers.workers_len = 2;
	im.workers.workers_val = workers;
	im.jobs.jobs_len = 2;
	im.jobs.jobs_val = jobs;
	switch (change) {
	case 1:
		workers[1].number = 1;
		break;
	case 2:
		XDR_SET(workers[1].worker, id, STR("a"));
		break;
	case 3:
		im.next_worker = 2;
		break;
	case 4:
		jobs[1].spec.id = 1;
		break;
	case 5:
		jobs[1].state = 5;
		break;
	case 6:
		live[1].worker = 7;
		break;
	case 7:
		task.last_run = 1;
		break;
	case 8:
		im.time_ms = INT64_MAX;
		break;
	case 9:
		im.next_worker = 0;
		im.workers.workers_len = 0;
		im.jobs.jobs_len = 0;
		break;
	case 10:
		im.next_worker = DAG_WORKER_NUMBERS + 1;
		break;
	}
	ck_assert_int_eq(codec_encode((xdrproc_t)xdr_dag_image, &im, &bytes), 0);
	err = dag_state_restore(state, buf_str(&bytes));
	buf_free(&bytes);
	return err;
}

/* Guards against a snapshot whose parts contradict one another and is taken. */
START_TEST(contradictory_snapshot_is_refused)
{
	add_worker(STR("w"));
	if (_i == 0) {
		ck_assert_int_eq(restore_changed(0), 0);
		ck_assert_uint_eq(HASH_COUNT(state->workers), 2);
		return;
	}
	ck_assert_int_eq(restore_changed(_i), CF_EMALFORMED);
	ck_assert_uint_eq(HASH_COUNT(state->workers), 1);
	ck_assert_ptr_nonnull(dag_state_find_worker_by_id(state, STR("w")));
}
END_TEST

/* Guards against a snapshot that no replica can restore, as its numbers are used up. */
START_TEST(last_worker_number_survives_a_snapshot)
{
	struct buf image = {0};

	state->next_worker_number = DAG_WORKER_NUMBERS - 1;
	add_worker(STR("last"));
	add_worker(STR("none left"));
	ck_assert_uint_eq(HASH_COUNT(state->workers), 1);
	ck_assert_int_eq(dag_state_snapshot(state, &image), 0);
	ck_assert_int_eq(dag_state_restore(state, buf_str(&image)), 0);
	ck_assert_ptr_nonnull(dag_state_find_worker_by_id(state, STR("last")));
	buf_free(&image);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("malformed");
	TCase *tc = tcase_create("dag_state");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, open_state, close_state);
	tcase_add_test(tc, count_beyond_the_message_allocates_nothing);
	tcase_add_test(tc, entry_that_does_not_decode_is_ignored);
	tcase_add_test(tc, times_out_of_range_are_limited);
	tcase_add_test(tc, job_with_live_runs_is_not_forgotten);
	tcase_add_test(tc, names_of_any_bytes_survive_a_snapshot);
	tcase_add_test(tc, last_worker_number_survives_a_snapshot);
	tcase_add_loop_test(tc, contradictory_snapshot_is_refused, 0, 11);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
