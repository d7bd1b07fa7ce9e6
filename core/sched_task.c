#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/sched_impl.h"

/* Returns the unfinished task with that number, NULL if there is none. */
struct task *task_find(struct sched *s, struct job *j, uint32_t number)
{
	struct task_key key;
	struct task *t;

	memset(&key, 0, sizeof(key));
	key.job = j;
	key.number = number;
	HASH_FIND(hh, s->tasks, &key, sizeof(key), t);
	return t;
}

/*
 * Creates a waiting task that is in no queue yet. NULL: no memory or max_tasks reached.
 */
struct task *task_new(struct sched *s, struct job *j, uint32_t number)
{
	struct task *t;

	if (s->ntasks >= s->opt.max_tasks)
		return NULL;
	t = calloc(1, sizeof(*t));
	if (!t)
		return NULL;
	t->key.job = j;
	t->key.number = number;
	if (number < j->nlast_attempt)
		t->attempt = j->last_attempt[number];
	t->phase = P_WAITING;
	t->percent = 100;
	HASH_ADD(hh, s->tasks, key, sizeof(t->key), t);
	TAILQ_INSERT_TAIL(&j->tasks, t, job_entry);
	j->live++;
	s->ntasks++;
	s->stats.bytes += sizeof(*t);
	return t;
}

/*
 * Creates the task of a new executor. It takes the lowest free number, which bounds the
 * records in the store. NULL: no memory, max_tasks reached or no free number.
 */
struct task *task_new_executor(struct sched *s, struct job *j)
{
	uint64_t limit = (uint64_t)j->opt.tasks * SCHED_SERVICE_SPAN;
	struct task *t;

	if (limit < j->next_task)
		limit = j->next_task;
	while (j->lowest_free < limit && task_find(s, j, j->lowest_free))
		j->lowest_free++;
	t = j->lowest_free < limit ? task_new(s, j, j->lowest_free) : NULL;
	if (t)
		t->unrecorded = true;
	return t;
}

/*
 * Keeps the last attempt of a number without a task, so that no attempt number is used
 * twice.
 */
int job_set_last_attempt(struct job *j, uint32_t number, uint32_t attempt)
{
	if (number >= j->nlast_attempt) {
		uint32_t n = number + 1 + number / 2;
		uint32_t *p = realloc(j->last_attempt, n * sizeof(*p));

		if (!p)
			return CF_ENOMEM;
		memset(p + j->nlast_attempt, 0, (n - j->nlast_attempt) * sizeof(*p));
		j->last_attempt = p;
		j->nlast_attempt = n;
	}
	j->last_attempt[number] = attempt;
	return 0;
}

/* Unlinks an executor and its replacement. */
void task_unlink_replacement(struct task *t)
{
	if (t->replaces) {
		t->replaces->replaced_by = NULL;
		t->key.job->replacing--;
	}
	if (t->replaced_by) {
		t->replaced_by->replaces = NULL;
		t->key.job->replacing--;
	}
	t->replaces = NULL;
	t->replaced_by = NULL;
}

static void set_final(struct task *t)
{
	if (t->final)
		return;
	t->final = true;
	t->key.job->live--;
	task_unlink_replacement(t);
}

static void leave_waiting(struct sched *s, struct task *t)
{
	struct job *j = t->key.job;

	if (t->delay.pos) {
		sched_heap_remove(&s->delayed, &t->delay);
	} else if (t->queued) {
		TAILQ_REMOVE(&j->waiting, t, wait_entry);
		t->queued = false;
		j->nwaiting--;
		if (!j->nwaiting)
			job_dequeue(s, j);
	}
}

/* Counts an executor in its service's distribution over zones and racks. */
void task_count_spread(struct task *t)
{
	struct job *j = t->key.job;
	struct worker *w = t->worker;
	unsigned int r;

	/* The zone of a worker is unknown until its first poll. */
	if (j->opt.class != SCHED_LATENCY || !w->zone || t->counted)
		return;
	r = w->rack->index;
	if (r >= j->rack_cap) {
		uint32_t cap = (r + 1) * 2;
		uint16_t *p = realloc(j->rack_count, cap * sizeof(*p));

		/* Not counted without memory: the distribution is a preference. */
		if (!p)
			return;
		memset(p + j->rack_cap, 0, (cap - j->rack_cap) * sizeof(*p));
		j->rack_count = p;
		j->rack_cap = cap;
	}
	j->rack_count[r]++;
	j->zone_count[w->zone->index]++;
	t->counted = true;
}

void task_uncount_spread(struct task *t)
{
	struct job *j = t->key.job;

	if (!t->counted)
		return;
	j->rack_count[t->worker->rack->index]--;
	j->zone_count[t->worker->zone->index]--;
	t->counted = false;
}

/* Reserves capacity for the task on the worker until task_end_attempt(). */
void task_bind(struct sched *s, struct task *t, struct worker *w)
{
	struct job *j = t->key.job;

	leave_waiting(s, t);
	t->worker = w;
	t->session = w->session;
	size_add(&w->used, j->opt.size);
	size_add(&j->team->used, j->opt.size);
	if (j->opt.class == SCHED_LATENCY)
		TAILQ_INSERT_HEAD(&w->tasks, t, worker_entry);
	else
		TAILQ_INSERT_TAIL(&w->tasks, t, worker_entry);
	w->ntasks++;
	suspect_bind(t);
	w->expected += interfere_effect(w, t);
	j->bound++;
	s->stats.tasks_bound++;
	task_count_spread(t);
	if (w->zone)
		worker_update_index(s, w);
}

/* Sets whether the worker may be running the attempt. */
void task_set_live(struct task *t, bool live)
{
	if (t->live == live)
		return;
	t->live = live;
	if (live)
		size_add(&t->worker->live, t->key.job->opt.size);
	else
		size_sub(&t->worker->live, t->key.job->opt.size);
}

static void unbind(struct sched *s, struct task *t, int64_t now_us)
{
	struct worker *w = t->worker;
	struct job *j = t->key.job;

	if (!w)
		return;
	w->expected -= interfere_effect(w, t);
	if (t->phase == P_RUNNING)
		interfere_record_ended(t, now_us);
	task_set_live(t, false);
	task_set_reclaim(t, false);
	suspect_unbind(t);
	size_sub(&w->used, j->opt.size);
	size_sub(&j->team->used, j->opt.size);
	if (w->next_listed == t)
		w->next_listed = TAILQ_NEXT(t, worker_entry);
	TAILQ_REMOVE(&w->tasks, t, worker_entry);
	w->ntasks--;
	j->bound--;
	s->stats.tasks_bound--;
	task_uncount_spread(t);
	t->worker = NULL;
	worker_capacity_released(s, w);
}

/* Releases the capacity of an attempt that no worker knows of. */
void task_withdraw(struct sched *s, struct task *t, int64_t now_us)
{
	unbind(s, t, now_us);
	t->phase = P_WAITING;
}

/* Sets whether the attempt is being stopped to make room for another task. */
void task_set_reclaim(struct task *t, bool reclaim)
{
	if (t->reclaim == reclaim)
		return;
	t->reclaim = reclaim;
	if (reclaim)
		size_add(&t->worker->reclaim, t->key.job->opt.size);
	else
		size_sub(&t->worker->reclaim, t->key.job->opt.size);
}

/* Suspects wait behind the others, which need not wait for an empty worker. */
static void insert_waiting(struct job *j, struct task *t)
{
	struct task *after = TAILQ_LAST(&j->waiting, task_queue);

	while (!suspect_is(t) && after && suspect_is(after))
		after = TAILQ_PREV(after, task_queue, wait_entry);
	if (after)
		TAILQ_INSERT_AFTER(&j->waiting, after, t, wait_entry);
	else
		TAILQ_INSERT_HEAD(&j->waiting, t, wait_entry);
}

/* Makes the task eligible for placement at at_us, or gives it up then. */
void task_set_waiting(struct sched *s, struct task *t, int64_t at_us, int64_t now_us)
{
	struct job *j = t->key.job;

	t->phase = P_WAITING;
	t->stop = SCHED_R_NONE;
	t->live = false;
	t->inherited = false;
	t->checkpoint_requested = false;
	t->recorded_running = false;
	t->percent = 100;
	t->throttle_polls = 0;
	t->issued_seq = 0;
	t->issued_us = 0;
	t->started_us = 0;
	t->proven = false;
	t->used_cpu = 0;
	t->full_cpu = 0;
	t->throttled_us = 0;
	t->latency_us = 0;
	if (at_us > now_us) {
		t->delay.key = at_us;
		t->delay.tie = s->next_tie++;
		if (sched_heap_push(&s->delayed, &t->delay) == 0)
			return;
	}
	if (suspect_given_up(t)) {
		s->stats.given_up++;
		task_end_attempt(s, t, SCHED_FAILED, SCHED_R_LOSES_WORKERS, now_us);
		return;
	}
	t->held = false;
	t->waiting_us = now_us;
	insert_waiting(j, t);
	t->queued = true;
	j->nwaiting++;
	job_enqueue(s, j, now_us);
}

/* Makes a waiting task eligible at retry_us in place of its present time. */
void task_move_start(struct sched *s, struct task *t, int64_t now_us)
{
	leave_waiting(s, t);
	task_set_waiting(s, t, t->retry_us, now_us);
	t->retry_us = 0;
}

/* Queues tasks whose retry time has come. */
void tasks_requeue_delayed(struct sched *s, int64_t now_us)
{
	struct sched_node *n;

	while ((n = sched_heap_first(&s->delayed)) && n->key <= now_us) {
		struct task *t =
			(struct task *)((char *)n - offsetof(struct task, delay));

		sched_heap_remove(&s->delayed, n);
		task_set_waiting(s, t, now_us, now_us);
	}
}

/* Queues the task for a proposal: the store lacks its current state. */
void task_mark_dirty(struct sched *s, struct task *t)
{
	if (t->dirty)
		return;
	t->dirty = true;
	TAILQ_INSERT_TAIL(&s->dirty, t, dirty_entry);
}

/*
 * Ends an attempt that is no longer running. Releases its capacity and records the end.
 */
void task_end_attempt(struct sched *s, struct task *t, enum sched_state end,
		      enum sched_reason reason, int64_t now_us)
{
	leave_waiting(s, t);
	unbind(s, t, now_us);
	t->phase = P_ENDING;
	t->stop = SCHED_R_NONE;
	t->inherited = false;
	t->end = end;
	t->reason = reason;
	if (end != SCHED_WAITING) {
		set_final(t);
		if (t->key.job->opt.class == SCHED_LATENCY)
			job_scale_later(s, t->key.job);
	}
	task_mark_dirty(s, t);
}

static bool is_final(enum sched_reason reason)
{
	return reason == SCHED_R_CANCELLED || reason == SCHED_R_SCALED_DOWN ||
	       reason == SCHED_R_REPLACED || reason >= SCHED_R_TOO_LARGE;
}

/* Returns the state to record when an attempt stopped for this reason has ended. */
enum sched_state task_end_state(enum sched_reason reason)
{
	if (reason >= SCHED_R_TOO_LARGE)
		return SCHED_FAILED;
	return is_final(reason) ? SCHED_CANCELLED : SCHED_WAITING;
}

/* Whether no worker can know of the current attempt. */
bool task_never_issued(const struct task *t)
{
	return !t->inherited && t->issued_seq == 0;
}

/*
 * Requests the end of the current attempt. It ends at once if no worker can know of it,
 * otherwise when the worker confirms it or its lease has expired.
 */
void task_stop(struct sched *s, struct task *t, enum sched_reason reason, int64_t now_us)
{
	bool final = is_final(reason);

	if (final)
		set_final(t);
	switch (t->phase) {
	case P_WAITING:
		if (final)
			task_end_attempt(s, t, task_end_state(reason), reason, now_us);
		return;
	case P_ENDING:
		if (!final || t->end != SCHED_WAITING)
			return;
		if (t->pending)
			t->stop = reason; /* applied when the record is committed */
		else
			task_end_attempt(s, t, task_end_state(reason), reason, now_us);
		return;
	case P_PROPOSED:
	case P_PLACED:
	case P_RUNNING:
		break;
	}
	if (!t->stop || (final && !is_final(t->stop))) {
		t->stop = reason;
	}
	if (t->phase != P_RUNNING && !t->pending && task_never_issued(t))
		task_end_attempt(s, t, task_end_state(t->stop), t->stop, now_us);
}

/* Handles an attempt that ended without a result of its own. */
void task_lost(struct sched *s, struct task *t, int64_t now_us)
{
	enum sched_reason reason = t->stop ? t->stop : SCHED_R_WORKER_LOST;

	if (t->phase == P_PROPOSED || (t->phase == P_PLACED && task_never_issued(t))) {
		task_stop(s, t, SCHED_R_NOT_STARTED, now_us);
		return;
	}
	if (!t->stop)
		s->stats.lost++;
	if (t->replaced_by)
		reason = SCHED_R_REPLACED;
	else if (t->key.job->cancelled)
		reason = SCHED_R_CANCELLED;
	task_end_attempt(s, t, task_end_state(reason), reason, now_us);
}

static enum sched_state state_to_record(const struct task *t)
{
	switch (t->phase) {
	case P_PROPOSED:
		return SCHED_PLACED;
	case P_RUNNING:
		return SCHED_RUNNING;
	case P_ENDING:
		return t->end;
	case P_WAITING:
	case P_PLACED:
		break;
	}
	return SCHED_WAITING;
}

static int propose(struct sched *s, struct task *t)
{
	struct job *j = t->key.job;
	struct sched_record r = {
		.team = sched_team_name(j->team),
		.job = job_name(j),
		.task = (uint32_t)t->key.number,
		.attempt = t->attempt,
		.state = state_to_record(t),
		.session = t->session,
		.exit_code = t->exit_code,
		.checkpoint = t->checkpoint,
		.failures = t->failures,
		.losses = t->losses,
		.pardons = t->pardons,
		.silent = t->silent,
		.reason = t->phase == P_ENDING ? t->reason : SCHED_R_NONE,
	};
	int err;

	if (t->worker)
		r.worker = worker_name(t->worker);
	suspect_fill_record(t, &r);
	err = s->opt.host->ops->propose(s->opt.host, &r);
	if (err)
		return err;
	t->pending = true;
	t->proposed = r.state;
	s->stats.proposals++;
	return 0;
}

/* Proposes up to STEP_PROPOSALS records. Rejected ones stay queued. */
void tasks_propose(struct sched *s, int64_t now_us)
{
	unsigned int n = 0;
	struct task *t;

	while ((t = TAILQ_FIRST(&s->dirty)) && n++ < STEP_PROPOSALS) {
		/* One proposal per task in flight; sched_committed() queues it again. */
		bool due = t->phase == P_PROPOSED || t->phase == P_ENDING ||
			   (t->phase == P_RUNNING && !t->recorded_running);

		int err = 0;

		if (t->phase == P_ENDING && t->unrecorded && t->end != SCHED_WAITING)
			err = CF_ENOENT;
		else if (!t->pending && due)
			err = propose(s, t);

		TAILQ_REMOVE(&s->dirty, t, dirty_entry);
		if (err == CF_ENOENT) {
			t->dirty = false;
			task_remove_unrecorded(s, t, now_us);
			continue;
		}
		if (err) {
			/* Moved to the end, in case only this one is rejected. */
			TAILQ_INSERT_TAIL(&s->dirty, t, dirty_entry);
			s->work_left = true;
			return;
		}
		t->dirty = false;
	}
	if (t)
		s->work_left = true;
}

/*
 * Handles a task that the store does not have. What a worker may be running is stopped
 * first, and its capacity stays reserved until then.
 */
void task_remove_unrecorded(struct sched *s, struct task *t, int64_t now_us)
{
	struct job *j = t->key.job;

	if (t->phase == P_RUNNING || t->phase == P_PLACED) {
		t->recorded_running = true;
		task_stop(s, t, SCHED_R_CANCELLED, now_us);
		return;
	}
	unbind(s, t, now_us);
	task_free(s, t);
	job_scale_later(s, j);
	job_free_if_done(s, j);
}

/* Frees a task that is bound to no worker. */
void task_free(struct sched *s, struct task *t)
{
	struct job *j = t->key.job;

	leave_waiting(s, t);
	suspect_forget(s, t);
	set_final(t);
	if (t->dirty)
		TAILQ_REMOVE(&s->dirty, t, dirty_entry);
	if (j->cursor == t)
		j->cursor = TAILQ_NEXT(t, job_entry);
	if (j->opt.class == SCHED_LATENCY) {
		/* Without memory, the store's refusal supplies the attempt. */
		(void)job_set_last_attempt(j, (uint32_t)t->key.number, t->attempt);
		if (t->key.number < j->lowest_free)
			j->lowest_free = (uint32_t)t->key.number;
	}
	TAILQ_REMOVE(&j->tasks, t, job_entry);
	HASH_DEL(s->tasks, t);
	s->ntasks--;
	s->stats.bytes -= sizeof(*t);
	free(t);
}
