#include "io/http_client.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <linux/sockios.h>

#include <curl/curl.h>

#include "base/err.h"
#include "io/clock.h"

/* Upstreams keep idle connections at least this long. */
#define REUSE_MAX_IDLE_S 2L
#define UPLOAD_BUFFER 16384L /* bytes; libcurl's default is 64 KiB for each call */

struct http_client {
	struct http_client_options opt;
	CURLM *multi;
	struct ev_timer timer;
	struct http_exchange *exchanges;
};

/* State of one outstanding call. */
struct http_exchange {
	struct http_client *client;
	struct http_call *call;
	struct http_exchange *next, **prev;
	CURL *easy;
	struct curl_slist *headers;
	struct buf body;
	struct buf upload; /* request body of a call that is not idempotent */
	size_t uploaded;
	size_t max_body;
	int64_t send_until_us;
	bool head;   /* the answer has no body */
	bool resent; /* libcurl sends it again after a connection ended */
	bool too_big;
	bool too_late; /* not sent: its time had passed */
};

/* Watcher of one socket that libcurl uses. */
struct socket_watch {
	struct ev_io io;
	struct http_client *client;
};

static void exchange_free(struct http_exchange *x)
{
	*x->prev = x->next;
	if (x->next)
		x->next->prev = x->prev;
	curl_multi_remove_handle(x->client->multi, x->easy);
	curl_easy_cleanup(x->easy);
	curl_slist_free_all(x->headers);
	buf_free(&x->body);
	buf_free(&x->upload);
	free(x);
}

/*
 * An answer that only the end of the connection delimits cannot be told from a
 * truncated one, so it does not count as whole.
 */
static bool is_delimited(const struct http_exchange *x, unsigned int status)
{
	struct curl_header *h;
	curl_off_t length = -1;

	if (x->head || status == 204 || status == 304)
		return true;
	curl_easy_getinfo(x->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
	if (length >= 0)
		return true;
	return curl_easy_header(x->easy, "Transfer-Encoding", 0, CURLH_HEADER, -1, &h) ==
	       CURLHE_OK;
}

/* Others end no exchange or cannot be passed on; libcurl takes any number. */
static bool is_final(unsigned int status)
{
	return status >= 200 && status <= 999;
}

static int result_error(const struct http_exchange *x, CURLcode code, unsigned int status)
{
	if (x->too_big)
		return CF_ETOOBIG;
	if (x->too_late)
		return CF_ESTALE;
	switch (code) {
	case CURLE_OK:
		return is_final(status) && is_delimited(x, status) ? 0 : CF_EMALFORMED;
	case CURLE_OPERATION_TIMEDOUT:
		return CF_ETIMEOUT;
	case CURLE_PARTIAL_FILE:
	case CURLE_WEIRD_SERVER_REPLY:
	case CURLE_UNSUPPORTED_PROTOCOL:
		return CF_EMALFORMED;
	default:
		return CF_ECONN;
	}
}

static bool is_refused(const struct http_exchange *x, CURLcode code)
{
	long number = 0;

	curl_easy_getinfo(x->easy, CURLINFO_OS_ERRNO, &number);
	return code == CURLE_COULDNT_CONNECT && number == ECONNREFUSED;
}

static void finish(struct http_exchange *x, CURLcode code)
{
	struct http_result result = {.exchange = x};
	struct http_call *call = x->call;
	long status = 0;
	long sent = 0;

	curl_easy_getinfo(x->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(x->easy, CURLINFO_REQUEST_SIZE, &sent);
	result.status = (unsigned int)status;
	result.maybe_sent = sent > 0;
	result.refused = is_refused(x, code);
	result.resent = x->resent;
	result.body = buf_str(&x->body);
	result.err = result_error(x, code, result.status);
	call->exchange = NULL;
	call->ops->done(call, &result);
	exchange_free(x);
}

static void check_done(struct http_client *c)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(c->multi, &left))) {
		struct http_exchange *x = NULL;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, (char **)&x);
		finish(x, msg->data.result);
	}
}

static void on_socket(struct ev_loop *loop, struct ev_io *w, int events)
{
	struct http_client *c = ((struct socket_watch *)w)->client;
	int flags = (events & EV_READ ? CURL_CSELECT_IN : 0) |
		    (events & EV_WRITE ? CURL_CSELECT_OUT : 0);
	int running;

	curl_multi_socket_action(c->multi, w->fd, flags, &running);
	check_done(c);
}

static void on_timer(struct ev_loop *loop, struct ev_timer *w, int events)
{
	struct http_client *c = w->data;
	int running;

	curl_multi_socket_action(c->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	check_done(c);
}

static int set_timer(CURLM *multi, long ms, void *user)
{
	struct http_client *c = user;

	ev_timer_stop(c->opt.loop, &c->timer);
	if (ms >= 0) {
		ev_timer_set(&c->timer, (double)ms / 1000, 0);
		ev_timer_start(c->opt.loop, &c->timer);
	}
	return 0;
}

static int watch_socket(CURL *easy, curl_socket_t fd, int what, void *user,
			void *socket_user)
{
	struct http_client *c = user;
	struct socket_watch *w = socket_user;
	int events = (what & CURL_POLL_IN ? EV_READ : 0) |
		     (what & CURL_POLL_OUT ? EV_WRITE : 0);

	if (what == CURL_POLL_REMOVE) {
		if (w)
			ev_io_stop(c->opt.loop, &w->io);
		free(w);
		curl_multi_assign(c->multi, fd, NULL);
		return 0;
	}
	if (!w) {
		w = calloc(1, sizeof(*w));
		if (!w)
			return -1;
		w->client = c;
		ev_io_init(&w->io, on_socket, fd, events);
		curl_multi_assign(c->multi, fd, w);
	} else {
		ev_io_stop(c->opt.loop, &w->io);
		ev_io_set(&w->io, fd, events);
	}
	ev_io_start(c->opt.loop, &w->io);
	return 0;
}

static size_t take_body(char *data, size_t size, size_t n, void *user)
{
	struct http_exchange *x = user;

	if (x->body.n + size * n > x->max_body) {
		x->too_big = true;
		return 0;
	}
	return buf_add(&x->body, data, size * n) ? 0 : size * n;
}

static size_t give_body(char *out, size_t size, size_t n, void *user)
{
	struct http_exchange *x = user;
	size_t left = x->upload.n - x->uploaded;
	size_t take = size * n < left ? size * n : left;

	if (take)
		memcpy(out, x->upload.p + x->uploaded, take);
	x->uploaded += take;
	return take;
}

/*
 * Called when a connection is ready and before the request goes out: the call may have
 * waited for its connection, and the process may have been paused since it was started.
 * libcurl may have sent the request on another connection before, see set_send_once().
 */
static int check_send(void *user, char *peer_ip, char *own_ip, int peer_port,
		      int own_port)
{
	struct http_exchange *x = user;
	long sent = 0;

	curl_easy_getinfo(x->easy, CURLINFO_REQUEST_SIZE, &sent);
	if (sent > 0)
		x->resent = true;
	if (x->send_until_us && clock_us() > x->send_until_us) {
		x->too_late = true;
		return CURL_PREREQFUNC_ABORT;
	}
	return CURL_PREREQFUNC_OK;
}

/*
 * Closes a socket and drops what the peer has not received, so that the rest of a call
 * that was given up doesn't arrive later.
 */
static int close_socket(void *user, curl_socket_t fd)
{
	struct linger drop = {.l_onoff = 1, .l_linger = 0};
	int unsent = 0;

	if (ioctl(fd, SIOCOUTQ, &unsent) == 0 && unsent > 0)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &drop, sizeof(drop));
	return close(fd);
}

/*
 * libcurl sends a request a second time when a reused connection ends before the
 * first byte of the answer, and the upstream may have run it. For a request that is
 * not idempotent this is prevented in two ways. A body comes from a callback that
 * cannot be rewound, so that libcurl gives up once a byte of it was sent; before
 * that the upstream has no whole request. Connections that were idle for long, which
 * the upstream may be closing, are not used unless the caller asks for them. A request
 * without a body is whole with its headers and gets a connection of its own.
 */
static int set_send_once(struct http_exchange *x, const struct http_call_options *opt)
{
	if (opt->body.n == 0) {
		curl_easy_setopt(x->easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(x->easy, CURLOPT_FORBID_REUSE, 1L);
		return 0;
	}
	if (!opt->reuse_idle)
		curl_easy_setopt(x->easy, CURLOPT_MAXAGE_CONN, REUSE_MAX_IDLE_S);
	curl_easy_setopt(x->easy, CURLOPT_UPLOAD_BUFFERSIZE, UPLOAD_BUFFER);
	curl_easy_setopt(x->easy, CURLOPT_POST, 1L);
	curl_easy_setopt(x->easy, CURLOPT_READFUNCTION, give_body);
	curl_easy_setopt(x->easy, CURLOPT_READDATA, x);
	return buf_set(&x->upload, opt->body);
}

int http_client_new(const struct http_client_options *opt, struct http_client **out)
{
	struct http_client *c = calloc(1, sizeof(*c));

	if (!c)
		return CF_ENOMEM;
	c->opt = *opt;
	c->multi = curl_multi_init();
	if (!c->multi) {
		free(c);
		return CF_ENOMEM;
	}
	ev_timer_init(&c->timer, on_timer, 0, 0);
	c->timer.data = c;
	curl_multi_setopt(c->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
	curl_multi_setopt(c->multi, CURLMOPT_SOCKETDATA, c);
	curl_multi_setopt(c->multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(c->multi, CURLMOPT_TIMERDATA, c);
	curl_multi_setopt(c->multi, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
	curl_multi_setopt(c->multi, CURLMOPT_MAXCONNECTS, (long)opt->max_idle);
	curl_multi_setopt(c->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
			  (long)opt->max_connections_per_host);
	*out = c;
	return 0;
}

static int add_header(struct http_exchange *x, const struct http_header *h)
{
	struct buf line = {0};
	struct curl_slist *list;
	int err = buf_addf(&line, h->value.n ? "%s: %.*s" : "%s;", h->name,
			   STR_ARG(h->value));

	if (err)
		return err;
	list = curl_slist_append(x->headers, line.p);
	buf_free(&line);
	if (!list)
		return CF_ENOMEM;
	x->headers = list;
	return 0;
}

static int set_headers(struct http_exchange *x, const struct http_call_options *opt)
{
	/* libcurl would wait for an interim answer before it sends a larger body. */
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");

	if (!list)
		return CF_ENOMEM;
	x->headers = list;
	for (size_t i = 0; i < opt->n_headers; i++) {
		int err = add_header(x, &opt->headers[i]);

		if (err)
			return err;
	}
	curl_easy_setopt(x->easy, CURLOPT_HTTPHEADER, x->headers);
	return 0;
}

static int set_method(struct http_exchange *x, const struct http_call_options *opt)
{
	bool has_body = opt->body.n > 0 || strcmp(opt->method, "POST") == 0 ||
			strcmp(opt->method, "PUT") == 0 ||
			strcmp(opt->method, "PATCH") == 0;

	x->head = strcmp(opt->method, "HEAD") == 0;
	if (x->head) {
		curl_easy_setopt(x->easy, CURLOPT_NOBODY, 1L);
		return 0;
	}
	if (has_body) {
		curl_easy_setopt(x->easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)opt->body.n);
		if ((opt->idempotent || opt->body.n == 0) &&
		    curl_easy_setopt(x->easy, CURLOPT_COPYPOSTFIELDS,
				     opt->body.n ? opt->body.p : ""))
			return CF_ENOMEM;
	}
	curl_easy_setopt(x->easy, CURLOPT_CUSTOMREQUEST, opt->method);
	return 0;
}

/*
 * Starts a call; its end is always reported through call->ops, from the loop. On
 * an error nothing was sent and done() is not called. No handle serves two calls: one
 * that is reused appends a folded first header to a freed one (libcurl 7.88.1).
 */
int http_client_start(struct http_client *c, const struct http_call_options *opt,
		      struct http_call *call)
{
	struct http_exchange *x = calloc(1, sizeof(*x));
	char *url = str_dup(opt->url);
	int err = CF_ENOMEM;

	if (!x || !url)
		goto fail;
	x->client = c;
	x->call = call;
	x->max_body = opt->max_body;
	x->send_until_us = opt->send_until_us;
	x->easy = curl_easy_init();
	if (!x->easy)
		goto fail;
	curl_easy_setopt(x->easy, CURLOPT_URL, url);
	curl_easy_setopt(x->easy, CURLOPT_PRIVATE, x);
	curl_easy_setopt(x->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(x->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(x->easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(x->easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(x->easy, CURLOPT_WRITEFUNCTION, take_body);
	curl_easy_setopt(x->easy, CURLOPT_WRITEDATA, x);
	curl_easy_setopt(x->easy, CURLOPT_PREREQFUNCTION, check_send);
	curl_easy_setopt(x->easy, CURLOPT_PREREQDATA, x);
	curl_easy_setopt(x->easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
	curl_easy_setopt(x->easy, CURLOPT_TIMEOUT_MS, (long)(opt->timeout * 1000));
	curl_easy_setopt(x->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)(c->opt.connect_timeout * 1000));
	err = set_method(x, opt);
	if (!err && !opt->idempotent)
		err = set_send_once(x, opt);
	if (opt->drop_idle)
		curl_easy_setopt(x->easy, CURLOPT_MAXAGE_CONN, 0L);
	if (!err)
		err = set_headers(x, opt);
	if (err)
		goto fail;
	if (curl_multi_add_handle(c->multi, x->easy)) {
		err = CF_ENOMEM;
		goto fail;
	}
	x->next = c->exchanges;
	x->prev = &c->exchanges;
	if (c->exchanges)
		c->exchanges->prev = &x->next;
	c->exchanges = x;
	call->exchange = x;
	free(url);
	return 0;
fail:
	if (x) {
		curl_easy_cleanup(x->easy);
		curl_slist_free_all(x->headers);
	}
	free(x);
	free(url);
	return err;
}

/* Returns the first answer header with a name; empty when absent. */
struct str http_result_header(const struct http_result *result, const char *name)
{
	struct curl_header *h;

	if (curl_easy_header(result->exchange->easy, name, 0, CURLH_HEADER, -1, &h))
		return (struct str){NULL, 0};
	return str_from(h->value);
}

/* Steps through the answer headers; *cursor starts as NULL. */
bool http_result_next_header(const struct http_result *result, void **cursor,
			     struct http_header *out)
{
	struct curl_header *h =
		curl_easy_nextheader(result->exchange->easy, CURLH_HEADER, -1, *cursor);

	*cursor = h;
	if (!h)
		return false;
	out->name = h->name;
	out->value = str_from(h->value);
	return true;
}

/* Ends a call without done(); its connection is closed. */
void http_call_cancel(struct http_call *call)
{
	if (call->exchange)
		exchange_free(call->exchange);
	call->exchange = NULL;
}

/* Ends outstanding calls without done(). */
void http_client_free(struct http_client *c)
{
	struct http_exchange *next;

	if (!c)
		return;
	for (struct http_exchange *x = c->exchanges; x; x = next) {
		next = x->next;
		x->call->exchange = NULL;
		exchange_free(x);
	}
	curl_multi_cleanup(c->multi);
	ev_timer_stop(c->opt.loop, &c->timer);
	free(c);
}
