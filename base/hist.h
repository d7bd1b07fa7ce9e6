#ifndef BASE_HIST_H
#define BASE_HIST_H

#include <stdint.h>

/*
 * Log-linear histogram of unsigned values: 16 linear buckets in each power of
 * two, so the middle of a bucket is within 1/32 of every value in it.
 */
#define HIST_SUB_BITS 4
#define HIST_SUB (1U << HIST_SUB_BITS)
#define HIST_MAX_BITS 40 /* larger values fall into the last bucket */
#define HIST_BUCKETS ((HIST_MAX_BITS - HIST_SUB_BITS + 1) * HIST_SUB)

struct hist {
	uint64_t count;
	uint64_t sum;
	uint64_t max;
	uint64_t bucket[HIST_BUCKETS];
};

void hist_add(struct hist *h, uint64_t value);
uint64_t hist_quantile(const struct hist *h, double q);
void hist_merge(struct hist *into, const struct hist *from);
uint64_t hist_bucket_upper(unsigned int i);

#endif
