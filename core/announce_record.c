#include "core/announce_impl.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/err.h"
#include "core/announce_wire.h"

struct announce_peer *announce_peer_find(const struct announce *a, uint64_t id)
{
	struct announce_peer *p;

	HASH_FIND(hh, a->peers, &id, sizeof(id), p);
	return p;
}

struct announce_record *announce_record_find(const struct announce *a, uint64_t id)
{
	struct announce_record *r;

	HASH_FIND(hh, a->records, &id, sizeof(id), r);
	return r;
}

bool announce_valid(const struct router_upstream *u)
{
	const struct str s[] = {u->team, u->service, u->name, u->address, u->zone};

	for (size_t i = 0; i < sizeof(s) / sizeof(s[0]); i++)
		if (s[i].n == 0 || s[i].n > MAX_NAME)
			return false;
	return u->slots > 0 && u->age_us >= 0;
}

static struct str copy_str(char **p, struct str s)
{
	struct str copy = {*p, s.n};

	memcpy(*p, s.p, s.n);
	*p += s.n;
	return copy;
}

/* Replaces the content of a record; leaves it unchanged on CF_ENOMEM. */
static int record_set(struct announce_record *r, const struct router_upstream *u)
{
	size_t n = u->team.n + u->service.n + u->name.n + u->address.n + u->zone.n;
	char *text = malloc(n);
	char *p = text;
	char *old = r->text;

	if (!text)
		return CF_ENOMEM;
	r->u = *u;
	r->u.team = copy_str(&p, u->team);
	r->u.service = copy_str(&p, u->service);
	r->u.name = copy_str(&p, u->name);
	r->u.address = copy_str(&p, u->address);
	r->u.zone = copy_str(&p, u->zone);
	r->text = text;
	free(old);
	return 0;
}

void announce_record_remove(struct announce *a, struct announce_record *r)
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
		      struct announce_record **out)
{
	struct announce_record *r;

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

/* Hashes the content to 16 bits, so that 1 of 65,536 changes is not detected. */
uint16_t announce_digest(const struct router_upstream *u)
{
	XXH64_hash_t h = XXH3_64bits(u->address.p, u->address.n);

	h = XXH3_64bits_withSeed(u->zone.p, u->zone.n, h);
	return (uint16_t)(h + 2 * (uint64_t)u->slots + u->leaving);
}

bool announce_same(const struct router_upstream *x, const struct router_upstream *y)
{
	return x->slots == y->slots && x->leaving == y->leaving &&
	       str_eq(x->address, y->address) && str_eq(x->zone, y->zone);
}

void announce_set_changed(struct announce *a, struct announce_record *r, bool changed)
{
	a->n_changed += changed;
	a->n_changed -= r->changed;
	r->changed = changed;
}

/*
 * Adds an announcement to the table and reports it to the router. Sets *changed if
 * it is new or its content differs. CF_ESTALE for an older incarnation or a sequence
 * that is not newer; CF_EINVAL, CF_ENOSPACE, CF_ENOMEM.
 */
int announce_apply(struct announce *a, const struct router_upstream *u, int64_t now_us,
		   struct announce_record **out, bool *changed)
{
	uint64_t name_id = router_upstream_name_id(u);
	struct announce_record *r;
	int err = 0;

	if (!announce_valid(u))
		return CF_EINVAL;
	HASH_FIND(hh_name, a->names, &name_id, sizeof(name_id), r);
	*out = r;
	if (r && (u->incarnation < r->u.incarnation ||
		  (u->incarnation == r->u.incarnation && u->sequence <= r->u.sequence))) {
		a->stats.stale++;
		return CF_ESTALE;
	}
	*changed = !r || u->incarnation > r->u.incarnation || !announce_same(u, &r->u);
	if (r && u->incarnation > r->u.incarnation) {
		announce_record_remove(a, r);
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
	if (now_us - u->age_us > r->last_heard_us)
		r->last_heard_us = now_us - u->age_us;
	if (*changed)
		a->host->ops->upstream(a->host, u);
	else
		a->host->ops->renew(a->host, r->id, u->sequence, u->load, u->age_us);
	return 0;
}
