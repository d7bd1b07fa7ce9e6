#include "core/sched_impl.h"

/*
 * Reaction to a service whose tail suffers on one worker. Every step changes one
 * batch kind on that worker and then waits for measurements made after the change;
 * acting on older ones would throttle too much and then give back too much.
 */
#define LEVEL_HIGH 1.0	  /* part of the target above which the controller acts */
#define LEVEL_LOW 0.8	  /* and below which it gives back */
#define LEVEL_GAIN 0.3	  /* weight of a new measurement in the level of a worker */
#define EXPECTED_FADE 0.1 /* of the expected change, with each measurement */
#define SETTLE_US 500000  /* for an order to reach the worker and to have an effect */
#define HIGH_SAMPLES 3
#define LOW_SAMPLES 6
#define HOLD_MIN_US 10000000LL /* after a reaction, before anything is given back */
#define HOLD_MAX_US 320000000LL
/* A reaction this soon after giving back shows that it was given back too early. */
#define EARLY_RESTORE_US 30000000LL
/* Batch work that explains less of the latency than this is left alone. */
#define MIN_EFFECT 0.05
#define MIN_PROBE 0.02 /* change of use that is executor_rank learning from */
#define LEVEL_STOP 1.1 /* a stop costs more than a throttle, so it needs more reason */
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

/* Throttles a kind on the worker, and remembers what was measured before. */
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

/* Learns from the last throttle when nothing else changed since. */
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

/* The kind with the largest effect, and its task with the largest one. */
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

/* Gives back to the throttled kind with the smallest effect. */
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
	/* Doubling one kind adds at most its present effect. */
	if (mean + kind_effect(w, best->key.job->kind) > LEVEL_HIGH)
		return;
	percent = best->percent * 2 < 100 ? best->percent * 2 : 100;
	set_percent(s, w, best->key.job->kind, percent, mean, now_us);
	w->restored_us = now_us;
}

/* Takes the worst latency of one report, a part of the target; 0: none. */
void control_take_report(struct sched *s, struct worker *w, double worst, int64_t lag_us,
			 int64_t now_us)
{
	double mean;

	if (worst <= 0 || s->opt.first_fit)
		return;
	w->level += LEVEL_GAIN * (worst - w->level);
	/* What was expected is measured by and by. */
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
