#ifndef CARAWAYFRONTD_DAG_CLIENT_H
#define CARAWAYFRONTD_DAG_CLIENT_H

#include "carawayfrontd/settings.h"
#include "core/dag_interface.h"
#include "io/rpc_client.h"

#define DAG_CLIENT_NODES 24U

/* RPC procedure of dag requests. */
#define DAG_PROC_REQUEST 16U

/* Sends requests to the leading controller, which it finds through any controller. */
struct dag_client;

struct dag_client_options {
	struct ev_loop *loop;
	const struct settings *settings; /* stays valid */
	uint64_t self;			 /* never called; 0: not a controller */
};

int dag_client_new(const struct dag_client_options *opt, struct dag_client **out);
void dag_client_free(struct dag_client *c);
/* done() of the ticket is called once, with DAG_UNKNOWN or DAG_REJECTED in time. */
void dag_client_request(struct dag_client *c, const struct dag_request *req,
			double timeout, struct dag_pending_request *t);
void dag_client_learn(struct dag_client *c, uint64_t leader, const uint64_t *members,
		      size_t n);
bool dag_request_has_effect(enum dag_request_kind kind);
uint64_t dag_client_leader(const struct dag_client *c);
/* Seconds of the loop at which the leader answered last; 0: never. */
double dag_client_heard(const struct dag_client *c);
size_t dag_client_nodes(const struct dag_client *c, uint64_t *ids, size_t max);

#endif
