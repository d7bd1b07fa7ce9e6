#include "base/err.h"
#include "core/replica_priv.h"

/* Applies committed entries in order. */
void replica_apply(struct replica *r)
{
	while (r->applied < r->commit) {
		const struct replica_entry *e = replica_log_at(&r->log, r->applied + 1);

		if (!e) {
			replica_fail(r, CF_ECORRUPT);
			return;
		}
		if (e->kind == REPLICA_MEMBERS &&
		    replica_members_decode(e->data, &r->applied_members)) {
			replica_fail(r, CF_ECORRUPT);
			return;
		}
		r->applied++;
		r->host->ops->apply(r->host, e);
		if (e->kind == REPLICA_MEMBERS)
			replica_role_update(r);
	}
}

/* Advances commit to the leader's, up to the matching and durable end of this log. */
void replica_follow_commit(struct replica *r)
{
	uint64_t index = r->leader_commit;

	if (index > r->verified_index)
		index = r->verified_index;
	if (index > r->durable)
		index = r->durable;
	if (index <= r->commit)
		return;
	r->commit = index;
	replica_apply(r);
	replica_snap_take_if_due(r);
}

/* Acknowledges the durable part of this log that matches the leader's. */
void replica_follow_ack(struct replica *r)
{
	struct replica_msg m = {
		.kind = REPLICA_MSG_APPEND_REPLY,
		.ok = true,
		.epoch = r->promise.epoch,
		.index = r->durable < r->verified_index ? r->durable : r->verified_index,
		.sent_us = r->leader_sent_us,
	};

	r->ack_pending = false;
	if (r->leader && r->leader != r->id)
		replica_send(r, r->leader, r->leader_identity, &m);
}

/*
 * Processes the part common to APPEND and SNAPSHOT: follows the sender as leader.
 * Returns false when the message was rejected or must be ignored.
 */
bool replica_follow_accept_leader(struct replica *r, uint64_t from,
				  const struct replica_msg *m)
{
	for (size_t i = 0; i < m->n_acks; i++) {
		const struct replica_ack *w = &m->acks[i];

		replica_ack_record(r, w->id, w->identity, w->epoch, w->index);
		if (w->id == r->id && w->identity == r->identity &&
		    !replica_ack_check(r, w->epoch, w->index))
			return false;
	}
	if (!r->verified) {
		replica_hello_send_leader(r, from, m);
		return false;
	}
	if (m->epoch < r->promise.epoch) {
		struct replica_msg reply = {
			.kind = m->kind == REPLICA_MSG_APPEND
					? REPLICA_MSG_APPEND_REPLY
					: REPLICA_MSG_SNAPSHOT_REPLY,
			.epoch = r->promise.epoch,
			.index = m->index,
		};

		replica_send(r, from, m->from_identity, &reply);
		return false;
	}
	if (!replica_adopt_epoch(r, m->epoch))
		return false;
	if (r->role == REPLICA_LEADER)
		return false;
	if (r->counted_as_voter) {
		r->counted_as_voter = false;
		replica_role_update(r);
	}
	if (r->leader != from || r->role == REPLICA_CANDIDATE ||
	    r->role == REPLICA_PRECANDIDATE)
		replica_step_down(r, from);
	r->leader_identity = m->from_identity;
	r->leader_last_heard_us = r->now_us;
	r->heard_us = r->now_us;
	r->asks = false;
	r->leader_sent_us = m->sent_us;
	replica_elect_reset(r);
	return true;
}

/* Rejects an append; hint is the last index that may match. */
static void follow_reject(struct replica *r, const struct replica_msg *m)
{
	uint64_t last = replica_log_last(&r->log);
	struct replica_msg reply = {
		.kind = REPLICA_MSG_APPEND_REPLY,
		.epoch = r->promise.epoch,
		.index = m->index,
		.hint = last,
		.sent_us = m->sent_us,
	};

	if (m->index <= last) {
		uint64_t epoch = replica_log_epoch(&r->log, m->index);
		uint64_t hint = m->index - 1;

		/* Skip the whole epoch of a mismatch in one round trip. */
		while (hint > r->commit && replica_log_epoch(&r->log, hint) == epoch)
			hint--;
		reply.hint = hint;
	}
	replica_send(r, r->leader, r->leader_identity, &reply);
}

/* Stores one entry, replacing a conflicting tail. Returns false on failure. */
static bool follow_add_entry(struct replica *r, const struct replica_entry *e,
			     bool *members)
{
	int err;

	if (e->index <= r->commit)
		return true;
	if (e->index <= replica_log_last(&r->log)) {
		if (replica_log_epoch(&r->log, e->index) == e->epoch)
			return true;
		replica_disk_truncate(r, e->index);
		if (replica_is_halted(r))
			return false;
		*members = true;
	}
	err = replica_log_append(&r->log, e);
	if (err) {
		replica_fail(r, err);
		return false;
	}
	*members = *members || e->kind == REPLICA_MEMBERS;
	return true;
}

/* Stores the entries of an APPEND, or rejects it if the previous entry differs. */
void replica_follow_append(struct replica *r, uint64_t from, const struct replica_msg *m)
{
	uint64_t end = m->index + m->n_entries;
	bool members = false;
	int err;

	if (!replica_follow_accept_leader(r, from, m))
		return;
	/* Every leader's log holds all committed entries. */
	if (m->index > r->commit &&
	    (m->index > replica_log_last(&r->log) ||
	     replica_log_epoch(&r->log, m->index) != m->index_epoch)) {
		follow_reject(r, m);
		return;
	}
	for (size_t i = 0; i < m->n_entries; i++) {
		if (!follow_add_entry(r, &m->entries[i], &members))
			return;
	}
	if (members && (err = replica_members_reload(r))) {
		replica_fail(r, err);
		return;
	}
	if (r->verified_index < end)
		r->verified_index = end;
	if (r->leader_commit < m->commit)
		r->leader_commit = m->commit;
	replica_follow_commit(r);
	if (replica_is_halted(r))
		return;
	if (end > r->durable && m->n_entries)
		r->ack_pending = true;
	else
		replica_follow_ack(r);
	replica_disk_flush(r);
}
