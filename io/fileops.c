#include "io/fileops.h"

#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

static int system_open(struct fileops *f, const char *path, int flags, int mode)
{
	return open(path, flags | O_CLOEXEC, mode);
}

static ssize_t system_write(struct fileops *f, int fd, const void *p, size_t n)
{
	return write(fd, p, n);
}

static int system_fdatasync(struct fileops *f, int fd)
{
	return fdatasync(fd);
}

static int system_ftruncate(struct fileops *f, int fd, off_t size)
{
	return ftruncate(fd, size);
}

static int system_rename(struct fileops *f, const char *from, const char *to)
{
	return rename(from, to);
}

static int system_unlink(struct fileops *f, const char *path)
{
	return unlink(path);
}

static int system_close(struct fileops *f, int fd)
{
	return close(fd);
}

static struct fileops system_files = {
	.open = system_open,
	.write = system_write,
	.fdatasync = system_fdatasync,
	.ftruncate = system_ftruncate,
	.rename = system_rename,
	.unlink = system_unlink,
	.close = system_close,
};

struct fileops *fileops_system(void)
{
	return &system_files;
}
