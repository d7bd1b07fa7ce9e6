/*
 * Tasks that crash the workers that start them. Each run on a worker when it crashes is
 * counted, since any may be the cause. A task that was counted before is placed apart
 * from others of the kind, then tried alone, so that only one of them is the cause of
 * the next crash. dag_state_crash.c has the limits; planned exits do not count.
 * Correlated crashes of many workers have a common cause: they count, but prove nothing.
 * A worker that falls silent may be cut off: until more is known, its runs are only
 * suspected.
 */
#include "core/dag_sched_impl.h"
#include "proto/codec.h"

/* A worker crashes soon after it has started a deadly task. */
#define CRASH_DELAY_MAX_US (2 * USEC_PER_SEC)
/* From the last reply to the record of a lost contact: two polls that time out. */
#define LOSS_RECORD_DELAY_US (4 * USEC_PER_SEC)
/* A worker that survives a suspect for this long takes other tasks again. */
#define TRIAL_US (1500 * USEC_PER_MS)
/* A worker that joined so recently may be one that crashes by itself. */
#define NEW_WORKER_US (15 * USEC_PER_SEC)
/*
 * A crash is correlated if contact with this part of all workers broke no further from it
 * in time. One that no failed poll shows is known only when the worker is back.
 */
#define CORRELATED_US (1 * USEC_PER_SEC)
#define CORRELATED_DIVISOR 3U
#define CORRELATED_MIN 3U
/* A new leader does not know yet which other workers have crashed. */
#define NEW_LEADER_US (2 * USEC_PER_SEC)
/* Scores in thousandths of a core. */
#define SUSPECT_BESIDE_PENALTY 4000000
#define NEW_WORKER_PENALTY 2000000
#define NEIGHBOUR_PENALTY 50000

static const struct dag_task *task_of(const struct ds_run *r)
{
	return dag_job_find_task(r->job->rec, r->task.occurrence, r->task.step,
				 r->task.index);
}

/*
 * When the worker was last known to work. Before this leader has polled it, that follows
 * from the record of the loss, which came some time later.
 */
static int64_t contact_us(const struct ds_worker *w)
{
	if (!w->polled && w->rec->lost)
		return w->rec->lost_us - LOSS_RECORD_DELAY_US;
	return w->polled_us;
}

/*
 * A recovered run was on an earlier life of its worker, which has started again so often
 * since. When the first of several starts was is not known.
 */
void ds_recall_life(struct ds_run *r, uint32_t restarts)
{
	const struct dag_worker_rec *w = r->worker->rec;

	if (restarts > 1)
		r->life_heard_us = r->start_sent_us;
	else if (w->life_lost_us)
		r->life_heard_us = w->life_lost_us - LOSS_RECORD_DELAY_US;
	else
		r->life_heard_us = w->restarted_us;
}

/* Whether a start request of the run may have reached its worker. */
static bool was_sent(const struct ds_run *r)
{
	return r->start_requests || r->phase == DS_RECOVERED || r->phase == DS_ACCEPTED;
}

/* Whether a run may have been on a life of its worker before the one of born_ms. */
static bool was_there(const struct ds_run *r, int64_t born_ms)
{
	return was_sent(r) && !r->end_proposed && !r->listed && r->born_ms < born_ms;
}

/* When the life of the worker on which the run was is last known to have worked. */
static int64_t life_contact_us(const struct ds_run *r)
{
	return r->life_heard_us ? r->life_heard_us : contact_us(r->worker);
}

/*
 * Whether the run went on for so long that it is not the cause of the loss. A leader that
 * has not polled the worker does not know how long before its time that was lost. The
 * recorded start does not tell when the run began: an earlier leader may have repeated
 * the request much later.
 */
static bool has_survived(const struct ds_run *r)
{
	int64_t unknown_us =
		r->life_heard_us || !r->worker->polled ? LOSS_RECORD_DELAY_US : 0;

	return life_contact_us(r) - unknown_us - r->begun_by_us >= CRASH_DELAY_MAX_US;
}

/* Whether contact with many other workers broke when it did with this one. */
static bool is_correlated(const struct dag_sched *s, const struct ds_worker *w)
{
	size_t broken = 0;
	size_t present = 0;

	for (size_t i = 0; i < s->n_workers; i++) {
		const struct ds_worker *o = s->workers[i];

		present += o->rec->w.state != DAG_WORKER_GONE;
		broken += o->broken_us && o->broken_us > w->broken_us - CORRELATED_US &&
			  o->broken_us < w->broken_us + CORRELATED_US;
	}
	return broken >= CORRELATED_MIN && broken * CORRELATED_DIVISOR >= present;
}

/* Whether the crash of a worker may prove that a run on it is the cause. */
static bool may_prove(const struct dag_sched *s, const struct ds_worker *w)
{
	return s->now_us - s->leading_since_us >= NEW_LEADER_US && !is_correlated(s, w);
}

/* The one run that explains a crash: a suspect on trial that started last. NULL: none. */
static const struct ds_run *sole_suspect(const struct dag_sched *s,
					 const struct ds_worker *w, int64_t born_ms)
{
	const struct ds_run *sole = NULL;
	const struct ds_run *r;

	TAILQ_FOREACH (r, &w->runs, worker_entry) {
		if (!was_there(r, born_ms) ||
		    ds_task_suspect_crashes(task_of(r)) < DS_TRIAL_CRASHES)
			continue;
		if (sole)
			return NULL;
		sole = r;
	}
	TAILQ_FOREACH (r, &w->runs, worker_entry)
		if (sole && r != sole && was_there(r, born_ms) &&
		    r->start_sent_us >= sole->start_sent_us)
			return NULL;
	return sole && may_prove(s, w) ? sole : NULL;
}

/*
 * Whether a start request may never have arrived. A worker that crashed before it could
 * answer and one that was cut off and started again behind the cut look alike, so such a
 * start counts, but less than a crash.
 */
static bool is_unanswered(const struct ds_run *r)
{
	return r->phase != DS_ACCEPTED && !r->recovered;
}

static enum dag_end_how crash_end(const struct ds_run *r, bool alone)
{
	/* A serving task that has run for a while is not the cause. */
	if (r->step->long_running && has_survived(r))
		return DAG_END_SURVIVED;
	if (is_unanswered(r))
		return DAG_END_UNANSWERED;
	return alone ? DAG_END_CRASHED_ALONE : DAG_END_CRASHED;
}

static void count_crash(struct dag_sched *s, struct ds_run *r, bool alone,
			const char *reason)
{
	struct str none = {NULL, 0};

	r->crash_known = reason;
	ds_run_propose_end(s, r, crash_end(r, alone), none, reason);
}

/* Ends the runs of a worker whose process has crashed and is replaced by another. */
void ds_crash_runs(struct dag_sched *s, struct ds_worker *w, const char *reason)
{
	const struct ds_run *sole;
	struct ds_run *r;

	ds_worker_note_exit(s, w);
	sole = sole_suspect(s, w, INT64_MAX);
	TAILQ_FOREACH (r, &w->runs, worker_entry)
		if (was_there(r, INT64_MAX))
			count_crash(s, r, r == sole, reason);
}

/*
 * A poll reply came from a life of the worker that began at born_ms. Runs that an earlier
 * one had confirmed have ended. A start request that it did not answer may still arrive,
 * so its run is stopped first.
 */
void ds_crash_earlier_life(struct dag_sched *s, struct ds_worker *w, int64_t born_ms)
{
	const struct ds_run *sole = sole_suspect(s, w, born_ms);
	struct ds_run *r;

	TAILQ_FOREACH (r, &w->runs, worker_entry) {
		if (!was_there(r, born_ms))
			continue;
		if (w->earlier_left && r->phase == DS_ACCEPTED &&
		    r->accepted_us < w->poll_sent_us) {
			ds_run_propose_lost(s, r, "left and came back");
		} else if (r->phase == DS_ACCEPTED && r->accepted_us < w->poll_sent_us) {
			count_crash(s, r, r == sole, "the worker has started again");
		} else if (r->phase != DS_ACCEPTED && !r->stop_requested) {
			if (!w->earlier_left)
				r->stopped_how = crash_end(r, false);
			ds_run_request_stop(s, r, "the worker has started again");
		}
	}
}

/* The run is certainly not on its worker; it was stopped after a crash, or as asked. */
void ds_end_stopped_run(struct dag_sched *s, struct ds_run *r)
{
	struct str none = {NULL, 0};

	ds_run_propose_end(s, r, r->stopped_how, none,
			   r->stopped_how == DAG_END_LAPSED
				   ? "stopped"
				   : "the worker has started again");
}

/* How a run has ended whose worker's lease has ended without a word of it. */
static enum dag_end_how lapse_end(const struct ds_run *r)
{
	const struct ds_worker *w = r->worker;
	bool planned = w->leaving_since_us || w->draining;

	if (!was_sent(r))
		return DAG_END_LAPSED;
	/* It is known to have crashed its worker; the stop that was to follow was lost.
	 */
	if (r->stopped_how != DAG_END_LAPSED)
		return r->stopped_how;
	/* Its worker has started again since. */
	if (r->born_ms < w->rec->w.born_ms && !planned)
		return crash_end(r, false);
	if (has_survived(r))
		return r->step->long_running ? DAG_END_SURVIVED : DAG_END_LAPSED;
	if (planned)
		return DAG_END_LAPSED;
	return is_unanswered(r) ? DAG_END_UNANSWERED_SUSPECTED : DAG_END_SUSPECTED;
}

/*
 * Ends the runs of a worker whose lease has ended. It may be cut off or may have crashed;
 * which of them is learned when it is back. Returns how many runs that were without an
 * end have one now.
 */
uint32_t ds_lapse_runs(struct dag_sched *s, struct ds_worker *w)
{
	struct str none = {NULL, 0};
	struct ds_run *r;
	uint32_t n = 0;

	TAILQ_FOREACH (r, &w->runs, worker_entry) {
		if (r->phase == DS_PROPOSED || r->end_proposed)
			continue;
		n++;
		ds_run_propose_end(s, r, lapse_end(r), none, "lease ended");
	}
	return n;
}

/* A task under which workers have crashed starts; others keep off its worker. */
void ds_begin_trial(struct dag_sched *s, struct ds_run *r)
{
	uint32_t crashes = ds_task_suspect_crashes(task_of(r));

	r->suspect = crashes > 0;
	r->worker->n_suspects += r->suspect;
	if (crashes >= DS_TRIAL_CRASHES)
		r->worker->trial_until_us = s->now_us + TRIAL_US;
}

void ds_end_trial(struct ds_run *r)
{
	r->worker->n_suspects -= r->suspect;
	if (r->suspect && !r->worker->n_suspects)
		r->worker->trial_until_us = 0;
}

/*
 * What it costs to place a task on a worker under which so many workers have crashed,
 * in thousandths of a core: suspects keep apart, off workers that have just joined, and
 * at last off others.
 */
int64_t ds_suspect_penalty(const struct dag_sched *s, const struct ds_worker *w,
			   uint32_t crashes)
{
	int64_t penalty = 0;

	if (!crashes)
		return 0;
	if (w->n_suspects)
		penalty += SUSPECT_BESIDE_PENALTY;
	if (w->joined_us && s->now_us - w->joined_us < NEW_WORKER_US)
		penalty += NEW_WORKER_PENALTY;
	if (crashes >= DS_TRIAL_CRASHES)
		penalty += (int64_t)w->n_runs * NEIGHBOUR_PENALTY;
	return penalty;
}
