#include "io/http_conns.h"

#include <errno.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#define SECOND_US 1000000LL
/* A body may take so long before it can give way to another one. */
#define BODY_GIVES_WAY_US (3 * SECOND_US)
/* Connections that may await their end while there are few descriptors. */
#define CLOSING_MAX 4U
#define EVICT_TRIES 16 /* connections that are looked at for one that is idle */

/* Connections of one address. */
struct http_source {
	struct in6_addr address; /* IPv4 addresses as mapped ones */
	uint64_t n;
	UT_hash_handle hh;
};

void http_conns_init(struct http_conns *c, struct server_limits *limits, size_t max,
		     int max_fd)
{
	*c = (struct http_conns){.limits = limits, .max = max, .max_fd = max_fd};
	for (int i = 0; i < HTTP_N_PHASES; i++)
		TAILQ_INIT(&c->lists[i]);
}

static struct in6_addr address_of(const struct sockaddr *from)
{
	struct in6_addr a = {0};

	if (from && from->sa_family == AF_INET) {
		const struct sockaddr_in *in =
			(const struct sockaddr_in *)(const void *)from;

		a.s6_addr[10] = a.s6_addr[11] = 0xff;
		memcpy(&a.s6_addr[12], &in->sin_addr, sizeof(in->sin_addr));
	} else if (from && from->sa_family == AF_INET6) {
		a = ((const struct sockaddr_in6 *)(const void *)from)->sin6_addr;
	}
	return a;
}

/* Without memory the connection is not counted. */
static void count_source(struct http_conns *c, struct http_conn *conn,
			 const struct sockaddr *from)
{
	struct in6_addr a = address_of(from);
	struct http_source *s;

	HASH_FIND(hh, c->sources, &a, sizeof(a), s);
	if (!s) {
		s = calloc(1, sizeof(*s));
		if (!s)
			return;
		s->address = a;
		HASH_ADD(hh, c->sources, address, sizeof(s->address), s);
	}
	s->n++;
	conn->source = s;
}

/* Bytes that TCP received, or of which it knows that the peer has them. */
static uint64_t tcp_bytes(int fd, bool acked)
{
	struct tcp_info tcp = {0};
	socklen_t size = sizeof(tcp);

	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &tcp, &size))
		return 0;
	return acked ? tcp.tcpi_bytes_acked : tcp.tcpi_bytes_received;
}

static bool has_unread(int fd)
{
	char next;

	return recv(fd, &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT) > 0;
}

static void shut_down(struct http_conns *c, struct http_conn *conn)
{
	shutdown(conn->fd, SHUT_RDWR);
	c->n_closing += conn->phase != HTTP_CLOSING;
	http_conns_enter(c, conn, HTTP_CLOSING, conn->since_us);
}

void http_conns_close(struct http_conns *c, struct http_conn *conn,
		      enum limit_reason reason)
{
	server_limits_note(c->limits, reason);
	shut_down(c, conn);
}

static bool has_ended(int fd)
{
	char next;
	ssize_t n = recv(fd, &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);

	return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

/* Closes the connection that has been idle for longest; false: there is none. */
static bool close_idle(struct http_conns *c, const struct http_conn *not_this,
		       enum limit_reason reason)
{
	static const enum http_phase order[] = {HTTP_FRESH, HTTP_KEPT};
	int tries = EVICT_TRIES;

	for (size_t i = 0; i < 2; i++) {
		struct http_conn *conn;

		TAILQ_FOREACH (conn, &c->lists[order[i]], entry) {
			if (conn == not_this)
				continue;
			if (tries-- == 0)
				return false;
			if (has_unread(conn->fd))
				continue;
			http_conns_close(c, conn, reason);
			return true;
		}
	}
	return false;
}

/*
 * Whether a new connection may be added. Those that gave way to others keep their
 * descriptors until the server has closed them.
 */
bool http_conns_admits(const struct http_conns *c)
{
	return !c->limits || !c->short_of_fds || c->n_closing < CLOSING_MAX;
}

/*
 * Closes as many idle connections as descriptors are in use above the highest one;
 * false: too few are idle.
 */
static bool free_descriptors(struct http_conns *c, const struct http_conn *newest)
{
	while (c->n_closing < (size_t)(newest->fd - c->max_fd))
		if (!close_idle(c, newest, LIMIT_DESCRIPTORS))
			return false;
	return true;
}

/* Adds a new connection, for which others may be closed, or closes it at once. */
void http_conns_add(struct http_conns *c, struct http_conn *conn, int fd,
		    const struct sockaddr *from, int64_t now_us)
{
	conn->fd = fd;
	conn->phase = HTTP_FRESH;
	conn->since_us = now_us;
	TAILQ_INSERT_TAIL(&c->lists[HTTP_FRESH], conn, entry);
	c->n++;
	if (!c->limits)
		return;
	/* The system gives the lowest one that is free. */
	c->short_of_fds = fd > c->max_fd;
	count_source(c, conn, from);
	if (c->limits->opt.max_per_source && conn->source &&
	    conn->source->n > c->limits->opt.max_per_source)
		http_conns_close(c, conn, LIMIT_SOURCE);
	else if (c->short_of_fds && !free_descriptors(c, conn))
		http_conns_close(c, conn, LIMIT_DESCRIPTORS);
	else if (c->n - c->n_closing > c->max)
		close_idle(c, conn, LIMIT_CONNECTIONS);
}

/* A connection that was shut down stays so. */
void http_conns_enter(struct http_conns *c, struct http_conn *conn, enum http_phase phase,
		      int64_t now_us)
{
	if (conn->phase == HTTP_CLOSING)
		return;
	TAILQ_REMOVE(&c->lists[conn->phase], conn, entry);
	conn->phase = phase;
	conn->since_us = now_us;
	conn->head_since_us = 0;
	conn->received = 0;
	conn->base = 0;
	if (c->limits && (phase == HTTP_KEPT || phase == HTTP_REPLY))
		conn->base = tcp_bytes(conn->fd, phase == HTTP_REPLY);
	TAILQ_INSERT_TAIL(&c->lists[phase], conn, entry);
}

/*
 * The body that has been received for longest, if that is long; NULL: none. One of which
 * nothing has arrived holds no room.
 */
struct http_conn *http_conns_slowest_body(struct http_conns *c,
					  const struct http_conn *not_this,
					  int64_t now_us)
{
	struct http_conn *conn = TAILQ_FIRST(&c->lists[HTTP_BODY]);

	while (conn && (conn == not_this || !conn->received))
		conn = TAILQ_NEXT(conn, entry);
	return conn && now_us - conn->since_us > BODY_GIVES_WAY_US ? conn : NULL;
}

/*
 * Shuts down connections that their peers have closed. libmicrohttpd misses the end of
 * one that arrives together with data, as it takes a short read for the last of an edge.
 */
static void sweep_ended(struct http_conns *c, enum http_phase phase, int64_t now_us)
{
	struct http_conn *next;

	for (struct http_conn *conn = TAILQ_FIRST(&c->lists[phase]); conn; conn = next) {
		next = TAILQ_NEXT(conn, entry);
		if (now_us - conn->since_us > SECOND_US && has_ended(conn->fd))
			shut_down(c, conn);
	}
}

/* Closes connections whose next head has begun and does not end. */
static void sweep_heads(struct http_conns *c, enum http_phase phase, int64_t now_us)
{
	int64_t timeout = (int64_t)c->limits->opt.head_timeout_s * SECOND_US;
	struct http_conn *next;

	for (struct http_conn *conn = TAILQ_FIRST(&c->lists[phase]); conn; conn = next) {
		next = TAILQ_NEXT(conn, entry);
		if (!conn->head_since_us && tcp_bytes(conn->fd, false) > conn->base)
			conn->head_since_us = now_us;
		if (conn->head_since_us && now_us - conn->head_since_us > timeout)
			http_conns_close(c, conn, LIMIT_HEAD_TIME);
	}
}

/* Closes connections on which a body or a reply moves too slowly. */
static void sweep_slow(struct http_conns *c, enum http_phase phase,
		       enum limit_reason reason, int64_t now_us)
{
	const struct server_limits_options *opt = &c->limits->opt;
	int64_t timeout = (int64_t)opt->body_timeout_s * SECOND_US;
	struct http_conn *next;

	for (struct http_conn *conn = TAILQ_FIRST(&c->lists[phase]); conn; conn = next) {
		int64_t elapsed = now_us - conn->since_us;
		uint64_t moved;

		next = TAILQ_NEXT(conn, entry);
		if (elapsed <= timeout)
			break; /* the list is in the order of their start */
		moved = phase == HTTP_REPLY ? tcp_bytes(conn->fd, true) - conn->base
					    : conn->received;
		if ((uint64_t)(elapsed - timeout) >
		    moved * (uint64_t)SECOND_US / opt->min_rate)
			http_conns_close(c, conn, reason);
	}
}

/*
 * Called about once a second. A client that sends or reads a little now and then never
 * becomes idle, so what counts is the time for all that it sent or read.
 */
void http_conns_sweep(struct http_conns *c, int64_t now_us)
{
	if (!c->limits)
		return;
	sweep_ended(c, HTTP_FRESH, now_us);
	sweep_ended(c, HTTP_KEPT, now_us);
	sweep_ended(c, HTTP_BODY, now_us);
	sweep_heads(c, HTTP_FRESH, now_us);
	sweep_heads(c, HTTP_KEPT, now_us);
	sweep_slow(c, HTTP_BODY, LIMIT_BODY_TIME, now_us);
	sweep_slow(c, HTTP_REPLY, LIMIT_REPLY_TIME, now_us);
}

void http_conns_remove(struct http_conns *c, struct http_conn *conn)
{
	struct http_source *s = conn->source;

	TAILQ_REMOVE(&c->lists[conn->phase], conn, entry);
	c->n--;
	c->n_closing -= conn->phase == HTTP_CLOSING;
	if (!s || --s->n > 0)
		return;
	HASH_DEL(c->sources, s);
	free(s);
}
