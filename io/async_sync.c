#include "io/async_sync.h"

#include <errno.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <linux/aio_abi.h>

#include "base/err.h"

struct async_sync {
	aio_context_t context; /* 0: the kernel offers none, so syncs block */
	int event_fd;
	bool queued; /* with the kernel */
	int err;     /* of a sync that was not queued */
};

int async_sync_new(struct async_sync **out)
{
	struct async_sync *s = calloc(1, sizeof(*s));

	if (!s)
		return CF_ENOMEM;
	s->event_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (s->event_fd < 0) {
		free(s);
		return CF_ENOMEM;
	}
	if (syscall(SYS_io_setup, 1, &s->context))
		s->context = 0;
	*out = s;
	return 0;
}

/* Becomes readable when a sync has ended. */
int async_sync_event_fd(const struct async_sync *s)
{
	return s->event_fd;
}

/* Whether the kernel took the sync. */
static bool queue(struct async_sync *s, int fd)
{
	struct iocb cb = {
		.aio_lio_opcode = IOCB_CMD_FDSYNC,
		.aio_fildes = (uint32_t)fd,
		.aio_flags = IOCB_FLAG_RESFD,
		.aio_resfd = (uint32_t)s->event_fd,
	};
	struct iocb *list = &cb;

	return s->context && syscall(SYS_io_submit, s->context, 1, &list) == 1;
}

/*
 * Starts a sync of fd, or, with -1, one that has nothing to do. Its result is that of
 * async_sync_finish(), which must be called before the next one. CF_EIO: the end cannot
 * be signalled, and nothing was started.
 */
int async_sync_start(struct async_sync *s, int fd)
{
	uint64_t one = 1;

	s->err = 0;
	s->queued = fd >= 0 && queue(s, fd);
	if (s->queued)
		return 0;
	if (fd >= 0 && fdatasync(fd))
		s->err = CF_EIO;
	return write(s->event_fd, &one, sizeof(one)) == sizeof(one) ? 0 : CF_EIO;
}

/* Blocks until the sync has ended, and gives its result: 0 or CF_EIO. */
int async_sync_finish(struct async_sync *s)
{
	struct io_event event = {0};
	long n;

	if (!s->queued)
		return s->err;
	do {
		n = syscall(SYS_io_getevents, s->context, 1, 1, &event, NULL);
	} while (n < 0 && errno == EINTR);
	s->queued = false;
	s->err = n == 1 && event.res == 0 ? 0 : CF_EIO;
	return s->err;
}

/* Waits for a sync that runs. */
void async_sync_free(struct async_sync *s)
{
	if (!s)
		return;
	if (s->context)
		syscall(SYS_io_destroy, s->context);
	close(s->event_fd);
	free(s);
}
