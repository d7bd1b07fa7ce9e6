#ifndef CARAWAYFRONTD_CTL_CALL_H
#define CARAWAYFRONTD_CTL_CALL_H

#include "carawayfrontd/leader_client.h"
#include "io/http_server.h"
#include "proto/command.h"
#include "proto/peer.h"

/* A control request that waits for an answer of the leader. */
struct ctl_call;

struct ctl_call_ops {
	/* Answers the request; err as in leader_call_ops. */
	void (*done)(struct http_request *req, int err, struct str results);
};

int ctl_call_start(struct leader_client *leader, struct http_request *req, uint32_t proc,
		   struct str args, double timeout, const struct ctl_call_ops *ops);
int ctl_propose(struct leader_client *leader, struct http_request *req,
		const struct command_body *body, const struct ctl_call_ops *ops);
int ctl_read(struct leader_client *leader, struct http_request *req,
	     enum peer_read_kind kind, struct str team, struct str name);
void ctl_reply_result(struct http_request *req, int err, struct str results);

#endif
