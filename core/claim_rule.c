#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/claim_impl.h"
#include "core/team.h"
#include "proto/codec.h"

/* Expired keys are forgotten in this many steps. */
#define PERIODS 24

/* Ends an open claim. */
void claim_end(struct claims *c, struct claim *claim, enum claim_state state,
	       uint64_t time_us)
{
	TAILQ_REMOVE(&c->open, claim, link);
	c->count[claim->state]--;
	claim->state = state;
	claim->time_us = time_us;
	TAILQ_INSERT_TAIL(&claim->team->ended, claim, link);
	c->count[state]++;
}

/* Turns an ended claim into an expired key. CF_ENOSPACE. */
int claim_expire(struct claims *c, struct claim *claim)
{
	struct claim_team *t = claim->team;
	uint64_t period = claim->time_us / (c->options.forget_us / PERIODS);
	bool added;
	int err;

	if (!share_fits(&c->expired, t->used_expired, 1))
		return CF_ENOSPACE;
	err = keyset_add(&t->expired, period, claim_fingerprint(claim->id), &added);
	if (err)
		return err;
	if (added) {
		share_acquire(&c->expired, &t->used_expired, 1);
		c->count[CLAIM_EXPIRED]++;
	}
	claim_drop(c, claim);
	return 0;
}

/*
 * Expires the oldest ended claims of a team until it may use more of a share.
 * CF_ENOSPACE when there are none or no space for their keys.
 */
int claim_make_room(struct claims *c, struct claim_team *t, const struct share *share,
		    const uint64_t *used, uint64_t more)
{
	struct claim *next = TAILQ_FIRST(&t->ended);

	while (!share_fits(share, *used, more)) {
		struct claim *claim = next;
		int err;

		if (!claim)
			return CF_ENOSPACE;
		next = TAILQ_NEXT(claim, link);
		err = claim_expire(c, claim);
		if (err)
			return err;
	}
	return 0;
}

/*
 * Makes the open claims of an entry process unknown, up to the incarnation that is
 * gone.
 */
void claims_owner_gone(struct claims *c, struct str entry, uint64_t incarnation,
		       uint64_t time_us)
{
	struct claim *claim = TAILQ_FIRST(&c->open);

	while (claim) {
		struct claim *next = TAILQ_NEXT(claim, link);
		const struct claim_origin *o = claim->origin;

		if (o->incarnation <= incarnation &&
		    str_eq((struct str){o->entry, o->n}, entry))
			claim_end(c, claim, CLAIM_UNKNOWN, time_us);
		claim = next;
	}
}

/* Applies the rules of time; see core/claim.h. */
int claims_sweep(struct claims *c, uint64_t time_us)
{
	const struct claim_options *o = &c->options;
	uint64_t width = o->forget_us / PERIODS;
	struct claim *claim;
	struct claim *next;

	while ((claim = TAILQ_FIRST(&c->open)) && time_us - claim->time_us >= o->open_us)
		claim_end(c, claim, CLAIM_UNKNOWN, time_us);
	for (size_t i = c->teams.count; i > 0; i--) {
		struct claim_team *t = claim_team_at(c, i - 1);
		size_t forgotten = 0;

		/* A period ends when its last moment is older than forget_us. */
		if (time_us >= o->forget_us)
			forgotten = keyset_drop_before(&t->expired,
						       (time_us - o->forget_us) / width);
		share_release(&c->expired, &t->used_expired, forgotten);
		c->count[CLAIM_EXPIRED] -= forgotten;
		for (claim = TAILQ_FIRST(&t->ended);
		     claim && time_us - claim->time_us >= o->keep_us; claim = next) {
			int err;

			next = TAILQ_NEXT(claim, link);
			err = claim_expire(c, claim);
			if (err == CF_ENOSPACE)
				break;
			if (err)
				return err;
		}
		claim_team_release(c, t);
	}
	return 0;
}
