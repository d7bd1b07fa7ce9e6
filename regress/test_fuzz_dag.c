/* Log entries and snapshots of the controllers' state. */
#include <stdlib.h>

#include "base/err.h"
#include "core/dag_state.h"
#include "proto/codec.h"
#include "regress/lib_fuzz.h"

#define N_ENTRIES 60000
#define N_IMAGES 30000
#define WALL_MS 1700000000000LL
#define ENTRIES_A_STATE 64 /* applied to one state before it begins anew */
#define MAX_STATE_TASKS 5000

static struct dag_state *state;
static struct buf before, after;

static void add_seed(struct fuzz *f, struct dag_command *commands, u_int n)
{
	struct dag_batch b = {.time_ms = WALL_MS + (int64_t)f->n_seeds};
	struct buf bytes = {0};

	b.commands.commands_len = n;
	b.commands.commands_val = commands;
	FUZZ_MUST((codec_encode((xdrproc_t)xdr_dag_batch, &b, &bytes)) == 0);
	fuzz_add(f, buf_str(&bytes));
	buf_free(&bytes);
}

static void add_conf(struct fuzz *f)
{
	struct dag_command c = {.kind = DAG_CMD_CONF};
	struct dag_conf *conf = &c.dag_command_u.conf;
	struct dag_queue queue = {.timeout_ms = 3000, .attempts = 2};
	struct dag_service service = {.guarded = true};

	XDR_SET(queue, name, STR("q"));
	XDR_SET(queue, host, STR("h.example"));
	XDR_SET(queue, prefix, STR("/p/"));
	XDR_SET(queue, service, STR("s"));
	XDR_SET(service, name, STR("s"));
	conf->revision = 1;
	XDR_SET(*conf, source, STR("{}"));
	conf->queues.queues_len = 1;
	conf->queues.queues_val = &queue;
	conf->services.services_len = 1;
	conf->services.services_val = &service;
	add_seed(f, &c, 1);
}

static void add_workers(struct fuzz *f)
{
	struct dag_command c[4] = {{.kind = DAG_CMD_WORKER}, {.kind = DAG_CMD_WORKER}};
	struct dag_name labels[2] = {{{3, (char *)(uintptr_t) "ssd"}}, {{0, NULL}}};

	for (int i = 0; i < 2; i++) {
		struct dag_worker *w = &c[i].dag_command_u.worker;

		XDR_SET(*w, id, i ? STR("i-2") : STR("i-1"));
		XDR_SET(*w, address, STR("10.0.0.1:80"));
		XDR_SET(*w, service, STR("s"));
		XDR_SET(*w, zone, STR("z"));
		w->cpu_milli = 4000;
		w->labels.labels_len = 2;
		w->labels.labels_val = labels;
	}
	c[2].kind = DAG_CMD_CONTACT;
	c[2].dag_command_u.contact = (struct dag_contact){1, true};
	c[3].kind = DAG_CMD_ZONE;
	c[3].dag_command_u.zone.closed = true;
	XDR_SET(c[3].dag_command_u.zone, name, STR("z"));
	add_seed(f, c, 4);
	for (int i = 0; i < 2; i++)
		c[i].dag_command_u.worker.state =
			i ? DAG_WORKER_GONE : DAG_WORKER_DRAINING;
	c[2].dag_command_u.contact.lost = false;
	c[3].dag_command_u.zone.closed = false;
	add_seed(f, c, 4);
}

static void add_jobs(struct fuzz *f)
{
	struct dag_command c[2] = {{.kind = DAG_CMD_SUBMIT}, {.kind = DAG_CMD_SUBMIT}};
	struct dag_step steps[3] = {{.count = 2, .checkpointable = true},
				    {.count = 2, .gang = true},
				    {.count = 1, .long_running = true}};
	u_int first = 0;

	XDR_SET(steps[2], image, STR("img"));
	steps[1].depends_on.depends_on_len = 1;
	steps[1].depends_on.depends_on_val = &first;
	for (int i = 0; i < 2; i++) {
		struct dag_job *j = &c[i].dag_command_u.job;

		j->id = (uint64_t)i + 1;
		XDR_SET(*j, queue, STR("q"));
		XDR_SET(*j, spec, STR("work"));
		j->steps.steps_len = i ? 3 : 2;
		j->steps.steps_val = steps;
		j->occurrences = i ? 0 : 2;
		j->accepted_ms = WALL_MS;
	}
	add_seed(f, c, 2);
}

static void add_runs(struct fuzz *f)
{
	static const enum dag_end_how hows[] = {DAG_END_DONE, DAG_END_FAILED,
						DAG_END_CRASHED, DAG_END_CRASHED_ALONE,
						DAG_END_LAPSED};
	struct dag_command c[8] = {{.kind = DAG_CMD_START}};

	for (u_int i = 0; i < 5; i++) {
		struct dag_task_ref task = {
			.job = 1 + i % 2, .step = i / 2, .index = i % 2};
		struct dag_command start = {.kind = DAG_CMD_START};
		struct dag_command end = {.kind = DAG_CMD_END};

		start.dag_command_u.start =
			(struct dag_start){.task = task, .run = 1, .worker = 1 + i % 2};
		end.dag_command_u.end =
			(struct dag_end){.task = task, .run = 1, .how = hows[i]};
		XDR_SET(end.dag_command_u.end, checkpoint, STR("at 7"));
		c[0] = start;
		add_seed(f, c, 1);
		c[1] = end;
		add_seed(f, &c[1], 1);
		add_seed(f, c, 2);
	}
	c[0] = (struct dag_command){.kind = DAG_CMD_CANCEL, .dag_command_u.cancel = 1};
	c[1] = (struct dag_command){.kind = DAG_CMD_FORGET, .dag_command_u.forget = 1};
	add_seed(f, c, 2);
}

static void add_withdrawals(struct fuzz *f)
{
	struct dag_command c[3] = {{.kind = DAG_CMD_WITHDRAW},
				   {.kind = DAG_CMD_WITHDRAW},
				   {.kind = DAG_CMD_WITHDRAW}};

	for (u_int i = 0; i < 3; i++) {
		c[i].dag_command_u.withdrawal.job = 1 + i;
		XDR_SET(c[i].dag_command_u.withdrawal, queue, STR("q"));
	}
	add_seed(f, c, 3);
}

static void add_model(struct fuzz *f)
{
	struct dag_command c = {.kind = DAG_CMD_MODEL};
	struct dag_model_image image = {.base_us = 900};
	u_int slope = 1500;

	XDR_SET(image, name, STR("img"));
	c.dag_command_u.model.images.images_len = 1;
	c.dag_command_u.model.images.images_val = &image;
	c.dag_command_u.model.slope_milli.slope_milli_len = 1;
	c.dag_command_u.model.slope_milli.slope_milli_val = &slope;
	add_seed(f, &c, 1);
}

/* A configuration with two organisations, a job of each, and withdrawals. */
static void add_orgs(struct fuzz *f)
{
	static const char *const names[] = {"a", "b", ""};
	struct dag_digest digests[3] = {{"1"}, {"2"}, {"3"}};
	struct dag_org_spec specs[2] = {{.weight = 19, .cpu_milli = 1897323},
					{.weight = 1}};
	struct dag_step step = {.count = 1};
	struct dag_command c[3] = {{.kind = DAG_CMD_ORG_CONF}};
	struct dag_org_conf *conf = &c[0].dag_command_u.org_conf;
	struct dag_queue queues[2] = {{.timeout_ms = 3000}, {.timeout_ms = 3000}};
	u_int public_queue = 1;

	for (int i = 0; i < 2; i++) {
		XDR_SET(specs[i], name, str_from(names[i]));
		specs[i].credentials.credentials_len = i ? 1 : 2;
		specs[i].credentials.credentials_val = i ? &digests[2] : digests;
		XDR_SET(queues[i], name, i ? STR("open") : STR("q"));
		XDR_SET(queues[i], host, STR("h.example"));
		XDR_SET(queues[i], prefix, i ? STR("/open/") : STR("/p/"));
	}
	conf->conf.revision = 2;
	conf->conf.queues.queues_len = 2;
	conf->conf.queues.queues_val = queues;
	conf->orgs.orgs_len = 2;
	conf->orgs.orgs_val = specs;
	conf->public_queues.public_queues_len = 1;
	conf->public_queues.public_queues_val = &public_queue;
	add_seed(f, c, 1);
	for (u_int i = 0; i < 3; i++) {
		struct dag_org_job *j = &c[i].dag_command_u.org_job;

		c[i] = (struct dag_command){.kind = DAG_CMD_ORG_SUBMIT};
		j->job.id = 30 + i;
		XDR_SET(j->job, queue, STR("q"));
		j->job.steps.steps_len = 1;
		j->job.steps.steps_val = &step;
		XDR_SET(j->org, text, str_from(names[i]));
	}
	add_seed(f, c, 3);
	for (u_int i = 0; i < 3; i++) {
		struct dag_org_withdrawal *w = &c[i].dag_command_u.org_withdrawal;

		c[i] = (struct dag_command){.kind = DAG_CMD_ORG_WITHDRAW};
		w->withdrawal.job = 31 + i;
		XDR_SET(w->withdrawal, queue, STR("q"));
		XDR_SET(w->org, text, str_from(names[i]));
	}
	add_seed(f, c, 3);
	/* The first is dropped; its job keeps it. */
	c[0] = (struct dag_command){.kind = DAG_CMD_ORG_CONF};
	conf->conf.revision = 3;
	conf->orgs.orgs_len = 1;
	conf->orgs.orgs_val = &specs[1];
	add_seed(f, c, 1);
	c[0] = (struct dag_command){.kind = DAG_CMD_CANCEL, .dag_command_u.cancel = 30};
	c[1] = (struct dag_command){.kind = DAG_CMD_FORGET, .dag_command_u.forget = 30};
	add_seed(f, c, 2);
}

static void add_entries(struct fuzz *f)
{
	add_conf(f);
	add_workers(f);
	add_jobs(f);
	add_runs(f);
	add_model(f);
	add_withdrawals(f);
	add_orgs(f);
}

static void open_state(void)
{
	FUZZ_MUST((dag_state_new(&state)) == 0);
}

static void take(struct fuzz *f, const struct dag_state *s, struct buf *out)
{
	out->n = 0;
	FUZZ_CHECK(f, dag_state_snapshot(s, out) == 0);
}

/* The state of another replica that was restored from this one. */
static void check_snapshot(struct fuzz *f)
{
	struct dag_state *other;

	take(f, state, &before);
	FUZZ_MUST((dag_state_new(&other)) == 0);
	FUZZ_CHECK(f, dag_state_restore(other, buf_str(&before)) == 0);
	take(f, other, &after);
	FUZZ_CHECK(f, str_eq(buf_str(&before), buf_str(&after)));
	dag_state_free(other);
}

static bool decodes(struct str entry)
{
	struct dag_batch b = {0};
	int err = codec_decode((xdrproc_t)xdr_dag_batch, &b, entry);

	codec_free((xdrproc_t)xdr_dag_batch, &b);
	return !err;
}

/* A state with some of each kind; large ones make the test slow. */
static void begin_state(struct fuzz *f, size_t n)
{
	dag_state_free(state);
	open_state();
	for (size_t i = 0; i < n; i++)
		FUZZ_MUST((dag_state_apply(state, buf_str(&f->seeds[i]))) == 0);
}

/*
 * Guards against an entry that ends every replica, an entry that is refused and yet
 * changes the state, and a state that cannot be restored from its snapshot.
 */
START_TEST(log_entries)
{
	struct str input;
	struct fuzz f;

	fuzz_open(&f, "dag_entries", N_ENTRIES);
	add_entries(&f);
	open_state();
	while (fuzz_next(&f, &input)) {
		if (f.inputs % ENTRIES_A_STATE == 1 || state->n_tasks > MAX_STATE_TASKS)
			begin_state(&f, prng_below(&f.prng, f.n_seeds + 1));
		if (decodes(input)) {
			f.accepted++;
			FUZZ_CHECK(&f, dag_state_apply(state, input) == 0);
			if (state->n_tasks <= MAX_STATE_TASKS)
				check_snapshot(&f);
			continue;
		}
		take(&f, state, &before);
		FUZZ_CHECK(&f, dag_state_apply(state, input) == 0);
		take(&f, state, &after);
		FUZZ_CHECK(&f, str_eq(buf_str(&before), buf_str(&after)));
	}
	dag_state_free(state);
	fuzz_close(&f);
}
END_TEST

/* The state after each of the entries. */
static void add_images(struct fuzz *f, const struct fuzz *entries)
{
	open_state();
	for (size_t i = 0; i < entries->n_seeds; i++) {
		FUZZ_MUST((dag_state_apply(state, buf_str(&entries->seeds[i]))) == 0);
		take(f, state, &before);
		fuzz_add(f, buf_str(&before));
	}
}

/* Applies valid entries to a state that came from a snapshot. */
static void check_goes_on(struct fuzz *f, const struct fuzz *entries)
{
	check_snapshot(f);
	for (size_t i = 0; i < entries->n_seeds; i++)
		FUZZ_CHECK(f, dag_state_apply(state, buf_str(&entries->seeds[i])) == 0);
	check_snapshot(f);
}

/*
 * Guards against a snapshot that ends the process, that allocates more than its size
 * warrants, that is refused and yet changes the state, or that is taken and cannot be
 * given on.
 */
START_TEST(snapshots)
{
	struct fuzz entries = {0};
	struct buf kept = {0};
	struct str input;
	struct fuzz f;

	add_entries(&entries);
	fuzz_open(&f, "dag_images", N_IMAGES);
	add_images(&f, &entries);
	while (fuzz_next(&f, &input)) {
		struct dag_state *fresh;

		FUZZ_MUST((dag_state_new(&fresh)) == 0);
		if (dag_state_restore(fresh, input) == 0) {
			f.accepted++;
			fuzz_check_memory(&f, input.n);
			dag_state_free(state);
			state = fresh;
			check_goes_on(&f, &entries);
			continue;
		}
		dag_state_free(fresh);
		take(&f, state, &kept);
		FUZZ_CHECK(&f, dag_state_restore(state, input) != 0);
		take(&f, state, &after);
		FUZZ_CHECK(&f, str_eq(buf_str(&kept), buf_str(&after)));
	}
	dag_state_free(state);
	buf_free(&kept);
	fuzz_close(&f);
	fuzz_free(&entries);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {log_entries, snapshots};

	return fuzz_main("fuzz_dag", tests, sizeof(tests) / sizeof(tests[0]));
}
