/*
 * Tasks that may end the process of their worker. The loss of a worker soon after the
 * start of a task makes the task a suspect: it is tried alone, so that the next loss
 * tells it from the tasks that were merely beside it. Only a later session of the worker
 * proves that its process ended. Such losses are counted in the record of the task, and
 * MAX_LOSSES of them give it up, except those of many workers at once. A worker whose
 * lease ended may only have been cut off: its silence makes a suspect and can delay the
 * next start, but never gives a task up, and a return in the same session disproves it.
 */
#include "base/err.h"
#include "core/sched_impl.h"

#define SUSPECT_US 5000000LL /* longest time from a start to the loss that counts */
#define MAX_LOSSES 3	     /* lost workers after which a task is given up */
/* A task is given up only after this time, in case its last loss is pardoned. */
#define CONFIRM_US 5000000LL
/*
 * With MAX_LOSSES losses, some of them unproven, the next start waits this long for the
 * worker to return, and twice as long after each further loss.
 */
#define PROOF_WAIT_US 30000000LL
#define PROOF_WAIT_MAX_DOUBLINGS 3
#define BURST_US 5000000LL /* losses within this time have a common cause */
#define MAX_PARDONS 2	   /* losses of a task that do not count */
/* A suspect waits this long for an empty worker, then it starts beside older tasks. */
#define ALONE_BATCH_US 10000000LL
#define ALONE_OTHER_US 1000000LL

/* Whether lost workers tell against the task, be it by their silence only. */
bool suspect_is(const struct task *t)
{
	return t->losses > t->pardons || t->silent;
}

static bool is_over_limit(const struct task *t)
{
	return t->losses - t->pardons >= MAX_LOSSES;
}

/* Whether the worker was lost soon after the task started on it. */
bool suspect_lost_on(const struct task *t, const struct worker *w)
{
	for (uint8_t i = 0; i < t->nloss; i++)
		if (t->loss[i].worker == w)
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

/* Forgets when and where workers were lost; the counts stay. */
void suspect_forget(struct sched *s, struct task *t)
{
	if (!t->nloss)
		return;
	t->nloss = 0;
	TAILQ_REMOVE(&s->suspects, t, suspect_entry);
}

static void remove_loss(struct sched *s, struct task *t, uint8_t at)
{
	if (t->nloss == 1) {
		suspect_forget(s, t);
		return;
	}
	t->nloss--;
	if (at == t->nloss)
		t->loss_attempt = 0;
	for (uint8_t i = at; i < t->nloss; i++)
		t->loss[i] = t->loss[i + 1];
}

static void add_loss(struct sched *s, struct task *t, struct loss loss, int64_t now_us)
{
	if (t->nloss)
		TAILQ_REMOVE(&s->suspects, t, suspect_entry);
	if (t->nloss == SCHED_MAX_SILENCES) {
		t->nloss--;
		for (uint8_t i = 0; i < t->nloss; i++)
			t->loss[i] = t->loss[i + 1];
	}
	t->loss[t->nloss++] = loss;
	t->loss_attempt = t->attempt;
	t->loss_us = now_us;
	TAILQ_INSERT_TAIL(&s->suspects, t, suspect_entry);
}

/* Whether the task's last attempt ended by a silence that is not explained yet. */
static bool awaits_proof(const struct task *t)
{
	return t->nloss && t->loss_attempt == t->attempt &&
	       t->loss[t->nloss - 1].state == LOSS_SILENT;
}

/* Whether the next start depends on what the silence of the last worker means. */
static bool must_wait(const struct task *t)
{
	return awaits_proof(t) && t->losses - t->pardons + t->silent >= MAX_LOSSES;
}

/* Holds the task until it may be given up, or until its last loss must be explained. */
static void hold(struct task *t, int64_t now_us)
{
	unsigned int doublings;

	if (is_over_limit(t)) {
		t->held = true;
		t->retry_us = now_us + CONFIRM_US;
	} else if (must_wait(t)) {
		doublings = t->losses - t->pardons + t->silent - MAX_LOSSES;
		if (doublings > PROOF_WAIT_MAX_DOUBLINGS)
			doublings = PROOF_WAIT_MAX_DOUBLINGS;
		t->held = true;
		t->retry_us = now_us + (PROOF_WAIT_US << doublings);
	}
}

/* The counts of the task changed: adapts its wait and what may run beside it. */
static void losses_changed(struct sched *s, struct task *t, int64_t now_us)
{
	if (!suspect_is(t)) {
		suspect_unbind(t);
		s->generation++;
		s->work_left = true;
	}
	if (t->phase != P_WAITING && t->phase != P_ENDING)
		return;
	if (is_over_limit(t))
		hold(t, now_us);
	else if (t->held && !must_wait(t))
		t->retry_us = now_us;
	else
		return;
	if (t->phase == P_WAITING)
		task_move_start(s, t, now_us);
}

/* The worker reports the task as running. After SUSPECT_US it is no suspect any more. */
void suspect_running(struct sched *s, struct task *t, int64_t now_us)
{
	if ((!t->losses && !t->silent) || now_us - t->issued_us < SUSPECT_US)
		return;
	t->losses = 0;
	t->pardons = 0;
	t->silent = 0;
	suspect_forget(s, t);
	losses_changed(s, t, now_us);
}

/*
 * Counts the loss of the worker against an attempt that began shortly before it.
 * restarted: a later session proves that the process ended; otherwise it only fell
 * silent.
 */
void suspect_count_loss(struct sched *s, struct task *t, bool restarted, int64_t now_us)
{
	struct worker *w = t->worker;
	/* An earlier leader heard from it, or would have recorded the end of its lease.
	 */
	int64_t alive_us = w->seen ? w->polled_us : s->ready_us - s->opt.lease_max_us;
	uint8_t *count = restarted ? &t->losses : &t->silent;

	if (t->stop || !t->issued_us || alive_us - t->issued_us > SUSPECT_US)
		return;
	if (*count < UINT8_MAX)
		++*count;
	add_loss(s, t,
		 (struct loss){w, t->session, restarted ? LOSS_PROVEN : LOSS_SILENT},
		 now_us);
	hold(t, now_us);
}

static void pardon(struct sched *s, struct task *t, int64_t now_us)
{
	struct loss *l = &t->loss[t->nloss - 1];

	if (t->pardons >= MAX_PARDONS || l->state == LOSS_PARDONED || !t->loss_attempt)
		return;
	if (l->state == LOSS_SILENT) {
		if (t->losses == UINT8_MAX)
			return;
		t->silent--;
		t->losses++;
	}
	l->state = LOSS_PARDONED;
	t->pardons++;
	losses_changed(s, t, now_us);
}

/*
 * Notes that a worker was lost. The latest losses do not count if many workers were lost
 * at once, but for at most MAX_PARDONS of each task: it may be deadly tasks that end
 * them.
 */
void suspects_worker_lost(struct sched *s, int64_t now_us)
{
	struct task *t;

	s->lost_us[s->nlost++ % BURST_WORKERS] = now_us;
	/* The next one to be overwritten is the oldest. */
	if (s->nlost < BURST_WORKERS ||
	    now_us - s->lost_us[s->nlost % BURST_WORKERS] > BURST_US)
		return;
	for (t = TAILQ_LAST(&s->suspects, task_queue);
	     t && now_us - t->loss_us <= BURST_US;
	     t = TAILQ_PREV(t, task_queue, suspect_entry))
		pardon(s, t, now_us);
}

/* The worker was only cut off. */
static void disprove(struct sched *s, struct task *t, uint8_t at, int64_t now_us)
{
	switch (t->loss[at].state) {
	case LOSS_SILENT:
		t->silent--;
		break;
	case LOSS_PARDONED:
		t->pardons--;
		t->losses--;
		break;
	case LOSS_PROVEN:
		t->losses--;
		break;
	}
	remove_loss(s, t, at);
	losses_changed(s, t, now_us);
}

static void prove(struct sched *s, struct task *t, struct loss *l, int64_t now_us)
{
	l->state = LOSS_PROVEN;
	t->silent--;
	if (t->losses < UINT8_MAX)
		t->losses++;
	losses_changed(s, t, now_us);
}

static void settle(struct sched *s, struct task *t, const struct worker *w,
		   int64_t now_us)
{
	for (uint8_t i = t->nloss; i-- > 0;) {
		struct loss *l = &t->loss[i];

		if (l->worker != w)
			continue;
		if (l->session == w->session)
			disprove(s, t, i, now_us);
		else if (l->state == LOSS_SILENT && l->session < w->session)
			prove(s, t, l, now_us);
	}
}

/*
 * The worker is heard again. Its session tells whether it was only cut off (the same
 * one), or its process had ended (a later one).
 */
void suspects_worker_back(struct sched *s, const struct worker *w, int64_t now_us)
{
	struct task *t;
	struct task *next;

	for (t = TAILQ_FIRST(&s->suspects); t; t = next) {
		next = TAILQ_NEXT(t, suspect_entry);
		settle(s, t, w, now_us);
	}
}

/* Adds the silences that are not explained yet to the record. */
void suspect_fill_record(const struct task *t, struct sched_record *r)
{
	for (uint8_t i = 0; i < t->nloss; i++)
		if (t->loss[i].state == LOSS_SILENT)
			r->silence[r->nsilences++] = (struct sched_silence){
				worker_name(t->loss[i].worker), t->loss[i].session};
}

/* Takes over the losses of a task from its record. Returns 0 or CF_ENOMEM. */
int suspect_load(struct sched *s, struct task *t, const struct sched_record *r,
		 int64_t now_us)
{
	t->losses = (uint8_t)r->losses;
	t->pardons = (uint8_t)r->pardons;
	t->silent = (uint8_t)r->silent;
	for (uint32_t i = 0; i < r->nsilences; i++) {
		struct worker *w = worker_get(s, r->silence[i].worker);

		if (!w)
			return CF_ENOMEM;
		add_loss(s, t, (struct loss){w, r->silence[i].session, LOSS_SILENT},
			 now_us);
	}
	t->loss_attempt = 0;
	return 0;
}

/* Returns when the silence of the last worker was noticed, by the time of the start. */
static int64_t silent_since_us(const struct sched *s, int64_t placed_us, int64_t now_us)
{
	int64_t at_us = placed_us + SUSPECT_US + sched_max_wait_us(s->opt.lease_max_us);

	return placed_us && at_us < now_us ? at_us : now_us;
}

/*
 * Continues the wait of a waiting task that was taken over; w is the worker of its last
 * attempt, NULL if unknown. Returns when the task may start, or may be given up.
 */
int64_t suspect_load_wait(struct sched *s, struct task *t, struct worker *w,
			  const struct sched_record *r, int64_t now_us)
{
	const struct loss *last = t->nloss ? &t->loss[t->nloss - 1] : NULL;

	if (is_over_limit(t)) {
		/* Earlier versions counted silence as a loss; a return disproves it. */
		if (w)
			add_loss(s, t, (struct loss){w, r->session, LOSS_PROVEN}, now_us);
		t->held = true;
		return now_us + PROOF_WAIT_US;
	}
	if (last && last->worker == w && last->session == r->session)
		t->loss_attempt = t->attempt;
	hold(t, silent_since_us(s, r->placed_us, now_us));
	if (!t->held)
		return now_us;
	/* A worker that lives reports to the new leader first. */
	return t->retry_us < now_us + CONFIRM_US ? now_us + CONFIRM_US : t->retry_us;
}

/* Whether the task is to fail for good. Executors are retried, as after failures. */
bool suspect_given_up(const struct task *t)
{
	return is_over_limit(t) && t->key.job->opt.class != SCHED_LATENCY;
}
