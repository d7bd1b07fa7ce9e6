#ifndef CARAWAYFRONTD_METRICS_PORT_H
#define CARAWAYFRONTD_METRICS_PORT_H

#include <ev.h>

#include "base/metric.h"
#include "io/addr.h"
#include "io/server_limits.h"

/* Serves all metrics of a process as text, at any path that has no other handler. */
struct metrics_port;

struct http_request;

struct metrics_port_handler {
	/* Replies to a request, or returns false. */
	bool (*request)(struct metrics_port_handler *h, struct http_request *req);
};

/* address without a length: nothing is served and *out is NULL. */
int metrics_port_new(struct ev_loop *loop, const struct addr *address,
		     const struct metric_set *metrics, struct server_limits *limits,
		     struct metrics_port **out);
/* p NULL: nothing is served. */
void metrics_port_set_handler(struct metrics_port *p, struct metrics_port_handler *h);
void metrics_port_free(struct metrics_port *p);

#endif
