#ifndef CORE_REPLICA_PRIV_H
#define CORE_REPLICA_PRIV_H

#include "base/prng.h"
#include "core/replica.h"

/* Each clock runs at a rate within one part in 1,000 of true time. */
#define REPLICA_DRIFT_PARTS 1000
/* Bytes accounted for each log entry in addition to its data. */
#define REPLICA_ENTRY_OVERHEAD 64
#define REPLICA_NEVER INT64_MIN

/* Entries after base, held in memory. */
struct replica_log {
	struct replica_entry *e; /* data owned */
	uint64_t *end_offset;	 /* running count of bytes after each entry */
	size_t n;
	size_t cap;
	uint64_t base;
	uint64_t base_epoch;
	uint64_t base_end_offset;
};

struct replica_snapshot {
	unsigned int refs;
	uint64_t index;
	uint64_t epoch;
	struct buf bytes;
};

enum replica_peer_mode {
	REPLICA_PEER_PROBE,  /* the last matching log position is not known */
	REPLICA_PEER_STREAM, /* entries are sent ahead of acknowledgements */
	REPLICA_PEER_SNAPSHOT,
};

struct replica_peer {
	uint64_t id;
	uint64_t identity;
	enum replica_peer_mode mode;
	bool voter;
	bool probe_sent;
	bool granted;		/* granted its vote or pre-vote in this election */
	bool hello_replied;	/* answered HELLO */
	uint64_t next;		/* next entry to send */
	uint64_t match;		/* durable on the peer and matching */
	int64_t acked_send_us;	/* local send time of the newest message it answered */
	int64_t answered_us;	/* an earlier leader; REPLICA_NEVER: not known */
	int64_t leave_until_us; /* it has announced that it ends; else in the past */
	struct replica_snapshot *snap;
	uint64_t snap_offset;
	int64_t snap_sent_us;
};

struct replica {
	struct replica_host *host;
	struct replica_options opt; /* pointers in it are not used after replica_new() */
	uint64_t id;
	uint64_t identity;
	uint64_t life; /* random number of this process; never 0 */
	struct prng prng;
	uint64_t peers[REPLICA_MAX_MEMBERS];
	size_t n_peers;

	enum replica_role role;
	int failure;
	int64_t now_us;
	struct replica_promise promise;
	uint64_t leader;
	uint64_t leader_identity;
	bool verified;	       /* the data directory is new or passed the check */
	bool counted_as_voter; /* in the log of a candidate with a shorter log */
	struct replica_member hello_leader; /* leader that got HELLO; id 0: none */
	int64_t leader_last_heard_us; /* a start counts, as a reply may have left before
				       */
	int64_t heard_us;	      /* a leader in this life */
	int64_t told_us;	      /* by a leader, who is silent */
	int64_t election_at_us;
	int64_t hello_at_us;
	int64_t hello_started_us;
	int64_t join_at_us;
	bool asks;    /* for admission, since a leader was heard last */
	bool leaving; /* this process ends soon; set once */
	bool left;    /* while leaving: no member any more */
	int64_t leave_at_us;

	struct replica_log log;
	uint64_t commit;
	uint64_t applied;
	struct replica_members members;		/* newest in the log; in force */
	struct replica_members applied_members; /* at applied */
	uint64_t members_index;			/* entry of members */

	/* Disk: written is the last entry appended, durable the last one synced. */
	uint64_t written;
	uint64_t durable;
	uint64_t sync_token;
	uint64_t sync_index; /* covered by the outstanding sync */
	int64_t sync_started_us;
	bool syncing;
	bool disk_full; /* a write was refused; only retries write until one succeeds */
	int64_t disk_retry_at_us;
	int64_t snap_retry_at_us; /* a snapshot did not fit before */

	/* Follower. */
	uint64_t verified_index; /* matches the leader's log up to here */
	uint64_t leader_commit;
	int64_t leader_sent_us; /* sent_us of the leader's newest message */
	bool ack_pending;

	/* Leader. */
	struct replica_peer peer[REPLICA_MAX_MEMBERS];
	size_t n_peer;
	uint64_t barrier;
	bool ready;
	int64_t elected_us;
	int64_t lease_expires_us;
	int64_t heartbeat_at_us;
	unsigned int heartbeat_count;
	uint64_t heartbeat_commit; /* commit at the last heartbeat */
	bool acks_changed;
	struct replica_member join_requests[REPLICA_MAX_MEMBERS];
	size_t n_join_requests;

	struct replica_snapshot *snap; /* newest own snapshot */
	uint64_t snap_end_offset;      /* byte count of the log at it */
	/* Snapshot being received. */
	struct buf receiving;
	uint64_t receiving_index;
	uint64_t receiving_epoch;
	uint64_t receiving_total;

	struct replica_ack acks[REPLICA_MAX_MEMBERS];
	size_t n_acks;
};

/* replica.c */
void replica_fail(struct replica *r, int err);
void replica_set_role(struct replica *r, enum replica_role role, uint64_t leader);
void replica_send(struct replica *r, uint64_t to, uint64_t to_identity,
		  struct replica_msg *m);
bool replica_is_halted(const struct replica *r);
bool replica_save_promise(struct replica *r, uint64_t epoch, uint64_t vote);

/* replica_log.c */
uint64_t replica_log_last(const struct replica_log *l);
uint64_t replica_log_epoch(const struct replica_log *l, uint64_t index);
uint64_t replica_log_end_offset(const struct replica_log *l, uint64_t index);
const struct replica_entry *replica_log_at(const struct replica_log *l, uint64_t index);
int replica_log_append(struct replica_log *l, const struct replica_entry *e);
void replica_log_truncate(struct replica_log *l, uint64_t from_index);
void replica_log_compact(struct replica_log *l, uint64_t index);
void replica_log_reset(struct replica_log *l, uint64_t base, uint64_t base_epoch);
void replica_log_free(struct replica_log *l);

/* replica_disk.c */
void replica_disk_flush(struct replica *r);
void replica_disk_set_full(struct replica *r);
bool replica_disk_is_stalled(const struct replica *r);
void replica_disk_check_sync(struct replica *r);
void replica_disk_retry(struct replica *r);
void replica_disk_truncate(struct replica *r, uint64_t from_index);

/* replica_elect.c */
void replica_elect_reset(struct replica *r);
void replica_elect_start(struct replica *r);
void replica_elect_request(struct replica *r, uint64_t from, const struct replica_msg *m);
void replica_elect_reply(struct replica *r, struct replica_peer *p,
			 const struct replica_msg *m);
void replica_step_down(struct replica *r, uint64_t leader);
void replica_elect_handover(struct replica *r, uint64_t from,
			    const struct replica_msg *m);
bool replica_adopt_epoch(struct replica *r, uint64_t epoch);
size_t replica_quorum(const struct replica *r);

/* replica_lead.c */
void replica_lead_start(struct replica *r);
void replica_lead_tick(struct replica *r);
void replica_lead_broadcast(struct replica *r);
void replica_lead_send(struct replica *r, struct replica_peer *p);
void replica_lead_reply(struct replica *r, struct replica_peer *p,
			const struct replica_msg *m);
void replica_lead_commit(struct replica *r);
int replica_lead_append(struct replica *r, enum replica_entry_kind kind, struct str data,
			uint64_t *index);

/* replica_lease.c */
void replica_lease_update(struct replica *r);
int64_t replica_lease_duration(const struct replica *r);
int64_t replica_lease_deadline(const struct replica *r);
bool replica_lease_check(struct replica *r);

/* replica_follow.c */
void replica_follow_append(struct replica *r, uint64_t from, const struct replica_msg *m);
bool replica_follow_accept_leader(struct replica *r, uint64_t from,
				  const struct replica_msg *m);
void replica_follow_ack(struct replica *r);
void replica_follow_commit(struct replica *r);
void replica_apply(struct replica *r);

/* replica_snap.c */
void replica_snap_take_if_due(struct replica *r);
void replica_snap_send(struct replica *r, struct replica_peer *p);
void replica_snap_receive(struct replica *r, uint64_t from, const struct replica_msg *m);
void replica_snap_reply(struct replica *r, struct replica_peer *p,
			const struct replica_msg *m);
struct replica_snapshot *replica_snap_new(uint64_t index, uint64_t epoch,
					  struct str bytes);
void replica_snap_release(struct replica_snapshot *s);

/* replica_member.c */
const struct replica_member *replica_member_find(const struct replica_members *m,
						 uint64_t id, uint64_t identity);
struct replica_peer *replica_peer_find(struct replica *r, uint64_t id, uint64_t identity);
void replica_members_activate(struct replica *r, const struct replica_members *m,
			      uint64_t index);
int replica_members_reload(struct replica *r);
bool replica_is_voter(const struct replica *r);
bool replica_may_campaign(const struct replica *r);
void replica_role_update(struct replica *r);
void replica_join_request(struct replica *r, uint64_t from, const struct replica_msg *m);
void replica_join_send(struct replica *r);
void replica_member_note(struct replica *r, enum replica_member_step step, uint64_t id,
			 uint64_t identity, int64_t silent_us);
int replica_member_remove(struct replica *r, enum replica_member_step step, uint64_t id,
			  uint64_t identity);
int replica_member_promote(struct replica *r, uint64_t id, uint64_t identity);
void replica_admit_tick(struct replica *r);
size_t replica_voter_count(const struct replica *r);

/* replica_silence.c */
int64_t replica_silence_us(const struct replica *r, const struct replica_peer *p);
void replica_silence_elected(struct replica *r);
void replica_silence_send(struct replica *r);
void replica_silence_receive(struct replica *r, uint64_t from,
			     const struct replica_msg *m);

/* replica_leave.c */
void replica_leave_send(struct replica *r);
void replica_leave_receive(struct replica *r, uint64_t from, const struct replica_msg *m);
void replica_leave_reply(struct replica *r, uint64_t from, const struct replica_msg *m);
bool replica_peer_leaves(const struct replica *r, const struct replica_peer *p);
bool replica_leave_step(struct replica *r, const struct replica_peer *spare);

/* replica_verify.c */
void replica_ack_record(struct replica *r, uint64_t id, uint64_t identity, uint64_t epoch,
			uint64_t index);
void replica_hello_start(struct replica *r, bool fresh);
void replica_hello_send(struct replica *r);
void replica_hello_send_leader(struct replica *r, uint64_t from,
			       const struct replica_msg *m);
void replica_hello_receive(struct replica *r, uint64_t from, const struct replica_msg *m);
void replica_hello_reply(struct replica *r, uint64_t from, const struct replica_msg *m);
bool replica_ack_check(struct replica *r, uint64_t epoch, uint64_t index);

/* replica_codec.c */
int replica_members_encode(const struct replica_members *m, struct buf *out);
int replica_members_decode(struct str bytes, struct replica_members *m);
int replica_image_encode(const struct replica_members *m, struct str state,
			 struct buf *out);
int replica_image_decode(struct str bytes, struct replica_members *m, struct buf *state);

#endif
