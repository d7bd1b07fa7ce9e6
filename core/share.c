#include "core/share.h"

static uint64_t borrowed_part(const struct share *s, uint64_t used)
{
	return used > s->options.reserved ? used - s->options.reserved : 0;
}

/* Whether a team that uses `used` may use `more` in addition. */
bool share_fits(const struct share *s, uint64_t used, uint64_t more)
{
	uint64_t lent = borrowed_part(s, used + more) - borrowed_part(s, used);

	return used + more <= s->options.max && s->borrowed + lent <= s->options.pool;
}

/* Adds n to a team's use. The caller has checked share_fits(). */
void share_acquire(struct share *s, uint64_t *used, uint64_t n)
{
	s->borrowed += borrowed_part(s, *used + n) - borrowed_part(s, *used);
	s->total += n;
	*used += n;
}

/* Subtracts n from a team's use, which must be at least n. */
void share_release(struct share *s, uint64_t *used, uint64_t n)
{
	s->borrowed -= borrowed_part(s, *used) - borrowed_part(s, *used - n);
	s->total -= n;
	*used -= n;
}
