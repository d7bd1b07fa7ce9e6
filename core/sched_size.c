#include "core/sched_impl.h"

void size_add(struct sched_size *a, struct sched_size b)
{
	a->cpu_milli += b.cpu_milli;
	a->memory_mb += b.memory_mb;
	a->accelerators += b.accelerators;
}

void size_sub(struct sched_size *a, struct sched_size b)
{
	a->cpu_milli -= b.cpu_milli;
	a->memory_mb -= b.memory_mb;
	a->accelerators -= b.accelerators;
}

/* Whether need fits into capacity in addition to used. */
bool size_fits(struct sched_size need, struct sched_size used, struct sched_size capacity)
{
	return (uint64_t)used.cpu_milli + need.cpu_milli <= capacity.cpu_milli &&
	       (uint64_t)used.memory_mb + need.memory_mb <= capacity.memory_mb &&
	       (uint64_t)used.accelerators + need.accelerators <= capacity.accelerators;
}

static bool under(uint32_t need, uint32_t used, uint32_t limit)
{
	return limit == 0 || (uint64_t)used + need <= limit;
}

/* Like size_fits(); a zero member of the quota means no limit. */
bool size_under_quota(struct sched_size need, struct sched_size used,
		      struct sched_size quota)
{
	return under(need.cpu_milli, used.cpu_milli, quota.cpu_milli) &&
	       under(need.memory_mb, used.memory_mb, quota.memory_mb) &&
	       under(need.accelerators, used.accelerators, quota.accelerators);
}

static double share(uint32_t used, uint64_t total)
{
	return total ? (double)used / (double)total : 0;
}

/* Dominant share: the largest fraction used of any one dimension. */
double size_share(struct sched_size used, struct sched_size total)
{
	double a = share(used.cpu_milli, total.cpu_milli);
	double b = share(used.memory_mb, total.memory_mb);
	double c = share(used.accelerators, total.accelerators);

	if (b > a)
		a = b;
	return c > a ? c : a;
}
