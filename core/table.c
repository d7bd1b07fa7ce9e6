#include "core/table.h"

#include <stdlib.h>

#include "base/err.h"

#define TABLE_MIN 16

/* Returns the entry with the key, or NULL. */
void *table_find(const struct table *t, uint64_t hash, const void *key)
{
	if (!t->cap)
		return NULL;
	for (size_t i = hash & (t->cap - 1); t->slot[i]; i = (i + 1) & (t->cap - 1)) {
		if (t->ops->hash(t->slot[i]) == hash && t->ops->equal(t->slot[i], key))
			return t->slot[i];
	}
	return NULL;
}

static void insert_entry(struct table *t, void *entry)
{
	size_t i = t->ops->hash(entry) & (t->cap - 1);

	while (t->slot[i])
		i = (i + 1) & (t->cap - 1);
	t->slot[i] = entry;
}

/* Changes the number of slots; the table is unchanged on CF_ENOMEM. */
static int resize_table(struct table *t, size_t cap)
{
	struct table old = *t;

	t->slot = calloc(cap, sizeof(*t->slot));
	if (!t->slot) {
		*t = old;
		return CF_ENOMEM;
	}
	t->cap = cap;
	for (size_t i = 0; i < old.cap; i++) {
		if (old.slot[i])
			insert_entry(t, old.slot[i]);
	}
	free(old.slot);
	return 0;
}

/* Adds an entry whose key is not in the table. At most 3/4 of the slots are used. */
int table_add(struct table *t, void *entry)
{
	if ((t->n + 1) * 4 > t->cap * 3) {
		int err = resize_table(t, t->cap ? t->cap * 2 : TABLE_MIN);

		if (err)
			return err;
	}
	insert_entry(t, entry);
	t->n++;
	return 0;
}

/*
 * Removes an entry that is in the table. Moves later entries of the probe sequence
 * back, so that no deletion marks are needed.
 */
void table_remove(struct table *t, const void *entry)
{
	size_t mask = t->cap - 1;
	size_t hole = t->ops->hash(entry) & mask;

	while (t->slot[hole] != entry)
		hole = (hole + 1) & mask;
	for (size_t i = (hole + 1) & mask; t->slot[i]; i = (i + 1) & mask) {
		size_t home = t->ops->hash(t->slot[i]) & mask;

		if (((i - home) & mask) < ((i - hole) & mask))
			continue;
		t->slot[hole] = t->slot[i];
		hole = i;
	}
	t->slot[hole] = NULL;
	t->n--;
	/* If shrinking fails, the table stays valid at its present size. */
	if (t->cap > TABLE_MIN && t->n * 8 < t->cap)
		(void)resize_table(t, t->cap / 2);
}

/* Returns the memory of the slots. */
size_t table_bytes(const struct table *t)
{
	return t->cap * sizeof(*t->slot);
}

/* Frees the slots, not the entries. */
void table_free(struct table *t)
{
	free(t->slot);
	t->slot = NULL;
	t->n = 0;
	t->cap = 0;
}
