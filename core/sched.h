#ifndef CORE_SCHED_H
#define CORE_SCHED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/*
 * Placement of tasks on workers; see docs/design.md 2.7. One instance serves one epoch
 * of one leader and is rebuilt from records after a leader change:
 *
 *   sched_new, sched_set_quota..., sched_set_zone..., sched_add_job...,
 *   sched_load_task..., sched_finish_load
 *
 * sched_poll() may be called only while the leader lease is valid, and its reply may be
 * sent only as the response to that poll. Strings (struct str) in arguments are copied;
 * strings in a reply or a proposed record are valid until the next call.
 *
 * Rules that a worker follows, by its own clock:
 *  - It numbers its polls (seq) within a session. A session lasts as long as its
 *    processes; a later session has a larger number.
 *  - It acts only on the response to its latest poll, only if the response's epoch is
 *    not below the largest epoch it has seen, and executes a command only within
 *    expires_us after it sent that poll.
 *  - Its lease ends lease_us after it sent the last answered poll. When the lease ends
 *    it stops every task before anything else.
 *  - Every poll lists every task that it holds. A task that ended stays listed with its
 *    result until the worker receives SCHED_FORGET for it.
 */

enum sched_class {
	SCHED_LATENCY = 0, /* service executors: no end, restarted when lost */
	SCHED_URGENT = 1,  /* starts within 1.4 s, may evict batch work */
	SCHED_BATCH = 2,
};
#define SCHED_CLASSES 3

/* States of a task; the values are those of enum task_state in proto/command.x. */
enum sched_state {
	SCHED_WAITING = 0,   /* the last attempt (0: none yet) is over */
	SCHED_PLACED = 1,    /* start of this attempt on the worker is recorded */
	SCHED_RUNNING = 2,   /* the worker reported it running */
	SCHED_DONE = 3,	     /* final */
	SCHED_FAILED = 4,    /* final */
	SCHED_CANCELLED = 5, /* final */
};

enum sched_reason {
	SCHED_R_NONE = 0,
	SCHED_R_EVICTED,      /* stopped to make room for urgent or latency work */
	SCHED_R_INTERFERENCE, /* stopped to protect the tail latency of a service */
	SCHED_R_ZONE_OUT,     /* its availability zone was taken out */
	SCHED_R_WORKER_LOST,  /* worker's lease ended or its session changed */
	SCHED_R_NOT_STARTED,  /* withdrawn before the worker received a start command */
	SCHED_R_TASK_FAILED,  /* attempt failed; the task is retried */
	SCHED_R_REPLACED,     /* another executor took its place */
	SCHED_R_CANCELLED,    /* cancelled by its operators */
	SCHED_R_SCALED_DOWN,  /* the service was scaled to fewer executors */
	/* Final failures. */
	SCHED_R_TOO_LARGE,	  /* larger than every worker */
	SCHED_R_OVER_QUOTA,	  /* one task exceeds the quota of its team */
	SCHED_R_FAILED_TOO_OFTEN, /* failed on several workers that run other work */
	SCHED_R_JOB_FAILS,	  /* every task of its job failed on every worker tried */
	SCHED_R_LOSES_WORKERS,	  /* several workers were lost soon after it started */
};

struct sched_size {
	uint32_t cpu_milli; /* thousandths of a CPU */
	uint32_t memory_mb;
	uint32_t accelerators;
};

#define SCHED_MAX_SILENCES 4

/* A worker that fell silent, and the session in which it ran the task. */
struct sched_silence {
	struct str worker;
	uint64_t session;
};

/* Durable state of one task. (attempt, state) never goes back in the store. */
struct sched_record {
	struct str team;
	struct str job;
	uint32_t task;
	uint32_t attempt;
	enum sched_state state;
	struct str worker; /* of the last attempt; need not be known while waiting */
	uint64_t session;  /* session of the worker */
	int32_t exit_code;
	uint64_t checkpoint; /* marker of the last checkpoint, 0: none */
	uint32_t failures;   /* attempts that failed by themselves */
	uint32_t losses;     /* workers lost soon after the task started */
	uint32_t pardons;    /* losses that do not count */
	uint32_t silent;     /* workers that fell silent soon after the task started */
	uint32_t nsilences;  /* entries of silence, the latest ones; oldest first */
	struct sched_silence silence[SCHED_MAX_SILENCES];
	int64_t placed_us; /* initial load: time of the placement, 0: unknown */
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
	struct sched_size size; /* declared size, reserved for the task */
	int64_t deadline_us;	/* on the clock of now_us; 0: none */
	int64_t run_us;		/* declared run time; 0: unknown */
	int64_t latency_us;	/* services: target of the tail latency; 0: none */
	uint32_t max_attempts;	/* failures after which a task fails; 0: no bound */
	bool checkpoint;	/* tasks can checkpoint */
	bool cancelled; /* initial load: cancelled, but some tasks have not ended */
};

struct sched_quota {
	struct str team;
	struct sched_size limit; /* a zero member is no limit */
	uint32_t weight;	 /* relative share of contended capacity; 0 counts as 1 */
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
	SCHED_THROTTLE = 3, /* limit CPU use to percent of the size */
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
	 * Starts to make the record durable in the store. Returns 0, or an error if it
	 * is certain that the store did not accept the proposal; it is then repeated
	 * later. CF_ENOENT: the store no longer has the job, so its task ends without a
	 * record. While this instance exists,
	 * each return of 0 is followed by exactly one call of sched_committed() or
	 * sched_refused(). Must not call back into the instance.
	 */
	int (*propose)(struct sched_host *, const struct sched_record *);
	/*
	 * Starts to record the capacity of a worker, for sched_load_capacity() of later
	 * leaders. Not answered. An error: it is repeated later. May be NULL.
	 */
	int (*record_capacity)(struct sched_host *, struct sched_size);
};

struct sched_options {
	struct sched_host *host;
	uint64_t epoch;
	int64_t lease_us;     /* 0: SCHED_LEASE_US */
	int64_t lease_max_us; /* longest lease of any earlier leader; 0: lease_us */
	int64_t expires_us;   /* lifetime of a command; 0: SCHED_EXPIRES_US */
	int64_t poll_us;      /* 0: SCHED_POLL_US */
	uint32_t max_tasks;   /* unfinished tasks; 0: SCHED_MAX_TASKS */
	/* Takes the first worker that fits, without learning or throttling; baseline. */
	bool first_fit;
};

#define SCHED_LEASE_US 6000000
/* Starts in a zone taken out must cease within 2 s, so commands expire sooner. */
#define SCHED_EXPIRES_US 1500000
#define SCHED_POLL_US 400000
#define SCHED_MAX_TASKS 200000U
/* During a replacement, an executor and its successor each use one number. */
#define SCHED_SERVICE_SPAN 2
#define SCHED_MAX_NAME 256 /* bytes of a name */

struct sched_stats {
	uint64_t workers; /* with a lease that may be valid */
	uint64_t workers_quarantined;
	uint64_t tasks_waiting;
	uint64_t tasks_bound; /* placed, running or not known to have ended */
	uint64_t starts;      /* placements proposed */
	uint64_t evictions;   /* attempts stopped for other work */
	uint64_t throttles;
	uint64_t lost;	   /* attempts lost with their worker */
	uint64_t given_up; /* tasks failed because they lost their workers */
	uint64_t late_reports;
	uint64_t proposals;
	uint64_t refused;
	uint64_t examined; /* workers examined for placement */
	size_t bytes;	   /* allocated by this instance, without allocator overhead */
};

struct sched;

/*
 * Memory is bounded by one object for each worker, team, name, job and unfinished task
 * (max_tasks); sched_get_stats() returns the bytes.
 */
int sched_new(const struct sched_options *opt, struct sched **out);
void sched_free(struct sched *s);

/* Initial load and changes; each may also be called later. */
int sched_set_quota(struct sched *s, const struct sched_quota *quota, int64_t now_us);
int sched_set_zone(struct sched *s, struct str team, struct str zone, bool out,
		   int64_t now_us);
/* Adds a job or changes a service. During the initial load no tasks are created. */
int sched_add_job(struct sched *s, const struct sched_job *job, int64_t now_us);
/*
 * Initial load: adds one unfinished task of a loaded job. For a service every number
 * below next_task is loaded; a final record gives the last attempt of a number without a
 * task.
 */
int sched_load_task(struct sched *s, const struct sched_record *record, int64_t now_us);
void sched_load_capacity(struct sched *s, struct sched_size capacity);
/* Ends the initial load. Leases granted by earlier leaders are counted from now_us. */
void sched_finish_load(struct sched *s, int64_t now_us);
int sched_cancel_job(struct sched *s, struct str team, struct str job, int64_t now_us);

/* Processes a report and fills the reply. CF_ESTALE: the worker saw a later epoch. */
int sched_poll(struct sched *s, const struct sched_worker_report *report, int64_t now_us,
	       struct sched_reply *reply);

void sched_committed(struct sched *s, const struct sched_record *record, int64_t now_us);
/*
 * The store rejected the record, or it can no longer be committed. attempt is the last
 * attempt that the store has of the task, negative if it has no such task.
 */
void sched_refused(struct sched *s, const struct sched_record *record, int64_t attempt,
		   int64_t now_us);

void sched_tick(struct sched *s, int64_t now_us);
int64_t sched_next_tick_us(const struct sched *s);
void sched_get_stats(const struct sched *s, struct sched_stats *out);

#endif
