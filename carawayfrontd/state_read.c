#include <stdlib.h>

#include <jansson.h>

#include "base/err.h"
#include "carawayfrontd/ctl_reply.h"
#include "carawayfrontd/state_leading.h"
#include "io/clock.h"
#include "proto/codec.h"

#define MAX_HISTORY 256U
#define MAX_JOBS 1000U

static json_t *task_json(const struct job *job, uint32_t i)
{
	const struct task *t = &job->tasks[i];

	return json_pack("{s:I,s:s,s:I,s:o,s:i,s:I,s:I,s:I}", "task", (json_int_t)i,
			 "state", job_task_state_name((enum task_state)t->state),
			 "attempt", (json_int_t)t->attempt, "worker",
			 ctl_json_str(job_worker_name(t->worker)), "exit",
			 (int)t->exit_code, "failures", (json_int_t)t->failures,
			 "evictions", (json_int_t)t->evictions, "losses",
			 (json_int_t)t->losses);
}

static json_t *job_json(const struct job *job, bool with_tasks)
{
	json_t *j = json_pack(
		"{s:o,s:o,s:s,s:I,s:I,s:I}", "team", ctl_json_str(job_team_name(job)),
		"name", ctl_json_str(job->name), "state",
		job_state_name((enum job_state)job->state), "revision",
		(json_int_t)job->revision, "tasks_total", (json_int_t)job->ntasks,
		"submitted_us", (json_int_t)job->submitted_us);
	json_t *tasks;

	if (job->finished_us)
		json_object_set_new(j, "finished_us",
				    json_integer((json_int_t)job->finished_us));
	if (job->reason)
		json_object_set_new(j, "reason", json_string(job->reason));
	if (!with_tasks)
		return j;
	tasks = json_array();
	for (uint32_t i = 0; i < job->ntasks; i++)
		json_array_append_new(tasks, task_json(job, i));
	json_object_set_new(j, "tasks", tasks);
	return j;
}

static int read_job(struct state *s, struct str team, struct str name, json_t **out)
{
	const struct job *job = jobs_get(store_jobs(s->store), team, false, name);

	if (!job)
		return CF_ENOENT;
	*out = job_json(job, true);
	return 0;
}

static int read_jobs(struct state *s, struct str team, json_t **out)
{
	const struct jobs *jobs = store_jobs(s->store);
	json_t *list = json_array();

	for (const struct job *j = jobs_next_unfinished(jobs, NULL);
	     j && json_array_size(list) < MAX_JOBS; j = jobs_next_unfinished(jobs, j))
		if (!j->service && str_eq(job_team_name(j), team))
			json_array_append_new(list, job_json(j, false));
	*out = json_pack("{s:o}", "jobs", list);
	return 0;
}

/* Versions of a document, the newest first. */
static int read_history(struct state *s, struct str path, json_t **out)
{
	const struct conf *conf = store_conf(s->store);
	const struct conf_doc *doc = conf_view_get(conf_current_docs(conf), path);
	json_t *list = json_array();

	if (!doc)
		doc = conf_version_before(conf, path, UINT64_MAX);
	while (doc && json_array_size(list) < MAX_HISTORY) {
		json_array_append_new(list,
				      json_pack("{s:I,s:b,s:o}", "revision",
						(json_int_t)doc->revision, "deleted",
						(int)doc->deleted, "text",
						ctl_json_str(conf_doc_text(doc))));
		doc = conf_version_before(conf, path, doc->revision);
	}
	*out = json_pack("{s:o,s:o}", "path", ctl_json_str(path), "versions", list);
	return 0;
}

static int read_members(struct state *s, json_t **out)
{
	const struct replica_members *voters = replica_members(s->replica);
	const struct members *m = store_members(s->store);
	json_t *state = json_array();
	json_t *entries = json_array();

	for (size_t i = 0; i < voters->n; i++) {
		struct str name = {NULL, 0};

		if (voters->list[i].id == s->id)
			name = s->settings->name;
		for (size_t k = 0; k < s->n_peers; k++)
			if (s->peers[k].id == voters->list[i].id)
				name = s->peers[k].name;
		json_array_append_new(state,
				      json_pack("{s:o,s:b}", "name", ctl_json_str(name),
						"voter", (int)voters->list[i].voter));
	}
	for (size_t i = 0; i < members_count(m); i++) {
		const struct member *e = members_at(m, i);

		if (e->entry)
			json_array_append_new(entries,
					      json_pack("{s:o,s:o,s:I,s:b}", "name",
							ctl_json_str(e->name), "address",
							ctl_json_str(e->address),
							"incarnation",
							(json_int_t)e->incarnation,
							"gone", (int)e->gone));
	}
	*out = json_pack("{s:o,s:I,s:o,s:o}", "leader",
			 ctl_json_str(state_leader_name(s)), "epoch",
			 (json_int_t)replica_epoch(s->replica), "state", state, "entries",
			 entries);
	return 0;
}

static int read_workers(struct state *s, json_t **out)
{
	struct sched_stats st;

	sched_get_stats(s->leading->sched, &st);
	*out = json_pack("{s:I,s:I,s:I,s:I,s:I,s:I}", "workers", (json_int_t)st.workers,
			 "quarantined", (json_int_t)st.workers_quarantined,
			 "tasks_waiting", (json_int_t)st.tasks_waiting, "tasks_bound",
			 (json_int_t)st.tasks_bound, "evictions",
			 (json_int_t)st.evictions, "lost", (json_int_t)st.lost);
	return 0;
}

static int read_kind(struct state *s, const struct peer_read_args *args, json_t **out)
{
	switch (args->kind) {
	case PEER_READ_JOB:
		return read_job(s, XDR_STR(*args, team), XDR_STR(*args, name), out);
	case PEER_READ_JOBS:
		return read_jobs(s, XDR_STR(*args, team), out);
	case PEER_READ_HISTORY:
		return read_history(s, XDR_STR(*args, name), out);
	case PEER_READ_MEMBERS:
		return read_members(s, out);
	case PEER_READ_WORKERS:
		return read_workers(s, out);
	}
	return CF_EINVAL;
}

/*
 * Serves READ from the leader's state. The lease is needed, because without it a
 * newer leader may already have changed what is read.
 */
void state_read(struct state *s, struct rpc_call *call)
{
	struct peer_read_args args = {0};
	struct peer_read_res res = {0};
	struct buf bytes = {0};
	json_t *j = NULL;
	char *text = NULL;
	int err = codec_decode((xdrproc_t)xdr_peer_read_args, &args, call->args);

	if (!err && (!s->leading || !replica_lease_valid(s->replica, clock_us())))
		err = CF_ENOTLEADER;
	if (!err)
		err = read_kind(s, &args, &j);
	if (!err) {
		text = json_dumps(j, JSON_COMPACT);
		err = text ? 0 : CF_ENOMEM;
	}
	res.err = err;
	XDR_SET(res, body, str_from(text));
	if (err == CF_ENOTLEADER)
		XDR_SET(res, leader, state_leader_name(s));
	if (codec_encode((xdrproc_t)xdr_peer_read_res, &res, &bytes))
		rpc_call_reply(call, CF_EIO, (struct str){NULL, 0});
	else
		rpc_call_reply(call, 0, buf_str(&bytes));
	buf_free(&bytes);
	free(text);
	json_decref(j);
	codec_free((xdrproc_t)xdr_peer_read_args, &args);
}
