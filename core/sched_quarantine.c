#include "core/sched_impl.h"

#define QUARANTINE_SCORE 2.0 /* about two failures of work that runs well elsewhere */
#define SUSPECT_SCORE 0.4    /* one failure with nothing known about the job */
#define PROVEN_US 3000000    /* an attempt that ran this long was started well */
#define NEW_WORKER_STARTS 4  /* unproven tasks on a worker without any success yet */
#define SUSPECT_STARTS 1     /* unproven tasks on a suspect worker or on probation */
#define QUARANTINE_US 60000000LL
#define QUARANTINE_MAX_DOUBLINGS 5
#define QUARANTINE_SHARE 10 /* at most one worker of ten */
#define TASK_WORKERS 3	    /* good workers that must fail a task before it fails */
/* Bound over leader changes, which forget the workers that failed a task. */
#define TASK_FAILURES 12
#define JOB_WORKERS 3 /* good workers that must fail a job before it fails */
#define JOB_FAILURES 4
#define RETRY_US 1000000 /* pause before the next attempt, doubled for each failure */
#define RETRY_MAX_DOUBLINGS 5
#define JOB_FIRST 32 /* tasks at once of a job of a kind that has not worked yet */
#define JOB_PROBES 2 /* tasks at once of a job that has only failed so far */

static unsigned int count_unproven(const struct worker *w, int64_t now_us)
{
	unsigned int n = 0;
	const struct task *t;

	TAILQ_FOREACH (t, &w->tasks, worker_entry)
		if (!t->started_us || now_us - t->started_us < PROVEN_US)
			n++;
	return n;
}

/* Whether the worker may get one more task, by its record of failures. */
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

/* Whether a job that has only failed so far must wait for its running probes. */
bool quarantine_limits_job(const struct job *j)
{
	if (j->successes)
		return false;
	if (j->failures)
		return j->bound >= JOB_PROBES;
	return !j->kind->proven && j->bound >= JOB_FIRST;
}

/* An attempt ended well or ran long: its worker and its job can work. */
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

/* Counts an attempt that has run for a while as started well. */
void quarantine_running(struct sched *s, struct task *t, int64_t now_us)
{
	if (!t->proven && now_us - t->started_us >= PROVEN_US)
		quarantine_success(s, t);
}

/* A new session may be a repaired worker: it is suspect until it proves itself. */
void quarantine_reset_session(struct worker *w)
{
	w->successes = 0;
}

static void quarantine_worker(struct sched *s, struct worker *w, int64_t now_us)
{
	unsigned int doublings = w->quarantines;

	if (w->health == H_QUARANTINED)
		return;
	/* Work must have somewhere to go when the fault is not in the workers. */
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

/* Ends a quarantine whose time has passed; the worker is on probation then. */
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
 * An attempt failed by itself. The blame goes to the worker as far as the job works
 * on other workers; failures on workers found bad do not count against the task.
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
	/* Many tasks of one job that never worked say no more than one of them. */
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
