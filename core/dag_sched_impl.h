#ifndef CORE_DAG_SCHED_IMPL_H
#define CORE_DAG_SCHED_IMPL_H

#include <sys/queue.h>

#include "core/dag_interfere.h"
#include "core/dag_load.h"
#include "core/dag_locality.h"
#include "core/dag_runtime.h"
#include "core/dag_sched.h"
#include "core/dag_share.h"

/*
 * Private to the scheduler's sources. Structs named ds_* are the leader's own data,
 * which is not replicated.
 */

#define USEC_PER_MS 1000
#define USEC_PER_SEC 1000000

enum ds_phase {
	DS_PROPOSED,	/* its start record is not committed yet */
	DS_RECOVERED,	/* recorded by an earlier leader; the worker may not know it */
	DS_STARTING,	/* a start request is in flight */
	DS_UNCONFIRMED, /* the start request got no reply and is sent again */
	DS_ACCEPTED,	/* the worker has confirmed or listed it */
};

/* A run whose start is recorded or proposed. */
struct ds_run {
	TAILQ_ENTRY(ds_run) job_entry;
	TAILQ_ENTRY(ds_run) worker_entry;
	struct ds_job *job;
	struct ds_worker *worker;
	struct dag_task_ref task;
	const struct dag_step *step;
	int image; /* index in the interference model */
	uint32_t run;
	enum ds_phase phase;
	int64_t created_us;
	uint32_t start_requests; /* number sent */
	int64_t start_sent_us;	 /* newest start request */
	int64_t begun_by_us;	 /* it began by then at the latest */
	int64_t start_retry_us;	 /* when an unconfirmed start is sent again */
	int64_t accepted_us;	 /* when the worker confirmed it */
	int64_t born_ms;	 /* life of the worker that was told of it, 0: none yet */
	/* Recovered: that life was last heard about then; 0: as the worker. */
	int64_t life_heard_us;
	uint32_t start_fence; /* ds_worker.fence at the newest start request */
	uint32_t stop_fence;  /* and stop request */
	bool suspect;	      /* a worker has crashed under an earlier run of the task */
	enum dag_end_how
		stopped_how;	 /* end to record once it is stopped and not listed */
	const char *crash_known; /* how, of its worker's crash; NULL: it is not known */
	bool stop_requested;
	bool stop_in_flight;
	int64_t stop_acked_us; /* 0: not acknowledged */
	int64_t stop_retry_us;
	bool end_proposed;
	bool recovered;	 /* by this leader; an earlier one may have an answer */
	bool released;	 /* its resources are free for other runs */
	bool end_listed; /* the proposed end came from the worker's list */
	bool listed;	 /* in the poll reply that is being processed */
	int32_t progress_percent;
	/* On the worker's clock, 0: not listed since it was accepted or throttled. */
	int64_t progress_clock_ms; /* progress_percent last changed */
	int64_t listed_clock_ms;   /* newest list with the run */
	int32_t level;		   /* see struct dag_listed_run */
	uint32_t speed_percent;	   /* newest throttle request, 100: full speed */
	bool speed_known;	   /* no earlier leader may have set another */
	int64_t throttled_us;	   /* newest throttle request, 0: none */
	bool speed_repeated;	   /* the newest throttle request was sent twice */
	int64_t slow_since_us;	   /* 0: not slow */
	/* Serving tasks. */
	int32_t model_level;	      /* level of the newest model update */
	int64_t model_updated_us;     /* 0: never */
	int64_t over_target_since_us; /* 0: below its latency target */
	struct buf checkpoint;	      /* newest that a poll reply listed */
};

TAILQ_HEAD(ds_runs, ds_run);

/* Wait of a step's tasks for places in the rack where they run faster. */
struct ds_wait {
	int64_t ready_us; /* ds_step.waiting_since_us for which this holds */
	int64_t begun_us; /* 0: no task has waited */
	int64_t until_us; /* it ends then at the latest */
	int64_t next_us;  /* when it is decided again */
	uint32_t hold;	  /* tasks that wait */
	uint32_t passed;  /* part of them that was passed over in this placement pass */
	uint64_t pass;
	bool over; /* it has ended, and no other begins */
};

#define DS_FORECAST_MAX 64U
/* Ends of runs that free places for a step in a rack, the earliest first. */
struct ds_forecast {
	size_t n;
	struct dag_time_estimate place[DS_FORECAST_MAX];
};

#define DS_WAIT_BUCKETS 64U

/* What is decided for a step that runs faster in one rack, and from which values. */
struct ds_wait_plan {
	uint32_t hold; /* tasks that wait */
	uint32_t n_forecasts;
	struct dag_locality_choice choice; /* for the first place */
	struct dag_time_estimate free;	   /* when that is expected to be free */
	struct str rack;
	int64_t extra_us;
	int64_t slack_us;
	int64_t waited_us;
};

/* One step of one occurrence of a job, with its tasks that wait for a worker. */
struct ds_step {
	TAILQ_ENTRY(ds_step) entry;
	struct ds_job *job;
	const struct dag_step *step;
	uint32_t occurrence;
	uint32_t number;
	int image;
	uint32_t n_waiting;
	int64_t waiting_since_us;
	bool queued;			/* in the ready list */
	TAILQ_ENTRY(ds_step) org_entry; /* see struct ds_org.steps */
	bool quota_blocked;	  /* in the newest pass, by its organisation's quota */
	struct ds_wait *wait;	  /* for its rack, NULL: never considered */
	struct dag_load own_load; /* of a serving task without fillers, all tasks alike */
};

/* The leader's own data of a task. */
struct ds_task {
	uint8_t n_runs;
	bool needs_copy; /* its only run is on a worker that does not answer polls */
	uint8_t stalls;	 /* runs that were stopped for lack of progress */
	uint32_t avoid_worker; /* number of a worker where it failed or ran slowly */
};

struct ds_job {
	TAILQ_ENTRY(ds_job) entry;
	struct dag_job_rec *rec;
	const struct dag_queue *queue; /* NULL: the configuration has no such queue now */
	struct ds_org *org;
	struct ds_runs runs;
	struct ds_step *steps; /* index: occurrence * n_steps + step */
	struct ds_task *tasks; /* index: occurrence * rec->n_tasks + task */
	uint32_t n_steps;
	uint32_t next_occurrence;  /* all occurrences before it are due */
	bool begun;		   /* recorded or proposed */
	uint64_t sort_key;	   /* smaller is placed first */
	double objective_fraction; /* age divided by the objective */
	bool given_up;		   /* by the end of a run that is being recorded */
};

/* A serving task on a worker, with the load that further fillers may add to it. */
struct ds_serving_task {
	int image;
	double headroom;
};

/* What the runs of a worker may use together. */
struct ds_capacity {
	uint32_t cpu_milli;
	uint32_t mem_mb;
	uint32_t gpus;
};

#define DS_MAX_SERVING 32U
/* Predicted interference of any filler while a serving task is above its target. */
#define DS_INTERFERENCE_OVER_TARGET 1e9

struct ds_worker {
	struct dag_worker_rec *rec;
	struct ds_runs runs;
	uint32_t n_runs;
	int64_t cpu_reserved; /* thousandths of a core, all tasks but fillers */
	int64_t cpu_serving;  /* part of cpu_reserved: long-running tasks */
	int64_t cpu_fillers; /* thousandths of a core, as far as they are not throttled */
	int64_t mem_reserved;
	int64_t mem_serving; /* part of it: long-running tasks */
	int64_t gpus_reserved;
	bool reserved_for_serving; /* in this placement pass, for a task that waits */
	bool guarded;		   /* it refuses what does not fit */
	int64_t report_born_ms;	   /* life that sent the newest report, 0: none came */
	int64_t report_clock_ms;   /* when that life sent it, on its clock */
	bool drain_reported;	   /* by the life that follows; recorded soon */
	int64_t drain_born_ms;
	struct ds_capacity reported; /* of the newest report */
	struct ds_capacity capacity; /* the lower of the reported and the recorded */
	bool in_service; /* the worker is ready and its availability zone is open */
	/* Contact. */
	int64_t process_born_ms; /* start of the process whose clock and ends these are */
	uint32_t life;		 /* number of that process, increases */
	uint32_t fence; /* in the token of calls, increases; see ds_worker_token() */
	int64_t last_heard_us;
	bool clock_known;
	int64_t clock_born_ms; /* life whose clock it is */
	int64_t clock_ms;      /* the worker's clock at clock_us */
	int64_t clock_us;
	int64_t lease_expires_us; /* by then all of its runs have certainly ended */
	bool poll_in_flight;
	uint64_t poll_acked; /* ends up to this number it acknowledges, 0: none */
	uint32_t poll_life;  /* life and fence when it was sent */
	uint32_t poll_fence;
	int64_t poll_sent_us;
	int64_t polled_us;	/* newest reply to a poll */
	bool contact_lost;	/* recorded or proposed; no lease is granted */
	bool contact_proposed;	/* that it is regained */
	int64_t short_since_us; /* its leases are short from then on, 0: they are not */
	bool polled;		/* by this leader */
	bool draining;		/* or gone */
	bool earlier_left;	/* its earlier life had announced its end */
	int64_t next_poll_us;
	unsigned int poll_failures;
	unsigned int lost_paths; /* polls in a row that may not have come to the worker */
	uint32_t poll_wait_ms;	 /* that the newest poll asked for */
	int64_t broken_us;	 /* contact with its process last broke, 0: never */
	uint64_t acked_end;	 /* ends up to this number are acknowledged */
	uint64_t first_listed_end; /* lowest number in its newest list, 0: no end */
	uint64_t last_listed_end;  /* highest number in its lists */
	uint32_t ends_uncommitted; /* listed ends whose records are not committed */
	uint64_t held_end;	   /* lowest end that is not acknowledged, 0: none */
	uint64_t held_logged;	   /* highest held end that is in the log */
	bool has_new_ends; /* the newest list has ends that are new to the leader */
	bool has_strays;   /* the newest list has runs that are not recorded here */
	int64_t leaving_since_us; /* it announced its exit, 0: it did not */
	int64_t exit_proposed_us; /* newest record of that, 0: none */
	int64_t left_us;	  /* it received the answer to that, 0: not known */
	int64_t gone_since_us;	  /* recorded as gone and without runs, 0: not */
	bool contradicted; /* recorded as gone, but a report of the same life came */
	bool forget_proposed;
	/* Serving tasks; recomputed when serving_known is false. */
	struct ds_serving_task serving[DS_MAX_SERVING];
	size_t n_serving;
	bool serving_known;
	bool over_target; /* a serving task is above its target */
	/* Health. */
	unsigned int fail_streak;
	int64_t quarantined_until_us;
	int64_t avoided_until_us; /* after consecutive failures */
	int64_t next_serving_us;  /* then it may be tried with a serving task */
	int64_t joined_us;	  /* it became known to this leader, 0: before its time */
	uint32_t n_suspects;	  /* runs whose task is suspect */
	int64_t trial_until_us;	  /* a task is tried alone until then */
	int64_t last_throttle_us; /* newest throttle request */
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
	int64_t leading_since_us;
	int64_t last_place_us; /* newest pass over the ready list */
	int64_t last_check_us; /* newest pass over all runs */
	struct ds_ready ready;
	struct ds_jobs jobs;
	size_t n_waiting;
	struct ds_org no_org; /* of the jobs without an organisation */
	struct ds_orgs orgs;  /* of the other jobs */
	struct ds_share share;
	int64_t quota_pass_us; /* newest pass with organisations */
	int64_t quota_log_us;  /* n_quota_logs counts from zero then */
	unsigned int n_quota_logs;
	struct dag_interfere *interfere;
	struct ds_demand *demand; /* NULL: serving tasks are always admitted */
	struct ds_worker **workers;
	size_t n_workers;
	size_t cap_workers;
	uint32_t fence_floor;	/* highest fence of the workers that were removed */
	int64_t *scores;	/* of the workers, for the step that is placed */
	uint64_t wait_pass;	/* number of the placement pass */
	int32_t forecasts_left; /* in this pass */
	uint32_t held_tasks[DS_WAIT_BUCKETS]; /* in this pass, by hash of the rack */
	bool placement_needed;
	bool fenced;
	int err;
	int64_t next_forget_us;
	int64_t next_model_save_us;
	int64_t next_sort_us;
	int64_t next_watch_us;
};

/* dag_sched.c */
void ds_log_run_event(struct dag_sched *s, const char *event, const struct ds_run *r,
		      const char *reason, int64_t value);

void ds_propose(struct dag_sched *s, const struct dag_command *c);

/* dag_ready.c */
int ds_job_new(struct dag_sched *s, struct dag_job_rec *rec, struct ds_job **out);
void ds_job_free(struct dag_sched *s, struct ds_job *j);
struct ds_step *ds_job_find_step(const struct ds_job *j, uint32_t occurrence,
				 uint32_t step);
struct ds_task *ds_job_find_task(const struct ds_job *j, const struct dag_task_ref *t);
void ds_job_refresh(struct dag_sched *s, struct ds_job *j);
void ds_step_refresh(struct dag_sched *s, struct ds_step *st);
bool ds_task_is_waiting(const struct ds_step *st, uint32_t index);
void ds_sort_ready(struct dag_sched *s);
int64_t ds_job_objective_ms(const struct ds_job *j);
int64_t ds_job_next_due_us(const struct dag_sched *s, const struct ds_job *j);
uint64_t ds_step_class(const struct ds_step *st);

/* dag_quota.c */
void ds_org_init(struct ds_org *o, struct dag_org *rec);
struct ds_org *ds_org_get(struct dag_sched *s, struct dag_org *rec);
void ds_org_free(struct dag_sched *s, struct ds_org *o);
void ds_quota_charge(const struct ds_run *r);
void ds_quota_release(const struct ds_run *r);
bool ds_quota_blocks(struct ds_step *st);
const char *ds_quota_obstacle(const struct ds_step *st);
void ds_quota_begin_pass(struct dag_sched *s);
void ds_quota_end_pass(struct dag_sched *s);

/* dag_share.c */
double ds_org_weight(const struct ds_org *o);
void ds_share_begin(struct dag_sched *s);
struct ds_step *ds_share_next(struct dag_sched *s);
uint32_t ds_share_first_task(const struct dag_sched *s);
bool ds_share_yields(struct dag_sched *s, uint32_t next_task);

/* What keeps a worker from taking a task; a lower kind is nearer to taking it. */
enum ds_obstacle_kind {
	DS_OBSTACLE_NONE,
	DS_OBSTACLE_WORKER,
	DS_OBSTACLE_LIMIT,
	DS_OBSTACLE_BATCH, /* what batch tasks have reserved would do */
	DS_OBSTACLE_SERVING,
	DS_OBSTACLE_SERVICE,
	DS_OBSTACLE_QUOTA, /* of its organisation; no worker is the cause */
};

struct ds_obstacle {
	enum ds_obstacle_kind kind;
	const struct ds_worker *worker; /* NULL: there is none, or the quota */
	const char *reason;
	int64_t missing; /* thousandths of a core, with memory as a part of them */
};

/* What a worker has free for a step; fillers use idle CPU. */
struct ds_room {
	int64_t cpu;
	int64_t mem;
	int64_t gpus;
};

/* dag_place.c */
void ds_place_all(struct dag_sched *s);
struct ds_room ds_worker_room(const struct ds_worker *w, const struct dag_step *step);
bool ds_is_run_of_step(const struct ds_run *r, const struct ds_step *st);
uint32_t ds_count_step_runs(const struct ds_worker *w, const struct ds_step *st);
/* Whether a worker may take tasks of a step, but for capacity and max_per_worker. */
bool ds_worker_may_take(const struct dag_sched *s, const struct ds_worker *w,
			const struct ds_step *st);
/* What keeps the worker that is nearest to taking a task of a step from doing so. */
struct ds_obstacle ds_nearest_obstacle(const struct dag_sched *s,
				       const struct ds_step *st);
struct ds_obstacle ds_find_obstacle(const struct dag_sched *s, struct ds_worker *w,
				    const struct ds_step *st);
struct ds_worker *ds_best_worker(struct dag_sched *s, const struct ds_step *st,
				 uint32_t avoid, uint32_t crashes, struct str rack);
struct ds_worker *ds_choose_worker(struct dag_sched *s, const struct ds_step *st,
				   uint32_t index, bool *may_wait);
/* Whether another worker has capacity for a run and predicts no more interference. */
bool ds_has_better_worker(struct dag_sched *s, const struct ds_run *r,
			  double max_interference);

/* dag_gang.c */
bool ds_place_gang(struct dag_sched *s, struct ds_step *st);
uint32_t ds_reserve_gang(struct dag_sched *s, struct ds_step *st, struct str rack,
			 uint32_t run);

/* dag_forecast.c */
struct dag_time_estimate ds_step_run_time(const struct dag_sched *s,
					  const struct ds_job *j,
					  const struct dag_step *step);
void ds_forecast_open(const struct dag_sched *s, const struct ds_step *st,
		      struct str rack, struct ds_forecast *out);
bool ds_forecast_nth(const struct ds_forecast *f, size_t k,
		     struct dag_time_estimate *out);

/* dag_wait.c */
void ds_wait_begin_pass(struct dag_sched *s);
void ds_wait_plan(const struct dag_sched *s, const struct ds_step *st,
		  struct ds_wait_plan *p);
bool ds_wait_holds_task(struct dag_sched *s, struct ds_step *st,
			const struct ds_worker *chosen);
bool ds_wait_holds_gang(struct dag_sched *s, struct ds_step *st);
void ds_wait_placed(struct dag_sched *s, struct ds_step *st, uint32_t n);

/* dag_run.c */
struct ds_run *ds_run_new(struct dag_sched *s, struct ds_job *j, struct ds_worker *w,
			  const struct dag_task_ref *t, uint32_t run);
struct ds_run *ds_find_run(struct dag_sched *s, const struct dag_task_ref *t,
			   uint32_t run);
void ds_run_free(struct dag_sched *s, struct ds_run *r);
void ds_run_send_start(struct dag_sched *s, struct ds_run *r);
/* Reason of a stop. */
#define DS_REDUNDANT "another run of the task or gang is done"
void ds_run_request_stop(struct dag_sched *s, struct ds_run *r, const char *reason);
void ds_run_tick(struct dag_sched *s, struct ds_run *r);
void ds_run_propose_end(struct dag_sched *s, struct ds_run *r, enum dag_end_how how,
			struct str checkpoint, const char *reason);
void ds_run_note_begun(struct dag_sched *s, const struct ds_run *r);
void ds_run_propose_lost(struct dag_sched *s, struct ds_run *r, const char *reason);

/* dag_ends.c */
bool ds_worker_has_ends_to_ack(const struct ds_worker *w);
uint64_t ds_worker_end_to_ack(const struct dag_sched *s, const struct ds_worker *w);
void ds_worker_ack_ends(struct ds_worker *w);
void ds_worker_log_ends(struct dag_sched *s, const struct ds_worker *w);
void ds_worker_take_end(struct dag_sched *s, struct ds_worker *w,
			const struct dag_listed_end *l);

/* dag_leave.c */
void ds_worker_forget_exit(struct ds_worker *w);
void ds_worker_contradict_exit(struct dag_sched *s, struct ds_worker *w);
void ds_worker_check_exit(struct dag_sched *s, struct ds_worker *w);

/* dag_worker.c */
struct ds_worker *ds_worker_new(struct dag_sched *s, struct dag_worker_rec *rec);
void ds_worker_free(struct dag_sched *s, struct ds_worker *w);
void ds_worker_bring_back(struct dag_sched *s, struct ds_worker *w,
			  enum dag_worker_state state, int64_t born_ms,
			  const char *reason);
void ds_spread_first_polls(struct dag_sched *s);
void ds_worker_refresh(struct dag_sched *s, struct ds_worker *w);
const char *ds_worker_obstacle(const struct dag_sched *s, const struct ds_worker *w);
bool ds_worker_usable(const struct dag_sched *s, const struct ds_worker *w);
bool ds_worker_avoided(const struct dag_sched *s, const struct ds_worker *w);
void ds_worker_tick(struct dag_sched *s, struct ds_worker *w, bool check_all);
void ds_worker_count_result(struct dag_sched *s, struct ds_worker *w,
			    enum dag_end_how how);
struct ds_worker *ds_worker_find(const struct dag_sched *s, uint32_t number);
void ds_worker_propose_lost(struct dag_sched *s, struct ds_worker *w, const char *reason);
void ds_worker_propose_state(struct dag_sched *s, const struct ds_worker *w,
			     enum dag_worker_state state, int64_t born_ms);
bool ds_worker_has_label(const struct ds_worker *w, struct str label);

/* dag_life.c */
int64_t ds_lease_expiry_us(int64_t from_us, int64_t lease_us);
int64_t ds_worker_first_expiry_us(const struct dag_sched *s,
				  const struct dag_worker_rec *rec);
void ds_worker_record_short_leases(struct dag_sched *s, struct ds_worker *w);
int64_t ds_worker_extend_lease(struct dag_sched *s, struct ds_worker *w);
void ds_worker_fill_call(const struct dag_sched *s, const struct ds_worker *w,
			 struct dag_worker_call *call);
void ds_worker_record_contact(struct ds_worker *w, const struct dag_poll_reply *poll,
			      int64_t now_us);
void ds_worker_note_exit(const struct dag_sched *s, struct ds_worker *w);
void ds_worker_lose_contact(struct dag_sched *s, struct ds_worker *w);
void ds_worker_regain_contact(struct dag_sched *s, struct ds_worker *w);
void ds_worker_contact_changed(struct dag_sched *s, struct ds_worker *w);
void ds_worker_begin_life(struct ds_worker *w);
void ds_worker_follow_reply(struct dag_sched *s, struct ds_worker *w,
			    const struct dag_poll_reply *poll);
void ds_worker_follow_start(struct dag_sched *s, struct ds_worker *w, int64_t born_ms);
void ds_worker_fence_poll(struct ds_worker *w);
void ds_worker_fence_starts(struct dag_sched *s, uint32_t worker);
bool ds_worker_reply_is_old(const struct ds_worker *w, const struct dag_poll_reply *poll);
void ds_worker_propose_start(struct dag_sched *s, struct ds_worker *w, int64_t born_ms);

/* dag_crash.c */
/* Crashes, known or suspected, from which on a task is tried alone on a worker. */
#define DS_TRIAL_CRASHES 2U
void ds_crash_runs(struct dag_sched *s, struct ds_worker *w, const char *reason);
void ds_crash_earlier_life(struct dag_sched *s, struct ds_worker *w, int64_t born_ms);
void ds_recall_life(struct ds_run *r, uint32_t restarts);
void ds_end_stopped_run(struct dag_sched *s, struct ds_run *r);
uint32_t ds_lapse_runs(struct dag_sched *s, struct ds_worker *w);
void ds_begin_trial(struct dag_sched *s, struct ds_run *r);
void ds_end_trial(struct ds_run *r);
int64_t ds_suspect_penalty(const struct dag_sched *s, const struct ds_worker *w,
			   uint32_t crashes);

/* dag_suspect.c */
void ds_resolve_suspicions(struct dag_sched *s, const struct ds_worker *w,
			   enum dag_end_how how, int64_t before_us, const char *reason);
void ds_expire_suspicions(struct dag_sched *s);
uint32_t ds_task_suspect_crashes(const struct dag_task *t);

/* dag_demand.c */
int ds_demand_new(struct ds_demand **out);
void ds_demand_free(struct ds_demand *d);
void ds_demand_sample(struct dag_sched *s);
void ds_demand_job_ended(struct dag_sched *s, const struct ds_job *j);

/* dag_watch.c */
void ds_watch_serving(struct dag_sched *s);

/* dag_capacity.c */
bool ds_worker_over_capacity(const struct ds_worker *w);

/* dag_report.c */
bool ds_worker_capacity_known(const struct dag_sched *s, const struct ds_worker *w);
struct ds_capacity ds_capacity_of(const struct dag_worker *w);
struct ds_capacity ds_capacity_min(const struct ds_capacity *a,
				   const struct ds_capacity *b);

/* dag_throttle.c */
int64_t ds_filler_cpu(const struct ds_run *r);
void ds_throttle_fillers(struct dag_sched *s, struct ds_worker *w);
bool ds_repeat_throttle(struct dag_sched *s, struct ds_run *r);
/* What one more filler does to the serving tasks of a worker, summed over them. */
struct ds_interference {
	double added;  /* load that it adds */
	double excess; /* part of it above the tasks' headroom */
};

struct ds_interference ds_predict_interference(const struct dag_sched *s,
					       struct ds_worker *w, int image,
					       uint32_t cpu_milli);

#endif
