#ifndef CORE_TABLE_H
#define CORE_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Open-addressed hash table of pointers. An entry costs 11 to 21 bytes here, where
 * uthash needs 56 in the entry and its buckets: with 100,000 claims that is a tenth
 * of the memory that a state process may use.
 */
struct table_ops {
	uint64_t (*hash)(const void *entry);
	bool (*equal)(const void *entry, const void *key);
};

struct table {
	const struct table_ops *ops;
	void **slot;
	size_t n;
	size_t cap; /* power of two, or 0 */
};

void *table_find(const struct table *t, uint64_t hash, const void *key);
int table_add(struct table *t, void *entry);
void table_remove(struct table *t, const void *entry);
size_t table_bytes(const struct table *t);
void table_free(struct table *t);

#endif
