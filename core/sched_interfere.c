#include "core/sched_impl.h"

double interfere_cost(const struct sched *s, const struct task *t, const struct worker *w)
{
	return 0;
}

void interfere_report(struct sched *s, struct worker *w,
		      const struct sched_worker_report *r, int64_t now_us)
{
}
