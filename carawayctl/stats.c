#include <err.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "carawayctl/http.h"
#include "carawayctl/table.h"

#define MAX_SERIES_NAME 256
#define MAX_SERIES 4096 /* distinct series of all addresses */

struct bucket {
	double le;    /* upper bound, INFINITY for the last */
	double count; /* of this bucket alone */
};

/* One series of the metrics text, summed over the entry processes. */
struct series {
	UT_hash_handle hh;
	char key[MAX_SERIES_NAME]; /* name{labels without le} */
	double value;		   /* sum of the addresses */
	double max;		   /* largest value of one address */
	double seen; /* cumulative count of the buckets read from this address */
	struct bucket *buckets; /* NULL: a counter or gauge */
	size_t n_buckets;
};

static struct series *series_get(struct series **all, const char *key)
{
	struct series *s;

	HASH_FIND_STR(*all, key, s);
	if (s)
		return s;
	if (HASH_COUNT(*all) >= MAX_SERIES)
		return NULL;
	s = calloc(1, sizeof(*s));
	if (!s)
		err(CTL_REFUSED, NULL);
	snprintf(s->key, sizeof(s->key), "%s", key);
	HASH_ADD_STR(*all, key, s);
	return s;
}

static void bucket_add(struct series *s, double le, double count)
{
	struct bucket *b;
	size_t i = 0;

	while (i < s->n_buckets && s->buckets[i].le < le)
		i++;
	if (i < s->n_buckets && s->buckets[i].le == le) {
		s->buckets[i].count += count;
		return;
	}
	b = realloc(s->buckets, (s->n_buckets + 1) * sizeof(*b));
	if (!b)
		err(CTL_REFUSED, NULL);
	s->buckets = b;
	memmove(&b[i + 1], &b[i], (s->n_buckets - i) * sizeof(*b));
	b[i] = (struct bucket){le, count};
	s->n_buckets++;
}

/*
 * Removes the label le from the labels (text between the braces) and reads it.
 * Returns false when there is none.
 */
static bool take_le(char *labels, double *le)
{
	char *p = strstr(labels, "le=\"");
	char *end;

	while (p && p != labels && p[-1] != ',')
		p = strstr(p + 1, "le=\"");
	if (!p)
		return false;
	*le = strncmp(p + 4, "+Inf", 4) == 0 ? INFINITY : strtod(p + 4, NULL);
	end = strchr(p + 4, '"');
	if (!end)
		return false;
	end++;
	if (*end == ',')
		end++;
	else if (p != labels)
		p--;
	memmove(p, end, strlen(end) + 1);
	return true;
}

/* Reads one line "name{labels} value". Lines of another form are skipped. */
static void line_read(struct series **all, char *line)
{
	char key[MAX_SERIES_NAME];
	char *open = strchr(line, '{');
	char *close = open ? strrchr(line, '}') : NULL;
	char *number = close ? close + 1 : strchr(line, ' ');
	size_t name_n;
	double value, le = 0;
	bool is_bucket;
	struct series *s;
	char *end;

	if (line[0] == '#' || !number || (open && !close))
		return;
	value = strtod(number, &end);
	if (end == number)
		return;
	*(close ? close : number) = '\0';
	name_n = open ? (size_t)(open - line) : strlen(line);
	is_bucket = open && name_n > 7 && strncmp(open - 7, "_bucket", 7) == 0 &&
		    take_le(open + 1, &le);
	if (is_bucket)
		name_n -= 7;
	snprintf(key, sizeof(key), "%.*s{%s}", (int)name_n, line, open ? open + 1 : "");
	s = series_get(all, key);
	if (!s)
		return;
	if (is_bucket) {
		/*
		 * Empty buckets are left out, so that cumulative counts of two addresses
		 * cannot be added for each bound.
		 */
		bucket_add(s, le, value - s->seen);
		s->seen = value;
	} else {
		s->value += value;
		if (value > s->max)
			s->max = value;
	}
}

static void metrics_read(struct series **all, char *text)
{
	char *save;

	for (struct series *s = *all; s; s = s->hh.next)
		s->seen = 0;
	for (char *l = strtok_r(text, "\n", &save); l; l = strtok_r(NULL, "\n", &save))
		line_read(all, l);
}

static double bucket_sum(const struct series *s)
{
	double total = 0;

	for (size_t i = 0; i < s->n_buckets; i++)
		total += s->buckets[i].count;
	return total;
}

/* Upper bound of the bucket that holds quantile q; NAN for an empty histogram. */
static double quantile(const struct series *s, double q)
{
	double total = bucket_sum(s);
	double below = 0;

	if (total <= 0)
		return NAN;
	for (size_t i = 0; i < s->n_buckets; i++) {
		below += s->buckets[i].count;
		if (below >= q * total)
			return s->buckets[i].le;
	}
	return INFINITY;
}

/* Value of a label in "a=\"x\",b=\"y\"}", empty without it. */
static void label_get(const char *key, const char *label, char *out, size_t n)
{
	const char *p = strchr(key, '{');
	size_t len = strlen(label);

	out[0] = '\0';
	for (p = p ? p + 1 : key + strlen(key); *p;) {
		if (strncmp(p, label, len) == 0 && p[len] == '=' && p[len + 1] == '"') {
			snprintf(out, n, "%.*s", (int)strcspn(p + len + 2, "\""),
				 p + len + 2);
			return;
		}
		p = strstr(p, "\",");
		if (!p)
			return;
		p += 2;
	}
}

static json_t *quantile_json(const struct series *s, double q)
{
	double v = quantile(s, q);

	return isfinite(v) ? json_real(v) : json_string(isnan(v) ? "-" : "above");
}

/* One row: metric, team, class, other labels, value or quantiles. */
static json_t *series_row(const struct series *s)
{
	char team[64], class[64];
	json_t *row = json_object();

	label_get(s->key, "team", team, sizeof(team));
	label_get(s->key, "class", class, sizeof(class));
	json_object_set_new(row, "team", json_string(*team ? team : "-"));
	json_object_set_new(row, "class", json_string(*class ? class : "-"));
	if (s->buckets) {
		json_object_set_new(row, "count", json_real(bucket_sum(s)));
		json_object_set_new(row, "p50", quantile_json(s, 0.5));
		json_object_set_new(row, "p90", quantile_json(s, 0.9));
		json_object_set_new(row, "p99", quantile_json(s, 0.99));
		json_object_set_new(row, "p999", quantile_json(s, 0.999));
	} else {
		json_object_set_new(row, "value", json_real(s->value));
		json_object_set_new(row, "max", json_real(s->max));
	}
	json_object_set_new(row, "series", json_string(s->key));
	return row;
}

static int by_key(const struct series *a, const struct series *b)
{
	return strcmp(a->key, b->key);
}

/* True for the _sum and _count series that belong to a histogram. */
static bool part_of_histogram(struct series *all, const struct series *s)
{
	static const char *const ends[] = {"_sum{", "_count{"};
	char key[MAX_SERIES_NAME];

	for (size_t i = 0; i < 2; i++) {
		const char *p = strstr(s->key, ends[i]);
		struct series *h;

		if (!p)
			continue;
		snprintf(key, sizeof(key), "%.*s{%s", (int)(p - s->key), s->key,
			 p + strlen(ends[i]));
		HASH_FIND_STR(all, key, h);
		if (h && h->buckets)
			return true;
	}
	return false;
}

static void series_print(const struct ctl *ctl, struct series **all)
{
	json_t *counters = json_array();
	json_t *hists = json_array();
	json_t *both;

	HASH_SORT(*all, by_key);
	for (struct series *s = *all; s; s = s->hh.next) {
		if (part_of_histogram(*all, s))
			continue;
		json_array_append_new(s->buckets ? hists : counters, series_row(s));
	}
	if (ctl->json) {
		both = json_pack("{s:O,s:O}", "counters", counters, "histograms", hists);
		table_print_reply(both, "", true);
		json_decref(both);
	} else {
		table_print(hists);
		putchar('\n');
		table_print(counters);
	}
	json_decref(counters);
	json_decref(hists);
}

static void series_free(struct series **all)
{
	struct series *s = *all;

	/* Frees the table only; the elements stay linked in order. */
	HASH_CLEAR(hh, *all);
	while (s) {
		struct series *next = s->hh.next;

		free(s->buckets);
		free(s);
		s = next;
	}
}

/* stats: sums the metrics of every address that answers. */
int ctl_stats(struct ctl *ctl, int argc, char **argv)
{
	struct http_request req = {.method = "GET", .path = "/metrics"};
	struct series *all = NULL;
	int status = CTL_UNREACHABLE;

	if (argc)
		return ctl_bad_usage("too many arguments");
	if (ctl->n_addresses == 0)
		return ctl_bad_usage("an address is needed (-a)");
	for (size_t i = 0; i < ctl->n_addresses; i++) {
		struct http_reply reply;
		bool maybe;

		if (http_once(ctl, ctl->addresses[i], &req, &reply, &maybe))
			continue;
		if (reply.status == 200 && reply.body.n) {
			metrics_read(&all, reply.body.p);
			status = CTL_DONE;
		} else if (status != CTL_DONE) {
			warnx("%s: status %ld", ctl->addresses[i], reply.status);
			status = CTL_REFUSED;
		}
		http_reply_free(&reply);
	}
	if (status == CTL_DONE)
		series_print(ctl, &all);
	series_free(&all);
	return status;
}
