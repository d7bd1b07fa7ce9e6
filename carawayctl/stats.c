#include <err.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "carawayctl/http.h"
#include "carawayctl/table.h"

#define SERIES_KEY_SIZE 256
#define MAX_SERIES 4096 /* distinct series over all addresses; others are ignored */

struct bucket {
	double le;    /* upper bound, INFINITY for the last */
	double count; /* observations in this bucket only, not cumulative */
};

/* A metric series, summed over the addresses. */
struct series {
	UT_hash_handle hh;
	char key[SERIES_KEY_SIZE]; /* name{labels}, without the label le */
	double value;		   /* sum over the addresses */
	double max;		   /* largest value at one address */
	double cumulative;	/* last cumulative bucket count at the current address */
	struct bucket *buckets; /* by upper bound; NULL: counter or gauge */
	size_t n_buckets;
};

static struct series *get_or_add_series(struct series **all, const char *key)
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

static void add_bucket(struct series *s, double le, double count)
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
 * Removes the label le from the text after the opening brace and stores its value.
 * Returns false if there is none.
 */
static bool remove_le_label(char *labels, double *le)
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

/* Adds a line "name{labels} value" to its series. Ignores comments and bad lines. */
static void parse_metric_line(struct series **all, char *line)
{
	char key[SERIES_KEY_SIZE];
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
		    remove_le_label(open + 1, &le);
	if (is_bucket)
		name_n -= 7;
	snprintf(key, sizeof(key), "%.*s{%s}", (int)name_n, line, open ? open + 1 : "");
	s = get_or_add_series(all, key);
	if (!s)
		return;
	if (is_bucket) {
		/*
		 * The daemon omits empty buckets, so that two addresses may list
		 * different bounds. Cumulative counts cannot be summed per bound then:
		 * convert them to the count of each bucket.
		 */
		add_bucket(s, le, value - s->cumulative);
		s->cumulative = value;
	} else {
		s->value += value;
		if (value > s->max)
			s->max = value;
	}
}

static void parse_metrics(struct series **all, char *text)
{
	char *save;

	for (struct series *s = *all; s; s = s->hh.next)
		s->cumulative = 0;
	for (char *l = strtok_r(text, "\n", &save); l; l = strtok_r(NULL, "\n", &save))
		parse_metric_line(all, l);
}

static double count_observations(const struct series *s)
{
	double total = 0;

	for (size_t i = 0; i < s->n_buckets; i++)
		total += s->buckets[i].count;
	return total;
}

/* Returns the upper bound of the bucket with quantile q, NAN for an empty histogram. */
static double compute_quantile(const struct series *s, double q)
{
	double total = count_observations(s);
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

/* Copies the value of a label of the series to out, empty if it has none. */
static void get_label(const char *key, const char *label, char *out, size_t n)
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

static json_t *make_quantile_json(const struct series *s, double q)
{
	double v = compute_quantile(s, q);

	return isfinite(v) ? json_real(v) : json_string(isnan(v) ? "-" : "above");
}

/* Returns a table row: team, class, then count and quantiles or value and max, series. */
static json_t *make_series_row(const struct series *s)
{
	char team[64], class[64];
	json_t *row = json_object();

	get_label(s->key, "team", team, sizeof(team));
	get_label(s->key, "class", class, sizeof(class));
	json_object_set_new(row, "team", json_string(*team ? team : "-"));
	json_object_set_new(row, "class", json_string(*class ? class : "-"));
	if (s->buckets) {
		json_object_set_new(row, "count", json_real(count_observations(s)));
		json_object_set_new(row, "p50", make_quantile_json(s, 0.5));
		json_object_set_new(row, "p90", make_quantile_json(s, 0.9));
		json_object_set_new(row, "p99", make_quantile_json(s, 0.99));
		json_object_set_new(row, "p999", make_quantile_json(s, 0.999));
	} else {
		json_object_set_new(row, "value", json_real(s->value));
		json_object_set_new(row, "max", json_real(s->max));
	}
	json_object_set_new(row, "series", json_string(s->key));
	return row;
}

static int compare_series_keys(const struct series *a, const struct series *b)
{
	return strcmp(a->key, b->key);
}

/* Whether a series is the _sum or _count of a histogram. */
static bool is_histogram_part(struct series *all, const struct series *s)
{
	static const char *const ends[] = {"_sum{", "_count{"};
	char key[SERIES_KEY_SIZE];

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

static void print_series(const struct ctl *ctl, struct series **all)
{
	json_t *counters = json_array();
	json_t *hists = json_array();
	json_t *both;

	HASH_SORT(*all, compare_series_keys);
	for (struct series *s = *all; s; s = s->hh.next) {
		if (is_histogram_part(*all, s))
			continue;
		json_array_append_new(s->buckets ? hists : counters, make_series_row(s));
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

static void free_series(struct series **all)
{
	struct series *s = *all;

	/* Frees the hash table only; the elements stay linked through hh.next. */
	HASH_CLEAR(hh, *all);
	while (s) {
		struct series *next = s->hh.next;

		free(s->buckets);
		free(s);
		s = next;
	}
}

/* stats: prints the metrics summed over all addresses that respond. */
int ctl_stats(struct ctl *ctl, int argc, char **argv)
{
	struct http_request req = {.method = "GET", .path = "/metrics"};
	struct series *all = NULL;
	int status = CTL_UNREACHABLE;

	if (argc)
		return ctl_usage_error("too many arguments");
	if (ctl->n_addresses == 0)
		return ctl_usage_error("an address is needed (-a)");
	for (size_t i = 0; i < ctl->n_addresses; i++) {
		struct http_reply reply;
		bool maybe;

		if (http_send_once(ctl, ctl->addresses[i], &req, &reply, &maybe))
			continue;
		if (reply.status == 200 && reply.body.n) {
			parse_metrics(&all, reply.body.p);
			status = CTL_OK;
		} else if (status != CTL_OK) {
			warnx("%s: expected status 200 with metrics, got status %ld",
			      ctl->addresses[i], reply.status);
			status = CTL_REFUSED;
		}
		http_reply_free(&reply);
	}
	if (status == CTL_OK)
		print_series(ctl, &all);
	free_series(&all);
	return status;
}
