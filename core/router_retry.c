#include "core/router_impl.h"

/* Retries that a team may make before it has had any success, and that it saves. */
#define RETRY_START 10.0
#define RETRY_MAX 100.0
/* Cost of a retry after a refusal: the upstream has done no work for it. */
#define REFUSED_COST 0.2

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

/* Whether the team may make one more retry now. */
bool retry_allowed(struct router *r, const struct team *t)
{
	if (t->retry_tokens >= 1.0)
		return true;
	r->stats.retry_denied++;
	return false;
}

/* Takes one retry from the budget. */
void retry_spend(struct team *t, bool refused)
{
	t->retry_tokens -= refused ? REFUSED_COST : 1.0;
}

/* True when the request was sent to the upstream lately. */
bool retry_tried(const struct request *q, uint64_t upstream)
{
	for (unsigned int i = 0; i < ROUTER_TRIED; i++)
		if (q->tried[i] == upstream)
			return true;
	return false;
}
