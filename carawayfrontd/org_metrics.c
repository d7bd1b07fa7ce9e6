#include "carawayfrontd/org_metrics.h"

#include <stdlib.h>
#include <string.h>

#define UPDATE_PERIOD_US 1000000
#define OTHER (ORG_METRICS_LABELS - 1)
#define OTHER_NAME "other"

void org_metrics_free(struct org_metrics *m)
{
	for (size_t i = 0; i < m->n; i++)
		free(m->names[i]);
	memset(m, 0, sizeof(*m));
}

/* The place of an organisation. Without memory for its name it is one of the others. */
static size_t place_of(struct org_metrics *m, const char *name)
{
	if (strcmp(name, OTHER_NAME) != 0) {
		for (size_t i = 0; i < m->n; i++)
			if (strcmp(m->names[i], name) == 0)
				return i;
		if (m->n < OTHER) {
			m->names[m->n] = strdup(name);
			if (m->names[m->n])
				return m->n++;
		}
	}
	m->has_other = true;
	return OTHER;
}

void org_metrics_add(struct org_metrics *m, const struct dag_org_stats *st)
{
	struct org_metrics_values *v = &m->values[place_of(m, st->org->name)];

	v->cpu_milli += st->cpu_milli;
	v->mem_mb += st->mem_mb;
	v->gpus += st->gpus;
	v->limit_cpu_milli += st->org->limits.cpu_milli;
	v->limit_mem_mb += st->org->limits.mem_mb;
	v->limit_gpus += st->org->limits.gpus;
	v->weight += st->org->weight ? st->org->weight : 1;
	v->waiting += st->n_waiting;
	v->quota_wait_us += (uint64_t)st->quota_wait_us;
}

static void export_values(struct metric_set *set, const char *name,
			  const struct org_metrics_values *v)
{
	struct buf labels = {0};

	if (metric_add_label(&labels, "org", str_from(name)))
		goto out;
	*metric_gauge(set, "carawayfront_org_reserved_cpu_milli", labels.p) =
		v->cpu_milli;
	*metric_gauge(set, "carawayfront_org_reserved_mem_mb", labels.p) = v->mem_mb;
	*metric_gauge(set, "carawayfront_org_reserved_gpus", labels.p) = v->gpus;
	*metric_gauge(set, "carawayfront_org_limit_cpu_milli", labels.p) =
		v->limit_cpu_milli;
	*metric_gauge(set, "carawayfront_org_limit_mem_mb", labels.p) = v->limit_mem_mb;
	*metric_gauge(set, "carawayfront_org_limit_gpus", labels.p) = v->limit_gpus;
	*metric_gauge(set, "carawayfront_org_weight", labels.p) = v->weight;
	*metric_gauge(set, "carawayfront_org_waiting_tasks", labels.p) = v->waiting;
	*metric_counter(set, "carawayfront_org_quota_wait_us_total", labels.p) +=
		v->quota_wait_us;
out:
	buf_free(&labels);
}

/* Writes the sums since the previous export, and begins with zeros again. */
void org_metrics_export(struct org_metrics *m, struct metric_set *set)
{
	for (size_t i = 0; i < m->n; i++)
		export_values(set, m->names[i], &m->values[i]);
	if (m->has_other)
		export_values(set, OTHER_NAME, &m->values[OTHER]);
	memset(m->values, 0, sizeof(m->values));
}

static void add_each(void *arg, const struct dag_org_stats *st)
{
	org_metrics_add(arg, st);
}

void org_metrics_update(struct org_metrics *m, struct metric_set *set,
			struct dag_sched *sched, int64_t now_us)
{
	if (now_us < m->next_us)
		return;
	m->next_us = now_us + UPDATE_PERIOD_US;
	dag_sched_each_org(sched, add_each, m);
	org_metrics_export(m, set);
}

void org_metrics_clear(struct org_metrics *m, struct metric_set *set)
{
	m->next_us = 0;
	org_metrics_export(m, set);
}
