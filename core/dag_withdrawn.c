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
	struct buf queue;
};

static struct dag_withdrawn *find(const struct dag_state *s, uint64_t id)
{
	for (u_int i = 0; i < s->n_withdrawn; i++)
		if (s->withdrawn[i].id == id)
			return &s->withdrawn[i];
	return NULL;
}

static bool is_of_queue(const struct dag_withdrawn *w, struct str queue)
{
	return w && str_eq(buf_str(&w->queue), queue);
}

static void forget(struct dag_state *s, struct dag_withdrawn *w)
{
	size_t after = (size_t)(&s->withdrawn[--s->n_withdrawn] - w);

	buf_free(&w->queue);
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
	err = buf_set(&w->queue, queue);
	if (!err)
		s->n_withdrawn++;
	return err;
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
	for (u_int i = 0; i < s->n_withdrawn; i++)
		buf_free(&s->withdrawn[i].queue);
	free(s->withdrawn);
	s->withdrawn = NULL;
	s->n_withdrawn = 0;
}

/* Writes all of them, oldest first, as jobs without steps; borrows the names of queues.
 */
void dag_state_list_withdrawn(const struct dag_state *s, struct dag_image_job *out)
{
	for (u_int i = 0; i < s->n_withdrawn; i++, out++) {
		out->spec.id = s->withdrawn[i].id;
		XDR_SET(out->spec, queue, buf_str(&s->withdrawn[i].queue));
		out->state = DAG_JOB_CANCELLED;
		out->ended_ms = s->withdrawn[i].at_ms;
	}
}
