#include "regress/lib_sched_world.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/err.h"

#define POLL_RETRY_US 500000 /* a worker that got no response polls again */
#define ZONE_BOUND_US 2000000
#define FAIL_AFTER_US 200000
#define COMMIT_US 8000
#define STOP_US 200000	 /* longest time that a task takes to stop */
#define SAMPLE_US 350000 /* between two measurements of a task */

enum sim_event_kind { EV_POLL, EV_REPORT, EV_REPLY, EV_LEASE, EV_COMMIT, EV_LEADER };

struct sim_event {
	struct sched_node node; /* first member */
	enum sim_event_kind kind;
	struct sim_worker *worker;
	uint64_t stamp; /* timer, seq, or epoch of a proposal */
	uint64_t session;
	struct sched_worker_report report;
	struct sched_task_report *lines;
	struct sched_reply reply;
	struct sched_command *commands;
	struct sched_record record;
	struct sim_job *job;
	struct sim_worker *target;
	struct sim_silence silence[SCHED_MAX_SILENCES]; /* of record */
};

static const char *const team_names[] = {"guild", "pinecrest", "third", "fourth"};

struct str sim_team(unsigned int i)
{
	return str_from(team_names[i]);
}

void sim_fail(struct sim *w, const char *text, const struct sim_job *j, uint32_t task)
{
	if (w->errors++ == 0)
		snprintf(w->error, sizeof(w->error), "%s: job %s task %u at %.6f s", text,
			 j ? j->name : "-", task, (double)w->now_us / 1e6);
}

static int64_t leader_clock(const struct sim *w)
{
	return (int64_t)((double)w->now_us * w->rate) + w->offset_us;
}

static int64_t worker_clock(const struct sim *w, const struct sim_worker *k)
{
	return (int64_t)((double)w->now_us * k->rate);
}

static struct sim_event *event(struct sim *w, enum sim_event_kind kind, int64_t at_us)
{
	struct sim_event *e = calloc(1, sizeof(*e));

	if (!e)
		abort();
	e->kind = kind;
	e->node.key = at_us > w->now_us ? at_us : w->now_us;
	e->node.tie = w->tie++;
	if (sched_heap_push(&w->events, &e->node))
		abort();
	return e;
}

static void event_free(struct sim_event *e)
{
	free(e->lines);
	free(e->commands);
	free(e);
}

static int64_t message_delay(struct sim *w)
{
	int64_t d = 1500 + (int64_t)prng_below(&w->rng, 3000);

	/* A few messages are very late, so that order changes. */
	if (w->opt.delay_us && prng_below(&w->rng, 20) == 0)
		d = (int64_t)prng_below(&w->rng, (uint64_t)w->opt.delay_us);
	return d;
}

static bool message_lost(struct sim *w)
{
	return w->opt.loss && prng_below(&w->rng, 1000) < w->opt.loss;
}

static struct sim_job *job_by_name(struct sim *w, struct str name)
{
	uint64_t i;

	if (name.n < 2 || str_to_u64((struct str){name.p + 1, name.n - 1}, &i) ||
	    i >= w->njobs)
		abort();
	return w->job[i];
}

static struct sim_worker *worker_by_name(struct sim *w, struct str name)
{
	uint64_t i;

	if (name.n < 2 || str_to_u64((struct str){name.p + 1, name.n - 1}, &i) ||
	    i >= w->opt.workers)
		return NULL;
	return &w->worker[i];
}

static struct sim_task *task_of(struct sim_job *j, uint32_t number)
{
	if (number >= j->ntasks) {
		uint32_t n = number * 2 + 8;
		struct sim_task *p = realloc(j->task, n * sizeof(*p));

		if (!p)
			abort();
		memset(p + j->ntasks, 0, (n - j->ntasks) * sizeof(*p));
		j->task = p;
		j->ntasks = n;
	}
	return &j->task[number];
}

/* Workers. */

static bool is_running(const struct sim_run *r)
{
	return r->status == SCHED_T_RUNNING;
}

static void end_run(struct sim *w, struct sim_worker *k, struct sim_run *r,
		    enum sched_status status, int32_t exit_code)
{
	struct sim_task *t = task_of(r->job, r->task);

	if (!is_running(r))
		return;
	r->status = status;
	r->exit_code = exit_code;
	t->running--;
	k->used.cpu_milli -= r->job->opt.size.cpu_milli;
	k->used.memory_mb -= r->job->opt.size.memory_mb;
	k->used.accelerators -= r->job->opt.size.accelerators;
	if (r->job->opt.class == SCHED_LATENCY)
		return;
	if (status == SCHED_T_DONE) {
		if (t->finished && t->state == SCHED_DONE)
			sim_fail(w, "finished again after its record", r->job, r->task);
		t->finished = r->attempt;
		t->finish_lost = false;
		w->work_us += (double)r->job->run_us;
	} else {
		w->lost_us += r->done_us - (double)r->checkpoint;
	}
}

static double neighbours(const struct sim *w, const struct sim_worker *k,
			 const struct sim_job *j)
{
	double sum = 0;

	for (const struct sim_run *r = k->runs; r; r = r->next)
		if (is_running(r) && r->job->opt.class != SCHED_LATENCY)
			sum += w->coef[j->kind][r->job->kind] * r->job->cpu_milli *
			       r->percent / 100.0 / k->capacity.cpu_milli;
	return sum;
}

static void measure(struct sim *w, struct sim_worker *k, struct sim_run *r)
{
	const struct sim_sample *last = &r->sample[(r->nsamples - 1) % SIM_HISTORY];
	struct sim_sample *x;

	if (r->nsamples && w->now_us - last->at_us < SAMPLE_US)
		return;
	x = &r->sample[r->nsamples++ % SIM_HISTORY];
	x->at_us = w->now_us;
	x->cpu_milli = r->job->cpu_milli * r->percent / 100;
	x->latency_us = 0;
	if (r->job->opt.class == SCHED_LATENCY) {
		double f = 1 + w->load * neighbours(w, k, r->job);

		f *= 1 + w->opt.noise * (prng_unit(&w->rng) * 2 - 1);
		x->latency_us = (int64_t)((double)r->job->base_us * f);
		if (w->latency)
			w->latency(w, r->job, x->latency_us);
	}
}

/* Runs the tasks of a worker up to now. */
static void advance(struct sim *w, struct sim_worker *k)
{
	double dt = (double)(w->now_us - k->advanced_us);

	k->advanced_us = w->now_us;
	for (struct sim_run *r = k->runs; r; r = r->next) {
		if (!is_running(r))
			continue;
		r->done_us += dt * r->percent / 100;
		if (r->stop_us && w->now_us >= r->stop_us) {
			end_run(w, k, r, SCHED_T_STOPPED, 0);
			continue;
		}
		if ((r->job->poison || k->bad) && r->done_us >= FAIL_AFTER_US) {
			k->failures++;
			end_run(w, k, r, SCHED_T_FAILED, 1);
		} else if (r->job->opt.class != SCHED_LATENCY &&
			   r->done_us >= (double)r->job->run_us) {
			end_run(w, k, r, SCHED_T_DONE, 0);
		} else {
			measure(w, k, r);
		}
	}
}

/*
 * Notes that the leader may take the results of this worker for lost: it has not received
 * a command to forget them, so their records may be missing.
 */
static void lose_results(struct sim_worker *k)
{
	for (struct sim_run *r = k->runs; r; r = r->next) {
		struct sim_task *t = task_of(r->job, r->task);

		if (r->status == SCHED_T_DONE && t->finished == r->attempt)
			t->finish_lost = true;
	}
}

static void check_lease(struct sim *w, struct sim_worker *k)
{
	if (!k->up || worker_clock(w, k) < k->lease_us)
		return;
	advance(w, k);
	for (struct sim_run *r = k->runs; r; r = r->next)
		end_run(w, k, r, SCHED_T_STOPPED, 0);
	lose_results(k);
}

static const struct sim_sample *old_sample(const struct sim *w, const struct sim_run *r)
{
	const struct sim_sample *best = NULL;

	for (unsigned int i = 0; i < SIM_HISTORY && i < r->nsamples; i++) {
		const struct sim_sample *x = &r->sample[i];

		if (x->at_us <= w->now_us - w->opt.lag_us &&
		    (!best || x->at_us > best->at_us))
			best = x;
	}
	return best;
}

static void fill_report(struct sim *w, struct sim_worker *k, struct sim_event *e)
{
	size_t n = 0;

	for (struct sim_run *r = k->runs; r; r = r->next)
		n++;
	e->lines = calloc(n + 1, sizeof(*e->lines));
	if (!e->lines)
		abort();
	n = 0;
	for (struct sim_run *r = k->runs; r; r = r->next) {
		const struct sim_sample *x = is_running(r) ? old_sample(w, r) : NULL;

		e->lines[n++] = (struct sched_task_report){
			.team = sim_team(r->job->team),
			.job = str_from(r->job->name),
			.task = r->task,
			.attempt = r->attempt,
			.status = r->status,
			.exit_code = r->exit_code,
			.checkpoint = r->checkpoint,
			.cpu_milli = x ? x->cpu_milli : 0,
			.memory_mb = x ? r->job->opt.size.memory_mb : 0,
			.latency_us = x ? x->latency_us : 0,
		};
	}
	e->report = (struct sched_worker_report){
		.worker = str_from(k->name),
		.zone = str_from(k->zone),
		.rack = str_from(k->rack),
		.session = k->session,
		.seq = k->seq,
		.epoch = k->epoch,
		.capacity = k->capacity,
		.lag_us = w->opt.lag_us,
		.tasks = e->lines,
		.ntasks = n,
	};
}

static void next_poll(struct sim *w, struct sim_worker *k, int64_t at_us)
{
	struct sim_event *e = event(w, EV_POLL, at_us);

	e->worker = k;
	e->stamp = ++k->timer;
}

static void send_poll(struct sim *w, struct sim_worker *k)
{
	unsigned int copies = message_lost(w) ? 0 : 1;

	check_lease(w, k);
	advance(w, k);
	k->seq++;
	k->sent_us = worker_clock(w, k);
	if (copies && message_lost(w))
		copies = 2;
	if (k->cut)
		copies = 0;
	while (copies--) {
		struct sim_event *e = event(w, EV_REPORT, w->now_us + message_delay(w));

		e->worker = k;
		e->stamp = k->seq;
		e->session = k->session;
		fill_report(w, k, e);
	}
	next_poll(w, k, w->now_us + (w->opt.retry_us ? w->opt.retry_us : POLL_RETRY_US));
}

static struct sim_run *find_run(struct sim_worker *k, const struct sched_command *o,
				struct sim_job *j)
{
	for (struct sim_run *r = k->runs; r; r = r->next)
		if (r->job == j && r->task == o->task && r->attempt == o->attempt)
			return r;
	return NULL;
}

static bool fits(struct sched_size a, struct sched_size b, struct sched_size cap)
{
	return a.cpu_milli + b.cpu_milli <= cap.cpu_milli &&
	       a.memory_mb + b.memory_mb <= cap.memory_mb &&
	       a.accelerators + b.accelerators <= cap.accelerators;
}

static void start_run(struct sim *w, struct sim_worker *k, struct sim_job *j,
		      const struct sched_command *o)
{
	struct sim_task *t = task_of(j, o->task);
	int64_t out_us = w->out_us[j->team][k->zone_index];
	struct sim_run *r = find_run(k, o, j);

	if (r) /* the order was repeated */
		return;
	if (t->running)
		sim_fail(w, "task in two places at once", j, o->task);
	if (!fits(o->size, k->used, k->capacity))
		sim_fail(w, "worker above its capacity", j, o->task);
	if (out_us && w->now_us > out_us + ZONE_BOUND_US)
		sim_fail(w, "start in a zone that is out", j, o->task);
	if (t->attempt < o->attempt)
		sim_fail(w, "start without a committed intent", j, o->task);
	if (o->attempt <= t->started)
		sim_fail(w, "attempt started again or out of order", j, o->task);
	if (t->state == SCHED_DONE)
		sim_fail(w, "start after the end was recorded", j, o->task);
	if (t->finished && !t->finish_lost)
		sim_fail(w, "finished task started again", j, o->task);
	if (o->checkpoint != t->checkpoint || o->checkpoint > t->written)
		sim_fail(w, "not resumed from the recorded checkpoint", j, o->task);
	t->started = o->attempt;
	t->running++;
	t->starts++;
	if (!t->started_us)
		t->started_us = w->now_us;
	w->starts++;
	k->used.cpu_milli += o->size.cpu_milli;
	k->used.memory_mb += o->size.memory_mb;
	k->used.accelerators += o->size.accelerators;
	r = calloc(1, sizeof(*r));
	if (!r)
		abort();
	r->job = j;
	r->task = o->task;
	r->attempt = o->attempt;
	r->checkpoint = o->checkpoint;
	r->done_us = (double)o->checkpoint;
	r->percent = 100;
	r->next = k->runs;
	k->runs = r;
}

static void forget_run(struct sim_worker *k, struct sim_run *r)
{
	struct sim_run **p = &k->runs;

	while (*p != r)
		p = &(*p)->next;
	*p = r->next;
	free(r);
}

static void write_checkpoint(struct sim_run *r)
{
	struct sim_task *t = task_of(r->job, r->task);

	if (!r->job->opt.checkpoint || r->done_us < 1)
		return;
	r->checkpoint = (uint64_t)r->done_us;
	if (r->checkpoint > t->written)
		t->written = r->checkpoint;
}

static void check_forget(struct sim *w, const struct sim_run *r)
{
	const struct sim_task *t = task_of(r->job, r->task);

	if (t->attempt == r->attempt && t->state != SCHED_WAITING &&
	    t->state < SCHED_DONE)
		sim_fail(w, "forget for an end that is not recorded", r->job, r->task);
}

static void obey(struct sim *w, struct sim_worker *k, const struct sched_command *o)
{
	struct sim_job *j = job_by_name(w, o->job);
	struct sim_run *r = find_run(k, o, j);

	if (o->op == SCHED_START) {
		start_run(w, k, j, o);
		return;
	}
	if (!r)
		return;
	switch (o->op) {
	case SCHED_STOP:
		if (!r->stop_us)
			r->stop_us = w->now_us + (int64_t)prng_below(&w->rng, STOP_US);
		break;
	case SCHED_CHECKPOINT:
		if (is_running(r))
			write_checkpoint(r);
		break;
	case SCHED_THROTTLE:
		r->percent = o->percent;
		break;
	case SCHED_FORGET:
		if (is_running(r))
			sim_fail(w, "forget for a running task", j, o->task);
		else
			check_forget(w, r);
		if (!is_running(r))
			forget_run(k, r);
		break;
	case SCHED_START:
		break;
	}
}

static void take_reply(struct sim *w, struct sim_event *e)
{
	struct sim_worker *k = e->worker;
	int64_t now = worker_clock(w, k);

	if (!k->up || k->cut || e->session != k->session || e->stamp != k->seq ||
	    e->reply.epoch < k->epoch)
		return;
	check_lease(w, k);
	advance(w, k);
	k->epoch = e->reply.epoch;
	if (e->reply.lease_us) {
		struct sim_event *l;

		k->lease_us = k->sent_us + e->reply.lease_us;
		l = event(w, EV_LEASE,
			  w->now_us + (int64_t)((double)(k->lease_us - now) / k->rate) +
				  1);
		l->worker = k;
	}
	for (size_t i = 0; i < e->reply.ncommands; i++) {
		/* A response may arrive so late that the lease it renews has ended. */
		if (now >= k->lease_us || now >= k->sent_us + e->commands[i].expires_us)
			w->late_starts++;
		else
			obey(w, k, &e->commands[i]);
	}
	check_lease(w, k);
	next_poll(w, k, w->now_us + e->reply.poll_us);
}

/* Leader and store. */

static int sim_propose(struct sched_host *host, const struct sched_record *r)
{
	struct sim *w = (struct sim *)host;
	struct sim_event *e;
	int64_t at = w->now_us + 1000 + w->opt.sync_us +
		     (int64_t)prng_below(&w->rng, COMMIT_US);

	if (w->busy_store && prng_below(&w->rng, 50) == 0)
		return CF_EBUSY;
	if (at < w->last_commit_us)
		at = w->last_commit_us;
	w->last_commit_us = at;
	e = event(w, EV_COMMIT, at);
	e->stamp = w->epoch;
	e->record = *r;
	e->job = job_by_name(w, r->job);
	e->target = worker_by_name(w, r->worker);
	for (uint32_t i = 0; i < r->nsilences; i++)
		e->silence[i] = (struct sim_silence){
			worker_by_name(w, r->silence[i].worker), r->silence[i].session};
	return 0;
}

/* It commits at once; the order of records does not matter to it. */
static int sim_record_capacity(struct sched_host *host, struct sched_size capacity)
{
	struct sim *w = (struct sim *)host;

	if (w->busy_store && prng_below(&w->rng, 50) == 0)
		return CF_EBUSY;
	capacity_add(&w->capacities, capacity);
	return 0;
}

static const struct sched_ops sim_ops = {
	.propose = sim_propose,
	.record_capacity = sim_record_capacity,
};

static void apply(struct sim *w, struct sim_event *e)
{
	struct sched_record *r = &e->record;
	struct sim_job *j = e->job;
	struct sim_task *t = task_of(j, r->task);

	if (r->attempt < t->attempt ||
	    (r->attempt == t->attempt && t->exists && t->state >= SCHED_DONE))
		sim_fail(w, "record goes back", j, r->task);
	/* The store's records of a service are bounded by it. */
	if (j->opt.class == SCHED_LATENCY && r->task >= SCHED_SERVICE_SPAN * j->opt.tasks)
		sim_fail(w, "number above the span of its service", j, r->task);
	if (r->state == SCHED_PLACED) {
		bool idle = t->state == SCHED_WAITING || (j->opt.class == SCHED_LATENCY &&
							  t->state == SCHED_CANCELLED);

		if (r->attempt != t->attempt + 1 || !idle)
			sim_fail(w, "intent before the last attempt is over", j, r->task);
		if (t->running)
			sim_fail(w, "intent while an attempt runs", j, r->task);
	}
	if (r->state == SCHED_DONE && t->finished != r->attempt)
		sim_fail(w, "recorded done without having finished", j, r->task);
	if ((r->state == SCHED_WAITING || r->state >= SCHED_DONE) && t->running)
		sim_fail(w, "recorded over while it runs", j, r->task);
	if (r->state == SCHED_DONE)
		w->done++;
	if (r->state == SCHED_WAITING && r->reason <= SCHED_R_INTERFERENCE)
		w->evictions++;
	if (r->state == SCHED_DONE)
		t->done_us = w->now_us;
	t->exists = true;
	t->attempt = r->attempt;
	t->state = r->state;
	/* The record of an end may come without the worker. */
	if (e->target)
		t->worker = e->target;
	t->session = r->session;
	t->exit_code = r->exit_code;
	t->checkpoint = r->checkpoint;
	t->failures = r->failures;
	t->losses = r->losses;
	t->pardons = r->pardons;
	t->silent = r->silent;
	t->nsilences = r->nsilences;
	memcpy(t->silence, e->silence, sizeof(t->silence));
	if (r->state == SCHED_PLACED)
		t->placed_us = w->now_us;
	t->reason = r->reason;
}

static double wall_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec * 1e9 + (double)ts.tv_nsec;
}

static void take_commit(struct sim *w, struct sim_event *e)
{
	double from;

	if (w->busy_store && w->leading && e->stamp == w->epoch && w->sched &&
	    prng_below(&w->rng, 30) == 0) {
		e->record.team = sim_team(e->job->team);
		e->record.job = str_from(e->job->name);
		sched_refused(w->sched, &e->record,
			      task_of(e->job, e->record.task)->attempt, leader_clock(w));
		return;
	}
	apply(w, e);
	if (!w->leading || e->stamp != w->epoch)
		return;
	e->record.team = sim_team(e->job->team);
	e->record.job = str_from(e->job->name);
	from = wall_ns();
	w->policy->committed(w->policy, &e->record, leader_clock(w));
	w->wall_ns += wall_ns() - from;
}

static struct sched_job job_options(const struct sim *w, const struct sim_job *j)
{
	struct sched_job o = j->opt;

	o.team = sim_team(j->team);
	o.name = str_from(j->name);
	if (o.deadline_us)
		o.deadline_us += leader_clock(w) - w->now_us;
	o.cancelled = j->cancelled;
	return o;
}

static void feed_tasks(struct sim *w, struct sim_job *j)
{
	uint32_t n = j->opt.class == SCHED_LATENCY ? j->ntasks : j->opt.tasks;

	for (uint32_t i = 0; i < n; i++) {
		struct sim_task *t = task_of(j, i);
		struct sched_record r = {
			.team = sim_team(j->team),
			.job = str_from(j->name),
			.task = i,
			.attempt = t->attempt,
			.state = t->state,
			.session = t->session,
			.exit_code = t->exit_code,
			.checkpoint = t->checkpoint,
			.failures = t->failures,
			.losses = t->losses,
			.pardons = t->pardons,
			.silent = t->silent,
			.nsilences = t->nsilences,
			.placed_us = t->placed_us + leader_clock(w) - w->now_us,
		};

		if ((t->state >= SCHED_DONE && j->opt.class != SCHED_LATENCY) ||
		    (j->opt.class == SCHED_LATENCY && !t->exists))
			continue;
		if (t->worker)
			r.worker = str_from(t->worker->name);
		for (uint32_t k = 0; k < t->nsilences; k++)
			r.silence[k] = (struct sched_silence){
				str_from(t->silence[k].worker->name),
				t->silence[k].session};
		if (sched_load_task(w->sched, &r, leader_clock(w)))
			sim_fail(w, "feed refused", j, i);
	}
}

static void start_leader(struct sim *w)
{
	w->epoch++;
	w->offset_us = (int64_t)prng_below(&w->rng, 1000000000);
	if (w->opt.drift)
		w->rate = prng_below(&w->rng, 2) ? 1.001 : 0.999;
	if (w->policy->start(w->policy, &w->host, w->epoch))
		abort();
	w->sched = w->policy->sched;
	w->leading = true;
	if (!w->sched)
		return;
	for (unsigned int i = 0; i < w->capacities.n; i++)
		sched_load_capacity(w->sched, w->capacities.size[i]);
	for (unsigned int t = 0; t < w->opt.teams; t++)
		for (unsigned int z = 0; z < w->opt.zones; z++)
			if (w->out_us[t][z])
				sched_set_zone(w->sched, sim_team(t),
					       str_from(w->worker[z].zone), true,
					       leader_clock(w));
	for (unsigned int i = 0; i < w->njobs; i++) {
		struct sim_job *j = w->job[i];
		struct sched_job o = job_options(w, j);

		for (uint32_t k = 0; k < j->ntasks; k++)
			if (j->task[k].exists)
				o.next_task = k + 1;
		j->fed = true;
		if (sched_add_job(w->sched, &o, leader_clock(w)))
			sim_fail(w, "job refused", j, 0);
		feed_tasks(w, j);
	}
	sched_finish_load(w->sched, leader_clock(w));
}

/* Ends the leader. Some of its proposals commit, the rest is lost. */
void sim_crash_leader(struct sim *w, int64_t gap_us)
{
	size_t keep = (size_t)prng_below(&w->rng, 40);

	if (!w->leading)
		return;
	w->leading = false;
	w->policy->stop(w->policy);
	w->sched = NULL;
	for (;;) {
		struct sim_event *first = NULL;

		for (size_t i = 0; i < w->events.n; i++) {
			struct sim_event *e = (struct sim_event *)w->events.node[i];

			if (e->kind == EV_COMMIT &&
			    (!first || e->node.key < first->node.key ||
			     (e->node.key == first->node.key &&
			      e->node.tie < first->node.tie)))
				first = e;
		}
		if (!first)
			break;
		sched_heap_remove(&w->events, &first->node);
		if (keep) {
			keep--;
			apply(w, first);
		}
		event_free(first);
	}
	w->last_commit_us = w->now_us;
	event(w, EV_LEADER, w->now_us + gap_us);
}

static void take_report(struct sim *w, struct sim_event *e)
{
	struct sched_reply reply;
	double from = wall_ns();
	unsigned int copies = 1;
	int err;

	if (!w->leading || e->worker->cut)
		return;
	err = w->policy->poll(w->policy, &e->report, leader_clock(w), &reply);
	w->wall_ns += wall_ns() - from;
	w->calls++;
	if (err) {
		sim_fail(w, cf_strerror(err), NULL, 0);
		return;
	}
	if (message_lost(w))
		copies = message_lost(w) ? 2 : 0;
	while (copies--) {
		struct sim_event *r = event(w, EV_REPLY, w->now_us + message_delay(w));

		r->worker = e->worker;
		r->stamp = e->stamp;
		r->session = e->session;
		r->reply = reply;
		r->commands = calloc(reply.ncommands + 1, sizeof(*r->commands));
		if (!r->commands)
			abort();
		for (size_t i = 0; i < reply.ncommands; i++) {
			r->commands[i] = reply.commands[i];
			r->commands[i].job =
				str_from(job_by_name(w, reply.commands[i].job)->name);
		}
	}
}

/* Ends the worker's process if one of its tasks does that. */
static bool end_by_task(struct sim *w, struct sim_worker *k)
{
	const struct sim_run *r;

	check_lease(w, k);
	advance(w, k);
	for (r = k->runs; r; r = r->next)
		if (is_running(r) && r->job->deadly && r->done_us >= FAIL_AFTER_US)
			break;
	if (!r)
		return false;
	task_of(r->job, r->task)->kills++;
	sim_crash_worker(w, k->index, w->deadly_gap_us, false);
	return true;
}

static void take_event(struct sim *w, struct sim_event *e)
{
	switch (e->kind) {
	case EV_POLL:
		if (e->worker->up && e->stamp == e->worker->timer &&
		    !end_by_task(w, e->worker))
			send_poll(w, e->worker);
		break;
	case EV_REPORT:
		take_report(w, e);
		break;
	case EV_REPLY:
		take_reply(w, e);
		break;
	case EV_LEASE:
		check_lease(w, e->worker);
		break;
	case EV_COMMIT:
		take_commit(w, e);
		break;
	case EV_LEADER:
		start_leader(w);
		break;
	}
	event_free(e);
}

/* Runs the world up to a time. */
void sim_run(struct sim *w, int64_t until_us)
{
	for (;;) {
		struct sched_node *n = sched_heap_first(&w->events);
		int64_t tick = INT64_MAX;

		if (w->leading) {
			tick = w->policy->deadline(w->policy);
			if (tick != INT64_MAX)
				tick = (int64_t)((double)(tick - w->offset_us) /
						 w->rate) +
				       1;
			if (tick < w->now_us)
				tick = w->now_us;
		}
		if (tick > until_us && (!n || n->key > until_us))
			break;
		if (!n || tick < n->key) {
			double from = wall_ns();

			w->now_us = tick;
			w->policy->tick(w->policy, leader_clock(w));
			w->wall_ns += wall_ns() - from;
			w->calls++;
			continue;
		}
		sched_heap_remove(&w->events, n);
		w->now_us = n->key;
		take_event(w, (struct sim_event *)n);
	}
	w->now_us = until_us;
}

/* Operators. */

struct sim_job *sim_submit(struct sim *w, unsigned int team, unsigned int kind,
			   struct sched_job opt, int64_t run_us)
{
	struct sim_job **p = realloc(w->job, (w->njobs + 1) * sizeof(struct sim_job *));
	struct sim_job *j = calloc(1, sizeof(*j));
	struct sched_job o;

	if (!p || !j)
		abort();
	w->job = p;
	w->job[w->njobs] = j;
	snprintf(j->name, sizeof(j->name), "j%u", w->njobs++);
	j->team = team;
	j->kind = kind;
	j->opt = opt;
	j->run_us = run_us;
	j->cpu_milli = opt.size.cpu_milli;
	j->base_us = 10000;
	j->submitted_us = w->now_us;
	if (opt.tasks)
		task_of(j, opt.tasks - 1);
	if (w->leading) {
		o = job_options(w, j);
		j->fed = true;
		if (w->policy->job(w->policy, &o, leader_clock(w)))
			sim_fail(w, "job refused", j, 0);
	}
	return j;
}

void sim_cancel(struct sim *w, struct sim_job *j)
{
	j->cancelled = true;
	if (w->leading && w->sched)
		sched_cancel_job(w->sched, sim_team(j->team), str_from(j->name),
				 leader_clock(w));
}

void sim_zone(struct sim *w, unsigned int team, unsigned int zone, bool out)
{
	w->out_us[team][zone] = out ? w->now_us : 0;
	if (w->leading && w->policy->zone)
		w->policy->zone(w->policy, sim_team(team), str_from(w->worker[zone].zone),
				out, leader_clock(w));
}

/* Ends a worker's processes; it is back with a new session after the gap. */
void sim_crash_worker(struct sim *w, unsigned int i, int64_t gap_us, bool keep_tasks)
{
	struct sim_worker *k = &w->worker[i];

	advance(w, k);
	if (!keep_tasks)
		lose_results(k);
	while (!keep_tasks && k->runs) {
		end_run(w, k, k->runs, SCHED_T_STOPPED, 0);
		forget_run(k, k->runs);
	}
	k->session++;
	k->seq = 0;
	if (!keep_tasks) {
		k->epoch = 0;
		k->lease_us = 0;
	}
	next_poll(w, k, w->now_us + gap_us);
}

void sim_cut(struct sim *w, unsigned int i, bool cut)
{
	w->worker[i].cut = cut;
}

/* Counts tasks that have not reached the end that they must reach. */
unsigned int sim_unfinished(const struct sim *w, bool services)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < w->njobs; i++) {
		const struct sim_job *j = w->job[i];
		bool service = j->opt.class == SCHED_LATENCY;
		uint32_t running = 0;

		for (uint32_t k = 0; k < j->ntasks; k++) {
			const struct sim_task *t = &j->task[k];

			running += t->running && t->state == SCHED_RUNNING;
			if (service || k >= j->opt.tasks)
				continue;
			if (j->cancelled || j->poison || j->deadly
				    ? t->state < SCHED_DONE
				    : t->state != SCHED_DONE)
				n++;
		}
		if (service && services && running != (j->cancelled ? 0 : j->opt.tasks))
			n++;
	}
	return n;
}

static void make_worker(struct sim *w, unsigned int i)
{
	struct sim_worker *k = &w->worker[i];

	k->index = i;
	k->zone_index = i % w->opt.zones;
	snprintf(k->name, sizeof(k->name), "w%u", i);
	snprintf(k->zone, sizeof(k->zone), "z%u", k->zone_index);
	snprintf(k->rack, sizeof(k->rack), "r%u-%u", k->zone_index,
		 i / w->opt.zones / w->opt.rack_size);
	k->capacity = w->opt.capacity;
	k->rate = 1;
	if (w->opt.drift)
		k->rate = prng_below(&w->rng, 2) ? 1.001 : 0.999;
	k->up = true;
	k->session = 1;
	next_poll(w, k, (int64_t)prng_below(&w->rng, 400000));
}

struct sim *sim_new(const struct sim_options *opt, struct sim_policy *policy)
{
	struct sim *w = calloc(1, sizeof(*w));

	if (!w)
		abort();
	w->host.ops = &sim_ops;
	w->opt = *opt;
	w->rng.state = opt->seed;
	w->policy = policy;
	w->rate = 1;
	w->load = 1;
	w->worker = calloc(opt->workers, sizeof(*w->worker));
	if (!w->worker)
		abort();
	for (unsigned int i = 0; i < opt->workers; i++)
		make_worker(w, i);
	start_leader(w);
	return w;
}

void sim_free(struct sim *w)
{
	struct sched_node *n;

	if (w->leading)
		w->policy->stop(w->policy);
	while ((n = sched_heap_first(&w->events))) {
		sched_heap_remove(&w->events, n);
		event_free((struct sim_event *)n);
	}
	sched_heap_free(&w->events);
	for (unsigned int i = 0; i < w->opt.workers; i++)
		while (w->worker[i].runs)
			forget_run(&w->worker[i], w->worker[i].runs);
	for (unsigned int i = 0; i < w->njobs; i++) {
		free(w->job[i]->task);
		free(w->job[i]);
	}
	free(w->job);
	free(w->worker);
	free(w);
}

/* The scheduler as a policy. */

static int scheduler_start(struct sim_policy *p, struct sched_host *host, uint64_t epoch)
{
	struct sched_options o = {.host = host, .epoch = epoch};
	int err = sched_new(&o, &p->sched);

	return err;
}

static void scheduler_stop(struct sim_policy *p)
{
	sched_free(p->sched);
	p->sched = NULL;
}

static int scheduler_poll(struct sim_policy *p, const struct sched_worker_report *r,
			  int64_t now_us, struct sched_reply *reply)
{
	return sched_poll(p->sched, r, now_us, reply);
}

static int scheduler_job(struct sim_policy *p, const struct sched_job *j, int64_t now_us)
{
	return sched_add_job(p->sched, j, now_us);
}

static void scheduler_zone(struct sim_policy *p, struct str team, struct str zone,
			   bool out, int64_t now_us)
{
	sched_set_zone(p->sched, team, zone, out, now_us);
}

static void scheduler_committed(struct sim_policy *p, const struct sched_record *r,
				int64_t now_us)
{
	sched_committed(p->sched, r, now_us);
}

static void scheduler_tick(struct sim_policy *p, int64_t now_us)
{
	sched_tick(p->sched, now_us);
}

static int64_t scheduler_deadline(const struct sim_policy *p)
{
	return sched_next_tick_us(p->sched);
}

/* Returns a policy for free(). */
struct sim_policy *sim_scheduler(void)
{
	struct sim_policy *p = calloc(1, sizeof(*p));

	if (!p)
		abort();
	*p = (struct sim_policy){
		.start = scheduler_start,
		.stop = scheduler_stop,
		.poll = scheduler_poll,
		.job = scheduler_job,
		.zone = scheduler_zone,
		.committed = scheduler_committed,
		.tick = scheduler_tick,
		.deadline = scheduler_deadline,
	};
	return p;
}
