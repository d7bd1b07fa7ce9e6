#ifndef CORE_DAG_RUNTIME_H
#define CORE_DAG_RUNTIME_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Run times of the tasks of each queue, learned from ended runs as the ratio of the time
 * from the record of the start to that of the end to the declared estimate. Each replica
 * learns from the log entries that it applies. Zeroed memory is valid and knows nothing.
 */

#define DAG_RUNTIME_QUEUES 64U /* the least recently updated one is replaced */

struct dag_runtime_queue {
	bool used;
	uint64_t high, low; /* identity of the queue */
	uint32_t n;	    /* runs, up to the number that the averages reach back */
	double mean;	    /* of the ratio */
	double var;
	uint64_t updated; /* number of the newest run of all queues by then */
};

struct dag_runtime {
	struct dag_runtime_queue queue[DAG_RUNTIME_QUEUES];
	uint64_t n_runs;
};

/* A time with its standard deviation. */
struct dag_time_estimate {
	int64_t mean_us;
	int64_t sd_us;
};

/* What is known of a run that has not ended. */
struct dag_run_age {
	int64_t age_us;
	int32_t progress_percent; /* -1: not known */
	int64_t progress_age_us;  /* the run's age when it had that progress */
};

void dag_runtime_learn(struct dag_runtime *rt, uint64_t high, uint64_t low,
		       uint32_t estimate_ms, int64_t took_ms);
struct dag_time_estimate dag_runtime_of(const struct dag_runtime *rt, uint64_t high,
					uint64_t low, uint32_t estimate_ms);
struct dag_time_estimate dag_runtime_left(const struct dag_time_estimate *total,
					  const struct dag_run_age *age);

#endif
