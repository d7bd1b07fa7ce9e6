#ifndef CORE_CLAIM_IMPL_H
#define CORE_CLAIM_IMPL_H

/* Structures and functions private to core/claim*.c. */

#include <sys/queue.h>

#include "core/claim.h"
#include "core/keyset.h"
#include "core/table.h"
#include "core/team.h"

/* One incarnation of an entry process; reference-counted by its claims. */
struct claim_origin {
	LIST_ENTRY(claim_origin) link;
	size_t refs;
	uint64_t incarnation;
	size_t n;
	char entry[CMD_MAX_NAME];
};

LIST_HEAD(claim_origin_list, claim_origin);

struct claim {
	TAILQ_ENTRY(claim) link; /* of the open claims, or of the team's ended ones */
	struct claim_team *team;
	struct claim_origin *origin;
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
	struct claim_list ended; /* ordered by end time */
	uint64_t used_claims;
	uint64_t used_outcomes;
	uint64_t used_expired;
	struct keyset expired;
};

struct claims {
	struct claim_options options;
	struct teams teams;
	struct table table;
	struct claim_list open; /* ordered by grant time */
	struct claim_origin_list origins;
	struct share claims;
	struct share outcomes;
	struct share expired;
	size_t count[CLAIM_STATES];
};

/* Lookup key of the table: the team and the hash of the whole key. */
struct claim_id {
	const struct claim_team *team;
	uint8_t id[CMD_HASH];
};

bool claim_origin_matches(const struct claim_origin *o, struct str entry,
			  uint64_t incarnation);
int claim_origin_get(struct claims *c, struct str entry, uint64_t incarnation,
		     struct claim_origin **out);
void claim_origin_put(struct claim_origin *o);
bool claim_owned_by(const struct claim *claim, const struct claim_owner *owner);
size_t claim_outcome_bytes(const struct claim_outcome *o);
int claim_outcome_copy(const struct command_outcome *in, struct claim_outcome **out);
void claim_set_outcome(struct claims *c, struct claim *claim, struct claim_outcome *o);
int claim_team_add(struct claims *c, struct str name, struct claim_team **out);
void claim_team_release(struct claims *c, struct claim_team *t);
struct claim_team *claim_team_at(const struct claims *c, size_t i);
void claim_end(struct claims *c, struct claim *claim, enum claim_state state,
	       uint64_t time_us);
int claim_expire(struct claims *c, struct claim *claim);
int claim_make_room(struct claims *c, struct claim_team *t, const struct share *share,
		    const uint64_t *used, uint64_t more);
uint64_t claim_fingerprint(const uint8_t id[CMD_HASH]);
void claim_remove(struct claims *c, struct claim *claim);
int claim_key_id(const struct claim_key *key, uint8_t id[CMD_HASH]);
int claim_find(const struct claims *c, const struct claim_key *key, struct claim **out);
int claim_add(struct claims *c, struct claim_team *t, const uint8_t id[CMD_HASH],
	      const uint8_t hash[CMD_HASH], const struct claim_owner *owner,
	      uint64_t time_us, struct claim **out);

#endif
