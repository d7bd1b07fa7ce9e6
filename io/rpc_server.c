#include "io/rpc_server.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/crypto.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/queue.h>
#include <unistd.h>

#include "base/err.h"
#include "io/listener.h"
#include "io/rpc_wire.h"
#include "io/stream.h"

#define ACCEPTS_A_ROUND 256U
#define ACCEPT_PAUSE_S 0.1 /* while there is no descriptor or memory for a connection */
#define IDLE_PERIODS 5U	   /* between checks of a connection until it is ended */
/* Checks after which a connection without the cluster key is ended, idle or not. */
#define UNAUTHENTICATED_PERIODS 3U
/* Bytes of such a connection that are kept, in each direction; a call's header fits. */
#define UNAUTHENTICATED_BYTES 4096U
#define EVICT_TRIES 16U /* connections that are looked at for one without data */

struct rpc_conn {
	struct stream stream;
	struct rpc_server *server;
	struct rpc_conn *next, **prev;
	struct rpc_call *calls;
	struct buf member; /* shown by the first call; empty: none yet */
	TAILQ_ENTRY(rpc_conn) unauthenticated; /* while member is empty */
	unsigned int checks;		       /* in this time */
	uint64_t moved;	   /* bytes in both directions at the last check */
	unsigned int idle; /* checks since then that found no more */
};

struct rpc_server {
	struct rpc_server_options opt;
	struct ev_io acceptor;
	struct ev_timer accept_timer; /* ends a pause of the acceptor */
	struct ev_timer idle_timer;
	int fd;
	struct rpc_conn *conns;
	TAILQ_HEAD(, rpc_conn) unauthenticated; /* oldest first */
	uint64_t n_unauthenticated;
	struct rpc_server_stats stats;
};

static void leave_unauthenticated(struct rpc_conn *c)
{
	if (c->member.n)
		return;
	TAILQ_REMOVE(&c->server->unauthenticated, c, unauthenticated);
	c->server->n_unauthenticated--;
}

static void conn_free(struct rpc_conn *c)
{
	leave_unauthenticated(c);
	for (struct rpc_call *call = c->calls; call; call = call->next)
		call->conn = NULL;
	*c->prev = c->next;
	if (c->next)
		c->next->prev = c->prev;
	stream_close(&c->stream);
	buf_free(&c->member);
	free(c);
}

static bool key_matches(struct str a, struct str b)
{
	return a.n == b.n && CRYPTO_memcmp(a.p, b.p, a.n) == 0;
}

/* Checks the credential of a call, or that an earlier call of the connection had one. */
static bool authenticate(struct rpc_conn *c, const struct rpc_call_head *head)
{
	struct buf member = {0};

	if (head->member.n == 0)
		return c->member.n > 0;
	if (!key_matches(head->key, c->server->opt.key) || buf_set(&member, head->member))
		return false;
	leave_unauthenticated(c);
	buf_free(&c->member);
	c->member = member;
	c->stream.read_limit = 0;
	return true;
}

/*
 * A first call that is larger than what is kept without the cluster key: its header has
 * arrived and tells whether the rest is read.
 */
static int on_full(struct stream *s, struct str part)
{
	struct rpc_conn *c = (struct rpc_conn *)s;
	struct rpc_cred_space space;
	struct rpc_call_head head;
	struct str args;
	int err;

	part.p += RPC_MARK_BYTES;
	part.n -= RPC_MARK_BYTES;
	err = rpc_wire_parse_call(part, &space, &head, &args);
	if (err == CF_EMALFORMED)
		c->server->stats.malformed++;
	if (!err && !authenticate(c, &head)) {
		c->server->stats.refused++;
		err = CF_EAUTH;
	}
	return err;
}

static void write_reply(struct rpc_conn *c, uint32_t xid, int err, struct str results)
{
	struct rpc_reply_head head = {.xid = xid, .err = err};
	size_t before = c->stream.out.n;

	if (rpc_wire_add_reply(&c->stream.out, &head, results) ||
	    stream_flush(&c->stream) ||
	    (!c->member.n && stream_pending(&c->stream) > UNAUTHENTICATED_BYTES)) {
		/* The reader sees the end of the connection and frees it. */
		shutdown(c->stream.fd, SHUT_RDWR);
		return;
	}
	c->server->stats.bytes_out +=
		c->stream.out.n > before ? c->stream.out.n - before : results.n;
}

static int on_record(struct stream *s, struct str record)
{
	struct rpc_conn *c = (struct rpc_conn *)s;
	struct rpc_server *srv = c->server;
	struct rpc_cred_space space;
	struct rpc_call_head head;
	struct rpc_call *call;
	struct str args;
	int err = rpc_wire_parse_call(record, &space, &head, &args);

	srv->stats.bytes_in += record.n;
	if (err == CF_EMALFORMED) {
		srv->stats.malformed++;
		return err;
	}
	if (err == CF_EAUTH || !authenticate(c, &head)) {
		srv->stats.refused++;
		write_reply(c, head.xid, CF_EAUTH, (struct str){NULL, 0});
		return 0;
	}
	call = calloc(1, sizeof(*call));
	if (!call)
		return CF_ENOMEM;
	srv->stats.calls++;
	call->conn = c;
	call->xid = head.xid;
	call->proc = head.proc;
	call->member = buf_str(&c->member);
	call->args = args;
	call->next = c->calls;
	call->prev = &c->calls;
	if (c->calls)
		c->calls->prev = &call->next;
	c->calls = call;
	srv->opt.host->ops->call(srv->opt.host, call);
	return 0;
}

static void on_closed(struct stream *s, int err)
{
	struct rpc_conn *c = (struct rpc_conn *)s;

	if (err == CF_ETOOBIG)
		c->server->stats.malformed++;
	conn_free(c);
}

static const struct stream_ops server_stream_ops = {
	.record = on_record,
	.full = on_full,
	.closed = on_closed,
};

static void end_unauthenticated(struct rpc_conn *c)
{
	struct rpc_server *s = c->server;

	s->stats.strangers++;
	if (s->opt.limits)
		server_limits_note(s->opt.limits, LIMIT_UNAUTHENTICATED);
	conn_free(c);
}

static bool has_unread(const struct rpc_conn *c)
{
	char next;

	return recv(c->stream.fd, &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT) > 0;
}

/*
 * Ends the oldest connection without the cluster key, rather one on which nothing waits
 * to be read: a member shows its key at once.
 */
static void end_oldest_unauthenticated(struct rpc_server *s)
{
	struct rpc_conn *c = TAILQ_FIRST(&s->unauthenticated);
	unsigned int tries = EVICT_TRIES;

	while (c && tries && has_unread(c)) {
		c = TAILQ_NEXT(c, unauthenticated);
		tries--;
	}
	if (!c || !tries)
		c = TAILQ_FIRST(&s->unauthenticated);
	if (c)
		end_unauthenticated(c);
}

/* Keeps the number of connections without the cluster key and of descriptors bounded. */
static void make_room(struct rpc_server *s, int fd)
{
	uint64_t max = s->opt.limits ? s->opt.limits->opt.max_unauthenticated
				     : RPC_MAX_UNAUTHENTICATED;

	if (s->n_unauthenticated >= max ||
	    (s->opt.limits && fd > s->opt.limits->max_rpc_fd))
		end_oldest_unauthenticated(s);
}

static void add_conn(struct rpc_server *s, int fd)
{
	struct rpc_conn *c = calloc(1, sizeof(*c));
	int one = 1;

	if (!c) {
		close(fd);
		return;
	}
	make_room(s, fd);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	c->server = s;
	TAILQ_INSERT_TAIL(&s->unauthenticated, c, unauthenticated);
	s->n_unauthenticated++;
	c->next = s->conns;
	c->prev = &s->conns;
	if (s->conns)
		s->conns->prev = &c->next;
	s->conns = c;
	c->stream.ops = &server_stream_ops;
	c->stream.read_limit = UNAUTHENTICATED_BYTES;
	stream_open(&c->stream, s->opt.loop, fd, false);
}

static bool is_exhausted(int error)
{
	return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

/*
 * Stops the acceptor for a while. The connections that wait make its socket readable all
 * the time, and the loop would not sleep.
 */
static void pause_accepting(struct rpc_server *s)
{
	ev_io_stop(s->opt.loop, &s->acceptor);
	ev_timer_set(&s->accept_timer, ACCEPT_PAUSE_S, 0);
	ev_timer_start(s->opt.loop, &s->accept_timer);
}

static void on_accept_timer(struct ev_loop *loop, struct ev_timer *t, int events)
{
	struct rpc_server *s = t->data;

	ev_io_start(loop, &s->acceptor);
}

/*
 * Accepts what waits. One connection a round would not do while rounds are long: peers
 * that time out connect again, and the queue never ends.
 */
static void on_accept(struct ev_loop *loop, struct ev_io *w, int events)
{
	struct rpc_server *s = w->data;

	for (unsigned int i = 0; i < ACCEPTS_A_ROUND; i++) {
		int fd = accept4(s->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0) {
			if (is_exhausted(errno))
				pause_accepting(s);
			return;
		}
		add_conn(s, fd);
	}
}

/*
 * Whether nothing moves on a connection any more. What arrived and was not read yet
 * counts. Checks are counted, not time, so that a pause of this process ends no
 * connection.
 */
static bool is_idle(struct rpc_conn *c)
{
	uint64_t moved = c->stream.received + c->stream.taken;
	char next;

	if (moved != c->moved ||
	    recv(c->stream.fd, &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT) > 0) {
		c->moved = moved;
		c->idle = 0;
		return false;
	}
	return ++c->idle >= IDLE_PERIODS;
}

/*
 * Ends connections that have gone silent, of which nothing else tells. The caller of one
 * that was only not in use connects again for its next call.
 */
static void on_idle_timer(struct ev_loop *loop, struct ev_timer *t, int events)
{
	struct rpc_server *s = t->data;
	struct rpc_conn *next;

	for (struct rpc_conn *c = s->conns; c; c = next) {
		next = c->next;
		if (!c->member.n && ++c->checks > UNAUTHENTICATED_PERIODS) {
			end_unauthenticated(c);
			continue;
		}
		if (!is_idle(c))
			continue;
		s->stats.idle++;
		conn_free(c);
	}
}

/* Listens at once. CF_EEXIST when the port is taken. */
int rpc_server_new(const struct rpc_server_options *opt, struct rpc_server **out)
{
	struct rpc_server *s = calloc(1, sizeof(*s));
	double idle = opt->idle_timeout > 0 ? opt->idle_timeout : RPC_IDLE_S;
	int err;

	if (!s)
		return CF_ENOMEM;
	s->opt = *opt;
	TAILQ_INIT(&s->unauthenticated);
	err = listener_open(&opt->address, &s->fd);
	if (err) {
		free(s);
		return err;
	}
	ev_io_init(&s->acceptor, on_accept, s->fd, EV_READ);
	s->acceptor.data = s;
	ev_io_start(opt->loop, &s->acceptor);
	ev_timer_init(&s->accept_timer, on_accept_timer, 0, 0);
	s->accept_timer.data = s;
	ev_timer_init(&s->idle_timer, on_idle_timer, idle / IDLE_PERIODS,
		      idle / IDLE_PERIODS);
	s->idle_timer.data = s;
	ev_timer_start(opt->loop, &s->idle_timer);
	*out = s;
	return 0;
}

/*
 * Whether the peer has ended a connection from which bytes may still be read. A peek
 * tells it unless more bytes follow, in which case poll() does.
 */
static bool has_ended(int fd)
{
	struct pollfd p = {.fd = fd, .events = POLLRDHUP};
	char next;
	ssize_t n = recv(fd, &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);

	if (n < 0)
		return errno != EAGAIN && errno != EINTR;
	if (n == 0)
		return true;
	return poll(&p, 1, 0) > 0 && (p.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

/*
 * Whether the caller has given a call up: a process that was paused or busy still reads
 * the calls of connections that were closed or reset meanwhile. Such a call is counted.
 */
bool rpc_call_is_abandoned(const struct rpc_call *call)
{
	if (call->conn && !has_ended(call->conn->stream.fd))
		return false;
	if (call->conn)
		call->conn->server->stats.abandoned++;
	return true;
}

/* Ends a call without an answer, as one-way procedures do. */
void rpc_call_drop(struct rpc_call *call)
{
	if (call->conn) {
		*call->prev = call->next;
		if (call->next)
			call->next->prev = call->prev;
	}
	free(call);
}

/* Answers with an error number of rpc_reply_head, or with results, and frees. */
void rpc_call_reply(struct rpc_call *call, int err, struct str results)
{
	if (call->conn)
		write_reply(call->conn, call->xid, err, results);
	rpc_call_drop(call);
}

const struct rpc_server_stats *rpc_server_stats(const struct rpc_server *s)
{
	return &s->stats;
}

void rpc_server_free(struct rpc_server *s)
{
	struct rpc_conn *next;

	if (!s)
		return;
	for (struct rpc_conn *c = s->conns; c; c = next) {
		next = c->next;
		conn_free(c);
	}
	ev_io_stop(s->opt.loop, &s->acceptor);
	ev_timer_stop(s->opt.loop, &s->accept_timer);
	ev_timer_stop(s->opt.loop, &s->idle_timer);
	close(s->fd);
	free(s);
}
