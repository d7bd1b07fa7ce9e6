#include "io/doc_keys.h"

#include <stdlib.h>

/* Without this a table that cannot grow ends the process. */
#define HASH_NONFATAL_OOM 1
#define uthash_nonfatal_oom(element) ((element)->lost = true)
#include <uthash.h>

#include "base/err.h"

struct doc_keys {
	UT_hash_handle hh;
	bool lost; /* it could not be added */
};

/* Adds a key, which must stay valid as long as the set. CF_EEXIST, CF_ENOMEM. */
int doc_keys_add(struct doc_keys **set, struct str key)
{
	struct doc_keys *k;

	HASH_FIND(hh, *set, key.p, key.n, k);
	if (k)
		return CF_EEXIST;
	k = calloc(1, sizeof(*k));
	if (!k)
		return CF_ENOMEM;
	HASH_ADD_KEYPTR(hh, *set, key.p, key.n, k);
	if (!k->lost)
		return 0;
	free(k);
	return CF_ENOMEM;
}

void doc_keys_free(struct doc_keys **set)
{
	struct doc_keys *k = *set;
	struct doc_keys *next;

	HASH_CLEAR(hh, *set);
	for (; k; k = next) {
		next = k->hh.next;
		free(k);
	}
}
