#include "core/claim.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <xxhash.h>

#include "base/err.h"
#include "core/keyset.h"
#include "core/table.h"
#include "core/team.h"
#include "proto/codec.h"

#define DEFAULT_TEAMS 1024
#define DEFAULT_CLAIMS            \
	{                         \
		64, 100000, 60000 \
	}
#define DEFAULT_OUTCOMES                   \
	{                                  \
		16 << 10, 8 << 20, 4 << 20 \
	}
#define DEFAULT_EXPIRED              \
	{                            \
		256, 1000000, 500000 \
	}
#define DEFAULT_BODY_BYTES (64 << 10)
/* Longer than any deadline of a request (10 minutes), see core/vocab_schema.c. */
#define DEFAULT_OPEN_US (15ULL * 60 * 1000000)
#define DEFAULT_KEEP_US (3600 * 1000000ULL)
#define DEFAULT_FORGET_US (24ULL * 3600 * 1000000)
/* Expired keys are forgotten in this many steps. */
#define PERIODS 24

/* One incarnation of an entry process, shared by its claims. */
struct origin {
	LIST_ENTRY(origin) link;
	size_t refs;
	uint64_t incarnation;
	size_t n;
	char entry[CMD_MAX_NAME];
};

LIST_HEAD(origin_list, origin);

struct claim {
	TAILQ_ENTRY(claim) link; /* of the open claims, or of the team's ended ones */
	struct claim_team *team;
	struct origin *origin;
	struct claim_outcome *outcome;
	uint64_t sequence;
	uint64_t time_us : 62;
	uint64_t state : 2;
	uint8_t id[CMD_HASH];
	uint8_t hash[CMD_HASH];
};

TAILQ_HEAD(claim_list, claim);

struct claim_team {
	struct team team;
	struct claim_list ended; /* in the order in which they ended */
	size_t open;
	uint64_t used_claims;
	uint64_t used_outcomes;
	uint64_t used_expired;
	struct keyset expired;
};

struct claims {
	struct claim_options options;
	struct teams teams;
	struct table table;
	struct claim_list open; /* in the order in which they were granted */
	struct origin_list origins;
	struct share claims;
	struct share outcomes;
	struct share expired;
	size_t count[CLAIM_STATES];
};

/* Key of the table: the hash of the whole key, and the team by itself. */
struct id {
	const struct claim_team *team;
	uint8_t id[CMD_HASH];
};

/* The first 8 bytes of the hash. */
static uint64_t fingerprint(const uint8_t id[CMD_HASH])
{
	uint64_t v = 0;

	for (size_t i = 0; i < sizeof(v); i++)
		v = v << 8 | id[i];
	return v;
}

static uint64_t claim_hash(const void *entry)
{
	return fingerprint(((const struct claim *)entry)->id);
}

static bool claim_equal(const void *entry, const void *key)
{
	const struct claim *c = entry;
	const struct id *k = key;

	return c->team == k->team && memcmp(c->id, k->id, CMD_HASH) == 0;
}

static const struct table_ops claim_ops = {claim_hash, claim_equal};

struct str claim_outcome_type(const struct claim_outcome *o)
{
	return (struct str){o->bytes, o->type_n};
}

struct str claim_outcome_body(const struct claim_outcome *o)
{
	return (struct str){o->bytes + o->type_n, o->body_n};
}

static size_t outcome_bytes(const struct claim_outcome *o)
{
	return o ? sizeof(*o) + o->type_n + o->body_n : 0;
}

void claim_defaults(struct claim_options *o)
{
	*o = (struct claim_options){
		.teams = DEFAULT_TEAMS,
		.claims = DEFAULT_CLAIMS,
		.outcomes = DEFAULT_OUTCOMES,
		.expired = DEFAULT_EXPIRED,
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

static struct claim_team *team_at(const struct claims *c, size_t i)
{
	return (struct claim_team *)c->teams.list[i];
}

static int add_team(struct claims *c, struct str name, struct claim_team **out)
{
	struct team *team;
	int err = teams_add(&c->teams, name, &team);

	if (err)
		return err;
	*out = (struct claim_team *)team;
	if (!(*out)->ended.tqh_last)
		TAILQ_INIT(&(*out)->ended);
	return 0;
}

/*
 * Removes a team without claims and expired keys at once: a snapshot does not carry
 * it, and it would count against the bound on teams at this replica only.
 */
static void release_team(struct claims *c, struct claim_team *t)
{
	if (t->used_claims || t->used_expired)
		return;
	keyset_free(&t->expired);
	teams_remove(&c->teams, &t->team);
}

static bool is_origin(const struct origin *o, struct str entry, uint64_t incarnation)
{
	return o->incarnation == incarnation &&
	       str_eq((struct str){o->entry, o->n}, entry);
}

/* Finds or makes the origin of an owner and adds a reference. */
static int get_origin(struct claims *c, struct str entry, uint64_t incarnation,
		      struct origin **out)
{
	struct origin *o;

	if (entry.n > CMD_MAX_NAME)
		return CF_EINVAL;
	LIST_FOREACH (o, &c->origins, link) {
		if (is_origin(o, entry, incarnation)) {
			o->refs++;
			*out = o;
			return 0;
		}
	}
	o = calloc(1, sizeof(*o));
	if (!o)
		return CF_ENOMEM;
	o->refs = 1;
	o->incarnation = incarnation;
	o->n = entry.n;
	if (entry.n)
		memcpy(o->entry, entry.p, entry.n);
	LIST_INSERT_HEAD(&c->origins, o, link);
	*out = o;
	return 0;
}

static void put_origin(struct origin *o)
{
	if (--o->refs == 0) {
		LIST_REMOVE(o, link);
		free(o);
	}
}

static bool owned_by(const struct claim *claim, const struct claim_owner *owner)
{
	return claim->sequence == owner->sequence &&
	       is_origin(claim->origin, owner->entry, owner->incarnation);
}

static void set_outcome(struct claims *c, struct claim *claim, struct claim_outcome *o)
{
	share_give(&c->outcomes, &claim->team->used_outcomes,
		   outcome_bytes(claim->outcome));
	free(claim->outcome);
	claim->outcome = o;
	share_take(&c->outcomes, &claim->team->used_outcomes, outcome_bytes(o));
}

/* Removes a claim from everything and frees it. */
static void drop(struct claims *c, struct claim *claim)
{
	struct claim_team *t = claim->team;

	if (claim->state == CLAIM_OPEN) {
		TAILQ_REMOVE(&c->open, claim, link);
		t->open--;
	} else {
		TAILQ_REMOVE(&t->ended, claim, link);
	}
	c->count[claim->state]--;
	table_remove(&c->table, claim);
	set_outcome(c, claim, NULL);
	share_give(&c->claims, &t->used_claims, 1);
	put_origin(claim->origin);
	free(claim);
}

void claims_free(struct claims *c)
{
	struct claim *claim;

	if (!c)
		return;
	while ((claim = TAILQ_FIRST(&c->open)))
		drop(c, claim);
	for (size_t i = 0; i < c->teams.count; i++) {
		while ((claim = TAILQ_FIRST(&team_at(c, i)->ended)))
			drop(c, claim);
		keyset_free(&team_at(c, i)->expired);
	}
	table_free(&c->table);
	teams_free(&c->teams);
	free(c);
}

/* Checks a key and computes its hash. CF_EINVAL. */
static int key_id(const struct claim_key *key, uint8_t id[CMD_HASH])
{
	XXH128_canonical_t canonical;
	char bytes[2 * CMD_MAX_NAME + CMD_MAX_KEY + 2];
	size_t n = 0;

	if (!name_valid(key->team) || !name_valid(key->service) || key->key.n == 0 ||
	    key->key.n > CMD_MAX_KEY)
		return CF_EINVAL;
	/* Names contain no '/', so the parts cannot run into each other. */
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

/* Finds a claim. CF_EINVAL for a bad key, CF_ENOENT. */
static int find(const struct claims *c, const struct claim_key *key, struct claim **out)
{
	struct id id = {.team = (struct claim_team *)teams_find(&c->teams, key->team)};
	int err = key_id(key, id.id);

	if (err)
		return err;
	*out = id.team ? table_find(&c->table, fingerprint(id.id), &id) : NULL;
	return *out ? 0 : CF_ENOENT;
}

/* Ends an open claim. */
static void end(struct claims *c, struct claim *claim, enum claim_state state,
		uint64_t time_us)
{
	TAILQ_REMOVE(&c->open, claim, link);
	claim->team->open--;
	c->count[claim->state]--;
	claim->state = state;
	claim->time_us = time_us;
	TAILQ_INSERT_TAIL(&claim->team->ended, claim, link);
	c->count[state]++;
}

/* Turns an ended claim into an expired key. CF_ENOSPACE. */
static int expire(struct claims *c, struct claim *claim)
{
	struct claim_team *t = claim->team;
	uint64_t key;
	int err;

	if (!share_fits(&c->expired, t->used_expired, 1))
		return CF_ENOSPACE;
	key = fingerprint(claim->id);
	if (!keyset_has(&t->expired, key)) {
		err = keyset_add(&t->expired,
				 claim->time_us / (c->options.forget_us / PERIODS), key);
		if (err)
			return err;
		share_take(&c->expired, &t->used_expired, 1);
		c->count[CLAIM_EXPIRED]++;
	}
	drop(c, claim);
	return 0;
}

/*
 * Expires the oldest ended claims of a team until it may use more of a share.
 * CF_ENOSPACE when there are none or no space for their keys.
 */
static int make_room(struct claims *c, struct claim_team *t, const struct share *share,
		     const uint64_t *used, uint64_t more)
{
	struct claim *next = TAILQ_FIRST(&t->ended);

	while (!share_fits(share, *used, more)) {
		struct claim *claim = next;
		int err;

		if (!claim)
			return CF_ENOSPACE;
		next = TAILQ_NEXT(claim, link);
		err = expire(c, claim);
		if (err)
			return err;
	}
	return 0;
}

/* Makes an open claim. */
static int add(struct claims *c, struct claim_team *t, const uint8_t id[CMD_HASH],
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
	err = get_origin(c, owner->entry, owner->incarnation, &claim->origin);
	if (err)
		goto fail;
	err = table_add(&c->table, claim);
	if (err)
		goto fail_origin;
	TAILQ_INSERT_TAIL(&c->open, claim, link);
	t->open++;
	c->count[CLAIM_OPEN]++;
	share_take(&c->claims, &t->used_claims, 1);
	*out = claim;
	return 0;
fail_origin:
	put_origin(claim->origin);
fail:
	free(claim);
	return err;
}

/*
 * Takes the claim on a key. 0 without an outcome: granted, the owner may send the
 * request. 0 with an outcome: the stored one. CF_EINPROGRESS: another request has it.
 * CF_EUNKNOWN: the outcome cannot be known. CF_EREUSED: the key belongs to another
 * request. CF_ESTALE: the key is expired. CF_ENOSPACE: the team has too many claims or
 * expired keys. A resend by the same owner and sequence is granted again.
 */
int claims_take(struct claims *c, const struct claim_key *key,
		const uint8_t hash[CMD_HASH], const struct claim_owner *owner,
		uint64_t time_us, struct reply *reply)
{
	struct claim_team *t;
	struct claim *claim;
	uint8_t id[CMD_HASH];
	int err = find(c, key, &claim);

	if (!err) {
		if (memcmp(claim->hash, hash, CMD_HASH) != 0)
			return CF_EREUSED;
		if (claim->state == CLAIM_OPEN)
			return owned_by(claim, owner) ? 0 : CF_EINPROGRESS;
		if (claim->state == CLAIM_UNKNOWN)
			return CF_EUNKNOWN;
		reply->outcome = claim->outcome;
		return 0;
	}
	if (err != CF_ENOENT)
		return err;
	err = key_id(key, id);
	if (!err)
		err = add_team(c, key->team, &t);
	if (err)
		return err;
	if (keyset_has(&t->expired, fingerprint(id)))
		return CF_ESTALE;
	err = make_room(c, t, &c->claims, &t->used_claims, 1);
	if (!err)
		err = add(c, t, id, hash, owner, time_us, &claim);
	if (err)
		release_team(c, t);
	return err;
}

/* Copies an outcome. */
static int copy_outcome(const struct command_outcome *in, struct claim_outcome **out)
{
	u_int type_n = in->content_type.content_type_len;
	u_int body_n = in->body.body_len;
	struct claim_outcome *o = malloc(sizeof(*o) + type_n + body_n);

	if (!o)
		return CF_ENOMEM;
	o->status = in->status;
	o->body_n = body_n;
	o->type_n = (uint16_t)type_n;
	if (type_n)
		memcpy(o->bytes, in->content_type.content_type_val, type_n);
	if (body_n)
		memcpy(o->bytes + type_n, in->body.body_val, body_n);
	*out = o;
	return 0;
}

/*
 * Stores the outcome of a claim, also of one that became unknown. A resend changes
 * nothing. CF_ESTALE when the owner does not have the claim. CF_ETOOBIG or CF_ENOSPACE
 * when the outcome cannot be stored; the claim is unknown then.
 */
int claims_done(struct claims *c, const struct claim_key *key,
		const struct claim_owner *owner, uint64_t time_us,
		const struct command_outcome *outcome)
{
	struct claim_outcome *o;
	struct claim *claim;
	int err = find(c, key, &claim);

	if (err)
		return err == CF_ENOENT ? CF_ESTALE : err;
	if (!owned_by(claim, owner))
		return CF_ESTALE;
	if (claim->state == CLAIM_DONE)
		return 0;
	if (claim->state == CLAIM_UNKNOWN) {
		/* Back among the open ones, so that making room never expires it. */
		TAILQ_REMOVE(&claim->team->ended, claim, link);
		TAILQ_INSERT_TAIL(&c->open, claim, link);
		claim->team->open++;
	}
	err = CF_ETOOBIG;
	if (outcome->body.body_len <= c->options.body_bytes) {
		err = make_room(c, claim->team, &c->outcomes, &claim->team->used_outcomes,
				sizeof(*o) + outcome->content_type.content_type_len +
					outcome->body.body_len);
		if (!err)
			err = copy_outcome(outcome, &o);
	}
	end(c, claim, err ? CLAIM_UNKNOWN : CLAIM_DONE, time_us);
	if (!err)
		set_outcome(c, claim, o);
	return err;
}

/*
 * Gives an open claim back. Only for an owner that certainly sent nothing. CF_ESTALE
 * when the owner does not have the claim or it ended.
 */
int claims_abort(struct claims *c, const struct claim_key *key,
		 const struct claim_owner *owner)
{
	struct claim_team *t;
	struct claim *claim;
	int err = find(c, key, &claim);

	if (err)
		return err == CF_ENOENT ? CF_ESTALE : err;
	if (!owned_by(claim, owner) || claim->state != CLAIM_OPEN)
		return CF_ESTALE;
	t = claim->team;
	drop(c, claim);
	release_team(c, t);
	return 0;
}

/* Ends an open claim whose outcome the owner cannot know. CF_ESTALE as above. */
int claims_unknown(struct claims *c, const struct claim_key *key,
		   const struct claim_owner *owner, uint64_t time_us)
{
	struct claim *claim;
	int err = find(c, key, &claim);

	if (err)
		return err == CF_ENOENT ? CF_ESTALE : err;
	if (!owned_by(claim, owner) || claim->state == CLAIM_DONE)
		return CF_ESTALE;
	if (claim->state == CLAIM_OPEN)
		end(c, claim, CLAIM_UNKNOWN, time_us);
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
		const struct origin *o = claim->origin;

		if (o->incarnation <= incarnation &&
		    str_eq((struct str){o->entry, o->n}, entry))
			end(c, claim, CLAIM_UNKNOWN, time_us);
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
		end(c, claim, CLAIM_UNKNOWN, time_us);
	for (size_t i = c->teams.count; i > 0; i--) {
		struct claim_team *t = team_at(c, i - 1);
		size_t forgotten = 0;

		/* A period ends when its last moment is older than forget_us. */
		if (time_us >= o->forget_us)
			forgotten = keyset_forget(&t->expired,
						  (time_us - o->forget_us) / width);
		share_give(&c->expired, &t->used_expired, forgotten);
		c->count[CLAIM_EXPIRED] -= forgotten;
		for (claim = TAILQ_FIRST(&t->ended);
		     claim && time_us - claim->time_us >= o->keep_us; claim = next) {
			int err;

			next = TAILQ_NEXT(claim, link);
			err = expire(c, claim);
			if (err == CF_ENOSPACE)
				break;
			if (err)
				return err;
		}
		release_team(c, t);
	}
	return 0;
}

/* Reads the state of a key. CF_ENOENT when it may be taken. */
int claims_get(const struct claims *c, const struct claim_key *key,
	       struct claim_info *out)
{
	struct claim *claim;
	int err = find(c, key, &claim);

	*out = (struct claim_info){.state = CLAIM_EXPIRED};
	if (err == CF_ENOENT) {
		const struct claim_team *t =
			(struct claim_team *)teams_find(&c->teams, key->team);
		uint8_t id[CMD_HASH];

		if (!key_id(key, id) && t && keyset_has(&t->expired, fingerprint(id)))
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

/* Memory of claims, outcomes, expired keys and the table. */
size_t claims_bytes(const struct claims *c)
{
	size_t bytes = c->table.n * sizeof(struct claim) + c->outcomes.total +
		       table_bytes(&c->table);

	for (size_t i = 0; i < c->teams.count; i++)
		bytes +=
			sizeof(struct claim_team) + keyset_bytes(&team_at(c, i)->expired);
	return bytes;
}

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

/* Visits the open claims, then the ended claims and expired keys of each team. */
int claims_walk(const struct claims *c, int (*visit)(void *, struct snap_record *),
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
		TAILQ_FOREACH (claim, &team_at(c, i)->ended, link) {
			err = visit_claim(claim, visit, arg);
			if (err)
				return err;
		}
		err = visit_expired(team_at(c, i), visit, arg);
	}
	return err;
}

/* Adds a claim from a snapshot, behind those of its list. */
int claims_load(struct claims *c, const struct snap_claim *in)
{
	struct claim_owner owner = {XDR_STR(in->owner, entry), in->owner.incarnation,
				    in->owner.sequence};
	struct claim_outcome *o = NULL;
	struct claim_team *t;
	struct claim *claim;
	struct id id;
	int err;

	if (in->state >= CLAIM_EXPIRED || (in->state == CLAIM_DONE) != !!in->outcome ||
	    !name_valid(XDR_STR(*in, team)) || in->time_us >> 62)
		return CF_ECORRUPT;
	err = add_team(c, XDR_STR(*in, team), &t);
	if (err)
		return err;
	id.team = t;
	memcpy(id.id, in->id, CMD_HASH);
	if (table_find(&c->table, fingerprint(id.id), &id))
		return CF_ECORRUPT;
	if (in->outcome) {
		err = copy_outcome(in->outcome, &o);
		if (err)
			return err;
	}
	err = add(c, t, id.id, (const uint8_t *)in->hash, &owner, in->time_us, &claim);
	if (err) {
		free(o);
		return err;
	}
	set_outcome(c, claim, o);
	if (in->state != CLAIM_OPEN)
		end(c, claim, (enum claim_state)in->state, in->time_us);
	return 0;
}

/* Adds expired keys from a snapshot. */
int claims_load_expired(struct claims *c, const struct snap_expired *in)
{
	struct claim_team *t;
	int err;

	if (!name_valid(XDR_STR(*in, team)))
		return CF_ECORRUPT;
	err = add_team(c, XDR_STR(*in, team), &t);
	if (err)
		return err;
	if (t->expired.n && t->expired.list[t->expired.n - 1].number > in->period)
		return CF_ECORRUPT;
	for (u_int i = 0; i < in->keys.keys_len; i++) {
		if (keyset_has(&t->expired, in->keys.keys_val[i]))
			return CF_ECORRUPT;
		err = keyset_add(&t->expired, in->period, in->keys.keys_val[i]);
		if (err)
			return err;
		share_take(&c->expired, &t->used_expired, 1);
		c->count[CLAIM_EXPIRED]++;
	}
	return 0;
}
