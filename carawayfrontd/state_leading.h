#ifndef CARAWAYFRONTD_STATE_LEADING_H
#define CARAWAYFRONTD_STATE_LEADING_H

#include "carawayfrontd/poll_store.h"
#include "carawayfrontd/state_impl.h"

/* An entry process that the leader heard from in this epoch. */
struct seen_entry {
	UT_hash_handle hh;
	char name[PEER_MAX_NAME + 1];
	uint64_t incarnation;
	int64_t heard_us;
};

/* What exists only while this process leads: the scheduler and the live entries. */
struct state_leading {
	struct sched_host host; /* first member: the scheduler calls back */
	struct state *state;
	struct sched *sched;
	struct poll_store *polls;
	uint64_t epoch;
	struct seen_entry *seen; /* by name */
	int64_t next_seen_us;
	bool feed_again; /* the scheduler had no room for a job */
	int64_t feed_us;
};

/* Names of jobs and services share one space in the scheduler. */
#define SERVICE_PREFIX "service:"

void leading_feed_failed(struct state_leading *l, int err);
void leading_feed_rest(struct state_leading *l);
int leading_feed_all(struct state_leading *l);
int leading_feed_job(struct state_leading *l, const struct job *job);
void leading_feed_change(struct state_leading *l, struct str path);
bool leading_is_service(struct str job, struct str *name);

#endif
