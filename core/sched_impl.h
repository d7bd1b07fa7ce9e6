#ifndef CORE_SCHED_IMPL_H
#define CORE_SCHED_IMPL_H

/* Private to core/sched*.c; the interface is core/sched.h. */

#include <sys/queue.h>
#include <uthash.h>

#include "core/capacity.h"
#include "core/sched.h"
#include "core/sched_heap.h"

/*
 * A lease runs on the worker's clock and its end is awaited on the leader's. Each clock
 * may be off by 1 part in 1,000, so the longest wait is 1001/999 of the lease; 1/400
 * covers it.
 */
#define CLOCK_MARGIN_DIV 400

#define MAX_ZONES 64	 /* bits of the mask of zones that are out */
#define FREE_BUCKETS 129 /* by whole free CPUs; the last bucket takes the rest */
#define MAX_FAILED_ON 4	 /* latest workers that failed a task */
#define BURST_WORKERS 3	 /* workers lost at once that have a common cause */

#define ENDED_TASKS 16	   /* kept per worker, for late measurements */
#define MAX_FEATURES 16	   /* batch kinds considered in one measurement of a worker */
#define THROTTLE_REPEATS 3 /* responses that carry a new throttle, against loss */
/* A worker that missed about five polls is probably disconnected. */
#define SILENT_POLLS 5
#define MAX_COMMANDS 256 /* in one response */
#define STEP_US 10000	 /* delay between two bounded steps while work remains */
#define STEP_LOST_WORKERS 64
#define STEP_TASKS 512 /* tasks of cancelled jobs and drained zones in one step */
#define STEP_PROPOSALS 512
#define STEP_PLACEMENTS 64
#define STEP_JOBS 128	       /* jobs tried in one step */
#define CANDIDATES 96	       /* workers scored for one placement, shared by the zones */
#define ZONE_CANDIDATES 8      /* minimum per zone */
#define WAITING_STEP_US 500000 /* interval between steps while tasks wait */
#define BUSY_POLL_US 100000    /* poll interval of a worker with pending commands */

struct worker;
struct job;

TAILQ_HEAD(task_queue, task);
TAILQ_HEAD(job_queue, job);
TAILQ_HEAD(worker_queue, worker);

struct zone {
	char *name;
	size_t len;
	unsigned int index;
	struct worker_queue workers;
	struct worker_queue free[FREE_BUCKETS];
	uint32_t nworkers;
	UT_hash_handle hh;
};

struct rack {
	char *name;
	size_t len;
	unsigned int index;
	UT_hash_handle hh;
};

/* Jobs of one team that share estimates. */
struct kind {
	char *key; /* team id, then the name */
	size_t len;
	double run_us; /* mean run time of successful attempts */
	double run_dev_us;
	double cpu_milli; /* mean measured use */
	uint32_t runs;
	bool proven; /* an attempt of the kind succeeded or ran for PROVEN_US */
	uint32_t samples;
	UT_hash_handle hh;
};

struct team_zone {
	bool ramp;
	int64_t returned_us; /* when the zone was last put back into use */
	uint32_t starts_since_return;
};

struct drain {
	struct zone *zone;
	int64_t since_us;
	int64_t next_us; /* time of the next pass */
	TAILQ_ENTRY(drain) entry;
	struct team *team;
};
TAILQ_HEAD(drain_queue, drain);

struct failed_fit {
	uint64_t generation;
	struct sched_size size;
	bool set;
};

struct team {
	uint64_t id;
	char *name;
	size_t len;
	struct sched_size quota;
	uint32_t weight;
	struct sched_size used; /* reserved by bound tasks */
	uint64_t out;		/* bit mask of zones taken out */
	struct team_zone zone[MAX_ZONES];
	struct sched_heap waiting[SCHED_CLASSES]; /* jobs eligible for placement */
	struct job_queue parked[SCHED_CLASSES]; /* jobs that did not fit on any worker */
	struct failed_fit failed_fit[SCHED_CLASSES];
	UT_hash_handle hh;
};

struct job {
	uint64_t id;
	char *key; /* team id, then the name */
	size_t len;
	struct team *team;
	struct kind *kind;
	struct sched_job opt; /* strings are empty; see key and kind */
	bool cancelled;
	bool checked;		  /* checked against the largest worker */
	enum sched_reason reject; /* every task fails with this reason */
	uint32_t live;		  /* tasks without a final end */
	uint32_t bound;
	uint32_t replacing; /* pairs of an executor and its replacement */
	uint32_t next_task;
	uint32_t *last_attempt; /* services: last attempt of each number without a task */
	uint32_t nlast_attempt;
	uint32_t lowest_free; /* services: all lower numbers have tasks */
	uint32_t successes;   /* attempts that succeeded or ran for PROVEN_US */
	uint32_t failures;
	struct worker *failed_on[MAX_FAILED_ON]; /* distinct, oldest first */
	uint8_t nfailed_on;
	struct task_queue tasks;   /* all unfinished */
	struct task_queue waiting; /* ready to be placed */
	uint32_t nwaiting;
	struct task *cursor; /* next task to be cancelled */
	struct sched_node node;
	uint64_t parked_generation;
	bool parked;
	bool ending;	      /* queued in sched.ending */
	bool scaling;	      /* queued in sched.scaling */
	uint16_t *rack_count; /* services: executors in each rack */
	uint32_t rack_cap;
	uint16_t zone_count[MAX_ZONES];
	/* Model of the tail latency; see sched_interfere.c. */
	double base;
	double base_variance;
	double noise;
	double mean_latency;
	struct interference *interference; /* hash by kind */
	TAILQ_ENTRY(job) park_entry;
	TAILQ_ENTRY(job) end_entry;
	TAILQ_ENTRY(job) scale_entry;
	TAILQ_ENTRY(job) service_entry;
	UT_hash_handle hh;
};

enum phase {
	P_WAITING,  /* in its job's waiting queue, or delayed */
	P_PROPOSED, /* bound; the placement is not committed */
	P_PLACED,   /* bound; the start command may be sent */
	P_RUNNING,  /* bound; the worker reported it */
	P_ENDING,   /* ended; the record of the end is not committed */
};

enum loss_state {
	LOSS_SILENT,   /* its lease ended, which a cut explains too; in task.silent */
	LOSS_PROVEN,   /* a later session was seen; in task.losses */
	LOSS_PARDONED, /* many were lost at once; in task.losses and task.pardons */
};

/* The loss of a worker soon after the start of a task. */
struct loss {
	struct worker *worker;
	uint64_t session; /* that ran the task */
	enum loss_state state;
};

struct task_key {
	struct job *job;
	uint64_t number;
};

/* Fields used by each report come first, so that they share two cache lines. */
struct task {
	struct task_key key;
	uint32_t attempt;
	enum phase phase : 8;
	enum sched_reason stop : 8; /* reason why the bound attempt is being stopped */
	bool pending;		    /* a proposal is in flight */
	bool inherited;		    /* bound by an earlier leader and not yet reported */
	bool live;		    /* the worker may run it; counted in worker.live */
	bool checkpoint_requested;
	bool proven;		/* succeeded or ran for PROVEN_US */
	bool dirty;		/* queued for a proposal */
	uint8_t percent;	/* throttle, 100: none */
	uint8_t throttle_polls; /* responses left that repeat it */
	uint8_t losses;		/* workers lost soon after it started */
	uint8_t pardons;	/* losses that do not count */
	uint8_t silent;		/* workers that fell silent under it, unexplained */
	uint8_t nloss;		/* entries of loss; queued in sched.suspects if any */
	bool held;		/* waits for the explanation of a loss */
	bool trial;		/* bound as a suspect; counted in worker.trials */
	bool recorded_running;
	bool was_running;     /* loaded as running */
	bool unrecorded;      /* the store has no record of this executor */
	uint64_t listed_in;   /* report_id of the last report that lists it */
	uint64_t issued_seq;  /* poll answered by the last start command, 0: none */
	uint64_t checkpoint;  /* newest marker */
	int64_t started_us;   /* first report, 0: none */
	int64_t latency_us;   /* newest measurement of an executor */
	int64_t throttled_us; /* last change of percent */
	uint32_t used_cpu;    /* newest measurement */
	uint32_t full_cpu;    /* last one without a throttle */
	struct worker *worker;
	struct task *replaces; /* executor that this one replaces */
	TAILQ_ENTRY(task) worker_entry;
	uint32_t failures;	       /* attempts that failed on their own */
	enum sched_state end : 8;      /* P_ENDING: state to record */
	enum sched_reason reason : 8;  /* of the end */
	enum sched_state proposed : 8; /* state in the proposal in flight */
	bool final;		       /* ended for good: not placed again */
	bool counted;	      /* counted in zone_count and rack_count of its service */
	bool attempt_resumed; /* this attempt resumed from a checkpoint */
	bool queued;	      /* in job.waiting */
	bool reclaim;	      /* counted in worker.reclaim */
	uint8_t nfailed_on;
	int32_t exit_code;
	uint64_t checkpoint_before; /* last marker when a checkpoint was requested */
	int64_t checkpoint_us;	    /* time of the checkpoint request */
	int64_t retry_us;	    /* earliest time of the next placement */
	int64_t saved_us;	    /* time of the start or the last checkpoint */
	uint64_t session;
	struct worker *failed_on[MAX_FAILED_ON];
	struct loss loss[SCHED_MAX_SILENCES]; /* latest ones, oldest first */
	uint32_t loss_attempt;		      /* that the last one ended, 0: removed */
	int64_t issued_us;		      /* last start command; 0: none */
	int64_t waiting_us;		      /* since when it is in job.waiting */
	int64_t loss_us;		      /* when the last loss was counted */
	struct task *replaced_by;
	struct sched_node delay; /* retry time */
	TAILQ_ENTRY(task) job_entry;
	TAILQ_ENTRY(task) wait_entry;
	TAILQ_ENTRY(task) dirty_entry;
	TAILQ_ENTRY(task) suspect_entry;
	UT_hash_handle hh;
};

/* A batch task that ended recently on a worker. */
struct ended {
	struct kind *kind;
	uint32_t cpu_milli;
	int64_t at_us;
};

/* Interference of one batch kind with the tail latency of one service. */
struct interference {
	struct kind *kind;
	double mean;
	double variance;
	int64_t updated_us;
	UT_hash_handle hh;
};

enum health {
	H_GOOD,
	H_QUARANTINED,
	H_PROBATION,
};

struct worker {
	char *name;
	size_t len;
	struct zone *zone;
	struct rack *rack;
	uint64_t session;
	uint64_t seq;
	uint64_t id;
	bool seen;   /* polled in this epoch */
	bool leased; /* its lease may still be valid */
	bool silent; /* missed polls; attempts not yet issued were withdrawn */
	uint8_t bucket;
	bool indexed;
	struct sched_size capacity;
	struct sched_size used;	   /* reserved by bound tasks */
	struct sched_size live;	   /* attempts that may be running */
	struct sched_size unowned; /* reported attempts that are not tracked */
	struct sched_size reclaim; /* tasks being stopped for other tasks */
	int64_t lease_end_us;	   /* latest end of its lease on the leader's clock */
	int64_t polled_us;
	int64_t changed_us; /* last start, end or throttle */
	enum health health;
	double failure_score;	  /* weighted failures since the last success */
	uint32_t successes;	  /* in this session */
	uint64_t last_failed_job; /* id of the job of the last failure */
	uint32_t quarantines;
	int64_t health_us;	 /* end of quarantine */
	struct task_queue tasks; /* executors first */
	struct ended ended[ENDED_TASKS];
	unsigned int nended;
	struct task *next_listed; /* where the lookup of the next reported task starts */
	double level;	  /* smoothed worst tail latency, as a fraction of the target */
	double expected;  /* predicted change of level that is not measured yet */
	double level_sum; /* sum of measurements since the last change */
	unsigned int nlevels;
	struct kind *probe; /* kind throttled last, until its effect is measured */
	double probe_use;
	double probe_mean;
	int64_t probe_us;
	int64_t reduced_us;
	int64_t restored_us;
	int64_t hold_us; /* minimum time from a throttle to its release */
	uint32_t ntasks;
	uint32_t trials; /* suspects that may be ending its process */
	TAILQ_ENTRY(worker) lease_entry;
	TAILQ_ENTRY(worker) zone_entry;
	TAILQ_ENTRY(worker) free_entry;
	UT_hash_handle hh;
};

struct sched {
	struct sched_options opt;
	int64_t ready_us;
	uint64_t generation; /* incremented when parked jobs may fit */
	uint64_t report_id;
	uint64_t next_id;
	uint64_t next_tie;
	struct zone *zones; /* hash */
	struct zone *zone_by_index[MAX_ZONES];
	unsigned int nzones;
	struct rack *racks;
	unsigned int nracks;
	struct team *teams;
	struct kind *kinds;
	struct job *jobs;
	struct task *tasks;
	struct worker *workers;
	uint32_t ntasks;
	struct worker_queue leases;    /* by lease_end_us */
	struct worker_queue inherited; /* no poll since the leader started */
	struct task_queue dirty;
	struct task_queue suspects;	/* by loss_us */
	int64_t lost_us[BURST_WORKERS]; /* ring of the latest lost workers */
	unsigned int nlost;
	struct job_queue ending;
	struct job_queue scaling;
	struct job_queue services;
	struct drain_queue drains;
	struct sched_heap delayed;
	struct sched_size total; /* capacity of leased workers */
	struct capacity_list capacities;
	bool capacities_changed; /* not recorded yet */
	bool ready;
	bool all_workers_polled; /* every live worker has polled */
	bool work_left;		 /* another step is needed */
	unsigned int first_zone; /* zone to search first, rotated */
	int64_t rebalance_us;	 /* next rebalancing of services */
	int64_t unpark_all_us;	 /* last time when all parked jobs were made eligible */
	int64_t next_us;
	struct sched_command commands[MAX_COMMANDS];
	size_t ncommands;
	struct sched_stats stats;
};

/* sched.c */
void sched_wake(struct sched *s, int64_t now_us);
int64_t sched_max_wait_us(int64_t span_us);

/* sched_name.c */
struct zone *zone_get(struct sched *s, struct str name);
struct rack *rack_get(struct sched *s, struct str name);
struct team *sched_team_get(struct sched *s, struct str name);
struct kind *kind_get(struct sched *s, struct team *team, struct str name);
int make_team_key(struct team *team, struct str name, char **key, size_t *len);
struct job *sched_job_find(struct sched *s, struct str team, struct str name);
struct str sched_team_name(const struct team *team);
struct str job_name(const struct job *job);
struct str worker_name(const struct worker *w);
void free_names(struct sched *s);

/* sched_size.c */
void size_add(struct sched_size *a, struct sched_size b);
void size_sub(struct sched_size *a, struct sched_size b);
bool size_fits(struct sched_size need, struct sched_size used,
	       struct sched_size capacity);
bool size_under_quota(struct sched_size need, struct sched_size used,
		      struct sched_size quota);
double size_share(struct sched_size used, struct sched_size total);

/* sched_task.c */
struct task *task_find(struct sched *s, struct job *j, uint32_t number);
struct task *task_new(struct sched *s, struct job *j, uint32_t number);
struct task *task_new_executor(struct sched *s, struct job *j);
int job_set_last_attempt(struct job *j, uint32_t number, uint32_t attempt);
void task_remove_unrecorded(struct sched *s, struct task *t, int64_t now_us);
void task_free(struct sched *s, struct task *t);
void task_bind(struct sched *s, struct task *t, struct worker *w);
void task_set_live(struct task *t, bool live);
void task_set_waiting(struct sched *s, struct task *t, int64_t at_us, int64_t now_us);
void task_move_start(struct sched *s, struct task *t, int64_t now_us);
void task_end_attempt(struct sched *s, struct task *t, enum sched_state end,
		      enum sched_reason reason, int64_t now_us);
void task_stop(struct sched *s, struct task *t, enum sched_reason reason, int64_t now_us);
void task_withdraw(struct sched *s, struct task *t, int64_t now_us);
void task_count_spread(struct task *t);
void task_uncount_spread(struct task *t);
void task_lost(struct sched *s, struct task *t, int64_t now_us);
void task_set_reclaim(struct task *t, bool reclaim);
void task_unlink_replacement(struct task *t);
enum sched_state task_end_state(enum sched_reason reason);
void task_mark_dirty(struct sched *s, struct task *t);
bool task_never_issued(const struct task *t);
void tasks_propose(struct sched *s, int64_t now_us);
void tasks_requeue_delayed(struct sched *s, int64_t now_us);

/* sched_job.c */
void job_enqueue(struct sched *s, struct job *j, int64_t now_us);
void job_dequeue(struct sched *s, struct job *j);
void job_park(struct sched *s, struct job *j);
void job_end(struct sched *s, struct job *j, enum sched_reason reject);
void job_scale_later(struct sched *s, struct job *j);
void jobs_end_step(struct sched *s, int64_t now_us);
void jobs_scale_step(struct sched *s, int64_t now_us);
void job_free_if_done(struct sched *s, struct job *j);
void job_free(struct sched *s, struct job *j);

/* sched_worker.c */
struct worker *worker_get(struct sched *s, struct str name);
void worker_update_index(struct sched *s, struct worker *w);
void worker_capacity_released(struct sched *s, struct worker *w);
void workers_expire_step(struct sched *s, int64_t now_us);
void workers_silent_step(struct sched *s, int64_t now_us);
void worker_renew_lease(struct sched *s, struct worker *w, int64_t now_us);
int worker_update_location(struct sched *s, struct worker *w,
			   const struct sched_worker_report *r);

/* sched_zone.c */
bool zone_is_out(const struct team *team, const struct zone *z);
void zone_count_start(struct team *team, const struct zone *z);
bool zone_ramp_exhausted(const struct sched *s, const struct team *team,
			 const struct zone *z, int64_t now_us);
void zones_rebalance_step(struct sched *s, int64_t now_us);
void zones_drain_step(struct sched *s, int64_t now_us);

/* sched_fit.c */
bool fit_allowed(const struct sched *s, const struct task *t, const struct worker *w,
		 int64_t now_us);
bool fit_free_capacity(const struct task *t, const struct worker *w);
bool fit_in_zone(struct sched *s, struct task *t, struct zone *z, int64_t now_us);
bool fit_possible(const struct sched *s, const struct job *j);
void fit_add_capacity(struct sched *s, struct sched_size capacity);
void fit_propose_capacities(struct sched *s);
struct worker *fit_find_worker(struct sched *s, struct task *t, int64_t now_us);

/* sched_estimate.c */
double estimate_run_us(const struct job *j);
void estimate_use(struct task *t, const struct sched_task_report *r, int64_t at_us);
void estimate_run(struct task *t, int64_t now_us);

/* sched_quarantine.c */
bool quarantine_allows(const struct sched *s, const struct worker *w, int64_t now_us);
bool quarantine_limits_job(const struct job *j);
void quarantine_success(struct sched *s, struct task *t);
void quarantine_failure(struct sched *s, struct task *t, int64_t now_us);
void quarantine_reset_session(struct worker *w);
void quarantine_check_expiry(struct sched *s, struct worker *w, int64_t now_us);

void quarantine_running(struct sched *s, struct task *t, int64_t now_us);

/* sched_suspect.c */
bool suspect_is(const struct task *t);
bool suspect_lost_on(const struct task *t, const struct worker *w);
bool suspect_allows(const struct task *t, const struct worker *w, int64_t now_us);
void suspect_bind(struct task *t);
void suspect_unbind(struct task *t);
void suspect_forget(struct sched *s, struct task *t);
void suspect_running(struct sched *s, struct task *t, int64_t now_us);
void suspect_count_loss(struct sched *s, struct task *t, bool restarted, int64_t now_us);
void suspects_worker_lost(struct sched *s, int64_t now_us);
void suspects_worker_back(struct sched *s, const struct worker *w, int64_t now_us);
void suspect_fill_record(const struct task *t, struct sched_record *r);
int suspect_load(struct sched *s, struct task *t, const struct sched_record *r,
		 int64_t now_us);
int64_t suspect_load_wait(struct sched *s, struct task *t, struct worker *w,
			  const struct sched_record *r, int64_t now_us);
bool suspect_given_up(const struct task *t);

/* sched_interfere.c */
double interfere_cost(const struct sched *s, const struct task *t,
		      const struct worker *w);
double interfere_learn_report(struct sched *s, struct worker *w,
			      const struct sched_worker_report *r, int64_t now_us);
double interfere_slope(const struct job *service, const struct kind *kind);
void interfere_learn_probe(struct sched *s, struct worker *w, struct kind *kind,
			   double du, double dy, int64_t now_us);
double interfere_effect(const struct worker *w, const struct task *t);
double interfere_use(const struct task *t);
void interfere_record_ended(const struct task *t, int64_t now_us);
void interference_free(struct sched *s, struct job *service);

/* sched_control.c */
void control_take_report(struct sched *s, struct worker *w, double worst, int64_t lag_us,
			 int64_t now_us);

/* sched_evict.c */
struct worker *evict_for_task(struct sched *s, struct task *t, int64_t now_us);

/* sched_place.c */
void place_step(struct sched *s, int64_t now_us);

#endif
