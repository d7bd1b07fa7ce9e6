#ifndef CORE_JOB_H
#define CORE_JOB_H

#include <sys/queue.h>

#include "base/str.h"
#include "core/conf_item.h"
#include "core/reply.h"
#include "core/share.h"
#include "proto/command.h"

/*
 * Jobs and services with their tasks; a task of a service is an executor. A job is
 * submitted by a team, a service is created from its configuration document. Names are
 * unique per team, separately for jobs and services.
 *
 * A task command is accepted only if it is a legal transition from the current state and
 * attempt:
 *   waiting, evicted -> placed     next attempt; the worker is to start it
 *   placed           -> running
 *   placed, running  -> done, failed, evicted, cancelled
 *   placed, running  -> waiting    the attempt is known to have ended without a result
 *   waiting, evicted -> failed     the task can never run
 * Transitions from placed and running must name the attempt, worker and session of the
 * placement; failing an idle task requires its last attempt number; cancelled requires a
 * requested cancellation. Anything else returns CF_ESTALE and changes nothing. Only the
 * scheduler decides whether a task is retried (waiting) or fails permanently (failed),
 * which fails the job.
 *
 * The scheduler also chooses which executors of a service run and stop:
 *   cancelled        -> placed     next attempt of an unused task number
 *   any but final    -> cancelled  replaced or no longer needed
 * A placement may add task numbers below JOB_SERVICE_SPAN times the requested executors.
 * A service task that is done or failed returns to waiting.
 */
#define JOB_SERVICE_SPAN 2
struct job_options {
	size_t teams;
	struct share_options jobs;	     /* unfinished jobs and services of a team */
	struct share_options tasks;	     /* their tasks */
	struct share_options finished_tasks; /* tasks of retained finished jobs */
	size_t tasks_per_job;
	uint64_t retention_us; /* of finished jobs */
};

/* Derived from the states of the tasks, except JOB_REJECTED. */
enum job_state {
	JOB_WAITING,
	JOB_RUNNING,
	JOB_DONE,
	JOB_FAILED,
	JOB_CANCELLED,
	JOB_REJECTED,
	JOB_STATES
};

/* Requirements of a job; resources, duration and attempts are per task. */
struct job_spec {
	uint32_t tasks;
	uint32_t cpus_milli;
	uint32_t accelerators;
	uint32_t duration_s; /* expected run time; 0: unknown */
	uint32_t max_attempts;
	enum conf_spread spread;
	enum conf_class class;
	uint64_t memory_mb;
	uint64_t deadline_us; /* microseconds since 1970; 0: none */
	struct str command;
	struct str batch_kind;
};

/* Reference-counted name of a worker, shared by the tasks placed on it. */
struct job_worker;
struct str job_worker_name(const struct job_worker *w); /* empty for NULL */

/* Workers that fell silent soon after a task had started on them. */
struct task_silences {
	uint8_t count;
	uint8_t n; /* entries of list, the latest ones; oldest first */
	struct task_silence {
		const struct job_worker *worker;
		uint64_t session;
	} list[CMD_MAX_SILENCES];
};

struct task {
	const struct job_worker *worker; /* of the last attempt */
	struct task_silences *silences;	 /* NULL: none */
	uint64_t session;
	uint64_t checkpoint; /* newest checkpoint, 0: none */
	uint64_t waiting_us; /* start of the current wait */
	uint64_t placed_us;  /* of the current or last attempt; 0: none */
	uint64_t running_us;
	uint64_t ended_us;
	uint32_t attempt; /* 0 before the first */
	int32_t exit_code;
	uint16_t failures;
	uint16_t evictions;
	uint8_t losses;	 /* workers lost soon after it started */
	uint8_t pardons; /* losses that do not count */
	uint8_t state;	 /* enum task_state */
	bool cancel;	 /* cancellation requested */
};

struct job_team;

struct job {
	TAILQ_ENTRY(job) link; /* in jobs.unfinished or job_team.finished */
	struct job_team *team;
	struct task *tasks;
	uint32_t ntasks;
	uint32_t counts[TASK_EVICTED + 1]; /* tasks in each state */
	uint64_t revision;		   /* log index of the submission */
	uint64_t spec_revision;		   /* log index of the last spec change */
	uint64_t submitted_us;
	uint64_t finished_us;
	struct job_spec spec;
	struct str name;
	char *strings; /* holds name, spec.command and spec.batch_kind */
	char *reason;  /* of failure or rejection, else NULL */
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
int jobs_apply_task(struct jobs *j, const struct command_task *in, uint64_t time_us);
int jobs_apply_task_losses(struct jobs *j, const struct command_task_losses *in,
			   uint64_t time_us);
int jobs_apply_task_silences(struct jobs *j, const struct command_task_silences *in,
			     uint64_t time_us);

/* Services are set from their documents; the caller checks the limits first. */
bool jobs_services_fit(const struct jobs *j, struct str team, uint64_t services,
		       uint64_t tasks);
int jobs_service_set(struct jobs *j, struct str team, struct str name,
		     const struct job_spec *spec, uint64_t index, uint64_t time_us);
void jobs_service_remove(struct jobs *j, struct str team, struct str name,
			 uint64_t time_us);

void jobs_sweep(struct jobs *j, uint64_t time_us);

/* Read access; the structs are valid until the next change. */
const struct job *jobs_get(const struct jobs *j, struct str team, bool service,
			   struct str name);
const struct job *jobs_next_unfinished(const struct jobs *j, const struct job *prev);
const struct job *jobs_next_finished(const struct jobs *j, struct str team,
				     const struct job *prev);
struct str job_team_name(const struct job *job);
const char *job_state_name(enum job_state state);
const char *job_task_state_name(enum task_state state);
bool job_task_active(const struct task *task);
size_t jobs_count(const struct jobs *j);
size_t jobs_finished_count(const struct jobs *j);
size_t jobs_tasks(const struct jobs *j);
size_t jobs_bytes(const struct jobs *j);

/* For the snapshot. */
int jobs_walk(const struct jobs *j, int (*visit)(void *, struct snap_record *),
	      void *arg);
int jobs_load(struct jobs *j, const struct snap_job *in);
int jobs_load_losses(struct jobs *j, const struct snap_losses *in);
int jobs_load_silences(struct jobs *j, const struct snap_silences *in);

#endif
