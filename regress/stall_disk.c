/*
 * Linked into the daemon of test_site_stalled_disk: syncs of the data directory X.data
 * hang while the file X.stall exists beside it. A thread stands for the kernel.
 */
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "base/err.h"
#include "io/async_sync.h"
#include "io/fileops.h"

#define DATA ".data"
#define STALL ".stall"
#define RETRY_US 1000

struct async_sync {
	pthread_t thread;
	int event_fd;
	int fd;
	bool running;
	int err;
};

static int stalled_fdatasync(struct fileops *f, int fd)
{
	char link[64];
	char path[4096];
	char *data;
	ssize_t n;

	snprintf(link, sizeof(link), "/proc/self/fd/%d", fd);
	n = readlink(link, path, sizeof(path) - sizeof(STALL));
	path[n > 0 ? n : 0] = '\0';
	data = strstr(path, DATA);
	if (data)
		strcpy(data, STALL);
	while (data && access(path, F_OK) == 0)
		usleep(RETRY_US);
	return fdatasync(fd);
}

__attribute__((constructor)) static void install(void)
{
	fileops_system()->fdatasync = stalled_fdatasync;
}

static void *run_sync(void *arg)
{
	struct async_sync *s = arg;

	if (s->fd >= 0 && stalled_fdatasync(NULL, s->fd))
		s->err = CF_EIO;
	eventfd_write(s->event_fd, 1);
	return NULL;
}

int async_sync_new(struct async_sync **out)
{
	*out = calloc(1, sizeof(**out));
	if (!*out)
		return CF_ENOMEM;
	(*out)->event_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	return 0;
}

int async_sync_event_fd(const struct async_sync *s)
{
	return s->event_fd;
}

int async_sync_start(struct async_sync *s, int fd)
{
	s->fd = fd;
	s->err = 0;
	s->running = pthread_create(&s->thread, NULL, run_sync, s) == 0;
	return s->running ? 0 : CF_EIO;
}

int async_sync_finish(struct async_sync *s)
{
	if (s->running)
		pthread_join(s->thread, NULL);
	s->running = false;
	return s->err;
}

void async_sync_free(struct async_sync *s)
{
	if (!s)
		return;
	async_sync_finish(s);
	close(s->event_fd);
	free(s);
}
