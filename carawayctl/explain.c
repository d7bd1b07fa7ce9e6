/* Merges the lines about one id from the log files of several processes. */
#include <err.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carawayctl/ctl.h"
#include "carawayctl/table.h"

#define MAX_EVENTS 100000U /* lines kept; further lines are only counted */
#define MAX_WORKERS 256U

/* A log line. All fields point into text. */
struct explain_line {
	char *text;
	size_t order; /* position in the input, orders lines of equal time */
	struct str time;
	struct str process;
	struct str event;
	struct str worker;
	struct str details; /* text after the event name */
	bool names_id;	    /* line contains the id */
};

struct explain {
	const char *id;
	struct explain_line *lines;
	size_t n, cap;
	size_t dropped;
	struct str workers[MAX_WORKERS]; /* workers in lines that contain the id */
	size_t n_workers;
};

static bool is_id_char(char c)
{
	return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
	       (c >= 'A' && c <= 'Z') || c == '-' || c == '_';
}

/* Whether a line contains the id as a whole word. */
static bool line_names_id(const char *line, const char *id)
{
	size_t n = strlen(id);

	for (const char *p = line; (p = strstr(p, id)); p += n)
		if ((p == line || !is_id_char(p[-1])) && !is_id_char(p[n]))
			return true;
	return false;
}

/* Returns the value of an unquoted name=value field, empty if the line has none. */
static struct str get_field(const char *line, const char *name)
{
	size_t n = strlen(name);

	for (const char *p = line; (p = strstr(p, name)); p += n)
		if ((p == line || p[-1] == ' ') && p[n] == '=')
			return (struct str){p + n + 1, strcspn(p + n + 1, " \r\n")};
	return (struct str){NULL, 0};
}

/* Whether an event may affect jobs or requests that it does not name. */
static bool is_context_event(struct str event)
{
	static const char *const names[] = {
		"worker-lost",	   "worker-back",   "worker-avoided",
		"worker-leave",	   "worker-report", "leading-ended",
		"leading-started", "handed-over",   "gateway-avoided",
		"conf-put",	   "zone",
	};

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (str_eq(event, str_from(names[i])))
			return true;
	return false;
}

static int reserve_line(struct explain *x)
{
	size_t cap = x->cap ? 2 * x->cap : 256;
	struct explain_line *list;

	if (x->n < x->cap)
		return 0;
	list = realloc(x->lines, cap * sizeof(*list));
	if (!list)
		return -1;
	x->lines = list;
	x->cap = cap;
	return 0;
}

static void add_worker(struct explain *x, struct str worker)
{
	for (size_t i = 0; i < x->n_workers; i++)
		if (str_eq(x->workers[i], worker))
			return;
	if (worker.n && x->n_workers < MAX_WORKERS)
		x->workers[x->n_workers++] = worker;
}

/*
 * Stores a copy of a line that contains the id or is a context event. Skips lines
 * without a time. Returns -1 without memory.
 */
static int add_line(struct explain *x, const char *text)
{
	struct explain_line l = {.names_id = line_names_id(text, x->id)};

	if ((!l.names_id && !is_context_event(get_field(text, "event"))) ||
	    !get_field(text, "time").n)
		return 0;
	if (x->n == MAX_EVENTS) {
		x->dropped++;
		return 0;
	}
	l.text = str_dup(str_from(text));
	if (!l.text || reserve_line(x)) {
		free(l.text);
		return -1;
	}
	l.text[strcspn(l.text, "\r\n")] = '\0';
	l.order = x->n;
	l.time = get_field(l.text, "time");
	l.process = get_field(l.text, "process");
	l.event = get_field(l.text, "event");
	l.worker = get_field(l.text, "worker");
	if (l.event.p)
		l.details =
			str_from(l.event.p + l.event.n + (l.event.p[l.event.n] == ' '));
	if (l.names_id)
		add_worker(x, l.worker);
	x->lines[x->n++] = l;
	return 0;
}

static int read_log_file(struct explain *x, const char *name)
{
	FILE *f = strcmp(name, "-") == 0 ? stdin : fopen(name, "r");
	char *text = NULL;
	size_t cap = 0;
	int status = CTL_OK;

	if (!f) {
		warn("%s", name);
		return CTL_USAGE;
	}
	while (status == CTL_OK && getline(&text, &cap, f) >= 0)
		if (add_line(x, text))
			status = CTL_REFUSED;
	if (status == CTL_OK && ferror(f)) {
		warn("%s", name);
		status = CTL_REFUSED;
	}
	free(text);
	if (f != stdin)
		fclose(f);
	return status;
}

/* Times are UTC in one fixed format, so that the order of texts is that of times. */
static int compare_time_texts(struct str a, struct str b)
{
	size_t n = a.n < b.n ? a.n : b.n;
	int order = memcmp(a.p, b.p, n);

	return order ? order : (a.n > b.n) - (a.n < b.n);
}

static int compare_lines(const void *a, const void *b)
{
	const struct explain_line *x = a;
	const struct explain_line *y = b;
	int order = compare_time_texts(x->time, y->time);

	return order ? order : (x->order > y->order) - (x->order < y->order);
}

/* Whether a line has the id, no worker, or a worker of a line with the id. */
static bool is_relevant_line(const struct explain *x, const struct explain_line *l)
{
	if (l->names_id || !l->worker.n)
		return true;
	for (size_t i = 0; i < x->n_workers; i++)
		if (str_eq(x->workers[i], l->worker))
			return true;
	return false;
}

static json_t *make_row(const struct explain_line *l)
{
	return json_pack("{s:s%,s:s%,s:s%,s:s%}", "time", l->time.p, l->time.n, "process",
			 l->process.p ? l->process.p : "", l->process.n, "event",
			 l->event.p ? l->event.p : "", l->event.n, "details",
			 l->details.p ? l->details.p : "", l->details.n);
}

static int print_history(struct explain *x, bool as_json)
{
	json_t *rows = json_array();
	json_t *reply = json_pack("{s:o}", "events", rows);
	size_t first = 0;
	size_t last = x->n;

	if (x->n)
		qsort(x->lines, x->n, sizeof(*x->lines), compare_lines);
	while (first < x->n && !x->lines[first].names_id)
		first++;
	while (last > first && !x->lines[last - 1].names_id)
		last--;
	for (size_t i = first; i < last; i++)
		if (is_relevant_line(x, &x->lines[i]))
			json_array_append_new(rows, make_row(&x->lines[i]));
	if (x->dropped)
		warnx("%zu more matching lines were left out", x->dropped);
	if (first < last)
		table_print_reply(reply, "events", as_json);
	else
		warnx("no log line with a time contains %s", x->id);
	json_decref(reply);
	return first < last ? CTL_OK : CTL_REFUSED;
}

/*
 * explain id file...: prints the log lines about a request, job, worker or gateway in
 * order of time, with the events of its workers and of the leaders between them.
 */
int ctl_explain(struct ctl *ctl, int argc, char **argv)
{
	struct explain x = {0};
	int status = CTL_OK;

	if (argc < 2)
		return ctl_usage_error("explain: expected an id and log files");
	if (!ctl_is_valid_name(argv[0]))
		return ctl_usage_error("explain: invalid id");
	x.id = argv[0];
	for (int i = 1; i < argc && status == CTL_OK; i++)
		status = read_log_file(&x, argv[i]);
	if (status == CTL_OK)
		status = print_history(&x, ctl->json);
	for (size_t i = 0; i < x.n; i++)
		free(x.lines[i].text);
	free(x.lines);
	return status;
}
