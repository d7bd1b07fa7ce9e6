#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/sched_impl.h"

/* A job without a deadline is placed as if due this long after it is queued. */
#define DEFAULT_SLACK_US 3600000000LL
/* Declared run times are often too short, so they are multiplied by this factor. */
#define RUN_TIME_MARGIN 1.5
#define STEP_SCALE_DOWN 16 /* executors stopped in one step of one service */

/*
 * Returns the latest time to start the rest of the job, by the estimated run time of its
 * kind. Smaller is more urgent.
 */
static int64_t job_latest_start(const struct job *j, int64_t now_us)
{
	double run = estimate_run_us(j);
	double rounds = 1;

	if (!j->opt.deadline_us)
		return now_us + DEFAULT_SLACK_US;
	if (j->bound)
		rounds += (double)j->nwaiting / (double)j->bound;
	return j->opt.deadline_us - (int64_t)(run * rounds * RUN_TIME_MARGIN);
}

/* Queues a job with waiting tasks for placement. */
void job_enqueue(struct sched *s, struct job *j, int64_t now_us)
{
	unsigned int c = j->opt.class;
	int64_t latest;

	if (!j->nwaiting || j->node.pos || j->parked || j->cancelled || j->reject)
		return;
	latest = job_latest_start(j, now_us);
	j->node.key = -(int64_t)j->opt.priority;
	j->node.tie = latest > 0 ? (uint64_t)latest : 0;
	if (sched_heap_push(&j->team->waiting[c], &j->node)) {
		j->parked = true;
		j->parked_generation = 0;
		TAILQ_INSERT_TAIL(&j->team->parked[c], j, park_entry);
	}
	s->work_left = true;
}

/* Parks a job until capacity is released. */
void job_park(struct sched *s, struct job *j)
{
	unsigned int c = j->opt.class;

	sched_heap_remove(&j->team->waiting[c], &j->node);
	j->parked = true;
	j->parked_generation = s->generation;
	TAILQ_INSERT_TAIL(&j->team->parked[c], j, park_entry);
}

void job_dequeue(struct sched *s, struct job *j)
{
	unsigned int c = j->opt.class;

	sched_heap_remove(&j->team->waiting[c], &j->node);
	if (j->parked) {
		TAILQ_REMOVE(&j->team->parked[c], j, park_entry);
		j->parked = false;
	}
}

/* Ends all tasks of the job, some per step. SCHED_R_NONE means cancelled. */
void job_end(struct sched *s, struct job *j, enum sched_reason reject)
{
	if (j->cancelled || j->reject)
		return;
	if (reject)
		j->reject = reject;
	else
		j->cancelled = true;
	job_dequeue(s, j);
	j->cursor = TAILQ_FIRST(&j->tasks);
	if (!j->ending) {
		j->ending = true;
		TAILQ_INSERT_TAIL(&s->ending, j, end_entry);
	}
	s->work_left = true;
}

/* Stops tasks of cancelled and rejected jobs, at most STEP_TASKS per step. */
void jobs_end_step(struct sched *s, int64_t now_us)
{
	unsigned int n = 0;
	struct job *j;
	struct job *next;

	for (j = TAILQ_FIRST(&s->ending); j; j = next) {
		next = TAILQ_NEXT(j, end_entry);
		while (j->cursor) {
			struct task *t = j->cursor;

			if (n++ == STEP_TASKS) {
				s->work_left = true;
				return;
			}
			j->cursor = TAILQ_NEXT(t, job_entry);
			task_stop(s, t, j->reject ? j->reject : SCHED_R_CANCELLED,
				  now_us);
		}
		TAILQ_REMOVE(&s->ending, j, end_entry);
		j->ending = false;
		job_free_if_done(s, j);
	}
}

/* Schedules a comparison of running and wanted executors. */
void job_scale_later(struct sched *s, struct job *j)
{
	if (j->scaling || j->opt.class != SCHED_LATENCY || !s->ready)
		return;
	j->scaling = true;
	TAILQ_INSERT_TAIL(&s->scaling, j, scale_entry);
	s->work_left = true;
}

/* Rank of an executor; the lowest is stopped first. */
static uint32_t executor_rank(const struct job *j, const struct task *t)
{
	if (!t->worker)
		return 0;
	if (!t->worker->zone)
		return UINT32_MAX;
	if (zone_is_out(j->team, t->worker->zone))
		return 1;
	return 2 + UINT16_MAX - j->zone_count[t->worker->zone->index];
}

static struct task *find_scale_down_victim(struct job *j)
{
	struct task *best = NULL;
	struct task *t;

	TAILQ_FOREACH (t, &j->tasks, job_entry) {
		/* An executor and its replacement count as one. */
		if (t->final || t->replaces || t->replaced_by)
			continue;
		if (!best || executor_rank(j, t) < executor_rank(j, best))
			best = t;
	}
	return best;
}

static void scale_service(struct sched *s, struct job *j, unsigned int *budget,
			  int64_t now_us)
{
	unsigned int stopped = 0;

	while (j->live - j->replacing < j->opt.tasks) {
		struct task *t = NULL;

		if (*budget)
			t = task_new_executor(s, j);
		if (!t) {
			s->work_left = true;
			return;
		}
		--*budget;
		task_set_waiting(s, t, now_us, now_us);
	}
	while (j->live - j->replacing > j->opt.tasks) {
		struct task *t = find_scale_down_victim(j);

		if (!t)
			return;
		/*
		 * Executors started by an earlier leader are known only after their
		 * polls.
		 */
		if (!s->all_workers_polled && t->worker) {
			s->work_left = true;
			return;
		}
		if (stopped++ == STEP_SCALE_DOWN) {
			s->work_left = true;
			return;
		}
		task_stop(s, t, SCHED_R_SCALED_DOWN, now_us);
	}
}

/* Starts or stops executors until each service has the wanted number. */
void jobs_scale_step(struct sched *s, int64_t now_us)
{
	unsigned int budget = STEP_TASKS;
	struct job_queue again = TAILQ_HEAD_INITIALIZER(again);
	bool retry = s->work_left;
	struct job *j;

	while ((j = TAILQ_FIRST(&s->scaling))) {
		TAILQ_REMOVE(&s->scaling, j, scale_entry);
		j->scaling = false;
		if (j->cancelled || j->reject)
			continue;
		s->work_left = false;
		scale_service(s, j, &budget, now_us);
		if (s->work_left && j->live - j->replacing != j->opt.tasks &&
		    !j->scaling) {
			j->scaling = true;
			TAILQ_INSERT_TAIL(&again, j, scale_entry);
		}
		retry = retry || s->work_left;
	}
	TAILQ_CONCAT(&s->scaling, &again, scale_entry);
	s->work_left = retry;
}

/* Frees a job without unfinished tasks; a service only when it was cancelled. */
void job_free_if_done(struct sched *s, struct job *j)
{
	if (!s->ready || j->ending || !TAILQ_EMPTY(&j->tasks))
		return;
	if (j->opt.class == SCHED_LATENCY && !j->cancelled && !j->reject)
		return;
	job_free(s, j);
}

void job_free(struct sched *s, struct job *j)
{
	job_dequeue(s, j);
	if (j->ending)
		TAILQ_REMOVE(&s->ending, j, end_entry);
	if (j->scaling)
		TAILQ_REMOVE(&s->scaling, j, scale_entry);
	if (j->opt.class == SCHED_LATENCY)
		TAILQ_REMOVE(&s->services, j, service_entry);
	HASH_DEL(s->jobs, j);
	s->stats.bytes -= sizeof(*j) + j->len;
	interference_free(s, j);
	free(j->rack_count);
	free(j->last_attempt);
	free(j->key);
	free(j);
}

static bool size_equal(struct sched_size a, struct sched_size b)
{
	return size_covers(a, b) && size_covers(b, a);
}

static int update_job(struct sched *s, struct job *j, const struct sched_job *opt,
		      int64_t now_us)
{
	if (j->opt.class != SCHED_LATENCY || opt->class != SCHED_LATENCY)
		return CF_EEXIST;
	/* Running executors are accounted with the old size. */
	if (!size_equal(j->opt.size, opt->size))
		return CF_EINVAL;
	j->opt.tasks = opt->tasks;
	j->opt.priority = opt->priority;
	j->opt.latency_us = opt->latency_us;
	if (opt->next_task > j->next_task)
		j->next_task = opt->next_task;
	/* The service was declared again: executors not stopped yet stay. */
	if (j->cancelled) {
		j->cancelled = false;
		if (j->ending)
			TAILQ_REMOVE(&s->ending, j, end_entry);
		j->ending = false;
		j->cursor = NULL;
		job_enqueue(s, j, now_us);
	}
	job_scale_later(s, j);
	sched_wake(s, now_us);
	return 0;
}

static int create_tasks(struct sched *s, struct job *j, int64_t now_us)
{
	if (j->opt.class == SCHED_LATENCY) {
		job_scale_later(s, j);
		return 0;
	}
	for (uint32_t i = 0; i < j->opt.tasks; i++) {
		struct task *t = task_new(s, j, i);

		if (!t)
			return CF_ENOSPACE;
		task_set_waiting(s, t, now_us, now_us);
	}
	return 0;
}

static bool is_valid(const struct sched_job *opt)
{
	return opt->name.n && opt->name.n <= SCHED_MAX_NAME && opt->team.n &&
	       opt->team.n <= SCHED_MAX_NAME && opt->kind.n <= SCHED_MAX_NAME &&
	       (unsigned int)opt->class < SCHED_CLASSES;
}

/*
 * Adds a job, or changes the number of executors of a service. CF_EEXIST: the batch job
 * exists; CF_EINVAL: bad field, or the size of a service changed; CF_ENOSPACE: too many
 * unfinished tasks, nothing was added.
 */
int sched_add_job(struct sched *s, const struct sched_job *opt, int64_t now_us)
{
	struct team *team;
	struct job *j;
	int err;

	if (!is_valid(opt))
		return CF_EINVAL;
	j = sched_job_find(s, opt->team, opt->name);
	if (j)
		return update_job(s, j, opt, now_us);
	if (s->ready && opt->class != SCHED_LATENCY &&
	    opt->tasks > s->opt.max_tasks - s->ntasks)
		return CF_ENOSPACE;
	team = sched_team_get(s, opt->team);
	j = team ? calloc(1, sizeof(*j)) : NULL;
	if (!j)
		return CF_ENOMEM;
	err = make_team_key(team, opt->name, &j->key, &j->len);
	if (err)
		goto fail;
	err = CF_ENOMEM;
	j->kind = kind_get(s, team, opt->kind);
	if (!j->kind)
		goto fail;
	j->id = ++s->next_id;
	j->team = team;
	j->opt = *opt;
	j->opt.team = (struct str){NULL, 0};
	j->opt.name = (struct str){NULL, 0};
	j->opt.kind = (struct str){NULL, 0};
	j->next_task = opt->next_task;
	TAILQ_INIT(&j->tasks);
	TAILQ_INIT(&j->waiting);
	HASH_ADD_KEYPTR(hh, s->jobs, j->key, j->len, j);
	if (opt->class == SCHED_LATENCY)
		TAILQ_INSERT_TAIL(&s->services, j, service_entry);
	s->stats.bytes += sizeof(*j) + j->len;
	if (!s->ready) {
		if (opt->cancelled)
			job_end(s, j, SCHED_R_NONE);
		return 0;
	}
	err = create_tasks(s, j, now_us);
	sched_wake(s, now_us);
	return err;

fail:
	free(j->key);
	free(j);
	return err;
}

/* Cancels a job or service. No start command is issued for it any more. */
int sched_cancel_job(struct sched *s, struct str team, struct str name, int64_t now_us)
{
	struct job *j = sched_job_find(s, team, name);

	if (!j)
		return CF_ENOENT;
	job_end(s, j, SCHED_R_NONE);
	sched_wake(s, now_us);
	return 0;
}
