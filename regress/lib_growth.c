/* Growth of processor time with the size of the input; independent of the machine. */
#include "regress/lib_growth.h"

#include <time.h>

#define ROUNDS 5

/* The shortest of some rounds, as others use the processor's caches too. */
static double shortest(void (*work)(void *arg, size_t n), void *arg, size_t n)
{
	double best = 0;

	for (int i = 0; i < ROUNDS; i++) {
		clock_t start = clock();
		double used;

		work(arg, n);
		used = (double)(clock() - start) + 1;
		if (i == 0 || used < best)
			best = used;
	}
	return best;
}

double growth_of(void (*work)(void *arg, size_t n), void *arg, size_t n)
{
	double one = shortest(work, arg, n);

	return shortest(work, arg, 4 * n) / one;
}
