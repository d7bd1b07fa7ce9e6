#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/sched_impl.h"

/* Returns the zone of that name, created if new; NULL: no memory or MAX_ZONES reached. */
struct zone *zone_get(struct sched *s, struct str name)
{
	struct zone *z;

	HASH_FIND(hh, s->zones, name.p, name.n, z);
	if (z)
		return z;
	if (s->nzones == MAX_ZONES)
		return NULL;
	z = calloc(1, sizeof(*z));
	if (!z)
		return NULL;
	z->name = str_dup(name);
	if (!z->name) {
		free(z);
		return NULL;
	}
	z->len = name.n;
	z->index = s->nzones++;
	TAILQ_INIT(&z->workers);
	for (unsigned int i = 0; i < FREE_BUCKETS; i++)
		TAILQ_INIT(&z->free[i]);
	s->zone_by_index[z->index] = z;
	HASH_ADD_KEYPTR(hh, s->zones, z->name, z->len, z);
	s->stats.bytes += sizeof(*z) + name.n + 1;
	return z;
}

/* Returns the rack of that name, created if new; NULL: no memory. */
struct rack *rack_get(struct sched *s, struct str name)
{
	struct rack *r;

	HASH_FIND(hh, s->racks, name.p, name.n, r);
	if (r)
		return r;
	r = calloc(1, sizeof(*r));
	if (!r)
		return NULL;
	r->name = str_dup(name);
	if (!r->name) {
		free(r);
		return NULL;
	}
	r->len = name.n;
	r->index = s->nracks++;
	HASH_ADD_KEYPTR(hh, s->racks, r->name, r->len, r);
	s->stats.bytes += sizeof(*r) + name.n + 1;
	return r;
}

/* Returns the team of that name, created if new; NULL: no memory. */
struct team *sched_team_get(struct sched *s, struct str name)
{
	struct team *t;

	HASH_FIND(hh, s->teams, name.p, name.n, t);
	if (t)
		return t;
	t = calloc(1, sizeof(*t));
	if (!t)
		return NULL;
	t->name = str_dup(name);
	if (!t->name) {
		free(t);
		return NULL;
	}
	t->len = name.n;
	t->weight = 1;
	t->id = ++s->next_id;
	for (unsigned int i = 0; i < SCHED_CLASSES; i++)
		TAILQ_INIT(&t->parked[i]);
	HASH_ADD_KEYPTR(hh, s->teams, t->name, t->len, t);
	s->stats.bytes += sizeof(*t) + name.n + 1;
	return t;
}

/* Builds the hash key of a name within a team: the team's id, then the name. */
int make_team_key(struct team *team, struct str name, char **key, size_t *len)
{
	char *p = malloc(sizeof(team->id) + name.n + 1);

	if (!p)
		return CF_ENOMEM;
	memcpy(p, &team->id, sizeof(team->id));
	if (name.n)
		memcpy(p + sizeof(team->id), name.p, name.n);
	*key = p;
	*len = sizeof(team->id) + name.n;
	return 0;
}

/* Returns the kind of that name within a team, created if new; NULL: no memory. */
struct kind *kind_get(struct sched *s, struct team *team, struct str name)
{
	struct kind *k = NULL;
	char *key;
	size_t len;

	if (make_team_key(team, name, &key, &len))
		return NULL;
	HASH_FIND(hh, s->kinds, key, len, k);
	if (k) {
		free(key);
		return k;
	}
	k = calloc(1, sizeof(*k));
	if (!k) {
		free(key);
		return NULL;
	}
	k->key = key;
	k->len = len;
	HASH_ADD_KEYPTR(hh, s->kinds, k->key, k->len, k);
	s->stats.bytes += sizeof(*k) + len;
	return k;
}

/* Returns the job of that name, NULL if there is none. */
struct job *sched_job_find(struct sched *s, struct str team, struct str name)
{
	struct team *t;
	char key[sizeof(t->id) + SCHED_MAX_NAME];
	struct job *j;

	if (name.n > SCHED_MAX_NAME)
		return NULL;
	HASH_FIND(hh, s->teams, team.p, team.n, t);
	if (!t)
		return NULL;
	memcpy(key, &t->id, sizeof(t->id));
	if (name.n)
		memcpy(key + sizeof(t->id), name.p, name.n);
	HASH_FIND(hh, s->jobs, key, sizeof(t->id) + name.n, j);
	return j;
}

struct str sched_team_name(const struct team *team)
{
	return (struct str){team->name, team->len};
}

struct str job_name(const struct job *job)
{
	return (struct str){job->key + sizeof(job->team->id),
			    job->len - sizeof(job->team->id)};
}

struct str worker_name(const struct worker *w)
{
	return (struct str){w->name, w->len};
}

/* Frees teams, kinds, zones and racks; jobs, tasks and workers must be freed before. */
void free_names(struct sched *s)
{
	struct zone *z;
	struct zone *ztmp;
	struct rack *r;
	struct rack *rtmp;
	struct team *t;
	struct team *ttmp;
	struct kind *k;
	struct kind *ktmp;

	ztmp = s->zones;
	HASH_CLEAR(hh, s->zones);
	while ((z = ztmp)) {
		ztmp = z->hh.next;
		free(z->name);
		free(z);
	}
	rtmp = s->racks;
	HASH_CLEAR(hh, s->racks);
	while ((r = rtmp)) {
		rtmp = r->hh.next;
		free(r->name);
		free(r);
	}
	ktmp = s->kinds;
	HASH_CLEAR(hh, s->kinds);
	while ((k = ktmp)) {
		ktmp = k->hh.next;
		free(k->key);
		free(k);
	}
	ttmp = s->teams;
	HASH_CLEAR(hh, s->teams);
	while ((t = ttmp)) {
		ttmp = t->hh.next;
		for (unsigned int i = 0; i < SCHED_CLASSES; i++)
			sched_heap_free(&t->waiting[i]);
		free(t->name);
		free(t);
	}
}
