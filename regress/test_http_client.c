#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>

#include "base/err.h"
#include "io/clock.h"
#include "io/http_client.h"

#define ADDRESS "127.0.0.1:20106"
#define URL "http://" ADDRESS
#define MS_US 1000
#define BIG_BODY (4U << 20) /* more than the sockets of both sides take */
#define SMALL_BUFFER 4096

/* A call of the test and its end. */
struct call {
	struct http_call http; /* first member */
	unsigned int ended;
	int err;
	bool maybe_sent;
	bool resent;
};

static struct ev_loop *loop;
static struct http_client *client;
static int listener;

static void on_done(struct http_call *hc, const struct http_result *r)
{
	struct call *c = (struct call *)hc;

	c->ended++;
	c->err = r->err;
	c->maybe_sent = r->maybe_sent;
	c->resent = r->resent;
}

static const struct http_call_ops call_ops = {.done = on_done};

static void setup(void)
{
	struct http_client_options opt = {
		.max_connections_per_host = 1, .max_idle = 4, .connect_timeout = 5};
	struct addr address;
	int one = 1;
	int size = SMALL_BUFFER;

	loop = ev_loop_new(0);
	opt.loop = loop;
	ck_assert_int_eq(http_client_new(&opt, &client), 0);
	ck_assert_int_eq(addr_parse(STR(ADDRESS), &address), 0);
	listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	ck_assert_int_eq(bind(listener, (struct sockaddr *)&address.sa, address.len), 0);
	ck_assert_int_eq(listen(listener, 8), 0);
}

static void teardown(void)
{
	http_client_free(client);
	close(listener);
	ev_loop_destroy(loop);
}

static void start(struct call *c, const char *path, struct str body, double timeout,
		  int64_t send_until_us)
{
	struct buf url = {0};
	struct http_call_options opt = {
		.method = "POST",
		.body = body,
		.idempotent = true,
		.timeout = timeout,
		.max_body = 4096,
		.send_until_us = send_until_us,
	};

	*c = (struct call){.http = {.ops = &call_ops}};
	ck_assert_int_eq(buf_addf(&url, URL "%s", path), 0);
	opt.url = buf_str(&url);
	ck_assert_int_eq(http_client_start(client, &opt, &c->http), 0);
	buf_free(&url);
}

static void play(double seconds)
{
	double end = ev_time() + seconds;

	while (ev_time() < end) {
		ev_run(loop, EVRUN_NOWAIT);
		usleep(MS_US);
	}
}

/* The bound only ends a broken test. */
static void play_until_ended(const struct call *c)
{
	for (int i = 0; i < 10000 && !c->ended; i++)
		play(0.001);
	ck_assert_uint_eq(c->ended, 1);
}

/*
 * Reads all that comes on the connections that wait, and counts the requests whose path
 * is in it.
 */
static unsigned int count_requests(const char *path)
{
	char bytes[65536];
	unsigned int found = 0;
	ssize_t n;
	int fd;

	while ((fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK)) >= 0) {
		while ((n = recv(fd, bytes, sizeof(bytes), 0)) > 0)
			found += memmem(bytes, (size_t)n, path, strlen(path)) != NULL;
		close(fd);
	}
	return found;
}

/* Guards against a process that was paused and then sends calls of the time before. */
START_TEST(call_is_not_sent_after_a_pause)
{
	struct call late;
	struct call in_time;

	start(&late, "/late", STR("x"), 1, clock_us() + 100 * MS_US);
	usleep(150 * MS_US);
	play_until_ended(&late);
	ck_assert_int_eq(late.err, CF_ESTALE);
	ck_assert(!late.maybe_sent);
	start(&in_time, "/in-time", STR("x"), 0.2, clock_us() + 5000 * MS_US);
	play_until_ended(&in_time);
	ck_assert_int_eq(in_time.err, CF_ETIMEOUT);
	ck_assert(in_time.maybe_sent);
	ck_assert_uint_eq(count_requests("/late"), 0);
}
END_TEST

/* Guards against a call that waits for a connection and is sent late. */
START_TEST(queued_call_is_not_sent_after_its_time)
{
	struct call first;
	struct call queued;
	int fd;

	start(&first, "/first", STR("x"), 0.3, 0);
	play(0.05);
	start(&queued, "/queued", STR("x"), 5, clock_us() + 100 * MS_US);
	fd = accept(listener, NULL, NULL);
	ck_assert_int_ge(fd, 0);
	play_until_ended(&queued);
	ck_assert_int_eq(queued.err, CF_ESTALE);
	ck_assert(!queued.maybe_sent);
	ck_assert_uint_eq(first.ended, 1);
	ck_assert_uint_eq(count_requests("/queued"), 0);
	close(fd);
}
END_TEST

/* How the connection that waits ends: the errno, 0: with all that was written to it. */
static int read_to_end(void)
{
	char bytes[65536];
	ssize_t n;
	int err = 0;
	int fd = accept(listener, NULL, NULL);

	ck_assert_int_ge(fd, 0);
	while ((n = recv(fd, bytes, sizeof(bytes), 0)) > 0)
		usleep(MS_US);
	if (n < 0)
		err = errno;
	close(fd);
	return err;
}

/* Guards against bytes of a call that arrive after the call was given up. */
START_TEST(call_given_up_sends_nothing_more)
{
	char *body = calloc(1, BIG_BODY);
	struct call timed_out;
	struct call cancelled;

	ck_assert_ptr_nonnull(body);
	start(&timed_out, "/", (struct str){body, BIG_BODY}, 0.2, 0);
	play_until_ended(&timed_out);
	ck_assert_int_eq(timed_out.err, CF_ETIMEOUT);
	ck_assert_int_eq(read_to_end(), ECONNRESET);
	start(&cancelled, "/", (struct str){body, BIG_BODY}, 5, 0);
	play(0.2);
	http_call_cancel(&cancelled.http);
	ck_assert_int_eq(read_to_end(), ECONNRESET);
	free(body);
}
END_TEST

/* Accepts the connection that comes within a second. */
static int accept_one(void)
{
	int fd = -1;

	for (int i = 0; i < 1000 && fd < 0; i++) {
		play(0.001);
		fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK);
	}
	ck_assert_int_ge(fd, 0);
	return fd;
}

/* Waits for the rest of a request with the body "x". */
static void read_request(int fd)
{
	char bytes[4096];
	size_t n = 0;

	for (int i = 0; i < 1000 && (!n || bytes[n - 1] != 'x'); i++) {
		ssize_t more = recv(fd, bytes + n, sizeof(bytes) - n, 0);

		n += more > 0 ? (size_t)more : 0;
		play(0.001);
	}
	ck_assert_uint_gt(n, 0);
}

static void answer(int fd, const char *text)
{
	ck_assert_int_eq(send(fd, text, strlen(text), 0), (ssize_t)strlen(text));
}

/* Guards against an answer to the second send that is taken for one to the first. */
START_TEST(answer_after_a_second_send_is_told)
{
	static const char refused[] =
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
	struct call once;
	struct call twice;
	int fd;

	start(&once, "/once", STR("x"), 5, 0);
	fd = accept_one();
	read_request(fd);
	answer(fd, refused);
	play_until_ended(&once);
	ck_assert_int_eq(once.err, 0);
	ck_assert(once.maybe_sent && !once.resent);
	start(&twice, "/twice", STR("x"), 5, 0);
	read_request(fd);
	close(fd);
	fd = accept_one();
	read_request(fd);
	answer(fd, refused);
	play_until_ended(&twice);
	ck_assert_int_eq(twice.err, 0);
	ck_assert(twice.maybe_sent && twice.resent);
	close(fd);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("http_client");
	TCase *t = tcase_create("calls");
	SRunner *r;
	int failed;

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_set_timeout(t, 60);
	tcase_add_test(t, call_is_not_sent_after_a_pause);
	tcase_add_test(t, queued_call_is_not_sent_after_its_time);
	tcase_add_test(t, call_given_up_sends_nothing_more);
	tcase_add_test(t, answer_after_a_second_send_is_told);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
