#include <arpa/inet.h>
#include <check.h>
#include <dirent.h>
#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>

#include "io/http_server.h"

#define ADDRESS "127.0.0.1:20103"
#define WAIT_MS 2000 /* only ends a broken test */
#define GET "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

struct test_host {
	struct http_server_host host; /* first member */
	struct http_request *held[8];
	size_t n_held;
	size_t n_calls;
	bool answers_at_once;
	size_t n_abandoned;
	bool gives_receipt;
	size_t n_received;
};

static void on_request(struct http_server_host *host, struct http_request *req)
{
	struct test_host *h = (struct test_host *)host;

	h->n_calls++;
	h->n_abandoned += http_request_is_abandoned(req);
	if (h->gives_receipt)
		ck_assert_int_eq(buf_set(&req->receipt, STR("receipt")), 0);
	if (h->answers_at_once)
		http_request_reply(req, 200, NULL, 0, STR("ok"));
	else
		h->held[h->n_held++] = req;
}

static void on_received(struct http_server_host *h, struct str receipt)
{
	ck_assert(str_eq(receipt, STR("receipt")));
	((struct test_host *)h)->n_received++;
}

static const struct http_server_ops server_ops = {.request = on_request,
						  .received = on_received};

static struct ev_loop *loop;
static struct test_host host;
static struct http_server *server;

static size_t count_descriptors(void)
{
	DIR *dir = opendir("/proc/self/fd");
	size_t n = 0;

	ck_assert_ptr_nonnull(dir);
	while (readdir(dir))
		n++;
	closedir(dir);
	return n;
}

static void open_server(void)
{
	struct http_server_options opt = {.loop = loop,
					  .max_body = 65536,
					  .max_connections = 64,
					  .idle_timeout = 60};

	opt.host = &host.host;
	ck_assert_int_eq(addr_parse(STR(ADDRESS), &opt.address), 0);
	ck_assert_int_eq(http_server_new(&opt, &server), 0);
}

static void setup(void)
{
	loop = ev_loop_new(0);
	host = (struct test_host){.host = {.ops = &server_ops}};
}

static void teardown(void)
{
	ev_loop_destroy(loop);
}

static int open_client(const char *text)
{
	struct addr a;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(addr_parse(STR(ADDRESS), &a), 0);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&a.sa, a.len), 0);
	ck_assert_int_eq(write(fd, text, strlen(text)), (ssize_t)strlen(text));
	return fd;
}

static void run_until_calls(size_t n)
{
	for (int i = 0; i < 100000 && host.n_calls < n; i++)
		ev_run(loop, EVRUN_ONCE);
	ck_assert_uint_eq(host.n_calls, n);
}

/* Reads until the server closes; -1 if it does not. */
static ssize_t read_to_end(int fd, char *text, size_t size)
{
	struct pollfd p = {.fd = fd, .events = POLLIN};
	size_t n = 0;

	while (n + 1 < size && poll(&p, 1, WAIT_MS) == 1) {
		ssize_t r = read(fd, text + n, size - 1 - n);

		if (r > 0) {
			n += (size_t)r;
			continue;
		}
		text[n] = '\0';
		return r == 0 || errno == ECONNRESET ? (ssize_t)n : -1;
	}
	return -1;
}

/* Guards against a stop that keeps sockets and memory while a request is unanswered. */
START_TEST(stop_with_unanswered_request)
{
	size_t before = count_descriptors();
	char text[1024];
	int fd;

	open_server();
	fd = open_client(GET);
	run_until_calls(1);
	http_server_free(server);
	ck_assert_int_eq(read_to_end(fd, text, sizeof(text)), 0);
	close(fd);
	ck_assert_uint_eq(count_descriptors(), before);
	http_request_reply(host.held[0], 200, NULL, 0, STR("late"));
}
END_TEST

/* Guards against an answer that is lost because the loop ends before it is sent. */
START_TEST(stop_right_after_answer)
{
	size_t before = count_descriptors();
	char text[1024];
	int fd;

	open_server();
	fd = open_client(GET);
	run_until_calls(1);
	http_request_reply(host.held[0], 200, NULL, 0, STR("in time"));
	http_server_free(server);
	ck_assert_int_gt(read_to_end(fd, text, sizeof(text)), 0);
	ck_assert_ptr_nonnull(strstr(text, "200 OK"));
	ck_assert_ptr_nonnull(strstr(text, "in time"));
	close(fd);
	ck_assert_uint_eq(count_descriptors(), before);
}
END_TEST

/* Guards against a stop that keeps connections without a request, or with half of one. */
START_TEST(stop_with_open_connections)
{
	size_t before = count_descriptors();
	char text[1024];
	int kept, half;

	open_server();
	host.answers_at_once = true;
	kept = open_client(GET);
	run_until_calls(1);
	half = open_client(
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf");
	for (int i = 0; i < 5; i++)
		ev_run(loop, EVRUN_NOWAIT);
	http_server_free(server);
	ck_assert_int_gt(read_to_end(kept, text, sizeof(text)), 0);
	ck_assert_int_eq(read_to_end(half, text, sizeof(text)), 0);
	close(kept);
	close(half);
	ck_assert_uint_eq(count_descriptors(), before);
}
END_TEST

/* Guards against a request that reaches a host which is being freed. */
START_TEST(request_during_stop_is_refused)
{
	char text[1024];
	int first, second;

	open_server();
	first = open_client(GET);
	run_until_calls(1);
	second = open_client("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n");
	for (int i = 0; i < 5; i++)
		ev_run(loop, EVRUN_NOWAIT);
	ck_assert_int_eq(write(second, "body", 4), 4);
	http_request_reply(host.held[0], 200, NULL, 0, STR("in time"));
	http_server_free(server);
	ck_assert_uint_eq(host.n_calls, 1);
	ck_assert_int_gt(read_to_end(first, text, sizeof(text)), 0);
	ck_assert_int_gt(read_to_end(second, text, sizeof(text)), 0);
	ck_assert_ptr_nonnull(strstr(text, " 503 "));
	close(first);
	close(second);
}
END_TEST

/* Guards against a planned stop that waits for a request whose head never ends. */
START_TEST(half_head_is_not_in_flight)
{
	static const char half[] = "GET /x HTTP/1.1\r\nHost: h";
	const struct http_server_stats *stats;
	int fd;

	open_server();
	stats = http_server_stats(server);
	fd = open_client(half);
	for (int i = 0; i < 1000 && stats->requests == 0; i++)
		ev_run(loop, EVRUN_ONCE);
	ck_assert_uint_eq(stats->requests, 1);
	ck_assert_uint_eq(stats->in_flight, 0);
	ck_assert_int_eq(write(fd, GET + strlen(half), strlen(GET) - strlen(half)),
			 (ssize_t)(strlen(GET) - strlen(half)));
	run_until_calls(1);
	ck_assert_uint_eq(stats->in_flight, 1);
	close(fd);
	http_server_free(server);
	http_request_reply(host.held[0], 200, NULL, 0, STR("late"));
}
END_TEST

/* Guards against an order that is carried out after its sender has given it up. */
START_TEST(abandoned_request_is_told)
{
	int kept, closed;

	open_server();
	kept = open_client(GET);
	closed = open_client(GET);
	close(closed);
	host.answers_at_once = true;
	run_until_calls(2);
	ck_assert_uint_eq(host.n_abandoned, 1);
	close(kept);
	http_server_free(server);
}
END_TEST

#define IDLE_TIMEOUT_S 1
#define ENDED_S 3.0 /* the server looks at its connections about once a second */

/* Guards against callers that fall silent and keep their connections for good. */
START_TEST(silent_callers_are_ended)
{
	static const char *const sent[] = {
		"", "GET /a HTTP/1.1\r\nHo",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123",
		"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"};
	struct http_server_options opt = {.loop = loop,
					  .host = &host.host,
					  .max_body = 65536,
					  .max_connections = 64,
					  .idle_timeout = IDLE_TIMEOUT_S};
	int fds[4];
	double end;

	ck_assert_int_eq(addr_parse(STR(ADDRESS), &opt.address), 0);
	ck_assert_int_eq(http_server_new(&opt, &server), 0);
	for (int i = 0; i < 4; i++)
		fds[i] = open_client(sent[i]);
	run_until_calls(1);
	http_request_reply(host.held[0], 200, NULL, 0, STR("x"));
	end = ev_time() + ENDED_S;
	while (ev_time() < end) {
		ev_run(loop, EVRUN_NOWAIT);
		usleep(1000);
	}
	for (int i = 0; i < 4; i++) {
		char bytes[4096];
		ssize_t n;

		while ((n = recv(fds[i], bytes, sizeof(bytes), MSG_DONTWAIT)) > 0)
			;
		ck_assert_msg(n == 0, "connection %d is open", i);
		close(fds[i]);
	}
	http_server_free(server);
}
END_TEST

static void stop_loop(struct ev_loop *l, struct ev_timer *t, int events)
{
	ev_break(l, EVBREAK_ALL);
}

static void run_for(double seconds)
{
	struct ev_timer t;

	ev_timer_init(&t, stop_loop, seconds, 0);
	ev_timer_start(loop, &t);
	ev_run(loop, 0);
}

static void reset_connection(int fd)
{
	struct linger at_once = {.l_onoff = 1};

	ck_assert_int_eq(setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once)),
			 0);
	close(fd);
}

/*
 * Guards against an answer that counts as received though its sender had gone. _i 0: it
 * reads the answer and closes; 1: it closes before; 2: it resets the connection; 3: it
 * closes with the answer unread; 4: it sends another request, and closes before that is
 * answered.
 */
START_TEST(answer_is_received_by_one_that_reads_it)
{
	char text[1024];
	int fd;

	open_server();
	host.gives_receipt = true;
	fd = open_client(GET);
	run_until_calls(1);
	if (_i == 1)
		close(fd);
	http_request_reply(host.held[0], 200, NULL, 0, STR("ok"));
	run_for(0.05);
	ck_assert_uint_eq(host.n_received, 0);
	if (_i == 0 || _i == 2 || _i == 4)
		ck_assert_int_gt(read(fd, text, sizeof(text)), 0);
	if (_i == 4) {
		ck_assert_int_eq(write(fd, GET, strlen(GET)), (ssize_t)strlen(GET));
		run_until_calls(2);
	}
	if (_i == 2)
		reset_connection(fd);
	else if (_i != 1)
		close(fd);
	run_for(0.05);
	if (_i == 4) {
		http_request_reply(host.held[1], 200, NULL, 0, STR("ok"));
		run_for(0.05);
	}
	ck_assert_uint_eq(host.n_received, _i == 0);
	http_server_free(server);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("http-server");
	TCase *tc = tcase_create("http-server");
	SRunner *sr;
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, stop_with_unanswered_request);
	tcase_add_test(tc, stop_right_after_answer);
	tcase_add_test(tc, stop_with_open_connections);
	tcase_add_test(tc, request_during_stop_is_refused);
	tcase_add_test(tc, half_head_is_not_in_flight);
	tcase_add_test(tc, abandoned_request_is_told);
	tcase_add_test(tc, silent_callers_are_ended);
	tcase_add_loop_test(tc, answer_is_received_by_one_that_reads_it, 0, 5);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
