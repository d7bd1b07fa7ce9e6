#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/err.h"
#include "core/router_impl.h"

/*
 * A record is kept this long after its announcement expired, to detect an older
 * incarnation or sequence that arrives late.
 */
#define FORGET_US (60 * 1000000LL)
/* Interval of checks of an expired record that still has requests in flight. */
#define FORGET_RETRY_US (1000000LL)

static uint64_t hash_name(const struct router_upstream *u, bool with_incarnation)
{
	char b[3 * (ROUTER_MAX_NAME + 1) + sizeof(u->incarnation)];
	const struct str part[] = {u->team, u->service, u->name};
	size_t n = 0;

	for (size_t i = 0; i < 3; i++) {
		size_t len = part[i].n < ROUTER_MAX_NAME ? part[i].n : ROUTER_MAX_NAME;

		memcpy(b + n, part[i].p, len);
		n += len;
		b[n++] = '\0';
	}
	if (with_incarnation) {
		memcpy(b + n, &u->incarnation, sizeof(u->incarnation));
		n += sizeof(u->incarnation);
	}
	return XXH3_64bits(b, n);
}

/*
 * Returns the id of an upstream: a hash of team, service, name and incarnation, equal
 * at every entry process. At 9,800 upstreams the probability of a collision is 3e-12;
 * router_upstream() then refuses the second upstream.
 */
uint64_t router_upstream_id(const struct router_upstream *u)
{
	return hash_name(u, true);
}

/* Returns a hash of team, service and name, equal for every incarnation. */
uint64_t router_upstream_name_id(const struct router_upstream *u)
{
	return hash_name(u, false);
}

static bool valid_name(struct str s)
{
	return s.n > 0 && s.n <= ROUTER_MAX_NAME && !memchr(s.p, '\0', s.n);
}

/* Whether the upstream may get new requests, disregarding limits and ejection. */
bool upstream_usable(const struct upstream *u, int64_t now_us)
{
	return u->current && !u->leaving && now_us < u->expires_us &&
	       !u->pool->team->zone[u->zone].out;
}

static void set_put(struct upstream_set *s, unsigned int i, struct upstream *u)
{
	s->v[i] = u;
	u->set_pos = i;
}

static void set_swap(struct upstream_set *s, unsigned int a, unsigned int b)
{
	struct upstream *x = s->v[a];

	set_put(s, a, s->v[b]);
	set_put(s, b, x);
}

static void set_open(struct upstream *u, bool open)
{
	struct upstream_set *s = u->set;

	if (open && u->set_pos >= s->open)
		set_swap(s, u->set_pos, s->open++);
	else if (!open && u->set_pos < s->open)
		set_swap(s, u->set_pos, --s->open);
}

static void set_remove(struct upstream *u)
{
	struct upstream_set *s = u->set;

	if (!s)
		return;
	set_open(u, false);
	set_swap(s, u->set_pos, s->n - 1);
	s->n--;
	u->set = NULL;
}

static int set_add(struct upstream_set *s, struct upstream *u)
{
	if (s->n == s->cap) {
		unsigned int cap = s->cap ? 2 * s->cap : 8;
		struct upstream **v = (struct upstream **)realloc(
			(void *)s->v, cap * sizeof(struct upstream *));

		if (!v)
			return CF_ENOMEM;
		s->v = v;
		s->cap = cap;
	}
	set_put(s, s->n++, u);
	u->set = s;
	return 0;
}

/*
 * Moves the upstream to the set that matches its state. To be called after each change
 * of that state. If memory is short, the upstream is unused until the next call.
 */
void upstream_update(struct router *r, struct upstream *u, int64_t now_us)
{
	struct pool *p = u->pool;
	bool usable = upstream_usable(u, now_us);
	bool ejected = usable && eject_active(u, now_us);
	struct upstream_set *want = NULL;

	if (usable != u->counted) {
		u->counted = usable;
		p->home_dirty = true;
		p->usable += usable ? 1 : -1U;
		p->fail_sum += usable ? (double)u->fail : -(double)u->fail;
	}
	if (ejected != u->counted_ejected) {
		u->counted_ejected = ejected;
		p->ejected += ejected ? 1 : -1U;
	}
	if (p->usable && p->usable == p->ejected) {
		eject_end_all(r, p, now_us);
		ejected = eject_active(u, now_us);
	}
	if (usable && !ejected)
		want = &p->set[u->zone][u->home];
	if (want != u->set) {
		set_remove(u);
		if (want && set_add(want, u) != 0)
			return;
	}
	if (u->set)
		set_open(u,
			 u->inflight < limit_own(r, u) && now_us >= u->closed_until_us);
}

/*
 * Records a load reported by the upstream. Requests beyond `own`, those of this
 * process, are attributed to the other entry processes.
 */
void upstream_load(struct upstream *u, int load, unsigned int own, int64_t at_us)
{
	if (load < 0 || at_us < u->load_reported_us)
		return;
	u->other_load = (unsigned int)load > own ? (unsigned int)load - own : 0;
	u->load_reported_us = at_us;
}

static void upstream_remove(struct router *r, struct upstream *u)
{
	set_remove(u);
	timers_remove(&r->timers, &u->expiry);
	timers_remove(&r->timers, &u->reopen);
	if (u->current)
		HASH_DELETE(hh_name, r->names, u);
	HASH_DELETE(hh, r->upstreams, u);
	TAILQ_REMOVE(&u->pool->members, u, member);
	free(u->text);
	free(u);
}

/* Releases the slot of one request; frees a superseded record with the last one. */
void upstream_release(struct router *r, struct upstream *u, int64_t now_us)
{
	u->inflight--;
	u->pool->inflight--;
	u->pool->team->inflight--;
	r->inflight--;
	if (!u->current && u->inflight == 0)
		upstream_remove(r, u);
	else
		upstream_update(r, u, now_us);
}

/* Expiry timer: makes the upstream unusable; FORGET_US later removes the record. */
void upstream_expiry(struct router *r, struct upstream *u, int64_t now_us)
{
	if (now_us < u->expires_us) {
		timers_set(&r->timers, &u->expiry, u->expires_us);
		return;
	}
	upstream_update(r, u, now_us);
	queue_dispatch(r, u->pool, now_us);
	if (now_us < u->expires_us + FORGET_US)
		timers_set(&r->timers, &u->expiry, u->expires_us + FORGET_US);
	else if (u->inflight)
		timers_set(&r->timers, &u->expiry, now_us + FORGET_RETRY_US);
	else
		upstream_remove(r, u);
}

/* Timer for the end of a pause after a refusal, or of an ejection. */
void upstream_reopen(struct router *r, struct upstream *u, int64_t now_us)
{
	int64_t next = INT64_MAX;

	/* Pause and ejection share one timer, set to the earlier end. */
	if (now_us < u->closed_until_us)
		next = u->closed_until_us;
	if (now_us < u->ejected_until_us && u->ejected_until_us < next)
		next = u->ejected_until_us;
	if (next != INT64_MAX)
		timers_set(&r->timers, &u->reopen, next);
	upstream_update(r, u, now_us);
	queue_dispatch(r, u->pool, now_us);
}

static void dispatch_all(struct router *r, int64_t now_us)
{
	struct pool *p;
	struct pool *tmp;

	HASH_ITER (hh, r->pools, p, tmp) {
		queue_dispatch(r, p, now_us);
	}
}

/* Sets the names of the live entry processes; may omit this one. CF_ENOMEM. */
int router_entries(struct router *r, const struct str *names, size_t n, int64_t now_us)
{
	uint64_t *v = NULL;
	struct pool *p;
	struct pool *p_tmp;
	struct upstream *u;
	struct upstream *tmp;

	if (n) {
		v = calloc(n, sizeof(*v));
		if (!v)
			return CF_ENOMEM;
	}
	for (size_t i = 0; i < n; i++)
		v[i] = XXH3_64bits(names[i].p, names[i].n);
	free(r->entries);
	r->entries = v;
	r->n_entries = n;
	HASH_ITER (hh, r->pools, p, p_tmp) {
		p->home_dirty = true;
	}
	/* The share of connections per process has changed. */
	HASH_ITER (hh, r->upstreams, u, tmp) {
		upstream_update(r, u, now_us);
	}
	dispatch_all(r, now_us);
	return 0;
}

static int set_text(struct upstream *u, const struct router_upstream *a)
{
	char *text;

	if (u->text && a->address.n == u->addr_len &&
	    memcmp(u->text + u->name_len, a->address.p, a->address.n) == 0)
		return 0;
	text = malloc(a->name.n + a->address.n);
	if (!text)
		return CF_ENOMEM;
	memcpy(text, a->name.p, a->name.n);
	memcpy(text + a->name.n, a->address.p, a->address.n);
	free(u->text);
	u->text = text;
	u->name_len = (uint8_t)a->name.n;
	u->addr_len = (uint8_t)a->address.n;
	return 0;
}

static int upstream_add(struct router *r, struct pool *p, const struct router_upstream *a,
			uint64_t name_id, struct upstream *old, int64_t now_us,
			struct upstream **out)
{
	uint64_t id = router_upstream_id(a);
	struct upstream *u;
	int err;

	HASH_FIND(hh, r->upstreams, &id, sizeof(id), u);
	if (u)
		return CF_ECONFLICT;
	if (HASH_COUNT(r->upstreams) >= r->opt.max_upstreams)
		return CF_ENOSPACE;
	err = timers_reserve(&r->timers, HASH_COUNT(r->requests) +
						 2 * (size_t)HASH_COUNT(r->upstreams) +
						 2);
	if (err)
		return err;
	u = calloc(1, sizeof(*u));
	if (!u)
		return CF_ENOMEM;
	if (set_text(u, a) != 0) {
		free(u);
		return CF_ENOMEM;
	}
	u->id = id;
	u->name_id = name_id;
	u->incarnation = a->incarnation;
	u->pool = p;
	u->expiry.kind = TIMER_EXPIRY;
	u->reopen.kind = TIMER_REOPEN;
	u->ejected_until_us = INT64_MIN;
	u->success_mark = p->successes;
	u->closed_until_us = INT64_MIN;
	u->load_reported_us = INT64_MIN;
	u->expires_us = INT64_MIN;
	u->limit = (float)a->slots;
	if (old) {
		/* Its process has ended; its requests fail with their connections. */
		HASH_DELETE(hh_name, r->names, old);
		old->current = false;
		suspect_ended(r, old);
		upstream_update(r, old, now_us);
		if (!old->inflight)
			upstream_remove(r, old);
	}
	u->current = true;
	TAILQ_INSERT_TAIL(&p->members, u, member);
	HASH_ADD(hh, r->upstreams, id, sizeof(u->id), u);
	HASH_ADD(hh_name, r->names, name_id, sizeof(u->name_id), u);
	*out = u;
	return 0;
}

/* Applies a renewal whose sequence is newer, or 0. */
static void renew(struct router *r, struct upstream *u, uint64_t sequence, int load,
		  int64_t age_us, int64_t now_us)
{
	int64_t at = now_us - age_us;

	if (sequence)
		u->sequence = sequence;
	if (at + r->opt.expiry_us > u->expires_us)
		u->expires_us = at + r->opt.expiry_us;
	upstream_load(u, load, u->inflight, at);
	/* A timer that fires early is set again, so most renewals need not move it. */
	if (!u->expiry.slot || u->expiry.at_us > u->expires_us)
		timers_set(&r->timers, &u->expiry, u->expires_us);
}

static int check_upstream(const struct router_upstream *a)
{
	if (!valid_name(a->team) || !valid_name(a->service) || !valid_name(a->name) ||
	    !valid_name(a->address) || !valid_name(a->zone))
		return CF_EINVAL;
	if (a->slots == 0 || a->slots > ROUTER_MAX_SLOTS || a->age_us < 0)
		return CF_EINVAL;
	return 0;
}

/*
 * Applies an announcement. CF_EINVAL; CF_ESTALE: older incarnation or sequence not
 * newer; CF_ENOSPACE: a limit is reached; CF_ECONFLICT: its hash belongs to another
 * upstream; CF_ENOMEM.
 */
int router_upstream(struct router *r, const struct router_upstream *a, int64_t now_us)
{
	struct upstream *u;
	struct team *t;
	uint64_t name_id;
	struct pool *p;
	int zone;
	int err;

	err = check_upstream(a);
	if (err)
		return err;
	t = router_team_get(r, a->team, true);
	if (!t)
		return CF_ENOSPACE;
	zone = router_zone_index(t, a->zone);
	if (zone < 0)
		return CF_ENOSPACE;
	err = router_pool_get(r, t, a->service, &p);
	if (err)
		return err;
	name_id = hash_name(a, false);
	HASH_FIND(hh_name, r->names, &name_id, sizeof(name_id), u);
	if (u && (u->pool != p || u->name_len != a->name.n ||
		  memcmp(u->text, a->name.p, a->name.n) != 0))
		return CF_ECONFLICT;
	if (u && (a->incarnation < u->incarnation ||
		  (a->incarnation == u->incarnation && a->sequence <= u->sequence))) {
		r->stats.stale_announcements++;
		return CF_ESTALE;
	}
	if (!u || a->incarnation > u->incarnation)
		err = upstream_add(r, p, a, name_id, u, now_us, &u);
	else
		err = set_text(u, a);
	if (err)
		return err;
	u->slots = a->slots;
	u->leaving = a->leaving;
	u->zone = (uint8_t)zone;
	renew(r, u, a->sequence, a->load, a->age_us, now_us);
	upstream_update(r, u, now_us);
	queue_dispatch(r, p, now_us);
	return 0;
}

/*
 * Renews an unchanged upstream. sequence 0 only extends the lifetime, for a sender that
 * does not know the sequence. CF_EINVAL; CF_ESTALE; CF_ENOENT: the upstream is unknown
 * and the full announcement must be requested from the sender.
 */
int router_renew(struct router *r, uint64_t id, uint64_t sequence, int load,
		 int64_t age_us, int64_t now_us)
{
	struct upstream *u;

	if (age_us < 0)
		return CF_EINVAL;
	HASH_FIND(hh, r->upstreams, &id, sizeof(id), u);
	if (!u)
		return CF_ENOENT;
	if (!u->current || (sequence && sequence <= u->sequence)) {
		r->stats.stale_announcements++;
		return CF_ESTALE;
	}
	renew(r, u, sequence, load, age_us, now_us);
	upstream_update(r, u, now_us);
	queue_dispatch(r, u->pool, now_us);
	return 0;
}

/* Takes a zone of a team out of service, or back into it. CF_EINVAL, CF_ENOSPACE. */
int router_zone(struct router *r, struct str team, struct str zone, bool out,
		int64_t now_us)
{
	struct upstream *u;
	struct upstream *tmp;
	struct team *t;
	int i;

	if (!valid_name(team) || !valid_name(zone))
		return CF_EINVAL;
	t = router_team_get(r, team, true);
	if (!t)
		return CF_ENOSPACE;
	i = router_zone_index(t, zone);
	if (i < 0)
		return CF_ENOSPACE;
	if (t->zone[i].out == out)
		return 0;
	t->zone[i].out = out;
	HASH_ITER (hh, r->upstreams, u, tmp) {
		if (u->pool->team == t && u->zone == i)
			upstream_update(r, u, now_us);
	}
	/* Last, so that no request goes to an upstream of the zone not yet updated. */
	dispatch_all(r, now_us);
	return 0;
}

/* Describes an upstream, also one kept only for late requests. CF_ENOENT. */
int router_upstream_info(const struct router *r, uint64_t id,
			 struct router_upstream_info *out, int64_t now_us)
{
	struct upstream *u;
	const struct team *t;
	size_t own;

	HASH_FIND(hh, r->upstreams, &id, sizeof(id), u);
	if (!u)
		return CF_ENOENT;
	t = u->pool->team;
	own = t->len + 1;
	*out = (struct router_upstream_info){
		.team = {t->name, t->len},
		.service = {u->pool->key + own, u->pool->key_len - own},
		.name = {u->text, u->name_len},
		.address = {u->text + u->name_len, u->addr_len},
		.zone = {t->zone[u->zone].name, t->zone[u->zone].len},
		.slots = u->slots,
		.connections = limit_connections(r),
		.inflight = u->inflight,
		.age_us = u->expires_us == INT64_MIN
				  ? -1
				  : now_us - (u->expires_us - r->opt.expiry_us),
		.current = u->current,
		.leaving = u->leaving,
		.usable = upstream_usable(u, now_us),
		.ejected = eject_active(u, now_us),
	};
	return 0;
}

/*
 * Iterates over all upstream records. *cursor is 0 at the start. The router must not
 * change during the iteration. Returns false after the last record.
 */
bool router_upstream_next(const struct router *r, uint64_t *cursor,
			  struct router_upstream_info *out, int64_t now_us)
{
	struct upstream *u = r->upstreams;

	if (*cursor) {
		HASH_FIND(hh, r->upstreams, cursor, sizeof(*cursor), u);
		if (u)
			u = u->hh.next;
	}
	if (!u)
		return false;
	*cursor = u->id;
	return router_upstream_info(r, u->id, out, now_us) == 0;
}

/* Frees every upstream, pool and team. */
void upstream_free_all(struct router *r)
{
	struct upstream *u = r->upstreams;
	struct upstream *u_next;
	struct pool *p = r->pools;
	struct pool *p_next;
	struct team *t = r->teams;
	struct team *t_next;

	HASH_CLEAR(hh_name, r->names);
	HASH_CLEAR(hh, r->upstreams);
	HASH_CLEAR(hh, r->pools);
	HASH_CLEAR(hh, r->teams);
	for (; u; u = u_next) {
		u_next = u->hh.next;
		free(u->text);
		free(u);
	}
	for (; p; p = p_next) {
		p_next = p->hh.next;
		for (unsigned int i = 0; i < ROUTER_MAX_ZONES; i++) {
			free((void *)p->set[i][0].v);
			free((void *)p->set[i][1].v);
		}
		free(p->key);
		free(p);
	}
	for (; t; t = t_next) {
		t_next = t->hh.next;
		free(t);
	}
	free(r->entries);
}
