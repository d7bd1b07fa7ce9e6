#ifndef CORE_ROUTER_H
#define CORE_ROUTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/*
 * Request router of one entry process. Times are monotonic, in microseconds. The
 * callbacks of the host may run before the router function that causes them returns.
 * They must not call the router, except for its read-only functions.
 */
struct router;
struct router_outcome;
struct router_host;

enum router_class {
	ROUTER_LATENCY = 0,
	ROUTER_URGENT = 1,
	ROUTER_BATCH = 2,
	ROUTER_CLASSES = 3,
};

/* Value of the Carawayfront-Run header. */
enum router_run {
	ROUTER_NOT_RUN = 0, /* nothing sent, or each upstream said not run */
	ROUTER_UNKNOWN = 1, /* it may have run */
	ROUTER_DONE = 2,    /* a complete response exists */
};

/* Reason for the end of a request; also the index of its counter. */
enum router_reason {
	ROUTER_R_ANSWERED = 0,	   /* complete response of an upstream */
	ROUTER_R_STORED = 1,	   /* the outcome of an earlier request is stored */
	ROUTER_R_IN_PROGRESS = 2,  /* another request with this key is being served */
	ROUTER_R_KEY_UNKNOWN = 3,  /* an earlier request with this key ended unknown */
	ROUTER_R_KEY_REUSED = 4,   /* key used before with another body */
	ROUTER_R_CLAIM_FAILED = 5, /* claim store unreachable */
	ROUTER_R_QUEUE_FULL = 6,   /* queue of the team and class is full */
	ROUTER_R_TEAM_SHARE = 7,   /* team is above its share of a full process */
	ROUTER_R_MEMORY = 8,	   /* request table is full */
	ROUTER_R_HOPELESS = 9,	   /* estimated wait ends after the deadline */
	ROUTER_R_DEADLINE = 10,	   /* deadline passed */
	ROUTER_R_NO_UPSTREAM = 11, /* no usable upstream of this service */
	ROUTER_R_DRAINING = 12,	   /* this process is shutting down */
	ROUTER_R_STALE = 13,	   /* configuration is not known to be fresh */
	ROUTER_R_CANCELLED = 14,   /* caller disconnected */
	ROUTER_R_FAILED = 15,	   /* upstream connection failed, may have run */
	ROUTER_R_REFUSED = 16,	   /* not run; attempts or retry budget used up */
	ROUTER_R_LOST = 17,	   /* two upstreams ended under it, may have run */
	ROUTER_REASONS = 18,
};

struct router_ops {
	/* Sends the request; completed by router_answered() or router_failed(). */
	void (*send)(struct router_host *, uint64_t request, uint64_t upstream);
	/* Answers the caller; exactly once for each accepted request. */
	void (*finish)(struct router_host *, uint64_t request,
		       const struct router_outcome *);
	/* Claims the key durably; completed by router_claimed(). */
	void (*claim)(struct router_host *, uint64_t request);
	/* End a granted claim; exactly one of them is called for each. */
	void (*claim_done)(struct router_host *, uint64_t request);
	void (*claim_unknown)(struct router_host *, uint64_t request);
	void (*claim_abort)(struct router_host *, uint64_t request);
};

struct router_host {
	const struct router_ops *ops;
};

/*
 * Policies to pick an upstream. The default assigns each upstream to a live entry
 * process, prefers own upstreams, uses the load that upstreams report, and queues
 * requests when they are full. The others are baselines in bench/bench_router.c.
 */
enum router_policy {
	ROUTER_POLICY_DEFAULT = 0,
	ROUTER_POLICY_RANDOM = 1,   /* uniform */
	ROUTER_POLICY_P2C = 2,	    /* fewest own in flight of those drawn */
	ROUTER_POLICY_REPORTED = 3, /* as the default, without assignment */
	ROUTER_POLICY_SUBSET = 4,   /* own upstreams only */
};

struct router_options {
	struct router_host *host;
	uint64_t seed;
	struct str name; /* this entry process, as in router_entries() */
	struct str zone; /* local availability zone */
	enum router_policy policy;
	unsigned int choices; /* upstreams compared for one decision */
	/*
	 * Share of slots in use, by own and reported requests, from which an upstream is
	 * full. Below 100 to allow for requests of other entry processes that are not
	 * reported yet; above 100, requests queue at the upstream.
	 */
	unsigned int full_percent;
	unsigned int max_requests;	  /* known at once, of all teams */
	unsigned int max_queue;		  /* waiting, for each team and class */
	unsigned int max_inflight;	  /* sent and not ended, of all teams */
	unsigned int max_connections;	  /* to one upstream, of all entry processes */
	unsigned int max_teams;		  /* teams with upstreams or zone events */
	unsigned int max_pools;		  /* services of all teams */
	unsigned int max_upstreams;	  /* records, older incarnations included */
	unsigned int max_attempts;	  /* sends of one request that are not refused */
	unsigned int max_refusals;	  /* refused sends of one request */
	unsigned int retry_percent;	  /* retries for 100 successes of a team */
	unsigned int eject_floor_percent; /* share of a pool that is never ejected */
	int64_t default_deadline_us;	  /* for requests without a deadline */
	int64_t expiry_us;		  /* age at which an announcement is unusable */
};

struct router_request {
	uint64_t id; /* chosen by the host; not in use */
	struct str team;
	struct str service;
	enum router_class class;
	bool idempotent;
	bool keyed;	     /* claim the key before the first send */
	int64_t deadline_us; /* absolute; 0: now + default_deadline_us */
	uint64_t identity;   /* equal for resends of one request; 0: none known */
};

struct router_outcome {
	enum router_run run;
	enum router_reason reason;
	int err;	   /* enum cf_err; 0 for a complete response */
	uint64_t upstream; /* of the last send; 0 when never sent */
	unsigned int sends;
	int64_t total_us; /* since router_submit() */
};

/* A complete response. */
struct router_answer {
	bool not_run; /* the upstream said that it did not run the request */
	int status;   /* HTTP status; 500 and above counts against the upstream */
	int load;     /* in flight at the upstream as it reports; negative: unknown */
	bool resent;  /* sent before, on a connection that ended without an answer */
};

/* A send that ended without a complete response; its connection is closed. */
struct router_failure {
	int err;	/* enum cf_err */
	bool maybe_run; /* some byte may have reached the upstream */
	bool refused;	/* no process listens at the address of the upstream */
};

/* One announcement of an upstream. */
struct router_upstream {
	struct str team;
	struct str service;
	struct str name;
	struct str address;
	struct str zone;
	unsigned int slots;
	int load; /* in flight at the upstream; negative: unknown */
	bool leaving;
	uint64_t incarnation;
	uint64_t sequence;
	int64_t age_us; /* time since the upstream sent it */
};

/* Description of an upstream. Strings are valid until the next router call. */
struct router_upstream_info {
	struct str team;
	struct str service;
	struct str name;
	struct str address;
	struct str zone;
	unsigned int slots;
	unsigned int connections; /* allowed for this entry process */
	unsigned int inflight;	  /* of this entry process */
	int64_t age_us;		  /* of the last announcement; -1: ended */
	bool current;		  /* newest incarnation of its name */
	bool leaving;
	bool usable;
	bool ejected;
};

struct router_stats {
	uint64_t submitted;
	uint64_t finished[ROUTER_REASONS];
	uint64_t sent;
	uint64_t retried;
	uint64_t retry_denied;	   /* by the budget */
	uint64_t upstream_refused; /* not-run answers */
	uint64_t late;		   /* answers after the caller was told; dropped */
	uint64_t ejected;
	uint64_t probes;
	uint64_t stale_announcements;
	uint64_t spilled; /* sends outside the local zone while it had upstreams */
	unsigned int requests;
	unsigned int queued;
	unsigned int inflight;
	unsigned int upstreams;
};

void router_options_init(struct router_options *o);
int router_new(const struct router_options *o, struct router **out);
void router_free(struct router *r);

int router_submit(struct router *r, const struct router_request *q, int64_t now_us);
void router_claimed(struct router *r, uint64_t request, int err, int64_t now_us);
void router_answered(struct router *r, uint64_t request, const struct router_answer *a,
		     int64_t now_us);
void router_failed(struct router *r, uint64_t request, const struct router_failure *f,
		   int64_t now_us);
void router_cancel(struct router *r, uint64_t request, int64_t now_us);

uint64_t router_upstream_id(const struct router_upstream *u);
uint64_t router_upstream_name_id(const struct router_upstream *u);
int router_upstream(struct router *r, const struct router_upstream *u, int64_t now_us);
int router_renew(struct router *r, uint64_t id, uint64_t sequence, int load,
		 int64_t age_us, int64_t now_us);
int router_zone(struct router *r, struct str team, struct str zone, bool out,
		int64_t now_us);
int router_entries(struct router *r, const struct str *names, size_t n, int64_t now_us);
void router_fresh(struct router *r, bool fresh, int64_t now_us);
void router_drain(struct router *r, int64_t now_us);

void router_tick(struct router *r, int64_t now_us);
int64_t router_deadline(const struct router *r);
int router_status(const struct router *r);
bool router_idle(const struct router *r);
int router_upstream_info(const struct router *r, uint64_t id,
			 struct router_upstream_info *out, int64_t now_us);
bool router_upstream_next(const struct router *r, uint64_t *cursor,
			  struct router_upstream_info *out, int64_t now_us);
void router_stats(const struct router *r, struct router_stats *out);
const char *router_reason_str(enum router_reason reason);

#endif
