#include "core/router_impl.h"

/* Weight of the newest result; five failures in a row pass FAIL_SHARE. */
#define FAIL_WEIGHT 0.15F
#define FAIL_SHARE 0.5F
/* Successes of the rest of the pool that show that only this upstream fails. */
#define SUCCESSES_ELSEWHERE 5
/* Ratio to the mean latency of the pool from which an upstream is ejected. */
#define SLOW_FACTOR 5.0
#define SLOW_SAMPLES 8
/* Duration of the first ejection; doubles with each further one. */
#define EJECT_US 1000000LL
#define EJECT_MAX_SHIFT 5

/* Whether the upstream is ejected, that is, gets no requests because of failures. */
bool eject_active(const struct upstream *u, int64_t now_us)
{
	return now_us < u->ejected_until_us;
}

/*
 * Whether the failure rate is over twice that of the rest of the pool. Requests that
 * fail at every upstream raise all rates alike and eject none.
 */
static bool failing(const struct upstream *u)
{
	const struct pool *p = u->pool;
	double others;

	if (u->fail < FAIL_SHARE || p->usable < 2 ||
	    p->successes - u->success_mark < SUCCESSES_ELSEWHERE)
		return false;
	others = (p->fail_sum - (double)u->fail) / (p->usable - 1);
	return (double)u->fail > 2 * others;
}

static bool slow(const struct upstream *u)
{
	return u->samples >= SLOW_SAMPLES &&
	       (double)u->latency_us > SLOW_FACTOR * u->pool->mean_us;
}

static void eject(struct router *r, struct upstream *u, int64_t now_us)
{
	const struct pool *p = u->pool;
	unsigned int shift =
		u->ejections < EJECT_MAX_SHIFT ? u->ejections : EJECT_MAX_SHIFT;
	int64_t time = EJECT_US << shift;

	/* A failure common to all upstreams must not eject the whole pool. */
	if ((uint64_t)(p->usable - p->ejected - 1) * 100 <
	    (uint64_t)p->usable * r->opt.eject_floor_percent)
		return;
	/* Jitter, so that entry processes do not readmit it at the same time. */
	time += (int64_t)prng_below(&r->prng, (uint64_t)time / 4);
	u->ejected_until_us = now_us + time;
	u->ejections++;
	u->probing = true;
	u->samples = 0;
	r->stats.ejected++;
	timers_set(&r->timers, &u->reopen, u->ejected_until_us);
}

/*
 * Ends the ejections of a pool that has no other upstream left: they were judged by
 * those that are gone. Each still gets one request at a time until one succeeds.
 */
void eject_end_all(struct router *r, struct pool *p, int64_t now_us)
{
	struct upstream *u;

	TAILQ_FOREACH (u, &p->members, member) {
		if (!u->counted_ejected)
			continue;
		u->ejected_until_us = now_us;
		upstream_update(r, u, now_us);
	}
}

static void set_fail(struct upstream *u, float fail)
{
	if (u->counted)
		u->pool->fail_sum += (double)fail - (double)u->fail;
	u->fail = fail;
}

/*
 * Records the result of one send and ejects the upstream if needed. After an ejection
 * the upstream gets one request at a time until one succeeds.
 */
void eject_result(struct router *r, struct upstream *u, bool failed, int64_t took_us,
		  int64_t now_us)
{
	if (!failed)
		u->success_mark = ++u->pool->successes;
	if (eject_active(u, now_us))
		return;
	if (u->probing) {
		r->stats.probes++;
		if (failed) {
			eject(r, u, now_us);
			return;
		}
		u->probing = false;
		set_fail(u, 0);
		return;
	}
	set_fail(u, u->fail + FAIL_WEIGHT * ((failed ? 1.0F : 0.0F) - u->fail));
	if (failed && failing(u))
		eject(r, u, now_us);
	else if (!failed && slow(u))
		eject(r, u, now_us);
	else if (!failed && u->ejections && u->fail < FAIL_WEIGHT)
		u->ejections--;
}
