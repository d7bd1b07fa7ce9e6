/*
 * Crashes of workers in the replicated state: when a task is given up or waits for them,
 * and what becomes of suspected runs. core/dag_crash.c has the leader's part.
 */
#include "core/dag_counted.h"
#include "core/dag_state.h"
#include "proto/codec.h"

/* Workers that crashed under a task, or were lost before they answered its start. */
uint32_t dag_task_losses(const struct dag_task *t)
{
	return (uint32_t)t->crashes + t->unanswered;
}

/* Whether so many workers have crashed under a task that it is given up. */
bool dag_task_is_deadly(const struct dag_task *t)
{
	return t->crashes >= DAG_CRASHES_MAX || dag_task_losses(t) >= DAG_LOSSES_MAX ||
	       (t->crashes >= DAG_CRASHES_PROVEN && t->crashes_alone);
}

/*
 * Whether a task may not start until more is known of its earlier runs: if all of them
 * have crashed their workers, it is given up.
 */
bool dag_task_is_held(const struct dag_task *t)
{
	uint32_t n = t->n_suspected;

	return n && (t->crashes + n >= DAG_CRASHES_MAX ||
		     dag_task_losses(t) + n >= DAG_LOSSES_MAX);
}

/* Whether a worker crashed, for all that is known, when its run ended. */
bool dag_end_is_crash(enum dag_end_how how)
{
	return how == DAG_END_CRASHED || how == DAG_END_CRASHED_ALONE ||
	       how == DAG_END_UNANSWERED;
}

/* Whether a worker may have crashed when its run ended. */
bool dag_end_is_suspicion(enum dag_end_how how)
{
	return how == DAG_END_SUSPECTED || how == DAG_END_UNANSWERED_SUSPECTED;
}

/*
 * Notes for the log how the end of a run is known that counts. w NULL: its worker is not
 * known.
 */
void dag_state_note_counted(struct dag_task *t, const struct dag_end *e,
			    const struct dag_worker_rec *w, const char *known)
{
	struct dag_counted_end c = {
		.run = e->run, .crashed = dag_end_is_crash(e->how), .known = known};

	if (w)
		c.worker = XDR_STR(w->w, id);
	dag_counted_add(&t->counted, &c);
}

/* Counts the crash of a worker under a task, and fails the job of a deadly one. */
void dag_state_count_crash(struct dag_state *s, struct dag_job_rec *j, struct dag_task *t,
			   const struct dag_end *e, const struct dag_worker_rec *w,
			   const char *known)
{
	dag_state_note_counted(t, e, w, known);
	if (e->how == DAG_END_UNANSWERED)
		t->unanswered++;
	else
		t->crashes++;
	t->crashes_alone += e->how == DAG_END_CRASHED_ALONE;
	if (dag_task_is_deadly(t))
		dag_state_end_job(s, j, DAG_JOB_FAILED);
}

/* It is known of a run whether it crashed its worker. known: how, if it did. */
void dag_state_resolve_suspicion(struct dag_state *s, struct dag_suspicion *u,
				 enum dag_end_how how, const char *known)
{
	bool crashed = dag_end_is_crash(how);
	struct dag_end e = {u->key.task,
			    u->key.run,
			    crashed && u->unanswered ? DAG_END_UNANSWERED : how,
			    {0, NULL}};
	const struct dag_worker_rec *w = dag_state_find_worker(s, u->worker);
	struct dag_job_rec *j = dag_state_find_job(s, e.task.job);
	struct dag_task *t =
		j ? dag_job_find_task(j, e.task.occurrence, e.task.step, e.task.index)
		  : NULL;

	dag_suspicion_remove(s, u);
	if (!t)
		return;
	if (crashed && !dag_job_ended(j) && !t->done)
		dag_state_count_crash(s, j, t, &e, w, known);
	if (s->observer)
		s->observer->ops->run_ended(s->observer, j, &e, 0);
}

/* The same for all runs that are suspected on a worker, of which another life is known.
 */
void dag_state_resolve_suspicions(struct dag_state *s, const struct dag_worker_rec *w,
				  enum dag_end_how how)
{
	struct dag_suspicion *u, *next;

	if (!w->n_suspected)
		return;
	for (u = s->suspicions; u; u = next) {
		next = u->hh.next;
		if (u->worker == w->number)
			dag_state_resolve_suspicion(
				s, u, how, "its worker came back in another life");
	}
}

/* Forgets what is suspected of a task's runs. */
void dag_state_forget_suspicions(struct dag_state *s, const struct dag_task_ref *t)
{
	struct dag_suspicion *u, *next;

	for (u = s->suspicions; u; u = next) {
		next = u->hh.next;
		if (dag_suspicion_is_of(u, t))
			dag_suspicion_remove(s, u);
	}
}

/* Forgets what is suspected of a job's runs. */
void dag_state_forget_job_suspicions(struct dag_state *s, uint64_t job)
{
	struct dag_suspicion *u, *next;

	for (u = s->suspicions; u; u = next) {
		next = u->hh.next;
		if (u->key.task.job == job)
			dag_suspicion_remove(s, u);
	}
}
