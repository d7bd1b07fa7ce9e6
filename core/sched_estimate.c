#include "core/sched_impl.h"

#define DEFAULT_RUN_US 60e6    /* run time of a job that declares none */
#define THROTTLE_LAG_US 500000 /* for a throttle command to take effect */
#define GAIN_MIN 0.1	       /* minimum weight of a new sample */

static double gain(uint32_t n)
{
	double g = 1.0 / (double)(n + 1);

	return g > GAIN_MIN ? g : GAIN_MIN;
}

/*
 * Returns the estimated run time of one task: mean plus deviation of its kind, or the
 * declared time until an attempt of the kind has succeeded.
 */
double estimate_run_us(const struct job *j)
{
	if (j->kind->runs)
		return j->kind->run_us + j->kind->run_dev_us;
	return j->opt.run_us ? (double)j->opt.run_us : DEFAULT_RUN_US;
}

/*
 * Records the measured use of a running task at at_us. Only use without a throttle shows
 * what the task needs.
 */
void estimate_use(struct task *t, const struct sched_task_report *r, int64_t at_us)
{
	struct kind *k = t->key.job->kind;
	double g = gain(k->samples);

	t->used_cpu = r->cpu_milli;
	if (!r->cpu_milli || t->percent < 100 ||
	    at_us < t->throttled_us + THROTTLE_LAG_US)
		return;
	t->full_cpu = r->cpu_milli;
	k->cpu_milli += g * ((double)r->cpu_milli - k->cpu_milli);
	k->samples++;
}

/* Records the run time of a successful attempt. */
void estimate_run(struct task *t, int64_t now_us)
{
	struct kind *k = t->key.job->kind;
	double run = (double)(now_us - t->started_us);
	double g = gain(k->runs);
	double off = run - k->run_us;

	/* A resumed attempt ran only the rest of the work. */
	if (!t->started_us || t->attempt_resumed)
		return;
	k->run_us += g * off;
	if (k->runs)
		k->run_dev_us += g * ((off < 0 ? -off : off) - k->run_dev_us);
	k->runs++;
}
