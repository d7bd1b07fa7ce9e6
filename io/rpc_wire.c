#include "io/rpc_wire.h"

#include <arpa/inet.h>
#include <rpc/rpc.h>
#include <string.h>

#include "base/err.h"
#include "proto/codec.h"
#include "proto/peer.h"

#define LAST_FRAGMENT 0x80000000U
#define HEAD_MAX 1024U /* bytes of a message header with the largest credential */

static bool_t no_results(XDR *xdrs, ...)
{
	return TRUE;
}

/* Appends header and body as one record of one fragment. */
static int add_record(struct buf *out, struct str head, struct str body)
{
	uint32_t mark;
	int err;

	if (head.n + body.n > RPC_MAX_RECORD)
		return CF_ETOOBIG;
	mark = htonl(LAST_FRAGMENT | (uint32_t)(head.n + body.n));
	err = buf_reserve(out, RPC_MARK_BYTES + head.n + body.n);
	if (err)
		return err;
	buf_add(out, &mark, RPC_MARK_BYTES);
	buf_add(out, head.p, head.n);
	return buf_add(out, body.p, body.n);
}

/* Appends one call. args is the XDR form of the arguments. */
int rpc_wire_add_call(struct buf *out, const struct rpc_call_head *head, struct str args)
{
	char bytes[HEAD_MAX];
	struct buf cred_bytes = {0};
	struct peer_cred cred = {0};
	struct rpc_msg msg = {0};
	XDR xdrs;
	int err;

	if (head->member.n) {
		XDR_SET(cred, member, head->member);
		XDR_SET(cred, key, head->key);
		err = codec_encode((xdrproc_t)xdr_peer_cred, &cred, &cred_bytes);
		if (err)
			goto out;
		msg.rm_call.cb_cred.oa_flavor = (enum_t)RPC_CRED_FLAVOR;
	}
	msg.rm_xid = head->xid;
	msg.rm_direction = CALL;
	msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	msg.rm_call.cb_prog = RPC_PROGRAM;
	msg.rm_call.cb_vers = RPC_VERSION;
	msg.rm_call.cb_proc = head->proc;
	msg.rm_call.cb_cred.oa_base = cred_bytes.p;
	msg.rm_call.cb_cred.oa_length = (u_int)cred_bytes.n;
	msg.rm_call.cb_verf.oa_flavor = AUTH_NONE;
	xdrmem_create(&xdrs, bytes, sizeof(bytes), XDR_ENCODE);
	if (xdr_callmsg(&xdrs, &msg))
		err = add_record(out, (struct str){bytes, xdr_getpos(&xdrs)}, args);
	else
		err = CF_EINVAL;
	xdr_destroy(&xdrs);
out:
	buf_free(&cred_bytes);
	return err;
}

/* Appends one reply; results is empty unless head->err is 0. */
int rpc_wire_add_reply(struct buf *out, const struct rpc_reply_head *head,
		       struct str results)
{
	char bytes[HEAD_MAX];
	struct rpc_msg msg = {0};
	XDR xdrs;
	int err;

	msg.rm_xid = head->xid;
	msg.rm_direction = REPLY;
	if (head->err == CF_EAUTH) {
		msg.rm_reply.rp_stat = MSG_DENIED;
		msg.rjcted_rply.rj_stat = AUTH_ERROR;
		msg.rjcted_rply.rj_why = AUTH_BADCRED;
	} else {
		msg.rm_reply.rp_stat = MSG_ACCEPTED;
		msg.acpted_rply.ar_verf.oa_flavor = AUTH_NONE;
		msg.acpted_rply.ar_results.proc = no_results;
		if (head->err == 0)
			msg.acpted_rply.ar_stat = SUCCESS;
		else if (head->err == CF_EINVAL)
			msg.acpted_rply.ar_stat = GARBAGE_ARGS;
		else
			msg.acpted_rply.ar_stat = SYSTEM_ERR;
	}
	xdrmem_create(&xdrs, bytes, sizeof(bytes), XDR_ENCODE);
	if (xdr_replymsg(&xdrs, &msg))
		err = add_record(out, (struct str){bytes, xdr_getpos(&xdrs)}, results);
	else
		err = CF_EINVAL;
	xdr_destroy(&xdrs);
	return err;
}

/*
 * Finds the first whole record. *used is 0 when more bytes are needed. CF_ETOOBIG
 * for a record above the limit, CF_EMALFORMED for a record of several fragments,
 * which this program never sends.
 */
int rpc_wire_next(struct str input, struct str *record, size_t *used)
{
	uint32_t mark;
	uint32_t n;

	*used = 0;
	if (input.n < RPC_MARK_BYTES)
		return 0;
	memcpy(&mark, input.p, RPC_MARK_BYTES);
	mark = ntohl(mark);
	if (!(mark & LAST_FRAGMENT))
		return CF_EMALFORMED;
	n = mark & ~LAST_FRAGMENT;
	if (n > RPC_MAX_RECORD)
		return CF_ETOOBIG;
	if (input.n - RPC_MARK_BYTES < n)
		return 0;
	*record = (struct str){input.p + RPC_MARK_BYTES, n};
	*used = RPC_MARK_BYTES + n;
	return 0;
}

/*
 * Decodes a call header. CF_EMALFORMED when it is not a call of this program and
 * version, CF_EAUTH when the credential is of another kind. The member is empty when
 * the call has no credential.
 */
int rpc_wire_parse_call(struct str record, struct rpc_cred_space *space,
			struct rpc_call_head *head, struct str *args)
{
	char cred_bytes[MAX_AUTH_BYTES];
	char verf_bytes[MAX_AUTH_BYTES];
	struct peer_cred cred = {0};
	struct rpc_msg msg = {0};
	struct opaque_auth *auth = &msg.rm_call.cb_cred;
	XDR xdrs;
	int err = 0;
	u_int pos;

	auth->oa_base = cred_bytes;
	msg.rm_call.cb_verf.oa_base = verf_bytes;
	xdrmem_create(&xdrs, (char *)(uintptr_t)record.p, (u_int)record.n, XDR_DECODE);
	if (!xdr_callmsg(&xdrs, &msg) || msg.rm_call.cb_prog != RPC_PROGRAM ||
	    msg.rm_call.cb_vers != RPC_VERSION) {
		err = CF_EMALFORMED;
		goto out;
	}
	pos = xdr_getpos(&xdrs);
	head->xid = msg.rm_xid;
	head->proc = msg.rm_call.cb_proc;
	*args = (struct str){record.p + pos, record.n - pos};
	head->member = (struct str){NULL, 0};
	if (auth->oa_flavor == AUTH_NONE && auth->oa_length == 0)
		goto out;
	if ((uint32_t)auth->oa_flavor != RPC_CRED_FLAVOR ||
	    codec_decode((xdrproc_t)xdr_peer_cred, &cred,
			 (struct str){auth->oa_base, auth->oa_length})) {
		err = CF_EAUTH;
		goto out;
	}
	/* The bounds of peer_cred keep both parts within the space. */
	memcpy(space->bytes, cred.member.member_val, cred.member.member_len);
	memcpy(space->bytes + PEER_MAX_NAME, cred.key.key_val, cred.key.key_len);
	head->member = (struct str){space->bytes, cred.member.member_len};
	head->key = (struct str){space->bytes + PEER_MAX_NAME, cred.key.key_len};
out:
	codec_free((xdrproc_t)xdr_peer_cred, &cred);
	xdr_destroy(&xdrs);
	return err;
}

/* Decodes a reply header. CF_EMALFORMED when it is not a reply. */
int rpc_wire_parse_reply(struct str record, struct rpc_reply_head *head,
			 struct str *results)
{
	char verf_bytes[MAX_AUTH_BYTES];
	struct rpc_msg msg = {0};
	XDR xdrs;
	int err = 0;
	u_int pos;

	msg.acpted_rply.ar_verf.oa_base = verf_bytes;
	msg.acpted_rply.ar_results.proc = no_results;
	xdrmem_create(&xdrs, (char *)(uintptr_t)record.p, (u_int)record.n, XDR_DECODE);
	if (!xdr_replymsg(&xdrs, &msg)) {
		err = CF_EMALFORMED;
		goto out;
	}
	pos = xdr_getpos(&xdrs);
	head->xid = msg.rm_xid;
	if (msg.rm_reply.rp_stat == MSG_DENIED)
		head->err = CF_EAUTH;
	else if (msg.acpted_rply.ar_stat == SUCCESS)
		head->err = 0;
	else
		head->err = msg.acpted_rply.ar_stat == GARBAGE_ARGS ? CF_EINVAL : CF_EIO;
	*results = (struct str){record.p + pos, record.n - pos};
out:
	xdr_destroy(&xdrs);
	return err;
}
