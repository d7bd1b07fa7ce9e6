/*
 * Linked into the daemon of test_site_stalled_disk: syncs of the data directory X.data
 * hang while the file X.stall exists beside it.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "io/fileops.h"

#define DATA ".data"
#define STALL ".stall"
#define RETRY_US 1000

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
