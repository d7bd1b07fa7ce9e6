#ifndef CARAWAYFRONTD_LEADER_CLIENT_H
#define CARAWAYFRONTD_LEADER_CLIENT_H

#include "carawayfrontd/settings.h"
#include "io/rpc_client.h"

#define LEADER_MAX_MEMBERS 9U

/* Calls to whichever state process leads. */
struct leader_client {
	struct ev_loop *loop;
	size_t n;
	struct str names[LEADER_MAX_MEMBERS];
	struct rpc_client *clients[LEADER_MAX_MEMBERS];
	/*
	 * Time until which a process that did not answer is avoided: others may
	 * still name it as the leader before they notice its loss.
	 */
	double avoid_until[LEADER_MAX_MEMBERS];
	double heard_at[LEADER_MAX_MEMBERS];	     /* time of the last answer */
	unsigned int connection[LEADER_MAX_MEMBERS]; /* number of the one in use */
	/*
	 * Time when a connection took the place of a broken one, on which nothing
	 * was heard since; 0: none.
	 */
	double renewed_at[LEADER_MAX_MEMBERS];
	bool asked_again[LEADER_MAX_MEMBERS]; /* since then, named as the leader */
	size_t guess;			      /* index of the process that led last */
	uint64_t redirects;
	uint64_t failures;
};

#define LEADER_ATTEMPT 1.0 /* seconds that one process gets, unless a call needs less */

struct leader_call;

struct leader_call_ops {
	/*
	 * err 0: results hold the answer of a leader, whose own error is inside.
	 * CF_EUNAVAIL: no leader ran it for certain. CF_EUNKNOWN: it may have run.
	 * May free or reuse the call.
	 */
	void (*done)(struct leader_call *call, int err, struct str results);
};

/* One call; embedded in its user. */
struct leader_call {
	const struct leader_call_ops *ops;
	/*
	 * Set by the caller: a call that ends without an answer must not run later. The
	 * connections on which it may wait are reset, and other calls on them are sent
	 * again.
	 */
	bool drop_late;
	struct leader_client *client; /* NULL when not outstanding */
	struct rpc_waiter waiter;
	struct ev_timer retry;
	struct buf args;
	uint32_t proc;
	double deadline; /* on clock_s() */
	double attempt_timeout;
	double sent_at;	   /* time of the present attempt */
	bool full_attempt; /* its process has all of attempt_timeout */
	size_t target;
	unsigned int connection; /* of the target, on which the attempt was sent */
	unsigned int unread;	 /* a bit for each process that may not have read it */
	bool maybe_run;
};

int leader_client_init(struct leader_client *c, struct ev_loop *loop,
		       const struct settings *settings);
void leader_client_destroy(struct leader_client *c);
int leader_call_start(struct leader_client *c, struct leader_call *call, uint32_t proc,
		      struct str args, double timeout, double attempt_timeout);
void leader_call_cancel(struct leader_call *call);

#endif
