/*
 * Exits that workers announce. The announcement proves that a process means to end, and a
 * refused or silent poll that nothing answers; a cut may do both while the process runs
 * on. Its runs are over once the worker said so, by its list or by the answer to a stop
 * request, once it has received the answer to its announcement, closed the connection
 * after it and replies to polls no more, once another process is in its place, or when
 * its lease ends. The runs are stopped before the announcement is answered, as the
 * process ends only then.
 */
#include "core/dag_sched_impl.h"
#include "proto/codec.h"

/* The answer to an announcement waits so long for the ends of the runs. */
#define EXIT_ANSWER_US (700 * USEC_PER_MS)
/* The exit is recorded by then, or its record was lost. */
#define EXIT_RECORD_TIMEOUT_US (2 * USEC_PER_SEC)
/* A worker that has its answer takes no longer to end. */
#define END_US (1 * USEC_PER_SEC)
/* A worker's clock may be 2 % slow. */
#define SLOW_CLOCK_PERCENT 103
#define STOP_MARGIN_US (50 * USEC_PER_MS)

/* Whether the worker has promised that the run is over by now. */
static bool is_stopped_by_now(const struct dag_sched *s, const struct ds_run *r)
{
	int64_t stop_us = s->opt.stop_us * SLOW_CLOCK_PERCENT / 100 + STOP_MARGIN_US;

	return r->stop_acked_us && s->now_us - r->stop_acked_us >= stop_us;
}

/*
 * Stops what runs on a worker that is about to end. An announcement names no life, and
 * may have been meant for an earlier one of a worker that does not drain.
 */
static void stop_runs(struct dag_sched *s, struct ds_worker *w)
{
	struct ds_run *r;

	if (!w->draining)
		return;
	TAILQ_FOREACH (r, &w->runs, worker_entry)
		ds_run_request_stop(s, r, "its worker leaves");
}

/* The worker announced its exit; it gets no new runs. */
void dag_sched_worker_leaving(struct dag_sched *s, uint32_t worker, int64_t now_us)
{
	struct ds_worker *w = ds_worker_find(s, worker);

	s->now_us = now_us;
	if (!w || w->leaving_since_us)
		return;
	w->leaving_since_us = now_us;
	s->host->ops->log_event(s->host, "worker-leaving", NULL, 0,
				XDR_STR(w->rec->w, id), "value: its runs", w->n_runs);
	ds_resolve_suspicions(s, w, DAG_END_LAPSED, now_us, "its worker leaves");
	stop_runs(s, w);
	ds_worker_check_exit(s, w);
}

/*
 * The worker has received the answer to its announcement and closed the connection, so
 * that its process ends. A failed poll tells that it has.
 */
void dag_sched_worker_ended(struct dag_sched *s, uint32_t worker, int64_t now_us)
{
	struct ds_worker *w = ds_worker_find(s, worker);

	s->now_us = now_us;
	if (!w || w->left_us)
		return;
	w->left_us = now_us;
	w->next_poll_us = now_us;
	ds_worker_check_exit(s, w);
}

/* The worker is there, or another process is in its place. */
void ds_worker_forget_exit(struct ds_worker *w)
{
	w->leaving_since_us = 0;
	w->exit_proposed_us = 0;
	w->left_us = 0;
}

/* Runs whose end is not known. */
static uint32_t count_open_runs(const struct ds_worker *w)
{
	const struct ds_run *r;
	uint32_t n = 0;

	TAILQ_FOREACH (r, &w->runs, worker_entry)
		n += !r->end_proposed;
	return n;
}

/* Whether the worker may still tell of the end of a run, which it was asked to stop. */
static bool awaits_end(const struct ds_run *r)
{
	return !r->end_proposed &&
	       (r->phase == DS_PROPOSED || r->stop_in_flight || r->stop_acked_us);
}

/* Whether the announcement waits no longer for the ends of the runs. */
static bool has_settled(const struct dag_sched *s, const struct ds_worker *w)
{
	const struct ds_run *r;

	if (s->now_us - w->leaving_since_us >= EXIT_ANSWER_US)
		return true;
	TAILQ_FOREACH (r, &w->runs, worker_entry)
		if (awaits_end(r))
			return false;
	return true;
}

/*
 * Whether an announced exit is recorded and may be answered, so that the process ends.
 * Also of a worker that is not known.
 */
bool dag_sched_worker_left(const struct dag_sched *s, uint32_t worker)
{
	const struct ds_worker *w = ds_worker_find(s, worker);

	return !w || (w->rec->w.state == DAG_WORKER_GONE && has_settled(s, w));
}

/*
 * Takes back the exit of a worker that replies to a poll which was sent after it had time
 * to end: another process has announced it.
 */
void ds_worker_contradict_exit(struct dag_sched *s, struct ds_worker *w)
{
	bool drains = w->drain_reported && w->drain_born_ms == w->rec->w.born_ms;

	if (!w->left_us || w->poll_sent_us < w->left_us + END_US ||
	    w->rec->w.state != DAG_WORKER_GONE)
		return;
	ds_worker_bring_back(s, w, drains ? DAG_WORKER_DRAINING : DAG_WORKER_READY,
			     w->rec->w.born_ms,
			     "its exit was announced and it still replies");
}

/*
 * Ends the runs of a worker that are over as it exits, and records the exit of one that
 * announced it, which answers the announcement. A second record would remove the first,
 * so it waits until that has failed.
 */
void ds_worker_check_exit(struct dag_sched *s, struct ds_worker *w)
{
	struct ds_run *r;

	if (w->left_us && w->poll_failures)
		ds_worker_propose_lost(s, w, "left");
	if (!w->leaving_since_us)
		return;
	TAILQ_FOREACH (r, &w->runs, worker_entry)
		if (is_stopped_by_now(s, r))
			ds_end_stopped_run(s, r);
	if (w->rec->w.state == DAG_WORKER_GONE || !has_settled(s, w) ||
	    (w->exit_proposed_us &&
	     s->now_us - w->exit_proposed_us < EXIT_RECORD_TIMEOUT_US))
		return;
	w->exit_proposed_us = s->now_us;
	s->host->ops->log_event(s->host, "worker-exit", NULL, 0, XDR_STR(w->rec->w, id),
				"value: runs whose end is not known", count_open_runs(w));
	ds_worker_propose_state(s, w, DAG_WORKER_GONE, w->rec->w.born_ms);
}
