#ifndef CARAWAYFRONTD_SPREAD_H
#define CARAWAYFRONTD_SPREAD_H

#include <ev.h>

#include "base/metric.h"
#include "carawayfrontd/settings.h"
#include "core/router.h"

/* Distribution of upstream announcements between entry processes. */
struct spread;

struct spread_options {
	struct ev_loop *loop;
	const struct settings *settings;
	struct metric_set *metrics;
	struct router *router;
};

int spread_new(const struct spread_options *opt, struct spread **out);
int spread_announced(struct spread *s, const struct router_upstream *u);
int spread_receive(struct spread *s, struct str member, struct str batch);
void spread_export_metrics(struct spread *s);
void spread_free(struct spread *s);

#endif
