/*
 * Quotas: what an organisation's runs reserve on all workers together. Without them, one
 * organisation that submits more than its part during a shortage takes all capacity.
 */
#include <stdlib.h>

#include "base/err.h"
#include "core/dag_sched_impl.h"
#include "proto/codec.h"

/* Between log lines of one organisation at its quota. */
#define LOG_PERIOD_US (3 * USEC_PER_SEC)
/* Of all organisations, in one such period. */
#define MAX_LOGS 64U
/* Passes are 100 ms apart at most while tasks wait. A longer pause is not counted. */
#define MAX_PASS_GAP_US (1 * USEC_PER_SEC)

void ds_org_init(struct ds_org *o, struct dag_org *rec)
{
	*o = (struct ds_org){.rec = rec};
	TAILQ_INIT(&o->steps);
}

/*
 * The leader's data of a job's owner, added on first use. The job keeps the organisation
 * in the state, so the data is valid as long as the job. NULL: no memory.
 */
struct ds_org *ds_org_get(struct dag_sched *s, struct dag_org *rec)
{
	struct ds_org *o;

	if (!rec)
		return &s->no_org;
	if (rec->sched)
		return rec->sched;
	o = malloc(sizeof(*o));
	if (!o)
		return NULL;
	ds_org_init(o, rec);
	rec->sched = o;
	TAILQ_INSERT_TAIL(&s->orgs, o, entry);
	return o;
}

/* The organisation has no job any more, so it has neither runs nor waiting steps. */
void ds_org_free(struct dag_sched *s, struct ds_org *o)
{
	TAILQ_REMOVE(&s->orgs, o, entry);
	o->rec->sched = NULL;
	free(o);
}

void ds_quota_charge(const struct ds_run *r)
{
	struct ds_org *o = r->job->org;

	o->used.cpu_milli += r->step->cpu_milli;
	o->used.mem_mb += r->step->mem_mb;
	o->used.gpus += r->step->gpus;
	o->n_runs++;
}

void ds_quota_release(const struct ds_run *r)
{
	struct ds_org *o = r->job->org;

	o->used.cpu_milli -= r->step->cpu_milli;
	o->used.mem_mb -= r->step->mem_mb;
	o->used.gpus -= r->step->gpus;
	o->n_runs--;
}

static bool is_within(uint64_t limit, uint64_t used, uint64_t need)
{
	return !limit || (used <= limit && need <= limit - used);
}

/* Name of a resource of which there is too little; NULL: it suffices. */
static const char *lacking(const struct dag_org_limits *l, const struct ds_usage *used,
			   const struct ds_usage *task, uint32_t n)
{
	if (!is_within(l->cpu_milli, used->cpu_milli, task->cpu_milli * n))
		return "cpu";
	if (!is_within(l->mem_mb, used->mem_mb, task->mem_mb * n))
		return "memory";
	return is_within(l->gpus, used->gpus, task->gpus * n) ? NULL : "gpus";
}

/*
 * The resource of which an organisation would exceed its quota with n_tasks more runs of
 * this size; NULL: none. A single run that is larger than the whole quota may run alone,
 * as it never could otherwise. A gang may not, since it exceeds the quota by many tasks.
 */
const char *ds_quota_exceeded(const struct ds_org *o, const struct ds_usage *task,
			      uint32_t n_tasks)
{
	if (!o->rec || (n_tasks == 1 && !o->n_runs))
		return NULL;
	return lacking(&o->rec->limits, &o->used, task, n_tasks);
}

/* The same for the next task of a step, or for all members of a gang. */
static const char *exceeded_by(const struct ds_step *st)
{
	struct ds_usage task = {st->step->cpu_milli, st->step->mem_mb, st->step->gpus};

	return ds_quota_exceeded(st->job->org, &task,
				 st->step->gang ? st->step->count : 1);
}

/* Why the quota keeps a step from starting; NULL: it does not. */
const char *ds_quota_obstacle(const struct ds_step *st)
{
	struct ds_usage task = {st->step->cpu_milli, st->step->mem_mb, st->step->gpus};
	struct ds_usage none = {0};

	if (!exceeded_by(st))
		return NULL;
	if (st->step->gang && st->step->count > 1 &&
	    lacking(&st->job->org->rec->limits, &none, &task, st->step->count))
		return "its gang is larger than its organisation's quota";
	return "its organisation has reached its quota";
}

/* Whether the quota keeps a step from starting; noted for the log and the metrics. */
bool ds_quota_blocks(struct ds_step *st)
{
	const char *exhausted = exceeded_by(st);
	struct ds_org *o = st->job->org;

	if (!exhausted)
		return false;
	st->quota_blocked = true;
	if (!o->exhausted) {
		o->exhausted = exhausted;
		o->first_blocked = st;
	}
	return true;
}

/* Before a pass: counts the time since the last one for the tasks held back in it. */
void ds_quota_begin_pass(struct dag_sched *s)
{
	int64_t gap_us = s->now_us - s->quota_pass_us;
	struct ds_org *o;

	s->quota_pass_us = s->now_us;
	if (gap_us > MAX_PASS_GAP_US)
		gap_us = MAX_PASS_GAP_US;
	TAILQ_FOREACH (o, &s->orgs, entry) {
		o->quota_wait_us += gap_us * (int64_t)o->n_blocked;
		o->n_blocked = 0;
		o->exhausted = NULL;
	}
}

static void log_org(struct dag_sched *s, struct ds_org *o)
{
	const struct ds_step *st = o->first_blocked;
	struct dag_task_ref t = {st->job->rec->id, st->occurrence, st->number, 0};

	while (t.index + 1 < st->step->count && !ds_task_is_waiting(st, t.index))
		t.index++;
	o->next_log_us = s->now_us + LOG_PERIOD_US;
	s->host->ops->log_org(s->host, "quota-reached", str_from(o->rec->name), &t,
			      o->exhausted, (int64_t)o->n_blocked);
}

/* After a pass: logs the organisations at their quotas. */
void ds_quota_end_pass(struct dag_sched *s)
{
	struct ds_org *o;

	if (s->now_us >= s->quota_log_us) {
		s->quota_log_us = s->now_us + LOG_PERIOD_US;
		s->n_quota_logs = 0;
	}
	TAILQ_FOREACH (o, &s->orgs, entry) {
		if (!o->exhausted || s->now_us < o->next_log_us ||
		    s->n_quota_logs == MAX_LOGS)
			continue;
		s->n_quota_logs++;
		log_org(s, o);
	}
}

/*
 * Calls a function for each organisation of the state. The time that tasks waited is
 * counted from zero again, so that its owner can sum it over leaders.
 */
void dag_sched_each_org(struct dag_sched *s,
			void (*each)(void *arg, const struct dag_org_stats *st),
			void *arg)
{
	struct dag_org *rec;

	for (rec = s->state->orgs; rec; rec = rec->hh.next) {
		struct ds_org *o = rec->sched;
		struct dag_org_stats st = {.org = rec};

		if (o) {
			st.cpu_milli = o->used.cpu_milli;
			st.mem_mb = o->used.mem_mb;
			st.gpus = o->used.gpus;
			st.n_runs = o->n_runs;
			st.n_waiting = o->n_waiting;
			st.quota_wait_us = o->quota_wait_us;
			o->quota_wait_us = 0;
		}
		each(arg, &st);
	}
}
