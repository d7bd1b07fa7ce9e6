#include <string.h>

#include "base/err.h"
#include "carawayfrontd/ctl_call.h"
#include "carawayfrontd/ctl_reply.h"
#include "carawayfrontd/entry_impl.h"
#include "proto/codec.h"

/*
 * A poll is not repeated for long: the worker polls again, and the lease counts from
 * when the worker sent this one.
 */
#define POLL_TIMEOUT 1.0 /* seconds */

static void reply_poll(struct http_request *req, int err, struct str results)
{
	const struct http_header h = {"Content-Type", STR("application/json")};
	struct peer_worker_res res = {0};

	if (!err)
		err = codec_decode((xdrproc_t)xdr_peer_worker_res, &res, results);
	if (!err)
		err = res.err;
	if (err)
		ctl_reply_err(req, err, XDR_STR(res, body));
	else
		http_request_reply(req, 200, &h, 1, XDR_STR(res, body));
	codec_free((xdrproc_t)xdr_peer_worker_res, &res);
}

static const struct ctl_call_ops poll_ops = {.done = reply_poll};

static int forward_poll(struct entry *e, struct http_request *req, struct str name)
{
	struct peer_worker_args args = {0};
	struct buf bytes = {0};
	int err;

	XDR_SET(args, name, name);
	XDR_SET(args, body, buf_str(&req->body));
	err = codec_encode((xdrproc_t)xdr_peer_worker_args, &args, &bytes);
	if (!err)
		err = ctl_call_start(&e->leader, req, PEER_WORKER, buf_str(&bytes),
				     POLL_TIMEOUT, &poll_ops);
	buf_free(&bytes);
	return err;
}

/* Serves POST /v1/workers/NAME, GET /v1/workers and GET /v1/members. */
void entry_worker_api(struct entry *e, struct http_request *req, struct str rest)
{
	struct str none = {NULL, 0};
	int err = CF_EINVAL;

	if (strcmp(req->method, "POST") == 0 && rest.n > 1 && rest.p[0] == '/')
		err = forward_poll(e, req, (struct str){rest.p + 1, rest.n - 1});
	else if (strcmp(req->method, "GET") == 0 && rest.n == 0)
		err = ctl_read(&e->leader, req,
			       strcmp(req->path, "/v1/members") == 0 ? PEER_READ_MEMBERS
								     : PEER_READ_WORKERS,
			       none, none);
	if (err)
		ctl_reply_err(req, err, none);
}
