#ifndef REGRESS_LIB_DAG_WORLD_H
#define REGRESS_LIB_DAG_WORLD_H

#include "base/prng.h"
#include "core/dag_sched.h"

/*
 * Virtual-time world for the scheduler of graph jobs: workers with clocks, leases,
 * fences and lists, orders that are lost or carried out late, a log with delayed commits
 * and leaders that change. Each start and end is checked; the first violation is kept.
 */
#define DW_WORKERS 16
#define DW_RUNS 64
#define DW_ENDS 512
#define DW_EVENTS 4096
#define DW_TASKS 4096
#define DW_TARGET_MS 150 /* of serving tasks with an image */
#define DW_ROOMS 16
#define DW_NOTED_ENDS 4096

/* What the tasks of a worker may use at most. */
struct dw_room {
	uint32_t cpu;
	uint32_t mem;
	uint32_t gpus;
};

/* A room that a worker had before. */
struct dw_past_room {
	struct dw_room room;
	int64_t until_us;
};

struct dw_run {
	bool used;
	struct dag_task_ref task;
	uint32_t run;
	struct dw_room uses;
	bool filler;
	bool lasting;
	bool gang;
	int64_t start_us;
	int64_t work_us; /* of the whole task */
	int64_t left_us; /* part of it that is left */
	int64_t stop_us; /* 0: not stopping */
	uint32_t pace;
	char image;	/* last character of its step's image, 0: none */
	double tail_ms; /* of a serving task, smoothed */
};

struct dw_end {
	uint64_t number;
	struct dag_task_ref task;
	uint32_t run;
	enum dag_end_how how;
	int64_t at_us;
};

struct dw_worker {
	char id[24];
	char address[16];
	bool up;
	int64_t return_us; /* it starts again then, 0: it does not */
	bool new_id;	   /* under another id */
	bool crashing;	   /* at the end of this step of time */
	uint32_t lives;
	bool cut;		/* no call reaches it and no answer comes back */
	bool fails;		/* every run fails */
	bool refuses;		/* starts, as it is unhealthy */
	bool stands;		/* runs make no progress */
	int64_t quiet_until_us; /* polls are taken and answered only then */
	int64_t born_ms;
	int64_t lease_ms; /* on its clock */
	const char *rack; /* its label, NULL: none */
	struct dag_name label;
	uint64_t fence;
	bool called;	  /* a call that was not late has reached this life */
	bool unguarded;	  /* starts what does not fit */
	bool slow_clock;  /* by 2 % */
	bool mute;	  /* its reports are lost */
	int64_t reset_us; /* from a crash until a look that waited is known as lost, 0:
			     soon */
	int64_t refuses_until_us; /* it is down, and its machine is not */
	struct dw_room room;
	struct dw_past_room past[DW_ROOMS]; /* a ring */
	size_t n_past;
	struct dw_run runs[DW_RUNS];
	struct dw_end ends[DW_ENDS];
	size_t n_ends;
	uint64_t next_end;
	struct dw_end stopped[DW_ENDS]; /* runs that may not start any more */
	size_t n_stopped;
	int64_t look_at_us; /* a look that waits: answered then, 0: none */
	struct dag_poll_command look;
	uint64_t look_leader; /* life of the scheduler that waits for its answer */
	int64_t lapsed_us;    /* newest run that ended with the lease */
	uint32_t looks;
	uint64_t seen;	 /* ends that the newest look acknowledged */
	int32_t tail_ms; /* of serving tasks */
};

enum dw_kind { DW_START, DW_STOP, DW_LOOK, DW_PACE, DW_COMMIT, DW_ANSWER, DW_REPORT };

struct dw_event {
	int64_t at_us;
	int64_t sent_us;
	uint64_t seq;
	enum dw_kind kind;
	uint32_t worker;
	uint64_t token;
	struct dag_task_ref task;
	uint32_t run;
	uint32_t percent;
	int64_t lease_ms;
	uint64_t seen;
	uint32_t wait_ms;
	enum dag_call_result answer;
	enum dw_kind answers;
	bool silent;   /* carried out, but no answer is sent */
	bool no_reply; /* a look whose result is not reported */
	/* Silent: life of the worker that has the order, 0: any; report: its sender. */
	int64_t born_ms;
	struct dw_room room; /* of a report */
	int64_t clock_ms;
	uint64_t leader; /* life of the scheduler that waits for the answer */
	struct buf bytes;
};

/* What the checker knows of a task. */
struct dw_task {
	struct dag_task_ref task;
	uint32_t alive; /* runs on workers that are up */
	uint32_t starts;
	uint32_t done;
	uint32_t failed;
	uint32_t crashes;	  /* of workers, under a run of the task */
	uint32_t starts_at_third; /* starts when the third of them crashed */
	uint64_t begun;		  /* a bit for each run that a worker began, up to 63 */
	bool noted;		  /* an end as done is acknowledged and stands */
	int64_t done_us;
	int64_t start_us; /* newest */
};

/* An end of a run as a leader proposed it. */
struct dw_noted_end {
	struct dag_task_ref task;
	uint32_t run;
	char worker[24];
	int64_t how;
};

/* The newest line that tells why a task was given up. */
struct dw_given_up {
	uint32_t lines;
	struct dag_task_ref task;
	char text[2048];
	int64_t value;
};

struct dag_world {
	struct dag_host host;			  /* first member */
	struct dw_noted_end noted[DW_NOTED_ENDS]; /* of runs that are not done; a ring */
	size_t n_noted;
	struct dw_given_up given_up;
	struct dag_state *state;
	struct dag_state *follower; /* leads after the next change, NULL: none */
	struct dag_sched *sched;
	struct prng prng;
	int64_t now_us;
	uint64_t epoch;
	uint64_t life;
	uint64_t conf_revision;
	const char *queue; /* name of the one that gets jobs */
	struct dw_worker workers[DW_WORKERS];
	size_t n_workers;
	struct dw_event events[DW_EVENTS];
	size_t n_events;
	uint64_t next_seq;
	struct buf batch;
	uint32_t n_batch;
	struct dw_task tasks[DW_TASKS];
	size_t n_tasks;
	/* Faults, in thousandths of the orders. */
	uint32_t lost_permille;
	uint32_t late_permille;
	uint32_t late_report_permille; /* of the reports */
	uint32_t late_look_permille;   /* of the looks */
	bool late_outlive; /* late orders wait in the network, for any life of the worker
			    */
	bool late_fenced;  /* but for one that no other call has reached, where nothing
			      fences them */
	bool mute_starts;  /* start requests are carried out and get no answer */
	int64_t hold_us; /* each order takes this much longer and gets no answer, 0: none
			  */
	int64_t born_back_ms; /* the time of day of workers was set back by this */
	int64_t commit_us;
	int64_t refuse_us; /* so long the machine of a worker that ended refuses polls */
	bool cut_refuses;  /* cuts refuse polls, as srv_cut "reset" of the bench does */
	size_t list_max;   /* a worker lists so many ends at a time, 0: all */
	int64_t work_us;   /* of a batch task */
	/*
	 * Others than 0: batch tasks take their estimate times a factor that the seed and
	 * the task decide, and so many thousandths of that outside their rack.
	 */
	uint32_t cross_rack_milli;
	uint64_t work_seed;
	uint32_t long_permille; /* of these tasks take LONG_RUN times as long */
	uint32_t told_milli;	/* option of the next leaders: what they know of it */
	int64_t fixed_wait_us;	/* the same */
	uint32_t waits[3];	/* enum dag_wait_event */
	/* Tasks with this index in these jobs crash each worker that starts them. */
	uint64_t deadly_job; /* first of them, 0: none */
	uint32_t deadly_jobs;
	uint32_t deadly_index;
	int64_t crash_delay_us; /* from start to crash */
	int64_t crash_return_us;
	bool crash_new_id;
	uint32_t crashes;	   /* of workers, under deadly tasks */
	uint32_t crashes_at_large; /* counted, or suspected, for a run that never began */
	char violation[256];
	uint32_t starts;
	uint64_t starts_hash; /* of all starts, in their order */
	uint32_t paces;
	uint32_t org_notes; /* events of organisations */
	uint32_t refusals;  /* starts that did not fit */
	bool full_scan;	    /* options of the next leaders */
	bool admit_serving;
	/* Called for each new leader, before and after it is built from the state. */
	void (*before_lead)(struct dag_world *w);
	void (*after_lead)(struct dag_world *w);
	/*
	 * Serving tasks with an image have a load of their own that swings, and fillers
	 * whose image ends with the same character add to it; others hardly do.
	 */
	uint32_t filler_starts;	    /* fillers with an image */
	uint32_t disturbing_starts; /* part of them beside a task that they disturb */
	int64_t served_us;	    /* time of these tasks */
	int64_t over_target_us;	    /* part of it above their target */
};

void dw_open(struct dag_world *w, uint64_t seed);
void dw_close(struct dag_world *w);
/*
 * Another process has the same log; it and the leader take turns. Called before the
 * world runs.
 */
void dw_add_follower(struct dag_world *w);
uint32_t dw_add_worker(struct dag_world *w, uint32_t cpu, uint32_t mem);
/* Workers of 8 cores and 8,000 MB. */
void dw_add_workers(struct dag_world *w, size_t n);
/* The same number in a rack. */
void dw_add_rack(struct dag_world *w, const char *rack, size_t n);
/* Fails the test with the first violation. */
void dw_assert_sound(const struct dag_world *w);
/* Whether the workers' service is recorded as one whose workers guard their room. */
void dw_set_guarded(struct dag_world *w, bool guarded);
/* A configuration without queues, with this service alone. */
void dw_name_service(struct dag_world *w, const char *service);
/* A worker tells of its new room with its next report. */
void dw_set_room(struct dag_world *w, uint32_t number, const struct dw_room *room);
/* A report of a worker comes to the leader, which may ignore it. */
void dw_report(struct dag_world *w, uint32_t number);
void dw_run_for(struct dag_world *w, int64_t us);
void dw_submit(struct dag_world *w, const struct dag_job *job);
/* A job of one step. */
void dw_submit_step(struct dag_world *w, uint64_t id, const struct dag_step *step);
/* A job of steps that depend on the one before; count tasks each. */
void dw_submit_chain(struct dag_world *w, uint64_t id, uint32_t steps, uint32_t count);
void dw_submit_lasting(struct dag_world *w, uint64_t id, uint32_t count);
void dw_cancel(struct dag_world *w, uint64_t id);
/* Cancels a job that the leader does not know. */
void dw_withdraw(struct dag_world *w, uint64_t id, struct str queue);
/* The same as the scheduler's, of a queue by its present name. */
bool dw_is_withdrawn(const struct dag_state *s, uint64_t id, struct str queue);
uint32_t dw_count_waiting(const struct dag_state *s, struct str queue);
/* Puts a configuration in force. The world's own has the queue q of svc at h and /q/. */
#define DW_QUEUES 4U
struct dw_queue {
	const char *name, *prefix, *service;
};
void dw_set_queues(struct dag_world *w, const struct dw_queue *queues, u_int n);
void dw_close_zone(struct dag_world *w, bool closed);
void dw_crash_worker(struct dag_world *w, uint32_t number, bool restart);
/* Starts again at once; neither a report nor a broken connection tells of it. */
/* A worker reports that it drains; it goes on for drain_ms. */
void dw_drain(struct dag_world *w, uint32_t record);
/* An announcement of a worker's exit comes; returns once it is answered or given up. */
void dw_announce_exit(struct dag_world *w, uint32_t record);
/* A worker drains, announces its exit and ends when that is answered. */
void dw_leave(struct dag_world *w, uint32_t number, uint32_t record);
/*
 * The same in a cut, which takes the answer: the worker goes on and ends some seconds
 * later. The times are counted from the announcement.
 */
void dw_leave_in_a_cut(struct dag_world *w, uint32_t number, uint32_t record,
		       int64_t cut_us, int64_t ends_us);
/*
 * Job 1 has a start request that is held up and gets no answer; its repetition is done.
 * Then the worker starts again after so long.
 */
void dw_restart_before_a_late_start(struct dag_world *w, uint32_t number, int64_t us);
void dw_restart_silently(struct dag_world *w, uint32_t number);
/* Crashes; starts again after a time, under its old or another id. */
void dw_crash_for(struct dag_world *w, uint32_t number, int64_t us, bool new_id);
void dw_change_leader(struct dag_world *w);
/* A scheduler for the state as it is; the earlier one must have been freed. */
void dw_lead(struct dag_world *w);
/* A state restored from a snapshot; fails unless its own snapshot is the same. */
struct dag_state *dw_copy_of_state(const struct dag_world *w);
enum dag_job_state dw_state(struct dag_world *w, uint64_t id);
int64_t dw_wall_ms(const struct dag_world *w);
uint32_t dw_alive(struct dag_world *w, uint64_t id);

#endif
