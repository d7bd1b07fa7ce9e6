#include <check.h>
#include <fcntl.h>
#include <poll.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <unistd.h>

#include "base/err.h"
#include "io/async_sync.h"

#define LIMIT_MS 30000
#define BYTES (4U << 20)

static struct async_sync *syncer;
static int fd;

static void setup(void)
{
	char path[] = "/tmp/test_async_sync.XXXXXX";

	fd = mkstemp(path);
	ck_assert_int_ge(fd, 0);
	unlink(path);
	ck_assert_int_eq(async_sync_new(&syncer), 0);
}

static void teardown(void)
{
	async_sync_free(syncer);
	close(fd);
}

static bool is_signalled(int limit_ms)
{
	struct pollfd p = {.fd = async_sync_event_fd(syncer), .events = POLLIN};
	uint64_t n;

	return poll(&p, 1, limit_ms) == 1 && read(p.fd, &n, sizeof(n)) == sizeof(n);
}

static void write_bytes(void)
{
	char *bytes = calloc(1, BYTES);

	ck_assert_ptr_nonnull(bytes);
	ck_assert_int_eq(write(fd, bytes, BYTES), BYTES);
	free(bytes);
}

/* Guards against an end that is not signalled, or signalled twice. */
START_TEST(each_end_is_signalled_once)
{
	for (int i = 0; i < 20; i++) {
		write_bytes();
		ck_assert_int_eq(async_sync_start(syncer, i % 4 ? fd : -1), 0);
		ck_assert(is_signalled(LIMIT_MS));
		ck_assert_int_eq(async_sync_finish(syncer), 0);
		ck_assert(!is_signalled(0));
	}
}
END_TEST

/* Guards against a wait for a sync that takes the end from the loop. */
START_TEST(end_is_signalled_after_a_wait)
{
	write_bytes();
	ck_assert_int_eq(async_sync_start(syncer, fd), 0);
	ck_assert_int_eq(async_sync_finish(syncer), 0);
	ck_assert(is_signalled(LIMIT_MS));
	write_bytes();
	ck_assert_int_eq(async_sync_start(syncer, fd), 0);
	ck_assert(is_signalled(LIMIT_MS));
	ck_assert_int_eq(async_sync_finish(syncer), 0);
}
END_TEST

/* Guards against a sync that failed and counts as durable. */
START_TEST(failed_synceris_reported)
{
	int ends[2];

	ck_assert_int_eq(pipe(ends), 0);
	ck_assert_int_eq(async_sync_start(syncer, ends[1]), 0);
	ck_assert(is_signalled(LIMIT_MS));
	ck_assert_int_eq(async_sync_finish(syncer), CF_EIO);
	ck_assert_int_eq(async_sync_start(syncer, fd), 0);
	ck_assert_int_eq(async_sync_finish(syncer), 0);
	close(ends[0]);
	close(ends[1]);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("async_sync");
	TCase *t = tcase_create("syncs");
	SRunner *r;
	int failed;

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_set_timeout(t, 120);
	tcase_add_test(t, each_end_is_signalled_once);
	tcase_add_test(t, end_is_signalled_after_a_wait);
	tcase_add_test(t, failed_synceris_reported);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
