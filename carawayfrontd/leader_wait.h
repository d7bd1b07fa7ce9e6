#ifndef CARAWAYFRONTD_LEADER_WAIT_H
#define CARAWAYFRONTD_LEADER_WAIT_H

#include <stdbool.h>

/* How long requests of callers wait for a leader. All times in seconds. */
struct leader_wait {
	bool known;
	double lost_at; /* while none is known */
};

enum leader_wait_step {
	LEADER_WAIT_SEND,
	LEADER_WAIT_SEARCH, /* any controller may know of one */
	LEADER_WAIT_REFUSE,
};

void leader_wait_update(struct leader_wait *w, bool known, double now);
enum leader_wait_step leader_wait_decide(const struct leader_wait *w, double now);

#endif
