#include <err.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <uthash.h>
#include <xxhash.h>

#include "base/err.h"
#include "core/table.h"

/*
 * core/table.h against uthash, which is the baseline, with the keys of claims. Prints
 * "name value unit baseline ratio".
 */
#define ENTRIES 100000UL
#define ROUNDS 5

struct entry {
	uint64_t key[2];
};

struct ut_entry {
	uint64_t key[2];
	UT_hash_handle hh;
};

static uint64_t entry_hash(const void *entry)
{
	return ((const struct entry *)entry)->key[0];
}

static bool entry_equal(const void *entry, const void *key)
{
	return memcmp(((const struct entry *)entry)->key, key, 16) == 0;
}

static const struct table_ops ops = {entry_hash, entry_equal};

struct cost {
	double bytes;
	double add_s;
	double find_s;
	double remove_s;
};

static double now_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec * 1e-9;
}

static double heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return (double)(m.uordblks + m.hblkhd);
}

static void make_key(size_t i, uint64_t key[2])
{
	XXH128_hash_t h = XXH3_128bits(&i, sizeof(i));

	key[0] = h.low64;
	key[1] = h.high64;
}

static struct cost run_table(void)
{
	struct table t = {.ops = &ops};
	struct cost c = {.bytes = heap_bytes()};
	double start = now_s();
	uint64_t key[2] = {0};

	for (size_t i = 0; i < ENTRIES; i++) {
		struct entry *e = calloc(1, sizeof(*e));

		if (!e)
			errx(1, "out of memory");
		make_key(i, e->key);
		if (table_add(&t, e))
			errx(1, "out of memory");
	}
	c.add_s = now_s() - start;
	c.bytes = heap_bytes() - c.bytes;
	start = now_s();
	for (size_t i = 0; i < ENTRIES; i++) {
		make_key(i, key);
		if (!table_find(&t, key[0], key))
			errx(1, "entry not found");
	}
	c.find_s = now_s() - start;
	start = now_s();
	for (size_t i = 0; i < ENTRIES; i++) {
		struct entry *e;

		make_key(i, key);
		e = table_find(&t, key[0], key);
		table_remove(&t, e);
		free(e);
	}
	c.remove_s = now_s() - start;
	table_free(&t);
	return c;
}

static struct cost run_uthash(void)
{
	struct ut_entry *head = NULL;
	struct ut_entry *e;
	struct cost c = {.bytes = heap_bytes()};
	double start = now_s();
	uint64_t key[2] = {0};

	for (size_t i = 0; i < ENTRIES; i++) {
		e = calloc(1, sizeof(*e));
		if (!e)
			errx(1, "out of memory");
		make_key(i, e->key);
		HASH_ADD(hh, head, key, sizeof(e->key), e);
	}
	c.add_s = now_s() - start;
	c.bytes = heap_bytes() - c.bytes;
	start = now_s();
	for (size_t i = 0; i < ENTRIES; i++) {
		make_key(i, key);
		HASH_FIND(hh, head, key, sizeof(key), e);
		if (!e)
			errx(1, "entry not found");
	}
	c.find_s = now_s() - start;
	start = now_s();
	for (size_t i = 0; i < ENTRIES; i++) {
		make_key(i, key);
		HASH_FIND(hh, head, key, sizeof(key), e);
		HASH_DEL(head, e);
		free(e);
	}
	c.remove_s = now_s() - start;
	return c;
}

static void best(struct cost *into, struct cost c)
{
	if (c.add_s < into->add_s)
		into->add_s = c.add_s;
	if (c.find_s < into->find_s)
		into->find_s = c.find_s;
	if (c.remove_s < into->remove_s)
		into->remove_s = c.remove_s;
	into->bytes = c.bytes;
}

static void report(const char *name, double value, const char *unit, double baseline)
{
	printf("%s %.6g %s %.6g %.4g\n", name, value, unit, baseline, value / baseline);
}

int main(void)
{
	struct cost table = run_table();
	struct cost uthash = run_uthash();

	for (int round = 1; round < ROUNDS; round++) {
		best(&table, run_table());
		best(&uthash, run_uthash());
	}
	report("table_entry_bytes", table.bytes / ENTRIES, "B", uthash.bytes / ENTRIES);
	report("table_add", ENTRIES / table.add_s, "1/s", ENTRIES / uthash.add_s);
	report("table_find", ENTRIES / table.find_s, "1/s", ENTRIES / uthash.find_s);
	report("table_remove", ENTRIES / table.remove_s, "1/s",
	       ENTRIES / uthash.remove_s);
	return 0;
}
