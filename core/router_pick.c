#include "core/router_impl.h"

/*
 * Score, in slots used of slots present, from which other availability zones are
 * compared too; and what their upstreams must be better by.
 */
#define SPILL_FROM 0.75
#define SPILL_PENALTY 0.25
/* Draws for one upstream when those drawn were tried before. */
#define DRAWS 4

struct choice {
	struct upstream *u;
	double score;
};

/* Which of the pool's sets are drawn from. */
struct group {
	unsigned int zone_from;
	unsigned int zone_to;
	unsigned int home_from;
};

static unsigned int group_open(const struct pool *p, const struct group *g)
{
	unsigned int n = 0;

	for (unsigned int z = g->zone_from; z < g->zone_to; z++)
		for (unsigned int h = g->home_from; h < 2; h++)
			n += p->set[z][h].open;
	return n;
}

static struct upstream *group_at(const struct pool *p, const struct group *g,
				 unsigned int i)
{
	for (unsigned int z = g->zone_from; z < g->zone_to; z++) {
		for (unsigned int h = g->home_from; h < 2; h++) {
			const struct upset *s = &p->set[z][h];

			if (i < s->open)
				return s->v[i];
			i -= s->open;
		}
	}
	return NULL;
}

/* Requests at the upstream for each of its slots, as this process sees it. */
static double score(const struct router *r, const struct upstream *u)
{
	double n = u->inflight;

	switch (r->opt.policy) {
	case ROUTER_POLICY_RANDOM:
		return 0;
	case ROUTER_POLICY_REPORTED:
	case ROUTER_POLICY_HOME:
		n += u->others;
		break;
	case ROUTER_POLICY_DEFAULT:
	case ROUTER_POLICY_P2C:
	case ROUTER_POLICY_SUBSET:
		break;
	}
	return n / u->slots;
}

/*
 * Whether the request may go there: never to the upstream that failed last while
 * the pool has another one, and at first to none that it was sent to lately.
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

/* Draws upstreams of the group and keeps the best in *best. */
static void draw(struct router *r, const struct pool *p, const struct request *q,
		 const struct group *g, unsigned int choices, double penalty,
		 struct choice *best)
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
		s = score(r, u) + penalty;
		if (!best->u || s < best->score)
			*best = (struct choice){u, s};
	}
}

/* Any upstream that the request may go to, when draws found none. */
static struct upstream *any(const struct pool *p, const struct request *q,
			    const struct group *g)
{
	unsigned int n = group_open(p, g);

	/* Among ROUTER_TRIED + 1 different ones there is one that was not tried. */
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
 * Picks the upstream for a request, NULL when it has to wait. The local
 * availability zone comes first; the others are compared before it is full.
 */
struct upstream *pick(struct router *r, struct pool *p, const struct request *q,
		      int64_t now_us)
{
	unsigned int zones = p->team->zones;
	unsigned int home = r->opt.policy == ROUTER_POLICY_SUBSET;
	unsigned int choices = r->opt.policy == ROUTER_POLICY_RANDOM ? 1 : r->opt.choices;
	const struct group local = {0, 1, home};
	const struct group remote = {1, zones, home};
	const struct group all = {0, zones, home};
	struct choice best = {NULL, 0};

	draw(r, p, q, &local, choices, 0, &best);
	if (!best.u || best.score >= SPILL_FROM)
		draw(r, p, q, &remote, choices, SPILL_PENALTY, &best);
	if (!best.u)
		best.u = any(p, q, &all);
	if (best.u && best.u->zone != 0 && p->set[0][0].n + p->set[0][1].n > 0)
		r->stats.spilled++;
	return best.u;
}
