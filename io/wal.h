#ifndef IO_WAL_H
#define IO_WAL_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "io/fileops.h"

/*
 * Append-only log in segment files of one directory. Each record has a length, a
 * CRC, an index and an epoch. Indexes rise by one, epochs never fall.
 */
struct wal_record {
	uint64_t index;
	uint64_t epoch;
	uint32_t kind;
	struct str data;
};

struct wal_options {
	const char *dir;
	struct fileops *files; /* NULL: the system's */
	size_t segment_bytes;  /* a new segment starts beyond it; default 8 MiB */
	uint64_t base;	       /* index of the snapshot; older records are skipped */
};

struct wal;

/* Called for each record after base, in order. A non-zero result ends the scan. */
typedef int (*wal_scan_fn)(void *arg, const struct wal_record *rec);

int wal_open(const struct wal_options *opt, wal_scan_fn scan, void *arg,
	     struct wal **out);
int wal_append(struct wal *w, const struct wal_record *rec, size_t n);
int wal_sync(struct wal *w);
int wal_truncate(struct wal *w, uint64_t from_index);
int wal_compact(struct wal *w, uint64_t index);
uint64_t wal_last(const struct wal *w);
uint64_t wal_first(const struct wal *w);
uint64_t wal_cut_bytes(const struct wal *w);
int wal_failure(const struct wal *w);
void wal_close(struct wal *w);

#endif
