#include "core/job.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/err.h"
#include "core/job_impl.h"

#define DEFAULT_TEAMS 640
/*
 * Default limits: reserved per team, common pool, maximum per team. Jobs take 300 bytes
 * each and tasks 72 (bench/bench_store.c).
 */
static const struct share_options default_jobs = {4, 10000, 8000};
/* The target size is 9,800 latency-critical and 11,000 batch tasks. */
static const struct share_options default_tasks = {16, 40000, 20000};
static const struct share_options default_finished_tasks = {4, 4000, 2000};
#define DEFAULT_TASKS_PER_JOB 10000
#define DEFAULT_RETENTION_US (24ULL * 3600 * 1000000)

struct job_key {
	struct str team;
	struct str name;
	bool service;
};

static uint64_t hash_key(struct str team, bool service, struct str name)
{
	return XXH3_64bits_withSeed(name.p, name.n,
				    XXH3_64bits(team.p, team.n) + service);
}

static uint64_t job_hash(const void *entry)
{
	const struct job *job = entry;

	return hash_key(job_team_name(job), job->service, job->name);
}

static bool job_equal(const void *entry, const void *key)
{
	const struct job *job = entry;
	const struct job_key *k = key;

	return job->service == k->service && str_eq(job->name, k->name) &&
	       str_eq(job_team_name(job), k->team);
}

static const struct table_ops job_ops = {job_hash, job_equal};

void job_defaults(struct job_options *o)
{
	*o = (struct job_options){
		.teams = DEFAULT_TEAMS,
		.jobs = default_jobs,
		.tasks = default_tasks,
		.finished_tasks = default_finished_tasks,
		.tasks_per_job = DEFAULT_TASKS_PER_JOB,
		.retention_us = DEFAULT_RETENTION_US,
	};
}

int jobs_new(const struct job_options *o, struct jobs **out)
{
	struct jobs *j = calloc(1, sizeof(*j));

	if (!j)
		return CF_ENOMEM;
	j->options = *o;
	j->teams.max = o->teams;
	j->teams.size = sizeof(struct job_team);
	j->table.ops = &job_ops;
	j->workers.ops = &job_worker_ops;
	TAILQ_INIT(&j->unfinished);
	j->jobs.options = o->jobs;
	j->tasks.options = o->tasks;
	j->finished_tasks.options = o->finished_tasks;
	*out = j;
	return 0;
}

static struct job_team *team_at(const struct jobs *j, size_t i)
{
	return (struct job_team *)j->teams.list[i];
}

void jobs_free(struct jobs *j)
{
	struct job *job;

	if (!j)
		return;
	while ((job = TAILQ_FIRST(&j->unfinished)))
		job_remove(j, job);
	while (j->teams.count) {
		struct job_team *t = team_at(j, j->teams.count - 1);

		job = TAILQ_FIRST(&t->finished);
		if (job)
			job_remove(j, job);
		else /* no jobs: job_add() ran out of memory after adding the team */
			teams_remove(&j->teams, &t->team);
	}
	table_free(&j->table);
	table_free(&j->workers);
	teams_free(&j->teams);
	free(j);
}

struct str job_team_name(const struct job *job)
{
	return team_name(&job->team->team);
}

/* Returns a job (unfinished or finished) or service for modification, or NULL. */
struct job *job_find(const struct jobs *j, struct str team, bool service, struct str name)
{
	struct job_key key = {team, name, service};

	return table_find(&j->table, hash_key(team, service, name), &key);
}

/* Returns a job (unfinished or finished) or service, or NULL. */
const struct job *jobs_get(const struct jobs *j, struct str team, bool service,
			   struct str name)
{
	return job_find(j, team, service, name);
}

static struct str copy_string(char **at, struct str s)
{
	struct str out = {*at, s.n};

	if (s.n)
		memcpy(*at, s.p, s.n);
	*at += s.n;
	return out;
}

/* Sets name and spec of a job; copies all strings. On CF_ENOMEM the job is unchanged. */
int job_set_spec(struct job *job, struct str name, const struct job_spec *spec)
{
	char *strings = malloc(name.n + spec->command.n + spec->batch_kind.n + 1);
	char *at = strings;

	if (!strings)
		return CF_ENOMEM;
	name = copy_string(&at, name);
	job->spec = *spec;
	job->spec.command = copy_string(&at, spec->command);
	job->spec.batch_kind = copy_string(&at, spec->batch_kind);
	job->name = name;
	free(job->strings);
	job->strings = strings;
	return 0;
}

/*
 * Adds an unfinished job with zeroed tasks. The caller sets their states and
 * job->counts.
 */
int job_add(struct jobs *j, struct str name_of_team, bool service, struct str name,
	    const struct job_spec *spec, uint32_t ntasks, struct job **out)
{
	struct job *job = calloc(1, sizeof(*job));
	struct team *team;
	int err = CF_ENOMEM;

	if (!job)
		return err;
	job->tasks = calloc(ntasks, sizeof(*job->tasks));
	if (!job->tasks)
		goto fail;
	err = job_set_spec(job, name, spec);
	if (err)
		goto fail;
	err = teams_add(&j->teams, name_of_team, &team);
	if (err)
		goto fail;
	job->team = (struct job_team *)team;
	/* A team that teams_add() has just created is zeroed: initialise its list. */
	if (!job->team->finished.tqh_last)
		TAILQ_INIT(&job->team->finished);
	job->ntasks = ntasks;
	job->service = service;
	err = table_add(&j->table, job);
	if (err)
		goto fail;
	TAILQ_INSERT_TAIL(&j->unfinished, job, link);
	share_acquire(&j->jobs, &job->team->used_jobs, 1);
	share_acquire(&j->tasks, &job->team->used_tasks, ntasks);
	*out = job;
	return 0;
fail:
	free(job->strings);
	free(job->tasks);
	free(job);
	return err;
}

/*
 * Removes a job from its list and from the usage counts of the limits, and frees it.
 * Frees its team too if that was the last job.
 */
void job_remove(struct jobs *j, struct job *job)
{
	struct job_team *t = job->team;

	table_remove(&j->table, job);
	if (job->finished_us) {
		TAILQ_REMOVE(&t->finished, job, link);
		share_release(&j->finished_tasks, &t->used_finished_tasks, job->ntasks);
		j->nfinished--;
	} else {
		TAILQ_REMOVE(&j->unfinished, job, link);
		share_release(&j->jobs, &t->used_jobs, 1);
		share_release(&j->tasks, &t->used_tasks, job->ntasks);
	}
	for (uint32_t i = 0; i < job->ntasks; i++) {
		job_worker_put(j, job->tasks[i].worker);
		job_silences_free(j, job->tasks[i].silences);
	}
	free(job->tasks);
	free(job->strings);
	free(job->reason);
	free(job);
	if (!t->used_jobs && !TAILQ_FIRST(&t->finished))
		teams_remove(&j->teams, &t->team);
}

/*
 * Moves a job to the finished jobs of its team, then removes the oldest of these until
 * they are within the limit; a job that exceeds the limit by itself is removed too. A
 * service is removed at once because nobody reads it after its end. This may free the
 * job and, with its last job, the team: the caller must not use job or job->team
 * afterwards.
 */
void job_finish(struct jobs *j, struct job *job, uint64_t time_us)
{
	struct job_team *t = job->team;
	struct job *old;
	struct job *next;

	if (job->service) {
		job_remove(j, job);
		return;
	}
	/* 0 means unfinished. */
	job->finished_us = time_us ? time_us : 1;
	TAILQ_REMOVE(&j->unfinished, job, link);
	share_release(&j->jobs, &t->used_jobs, 1);
	share_release(&j->tasks, &t->used_tasks, job->ntasks);
	TAILQ_INSERT_TAIL(&t->finished, job, link);
	share_acquire(&j->finished_tasks, &t->used_finished_tasks, job->ntasks);
	j->nfinished++;
	/*
	 * job_remove() frees old (which may be job) and, with its last job, the team t.
	 * Neither is used after that: old is NULL then, so the loop ends.
	 */
	for (old = TAILQ_FIRST(&t->finished);
	     old && !share_fits(&j->finished_tasks, t->used_finished_tasks, 0);
	     old = next) {
		next = TAILQ_NEXT(old, link);
		job_remove(j, old);
	}
}

/* Sets the revision and the name of the job in the reply. */
static int fill_reply(struct reply *reply, const struct job *job)
{
	reply->revision = job->revision;
	return buf_set(&reply->detail, job->name);
}

/*
 * Submits a job. Returns CF_EEXIST if the name is in use (the reply then has the revision
 * of the existing job), CF_ETOOBIG for too many tasks, CF_ENOSPACE when the team is at
 * its limit, or CF_EINVAL.
 */
int jobs_submit(struct jobs *j, struct str team, struct str name,
		const struct job_spec *spec, uint64_t index, uint64_t time_us,
		struct reply *reply)
{
	const struct job_team *t = (struct job_team *)teams_find(&j->teams, team);
	struct job *job;
	int err;

	if (!name_valid(team) || !name_valid(name) || spec->tasks == 0)
		return CF_EINVAL;
	if (spec->tasks > j->options.tasks_per_job)
		return CF_ETOOBIG;
	job = job_find(j, team, false, name);
	if (job) {
		err = fill_reply(reply, job);
		return err ? err : CF_EEXIST;
	}
	if (!share_fits(&j->jobs, t ? t->used_jobs : 0, 1) ||
	    !share_fits(&j->tasks, t ? t->used_tasks : 0, spec->tasks))
		return CF_ENOSPACE;
	err = job_add(j, team, false, name, spec, spec->tasks, &job);
	if (err)
		return err;
	job->revision = index;
	job->spec_revision = index;
	job->submitted_us = time_us;
	job->counts[TASK_WAITING] = spec->tasks;
	for (uint32_t i = 0; i < job->ntasks; i++)
		job->tasks[i].waiting_us = time_us;
	return fill_reply(reply, job);
}

/*
 * Cancels a job: waiting tasks immediately, active ones when their worker confirms it.
 * Cancelling a finished job has no effect and succeeds. Returns CF_ENOENT for an unknown
 * job.
 */
int jobs_cancel(struct jobs *j, struct str team, struct str name, uint64_t time_us,
		struct reply *reply)
{
	struct job *job = job_find(j, team, false, name);
	int err;

	if (!job)
		return CF_ENOENT;
	err = fill_reply(reply, job);
	if (err || job->finished_us)
		return err;
	job->cancel = true;
	job_request_cancel(job, 0, time_us);
	job_update_state(j, job, time_us);
	return 0;
}

/*
 * Marks a job as rejected because it can never run. Returns CF_ENOENT for an unknown job,
 * CF_ESTALE if a task was ever placed or the job is finished.
 */
int jobs_reject(struct jobs *j, struct str team, struct str name, struct str reason,
		uint64_t time_us)
{
	struct job *job = job_find(j, team, false, name);

	if (!job)
		return CF_ENOENT;
	if (job->finished_us)
		return CF_ESTALE;
	for (uint32_t i = 0; i < job->ntasks; i++) {
		if (job->tasks[i].attempt)
			return CF_ESTALE;
	}
	job->reason = str_dup(reason);
	if (!job->reason)
		return CF_ENOMEM;
	job->state = JOB_REJECTED;
	job_request_cancel(job, 0, time_us);
	job_update_state(j, job, time_us);
	return 0;
}

/* Removes finished jobs older than the retention time. */
void jobs_sweep(struct jobs *j, uint64_t time_us)
{
	for (size_t i = j->teams.count; i > 0; i--) {
		struct job_team *t = team_at(j, i - 1);
		struct job *job = TAILQ_FIRST(&t->finished);

		while (job && time_us - job->finished_us >= j->options.retention_us) {
			struct job *next = TAILQ_NEXT(job, link);

			/* This may free t; job is NULL then, so t is not read again. */
			job_remove(j, job);
			job = next;
		}
	}
}

/*
 * Iterates over unfinished jobs and services. prev is NULL for the first one; returns
 * NULL after the last one.
 */
const struct job *jobs_next_unfinished(const struct jobs *j, const struct job *prev)
{
	return prev ? TAILQ_NEXT(prev, link) : TAILQ_FIRST(&j->unfinished);
}

/* Iterates over the finished jobs of a team, oldest first. */
const struct job *jobs_next_finished(const struct jobs *j, struct str team,
				     const struct job *prev)
{
	const struct job_team *t;

	if (prev)
		return TAILQ_NEXT(prev, link);
	t = (struct job_team *)teams_find(&j->teams, team);
	return t ? TAILQ_FIRST(&t->finished) : NULL;
}

/* Number of unfinished jobs and services. */
size_t jobs_count(const struct jobs *j)
{
	return j->jobs.total;
}

/* Number of retained finished jobs. */
size_t jobs_finished_count(const struct jobs *j)
{
	return j->nfinished;
}

/* Number of tasks of unfinished jobs and services. */
size_t jobs_tasks(const struct jobs *j)
{
	return j->tasks.total;
}

/*
 * Returns the memory of jobs, tasks and hash tables in bytes. Teams, worker names and
 * job->reason are not counted.
 */
size_t jobs_bytes(const struct jobs *j)
{
	size_t bytes = table_bytes(&j->table) + table_bytes(&j->workers);

	for (size_t i = 0; i < j->table.cap; i++) {
		const struct job *job = j->table.slot[i];

		if (job)
			bytes += sizeof(*job) + job->ntasks * sizeof(*job->tasks) +
				 job->name.n + job->spec.command.n +
				 job->spec.batch_kind.n;
	}
	return bytes;
}
