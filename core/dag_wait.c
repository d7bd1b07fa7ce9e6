/*
 * Waits of tasks for a place in the rack where they run faster. The decision itself is
 * core/dag_locality.c, with the design page docs/design/locality.md.
 */
#include <stdlib.h>
#include <string.h>

#include "core/dag_locality.h"
#include "core/dag_sched_impl.h"
#include "proto/codec.h"

/* A decision is made again after this time; a place that becomes free is taken at once.
 */
#define DECISION_PERIOD_US (100 * USEC_PER_MS)
/* A forecast visits all workers, of which there may be thousands. */
#define FORECASTS_PER_PASS 32
#define GANG_RACKS_MAX 32U
/*
 * A new leader does not know since when a step waits that has dependencies or had runs.
 * Runs that an earlier leader recorded and no worker began are placed again by then.
 */
#define NEW_LEADER_US (3 * USEC_PER_SEC)
#define WAITED_UNKNOWN (INT64_MAX / 2)

/* Whether the steps' tasks run faster in one rack and this leader weighs a wait. */
static bool names_rack(const struct dag_sched *s, const struct ds_step *st)
{
	const struct dag_step *step = st->step;

	if ((s->opt.cross_rack_milli <= 1000 && !s->opt.fixed_wait_us) ||
	    step->long_running || !step->estimate_ms)
		return false;
	return step->gang ? step->same_rack : step->data_rack.data_rack_len > 0;
}

void ds_wait_begin_pass(struct dag_sched *s)
{
	s->wait_pass++;
	s->forecasts_left = FORECASTS_PER_PASS;
	memset(s->held_tasks, 0, sizeof(s->held_tasks));
}

/* Racks share a count if their hashes collide; a task then waits rather too seldom. */
static size_t rack_bucket(struct str rack)
{
	uint32_t h = 2166136261U; /* FNV-1a */

	for (size_t i = 0; i < rack.n; i++)
		h = (h ^ (unsigned char)rack.p[i]) * 16777619U;
	return h % DS_WAIT_BUCKETS;
}

static bool had_runs(const struct ds_step *st)
{
	for (uint32_t i = 0; i < st->step->count; i++)
		if (ds_task_is_waiting(st, i) &&
		    dag_job_find_task(st->job->rec, st->occurrence, st->number, i)
			    ->last_run)
			return true;
	return false;
}

/* When a job's occurrence was accepted or due, on the monotonic clock. */
static int64_t due_us(const struct dag_sched *s, const struct ds_step *st)
{
	const struct dag_job *spec = &st->job->rec->spec;
	int64_t ms =
		spec->occurrences
			? spec->start_ms + (int64_t)(st->occurrence * spec->interval_ms)
			: spec->accepted_ms;

	return s->now_us - (s->wall_ms - ms) * USEC_PER_MS;
}

/*
 * How long a step has waited for its rack. An earlier leader may have made it wait since
 * it became ready; that time is known for a step without dependencies only.
 */
static int64_t waited_us(const struct dag_sched *s, const struct ds_step *st)
{
	const struct ds_wait *w = st->wait;

	if (st->step->depends_on.depends_on_len || had_runs(st)) {
		if (st->waiting_since_us < s->leading_since_us + NEW_LEADER_US)
			return WAITED_UNKNOWN;
	} else if (due_us(s, st) <= s->leading_since_us) {
		return s->now_us - due_us(s, st);
	}
	if (!w || !w->begun_us || w->ready_us != st->waiting_since_us)
		return 0;
	return w->over ? WAITED_UNKNOWN : s->now_us - w->begun_us;
}

/* Longest path of expected run times from a step on, the step included. */
static int64_t path_us(const struct dag_sched *s, const struct ds_step *st)
{
	const struct dag_job *spec = &st->job->rec->spec;
	int64_t longest[DAG_MAX_STEPS] = {0};
	int64_t best = 0;

	for (u_int i = st->number; i < spec->steps.steps_len; i++) {
		const struct dag_step *step = &spec->steps.steps_val[i];
		bool follows = i == st->number;

		for (u_int d = 0; !follows && d < step->depends_on.depends_on_len; d++) {
			int64_t before = longest[step->depends_on.depends_on_val[d]];

			if (before > longest[i])
				longest[i] = before;
		}
		if (!follows && !longest[i])
			continue;
		longest[i] += 1 + ds_step_run_time(s, st->job, step).mean_us;
		if (longest[i] > best)
			best = longest[i];
	}
	return best;
}

static int64_t slack_us(const struct dag_sched *s, const struct ds_step *st)
{
	int64_t age_us = s->now_us - due_us(s, st);

	return ds_job_objective_ms(st->job) * USEC_PER_MS - age_us - path_us(s, st);
}

/* Tasks of other steps that wait for the same rack, as far as this pass has come. */
static uint32_t held_before(const struct dag_sched *s, const struct ds_step *st,
			    struct str rack)
{
	uint32_t held = s->held_tasks[rack_bucket(rack)];
	uint32_t own = st->wait && st->wait->pass == s->wait_pass ? st->wait->passed : 0;

	return held > own ? held - own : 0;
}

/* Chooses for each of the places that come after those of the steps before. */
static void plan_tasks(const struct dag_sched *s, const struct ds_step *st,
		       struct dag_locality_input *in, struct ds_wait_plan *p)
{
	struct dag_time_estimate place;
	struct ds_forecast f;
	size_t ahead;

	p->rack = XDR_STR(*st->step, data_rack);
	p->n_forecasts = 1;
	p->choice.reason = "no place in its rack is expected to become free";
	ahead = held_before(s, st, p->rack);
	ds_forecast_open(s, st, p->rack, &f);
	while (p->hold < st->n_waiting && ds_forecast_nth(&f, ahead + p->hold, &place)) {
		struct dag_locality_choice c;

		in->free_us = place.mean_us;
		in->free_sd_us = place.sd_us;
		c = dag_locality_choose(in);
		if (!p->hold) {
			p->choice = c;
			p->free = place;
		}
		if (!c.wait)
			break;
		p->hold++;
	}
}

/* Whether the last label of a worker, its rack, is that of an earlier one. */
static bool add_rack(struct str *racks, uint32_t *n, const struct ds_worker *w)
{
	u_int labels = w->rec->w.labels.labels_len;
	struct str rack;

	if (!labels || *n == GANG_RACKS_MAX)
		return false;
	rack = XDR_STR(w->rec->w.labels.labels_val[labels - 1], text);
	for (uint32_t i = 0; i < *n; i++)
		if (str_eq(racks[i], rack))
			return false;
	racks[(*n)++] = rack;
	return true;
}

/* Chooses for the rack that is expected to have room for the whole gang first. */
static void plan_gang(const struct dag_sched *s, const struct ds_step *st,
		      struct dag_locality_input *in, struct ds_wait_plan *p)
{
	struct dag_time_estimate place;
	struct ds_forecast f;
	struct str racks[GANG_RACKS_MAX];
	uint32_t n_racks = 0;

	in->free_us = INT64_MAX;
	for (size_t i = 0; i < s->n_workers; i++)
		add_rack(racks, &n_racks, s->workers[i]);
	for (uint32_t i = 0; i < n_racks; i++) {
		size_t ahead = held_before(s, st, racks[i]);

		ds_forecast_open(s, st, racks[i], &f);
		if (!ds_forecast_nth(&f, ahead + st->step->count - 1, &place) ||
		    place.mean_us >= in->free_us)
			continue;
		p->rack = racks[i];
		p->free = place;
		in->free_us = p->free.mean_us;
		in->free_sd_us = p->free.sd_us;
	}
	p->n_forecasts = n_racks;
	p->choice.reason = "no rack is expected to have room for all of it";
	if (in->free_us == INT64_MAX)
		return;
	p->choice = dag_locality_choose(in);
	p->hold = p->choice.wait ? st->step->count : 0;
}

/* Delay scheduling: the same wait for all, whatever is expected. */
static void plan_fixed(const struct dag_sched *s, const struct ds_step *st,
		       struct ds_wait_plan *p)
{
	int64_t left_us = s->opt.fixed_wait_us - p->waited_us;

	p->choice.reason = "fixed wait";
	p->choice.wait = left_us > 0;
	p->choice.until_us = left_us;
	p->hold = left_us > 0 ? st->n_waiting : 0;
}

/* What would be decided now for a step whose rack is full. Changes nothing. */
void ds_wait_plan(const struct dag_sched *s, const struct ds_step *st,
		  struct ds_wait_plan *p)
{
	struct dag_locality_input in = {0};
	struct dag_time_estimate run;

	memset(p, 0, sizeof(*p));
	p->choice.reason = "no rack is preferred, or waits are off";
	if (!names_rack(s, st))
		return;
	if (st->wait && st->wait->ready_us == st->waiting_since_us && st->wait->over) {
		p->choice.reason = "it has waited, and the wait has ended";
		return;
	}
	run = ds_step_run_time(s, st->job, st->step);
	in.run_sd_us = run.sd_us;
	in.elsewhere_sd_us = run.sd_us * s->opt.cross_rack_milli / 1000;
	p->waited_us = in.waited_us = waited_us(s, st);
	p->extra_us = in.extra_us =
		run.mean_us * ((int64_t)s->opt.cross_rack_milli - 1000) / 1000;
	p->slack_us = in.slack_us = slack_us(s, st);
	if (s->opt.fixed_wait_us)
		plan_fixed(s, st, p);
	else if (in.waited_us >= in.extra_us)
		p->choice = dag_locality_choose(&in);
	else if (st->step->gang)
		plan_gang(s, st, &in, p);
	else
		plan_tasks(s, st, &in, p);
}

static void report(struct dag_sched *s, enum dag_wait_event event, uint32_t n, int64_t us)
{
	if (!s->host->ops->rack_wait)
		return;
	for (uint32_t i = 0; i < n; i++)
		s->host->ops->rack_wait(s->host, event, us);
}

/* The value is a time in milliseconds. */
static void log_begin(struct dag_sched *s, const struct ds_step *st, const char *reason,
		      int64_t us)
{
	struct dag_task_ref t = {st->job->rec->id, st->occurrence, st->number, 0};

	s->host->ops->log_event(s->host, "rack-wait", &t, 0,
				dag_state_queue_name(s->state, st->job->rec), reason,
				us / USEC_PER_MS);
}

static void log_end(struct dag_sched *s, const struct ds_step *st, const char *reason)
{
	struct dag_task_ref t = {st->job->rec->id, st->occurrence, st->number, 0};

	s->host->ops->log_event(s->host, "rack-wait-ended", &t, 0,
				dag_state_queue_name(s->state, st->job->rec), reason,
				(s->now_us - st->wait->begun_us) / USEC_PER_MS);
}

/* So many tasks wait now; those that do no longer wait in vain. */
static void set_hold(struct dag_sched *s, struct ds_wait *w, uint32_t hold)
{
	if (hold > w->hold)
		report(s, DAG_WAIT_STARTED, hold - w->hold, 0);
	else
		report(s, DAG_WAIT_UNSUCCESSFUL, w->hold - hold, s->now_us - w->begun_us);
	w->hold = hold;
}

static void end_wait(struct dag_sched *s, struct ds_step *st, const char *reason)
{
	struct ds_wait *w = st->wait;

	w->over = true;
	if (w->hold)
		log_end(s, st, reason);
	set_hold(s, w, 0);
}

static void decide(struct dag_sched *s, struct ds_step *st)
{
	struct ds_wait *w = st->wait;
	struct ds_wait_plan p;
	int64_t until_us;

	ds_wait_plan(s, st, &p);
	s->forecasts_left -= (int32_t)p.n_forecasts;
	w->next_us = s->now_us + DECISION_PERIOD_US;
	until_us = s->now_us + p.choice.until_us;
	if (!p.hold) {
		if (w->begun_us)
			end_wait(s, st, p.choice.reason);
		else
			w->next_us = s->now_us + 1; /* once in a pass */
		return;
	}
	if (!w->begun_us) {
		w->begun_us = s->now_us;
		w->until_us = until_us;
		log_begin(s, st, p.choice.reason, p.choice.until_us);
	}
	if (until_us < w->until_us)
		w->until_us = until_us;
	set_hold(s, w, p.hold);
}

/* Brings the number of tasks that wait up to date. false: no memory, so none waits. */
static bool update(struct dag_sched *s, struct ds_step *st)
{
	struct ds_wait *w = st->wait;

	if (!w)
		w = st->wait = calloc(1, sizeof(*w));
	if (!w)
		return false;
	if (w->ready_us != st->waiting_since_us) {
		set_hold(s, w, 0);
		*w = (struct ds_wait){.ready_us = st->waiting_since_us};
	}
	if (w->pass != s->wait_pass) {
		w->pass = s->wait_pass;
		w->passed = 0;
	}
	if (w->over)
		return true;
	if (w->begun_us && s->now_us >= w->until_us)
		end_wait(s, st, "its rack was not free in time");
	else if (s->now_us >= w->next_us && s->forecasts_left > 0)
		decide(s, st);
	return true;
}

/* Whether a task that would start on a worker outside its rack waits instead. */
bool ds_wait_holds_task(struct dag_sched *s, struct ds_step *st,
			const struct ds_worker *chosen)
{
	struct str rack = XDR_STR(*st->step, data_rack);

	if (!names_rack(s, st) || ds_worker_has_label(chosen, rack) || !update(s, st) ||
	    st->wait->passed >= st->wait->hold)
		return false;
	st->wait->passed++;
	s->held_tasks[rack_bucket(rack)]++;
	return true;
}

/* The same for a gang that fits no rack. */
bool ds_wait_holds_gang(struct dag_sched *s, struct ds_step *st)
{
	return names_rack(s, st) && update(s, st) && st->wait->hold > 0;
}

/* n tasks of a step have a place in their rack. */
void ds_wait_placed(struct dag_sched *s, struct ds_step *st, uint32_t n)
{
	struct ds_wait *w = st->wait;

	if (!w || !w->hold || w->ready_us != st->waiting_since_us)
		return;
	if (n > w->hold)
		n = w->hold;
	report(s, DAG_WAIT_SUCCESSFUL, n, s->now_us - w->begun_us);
	w->hold -= n;
	if (!w->hold)
		log_end(s, st, "its rack has room");
}
