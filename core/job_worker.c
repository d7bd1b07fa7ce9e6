#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/err.h"
#include "core/job_impl.h"

static uint64_t worker_hash(const void *entry)
{
	const struct job_worker *w = entry;

	return XXH3_64bits(w->name, w->n);
}

static bool worker_equal(const void *entry, const void *key)
{
	return str_eq(job_worker_name(entry), *(const struct str *)key);
}

const struct table_ops job_worker_ops = {worker_hash, worker_equal};

struct str job_worker_name(const struct job_worker *w)
{
	return w ? (struct str){w->name, w->n} : (struct str){NULL, 0};
}

/* Finds or adds a worker name and takes a reference. *out is NULL for an empty name. */
int job_worker_get(struct jobs *j, struct str name, const struct job_worker **out)
{
	struct job_worker *w;
	int err;

	*out = NULL;
	if (name.n == 0)
		return 0;
	w = table_find(&j->workers, XXH3_64bits(name.p, name.n), &name);
	if (!w) {
		w = malloc(sizeof(*w) + name.n);
		if (!w)
			return CF_ENOMEM;
		w->refs = 0;
		w->n = name.n;
		memcpy(w->name, name.p, name.n);
		err = table_add(&j->workers, w);
		if (err) {
			free(w);
			return err;
		}
	}
	w->refs++;
	*out = w;
	return 0;
}

/* Releases a reference and frees the name with the last one. */
void job_worker_put(struct jobs *j, const struct job_worker *worker)
{
	struct job_worker *w = (struct job_worker *)(uintptr_t)worker;

	if (!w || --w->refs)
		return;
	table_remove(&j->workers, w);
	free(w);
}
