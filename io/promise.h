#ifndef IO_PROMISE_H
#define IO_PROMISE_H

#include <stdint.h>

#include "io/fileops.h"

/* The promise file of a data directory: epoch, vote and the directory's identity. */
struct promise {
	uint64_t member;   /* id of the member that the directory belongs to */
	uint64_t identity; /* random, never 0 */
	uint64_t epoch;
	uint64_t vote;
};

int promise_save(const char *dir, struct fileops *files, const struct promise *p);
int promise_load(const char *dir, struct fileops *files, uint64_t member,
		 struct promise *out);
int promise_create(const char *dir, struct fileops *files, uint64_t member,
		   uint64_t identity, struct promise *out);

#endif
