#include "io/promise.h"

#include <sys/random.h>

#include "base/err.h"
#include "io/wholefile.h"

#define PROMISE_NAME "promise"
#define PROMISE_BYTES 32

/* Replaces the promise file; durable on return. Errors as for wholefile_save(). */
int promise_save(const char *dir, struct fileops *files, const struct promise *p)
{
	unsigned char b[PROMISE_BYTES];

	le_put64(b, p->member);
	le_put64(b + 8, p->identity);
	le_put64(b + 16, p->epoch);
	le_put64(b + 24, p->vote);
	return wholefile_save(dir, PROMISE_NAME, files ? files : fileops_system(),
			      (struct str){(char *)b, sizeof(b)});
}

/*
 * Reads the promise file. CF_ENOENT: the directory is fresh. CF_EFOREIGN: it
 * belongs to another member. CF_ECORRUPT, CF_EIO: it must not be used.
 */
int promise_load(const char *dir, struct fileops *files, uint64_t member,
		 struct promise *out)
{
	struct buf raw = {0};
	const unsigned char *b;
	int err;

	err = wholefile_load(dir, PROMISE_NAME, files ? files : fileops_system(), &raw);
	if (err)
		goto out;
	err = CF_ECORRUPT;
	if (raw.n != PROMISE_BYTES)
		goto out;
	b = (const unsigned char *)raw.p;
	*out = (struct promise){
		.member = le_get64(b),
		.identity = le_get64(b + 8),
		.epoch = le_get64(b + 16),
		.vote = le_get64(b + 24),
	};
	if (out->identity == 0)
		goto out;
	err = out->member == member ? 0 : CF_EFOREIGN;
out:
	buf_free(&raw);
	return err;
}

/* Gives a fresh directory an identity; identity 0: a random one. */
int promise_create(const char *dir, struct fileops *files, uint64_t member,
		   uint64_t identity, struct promise *out)
{
	*out = (struct promise){.member = member, .identity = identity};
	while (out->identity == 0) {
		if (getrandom(&out->identity, sizeof(out->identity), 0) !=
		    (ssize_t)sizeof(out->identity))
			return CF_EIO;
	}
	return promise_save(dir, files, out);
}
