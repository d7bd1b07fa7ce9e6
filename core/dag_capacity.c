/* What the runs of a worker may use; a worker may report less or more at any time. */
#include "core/dag_sched_impl.h"

/* Whether the runs of a worker, with those that are being stopped, exceed its capacity.
 */
bool ds_worker_over_capacity(const struct ds_worker *w)
{
	return w->cpu_reserved > (int64_t)w->capacity.cpu_milli ||
	       w->mem_reserved > (int64_t)w->capacity.mem_mb ||
	       w->gpus_reserved > (int64_t)w->capacity.gpus;
}
