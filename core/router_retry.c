#include "core/router_impl.h"

/* Initial and maximum retry budget of a team, in retries. */
#define RETRY_START 10.0
#define RETRY_MAX 100.0
/* A retry after a refusal costs less: the upstream did no work for the request. */
#define REFUSED_COST 0.2

void retry_start(struct team *t)
{
	t->retry_tokens = RETRY_START;
}

/* Adds retry_percent of a retry to the budget after a success. */
void retry_success(const struct router *r, struct team *t)
{
	t->retry_tokens += r->opt.retry_percent / 100.0;
	if (t->retry_tokens > RETRY_MAX)
		t->retry_tokens = RETRY_MAX;
}

/* Whether the budget covers one more retry; counts a denied retry. */
bool retry_allowed(struct router *r, const struct team *t)
{
	if (t->retry_tokens >= 1.0)
		return true;
	r->stats.retry_denied++;
	return false;
}

/* Charges one retry to the budget, which may become negative. */
void retry_spend(struct team *t, bool refused)
{
	t->retry_tokens -= refused ? REFUSED_COST : 1.0;
}

/* Whether one of the last ROUTER_TRIED sends went to the upstream. */
bool retry_tried(const struct request *q, uint64_t upstream)
{
	for (unsigned int i = 0; i < ROUTER_TRIED; i++)
		if (q->tried[i] == upstream)
			return true;
	return false;
}

/*
 * Pause before a refused request is sent again, 0: none. When several upstreams refused
 * it within milliseconds the pool is full: the pauses double, so that the refusals that
 * are left are spread over the time that the request has, and leave half of this time.
 */
int64_t retry_pause_us(const struct request *q, int64_t refused_us, int64_t now_us)
{
	int64_t most = (q->deadline_us - now_us) / 2;
	int64_t pause = refused_us;

	if (q->refusals <= ROUTER_TRIED)
		return 0;
	for (unsigned int n = ROUTER_TRIED + 1; n < q->refusals && pause < most; n++)
		pause *= 2;
	return pause < most ? pause : most;
}
