/* The runs that count towards giving a task up, as the log names them. */
#include "core/dag_counted.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"

#define WORKER_MAX_BYTES 64U /* of an id; the rest is left out */
/* Room for the words after the last run that is named. */
#define REST_MAX_BYTES 64U

struct dag_counted {
	struct dag_counted *next; /* newer */
	const char *known;
	uint32_t run;
	bool crashed;
	size_t worker_n;
	char worker[];
};

/* A text that is built from the runs of one task or one gang. */
struct description {
	bool crashed; /* tells crashes, else failures */
	bool gang;
	uint32_t total;	 /* of the runs that counted */
	uint32_t listed; /* part of them that is known here */
	uint32_t named;	 /* part of these that had room in the text */
	struct buf *text;
};

static void remove_first(struct dag_counted **at)
{
	struct dag_counted *c = *at;

	*at = c->next;
	free(c);
}

void dag_counted_free(struct dag_counted **list)
{
	while (*list)
		remove_first(list);
}

/*
 * Adds the end of a run. The oldest one makes room when there are DAG_COUNTED_MAX.
 * Without memory for it, the run is one that is not known here.
 */
void dag_counted_add(struct dag_counted **list, const struct dag_counted_end *e)
{
	size_t worker_n = e->worker.n < WORKER_MAX_BYTES ? e->worker.n : WORKER_MAX_BYTES;
	struct dag_counted *c = malloc(sizeof(*c) + worker_n);
	struct dag_counted **end = list;
	size_t n = 0;

	if (!c)
		return;
	for (; *end; n++)
		end = &(*end)->next;
	c->next = NULL;
	c->known = e->known;
	c->run = e->run;
	c->crashed = e->crashed;
	c->worker_n = worker_n;
	if (worker_n)
		memcpy(c->worker, e->worker.p, worker_n);
	*end = c;
	if (n == DAG_COUNTED_MAX)
		remove_first(list);
}

/* The leader knows more of the crash under a run than the record of its end tells. */
void dag_counted_explain(struct dag_counted *list, uint32_t run, const char *known)
{
	for (; list; list = list->next)
		if (list->crashed && list->run == run)
			list->known = known;
}

/* The count of crashes under the task begins again. */
void dag_counted_forget_crashes(struct dag_counted **list)
{
	while (*list)
		if ((*list)->crashed)
			remove_first(list);
		else
			list = &(*list)->next;
}

/* One run: "run 2 on i-abc: listed as failed". Members of a gang have their index. */
static int describe_run(const struct description *d, const struct dag_counted *c,
			uint32_t index, struct buf *out)
{
	struct str worker = c->worker_n ? (struct str){c->worker, c->worker_n}
					: STR("a worker that is not known");
	int err = 0;

	if (d->listed)
		err = buf_adds(out, "; ");
	if (!err && d->gang)
		err = buf_addf(out, "member %u ", index);
	if (!err)
		err = buf_addf(out, "run %u on %.*s: %s", c->run, STR_ARG(worker),
			       c->known);
	return err;
}

/* Adds the runs of a task as far as there is room for them. */
static int describe_task(struct description *d, const struct dag_task *t, uint32_t index)
{
	const size_t max = DAG_COUNTED_TEXT_MAX_BYTES - REST_MAX_BYTES;
	struct buf run = {0};
	int err = 0;

	d->total += d->crashed ? dag_task_losses(t) : t->failures;
	for (const struct dag_counted *c = t->counted; c && !err; c = c->next) {
		if (c->crashed != d->crashed)
			continue;
		run.n = 0;
		err = describe_run(d, c, index, &run);
		d->listed++;
		if (err || d->text->n + run.n > max)
			continue;
		d->named++;
		err = buf_add(d->text, run.p, run.n);
	}
	buf_free(&run);
	return err;
}

/*
 * Says why a task is given up with the end of its newest run: appends the reason and all
 * runs that it was concluded from, in DAG_COUNTED_TEXT_MAX_BYTES if text was empty. Of a
 * gang the failures of all members count. total: how many runs counted. CF_ENOMEM.
 */
int dag_counted_describe(const struct dag_job_rec *j, const struct dag_end *e,
			 struct buf *text, uint32_t *total)
{
	const struct dag_step *st = &j->spec.steps.steps_val[e->task.step];
	struct description d = {.text = text};
	uint32_t first = e->task.index;
	uint32_t n = 1;
	int err;

	d.crashed = e->how != DAG_END_FAILED;
	d.gang = st->gang && !d.crashed;
	if (d.gang) {
		first = 0;
		n = st->count;
	}
	err = buf_adds(text, d.crashed ? "workers crashed under it: "
				       : "failed as often as it may: ");
	for (uint32_t i = first; i < first + n && !err; i++)
		err = describe_task(
			&d, dag_job_find_task(j, e->task.occurrence, e->task.step, i), i);
	if (!err && d.listed > d.named)
		err = buf_addf(text, "; %u more", d.listed - d.named);
	if (!err && d.total > d.listed)
		err = buf_addf(text, "%s%u earlier ones are not known here",
			       d.listed ? "; " : "", d.total - d.listed);
	*total = d.total;
	return err;
}
