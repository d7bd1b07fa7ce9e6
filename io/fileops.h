#ifndef IO_FILEOPS_H
#define IO_FILEOPS_H

#include <stddef.h>
#include <sys/types.h>

/* System calls of the durable files, replaced in tests to inject failures. */
struct fileops {
	int (*open)(struct fileops *f, const char *path, int flags, int mode);
	ssize_t (*write)(struct fileops *f, int fd, const void *p, size_t n);
	int (*fdatasync)(struct fileops *f, int fd);
	int (*ftruncate)(struct fileops *f, int fd, off_t size);
	int (*rename)(struct fileops *f, const char *from, const char *to);
	int (*unlink)(struct fileops *f, const char *path);
	int (*close)(struct fileops *f, int fd);
};

struct fileops *fileops_system(void);

#endif
