#include <check.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

#include "base/str.h"
#include "io/log.h"

/* Guards against a name from outside that adds lines to the log. */
START_TEST(value_stays_on_its_line)
{
	struct str id = STR("i-1\nlevel=ERROR event=forged\r\x1b[2J");
	int file = memfd_create("log", 0);
	int out = dup(STDOUT_FILENO);
	char text[1024] = {0};

	ck_assert_int_ge(file, 0);
	ck_assert_int_ge(dup2(file, STDOUT_FILENO), 0);
	ck_assert_int_eq(log_open("test", false), 0);
	log_info("worker-report", "worker=%.*s state=%d", STR_ARG(id), 1);
	log_close();
	dup2(out, STDOUT_FILENO);
	ck_assert_int_gt((int)pread(file, text, sizeof(text) - 1, 0), 0);
	ck_assert_ptr_nonnull(strstr(text, "worker=i-1?level=ERROR"));
	ck_assert_ptr_eq(strchr(text, '\n'), text + strlen(text) - 1);
	ck_assert_ptr_null(strchr(text, '\r'));
	ck_assert_ptr_null(strchr(text, '\x1b'));
	close(out);
	close(file);
}
END_TEST

#define N_FINAL 100U
#define TEXT_BYTES 1500U

/* Puts a file or a pipe in the place of standard output and opens the log. */
static void log_to(int fd)
{
	ck_assert_int_ge(dup2(fd, STDOUT_FILENO), 0);
	ck_assert_int_eq(log_open("test", false), 0);
}

static void set_nonblocking(int fd, bool on)
{
	int flags = fcntl(fd, F_GETFL);

	flags = on ? flags | O_NONBLOCK : flags & ~O_NONBLOCK;
	ck_assert_int_eq(fcntl(fd, F_SETFL, flags), 0);
}

/* A pipe without room, whose write end is the standard output. Returns the read end. */
static int log_to_full_pipe(void)
{
	char fill[4096] = {0};
	int fds[2];

	ck_assert_int_eq(pipe(fds), 0);
	set_nonblocking(fds[0], true);
	set_nonblocking(fds[1], true);
	while (write(fds[1], fill, sizeof(fill)) > 0)
		;
	set_nonblocking(fds[1], false);
	log_to(fds[1]);
	return fds[0];
}

/* Appends what is in the pipe to text. Returns whether there was anything. */
static bool drain(int fd, struct buf *text)
{
	char bytes[4096];
	size_t before = text->n;
	ssize_t n;

	while ((n = read(fd, bytes, sizeof(bytes))) > 0)
		ck_assert_int_eq(buf_add(text, bytes, (size_t)n), 0);
	return text->n > before;
}

/* How many lines "event=end n=0", "event=end n=1" and so on follow in this order. */
static unsigned int count_in_order(const char *text)
{
	char want[32];
	unsigned int n = 0;

	for (;; n++) {
		snprintf(want, sizeof(want), "event=end n=%u ", n);
		text = strstr(text, want);
		if (!text)
			return n;
	}
}

/* Guards against ends of jobs that are missing as other lines were more than the limit.
 */
START_TEST(final_lines_pass_the_limit)
{
	static char text[1024 * 1024];
	int file = memfd_create("log", 0);

	log_to(file);
	for (int i = 0; i < 1000; i++)
		log_info("other", "n=%d", i);
	for (unsigned int i = 0; i < N_FINAL; i++)
		log_final("end", "n=%u .", i);
	log_close();
	ck_assert_int_gt((int)pread(file, text, sizeof(text) - 1, 0), 0);
	ck_assert_uint_eq(count_in_order(text), N_FINAL);
}
END_TEST

/*
 * Guards against ends of jobs that are missing, or stop the process, as the reader of the
 * log was behind. _i: whether a later line or the timer writes them.
 */
START_TEST(final_lines_wait_for_room)
{
	int fd = log_to_full_pipe();
	struct buf text = {0};

	for (unsigned int i = 0; i < N_FINAL; i++)
		log_final("end", "n=%u .", i);
	log_info("dropped", "n=1");
	drain(fd, &text);
	text.n = 0;
	if (_i)
		log_flush();
	log_info("next", "n=1");
	ck_assert(drain(fd, &text));
	ck_assert_int_eq(buf_add(&text, "", 1), 0);
	ck_assert_uint_eq(count_in_order(text.p), N_FINAL);
	ck_assert_ptr_null(strstr(text.p, "event=dropped"));
	ck_assert_ptr_nonnull(strstr(text.p, "event=next"));
	ck_assert(strstr(text.p, "event=next") > strstr(text.p, "n=99 "));
	buf_free(&text);
}
END_TEST

/* Guards against a reader that is gone and makes the process grow, and against ends that
 * are missing without a word.
 */
START_TEST(final_lines_that_are_lost_are_counted)
{
	int fd = log_to_full_pipe();
	struct buf text = {0};
	char want[64];
	char pad[TEXT_BYTES] = {0};
	unsigned int n = 0;
	unsigned int kept;

	memset(pad, 'x', sizeof(pad) - 1);
	for (; n < 4 * N_FINAL; n++)
		log_final("end", "n=%u %s", n, pad);
	log_info("dropped", "n=1");
	drain(fd, &text);
	text.n = 0;
	do
		log_flush();
	while (drain(fd, &text));
	usleep(1100000); /* the number of lost lines is told once a second */
	log_info("next", "n=1");
	drain(fd, &text);
	ck_assert_int_eq(buf_add(&text, "", 1), 0);
	kept = count_in_order(text.p);
	ck_assert_uint_gt(kept, N_FINAL);
	ck_assert_uint_lt(kept, n);
	snprintf(want, sizeof(want), "event=log-dropped lines=1 final=%u\n", n - kept);
	ck_assert_msg(strstr(text.p, want), "no %s", want);
	buf_free(&text);
}
END_TEST

/* Guards against a long line that takes the next one with it. */
START_TEST(long_line_ends)
{
	static char pad[4096];
	char text[8192] = {0};
	int file = memfd_create("log", 0);

	memset(pad, 'x', sizeof(pad) - 1);
	log_to(file);
	log_info("long", "%s", pad);
	log_info("next", "n=1");
	log_close();
	ck_assert_int_gt((int)pread(file, text, sizeof(text) - 1, 0), 0);
	ck_assert_ptr_nonnull(strstr(text, "x\ntime="));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("log");
	TCase *t = tcase_create("lines");
	SRunner *r;
	int failed;

	tcase_add_test(t, value_stays_on_its_line);
	tcase_add_test(t, final_lines_pass_the_limit);
	tcase_add_loop_test(t, final_lines_wait_for_room, 0, 2);
	tcase_add_test(t, final_lines_that_are_lost_are_counted);
	tcase_add_test(t, long_line_ends);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
