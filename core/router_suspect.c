/*
 * Requests whose upstreams closed the connection: they may have ended them. A closed
 * connection is also that of a reset, a cut or a proxy, so it only holds the request
 * back. What proves that the process ended is a later incarnation of the upstream, or
 * an address at which no process listens; an announcement of the same incarnation
 * proves the contrary. A fixed number of identities is remembered, for a limited time,
 * so that resends of the caller do not end more upstreams.
 */
#include "core/router_impl.h"

#define REMEMBER_US 60000000LL
/* After this many upstreams that ended under it, a request is not sent again. */
#define MAX_LOSSES 2
/*
 * An announcement may be on its way this long: a silent connection between entry
 * processes is replaced after a second. What comes later was sent after the loss.
 */
#define ANNOUNCE_DELAY_US 1000000LL

static struct suspect *find(struct router *r, uint64_t identity, int64_t now_us)
{
	if (!identity)
		return NULL;
	for (unsigned int i = 0; i < ROUTER_SUSPECTS; i++) {
		struct suspect *s = &r->suspects[i];

		if (s->identity == identity && s->until_us > now_us)
			return s;
	}
	return NULL;
}

/* Whether the upstream announced itself after the loss, in the same incarnation. */
static bool survived(const struct router *r, const struct upstream *u,
		     const struct loss *loss)
{
	return u->expires_us - r->opt.expiry_us > loss->at_us + ANNOUNCE_DELAY_US;
}

static void drop(struct losses *l, unsigned int i)
{
	l->v[i] = l->v[--l->n];
}

/* Drops the losses that their upstream survived, and those too old for a proof. */
static void drop_settled(const struct router *r, struct losses *l, int64_t now_us)
{
	unsigned int i = 0;

	while (i < l->n) {
		const struct loss *loss = &l->v[i];
		const struct upstream *u;

		HASH_FIND(hh, r->upstreams, &loss->upstream, sizeof(loss->upstream), u);
		if ((u && survived(r, u, loss)) || now_us >= loss->at_us + REMEMBER_US)
			drop(l, i);
		else
			i++;
	}
}

static unsigned int ended(const struct losses *l)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < l->n; i++)
		n += l->v[i].ended;
	return n;
}

/* Finds the loss at an upstream, or the place for it: that of the oldest, if full. */
static struct loss *loss_slot(struct losses *l, uint64_t upstream)
{
	struct loss *oldest = &l->v[0];

	for (unsigned int i = 0; i < l->n; i++) {
		if (l->v[i].upstream == upstream)
			return &l->v[i];
		if (!l->v[i].ended && (oldest->ended || l->v[i].at_us < oldest->at_us))
			oldest = &l->v[i];
	}
	return l->n < ROUTER_LOSSES ? &l->v[l->n++] : oldest;
}

static void add(const struct router *r, struct losses *l, const struct loss *loss,
		int64_t now_us)
{
	drop_settled(r, l, now_us);
	*loss_slot(l, loss->upstream) = *loss;
}

/* Notes that the upstream closed the connection of the request; before its release. */
void suspect_add(struct router *r, struct request *q, const struct upstream *u,
		 int64_t now_us)
{
	const struct loss loss = {u->id, now_us, !u->current};
	struct suspect *s = find(r, q->identity, now_us);

	if (u->leaving)
		return;
	if (!q->suspected)
		TAILQ_INSERT_TAIL(&r->suspected, q, suspect);
	q->suspected = true;
	add(r, &q->losses, &loss, now_us);
	if (!q->identity)
		return;
	if (!s) {
		s = &r->suspects[r->next_suspect++ % ROUTER_SUSPECTS];
		*s = (struct suspect){.identity = q->identity};
	}
	add(r, &s->losses, &loss, now_us);
	s->until_us = now_us + REMEMBER_US;
}

/* Removes a request from those with losses, before it is freed. */
void suspect_unlink(struct router *r, struct request *q)
{
	if (q->suspected)
		TAILQ_REMOVE(&r->suspected, q, suspect);
	q->suspected = false;
}

/* Marks the loss at an upstream that has ended, or drops it: it left or survived. */
static void settle(const struct router *r, struct losses *l, const struct upstream *u)
{
	unsigned int i = 0;

	while (i < l->n) {
		struct loss *loss = &l->v[i];

		if (loss->upstream == u->id && (u->leaving || survived(r, u, loss))) {
			drop(l, i);
			continue;
		}
		if (loss->upstream == u->id)
			loss->ended = true;
		i++;
	}
}

/* Handles the proof that the process of an upstream has ended. */
void suspect_ended(struct router *r, const struct upstream *u)
{
	struct request *q;

	for (unsigned int i = 0; i < ROUTER_SUSPECTS; i++)
		settle(r, &r->suspects[i].losses, u);
	TAILQ_FOREACH (q, &r->suspected, suspect) {
		settle(r, &q->losses, u);
	}
}

/* Whether resends of this identity have ended so many upstreams that it is refused. */
bool suspect_proven_resend(struct router *r, uint64_t identity, int64_t now_us)
{
	struct suspect *s = find(r, identity, now_us);

	if (!s)
		return false;
	drop_settled(r, &s->losses, now_us);
	return ended(&s->losses) >= MAX_LOSSES;
}

/* Whether the request, or its resends, has ended so many upstreams that it is refused. */
bool suspect_proven(struct router *r, struct request *q, int64_t now_us)
{
	drop_settled(r, &q->losses, now_us);
	return ended(&q->losses) >= MAX_LOSSES ||
	       suspect_proven_resend(r, q->identity, now_us);
}

/* Time until an announcement may take one of the losses back; 0: too few to wait. */
static int64_t hold_us(const struct router *r, struct losses *l, int64_t now_us)
{
	int64_t first = INT64_MAX;

	drop_settled(r, l, now_us);
	if (l->n < MAX_LOSSES)
		return 0;
	for (unsigned int i = 0; i < l->n; i++)
		if (!l->v[i].ended && l->v[i].at_us < first)
			first = l->v[i].at_us;
	if (first >= now_us - ANNOUNCE_DELAY_US && first < INT64_MAX)
		return first + ANNOUNCE_DELAY_US - now_us + 1;
	return 1;
}

/*
 * Returns the time for which the request is held back at least, 0: it may be sent. It
 * is held back while it may have ended so many upstreams.
 */
int64_t suspect_hold_us(struct router *r, struct request *q, int64_t now_us)
{
	struct suspect *s = find(r, q->identity, now_us);
	int64_t own = hold_us(r, &q->losses, now_us);
	int64_t resends = s ? hold_us(r, &s->losses, now_us) : 0;

	return own > resends ? own : resends;
}
