#ifndef CORE_ROUTER_IMPL_H
#define CORE_ROUTER_IMPL_H

/* Structures and functions private to core/router*.c. */

#include <sys/queue.h>
#include <uthash.h>

#include "base/prng.h"
#include "core/router.h"
#include "core/router_timer.h"

/* Longest team, service, upstream or zone name and address, in bytes. */
#define ROUTER_MAX_NAME ((size_t)64)
/* Team, NUL and service. */
#define ROUTER_MAX_KEY 129
/* Availability zones of one team; up to 10 zones are to be supported in total. */
#define ROUTER_MAX_ZONES 16
/* Most recent upstreams stored per request, to avoid them in retries. */
#define ROUTER_TRIED 3
/* Requests remembered because upstreams closed connections under them. */
#define ROUTER_SUSPECTS 256
/* Upstreams remembered for one of them; more than two by resends at the same time. */
#define ROUTER_LOSSES 4
/* Maximum slots of an upstream. */
#define ROUTER_MAX_SLOTS 65535U

/* Pointer to the struct that contains a member, as container_of() in Linux. */
#define CONTAINER(ptr, type, member) \
	((type *)(void *)((char *)(ptr)-offsetof(type, member)))

enum timer_kind {
	TIMER_REQUEST = 0, /* deadline of a request, or the end of its pause */
	TIMER_EXPIRY = 1,  /* announcement expires, later the record is removed */
	TIMER_REOPEN = 2,  /* a refusal or an ejection ends */
};

enum request_state {
	REQUEST_CLAIMING,
	REQUEST_QUEUED,
	REQUEST_SENT,
	REQUEST_LATE,	    /* caller has its answer; the send has not ended */
	REQUEST_LATE_CLAIM, /* caller has its answer; the claim has not ended */
};

/* A send whose upstream closed the connection after some of it was sent. */
struct loss {
	uint64_t upstream; /* id, of this life */
	int64_t at_us;
	bool ended; /* the process is known to have ended without leaving */
};

/* Losses of one request, or of its resends; one for each upstream at most. */
struct losses {
	struct loss v[ROUTER_LOSSES];
	unsigned int n;
};

struct request {
	UT_hash_handle hh;
	TAILQ_ENTRY(request) link;    /* in the queue of its pool and class */
	TAILQ_ENTRY(request) suspect; /* in suspected, while it has losses */
	struct losses losses;
	struct timer timer;
	uint64_t id;
	struct pool *pool;
	struct upstream *up; /* of the send that has not ended */
	uint64_t tried[ROUTER_TRIED];
	uint64_t last_up;
	uint64_t identity; /* of resends; 0: none known */
	int64_t submitted_us;
	int64_t sent_us;
	int64_t deadline_us;
	unsigned int sends;
	unsigned int refusals; /* sends that the upstream refused */
	uint8_t state;
	uint8_t class;
	bool idempotent;
	bool keyed;
	bool claimed;	   /* a granted claim is still open */
	bool refused;	   /* the last send was refused by the upstream */
	bool pausing;	   /* waits for its timer before the next send */
	bool held;	   /* pausing until more is known of its upstreams */
	bool may_have_run; /* an earlier send may have run */
	bool suspected;	   /* in suspected of the router */
};

TAILQ_HEAD(request_queue, request);

/* Usable upstreams; the first `open` of them may get a request now. */
struct upstream_set {
	struct upstream **v;
	unsigned int n;
	unsigned int open;
	unsigned int cap;
};

struct zone {
	char name[ROUTER_MAX_NAME];
	size_t len;
	bool out;
};

struct upstream {
	TAILQ_ENTRY(upstream) member; /* of its pool */
	UT_hash_handle hh;	      /* by id */
	UT_hash_handle hh_name;	      /* by name_id, the newest incarnation only */
	uint64_t id;
	uint64_t name_id;
	uint64_t incarnation;
	uint64_t sequence;
	struct pool *pool;
	char *text; /* name, then address */
	struct timer expiry;
	struct timer reopen;
	int64_t expires_us;
	int64_t closed_until_us;  /* after a refusal at the slot limit */
	int64_t ejected_until_us; /* INT64_MIN: not ejected */
	int64_t load_reported_us; /* time of the load report */
	int64_t cut_us;		  /* time of the last reduction of limit */
	struct upstream_set *set; /* NULL: not in use */
	unsigned int set_pos;
	unsigned int slots;
	unsigned int inflight;	 /* of this process, late ones included */
	unsigned int other_load; /* in flight of others at load_reported_us */
	unsigned int ejections;
	uint64_t success_mark; /* pool->successes at its last success */
	unsigned int samples;
	float limit;	  /* adaptive bound of own in flight */
	float fail;	  /* moving average of the failure rate */
	float latency_us; /* moving average of service times */
	uint8_t name_len;
	uint8_t addr_len;
	uint8_t zone;
	bool current; /* newest incarnation of its name */
	bool leaving;
	bool probing;	      /* ejected before, no success since */
	bool home;	      /* this process owns it, see home_assign() */
	bool counted;	      /* in usable of its pool */
	bool counted_ejected; /* in ejected of its pool */
};

struct pool {
	UT_hash_handle hh; /* by team and service */
	TAILQ_ENTRY(pool) link;
	struct team *team;
	TAILQ_HEAD(, upstream) members;
	char *key; /* team, NUL, service */
	size_t key_len;
	struct upstream_set set[ROUTER_MAX_ZONES][2]; /* [zone][home] */
	struct request_queue queue[ROUTER_CLASSES];
	struct request_queue retry_queue; /* sent before; subject to the retry budget */
	struct request_queue pause_queue; /* refused often; see retry_pause_us() */
	unsigned int waiting[ROUTER_CLASSES]; /* queued or claiming */
	unsigned int credit[ROUTER_CLASSES];
	unsigned int queued;
	unsigned int inflight;
	unsigned int usable; /* upstreams in a set or ejected */
	unsigned int ejected;
	double mean_us;	 /* moving average of service times, 0: no sample */
	int64_t home_us; /* time of the last home_assign() */
	bool home_dirty;
	uint64_t successes;
	double fail_sum; /* of the upstreams that are usable */
	bool in_ring;
};

struct team {
	UT_hash_handle hh;
	TAILQ_ENTRY(team) link;
	TAILQ_HEAD(, pool) ring; /* pools that wait for the process */
	char name[ROUTER_MAX_NAME];
	size_t len;
	struct zone zone[ROUTER_MAX_ZONES]; /* [0] is the local one */
	unsigned int zones;
	unsigned int requests;
	unsigned int inflight;
	unsigned int waiting[ROUTER_CLASSES];
	unsigned int busy_pools[ROUTER_CLASSES]; /* pools with waiting requests */
	double retry_tokens;
	bool in_ring;
};

struct suspect {
	uint64_t identity;
	int64_t until_us;
	struct losses losses;
};

struct router {
	struct router_host *host;
	struct router_options opt;
	struct prng prng;
	struct timers timers;
	char name[ROUTER_MAX_NAME];
	char zone[ROUTER_MAX_NAME];
	struct request *requests;
	struct upstream *upstreams;
	struct upstream *names;
	struct pool *pools;
	struct team *teams;
	TAILQ_HEAD(, team) ring;
	uint64_t *entries; /* hashes of the live entry processes */
	size_t n_entries;
	uint64_t self;
	unsigned int busy_teams; /* teams with requests */
	unsigned int queued;
	unsigned int inflight;
	bool fresh;
	bool draining;
	TAILQ_HEAD(, request) suspected; /* requests that have losses */
	struct suspect suspects[ROUTER_SUSPECTS];
	unsigned int next_suspect;
	struct router_stats stats;
};

/* router_upstream.c */
struct team *router_team_get(struct router *r, struct str name, bool create);
struct pool *router_pool_find(struct router *r, struct str team, struct str service);
int router_pool_get(struct router *r, struct team *t, struct str service,
		    struct pool **out);
int router_zone_index(struct team *t, struct str name);
bool upstream_usable(const struct upstream *u, int64_t now_us);
void upstream_update(struct router *r, struct upstream *u, int64_t now_us);
void upstream_expiry(struct router *r, struct upstream *u, int64_t now_us);
void upstream_reopen(struct router *r, struct upstream *u, int64_t now_us);
void upstream_load(struct upstream *u, int load, unsigned int own, int64_t at_us);
void upstream_release(struct router *r, struct upstream *u, int64_t now_us);
void upstream_free_all(struct router *r);

/* router_home.c */
void home_assign(struct router *r, struct pool *p, int64_t now_us);

/* router_pick.c */
struct upstream *pick_upstream(struct router *r, struct pool *p, const struct request *q,
			       int64_t now_us);

/* router_queue.c */
void queue_push(struct router *r, struct request *q);
void queue_remove(struct router *r, struct request *q);
void queue_pause(struct router *r, struct request *q, int64_t until_us);
void queue_hold(struct router *r, struct request *q, int64_t until_us);
void queue_resume(struct router *r, struct request *q);
void queue_dispatch(struct router *r, struct pool *p, int64_t now_us);
void queue_wait_begin(struct request *q);
void queue_wait_end(struct request *q);

/* router_limit.c */
enum router_reason limit_admit(const struct router *r, const struct team *t);
enum router_reason limit_queue(const struct router *r, const struct pool *p,
			       enum router_class class);
int64_t limit_wait_us(const struct pool *p, enum router_class class);
bool limit_hopeless(const struct pool *p, int64_t wait_us, int64_t deadline_us,
		    int64_t now_us);
unsigned int limit_own(const struct router *r, const struct upstream *u);
unsigned int limit_connections(const struct router *r);
void limit_sample(struct router *r, struct upstream *u, int64_t took_us, int64_t now_us);
int64_t limit_refused_us(const struct upstream *u);
void limit_refused(struct router *r, struct upstream *u, int64_t now_us);

/* router_retry.c */
void retry_start(struct team *t);
void retry_success(const struct router *r, struct team *t);
bool retry_allowed(struct router *r, const struct team *t);
void retry_spend(struct team *t, bool refused);
bool retry_tried(const struct request *q, uint64_t upstream);
int64_t retry_pause_us(const struct request *q, int64_t refused_us, int64_t now_us);

/* router_suspect.c */
void suspect_add(struct router *r, struct request *q, const struct upstream *u,
		 int64_t now_us);
void suspect_unlink(struct router *r, struct request *q);
void suspect_ended(struct router *r, const struct upstream *u);
bool suspect_proven(struct router *r, struct request *q, int64_t now_us);
bool suspect_proven_resend(struct router *r, uint64_t identity, int64_t now_us);
int64_t suspect_hold_us(struct router *r, struct request *q, int64_t now_us);

/* router_eject.c */
void eject_result(struct router *r, struct upstream *u, bool failed, int64_t took_us,
		  int64_t now_us);
bool eject_active(const struct upstream *u, int64_t now_us);
void eject_end_all(struct router *r, struct pool *p, int64_t now_us);

/* router.c */
void request_send(struct router *r, struct request *q, struct upstream *u,
		  int64_t now_us);
void request_finish(struct router *r, struct request *q, enum router_run run,
		    enum router_reason reason, int err, int64_t now_us);

#endif
