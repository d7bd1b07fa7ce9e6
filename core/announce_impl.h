#ifndef CORE_ANNOUNCE_IMPL_H
#define CORE_ANNOUNCE_IMPL_H

#include <uthash.h>

#include "core/announce.h"

#define MS 1000LL
#define SEC 1000000LL
/* Minimum interval between two batches of changes. */
#define CHANGE_US (20 * MS)
/* Age range covered by one section of renewals, which carries a single age. */
#define AGE_SPAN_US (100 * MS)
/*
 * Records are kept this long to detect late, outdated announcements; as in core/router.
 */
#define RECORD_KEEP_US (60 * SEC)
/*
 * Added to the age at each hop. An age does not include transmission time, which
 * would otherwise extend the lifetime of an announcement with every hop.
 */
#define HOP_DELAY_US (20 * MS)
/* Size from which a batch is sent; the RPC layer rejects messages above 4 MiB. */
#define BATCH_BYTES 65536
/* Interval of the steps of an exchange. */
#define EXCHANGE_US (50 * MS)
/* Time after which a missing announcement is requested again, from any peer. */
#define FETCH_RETRY_US (1 * SEC)
/* Longest field of an announcement, as in core/router. */
#define MAX_NAME 64

/* An upstream; stored in by_number[] at the index of its number. */
struct announce_record {
	UT_hash_handle hh;	/* by id */
	UT_hash_handle hh_name; /* by name_id */
	uint64_t id;
	uint64_t name_id;
	struct router_upstream u; /* its views point into text */
	char *text;
	int64_t last_heard_us; /* time of the newest announcement */
	int64_t shared_us;     /* time of the newest one sent to all peers */
	uint32_t number;
	bool direct;   /* received from the upstream since last sent to peers */
	bool changed;  /* the full announcement must be sent to peers */
	bool numbered; /* the number was sent to peers */
};

/* An announcement that was requested from a peer, by id. */
struct announce_fetch {
	UT_hash_handle hh;
	uint64_t id;
	int64_t asked_us;
};

struct announce_peer {
	UT_hash_handle hh;
	uint64_t id;
	uint64_t session_in; /* of the peer's batches */
	uint64_t session_out;
	uint64_t *map;	  /* the peer's number -> id, 0: not mapped */
	uint8_t *reply;	  /* by own number: the peer requested the announcement */
	uint32_t cursor;  /* exchange: next number to send */
	uint32_t replies; /* bits set in reply */
	struct buf out;	  /* pending requests to the peer */
	int64_t asked_us; /* time of the last request for an exchange */
};

struct announce {
	struct announce_host *host;
	struct announce_options opt;
	struct announce_record **by_number;
	uint32_t numbers; /* all assigned numbers are below this one */
	uint32_t *unused; /* released numbers, for reuse */
	uint32_t n_unused;
	struct announce_record *records;
	struct announce_record *names;
	struct announce_peer *peers;
	struct announce_fetch *fetches;
	unsigned int n_changed;
	int64_t batch_at;
	int64_t change_at; /* earliest time of the next batch of changes */
	int64_t exchange_at;
	uint64_t sessions; /* number of the newest one */
	struct announce_stats stats;
};

/* core/announce_record.c */
struct announce_peer *announce_peer_find(const struct announce *a, uint64_t id);
struct announce_record *announce_record_find(const struct announce *a, uint64_t id);
bool announce_valid(const struct router_upstream *u);
void announce_record_remove(struct announce *a, struct announce_record *r);
uint16_t announce_digest(const struct router_upstream *u);
bool announce_same(const struct router_upstream *x, const struct router_upstream *y);
void announce_set_changed(struct announce *a, struct announce_record *r, bool changed);
int announce_apply(struct announce *a, const struct router_upstream *u, int64_t now_us,
		   struct announce_record **out, bool *changed);

/* core/announce_send.c */
void announce_flush_changes(struct announce *a, int64_t now_us);
void announce_flush_renewals(struct announce *a, int64_t now_us);
bool announce_exchanging(const struct announce *a, const struct announce_peer *p);
void announce_exchange(struct announce *a, struct announce_peer *p, int64_t now_us);

/* core/announce_receive.c */
void announce_cancel_fetch(struct announce *a, uint64_t id);

#endif
