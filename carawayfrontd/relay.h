#ifndef CARAWAYFRONTD_RELAY_H
#define CARAWAYFRONTD_RELAY_H

#include <ev.h>

#include "carawayfrontd/settings.h"
#include "core/dag_interface.h"

/* RPC procedures of the relay: calls to a gateway, answers to the leader. */
#define RELAY_PROC_CALLS 17U
#define RELAY_PROC_ANSWERS 18U

/*
 * The leader's transport for a large fleet: gateways make the calls to the workers of
 * their availability zone, so that the leader neither holds the connections nor reads
 * the lists. A gateway decides nothing; orders carry epoch and lease as ever.
 */
struct relay;

struct relay_options {
	struct ev_loop *loop;
	const struct settings *settings; /* stays valid */
	struct dag_state *state;
	struct dag_transport *direct; /* used while there is no gateway */
	struct dag_transport_user *user;
	uint64_t self;
};

int relay_new(const struct relay_options *opt, struct relay **out);
void relay_free(struct relay *r);
struct dag_transport *relay_transport(struct relay *r);
void relay_agent(struct relay *r, const struct dag_agent *agent);
void relay_answers(struct relay *r, struct str bytes);
/* Sends what was collected in this round. */
void relay_flush(struct relay *r);
/* Forgets outstanding calls; after the loss of leadership. */
void relay_clear(struct relay *r);

#endif
