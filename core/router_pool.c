#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/router_impl.h"

/* Finds or adds a zone of the team. Returns its index, or -1 if the table is full. */
int router_zone_index(struct team *t, struct str name)
{
	struct zone *z;

	for (unsigned int i = 0; i < t->zones; i++)
		if (t->zone[i].len == name.n &&
		    memcmp(t->zone[i].name, name.p, name.n) == 0)
			return (int)i;
	if (t->zones == ROUTER_MAX_ZONES)
		return -1;
	z = &t->zone[t->zones];
	memcpy(z->name, name.p, name.n);
	z->len = name.n;
	return (int)t->zones++;
}

/* Finds or creates a team. NULL: unknown, max_teams reached, or no memory. */
struct team *router_team_get(struct router *r, struct str name, bool create)
{
	struct team *t;

	HASH_FIND(hh, r->teams, name.p, name.n, t);
	if (t || !create || HASH_COUNT(r->teams) >= r->opt.max_teams ||
	    name.n > ROUTER_MAX_NAME)
		return t;
	t = calloc(1, sizeof(*t));
	if (!t)
		return NULL;
	memcpy(t->name, name.p, name.n);
	t->len = name.n;
	TAILQ_INIT(&t->ring);
	retry_start(t);
	router_zone_index(t, r->opt.zone);
	HASH_ADD_KEYPTR(hh, r->teams, t->name, t->len, t);
	return t;
}

static size_t pool_key(char key[ROUTER_MAX_KEY], struct str team, struct str service)
{
	memcpy(key, team.p, team.n);
	key[team.n] = '\0';
	memcpy(key + team.n + 1, service.p, service.n);
	return team.n + 1 + service.n;
}

/* Returns the pool of a service, NULL if it has never been announced. */
struct pool *router_pool_find(struct router *r, struct str team, struct str service)
{
	char key[ROUTER_MAX_KEY];
	struct pool *p;
	size_t n;

	if (team.n > ROUTER_MAX_NAME || service.n > ROUTER_MAX_NAME)
		return NULL;
	n = pool_key(key, team, service);
	HASH_FIND(hh, r->pools, key, n, p);
	return p;
}

/* Finds or creates the pool of a service. CF_ENOSPACE above max_pools, CF_ENOMEM. */
int router_pool_get(struct router *r, struct team *t, struct str service,
		    struct pool **out)
{
	char key[ROUTER_MAX_KEY];
	struct pool *p = router_pool_find(r, (struct str){t->name, t->len}, service);

	*out = p;
	if (p)
		return 0;
	if (HASH_COUNT(r->pools) >= r->opt.max_pools)
		return CF_ENOSPACE;
	p = calloc(1, sizeof(*p));
	if (!p)
		return CF_ENOMEM;
	p->key_len = pool_key(key, (struct str){t->name, t->len}, service);
	p->key = malloc(p->key_len);
	if (!p->key) {
		free(p);
		return CF_ENOMEM;
	}
	memcpy(p->key, key, p->key_len);
	p->team = t;
	for (unsigned int c = 0; c < ROUTER_CLASSES; c++)
		TAILQ_INIT(&p->queue[c]);
	TAILQ_INIT(&p->retry_queue);
	TAILQ_INIT(&p->pause_queue);
	TAILQ_INIT(&p->members);
	p->home_us = INT64_MIN / 2;
	HASH_ADD_KEYPTR(hh, r->pools, p->key, p->key_len, p);
	*out = p;
	return 0;
}
