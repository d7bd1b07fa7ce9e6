#include "core/router_timer.h"

#include <stdbool.h>
#include <stdlib.h>

#include "base/err.h"

/* Allocates space for n timers in total, so that timers_set() cannot fail. CF_ENOMEM. */
int timers_reserve(struct timers *t, size_t n)
{
	size_t cap = t->cap ? t->cap : 64;
	struct timer **v;

	if (n <= t->cap)
		return 0;
	while (cap < n)
		cap *= 2;
	v = (struct timer **)realloc((void *)t->v, cap * sizeof(struct timer *));
	if (!v)
		return CF_ENOMEM;
	t->v = v;
	t->cap = cap;
	return 0;
}

static void place(struct timers *t, size_t i, struct timer *x)
{
	t->v[i] = x;
	x->slot = i + 1;
}

static void sift_up(struct timers *t, size_t i, struct timer *x)
{
	while (i > 0 && t->v[(i - 1) / 2]->at_us > x->at_us) {
		place(t, i, t->v[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	place(t, i, x);
}

static void sift_down(struct timers *t, size_t i, struct timer *x)
{
	for (;;) {
		size_t c = 2 * i + 1;

		if (c >= t->n)
			break;
		if (c + 1 < t->n && t->v[c + 1]->at_us < t->v[c]->at_us)
			c++;
		if (t->v[c]->at_us >= x->at_us)
			break;
		place(t, i, t->v[c]);
		i = c;
	}
	place(t, i, x);
}

/* Adds or moves a timer. The caller has reserved the space. */
void timers_set(struct timers *t, struct timer *x, int64_t at_us)
{
	bool earlier = at_us < x->at_us;
	size_t i;

	x->at_us = at_us;
	if (!x->slot) {
		sift_up(t, t->n++, x);
		return;
	}
	i = x->slot - 1;
	if (earlier)
		sift_up(t, i, x);
	else
		sift_down(t, i, x);
}

void timers_remove(struct timers *t, struct timer *x)
{
	size_t i = x->slot - 1;
	struct timer *last;

	if (!x->slot)
		return;
	x->slot = 0;
	last = t->v[--t->n];
	if (last == x)
		return;
	if (i > 0 && t->v[(i - 1) / 2]->at_us > last->at_us)
		sift_up(t, i, last);
	else
		sift_down(t, i, last);
}

/* Returns the earliest timer, NULL when there is none. */
struct timer *timers_first(const struct timers *t)
{
	return t->n ? t->v[0] : NULL;
}

void timers_free(struct timers *t)
{
	free((void *)t->v);
	*t = (struct timers){0};
}
