#include "carawayfrontd/disk_host.h"

#include "base/err.h"
#include "io/clock.h"
#include "io/log.h"

static struct state_disk *disk_of(struct replica_host *h)
{
	return ((struct disk_host *)h)->disk;
}

int disk_host_append(struct replica_host *h, const struct replica_entry *e, size_t n)
{
	return state_disk_append(disk_of(h), e, n);
}

int disk_host_truncate(struct replica_host *h, uint64_t from_index)
{
	return state_disk_truncate(disk_of(h), from_index);
}

int disk_host_save_promise(struct replica_host *h, const struct replica_promise *p)
{
	return state_disk_save_promise(disk_of(h), p);
}

/* The sync itself runs before the loop sleeps, so that it covers what else arrives. */
void disk_host_sync(struct replica_host *h, uint64_t token)
{
	struct disk_host *d = (struct disk_host *)h;

	d->sync_token = token;
	d->sync_asked = true;
}

int disk_host_save_snapshot(struct replica_host *h, uint64_t index, uint64_t epoch,
			    struct str bytes)
{
	return state_disk_save_snapshot(disk_of(h), index, epoch, bytes);
}

int disk_host_compact(struct replica_host *h, uint64_t index)
{
	return state_disk_compact(disk_of(h), index);
}

/* Logs when the disk becomes full and when it takes writes again. */
void disk_host_log_full(struct disk_host *d, const struct replica *r)
{
	bool full = replica_disk_is_full(r);

	if (full == d->full)
		return;
	d->full = full;
	if (full)
		log_warn("disk-full", "last=%llu",
			 (unsigned long long)replica_last_index(r));
	else
		log_info("disk-writable", "last=%llu",
			 (unsigned long long)replica_last_index(r));
}

/* Syncs and tells the replica. An error means that the process must end. */
int disk_host_flush(struct disk_host *d, struct replica *r, struct metric_set *metrics)
{
	int64_t start = clock_us();
	int err = state_disk_sync(d->disk);

	d->sync_asked = false;
	hist_add(metric_hist(metrics, "carawayfront_sync_duration_us", ""),
		 (uint64_t)(clock_us() - start));
	if (err)
		log_error("sync-failed", "error=\"%s\"", cf_strerror(err));
	else
		replica_synced(r, d->sync_token, clock_us());
	return err;
}
