#ifndef CORE_DAG_SCHED_IMPL_H
#define CORE_DAG_SCHED_IMPL_H

#include <sys/queue.h>

#include "core/dag_interfere.h"
#include "core/dag_sched.h"

#define MS 1000
#define SEC 1000000

enum ds_phase {
	DS_PROPOSED,  /* its record is not yet durable */
	DS_INHERITED, /* recorded by an earlier leader; the worker may have the order */
	DS_ORDERING,  /* an order is under way */
	DS_UNSURE,    /* an order got no answer and is sent again */
	DS_PLACED,    /* the worker has it */
};

/* A run that is recorded or about to be. */
struct ds_run {
	TAILQ_ENTRY(ds_run) of_job;
	TAILQ_ENTRY(ds_run) of_worker;
	struct ds_job *job;
	struct ds_worker *worker;
	struct dag_task_ref task;
	const struct dag_step *step;
	int image; /* number in the interference model */
	uint32_t run;
	enum ds_phase phase;
	uint32_t orders;    /* start orders sent */
	int64_t ordered_us; /* newest start order */
	int64_t retry_us;   /* when an unsure order is sent again */
	int64_t placed_us;  /* the worker confirmed it */
	bool want_stop;
	bool stop_under_way;
	int64_t stop_acked_us; /* 0: not yet */
	int64_t stop_retry_us;
	bool ending;	 /* its end is proposed */
	bool listed_end; /* the proposed end stands in the worker's list */
	bool listed;	 /* in the list that is being read */
	int32_t percent;
	int64_t progress_us; /* percent last changed */
	int32_t level;
	uint32_t pace;	  /* percent of full speed that was ordered */
	int64_t paced_us; /* slow since, 0: at full speed */
	/* Serving tasks. */
	int32_t learnt_level; /* level that the model has taken */
	int64_t learnt_us;    /* when, 0: none yet */
	double own_load; /* estimate of the part that fillers do not add, 0: none yet */
	int64_t over_us; /* above the target since, 0: below */
	struct buf checkpoint; /* newest in a list */
};

TAILQ_HEAD(ds_runs, ds_run);

/* Tasks of one step of one occurrence that wait for a worker. */
struct ds_step {
	TAILQ_ENTRY(ds_step) entry;
	struct ds_job *job;
	const struct dag_step *step;
	uint32_t occurrence;
	uint32_t number;
	int image;
	uint32_t waiting;
	bool queued; /* in the ready list */
	int64_t not_before_us;
};

/* What the scheduler knows of a task beyond the state. */
struct ds_task {
	uint8_t runs;
	bool wants_copy; /* its only run is on a worker that does not answer */
	uint32_t avoid;	 /* worker on which it failed */
};

struct ds_job {
	TAILQ_ENTRY(ds_job) entry;
	struct dag_job_rec *rec;
	const struct dag_queue *queue; /* NULL: no queue has its name now */
	struct ds_runs runs;
	struct ds_step *steps; /* occurrence major */
	struct ds_task *tasks; /* occurrence major */
	uint32_t n_steps;
	uint32_t next_occ; /* occurrences before it are due */
	uint64_t order;	   /* smaller starts first */
	double used;	   /* part of its objective that has passed */
};

/* A serving task as placement sees it. */
struct ds_bearing {
	int image;
	double spare; /* load that it can still bear beside the worker's fillers */
};

#define DS_MAX_BEARING 32U
/* Harm of any filler beside a serving task that is above its target. */
#define DS_HARM_OVER 1e9

struct ds_worker {
	struct dag_worker_rec *rec;
	struct ds_runs runs;
	uint32_t n_runs;
	int64_t cpu_used;    /* thousandths of a core, all but fillers */
	int64_t cpu_serving; /* of cpu_used: long-running tasks */
	int64_t cpu_fill;    /* fillers */
	int64_t mem_used;
	int64_t gpu_used;
	bool service_ok; /* zone is open and the worker is ready */
	/* Contact. */
	int64_t heard_us;
	bool clock_known;
	int64_t clock_ms; /* its clock at clock_us */
	int64_t clock_us;
	int64_t lapse_us; /* everything on it has ended by then */
	bool looking;
	int64_t look_sent_us;
	int64_t look_at_us;
	unsigned int look_failures;
	uint64_t seen;	    /* recorded ends */
	uint64_t listed_to; /* highest end in its newest list */
	uint32_t ends_pending;
	uint64_t held_end; /* end of which the worker is not told, 0: none */
	bool news;	   /* the newest list had an end that the one before had not */
	int64_t left_us;   /* it said that it ends, 0: it did not */
	/* Serving tasks; made again after bearing_known was cleared. */
	struct ds_bearing bearing[DS_MAX_BEARING];
	size_t n_bearing;
	bool bearing_known;
	bool over_target; /* a serving task is above its target */
	/* Health. */
	unsigned int fail_streak;
	int64_t avoid_until_us;
	int64_t pace_at_us; /* newest pace order */
};

TAILQ_HEAD(ds_ready, ds_step);
TAILQ_HEAD(ds_jobs, ds_job);

struct dag_sched {
	struct dag_observer observer; /* first member */
	struct dag_sched_options opt;
	struct dag_state *state;
	struct dag_host *host;
	int64_t now_us;
	int64_t wall_ms;
	int64_t placed_us;  /* newest pass over the ready list */
	int64_t checked_us; /* newest pass over all runs */
	struct ds_ready ready;
	struct ds_jobs jobs;
	size_t n_waiting;
	struct dag_interfere *interfere;
	struct ds_worker **workers;
	size_t n_workers;
	size_t cap_workers;
	bool place_again;
	bool fenced;
	int err;
	int64_t forget_us; /* next */
	int64_t model_us;  /* next */
	int64_t sort_us;   /* next */
};

/* dag_sched.c */
void ds_note(struct dag_sched *s, const char *event, const struct ds_run *r,
	     const char *reason, int64_t value);

void ds_propose(struct dag_sched *s, const struct dag_command *c);

/* dag_ready.c */
int ds_job_new(struct dag_sched *s, struct dag_job_rec *rec, struct ds_job **out);
void ds_job_free(struct dag_sched *s, struct ds_job *j);
struct ds_step *ds_job_step(const struct ds_job *j, uint32_t occurrence, uint32_t step);
struct ds_task *ds_job_task(const struct ds_job *j, const struct dag_task_ref *t);
void ds_job_refresh(struct dag_sched *s, struct ds_job *j);
void ds_step_refresh(struct dag_sched *s, struct ds_step *st);
bool ds_step_waits(const struct ds_step *st, uint32_t index);
void ds_ready_sort(struct dag_sched *s);
int64_t ds_job_due_us(const struct dag_sched *s, const struct ds_job *j);

/* dag_place.c */
void ds_place_all(struct dag_sched *s);
/* Whether another worker has room for a run and bears it within a harm. */
bool ds_place_better(struct dag_sched *s, const struct ds_run *r, double harm);

/* dag_run.c */
struct ds_run *ds_run_new(struct dag_sched *s, struct ds_job *j, struct ds_worker *w,
			  const struct dag_task_ref *t, uint32_t run);
struct ds_run *ds_run_find(struct dag_sched *s, const struct dag_task_ref *t,
			   uint32_t run);
void ds_run_free(struct dag_sched *s, struct ds_run *r);
void ds_run_order(struct dag_sched *s, struct ds_run *r);
void ds_run_stop(struct dag_sched *s, struct ds_run *r, const char *reason);
void ds_run_tick(struct dag_sched *s, struct ds_run *r);
void ds_run_end(struct dag_sched *s, struct ds_run *r, enum dag_end_how how,
		struct str checkpoint, const char *reason);
void ds_run_lost(struct dag_sched *s, struct ds_run *r, const char *reason);

/* dag_worker.c */
struct ds_worker *ds_worker_new(struct dag_sched *s, struct dag_worker_rec *rec);
void ds_worker_free(struct dag_sched *s, struct ds_worker *w);
void ds_workers_spread(struct dag_sched *s);
void ds_worker_replaced(struct dag_sched *s, const struct dag_worker_rec *rec);
void ds_worker_refresh(struct dag_sched *s, struct ds_worker *w);
bool ds_worker_usable(const struct dag_sched *s, const struct ds_worker *w);
void ds_worker_tick(struct dag_sched *s, struct ds_worker *w, bool check_all);
void ds_worker_result(struct dag_sched *s, struct ds_worker *w, enum dag_end_how how);
int64_t ds_worker_lease(struct dag_sched *s, struct ds_worker *w);
void ds_worker_call(const struct dag_sched *s, const struct ds_worker *w,
		    struct dag_worker_call *call);
void ds_worker_note_ends(struct ds_worker *w);
bool ds_worker_has_label(const struct ds_worker *w, struct str label);

/* dag_pace.c */
void ds_pace(struct dag_sched *s, struct ds_worker *w);
double ds_pace_harm(const struct dag_sched *s, struct ds_worker *w, int image,
		    uint32_t cpu_milli);

#endif
