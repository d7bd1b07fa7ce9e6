/*
 * What identifies a queue: the host and path prefix by which callers reach it. Its name
 * is the operator's, who may change it or give it to another queue. Log entries and
 * snapshots name queues by references: the name under which the configuration that is in
 * force at their place has the queue, or, where that has none or several of the name, a
 * NUL and the 16 bytes of its key. Earlier versions know names only.
 */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/err.h"
#include "core/dag_state.h"
#include "proto/codec.h"

#define KEY_TEXT_MAX (2 * DAG_MAX_NAME + 1)

/* Of the host and prefix, which a NUL separates: neither has one (platform/). */
static struct dag_queue_key key_of_text(struct str host, struct str prefix)
{
	unsigned char text[KEY_TEXT_MAX];
	XXH128_hash_t hash;

	/* Empty texts may have no address. */
	if (host.n)
		memcpy(text, host.p, host.n);
	text[host.n] = '\0';
	if (prefix.n)
		memcpy(text + host.n + 1, prefix.p, prefix.n);
	hash = XXH3_128bits(text, host.n + 1 + prefix.n);
	return (struct dag_queue_key){hash.high64, hash.low64};
}

struct dag_queue_key dag_queue_key(const struct dag_queue *q)
{
	return key_of_text(XDR_STR(*q, host), XDR_STR(*q, prefix));
}

bool dag_queue_key_equal(const struct dag_queue_key *a, const struct dag_queue_key *b)
{
	return a->high == b->high && a->low == b->low;
}

/* Computes the keys of the configuration's queues. CF_ENOMEM. */
int dag_state_index_queues(struct dag_state *s)
{
	u_int n = s->conf.queues.queues_len;
	struct dag_queue_key *keys = calloc(n + 1, sizeof(*keys));

	if (!keys)
		return CF_ENOMEM;
	for (u_int i = 0; i < n; i++)
		keys[i] = dag_queue_key(&s->conf.queues.queues_val[i]);
	free(s->queue_keys);
	s->queue_keys = keys;
	return 0;
}

/* NULL: the configuration has no such queue. */
const struct dag_queue *dag_state_find_queue(const struct dag_state *s,
					     const struct dag_queue_key *key)
{
	for (u_int i = 0; i < s->conf.queues.queues_len; i++)
		if (dag_queue_key_equal(&s->queue_keys[i], key))
			return &s->conf.queues.queues_val[i];
	return NULL;
}

/* The first queue with a name; NULL: there is none. */
static const struct dag_queue *find_named(const struct dag_state *s, struct str name)
{
	for (u_int i = 0; i < s->conf.queues.queues_len; i++)
		if (str_eq(XDR_STR(s->conf.queues.queues_val[i], name), name))
			return &s->conf.queues.queues_val[i];
	return NULL;
}

/* References to keys are written in the byte order of the network. */
static bool read_key(struct str ref, struct dag_queue_key *key)
{
	const unsigned char *p = (const unsigned char *)ref.p;

	if (ref.n != DAG_QUEUE_REF_BYTES || p[0] != 0)
		return false;
	*key = (struct dag_queue_key){0, 0};
	for (int i = 1; i <= 8; i++) {
		key->high = key->high << 8 | p[i];
		key->low = key->low << 8 | p[i + 8];
	}
	return true;
}

static void write_key(const struct dag_queue_key *key, unsigned char *p)
{
	p[0] = 0;
	for (int i = 0; i < 8; i++) {
		p[1 + i] = (unsigned char)(key->high >> (56 - 8 * i));
		p[9 + i] = (unsigned char)(key->low >> (56 - 8 * i));
	}
}

/*
 * Finds the key of a queue that an entry of the log or a snapshot refers to. Returns
 * false if it is a name that the configuration does not have; the key is then one that no
 * queue has, and that other references with this name have too.
 */
bool dag_state_resolve_queue(const struct dag_state *s, struct str ref,
			     struct dag_queue_key *key)
{
	const struct dag_queue *q;

	if (read_key(ref, key))
		return true;
	q = find_named(s, ref);
	if (q)
		*key = dag_queue_key(q);
	else
		*key = key_of_text(STR(""), ref);
	return q != NULL;
}

/*
 * A reference to a queue under the present configuration. bytes: memory for it,
 * DAG_QUEUE_REF_BYTES; the result lies there or in the configuration.
 */
struct str dag_state_refer_queue(const struct dag_state *s,
				 const struct dag_queue_key *key, unsigned char *bytes)
{
	const struct dag_queue *q = dag_state_find_queue(s, key);

	if (q && q->name.name_len && q->name.name_val[0] &&
	    find_named(s, XDR_STR(*q, name)) == q)
		return XDR_STR(*q, name);
	write_key(key, bytes);
	return (struct str){(char *)bytes, DAG_QUEUE_REF_BYTES};
}

/* For the log: the present name of a job's queue, or the one it had; empty: unknown. */
struct str dag_state_queue_name(const struct dag_state *s, const struct dag_job_rec *j)
{
	const struct dag_queue *q = dag_state_find_queue(s, &j->queue);
	struct str ref = XDR_STR(j->spec, queue);
	struct dag_queue_key key;

	if (q)
		return XDR_STR(*q, name);
	return read_key(ref, &key) ? STR("") : ref;
}
