#ifndef CORE_DAG_ORG_H
#define CORE_DAG_ORG_H

#include <uthash.h>

#include "base/str.h"
#include "proto/dag.h"

/*
 * Organisations of the replicated state: who may submit jobs, and how much of the
 * workers' capacity their tasks may use together.
 */

/* The most that an organisation's runs may reserve on all workers together. 0: no limit
 */
struct dag_org_limits {
	uint64_t cpu_milli; /* thousandths of a core */
	uint64_t mem_mb;
	uint64_t gpus;
};

/*
 * An organisation that the configuration in force names, or that owns a job. One that the
 * configuration has dropped keeps its newest weight and limits until its last job is
 * forgotten.
 */
struct dag_org {
	UT_hash_handle hh; /* by name */
	char *name;	   /* NUL-terminated, its length is that of the key */
	uint32_t weight;   /* share under shortage, relative to others; 0 counts as 1 */
	struct dag_org_limits limits;
	bool configured;	      /* the configuration in force names it */
	uint32_t n_jobs;	      /* jobs that it owns */
	void *sched;		      /* struct ds_org of the leader, NULL elsewhere */
	struct dag_org *next_removed; /* private to core/dag_org.c */
};

/* A credential of an organisation, known by its digest only. */
struct dag_org_key {
	unsigned char digest[DAG_DIGEST_BYTES];
	struct dag_org *org;
};

/* What the configuration in force says of access. Without organisations all is empty. */
struct dag_org_access {
	struct dag_org_key *keys; /* each digest once, in ascending order */
	size_t n_keys;
	bool *public_queues; /* for each queue of the configuration; NULL: no organisation
				is configured */
};

int dag_org_digest(struct str credential, unsigned char digest[DAG_DIGEST_BYTES]);
struct str dag_org_name(const struct dag_org *org);

#endif
