#include "io/wholefile.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>
#include <zlib.h>

#include "base/err.h"

/* Header: magic, CRC of the length and the bytes, length. */
#define MAGIC 0x31464357U /* "WCF1" */
#define HEADER 16

static uint32_t wholefile_crc(const unsigned char *header, struct str bytes)
{
	uLong crc = crc32_z(0, header + 8, 8);

	return (uint32_t)crc32_z(crc, (const Bytef *)bytes.p, bytes.n);
}

/* Error of the failed system call that errno tells of. */
int file_error(void)
{
	return errno == ENOSPC || errno == EDQUOT ? CF_ENOSPACE : CF_EIO;
}

/*
 * Replaces the file: written under a temporary name, synced, renamed, directory
 * synced. After a crash at any step the old or the new content is there. CF_ENOSPACE:
 * the disk is full and the old content stays, so the caller may try again later. CF_EIO:
 * which of the two a crash leaves is open, the caller must not go on.
 */
int wholefile_save(const char *dir, const char *name, struct fileops *files,
		   struct str bytes)
{
	unsigned char header[HEADER];
	struct buf tmp = {0};
	struct buf path = {0};
	int fd = -1;
	int err;

	if ((err = file_path(&tmp, dir, name, ".tmp")) ||
	    (err = file_path(&path, dir, name, "")))
		goto out;
	le_put32(header, MAGIC);
	le_put64(header + 8, bytes.n);
	le_put32(header + 4, wholefile_crc(header, bytes));
	fd = files->open(files, tmp.p, O_WRONLY | O_CREAT | O_TRUNC, 0600);
	if (fd < 0) {
		err = file_error();
		goto out;
	}
	if ((err = file_write_all(files, fd, header, HEADER)) ||
	    (err = file_write_all(files, fd, bytes.p, bytes.n))) {
		/* A part of the content must not take up space on a full disk. */
		files->unlink(files, tmp.p);
		goto out;
	}
	if (files->fdatasync(files, fd)) {
		err = CF_EIO;
		goto out;
	}
	err = files->close(files, fd) ? CF_EIO : 0;
	fd = -1;
	if (err)
		goto out;
	if (files->rename(files, tmp.p, path.p)) {
		err = file_error();
		goto out;
	}
	err = file_sync_dir(files, dir);
out:
	if (fd >= 0)
		files->close(files, fd);
	buf_free(&tmp);
	buf_free(&path);
	return err;
}

/* Replaces *bytes by the content. CF_ENOENT, CF_ECORRUPT or CF_EIO. */
int wholefile_load(const char *dir, const char *name, struct fileops *files,
		   struct buf *bytes)
{
	const unsigned char *h;
	struct buf path = {0};
	struct buf raw = {0};
	struct str body;
	int err;

	err = file_path(&path, dir, name, "");
	if (err)
		goto out;
	err = file_read_all(files, path.p, &raw);
	if (err)
		goto out;
	err = CF_ECORRUPT;
	if (raw.n < HEADER)
		goto out;
	h = (const unsigned char *)raw.p;
	body = (struct str){raw.p + HEADER, raw.n - HEADER};
	if (le_get32(h) != MAGIC || le_get64(h + 8) != body.n ||
	    le_get32(h + 4) != wholefile_crc(h, body))
		goto out;
	err = buf_set(bytes, body);
out:
	buf_free(&path);
	buf_free(&raw);
	return err;
}

/* Writes all n bytes. CF_ENOSPACE when the disk is full, else CF_EIO. */
int file_write_all(struct fileops *files, int fd, const void *p, size_t n)
{
	const char *q = p;

	while (n > 0) {
		ssize_t w = files->write(files, fd, q, n);

		if (w < 0 && errno == EINTR)
			continue;
		if (w <= 0)
			return w < 0 ? file_error() : CF_EIO;
		q += w;
		n -= (size_t)w;
	}
	return 0;
}

/* Appends the whole file to *out. CF_ENOENT when there is none. */
int file_read_all(struct fileops *files, const char *path, struct buf *out)
{
	int fd = files->open(files, path, O_RDONLY, 0);
	int err = 0;

	if (fd < 0)
		return errno == ENOENT ? CF_ENOENT : CF_EIO;
	for (;;) {
		ssize_t n;

		err = buf_reserve(out, 65536);
		if (err)
			break;
		n = read(fd, out->p + out->n, 65536);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			err = CF_EIO;
		if (n <= 0)
			break;
		out->n += (size_t)n;
	}
	files->close(files, fd);
	return err;
}

/* Makes created, renamed and removed names of a directory durable. */
int file_sync_dir(struct fileops *files, const char *dir)
{
	int fd = files->open(files, dir, O_RDONLY | O_DIRECTORY, 0);
	int err;

	if (fd < 0)
		return CF_EIO;
	err = files->fdatasync(files, fd) ? CF_EIO : 0;
	files->close(files, fd);
	return err;
}

/* Sets *out to DIR/NAME and SUFFIX. */
int file_path(struct buf *out, const char *dir, const char *name, const char *suffix)
{
	out->n = 0;
	return buf_addf(out, "%s/%s%s", dir, name, suffix);
}

void le_put32(unsigned char *p, uint32_t v)
{
	for (int i = 0; i < 4; i++)
		p[i] = (unsigned char)(v >> (8 * i));
}

void le_put64(unsigned char *p, uint64_t v)
{
	for (int i = 0; i < 8; i++)
		p[i] = (unsigned char)(v >> (8 * i));
}

uint32_t le_get32(const unsigned char *p)
{
	uint32_t v = 0;

	for (int i = 3; i >= 0; i--)
		v = v << 8 | p[i];
	return v;
}

uint64_t le_get64(const unsigned char *p)
{
	uint64_t v = 0;

	for (int i = 7; i >= 0; i--)
		v = v << 8 | p[i];
	return v;
}
