#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/replica_priv.h"
#include "proto/codec.h"
#include "proto/replica.h"

#define WIRE(f) ((xdrproc_t)(f))

/* A decoded message and the memory that its pointers refer to. */
struct replica_msg_box {
	struct replica_msg msg; /* first: replica_msg_free() gets its address */
	struct replica_wire wire;
	struct replica_entry *entries;
	struct replica_ack *acks;
	struct replica_silence silences[REPLICA_MAX_MEMBERS];
};

/* Fills an append message; the caller frees its two lists, also after an error. */
static int append_to_wire(const struct replica_msg *m, struct replica_wire_append *a)
{
	a->epoch = m->epoch;
	a->index = m->index;
	a->index_epoch = m->index_epoch;
	a->commit = m->commit;
	a->sent_us = m->sent_us;
	if (m->n_entries) {
		a->entries.entries_val =
			calloc(m->n_entries, sizeof(*a->entries.entries_val));
		if (!a->entries.entries_val)
			return CF_ENOMEM;
	}
	a->entries.entries_len = (u_int)m->n_entries;
	for (size_t i = 0; i < m->n_entries; i++) {
		struct replica_wire_entry *w = &a->entries.entries_val[i];

		w->index = m->entries[i].index;
		w->epoch = m->entries[i].epoch;
		w->kind = (int)m->entries[i].kind;
		XDR_SET(*w, data, m->entries[i].data);
	}
	if (m->n_acks) {
		a->witness.witness_val =
			calloc(m->n_acks, sizeof(*a->witness.witness_val));
		if (!a->witness.witness_val)
			return CF_ENOMEM;
	}
	a->witness.witness_len = (u_int)m->n_acks;
	for (size_t i = 0; i < m->n_acks; i++) {
		a->witness.witness_val[i] = (struct replica_wire_witness){
			.id = m->acks[i].id,
			.identity = m->acks[i].identity,
			.epoch = m->acks[i].epoch,
			.index = m->acks[i].index,
		};
	}
	return 0;
}

/* list holds the members and must stay valid as long as *w. */
static int silence_to_wire(const struct replica_msg *m, struct replica_wire_silent *list,
			   struct replica_wire_silence *w)
{
	if (m->n_silences > REPLICA_MAX_MEMBERS)
		return CF_EINVAL;
	for (size_t i = 0; i < m->n_silences; i++)
		list[i] = (struct replica_wire_silent){
			.id = m->silences[i].id,
			.identity = m->silences[i].identity,
			.silent_us = m->silences[i].silent_us,
		};
	w->list.list_len = (u_int)m->n_silences;
	w->list.list_val = list;
	return 0;
}

/* Appends the XDR form of a message. CF_EINVAL for an unknown kind. */
int replica_msg_encode(const struct replica_msg *m, struct buf *out)
{
	struct replica_wire w = {
		.from_identity = m->from_identity,
		.to_identity = m->to_identity,
		.body.kind = (enum replica_wire_kind)m->kind,
	};
	struct replica_wire_silent silent[REPLICA_MAX_MEMBERS];
	int err = 0;

	switch (m->kind) {
	case REPLICA_MSG_PREVOTE:
	case REPLICA_MSG_VOTE:
	case REPLICA_MSG_HANDOVER:
	case REPLICA_MSG_HANDOVER_VOTE:
		w.body.replica_wire_body_u.ask = (struct replica_wire_ask){
			.epoch = m->epoch,
			.index = m->index,
			.index_epoch = m->index_epoch,
		};
		break;
	case REPLICA_MSG_PREVOTE_REPLY:
	case REPLICA_MSG_VOTE_REPLY:
		w.body.replica_wire_body_u.grant = (struct replica_wire_grant){
			.ok = m->ok,
			.epoch = m->epoch,
		};
		break;
	case REPLICA_MSG_APPEND:
		err = append_to_wire(m, &w.body.replica_wire_body_u.append);
		break;
	case REPLICA_MSG_APPEND_REPLY:
		w.body.replica_wire_body_u.append_reply =
			(struct replica_wire_append_reply){
				.ok = m->ok,
				.epoch = m->epoch,
				.index = m->index,
				.hint = m->hint,
				.sent_us = m->sent_us,
			};
		break;
	case REPLICA_MSG_SNAPSHOT:
		w.body.replica_wire_body_u.snapshot = (struct replica_wire_snapshot){
			.epoch = m->epoch,
			.index = m->index,
			.index_epoch = m->index_epoch,
			.offset = m->offset,
			.total = m->total,
			.sent_us = m->sent_us,
		};
		XDR_SET(w.body.replica_wire_body_u.snapshot, chunk, m->chunk);
		break;
	case REPLICA_MSG_SNAPSHOT_REPLY:
		w.body.replica_wire_body_u.snapshot_reply =
			(struct replica_wire_snapshot_reply){
				.ok = m->ok,
				.epoch = m->epoch,
				.index = m->index,
				.offset = m->offset,
				.total = m->total,
				.sent_us = m->sent_us,
			};
		break;
	case REPLICA_MSG_HELLO:
	case REPLICA_MSG_HELLO_REPLY:
		w.body.replica_wire_body_u.hello = (struct replica_wire_hello){
			.life = m->life,
			.epoch = m->epoch,
			.index = m->index,
		};
		break;
	case REPLICA_MSG_SILENCE:
		err = silence_to_wire(m, silent, &w.body.replica_wire_body_u.silence);
		break;
	case REPLICA_MSG_JOIN:
	case REPLICA_MSG_LEAVE:
	case REPLICA_MSG_LEAVE_REPLY:
		break;
	default:
		err = CF_EINVAL;
	}
	if (!err)
		err = codec_encode(WIRE(xdr_replica_wire), &w, out);
	if (m->kind == REPLICA_MSG_APPEND) {
		free(w.body.replica_wire_body_u.append.entries.entries_val);
		free(w.body.replica_wire_body_u.append.witness.witness_val);
	}
	return err;
}

/* A member that stored a membership that does not decode could not go on or start. */
static bool is_usable(const struct replica_wire_entry *w)
{
	struct replica_members members;

	return w->kind != REPLICA_MEMBERS ||
	       !replica_members_decode(XDR_STR(*w, data), &members);
}

static int entries_from_wire(struct replica_msg_box *b)
{
	const struct replica_wire_append *a = &b->wire.body.replica_wire_body_u.append;
	size_t n = a->entries.entries_len;
	size_t k = a->witness.witness_len;

	if (n && !(b->entries = calloc(n, sizeof(*b->entries))))
		return CF_ENOMEM;
	if (k && !(b->acks = calloc(k, sizeof(*b->acks))))
		return CF_ENOMEM;
	for (size_t i = 0; i < n; i++) {
		const struct replica_wire_entry *w = &a->entries.entries_val[i];

		if (w->kind < REPLICA_DATA || w->kind > REPLICA_MEMBERS ||
		    w->index != a->index + 1 + i || w->epoch > a->epoch || !is_usable(w))
			return CF_EMALFORMED;
		b->entries[i] = (struct replica_entry){
			.index = w->index,
			.epoch = w->epoch,
			.kind = (enum replica_entry_kind)w->kind,
			.data = XDR_STR(*w, data),
		};
	}
	for (size_t i = 0; i < k; i++) {
		b->acks[i] = (struct replica_ack){
			.id = a->witness.witness_val[i].id,
			.identity = a->witness.witness_val[i].identity,
			.epoch = a->witness.witness_val[i].epoch,
			.index = a->witness.witness_val[i].index,
		};
	}
	b->msg.entries = b->entries;
	b->msg.n_entries = n;
	b->msg.acks = b->acks;
	b->msg.n_acks = k;
	return 0;
}

static void silence_from_wire(struct replica_msg_box *b)
{
	const struct replica_wire_silence *w = &b->wire.body.replica_wire_body_u.silence;

	for (size_t i = 0; i < w->list.list_len; i++)
		b->silences[i] = (struct replica_silence){
			.id = w->list.list_val[i].id,
			.identity = w->list.list_val[i].identity,
			.silent_us = w->list.list_val[i].silent_us,
		};
	b->msg.silences = b->silences;
	b->msg.n_silences = w->list.list_len;
}

static int msg_from_wire(struct replica_msg_box *b)
{
	const struct replica_wire_body *w = &b->wire.body;
	struct replica_msg *m = &b->msg;

	m->kind = (enum replica_msg_kind)w->kind;
	m->from_identity = b->wire.from_identity;
	m->to_identity = b->wire.to_identity;
	switch (m->kind) {
	case REPLICA_MSG_PREVOTE:
	case REPLICA_MSG_VOTE:
	case REPLICA_MSG_HANDOVER:
	case REPLICA_MSG_HANDOVER_VOTE:
		m->epoch = w->replica_wire_body_u.ask.epoch;
		m->index = w->replica_wire_body_u.ask.index;
		m->index_epoch = w->replica_wire_body_u.ask.index_epoch;
		break;
	case REPLICA_MSG_PREVOTE_REPLY:
	case REPLICA_MSG_VOTE_REPLY:
		m->ok = w->replica_wire_body_u.grant.ok;
		m->epoch = w->replica_wire_body_u.grant.epoch;
		break;
	case REPLICA_MSG_APPEND:
		m->epoch = w->replica_wire_body_u.append.epoch;
		m->index = w->replica_wire_body_u.append.index;
		m->index_epoch = w->replica_wire_body_u.append.index_epoch;
		m->commit = w->replica_wire_body_u.append.commit;
		m->sent_us = w->replica_wire_body_u.append.sent_us;
		return entries_from_wire(b);
	case REPLICA_MSG_APPEND_REPLY:
		m->ok = w->replica_wire_body_u.append_reply.ok;
		m->epoch = w->replica_wire_body_u.append_reply.epoch;
		m->index = w->replica_wire_body_u.append_reply.index;
		m->hint = w->replica_wire_body_u.append_reply.hint;
		m->sent_us = w->replica_wire_body_u.append_reply.sent_us;
		break;
	case REPLICA_MSG_SNAPSHOT:
		m->epoch = w->replica_wire_body_u.snapshot.epoch;
		m->index = w->replica_wire_body_u.snapshot.index;
		m->index_epoch = w->replica_wire_body_u.snapshot.index_epoch;
		m->offset = w->replica_wire_body_u.snapshot.offset;
		m->total = w->replica_wire_body_u.snapshot.total;
		m->sent_us = w->replica_wire_body_u.snapshot.sent_us;
		m->chunk = XDR_STR(w->replica_wire_body_u.snapshot, chunk);
		break;
	case REPLICA_MSG_SNAPSHOT_REPLY:
		m->ok = w->replica_wire_body_u.snapshot_reply.ok;
		m->epoch = w->replica_wire_body_u.snapshot_reply.epoch;
		m->index = w->replica_wire_body_u.snapshot_reply.index;
		m->offset = w->replica_wire_body_u.snapshot_reply.offset;
		m->total = w->replica_wire_body_u.snapshot_reply.total;
		m->sent_us = w->replica_wire_body_u.snapshot_reply.sent_us;
		break;
	case REPLICA_MSG_HELLO:
	case REPLICA_MSG_HELLO_REPLY:
		m->life = w->replica_wire_body_u.hello.life;
		m->epoch = w->replica_wire_body_u.hello.epoch;
		m->index = w->replica_wire_body_u.hello.index;
		break;
	case REPLICA_MSG_SILENCE:
		silence_from_wire(b);
		break;
	case REPLICA_MSG_JOIN:
	case REPLICA_MSG_LEAVE:
	case REPLICA_MSG_LEAVE_REPLY:
		break;
	}
	return 0;
}

/* Decodes a message; *out is released by replica_msg_free(). CF_EMALFORMED. */
int replica_msg_decode(struct str bytes, struct replica_msg **out)
{
	struct replica_msg_box *b = calloc(1, sizeof(*b));
	int err;

	if (!b)
		return CF_ENOMEM;
	if ((err = codec_decode(WIRE(xdr_replica_wire), &b->wire, bytes)) ||
	    (err = msg_from_wire(b))) {
		replica_msg_free(&b->msg);
		return err;
	}
	*out = &b->msg;
	return 0;
}

/* Releases a message of replica_msg_decode(). */
void replica_msg_free(struct replica_msg *m)
{
	struct replica_msg_box *b = (struct replica_msg_box *)m;

	if (!b)
		return;
	codec_free(WIRE(xdr_replica_wire), &b->wire);
	free(b->entries);
	free(b->acks);
	free(b);
}

static int members_to_wire(const struct replica_members *m,
			   struct replica_wire_members *w,
			   struct replica_wire_member *list)
{
	if (m->n > REPLICA_MAX_MEMBERS)
		return CF_EINVAL;
	for (size_t i = 0; i < m->n; i++) {
		list[i] = (struct replica_wire_member){
			.id = m->list[i].id,
			.identity = m->list[i].identity,
			.voter = m->list[i].voter,
		};
	}
	w->list.list_len = (u_int)m->n;
	w->list.list_val = list;
	return 0;
}

static void members_from_wire(const struct replica_wire_members *w,
			      struct replica_members *m)
{
	m->n = w->list.list_len;
	for (size_t i = 0; i < m->n; i++) {
		m->list[i] = (struct replica_member){
			.id = w->list.list_val[i].id,
			.identity = w->list.list_val[i].identity,
			.voter = w->list.list_val[i].voter,
		};
	}
}

/* Appends the data of a membership entry. */
int replica_members_encode(const struct replica_members *m, struct buf *out)
{
	struct replica_wire_member list[REPLICA_MAX_MEMBERS];
	struct replica_wire_members w;
	int err = members_to_wire(m, &w, list);

	return err ? err : codec_encode(WIRE(xdr_replica_wire_members), &w, out);
}

int replica_members_decode(struct str bytes, struct replica_members *m)
{
	struct replica_wire_members w = {0};
	int err = codec_decode(WIRE(xdr_replica_wire_members), &w, bytes);

	if (!err)
		members_from_wire(&w, m);
	codec_free(WIRE(xdr_replica_wire_members), &w);
	return err;
}

/* Appends a snapshot image: the membership and the state at its index. */
int replica_image_encode(const struct replica_members *m, struct str state,
			 struct buf *out)
{
	struct replica_wire_member list[REPLICA_MAX_MEMBERS];
	struct replica_wire_image w = {0};
	int err = members_to_wire(m, &w.members, list);

	if (err)
		return err;
	XDR_SET(w, state, state);
	return codec_encode(WIRE(xdr_replica_wire_image), &w, out);
}

/* Decodes a snapshot image; *state is replaced. */
int replica_image_decode(struct str bytes, struct replica_members *m, struct buf *state)
{
	struct replica_wire_image w = {0};
	int err = codec_decode(WIRE(xdr_replica_wire_image), &w, bytes);

	if (!err) {
		members_from_wire(&w.members, m);
		err = buf_set(state, XDR_STR(w, state));
	}
	codec_free(WIRE(xdr_replica_wire_image), &w);
	return err;
}
