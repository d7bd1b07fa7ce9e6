#ifndef IO_WAL_PRIV_H
#define IO_WAL_PRIV_H

#include "io/wal.h"

struct wal_segment {
	uint64_t first; /* index of its first record, also in its name */
	size_t size;
};

struct wal {
	char *dir;
	struct fileops *files;
	size_t segment_bytes;
	struct wal_segment *segments; /* ordered, without gaps */
	size_t n_segments;
	int fd; /* the last segment, -1 when there is none */
	uint64_t next;
	uint64_t last_epoch;
	uint64_t synced;
	uint64_t cut_bytes;
	bool torn; /* the last segment may hold bytes of a failed append */
	int failed;
	struct buf scratch;
};

int wal_list(struct wal *w);
int wal_scan(struct wal *w, uint64_t base, wal_scan_fn scan, void *arg);
int wal_segment_path(const struct wal *w, size_t i, struct buf *path);
int wal_segment_open_last(struct wal *w);
int wal_segment_remove(struct wal *w, size_t i);

#endif
