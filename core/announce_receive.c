#include "core/announce_impl.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/err.h"
#include "core/announce_wire.h"

/* Requests an announcement, unless it was requested within FETCH_RETRY_US. */
static void request_announcement(struct announce *a, struct announce_peer *p, uint64_t id,
				 int64_t now_us)
{
	struct announce_fetch *w;

	HASH_FIND(hh, a->fetches, &id, sizeof(id), w);
	if (w && now_us < w->asked_us + FETCH_RETRY_US)
		return;
	if (!w) {
		if (HASH_COUNT(a->fetches) >= a->opt.max_upstreams)
			return;
		w = calloc(1, sizeof(*w));
		if (!w)
			return;
		w->id = id;
		HASH_ADD(hh, a->fetches, id, sizeof(w->id), w);
	}
	w->asked_us = now_us;
	if (wire_put(&p->out, WIRE_WANT) != 0 || wire_put(&p->out, 1) != 0 ||
	    wire_put_id(&p->out, id) != 0)
		buf_free(&p->out);
}

void announce_cancel_fetch(struct announce *a, uint64_t id)
{
	struct announce_fetch *w;

	HASH_FIND(hh, a->fetches, &id, sizeof(id), w);
	if (w) {
		HASH_DELETE(hh, a->fetches, w);
		free(w);
	}
}

/* Records that all peers have an announcement: its sender sent it to each of them. */
static void mark_shared(struct announce_record *r, int64_t at_us)
{
	if (at_us > r->last_heard_us)
		r->last_heard_us = at_us;
	if (at_us > r->shared_us)
		r->shared_us = at_us;
}

static void get_full(struct announce *a, struct announce_peer *p, struct wire *w,
		     int64_t now_us)
{
	uint64_t number = wire_get(w);
	struct router_upstream u;
	struct announce_record *r = NULL;
	bool changed;
	int err;

	wire_get_upstream(w, &u);
	if (!wire_ok(w))
		return;
	if (number >= a->opt.max_upstreams || !announce_valid(&u)) {
		w->p = NULL;
		return;
	}
	p->map[number] = router_upstream_id(&u);
	announce_cancel_fetch(a, p->map[number]);
	err = announce_apply(a, &u, now_us, &r, &changed);
	if ((err && err != CF_ESTALE) || !r || r->id != p->map[number])
		return;
	mark_shared(r, now_us - u.age_us);
	/*
	 * The upstream changed and changed back. The second announcement arrived before
	 * the first and was not seen as a change, so peers need it in full.
	 */
	if (err && u.sequence < r->u.sequence && !announce_same(&u, &r->u))
		announce_set_changed(a, r, true);
}

/*
 * Reads the mapping of a peer's number to an upstream. Requests the announcement when
 * it is unknown, or when the peer has a newer one with different content. This
 * recovers changes that were lost with a connection.
 */
static void get_map(struct announce *a, struct announce_peer *p, struct wire *w,
		    int64_t now_us)
{
	uint64_t number = wire_get(w);
	uint64_t id = wire_get_id(w);
	int64_t age = (int64_t)(wire_get(w) & UINT32_MAX) * MS;
	uint64_t sequence = wire_get(w);
	uint64_t content = wire_get(w);
	struct announce_record *r;

	if (!wire_ok(w))
		return;
	if (number >= a->opt.max_upstreams) {
		w->p = NULL;
		return;
	}
	p->map[number] = id;
	r = announce_record_find(a, id);
	if (!r) {
		if (age < a->opt.expiry_us)
			request_announcement(a, p, id, now_us);
		return;
	}
	if (content != announce_digest(&r->u)) {
		if (sequence > r->u.sequence)
			request_announcement(a, p, id, now_us);
		else if (sequence < r->u.sequence)
			announce_set_changed(a, r, true);
	}
	if (now_us - age > r->last_heard_us) {
		r->last_heard_us = now_us - age;
		a->host->ops->renew(a->host, id, 0, -1, age);
	}
}

/*
 * Handles a renewal from a peer. It carries no sequence: either process may lack a
 * change that the other has, so a renewal must not make the local content appear
 * newer than it is.
 */
static void get_renewal(struct announce *a, struct announce_peer *p, uint64_t number,
			int load, int64_t age_us, int64_t now_us)
{
	uint64_t id = number < a->opt.max_upstreams ? p->map[number] : 0;
	struct announce_record *r = id ? announce_record_find(a, id) : NULL;

	a->stats.renewals_received++;
	if (r) {
		mark_shared(r, now_us - age_us);
		a->host->ops->renew(a->host, id, 0, load, age_us);
		return;
	}
	if (id) {
		request_announcement(a, p, id, now_us);
		return;
	}
	a->stats.unmapped++;
	if (now_us < p->asked_us + FETCH_RETRY_US)
		return;
	p->asked_us = now_us;
	if (wire_put(&p->out, WIRE_EXCHANGE) != 0)
		buf_free(&p->out);
}

static void get_renewals(struct announce *a, struct announce_peer *p, struct wire *w,
			 int64_t now_us)
{
	int64_t age = (int64_t)(wire_get(w) & UINT32_MAX) * MS;
	bool detailed = wire_get(w) != 0;
	uint64_t count = wire_get(w);
	uint64_t number = 0;

	for (uint64_t i = 0; i < count && wire_ok(w); i++) {
		uint64_t load = 0;

		number += wire_get(w);
		if (detailed)
			load = wire_get(w);
		if (wire_ok(w) && load <= INT32_MAX)
			get_renewal(a, p, number, (int)load - 1, age, now_us);
	}
}

static void get_fetches(struct announce *a, struct announce_peer *p, struct wire *w)
{
	uint64_t count = wire_get(w);

	for (uint64_t i = 0; i < count && wire_ok(w); i++) {
		uint64_t id = wire_get_id(w);
		struct announce_record *r =
			wire_ok(w) ? announce_record_find(a, id) : NULL;

		if (r && !p->reply[r->number]) {
			p->reply[r->number] = 1;
			p->replies++;
		}
	}
}

/*
 * Decodes and applies a batch from a connected peer. CF_EMALFORMED: the caller should
 * close the connection; sections before the error have been applied. CF_ENOENT: the
 * peer is not connected.
 */
int announce_receive(struct announce *a, uint64_t peer, struct str batch, int64_t now_us)
{
	struct announce_peer *p = announce_peer_find(a, peer);
	struct wire w = wire_from(batch);
	uint64_t session;

	if (!p)
		return CF_ENOENT;
	if (wire_get(&w) != WIRE_VERSION)
		w.p = NULL;
	session = wire_get(&w);
	if (wire_ok(&w) && session != p->session_in) {
		/* The peer, or its earlier life, may have used the numbers otherwise. */
		memset(p->map, 0, a->opt.max_upstreams * sizeof(*p->map));
		p->session_in = session;
	}
	while (wire_more(&w)) {
		switch (wire_get(&w)) {
		case WIRE_FULL:
			get_full(a, p, &w, now_us);
			break;
		case WIRE_MAP:
			get_map(a, p, &w, now_us);
			break;
		case WIRE_RENEW:
			get_renewals(a, p, &w, now_us);
			break;
		case WIRE_WANT:
			get_fetches(a, p, &w);
			break;
		case WIRE_EXCHANGE:
			p->cursor = 0;
			a->stats.exchanges++;
			break;
		default:
			w.p = NULL;
			break;
		}
	}
	if (!wire_ok(&w)) {
		a->stats.malformed++;
		return CF_EMALFORMED;
	}
	return 0;
}
