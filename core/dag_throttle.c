/*
 * Keeps serving tasks within their latency targets: throttles the fillers on the same
 * worker that interfere most and moves fillers that would stay slow.
 */
#include <math.h>

#include "core/dag_sched_impl.h"
#include "proto/codec.h"

/* Relative error of a reported level, and the least error of a load. */
#define LEVEL_ERROR 0.05
#define LOAD_ERROR 0.02
/* Levels and CPU figures cover about this time after a filler starts or is throttled. */
#define SETTLE_US (1 * USEC_PER_SEC)
#define UNSETTLED_ERROR_FACTOR 2.0
/* How far ahead a load is looked at: a throttle takes effect, a filler's run time. */
#define THROTTLE_AHEAD_US (600 * USEC_PER_MS)
#define PLACE_AHEAD_US (1500 * USEC_PER_MS)
#define TAIL_SMOOTHING_US (600.0 * USEC_PER_MS)
/* Levels that are closer together carry little information. */
#define MODEL_UPDATE_MIN_US (300 * USEC_PER_MS)
/* A level that stays the same for this long was measured again. */
#define MODEL_REPEAT_US (700 * USEC_PER_MS)
#define THROTTLE_INTERVAL_US (400 * USEC_PER_MS)
#define MIN_SPEED_CHANGE 15 /* percent; smaller changes are not sent */
#define FULL_SPEED 100
/* The CPU that a filler lists is a rough figure; this much above its speed is none. */
#define SPEED_TOLERANCE 30 /* percent */
/* All fillers are paused when a serving task stays above its target for this long. */
#define OVER_TARGET_MAX_US (1200 * USEC_PER_MS)
#define MOVE_SPEED_MAX 40U /* a filler this slow for MOVE_AFTER_US is moved */
#define MOVE_AFTER_US (1200 * USEC_PER_MS)
#define MOVE_INTERFERENCE_MAX 0.02
#define MAX_FILLERS 64U

/* A filler and its planned speed. */
struct throttle_plan {
	struct ds_run *run;
	double share; /* of the VM's CPU at full speed */
	double speed; /* 0 to 1 */
};

static bool is_serving(const struct ds_run *r)
{
	return r->step->target_ms && r->phase == DS_ACCEPTED && r->level >= 0;
}

static bool is_active_filler(const struct ds_run *r)
{
	return r->step->filler && r->phase == DS_ACCEPTED && !r->end_proposed;
}

/* At most 1, also for a worker whose CPU has shrunk below that of a task, even to 0. */
static double cpu_share(const struct ds_worker *w, uint32_t cpu_milli)
{
	uint32_t capacity = w->capacity.cpu_milli;

	return cpu_milli < capacity ? (double)cpu_milli / capacity : 1;
}

static struct dag_load *own_load(const struct ds_run *r)
{
	return &ds_job_find_step(r->job, r->task.occurrence, r->task.step)->own_load;
}

/* The higher of a serving task's own loads now and some time ahead. */
static double own_load_until(const struct dag_sched *s, const struct ds_run *r,
			     int64_t ahead_us)
{
	double now = dag_load_at(own_load(r), s->now_us);
	double then = dag_load_at(own_load(r), s->now_us + ahead_us);

	return now > then ? now : then;
}

/* Lists the fillers of a worker by image. settled: none has just changed its speed. */
static size_t list_filler_loads(const struct dag_sched *s, const struct ds_worker *w,
				struct dag_filler_load *fillers, bool *settled)
{
	const struct ds_run *r;
	size_t n = 0;

	*settled = s->now_us - w->last_throttle_us >= SETTLE_US;
	TAILQ_FOREACH (r, &w->runs, worker_entry) {
		size_t i = 0;

		if (!is_active_filler(r))
			continue;
		*settled = *settled && s->now_us - r->accepted_us >= SETTLE_US;
		while (i < n && fillers[i].image != r->image)
			i++;
		if (i == MAX_FILLERS)
			continue;
		if (i == n)
			fillers[n++] = (struct dag_filler_load){.image = r->image};
		if (r->level > 0)
			fillers[i].share += cpu_share(w, (uint32_t)r->level);
	}
	return n;
}

/*
 * Tail latency in milliseconds since the previous level. Workers report an exponentially
 * smoothed level; this removes the part that the previous level contributes. error_ms:
 * standard error of the result.
 */
static double unsmoothed_tail_ms(const struct ds_run *r, int64_t since_us,
				 double *error_ms)
{
	double kept = exp(-(double)since_us / TAIL_SMOOTHING_US);
	double level = ((double)r->level - kept * r->model_level) / (1 - kept);

	*error_ms = LEVEL_ERROR * (r->level + kept * r->model_level) / (1 - kept);
	return level < 1 ? 1 : level;
}

/* Whether a level says more than the previous one. */
static bool is_new_level(const struct dag_sched *s, const struct ds_run *r)
{
	int64_t since_us = s->now_us - r->model_updated_us;

	return since_us >= MODEL_REPEAT_US ||
	       (since_us >= MODEL_UPDATE_MIN_US && r->level != r->model_level);
}

/* Corrects the slopes and the own load of the task's step by a measured load. */
static void learn_load(struct dag_sched *s, const struct ds_run *r,
		       const struct dag_filler_load *fillers, size_t n, double load,
		       double variance)
{
	struct dag_load *own = own_load(r);
	double own_variance = dag_load_variance(own);
	double slope_variance;
	double added = dag_interfere_added_load(s->interfere, r->image, fillers, n,
						&slope_variance);
	double error = load - added - dag_load_at(own, s->now_us);

	/* A saturated queue hides the load above it; expecting more is no error. */
	if (dag_interfere_is_saturated(load) && error < 0)
		return;
	dag_load_update(own, load - added, variance + slope_variance, s->now_us);
	dag_interfere_update(s->interfere, r->image, fillers, n, error,
			     variance + own_variance);
}

static void update_model_for_run(struct dag_sched *s, struct ds_run *r,
				 const struct dag_filler_load *fillers, size_t n,
				 bool settled)
{
	int64_t since_us = s->now_us - r->model_updated_us;
	double error = LOAD_ERROR;
	double error_ms;
	double tail_ms;
	double load;

	dag_interfere_observe_tail(s->interfere, r->image, r->level, r->step->target_ms);
	if (!is_new_level(s, r))
		return;
	if (r->model_updated_us) {
		tail_ms = unsmoothed_tail_ms(r, since_us, &error_ms);
		load = dag_interfere_load_of_tail(s->interfere, r->image, tail_ms,
						  r->step->target_ms);
		error += (1 - load) * error_ms / tail_ms;
		if (!settled)
			error *= UNSETTLED_ERROR_FACTOR;
		learn_load(s, r, fillers, n, load, error * error);
	}
	r->model_updated_us = s->now_us;
	r->model_level = r->level;
}

/* Feeds the tail latencies of a worker's serving tasks to the model. */
static void update_model(struct dag_sched *s, struct ds_worker *w)
{
	struct dag_filler_load fillers[MAX_FILLERS];
	bool settled;
	size_t n = list_filler_loads(s, w, fillers, &settled);
	struct ds_run *r;

	TAILQ_FOREACH (r, &w->runs, worker_entry) {
		if (!is_serving(r))
			continue;
		update_model_for_run(s, r, fillers, n, settled);
		if ((uint32_t)r->level < r->step->target_ms)
			r->over_target_since_us = 0;
		else if (!r->over_target_since_us)
			r->over_target_since_us = s->now_us;
	}
}

/* Expected load of a serving task with all fillers of the worker at full speed. */
static double expected_load(const struct dag_sched *s, const struct ds_worker *w,
			    const struct ds_run *serving)
{
	double load = own_load_until(s, serving, PLACE_AHEAD_US);
	const struct ds_run *r;

	TAILQ_FOREACH (r, &w->runs, worker_entry)
		if (r->step->filler)
			load += dag_interfere_slope(s->interfere, serving->image,
						    r->image) *
				cpu_share(w, r->step->cpu_milli);
	return load;
}

/* Recomputes the load headroom of each serving task of a worker. */
static void update_serving_tasks(const struct dag_sched *s, struct ds_worker *w)
{
	const struct ds_run *r;

	w->n_serving = 0;
	w->serving_known = true;
	w->over_target = false;
	TAILQ_FOREACH (r, &w->runs, worker_entry) {
		w->over_target = w->over_target || r->over_target_since_us;
		if (!r->step->target_ms || w->n_serving == DS_MAX_SERVING)
			continue;
		w->serving[w->n_serving++] = (struct ds_serving_task){
			r->image, dag_interfere_max_load(s->interfere, r->image,
							 r->step->target_ms) -
					  expected_load(s, w, r)};
	}
}

/* Expected interference of one more filler with the serving tasks of a worker. */
struct ds_interference ds_predict_interference(const struct dag_sched *s,
					       struct ds_worker *w, int image,
					       uint32_t cpu_milli)
{
	double share = cpu_share(w, cpu_milli);
	struct ds_interference in = {0};

	if (!w->serving_known)
		update_serving_tasks(s, w);
	for (size_t i = 0; i < w->n_serving; i++) {
		const struct ds_serving_task *b = &w->serving[i];
		double added = dag_interfere_slope(s->interfere, b->image, image) * share;

		in.added += added;
		if (added > b->headroom)
			in.excess += b->headroom > 0 ? added - b->headroom : added;
	}
	/* A measured violation of a target overrides the model. */
	if (w->over_target)
		in.excess = DS_INTERFERENCE_OVER_TARGET;
	return in;
}

static size_t list_fillers(struct ds_worker *w, struct throttle_plan *plan)
{
	struct ds_run *r;
	size_t n = 0;

	TAILQ_FOREACH (r, &w->runs, worker_entry)
		if (is_active_filler(r) && !r->stop_requested && n < MAX_FILLERS)
			plan[n++] = (struct throttle_plan){
				r, cpu_share(w, r->step->cpu_milli), 1};
	return n;
}

/* Load that a filler at its planned speed adds to a serving task. */
static double added_load(const struct dag_sched *s, const struct ds_run *serving,
			 const struct throttle_plan *p)
{
	return dag_interfere_slope(s->interfere, serving->image, p->run->image) *
	       p->share * p->speed;
}

/* Slows the fillers that add most load, one by one, until the task meets its target. */
static void reduce_fillers(const struct dag_sched *s, const struct ds_run *serving,
			   struct throttle_plan *plan, size_t n)
{
	double excess = own_load_until(s, serving, THROTTLE_AHEAD_US) -
			dag_interfere_max_load(s->interfere, serving->image,
					       serving->step->target_ms);

	for (size_t i = 0; i < n; i++)
		excess += added_load(s, serving, &plan[i]);
	while (excess > 0) {
		struct throttle_plan *worst = NULL;
		double relief;

		for (size_t i = 0; i < n; i++)
			if (plan[i].speed > 0 &&
			    (!worst || added_load(s, serving, &plan[i]) >
					       added_load(s, serving, worst)))
				worst = &plan[i];
		if (!worst)
			return;
		relief = added_load(s, serving, worst);
		if (relief <= 0)
			return;
		worst->speed = relief > excess ? worst->speed * (1 - excess / relief) : 0;
		excess -= relief;
	}
}

/* Thousandths of a core that a filler may use at its speed. */
int64_t ds_filler_cpu(const struct ds_run *r)
{
	return (int64_t)r->step->cpu_milli * r->speed_percent / FULL_SPEED;
}

static void send_speed(struct dag_sched *s, struct ds_run *r)
{
	struct dag_worker_command o = {
		.task = r->task, .run = r->run, .speed_percent = r->speed_percent};

	r->progress_clock_ms = 0;
	r->throttled_us = s->now_us;
	r->worker->last_throttle_us = s->now_us;
	ds_worker_fill_call(s, r->worker, &o.call);
	s->host->ops->throttle(s->host, &o);
}

/*
 * Repeats the newest throttle request of a filler, which has no answer and may be lost.
 * false: there is none, or it was repeated before.
 */
bool ds_repeat_throttle(struct dag_sched *s, struct ds_run *r)
{
	if (!r->throttled_us || r->speed_repeated || s->fenced)
		return false;
	r->speed_repeated = true;
	send_speed(s, r);
	return true;
}

/* Sets the speed of a filler and remembers since when it is slow. */
static void send_throttle(struct dag_sched *s, struct ds_run *r, uint32_t percent)
{
	if (percent > MOVE_SPEED_MAX)
		r->slow_since_us = 0;
	else if (!r->slow_since_us)
		r->slow_since_us = s->now_us;
	r->worker->cpu_fillers -= ds_filler_cpu(r);
	r->speed_percent = percent;
	r->speed_known = true;
	r->worker->cpu_fillers += ds_filler_cpu(r);
	r->speed_repeated = false;
	send_speed(s, r);
}

static bool is_significant_change(uint32_t now, uint32_t planned)
{
	int change = (int)planned - (int)now;

	return change > MIN_SPEED_CHANGE || change < -MIN_SPEED_CHANGE ||
	       (change && (planned == FULL_SPEED || planned == 0));
}

/*
 * Whether the planned speed of a filler is to be sent. One that an earlier leader may
 * have throttled gets it once the loads of the serving tasks beside it have been
 * measured.
 */
static bool is_throttle_due(const struct dag_sched *s, const struct throttle_plan *p,
			    uint32_t planned)
{
	const struct ds_run *r = p->run;

	if (is_significant_change(r->speed_percent, planned))
		return true;
	return !r->speed_known && s->now_us - r->accepted_us >= SETTLE_US;
}

/* Whether a filler uses more CPU than its speed allows: the throttle request was lost. */
static bool exceeds_speed(const struct dag_sched *s, const struct ds_run *r)
{
	int64_t allowed = (int64_t)r->step->cpu_milli *
			  (r->speed_percent + SPEED_TOLERANCE) / FULL_SPEED;

	return r->throttled_us && s->now_us - r->throttled_us >= SETTLE_US &&
	       r->level > allowed;
}

/* Stops one slow filler that has a checkpoint, so that it continues elsewhere. */
static void stop_one_slow_filler(struct dag_sched *s, const struct throttle_plan *plan,
				 size_t n)
{
	for (size_t i = 0; i < n; i++) {
		struct ds_run *r = plan[i].run;

		if (!r->step->checkpointable || !r->slow_since_us || r->stop_requested ||
		    s->now_us - r->slow_since_us < MOVE_AFTER_US ||
		    !ds_has_better_worker(s, r, MOVE_INTERFERENCE_MAX))
			continue;
		ds_job_find_task(r->job, &r->task)->avoid_worker = r->worker->rec->number;
		ds_run_request_stop(
			s, r, "throttled for a serving task; to continue elsewhere");
		return;
	}
}

/* Updates the model and throttles a worker's fillers; called after each poll. */
void ds_throttle_fillers(struct dag_sched *s, struct ds_worker *w)
{
	struct throttle_plan plan[MAX_FILLERS];
	const struct ds_run *r;
	size_t n;

	update_model(s, w);
	w->serving_known = false;
	n = list_fillers(w, plan);
	if (!n || s->now_us - w->last_throttle_us < THROTTLE_INTERVAL_US)
		return;
	TAILQ_FOREACH (r, &w->runs, worker_entry) {
		if (!is_serving(r))
			continue;
		reduce_fillers(s, r, plan, n);
		for (size_t i = 0;
		     r->over_target_since_us &&
		     s->now_us - r->over_target_since_us > OVER_TARGET_MAX_US && i < n;
		     i++)
			plan[i].speed = 0;
	}
	for (size_t i = 0; i < n; i++) {
		uint32_t planned = (uint32_t)(plan[i].speed * FULL_SPEED + 0.5);

		if (s->fenced)
			break;
		if (is_throttle_due(s, &plan[i], planned))
			send_throttle(s, plan[i].run, planned);
		else if (exceeds_speed(s, plan[i].run))
			send_speed(s, plan[i].run);
	}
	stop_one_slow_filler(s, plan, n);
}
