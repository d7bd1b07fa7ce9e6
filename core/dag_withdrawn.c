/*
 * Jobs that were cancelled although they are not known. Their submissions may still be
 * under way, and must not start anything when they arrive.
 */
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/dag_state.h"
#include "proto/codec.h"

#define WITHDRAWN_MAX 4096U
#define WITHDRAWN_AGE_MS 120000 /* a submission is not under way for so long */

struct dag_withdrawn {
	UT_hash_handle hh;
	uint64_t id;
	int64_t at_ms;
	size_t queue_len;
	char queue[];
};

static struct dag_withdrawn *find(const struct dag_state *s, uint64_t id)
{
	struct dag_withdrawn *w;

	HASH_FIND(hh, s->withdrawn, &id, sizeof(id), w);
	return w;
}

static bool is_of_queue(const struct dag_withdrawn *w, struct str queue)
{
	return w && str_eq((struct str){w->queue, w->queue_len}, queue);
}

static void forget(struct dag_state *s, struct dag_withdrawn *w)
{
	HASH_DEL(s->withdrawn, w);
	free(w);
}

/*
 * Remembers that a job of a queue is not wanted. Forgets those that are too old, and the
 * oldest when there are too many. CF_ENOMEM.
 */
int dag_state_withdraw(struct dag_state *s, uint64_t id, struct str queue, int64_t at_ms)
{
	struct dag_withdrawn *w = find(s, id);

	if (w)
		forget(s, w);
	while (s->withdrawn && (HASH_COUNT(s->withdrawn) >= WITHDRAWN_MAX ||
				s->withdrawn->at_ms < at_ms - WITHDRAWN_AGE_MS))
		forget(s, s->withdrawn);
	w = calloc(1, sizeof(*w) + queue.n + 1);
	if (!w)
		return CF_ENOMEM;
	w->id = id;
	w->at_ms = at_ms;
	w->queue_len = queue.n;
	if (queue.n)
		memcpy(w->queue, queue.p, queue.n);
	HASH_ADD(hh, s->withdrawn, id, sizeof(w->id), w);
	return 0;
}

bool dag_state_is_withdrawn(const struct dag_state *s, uint64_t id, struct str queue)
{
	return is_of_queue(find(s, id), queue);
}

/* Forgets the withdrawal of a job that is known now. Returns whether there was one. */
bool dag_state_take_withdrawn(struct dag_state *s, uint64_t id, struct str queue)
{
	struct dag_withdrawn *w = find(s, id);
	bool found = is_of_queue(w, queue);

	if (w)
		forget(s, w);
	return found;
}

void dag_state_clear_withdrawn(struct dag_state *s)
{
	while (s->withdrawn)
		forget(s, s->withdrawn);
}

u_int dag_state_count_withdrawn(const struct dag_state *s)
{
	return HASH_COUNT(s->withdrawn);
}

/* Writes all of them, oldest first, as jobs without steps; borrows the names of queues.
 */
void dag_state_list_withdrawn(const struct dag_state *s, struct dag_image_job *out)
{
	const struct dag_withdrawn *w;

	for (w = s->withdrawn; w; w = w->hh.next, out++) {
		out->spec.id = w->id;
		XDR_SET(out->spec, queue, ((struct str){w->queue, w->queue_len}));
		out->state = DAG_JOB_CANCELLED;
		out->ended_ms = w->at_ms;
	}
}
