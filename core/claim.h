#ifndef CORE_CLAIM_H
#define CORE_CLAIM_H

#include "base/str.h"
#include "core/reply.h"
#include "core/share.h"
#include "proto/command.h"

/*
 * Claims for keyed requests that are not idempotent. A key (team, service,
 * Idempotency-Key) is granted to one request. It is granted again only after its owner
 * confirmed with claims_abort() that nothing was sent.
 *
 * Lifetime of the at-most-once guarantee:
 *  - An open claim becomes unknown when its owner leaves the cluster (core/member.h)
 *    or open_us after the grant. An unknown claim is never granted again; a late
 *    outcome from its owner is still stored.
 *  - An ended claim keeps its outcome for keep_us, or until the team needs the space
 *    for newer outcomes. It then expires: only a fingerprint of the key is kept, and
 *    the key is refused with CF_ESTALE.
 *  - An expired key is removed forget_us after its claim ended, never earlier. When
 *    the space for expired keys is used up, new keys are refused (CF_ENOSPACE)
 *    instead. A key is therefore not granted again within forget_us of its outcome;
 *    callers must not reuse a key for longer than that.
 * Two keys may share a fingerprint. The new key is then refused, never run twice.
 */
struct claim_options {
	size_t teams;
	struct share_options claims;   /* open and ended claims of a team */
	struct share_options outcomes; /* bytes of a team's stored outcomes */
	struct share_options expired;  /* expired keys of a team */
	size_t body_bytes;	       /* body of one outcome */
	uint64_t open_us;
	uint64_t keep_us;
	uint64_t forget_us;
};

enum claim_state { CLAIM_OPEN, CLAIM_DONE, CLAIM_UNKNOWN, CLAIM_EXPIRED, CLAIM_STATES };

/* Response to the request, in one allocation. */
struct claim_outcome {
	uint32_t status;
	uint32_t body_n;
	uint16_t type_n;
	char bytes[]; /* content type, body */
};

struct str claim_outcome_type(const struct claim_outcome *o);
struct str claim_outcome_body(const struct claim_outcome *o);

struct claim_key {
	struct str team;
	struct str service;
	struct str key;
};

struct claim_owner {
	struct str entry;
	uint64_t incarnation;
	uint64_t sequence;
};

/* State of a key. The strings are valid until the next change of the claims. */
struct claim_info {
	enum claim_state state;
	struct claim_owner owner; /* zero for an expired key */
	uint64_t time_us;	  /* time of the grant; of the end for an ended claim */
	const struct claim_outcome *outcome;
};

struct claims;

void claim_defaults(struct claim_options *o);
int claims_new(const struct claim_options *o, struct claims **out);
void claims_free(struct claims *c);

/* Commands. The caller has verified that the owner is a live entry process. */
int claims_acquire(struct claims *c, const struct claim_key *key,
		   const uint8_t hash[CMD_HASH], const struct claim_owner *owner,
		   uint64_t time_us, struct reply *reply);
int claims_done(struct claims *c, const struct claim_key *key,
		const struct claim_owner *owner, uint64_t time_us,
		const struct command_outcome *outcome);
int claims_abort(struct claims *c, const struct claim_key *key,
		 const struct claim_owner *owner);
int claims_set_unknown(struct claims *c, const struct claim_key *key,
		       const struct claim_owner *owner, uint64_t time_us);

/* End claims whose owner is lost or whose time has passed. */
void claims_owner_lost(struct claims *c, struct str entry, uint64_t incarnation,
		       uint64_t time_us);
int claims_sweep(struct claims *c, uint64_t time_us);

int claims_get(const struct claims *c, const struct claim_key *key,
	       struct claim_info *out);
size_t claims_count(const struct claims *c, enum claim_state state);
size_t claims_bytes(const struct claims *c);

/* Snapshot export and import. */
int claims_visit(const struct claims *c, int (*visit)(void *, struct snap_record *),
		 void *arg);
int claims_load(struct claims *c, const struct snap_claim *in);
int claims_load_expired(struct claims *c, const struct snap_expired *in);

#endif
