#include "base/err.h"
#include "core/replica_priv.h"

/* Number of voters that form a quorum of the membership in force. */
size_t replica_quorum(const struct replica *r)
{
	size_t voters = 0;

	for (size_t i = 0; i < r->members.n; i++)
		voters += r->members.list[i].voter;
	return voters / 2 + 1;
}

/* Sets a random election timeout of one to two times election_us. */
void replica_elect_reset(struct replica *r)
{
	r->election_at_us = r->now_us + r->opt.election_us +
			    (int64_t)prng_below(&r->prng, (uint64_t)r->opt.election_us);
}

/* Ends leadership or candidacy. leader 0: unknown. */
void replica_step_down(struct replica *r, uint64_t leader)
{
	if (replica_is_halted(r))
		return;
	for (size_t i = 0; i < r->n_peer; i++) {
		replica_snap_release(r->peer[i].snap);
		r->peer[i].snap = NULL;
	}
	r->ready = false;
	r->lease_expires_us = REPLICA_NEVER;
	r->n_join_requests = 0;
	replica_elect_reset(r);
	replica_set_role(r, replica_may_campaign(r) ? REPLICA_FOLLOWER : REPLICA_LEARNER,
			 leader);
}

/* Promises a newer epoch without a vote. Returns false when that failed. */
bool replica_adopt_epoch(struct replica *r, uint64_t epoch)
{
	if (epoch <= r->promise.epoch)
		return true;
	if (!replica_save_promise(r, epoch, 0))
		return false;
	replica_step_down(r, 0);
	return true;
}

static size_t count_grants(const struct replica *r)
{
	size_t n = replica_is_voter(r) ? 1 : 0;

	for (size_t i = 0; i < r->n_peer; i++)
		n += r->peer[i].voter && r->peer[i].granted;
	return n;
}

static void elect_broadcast(struct replica *r, enum replica_msg_kind kind, uint64_t epoch)
{
	uint64_t last = replica_log_last(&r->log);

	for (size_t i = 0; i < r->n_peer; i++) {
		struct replica_msg m = {
			.kind = kind,
			.epoch = epoch,
			.index = last,
			.index_epoch = replica_log_epoch(&r->log, last),
		};

		r->peer[i].granted = false;
		if (r->peer[i].voter)
			replica_send(r, r->peer[i].id, r->peer[i].identity, &m);
	}
}

/*
 * Votes for itself in a new epoch, durably, and asks the others with a VOTE or a
 * HANDOVER_VOTE.
 */
static void elect_candidate(struct replica *r, enum replica_msg_kind kind)
{
	if (!replica_save_promise(r, r->promise.epoch + 1, r->identity))
		return;
	replica_elect_reset(r);
	replica_set_role(r, REPLICA_CANDIDATE, 0);
	elect_broadcast(r, kind, r->promise.epoch);
	if (count_grants(r) >= replica_quorum(r))
		replica_lead_start(r);
}

/*
 * Starts a pre-vote after an election timeout. The epoch rises only if an election
 * could succeed, so that a voter returning from a partition does not disturb the
 * leader.
 */
void replica_elect_start(struct replica *r)
{
	if (!r->verified || !replica_may_campaign(r) || r->disk_full ||
	    replica_disk_is_stalled(r))
		return;
	replica_elect_reset(r);
	replica_set_role(r, REPLICA_PRECANDIDATE, 0);
	elect_broadcast(r, REPLICA_MSG_PREVOTE, r->promise.epoch + 1);
	if (count_grants(r) >= replica_quorum(r))
		elect_candidate(r, REPLICA_MSG_VOTE);
}

/*
 * Voter with the longest log; among equals the latest to answer. NULL: none that stays.
 */
static const struct replica_peer *elect_successor(const struct replica *r)
{
	const struct replica_peer *best = NULL;

	for (size_t i = 0; i < r->n_peer; i++) {
		const struct replica_peer *p = &r->peer[i];

		if (!p->voter || p->acked_send_us == REPLICA_NEVER ||
		    replica_peer_leaves(r, p))
			continue;
		if (!best || p->match > best->match ||
		    (p->match == best->match && p->acked_send_us > best->acked_send_us))
			best = p;
	}
	return best;
}

/*
 * Ends leadership and makes another voter campaign at once. Neither the election
 * timeout nor the wait for lease expiry applies, because this leader ends its lease
 * first and never leads in this epoch again. CF_ENOTLEADER: it does not lead;
 * CF_EUNAVAIL: no other voter answers.
 */
int replica_transfer_leadership(struct replica *r, int64_t now_us)
{
	struct replica_msg m = {.kind = REPLICA_MSG_HANDOVER};
	const struct replica_peer *successor;
	uint64_t identity;
	uint64_t id;

	if (replica_is_halted(r))
		return CF_EUNAVAIL;
	r->now_us = now_us;
	if (!replica_lease_check(r))
		return CF_ENOTLEADER;
	successor = elect_successor(r);
	if (!successor)
		return CF_EUNAVAIL;
	id = successor->id;
	identity = successor->identity;
	m.epoch = r->promise.epoch;
	replica_step_down(r, 0);
	replica_send(r, id, identity, &m);
	return 0;
}

/* Campaigns at once when the current leader transfers leadership to this replica. */
void replica_elect_handover(struct replica *r, uint64_t from, const struct replica_msg *m)
{
	if (!r->verified || !replica_may_campaign(r) || m->epoch != r->promise.epoch ||
	    from != r->leader || m->from_identity != r->leader_identity)
		return;
	elect_candidate(r, REPLICA_MSG_HANDOVER_VOTE);
}

/* Whether a reply of this voter may still support a leader's lease. */
static bool elect_lease_may_hold(const struct replica *r)
{
	if (r->role == REPLICA_LEADER)
		return r->now_us < replica_lease_deadline(r);
	return r->leader_last_heard_us != REPLICA_NEVER &&
	       r->now_us < r->leader_last_heard_us + r->opt.election_us;
}

/* Compares the ends of two logs by (epoch, index). */
static int elect_compare_log(const struct replica *r, const struct replica_msg *m)
{
	uint64_t last = replica_log_last(&r->log);
	uint64_t epoch = replica_log_epoch(&r->log, last);

	if (m->index_epoch != epoch)
		return m->index_epoch > epoch ? 1 : -1;
	return (m->index > last) - (m->index < last);
}

/*
 * Answers PREVOTE, VOTE and HANDOVER_VOTE. HANDOVER_VOTE ignores the lease: the leader
 * of the previous epoch has ended its lease, and earlier leases ended before it led.
 */
void replica_elect_request(struct replica *r, uint64_t from, const struct replica_msg *m)
{
	bool prevote = m->kind == REPLICA_MSG_PREVOTE;
	bool lease_may_hold =
		m->kind != REPLICA_MSG_HANDOVER_VOTE && elect_lease_may_hold(r);
	struct replica_msg reply = {
		.kind = prevote ? REPLICA_MSG_PREVOTE_REPLY : REPLICA_MSG_VOTE_REPLY,
	};
	int log_order = elect_compare_log(r, m);
	bool known = replica_member_find(&r->members, from, m->from_identity) != NULL;
	bool grant;

	if (!r->verified)
		return;
	/* A sender with a longer log may be a member that this log does not list yet. */
	if (!known && log_order <= 0)
		return;
	/*
	 * A candidate whose log has an uncommitted promotion of this replica cannot win
	 * without the vote of this replica, and this replica must refuse the vote while
	 * its log is longer.
	 */
	if (log_order < 0 && !lease_may_hold)
		r->counted_as_voter = true;
	grant = log_order >= 0 && !lease_may_hold;
	if (prevote)
		grant = grant && m->epoch > r->promise.epoch;
	else if (m->epoch == r->promise.epoch)
		grant = grant &&
			(r->promise.vote == 0 || r->promise.vote == m->from_identity);
	else
		grant = grant && m->epoch > r->promise.epoch;
	if (grant && !prevote) {
		if (!replica_save_promise(r, m->epoch, m->from_identity))
			return;
		replica_step_down(r, 0);
	}
	reply.ok = grant;
	reply.epoch = grant ? m->epoch : r->promise.epoch;
	replica_send(r, from, m->from_identity, &reply);
}

/* Handles a vote reply from a known member. */
void replica_elect_reply(struct replica *r, struct replica_peer *p,
			 const struct replica_msg *m)
{
	if (!m->ok) {
		replica_adopt_epoch(r, m->epoch);
		return;
	}
	if (!p->voter)
		return;
	if (m->kind == REPLICA_MSG_PREVOTE_REPLY) {
		if (r->role != REPLICA_PRECANDIDATE || m->epoch != r->promise.epoch + 1)
			return;
		p->granted = true;
		if (count_grants(r) >= replica_quorum(r))
			elect_candidate(r, REPLICA_MSG_VOTE);
		return;
	}
	replica_ack_record(r, p->id, p->identity, m->epoch, 0);
	if (r->role != REPLICA_CANDIDATE || m->epoch != r->promise.epoch)
		return;
	p->granted = true;
	if (count_grants(r) >= replica_quorum(r))
		replica_lead_start(r);
}
