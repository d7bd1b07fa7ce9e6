/* How long a member has been silent, which a new leader learns from the one before it. */
#include "base/err.h"
#include "core/replica_priv.h"

/* One heartbeat in this many tells which members are silent. */
#define TOLD_HEARTBEATS 5
/* What is known counts for a leader that is elected within as many election timeouts. */
#define TOLD_ELECTION_TIMEOUTS 10

/*
 * Time since this member answered a leader, in microseconds. What was before this
 * leader's election counts once the member had an election timeout to answer it.
 */
int64_t replica_silence_us(const struct replica *r, const struct replica_peer *p)
{
	if (p->acked_send_us > r->elected_us)
		return r->now_us - p->acked_send_us;
	if (p->answered_us == REPLICA_NEVER || p->answered_us > r->elected_us ||
	    r->now_us < r->elected_us + r->opt.election_us)
		return r->now_us - r->elected_us;
	return r->now_us - p->answered_us;
}

/*
 * At the election: takes over what is known of each member from what a leader told of
 * late, from the leader before and from this replica's own time as the leader.
 */
void replica_silence_elected(struct replica *r)
{
	int64_t oldest_us = r->now_us - TOLD_ELECTION_TIMEOUTS * r->opt.election_us;

	for (size_t i = 0; i < r->n_peer; i++) {
		struct replica_peer *p = &r->peer[i];
		int64_t us = r->told_us >= oldest_us ? p->answered_us : REPLICA_NEVER;

		if (p->identity == r->leader_identity && r->heard_us >= oldest_us &&
		    r->heard_us > us)
			us = r->heard_us;
		if (p->acked_send_us >= oldest_us && p->acked_send_us > us)
			us = p->acked_send_us;
		p->answered_us = us;
	}
	r->told_us = REPLICA_NEVER;
}

/* Tells the members that answer which ones are silent, if there are any. */
void replica_silence_send(struct replica *r)
{
	struct replica_silence list[REPLICA_MAX_MEMBERS];
	struct replica_msg m = {.kind = REPLICA_MSG_SILENCE, .silences = list};

	if (r->heartbeat_count % TOLD_HEARTBEATS)
		return;
	for (size_t i = 0; i < r->n_peer; i++) {
		const struct replica_peer *p = &r->peer[i];
		int64_t silent_us = replica_silence_us(r, p);

		if (silent_us > r->opt.election_us)
			list[m.n_silences++] =
				(struct replica_silence){p->id, p->identity, silent_us};
	}
	for (size_t i = 0; m.n_silences && i < r->n_peer; i++) {
		const struct replica_peer *p = &r->peer[i];

		if (replica_silence_us(r, p) <= r->opt.election_us)
			replica_send(r, p->id, p->identity, &m);
	}
}

/* Handles SILENCE of the leader: the members that it does not list answer it. */
void replica_silence_receive(struct replica *r, uint64_t from,
			     const struct replica_msg *m)
{
	if (from != r->leader || m->from_identity != r->leader_identity)
		return;
	r->told_us = r->now_us;
	for (size_t i = 0; i < r->n_peer; i++)
		r->peer[i].answered_us = r->now_us;
	for (size_t i = 0; i < m->n_silences; i++) {
		const struct replica_silence *s = &m->silences[i];
		struct replica_peer *p = replica_peer_find(r, s->id, s->identity);

		if (p && s->silent_us > 0 && s->silent_us < r->now_us)
			p->answered_us = r->now_us - s->silent_us;
	}
}
