#include "core/dedup.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <xxhash.h>

#include "base/err.h"
#include "core/table.h"
#include "core/team.h"
#include "proto/codec.h"

#define DEFAULT_TEAMS 640
/* About 17,000 results at 120 bytes; there are 2,500 changes and 30,000 jobs a day. */
static const struct share_options default_bytes = {1 << 10, 2 << 20, 1 << 20};
#define DEFAULT_KEEP_US (24ULL * 3600 * 1000000)

struct record {
	TAILQ_ENTRY(record) link;
	struct dedup_team *team;
	uint64_t index;
	uint64_t time_us;
	uint8_t hash[CMD_HASH];
	uint32_t result_n;
	uint8_t id_n;
	char bytes[]; /* request id, result */
};

TAILQ_HEAD(record_list, record);

struct dedup_team {
	struct team team;
	struct record_list records; /* in the order of their indexes */
	uint64_t used;
};

struct dedup {
	struct dedup_options options;
	struct teams teams;
	struct share bytes;
	struct table table;
};

struct record_key {
	struct str team;
	struct str id;
};

static struct str record_id(const struct record *r)
{
	return (struct str){r->bytes, r->id_n};
}

static uint64_t hash_key(struct str team, struct str id)
{
	return XXH3_64bits_withSeed(id.p, id.n, XXH3_64bits(team.p, team.n));
}

static uint64_t record_hash(const void *entry)
{
	const struct record *r = entry;

	return hash_key(team_name(&r->team->team), record_id(r));
}

static bool record_equal(const void *entry, const void *key)
{
	const struct record *r = entry;
	const struct record_key *k = key;

	return str_eq(record_id(r), k->id) && str_eq(team_name(&r->team->team), k->team);
}

static const struct table_ops record_ops = {record_hash, record_equal};

void dedup_defaults(struct dedup_options *o)
{
	*o = (struct dedup_options){
		.teams = DEFAULT_TEAMS,
		.bytes = default_bytes,
		.keep_us = DEFAULT_KEEP_US,
	};
}

int dedup_new(const struct dedup_options *o, struct dedup **out)
{
	struct dedup *d = calloc(1, sizeof(*d));

	if (!d)
		return CF_ENOMEM;
	d->options = *o;
	d->teams.max = o->teams;
	d->teams.size = sizeof(struct dedup_team);
	d->bytes.options = o->bytes;
	d->table.ops = &record_ops;
	*out = d;
	return 0;
}

static struct dedup_team *team_at(const struct dedup *d, size_t i)
{
	return (struct dedup_team *)d->teams.list[i];
}

void dedup_free(struct dedup *d)
{
	if (!d)
		return;
	for (size_t i = 0; i < d->teams.count; i++) {
		struct record *r;

		while ((r = TAILQ_FIRST(&team_at(d, i)->records))) {
			TAILQ_REMOVE(&team_at(d, i)->records, r, link);
			free(r);
		}
	}
	table_free(&d->table);
	teams_free(&d->teams);
	free(d);
}

static size_t record_bytes(size_t id, size_t result)
{
	return sizeof(struct record) + id + result;
}

static void drop_record(struct dedup *d, struct dedup_team *t, struct record *r)
{
	table_remove(&d->table, r);
	TAILQ_REMOVE(&t->records, r, link);
	share_release(&d->bytes, &t->used, record_bytes(r->id_n, r->result_n));
	free(r);
}

/*
 * Finds the result of a change. CF_ENOENT when it is not stored, CF_EREUSED when the
 * request id belongs to a command with another hash.
 */
int dedup_find(const struct dedup *d, struct str team, struct str request_id,
	       const uint8_t hash[CMD_HASH], struct str *result)
{
	struct record_key key = {team, request_id};
	const struct record *r = table_find(&d->table, hash_key(team, request_id), &key);

	if (!r)
		return CF_ENOENT;
	if (memcmp(r->hash, hash, CMD_HASH) != 0)
		return CF_EREUSED;
	*result = (struct str){r->bytes + r->id_n, r->result_n};
	return 0;
}

/* Returns whether the team is known or can be added. */
bool dedup_has_room(const struct dedup *d, struct str team)
{
	return d->teams.count < d->teams.max || teams_find(&d->teams, team);
}

/*
 * Stores a result whose key is not stored yet, and drops the oldest results of the
 * team above its bound. CF_ENOSPACE when there are too many teams.
 */
int dedup_add(struct dedup *d, const struct dedup_result *in)
{
	size_t size = record_bytes(in->request_id.n, in->result.n);
	struct dedup_team *t;
	struct team *team;
	struct record *r;
	int err;

	if (in->request_id.n > CMD_MAX_NAME || in->result.n > CMD_MAX_RESULT)
		return CF_ETOOBIG;
	err = teams_add(&d->teams, in->team, &team);
	if (err)
		return err;
	t = (struct dedup_team *)team;
	if (!t->records.tqh_last)
		TAILQ_INIT(&t->records);
	while (!share_fits(&d->bytes, t->used, size) && (r = TAILQ_FIRST(&t->records)))
		drop_record(d, t, r);
	r = malloc(size);
	if (!r)
		return CF_ENOMEM;
	r->team = t;
	r->index = in->index;
	r->time_us = in->time_us;
	memcpy(r->hash, in->hash, CMD_HASH);
	r->id_n = (uint8_t)in->request_id.n;
	r->result_n = (uint32_t)in->result.n;
	if (r->id_n)
		memcpy(r->bytes, in->request_id.p, r->id_n);
	if (r->result_n)
		memcpy(r->bytes + r->id_n, in->result.p, r->result_n);
	err = table_add(&d->table, r);
	if (err) {
		free(r);
		return err;
	}
	TAILQ_INSERT_TAIL(&t->records, r, link);
	share_acquire(&d->bytes, &t->used, size);
	return 0;
}

/* Drops results older than keep_us, and then teams without results. */
void dedup_expire(struct dedup *d, uint64_t time_us)
{
	for (size_t i = d->teams.count; i > 0; i--) {
		struct dedup_team *t = team_at(d, i - 1);
		struct record *r;

		while ((r = TAILQ_FIRST(&t->records)) &&
		       time_us - r->time_us > d->options.keep_us)
			drop_record(d, t, r);
		if (!TAILQ_FIRST(&t->records))
			teams_remove(&d->teams, &t->team);
	}
}

size_t dedup_count(const struct dedup *d)
{
	return d->table.n;
}

/* Memory of the records and of the table. */
size_t dedup_bytes(const struct dedup *d)
{
	return d->bytes.total + table_bytes(&d->table);
}

/* Visits all results by team, then in the order of their indexes. */
int dedup_walk(const struct dedup *d, int (*visit)(void *, struct snap_record *),
	       void *arg)
{
	for (size_t i = 0; i < d->teams.count; i++) {
		const struct record *r;

		TAILQ_FOREACH (r, &team_at(d, i)->records, link) {
			struct snap_record record = {.kind = SNAP_RESULT};
			struct snap_result *out = &record.snap_record_u.result;
			struct str result = {r->bytes + r->id_n, r->result_n};
			int err;

			XDR_SET(*out, team, team_name(&r->team->team));
			XDR_SET(*out, request_id, record_id(r));
			out->index = r->index;
			out->time_us = r->time_us;
			memcpy(out->hash, r->hash, CMD_HASH);
			XDR_SET(*out, result, result);
			err = visit(arg, &record);
			if (err)
				return err;
		}
	}
	return 0;
}

/* Appends a result from a snapshot to the list of its team. */
int dedup_load(struct dedup *d, const struct snap_result *in)
{
	struct dedup_result r = {
		.team = XDR_STR(*in, team),
		.request_id = XDR_STR(*in, request_id),
		.index = in->index,
		.time_us = in->time_us,
		.result = XDR_STR(*in, result),
	};
	struct record_key key = {r.team, r.request_id};

	if (!name_valid(r.team) || r.request_id.n == 0 ||
	    table_find(&d->table, hash_key(r.team, r.request_id), &key))
		return CF_ECORRUPT;
	memcpy(r.hash, in->hash, CMD_HASH);
	return dedup_add(d, &r);
}
