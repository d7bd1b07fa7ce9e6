#include "carawayfrontd/gateway.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/err.h"
#include "carawayfrontd/agent.h"
#include "carawayfrontd/dag_client.h"
#include "carawayfrontd/metrics_port.h"
#include "carawayfrontd/node_id.h"
#include "io/clock.h"
#include "io/log.h"
#include "platform/callers.h"
#include "proto/codec.h"

#define CHECK_S 0.5 /* between looks for the leader */
#define CHECK_TIMEOUT_S 0.45
#define LOST_LEADER_S 3.0 /* without an answer this process is not ready */
/*
 * The balancer needs two missed checks, a second apart, until it sends no new
 * connection here.
 */
#define DRAIN_ACCEPT_S 3.0
#define DRAIN_MAX_S 5.0
#define REQUEST_PATH_MAX 128 /* of a path in the log */
/* Callers without access can send at any rate, and must not crowd out other lines. */
#define UNAUTHORIZED_LINES_PER_S 10U

struct gateway {
	struct dag_request_handler port; /* first member */
	struct dag_pending_request check;
	struct ev_loop *loop;
	struct dag_client *client;
	struct callers *callers;
	struct agent *agent;
	const struct settings *settings;
	struct metric_set *metrics;
	struct metrics_port *metrics_port;
	struct ev_timer timer;
	bool checking;
	bool has_orgs;	/* the configuration has organisations, as the leader said last */
	double checked; /* newest check */
	bool had_leader;
	double drain_at;	/* 0: not draining */
	double unauthorized_at; /* begin of the second that is counted */
	unsigned int unauthorized_lines;
};

/* A caller's request on its way to the leader. */
struct gateway_request {
	struct dag_pending_request ticket; /* first member */
	struct gateway *gateway;
	struct dag_pending_request *caller;
	enum dag_request_kind kind;
	double start;
	char path[REQUEST_PATH_MAX];
};

static const char *kind_name(enum dag_request_kind kind)
{
	switch (kind) {
	case DAG_REQ_SUBMIT:
	case DAG_REQ_ORG_SUBMIT:
		return "submit";
	case DAG_REQ_CANCEL:
	case DAG_REQ_ORG_CANCEL:
		return "cancel";
	default:
		return "read";
	}
}

static const char *outcome_name(enum dag_outcome outcome)
{
	static const char *const names[] = {
		"ok",	   "no-queue",	 "no-job",  "no-conf",	    "rejected",
		"invalid", "not-leader", "unknown", "unauthorized", "conflict"};

	return outcome <= DAG_CONFLICT ? names[outcome] : "other";
}

/* Whether a request has a line in the log: not reads that were answered. */
static bool has_line(struct gateway_request *r, enum dag_outcome outcome)
{
	struct gateway *g = r->gateway;

	if (outcome == DAG_OK)
		return r->kind != DAG_REQ_READ && r->kind != DAG_REQ_ORG_READ;
	if (outcome != DAG_UNAUTHORIZED)
		return true;
	if (clock_s() - g->unauthorized_at >= 1) {
		g->unauthorized_at = clock_s();
		g->unauthorized_lines = 0;
	}
	return g->unauthorized_lines++ < UNAUTHORIZED_LINES_PER_S;
}

/* Counts each request and logs those that have a line. */
static void note_request(struct gateway_request *r, const struct dag_reply *reply)
{
	struct gateway *g = r->gateway;
	double ms = (clock_s() - r->start) * 1000;
	char labels[64];

	snprintf(labels, sizeof(labels), "kind=\"%s\",outcome=\"%s\"", kind_name(r->kind),
		 outcome_name(reply->outcome));
	hist_add(metric_hist(g->metrics, "carawayfront_request_duration_us", labels),
		 (uint64_t)(ms * 1000));
	if (!has_line(r, reply->outcome))
		return;
	log_info("request",
		 "kind=%s path=%s outcome=%s ms=%.0f leader=%llx leader_age_ms=%.0f",
		 kind_name(r->kind), r->path, outcome_name(reply->outcome), ms,
		 (unsigned long long)dag_client_leader(g->client),
		 dag_client_heard(g->client) > 0
			 ? (clock_s() - dag_client_heard(g->client)) * 1000
			 : -1.0);
}

static void request_done(struct dag_pending_request *t, const struct dag_reply *reply)
{
	struct gateway_request *r = (struct gateway_request *)t;
	struct dag_pending_request *caller = r->caller;

	note_request(r, reply);
	if (reply->outcome == DAG_UNAUTHORIZED)
		r->gateway->has_orgs = true;
	free(r);
	caller->ops->done(caller, reply);
}

static const struct dag_pending_request_ops request_ops = {.done = request_done};

static bool has_leader(const struct gateway *g)
{
	double heard = dag_client_heard(g->client);

	return heard > 0 && clock_s() - heard < LOST_LEADER_S;
}

/*
 * Whether this process ends now and knows nobody who could answer. Callers that send one
 * request after the other on a connection that they keep would hold it up.
 */
static bool ends_without_leader(const struct gateway *g)
{
	return g->drain_at && clock_s() - g->drain_at > DRAIN_ACCEPT_S && !has_leader(g);
}

/* The target of a caller's request. */
static const struct dag_target *find_target(const struct dag_request *req)
{
	switch (req->kind) {
	case DAG_REQ_SUBMIT:
		return &req->dag_request_u.submit.target;
	case DAG_REQ_ORG_SUBMIT:
		return &req->dag_request_u.org_submit.submit.target;
	case DAG_REQ_ORG_READ:
	case DAG_REQ_ORG_CANCEL:
		return &req->dag_request_u.org_target.target;
	default:
		return &req->dag_request_u.target;
	}
}

static void port_request(struct dag_request_handler *p, const struct dag_request *req,
			 double timeout, struct dag_pending_request *t)
{
	struct gateway *g = (struct gateway *)p;
	const struct dag_target *target = find_target(req);
	struct gateway_request *r = ends_without_leader(g) ? NULL : calloc(1, sizeof(*r));
	struct dag_reply rejected = {.outcome = DAG_REJECTED, .retry_after_ms = 1000};

	if (!r) {
		t->ops->done(t, &rejected);
		return;
	}
	r->ticket.ops = &request_ops;
	r->gateway = g;
	r->caller = t;
	r->kind = req->kind;
	r->start = clock_s();
	snprintf(r->path, sizeof(r->path), "%.*s", STR_ARG(XDR_STR(*target, path)));
	dag_client_request(g->client, req, timeout, &r->ticket);
}

static bool port_ready(struct dag_request_handler *p)
{
	struct gateway *g = (struct gateway *)p;

	return !g->drain_at && has_leader(g);
}

static bool port_may_have_orgs(struct dag_request_handler *p)
{
	return ((struct gateway *)p)->has_orgs;
}

static struct str port_report_address(struct dag_request_handler *p)
{
	return (struct str){NULL, 0};
}

static const struct dag_request_handler_ops port_ops = {
	.request = port_request,
	.ready = port_ready,
	.may_have_orgs = port_may_have_orgs,
	.report_address = port_report_address,
};

static void on_check(struct dag_pending_request *t, const struct dag_reply *reply)
{
	struct gateway *g =
		(struct gateway *)(void *)((char *)t - offsetof(struct gateway, check));

	g->checking = false;
	if (reply->outcome == DAG_OK)
		g->has_orgs = reply->text.text_len > 0;
}

static const struct dag_pending_request_ops check_ops = {.done = on_check};

static void check_leader(struct gateway *g)
{
	struct dag_request req = {.kind = DAG_REQ_AGENT};
	bool has = has_leader(g);

	if (has != g->had_leader)
		log_info(has ? "leader-found" : "leader-lost", "leader=%llx",
			 (unsigned long long)dag_client_leader(g->client));
	g->had_leader = has;
	if (g->checking || clock_s() - g->checked < CHECK_S || g->drain_at)
		return;
	g->checking = true;
	g->checked = clock_s();
	req.dag_request_u.agent.id = node_id(&g->settings->listen.rpc);
	req.dag_request_u.agent.life = agent_life(g->agent);
	XDR_SET(req.dag_request_u.agent, zone, g->settings->zone);
	req.dag_request_u.agent.clock_us = clock_us();
	dag_client_request(g->client, &req, CHECK_TIMEOUT_S, &g->check);
}

static void on_timer(struct ev_loop *loop, struct ev_timer *t, int events)
{
	struct gateway *g = t->data;
	double drained = g->drain_at ? clock_s() - g->drain_at : 0;

	check_leader(g);
	if (drained > DRAIN_ACCEPT_S)
		callers_stop_accepting(g->callers);
	if (drained > DRAIN_MAX_S ||
	    (drained > DRAIN_ACCEPT_S && callers_in_flight(g->callers) == 0))
		ev_break(loop, EVBREAK_ALL);
}

int gateway_new(struct ev_loop *loop, struct settings *settings,
		struct metric_set *metrics, struct server_limits *limits,
		struct gateway **out)
{
	struct dag_client_options client = {.loop = loop, .settings = settings};
	struct agent_options agent = {
		.loop = loop, .settings = settings, .limits = limits};
	struct gateway *g = calloc(1, sizeof(*g));
	struct callers_options callers = {
		.loop = loop,
		.callers = settings->listen.callers,
		.health = settings->listen.health,
		.max_body = settings->limits.max_body,
		.max_connections = (unsigned int)settings->limits.max_connections,
		.limits = limits,
	};
	int err;

	if (!g)
		return CF_ENOMEM;
	g->port.ops = &port_ops;
	g->check.ops = &check_ops;
	g->loop = loop;
	g->metrics = metrics;
	g->settings = settings;
	callers.handler = &g->port;
	ev_timer_init(&g->timer, on_timer, CHECK_S / 5, CHECK_S / 5);
	g->timer.data = g;
	err = dag_client_new(&client, &g->client);
	if (!err)
		err = callers_new(&callers, &g->callers);
	if (!err)
		err = agent_new(&agent, &g->agent);
	if (!err)
		err = metrics_port_new(loop, &settings->listen.metrics, metrics, limits,
				       &g->metrics_port);
	if (err) {
		gateway_free(g);
		return err;
	}
	ev_timer_start(loop, &g->timer);
	*out = g;
	return 0;
}

/*
 * Readiness fails at once; what is in flight is answered before the loop ends. A further
 * call does not put off the end.
 */
void gateway_drain(struct gateway *g)
{
	if (!g->drain_at)
		g->drain_at = clock_s();
}

void gateway_free(struct gateway *g)
{
	if (!g)
		return;
	ev_timer_stop(g->loop, &g->timer);
	dag_client_free(g->client);
	agent_free(g->agent);
	callers_free(g->callers);
	metrics_port_free(g->metrics_port);
	free(g);
}
