#include "core/capacity.h"

/* Whether a is at least b in every dimension. */
bool size_covers(struct sched_size a, struct sched_size b)
{
	return a.cpu_milli >= b.cpu_milli && a.memory_mb >= b.memory_mb &&
	       a.accelerators >= b.accelerators;
}

/* Adds a capacity unless another one covers it. Returns whether the list changed. */
bool capacity_add(struct capacity_list *l, struct sched_size capacity)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < l->n; i++)
		if (size_covers(l->size[i], capacity))
			return false;
	for (unsigned int i = 0; i < l->n; i++)
		if (!size_covers(capacity, l->size[i]))
			l->size[n++] = l->size[i];
	/* A full list no longer rules out any size; see capacity_may_fit(). */
	if (n == MAX_CAPACITIES)
		return false;
	l->size[n++] = capacity;
	l->n = n;
	return true;
}

/* Whether some worker may be large enough. */
bool capacity_may_fit(const struct capacity_list *l, struct sched_size need)
{
	for (unsigned int i = 0; i < l->n; i++)
		if (size_covers(l->size[i], need))
			return true;
	return l->n == MAX_CAPACITIES;
}
