#ifndef IO_FILE_H
#define IO_FILE_H

#include "base/str.h"

int file_read(const char *path, size_t max, struct buf *out);

#endif
