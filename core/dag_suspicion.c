/*
 * Runs that were lost with their workers soon after their start. Each may have crashed
 * its worker, which is known once another life of the worker answers, or the same one.
 */
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/dag_state.h"

static struct dag_task *task_of(const struct dag_state *s, const struct dag_task_ref *t)
{
	struct dag_job_rec *j = dag_state_find_job(s, t->job);

	return j ? dag_job_find_task(j, t->occurrence, t->step, t->index) : NULL;
}

/* Keys are compared as bytes, so that they have no padding of their source. */
static struct dag_suspicion_key key_of(const struct dag_task_ref *t, uint32_t run)
{
	struct dag_suspicion_key key;

	memset(&key, 0, sizeof(key));
	key.task.job = t->job;
	key.task.occurrence = t->occurrence;
	key.task.step = t->step;
	key.task.index = t->index;
	key.run = run;
	return key;
}

/* Whether it is of a run of the task. */
bool dag_suspicion_is_of(const struct dag_suspicion *u, const struct dag_task_ref *t)
{
	const struct dag_task_ref *k = &u->key.task;

	return k->job == t->job && k->occurrence == t->occurrence && k->step == t->step &&
	       k->index == t->index;
}

/* NULL: there is none of this run. */
struct dag_suspicion *dag_suspicion_find(const struct dag_state *s,
					 const struct dag_task_ref *t, uint32_t run)
{
	struct dag_suspicion_key key = key_of(t, run);
	struct dag_suspicion *u;

	HASH_FIND(hh, s->suspicions, &key, sizeof(key), u);
	return u;
}

/*
 * Notes that a run may have crashed its worker. unanswered: so may its start, which had
 * no answer. One more than DAG_SUSPICIONS_MAX of a task, and a second of a run, are
 * ignored. CF_ENOMEM.
 */
int dag_suspicion_add(struct dag_state *s, const struct dag_task_ref *t, uint32_t run,
		      uint32_t worker, bool unanswered)
{
	struct dag_worker_rec *w = dag_state_find_worker(s, worker);
	struct dag_task *task = task_of(s, t);
	struct dag_suspicion *u;

	if (!w || !task || task->n_suspected == DAG_SUSPICIONS_MAX ||
	    dag_suspicion_find(s, t, run))
		return 0;
	u = calloc(1, sizeof(*u));
	if (!u)
		return CF_ENOMEM;
	u->key = key_of(t, run);
	u->worker = worker;
	u->unanswered = unanswered;
	u->since_us = s->clock_us;
	HASH_ADD(hh, s->suspicions, key, sizeof(u->key), u);
	task->n_suspected++;
	w->n_suspected++;
	return 0;
}

void dag_suspicion_remove(struct dag_state *s, struct dag_suspicion *u)
{
	struct dag_worker_rec *w = dag_state_find_worker(s, u->worker);
	struct dag_task *task = task_of(s, &u->key.task);

	if (task)
		task->n_suspected--;
	if (w)
		w->n_suspected--;
	HASH_DEL(s->suspicions, u);
	free(u);
}

void dag_suspicions_clear(struct dag_state *s)
{
	struct dag_suspicion *u = s->suspicions;
	struct dag_suspicion *next;

	HASH_CLEAR(hh, s->suspicions);
	for (; u; u = next) {
		next = u->hh.next;
		free(u);
	}
}
