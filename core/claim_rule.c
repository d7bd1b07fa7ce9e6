#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/claim_impl.h"
#include "core/team.h"
#include "proto/codec.h"

/* Expired keys are grouped by end time into periods of 1/24 of forget_us. */
#define PERIODS 24

/* Moves an open claim to the ended claims of its team, in the given state. */
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

/* Replaces an ended claim by an expired key. CF_ENOSPACE, CF_ENOMEM. */
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
	claim_remove(c, claim);
	return 0;
}

/*
 * Expires the oldest ended claims of a team until `more` fits into the share.
 * CF_ENOSPACE: no ended claims are left, or no space for their expired keys.
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
 * Marks the open claims of a lost entry process as unknown, for the given incarnation
 * and earlier ones.
 */
void claims_owner_lost(struct claims *c, struct str entry, uint64_t incarnation,
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

/* Applies open_us, keep_us and forget_us as described in core/claim.h. CF_ENOMEM. */
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

		/* Remove a period once all of it is older than forget_us. */
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
