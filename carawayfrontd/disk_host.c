#include "carawayfrontd/disk_host.h"

#include <stddef.h>

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
	disk_sync_wait(((struct disk_host *)h)->sync);
	return state_disk_truncate(disk_of(h), from_index);
}

int disk_host_save_promise(struct replica_host *h, const struct replica_promise *p)
{
	return state_disk_save_promise(disk_of(h), p);
}

void disk_host_sync(struct replica_host *h, uint64_t token)
{
	struct disk_host *d = (struct disk_host *)h;

	d->sync_token = token;
	disk_sync_start(d->sync);
}

int disk_host_save_snapshot(struct replica_host *h, uint64_t index, uint64_t epoch,
			    struct str bytes)
{
	return state_disk_save_snapshot(disk_of(h), index, epoch, bytes);
}

int disk_host_compact(struct replica_host *h, uint64_t index)
{
	disk_sync_wait(((struct disk_host *)h)->sync);
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

/* After a failed sync the replica has failed as well, and the process must end. */
static void on_synced(struct disk_sync_user *user, int err, int64_t duration_us)
{
	struct disk_host *d =
		(struct disk_host *)(void *)((char *)user -
					     offsetof(struct disk_host, sync_user));

	hist_add(metric_hist(d->metrics, "carawayfront_sync_duration_us", ""),
		 (uint64_t)duration_us);
	if (!err) {
		replica_synced(d->replica, d->sync_token, clock_us());
		return;
	}
	log_error("sync-failed", "error=\"%s\"", cf_strerror(err));
	replica_sync_failed(d->replica, err);
}

static const struct disk_sync_ops sync_ops = {.done = on_synced};

/*
 * Takes syncs of the open disk from here on. The replica must be set before the loop
 * runs.
 */
int disk_host_start(struct disk_host *d, struct ev_loop *loop, struct metric_set *metrics)
{
	struct disk_sync_options opt = {
		.loop = loop, .disk = d->disk, .user = &d->sync_user};

	d->sync_user.ops = &sync_ops;
	d->metrics = metrics;
	return disk_sync_new(&opt, &d->sync);
}

/* The replica must be freed before. */
void disk_host_close(struct disk_host *d)
{
	disk_sync_free(d->sync);
	state_disk_close(d->disk);
	d->sync = NULL;
	d->disk = NULL;
}
