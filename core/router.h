#ifndef CORE_ROUTER_H
#define CORE_ROUTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/*
 * Routing decisions of one entry process. Times are monotonic microseconds. The
 * host's operations must not call back into the router, except for the read-only
 * functions; they may be called before the event that caused them returns.
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

/* What the caller is told with Carawayfront-Run. */
enum router_run {
	ROUTER_NOT_RUN = 0, /* no byte reached an upstream, or each said so */
	ROUTER_UNKNOWN = 1, /* it may have run */
	ROUTER_DONE = 2,    /* a complete response is there */
};

/* Why a request ended as it did; the same numbers index the counters. */
enum router_reason {
	ROUTER_R_ANSWERED = 0,	   /* complete response of an upstream */
	ROUTER_R_STORED = 1,	   /* the claim holds the outcome of an earlier request */
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
	ROUTER_R_CANCELLED = 14,   /* caller went away */
	ROUTER_R_FAILED = 15,	   /* upstream connection failed, may have run */
	ROUTER_R_REFUSED = 16,	   /* not run; attempts or retry budget used up */
	ROUTER_REASONS = 17,
};

struct router_ops {
	/* Send the request to the upstream; ends with router_answered() or _failed(). */
	void (*send)(struct router_host *, uint64_t request, uint64_t upstream);
	/* Tell the caller; exactly once for each accepted request. */
	void (*finish)(struct router_host *, uint64_t request,
		       const struct router_outcome *);
	/* Claim the key durably; ends with router_claimed(). */
	void (*claim)(struct router_host *, uint64_t request);
	/* How a claim ends; exactly one of them for each granted claim. */
	void (*claim_done)(struct router_host *, uint64_t request);
	void (*claim_unknown)(struct router_host *, uint64_t request);
	void (*claim_abort)(struct router_host *, uint64_t request);
};

struct router_host {
	const struct router_ops *ops;
};

/*
 * Ways to pick an upstream. The default divides the upstreams among the live entry
 * processes, prefers the own ones, adds the load that upstreams report, and waits
 * when that says full. The others serve as baselines in bench/bench_router.c.
 */
enum router_policy {
	ROUTER_POLICY_DEFAULT = 0,
	ROUTER_POLICY_RANDOM = 1,   /* uniform */
	ROUTER_POLICY_P2C = 2,	    /* fewest own in flight of those drawn */
	ROUTER_POLICY_REPORTED = 3, /* as the default, without owners */
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
	 * Used share of its slots, own and reported, from which an upstream counts as
	 * full. Below 100, because requests of other entry processes are on their way;
	 * above 100, upstreams get a queue of their own.
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

/* What the host needs to connect. Views are valid until the next event. */
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
void router_failed(struct router *r, uint64_t request, int err, bool maybe_run,
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
