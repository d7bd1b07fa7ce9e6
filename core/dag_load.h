#ifndef CORE_DAG_LOAD_H
#define CORE_DAG_LOAD_H

#include <stdint.h>

/*
 * Estimate of a load that changes steadily, such as that of a service over the day: a
 * Kalman filter of the load and its rate of change (R. E. Kalman, A New Approach to
 * Linear Filtering and Prediction Problems, 1960). Loads are shares of a VM's capacity.
 * Zeroed memory is a valid estimate without measurements.
 */
struct dag_load {
	double load;
	double rate; /* per second */
	/* Variances of load and rate, and their covariance. */
	double var_load;
	double var_rate;
	double covar;
	int64_t updated_us; /* 0: no measurement yet */
};

void dag_load_update(struct dag_load *l, double measured, double variance,
		     int64_t now_us);
double dag_load_at(const struct dag_load *l, int64_t at_us);
double dag_load_variance(const struct dag_load *l);

#endif
