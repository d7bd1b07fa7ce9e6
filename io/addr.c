#include "io/addr.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

#include "base/err.h"

/* Parses "1.2.3.4:port" or "[v6]:port". CF_EINVAL for anything else. */
int addr_parse(struct str text, struct addr *out)
{
	char host[INET6_ADDRSTRLEN];
	struct str h, port;
	uint64_t n;
	bool v6 = text.n && text.p[0] == '[';

	memset(out, 0, sizeof(*out));
	if (v6) {
		text.p++;
		text.n--;
		if (!str_split(text, ']', &h, &port) || port.n < 2 || port.p[0] != ':')
			return CF_EINVAL;
		port.p++;
		port.n--;
	} else if (!str_split(text, ':', &h, &port)) {
		return CF_EINVAL;
	}
	if (h.n == 0 || h.n >= sizeof(host) || str_to_u64(port, &n) || n > UINT16_MAX)
		return CF_EINVAL;
	memcpy(host, h.p, h.n);
	host[h.n] = '\0';
	if (v6) {
		struct sockaddr_in6 *sin6 = (struct sockaddr_in6 *)&out->sa;

		sin6->sin6_family = AF_INET6;
		sin6->sin6_port = htons((uint16_t)n);
		out->len = sizeof(*sin6);
		return inet_pton(AF_INET6, host, &sin6->sin6_addr) == 1 ? 0 : CF_EINVAL;
	}
	struct sockaddr_in *sin = (struct sockaddr_in *)&out->sa;

	sin->sin_family = AF_INET;
	sin->sin_port = htons((uint16_t)n);
	out->len = sizeof(*sin);
	return inet_pton(AF_INET, host, &sin->sin_addr) == 1 ? 0 : CF_EINVAL;
}

/* Whether it names a port of one host: neither port 0 nor an address of none or many. */
bool addr_is_host(const struct addr *a)
{
	const struct sockaddr_in6 *sin6 = (const struct sockaddr_in6 *)&a->sa;
	const struct sockaddr_in *sin = (const struct sockaddr_in *)&a->sa;
	uint32_t ip;

	if (!addr_port(a))
		return false;
	if (a->sa.ss_family == AF_INET6)
		return !IN6_IS_ADDR_UNSPECIFIED(&sin6->sin6_addr) &&
		       !IN6_IS_ADDR_MULTICAST(&sin6->sin6_addr);
	ip = ntohl(sin->sin_addr.s_addr);
	return ip != INADDR_ANY && ip != INADDR_BROADCAST && !IN_MULTICAST(ip);
}

uint16_t addr_port(const struct addr *a)
{
	if (a->sa.ss_family == AF_INET6)
		return ntohs(((const struct sockaddr_in6 *)&a->sa)->sin6_port);
	return ntohs(((const struct sockaddr_in *)&a->sa)->sin_port);
}

/* Appends the text form that addr_parse() reads. */
int addr_format(const struct addr *a, struct buf *out)
{
	char host[INET6_ADDRSTRLEN];
	const void *ip;

	if (a->sa.ss_family == AF_INET6)
		ip = &((const struct sockaddr_in6 *)&a->sa)->sin6_addr;
	else
		ip = &((const struct sockaddr_in *)&a->sa)->sin_addr;
	if (!inet_ntop(a->sa.ss_family, ip, host, sizeof(host)))
		return CF_EINVAL;
	return buf_addf(out, a->sa.ss_family == AF_INET6 ? "[%s]:%u" : "%s:%u", host,
			addr_port(a));
}
