#include <err.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <zlib.h>

#include "base/err.h"
#include "core/fields.h"
#include "core/store.h"
#include "proto/codec.h"

/*
 * Speed and memory of the replicated state machine, at the target sizes. Prints
 * "name value unit baseline ratio". The baseline of a rate is the rate of empty
 * commands; that of memory is the size of the encoded commands that made the state;
 * that of a snapshot is the memory of the state, or one pass of crc32 over the bytes.
 */
#define TEAMS 510UL
#define DOCS 10000UL
#define CLAIMS 100000UL
#define JOBS 30000UL
#define TASKS_PER_JOB 20
#define RATE_COMMANDS 20000
#define RATE_ROUNDS 5
#define START_US (1796360400ULL * 1000000)

struct bench {
	struct store *s;
	uint64_t index;
	uint64_t time_us;
	struct buf command;
	struct buf result;
	size_t encoded; /* bytes of all commands */
};

static double now_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec * 1e-9;
}

static size_t heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

static void report(const char *name, double value, const char *unit, double baseline)
{
	printf("%s %.6g %s %.6g %.4g\n", name, value, unit, baseline, value / baseline);
}

static void open_store(struct bench *b)
{
	struct store_options o;

	memset(b, 0, sizeof(*b));
	store_defaults(&o);
	o.claim.claims = (struct share_options){0, 4 * CLAIMS, 4 * CLAIMS};
	o.claim.outcomes = (struct share_options){0, 1 << 30, 1 << 30};
	o.claim.expired = (struct share_options){0, 4 * CLAIMS, 4 * CLAIMS};
	o.job.jobs = (struct share_options){0, 4 * JOBS, 4 * JOBS};
	o.job.tasks = (struct share_options){0, 4 * JOBS, 4 * JOBS};
	o.job.finished_tasks = o.job.tasks;
	o.conf.view.docs = (struct share_options){0, 4 * DOCS, 4 * DOCS};
	o.conf.view.bytes = (struct share_options){0, 1 << 30, 1 << 30};
	if (store_new(&o, &b->s))
		errx(1, "out of memory");
	b->time_us = START_US;
}

static void close_store(struct bench *b)
{
	store_free(b->s);
	buf_free(&b->command);
	buf_free(&b->result);
}

/* Encodes a command into b->command. */
static void encode(struct bench *b, struct command *c)
{
	c->time_us = b->time_us;
	b->command.n = 0;
	if (codec_encode((xdrproc_t)xdr_command, c, &b->command))
		errx(1, "encoding failed");
}

/* Applies b->command; the error of the answer must be the expected one. */
static void apply(struct bench *b, int expected)
{
	struct command_result res = {0};

	b->encoded += b->command.n;
	if (store_apply(b->s, ++b->index, buf_str(&b->command), &b->result))
		errx(1, "apply failed");
	if (codec_decode((xdrproc_t)xdr_command_result, &res, buf_str(&b->result)) ||
	    res.err != expected)
		errx(1, "command %lu: %s: %.*s", b->index, cf_strerror(res.err),
		     STR_ARG(XDR_STR(res, detail)));
	codec_free((xdrproc_t)xdr_command_result, &res);
}

#define SET(object, member, text) XDR_SET(object, member, str_from(text))

static void team_of(size_t i, char *out, size_t n)
{
	snprintf(out, n, "team%zu", i % TEAMS);
}

/* A service of the usual size: 8 fields and a text of about 300 bytes. */
static void make_put(struct bench *b, size_t i, uint64_t expected, size_t request)
{
	static struct command_field fields[8];
	static const char *const pairs[8][2] = {
		{"slots", "8"},
		{"cpus", "2.5"},
		{"memory_mb", "4096"},
		{"deadline_ms", "900"},
		{"max_queue", "64"},
		{"retry_percent", "10"},
		{"command", "/usr/bin/gigdesk --tariff current"},
		{"spread", "zone"}};
	struct command c = {.body = {.kind = CMD_CONF_PUT}};
	struct command_conf_put *put = &c.body.command_body_u.conf_put;
	char team[16], path[64], id[32], text[320];

	team_of(i, team, sizeof(team));
	snprintf(path, sizeof(path), "/%s/service/doc%zu", team, i);
	snprintf(id, sizeof(id), "request-%zu", request);
	memset(text, 'x', sizeof(text) - 1);
	text[sizeof(text) - 1] = '\0';
	for (int k = 0; k < 8; k++) {
		SET(fields[k], name, pairs[k][0]);
		SET(fields[k], value, pairs[k][1]);
	}
	put->expected_revision = expected;
	put->fields.list.list_val = fields;
	put->fields.list.list_len = 8;
	SET(*put, path, path);
	SET(*put, request_id, id);
	SET(*put, text, text);
	encode(b, &c);
}

static void make_submit(struct bench *b, size_t i, const char *tasks)
{
	struct command_field fields[6];
	static const char *const pairs[6][2] = {
		{"tasks", "1"},	       {"cpus", "1"},
		{"memory_mb", "2048"}, {"duration_s", "600"},
		{"kind", "reconcile"}, {"command", "/usr/bin/reconcile --night"}};
	struct command c = {.body = {.kind = CMD_JOB_SUBMIT}};
	struct command_job_submit *submit = &c.body.command_body_u.job_submit;
	char team[16], name[32];

	team_of(i, team, sizeof(team));
	snprintf(name, sizeof(name), "job-%zu", i);
	for (int k = 0; k < 6; k++) {
		SET(fields[k], name, pairs[k][0]);
		SET(fields[k], value, k ? pairs[k][1] : tasks);
	}
	submit->fields.list.list_val = fields;
	submit->fields.list.list_len = 6;
	SET(*submit, team, team);
	SET(*submit, request_id, name);
	encode(b, &c);
}

static void make_task(struct bench *b, size_t i, enum task_state state, bool next)
{
	char team[16], name[32], worker[32];
	const struct job *job;
	struct command c = {.body = {.kind = CMD_TASK}};
	struct command_task *t = &c.body.command_body_u.task;

	team_of(i, team, sizeof(team));
	snprintf(name, sizeof(name), "job-%zu", i);
	snprintf(worker, sizeof(worker), "worker-%zu", i % 1900);
	job = jobs_get(store_jobs(b->s), str_from(team), false, str_from(name));
	t->job_revision = job->revision;
	t->attempt = job->tasks[0].attempt + next;
	t->state = state;
	t->session = 7;
	SET(*t, team, team);
	SET(*t, job, name);
	SET(*t, worker, worker);
	encode(b, &c);
}

static void set_key(struct command_key *key, char team[16], char text[48], size_t i)
{
	team_of(i, team, 16);
	snprintf(text, 48, "3f2a9c64-0000-4000-8000-%012zu", i);
	SET(*key, team, team);
	SET(*key, service, "gigdesk");
	SET(*key, key, text);
}

static void set_owner(struct command_owner *owner, size_t i)
{
	SET(*owner, entry, "entry-1");
	owner->incarnation = 1;
	owner->sequence = i;
}

static void make_claim(struct bench *b, size_t i)
{
	struct command c = {.body = {.kind = CMD_CLAIM}};
	char team[16], text[48];

	set_key(&c.body.command_body_u.claim.key, team, text, i);
	set_owner(&c.body.command_body_u.claim.owner, i);
	encode(b, &c);
}

/* An outcome with a body of 200 bytes. */
static void make_done(struct bench *b, size_t i)
{
	struct command c = {.body = {.kind = CMD_CLAIM_DONE}};
	struct command_claim_done *done = &c.body.command_body_u.claim_done;
	char team[16], text[48], body[201];

	memset(body, 'y', 200);
	body[200] = '\0';
	set_key(&done->key, team, text, i);
	set_owner(&done->owner, i);
	done->outcome.status = 200;
	SET(done->outcome, content_type, "application/json");
	SET(done->outcome, body, body);
	encode(b, &c);
}

static void make_nop(struct bench *b)
{
	struct command c = {.body = {.kind = CMD_NOP}};

	encode(b, &c);
}

static void register_entry(struct bench *b)
{
	struct command c = {.body = {.kind = CMD_MEMBER_ENTRY}};
	struct command_member_entry *entry = &c.body.command_body_u.member_entry;

	entry->incarnation = 1;
	SET(*entry, name, "entry-1");
	SET(*entry, address, "10.0.0.1:7201");
	encode(b, &c);
	apply(b, 0);
}

enum step {
	STEP_NOP,
	STEP_PUT,
	STEP_PUT_CONFLICT,
	STEP_PUT_RESEND,
	STEP_PUT_AGAIN,
	STEP_SUBMIT,
	STEP_PLACED,
	STEP_RUNNING,
	STEP_STALE,
	STEP_DONE,
	STEP_CLAIM,
	STEP_CLAIM_DONE,
	STEP_CLAIM_AGAIN,
	STEPS
};

static const char *const step_names[STEPS] = {
	"nop",
	"conf_put_new",
	"conf_put_conflict",
	"conf_put_resend",
	"conf_put_update",
	"job_submit",
	"task_placed",
	"task_running",
	"task_stale",
	"task_done",
	"claim",
	"claim_done",
	"claim_outcome",
};

/* Makes command i of a step. Returns the expected error. */
static int make(struct bench *b, enum step step, size_t i)
{
	switch (step) {
	case STEP_PUT:
	case STEP_PUT_RESEND:
		make_put(b, i, 0, i);
		return 0;
	case STEP_PUT_CONFLICT:
		make_put(b, i, 0, 1000000 + i);
		return CF_ECONFLICT;
	case STEP_PUT_AGAIN: {
		char team[16], path[64];

		team_of(i, team, sizeof(team));
		snprintf(path, sizeof(path), "/%s/service/doc%zu", team, i);
		make_put(
			b, i,
			conf_view_get(conf_current_docs(store_conf(b->s)), str_from(path))
				->revision,
			2000000 + i);
		return 0;
	}
	case STEP_SUBMIT:
		make_submit(b, i, "1");
		return 0;
	case STEP_PLACED:
		make_task(b, i, TASK_PLACED, true);
		return 0;
	case STEP_RUNNING:
		make_task(b, i, TASK_RUNNING, false);
		return 0;
	case STEP_STALE:
		make_task(b, i, TASK_RUNNING, false);
		return CF_ESTALE;
	case STEP_DONE:
		make_task(b, i, TASK_DONE, false);
		return 0;
	case STEP_CLAIM:
		make_claim(b, i);
		return 0;
	case STEP_CLAIM_DONE:
		make_done(b, i);
		return 0;
	case STEP_CLAIM_AGAIN:
		make_claim(b, i);
		return 0;
	default:
		make_nop(b);
		return 0;
	}
}

/* Applied commands a second for each step; the best of some rounds. */
static void measure_rates(void)
{
	double best[STEPS] = {0};

	for (int round = 0; round < RATE_ROUNDS; round++) {
		struct bench b;

		open_store(&b);
		register_entry(&b);
		for (int step = 0; step < STEPS; step++) {
			double spent = 0;

			for (size_t i = 0; i < RATE_COMMANDS; i++) {
				int expected = make(&b, (enum step)step, i);
				double start = now_s();

				if (store_apply(b.s, ++b.index, buf_str(&b.command),
						&b.result))
					errx(1, "apply failed");
				spent += now_s() - start;
				(void)expected;
			}
			if (RATE_COMMANDS / spent > best[step])
				best[step] = RATE_COMMANDS / spent;
		}
		close_store(&b);
	}
	for (int step = 0; step < STEPS; step++) {
		char name[64];

		snprintf(name, sizeof(name), "store_apply_%s", step_names[step]);
		report(name, best[step], "1/s", best[STEP_NOP]);
	}
}

enum thing {
	THING_DOC,
	THING_CLAIM,
	THING_OUTCOME,
	THING_EXPIRED,
	THING_JOB,
	THING_TASK
};

static const char *const thing_names[] = {"doc",	   "claim_open", "claim_done",
					  "claim_expired", "job",	 "task"};

static void add_thing(struct bench *b, enum thing thing, size_t i)
{
	switch (thing) {
	case THING_DOC:
		make_put(b, i, 0, i);
		break;
	case THING_CLAIM:
		make_claim(b, i);
		break;
	case THING_OUTCOME:
	case THING_EXPIRED:
		make_claim(b, i);
		apply(b, 0);
		make_done(b, i);
		break;
	case THING_JOB:
		make_submit(b, i, "1");
		break;
	case THING_TASK:
		make_submit(b, i, "20"); /* TASKS_PER_JOB */
		break;
	}
	apply(b, 0);
}

/* Memory of n things: all of it, and with the results of their commands expired. */
static double memory_of(enum thing thing, size_t n, double *encoded, double *bare)
{
	size_t before = heap_bytes();
	size_t fixed;
	struct bench b;
	double used;

	open_store(&b);
	register_entry(&b);
	fixed = heap_bytes() - before;
	b.encoded = 0;
	for (size_t i = 0; i < n; i++)
		add_thing(&b, thing, i);
	used = (double)(heap_bytes() - before - fixed);
	*encoded = (double)b.encoded;
	b.time_us += thing == THING_EXPIRED ? 3700ULL * 1000000 : 86500ULL * 1000000;
	if (thing == THING_EXPIRED || thing == THING_DOC || thing >= THING_JOB) {
		make_nop(&b);
		apply(&b, 0);
	}
	*bare = (double)(heap_bytes() - before - fixed);
	close_store(&b);
	return used;
}

static void measure_memory(enum thing thing, size_t full)
{
	double used[3], bare[3], encoded[3];
	char name[64];

	for (int i = 0; i < 3; i++) {
		size_t n = full >> (2 - i);
		size_t commands = thing == THING_TASK ? n / TASKS_PER_JOB : n;

		used[i] = memory_of(thing, commands, &encoded[i], &bare[i]);
		snprintf(name, sizeof(name), "store_%s_bytes_%zu", thing_names[thing], n);
		report(name, bare[i] / (double)n, "B", encoded[i] / (double)n);
	}
	snprintf(name, sizeof(name), "store_%s_slope", thing_names[thing]);
	report(name, (bare[2] - bare[0]) / (double)(full - (full >> 2)), "B",
	       (encoded[2] - encoded[0]) / (double)(full - (full >> 2)));
	if (thing == THING_EXPIRED || thing == THING_CLAIM || thing == THING_OUTCOME)
		return;
	snprintf(name, sizeof(name), "store_%s_result_slope", thing_names[thing]);
	report(name,
	       (used[2] - bare[2] - used[0] + bare[0]) / (double)(full - (full >> 2)),
	       "B", (encoded[2] - encoded[0]) / (double)(full - (full >> 2)));
}

static int count_bytes(void *arg, struct str bytes)
{
	*(size_t *)arg += bytes.n;
	return 0;
}

static void measure_snapshot(void)
{
	size_t before = heap_bytes();
	struct buf out = {0};
	struct bench b;
	double heap, crc_s, start, taken, streamed_s;
	size_t streamed = 0;

	open_store(&b);
	register_entry(&b);
	for (size_t i = 0; i < DOCS; i++)
		add_thing(&b, THING_DOC, i);
	for (size_t i = 0; i < CLAIMS; i++)
		add_thing(&b, THING_OUTCOME, i);
	for (size_t i = 0; i < JOBS; i++)
		add_thing(&b, THING_JOB, i);
	heap = (double)(heap_bytes() - before);
	report("store_target_heap", heap, "B", (double)b.encoded);
	start = now_s();
	if (store_snapshot(b.s, &out))
		errx(1, "snapshot failed");
	taken = now_s() - start;
	start = now_s();
	if (store_snapshot_write(b.s, count_bytes, &streamed) || streamed != out.n)
		errx(1, "streamed snapshot failed");
	streamed_s = now_s() - start;
	start = now_s();
	(void)crc32_z(0, (const Bytef *)out.p, out.n);
	crc_s = now_s() - start;
	report("store_snapshot_bytes", (double)out.n, "B", heap);
	report("store_snapshot_stream_time", streamed_s * 1e3, "ms", crc_s * 1e3);
	report("store_snapshot_time", taken * 1e3, "ms", crc_s * 1e3);
	start = now_s();
	if (store_restore(b.s, buf_str(&out)))
		errx(1, "restore failed");
	report("store_restore_time", (now_s() - start) * 1e3, "ms", crc_s * 1e3);
	report("store_restored_heap", (double)(heap_bytes() - before - out.cap), "B",
	       heap);
	buf_free(&out);
	close_store(&b);
}

/* Longest command: a vocabulary at its bound over 4,000 documents of its team. */
static void measure_vocabulary(void)
{
	static struct command_field fields[128];
	static char names[128][2][32];
	struct command c = {.body = {.kind = CMD_CONF_PUT}};
	struct command_conf_put *put = &c.body.command_body_u.conf_put;
	struct bench b;
	double start, full, nop;

	open_store(&b);
	for (size_t i = 0; i < 4000; i++) {
		make_put(&b, i * TEAMS, 0, i);
		apply(&b, 0);
	}
	for (int i = 0; i < 128; i++) {
		snprintf(names[i][0], 32, "fields.word-number-%03d", i);
		SET(fields[i], name, names[i][0]);
		SET(fields[i], value, "cpus");
	}
	put->fields.list.list_val = fields;
	put->fields.list.list_len = 128;
	SET(*put, path, "/team0/vocabulary");
	SET(*put, request_id, "vocabulary");
	SET(*put, text, "x");
	encode(&b, &c);
	start = now_s();
	apply(&b, 0);
	full = now_s() - start;
	make_put(&b, 4000 * TEAMS, 0, 4000);
	start = now_s();
	apply(&b, 0);
	nop = now_s() - start;
	report("store_vocabulary_change_4000_docs", full * 1e3, "ms", nop * 1e3);
	close_store(&b);
}

int main(void)
{
	measure_rates();
	measure_vocabulary();
	measure_memory(THING_DOC, DOCS);
	measure_memory(THING_CLAIM, CLAIMS);
	measure_memory(THING_OUTCOME, CLAIMS);
	measure_memory(THING_EXPIRED, CLAIMS);
	measure_memory(THING_JOB, JOBS);
	measure_memory(THING_TASK, JOBS);
	measure_snapshot();
	return 0;
}
