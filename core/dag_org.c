/*
 * Organisations of the replicated state and the credentials by which their callers are
 * known. A credential is kept as its SHA-256 digest; the credentials of one organisation
 * are equivalent.
 */
#include "core/dag_org.h"

#include <stdlib.h>
#include <string.h>

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include "base/err.h"
#include "core/dag_state.h"
#include "proto/codec.h"

_Static_assert(DAG_DIGEST_BYTES == SHA256_DIGEST_LENGTH, "SHA-256");

/* Bytes of a digest by which the table is searched. */
#define SEARCH_BYTES 8U

/* Returns CF_ENOMEM if the digest could not be computed. */
int dag_org_digest(struct str credential, unsigned char digest[DAG_DIGEST_BYTES])
{
	return SHA256((const unsigned char *)credential.p, credential.n, digest)
		       ? 0
		       : CF_ENOMEM;
}

struct str dag_org_name(const struct dag_org *org)
{
	return (struct str){org->name, org->hh.keylen};
}

struct dag_org *dag_state_find_org(const struct dag_state *s, struct str name)
{
	struct dag_org *org;

	HASH_FIND(hh, s->orgs, name.p, name.n, org);
	return org;
}

/* Whether the configuration in force has organisations. */
bool dag_state_has_orgs(const struct dag_state *s)
{
	return s->access.public_queues != NULL;
}

/*
 * Finds the organisation of a digest. The search is by its first bytes, which tell
 * nothing of a credential that has the same digest; the whole is compared in a time that
 * does not depend on the bytes.
 */
static struct dag_org *find_by_digest(const struct dag_state *s,
				      const unsigned char *digest)
{
	const struct dag_org_key *keys = s->access.keys;
	size_t low = 0;
	size_t high = s->access.n_keys;

	while (low < high) {
		size_t mid = low + (high - low) / 2;

		if (memcmp(keys[mid].digest, digest, SEARCH_BYTES) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	for (; low < s->access.n_keys &&
	       memcmp(keys[low].digest, digest, SEARCH_BYTES) == 0;
	     low++)
		if (CRYPTO_memcmp(keys[low].digest, digest, DAG_DIGEST_BYTES) == 0)
			return keys[low].org;
	return NULL;
}

/*
 * Whether a caller with a credential (empty: none) may use a queue of the configuration
 * in force. owner: its organisation, NULL if it is not known.
 */
bool dag_state_authorize(const struct dag_state *s, const struct dag_queue *q,
			 struct str credential, struct dag_org **owner)
{
	unsigned char digest[DAG_DIGEST_BYTES];

	*owner = NULL;
	if (!dag_state_has_orgs(s))
		return true;
	if (credential.n && credential.n <= DAG_MAX_CREDENTIAL &&
	    !dag_org_digest(credential, digest))
		*owner = find_by_digest(s, digest);
	return *owner || s->access.public_queues[q - s->conf.queues.queues_val];
}

/*
 * Whether a job exists for a caller of an organisation, NULL: none. Without organisations
 * in the configuration callers are not told apart.
 */
bool dag_state_may_access(const struct dag_state *s, const struct dag_job_rec *j,
			  const struct dag_org *caller)
{
	return !dag_state_has_orgs(s) || !j->org || j->org == caller;
}

/* NULL: no memory. */
static struct dag_org *get_org(struct dag_state *s, struct str name)
{
	struct dag_org *org = dag_state_find_org(s, name);

	if (org)
		return org;
	org = calloc(1, sizeof(*org));
	if (!org)
		return NULL;
	org->name = str_dup(name);
	if (!org->name) {
		free(org);
		return NULL;
	}
	org->weight = 1;
	HASH_ADD_KEYPTR(hh, s->orgs, org->name, name.n, org);
	return org;
}

static void free_org(struct dag_org *org)
{
	free(org->name);
	free(org);
}

/* Moves an organisation that is neither configured nor owns a job to a list. */
static void unlink_if_unused(struct dag_state *s, struct dag_org *org,
			     struct dag_org **removed)
{
	if (org->configured || org->n_jobs)
		return;
	HASH_DEL(s->orgs, org);
	org->next_removed = *removed;
	*removed = org;
}

static void free_removed(struct dag_state *s, struct dag_org *removed)
{
	struct dag_org *next;

	for (; removed; removed = next) {
		next = removed->next_removed;
		if (s->observer && s->observer->ops->org_removed)
			s->observer->ops->org_removed(s->observer, removed);
		free_org(removed);
	}
}

static void set_spec(struct dag_org *org, const struct dag_org_spec *spec)
{
	org->weight = spec->weight ? spec->weight : 1;
	org->limits = (struct dag_org_limits){
		.cpu_milli = spec->cpu_milli, .mem_mb = spec->mem_mb, .gpus = spec->gpus};
}

/* Adds an organisation that is not configured yet. CF_ENOMEM. */
int dag_state_add_org(struct dag_state *s, const struct dag_org_spec *spec)
{
	struct dag_org *org = get_org(s, XDR_STR(*spec, name));

	if (!org)
		return CF_ENOMEM;
	set_spec(org, spec);
	return 0;
}

/* Records the owner of a job that has none. CF_ENOMEM. */
int dag_state_set_owner(struct dag_state *s, struct dag_job_rec *j, struct str org)
{
	j->org = get_org(s, org);
	if (!j->org)
		return CF_ENOMEM;
	j->org->n_jobs++;
	return 0;
}

void dag_state_clear_owner(struct dag_state *s, struct dag_job_rec *j)
{
	struct dag_org *org = j->org;
	struct dag_org *removed = NULL;

	if (!org)
		return;
	j->org = NULL;
	org->n_jobs--;
	unlink_if_unused(s, org, &removed);
	free_removed(s, removed);
}

static void clear_access(struct dag_org_access *a)
{
	free(a->keys);
	free(a->public_queues);
	*a = (struct dag_org_access){0};
}

/* Removes all without notifying the observer. Jobs must have been removed before. */
void dag_state_clear_orgs(struct dag_state *s)
{
	struct dag_org *org = s->orgs;
	struct dag_org *next;

	clear_access(&s->access);
	HASH_CLEAR(hh, s->orgs);
	for (; org; org = next) {
		next = org->hh.next;
		free_org(org);
	}
}

static int compare_keys(const void *a, const void *b)
{
	const struct dag_org_key *x = a;
	const struct dag_org_key *y = b;

	return memcmp(x->digest, y->digest, DAG_DIGEST_BYTES);
}

/* Sorts the table and leaves each key once. CF_EINVAL: two organisations have it. */
static int sort_keys(struct dag_org_access *a)
{
	size_t n = 0;

	if (!a->n_keys)
		return 0;
	qsort(a->keys, a->n_keys, sizeof(*a->keys), compare_keys);
	for (size_t i = 1; i < a->n_keys; i++) {
		if (compare_keys(&a->keys[n], &a->keys[i]) != 0)
			a->keys[++n] = a->keys[i];
		else if (a->keys[n].org != a->keys[i].org)
			return CF_EINVAL;
	}
	a->n_keys = n + 1;
	return 0;
}

static size_t count_keys(const struct dag_org_conf *conf)
{
	size_t n = 0;

	for (u_int i = 0; i < conf->orgs.orgs_len; i++)
		n += conf->orgs.orgs_val[i].credentials.credentials_len;
	return n;
}

/* Enters an organisation and its keys. CF_EINVAL if it has no name or was entered. */
static int add_spec(struct dag_state *s, const struct dag_org_spec *spec,
		    struct dag_org_access *a)
{
	struct dag_org *org;

	if (!spec->name.name_len)
		return CF_EINVAL;
	org = get_org(s, XDR_STR(*spec, name));
	if (!org)
		return CF_ENOMEM;
	if (org->configured)
		return CF_EINVAL;
	org->configured = true;
	set_spec(org, spec);
	for (u_int i = 0; i < spec->credentials.credentials_len; i++) {
		struct dag_org_key *key = &a->keys[a->n_keys++];

		memcpy(key->digest, spec->credentials.credentials_val[i].bytes,
		       DAG_DIGEST_BYTES);
		key->org = org;
	}
	return 0;
}

/* Allocates the tables. CF_EINVAL: a queue is named that does not exist. */
static int alloc_access(const struct dag_org_conf *conf, u_int n_queues,
			struct dag_org_access *a)
{
	a->keys = calloc(count_keys(conf) + 1, sizeof(*a->keys));
	a->public_queues = calloc(n_queues + 1, sizeof(*a->public_queues));
	if (!a->keys || !a->public_queues)
		return CF_ENOMEM;
	for (u_int i = 0; i < conf->public_queues.public_queues_len; i++) {
		u_int queue = conf->public_queues.public_queues_val[i];

		if (queue >= n_queues)
			return CF_EINVAL;
		a->public_queues[queue] = true;
	}
	return 0;
}

/* Makes the organisations of a valid configuration those in force; NULL: none. */
static int replace_orgs(struct dag_state *s, const struct dag_org_conf *conf)
{
	struct dag_org_access a = {0};
	struct dag_org *removed = NULL;
	struct dag_org *org, *next;
	int err = 0;

	for (org = s->orgs; org; org = org->hh.next)
		org->configured = false;
	if (conf && conf->orgs.orgs_len) {
		err = alloc_access(conf, s->conf.queues.queues_len, &a);
		for (u_int i = 0; !err && i < conf->orgs.orgs_len; i++)
			err = add_spec(s, &conf->orgs.orgs_val[i], &a);
		if (!err)
			err = sort_keys(&a);
	}
	if (err) {
		clear_access(&a);
		return err;
	}
	clear_access(&s->access);
	s->access = a;
	for (org = s->orgs; org; org = next) {
		next = org->hh.next;
		unlink_if_unused(s, org, &removed);
	}
	free_removed(s, removed);
	return 0;
}

/*
 * Whether the organisations of a configuration are valid. They are entered into a state
 * of its own, as an invalid configuration must not change anything. CF_EINVAL, CF_ENOMEM.
 */
int dag_state_check_orgs(const struct dag_org_conf *conf)
{
	struct dag_state trial = {0};
	int err;

	trial.conf.queues.queues_len = conf->conf.queues.queues_len;
	err = replace_orgs(&trial, conf);
	dag_state_clear_orgs(&trial);
	return err;
}

/*
 * Takes over the organisations and public queues of the configuration that is in force;
 * NULL: it has none. Organisations that own jobs are kept. CF_EINVAL: the organisations
 * contradict one another, and nothing has changed; CF_ENOMEM.
 */
int dag_state_set_orgs(struct dag_state *s, const struct dag_org_conf *conf)
{
	int err = conf ? dag_state_check_orgs(conf) : 0;

	return err ? err : replace_orgs(s, conf);
}
