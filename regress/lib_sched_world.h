#ifndef REGRESS_LIB_SCHED_WORLD_H
#define REGRESS_LIB_SCHED_WORLD_H

#include "base/prng.h"
#include "core/capacity.h"
#include "core/sched.h"
#include "core/sched_heap.h"

/*
 * Virtual-time world for the scheduler: workers with their own clocks, a lossy
 * network, a record store with delayed commits and leaders that crash. Every start,
 * end and record is checked against the invariants; the first violation is kept.
 */
#define SIM_KINDS 8
#define SIM_HISTORY 24

struct sim_sample {
	int64_t at_us;
	int64_t latency_us;
	uint32_t cpu_milli;
};

struct sim_job;

/* One attempt held by a worker. */
struct sim_run {
	struct sim_job *job;
	uint32_t task;
	uint32_t attempt;
	enum sched_status status;
	int32_t exit_code;
	uint32_t percent;
	uint64_t checkpoint;
	double done_us;	 /* work done, with that of earlier attempts */
	int64_t stop_us; /* a stop takes a while; 0: none */
	struct sim_sample sample[SIM_HISTORY];
	unsigned int nsamples;
	struct sim_run *next;
};

struct sim_silence {
	struct sim_worker *worker;
	uint64_t session;
};

/* What the store and the checker know of one task. */
struct sim_task {
	uint32_t attempt;
	enum sched_state state;
	struct sim_worker *worker;
	uint64_t session;
	int32_t exit_code;
	uint64_t checkpoint;
	uint32_t failures;
	uint32_t losses;
	uint32_t pardons;
	uint32_t silent;
	uint32_t nsilences;
	struct sim_silence silence[SCHED_MAX_SILENCES];
	int64_t placed_us;
	enum sched_reason reason;
	uint32_t started;     /* newest attempt that a worker began */
	uint32_t finished;    /* attempt that ran to its end, 0: none */
	bool finish_lost;     /* the worker lost that result, or its lease ended */
	uint64_t written;     /* largest checkpoint marker written */
	unsigned int running; /* workers that run it now */
	int64_t started_us;
	int64_t done_us;
	uint32_t starts;
	uint32_t kills; /* worker processes that it ended */
	bool exists;
};

struct sim_job {
	char name[16];
	unsigned int team;
	unsigned int kind;
	struct sched_job opt;
	int64_t run_us;	    /* true run time */
	uint32_t cpu_milli; /* true use */
	bool poison;
	bool deadly; /* its tasks end the process of their worker */
	bool cancelled;
	bool fed;
	int64_t submitted_us;
	int64_t base_us; /* executors: latency without neighbours */
	struct sim_task *task;
	uint32_t ntasks;
};

struct sim_worker {
	unsigned int index;
	char name[16];
	char zone[16];
	char rack[16];
	unsigned int zone_index;
	struct sched_size capacity;
	struct sched_size used;
	double rate; /* of its clock */
	bool up;
	bool bad;
	bool cut; /* partitioned */
	uint64_t session;
	uint64_t seq;
	uint64_t epoch;
	int64_t sent_us;  /* own clock, newest poll */
	int64_t lease_us; /* own clock, end of the lease */
	int64_t advanced_us;
	uint64_t timer; /* generation of its poll timer */
	struct sim_run *runs;
	unsigned int failures; /* attempts that failed here */
};

struct sim_event;

/* A placement policy; the scheduler, or a naive one for comparison. */
struct sim_policy {
	int (*start)(struct sim_policy *, struct sched_host *, uint64_t epoch);
	void (*stop)(struct sim_policy *);
	int (*poll)(struct sim_policy *, const struct sched_worker_report *,
		    int64_t now_us, struct sched_reply *);
	struct sched *sched; /* NULL for another policy */
	int (*job)(struct sim_policy *, const struct sched_job *, int64_t now_us);
	void (*zone)(struct sim_policy *, struct str team, struct str zone, bool out,
		     int64_t now_us);
	void (*committed)(struct sim_policy *, const struct sched_record *,
			  int64_t now_us);
	void (*tick)(struct sim_policy *, int64_t now_us);
	int64_t (*deadline)(const struct sim_policy *);
};

struct sim_options {
	uint64_t seed;
	unsigned int workers;
	unsigned int zones;
	unsigned int rack_size;
	unsigned int teams;
	struct sched_size capacity;
	bool drift;	   /* clocks at the bound of 1 part in 1,000 */
	unsigned int loss; /* lost and doubled messages of 1,000 */
	int64_t delay_us;  /* largest message delay; mostly far below */
	int64_t lag_us;	   /* age of measurements */
	int64_t sync_us;   /* added to the time of every commit */
	double noise;	   /* of measured latencies */
	int64_t retry_us;  /* a worker without response polls again after it; 0: 0.5 s */
};

struct sim {
	struct sched_host host; /* first member */
	struct sim_options opt;
	struct prng rng;
	int64_t now_us;
	struct sched_heap events;
	uint64_t tie;
	struct sim_policy *policy;
	struct sched *sched;
	bool leading;
	uint64_t epoch;
	double rate;
	int64_t offset_us;
	int64_t last_commit_us;
	struct sim_worker *worker;
	struct sim_job **job;
	unsigned int njobs;
	int64_t out_us[4][16];		   /* when a team took a zone out, 0: in */
	double coef[SIM_KINDS][SIM_KINDS]; /* executor kind, neighbour kind */
	double load;
	char error[256];
	unsigned int errors;
	uint64_t starts;
	uint64_t done;
	uint64_t evictions;
	uint64_t late_starts; /* orders that workers refused as out of date */
	double work_us;	      /* batch work done that counts */
	double lost_us;	      /* batch work done and lost */
	double wall_ns;	      /* time spent in the policy */
	uint64_t calls;
	int64_t deadly_gap_us; /* until a worker that a task ended is back */
	bool busy_store;       /* some proposals cannot be made, some are refused */
	struct capacity_list capacities; /* recorded */
	void (*latency)(struct sim *, const struct sim_job *, int64_t latency_us);
};

struct sim *sim_new(const struct sim_options *opt, struct sim_policy *policy);
void sim_free(struct sim *w);
void sim_run(struct sim *w, int64_t until_us);
struct sim_job *sim_submit(struct sim *w, unsigned int team, unsigned int kind,
			   struct sched_job opt, int64_t run_us);
void sim_cancel(struct sim *w, struct sim_job *j);
void sim_zone(struct sim *w, unsigned int team, unsigned int zone, bool out);
void sim_crash_leader(struct sim *w, int64_t gap_us);
void sim_crash_worker(struct sim *w, unsigned int i, int64_t gap_us, bool keep_tasks);
void sim_cut(struct sim *w, unsigned int i, bool cut);
void sim_fail(struct sim *w, const char *text, const struct sim_job *j, uint32_t task);
unsigned int sim_unfinished(const struct sim *w, bool services);
struct str sim_team(unsigned int i);
struct sim_policy *sim_scheduler(void);

#endif
