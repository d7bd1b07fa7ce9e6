/* Bytes of HTTP connections: requests to the server, answers to the client. */
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>

#include "base/err.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "io/listener.h"
#include "io/server_limits.h"
#include "regress/lib_fuzz.h"

#define SERVER_ADDRESS "127.0.0.1:20471"
#define UPSTREAM_ADDRESS "127.0.0.1:20472"
#define N_REQUESTS 3000
#define N_ANSWERS 1500
#define GET_EVERY 20 /* connections of the fuzz program */
#define ROUNDS 4     /* of the loop for each of them */
#define MAX_BODY 4096U
#define CALL_S 5.0

static const char *const words[] = {"\r\n",
				    "\r\n\r\n",
				    ":",
				    " ",
				    "\t",
				    "%00",
				    "%",
				    "?",
				    "&",
				    "=",
				    "Content-Length: 7\r\n",
				    "Content-Length: -1\r\n",
				    "Transfer-Encoding: chunked\r\n",
				    "Expect: 100-continue\r\n",
				    "Connection: close\r\n",
				    "0\r\n\r\n",
				    "ffffffffffffffff\r\n",
				    "Carawayfront-Run: not-run\r\n",
				    "HTTP/1.1 100 Continue\r\n\r\n",
				    NULL};

static struct ev_loop *loop;

/* A connection whose rest is dropped, so that thousands do not hold their ports. */
static void close_at_once(int fd)
{
	struct linger drop = {.l_onoff = 1, .l_linger = 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &drop, sizeof(drop));
	close(fd);
}

struct host {
	struct http_server_host base; /* first member */
	struct fuzz *f;
	uint64_t requests;
};

struct walk {
	struct http_header_visitor base; /* first member */
	size_t bytes;
};

static bool on_header(struct http_header_visitor *v, const struct http_header *h)
{
	((struct walk *)v)->bytes += strlen(h->name) + h->value.n;
	return true;
}

/* Reads all of a request, as handlers do, and answers. */
static void on_request(struct http_server_host *host, struct http_request *req)
{
	struct host *h = (struct host *)host;
	struct walk walk = {.base = {.header = on_header}};

	h->requests++;
	FUZZ_CHECK(h->f, req->body.n <= MAX_BODY);
	FUZZ_CHECK(h->f, req->path[0] && req->target[0]);
	FUZZ_CHECK(h->f, !strstr(req->target, "%00") || strchr(req->target, '?'));
	http_request_each_header(req, &walk.base);
	http_request_header(req, "Carawayfront-Deadline-Ms");
	http_request_query(req, "after");
	http_request_reply(req, 200, NULL, 0, buf_str(&req->body));
}

static const struct http_server_ops server_ops = {.request = on_request};

struct call {
	struct http_call base; /* first member */
	unsigned int ends;
	int err;
	unsigned int status;
};

static void on_done(struct http_call *c, const struct http_result *r)
{
	struct call *call = (struct call *)c;
	struct http_header h;
	void *cursor = NULL;

	call->ends++;
	call->err = r->err;
	call->status = r->status;
	if (r->err)
		return;
	http_result_header(r, "Carawayfront-Run");
	while (http_result_next_header(r, &cursor, &h))
		;
}

static const struct http_call_ops call_ops = {.done = on_done};

static void start(struct http_client *client, const char *url, struct call *call)
{
	struct http_call_options opt = {.method = "POST",
					.url = str_from(url),
					.body = STR("body"),
					.idempotent = true,
					.timeout = CALL_S,
					.max_body = MAX_BODY};

	*call = (struct call){.base = {.ops = &call_ops}};
	FUZZ_MUST((http_client_start(client, &opt, &call->base)) == 0);
}

static struct http_client *new_client(void)
{
	struct http_client_options opt = {.loop = loop,
					  .max_connections_per_host = 4,
					  .max_idle = 4,
					  .connect_timeout = 1};
	struct http_client *c;

	FUZZ_MUST((http_client_new(&opt, &c)) == 0);
	return c;
}

static void send_bytes(const struct addr *to, struct str bytes)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_ge(fd, 0);
	FUZZ_MUST((connect(fd, (const struct sockaddr *)&to->sa, to->len)) == 0);
	send(fd, bytes.p, bytes.n, MSG_NOSIGNAL);
	for (int i = 0; i < ROUNDS; i++)
		ev_run(loop, EVRUN_NOWAIT);
	close_at_once(fd);
}

/* Another caller is answered. */
static void check_get(struct fuzz *f, struct http_client *client)
{
	struct call call;

	start(client, "http://" SERVER_ADDRESS "/x", &call);
	while (!call.ends)
		ev_run(loop, EVRUN_ONCE);
	FUZZ_CHECK(f, call.err == 0 && call.status == 200);
}

/* Guards against a request that ends the server or the connections of others. */
START_TEST(requests)
{
	struct host host = {.base = {.ops = &server_ops}};
	struct server_limits_options limits_opt = {.body_budget = 4 * MAX_BODY,
						   .reply_budget = 4 * MAX_BODY,
						   .head_timeout_s = 1,
						   .body_timeout_s = 1,
						   .min_rate = 1000,
						   .max_per_source = 64};
	struct http_server_options opt = {.host = &host.base,
					  .max_body = MAX_BODY,
					  .max_connections = 64,
					  .idle_timeout = 60};
	struct http_client *client;
	struct server_limits *limits;
	struct http_server *server;
	struct buf large = {0};
	struct str input;
	struct fuzz f;

	loop = ev_loop_new(0);
	opt.loop = loop;
	limits_opt.loop = loop;
	FUZZ_MUST((server_limits_new(&limits_opt, &limits)) == 0);
	opt.limits = limits;
	FUZZ_MUST((addr_parse(STR(SERVER_ADDRESS), &opt.address)) == 0);
	FUZZ_MUST((http_server_new(&opt, &server)) == 0);
	client = new_client();
	fuzz_open(&f, "http_requests", N_REQUESTS);
	f.words = words;
	host.f = &f;
	fuzz_add(&f,
		 STR("POST /t/web/a%20b?after=7&x= HTTP/1.1\r\nHost: h\r\n"
		     "Carawayfront-Deadline-Ms: 250\r\nContent-Length: 4\r\n\r\nbody"));
	/* Cases: a path that ends before its end, and one that is empty. */
	fuzz_add(&f, STR("GET /read%00/write HTTP/1.1\r\nHost: h\r\n\r\n"));
	fuzz_add(&f, STR("PUT \0 HTTP/1.1\r\nHost: h\r\n\r\n"));
	fuzz_add(&f, STR("GET /x HTTP/1.1\r\nHost: h\r\n\r\nGET /y HTTP/1.0\r\n\r\n"));
	fuzz_add(&f,
		 STR("PUT /v1/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
		     "4\r\nbody\r\n0\r\n\r\n"));
	/* Refusals: by the announced size, while a body arrives, with a request behind.
	 */
	fuzz_add(&f, STR("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4097\r\n\r\n"
			 "GET /y HTTP/1.1\r\nHost: h\r\n\r\n"));
	fuzz_add(&f, STR("POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
			 "Content-Length: 18446744073709551615\r\n\r\n"));
	FUZZ_MUST(buf_adds(&large, "POST /x HTTP/1.1\r\nHost: h\r\n"
				   "Transfer-Encoding: chunked\r\n\r\n1800\r\n") == 0);
	while (large.n < MAX_BODY + 1024)
		FUZZ_MUST(buf_adds(&large, "0123456789abcdef") == 0);
	fuzz_add(&f, buf_str(&large));
	buf_free(&large);
	while (fuzz_next(&f, &input)) {
		send_bytes(&opt.address, input);
		if (f.inputs % GET_EVERY == 0)
			check_get(&f, client);
	}
	f.accepted = host.requests;
	fuzz_close(&f);
	http_client_free(client);
	http_server_free(server);
	ck_assert_uint_eq(limits->bodies.used, 0);
	ck_assert_uint_eq(limits->replies.used, 0);
	server_limits_free(limits);
	ev_loop_destroy(loop);
}
END_TEST

/* Plays an upstream that answers the next call with these bytes and closes. */
static void answer(struct fuzz *f, struct http_client *client, int listener,
		   struct str bytes)
{
	struct call call;
	char request[4096];
	ssize_t n = 0;
	int fd = -1;

	start(client, "http://" UPSTREAM_ADDRESS "/x", &call);
	while (!call.ends && fd < 0) {
		ev_run(loop, EVRUN_NOWAIT);
		fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK);
	}
	while (!call.ends && n <= 0) {
		ev_run(loop, EVRUN_NOWAIT);
		n = recv(fd, request, sizeof(request), 0);
	}
	send(fd, bytes.p, bytes.n, MSG_NOSIGNAL);
	shutdown(fd, SHUT_WR);
	while (!call.ends) {
		ev_run(loop, EVRUN_NOWAIT);
		/* A repeated request of the client gets no other answer. */
		n = accept4(listener, NULL, NULL, SOCK_NONBLOCK);
		if (n >= 0)
			close_at_once((int)n);
	}
	close_at_once(fd);
	FUZZ_CHECK(f, call.ends == 1);
	FUZZ_CHECK(f, call.err <= 0 &&
			      (call.err || (call.status >= 200 && call.status < 1000)));
	f->accepted += !call.err;
}

/* Guards against an upstream's answer that ends the process or leaves a call open. */
START_TEST(answers)
{
	struct http_client *client;
	struct addr address;
	struct str input;
	struct fuzz f;
	int listener;

	loop = ev_loop_new(0);
	FUZZ_MUST((addr_parse(STR(UPSTREAM_ADDRESS), &address)) == 0);
	FUZZ_MUST((listener_open(&address, &listener)) == 0);
	client = new_client();
	fuzz_open(&f, "http_answers", N_ANSWERS);
	f.words = words;
	fuzz_add(&f, STR("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
			 "Carawayfront-Run: not-run\r\nContent-Length: 4\r\n\r\nbody"));
	fuzz_add(&f, STR("HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nTransfer-Encoding: "
			 "chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"));
	fuzz_add(&f, STR("HTTP/1.0 200 OK\r\nSet-Cookie: a=b\r\n\r\nuntil the end"));
	/* Cases: statuses that cannot be passed on. */
	fuzz_add(&f, STR("HTTP/21474836\r\nContent-Length: 4\r\n\r\nbody"));
	fuzz_add(&f, STR("HTTP/1.1 055 OK\r\nContent-Length: 4\r\n\r\nbody"));
	while (fuzz_next(&f, &input))
		answer(&f, client, listener, input);
	fuzz_close(&f);
	http_client_free(client);
	close(listener);
	ev_loop_destroy(loop);
}
END_TEST

/* Case: a folded first header, which libcurl appended to one of an earlier answer. */
START_TEST(folded_first_header_is_harmless)
{
	struct http_client *client;
	struct addr address;
	struct fuzz f = {0};
	int listener;

	loop = ev_loop_new(0);
	FUZZ_MUST((addr_parse(STR(UPSTREAM_ADDRESS), &address)) == 0);
	FUZZ_MUST((listener_open(&address, &listener)) == 0);
	client = new_client();
	for (int i = 0; i < 20; i++) {
		answer(&f, client, listener,
		       STR("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"));
		answer(&f, client, listener,
		       STR("HTTP/1.1 200 OK\r\n\tfolded: a=b\r\n"
			   "Content-Length: 4\r\n\r\nbody"));
	}
	/* The plain ones; libcurl 7.88 refuses the others. */
	ck_assert_uint_ge(f.accepted, 20);
	http_client_free(client);
	close(listener);
	ev_loop_destroy(loop);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {requests, answers, folded_first_header_is_harmless};

	return fuzz_main("fuzz_http", tests, sizeof(tests) / sizeof(tests[0]));
}
