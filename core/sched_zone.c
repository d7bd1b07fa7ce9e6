#include <stdlib.h>

#include "base/err.h"
#include "core/sched_impl.h"

#define DRAIN_PASS_US 200000 /* interval between two passes over a zone being drained */
#define CHECKPOINT_GRACE_US 5000000 /* time for a checkpoint before the stop */
#define REPLACE_GRACE_US 20000000   /* for an executor's replacement to start */
#define NO_DEADLINE_DELAY_US \
	1000000		     /* delay before tasks without a deadline are stopped */
#define REBALANCE_US 3000000 /* between two moves of executors of one service */
#define RAMP_US 60000000     /* after this, a returned zone has no limit on starts */
#define RAMP_FIRST 4	     /* starts allowed immediately */

bool zone_is_out(const struct team *team, const struct zone *z)
{
	return (team->out >> z->index) & 1;
}

/* Whether the zone returned less than RAMP_US ago and has used up its starts so far. */
bool zone_ramp_exhausted(const struct sched *s, const struct team *team,
			 const struct zone *z, int64_t now_us)
{
	const struct team_zone *tz = &team->zone[z->index];
	double part;
	double allowed;

	if (!tz->ramp || now_us - tz->returned_us >= RAMP_US)
		return false;
	/* The allowance is quadratic: the first tasks show whether the zone works. */
	part = (double)(now_us - tz->returned_us) / RAMP_US;
	allowed = RAMP_FIRST + part * part * 24 * (double)z->nworkers;
	return tz->starts_since_return >= allowed;
}

void zone_count_start(struct team *team, const struct zone *z)
{
	team->zone[z->index].starts_since_return++;
}

static struct drain *drain_find(struct sched *s, const struct team *team,
				const struct zone *z)
{
	struct drain *d;

	TAILQ_FOREACH (d, &s->drains, entry)
		if (d->team == team && d->zone == z)
			return d;
	return NULL;
}

/* Cancels replacements not placed yet, after a zone returned in time. */
static void cancel_replacements(struct sched *s, struct team *team, struct zone *z,
				int64_t now_us)
{
	struct worker *w;
	struct task *t;

	TAILQ_FOREACH (w, &z->workers, zone_entry) {
		TAILQ_FOREACH (t, &w->tasks, worker_entry) {
			struct task *n = t->replaced_by;

			if (t->key.job->team != team || !n || t->stop)
				continue;
			if (n->phase == P_WAITING)
				task_stop(s, n, SCHED_R_SCALED_DOWN, now_us);
		}
	}
}

/*
 * Takes a zone out for one team, or returns it. After a zone is taken out no start
 * command of the team is issued there; those issued before expire within expires_us.
 */
int sched_set_zone(struct sched *s, struct str team, struct str zone, bool out,
		   int64_t now_us)
{
	struct team *t = sched_team_get(s, team);
	struct zone *z = zone_get(s, zone);
	struct drain *d;

	if (!t || !z)
		return CF_ENOMEM;
	if (zone_is_out(t, z) == out)
		return 0;
	if (out) {
		d = calloc(1, sizeof(*d));
		if (!d)
			return CF_ENOMEM;
		d->team = t;
		d->zone = z;
		d->since_us = now_us;
		d->next_us = now_us;
		TAILQ_INSERT_TAIL(&s->drains, d, entry);
		t->out |= 1ULL << z->index;
	} else {
		t->out &= ~(1ULL << z->index);
		d = drain_find(s, t, z);
		if (d) {
			TAILQ_REMOVE(&s->drains, d, entry);
			free(d);
		}
		t->zone[z->index] = (struct team_zone){true, now_us, 0};
		cancel_replacements(s, t, z, now_us);
		s->generation++;
	}
	sched_wake(s, now_us);
	return 0;
}

/* Creates a replacement for an executor; false if there is no free task. */
static bool start_replacement(struct sched *s, struct task *t, int64_t now_us)
{
	struct job *j = t->key.job;
	struct task *n = task_new_executor(s, j);

	if (!n)
		return false;
	n->replaces = t;
	t->replaced_by = n;
	j->replacing++;
	task_set_waiting(s, n, now_us, now_us);
	return true;
}

/* Whether the zone may hold executors of the team without limit. */
static bool zone_ramp_done(const struct sched *s, const struct team *team,
			   const struct zone *z, int64_t now_us)
{
	const struct team_zone *tz = &team->zone[z->index];

	return z->nworkers && !zone_is_out(team, z) &&
	       (!tz->ramp || now_us - tz->returned_us >= RAMP_US);
}

static struct task *executor_in(const struct job *j, const struct zone *z)
{
	struct task *t;

	TAILQ_FOREACH (t, &j->tasks, job_entry)
		if (t->phase == P_RUNNING && !t->stop && t->counted &&
		    t->worker->zone == z)
			return t;
	return NULL;
}

/*
 * Moves one executor of the service to the zone with the fewest if that evens out the
 * distribution, which taking out and returning a zone leaves uneven.
 */
static void rebalance_service(struct sched *s, struct job *j, int64_t now_us)
{
	struct zone *most = NULL;
	struct zone *least = NULL;
	struct task *t;

	for (unsigned int i = 0; i < s->nzones; i++) {
		struct zone *z = s->zone_by_index[i];

		if (!zone_ramp_done(s, j->team, z, now_us))
			continue;
		if (!most || j->zone_count[i] > j->zone_count[most->index])
			most = z;
		if (!least || j->zone_count[i] < j->zone_count[least->index])
			least = z;
	}
	if (!most || j->zone_count[most->index] < j->zone_count[least->index] + 2)
		return;
	t = executor_in(j, most);
	/* Without capacity there, the replacement would land elsewhere. */
	if (t && fit_in_zone(s, t, least, now_us))
		start_replacement(s, t, now_us);
}

/* Rebalances services over zones, one executor of each at a time. */
void zones_rebalance_step(struct sched *s, int64_t now_us)
{
	struct job *j;

	if (now_us < s->rebalance_us || !s->all_workers_polled || s->opt.first_fit)
		return;
	s->rebalance_us = now_us + REBALANCE_US;
	TAILQ_FOREACH (j, &s->services, service_entry)
		if (!j->replacing && !j->cancelled && !j->reject && !j->nwaiting)
			rebalance_service(s, j, now_us);
}

static void drain_executor(struct sched *s, struct drain *d, struct task *t,
			   int64_t now_us)
{
	if (!t->replaced_by && !t->replaces && !start_replacement(s, t, now_us))
		return;
	if (now_us - d->since_us >= REPLACE_GRACE_US)
		task_stop(s, t, t->replaced_by ? SCHED_R_REPLACED : SCHED_R_ZONE_OUT,
			  now_us);
}

static void drain_batch(struct sched *s, struct drain *d, struct task *t, int64_t now_us)
{
	struct job *j = t->key.job;

	/* Tasks with a deadline get the free capacity elsewhere first. */
	if (!j->opt.deadline_us && now_us - d->since_us < NO_DEADLINE_DELAY_US)
		return;
	if (j->opt.checkpoint && !t->checkpoint_requested) {
		t->checkpoint_requested = true;
		t->checkpoint_before = t->checkpoint;
		t->checkpoint_us = now_us;
		return;
	}
	if (!j->opt.checkpoint || t->checkpoint != t->checkpoint_before ||
	    now_us - t->checkpoint_us >= CHECKPOINT_GRACE_US)
		task_stop(s, t, SCHED_R_ZONE_OUT, now_us);
}

static void drain_task(struct sched *s, struct drain *d, struct task *t, int64_t now_us)
{
	if (t->stop || t->key.job->team != d->team)
		return;
	if (t->phase != P_RUNNING)
		task_stop(s, t, SCHED_R_ZONE_OUT, now_us);
	else if (t->key.job->opt.class == SCHED_LATENCY)
		drain_executor(s, d, t, now_us);
	else
		drain_batch(s, d, t, now_us);
}

static void drain_pass(struct sched *s, struct drain *d, int64_t now_us)
{
	struct worker *w;
	struct task *t;
	struct task *next;

	TAILQ_FOREACH (w, &d->zone->workers, zone_entry) {
		for (t = TAILQ_FIRST(&w->tasks); t; t = next) {
			next = TAILQ_NEXT(t, worker_entry);
			drain_task(s, d, t, now_us);
		}
	}
}

/*
 * Moves tasks out of zones that their teams took out: tasks that no worker is running at
 * once, tasks with deadlines after a checkpoint, other tasks later, and executors when
 * their replacement is running.
 */
void zones_drain_step(struct sched *s, int64_t now_us)
{
	struct drain *d;

	TAILQ_FOREACH (d, &s->drains, entry) {
		if (d->next_us > now_us)
			continue;
		drain_pass(s, d, now_us);
		d->next_us = now_us + DRAIN_PASS_US;
	}
}
