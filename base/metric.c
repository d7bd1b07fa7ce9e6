#include "base/metric.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "base/err.h"

enum metric_kind { METRIC_COUNTER, METRIC_GAUGE, METRIC_HIST };

struct metric {
	UT_hash_handle hh;
	char *key; /* name{labels} */
	char *name;
	char *labels;
	enum metric_kind kind;
	uint64_t value;
	struct hist *hist;
};

struct metric_set {
	struct metric *all;
	/* Used for all series beyond METRIC_MAX_SERIES, or when out of memory. */
	uint64_t overflow;
	struct hist overflow_hist;
};

int metric_set_new(struct metric_set **out)
{
	*out = calloc(1, sizeof(**out));
	return *out ? 0 : CF_ENOMEM;
}

static void metric_free(struct metric *m)
{
	if (!m)
		return;
	free(m->key);
	free(m->name);
	free(m->labels);
	free(m->hist);
	free(m);
}

void metric_set_free(struct metric_set *set)
{
	struct metric *m, *next;

	if (!set)
		return;
	m = set->all;
	HASH_CLEAR(hh, set->all);
	for (; m; m = next) {
		next = m->hh.next;
		metric_free(m);
	}
	free(set);
}

static struct metric *metric_new(struct buf *key, const char *name, const char *labels,
				 enum metric_kind kind)
{
	struct metric *m = calloc(1, sizeof(*m));

	if (!m)
		return NULL;
	m->kind = kind;
	m->key = str_dup(buf_str(key));
	m->name = strdup(name);
	m->labels = strdup(labels);
	if (kind == METRIC_HIST)
		m->hist = calloc(1, sizeof(*m->hist));
	if (!m->key || !m->name || !m->labels || (kind == METRIC_HIST && !m->hist)) {
		metric_free(m);
		return NULL;
	}
	return m;
}

static struct metric *metric_get(struct metric_set *set, const char *name,
				 const char *labels, enum metric_kind kind)
{
	struct metric *m = NULL;
	struct buf key = {0};

	if (buf_addf(&key, "%s{%s}", name, labels))
		goto out;
	HASH_FIND(hh, set->all, key.p, key.n, m);
	if (m || HASH_COUNT(set->all) >= METRIC_MAX_SERIES)
		goto out;
	m = metric_new(&key, name, labels, kind);
	if (m)
		HASH_ADD_KEYPTR(hh, set->all, m->key, key.n, m);
out:
	buf_free(&key);
	return m;
}

/*
 * Returns the counter and creates it on first use; never NULL. The pointer stays valid
 * as long as the set.
 */
uint64_t *metric_counter(struct metric_set *set, const char *name, const char *labels)
{
	struct metric *m = metric_get(set, name, labels, METRIC_COUNTER);

	return m ? &m->value : &set->overflow;
}

uint64_t *metric_gauge(struct metric_set *set, const char *name, const char *labels)
{
	struct metric *m = metric_get(set, name, labels, METRIC_GAUGE);

	return m ? &m->value : &set->overflow;
}

/* Returns the histogram and creates it on first use; never NULL. */
struct hist *metric_hist(struct metric_set *set, const char *name, const char *labels)
{
	struct metric *m = metric_get(set, name, labels, METRIC_HIST);

	return m && m->hist ? m->hist : &set->overflow_hist;
}

static int print_hist(const struct metric *m, struct buf *out)
{
	const char *comma = *m->labels ? "," : "";
	uint64_t seen = 0;

	/* One line for each non-empty bucket; counts are cumulative. */
	for (unsigned int i = 0; i < HIST_BUCKETS; i++) {
		if (!m->hist->bucket[i])
			continue;
		seen += m->hist->bucket[i];
		buf_addf(out, "%s_bucket{%s%sle=\"%" PRIu64 "\"} %" PRIu64 "\n", m->name,
			 m->labels, comma, hist_bucket_upper(i), seen);
	}
	buf_addf(out, "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n", m->name, m->labels,
		 comma, m->hist->count);
	buf_addf(out, "%s_sum{%s} %" PRIu64 "\n", m->name, m->labels, m->hist->sum);
	return buf_addf(out, "%s_count{%s} %" PRIu64 "\n", m->name, m->labels,
			m->hist->count);
}

static int compare_metrics(const struct metric *a, const struct metric *b)
{
	int c = strcmp(a->name, b->name);

	return c ? c : strcmp(a->labels, b->labels);
}

/*
 * Appends a label whose value may hold any bytes: quotes, backslashes and line feeds are
 * escaped, as one of them would make the whole page unreadable. CF_ENOMEM.
 */
int metric_add_label(struct buf *labels, const char *name, struct str value)
{
	int err = buf_addf(labels, "%s%s=\"", labels->n ? "," : "", name);

	for (size_t i = 0; !err && i < value.n; i++) {
		char c = value.p[i];

		if (c == '\n')
			err = buf_adds(labels, "\\n");
		else if (c == '"' || c == '\\')
			err = buf_addf(labels, "\\%c", c);
		else if (c)
			err = buf_add(labels, &c, 1);
	}
	return err ? err : buf_adds(labels, "\"");
}

/* Appends the set in the Prometheus text format, sorted by name and labels. */
int metric_print(const struct metric_set *set, struct buf *out)
{
	static const char *const types[] = {"counter", "gauge", "histogram"};
	struct metric_set *sorted = (struct metric_set *)(uintptr_t)set;
	const char *last = "";
	int err = 0;

	HASH_SORT(sorted->all, compare_metrics);
	for (struct metric *m = set->all; m && !err; m = m->hh.next) {
		if (strcmp(last, m->name) != 0)
			buf_addf(out, "# TYPE %s %s\n", m->name, types[m->kind]);
		last = m->name;
		if (m->kind == METRIC_HIST)
			err = print_hist(m, out);
		else if (*m->labels)
			err = buf_addf(out, "%s{%s} %" PRIu64 "\n", m->name, m->labels,
				       m->value);
		else
			err = buf_addf(out, "%s %" PRIu64 "\n", m->name, m->value);
	}
	return err;
}
