#ifndef IO_SERVER_LIMITS_H
#define IO_SERVER_LIMITS_H

#include <ev.h>
#include <stdint.h>

#include "base/metric.h"
#include "io/budget.h"

/* Why a client was refused or its connection closed. */
enum limit_reason {
	LIMIT_BODY_SIZE,       /* body above the limit of one request */
	LIMIT_BODY_BUDGET,     /* no room for bodies */
	LIMIT_REPLY_BUDGET,    /* no room for replies and waiting requests */
	LIMIT_HEAD_TIME,       /* the head of a request took too long */
	LIMIT_BODY_TIME,       /* a body came too slowly */
	LIMIT_REPLY_TIME,      /* a reply was read too slowly */
	LIMIT_CONNECTIONS,     /* an idle connection gave way to a new one */
	LIMIT_SOURCE,	       /* connections of one source address */
	LIMIT_DESCRIPTORS,     /* the other descriptors are reserved */
	LIMIT_UNAUTHENTICATED, /* RPC connections without the cluster key */
	LIMIT_N_REASONS
};

struct server_limits_options {
	struct ev_loop *loop;
	struct metric_set *metrics; /* may be NULL */
	uint64_t body_budget;	    /* bytes */
	uint64_t reply_budget;	    /* bytes */
	uint64_t head_timeout_s;
	uint64_t body_timeout_s;      /* also of replies, above the time at min_rate */
	uint64_t min_rate;	      /* bytes a second of bodies and replies */
	uint64_t max_per_source;      /* connections to a port; 0: no limit */
	uint64_t max_unauthenticated; /* RPC connections */
};

/* What all servers of one process share. */
struct server_limits {
	struct server_limits_options opt;
	struct budget bodies;  /* being received, and of requests in progress */
	struct budget replies; /* replies, and what is kept of requests that wait */
	/* Highest descriptors that connections may have. */
	int max_http_fd;
	int max_rpc_fd;

	/* Private. */
	struct ev_timer timer;
	uint64_t counts[LIMIT_N_REASONS];
	uint64_t logged[LIMIT_N_REASONS];
	int64_t logged_us[LIMIT_N_REASONS];
	int64_t trimmed_us;
};

int server_limits_new(const struct server_limits_options *opt,
		      struct server_limits **out);
/* Counts a refusal and logs it, at most once a second for each reason. */
void server_limits_note(struct server_limits *l, enum limit_reason reason);
void server_limits_trim(struct server_limits *l);
void server_limits_free(struct server_limits *l);

#endif
