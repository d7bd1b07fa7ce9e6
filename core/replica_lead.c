#include "base/err.h"
#include "core/replica_priv.h"

/* One heartbeat in this many carries the acknowledgements known to the leader. */
#define ACKS_HEARTBEAT_INTERVAL 10

/* Appends an entry of the present epoch to the log in memory. */
int replica_lead_append(struct replica *r, enum replica_entry_kind kind, struct str data,
			uint64_t *index)
{
	struct replica_entry e = {
		.index = replica_log_last(&r->log) + 1,
		.epoch = r->promise.epoch,
		.kind = kind,
		.data = data,
	};
	int err = replica_log_append(&r->log, &e);

	if (err)
		return err;
	*index = e.index;
	return 0;
}

/* Sends an append without entries, which also probes for the matching position. */
static void lead_send_heartbeat(struct replica *r, struct replica_peer *p, bool with_acks)
{
	uint64_t prev = p->mode == REPLICA_PEER_SNAPSHOT ? p->match : p->next - 1;
	struct replica_msg m = {
		.kind = REPLICA_MSG_APPEND,
		.epoch = r->promise.epoch,
		.commit = r->commit,
		.sent_us = r->now_us,
	};

	/*
	 * Compacted entries have no known epoch. They are committed, so index 0, which
	 * always matches, is sent instead.
	 */
	if (prev >= r->log.base) {
		m.index = prev;
		m.index_epoch = replica_log_epoch(&r->log, prev);
	}
	if (with_acks) {
		m.acks = r->acks;
		m.n_acks = r->n_acks;
	}
	replica_send(r, p->id, p->identity, &m);
}

/* Number of entries from p->next on that fit the batch and the window. */
static size_t lead_batch(const struct replica *r, const struct replica_peer *p)
{
	const struct replica_log *l = &r->log;
	uint64_t start = replica_log_end_offset(l, p->next - 1);
	uint64_t acked = replica_log_end_offset(l, p->match);
	size_t n = 0;

	while (p->next + n <= r->written) {
		uint64_t end = replica_log_end_offset(l, p->next + n);

		if (n > 0 && end - start > r->opt.batch_bytes)
			break;
		/* One entry may exceed the window when nothing is outstanding. */
		if (end - acked > r->opt.window_bytes && (n > 0 || start > acked))
			break;
		n++;
	}
	return n;
}

/* Sends the follower its missing entries, as far as its window allows. */
void replica_lead_send(struct replica *r, struct replica_peer *p)
{
	size_t n;

	if (p->mode == REPLICA_PEER_SNAPSHOT)
		return;
	if (p->next <= r->log.base) {
		replica_snap_send(r, p);
		return;
	}
	if (p->mode == REPLICA_PEER_PROBE) {
		if (!p->probe_sent)
			lead_send_heartbeat(r, p, false);
		p->probe_sent = true;
		return;
	}
	while ((n = lead_batch(r, p)) > 0) {
		struct replica_msg m = {
			.kind = REPLICA_MSG_APPEND,
			.epoch = r->promise.epoch,
			.index = p->next - 1,
			.index_epoch = replica_log_epoch(&r->log, p->next - 1),
			.commit = r->commit,
			.sent_us = r->now_us,
			.entries = replica_log_at(&r->log, p->next),
			.n_entries = n,
		};

		p->next += n;
		replica_send(r, p->id, p->identity, &m);
	}
}

void replica_lead_broadcast(struct replica *r)
{
	for (size_t i = 0; i < r->n_peer; i++)
		replica_lead_send(r, &r->peer[i]);
}

static void lead_send_heartbeats(struct replica *r)
{
	bool with_acks =
		r->acks_changed || r->heartbeat_count % ACKS_HEARTBEAT_INTERVAL == 0;

	r->heartbeat_count++;
	r->heartbeat_commit = r->commit;
	r->acks_changed = false;
	r->heartbeat_at_us = r->now_us + r->opt.heartbeat_us;
	for (size_t i = 0; i < r->n_peer; i++) {
		struct replica_peer *p = &r->peer[i];

		p->probe_sent = true;
		lead_send_heartbeat(r, p, with_acks);
		if (p->mode == REPLICA_PEER_SNAPSHOT)
			replica_snap_send(r, p);
		else
			replica_lead_send(r, p);
	}
}

/*
 * Becomes the leader of the epoch. Proposals are refused until the barrier entry has
 * committed: entries of earlier epochs commit only with it, and only then does the
 * leader know every committed entry.
 */
void replica_lead_start(struct replica *r)
{
	int err;

	r->ready = false;
	r->elected_us = r->now_us;
	r->lease_expires_us = REPLICA_NEVER;
	r->heartbeat_count = 0;
	replica_silence_elected(r);
	for (size_t i = 0; i < r->n_peer; i++) {
		struct replica_peer *p = &r->peer[i];

		p->mode = REPLICA_PEER_PROBE;
		p->probe_sent = false;
		p->next = replica_log_last(&r->log) + 1;
		p->match = 0;
		p->acked_send_us = REPLICA_NEVER;
	}
	replica_set_role(r, REPLICA_LEADER, r->id);
	err = replica_lead_append(r, REPLICA_BARRIER, (struct str){0}, &r->barrier);
	if (err) {
		replica_fail(r, err);
		return;
	}
	lead_send_heartbeats(r);
	replica_disk_flush(r);
	if (r->role == REPLICA_LEADER)
		replica_lead_commit(r);
}

/* Highest index that a quorum of voters holds durably. */
static uint64_t lead_quorum_index(const struct replica *r)
{
	uint64_t at[REPLICA_MAX_MEMBERS] = {0};
	size_t n = 0;
	size_t need = replica_quorum(r);

	if (replica_is_voter(r))
		at[n++] = r->durable;
	for (size_t i = 0; i < r->n_peer; i++) {
		size_t j;

		if (!r->peer[i].voter)
			continue;
		for (j = n++; j > 0 && at[j - 1] < r->peer[i].match; j--)
			at[j] = at[j - 1];
		at[j] = r->peer[i].match;
	}
	return n < need ? 0 : at[need - 1];
}

/* Advances commit to the highest index that a quorum holds durably. */
void replica_lead_commit(struct replica *r)
{
	uint64_t index = lead_quorum_index(r);
	uint64_t before;

	if (index <= r->commit)
		return;
	/*
	 * A later leader may replace an entry of an earlier epoch although a quorum
	 * holds it, so it commits only together with an entry of this epoch.
	 */
	if (replica_log_epoch(&r->log, index) != r->promise.epoch)
		return;
	before = r->commit;
	r->commit = index;
	if (r->commit >= r->barrier)
		r->ready = true;
	replica_apply(r);
	replica_snap_take_if_due(r);
	if (replica_is_halted(r))
		return;
	/* Start the next step of a member replacement at once. */
	if (r->members_index && r->members_index <= r->commit &&
	    r->members_index > before)
		replica_admit_tick(r);
	if (!replica_is_voter(r) && r->members_index <= r->commit) {
		/* This leader was removed: tell the others that the removal committed. */
		lead_send_heartbeats(r);
		replica_step_down(r, 0);
	}
}

/* Moves p->next back after a refusal. */
static void lead_handle_refusal(struct replica *r, struct replica_peer *p,
				const struct replica_msg *m)
{
	uint64_t next = m->hint + 1 < m->index ? m->hint + 1 : m->index;

	if (p->mode == REPLICA_PEER_SNAPSHOT || m->index < p->match)
		return;
	if (next <= p->match)
		next = p->match + 1;
	if (next >= p->next)
		return;
	p->next = next;
	p->mode = REPLICA_PEER_PROBE;
	p->probe_sent = false;
	replica_lead_send(r, p);
}

/* Updates the progress of a follower and the lease from an APPEND_REPLY. */
void replica_lead_reply(struct replica *r, struct replica_peer *p,
			const struct replica_msg *m)
{
	if (m->epoch > r->promise.epoch) {
		replica_adopt_epoch(r, m->epoch);
		return;
	}
	if (r->role != REPLICA_LEADER || m->epoch != r->promise.epoch)
		return;
	if (m->sent_us > p->acked_send_us && m->sent_us <= r->now_us) {
		p->acked_send_us = m->sent_us;
		replica_lease_update(r);
	}
	if (!m->ok) {
		lead_handle_refusal(r, p, m);
		return;
	}
	if (m->index > replica_log_last(&r->log))
		return;
	if (m->index > p->match) {
		p->match = m->index;
		replica_ack_record(r, p->id, p->identity, m->epoch, m->index);
		r->acks_changed = true;
	}
	if (p->mode == REPLICA_PEER_SNAPSHOT)
		return;
	if (p->next <= p->match)
		p->next = p->match + 1;
	if (p->mode == REPLICA_PEER_PROBE)
		p->mode = REPLICA_PEER_STREAM;
	replica_lead_commit(r);
	if (r->role == REPLICA_LEADER)
		replica_lead_send(r, p);
}

void replica_lead_tick(struct replica *r)
{
	if (!replica_lease_check(r))
		return;
	if (r->now_us < r->heartbeat_at_us)
		return;
	replica_disk_check_sync(r);
	if (r->role != REPLICA_LEADER)
		return;
	lead_send_heartbeats(r);
	replica_silence_send(r);
	replica_admit_tick(r);
}

/*
 * Proposes a log entry. If it commits, it is applied at *index; a different entry
 * committed at that index means that the proposal was lost. After an error it was not
 * made: CF_ENOTLEADER, CF_ESTALE (the lease ended), CF_EUNAVAIL (the barrier has not
 * committed), CF_ETOOBIG, CF_EBUSY (too many bytes uncommitted), CF_ENOSPACE (the disk is
 * full; this replica no longer leads).
 */
int replica_propose(struct replica *r, struct str data, int64_t now_us, uint64_t *index)
{
	uint64_t pending;
	int err;

	if (r->role != REPLICA_LEADER)
		return CF_ENOTLEADER;
	r->now_us = now_us;
	if (!replica_lease_check(r))
		return CF_ESTALE;
	if (!r->ready && !r->opt.propose_before_barrier)
		return CF_EUNAVAIL;
	if (data.n > REPLICA_MAX_ENTRY)
		return CF_ETOOBIG;
	pending = replica_log_end_offset(&r->log, replica_log_last(&r->log)) -
		  replica_log_end_offset(&r->log, r->commit);
	if (pending + data.n > r->opt.pending_bytes)
		return CF_EBUSY;
	err = replica_lead_append(r, REPLICA_DATA, data, index);
	if (err)
		return err;
	replica_disk_flush(r);
	if (r->role == REPLICA_FAILED)
		return r->failure;
	return r->role == REPLICA_LEADER ? 0 : CF_ENOSPACE;
}
