#ifndef CARAWAYFRONTD_STATE_H
#define CARAWAYFRONTD_STATE_H

#include <ev.h>

#include "base/metric.h"
#include "carawayfrontd/settings.h"
#include "io/server_limits.h"

struct state;

int state_new(struct ev_loop *loop, struct settings *settings, struct metric_set *metrics,
	      struct server_limits *limits, bool bootstrap, struct state **out);
void state_drain(struct state *s);
int state_failure(const struct state *s);
void state_free(struct state *s);

#endif
