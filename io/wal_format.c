#include "io/wal_format.h"

#include <zlib.h>

#include "base/err.h"
#include "io/wholefile.h"

/* Appends the encoded record. CF_ETOOBIG above WAL_MAX_DATA. */
int wal_record_add(struct buf *out, const struct wal_record *rec, uint64_t synced)
{
	unsigned char h[WAL_HEADER];
	uLong crc;
	int err;

	if (rec->data.n > WAL_MAX_DATA)
		return CF_ETOOBIG;
	le_put32(h, (uint32_t)rec->data.n);
	le_put64(h + 8, rec->index);
	le_put64(h + 16, rec->epoch);
	le_put64(h + 24, synced);
	le_put32(h + 32, rec->kind);
	crc = crc32_z(0, h, 4);
	crc = crc32_z(crc, h + 8, WAL_HEADER - 8);
	crc = crc32_z(crc, (const Bytef *)rec->data.p, rec->data.n);
	le_put32(h + 4, (uint32_t)crc);
	err = buf_add(out, h, sizeof(h));
	if (err)
		return err;
	return buf_add(out, rec->data.p, rec->data.n);
}

/* Reads the record at the start of bytes; data points into bytes. */
enum wal_parse wal_record_parse(struct str bytes, struct wal_record *rec,
				uint64_t *synced, size_t *length)
{
	const unsigned char *h = (const unsigned char *)bytes.p;
	uint32_t n;
	uLong crc;

	if (bytes.n < WAL_HEADER)
		return WAL_BAD;
	n = le_get32(h);
	if (n > WAL_MAX_DATA || n > bytes.n - WAL_HEADER)
		return WAL_BAD;
	crc = crc32_z(0, h, 4);
	crc = crc32_z(crc, h + 8, WAL_HEADER - 8 + (size_t)n);
	if (le_get32(h + 4) != (uint32_t)crc)
		return WAL_BAD;
	*rec = (struct wal_record){
		.index = le_get64(h + 8),
		.epoch = le_get64(h + 16),
		.kind = le_get32(h + 32),
		.data = {bytes.p + WAL_HEADER, n},
	};
	*synced = le_get64(h + 24);
	*length = WAL_HEADER + (size_t)n;
	return WAL_GOOD;
}

/*
 * Tells whether an intact record behind a bad one proves that the bad one had been
 * synced. last is the record before the bad one (index 0: none).
 */
bool wal_record_follows(struct str bytes, const struct wal_record *last)
{
	for (size_t at = 1; at + WAL_HEADER <= bytes.n; at++) {
		const unsigned char *h = (const unsigned char *)bytes.p + at;
		struct wal_record rec;
		uint64_t synced;
		size_t length;

		/* The cheap tests come first: a CRC at every offset is quadratic. */
		if (le_get64(h + 8) <= last->index || le_get64(h + 24) <= last->index ||
		    le_get64(h + 24) >= le_get64(h + 8) || le_get64(h + 16) < last->epoch)
			continue;
		if (wal_record_parse((struct str){bytes.p + at, bytes.n - at}, &rec,
				     &synced, &length) == WAL_GOOD)
			return true;
	}
	return false;
}
