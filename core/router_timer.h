#ifndef CORE_ROUTER_TIMER_H
#define CORE_ROUTER_TIMER_H

#include <stddef.h>
#include <stdint.h>

/* An element of a binary min-heap ordered by time. slot is 0 outside the heap. */
struct timer {
	int64_t at_us;
	size_t slot; /* heap index plus 1 */
	int kind;
};

struct timers {
	struct timer **v;
	size_t n;
	size_t cap;
};

int timers_reserve(struct timers *t, size_t n);
void timers_set(struct timers *t, struct timer *x, int64_t at_us);
void timers_remove(struct timers *t, struct timer *x);
struct timer *timers_first(const struct timers *t);
void timers_free(struct timers *t);

#endif
