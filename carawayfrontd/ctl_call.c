#include "carawayfrontd/ctl_call.h"

#include <stdlib.h>

#include "base/err.h"
#include "carawayfrontd/ctl_reply.h"
#include "carawayfrontd/leader_propose.h"
#include "proto/codec.h"

#define PROPOSE_TIMEOUT 8.0 /* seconds; covers an election */
#define READ_TIMEOUT 5.0

struct ctl_call {
	struct leader_call base;
	struct http_request *req;
	const struct ctl_call_ops *ops;
};

static void on_done(struct leader_call *call, int err, struct str results)
{
	struct ctl_call *c = (struct ctl_call *)call;

	c->ops->done(c->req, err, results);
	free(c);
}

static const struct leader_call_ops leader_ops = {.done = on_done};

/* Starts a call to the leader whose end answers the request. */
int ctl_call_start(struct leader_client *leader, struct http_request *req, uint32_t proc,
		   struct str args, double timeout, const struct ctl_call_ops *ops)
{
	struct ctl_call *c = calloc(1, sizeof(*c));
	int err;

	if (!c)
		return CF_ENOMEM;
	c->base.ops = &leader_ops;
	c->req = req;
	c->ops = ops;
	err = leader_call_start(leader, &c->base, proc, args, timeout, LEADER_ATTEMPT);
	if (err)
		free(c);
	return err;
}

/* Sends a command to the leader. */
int ctl_propose(struct leader_client *leader, struct http_request *req,
		const struct command_body *body, const struct ctl_call_ops *ops)
{
	struct ctl_call *c = calloc(1, sizeof(*c));
	int err;

	if (!c)
		return CF_ENOMEM;
	c->base.ops = &leader_ops;
	c->base.drop_late = true;
	c->req = req;
	c->ops = ops;
	err = leader_propose(leader, &c->base, body, PROPOSE_TIMEOUT);
	if (err)
		free(c);
	return err;
}

/* Answers with the result of a command: {"revision":N,...} or an error. */
void ctl_reply_result(struct http_request *req, int err, struct str results)
{
	struct peer_propose_res res = {0};
	struct command_result result = {0};
	struct str detail;
	json_t *j;

	if (!err)
		err = codec_decode((xdrproc_t)xdr_peer_propose_res, &res, results);
	if (!err && res.err)
		err = res.err;
	if (!err)
		err = codec_decode((xdrproc_t)xdr_command_result, &result,
				   XDR_STR(res, result));
	if (err) {
		ctl_reply_err(req, err,
			      err == CF_EUNKNOWN
				      ? STR("the change may have been accepted; send it "
					    "again with the same Request-Id")
				      : (struct str){NULL, 0});
		goto out;
	}
	detail = XDR_STR(result, detail);
	if (result.err) {
		j = json_pack("{s:s,s:I}", "error", cf_strerror(result.err), "revision",
			      (json_int_t)result.revision);
		if (j && result.err == CF_ECONFLICT)
			json_object_set_new(j, "text", ctl_json_str(detail));
		else if (j && detail.n)
			json_object_set_new(j, "detail", ctl_json_str(detail));
	} else {
		j = json_pack("{s:I}", "revision", (json_int_t)result.revision);
		if (j && detail.n)
			json_object_set_new(j, "name", ctl_json_str(detail));
	}
	ctl_reply_json(req, ctl_status(result.err), j);
out:
	codec_free((xdrproc_t)xdr_command_result, &result);
	codec_free((xdrproc_t)xdr_peer_propose_res, &res);
}

static void reply_read(struct http_request *req, int err, struct str results)
{
	const struct http_header h = {"Content-Type", STR("application/json")};
	struct peer_read_res res = {0};

	if (!err)
		err = codec_decode((xdrproc_t)xdr_peer_read_res, &res, results);
	if (!err)
		err = res.err;
	if (err)
		ctl_reply_err(req, err, (struct str){NULL, 0});
	else
		http_request_reply(req, 200, &h, 1, XDR_STR(res, body));
	codec_free((xdrproc_t)xdr_peer_read_res, &res);
}

static const struct ctl_call_ops read_ops = {.done = reply_read};

/* Asks the leader for a JSON text and answers with it. */
int ctl_read(struct leader_client *leader, struct http_request *req,
	     enum peer_read_kind kind, struct str team, struct str name)
{
	struct peer_read_args args = {.kind = kind};
	struct buf bytes = {0};
	int err;

	XDR_SET(args, team, team);
	XDR_SET(args, name, name);
	err = codec_encode((xdrproc_t)xdr_peer_read_args, &args, &bytes);
	if (!err)
		err = ctl_call_start(leader, req, PEER_READ, buf_str(&bytes),
				     READ_TIMEOUT, &read_ops);
	buf_free(&bytes);
	return err;
}
