/*
 * What a leader learns of runs that may have crashed their workers. The same life of the
 * worker answers again: it has not crashed. Another process answers at its address: it
 * has. Another life of it answers: the record of that tells, see dag_state_crash.c.
 */
#include "core/dag_sched_impl.h"
#include "proto/codec.h"

/*
 * A worker that crashed is back within seconds, and so is one that was cut off. One that
 * has not been seen for so long may be gone for good; a task does not wait longer for it.
 */
#define HELD_MAX_US (30 * USEC_PER_SEC)

static void propose_resolution(struct dag_sched *s, struct dag_suspicion *u,
			       enum dag_end_how how, const char *reason)
{
	const struct dag_worker_rec *w = dag_state_find_worker(s->state, u->worker);
	struct dag_command c = {.kind = DAG_CMD_END};
	struct dag_end *e = &c.dag_command_u.end;

	if (u->dropped_by == s->opt.epoch)
		return;
	u->dropped_by = s->opt.epoch;
	e->task = u->key.task;
	e->run = u->key.run;
	e->how = how;
	if (how == DAG_END_LAPSED)
		s->host->ops->log_event(s->host, "suspicion-dropped", &e->task, e->run,
					w ? XDR_STR(w->w, id) : (struct str){NULL, 0},
					reason, 0);
	ds_propose(s, &c);
}

/*
 * Resolves what is suspected of a worker's runs. before_us: only what was recorded before
 * that time, in microseconds of the monotonic clock.
 */
void ds_resolve_suspicions(struct dag_sched *s, const struct ds_worker *w,
			   enum dag_end_how how, int64_t before_us, const char *reason)
{
	struct dag_suspicion *u, *next;

	/* Called for each poll reply, while few workers have any. */
	if (!w->rec->n_suspected)
		return;
	for (u = s->state->suspicions; u; u = next) {
		next = u->hh.next;
		if (u->worker == w->rec->number && u->since_us <= before_us)
			propose_resolution(s, u, how, reason);
	}
}

/* Whether a task has waited long enough for word of the workers of its lost runs. */
static bool has_waited(const struct dag_sched *s, const struct dag_task_ref *ref)
{
	const struct dag_job_rec *j = dag_state_find_job(s->state, ref->job);
	const struct dag_suspicion *u;

	if (!j || !dag_task_is_held(
			  dag_job_find_task(j, ref->occurrence, ref->step, ref->index)))
		return false;
	for (u = s->state->suspicions; u; u = u->hh.next)
		if (dag_suspicion_is_of(u, ref) &&
		    (s->now_us - u->since_us < HELD_MAX_US ||
		     u->dropped_by == s->opt.epoch))
			return false;
	return true;
}

/* Drops the oldest suspicion of each task that has waited long enough. */
void ds_expire_suspicions(struct dag_sched *s)
{
	struct dag_suspicion *u, *next;

	for (u = s->state->suspicions; u; u = next) {
		struct dag_task_ref ref = u->key.task;

		next = u->hh.next;
		if (s->now_us - u->since_us >= HELD_MAX_US && has_waited(s, &ref))
			propose_resolution(s, u, DAG_END_LAPSED,
					   "its worker has not been seen since");
	}
}

/* Workers that crashed under a task for all that is known, or may have. */
uint32_t ds_task_suspect_crashes(const struct dag_task *t)
{
	return dag_task_losses(t) + t->n_suspected;
}
