#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "core/dag_sched.h"
#include "proto/codec.h"

/*
 * Processor time of one placement pass of the leader with 1,900 workers: "burst" starts
 * thousands of tasks on idle workers, "full" finds no capacity for as many that wait.
 * Prints "name value unit baseline ratio"; the baseline has no organisations. Built with
 * BENCH_NO_ORGS, for versions without them, it prints the baseline alone.
 */
#define WORKERS 1900U
#define JOBS 2000U
#define ROUNDS 5U
#define PASSES 20U /* of a full cluster, in one round */
#define MAX_ORGS 64U
#define WALL_MS 1700000000000LL
#define START_US 1000000LL
#define PASS_US 200000LL
#define TICK_US 50000LL
#define FIRST_POLLS_US 2000000LL

static unsigned int n_starts;

static int count_start(struct dag_host *h, const struct dag_command *c)
{
	n_starts += c->kind == DAG_CMD_START;
	return 0;
}

static void no_order(struct dag_host *h, const struct dag_worker_command *o)
{
}

static void no_poll(struct dag_host *h, const struct dag_poll_command *o)
{
}

static void no_event(struct dag_host *h, const char *event, const struct dag_task_ref *t,
		     uint32_t run, struct str worker, const char *reason, int64_t value)
{
}

#ifndef BENCH_NO_ORGS
static struct dag_org orgs[MAX_ORGS];
static char names[MAX_ORGS][8];

static void no_org_event(struct dag_host *h, const char *event, struct str org,
			 const struct dag_task_ref *t, const char *reason, int64_t value)
{
}
#endif

static const struct dag_host_ops host_ops = {
	.propose = count_start,
	.start = no_order,
	.stop = no_order,
	.throttle = no_order,
	.poll = no_poll,
	.log_event = no_event,
	.log_final = no_event,
#ifndef BENCH_NO_ORGS
	.log_org = no_org_event,
#endif
};

struct world {
	struct dag_host host;
	struct dag_state *state;
	struct dag_sched *sched;
	int64_t now_us;
};

static void expect(int err)
{
	if (err) {
		fprintf(stderr, "error %d\n", err);
		exit(1);
	}
}

static void set_conf(struct world *w)
{
	struct dag_queue q = {.slo_ms = 1000, .attempts = 2, .stretch_milli = 2000};
	struct dag_service s = {.guarded = true};
	struct dag_conf conf = {.revision = 1};

	XDR_SET(q, name, STR("q"));
	XDR_SET(q, host, STR("h"));
	XDR_SET(q, prefix, STR("/q/"));
	XDR_SET(q, service, STR("svc"));
	XDR_SET(s, name, STR("svc"));
	conf.queues.queues_len = 1;
	conf.queues.queues_val = &q;
	conf.services.services_len = 1;
	conf.services.services_val = &s;
	expect(dag_state_set_conf(w->state, &conf));
}

static void add_workers(struct world *w)
{
	struct dag_worker_rec *rec;

	for (unsigned int i = 0; i < WORKERS; i++) {
		struct dag_worker x = {
			.born_ms = WALL_MS, .cpu_milli = 32000, .mem_mb = 128000};
		char id[16];

		snprintf(id, sizeof(id), "w%u", i);
		XDR_SET(x, id, str_from(id));
		XDR_SET(x, address, str_from(id));
		XDR_SET(x, service, STR("svc"));
		XDR_SET(x, zone, STR("z"));
		expect(dag_state_put_worker(w->state, 0, &x, &rec));
	}
}

/* Jobs of different sizes; a tenth of them are fillers. */
static void add_jobs(struct world *w, uint64_t first, uint32_t cpu, bool lasting)
{
	for (uint64_t i = 0; i < JOBS; i++) {
		struct dag_step st = {.count = lasting ? 1 : 3,
				      .cpu_milli = cpu + cpu / 8 * (uint32_t)(i % 8),
				      .mem_mb = 1000 + 500 * (uint32_t)(i % 5),
				      .estimate_ms = 1000 + 10 * (uint32_t)(i % 97),
				      .long_running = lasting,
				      .filler = !lasting && i % 10 == 0};
		struct dag_job job = {.id = first + i, .accepted_ms = WALL_MS};
		struct dag_job_rec *rec;

		XDR_SET(job, queue, STR("q"));
		job.steps.steps_len = 1;
		job.steps.steps_val = &st;
		expect(dag_state_add_job(w->state, &job, 2, &rec));
	}
}

static void own_jobs(struct world *w, unsigned int n_orgs)
{
#ifndef BENCH_NO_ORGS
	struct dag_job_rec *j;

	for (unsigned int i = 0; i < n_orgs; i++) {
		snprintf(names[i], sizeof(names[i]), "o%u", i);
		orgs[i] = (struct dag_org){.name = names[i], .weight = 1 + i % 5};
		HASH_ADD_KEYPTR(hh, w->state->orgs, orgs[i].name, strlen(names[i]),
				&orgs[i]);
	}
	for (j = w->state->jobs; j && n_orgs; j = j->hh.next)
		j->org = &orgs[j->id % n_orgs];
#endif
}

static void disown_jobs(struct world *w)
{
#ifndef BENCH_NO_ORGS
	struct dag_job_rec *j;

	for (j = w->state->jobs; j; j = j->hh.next)
		j->org = NULL;
	HASH_CLEAR(hh, w->state->orgs);
#endif
}

static void poll_workers(struct world *w)
{
	struct dag_poll_reply reply = {.born_ms = WALL_MS, .clock_ms = 1000};

	for (uint32_t i = 1; i <= WORKERS; i++)
		dag_sched_poll_replied(w->sched, i, DAG_RESULT_OK, &reply, w->now_us);
}

static void open_world(struct world *w, bool full, unsigned int n_orgs)
{
	struct dag_sched_options opt = {
		.host = &w->host,
		.epoch = 1,
		.lease_us = 10000000,
		.stop_us = 200000,
		.report_interval_us = 1000000000,
		.status_retention_us = 3600000000LL,
	};

	memset(w, 0, sizeof(*w));
	w->host.ops = &host_ops;
	w->now_us = START_US;
	expect(dag_state_new(&w->state));
	set_conf(w);
	add_workers(w);
	if (full)
		add_jobs(w, 1, 30000, true);
	add_jobs(w, 1 + JOBS, 2000, false);
	own_jobs(w, n_orgs);
	opt.state = w->state;
	expect(dag_sched_new(&opt, w->now_us, WALL_MS, &w->sched));
	for (; w->now_us < START_US + FIRST_POLLS_US; w->now_us += TICK_US) {
		dag_sched_tick(w->sched, w->now_us, WALL_MS);
		poll_workers(w);
	}
	n_starts = 0;
}

static void close_world(struct world *w)
{
	dag_sched_free(w->sched);
	disown_jobs(w);
	dag_state_free(w->state);
}

static double pass_us(struct world *w)
{
	struct timespec from, to;

	w->now_us += PASS_US;
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &from);
	dag_sched_place(w->sched, w->now_us);
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &to);
	return (double)(to.tv_sec - from.tv_sec) * 1e6 +
	       (double)(to.tv_nsec - from.tv_nsec) / 1e3;
}

/* The first pass on idle workers, or later ones, which find almost all of them full. */
static double round_us(bool full, unsigned int n_orgs)
{
	struct world w;
	double best;

	open_world(&w, full, n_orgs);
	best = pass_us(&w);
	if (n_starts < JOBS) {
		fprintf(stderr, "%u starts\n", n_starts);
		exit(1);
	}
	if (full)
		best = pass_us(&w);
	for (unsigned int i = 1; full && i < PASSES; i++) {
		double us = pass_us(&w);

		best = us < best ? us : best;
	}
	close_world(&w);
	return best;
}

int main(void)
{
#ifdef BENCH_NO_ORGS
	static const unsigned int n_orgs[] = {0};
#else
	static const unsigned int n_orgs[] = {0, 1, 8, 64};
#endif
	double best[2][sizeof(n_orgs) / sizeof(*n_orgs)] = {{0}};
	size_t n = sizeof(n_orgs) / sizeof(*n_orgs);

	for (unsigned int round = 0; round < ROUNDS; round++)
		for (unsigned int full = 0; full < 2; full++)
			for (size_t i = 0; i < n; i++) {
				double us = round_us(full, n_orgs[i]);

				if (!round || us < best[full][i])
					best[full][i] = us;
			}
	for (unsigned int full = 0; full < 2; full++)
		for (size_t i = 0; i < n; i++)
			printf("dag_place_%s_%u_orgs %.5g us %.5g %.3f\n",
			       full ? "full" : "burst", n_orgs[i], best[full][i],
			       best[full][0], best[full][i] / best[full][0]);
	return 0;
}
