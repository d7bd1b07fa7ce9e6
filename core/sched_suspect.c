/*
 * Tasks that may end the process of their worker. Each loss of a worker soon after the
 * start of a task counts against the task. A task with such losses is a suspect: it is
 * tried alone, so that the next loss tells it from the tasks that were merely beside it,
 * and it is given up after MAX_LOSSES. The count is part of the task's record. A loss
 * with another cause (the worker was only cut off, or many were lost at once) is taken
 * back.
 */
#include "core/sched_impl.h"

#define SUSPECT_US 5000000LL /* longest time from a start to the loss that counts */
#define MAX_LOSSES 3	     /* lost workers after which a task is given up */
/* A task is given up only after this time, in case its last loss is taken back. */
#define CONFIRM_RESTART_US 5000000LL
#define CONFIRM_SILENCE_US 30000000LL
#define BURST_US 5000000LL /* losses within this time have a common cause */
#define MAX_PARDONS 2	   /* losses of a task that do not count */
/* A suspect waits this long for an empty worker, then it starts beside older tasks. */
#define ALONE_BATCH_US 10000000LL
#define ALONE_OTHER_US 1000000LL

/* Whether lost workers count against the task. */
bool suspect_is(const struct task *t)
{
	return t->losses > t->pardons;
}

static bool is_over_limit(const struct task *t)
{
	return t->losses - t->pardons >= MAX_LOSSES;
}

/* Whether the worker was lost soon after the task started on it. */
bool suspect_lost_on(const struct task *t, const struct worker *w)
{
	for (uint32_t i = 0; i < t->nlost_on && i < MAX_FAILED_ON; i++)
		if (t->lost_on[i] == w)
			return true;
	return false;
}

static bool has_young_task(const struct worker *w, int64_t now_us)
{
	const struct task *t;

	TAILQ_FOREACH (t, &w->tasks, worker_entry)
		if (t->phase != P_RUNNING || now_us - t->issued_us < SUSPECT_US)
			return true;
	return false;
}

/* Whether the worker may take the task: a suspect starts alone, and stays so at first. */
bool suspect_allows(const struct task *t, const struct worker *w, int64_t now_us)
{
	bool batch = t->key.job->opt.class == SCHED_BATCH;

	if (w->trials)
		return false;
	if (!suspect_is(t))
		return true;
	if (now_us - t->waiting_us < (batch ? ALONE_BATCH_US : ALONE_OTHER_US))
		return w->ntasks == 0 && !suspect_lost_on(t, w);
	return !has_young_task(w, now_us);
}

/* Notes that a suspect is bound to its worker. */
void suspect_bind(struct task *t)
{
	if (!suspect_is(t) || t->trial)
		return;
	t->trial = true;
	t->worker->trials++;
}

/* Notes that the task leaves its worker, or is no suspect any more. */
void suspect_unbind(struct task *t)
{
	if (!t->trial)
		return;
	t->trial = false;
	t->worker->trials--;
}

/* Forgets when and where the last loss was; the count stays. */
void suspect_forget(struct sched *s, struct task *t)
{
	if (!t->loss_us)
		return;
	t->loss_us = 0;
	TAILQ_REMOVE(&s->suspects, t, suspect_entry);
}

/* A loss was taken back: other tasks may join one that is no suspect any more. */
static void check_trial(struct sched *s, struct task *t)
{
	suspect_forget(s, t);
	if (suspect_is(t))
		return;
	suspect_unbind(t);
	s->generation++;
	s->work_left = true;
}

/* The worker reports the task as running. After SUSPECT_US it is no suspect any more. */
void suspect_running(struct sched *s, struct task *t, int64_t now_us)
{
	if (!t->losses || now_us - t->issued_us < SUSPECT_US)
		return;
	t->losses = 0;
	t->pardons = 0;
	check_trial(s, t);
}

static void remember_loss(struct sched *s, struct task *t, struct worker *w,
			  uint64_t session, int64_t now_us)
{
	t->lost_on[t->nlost_on++ % MAX_FAILED_ON] = w;
	t->lost_session = session;
	suspect_forget(s, t);
	t->loss_us = now_us;
	TAILQ_INSERT_TAIL(&s->suspects, t, suspect_entry);
}

/*
 * Counts the loss of the worker against an attempt that began shortly before it. Whether
 * the process ended is known if it restarted, and not if it only fell silent.
 */
void suspect_count_loss(struct sched *s, struct task *t, bool restarted, int64_t now_us)
{
	struct worker *w = t->worker;
	/* An earlier leader heard from it, or would have recorded the end of its lease.
	 */
	int64_t alive_us = w->seen ? w->polled_us : s->ready_us - s->opt.lease_max_us;

	if (t->stop || !t->issued_us || alive_us - t->issued_us > SUSPECT_US)
		return;
	if (t->losses < UINT8_MAX)
		t->losses++;
	remember_loss(s, t, w, t->session, now_us);
	if (is_over_limit(t))
		t->retry_us =
			now_us + (restarted ? CONFIRM_RESTART_US : CONFIRM_SILENCE_US);
}

/*
 * Notes that a worker was lost. The latest losses do not count if many workers were lost
 * at once, but for at most MAX_PARDONS of each task: it may be deadly tasks that end
 * them.
 */
void suspects_worker_lost(struct sched *s, int64_t now_us)
{
	struct task *t;
	struct task *prev;

	s->lost_us[s->nlost++ % BURST_WORKERS] = now_us;
	/* The next one to be overwritten is the oldest. */
	if (s->nlost < BURST_WORKERS ||
	    now_us - s->lost_us[s->nlost % BURST_WORKERS] > BURST_US)
		return;
	for (t = TAILQ_LAST(&s->suspects, task_queue);
	     t && now_us - t->loss_us <= BURST_US; t = prev) {
		prev = TAILQ_PREV(t, task_queue, suspect_entry);
		if (t->pardons >= MAX_PARDONS)
			continue;
		t->pardons++;
		check_trial(s, t);
	}
}

/* Takes back the losses of a worker that returns with the same process. */
void suspects_worker_back(struct sched *s, const struct worker *w)
{
	struct task *t;
	struct task *next;

	for (t = TAILQ_FIRST(&s->suspects); t; t = next) {
		next = TAILQ_NEXT(t, suspect_entry);
		if (t->lost_on[(t->nlost_on - 1) % MAX_FAILED_ON] != w ||
		    t->lost_session != w->session)
			continue;
		t->nlost_on--;
		t->losses--;
		check_trial(s, t);
	}
}

/*
 * Takes over a waiting task of an earlier leader; w is the worker of its last attempt,
 * NULL if unknown. Returns when the task may start, which is later for one about to be
 * given up.
 */
int64_t suspect_load(struct sched *s, struct task *t, struct worker *w, uint64_t session,
		     int64_t now_us)
{
	if (suspect_is(t) && w)
		remember_loss(s, t, w, session, now_us);
	return is_over_limit(t) ? now_us + CONFIRM_SILENCE_US : now_us;
}

/* Whether the task is to fail for good. Executors are retried, as after failures. */
bool suspect_given_up(const struct task *t)
{
	return is_over_limit(t) && t->key.job->opt.class != SCHED_LATENCY;
}
