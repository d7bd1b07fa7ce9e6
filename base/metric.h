#ifndef BASE_METRIC_H
#define BASE_METRIC_H

#include "base/hist.h"
#include "base/str.h"

/*
 * Registry of counters, gauges and histograms. Labels are Prometheus text such as
 * team="guild",class="urgent"; an empty string means none. Series are never removed,
 * so labels must come from bounded sets.
 */
struct metric_set;

#define METRIC_MAX_SERIES 8192U

int metric_set_new(struct metric_set **out);
void metric_set_free(struct metric_set *set);
uint64_t *metric_counter(struct metric_set *set, const char *name, const char *labels);
uint64_t *metric_gauge(struct metric_set *set, const char *name, const char *labels);
struct hist *metric_hist(struct metric_set *set, const char *name, const char *labels);
int metric_add_label(struct buf *labels, const char *name, struct str value);
int metric_print(const struct metric_set *set, struct buf *out);

#endif
