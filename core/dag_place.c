/* Chooses a worker for each waiting task. */
#include "core/dag_sched_impl.h"
#include "proto/codec.h"

/* Fillers use idle CPU. Serving tasks are assumed to use this share of their request. */
#define SERVING_CPU_PERCENT 50
/* Score in thousandths of a core per unit of load, and the most excess to accept. */
#define ADDED_LOAD_COST 120000.0
#define INTERFERENCE_COST 200000.0
#define INTERFERENCE_MAX 0.02
/* From this many objectives on, a job accepts this much times the square of them. */
#define OVERDUE_OBJECTIVES 3.0
#define INTERFERENCE_OVERDUE 0.1
/* For a worker outside the rack that holds the step's data. */
#define REMOTE_DATA_PENALTY 1000000
/* For batch tasks that are no fillers, on a worker without serving tasks. */
#define NO_SERVING_PENALTY 100000
#define FREE_CPU_DIVISOR 16
/* For the worker on which the task failed or was slowed before. */
#define AVOID_PENALTY 4000000
/* For a serving task on a worker that is avoided, and how often one is tried there. */
#define AVOIDED_PENALTY 8000000
#define AVOIDED_RETRY_US (1 * USEC_PER_SEC)
#define SCORE_UNACCEPTABLE INT64_MIN
/* Workers that are reserved for serving tasks in one pass. */
#define MAX_RESERVED_WORKERS 16U
/* In the shortage of a worker, so much memory counts as one thousandth of a core. */
#define MEM_MB_PER_MILLI 2

/* A request that fits no worker in this pass; equal or larger ones are not tried. */
struct placement_failure {
	bool set;
	bool filler;
	bool serving; /* serving tasks may take workers that others may not */
	int image;    /* fillers only: interference depends on it */
	double interference_limit;
	uint32_t cpu;
	uint32_t mem;
	uint32_t gpus;
	struct str service;
};

#define MAX_PLACEMENT_FAILURES 32U

bool ds_is_run_of_step(const struct ds_run *r, const struct ds_step *st)
{
	return r->job == st->job && r->task.step == st->number &&
	       r->task.occurrence == st->occurrence;
}

uint32_t ds_count_step_runs(const struct ds_worker *w, const struct ds_step *st)
{
	const struct ds_run *r;
	uint32_t n = 0;

	TAILQ_FOREACH (r, &w->runs, worker_entry)
		n += ds_is_run_of_step(r, st);
	return n;
}

/* Thousandths of a core that are not reserved; fillers do not count. */
static int64_t free_cpu(const struct ds_worker *w)
{
	return (int64_t)w->capacity.cpu_milli - w->cpu_reserved;
}

/* Thousandths of a core that are expected to be idle. */
static int64_t idle_cpu(const struct ds_worker *w)
{
	return (int64_t)w->capacity.cpu_milli - w->cpu_fillers -
	       (w->cpu_reserved - w->cpu_serving) -
	       w->cpu_serving * SERVING_CPU_PERCENT / 100;
}

static bool worker_fits_cpu(const struct ds_worker *w, const struct dag_step *step)
{
	if (!step->filler)
		return free_cpu(w) >= step->cpu_milli;
	/* Nothing starts on a worker whose capacity has shrunk below its runs. */
	return free_cpu(w) >= 0 && idle_cpu(w) >= step->cpu_milli;
}

static int64_t free_mem(const struct ds_worker *w)
{
	return (int64_t)w->capacity.mem_mb - w->mem_reserved;
}

static bool worker_fits_gpus(const struct ds_worker *w, const struct dag_step *step)
{
	return (int64_t)w->capacity.gpus - w->gpus_reserved >= step->gpus;
}

/* Whether a worker has the label of a step, and no more of its runs than it may. */
static bool worker_suits_step(const struct ds_worker *w, const struct ds_step *st)
{
	const struct dag_step *step = st->step;

	if (step->label.label_len && !ds_worker_has_label(w, XDR_STR(*step, label)))
		return false;
	return !step->max_per_worker || ds_count_step_runs(w, st) < step->max_per_worker;
}

static bool worker_fits_step(const struct ds_worker *w, const struct ds_step *st)
{
	return free_mem(w) >= st->step->mem_mb && worker_fits_gpus(w, st->step) &&
	       worker_fits_cpu(w, st->step) && worker_suits_step(w, st);
}

/* Whether a serving task would fit a worker on which only serving tasks run. */
static bool worker_fits_beside_serving(const struct ds_worker *w,
				       const struct dag_step *step)
{
	return (int64_t)w->capacity.cpu_milli - w->cpu_serving >= step->cpu_milli &&
	       (int64_t)w->capacity.mem_mb - w->mem_serving >= step->mem_mb;
}

static bool worker_serves_queue(const struct ds_worker *w, const struct ds_job *j)
{
	return j->queue &&
	       str_eq(XDR_STR(w->rec->w, service), XDR_STR(*j->queue, service));
}

/*
 * Excess that a job accepts. An overdue job accepts ever more, so that it does not wait
 * for ever beside idle CPU; throttling limits the actual interference.
 */
static double interference_limit(const struct ds_job *j)
{
	double age = j->objective_fraction;

	return age > OVERDUE_OBJECTIVES ? INTERFERENCE_OVERDUE * age * age
					: INTERFERENCE_MAX;
}

/*
 * Thousandths of a core of serving tasks of other images. A worker whose serving tasks
 * have one image can take most kinds of fillers.
 */
static int64_t cpu_of_other_images(const struct ds_worker *w, int image)
{
	const struct ds_run *r;
	int64_t cpu = 0;

	TAILQ_FOREACH (r, &w->runs, worker_entry)
		if (r->step->long_running && r->image != image)
			cpu += r->step->cpu_milli;
	return cpu;
}

/*
 * Scores a worker in thousandths of a core. Fillers prefer idle CPU and low interference.
 * Serving tasks prefer the fullest worker with serving tasks of the same image. Other
 * tasks do not interfere with serving tasks and are placed next to them. Both leave
 * workers without serving tasks to the fillers.
 */
static int64_t score_worker(const struct dag_sched *s, struct ds_worker *w,
			    const struct ds_step *st, uint32_t avoid)
{
	const struct dag_step *step = st->step;
	int64_t points;

	if (step->filler) {
		struct ds_interference in =
			ds_predict_interference(s, w, st->image, step->cpu_milli);

		if (in.excess > interference_limit(st->job))
			return SCORE_UNACCEPTABLE;
		points = idle_cpu(w) - (int64_t)(INTERFERENCE_COST * in.excess +
						 ADDED_LOAD_COST * in.added);
	} else if (step->long_running) {
		points = -cpu_of_other_images(w, st->image) -
			 free_cpu(w) / FREE_CPU_DIVISOR;
	} else {
		points = free_cpu(w) - w->cpu_fillers / 4;
		if (!w->cpu_serving)
			points -= NO_SERVING_PENALTY;
	}
	if (step->data_rack.data_rack_len &&
	    !ds_worker_has_label(w, XDR_STR(*step, data_rack)))
		points -= REMOTE_DATA_PENALTY;
	if (avoid == w->rec->number)
		points -= AVOID_PENALTY;
	if (ds_worker_avoided(s, w))
		points -= AVOIDED_PENALTY;
	points -= (int64_t)w->fail_streak * 20000;
	return points;
}

static bool worker_takes_step(const struct dag_sched *s, const struct ds_worker *w,
			      const struct ds_step *st)
{
	if (!ds_worker_usable(s, w) ||
	    (w->reserved_for_serving && !st->step->long_running))
		return false;
	return !ds_worker_avoided(s, w) ||
	       (st->step->long_running && s->now_us >= w->next_serving_us);
}

struct ds_room ds_worker_room(const struct ds_worker *w, const struct dag_step *step)
{
	return (struct ds_room){step->filler ? idle_cpu(w) : free_cpu(w), free_mem(w),
				(int64_t)w->capacity.gpus - w->gpus_reserved};
}

bool ds_worker_may_take(const struct dag_sched *s, const struct ds_worker *w,
			const struct ds_step *st)
{
	const struct dag_step *step = st->step;

	return worker_takes_step(s, w, st) && worker_serves_queue(w, st->job) &&
	       (!step->label.label_len || ds_worker_has_label(w, XDR_STR(*step, label)));
}

/* Score of a worker for a task of a step; SCORE_UNACCEPTABLE if it cannot take it. */
static int64_t score_if_fits(const struct dag_sched *s, struct ds_worker *w,
			     const struct ds_step *st, uint32_t avoid)
{
	if (!worker_takes_step(s, w, st) || !worker_serves_queue(w, st->job) ||
	    !worker_fits_step(w, st))
		return SCORE_UNACCEPTABLE;
	return score_worker(s, w, st, avoid);
}

/*
 * The worker with the highest score for a task of a step; rack: of this rack only, empty:
 * of any. NULL: none fits.
 */
struct ds_worker *ds_best_worker(struct dag_sched *s, const struct ds_step *st,
				 uint32_t avoid, uint32_t crashes, struct str rack)
{
	struct ds_worker *best = NULL;
	int64_t best_score = SCORE_UNACCEPTABLE;

	for (size_t i = 0; i < s->n_workers; i++) {
		struct ds_worker *w = s->workers[i];
		int64_t score;

		if (rack.n && !ds_worker_has_label(w, rack))
			continue;
		score = score_if_fits(s, w, st, avoid);
		if (score != SCORE_UNACCEPTABLE)
			score -= ds_suspect_penalty(s, w, crashes);
		if (score > best_score) {
			best_score = score;
			best = w;
		}
	}
	return best;
}

/*
 * Scores all workers for the tasks of a step. A placed task changes the score of its
 * worker only, so a step of n tasks takes one pass over the workers instead of n. Returns
 * false without memory.
 */
static bool score_all_workers(struct dag_sched *s, const struct ds_step *st)
{
	int64_t *scores = realloc(s->scores, (s->n_workers + 1) * sizeof(*scores));

	if (!scores)
		return false;
	s->scores = scores;
	for (size_t i = 0; i < s->n_workers; i++)
		scores[i] = score_if_fits(s, s->workers[i], st, 0);
	return true;
}

/* The first worker with the highest score; NULL: none fits. */
static struct ds_worker *best_scored_worker(const struct dag_sched *s)
{
	int64_t best_score = SCORE_UNACCEPTABLE;
	struct ds_worker *best = NULL;

	for (size_t i = 0; i < s->n_workers; i++) {
		if (s->scores[i] > best_score) {
			best_score = s->scores[i];
			best = s->workers[i];
		}
	}
	return best;
}

/* What a worker lacks for a task, in thousandths of a core. */
static int64_t shortage(const struct ds_worker *w, const struct dag_step *step)
{
	int64_t cpu = step->cpu_milli - free_cpu(w);
	int64_t mem = step->mem_mb - free_mem(w);

	return (cpu > 0 ? cpu : 0) +
	       (mem > 0 ? (mem + MEM_MB_PER_MILLI - 1) / MEM_MB_PER_MILLI : 0);
}

/* Which of the two that a worker lacks for a task is short, and who has it. */
static const char *shortage_reason(const struct ds_worker *w, const struct dag_step *step,
				   bool serving)
{
	bool cores = free_cpu(w) < step->cpu_milli;

	if (serving)
		return cores ? "serving tasks have its cores"
			     : "serving tasks have its memory";
	return cores ? "batch tasks have its cores" : "batch tasks have its memory";
}

struct ds_obstacle ds_find_obstacle(const struct dag_sched *s, struct ds_worker *w,
				    const struct ds_step *st)
{
	const struct dag_step *step = st->step;
	int64_t missing = shortage(w, step);
	bool serving = !worker_fits_beside_serving(w, step);
	const char *reason;

	if (!w->in_service || w->leaving_since_us || !worker_serves_queue(w, st->job) ||
	    !worker_fits_gpus(w, step))
		return (struct ds_obstacle){DS_OBSTACLE_SERVICE, w,
					    "no worker of its kind", 0};
	if (missing)
		return (struct ds_obstacle){
			serving ? DS_OBSTACLE_SERVING : DS_OBSTACLE_BATCH, w,
			shortage_reason(w, step, serving), missing};
	if (!worker_suits_step(w, st))
		return (struct ds_obstacle){
			DS_OBSTACLE_LIMIT, w,
			"has another label, or as many tasks of the step as it may", 0};
	reason = ds_worker_obstacle(s, w);
	if (!reason && !worker_takes_step(s, w, st))
		reason = "is avoided";
	if (reason)
		return (struct ds_obstacle){DS_OBSTACLE_WORKER, w, reason, 0};
	return (struct ds_obstacle){DS_OBSTACLE_NONE, w, "has room", 0};
}

struct ds_obstacle ds_nearest_obstacle(const struct dag_sched *s,
				       const struct ds_step *st)
{
	struct ds_obstacle nearest = {DS_OBSTACLE_SERVICE, NULL, "no worker", 0};
	const char *quota = ds_quota_obstacle(st);

	if (quota)
		return (struct ds_obstacle){DS_OBSTACLE_QUOTA, NULL, quota, 0};
	for (size_t i = 0; i < s->n_workers; i++) {
		struct ds_obstacle o = ds_find_obstacle(s, s->workers[i], st);

		if (!nearest.worker || o.kind < nearest.kind ||
		    (o.kind == nearest.kind && o.missing < nearest.missing))
			nearest = o;
	}
	return nearest;
}

bool ds_has_better_worker(struct dag_sched *s, const struct ds_run *r,
			  double max_interference)
{
	const struct ds_step *st =
		ds_job_find_step(r->job, r->task.occurrence, r->task.step);

	for (size_t i = 0; i < s->n_workers; i++) {
		struct ds_worker *w = s->workers[i];

		if (w != r->worker && worker_takes_step(s, w, st) &&
		    worker_serves_queue(w, r->job) && worker_fits_step(w, st) &&
		    ds_predict_interference(s, w, r->image, r->step->cpu_milli).excess <=
			    max_interference)
			return true;
	}
	return false;
}

static struct ds_run *propose_start(struct dag_sched *s, struct ds_step *st,
				    struct ds_worker *w, uint32_t index, uint32_t run)
{
	struct dag_task_ref ref = {st->job->rec->id, st->occurrence, st->number, index};
	struct dag_command c = {.kind = DAG_CMD_START};
	struct ds_run *r = ds_run_new(s, st->job, w, &ref, run);

	if (!r)
		return NULL;
	if (ds_worker_avoided(s, w))
		w->next_serving_us = s->now_us + AVOIDED_RETRY_US;
	ds_job_find_task(st->job, &ref)->needs_copy = false;
	r->phase = DS_PROPOSED;
	c.dag_command_u.start = (struct dag_start){ref, run, w->rec->number};
	ds_propose(s, &c);
	return r;
}

static void update_score(struct dag_sched *s, const struct ds_step *st,
			 const struct ds_worker *w)
{
	for (size_t i = 0; i < s->n_workers; i++)
		if (s->workers[i] == w)
			s->scores[i] = score_if_fits(s, s->workers[i], st, 0);
}

/* The worker on which a task would start now, and whether it may wait for its rack. */
static struct ds_worker *choose(struct dag_sched *s, const struct ds_step *st,
				uint32_t index, bool scored, bool *may_wait)
{
	struct dag_task_ref ref = {st->job->rec->id, st->occurrence, st->number, index};
	const struct dag_task *t =
		dag_job_find_task(st->job->rec, st->occurrence, st->number, index);
	uint32_t avoid = ds_job_find_task(st->job, &ref)->avoid_worker;
	uint32_t crashes = ds_task_suspect_crashes(t);

	*may_wait = !avoid && !crashes;
	if (scored && !avoid && !crashes)
		return best_scored_worker(s);
	return ds_best_worker(s, st, avoid, crashes, (struct str){NULL, 0});
}

struct ds_worker *ds_choose_worker(struct dag_sched *s, const struct ds_step *st,
				   uint32_t index, bool *may_wait)
{
	return choose(s, st, index, false, may_wait);
}

/* Places one task; scored: the workers are scored for its step. false: none fits. */
static bool place_task(struct dag_sched *s, struct ds_step *st, uint32_t index,
		       bool scored)
{
	const struct dag_task *t =
		dag_job_find_task(st->job->rec, st->occurrence, st->number, index);
	bool may_wait;
	struct ds_worker *w = choose(s, st, index, scored, &may_wait);

	if (w && may_wait && ds_wait_holds_task(s, st, w))
		return true;
	if (!w || !propose_start(s, st, w, index, t->last_run + 1))
		return false;
	if (st->wait && ds_worker_has_label(w, XDR_STR(*st->step, data_rack)))
		ds_wait_placed(s, st, 1);
	if (scored)
		update_score(s, st, w);
	return true;
}

/*
 * Places a step's tasks one by one, as far as its organisation's quota and turn permit.
 * false: no worker fits one of them.
 */
static bool place_tasks(struct dag_sched *s, struct ds_step *st)
{
	bool scored;

	if (ds_quota_blocks(st))
		return true;
	scored = !s->opt.full_scan && score_all_workers(s, st);
	for (uint32_t i = ds_share_first_task(s); i < st->step->count && !s->err; i++) {
		if (!ds_task_is_waiting(st, i))
			continue;
		if (ds_quota_blocks(st))
			return true;
		if (!place_task(s, st, i, scored))
			return false;
		if (ds_share_yields(s, i + 1))
			return true;
	}
	return true;
}

/* The worker that lacks least of those on which batch tasks take a serving task's room.
 */
static struct ds_worker *find_room_of_batch(const struct dag_sched *s,
					    const struct ds_step *st)
{
	struct ds_worker *best = NULL;
	int64_t least = INT64_MAX;

	for (size_t i = 0; i < s->n_workers; i++) {
		struct ds_worker *w = s->workers[i];
		int64_t missing = shortage(w, st->step);

		if (w->reserved_for_serving || missing >= least ||
		    !worker_fits_beside_serving(w, st->step) ||
		    !worker_takes_step(s, w, st) || !worker_serves_queue(w, st->job) ||
		    !worker_fits_gpus(w, st->step) || !worker_suits_step(w, st))
			continue;
		least = missing;
		best = w;
	}
	return best;
}

/*
 * Keeps batch tasks that come later in the order off a worker for a serving task that
 * waits. Otherwise they would take each part of its room as soon as it is free, and a
 * large task would wait for as long as there are smaller ones.
 */
static void reserve_worker(struct dag_sched *s, const struct ds_step *st, unsigned int *n)
{
	struct ds_worker *w;

	if (!st->step->long_running || st->step->gang || *n == MAX_RESERVED_WORKERS)
		return;
	w = find_room_of_batch(s, st);
	if (!w)
		return;
	w->reserved_for_serving = true;
	++*n;
}

static void release_reserved_workers(struct dag_sched *s)
{
	for (size_t i = 0; i < s->n_workers; i++)
		s->workers[i]->reserved_for_serving = false;
}

static bool is_unconstrained(const struct dag_step *step)
{
	return !step->label.label_len && !step->max_per_worker && !step->gang;
}

/* Whether an equal or smaller request already failed in this pass. */
static bool is_known_unplaceable(const struct placement_failure *failures,
				 const struct ds_step *st)
{
	const struct dag_step *step = st->step;
	struct str service = st->job->queue ? XDR_STR(*st->job->queue, service)
					    : (struct str){NULL, 0};

	for (unsigned int i = 0; i < MAX_PLACEMENT_FAILURES; i++)
		if (failures[i].set && failures[i].filler == (bool)step->filler &&
		    (!step->filler ||
		     (failures[i].image == st->image &&
		      failures[i].interference_limit >= interference_limit(st->job))) &&
		    (failures[i].serving || !step->long_running) &&
		    failures[i].cpu <= step->cpu_milli &&
		    failures[i].mem <= step->mem_mb && failures[i].gpus <= step->gpus &&
		    str_eq(failures[i].service, service))
			return true;
	return false;
}

static void record_placement_failure(struct placement_failure *failures,
				     const struct ds_step *st)
{
	const struct dag_step *step = st->step;

	if (!is_unconstrained(step) || !st->job->queue)
		return;
	for (unsigned int i = 0; i < MAX_PLACEMENT_FAILURES; i++) {
		if (failures[i].set)
			continue;
		failures[i] = (struct placement_failure){
			.set = true,
			.filler = step->filler,
			.serving = step->long_running,
			.image = st->image,
			.interference_limit = interference_limit(st->job),
			.cpu = step->cpu_milli,
			.mem = step->mem_mb,
			.gpus = step->gpus,
			.service = XDR_STR(*st->job->queue, service),
		};
		return;
	}
}

/* Starts all waiting tasks that fit a worker, in the order of core/dag_share.c. */
void ds_place_all(struct dag_sched *s)
{
	struct placement_failure failures[MAX_PLACEMENT_FAILURES] = {0};
	unsigned int n_reserved = 0;
	struct ds_step *st;

	s->placement_needed = false;
	if (s->fenced)
		return;
	release_reserved_workers(s);
	ds_wait_begin_pass(s);
	ds_share_begin(s);
	while (!s->err && (st = ds_share_next(s))) {
		bool all;

		if (is_known_unplaceable(failures, st))
			continue;
		all = st->step->gang ? ds_place_gang(s, st) : place_tasks(s, st);
		if (!all) {
			record_placement_failure(failures, st);
			reserve_worker(s, st, &n_reserved);
		}
		if (!s->share.yielded)
			ds_step_refresh(s, st);
	}
	s->placement_needed = false;
}
