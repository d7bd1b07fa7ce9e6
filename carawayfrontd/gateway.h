#ifndef CARAWAYFRONTD_GATEWAY_H
#define CARAWAYFRONTD_GATEWAY_H

#include <ev.h>

#include "base/metric.h"
#include "carawayfrontd/settings.h"
#include "io/server_limits.h"

struct gateway;

/* The gateway role: takes callers' requests and sends them to the leading controller. */
int gateway_new(struct ev_loop *loop, struct settings *settings,
		struct metric_set *metrics, struct server_limits *limits,
		struct gateway **out);
void gateway_drain(struct gateway *g);
void gateway_free(struct gateway *g);

#endif
