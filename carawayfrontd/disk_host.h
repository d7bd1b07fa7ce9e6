#ifndef CARAWAYFRONTD_DISK_HOST_H
#define CARAWAYFRONTD_DISK_HOST_H

#include "base/metric.h"
#include "carawayfrontd/state_disk.h"

/* A replica's host that keeps its entries in a data directory; embedded first. */
struct disk_host {
	struct replica_host host; /* first member */
	struct state_disk *disk;
	uint64_t sync_token;
	bool sync_asked;
	bool full; /* as logged last */
};

/* The operations of struct replica_ops on the directory. */
int disk_host_append(struct replica_host *h, const struct replica_entry *e, size_t n);
int disk_host_truncate(struct replica_host *h, uint64_t from_index);
int disk_host_save_promise(struct replica_host *h, const struct replica_promise *p);
void disk_host_sync(struct replica_host *h, uint64_t token);
int disk_host_save_snapshot(struct replica_host *h, uint64_t index, uint64_t epoch,
			    struct str bytes);
int disk_host_compact(struct replica_host *h, uint64_t index);

void disk_host_log_full(struct disk_host *d, const struct replica *r);
int disk_host_flush(struct disk_host *d, struct replica *r, struct metric_set *metrics);

#endif
