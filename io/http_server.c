#include "io/http_server.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <microhttpd.h>

#include "base/err.h"
#include "io/clock.h"
#include "io/listener.h"

#define CONNECTION_MEMORY 16384U /* bytes for headers and buffers of a connection */
#define LAST_ANSWERS_US 100000	 /* for the answers that are not sent when it ends */
#define LAST_ANSWERS_POLL_MS 10

struct http_connection {
	LIST_ENTRY(http_connection) entry;
	int fd;
	struct buf receipt; /* of the answer that was sent last; in the list if it has one
			     */
};

struct http_server {
	struct http_server_options opt;
	struct MHD_Daemon *daemon;
	struct ev_io watcher;
	struct ev_timer timer;
	int listen_fd;
	int epoll_fd;
	bool running;  /* inside MHD_run() */
	bool again;    /* a connection was resumed and needs MHD_run() */
	bool closing;  /* inside http_server_free(); the host may be gone */
	size_t unsent; /* answers that are not sent completely */
	LIST_HEAD(, http_request) waiting;
	LIST_HEAD(, http_connection) receipts;
	struct http_server_stats stats;
};

/*
 * Whether the peer has received all that was sent to it and closed its connection after
 * that. One that closed it before resets it when more comes, and its last acknowledgement
 * lacks that.
 */
static bool is_closed_after_answer(int fd)
{
	struct tcp_info tcp = {0};
	socklen_t size = sizeof(tcp);
	int unsent = 0;

	return getsockopt(fd, IPPROTO_TCP, TCP_INFO, &tcp, &size) == 0 &&
	       tcp.tcpi_state == TCP_CLOSE_WAIT && ioctl(fd, SIOCOUTQ, &unsent) == 0 &&
	       unsent == 0;
}

/*
 * Tells the host of answers that were received. libmicrohttpd, which runs next, closes
 * the connections.
 */
static void check_receipts(struct http_server *s)
{
	struct http_connection *c = LIST_FIRST(&s->receipts);

	while (c) {
		struct http_connection *next = LIST_NEXT(c, entry);

		if (is_closed_after_answer(c->fd)) {
			LIST_REMOVE(c, entry);
			s->opt.host->ops->received(s->opt.host, buf_str(&c->receipt));
			buf_free(&c->receipt);
		}
		c = next;
	}
}

static void run(struct http_server *s)
{
	MHD_UNSIGNED_LONG_LONG ms;

	check_receipts(s);
	s->running = true;
	do {
		s->again = false;
		MHD_run(s->daemon);
	} while (s->again);
	s->running = false;
	ev_timer_stop(s->opt.loop, &s->timer);
	if (MHD_get_timeout(s->daemon, &ms) == MHD_YES) {
		ev_timer_set(&s->timer, (double)ms / 1000, 0);
		ev_timer_start(s->opt.loop, &s->timer);
	}
}

static void on_readable(struct ev_loop *loop, struct ev_io *w, int events)
{
	run(w->data);
}

static void on_timer(struct ev_loop *loop, struct ev_timer *w, int events)
{
	run(w->data);
}

static struct MHD_Response *make_response(const struct http_header *headers,
					  size_t n_headers, struct str body)
{
	struct MHD_Response *r = MHD_create_response_from_buffer(
		body.n, (void *)(uintptr_t)body.p, MHD_RESPMEM_MUST_COPY);

	if (!r)
		return NULL;
	for (size_t i = 0; i < n_headers; i++) {
		char *value = str_dup(headers[i].value);

		if (value)
			MHD_add_response_header(r, headers[i].name, value);
		free(value);
	}
	return r;
}

/* Without memory for the response the connection is closed. */
static void set_response(struct http_request *req, unsigned int status,
			 const struct http_header *headers, size_t n_headers,
			 struct str body)
{
	req->status = status;
	req->response = make_response(headers, n_headers, body);
	if (req->response)
		req->server->unsent++;
}

static enum MHD_Result queue_response(struct http_request *req)
{
	struct MHD_Response *r = req->response;

	if (!r)
		return MHD_NO;
	return MHD_queue_response(req->connection, req->status, r);
}

/* The server's own data of a connection; NULL: there was no memory for it. */
static struct http_connection *own_data(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info ? info->socket_context : NULL;
}

static void drop_receipt(struct http_connection *own)
{
	if (own->receipt.n)
		LIST_REMOVE(own, entry);
	buf_free(&own->receipt);
}

/* Called by libmicrohttpd when a connection begins and before it is closed. */
static void on_connection(void *cls, struct MHD_Connection *connection, void **context,
			  enum MHD_ConnectionNotificationCode code)
{
	struct http_connection *own = *context;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		*context = calloc(1, sizeof(*own));
		return;
	}
	*context = NULL;
	if (own)
		drop_receipt(own);
	free(own);
}

/* Called by libmicrohttpd first, with the request target as it came. */
static void *on_target(void *cls, const char *target, struct MHD_Connection *connection)
{
	struct http_server *s = cls;
	struct http_connection *own = own_data(connection);
	struct http_request *req = calloc(1, sizeof(*req));

	/* The sender goes on after the earlier answer. */
	if (own)
		drop_receipt(own);
	if (!req)
		return NULL;
	req->target = strdup(target);
	if (!req->target) {
		free(req);
		return NULL;
	}
	req->server = s;
	req->connection = connection;
	s->stats.requests++;
	return req;
}

/* A path is a C string here, so a NUL would hide the rest of it from the handlers. */
static bool is_whole_path(const struct http_request *req)
{
	const char *nul = strstr(req->target, "%00");
	const char *query = strchr(req->target, '?');

	return req->path[0] && req->target[0] && (!nul || (query && query < nul));
}

/*
 * Called by libmicrohttpd: once for the headers, for each part of the body, and
 * again at its end and after each resume.
 */
static enum MHD_Result on_access(void *cls, struct MHD_Connection *connection,
				 const char *url, const char *method, const char *version,
				 const char *data, size_t *data_size, void **con_cls)
{
	struct http_server *s = cls;
	struct http_request *req = *con_cls;

	if (!req)
		return MHD_NO;
	if (!req->started) {
		req->started = true;
		s->stats.in_flight++;
		req->method = method;
		req->path = url;
		return MHD_YES;
	}
	if (*data_size) {
		if (req->body.n + *data_size > s->opt.max_body)
			req->too_big = true;
		else if (buf_add(&req->body, data, *data_size))
			return MHD_NO;
		*data_size = 0;
		return MHD_YES;
	}
	if (req->too_big && !req->response) {
		s->stats.refused_body++;
		req->handled = true;
		set_response(req, MHD_HTTP_CONTENT_TOO_LARGE, NULL, 0,
			     STR("body too large\n"));
	}
	if (!req->handled && !is_whole_path(req)) {
		req->handled = true;
		set_response(req, MHD_HTTP_BAD_REQUEST, NULL, 0, STR("bad path\n"));
	}
	if (s->closing && !req->handled) {
		req->handled = true;
		set_response(req, MHD_HTTP_SERVICE_UNAVAILABLE, NULL, 0,
			     STR("shutting down\n"));
	}
	if (!req->handled) {
		req->handled = true;
		s->opt.host->ops->request(s->opt.host, req);
		if (!req->response) {
			req->suspended = true;
			LIST_INSERT_HEAD(&s->waiting, req, waiting);
			MHD_suspend_connection(connection);
			return MHD_YES;
		}
	}
	return queue_response(req);
}

static void request_free(struct http_request *req)
{
	buf_free(&req->body);
	buf_free(&req->receipt);
	free(req->target);
	free(req);
}

/* A request that its handler has not answered belongs to the handler from now on. */
static void detach(struct http_request *req)
{
	LIST_REMOVE(req, waiting);
	req->server = NULL;
	req->connection = NULL;
	req->method = "";
	req->path = "";
}

/* Takes the receipt of a request whose answer is sent. */
static void await_receipt(struct http_server *s, struct MHD_Connection *connection,
			  struct http_request *req)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct http_connection *own = own_data(connection);

	if (!info)
		return;
	own->fd = info->connect_fd;
	own->receipt = req->receipt;
	req->receipt = (struct buf){0};
	LIST_INSERT_HEAD(&s->receipts, own, entry);
}

static void on_completed(void *cls, struct MHD_Connection *connection, void **con_cls,
			 enum MHD_RequestTerminationCode toe)
{
	struct http_server *s = cls;
	struct http_request *req = *con_cls;
	struct http_connection *own = own_data(connection);

	if (!req)
		return;
	*con_cls = NULL;
	if (req->started)
		s->stats.in_flight--;
	if (req->suspended) {
		detach(req);
		return;
	}
	if (req->response) {
		s->unsent--;
		MHD_destroy_response(req->response);
	}
	if (own && req->receipt.n && toe == MHD_REQUEST_TERMINATED_COMPLETED_OK)
		await_receipt(s, connection, req);
	request_free(req);
}

/* Listens at once. CF_EEXIST when the port is taken, CF_EIO otherwise. */
int http_server_new(const struct http_server_options *opt, struct http_server **out)
{
	struct http_server *s = calloc(1, sizeof(*s));
	const union MHD_DaemonInfo *info;
	int err;

	if (!s)
		return CF_ENOMEM;
	s->opt = *opt;
	s->listen_fd = -1;
	err = listener_open(&opt->address, &s->listen_fd);
	if (err)
		goto fail;
	s->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access, s,
		MHD_OPTION_LISTEN_SOCKET, s->listen_fd, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed, s, MHD_OPTION_NOTIFY_CONNECTION, on_connection, s,
		MHD_OPTION_URI_LOG_CALLBACK, on_target, s, MHD_OPTION_CONNECTION_LIMIT,
		opt->max_connections, MHD_OPTION_CONNECTION_TIMEOUT, opt->idle_timeout,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY,
		MHD_OPTION_END);
	err = CF_EIO;
	if (!s->daemon)
		goto fail;
	info = MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	if (!info)
		goto fail;
	s->epoll_fd = info->epoll_fd;
	ev_io_init(&s->watcher, on_readable, s->epoll_fd, EV_READ);
	ev_timer_init(&s->timer, on_timer, 0, 0);
	s->watcher.data = s;
	s->timer.data = s;
	ev_io_start(opt->loop, &s->watcher);
	*out = s;
	return 0;
fail:
	if (s->daemon)
		MHD_stop_daemon(s->daemon);
	else if (s->listen_fd >= 0)
		close(s->listen_fd);
	free(s);
	return err;
}

/* Returns the value of a request header; empty when absent. */
struct str http_request_header(const struct http_request *req, const char *name)
{
	return str_from(
		MHD_lookup_connection_value(req->connection, MHD_HEADER_KIND, name));
}

/*
 * Whether the sender has closed its connection, so that nobody waits for the answer. The
 * request may then have waited for any time before it was read.
 */
bool http_request_is_abandoned(const struct http_request *req)
{
	const union MHD_ConnectionInfo *info =
		req->connection
			? MHD_get_connection_info(req->connection,
						  MHD_CONNECTION_INFO_CONNECTION_FD)
			: NULL;
	char next;
	ssize_t n;

	if (!info)
		return !req->connection;
	n = recv(info->connect_fd, &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
	return n == 0 || (n < 0 && errno == ECONNRESET);
}

static enum MHD_Result visit_header(void *cls, enum MHD_ValueKind kind, const char *key,
				    const char *value)
{
	struct http_header_visitor *v = cls;
	struct http_header h = {key, str_from(value)};

	return v->header(v, &h) ? MHD_YES : MHD_NO;
}

/* Visits every request header; false when the visitor ended the walk. */
bool http_request_each_header(const struct http_request *req,
			      struct http_header_visitor *v)
{
	int all = MHD_get_connection_values(req->connection, MHD_HEADER_KIND, NULL, NULL);

	return MHD_get_connection_values(req->connection, MHD_HEADER_KIND, visit_header,
					 v) == all;
}

/* Returns the value of a query argument; empty when absent. */
struct str http_request_query(const struct http_request *req, const char *name)
{
	return str_from(MHD_lookup_connection_value(req->connection,
						    MHD_GET_ARGUMENT_KIND, name));
}

/*
 * Answers a request; body and headers are copied. The request is released by the
 * server afterwards. Without memory for the answer the connection is closed.
 */
void http_request_reply(struct http_request *req, unsigned int status,
			const struct http_header *headers, size_t n_headers,
			struct str body)
{
	struct http_server *s = req->server;

	if (!s) {
		request_free(req);
		return;
	}
	set_response(req, status, headers, n_headers, body);
	if (!req->suspended)
		return;
	req->suspended = false;
	LIST_REMOVE(req, waiting);
	/* The loop calls on_timer() before it sleeps again. */
	if (!s->running && !s->again)
		ev_feed_event(s->opt.loop, &s->timer, EV_TIMER);
	s->again = true;
	MHD_resume_connection(req->connection);
}

const struct http_server_stats *http_server_stats(const struct http_server *s)
{
	return &s->stats;
}

/* Closes the listening socket; requests in flight go on. */
void http_server_stop_accepting(struct http_server *s)
{
	MHD_socket fd;

	if (s->listen_fd < 0)
		return;
	fd = MHD_quiesce_daemon(s->daemon);
	if (fd != MHD_INVALID_SOCKET)
		close(fd);
	s->listen_fd = -1;
}

/* Sends the answers that were given since the loop ran last. */
static void send_last_answers(struct http_server *s)
{
	int64_t end_us = clock_us() + LAST_ANSWERS_US;

	s->running = true;
	while (s->unsent && clock_us() < end_us)
		MHD_run_wait(s->daemon, LAST_ANSWERS_POLL_MS);
}

/*
 * Sends the answers that are left, for 100 ms at most, and closes all connections. A
 * request that was not answered yet is released by a later http_request_reply(). The
 * host is not called any more.
 */
void http_server_free(struct http_server *s)
{
	struct http_request *req;

	if (!s)
		return;
	s->closing = true;
	ev_io_stop(s->opt.loop, &s->watcher);
	ev_timer_stop(s->opt.loop, &s->timer);
	http_server_stop_accepting(s);
	send_last_answers(s);
	/* libmicrohttpd aborts the process when it is stopped with suspended connections.
	 */
	LIST_FOREACH (req, &s->waiting, waiting)
		MHD_resume_connection(req->connection);
	MHD_stop_daemon(s->daemon);
	free(s);
}
