#include "core/announce_impl.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/err.h"
#include "core/announce_wire.h"

void announce_options_init(struct announce_options *o)
{
	*o = (struct announce_options){
		.max_upstreams = 20000,
		.max_peers = 16,
		.detailed = 500,
		.batch_us = 400 * MS,
		.relay_us = 700 * MS,
		.expiry_us = 2 * SEC,
		.exchange_bytes = 262144,
	};
}

/* Creates an empty table. Memory is bounded by max_upstreams times max_peers. */
int announce_new(const struct announce_options *o, struct announce **out)
{
	struct announce *a;

	if (!o->host || !o->host->ops || o->max_upstreams == 0 || o->batch_us <= 0 ||
	    o->exchange_bytes == 0)
		return CF_EINVAL;
	a = calloc(1, sizeof(*a));
	if (!a)
		return CF_ENOMEM;
	a->host = o->host;
	a->opt = *o;
	a->sessions = o->first_session;
	a->by_number = (struct announce_record **)calloc(
		o->max_upstreams, sizeof(struct announce_record *));
	a->unused = calloc(o->max_upstreams, sizeof(*a->unused));
	if (!a->by_number || !a->unused) {
		announce_free(a);
		return CF_ENOMEM;
	}
	*out = a;
	return 0;
}

static void peer_free(struct announce_peer *p)
{
	free(p->map);
	free(p->reply);
	buf_free(&p->out);
	free(p);
}

void announce_free(struct announce *a)
{
	struct announce_peer *p;
	struct announce_peer *p_next;
	struct announce_fetch *w;
	struct announce_fetch *w_next;

	if (!a)
		return;
	p = a->peers;
	w = a->fetches;
	HASH_CLEAR(hh, a->peers);
	HASH_CLEAR(hh, a->fetches);
	HASH_CLEAR(hh_name, a->names);
	HASH_CLEAR(hh, a->records);
	for (; p; p = p_next) {
		p_next = p->hh.next;
		peer_free(p);
	}
	for (; w; w = w_next) {
		w_next = w->hh.next;
		free(w);
	}
	for (uint32_t i = 0; a->by_number && i < a->numbers; i++) {
		if (a->by_number[i]) {
			free(a->by_number[i]->text);
			free(a->by_number[i]);
		}
	}
	free((void *)a->by_number);
	free(a->unused);
	free(a);
}

/*
 * Handles an announcement that an upstream sent to this process. CF_EINVAL, CF_ESTALE,
 * CF_ENOSPACE, CF_ENOMEM.
 */
int announce_receive_local(struct announce *a, const struct router_upstream *u,
			   int64_t now_us)
{
	struct announce_record *r;
	bool changed = false;
	int err;

	a->stats.heard++;
	err = announce_apply(a, u, now_us, &r, &changed);
	if (err)
		return err;
	r->direct = true;
	if (changed) {
		a->stats.changes++;
		announce_set_changed(a, r, true);
		if (now_us >= a->change_at)
			announce_flush_changes(a, now_us);
	}
	return 0;
}

/* Starts an exchange with a newly connected peer. CF_ENOSPACE, CF_ENOMEM. */
int announce_peer_up(struct announce *a, uint64_t peer, int64_t now_us)
{
	struct announce_peer *p = announce_peer_find(a, peer);

	if (!p) {
		if (HASH_COUNT(a->peers) >= a->opt.max_peers)
			return CF_ENOSPACE;
		p = calloc(1, sizeof(*p));
		if (!p)
			return CF_ENOMEM;
		p->map = calloc(a->opt.max_upstreams, sizeof(*p->map));
		p->reply = calloc(a->opt.max_upstreams, sizeof(*p->reply));
		if (!p->map || !p->reply) {
			peer_free(p);
			return CF_ENOMEM;
		}
		p->id = peer;
		p->asked_us = INT64_MIN / 2;
		HASH_ADD(hh, a->peers, id, sizeof(p->id), p);
	}
	p->session_out = ++a->sessions;
	p->cursor = 0;
	a->exchange_at = now_us;
	a->stats.exchanges++;
	return 0;
}

void announce_peer_down(struct announce *a, uint64_t peer, int64_t now_us)
{
	struct announce_peer *p = announce_peer_find(a, peer);

	if (!p)
		return;
	HASH_DELETE(hh, a->peers, p);
	peer_free(p);
}

/* Removes records and pending requests without news for RECORD_KEEP_US. */
static void remove_expired(struct announce *a, int64_t now_us)
{
	struct announce_fetch *w;
	struct announce_fetch *tmp;

	for (uint32_t i = 0; i < a->numbers; i++) {
		struct announce_record *r = a->by_number[i];

		if (r && now_us - r->last_heard_us > RECORD_KEEP_US)
			announce_record_remove(a, r);
	}
	HASH_ITER (hh, a->fetches, w, tmp) {
		if (now_us - w->asked_us > RECORD_KEEP_US)
			announce_cancel_fetch(a, w->id);
	}
}

/* Sends due changes and renewals and continues exchanges. */
void announce_tick(struct announce *a, int64_t now_us)
{
	struct announce_peer *p;
	struct announce_peer *tmp;

	if (a->n_changed && now_us >= a->change_at)
		announce_flush_changes(a, now_us);
	if (now_us >= a->batch_at) {
		a->batch_at = now_us + a->opt.batch_us;
		remove_expired(a, now_us);
		announce_flush_renewals(a, now_us);
	}
	if (now_us >= a->exchange_at) {
		a->exchange_at = now_us + EXCHANGE_US;
		HASH_ITER (hh, a->peers, p, tmp) {
			if (announce_exchanging(a, p))
				announce_exchange(a, p, now_us);
		}
	}
}

/* Returns the time at which announce_tick() must be called next. */
int64_t announce_deadline(const struct announce *a)
{
	int64_t at = a->batch_at;
	const struct announce_peer *p;

	if (a->n_changed && a->change_at < at)
		at = a->change_at;
	for (p = a->peers; p; p = p->hh.next)
		if (announce_exchanging(a, p) && a->exchange_at < at)
			at = a->exchange_at;
	return at;
}

void announce_stats(const struct announce *a, struct announce_stats *out)
{
	*out = a->stats;
	out->upstreams = HASH_COUNT(a->records);
	out->peers = HASH_COUNT(a->peers);
}
