#include <stdlib.h>
#include <xxhash.h>

#include "core/router_impl.h"

/* Minimum interval between two assignments of one pool. */
#define ASSIGN_US 100000LL

struct place {
	uint64_t key;
	struct upstream *u;
};

static int by_key(const void *a, const void *b)
{
	const struct place *x = a;
	const struct place *y = b;

	return (x->key > y->key) - (x->key < y->key);
}

/*
 * Returns the index of the entry process with the highest rendezvous hash for the
 * upstream, among those with capacity left.
 */
static size_t owner(const struct router *r, uint64_t id, const unsigned int *left)
{
	uint64_t most = 0;
	size_t best = 0;
	bool found = false;

	for (size_t i = 0; i < r->n_entries; i++) {
		uint64_t h;

		if (!left[i])
			continue;
		h = XXH3_64bits_withSeed(&id, sizeof(id), r->entries[i]);
		if (!found || h > most) {
			most = h;
			best = i;
			found = true;
		}
	}
	return best;
}

/*
 * Assigns the usable upstreams of a pool to the live entry processes. Each process
 * computes the same owners from the same announcements, without messages. Rendezvous
 * hashing alone gives each of 8 processes 8 +- 3 of 65 upstreams; limiting each
 * process to the mean, rounded up, evens the shares and moves few upstreams when one
 * is added or removed. Ejected upstreams count, because each process ejects on its own.
 */
void home_assign(struct router *r, struct pool *p, int64_t now_us)
{
	struct place *v;
	unsigned int *left;
	struct upstream *u;
	unsigned int n = 0;

	if (!p->home_dirty || now_us < p->home_us + ASSIGN_US || p->usable == 0 ||
	    r->n_entries == 0)
		return;
	v = calloc(p->usable, sizeof(*v));
	left = calloc(r->n_entries, sizeof(*left));
	if (!v || !left)
		goto out; /* keep the previous assignment */
	p->home_dirty = false;
	p->home_us = now_us;
	TAILQ_FOREACH (u, &p->members, member) {
		if (u->counted && n < p->usable)
			v[n++] = (struct place){u->name_id, u};
	}
	qsort(v, n, sizeof(*v), by_key);
	for (size_t i = 0; i < r->n_entries; i++)
		left[i] = (unsigned int)((n + r->n_entries - 1) / r->n_entries);
	for (unsigned int i = 0; i < n; i++) {
		size_t o = owner(r, v[i].u->name_id, left);

		left[o]--;
		v[i].u->home = r->entries[o] == r->self;
		upstream_update(r, v[i].u, now_us);
	}
out:
	free(v);
	free(left);
}
