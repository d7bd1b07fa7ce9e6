#include "core/sched_impl.h"

#define QUARANTINE_SCORE 2.0 /* about two failures of tasks that run well elsewhere */
#define SUSPECT_SCORE 0.4    /* one failure of a job with no other results */
#define PROVEN_US 3000000    /* an attempt that ran this long counts as a success */
#define NEW_WORKER_STARTS 4  /* unproven tasks on a worker without a success */
#define SUSPECT_STARTS 1     /* unproven tasks on a suspect worker or one on probation */
#define QUARANTINE_US 60000000LL
#define QUARANTINE_MAX_DOUBLINGS 5
#define QUARANTINE_SHARE 10 /* at most one of this many workers is quarantined */
#define TASK_WORKERS 3	    /* healthy workers on which a task must fail to be given up */
/* Limit across leader changes, which lose the list of workers that failed a task. */
#define TASK_FAILURES 12
#define JOB_WORKERS 3 /* healthy workers on which a job must fail to be given up */
#define JOB_FAILURES 4
#define RETRY_US 1000000 /* delay before the next attempt, doubled per failure */
#define RETRY_MAX_DOUBLINGS 5
#define JOB_FIRST 32 /* concurrent tasks of a job whose kind has not succeeded yet */
#define JOB_PROBES 2 /* concurrent tasks of a job that has only failed so far */

static unsigned int count_unproven(const struct worker *w, int64_t now_us)
{
	unsigned int n = 0;
	const struct task *t;

	TAILQ_FOREACH (t, &w->tasks, worker_entry)
		if (!t->started_us || now_us - t->started_us < PROVEN_US)
			n++;
	return n;
}

/* Whether the worker's failure history allows one more task. */
bool quarantine_allows(const struct sched *s, const struct worker *w, int64_t now_us)
{
	if (w->health == H_QUARANTINED)
		return false;
	if (w->health == H_PROBATION || w->failure_score >= SUSPECT_SCORE)
		return count_unproven(w, now_us) < SUSPECT_STARTS;
	if (!w->successes)
		return count_unproven(w, now_us) < NEW_WORKER_STARTS;
	return true;
}

/* Whether the job must wait for its running tasks because none has succeeded yet. */
bool quarantine_limits_job(const struct job *j)
{
	if (j->successes)
		return false;
	if (j->failures)
		return j->bound >= JOB_PROBES;
	return !j->kind->proven && j->bound >= JOB_FIRST;
}

/* Records a success: the attempt succeeded or ran for PROVEN_US. */
void quarantine_success(struct sched *s, struct task *t)
{
	struct worker *w = t->worker;

	if (t->proven)
		return;
	t->proven = true;
	if (t->key.job->successes++ == 0) {
		t->key.job->kind->proven = true;
		s->generation++;
		s->work_left = true;
	}
	w->successes++;
	w->failure_score = 0;
	if (w->health == H_PROBATION) {
		w->health = H_GOOD;
		w->quarantines = 0;
		s->generation++;
	}
}

/* Records an attempt that has run for PROVEN_US as a success. */
void quarantine_running(struct sched *s, struct task *t, int64_t now_us)
{
	if (!t->proven && now_us - t->started_us >= PROVEN_US)
		quarantine_success(s, t);
}

/* A new session may be a repaired worker: it needs a new success to be trusted. */
void quarantine_reset_session(struct worker *w)
{
	w->successes = 0;
}

static void quarantine_worker(struct sched *s, struct worker *w, int64_t now_us)
{
	unsigned int doublings = w->quarantines;

	if (w->health == H_QUARANTINED)
		return;
	/* If the fault is not in the workers, enough of them must remain usable. */
	if (s->stats.workers_quarantined >=
	    (s->stats.workers + QUARANTINE_SHARE - 1) / QUARANTINE_SHARE)
		return;
	if (doublings > QUARANTINE_MAX_DOUBLINGS)
		doublings = QUARANTINE_MAX_DOUBLINGS;
	w->health = H_QUARANTINED;
	w->health_us = now_us + (QUARANTINE_US << doublings);
	w->quarantines++;
	s->stats.workers_quarantined++;
	worker_update_index(s, w);
}

/* Ends an expired quarantine; the worker is then on probation. */
void quarantine_check_expiry(struct sched *s, struct worker *w, int64_t now_us)
{
	if (w->health != H_QUARANTINED || now_us < w->health_us)
		return;
	w->health = H_PROBATION;
	w->failure_score = 0;
	s->stats.workers_quarantined--;
	worker_update_index(s, w);
	s->generation++;
	s->work_left = true;
}

static void add_failed_worker(struct worker **list, uint8_t *n, struct worker *w)
{
	for (uint8_t i = 0; i < *n; i++)
		if (list[i] == w)
			return;
	if (*n == MAX_FAILED_ON) {
		for (uint8_t i = 1; i < *n; i++)
			list[i - 1] = list[i];
		--*n;
	}
	list[(*n)++] = w;
}

static unsigned int count_healthy(struct worker *const *list, uint8_t n)
{
	unsigned int good = 0;

	for (uint8_t i = 0; i < n; i++)
		if (list[i]->health == H_GOOD)
			good++;
	return good;
}

/*
 * Records a failed attempt. The worker's score grows by up to 1: more if the
 * job succeeds elsewhere, less if it fails on other healthy workers. Failures on
 * workers that are not healthy do not count against the task.
 */
void quarantine_failure(struct sched *s, struct task *t, int64_t now_us)
{
	struct worker *w = t->worker;
	struct job *j = t->key.job;
	unsigned int elsewhere = 0;
	unsigned int doublings;
	unsigned int good;

	for (uint8_t i = 0; i < j->nfailed_on; i++)
		if (j->failed_on[i] != w && j->failed_on[i]->health == H_GOOD)
			elsewhere++;
	/* Many failures of a job that never succeeded count as one. */
	if (j->successes || w->last_failed_job != j->id)
		w->failure_score +=
			1 - ((double)elsewhere + 0.5) /
				    ((double)elsewhere + (double)j->successes + 1);
	w->last_failed_job = j->id;
	j->failures++;
	add_failed_worker(j->failed_on, &j->nfailed_on, w);
	add_failed_worker(t->failed_on, &t->nfailed_on, w);
	if (w->failure_score >= QUARANTINE_SCORE)
		quarantine_worker(s, w, now_us);
	good = count_healthy(t->failed_on, t->nfailed_on);
	t->failures++;
	if (j->opt.class != SCHED_LATENCY) {
		if (good >= TASK_WORKERS || t->failures >= TASK_FAILURES ||
		    (j->opt.max_attempts && t->failures >= j->opt.max_attempts)) {
			task_end_attempt(s, t, SCHED_FAILED, SCHED_R_FAILED_TOO_OFTEN,
					 now_us);
			return;
		}
		if (!j->successes && j->failures >= JOB_FAILURES &&
		    count_healthy(j->failed_on, j->nfailed_on) >= JOB_WORKERS) {
			task_end_attempt(s, t, SCHED_FAILED, SCHED_R_JOB_FAILS, now_us);
			job_end(s, j, SCHED_R_JOB_FAILS);
			return;
		}
	}
	doublings = t->nfailed_on;
	if (doublings > RETRY_MAX_DOUBLINGS)
		doublings = RETRY_MAX_DOUBLINGS;
	t->retry_us = now_us + ((int64_t)RETRY_US << doublings) / 2;
	task_end_attempt(s, t, SCHED_WAITING, SCHED_R_TASK_FAILED, now_us);
}
