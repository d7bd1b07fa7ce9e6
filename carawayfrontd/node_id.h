#ifndef CARAWAYFRONTD_NODE_ID_H
#define CARAWAYFRONTD_NODE_ID_H

#include <stdint.h>

#include "io/addr.h"

/*
 * Controllers are named by the IPv4 number and port of their RPC listener, so that an
 * id is enough to call one.
 */
uint64_t node_id(const struct addr *a);
uint64_t node_id_with_port(const struct addr *a, uint16_t port);
int node_addr(uint64_t id, struct addr *out);

#endif
