#ifndef CARAWAYFRONTD_DISK_SYNC_H
#define CARAWAYFRONTD_DISK_SYNC_H

#include <stdint.h>

#include <ev.h>

#include "carawayfrontd/state_disk.h"

/* Syncs a data directory without holding up the event loop. */
struct disk_sync;
struct disk_sync_user;

struct disk_sync_ops {
	/* A sync ended, after duration_us; called from the loop. */
	void (*done)(struct disk_sync_user *user, int err, int64_t duration_us);
};

struct disk_sync_user {
	const struct disk_sync_ops *ops;
};

struct disk_sync_options {
	struct ev_loop *loop;
	struct state_disk *disk;
	struct disk_sync_user *user;
};

int disk_sync_new(const struct disk_sync_options *opt, struct disk_sync **out);
void disk_sync_start(struct disk_sync *s);
void disk_sync_wait(struct disk_sync *s);
void disk_sync_free(struct disk_sync *s);

#endif
