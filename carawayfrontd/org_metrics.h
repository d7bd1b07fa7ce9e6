#ifndef CARAWAYFRONTD_ORG_METRICS_H
#define CARAWAYFRONTD_ORG_METRICS_H

#include "base/metric.h"
#include "core/dag_sched.h"

/*
 * Metrics by organisation. The first organisations that a process sees have their own
 * label, as series are never removed; all others are summed under "other".
 */
#define ORG_METRICS_LABELS 64U /* with "other" */

struct org_metrics_values {
	uint64_t cpu_milli;
	uint64_t mem_mb;
	uint64_t gpus;
	uint64_t limit_cpu_milli;
	uint64_t limit_mem_mb;
	uint64_t limit_gpus;
	uint64_t weight;
	uint64_t waiting;
	uint64_t quota_wait_us; /* since the previous export */
};

/* Zeroed memory is valid. */
struct org_metrics {
	char *names[ORG_METRICS_LABELS - 1];
	size_t n;
	bool has_other;
	struct org_metrics_values values[ORG_METRICS_LABELS]; /* "other" is the last */
	int64_t next_us;
};

void org_metrics_free(struct org_metrics *m);
/* Exports what the leader counts, at most once a second. */
void org_metrics_update(struct org_metrics *m, struct metric_set *set,
			struct dag_sched *sched, int64_t now_us);
/* Sets all gauges to 0, when this process does not lead any more. */
void org_metrics_clear(struct org_metrics *m, struct metric_set *set);
void org_metrics_add(struct org_metrics *m, const struct dag_org_stats *st);
void org_metrics_export(struct org_metrics *m, struct metric_set *set);

#endif
