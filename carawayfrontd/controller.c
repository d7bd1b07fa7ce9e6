#include "carawayfrontd/controller.h"

#include <stdlib.h>

#include "base/err.h"
#include "carawayfrontd/controller_impl.h"
#include "carawayfrontd/node_id.h"
#include "io/clock.h"
#include "io/log.h"
#include "platform/executors.h"
#include "platform/operators.h"

#define SECOND_US 1000000LL
/* A process that is no member asks for the members this often. */
#define MEMBERS_PERIOD_US (SECOND_US / 2)
#define MEMBERS_TIMEOUT_S 0.5
#define DRAIN_US (SECOND_US * 3 / 10)
/* While it drains, it waits so long at most for another to take over its vote. */
#define LEAVE_US (2 * SECOND_US)
/* A restart finds the same disk, so a process that cannot write stays for a while. */
#define FAILURE_US (3 * SECOND_US)
/* Connections to executors without a call; below relay-from each has four at most. */
#define MAX_IDLE 640U

static void port_request(struct dag_request_handler *p, const struct dag_request *req,
			 double timeout, struct dag_pending_request *t)
{
	controller_request(CONTROLLER_OF(p, port), req, timeout, t);
}

static bool port_ready(struct dag_request_handler *p)
{
	return !CONTROLLER_OF(p, port)->drain_us;
}

/* Who takes reports: this process, or another member when it leads. */
static uint64_t reporter(struct controller *c)
{
	uint64_t ids[DAG_MAX_MEMBERS];
	size_t n;

	controller_members(c, ids, &n);
	if (!c->sched || n < 2)
		return c->id;
	for (size_t i = 0; i < n; i++) {
		uint64_t id = ids[c->next_reporter++ % n];

		if (id != c->id)
			return id;
	}
	return c->id;
}

/* All controllers listen for reports at one port number. */
static struct str port_report_address(struct dag_request_handler *p)
{
	struct controller *c = CONTROLLER_OF(p, port);
	uint64_t id = reporter(c);
	struct buf text = {0};
	struct addr a;
	struct str none = {NULL, 0};

	if (c->drain_us ||
	    node_addr((id & ~0xffffULL) | addr_port(&c->settings->listen.control), &a) ||
	    addr_format(&a, &text) || text.n >= sizeof(c->report_text)) {
		buf_free(&text);
		return none;
	}
	for (size_t i = 0; i < text.n; i++)
		c->report_text[i] = text.p[i];
	c->report_text[text.n] = '\0';
	buf_free(&text);
	return str_from(c->report_text);
}

static const struct dag_request_handler_ops port_ops = {
	.request = port_request,
	.ready = port_ready,
	.report_address = port_report_address,
};

static const struct rpc_server_ops rpc_ops = {.call = controller_on_rpc};

static bool is_member(const struct controller *c)
{
	const struct replica_members *m = replica_members(c->replica);

	for (size_t i = 0; i < m->n; i++)
		if (m->list[i].id == c->id)
			return replica_leader(c->replica) != 0;
	return false;
}

/* Other controllers name the members, whom the replica asks for admission. */
static void on_members(struct dag_pending_request *t, const struct dag_reply *reply)
{
	struct controller *c = CONTROLLER_OF(t, members_ticket);
	uint64_t ids[REPLICA_MAX_MEMBERS];
	size_t n = dag_client_nodes(c->client, ids, REPLICA_MAX_MEMBERS);

	c->members_asked = false;
	replica_set_peers(c->replica, ids, n);
}

static const struct dag_pending_request_ops members_ops = {.done = on_members};

static void ask_members(struct controller *c, int64_t now_us)
{
	struct dag_request req = {.kind = DAG_REQ_MEMBERS};

	if (c->members_asked || now_us < c->members_at_us || is_member(c))
		return;
	c->members_at_us = now_us + MEMBERS_PERIOD_US;
	c->members_asked = true;
	c->members_ticket.ops = &members_ops;
	dag_client_request(c->client, &req, MEMBERS_TIMEOUT_S, &c->members_ticket);
}

static void on_timer(struct ev_loop *loop, struct ev_timer *t, int events)
{
	struct controller *c = t->data;
	int64_t now = clock_us();

	log_flush();
	replica_tick(c->replica, now);
	if (controller_leads(c)) {
		dag_sched_tick(c->sched, now, clock_wall_us() / 1000);
		org_metrics_update(&c->org_metrics, c->metrics, c->sched, now);
		controller_answer_leaves(c);
	}
	ask_members(c, now);
	if (c->drain_us && now >= c->drain_us &&
	    (replica_may_leave(c->replica) || now >= c->leave_us))
		ev_break(loop, EVBREAK_ALL);
}

/* Starts or ends what only a leader does. */
static void follow_leadership(struct controller *c)
{
	bool leads = replica_ready(c->replica) &&
		     replica_role(c->replica) == REPLICA_LEADER && !c->drain_us;
	uint64_t ids[DAG_MAX_MEMBERS];
	uint64_t leader;
	size_t n;

	if (c->sched && dag_sched_error(c->sched)) {
		log_error("scheduler-failed", "error=\"%s\"",
			  cf_strerror(dag_sched_error(c->sched)));
		controller_end_waits(c, DAG_UNKNOWN);
		controller_sched_stop(c);
	}
	if (leads && !c->sched) {
		controller_sched_start(c);
	} else if (!leads && c->sched) {
		/* While it drains, what was proposed is committed and answered first. */
		if (c->drain_us)
			controller_flush(c);
		else
			controller_end_waits(c, DAG_UNKNOWN);
		if (c->sched)
			controller_sched_stop(c);
	}
	leader = controller_members(c, ids, &n);
	if (leader != dag_client_leader(c->client) && leader != c->id)
		dag_client_learn(c->client, leader, ids, n);
}

/* A leader that drains hands over once everything that it proposed is committed. */
static void hand_over(struct controller *c)
{
	int err;

	if (!c->drain_us || c->handed_over ||
	    replica_role(c->replica) != REPLICA_LEADER ||
	    replica_committed(c->replica) < replica_last_index(c->replica))
		return;
	c->handed_over = true;
	err = replica_transfer_leadership(c->replica, clock_us());
	log_info("handed-over", "epoch=%llu error=\"%s\"",
		 (unsigned long long)replica_epoch(c->replica), cf_strerror(err));
}

static void check_failure(struct controller *c)
{
	disk_host_log_full(&c->disk, c->replica);
	if (!c->failure)
		c->failure = replica_failure(c->replica);
	if (!c->failure || c->drain_us)
		return;
	log_error("replica-failed", "error=\"%s\"", cf_strerror(c->failure));
	c->drain_us = c->leave_us = clock_us() + FAILURE_US;
}

static int64_t next_deadline(const struct controller *c)
{
	int64_t deadline = replica_deadline(c->replica);

	if (c->sched && dag_sched_next_tick_us(c->sched) < deadline)
		deadline = dag_sched_next_tick_us(c->sched);
	if (!c->members_asked && !is_member(c) && c->members_at_us < deadline)
		deadline = c->members_at_us;
	if (c->drain_us && c->drain_us < deadline)
		deadline = replica_may_leave(c->replica) ? c->drain_us : c->leave_us;
	return deadline;
}

/* An entry that is applied meanwhile may fail. */
static void flush_disk(struct controller *c)
{
	int err = disk_host_flush(&c->disk, c->replica, c->metrics);

	if (!c->failure)
		c->failure = err;
}

/* Runs before the loop sleeps: one log entry and one sync cover the whole round. */
static void on_prepare(struct ev_loop *loop, struct ev_prepare *w, int events)
{
	struct controller *c = w->data;
	int64_t deadline;
	int64_t now;

	controller_note_pause(c);
	follow_leadership(c);
	do {
		if (controller_leads(c))
			dag_sched_place(c->sched, clock_us());
		controller_flush(c);
		if (c->disk.sync_asked && !c->failure)
			flush_disk(c);
	} while ((c->batch.n_parts || c->disk.sync_asked) && !c->failure);
	follow_leadership(c);
	hand_over(c);
	relay_flush(c->relay);
	check_failure(c);
	deadline = next_deadline(c);
	now = clock_us();
	ev_timer_stop(loop, &c->timer);
	if (deadline == INT64_MAX)
		return;
	ev_timer_set(&c->timer, deadline > now ? (double)(deadline - now) / 1e6 : 0, 0);
	ev_timer_start(loop, &c->timer);
}

static int make_ports(struct controller *c)
{
	struct rpc_server_options rpc = {
		.loop = c->loop,
		.host = &c->rpc_host,
		.address = c->settings->listen.rpc,
		.key = c->settings->cluster_key,
		.limits = c->limits,
	};
	struct operators_options control = {
		.loop = c->loop,
		.handler = &c->port,
		.address = c->settings->listen.control,
		.max_body = c->settings->limits.max_body,
		.max_connections = (unsigned int)c->settings->limits.max_connections,
		.limits = c->limits,
	};
	struct executors_options executors = {
		.loop = c->loop, .user = &c->user, .max_idle = MAX_IDLE};
	struct relay_options relay = {
		.loop = c->loop,
		.settings = c->settings,
		.state = c->state,
		.user = &c->user,
		.self = c->id,
	};
	int err;

	c->rpc_host.ops = &rpc_ops;
	c->port.ops = &port_ops;
	err = executors_new(&executors, &c->transport);
	relay.direct = c->transport;
	if (!err)
		err = relay_new(&relay, &c->relay);
	if (!err)
		err = rpc_server_new(&rpc, &c->rpc);
	if (!err)
		err = operators_new(&control, &c->operators);
	if (!err)
		err = metrics_port_new(c->loop, &c->settings->listen.metrics, c->metrics,
				       c->limits, &c->metrics_port);
	if (!err)
		controller_placement_init(c);
	return err;
}

int controller_new(struct ev_loop *loop, struct settings *settings,
		   struct metric_set *metrics, struct server_limits *limits,
		   struct controller **out)
{
	struct dag_client_options client = {.loop = loop, .settings = settings};
	struct controller *c = calloc(1, sizeof(*c));
	int err;

	if (!c)
		return CF_ENOMEM;
	c->loop = loop;
	c->settings = settings;
	c->metrics = metrics;
	c->limits = limits;
	c->id = node_id(&settings->listen.rpc);
	c->waits_end = &c->waits;
	client.self = c->id;
	ev_timer_init(&c->timer, on_timer, 0, 0);
	ev_prepare_init(&c->prepare, on_prepare);
	c->timer.data = c;
	c->prepare.data = c;
	controller_sched_init(c);
	err = dag_client_new(&client, &c->client);
	if (!err)
		err = dag_state_new(&c->state);
	if (!err)
		err = controller_open_replica(c);
	if (!err)
		err = make_ports(c);
	if (err) {
		controller_free(c);
		return err;
	}
	ev_prepare_start(loop, &c->prepare);
	*out = c;
	return 0;
}

/* Answers what waits and ends soon; what was accepted is on a quorum's disks. */
void controller_drain(struct controller *c)
{
	int64_t now = clock_us();

	if (c->drain_us)
		return;
	c->drain_us = now + DRAIN_US;
	c->leave_us = now + LEAVE_US;
	replica_leave(c->replica, now);
}

int controller_failure(const struct controller *c)
{
	return c->failure;
}

void controller_free(struct controller *c)
{
	if (!c)
		return;
	ev_timer_stop(c->loop, &c->timer);
	ev_prepare_stop(c->loop, &c->prepare);
	controller_end_waits(c, DAG_UNKNOWN);
	if (c->sched)
		controller_sched_stop(c);
	dag_client_free(c->client);
	operators_free(c->operators);
	metrics_port_free(c->metrics_port);
	rpc_server_free(c->rpc);
	relay_free(c->relay);
	if (c->transport)
		c->transport->ops->free(c->transport);
	controller_close_replica(c);
	dag_state_free(c->state);
	command_batch_free(&c->batch);
	org_metrics_free(&c->org_metrics);
	free(c);
}
