#include "base/hist.h"

static unsigned int bucket_index(uint64_t v)
{
	unsigned int top;
	unsigned int shift;

	if (v < HIST_SUB)
		return (unsigned int)v;
	top = 63U - (unsigned int)__builtin_clzll(v);
	if (top >= HIST_MAX_BITS)
		return HIST_BUCKETS - 1;
	shift = top - HIST_SUB_BITS;
	return (shift + 1) * HIST_SUB + (unsigned int)((v >> shift) & (HIST_SUB - 1));
}

/* Returns the largest value that falls into bucket i. */
uint64_t hist_bucket_upper(unsigned int i)
{
	unsigned int shift;

	if (i < HIST_SUB)
		return i;
	shift = i / HIST_SUB - 1;
	return (((uint64_t)HIST_SUB + i % HIST_SUB + 1) << shift) - 1;
}

static uint64_t bucket_middle(unsigned int i)
{
	uint64_t upper = hist_bucket_upper(i);
	uint64_t lower = i ? hist_bucket_upper(i - 1) + 1 : 0;

	return lower + (upper - lower) / 2;
}

void hist_add(struct hist *h, uint64_t value)
{
	h->count++;
	h->sum += value;
	if (value > h->max)
		h->max = value;
	h->bucket[bucket_index(value)]++;
}

/*
 * Returns the middle of the bucket at quantile q in [0, 1], at most the maximum; 0 if the
 * histogram is empty.
 */
uint64_t hist_quantile(const struct hist *h, double q)
{
	uint64_t rank = (uint64_t)(q * (double)h->count);
	uint64_t seen = 0;

	if (h->count == 0)
		return 0;
	if (rank >= h->count)
		return h->max;
	for (unsigned int i = 0; i < HIST_BUCKETS; i++) {
		seen += h->bucket[i];
		if (seen > rank) {
			uint64_t mid = bucket_middle(i);

			return mid < h->max ? mid : h->max;
		}
	}
	return h->max;
}

void hist_merge(struct hist *into, const struct hist *from)
{
	into->count += from->count;
	into->sum += from->sum;
	if (from->max > into->max)
		into->max = from->max;
	for (unsigned int i = 0; i < HIST_BUCKETS; i++)
		into->bucket[i] += from->bucket[i];
}
