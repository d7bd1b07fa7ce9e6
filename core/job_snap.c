#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/job_impl.h"
#include "proto/codec.h"

static void encode_task(const struct task *task, struct snap_task *out)
{
	struct str worker = job_worker_name(task->worker);

	out->state = (enum task_state)task->state;
	out->cancel = task->cancel;
	out->attempt = task->attempt;
	out->failures = task->failures;
	out->evictions = task->evictions;
	XDR_SET(*out, worker, worker);
	out->session = task->session;
	out->exit_code = task->exit_code;
	out->checkpoint = task->checkpoint;
	out->waiting_us = task->waiting_us;
	out->placed_us = task->placed_us;
	out->running_us = task->running_us;
	out->ended_us = task->ended_us;
}

static void encode_spec(const struct job_spec *spec, struct snap_spec *out)
{
	out->tasks = spec->tasks;
	out->cpus_milli = spec->cpus_milli;
	out->accelerators = spec->accelerators;
	out->duration_s = spec->duration_s;
	out->max_attempts = spec->max_attempts;
	out->spread = spec->spread;
	out->priority = spec->class;
	out->memory_mb = spec->memory_mb;
	out->deadline_us = spec->deadline_us;
	XDR_SET(*out, command, spec->command);
	XDR_SET(*out, batch_kind, spec->batch_kind);
}

/* Passes the lost workers of a job's tasks to visit(), if there were any. */
static int visit_losses(const struct job *job, int (*visit)(void *, struct snap_record *),
			void *arg)
{
	struct snap_record record = {.kind = SNAP_LOSSES};
	struct snap_losses *out = &record.snap_record_u.losses;
	struct snap_task_losses *tasks;
	u_int n = 0;
	int err;

	for (uint32_t i = 0; i < job->ntasks; i++)
		n += job->tasks[i].losses > 0;
	if (!n)
		return 0;
	tasks = calloc(n, sizeof(*tasks));
	if (!tasks)
		return CF_ENOMEM;
	for (uint32_t i = 0; i < job->ntasks; i++)
		if (job->tasks[i].losses)
			tasks[out->tasks.tasks_len++] = (struct snap_task_losses){
				i, job->tasks[i].losses, job->tasks[i].pardons};
	out->tasks.tasks_val = tasks;
	XDR_SET(*out, team, job_team_name(job));
	XDR_SET(*out, job, job->name);
	out->service = job->service;
	err = visit(arg, &record);
	free(tasks);
	return err;
}

/* Encodes a job as snapshot records and passes them to visit(). */
static int visit_job(const struct job *job, int (*visit)(void *, struct snap_record *),
		     void *arg)
{
	struct snap_record record = {.kind = SNAP_JOB};
	struct snap_job *out = &record.snap_record_u.job;
	struct snap_task *tasks = calloc(job->ntasks, sizeof(*tasks));
	int err;

	if (!tasks)
		return CF_ENOMEM;
	for (uint32_t i = 0; i < job->ntasks; i++)
		encode_task(&job->tasks[i], &tasks[i]);
	XDR_SET(*out, team, job_team_name(job));
	XDR_SET(*out, name, job->name);
	out->service = job->service;
	out->revision = job->revision;
	out->spec_revision = job->spec_revision;
	out->submitted_us = job->submitted_us;
	out->finished_us = job->finished_us;
	out->cancel = job->cancel;
	out->state = job->state;
	XDR_SET(*out, reason, str_from(job->reason));
	encode_spec(&job->spec, &out->spec);
	out->tasks.tasks_val = tasks;
	out->tasks.tasks_len = job->ntasks;
	err = visit(arg, &record);
	free(tasks);
	if (!err)
		err = visit_losses(job, visit, arg);
	return err ? err : job_visit_silences(job, visit, arg);
}

/*
 * Calls visit() for each unfinished job or service, then for the finished jobs of each
 * team. jobs_load() appends to the lists, so loading the records in this order restores
 * the order of the lists.
 */
int jobs_walk(const struct jobs *j, int (*visit)(void *, struct snap_record *), void *arg)
{
	const struct job *job;
	int err;

	TAILQ_FOREACH (job, &j->unfinished, link) {
		err = visit_job(job, visit, arg);
		if (err)
			return err;
	}
	for (size_t i = 0; i < j->teams.count; i++) {
		const struct job_team *t = (const struct job_team *)j->teams.list[i];

		TAILQ_FOREACH (job, &t->finished, link) {
			err = visit_job(job, visit, arg);
			if (err)
				return err;
		}
	}
	return 0;
}

static int load_task(struct jobs *j, const struct snap_task *in, struct task *task)
{
	if (in->state > TASK_EVICTED || in->failures > UINT16_MAX ||
	    in->evictions > UINT16_MAX ||
	    ((in->state == TASK_PLACED || in->state == TASK_RUNNING) &&
	     !name_valid(XDR_STR(*in, worker))))
		return CF_ECORRUPT;
	task->state = (uint8_t)in->state;
	task->cancel = in->cancel;
	task->attempt = in->attempt;
	task->failures = (uint16_t)in->failures;
	task->evictions = (uint16_t)in->evictions;
	task->session = in->session;
	task->exit_code = in->exit_code;
	task->checkpoint = in->checkpoint;
	task->waiting_us = in->waiting_us;
	task->placed_us = in->placed_us;
	task->running_us = in->running_us;
	task->ended_us = in->ended_us;
	return job_worker_get(j, XDR_STR(*in, worker), &task->worker);
}

static int load_spec(const struct snap_spec *in, struct job_spec *out)
{
	if (in->spread > CONF_SPREAD_ZONE || in->priority > CONF_CLASS_URGENT)
		return CF_ECORRUPT;
	*out = (struct job_spec){
		.tasks = in->tasks,
		.cpus_milli = in->cpus_milli,
		.accelerators = in->accelerators,
		.duration_s = in->duration_s,
		.max_attempts = in->max_attempts,
		.spread = (enum conf_spread)in->spread,
		.class = (enum conf_class)in->priority,
		.memory_mb = in->memory_mb,
		.deadline_us = in->deadline_us,
		.command = XDR_STR(*in, command),
		.batch_kind = XDR_STR(*in, batch_kind),
	};
	return 0;
}

static int load_job(struct jobs *j, const struct snap_job *in, struct job *job)
{
	int err;

	job->revision = in->revision;
	job->spec_revision = in->spec_revision;
	job->submitted_us = in->submitted_us;
	job->cancel = in->cancel;
	job->state = (uint8_t)in->state;
	if (in->reason.reason_len) {
		job->reason = str_dup(XDR_STR(*in, reason));
		if (!job->reason)
			return CF_ENOMEM;
	}
	for (uint32_t i = 0; i < job->ntasks; i++) {
		err = load_task(j, &in->tasks.tasks_val[i], &job->tasks[i]);
		if (err)
			return err;
		job->counts[job->tasks[i].state]++;
	}
	/* A job is finished when all its tasks have ended; a service need not be. */
	if (!in->finished_us)
		return job_ended(job) && !job->service ? CF_ECORRUPT : 0;
	if (!job_ended(job) || job->service)
		return CF_ECORRUPT;
	job_finish(j, job, in->finished_us);
	return 0;
}

/*
 * Appends a job from a snapshot to the unfinished jobs or to the finished jobs of its
 * team. Returns CF_ECORRUPT if it is invalid.
 */
int jobs_load(struct jobs *j, const struct snap_job *in)
{
	struct job_spec spec;
	struct job *job;
	int err = load_spec(&in->spec, &spec);

	if (err)
		return err;
	if (!name_valid(XDR_STR(*in, team)) || !name_valid(XDR_STR(*in, name)) ||
	    in->state >= JOB_STATES || in->tasks.tasks_len == 0 ||
	    in->tasks.tasks_len > j->options.tasks_per_job ||
	    job_find(j, XDR_STR(*in, team), in->service, XDR_STR(*in, name)))
		return CF_ECORRUPT;
	err = job_add(j, XDR_STR(*in, team), in->service, XDR_STR(*in, name), &spec,
		      in->tasks.tasks_len, &job);
	if (err)
		return err;
	err = load_job(j, in, job);
	/*
	 * On success load_job() may have called job_finish(), which may free the job, so
	 * the job is not read then. On an error job_finish() was not called: the job is
	 * unfinished and is removed here.
	 */
	if (err && !job->finished_us)
		job_remove(j, job);
	return err;
}

/*
 * Sets the lost workers of the tasks of a job that was loaded before. Returns CF_ECORRUPT
 * if they are invalid.
 */
int jobs_load_losses(struct jobs *j, const struct snap_losses *in)
{
	struct job *job = job_find(j, XDR_STR(*in, team), in->service, XDR_STR(*in, job));

	/* A finished job may have been removed at once to keep within the limits. */
	if (!job)
		return 0;
	for (u_int i = 0; i < in->tasks.tasks_len; i++) {
		const struct snap_task_losses *t = &in->tasks.tasks_val[i];

		if (t->task >= job->ntasks || t->losses == 0 || t->losses > UINT8_MAX ||
		    t->pardons > t->losses)
			return CF_ECORRUPT;
		job->tasks[t->task].losses = (uint8_t)t->losses;
		job->tasks[t->task].pardons = (uint8_t)t->pardons;
	}
	return 0;
}
