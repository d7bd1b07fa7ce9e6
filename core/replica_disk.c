#include "base/err.h"
#include "core/replica_priv.h"

#define DISK_RETRY_US 200000

/* Number of entries for the next write: at most pending_bytes, at least one entry. */
static size_t disk_batch(const struct replica *r)
{
	uint64_t start = replica_log_end_offset(&r->log, r->written);
	uint64_t last = replica_log_last(&r->log);
	size_t n = 1;

	if (r->opt.no_group_commit)
		return 1;
	while (r->written + n < last &&
	       replica_log_end_offset(&r->log, r->written + n + 1) - start <=
		       r->opt.pending_bytes)
		n++;
	return n;
}

/*
 * Writes the pending entries and starts one sync for them. Entries that arrive
 * during the sync wait for the next one (group commit). A leader sends a batch to
 * its followers before it starts its own sync.
 */
void replica_disk_flush(struct replica *r)
{
	size_t n;
	int err;

	if (replica_is_halted(r) || r->syncing || r->disk_full ||
	    r->written >= replica_log_last(&r->log))
		return;
	n = disk_batch(r);
	err = r->host->ops->append(r->host, replica_log_at(&r->log, r->written + 1), n);
	if (err == CF_ENOSPACE) {
		replica_disk_set_full(r);
		return;
	}
	if (err) {
		replica_fail(r, err);
		return;
	}
	r->written += n;
	r->sync_index = r->written;
	r->sync_token++;
	r->sync_started_us = r->now_us;
	r->syncing = true;
	if (r->role == REPLICA_LEADER)
		replica_lead_broadcast(r);
	r->host->ops->sync(r->host, r->sync_token);
}

/*
 * Ends leadership because of the disk. The entries that were neither written nor sent are
 * dropped, so that a refused proposal cannot commit later.
 */
static void disk_hand_over(struct replica *r)
{
	int err;

	replica_log_truncate(&r->log, r->written + 1);
	err = replica_members_reload(r);
	if (err) {
		replica_fail(r, err);
		return;
	}
	if (replica_transfer_leadership(r, r->now_us))
		replica_step_down(r, 0);
}

/*
 * Stops writing until a retry succeeds. A leader lets another voter lead. A follower
 * keeps unwritten entries in memory, at most a window of its leader.
 */
void replica_disk_set_full(struct replica *r)
{
	r->disk_full = true;
	r->disk_retry_at_us = r->now_us + DISK_RETRY_US;
	if (r->role == REPLICA_LEADER)
		disk_hand_over(r);
}

/* Whether the outstanding sync takes longer than it may. */
bool replica_disk_is_stalled(const struct replica *r)
{
	return r->syncing && r->now_us >= r->sync_started_us + r->opt.sync_timeout_us;
}

/*
 * Makes a leader with a stalled disk hand over. Nothing new commits under it, since a
 * batch waits for the sync of the one before. It stays as long as the others have not
 * committed what it syncs: then their disks are no better, or they are no quorum.
 */
void replica_disk_check_sync(struct replica *r)
{
	if (r->role == REPLICA_LEADER && replica_disk_is_stalled(r) &&
	    r->commit >= r->sync_index)
		disk_hand_over(r);
}

/* Writes the promise once more, as a test whether the disk takes writes again. */
void replica_disk_retry(struct replica *r)
{
	int err = r->host->ops->save_promise(r->host, &r->promise);

	r->disk_retry_at_us = r->now_us + DISK_RETRY_US;
	if (err == CF_ENOSPACE)
		return;
	if (err) {
		replica_fail(r, err);
		return;
	}
	r->disk_full = false;
	replica_disk_flush(r);
}

/* Removes entries at or after from_index from memory and from the log file. */
void replica_disk_truncate(struct replica *r, uint64_t from_index)
{
	int err;

	replica_log_truncate(&r->log, from_index);
	if (r->written >= from_index) {
		err = r->host->ops->truncate(r->host, from_index);
		if (err) {
			replica_fail(r, err);
			return;
		}
		r->written = from_index - 1;
	}
	if (r->durable >= from_index)
		r->durable = from_index - 1;
	/* The outstanding sync does not cover entries written after the truncation. */
	if (r->sync_index >= from_index)
		r->sync_index = from_index - 1;
	if (r->verified_index >= from_index)
		r->verified_index = from_index - 1;
}

/* Reports the end of the sync with this token: its entries are durable. */
void replica_synced(struct replica *r, uint64_t token, int64_t now_us)
{
	if (replica_is_halted(r) || !r->syncing || token != r->sync_token)
		return;
	r->now_us = now_us;
	r->syncing = false;
	if (r->durable < r->sync_index)
		r->durable = r->sync_index;
	if (r->role == REPLICA_LEADER) {
		if (replica_lease_check(r))
			replica_lead_commit(r);
	} else {
		replica_follow_commit(r);
		if (r->ack_pending)
			replica_follow_ack(r);
	}
	replica_disk_flush(r);
}

/* Reports a failed sync. The disk contents are unknown, so the replica fails. */
void replica_sync_failed(struct replica *r, int err)
{
	replica_fail(r, err);
}
