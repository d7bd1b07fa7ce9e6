/* Lifecycle of one run: record, start request, stop request, end. */
#include <stdlib.h>

#include "base/err.h"
#include "core/dag_sched_impl.h"
#include "proto/codec.h"

#define START_RETRY_US (250 * USEC_PER_MS)
/* A single request may just have been lost; more may be a worker that is overloaded. */
#define FIRST_START_RETRY_US (20 * USEC_PER_MS)
#define STOP_RETRY_US (500 * USEC_PER_MS)

/* Adds a run to its job and worker and reserves its resources. NULL: no memory. */
struct ds_run *ds_run_new(struct dag_sched *s, struct ds_job *j, struct ds_worker *w,
			  const struct dag_task_ref *t, uint32_t run)
{
	struct ds_run *r = calloc(1, sizeof(*r));
	const struct dag_step *step;

	if (!r) {
		s->err = CF_ENOMEM;
		return NULL;
	}
	step = &j->rec->spec.steps.steps_val[t->step];
	r->job = j;
	r->worker = w;
	r->task = *t;
	r->step = step;
	r->run = run;
	r->created_us = s->now_us;
	r->stopped_how = DAG_END_LAPSED;
	r->speed_percent = 100;
	r->speed_known = true;
	r->progress_percent = -1;
	TAILQ_INSERT_TAIL(&j->runs, r, job_entry);
	TAILQ_INSERT_TAIL(&w->runs, r, worker_entry);
	w->n_runs++;
	w->serving_known = false;
	r->image = ds_job_find_step(j, t->occurrence, t->step)->image;
	if (step->filler)
		w->cpu_fillers += step->cpu_milli;
	else
		w->cpu_reserved += step->cpu_milli;
	if (step->long_running) {
		w->cpu_serving += step->cpu_milli;
		w->mem_serving += step->mem_mb;
	}
	w->mem_reserved += step->mem_mb;
	w->gpus_reserved += step->gpus;
	ds_job_find_task(j, t)->n_runs++;
	ds_quota_charge(r);
	ds_begin_trial(s, r);
	return r;
}

/* The run has ended on its worker, so that other tasks can have its resources. */
static void release_resources(struct dag_sched *s, struct ds_run *r)
{
	struct ds_worker *w = r->worker;

	if (r->released)
		return;
	r->released = true;
	w->serving_known = false;
	if (r->step->filler)
		w->cpu_fillers -= ds_filler_cpu(r);
	else
		w->cpu_reserved -= r->step->cpu_milli;
	if (r->step->long_running) {
		w->cpu_serving -= r->step->cpu_milli;
		w->mem_serving -= r->step->mem_mb;
	}
	w->mem_reserved -= r->step->mem_mb;
	w->gpus_reserved -= r->step->gpus;
	s->placement_needed = true;
}

void ds_run_free(struct dag_sched *s, struct ds_run *r)
{
	struct ds_worker *w = r->worker;

	release_resources(s, r);
	ds_quota_release(r);
	ds_end_trial(r);
	TAILQ_REMOVE(&r->job->runs, r, job_entry);
	TAILQ_REMOVE(&w->runs, r, worker_entry);
	w->n_runs--;
	ds_job_find_task(r->job, &r->task)->n_runs--;
	buf_free(&r->checkpoint);
	free(r);
}

/* NULL: the job is unknown or the run is neither live nor proposed. */
struct ds_run *ds_find_run(struct dag_sched *s, const struct dag_task_ref *t,
			   uint32_t run)
{
	struct dag_job_rec *rec = dag_state_find_job(s->state, t->job);
	struct ds_job *j = rec ? rec->sched : NULL;
	struct ds_run *r;

	if (!j)
		return NULL;
	TAILQ_FOREACH (r, &j->runs, job_entry)
		if (r->run == run && r->task.index == t->index &&
		    r->task.step == t->step && r->task.occurrence == t->occurrence)
			return r;
	return NULL;
}

static void fill_command(struct dag_sched *s, struct ds_run *r,
			 struct dag_worker_command *o)
{
	*o = (struct dag_worker_command){.task = r->task, .run = r->run};
	ds_worker_fill_call(s, r->worker, &o->call);
	o->spec = XDR_STR(r->job->rec->spec, spec);
	o->checkpoint = dag_job_checkpoint(r->job->rec, &r->task);
}

/* Why a run may not start on its worker any more; NULL: it may. */
static const char *start_obstacle(const struct dag_sched *s, const struct ds_run *r)
{
	if (!r->worker->in_service || r->worker->leaving_since_us)
		return "not started; the worker leaves";
	if (r->worker->has_strays)
		return "not started; the worker has stray runs";
	if (!ds_worker_capacity_known(s, r->worker))
		return "not started; the worker does not report its capacity";
	if (ds_worker_over_capacity(r->worker))
		return "not started; the worker's capacity has shrunk";
	return NULL;
}

/*
 * Sends the start request. It is idempotent: a worker starts a run number only once. A
 * worker that leaves, whose availability zone has been closed or whose capacity has
 * shrunk below its runs gets none; an earlier request without a reply may still take
 * effect there, so the run is stopped.
 */
void ds_run_send_start(struct dag_sched *s, struct ds_run *r)
{
	struct dag_worker_command o;
	const char *obstacle;

	if (s->fenced)
		return;
	obstacle = start_obstacle(s, r);
	if (obstacle) {
		if (r->phase == DS_PROPOSED)
			r->phase = DS_UNCONFIRMED;
		ds_run_request_stop(s, r, obstacle);
		return;
	}
	if (r->worker->contact_lost || !r->worker->clock_known) {
		/* Sent when the worker replies again; see ds_run_tick(). */
		r->phase = DS_UNCONFIRMED;
		return;
	}
	if (r->worker->poll_in_flight)
		ds_worker_fence_poll(r->worker);
	fill_command(s, r, &o);
	o.call.lease_ms = ds_worker_extend_lease(s, r->worker);
	r->phase = DS_STARTING;
	r->start_sent_us = s->now_us;
	r->begun_by_us = s->now_us;
	r->born_ms = r->worker->rec->w.born_ms;
	r->start_fence = r->worker->fence;
	r->start_requests++;
	s->host->ops->start(s->host, &o);
}

/* Requests the worker to stop the run; retried until the stop is acknowledged. */
void ds_run_request_stop(struct dag_sched *s, struct ds_run *r, const char *reason)
{
	struct dag_worker_command o;

	if (r->end_proposed || r->phase == DS_PROPOSED)
		return;
	if (!r->stop_requested)
		ds_log_run_event(s, "stop-ordered", r, reason, r->progress_percent);
	r->stop_requested = true;
	if (r->stop_in_flight || s->fenced || r->stop_acked_us)
		return;
	fill_command(s, r, &o);
	r->stop_in_flight = true;
	r->stop_fence = r->worker->fence;
	s->host->ops->stop(s->host, &o);
}

/*
 * Proposes the end of a run, once. An empty checkpoint stands for the newest listed. Its
 * resources are free at once: the start of a run that takes them follows in the log.
 */
void ds_run_propose_end(struct dag_sched *s, struct ds_run *r, enum dag_end_how how,
			struct str checkpoint, const char *reason)
{
	struct dag_command c = {.kind = DAG_CMD_END};
	struct dag_end *e = &c.dag_command_u.end;

	if (r->end_proposed)
		return;
	r->end_proposed = true;
	e->task = r->task;
	e->run = r->run;
	e->how = how;
	if (!checkpoint.n)
		checkpoint = buf_str(&r->checkpoint);
	XDR_SET(*e, checkpoint, checkpoint);
	if (how != DAG_END_DONE)
		ds_log_run_event(s, "run-ended", r, reason, how);
	ds_propose(s, &c);
	release_resources(s, r);
}

/* Its worker has begun the run. Records once for each job that a task has begun. */
void ds_run_note_begun(struct dag_sched *s, const struct ds_run *r)
{
	struct dag_command c = {.kind = DAG_CMD_BEGUN};

	if (r->job->begun || r->job->rec->started)
		return;
	r->job->begun = true;
	c.dag_command_u.begun = r->job->rec->id;
	ds_propose(s, &c);
}

/* The run is certainly not on its worker and will not start there later. */
void ds_run_propose_lost(struct dag_sched *s, struct ds_run *r, const char *reason)
{
	ds_run_propose_end(s, r, DAG_END_LAPSED, (struct str){NULL, 0}, reason);
}

/* Retries unconfirmed start and stop requests that are due. */
void ds_run_tick(struct dag_sched *s, struct ds_run *r)
{
	if (r->end_proposed || r->phase == DS_PROPOSED || r->worker->poll_failures ||
	    r->worker->contact_lost)
		return;
	if (r->stop_requested) {
		if (!r->stop_in_flight && s->now_us >= r->stop_retry_us)
			ds_run_request_stop(s, r, "");
		return;
	}
	if (r->phase == DS_UNCONFIRMED && s->now_us >= r->start_retry_us)
		ds_run_send_start(s, r);
}

static bool is_refusal(enum dag_call_result result)
{
	return result == DAG_RESULT_NO_CAPACITY || result == DAG_RESULT_UNHEALTHY ||
	       result == DAG_RESULT_INVALID;
}

/*
 * A refused start request had no effect. An earlier one without a reply may still take
 * effect; a stop request prevents that. The worker gets no new runs for a while.
 */
static void handle_start_refused(struct dag_sched *s, struct ds_run *r,
				 enum dag_call_result result)
{
	r->worker->quarantined_until_us =
		s->now_us +
		(result == DAG_RESULT_NO_CAPACITY ? 300 * USEC_PER_MS : 2 * USEC_PER_SEC);
	ds_log_run_event(s, "run-refused", r, "", result);
	if (r->start_requests > 1)
		ds_run_request_stop(s, r, "refused after an unanswered start request");
	else
		ds_run_propose_lost(s, r, "refused");
}

/* Handles the result of a start request. */
void dag_sched_start_replied(struct dag_sched *s, uint32_t worker,
			     const struct dag_task_ref *t, uint32_t run,
			     enum dag_call_result result, int64_t now_us)
{
	struct ds_run *r = ds_find_run(s, t, run);

	s->now_us = now_us;
	if (result == DAG_RESULT_UNKNOWN)
		ds_worker_fence_starts(s, worker);
	if (!r || r->worker->rec->number != worker || r->end_proposed)
		return;
	if (result == DAG_RESULT_FENCED && r->start_fence == r->worker->fence) {
		s->fenced = true;
	} else if (result == DAG_RESULT_OK || result == DAG_RESULT_RUN_ENDED) {
		if (result == DAG_RESULT_OK)
			ds_run_note_begun(s, r);
		r->phase = DS_ACCEPTED;
		r->accepted_us = now_us;
		r->progress_clock_ms = 0;
		if (r->worker->next_poll_us > now_us)
			r->worker->next_poll_us = now_us;
	} else if (is_refusal(result)) {
		handle_start_refused(s, r, result);
	} else {
		r->phase = DS_UNCONFIRMED;
		r->start_retry_us =
			now_us +
			(r->start_requests == 1 ? FIRST_START_RETRY_US : START_RETRY_US);
		r->worker->next_poll_us = now_us;
	}
}

/* Handles the result of a stop request. */
void dag_sched_stop_replied(struct dag_sched *s, uint32_t worker,
			    const struct dag_task_ref *t, uint32_t run,
			    enum dag_call_result result, int64_t now_us)
{
	struct ds_run *r = ds_find_run(s, t, run);

	s->now_us = now_us;
	if (!r || r->worker->rec->number != worker)
		return;
	if (result == DAG_RESULT_FENCED && r->stop_fence == r->worker->fence)
		s->fenced = true;
	r->stop_in_flight = false;
	r->stop_retry_us = now_us + STOP_RETRY_US;
	if (result == DAG_RESULT_OK || result == DAG_RESULT_RESTARTED)
		r->stop_acked_us = now_us;
	r->worker->next_poll_us = now_us;
}
