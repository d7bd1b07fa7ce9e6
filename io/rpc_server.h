#ifndef IO_RPC_SERVER_H
#define IO_RPC_SERVER_H

#include <ev.h>

#include "io/addr.h"
#include "io/server_limits.h"

/*
 * A peer whose connection went silent makes a new one and never ends the old one. 400
 * peers that do so three times in 5 s leave 2,400 of the 3,900 descriptors in use.
 */
#define RPC_IDLE_S 10.0

/* Connections that have not shown the cluster key, without a setting. */
#define RPC_MAX_UNAUTHENTICATED 256U

struct rpc_server;
struct rpc_conn;

/*
 * A call that waits for its reply. Handlers keep it until rpc_call_reply() or
 * rpc_call_drop(); it outlives its connection.
 */
struct rpc_call {
	struct rpc_conn *conn; /* NULL once the connection has ended */
	struct rpc_call *next, **prev;
	uint32_t xid;
	uint32_t proc;
	struct str member; /* valid only while the handler runs, like args */
	struct str args;
};

struct rpc_server_host;

struct rpc_server_ops {
	void (*call)(struct rpc_server_host *host, struct rpc_call *call);
};

struct rpc_server_host {
	const struct rpc_server_ops *ops;
};

struct rpc_server_options {
	struct ev_loop *loop;
	struct rpc_server_host *host;
	struct addr address;
	struct str key; /* cluster key that callers must show */
	/*
	 * Seconds without a byte in either direction after which a connection is ended,
	 * and with it the calls that wait for their replies; 0: RPC_IDLE_S. Longer than
	 * a caller waits for a reply.
	 */
	double idle_timeout;
	struct server_limits *limits; /* of the process; NULL: the defaults here */
};

struct rpc_server_stats {
	uint64_t calls;
	uint64_t refused;   /* wrong credential */
	uint64_t malformed; /* connections closed for a bad record */
	uint64_t abandoned; /* calls whose caller had gone, as handlers found */
	uint64_t strangers; /* connections that were ended without the cluster key */
	uint64_t idle;	    /* connections that were ended as nothing moved on them */
	uint64_t bytes_in;
	uint64_t bytes_out;
};

int rpc_server_new(const struct rpc_server_options *opt, struct rpc_server **out);
void rpc_call_reply(struct rpc_call *call, int err, struct str results);
void rpc_call_drop(struct rpc_call *call);
bool rpc_call_is_abandoned(const struct rpc_call *call);
const struct rpc_server_stats *rpc_server_stats(const struct rpc_server *s);
void rpc_server_free(struct rpc_server *s);

#endif
