#include "base/err.h"
#include "core/router_impl.h"

/*
 * Above this share of max_requests, a team is limited to an equal part of the table.
 * Below it, one busy team may use what the others leave free.
 */
#define SHARE_FROM_PERCENT 75
/* Ratio to the mean latency of the pool from which the limit of an upstream is cut. */
#define SLOW_FACTOR 2.0
/* Factor of a cut; at most one cut per mean service time. */
#define SLOW_CUT 0.8F
/* Weight of the newest sample in the exponential moving averages. */
#define UPSTREAM_WEIGHT 0.1F
#define POOL_WEIGHT 0.02
/* Samples of an upstream before its average is used. */
#define MIN_SAMPLES 8
/* Bounds of the pause after a refusal at the slot limit. */
#define REFUSED_MIN_US 1000
#define REFUSED_MAX_US 50000
/* A request is refused if less than this share of the mean service time is left. */
#define HOPELESS_SHARE 0.5
/*
 * A request that has to wait is refused unless its deadline allows for a wait longer
 * than estimated and for a long service time.
 */
#define WAIT_FACTOR 1.5
#define WAIT_MARGIN 2.0

static unsigned int percent_of(unsigned int v, unsigned int percent)
{
	return (unsigned int)((uint64_t)v * percent / 100);
}

/* Returns why the request table cannot take a request of the team, or ANSWERED. */
enum router_reason limit_admit(const struct router *r, const struct team *t)
{
	unsigned int n = HASH_COUNT(r->requests);
	/* Reserve one part for a team that has no requests yet. */
	unsigned int teams = r->busy_teams + 1;

	if (n >= r->opt.max_requests)
		return ROUTER_R_MEMORY;
	if (n >= percent_of(r->opt.max_requests, SHARE_FROM_PERCENT) &&
	    t->requests >= r->opt.max_requests / teams)
		return ROUTER_R_TEAM_SHARE;
	return ROUTER_R_ANSWERED;
}

/*
 * Returns why the queue of the team and class cannot take a request, or ANSWERED. From
 * half of the queue on, each of the team's waiting services may hold an equal part.
 */
enum router_reason limit_queue(const struct router *r, const struct pool *p,
			       enum router_class class)
{
	const struct team *t = p->team;
	unsigned int pools = t->busy_pools[class] + (p->waiting[class] == 0);

	if (t->waiting[class] >= r->opt.max_queue)
		return ROUTER_R_QUEUE_FULL;
	if (t->waiting[class] >= percent_of(r->opt.max_queue, 50) &&
	    p->waiting[class] >= r->opt.max_queue / pools)
		return ROUTER_R_QUEUE_FULL;
	return ROUTER_R_ANSWERED;
}

/*
 * Estimates the queueing time of a new request: the requests ahead of it, at the rate
 * at which requests in flight complete. 0 if nothing is in flight or queued.
 */
int64_t limit_wait_us(const struct pool *p, enum router_class class)
{
	unsigned int before = 0;

	if (p->inflight == 0 || p->queued == 0)
		return 0;
	for (unsigned int c = 0; c <= (unsigned int)class; c++)
		before += p->waiting[c];
	return (int64_t)(p->mean_us * before / p->inflight);
}

/* Whether a request that waits wait_us will probably miss its deadline. */
bool limit_hopeless(const struct pool *p, int64_t wait_us, int64_t deadline_us,
		    int64_t now_us)
{
	double need = p->mean_us * HOPELESS_SHARE;

	if (wait_us > 0)
		need = (double)wait_us * WAIT_FACTOR + p->mean_us * WAIT_MARGIN;
	return now_us + (int64_t)need > deadline_us;
}

/* Connections of this process to one upstream: its equal share of max_connections. */
unsigned int limit_connections(const struct router *r)
{
	unsigned int n = r->n_entries ? (unsigned int)r->n_entries : 1;
	unsigned int share = r->opt.max_connections / n;

	return share ? share : 1;
}

/* Requests of this process that may be in flight at the upstream; at least 1. */
unsigned int limit_own(const struct router *r, const struct upstream *u)
{
	unsigned int n = limit_connections(r);

	if (u->probing)
		return 1;
	if (n > u->slots)
		n = u->slots;
	if ((float)n > u->limit)
		n = (unsigned int)u->limit;
	return n ? n : 1;
}

/*
 * Records a service time and adapts the limit (AIMD): an upstream slower than its pool
 * gets a multiplicative cut, others recover by 1 per `limit` responses.
 */
void limit_sample(struct router *r, struct upstream *u, int64_t took_us, int64_t now_us)
{
	struct pool *p = u->pool;
	float took = (float)took_us;

	u->latency_us += (u->samples ? UPSTREAM_WEIGHT : 1.0F) * (took - u->latency_us);
	p->mean_us += (p->mean_us > 0 ? POOL_WEIGHT : 1.0) * (took - p->mean_us);
	if (u->samples < MIN_SAMPLES) {
		u->samples++;
	} else if (p->usable > 1 && (double)u->latency_us > SLOW_FACTOR * p->mean_us) {
		if (now_us - u->cut_us > (int64_t)p->mean_us) {
			u->cut_us = now_us;
			u->limit *= SLOW_CUT;
		}
	} else {
		u->limit += 1.0F / u->limit;
	}
	if (u->limit < 1.0F)
		u->limit = 1.0F;
	if (u->limit > (float)u->slots)
		u->limit = (float)u->slots;
}

/* Time until a full upstream is expected to have a free slot. */
int64_t limit_refused_us(const struct upstream *u)
{
	int64_t wait = (int64_t)(u->pool->mean_us / u->slots);

	if (wait < REFUSED_MIN_US)
		return REFUSED_MIN_US;
	return wait > REFUSED_MAX_US ? REFUSED_MAX_US : wait;
}

/* Handles a refusal at the slot limit: pauses sends to the upstream. */
void limit_refused(struct router *r, struct upstream *u, int64_t now_us)
{
	u->closed_until_us = now_us + limit_refused_us(u);
	/* An earlier timer, for the end of an ejection, is then set to this time. */
	if (!u->reopen.slot || u->reopen.at_us > u->closed_until_us)
		timers_set(&r->timers, &u->reopen, u->closed_until_us);
}
