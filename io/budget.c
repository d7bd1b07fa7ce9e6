#include "io/budget.h"

/* Whether a holder of some bytes may take n more. */
bool budget_has_room(const struct budget *b, size_t held, size_t n)
{
	size_t limit = b->limit;

	if (!limit)
		return true;
	if (n > limit || held > limit || held + n > b->small)
		limit = b->reserved < limit ? limit - b->reserved : 0;
	return n <= limit && b->used <= limit - n;
}

/* Takes n more bytes for a holder of some; false: nothing was taken. */
bool budget_take(struct budget *b, size_t held, size_t n)
{
	if (!budget_has_room(b, held, n))
		return false;
	b->used += n;
	if (b->used > b->peak)
		b->peak = b->used;
	return true;
}

void budget_give(struct budget *b, size_t n)
{
	b->used -= n < b->used ? n : b->used;
}
