#ifndef CORE_SCHED_H
#define CORE_SCHED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/*
 * Placement decisions; see docs/design.md 2.7. One instance serves one epoch of
 * one leader and is rebuilt from records after a leader change:
 *
 *   sched_new, sched_quota..., sched_zone..., sched_job..., sched_task..., sched_ready
 *
 * sched_poll() may be called only while the leader lease is valid, and its reply
 * may be sent only as the response to that poll. Views (struct str) in arguments
 * are copied; views in a reply or a proposed record end with the next call.
 *
 * What a worker does, by its own clock:
 *  - It numbers its polls (seq) within a session. A session is one life of its
 *    processes; a later session has a larger number.
 *  - It acts only on the response to its latest poll, only when the response's
 *    epoch is not below the largest epoch it has seen, and on an order only before
 *    expires_us after it sent that poll.
 *  - Its lease ends lease_us after it sent the last answered poll. When the lease
 *    ends it stops every task before anything else.
 *  - Every poll lists every task that it holds. A task that ended stays listed with
 *    its end until the worker receives "forget" for it.
 */

enum sched_class {
	SCHED_LATENCY = 0, /* service executors: no end, restarted when lost */
	SCHED_URGENT = 1,  /* starts within 1.4 s, may evict batch work */
	SCHED_BATCH = 2,
};
#define SCHED_CLASSES 3

/* States of a task; the values are those of enum task_state in proto/command.x. */
enum sched_state {
	SCHED_WAITING = 0,   /* attempt (0: none yet) is certainly over */
	SCHED_PLACED = 1,    /* intent to start this attempt on the worker */
	SCHED_RUNNING = 2,   /* the worker reported it running */
	SCHED_DONE = 3,	     /* final */
	SCHED_FAILED = 4,    /* final */
	SCHED_CANCELLED = 5, /* final */
};

enum sched_reason {
	SCHED_R_NONE = 0,
	SCHED_R_EVICTED,      /* made room for urgent or latency work */
	SCHED_R_INTERFERENCE, /* stopped for the tail latency of a service */
	SCHED_R_ZONE_OUT,     /* its availability zone was taken out */
	SCHED_R_WORKER_LOST,  /* worker's lease ended or its session changed */
	SCHED_R_NOT_STARTED,  /* withdrawn before the worker acted on the order */
	SCHED_R_TASK_FAILED,  /* attempt failed; it is tried again */
	SCHED_R_REPLACED,     /* another executor took its place */
	SCHED_R_CANCELLED,    /* cancelled by its operators */
	SCHED_R_SCALED_DOWN,  /* service wants fewer executors */
	/* Final failures. */
	SCHED_R_TOO_LARGE,	  /* larger than every worker */
	SCHED_R_OVER_QUOTA,	  /* one task exceeds the quota of its team */
	SCHED_R_FAILED_TOO_OFTEN, /* failed on several workers that run other work */
	SCHED_R_JOB_FAILS,	  /* every task of its job failed on every worker tried */
};

struct sched_size {
	uint32_t cpu_milli; /* thousandths of a processor */
	uint32_t memory_mb;
	uint32_t accelerators;
};

/* Durable state of one task. (attempt, state) never goes back in the store. */
struct sched_record {
	struct str team;
	struct str job;
	uint32_t task;
	uint32_t attempt;
	enum sched_state state;
	struct str worker; /* empty while waiting */
	uint64_t session;  /* session of the worker */
	int32_t exit_code;
	uint64_t checkpoint; /* marker of the last checkpoint, 0: none */
	uint32_t failures;   /* attempts that failed by themselves */
	enum sched_reason reason;
};

struct sched_job {
	struct str team;
	struct str name;
	struct str kind; /* jobs of one kind share estimates; empty: the name */
	enum sched_class class;
	uint32_t priority; /* larger first, within team and class */
	uint32_t tasks;	   /* number of tasks; a service's number of executors */
	/*
	 * Services only: one more than the largest task number that the store has. A
	 * new executor takes the lowest number without an unfinished task, and the next
	 * attempt of that number. Numbers stay below the larger of next_task and
	 * SCHED_SERVICE_SPAN * tasks. At most `tasks` keep running.
	 */
	uint32_t next_task;
	struct sched_size size; /* declared, promised to the task */
	int64_t deadline_us;	/* on the clock of now_us; 0: none */
	int64_t run_us;		/* declared run time; 0: unknown */
	int64_t latency_us;	/* services: target of the tail latency; 0: none */
	uint32_t max_attempts;	/* failures after which a task fails; 0: no bound */
	bool checkpoint;	/* tasks can checkpoint */
	bool cancelled;		/* start-up feed: cancelled, tasks not yet over */
};

struct sched_quota {
	struct str team;
	struct sched_size limit; /* a zero member is no limit */
	uint32_t weight;	 /* share of contended capacity; 0 counts as 1 */
};

enum sched_status {
	SCHED_T_RUNNING = 0,
	SCHED_T_DONE = 1,
	SCHED_T_FAILED = 2,
	SCHED_T_STOPPED = 3,
	SCHED_T_CHECKPOINTED = 4, /* wrote a checkpoint and keeps running */
};

struct sched_task_report {
	struct str team;
	struct str job;
	uint32_t task;
	uint32_t attempt;
	enum sched_status status;
	int32_t exit_code;
	uint64_t checkpoint; /* marker of its last checkpoint, 0: none */
	uint32_t cpu_milli;  /* measured use */
	uint32_t memory_mb;
	int64_t latency_us; /* executors: tail latency, 0: no measurement */
};

struct sched_worker_report {
	struct str worker;
	struct str zone;
	struct str rack;
	uint64_t session;
	uint64_t seq;	/* number of this poll in the session, from 1 */
	uint64_t epoch; /* largest epoch that the worker has seen */
	struct sched_size capacity;
	int64_t lag_us; /* age of the measurements in this report */
	const struct sched_task_report *tasks;
	size_t ntasks;
};

enum sched_op {
	SCHED_START = 0,
	SCHED_STOP = 1,
	SCHED_CHECKPOINT = 2,
	SCHED_THROTTLE = 3, /* limit processors to percent of the size */
	SCHED_FORGET = 4,   /* the end of this attempt is recorded */
};

struct sched_command {
	enum sched_op op;
	struct str team;
	struct str job;
	uint32_t task;
	uint32_t attempt;
	uint64_t epoch;
	int64_t expires_us; /* after the worker sent the poll */
	struct sched_size size;
	uint64_t checkpoint; /* start: resume from this marker, 0: from the beginning */
	uint32_t percent;    /* throttle */
};

/* Response to one poll. The lease counts from when the worker sent the poll. */
struct sched_reply {
	int64_t lease_us; /* 0: no lease (late or repeated poll) */
	int64_t poll_us;  /* send the next poll after this time at the latest */
	uint64_t epoch;
	const struct sched_command *commands;
	size_t ncommands;
};

struct sched_host {
	const struct sched_ops *ops;
};

struct sched_ops {
	/*
	 * Starts to make the record durable. 0, or an error when it was certainly not
	 * accepted; the proposal is then made again later. CF_ENOENT: the store has no
	 * such job any more, so that its task ends without a record. Exactly one call
	 * of sched_committed() or sched_refused() must follow a 0 while this instance
	 * lives. Must not call back into the instance.
	 */
	int (*propose)(struct sched_host *, const struct sched_record *);
};

struct sched_options {
	struct sched_host *host;
	uint64_t epoch;
	int64_t lease_us;     /* 0: SCHED_LEASE_US */
	int64_t lease_max_us; /* longest lease that any earlier leader granted; 0: lease
			       */
	int64_t expires_us;   /* life of an order; 0: SCHED_EXPIRES_US */
	int64_t poll_us;      /* 0: SCHED_POLL_US */
	uint32_t max_tasks;   /* unfinished tasks; 0: SCHED_MAX_TASKS */
	bool first_fit;	      /* no learning, no throttling: first worker that fits; for
				 comparison */
};

#define SCHED_LEASE_US 6000000
/* Below the 2 s in which a zone taken out must be free of starts. */
#define SCHED_EXPIRES_US 1500000
#define SCHED_POLL_US 400000
#define SCHED_MAX_TASKS 200000U
/* An executor and its replacement hold two numbers. */
#define SCHED_SERVICE_SPAN 2
#define SCHED_MAX_NAME 256 /* bytes of a name */

struct sched_stats {
	uint64_t workers; /* with a lease that may run */
	uint64_t workers_quarantined;
	uint64_t tasks_waiting;
	uint64_t tasks_bound; /* placed, running or not certainly over */
	uint64_t starts;      /* intents proposed */
	uint64_t evictions;   /* attempts stopped for other work */
	uint64_t throttles;
	uint64_t lost; /* attempts lost with their worker */
	uint64_t late_reports;
	uint64_t proposals;
	uint64_t refused;
	uint64_t examined; /* workers examined for placement */
	size_t bytes;	   /* allocated by this instance, without allocator overhead */
};

struct sched;

/*
 * Allocation bound: one object for each worker, team, name, job and unfinished
 * task (max_tasks); sched_get_stats() tells the bytes.
 */
int sched_new(const struct sched_options *opt, struct sched **out);
void sched_free(struct sched *s);

/* Start-up feed and changes; each may also be called later. */
int sched_set_quota(struct sched *s, const struct sched_quota *quota, int64_t now_us);
int sched_set_zone(struct sched *s, struct str team, struct str zone, bool out,
		   int64_t now_us);
/* New job or changed service. During the start-up feed it brings no tasks. */
int sched_add_job(struct sched *s, const struct sched_job *job, int64_t now_us);
/*
 * Start-up feed: one unfinished task of a job fed before. Of a service every number
 * below next_task is fed; a final record keeps the attempt of a number that is free.
 */
int sched_load_task(struct sched *s, const struct sched_record *record, int64_t now_us);
/* Ends the start-up feed. Leases of earlier leaders are counted from here. */
void sched_finish_load(struct sched *s, int64_t now_us);
int sched_cancel_job(struct sched *s, struct str team, struct str job, int64_t now_us);

/* Takes one report and gives the response. CF_ESTALE: the worker saw a later epoch. */
int sched_poll(struct sched *s, const struct sched_worker_report *report, int64_t now_us,
	       struct sched_reply *reply);

void sched_committed(struct sched *s, const struct sched_record *record, int64_t now_us);
/*
 * The store decided against the record, or it can no longer be committed. attempt is
 * the newest attempt that the store has of the task, negative when it has no such task.
 */
void sched_refused(struct sched *s, const struct sched_record *record, int64_t attempt,
		   int64_t now_us);

void sched_tick(struct sched *s, int64_t now_us);
int64_t sched_next_tick_us(const struct sched *s);
void sched_get_stats(const struct sched *s, struct sched_stats *out);

#endif
