#ifndef IO_WHOLEFILE_H
#define IO_WHOLEFILE_H

#include "base/str.h"
#include "io/fileops.h"

/* A small file with a CRC that is replaced as a whole or not at all. */
int wholefile_save(const char *dir, const char *name, struct fileops *files,
		   struct str bytes);
int wholefile_load(const char *dir, const char *name, struct fileops *files,
		   struct buf *bytes);

int file_error(void);
int file_write_all(struct fileops *files, int fd, const void *p, size_t n);
int file_read_all(struct fileops *files, const char *path, struct buf *out);
int file_sync_dir(struct fileops *files, const char *dir);
int file_path(struct buf *out, const char *dir, const char *name, const char *suffix);

void le_put32(unsigned char *p, uint32_t v);
void le_put64(unsigned char *p, uint64_t v);
uint32_t le_get32(const unsigned char *p);
uint64_t le_get64(const unsigned char *p);

#endif
