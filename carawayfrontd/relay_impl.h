#ifndef CARAWAYFRONTD_RELAY_IMPL_H
#define CARAWAYFRONTD_RELAY_IMPL_H

#include <uthash.h>

#include "carawayfrontd/relay.h"
#include "io/rpc_client.h"

/* The parts of the relay; for relay*.c only. */

#define MAX_AGENTS 128U
#define ALIVE_S 1.6 /* a gateway reports every 0.5 s */
#define ZONE_MAX 64U

/* A gateway. */
struct relay_agent {
	struct rpc_client_host host; /* first member */
	struct relay *relay;
	uint64_t id;
	uint64_t life; /* of its process */
	char zone[ZONE_MAX];
	struct rpc_client *client;
	int64_t clock_offset_us; /* its clock is ahead of ours by this or more */
	double heard;
	double avoid_until;
	bool down;	  /* its connection has ended and no new one has opened */
	bool silent;	  /* a connection was silent, nothing was heard since */
	bool connecting;  /* a new one was begun */
	struct buf batch; /* encoded calls of this round */
	uint32_t n_batch;
};

/* A call whose answer has not come. */
struct relay_call {
	UT_hash_handle hh;
	uint64_t id;
	enum dag_call_kind kind;
	uint32_t worker;
	struct dag_task_ref task;
	uint32_t run;
	uint64_t agent;
	uint32_t sent; /* number of a post that is not after its own */
	bool lost;     /* it may not have reached the gateway */
	double deadline;
	bool no_reply; /* its result is not reported */
};

/* How often the path to a worker was changed. */
struct relay_path {
	UT_hash_handle hh;
	uint32_t worker;
	uint32_t turns;
};

struct relay {
	struct dag_transport transport; /* first member */
	struct relay_options opt;
	struct relay_agent agents[MAX_AGENTS];
	size_t n_agents;
	struct relay_call *calls;
	struct relay_path *paths;
	uint64_t next_id;
	bool panic;	   /* as of the last round of the loop: no gateway is avoided */
	unsigned int late; /* answers to calls that were given up, not logged yet */
	double late_logged;
	struct ev_timer sweep;
};

/* relay_agent.c */
struct relay_agent *relay_find_agent(struct relay *r, uint64_t id);
struct relay_agent *relay_new_agent(struct relay *r, uint64_t id);
int relay_connect_agent(struct relay *r, struct relay_agent *a);
void relay_check_panic(struct relay *r);
void relay_avoid_agent(struct relay *r, struct relay_agent *a, const char *reason);
struct relay_agent *relay_choose_agent(struct relay *r, uint32_t worker);
void relay_change_path(struct relay *r, uint32_t worker);
void relay_lose_unsent_calls(struct relay *r, const struct relay_agent *a);

#endif
