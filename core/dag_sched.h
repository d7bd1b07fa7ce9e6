#ifndef CORE_DAG_SCHED_H
#define CORE_DAG_SCHED_H

#include "core/dag_state.h"

/*
 * The scheduler of the leading controller. It decides which task runs on which worker,
 * records each run before the worker is told, keeps the workers' leases, notes ends and
 * paces fillers that disturb serving tasks. It reads the replicated state, observes its
 * changes and issues calls through its host; it holds nothing that cannot be rebuilt from
 * the state and the workers' own lists.
 */

/* What a worker answered to a start, stop or pace order. */
enum dag_answer {
	DAG_ANSWER_OK,
	DAG_ANSWER_FENCED,     /* the worker has seen a newer epoch */
	DAG_ANSWER_OLD,	       /* that run has ended or was stopped there */
	DAG_ANSWER_LATE,       /* the lease that the order carries has ended */
	DAG_ANSWER_NO_ROOM,    /* does not fit */
	DAG_ANSWER_UNHEALTHY,  /* refused, nothing was done */
	DAG_ANSWER_INVALID,    /* the order was not understood */
	DAG_ANSWER_OTHER_LIFE, /* the worker restarted */
	DAG_ANSWER_NONE,       /* may have been carried out, or may be later */
};

/* A call to one worker; strings are borrowed for the time of the call. */
struct dag_worker_call {
	uint32_t worker;
	struct str id;
	struct str address;
	uint64_t epoch;
	int64_t lease_ms; /* end of the lease on the worker's clock, 0: none */
};

struct dag_order {
	struct dag_worker_call call;
	struct dag_task_ref task;
	uint32_t run;
	struct str spec;
	struct str checkpoint;
	uint32_t percent; /* pace orders */
};

struct dag_look_order {
	struct dag_worker_call call;
	uint64_t seen; /* ends up to this number are recorded */
	uint32_t wait_ms;
};

/* An entry of a worker's list. */
struct dag_listed_run {
	struct dag_task_ref task;
	uint32_t run;
	struct str checkpoint;
	int32_t percent; /* -1: not told */
	int32_t level; /* tail in ms of a serving task, thousandths of a core of others */
};

struct dag_listed_end {
	uint64_t number;
	struct dag_task_ref task;
	uint32_t run;
	enum dag_end_how how;
	struct str checkpoint;
};

struct dag_look {
	int64_t born_ms;
	int64_t clock_ms;
	const struct dag_listed_run *running;
	size_t n_running;
	const struct dag_listed_end *ended;
	size_t n_ended;
};

struct dag_host {
	const struct dag_host_ops *ops;
};

/* No operation may call back into the scheduler before it returns. */
struct dag_host_ops {
	/* Makes a command durable; it comes back through the state's observer. */
	int (*propose)(struct dag_host *h, const struct dag_command *c);
	void (*start)(struct dag_host *h, const struct dag_order *o);
	void (*stop)(struct dag_host *h, const struct dag_order *o);
	void (*pace)(struct dag_host *h, const struct dag_order *o);
	void (*look)(struct dag_host *h, const struct dag_look_order *o);
	/* Why a task or worker changed, for the log. */
	void (*note)(struct dag_host *h, const char *event, const struct dag_task_ref *t,
		     uint32_t run, struct str worker, const char *reason, int64_t value);
};

struct dag_sched_options {
	struct dag_host *host;
	struct dag_state *state;
	uint64_t epoch;
	int64_t lease_us;  /* longest lease that a worker grants */
	int64_t report_us; /* period of the workers' reports */
	int64_t status_us; /* ended jobs are kept this long */
};

struct dag_sched;

int dag_sched_new(const struct dag_sched_options *opt, int64_t now_us, int64_t wall_ms,
		  struct dag_sched **out);
void dag_sched_free(struct dag_sched *s);
void dag_sched_tick(struct dag_sched *s, int64_t now_us, int64_t wall_ms);
int64_t dag_sched_deadline(const struct dag_sched *s);
/* Places what can start; for the end of a round of events. */
void dag_sched_place(struct dag_sched *s, int64_t now_us);
/* 0, or why the scheduler cannot go on: memory, or a proposal that failed. */
int dag_sched_failure(const struct dag_sched *s);

void dag_sched_reported(struct dag_sched *s, uint32_t worker, int64_t now_us);
void dag_sched_leaving(struct dag_sched *s, uint32_t worker, int64_t now_us);
void dag_sched_started(struct dag_sched *s, uint32_t worker, const struct dag_task_ref *t,
		       uint32_t run, enum dag_answer answer, int64_t now_us);
void dag_sched_stopped(struct dag_sched *s, uint32_t worker, const struct dag_task_ref *t,
		       uint32_t run, enum dag_answer answer, int64_t now_us);
/* look NULL: no usable answer came. */
void dag_sched_looked(struct dag_sched *s, uint32_t worker, enum dag_answer answer,
		      const struct dag_look *look, int64_t now_us);
/* Whether a worker named a newer epoch: another process leads. */
bool dag_sched_fenced(const struct dag_sched *s);

#endif
