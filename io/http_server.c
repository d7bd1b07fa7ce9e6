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
#include "io/http_server_impl.h"
#include "io/listener.h"

#define SWEEP_PERIOD_S 1.0
/* Bytes of the system's buffers of a connection, which would grow to megabytes. */
#define SOCKET_BUFFER 131072
/* New connections are accepted so far above the limit that idle ones give way to them. */
#define CONNECTIONS_ABOVE_MAX 8U
#define MAX_ROUNDS 16U	       /* of libmicrohttpd before the loop serves others */
#define LAST_ANSWERS_US 100000 /* for the answers that are not sent when it ends */
#define LAST_ANSWERS_POLL_MS 10

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
	struct http_conn *c = LIST_FIRST(&s->receipts);

	while (c) {
		struct http_conn *next = LIST_NEXT(c, receipts);

		if (is_closed_after_answer(c->fd)) {
			LIST_REMOVE(c, receipts);
			s->opt.host->ops->received(s->opt.host, buf_str(&c->receipt));
			buf_free(&c->receipt);
		}
		c = next;
	}
}

static void run(struct http_server *s)
{
	MHD_UNSIGNED_LONG_LONG ms;
	unsigned int rounds = MAX_ROUNDS;

	check_receipts(s);
	s->running = true;
	do {
		s->again = false;
		MHD_run(s->daemon);
	} while (s->again && --rounds);
	s->running = false;
	if (s->opt.limits)
		server_limits_trim(s->opt.limits);
	ev_timer_stop(s->opt.loop, &s->timer);
	if (s->again)
		ev_feed_event(s->opt.loop, &s->timer, EV_TIMER);
	else if (MHD_get_timeout(s->daemon, &ms) == MHD_YES) {
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

static void on_sweep(struct ev_loop *loop, struct ev_timer *t, int events)
{
	struct http_server *s = t->data;
	struct http_conn *c;

	http_conns_sweep(&s->conns, clock_us());
	TAILQ_FOREACH (c, &s->conns.lists[HTTP_CLOSING], entry)
		http_drop_body(s, c);
	run(s);
}

static void enter(struct http_server *s, struct http_conn *c, enum http_phase phase)
{
	if (c)
		http_conns_enter(&s->conns, c, phase, clock_us());
}

static enum MHD_Result queue_response(struct http_request *req)
{
	struct MHD_Response *r = req->response;

	if (!r)
		return MHD_NO;
	enter(req->server, http_own_data(req->connection), HTTP_REPLY);
	return MHD_queue_response(req->connection, req->status, r);
}

static void drop_receipt(struct http_conn *own)
{
	if (own->receipt.n)
		LIST_REMOVE(own, receipts);
	buf_free(&own->receipt);
}

static struct http_conn *new_connection(struct http_server *s,
					struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *from =
		MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	const union MHD_ConnectionInfo *socket =
		MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct http_conn *own = socket ? calloc(1, sizeof(*own)) : NULL;

	if (own)
		http_conns_add(&s->conns, own, socket->connect_fd,
			       from ? from->client_addr : NULL, clock_us());
	return own;
}

/* Called by libmicrohttpd when a connection begins and before it is closed. */
static void on_connection(void *cls, struct MHD_Connection *connection, void **context,
			  enum MHD_ConnectionNotificationCode code)
{
	struct http_server *s = cls;
	struct http_conn *own = *context;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		*context = new_connection(s, connection);
		return;
	}
	*context = NULL;
	if (!own)
		return;
	drop_receipt(own);
	/* libmicrohttpd looks only at its next run whether it may accept again. */
	if (s->conns.n >= s->opt.max_connections)
		s->again = true;
	http_conns_remove(&s->conns, own);
	free(own);
}

/* Called by libmicrohttpd before it adds a connection, which it closes otherwise. */
static enum MHD_Result on_accept(void *cls, const struct sockaddr *from, socklen_t size)
{
	struct http_server *s = cls;

	if (http_conns_admits(&s->conns))
		return MHD_YES;
	server_limits_note(s->opt.limits, LIMIT_DESCRIPTORS);
	return MHD_NO;
}

/* Called by libmicrohttpd first, with the request target as it came. */
static void *on_target(void *cls, const char *target, struct MHD_Connection *connection)
{
	struct http_server *s = cls;
	struct http_conn *own = http_own_data(connection);
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
	req->limits = s->opt.limits;
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

/* A request whose head has arrived. It is refused now if the head suffices for that. */
static enum MHD_Result begin(struct http_request *req)
{
	struct http_server *s = req->server;
	struct http_conn *own = http_own_data(req->connection);
	const char *length = MHD_lookup_connection_value(req->connection, MHD_HEADER_KIND,
							 MHD_HTTP_HEADER_CONTENT_LENGTH);
	int err;

	req->started = true;
	s->stats.in_flight++;
	enter(s, own, HTTP_BODY);
	do {
		err = http_body_begin(&s->body_limits, &req->receiving, length);
	} while (err == CF_EBUSY && http_end_slowest_body(s, own));
	if (err) {
		http_refuse(req, err, LIMIT_BODY_BUDGET);
		return queue_response(req);
	}
	if (own)
		own->body_of = req;
	return MHD_YES;
}

/* Takes room for what is kept of a request until it is answered. */
static bool charge_waiting(struct http_request *req)
{
	size_t n = req->body.n + HTTP_WAITING_BYTES;

	if (!req->limits || req->is_monitor)
		return true;
	if (!budget_take(&req->limits->replies, 0, n))
		return false;
	req->waiting_bytes = n;
	return true;
}

/* A request that has arrived completely. */
static void handle(struct http_request *req)
{
	struct http_server *s = req->server;

	req->handled = true;
	if (!is_whole_path(req))
		http_set_response(req, MHD_HTTP_BAD_REQUEST, NULL, 0, STR("bad path\n"));
	else if (s->closing)
		http_set_response(req, MHD_HTTP_SERVICE_UNAVAILABLE, NULL, 0,
				  STR("shutting down\n"));
	else if (!charge_waiting(req))
		http_refuse(req, CF_EBUSY, LIMIT_REPLY_BUDGET);
	else
		s->opt.host->ops->request(s->opt.host, req);
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
	struct http_conn *own = http_own_data(connection);
	size_t n = *data_size;

	if (!req)
		return MHD_NO;
	if (!req->started) {
		req->method = method;
		req->path = url;
		return begin(req);
	}
	if (n) {
		*data_size = 0;
		return http_receive(req, data, n);
	}
	if (req->refused)
		return MHD_NO;
	if (own)
		own->body_of = NULL;
	if (!req->handled) {
		enter(s, own, HTTP_WAITING);
		handle(req);
		if (!req->response && !req->refused) {
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
	const struct http_body_limits l = {.limits = req->limits};

	if (req->limits)
		budget_give(&req->limits->replies, req->waiting_bytes + req->reply_bytes);
	http_body_free(&l, &req->receiving, &req->body);
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
static void await_receipt(struct http_server *s, struct http_conn *own,
			  struct http_request *req)
{
	own->receipt = req->receipt;
	req->receipt = (struct buf){0};
	LIST_INSERT_HEAD(&s->receipts, own, receipts);
}

static void on_completed(void *cls, struct MHD_Connection *connection, void **con_cls,
			 enum MHD_RequestTerminationCode toe)
{
	struct http_server *s = cls;
	struct http_request *req = *con_cls;
	struct http_conn *own = http_own_data(connection);

	if (!req)
		return;
	*con_cls = NULL;
	if (own)
		own->body_of = NULL;
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
	enter(s, own, HTTP_KEPT);
	if (own && req->receipt.n && toe == MHD_REQUEST_TERMINATED_COMPLETED_OK)
		await_receipt(s, own, req);
	request_free(req);
}

static int highest_fd(const struct http_server_options *opt)
{
	if (!opt->limits)
		return INT32_MAX;
	return opt->is_monitor ? opt->limits->max_rpc_fd : opt->limits->max_http_fd;
}

/* Connections inherit the sizes from the listening socket. */
static void bound_socket_buffers(int fd)
{
	int size = SOCKET_BUFFER;

	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
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
	s->body_limits = (struct http_body_limits){opt->limits, opt->max_body};
	http_conns_init(&s->conns, opt->limits, opt->max_connections, highest_fd(opt));
	err = listener_open(&opt->address, &s->listen_fd);
	if (err)
		goto fail;
	if (opt->limits)
		bound_socket_buffers(s->listen_fd);
	s->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, on_accept, s, on_access, s,
		MHD_OPTION_LISTEN_SOCKET, s->listen_fd, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed, s, MHD_OPTION_NOTIFY_CONNECTION, on_connection, s,
		MHD_OPTION_URI_LOG_CALLBACK, on_target, s, MHD_OPTION_CONNECTION_LIMIT,
		opt->max_connections + (opt->limits ? CONNECTIONS_ABOVE_MAX : 0),
		MHD_OPTION_CONNECTION_TIMEOUT, opt->idle_timeout,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)HTTP_CONNECTION_MEMORY,
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
	ev_timer_init(&s->sweeper, on_sweep, SWEEP_PERIOD_S, SWEEP_PERIOD_S);
	s->sweeper.data = s;
	if (opt->limits)
		ev_timer_start(opt->loop, &s->sweeper);
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
	http_set_reply(req, status, headers, n_headers, body);
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
	ev_timer_stop(s->opt.loop, &s->sweeper);
	http_server_stop_accepting(s);
	send_last_answers(s);
	/* libmicrohttpd aborts the process when it is stopped with suspended connections.
	 */
	LIST_FOREACH (req, &s->waiting, waiting)
		MHD_resume_connection(req->connection);
	MHD_stop_daemon(s->daemon);
	free(s);
}
