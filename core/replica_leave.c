/* A member that ends gives its place to a learner. */
#include "base/err.h"
#include "core/replica_priv.h"

/* LEAVE messages that may be lost before a member no longer counts as leaving. */
#define LEAVE_HEARTBEATS 10

/*
 * Announces that this process ends soon, once. The leader then promotes a learner that
 * has caught up and removes this member afterwards, so that the number of voters whose
 * loss the rest survives stays the same all the while. Without such a learner the member
 * keeps its vote: it may only be restarting. A leader promotes the learner itself; it is
 * removed by its successor.
 */
void replica_leave(struct replica *r, int64_t now_us)
{
	if (replica_is_halted(r) || r->leaving)
		return;
	r->now_us = now_us;
	r->leaving = true;
	r->leave_at_us = now_us;
	if (r->role == REPLICA_LEADER)
		replica_admit_tick(r);
	else
		replica_leave_send(r);
}

/*
 * Whether a process that has called replica_leave() need not wait: it is no member any
 * more, or no learner is there that could take its place.
 */
bool replica_may_leave(const struct replica *r)
{
	bool learner = false;

	for (size_t i = 0; i < r->members.n; i++)
		learner = learner ||
			  (!r->members.list[i].voter && r->members.list[i].id != r->id);
	return replica_is_halted(r) || r->left || !replica_is_voter(r) ||
	       (!learner && r->opt.max_voters &&
		replica_voter_count(r) <= r->opt.max_voters);
}

void replica_leave_send(struct replica *r)
{
	struct replica_msg m = {.kind = REPLICA_MSG_LEAVE};

	r->leave_at_us = r->now_us + r->opt.heartbeat_us;
	if (r->leader && r->leader != r->id && !r->left)
		replica_send(r, r->leader, r->leader_identity, &m);
}

/* Handles LEAVE: the next step is taken at once. */
void replica_leave_receive(struct replica *r, uint64_t from, const struct replica_msg *m)
{
	struct replica_peer *p = replica_peer_find(r, from, m->from_identity);
	struct replica_msg reply = {.kind = REPLICA_MSG_LEAVE_REPLY};

	if (r->role != REPLICA_LEADER)
		return;
	if (p) {
		p->leave_until_us = r->now_us + LEAVE_HEARTBEATS * r->opt.heartbeat_us;
		replica_admit_tick(r);
	} else if (r->ready && r->members_index <= r->commit) {
		replica_send(r, from, m->from_identity, &reply);
	}
}

void replica_leave_reply(struct replica *r, uint64_t from, const struct replica_msg *m)
{
	if (from == r->leader && m->from_identity == r->leader_identity)
		r->left = r->leaving;
}

bool replica_peer_leaves(const struct replica *r, const struct replica_peer *p)
{
	return p->leave_until_us != REPLICA_NEVER && r->now_us < p->leave_until_us;
}

/* A member that leaves: learners first, since they have no vote to hand on. */
static const struct replica_peer *find_leaving(const struct replica *r)
{
	const struct replica_peer *found = NULL;

	for (size_t i = 0; i < r->n_peer; i++) {
		const struct replica_peer *p = &r->peer[i];

		if (replica_peer_leaves(r, p) && (!found || !p->voter))
			found = p;
	}
	return found;
}

/*
 * Takes the next step for a member that leaves: a learner is removed; a voter is removed
 * when one voter more than max_voters is there, which spare, a learner that has caught
 * up or NULL, becomes first. Returns whether a step was taken.
 */
bool replica_leave_step(struct replica *r, const struct replica_peer *spare)
{
	const struct replica_peer *p = find_leaving(r);

	if ((!p && !r->leaving) || !r->opt.max_voters)
		return false;
	if (p && !p->voter)
		return replica_member_remove(r, REPLICA_MEMBER_LEFT, p->id,
					     p->identity) == 0;
	if (replica_voter_count(r) > r->opt.max_voters)
		return p && replica_member_remove(r, REPLICA_MEMBER_LEFT, p->id,
						  p->identity) == 0;
	return spare && replica_member_promote(r, spare->id, spare->identity) == 0;
}
