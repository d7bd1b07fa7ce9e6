/* Workers that fell silent under tasks: their records in the store. */
#include <stdlib.h>

#include "base/err.h"
#include "core/job_impl.h"
#include "proto/codec.h"

/*
 * Makes the silences of a task; NULL if count is 0. CF_EINVAL if the list is invalid,
 * CF_ENOMEM.
 */
int job_silences_new(struct jobs *j, uint32_t count, const struct command_silence *list,
		     uint32_t n, struct task_silences **out)
{
	struct task_silences *s;
	int err = CF_EINVAL;

	*out = NULL;
	if (!count && !n)
		return 0;
	if (count > UINT8_MAX || n > count || n > CMD_MAX_SILENCES)
		return CF_EINVAL;
	s = calloc(1, sizeof(*s));
	if (!s)
		return CF_ENOMEM;
	s->count = (uint8_t)count;
	for (uint32_t i = 0; i < n; i++) {
		if (!name_valid(XDR_STR(list[i], worker)))
			goto fail;
		err = job_worker_get(j, XDR_STR(list[i], worker), &s->list[i].worker);
		if (err)
			goto fail;
		s->list[i].session = list[i].session;
		s->n++;
		err = CF_EINVAL;
	}
	*out = s;
	return 0;

fail:
	job_silences_free(j, s);
	return err;
}

void job_silences_free(struct jobs *j, struct task_silences *silences)
{
	if (!silences)
		return;
	for (uint8_t i = 0; i < silences->n; i++)
		job_worker_put(j, silences->list[i].worker);
	free(silences);
}

static void encode(const struct task_silences *in, uint32_t task,
		   struct command_silence *list, struct snap_task_silences *out)
{
	out->task = task;
	out->silent = in->count;
	out->list.list_val = list;
	out->list.list_len = in->n;
	for (uint8_t i = 0; i < in->n; i++) {
		XDR_SET(list[i], worker, job_worker_name(in->list[i].worker));
		list[i].session = in->list[i].session;
	}
}

/* Passes the silences of a job's tasks to visit(), if there are any. */
int job_visit_silences(const struct job *job, int (*visit)(void *, struct snap_record *),
		       void *arg)
{
	struct snap_record record = {.kind = SNAP_SILENCES};
	struct snap_silences *out = &record.snap_record_u.silences;
	struct snap_task_silences *tasks;
	struct command_silence *lists;
	u_int n = 0;
	int err = CF_ENOMEM;

	for (uint32_t i = 0; i < job->ntasks; i++)
		n += job->tasks[i].silences != NULL;
	if (!n)
		return 0;
	tasks = calloc(n, sizeof(*tasks));
	lists = calloc((size_t)n * CMD_MAX_SILENCES, sizeof(*lists));
	if (!tasks || !lists)
		goto out;
	n = 0;
	for (uint32_t i = 0; i < job->ntasks; i++) {
		if (!job->tasks[i].silences)
			continue;
		encode(job->tasks[i].silences, i, lists + (size_t)n * CMD_MAX_SILENCES,
		       &tasks[n]);
		n++;
	}
	out->tasks.tasks_val = tasks;
	out->tasks.tasks_len = n;
	XDR_SET(*out, team, job_team_name(job));
	XDR_SET(*out, job, job->name);
	out->service = job->service;
	err = visit(arg, &record);
out:
	free(lists);
	free(tasks);
	return err;
}

/*
 * Sets the silences of the tasks of a job that was loaded before. Returns CF_ECORRUPT if
 * they are invalid, CF_ENOMEM.
 */
int jobs_load_silences(struct jobs *j, const struct snap_silences *in)
{
	struct job *job = job_find(j, XDR_STR(*in, team), in->service, XDR_STR(*in, job));

	/* A finished job may have been removed at once to keep within the limits. */
	if (!job)
		return 0;
	for (u_int i = 0; i < in->tasks.tasks_len; i++) {
		const struct snap_task_silences *t = &in->tasks.tasks_val[i];
		int err;

		if (t->task >= job->ntasks || !t->silent || job->tasks[t->task].silences)
			return CF_ECORRUPT;
		err = job_silences_new(j, t->silent, t->list.list_val, t->list.list_len,
				       &job->tasks[t->task].silences);
		if (err)
			return err == CF_EINVAL ? CF_ECORRUPT : err;
	}
	return 0;
}
