#include "core/dag_load.h"

#include <math.h>

#define USEC 1e-6
#define LOAD_INITIAL 0.4
#define LOAD_VARIANCE_INITIAL 0.04
#define RATE_VARIANCE_INITIAL 0.0025
/* Variance that a second adds to the rate. */
#define RATE_DRIFT 0.0016
/* A load that swings does not go on rising: its rate is expected to decay. */
#define RATE_DECAY_S 4.0
#define LOAD_MIN 0.02
#define LOAD_MAX 0.95

static double clamp(double v, double low, double high)
{
	return v < low ? low : v > high ? high : v;
}

/* Time for which the rate of now would have to last for the same change. */
static double decayed(double seconds)
{
	return RATE_DECAY_S * (1 - exp(-seconds / RATE_DECAY_S));
}

/* Moves the estimate forward in time. */
static void predict(struct dag_load *l, double seconds)
{
	double dt2 = seconds * seconds;

	l->load += l->rate * decayed(seconds);
	l->rate *= exp(-seconds / RATE_DECAY_S);
	l->var_load += seconds * (2 * l->covar + seconds * l->var_rate) +
		       RATE_DRIFT * dt2 * seconds / 3;
	l->covar += seconds * l->var_rate + RATE_DRIFT * dt2 / 2;
	l->var_rate += RATE_DRIFT * seconds;
}

/* Takes a measurement with the variance of its error; now_us must not go back. */
void dag_load_update(struct dag_load *l, double measured, double variance, int64_t now_us)
{
	double gain_load;
	double gain_rate;
	double error;

	if (!l->updated_us) {
		*l = (struct dag_load){
			.load = LOAD_INITIAL,
			.var_load = LOAD_VARIANCE_INITIAL,
			.var_rate = RATE_VARIANCE_INITIAL,
		};
	} else if (now_us > l->updated_us) {
		predict(l, (double)(now_us - l->updated_us) * USEC);
	}
	l->updated_us = now_us;
	error = measured - l->load;
	gain_load = l->var_load / (l->var_load + variance);
	gain_rate = l->covar / (l->var_load + variance);
	l->load = clamp(l->load + gain_load * error, LOAD_MIN, LOAD_MAX);
	l->rate += gain_rate * error;
	l->var_load *= 1 - gain_load;
	l->var_rate -= gain_rate * l->covar;
	l->covar *= 1 - gain_load;
}

/* The load expected at a time not before the newest measurement. */
double dag_load_at(const struct dag_load *l, int64_t at_us)
{
	if (!l->updated_us)
		return LOAD_INITIAL;
	return clamp(l->load + l->rate * decayed((double)(at_us - l->updated_us) * USEC),
		     LOAD_MIN, LOAD_MAX);
}

/* Variance of the load at the newest measurement. */
double dag_load_variance(const struct dag_load *l)
{
	return l->updated_us ? l->var_load : LOAD_VARIANCE_INITIAL;
}
