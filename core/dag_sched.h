#ifndef CORE_DAG_SCHED_H
#define CORE_DAG_SCHED_H

#include "core/dag_admit.h"
#include "core/dag_state.h"

/*
 * Scheduler of the leading controller for jobs that are graphs of steps. It places tasks
 * on workers, records each run before the worker gets the start request, renews the
 * workers' leases, records ends and throttles fillers that interfere with serving tasks.
 * It reads the replicated state, observes its changes and sends commands through its
 * host. All of its own data can be rebuilt from the state and the workers' lists.
 */

/* How a worker answered a command or a poll. */
enum dag_call_result {
	DAG_RESULT_OK,
	DAG_RESULT_FENCED,	  /* the worker has seen a higher fencing token */
	DAG_RESULT_RUN_ENDED,	  /* the run has already ended or was stopped there */
	DAG_RESULT_LEASE_EXPIRED, /* the lease in the command is over */
	DAG_RESULT_NO_CAPACITY,	  /* the task does not fit */
	DAG_RESULT_UNHEALTHY,	  /* refused; nothing was done */
	DAG_RESULT_INVALID,	  /* refused as malformed */
	DAG_RESULT_RESTARTED,	  /* another process answers at the worker's address */
	DAG_RESULT_UNKNOWN,	  /* no reply: it took effect, still may, or never will */
	/* Of a poll: the same, and the cause is the way to those who make the call. */
	DAG_RESULT_PATH_LOST,
	DAG_RESULT_REFUSED, /* of a poll: the connection was refused, perhaps by a cut */
};

/* Destination of a call to one worker; strings are valid only during the call. */
struct dag_worker_call {
	uint32_t worker;
	struct str id;
	struct str address;
	uint64_t token;	  /* fencing token: the worker refuses a lower one */
	int64_t lease_ms; /* end of the lease on the worker's clock, 0: none */
	/* Set by the host: when its right to send ends, on its clock. 0: no limit */
	int64_t send_until_us;
};

/* Starts, stops or throttles one run on a worker. */
struct dag_worker_command {
	struct dag_worker_call call;
	struct dag_task_ref task;
	uint32_t run;
	struct str spec;
	struct str checkpoint;
	uint32_t speed_percent; /* throttle only */
};

/* Reads a worker's lists of runs and ends and renews its lease. */
struct dag_poll_command {
	struct dag_worker_call call;
	uint64_t acked_end; /* the worker may drop ends up to this number */
	uint32_t wait_ms;   /* the worker may hold the reply this long; 0: none */
	bool no_reply;	    /* the host reports neither a reply nor a failure */
};

/* Entry of a worker's list of running tasks. */
struct dag_listed_run {
	struct dag_task_ref task;
	uint32_t run;
	struct str checkpoint;
	int32_t percent; /* progress, -1: not reported */
	int32_t level;	 /* serving: tail latency in ms; others: thousandths of a core */
};

/* Entry of a worker's list of ended runs. */
struct dag_listed_end {
	uint64_t number; /* increases with each end on the worker */
	struct dag_task_ref task;
	uint32_t run;
	enum dag_end_how how;
	struct str checkpoint;
};

struct dag_poll_reply {
	int64_t born_ms;  /* start time of the worker's process */
	int64_t clock_ms; /* the worker's clock */
	const struct dag_listed_run *running;
	size_t n_running;
	const struct dag_listed_end *ended;
	size_t n_ended;
	bool partial; /* there may be runs and ends that are not listed */
};

/* Of one task's wait for a place in the rack where it runs faster. */
enum dag_wait_event {
	DAG_WAIT_STARTED,
	DAG_WAIT_SUCCESSFUL,
	DAG_WAIT_UNSUCCESSFUL,
};

struct dag_host {
	const struct dag_host_ops *ops;
};

/* No operation may call back into the scheduler before it returns. */
struct dag_host_ops {
	/* Appends a command to the log; once committed, the state's observer sees it. */
	int (*propose)(struct dag_host *h, const struct dag_command *c);
	void (*start)(struct dag_host *h, const struct dag_worker_command *cmd);
	void (*stop)(struct dag_host *h, const struct dag_worker_command *cmd);
	void (*throttle)(struct dag_host *h, const struct dag_worker_command *cmd);
	void (*poll)(struct dag_host *h, const struct dag_poll_command *cmd);
	/* t NULL: event of a worker; run 0: event of a job, whose queue is in worker. */
	void (*log_event)(struct dag_host *h, const char *event,
			  const struct dag_task_ref *t, uint32_t run, struct str worker,
			  const char *reason, int64_t value);
	/* The same, of what ends accepted work: this event must not be dropped. */
	void (*log_final)(struct dag_host *h, const char *event,
			  const struct dag_task_ref *t, uint32_t run, struct str worker,
			  const char *reason, int64_t value);
	/* An event of an organisation; t is a task that it concerns. */
	void (*log_org)(struct dag_host *h, const char *event, struct str org,
			const struct dag_task_ref *t, const char *reason, int64_t value);
	/* NULL: not counted. us: how long it took, of one that ended. */
	void (*rack_wait)(struct dag_host *h, enum dag_wait_event event, int64_t us);
};

struct dag_sched_options {
	struct dag_host *host;
	struct dag_state *state;
	uint64_t epoch;
	int64_t lease_us;	     /* longest lease that a worker grants */
	int64_t stop_us;	     /* a worker stops a run within it */
	int64_t report_interval_us;  /* between a worker's reports */
	int64_t status_retention_us; /* how long ended jobs can be queried */
	bool admit_serving; /* refuse serving tasks in the room of urgent batch work */
	/* Thousandths of its run time that a task takes outside its rack, 0: no waits. */
	uint32_t cross_rack_milli;
	int64_t fixed_wait_us; /* tests compare with this wait; 0: it is decided */
	bool full_scan; /* score all workers for each task; tests compare with it */
};

struct dag_sched;

int dag_sched_new(const struct dag_sched_options *opt, int64_t now_us, int64_t wall_ms,
		  struct dag_sched **out);
void dag_sched_free(struct dag_sched *s);
void dag_sched_tick(struct dag_sched *s, int64_t now_us, int64_t wall_ms);
int64_t dag_sched_next_tick_us(const struct dag_sched *s);
/* Places waiting tasks. Called once after each batch of events. */
void dag_sched_place(struct dag_sched *s, int64_t now_us);
struct dag_admission dag_sched_admit(struct dag_sched *s, const struct dag_queue *q,
				     const struct dag_job *job);
/* First error: no memory or a failed proposal. The leader must step down. 0: none. */
int dag_sched_error(const struct dag_sched *s);

void dag_sched_worker_reported(struct dag_sched *s, uint32_t worker, int64_t now_us);
void dag_sched_worker_contradicted(struct dag_sched *s, const struct dag_report *r);
bool dag_report_valid(const struct dag_report *r, int64_t wall_ms);
bool dag_sched_report(struct dag_sched *s, const struct dag_report *r, int64_t now_us,
		      struct dag_worker *news);
bool dag_worker_equal(const struct dag_worker *a, const struct dag_worker *b);
void dag_sched_worker_leaving(struct dag_sched *s, uint32_t worker, int64_t now_us);
bool dag_sched_worker_left(const struct dag_sched *s, uint32_t worker);
void dag_sched_worker_ended(struct dag_sched *s, uint32_t worker, int64_t now_us);
void dag_sched_start_replied(struct dag_sched *s, uint32_t worker,
			     const struct dag_task_ref *t, uint32_t run,
			     enum dag_call_result result, int64_t now_us);
void dag_sched_stop_replied(struct dag_sched *s, uint32_t worker,
			    const struct dag_task_ref *t, uint32_t run,
			    enum dag_call_result result, int64_t now_us);
/* poll NULL: no usable reply came. */
void dag_sched_poll_replied(struct dag_sched *s, uint32_t worker,
			    enum dag_call_result result,
			    const struct dag_poll_reply *poll, int64_t now_us);
/* What the runs of an organisation reserve, and what waits. */
struct dag_org_stats {
	const struct dag_org *org;
	uint64_t cpu_milli; /* with that of fillers */
	uint64_t mem_mb;
	uint64_t gpus;
	uint32_t n_runs;
	size_t n_waiting; /* tasks */
	/* Sum over the tasks that its quota held back, since the previous call. */
	int64_t quota_wait_us;
};

void dag_sched_each_org(struct dag_sched *s,
			void (*each)(void *arg, const struct dag_org_stats *st),
			void *arg);
/* Whether a worker reported a newer epoch, that is, another process leads. */
bool dag_sched_fenced(const struct dag_sched *s);

#endif
