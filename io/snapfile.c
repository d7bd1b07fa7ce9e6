#include "io/snapfile.h"

#include "base/err.h"
#include "io/wholefile.h"

#define SNAPFILE_NAME "snapshot"
#define SNAPFILE_HEADER 16

/*
 * Replaces the snapshot file; durable on return. After a crash at any step the old
 * or the new snapshot is read. Errors as for wholefile_save().
 */
int snapfile_save(const char *dir, struct fileops *files, uint64_t index, uint64_t epoch,
		  struct str bytes)
{
	unsigned char h[SNAPFILE_HEADER];
	struct buf all = {0};
	int err;

	le_put64(h, index);
	le_put64(h + 8, epoch);
	if ((err = buf_add(&all, h, sizeof(h))) ||
	    (err = buf_add(&all, bytes.p, bytes.n)))
		goto out;
	err = wholefile_save(dir, SNAPFILE_NAME, files ? files : fileops_system(),
			     buf_str(&all));
out:
	buf_free(&all);
	return err;
}

/* Replaces *bytes by the snapshot. CF_ENOENT when there is none, CF_ECORRUPT, CF_EIO. */
int snapfile_load(const char *dir, struct fileops *files, uint64_t *index,
		  uint64_t *epoch, struct buf *bytes)
{
	struct buf all = {0};
	int err;

	err = wholefile_load(dir, SNAPFILE_NAME, files ? files : fileops_system(), &all);
	if (err)
		goto out;
	if (all.n < SNAPFILE_HEADER) {
		err = CF_ECORRUPT;
		goto out;
	}
	*index = le_get64((const unsigned char *)all.p);
	*epoch = le_get64((const unsigned char *)all.p + 8);
	err = buf_set(bytes,
		      (struct str){all.p + SNAPFILE_HEADER, all.n - SNAPFILE_HEADER});
out:
	buf_free(&all);
	return err;
}
