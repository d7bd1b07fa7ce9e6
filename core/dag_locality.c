/* Weighs the wait for a place in the wanted rack against the longer run elsewhere. */
#include "core/dag_locality.h"

#include <math.h>

/* A wait is begun if the place is free in time with a probability of about five sixths.
 */
#define BEGIN_SD 1
/* What is farther from the objective is taken to be certain. */
#define CERTAIN_SD 3.0

static struct dag_locality_choice place_now(const char *reason)
{
	return (struct dag_locality_choice){.reason = reason};
}

static int64_t min64(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

/*
 * How safely a job that has so much time left after its expected end meets its objective,
 * in standard deviations; a larger number is a larger probability.
 */
static double chance(int64_t left_us, double sd_us)
{
	double z = (double)left_us / (sd_us > 1 ? sd_us : 1);

	return fmax(-CERTAIN_SD, fmin(z, CERTAIN_SD));
}

/*
 * A wait that fails costs its length in addition to the longer run. So it is never longer
 * than the time that it can save, which bounds the loss to that of the worse place (the
 * ski rental problem: Karlin, Manasse, Rudolph and Sleator, Algorithmica 1988), and never
 * so long that a job misses its objective which it would meet elsewhere now. Of two ways
 * the one that meets the objective with the lower probability is not taken.
 */
struct dag_locality_choice dag_locality_choose(const struct dag_locality_input *in)
{
	int64_t free_us = in->free_us > 0 ? in->free_us : 0;
	int64_t sd_us = in->free_sd_us > 0 ? in->free_sd_us : 0;
	int64_t by_us = free_us + BEGIN_SD * sd_us;
	int64_t limit_us = in->extra_us - in->waited_us;
	int64_t else_us;

	if (in->extra_us <= 0)
		return place_now("another rack costs no time");
	if (limit_us <= 0)
		return place_now("has waited as long as another rack costs");
	if (by_us >= in->extra_us)
		return place_now("its rack is expected to be free too late");
	if (by_us > limit_us)
		return place_now("the rest of its wait is too short");
	else_us = in->slack_us - in->extra_us;
	if (chance(in->slack_us - free_us, hypot((double)sd_us, (double)in->run_sd_us)) <
	    chance(else_us, (double)in->elsewhere_sd_us))
		return place_now("a wait would endanger its objective");
	/* It meets the objective elsewhere, also if it begins there after the wait. */
	if (else_us > in->elsewhere_sd_us)
		limit_us = min64(limit_us, else_us);
	if (by_us > limit_us)
		return place_now("a wait would endanger its objective");
	return (struct dag_locality_choice){
		.wait = true,
		.until_us = limit_us,
		.reason = "its rack is expected to be free soon",
	};
}
