#include "core/sched_impl.h"

/*
 * Controller that throttles batch work on a worker where a service exceeds its latency
 * target. Each step changes one batch kind and then waits for measurements taken after
 * the change; older ones would make it throttle and release too much.
 */
#define LEVEL_HIGH 1.0	  /* fraction of the target above which batch work is throttled */
#define LEVEL_LOW 0.8	  /* fraction of the target below which throttles are released */
#define LEVEL_GAIN 0.3	  /* weight of a new measurement in the level of a worker */
#define EXPECTED_FADE 0.1 /* fraction of the predicted change dropped per measurement */
#define SETTLE_US 500000  /* for a command to reach the worker and to take effect */
#define HIGH_SAMPLES 3
#define LOW_SAMPLES 6
#define HOLD_MIN_US 10000000LL /* minimum time from a throttle to a release */
#define HOLD_MAX_US 320000000LL
/* A throttle within this time of a release shows that the release was too early. */
#define EARLY_RESTORE_US 30000000LL
/* Kinds with a smaller effect on the latency are not throttled. */
#define MIN_EFFECT 0.05
#define MIN_PROBE 0.02 /* smallest change of use worth learning from */
#define LEVEL_STOP 1.1 /* above LEVEL_HIGH: a stop costs more than a throttle */
#define MIN_STOP_EFFECT 0.15
#define PERCENT_MIN 12
#define CHECKPOINT_WAIT_US 3000000LL

static bool is_target(const struct task *t)
{
	return t->key.job->opt.class == SCHED_BATCH && t->phase == P_RUNNING && !t->stop;
}

static double kind_effect(const struct worker *w, const struct kind *kind)
{
	const struct task *t;
	double sum = 0;

	TAILQ_FOREACH (t, &w->tasks, worker_entry)
		if (is_target(t) && t->key.job->kind == kind)
			sum += interfere_effect(w, t);
	return sum;
}

static double kind_use(const struct worker *w, const struct kind *kind)
{
	const struct task *t;
	double sum = 0;

	TAILQ_FOREACH (t, &w->tasks, worker_entry)
		if (is_target(t) && t->key.job->kind == kind)
			sum += interfere_use(t);
	return sum;
}

/* Throttles a kind on the worker and saves the state before it as a probe. */
static void set_percent(struct sched *s, struct worker *w, struct kind *kind,
			uint8_t percent, double mean, int64_t now_us)
{
	struct task *t;

	w->probe = kind;
	w->probe_use = kind_use(w, kind);
	w->probe_mean = mean;
	w->probe_us = now_us;
	w->changed_us = now_us;
	TAILQ_FOREACH (t, &w->tasks, worker_entry) {
		if (!is_target(t) || t->key.job->kind != kind || t->percent == percent)
			continue;
		t->percent = percent;
		t->throttled_us = now_us;
		t->throttle_polls = THROTTLE_REPEATS;
		s->stats.throttles++;
	}
}

/* Updates the estimates from the last throttle if nothing else changed since. */
static void learn_from_probe(struct sched *s, struct worker *w, double mean,
			     int64_t now_us)
{
	double du;

	if (!w->probe)
		return;
	du = kind_use(w, w->probe) - w->probe_use;
	if (w->changed_us == w->probe_us && (du > MIN_PROBE || du < -MIN_PROBE))
		interfere_learn_probe(s, w, w->probe, du, mean - w->probe_mean, now_us);
	w->probe = NULL;
}

/* Returns the task with the largest effect of the kind with the largest effect. */
static struct task *find_likeliest_cause(const struct worker *w)
{
	struct task *best = NULL;
	double best_kind = 0;
	struct task *t;

	TAILQ_FOREACH (t, &w->tasks, worker_entry) {
		double sum;

		if (!is_target(t))
			continue;
		sum = kind_effect(w, t->key.job->kind);
		if (sum < MIN_EFFECT)
			continue;
		if (!best || sum > best_kind ||
		    (best->key.job->kind == t->key.job->kind &&
		     interfere_effect(w, t) > interfere_effect(w, best))) {
			best = t;
			best_kind = sum;
		}
	}
	return best;
}

static void reduce_interference(struct sched *s, struct worker *w, double mean,
				int64_t now_us)
{
	struct task *cause = find_likeliest_cause(w);

	if (!cause)
		return;
	w->reduced_us = now_us;
	w->changed_us = now_us;
	if (w->restored_us && now_us - w->restored_us < EARLY_RESTORE_US)
		w->hold_us *= 2;
	if (w->hold_us < HOLD_MIN_US)
		w->hold_us = HOLD_MIN_US;
	if (w->hold_us > HOLD_MAX_US)
		w->hold_us = HOLD_MAX_US;
	if (cause->percent > PERCENT_MIN) {
		set_percent(s, w, cause->key.job->kind, cause->percent / 2, mean, now_us);
		return;
	}
	if (mean < LEVEL_STOP || kind_effect(w, cause->key.job->kind) < MIN_STOP_EFFECT)
		return;
	if (cause->key.job->opt.checkpoint && !cause->checkpoint_requested) {
		cause->checkpoint_requested = true;
		cause->checkpoint_before = cause->checkpoint;
		cause->checkpoint_us = now_us;
		return;
	}
	if (cause->checkpoint_requested &&
	    cause->checkpoint == cause->checkpoint_before &&
	    now_us - cause->checkpoint_us < CHECKPOINT_WAIT_US)
		return;
	s->stats.evictions++;
	task_stop(s, cause, SCHED_R_INTERFERENCE, now_us);
}

/* Relaxes the throttle of the kind with the smallest effect. */
static void restore_throttled(struct sched *s, struct worker *w, double mean,
			      int64_t now_us)
{
	struct task *best = NULL;
	struct task *t;
	uint8_t percent;

	TAILQ_FOREACH (t, &w->tasks, worker_entry)
		if (is_target(t) && t->percent < 100 &&
		    (!best || interfere_effect(w, t) < interfere_effect(w, best)))
			best = t;
	if (!best)
		return;
	/* Doubling the share of a kind adds at most its current effect. */
	if (mean + kind_effect(w, best->key.job->kind) > LEVEL_HIGH)
		return;
	percent = best->percent * 2 < 100 ? best->percent * 2 : 100;
	set_percent(s, w, best->key.job->kind, percent, mean, now_us);
	w->restored_us = now_us;
}

/* Processes the worst latency of a report, a fraction of the target; 0: none. */
void control_take_report(struct sched *s, struct worker *w, double worst, int64_t lag_us,
			 int64_t now_us)
{
	double mean;

	if (worst <= 0 || s->opt.first_fit)
		return;
	w->level += LEVEL_GAIN * (worst - w->level);
	/* The predicted change shows up in the measurements gradually. */
	w->expected *= 1 - EXPECTED_FADE;
	if (now_us - lag_us < w->changed_us + SETTLE_US) {
		w->nlevels = 0;
		w->level_sum = 0;
		return;
	}
	w->level_sum += worst;
	w->nlevels++;
	if (w->nlevels < HIGH_SAMPLES)
		return;
	mean = w->level_sum / w->nlevels;
	learn_from_probe(s, w, mean, now_us);
	if (mean > LEVEL_HIGH) {
		reduce_interference(s, w, mean, now_us);
	} else if (w->nlevels < LOW_SAMPLES) {
		return;
	} else if (mean < LEVEL_LOW && now_us - w->reduced_us >= w->hold_us) {
		restore_throttled(s, w, mean, now_us);
	}
	w->nlevels = 0;
	w->level_sum = 0;
}
