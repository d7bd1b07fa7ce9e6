/*
 * What the batch tasks of each service reserve and wait for, and what its serving tasks
 * release. Admission weighs new serving tasks against it.
 */
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/dag_admit.h"
#include "core/dag_sched_impl.h"
#include "proto/codec.h"

#define SAMPLE_PERIOD_US (500 * USEC_PER_MS)
#define WINDOW_SAMPLES 16U /* 8 s: covers the swings of callers' demand */
#define MAX_SERVICES 32U
/* Queues of a higher number share the last level. */
#define PRIORITY_LEVELS 4U
/* A job older than this many objectives has no value any more; its tasks do not count. */
#define WORTHLESS_OBJECTIVES 3.0
/* Weight of the newest sample in the usual size of a batch task. */
#define SIZE_SMOOTHING 0.2

struct demand_sample {
	/* Of batch tasks of the queues up to a priority, thousandths of a core. */
	int64_t batch[PRIORITY_LEVELS];
	int64_t released; /* by serving tasks of jobs that ended */
	int64_t refused;  /* need of jobs that were refused */
};

struct ds_service_demand {
	char *name;
	struct demand_sample samples[WINDOW_SAMPLES]; /* a ring; [next] is being filled */
	int64_t reserved[PRIORITY_LEVELS];	      /* part of the newest sample */
	double task_cpu; /* usual request of a batch task, 0: not known */
};

struct ds_demand {
	struct ds_service_demand services[MAX_SERVICES];
	size_t n_services;
	size_t next;	  /* sample */
	size_t n_samples; /* taken so far, WINDOW_SAMPLES at most */
	int64_t next_sample_us;
};

/* Sums of one sample while it is taken. */
struct demand_sum {
	int64_t reserved[PRIORITY_LEVELS];
	int64_t waiting[PRIORITY_LEVELS];
	int64_t cpu; /* of all of these tasks */
	int64_t tasks;
};

int ds_demand_new(struct ds_demand **out)
{
	*out = calloc(1, sizeof(**out));
	return *out ? 0 : CF_ENOMEM;
}

void ds_demand_free(struct ds_demand *d)
{
	if (!d)
		return;
	for (size_t i = 0; i < d->n_services; i++)
		free(d->services[i].name);
	free(d);
}

/* NULL: no memory, or more services than are watched. */
static struct ds_service_demand *find_service(struct ds_demand *d, struct str name)
{
	struct ds_service_demand *sd;

	for (size_t i = 0; i < d->n_services; i++)
		if (str_eq(str_from(d->services[i].name), name))
			return &d->services[i];
	if (d->n_services == MAX_SERVICES)
		return NULL;
	sd = &d->services[d->n_services];
	memset(sd, 0, sizeof(*sd));
	sd->name = str_dup(name);
	if (!sd->name)
		return NULL;
	d->n_services++;
	return sd;
}

static unsigned int priority_level(const struct dag_queue *q)
{
	return q->priority < PRIORITY_LEVELS ? q->priority : PRIORITY_LEVELS - 1;
}

static bool is_batch(const struct dag_step *step)
{
	return !step->long_running && !step->filler;
}

static void add_tasks(struct demand_sum *sum, const struct dag_step *step, uint32_t n)
{
	sum->cpu += (int64_t)n * step->cpu_milli;
	sum->tasks += n;
}

static void add_job(struct demand_sum *sum, const struct ds_job *j)
{
	unsigned int level = priority_level(j->queue);
	const struct ds_run *r;

	TAILQ_FOREACH (r, &j->runs, job_entry) {
		if (!is_batch(r->step) || r->released)
			continue;
		sum->reserved[level] += r->step->cpu_milli;
		add_tasks(sum, r->step, 1);
	}
	if (j->objective_fraction > WORTHLESS_OBJECTIVES)
		return;
	for (uint32_t i = 0; i < j->rec->n_occ * j->n_steps; i++) {
		const struct ds_step *st = &j->steps[i];

		if (!st->queued || !is_batch(st->step))
			continue;
		sum->waiting[level] += (int64_t)st->n_waiting * st->step->cpu_milli;
		add_tasks(sum, st->step, st->n_waiting);
	}
}

static void record_sample(struct ds_demand *d, struct ds_service_demand *sd,
			  const struct demand_sum *sum)
{
	struct demand_sample *sample = &sd->samples[d->next];
	int64_t reserved = 0;
	int64_t total = 0;

	for (unsigned int i = 0; i < PRIORITY_LEVELS; i++) {
		reserved += sum->reserved[i];
		total += sum->reserved[i] + sum->waiting[i];
		sd->reserved[i] = reserved;
		sample->batch[i] = total;
	}
	if (sum->tasks) {
		double cpu = (double)sum->cpu / (double)sum->tasks;

		sd->task_cpu =
			sd->task_cpu > 0
				? sd->task_cpu + SIZE_SMOOTHING * (cpu - sd->task_cpu)
				: cpu;
	}
}

/* Room that serving tasks of a service have released per second within the window. */
static int64_t release_rate(const struct ds_service_demand *sd)
{
	int64_t released = 0;

	for (size_t i = 0; i < WINDOW_SAMPLES; i++)
		released += sd->samples[i].released;
	return released * USEC_PER_SEC / (WINDOW_SAMPLES * SAMPLE_PERIOD_US);
}

/* Of the window: callers of jobs that were refused earlier are back or have given up. */
static int64_t refused_need(const struct ds_service_demand *sd)
{
	int64_t need = 0;

	for (size_t i = 0; i < WINDOW_SAMPLES; i++)
		need += sd->samples[i].refused;
	return need;
}

static void begin_sample(struct ds_demand *d)
{
	d->next = (d->next + 1) % WINDOW_SAMPLES;
	if (d->n_samples < WINDOW_SAMPLES)
		d->n_samples++;
	for (size_t i = 0; i < d->n_services; i++)
		d->services[i].samples[d->next] = (struct demand_sample){{0}, 0, 0};
}

/* Takes a sample of all services; bounded by the number of jobs, their steps and runs. */
void ds_demand_sample(struct dag_sched *s)
{
	struct demand_sum sums[MAX_SERVICES] = {0};
	struct ds_demand *d = s->demand;
	struct ds_job *j;

	if (!d || s->now_us < d->next_sample_us)
		return;
	d->next_sample_us = s->now_us + SAMPLE_PERIOD_US;
	begin_sample(d);
	TAILQ_FOREACH (j, &s->jobs, entry) {
		struct ds_service_demand *sd;

		if (!j->queue || dag_job_ended(j->rec) || j->rec->has_long_running)
			continue;
		sd = find_service(d, XDR_STR(*j->queue, service));
		if (sd)
			add_job(&sums[sd - d->services], j);
	}
	for (size_t i = 0; i < d->n_services; i++)
		record_sample(d, &d->services[i], &sums[i]);
}

/* Counts the room that the serving tasks of a job release at its end. */
void ds_demand_job_ended(struct dag_sched *s, const struct ds_job *j)
{
	struct ds_service_demand *sd;
	const struct ds_run *r;
	int64_t cpu = 0;

	if (!s->demand || !j->queue)
		return;
	TAILQ_FOREACH (r, &j->runs, job_entry)
		if (r->step->long_running)
			cpu += r->step->cpu_milli;
	sd = cpu ? find_service(s->demand, XDR_STR(*j->queue, service)) : NULL;
	if (sd)
		sd->samples[s->demand->next].released += cpu;
}

static int compare_demand(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/*
 * What batch tasks of the queues up to a priority reserved or waited for in all but a
 * quarter of the samples.
 */
static int64_t usual_demand(const struct ds_demand *d, const struct ds_service_demand *sd,
			    unsigned int level)
{
	int64_t demand[WINDOW_SAMPLES];
	size_t n = d->n_samples;

	if (!n)
		return 0;
	for (size_t i = 0; i < n; i++)
		demand[i] = sd->samples[(d->next + WINDOW_SAMPLES - i) % WINDOW_SAMPLES]
				    .batch[level];
	qsort(demand, n, sizeof(*demand), compare_demand);
	return demand[n - 1 - n / 4];
}

/* Serving tasks that are placed as soon as they can, and were admitted before. */
static int64_t pending_serving(const struct dag_sched *s, struct str service)
{
	const struct ds_step *st;
	int64_t cpu = 0;

	TAILQ_FOREACH (st, &s->ready, entry)
		if (st->step->long_running && st->job->queue &&
		    str_eq(XDR_STR(*st->job->queue, service), service))
			cpu += (int64_t)st->n_waiting * st->step->cpu_milli;
	for (size_t i = 0; i < s->n_workers; i++) {
		const struct ds_worker *w = s->workers[i];

		if ((w->draining || w->contact_lost) &&
		    str_eq(XDR_STR(w->rec->w, service), service))
			cpu += w->cpu_serving;
	}
	return cpu;
}

/* Adds what a worker has free: whole batch tasks, else whole serving tasks. */
static void add_free(struct dag_admit_room *room, int64_t free_cpu, int64_t batch_cpu,
		     int64_t serving_cpu)
{
	if (batch_cpu > 0 && free_cpu >= batch_cpu)
		room->free += free_cpu / batch_cpu * batch_cpu;
	else if (serving_cpu > 0 && free_cpu >= serving_cpu)
		room->scraps += free_cpu / serving_cpu * serving_cpu;
}

static int64_t serving_need(const struct dag_job *job, int64_t *task_cpu)
{
	int64_t need = 0;

	*task_cpu = 0;
	for (u_int i = 0; i < job->steps.steps_len; i++) {
		const struct dag_step *step = &job->steps.steps_val[i];

		if (!step->long_running)
			continue;
		need += (int64_t)step->count * step->cpu_milli;
		if (step->cpu_milli > *task_cpu)
			*task_cpu = step->cpu_milli;
	}
	return need;
}

/*
 * Decides whether a job that is not recorded yet is accepted, and when the caller of a
 * refused one should try again.
 */
struct dag_admission dag_sched_admit(struct dag_sched *s, const struct dag_queue *q,
				     const struct dag_job *job)
{
	struct dag_admission a = {0};
	struct str service = XDR_STR(*q, service);
	unsigned int level = priority_level(q);
	struct dag_admit_return back = {0};
	struct ds_service_demand *sd;
	int64_t task_cpu;

	a.need = serving_need(job, &task_cpu);
	sd = s->demand && a.need ? find_service(s->demand, service) : NULL;
	if (!sd)
		return a;
	a.room.batch = sd->reserved[level];
	a.room.batch_usual = usual_demand(s->demand, sd, level);
	a.room.pending = pending_serving(s, service);
	for (size_t i = 0; i < s->n_workers; i++) {
		const struct ds_worker *w = s->workers[i];

		if (ds_worker_usable(s, w) &&
		    str_eq(XDR_STR(w->rec->w, service), service))
			add_free(&a.room,
				 (int64_t)w->capacity.cpu_milli - w->cpu_reserved,
				 (int64_t)sd->task_cpu, task_cpu);
	}
	back.missing = dag_admit_missing(&a.room, a.need);
	if (!back.missing)
		return a;
	back.queued = refused_need(sd);
	back.per_second = release_rate(sd);
	sd->samples[s->demand->next].refused += a.need;
	a.retry_ms = dag_admit_retry_ms(&back);
	return a;
}
