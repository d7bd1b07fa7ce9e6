/*
 * Executors for the review's scripts. They follow PROTOCOL.md: lists of runs and ends,
 * 500 ends at a time, leases on their own clock, fencing tokens, stops, gangs, guarded
 * room, status reports.
 *
 *   executor --listen IP:PORT [--count N] [--announce IP] --control IP:PORT...
 *            --service NAME --zone NAME [--id ID] [--label NAME] [--cpu MILLI] [--mem MB]
 *            [--report-ms MS] [--first-report-ms MS] --ledger FILE
 *
 * A task's spec says what it does: "ms=N cpu=N mem=N gang=N", N tasks of a gang being
 * started together; "lasts" in place of ms=N, with "tail=N" for the tail that it reports.
 * SIGUSR1: the first executor of the process refuses all starts as unhealthy; SIGUSR2: it
 * lets every task that it starts fail. SIGHUP ends both.
 *
 * Lines of the ledger: MILLISECONDS EVENT TASK RUN EXECUTOR DETAIL. Events: boot, mode,
 * start, refused, end, listed (an end is in an answer for the first time), seen (an end
 * is not above seen_upto), stop.
 */
#include <getopt.h>
#include <signal.h>

#include <ev.h>
#include <jansson.h>
#include <uthash.h>

#include "io/http_client.h"
#include "io/http_server.h"
#include "standins/common.h"

#define MAX_EXECUTORS 16
#define MAX_CONTROLS 64
#define MAX_RUNS 8192
#define MAX_ENDS 16384
#define MAX_LISTED_ENDS 500
#define TICK_S 0.01
#define HOLD_MAX_MS 10000
#define GANG_MS 3000
#define FAIL_AFTER_MS 100

struct run {
	bool used;
	char task[64];
	char step[64]; /* the task's name without its index, and the run */
	int64_t run;
	int64_t work_ms; /* -1: it lasts */
	int64_t cpu, mem, gang;
	int64_t tail_ms; /* of a task that serves; 0: it does not */
	int64_t started_us;
	int64_t works_since_us; /* 0: a gang that waits for the others */
	bool stopped;
	bool failing;
};

struct end {
	int64_t number;
	char task[64];
	int64_t run;
	const char *how;
	bool listed;
};

struct last_run {
	UT_hash_handle hh;
	char task[64];
	int64_t run;
};

struct executor {
	struct http_server_host host; /* first member */
	struct http_call report;
	struct http_server *server;
	char id[48];
	char announced[64];
	struct run *runs;
	struct end *ends;
	size_t n_ends;
	struct last_run *last_runs;
	int64_t next_end;
	int64_t fence;
	int64_t lease_ms;
	int64_t seq;
	struct http_request *waiting;
	int64_t wait_until_us;
	size_t control;
	size_t tries; /* of the newest report */
	bool sheds;
	bool fails;
};

static struct executor executors[MAX_EXECUTORS];
static int n_executors = 1;
static const char *controls[MAX_CONTROLS];
static size_t n_controls;
static const char *service = "svc";
static const char *zone = "z1";
static const char *label = "a";
static const char *announce;
static const char *fixed_id;
static int64_t cpu_milli = 32000;
static int64_t mem_mb = 125000;
static int64_t report_ms = 1500;
static int64_t first_report_ms;
static int ledger_fd = -1;
static struct http_client *client;
static int64_t born_us; /* on the steady clock */
static int64_t born_ms; /* since 1970 */

static void record(const struct executor *e, const char *event, const char *task,
		   int64_t run, const char *detail)
{
	ledger_line(ledger_fd, "%lld %s %s %lld %s %s\n",
		    (long long)(wall_us() / US_PER_MS), event, task, (long long)run,
		    e->id, detail);
}

static int64_t clock_ms(void)
{
	return 1 + (mono_us() - born_us) / US_PER_MS;
}

static void reply(struct http_request *req, unsigned int status, json_t *body)
{
	struct http_header h = {"Content-Type", STR("application/json")};
	char *text = json_dumps(body, JSON_COMPACT);

	http_request_reply(req, status, &h, 1, str_from(text));
	free(text);
	json_decref(body);
}

static void reply_clock(struct http_request *req)
{
	reply(req, 200, json_pack("{sI}", "clock_ms", (json_int_t)clock_ms()));
}

static void refuse(struct http_request *req, const char *reason)
{
	reply(req, 409,
	      json_pack("{sIss}", "clock_ms", (json_int_t)clock_ms(), "reason", reason));
}

static struct run *find_run(struct executor *e, const char *task, int64_t run)
{
	for (int i = 0; i < MAX_RUNS; i++)
		if (e->runs[i].used && e->runs[i].run == run &&
		    strcmp(e->runs[i].task, task) == 0)
			return &e->runs[i];
	return NULL;
}

static int64_t last_run(const struct executor *e, const char *task)
{
	const struct last_run *last;

	HASH_FIND_STR(e->last_runs, task, last);
	return last ? last->run : 0;
}

static void note_last_run(struct executor *e, const char *task, int64_t run)
{
	struct last_run *last;

	HASH_FIND_STR(e->last_runs, task, last);
	if (!last) {
		last = calloc(1, sizeof(*last));
		if (!last)
			err(1, "calloc");
		snprintf(last->task, sizeof(last->task), "%s", task);
		HASH_ADD_STR(e->last_runs, task, last);
	}
	if (run > last->run)
		last->run = run;
}

static void end_run(struct executor *e, struct run *r, const char *how)
{
	struct end *x;

	if (e->n_ends == MAX_ENDS)
		errx(1, "too many ends");
	x = &e->ends[e->n_ends++];
	*x = (struct end){.number = e->next_end++, .run = r->run, .how = how};
	memcpy(x->task, r->task, sizeof(x->task));
	r->used = false;
	note_last_run(e, r->task, r->run);
	record(e, "end", r->task, r->run, how);
}

static json_t *lists(struct executor *e)
{
	json_t *running = json_array();
	json_t *ended = json_array();

	for (int i = 0; i < MAX_RUNS; i++) {
		const struct run *r = &e->runs[i];
		int64_t done_ms = r->works_since_us
					  ? (mono_us() - r->works_since_us) / US_PER_MS
					  : 0;
		int64_t percent = r->work_ms > 0 ? done_ms * 100 / r->work_ms : 100;

		if (r->used)
			json_array_append_new(
				running, json_pack("[sIsII]", r->task, (json_int_t)r->run,
						   "", (json_int_t)percent,
						   (json_int_t)(r->tail_ms ? r->tail_ms
									   : r->cpu)));
	}
	for (size_t i = 0; i < e->n_ends && i < MAX_LISTED_ENDS; i++) {
		struct end *x = &e->ends[i];

		if (!x->listed)
			record(e, "listed", x->task, x->run, x->how);
		x->listed = true;
		json_array_append_new(ended,
				      json_pack("[IsIss]", (json_int_t)x->number, x->task,
						(json_int_t)x->run, x->how, ""));
	}
	return json_pack("{sIsIsoso}", "clock_ms", (json_int_t)clock_ms(), "born",
			 (json_int_t)born_ms, "running", running, "ended", ended);
}

static void answer_hold(struct executor *e)
{
	struct http_request *req = e->waiting;

	if (!req)
		return;
	e->waiting = NULL;
	reply(req, 200, lists(e));
}

static void forget_ends(struct executor *e, int64_t seen)
{
	size_t n = 0;

	for (size_t i = 0; i < e->n_ends; i++) {
		struct end *x = &e->ends[i];

		if (x->number > seen)
			e->ends[n++] = *x;
		else
			record(e, "seen", x->task, x->run, x->how);
	}
	e->n_ends = n;
}

static int64_t number(const json_t *body, const char *name)
{
	return json_integer_value(json_object_get(body, name));
}

static void take_lease(struct executor *e, const json_t *body)
{
	int64_t until = number(body, "deadline_ms");

	if (until > clock_ms() + HOLD_MAX_MS)
		until = clock_ms() + HOLD_MAX_MS;
	if (until > e->lease_ms)
		e->lease_ms = until;
}

static int64_t spec_number(const char *spec, const char *name)
{
	const char *p = strstr(spec, name);

	return p ? strtoll(p + strlen(name), NULL, 10) : 0;
}

static bool has_room(const struct executor *e, const struct run *r)
{
	int64_t cpu = r->cpu;
	int64_t mem = r->mem;

	for (int i = 0; i < MAX_RUNS; i++) {
		cpu += e->runs[i].used ? e->runs[i].cpu : 0;
		mem += e->runs[i].used ? e->runs[i].mem : 0;
	}
	return cpu <= cpu_milli && mem <= mem_mb;
}

/* The step of the run: members of a gang have it in common. */
static void name_step(struct run *r)
{
	char name[64];
	char *dot;

	snprintf(name, sizeof(name), "%s", r->task);
	dot = strrchr(name, '.');
	if (dot)
		*dot = '\0';
	snprintf(r->step, sizeof(r->step), "%s", name);
}

static void refuse_start(struct executor *e, struct http_request *req, const char *task,
			 int64_t run, const char *reason)
{
	record(e, "refused", task, run, reason);
	if (strcmp(reason, "unhealthy") == 0)
		reply(req, 503, json_object());
	else
		refuse(req, reason);
}

static void on_start(struct executor *e, struct http_request *req, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	const char *spec = json_string_value(json_object_get(body, "spec"));
	int64_t run = number(body, "run");
	struct run r = {.used = true, .run = run, .started_us = mono_us()};
	struct run *at = NULL;

	if (!task || strlen(task) >= sizeof(r.task) || !spec || run < 1) {
		reply(req, 400, json_object());
		return;
	}
	if (e->sheds) {
		refuse_start(e, req, task, run, "unhealthy");
		return;
	}
	take_lease(e, body);
	if (run <= last_run(e, task)) {
		refuse_start(e, req, task, run, "old");
		return;
	}
	if (e->lease_ms <= clock_ms()) {
		refuse_start(e, req, task, run, "late");
		return;
	}
	if (find_run(e, task, run)) {
		reply_clock(req);
		return;
	}
	snprintf(r.task, sizeof(r.task), "%s", task);
	name_step(&r);
	r.work_ms = strstr(spec, "lasts") ? -1 : spec_number(spec, "ms=");
	r.cpu = spec_number(spec, "cpu=");
	r.mem = spec_number(spec, "mem=");
	r.gang = spec_number(spec, "gang=");
	r.tail_ms = spec_number(spec, "tail=");
	r.works_since_us = r.gang ? 0 : mono_us();
	r.failing = e->fails;
	for (int i = 0; !at && i < MAX_RUNS; i++)
		if (!e->runs[i].used)
			at = &e->runs[i];
	if (!at || !has_room(e, &r)) {
		refuse_start(e, req, task, run, "room");
		return;
	}
	*at = r;
	record(e, "start", task, run, e->fails ? "fails" : label);
	reply_clock(req);
}

static void on_stop(struct executor *e, struct http_request *req, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	int64_t run = number(body, "run");
	struct run *r = task ? find_run(e, task, run) : NULL;

	if (!task || strlen(task) >= sizeof(r->task)) {
		reply(req, 400, json_object());
		return;
	}
	record(e, "stop", task, run, r ? "running" : "absent");
	if (r)
		r->stopped = true;
	else
		note_last_run(e, task, run);
	reply_clock(req);
}

static void on_hold(struct executor *e, struct http_request *req, const json_t *body)
{
	int64_t wait_ms = number(body, "wait_ms");

	answer_hold(e);
	take_lease(e, body);
	forget_ends(e, number(body, "seen_upto"));
	e->waiting = req;
	e->wait_until_us = mono_us() + wait_ms * US_PER_MS;
	if (e->n_ends || wait_ms == 0)
		answer_hold(e);
}

static bool same_gang_run(const struct run *a, const struct run *b)
{
	return a->used && a->gang && a->run == b->run && strcmp(a->step, b->step) == 0;
}

/* Of all executors of this process. */
static int64_t count_gang(const struct run *r)
{
	int64_t n = 0;

	for (int k = 0; k < n_executors; k++)
		for (int i = 0; i < MAX_RUNS; i++)
			n += same_gang_run(&executors[k].runs[i], r);
	return n;
}

/* The members of a gang run work from now on. */
static void begin_gang(const struct run *r, int64_t now_us)
{
	for (int k = 0; k < n_executors; k++)
		for (int i = 0; i < MAX_RUNS; i++)
			if (same_gang_run(&executors[k].runs[i], r))
				executors[k].runs[i].works_since_us = now_us;
}

/* What ends a run now; NULL: nothing. */
static const char *cause_of_end(const struct executor *e, const struct run *r,
				int64_t now_us)
{
	if (clock_ms() >= e->lease_ms)
		return "lapsed";
	if (r->stopped)
		return "stopped";
	if (!r->works_since_us)
		return now_us - r->started_us > GANG_MS * US_PER_MS ? "alone" : NULL;
	if (r->failing && now_us - r->works_since_us > FAIL_AFTER_MS * US_PER_MS)
		return "failed";
	if (r->work_ms >= 0 && now_us - r->works_since_us >= r->work_ms * US_PER_MS)
		return "done";
	return NULL;
}

/* Members of a gang whose run has lost one otherwise than by its work end as well. */
static void break_gang(const struct run *gone)
{
	for (int k = 0; k < n_executors; k++)
		for (int i = 0; i < MAX_RUNS; i++) {
			struct run *r = &executors[k].runs[i];

			if (same_gang_run(r, gone))
				end_run(&executors[k], r, "broken");
		}
}

/* Ends first all runs that end by themselves at this time, then breaks their gangs. */
static void tick(int64_t now_us)
{
	static struct run gone[MAX_RUNS];
	size_t n_gone = 0;

	for (int k = 0; k < n_executors; k++) {
		struct executor *e = &executors[k];

		for (int i = 0; i < MAX_RUNS; i++) {
			struct run *r = &e->runs[i];
			const char *how;

			if (!r->used)
				continue;
			if (r->gang && !r->works_since_us && count_gang(r) == r->gang)
				begin_gang(r, now_us);
			how = cause_of_end(e, r, now_us);
			if (!how)
				continue;
			if (r->gang && strcmp(how, "done") != 0 && r->works_since_us &&
			    n_gone < MAX_RUNS)
				gone[n_gone++] = *r;
			end_run(e, r, how);
		}
	}
	for (size_t i = 0; i < n_gone; i++) {
		gone[i].used = true;
		break_gang(&gone[i]);
	}
	for (int k = 0; k < n_executors; k++) {
		struct executor *e = &executors[k];

		if (e->waiting && (e->n_ends || now_us >= e->wait_until_us))
			answer_hold(e);
	}
}

static void on_request(struct http_server_host *host, struct http_request *req)
{
	struct executor *e = (struct executor *)host;
	json_t *body = json_loadb(req->body.p ? req->body.p : "", req->body.n, 0, NULL);
	int64_t fence = number(body, "fencing_token");
	struct str expected = http_request_header(req, "X-Carawayfront-Expect-Instance");

	tick(mono_us());
	if (expected.n && !str_eq(expected, str_from(e->id))) {
		reply(req, 421, json_object());
	} else if (fence < e->fence) {
		refuse(req, "fence");
	} else {
		e->fence = fence;
		if (strcmp(req->path, "/api/run-start") == 0)
			on_start(e, req, body);
		else if (strcmp(req->path, "/api/run-stop") == 0)
			on_stop(e, req, body);
		else if (strcmp(req->path, "/api/hold") == 0)
			on_hold(e, req, body);
		else if (strcmp(req->path, "/api/pace") == 0)
			reply_clock(req);
		else
			reply(req, 404, json_object());
	}
	json_decref(body);
}

static const struct http_server_ops server_ops = {.request = on_request};

static void report(struct executor *e);

/* A report that is not acknowledged goes to the next controller. */
static void on_reported(struct http_call *call, const struct http_result *result)
{
	struct executor *e =
		(struct executor *)(void *)((char *)call -
					    offsetof(struct executor, report));

	if (!result->err && result->status / 100 == 2)
		return;
	e->control++;
	if (++e->tries < n_controls)
		report(e);
}

static const struct http_call_ops report_ops = {.done = on_reported};

static void report(struct executor *e)
{
	struct http_header h = {"Content-Type", STR("application/json")};
	json_t *body = json_pack("{sssssssssisssIsIsIsIs{sIsIsi}s[ss]}", "service",
				 service, "address", e->announced, "zone", zone,
				 "version", "v1", "slots", 8, "state", "ready", "cold_ms",
				 (json_int_t)0, "clock_ms", (json_int_t)clock_ms(),
				 "born", (json_int_t)born_ms, "seq", (json_int_t)++e->seq,
				 "room", "cpu", (json_int_t)cpu_milli, "mem_mb",
				 (json_int_t)mem_mb, "gpu", 0, "labels", label, "r1-1");
	char *text = json_dumps(body, JSON_COMPACT);
	char url[256];
	struct http_call_options opt = {
		.method = "POST",
		.headers = &h,
		.n_headers = 1,
		.body = str_from(text),
		.idempotent = true,
		.timeout = 1,
		.max_body = 4096,
	};

	snprintf(url, sizeof(url), "http://%s/api/instances/%s/heartbeat",
		 controls[e->control % n_controls], e->id);
	opt.url = str_from(url);
	if (!e->report.exchange && http_client_start(client, &opt, &e->report))
		e->control++;
	free(text);
	json_decref(body);
}

static void on_report_timer(struct ev_loop *loop, struct ev_timer *t, int events)
{
	for (int i = 0; i < n_executors; i++) {
		executors[i].tries = 0;
		report(&executors[i]);
	}
}

static void on_tick(struct ev_loop *loop, struct ev_timer *t, int events)
{
	tick(mono_us());
}

static void on_end(struct ev_loop *loop, struct ev_signal *w, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

static void on_mode(struct ev_loop *loop, struct ev_signal *w, int events)
{
	struct executor *e = &executors[0];

	e->sheds = w->signum == SIGUSR1;
	e->fails = w->signum == SIGUSR2;
	record(e, "mode", "-", 0, e->sheds ? "sheds" : e->fails ? "fails" : "sound");
}

static void open_executor(struct ev_loop *loop, struct executor *e, const char *host,
			  int port, int n)
{
	struct http_server_options opt = {
		.loop = loop,
		.host = &e->host,
		.max_body = 1U << 20,
		.max_connections = 64,
		.idle_timeout = 60,
	};
	char address[64];

	if (fixed_id)
		snprintf(e->id, sizeof(e->id), "%s", fixed_id);
	else
		snprintf(e->id, sizeof(e->id), "i-%s-%d-%llx", strrchr(host, '.') + 1, n,
			 (unsigned long long)born_ms);
	snprintf(address, sizeof(address), "%s:%d", host, port + n);
	snprintf(e->announced, sizeof(e->announced), "%s:%d", announce ? announce : host,
		 port + n);
	e->runs = calloc(MAX_RUNS, sizeof(*e->runs));
	e->ends = calloc(MAX_ENDS, sizeof(*e->ends));
	e->host.ops = &server_ops;
	e->report.ops = &report_ops;
	e->next_end = 1;
	e->control = (size_t)n;
	if (!e->runs || !e->ends || addr_parse(str_from(address), &opt.address) ||
	    http_server_new(&opt, &e->server))
		errx(1, "%s: cannot listen", address);
	record(e, "boot", "-", 0, label);
}

static int64_t int_arg(const char *text, const char *option)
{
	return (int64_t)number_arg(text, 0, 1e9, option);
}

int main(int argc, char *argv[])
{
	static const struct option options[] = {
		{"listen", required_argument, NULL, 'l'},
		{"count", required_argument, NULL, 'n'},
		{"announce", required_argument, NULL, 'a'},
		{"control", required_argument, NULL, 'c'},
		{"service", required_argument, NULL, 's'},
		{"zone", required_argument, NULL, 'z'},
		{"id", required_argument, NULL, 'i'},
		{"label", required_argument, NULL, 'b'},
		{"cpu", required_argument, NULL, 'p'},
		{"mem", required_argument, NULL, 'm'},
		{"report-ms", required_argument, NULL, 'r'},
		{"first-report-ms", required_argument, NULL, 'f'},
		{"ledger", required_argument, NULL, 'g'},
		{0},
	};
	struct http_client_options http = {
		.max_connections_per_host = 32, .max_idle = 64, .connect_timeout = 1};
	struct ev_loop *loop = ev_default_loop(0);
	static const int mode_signals[] = {SIGUSR1, SIGUSR2, SIGHUP};
	struct ev_signal modes[3], term;
	struct ev_timer report_timer, tick_timer;
	char host[32] = "127.0.0.1";
	int port = 0;
	int c;

	while ((c = getopt_long(argc, argv, "", options, NULL)) != -1) {
		switch (c) {
		case 'l':
			if (sscanf(optarg, "%31[^:]:%d", host, &port) != 2)
				errx(2, "--listen: %s is not IP:PORT", optarg);
			break;
		case 'n':
			n_executors = (int)number_arg(optarg, 1, MAX_EXECUTORS, "count");
			break;
		case 'a':
			announce = optarg;
			break;
		case 'c':
			if (n_controls < MAX_CONTROLS)
				controls[n_controls++] = optarg;
			break;
		case 's':
			service = optarg;
			break;
		case 'z':
			zone = optarg;
			break;
		case 'i':
			fixed_id = optarg;
			break;
		case 'b':
			label = optarg;
			break;
		case 'p':
			cpu_milli = int_arg(optarg, "cpu");
			break;
		case 'm':
			mem_mb = int_arg(optarg, "mem");
			break;
		case 'r':
			report_ms = int_arg(optarg, "report-ms");
			break;
		case 'f':
			first_report_ms = int_arg(optarg, "first-report-ms");
			break;
		case 'g':
			ledger_fd = ledger_open(optarg);
			break;
		default:
			return 2;
		}
	}
	if (!port || !n_controls)
		errx(2, "--listen and --control are needed");
	signal(SIGPIPE, SIG_IGN);
	born_us = mono_us();
	born_ms = wall_us() / US_PER_MS;
	http.loop = loop;
	if (http_client_new(&http, &client))
		errx(1, "no HTTP client");
	for (int i = 0; i < n_executors; i++)
		open_executor(loop, &executors[i], host, port, i);
	ev_timer_init(&report_timer, on_report_timer, (double)first_report_ms / 1000,
		      (double)report_ms / 1000);
	ev_timer_init(&tick_timer, on_tick, TICK_S, TICK_S);
	ev_signal_init(&term, on_end, SIGTERM);
	ev_signal_start(loop, &term);
	for (int i = 0; i < 3; i++) {
		ev_signal_init(&modes[i], on_mode, mode_signals[i]);
		ev_signal_start(loop, &modes[i]);
	}
	ev_timer_start(loop, &report_timer);
	ev_timer_start(loop, &tick_timer);
	ev_run(loop, 0);
	return 0;
}
