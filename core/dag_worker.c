/* Polling of workers, and quarantine of workers that fail. */
#include <stdlib.h>

#include "base/err.h"
#include "core/dag_sched_impl.h"
#include "proto/codec.h"

/* How long a worker may hold a poll; less while it runs serving tasks and fillers. */
#define POLL_WAIT_MS 1000U
#define POLL_WAIT_MIXED_MS 400U
/*
 * From this number of workers on gateways make most calls, and all workers with serving
 * tasks and fillers together are polled at most so often.
 */
#define LARGE_FLEET 200U
#define MIXED_POLLS_PER_S 2500U
#define POLL_WAIT_MIN_MS 200U
/* A new leader of a large fleet spreads its first polls over this time. */
#define FIRST_POLLS_US (600 * USEC_PER_MS)
#define POLL_RETRY_US (400 * USEC_PER_MS)
/* Polls in a row whose loss says nothing of the worker, but of the way to it. */
#define LOST_PATHS_MAX 2U
/* A reply that comes later after its wait may have been read from the worker long before.
 */
#define REPLY_DELAY_US (500 * USEC_PER_MS)
/* Pause between polls, so that one poll reads ends that arrive together. */
#define POLL_INTERVAL_US (20 * USEC_PER_MS)
/* How long a worker that has left is remembered, for reports that arrive late. */
#define GONE_RETENTION_US (60LL * USEC_PER_SEC)
/* A worker without a report for this many report intervals gets no new runs. */
#define SILENT_HALF_REPORTS 5 /* in half intervals */
/* Consecutive failures that quarantine a worker, and for how long. */
#define FAIL_STREAK_MAX 2U
#define QUARANTINE_US (5 * USEC_PER_SEC)
/*
 * A batch task at full speed without progress for this long, and for this part of its
 * declared run time, is stopped and moved. The time doubles with each such stop, since
 * the declared run time may be far too short and progress is listed in whole percent.
 */
#define STALL_MS 2000
#define STALL_ESTIMATE_DIVISOR 4
#define STALL_DOUBLINGS_MAX 10U

static bool reserve_worker_slot(struct dag_sched *s)
{
	struct ds_worker **list;
	size_t cap = s->cap_workers ? 2 * s->cap_workers : 64;

	if (s->n_workers < s->cap_workers)
		return true;
	list = realloc(s->workers, cap * sizeof(struct ds_worker *));
	if (!list)
		return false;
	s->workers = list;
	s->cap_workers = cap;
	return true;
}

/* Adds the leader's data of a worker. NULL: no memory; s->err is set. */
struct ds_worker *ds_worker_new(struct dag_sched *s, struct dag_worker_rec *rec)
{
	struct ds_worker *w = reserve_worker_slot(s) ? calloc(1, sizeof(*w)) : NULL;

	if (!w) {
		s->err = CF_ENOMEM;
		return NULL;
	}
	TAILQ_INIT(&w->runs);
	w->rec = rec;
	w->process_born_ms = rec->w.born_ms;
	w->fence = s->fence_floor;
	ds_worker_begin_life(w);
	rec->sched = w;
	w->reported = ds_capacity_of(&rec->w);
	w->contact_lost = rec->lost;
	w->lease_expires_us = ds_worker_first_expiry_us(s, rec);
	w->next_poll_us = s->now_us;
	w->polled_us = s->now_us;
	s->workers[s->n_workers++] = w;
	ds_worker_refresh(s, w);
	return w;
}

/*
 * Spreads a new leader's first polls over time. Gateways, which make its calls, register
 * one after the other; the first to register would have to make all of them.
 */
void ds_spread_first_polls(struct dag_sched *s)
{
	if (s->n_workers < LARGE_FLEET)
		return;
	for (size_t i = 0; i < s->n_workers; i++)
		s->workers[i]->next_poll_us =
			s->now_us + FIRST_POLLS_US * (int64_t)i / (int64_t)s->n_workers;
}

/* Removes a worker and its runs; tasks without another run wait again. */
void ds_worker_free(struct dag_sched *s, struct ds_worker *w)
{
	struct ds_run *r;

	while ((r = TAILQ_FIRST(&w->runs))) {
		struct ds_job *j = r->job;

		ds_run_free(s, r);
		ds_job_refresh(s, j);
	}
	for (size_t i = 0; i < s->n_workers; i++)
		if (s->workers[i] == w)
			s->workers[i] = s->workers[--s->n_workers];
	w->rec->sched = NULL;
	if (w->fence > s->fence_floor)
		s->fence_floor = w->fence;
	free(w);
}

/*
 * Updates in_service from the replicated state of the worker and its zone, and the
 * capacity: one that has shrunk counts as soon as it is reported, one that has grown when
 * it is recorded.
 */
void ds_worker_refresh(struct dag_sched *s, struct ds_worker *w)
{
	struct ds_capacity recorded = ds_capacity_of(&w->rec->w);

	w->guarded = dag_state_service_guarded(s->state, XDR_STR(w->rec->w, service));
	w->capacity = ds_capacity_min(&recorded, &w->reported);
	w->draining = w->rec->w.state != DAG_WORKER_READY;
	w->in_service = w->rec->w.state == DAG_WORKER_READY &&
			!dag_state_zone_closed(s->state, XDR_STR(w->rec->w, zone));
	s->placement_needed = true;
}

bool ds_worker_has_label(const struct ds_worker *w, struct str label)
{
	for (u_int i = 0; i < w->rec->w.labels.labels_len; i++)
		if (str_eq(XDR_STR(w->rec->w.labels.labels_val[i], text), label))
			return true;
	return false;
}

/*
 * Whether a worker is avoided after consecutive failures. They may have been the tasks'
 * own, so it still takes serving tasks that have no other place.
 */
bool ds_worker_avoided(const struct dag_sched *s, const struct ds_worker *w)
{
	return s->now_us < w->avoided_until_us;
}

/*
 * Why a worker gets no new runs; NULL: it may. Stray runs use capacity until they have
 * stopped.
 */
const char *ds_worker_obstacle(const struct dag_sched *s, const struct ds_worker *w)
{
	if (!w->in_service || w->leaving_since_us)
		return "leaves, or its zone is closed";
	if (!w->clock_known)
		return "has not been polled";
	if (w->has_strays)
		return "has stray runs";
	if (w->poll_failures || w->contact_lost)
		return "does not reply to polls";
	if (!ds_worker_capacity_known(s, w))
		return "has not reported its capacity of late";
	if (s->now_us < w->quarantined_until_us)
		return "is quarantined";
	if (s->now_us < w->trial_until_us)
		return "has a task on trial";
	if (s->now_us - w->last_heard_us >=
	    s->opt.report_interval_us * SILENT_HALF_REPORTS / 2)
		return "has not been heard of late";
	return NULL;
}

/* Whether a worker may get new runs. */
bool ds_worker_usable(const struct dag_sched *s, const struct ds_worker *w)
{
	return !ds_worker_obstacle(s, w);
}

/* The leader's data of a recorded worker; NULL: none. */
struct ds_worker *ds_worker_find(const struct dag_sched *s, uint32_t number)
{
	const struct dag_worker_rec *rec = dag_state_find_worker(s->state, number);

	return rec ? rec->sched : NULL;
}

/* Called for each report of a worker, received directly or through a controller. */
void dag_sched_worker_reported(struct dag_sched *s, uint32_t worker, int64_t now_us)
{
	struct ds_worker *w = ds_worker_find(s, worker);

	s->now_us = now_us;
	if (!w)
		return;
	if (now_us - w->last_heard_us >=
	    s->opt.report_interval_us * SILENT_HALF_REPORTS / 2)
		s->placement_needed = true;
	w->last_heard_us = now_us;
}

/* Counts consecutive failures of runs and quarantines the worker at the limit. */
void ds_worker_count_result(struct dag_sched *s, struct ds_worker *w,
			    enum dag_end_how how)
{
	if (how == DAG_END_DONE) {
		w->fail_streak = 0;
	} else if (how == DAG_END_FAILED && ++w->fail_streak >= FAIL_STREAK_MAX) {
		w->avoided_until_us = s->now_us + QUARANTINE_US;
		s->host->ops->log_event(
			s->host, "worker-avoided", NULL, 0, XDR_STR(w->rec->w, id),
			"consecutive failures; quarantined", w->fail_streak);
	}
}

static bool has_serving_and_fillers(const struct ds_worker *w)
{
	const struct ds_run *r;
	bool serving = false;
	bool filler = false;

	TAILQ_FOREACH (r, &w->runs, worker_entry) {
		serving = serving || r->step->target_ms;
		filler = filler || r->step->filler;
	}
	return serving && filler;
}

/* How long a worker with serving tasks and fillers may hold a poll. */
static uint32_t mixed_wait_ms(const struct dag_sched *s)
{
	uint32_t ms = (uint32_t)(s->n_workers * 1000 / MIXED_POLLS_PER_S);

	if (s->n_workers < LARGE_FLEET)
		return POLL_WAIT_MIXED_MS;
	if (ms < POLL_WAIT_MIN_MS)
		return POLL_WAIT_MIN_MS;
	return ms > POLL_WAIT_MS ? POLL_WAIT_MS : ms;
}

/* Sends a poll, which also renews the lease if the worker has runs. */
static void poll_worker(struct dag_sched *s, struct ds_worker *w)
{
	struct dag_poll_command o = {.acked_end = ds_worker_end_to_ack(s, w)};

	ds_worker_fill_call(s, w, &o.call);
	/* A worker that fails polls gets no new lease, so that its runs end. */
	if (w->n_runs && !w->poll_failures && !w->contact_lost)
		o.call.lease_ms = ds_worker_extend_lease(s, w);
	if (!w->poll_failures && w->clock_known)
		o.wait_ms = has_serving_and_fillers(w) ? mixed_wait_ms(s) : POLL_WAIT_MS;
	w->poll_in_flight = true;
	w->poll_acked = o.acked_end;
	w->poll_life = w->life;
	w->poll_fence = w->fence;
	w->poll_sent_us = s->now_us;
	w->poll_wait_ms = o.wait_ms;
	s->host->ops->poll(s->host, &o);
}

/* All runs on a worker have ended; records those as lost that have no end yet. */
void ds_worker_propose_lost(struct dag_sched *s, struct ds_worker *w, const char *reason)
{
	struct ds_run *r;

	TAILQ_FOREACH (r, &w->runs, worker_entry)
		if (r->phase != DS_PROPOSED)
			ds_run_propose_lost(s, r, reason);
}

static void clear_listed(struct ds_worker *w)
{
	struct ds_run *r;

	TAILQ_FOREACH (r, &w->runs, worker_entry)
		r->listed = false;
}

void ds_worker_propose_state(struct dag_sched *s, const struct ds_worker *w,
			     enum dag_worker_state state, int64_t born_ms)
{
	struct dag_command c = {.kind = DAG_CMD_WORKER};

	c.dag_command_u.worker = w->rec->w;
	c.dag_command_u.worker.state = state;
	c.dag_command_u.worker.born_ms = born_ms;
	c.dag_command_u.worker.cpu_milli = w->reported.cpu_milli;
	c.dag_command_u.worker.mem_mb = w->reported.mem_mb;
	c.dag_command_u.worker.gpus = w->reported.gpus;
	ds_propose(s, &c);
}

/* The worker's process has exited: its runs are lost, and it is marked as gone. */
static void handle_worker_exit(struct dag_sched *s, struct ds_worker *w,
			       const char *reason)
{
	bool planned = w->rec->w.state != DAG_WORKER_READY || w->leaving_since_us;

	clear_listed(w);
	if (!planned)
		ds_crash_runs(s, w, reason);
	ds_resolve_suspicions(s, w, planned ? DAG_END_LAPSED : DAG_END_CRASHED, s->now_us,
			      reason);
	ds_worker_propose_lost(s, w, reason);
	if (w->rec->w.state != DAG_WORKER_GONE)
		ds_worker_propose_state(s, w, DAG_WORKER_GONE, w->rec->w.born_ms);
}

/*
 * Two workers cannot share an address: when one that has joined replies, those that
 * started earlier have exited. A report alone does not tell this: anyone may send one. A
 * new leader learns it from its own first poll of each.
 */
static void handle_replaced_workers(struct dag_sched *s, const struct dag_worker_rec *rec)
{
	for (size_t i = 0; i < s->n_workers; i++) {
		struct ds_worker *w = s->workers[i];

		if (w->rec != rec && w->rec->w.born_ms <= rec->w.born_ms &&
		    (w->rec->w.state != DAG_WORKER_GONE || w->n_runs) &&
		    str_eq(XDR_STR(w->rec->w, address), XDR_STR(rec->w, address)))
			handle_worker_exit(s, w,
					   "a newer worker replies at the same address");
	}
}

/*
 * Whether a batch run at full speed makes no progress, by the worker's own clock: a
 * worker that is silent or slow to report says nothing about its runs.
 */
static bool is_stalled(const struct ds_run *r)
{
	int64_t limit_ms = r->step->estimate_ms / STALL_ESTIMATE_DIVISOR;

	if (r->phase != DS_ACCEPTED || r->stop_requested || r->step->long_running ||
	    r->speed_percent != 100 || !r->speed_known || !r->progress_clock_ms)
		return false;
	if (limit_ms < STALL_MS)
		limit_ms = STALL_MS;
	limit_ms <<= ds_job_find_task(r->job, &r->task)->stalls;
	return r->listed_clock_ms - r->progress_clock_ms > limit_ms;
}

/* Stops a run without progress, which is to be restarted on another worker. */
static void move_stalled_run(struct dag_sched *s, struct ds_run *r)
{
	struct ds_task *t = ds_job_find_task(r->job, &r->task);

	if (t->stalls < STALL_DOUBLINGS_MAX)
		t->stalls++;
	r->worker->quarantined_until_us = s->now_us + QUARANTINE_US;
	ds_run_request_stop(s, r, "no progress; to be restarted elsewhere");
}

static void check_runs(struct dag_sched *s, struct ds_worker *w)
{
	struct ds_run *r;

	TAILQ_FOREACH (r, &w->runs, worker_entry) {
		ds_run_tick(s, r);
		if (!w->poll_failures && is_stalled(r) && !ds_repeat_throttle(s, r))
			move_stalled_run(s, r);
	}
}

/* Removes the record of a worker that left long ago. */
static void forget_worker(struct dag_sched *s, struct ds_worker *w)
{
	if (!w->gone_since_us)
		w->gone_since_us = s->now_us;
	if (w->forget_proposed || s->now_us - w->gone_since_us < GONE_RETENTION_US)
		return;
	w->forget_proposed = true;
	ds_worker_propose_state(s, w, DAG_WORKER_GONE, w->rec->w.born_ms);
}

/* Runs timers: lease expiry, the next poll and, with check_all, those of the runs. */
void ds_worker_tick(struct dag_sched *s, struct ds_worker *w, bool check_all)
{
	if (s->fenced)
		return;
	if (w->rec->w.state == DAG_WORKER_GONE && !w->n_runs) {
		forget_worker(s, w);
		if (!w->contradicted)
			return;
	}
	if (w->n_runs && s->now_us >= w->lease_expires_us && ds_lapse_runs(s, w))
		ds_worker_log_ends(s, w);
	ds_worker_check_exit(s, w);
	if (check_all) {
		check_runs(s, w);
		ds_worker_record_short_leases(s, w);
	}
	/* Ends of earlier lists are acknowledged beside new ones that are not recorded.
	 */
	if (!w->poll_in_flight &&
	    (!w->ends_uncommitted || ds_worker_has_ends_to_ack(w)) &&
	    s->now_us >= w->next_poll_us)
		poll_worker(s, w);
}

static void stop_unknown_run(struct dag_sched *s, struct ds_worker *w,
			     const struct dag_listed_run *l)
{
	struct dag_worker_command o = {.task = l->task, .run = l->run};

	w->has_strays = true;
	ds_worker_fill_call(s, w, &o.call);
	s->host->ops->log_event(s->host, "stray-run", &l->task, l->run,
				XDR_STR(w->rec->w, id),
				"not recorded on this worker; stopping it", 0);
	s->host->ops->stop(s->host, &o);
}

/*
 * Why a run is not needed any more; NULL: it is. An earlier leader may have requested the
 * stop, which the record of the run does not tell.
 */
static const char *needless(const struct ds_run *r)
{
	const struct dag_job_rec *j = r->job->rec;
	const struct dag_task_ref *t = &r->task;

	if (dag_job_ended(j))
		return "job ended";
	if (dag_job_find_task(j, t->occurrence, t->step, t->index)->done)
		return DS_REDUNDANT;
	return NULL;
}

/* Updates a listed run; a run that is not recorded on this worker is stopped. */
static void process_listed_run(struct dag_sched *s, struct ds_worker *w,
			       const struct dag_listed_run *l)
{
	struct ds_run *r = ds_find_run(s, &l->task, l->run);
	const char *reason;

	if (!r || r->worker != w) {
		stop_unknown_run(s, w, l);
		return;
	}
	r->listed = true;
	if (r->begun_by_us > s->now_us)
		r->begun_by_us = s->now_us;
	ds_run_note_begun(s, r);
	r->born_ms = w->rec->w.born_ms;
	if (r->phase != DS_PROPOSED && r->phase != DS_ACCEPTED) {
		r->phase = DS_ACCEPTED;
		r->accepted_us = s->now_us;
	}
	if (r->progress_percent != l->percent || l->percent < 0 || !r->progress_clock_ms)
		r->progress_clock_ms = w->clock_ms;
	r->progress_percent = l->percent;
	r->listed_clock_ms = w->clock_ms;
	r->level = l->level;
	if (l->checkpoint.n)
		buf_set(&r->checkpoint, l->checkpoint);
	reason = needless(r);
	if (reason)
		ds_run_request_stop(s, r, reason);
}

/* An earlier leader recorded a run that its worker does not list. */
static void resume_run(struct dag_sched *s, struct ds_run *r)
{
	const char *reason = needless(r);

	if (reason)
		ds_run_request_stop(s, r, reason);
	else
		ds_run_send_start(s, r);
}

/* Handles runs that are missing from a list that should hold them. */
static void check_unlisted_runs(struct dag_sched *s, struct ds_worker *w)
{
	struct ds_run *r;

	TAILQ_FOREACH (r, &w->runs, worker_entry) {
		if (r->listed || r->end_proposed || r->phase == DS_PROPOSED)
			continue;
		if (r->stop_acked_us && r->stop_acked_us < w->poll_sent_us)
			ds_end_stopped_run(s, r);
		else if (r->phase == DS_ACCEPTED && r->accepted_us < w->poll_sent_us)
			ds_run_propose_lost(s, r, "missing from the worker's list");
		else if (r->phase == DS_RECOVERED)
			resume_run(s, r);
	}
}

/* Compares a worker's lists with the recorded runs. Ignores lists of an older process. */
static void process_poll_reply(struct dag_sched *s, struct ds_worker *w,
			       const struct dag_poll_reply *poll)
{
	bool had_strays;

	if (ds_worker_reply_is_old(w, poll))
		return;
	clear_listed(w);
	w->has_new_ends = false;
	w->first_listed_end = 0;
	/* An end that is still held is listed again, unless the list leaves it out. */
	if (!poll->partial)
		w->held_end = 0;
	had_strays = w->has_strays;
	w->has_strays = false;
	for (size_t i = 0; i < poll->n_running; i++)
		process_listed_run(s, w, &poll->running[i]);
	if (had_strays && !w->has_strays)
		s->placement_needed = true;
	for (size_t i = 0; i < poll->n_ended; i++)
		ds_worker_take_end(s, w, &poll->ended[i]);
	ds_crash_earlier_life(s, w, poll->born_ms);
	if (poll->born_ms == w->rec->w.born_ms)
		ds_resolve_suspicions(s, w, DAG_END_LAPSED, w->poll_sent_us,
				      "the same life of its worker answers");
	/* An unlisted run, or its end, may be among what a partial list leaves out. */
	if (!poll->partial)
		check_unlisted_runs(s, w);
	if (!w->ends_uncommitted)
		ds_worker_ack_ends(w);
	ds_throttle_fillers(s, w);
}

/* Speculative tasks may get a second run while their worker does not answer. */
static void request_copies(struct dag_sched *s, struct ds_worker *w)
{
	struct ds_run *r;

	TAILQ_FOREACH (r, &w->runs, worker_entry) {
		if (!r->step->speculative || r->step->gang || r->end_proposed ||
		    r->stop_requested || r->suspect)
			continue;
		ds_job_find_task(r->job, &r->task)->needs_copy = true;
		ds_step_refresh(
			s, ds_job_find_step(r->job, r->task.occurrence, r->task.step));
	}
}

/* Takes back the exit of a worker that is recorded as gone and replies. */
void ds_worker_bring_back(struct dag_sched *s, struct ds_worker *w,
			  enum dag_worker_state state, int64_t born_ms,
			  const char *reason)
{
	ds_worker_forget_exit(w);
	w->gone_since_us = 0;
	s->host->ops->log_event(s->host, "worker-back", NULL, 0, XDR_STR(w->rec->w, id),
				reason, 0);
	ds_worker_propose_state(s, w, state, born_ms);
}

/* A worker that was recorded as gone answers, perhaps in another life. */
static void return_worker(struct dag_sched *s, struct ds_worker *w,
			  const struct dag_poll_reply *poll)
{
	ds_worker_follow_reply(s, w, poll);
	if (ds_worker_reply_is_old(w, poll))
		return;
	w->drain_reported = false;
	w->poll_failures = 0;
	ds_worker_bring_back(s, w, DAG_WORKER_READY, poll->born_ms,
			     "was recorded as gone and answers");
}

/* When the worker made the list of a reply that has just come, at the earliest. */
static int64_t list_time_us(const struct ds_worker *w, int64_t now_us)
{
	bool late = now_us - w->poll_sent_us >
		    (int64_t)w->poll_wait_ms * USEC_PER_MS + REPLY_DELAY_US;

	return late ? w->poll_sent_us : now_us;
}

/* Handles the result of a poll. poll NULL: no usable reply came. */
void dag_sched_poll_replied(struct dag_sched *s, uint32_t worker,
			    enum dag_call_result result,
			    const struct dag_poll_reply *poll, int64_t now_us)
{
	struct ds_worker *w = ds_worker_find(s, worker);
	bool is_first;

	s->now_us = now_us;
	if (!w || !w->poll_in_flight)
		return;
	w->poll_in_flight = false;
	if (result == DAG_RESULT_FENCED) {
		/* A newer call to the worker may have overtaken this one. */
		s->fenced = s->fenced || w->poll_fence == w->fence;
		w->next_poll_us = now_us;
		return;
	}
	if (!poll)
		ds_worker_fence_poll(w);
	if (w->contradicted) {
		w->contradicted = false;
		/* Workers that give no start have one life under an id. */
		if (poll && (poll->born_ms || !w->rec->w.born_ms) &&
		    w->rec->w.state == DAG_WORKER_GONE)
			return_worker(s, w, poll);
		return;
	}
	if (result == DAG_RESULT_PATH_LOST && w->lost_paths < LOST_PATHS_MAX) {
		w->lost_paths++;
		w->next_poll_us = now_us;
		return;
	}
	w->lost_paths = 0;
	if (result == DAG_RESULT_RESTARTED && w->poll_life != w->life) {
		w->next_poll_us = now_us;
		return;
	}
	if (result == DAG_RESULT_RESTARTED) {
		handle_worker_exit(s, w, "another process answers at the address");
		w->next_poll_us = now_us + POLL_RETRY_US;
		return;
	}
	if (!poll) {
		if (!w->poll_failures++)
			s->host->ops->log_event(
				s->host, "worker-lost", NULL, 0, XDR_STR(w->rec->w, id),
				w->poll_acked
					? "no reply to the poll, which acknowledged ends"
					: "no reply to the poll",
				result);
		ds_worker_lose_contact(s, w);
		request_copies(s, w);
		w->next_poll_us = now_us + (w->poll_failures > 1 ? POLL_RETRY_US : 0);
		return;
	}
	if (w->poll_failures) {
		s->host->ops->log_event(s->host, "worker-back", NULL, 0,
					XDR_STR(w->rec->w, id), "replies to polls again",
					w->poll_failures);
		s->placement_needed = true;
	}
	ds_worker_follow_reply(s, w, poll);
	is_first = !w->clock_known;
	if (is_first)
		s->placement_needed = true;
	w->poll_failures = 0;
	if (!ds_worker_reply_is_old(w, poll))
		ds_worker_record_contact(w, poll, now_us);
	if (is_first && w->clock_known && w->joined_us)
		handle_replaced_workers(s, w->rec);
	ds_worker_contradict_exit(s, w);
	/* Its loss, which tells when its earlier life ended, is recorded until then. */
	ds_worker_propose_start(s, w, poll->born_ms);
	ds_worker_regain_contact(s, w);
	/* Calls for an earlier life may still come after this list. */
	if (w->poll_life != w->life) {
		w->next_poll_us = now_us;
		return;
	}
	process_poll_reply(s, w, poll);
	w->polled = true;
	w->polled_us = list_time_us(w, now_us);
	/*
	 * The worker replies at once while an end is unacknowledged; wait, so that polls
	 * do not follow each other without a pause.
	 */
	if (w->has_new_ends)
		w->next_poll_us = now_us;
	else if ((w->held_end || poll->partial) && !ds_worker_has_ends_to_ack(w))
		w->next_poll_us = now_us + POLL_RETRY_US;
	else
		w->next_poll_us = now_us + POLL_INTERVAL_US;
}
