#include <string.h>

#include "base/err.h"
#include "core/replica_priv.h"

/*
 * A member that has heard no leader for this many election timeouts sends JOIN: nobody
 * tells a voter that was given up while it was away.
 */
#define JOIN_ELECTION_TIMEOUTS 2

const struct replica_member *replica_member_find(const struct replica_members *m,
						 uint64_t id, uint64_t identity)
{
	for (size_t i = 0; i < m->n; i++) {
		if (m->list[i].id == id && m->list[i].identity == identity)
			return &m->list[i];
	}
	return NULL;
}

/* Finds a member with this id and voter flag but another identity. */
static const struct replica_member *member_find_other(const struct replica_members *m,
						      uint64_t id, uint64_t identity,
						      bool voter)
{
	for (size_t i = 0; i < m->n; i++) {
		if (m->list[i].id == id && m->list[i].identity != identity &&
		    m->list[i].voter == voter)
			return &m->list[i];
	}
	return NULL;
}

struct replica_peer *replica_peer_find(struct replica *r, uint64_t id, uint64_t identity)
{
	for (size_t i = 0; i < r->n_peer; i++) {
		if (r->peer[i].id == id && r->peer[i].identity == identity)
			return &r->peer[i];
	}
	return NULL;
}

bool replica_is_voter(const struct replica *r)
{
	const struct replica_member *m =
		replica_member_find(&r->members, r->id, r->identity);

	return m && m->voter;
}

/*
 * Whether this replica takes part in elections. A voter whose removal, or a learner
 * whose promotion, has not committed must: it may hold the longest log, without which
 * no candidate can win. It needs a quorum of the voters in its own log, and steps
 * down once its barrier has committed.
 */
bool replica_may_campaign(const struct replica *r)
{
	return replica_is_voter(r) || r->counted_as_voter;
}

/* Sets learner or follower after a membership changed or committed. */
void replica_role_update(struct replica *r)
{
	bool may = replica_may_campaign(r);

	if (r->role != REPLICA_LEADER && !replica_is_halted(r) &&
	    (r->role == REPLICA_LEARNER) == may)
		replica_set_role(r, may ? REPLICA_FOLLOWER : REPLICA_LEARNER, r->leader);
}

/* Activates a membership; the progress of members that stay is kept. */
void replica_members_activate(struct replica *r, const struct replica_members *m,
			      uint64_t index)
{
	struct replica_peer peer[REPLICA_MAX_MEMBERS];
	size_t n = 0;

	for (size_t i = 0; i < m->n; i++) {
		struct replica_peer *old =
			replica_peer_find(r, m->list[i].id, m->list[i].identity);

		if (m->list[i].id == r->id)
			continue;
		if (old) {
			peer[n] = *old;
			old->snap = NULL;
		} else {
			peer[n] = (struct replica_peer){
				.id = m->list[i].id,
				.identity = m->list[i].identity,
				.next = replica_log_last(&r->log) + 1,
				.acked_send_us = REPLICA_NEVER,
				.answered_us = REPLICA_NEVER,
				.leave_until_us = REPLICA_NEVER,
			};
		}
		peer[n++].voter = m->list[i].voter;
	}
	for (size_t i = 0; i < r->n_peer; i++)
		replica_snap_release(r->peer[i].snap);
	memcpy(r->peer, peer, n * sizeof(*peer));
	r->n_peer = n;
	r->members = *m;
	r->members_index = index;
	replica_role_update(r);
}

/* Activates the newest membership in the log after the log changed. */
int replica_members_reload(struct replica *r)
{
	struct replica_members m = r->applied_members;
	uint64_t index = 0;

	for (uint64_t i = r->applied + 1; i <= replica_log_last(&r->log); i++) {
		const struct replica_entry *e = replica_log_at(&r->log, i);

		if (e->kind != REPLICA_MEMBERS)
			continue;
		if (replica_members_decode(e->data, &m))
			return CF_ECORRUPT;
		index = i;
	}
	replica_members_activate(r, &m, index);
	return 0;
}

/*
 * Returns 0 if a change may be proposed. Quorums intersect only if memberships differ
 * by at most one voter, so the previous change and the barrier must have committed.
 */
static int member_check_change(struct replica *r, int64_t now_us)
{
	if (r->role != REPLICA_LEADER)
		return CF_ENOTLEADER;
	r->now_us = now_us;
	if (!replica_lease_check(r))
		return CF_ESTALE;
	if (!r->ready)
		return CF_EUNAVAIL;
	return r->members_index > r->commit ? CF_EBUSY : 0;
}

static int member_propose(struct replica *r, const struct replica_members *m)
{
	struct buf data = {0};
	uint64_t index;
	int err;

	if ((err = replica_members_encode(m, &data)) ||
	    (err = replica_lead_append(r, REPLICA_MEMBERS, buf_str(&data), &index)))
		goto out;
	replica_members_activate(r, m, index);
	replica_disk_flush(r);
	if (r->role == REPLICA_LEADER)
		replica_lead_commit(r);
	if (r->role == REPLICA_FAILED)
		err = r->failure;
	else if (r->disk_full)
		err = CF_ENOSPACE;
out:
	buf_free(&data);
	return err;
}

/*
 * Adds a learner. CF_EEXIST: that identity is a member, or another learner has the
 * id. CF_EBUSY: the previous change has not committed.
 */
int replica_add_learner(struct replica *r, uint64_t id, uint64_t identity, int64_t now_us)
{
	struct replica_members m = r->members;
	int err = member_check_change(r, now_us);

	if (err)
		return err;
	if (id == 0 || identity == 0)
		return CF_EINVAL;
	if (replica_member_find(&m, id, identity) ||
	    member_find_other(&m, id, identity, false))
		return CF_EEXIST;
	if (m.n == REPLICA_MAX_MEMBERS)
		return CF_ENOSPACE;
	m.list[m.n++] = (struct replica_member){.id = id, .identity = identity};
	return member_propose(r, &m);
}

/* Whether it has synced what was committed at the last heartbeat. */
static bool member_caught_up(const struct replica *r, const struct replica_peer *p)
{
	return p->mode == REPLICA_PEER_STREAM && p->match >= r->heartbeat_commit &&
	       p->acked_send_us != REPLICA_NEVER &&
	       p->acked_send_us + r->opt.election_us > r->now_us;
}

/*
 * Makes a learner a voter. CF_EEXIST: a voter with that id must be removed first.
 * CF_EUNAVAIL: the learner has not synced what was committed a heartbeat ago.
 */
int replica_promote(struct replica *r, uint64_t id, uint64_t identity, int64_t now_us)
{
	struct replica_members m = r->members;
	const struct replica_member *found = replica_member_find(&m, id, identity);
	const struct replica_peer *p = replica_peer_find(r, id, identity);
	int err = member_check_change(r, now_us);

	if (err)
		return err;
	if (!found || !p)
		return CF_ENOENT;
	if (found->voter || member_find_other(&m, id, identity, true))
		return CF_EEXIST;
	if (!member_caught_up(r, p))
		return CF_EUNAVAIL;
	m.list[found - m.list].voter = true;
	return member_propose(r, &m);
}

/* Whether a quorum would be reachable within an election timeout without a voter. */
static bool member_quorum_without(const struct replica *r, uint64_t id, uint64_t identity)
{
	size_t voters = 0;
	size_t heard = 0;

	for (size_t i = 0; i < r->members.n; i++) {
		const struct replica_member *m = &r->members.list[i];

		voters += m->voter && !(m->id == id && m->identity == identity);
	}
	if (replica_is_voter(r) && !(id == r->id && identity == r->identity))
		heard++;
	for (size_t i = 0; i < r->n_peer; i++) {
		const struct replica_peer *p = &r->peer[i];

		/* A learner with the same id means that the voter lost its data
		 * directory. */
		if (p->voter && !(p->id == id && p->identity == identity) &&
		    !member_find_other(&r->members, p->id, p->identity, false) &&
		    p->acked_send_us != REPLICA_NEVER &&
		    p->acked_send_us + r->opt.election_us > r->now_us)
			heard++;
	}
	return voters > 0 && heard > voters / 2;
}

/*
 * Removes a voter or learner. CF_EUNAVAIL: the remaining voters in contact would
 * not be a quorum.
 */
int replica_remove(struct replica *r, uint64_t id, uint64_t identity, int64_t now_us)
{
	struct replica_members m = r->members;
	const struct replica_member *found = replica_member_find(&m, id, identity);
	int err = member_check_change(r, now_us);
	size_t at;

	if (err)
		return err;
	if (!found)
		return CF_ENOENT;
	if (found->voter && !member_quorum_without(r, id, identity))
		return CF_EUNAVAIL;
	at = (size_t)(found - m.list);
	m.n--;
	memmove(&m.list[at], &m.list[at + 1], (m.n - at) * sizeof(m.list[0]));
	return member_propose(r, &m);
}

void replica_set_peers(struct replica *r, const uint64_t *ids, size_t n)
{
	r->n_peers = n < REPLICA_MAX_MEMBERS ? n : REPLICA_MAX_MEMBERS;
	memcpy(r->peers, ids, r->n_peers * sizeof(r->peers[0]));
}

/* Tells the host of a step; silent_us is 0 where it means nothing. */
void replica_member_note(struct replica *r, enum replica_member_step step, uint64_t id,
			 uint64_t identity, int64_t silent_us)
{
	struct replica_member m = {.id = id, .identity = identity};

	if (r->host->ops->member_step)
		r->host->ops->member_step(r->host, step, &m, silent_us);
}

static void join_send_to(struct replica *r, uint64_t id)
{
	struct replica_msg m = {.kind = REPLICA_MSG_JOIN};

	if (id != r->id)
		replica_send(r, id, 0, &m);
}

/*
 * Sends JOIN while no leader may count this data directory as a member: to the known
 * processes, and to the members in its log, which may have been replaced since.
 */
void replica_join_send(struct replica *r)
{
	bool member = replica_member_find(&r->members, r->id, r->identity) != NULL;

	r->join_at_us = r->now_us + r->opt.election_us;
	if (r->role == REPLICA_LEADER)
		return;
	if (member && r->heard_us != REPLICA_NEVER &&
	    r->now_us < r->heard_us + JOIN_ELECTION_TIMEOUTS * r->opt.election_us)
		return;
	if (!r->asks)
		replica_member_note(r, REPLICA_MEMBER_ASKS, r->id, r->identity, 0);
	r->asks = true;
	for (size_t i = 0; i < r->n_peers; i++)
		join_send_to(r, r->peers[i]);
	for (size_t i = 0; i < r->n_peer; i++) {
		bool sent = false;

		for (size_t k = 0; k < r->n_peers; k++)
			sent = sent || r->peers[k] == r->peer[i].id;
		if (!sent)
			join_send_to(r, r->peer[i].id);
	}
}

/* Queues a JOIN request for admission; ignored unless this replica leads. */
void replica_join_request(struct replica *r, uint64_t from, const struct replica_msg *m)
{
	bool listed;

	if (r->role != REPLICA_LEADER || m->from_identity == 0 ||
	    replica_member_find(&r->members, from, m->from_identity))
		return;
	if (!r->opt.auto_admit) {
		if (r->host->ops->join_requested)
			r->host->ops->join_requested(r->host, from, m->from_identity);
		return;
	}
	listed = r->opt.admit_any;
	for (size_t i = 0; i < r->n_peers; i++)
		listed = listed || r->peers[i] == from;
	if (!listed)
		return;
	for (size_t i = 0; i < r->n_join_requests; i++) {
		if (r->join_requests[i].id == from) {
			r->join_requests[i].identity = m->from_identity;
			return;
		}
	}
	if (r->n_join_requests < REPLICA_MAX_MEMBERS)
		r->join_requests[r->n_join_requests++] = (struct replica_member){
			.id = from,
			.identity = m->from_identity,
		};
}

/* Removes a member, and tells the host why. Errors as of replica_remove(). */
int replica_member_remove(struct replica *r, enum replica_member_step step, uint64_t id,
			  uint64_t identity)
{
	const struct replica_peer *p = replica_peer_find(r, id, identity);
	int64_t silent_us = p ? replica_silence_us(r, p) : 0;
	int err = replica_remove(r, id, identity, r->now_us);

	if (!err)
		replica_member_note(r, step, id, identity, silent_us);
	return err;
}

/* Makes a learner a voter, and tells the host. Errors as of replica_promote(). */
int replica_member_promote(struct replica *r, uint64_t id, uint64_t identity)
{
	int err = replica_promote(r, id, identity, r->now_us);

	if (!err)
		replica_member_note(r, REPLICA_MEMBER_PROMOTED, id, identity, 0);
	return err;
}

/* Adds the newest requester, after removing an older learner with its id. */
static void admit_next_requester(struct replica *r)
{
	const struct replica_member *j = &r->join_requests[r->n_join_requests - 1];
	const struct replica_member *old =
		member_find_other(&r->members, j->id, j->identity, false);
	int err;

	if (old) {
		replica_member_remove(r, REPLICA_MEMBER_REPLACED, old->id, old->identity);
		return;
	}
	err = replica_add_learner(r, j->id, j->identity, r->now_us);
	if (!err)
		replica_member_note(r, REPLICA_MEMBER_ADMITTED, j->id, j->identity, 0);
	if (err != CF_EBUSY && r->n_join_requests)
		r->n_join_requests--;
}

/*
 * Removes the member of the given kind that has been silent for longest, and for longer
 * than member_timeout_us: a voter that a learner can replace, or a learner that takes up
 * a place. A machine without power is as silent as one that is gone for good, so the
 * voter may be back at any moment; it asks for admission then.
 */
static void remove_dead_member(struct replica *r, bool voter)
{
	const struct replica_peer *dead = NULL;
	int64_t longest_us = r->opt.member_timeout_us;

	for (size_t i = 0; i < r->n_peer; i++) {
		const struct replica_peer *p = &r->peer[i];

		if (p->voter != voter || replica_silence_us(r, p) <= longest_us)
			continue;
		longest_us = replica_silence_us(r, p);
		dead = p;
	}
	if (dead)
		replica_member_remove(r, REPLICA_MEMBER_GIVEN_UP, dead->id,
				      dead->identity);
}

/* Number of voters of the membership in force. */
size_t replica_voter_count(const struct replica *r)
{
	size_t n = 0;

	for (size_t i = 0; i < r->members.n; i++)
		n += r->members.list[i].voter;
	return n;
}

/*
 * Takes the next step of automatic admission. A replaced voter is removed only after
 * its successor caught up, which keeps the time with one voter fewer short.
 */
void replica_admit_tick(struct replica *r)
{
	const struct replica_peer *spare = NULL;

	if (!r->opt.auto_admit || !r->ready || r->members_index > r->commit)
		return;
	for (size_t i = 0; i < r->n_peer; i++) {
		const struct replica_peer *p = &r->peer[i];
		const struct replica_member *old;

		if (p->voter || !member_caught_up(r, p) || replica_peer_leaves(r, p))
			continue;
		old = member_find_other(&r->members, p->id, p->identity, true);
		if (old) {
			replica_member_remove(r, REPLICA_MEMBER_REPLACED, old->id,
					      old->identity);
			return;
		}
		if (!r->opt.max_voters || replica_voter_count(r) < r->opt.max_voters) {
			replica_member_promote(r, p->id, p->identity);
			return;
		}
		/* The one that has waited for longest. */
		if (!spare)
			spare = p;
	}
	if (replica_leave_step(r, spare))
		return;
	if (spare || (r->opt.max_voters && replica_voter_count(r) > r->opt.max_voters))
		remove_dead_member(r, true);
	else if (r->members.n == REPLICA_MAX_MEMBERS)
		remove_dead_member(r, false);
	if (r->members_index <= r->commit && r->n_join_requests)
		admit_next_requester(r);
}
