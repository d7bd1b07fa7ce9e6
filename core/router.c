#include "core/router.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/err.h"
#include "core/router_impl.h"

/* HTTP status from which a response counts as a failure of the upstream. */
#define STATUS_UPSTREAM_ERROR 500
/* A timeout counts as a failure from this multiple of the mean service time. */
#define TIMEOUT_FACTOR 3
/* Interval of the checks of a request that may have ended upstreams. */
#define HOLD_US 100000LL

/* Sets the defaults; the caller sets host, name and zone. */
void router_options_init(struct router_options *o)
{
	*o = (struct router_options){
		.seed = 1,
		.policy = ROUTER_POLICY_DEFAULT,
		.choices = 4,
		.full_percent = 90,
		.max_requests = 20000,
		.max_queue = 1000,
		.max_inflight = 4096,
		.max_connections = 64,
		.max_teams = 1024,
		.max_pools = 4096,
		.max_upstreams = 20000,
		.max_attempts = 3,
		.max_refusals = 12,
		.retry_percent = 20,
		.eject_floor_percent = 60,
		.default_deadline_us = 30 * 1000000LL,
		.expiry_us = 2 * 1000000LL,
	};
}

/*
 * Creates a router. Its memory is bounded by the limits in the options. The
 * configuration is stale until router_fresh() is called. CF_EINVAL, CF_ENOMEM.
 */
int router_new(const struct router_options *o, struct router **out)
{
	struct router *r;

	if (!o->host || !o->host->ops || o->name.n > ROUTER_MAX_NAME ||
	    o->zone.n > ROUTER_MAX_NAME || o->zone.n == 0 || o->choices == 0 ||
	    o->max_attempts == 0 || o->eject_floor_percent > 100 || o->expiry_us <= 0 ||
	    o->default_deadline_us <= 0)
		return CF_EINVAL;
	r = calloc(1, sizeof(*r));
	if (!r)
		return CF_ENOMEM;
	r->host = o->host;
	r->opt = *o;
	r->prng.state = o->seed;
	memcpy(r->zone, o->zone.p, o->zone.n);
	if (o->name.n)
		memcpy(r->name, o->name.p, o->name.n);
	r->opt.zone.p = r->zone;
	r->opt.name.p = r->name;
	r->self = XXH3_64bits(r->name, o->name.n);
	TAILQ_INIT(&r->ring);
	TAILQ_INIT(&r->suspected);
	*out = r;
	return 0;
}

/* Frees the router and all requests, without calling the host. */
void router_free(struct router *r)
{
	struct request *q;
	struct request *next;

	if (!r)
		return;
	q = r->requests;
	HASH_CLEAR(hh, r->requests);
	for (; q; q = next) {
		next = q->hh.next;
		free(q);
	}
	upstream_free_all(r);
	timers_free(&r->timers);
	free(r);
}

static struct request *request_find(const struct router *r, uint64_t id)
{
	struct request *q;

	HASH_FIND(hh, r->requests, &id, sizeof(id), q);
	return q;
}

static void request_remove(struct router *r, struct request *q)
{
	timers_remove(&r->timers, &q->timer);
	suspect_unlink(r, q);
	if (--q->pool->team->requests == 0)
		r->busy_teams--;
	HASH_DELETE(hh, r->requests, q);
	free(q);
}

static void claim_end(struct router *r, struct request *q, enum router_run run)
{
	if (!q->claimed)
		return;
	q->claimed = false;
	if (run == ROUTER_DONE)
		r->host->ops->claim_done(r->host, q->id);
	else if (run == ROUTER_UNKNOWN)
		r->host->ops->claim_unknown(r->host, q->id);
	else
		r->host->ops->claim_abort(r->host, q->id);
}

static void report(struct router *r, uint64_t id, const struct router_outcome *o)
{
	r->stats.finished[o->reason]++;
	r->host->ops->finish(r->host, id, o);
}

/*
 * Answers the caller. ROUTER_NOT_RUN becomes ROUTER_UNKNOWN if an earlier send may
 * have run. The record is kept until a pending send or claim has ended.
 */
void request_finish(struct router *r, struct request *q, enum router_run run,
		    enum router_reason reason, int err, int64_t now_us)
{
	struct router_outcome o = {
		.run = run,
		.reason = reason,
		.err = err,
		.upstream = q->last_up,
		.sends = q->sends,
		.total_us = now_us - q->submitted_us,
	};

	if (run == ROUTER_NOT_RUN && (q->may_have_run || q->state == REQUEST_SENT))
		o.run = ROUTER_UNKNOWN;
	timers_remove(&r->timers, &q->timer);
	claim_end(r, q, o.run);
	report(r, q->id, &o);
	switch ((enum request_state)q->state) {
	case REQUEST_QUEUED:
		queue_remove(r, q);
		request_remove(r, q);
		return;
	case REQUEST_CLAIMING:
		queue_wait_end(q);
		q->state = REQUEST_LATE_CLAIM;
		return;
	case REQUEST_SENT:
		q->state = REQUEST_LATE;
		return;
	case REQUEST_LATE:
	case REQUEST_LATE_CLAIM:
		return;
	}
}

/* Sends a request, which must not be queued. */
void request_send(struct router *r, struct request *q, struct upstream *u, int64_t now_us)
{
	struct pool *p = q->pool;

	q->state = REQUEST_SENT;
	q->up = u;
	q->last_up = u->id;
	q->tried[q->sends % ROUTER_TRIED] = u->id;
	q->sends++;
	q->sent_us = now_us;
	u->inflight++;
	p->inflight++;
	p->team->inflight++;
	r->inflight++;
	r->stats.sent++;
	if (q->sends > 1) {
		r->stats.retried++;
		retry_spend(p->team, q->refused);
	}
	upstream_update(r, u, now_us);
	r->host->ops->send(r->host, q->id, u->id);
}

/* Returns why this process accepts no requests, or ROUTER_R_ANSWERED. */
static enum router_reason closed(const struct router *r, int *err)
{
	if (r->draining) {
		*err = CF_EDRAINING;
		return ROUTER_R_DRAINING;
	}
	if (!r->fresh) {
		*err = CF_ESTALE;
		return ROUTER_R_STALE;
	}
	return ROUTER_R_ANSWERED;
}

/* Returns why a new request is refused, or ROUTER_R_ANSWERED if it is accepted. */
static enum router_reason admit(const struct router *r, const struct pool *p,
				const struct router_request *a, int64_t deadline_us,
				int64_t now_us, int *err)
{
	enum router_reason why = closed(r, err);

	if (why)
		return why;
	if (!p || p->usable == 0) {
		*err = CF_EUNAVAIL;
		return ROUTER_R_NO_UPSTREAM;
	}
	*err = CF_EBUSY;
	why = limit_admit(r, p->team);
	if (!why && (p->queued || a->keyed))
		why = limit_queue(r, p, a->class);
	if (why)
		return why;
	if (limit_hopeless(p, limit_wait_us(p, a->class), deadline_us, now_us)) {
		*err = CF_ETIMEOUT;
		return ROUTER_R_HOPELESS;
	}
	return ROUTER_R_ANSWERED;
}

/* Returns when a request that may have ended upstreams is checked again. */
static int64_t hold_until(const struct request *q, int64_t now_us)
{
	return now_us + HOLD_US < q->deadline_us ? now_us + HOLD_US : q->deadline_us;
}

/*
 * Queues a request that may have ended upstreams until more is known of them; refuses it
 * if its deadline is earlier, or if the queue is full.
 */
static void hold_back(struct router *r, struct request *q, int64_t hold_us,
		      int64_t now_us)
{
	enum router_reason why = limit_queue(r, q->pool, q->class);
	bool late = now_us + hold_us >= q->deadline_us;

	queue_hold(r, q, hold_until(q, now_us));
	if (late)
		request_finish(r, q, ROUTER_NOT_RUN, ROUTER_R_HOPELESS, CF_ETIMEOUT,
			       now_us);
	else if (why)
		request_finish(r, q, ROUTER_NOT_RUN, why, CF_EBUSY, now_us);
}

/* Sends the request if possible, else queues it; refuses it if the queue is full. */
static void enqueue(struct router *r, struct request *q, int64_t now_us)
{
	struct pool *p = q->pool;
	struct upstream *u;
	enum router_reason why;
	int64_t hold = suspect_hold_us(r, q, now_us);

	if (hold > 0) {
		hold_back(r, q, hold, now_us);
		return;
	}
	if (!p->queued && r->inflight < r->opt.max_inflight && TAILQ_EMPTY(&r->ring)) {
		u = pick_upstream(r, p, q, now_us);
		if (u) {
			request_send(r, q, u, now_us);
			return;
		}
	}
	why = q->keyed ? ROUTER_R_ANSWERED : limit_queue(r, p, q->class);
	queue_push(r, q);
	if (why)
		request_finish(r, q, ROUTER_NOT_RUN, why, CF_EBUSY, now_us);
	else
		queue_dispatch(r, p, now_us);
}

/*
 * Submits a request. After 0, finish() is called exactly once, also for a refusal and
 * possibly before this function returns. CF_EINVAL, CF_EEXIST (id in use), CF_ENOMEM:
 * not accepted, not run, finish() is not called.
 */
int router_submit(struct router *r, const struct router_request *a, int64_t now_us)
{
	int64_t deadline =
		a->deadline_us ? a->deadline_us : now_us + r->opt.default_deadline_us;
	enum router_reason why;
	struct request *q;
	struct pool *p;
	int err = 0;

	if (a->class >= ROUTER_CLASSES)
		return CF_EINVAL;
	if (request_find(r, a->id))
		return CF_EEXIST;
	p = router_pool_find(r, a->team, a->service);
	why = admit(r, p, a, deadline, now_us, &err);
	if (why) {
		const struct router_outcome o = {ROUTER_NOT_RUN, why, err, 0, 0, 0};

		r->stats.submitted++;
		report(r, a->id, &o);
		return 0;
	}
	if (suspect_proven_resend(r, a->identity, now_us)) {
		const struct router_outcome o = {
			ROUTER_UNKNOWN, ROUTER_R_LOST, CF_ECONN, 0, 0, 0};

		r->stats.submitted++;
		report(r, a->id, &o);
		return 0;
	}
	err = timers_reserve(&r->timers, HASH_COUNT(r->requests) + 1 +
						 2 * (size_t)HASH_COUNT(r->upstreams));
	if (err)
		return err;
	q = calloc(1, sizeof(*q));
	if (!q)
		return CF_ENOMEM;
	r->stats.submitted++;
	q->id = a->id;
	q->pool = p;
	q->submitted_us = now_us;
	q->deadline_us = deadline;
	q->class = (uint8_t)a->class;
	q->idempotent = a->idempotent;
	q->identity = a->identity;
	q->keyed = a->keyed;
	q->timer.kind = TIMER_REQUEST;
	HASH_ADD(hh, r->requests, id, sizeof(q->id), q);
	if (p->team->requests++ == 0)
		r->busy_teams++;
	timers_set(&r->timers, &q->timer, deadline);
	if (q->keyed) {
		q->state = REQUEST_CLAIMING;
		queue_wait_begin(q);
		r->host->ops->claim(r->host, q->id);
	} else {
		enqueue(r, q, now_us);
	}
	return 0;
}

static void claim_refused(struct router *r, struct request *q, int err, int64_t now_us)
{
	switch (err) {
	case CF_EEXIST:
		request_finish(r, q, ROUTER_DONE, ROUTER_R_STORED, 0, now_us);
		break;
	case CF_EINPROGRESS:
		request_finish(r, q, ROUTER_UNKNOWN, ROUTER_R_IN_PROGRESS, err, now_us);
		break;
	case CF_EUNKNOWN:
	case CF_ESTALE:
		request_finish(r, q, ROUTER_UNKNOWN, ROUTER_R_KEY_UNKNOWN, err, now_us);
		break;
	case CF_EREUSED:
		request_finish(r, q, ROUTER_NOT_RUN, ROUTER_R_KEY_REUSED, err, now_us);
		break;
	default:
		/* The claim may have been granted although the call failed. */
		q->claimed = true;
		request_finish(r, q, ROUTER_NOT_RUN, ROUTER_R_CLAIM_FAILED, err, now_us);
		break;
	}
	request_remove(r, q);
}

static bool claim_certain(int err)
{
	return err == CF_EEXIST || err == CF_EINPROGRESS || err == CF_EUNKNOWN ||
	       err == CF_ESTALE || err == CF_EREUSED;
}

/*
 * Handles the result of claim(). err: 0 granted, CF_EEXIST outcome stored,
 * CF_EINPROGRESS, CF_EUNKNOWN, CF_ESTALE (an expired key), CF_EREUSED; anything else
 * means that the claim store did not answer. In that case, or if the caller has its
 * answer, the claim is aborted.
 */
void router_claimed(struct router *r, uint64_t request, int err, int64_t now_us)
{
	struct request *q = request_find(r, request);

	if (!q)
		return;
	if (q->state == REQUEST_LATE_CLAIM) {
		q->claimed = !claim_certain(err);
		claim_end(r, q, ROUTER_NOT_RUN);
		request_remove(r, q);
		return;
	}
	if (q->state != REQUEST_CLAIMING)
		return;
	if (err) {
		claim_refused(r, q, err, now_us);
		return;
	}
	q->claimed = true;
	queue_wait_end(q);
	/*
	 * Requests accepted before a drain are served, but not with a stale
	 * configuration.
	 */
	if (!r->fresh) {
		queue_push(r, q);
		request_finish(r, q, ROUTER_NOT_RUN, ROUTER_R_STALE, CF_ESTALE, now_us);
		return;
	}
	enqueue(r, q, now_us);
}

/* Whether the limits of one request allow one more send. */
static bool sends_left(const struct router *r, const struct request *q)
{
	return q->refusals <= r->opt.max_refusals &&
	       q->sends - q->refusals < r->opt.max_attempts;
}

static enum router_reason failure_reason(const struct request *q, bool proven)
{
	if (proven)
		return ROUTER_R_LOST;
	return q->may_have_run ? ROUTER_R_FAILED : ROUTER_R_REFUSED;
}

/*
 * Retries a send that ended without a complete response, or answers the caller. When
 * the retry budget is used up, a refused request waits for it, because it has cost
 * the upstream nothing; a failed one is not retried. refused_us: time until the upstream
 * that refused it is expected to have a free slot; 0: the send failed. A request that may
 * have ended upstreams pauses until more is known of them, if its deadline allows that.
 */
static void retry_or_finish(struct router *r, struct request *q, int64_t refused_us,
			    int err, int64_t now_us)
{
	struct pool *p = q->pool;
	bool proven = suspect_proven(r, q, now_us);
	enum router_reason why = failure_reason(q, proven);
	bool retry = (!q->may_have_run || q->idempotent) && r->fresh && !proven;
	bool refused = refused_us > 0;
	int64_t hold = suspect_hold_us(r, q, now_us);
	int64_t pause;

	q->refused = refused;
	q->refusals += refused;
	pause = retry_pause_us(q, refused_us, now_us);
	retry = retry && now_us + hold < q->deadline_us && sends_left(r, q) &&
		(refused || retry_allowed(r, p->team));
	if (retry && hold > 0)
		queue_hold(r, q, hold_until(q, now_us));
	else if (retry && pause > 0)
		queue_pause(r, q, now_us + pause);
	else
		queue_push(r, q);
	if (!retry)
		request_finish(r, q, ROUTER_NOT_RUN, why, err, now_us);
	queue_dispatch(r, p, now_us);
}

/* Frees the slot of a send. Returns false if the caller already has its answer. */
static bool send_ended(struct router *r, struct request *q, int64_t now_us)
{
	struct upstream *u = q->up;
	struct pool *p = q->pool;

	q->up = NULL;
	upstream_release(r, u, now_us);
	if (q->state == REQUEST_SENT)
		return true;
	r->stats.late++;
	request_remove(r, q);
	queue_dispatch(r, p, now_us);
	return false;
}

/*
 * Handles a complete response of the upstream. A response after the caller was answered
 * only frees the slot and updates the statistics.
 */
void router_answered(struct router *r, uint64_t request, const struct router_answer *a,
		     int64_t now_us)
{
	struct request *q = request_find(r, request);
	struct upstream *u;
	struct pool *p;
	int64_t took;

	if (!q || !q->up)
		return;
	u = q->up;
	p = q->pool;
	took = now_us - q->sent_us;
	/* The reported load does not include this request. */
	upstream_load(u, a->load, u->inflight - 1, now_us);
	if (a->not_run) {
		int64_t refused_us = limit_refused_us(u);

		/* The upstream speaks of the last send only. */
		q->may_have_run |= a->resent;
		r->stats.upstream_refused++;
		limit_refused(r, u, now_us);
		if (send_ended(r, q, now_us))
			retry_or_finish(r, q, refused_us, CF_EBUSY, now_us);
		return;
	}
	limit_sample(r, u, took, now_us);
	eject_result(r, u, a->status >= STATUS_UPSTREAM_ERROR, took, now_us);
	if (!send_ended(r, q, now_us))
		return;
	retry_success(r, p->team);
	request_finish(r, q, ROUTER_DONE, ROUTER_R_ANSWERED, 0, now_us);
	request_remove(r, q);
	queue_dispatch(r, p, now_us);
}

/* Handles a failed send. */
void router_failed(struct router *r, uint64_t request, const struct router_failure *f,
		   int64_t now_us)
{
	struct request *q = request_find(r, request);

	if (!q || !q->up)
		return;
	eject_result(r, q->up, true, now_us - q->sent_us, now_us);
	if (f->maybe_run && f->err == CF_ECONN)
		suspect_add(r, q, q->up, now_us);
	if (f->refused)
		suspect_ended(r, q->up);
	if (!send_ended(r, q, now_us))
		return;
	q->may_have_run |= f->maybe_run;
	retry_or_finish(r, q, 0, f->err, now_us);
}

/* Handles a disconnected caller. The slot is in use until the send has ended. */
void router_cancel(struct router *r, uint64_t request, int64_t now_us)
{
	struct request *q = request_find(r, request);

	if (!q || q->state == REQUEST_LATE || q->state == REQUEST_LATE_CLAIM)
		return;
	request_finish(r, q, ROUTER_NOT_RUN, ROUTER_R_CANCELLED, CF_EUNKNOWN, now_us);
}

/* Handles the deadline: answers the caller, whatever the state of the request. */
static void request_expired(struct router *r, struct request *q, int64_t now_us)
{
	if (q->state == REQUEST_SENT) {
		int64_t took = now_us - q->sent_us;
		struct upstream *u = q->up;

		/* A timeout after a short time is due to the caller's deadline. */
		if ((double)took > TIMEOUT_FACTOR * q->pool->mean_us) {
			eject_result(r, u, true, took, now_us);
			upstream_update(r, u, now_us);
		}
	}
	request_finish(r, q, ROUTER_NOT_RUN, ROUTER_R_DEADLINE, CF_ETIMEOUT, now_us);
}

/* Handles the timer of a request: its deadline, or the end of its pause. */
static void request_due(struct router *r, struct request *q, int64_t now_us)
{
	struct pool *p = q->pool;
	int64_t hold = suspect_hold_us(r, q, now_us);

	if (now_us >= q->deadline_us) {
		request_expired(r, q, now_us);
		return;
	}
	if (suspect_proven(r, q, now_us)) {
		request_finish(r, q, ROUTER_UNKNOWN, ROUTER_R_LOST, CF_ECONN, now_us);
		return;
	}
	if (hold > 0) {
		timers_set(&r->timers, &q->timer, hold_until(q, now_us));
		return;
	}
	queue_resume(r, q);
	queue_dispatch(r, p, now_us);
}

/*
 * Sets whether the configuration is known to be fresh. If not, nothing new is sent,
 * because an upstream or availability zone may have been taken out of service
 * without this process knowing.
 */
void router_fresh(struct router *r, bool fresh, int64_t now_us)
{
	struct request *q;
	struct request *tmp;

	r->fresh = fresh;
	if (fresh)
		return;
	HASH_ITER (hh, r->requests, q, tmp) {
		if (q->state == REQUEST_QUEUED)
			request_finish(r, q, ROUTER_NOT_RUN, ROUTER_R_STALE, CF_ESTALE,
				       now_us);
	}
}

/* Stops accepting requests; those accepted before are served. */
void router_drain(struct router *r, int64_t now_us)
{
	r->draining = true;
}

/* Runs all timers that are due. */
void router_tick(struct router *r, int64_t now_us)
{
	struct timer *x;

	while ((x = timers_first(&r->timers)) && x->at_us <= now_us) {
		timers_remove(&r->timers, x);
		switch ((enum timer_kind)x->kind) {
		case TIMER_REQUEST:
			request_due(r, CONTAINER(x, struct request, timer), now_us);
			break;
		case TIMER_EXPIRY:
			upstream_expiry(r, CONTAINER(x, struct upstream, expiry), now_us);
			break;
		case TIMER_REOPEN:
			upstream_reopen(r, CONTAINER(x, struct upstream, reopen), now_us);
			break;
		}
	}
}

/* Returns when router_tick() must be called next; INT64_MAX if no timer is set. */
int64_t router_deadline(const struct router *r)
{
	const struct timer *x = timers_first(&r->timers);

	return x ? x->at_us : INT64_MAX;
}

/* 0 if requests are accepted, else CF_EDRAINING or CF_ESTALE; for /healthz. */
int router_status(const struct router *r)
{
	int err = 0;

	closed(r, &err);
	return err;
}

/* Whether no requests are left, late ones included: a drained process may exit. */
bool router_idle(const struct router *r)
{
	return HASH_COUNT(r->requests) == 0;
}

void router_stats(const struct router *r, struct router_stats *out)
{
	*out = r->stats;
	out->requests = HASH_COUNT(r->requests);
	out->queued = r->queued;
	out->inflight = r->inflight;
	out->upstreams = HASH_COUNT(r->upstreams);
}

/* Returns the name of a reason in headers, metrics and log lines; never NULL. */
const char *router_reason_str(enum router_reason reason)
{
	static const char *const text[ROUTER_REASONS] = {
		[ROUTER_R_ANSWERED] = "answered",
		[ROUTER_R_STORED] = "stored",
		[ROUTER_R_IN_PROGRESS] = "in-progress",
		[ROUTER_R_KEY_UNKNOWN] = "key-unknown",
		[ROUTER_R_KEY_REUSED] = "key-reused",
		[ROUTER_R_CLAIM_FAILED] = "claim-failed",
		[ROUTER_R_QUEUE_FULL] = "queue-full",
		[ROUTER_R_TEAM_SHARE] = "team-share",
		[ROUTER_R_MEMORY] = "memory",
		[ROUTER_R_HOPELESS] = "hopeless",
		[ROUTER_R_DEADLINE] = "deadline",
		[ROUTER_R_NO_UPSTREAM] = "no-upstream",
		[ROUTER_R_DRAINING] = "draining",
		[ROUTER_R_STALE] = "stale",
		[ROUTER_R_CANCELLED] = "cancelled",
		[ROUTER_R_FAILED] = "failed",
		[ROUTER_R_REFUSED] = "refused",
		[ROUTER_R_LOST] = "upstreams-lost",
	};

	return (unsigned int)reason < ROUTER_REASONS ? text[reason] : "unknown";
}
