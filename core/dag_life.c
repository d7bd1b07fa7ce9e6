/* The lives of a worker: its process, clock and lease, and the contact with it. */
#include "core/dag_sched_impl.h"
#include "proto/codec.h"

/* Polls in a row without a reply after which the loss of contact is recorded. */
#define LOST_POLL_FAILURES 2U
/* A worker's clock may be 2 % slow; 103 % of a lease on it has certainly expired. */
#define SLOW_CLOCK_PERCENT 103
#define LEASE_EXPIRY_MARGIN_US (150 * USEC_PER_MS)
/* Longer than most cuts, so that a worker that drains behind one goes on. */
#define DRAINING_LEASE_MAX_US (7 * USEC_PER_SEC)

/* JSON numbers are exact up to 53 bits, which leaves 25 to the epoch. */
#define FENCE_BITS 28
#define FENCE_MAX ((1U << FENCE_BITS) - 1)

/* When a lease of a worker, counted from from_us, has certainly expired. */
int64_t ds_lease_expiry_us(int64_t from_us, int64_t lease_us)
{
	return from_us + lease_us * SLOW_CLOCK_PERCENT / 100 + LEASE_EXPIRY_MARGIN_US;
}

/*
 * Fencing token of a call to a worker. The epoch fences calls of earlier leaders; the
 * worker's fence, in the lower bits, earlier calls of this leader, which may be carried
 * out late by a newer process: those for earlier lives, start requests without an answer,
 * and polls that acknowledge ends when a run was started after them.
 */
static uint64_t worker_token(const struct dag_sched *s, const struct ds_worker *w)
{
	return s->opt.epoch << FENCE_BITS | (w->fence < FENCE_MAX ? w->fence : FENCE_MAX);
}

void ds_worker_fill_call(const struct dag_sched *s, const struct ds_worker *w,
			 struct dag_worker_call *call)
{
	*call = (struct dag_worker_call){
		.worker = w->rec->number,
		.id = XDR_STR(w->rec->w, id),
		.address = XDR_STR(w->rec->w, address),
		.token = worker_token(s, w),
	};
}

/*
 * The lease of a worker that drains is shorter: if it ends without a word, its serving
 * tasks are to run elsewhere within seconds.
 */
static int64_t lease_us(const struct dag_sched *s, const struct ds_worker *w)
{
	if (w->draining && s->opt.lease_us > DRAINING_LEASE_MAX_US)
		return DRAINING_LEASE_MAX_US;
	return s->opt.lease_us;
}

static void propose_contact(struct dag_sched *s, const struct ds_worker *w, bool lost)
{
	struct dag_command c = {.kind = DAG_CMD_CONTACT};

	c.dag_command_u.contact = (struct dag_contact){w->rec->number, lost};
	ds_propose(s, &c);
}

/*
 * When a lease that an earlier leader granted has certainly expired. It may have granted
 * one just now, but none since it recorded the loss of contact.
 */
int64_t ds_worker_first_expiry_us(const struct dag_sched *s,
				  const struct dag_worker_rec *rec)
{
	bool is_short = rec->short_leases && rec->short_leases == s->state->earlier_epoch;
	int64_t longest_us = s->opt.lease_us;

	if (is_short && longest_us > DRAINING_LEASE_MAX_US)
		longest_us = DRAINING_LEASE_MAX_US;
	return ds_lease_expiry_us(rec->lost ? rec->lost_us : s->now_us, longest_us);
}

/*
 * Records, for the next leader, that a worker that drains has no longer lease left than
 * this leader grants it now.
 */
void ds_worker_record_short_leases(struct dag_sched *s, struct ds_worker *w)
{
	int64_t wait_us = ds_lease_expiry_us(0, s->opt.lease_us) - DRAINING_LEASE_MAX_US;

	if (!w->draining) {
		w->short_since_us = 0;
		return;
	}
	if (!w->short_since_us)
		w->short_since_us = s->now_us;
	if (!w->n_runs || w->contact_lost || w->poll_failures ||
	    w->rec->short_leases == s->opt.epoch ||
	    s->now_us - w->short_since_us < wait_us)
		return;
	/* Not again before this one is applied. */
	w->short_since_us = s->now_us;
	propose_contact(s, w, false);
}

/*
 * Extends the worker's lease to a full period from now. Returns its end in milliseconds
 * on the worker's clock, or 0 if that clock is unknown.
 */
int64_t ds_worker_extend_lease(struct dag_sched *s, struct ds_worker *w)
{
	int64_t end_ms;
	int64_t expires_us;

	if (!w->clock_known)
		return 0;
	end_ms = w->clock_ms + (s->now_us - w->clock_us + lease_us(s, w)) / USEC_PER_MS;
	expires_us =
		ds_lease_expiry_us(w->clock_us, (end_ms - w->clock_ms) * USEC_PER_MS);
	if (expires_us > w->lease_expires_us)
		w->lease_expires_us = expires_us;
	return end_ms;
}

void ds_worker_record_contact(struct ds_worker *w, const struct dag_poll_reply *poll,
			      int64_t now_us)
{
	w->last_heard_us = now_us;
	if (poll->clock_ms <= 0 || !dag_time_valid(poll->clock_ms))
		return;
	w->clock_known = true;
	w->clock_born_ms = poll->born_ms;
	w->clock_ms = poll->clock_ms;
	w->clock_us = now_us;
}

/* A worker's process has ended; a poll that failed before tells better when that was. */
void ds_worker_note_exit(const struct dag_sched *s, struct ds_worker *w)
{
	if (!w->poll_failures)
		w->broken_us = s->now_us;
}

/*
 * Records that a worker has not replied for a while, so that the next leader need not
 * wait for a lease from its own start on. Until the contrary is recorded as well, the
 * worker gets no lease, also when it replies again.
 */
void ds_worker_lose_contact(struct dag_sched *s, struct ds_worker *w)
{
	if (w->poll_failures == 1)
		w->broken_us = s->now_us;
	if (w->contact_lost || !w->n_runs || w->poll_failures < LOST_POLL_FAILURES)
		return;
	w->contact_lost = true;
	propose_contact(s, w, true);
}

void ds_worker_regain_contact(struct dag_sched *s, struct ds_worker *w)
{
	if (!w->contact_lost || w->contact_proposed)
		return;
	w->contact_proposed = true;
	propose_contact(s, w, false);
}

/* The loss or return of contact is recorded. */
void ds_worker_contact_changed(struct dag_sched *s, struct ds_worker *w)
{
	if (w->rec->lost) {
		w->contact_lost = true;
		return;
	}
	w->contact_lost = false;
	w->contact_proposed = false;
	w->next_poll_us = s->now_us;
	s->placement_needed = true;
}

void ds_worker_begin_life(struct ds_worker *w)
{
	w->life = ++w->fence;
}

/*
 * Calls from now on fence a poll that acknowledges ends and has no answer yet: carried
 * out late by a newer process, it would make that forget the ends of its own runs.
 */
void ds_worker_fence_poll(struct ds_worker *w)
{
	if (w->poll_acked && w->poll_fence == w->fence)
		w->fence++;
}

/*
 * A start request got no answer. Calls from now on fence it: carried out late by a newer
 * process, it would start a run that may have ended by then.
 */
void ds_worker_fence_starts(struct dag_sched *s, uint32_t worker)
{
	struct ds_worker *w = ds_worker_find(s, worker);

	if (w)
		w->fence++;
}

/*
 * Gives a new process the present fence, so that it refuses the calls for earlier ones
 * that are still on their way. The next poll does so too, but it waits for the end of the
 * one that an earlier process got, and for ends to be recorded.
 */
static void fence_earlier_calls(struct dag_sched *s, const struct ds_worker *w)
{
	struct dag_poll_command o = {.no_reply = true};

	if (s->fenced || (!w->poll_in_flight && !w->ends_uncommitted))
		return;
	ds_worker_fill_call(s, w, &o.call);
	s->host->ops->poll(s->host, &o);
}

/*
 * A newer process of a worker has a clock of its own and numbers its ends from the start
 * again.
 */
static void begin_process(struct dag_sched *s, struct ds_worker *w, int64_t born_ms)
{
	s->host->ops->log_event(s->host, "worker-restarted", NULL, 0,
				XDR_STR(w->rec->w, id),
				"value: newest end that its earlier process may forget",
				(int64_t)w->acked_end);
	if (w->process_born_ms)
		ds_worker_note_exit(s, w);
	w->process_born_ms = born_ms;
	ds_worker_begin_life(w);
	w->earlier_left = w->leaving_since_us || w->draining;
	ds_worker_forget_exit(w);
	w->clock_known = false;
	w->acked_end = 0;
	w->first_listed_end = 0;
	w->last_listed_end = 0;
	w->held_end = 0;
	w->held_logged = 0;
	fence_earlier_calls(s, w);
}

/* Its start is learned from its reports or its lists, whichever come first. */
void ds_worker_follow_start(struct dag_sched *s, struct ds_worker *w, int64_t born_ms)
{
	if (born_ms > w->process_born_ms)
		begin_process(s, w, born_ms);
}

/*
 * A reply to a poll that was sent when the process was known is the word of the one that
 * is at the address now. Its start may be earlier on the time of day, which may have been
 * set back, and what a report said may be wrong.
 */
void ds_worker_follow_reply(struct dag_sched *s, struct ds_worker *w,
			    const struct dag_poll_reply *poll)
{
	bool set_back = poll->born_ms && poll->born_ms < w->process_born_ms &&
			w->poll_life == w->life;

	if (set_back) {
		w->report_born_ms = 0;
		w->report_clock_ms = 0;
	}
	if (set_back || poll->born_ms > w->process_born_ms)
		begin_process(s, w, poll->born_ms);
}

bool ds_worker_reply_is_old(const struct ds_worker *w, const struct dag_poll_reply *poll)
{
	return poll->born_ms && poll->born_ms < w->process_born_ms;
}

/* Records that a newer process answers under the worker's id. */
void ds_worker_propose_start(struct dag_sched *s, struct ds_worker *w, int64_t born_ms)
{
	struct dag_command c = {.kind = DAG_CMD_WORKER};

	if (!born_ms || born_ms == w->rec->w.born_ms || born_ms != w->process_born_ms)
		return;
	c.dag_command_u.worker = w->rec->w;
	c.dag_command_u.worker.born_ms = born_ms;
	ds_propose(s, &c);
}
