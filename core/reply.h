#ifndef CORE_REPLY_H
#define CORE_REPLY_H

#include "base/str.h"

struct claim_outcome;

/*
 * What a command answers besides its error number. detail and outcome as in struct
 * command_result of proto/command.x.
 */
struct reply {
	uint64_t revision;
	struct buf detail;
	const struct claim_outcome *outcome;
};

#endif
