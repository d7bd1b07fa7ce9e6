#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/job_impl.h"
#include "proto/codec.h"

/* Moves a task to another state. */
void job_set_task(struct job *job, struct task *task, enum task_state state)
{
	job->counts[task->state]--;
	task->state = (uint8_t)state;
	job->counts[state]++;
}

/* Tells whether an attempt may be using a worker. */
bool job_task_active(const struct task *task)
{
	return task->state == TASK_PLACED || task->state == TASK_RUNNING;
}

/* Requests the cancellation of the tasks from `first` on; idle ones end at once. */
void job_request_cancel(struct job *job, uint32_t first, uint64_t time_us)
{
	for (uint32_t i = first; i < job->ntasks; i++) {
		struct task *task = &job->tasks[i];

		if (job_task_active(task)) {
			task->cancel = true;
		} else if (task->state == TASK_WAITING || task->state == TASK_EVICTED) {
			job_set_task(job, task, TASK_CANCELLED);
			task->ended_us = time_us;
		}
	}
}

/* Tells whether all tasks are in a final state. */
bool job_ended(const struct job *job)
{
	return job->counts[TASK_DONE] + job->counts[TASK_FAILED] +
		       job->counts[TASK_CANCELLED] ==
	       job->ntasks;
}

/* Derives the state of a job from its tasks, and finishes it when all have ended. */
void job_settle(struct jobs *j, struct job *job, uint64_t time_us)
{
	/* A service with surplus tasks ends only with its document. */
	bool ended = job_ended(job) && (!job->service || job->cancel);

	if (job->state == JOB_REJECTED) {
		if (ended)
			job_finish(j, job, time_us);
		return;
	}
	if (!ended)
		job->state = job->counts[TASK_PLACED] + job->counts[TASK_RUNNING]
				     ? JOB_RUNNING
				     : JOB_WAITING;
	else if (job->counts[TASK_DONE] == job->ntasks)
		job->state = JOB_DONE;
	else
		job->state = job->reason ? JOB_FAILED : JOB_CANCELLED;
	if (ended)
		job_finish(j, job, time_us);
}

/* Tells whether the next attempt of a task may be placed. */
static bool is_idle(const struct job *job, const struct task *task)
{
	return task->state == TASK_WAITING || task->state == TASK_EVICTED ||
	       (job->service && !job->cancel && task->state == TASK_CANCELLED);
}

/* Records the intent to start the next attempt. */
static int place(struct jobs *j, struct job *job, struct task *task,
		 const struct command_task *in, uint64_t time_us)
{
	struct str name = XDR_STR(*in, worker);
	const struct job_worker *worker;
	int err;

	if (!is_idle(job, task) || in->attempt != task->attempt + 1)
		return CF_ESTALE;
	if (!name_valid(name))
		return CF_EINVAL;
	err = job_worker_get(j, name, &worker);
	if (err)
		return err;
	job_worker_put(j, task->worker);
	/* Another executor does not resume the work of the one that had the number. */
	if (task->state == TASK_CANCELLED) {
		task->checkpoint = 0;
		task->cancel = false;
	}
	task->worker = worker;
	task->session = in->session;
	task->attempt = in->attempt;
	task->placed_us = time_us;
	task->running_us = 0;
	task->ended_us = 0;
	job_set_task(job, task, TASK_PLACED);
	return 0;
}

/* Puts a task back among those that wait for a placement. */
static void wait_again(struct job *job, struct task *task, enum task_state state,
		       uint64_t time_us)
{
	if (task->cancel) {
		job_set_task(job, task, TASK_CANCELLED);
		return;
	}
	task->waiting_us = time_us;
	job_set_task(job, task, state);
}

/* Why a task failed for good, as its operators read it. */
static int describe(const struct job *job, const struct task *task,
		    const struct command_task *in, struct buf *out)
{
	unsigned int number = (unsigned int)(task - job->tasks);

	switch (in->reason) {
	case TASK_R_TOO_LARGE:
		return buf_addf(out, "task %u is larger than every worker", number);
	case TASK_R_OVER_QUOTA:
		return buf_addf(out, "task %u exceeds the quota of its team", number);
	case TASK_R_JOB_FAILS:
		return buf_addf(out,
				"every task failed on every worker; task %u failed %u "
				"times, last with exit code %d",
				number, task->failures, task->exit_code);
	default:
		return buf_addf(out, "task %u failed %u times, last with exit code %d",
				number, task->failures, task->exit_code);
	}
}

static bool was_placed(const struct job *job)
{
	for (uint32_t i = 0; i < job->ntasks; i++) {
		if (job->tasks[i].attempt)
			return true;
	}
	return false;
}

/* The task failed for good, which ends its job. */
static int fail(struct job *job, struct task *task, const struct command_task *in,
		uint64_t time_us)
{
	struct buf reason = {0};
	int err;

	if (job->service) {
		/* A service has no end of its own. */
		wait_again(job, task, TASK_WAITING, time_us);
		return 0;
	}
	job_set_task(job, task, TASK_FAILED);
	if (job->cancel || job->state == JOB_REJECTED)
		return 0;
	err = describe(job, task, in, &reason);
	if (err)
		return err;
	job->reason = reason.p;
	if ((in->reason == TASK_R_TOO_LARGE || in->reason == TASK_R_OVER_QUOTA) &&
	    !was_placed(job))
		job->state = JOB_REJECTED;
	job->cancel = true;
	job_request_cancel(job, 0, time_us);
	return 0;
}

/* Ends the present attempt. */
static int end_attempt(struct job *job, struct task *task, const struct command_task *in,
		       uint64_t time_us)
{
	if (in->state == TASK_CANCELLED && !task->cancel && !job->service)
		return CF_ESTALE;
	task->ended_us = time_us;
	if (in->checkpoint)
		task->checkpoint = in->checkpoint;
	if (in->failures > task->failures)
		task->failures =
			(uint16_t)(in->failures < UINT16_MAX ? in->failures : UINT16_MAX);
	if (in->exit_code)
		task->exit_code = in->exit_code;
	switch (in->state) {
	case TASK_DONE:
		task->exit_code = in->exit_code;
		if (job->service)
			wait_again(job, task, TASK_WAITING, time_us);
		else
			job_set_task(job, task, TASK_DONE);
		return 0;
	case TASK_FAILED:
		return fail(job, task, in, time_us);
	case TASK_EVICTED:
		if (task->evictions < UINT16_MAX)
			task->evictions++;
		wait_again(job, task, TASK_EVICTED, time_us);
		return 0;
	case TASK_CANCELLED:
		job_set_task(job, task, TASK_CANCELLED);
		return 0;
	default:
		wait_again(job, task, TASK_WAITING, time_us);
		return 0;
	}
}

/* Ends a task that no worker has, by the decision of the scheduler. */
static int end_idle(struct job *job, struct task *task, const struct command_task *in,
		    uint64_t time_us)
{
	if ((task->state != TASK_WAITING && task->state != TASK_EVICTED) ||
	    in->attempt != task->attempt)
		return CF_ESTALE;
	if (in->state == TASK_FAILED)
		return job->service ? 0 : fail(job, task, in, time_us);
	if (in->state != TASK_CANCELLED || !job->service)
		return CF_ESTALE;
	job_set_task(job, task, TASK_CANCELLED);
	task->ended_us = time_us;
	return 0;
}

/*
 * Applies a task record when it is a legal step; see core/job.h. CF_ENOENT when there
 * is no such job or task, CF_ESTALE for a step that is not legal, CF_EINVAL.
 */
int jobs_task(struct jobs *j, const struct command_task *in, uint64_t time_us)
{
	struct job *job = job_find(j, XDR_STR(*in, team), in->service, XDR_STR(*in, job));
	struct task *task;
	int err = 0;

	/* XDR decodes any number into an enum. */
	if (in->state > TASK_EVICTED || in->reason > TASK_R_JOB_FAILS)
		return CF_EINVAL;
	if (!job)
		return CF_ENOENT;
	if (job->revision != in->job_revision)
		return CF_ESTALE;
	if (in->task >= job->ntasks && in->state == TASK_PLACED) {
		err = job_add_executors(j, job, in, time_us);
		if (err)
			return err;
	}
	if (in->task >= job->ntasks)
		return CF_ENOENT;
	task = &job->tasks[in->task];
	if (in->state == TASK_PLACED) {
		err = place(j, job, task, in, time_us);
		goto out;
	}
	if (!job_task_active(task)) {
		err = end_idle(job, task, in, time_us);
		goto out;
	}
	if (in->attempt != task->attempt || in->session != task->session ||
	    !str_eq(XDR_STR(*in, worker), job_worker_name(task->worker)))
		return CF_ESTALE;
	if (in->state == TASK_RUNNING) {
		if (task->state != TASK_PLACED)
			return CF_ESTALE;
		task->running_us = time_us;
		job_set_task(job, task, TASK_RUNNING);
	} else {
		err = end_attempt(job, task, in, time_us);
	}
out:
	if (!err)
		job_settle(j, job, time_us);
	return err;
}

const char *job_state_name(enum job_state state)
{
	static const char *const names[JOB_STATES] = {
		"waiting", "running", "done", "failed", "cancelled", "rejected",
	};

	return state < JOB_STATES ? names[state] : "unknown";
}

const char *job_task_state_name(enum task_state state)
{
	static const char *const names[] = {
		"waiting", "placed", "running", "done", "failed", "cancelled", "evicted",
	};

	return state <= TASK_EVICTED ? names[state] : "unknown";
}
