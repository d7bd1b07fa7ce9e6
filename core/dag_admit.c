#include "core/dag_admit.h"

/* A caller that comes back sooner finds the same shortage, one later finds idle room. */
#define RETRY_MIN_MS 1000
#define RETRY_MAX_MS 10000

/*
 * What a job whose serving tasks need so much lacks, 0: it is admitted. A service that
 * had no batch work of late admits all.
 */
int64_t dag_admit_missing(const struct dag_admit_room *room, int64_t need)
{
	int64_t kept = room->batch_usual - room->batch;
	int64_t missing = need - room->scraps;

	if (room->batch_usual <= 0)
		return 0;
	if (missing < 0)
		missing = 0;
	if (kept > 0)
		missing += kept;
	missing += room->pending - room->free;
	return missing > 0 ? missing : 0;
}

/*
 * Milliseconds until the room that is missing has been released at the present rate.
 * Jobs that were refused before come first, so that callers do not all return at once.
 */
uint32_t dag_admit_retry_ms(const struct dag_admit_return *r)
{
	int64_t ms = RETRY_MAX_MS;

	if (r->per_second > 0)
		ms = (r->missing + r->queued) * 1000 / r->per_second;
	if (ms < RETRY_MIN_MS)
		ms = RETRY_MIN_MS;
	return (uint32_t)(ms > RETRY_MAX_MS ? RETRY_MAX_MS : ms);
}
