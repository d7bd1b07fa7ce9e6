/*
 * Executors of the users' platform, as PROTOCOL.md describes them: run-start, run-stop,
 * hold and pace under fences and leases, own lists of runs and ends, gangs, checkpoints,
 * admission by room, reports to the controllers. All of them live in this process; each
 * has an address and lives of its own.
 *
 *   executors2 --listen IP:PORT --count N --control IP:PORT... --service NAME
 *              --zones N --racks N --cpu MILLI --mem MB --commands FIFO --record FILE
 *              [--hold-max-ms MS] [--gang-ms MS] [--saves-ms MS] [--report-ms MS]
 *
 * What a task does stands in its spec, words apart: "work=MS", "gang=N" (the count of its
 * step), "saves" (it checkpoints), "lasts".
 *
 * Commands, one a line: "crash I MS" ends executor I with all that it runs; it starts
 * again after MS, at its address and under a new id (0: never). "grey I MS": what I starts
 * from now on ends failed, 100 ms after its start, for so long. "leave I CUT ENDS": I drains,
 * deregisters once it has drained for drain_ms, and ends with the ack. If CUT is not 0, a
 * cut of so many ms that refuses connections begins as the notice is on its way: the ack is
 * lost, nothing comes in or goes out, and I ends by itself after ENDS ms.
 *
 * The record has lines "MILLISECONDS WHAT ...": "start TASK RUN EXECUTOR from=VALUE",
 * "refused TASK RUN EXECUTOR REASON", "works TASK RUN", "end TASK RUN EXECUTOR HOW
 * saved=VALUE", "seen TASK RUN EXECUTOR HOW", "crash EXECUTOR I", "up EXECUTOR I",
 * "grey EXECUTOR I MS", "drains EXECUTOR I", "drain-acked EXECUTOR I", "leaves EXECUTOR I",
 * "leave-acked EXECUTOR I", "cut EXECUTOR I MS", "gone TASK RUN EXECUTOR" for each run that
 * ends with its executor, "ended EXECUTOR I".
 */
#include <getopt.h>
#include <signal.h>
#include <sys/stat.h>

#include <ev.h>
#include <jansson.h>

#include "io/http_client.h"
#include "io/http_server.h"
#include "standins/common.h"

#define MAX_EXECUTORS 32
#define MAX_RUNS 256
#define MAX_ENDS 4096
#define MAX_LISTED 500
#define MAX_CONTROLS 8
#define MAX_LAST 4096
#define MAX_BROKEN 4096
#define TICK_S 0.01
#define STOP_MS 50
#define DRAIN_MS 2000
#define GREY_MS 100
#define RESTORE_MS 100
#define NAME 64
#define VALUE 32

struct run {
	bool used;
	char task[NAME];
	int64_t run;
	int64_t work_ms; /* INT64_MAX: lasts */
	int gang;	 /* members of its step, 0: no gang */
	bool saves;
	bool works;	    /* a gang: all members are present */
	int64_t since_us;   /* when it began to work */
	int64_t started_us;
	int64_t from_ms;    /* progress that it was started with */
	char from[VALUE];
	char saved[VALUE];
	int64_t stop_at_us; /* 0: it is not being stopped */
	bool grey;
	uint32_t cpu, mem;
};

struct end {
	int64_t number;
	char task[NAME];
	int64_t run;
	const char *how;
	char saved[VALUE];
};

struct last {
	char task[NAME];
	int64_t run;
};

struct executor {
	struct http_server_host host; /* first member */
	struct http_call report;
	struct http_server *server; /* NULL: down or cut off */
	bool up;
	int index;
	unsigned int life;
	char id[32];
	char address[64];
	char zone[16];
	char rack[16];
	struct run runs[MAX_RUNS];
	struct end ends[MAX_ENDS];
	size_t n_ends;
	struct last last[MAX_LAST];
	size_t n_last;
	int64_t next_end;
	int64_t fence;
	int64_t lease_ms;
	int64_t seq;
	int64_t born_wall_ms;
	int64_t born_us;
	int64_t up_at_us; /* while it is down, 0: never */
	int64_t grey_until_us;
	struct http_call leave;
	bool draining, drain_reported;
	bool leaves;		 /* the notice was sent */
	int64_t drained_at_us;	 /* 0: its draining is not acknowledged */
	int64_t cut_at_us;	 /* 0: no cut is to begin */
	int64_t ends_at_us;	 /* 0: not by itself */
	int64_t cut_ms, ends_ms; /* of the command */
	bool cut;
	struct http_request *waiting;
	int64_t wait_until_us;
	size_t control;
};

static struct executor executors[MAX_EXECUTORS];
static int n_executors = 1;
static const char *controls[MAX_CONTROLS];
static size_t n_controls;
static const char *service = "svc";
static const char *record_path;
static int n_zones = 1, n_racks = 1;
static int cpu_milli = 8000, mem_mb = 8000;
static int64_t hold_max_ms = 10000, gang_ms = 3000, saves_ms = 1000, report_ms = 1000;
static int record_fd = -1, fifo_fd = -1;
static struct http_client *client;
static struct ev_loop *loop;
/* Runs of steps of which a member has ended: its others cannot work any more. */
static struct last broken[MAX_BROKEN];
static size_t n_broken;

static long long wall_ms(void)
{
	return wall_us() / US_PER_MS;
}

static int64_t clock_ms(const struct executor *e)
{
	return 1 + (mono_us() - e->born_us) / US_PER_MS;
}

static void reply(struct http_request *req, unsigned int status, json_t *body)
{
	struct http_header h = {"Content-Type", STR("application/json")};
	char *text = json_dumps(body, JSON_COMPACT);

	http_request_reply(req, status, &h, 1, str_from(text));
	free(text);
	json_decref(body);
}

static json_t *clocked(const struct executor *e)
{
	return json_pack("{sIsI}", "clock_ms", (json_int_t)clock_ms(e), "born",
			 (json_int_t)e->born_wall_ms);
}

static void refuse(struct executor *e, struct http_request *req, const char *reason)
{
	json_t *body = clocked(e);

	json_object_set_new(body, "reason", json_string(reason));
	reply(req, 409, body);
}

/* The step of a task's name: all but its last part. */
static size_t step_length(const char *task)
{
	const char *dot = strrchr(task, '.');

	return dot ? (size_t)(dot - task) : strlen(task);
}

static bool same_step(const char *a, const char *b)
{
	size_t n = step_length(a);

	return n == step_length(b) && strncmp(a, b, n) == 0;
}

/* Progress in a form like that of the pages: milliseconds and a part of the job's id. */
static void write_value(char *out, const char *task, int64_t ms)
{
	snprintf(out, VALUE, "%08llx%.8s", (unsigned long long)ms, task + 4);
}

static int64_t read_value(const char *value)
{
	char digits[9] = "";

	snprintf(digits, sizeof(digits), "%.8s", value);
	return (int64_t)strtoll(digits, NULL, 16);
}

static struct run *find_run(struct executor *e, const char *task, int64_t run)
{
	for (int i = 0; i < MAX_RUNS; i++)
		if (e->runs[i].used && e->runs[i].run == run &&
		    strcmp(e->runs[i].task, task) == 0)
			return &e->runs[i];
	return NULL;
}

static int64_t *last_run(struct executor *e, const char *task)
{
	for (size_t i = 0; i < e->n_last; i++)
		if (strcmp(e->last[i].task, task) == 0)
			return &e->last[i].run;
	if (e->n_last == MAX_LAST)
		errx(2, "too many tasks");
	snprintf(e->last[e->n_last].task, NAME, "%s", task);
	return &e->last[e->n_last++].run;
}

static int64_t progress_ms(const struct run *r, int64_t now_us)
{
	int64_t ms;

	if (r->gang && !r->works)
		return r->from_ms;
	ms = (now_us - r->since_us) / US_PER_MS;
	return r->from_ms + (ms > 0 ? ms : 0);
}

static void end_run(struct executor *e, struct run *r, const char *how)
{
	struct end *x;

	if (e->n_ends == MAX_ENDS)
		errx(2, "too many ends");
	x = &e->ends[e->n_ends++];
	x->number = e->next_end++;
	memcpy(x->task, r->task, NAME);
	memcpy(x->saved, r->saved, VALUE);
	x->run = r->run;
	x->how = how;
	r->used = false;
	if (*last_run(e, r->task) < r->run)
		*last_run(e, r->task) = r->run;
	ledger_line(record_fd, "%lld end %s %lld %s %s saved=%s\n", wall_ms(), r->task,
		    (long long)r->run, e->id, how, r->saved);
}

static bool is_broken(const char *task, int64_t run)
{
	for (size_t i = 0; i < n_broken; i++)
		if (broken[i].run == run && same_step(broken[i].task, task))
			return true;
	return false;
}

/* A member has ended: its others end broken at their next tick. */
static void break_gang(const char *task, int64_t run)
{
	if (is_broken(task, run))
		return;
	if (n_broken == MAX_BROKEN)
		errx(2, "too many gangs");
	snprintf(broken[n_broken].task, NAME, "%s", task);
	broken[n_broken++].run = run;
}

/* The members of a run that are present with one checkpointed value. */
static int count_present(const struct run *of)
{
	int n = 0;

	for (int i = 0; i < n_executors; i++)
		for (int k = 0; k < MAX_RUNS; k++) {
			const struct run *r = &executors[i].runs[k];

			n += r->used && r->run == of->run &&
			     same_step(r->task, of->task) &&
			     strcmp(r->from, of->from) == 0;
		}
	return n;
}

/* The members work from the moment at which all of them are present. */
static void begin_gang(struct run *of)
{
	if (count_present(of) < of->gang)
		return;
	for (int i = 0; i < n_executors; i++)
		for (int k = 0; k < MAX_RUNS; k++) {
			struct run *r = &executors[i].runs[k];

			if (!r->used || r->run != of->run || !same_step(r->task, of->task))
				continue;
			r->works = true;
			r->since_us = mono_us() + (r->from[0] ? RESTORE_MS * US_PER_MS : 0);
			ledger_line(record_fd, "%lld works %s %lld\n", wall_ms(), r->task,
				    (long long)r->run);
		}
}

static json_t *lists(const struct executor *e)
{
	json_t *running = json_array();
	json_t *ended = json_array();
	json_t *body = clocked(e);
	int64_t now_us = mono_us();

	for (int i = 0; i < MAX_RUNS; i++) {
		const struct run *r = &e->runs[i];
		int64_t percent = 100;

		if (!r->used)
			continue;
		if (r->work_ms != INT64_MAX)
			percent = progress_ms(r, now_us) * 100 / r->work_ms;
		json_array_append_new(running,
				      json_pack("[sIsIi]", r->task, (json_int_t)r->run,
						r->saved,
						(json_int_t)(percent > 100 ? 100 : percent),
						(int)r->cpu));
	}
	for (size_t i = 0; i < e->n_ends && i < MAX_LISTED; i++)
		json_array_append_new(
			ended, json_pack("[IsIss]", (json_int_t)e->ends[i].number,
					 e->ends[i].task, (json_int_t)e->ends[i].run,
					 e->ends[i].how, e->ends[i].saved));
	json_object_set_new(body, "running", running);
	json_object_set_new(body, "ended", ended);
	return body;
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
		else
			ledger_line(record_fd, "%lld seen %s %lld %s %s\n", wall_ms(),
				    e->ends[i].task, (long long)e->ends[i].run, e->id,
				    e->ends[i].how);
	e->n_ends = n;
}

static int64_t number(const json_t *body, const char *name)
{
	return json_integer_value(json_object_get(body, name));
}

static int64_t spec_number(const char *spec, const char *name, int64_t none)
{
	const char *at = strstr(spec, name);

	return at ? strtoll(at + strlen(name), NULL, 10) : none;
}

static void extend_lease(struct executor *e, const json_t *body)
{
	int64_t until = number(body, "deadline_ms");

	if (until > clock_ms(e) + hold_max_ms)
		until = clock_ms(e) + hold_max_ms;
	if (until > e->lease_ms)
		e->lease_ms = until;
}

static void on_start(struct executor *e, struct http_request *req, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	const char *spec = json_string_value(json_object_get(body, "spec"));
	const char *from = json_string_value(json_object_get(body, "checkpointed"));
	int64_t run = number(body, "run");
	const char *reason = NULL;
	struct run *r = NULL;
	int64_t cpu = 0, mem = 0;

	if (!task || strlen(task) >= NAME || !spec || run < 1 ||
	    (from && strlen(from) >= VALUE)) {
		reply(req, 400, clocked(e));
		return;
	}
	extend_lease(e, body);
	if (find_run(e, task, run)) {
		reply(req, 200, clocked(e));
		return;
	}
	for (int i = 0; i < MAX_RUNS; i++) {
		if (e->runs[i].used) {
			cpu += e->runs[i].cpu;
			mem += e->runs[i].mem;
		} else if (!r) {
			r = &e->runs[i];
		}
	}
	cpu += spec_number(spec, "cpu=", 1000);
	mem += spec_number(spec, "mem=", 100);
	if (run <= *last_run(e, task))
		reason = "old";
	else if (e->lease_ms <= clock_ms(e))
		reason = "late";
	else if (!r || cpu > cpu_milli || mem > mem_mb)
		reason = "room";
	if (reason) {
		ledger_line(record_fd, "%lld refused %s %lld %s %s\n", wall_ms(), task,
			    (long long)run, e->id, reason);
		refuse(e, req, reason);
		return;
	}
	*r = (struct run){.used = true, .run = run};
	snprintf(r->task, NAME, "%s", task);
	snprintf(r->from, VALUE, "%s", from ? from : "");
	snprintf(r->saved, VALUE, "%s", r->from);
	r->from_ms = from ? read_value(from) : 0;
	r->cpu = (uint32_t)spec_number(spec, "cpu=", 1000);
	r->mem = (uint32_t)spec_number(spec, "mem=", 100);
	r->gang = (int)spec_number(spec, "gang=", 0);
	r->work_ms = strstr(spec, "lasts") ? INT64_MAX : spec_number(spec, "work=", 500);
	r->saves = strstr(spec, "saves") != NULL;
	r->started_us = mono_us();
	r->since_us = r->started_us + (from && *from ? RESTORE_MS * US_PER_MS : 0);
	r->grey = r->started_us < e->grey_until_us;
	ledger_line(record_fd, "%lld start %s %lld %s from=%s\n", wall_ms(), task,
		    (long long)run, e->id, r->from);
	if (r->gang)
		begin_gang(r);
	reply(req, 200, clocked(e));
}

static void on_stop(struct executor *e, struct http_request *req, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	int64_t run = number(body, "run");
	struct run *r = task ? find_run(e, task, run) : NULL;

	if (r && !r->stop_at_us)
		r->stop_at_us = mono_us() + STOP_MS * US_PER_MS;
	else if (!r && task && strlen(task) < NAME && *last_run(e, task) < run)
		*last_run(e, task) = run;
	reply(req, 200, clocked(e));
}

static void on_hold(struct executor *e, struct http_request *req, const json_t *body)
{
	int64_t wait_ms = number(body, "wait_ms");

	answer_hold(e);
	extend_lease(e, body);
	forget_ends(e, number(body, "seen_upto"));
	e->waiting = req;
	e->wait_until_us = mono_us() + (wait_ms > 2000 ? 2000 : wait_ms) * US_PER_MS;
	if (e->n_ends || !wait_ms)
		answer_hold(e);
}

static void tick(struct executor *e, int64_t now_us)
{
	bool lapsed = clock_ms(e) >= e->lease_ms;

	for (int i = 0; i < MAX_RUNS; i++) {
		struct run *r = &e->runs[i];
		int64_t done_ms;

		if (!r->used)
			continue;
		done_ms = progress_ms(r, now_us);
		if (r->saves && done_ms / saves_ms > read_value(r->saved) / saves_ms)
			write_value(r->saved, r->task, done_ms / saves_ms * saves_ms);
		if (lapsed) {
			end_run(e, r, "lapsed");
			if (r->gang)
				break_gang(r->task, r->run);
		} else if (r->grey && now_us - r->started_us >= GREY_MS * US_PER_MS) {
			end_run(e, r, "failed");
			if (r->gang)
				break_gang(r->task, r->run);
		} else if (r->stop_at_us && now_us >= r->stop_at_us) {
			if (r->saves)
				write_value(r->saved, r->task, done_ms);
			end_run(e, r, "stopped");
			if (r->gang)
				break_gang(r->task, r->run);
		} else if (r->gang && !r->works &&
			   now_us - r->started_us >= gang_ms * US_PER_MS) {
			end_run(e, r, "alone");
		} else if (r->work_ms != INT64_MAX && done_ms >= r->work_ms &&
			   (!r->gang || r->works)) {
			end_run(e, r, "done");
		}
	}
}

static void break_members(struct executor *e)
{
	for (int i = 0; i < MAX_RUNS; i++) {
		struct run *r = &e->runs[i];

		if (r->used && r->gang && !r->grey && is_broken(r->task, r->run))
			end_run(e, r, "broken");
	}
}

static void on_request(struct http_server_host *host, struct http_request *req)
{
	struct executor *e = (struct executor *)host;
	json_t *body = json_loadb(req->body.p ? req->body.p : "", req->body.n, 0, NULL);
	int64_t fence = number(body, "fencing_token");
	struct str expected = http_request_header(req, "X-Carawayfront-Expect-Instance");

	if (expected.n && !str_eq(expected, str_from(e->id))) {
		reply(req, 421, clocked(e));
	} else if (fence < e->fence) {
		refuse(e, req, "fence");
	} else {
		e->fence = fence;
		if (strcmp(req->path, "/api/run-start") == 0)
			on_start(e, req, body);
		else if (strcmp(req->path, "/api/run-stop") == 0)
			on_stop(e, req, body);
		else if (strcmp(req->path, "/api/hold") == 0)
			on_hold(e, req, body);
		else
			reply(req, strcmp(req->path, "/api/pace") == 0 ? 200 : 404,
			      clocked(e));
	}
	json_decref(body);
}

static const struct http_server_ops server_ops = {.request = on_request};

static void on_reported(struct http_call *call, const struct http_result *result)
{
	struct executor *e =
		(struct executor *)(void *)((char *)call - offsetof(struct executor, report));

	if (result->err || result->status / 100 != 2) {
		e->control++;
	} else if (e->draining && !e->drained_at_us && e->drain_reported) {
		e->drained_at_us = mono_us() + DRAIN_MS * US_PER_MS;
		ledger_line(record_fd, "%lld drain-acked %s %d\n", wall_ms(), e->id, e->index);
	}
}

static const struct http_call_ops report_ops = {.done = on_reported};

static void report(struct executor *e)
{
	struct http_header h = {"Content-Type", STR("application/json")};
	json_t *body = json_pack(
		"{sssssssssisssisIsIsIs{sisisi}s[ss]}", "service", service, "address",
		e->address, "zone", e->zone, "version", "v1", "slots", 8, "state", e->draining ? "draining" : "ready",
		"cold_ms", 0, "clock_ms", (json_int_t)clock_ms(e), "born",
		(json_int_t)e->born_wall_ms, "seq", (json_int_t)++e->seq, "room", "cpu",
		cpu_milli, "mem_mb", mem_mb, "gpu", 0, "labels", "a", e->rack);
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
	if (!e->report.exchange) {
		e->drain_reported = e->draining;
		if (http_client_start(client, &opt, &e->report))
			e->control++;
	}
	free(text);
	json_decref(body);
}

/* A new life: nothing is left of the one before. */
static void start_up(struct executor *e)
{
	struct http_server_options opt = {
		.loop = loop,
		.host = &e->host,
		.max_body = 1U << 20,
		.max_connections = 64,
		.idle_timeout = 60,
	};
	int index = e->index;
	unsigned int life = e->life + 1;
	char address[64], zone[16], rack[16];

	memcpy(address, e->address, sizeof(address));
	memcpy(zone, e->zone, sizeof(zone));
	memcpy(rack, e->rack, sizeof(rack));
	memset(e, 0, sizeof(*e));
	e->index = index;
	e->life = life;
	memcpy(e->address, address, sizeof(address));
	memcpy(e->zone, zone, sizeof(zone));
	memcpy(e->rack, rack, sizeof(rack));
	snprintf(e->id, sizeof(e->id), "i-%02d%04x%04x", index, life,
		 (unsigned int)(wall_us() >> 8) & 0xffff);
	e->host.ops = &server_ops;
	e->report.ops = &report_ops;
	e->next_end = 1;
	e->control = (size_t)index;
	e->born_us = mono_us();
	e->born_wall_ms = wall_us() / US_PER_MS;
	if (addr_parse(str_from(e->address), &opt.address) ||
	    http_server_new(&opt, &e->server))
		errx(2, "%s: cannot listen", e->address);
	e->up = true;
	ledger_line(record_fd, "%lld up %s %d\n", wall_ms(), e->id, index);
	report(e);
}

static void stop_listening(struct executor *e)
{
	struct http_request *waiting = e->waiting;

	e->waiting = NULL;
	if (e->server)
		http_server_free(e->server);
	e->server = NULL;
	if (waiting)
		http_request_reply(waiting, 500, NULL, 0, STR(""));
	http_call_cancel(&e->report);
	http_call_cancel(&e->leave);
}

/* Its process ends, and with it all that it runs. */
static void end_process(struct executor *e)
{
	for (int i = 0; i < MAX_RUNS; i++) {
		struct run *r = &e->runs[i];

		if (!r->used)
			continue;
		r->used = false;
		ledger_line(record_fd, "%lld gone %s %lld %s\n", wall_ms(), r->task,
			    (long long)r->run, e->id);
		if (r->gang)
			break_gang(r->task, r->run);
	}
	stop_listening(e);
	e->up = false;
}

static void crash(struct executor *e, int64_t ms)
{
	if (!e->up)
		return;
	ledger_line(record_fd, "%lld crash %s %d\n", wall_ms(), e->id, e->index);
	end_process(e);
	e->up_at_us = ms ? mono_us() + ms * US_PER_MS : 0;
}

static void on_left(struct http_call *call, const struct http_result *result)
{
	struct executor *e =
		(struct executor *)(void *)((char *)call - offsetof(struct executor, leave));

	if (result->err || result->status / 100 != 2) {
		e->control++;
		e->leaves = false; /* sent again */
		return;
	}
	if (e->cut_ms) { /* the cut has begun while the answer was on its way */
		e->cut_at_us = mono_us();
		return;
	}
	ledger_line(record_fd, "%lld leave-acked %s %d\n", wall_ms(), e->id, e->index);
	e->ends_at_us = mono_us();
}

static const struct http_call_ops leave_ops = {.done = on_left};

static void send_leave(struct executor *e)
{
	char url[256];
	struct http_call_options opt = {
		.method = "POST", .idempotent = true, .timeout = 1, .max_body = 4096};

	snprintf(url, sizeof(url), "http://%s/api/instances/%s/deregister",
		 controls[e->control % n_controls], e->id);
	opt.url = str_from(url);
	e->leaves = true;
	e->leave.ops = &leave_ops;
	ledger_line(record_fd, "%lld leaves %s %d\n", wall_ms(), e->id, e->index);
	if (http_client_start(client, &opt, &e->leave))
		e->leaves = false;
}

static void begin_cut(struct executor *e)
{
	e->cut = true;
	e->cut_at_us = 0;
	e->ends_at_us = mono_us() + e->ends_ms * US_PER_MS;
	stop_listening(e);
	ledger_line(record_fd, "%lld cut %s %d %lld\n", wall_ms(), e->id, e->index,
		    (long long)e->cut_ms);
}

/* What is due of a planned exit. */
static void leave_tick(struct executor *e, int64_t now_us)
{
	if (e->drained_at_us && now_us >= e->drained_at_us && !e->leaves && !e->cut)
		send_leave(e);
	if (e->cut_at_us && now_us >= e->cut_at_us)
		begin_cut(e);
	if (!e->ends_at_us || now_us < e->ends_at_us)
		return;
	ledger_line(record_fd, "%lld ended %s %d\n", wall_ms(), e->id, e->index);
	end_process(e);
}

static void command(const char *line)
{
	long long ms, ends;
	int i;

	if (sscanf(line, "crash %d %lld", &i, &ms) == 2 && i >= 0 && i < n_executors) {
		crash(&executors[i], ms);
	} else if (sscanf(line, "leave %d %lld %lld", &i, &ms, &ends) == 3 && i >= 0 &&
		   i < n_executors && executors[i].up) {
		executors[i].draining = true;
		executors[i].cut_ms = ms;
		executors[i].ends_ms = ends;
		ledger_line(record_fd, "%lld drains %s %d\n", wall_ms(), executors[i].id, i);
	} else if (sscanf(line, "grey %d %lld", &i, &ms) == 2 && i >= 0 &&
		   i < n_executors) {
		executors[i].grey_until_us = mono_us() + ms * US_PER_MS;
		ledger_line(record_fd, "%lld grey %s %d %lld\n", wall_ms(),
			    executors[i].id, i, ms);
	}
}

static void on_command(struct ev_loop *l, struct ev_io *w, int events)
{
	static char text[4096];
	static size_t n;
	ssize_t got = read(fifo_fd, text + n, sizeof(text) - 1 - n);
	char *end;

	if (got <= 0)
		return;
	n += (size_t)got;
	text[n] = '\0';
	while ((end = strchr(text, '\n'))) {
		*end = '\0';
		command(text);
		n -= (size_t)(end + 1 - text);
		memmove(text, end + 1, n + 1);
	}
}

static void on_report_timer(struct ev_loop *l, struct ev_timer *t, int events)
{
	for (int i = 0; i < n_executors; i++)
		if (executors[i].server)
			report(&executors[i]);
}

static void on_tick(struct ev_loop *l, struct ev_timer *t, int events)
{
	int64_t now_us = mono_us();

	for (int i = 0; i < n_executors; i++)
		if (executors[i].up)
			tick(&executors[i], now_us);
	for (int i = 0; i < n_executors; i++) {
		struct executor *e = &executors[i];

		if (e->up) {
			break_members(e);
			leave_tick(e, now_us);
			if (e->waiting && (e->n_ends || now_us >= e->wait_until_us))
				answer_hold(e);
		} else if (e->up_at_us && now_us >= e->up_at_us) {
			start_up(e);
		}
	}
}

static void on_end(struct ev_loop *l, struct ev_signal *w, int events)
{
	ev_break(l, EVBREAK_ALL);
}

int main(int argc, char *argv[])
{
	static const struct option options[] = {
		{"listen", required_argument, NULL, 'l'},
		{"count", required_argument, NULL, 'n'},
		{"control", required_argument, NULL, 'c'},
		{"service", required_argument, NULL, 's'},
		{"zones", required_argument, NULL, 'z'},
		{"racks", required_argument, NULL, 'k'},
		{"cpu", required_argument, NULL, 'p'},
		{"mem", required_argument, NULL, 'm'},
		{"commands", required_argument, NULL, 'f'},
		{"record", required_argument, NULL, 'r'},
		{"hold-max-ms", required_argument, NULL, 'h'},
		{"gang-ms", required_argument, NULL, 'g'},
		{"saves-ms", required_argument, NULL, 'v'},
		{"report-ms", required_argument, NULL, 'b'},
		{0},
	};
	struct http_client_options http = {
		.max_connections_per_host = 32, .max_idle = 64, .connect_timeout = 1};
	struct ev_timer report_timer, tick_timer;
	struct ev_signal term;
	struct ev_io fifo;
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
			n_zones = (int)number_arg(optarg, 1, 9, "zones");
			break;
		case 'k':
			n_racks = (int)number_arg(optarg, 1, 99, "racks");
			break;
		case 'p':
			cpu_milli = (int)number_arg(optarg, 1, 1e6, "cpu");
			break;
		case 'm':
			mem_mb = (int)number_arg(optarg, 1, 1e6, "mem");
			break;
		case 'f':
			fifo_fd = open(optarg, O_RDWR | O_NONBLOCK | O_CLOEXEC);
			break;
		case 'r':
			record_path = optarg;
			record_fd = ledger_open(record_path);
			break;
		case 'h':
			hold_max_ms = (int64_t)number_arg(optarg, 100, 1e6, "hold-max-ms");
			break;
		case 'g':
			gang_ms = (int64_t)number_arg(optarg, 100, 1e6, "gang-ms");
			break;
		case 'v':
			saves_ms = (int64_t)number_arg(optarg, 100, 1e6, "saves-ms");
			break;
		case 'b':
			report_ms = (int64_t)number_arg(optarg, 100, 1e6, "report-ms");
			break;
		default:
			return 2;
		}
	}
	if (!port || !n_controls)
		errx(2, "--listen and --control are needed");
	signal(SIGPIPE, SIG_IGN);
	loop = ev_default_loop(0);
	http.loop = loop;
	if (http_client_new(&http, &client))
		errx(2, "no HTTP client");
	for (int i = 0; i < n_executors; i++) {
		struct executor *e = &executors[i];

		e->index = i;
		snprintf(e->address, sizeof(e->address), "%s:%d", host, port + i);
		snprintf(e->zone, sizeof(e->zone), "z%d", i % n_zones + 1);
		snprintf(e->rack, sizeof(e->rack), "r%d", i % n_racks + 1);
		start_up(e);
	}
	ev_timer_init(&report_timer, on_report_timer, 0, (double)report_ms / 1000);
	ev_timer_init(&tick_timer, on_tick, TICK_S, TICK_S);
	ev_signal_init(&term, on_end, SIGTERM);
	ev_timer_start(loop, &report_timer);
	ev_timer_start(loop, &tick_timer);
	ev_signal_start(loop, &term);
	if (fifo_fd >= 0) {
		ev_io_init(&fifo, on_command, fifo_fd, EV_READ);
		ev_io_start(loop, &fifo);
	}
	ev_run(loop, 0);
	return 0;
}
