/*
 * One executor of the platform in one process: takes start, stop, pace and hold calls,
 * runs tasks under a lease, and reports to the controllers. Written from PROTOCOL.md. A
 * crash is a SIGKILL of the process (SIGUSR2: by itself, when the next list is asked
 * for); the next process with the same --id is another life.
 *
 *   exec --listen IP:PORT --id ID --control IP:PORT... --service NAME --zone NAME
 *        --ledger FILE [--label TEXT]... [--cpu N] [--mem N] [--report-ms MS]
 *        [--hold-max-ms MS] [--stop-ms MS] [--guard]
 *
 * The text of a submission says what its tasks do: "work=MS" ends as done after MS,
 * "fail=MS" ends as failed after MS, "lasts" goes on until it is stopped.
 *
 * Lines of the ledger, all with milliseconds since 1970 first:
 *   MS start TASK RUN ID CHECKPOINT|-   the task has begun
 *   MS end TASK RUN ID HOW              it has ended
 *   MS seen TASK RUN ID HOW             the end was taken note of
 *   MS refused PATH ID REASON TOKEN HIGHEST
 *   MS acked ID STATE                   a report was answered with 2xx
 */
#include <getopt.h>
#include <signal.h>

#include <ev.h>
#include <jansson.h>
#include <uthash.h>

#include "io/http_client.h"
#include "io/http_server.h"
#include "standins/common.h"

#define MAX_RUNS 256
#define MAX_ENDS 4096
#define MAX_LISTED_ENDS 500
#define MAX_CONTROLS 8
#define MAX_LABELS 8
#define TICK_S 0.01

struct run {
	char task[64];
	int64_t run;
	int64_t begun_us;
	int64_t work_us; /* 0: lasts */
	bool fails;
	bool used;
	int64_t stop_us; /* 0: not asked to stop */
};

struct end {
	int64_t number;
	char task[64];
	int64_t run;
	const char *how;
};

/* The highest run of a task that has ended or was stopped here; it starts no more. */
struct last_run {
	UT_hash_handle hh;
	char task[64];
	int64_t run;
};

static struct run runs[MAX_RUNS];
static struct end ends[MAX_ENDS];
static size_t n_ends;
static struct last_run *last_runs;
static int64_t next_end = 1;
static int64_t fence;
static int64_t lease_ms; /* on clock_ms() */
static struct http_request *waiting;
static int64_t wait_until_us;

static struct http_server_host host;
static struct http_server *server;
static struct http_client *client;
static struct http_call report_call;
static const char *id;
static char address[64];
static const char *controls[MAX_CONTROLS];
static size_t n_controls;
static size_t control;
static char home[128]; /* heartbeat_url, empty: none */
static const char *service = "svc";
static const char *zone = "z1";
static const char *labels[MAX_LABELS];
static size_t n_labels;
static int cpu = 16000;
static int mem = 32000;
static double report_s = 1.1;
static int64_t hold_max_ms = 10000;
static int64_t stop_ms = 200;
static bool guard;
static int ledger_fd = -1;
static int64_t mono_born_us;
static int64_t born_ms;
static int64_t seq;
static const char *state = "ready";

static int64_t now_ms(void)
{
	return wall_us() / US_PER_MS;
}

static int64_t clock_ms(void)
{
	return 1 + (mono_us() - mono_born_us) / US_PER_MS;
}

static void reply(struct http_request *req, unsigned int status, json_t *body)
{
	struct http_header h = {"Content-Type", STR("application/json")};
	char *text;

	json_object_set_new(body, "clock_ms", json_integer(clock_ms()));
	json_object_set_new(body, "born", json_integer(born_ms));
	text = json_dumps(body, JSON_COMPACT);
	http_request_reply(req, status, &h, 1, str_from(text));
	free(text);
	json_decref(body);
}

static void refuse(struct http_request *req, const char *reason, int64_t token)
{
	ledger_line(ledger_fd, "%lld refused %s %s %s %lld %lld\n", (long long)now_ms(),
		    req->path, id, reason, (long long)token, (long long)fence);
	reply(req, 409, json_pack("{ss}", "reason", reason));
}

static struct run *find_run(const char *task, int64_t run)
{
	for (int i = 0; i < MAX_RUNS; i++)
		if (runs[i].used && runs[i].run == run && strcmp(runs[i].task, task) == 0)
			return &runs[i];
	return NULL;
}

static void note_last_run(const char *task, int64_t run)
{
	struct last_run *last;

	HASH_FIND_STR(last_runs, task, last);
	if (!last) {
		last = calloc(1, sizeof(*last));
		if (!last)
			err(1, "calloc");
		snprintf(last->task, sizeof(last->task), "%s", task);
		HASH_ADD_STR(last_runs, task, last);
	}
	if (run > last->run)
		last->run = run;
}

static bool is_old(const char *task, int64_t run)
{
	struct last_run *last;

	HASH_FIND_STR(last_runs, task, last);
	return last && run <= last->run;
}

static void end_run(struct run *r, const char *how)
{
	struct end *e;

	if (n_ends == MAX_ENDS)
		errx(1, "too many ends wait to be seen");
	e = &ends[n_ends++];
	e->number = next_end++;
	memcpy(e->task, r->task, sizeof(e->task));
	e->run = r->run;
	e->how = how;
	r->used = false;
	note_last_run(r->task, r->run);
	ledger_line(ledger_fd, "%lld end %s %lld %s %s\n", (long long)now_ms(), r->task,
		    (long long)r->run, id, how);
}

static int percent_of(const struct run *r)
{
	int64_t done_us = mono_us() - r->begun_us;

	if (!r->work_us)
		return 100;
	return (int)(done_us >= r->work_us ? 100 : done_us * 100 / r->work_us);
}

static json_t *lists(void)
{
	json_t *running = json_array();
	json_t *ended = json_array();

	for (int i = 0; i < MAX_RUNS; i++)
		if (runs[i].used)
			json_array_append_new(running,
					      json_pack("[sIsii]", runs[i].task,
							(json_int_t)runs[i].run, "",
							percent_of(&runs[i]), 0));
	for (size_t i = 0; i < n_ends && i < MAX_LISTED_ENDS; i++)
		json_array_append_new(ended,
				      json_pack("[IsIss]", (json_int_t)ends[i].number,
						ends[i].task, (json_int_t)ends[i].run,
						ends[i].how, ""));
	return json_pack("{soso}", "running", running, "ended", ended);
}

static void answer_hold(void)
{
	struct http_request *req = waiting;

	waiting = NULL;
	if (req)
		reply(req, 200, lists());
}

static void forget_ends(int64_t seen)
{
	size_t n = 0;

	for (size_t i = 0; i < n_ends; i++)
		if (ends[i].number > seen)
			ends[n++] = ends[i];
		else
			ledger_line(ledger_fd, "%lld seen %s %lld %s %s\n",
				    (long long)now_ms(), ends[i].task,
				    (long long)ends[i].run, id, ends[i].how);
	n_ends = n;
}

static int64_t number(const json_t *body, const char *name)
{
	return json_integer_value(json_object_get(body, name));
}

static void extend_lease(const json_t *body)
{
	int64_t to = number(body, "deadline_ms");

	if (to > clock_ms() + hold_max_ms)
		to = clock_ms() + hold_max_ms;
	if (to > lease_ms)
		lease_ms = to;
}

static void set_work(struct run *r, const char *spec)
{
	const char *work = strstr(spec, "work=");
	const char *fail = strstr(spec, "fail=");

	if (fail) {
		r->fails = true;
		r->work_us = atoll(fail + 5) * US_PER_MS;
	} else if (work) {
		r->work_us = atoll(work + 5) * US_PER_MS;
	}
}

static void on_start(struct http_request *req, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	const char *spec = json_string_value(json_object_get(body, "spec"));
	const char *checkpoint = json_string_value(json_object_get(body, "checkpointed"));
	int64_t run = number(body, "run");
	int64_t token = number(body, "fencing_token");
	struct run *r = NULL;

	if (!task || strlen(task) >= sizeof(r->task) || !spec || run < 1) {
		reply(req, 400, json_object());
		return;
	}
	extend_lease(body);
	if (find_run(task, run)) {
		reply(req, 200, json_object());
		return;
	}
	if (is_old(task, run)) {
		refuse(req, "old", token);
		return;
	}
	if (lease_ms <= clock_ms()) {
		refuse(req, "late", token);
		return;
	}
	for (int i = 0; i < MAX_RUNS && !r; i++)
		if (!runs[i].used)
			r = &runs[i];
	if (!r) {
		refuse(req, "room", token);
		return;
	}
	*r = (struct run){.run = run, .used = true, .begun_us = mono_us()};
	snprintf(r->task, sizeof(r->task), "%s", task);
	set_work(r, spec);
	ledger_line(ledger_fd, "%lld start %s %lld %s %s\n", (long long)now_ms(), task,
		    (long long)run, id, checkpoint && *checkpoint ? checkpoint : "-");
	reply(req, 200, json_object());
}

static void on_stop(struct http_request *req, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	struct run *r = task ? find_run(task, number(body, "run")) : NULL;

	if (r && !r->stop_us)
		r->stop_us = mono_us() + stop_ms * US_PER_MS / 2;
	else if (!r && task && strlen(task) < sizeof(r->task))
		note_last_run(task, number(body, "run"));
	reply(req, 200, json_object());
}

static bool crashes_on_hold; /* set by SIGUSR2 */

static void on_hold(struct http_request *req, const json_t *body)
{
	answer_hold();
	extend_lease(body);
	if (crashes_on_hold)
		raise(SIGKILL);
	forget_ends(number(body, "seen_upto"));
	waiting = req;
	wait_until_us = mono_us() + number(body, "wait_ms") * US_PER_MS;
	if (n_ends || number(body, "wait_ms") == 0)
		answer_hold();
}

static void tick(void)
{
	int64_t now = mono_us();
	bool lapsed = clock_ms() >= lease_ms;

	for (int i = 0; i < MAX_RUNS; i++) {
		struct run *r = &runs[i];

		if (!r->used)
			continue;
		if (lapsed)
			end_run(r, "lapsed");
		else if (r->stop_us && now >= r->stop_us)
			end_run(r, "stopped");
		else if (r->work_us && now - r->begun_us >= r->work_us)
			end_run(r, r->fails ? "failed" : "done");
	}
	if (waiting && (n_ends || now >= wait_until_us))
		answer_hold();
}

static void on_request(struct http_server_host *h, struct http_request *req)
{
	json_t *body = json_loadb(req->body.p ? req->body.p : "", req->body.n, 0, NULL);
	int64_t token = number(body, "fencing_token");
	struct str expected = http_request_header(req, "X-Carawayfront-Expect-Instance");

	tick();
	if (expected.n && !str_eq(expected, str_from(id))) {
		reply(req, 421, json_object());
	} else if (token < fence) {
		refuse(req, "fence", token);
	} else {
		fence = token;
		if (strcmp(req->path, "/api/run-start") == 0)
			on_start(req, body);
		else if (strcmp(req->path, "/api/run-stop") == 0)
			on_stop(req, body);
		else if (strcmp(req->path, "/api/hold") == 0)
			on_hold(req, body);
		else if (strcmp(req->path, "/api/pace") == 0)
			reply(req, 200, json_object());
		else
			reply(req, 404, json_object());
	}
	json_decref(body);
}

static const struct http_server_ops server_ops = {.request = on_request};

static void take_home(const struct http_result *result)
{
	json_t *body =
		json_loadb(result->body.p ? result->body.p : "", result->body.n, 0, NULL);
	const char *url = json_string_value(json_object_get(body, "heartbeat_url"));

	if (url && *url)
		snprintf(home, sizeof(home), "%s", url);
	json_decref(body);
}

static const char *acked; /* the state of the last acknowledged report */

/* Without an answer the next report goes to the next controller. */
static void on_reported(struct http_call *call, const struct http_result *result)
{
	if (result->err || result->status / 100 != 2) {
		home[0] = '\0';
		control++;
		return;
	}
	if (acked != state)
		ledger_line(ledger_fd, "%lld acked %s %s\n", (long long)now_ms(), id,
			    state);
	acked = state;
	take_home(result);
}

static const struct http_call_ops report_ops = {.done = on_reported};

static void report(void)
{
	struct http_header h = {"Content-Type", STR("application/json")};
	json_t *list = json_array();
	json_t *body;
	char url[256];
	char *text;
	struct http_call_options opt = {
		.method = "POST",
		.headers = &h,
		.n_headers = 1,
		.idempotent = true,
		.timeout = 1,
		.max_body = 4096,
	};

	if (report_call.exchange)
		return;
	for (size_t i = 0; i < n_labels; i++)
		json_array_append_new(list, json_string(labels[i]));
	body = json_pack("{sssssssssisssisIsIsIs{sisisi}so}", "service", service,
			 "address", address, "zone", zone, "version", "v1", "slots", 8,
			 "state", state, "cold_ms", 0, "clock_ms", (json_int_t)clock_ms(),
			 "born", (json_int_t)born_ms, "seq", (json_int_t)++seq, "room",
			 "cpu", cpu, "mem_mb", mem, "gpu", 0, "labels", list);
	text = json_dumps(body, JSON_COMPACT);
	opt.body = str_from(text);
	snprintf(url, sizeof(url), "http://%s/api/instances/%s/heartbeat",
		 home[0] ? home : controls[control % n_controls], id);
	opt.url = str_from(url);
	if (http_client_start(client, &opt, &report_call))
		control++;
	free(text);
	json_decref(body);
}

static void on_report_timer(struct ev_loop *loop, struct ev_timer *t, int events)
{
	report();
}

static void on_tick(struct ev_loop *loop, struct ev_timer *t, int events)
{
	tick();
}

static void on_end(struct ev_loop *loop, struct ev_signal *w, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

/* It crashes once the next list of runs has been asked for. */
static void on_crash_order(struct ev_loop *loop, struct ev_signal *w, int events)
{
	crashes_on_hold = true;
}

/* From here on its reports say that it drains. */
static void on_drain(struct ev_loop *loop, struct ev_signal *w, int events)
{
	state = "draining";
	report();
}

static int int_arg(const char *text, const char *option)
{
	return (int)number_arg(text, 0, 1e9, option);
}

int main(int argc, char *argv[])
{
	static const struct option options[] = {
		{"listen", required_argument, NULL, 'l'},
		{"id", required_argument, NULL, 'i'},
		{"control", required_argument, NULL, 'c'},
		{"service", required_argument, NULL, 's'},
		{"zone", required_argument, NULL, 'z'},
		{"ledger", required_argument, NULL, 'g'},
		{"label", required_argument, NULL, 'b'},
		{"cpu", required_argument, NULL, 'p'},
		{"mem", required_argument, NULL, 'm'},
		{"report-ms", required_argument, NULL, 'r'},
		{"hold-max-ms", required_argument, NULL, 'h'},
		{"stop-ms", required_argument, NULL, 't'},
		{"guard", no_argument, NULL, 'u'},
		{0},
	};
	struct http_client_options http = {
		.max_connections_per_host = 32, .max_idle = 64, .connect_timeout = 1};
	struct http_server_options listen = {
		.host = &host,
		.max_body = 1U << 20,
		.max_connections = 64,
		.idle_timeout = 60,
	};
	struct ev_loop *loop = ev_default_loop(0);
	struct ev_timer report_timer, tick_timer;
	struct ev_signal term, drain, crash_order;
	int c;

	while ((c = getopt_long(argc, argv, "", options, NULL)) != -1) {
		switch (c) {
		case 'l':
			snprintf(address, sizeof(address), "%s", optarg);
			break;
		case 'i':
			id = optarg;
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
		case 'g':
			ledger_fd = ledger_open(optarg);
			break;
		case 'b':
			if (n_labels < MAX_LABELS)
				labels[n_labels++] = optarg;
			break;
		case 'p':
			cpu = int_arg(optarg, "cpu");
			break;
		case 'm':
			mem = int_arg(optarg, "mem");
			break;
		case 'r':
			report_s = int_arg(optarg, "report-ms") / 1000.0;
			break;
		case 'h':
			hold_max_ms = int_arg(optarg, "hold-max-ms");
			break;
		case 't':
			stop_ms = int_arg(optarg, "stop-ms");
			break;
		case 'u':
			guard = true;
			break;
		default:
			return 2;
		}
	}
	if (!address[0] || !id || !n_controls)
		errx(2, "--listen, --id and --control are needed");
	signal(SIGPIPE, SIG_IGN);
	mono_born_us = mono_us();
	born_ms = now_ms();
	http.loop = loop;
	listen.loop = loop;
	host.ops = &server_ops;
	report_call.ops = &report_ops;
	if (http_client_new(&http, &client))
		errx(1, "no HTTP client");
	if (addr_parse(str_from(address), &listen.address) ||
	    http_server_new(&listen, &server))
		errx(1, "%s: cannot listen", address);
	ev_timer_init(&report_timer, on_report_timer, 0, report_s);
	ev_timer_init(&tick_timer, on_tick, TICK_S, TICK_S);
	ev_signal_init(&term, on_end, SIGTERM);
	ev_signal_init(&crash_order, on_crash_order, SIGUSR2);
	ev_signal_init(&drain, on_drain, SIGUSR1);
	ev_timer_start(loop, &report_timer);
	ev_timer_start(loop, &tick_timer);
	ev_signal_start(loop, &term);
	ev_signal_start(loop, &drain);
	ev_signal_start(loop, &crash_order);
	ev_run(loop, 0);
	return 0;
}
