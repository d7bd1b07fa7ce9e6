#include <string.h>

#include "base/err.h"
#include "core/router_impl.h"

/* Requests sent per class and round while all classes have requests queued. */
static const unsigned int class_weight[ROUTER_CLASSES] = {16, 4, 1};

/* Counts a request as waiting for a claim or a slot. */
void queue_wait_begin(struct request *q)
{
	struct pool *p = q->pool;

	if (p->waiting[q->class]++ == 0)
		p->team->busy_pools[q->class]++;
	p->team->waiting[q->class]++;
}

void queue_wait_end(struct request *q)
{
	struct pool *p = q->pool;

	if (--p->waiting[q->class] == 0)
		p->team->busy_pools[q->class]--;
	p->team->waiting[q->class]--;
}

static struct request_queue *queue_of(struct request *q)
{
	if (q->pausing)
		return &q->pool->pause_queue;
	return q->sends ? &q->pool->retry_queue : &q->pool->queue[q->class];
}

/* Queues a request. Retries have a queue of their own, served before the others. */
void queue_push(struct router *r, struct request *q)
{
	struct pool *p = q->pool;

	TAILQ_INSERT_TAIL(queue_of(q), q, link);
	q->state = REQUEST_QUEUED;
	r->queued++;
	if (q->held)
		return;
	queue_wait_begin(q);
	p->queued++;
}

void queue_remove(struct router *r, struct request *q)
{
	struct pool *p = q->pool;

	TAILQ_REMOVE(queue_of(q), q, link);
	r->queued--;
	if (q->held)
		return;
	queue_wait_end(q);
	p->queued--;
}

/* Queues a request that is not sent before until_us. */
void queue_pause(struct router *r, struct request *q, int64_t until_us)
{
	q->pausing = true;
	queue_push(r, q);
	timers_set(&r->timers, &q->timer, until_us);
}

/* As a pause, but the request waits for no slot and counts for no estimate. */
void queue_hold(struct router *r, struct request *q, int64_t until_us)
{
	q->held = true;
	queue_pause(r, q, until_us);
}

/* Ends a pause; the timer is that of the deadline again. */
void queue_resume(struct router *r, struct request *q)
{
	queue_remove(r, q);
	q->pausing = false;
	q->held = false;
	/* Where it was refused before the pause a slot may be free now. */
	memset(q->tried, 0, sizeof(q->tried));
	queue_push(r, q);
	timers_set(&r->timers, &q->timer, q->deadline_us);
}

/* Returns the next retry; NULL if there is none or the budget is used up. */
static struct request *next_retry(struct pool *p)
{
	return p->team->retry_tokens >= 1.0 ? TAILQ_FIRST(&p->retry_queue) : NULL;
}

/* Returns the next request by weighted round robin over the classes, or NULL. */
static struct request *next_first(struct pool *p)
{
	unsigned int c;

	for (unsigned int turn = 0; turn < 2; turn++) {
		for (c = 0; c < ROUTER_CLASSES; c++)
			if (p->credit[c] && !TAILQ_EMPTY(&p->queue[c]))
				return TAILQ_FIRST(&p->queue[c]);
		for (c = 0; c < ROUTER_CLASSES; c++)
			p->credit[c] = class_weight[c];
	}
	return NULL;
}

static void ring_remove(struct router *r, struct pool *p)
{
	struct team *t = p->team;

	if (!p->in_ring)
		return;
	p->in_ring = false;
	TAILQ_REMOVE(&t->ring, p, link);
	if (TAILQ_EMPTY(&t->ring)) {
		t->in_ring = false;
		TAILQ_REMOVE(&r->ring, t, link);
	}
}

static void ring_add(struct router *r, struct pool *p)
{
	struct team *t = p->team;

	if (p->in_ring)
		return;
	p->in_ring = true;
	TAILQ_INSERT_TAIL(&t->ring, p, link);
	if (!t->in_ring) {
		t->in_ring = true;
		TAILQ_INSERT_TAIL(&r->ring, t, link);
	}
}

/* Sends the next request. False if there is none or no upstream is free for it. */
static bool serve_next(struct router *r, struct pool *p,
		       struct request *(*next)(struct pool *), int64_t now_us)
{
	struct request *q;

	while ((q = next(p))) {
		struct upstream *u;

		if (limit_hopeless(p, 0, q->deadline_us, now_us)) {
			request_finish(r, q, ROUTER_NOT_RUN, ROUTER_R_HOPELESS,
				       CF_ETIMEOUT, now_us);
			continue;
		}
		u = pick_upstream(r, p, q, now_us);
		if (!u)
			return false;
		queue_remove(r, q);
		if (!q->sends)
			p->credit[q->class]--;
		request_send(r, q, u, now_us);
		return true;
	}
	return false;
}

/*
 * Sends one request of the pool, first a retry. A retry that has been to all upstreams
 * that are free does not hold up the others.
 */
static bool serve(struct router *r, struct pool *p, int64_t now_us)
{
	return serve_next(r, p, next_retry, now_us) ||
	       serve_next(r, p, next_first, now_us);
}

/*
 * Returns the next team in round robin order. A team that holds its equal share of
 * max_inflight or more is skipped, because round robin alone would favour the team
 * with the longest requests. If all do, returns the one with the fewest in flight.
 */
static struct team *next_team(struct router *r)
{
	struct team *t;
	struct team *least = NULL;

	TAILQ_FOREACH (t, &r->ring, link) {
		if ((uint64_t)t->inflight * r->busy_teams < r->opt.max_inflight)
			return t;
		if (!least || t->inflight < least->inflight)
			least = t;
	}
	return least;
}

/*
 * Sends queued requests after a change in the pool. Teams are served round robin, and
 * so are the pools of a team, so that none takes every slot of a full process.
 */
void queue_dispatch(struct router *r, struct pool *p, int64_t now_us)
{
	if (p->queued)
		ring_add(r, p);
	while (!TAILQ_EMPTY(&r->ring) && r->inflight < r->opt.max_inflight) {
		struct team *t = next_team(r);
		struct pool *next = TAILQ_FIRST(&t->ring);
		bool sent = serve(r, next, now_us);

		ring_remove(r, next);
		if (sent && next->queued)
			ring_add(r, next);
	}
}
