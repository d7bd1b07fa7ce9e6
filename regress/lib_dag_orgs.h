#ifndef REGRESS_LIB_DAG_ORGS_H
#define REGRESS_LIB_DAG_ORGS_H

#include "regress/lib_dag_world.h"

/*
 * Organisations in the world of lib_dag_world.h, one world a process. Each start that the
 * leader proposes is checked against the quota of its job's owner, by a recount of the
 * live runs in the replicated state and of the starts that are proposed and not recorded.
 */
#define DO_ORGS 8U

/* The owner is the organisation with this number, from 1 on; 0: none. */
#define DO_JOB(org, n) ((uint64_t)(org) << 32 | (n))

struct do_usage {
	uint64_t cpu;
	uint64_t mem;
	uint64_t gpus;
	uint32_t runs;
};

struct do_stats {
	struct do_usage used; /* as the scheduler counts it */
	size_t n_waiting;
	int64_t quota_wait_us; /* sum over all calls of do_stats() */
};

/* After dw_open() and before the world runs. */
void do_open(struct dag_world *w);
/* Before dw_close(). */
void do_close(void);
/* Returns its number. */
uint32_t do_add(const char *name, uint32_t weight, struct dag_org_limits limits);
/* All jobs belong to this organisation, whatever their numbers say. */
void do_own_all(uint32_t org);
void do_set_limits(uint32_t org, struct dag_org_limits limits);
/* Recount from the state and the proposed starts. */
struct do_usage do_recount(uint32_t org);
struct do_stats do_stats(uint32_t org);
/* Largest fraction of the workers' CPU, memory and GPUs. */
double do_dominant_share(uint32_t org);
/* No organisation is configured any more; this one owns no job, so it is removed. */
void do_remove(uint32_t org);
/* Whether the leader has data of it. */
bool do_is_known(uint32_t org);
/* Why the newest task that was reported as waiting does not start. */
const char *do_obstacle(void);
/* Fails the test if the scheduler's usage differs from the recount. */
void do_assert_counted(void);

#endif
