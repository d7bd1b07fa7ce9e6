#ifndef IO_ADDR_H
#define IO_ADDR_H

#include <stdbool.h>
#include <sys/socket.h>

#include "base/str.h"

/* An IP number and port; names are never resolved. */
struct addr {
	struct sockaddr_storage sa;
	socklen_t len;
};

int addr_parse(struct str text, struct addr *out);
int addr_format(const struct addr *a, struct buf *out);
bool addr_is_host(const struct addr *a);
uint16_t addr_port(const struct addr *a);

#endif
