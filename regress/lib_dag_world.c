#include "regress/lib_dag_world.h"

#include <check.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "proto/codec.h"

#define MS 1000LL
#define STEP_US (5 * MS)
#define COMMIT_US (8 * MS)
#define HOP_US (2 * MS)
#define STOP_US (200 * MS)
/* A worker drains so long before it announces its exit, and waits so long for the answer.
 */
#define DRAIN_US (2000 * MS)
#define ANNOUNCEMENT_TIMEOUT_US (1000 * MS)
#define LEASE_US (10000 * MS)
#define REPORT_US (1000 * MS)
/* A room that has shrunk counts this much later: contact_ms and one report. */
#define SHRINK_US (3000 * MS + REPORT_US)
#define LATE_MIN_US (2000 * MS)
#define LATE_SPAN_US (10000 * MS)
#define CALL_TIMEOUT_US (700 * MS)
#define WALL_MS 1700000000000LL
#define NO_LIFE 1
#define LONG_RUN 7
/* Serving tasks with an image. */
#define OWN_LOAD 0.48
#define OWN_SWING 0.22
#define SWING_US 20e6
#define SLOPE_ALIKE 2.5 /* for a filler that uses the whole worker */
#define SLOPE_OTHER 0.1
#define LOAD_LIMIT 0.999
#define TAIL_BASE_MS 25.0
#define TAIL_SMOOTHING_US 600e3

static void violate(struct dag_world *w, const char *fmt, ...)
{
	va_list ap;

	if (w->violation[0])
		return;
	va_start(ap, fmt);
	vsnprintf(w->violation, sizeof(w->violation), fmt, ap);
	va_end(ap);
}

int64_t dw_wall_ms(const struct dag_world *w)
{
	return WALL_MS + w->now_us / MS;
}

static struct dw_event *add_event(struct dag_world *w, enum dw_kind kind, int64_t at_us)
{
	struct dw_event *e;

	ck_assert(w->n_events < DW_EVENTS);
	e = &w->events[w->n_events++];
	*e = (struct dw_event){
		.kind = kind,
		.at_us = at_us,
		.sent_us = w->now_us,
		.seq = w->next_seq++,
		.leader = w->life,
	};
	return e;
}

static bool same_ref(const struct dag_task_ref *a, const struct dag_task_ref *b)
{
	return a->job == b->job && a->occurrence == b->occurrence && a->step == b->step &&
	       a->index == b->index;
}

static struct dw_task *task_of(struct dag_world *w, const struct dag_task_ref *t)
{
	for (size_t i = 0; i < w->n_tasks; i++)
		if (same_ref(&w->tasks[i].task, t))
			return &w->tasks[i];
	ck_assert(w->n_tasks < DW_TASKS);
	w->tasks[w->n_tasks] = (struct dw_task){.task = *t};
	return &w->tasks[w->n_tasks++];
}

/* Number of the world's worker behind a number of the state. */
static struct dw_worker *worker_of(struct dag_world *w, uint32_t number)
{
	struct dag_worker_rec *rec = dag_state_find_worker(w->state, number);

	for (size_t i = 0; rec && i < w->n_workers; i++)
		if (str_eq(str_from(w->workers[i].id), XDR_STR(rec->w, id)) &&
		    str_eq(str_from(w->workers[i].address), XDR_STR(rec->w, address)))
			return &w->workers[i];
	return NULL;
}

/* Whether another process answers at the address of a worker that has gone. */
static bool is_replaced(struct dag_world *w, uint32_t number)
{
	struct dag_worker_rec *rec = dag_state_find_worker(w->state, number);

	for (size_t i = 0; rec && i < w->n_workers; i++)
		if (w->workers[i].up && !w->workers[i].cut &&
		    str_eq(str_from(w->workers[i].address), XDR_STR(rec->w, address)))
			return !str_eq(str_from(w->workers[i].id), XDR_STR(rec->w, id));
	return false;
}

/*
 * Counts an end that holds a crash against a task for a run that no worker began, while
 * fewer than two are known to have crashed under it.
 */
static void check_crash(struct dag_world *w, const struct dag_end *e)
{
	const struct dag_job_rec *j = dag_state_find_job(w->state, e->task.job);
	const struct dag_task *t =
		j ? dag_job_find_task(j, e->task.occurrence, e->task.step, e->task.index)
		  : NULL;

	if (e->how != DAG_END_CRASHED && e->how != DAG_END_CRASHED_ALONE &&
	    e->how != DAG_END_SUSPECTED)
		return;
	if (t && t->crashes < 2 && e->run < 64 &&
	    !(task_of(w, &e->task)->begun >> e->run & 1))
		w->crashes_at_large++;
}

static int host_propose(struct dag_host *h, const struct dag_command *c)
{
	struct dag_world *w = (struct dag_world *)h;

	if (c->kind == DAG_CMD_END)
		check_crash(w, &c->dag_command_u.end);
	w->n_batch++;
	return codec_encode((xdrproc_t)xdr_dag_command, c, &w->batch);
}

/* Start of a worker's process; that of no process if it has gone under its id. */
static int64_t life_of(struct dag_world *w, uint32_t number)
{
	const struct dw_worker *dw = worker_of(w, number);

	return dw ? dw->born_ms : NO_LIFE;
}

/* Sends an order on its way, or loses it, or delays it without an answer. */
static struct dw_event *send_order(struct dag_world *w, enum dw_kind kind,
				   const struct dag_worker_call *call)
{
	uint32_t draw = (uint32_t)prng_below(&w->prng, 1000);
	uint32_t lost = kind == DW_LOOK ? 0 : w->lost_permille;
	uint32_t late = kind == DW_LOOK ? w->late_look_permille : w->late_permille;
	struct dw_event *e = add_event(w, kind, w->now_us + HOP_US);

	e->worker = call->worker;
	e->token = call->token;
	e->lease_ms = call->lease_ms;
	if (w->hold_us) {
		e->silent = true;
		e->at_us += w->hold_us;
	} else if (w->mute_starts && kind == DW_START) {
		e->silent = true;
	} else if (draw < lost) {
		e->answer = DAG_RESULT_UNKNOWN;
	} else if (draw < lost + late) {
		e->silent = true;
		e->at_us += LATE_MIN_US + (int64_t)prng_below(&w->prng, LATE_SPAN_US);
		/* It waits inside the worker's process. */
		if (!w->late_outlive)
			e->born_ms = life_of(w, call->worker);
	}
	return e;
}

static void add_timeout(struct dag_world *w, const struct dw_event *e)
{
	struct dw_event *t = add_event(w, DW_ANSWER, w->now_us + CALL_TIMEOUT_US);

	t->answers = e->kind;
	t->worker = e->worker;
	t->task = e->task;
	t->run = e->run;
	t->answer = DAG_RESULT_UNKNOWN;
}

static void order(struct dag_world *w, enum dw_kind kind,
		  const struct dag_worker_command *o)
{
	struct dw_event *e = send_order(w, kind, &o->call);

	e->task = o->task;
	e->run = o->run;
	e->percent = o->speed_percent;
	if (e->silent)
		add_timeout(w, e);
}

static void host_start(struct dag_host *h, const struct dag_worker_command *o)
{
	order((struct dag_world *)h, DW_START, o);
}

static void host_stop(struct dag_host *h, const struct dag_worker_command *o)
{
	order((struct dag_world *)h, DW_STOP, o);
}

static void host_pace(struct dag_host *h, const struct dag_worker_command *o)
{
	((struct dag_world *)h)->paces++;
	order((struct dag_world *)h, DW_PACE, o);
}

static void host_look(struct dag_host *h, const struct dag_poll_command *o)
{
	struct dag_world *w = (struct dag_world *)h;
	struct dw_event *e = send_order(w, DW_LOOK, &o->call);

	e->seen = o->acked_end;
	e->wait_ms = o->wait_ms;
	e->no_reply = o->no_reply;
	if (e->silent && !o->no_reply)
		add_timeout(w, e);
}

static void note_end(struct dag_world *w, const struct dag_task_ref *t, uint32_t run,
		     struct str worker, int64_t how)
{
	struct dw_noted_end *e = &w->noted[w->n_noted++ % DW_NOTED_ENDS];

	e->task = *t;
	e->run = run;
	e->how = how;
	snprintf(e->worker, sizeof(e->worker), "%.*s", STR_ARG(worker));
}

/* DAG_TRACE in the environment prints the scheduler's notes. */
static void host_note(struct dag_host *h, const char *event, const struct dag_task_ref *t,
		      uint32_t run, struct str worker, const char *reason, int64_t value)
{
	struct dag_world *w = (struct dag_world *)h;

	if (str_eq(str_from(event), STR("run-ended")))
		note_end(w, t, run, worker, value);
	if (getenv("DAG_TRACE"))
		printf("%9.3f %s %llx.%u.%u run %u on %.*s: %s %lld\n",
		       (double)w->now_us / 1e6, event, t ? (unsigned long long)t->job : 0,
		       t ? t->step : 0, t ? t->index : 0, run, STR_ARG(worker), reason,
		       (long long)value);
}

static void host_note_final(struct dag_host *h, const char *event,
			    const struct dag_task_ref *t, uint32_t run, struct str worker,
			    const char *reason, int64_t value)
{
	struct dag_world *w = (struct dag_world *)h;

	host_note(h, event, t, run, worker, reason, value);
	if (!str_eq(str_from(event), STR("task-given-up")))
		return;
	w->given_up.lines++;
	w->given_up.task = *t;
	w->given_up.value = value;
	snprintf(w->given_up.text, sizeof(w->given_up.text), "%s", reason);
}

static void host_note_org(struct dag_host *h, const char *event, struct str org,
			  const struct dag_task_ref *t, const char *reason, int64_t value)
{
	struct dag_world *w = (struct dag_world *)h;

	w->org_notes++;
	host_note(h, event, t, 1, org, reason, value);
}

static void host_rack_wait(struct dag_host *h, enum dag_wait_event event, int64_t us)
{
	(void)us;
	((struct dag_world *)h)->waits[event]++;
}

static const struct dag_host_ops host_ops = {
	.propose = host_propose,
	.start = host_start,
	.stop = host_stop,
	.throttle = host_pace,
	.poll = host_look,
	.log_event = host_note,
	.log_final = host_note_final,
	.log_org = host_note_org,
	.rack_wait = host_rack_wait,
};

static void new_leader(struct dag_world *w)
{
	struct dag_sched_options opt = {
		.host = &w->host,
		.state = w->state,
		.epoch = ++w->epoch,
		.lease_us = LEASE_US,
		.stop_us = STOP_US,
		.report_interval_us = REPORT_US,
		.status_retention_us = 3600 * 1000 * MS,
		.full_scan = w->full_scan,
		.admit_serving = w->admit_serving,
		.cross_rack_milli = w->told_milli,
		.fixed_wait_us = w->fixed_wait_us,
	};

	w->life++;
	dag_state_enter_epoch(w->state, w->epoch);
	if (w->before_lead)
		w->before_lead(w);
	ck_assert_int_eq(dag_sched_new(&opt, w->now_us, dw_wall_ms(w), &w->sched), 0);
	if (w->after_lead)
		w->after_lead(w);
}

/* Appends a command to the log entry of this step. */
static void propose(struct dag_world *w, const struct dag_command *c)
{
	ck_assert_int_eq(host_propose(&w->host, c), 0);
}

static void set_conf(struct dag_world *w, const struct dw_queue *queues, u_int n,
		     const char *service, bool guarded)
{
	struct dag_command c = {.kind = DAG_CMD_CONF};
	struct dag_queue list[DW_QUEUES];
	struct dag_service s = {.guarded = guarded};

	ck_assert_uint_le(n, DW_QUEUES);
	for (u_int i = 0; i < n; i++) {
		list[i] = (struct dag_queue){.timeout_ms = 1000,
					     .slo_ms = 1000,
					     .attempts = 2,
					     .stretch_milli = 2000};
		XDR_SET(list[i], name, str_from(queues[i].name));
		XDR_SET(list[i], host, STR("h"));
		XDR_SET(list[i], prefix, str_from(queues[i].prefix));
		XDR_SET(list[i], service, str_from(queues[i].service));
	}
	XDR_SET(s, name, str_from(service));
	c.dag_command_u.conf = (struct dag_conf){.revision = ++w->conf_revision};
	c.dag_command_u.conf.queues.queues_len = n;
	c.dag_command_u.conf.queues.queues_val = list;
	c.dag_command_u.conf.services.services_len = 1;
	c.dag_command_u.conf.services.services_val = &s;
	propose(w, &c);
}

void dw_set_queues(struct dag_world *w, const struct dw_queue *queues, u_int n)
{
	set_conf(w, queues, n, "svc", true);
}

void dw_set_guarded(struct dag_world *w, bool guarded)
{
	static const struct dw_queue queue = {"q", "/q/", "svc"};

	set_conf(w, &queue, 1, "svc", guarded);
}

void dw_name_service(struct dag_world *w, const char *service)
{
	set_conf(w, NULL, 0, service, true);
}

void dw_open(struct dag_world *w, uint64_t seed)
{
	memset(w, 0, sizeof(*w));
	w->host.ops = &host_ops;
	w->now_us = 1000 * MS;
	w->work_us = 500 * MS;
	w->queue = "q";
	w->commit_us = COMMIT_US;
	w->prng.state = seed;
	w->work_seed = seed;
	ck_assert_int_eq(dag_state_new(&w->state), 0);
	new_leader(w);
	dw_set_guarded(w, true);
}

void dw_close(struct dag_world *w)
{
	dag_sched_free(w->sched);
	dag_state_free(w->state);
	dag_state_free(w->follower);
	buf_free(&w->batch);
	for (size_t i = 0; i < w->n_events; i++)
		buf_free(&w->events[i].bytes);
}

void dw_add_follower(struct dag_world *w)
{
	ck_assert_int_eq(dag_state_new(&w->follower), 0);
}

/* The strings are those of dw. */
static struct dag_worker describe(const struct dw_worker *dw, int64_t born_ms,
				  const struct dw_room *room)
{
	struct dag_worker x = {
		.born_ms = born_ms,
		.cpu_milli = room->cpu,
		.mem_mb = room->mem,
		.gpus = room->gpus,
	};

	XDR_SET(x, id, str_from(dw->id));
	XDR_SET(x, address, str_from(dw->address));
	XDR_SET(x, service, STR("svc"));
	XDR_SET(x, zone, STR("z"));
	if (dw->rack) {
		x.labels.labels_len = 1;
		x.labels.labels_val = (struct dag_name *)(uintptr_t)&dw->label;
	}
	return x;
}

/* The first report of a worker's life. */
static void report(struct dag_world *w, const struct dw_worker *dw)
{
	struct dag_command c = {.kind = DAG_CMD_WORKER};

	c.dag_command_u.worker = describe(dw, dw->born_ms, &dw->room);
	propose(w, &c);
}

static void take_report(struct dag_world *w, const struct dw_event *e)
{
	struct dag_command c = {.kind = DAG_CMD_WORKER};
	struct dag_report r = {
		.worker = describe(&w->workers[e->worker], e->born_ms, &e->room),
		.clock_ms = e->clock_ms,
	};

	if (dag_sched_report(w->sched, &r, w->now_us, &c.dag_command_u.worker))
		propose(w, &c);
}

/* Returns the worker's place in the world's list. */
uint32_t dw_add_worker(struct dag_world *w, uint32_t cpu, uint32_t mem)
{
	struct dw_worker *dw = &w->workers[w->n_workers];

	ck_assert(w->n_workers < DW_WORKERS);
	*dw = (struct dw_worker){
		.up = true, .room = {.cpu = cpu, .mem = mem}, .next_end = 1};
	dw->born_ms = dw_wall_ms(w) - w->born_back_ms;
	snprintf(dw->id, sizeof(dw->id), "w%zu", w->n_workers);
	snprintf(dw->address, sizeof(dw->address), "w%zu", w->n_workers);
	report(w, dw);
	return (uint32_t)w->n_workers++;
}

void dw_set_room(struct dag_world *w, uint32_t number, const struct dw_room *room)
{
	struct dw_worker *dw = &w->workers[number];

	dw->past[dw->n_past++ % DW_ROOMS] = (struct dw_past_room){dw->room, w->now_us};
	dw->room = *room;
}

static int64_t clock_ms(const struct dag_world *w, const struct dw_worker *dw)
{
	int64_t ms = dw_wall_ms(w) - dw->born_ms;

	return 1 + (dw->slow_clock ? ms * 98 / 100 : ms);
}

void dw_report(struct dag_world *w, uint32_t number)
{
	const struct dw_worker *dw = &w->workers[number];
	struct dw_event e = {.worker = number,
			     .born_ms = dw->born_ms,
			     .room = dw->room,
			     .clock_ms = clock_ms(w, dw)};

	take_report(w, &e);
}

static void add_stopped(struct dw_worker *dw, const struct dag_task_ref *t, uint32_t run)
{
	if (dw->n_stopped < DW_ENDS)
		dw->stopped[dw->n_stopped++] = (struct dw_end){.task = *t, .run = run};
}

/* A run ends on its worker and is listed. */
static void end_run(struct dag_world *w, struct dw_worker *dw, struct dw_run *r,
		    enum dag_end_how how)
{
	struct dw_task *t = task_of(w, &r->task);

	r->used = false;
	t->alive--;
	if (how == DAG_END_DONE) {
		t->done++;
		t->done_us = w->now_us;
	}
	t->failed += how == DAG_END_FAILED;
	if (how == DAG_END_LAPSED)
		dw->lapsed_us = w->now_us;
	add_stopped(dw, &r->task, r->run);
	ck_assert(dw->n_ends < DW_ENDS);
	dw->ends[dw->n_ends++] =
		(struct dw_end){dw->next_end++, r->task, r->run, how, w->now_us};
	if (dw->look_at_us)
		dw->look_at_us = w->now_us;
}

static bool is_deadly(const struct dag_world *w, const struct dag_task_ref *t)
{
	return t->job >= w->deadly_job && t->job < w->deadly_job + w->deadly_jobs &&
	       t->index == w->deadly_index;
}

/* The other members of a gang end with one. */
static void break_gang(struct dag_world *w, const struct dw_run *lost)
{
	for (size_t i = 0; i < w->n_workers; i++)
		for (size_t k = 0; k < DW_RUNS; k++) {
			struct dw_run *r = &w->workers[i].runs[k];

			if (r->used && r != lost && r->run == lost->run &&
			    r->task.job == lost->task.job &&
			    r->task.step == lost->task.step)
				end_run(w, &w->workers[i], r, DAG_END_BROKEN);
		}
}

/* Everything on a worker is gone without a trace. */
static void kill_runs(struct dag_world *w, struct dw_worker *dw)
{
	for (size_t i = 0; i < DW_RUNS; i++) {
		struct dw_task *t;

		if (!dw->runs[i].used)
			continue;
		t = task_of(w, &dw->runs[i].task);
		t->alive--;
		if (++t->crashes == 3)
			t->starts_at_third = t->starts;
		dw->runs[i].used = false;
		if (dw->runs[i].gang)
			break_gang(w, &dw->runs[i]);
	}
}

void dw_crash_worker(struct dag_world *w, uint32_t number, bool restart)
{
	struct dw_worker *dw = &w->workers[number];

	if (dw->look_at_us) {
		int64_t after_us = dw->reset_us ? dw->reset_us : HOP_US;
		struct dw_event *e = add_event(w, DW_ANSWER, w->now_us + after_us);

		e->answers = DW_LOOK;
		e->worker = dw->look.call.worker;
		e->answer = DAG_RESULT_UNKNOWN;
		e->leader = dw->look_leader;
	}

	kill_runs(w, dw);
	dw->n_ends = 0;
	dw->n_stopped = 0;
	dw->next_end = 1;
	dw->fence = 0;
	dw->called = false;
	dw->lease_ms = 0;
	dw->look_at_us = 0;
	dw->up = restart;
	dw->refuses_until_us = dw->reset_us ? 0 : w->now_us + w->refuse_us;
	dw->born_ms = dw_wall_ms(w) - w->born_back_ms;
	if (restart && !dw->mute)
		report(w, dw);
}

void dw_restart_silently(struct dag_world *w, uint32_t number)
{
	w->workers[number].mute = true;
	w->workers[number].reset_us = CALL_TIMEOUT_US;
	dw_crash_worker(w, number, true);
}

void dw_crash_for(struct dag_world *w, uint32_t number, int64_t us, bool new_id)
{
	dw_crash_worker(w, number, false);
	w->workers[number].return_us = w->now_us + us;
	w->workers[number].new_id = new_id;
}

void dw_drain(struct dag_world *w, uint32_t record)
{
	struct dag_command c = {.kind = DAG_CMD_WORKER};

	c.dag_command_u.worker = dag_state_find_worker(w->state, record)->w;
	c.dag_command_u.worker.state = DAG_WORKER_DRAINING;
	ck_assert_int_eq(w->host.ops->propose(&w->host, &c), 0);
	dw_run_for(w, DRAIN_US);
}

void dw_announce_exit(struct dag_world *w, uint32_t record)
{
	int64_t since_us = w->now_us;

	dag_sched_worker_leaving(w->sched, record, w->now_us);
	while (!dag_sched_worker_left(w->sched, record) &&
	       w->now_us - since_us < ANNOUNCEMENT_TIMEOUT_US)
		dw_run_for(w, MS);
}

void dw_leave(struct dag_world *w, uint32_t number, uint32_t record)
{
	dw_drain(w, record);
	dw_announce_exit(w, record);
	dw_crash_worker(w, number, false);
}

void dw_leave_in_a_cut(struct dag_world *w, uint32_t number, uint32_t record,
		       int64_t cut_us, int64_t ends_us)
{
	int64_t cut_at_us;

	dw_drain(w, record);
	w->workers[number].cut = true;
	cut_at_us = w->now_us;
	dw_announce_exit(w, record);
	if (cut_us < ends_us) {
		dw_run_for(w, cut_at_us + cut_us - w->now_us);
		w->workers[number].cut = false;
	}
	dw_run_for(w, cut_at_us + ends_us - w->now_us);
	dw_crash_worker(w, number, false);
}

void dw_restart_before_a_late_start(struct dag_world *w, uint32_t number, int64_t us)
{
	dw_run_for(w, 1000 * MS);
	dw_submit_chain(w, 1, 1, 1);
	w->hold_us = 3000 * MS;
	dw_run_for(w, 40 * MS);
	w->hold_us = 0;
	dw_run_for(w, 2800 * MS);
	ck_assert_int_eq(dw_state(w, 1), DAG_JOB_COMPLETED);
	w->workers[number].quiet_until_us = w->now_us + 1000 * MS;
	dw_crash_for(w, number, us, false);
}

static void crash_and_return(struct dag_world *w)
{
	for (size_t i = 0; i < w->n_workers; i++) {
		struct dw_worker *dw = &w->workers[i];

		for (size_t k = 0; k < DW_RUNS && dw->up; k++)
			dw->crashing =
				dw->crashing ||
				(dw->runs[k].used && is_deadly(w, &dw->runs[k].task) &&
				 w->now_us - dw->runs[k].start_us >= w->crash_delay_us);
		if (dw->crashing) {
			dw->crashing = false;
			w->crashes++;
			dw_crash_for(w, (uint32_t)i, w->crash_return_us, w->crash_new_id);
		}
		if (dw->up || !dw->return_us || w->now_us < dw->return_us)
			continue;
		dw->return_us = 0;
		dw->up = true;
		dw->born_ms = dw_wall_ms(w) - w->born_back_ms;
		if (dw->new_id)
			snprintf(dw->id, sizeof(dw->id), "%s-%u", dw->address,
				 ++dw->lives);
		if (!dw->mute)
			report(w, dw);
	}
}

static struct dw_run *find_run(struct dw_worker *dw, const struct dag_task_ref *t,
			       uint32_t run)
{
	for (size_t i = 0; i < DW_RUNS; i++)
		if (dw->runs[i].used && dw->runs[i].run == run &&
		    same_ref(&dw->runs[i].task, t))
			return &dw->runs[i];
	return NULL;
}

static bool is_old(const struct dw_worker *dw, const struct dag_task_ref *t, uint32_t run)
{
	for (size_t i = 0; i < dw->n_stopped; i++)
		if (same_ref(&dw->stopped[i].task, t) && dw->stopped[i].run >= run)
			return true;
	return false;
}

static struct dw_room room_used(const struct dw_worker *dw)
{
	struct dw_room used = {0};

	for (size_t i = 0; i < DW_RUNS; i++) {
		const struct dw_run *r = &dw->runs[i];

		if (!r->used)
			continue;
		used.cpu += r->filler ? 0 : r->uses.cpu;
		used.mem += r->uses.mem;
		used.gpus += r->uses.gpus;
	}
	return used;
}

static bool fits(const struct dw_worker *dw, const struct dw_room *room,
		 const struct dag_step *st)
{
	struct dw_room used = room_used(dw);

	return used.cpu + (st->filler ? 0 : st->cpu_milli) <= room->cpu &&
	       used.mem + st->mem_mb <= room->mem && used.gpus + st->gpus <= room->gpus;
}

static void take_larger(struct dw_room *room, const struct dw_room *other)
{
	room->cpu = other->cpu > room->cpu ? other->cpu : room->cpu;
	room->mem = other->mem > room->mem ? other->mem : room->mem;
	room->gpus = other->gpus > room->gpus ? other->gpus : room->gpus;
}

/* The largest room that a start that was sent at a time may still count on. */
static struct dw_room room_at(const struct dw_worker *dw, int64_t sent_us)
{
	struct dw_room room = dw->room;

	for (size_t i = 0; i < DW_ROOMS && i < dw->n_past; i++)
		if (dw->past[i].until_us > sent_us - SHRINK_US)
			take_larger(&room, &dw->past[i].room);
	return room;
}

/* A start that is carried out late is judged by the room at its sending. */
static void check_room(struct dag_world *w, const struct dw_worker *dw,
		       const struct dw_event *e, const struct dag_step *st)
{
	struct dw_room room = room_at(dw, e->silent ? e->sent_us : w->now_us);

	if (!fits(dw, &room, st))
		violate(w, "job %llx step %u task %u brings %s over its room",
			(unsigned long long)e->task.job, e->task.step, e->task.index,
			dw->id);
}

static void check_start(struct dag_world *w, const struct dag_job_rec *j,
			const struct dw_worker *dw, const struct dw_event *e)
{
	const struct dag_task_ref *t = &e->task;
	struct dw_task *k = task_of(w, t);
	const struct dag_step *st = &j->spec.steps.steps_val[t->step];

	if (k->alive && !st->speculative)
		violate(w, "job %llx step %u task %u runs twice",
			(unsigned long long)t->job, t->step, t->index);
	if (dag_job_find_task(j, t->occurrence, t->step, t->index)->done &&
	    w->now_us - k->done_us > 1000 * MS && !st->long_running)
		violate(w, "job %llx step %u task %u starts after it was done",
			(unsigned long long)t->job, t->step, t->index);
	if (k->noted && !st->speculative)
		violate(w, "job %llx step %u task %u starts after a known end",
			(unsigned long long)t->job, t->step, t->index);
	if (k->failed >= j->attempts && !st->long_running)
		violate(w, "job %llx step %u task %u starts after all attempts",
			(unsigned long long)t->job, t->step, t->index);
	for (u_int d = 0; d < st->depends_on.depends_on_len; d++) {
		u_int before = st->depends_on.depends_on_val[d];

		for (u_int i = 0; i < j->spec.steps.steps_val[before].count; i++) {
			struct dag_task_ref ref = {t->job, t->occurrence, before, i};

			if (!task_of(w, &ref)->done)
				violate(w, "job %llx step %u starts before step %u",
					(unsigned long long)t->job, t->step, before);
		}
	}
	check_room(w, dw, e, st);
	k->starts++;
	if (is_deadly(w, t) && k->crashes >= 3 && k->starts >= k->starts_at_third + 3)
		violate(w,
			"%.3f: job %llx step %u task %u starts three times more after it "
			"has "
			"crashed three workers",
			(double)w->now_us / 1e6, (unsigned long long)t->job, t->step,
			t->index);
	k->start_us = w->now_us;
	if (e->run < 64)
		k->begun |= 1ULL << e->run;
	w->starts++;
}

static struct dw_run *free_run(struct dw_worker *dw)
{
	for (size_t i = 0; i < DW_RUNS; i++)
		if (!dw->runs[i].used)
			return &dw->runs[i];
	ck_abort_msg("a worker has too many runs");
	return NULL;
}

static void count_filler_start(struct dag_world *w, const struct dw_worker *dw,
			       const struct dw_run *filler)
{
	bool disturbs = false;

	if (!filler->filler || !filler->image)
		return;
	for (size_t i = 0; i < DW_RUNS; i++)
		disturbs = disturbs || (dw->runs[i].used && dw->runs[i].lasting &&
					dw->runs[i].image == filler->image);
	w->filler_starts++;
	w->disturbing_starts += disturbs;
}

/* Run time of a batch task, the same whenever and wherever it starts in its rack. */
static int64_t work_of(const struct dag_world *w, const struct dw_worker *dw,
		       const struct dag_task_ref *t, const struct dag_step *st)
{
	struct prng p = {.state = w->work_seed ^
				  (t->job << 20 | t->step << 10 | t->index)};
	int64_t us = w->work_us;

	if (!w->cross_rack_milli)
		return us;
	us = (int64_t)st->estimate_ms * (700 + (int64_t)prng_below(&p, 600));
	if (prng_below(&p, 1000) < w->long_permille)
		us *= LONG_RUN;
	if (st->data_rack.data_rack_len &&
	    !(dw->rack && str_eq(str_from(dw->rack), XDR_STR(*st, data_rack))))
		us = us * w->cross_rack_milli / 1000;
	return us;
}

static enum dag_call_result do_start(struct dag_world *w, struct dw_worker *dw,
				     const struct dw_event *e)
{
	const struct dag_job_rec *j = dag_state_find_job(w->state, e->task.job);
	const struct dag_step *st = &j->spec.steps.steps_val[e->task.step];
	struct dw_run *r;

	if (find_run(dw, &e->task, e->run))
		return DAG_RESULT_OK;
	if (is_old(dw, &e->task, e->run))
		return DAG_RESULT_RUN_ENDED;
	if (e->lease_ms <= clock_ms(w, dw))
		return DAG_RESULT_LEASE_EXPIRED;
	if (!dw->unguarded && !fits(dw, &dw->room, st)) {
		w->refusals++;
		return DAG_RESULT_NO_CAPACITY;
	}
	if (e->lease_ms > dw->lease_ms)
		dw->lease_ms = e->lease_ms;
	check_start(w, j, dw, e);
	w->starts_hash = w->starts_hash * 1099511628211ULL ^ e->task.job ^
			 (uint64_t)e->task.index << 20 ^ (uint64_t)e->worker << 40;
	r = free_run(dw);
	*r = (struct dw_run){
		.used = true,
		.task = e->task,
		.run = e->run,
		.uses = {st->cpu_milli, st->mem_mb, st->gpus},
		.filler = st->filler,
		.lasting = st->long_running,
		.gang = st->gang,
		.start_us = w->now_us,
		.work_us = work_of(w, dw, &e->task, st),
		.pace = 100,
	};
	r->left_us = r->work_us;
	if (st->image.image_len)
		r->image = st->image.image_val[st->image.image_len - 1];
	count_filler_start(w, dw, r);
	task_of(w, &e->task)->alive++;
	return DAG_RESULT_OK;
}

static enum dag_call_result do_stop(struct dag_world *w, struct dw_worker *dw,
				    const struct dw_event *e)
{
	struct dw_run *r = find_run(dw, &e->task, e->run);

	if (!r)
		add_stopped(dw, &e->task, e->run);
	else if (!r->stop_us)
		r->stop_us = w->now_us + STOP_US;
	return DAG_RESULT_OK;
}

static void answer(struct dag_world *w, const struct dw_event *e, enum dag_call_result a)
{
	struct dw_event *r = add_event(w, DW_ANSWER, w->now_us + HOP_US);

	r->answers = e->kind;
	r->worker = e->worker;
	r->task = e->task;
	r->run = e->run;
	r->answer = a;
	r->leader = e->leader;
}

static void do_order(struct dag_world *w, struct dw_event e)
{
	struct dw_worker *dw = worker_of(w, e.worker);
	enum dag_call_result a = DAG_RESULT_OK;
	bool lost = !dw || !dw->up || dw->cut ||
		    (e.answer == DAG_RESULT_UNKNOWN && !e.silent);

	if (!dw && is_replaced(w, e.worker)) {
		answer(w, &e, DAG_RESULT_RESTARTED);
		return;
	}
	if (lost) {
		add_timeout(w, &e);
		w->events[w->n_events - 1].leader = e.leader;
		return;
	}
	if (e.silent && e.born_ms && e.born_ms != dw->born_ms)
		return;
	if (e.silent && w->late_fenced && !dw->called)
		return;
	dw->called = dw->called || !e.silent;
	if (e.token < dw->fence)
		a = DAG_RESULT_FENCED;
	else
		dw->fence = e.token;
	if (a == DAG_RESULT_OK && e.kind == DW_START && dw->refuses)
		a = DAG_RESULT_UNHEALTHY;
	else if (a == DAG_RESULT_OK && e.kind == DW_START)
		a = do_start(w, dw, &e);
	else if (a == DAG_RESULT_OK && e.kind == DW_STOP)
		a = do_stop(w, dw, &e);
	else if (a == DAG_RESULT_OK && find_run(dw, &e.task, e.run))
		find_run(dw, &e.task, e.run)->pace = e.percent;
	if (!e.silent)
		answer(w, &e, a);
}

/* An end that is acknowledged stands: its task may not have started again after it. */
static void check_seen(struct dag_world *w, const struct dw_worker *dw,
		       const struct dw_end *end)
{
	const struct dag_job_rec *j = dag_state_find_job(w->state, end->task.job);
	struct dw_task *k = task_of(w, &end->task);

	if (end->how != DAG_END_DONE || dw->lapsed_us > end->at_us)
		return;
	k->noted = true;
	if (j && k->start_us > end->at_us &&
	    !j->spec.steps.steps_val[end->task.step].speculative)
		violate(w, "job %llx step %u task %u started again after a known end",
			(unsigned long long)end->task.job, end->task.step,
			end->task.index);
}

/* A look takes the lease and the seen ends at once. Returns the number of other ends. */
static size_t take_look(struct dag_world *w, struct dw_worker *dw,
			const struct dw_event *e)
{
	size_t n = 0;

	dw->fence = e->token;
	dw->seen = e->seen;
	if (e->lease_ms > dw->lease_ms)
		dw->lease_ms = e->lease_ms;
	for (size_t i = 0; i < dw->n_ends; i++) {
		if (dw->ends[i].number > e->seen)
			dw->ends[n++] = dw->ends[i];
		else
			check_seen(w, dw, &dw->ends[i]);
	}
	dw->n_ends = n;
	return n;
}

/* A look that came late or that asks for no reply has effect all the same. */
static void late_look(struct dag_world *w, const struct dw_event *e)
{
	struct dw_worker *dw = worker_of(w, e->worker);

	if (!dw || !dw->up || dw->cut || e->token < dw->fence)
		return;
	if (e->born_ms && e->born_ms != dw->born_ms)
		return;
	dw->called = dw->called || !e->silent;
	take_look(w, dw, e);
}

/* The answer to a look may wait for an end. */
static void begin_look(struct dag_world *w, struct dw_event e)
{
	struct dw_worker *dw = worker_of(w, e.worker);
	size_t n;

	if (e.silent || e.no_reply) {
		late_look(w, &e);
		return;
	}
	if (!dw && is_replaced(w, e.worker)) {
		answer(w, &e, DAG_RESULT_RESTARTED);
		return;
	}
	if (dw && ((!dw->up && !dw->cut && w->now_us < dw->refuses_until_us) ||
		   (dw->cut && w->cut_refuses))) {
		answer(w, &e, DAG_RESULT_REFUSED);
		return;
	}
	if (!dw || !dw->up || dw->cut) {
		add_timeout(w, &e);
		w->events[w->n_events - 1].leader = e.leader;
		return;
	}
	if (e.token < dw->fence) {
		answer(w, &e, DAG_RESULT_FENCED);
		return;
	}
	n = take_look(w, dw, &e);
	dw->called = true;
	dw->looks++;
	dw->look.call.worker = e.worker;
	dw->look_leader = e.leader;
	dw->look_at_us = w->now_us + (n ? 0 : (int64_t)e.wait_ms * MS);
	if (!dw->look_at_us)
		dw->look_at_us = w->now_us;
}

static void finish_look(struct dag_world *w, struct dw_worker *dw)
{
	struct dag_listed_run runs[DW_RUNS];
	struct dag_listed_end ends[DW_ENDS];
	struct dag_poll_reply look = {.running = runs, .ended = ends};

	dw->look_at_us = 0;
	if (dw->look_leader != w->life)
		return;
	if (dw->cut) {
		struct dw_event e = {.kind = DW_LOOK, .worker = dw->look.call.worker};

		add_timeout(w, &e);
		return;
	}
	look.born_ms = dw->born_ms;
	look.clock_ms = clock_ms(w, dw);
	for (size_t i = 0; i < DW_RUNS; i++) {
		const struct dw_run *r = &dw->runs[i];

		if (!r->used)
			continue;
		runs[look.n_running++] = (struct dag_listed_run){
			.task = r->task,
			.run = r->run,
			.percent = r->lasting ? 100
					      : (int32_t)(100 -
							  r->left_us * 100 / r->work_us),
			.level = r->image && r->lasting ? (int32_t)r->tail_ms
				 : r->lasting		? dw->tail_ms
					      : (int32_t)(r->uses.cpu * r->pace / 100),
		};
	}
	look.partial = w->list_max && dw->n_ends >= w->list_max;
	for (size_t i = 0; i < dw->n_ends && !(w->list_max && i >= w->list_max); i++)
		ends[look.n_ended++] = (struct dag_listed_end){
			.number = dw->ends[i].number,
			.task = dw->ends[i].task,
			.run = dw->ends[i].run,
			.how = dw->ends[i].how,
		};
	dag_sched_poll_replied(w->sched, dw->look.call.worker, DAG_RESULT_OK, &look,
			       w->now_us);
}

static void take_answer(struct dag_world *w, const struct dw_event *e)
{
	struct dw_worker *dw = worker_of(w, e->worker);
	bool lost = dw && dw->cut && e->answer != DAG_RESULT_REFUSED;
	enum dag_call_result a = lost ? DAG_RESULT_UNKNOWN : e->answer;

	if (e->leader != w->life)
		return;
	if (e->answers == DW_START)
		dag_sched_start_replied(w->sched, e->worker, &e->task, e->run, a,
					w->now_us);
	else if (e->answers == DW_STOP)
		dag_sched_stop_replied(w->sched, e->worker, &e->task, e->run, a,
				       w->now_us);
	else if (e->answers == DW_LOOK)
		dag_sched_poll_replied(w->sched, e->worker, a, NULL, w->now_us);
}

static void commit(struct dag_world *w, struct str bytes)
{
	if (w->follower) {
		w->follower->clock_us = w->now_us;
		dag_state_enter_epoch(w->follower, w->epoch);
		ck_assert_int_eq(dag_state_apply(w->follower, bytes), 0);
	}
	w->state->clock_us = w->now_us;
	dag_state_enter_epoch(w->state, w->epoch);
	ck_assert_int_eq(dag_state_apply(w->state, bytes), 0);
}

static void handle(struct dag_world *w, struct dw_event e)
{
	switch (e.kind) {
	case DW_COMMIT:
		commit(w, buf_str(&e.bytes));
		break;
	case DW_LOOK:
		begin_look(w, e);
		break;
	case DW_ANSWER:
		take_answer(w, &e);
		break;
	case DW_REPORT:
		take_report(w, &e);
		break;
	default:
		do_order(w, e);
		break;
	}
	buf_free(&e.bytes);
}

static void due_events(struct dag_world *w)
{
	for (;;) {
		struct dw_event *next = NULL;
		struct dw_event e;

		for (size_t i = 0; i < w->n_events; i++) {
			struct dw_event *c = &w->events[i];

			if (c->at_us <= w->now_us &&
			    (!next || c->at_us < next->at_us ||
			     (c->at_us == next->at_us && c->seq < next->seq)))
				next = c;
		}
		if (!next)
			return;
		e = *next;
		*next = w->events[--w->n_events];
		handle(w, e);
	}
}

/* Load of a serving task with the fillers of its worker. */
static double serving_load(const struct dag_world *w, const struct dw_worker *dw,
			   const struct dw_run *serving)
{
	double phase = (double)serving->task.job;
	double load = OWN_LOAD +
		      OWN_SWING * sin(2 * M_PI * (double)w->now_us / SWING_US + phase);

	for (size_t i = 0; i < DW_RUNS; i++) {
		const struct dw_run *r = &dw->runs[i];
		uint32_t cpu = r->uses.cpu > dw->room.cpu ? r->uses.cpu : dw->room.cpu;
		double share = (double)r->uses.cpu * r->pace / 100 / cpu;

		if (r->used && r->filler)
			load += share *
				(r->image == serving->image ? SLOPE_ALIKE : SLOPE_OTHER);
	}
	return load < LOAD_LIMIT ? load : LOAD_LIMIT;
}

/* Advances the tails of a worker's serving tasks by one step of time. */
static void serve(struct dag_world *w, struct dw_worker *dw)
{
	for (size_t i = 0; i < DW_RUNS; i++) {
		struct dw_run *r = &dw->runs[i];
		double tail_ms;

		if (!r->used || !r->lasting || !r->image)
			continue;
		tail_ms = TAIL_BASE_MS / (1 - serving_load(w, dw, r));
		if (!r->tail_ms)
			r->tail_ms = tail_ms;
		r->tail_ms += (tail_ms - r->tail_ms) * STEP_US / TAIL_SMOOTHING_US;
		w->served_us += STEP_US;
		if (r->tail_ms > DW_TARGET_MS)
			w->over_target_us += STEP_US;
	}
}

static void work(struct dag_world *w, struct dw_worker *dw)
{
	if (!dw->up)
		return;
	serve(w, dw);
	for (size_t i = 0; i < DW_RUNS; i++) {
		struct dw_run *r = &dw->runs[i];

		if (!r->used)
			continue;
		if (dw->lease_ms <= clock_ms(w, dw)) {
			end_run(w, dw, r, DAG_END_LAPSED);
			continue;
		}
		if (r->stop_us && w->now_us >= r->stop_us) {
			end_run(w, dw, r, DAG_END_STOPPED);
			continue;
		}
		if (dw->fails) {
			end_run(w, dw, r, DAG_END_FAILED);
			continue;
		}
		if (r->lasting || dw->stands)
			continue;
		r->left_us -= STEP_US * r->pace / 100;
		if (r->left_us <= 0)
			end_run(w, dw, r, DAG_END_DONE);
	}
	if (dw->look_at_us && w->now_us >= dw->look_at_us &&
	    w->now_us >= dw->quiet_until_us)
		finish_look(w, dw);
}

/* Sends a worker's report on its way, or delays it in the network. */
static void send_report(struct dag_world *w, uint32_t number)
{
	const struct dw_worker *dw = &w->workers[number];
	struct dw_event *e = add_event(w, DW_REPORT, w->now_us + HOP_US);

	e->worker = number;
	e->born_ms = dw->born_ms;
	e->clock_ms = clock_ms(w, dw);
	e->room = dw->room;
	if (w->late_report_permille &&
	    prng_below(&w->prng, 1000) < w->late_report_permille)
		e->at_us += LATE_MIN_US + (int64_t)prng_below(&w->prng, LATE_SPAN_US);
}

static void reports(struct dag_world *w)
{
	if (w->now_us % REPORT_US >= STEP_US)
		return;
	for (uint32_t i = 0; i < w->n_workers; i++) {
		const struct dw_worker *dw = &w->workers[i];
		const struct dag_worker_rec *rec =
			dag_state_find_worker_by_id(w->state, str_from(dw->id));

		if (rec && rec->w.state != DAG_WORKER_GONE && dw->up && !dw->cut &&
		    !dw->mute)
			send_report(w, i);
	}
}

/* Makes the commands of this step one log entry. */
static void flush(struct dag_world *w)
{
	struct dw_event *e;
	unsigned char head[12] = {0};

	if (!w->n_batch)
		return;
	e = add_event(w, DW_COMMIT, w->now_us + w->commit_us);
	for (int i = 0; i < 8; i++)
		head[i] = (unsigned char)((uint64_t)dw_wall_ms(w) >> (56 - 8 * i));
	for (int i = 0; i < 4; i++)
		head[8 + i] = (unsigned char)(w->n_batch >> (24 - 8 * i));
	ck_assert_int_eq(buf_add(&e->bytes, head, sizeof(head)), 0);
	ck_assert_int_eq(buf_add(&e->bytes, w->batch.p, w->batch.n), 0);
	w->batch.n = 0;
	w->n_batch = 0;
}

void dw_run_for(struct dag_world *w, int64_t us)
{
	int64_t end = w->now_us + us;

	while (w->now_us < end && !w->violation[0]) {
		w->now_us += STEP_US;
		due_events(w);
		crash_and_return(w);
		for (size_t i = 0; i < w->n_workers; i++)
			work(w, &w->workers[i]);
		reports(w);
		dag_sched_tick(w->sched, w->now_us, dw_wall_ms(w));
		dag_sched_place(w->sched, w->now_us);
		flush(w);
	}
}

void dw_submit(struct dag_world *w, const struct dag_job *job)
{
	struct dag_command c = {.kind = DAG_CMD_SUBMIT};

	c.dag_command_u.job = *job;
	c.dag_command_u.job.accepted_ms = dw_wall_ms(w);
	XDR_SET(c.dag_command_u.job, queue, str_from(w->queue));
	propose(w, &c);
}

void dw_submit_chain(struct dag_world *w, uint64_t id, uint32_t steps, uint32_t count)
{
	struct dag_step st[8] = {{0}};
	u_int before[8];
	struct dag_job job = {.id = id};

	ck_assert(steps <= 8);
	for (uint32_t i = 0; i < steps; i++) {
		st[i].count = count;
		st[i].cpu_milli = 1000;
		st[i].mem_mb = 100;
		st[i].estimate_ms = 500;
		if (i == 0)
			continue;
		before[i] = i - 1;
		st[i].depends_on.depends_on_len = 1;
		st[i].depends_on.depends_on_val = &before[i];
	}
	job.steps.steps_len = steps;
	job.steps.steps_val = st;
	dw_submit(w, &job);
}

void dw_submit_step(struct dag_world *w, uint64_t id, const struct dag_step *step)
{
	struct dag_step copy = *step;
	struct dag_job job = {.id = id};

	job.steps.steps_len = 1;
	job.steps.steps_val = &copy;
	dw_submit(w, &job);
}

void dw_submit_lasting(struct dag_world *w, uint64_t id, uint32_t count)
{
	struct dag_step st = {.count = count,
			      .cpu_milli = 1000,
			      .mem_mb = 100,
			      .long_running = true,
			      .target_ms = 50};

	dw_submit_step(w, id, &st);
}

void dw_cancel(struct dag_world *w, uint64_t id)
{
	struct dag_command c = {.kind = DAG_CMD_CANCEL};

	c.dag_command_u.cancel = id;
	propose(w, &c);
}

void dw_withdraw(struct dag_world *w, uint64_t id, struct str queue)
{
	struct dag_command c = {.kind = DAG_CMD_WITHDRAW};

	c.dag_command_u.withdrawal.job = id;
	XDR_SET(c.dag_command_u.withdrawal, queue, queue);
	propose(w, &c);
}

bool dw_is_withdrawn(const struct dag_state *s, uint64_t id, struct str queue)
{
	struct dag_queue_key key;

	dag_state_resolve_queue(s, queue, &key);
	return dag_state_is_withdrawn(s, id, &key, NULL);
}

uint32_t dw_count_waiting(const struct dag_state *s, struct str queue)
{
	struct dag_queue_key key;

	dag_state_resolve_queue(s, queue, &key);
	return dag_state_count_waiting(s, &key);
}

void dw_close_zone(struct dag_world *w, bool closed)
{
	struct dag_command c = {.kind = DAG_CMD_ZONE};

	XDR_SET(c.dag_command_u.zone, name, STR("z"));
	c.dag_command_u.zone.closed = closed;
	propose(w, &c);
}

static struct dw_event *first_commit(struct dag_world *w)
{
	struct dw_event *first = NULL;

	for (size_t i = 0; i < w->n_events; i++)
		if (w->events[i].kind == DW_COMMIT &&
		    (!first || w->events[i].seq < first->seq))
			first = &w->events[i];
	return first;
}

/*
 * The leader is lost. Of what it proposed and did not commit, the next leader has a
 * part from the start.
 */
void dw_lead(struct dag_world *w)
{
	new_leader(w);
}

void dw_change_leader(struct dag_world *w)
{
	struct dag_state *next = w->follower;
	bool lost = false;
	struct dw_event *c;

	dag_sched_free(w->sched);
	w->sched = NULL;
	if (next) {
		w->follower = w->state;
		w->state = next;
	}
	w->batch.n = 0;
	w->n_batch = 0;
	while ((c = first_commit(w))) {
		struct dw_event e = *c;

		*c = w->events[--w->n_events];
		lost = lost || prng_below(&w->prng, 2);
		if (lost)
			buf_free(&e.bytes);
		else
			handle(w, e);
	}
	new_leader(w);
}

struct dag_state *dw_copy_of_state(const struct dag_world *w)
{
	struct dag_state *copy;
	struct buf image = {0};
	struct buf again = {0};

	ck_assert_int_eq(dag_state_snapshot(w->state, &image), 0);
	ck_assert_int_eq(dag_state_new(&copy), 0);
	ck_assert_int_eq(dag_state_restore(copy, buf_str(&image)), 0);
	ck_assert_int_eq(dag_state_snapshot(copy, &again), 0);
	ck_assert(str_eq(buf_str(&image), buf_str(&again)));
	buf_free(&image);
	buf_free(&again);
	return copy;
}

enum dag_job_state dw_state(struct dag_world *w, uint64_t id)
{
	const struct dag_job_rec *j = dag_state_find_job(w->state, id);

	ck_assert_ptr_nonnull(j);
	return j->state;
}

/* Runs of a job on workers that are up. */
uint32_t dw_alive(struct dag_world *w, uint64_t id)
{
	uint32_t n = 0;

	for (size_t i = 0; i < w->n_tasks; i++)
		if (w->tasks[i].task.job == id)
			n += w->tasks[i].alive;
	return n;
}

void dw_add_rack(struct dag_world *w, const char *rack, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		struct dw_worker *dw = &w->workers[dw_add_worker(w, 8000, 8000)];

		dw->rack = rack;
		XDR_SET(dw->label, text, str_from(rack));
		report(w, dw);
	}
}

void dw_add_workers(struct dag_world *w, size_t n)
{
	for (size_t i = 0; i < n; i++)
		dw_add_worker(w, 8000, 8000);
}

void dw_assert_sound(const struct dag_world *w)
{
	ck_assert_msg(!w->violation[0], "%s", w->violation);
}
