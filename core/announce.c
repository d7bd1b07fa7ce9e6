#include "core/announce.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

#include "base/err.h"
#include "core/announce_wire.h"

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
struct record {
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
struct want {
	UT_hash_handle hh;
	uint64_t id;
	int64_t asked_us;
};

struct peer {
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
	struct record **by_number;
	uint32_t numbers; /* numbers up to this one were used */
	uint32_t *unused; /* numbers that are free again */
	uint32_t n_unused;
	struct record *records;
	struct record *names;
	struct peer *peers;
	struct want *wants;
	unsigned int n_changed;
	int64_t batch_at;
	int64_t change_at; /* earliest time of the next batch of changes */
	int64_t exchange_at;
	uint64_t sessions;
	struct announce_stats stats;
};

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

/* Makes an empty table. Memory is bounded by max_upstreams times max_peers. */
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
	a->by_number =
		(struct record **)calloc(o->max_upstreams, sizeof(struct record *));
	a->unused = calloc(o->max_upstreams, sizeof(*a->unused));
	if (!a->by_number || !a->unused) {
		announce_free(a);
		return CF_ENOMEM;
	}
	*out = a;
	return 0;
}

static void peer_free(struct peer *p)
{
	free(p->map);
	free(p->reply);
	buf_free(&p->out);
	free(p);
}

void announce_free(struct announce *a)
{
	struct peer *p;
	struct peer *p_next;
	struct want *w;
	struct want *w_next;

	if (!a)
		return;
	p = a->peers;
	w = a->wants;
	HASH_CLEAR(hh, a->peers);
	HASH_CLEAR(hh, a->wants);
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

static struct peer *peer_find(const struct announce *a, uint64_t id)
{
	struct peer *p;

	HASH_FIND(hh, a->peers, &id, sizeof(id), p);
	return p;
}

static struct record *record_find(const struct announce *a, uint64_t id)
{
	struct record *r;

	HASH_FIND(hh, a->records, &id, sizeof(id), r);
	return r;
}

static bool valid(const struct router_upstream *u)
{
	const struct str s[] = {u->team, u->service, u->name, u->address, u->zone};

	for (size_t i = 0; i < sizeof(s) / sizeof(s[0]); i++)
		if (s[i].n == 0 || s[i].n > MAX_NAME)
			return false;
	return u->slots > 0 && u->age_us >= 0;
}

static struct str keep(char **p, struct str s)
{
	struct str copy = {*p, s.n};

	memcpy(*p, s.p, s.n);
	*p += s.n;
	return copy;
}

/* Replaces the content of a record. CF_ENOMEM changes nothing. */
static int record_set(struct record *r, const struct router_upstream *u)
{
	size_t n = u->team.n + u->service.n + u->name.n + u->address.n + u->zone.n;
	char *text = malloc(n);
	char *p = text;
	char *old = r->text;

	if (!text)
		return CF_ENOMEM;
	r->u = *u;
	r->u.team = keep(&p, u->team);
	r->u.service = keep(&p, u->service);
	r->u.name = keep(&p, u->name);
	r->u.address = keep(&p, u->address);
	r->u.zone = keep(&p, u->zone);
	r->text = text;
	free(old);
	return 0;
}

static void record_remove(struct announce *a, struct record *r)
{
	if (!a->names || !a->records)
		return;
	a->by_number[r->number] = NULL;
	a->unused[a->n_unused++] = r->number;
	a->n_changed -= r->changed;
	HASH_DELETE(hh_name, a->names, r);
	HASH_DELETE(hh, a->records, r);
	free(r->text);
	free(r);
}

static int record_add(struct announce *a, const struct router_upstream *u,
		      struct record **out)
{
	struct record *r;

	if (!a->n_unused && a->numbers == a->opt.max_upstreams) {
		a->stats.refused++;
		return CF_ENOSPACE;
	}
	r = calloc(1, sizeof(*r));
	if (!r)
		return CF_ENOMEM;
	if (record_set(r, u) != 0) {
		free(r);
		return CF_ENOMEM;
	}
	r->id = router_upstream_id(u);
	r->name_id = router_upstream_name_id(u);
	r->number = a->n_unused ? a->unused[--a->n_unused] : a->numbers++;
	r->shared_us = INT64_MIN / 2;
	a->by_number[r->number] = r;
	HASH_ADD(hh, a->records, id, sizeof(r->id), r);
	HASH_ADD(hh_name, a->names, name_id, sizeof(r->name_id), r);
	*out = r;
	return 0;
}

/* A short hash of what changes are: 1 of 65,536 changes looks like none. */
static uint16_t digest(const struct router_upstream *u)
{
	XXH64_hash_t h = XXH3_64bits(u->address.p, u->address.n);

	h = XXH3_64bits_withSeed(u->zone.p, u->zone.n, h);
	return (uint16_t)(h + 2 * (uint64_t)u->slots + u->leaving);
}

static bool same(const struct router_upstream *x, const struct router_upstream *y)
{
	return x->slots == y->slots && x->leaving == y->leaving &&
	       str_eq(x->address, y->address) && str_eq(x->zone, y->zone);
}

static void set_changed(struct announce *a, struct record *r, bool changed)
{
	a->n_changed += changed;
	a->n_changed -= r->changed;
	r->changed = changed;
}

/*
 * Takes an announcement into the table and tells the router. *changed: it is new
 * or differs. CF_ESTALE for an older incarnation or a sequence that is not newer.
 */
static int take(struct announce *a, const struct router_upstream *u, int64_t now_us,
		struct record **out, bool *changed)
{
	uint64_t name_id = router_upstream_name_id(u);
	struct record *r;
	int err = 0;

	if (!valid(u))
		return CF_EINVAL;
	HASH_FIND(hh_name, a->names, &name_id, sizeof(name_id), r);
	*out = r;
	if (r && (u->incarnation < r->u.incarnation ||
		  (u->incarnation == r->u.incarnation && u->sequence <= r->u.sequence))) {
		a->stats.stale++;
		return CF_ESTALE;
	}
	*changed = !r || u->incarnation > r->u.incarnation || !same(u, &r->u);
	if (r && u->incarnation > r->u.incarnation) {
		record_remove(a, r);
		r = NULL;
	}
	if (!r)
		err = record_add(a, u, &r);
	else if (*changed)
		err = record_set(r, u);
	if (err)
		return err;
	*out = r;
	r->u.sequence = u->sequence;
	r->u.load = u->load;
	if (now_us - u->age_us > r->heard_us)
		r->heard_us = now_us - u->age_us;
	if (*changed)
		a->host->ops->upstream(a->host, u);
	else
		a->host->ops->renew(a->host, r->id, u->sequence, u->load, u->age_us);
	return 0;
}

static void send_batch(struct announce *a, struct peer *p, const struct buf *body)
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
	struct peer *p;
	struct peer *tmp;

	if (body->n == 0)
		return;
	HASH_ITER (hh, a->peers, p, tmp) {
		send_batch(a, p, body);
	}
}

static int put_map(struct buf *b, const struct record *r, int64_t now_us)
{
	int64_t age = now_us - r->heard_us + HOP_US;
	int err = wire_put(b, WIRE_MAP);

	err |= wire_put(b, r->number);
	err |= wire_put_id(b, r->id);
	err |= wire_put(b, (uint64_t)(age + MS - 1) / MS);
	err |= wire_put(b, r->u.sequence);
	err |= wire_put(b, digest(&r->u));
	return err ? CF_ENOMEM : 0;
}

static int put_full(struct buf *b, const struct record *r, int64_t now_us)
{
	struct router_upstream u = r->u;
	int err;

	u.age_us = now_us - r->heard_us + HOP_US;
	err = wire_put(b, WIRE_FULL);
	err |= wire_put(b, r->number);
	err |= wire_put_upstream(b, &u);
	return err ? CF_ENOMEM : 0;
}

/* Tells all peers what changed. */
static void flush_changes(struct announce *a, int64_t now_us)
{
	struct buf b = {0};

	for (uint32_t i = 0; i < a->numbers && a->n_changed; i++) {
		struct record *r = a->by_number[i];

		if (!r || !r->changed)
			continue;
		if (put_full(&b, r, now_us) != 0) {
			/* Peers learn it by the next exchange; here: try again. */
			buf_free(&b);
			return;
		}
		set_changed(a, r, false);
		r->numbered = true;
		r->direct = false;
		r->shared_us = r->heard_us;
		if (b.n > BATCH_BYTES) {
			send_all(a, &b);
			b.n = 0;
		}
	}
	send_all(a, &b);
	buf_free(&b);
	a->change_at = now_us + CHANGE_US;
}

/* Takes an announcement that an upstream made here. Errors as router_upstream(). */
int announce_heard(struct announce *a, const struct router_upstream *u, int64_t now_us)
{
	struct record *r;
	bool changed = false;
	int err;

	a->stats.heard++;
	err = take(a, u, now_us, &r, &changed);
	if (err)
		return err;
	r->direct = true;
	if (changed) {
		a->stats.changes++;
		set_changed(a, r, true);
		if (now_us >= a->change_at)
			flush_changes(a, now_us);
	}
	return 0;
}

/* A connection to the peer is there; an exchange starts. CF_ENOSPACE, CF_ENOMEM. */
int announce_peer_up(struct announce *a, uint64_t peer, int64_t now_us)
{
	struct peer *p = peer_find(a, peer);

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
	struct peer *p = peer_find(a, peer);

	if (!p)
		return;
	HASH_DELETE(hh, a->peers, p);
	peer_free(p);
}

/* Asks the peer for an announcement, unless somebody was asked a moment ago. */
static void want(struct announce *a, struct peer *p, uint64_t id, int64_t now_us)
{
	struct want *w;

	HASH_FIND(hh, a->wants, &id, sizeof(id), w);
	if (w && now_us < w->asked_us + WANT_US)
		return;
	if (!w) {
		if (HASH_COUNT(a->wants) >= a->opt.max_upstreams)
			return;
		w = calloc(1, sizeof(*w));
		if (!w)
			return;
		w->id = id;
		HASH_ADD(hh, a->wants, id, sizeof(w->id), w);
	}
	w->asked_us = now_us;
	if (wire_put(&p->out, WIRE_WANT) != 0 || wire_put(&p->out, 1) != 0 ||
	    wire_put_id(&p->out, id) != 0)
		buf_free(&p->out);
}

static void unwant(struct announce *a, uint64_t id)
{
	struct want *w;

	HASH_FIND(hh, a->wants, &id, sizeof(id), w);
	if (w) {
		HASH_DELETE(hh, a->wants, w);
		free(w);
	}
}

/* The newest announcement that the peers know: they were told by the same sender. */
static void shared(struct record *r, int64_t at_us)
{
	if (at_us > r->heard_us)
		r->heard_us = at_us;
	if (at_us > r->shared_us)
		r->shared_us = at_us;
}

static void get_full(struct announce *a, struct peer *p, struct wire *w, int64_t now_us)
{
	uint64_t number = wire_get(w);
	struct router_upstream u;
	struct record *r = NULL;
	bool changed;
	int err;

	wire_get_upstream(w, &u);
	if (!wire_ok(w))
		return;
	if (number >= a->opt.max_upstreams || !valid(&u)) {
		w->p = NULL;
		return;
	}
	p->map[number] = router_upstream_id(&u);
	unwant(a, p->map[number]);
	err = take(a, &u, now_us, &r, &changed);
	if ((err && err != CF_ESTALE) || !r || r->id != p->map[number])
		return;
	shared(r, now_us - u.age_us);
	/*
	 * The upstream changed and changed back, and the second announcement looked
	 * like no change here, because the first one had not arrived yet.
	 */
	if (err && u.sequence < r->u.sequence && !same(&u, &r->u))
		set_changed(a, r, true);
}

/*
 * Takes the number of an upstream; asks for the announcement when it is unknown, or
 * when the peer has a newer one with other content. A change that was lost with a
 * connection is found that way.
 */
static void get_map(struct announce *a, struct peer *p, struct wire *w, int64_t now_us)
{
	uint64_t number = wire_get(w);
	uint64_t id = wire_get_id(w);
	int64_t age = (int64_t)(wire_get(w) & UINT32_MAX) * MS;
	uint64_t sequence = wire_get(w);
	uint64_t content = wire_get(w);
	struct record *r;

	if (!wire_ok(w))
		return;
	if (number >= a->opt.max_upstreams) {
		w->p = NULL;
		return;
	}
	p->map[number] = id;
	r = record_find(a, id);
	if (!r) {
		if (age < a->opt.expiry_us)
			want(a, p, id, now_us);
		return;
	}
	if (content != digest(&r->u)) {
		if (sequence > r->u.sequence)
			want(a, p, id, now_us);
		else if (sequence < r->u.sequence)
			set_changed(a, r, true);
	}
	if (now_us - age > r->heard_us) {
		r->heard_us = now_us - age;
		a->host->ops->renew(a->host, id, 0, -1, age);
	}
}

/*
 * Takes a renewal of a peer. It does not carry a sequence: the peer may have missed
 * nothing that this process has, or the other way, so a renewal must not make the
 * content that is known here look newer than it is.
 */
static void get_renewal(struct announce *a, struct peer *p, uint64_t number, int load,
			int64_t age_us, int64_t now_us)
{
	uint64_t id = number < a->opt.max_upstreams ? p->map[number] : 0;
	struct record *r = id ? record_find(a, id) : NULL;

	a->stats.renewals_received++;
	if (r) {
		shared(r, now_us - age_us);
		a->host->ops->renew(a->host, id, 0, load, age_us);
		return;
	}
	if (id) {
		want(a, p, id, now_us);
		return;
	}
	a->stats.unmapped++;
	if (now_us < p->asked_us + WANT_US)
		return;
	p->asked_us = now_us;
	if (wire_put(&p->out, WIRE_EXCHANGE) != 0)
		buf_free(&p->out);
}

static void get_renewals(struct announce *a, struct peer *p, struct wire *w,
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

static void get_wants(struct announce *a, struct peer *p, struct wire *w)
{
	uint64_t count = wire_get(w);

	for (uint64_t i = 0; i < count && wire_ok(w); i++) {
		uint64_t id = wire_get_id(w);
		struct record *r = wire_ok(w) ? record_find(a, id) : NULL;

		if (r && !p->reply[r->number]) {
			p->reply[r->number] = 1;
			p->replies++;
		}
	}
}

/*
 * Takes a batch from a peer that is up. CF_EMALFORMED: the connection should be
 * closed; what came before the fault counts. CF_ENOENT: the peer is not up.
 */
int announce_receive(struct announce *a, uint64_t peer, struct str batch, int64_t now_us)
{
	struct peer *p = peer_find(a, peer);
	struct wire w = wire_from(batch);
	uint64_t session;

	if (!p)
		return CF_ENOENT;
	if (wire_get(&w) != WIRE_VERSION)
		w.p = NULL;
	session = wire_get(&w);
	if (wire_ok(&w) && session != p->session_in) {
		/* Numbers of an earlier connection may mean other upstreams now. */
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
			get_wants(a, p, &w);
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

/* Whether the peers have to be told that the upstream is still there. */
static bool due(const struct announce *a, const struct record *r, bool detailed)
{
	if (!r || !r->direct || r->changed)
		return false;
	return detailed || r->heard_us - r->shared_us >= a->opt.relay_us;
}

/*
 * Appends the renewals whose age is in a span, by number. With many upstreams a
 * renewal is one byte, the distance to the number before; the load would double
 * that, and responses carry the load too.
 */
static int put_span(struct announce *a, struct buf *b, int64_t from_us, int64_t to_us,
		    int64_t now_us)
{
	bool detailed = HASH_COUNT(a->records) <= a->opt.detailed;
	struct buf list = {0};
	uint32_t before = 0;
	uint64_t count = 0;
	int err = 0;

	for (uint32_t i = 0; i < a->numbers; i++) {
		struct record *r = a->by_number[i];
		int64_t age = r ? now_us - r->heard_us : 0;

		if (age < from_us || age >= to_us || !due(a, r, detailed))
			continue;
		r->direct = false;
		r->shared_us = r->heard_us;
		if (!r->numbered) {
			/* Learned from a peer: the others do not know this number. */
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

static void flush_renewals(struct announce *a, int64_t now_us)
{
	struct buf b = {0};
	int err = 0;

	for (int64_t age = 0; age <= a->opt.batch_us && !err; age += AGE_SPAN_US)
		err = put_span(a, &b, age, age + AGE_SPAN_US, now_us);
	if (!err)
		send_all(a, &b);
	buf_free(&b);
}

/* Removes what has not been heard of for so long that nobody can repeat it. */
static void forget(struct announce *a, int64_t now_us)
{
	struct want *w;
	struct want *tmp;

	for (uint32_t i = 0; i < a->numbers; i++) {
		struct record *r = a->by_number[i];

		if (r && now_us - r->heard_us > FORGET_US)
			record_remove(a, r);
	}
	HASH_ITER (hh, a->wants, w, tmp) {
		if (now_us - w->asked_us > FORGET_US)
			unwant(a, w->id);
	}
}

/* One step of the exchange with a peer: numbers first, then what it asked for. */
static void exchange(struct announce *a, struct peer *p, int64_t now_us)
{
	size_t bound = (size_t)(a->opt.exchange_bytes * EXCHANGE_US / SEC);
	struct buf b = p->out;
	int err = 0;

	p->out = (struct buf){0};
	for (; p->cursor < a->numbers && b.n < bound && !err; p->cursor++) {
		const struct record *r = a->by_number[p->cursor];

		if (!r || now_us - r->heard_us >= a->opt.expiry_us)
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

static bool exchanging(const struct announce *a, const struct peer *p)
{
	return p->cursor < a->numbers || p->replies || p->out.n;
}

/* Serves what is due: changes, renewals, steps of exchanges. */
void announce_tick(struct announce *a, int64_t now_us)
{
	struct peer *p;
	struct peer *tmp;

	if (a->n_changed && now_us >= a->change_at)
		flush_changes(a, now_us);
	if (now_us >= a->batch_at) {
		a->batch_at = now_us + a->opt.batch_us;
		forget(a, now_us);
		flush_renewals(a, now_us);
	}
	if (now_us >= a->exchange_at) {
		a->exchange_at = now_us + EXCHANGE_US;
		HASH_ITER (hh, a->peers, p, tmp) {
			if (exchanging(a, p))
				exchange(a, p, now_us);
		}
	}
}

/* Time of the next announce_tick(). */
int64_t announce_deadline(const struct announce *a)
{
	int64_t at = a->batch_at;
	const struct peer *p;

	if (a->n_changed && a->change_at < at)
		at = a->change_at;
	for (p = a->peers; p; p = p->hh.next)
		if (exchanging(a, p) && a->exchange_at < at)
			at = a->exchange_at;
	return at;
}

void announce_stats(const struct announce *a, struct announce_stats *out)
{
	*out = a->stats;
	out->upstreams = HASH_COUNT(a->records);
	out->peers = HASH_COUNT(a->peers);
}
