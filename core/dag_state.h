#ifndef CORE_DAG_STATE_H
#define CORE_DAG_STATE_H

#include <stdbool.h>

#include <uthash.h>

#include "base/str.h"
#include "core/dag_org.h"
#include "core/dag_runtime.h"
#include "proto/dag.h"

/*
 * Replicated state of jobs that are graphs of steps: configuration, closed availability
 * zones, workers (executors on the platform), jobs and the runs of their tasks. Replicas
 * that apply the same batches hold the same state.
 */

#define DAG_MAX_COPIES 2U /* runs of one task at a time */
/*
 * A task is given up when this many workers have crashed under it, at least one of them
 * under it alone; with more crashes also if others were always beside it.
 */
#define DAG_CRASHES_PROVEN 3U
#define DAG_CRASHES_MAX 4U
/*
 * The same for crashes and starts that were lost with their workers before an answer,
 * together. A deadly task may answer no start, so it is no higher than BUDGET allows.
 */
#define DAG_LOSSES_MAX 5U
/*
 * Runs of a task that may have crashed their workers. With as many as DAG_CRASHES_MAX,
 * together with the crashes that are known, or as DAG_LOSSES_MAX, the task waits until
 * more is known of them.
 */
#define DAG_SUSPICIONS_MAX 8U
#define DAG_MAX_TASKS 100000U	  /* of one occurrence of a job */
#define DAG_MAX_OCCURRENCES 4096U /* of one job */
#define DAG_MAX_JOB_TASKS 131072U /* of all occurrences of a job */
/* Sums of times within these limits do not overflow, also as microseconds. */
#define DAG_MAX_TIME_MS (1LL << 46)	 /* since 1970, and of a worker's clock */
#define DAG_MAX_INTERVAL_MS (1ULL << 40) /* between occurrences */
/* Numbers of workers are below; the next bit has a meaning in snapshots. */
#define DAG_WORKER_NUMBERS (1U << 31)
/* Of all jobs together. A task takes about 100 bytes here and in the scheduler. */
#define DAG_MAX_TASKS_TOTAL 1000000U

/* A live run: its start is recorded and its end is not. */
struct dag_run {
	uint32_t run;
	uint32_t worker; /* number of the worker */
};

struct dag_counted;

struct dag_task {
	uint32_t last_run;
	uint16_t failures;
	uint8_t crashes;       /* workers that crashed under it */
	uint8_t crashes_alone; /* part of them in which no other task was suspect */
	uint8_t unanswered;    /* starts lost with their workers before an answer */
	uint8_t n_suspected;   /* runs that may have crashed their workers */
	bool done;
	bool unlisted; /* the newest run has ended, and its worker has not listed how */
	bool newest_failed; /* the newest run has ended as failed */
	uint8_t n_live;
	struct dag_run live[DAG_MAX_COPIES];
	/* Not in snapshots: dag_worker_rec.lives and clock_us in ms at their start. */
	uint32_t life[DAG_MAX_COPIES];
	uint32_t started_ms[DAG_MAX_COPIES]; /* 0: not known */
	/* Not in snapshots: low bits of dag_state.time_ms at their start, 0: not known.
	 */
	uint32_t begun_ms[DAG_MAX_COPIES];
	uint32_t unlisted_worker;    /* number, if unlisted; 0: not known */
	struct dag_counted *counted; /* oldest first */
	/* Of the newest end that had one; the members of a gang have the same. */
	struct buf checkpoint;
	uint32_t checkpoint_run; /* of a listed end of this run; not in snapshots */
};

struct dag_occurrence {
	struct dag_task *task; /* of all steps, in order */
	uint32_t *left;	       /* tasks that are not done, for each step */
	uint32_t tasks_left;
};

/* Identity of a queue, see core/dag_queue.c. */
struct dag_queue_key {
	uint64_t high;
	uint64_t low;
};

#define DAG_QUEUE_REF_BYTES 17U

struct dag_job_rec {
	UT_hash_handle hh;
	uint64_t id;
	struct dag_job spec; /* its queue is a reference as it came */
	struct dag_queue_key queue;
	bool queue_known;    /* false: its name was in no configuration yet */
	struct dag_org *org; /* that submitted it, NULL: none */
	enum dag_job_state state;
	uint32_t attempts;
	bool started;	       /* a worker has begun a task */
	bool has_long_running; /* has a long-running step */
	int64_t ended_ms;
	uint32_t *first_task; /* index of each step's first task */
	uint32_t n_tasks;
	uint32_t n_occ;
	uint32_t occ_left; /* occurrences with tasks that are not done */
	struct dag_occurrence *occ;
	void *sched; /* struct ds_job of the leader, NULL elsewhere */
};

struct dag_worker_rec {
	UT_hash_handle hh;    /* by number */
	UT_hash_handle hh_id; /* by id */
	uint32_t number;
	uint32_t n_runs;
	uint32_t n_suspected; /* runs that may have crashed it */
	uint32_t lives;	      /* restarts seen by this process; not in snapshots */
	bool lost;	      /* no lease was granted since that was recorded */
	/* Epoch of the leader whose leases were all short from a record on, 0: none. */
	uint64_t short_leases; /* not in snapshots */
	/* Not replicated: times of dag_state.clock_us by then. */
	int64_t lost_us;
	int64_t restarted_us;
	int64_t life_lost_us; /* loss of its earlier life, 0: it was not recorded */
	struct dag_worker w;
	void *sched; /* struct ds_worker of the leader, NULL elsewhere */
};

struct dag_suspicion_key {
	struct dag_task_ref task;
	uint32_t run;
};

/* A run that may have crashed its worker. */
struct dag_suspicion {
	UT_hash_handle hh;
	struct dag_suspicion_key key;
	uint32_t worker;     /* number of the worker, in the life that is recorded */
	bool unanswered;     /* its start had no answer */
	int64_t since_us;    /* not replicated: time of dag_state.clock_us by then */
	uint64_t dropped_by; /* not replicated: epoch of a leader that proposed its end */
};

struct dag_observer {
	const struct dag_observer_ops *ops;
};

/* Called after each change. */
struct dag_observer_ops {
	void (*job_added)(struct dag_observer *o, struct dag_job_rec *j);
	/* The job completed, failed or was cancelled; runs may still be live. */
	void (*job_ended)(struct dag_observer *o, struct dag_job_rec *j);
	void (*job_forgotten)(struct dag_observer *o, struct dag_job_rec *j);
	void (*run_started)(struct dag_observer *o, struct dag_job_rec *j,
			    const struct dag_start *s);
	/*
	 * worker 0: the run was live no more; what its worker listed counts late, or it
	 * is known whether the run crashed it.
	 */
	void (*run_ended)(struct dag_observer *o, struct dag_job_rec *j,
			  const struct dag_end *e, uint32_t worker);
	void (*worker_changed)(struct dag_observer *o, struct dag_worker_rec *w);
	void (*worker_removed)(struct dag_observer *o, struct dag_worker_rec *w);
	void (*contact_changed)(struct dag_observer *o, struct dag_worker_rec *w);
	void (*conf_changed)(struct dag_observer *o);
	void (*zones_changed)(struct dag_observer *o);
	/* NULL: not called. It owns no job and is not configured; freed after that. */
	void (*org_removed)(struct dag_observer *o, struct dag_org *org);
};

struct dag_zone_rec {
	UT_hash_handle hh;
	bool closed;
	uint64_t
		order; /* log entry that its newest order has at most; not in snapshots */
	char name[];   /* NUL-terminated, its length is that of the key */
};

struct dag_withdrawn;

struct dag_state {
	uint64_t n_tasks;		  /* of all jobs and occurrences */
	struct dag_conf conf;		  /* revision 0: none yet */
	struct dag_queue_key *queue_keys; /* of the queues of conf */
	struct dag_org *orgs;		  /* in the order in which they were added */
	struct dag_org_access access;
	struct dag_zone_rec *zones; /* all that are closed, and others with an order */
	uint64_t zone_orders_floor; /* orders of other zones are not newer */
	struct dag_worker_rec *workers; /* by number */
	struct dag_worker_rec *workers_by_id;
	struct dag_job_rec *jobs;
	struct dag_suspicion *suspicions; /* in the order in which they were added */
	struct dag_withdrawn *withdrawn;  /* oldest first */
	u_int n_withdrawn;
	uint32_t next_worker_number;
	int64_t time_ms;  /* of the newest batch */
	int64_t clock_us; /* monotonic time of this process, set by its owner */
	uint64_t index;	  /* of the newest log entry applied, set by its owner before */
	uint64_t epoch;	  /* of that entry, see dag_state_enter_epoch() */
	uint64_t earlier_epoch; /* the one before; 0: not known */
	struct dag_model model;
	struct dag_runtime runtime; /* not in snapshots */
	struct dag_observer *observer;
};

int dag_state_new(struct dag_state **out);
void dag_state_free(struct dag_state *s);
int dag_state_apply(struct dag_state *s, struct str batch);
void dag_state_enter_epoch(struct dag_state *s, uint64_t epoch);
int dag_state_snapshot(const struct dag_state *s, struct buf *out);
int dag_state_restore(struct dag_state *s, struct str snapshot);
int dag_state_check_snapshot(struct str snapshot);

struct dag_zone_rec *dag_state_find_zone(const struct dag_state *s, struct str zone);
bool dag_state_zone_closed(const struct dag_state *s, struct str zone);
uint64_t dag_state_zone_order(const struct dag_state *s, struct str zone);
struct dag_job_rec *dag_state_find_job(const struct dag_state *s, uint64_t id);
struct dag_worker_rec *dag_state_find_worker(const struct dag_state *s, uint32_t number);
struct dag_worker_rec *dag_state_find_worker_by_id(const struct dag_state *s,
						   struct str id);
bool dag_state_service_named(const struct dag_state *s, struct str service);
bool dag_state_service_guarded(const struct dag_state *s, struct str service);
bool dag_state_is_old_report(const struct dag_state *s, const struct dag_worker *w);
const struct dag_queue *dag_state_match_queue(const struct dag_state *s, struct str host,
					      struct str path, struct str *rest);
bool dag_state_is_withdrawn(const struct dag_state *s, uint64_t id,
			    const struct dag_queue_key *queue,
			    const struct dag_org *caller);
uint32_t dag_state_count_waiting(const struct dag_state *s,
				 const struct dag_queue_key *queue);
struct dag_queue_key dag_queue_key(const struct dag_queue *q);
bool dag_queue_key_equal(const struct dag_queue_key *a, const struct dag_queue_key *b);
const struct dag_queue *dag_state_find_queue(const struct dag_state *s,
					     const struct dag_queue_key *key);
struct str dag_state_refer_queue(const struct dag_state *s,
				 const struct dag_queue_key *key, unsigned char *bytes);
struct str dag_state_queue_name(const struct dag_state *s, const struct dag_job_rec *j);

bool dag_state_has_orgs(const struct dag_state *s);
struct dag_org *dag_state_find_org(const struct dag_state *s, struct str name);
bool dag_state_authorize(const struct dag_state *s, const struct dag_queue *q,
			 struct str credential, struct dag_org **owner);
bool dag_state_may_access(const struct dag_state *s, const struct dag_job_rec *j,
			  const struct dag_org *caller);

struct dag_task *dag_job_find_task(const struct dag_job_rec *j, uint32_t occurrence,
				   uint32_t step, uint32_t index);
bool dag_job_ended(const struct dag_job_rec *j);
bool dag_task_takes_late_end(const struct dag_task *t, uint32_t run,
			     enum dag_end_how how);
bool dag_task_is_deadly(const struct dag_task *t);
uint32_t dag_task_losses(const struct dag_task *t);
bool dag_end_is_crash(enum dag_end_how how);
bool dag_end_is_suspicion(enum dag_end_how how);
bool dag_task_is_held(const struct dag_task *t);
struct str dag_job_checkpoint(const struct dag_job_rec *j,
			      const struct dag_task_ref *ref);
struct dag_task_ref dag_job_task_ref(const struct dag_job_rec *j, uint32_t occurrence,
				     uint32_t task);
bool dag_suspicion_is_of(const struct dag_suspicion *u, const struct dag_task_ref *t);
struct dag_suspicion *dag_suspicion_find(const struct dag_state *s,
					 const struct dag_task_ref *t, uint32_t run);
bool dag_job_step_ready(const struct dag_job_rec *j, uint32_t occurrence, uint32_t step);
uint64_t dag_job_count_tasks(const struct dag_job *j);
int dag_job_id_parse(struct str text, uint64_t *out);
bool dag_job_valid(const struct dag_job *j);
bool dag_time_valid(int64_t ms);

/* Private to core/dag_state*.c. */
void dag_state_end_job(struct dag_state *s, struct dag_job_rec *j,
		       enum dag_job_state state);
void dag_state_note_counted(struct dag_task *t, const struct dag_end *e,
			    const struct dag_worker_rec *w, const char *known);
void dag_state_count_crash(struct dag_state *s, struct dag_job_rec *j, struct dag_task *t,
			   const struct dag_end *e, const struct dag_worker_rec *w,
			   const char *known);
void dag_state_resolve_suspicion(struct dag_state *s, struct dag_suspicion *u,
				 enum dag_end_how how, const char *known);
void dag_state_resolve_suspicions(struct dag_state *s, const struct dag_worker_rec *w,
				  enum dag_end_how how);
void dag_state_forget_suspicions(struct dag_state *s, const struct dag_task_ref *t);
void dag_state_forget_job_suspicions(struct dag_state *s, uint64_t job);
int dag_suspicion_add(struct dag_state *s, const struct dag_task_ref *t, uint32_t run,
		      uint32_t worker, bool unanswered);
void dag_suspicion_remove(struct dag_state *s, struct dag_suspicion *u);
void dag_suspicions_clear(struct dag_state *s);
int dag_state_add_job(struct dag_state *s, const struct dag_job *spec, uint32_t attempts,
		      struct dag_job_rec **out);
int dag_state_put_worker(struct dag_state *s, uint32_t number, const struct dag_worker *w,
			 struct dag_worker_rec **out);
int dag_state_close_zone(struct dag_state *s, struct str zone);
int dag_state_set_conf(struct dag_state *s, const struct dag_conf *conf);
int dag_state_set_model(struct dag_state *s, const struct dag_model *model);
void dag_state_clear(struct dag_state *s);
int dag_state_index_queues(struct dag_state *s);
bool dag_state_resolve_queue(const struct dag_state *s, struct str ref,
			     struct dag_queue_key *key);
int dag_state_withdraw(struct dag_state *s, uint64_t id, struct str queue, int64_t at_ms,
		       const struct str *org);
bool dag_state_take_withdrawn(struct dag_state *s, const struct dag_job_rec *j);
void dag_state_name_withdrawn(struct dag_state *s);
void dag_state_clear_withdrawn(struct dag_state *s);
u_int dag_state_list_withdrawn(const struct dag_state *s, unsigned char *refs,
			       struct dag_image_job *out);
u_int dag_state_list_org_withdrawn(const struct dag_state *s, unsigned char *refs,
				   struct dag_image_withdrawn *out);
int dag_state_restore_org_withdrawn(struct dag_state *s,
				    const struct dag_image_withdrawn *iw);
int dag_state_set_orgs(struct dag_state *s, const struct dag_org_conf *conf);
int dag_state_check_orgs(const struct dag_org_conf *conf);
int dag_state_add_org(struct dag_state *s, const struct dag_org_spec *spec);
int dag_state_set_owner(struct dag_state *s, struct dag_job_rec *j, struct str org);
void dag_state_clear_owner(struct dag_state *s, struct dag_job_rec *j);
void dag_state_clear_orgs(struct dag_state *s);
int dag_state_fill_orgs(const struct dag_state *s, struct dag_org_image *im);
void dag_state_free_org_image(struct dag_org_image *im);
int dag_state_load_orgs(struct dag_state *s, const struct dag_org_image *im);

#endif
