/*
 * Executors of the users' platform: takes start, stop, pace and hold calls, runs tasks
 * for their estimate under a lease, and reports to the controllers.
 *
 *   executor --listen IP:PORT --count N --control IP:PORT... --service NAME --zone NAME
 *            --work-ms MS --ledger FILE [--announce IP] [--room-ms MS]
 *
 * --announce names the address that the reports give, such as that of a proxy. They start
 * whatever they are told to start; with --room-ms each one reports another room after
 * each such time.
 *
 * The ledger has a line "start|end TASK RUN EXECUTOR HOW MILLISECONDS" for each start and
 * end, "seen TASK RUN EXECUTOR done|lapsed MILLISECONDS" when an end "done" was taken
 * note of ("lapsed": the lease had ended in between), "room CPU MEM EXECUTOR -
 * MILLISECONDS" for each new room, and "fenced PATH EPOCH EXECUTOR MILLISECONDS" for each
 * call with an epoch that has ended, for checks after the run.
 */
#include <getopt.h>
#include <signal.h>

#include <ev.h>
#include <jansson.h>
#include <uthash.h>

#include "io/http_client.h"
#include "io/http_server.h"
#include "standins/common.h"

#define MAX_EXECUTORS 32
#define MAX_RUNS 256
#define MAX_ENDS 4096
#define MAX_LISTED_ENDS 500
#define MAX_CONTROLS 8
#define REPORT_S 0.5
#define TICK_S 0.01
#define CPU_MILLI 8000
#define MEM_MB 8000

struct run {
	char task[64];
	int64_t run;
	int64_t end_us; /* INT64_MAX: lasts */
	bool used;
	bool stopped;
};

struct end {
	int64_t number;
	char task[64];
	int64_t run;
	const char *how;
	bool lapsed; /* the lease ended before the end was seen */
};

/* The highest run of a task that has ended or was stopped here; it starts no more. */
struct last_run {
	UT_hash_handle hh;
	char task[64];
	int64_t run;
};

struct executor {
	struct http_server_host host; /* first member */
	struct http_call report;
	struct http_server *server;
	char id[32];
	char announced[64];
	struct run runs[MAX_RUNS];
	struct end ends[MAX_ENDS];
	size_t n_ends;
	struct last_run *last_runs;
	int64_t next_end;
	int64_t fence;
	int64_t lease_ms;
	struct http_request *waiting; /* a hold that waits for an end */
	int64_t wait_until_us;
	size_t control; /* asked last */
	size_t room;	/* index in rooms_cpu */
};

static struct executor executors[MAX_EXECUTORS];
static int n_executors = 1;
static const char *controls[MAX_CONTROLS];
static size_t n_controls;
static const char *service = "svc";
static const char *zone = "z1";
static const char *announce; /* IP; NULL: as it listens */
static int64_t work_ms = 300;
static int64_t room_ms; /* 0: the room stays the same */
static int64_t next_room_us;
static const int rooms_cpu[] = {CPU_MILLI, 1500, 4000, 500}; /* thousandths of a core */
static int ledger_fd = -1;
static struct http_client *client;
static int64_t born_us;

static void record_at(int64_t ms, const char *what, const char *task, int64_t run,
		      const struct executor *e, const char *how)
{
	char line[256];
	int n = snprintf(line, sizeof(line), "%s %s %lld %s %s %lld\n", what, task,
			 (long long)run, e->id, how, (long long)ms);

	if (ledger_fd >= 0 && write(ledger_fd, line, (size_t)n) != n)
		err(1, "ledger");
}

static void record(const char *what, const char *task, int64_t run,
		   const struct executor *e, const char *how)
{
	record_at(wall_us() / US_PER_MS, what, task, run, e, how);
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

static bool may_not_start(const struct executor *e, const char *task, int64_t run)
{
	const struct last_run *last;

	HASH_FIND_STR(e->last_runs, task, last);
	return last && run <= last->run;
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

static void end_run(struct executor *e, struct run *r, const char *how, int64_t ended_ms)
{
	struct end *x;

	if (e->n_ends == MAX_ENDS)
		errx(1, "too many ends wait to be seen");
	x = &e->ends[e->n_ends++];
	x->number = e->next_end++;
	memcpy(x->task, r->task, sizeof(x->task));
	x->run = r->run;
	x->how = how;
	x->lapsed = false;
	r->used = false;
	note_last_run(e, r->task, r->run);
	record_at(ended_ms, "end", r->task, r->run, e, how);
}

static json_t *lists(const struct executor *e)
{
	json_t *running = json_array();
	json_t *ended = json_array();

	for (int i = 0; i < MAX_RUNS; i++)
		if (e->runs[i].used)
			json_array_append_new(running,
					      json_pack("[sIsii]", e->runs[i].task,
							(json_int_t)e->runs[i].run, "",
							50, 1000));
	for (size_t i = 0; i < e->n_ends && i < MAX_LISTED_ENDS; i++)
		json_array_append_new(
			ended, json_pack("[IsIss]", (json_int_t)e->ends[i].number,
					 e->ends[i].task, (json_int_t)e->ends[i].run,
					 e->ends[i].how, ""));
	return json_pack("{sIsIsoso}", "clock_ms", (json_int_t)clock_ms(), "born",
			 (json_int_t)(born_us / US_PER_MS), "running", running, "ended",
			 ended);
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

	for (size_t i = 0; i < e->n_ends; i++)
		if (e->ends[i].number > seen)
			e->ends[n++] = e->ends[i];
		else if (strcmp(e->ends[i].how, "done") == 0)
			record("seen", e->ends[i].task, e->ends[i].run, e,
			       e->ends[i].lapsed ? "lapsed" : "done");
	e->n_ends = n;
}

static int64_t number(const json_t *body, const char *name)
{
	return json_integer_value(json_object_get(body, name));
}

static void on_start(struct executor *e, struct http_request *req, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	const char *spec = json_string_value(json_object_get(body, "spec"));
	int64_t run = number(body, "run");
	struct run *r = NULL;

	if (!task || strlen(task) >= sizeof(r->task) || !spec || run < 1) {
		reply(req, 400, json_object());
		return;
	}
	if (number(body, "deadline_ms") > e->lease_ms)
		e->lease_ms = number(body, "deadline_ms");
	if (may_not_start(e, task, run)) {
		refuse(req, "old");
		return;
	}
	if (e->lease_ms <= clock_ms()) {
		refuse(req, "late");
		return;
	}
	for (int i = 0; !find_run(e, task, run) && i < MAX_RUNS; i++)
		if (!e->runs[i].used) {
			r = &e->runs[i];
			break;
		}
	if (r) {
		*r = (struct run){.run = run, .used = true};
		snprintf(r->task, sizeof(r->task), "%s", task);
		r->end_us = strcmp(spec, "lasts") == 0 ? INT64_MAX
						       : mono_us() + work_ms * US_PER_MS;
		record("start", task, run, e, spec);
	}
	reply(req, 200, json_pack("{sI}", "clock_ms", (json_int_t)clock_ms()));
}

static void on_stop(struct executor *e, struct http_request *req, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	struct run *r = task ? find_run(e, task, number(body, "run")) : NULL;

	if (r)
		r->stopped = true;
	else if (task && strlen(task) < sizeof(r->task))
		note_last_run(e, task, number(body, "run"));
	reply(req, 200, json_pack("{sI}", "clock_ms", (json_int_t)clock_ms()));
}

static void on_hold(struct executor *e, struct http_request *req, const json_t *body)
{
	answer_hold(e);
	if (number(body, "deadline_ms") > e->lease_ms)
		e->lease_ms = number(body, "deadline_ms");
	forget_ends(e, number(body, "seen_upto"));
	e->waiting = req;
	e->wait_until_us = mono_us() + number(body, "wait_ms") * US_PER_MS;
	if (e->n_ends || number(body, "wait_ms") == 0)
		answer_hold(e);
}

/*
 * Ends what is over. A process that was paused ends its runs at the time at which the
 * lease ended, not when it goes on.
 */
static void tick(struct executor *e, int64_t now_us)
{
	int64_t lapsed_ms = clock_ms() - e->lease_ms;
	int64_t wall_ms = wall_us() / US_PER_MS;

	for (size_t i = 0; lapsed_ms >= 0 && i < e->n_ends; i++)
		e->ends[i].lapsed = true;
	for (int i = 0; i < MAX_RUNS; i++) {
		struct run *r = &e->runs[i];

		if (!r->used)
			continue;
		if (lapsed_ms >= 0)
			end_run(e, r, "lapsed", wall_ms - lapsed_ms);
		else if (r->stopped)
			end_run(e, r, "stopped", wall_ms);
		else if (r->end_us <= now_us)
			end_run(e, r, "done", wall_ms);
	}
	if (e->waiting && (e->n_ends || now_us >= e->wait_until_us))
		answer_hold(e);
}

/* The line has the token that was refused, and the highest in place of an end. */
static void record_fenced(const struct executor *e, const struct http_request *req,
			  int64_t token)
{
	char highest[24];

	snprintf(highest, sizeof(highest), "%lld", (long long)e->fence);
	record("fenced", req->path, token, e, highest);
}

static void on_request(struct http_server_host *host, struct http_request *req)
{
	struct executor *e = (struct executor *)host;
	json_t *body = json_loadb(req->body.p ? req->body.p : "", req->body.n, 0, NULL);
	int64_t fence = number(body, "fencing_token");
	struct str expected = http_request_header(req, "X-Carawayfront-Expect-Instance");

	tick(e, mono_us()); /* after a pause requests may come before the timer */
	if (expected.n && !str_eq(expected, str_from(e->id))) {
		reply(req, 421, json_object());
	} else if (fence < e->fence) {
		record_fenced(e, req, fence);
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
			reply(req, 200, json_object());
		else
			reply(req, 404, json_object());
	}
	json_decref(body);
}

static const struct http_server_ops server_ops = {.request = on_request};

/* The next report goes to another controller when this one was not acknowledged. */
static void on_reported(struct http_call *call, const struct http_result *result)
{
	struct executor *e =
		(struct executor *)(void *)((char *)call -
					    offsetof(struct executor, report));

	if (result->err || result->status / 100 != 2)
		e->control++;
}

static const struct http_call_ops report_ops = {.done = on_reported};

static void report(struct executor *e)
{
	struct http_header h = {"Content-Type", STR("application/json")};
	json_t *body = json_pack(
		"{sssssssisssIsIsIs{sisisi}s[ss]}", "service", service, "address",
		e->announced, "zone", zone, "slots", 8, "state", "ready", "clock_ms",
		(json_int_t)clock_ms(), "born", (json_int_t)(born_us / US_PER_MS), "seq",
		(json_int_t)clock_ms(), "room", "cpu", rooms_cpu[e->room], "mem_mb",
		MEM_MB, "gpu", 0, "labels", "a", "r1");
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

/* Changes the rooms; the executors' next reports tell of it. */
static void change_rooms(int64_t now_us)
{
	if (!room_ms || now_us < next_room_us)
		return;
	next_room_us = now_us + room_ms * US_PER_MS;
	for (int i = 0; i < n_executors; i++) {
		struct executor *e = &executors[i];
		char cpu[16];

		e->room = (e->room + 1) % (sizeof(rooms_cpu) / sizeof(rooms_cpu[0]));
		snprintf(cpu, sizeof(cpu), "%d", rooms_cpu[e->room]);
		record("room", cpu, MEM_MB, e, "-");
	}
}

static void on_report_timer(struct ev_loop *loop, struct ev_timer *t, int events)
{
	for (int i = 0; i < n_executors; i++)
		report(&executors[i]);
}

static void on_tick(struct ev_loop *loop, struct ev_timer *t, int events)
{
	change_rooms(mono_us());
	for (int i = 0; i < n_executors; i++)
		tick(&executors[i], mono_us());
}

static void on_end(struct ev_loop *loop, struct ev_signal *w, int events)
{
	ev_break(loop, EVBREAK_ALL);
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

	snprintf(e->id, sizeof(e->id), "x-%d-%d", port, n);
	snprintf(address, sizeof(address), "%s:%d", host, port + n);
	snprintf(e->announced, sizeof(e->announced), "%s:%d", announce ? announce : host,
		 port + n);
	e->host.ops = &server_ops;
	e->report.ops = &report_ops;
	e->next_end = 1;
	e->control = (size_t)n;
	if (room_ms)
		e->room = (size_t)n % (sizeof(rooms_cpu) / sizeof(rooms_cpu[0]));
	if (addr_parse(str_from(address), &opt.address) ||
	    http_server_new(&opt, &e->server))
		errx(1, "%s: cannot listen", address);
}

int main(int argc, char *argv[])
{
	static const struct option options[] = {
		{"listen", required_argument, NULL, 'l'},
		{"count", required_argument, NULL, 'n'},
		{"control", required_argument, NULL, 'c'},
		{"service", required_argument, NULL, 's'},
		{"zone", required_argument, NULL, 'z'},
		{"work-ms", required_argument, NULL, 'w'},
		{"ledger", required_argument, NULL, 'g'},
		{"announce", required_argument, NULL, 'a'},
		{"room-ms", required_argument, NULL, 'r'},
		{0},
	};
	struct http_client_options http = {
		.max_connections_per_host = 32, .max_idle = 64, .connect_timeout = 1};
	struct ev_loop *loop = ev_default_loop(0);
	struct ev_timer report_timer, tick_timer;
	struct ev_signal term;
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
		case 'w':
			work_ms = (int64_t)number_arg(optarg, 1, 3600000, "work-ms");
			break;
		case 'a':
			announce = optarg;
			break;
		case 'g':
			ledger_fd = open(optarg, O_WRONLY | O_CREAT | O_APPEND, 0600);
			break;
		case 'r':
			room_ms = (int64_t)number_arg(optarg, 100, 3600000, "room-ms");
			break;
		default:
			return 2;
		}
	}
	if (!port || !n_controls)
		errx(2, "--listen and --control are needed");
	signal(SIGPIPE, SIG_IGN);
	born_us = mono_us();
	http.loop = loop;
	if (http_client_new(&http, &client))
		errx(1, "no HTTP client");
	for (int i = 0; i < n_executors; i++)
		open_executor(loop, &executors[i], host, port, i);
	ev_timer_init(&report_timer, on_report_timer, 0, REPORT_S);
	ev_timer_init(&tick_timer, on_tick, TICK_S, TICK_S);
	ev_signal_init(&term, on_end, SIGTERM);
	ev_timer_start(loop, &report_timer);
	ev_timer_start(loop, &tick_timer);
	ev_signal_start(loop, &term);
	ev_run(loop, 0);
	return 0;
}
