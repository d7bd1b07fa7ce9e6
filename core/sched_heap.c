#include "core/sched_heap.h"

#include <stdbool.h>
#include <stdlib.h>

#include "base/err.h"

static bool before(const struct sched_node *a, const struct sched_node *b)
{
	return a->key != b->key ? a->key < b->key : a->tie < b->tie;
}

static void put(struct sched_heap *h, size_t pos, struct sched_node *node)
{
	h->node[pos - 1] = node;
	node->pos = pos;
}

static void sift_up(struct sched_heap *h, struct sched_node *node)
{
	size_t pos = node->pos;

	while (pos > 1 && before(node, h->node[pos / 2 - 1])) {
		put(h, pos, h->node[pos / 2 - 1]);
		pos /= 2;
	}
	put(h, pos, node);
}

static void sift_down(struct sched_heap *h, struct sched_node *node)
{
	size_t pos = node->pos;

	for (;;) {
		size_t child = pos * 2;

		if (child > h->n)
			break;
		if (child < h->n && before(h->node[child], h->node[child - 1]))
			child++;
		if (!before(h->node[child - 1], node))
			break;
		put(h, pos, h->node[child - 1]);
		pos = child;
	}
	put(h, pos, node);
}

/* Adds a node that is in no heap. CF_ENOMEM leaves the heap as it was. */
int sched_heap_push(struct sched_heap *h, struct sched_node *node)
{
	if (h->n == h->cap) {
		size_t cap = h->cap ? h->cap * 2 : 16;
		struct sched_node **p =
			realloc(h->node, cap * sizeof(struct sched_node *));

		if (!p)
			return CF_ENOMEM;
		h->node = p;
		h->cap = cap;
	}
	h->n++;
	put(h, h->n, node);
	sift_up(h, node);
	return 0;
}

/* Removes a node; does nothing when it is in no heap. */
void sched_heap_remove(struct sched_heap *h, struct sched_node *node)
{
	size_t pos = node->pos;
	struct sched_node *last;

	if (!pos)
		return;
	node->pos = 0;
	last = h->node[h->n - 1];
	h->n--;
	if (last == node)
		return;
	put(h, pos, last);
	sift_up(h, last);
	sift_down(h, last);
}

/* Returns the smallest node, NULL when the heap is empty. */
struct sched_node *sched_heap_first(const struct sched_heap *h)
{
	return h->n ? h->node[0] : NULL;
}

void sched_heap_free(struct sched_heap *h)
{
	free(h->node);
	*h = (struct sched_heap){0};
}
