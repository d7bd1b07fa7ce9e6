#ifndef CORE_JOB_IMPL_H
#define CORE_JOB_IMPL_H

/* Internal declarations, shared by core/job*.c only. */

#include "core/job.h"
#include "core/table.h"
#include "core/team.h"

TAILQ_HEAD(job_list, job);

struct job_team {
	struct team team;
	struct job_list finished; /* in order of completion */
	uint64_t used_jobs;
	uint64_t used_tasks;
	uint64_t used_finished_tasks;
};

struct job_worker {
	size_t refs;
	size_t n;
	char name[];
};

struct jobs {
	struct job_options options;
	struct teams teams;
	struct table table;
	struct table workers;
	struct job_list unfinished; /* in order of submission */
	struct share jobs;
	struct share tasks;
	struct share finished_tasks;
	size_t nfinished;
};

extern const struct table_ops job_worker_ops;

int job_worker_get(struct jobs *j, struct str name, const struct job_worker **out);
void job_worker_put(struct jobs *j, const struct job_worker *w);

int job_silences_new(struct jobs *j, uint32_t count, const struct command_silence *list,
		     uint32_t n, struct task_silences **out);
void job_silences_free(struct jobs *j, struct task_silences *silences);
int job_visit_silences(const struct job *job, int (*visit)(void *, struct snap_record *),
		       void *arg);

int job_add(struct jobs *j, struct str team, bool service, struct str name,
	    const struct job_spec *spec, uint32_t ntasks, struct job **out);
int job_set_spec(struct job *job, struct str name, const struct job_spec *spec);
struct job *job_find(const struct jobs *j, struct str team, bool service,
		     struct str name);
void job_set_task_state(struct job *job, struct task *task, enum task_state state);
void job_request_cancel(struct job *job, uint32_t first, uint64_t time_us);
int job_add_executors(struct jobs *j, struct job *job, const struct command_task *in,
		      uint64_t time_us);
bool job_ended(const struct job *job);
void job_update_state(struct jobs *j, struct job *job, uint64_t time_us);
void job_finish(struct jobs *j, struct job *job, uint64_t time_us);
void job_remove(struct jobs *j, struct job *job);

#endif
