/*
 * Runs that were lost with their workers soon after their start. Each may have crashed
 * its worker, which is known once another life of the worker answers, or the same one.
 */
#include <stdlib.h>

#include "base/err.h"
#include "core/dag_state.h"

static struct dag_task *task_of(const struct dag_state *s, const struct dag_task_ref *t)
{
	struct dag_job_rec *j = dag_state_find_job(s, t->job);

	return j ? dag_job_find_task(j, t->occurrence, t->step, t->index) : NULL;
}

/* Whether it is of a run of the task. */
bool dag_suspicion_is_of(const struct dag_suspicion *u, const struct dag_task_ref *t)
{
	return u->task.job == t->job && u->task.occurrence == t->occurrence &&
	       u->task.step == t->step && u->task.index == t->index;
}

/* NULL: there is none of this run. */
struct dag_suspicion *dag_suspicion_find(const struct dag_state *s,
					 const struct dag_task_ref *t, uint32_t run)
{
	const struct dag_task *task = task_of(s, t);
	struct dag_suspicion *u = task && task->n_suspected ? s->suspicions : NULL;

	while (u && !(u->run == run && dag_suspicion_is_of(u, t)))
		u = u->next;
	return u;
}

/*
 * Notes that a run may have crashed its worker. One more than DAG_SUSPICIONS_MAX of a
 * task, and a second of a run, are ignored. CF_ENOMEM.
 */
int dag_suspicion_add(struct dag_state *s, const struct dag_task_ref *t, uint32_t run,
		      uint32_t worker)
{
	struct dag_suspicion **end = &s->suspicions;
	struct dag_task *task = task_of(s, t);

	if (!task || task->n_suspected == DAG_SUSPICIONS_MAX ||
	    dag_suspicion_find(s, t, run))
		return 0;
	while (*end)
		end = &(*end)->next;
	*end = calloc(1, sizeof(**end));
	if (!*end)
		return CF_ENOMEM;
	(*end)->task = *t;
	(*end)->run = run;
	(*end)->worker = worker;
	(*end)->since_us = s->clock_us;
	task->n_suspected++;
	return 0;
}

/* Takes one out of the list and frees it. */
static void remove_at(struct dag_state *s, struct dag_suspicion **at)
{
	struct dag_suspicion *u = *at;
	struct dag_task *task = task_of(s, &u->task);

	if (task)
		task->n_suspected--;
	*at = u->next;
	free(u);
}

/* Forgets the suspicion of a run, if there is one. */
void dag_suspicion_forget(struct dag_state *s, const struct dag_task_ref *t, uint32_t run)
{
	struct dag_suspicion **at = &s->suspicions;

	while (*at && !((*at)->run == run && dag_suspicion_is_of(*at, t)))
		at = &(*at)->next;
	if (*at)
		remove_at(s, at);
}

/* Forgets those of a task's runs. */
void dag_suspicions_forget_task(struct dag_state *s, const struct dag_task_ref *t)
{
	struct dag_suspicion **at = &s->suspicions;

	while (*at)
		if (dag_suspicion_is_of(*at, t))
			remove_at(s, at);
		else
			at = &(*at)->next;
}

/* Forgets those of a job's runs. */
void dag_suspicions_forget_job(struct dag_state *s, uint64_t job)
{
	struct dag_suspicion **at = &s->suspicions;

	while (*at)
		if ((*at)->task.job == job)
			remove_at(s, at);
		else
			at = &(*at)->next;
}

void dag_suspicions_clear(struct dag_state *s)
{
	struct dag_suspicion *u = s->suspicions;
	struct dag_suspicion *next;

	s->suspicions = NULL;
	for (; u; u = next) {
		next = u->next;
		free(u);
	}
}
