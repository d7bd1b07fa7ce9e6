#include "carawayfrontd/poll_store.h"

#include <stdlib.h>

#include <uthash.h>

#include "base/err.h"

/* Bounds of memory: workers, and bytes of a poll that is kept. */
#define MAX_WORKERS 4096U
#define MAX_BODY 16384U

struct stored_poll {
	UT_hash_handle hh;
	struct buf name;
	struct buf body;
	uint64_t hash;
};

struct poll_store {
	struct stored_poll *polls; /* by name */
};

int poll_store_new(struct poll_store **out)
{
	*out = calloc(1, sizeof(**out));
	return *out ? 0 : CF_ENOMEM;
}

/* Keeps a poll. CF_ENOSPACE or CF_ETOOBIG: it is not kept, renewals will be refused. */
int poll_store_put(struct poll_store *p, struct str worker, uint64_t hash,
		   struct str body)
{
	struct stored_poll *s;
	int err;

	HASH_FIND(hh, p->polls, worker.p, worker.n, s);
	if (!s) {
		if (HASH_COUNT(p->polls) >= MAX_WORKERS)
			return CF_ENOSPACE;
		s = calloc(1, sizeof(*s));
		if (!s)
			return CF_ENOMEM;
		err = buf_set(&s->name, worker);
		if (err) {
			free(s);
			return err;
		}
		HASH_ADD_KEYPTR(hh, p->polls, s->name.p, s->name.n, s);
	}
	s->hash = hash;
	s->body.n = 0;
	return body.n > MAX_BODY ? CF_ETOOBIG : buf_set(&s->body, body);
}

/* Finds the last poll of a worker. CF_ENOENT when it has another hash. */
int poll_store_get(const struct poll_store *p, struct str worker, uint64_t hash,
		   struct str *body)
{
	struct stored_poll *s;

	HASH_FIND(hh, p->polls, worker.p, worker.n, s);
	if (!s || s->hash != hash || s->body.n == 0)
		return CF_ENOENT;
	*body = buf_str(&s->body);
	return 0;
}

void poll_store_free(struct poll_store *p)
{
	struct stored_poll *s, *next;

	if (!p)
		return;
	s = p->polls;
	HASH_CLEAR(hh, p->polls);
	for (; s; s = next) {
		next = s->hh.next;
		buf_free(&s->name);
		buf_free(&s->body);
		free(s);
	}
	free(p);
}
