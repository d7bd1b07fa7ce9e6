#include "io/file.h"

#include <errno.h>
#include <fcntl.h>
#include <unistd.h>

#include "base/err.h"

#define CHUNK 16384U

/* Reads a whole file of at most max bytes. CF_ENOENT, CF_EIO or CF_ETOOBIG. */
int file_read(const char *path, size_t max, struct buf *out)
{
	int fd = open(path, O_RDONLY | O_CLOEXEC);
	int err = 0;

	if (fd < 0)
		return errno == ENOENT ? CF_ENOENT : CF_EIO;
	for (;;) {
		ssize_t n;

		err = buf_reserve(out, CHUNK);
		if (err)
			goto out;
		n = read(fd, out->p + out->n, CHUNK);
		if (n < 0) {
			err = CF_EIO;
			goto out;
		}
		if (n == 0)
			break;
		out->n += (size_t)n;
		out->p[out->n] = '\0';
		if (out->n > max) {
			err = CF_ETOOBIG;
			goto out;
		}
	}
out:
	close(fd);
	return err;
}
