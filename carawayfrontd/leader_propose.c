#include "carawayfrontd/leader_propose.h"

#include "proto/codec.h"
#include "proto/peer.h"

/*
 * Sends a command to the leader, repeated as leader_call_start() says; timeout is in
 * seconds. On an error nothing was sent and call->ops is not called.
 */
int leader_propose(struct leader_client *leader, struct leader_call *call,
		   const struct command_body *body, double timeout)
{
	struct command cmd = {.body = *body};
	struct peer_propose_args args = {0};
	struct buf inner = {0};
	struct buf outer = {0};
	int err;

	err = codec_encode((xdrproc_t)xdr_command, &cmd, &inner);
	if (err)
		goto out;
	XDR_SET(args, command, buf_str(&inner));
	err = codec_encode((xdrproc_t)xdr_peer_propose_args, &args, &outer);
	if (err)
		goto out;
	err = leader_call_start(leader, call, PEER_PROPOSE, buf_str(&outer), timeout,
				LEADER_ATTEMPT);
out:
	buf_free(&inner);
	buf_free(&outer);
	return err;
}
