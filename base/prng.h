#ifndef BASE_PRNG_H
#define BASE_PRNG_H

#include <stdint.h>

/* Deterministic generator (splitmix64); not for secrets. */
struct prng {
	uint64_t state;
};

uint64_t prng_next(struct prng *r);
uint64_t prng_below(struct prng *r, uint64_t bound);
double prng_unit(struct prng *r);

#endif
