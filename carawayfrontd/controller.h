#ifndef CARAWAYFRONTD_CONTROLLER_H
#define CARAWAYFRONTD_CONTROLLER_H

#include <ev.h>

#include "base/metric.h"
#include "carawayfrontd/settings.h"
#include "io/server_limits.h"

struct controller;

/*
 * The controller role: a replica of the jobs' state. The leading controller also runs
 * the scheduler and calls the executors.
 */
int controller_new(struct ev_loop *loop, struct settings *settings,
		   struct metric_set *metrics, struct server_limits *limits,
		   struct controller **out);
void controller_drain(struct controller *c);
int controller_failure(const struct controller *c);
void controller_free(struct controller *c);

#endif
