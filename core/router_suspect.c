/*
 * Requests under which upstreams were lost, so that a resend of the caller does not end
 * more of them. A fixed number is remembered, for a limited time.
 */
#include "core/router_impl.h"

#define REMEMBER_US 60000000LL

static struct suspect *find(struct router *r, uint64_t identity, int64_t now_us)
{
	for (unsigned int i = 0; i < ROUTER_SUSPECTS; i++) {
		struct suspect *s = &r->suspects[i];

		if (s->identity == identity && s->until_us > now_us)
			return s;
	}
	return NULL;
}

/* Returns how many upstreams were lost under requests of this identity; 0: none. */
unsigned int suspect_losses(struct router *r, uint64_t identity, int64_t now_us)
{
	const struct suspect *s = identity ? find(r, identity, now_us) : NULL;

	return s ? s->losses : 0;
}

/* Notes one more lost upstream, in place of the oldest entry if there is none. */
void suspect_add(struct router *r, uint64_t identity, int64_t now_us)
{
	struct suspect *s;

	if (!identity)
		return;
	s = find(r, identity, now_us);
	if (!s) {
		s = &r->suspects[r->next_suspect++ % ROUTER_SUSPECTS];
		*s = (struct suspect){.identity = identity};
	}
	s->losses++;
	s->until_us = now_us + REMEMBER_US;
}
