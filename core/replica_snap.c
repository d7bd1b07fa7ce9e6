#include <stdlib.h>

#include "base/err.h"
#include "core/replica_priv.h"

/* Between attempts to store a snapshot on a full disk: each encodes the whole state. */
#define SNAP_RETRY_US 2000000

/* Returns a snapshot with one reference and a copy of the bytes, or NULL. */
struct replica_snapshot *replica_snap_new(uint64_t index, uint64_t epoch,
					  struct str bytes)
{
	struct replica_snapshot *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->refs = 1;
	s->index = index;
	s->epoch = epoch;
	if (buf_set(&s->bytes, bytes)) {
		free(s);
		return NULL;
	}
	return s;
}

void replica_snap_release(struct replica_snapshot *s)
{
	if (!s || --s->refs > 0)
		return;
	buf_free(&s->bytes);
	free(s);
}

/* Compacts the log up to the snapshot, keeping a tail for slow followers. */
static int snap_compact_log(struct replica *r)
{
	uint64_t index = r->snap->index;
	uint64_t end = replica_log_end_offset(&r->log, index);
	uint64_t keep = index > r->opt.keep_entries ? index - r->opt.keep_entries : 0;

	if (keep < r->log.base)
		keep = r->log.base;
	while (keep < index &&
	       end - replica_log_end_offset(&r->log, keep) > r->opt.keep_bytes)
		keep++;
	replica_log_compact(&r->log, keep);
	return r->host->ops->compact(r->host, keep);
}

/* Takes a snapshot when the log has grown by snapshot_every or snapshot_bytes. */
void replica_snap_take_if_due(struct replica *r)
{
	struct replica_snapshot *s;
	struct buf state = {0};
	struct buf image = {0};
	uint64_t from = r->snap ? r->snap->index : 0;
	uint64_t index = r->applied;
	int err;

	/* Entries that are not durable yet must not be replaced by a snapshot. */
	if (replica_is_halted(r) || r->opt.no_snapshots || index > r->durable ||
	    r->now_us < r->snap_retry_at_us)
		return;
	if (index - from < r->opt.snapshot_every &&
	    replica_log_end_offset(&r->log, index) - r->snap_end_offset <
		    r->opt.snapshot_bytes)
		return;
	if ((err = r->host->ops->take_snapshot(r->host, &state)) ||
	    (err = replica_image_encode(&r->applied_members, buf_str(&state), &image)))
		goto out;
	err = CF_ENOMEM;
	s = replica_snap_new(index, replica_log_epoch(&r->log, index), buf_str(&image));
	if (!s)
		goto out;
	err = r->host->ops->save_snapshot(r->host, s->index, s->epoch, buf_str(&image));
	if (err) {
		replica_snap_release(s);
		if (err == CF_ENOSPACE) {
			r->snap_retry_at_us = r->now_us + SNAP_RETRY_US;
			err = 0;
		}
		goto out;
	}
	replica_snap_release(r->snap);
	r->snap = s;
	r->snap_end_offset = replica_log_end_offset(&r->log, index);
	err = snap_compact_log(r);
out:
	buf_free(&state);
	buf_free(&image);
	if (err)
		replica_fail(r, err);
}

/* Sends the next chunk; repeats it after two heartbeat intervals without a reply. */
void replica_snap_send(struct replica *r, struct replica_peer *p)
{
	struct replica_msg m = {
		.kind = REPLICA_MSG_SNAPSHOT,
		.epoch = r->promise.epoch,
		.sent_us = r->now_us,
	};
	size_t n;

	if (p->mode != REPLICA_PEER_SNAPSHOT) {
		if (!r->snap)
			return;
		p->mode = REPLICA_PEER_SNAPSHOT;
		p->snap = r->snap;
		p->snap->refs++;
		p->snap_offset = 0;
	} else if (r->now_us < p->snap_sent_us + 2 * r->opt.heartbeat_us) {
		return;
	}
	n = p->snap->bytes.n - p->snap_offset;
	if (n > r->opt.chunk_bytes)
		n = r->opt.chunk_bytes;
	m.index = p->snap->index;
	m.index_epoch = p->snap->epoch;
	m.offset = p->snap_offset;
	m.total = p->snap->bytes.n;
	m.chunk = (struct str){p->snap->bytes.p + p->snap_offset, n};
	p->snap_sent_us = r->now_us;
	replica_send(r, p->id, p->identity, &m);
}

/* Sends the next chunk, or resumes appends once the snapshot is installed. */
void replica_snap_reply(struct replica *r, struct replica_peer *p,
			const struct replica_msg *m)
{
	if (m->epoch > r->promise.epoch) {
		replica_adopt_epoch(r, m->epoch);
		return;
	}
	if (r->role != REPLICA_LEADER || m->epoch != r->promise.epoch || !m->ok)
		return;
	if (m->sent_us > p->acked_send_us && m->sent_us <= r->now_us) {
		p->acked_send_us = m->sent_us;
		replica_lease_update(r);
	}
	if (p->mode != REPLICA_PEER_SNAPSHOT || m->index != p->snap->index ||
	    m->offset > p->snap->bytes.n)
		return;
	if (m->offset < p->snap->bytes.n) {
		/* Ignore the second reply to a chunk that was sent twice. */
		if (m->offset == p->snap_offset &&
		    r->now_us < p->snap_sent_us + 2 * r->opt.heartbeat_us)
			return;
		p->snap_offset = m->offset;
		p->snap_sent_us = REPLICA_NEVER / 2;
		replica_snap_send(r, p);
		return;
	}
	if (p->match < p->snap->index)
		p->match = p->snap->index;
	replica_snap_release(p->snap);
	p->snap = NULL;
	p->next = p->match + 1;
	p->mode = REPLICA_PEER_PROBE;
	p->probe_sent = false;
	replica_lead_commit(r);
	if (r->role == REPLICA_LEADER)
		replica_lead_send(r, p);
}

/*
 * Replaces the log and the state with the received snapshot. CF_EMALFORMED: it cannot be
 * loaded, and nothing has changed.
 */
static int snap_install(struct replica *r)
{
	struct replica_members members = {0};
	struct replica_snapshot *s = NULL;
	struct buf state = {0};
	uint64_t index = r->receiving_index;
	uint64_t epoch = r->receiving_epoch;
	bool equal = replica_log_epoch(&r->log, index) == epoch;
	int err;

	err = replica_image_decode(buf_str(&r->receiving), &members, &state);
	if (!err)
		err = r->host->ops->check_snapshot(r->host, buf_str(&state));
	if (err) {
		/* What this member has on its disk is still good. */
		if (err == CF_ECORRUPT)
			err = CF_EMALFORMED;
		goto out;
	}
	err = CF_ENOMEM;
	s = replica_snap_new(index, epoch, buf_str(&r->receiving));
	if (!s)
		goto out;
	/*
	 * Remove conflicting entries before the snapshot is saved: after a crash they
	 * must not be taken for entries that follow it.
	 */
	if (!equal && replica_log_last(&r->log) >= index) {
		replica_disk_truncate(r, index);
		if (replica_is_halted(r)) {
			err = r->failure;
			goto out;
		}
	}
	if ((err = r->host->ops->save_snapshot(r->host, index, epoch,
					       buf_str(&r->receiving))) ||
	    (err = r->host->ops->load_snapshot(r->host, index, epoch, buf_str(&state))) ||
	    (err = r->host->ops->compact(r->host, index)))
		goto out;
	if (equal)
		replica_log_compact(&r->log, index);
	else
		replica_log_reset(&r->log, index, epoch);
	if (r->written < index)
		r->written = index;
	if (r->durable < index)
		r->durable = index;
	if (r->verified_index < index)
		r->verified_index = index;
	r->commit = index;
	r->applied = index;
	r->applied_members = members;
	replica_snap_release(r->snap);
	r->snap = s;
	s = NULL;
	r->snap_end_offset = r->log.base_end_offset;
	err = replica_members_reload(r);
out:
	replica_snap_release(s);
	buf_free(&state);
	return err;
}

/* Stores a snapshot chunk and installs the snapshot when it is complete. */
void replica_snap_receive(struct replica *r, uint64_t from, const struct replica_msg *m)
{
	struct replica_msg reply = {
		.kind = REPLICA_MSG_SNAPSHOT_REPLY,
		.ok = true,
		.index = m->index,
		.total = m->total,
		.sent_us = m->sent_us,
	};
	int err;

	if (!replica_follow_accept_leader(r, from, m))
		return;
	reply.epoch = r->promise.epoch;
	if (m->index <= r->commit) {
		reply.offset = m->total;
		buf_free(&r->receiving);
		goto reply;
	}
	if (m->total > r->opt.max_snapshot)
		return;
	if (m->index != r->receiving_index || m->index_epoch != r->receiving_epoch ||
	    m->total != r->receiving_total) {
		buf_free(&r->receiving);
		r->receiving_index = m->index;
		r->receiving_epoch = m->index_epoch;
		r->receiving_total = m->total;
	}
	if (m->offset == r->receiving.n && m->chunk.n <= m->total - m->offset) {
		err = buf_add(&r->receiving, m->chunk.p, m->chunk.n);
		if (err) {
			replica_fail(r, err);
			return;
		}
	}
	reply.offset = r->receiving.n;
	if (r->receiving.n == m->total) {
		err = snap_install(r);
		/* Not answered: the leader repeats the last chunk, which tries again. */
		if (err == CF_ENOSPACE)
			return;
		buf_free(&r->receiving);
		if (err == CF_EMALFORMED) {
			reply.offset = 0;
		} else if (err) {
			replica_fail(r, err);
			return;
		}
	}
reply:
	replica_send(r, from, m->from_identity, &reply);
}
