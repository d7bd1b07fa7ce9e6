#ifndef CORE_ANNOUNCE_H
#define CORE_ANNOUNCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"
#include "core/router.h"

/*
 * Replication of upstream announcements between entry processes. An upstream
 * announces itself to any one entry process, which forwards changes to all peers
 * immediately and unchanged renewals in periodic batches. A batch is the payload of
 * PEER_ANNOUNCE; batches must arrive in order on one connection. A new connection
 * starts with an exchange, a full synchronisation of the table.
 */
struct announce;
struct announce_host;

struct announce_ops {
	/*
	 * Sends a batch to a peer. After an error (queue full, connection closed) the
	 * exchange with this peer is restarted, so that no announcement is lost.
	 */
	int (*send)(struct announce_host *, uint64_t peer, struct str batch);
	/* Reports a new or changed upstream; see router_upstream(). */
	void (*upstream)(struct announce_host *, const struct router_upstream *);
	/* Renews an unchanged upstream; see router_renew(). sequence 0: lifetime only. */
	void (*renew)(struct announce_host *, uint64_t id, uint64_t sequence, int load,
		      int64_t age_us);
};

struct announce_host {
	const struct announce_ops *ops;
};

struct announce_options {
	struct announce_host *host;
	unsigned int max_upstreams;
	unsigned int max_peers;
	unsigned int detailed; /* renewals carry the load up to this many upstreams */
	int64_t batch_us;      /* interval of renewals */
	int64_t relay_us;      /* renewal interval with more upstreams */
	int64_t expiry_us;     /* age from which it is not exchanged */
	unsigned int exchange_bytes; /* per second and peer */
	uint64_t first_session;	     /* random: peers may still hear an earlier life */
};

struct announce_stats {
	uint64_t heard; /* received directly from upstreams */
	uint64_t changes;
	uint64_t renewals_sent; /* per batch, not per peer */
	uint64_t renewals_received;
	uint64_t stale;	   /* older incarnation or sequence */
	uint64_t unmapped; /* renewals with a number that the peer has not mapped */
	uint64_t malformed;
	uint64_t exchanges;
	uint64_t refused; /* table full */
	uint64_t batches;
	uint64_t bytes_sent;
	unsigned int upstreams;
	unsigned int peers;
};

void announce_options_init(struct announce_options *o);
int announce_new(const struct announce_options *o, struct announce **out);
void announce_free(struct announce *a);

int announce_receive_local(struct announce *a, const struct router_upstream *u,
			   int64_t now_us);
int announce_peer_up(struct announce *a, uint64_t peer, int64_t now_us);
void announce_peer_down(struct announce *a, uint64_t peer, int64_t now_us);
int announce_receive(struct announce *a, uint64_t peer, struct str batch, int64_t now_us);

void announce_tick(struct announce *a, int64_t now_us);
int64_t announce_deadline(const struct announce *a);
void announce_stats(const struct announce *a, struct announce_stats *out);

#endif
