#include "io/listener.h"

#include <errno.h>
#include <unistd.h>

#include "base/err.h"
#include "io/clock.h"

#define BACKLOG 1024
/* A process that was killed holds its ports until its outstanding disk I/O has ended. */
#define TAKEN_WAIT_US 2000000
#define TAKEN_RETRY_US 20000

static int open_now(const struct addr *address, int *fd)
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

/*
 * Opens a non-blocking listening socket; blocks for up to 2 s while the port is taken.
 * CF_EEXIST: it still is.
 */
int listener_open(const struct addr *address, int *fd)
{
	int64_t end_us = clock_us() + TAKEN_WAIT_US;
	int err;

	while ((err = open_now(address, fd)) == CF_EEXIST && clock_us() < end_us)
		usleep(TAKEN_RETRY_US);
	return err;
}
