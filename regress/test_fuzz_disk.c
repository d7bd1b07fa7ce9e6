/* Files of a data directory: segments of the log, snapshot and promise. */
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>
#include <zlib.h>

#include "base/err.h"
#include "io/promise.h"
#include "io/snapfile.h"
#include "io/wal.h"
#include "io/wal_format.h"
#include "io/wholefile.h"
#include "regress/lib_fuzz.h"

#define N_SEGMENTS 20000
#define N_FILES 20000
#define MEMBER 7
#define WHOLE_HEADER 16

/*
 * Every file is the same one in memory: the directory only has its name. Disks with slow
 * syncs would make the test long.
 */
static int file = -1;
static char dir[64];
static char dir_entry[128];

static int memory_open(struct fileops *f, const char *path, int flags, int mode)
{
	char own[32];

	if (flags & O_DIRECTORY)
		return open(path, flags, mode);
	snprintf(own, sizeof(own), "/proc/self/fd/%d", file);
	return open(own, flags & ~(O_CREAT | O_EXCL), mode);
}

static ssize_t memory_write(struct fileops *f, int fd, const void *p, size_t n)
{
	return write(fd, p, n);
}

static int memory_fdatasync(struct fileops *f, int fd)
{
	return 0;
}

static int memory_ftruncate(struct fileops *f, int fd, off_t size)
{
	return ftruncate(fd, size);
}

static int memory_rename(struct fileops *f, const char *from, const char *to)
{
	return 0;
}

static int memory_unlink(struct fileops *f, const char *path)
{
	return 0;
}

static int memory_close(struct fileops *f, int fd)
{
	return close(fd);
}

static struct fileops files = {
	memory_open,   memory_write,  memory_fdatasync, memory_ftruncate,
	memory_rename, memory_unlink, memory_close,
};

static void open_dir(const char *name)
{
	snprintf(dir, sizeof(dir), "/tmp/test_fuzz_disk.XXXXXX");
	FUZZ_MUST(mkdtemp(dir));
	snprintf(dir_entry, sizeof(dir_entry), "%s/%s", dir, name);
	close(open(dir_entry, O_CREAT | O_WRONLY, 0600));
	file = memfd_create("file", 0);
	ck_assert_int_ge(file, 0);
}

static void close_dir(void)
{
	close(file);
	unlink(dir_entry);
	rmdir(dir);
}

static void set_file(struct str bytes)
{
	FUZZ_MUST((ftruncate(file, 0)) == 0);
	ck_assert_int_eq((int)pwrite(file, bytes.p, bytes.n, 0), (int)bytes.n);
}

static void add_segments(struct fuzz *f)
{
	struct buf bytes = {0};

	for (uint64_t i = 1; i <= 8; i++) {
		struct wal_record rec = {.index = i, .epoch = 1 + i / 4, .kind = i % 3};

		rec.data = i % 2 ? STR("some data of a record") : STR("");
		FUZZ_MUST((wal_record_add(&bytes, &rec, i / 2)) == 0);
		if (i % 4 == 0)
			fuzz_add(f, buf_str(&bytes));
	}
	buf_free(&bytes);
}

/* Gives the records right checksums, as a damaged writer would. */
static void mend_records(struct buf *b)
{
	for (size_t at = 0; at + WAL_HEADER <= b->n;) {
		unsigned char *h = (unsigned char *)b->p + at;
		size_t n = le_get32(h);
		uLong crc;

		if (n > b->n - at - WAL_HEADER)
			return;
		crc = crc32_z(0, h, 4);
		crc = crc32_z(crc, h + 8, WAL_HEADER - 8 + n);
		le_put32(h + 4, (uint32_t)crc);
		at += WAL_HEADER + n;
	}
}

struct seen {
	struct fuzz *f;
	uint64_t last;
	uint64_t epoch;
	uint64_t n;
	size_t bytes;
};

static int take_record(void *arg, const struct wal_record *rec)
{
	struct seen *s = arg;

	FUZZ_CHECK(s->f, rec->index == s->last + 1 && rec->epoch >= s->epoch);
	s->last = rec->index;
	s->epoch = rec->epoch;
	s->n++;
	s->bytes += rec->data.n;
	return 0;
}

static int read_log(struct fuzz *f, struct seen *s, struct wal **w)
{
	struct wal_options opt = {.dir = dir, .files = &files};

	*s = (struct seen){.f = f};
	return wal_open(&opt, take_record, s, w);
}

/* A log that was opened takes a record, and has it and all others when opened again. */
static void check_goes_on(struct fuzz *f, struct wal *w, const struct seen *before)
{
	struct wal_record rec = {
		.index = before->last + 1, .epoch = before->epoch, .data = STR("next")};
	struct seen after;

	FUZZ_CHECK(f, wal_last(w) == before->last);
	FUZZ_CHECK(f, wal_append(w, &rec, 1) == 0 && wal_sync(w) == 0);
	wal_close(w);
	FUZZ_CHECK(f, read_log(f, &after, &w) == 0);
	FUZZ_CHECK(f,
		   after.n == before->n + 1 && after.bytes == before->bytes + rec.data.n);
	wal_close(w);
}

/* Guards against a damaged segment that ends the process or is read in part. */
START_TEST(segments)
{
	struct buf changed = {0};
	struct str input;
	struct fuzz f;

	open_dir("wal-00000000000000000001");
	fuzz_open(&f, "segments", N_SEGMENTS);
	add_segments(&f);
	while (fuzz_next(&f, &input)) {
		struct seen seen;
		struct wal *w;
		int err;

		changed.n = 0;
		FUZZ_MUST((buf_add(&changed, input.p, input.n)) == 0);
		if (f.inputs % 2)
			mend_records(&changed);
		set_file(buf_str(&changed));
		err = read_log(&f, &seen, &w);
		FUZZ_CHECK(&f, err == 0 || err == CF_ECORRUPT);
		if (err)
			continue;
		f.accepted++;
		check_goes_on(&f, w, &seen);
	}
	buf_free(&changed);
	fuzz_close(&f);
	close_dir();
}
END_TEST

/* The file that was just saved. */
static void add_file(struct fuzz *f)
{
	char bytes[4096];
	ssize_t n = pread(file, bytes, sizeof(bytes), 0);

	ck_assert_int_gt((int)n, 0);
	fuzz_add(f, (struct str){bytes, (size_t)n});
	FUZZ_MUST((ftruncate(file, 0)) == 0);
}

static void mend_whole(struct buf *b)
{
	unsigned char *h = (unsigned char *)b->p;
	uLong crc;

	if (b->n < WHOLE_HEADER)
		return;
	le_put64(h + 8, b->n - WHOLE_HEADER);
	crc = crc32_z(0, h + 8, 8);
	crc = crc32_z(crc, h + WHOLE_HEADER, b->n - WHOLE_HEADER);
	le_put32(h + 4, (uint32_t)crc);
}

/* Guards against a damaged snapshot or promise that ends the process or is taken. */
START_TEST(whole_files)
{
	struct promise p = {.member = MEMBER, .identity = 9, .epoch = 3, .vote = 2};
	struct buf changed = {0}, snapshot = {0};
	struct str input;
	struct fuzz f;

	open_dir("snapshot");
	fuzz_open(&f, "whole_files", N_FILES);
	FUZZ_MUST((promise_save(dir, &files, &p)) == 0);
	add_file(&f);
	FUZZ_MUST((snapfile_save(dir, &files, 5, 2, STR("bytes of a snapshot"))) == 0);
	add_file(&f);
	while (fuzz_next(&f, &input)) {
		uint64_t index, epoch;
		struct promise got;
		int err;

		changed.n = 0;
		FUZZ_MUST((buf_add(&changed, input.p, input.n)) == 0);
		if (f.inputs % 2)
			mend_whole(&changed);
		set_file(buf_str(&changed));
		err = promise_load(dir, &files, MEMBER, &got);
		FUZZ_CHECK(&f, err == 0 || err == CF_ECORRUPT || err == CF_EFOREIGN);
		FUZZ_CHECK(&f, err || (got.identity && got.member == MEMBER));
		err = snapfile_load(dir, &files, &index, &epoch, &snapshot);
		FUZZ_CHECK(&f, err == 0 || err == CF_ECORRUPT);
		f.accepted += !err;
	}
	buf_free(&changed);
	buf_free(&snapshot);
	fuzz_close(&f);
	close_dir();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {segments, whole_files};

	return fuzz_main("fuzz_disk", tests, sizeof(tests) / sizeof(tests[0]));
}
