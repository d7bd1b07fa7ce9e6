/* The gateways that the relay knows, their connections, and which one calls a worker. */
#include <stdlib.h>

#include "base/err.h"
#include "carawayfrontd/node_id.h"
#include "carawayfrontd/relay_impl.h"
#include "io/clock.h"
#include "io/log.h"
#include "proto/codec.h"

#define AVOID_S 2.0	   /* after a gateway did not answer a call */
#define PROBE_PERIOD_S 0.4 /* a gateway's connection is silent after three of them */
/* Failed calls before another gateway calls a worker: connections are few. */
#define FAILURES_A_TURN 3U
/* With fewer gateways the leader itself can make the calls of those that it avoids. */
#define PANIC_MIN 4U

struct relay_agent *relay_find_agent(struct relay *r, uint64_t id)
{
	for (size_t i = 0; i < r->n_agents; i++)
		if (r->agents[i].id == id)
			return &r->agents[i];
	return NULL;
}

/* Ends the calls of a gateway that it may not have read, at the next sweep. */
static void lose_calls(struct relay *r, const struct relay_agent *a)
{
	for (struct relay_call *c = r->calls; c; c = c->hh.next)
		if (c->agent == a->id && !rpc_client_has_confirmed(a->client, c->sent))
			c->lost = true;
}

/* The same for those that could not be handed to its connection. */
void relay_lose_unsent_calls(struct relay *r, const struct relay_agent *a)
{
	uint32_t next = rpc_client_sent(a->client) + 1;

	for (struct relay_call *c = r->calls; c; c = c->hh.next)
		if (c->agent == a->id && c->sent == next)
			c->lost = true;
}

static void on_agent_lost(struct rpc_client_host *h)
{
	struct relay_agent *a = (struct relay_agent *)h;

	a->down = true;
	a->connecting = false;
	lose_calls(a->relay, a);
}

static void on_agent_up(struct rpc_client_host *h)
{
	((struct relay_agent *)h)->down = false;
}

/* A process that hangs takes connections as well, so that only its answer counts. */
static void on_agent_silent(struct rpc_client_host *h)
{
	((struct relay_agent *)h)->silent = true;
	log_info("gateway-silent", "gateway=%llx reason=\"connection replaced\"",
		 (unsigned long long)((struct relay_agent *)h)->id);
}

static void on_agent_heard(struct rpc_client_host *h, unsigned int replaced)
{
	((struct relay_agent *)h)->silent = false;
	log_info("gateway-heard", "gateway=%llx connections=%u",
		 (unsigned long long)((struct relay_agent *)h)->id, replaced);
}

static const struct rpc_client_ops agent_ops = {
	.up = on_agent_up,
	.lost = on_agent_lost,
	.silent = on_agent_silent,
	.heard = on_agent_heard,
};

/* Makes a new connection to a gateway; what the old one still holds is dropped. */
int relay_connect_agent(struct relay *r, struct relay_agent *a)
{
	struct rpc_client_options opt = {
		.host = &a->host,
		.probe_period = PROBE_PERIOD_S,
		.loop = r->opt.loop,
		.member = r->opt.settings->name,
		.key = r->opt.settings->cluster_key,
		.drop_unsent = true,
	};

	rpc_client_free(a->client);
	a->client = NULL;
	a->down = false;
	a->silent = false;
	a->connecting = false;
	if (node_addr(a->id, &opt.address))
		return CF_EINVAL;
	return rpc_client_new(&opt, &a->client);
}

/* A gateway that was not heard for long makes room for a new one. */
struct relay_agent *relay_new_agent(struct relay *r, uint64_t id)
{
	struct relay_agent *a = NULL;

	for (size_t i = 0; i < r->n_agents && !a; i++)
		if (clock_s() - r->agents[i].heard > 10 * ALIVE_S)
			a = &r->agents[i];
	if (a) {
		rpc_client_free(a->client);
		buf_free(&a->batch);
	} else if (r->n_agents < MAX_AGENTS) {
		a = &r->agents[r->n_agents++];
	} else {
		return NULL;
	}
	*a = (struct relay_agent){.host = {.ops = &agent_ops}, .relay = r, .id = id};
	if (relay_connect_agent(r, a)) {
		a->id = 0;
		return NULL;
	}
	return a;
}

static bool is_heard(const struct relay_agent *a, double now)
{
	return a->id && !a->down && !a->silent && now - a->heard < ALIVE_S;
}

static bool is_avoided(const struct relay_agent *a, double now)
{
	return now < a->avoid_until;
}

/*
 * Finds out whether no gateway is avoided, as most of them would be. The cause is then
 * hardly theirs, and the calls of all workers would be too many for the others.
 */
void relay_check_panic(struct relay *r)
{
	double now = clock_s();
	size_t heard = 0;
	size_t avoided = 0;

	for (size_t i = 0; i < r->n_agents; i++) {
		if (!is_heard(&r->agents[i], now))
			continue;
		heard++;
		avoided += is_avoided(&r->agents[i], now);
	}
	r->panic = heard >= PANIC_MIN && 2 * avoided > heard;
}

/* Sends no calls through a gateway for a while, unless most are avoided. */
void relay_avoid_agent(struct relay *r, struct relay_agent *a, const char *reason)
{
	double now = clock_s();

	if (now >= a->avoid_until)
		log_info("gateway-avoided", "gateway=%llx reason=\"%s\" heard_ms=%d",
			 (unsigned long long)a->id, reason,
			 (int)((now - a->heard) * 1000));
	a->avoid_until = now + AVOID_S;
}

static uint32_t path_changes(struct relay *r, uint32_t worker)
{
	struct relay_path *p;

	HASH_FIND(hh, r->paths, &worker, sizeof(worker), p);
	return p ? p->turns : 0;
}

/* The next call to a worker goes through another gateway. */
void relay_change_path(struct relay *r, uint32_t worker)
{
	struct relay_path *p;

	HASH_FIND(hh, r->paths, &worker, sizeof(worker), p);
	if (!p) {
		p = calloc(1, sizeof(*p));
		if (!p)
			return;
		p->worker = worker;
		HASH_ADD(hh, r->paths, worker, sizeof(p->worker), p);
	}
	p->turns++;
}

/* Splits the workers of a zone evenly and stably over its gateways. */
static uint64_t rendezvous_weight(uint32_t worker, uint32_t turns, uint64_t agent)
{
	uint64_t x = agent ^ ((uint64_t)worker << 32 | turns) * 0x9e3779b97f4a7c15ULL;

	x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ x >> 27) * 0x94d049bb133111ebULL;
	return x ^ x >> 31;
}

/* A gateway of the worker's zone, else any; NULL: none is there. */
struct relay_agent *relay_choose_agent(struct relay *r, uint32_t worker)
{
	const struct dag_worker_rec *rec = dag_state_find_worker(r->opt.state, worker);
	uint32_t turns = path_changes(r, worker) / FAILURES_A_TURN;
	struct relay_agent *best = NULL;
	uint64_t best_weight = 0;
	bool best_near = false;
	double now = clock_s();

	for (size_t i = 0; rec && i < r->n_agents; i++) {
		struct relay_agent *a = &r->agents[i];
		uint64_t points = rendezvous_weight(worker, turns, a->id);
		bool near = str_eq(str_from(a->zone), XDR_STR(rec->w, zone));

		/* Every other path leads through any zone: a zone may be cut off. */
		if (turns % 2)
			near = false;
		if (!is_heard(a, now) || (is_avoided(a, now) && !r->panic))
			continue;
		if (best && best_near && !near)
			continue;
		if (best && best_near == near && points < best_weight)
			continue;
		best = a;
		best_near = near;
		best_weight = points;
	}
	return best;
}
