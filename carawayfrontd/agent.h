#ifndef CARAWAYFRONTD_AGENT_H
#define CARAWAYFRONTD_AGENT_H

#include <ev.h>

#include "carawayfrontd/settings.h"
#include "io/rpc_server.h"

/*
 * The gateway's side of the relay: makes the calls to workers that the leader sends and
 * returns their answers, those of one round of the loop together.
 */
struct agent;

struct agent_options {
	struct ev_loop *loop;
	const struct settings *settings; /* stays valid */
	struct server_limits *limits;	 /* of the process; may be NULL */
};

int agent_new(const struct agent_options *opt, struct agent **out);
void agent_free(struct agent *a);
/* Random number of this process, for its reports to the leader; never 0. */
uint64_t agent_life(const struct agent *a);

#endif
