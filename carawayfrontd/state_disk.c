#include "carawayfrontd/state_disk.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <fcntl.h>
#include <unistd.h>

#include "base/err.h"
#include "io/fileops.h"
#include "io/promise.h"
#include "io/snapfile.h"
#include "io/wal.h"

struct state_disk {
	char *dir;
	uint64_t member;
	int lock_fd;
	struct wal *wal;
};

/* Two processes on one data directory would both vote. CF_EBUSY when it is in use. */
static int lock_dir(struct state_disk *d)
{
	if (mkdir(d->dir, 0700) && errno != EEXIST)
		return CF_EIO;
	d->lock_fd = open(d->dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (d->lock_fd < 0)
		return CF_EIO;
	return flock(d->lock_fd, LOCK_EX | LOCK_NB) ? CF_EBUSY : 0;
}

static int load_promise(struct state_disk *d, uint64_t identity,
			struct state_disk_loaded *loaded)
{
	struct promise p;
	int err = promise_load(d->dir, fileops_system(), d->member, &p);

	if (err == CF_ENOENT) {
		loaded->fresh = true;
		err = promise_create(d->dir, fileops_system(), d->member, identity, &p);
	}
	if (err)
		return err;
	loaded->promise = (struct replica_promise){
		.epoch = p.epoch, .vote = p.vote, .identity = p.identity};
	return 0;
}

static int take_record(void *arg, const struct wal_record *rec)
{
	struct state_disk_loaded *l = arg;
	struct replica_entry *e;
	char *data;

	if (l->n_entries == l->cap_entries) {
		size_t cap = l->cap_entries ? 2 * l->cap_entries : 256;

		e = realloc(l->entries, cap * sizeof(*e));
		if (!e)
			return CF_ENOMEM;
		l->entries = e;
		l->cap_entries = cap;
	}
	data = str_dup(rec->data);
	if (!data)
		return CF_ENOMEM;
	l->entries[l->n_entries++] = (struct replica_entry){
		.index = rec->index,
		.epoch = rec->epoch,
		.kind = (enum replica_entry_kind)rec->kind,
		.data = {data, rec->data.n},
	};
	return 0;
}

/*
 * Opens and locks the directory, which is created when it does not exist. CF_EFOREIGN
 * when it belongs to another member, CF_ECORRUPT when stored data is damaged.
 */
int state_disk_open(const struct state_disk_options *opt, struct state_disk **out,
		    struct state_disk_loaded *loaded)
{
	struct state_disk *d = calloc(1, sizeof(*d));
	struct wal_options wal = {.dir = opt->dir};
	int err;

	*loaded = (struct state_disk_loaded){0};
	if (!d)
		return CF_ENOMEM;
	d->lock_fd = -1;
	d->member = opt->member;
	d->dir = strdup(opt->dir);
	if (!d->dir) {
		err = CF_ENOMEM;
		goto fail;
	}
	err = lock_dir(d);
	if (!err)
		err = load_promise(d, opt->identity, loaded);
	if (err)
		goto fail;
	err = snapfile_load(d->dir, fileops_system(), &loaded->snapshot_index,
			    &loaded->snapshot_epoch, &loaded->snapshot);
	if (err && err != CF_ENOENT)
		goto fail;
	wal.base = loaded->snapshot_index;
	err = wal_open(&wal, take_record, loaded, &d->wal);
	if (err)
		goto fail;
	*out = d;
	return 0;
fail:
	state_disk_loaded_free(loaded);
	state_disk_close(d);
	return err;
}

void state_disk_loaded_free(struct state_disk_loaded *loaded)
{
	for (size_t i = 0; i < loaded->n_entries; i++)
		free((char *)(uintptr_t)loaded->entries[i].data.p);
	free(loaded->entries);
	buf_free(&loaded->snapshot);
	loaded->entries = NULL;
	loaded->n_entries = 0;
}

/* Appends all entries or, with CF_ENOSPACE, none. */
int state_disk_append(struct state_disk *d, const struct replica_entry *e, size_t n)
{
	struct wal_record *rec = calloc(n + 1, sizeof(*rec));
	int err;

	if (!rec)
		return CF_ENOMEM;
	for (size_t i = 0; i < n; i++) {
		rec[i] = (struct wal_record){
			.index = e[i].index,
			.epoch = e[i].epoch,
			.kind = e[i].kind,
			.data = e[i].data,
		};
	}
	err = wal_append(d->wal, rec, n);
	free(rec);
	return err;
}

int state_disk_truncate(struct state_disk *d, uint64_t from_index)
{
	return wal_truncate(d->wal, from_index);
}

int state_disk_save_promise(struct state_disk *d, const struct replica_promise *p)
{
	struct promise stored = {
		.member = d->member,
		.identity = p->identity,
		.epoch = p->epoch,
		.vote = p->vote,
	};

	return promise_save(d->dir, fileops_system(), &stored);
}

int state_disk_save_snapshot(struct state_disk *d, uint64_t index, uint64_t epoch,
			     struct str bytes)
{
	return snapfile_save(d->dir, fileops_system(), index, epoch, bytes);
}

int state_disk_compact(struct state_disk *d, uint64_t index)
{
	return wal_compact(d->wal, index);
}

/* Blocks until everything appended is durable. */
int state_disk_sync(struct state_disk *d)
{
	return wal_sync(d->wal);
}

void state_disk_close(struct state_disk *d)
{
	if (!d)
		return;
	if (d->wal)
		wal_close(d->wal);
	if (d->lock_fd >= 0)
		close(d->lock_fd);
	free(d->dir);
	free(d);
}
