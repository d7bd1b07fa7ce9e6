#include "carawayfrontd/leader_wait.h"

/*
 * An election takes up to 1.5 s after a crash. A leader that was just slow is asked again
 * after 1 s. The rest allows for the way to the next leader.
 */
#define SEARCH_S 2.0

void leader_wait_update(struct leader_wait *w, bool known, double now)
{
	if (w->known && !known)
		w->lost_at = now;
	w->known = known;
}

/*
 * Requests are held, and look for a leader, for the time of a usual election. Then there
 * is none soon, and a caller does better to come back than to wait for its deadline.
 */
enum leader_wait_step leader_wait_decide(const struct leader_wait *w, double now)
{
	if (w->known)
		return LEADER_WAIT_SEND;
	return now - w->lost_at < SEARCH_S ? LEADER_WAIT_SEARCH : LEADER_WAIT_REFUSE;
}
