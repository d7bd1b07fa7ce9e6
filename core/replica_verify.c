#include "core/replica_priv.h"

/*
 * Records in memory the highest acknowledgement of a member's data directory, to
 * detect later that the directory was restored from an older copy.
 */
void replica_ack_record(struct replica *r, uint64_t id, uint64_t identity, uint64_t epoch,
			uint64_t index)
{
	struct replica_ack *w = NULL;

	for (size_t i = 0; i < r->n_acks; i++) {
		if (r->acks[i].id == id && r->acks[i].identity == identity)
			w = &r->acks[i];
	}
	if (!w) {
		/* Reuse the slot of an identity that is no longer a member. */
		for (size_t i = 0; i < r->n_acks; i++) {
			if (!replica_member_find(&r->members, r->acks[i].id,
						 r->acks[i].identity))
				w = &r->acks[i];
		}
		if (!w && r->n_acks < REPLICA_MAX_MEMBERS)
			w = &r->acks[r->n_acks++];
		if (!w)
			return;
		*w = (struct replica_ack){.id = id, .identity = identity};
	}
	if (epoch > w->epoch || (epoch == w->epoch && index > w->index)) {
		w->epoch = epoch;
		w->index = index;
	}
}

/*
 * Checks this data directory against an acknowledgement that it sent. Within an epoch an
 * acknowledged entry is never removed, so a shorter log or a lower promise means
 * that the directory is an older copy. Returns false after excluding it.
 */
bool replica_ack_check(struct replica *r, uint64_t epoch, uint64_t index)
{
	if (r->promise.epoch > epoch ||
	    (r->promise.epoch == epoch && r->durable >= index))
		return true;
	r->verified = false;
	replica_set_role(r, REPLICA_EXCLUDED, 0);
	return false;
}

static size_t hello_replies_needed(const struct replica *r)
{
	return replica_quorum(r) - (replica_is_voter(r) ? 1 : 0);
}

/* Reports the wait to the host. leader: its reply alone ended it; 0: no. */
static void hello_note(const struct replica *r, uint64_t leader)
{
	struct replica_hello w = {
		.ended = r->verified,
		.needed = hello_replies_needed(r),
		.leader = leader,
		.waited_us = r->now_us - r->hello_started_us,
	};

	if (!r->host->ops->hello_wait)
		return;
	for (size_t i = 0; i < r->n_peer; i++)
		if (r->peer[i].hello_replied)
			w.replied[w.n_replied++] = r->peer[i].id;
	r->host->ops->hello_wait(r->host, &w);
}

/*
 * After a restart the replica stays passive until enough members to complete a quorum
 * have replied that they know of no newer acknowledgement. Learners count too, since
 * the leader sends them the same acknowledgements. fresh: this identity has made no
 * promise yet.
 */
void replica_hello_start(struct replica *r, bool fresh)
{
	r->verified = fresh || r->members.n == 0 || hello_replies_needed(r) == 0;
	r->hello_at_us = r->now_us;
	r->hello_started_us = r->now_us;
	if (!r->verified)
		hello_note(r, 0);
}

void replica_hello_send(struct replica *r)
{
	r->hello_at_us = r->now_us + r->opt.heartbeat_us;
	for (size_t i = 0; i < r->n_peer; i++) {
		struct replica_msg m = {
			.kind = REPLICA_MSG_HELLO,
			.life = r->life,
			.epoch = r->promise.epoch,
			.index = r->durable,
		};

		if (!r->peer[i].hello_replied)
			replica_send(r, r->peer[i].id, r->peer[i].identity, &m);
	}
}

/*
 * Sends HELLO to a leader that counts this directory as a member. All voters in the
 * stored log may have been replaced since.
 */
void replica_hello_send_leader(struct replica *r, uint64_t from,
			       const struct replica_msg *m)
{
	struct replica_msg hello = {
		.kind = REPLICA_MSG_HELLO,
		.life = r->life,
		.epoch = r->promise.epoch,
		.index = r->durable,
	};

	if (m->epoch < r->promise.epoch)
		return;
	r->hello_leader = (struct replica_member){
		.id = from,
		.identity = m->from_identity,
	};
	replica_send(r, from, m->from_identity, &hello);
}

/*
 * Replies to a restarted member with its highest known acknowledgement. Its earlier life
 * has ended, and with it what that life said of leaving.
 */
void replica_hello_receive(struct replica *r, uint64_t from, const struct replica_msg *m)
{
	struct replica_peer *p = replica_peer_find(r, from, m->from_identity);
	struct replica_msg reply = {
		.kind = REPLICA_MSG_HELLO_REPLY,
		.life = m->life,
	};

	if (p)
		p->leave_until_us = REPLICA_NEVER;
	for (size_t i = 0; i < r->n_acks; i++) {
		if (r->acks[i].id == from && r->acks[i].identity == m->from_identity) {
			reply.epoch = r->acks[i].epoch;
			reply.index = r->acks[i].index;
		}
	}
	replica_send(r, from, m->from_identity, &reply);
}

/*
 * Handles HELLO_REPLY. A leader's reply alone suffices: it knows the acknowledgements
 * of its own epoch, and its log holds all entries acknowledged before. A reply to an
 * earlier life may not know of an acknowledgement that was sent after it.
 */
void replica_hello_reply(struct replica *r, uint64_t from, const struct replica_msg *m)
{
	struct replica_peer *p = replica_peer_find(r, from, m->from_identity);
	bool leader = r->hello_leader.id == from &&
		      r->hello_leader.identity == m->from_identity;
	size_t n = 0;

	if ((!p && !leader) || !replica_ack_check(r, m->epoch, m->index) || r->verified)
		return;
	if (m->life != r->life)
		return;
	if (p)
		p->hello_replied = true;
	for (size_t i = 0; i < r->n_peer; i++)
		n += r->peer[i].hello_replied;
	if (n < hello_replies_needed(r) && !leader)
		return;
	r->verified = true;
	hello_note(r, n < hello_replies_needed(r) ? from : 0);
	replica_elect_reset(r);
}
