/* Requests of callers, answered by the leader. */
#include "base/err.h"
#include "carawayfrontd/controller_impl.h"
#include "io/clock.h"
#include "io/log.h"
#include "proto/codec.h"

/* A request of a caller and what is known of its target. */
struct caller_context {
	const struct dag_target *target;
	const struct dag_credential *credential; /* NULL: the caller sent none */
	const struct dag_queue *queue;
	struct dag_org *org; /* of the caller, NULL: not known */
	uint64_t id;	     /* of the job, 0: the path names none */
	bool is_queue;	     /* the path ends with the queue's prefix */
};

/*
 * Finds the queue of a target, authorises the caller and finds the job. DAG_OK also when
 * the path names no job.
 */
static enum dag_outcome resolve(struct controller *c, struct caller_context *x)
{
	struct str rest;

	if (!c->state->conf.revision)
		return DAG_NO_CONF;
	x->queue = dag_state_match_queue(c->state, XDR_STR(*x->target, host),
					 XDR_STR(*x->target, path), &rest);
	if (!x->queue)
		return DAG_NO_QUEUE;
	if (!controller_authorize(c, x->queue, x->credential, &x->org))
		return DAG_UNAUTHORIZED;
	x->is_queue = rest.n == 0;
	if (!x->is_queue && dag_job_id_parse(rest, &x->id))
		return DAG_NO_JOB;
	return DAG_OK;
}

/*
 * Whether a configuration is proposed and not applied yet. The names of queues may mean
 * others behind it in the log, and credentials that are valid now may not be there.
 */
static bool has_conf_in_flight(const struct controller *c)
{
	for (const struct controller_wait *w = c->waits; w; w = w->next)
		if (w->is_conf)
			return true;
	return false;
}

/* The gateway asks again soon. */
static void reply_again(struct dag_pending_request *t)
{
	controller_reply(t, DAG_NOT_LEADER);
}

/*
 * The outcome of a request whose command is applied. Two organisations may have submitted
 * one id at the same time; the first in the log owns it. A withdrawal finds the job if
 * its submission was recorded just before.
 */
enum dag_outcome controller_applied_outcome(const struct controller *c,
					    const struct controller_wait *w)
{
	const struct dag_job_rec *j = w->is_submission || w->is_withdrawal
					      ? dag_state_find_job(c->state, w->job)
					      : NULL;
	bool is_foreign = j && j->org && dag_state_has_orgs(c->state) &&
			  controller_org_hash(j->org) != w->org;

	if (w->is_submission && is_foreign)
		return DAG_CONFLICT;
	if (w->is_withdrawal && (!j || is_foreign))
		return DAG_NO_JOB;
	return DAG_OK;
}

/* Proposes a job that is not known yet. */
static void propose_job(struct controller *c, const struct caller_context *x,
			const struct dag_job *from, struct dag_pending_request *t)
{
	const struct controller_wait about = {
		.is_submission = true, .job = x->id, .org = controller_org_hash(x->org)};
	struct dag_queue_key key = dag_queue_key(x->queue);
	unsigned char ref_bytes[DAG_QUEUE_REF_BYTES];
	struct dag_command cmd = {.kind = DAG_CMD_SUBMIT};
	struct dag_job job = *from;

	job.id = x->id;
	XDR_SET(job, queue, dag_state_refer_queue(c->state, &key, ref_bytes));
	job.accepted_ms = clock_wall_us() / 1000;
	if (x->org) {
		cmd.kind = DAG_CMD_ORG_SUBMIT;
		cmd.dag_command_u.org_job.job = job;
		XDR_SET(cmd.dag_command_u.org_job.org, text, dag_org_name(x->org));
	} else {
		cmd.dag_command_u.job = job;
	}
	controller_propose_and_wait(c, &cmd, &about, t);
}

/*
 * Refuses a job for which there is no room, without recording it; false: there is room,
 * and nothing was answered.
 */
static bool refuse_job(struct controller *c, const struct dag_queue *q, uint64_t id,
		       const struct dag_job *job, struct dag_pending_request *t)
{
	struct dag_admission a = dag_sched_admit(c->sched, q, job);
	struct dag_reply reply = {.outcome = DAG_REJECTED};
	struct buf labels = {0};

	if (!a.retry_ms)
		return false;
	reply.retry_after_ms = a.retry_ms;
	log_info("job-refused",
		 "job=%016llx queue=%.*s reason=\"no room for its serving tasks beside "
		 "batch work\" retry_ms=%u need=%lld free=%lld scraps=%lld batch=%lld "
		 "batch_usual=%lld pending=%lld",
		 (unsigned long long)id, STR_ARG(XDR_STR(*q, name)), a.retry_ms,
		 (long long)a.need, (long long)a.room.free, (long long)a.room.scraps,
		 (long long)a.room.batch, (long long)a.room.batch_usual,
		 (long long)a.room.pending);
	if (!metric_add_label(&labels, "queue", XDR_STR(*q, name)))
		++*metric_counter(c->metrics, "carawayfront_jobs_refused_total",
				  labels.p);
	buf_free(&labels);
	t->ops->done(t, &reply);
	return true;
}

static void serve_submit(struct controller *c, struct caller_context *x,
			 const struct dag_job *job, struct dag_pending_request *t)
{
	enum dag_outcome outcome = resolve(c, x);
	const struct dag_job_rec *known = NULL;

	if (outcome == DAG_NO_JOB || (outcome == DAG_OK && x->is_queue))
		outcome = DAG_INVALID;
	if (outcome == DAG_OK && !dag_job_valid(job))
		outcome = DAG_INVALID;
	if (outcome == DAG_OK)
		known = dag_state_find_job(c->state, x->id);
	if (known && !dag_state_may_access(c->state, known, x->org)) {
		log_info("submit-conflict", "job=%016llx", (unsigned long long)x->id);
		outcome = DAG_CONFLICT;
	}
	if (outcome != DAG_OK || known) {
		controller_reply(t, outcome);
		return;
	}
	if (c->state->n_tasks + dag_job_count_tasks(job) > DAG_MAX_TASKS_TOTAL) {
		log_warn("submit-refused", "job=%016llx tasks=%llu",
			 (unsigned long long)x->id,
			 (unsigned long long)c->state->n_tasks);
		controller_reply(t, DAG_REJECTED);
		return;
	}
	if (has_conf_in_flight(c)) {
		reply_again(t);
		return;
	}
	if (!refuse_job(c, x->queue, x->id, job, t))
		propose_job(c, x, job, t);
}

/* A job of the queue that exists for the caller. */
static struct dag_job_rec *find_job(struct controller *c, const struct caller_context *x)
{
	struct dag_job_rec *j = dag_state_find_job(c->state, x->id);
	struct dag_queue_key key = dag_queue_key(x->queue);

	return j && dag_queue_key_equal(&j->queue, &key) &&
			       dag_state_may_access(c->state, j, x->org)
		       ? j
		       : NULL;
}

static void serve_read(struct controller *c, struct caller_context *x,
		       struct dag_pending_request *t)
{
	struct dag_reply reply = {0};
	const struct dag_job_rec *j;
	struct dag_queue_key key;

	reply.outcome = resolve(c, x);
	if (reply.outcome == DAG_OK && x->is_queue) {
		reply.is_queue = true;
		key = dag_queue_key(x->queue);
		reply.waiting = dag_state_count_waiting(c->state, &key);
	} else if (reply.outcome == DAG_OK) {
		j = find_job(c, x);
		reply.outcome = j ? DAG_OK : DAG_NO_JOB;
		reply.state = j ? j->state : DAG_JOB_QUEUED;
	}
	t->ops->done(t, &reply);
}

/* The submission of a job that is not known may be under way, or come after this. */
static void withdraw(struct controller *c, const struct caller_context *x,
		     struct dag_pending_request *t)
{
	const struct controller_wait about = {
		.is_withdrawal = true, .job = x->id, .org = controller_org_hash(x->org)};
	struct dag_command cmd = {.kind = DAG_CMD_WITHDRAW};
	struct dag_queue_key key = dag_queue_key(x->queue);
	unsigned char ref_bytes[DAG_QUEUE_REF_BYTES];
	struct dag_withdrawal w = {.job = x->id};

	if (dag_state_find_job(c->state, x->id) ||
	    dag_state_is_withdrawn(c->state, x->id, &key, x->org)) {
		controller_reply(t, DAG_NO_JOB);
		return;
	}
	if (has_conf_in_flight(c)) {
		reply_again(t);
		return;
	}
	XDR_SET(w, queue, dag_state_refer_queue(c->state, &key, ref_bytes));
	if (dag_state_has_orgs(c->state)) {
		cmd.kind = DAG_CMD_ORG_WITHDRAW;
		cmd.dag_command_u.org_withdrawal.withdrawal = w;
		if (x->org)
			XDR_SET(cmd.dag_command_u.org_withdrawal.org, text,
				dag_org_name(x->org));
	} else {
		cmd.dag_command_u.withdrawal = w;
	}
	log_info("job-withdrawn", "job=%016llx", (unsigned long long)x->id);
	controller_propose_and_wait(c, &cmd, &about, t);
}

static void serve_cancel(struct controller *c, struct caller_context *x,
			 struct dag_pending_request *t)
{
	struct dag_command cmd = {.kind = DAG_CMD_CANCEL};
	const struct controller_wait about = {0};
	enum dag_outcome outcome = resolve(c, x);
	struct dag_job_rec *j;

	if (outcome != DAG_OK || x->is_queue) {
		controller_reply(t, outcome == DAG_OK ? DAG_NO_JOB : outcome);
		return;
	}
	j = find_job(c, x);
	if (!j) {
		withdraw(c, x, t);
		return;
	}
	if (dag_job_ended(j)) {
		controller_reply(t, DAG_OK);
		return;
	}
	cmd.dag_command_u.cancel = x->id;
	log_info("job-cancel", "job=%016llx state=%d", (unsigned long long)x->id,
		 j->state);
	controller_propose_and_wait(c, &cmd, &about, t);
}

/* Serves a request of a caller as the leader, with a valid lease. */
void controller_serve_caller(struct controller *c, const struct dag_request *req,
			     struct dag_pending_request *t)
{
	const struct dag_org_submit *submit = &req->dag_request_u.org_submit;
	const struct dag_org_target *target = &req->dag_request_u.org_target;
	struct caller_context x = {.target = &req->dag_request_u.target};

	switch (req->kind) {
	case DAG_REQ_SUBMIT:
		x.target = &req->dag_request_u.submit.target;
		serve_submit(c, &x, &req->dag_request_u.submit.job, t);
		return;
	case DAG_REQ_ORG_SUBMIT:
		x.target = &submit->submit.target;
		x.credential = &submit->credential;
		serve_submit(c, &x, &submit->submit.job, t);
		return;
	case DAG_REQ_READ:
		serve_read(c, &x, t);
		return;
	case DAG_REQ_ORG_READ:
		x.target = &target->target;
		x.credential = &target->credential;
		serve_read(c, &x, t);
		return;
	case DAG_REQ_CANCEL:
		serve_cancel(c, &x, t);
		return;
	case DAG_REQ_ORG_CANCEL:
		x.target = &target->target;
		x.credential = &target->credential;
		serve_cancel(c, &x, t);
		return;
	default:
		controller_reply(t, DAG_INVALID);
	}
}
