#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/replica_priv.h"

uint64_t replica_log_last(const struct replica_log *l)
{
	return l->base + l->n;
}

/* Epoch of an entry or of the base; 0 when the index is not in memory. */
uint64_t replica_log_epoch(const struct replica_log *l, uint64_t index)
{
	if (index == l->base)
		return l->base_epoch;
	if (index < l->base || index > replica_log_last(l))
		return 0;
	return l->e[index - l->base - 1].epoch;
}

/* Running byte count after an entry; that of the base for anything before it. */
uint64_t replica_log_end_offset(const struct replica_log *l, uint64_t index)
{
	if (index <= l->base)
		return l->base_end_offset;
	if (index > replica_log_last(l))
		index = replica_log_last(l);
	return index == l->base ? l->base_end_offset : l->end_offset[index - l->base - 1];
}

/* Returns NULL when the entry is not in memory. */
const struct replica_entry *replica_log_at(const struct replica_log *l, uint64_t index)
{
	if (index <= l->base || index > replica_log_last(l))
		return NULL;
	return &l->e[index - l->base - 1];
}

static int replica_log_grow(struct replica_log *l)
{
	size_t cap = l->cap ? l->cap * 2 : 64;
	struct replica_entry *e;
	uint64_t *end;

	e = realloc(l->e, cap * sizeof(*e));
	if (!e)
		return CF_ENOMEM;
	l->e = e;
	end = realloc(l->end_offset, cap * sizeof(*end));
	if (!end)
		return CF_ENOMEM;
	l->end_offset = end;
	l->cap = cap;
	return 0;
}

/* Appends a copy of an entry. CF_EINVAL when its index is not the next one. */
int replica_log_append(struct replica_log *l, const struct replica_entry *e)
{
	struct replica_entry *to;
	uint64_t before = replica_log_end_offset(l, replica_log_last(l));
	char *data;

	if (e->index != replica_log_last(l) + 1)
		return CF_EINVAL;
	if (l->n == l->cap && replica_log_grow(l))
		return CF_ENOMEM;
	data = str_dup(e->data);
	if (!data)
		return CF_ENOMEM;
	to = &l->e[l->n];
	*to = *e;
	to->data = (struct str){data, e->data.n};
	l->end_offset[l->n] = before + e->data.n + REPLICA_ENTRY_OVERHEAD;
	l->n++;
	return 0;
}

/* Removes the entries at or after from_index. */
void replica_log_truncate(struct replica_log *l, uint64_t from_index)
{
	while (l->n && replica_log_last(l) >= from_index) {
		l->n--;
		free((char *)(uintptr_t)l->e[l->n].data.p);
	}
}

/* Removes the entries up to index, which becomes the base. */
void replica_log_compact(struct replica_log *l, uint64_t index)
{
	size_t k;

	if (index <= l->base)
		return;
	if (index > replica_log_last(l))
		index = replica_log_last(l);
	k = (size_t)(index - l->base);
	if (k == 0)
		return;
	l->base_epoch = l->e[k - 1].epoch;
	l->base_end_offset = l->end_offset[k - 1];
	l->base = index;
	for (size_t i = 0; i < k; i++)
		free((char *)(uintptr_t)l->e[i].data.p);
	l->n -= k;
	memmove(l->e, l->e + k, l->n * sizeof(*l->e));
	memmove(l->end_offset, l->end_offset + k, l->n * sizeof(*l->end_offset));
}

/* Empties the log; the next entry is base + 1. */
void replica_log_reset(struct replica_log *l, uint64_t base, uint64_t base_epoch)
{
	uint64_t end = replica_log_end_offset(l, replica_log_last(l));

	replica_log_truncate(l, 0);
	l->base = base;
	l->base_epoch = base_epoch;
	l->base_end_offset = end;
}

void replica_log_free(struct replica_log *l)
{
	replica_log_truncate(l, 0);
	free(l->e);
	free(l->end_offset);
	*l = (struct replica_log){0};
}
