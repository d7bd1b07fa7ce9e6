/* Contact with one worker: looks at its lists, its lease, its health. */
#include <stdlib.h>

#include "base/err.h"
#include "core/dag_sched_impl.h"
#include "proto/codec.h"

/* Wait that a look asks for: less while serving tasks and fillers meet. */
#define LOOK_WAIT_MS 1000U
#define LOOK_WAIT_PACED_MS 400U
/* From so many workers on, lists are read less often. */
#define LARGE_FLEET 200U
/* A new leader of a large fleet reads the first lists in the course of this time. */
#define FIRST_LOOKS_US (600 * MS)
#define LOOK_RETRY_US (400 * MS)
/* A worker that said that it ends and then does not answer has ended. */
#define LEFT_US (1 * SEC)
#define LOOK_GAP_US (20 * MS) /* ends that come together are read together */
/* A worker that was not heard for this many report periods gets nothing new. */
#define SILENT_REPORTS_HALF 5 /* in halves of a period */
/* A worker's clock may be 2 % slow. */
#define SLOW_CLOCK_PERCENT 103
#define LAPSE_MARGIN_US (150 * MS)
/* Failures in a row that put a worker aside, and for how long. */
#define FAIL_STREAK_MAX 2U
#define FAIL_PAUSE_US (5 * SEC)
/* A worker lists 500 ends at most, so that ends which are held for long hide later ones.
 */
#define HELD_ENDS_MAX 300U
/* A batch task without progress for this long is moved. */
#define STALL_US (2 * SEC)

static bool reserve(struct dag_sched *s)
{
	struct ds_worker **list;
	size_t cap = s->cap_workers ? 2 * s->cap_workers : 64;

	if (s->n_workers < s->cap_workers)
		return true;
	list = realloc(s->workers, cap * sizeof(struct ds_worker *));
	if (!list)
		return false;
	s->workers = list;
	s->cap_workers = cap;
	return true;
}

/* Adds the leader's view of a worker; NULL without memory. */
struct ds_worker *ds_worker_new(struct dag_sched *s, struct dag_worker_rec *rec)
{
	struct ds_worker *w = reserve(s) ? calloc(1, sizeof(*w)) : NULL;

	if (!w) {
		s->err = CF_ENOMEM;
		return NULL;
	}
	TAILQ_INIT(&w->runs);
	w->rec = rec;
	rec->sched = w;
	/* An earlier leader may have given a whole lease just now. */
	w->lapse_us =
		s->now_us + s->opt.lease_us * SLOW_CLOCK_PERCENT / 100 + LAPSE_MARGIN_US;
	w->look_at_us = s->now_us;
	s->workers[s->n_workers++] = w;
	ds_worker_refresh(s, w);
	return w;
}

/*
 * Spreads a new leader's first looks. It hears of the gateways that make its calls one
 * after the other, and the first would have to make them all.
 */
void ds_workers_spread(struct dag_sched *s)
{
	if (s->n_workers < LARGE_FLEET)
		return;
	for (size_t i = 0; i < s->n_workers; i++)
		s->workers[i]->look_at_us =
			s->now_us + FIRST_LOOKS_US * (int64_t)i / (int64_t)s->n_workers;
}

void ds_worker_free(struct dag_sched *s, struct ds_worker *w)
{
	struct ds_run *r;

	while ((r = TAILQ_FIRST(&w->runs))) {
		struct ds_job *j = r->job;

		ds_run_free(s, r);
		ds_job_refresh(s, j);
	}
	for (size_t i = 0; i < s->n_workers; i++)
		if (s->workers[i] == w)
			s->workers[i] = s->workers[--s->n_workers];
	w->rec->sched = NULL;
	free(w);
}

/* Takes over what the state says of a worker and its availability zone. */
void ds_worker_refresh(struct dag_sched *s, struct ds_worker *w)
{
	w->service_ok = w->rec->w.state == DAG_WORKER_READY &&
			!dag_state_zone_closed(s->state, XDR_STR(w->rec->w, zone));
	s->place_again = true;
}

bool ds_worker_has_label(const struct ds_worker *w, struct str label)
{
	for (u_int i = 0; i < w->rec->w.labels.labels_len; i++)
		if (str_eq(XDR_STR(w->rec->w.labels.labels_val[i], text), label))
			return true;
	return false;
}

/* Whether a worker may get new runs now. */
bool ds_worker_usable(const struct dag_sched *s, const struct ds_worker *w)
{
	return w->service_ok && w->clock_known && !w->left_us && !w->look_failures &&
	       s->now_us >= w->avoid_until_us &&
	       s->now_us - w->heard_us < s->opt.report_us * SILENT_REPORTS_HALF / 2;
}

void ds_worker_call(const struct dag_sched *s, const struct ds_worker *w,
		    struct dag_worker_call *call)
{
	*call = (struct dag_worker_call){
		.worker = w->rec->number,
		.id = XDR_STR(w->rec->w, id),
		.address = XDR_STR(w->rec->w, address),
		.epoch = s->opt.epoch,
	};
}

/* Grants a whole lease from now on and returns its end on the worker's clock. */
int64_t ds_worker_lease(struct dag_sched *s, struct ds_worker *w)
{
	int64_t end_ms;
	int64_t lapse;

	if (!w->clock_known)
		return 0;
	end_ms = w->clock_ms + (s->now_us - w->clock_us + s->opt.lease_us) / MS;
	lapse = w->clock_us + (end_ms - w->clock_ms) * MS * SLOW_CLOCK_PERCENT / 100 +
		LAPSE_MARGIN_US;
	if (lapse > w->lapse_us)
		w->lapse_us = lapse;
	return end_ms;
}

/* The leader's view of a worker of the state; NULL: there is none. */
static struct ds_worker *find(const struct dag_sched *s, uint32_t number)
{
	const struct dag_worker_rec *rec = dag_state_worker(s->state, number);

	return rec ? rec->sched : NULL;
}

static void hear(struct ds_worker *w, int64_t clock_ms, int64_t now_us)
{
	w->heard_us = now_us;
	if (clock_ms <= 0)
		return;
	w->clock_known = true;
	w->clock_ms = clock_ms;
	w->clock_us = now_us;
}

/* A report came, directly or through another controller. */
void dag_sched_reported(struct dag_sched *s, uint32_t worker, int64_t now_us)
{
	struct ds_worker *w = find(s, worker);

	s->now_us = now_us;
	if (!w)
		return;
	if (now_us - w->heard_us >= s->opt.report_us * SILENT_REPORTS_HALF / 2)
		s->place_again = true;
	w->heard_us = now_us;
}

/* The worker said that it ends; it gets nothing new. */
void dag_sched_leaving(struct dag_sched *s, uint32_t worker, int64_t now_us)
{
	struct ds_worker *w = find(s, worker);

	s->now_us = now_us;
	if (w && !w->left_us)
		w->left_us = now_us;
}

/* Counts failures in a row: a worker that fails everything is put aside for a while. */
void ds_worker_result(struct dag_sched *s, struct ds_worker *w, enum dag_end_how how)
{
	if (how == DAG_END_DONE) {
		w->fail_streak = 0;
	} else if (how == DAG_END_FAILED && ++w->fail_streak >= FAIL_STREAK_MAX) {
		w->avoid_until_us = s->now_us + FAIL_PAUSE_US;
		s->host->ops->note(s->host, "worker-avoided", NULL, 0,
				   XDR_STR(w->rec->w, id), "failures in a row",
				   w->fail_streak);
	}
}

static bool is_mixed(const struct ds_worker *w)
{
	const struct ds_run *r;
	bool serving = false;
	bool filler = false;

	TAILQ_FOREACH (r, &w->runs, of_worker) {
		serving = serving || r->step->target_ms;
		filler = filler || r->step->filler;
	}
	return serving && filler;
}

static void look(struct dag_sched *s, struct ds_worker *w)
{
	struct dag_look_order o = {.seen = w->seen};

	ds_worker_call(s, w, &o.call);
	/* A worker that does not answer gets no more time, so that its lease ends. */
	if (w->n_runs && !w->look_failures)
		o.call.lease_ms = ds_worker_lease(s, w);
	if (!w->look_failures && w->clock_known)
		o.wait_ms = is_mixed(w) && s->n_workers < LARGE_FLEET ? LOOK_WAIT_PACED_MS
								      : LOOK_WAIT_MS;
	w->looking = true;
	w->look_sent_us = s->now_us;
	s->host->ops->look(s->host, &o);
}

/* What ran there certainly does not run any more. */
static void lose_runs(struct dag_sched *s, struct ds_worker *w, const char *reason)
{
	struct ds_run *r;

	TAILQ_FOREACH (r, &w->runs, of_worker)
		if (r->phase != DS_PROPOSED)
			ds_run_lost(s, r, reason);
}

/* The process behind a worker has ended. */
static void worker_died(struct dag_sched *s, struct ds_worker *w, const char *reason)
{
	struct dag_command c = {.kind = DAG_CMD_WORKER};

	lose_runs(s, w, reason);
	if (w->rec->w.state == DAG_WORKER_GONE)
		return;
	c.dag_command_u.worker = w->rec->w;
	c.dag_command_u.worker.state = DAG_WORKER_GONE;
	ds_propose(s, &c);
}

/* Another worker with the address of an older one means that the older one ended. */
void ds_worker_replaced(struct dag_sched *s, const struct dag_worker_rec *rec)
{
	for (size_t i = 0; i < s->n_workers; i++) {
		struct ds_worker *w = s->workers[i];

		if (w->rec != rec && w->rec->w.born_ms <= rec->w.born_ms &&
		    str_eq(XDR_STR(w->rec->w, address), XDR_STR(rec->w, address)))
			worker_died(s, w, "address has another worker");
	}
}

static bool is_stalled(const struct dag_sched *s, const struct ds_run *r)
{
	return r->phase == DS_PLACED && !r->want_stop && !r->step->long_running &&
	       r->pace == 100 && s->now_us - r->progress_us > STALL_US;
}

static void check_runs(struct dag_sched *s, struct ds_worker *w)
{
	struct ds_run *r;

	TAILQ_FOREACH (r, &w->runs, of_worker) {
		ds_run_tick(s, r);
		if (!w->look_failures && is_stalled(s, r)) {
			w->avoid_until_us = s->now_us + FAIL_PAUSE_US;
			ds_run_stop(s, r, "no progress");
		}
	}
}

/* Does what is due with a worker; check_all: also with each of its runs. */
void ds_worker_tick(struct dag_sched *s, struct ds_worker *w, bool check_all)
{
	if (s->fenced)
		return;
	if (w->n_runs && s->now_us >= w->lapse_us)
		lose_runs(s, w, "lease ended");
	if (check_all)
		check_runs(s, w);
	if (!w->looking && !w->ends_pending && s->now_us >= w->look_at_us)
		look(s, w);
}

static void unlist_all(struct ds_worker *w)
{
	struct ds_run *r;

	TAILQ_FOREACH (r, &w->runs, of_worker)
		r->listed = false;
}

static void stop_stray(struct dag_sched *s, struct ds_worker *w,
		       const struct dag_listed_run *l)
{
	struct dag_order o = {.task = l->task, .run = l->run};

	ds_worker_call(s, w, &o.call);
	s->host->ops->note(s->host, "stray-run", &l->task, l->run, XDR_STR(w->rec->w, id),
			   "not recorded there", 0);
	s->host->ops->stop(s->host, &o);
}

static void take_running(struct dag_sched *s, struct ds_worker *w,
			 const struct dag_listed_run *l)
{
	struct ds_run *r = ds_run_find(s, &l->task, l->run);

	if (!r || r->worker != w) {
		stop_stray(s, w, l);
		return;
	}
	r->listed = true;
	if (r->phase != DS_PROPOSED && r->phase != DS_PLACED) {
		r->phase = DS_PLACED;
		r->placed_us = s->now_us;
		r->progress_us = s->now_us;
	}
	if (r->percent != l->percent) {
		r->percent = l->percent;
		r->progress_us = s->now_us;
	}
	r->level = l->level;
	if (l->checkpoint.n)
		buf_set(&r->checkpoint, l->checkpoint);
	if (dag_job_ended(r->job->rec))
		ds_run_stop(s, r, "job ended");
}

/* The worker may forget the ends that are recorded. */
void ds_worker_note_ends(struct ds_worker *w)
{
	uint64_t to = w->listed_to;

	if (w->held_end && to - w->held_end < HELD_ENDS_MAX)
		to = w->held_end - 1;
	if (to > w->seen)
		w->seen = to;
}

/*
 * Whether a run that is listed as done was given up before: its lease had ended for the
 * leader, and the task may run again. Such an end is never acknowledged, for then the
 * task would have run on after it was done.
 */
static bool is_given_up(const struct dag_sched *s, const struct dag_listed_end *l,
			const struct ds_run *r)
{
	const struct dag_job_rec *j = dag_state_job(s->state, l->task.job);
	const struct dag_step *st;
	const struct dag_task *t;

	if (l->how != DAG_END_DONE || !j)
		return false;
	t = dag_job_task(j, l->task.occurrence, l->task.step, l->task.index);
	if (!t)
		return false;
	st = &j->spec.steps.steps_val[l->task.step];
	if (st->speculative || st->long_running)
		return false;
	if (t->last_run != l->run)
		return true;
	/* Ends of a job that has ended are recorded without a word on the task. */
	return !dag_job_ended(j) && (r || !t->done);
}

static void take_end(struct dag_sched *s, struct ds_worker *w,
		     const struct dag_listed_end *l)
{
	struct ds_run *r = ds_run_find(s, &l->task, l->run);

	if (r && r->worker != w)
		r = NULL;
	if (l->number > w->listed_to) {
		w->listed_to = l->number;
		w->news = true;
	}
	if (r)
		r->listed = true;
	if (!r || r->ending) {
		if ((!r || !r->listed_end) && is_given_up(s, l, r) &&
		    (!w->held_end || l->number < w->held_end)) {
			w->held_end = l->number;
			s->host->ops->note(s->host, "end-held", &l->task, l->run,
					   XDR_STR(w->rec->w, id), "given up before",
					   (int64_t)l->number);
		}
		return;
	}
	r->listed_end = true;
	w->ends_pending++;
	if (!r->step->long_running)
		ds_worker_result(s, w, l->how);
	if (l->how == DAG_END_FAILED)
		ds_job_task(r->job, &r->task)->avoid = w->rec->number;
	ds_run_end(s, r, l->how, l->checkpoint, "listed");
}

/* Runs that the worker should list and does not. */
static void check_missing(struct dag_sched *s, struct ds_worker *w)
{
	struct ds_run *r;

	TAILQ_FOREACH (r, &w->runs, of_worker) {
		if (r->listed || r->ending || r->phase == DS_PROPOSED)
			continue;
		if (r->stop_acked_us && r->stop_acked_us < w->look_sent_us)
			ds_run_lost(s, r, "stopped");
		else if (r->phase == DS_PLACED && r->placed_us < w->look_sent_us)
			ds_run_lost(s, r, "not listed");
		else if (r->phase == DS_INHERITED && dag_job_ended(r->job->rec))
			ds_run_stop(s, r, "job ended");
		else if (r->phase == DS_INHERITED)
			ds_run_order(s, r);
	}
}

static void take_life(struct dag_sched *s, struct ds_worker *w, int64_t born_ms)
{
	struct dag_command c = {.kind = DAG_CMD_WORKER};

	if (born_ms <= w->rec->w.born_ms)
		return;
	c.dag_command_u.worker = w->rec->w;
	c.dag_command_u.worker.born_ms = born_ms;
	ds_propose(s, &c);
}

static void take_look(struct dag_sched *s, struct ds_worker *w,
		      const struct dag_look *look)
{
	if (look->born_ms && look->born_ms < w->rec->w.born_ms)
		return;
	if (look->born_ms > w->rec->w.born_ms) {
		w->seen = 0;
		w->listed_to = 0;
		w->held_end = 0;
		take_life(s, w, look->born_ms);
	}
	unlist_all(w);
	w->news = false;
	for (size_t i = 0; i < look->n_running; i++)
		take_running(s, w, &look->running[i]);
	for (size_t i = 0; i < look->n_ended; i++)
		take_end(s, w, &look->ended[i]);
	check_missing(s, w);
	if (!w->ends_pending)
		ds_worker_note_ends(w);
	ds_pace(s, w);
}

/* Tasks that allow it get a second run while their worker does not answer. */
static void want_copies(struct dag_sched *s, struct ds_worker *w)
{
	struct ds_run *r;

	TAILQ_FOREACH (r, &w->runs, of_worker) {
		if (!r->step->speculative || r->step->gang || r->ending || r->want_stop)
			continue;
		ds_job_task(r->job, &r->task)->wants_copy = true;
		ds_step_refresh(s, ds_job_step(r->job, r->task.occurrence, r->task.step));
	}
}

/* Takes the answer to a look. */
void dag_sched_looked(struct dag_sched *s, uint32_t worker, enum dag_answer answer,
		      const struct dag_look *look, int64_t now_us)
{
	struct ds_worker *w = find(s, worker);

	s->now_us = now_us;
	if (answer == DAG_ANSWER_FENCED)
		s->fenced = true;
	if (!w || !w->looking)
		return;
	w->looking = false;
	if (answer == DAG_ANSWER_OTHER_LIFE) {
		worker_died(s, w, "another worker answers");
		w->look_at_us = now_us + LOOK_RETRY_US;
		return;
	}
	if (!look) {
		if (!w->look_failures++)
			s->host->ops->note(s->host, "worker-lost", NULL, 0,
					   XDR_STR(w->rec->w, id), "no answer to a look",
					   answer);
		want_copies(s, w);
		if (w->left_us && now_us - w->left_us > LEFT_US && w->look_failures > 1)
			worker_died(s, w, "left");
		w->look_at_us = now_us + (w->look_failures > 1 ? LOOK_RETRY_US : 0);
		return;
	}
	if (w->look_failures) {
		s->host->ops->note(s->host, "worker-back", NULL, 0,
				   XDR_STR(w->rec->w, id), "answers again",
				   w->look_failures);
		s->place_again = true;
	}
	if (!w->clock_known)
		s->place_again = true;
	w->look_failures = 0;
	hear(w, look->clock_ms, now_us);
	take_look(s, w, look);
	/* A list with held ends is answered at once, so it is not asked for at once. */
	w->look_at_us = now_us + (w->news	? 0
				  : w->held_end ? LOOK_RETRY_US
						: LOOK_GAP_US);
}
