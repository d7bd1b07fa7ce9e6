#include "io/wal_priv.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "io/wal_format.h"
#include "io/wholefile.h"

#define SEGMENT_PREFIX "wal-"

static int segment_cmp(const void *a, const void *b)
{
	const struct wal_segment *x = a;
	const struct wal_segment *y = b;

	return (x->first > y->first) - (x->first < y->first);
}

/* Reads the names of the segments. */
int wal_list(struct wal *w)
{
	struct dirent *d;
	DIR *dir = opendir(w->dir);
	int err = 0;

	if (!dir)
		return CF_EIO;
	while ((d = readdir(dir))) {
		struct wal_segment *s;
		struct str name = str_from(d->d_name);
		uint64_t first;

		if (!str_starts(name, STR(SEGMENT_PREFIX)))
			continue;
		name.p += sizeof(SEGMENT_PREFIX) - 1;
		name.n -= sizeof(SEGMENT_PREFIX) - 1;
		if (str_to_u64(name, &first))
			continue;
		s = realloc(w->segments, (w->n_segments + 1) * sizeof(*s));
		if (!s) {
			err = CF_ENOMEM;
			break;
		}
		w->segments = s;
		s[w->n_segments++] = (struct wal_segment){.first = first};
	}
	closedir(dir);
	if (w->n_segments)
		qsort(w->segments, w->n_segments, sizeof(*w->segments), segment_cmp);
	return err;
}

int wal_segment_path(const struct wal *w, size_t i, struct buf *path)
{
	path->n = 0;
	return buf_addf(path, "%s/" SEGMENT_PREFIX "%020llu", w->dir,
			(unsigned long long)w->segments[i].first);
}

/* Removes one file; the caller closes the gap in the list and syncs the directory. */
int wal_segment_remove(struct wal *w, size_t i)
{
	struct buf path = {0};
	int err = wal_segment_path(w, i, &path);

	if (!err && w->files->unlink(w->files, path.p) && errno != ENOENT)
		err = CF_EIO;
	buf_free(&path);
	return err;
}

/* Opens the last segment for appending. */
int wal_segment_open_last(struct wal *w)
{
	struct buf path = {0};
	int err = wal_segment_path(w, w->n_segments - 1, &path);

	if (!err) {
		w->fd = w->files->open(w->files, path.p, O_WRONLY | O_CREAT | O_APPEND,
				       0600);
		if (w->fd < 0)
			err = file_error();
	}
	buf_free(&path);
	return err;
}

/* Cuts the torn tail of the last segment and makes the cut durable. */
static int wal_cut(struct wal *w, size_t size, size_t cut)
{
	w->cut_bytes = cut;
	if (w->files->ftruncate(w->files, w->fd, (off_t)size))
		return file_error();
	return w->files->fdatasync(w->files, w->fd) ? CF_EIO : 0;
}

/* Reads one segment; cuts a torn tail of the last one. */
static int wal_scan_segment(struct wal *w, size_t i, uint64_t base, wal_scan_fn scan,
			    void *arg)
{
	struct wal_record last = {.index = w->next - 1, .epoch = w->last_epoch};
	bool is_last = i + 1 == w->n_segments;
	struct buf path = {0};
	struct buf raw = {0};
	size_t at = 0;
	int err;

	if ((err = wal_segment_path(w, i, &path)) ||
	    (err = file_read_all(w->files, path.p, &raw)))
		goto out;
	while (at < raw.n) {
		struct str rest = {raw.p + at, raw.n - at};
		struct wal_record rec;
		uint64_t synced;
		size_t length;

		if (wal_record_parse(rest, &rec, &synced, &length) != WAL_GOOD) {
			if (!is_last || wal_record_follows(rest, &last))
				err = CF_ECORRUPT;
			else
				err = wal_cut(w, at, rest.n);
			break;
		}
		if (rec.index != last.index + 1 || rec.epoch < last.epoch) {
			err = CF_ECORRUPT;
			break;
		}
		last = rec;
		at += length;
		if (rec.index > base && scan && (err = scan(arg, &rec)))
			break;
	}
	w->segments[i].size = at;
	w->next = last.index + 1;
	w->last_epoch = last.epoch;
out:
	buf_free(&path);
	buf_free(&raw);
	return err;
}

/* Reads all segments after base. */
int wal_scan(struct wal *w, uint64_t base, wal_scan_fn scan, void *arg)
{
	int err;

	if (w->n_segments == 0)
		return 0;
	if (w->segments[0].first > base + 1)
		return CF_ECORRUPT;
	err = wal_segment_open_last(w);
	if (err)
		return err;
	w->next = w->segments[0].first;
	for (size_t i = 0; i < w->n_segments; i++) {
		if (w->segments[i].first != w->next)
			return CF_ECORRUPT;
		err = wal_scan_segment(w, i, base, scan, arg);
		if (err)
			return err;
	}
	return 0;
}
