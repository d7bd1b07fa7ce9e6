#ifndef CORE_DAG_LOCALITY_H
#define CORE_DAG_LOCALITY_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Whether a task that runs faster in one rack starts elsewhere now or waits for the rack;
 * docs/design/locality.md. Times are in microseconds, from now on.
 */
struct dag_locality_input {
	int64_t free_us;    /* until a place in the wanted rack is expected to be free */
	int64_t free_sd_us; /* standard deviation of that */
	int64_t extra_us;   /* by which a run elsewhere takes longer */
	/* That the job can lose before its objective if the task began in the rack now.
	 */
	int64_t slack_us;
	int64_t run_sd_us;	 /* standard deviation of its run time in the rack */
	int64_t elsewhere_sd_us; /* and elsewhere */
	int64_t waited_us;	 /* the task has waited so long already */
};

struct dag_locality_choice {
	bool wait;
	int64_t until_us; /* at the latest, from now on */
	const char *reason;
};

struct dag_locality_choice dag_locality_choose(const struct dag_locality_input *in);

#endif
