#include <check.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/err.h"
#include "base/prng.h"
#include "io/promise.h"
#include "io/snapfile.h"
#include "io/wal.h"

/* System calls that fail at the countdown-th call of the chosen kind. */
enum fault {
	FAULT_NONE,
	FAULT_OPEN, /* for writing */
	FAULT_WRITE,
	FAULT_SYNC,
	FAULT_TRUNCATE,
	FAULT_RENAME,
	FAULT_ANY,
};

struct faulty {
	struct fileops ops; /* first */
	enum fault kind;
	int countdown;
	int error;
	int syncs;
};

static bool faulty_hits(struct fileops *f, enum fault kind)
{
	struct faulty *x = (struct faulty *)f;

	if (x->kind != kind && x->kind != FAULT_ANY)
		return false;
	if (x->countdown-- != 0)
		return false;
	errno = x->error;
	return true;
}

static int faulty_open(struct fileops *f, const char *path, int flags, int mode)
{
	struct faulty *x = (struct faulty *)f;

	if (x->kind == FAULT_OPEN && flags & O_WRONLY && faulty_hits(f, FAULT_OPEN))
		return -1;
	return open(path, flags | O_CLOEXEC, mode);
}

/* A failing write stores a part first, as a full disk does. */
static ssize_t faulty_write(struct fileops *f, int fd, const void *p, size_t n)
{
	if (faulty_hits(f, FAULT_WRITE)) {
		ssize_t part = write(fd, p, n / 2);

		(void)part;
		errno = ((struct faulty *)f)->error;
		return -1;
	}
	return write(fd, p, n);
}

static int faulty_fdatasync(struct fileops *f, int fd)
{
	((struct faulty *)f)->syncs++;
	return faulty_hits(f, FAULT_SYNC) ? -1 : fdatasync(fd);
}

static int faulty_ftruncate(struct fileops *f, int fd, off_t size)
{
	return faulty_hits(f, FAULT_TRUNCATE) ? -1 : ftruncate(fd, size);
}

static int faulty_rename(struct fileops *f, const char *from, const char *to)
{
	return faulty_hits(f, FAULT_RENAME) ? -1 : rename(from, to);
}

static int faulty_unlink(struct fileops *f, const char *path)
{
	return faulty_hits(f, FAULT_ANY) ? -1 : unlink(path);
}

static int faulty_close(struct fileops *f, int fd)
{
	return close(fd);
}

static struct faulty faulty_files(void)
{
	return (struct faulty){
		.ops = {faulty_open, faulty_write, faulty_fdatasync, faulty_ftruncate,
			faulty_rename, faulty_unlink, faulty_close},
		.kind = FAULT_NONE,
		.countdown = -1,
		.error = EIO,
	};
}

static char dir[64];

static void setup(void)
{
	snprintf(dir, sizeof(dir), "/tmp/test_wal.XXXXXX");
	ck_assert_ptr_ne(mkdtemp(dir), NULL);
}

static void teardown(void)
{
	char path[128];

	for (int i = 0; i < 200; i++) {
		snprintf(path, sizeof(path), "%s/wal-%020d", dir, i);
		unlink(path);
	}
	for (int i = 0; i < 4; i++) {
		static const char *const names[] = {"promise", "promise.tmp", "snapshot",
						    "snapshot.tmp"};

		snprintf(path, sizeof(path), "%s/%s", dir, names[i]);
		unlink(path);
	}
	rmdir(dir);
}

/* Data of a record is derived from its index and epoch. */
static struct wal_record record(uint64_t index, uint64_t epoch, char *data)
{
	struct prng r = {.state = index * 1000 + epoch};
	size_t n = prng_below(&r, 40);

	for (size_t i = 0; i < n; i++)
		data[i] = (char)prng_next(&r);
	return (struct wal_record){
		.index = index, .epoch = epoch, .kind = 0, .data = {data, n}};
}

struct seen {
	uint64_t first, last, epoch;
};

static int check_record(void *arg, const struct wal_record *rec)
{
	struct seen *s = arg;
	char data[64];
	struct wal_record want = record(rec->index, rec->epoch, data);

	ck_assert(str_eq(want.data, rec->data));
	if (s->first == 0)
		s->first = rec->index;
	else
		ck_assert_uint_eq(rec->index, s->last + 1);
	s->last = rec->index;
	s->epoch = rec->epoch;
	return 0;
}

static int reopen(struct wal **w, uint64_t base, size_t segment, struct seen *s,
		  struct fileops *files)
{
	struct wal_options opt = {
		.dir = dir, .files = files, .segment_bytes = segment, .base = base};

	*s = (struct seen){0};
	return wal_open(&opt, check_record, s, w);
}

static void append(struct wal *w, uint64_t from, uint64_t to, uint64_t epoch)
{
	char data[64];

	for (uint64_t i = from; i <= to; i++) {
		struct wal_record rec = record(i, epoch, data);

		ck_assert_int_eq(wal_append(w, &rec, 1), 0);
	}
}

static void segment_path(uint64_t first, char *path, size_t n)
{
	snprintf(path, n, "%s/wal-%020llu", dir, (unsigned long long)first);
}

static size_t read_file(const char *path, char *out, size_t cap)
{
	int fd = open(path, O_RDONLY);
	ssize_t n;

	ck_assert_int_ge(fd, 0);
	n = read(fd, out, cap);
	close(fd);
	ck_assert_int_ge((int)n, 0);
	return (size_t)n;
}

static void write_file(const char *path, const char *p, size_t n)
{
	int fd = open(path, O_WRONLY | O_CREAT | O_TRUNC, 0600);

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq((int)write(fd, p, n), (int)n);
	close(fd);
}

/* Guards against a torn tail that is refused, or cut at the wrong record. */
START_TEST(torn_tail_at_every_offset)
{
	static char whole[8192], path[128];
	struct seen s;
	struct wal *w;
	size_t n, ends[12] = {0};

	ck_assert_int_eq(reopen(&w, 0, 0, &s, NULL), 0);
	segment_path(1, path, sizeof(path));
	for (uint64_t i = 1; i <= 10; i++) {
		append(w, i, i, 1);
		ends[i] = read_file(path, whole, sizeof(whole));
	}
	wal_close(w);
	n = read_file(path, whole, sizeof(whole));
	for (size_t cut = 0; cut <= n; cut++) {
		uint64_t want = 0;

		while (want < 10 && ends[want + 1] <= cut)
			want++;
		write_file(path, whole, cut);
		ck_assert_int_eq(reopen(&w, 0, 0, &s, NULL), 0);
		ck_assert_uint_eq(s.last, want);
		ck_assert_uint_eq(wal_last(w), want);
		ck_assert_uint_eq(wal_cut_bytes(w), cut - ends[want]);
		/* The log goes on behind the cut. */
		append(w, want + 1, want + 1, 2);
		wal_close(w);
		ck_assert_int_eq(reopen(&w, 0, 0, &s, NULL), 0);
		ck_assert_uint_eq(s.last, want + 1);
		wal_close(w);
	}
}
END_TEST

/* Guards against synced records that vanish because of one damaged byte. */
START_TEST(damage_before_synced_records_is_refused)
{
	static char whole[8192], path[128];
	struct seen s;
	struct wal *w;
	size_t n, synced_end;
	int refused = 0;

	ck_assert_int_eq(reopen(&w, 0, 0, &s, NULL), 0);
	segment_path(1, path, sizeof(path));
	append(w, 1, 8, 1);
	ck_assert_int_eq(wal_sync(w), 0);
	synced_end = read_file(path, whole, sizeof(whole));
	append(w, 9, 12, 1);
	wal_close(w);
	n = read_file(path, whole, sizeof(whole));
	for (size_t at = 0; at < n; at++) {
		int err;

		whole[at] = (char)(whole[at] ^ 0x10);
		write_file(path, whole, n);
		whole[at] = (char)(whole[at] ^ 0x10);
		err = reopen(&w, 0, 0, &s, NULL);
		if (at < synced_end) {
			ck_assert_int_eq(err, CF_ECORRUPT);
			refused++;
			continue;
		}
		/* Unsynced pages reach the disk in any order: a tail, not damage. */
		ck_assert_int_eq(err, 0);
		ck_assert_uint_ge(s.last, 8);
		ck_assert_uint_lt(s.last, 12);
		wal_close(w);
	}
	ck_assert_int_eq(refused, (int)synced_end);
}
END_TEST

/* Guards against a missing or damaged older segment that is taken for a tail. */
START_TEST(older_segments_are_complete)
{
	char path[128];
	struct seen s;
	struct wal *w;

	ck_assert_int_eq(reopen(&w, 0, 200, &s, NULL), 0);
	append(w, 1, 40, 1);
	wal_close(w);
	ck_assert_int_eq(reopen(&w, 0, 200, &s, NULL), 0);
	ck_assert_uint_eq(s.last, 40);
	wal_close(w);
	for (uint64_t i = 2; i <= 40; i++) {
		segment_path(i, path, sizeof(path));
		if (access(path, F_OK) == 0)
			break;
	}
	ck_assert_int_eq(truncate(path, 10), 0);
	ck_assert_int_eq(reopen(&w, 0, 200, &s, NULL), CF_ECORRUPT);
	ck_assert_int_eq(unlink(path), 0);
	ck_assert_int_eq(reopen(&w, 0, 200, &s, NULL), CF_ECORRUPT);
}
END_TEST

/* Guards against truncated records that return, within and across segments. */
START_TEST(truncate_is_kept)
{
	struct seen s;
	struct wal *w;

	for (uint64_t from = 40; from >= 1; from--) {
		ck_assert_int_eq(reopen(&w, 0, 300, &s, NULL), 0);
		append(w, wal_last(w) + 1, 40, 50 - from);
		ck_assert_int_eq(wal_truncate(w, from), 0);
		ck_assert_uint_eq(wal_last(w), from - 1);
		append(w, from, from, 51 - from);
		wal_close(w);
		ck_assert_int_eq(reopen(&w, 0, 300, &s, NULL), 0);
		ck_assert_uint_eq(s.last, from);
		ck_assert_uint_eq(s.epoch, 51 - from);
		wal_close(w);
	}
}
END_TEST

/* Guards against records lost or a hole left when the log is compacted. */
START_TEST(compact_keeps_the_tail)
{
	struct seen s;
	struct wal *w;

	ck_assert_int_eq(reopen(&w, 0, 300, &s, NULL), 0);
	append(w, 1, 60, 1);
	ck_assert_int_eq(wal_compact(w, 30), 0);
	ck_assert_uint_gt(wal_first(w), 1);
	ck_assert_uint_le(wal_first(w), 31);
	wal_close(w);
	ck_assert_int_eq(reopen(&w, 30, 300, &s, NULL), 0);
	ck_assert_uint_eq(s.first, 31);
	ck_assert_uint_eq(s.last, 60);
	/* An installed snapshot may be far ahead of the log. */
	ck_assert_int_eq(wal_compact(w, 100), 0);
	ck_assert_uint_eq(wal_last(w), 100);
	append(w, 101, 103, 2);
	wal_close(w);
	ck_assert_int_eq(reopen(&w, 100, 300, &s, NULL), 0);
	ck_assert_uint_eq(s.first, 101);
	ck_assert_uint_eq(s.last, 103);
	wal_close(w);
	/* Without the snapshot the log has a hole at its start. */
	ck_assert_int_eq(reopen(&w, 50, 300, &s, NULL), CF_ECORRUPT);
	/* A crash between the saved snapshot and the compaction. */
	ck_assert_int_eq(reopen(&w, 200, 300, &s, NULL), 0);
	ck_assert_uint_eq(wal_last(w), 200);
	append(w, 201, 201, 3);
	wal_close(w);
}
END_TEST

/* Guards against a sync that is tried again, or a log used after a failure. */
START_TEST(failure_is_final)
{
	static const struct {
		enum fault kind;
		int error, want;
	} cases[] = {{FAULT_SYNC, EIO, CF_EIO},
		     {FAULT_SYNC, ENOSPC, CF_EIO},
		     {FAULT_WRITE, EIO, CF_EIO}};
	const size_t i = (size_t)_i;
	struct faulty f = faulty_files();
	struct wal_record rec;
	char data[64];
	struct seen s;
	struct wal *w;
	int err;
	int syncs;

	ck_assert_int_eq(reopen(&w, 0, 0, &s, &f.ops), 0);
	append(w, 1, 5, 1);
	ck_assert_int_eq(wal_sync(w), 0);
	f.kind = cases[i].kind;
	f.error = cases[i].error;
	f.countdown = 0;
	rec = record(6, 1, data);
	err = wal_append(w, &rec, 1);
	if (!err)
		err = wal_sync(w);
	ck_assert_int_eq(err, cases[i].want);
	syncs = f.syncs;
	rec = record(7, 1, data);
	ck_assert_int_eq(wal_append(w, &rec, 1), cases[i].want);
	ck_assert_int_eq(wal_sync(w), cases[i].want);
	ck_assert_int_eq(wal_truncate(w, 2), cases[i].want);
	ck_assert_int_eq(wal_compact(w, 2), cases[i].want);
	ck_assert_int_eq(wal_failure(w), cases[i].want);
	ck_assert_int_eq(f.syncs, syncs);
	wal_close(w);
	/* What had been synced is there. */
	ck_assert_int_eq(reopen(&w, 0, 0, &s, NULL), 0);
	ck_assert_uint_ge(s.last, 5);
	wal_close(w);
}
END_TEST

/*
 * Guards against a log that a full disk ends, or that keeps a part of a refused write:
 * what follows the refusal is appended where the last record ends.
 */
START_TEST(full_disk_is_not_final)
{
	static const enum fault kinds[] = {FAULT_WRITE, FAULT_OPEN, FAULT_TRUNCATE};
	struct faulty f = faulty_files();
	struct wal_record rec;
	char data[64];
	struct seen s;
	struct wal *w;

	ck_assert_int_eq(reopen(&w, 0, 100, &s, &f.ops), 0);
	append(w, 1, 2, 1);
	ck_assert_int_eq(wal_sync(w), 0);
	for (uint64_t next = 3; next < 60; next++) {
		f.error = ENOSPC;
		f.kind = kinds[next % 3];
		f.countdown = 0;
		rec = record(next, 1, data);
		if (f.kind == FAULT_TRUNCATE) {
			/* Neither the write nor the cut of its part is possible. */
			f.kind = FAULT_WRITE;
			ck_assert_int_eq(wal_append(w, &rec, 1), CF_ENOSPACE);
			f.kind = FAULT_TRUNCATE;
			f.countdown = 0;
		}
		if (wal_append(w, &rec, 1))
			ck_assert_int_eq(wal_append(w, &rec, 1), 0);
		f.kind = FAULT_NONE;
		ck_assert_int_eq(wal_failure(w), 0);
		ck_assert_int_eq(wal_sync(w), 0);
	}
	ck_assert_uint_eq(wal_last(w), 59);
	wal_close(w);
	ck_assert_int_eq(reopen(&w, 0, 100, &s, NULL), 0);
	ck_assert_uint_eq(s.first, 1);
	ck_assert_uint_eq(s.last, 59);
	wal_close(w);
}
END_TEST

/* Guards against a promise that is lost or damaged when its disk is full. */
START_TEST(promise_survives_a_full_disk)
{
	static const enum fault kinds[] = {FAULT_WRITE, FAULT_OPEN, FAULT_RENAME};
	struct promise p = {.member = 7, .identity = 9, .epoch = 1};
	struct faulty f = faulty_files();
	struct promise got;

	ck_assert_int_eq(promise_save(dir, &f.ops, &p), 0);
	for (size_t i = 0; i < 3; i++) {
		p.epoch = i + 2;
		f.error = ENOSPC;
		f.kind = kinds[i];
		f.countdown = 0;
		ck_assert_int_eq(promise_save(dir, &f.ops, &p), CF_ENOSPACE);
		ck_assert_int_eq(promise_load(dir, NULL, 7, &got), 0);
		ck_assert_uint_eq(got.epoch, i + 1);
		ck_assert_int_eq(promise_save(dir, &f.ops, &p), 0);
	}
}
END_TEST

/*
 * Guards against loss or return of records when any system call of any operation
 * fails: after reopening, the log holds everything that was synced and not removed.
 */
START_TEST(any_operation_may_fail)
{
	for (int step = 0; step < 60; step++) {
		struct prng r = {.state = (uint64_t)_i * 1000 + (uint64_t)step};
		struct faulty f = faulty_files();
		uint64_t synced = 0, next = 1, base = 0;
		struct seen s;
		struct wal *w;
		int err = 0;

		setup();
		ck_assert_int_eq(reopen(&w, 0, 200, &s, &f.ops), 0);
		f.kind = FAULT_ANY;
		f.countdown = step;
		for (int op = 0; op < 200 && !err; op++) {
			uint64_t at = synced > base
					      ? base + 1 + prng_below(&r, synced - base)
					      : 0;
			char data[64];
			struct wal_record rec = record(next, 1, data);

			switch (prng_below(&r, 12)) {
			case 0:
				if (!at)
					break;
				err = wal_truncate(w, at);
				synced = at - 1;
				if (!err)
					next = at;
				break;
			case 1:
				/* The snapshot is saved before the log is compacted. */
				if (at) {
					base = at;
					err = wal_compact(w, at);
				}
				break;
			case 2:
			case 3:
			case 4:
				if (!(err = wal_sync(w)))
					synced = next - 1;
				break;
			default:
				if (!(err = wal_append(w, &rec, 1)))
					next++;
				break;
			}
		}
		wal_close(w);
		ck_assert_int_eq(reopen(&w, base, 200, &s, NULL), 0);
		ck_assert_uint_ge(wal_last(w), synced > base ? synced : base);
		ck_assert_uint_le(wal_last(w), next);
		if (s.first)
			ck_assert_uint_eq(s.first, base + 1);
		wal_close(w);
		teardown();
	}
	setup();
}
END_TEST

/* Guards against a mix or loss of snapshots when saving is cut short at any step. */
START_TEST(snapshot_is_old_or_new)
{
	struct faulty f = faulty_files();
	struct buf got = {0};
	uint64_t index, epoch;
	int steps = 0;

	ck_assert_int_eq(snapfile_load(dir, NULL, &index, &epoch, &got), CF_ENOENT);
	ck_assert_int_eq(snapfile_save(dir, NULL, 1, 1, STR("first")), 0);
	for (int step = 0;; step++) {
		uint64_t new_index = 100 + (uint64_t)step;
		uint64_t old_index;
		int err;

		ck_assert_int_eq(snapfile_load(dir, NULL, &old_index, &epoch, &got), 0);
		f.kind = FAULT_ANY;
		f.countdown = step;
		err = snapfile_save(dir, &f.ops, new_index, 2, STR("second"));
		ck_assert_int_eq(snapfile_load(dir, NULL, &index, &epoch, &got), 0);
		ck_assert(index == old_index || index == new_index);
		if (!err) {
			ck_assert_uint_eq(index, new_index);
			ck_assert(str_eq(buf_str(&got), STR("second")));
			break;
		}
		steps++;
	}
	/* Two writes, sync, rename, sync of the directory. */
	ck_assert_int_eq(steps, 5);
	buf_free(&got);
}
END_TEST

/* Guards against a damaged or cut snapshot or promise that is used. */
START_TEST(damaged_whole_files_are_refused)
{
	static char whole[4096];
	struct promise p;
	struct buf got = {0};
	uint64_t index, epoch;
	char path[128];
	size_t n;

	ck_assert_int_eq(promise_load(dir, NULL, 7, &p), CF_ENOENT);
	ck_assert_int_eq(promise_create(dir, NULL, 7, 0, &p), 0);
	ck_assert_uint_ne(p.identity, 0);
	p.epoch = 9;
	p.vote = 3;
	ck_assert_int_eq(promise_save(dir, NULL, &p), 0);
	ck_assert_int_eq(promise_load(dir, NULL, 8, &p), CF_EFOREIGN);
	ck_assert_int_eq(promise_load(dir, NULL, 7, &p), 0);
	ck_assert_uint_eq(p.epoch, 9);
	ck_assert_uint_eq(p.vote, 3);
	ck_assert_int_eq(snapfile_save(dir, NULL, 5, 2, STR("state")), 0);
	for (int file = 0; file < 2; file++) {
		snprintf(path, sizeof(path), "%s/%s", dir, file ? "promise" : "snapshot");
		n = read_file(path, whole, sizeof(whole));
		for (size_t at = 0; at < 2 * n; at++) {
			bool cut = at >= n;
			int err;

			if (!cut)
				whole[at] = (char)(whole[at] ^ 1);
			write_file(path, whole, cut ? at - n : n);
			if (!cut)
				whole[at] = (char)(whole[at] ^ 1);
			err = file ? promise_load(dir, NULL, 7, &p)
				   : snapfile_load(dir, NULL, &index, &epoch, &got);
			ck_assert_int_eq(err, CF_ECORRUPT);
		}
	}
	buf_free(&got);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("wal");
	TCase *tc = tcase_create("wal");
	SRunner *sr;
	int failed;

	tcase_set_timeout(tc, 120);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, torn_tail_at_every_offset);
	tcase_add_test(tc, damage_before_synced_records_is_refused);
	tcase_add_test(tc, older_segments_are_complete);
	tcase_add_test(tc, truncate_is_kept);
	tcase_add_test(tc, compact_keeps_the_tail);
	tcase_add_loop_test(tc, failure_is_final, 0, 3);
	tcase_add_test(tc, full_disk_is_not_final);
	tcase_add_test(tc, promise_survives_a_full_disk);
	tcase_add_loop_test(tc, any_operation_may_fail, 0, 20);
	tcase_add_test(tc, snapshot_is_old_or_new);
	tcase_add_test(tc, damaged_whole_files_are_refused);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
