#ifndef CORE_DAG_COUNTED_H
#define CORE_DAG_COUNTED_H

#include "core/dag_state.h"

/*
 * The runs that count towards giving a task up, with how the end of each is known. Kept
 * by each process beside the replicated task, for the log only: snapshots do not have
 * them.
 */

#define DAG_COUNTED_MAX 8U /* of a task: the newest */
#define DAG_COUNTED_TEXT_MAX_BYTES 1500U

struct dag_counted_end {
	uint32_t run;
	bool crashed;	   /* its worker; false: the run failed */
	struct str worker; /* id; empty: not known */
	const char *known; /* static text: how the end is known */
};

void dag_counted_add(struct dag_counted **list, const struct dag_counted_end *e);
void dag_counted_explain(struct dag_counted *list, uint32_t run, const char *known);
void dag_counted_forget_crashes(struct dag_counted **list);
void dag_counted_free(struct dag_counted **list);
int dag_counted_describe(const struct dag_job_rec *j, const struct dag_end *e,
			 struct buf *text, uint32_t *total);

#endif
