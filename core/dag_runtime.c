/* Learned run times of the tasks of each queue. */
#include "core/dag_runtime.h"

#include <math.h>
#include <stddef.h>

#define USEC_PER_MS 1000
/* Runs that the averages reach back; the load of a queue changes within minutes. */
#define RUNS_AVERAGED 64U
/* A run that was held up for a reason of its own counts as at most this ratio. */
#define RATIO_MAX 20.0
/* Before any run has ended the estimate counts like so many runs of this ratio. */
#define PRIOR_RUNS 4.0
#define PRIOR_RATIO 1.0
#define PRIOR_VAR 0.25
/* Progress is reported in whole percents, and the first ones say little of the rest. */
#define PROGRESS_MIN 10
#define PROGRESS_REL_SD 0.25
/*
 * A run that is older than expected is one of the long ones. With a heavy tail the
 * expected rest grows with the age (Harchol-Balter and Downey, SIGMETRICS 1996).
 */
#define OVERDUE_REST 0.5

static struct dag_runtime_queue *find(struct dag_runtime *rt, uint64_t high, uint64_t low)
{
	for (size_t i = 0; i < DAG_RUNTIME_QUEUES; i++)
		if (rt->queue[i].used && rt->queue[i].high == high &&
		    rt->queue[i].low == low)
			return &rt->queue[i];
	return NULL;
}

/* A free entry, or the one that was not updated for the longest time. */
static struct dag_runtime_queue *replace(struct dag_runtime *rt)
{
	struct dag_runtime_queue *oldest = &rt->queue[0];

	for (size_t i = 0; i < DAG_RUNTIME_QUEUES; i++) {
		if (!rt->queue[i].used)
			return &rt->queue[i];
		if (rt->queue[i].updated < oldest->updated)
			oldest = &rt->queue[i];
	}
	return oldest;
}

/* Counts a run that took so long; runs without an estimate or a duration do not count. */
void dag_runtime_learn(struct dag_runtime *rt, uint64_t high, uint64_t low,
		       uint32_t estimate_ms, int64_t took_ms)
{
	struct dag_runtime_queue *q;
	double ratio, error, part;

	if (!estimate_ms || took_ms <= 0)
		return;
	ratio = fmin((double)took_ms / estimate_ms, RATIO_MAX);
	q = find(rt, high, low);
	if (!q) {
		q = replace(rt);
		*q = (struct dag_runtime_queue){.used = true, .high = high, .low = low};
	}
	if (q->n < RUNS_AVERAGED)
		q->n++;
	q->updated = ++rt->n_runs;
	part = 1.0 / q->n;
	error = ratio - q->mean;
	q->mean += part * error;
	q->var = (1 - part) * (q->var + part * error * error);
}

/* Expected run time of a task of a queue with a declared estimate. */
struct dag_time_estimate dag_runtime_of(const struct dag_runtime *rt, uint64_t high,
					uint64_t low, uint32_t estimate_ms)
{
	const struct dag_runtime_queue *q = find((struct dag_runtime *)rt, high, low);
	double n = q ? q->n : 0;
	double mean =
		(PRIOR_RUNS * PRIOR_RATIO + n * (q ? q->mean : 0)) / (PRIOR_RUNS + n);
	double var = (PRIOR_RUNS * PRIOR_VAR + n * (q ? q->var : 0)) / (PRIOR_RUNS + n);
	double estimate_us = (double)estimate_ms * USEC_PER_MS;

	return (struct dag_time_estimate){(int64_t)(mean * estimate_us),
					  (int64_t)(sqrt(var) * estimate_us)};
}

/*
 * Expected rest of a run. Its own progress says more than the other runs of its queue as
 * soon as there is enough of it.
 */
struct dag_time_estimate dag_runtime_left(const struct dag_time_estimate *total,
					  const struct dag_run_age *age)
{
	int64_t left = total->mean_us - age->age_us;
	int32_t percent = age->progress_percent;

	if (percent >= PROGRESS_MIN && percent <= 100 && age->progress_age_us > 0) {
		double rate = (double)age->progress_age_us / percent;
		double rest = rate * (100 - percent) -
			      (double)(age->age_us - age->progress_age_us);
		double sd = rate + PROGRESS_REL_SD * fmax(rest, 0);

		return (struct dag_time_estimate){(int64_t)fmax(rest, 0), (int64_t)sd};
	}
	if (left < (int64_t)(OVERDUE_REST * (double)total->sd_us)) {
		int64_t over = age->age_us - total->mean_us;

		/* Continuous at the expected end, and growing with the age after it. */
		left = (int64_t)(OVERDUE_REST *
				 (double)(total->sd_us + (over > 0 ? over : 0)));
		return (struct dag_time_estimate){left,
						  total->sd_us + (over > 0 ? over : 0)};
	}
	return (struct dag_time_estimate){left, total->sd_us};
}
