#include "base/err.h"
#include "core/sched_impl.h"

#define MAX_REPORTED 65536

static struct sched_command *add_worker_command(struct sched *s, enum sched_op op,
						struct task *t)
{
	struct sched_command *o;

	if (s->ncommands == MAX_COMMANDS)
		return NULL;
	o = &s->commands[s->ncommands++];
	*o = (struct sched_command){
		.op = op,
		.team = sched_team_name(t->key.job->team),
		.job = job_name(t->key.job),
		.task = (uint32_t)t->key.number,
		.attempt = t->attempt,
		.epoch = s->opt.epoch,
		.expires_us = s->opt.expires_us,
		.size = t->key.job->opt.size,
		.checkpoint = t->checkpoint,
		.percent = t->percent,
	};
	return o;
}

/*
 * Adds a command for an attempt that this instance does not track, named as in the
 * report.
 */
static void add_unowned_command(struct sched *s, enum sched_op op,
				const struct sched_task_report *r)
{
	if (s->ncommands == MAX_COMMANDS)
		return;
	s->commands[s->ncommands++] = (struct sched_command){
		.op = op,
		.team = r->team,
		.job = r->job,
		.task = r->task,
		.attempt = r->attempt,
		.epoch = s->opt.epoch,
		.expires_us = s->opt.expires_us,
	};
}

static bool has_ended(enum sched_status status)
{
	return status == SCHED_T_DONE || status == SCHED_T_FAILED ||
	       status == SCHED_T_STOPPED;
}

/* The worker reports the attempt as running, which confirms the start. */
static void confirm_running(struct sched *s, struct task *t, int64_t now_us)
{
	t->inherited = false;
	if (t->issued_seq == 0)
		t->issued_seq = t->worker->seq; /* an earlier leader issued it */
	if (!t->started_us) {
		t->started_us = now_us;
		t->saved_us = now_us;
		t->worker->changed_us = now_us;
	}
	if (t->phase != P_PLACED)
		return;
	t->phase = P_RUNNING;
	task_mark_dirty(s, t);
	if (t->replaces)
		task_stop(s, t->replaces, SCHED_R_REPLACED, now_us);
}

static void handle_running(struct sched *s, struct task *t,
			   const struct sched_task_report *r, int64_t lag_us,
			   int64_t now_us)
{
	confirm_running(s, t, now_us);
	if (r->checkpoint && r->checkpoint != t->checkpoint) {
		t->checkpoint = r->checkpoint;
		t->saved_us = now_us;
	}
	t->latency_us = r->latency_us;
	estimate_use(t, r, now_us - lag_us);
	quarantine_running(s, t, now_us);
	suspect_running(s, t, now_us);
}

static void handle_end(struct sched *s, struct task *t, const struct sched_task_report *r,
		       int64_t now_us)
{
	struct worker *w = t->worker;

	w->changed_us = now_us;
	if (r->checkpoint)
		t->checkpoint = r->checkpoint;
	t->exit_code = r->exit_code;
	if (r->status == SCHED_T_DONE && t->key.job->opt.class != SCHED_LATENCY) {
		estimate_run(t, now_us);
		quarantine_success(s, t);
		task_end_attempt(s, t, SCHED_DONE, SCHED_R_NONE, now_us);
	} else if (r->status == SCHED_T_STOPPED || t->stop) {
		task_lost(s, t, now_us);
	} else {
		/* An executor has no end, so its exit counts as a failure. */
		quarantine_failure(s, t, now_us);
	}
}

static bool is_named(const struct task *t, const struct sched_task_report *r)
{
	return t->key.number == r->task && t->attempt == r->attempt &&
	       str_eq(job_name(t->key.job), r->job) &&
	       str_eq(sched_team_name(t->key.job->team), r->team);
}

/*
 * Finds the task of a report entry. Nearly always it is one of the worker's few tasks,
 * which are close in memory; the search continues after the previous match.
 */
static struct task *find_reported_task(struct sched *s, struct worker *w,
				       const struct sched_task_report *r)
{
	struct task *from = w->next_listed ? w->next_listed : TAILQ_FIRST(&w->tasks);
	struct task *t = from;
	struct job *j;

	while (t) {
		if (is_named(t, r)) {
			w->next_listed = TAILQ_NEXT(t, worker_entry);
			return t;
		}
		t = TAILQ_NEXT(t, worker_entry);
		if (!t)
			t = TAILQ_FIRST(&w->tasks);
		if (t == from)
			break;
	}
	j = sched_job_find(s, r->team, r->job);
	return j ? task_find(s, j, r->task) : NULL;
}

/* Processes one task entry of a report. */
static void handle_task_report(struct sched *s, struct worker *w,
			       const struct sched_task_report *r, int64_t lag_us,
			       int64_t now_us)
{
	struct task *t = find_reported_task(s, w, r);

	if (!t || t->worker != w || t->attempt != r->attempt || t->phase == P_PROPOSED) {
		if (!has_ended(r->status)) {
			/* The attempt is not wanted, but what it uses is not free. */
			w->unowned.cpu_milli += r->cpu_milli;
			w->unowned.memory_mb += r->memory_mb;
			add_unowned_command(s, SCHED_STOP, r);
		} else if (!t || t->attempt != r->attempt || t->phase == P_WAITING) {
			add_unowned_command(s, SCHED_FORGET, r);
		}
		return;
	}
	t->listed_in = s->report_id;
	if (has_ended(r->status)) {
		/* Marks the start as received; the end proves it. */
		if (t->issued_seq == 0)
			t->issued_seq = w->seq;
		handle_end(s, t, r, now_us);
	} else {
		handle_running(s, t, r, lag_us, now_us);
	}
}

/*
 * Handles an attempt of this worker that the report does not list. The worker does not
 * act on commands in the response to an earlier poll, nor on those of an earlier epoch
 * once it has seen this one; so the attempt is not running.
 */
static void handle_unlisted(struct sched *s, struct task *t,
			    const struct sched_worker_report *r, int64_t now_us)
{
	if (t->inherited && r->epoch < s->opt.epoch)
		return;
	if (t->phase == P_PROPOSED || task_never_issued(t))
		return;
	if (t->phase == P_RUNNING || t->was_running || t->stop) {
		t->worker->changed_us = now_us;
		task_lost(s, t, now_us);
		return;
	}
	/* Never started: the start command for this attempt may be sent again. */
	t->inherited = false;
	t->issued_seq = 0;
	task_set_live(t, false);
}

static void handle_unlisted_tasks(struct sched *s, struct worker *w,
				  const struct sched_worker_report *r, int64_t now_us)
{
	struct task *t;
	struct task *next;

	for (t = TAILQ_FIRST(&w->tasks); t; t = next) {
		next = TAILQ_NEXT(t, worker_entry);
		if (t->listed_in != s->report_id)
			handle_unlisted(s, t, r, now_us);
	}
}

/* Starts a new session. Processes of the old one have ended, except those listed. */
static void start_session(struct sched *s, struct worker *w,
			  const struct sched_worker_report *r, int64_t now_us)
{
	bool lost = false;
	struct task *t;
	struct task *next;

	s->report_id++;
	for (size_t i = 0; i < r->ntasks; i++) {
		struct job *j = sched_job_find(s, r->tasks[i].team, r->tasks[i].job);

		t = j ? task_find(s, j, r->tasks[i].task) : NULL;
		if (t && t->worker == w && t->attempt == r->tasks[i].attempt)
			t->listed_in = s->report_id;
	}
	for (t = TAILQ_FIRST(&w->tasks); t; t = next) {
		next = TAILQ_NEXT(t, worker_entry);
		if (t->listed_in == s->report_id) {
			t->session = r->session;
			continue;
		}
		suspect_count_loss(s, t, true, now_us);
		task_lost(s, t, now_us);
		lost = true;
	}
	if (lost)
		suspects_worker_lost(s, now_us);
	w->session = r->session;
	w->seq = 0;
	quarantine_reset_session(w);
}

/* Whether a poll is stale: an older session, or a repeated or reordered poll. */
static bool is_stale(const struct worker *w, const struct sched_worker_report *r)
{
	if (r->session == w->session)
		return r->seq <= w->seq;
	/* After its lease has ended, a worker may return with any session. */
	return r->session < w->session && w->leased;
}

static bool start_allowed(const struct task *t)
{
	struct sched_size live = t->worker->live;

	size_add(&live, t->worker->unowned);
	return t->phase == P_PLACED && !t->stop && !t->key.job->cancelled &&
	       !t->key.job->reject && !zone_is_out(t->key.job->team, t->worker->zone) &&
	       t->worker->health != H_QUARANTINED &&
	       (t->live || size_fits(t->key.job->opt.size, live, t->worker->capacity));
}

static void command_start(struct sched *s, struct worker *w, struct task *t,
			  int64_t now_us)
{
	if (!start_allowed(t) || !add_worker_command(s, SCHED_START, t))
		return;
	t->issued_seq = w->seq;
	t->issued_us = now_us;
	task_set_live(t, true);
}

static void command_running(struct sched *s, struct task *t)
{
	struct sched_command *o;

	if (t->checkpoint_requested && t->checkpoint == t->checkpoint_before)
		add_worker_command(s, SCHED_CHECKPOINT, t);
	if (t->percent == 100 && !t->throttle_polls)
		return;
	o = add_worker_command(s, SCHED_THROTTLE, t);
	if (o && t->throttle_polls)
		t->throttle_polls--;
}

/* Fills the response. Stops come first: starts need the capacity they release. */
static bool fill_commands(struct sched *s, struct worker *w, int64_t now_us)
{
	struct task *t;
	bool busy = false;

	TAILQ_FOREACH (t, &w->tasks, worker_entry) {
		if (!t->stop || task_never_issued(t))
			continue;
		busy = true;
		add_worker_command(s, SCHED_STOP, t);
	}
	TAILQ_FOREACH (t, &w->tasks, worker_entry) {
		if (t->stop)
			continue;
		if (t->phase == P_RUNNING) {
			command_running(s, t);
			busy = busy || t->checkpoint_requested;
		} else {
			busy = true;
			if (!t->inherited)
				command_start(s, w, t, now_us);
		}
	}
	return busy;
}

static bool is_valid(const struct sched_worker_report *r)
{
	return r->worker.n && r->worker.n <= SCHED_MAX_NAME && r->zone.n &&
	       r->zone.n <= SCHED_MAX_NAME && r->rack.n <= SCHED_MAX_NAME && r->seq &&
	       r->ntasks <= MAX_REPORTED && r->lag_us >= 0;
}

/*
 * Processes a worker's poll and fills the reply. CF_EINVAL: bad report; CF_ESTALE: the
 * worker has seen a later epoch, so this instance no longer leads; CF_ENOMEM.
 */
int sched_poll(struct sched *s, const struct sched_worker_report *r, int64_t now_us,
	       struct sched_reply *reply)
{
	struct worker *w;
	bool back;
	int err;

	*reply = (struct sched_reply){.epoch = s->opt.epoch, .poll_us = s->opt.poll_us};
	if (!is_valid(r) || !s->ready)
		return CF_EINVAL;
	if (r->epoch > s->opt.epoch)
		return CF_ESTALE;
	w = worker_get(s, r->worker);
	if (!w)
		return CF_ENOMEM;
	if (is_stale(w, r)) {
		s->stats.late_reports++;
		return 0;
	}
	s->ncommands = 0;
	back = !w->leased || !w->seen || r->session != w->session;
	if (r->session != w->session)
		start_session(s, w, r, now_us);
	if (back)
		suspects_worker_back(s, w, now_us);
	err = worker_update_location(s, w, r);
	if (err)
		return err;
	w->seq = r->seq;
	worker_renew_lease(s, w, now_us);
	quarantine_check_expiry(s, w, now_us);
	w->unowned = (struct sched_size){0};
	s->report_id++;
	w->next_listed = NULL;
	for (size_t i = 0; i < r->ntasks; i++)
		handle_task_report(s, w, &r->tasks[i], r->lag_us, now_us);
	handle_unlisted_tasks(s, w, r, now_us);
	control_take_report(s, w, interfere_learn_report(s, w, r, now_us), r->lag_us,
			    now_us);
	worker_update_index(s, w);
	if (fill_commands(s, w, now_us) && reply->poll_us > BUSY_POLL_US)
		reply->poll_us = BUSY_POLL_US;
	reply->lease_us = s->opt.lease_us;
	reply->commands = s->commands;
	reply->ncommands = s->ncommands;
	sched_wake(s, now_us);
	return 0;
}
