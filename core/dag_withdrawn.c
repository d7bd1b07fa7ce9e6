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
	/*
	 * Recorded while organisations were configured: it concerns jobs of this
	 * organisation (empty: none) and those without an owner.
	 */
	bool has_org;
	struct buf org;
};

/* org NULL: recorded while no organisation was configured. */
static bool is_by(const struct dag_withdrawn *w, const struct str *org)
{
	return w->has_org == (org != NULL) && (!org || str_eq(buf_str(&w->org), *org));
}

static struct dag_withdrawn *find(const struct dag_state *s, uint64_t id,
				  const struct str *org)
{
	for (u_int i = 0; i < s->n_withdrawn; i++)
		if (s->withdrawn[i].id == id && is_by(&s->withdrawn[i], org))
			return &s->withdrawn[i];
	return NULL;
}

/* Whether it concerns a job of a queue and an organisation, NULL: none. */
static bool concerns(const struct dag_withdrawn *w, const struct dag_queue_key *queue,
		     const struct dag_org *owner)
{
	if (!dag_queue_key_equal(&w->queue, queue))
		return false;
	return !w->has_org || !owner || str_eq(buf_str(&w->org), dag_org_name(owner));
}

static void forget(struct dag_state *s, struct dag_withdrawn *w)
{
	size_t after = (size_t)(&s->withdrawn[--s->n_withdrawn] - w);

	buf_free(&w->ref);
	buf_free(&w->org);
	memmove(w, w + 1, after * sizeof(*w));
}

/* Makes room for one more, and drops those that are too old. */
static void forget_old(struct dag_state *s, int64_t now_ms)
{
	while (s->n_withdrawn && (s->n_withdrawn == WITHDRAWN_MAX ||
				  s->withdrawn[0].at_ms < now_ms - WITHDRAWN_AGE_MS))
		forget(s, &s->withdrawn[0]);
}

/* Inserts one at a position. */
static int insert(struct dag_state *s, u_int position, uint64_t id, struct str queue,
		  int64_t at_ms, const struct str *org)
{
	struct dag_withdrawn *w =
		realloc(s->withdrawn, ((size_t)s->n_withdrawn + 1) * sizeof(*w));
	struct dag_withdrawn added = {.id = id, .at_ms = at_ms, .has_org = org != NULL};
	int err;

	if (!w)
		return CF_ENOMEM;
	s->withdrawn = w;
	w += position;
	added.queue_known = dag_state_resolve_queue(s, queue, &added.queue);
	err = buf_set(&added.ref, queue);
	if (!err && org && org->n)
		err = buf_set(&added.org, *org);
	if (err) {
		buf_free(&added.ref);
		buf_free(&added.org);
		return err;
	}
	memmove(w + 1, w, (s->n_withdrawn - position) * sizeof(*w));
	*w = added;
	s->n_withdrawn++;
	return 0;
}

/*
 * Remembers that a job of a queue is not wanted by its sender's organisation (empty:
 * none; NULL: no organisation is configured). Forgets those that are too old, and the
 * oldest when there are too many. CF_ENOMEM.
 */
int dag_state_withdraw(struct dag_state *s, uint64_t id, struct str queue, int64_t at_ms,
		       const struct str *org)
{
	struct dag_withdrawn *w = find(s, id, org);

	if (w)
		forget(s, w);
	forget_old(s, at_ms);
	return insert(s, s->n_withdrawn, id, queue, at_ms, org);
}

/* Whether the cancel of an unknown job by a caller is recorded already. */
bool dag_state_is_withdrawn(const struct dag_state *s, uint64_t id,
			    const struct dag_queue_key *queue,
			    const struct dag_org *caller)
{
	struct str org = caller ? dag_org_name(caller) : STR("");
	const struct dag_withdrawn *w = find(s, id, dag_state_has_orgs(s) ? &org : NULL);

	return w && dag_queue_key_equal(&w->queue, queue);
}

/*
 * Forgets the withdrawals of a job that is known now. Returns whether there was one that
 * concerns it.
 */
bool dag_state_take_withdrawn(struct dag_state *s, const struct dag_job_rec *j)
{
	bool found = false;
	u_int i = 0;

	while (i < s->n_withdrawn) {
		struct dag_withdrawn *w = &s->withdrawn[i];

		if (w->id != j->id) {
			i++;
			continue;
		}
		found = found || concerns(w, &j->queue, j->org);
		forget(s, w);
	}
	return found;
}

void dag_state_clear_withdrawn(struct dag_state *s)
{
	for (u_int i = 0; i < s->n_withdrawn; i++) {
		buf_free(&s->withdrawn[i].ref);
		buf_free(&s->withdrawn[i].org);
	}
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

/* A reference to the queue of one; bytes: DAG_QUEUE_REF_BYTES for it. */
static struct str refer_queue(const struct dag_state *s, const struct dag_withdrawn *w,
			      unsigned char *bytes)
{
	return w->queue_known ? dag_state_refer_queue(s, &w->queue, bytes)
			      : buf_str(&w->ref);
}

/*
 * Writes those that were recorded without organisations, oldest first, as jobs without
 * steps; borrows the names of queues. refs: DAG_QUEUE_REF_BYTES for each withdrawal.
 * Returns how many were written.
 */
u_int dag_state_list_withdrawn(const struct dag_state *s, unsigned char *refs,
			       struct dag_image_job *out)
{
	u_int n = 0;

	for (u_int i = 0; i < s->n_withdrawn; i++) {
		const struct dag_withdrawn *w = &s->withdrawn[i];
		unsigned char *bytes = refs + (size_t)i * DAG_QUEUE_REF_BYTES;

		if (w->has_org)
			continue;
		out[n].spec.id = w->id;
		XDR_SET(out[n].spec, queue, refer_queue(s, w, bytes));
		out[n].state = DAG_JOB_CANCELLED;
		out[n++].ended_ms = w->at_ms;
	}
	return n;
}

/* Writes the others, as the one above. out NULL: only counts them. */
u_int dag_state_list_org_withdrawn(const struct dag_state *s, unsigned char *refs,
				   struct dag_image_withdrawn *out)
{
	u_int n = 0;

	for (u_int i = 0; i < s->n_withdrawn; i++) {
		const struct dag_withdrawn *w = &s->withdrawn[i];
		unsigned char *bytes = refs + (size_t)i * DAG_QUEUE_REF_BYTES;

		if (!w->has_org)
			continue;
		if (out) {
			out[n].position = i;
			out[n].at_ms = w->at_ms;
			out[n].by.withdrawal.job = w->id;
			XDR_SET(out[n].by.withdrawal, queue, refer_queue(s, w, bytes));
			XDR_SET(out[n].by.org, text, buf_str(&w->org));
		}
		n++;
	}
	return n;
}

/* Puts one of a snapshot in its place; called in the order of the snapshot. */
int dag_state_restore_org_withdrawn(struct dag_state *s,
				    const struct dag_image_withdrawn *iw)
{
	struct str org = XDR_STR(iw->by.org, text);
	uint64_t id = iw->by.withdrawal.job;

	if (iw->position > s->n_withdrawn || s->n_withdrawn == WITHDRAWN_MAX ||
	    !dag_time_valid(iw->at_ms) || find(s, id, &org))
		return CF_EMALFORMED;
	return insert(s, iw->position, id, XDR_STR(iw->by.withdrawal, queue), iw->at_ms,
		      &org);
}
