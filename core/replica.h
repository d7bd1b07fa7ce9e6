#ifndef CORE_REPLICA_H
#define CORE_REPLICA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

#define REPLICA_MAX_MEMBERS 16
/* Largest proposal; one append message holds at least one entry. */
#define REPLICA_MAX_ENTRY (2U << 20)

enum replica_role {
	REPLICA_LEARNER,      /* not a voter of the membership it knows */
	REPLICA_FOLLOWER,     /* voter without leadership or candidacy */
	REPLICA_PRECANDIDATE, /* sends PREVOTE before it raises the epoch */
	REPLICA_CANDIDATE,    /* requests votes in a new epoch */
	REPLICA_LEADER,
	REPLICA_EXCLUDED, /* data directory older than an acknowledgement that it sent */
	REPLICA_FAILED,	  /* a host operation failed; the process must exit */
};

enum replica_entry_kind {
	REPLICA_DATA = 0,
	REPLICA_BARRIER = 1, /* first entry of an epoch; no data */
	REPLICA_MEMBERS = 2, /* data is an encoded membership */
};

struct replica_entry {
	uint64_t index; /* from 1, without gaps */
	uint64_t epoch;
	enum replica_entry_kind kind;
	struct str data;
};

/* Written durably before any reply that depends on it is sent. */
struct replica_promise {
	uint64_t epoch;
	uint64_t vote;	   /* identity of the candidate, 0: none */
	uint64_t identity; /* random id of the data directory; never 0 */
};

struct replica_member {
	uint64_t id; /* never 0 */
	uint64_t identity;
	bool voter;
};

/* While a member is replaced, its id is listed as a voter and as a learner. */
struct replica_members {
	size_t n;
	struct replica_member list[REPLICA_MAX_MEMBERS];
};

/* Highest log position that a member has acknowledged to a leader of that epoch. */
struct replica_ack {
	uint64_t id;
	uint64_t identity;
	uint64_t epoch;
	uint64_t index;
};

/* How long a member has not answered the leader. */
struct replica_silence {
	uint64_t id;
	uint64_t identity;
	int64_t silent_us;
};

enum replica_msg_kind {
	REPLICA_MSG_PREVOTE = 1,
	REPLICA_MSG_PREVOTE_REPLY = 2,
	REPLICA_MSG_VOTE = 3,
	REPLICA_MSG_VOTE_REPLY = 4,
	REPLICA_MSG_APPEND = 5,
	REPLICA_MSG_APPEND_REPLY = 6,
	REPLICA_MSG_SNAPSHOT = 7,
	REPLICA_MSG_SNAPSHOT_REPLY = 8,
	REPLICA_MSG_HELLO = 9,
	REPLICA_MSG_HELLO_REPLY = 10,
	REPLICA_MSG_JOIN = 11,
	REPLICA_MSG_HANDOVER = 12,
	REPLICA_MSG_HANDOVER_VOTE = 13,
	REPLICA_MSG_LEAVE = 14,
	REPLICA_MSG_LEAVE_REPLY = 15,
	REPLICA_MSG_SILENCE = 16, /* ignored by versions that do not know it */
};

/* proto/replica.x lists the fields of each kind. Pointers are borrowed. */
struct replica_msg {
	enum replica_msg_kind kind;
	bool ok;
	uint64_t from_identity;
	uint64_t to_identity; /* 0 in JOIN only */
	uint64_t life;	      /* of the process that sent HELLO, echoed in the reply */
	uint64_t epoch;
	uint64_t index;
	uint64_t index_epoch;
	uint64_t commit;
	int64_t sent_us; /* sender's clock, echoed in replies */
	uint64_t hint;
	uint64_t offset;
	uint64_t total;
	struct str chunk;
	const struct replica_entry *entries;
	size_t n_entries;
	const struct replica_ack *acks;
	size_t n_acks;
	const struct replica_silence *silences;
	size_t n_silences;
};

/*
 * How far a restarted replica is with the check of its data directory, for which it stays
 * passive.
 */
struct replica_hello {
	bool ended;
	size_t needed; /* replies of members */
	size_t n_replied;
	uint64_t replied[REPLICA_MAX_MEMBERS]; /* ids of members */
	uint64_t leader;		       /* its reply alone sufficed; 0: no */
	int64_t waited_us;
};

/* Steps of admission, told by the replica that takes them. */
enum replica_member_step {
	REPLICA_MEMBER_ASKS,	 /* this replica, of a leader that it does not hear */
	REPLICA_MEMBER_ADMITTED, /* as a learner; by the leader, like the following ones
				  */
	REPLICA_MEMBER_PROMOTED,
	REPLICA_MEMBER_REPLACED, /* removed for a learner with its id */
	REPLICA_MEMBER_GIVEN_UP, /* removed since it did not answer */
	REPLICA_MEMBER_LEFT,	 /* removed after it had announced its end */
};

struct replica_host {
	const struct replica_ops *ops;
};

/*
 * Operations return 0 or a cf_err. CF_ENOSPACE from append, save_promise or save_snapshot
 * means that the disk is full and nothing was stored: the replica gives up leading and
 * tries again later. Any other error is final: the replica enters REPLICA_FAILED and
 * stops voting. Operations must not call back into the replica;
 * replica_synced() is called later, from the event loop.
 */
struct replica_ops {
	void (*send)(struct replica_host *h, uint64_t to, const struct replica_msg *m);
	/* Appends entries to the log file; they may stay unsynced. */
	int (*append)(struct replica_host *h, const struct replica_entry *e, size_t n);
	/* Removes all entries at or after from_index; durable on return. */
	int (*truncate)(struct replica_host *h, uint64_t from_index);
	/* Durable on return. */
	int (*save_promise)(struct replica_host *h, const struct replica_promise *p);
	/*
	 * Starts a sync of everything appended so far; replica_synced(token) reports
	 * its end. At most one sync is outstanding.
	 */
	void (*sync)(struct replica_host *h, uint64_t token);
	/* Called once for each committed entry of any kind, in index order. */
	void (*apply)(struct replica_host *h, const struct replica_entry *e);
	/* Appends the state as of the last applied entry to out. */
	int (*take_snapshot)(struct replica_host *h, struct buf *out);
	/*
	 * Whether load_snapshot() can load these bytes; changes nothing. CF_EMALFORMED,
	 * CF_ECORRUPT.
	 */
	int (*check_snapshot)(struct replica_host *h, struct str state);
	/* Replaces the state with one that take_snapshot() produced. */
	int (*load_snapshot)(struct replica_host *h, uint64_t index, uint64_t epoch,
			     struct str state);
	/* May be NULL. */
	void (*role_changed)(struct replica_host *h, enum replica_role role,
			     uint64_t epoch, uint64_t leader);
	/*
	 * Stores the snapshot file, durable on return. The bytes hold the membership
	 * and the state; replica_options.snapshot returns them after a restart.
	 */
	int (*save_snapshot)(struct replica_host *h, uint64_t index, uint64_t epoch,
			     struct str bytes);
	/*
	 * Log entries up to index are no longer needed. If the log ends before index,
	 * the next entry appended is index + 1.
	 */
	int (*compact)(struct replica_host *h, uint64_t index);
	/*
	 * The leader received JOIN from a process that is not a member under this
	 * identity. May be NULL. Not called when replica_options.auto_admit is set.
	 */
	void (*join_requested)(struct replica_host *h, uint64_t id, uint64_t identity);
	/*
	 * The replica waits for replies of members before it votes, stands or follows,
	 * or this wait has ended. May be NULL. Called at most twice: within
	 * replica_new(), and at the end unless role_changed() reports the exclusion.
	 */
	void (*hello_wait)(struct replica_host *h, const struct replica_hello *w);
	/*
	 * A step for this member was taken. silent_us: time since it last answered a
	 * leader, as far as this one knows. May be NULL.
	 */
	void (*member_step)(struct replica_host *h, enum replica_member_step step,
			    const struct replica_member *m, int64_t silent_us);
};

/* Zero in a numeric field selects the default. All strings are copied. */
struct replica_options {
	struct replica_host *host;
	uint64_t id;
	uint64_t seed;
	/* Ids that get JOIN requests while this replica is not a member. */
	const uint64_t *peers;
	size_t n_peers;
	/*
	 * Initial membership, used when neither the snapshot nor the log holds one.
	 * Only a process that starts a new cluster may set it.
	 */
	const struct replica_members *bootstrap;
	/* Stored state. A new data directory has only promise.identity. */
	struct replica_promise promise;
	struct str snapshot;
	uint64_t snapshot_index;
	uint64_t snapshot_epoch;
	const struct replica_entry *entries;
	size_t n_entries;

	int64_t heartbeat_us;	 /* default 100 ms */
	int64_t election_us;	 /* shortest election timeout, default 600 ms */
	size_t batch_bytes;	 /* of one append message, default 256 KiB */
	size_t window_bytes;	 /* unacknowledged for each follower, default 1 MiB */
	size_t chunk_bytes;	 /* of one snapshot message, default 256 KiB */
	size_t pending_bytes;	 /* uncommitted proposals, default 8 MiB */
	uint64_t snapshot_every; /* entries between snapshots, default 20,000 */
	size_t snapshot_bytes;	 /* log bytes between snapshots, default 16 MiB */
	uint64_t keep_entries;	 /* kept before a snapshot, default 2,000 */
	size_t keep_bytes;	 /* the same in bytes, default 4 MiB */
	size_t max_snapshot;	 /* largest snapshot accepted, default 256 MiB */
	/* The leader admits, promotes and replaces senders of JOIN, if in peers. */
	bool auto_admit;
	/* With auto_admit: also processes that are not in peers. */
	bool admit_any;
	/* With auto_admit: members above this count stay learners; 0: no limit. */
	size_t max_voters;
	/*
	 * With max_voters: a voter that was not heard for this long gives its place to a
	 * learner that has caught up. Default 2.5 s.
	 */
	int64_t member_timeout_us;
	/*
	 * A leader whose sync takes longer hands over if the others commit without its
	 * disk. Default 300 ms, half of the election timeout.
	 */
	int64_t sync_timeout_us;
	/* For benchmarks only. */
	bool no_group_commit;
	bool propose_before_barrier;
	bool no_snapshots;
};

struct replica;

/*
 * Allocation bound: the log since the last snapshot (snapshot_bytes + keep_bytes +
 * pending_bytes), the last snapshot, one older snapshot for each follower that is
 * receiving it, and one partly received snapshot.
 */
int replica_new(const struct replica_options *opt, struct replica **out, int64_t now_us);
void replica_free(struct replica *r);
void replica_tick(struct replica *r, int64_t now_us);
int64_t replica_deadline(const struct replica *r);
int replica_receive(struct replica *r, uint64_t from, const struct replica_msg *m,
		    int64_t now_us);
int replica_propose(struct replica *r, struct str data, int64_t now_us, uint64_t *index);
void replica_synced(struct replica *r, uint64_t token, int64_t now_us);
void replica_sync_failed(struct replica *r, int err);
int replica_transfer_leadership(struct replica *r, int64_t now_us);
void replica_leave(struct replica *r, int64_t now_us);
bool replica_may_leave(const struct replica *r);

int64_t replica_lease_end_us(const struct replica *r);
bool replica_lease_valid(const struct replica *r, int64_t now_us);
bool replica_ready(const struct replica *r);
enum replica_role replica_role(const struct replica *r);
uint64_t replica_leader(const struct replica *r);
uint64_t replica_epoch(const struct replica *r);
uint64_t replica_committed(const struct replica *r);
uint64_t replica_last_index(const struct replica *r);
int replica_failure(const struct replica *r);
bool replica_disk_is_full(const struct replica *r);
const struct replica_members *replica_members(const struct replica *r);
int64_t replica_leader_last_heard_us(const struct replica *r);
size_t replica_memory(const struct replica *r);

/* Replaces the ids that get JOIN requests. */
void replica_set_peers(struct replica *r, const uint64_t *ids, size_t n);
int replica_add_learner(struct replica *r, uint64_t id, uint64_t identity,
			int64_t now_us);
int replica_promote(struct replica *r, uint64_t id, uint64_t identity, int64_t now_us);
int replica_remove(struct replica *r, uint64_t id, uint64_t identity, int64_t now_us);

int replica_msg_encode(const struct replica_msg *m, struct buf *out);
int replica_msg_decode(struct str bytes, struct replica_msg **out);
void replica_msg_free(struct replica_msg *m);

#endif
