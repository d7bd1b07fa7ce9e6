#ifndef CORE_DAG_SHARE_H
#define CORE_DAG_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "core/dag_org.h"

/* Quotas and shares of organisations, private to the scheduler's sources. */

struct ds_step;

/* What runs reserve, or what all workers have. Fillers' CPU counts. */
struct ds_usage {
	uint64_t cpu_milli; /* thousandths of a core */
	uint64_t mem_mb;
	uint64_t gpus;
};

TAILQ_HEAD(ds_org_steps, ds_step);

/*
 * The leader's own data of an organisation, or of all jobs that belong to none. A run is
 * in "used" from the proposal of its start until its end is recorded.
 */
struct ds_org {
	TAILQ_ENTRY(ds_org) entry;
	struct dag_org *rec; /* NULL: of the jobs without an organisation */
	struct ds_usage used;
	uint32_t n_runs;
	size_t n_waiting; /* tasks in the ready list */
	size_t n_blocked; /* part of them that the quota held back in the last pass */
	const char *exhausted; /* the resource that is short then, NULL: none */
	const struct ds_step *first_blocked; /* valid until the pass ends */
	int64_t quota_wait_us;		     /* see struct dag_org_stats */
	int64_t next_log_us;
	/* Of the placement pass: steps of one priority and rank that are not tried yet.
	 */
	TAILQ_ENTRY(ds_org) active_entry;
	struct ds_org_steps steps;
	uint32_t next_task; /* of the first of them: the tasks before it are placed */
};

TAILQ_HEAD(ds_orgs, ds_org);

/* Order of one placement pass. */
struct ds_share {
	bool by_org;		 /* false: the order of the ready list */
	struct ds_step *next;	 /* in the ready list: the first that is not taken yet */
	struct ds_usage cluster; /* capacity of all workers in service */
	double fair; /* weighted share up to which an organisation comes first */
	struct ds_orgs active;	/* organisations with steps that are not tried yet */
	struct ds_org *current; /* the newest step is of this organisation */
	double turn_end;	/* weighted share above which its turn is over */
	bool yielded;		/* its turn is over, and its step has further tasks */
};

const char *ds_quota_exceeded(const struct ds_org *o, const struct ds_usage *task,
			      uint32_t n_tasks);
double ds_weighted_share(const struct ds_org *o, const struct ds_usage *cluster);
struct ds_org *ds_choose_org(const struct ds_orgs *active, const struct ds_usage *cluster,
			     double fair, double *turn_end);

#endif
