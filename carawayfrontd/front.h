#ifndef CARAWAYFRONTD_FRONT_H
#define CARAWAYFRONTD_FRONT_H

#include <ev.h>

#include "base/metric.h"
#include "carawayfrontd/leader_client.h"
#include "carawayfrontd/settings.h"
#include "core/conf_view.h"
#include "core/router.h"

/* Callers' requests of one entry process: HTTP in, router, HTTP to upstreams. */
struct front;

struct front_options {
	struct ev_loop *loop;
	const struct settings *settings;
	struct metric_set *metrics;
	struct server_limits *limits; /* of the process */
	struct leader_client *leader;
	const uint64_t *incarnation; /* of this entry process, in its claims */
};

int front_new(const struct front_options *opt, struct front **out);
void front_set_view(struct front *f, const struct conf_view *view);
struct router *front_router(struct front *f);
void front_poll(struct front *f);
void front_drain(struct front *f);
bool front_idle(const struct front *f);
uint64_t front_in_flight(const struct front *f);
void front_free(struct front *f);

#endif
