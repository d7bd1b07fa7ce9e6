#ifndef CARAWAYFRONTD_ENTRY_H
#define CARAWAYFRONTD_ENTRY_H

#include <ev.h>

#include "base/metric.h"
#include "carawayfrontd/settings.h"
#include "io/server_limits.h"

struct entry;

int entry_new(struct ev_loop *loop, struct settings *settings, struct metric_set *metrics,
	      struct server_limits *limits, struct entry **out);
void entry_drain(struct entry *e);
void entry_free(struct entry *e);

#endif
