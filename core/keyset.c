#include "core/keyset.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"

#define MIN_KEYS 8

/* Position of the first key that is not below the given one. */
static size_t lower_bound(const struct keyset_period *p, uint64_t key)
{
	size_t lo = 0;
	size_t hi = p->n;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (p->keys[mid] < key)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

static bool period_contains(const struct keyset_period *p, uint64_t key)
{
	size_t i = lower_bound(p, key);

	return i < p->n && p->keys[i] == key;
}

bool keyset_contains(const struct keyset *s, uint64_t key)
{
	for (size_t i = 0; i < s->n; i++) {
		if (period_contains(&s->list[i], key))
			return true;
	}
	return false;
}

/* Returns the newest period; adds one first if number is higher. */
static int get_newest_period(struct keyset *s, uint64_t number,
			     struct keyset_period **out)
{
	if (!s->n || s->list[s->n - 1].number < number) {
		if (s->n == s->cap) {
			size_t cap = s->cap + 4;
			struct keyset_period *list =
				realloc(s->list, cap * sizeof(*list));

			if (!list)
				return CF_ENOMEM;
			s->list = list;
			s->cap = cap;
		}
		s->list[s->n++] = (struct keyset_period){.number = number};
	}
	*out = &s->list[s->n - 1];
	return 0;
}

/*
 * Adds a key to a period; *added is false if it was already there. A key of an older
 * period is added to the newest one and thus kept longer.
 */
int keyset_add(struct keyset *s, uint64_t period, uint64_t key, bool *added)
{
	struct keyset_period *p;
	size_t i;
	int err = get_newest_period(s, period, &p);

	if (err)
		return err;
	i = lower_bound(p, key);
	*added = i == p->n || p->keys[i] != key;
	if (!*added)
		return 0;
	if (p->n == p->cap) {
		/* Grow by a quarter to limit unused memory. */
		size_t cap = p->cap < MIN_KEYS ? MIN_KEYS : p->cap + p->cap / 4;
		uint64_t *keys = realloc(p->keys, cap * sizeof(*keys));

		if (!keys)
			return CF_ENOMEM;
		p->keys = keys;
		p->cap = cap;
	}
	memmove(p->keys + i + 1, p->keys + i, (p->n - i) * sizeof(*p->keys));
	p->keys[i] = key;
	p->n++;
	return 0;
}

/* Drops the periods below a number. Returns how many keys they held. */
size_t keyset_drop_before(struct keyset *s, uint64_t before)
{
	size_t keys = 0;
	size_t n = 0;

	for (; n < s->n && s->list[n].number < before; n++) {
		keys += s->list[n].n;
		free(s->list[n].keys);
	}
	if (n)
		memmove(s->list, s->list + n, (s->n - n) * sizeof(*s->list));
	s->n -= n;
	return keys;
}

size_t keyset_bytes(const struct keyset *s)
{
	size_t bytes = s->cap * sizeof(*s->list);

	for (size_t i = 0; i < s->n; i++)
		bytes += s->list[i].cap * sizeof(*s->list[i].keys);
	return bytes;
}

void keyset_free(struct keyset *s)
{
	(void)keyset_drop_before(s, UINT64_MAX);
	for (size_t i = 0; i < s->n; i++)
		free(s->list[i].keys);
	free(s->list);
	*s = (struct keyset){0};
}
