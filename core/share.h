#ifndef CORE_SHARE_H
#define CORE_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * A limit shared by teams. Each team may always use `reserved`. Use above that is taken
 * from `pool`, which is common to all teams. No team uses more than `max`. With T teams,
 * at most T * reserved + pool is in use.
 */
struct share_options {
	uint64_t reserved;
	uint64_t pool;
	uint64_t max;
};

struct share {
	struct share_options options;
	uint64_t total;
	uint64_t borrowed;
};

bool share_fits(const struct share *s, uint64_t used, uint64_t more);
void share_acquire(struct share *s, uint64_t *used, uint64_t n);
void share_release(struct share *s, uint64_t *used, uint64_t n);

#endif
