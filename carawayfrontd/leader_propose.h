#ifndef CARAWAYFRONTD_LEADER_PROPOSE_H
#define CARAWAYFRONTD_LEADER_PROPOSE_H

#include "carawayfrontd/leader_client.h"
#include "proto/command.h"

int leader_propose(struct leader_client *leader, struct leader_call *call,
		   const struct command_body *body, double timeout);

#endif
