#ifndef IO_HTTP_CONNS_H
#define IO_HTTP_CONNS_H

#include <sys/queue.h>
#include <sys/socket.h>
#include <uthash.h>

#include "base/str.h"
#include "io/server_limits.h"

/*
 * Connections of an HTTP server by what they wait for. It closes those that are too slow
 * and, when there are too many, idle ones. Closing shuts the socket down; the owner of
 * the socket then finds the connection ended.
 */
enum http_phase {
	HTTP_FRESH,   /* its first request has not arrived */
	HTTP_KEPT,    /* answered, its next request has not arrived */
	HTTP_BODY,    /* the head of a request has arrived */
	HTTP_WAITING, /* a complete request that is not answered yet */
	HTTP_REPLY,   /* the reply is being sent */
	HTTP_CLOSING, /* shut down */
	HTTP_N_PHASES
};

struct http_request;
struct http_source;

struct http_conn {
	TAILQ_ENTRY(http_conn) entry;	/* of its phase */
	LIST_ENTRY(http_conn) receipts; /* while it has a receipt */
	enum http_phase phase;
	int fd;
	int64_t since_us;      /* start of the phase */
	int64_t head_since_us; /* the next head was seen to have begun; 0: not yet */
	uint64_t base;	       /* TCP's count of bytes at the start of the phase */
	uint64_t received;     /* bytes of the body */
	struct http_source *source;
	struct http_request *body_of; /* request whose body is received */
	struct buf receipt;	      /* of the answer that was sent last */
};

TAILQ_HEAD(http_conn_list, http_conn);

struct http_conns {
	struct server_limits *limits; /* NULL: connections are only listed */
	size_t max;		      /* above it idle connections are closed */
	size_t n;
	size_t n_closing;  /* shut down, their descriptors are still open */
	int max_fd;	   /* highest descriptor */
	bool short_of_fds; /* the newest connection was above it */
	struct http_conn_list lists[HTTP_N_PHASES];
	struct http_source *sources;
};

void http_conns_init(struct http_conns *c, struct server_limits *limits, size_t max,
		     int max_fd);
bool http_conns_admits(const struct http_conns *c);
void http_conns_add(struct http_conns *c, struct http_conn *conn, int fd,
		    const struct sockaddr *from, int64_t now_us);
void http_conns_enter(struct http_conns *c, struct http_conn *conn, enum http_phase phase,
		      int64_t now_us);
struct http_conn *http_conns_slowest_body(struct http_conns *c,
					  const struct http_conn *not_this,
					  int64_t now_us);
void http_conns_close(struct http_conns *c, struct http_conn *conn,
		      enum limit_reason reason);
void http_conns_sweep(struct http_conns *c, int64_t now_us);
void http_conns_remove(struct http_conns *c, struct http_conn *conn);

#endif
