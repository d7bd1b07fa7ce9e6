#include "core/replica_priv.h"

/*
 * Lease duration on the leader's clock. A voter that answered a heartbeat grants no
 * vote for election_us on its own clock, counted from a time after the send. The
 * leader's clock may be slow and the voter's fast by one part in REPLICA_DRIFT_PARTS
 * each; three parts cover both and the second-order term.
 */
int64_t replica_lease_duration(const struct replica *r)
{
	return r->opt.election_us - r->opt.election_us * 3 / REPLICA_DRIFT_PARTS - 1;
}

/* Extends the lease from the newest send time that a quorum has answered. */
void replica_lease_update(struct replica *r)
{
	int64_t at[REPLICA_MAX_MEMBERS] = {0};
	size_t n = 0;
	size_t need = replica_quorum(r);
	int64_t until;

	if (replica_is_voter(r))
		at[n++] = r->now_us;
	for (size_t i = 0; i < r->n_peer; i++) {
		const struct replica_peer *p = &r->peer[i];
		size_t j;

		if (!p->voter || p->acked_send_us == REPLICA_NEVER)
			continue;
		for (j = n++; j > 0 && at[j - 1] < p->acked_send_us; j--)
			at[j] = at[j - 1];
		at[j] = p->acked_send_us;
	}
	if (need == 0 || n < need)
		return;
	until = at[need - 1] + replica_lease_duration(r);
	if (until > r->lease_expires_us)
		r->lease_expires_us = until;
}

/* Time at which the leader steps down unless its lease is extended. */
int64_t replica_lease_deadline(const struct replica *r)
{
	int64_t grace = r->elected_us + replica_lease_duration(r);

	return r->lease_expires_us > grace ? r->lease_expires_us : grace;
}

/*
 * Steps down if the lease expired, and returns whether this replica still leads.
 * Every leader event calls it first, since the process may have been paused for
 * longer than the lease.
 */
bool replica_lease_check(struct replica *r)
{
	if (r->role != REPLICA_LEADER)
		return false;
	/* A leader that is its own quorum renews its lease by itself. */
	if (replica_quorum(r) == 1 && replica_is_voter(r))
		replica_lease_update(r);
	if (r->now_us < replica_lease_deadline(r))
		return true;
	replica_step_down(r, 0);
	return false;
}

/*
 * Until when this replica may act as the leader: no other voter can lead before.
 * INT64_MIN: it does not lead, or does not know every committed entry. INT64_MAX: it is
 * its own quorum.
 */
int64_t replica_lease_end_us(const struct replica *r)
{
	if (r->role != REPLICA_LEADER || !r->ready)
		return INT64_MIN;
	if (replica_quorum(r) == 1 && replica_is_voter(r))
		return INT64_MAX;
	return r->lease_expires_us;
}

bool replica_lease_valid(const struct replica *r, int64_t now_us)
{
	return now_us < replica_lease_end_us(r);
}
