#include <string.h>

#include "base/err.h"
#include "core/job_impl.h"

/*
 * Reads the spec of a job, or of the executors of a service, from its document. The
 * strings point into the item. Returns CF_EINVAL for any other kind.
 */
int job_spec_read(const struct conf_item *item, uint64_t time_us, struct job_spec *out)
{
	bool service = item->kind == CONF_KIND_SERVICE;

	if (!service && item->kind != CONF_KIND_JOB)
		return CF_EINVAL;
	*out = (struct job_spec){
		.tasks = (uint32_t)conf_item_number(item, service ? CONF_EXECUTORS
								  : CONF_TASKS),
		.cpus_milli = (uint32_t)conf_item_number(item, CONF_CPUS),
		.accelerators = (uint32_t)conf_item_number(item, CONF_ACCELERATORS),
		.spread = (enum conf_spread)conf_item_number(item, CONF_SPREAD),
		.memory_mb = conf_item_number(item, CONF_MEMORY_MB),
		.command = conf_item_text(item, CONF_COMMAND),
	};
	if (service)
		return 0;
	out->duration_s = (uint32_t)conf_item_number(item, CONF_DURATION_S);
	out->max_attempts = (uint32_t)conf_item_number(item, CONF_MAX_ATTEMPTS);
	out->class = (enum conf_class)conf_item_number(item, CONF_CLASS);
	out->deadline_us = conf_item_deadline_us(item, time_us);
	out->batch_kind = conf_item_text(item, CONF_BATCH_KIND);
	return 0;
}
