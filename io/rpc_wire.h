#ifndef IO_RPC_WIRE_H
#define IO_RPC_WIRE_H

#include "base/str.h"

/* ONC RPC (RFC 5531) messages in record marking, coded by libtirpc. */

#define RPC_PROGRAM 0x20ca4a77U
#define RPC_VERSION 1U
#define RPC_CRED_FLAVOR 0x20ca4a77U
#define RPC_MAX_RECORD (4U << 20) /* bytes of one message, either way */
#define RPC_MARK_BYTES 4U	  /* before each record */

struct rpc_call_head {
	uint32_t xid;
	uint32_t proc;
	struct str member; /* empty: the connection showed its credential before */
	struct str key;
};

struct rpc_reply_head {
	uint32_t xid;
	int err; /* 0, CF_EAUTH, CF_EINVAL (arguments refused), CF_EIO */
};

/* Backing bytes of a decoded credential; the views of a head point into it. */
struct rpc_cred_space {
	char bytes[512];
};

int rpc_wire_add_call(struct buf *out, const struct rpc_call_head *head, struct str args);
int rpc_wire_add_reply(struct buf *out, const struct rpc_reply_head *head,
		       struct str results);
int rpc_wire_next(struct str input, struct str *record, size_t *used);
int rpc_wire_parse_call(struct str record, struct rpc_cred_space *space,
			struct rpc_call_head *head, struct str *args);
int rpc_wire_parse_reply(struct str record, struct rpc_reply_head *head,
			 struct str *results);

#endif
