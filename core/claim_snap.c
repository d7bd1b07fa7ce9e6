#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/claim_impl.h"
#include "core/team.h"
#include "proto/codec.h"

static int visit_claim(const struct claim *claim,
		       int (*visit)(void *, struct snap_record *), void *arg)
{
	const struct claim_outcome *o = claim->outcome;
	struct snap_record record = {.kind = SNAP_CLAIM};
	struct snap_claim *out = &record.snap_record_u.claim;
	struct command_outcome outcome = {0};
	struct str entry = {claim->origin->entry, claim->origin->n};
	struct str type, body;

	XDR_SET(*out, team, team_name(&claim->team->team));
	memcpy(out->id, claim->id, CMD_HASH);
	memcpy(out->hash, claim->hash, CMD_HASH);
	out->state = claim->state;
	XDR_SET(out->owner, entry, entry);
	out->owner.incarnation = claim->origin->incarnation;
	out->owner.sequence = claim->sequence;
	out->time_us = claim->time_us;
	if (o) {
		outcome.status = o->status;
		type = claim_outcome_type(o);
		body = claim_outcome_body(o);
		XDR_SET(outcome, content_type, type);
		XDR_SET(outcome, body, body);
		out->outcome = &outcome;
	}
	return visit(arg, &record);
}

static int visit_expired(const struct claim_team *t,
			 int (*visit)(void *, struct snap_record *), void *arg)
{
	int err = 0;

	for (size_t i = 0; !err && i < t->expired.n; i++) {
		const struct keyset_period *p = &t->expired.list[i];

		for (size_t k = 0; !err && k < p->n; k += SNAP_MAX_KEYS) {
			struct snap_record record = {.kind = SNAP_EXPIRED};
			struct snap_expired *out = &record.snap_record_u.expired;
			size_t n = p->n - k;

			XDR_SET(*out, team, team_name(&t->team));
			out->period = p->number;
			out->keys.keys_val = (u_quad_t *)(uintptr_t)(p->keys + k);
			out->keys.keys_len =
				(u_int)(n < SNAP_MAX_KEYS ? n : SNAP_MAX_KEYS);
			err = visit(arg, &record);
		}
	}
	return err;
}

/* Calls visit for the open claims, then for each team's ended claims and expired keys. */
int claims_visit(const struct claims *c, int (*visit)(void *, struct snap_record *),
		 void *arg)
{
	const struct claim *claim;
	int err = 0;

	TAILQ_FOREACH (claim, &c->open, link) {
		err = visit_claim(claim, visit, arg);
		if (err)
			return err;
	}
	for (size_t i = 0; !err && i < c->teams.count; i++) {
		TAILQ_FOREACH (claim, &claim_team_at(c, i)->ended, link) {
			err = visit_claim(claim, visit, arg);
			if (err)
				return err;
		}
		err = visit_expired(claim_team_at(c, i), visit, arg);
	}
	return err;
}

/* Appends a claim from a snapshot to its list. CF_ECORRUPT, CF_ENOSPACE, CF_ENOMEM. */
int claims_load(struct claims *c, const struct snap_claim *in)
{
	struct claim_owner owner = {XDR_STR(in->owner, entry), in->owner.incarnation,
				    in->owner.sequence};
	struct claim_outcome *o = NULL;
	struct claim_team *t;
	struct claim *claim;
	struct claim_id id;
	int err;

	if (in->state >= CLAIM_EXPIRED || (in->state == CLAIM_DONE) != !!in->outcome ||
	    !name_valid(XDR_STR(*in, team)) || in->time_us >> 62)
		return CF_ECORRUPT;
	err = claim_team_add(c, XDR_STR(*in, team), &t);
	if (err)
		return err;
	id.team = t;
	memcpy(id.id, in->id, CMD_HASH);
	if (table_find(&c->table, claim_fingerprint(id.id), &id))
		return CF_ECORRUPT;
	if (in->outcome) {
		err = claim_outcome_copy(in->outcome, &o);
		if (err)
			return err;
	}
	err = claim_add(c, t, id.id, (const uint8_t *)in->hash, &owner, in->time_us,
			&claim);
	if (err) {
		free(o);
		return err;
	}
	claim_set_outcome(c, claim, o);
	if (in->state != CLAIM_OPEN)
		claim_end(c, claim, (enum claim_state)in->state, in->time_us);
	return 0;
}

/* Adds expired keys from a snapshot. Periods must be in ascending order. CF_ECORRUPT. */
int claims_load_expired(struct claims *c, const struct snap_expired *in)
{
	struct claim_team *t;
	int err;

	if (!name_valid(XDR_STR(*in, team)))
		return CF_ECORRUPT;
	err = claim_team_add(c, XDR_STR(*in, team), &t);
	if (err)
		return err;
	if (t->expired.n && t->expired.list[t->expired.n - 1].number > in->period)
		return CF_ECORRUPT;
	for (u_int i = 0; i < in->keys.keys_len; i++) {
		bool added;

		err = keyset_add(&t->expired, in->period, in->keys.keys_val[i], &added);
		if (err)
			return err;
		if (!added)
			return CF_ECORRUPT;
		share_acquire(&c->expired, &t->used_expired, 1);
		c->count[CLAIM_EXPIRED]++;
	}
	return 0;
}
