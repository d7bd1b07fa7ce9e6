#ifndef CORE_MEMBER_H
#define CORE_MEMBER_H

#include "base/str.h"
#include "proto/command.h"

/*
 * State processes with their data identity, and entry processes with the incarnation
 * that owns claims. An incarnation is a start of an entry process; each start
 * registers a higher one.
 *
 * An incarnation is gone when a higher one registers, when the leader says so, or when
 * the leader of the present epoch has recorded entry processes for gone_timeout_us
 * without this one. This is final: the process must register a higher incarnation.
 */
struct member_options {
	size_t members; /* at least 1; if full, evicts the oldest gone entry */
	uint64_t gone_timeout_us;
};

struct member {
	struct str name;
	struct str address;
	bool entry;
	/* State processes. */
	bool voter;
	uint8_t identity[CMD_HASH];
	/* Entry processes. */
	bool gone;
	uint64_t incarnation;
	uint64_t seen_epoch;
	uint64_t seen_us;
};

struct members;

/* Called once for each incarnation that is gone. */
struct member_host {
	void (*entry_gone)(struct member_host *host, struct str entry,
			   uint64_t incarnation, uint64_t time_us);
};

void member_defaults(struct member_options *o);
int members_new(const struct member_options *o, struct members **out);
void members_free(struct members *m);

/* Commands. */
int members_set_state(struct members *m, const struct command_member_state *in);
int members_register_entry(struct members *m, const struct command_member_entry *in,
			   uint64_t time_us, struct member_host *host);
int members_record_contact(struct members *m, const struct command_member_seen *in,
			   uint64_t time_us, struct member_host *host);
int members_end(struct members *m, const struct command_member_gone *in, uint64_t time_us,
		struct member_host *host);

/* Reading. */
const struct member *members_find(const struct members *m, bool entry, struct str name);
bool members_entry_is_live(const struct members *m, struct str entry,
			   uint64_t incarnation);
size_t members_count(const struct members *m);
const struct member *members_at(const struct members *m, size_t i);
uint64_t members_epoch(const struct members *m);

/* For the snapshot. */
int members_walk(const struct members *m, int (*visit)(void *, struct snap_record *),
		 void *arg);
int members_load(struct members *m, const struct snap_member *in);
int members_load_epoch(struct members *m, const struct snap_epoch *in);

#endif
