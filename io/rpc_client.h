#ifndef IO_RPC_CLIENT_H
#define IO_RPC_CLIENT_H

#include <stdbool.h>

#include <ev.h>

#include "io/addr.h"

/* Probe period between replicas: silence is noticed after two election time-outs. */
#define REPLICA_PROBE_S 0.4
/* Of calls and posts to state processes, which a busy machine may keep waiting for
 * longer. */
#define STATE_PROBE_S 0.9

struct rpc_client;
struct rpc_waiter;

struct rpc_waiter_ops {
	/*
	 * The call ended: 0 with results, CF_EUNAVAIL (no connection came about; nothing
	 * was sent), CF_ECONN, CF_ETIMEOUT (both: the peer may have run it), CF_EAUTH,
	 * CF_EINVAL or CF_EIO. The waiter is free again.
	 */
	void (*done)(struct rpc_waiter *w, int err, struct str results);
};

/* One outstanding call; embedded in its user. */
struct rpc_waiter {
	const struct rpc_waiter_ops *ops;
	struct rpc_client *client; /* NULL when no call is outstanding */
	struct rpc_waiter *next, **prev;
	uint32_t xid;
	double deadline;
};

/* Told about the connection; embedded in its user. */
struct rpc_client_host {
	const struct rpc_client_ops *ops;
};

struct rpc_client_ops {
	/* Any may be NULL. */
	void (*up)(struct rpc_client_host *host);
	void (*down)(struct rpc_client_host *host);
	/*
	 * A connection ended or did not come about. The peer may not have read the posts
	 * that rpc_client_has_confirmed() does not tell now.
	 */
	void (*lost)(struct rpc_client_host *host);
	/*
	 * With a probe_period: a silent connection is replaced, the first since a reply
	 * was heard; and a reply is heard again, after so many were.
	 */
	void (*silent)(struct rpc_client_host *host);
	void (*heard)(struct rpc_client_host *host, unsigned int replaced);
};

struct rpc_client_options {
	struct ev_loop *loop;
	struct addr address;
	struct str member; /* own name and key; the caller keeps the bytes */
	struct str key;
	struct rpc_client_host *host; /* may be NULL */
	/*
	 * Seconds; 0: none. Calls the peer's null procedure at this period while
	 * something that was sent may not have arrived, and replaces a connection on
	 * which nothing is heard for some periods. For posts, which have no reply: a
	 * connection may have gone silent, and after a partition TCP repeats what was
	 * lost only after seconds.
	 */
	double probe_period;
	/*
	 * However the connection ends, by a kill of this process too, what the peer has
	 * not received is dropped. For calls that must not run once they are given up.
	 */
	bool drop_unsent;
};

int rpc_client_new(const struct rpc_client_options *opt, struct rpc_client **out);
int rpc_client_call(struct rpc_client *c, uint32_t proc, struct str args, double timeout,
		    struct rpc_waiter *w);
int rpc_client_post(struct rpc_client *c, uint32_t proc, struct str args);
uint32_t rpc_client_sent(const struct rpc_client *c);
bool rpc_client_has_confirmed(const struct rpc_client *c, uint32_t sent);
void rpc_client_disconnect(struct rpc_client *c);
void rpc_client_reset(struct rpc_client *c);
void rpc_waiter_cancel(struct rpc_waiter *w);
void rpc_client_free(struct rpc_client *c);

#endif
