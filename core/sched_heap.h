#ifndef CORE_SCHED_HEAP_H
#define CORE_SCHED_HEAP_H

#include <stddef.h>
#include <stdint.h>

/* Member of a heap; embedded in the object that it orders. */
struct sched_node {
	int64_t key;
	uint64_t tie;
	size_t pos; /* 1-based index in the heap, 0: in none */
};

/* Binary heap, smallest (key, tie) first. A zeroed struct is empty. */
struct sched_heap {
	struct sched_node **node;
	size_t n;
	size_t cap;
};

int sched_heap_push(struct sched_heap *h, struct sched_node *node);
void sched_heap_remove(struct sched_heap *h, struct sched_node *node);
struct sched_node *sched_heap_first(const struct sched_heap *h);
void sched_heap_free(struct sched_heap *h);

#endif
