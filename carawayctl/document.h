#ifndef CARAWAYCTL_DOCUMENT_H
#define CARAWAYCTL_DOCUMENT_H

#include "base/str.h"

int document_read_file(const char *file, struct buf *out);

#endif
