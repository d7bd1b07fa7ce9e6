#include "carawayfrontd/poll_relay.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "carawayfrontd/ctl_reply.h"
#include "carawayfrontd/poll_digest.h"
#include "proto/codec.h"
#include "proto/peer.h"

/*
 * A poll is not repeated for long: the worker polls again, and the lease counts from
 * when the worker sent this one.
 */
#define POLL_TIMEOUT 1.0 /* seconds */
/*
 * Every so many polls of a worker are sent completely, with its measurements. The
 * others are tried as renewals; the leader refuses one whose state it does not know.
 */
#define FULL_EVERY 5U

struct poll_relay {
	struct leader_client *leader;
};

/* One poll under way. */
struct relayed_poll {
	struct leader_call call;
	struct poll_relay *relay;
	struct http_request *req;
	struct poll_digest digest;
	char name[PEER_MAX_NAME + 1];
	bool full;
};

static int send_poll(struct relayed_poll *poll, bool full);

static void on_reply(struct leader_call *call, int err, struct str results)
{
	const struct http_header h = {"Content-Type", STR("application/json")};
	struct relayed_poll *poll = (struct relayed_poll *)call;
	struct peer_worker_res res = {0};

	if (!err)
		err = codec_decode((xdrproc_t)xdr_peer_worker_res, &res, results);
	if (!err)
		err = res.err;
	/* The leader is new or knows another state of the worker. */
	if (err == CF_ENOENT && !poll->full && send_poll(poll, true) == 0)
		goto out;
	if (err)
		ctl_reply_err(poll->req, err, (struct str){NULL, 0});
	else
		http_request_reply(poll->req, 200, &h, 1, XDR_STR(res, body));
	free(poll);
out:
	codec_free((xdrproc_t)xdr_peer_worker_res, &res);
}

static const struct leader_call_ops call_ops = {.done = on_reply};

static int send_poll(struct relayed_poll *poll, bool full)
{
	struct peer_worker_args args = {
		.hash = poll->digest.hash,
		.seq = poll->digest.seq,
		.epoch = poll->digest.epoch,
		.full = full,
	};
	struct buf bytes = {0};
	int err;

	XDR_SET(args, name, str_from(poll->name));
	if (full)
		XDR_SET(args, body, buf_str(&poll->req->body));
	poll->full = full;
	poll->call.ops = &call_ops;
	err = codec_encode((xdrproc_t)xdr_peer_worker_args, &args, &bytes);
	if (!err)
		err = leader_call_start(poll->relay->leader, &poll->call, PEER_WORKER,
					buf_str(&bytes), POLL_TIMEOUT, LEADER_ATTEMPT);
	buf_free(&bytes);
	return err;
}

int poll_relay_new(struct leader_client *leader, struct poll_relay **out)
{
	struct poll_relay *p = calloc(1, sizeof(*p));

	if (!p)
		return CF_ENOMEM;
	p->leader = leader;
	*out = p;
	return 0;
}

/* Forwards the poll in req's body; the request is answered unless an error returns. */
int poll_relay_forward(struct poll_relay *p, struct http_request *req, struct str worker)
{
	struct relayed_poll *poll;
	int err;

	if (worker.n == 0 || worker.n > PEER_MAX_NAME)
		return CF_EINVAL;
	poll = calloc(1, sizeof(*poll));
	if (!poll)
		return CF_ENOMEM;
	poll->relay = p;
	poll->req = req;
	memcpy(poll->name, worker.p, worker.n);
	err = poll_digest_read(buf_str(&req->body), &poll->digest);
	if (!err)
		err = send_poll(poll, poll->digest.seq % FULL_EVERY == 0);
	if (err)
		free(poll);
	return err;
}

/* Polls under way must have ended. */
void poll_relay_free(struct poll_relay *p)
{
	free(p);
}
