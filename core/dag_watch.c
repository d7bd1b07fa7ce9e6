/* Reports serving tasks that should run and do not, with what they wait for. */
#include "core/dag_sched_impl.h"
#include "proto/codec.h"

#define WATCH_PERIOD_US (3 * USEC_PER_SEC)
/* A serving task may be away this long before it is reported. */
#define AWAY_MAX_US (3 * USEC_PER_SEC)

static const char *phase_reason(const struct ds_run *r)
{
	switch (r->phase) {
	case DS_PROPOSED:
		return "its start is not committed";
	case DS_RECOVERED:
		return "recorded by an earlier leader; its worker has not been polled";
	case DS_STARTING:
		return "no reply to the start request";
	case DS_UNCONFIRMED:
		return "the start request is repeated";
	case DS_ACCEPTED:
		break;
	}
	return "its worker does not reply to polls";
}

/* The value is the rest of the worker's lease in milliseconds. */
static void watch_run(struct dag_sched *s, const struct ds_run *r)
{
	const struct ds_worker *w = r->worker;
	int64_t known_us = r->phase == DS_ACCEPTED ? w->polled_us : r->created_us;

	if (!r->step->long_running || r->stop_requested ||
	    s->now_us - known_us < AWAY_MAX_US)
		return;
	ds_log_run_event(s, "run-away", r, phase_reason(r),
			 (w->lease_expires_us - s->now_us) / USEC_PER_MS);
}

/*
 * Logs why the worker that is nearest to taking a task does not take it. The value is
 * what it lacks, in thousandths of a core, with memory as a part of them.
 */
static void watch_room(struct dag_sched *s, const struct ds_step *st,
		       const struct dag_task_ref *t)
{
	struct ds_obstacle o = ds_nearest_obstacle(s, st);
	struct str id = {NULL, 0};

	if (o.worker)
		id = XDR_STR(o.worker->rec->w, id);
	s->host->ops->log_event(s->host, "task-obstacle", t, 1, id, o.reason, o.missing);
}

/* The value is the time that the step has waited, in milliseconds. */
static void watch_step(struct dag_sched *s, const struct ds_step *st)
{
	struct dag_task_ref t = {st->job->rec->id, st->occurrence, st->number, 0};
	const char *quota = ds_quota_obstacle(st);
	int64_t waited_us = s->now_us - st->waiting_since_us;

	if (!st->n_waiting || !st->step->long_running || waited_us < AWAY_MAX_US)
		return;
	while (t.index + 1 < st->step->count && !ds_task_is_waiting(st, t.index))
		t.index++;
	s->host->ops->log_event(s->host, "task-waiting", &t, 1, (struct str){NULL, 0},
				!st->job->queue ? "its queue is not configured"
				: quota		? quota
						: "no worker has room for it",
				waited_us / USEC_PER_MS);
	if (st->job->queue)
		watch_room(s, st, &t);
}

/* Logs serving tasks that have been away for long; called with each pass over all runs.
 */
void ds_watch_serving(struct dag_sched *s)
{
	struct ds_step *st;
	struct ds_run *r;

	if (s->now_us < s->next_watch_us)
		return;
	s->next_watch_us = s->now_us + WATCH_PERIOD_US;
	TAILQ_FOREACH (st, &s->ready, entry)
		watch_step(s, st);
	for (size_t i = 0; i < s->n_workers; i++)
		TAILQ_FOREACH (r, &s->workers[i]->runs, worker_entry)
			watch_run(s, r);
}
