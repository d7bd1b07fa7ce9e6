/* Exits that workers announce: when they count, and what is known of them. */
#include "core/dag_sched_impl.h"

/* A worker that announced its exit and fails polls from then on for this time has exited.
 */
#define LEAVE_TIMEOUT_US (1 * USEC_PER_SEC)
/*
 * The same for one that is only silent: it ends some seconds after an announcement that
 * was not answered, and its lasting tasks are to run again within six.
 */
#define SILENT_LEAVE_TIMEOUT_US (5 * USEC_PER_SEC)
/* The exit is recorded by then, or its announcement was lost. */
#define EXIT_RECORD_TIMEOUT_US (2 * USEC_PER_SEC)
/* An announcement that other controllers pass on comes so late at most. */
#define LEAVE_DELAY_US (1500 * USEC_PER_MS)
/* An exit that an earlier leader recorded: its worker ends within seconds of that. */
#define RECORDED_LEAVE_MARGIN_US (1 * USEC_PER_SEC)

/* The worker announced its exit; it gets no new runs. */
void dag_sched_worker_leaving(struct dag_sched *s, uint32_t worker, int64_t now_us)
{
	struct ds_worker *w = ds_worker_find(s, worker);

	s->now_us = now_us;
	if (!w || w->leaving_since_us)
		return;
	w->leaving_since_us = now_us;
	ds_resolve_suspicions(s, w, DAG_END_LAPSED, now_us, "its worker leaves");
	/* Its exit says why; with a loss recorded beside it, it would look like a cut. */
	if (w->broken_us >= now_us - LEAVE_DELAY_US)
		ds_worker_regain_contact(s, w);
}

/* What an earlier leader recorded of the exit of a worker that is new to this one. */
void ds_worker_recall_exit(const struct dag_sched *s, struct ds_worker *w)
{
	/* Contact was not lost before the exit was recorded, so it was no cut. */
	if (w->rec->w.state != DAG_WORKER_GONE || w->rec->lost)
		return;
	w->leaving_since_us = s->now_us + RECORDED_LEAVE_MARGIN_US;
	w->exit_recorded = true;
}

/* The worker is there, or another process is in its place. */
void ds_worker_forget_exit(struct ds_worker *w)
{
	w->leaving_since_us = 0;
	w->exit_recorded = false;
	w->exit_proposed = false;
	w->poll_refused = false;
}

/*
 * Whether a worker that fails polls has exited as it announced. One that failed them long
 * before may be cut off: its runs go on until its lease ends. Nobody listens at the
 * address of a process that has ended; silence may be a cut as well, in which the answer
 * to the announcement was lost.
 */
static bool has_left(const struct dag_sched *s, const struct ds_worker *w)
{
	int64_t since_us = s->now_us - w->leaving_since_us;

	if (!w->leaving_since_us || w->poll_failures < 2 ||
	    w->broken_us < w->leaving_since_us - LEAVE_DELAY_US)
		return false;
	return since_us > SILENT_LEAVE_TIMEOUT_US ||
	       (since_us > LEAVE_TIMEOUT_US && (w->poll_refused || w->exit_recorded));
}

/*
 * Ends the runs of a worker that has exited as it announced. That it is gone is proposed
 * with the announcement; a second record would remove the first, so it waits until that
 * has failed.
 */
void ds_worker_check_exit(struct dag_sched *s, struct ds_worker *w)
{
	if (!has_left(s, w))
		return;
	ds_worker_propose_lost(s, w, "left");
	if (w->rec->w.state == DAG_WORKER_GONE || w->exit_proposed ||
	    s->now_us - w->leaving_since_us < EXIT_RECORD_TIMEOUT_US)
		return;
	w->exit_proposed = true;
	ds_worker_propose_state(s, w, DAG_WORKER_GONE, w->rec->w.born_ms);
}
