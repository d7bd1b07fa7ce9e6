#include "core/sched.h"

#include <stdlib.h>

#include "base/err.h"
#include "core/sched_impl.h"

/* Delay before repeating a placement that the store refused. */
#define REFUSED_RETRY_US 1000000
/* Every live worker polls a new leader within its lease plus this time. */
#define FIRST_POLL_WAIT_US 2000000

/*
 * Returns the longest time on the leader's clock until span_us has passed on any other
 * clock.
 */
int64_t sched_max_wait_us(int64_t span_us)
{
	return span_us + span_us / CLOCK_MARGIN_DIV + 1;
}

/* Creates an empty instance for one epoch. CF_EINVAL, CF_ENOMEM. */
int sched_new(const struct sched_options *opt, struct sched **out)
{
	struct sched *s;

	if (!opt->host || !opt->host->ops || !opt->host->ops->propose)
		return CF_EINVAL;
	s = calloc(1, sizeof(*s));
	if (!s)
		return CF_ENOMEM;
	s->opt = *opt;
	if (!s->opt.lease_us)
		s->opt.lease_us = SCHED_LEASE_US;
	if (s->opt.lease_max_us < s->opt.lease_us)
		s->opt.lease_max_us = s->opt.lease_us;
	if (!s->opt.expires_us)
		s->opt.expires_us = SCHED_EXPIRES_US;
	if (!s->opt.poll_us)
		s->opt.poll_us = SCHED_POLL_US;
	if (!s->opt.max_tasks)
		s->opt.max_tasks = SCHED_MAX_TASKS;
	TAILQ_INIT(&s->leases);
	TAILQ_INIT(&s->inherited);
	TAILQ_INIT(&s->dirty);
	TAILQ_INIT(&s->suspects);
	TAILQ_INIT(&s->ending);
	TAILQ_INIT(&s->scaling);
	TAILQ_INIT(&s->services);
	TAILQ_INIT(&s->drains);
	s->next_us = INT64_MAX;
	s->stats.bytes = sizeof(*s);
	*out = s;
	return 0;
}

void sched_free(struct sched *s)
{
	struct task *t;
	struct task *ttmp;
	struct job *j;
	struct job *jtmp;
	struct worker *w;
	struct worker *wtmp;
	struct drain *d;

	if (!s)
		return;
	ttmp = s->tasks;
	HASH_CLEAR(hh, s->tasks);
	while ((t = ttmp)) {
		ttmp = t->hh.next;
		free(t);
	}
	jtmp = s->jobs;
	HASH_CLEAR(hh, s->jobs);
	while ((j = jtmp)) {
		jtmp = j->hh.next;
		interference_free(s, j);
		free(j->rack_count);
		free(j->last_attempt);
		free(j->key);
		free(j);
	}
	wtmp = s->workers;
	HASH_CLEAR(hh, s->workers);
	while ((w = wtmp)) {
		wtmp = w->hh.next;
		free(w->name);
		free(w);
	}
	while ((d = TAILQ_FIRST(&s->drains))) {
		TAILQ_REMOVE(&s->drains, d, entry);
		free(d);
	}
	sched_heap_free(&s->delayed);
	free_names(s);
	free(s);
}

/* Sets a team's quota and weight; tasks already placed are not affected. */
int sched_set_quota(struct sched *s, const struct sched_quota *q, int64_t now_us)
{
	struct team *t = sched_team_get(s, q->team);

	if (!t)
		return CF_ENOMEM;
	t->quota = q->limit;
	t->weight = q->weight ? q->weight : 1;
	s->generation++;
	sched_wake(s, now_us);
	return 0;
}

/* The largest session in the records is the last one that a leader saw. */
static void note_session(struct worker *w, uint64_t session)
{
	if (w && session > w->session)
		w->session = session;
}

/*
 * Loads one unfinished task. CF_ENOENT: its job is not loaded; CF_EEXIST: loaded before;
 * CF_EINVAL: the record is final and of no service, lacks the worker, or the load has
 * ended; CF_ENOSPACE:
 * too many tasks.
 */
int sched_load_task(struct sched *s, const struct sched_record *r, int64_t now_us)
{
	struct job *j = sched_job_find(s, r->team, r->job);
	struct worker *w = NULL;
	struct task *t;

	if (!j)
		return CF_ENOENT;
	if (s->ready)
		return CF_EINVAL;
	if (r->state > SCHED_RUNNING)
		return j->opt.class == SCHED_LATENCY
			       ? job_set_last_attempt(j, r->task, r->attempt)
			       : CF_EINVAL;
	if (task_find(s, j, r->task))
		return CF_EEXIST;
	t = task_new(s, j, r->task);
	if (!t)
		return CF_ENOSPACE;
	t->attempt = r->attempt;
	/* A worker that fits had room for it, though it may be silent now. */
	if (r->attempt)
		fit_add_capacity(s, j->opt.size);
	t->failures = r->failures;
	t->checkpoint = r->checkpoint;
	if (r->worker.n)
		w = worker_get(s, r->worker);
	if ((r->worker.n && !w) || suspect_load(s, t, r, now_us)) {
		task_free(s, t);
		return CF_ENOMEM;
	}
	if (r->state == SCHED_WAITING) {
		note_session(w, r->session);
		task_set_waiting(s, t, suspect_load_wait(s, t, w, r, now_us), now_us);
		t->retry_us = 0;
		return 0;
	}
	if (!w) {
		task_free(s, t);
		return CF_EINVAL;
	}
	note_session(w, r->session);
	t->phase = P_PLACED;
	t->inherited = true;
	t->was_running = r->state == SCHED_RUNNING;
	t->recorded_running = t->was_running;
	t->attempt_resumed = true; /* its start is not known */
	t->issued_us = r->placed_us;
	task_bind(s, t, w);
	t->session = r->session;
	task_set_live(t, true);
	return 0;
}

/*
 * Ends the initial load. An earlier leader may have renewed the leases of workers that
 * hold attempts just before now_us.
 */
void sched_finish_load(struct sched *s, int64_t now_us)
{
	struct worker *w;
	struct worker *wtmp;
	struct job *j;
	struct job *jtmp;

	s->ready = true;
	s->ready_us = now_us;
	HASH_ITER (hh, s->workers, w, wtmp) {
		if (!w->ntasks)
			continue;
		w->leased = true;
		w->lease_end_us = now_us + sched_max_wait_us(s->opt.lease_max_us);
		TAILQ_INSERT_TAIL(&s->inherited, w, lease_entry);
	}
	HASH_ITER (hh, s->jobs, j, jtmp) {
		if (j->ending)
			j->cursor = TAILQ_FIRST(&j->tasks);
		else if (j->opt.class == SCHED_LATENCY)
			job_scale_later(s, j);
		else
			job_free_if_done(s, j);
	}
	s->work_left = true;
	sched_wake(s, now_us);
}

/* Schedules the next step STEP_US after now_us unless it is due earlier. */
void sched_wake(struct sched *s, int64_t now_us)
{
	int64_t at = now_us + STEP_US;

	if (at < s->next_us)
		s->next_us = at;
}

static void committed_end(struct sched *s, struct task *t, int64_t now_us)
{
	struct job *j = t->key.job;
	enum sched_reason stop = t->stop;

	if (t->end != SCHED_WAITING) {
		task_free(s, t);
		job_free_if_done(s, j);
		return;
	}
	if (j->cancelled)
		stop = SCHED_R_CANCELLED;
	else if (j->reject)
		stop = j->reject;
	task_set_waiting(s, t, t->retry_us, now_us);
	t->retry_us = 0;
	if (stop)
		task_stop(s, t, stop, now_us);
}

/* Handles the commit of a proposal of this instance. */
void sched_committed(struct sched *s, const struct sched_record *r, int64_t now_us)
{
	struct job *j = sched_job_find(s, r->team, r->job);
	struct task *t = j ? task_find(s, j, r->task) : NULL;

	if (!t || !t->pending || r->attempt != t->attempt || r->state != t->proposed)
		return;
	t->pending = false;
	if (j->opt.class == SCHED_LATENCY && r->task >= j->next_task &&
	    r->state == SCHED_PLACED)
		j->next_task = r->task + 1;
	if (r->state == SCHED_PLACED)
		t->unrecorded = false;
	if (t->phase == P_PROPOSED && r->state == SCHED_PLACED) {
		t->phase = P_PLACED;
		if (t->stop)
			task_lost(s, t, now_us);
	} else if (t->phase == P_ENDING && r->state == t->end) {
		committed_end(s, t, now_us);
	} else {
		if (r->state == SCHED_RUNNING)
			t->recorded_running = true;
		task_mark_dirty(s, t);
	}
	sched_wake(s, now_us);
}

/* Handles a refused placement: no worker received it and the store does not have it. */
static void handle_refused_start(struct sched *s, struct task *t, int64_t attempt,
				 int64_t now_us)
{
	struct job *j = t->key.job;
	enum sched_reason stop = t->stop;

	/* The store may accept this attempt number for the next placement. */
	t->attempt = (uint32_t)attempt;
	task_withdraw(s, t, now_us);
	if (j->cancelled)
		stop = SCHED_R_CANCELLED;
	else if (j->reject)
		stop = j->reject;
	task_set_waiting(s, t, now_us + REFUSED_RETRY_US, now_us);
	if (stop)
		task_stop(s, t, stop, now_us);
}

/* Handles a proposal that will not be committed; it is repeated if still needed. */
void sched_refused(struct sched *s, const struct sched_record *r, int64_t attempt,
		   int64_t now_us)
{
	struct job *j = sched_job_find(s, r->team, r->job);
	struct task *t = j ? task_find(s, j, r->task) : NULL;

	if (!t || !t->pending || r->attempt != t->attempt || r->state != t->proposed)
		return;
	s->stats.refused++;
	t->pending = false;
	if (attempt < 0) {
		task_remove_unrecorded(s, t, now_us);
	} else if (t->phase == P_PROPOSED) {
		handle_refused_start(s, t, attempt, now_us);
	} else {
		task_mark_dirty(s, t);
	}
	sched_wake(s, now_us);
}

static int64_t next_timer(const struct sched *s)
{
	int64_t at = INT64_MAX;
	const struct worker *w;
	const struct sched_node *n;
	const struct drain *d;

	w = TAILQ_FIRST(&s->leases);
	if (w && w->lease_end_us < at)
		at = w->lease_end_us;
	w = TAILQ_FIRST(&s->inherited);
	if (w && w->lease_end_us < at)
		at = w->lease_end_us;
	n = sched_heap_first(&s->delayed);
	if (n && n->key < at)
		at = n->key;
	if (s->rebalance_us < at)
		at = s->rebalance_us;
	TAILQ_FOREACH (d, &s->drains, entry)
		if (d->next_us < at)
			at = d->next_us;
	return at;
}

/* Runs one bounded step of all due work. */
void sched_tick(struct sched *s, int64_t now_us)
{
	if (!s->ready)
		return;
	s->work_left = false;
	if (!s->all_workers_polled && s->stats.workers &&
	    now_us - s->ready_us >=
		    sched_max_wait_us(s->opt.lease_max_us) + FIRST_POLL_WAIT_US) {
		s->all_workers_polled = true;
		s->generation++;
	}
	/*
	 * Some reasons not to place a task expire with time: ramps, silence, probation.
	 */
	if (now_us - s->unpark_all_us >= WAITING_STEP_US) {
		s->unpark_all_us = now_us;
		s->generation++;
	}
	workers_expire_step(s, now_us);
	workers_silent_step(s, now_us);
	jobs_end_step(s, now_us);
	jobs_scale_step(s, now_us);
	zones_drain_step(s, now_us);
	zones_rebalance_step(s, now_us);
	tasks_requeue_delayed(s, now_us);
	place_step(s, now_us);
	tasks_propose(s, now_us);
	fit_propose_capacities(s);
	s->next_us = next_timer(s);
	if (s->next_us < now_us + STEP_US)
		s->next_us = now_us + STEP_US;
	if (s->work_left)
		sched_wake(s, now_us);
	else if (!s->all_workers_polled || s->stats.tasks_bound < s->ntasks)
		s->next_us = s->next_us < now_us + WAITING_STEP_US
				     ? s->next_us
				     : now_us + WAITING_STEP_US;
}

/* Returns the time of the next sched_tick(), INT64_MAX for none. */
int64_t sched_next_tick_us(const struct sched *s)
{
	return s->ready ? s->next_us : INT64_MAX;
}

void sched_get_stats(const struct sched *s, struct sched_stats *out)
{
	*out = s->stats;
	out->tasks_waiting = s->ntasks - s->stats.tasks_bound;
}
