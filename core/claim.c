#include "core/claim.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/err.h"
#include "core/claim_impl.h"
#include "core/team.h"

#define DEFAULT_TEAMS 640
/* A claim takes 117 bytes, an expired key 10 bytes; see bench/bench_store.c. */
static const struct share_options default_claims = {16, 24000, 16000};
static const struct share_options default_outcomes = {2 << 10, 2 << 20, 1 << 20};
static const struct share_options default_expired = {64, 600000, 500000};
#define DEFAULT_BODY_BYTES (64 << 10)
/* Exceeds the longest request deadline, 10 minutes; see core/vocab_schema.c. */
#define DEFAULT_OPEN_US (15ULL * 60 * 1000000)
#define DEFAULT_KEEP_US (3600 * 1000000ULL)
#define DEFAULT_FORGET_US (24ULL * 3600 * 1000000)

/* Returns the first 8 bytes of the hash, most significant first. */
uint64_t claim_fingerprint(const uint8_t id[CMD_HASH])
{
	uint64_t v = 0;

	for (size_t i = 0; i < sizeof(v); i++)
		v = v << 8 | id[i];
	return v;
}

static uint64_t claim_hash(const void *entry)
{
	return claim_fingerprint(((const struct claim *)entry)->id);
}

static bool claim_equal(const void *entry, const void *key)
{
	const struct claim *c = entry;
	const struct claim_id *k = key;

	return c->team == k->team && memcmp(c->id, k->id, CMD_HASH) == 0;
}

static const struct table_ops claim_ops = {claim_hash, claim_equal};

void claim_defaults(struct claim_options *o)
{
	*o = (struct claim_options){
		.teams = DEFAULT_TEAMS,
		.claims = default_claims,
		.outcomes = default_outcomes,
		.expired = default_expired,
		.body_bytes = DEFAULT_BODY_BYTES,
		.open_us = DEFAULT_OPEN_US,
		.keep_us = DEFAULT_KEEP_US,
		.forget_us = DEFAULT_FORGET_US,
	};
}

int claims_new(const struct claim_options *o, struct claims **out)
{
	struct claims *c = calloc(1, sizeof(*c));

	if (!c)
		return CF_ENOMEM;
	c->options = *o;
	c->teams.max = o->teams;
	c->teams.size = sizeof(struct claim_team);
	c->table.ops = &claim_ops;
	c->claims.options = o->claims;
	c->outcomes.options = o->outcomes;
	c->expired.options = o->expired;
	TAILQ_INIT(&c->open);
	LIST_INIT(&c->origins);
	*out = c;
	return 0;
}

/* Unlinks a claim from its list and the table, releases its share and frees it. */
void claim_remove(struct claims *c, struct claim *claim)
{
	struct claim_team *t = claim->team;

	if (claim->state == CLAIM_OPEN) {
		TAILQ_REMOVE(&c->open, claim, link);
	} else {
		TAILQ_REMOVE(&t->ended, claim, link);
	}
	c->count[claim->state]--;
	table_remove(&c->table, claim);
	claim_set_outcome(c, claim, NULL);
	share_release(&c->claims, &t->used_claims, 1);
	claim_origin_put(claim->origin);
	free(claim);
}

void claims_free(struct claims *c)
{
	struct claim *claim;

	if (!c)
		return;
	while ((claim = TAILQ_FIRST(&c->open)))
		claim_remove(c, claim);
	for (size_t i = 0; i < c->teams.count; i++) {
		while ((claim = TAILQ_FIRST(&claim_team_at(c, i)->ended)))
			claim_remove(c, claim);
		keyset_free(&claim_team_at(c, i)->expired);
	}
	table_free(&c->table);
	teams_free(&c->teams);
	free(c);
}

/* Validates a key and computes its 128-bit hash. CF_EINVAL. */
int claim_key_id(const struct claim_key *key, uint8_t id[CMD_HASH])
{
	XXH128_canonical_t canonical;
	char bytes[2 * CMD_MAX_NAME + CMD_MAX_KEY + 2];
	size_t n = 0;

	if (!name_valid(key->team) || !name_valid(key->service) || key->key.n == 0 ||
	    key->key.n > CMD_MAX_KEY)
		return CF_EINVAL;
	/* Names contain no '/', so the concatenation is unambiguous. */
	memcpy(bytes, key->team.p, key->team.n);
	n += key->team.n;
	bytes[n++] = '/';
	memcpy(bytes + n, key->service.p, key->service.n);
	n += key->service.n;
	bytes[n++] = '/';
	memcpy(bytes + n, key->key.p, key->key.n);
	n += key->key.n;
	XXH128_canonicalFromHash(&canonical, XXH3_128bits(bytes, n));
	memcpy(id, canonical.digest, CMD_HASH);
	return 0;
}

/* Looks up a claim. CF_EINVAL: invalid key, CF_ENOENT: no claim. */
int claim_find(const struct claims *c, const struct claim_key *key, struct claim **out)
{
	struct claim_id id = {
		.team = (struct claim_team *)teams_find(&c->teams, key->team)};
	int err = claim_key_id(key, id.id);

	if (err)
		return err;
	*out = id.team ? table_find(&c->table, claim_fingerprint(id.id), &id) : NULL;
	return *out ? 0 : CF_ENOENT;
}

/* Adds an open claim and charges it to the team's share. CF_EINVAL, CF_ENOMEM. */
int claim_add(struct claims *c, struct claim_team *t, const uint8_t id[CMD_HASH],
	      const uint8_t hash[CMD_HASH], const struct claim_owner *owner,
	      uint64_t time_us, struct claim **out)
{
	struct claim *claim = calloc(1, sizeof(*claim));
	int err;

	if (!claim)
		return CF_ENOMEM;
	memcpy(claim->id, id, CMD_HASH);
	memcpy(claim->hash, hash, CMD_HASH);
	claim->team = t;
	claim->sequence = owner->sequence;
	claim->time_us = time_us;
	claim->state = CLAIM_OPEN;
	err = claim_origin_get(c, owner->entry, owner->incarnation, &claim->origin);
	if (err)
		goto fail;
	err = table_add(&c->table, claim);
	if (err)
		goto fail_origin;
	TAILQ_INSERT_TAIL(&c->open, claim, link);
	c->count[CLAIM_OPEN]++;
	share_acquire(&c->claims, &t->used_claims, 1);
	*out = claim;
	return 0;
fail_origin:
	claim_origin_put(claim->origin);
fail:
	free(claim);
	return err;
}

/*
 * Claims a key. Returns 0 without an outcome when granted: the owner may send the
 * request. Returns 0 with the stored outcome when the request is complete.
 * CF_EINPROGRESS: claimed by another request. CF_EUNKNOWN: the outcome is unknown.
 * CF_EREUSED: the key was used with a different request body. CF_ESTALE: the key is
 * expired. CF_ENOSPACE: the team has too many claims or expired keys. A retransmission
 * with the same owner and sequence is granted again.
 */
int claims_acquire(struct claims *c, const struct claim_key *key,
		   const uint8_t hash[CMD_HASH], const struct claim_owner *owner,
		   uint64_t time_us, struct reply *reply)
{
	struct claim_team *t;
	struct claim *claim;
	uint8_t id[CMD_HASH];
	int err = claim_find(c, key, &claim);

	if (!err) {
		if (memcmp(claim->hash, hash, CMD_HASH) != 0)
			return CF_EREUSED;
		if (claim->state == CLAIM_OPEN)
			return claim_owned_by(claim, owner) ? 0 : CF_EINPROGRESS;
		if (claim->state == CLAIM_UNKNOWN)
			return CF_EUNKNOWN;
		reply->outcome = claim->outcome;
		return 0;
	}
	if (err != CF_ENOENT)
		return err;
	err = claim_key_id(key, id);
	if (!err)
		err = claim_team_add(c, key->team, &t);
	if (err)
		return err;
	if (keyset_contains(&t->expired, claim_fingerprint(id)))
		return CF_ESTALE;
	err = claim_make_room(c, t, &c->claims, &t->used_claims, 1);
	if (!err)
		err = claim_add(c, t, id, hash, owner, time_us, &claim);
	if (err)
		claim_team_release(c, t);
	return err;
}

/*
 * Stores the outcome of an open or unknown claim. Idempotent. CF_ESTALE: the claim does
 * not belong to the owner. CF_ETOOBIG, CF_ENOSPACE, CF_ENOMEM: the outcome cannot be
 * stored and the claim becomes unknown.
 */
int claims_done(struct claims *c, const struct claim_key *key,
		const struct claim_owner *owner, uint64_t time_us,
		const struct command_outcome *outcome)
{
	struct claim_outcome *o;
	struct claim *claim;
	int err = claim_find(c, key, &claim);

	if (err)
		return err == CF_ENOENT ? CF_ESTALE : err;
	if (!claim_owned_by(claim, owner))
		return CF_ESTALE;
	if (claim->state == CLAIM_DONE)
		return 0;
	if (claim->state == CLAIM_UNKNOWN) {
		/* Move it to the open claims, which claim_make_room() never expires. */
		TAILQ_REMOVE(&claim->team->ended, claim, link);
		TAILQ_INSERT_TAIL(&c->open, claim, link);
	}
	err = CF_ETOOBIG;
	if (outcome->body.body_len <= c->options.body_bytes) {
		err = claim_make_room(
			c, claim->team, &c->outcomes, &claim->team->used_outcomes,
			sizeof(*o) + outcome->content_type.content_type_len +
				outcome->body.body_len);
		if (!err)
			err = claim_outcome_copy(outcome, &o);
	}
	claim_end(c, claim, err ? CLAIM_UNKNOWN : CLAIM_DONE, time_us);
	if (!err)
		claim_set_outcome(c, claim, o);
	return err;
}

/*
 * Releases an open claim, so that the key can be claimed again. The owner must not have
 * sent the request. CF_ESTALE: the claim does not belong to the owner or has ended.
 */
int claims_abort(struct claims *c, const struct claim_key *key,
		 const struct claim_owner *owner)
{
	struct claim_team *t;
	struct claim *claim;
	int err = claim_find(c, key, &claim);

	if (err)
		return err == CF_ENOENT ? CF_ESTALE : err;
	if (!claim_owned_by(claim, owner) || claim->state != CLAIM_OPEN)
		return CF_ESTALE;
	t = claim->team;
	claim_remove(c, claim);
	claim_team_release(c, t);
	return 0;
}

/*
 * Marks an open claim as unknown, for an owner that cannot determine the outcome.
 * CF_ESTALE: the claim does not belong to the owner or has an outcome.
 */
int claims_set_unknown(struct claims *c, const struct claim_key *key,
		       const struct claim_owner *owner, uint64_t time_us)
{
	struct claim *claim;
	int err = claim_find(c, key, &claim);

	if (err)
		return err == CF_ENOENT ? CF_ESTALE : err;
	if (!claim_owned_by(claim, owner) || claim->state == CLAIM_DONE)
		return CF_ESTALE;
	if (claim->state == CLAIM_OPEN)
		claim_end(c, claim, CLAIM_UNKNOWN, time_us);
	return 0;
}

/* Returns the state of a key. CF_EINVAL, CF_ENOENT: the key was not claimed. */
int claims_get(const struct claims *c, const struct claim_key *key,
	       struct claim_info *out)
{
	struct claim *claim;
	int err = claim_find(c, key, &claim);

	*out = (struct claim_info){.state = CLAIM_EXPIRED};
	if (err == CF_ENOENT) {
		const struct claim_team *t =
			(struct claim_team *)teams_find(&c->teams, key->team);
		uint8_t id[CMD_HASH];

		if (!claim_key_id(key, id) && t &&
		    keyset_contains(&t->expired, claim_fingerprint(id)))
			return 0;
	}
	if (err)
		return err;
	out->state = (enum claim_state)claim->state;
	out->owner = (struct claim_owner){{claim->origin->entry, claim->origin->n},
					  claim->origin->incarnation,
					  claim->sequence};
	out->time_us = claim->time_us;
	out->outcome = claim->outcome;
	return 0;
}

size_t claims_count(const struct claims *c, enum claim_state state)
{
	return c->count[state];
}

/* Returns the memory of claims, outcomes, expired keys and the table, in bytes. */
size_t claims_bytes(const struct claims *c)
{
	size_t bytes = c->table.n * sizeof(struct claim) + c->outcomes.total +
		       table_bytes(&c->table);

	for (size_t i = 0; i < c->teams.count; i++)
		bytes += sizeof(struct claim_team) +
			 keyset_bytes(&claim_team_at(c, i)->expired);
	return bytes;
}
