#ifndef CORE_STORE_H
#define CORE_STORE_H

#include "base/str.h"
#include "core/claim.h"
#include "core/conf.h"
#include "core/dedup.h"
#include "core/job.h"
#include "core/member.h"

/*
 * The replicated state machine. Replicas that apply the same commands produce identical
 * snapshots, byte for byte, even if some were restored from a snapshot in between. All
 * replicas must use the same options.
 */
struct store_options {
	struct conf_options conf;
	struct claim_options claim;
	struct job_options job;
	struct member_options member;
	struct dedup_options dedup;
};

struct store;

void store_defaults(struct store_options *o);
int store_new(const struct store_options *o, struct store **out);
void store_free(struct store *s);

int store_apply(struct store *s, uint64_t index, struct str bytes, struct buf *result);
int store_snapshot(const struct store *s, struct buf *out);
int store_snapshot_write(const struct store *s, int (*sink)(void *arg, struct str bytes),
			 void *arg);
int store_restore(struct store *s, struct str snapshot);
int store_check_snapshot(const struct store *s, struct str snapshot);

/* Sets the time of an encoded command; the leader calls it before proposing. */
int store_set_command_time(struct buf *bytes, uint64_t time_us);

/* Read access; valid until the next change. */
uint64_t store_index(const struct store *s);
uint64_t store_time_us(const struct store *s);
const struct conf *store_conf(const struct store *s);
const struct claims *store_claims(const struct store *s);
const struct jobs *store_jobs(const struct store *s);
struct capacity_list;
const struct capacity_list *store_capacities(const struct store *s);
const struct members *store_members(const struct store *s);
const struct dedup *store_dedup(const struct store *s);

#endif
