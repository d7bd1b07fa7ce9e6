#ifndef CARAWAYFRONTD_COMMAND_BATCH_H
#define CARAWAYFRONTD_COMMAND_BATCH_H

#include "base/str.h"
#include "proto/dag.h"

/*
 * Commands of one round of the event loop, which become log entries: one, or several when
 * they are too large for one. Zeroed memory is an empty batch.
 */
struct command_batch {
	struct buf bytes; /* encoded commands */
	struct command_part *parts;
	size_t n_parts;
	size_t cap_parts;
};

/* Commands of one entry: where their bytes end, and how many they are. */
struct command_part {
	size_t end;
	uint32_t n;
};

int command_batch_add(struct command_batch *b, const struct dag_command *cmd);
int command_batch_entry(const struct command_batch *b, size_t part, int64_t time_ms,
			struct buf *out);
void command_batch_clear(struct command_batch *b);
void command_batch_free(struct command_batch *b);

#endif
