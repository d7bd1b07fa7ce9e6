#ifndef CARAWAYFRONTD_STATE_DISK_H
#define CARAWAYFRONTD_STATE_DISK_H

#include "core/replica.h"

/* The data directory of a state process: promise, snapshot and log. */
struct state_disk;

struct state_disk_options {
	const char *dir;
	uint64_t member;
	uint64_t identity; /* of a fresh directory, 0: random */
};

/* Stored state as replica_options takes it; valid until state_disk_loaded_free(). */
struct state_disk_loaded {
	struct replica_promise promise;
	struct buf snapshot;
	uint64_t snapshot_index;
	uint64_t snapshot_epoch;
	struct replica_entry *entries;
	size_t n_entries;
	size_t cap_entries;
	bool fresh; /* the directory was empty */
};

int state_disk_open(const struct state_disk_options *opt, struct state_disk **out,
		    struct state_disk_loaded *loaded);
void state_disk_loaded_free(struct state_disk_loaded *loaded);
int state_disk_append(struct state_disk *d, const struct replica_entry *e, size_t n);
int state_disk_truncate(struct state_disk *d, uint64_t from_index);
int state_disk_save_promise(struct state_disk *d, const struct replica_promise *p);
int state_disk_save_snapshot(struct state_disk *d, uint64_t index, uint64_t epoch,
			     struct str bytes);
int state_disk_compact(struct state_disk *d, uint64_t index);
int state_disk_sync(struct state_disk *d);
void state_disk_close(struct state_disk *d);

#endif
