#include "base/prng.h"

uint64_t prng_next(struct prng *r)
{
	uint64_t z = (r->state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

/* Uniform in [0, bound); 0 when bound is 0. */
uint64_t prng_below(struct prng *r, uint64_t bound)
{
	if (bound == 0)
		return 0;
	return (uint64_t)(((unsigned __int128)prng_next(r) * bound) >> 64);
}

/* Uniform in [0, 1). */
double prng_unit(struct prng *r)
{
	return (double)(prng_next(r) >> 11) * 0x1.0p-53;
}
