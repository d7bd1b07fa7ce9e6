#include <math.h>
#include <stdlib.h>

#include "core/sched_impl.h"

/*
 * The tail latency of an executor, as a fraction of its target, is modelled as
 *
 *   base(service) + sum over batch kinds of slope(service, kind) * use(kind),
 *
 * where use is the fraction of the worker's CPUs used by tasks of the kind. Each
 * coefficient has a mean and a variance, updated by every report (a Kalman filter with a
 * diagonal covariance). Reports lag, but their latencies and uses have the same age;
 * tasks that ended since then are kept for a while.
 */
#define PRIOR_SLOPE 0.3
#define PRIOR_VARIANCE 1.0
#define PRIOR_BASE 0.5
/* Small, so that constant neighbours are not attributed to the base. */
#define PRIOR_BASE_VARIANCE 0.05
#define NOISE_MIN 0.0025 /* variance of a single measurement */
#define NOISE_GAIN 0.05
/* Repeated measurements of an unchanged worker are correlated and add little. */
#define REPEATED_SAMPLE_FACTOR 25.0
#define PROBE_VARIANCE 0.1 /* minimum variance before a probe */
/* Unused estimates decay to the prior with this time constant. */
#define DECAY_US 3600e6
#define VARIANCE_GROWTH 0.02 /* per minute */
#define MEAN_SAMPLES 64.0    /* for the mean latency of services without a target */
/* Uncertainty adds this many standard deviations to the mean. */
#define UNCERTAINTY_WEIGHT 0.5
#define COST_INTERFERENCE 4.0
/* The cost grows once the predicted latency exceeds this fraction of the target. */
#define COST_LEVEL_START 0.6
#define COST_LEVEL_GAIN 6.0

static struct interference *interference_find(const struct job *service,
					      const struct kind *kind)
{
	struct interference *p;

	HASH_FIND_PTR(service->interference, &kind, p);
	return p;
}

static struct interference *interference_get(struct sched *s, struct job *service,
					     struct kind *kind, int64_t now_us)
{
	struct interference *p = interference_find(service, kind);

	if (p)
		return p;
	p = calloc(1, sizeof(*p));
	if (!p)
		return NULL;
	p->kind = kind;
	p->mean = PRIOR_SLOPE;
	p->variance = PRIOR_VARIANCE;
	p->updated_us = now_us;
	HASH_ADD_PTR(service->interference, kind, p);
	s->stats.bytes += sizeof(*p);
	return p;
}

void interference_free(struct sched *s, struct job *service)
{
	struct interference *p;
	struct interference *next = service->interference;

	HASH_CLEAR(hh, service->interference);
	while ((p = next)) {
		next = p->hh.next;
		s->stats.bytes -= sizeof(*p);
		free(p);
	}
}

/* Returns the slope, increased by UNCERTAINTY_WEIGHT standard deviations. */
double interfere_slope(const struct job *service, const struct kind *kind)
{
	const struct interference *p = interference_find(service, kind);
	double m = p ? p->mean : PRIOR_SLOPE;
	double v = p ? p->variance : PRIOR_VARIANCE;

	m += UNCERTAINTY_WEIGHT * sqrt(v);
	return m > 0 ? m : 0;
}

/* Fraction of the worker's CPUs that the task will use without a throttle. */
static double expected_use(const struct task *t, const struct worker *w)
{
	const struct job *j = t->key.job;
	double cpu = j->opt.size.cpu_milli;

	if (t->full_cpu)
		cpu = t->full_cpu;
	else if (j->kind->samples)
		cpu = j->kind->cpu_milli;
	return w->capacity.cpu_milli ? cpu / w->capacity.cpu_milli : 0;
}

/* Expected use under the current throttle. */
double interfere_use(const struct task *t)
{
	return expected_use(t, t->worker) * t->percent / 100;
}

/*
 * Returns the latency that a batch task adds to the executors on its worker, as the mean
 * fraction of their targets.
 */
double interfere_effect(const struct worker *w, const struct task *t)
{
	const struct task *o;
	unsigned int n = 0;
	double sum = 0;

	if (t->key.job->opt.class == SCHED_LATENCY)
		return 0;
	/* Executors are first in the list. */
	TAILQ_FOREACH (o, &w->tasks, worker_entry) {
		if (o->key.job->opt.class != SCHED_LATENCY)
			break;
		if (!o->key.job->opt.latency_us)
			continue;
		sum += interfere_slope(o->key.job, t->key.job->kind);
		n++;
	}
	return n ? sum * interfere_use(t) / n : 0;
}

static double pair_cost(const struct job *service, const struct task *t,
			const struct worker *w)
{
	double level = w->level + w->expected - COST_LEVEL_START;
	double pressure = 1 + (level > 0 ? COST_LEVEL_GAIN * level : 0);

	return interfere_slope(service, t->key.job->kind) * expected_use(t, w) * pressure;
}

/* Cost of the interference that the task would cause or suffer on the worker. */
double interfere_cost(const struct sched *s, const struct task *t, const struct worker *w)
{
	const struct task *o;
	double sum = 0;

	if (t->key.job->opt.class == SCHED_LATENCY) {
		TAILQ_FOREACH (o, &w->tasks, worker_entry)
			if (o->key.job->opt.class != SCHED_LATENCY)
				sum += pair_cost(t->key.job, o, w);
		return COST_INTERFERENCE * sum;
	}
	/* Executors are first in the list. */
	TAILQ_FOREACH (o, &w->tasks, worker_entry) {
		if (o->key.job->opt.class != SCHED_LATENCY)
			break;
		sum += pair_cost(o->key.job, t, w);
	}
	return COST_INTERFERENCE * sum;
}

/* Keeps the use of an ended task for measurements that are older than its end. */
void interfere_record_ended(const struct task *t, int64_t now_us)
{
	struct worker *w = t->worker;
	struct ended *e = &w->ended[w->nended++ % ENDED_TASKS];

	*e = (struct ended){t->key.job->kind, t->used_cpu, now_us};
	if (t->key.job->opt.class == SCHED_LATENCY)
		e->kind = NULL;
}

struct feature {
	struct kind *kind;
	double use;
};

static void add_feature(struct feature *f, unsigned int *n, struct kind *kind, double use)
{
	unsigned int i;

	if (!kind || use <= 0)
		return;
	for (i = 0; i < *n && f[i].kind != kind; i++)
		;
	if (i == MAX_FEATURES)
		return;
	if (i == *n)
		f[(*n)++] = (struct feature){kind, 0};
	f[i].use += use;
}

/* Use by kind at the time of the measurement. */
static unsigned int collect_features(struct worker *w, struct feature *f, int64_t at_us)
{
	double cap = w->capacity.cpu_milli;
	const struct task *t;
	unsigned int n = 0;

	TAILQ_FOREACH (t, &w->tasks, worker_entry)
		if (t->key.job->opt.class != SCHED_LATENCY && t->phase == P_RUNNING)
			add_feature(f, &n, t->key.job->kind, t->used_cpu / cap);
	for (unsigned int i = 0; i < ENDED_TASKS && i < w->nended; i++)
		if (w->ended[i].at_us > at_us)
			add_feature(f, &n, w->ended[i].kind, w->ended[i].cpu_milli / cap);
	return n;
}

/* Makes an estimate less certain with the time since its last sample. */
static void decay(struct interference *p, int64_t now_us)
{
	double dt = (double)(now_us - p->updated_us);

	p->updated_us = now_us;
	p->mean += (PRIOR_SLOPE - p->mean) * (1 - exp(-dt / DECAY_US));
	p->variance += VARIANCE_GROWTH * dt / 60e6;
	if (p->variance > PRIOR_VARIANCE)
		p->variance = PRIOR_VARIANCE;
}

static void update_estimates(struct sched *s, struct job *service, double y,
			     const struct feature *f, unsigned int n, int64_t now_us)
{
	struct interference *pair[MAX_FEATURES];
	double predicted;
	double variance;
	double off;

	if (!service->base_variance) {
		service->base = PRIOR_BASE;
		service->base_variance = PRIOR_BASE_VARIANCE;
		service->noise = 0.05;
	}
	predicted = service->base;
	variance = service->base_variance + service->noise * REPEATED_SAMPLE_FACTOR;
	for (unsigned int i = 0; i < n; i++) {
		pair[i] = interference_get(s, service, f[i].kind, now_us);
		if (!pair[i])
			return;
		decay(pair[i], now_us);
		predicted += pair[i]->mean * f[i].use;
		variance += pair[i]->variance * f[i].use * f[i].use;
	}
	off = y - predicted;
	service->base += off * service->base_variance / variance;
	service->base_variance *= 1 - service->base_variance / variance;
	/* The load changes, so the variance of the base stays above zero. */
	service->base_variance += 1e-5;
	for (unsigned int i = 0; i < n; i++) {
		double g = pair[i]->variance * f[i].use / variance;

		pair[i]->mean += g * off;
		pair[i]->variance *= 1 - g * f[i].use;
	}
	service->noise += NOISE_GAIN * (off * off - service->noise);
	if (service->noise < NOISE_MIN)
		service->noise = NOISE_MIN;
}

/*
 * Updates the estimates from the latencies of a report and returns the worst one as a
 * fraction of its target; 0 if there is none.
 */
double interfere_learn_report(struct sched *s, struct worker *w,
			      const struct sched_worker_report *r, int64_t now_us)
{
	struct feature f[MAX_FEATURES];
	unsigned int n = 0;
	bool have = false;
	double worst = 0;
	struct task *t;

	TAILQ_FOREACH (t, &w->tasks, worker_entry) {
		struct job *j = t->key.job;
		double y;

		if (j->opt.class != SCHED_LATENCY)
			break;
		if (t->latency_us <= 0 || t->listed_in != s->report_id)
			continue;
		if (!have)
			n = collect_features(w, f, now_us - r->lag_us);
		have = true;
		if (j->mean_latency <= 0)
			j->mean_latency = (double)t->latency_us;
		j->mean_latency +=
			((double)t->latency_us - j->mean_latency) / MEAN_SAMPLES;
		y = (double)t->latency_us /
		    (j->opt.latency_us ? (double)j->opt.latency_us : j->mean_latency * 2);
		update_estimates(s, j, y, f, n, now_us);
		if (j->opt.latency_us && y > worst)
			worst = y;
	}
	return worst;
}

/*
 * Updates the slopes after only one kind's use changed, by du, and the latency by dy.
 * This says more about the slope than latencies at constant use, which cannot separate
 * slope and base.
 */
void interfere_learn_probe(struct sched *s, struct worker *w, struct kind *kind,
			   double du, double dy, int64_t now_us)
{
	const struct task *t;

	TAILQ_FOREACH (t, &w->tasks, worker_entry) {
		struct job *j = t->key.job;
		struct interference *p;
		double gain;

		if (j->opt.class != SCHED_LATENCY)
			break;
		p = j->opt.latency_us ? interference_get(s, j, kind, now_us) : NULL;
		if (!p)
			continue;
		decay(p, now_us);
		if (p->variance < PROBE_VARIANCE)
			p->variance = PROBE_VARIANCE;
		gain = p->variance * du / (p->variance * du * du + j->noise + NOISE_MIN);
		p->mean += gain * (dy - p->mean * du);
		p->variance *= 1 - gain * du;
	}
}
