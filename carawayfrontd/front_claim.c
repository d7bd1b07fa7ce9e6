#include <stddef.h>
#include <string.h>

#include "base/err.h"
#include "carawayfrontd/front_request.h"
#include "carawayfrontd/leader_propose.h"
#include "io/clock.h"
#include "proto/codec.h"
#include "proto/peer.h"

#define CLAIM_TIMEOUT_MIN 0.2 /* seconds */
#define CLAIM_END_TIMEOUT 30.0
/* Larger answers are not stored; a resend of their key is told "unknown". */
#define MAX_STORED_BODY 65536U

static struct front_request *request_of(struct router_host *host, uint64_t request)
{
	return front_find((struct front *)((char *)host - offsetof(struct front, host)),
			  request);
}

static void set_key(struct front_request *r, struct command_key *key)
{
	XDR_SET(*key, team, r->team);
	XDR_SET(*key, service, r->service);
	XDR_SET(*key, key, buf_str(&r->key));
}

static void set_owner(struct front_request *r, struct command_owner *owner)
{
	XDR_SET(*owner, entry, r->front->opt.settings->name);
	owner->incarnation = r->incarnation;
	owner->sequence = r->id;
}

/* Sends a command to the leader. */
static int propose(struct front_request *r, struct leader_call *call,
		   const struct command_body *body, double timeout)
{
	return leader_propose(r->front->opt.leader, call, body, timeout);
}

static void keep_outcome(struct front_request *r, const struct command_outcome *o)
{
	r->stored.status = o->status;
	buf_set(&r->stored.content_type, XDR_STR(*o, content_type));
	buf_set(&r->stored.body, XDR_STR(*o, body));
}

/*
 * Reads the result of a claim; CF_EEXIST when it holds an earlier outcome. A claim store
 * that did not answer gives CF_EUNAVAIL, which router_claimed() tells apart from a claim
 * whose outcome is unknown.
 */
static int read_claim_result(struct front_request *r, struct str bytes)
{
	struct peer_propose_res res = {0};
	struct command_result result = {0};
	int err;

	err = codec_decode((xdrproc_t)xdr_peer_propose_res, &res, bytes);
	if (!err && res.err)
		err = CF_EUNAVAIL;
	if (err)
		goto out;
	err = codec_decode((xdrproc_t)xdr_command_result, &result, XDR_STR(res, result));
	if (err)
		goto out;
	err = result.err;
	if (!err && result.outcome) {
		keep_outcome(r, result.outcome);
		err = CF_EEXIST;
	}
out:
	codec_free((xdrproc_t)xdr_command_result, &result);
	codec_free((xdrproc_t)xdr_peer_propose_res, &res);
	return err;
}

static void on_claimed(struct leader_call *call, int err, struct str results)
{
	struct front_request *r =
		(struct front_request *)((char *)call -
					 offsetof(struct front_request, claim_call));

	err = err ? CF_EUNAVAIL : read_claim_result(r, results);
	router_claimed(r->front->router, r->id, err, clock_us());
	front_release(r);
}

static const struct leader_call_ops claim_ops = {.done = on_claimed};

/* Router operation: makes the claim of the request's key durable. */
void front_claim(struct router_host *host, uint64_t request)
{
	struct front_request *r = request_of(host, request);
	struct command_body body = {.kind = CMD_CLAIM};
	struct command_claim *claim = &body.command_body_u.claim;
	double timeout;
	int err;

	if (!r)
		return;
	timeout = (double)(r->deadline_us - clock_us()) / 1e6;
	if (timeout < CLAIM_TIMEOUT_MIN)
		timeout = CLAIM_TIMEOUT_MIN;
	r->incarnation = *r->front->opt.incarnation;
	set_key(r, &claim->key);
	set_owner(r, &claim->owner);
	memcpy(claim->hash, r->hash, sizeof(r->hash));
	r->claim_call.ops = &claim_ops;
	err = propose(r, &r->claim_call, &body, timeout);
	if (err)
		front_defer(r, FRONT_CLAIM, err);
}

static void on_ended(struct leader_call *call, int err, struct str results)
{
	struct front_request *r =
		(struct front_request *)((char *)call -
					 offsetof(struct front_request, end_call));

	/* A claim that was not ended becomes "unknown" when this process is gone. */
	if (err)
		++*metric_counter(r->front->opt.metrics,
				  "carawayfront_claims_not_ended_total", "");
	front_release(r);
}

static const struct leader_call_ops end_ops = {.done = on_ended};

static void end_claim(struct front_request *r, const struct command_body *body)
{
	r->end_call.ops = &end_ops;
	if (propose(r, &r->end_call, body, CLAIM_END_TIMEOUT))
		++*metric_counter(r->front->opt.metrics,
				  "carawayfront_claims_not_ended_total", "");
}

/* Router operation: stores the complete response under the key. */
void front_claim_done(struct router_host *host, uint64_t request)
{
	struct front_request *r = request_of(host, request);
	struct command_body body = {.kind = CMD_CLAIM_DONE};
	struct command_claim_done *done = &body.command_body_u.claim_done;

	if (!r)
		return;
	if (!r->result || r->result->body.n > MAX_STORED_BODY) {
		front_claim_unknown(host, request);
		return;
	}
	set_key(r, &done->key);
	set_owner(r, &done->owner);
	done->outcome.status = r->result->status;
	XDR_SET(done->outcome, content_type,
		http_result_header(r->result, "Content-Type"));
	XDR_SET(done->outcome, body, r->result->body);
	end_claim(r, &body);
}

static void end_without_outcome(struct front_request *r, enum command_kind kind)
{
	struct command_body body = {.kind = kind};
	/* Both kinds have the same members. */
	struct command_claim_end *end = kind == CMD_CLAIM_ABORT
						? &body.command_body_u.claim_abort
						: &body.command_body_u.claim_unknown;

	if (!r)
		return;
	set_key(r, &end->key);
	set_owner(r, &end->owner);
	end_claim(r, &body);
}

/* Router operation: the request may have run. */
void front_claim_unknown(struct router_host *host, uint64_t request)
{
	end_without_outcome(request_of(host, request), CMD_CLAIM_UNKNOWN);
}

/* Router operation: the request did certainly not run. */
void front_claim_abort(struct router_host *host, uint64_t request)
{
	end_without_outcome(request_of(host, request), CMD_CLAIM_ABORT);
}
