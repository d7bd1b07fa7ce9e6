/* Stand-in for the platform's workers: polls for orders and runs tasks as timers. */
#include <getopt.h>
#include <jansson.h>
#include <signal.h>
#include <uthash.h>

#include "standins/client.h"

#define POLL_MS 200
#define POLL_TIMEOUT_MS 1000
#define CHECKPOINT_MS 200
#define MAX_CONTROLS 16
#define MAX_COUNT 2000
#define MAX_TASK_NAME 160
#define CRASH_STATUS 139
#define FAILED_STATUS 1

struct options {
	const char *controls[MAX_CONTROLS];
	size_t n_controls;
	const char *name;
	const char *zone;
	const char *rack;
	const char *ledger;
	unsigned int count;
	unsigned int rack_size; /* workers of one rack, 0: all in one */
	unsigned int cpus;
	unsigned int memory_mb;
	unsigned int accelerators;
	int poll_ms;
	int lag_ms;
	int checkpoint_ms;
	double drift;		 /* speed of the workers' clock */
	bool fail_all;		 /* every task fails as it starts */
	unsigned int fail_first; /* the first N workers fail all tasks, 0: as fail_all */
	double freeze_from_s;
	double freeze_for_s;
};

static struct options opt = {
	.name = "w",
	.zone = "joburg-a",
	.rack = "r",
	.count = 1,
	.cpus = 32,
	.memory_mb = 125000,
	.poll_ms = POLL_MS,
	.lag_ms = 1000,
	.checkpoint_ms = CHECKPOINT_MS,
	.drift = 1.0,
};
static struct ev_loop *loop;
static struct client client;
static int ledger = -1;
static int64_t started_us;
static int64_t session;

enum task_state { T_RUNNING, T_DONE, T_FAILED, T_STOPPED, T_CHECKPOINTED };
static const char *const state_names[] = {"running", "done", "failed", "stopped",
					  "checkpointed"};

/* One attempt at a task on one worker, kept until the order to forget it. */
struct task {
	UT_hash_handle hh;
	struct worker *worker;
	char name[MAX_TASK_NAME];
	bool numeric; /* the name is reported as a JSON number */
	uint64_t attempt;
	enum task_state state;
	int exit_code;
	unsigned int cpus;
	unsigned int memory_mb;
	unsigned int accelerators;
	uint64_t cpu_milli; /* real use, as the command says */
	uint64_t real_mb;
	double left_s; /* work left at since_us, INFINITY: no end */
	int64_t since_us;
	unsigned int percent; /* speed set by throttle */
	unsigned int old_percent;
	int64_t percent_us; /* time of the last change, for the lag of reports */
	int64_t start_us;
	int result; /* exit status when the work is over */
	bool checkpointing;
	int64_t checkpoint; /* marker of this attempt's last checkpoint, 0: none */
	struct ev_timer timer;
};

struct worker {
	char name[64];
	char rack[64];
	bool fails;
	unsigned int next_control;
	struct ev_timer poll;
	struct ev_timer lease;
	bool polling;
	bool poll_again;
	uint64_t epoch;
	uint64_t seq; /* number of the last poll */
	struct task *tasks;
};

/* Work left by a checkpointed task; shared by the workers of this process. */
struct checkpoint {
	UT_hash_handle hh;
	char name[MAX_TASK_NAME];
	double left_s;
};

static struct checkpoint *checkpoints;
static struct worker *workers;

static bool frozen(void)
{
	double t = (double)(mono_us() - started_us) / US_PER_S;

	return t >= opt.freeze_from_s && t < opt.freeze_from_s + opt.freeze_for_s;
}

/* Converts seconds of the worker's clock to seconds of the real clock. */
static double real_s(double s)
{
	return s / opt.drift;
}

static void worker_poll(struct worker *w);

static void task_line(const struct task *t, const char *event, const char *result)
{
	ledger_line(ledger, "%lld %s %s %llu %s %s\n", (long long)wall_us(),
		    t->worker->name, t->name, (unsigned long long)t->attempt, event,
		    result);
}

/* Charges the time since the last call against the work that is left. */
static void task_progress(struct task *t)
{
	int64_t now = mono_us();

	t->left_s -= (double)(now - t->since_us) / US_PER_S * t->percent / 100.0;
	if (t->left_s < 0)
		t->left_s = 0;
	t->since_us = now;
}

static void checkpoint_store(const struct task *t)
{
	struct checkpoint *c;

	HASH_FIND_STR(checkpoints, t->name, c);
	if (!c) {
		c = calloc(1, sizeof(*c));
		if (!c)
			err(1, NULL);
		memcpy(c->name, t->name, sizeof(c->name));
		HASH_ADD_STR(checkpoints, name, c);
	}
	c->left_s = t->left_s;
}

static void task_end(struct task *t, enum task_state state, int exit_code)
{
	if (t->state != T_RUNNING)
		return;
	ev_timer_stop(loop, &t->timer);
	task_progress(t);
	t->state = state;
	t->exit_code = exit_code;
	task_line(t, "end", state_names[state]);
	worker_poll(t->worker);
}

static void task_arm(struct task *t)
{
	ev_timer_stop(loop, &t->timer);
	if (t->checkpointing) {
		ev_timer_set(&t->timer, opt.checkpoint_ms / 1000.0, 0);
	} else if (isfinite(t->left_s) && t->percent) {
		ev_timer_set(&t->timer, t->left_s * 100.0 / t->percent, 0);
	} else {
		return;
	}
	ev_timer_start(loop, &t->timer);
}

/* The task keeps running; the report carries the marker of the checkpoint. */
static void task_checkpointed(struct task *t)
{
	t->checkpointing = false;
	t->checkpoint = wall_us();
	task_progress(t);
	checkpoint_store(t);
	task_line(t, "checkpoint", "written");
	task_arm(t);
	worker_poll(t->worker);
}

static void task_timer_cb(struct ev_loop *l, struct ev_timer *w, int revents)
{
	struct task *t = w->data;

	if (t->checkpointing)
		task_checkpointed(t);
	else
		task_end(t, t->result ? T_FAILED : T_DONE, t->result);
}

/*
 * Reads a command: words sleep:S, fail:S, crash, forever, cpu:MILLI, memory:MB.
 * Without a word of duration the task ends at once. Unknown words fail the task.
 */
static void task_command(struct task *t, const char *command)
{
	char text[512];
	char *save;

	snprintf(text, sizeof(text), "%s", command);
	for (char *w = strtok_r(text, " ", &save); w; w = strtok_r(NULL, " ", &save)) {
		char *colon = strchr(w, ':');
		double n = colon ? strtod(colon + 1, NULL) : 0;

		if (colon)
			*colon = '\0';
		if (strcmp(w, "sleep") == 0) {
			t->left_s = n;
		} else if (strcmp(w, "fail") == 0) {
			t->left_s = n;
			t->result = FAILED_STATUS;
		} else if (strcmp(w, "crash") == 0) {
			t->result = CRASH_STATUS;
		} else if (strcmp(w, "forever") == 0) {
			t->left_s = INFINITY;
		} else if (strcmp(w, "cpu") == 0) {
			t->cpu_milli = (uint64_t)n;
		} else if (strcmp(w, "memory") == 0) {
			t->real_mb = (uint64_t)n;
		} else {
			t->left_s = 0;
			t->result = FAILED_STATUS;
		}
	}
}

/* Records when the tasks that run need more than the worker has. */
static void check_capacity(const struct worker *w, const struct task *started)
{
	unsigned int cpus = 0;
	unsigned int mb = 0;
	unsigned int acc = 0;

	for (const struct task *t = w->tasks; t; t = t->hh.next) {
		if (t->state != T_RUNNING)
			continue;
		cpus += t->cpus;
		mb += t->memory_mb;
		acc += t->accelerators;
	}
	if (cpus > opt.cpus || mb > opt.memory_mb || acc > opt.accelerators)
		task_line(started, "violation", "overcommit");
}

static unsigned int order_number(const json_t *order, const char *key)
{
	return (unsigned int)json_number_value(json_object_get(order, key));
}

static struct task *task_add(struct worker *w, const char *name, bool numeric)
{
	struct task *t = calloc(1, sizeof(*t));

	if (!t)
		err(1, NULL);
	t->worker = w;
	snprintf(t->name, sizeof(t->name), "%s", name);
	t->numeric = numeric;
	t->state = T_STOPPED;
	t->percent = t->old_percent = 100;
	ev_init(&t->timer, task_timer_cb);
	t->timer.data = t;
	HASH_ADD_STR(w->tasks, name, t);
	return t;
}

static void task_remove(struct task *t)
{
	ev_timer_stop(loop, &t->timer);
	HASH_DEL(t->worker->tasks, t);
	free(t);
}

static void task_start(struct task *t, uint64_t attempt, const json_t *order)
{
	const char *command = json_string_value(json_object_get(order, "command"));
	struct checkpoint *c;

	t->attempt = attempt;
	t->state = T_RUNNING;
	t->exit_code = 0;
	t->result = 0;
	t->checkpointing = false;
	t->checkpoint = 0;
	t->cpus = order_number(order, "cpus");
	t->memory_mb = order_number(order, "memory_mb");
	t->accelerators = order_number(order, "accelerators");
	t->cpu_milli = (uint64_t)t->cpus * 1000;
	t->real_mb = t->memory_mb;
	t->percent = t->old_percent = 100;
	t->left_s = 0;
	t->start_us = t->since_us = t->percent_us = mono_us();
	task_command(t, command ? command : "");
	HASH_FIND_STR(checkpoints, t->name, c);
	if (order_number(order, "checkpoint") == 0)
		c = NULL;
	if (c && c->left_s < t->left_s)
		t->left_s = c->left_s;
	if (t->worker->fails) {
		t->left_s = 0;
		t->result = FAILED_STATUS;
	}
	task_line(t, "start", c ? "resumed" : "new");
	check_capacity(t->worker, t);
	task_arm(t);
}

static void task_throttle(struct task *t, unsigned int percent)
{
	if (percent > 100)
		percent = 100;
	task_progress(t);
	t->old_percent = t->percent;
	t->percent = percent;
	t->percent_us = mono_us();
	task_line(t, "throttle", percent < 100 ? "slower" : "full");
	task_arm(t);
}

/* Obeys one order of an answer to a poll that was sent at sent_us. */
static void worker_order(struct worker *w, const json_t *order, int64_t sent_us)
{
	const char *op = json_string_value(json_object_get(order, "op"));
	const json_t *id = json_object_get(order, "task");
	uint64_t attempt =
		(uint64_t)json_integer_value(json_object_get(order, "attempt"));
	uint64_t epoch = (uint64_t)json_integer_value(json_object_get(order, "epoch"));
	const json_t *expires = json_object_get(order, "expires_ms");
	char name[MAX_TASK_NAME];
	struct task *t;

	if (!op || !id)
		return;
	if (json_is_integer(id))
		snprintf(name, sizeof(name), "%lld", (long long)json_integer_value(id));
	else if (json_is_string(id) && json_string_length(id) < sizeof(name))
		snprintf(name, sizeof(name), "%s", json_string_value(id));
	else
		return;
	/* An order of a replaced leader, or one that was delayed too long. */
	if (json_object_get(order, "epoch") && epoch < w->epoch)
		return;
	if (json_is_integer(expires) &&
	    (double)(mono_us() - sent_us) / US_PER_MS * opt.drift >
		    (double)json_integer_value(expires))
		return;
	if (epoch > w->epoch)
		w->epoch = epoch;
	HASH_FIND_STR(w->tasks, name, t);
	if (strcmp(op, "start") == 0) {
		if (t && (t->state == T_RUNNING || t->attempt >= attempt))
			return;
		if (!t)
			t = task_add(w, name, json_is_integer(id));
		task_start(t, attempt, order);
		return;
	}
	if (strcmp(op, "stop") == 0) {
		/* The stop of a start that never arrived is confirmed, too; that start
		 * must not run when it comes later. */
		if (!t)
			t = task_add(w, name, json_is_integer(id));
		if (t->attempt > attempt)
			return;
		t->attempt = attempt;
		task_end(t, T_STOPPED, 0);
		return;
	}
	if (!t || t->attempt != attempt)
		return;
	if (strcmp(op, "forget") == 0 && t->state != T_RUNNING) {
		task_line(t, "forget", state_names[t->state]);
		task_remove(t);
	} else if (strcmp(op, "throttle") == 0 && t->state == T_RUNNING) {
		task_throttle(t, order_number(order, "percent"));
	} else if (strcmp(op, "checkpoint") == 0 && t->state == T_RUNNING &&
		   !t->checkpointing) {
		t->checkpointing = true;
		task_arm(t);
	}
}

static void worker_polled(struct client_call *c)
{
	struct worker *w = c->arg;
	json_t *j = NULL;
	const json_t *order;
	size_t i;
	double lease_s;

	w->polling = false;
	if (c->result == CURLE_OK && c->status == 200 && !frozen())
		j = json_loadb(c->answer.p ? c->answer.p : "", c->answer.n, 0, NULL);
	if (j) {
		uint64_t epoch =
			(uint64_t)json_integer_value(json_object_get(j, "epoch"));

		lease_s = real_s(json_number_value(json_object_get(j, "lease_ms")) /
				 1000.0) -
			  (double)(mono_us() - c->sent_us) / US_PER_S;
		if (epoch >= w->epoch && lease_s > 0) {
			w->epoch = epoch;
			ev_timer_stop(loop, &w->lease);
			ev_timer_set(&w->lease, lease_s, 0);
			ev_timer_start(loop, &w->lease);
			json_array_foreach(json_object_get(j, "orders"), i, order)
				worker_order(w, order, c->sent_us);
		}
		json_decref(j);
	} else {
		w->next_control++;
	}
	if (w->poll_again) {
		w->poll_again = false;
		worker_poll(w);
	}
}

/* Use of a task as it was lag_ms ago. */
static json_t *task_report(const struct task *t)
{
	int64_t then = mono_us() - opt.lag_ms * US_PER_MS;
	unsigned int percent = t->percent_us <= then ? t->percent : t->old_percent;
	bool used = t->state == T_RUNNING && t->start_us <= then;
	json_t *j = json_pack(
		"{s:I,s:s,s:i,s:I,s:I}", "attempt", (json_int_t)t->attempt, "state",
		state_names[t->state == T_RUNNING && t->checkpoint ? T_CHECKPOINTED
								   : t->state],
		"exit", t->exit_code, "cpu_milli",
		(json_int_t)(used ? t->cpu_milli * percent / 100 : 0), "memory_mb",
		(json_int_t)(used ? t->real_mb : 0));

	if (t->checkpoint)
		json_object_set_new(j, "checkpoint",
				    json_integer((json_int_t)t->checkpoint));
	json_object_set_new(j, "task",
			    t->numeric ? json_integer(strtoll(t->name, NULL, 10))
				       : json_string(t->name));
	return j;
}

/* Sends a poll now; one is outstanding at a time. */
static void worker_poll(struct worker *w)
{
	struct client_call *c;
	json_t *tasks;
	json_t *j;
	char url[256];
	char *text;

	if (w->polling) {
		w->poll_again = true;
		return;
	}
	if (frozen())
		return;
	tasks = json_array();
	for (const struct task *t = w->tasks; t; t = t->hh.next)
		json_array_append_new(tasks, task_report(t));
	j = json_pack("{s:s,s:I,s:I,s:I,s:s,s:s,s:i,s:i,s:i,s:i,s:o}", "worker", w->name,
		      "session", (json_int_t)session, "seq", (json_int_t)++w->seq,
		      "epoch", (json_int_t)w->epoch, "zone", opt.zone, "rack", w->rack,
		      "cpus", (int)opt.cpus, "memory_mb", (int)opt.memory_mb,
		      "accelerators", (int)opt.accelerators, "lag_ms", opt.lag_ms,
		      "tasks", tasks);
	text = json_dumps(j, JSON_COMPACT);
	if (!text)
		errx(1, "out of memory");
	snprintf(url, sizeof(url), "http://%s/v1/workers/%s",
		 opt.controls[w->next_control % opt.n_controls], w->name);
	c = client_call(&client, "POST", url, POLL_TIMEOUT_MS, worker_polled, w);
	client_header(c, "Content-Type", "application/json");
	buf_adds(&c->request, text);
	w->polling = true;
	client_start(c, true);
	free(text);
	json_decref(j);
}

static void poll_cb(struct ev_loop *l, struct ev_timer *t, int revents)
{
	struct worker *w = t->data;

	if (!w->polling)
		worker_poll(w);
}

/* The lease has ended by the worker's own clock: nothing may go on. */
static void lease_cb(struct ev_loop *l, struct ev_timer *timer, int revents)
{
	struct worker *w = timer->data;

	for (struct task *t = w->tasks; t; t = t->hh.next)
		task_end(t, T_STOPPED, 0);
	ledger_line(ledger, "%lld %s - 0 lease ended\n", (long long)wall_us(), w->name);
}

static void term_cb(struct ev_loop *l, struct ev_signal *w, int revents)
{
	for (unsigned int i = 0; i < opt.count; i++)
		for (struct task *t = workers[i].tasks; t; t = t->hh.next)
			task_end(t, T_STOPPED, 0);
	ev_break(l, EVBREAK_ALL);
}

static void worker_open(struct worker *w, unsigned int i)
{
	if (opt.count > 1)
		snprintf(w->name, sizeof(w->name), "%s-%u", opt.name, i + 1);
	else
		snprintf(w->name, sizeof(w->name), "%s", opt.name);
	if (opt.rack_size)
		snprintf(w->rack, sizeof(w->rack), "%s-%u", opt.rack,
			 i / opt.rack_size + 1);
	else
		snprintf(w->rack, sizeof(w->rack), "%s", opt.rack);
	w->fails = opt.fail_all || i < opt.fail_first;
	w->next_control = i;
	ev_init(&w->lease, lease_cb);
	w->lease.data = w;
	/* Workers of one process are spread over the period. */
	ev_timer_init(&w->poll, poll_cb, 0.001 * opt.poll_ms * i / opt.count,
		      0.001 * opt.poll_ms);
	w->poll.data = w;
	ev_timer_start(loop, &w->poll);
}

static void __attribute__((noreturn)) usage(void)
{
	fprintf(stderr,
		"usage: worker --control ADDRESS... [--name NAME] [--count N] [--zone "
		"NAME]\n"
		"  [--rack NAME] [--rack-size N] [--cpus N] [--memory-mb N]\n"
		"  [--accelerators N] [--poll-ms N] [--lag-ms N] [--checkpoint-ms N]\n"
		"  [--drift FACTOR] [--fail-all] [--fail-first N] [--freeze "
		"FROM_S:FOR_S]\n"
		"  [--ledger FILE]\n"
		"task commands: sleep:S | fail:S | crash | forever, cpu:MILLI, "
		"memory:MB\n");
	exit(2);
}

int main(int argc, char **argv)
{
	static const struct option longs[] = {
		{"control", required_argument, NULL, 'c'},
		{"name", required_argument, NULL, 'n'},
		{"count", required_argument, NULL, 'N'},
		{"zone", required_argument, NULL, 'z'},
		{"rack", required_argument, NULL, 'r'},
		{"rack-size", required_argument, NULL, 'R'},
		{"cpus", required_argument, NULL, 'C'},
		{"memory-mb", required_argument, NULL, 'm'},
		{"accelerators", required_argument, NULL, 'A'},
		{"poll-ms", required_argument, NULL, 'p'},
		{"lag-ms", required_argument, NULL, 'l'},
		{"checkpoint-ms", required_argument, NULL, 'k'},
		{"drift", required_argument, NULL, 'd'},
		{"fail-all", no_argument, NULL, 'F'},
		{"fail-first", required_argument, NULL, 'f'},
		{"freeze", required_argument, NULL, 'Z'},
		{"ledger", required_argument, NULL, 'L'},
		{0},
	};
	struct ev_signal term, intr;
	int ch;

	while ((ch = getopt_long(argc, argv, "", longs, NULL)) != -1) {
		switch (ch) {
		case 'c':
			if (opt.n_controls == MAX_CONTROLS)
				errx(2, "more than %d control addresses", MAX_CONTROLS);
			opt.controls[opt.n_controls++] = optarg;
			break;
		case 'n':
			opt.name = optarg;
			break;
		case 'N':
			opt.count =
				(unsigned int)number_arg(optarg, 1, MAX_COUNT, "count");
			break;
		case 'z':
			opt.zone = optarg;
			break;
		case 'r':
			opt.rack = optarg;
			break;
		case 'R':
			opt.rack_size = (unsigned int)number_arg(optarg, 0, MAX_COUNT,
								 "rack-size");
			break;
		case 'C':
			opt.cpus = (unsigned int)number_arg(optarg, 1, 1e6, "cpus");
			break;
		case 'm':
			opt.memory_mb =
				(unsigned int)number_arg(optarg, 1, 1e9, "memory-mb");
			break;
		case 'A':
			opt.accelerators =
				(unsigned int)number_arg(optarg, 0, 1e6, "accelerators");
			break;
		case 'p':
			opt.poll_ms = (int)number_arg(optarg, 10, 60000, "poll-ms");
			break;
		case 'l':
			opt.lag_ms = (int)number_arg(optarg, 0, 600000, "lag-ms");
			break;
		case 'k':
			opt.checkpoint_ms =
				(int)number_arg(optarg, 0, 600000, "checkpoint-ms");
			break;
		case 'd':
			opt.drift = number_arg(optarg, 0.5, 2, "drift");
			break;
		case 'F':
			opt.fail_all = true;
			break;
		case 'f':
			opt.fail_first = (unsigned int)number_arg(optarg, 0, MAX_COUNT,
								  "fail-first");
			break;
		case 'Z':
			if (sscanf(optarg, "%lf:%lf", &opt.freeze_from_s,
				   &opt.freeze_for_s) != 2)
				errx(2, "--freeze: %s is not FROM_S:FOR_S", optarg);
			break;
		case 'L':
			opt.ledger = optarg;
			break;
		default:
			usage();
		}
	}
	if (optind != argc || opt.n_controls == 0)
		usage();
	signal(SIGPIPE, SIG_IGN);
	loop = ev_default_loop(0);
	started_us = mono_us();
	session = wall_us();
	ledger = ledger_open(opt.ledger);
	client_open(&client, loop);
	workers = calloc(opt.count, sizeof(*workers));
	if (!workers)
		err(1, NULL);
	for (unsigned int i = 0; i < opt.count; i++)
		worker_open(&workers[i], i);
	ev_signal_init(&term, term_cb, SIGTERM);
	ev_signal_start(loop, &term);
	ev_signal_init(&intr, term_cb, SIGINT);
	ev_signal_start(loop, &intr);
	ev_run(loop, 0);
	return 0;
}
