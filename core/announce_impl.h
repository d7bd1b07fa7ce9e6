#ifndef CORE_ANNOUNCE_IMPL_H
#define CORE_ANNOUNCE_IMPL_H

#include <uthash.h>

#include "core/announce.h"

#define MS 1000LL
#define SEC 1000000LL
/* Changes that come in a burst share a batch for this long. */
#define CHANGE_US (20 * MS)
/* Renewals of one section have ages within this span, so that one age serves. */
#define AGE_SPAN_US (100 * MS)
/* As in core/router: late old announcements are recognised for this long. */
#define FORGET_US (60 * SEC)
/*
 * Added to ages that may pass through several processes: the time on the way is not
 * in an age, and must not add up to a longer life.
 */
#define HOP_US (20 * MS)
/* Bytes of one batch; the RPC layer refuses above 4 MiB. */
#define BATCH_BYTES 65536
/* Interval of the steps of an exchange. */
#define EXCHANGE_US (50 * MS)
/* A wanted announcement is asked for again, of any peer, after this time. */
#define WANT_US (1 * SEC)
/* Longest field of an announcement, as in core/router. */
#define MAX_NAME 64

/* An upstream, at the index of its number. */
struct announce_record {
	UT_hash_handle hh;	/* by id */
	UT_hash_handle hh_name; /* by name_id */
	uint64_t id;
	uint64_t name_id;
	struct router_upstream u; /* its views point into text */
	char *text;
	int64_t heard_us;  /* time of the newest announcement */
	int64_t shared_us; /* time of the newest one that every peer was told of */
	uint32_t number;
	bool direct;   /* heard here since it was shared last */
	bool changed;  /* peers must be told the whole announcement */
	bool numbered; /* peers were told the number */
};

/* An id that a peer numbered and that is not known here. */
struct announce_want {
	UT_hash_handle hh;
	uint64_t id;
	int64_t asked_us;
};

struct announce_peer {
	UT_hash_handle hh;
	uint64_t id;
	uint64_t session_in; /* of the peer's batches */
	uint64_t session_out;
	uint64_t *map;	  /* the peer's number -> id, 0: not told */
	uint8_t *reply;	  /* by own number: the peer asked for the announcement */
	uint32_t cursor;  /* exchange: next number, max_upstreams when complete */
	uint32_t replies; /* bits set in reply */
	struct buf out;	  /* wants, and the request for an exchange */
	int64_t asked_us; /* time of the last request for an exchange */
};

struct announce {
	struct announce_host *host;
	struct announce_options opt;
	struct announce_record **by_number;
	uint32_t numbers; /* numbers up to this one were used */
	uint32_t *unused; /* numbers that are free again */
	uint32_t n_unused;
	struct announce_record *records;
	struct announce_record *names;
	struct announce_peer *peers;
	struct announce_want *wants;
	unsigned int n_changed;
	int64_t batch_at;
	int64_t change_at; /* earliest time of the next batch of changes */
	int64_t exchange_at;
	uint64_t sessions;
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
int announce_take(struct announce *a, const struct router_upstream *u, int64_t now_us,
		  struct announce_record **out, bool *changed);

/* core/announce_send.c */
void announce_flush_changes(struct announce *a, int64_t now_us);
void announce_flush_renewals(struct announce *a, int64_t now_us);
bool announce_exchanging(const struct announce *a, const struct announce_peer *p);
void announce_exchange(struct announce *a, struct announce_peer *p, int64_t now_us);

/* core/announce_receive.c */
void announce_unwant(struct announce *a, uint64_t id);

#endif
