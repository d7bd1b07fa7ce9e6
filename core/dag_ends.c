/* Ends that workers list: which are recorded, and which are acknowledged. */
#include "core/dag_sched_impl.h"
#include "proto/codec.h"

/*
 * Ends are acknowledged this soon after a list that has them, or not at all: in less time
 * no worker starts again, runs a task and has its end to list.
 */
#define ACK_LIST_AGE_MAX_US (100 * USEC_PER_MS)
/*
 * A worker lists at most 500 ends, so an end that stays unacknowledged would hide later
 * ones. It is acknowledged once this many ends follow it.
 */
#define HELD_ENDS_MAX 300U

/* Whether the newest list has ends that are to be acknowledged. */
bool ds_worker_has_ends_to_ack(const struct ds_worker *w)
{
	return w->first_listed_end && w->first_listed_end <= w->acked_end;
}

/*
 * The number up to which a poll acknowledges ends. 0, which acknowledges none, if a newer
 * process may have taken the worker's place unnoticed: its ends have the same numbers.
 */
uint64_t ds_worker_end_to_ack(const struct dag_sched *s, const struct ds_worker *w)
{
	if (!ds_worker_has_ends_to_ack(w) || w->poll_failures ||
	    s->now_us - w->polled_us > ACK_LIST_AGE_MAX_US)
		return 0;
	return w->acked_end;
}

/* Tells which ends a worker may have forgotten, and which of them its lists named. */
void ds_worker_log_ends(struct dag_sched *s, const struct ds_worker *w)
{
	s->host->ops->log_event(s->host, "worker-acked", NULL, 0, XDR_STR(w->rec->w, id),
				"value: newest end that a poll acknowledged",
				(int64_t)w->acked_end);
	s->host->ops->log_event(s->host, "worker-listed", NULL, 0, XDR_STR(w->rec->w, id),
				"value: newest end in its lists",
				(int64_t)w->last_listed_end);
}

/* Acknowledges ends to the worker, up to the first that must stay unacknowledged. */
void ds_worker_ack_ends(struct ds_worker *w)
{
	uint64_t to = w->last_listed_end;

	if (w->held_end && to - w->held_end < HELD_ENDS_MAX)
		to = w->held_end - 1;
	if (to > w->acked_end)
		w->acked_end = to;
}

/* The step of a listed end; its job and task go to job and task. NULL: not known. */
static const struct dag_step *find_listed(const struct dag_sched *s,
					  const struct dag_listed_end *l,
					  const struct dag_job_rec **job,
					  const struct dag_task **task)
{
	const struct dag_job_rec *j = dag_state_find_job(s->state, l->task.job);

	*job = j;
	*task = j ? dag_job_find_task(j, l->task.occurrence, l->task.step, l->task.index)
		  : NULL;
	return *task ? &j->spec.steps.steps_val[l->task.step] : NULL;
}

/*
 * Whether a run that is listed as done was recorded as lost before, because its lease had
 * expired for the leader. The task may run again by then. If this end were acknowledged,
 * a run of the task would go on after the task was reported done.
 */
static bool was_declared_lost(const struct dag_sched *s, const struct dag_listed_end *l,
			      const struct ds_run *r)
{
	const struct dag_job_rec *j;
	const struct dag_task *t;
	const struct dag_step *st = find_listed(s, l, &j, &t);

	if (l->how != DAG_END_DONE || !st || st->speculative || st->long_running)
		return false;
	if (t->last_run != l->run)
		return true;
	/* After its job has ended, the end of a run no longer changes the task. */
	return !dag_job_ended(j) && (r || !t->done);
}

/* Keeps an end and all later ones of its worker unacknowledged. Each is logged once. */
static void hold_end(struct dag_sched *s, struct ds_worker *w,
		     const struct dag_listed_end *l, const char *reason)
{
	if (!w->held_end || l->number < w->held_end)
		w->held_end = l->number;
	if (l->number <= w->held_logged)
		return;
	w->held_logged = l->number;
	s->host->ops->log_event(s->host, "end-held", &l->task, l->run,
				XDR_STR(w->rec->w, id), reason, (int64_t)l->number);
}

/* The record of a loss is not committed; what the worker lists may count after it. */
static bool is_loss_pending(const struct dag_listed_end *l, const struct ds_run *r)
{
	return r && r->end_proposed && !r->end_listed && !r->step->long_running &&
	       (l->how == DAG_END_DONE || l->how == DAG_END_FAILED);
}

/* Whether an end counts whose run was recorded as lost before its worker listed it. */
static bool is_late_end(const struct dag_sched *s, const struct dag_listed_end *l)
{
	const struct dag_job_rec *j;
	const struct dag_task *t;
	const struct dag_step *st = find_listed(s, l, &j, &t);

	return st && !dag_job_ended(j) && !st->long_running &&
	       dag_task_takes_late_end(t, l->run, l->how);
}

static void propose_late_end(struct dag_sched *s, const struct dag_listed_end *l)
{
	struct dag_command c = {.kind = DAG_CMD_END};
	struct dag_end *e = &c.dag_command_u.end;

	e->task = l->task;
	e->run = l->run;
	e->how = l->how;
	XDR_SET(*e, checkpoint, l->checkpoint);
	ds_propose(s, &c);
}

/* Proposes a listed end, or decides whether it must stay unacknowledged. */
void ds_worker_take_end(struct dag_sched *s, struct ds_worker *w,
			const struct dag_listed_end *l)
{
	struct ds_run *r = ds_find_run(s, &l->task, l->run);

	if (r && r->worker != w)
		r = NULL;
	if (!w->first_listed_end || l->number < w->first_listed_end)
		w->first_listed_end = l->number;
	if (l->number > w->last_listed_end) {
		w->last_listed_end = l->number;
		w->has_new_ends = true;
	}
	if (r)
		r->listed = true;
	if (!r && is_late_end(s, l)) {
		hold_end(s, w, l, "run was recorded as lost; its end counts late");
		propose_late_end(s, l);
		return;
	}
	if (!r || r->end_proposed) {
		if (is_loss_pending(l, r) ||
		    ((!r || !r->end_listed) && was_declared_lost(s, l, r)))
			hold_end(s, w, l,
				 "run was recorded as lost; end not acknowledged");
		return;
	}
	r->end_listed = true;
	ds_run_note_begun(s, r);
	w->ends_uncommitted++;
	if (!r->step->long_running)
		ds_worker_count_result(s, w, l->how);
	if (l->how == DAG_END_FAILED)
		ds_job_find_task(r->job, &r->task)->avoid_worker = w->rec->number;
	ds_run_propose_end(s, r, l->how, l->checkpoint, "listed");
}
