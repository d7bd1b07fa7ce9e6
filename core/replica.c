#include "core/replica.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/replica_priv.h"

#define MEMBER_TIMEOUT_US 2500000
#define SYNC_TIMEOUT_US 300000
#define HEARTBEAT_US 100000
/* Of epochs and indexes; no cluster lives for so many. */
#define NUMBER_MAX (1ULL << 62)
#define ELECTION_US 600000
#define BATCH_BYTES (256U << 10)
#define WINDOW_BYTES (1U << 20)
#define CHUNK_BYTES (256U << 10)
#define PENDING_BYTES (8U << 20)
#define SNAPSHOT_EVERY 20000
#define SNAPSHOT_BYTES (16U << 20)
#define KEEP_ENTRIES 2000
#define KEEP_BYTES (4U << 20)
#define MAX_SNAPSHOT (256U << 20)

/* A failed or excluded replica no longer sends, votes or applies entries. */
bool replica_is_halted(const struct replica *r)
{
	return r->role == REPLICA_FAILED || r->role == REPLICA_EXCLUDED;
}

void replica_set_role(struct replica *r, enum replica_role role, uint64_t leader)
{
	if (r->role == role && r->leader == leader)
		return;
	r->role = role;
	r->leader = leader;
	if (r->host->ops->role_changed)
		r->host->ops->role_changed(r->host, role, r->promise.epoch, leader);
}

/* Enters REPLICA_FAILED, which is final; the first error is kept. */
void replica_fail(struct replica *r, int err)
{
	if (r->role == REPLICA_FAILED)
		return;
	r->failure = err;
	r->ready = false;
	r->lease_expires_us = REPLICA_NEVER;
	replica_set_role(r, REPLICA_FAILED, 0);
}

void replica_send(struct replica *r, uint64_t to, uint64_t to_identity,
		  struct replica_msg *m)
{
	if (replica_is_halted(r))
		return;
	m->from_identity = r->identity;
	m->to_identity = to_identity;
	r->host->ops->send(r->host, to, m);
}

/* Saves a promise durably. On false, nothing that depends on it may be sent. */
bool replica_save_promise(struct replica *r, uint64_t epoch, uint64_t vote)
{
	struct replica_promise p = {
		.epoch = epoch, .vote = vote, .identity = r->identity};
	int err = r->host->ops->save_promise(r->host, &p);

	if (err == CF_ENOSPACE) {
		replica_disk_set_full(r);
		return false;
	}
	if (err) {
		replica_fail(r, err);
		return false;
	}
	if (epoch > r->promise.epoch) {
		r->verified_index = r->commit;
		r->leader_commit = r->commit;
		r->ack_pending = false;
		buf_free(&r->receiving);
		r->receiving_index = 0;
	}
	r->promise = p;
	return true;
}

#define DEFAULT(field, value)                   \
	do {                                    \
		if (r->opt.field == 0)          \
			r->opt.field = (value); \
	} while (0)

static void replica_defaults(struct replica *r)
{
	DEFAULT(heartbeat_us, HEARTBEAT_US);
	DEFAULT(election_us, ELECTION_US);
	DEFAULT(batch_bytes, BATCH_BYTES);
	DEFAULT(window_bytes, WINDOW_BYTES);
	DEFAULT(chunk_bytes, CHUNK_BYTES);
	DEFAULT(pending_bytes, PENDING_BYTES);
	DEFAULT(snapshot_every, SNAPSHOT_EVERY);
	DEFAULT(snapshot_bytes, SNAPSHOT_BYTES);
	DEFAULT(keep_entries, KEEP_ENTRIES);
	DEFAULT(keep_bytes, KEEP_BYTES);
	DEFAULT(max_snapshot, MAX_SNAPSHOT);
	DEFAULT(member_timeout_us, MEMBER_TIMEOUT_US);
	DEFAULT(sync_timeout_us, SYNC_TIMEOUT_US);
}

/* Saves the initial membership as a snapshot at index 0. */
static int replica_bootstrap(struct replica *r, const struct replica_members *m)
{
	struct buf image = {0};
	int err;

	if ((err = replica_image_encode(m, (struct str){0}, &image)) ||
	    (err = r->host->ops->save_snapshot(r->host, 0, 0, buf_str(&image))))
		goto out;
	r->applied_members = *m;
out:
	buf_free(&image);
	return err;
}

static int replica_restore_snapshot(struct replica *r, const struct replica_options *opt)
{
	struct buf state = {0};
	int err;

	err = replica_image_decode(opt->snapshot, &r->applied_members, &state);
	if (err) {
		err = CF_ECORRUPT;
		goto out;
	}
	replica_log_reset(&r->log, opt->snapshot_index, opt->snapshot_epoch);
	r->commit = r->applied = opt->snapshot_index;
	if (opt->snapshot_index == 0)
		goto out;
	r->snap =
		replica_snap_new(opt->snapshot_index, opt->snapshot_epoch, opt->snapshot);
	if (!r->snap) {
		err = CF_ENOMEM;
		goto out;
	}
	err = r->host->ops->load_snapshot(r->host, opt->snapshot_index,
					  opt->snapshot_epoch, buf_str(&state));
out:
	buf_free(&state);
	return err;
}

static int replica_restore(struct replica *r, const struct replica_options *opt)
{
	bool fresh = opt->promise.epoch == 0 && opt->n_entries == 0;
	int err = 0;

	if (opt->snapshot.n) {
		err = replica_restore_snapshot(r, opt);
		fresh = fresh && opt->snapshot_index == 0;
	} else if (opt->bootstrap) {
		if (!fresh)
			return CF_EEXIST;
		err = replica_bootstrap(r, opt->bootstrap);
	}
	for (size_t i = 0; !err && i < opt->n_entries; i++) {
		if (opt->entries[i].index > opt->snapshot_index)
			err = replica_log_append(&r->log, &opt->entries[i]);
	}
	if (err)
		return err == CF_EINVAL ? CF_ECORRUPT : err;
	r->written = r->durable = replica_log_last(&r->log);
	r->verified_index = r->leader_commit = r->commit;
	/*
	 * A reply sent before the restart may still support a leader's lease.
	 */
	r->leader_last_heard_us = fresh ? REPLICA_NEVER : r->now_us;
	err = replica_members_reload(r);
	if (!err)
		replica_hello_start(r, fresh);
	return err;
}

/* Draws from a generator of its own: the seed also sets the election timeouts. */
static uint64_t replica_life(uint64_t seed)
{
	struct prng p = {.state = ~seed};

	return prng_next(&p) | 1;
}

/*
 * Creates a replica from its stored state. CF_EINVAL: option out of range.
 * CF_ECORRUPT: stored state does not decode or has a gap. CF_EEXIST: bootstrap of a
 * directory in use.
 */
int replica_new(const struct replica_options *opt, struct replica **out, int64_t now_us)
{
	struct replica *r;
	int err;

	if (!opt->host || opt->id == 0 || opt->promise.identity == 0 ||
	    opt->n_peers > REPLICA_MAX_MEMBERS)
		return CF_EINVAL;
	r = calloc(1, sizeof(*r));
	if (!r)
		return CF_ENOMEM;
	r->host = opt->host;
	r->opt = *opt;
	replica_defaults(r);
	r->id = opt->id;
	r->identity = opt->promise.identity;
	r->promise = opt->promise;
	r->prng.state = opt->seed;
	r->life = replica_life(opt->seed);
	r->now_us = now_us;
	r->role = REPLICA_LEARNER;
	r->lease_expires_us = REPLICA_NEVER;
	r->n_peers = opt->n_peers;
	if (opt->n_peers)
		memcpy(r->peers, opt->peers, opt->n_peers * sizeof(r->peers[0]));
	r->join_at_us = now_us;
	r->heard_us = REPLICA_NEVER;
	r->told_us = REPLICA_NEVER;
	replica_elect_reset(r);
	err = replica_restore(r, opt);
	if (err) {
		replica_free(r);
		return err;
	}
	*out = r;
	return 0;
}

void replica_free(struct replica *r)
{
	if (!r)
		return;
	for (size_t i = 0; i < r->n_peer; i++)
		replica_snap_release(r->peer[i].snap);
	replica_snap_release(r->snap);
	replica_log_free(&r->log);
	buf_free(&r->receiving);
	free(r);
}

/* Runs the timers that are due. */
void replica_tick(struct replica *r, int64_t now_us)
{
	if (replica_is_halted(r))
		return;
	r->now_us = now_us;
	if (r->disk_full && now_us >= r->disk_retry_at_us)
		replica_disk_retry(r);
	if (replica_is_halted(r))
		return;
	if (r->role == REPLICA_LEADER) {
		replica_lead_tick(r);
		return;
	}
	if (!r->verified && now_us >= r->hello_at_us)
		replica_hello_send(r);
	if (r->leaving && now_us >= r->leave_at_us)
		replica_leave_send(r);
	if (!r->leaving && r->n_peers && now_us >= r->join_at_us)
		replica_join_send(r);
	if (now_us >= r->election_at_us) {
		replica_elect_reset(r);
		replica_elect_start(r);
	}
}

static int64_t min_i64(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

/* Returns when replica_tick() is next due, INT64_MAX for never. */
int64_t replica_deadline(const struct replica *r)
{
	int64_t at = r->election_at_us;

	if (replica_is_halted(r))
		return INT64_MAX;
	if (r->role == REPLICA_LEADER)
		return min_i64(r->heartbeat_at_us, replica_lease_deadline(r));
	if (r->disk_full)
		at = min_i64(at, r->disk_retry_at_us);
	if (!r->verified)
		at = min_i64(at, r->hello_at_us);
	if (r->leaving)
		at = min_i64(at, r->leave_at_us);
	else if (r->n_peers)
		at = min_i64(at, r->join_at_us);
	return at;
}

static void replica_receive_reply(struct replica *r, struct replica_peer *p,
				  const struct replica_msg *m)
{
	switch (m->kind) {
	case REPLICA_MSG_PREVOTE_REPLY:
	case REPLICA_MSG_VOTE_REPLY:
		replica_elect_reply(r, p, m);
		break;
	case REPLICA_MSG_APPEND_REPLY:
		replica_lead_reply(r, p, m);
		break;
	case REPLICA_MSG_SNAPSHOT_REPLY:
		replica_snap_reply(r, p, m);
		break;
	default:
		break;
	}
}

/* Whether the numbers of a message can be counted on without a wrap. */
static bool is_in_range(const struct replica_msg *m)
{
	return m->epoch <= NUMBER_MAX && m->index <= NUMBER_MAX &&
	       m->index_epoch <= NUMBER_MAX && m->commit <= NUMBER_MAX &&
	       m->hint <= NUMBER_MAX;
}

/*
 * Handles a message from another process. CF_EINVAL: it is of no known kind, or its
 * numbers are out of range. CF_EFOREIGN: it is addressed to another identity, or answers
 * under an identity that is not a member's. CF_EUNAVAIL: this replica has failed or is
 * excluded.
 */
int replica_receive(struct replica *r, uint64_t from, const struct replica_msg *m,
		    int64_t now_us)
{
	struct replica_peer *p;

	if (replica_is_halted(r))
		return CF_EUNAVAIL;
	if (!is_in_range(m))
		return CF_EINVAL;
	r->now_us = now_us;
	replica_lease_check(r);
	if (m->kind == REPLICA_MSG_JOIN) {
		replica_join_request(r, from, m);
		return 0;
	}
	if (m->to_identity != r->identity || from == r->id)
		return CF_EFOREIGN;
	switch (m->kind) {
	case REPLICA_MSG_PREVOTE:
	case REPLICA_MSG_VOTE:
	case REPLICA_MSG_HANDOVER_VOTE:
		replica_elect_request(r, from, m);
		return 0;
	case REPLICA_MSG_HANDOVER:
		replica_elect_handover(r, from, m);
		return 0;
	case REPLICA_MSG_APPEND:
		replica_follow_append(r, from, m);
		return 0;
	case REPLICA_MSG_SNAPSHOT:
		replica_snap_receive(r, from, m);
		return 0;
	case REPLICA_MSG_HELLO:
		replica_hello_receive(r, from, m);
		return 0;
	case REPLICA_MSG_PREVOTE_REPLY:
	case REPLICA_MSG_VOTE_REPLY:
	case REPLICA_MSG_APPEND_REPLY:
	case REPLICA_MSG_SNAPSHOT_REPLY:
		p = replica_peer_find(r, from, m->from_identity);
		if (!p)
			return CF_EFOREIGN;
		replica_receive_reply(r, p, m);
		return 0;
	case REPLICA_MSG_HELLO_REPLY:
		replica_hello_reply(r, from, m);
		return 0;
	case REPLICA_MSG_LEAVE:
		replica_leave_receive(r, from, m);
		return 0;
	case REPLICA_MSG_LEAVE_REPLY:
		replica_leave_reply(r, from, m);
		return 0;
	case REPLICA_MSG_SILENCE:
		replica_silence_receive(r, from, m);
		return 0;
	default:
		return CF_EINVAL;
	}
}

/* Returns whether this leader has committed the barrier entry of its epoch. */
bool replica_ready(const struct replica *r)
{
	return r->role == REPLICA_LEADER && r->ready;
}

enum replica_role replica_role(const struct replica *r)
{
	return r->role;
}

/* Returns the id of the known leader, which may be this replica; 0 for none. */
uint64_t replica_leader(const struct replica *r)
{
	return r->leader;
}

/* Returns the highest promised epoch. */
uint64_t replica_epoch(const struct replica *r)
{
	return r->promise.epoch;
}

uint64_t replica_committed(const struct replica *r)
{
	return r->commit;
}

uint64_t replica_last_index(const struct replica *r)
{
	return replica_log_last(&r->log);
}

/* Returns the error that led to REPLICA_FAILED. */
int replica_failure(const struct replica *r)
{
	return r->failure;
}

/* Whether the disk refused the newest write. */
bool replica_disk_is_full(const struct replica *r)
{
	return r->disk_full;
}

/* Returns the membership in force, which may be uncommitted. */
const struct replica_members *replica_members(const struct replica *r)
{
	return &r->members;
}

/* Time of the last contact with a leader: INT64_MIN for never, now if it leads. */
int64_t replica_leader_last_heard_us(const struct replica *r)
{
	return r->role == REPLICA_LEADER ? r->now_us : r->leader_last_heard_us;
}

/* Returns the bytes used by the log, snapshots and a snapshot being received. */
size_t replica_memory(const struct replica *r)
{
	size_t n = sizeof(*r) + r->receiving.cap;

	n += (size_t)(replica_log_end_offset(&r->log, replica_log_last(&r->log)) -
		      r->log.base_end_offset);
	n += r->log.cap * (sizeof(struct replica_entry) + sizeof(uint64_t));
	if (r->snap)
		n += r->snap->bytes.cap;
	for (size_t i = 0; i < r->n_peer; i++) {
		if (r->peer[i].snap && r->peer[i].snap != r->snap)
			n += r->peer[i].snap->bytes.cap;
	}
	return n;
}
