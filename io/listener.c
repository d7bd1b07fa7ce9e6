#include "io/listener.h"

#include <errno.h>
#include <unistd.h>

#include "base/err.h"

#define BACKLOG 1024

/* Opens a non-blocking listening socket. CF_EEXIST when the port is taken. */
int listener_open(const struct addr *address, int *fd)
{
	int one = 1;
	int s = socket(address->sa.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		       0);
	int err;

	if (s < 0)
		return CF_EIO;
	setsockopt(s, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(s, (const struct sockaddr *)&address->sa, address->len) ||
	    listen(s, BACKLOG)) {
		err = errno == EADDRINUSE ? CF_EEXIST : CF_EIO;
		close(s);
		return err;
	}
	*fd = s;
	return 0;
}
