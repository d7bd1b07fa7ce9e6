/*
 * The encodings that other versions read and write: log entries, snapshots and requests
 * of a system without organisations. The hashes are of the bytes that commit ce4271a
 * writes.
 */
#include <check.h>
#include <stdlib.h>

#include <xxhash.h>

#include "core/dag_state.h"
#include "proto/codec.h"

#define WALL_MS 1700000000000LL
#define ENTRIES_HASH 9538893866646481825ULL
#define SNAPSHOT_HASH 2108630840685195811ULL
#define REQUESTS_HASH 9024264109788982064ULL

static struct dag_state *state;
static struct buf entries; /* all that were applied */

static void apply(const struct dag_command *c)
{
	struct dag_command copy = *c;
	struct dag_batch b = {.time_ms = WALL_MS, .commands = {1, &copy}};
	struct buf bytes = {0};

	ck_assert_int_eq(codec_encode((xdrproc_t)xdr_dag_batch, &b, &bytes), 0);
	ck_assert_int_eq(buf_add(&entries, bytes.p, bytes.n), 0);
	ck_assert_int_eq(dag_state_apply(state, buf_str(&bytes)), 0);
	buf_free(&bytes);
}

static void apply_conf(void)
{
	struct dag_queue q = {.timeout_ms = 1000, .attempts = 2};
	struct dag_service s = {.guarded = true};
	struct dag_command c = {.kind = DAG_CMD_CONF};
	struct dag_conf *conf = &c.dag_command_u.conf;

	XDR_SET(q, name, STR("q"));
	XDR_SET(q, host, STR("h"));
	XDR_SET(q, prefix, STR("/q/"));
	XDR_SET(q, service, STR("svc"));
	XDR_SET(s, name, STR("svc"));
	conf->revision = 7;
	XDR_SET(*conf, source, STR("{\"version\":7}"));
	conf->queues.queues_len = 1;
	conf->queues.queues_val = &q;
	conf->services.services_len = 1;
	conf->services.services_val = &s;
	apply(&c);
}

static void apply_worker(void)
{
	struct dag_command c = {.kind = DAG_CMD_WORKER};
	struct dag_worker *w = &c.dag_command_u.worker;

	XDR_SET(*w, id, STR("i-1"));
	XDR_SET(*w, address, STR("10.0.0.1:80"));
	XDR_SET(*w, service, STR("svc"));
	XDR_SET(*w, zone, STR("z1"));
	w->born_ms = WALL_MS;
	w->cpu_milli = 8000;
	w->mem_mb = 8000;
	apply(&c);
}

static void apply_submit(uint64_t id)
{
	struct dag_step steps[2] = {{.count = 3, .cpu_milli = 500, .mem_mb = 100},
				    {.count = 1, .long_running = true}};
	struct dag_command c = {.kind = DAG_CMD_SUBMIT};
	struct dag_job *job = &c.dag_command_u.job;

	job->id = id;
	XDR_SET(*job, queue, STR("q"));
	XDR_SET(*job, spec, STR("work"));
	job->steps.steps_len = 2;
	job->steps.steps_val = steps;
	job->accepted_ms = WALL_MS;
	apply(&c);
}

static void apply_runs(uint64_t id)
{
	struct dag_command c = {.kind = DAG_CMD_START};
	struct dag_task_ref task = {.job = id};

	for (uint32_t i = 0; i < 3; i++) {
		task.index = i;
		c.dag_command_u.start = (struct dag_start){task, 1, 1};
		apply(&c);
	}
	c = (struct dag_command){.kind = DAG_CMD_END};
	c.dag_command_u.end = (struct dag_end){.task = task, .run = 1};
	XDR_SET(c.dag_command_u.end, checkpoint, STR("at 7"));
	apply(&c);
	c = (struct dag_command){.kind = DAG_CMD_BEGUN};
	c.dag_command_u.begun = id;
	apply(&c);
}

static void apply_withdraw(uint64_t id)
{
	struct dag_command c = {.kind = DAG_CMD_WITHDRAW};

	c.dag_command_u.withdrawal.job = id;
	XDR_SET(c.dag_command_u.withdrawal, queue, STR("q"));
	apply(&c);
}

static void apply_all(void)
{
	struct dag_command zone = {.kind = DAG_CMD_ZONE};
	struct dag_command cancel = {.kind = DAG_CMD_CANCEL};

	XDR_SET(zone.dag_command_u.zone, name, STR("z2"));
	zone.dag_command_u.zone.closed = true;
	cancel.dag_command_u.cancel = 2;
	apply_conf();
	apply(&zone);
	apply_worker();
	for (uint64_t id = 1; id <= 3; id++)
		apply_submit(id);
	apply_runs(1);
	apply_withdraw(8);
	apply_withdraw(9);
	apply(&cancel);
}

static void open_state(void)
{
	entries.n = 0;
	ck_assert_int_eq(dag_state_new(&state), 0);
	apply_all();
}

static void close_state(void)
{
	dag_state_free(state);
	buf_free(&entries);
}

static uint64_t hash(const struct buf *bytes)
{
	return XXH3_64bits(bytes->p, bytes->n);
}

/* Guards against a log or snapshot that an earlier version cannot read. */
START_TEST(entries_and_snapshots_are_as_before)
{
	struct dag_state *copy;
	struct buf first = {0}, second = {0};

	ck_assert_uint_eq(hash(&entries), ENTRIES_HASH);
	ck_assert_int_eq(dag_state_snapshot(state, &first), 0);
	ck_assert_uint_eq(hash(&first), SNAPSHOT_HASH);
	ck_assert_int_eq(dag_state_new(&copy), 0);
	ck_assert_int_eq(dag_state_restore(copy, buf_str(&first)), 0);
	ck_assert_int_eq(dag_state_snapshot(copy, &second), 0);
	ck_assert(str_eq(buf_str(&first), buf_str(&second)));
	dag_state_free(copy);
	buf_free(&first);
	buf_free(&second);
}
END_TEST

/* Guards against a request of callers that an earlier controller does not know. */
START_TEST(requests_are_as_before)
{
	static const enum dag_request_kind kinds[] = {DAG_REQ_READ, DAG_REQ_CANCEL,
						      DAG_REQ_SUBMIT, DAG_REQ_CONF_PUT};
	struct dag_step step = {.count = 1};
	struct buf bytes = {0};

	for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
		struct dag_request r = {.kind = kinds[i]};
		struct dag_target target;

		XDR_SET(target, host, STR("h"));
		XDR_SET(target, path, STR("/q/0000000000000001"));
		if (r.kind == DAG_REQ_SUBMIT) {
			r.dag_request_u.submit.target = target;
			r.dag_request_u.submit.job.steps.steps_len = 1;
			r.dag_request_u.submit.job.steps.steps_val = &step;
		} else if (r.kind == DAG_REQ_CONF_PUT) {
			r.dag_request_u.conf = state->conf;
		} else {
			r.dag_request_u.target = target;
		}
		ck_assert_int_eq(codec_encode((xdrproc_t)xdr_dag_request, &r, &bytes), 0);
	}
	ck_assert_uint_eq(hash(&bytes), REQUESTS_HASH);
	buf_free(&bytes);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dag_format");
	TCase *t = tcase_create("bytes");
	SRunner *r;
	int failed;

	tcase_add_checked_fixture(t, open_state, close_state);
	tcase_add_test(t, entries_and_snapshots_are_as_before);
	tcase_add_test(t, requests_are_as_before);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
