#include "core/share.h"

static uint64_t above(const struct share *s, uint64_t used)
{
	return used > s->options.reserved ? used - s->options.reserved : 0;
}

/* Tells whether a team that uses `used` may use `more` in addition. */
bool share_fits(const struct share *s, uint64_t used, uint64_t more)
{
	uint64_t lent = above(s, used + more) - above(s, used);

	return used + more <= s->options.max && s->borrowed + lent <= s->options.pool;
}

/* Adds n to the use of a team, without a check. */
void share_take(struct share *s, uint64_t *used, uint64_t n)
{
	s->borrowed += above(s, *used + n) - above(s, *used);
	s->total += n;
	*used += n;
}

/* Subtracts n, which the team has in use. */
void share_give(struct share *s, uint64_t *used, uint64_t n)
{
	s->borrowed -= above(s, *used) - above(s, *used - n);
	s->total -= n;
	*used -= n;
}
