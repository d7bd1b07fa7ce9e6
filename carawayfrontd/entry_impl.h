#ifndef CARAWAYFRONTD_ENTRY_IMPL_H
#define CARAWAYFRONTD_ENTRY_IMPL_H

#include "carawayfrontd/entry.h"
#include "carawayfrontd/entry_watch.h"
#include "carawayfrontd/front.h"
#include "carawayfrontd/leader_client.h"
#include "carawayfrontd/poll_relay.h"
#include "carawayfrontd/spread.h"
#include "io/http_server.h"
#include "io/rpc_server.h"

struct entry {
	struct ev_loop *loop;
	struct settings *settings;
	struct metric_set *metrics;
	struct server_limits *limits;
	uint64_t incarnation;
	uint64_t request_ids; /* made for operators who sent none */
	struct leader_client leader;
	struct front *front;
	struct entry_watch *watch;
	struct spread *spread;
	struct poll_relay *polls;
	struct http_server_host control_host;
	struct http_server *control;
	struct rpc_server_host rpc_host;
	struct rpc_server *rpc;
	struct ev_timer drain_timer;
	struct ev_timer trim_timer;
	int64_t started_us;
	int64_t drain_end_us; /* 0: not draining */
};

/* Health of this process for the load balancer; reason is a static text. */
bool entry_healthy(const struct entry *e, const char **reason);

void entry_on_control(struct http_server_host *host, struct http_request *req);
void entry_on_rpc(struct rpc_server_host *host, struct rpc_call *call);
void entry_export_metrics(struct entry *e);

/* Groups of calls on the control port; rest is the path behind the group's prefix. */
void entry_conf_api(struct entry *e, struct http_request *req, struct str rest);
void entry_job_api(struct entry *e, struct http_request *req, struct str rest);
void entry_upstream_api(struct entry *e, struct http_request *req, struct str rest);
void entry_worker_api(struct entry *e, struct http_request *req, struct str rest);

#endif
