#include "io/wal.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "io/wal_format.h"
#include "io/wal_priv.h"
#include "io/wholefile.h"

#define SEGMENT_BYTES (8U << 20)

/*
 * Records the first failure. After a failed write or sync the kernel may have
 * dropped dirty pages, so a later success proves nothing and is never tried. A write
 * that a full disk refuses drops nothing, so it is no such failure.
 */
static int wal_fail(struct wal *w, int err)
{
	if (err && err != CF_ENOSPACE && !w->failed)
		w->failed = err;
	return err;
}

/*
 * Opens the log, cuts a torn tail, and passes the records after opt->base to scan.
 * CF_ECORRUPT: a record that had been synced is damaged or missing.
 */
int wal_open(const struct wal_options *opt, wal_scan_fn scan, void *arg, struct wal **out)
{
	struct wal *w = calloc(1, sizeof(*w));
	int err = CF_ENOMEM;

	if (!w)
		return CF_ENOMEM;
	w->fd = -1;
	w->files = opt->files ? opt->files : fileops_system();
	w->segment_bytes = opt->segment_bytes ? opt->segment_bytes : SEGMENT_BYTES;
	w->next = opt->base + 1;
	w->dir = str_dup(str_from(opt->dir));
	if (!w->dir)
		goto fail;
	if ((err = wal_list(w)) || (err = wal_scan(w, opt->base, scan, arg)))
		goto fail;
	/* A snapshot newer than the whole log: the log was about to be compacted. */
	if (w->next <= opt->base && (err = wal_compact(w, opt->base)))
		goto fail;
	/* Records that survived unsynced count as synced only after a sync. */
	if (w->fd >= 0 && (err = wal_sync(w)))
		goto fail;
	w->synced = w->next - 1;
	*out = w;
	return 0;
fail:
	wal_close(w);
	return err;
}

/*
 * Starts a new segment at the next index; the previous one is synced first. CF_ENOSPACE:
 * the previous segment stays the last one.
 */
static int wal_roll(struct wal *w)
{
	struct wal_segment *s;
	int previous = w->fd;
	int err;

	if (previous >= 0) {
		err = wal_sync(w);
		if (err)
			return err;
	}
	s = realloc(w->segments, (w->n_segments + 1) * sizeof(*s));
	if (!s)
		return CF_ENOMEM;
	w->segments = s;
	s[w->n_segments++] = (struct wal_segment){.first = w->next};
	err = wal_segment_open_last(w);
	if (err) {
		w->n_segments--;
		w->fd = previous;
		return err;
	}
	if (previous >= 0)
		w->files->close(w->files, previous);
	return file_sync_dir(w->files, w->dir);
}

/*
 * Cuts what a failed append left behind the last record. The cut is synced, so that no
 * later record can be read together with bytes of that append.
 */
static int wal_cut_torn(struct wal *w)
{
	off_t size = (off_t)w->segments[w->n_segments - 1].size;

	if (w->files->ftruncate(w->files, w->fd, size))
		return file_error();
	if (w->files->fdatasync(w->files, w->fd))
		return CF_EIO;
	w->torn = false;
	return 0;
}

/*
 * Appends records, unsynced. CF_EINVAL when the index does not follow. CF_ENOSPACE: the
 * disk is full, none of the records is in the log, and a later call may succeed. Any
 * other failure is final.
 */
int wal_append(struct wal *w, const struct wal_record *rec, size_t n)
{
	uint64_t epoch = w->last_epoch;
	int err;

	if (w->failed)
		return w->failed;
	if (n == 0)
		return 0;
	for (size_t i = 0; i < n; i++) {
		if (rec[i].index != w->next + i || rec[i].epoch < epoch ||
		    rec[i].data.n > WAL_MAX_DATA)
			return CF_EINVAL;
		epoch = rec[i].epoch;
	}
	if (w->torn && (err = wal_cut_torn(w)))
		return wal_fail(w, err);
	if (w->fd < 0 || w->segments[w->n_segments - 1].size >= w->segment_bytes) {
		err = wal_roll(w);
		if (err)
			return wal_fail(w, err);
	}
	w->scratch.n = 0;
	for (size_t i = 0; i < n; i++) {
		err = wal_record_add(&w->scratch, &rec[i], w->synced);
		if (err)
			return wal_fail(w, err);
	}
	err = file_write_all(w->files, w->fd, w->scratch.p, w->scratch.n);
	if (err) {
		w->torn = true;
		return wal_fail(w, err);
	}
	w->segments[w->n_segments - 1].size += w->scratch.n;
	w->next += n;
	w->last_epoch = epoch;
	return 0;
}

/* Makes all appended records durable. A failure is final. */
int wal_sync(struct wal *w)
{
	if (w->failed)
		return w->failed;
	if (w->fd >= 0 && w->files->fdatasync(w->files, w->fd))
		return wal_fail(w, CF_EIO);
	w->synced = w->next - 1;
	return 0;
}

/*
 * Finds where a record starts in the last segment, and the epoch before it. *epoch
 * keeps its value when the segment starts with that record.
 */
static int wal_find(struct wal *w, uint64_t index, size_t *offset, uint64_t *epoch)
{
	struct buf path = {0};
	struct buf raw = {0};
	size_t at = 0;
	int err;

	if ((err = wal_segment_path(w, w->n_segments - 1, &path)) ||
	    (err = file_read_all(w->files, path.p, &raw)))
		goto out;
	for (;;) {
		struct wal_record rec;
		uint64_t synced;
		size_t length;

		if (wal_record_parse((struct str){raw.p + at, raw.n - at}, &rec, &synced,
				     &length) != WAL_GOOD) {
			err = CF_ECORRUPT;
			break;
		}
		if (rec.index == index)
			break;
		*epoch = rec.epoch;
		at += length;
	}
	*offset = at;
out:
	buf_free(&path);
	buf_free(&raw);
	return err;
}

/* Drops the last segment file and closes it. */
static int wal_drop_last(struct wal *w)
{
	if (w->fd >= 0)
		w->files->close(w->files, w->fd);
	w->fd = -1;
	w->torn = false;
	w->n_segments--;
	return wal_segment_remove(w, w->n_segments);
}

/* Removes the records from from_index on; durable on return. */
int wal_truncate(struct wal *w, uint64_t from_index)
{
	size_t offset;
	int err;

	if (w->failed)
		return w->failed;
	if (from_index >= w->next)
		return 0;
	if (from_index < wal_first(w))
		return CF_EINVAL;
	/* From the newest file back, so that a crash leaves no gap. */
	while (w->segments[w->n_segments - 1].first > from_index) {
		err = wal_drop_last(w);
		if (err)
			return wal_fail(w, err);
	}
	if (w->fd < 0) {
		if ((err = wal_segment_open_last(w)) ||
		    (err = file_sync_dir(w->files, w->dir)))
			return wal_fail(w, err);
	}
	/* Only the epoch before the first record of a segment is not known here. */
	w->last_epoch = 0;
	err = wal_find(w, from_index, &offset, &w->last_epoch);
	if (err)
		return wal_fail(w, err);
	if (w->files->ftruncate(w->files, w->fd, (off_t)offset))
		return wal_fail(w, CF_EIO);
	w->torn = false;
	w->segments[w->n_segments - 1].size = offset;
	w->next = from_index;
	return wal_sync(w);
}

/*
 * Removes the segments that hold only records up to index. If the log ends before
 * index, it becomes empty and goes on at index + 1.
 */
int wal_compact(struct wal *w, uint64_t index)
{
	size_t drop = 0;
	int err;

	if (w->failed)
		return w->failed;
	if (w->next <= index + 1)
		drop = w->n_segments;
	while (drop + 1 < w->n_segments && w->segments[drop + 1].first <= index + 1)
		drop++;
	if (drop == 0) {
		if (w->n_segments == 0 && w->next <= index)
			w->next = index + 1;
		return 0;
	}
	if (drop == w->n_segments) {
		w->files->close(w->files, w->fd);
		w->fd = -1;
		w->torn = false;
	}
	for (size_t i = 0; i < drop; i++) {
		err = wal_segment_remove(w, i);
		if (err)
			return wal_fail(w, err);
	}
	w->n_segments -= drop;
	memmove(w->segments, w->segments + drop, w->n_segments * sizeof(*w->segments));
	if (w->next <= index)
		w->next = index + 1;
	if (w->synced < w->next - 1 && w->n_segments == 0)
		w->synced = w->next - 1;
	return wal_fail(w, file_sync_dir(w->files, w->dir));
}

/* Index of the last record, or of the base when there is none. */
uint64_t wal_last(const struct wal *w)
{
	return w->next - 1;
}

/* Index of the first record that is stored, or the next one when there is none. */
uint64_t wal_first(const struct wal *w)
{
	return w->n_segments ? w->segments[0].first : w->next;
}

/* Bytes of the torn tail that wal_open() cut. */
uint64_t wal_cut_bytes(const struct wal *w)
{
	return w->cut_bytes;
}

/* The first failure, 0 if none; the log takes no more operations after one. */
int wal_failure(const struct wal *w)
{
	return w->failed;
}

void wal_close(struct wal *w)
{
	if (!w)
		return;
	if (w->fd >= 0)
		w->files->close(w->files, w->fd);
	free(w->segments);
	free(w->dir);
	buf_free(&w->scratch);
	free(w);
}
