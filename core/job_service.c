#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/job_impl.h"
#include "proto/codec.h"

/* Returns whether a team may add this number of services and tasks. */
bool jobs_services_fit(const struct jobs *j, struct str team, uint64_t services,
		       uint64_t tasks)
{
	const struct job_team *t = (struct job_team *)teams_find(&j->teams, team);

	if (!t && services && j->teams.count >= j->teams.max)
		return false;
	return share_fits(&j->jobs, t ? t->used_jobs : 0, services) &&
	       share_fits(&j->tasks, t ? t->used_tasks : 0, tasks);
}

static bool same_spec(const struct job_spec *a, const struct job_spec *b)
{
	return a->tasks == b->tasks && a->cpus_milli == b->cpus_milli &&
	       a->accelerators == b->accelerators && a->memory_mb == b->memory_mb &&
	       a->spread == b->spread && str_eq(a->command, b->command);
}

/* Extends a job to n tasks; the new ones are waiting. Never shrinks. */
static int add_waiting_tasks(struct jobs *j, struct job *job, uint32_t n,
			     uint64_t time_us)
{
	struct task *tasks;

	if (n <= job->ntasks)
		return 0;
	tasks = realloc(job->tasks, n * sizeof(*tasks));
	if (!tasks)
		return CF_ENOMEM;
	memset(tasks + job->ntasks, 0, (n - job->ntasks) * sizeof(*tasks));
	for (uint32_t i = job->ntasks; i < n; i++)
		tasks[i].waiting_us = time_us;
	job->tasks = tasks;
	job->counts[TASK_WAITING] += n - job->ntasks;
	share_acquire(&j->tasks, &job->team->used_tasks, n - job->ntasks);
	job->ntasks = n;
	return 0;
}

/*
 * Adds task numbers up to that of a first placement. A replacement runs beside the
 * executor it replaces, so more numbers than requested executors are needed; they are
 * limited to JOB_SERVICE_SPAN times that count. New tasks are cancelled, that is unused,
 * until they are placed.
 */
int job_add_executors(struct jobs *j, struct job *job, const struct command_task *in,
		      uint64_t time_us)
{
	uint32_t first = job->ntasks;
	int err;

	if (!job->service || job->cancel || in->attempt != 1 ||
	    in->task >= (uint64_t)job->spec.tasks * JOB_SERVICE_SPAN ||
	    in->task >= j->options.tasks_per_job || !name_valid(XDR_STR(*in, worker)))
		return CF_ENOENT;
	if (!share_fits(&j->tasks, job->team->used_tasks, in->task + 1 - first))
		return CF_ENOSPACE;
	err = add_waiting_tasks(j, job, in->task + 1, time_us);
	if (err)
		return err;
	for (uint32_t i = first; i < job->ntasks; i++)
		job_set_task_state(job, &job->tasks[i], TASK_CANCELLED);
	return 0;
}

/*
 * Creates or updates a service from its document, with spec->tasks requested executors.
 * The scheduler chooses which executors stop; new task numbers are waiting. Tasks keep
 * their attempt numbers, so that no command for an earlier attempt matches a later one.
 * CF_ENOMEM is fatal for the store.
 */
int jobs_service_set(struct jobs *j, struct str team, struct str name,
		     const struct job_spec *spec, uint64_t index, uint64_t time_us)
{
	struct job *job = job_find(j, team, true, name);
	uint32_t n = spec->tasks;
	int err;

	if (n == 0) {
		jobs_service_remove(j, team, name, time_us);
		return 0;
	}
	if (!job) {
		err = job_add(j, team, true, name, spec, n, &job);
		if (err)
			return err;
		job->revision = index;
		job->submitted_us = time_us;
		job->counts[TASK_WAITING] = n;
		job->spec_revision = index;
		for (uint32_t i = 0; i < n; i++)
			job->tasks[i].waiting_us = time_us;
	} else {
		if (!same_spec(&job->spec, spec))
			job->spec_revision = index;
		err = job_set_spec(job, name, spec);
		if (!err)
			err = add_waiting_tasks(j, job, n, time_us);
		if (err)
			return err;
	}
	job->cancel = false;
	for (uint32_t i = 0; i < job->ntasks; i++)
		job->tasks[i].cancel = false;
	job_update_state(j, job, time_us);
	return 0;
}

/* Cancels a service whose document was deleted or requests no executors. */
void jobs_service_remove(struct jobs *j, struct str team, struct str name,
			 uint64_t time_us)
{
	struct job *job = job_find(j, team, true, name);

	if (!job)
		return;
	job->cancel = true;
	job_request_cancel(job, 0, time_us);
	job_update_state(j, job, time_us);
}
