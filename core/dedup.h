#ifndef CORE_DEDUP_H
#define CORE_DEDUP_H

#include "base/str.h"
#include "core/share.h"
#include "proto/command.h"

/*
 * Results of changes by (team, request id), so that a retried change returns the
 * first result (idempotent retry). A result is kept for keep_us of command time, unless
 * newer results of the same team need its space. The newest result of a team is always
 * kept. With T teams, at most T * (bytes.reserved + one result) + bytes.pool is in use.
 */
struct dedup_options {
	size_t teams;
	struct share_options bytes; /* of a team's records */
	uint64_t keep_us;
};

struct dedup;

/* One result to be stored. */
struct dedup_result {
	struct str team;
	struct str request_id;
	uint64_t index;
	uint64_t time_us;
	uint8_t hash[CMD_HASH]; /* of the command */
	struct str result;
};

void dedup_defaults(struct dedup_options *o);
int dedup_new(const struct dedup_options *o, struct dedup **out);
void dedup_free(struct dedup *d);

int dedup_find(const struct dedup *d, struct str team, struct str request_id,
	       const uint8_t hash[CMD_HASH], struct str *result);
bool dedup_has_room(const struct dedup *d, struct str team);
int dedup_add(struct dedup *d, const struct dedup_result *r);
void dedup_expire(struct dedup *d, uint64_t time_us);
size_t dedup_count(const struct dedup *d);
size_t dedup_bytes(const struct dedup *d);

/* For the snapshot. */
int dedup_walk(const struct dedup *d, int (*visit)(void *, struct snap_record *),
	       void *arg);
int dedup_load(struct dedup *d, const struct snap_result *in);

#endif
