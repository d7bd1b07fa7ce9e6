#include <stdlib.h>

#include "base/err.h"
#include "carawayfrontd/state_impl.h"
#include "io/clock.h"
#include "io/log.h"
#include "proto/codec.h"

static void reply_propose(struct rpc_call *call, int err, struct str leader,
			  uint64_t index, struct str result)
{
	struct peer_propose_res res = {.err = err, .index = index};
	struct buf bytes = {0};

	XDR_SET(res, leader, leader);
	XDR_SET(res, result, result);
	if (codec_encode((xdrproc_t)xdr_peer_propose_res, &res, &bytes))
		rpc_call_reply(call, CF_EIO, (struct str){NULL, 0});
	else
		rpc_call_reply(call, 0, buf_str(&bytes));
	buf_free(&bytes);
}

/*
 * Time of a command: the wall clock when this process began to lead, never before
 * the store's time, plus the elapsed time. A step of the wall clock would let the
 * store forget claims early.
 */
static uint64_t state_command_time(struct state *s)
{
	if (!s->time_base_us) {
		uint64_t wall = (uint64_t)clock_wall_us();
		uint64_t stored = store_time_us(s->store);

		s->time_base_us = wall > stored ? wall : stored;
		s->time_start_us = clock_us();
	}
	return s->time_base_us + (uint64_t)(clock_us() - s->time_start_us);
}

/* Encodes a command with the leader's time and proposes it. */
int state_propose(struct state *s, const struct command *cmd, uint64_t *index)
{
	struct command timed = *cmd;
	struct buf bytes = {0};
	int err;

	timed.time_us = state_command_time(s);
	err = codec_encode((xdrproc_t)xdr_command, &timed, &bytes);
	if (!err)
		err = replica_propose(s->replica, buf_str(&bytes), clock_us(), index);
	buf_free(&bytes);
	return err;
}

/* Commands that only the leader itself makes. */
static bool is_internal(enum command_kind kind)
{
	switch (kind) {
	case CMD_TASK:
	case CMD_TASK_LOSSES:
	case CMD_TASK_SILENCES:
	case CMD_CAPACITY:
	case CMD_JOB_REJECT:
	case CMD_MEMBER_SEEN:
	case CMD_MEMBER_GONE:
	case CMD_MEMBER_STATE:
		return true;
	default:
		return false;
	}
}

/* Checks that the bytes are a command that a peer may propose. */
static int check_command(struct str bytes, enum command_kind *kind)
{
	struct command cmd = {0};
	int err = codec_decode((xdrproc_t)xdr_command, &cmd, bytes);

	*kind = cmd.body.kind;
	if (!err && is_internal(cmd.body.kind))
		err = CF_EPERM;
	codec_free((xdrproc_t)xdr_command, &cmd);
	return err;
}

/* Commands whose sender waits for the result, and may ask for the contrary after it. */
static bool is_request(enum command_kind kind)
{
	switch (kind) {
	case CMD_CONF_PUT:
	case CMD_CONF_DELETE:
	case CMD_JOB_SUBMIT:
	case CMD_JOB_CANCEL:
	case CMD_CLAIM:
		return true;
	default:
		return false;
	}
}

/*
 * Whether the sender of a request has given it up. It counts as unknown there, and a
 * later request, on a connection that is read first, may have been answered already.
 */
static bool is_given_up(enum command_kind kind, const struct rpc_call *call)
{
	if (!is_request(kind) || !rpc_call_is_abandoned(call))
		return false;
	log_info("request-abandoned", "kind=%d sender=%.*s", (int)kind,
		 STR_ARG(call->member));
	return true;
}

static int add_proposal(struct state *s, struct rpc_call *call, uint64_t index)
{
	struct state_proposal *p = calloc(1, sizeof(*p));

	if (!p)
		return CF_ENOMEM;
	p->index = index;
	p->epoch = replica_epoch(s->replica);
	p->call = call;
	HASH_ADD(hh, s->proposals, index, sizeof(p->index), p);
	return 0;
}

static int propose_bytes(struct state *s, struct str bytes, uint64_t *index)
{
	struct buf timed = {0};
	int err = buf_set(&timed, bytes);

	if (!err)
		err = store_set_command_time(&timed, state_command_time(s));
	if (!err)
		err = replica_propose(s->replica, buf_str(&timed), clock_us(), index);
	buf_free(&timed);
	return err;
}

static void on_propose(struct state *s, struct rpc_call *call)
{
	struct peer_propose_args args = {0};
	struct str none = {NULL, 0};
	enum command_kind kind = CMD_NOP;
	uint64_t index = 0;
	int err;

	if (!s->leading) {
		reply_propose(call, CF_ENOTLEADER, state_leader_name(s), 0, none);
		return;
	}
	err = codec_decode((xdrproc_t)xdr_peer_propose_args, &args, call->args);
	if (!err)
		err = check_command(XDR_STR(args, command), &kind);
	if (!err && is_given_up(kind, call)) {
		rpc_call_drop(call);
		goto out;
	}
	if (!err)
		err = propose_bytes(s, XDR_STR(args, command), &index);
	if (!err) {
		err = add_proposal(s, call, index);
		if (err)
			err = CF_EUNKNOWN;
	}
	if (err)
		reply_propose(call, err, none, 0, none);
out:
	codec_free((xdrproc_t)xdr_peer_propose_args, &args);
}

static void on_replica(struct state *s, struct rpc_call *call)
{
	struct replica_msg *m = NULL;

	if (!replica_msg_decode(call->args, &m))
		replica_receive(s->replica, member_id(call->member), m, clock_us());
	replica_msg_free(m);
	rpc_call_drop(call);
}

/* RPC server operation. */
void state_on_rpc(struct rpc_server_host *host, struct rpc_call *call)
{
	struct state *s =
		(struct state *)((char *)host - offsetof(struct state, rpc_host));

	switch (call->proc) {
	case PEER_REPLICA:
		on_replica(s, call);
		break;
	case PEER_PROPOSE:
		on_propose(s, call);
		break;
	case PEER_WATCH:
		state_watch(s, call);
		break;
	case PEER_READ:
		state_read(s, call);
		break;
	case PEER_WORKER:
		state_worker(s, call);
		break;
	default:
		rpc_call_reply(call, call->proc == PEER_NULL ? 0 : CF_EINVAL,
			       (struct str){NULL, 0});
	}
}

/* Answers every waiting proposal with an error; CF_EUNKNOWN: it may be accepted. */
void state_end_proposals(struct state *s, int err)
{
	struct state_proposal *p = s->proposals;
	struct state_proposal *next;

	HASH_CLEAR(hh, s->proposals);
	for (; p; p = next) {
		next = p->hh.next;
		reply_propose(p->call, err, (struct str){NULL, 0}, 0,
			      (struct str){NULL, 0});
		free(p);
	}
}

static void answer_proposal(struct state *s, const struct replica_entry *entry,
			    struct str result)
{
	struct state_proposal *p;

	HASH_FIND(hh, s->proposals, &entry->index, sizeof(entry->index), p);
	if (!p)
		return;
	HASH_DEL(s->proposals, p);
	/* Another epoch: the proposal's entry was replaced and never accepted. */
	if (p->epoch == entry->epoch)
		reply_propose(p->call, 0, (struct str){NULL, 0}, entry->index, result);
	else
		reply_propose(p->call, CF_ENOTLEADER, state_leader_name(s), 0,
			      (struct str){NULL, 0});
	free(p);
}

static bool changes_conf(enum command_kind kind)
{
	return kind == CMD_CONF_PUT || kind == CMD_CONF_DELETE;
}

/* Replica operation: applies a committed entry to the store. */
void state_apply(struct replica_host *host, const struct replica_entry *entry)
{
	struct state *s = (struct state *)host;
	struct command cmd = {0};
	struct command_result result = {0};
	struct buf bytes = {0};
	int err;

	if (entry->kind != REPLICA_DATA)
		return;
	err = store_apply(s->store, entry->index, entry->data, &bytes);
	if (err) {
		/* The store refused bytes that a leader accepted; states would differ. */
		s->failure = err;
		goto out;
	}
	answer_proposal(s, entry, buf_str(&bytes));
	err = codec_decode((xdrproc_t)xdr_command, &cmd, entry->data);
	/* Every store refuses it, and no scheduler proposed it. */
	if (err == CF_EMALFORMED)
		goto out;
	if (!err)
		err = codec_decode((xdrproc_t)xdr_command_result, &result,
				   buf_str(&bytes));
	if (err) {
		/* The scheduler would wait for ever for the outcome of its proposal. */
		s->failure = err;
		goto out;
	}
	if (changes_conf(cmd.body.kind) && !result.err)
		s->conf_changed = true;
	if (s->leading)
		state_leading_applied(s, &cmd, &result);
out:
	codec_free((xdrproc_t)xdr_command, &cmd);
	codec_free((xdrproc_t)xdr_command_result, &result);
	buf_free(&bytes);
}
