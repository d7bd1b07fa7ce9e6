#include "carawayfrontd/node_id.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

#include "base/err.h"

#define PORT_BITS 16

/* The id of a controller that listens at the address; 0: not an IPv4 address. */
uint64_t node_id(const struct addr *a)
{
	return node_id_with_port(a, addr_port(a));
}

uint64_t node_id_with_port(const struct addr *a, uint16_t port)
{
	struct sockaddr_in in;

	if (a->sa.ss_family != AF_INET)
		return 0;
	memcpy(&in, &a->sa, sizeof(in));
	return (uint64_t)ntohl(in.sin_addr.s_addr) << PORT_BITS | port;
}

/* CF_EINVAL: the number is no id. */
int node_addr(uint64_t id, struct addr *out)
{
	struct sockaddr_in in = {.sin_family = AF_INET};

	if (id == 0 || id >> 48)
		return CF_EINVAL;
	in.sin_port = htons((uint16_t)id);
	in.sin_addr.s_addr = htonl((uint32_t)(id >> PORT_BITS));
	memset(out, 0, sizeof(*out));
	memcpy(&out->sa, &in, sizeof(in));
	out->len = sizeof(in);
	return 0;
}
