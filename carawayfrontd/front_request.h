#ifndef CARAWAYFRONTD_FRONT_REQUEST_H
#define CARAWAYFRONTD_FRONT_REQUEST_H

#include <uthash.h>

#include "carawayfrontd/front.h"
#include "carawayfrontd/leader_client.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "proto/command.h"

/* Step that failed before anything was sent. */
enum front_step { FRONT_NONE, FRONT_SEND, FRONT_CLAIM };

/* Outcome of an earlier request that the claim store returned. */
struct stored_outcome {
	unsigned int status;
	struct buf content_type;
	struct buf body;
};

/* A request of a caller, until it is answered and its last send has ended. */
struct front_request {
	struct http_call call; /* the send to an upstream */
	struct leader_call claim_call;
	struct leader_call end_call; /* done, unknown or abort of the claim */
	struct front *front;
	UT_hash_handle hh;
	uint64_t id;
	struct http_request *http; /* NULL once the caller was answered */
	int64_t started_us;
	int64_t deadline_us;
	struct str team; /* views into path */
	struct str service;
	char *path;
	struct buf key;
	char method[16];
	unsigned char hash[CMD_HASH];
	uint64_t identity;    /* of an idempotent request with a key, else 0 */
	uint64_t incarnation; /* of this process when the key was claimed */
	bool idempotent;
	enum router_class class;
	/* Valid while the router handles the end of a send. */
	const struct http_result *result;
	struct stored_outcome stored;
	enum front_step failed_step; /* reported from the loop, see front_defer() */
	int failed_err;
	struct front_request *next_failed;
	struct front_request *next_answered;
	bool is_answered; /* in the list of answered requests */
};

struct front {
	struct front_options opt;
	struct router_host host;
	struct http_server_host server_host;
	struct http_server *server;
	struct http_client *client;
	struct router *router;
	const struct conf_view *view;
	struct ev_timer timer;
	struct ev_prepare prepare;
	struct front_request *requests; /* by id */
	struct front_request *failed;
	struct front_request *answered; /* to be released before the loop sleeps */
	uint64_t next_id;
	bool draining;
};

struct front_request *front_find(struct front *f, uint64_t id);
void front_release(struct front_request *r);
void front_defer(struct front_request *r, enum front_step step, int err);

void front_on_request(struct http_server_host *host, struct http_request *http);
void front_send(struct router_host *host, uint64_t request, uint64_t upstream);
void front_finish(struct router_host *host, uint64_t request,
		  const struct router_outcome *outcome);
void front_claim(struct router_host *host, uint64_t request);
void front_claim_done(struct router_host *host, uint64_t request);
void front_claim_unknown(struct router_host *host, uint64_t request);
void front_claim_abort(struct router_host *host, uint64_t request);

#endif
