#ifndef IO_SNAPFILE_H
#define IO_SNAPFILE_H

#include <stdint.h>

#include "base/str.h"
#include "io/fileops.h"

/* The snapshot file of a data directory, replaced as a whole. */
int snapfile_save(const char *dir, struct fileops *files, uint64_t index, uint64_t epoch,
		  struct str bytes);
int snapfile_load(const char *dir, struct fileops *files, uint64_t *index,
		  uint64_t *epoch, struct buf *bytes);

#endif
