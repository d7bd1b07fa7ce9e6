#ifndef CARAWAYFRONTD_STATE_IMPL_H
#define CARAWAYFRONTD_STATE_IMPL_H

#include <uthash.h>

#include "carawayfrontd/disk_host.h"
#include "carawayfrontd/member_id.h"
#include "carawayfrontd/settings.h"
#include "carawayfrontd/state.h"
#include "core/replica.h"
#include "core/sched.h"
#include "core/store.h"
#include "io/http_server.h"
#include "io/rpc_client.h"
#include "io/rpc_server.h"
#include "proto/command.h"
#include "proto/peer.h"

#define STATE_MAX_PEERS 9U

/* Another state process. */
struct state_peer {
	uint64_t id;
	struct str name;
	struct rpc_client *client;
};

/* A proposal of a call that waits for its entry to be applied. */
struct state_proposal {
	UT_hash_handle hh;
	uint64_t index;
	uint64_t epoch;
	struct rpc_call *call;
};

/* A WATCH call that waits for a change. */
struct state_watcher {
	struct state_watcher *next;
	struct rpc_call *call;
	uint64_t after;
	int64_t end_us;
};

struct state_leading; /* what exists only while this process leads */

struct state {
	struct disk_host disk; /* first member: the replica calls back */
	struct ev_loop *loop;
	struct settings *settings;
	struct metric_set *metrics;
	struct server_limits *limits;
	uint64_t id;
	struct state_peer peers[STATE_MAX_PEERS];
	size_t n_peers;
	struct replica *replica;
	struct store *store;
	struct rpc_server_host rpc_host;
	struct rpc_server *rpc;
	struct http_server_host control_host;
	struct http_server *control;
	struct ev_timer timer;
	struct ev_prepare prepare;
	struct state_proposal *proposals; /* by index */
	struct state_watcher *watchers;
	struct state_leading *leading; /* NULL unless this process may decide */
	bool conf_changed;
	uint64_t time_base_us; /* of commands, 0: not leading */
	int64_t time_start_us;
	bool draining;
	int failure;
};

int state_make_store(struct state *s);
struct str state_leader_name(const struct state *s);

/* Leadership and proposals. */
int state_propose(struct state *s, const struct command *cmd, uint64_t *index);
void state_end_proposals(struct state *s, int err);
void state_apply(struct replica_host *host, const struct replica_entry *entry);

/* Calls of other processes. */
void state_on_rpc(struct rpc_server_host *host, struct rpc_call *call);
void state_on_control(struct http_server_host *host, struct http_request *req);
void state_serve_watchers(struct state *s, bool all);
void state_watch(struct state *s, struct rpc_call *call);
void state_read(struct state *s, struct rpc_call *call);
void state_worker(struct state *s, struct rpc_call *call);

/* The scheduler and the list of live entry processes of the leader. */
int state_leading_start(struct state *s);
void state_leading_stop(struct state *s);
void state_leading_tick(struct state *s);
int64_t state_leading_deadline(const struct state *s);
void state_leading_applied(struct state *s, const struct command *cmd,
			   const struct command_result *result);
int state_leading_seen(struct state *s, struct str entry, uint64_t incarnation);

#endif
