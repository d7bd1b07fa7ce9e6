#include "carawayfrontd/state_leading.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "io/clock.h"
#include "io/log.h"
#include "proto/codec.h"

/* Period of the records that say which entry processes are alive. */
#define SEEN_PERIOD_US 2000000
/* An entry process that has not called for this long is left out of the records. */
#define SEEN_MAX_AGE_US 3000000

/* Splits the prefix off a name of the scheduler. */
bool leading_is_service(struct str job, struct str *name)
{
	bool service = str_starts(job, STR(SERVICE_PREFIX));
	size_t n = service ? sizeof(SERVICE_PREFIX) - 1 : 0;

	*name = (struct str){job.p + n, job.n - n};
	return service;
}

static enum task_state stored_state(const struct sched_record *r)
{
	switch (r->state) {
	case SCHED_PLACED:
		return TASK_PLACED;
	case SCHED_RUNNING:
		return TASK_RUNNING;
	case SCHED_DONE:
		return TASK_DONE;
	case SCHED_FAILED:
		return TASK_FAILED;
	case SCHED_CANCELLED:
		return TASK_CANCELLED;
	case SCHED_WAITING:
		break;
	}
	switch (r->reason) {
	case SCHED_R_EVICTED:
	case SCHED_R_INTERFERENCE:
	case SCHED_R_ZONE_OUT:
		return TASK_EVICTED;
	default:
		return TASK_WAITING;
	}
}

static enum task_reason stored_reason(enum sched_reason reason)
{
	switch (reason) {
	case SCHED_R_TOO_LARGE:
		return TASK_R_TOO_LARGE;
	case SCHED_R_OVER_QUOTA:
		return TASK_R_OVER_QUOTA;
	case SCHED_R_FAILED_TOO_OFTEN:
		return TASK_R_TOO_OFTEN;
	case SCHED_R_JOB_FAILS:
		return TASK_R_JOB_FAILS;
	case SCHED_R_LOSES_WORKERS:
		return TASK_R_LOSES_WORKERS;
	default:
		return TASK_R_NONE;
	}
}

/* Whether the store has the lost workers of the record. */
static bool has_losses(const struct job *job, const struct sched_record *r)
{
	const struct task *task;

	if (r->task >= job->ntasks)
		return r->losses == 0;
	task = &job->tasks[r->task];
	return r->losses == task->losses && r->pardons == task->pardons;
}

/* Whether the store has the silent workers of the record. */
static bool has_silences(const struct job *job, const struct sched_record *r)
{
	const struct task_silences *s =
		r->task < job->ntasks ? job->tasks[r->task].silences : NULL;

	if (!s)
		return r->silent == 0;
	if (s->count != r->silent || s->n != r->nsilences)
		return false;
	for (uint8_t i = 0; i < s->n; i++)
		if (s->list[i].session != r->silence[i].session ||
		    !str_eq(job_worker_name(s->list[i].worker), r->silence[i].worker))
			return false;
	return true;
}

/*
 * Adds the lost and silent workers of the record to the command if the store lacks them.
 * list has room for SCHED_MAX_SILENCES entries.
 */
static void add_losses(struct command_body *body, const struct job *job,
		       const struct sched_record *r, struct command_silence *list)
{
	struct command_task_silences all = {
		.losses = {body->command_body_u.task, r->losses, r->pardons},
		.silent = r->silent,
		.list = {r->nsilences, list},
	};

	for (uint32_t i = 0; i < r->nsilences; i++) {
		XDR_SET(list[i], worker, r->silence[i].worker);
		list[i].session = r->silence[i].session;
	}
	if (r->silent) {
		if (has_losses(job, r) && has_silences(job, r))
			return;
		body->kind = CMD_TASK_SILENCES;
		body->command_body_u.task_silences = all;
	} else if (!has_losses(job, r) || !has_silences(job, r)) {
		/* A command without silences clears them. */
		body->kind = CMD_TASK_LOSSES;
		body->command_body_u.task_losses = all.losses;
	}
}

/*
 * Scheduler operation: makes a record durable. CF_ENOENT: the job is gone or finished,
 * so that no record of it can be accepted any more.
 */
static int op_propose(struct sched_host *host, const struct sched_record *r)
{
	struct state_leading *l = (struct state_leading *)host;
	struct command cmd = {.body = {.kind = CMD_TASK}};
	struct command_task *t = &cmd.body.command_body_u.task;
	struct command_silence silences[SCHED_MAX_SILENCES];
	const struct job *job;
	struct str name;
	uint64_t index;

	t->service = leading_is_service(r->job, &name);
	job = jobs_get(store_jobs(l->state->store), r->team, t->service, name);
	if (!job || job->finished_us)
		return CF_ENOENT;
	XDR_SET(*t, team, r->team);
	XDR_SET(*t, job, name);
	/* The record of an end may come without the worker, which the store knows. */
	XDR_SET(*t, worker,
		r->worker.n || r->task >= job->ntasks
			? r->worker
			: job_worker_name(job->tasks[r->task].worker));
	t->job_revision = job->revision;
	t->task = r->task;
	t->attempt = r->attempt;
	t->state = stored_state(r);
	t->session = r->session;
	t->exit_code = r->exit_code;
	t->checkpoint = r->checkpoint;
	t->failures = r->failures;
	t->reason = stored_reason(r->reason);
	add_losses(&cmd.body, job, r, silences);
	return state_propose(l->state, &cmd, &index);
}

/* Scheduler operation: makes the capacity of a worker durable. */
static int op_record_capacity(struct sched_host *host, struct sched_size capacity)
{
	struct state_leading *l = (struct state_leading *)host;
	struct command cmd = {.body = {.kind = CMD_CAPACITY}};
	uint64_t index;

	cmd.body.command_body_u.capacity = (struct command_capacity){
		capacity.cpu_milli, capacity.memory_mb, capacity.accelerators};
	return state_propose(l->state, &cmd, &index);
}

static const struct sched_ops sched_ops = {
	.propose = op_propose,
	.record_capacity = op_record_capacity,
};

/* Starts the scheduler of a new epoch from the store. */
int state_leading_start(struct state *s)
{
	struct state_leading *l = calloc(1, sizeof(*l));
	struct sched_options opt = {0};
	int err;

	if (!l)
		return CF_ENOMEM;
	l->host.ops = &sched_ops;
	l->state = s;
	l->epoch = replica_epoch(s->replica);
	l->next_seen_us = clock_us() + SEEN_PERIOD_US;
	opt.host = &l->host;
	opt.epoch = l->epoch;
	err = poll_store_new(&l->polls);
	if (!err)
		err = sched_new(&opt, &l->sched);
	if (!err)
		err = leading_feed_all(l);
	if (err) {
		sched_free(l->sched);
		poll_store_free(l->polls);
		free(l);
		return err;
	}
	s->leading = l;
	sched_finish_load(l->sched, clock_us());
	log_info("leading", "epoch=%llu index=%llu", (unsigned long long)l->epoch,
		 (unsigned long long)store_index(s->store));
	return 0;
}

void state_leading_stop(struct state *s)
{
	struct state_leading *l = s->leading;
	struct seen_entry *e, *next;

	if (!l)
		return;
	s->leading = NULL;
	s->time_base_us = 0;
	e = l->seen;
	HASH_CLEAR(hh, l->seen);
	for (; e; e = next) {
		next = e->hh.next;
		free(e);
	}
	sched_free(l->sched);
	poll_store_free(l->polls);
	free(l);
}

/*
 * Notes that an entry process called. CF_ESTALE when its incarnation was declared
 * gone or has not registered, so that it registers again.
 */
int state_leading_seen(struct state *s, struct str entry, uint64_t incarnation)
{
	struct state_leading *l = s->leading;
	const struct member *m = members_find(store_members(s->store), true, entry);
	struct seen_entry *e;

	if (m &&
	    (m->incarnation > incarnation || (m->gone && m->incarnation == incarnation)))
		return CF_ESTALE;
	if (!m || entry.n > PEER_MAX_NAME)
		return 0;
	HASH_FIND(hh, l->seen, entry.p, entry.n, e);
	if (!e) {
		e = calloc(1, sizeof(*e));
		if (!e)
			return CF_ENOMEM;
		memcpy(e->name, entry.p, entry.n);
		HASH_ADD_KEYPTR(hh, l->seen, e->name, entry.n, e);
	}
	e->incarnation = incarnation;
	e->heard_us = clock_us();
	return 0;
}

/* Records the entry processes heard from; those left out are declared gone later. */
static void propose_seen(struct state_leading *l, int64_t now)
{
	struct command cmd = {.body = {.kind = CMD_MEMBER_SEEN}};
	struct command_member_seen *seen = &cmd.body.command_body_u.member_seen;
	struct command_member_id *ids = calloc(HASH_COUNT(l->seen) + 1, sizeof(*ids));
	uint64_t index;
	u_int n = 0;

	if (!ids)
		return;
	for (struct seen_entry *e = l->seen; e && n < CMD_MAX_MEMBERS; e = e->hh.next) {
		if (now - e->heard_us > SEEN_MAX_AGE_US)
			continue;
		XDR_SET(ids[n], name, str_from(e->name));
		ids[n++].incarnation = e->incarnation;
	}
	seen->epoch = l->epoch;
	seen->entries.entries_val = ids;
	seen->entries.entries_len = n;
	state_propose(l->state, &cmd, &index);
	free(ids);
}

static bool has_entries(const struct state *s)
{
	const struct members *m = store_members(s->store);

	for (size_t i = 0; i < members_count(m); i++)
		if (members_at(m, i)->entry && !members_at(m, i)->gone)
			return true;
	return false;
}

void state_leading_tick(struct state *s)
{
	struct state_leading *l = s->leading;
	int64_t now = clock_us();

	if (!l)
		return;
	sched_tick(l->sched, now);
	if (l->feed_again && now >= l->feed_us)
		leading_feed_rest(l);
	if (now < l->next_seen_us)
		return;
	l->next_seen_us = now + SEEN_PERIOD_US;
	if (has_entries(s))
		propose_seen(l, now);
}

int64_t state_leading_deadline(const struct state *s)
{
	const struct state_leading *l = s->leading;
	int64_t deadline;

	if (!l)
		return INT64_MAX;
	deadline = sched_next_tick_us(l->sched);
	return deadline < l->next_seen_us ? deadline : l->next_seen_us;
}

/* The task that a record is about, NULL when the store has none. */
static const struct task *record_task(const struct job *job, const struct command_task *t)
{
	return job && job->revision == t->job_revision && t->task < job->ntasks
		       ? &job->tasks[t->task]
		       : NULL;
}

/*
 * Tells whether the store already has what a refused record says: the attempt runs, or
 * is over. The store ends tasks itself when their job is cancelled or fails.
 */
static bool is_known(const struct command_task *t, const struct task *task)
{
	if (task && t->state == TASK_RUNNING)
		return task->state == TASK_RUNNING && task->attempt == t->attempt;
	return task && t->state != TASK_PLACED &&
	       (!job_task_active(task) || task->attempt > t->attempt);
}

/* Every record that was proposed is answered here once; see core/sched.h. */
static void task_applied(struct state_leading *l, const struct command_task *t, int err)
{
	struct str name = XDR_STR(*t, job);
	const struct job *stored = jobs_get(store_jobs(l->state->store),
					    XDR_STR(*t, team), t->service, name);
	const struct task *task = record_task(stored, t);
	struct buf job = {0};
	struct sched_record r = {
		.team = XDR_STR(*t, team),
		.task = t->task,
		.attempt = t->attempt,
		.state = t->state == TASK_EVICTED ? SCHED_WAITING
						  : (enum sched_state)t->state,
		.worker = XDR_STR(*t, worker),
		.session = t->session,
		.exit_code = t->exit_code,
		.checkpoint = t->checkpoint,
	};

	if (t->service)
		buf_adds(&job, SERVICE_PREFIX);
	buf_add(&job, name.p, name.n);
	r.job = buf_str(&job);
	if (err && !is_known(t, task))
		sched_refused(l->sched, &r, task ? (int64_t)task->attempt : -1,
			      clock_us());
	else
		sched_committed(l->sched, &r, clock_us());
	/* A task that failed for good ends the other tasks of its job. */
	if (!err && r.state == SCHED_FAILED && !t->service && (!stored || stored->cancel))
		sched_cancel_job(l->sched, r.team, r.job, clock_us());
	buf_free(&job);
}

/*
 * Logs that a worker was lost soon after the start of a task. losses: workers that
 * restarted; silent: workers that may only have been cut off.
 */
static void log_loss(const struct command_task_losses *in, unsigned int silent)
{
	const struct command_task *t = &in->task;

	if (t->state == TASK_WAITING && (in->losses || silent))
		log_warn("worker-lost-under-task",
			 "team=%.*s job=%.*s task=%u worker=%.*s losses=%u silent=%u",
			 STR_ARG(XDR_STR(*t, team)), STR_ARG(XDR_STR(*t, job)), t->task,
			 STR_ARG(XDR_STR(*t, worker)), in->losses, silent);
}

static void log_given_up(const struct command_task *t)
{
	if (t->state == TASK_FAILED && t->reason == TASK_R_LOSES_WORKERS)
		log_final_warn("task-given-up", "team=%.*s job=%.*s task=%u",
			       STR_ARG(XDR_STR(*t, team)), STR_ARG(XDR_STR(*t, job)),
			       t->task);
}

/* Passes a command that was applied to the scheduler. */
void state_leading_applied(struct state *s, const struct command *cmd,
			   const struct command_result *result)
{
	struct state_leading *l = s->leading;
	const struct command_body *b = &cmd->body;
	const struct command_job_submit *submit = &b->command_body_u.job_submit;
	const struct command_job_cancel *cancel = &b->command_body_u.job_cancel;
	const struct command_task_silences *silences = &b->command_body_u.task_silences;
	const struct job *job;

	switch (b->kind) {
	case CMD_TASK:
		if (!result->err)
			log_given_up(&b->command_body_u.task);
		task_applied(l, &b->command_body_u.task, result->err);
		break;
	case CMD_TASK_LOSSES:
		if (!result->err)
			log_loss(&b->command_body_u.task_losses, 0);
		task_applied(l, &b->command_body_u.task_losses.task, result->err);
		break;
	case CMD_TASK_SILENCES:
		if (!result->err)
			log_loss(&silences->losses, silences->silent);
		task_applied(l, &silences->losses.task, result->err);
		break;
	case CMD_CONF_PUT:
		if (!result->err)
			leading_feed_change(l, XDR_STR(b->command_body_u.conf_put, path));
		break;
	case CMD_CONF_DELETE:
		if (!result->err)
			leading_feed_change(l,
					    XDR_STR(b->command_body_u.conf_delete, path));
		break;
	case CMD_JOB_SUBMIT:
		job = result->err ? NULL
				  : jobs_get(store_jobs(s->store), XDR_STR(*submit, team),
					     false, XDR_STR(*result, detail));
		/* A resend finds the job known already, which changes nothing. */
		if (job && job->state == JOB_WAITING)
			leading_feed_failed(l, leading_feed_job(l, job));
		break;
	case CMD_JOB_CANCEL:
		if (!result->err)
			sched_cancel_job(l->sched, XDR_STR(*cancel, team),
					 XDR_STR(*cancel, job), clock_us());
		break;
	default:
		break;
	}
}
