#ifndef CORE_JOB_H
#define CORE_JOB_H

#include <sys/queue.h>

#include "base/str.h"
#include "core/conf_item.h"
#include "core/reply.h"
#include "core/share.h"
#include "proto/command.h"

/*
 * Jobs and the executors of services, with their tasks. A job is submitted by a team; a
 * service is made from its document in the configuration. Names are unique within
 * (team, job or service).
 *
 * A task record is accepted only as a legal step from the present state and attempt:
 *   waiting, evicted -> placed     next attempt; the intent to start
 *   placed           -> running
 *   placed, running  -> done, failed, evicted, cancelled
 *   placed, running  -> waiting    the attempt certainly ended without a result
 *   waiting, evicted -> failed     the task can never run
 * Steps from placed and running need the attempt, worker and session that were placed;
 * failed of an idle task needs its last attempt; cancelled needs a requested
 * cancellation. Anything else changes nothing (CF_ESTALE). The scheduler alone decides
 * whether a task is tried again (waiting) or fails for good (failed), which fails the
 * job.
 *
 * The scheduler also chooses which executors of a service run and stop:
 *   cancelled        -> placed     the next attempt of a number that is free
 *   any but final    -> cancelled  replaced or not wanted any more
 * and a placement may add numbers below JOB_SERVICE_SPAN times the wanted executors. A
 * task of a service that is done or failed waits again.
 */
#define JOB_SERVICE_SPAN 2
struct job_options {
	size_t teams;
	struct share_options jobs;  /* unfinished jobs and services of a team */
	struct share_options tasks; /* their tasks */
	struct share_options kept;  /* tasks of a team's finished jobs */
	size_t tasks_per_job;
	uint64_t keep_us; /* finished jobs are kept for this long */
};

/* Derived from the tasks, except for rejected. */
enum job_state {
	JOB_WAITING,
	JOB_RUNNING,
	JOB_DONE,
	JOB_FAILED,
	JOB_CANCELLED,
	JOB_REJECTED,
	JOB_STATES
};

/* What a job asks for; of each task where that makes a difference. */
struct job_spec {
	uint32_t tasks;
	uint32_t cpus_milli;
	uint32_t accelerators;
	uint32_t duration_s; /* 0: not declared */
	uint32_t max_attempts;
	enum conf_spread spread;
	enum conf_class class;
	uint64_t memory_mb;
	uint64_t deadline_us; /* time of commands; 0: none */
	struct str command;
	struct str batch_kind;
};

/* The name of a worker, shared by the tasks on it. */
struct job_worker;
struct str job_worker_name(const struct job_worker *w); /* empty for NULL */

struct task {
	const struct job_worker *worker; /* of the last attempt */
	uint64_t session;
	uint64_t checkpoint; /* marker of the newest checkpoint, 0: none */
	uint64_t waiting_us; /* start of the present wait */
	uint64_t placed_us;  /* of the present or last attempt; 0: none */
	uint64_t running_us;
	uint64_t ended_us;
	uint32_t attempt; /* 0 before the first */
	int32_t exit_code;
	uint16_t failures;
	uint16_t evictions;
	uint8_t state; /* enum task_state */
	bool cancel;   /* cancellation requested */
};

struct job_team;

struct job {
	TAILQ_ENTRY(job) link; /* of unfinished, or of the team's finished jobs */
	struct job_team *team;
	struct task *tasks;
	uint32_t ntasks;
	uint32_t counts[TASK_EVICTED + 1]; /* tasks in each state */
	uint64_t revision;		   /* index of the submission */
	uint64_t spec_revision;		   /* index of the last change of the spec */
	uint64_t submitted_us;
	uint64_t finished_us;
	struct job_spec spec;
	struct str name;
	char *strings; /* name, command, batch kind */
	char *reason;  /* why it failed or was rejected; NULL */
	uint8_t state;
	bool service;
	bool cancel;
};

struct jobs;

void job_defaults(struct job_options *o);
int jobs_new(const struct job_options *o, struct jobs **out);
void jobs_free(struct jobs *j);

/* Commands. */
int job_spec_read(const struct conf_item *item, uint64_t time_us, struct job_spec *out);
int jobs_submit(struct jobs *j, struct str team, struct str name,
		const struct job_spec *spec, uint64_t index, uint64_t time_us,
		struct reply *reply);
int jobs_cancel(struct jobs *j, struct str team, struct str name, uint64_t time_us,
		struct reply *reply);
int jobs_reject(struct jobs *j, struct str team, struct str name, struct str reason,
		uint64_t time_us);
int jobs_task(struct jobs *j, const struct command_task *in, uint64_t time_us);

/* Services follow their documents; the caller checks the bounds first. */
bool jobs_service_fits(const struct jobs *j, struct str team, uint64_t services,
		       uint64_t tasks);
int jobs_service_set(struct jobs *j, struct str team, struct str name,
		     const struct job_spec *spec, uint64_t index, uint64_t time_us);
void jobs_service_remove(struct jobs *j, struct str team, struct str name,
			 uint64_t time_us);

void jobs_sweep(struct jobs *j, uint64_t time_us);

/* Reading; the structs are valid until the next change. */
const struct job *jobs_get(const struct jobs *j, struct str team, bool service,
			   struct str name);
const struct job *jobs_next(const struct jobs *j, const struct job *prev);
const struct job *jobs_next_kept(const struct jobs *j, struct str team,
				 const struct job *prev);
struct str job_team_name(const struct job *job);
const char *job_state_name(enum job_state state);
const char *job_task_state_name(enum task_state state);
bool job_task_active(const struct task *task);
size_t jobs_count(const struct jobs *j);
size_t jobs_kept(const struct jobs *j);
size_t jobs_tasks(const struct jobs *j);
size_t jobs_bytes(const struct jobs *j);

/* For the snapshot. */
int jobs_walk(const struct jobs *j, int (*visit)(void *, struct snap_record *),
	      void *arg);
int jobs_load(struct jobs *j, const struct snap_job *in);

#endif
