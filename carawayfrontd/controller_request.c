/* Requests of executors and operators, and the paths of all requests to the leader. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/err.h"
#include "carawayfrontd/controller_impl.h"
#include "io/clock.h"
#include "io/log.h"
#include "platform/executors.h"
#include "proto/codec.h"
#include "proto/peer.h"

#define NO_LEADER_RETRY_MS 500U
/* A replica that heard the leader so recently has what was committed before. */
#define KNOWN_REPORT_US 1000000
/*
 * A loop that sleeps for longer was paused: heartbeats wake it several times a second.
 * The requests that are read for a while after that may have waited as long.
 */
#define PAUSE_MIN_US 500000
#define PAUSE_READ_US 100000

/* Whether this process may answer for the whole system now. */
bool controller_leads(const struct controller *c)
{
	return c->sched && !dag_sched_fenced(c->sched) &&
	       replica_lease_valid(c->replica, clock_us());
}

void controller_reply(struct dag_pending_request *t, enum dag_outcome outcome)
{
	struct dag_reply reply = {.outcome = outcome};

	if (outcome == DAG_REJECTED)
		reply.retry_after_ms = NO_LEADER_RETRY_MS;
	t->ops->done(t, &reply);
}

/*
 * Adds a command to the batch that is proposed at the end of this round. Errors as for
 * command_batch_add().
 */
int controller_propose(struct controller *c, const struct dag_command *cmd)
{
	return command_batch_add(&c->batch, cmd);
}

/* Proposes the entries of the batch. *index: the last one's place in the log. */
static int propose_entries(struct controller *c, uint64_t *index)
{
	int64_t time_ms = clock_wall_us() / 1000;
	struct buf entry = {0};
	int err = 0;

	if (time_ms < c->state->time_ms)
		time_ms = c->state->time_ms;
	for (size_t i = 0; !err && i < c->batch.n_parts; i++) {
		err = command_batch_entry(&c->batch, i, time_ms, &entry);
		if (!err)
			err = replica_propose(c->replica, buf_str(&entry), clock_us(),
					      index);
	}
	buf_free(&entry);
	return err;
}

/* Proposes the commands of this round. */
void controller_flush(struct controller *c)
{
	uint64_t index = 0;
	int err;

	if (!c->batch.n_parts)
		return;
	err = propose_entries(c, &index);
	command_batch_clear(&c->batch);
	if (err) {
		/* The scheduler counts on its commands, so it starts again. */
		log_warn("proposal-failed", "error=\"%s\"", cf_strerror(err));
		controller_end_waits(c, DAG_UNKNOWN);
		if (c->sched)
			controller_sched_stop(c);
		return;
	}
	for (struct controller_wait *w = c->waits; w; w = w->next)
		if (!w->index)
			w->index = index;
}

/* Answers the requests whose commands are applied. */
void controller_applied(struct controller *c, uint64_t index)
{
	while (c->waits && c->waits->index && c->waits->index <= index) {
		struct controller_wait *w = c->waits;

		c->waits = w->next;
		if (!c->waits)
			c->waits_end = &c->waits;
		controller_reply(w->ticket, controller_applied_outcome(c, w));
		free(w);
	}
}

/* Answers all waiting requests; after the loss of leadership. */
void controller_end_waits(struct controller *c, enum dag_outcome outcome)
{
	while (c->waits) {
		struct controller_wait *w = c->waits;

		c->waits = w->next;
		controller_reply(w->ticket, outcome);
		free(w);
	}
	c->waits_end = &c->waits;
}

/* Sends executors that announced their exit to the next leader. */
void controller_reject_leaves(struct controller *c)
{
	while (c->leaves) {
		struct controller_leave *l = c->leaves;

		c->leaves = l->next;
		controller_reply(l->ticket, DAG_REJECTED);
		free(l);
	}
}

/* The reply names the life of the executor, for DAG_REQ_LEFT. */
static void reply_leave(const struct controller *c, const struct controller_leave *l)
{
	const struct dag_worker_rec *rec = dag_state_find_worker(c->state, l->worker);
	struct dag_reply reply = {.outcome = DAG_OK};
	char born[24];

	if (rec) {
		snprintf(born, sizeof(born), "%lld", (long long)rec->w.born_ms);
		XDR_SET(reply, text, str_from(born));
	}
	l->ticket->ops->done(l->ticket, &reply);
}

/* Answers the announcements of executors whose exit is recorded. */
void controller_answer_leaves(struct controller *c)
{
	struct controller_leave **p = &c->leaves;

	while (*p) {
		struct controller_leave *l = *p;

		if (!dag_sched_worker_left(c->sched, l->worker)) {
			p = &l->next;
			continue;
		}
		*p = l->next;
		reply_leave(c, l);
		free(l);
	}
}

static uint64_t zone_hash(const struct dag_zone *zone)
{
	return XXH3_64bits(zone->name.name_val, zone->name.name_len);
}

/* Proposes a command and answers once it is applied. about: what is known of it. */
void controller_propose_and_wait(struct controller *c, const struct dag_command *cmd,
				 const struct controller_wait *about,
				 struct dag_pending_request *t)
{
	struct controller_wait *w = calloc(1, sizeof(*w));
	int err = w ? controller_propose(c, cmd) : CF_ENOMEM;

	if (err) {
		free(w);
		controller_reply(t, err == CF_ETOOBIG || err == CF_EINVAL ? DAG_INVALID
									  : DAG_REJECTED);
		return;
	}
	*w = *about;
	w->ticket = t;
	*c->waits_end = w;
	c->waits_end = &w->next;
}

static void serve_report(struct controller *c, const struct dag_report *r,
			 struct dag_pending_request *t)
{
	struct dag_command cmd = {.kind = DAG_CMD_WORKER};
	const struct controller_wait about = {0};

	if (!dag_report_valid(r, clock_wall_us() / 1000) ||
	    !executors_can_call(XDR_STR(r->worker, address))) {
		controller_reply(t, DAG_INVALID);
		return;
	}
	if (!dag_sched_report(c->sched, r, clock_us(), &cmd.dag_command_u.worker)) {
		controller_reply(t, DAG_OK);
		return;
	}
	log_info("worker-report", "worker=%.*s address=%.*s zone=%.*s state=%d born=%lld",
		 STR_ARG(XDR_STR(r->worker, id)), STR_ARG(XDR_STR(r->worker, address)),
		 STR_ARG(XDR_STR(r->worker, zone)), r->worker.state,
		 (long long)r->worker.born_ms);
	controller_propose_and_wait(c, &cmd, &about, t);
}

static void serve_leave(struct controller *c, const struct dag_name *id,
			struct dag_pending_request *t)
{
	struct dag_worker_rec *rec =
		dag_state_find_worker_by_id(c->state, XDR_STR(*id, text));
	struct controller_leave *l;

	if (!rec) {
		controller_reply(t, DAG_OK);
		return;
	}
	log_info("worker-leave", "worker=%.*s state=%d", STR_ARG(XDR_STR(*id, text)),
		 rec->w.state);
	dag_sched_worker_leaving(c->sched, rec->number, clock_us());
	l = calloc(1, sizeof(*l));
	if (!l) {
		controller_reply(t, DAG_REJECTED);
		return;
	}
	*l = (struct controller_leave){c->leaves, t, rec->number};
	c->leaves = l;
	controller_answer_leaves(c);
}

/* The announcement was answered once the exit of that life was recorded. */
static void serve_left(struct controller *c, const struct dag_left *left,
		       struct dag_pending_request *t)
{
	struct dag_worker_rec *rec =
		dag_state_find_worker_by_id(c->state, XDR_STR(left->id, text));
	bool known =
		rec && rec->w.state == DAG_WORKER_GONE && rec->w.born_ms == left->born_ms;

	log_info("worker-left", "worker=%.*s known=%d", STR_ARG(XDR_STR(left->id, text)),
		 known);
	if (known)
		dag_sched_worker_ended(c->sched, rec->number, clock_us());
	controller_reply(t, DAG_OK);
}

/* orgs: the same configuration with its organisations, NULL: it has none. */
static void serve_conf_put(struct controller *c, const struct dag_conf *conf,
			   const struct dag_org_conf *orgs, struct dag_pending_request *t)
{
	struct dag_command cmd = {.kind = DAG_CMD_CONF};
	const struct controller_wait about = {.is_conf = true};
	int err;

	log_info("conf-put", "revision=%llu in_force=%llu orgs=%u",
		 (unsigned long long)conf->revision,
		 (unsigned long long)c->state->conf.revision,
		 orgs ? orgs->orgs.orgs_len : 0);
	if (conf->revision <= c->state->conf.revision) {
		controller_reply(t, DAG_OK);
		return;
	}
	if (orgs) {
		err = dag_state_check_orgs(orgs);
		if (err) {
			controller_reply(t,
					 err == CF_EINVAL ? DAG_INVALID : DAG_REJECTED);
			return;
		}
		cmd.kind = DAG_CMD_ORG_CONF;
		cmd.dag_command_u.org_conf = *orgs;
	} else {
		cmd.dag_command_u.conf = *conf;
	}
	controller_propose_and_wait(c, &cmd, &about, t);
}

static void serve_conf_get(struct controller *c, struct dag_pending_request *t)
{
	struct dag_reply reply = {0};

	if (!c->state->conf.revision)
		reply.outcome = DAG_NO_CONF;
	XDR_SET(reply, text, XDR_STR(c->state->conf, source));
	t->ops->done(t, &reply);
}

/* Whether the contrary order for the zone is not recorded yet: it may be newer. */
static bool has_contrary_order(const struct controller *c, const struct dag_zone *zone)
{
	uint64_t hash = zone_hash(zone);

	for (const struct controller_wait *w = c->waits; w; w = w->next)
		if (w->zone == hash && w->zone_closed != (zone->closed != 0))
			return true;
	return false;
}

/*
 * An order that was under way while a newer one for its zone was carried out is not
 * carried out after it: its sender gave it up, or sends it again.
 */
static void serve_zone(struct controller *c, const struct dag_zone_order *order,
		       struct dag_pending_request *t)
{
	struct dag_command cmd = {.kind = DAG_CMD_ZONE};
	const struct controller_wait about = {.zone = zone_hash(&order->zone),
					      .zone_closed = order->zone.closed != 0};
	struct str name = XDR_STR(order->zone, name);
	bool in_force =
		dag_state_zone_closed(c->state, name) == (order->zone.closed != 0);
	bool old = order->seen < dag_state_zone_order(c->state, name);

	log_info("zone", "zone=%.*s closed=%d old=%d", STR_ARG(name), order->zone.closed,
		 old);
	if (has_contrary_order(c, &order->zone) || (old && !in_force)) {
		controller_reply(t, DAG_REJECTED);
		return;
	}
	if (old) {
		controller_reply(t, DAG_OK);
		return;
	}
	cmd.dag_command_u.zone = order->zone;
	controller_propose_and_wait(c, &cmd, &about, t);
}

/* The reply has a text if the configuration has organisations. */
static void serve_agent(struct controller *c, const struct dag_agent *agent,
			struct dag_pending_request *t)
{
	struct dag_reply reply = {.outcome = DAG_OK};

	relay_agent(c->relay, agent);
	if (dag_state_has_orgs(c->state))
		XDR_SET(reply, text, STR("organisations"));
	t->ops->done(t, &reply);
}

/* Serves a request as the leader. */
static void serve(struct controller *c, const struct dag_request *req,
		  struct dag_pending_request *t)
{
	switch (req->kind) {
	case DAG_REQ_SUBMIT:
	case DAG_REQ_READ:
	case DAG_REQ_CANCEL:
	case DAG_REQ_ORG_SUBMIT:
	case DAG_REQ_ORG_READ:
	case DAG_REQ_ORG_CANCEL:
		controller_serve_caller(c, req, t);
		return;
	case DAG_REQ_REPORT:
		serve_report(c, &req->dag_request_u.report, t);
		return;
	case DAG_REQ_LEAVE:
		serve_leave(c, &req->dag_request_u.leave, t);
		return;
	case DAG_REQ_LEFT:
		serve_left(c, &req->dag_request_u.left, t);
		return;
	case DAG_REQ_CONF_PUT:
		serve_conf_put(c, &req->dag_request_u.conf, NULL, t);
		return;
	case DAG_REQ_ORG_CONF_PUT:
		serve_conf_put(c, &req->dag_request_u.org_conf.conf,
			       &req->dag_request_u.org_conf, t);
		return;
	case DAG_REQ_CONF_GET:
		serve_conf_get(c, t);
		return;
	case DAG_REQ_ZONE:
		serve_zone(c, &req->dag_request_u.zone, t);
		return;
	case DAG_REQ_MEMBERS:
		controller_reply(t, DAG_OK);
		return;
	case DAG_REQ_AGENT:
		serve_agent(c, &req->dag_request_u.agent, t);
		return;
	}
	controller_reply(t, DAG_INVALID);
}

/*
 * Whether a report says what this replica already holds. The leader hears from workers
 * by its own polls, so only news is sent to it. Of workers without a guard it needs to
 * know that their capacity is still the same.
 */
static bool is_known_report(struct controller *c, const struct dag_request *req)
{
	const struct dag_worker *w = &req->dag_request_u.report.worker;
	const struct dag_worker_rec *rec;

	if (req->kind != DAG_REQ_REPORT ||
	    replica_leader_last_heard_us(c->replica) < clock_us() - KNOWN_REPORT_US)
		return false;
	rec = dag_state_find_worker_by_id(c->state, XDR_STR(*w, id));
	return rec && dag_worker_equal(&rec->w, w) &&
	       dag_state_service_guarded(c->state, XDR_STR(*w, service));
}

/* Notes how long the loop has slept. */
void controller_note_pause(struct controller *c)
{
	int64_t now = clock_us();

	if (c->prepared_us && now - c->prepared_us > PAUSE_MIN_US)
		c->paused_until_us = now + PAUSE_READ_US;
	c->prepared_us = now;
}

/*
 * Whether a request may be an order that its sender has given up: it was read just after
 * this process was paused, and nothing in the order itself tells how old it is.
 */
static bool may_be_given_up(struct controller *c, const struct dag_request *req)
{
	if (req->kind != DAG_REQ_ZONE && req->kind != DAG_REQ_LEAVE)
		return false;
	controller_note_pause(c);
	if (clock_us() >= c->paused_until_us)
		return false;
	log_info("order-refused", "kind=%d reason=\"read after a pause\"", req->kind);
	return true;
}

/* Serves a request of this process's own ports, here or at the leader. */
void controller_request(struct controller *c, const struct dag_request *req,
			double timeout, struct dag_pending_request *t)
{
	struct dag_request stamped;

	if (may_be_given_up(c, req)) {
		controller_reply(t, DAG_REJECTED);
		return;
	}
	if (req->kind == DAG_REQ_ZONE) {
		stamped = *req;
		stamped.dag_request_u.zone.seen = c->state->index;
		req = &stamped;
	}
	if (controller_leads(c))
		serve(c, req, t);
	else if (is_known_report(c, req))
		controller_reply(t, DAG_OK);
	else
		dag_client_request(c->client, req, timeout, t);
}

/* A request of a gateway or of a controller that does not lead. */
struct rpc_ticket {
	struct dag_pending_request ticket;
	struct controller *controller;
	struct rpc_call *call;
};

static void reply_rpc(struct controller *c, struct rpc_call *call,
		      const struct dag_reply *reply)
{
	struct dag_reply full = *reply;
	uint64_t ids[DAG_MAX_MEMBERS];
	struct buf bytes = {0};
	size_t n;

	full.leader = controller_members(c, ids, &n);
	full.members.members_val = ids;
	full.members.members_len = (u_int)n;
	if (codec_encode((xdrproc_t)xdr_dag_reply, &full, &bytes))
		rpc_call_reply(call, CF_EIO, (struct str){NULL, 0});
	else
		rpc_call_reply(call, 0, buf_str(&bytes));
	buf_free(&bytes);
}

static void rpc_done(struct dag_pending_request *t, const struct dag_reply *reply)
{
	struct rpc_ticket *rt = (struct rpc_ticket *)t;

	reply_rpc(rt->controller, rt->call, reply);
	free(rt);
}

static const struct dag_pending_request_ops rpc_ticket_ops = {.done = rpc_done};

/*
 * Whether the sender of a request that changes something has given it up. It was told
 * that the outcome is unknown, and may have asked for the contrary since then.
 */
static bool is_given_up(const struct dag_request *req, const struct rpc_call *call)
{
	if (!dag_request_has_effect(req->kind) || !rpc_call_is_abandoned(call))
		return false;
	log_info("request-abandoned", "kind=%d sender=%.*s", req->kind,
		 STR_ARG(call->member));
	return true;
}

static void on_request(struct controller *c, struct rpc_call *call)
{
	struct dag_reply not_leader = {.outcome = DAG_NOT_LEADER};
	struct dag_request req = {0};
	struct rpc_ticket *rt;

	if (!controller_leads(c)) {
		reply_rpc(c, call, &not_leader);
		return;
	}
	rt = calloc(1, sizeof(*rt));
	if (!rt || codec_decode((xdrproc_t)xdr_dag_request, &req, call->args)) {
		free(rt);
		rpc_call_reply(call, CF_EINVAL, (struct str){NULL, 0});
	} else if (is_given_up(&req, call)) {
		free(rt);
		rpc_call_drop(call);
	} else {
		*rt = (struct rpc_ticket){{&rpc_ticket_ops}, c, call};
		serve(c, &req, &rt->ticket);
	}
	codec_free((xdrproc_t)xdr_dag_request, &req);
}

/* RPC server operation. */
void controller_on_rpc(struct rpc_server_host *host, struct rpc_call *call)
{
	struct controller *c = CONTROLLER_OF(host, rpc_host);

	switch (call->proc) {
	case PEER_NULL:
		rpc_call_reply(call, 0, (struct str){NULL, 0});
		return;
	case PEER_REPLICA:
		controller_on_replica(c, call->member, call->args);
		rpc_call_drop(call);
		return;
	case DAG_PROC_REQUEST:
		on_request(c, call);
		return;
	case RELAY_PROC_ANSWERS:
		if (c->sched)
			relay_answers(c->relay, call->args);
		rpc_call_drop(call);
		return;
	default:
		rpc_call_reply(call, CF_EINVAL, (struct str){NULL, 0});
	}
}
