#ifndef CORE_STORE_IMPL_H
#define CORE_STORE_IMPL_H

/* Internal declarations, shared by core/store*.c only. */

#include "core/capacity.h"
#include "core/store.h"

struct store {
	struct member_host host;
	struct store_options options;
	uint64_t index;	  /* of the last command */
	uint64_t time_us; /* of the last command; never decreases */
	struct conf *conf;
	struct claims *claims;
	struct jobs *jobs;
	struct members *members;
	struct dedup *dedup;
	struct capacity_list capacities; /* of all workers so far */
	bool failed; /* a command failed halfway; the state may be inconsistent */
};

void store_add_capacity(struct store *s, const struct command_capacity *in);
int store_conf_put(struct store *s, const struct command_conf_put *in,
		   struct reply *reply);
int store_conf_delete(struct store *s, const struct command_conf_delete *in,
		      struct reply *reply);
int store_job_submit(struct store *s, const struct command_job_submit *in,
		     struct reply *reply);

#endif
