/* Suspicions that end with what is known of their task, or with their job. */
#include "core/dag_state.h"

/* Forgets those of a task's runs. */
void dag_suspicions_forget_task(struct dag_state *s, const struct dag_task_ref *t)
{
	struct dag_suspicion *u, *next;

	for (u = s->suspicions; u; u = next) {
		next = u->hh.next;
		if (dag_suspicion_is_of(u, t))
			dag_suspicion_remove(s, u);
	}
}

/* Forgets those of a job's runs. */
void dag_suspicions_forget_job(struct dag_state *s, uint64_t job)
{
	struct dag_suspicion *u, *next;

	for (u = s->suspicions; u; u = next) {
		next = u->hh.next;
		if (u->key.task.job == job)
			dag_suspicion_remove(s, u);
	}
}
