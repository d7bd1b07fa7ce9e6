#ifndef CORE_KEYSET_H
#define CORE_KEYSET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Set of 64-bit fingerprints of keys, in periods of time that expire as a whole. Costs 8
 * to 10 bytes a key. Two keys may share a fingerprint (probability n / 2^64), so a key
 * that was never added can be reported, but never the reverse: a fingerprint is in every
 * period in which it was added.
 */
struct keyset_period {
	uint64_t number;
	uint64_t *keys; /* ascending */
	size_t n;
	size_t cap;
};

struct keyset {
	struct keyset_period *list; /* ascending numbers */
	size_t n;
	size_t cap;
};

bool keyset_contains(const struct keyset *s, uint64_t key);
int keyset_add(struct keyset *s, uint64_t period, uint64_t key, bool *added);
size_t keyset_drop_before(struct keyset *s, uint64_t before);
size_t keyset_bytes(const struct keyset *s);
void keyset_free(struct keyset *s);

#endif
