/* Limits of an HTTP server against clients that misuse it. */
#include <check.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>

#include "io/http_server.h"
#include "io/server_limits.h"

#define ADDRESS "127.0.0.1:20481"
#define MAX_BODY 300000U
#define BODY_BUDGET 400000U /* bytes, a quarter of them for small bodies */
#define REPLY_BUDGET 500000U
#define MAX_CONNECTIONS 8U
#define MIN_RATE 20000U /* bytes a second */
#define TEXT_MAX 700000U
#define WAIT_S 10.0 /* only ends a broken test */

struct test_host {
	struct http_server_host host; /* first member */
	size_t n_calls;
	size_t body; /* bytes of the last one */
	size_t reply;
	struct http_request *held;
	bool holds;
};

static char big[TEXT_MAX];

static void on_request(struct http_server_host *host, struct http_request *req)
{
	struct test_host *h = (struct test_host *)host;

	h->n_calls++;
	h->body = req->body.n;
	if (h->holds)
		h->held = req;
	else
		http_request_reply(req, 200, NULL, 0, (struct str){big, h->reply});
}

static const struct http_server_ops server_ops = {.request = on_request};

static struct ev_loop *loop;
static struct test_host host;
static struct http_server *server;
static struct server_limits *limits;
static char text[TEXT_MAX];

static void setup_with(uint64_t per_source)
{
	const struct server_limits_options opt = {.loop = loop,
						  .body_budget = BODY_BUDGET,
						  .reply_budget = REPLY_BUDGET,
						  .head_timeout_s = 1,
						  .body_timeout_s = 1,
						  .min_rate = MIN_RATE,
						  .max_per_source = per_source};
	struct http_server_options http = {.loop = loop,
					   .host = &host.host,
					   .max_body = MAX_BODY,
					   .max_connections = MAX_CONNECTIONS,
					   .idle_timeout = 60};

	ck_assert_int_eq(server_limits_new(&opt, &limits), 0);
	http.limits = limits;
	ck_assert_int_eq(addr_parse(STR(ADDRESS), &http.address), 0);
	ck_assert_int_eq(http_server_new(&http, &server), 0);
}

static void setup(void)
{
	loop = ev_loop_new(0);
	host = (struct test_host){.host = {.ops = &server_ops}, .reply = 2};
	memset(big, 'x', sizeof(big));
	setup_with(0);
}

static void end_server(void)
{
	http_server_free(server);
	ck_assert_uint_eq(limits->bodies.used, 0);
	ck_assert_uint_eq(limits->replies.used, 0);
	server_limits_free(limits);
}

static void teardown(void)
{
	end_server();
	ev_loop_destroy(loop);
}

static int open_client(const char *head)
{
	struct addr a;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(addr_parse(STR(ADDRESS), &a), 0);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&a.sa, a.len), 0);
	send(fd, head, strlen(head), MSG_NOSIGNAL);
	return fd;
}

static void run_for(double seconds)
{
	double end = ev_time() + seconds;

	while (ev_time() < end) {
		ev_run(loop, EVRUN_NOWAIT);
		usleep(1000);
	}
}

/* Sends n bytes while the server runs; false when it closed the connection. */
static bool send_filler(int fd, size_t n)
{
	double end = ev_time() + WAIT_S;

	while (n && ev_time() < end) {
		ssize_t taken = send(fd, big, n, MSG_DONTWAIT | MSG_NOSIGNAL);

		if (taken > 0)
			n -= (size_t)taken;
		else if (errno != EAGAIN)
			return false;
		ev_run(loop, EVRUN_NOWAIT);
	}
	return n == 0;
}

/* Reads what arrives until some text has, or the connection is closed (true). */
static bool read_until(int fd, const char *wanted)
{
	double end = ev_time() + WAIT_S;
	size_t n = 0;

	text[0] = '\0';
	while (ev_time() < end && n + 1 < sizeof(text)) {
		ssize_t r = recv(fd, text + n, sizeof(text) - 1 - n, MSG_DONTWAIT);

		if (r > 0) {
			n += (size_t)r;
			text[n] = '\0';
		} else if (r == 0 || errno != EAGAIN) {
			return true;
		}
		if (wanted && strstr(text, wanted))
			return false;
		ev_run(loop, EVRUN_NOWAIT);
	}
	ck_abort_msg("neither \"%s\" nor the end", wanted ? wanted : "");
}

static bool is_open(int fd)
{
	char next;

	return recv(fd, &next, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

static const char *post_head(size_t n)
{
	static char head[128];

	snprintf(head, sizeof(head),
		 "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %zu\r\n\r\n", n);
	return head;
}

/* An ordinary request; its status is in the text. */
static void post(size_t n)
{
	int fd = open_client(post_head(n));

	ck_assert(send_filler(fd, n));
	read_until(fd, "\r\n\r\n");
	close(fd);
}

/* Guards against a body that must arrive before its announced size is refused. */
START_TEST(announced_size_is_refused_at_once)
{
	int fd = open_client(post_head(4000000000U));

	ck_assert(read_until(fd, NULL));
	ck_assert_ptr_nonnull(strstr(text, "HTTP/1.1 413 "));
	ck_assert_ptr_nonnull(strstr(text, "Connection: close"));
	ck_assert_uint_eq(host.n_calls, 0);
	ck_assert_uint_eq(http_server_stats(server)->refused_body, 1);
	close(fd);
}
END_TEST

#define CHUNKED "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"

/* Guards against a chunked body that is read to an end that never comes. */
START_TEST(chunked_body_is_refused_while_it_arrives)
{
	int fd = open_client(CHUNKED "fffff\r\n");

	send_filler(fd, MAX_BODY + 1);
	ck_assert(read_until(fd, NULL));
	ck_assert_uint_eq(http_server_stats(server)->refused_body, 1);
	ck_assert_uint_eq(host.n_calls, 0);
	ck_assert_uint_eq(limits->bodies.used, 0);
	close(fd);
}
END_TEST

/* Guards against refusals of the largest body, and of many one after the other. */
START_TEST(largest_bodies_are_served_in_turn)
{
	for (int i = 0; i < 20; i++) {
		post(MAX_BODY);
		ck_assert_ptr_nonnull(strstr(text, "HTTP/1.1 200 "));
		ck_assert_uint_eq(host.body, MAX_BODY);
	}
	ck_assert_uint_eq(http_server_stats(server)->refused_busy, 0);
	run_for(0.05);
	ck_assert_uint_eq(limits->bodies.used, 0);
}
END_TEST

/* Guards against large bodies that keep ordinary requests out. */
START_TEST(small_bodies_are_admitted_beside_large_ones)
{
	int fds[2];

	fds[0] = open_client(post_head(MAX_BODY));
	ck_assert(send_filler(fds[0], MAX_BODY - 1));
	run_for(0.05);
	ck_assert_uint_eq(limits->bodies.used, MAX_BODY);
	fds[1] = open_client(post_head(MAX_BODY));
	ck_assert(read_until(fds[1], NULL));
	ck_assert_ptr_nonnull(strstr(text, "HTTP/1.1 503 "));
	ck_assert_ptr_nonnull(strstr(text, "Retry-After: 1"));
	post(20000);
	ck_assert_ptr_nonnull(strstr(text, "HTTP/1.1 200 "));
	/* The first one was not affected. */
	ck_assert(send_filler(fds[0], 1));
	read_until(fds[0], "\r\n\r\n");
	ck_assert_ptr_nonnull(strstr(text, "HTTP/1.1 200 "));
	ck_assert_uint_eq(http_server_stats(server)->refused_busy, 1);
	close(fds[0]);
	close(fds[1]);
}
END_TEST

/* Guards against a chunked body that grows beyond the budget of the process. */
START_TEST(growing_body_without_room_is_refused)
{
	int first = open_client(post_head(200000));
	int fd;

	ck_assert(send_filler(first, 199999));
	fd = open_client(CHUNKED "fffff\r\n");
	send_filler(fd, 250000);
	ck_assert(read_until(fd, NULL));
	ck_assert_uint_eq(http_server_stats(server)->refused_busy, 1);
	ck_assert_uint_eq(host.n_calls, 0);
	ck_assert_uint_le(limits->bodies.peak, BODY_BUDGET);
	close(fd);
	close(first);
}
END_TEST

/* Guards against a head that takes for ever, byte by byte. */
START_TEST(slow_head_is_ended)
{
	int slow = open_client("GET /x HTTP/1.1\r\nX: ");
	int idle = open_client("");
	int i;

	for (i = 0; i < 60; i++) {
		run_for(0.1);
		if (send(slow, "x", 1, MSG_NOSIGNAL) < 0 || !is_open(slow))
			break;
	}
	ck_assert_int_lt(i, 60);
	/* One that has not begun is idle, which is allowed for longer. */
	ck_assert(is_open(idle));
	close(slow);
	close(idle);
}
END_TEST

/* Guards against a body that comes byte by byte, and against ending a steady one. */
START_TEST(slow_body_is_ended_and_steady_one_is_served)
{
	int slow = open_client(post_head(10000));
	int steady = open_client(post_head(100000));
	bool ended = false;

	for (int i = 0; i < 30; i++) {
		ck_assert(send_filler(steady, 3000));
		run_for(0.1);
		if (!ended && (send(slow, "x", 1, MSG_NOSIGNAL) < 0 || !is_open(slow)))
			ended = true;
	}
	ck_assert(ended);
	ck_assert(send_filler(steady, 10000));
	read_until(steady, "\r\n\r\n");
	ck_assert_ptr_nonnull(strstr(text, "HTTP/1.1 200 "));
	close(slow);
	close(steady);
}
END_TEST

/* Guards against idle connections that keep a new client out. */
START_TEST(idle_connections_give_way)
{
	int fds[3 * MAX_CONNECTIONS];
	size_t open = 0;

	for (size_t i = 0; i < 3 * MAX_CONNECTIONS; i++) {
		fds[i] = open_client("");
		run_for(0.005);
	}
	post(100);
	ck_assert_ptr_nonnull(strstr(text, "HTTP/1.1 200 "));
	run_for(0.05);
	for (size_t i = 0; i < 3 * MAX_CONNECTIONS; i++) {
		open += is_open(fds[i]);
		close(fds[i]);
	}
	ck_assert_uint_le(open, MAX_CONNECTIONS);
	ck_assert_uint_ge(open, MAX_CONNECTIONS - 1);
}
END_TEST

/* Guards against connections within the limit that are ended. */
START_TEST(connections_within_the_limit_stay)
{
	int fds[MAX_CONNECTIONS];

	for (size_t i = 0; i < MAX_CONNECTIONS; i++) {
		fds[i] = open_client("");
		run_for(0.005);
	}
	run_for(2.5);
	for (size_t i = 0; i < MAX_CONNECTIONS; i++) {
		ck_assert(is_open(fds[i]));
		send(fds[i], post_head(0), strlen(post_head(0)), MSG_NOSIGNAL);
		read_until(fds[i], "\r\n\r\n");
		ck_assert_ptr_nonnull(strstr(text, "HTTP/1.1 200 "));
		close(fds[i]);
	}
}
END_TEST

/* Guards against one address that takes all connections where that is limited. */
START_TEST(connections_of_an_address_are_limited)
{
	int fds[4];

	end_server();
	setup_with(3);
	for (int i = 0; i < 4; i++)
		fds[i] = open_client("");
	run_for(0.1);
	for (int i = 0; i < 4; i++)
		ck_assert(is_open(fds[i]) == (i < 3));
	close(fds[0]);
	run_for(0.1);
	post(1);
	ck_assert_ptr_nonnull(strstr(text, "HTTP/1.1 200 "));
	for (int i = 1; i < 4; i++)
		close(fds[i]);
}
END_TEST

/*
 * Guards against replies beyond the budget, and against a refusal that says that a
 * request was not carried out though it was.
 */
START_TEST(reply_without_room)
{
	int get = open_client("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
	int fd;

	host.reply = REPLY_BUDGET; /* above the part for large replies */
	ck_assert(read_until(get, NULL));
	ck_assert_ptr_nonnull(strstr(text, "HTTP/1.1 503 "));
	fd = open_client(post_head(0));
	ck_assert(read_until(fd, NULL));
	ck_assert_str_eq(text, "");
	ck_assert_uint_eq(host.n_calls, 2);
	host.reply = 200000;
	post(0);
	ck_assert_ptr_nonnull(strstr(text, "HTTP/1.1 200 "));
	close(get);
	close(fd);
}
END_TEST

/* The same for a request that waited: its connection must not stay without an answer. */
START_TEST(late_reply_without_room)
{
	int fd = open_client(post_head(0));

	host.holds = true;
	run_for(0.05);
	ck_assert_ptr_nonnull(host.held);
	ck_assert_uint_gt(limits->replies.used, 0);
	http_request_reply(host.held, 200, NULL, 0, (struct str){big, REPLY_BUDGET});
	ck_assert(read_until(fd, NULL));
	ck_assert_str_eq(text, "");
	close(fd);
}
END_TEST

/* Guards against a reply whose reader takes a byte now and then. */
START_TEST(slow_reader_is_ended)
{
	int size = 4096;
	int fd = open_client("");
	int i;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	host.reply = 290000;
	for (i = 0; i < 3; i++)
		send(fd, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 28, MSG_NOSIGNAL);
	for (i = 0; i < 400 && limits->replies.used == 0; i++)
		run_for(0.01);
	for (i = 0; i < 400 && limits->replies.used > 0; i++) {
		recv(fd, text, 1, MSG_DONTWAIT);
		run_for(0.05);
	}
	ck_assert_int_lt(i, 400);
	close(fd);
}
END_TEST

/* Guards against a limit on connections' memory that refuses headers of 16,384 bytes. */
START_TEST(headers_of_16_kib_are_admitted)
{
	struct buf head = {0};
	int fd;

	ck_assert_int_eq(buf_adds(&head, "GET /x HTTP/1.1\r\nHost: h\r\n"), 0);
	while (head.n < 16384 - 512)
		ck_assert_int_eq(buf_addf(&head, "X-%zu: %.*s\r\n", head.n, 400, big), 0);
	ck_assert_int_eq(
		buf_addf(&head, "Y: %.*s\r\n\r\n", (int)(16384 - head.n - 7), big), 0);
	ck_assert_uint_eq(head.n, 16384);
	fd = open_client(head.p);
	read_until(fd, "\r\n\r\n");
	ck_assert_ptr_nonnull(strstr(text, "HTTP/1.1 200 "));
	buf_free(&head);
	close(fd);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("http-limits");
	TCase *tc = tcase_create("limits");
	SRunner *sr;
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, announced_size_is_refused_at_once);
	tcase_add_test(tc, chunked_body_is_refused_while_it_arrives);
	tcase_add_test(tc, largest_bodies_are_served_in_turn);
	tcase_add_test(tc, small_bodies_are_admitted_beside_large_ones);
	tcase_add_test(tc, growing_body_without_room_is_refused);
	tcase_add_test(tc, slow_head_is_ended);
	tcase_add_test(tc, slow_body_is_ended_and_steady_one_is_served);
	tcase_add_test(tc, idle_connections_give_way);
	tcase_add_test(tc, connections_within_the_limit_stay);
	tcase_add_test(tc, connections_of_an_address_are_limited);
	tcase_add_test(tc, reply_without_room);
	tcase_add_test(tc, late_reply_without_room);
	tcase_add_test(tc, slow_reader_is_ended);
	tcase_add_test(tc, headers_of_16_kib_are_admitted);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
