#ifndef CORE_REPLY_H
#define CORE_REPLY_H

#include "base/str.h"

struct claim_outcome;

/*
 * Result of a command besides its error number. detail and outcome are as in struct
 * command_result of proto/command.x.
 */
struct reply {
	uint64_t revision;
	struct buf detail;
	const struct claim_outcome *outcome;
};

#endif
