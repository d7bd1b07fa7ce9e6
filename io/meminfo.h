#ifndef IO_MEMINFO_H
#define IO_MEMINFO_H

#include "base/str.h"

int meminfo_parse(struct str text, uint64_t *bytes);
int meminfo_read(const char *path, uint64_t *bytes);

#endif
