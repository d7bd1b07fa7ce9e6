#ifndef CORE_CAPACITY_H
#define CORE_CAPACITY_H

#include "core/sched.h"

#define MAX_CAPACITIES 64

/* Capacities of workers, without those that another one covers. */
struct capacity_list {
	struct sched_size size[MAX_CAPACITIES];
	unsigned int n;
};

bool size_covers(struct sched_size a, struct sched_size b);
bool capacity_add(struct capacity_list *l, struct sched_size capacity);
bool capacity_may_fit(const struct capacity_list *l, struct sched_size need);

#endif
