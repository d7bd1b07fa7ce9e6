#include "core/announce_impl.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/err.h"
#include "core/announce_wire.h"

static void send_batch(struct announce *a, struct announce_peer *p,
		       const struct buf *body)
{
	struct buf b = {0};
	int err;

	err = wire_put(&b, WIRE_VERSION);
	err |= wire_put(&b, p->session_out);
	err |= buf_add(&b, body->p, body->n);
	if (!err) {
		a->stats.batches++;
		a->stats.bytes_sent += b.n;
		err = a->host->ops->send(a->host, p->id, buf_str(&b));
	}
	buf_free(&b);
	if (err) {
		p->session_out = ++a->sessions;
		p->cursor = 0;
	}
}

static void send_all(struct announce *a, const struct buf *body)
{
	struct announce_peer *p;
	struct announce_peer *tmp;

	if (body->n == 0)
		return;
	HASH_ITER (hh, a->peers, p, tmp) {
		send_batch(a, p, body);
	}
}

static int put_map(struct buf *b, const struct announce_record *r, int64_t now_us)
{
	int64_t age = now_us - r->last_heard_us + HOP_DELAY_US;
	int err = wire_put(b, WIRE_MAP);

	err |= wire_put(b, r->number);
	err |= wire_put_id(b, r->id);
	err |= wire_put(b, (uint64_t)(age + MS - 1) / MS);
	err |= wire_put(b, r->u.sequence);
	err |= wire_put(b, announce_digest(&r->u));
	return err ? CF_ENOMEM : 0;
}

static int put_full(struct buf *b, const struct announce_record *r, int64_t now_us)
{
	struct router_upstream u = r->u;
	int err;

	u.age_us = now_us - r->last_heard_us + HOP_DELAY_US;
	err = wire_put(b, WIRE_FULL);
	err |= wire_put(b, r->number);
	err |= wire_put_upstream(b, &u);
	return err ? CF_ENOMEM : 0;
}

/* Sends the changed announcements to all peers. */
void announce_flush_changes(struct announce *a, int64_t now_us)
{
	struct buf b = {0};

	for (uint32_t i = 0; i < a->numbers && a->n_changed; i++) {
		struct announce_record *r = a->by_number[i];

		if (!r || !r->changed)
			continue;
		if (put_full(&b, r, now_us) != 0) {
			/*
			 * Retried at the next tick; peers get the records of the
			 * discarded batch with the next exchange.
			 */
			buf_free(&b);
			return;
		}
		announce_set_changed(a, r, false);
		r->numbered = true;
		r->direct = false;
		r->shared_us = r->last_heard_us;
		if (b.n > BATCH_BYTES) {
			send_all(a, &b);
			b.n = 0;
		}
	}
	send_all(a, &b);
	buf_free(&b);
	a->change_at = now_us + CHANGE_US;
}

/* Whether a renewal of the upstream must be sent to the peers. */
static bool renewal_due(const struct announce *a, const struct announce_record *r,
			bool detailed)
{
	if (!r || !r->direct || r->changed)
		return false;
	return detailed || r->last_heard_us - r->shared_us >= a->opt.relay_us;
}

/*
 * Appends the renewals whose age is in [from_us, to_us), in order of their numbers.
 * Above `detailed` upstreams a renewal is one byte, the difference to the preceding
 * number. The load is omitted then: it would double the size, and responses carry
 * it too.
 */
static int put_renewals(struct announce *a, struct buf *b, int64_t from_us, int64_t to_us,
			int64_t now_us)
{
	bool detailed = HASH_COUNT(a->records) <= a->opt.detailed;
	struct buf list = {0};
	uint32_t before = 0;
	uint64_t count = 0;
	int err = 0;

	for (uint32_t i = 0; i < a->numbers; i++) {
		struct announce_record *r = a->by_number[i];
		int64_t age = r ? now_us - r->last_heard_us : 0;

		if (age < from_us || age >= to_us || !renewal_due(a, r, detailed))
			continue;
		r->direct = false;
		r->shared_us = r->last_heard_us;
		if (!r->numbered) {
			/*
			 * Received from a peer: other peers do not have this number yet.
			 */
			err |= put_map(b, r, now_us);
			r->numbered = true;
			continue;
		}
		err |= wire_put(&list, i - before);
		if (detailed)
			err |= wire_put(&list,
					r->u.load < 0 ? 0 : (uint64_t)r->u.load + 1);
		before = i;
		count++;
	}
	if (count) {
		err |= wire_put(b, WIRE_RENEW);
		err |= wire_put(b, (uint64_t)(to_us / MS));
		err |= wire_put(b, detailed);
		err |= wire_put(b, count);
		err |= buf_add(b, list.p, list.n);
		a->stats.renewals_sent += count;
	}
	buf_free(&list);
	return err ? CF_ENOMEM : 0;
}

void announce_flush_renewals(struct announce *a, int64_t now_us)
{
	struct buf b = {0};
	int err = 0;

	for (int64_t age = 0; age <= a->opt.batch_us && !err; age += AGE_SPAN_US)
		err = put_renewals(a, &b, age, age + AGE_SPAN_US, now_us);
	if (!err)
		send_all(a, &b);
	buf_free(&b);
}

bool announce_exchanging(const struct announce *a, const struct announce_peer *p)
{
	return p->cursor < a->numbers || p->replies || p->out.n;
}

/* Sends one step of an exchange: number mappings, then requested announcements. */
void announce_exchange(struct announce *a, struct announce_peer *p, int64_t now_us)
{
	size_t bound = (size_t)(a->opt.exchange_bytes * EXCHANGE_US / SEC);
	struct buf b = p->out;
	int err = 0;

	p->out = (struct buf){0};
	for (; p->cursor < a->numbers && b.n < bound && !err; p->cursor++) {
		const struct announce_record *r = a->by_number[p->cursor];

		if (!r || now_us - r->last_heard_us >= a->opt.expiry_us)
			continue;
		err |= put_map(&b, r, now_us);
	}
	for (uint32_t i = 0; i < a->numbers && p->replies && b.n < bound && !err; i++) {
		if (!p->reply[i])
			continue;
		p->reply[i] = 0;
		p->replies--;
		if (a->by_number[i])
			err |= put_full(&b, a->by_number[i], now_us);
	}
	if (err)
		p->cursor = 0;
	else if (b.n)
		send_batch(a, p, &b);
	buf_free(&b);
}
