#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/job_impl.h"
#include "proto/codec.h"

/* Changes the state of a task and the job's counts per state. */
void job_set_task_state(struct job *job, struct task *task, enum task_state state)
{
	job->counts[task->state]--;
	task->state = (uint8_t)state;
	job->counts[state]++;
}

/* Returns whether the current attempt may occupy a worker. */
bool job_task_active(const struct task *task)
{
	return task->state == TASK_PLACED || task->state == TASK_RUNNING;
}

/* Requests cancellation of all tasks from `first` on; idle ones are cancelled at once. */
void job_request_cancel(struct job *job, uint32_t first, uint64_t time_us)
{
	for (uint32_t i = first; i < job->ntasks; i++) {
		struct task *task = &job->tasks[i];

		if (job_task_active(task)) {
			task->cancel = true;
		} else if (task->state == TASK_WAITING || task->state == TASK_EVICTED) {
			job_set_task_state(job, task, TASK_CANCELLED);
			task->ended_us = time_us;
		}
	}
}

/* Returns whether all tasks are in a final state. */
bool job_ended(const struct job *job)
{
	return job->counts[TASK_DONE] + job->counts[TASK_FAILED] +
		       job->counts[TASK_CANCELLED] ==
	       job->ntasks;
}

/* Derives the state of a job from its tasks and finishes it once all have ended. */
void job_update_state(struct jobs *j, struct job *job, uint64_t time_us)
{
	/* A service ends only with its document, even if all its tasks are cancelled. */
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

/* Returns whether the next attempt of a task may be placed. */
static bool may_place(const struct job *job, const struct task *task)
{
	return task->state == TASK_WAITING || task->state == TASK_EVICTED ||
	       (job->service && !job->cancel && task->state == TASK_CANCELLED);
}

/* Records the placement of the next attempt, before the worker is asked to start it. */
static int place_attempt(struct jobs *j, struct job *job, struct task *task,
			 const struct command_task *in, uint64_t time_us)
{
	struct str name = XDR_STR(*in, worker);
	const struct job_worker *worker;
	int err;

	if (!may_place(job, task) || in->attempt != task->attempt + 1)
		return CF_ESTALE;
	if (!name_valid(name))
		return CF_EINVAL;
	err = job_worker_get(j, name, &worker);
	if (err)
		return err;
	job_worker_put(j, task->worker);
	/* A new executor must not resume from the checkpoint of the previous one. */
	if (task->state == TASK_CANCELLED) {
		task->checkpoint = 0;
		task->losses = 0;
		task->pardons = 0;
		job_silences_free(j, task->silences);
		task->silences = NULL;
		task->cancel = false;
	}
	task->worker = worker;
	task->session = in->session;
	task->attempt = in->attempt;
	task->placed_us = time_us;
	task->running_us = 0;
	task->ended_us = 0;
	job_set_task_state(job, task, TASK_PLACED);
	return 0;
}

/* Returns a task to waiting or evicted, or cancels it if that was requested. */
static void requeue_task(struct job *job, struct task *task, enum task_state state,
			 uint64_t time_us)
{
	if (task->cancel) {
		job_set_task_state(job, task, TASK_CANCELLED);
		return;
	}
	task->waiting_us = time_us;
	job_set_task_state(job, task, state);
}

/* Formats the reason of a permanent failure for operators. */
static int format_failure(const struct job *job, const struct task *task,
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
	case TASK_R_LOSES_WORKERS:
		return buf_addf(out,
				"%u workers were lost soon after task %u had started on "
				"them",
				task->losses - task->pardons, number);
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

/* Fails a task permanently, which fails its job. A service task is requeued instead. */
static int fail_task(struct job *job, struct task *task, const struct command_task *in,
		     uint64_t time_us)
{
	struct buf reason = {0};
	int err;

	if (job->service) {
		/* A service runs until its document is removed. */
		requeue_task(job, task, TASK_WAITING, time_us);
		return 0;
	}
	job_set_task_state(job, task, TASK_FAILED);
	if (job->cancel || job->state == JOB_REJECTED)
		return 0;
	err = format_failure(job, task, in, &reason);
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

/* Ends the current attempt of an active task. CF_ESTALE for an unrequested cancel. */
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
			requeue_task(job, task, TASK_WAITING, time_us);
		else
			job_set_task_state(job, task, TASK_DONE);
		return 0;
	case TASK_FAILED:
		return fail_task(job, task, in, time_us);
	case TASK_EVICTED:
		if (task->evictions < UINT16_MAX)
			task->evictions++;
		requeue_task(job, task, TASK_EVICTED, time_us);
		return 0;
	case TASK_CANCELLED:
		job_set_task_state(job, task, TASK_CANCELLED);
		return 0;
	default:
		requeue_task(job, task, TASK_WAITING, time_us);
		return 0;
	}
}

/* Fails or cancels a task that is on no worker, by decision of the scheduler. */
static int end_idle_task(struct job *job, struct task *task,
			 const struct command_task *in, uint64_t time_us)
{
	if ((task->state != TASK_WAITING && task->state != TASK_EVICTED) ||
	    in->attempt != task->attempt)
		return CF_ESTALE;
	if (in->state == TASK_FAILED)
		return job->service ? 0 : fail_task(job, task, in, time_us);
	if (in->state != TASK_CANCELLED || !job->service)
		return CF_ESTALE;
	job_set_task_state(job, task, TASK_CANCELLED);
	task->ended_us = time_us;
	return 0;
}

static uint8_t to_count(uint32_t n)
{
	return n < UINT8_MAX ? (uint8_t)n : UINT8_MAX;
}

static void swap_silences(struct task *task, struct task_silences **other)
{
	struct task_silences *former = task->silences;

	task->silences = *other;
	*other = former;
}

/*
 * Applies a task command; losses is NULL to leave the lost workers as they are.
 * Otherwise the silences of the task become *silences, which then has the former ones;
 * on an error neither changes.
 */
static int apply_task(struct jobs *j, const struct command_task *in,
		      const struct command_task_losses *losses,
		      struct task_silences **silences, uint64_t time_us)
{
	struct job *job = job_find(j, XDR_STR(*in, team), in->service, XDR_STR(*in, job));
	struct task *task;
	uint8_t losses_before;
	uint8_t pardons_before;
	int err = 0;

	/* XDR does not check the range of enum values. */
	if (in->state > TASK_EVICTED || in->reason > TASK_R_LOSES_WORKERS ||
	    (losses && losses->pardons > losses->losses))
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
	losses_before = task->losses;
	pardons_before = task->pardons;
	/* The reason of a failure names the count. */
	if (losses) {
		task->losses = to_count(losses->losses);
		task->pardons = to_count(losses->pardons);
		swap_silences(task, silences);
	}
	if (in->state == TASK_PLACED) {
		err = place_attempt(j, job, task, in, time_us);
		goto out;
	}
	if (!job_task_active(task)) {
		err = end_idle_task(job, task, in, time_us);
		goto out;
	}
	if (in->attempt != task->attempt || in->session != task->session ||
	    !str_eq(XDR_STR(*in, worker), job_worker_name(task->worker))) {
		err = CF_ESTALE;
	} else if (in->state != TASK_RUNNING) {
		err = end_attempt(job, task, in, time_us);
	} else if (task->state != TASK_PLACED) {
		err = CF_ESTALE;
	} else {
		task->running_us = time_us;
		job_set_task_state(job, task, TASK_RUNNING);
	}
out:
	if (!err) {
		job_update_state(j, job, time_us);
		return 0;
	}
	task->losses = losses_before;
	task->pardons = pardons_before;
	if (losses)
		swap_silences(task, silences);
	return err;
}

/*
 * Applies a task command if it is a legal transition (see core/job.h). Returns CF_ENOENT
 * for an unknown job or task, CF_ESTALE for an illegal transition, CF_ENOSPACE when a new
 * executor exceeds the team's limit, CF_EINVAL for an invalid value.
 */
int jobs_apply_task(struct jobs *j, const struct command_task *in, uint64_t time_us)
{
	return apply_task(j, in, NULL, NULL, time_us);
}

/*
 * As jobs_apply_task(), and sets how many workers were lost under the task. A command
 * that is not applied does not change the count, so each loss is counted once.
 */
int jobs_apply_task_losses(struct jobs *j, const struct command_task_losses *in,
			   uint64_t time_us)
{
	struct task_silences *silences = NULL;
	int err = apply_task(j, &in->task, in, &silences, time_us);

	job_silences_free(j, silences);
	return err;
}

/* As jobs_apply_task_losses(), and sets which workers fell silent under the task. */
int jobs_apply_task_silences(struct jobs *j, const struct command_task_silences *in,
			     uint64_t time_us)
{
	struct task_silences *silences;
	int err = job_silences_new(j, in->silent, in->list.list_val, in->list.list_len,
				   &silences);

	if (err)
		return err;
	err = apply_task(j, &in->losses.task, &in->losses, &silences, time_us);
	job_silences_free(j, silences);
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
