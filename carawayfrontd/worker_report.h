#ifndef CARAWAYFRONTD_WORKER_REPORT_H
#define CARAWAYFRONTD_WORKER_REPORT_H

#include <jansson.h>

#include "core/sched.h"

/*
 * Decodes the JSON body of a worker's poll. Strings in *out point into j and worker. The
 * caller frees *out with worker_report_free() in all cases. CF_EINVAL: a field is missing
 * or out of range; CF_ETOOBIG: too many tasks; CF_ENOMEM.
 */
int worker_report_read(const json_t *j, struct str worker,
		       struct sched_worker_report *out);
void worker_report_free(struct sched_worker_report *r);

#endif
