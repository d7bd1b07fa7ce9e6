#include "core/router_impl.h"

/* Retries that a team may make before it has had any success, and that it saves. */
#define RETRY_START 10.0
#define RETRY_MAX 100.0

void retry_start(struct team *t)
{
	t->retry_tokens = RETRY_START;
}

/* A success of the team pays for a part of a retry. */
void retry_success(const struct router *r, struct team *t)
{
	t->retry_tokens += r->opt.retry_percent / 100.0;
	if (t->retry_tokens > RETRY_MAX)
		t->retry_tokens = RETRY_MAX;
}

/*
 * Whether the request may be sent once more; takes it from the team's budget.
 * The caller has checked that it did not run or is idempotent.
 */
bool retry_allowed(struct router *r, struct request *q)
{
	struct team *t = q->pool->team;

	if (q->sends >= r->opt.max_attempts)
		return false;
	if (t->retry_tokens < 1.0) {
		r->stats.retry_denied++;
		return false;
	}
	t->retry_tokens -= 1.0;
	r->stats.retried++;
	return true;
}

/* True when the request was sent to the upstream lately. */
bool retry_tried(const struct request *q, uint64_t upstream)
{
	for (unsigned int i = 0; i < ROUTER_TRIED; i++)
		if (q->tried[i] == upstream)
			return true;
	return false;
}
