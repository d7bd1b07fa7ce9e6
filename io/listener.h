#ifndef IO_LISTENER_H
#define IO_LISTENER_H

#include "io/addr.h"

int listener_open(const struct addr *address, int *fd);

#endif
