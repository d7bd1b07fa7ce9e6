#ifndef CARAWAYFRONTD_CONTROLLER_IMPL_H
#define CARAWAYFRONTD_CONTROLLER_IMPL_H

#include <stddef.h>

#include "carawayfrontd/command_batch.h"
#include "carawayfrontd/controller.h"
#include "carawayfrontd/dag_client.h"
#include "carawayfrontd/disk_host.h"
#include "carawayfrontd/metrics_port.h"
#include "carawayfrontd/org_metrics.h"
#include "carawayfrontd/relay.h"
#include "core/dag_interface.h"
#include "core/replica.h"
#include "io/http_server.h"
#include "io/rpc_server.h"

#define CONTROLLER_MAX_PEERS 24U

struct controller_peer {
	struct rpc_client_host host; /* first member */
	struct controller *controller;
	uint64_t id;
	struct rpc_client *client;
};

/* A reply that waits until the commands behind it are applied. */
struct controller_wait {
	struct controller_wait *next;
	struct dag_pending_request *ticket;
	uint64_t index; /* 0: the batch is not proposed yet */
	uint64_t zone;	/* hash of the name, of an order for a zone; else 0 */
	bool zone_closed;
	bool is_withdrawal;
	bool is_submission;
	bool is_conf;
	uint64_t job; /* of a withdrawal or submission */
	uint64_t org; /* hash of the sender's organisation's name, 0: none */
};

/* An executor that announced its exit ends when it has the reply. */
struct controller_leave {
	struct controller_leave *next;
	struct dag_pending_request *ticket;
	uint32_t worker; /* number */
};

struct operators; /* platform/operators.h */

struct controller {
	struct disk_host disk;		 /* first member: the replica calls back */
	struct dag_host sched_host;	 /* of the scheduler */
	struct dag_transport_user user;	 /* of the transport */
	struct dag_request_handler port; /* requests of executors and operators */
	struct rpc_server_host rpc_host;
	struct ev_loop *loop;
	struct settings *settings;
	struct metric_set *metrics;
	struct server_limits *limits;
	uint64_t id;
	struct controller_peer peers[CONTROLLER_MAX_PEERS];
	size_t n_peers;
	size_t oldest_peer; /* once all places are taken */
	struct replica *replica;
	struct dag_state *state;
	struct dag_sched *sched;	 /* NULL unless this process leads */
	struct dag_transport *transport; /* calls of this process */
	struct relay *relay;		 /* calls through gateways */
	struct dag_client *client;
	struct rpc_server *rpc;
	struct operators *operators;
	struct metrics_port *metrics_port;
	struct org_metrics org_metrics;
	struct metrics_port_handler placement; /* of placement previews */
	int64_t preview_us;		       /* newest one */
	struct ev_timer timer;
	struct ev_prepare prepare;
	struct command_batch batch; /* of this round */
	struct controller_wait *waits;
	struct controller_wait **waits_end;
	struct controller_leave *leaves;
	struct dag_pending_request members_ticket;
	int64_t prepared_us;	 /* the loop went to sleep last */
	int64_t paused_until_us; /* what was read until then may have waited long */
	bool members_asked;
	int64_t members_at_us;
	char report_text[64];
	size_t next_reporter;
	int64_t drain_us; /* 0: not draining */
	int64_t leave_us; /* while draining: its end without a successor */
	bool handed_over;
	int failure;
	int64_t refusal_logged_us;  /* newest line of a failed authorisation */
	uint64_t refusals_unlogged; /* since then */
};

#define CONTROLLER_OF(pointer, member)                                               \
	((struct controller *)(void *)((char *)(pointer)-offsetof(struct controller, \
								  member)))

/* controller_replica.c */
int controller_open_replica(struct controller *c);
void controller_close_replica(struct controller *c);
void controller_on_replica(struct controller *c, struct str member, struct str bytes);
uint64_t controller_members(const struct controller *c, uint64_t *ids, size_t *n);

/* controller_request.c */
void controller_request(struct controller *c, const struct dag_request *req,
			double timeout, struct dag_pending_request *t);
void controller_note_pause(struct controller *c);
void controller_on_rpc(struct rpc_server_host *host, struct rpc_call *call);
int controller_propose(struct controller *c, const struct dag_command *cmd);
void controller_flush(struct controller *c);
void controller_applied(struct controller *c, uint64_t index);
void controller_answer_leaves(struct controller *c);
void controller_reject_leaves(struct controller *c);
void controller_end_waits(struct controller *c, enum dag_outcome outcome);
bool controller_leads(const struct controller *c);

void controller_reply(struct dag_pending_request *t, enum dag_outcome outcome);
void controller_propose_and_wait(struct controller *c, const struct dag_command *cmd,
				 const struct controller_wait *about,
				 struct dag_pending_request *t);

/* controller_caller.c */
void controller_serve_caller(struct controller *c, const struct dag_request *req,
			     struct dag_pending_request *t);
enum dag_outcome controller_applied_outcome(const struct controller *c,
					    const struct controller_wait *w);

/* controller_org.c */
uint64_t controller_org_hash(const struct dag_org *org);
bool controller_authorize(struct controller *c, const struct dag_queue *q,
			  const struct dag_credential *credential,
			  struct dag_org **owner);
/* controller_placement.c */
void controller_placement_init(struct controller *c);

/* controller_sched.c */
struct dag_transport *controller_transport(const struct controller *c);
int controller_sched_start(struct controller *c);
void controller_sched_stop(struct controller *c);
void controller_sched_init(struct controller *c);

#endif
