#ifndef IO_WAL_FORMAT_H
#define IO_WAL_FORMAT_H

#include "io/wal.h"

/*
 * Record: length of data, CRC of the rest, index, epoch, synced, kind, data.
 * "synced" is the highest index that was known durable when the record was written.
 * It tells a torn tail, whose pages reach the disk in any order, from damage to a
 * record that had been synced.
 */
#define WAL_HEADER 36
#define WAL_MAX_DATA (16U << 20)

enum wal_parse { WAL_GOOD, WAL_BAD };

int wal_record_add(struct buf *out, const struct wal_record *rec, uint64_t synced);
enum wal_parse wal_record_parse(struct str bytes, struct wal_record *rec,
				uint64_t *synced, size_t *length);
bool wal_record_follows(struct str bytes, const struct wal_record *last);

#endif
