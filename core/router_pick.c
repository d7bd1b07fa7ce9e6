#include "core/router_impl.h"

#include <math.h>

/*
 * Policies compared by bench/bench_router.c: 8 entry processes, 65 executors of 8
 * slots that refuse when full, bursts, 95 % load, 4 s, one seed. Columns: sends that
 * were refused for lack of slots in %, requests refused in %, p99 in ms.
 *
 *                        base              slow              noisy
 *   random          51.3   2.3  901   51.7  12.3  934   51.3  14.1  901
 *   two choices     50.7   0.7  737   51.1   9.8  934   50.6  10.0  803
 *   reported load   23.0   0.4  385   20.9   9.2  868   21.1   9.1  672
 *   own ones only    0.0   8.6  737    0.0  15.7  770    0.0  20.3  836
 *   default         22.5   0.0  352   19.3   3.7  672   18.6   4.7  705
 *
 * With executors that have their own queue, two choices serve up to 7 % more requests
 * at 95 % load with slow or noisy executors, but 80 to 100 % of sends exceed the slots.
 */

/*
 * Score by which an upstream in another availability zone, or owned by another entry
 * process, must be better. The score is the share of slots in use.
 */
#define ZONE_PENALTY 0.1
#define OWNER_PENALTY 0.5
/* Half-life of the reported load of other processes, in mean service times. */
#define REPORT_HALF_LIFE 32.0
/* Draws per candidate if the drawn upstreams have been tried before. */
#define DRAWS 4

struct choice {
	struct upstream *u;
	double score;
};

/* Range of the pool's sets to draw from; ends are exclusive. */
struct group {
	unsigned int zone_from;
	unsigned int zone_to;
	unsigned int home_from;
	unsigned int home_to;
};

static unsigned int group_open(const struct pool *p, const struct group *g)
{
	unsigned int n = 0;

	for (unsigned int z = g->zone_from; z < g->zone_to; z++)
		for (unsigned int h = g->home_from; h < g->home_to; h++)
			n += p->set[z][h].open;
	return n;
}

static struct upstream *group_at(const struct pool *p, const struct group *g,
				 unsigned int i)
{
	for (unsigned int z = g->zone_from; z < g->zone_to; z++) {
		for (unsigned int h = g->home_from; h < g->home_to; h++) {
			const struct upstream_set *s = &p->set[z][h];

			if (i < s->open)
				return s->v[i];
			i -= s->open;
		}
	}
	return NULL;
}

/* Whether the policy uses the reported load and queues requests above full_percent. */
static bool by_report(const struct router *r)
{
	return r->opt.policy == ROUTER_POLICY_DEFAULT ||
	       r->opt.policy == ROUTER_POLICY_REPORTED;
}

/* Estimated requests in flight per slot of the upstream. */
static double score(const struct router *r, const struct upstream *u, int64_t now_us)
{
	double half = REPORT_HALF_LIFE * u->pool->mean_us;
	double n = u->inflight;

	if (r->opt.policy == ROUTER_POLICY_RANDOM)
		return 0;
	if (by_report(r) && u->other_load && half > 0)
		n += u->other_load * exp2((double)(u->load_reported_us - now_us) / half);
	return n / u->slots;
}

/*
 * Whether the request may be sent to the upstream: not to that of its last send while
 * the pool has another one and, if strict, to none of its recent sends.
 */
static bool allowed(const struct pool *p, const struct request *q,
		    const struct upstream *u, bool strict)
{
	if (q->sends == 0)
		return true;
	if (u->id == q->last_up)
		return p->usable - p->ejected < 2;
	return !strict || !retry_tried(q, u->id);
}

/* Draws candidates from the group and stores the one with the lowest score in *best. */
static void draw(struct router *r, const struct pool *p, const struct request *q,
		 const struct group *g, unsigned int choices, double penalty,
		 int64_t now_us, struct choice *best)
{
	unsigned int n = group_open(p, g);

	for (unsigned int i = 0; n && i < choices; i++) {
		struct upstream *u = NULL;
		double s;

		for (unsigned int k = 0; k < DRAWS; k++) {
			u = group_at(p, g, (unsigned int)prng_below(&r->prng, n));
			if (allowed(p, q, u, true))
				break;
			u = NULL;
		}
		if (!u)
			continue;
		s = score(r, u, now_us);
		if (by_report(r) && p->inflight && s * 100 >= r->opt.full_percent)
			continue;
		s += penalty;
		if (!best->u || s < best->score)
			*best = (struct choice){u, s};
	}
}

/* Returns the first allowed upstream of the group, for when draws found none. */
static struct upstream *any(const struct pool *p, const struct request *q,
			    const struct group *g)
{
	unsigned int n = group_open(p, g);

	/* Of ROUTER_TRIED + 1 different upstreams, at least one has not been tried. */
	for (int strict = 1; strict >= 0; strict--) {
		for (unsigned int i = 0; i < n && i <= ROUTER_TRIED; i++) {
			struct upstream *u = group_at(p, g, i);

			if (allowed(p, q, u, strict))
				return u;
		}
	}
	return NULL;
}

/*
 * Picks the upstream for a request; NULL if it has to wait. Prefers own upstreams to
 * those of other owners and, within both, the local availability zone. An upstream
 * elsewhere is picked if its score is better by more than the penalties.
 */
struct upstream *pick_upstream(struct router *r, struct pool *p, const struct request *q,
			       int64_t now_us)
{
	enum router_policy policy = r->opt.policy;
	unsigned int zones = p->team->zones;
	bool subset = policy == ROUTER_POLICY_SUBSET;
	unsigned int choices = r->opt.choices;
	const struct group own_local = {0, 1, 1, 2};
	const struct group own_remote = {1, zones, 1, 2};
	const struct group local = {0, 1, 0, 1};
	const struct group remote = {1, zones, 0, 1};
	const struct group all = {0, zones, subset, 2};
	struct choice best = {NULL, 0};

	if (policy == ROUTER_POLICY_RANDOM) {
		draw(r, p, q, &all, 1, 0, now_us, &best);
		return best.u ? best.u : any(p, q, &all);
	}
	if (policy == ROUTER_POLICY_DEFAULT || subset)
		home_assign(r, p, now_us);
	draw(r, p, q, &own_local, choices, 0, now_us, &best);
	draw(r, p, q, &own_remote, choices, ZONE_PENALTY, now_us, &best);
	if (!subset && (!best.u || best.score > OWNER_PENALTY)) {
		draw(r, p, q, &local, choices, OWNER_PENALTY, now_us, &best);
		draw(r, p, q, &remote, choices, OWNER_PENALTY + ZONE_PENALTY, now_us,
		     &best);
	}
	/*
	 * With nothing in flight, no response would arrive to trigger the next attempt.
	 */
	if (!best.u && (!by_report(r) || !p->inflight))
		best.u = any(p, q, &all);
	if (best.u && best.u->zone != 0 && p->set[0][0].n + p->set[0][1].n > 0)
		r->stats.spilled++;
	return best.u;
}
