#ifndef CORE_DAG_PREVIEW_H
#define CORE_DAG_PREVIEW_H

#include "core/dag_sched.h"

/*
 * Where the tasks of a job would start now and why, found by the leader's own decisions.
 * Strings point into the state, or the submission, and are valid until it changes.
 */

#define DAG_PREVIEW_CANDIDATES 64U /* of a step; those nearest to taking a task */
#define DAG_PREVIEW_TASKS 64U	   /* of a step, the first that wait */
#define DAG_PREVIEW_STEPS 4U	   /* the first that wait */
#define DAG_PREVIEW_NOTES 16U

struct dag_preview_candidate {
	struct str worker;
	struct str rack;
	const char *reason;
	int64_t missing; /* thousandths of a core, with memory as a part of them */
	int64_t age_ms;	 /* since the worker was heard */
};

struct dag_preview_task {
	uint32_t index;
	bool waits; /* for its rack, though another worker would take it */
	struct str worker;
	struct str rack;
};

struct dag_preview_step {
	uint32_t occurrence;
	uint32_t number;
	uint32_t waiting;      /* tasks */
	uint32_t steps_before; /* that wait and come before it in the order */
	struct dag_preview_task task[DAG_PREVIEW_TASKS];
	size_t n_tasks;
	/* Wait for a rack. */
	uint32_t hold; /* tasks that wait */
	const char *wait_reason;
	struct str wait_rack;
	int64_t until_ms; /* from now on, 0: no wait */
	int64_t free_ms;  /* when a place is expected to be free */
	int64_t free_sd_ms;
	int64_t extra_ms;
	int64_t slack_ms;
	struct dag_preview_candidate candidate[DAG_PREVIEW_CANDIDATES];
	size_t n_candidates;
};

/* What keeps tasks of a step waiting, such as a quota. */
struct dag_preview_note {
	const char *part;
	const char *text;
	struct str subject; /* a worker, organisation or queue */
	int64_t value;
};

struct dag_preview {
	uint64_t job; /* 0: it is not submitted */
	const char *state;
	struct str queue;
	struct str organisation; /* empty: none */
	uint32_t priority;
	size_t n_workers;
	int64_t view_age_ms; /* since the worker in service that was heard last was heard
			      */
	struct dag_preview_step step[DAG_PREVIEW_STEPS];
	size_t n_steps;
	size_t n_steps_waiting;
	struct dag_preview_note note[DAG_PREVIEW_NOTES];
	size_t n_notes;
};

int dag_preview_job(struct dag_sched *s, uint64_t id, int64_t now_us,
		    struct dag_preview *out);
int dag_preview_submission(struct dag_sched *s, const struct dag_job *spec,
			   int64_t now_us, struct dag_preview *out);

#endif
