#include "carawayfrontd/entry.h"

#include <malloc.h>
#include <stdlib.h>

#include "base/err.h"
#include "carawayfrontd/entry_impl.h"
#include "io/clock.h"
#include "io/log.h"
#include "proto/peer.h"

#define CONTROL_MAX_BODY (1U << 20)
#define CONTROL_MAX_CONNECTIONS 4096U
#define CONTROL_IDLE_S 60U
/* Time in which the load balancer sees the failing health check. */
#define DRAIN_NOTICE_S 0.5
#define DRAIN_PERIOD_S 0.05
/* Buffers of ended connections leave gaps in the heap; 2,000 callers left 70 MB. */
#define TRIM_PERIOD_S 5.0
/* Upstreams announce themselves every 500 ms; all are known after two periods. */
#define LEARN_US 1200000

static const struct http_server_ops control_ops = {.request = entry_on_control};
static const struct rpc_server_ops rpc_ops = {.call = entry_on_rpc};

/* RPC server operation: other entry processes pass on announcements. */
void entry_on_rpc(struct rpc_server_host *host, struct rpc_call *call)
{
	struct entry *e =
		(struct entry *)((char *)host - offsetof(struct entry, rpc_host));

	if (call->proc == PEER_ANNOUNCE) {
		spread_receive(e->spread, call->member, call->args);
		rpc_call_drop(call);
	} else {
		rpc_call_reply(call, call->proc == PEER_NULL ? 0 : CF_EINVAL,
			       (struct str){NULL, 0});
	}
}

bool entry_healthy(const struct entry *e, const char **reason)
{
	if (e->drain_end_us)
		*reason = "draining";
	else if (clock_us() - e->started_us < LEARN_US)
		*reason = "learning upstreams";
	else if (!entry_watch_fresh(e->watch))
		*reason = "configuration is not confirmed";
	else
		return true;
	return false;
}

static void on_trim_timer(struct ev_loop *loop, struct ev_timer *t, int events)
{
	malloc_trim(0);
}

static bool is_idle(const struct entry *e)
{
	return front_idle(e->front) && http_server_stats(e->control)->in_flight == 0;
}

static void on_drain_timer(struct ev_loop *loop, struct ev_timer *t, int events)
{
	struct entry *e = t->data;
	int64_t now = clock_us();
	bool late = now >= e->drain_end_us;

	front_drain(e->front);
	if (is_idle(e) || late) {
		if (late && !is_idle(e))
			log_warn("drain-timeout", "requests=%llu",
				 (unsigned long long)front_in_flight(e->front));
		http_server_stop_accepting(e->control);
		ev_break(loop, EVBREAK_ALL);
		return;
	}
	ev_timer_set(t, DRAIN_PERIOD_S, 0);
	ev_timer_start(loop, t);
}

/*
 * Starts the graceful shutdown: the health check fails first, after a moment the
 * callers' port stops accepting, then the loop ends when nothing is in flight.
 */
void entry_drain(struct entry *e)
{
	if (e->drain_end_us)
		return;
	e->drain_end_us = clock_us() + (int64_t)e->settings->limits.drain_s * 1000000;
	entry_watch_end_waits(e->watch);
	ev_timer_set(&e->drain_timer, DRAIN_NOTICE_S, 0);
	ev_timer_start(e->loop, &e->drain_timer);
}

static int make_servers(struct entry *e)
{
	struct http_server_options control = {
		.loop = e->loop,
		.host = &e->control_host,
		.address = e->settings->listen.control,
		.max_body = CONTROL_MAX_BODY,
		.max_connections = CONTROL_MAX_CONNECTIONS,
		.idle_timeout = CONTROL_IDLE_S,
		.limits = e->limits,
	};
	struct rpc_server_options rpc = {
		.loop = e->loop,
		.host = &e->rpc_host,
		.address = e->settings->listen.rpc,
		.key = e->settings->cluster_key,
		.limits = e->limits,
	};
	int err;

	e->control_host.ops = &control_ops;
	e->rpc_host.ops = &rpc_ops;
	err = rpc_server_new(&rpc, &e->rpc);
	return err ? err : http_server_new(&control, &e->control);
}

static int make_parts(struct entry *e)
{
	struct front_options front = {
		.loop = e->loop,
		.settings = e->settings,
		.metrics = e->metrics,
		.leader = &e->leader,
		.incarnation = &e->incarnation,
		.limits = e->limits,
	};
	struct entry_watch_options watch = {
		.loop = e->loop,
		.settings = e->settings,
		.metrics = e->metrics,
		.leader = &e->leader,
		.incarnation = &e->incarnation,
	};
	struct spread_options spread = {
		.loop = e->loop,
		.settings = e->settings,
		.metrics = e->metrics,
	};
	int err = leader_client_init(&e->leader, e->loop, e->settings);

	if (!err)
		err = front_new(&front, &e->front);
	if (err)
		return err;
	spread.router = front_router(e->front);
	watch.router = front_router(e->front);
	err = poll_relay_new(&e->leader, &e->polls);
	if (!err)
		err = spread_new(&spread, &e->spread);
	if (!err)
		err = entry_watch_new(&watch, &e->watch);
	if (!err)
		front_set_view(e->front, entry_watch_view(e->watch));
	return err;
}

/* Tells the router which entry processes share the upstreams. */
static int name_entries(struct entry *e)
{
	const struct settings_member *m = e->settings->entries.items;
	size_t n = e->settings->entries.n;
	struct str *names = calloc(n, sizeof(*names));
	int err;

	if (!names)
		return CF_ENOMEM;
	for (size_t i = 0; i < n; i++)
		names[i] = m[i].name;
	err = router_entries(front_router(e->front), names, n, clock_us());
	free(names);
	return err;
}

/* Starts the entry role. The settings must stay valid. */
int entry_new(struct ev_loop *loop, struct settings *settings, struct metric_set *metrics,
	      struct server_limits *limits, struct entry **out)
{
	struct entry *e = calloc(1, sizeof(*e));
	int err;

	if (!e)
		return CF_ENOMEM;
	e->loop = loop;
	e->settings = settings;
	e->metrics = metrics;
	e->limits = limits;
	e->started_us = clock_us();
	/* A restarted process has a larger one than before, or member_join raises it. */
	e->incarnation = (uint64_t)clock_wall_us();
	ev_timer_init(&e->drain_timer, on_drain_timer, 0, 0);
	e->drain_timer.data = e;
	ev_timer_init(&e->trim_timer, on_trim_timer, TRIM_PERIOD_S, TRIM_PERIOD_S);
	err = make_parts(e);
	if (!err)
		err = name_entries(e);
	if (!err)
		err = make_servers(e);
	if (err) {
		entry_free(e);
		return err;
	}
	ev_timer_start(loop, &e->trim_timer);
	*out = e;
	return 0;
}

void entry_free(struct entry *e)
{
	if (!e)
		return;
	ev_timer_stop(e->loop, &e->drain_timer);
	ev_timer_stop(e->loop, &e->trim_timer);
	if (e->watch)
		entry_watch_end_waits(e->watch);
	http_server_free(e->control);
	rpc_server_free(e->rpc);
	spread_free(e->spread);
	poll_relay_free(e->polls);
	entry_watch_free(e->watch);
	front_free(e->front);
	leader_client_destroy(&e->leader);
	free(e);
}
