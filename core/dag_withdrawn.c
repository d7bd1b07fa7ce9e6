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
	uint64_t id;
	int64_t at_ms;
	struct buf ref; /* to the queue, as it came */
	struct dag_queue_key queue;
	bool queue_known;
};

static struct dag_withdrawn *find(const struct dag_state *s, uint64_t id)
{
	for (u_int i = 0; i < s->n_withdrawn; i++)
		if (s->withdrawn[i].id == id)
			return &s->withdrawn[i];
	return NULL;
}

static bool is_of_queue(const struct dag_withdrawn *w, const struct dag_queue_key *queue)
{
	return w && dag_queue_key_equal(&w->queue, queue);
}

static void forget(struct dag_state *s, struct dag_withdrawn *w)
{
	size_t after = (size_t)(&s->withdrawn[--s->n_withdrawn] - w);

	buf_free(&w->ref);
	memmove(w, w + 1, after * sizeof(*w));
}

/* Makes room for one more, and drops those that are too old. */
static void forget_old(struct dag_state *s, int64_t now_ms)
{
	while (s->n_withdrawn && (s->n_withdrawn == WITHDRAWN_MAX ||
				  s->withdrawn[0].at_ms < now_ms - WITHDRAWN_AGE_MS))
		forget(s, &s->withdrawn[0]);
}

/*
 * Remembers that a job of a queue is not wanted. Forgets those that are too old, and the
 * oldest when there are too many. CF_ENOMEM.
 */
int dag_state_withdraw(struct dag_state *s, uint64_t id, struct str queue, int64_t at_ms)
{
	struct dag_withdrawn *w = find(s, id);
	int err;

	if (w)
		forget(s, w);
	forget_old(s, at_ms);
	w = realloc(s->withdrawn, (s->n_withdrawn + 1) * sizeof(*w));
	if (!w)
		return CF_ENOMEM;
	s->withdrawn = w;
	w += s->n_withdrawn;
	*w = (struct dag_withdrawn){.id = id, .at_ms = at_ms};
	w->queue_known = dag_state_resolve_queue(s, queue, &w->queue);
	err = buf_set(&w->ref, queue);
	if (!err)
		s->n_withdrawn++;
	return err;
}

bool dag_state_is_withdrawn(const struct dag_state *s, uint64_t id,
			    const struct dag_queue_key *queue)
{
	return is_of_queue(find(s, id), queue);
}

/* Forgets the withdrawal of a job that is known now. Returns whether there was one. */
bool dag_state_take_withdrawn(struct dag_state *s, uint64_t id,
			      const struct dag_queue_key *queue)
{
	struct dag_withdrawn *w = find(s, id);
	bool found = is_of_queue(w, queue);

	if (w)
		forget(s, w);
	return found;
}

void dag_state_clear_withdrawn(struct dag_state *s)
{
	for (u_int i = 0; i < s->n_withdrawn; i++)
		buf_free(&s->withdrawn[i].ref);
	free(s->withdrawn);
	s->withdrawn = NULL;
	s->n_withdrawn = 0;
}

/* Finds the queues whose names were in no configuration before. */
void dag_state_name_withdrawn(struct dag_state *s)
{
	for (u_int i = 0; i < s->n_withdrawn; i++) {
		struct dag_withdrawn *w = &s->withdrawn[i];

		if (!w->queue_known)
			w->queue_known =
				dag_state_resolve_queue(s, buf_str(&w->ref), &w->queue);
	}
}

/*
 * Writes all of them, oldest first, as jobs without steps; borrows the names of queues.
 * refs: DAG_QUEUE_REF_BYTES for each of them.
 */
void dag_state_list_withdrawn(const struct dag_state *s, unsigned char *refs,
			      struct dag_image_job *out)
{
	for (u_int i = 0; i < s->n_withdrawn; i++, out++) {
		const struct dag_withdrawn *w = &s->withdrawn[i];
		unsigned char *bytes = refs + (size_t)i * DAG_QUEUE_REF_BYTES;
		struct str ref = w->queue_known
					 ? dag_state_refer_queue(s, &w->queue, bytes)
					 : buf_str(&w->ref);

		out->spec.id = w->id;
		XDR_SET(out->spec, queue, ref);
		out->state = DAG_JOB_CANCELLED;
		out->ended_ms = w->at_ms;
	}
}
