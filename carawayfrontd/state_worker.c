#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/err.h"
#include "carawayfrontd/ctl_reply.h"
#include "carawayfrontd/state_leading.h"
#include "io/clock.h"
#include "proto/codec.h"

#define MAX_TASKS 4096U /* in one poll */

static void reply(struct rpc_call *call, int err, struct str leader, struct str body)
{
	struct peer_worker_res res = {.err = err};
	struct buf bytes = {0};

	XDR_SET(res, leader, leader);
	XDR_SET(res, body, body);
	if (codec_encode((xdrproc_t)xdr_peer_worker_res, &res, &bytes))
		rpc_call_reply(call, CF_EIO, (struct str){NULL, 0});
	else
		rpc_call_reply(call, 0, buf_str(&bytes));
	buf_free(&bytes);
}

static struct str get_str(const json_t *j, const char *key)
{
	const json_t *v = json_object_get(j, key);

	return (struct str){json_string_value(v), json_string_length(v)};
}

static uint64_t get_u64(const json_t *j, const char *key)
{
	json_int_t v = json_integer_value(json_object_get(j, key));

	return v > 0 ? (uint64_t)v : 0;
}

static int read_status(struct str s, enum sched_status *out)
{
	static const char *const names[] = {"running", "done", "failed", "stopped",
					    "checkpointed"};

	for (int i = 0; i < 5; i++) {
		if (str_eq(s, str_from(names[i]))) {
			*out = (enum sched_status)i;
			return 0;
		}
	}
	return CF_EINVAL;
}

/* Splits TEAM/JOB/NUMBER. */
static int read_task_name(struct str name, struct sched_task_report *t)
{
	uint64_t number;

	if (!str_split(name, '/', &t->team, &name) ||
	    !str_split(name, '/', &t->job, &name) || str_to_u64(name, &number) ||
	    number > UINT32_MAX)
		return CF_EINVAL;
	t->task = (uint32_t)number;
	return 0;
}

static int read_task(const json_t *j, struct sched_task_report *t)
{
	int err = read_task_name(get_str(j, "task"), t);

	if (!err)
		err = read_status(get_str(j, "state"), &t->status);
	t->attempt = (uint32_t)get_u64(j, "attempt");
	t->exit_code = (int32_t)json_integer_value(json_object_get(j, "exit"));
	t->checkpoint = get_u64(j, "checkpoint");
	t->cpu_milli = (uint32_t)get_u64(j, "cpu_milli");
	t->memory_mb = (uint32_t)get_u64(j, "memory_mb");
	t->latency_us = (int64_t)get_u64(j, "latency_us");
	return err;
}

/* Fills a report whose tasks the caller frees; the strings point into the JSON. */
static int read_report(const json_t *j, struct str worker, struct sched_worker_report *r)
{
	const json_t *tasks = json_object_get(j, "tasks");
	size_t n = json_array_size(tasks);
	struct sched_task_report *list;
	int err = 0;

	if (n > MAX_TASKS)
		return CF_ETOOBIG;
	list = calloc(n ? n : 1, sizeof(*list));
	if (!list)
		return CF_ENOMEM;
	*r = (struct sched_worker_report){
		.worker = worker,
		.zone = get_str(j, "zone"),
		.rack = get_str(j, "rack"),
		.session = get_u64(j, "session"),
		.seq = get_u64(j, "seq"),
		.epoch = get_u64(j, "epoch"),
		.capacity = {.cpu_milli = (uint32_t)get_u64(j, "cpus") * 1000,
			     .memory_mb = (uint32_t)get_u64(j, "memory_mb"),
			     .accelerators = (uint32_t)get_u64(j, "accelerators")},
		.lag_us = (int64_t)get_u64(j, "lag_ms") * 1000,
		.tasks = list,
		.ntasks = n,
	};
	for (size_t i = 0; i < n && !err; i++)
		err = read_task(json_array_get(tasks, i), &list[i]);
	if (!err && (r->zone.n == 0 || r->session == 0 || r->seq == 0))
		err = CF_EINVAL;
	return err;
}

static const char *op_name(enum sched_op op)
{
	static const char *const names[] = {"start", "stop", "checkpoint", "throttle",
					    "forget"};

	return names[op];
}

static json_t *order_json(const struct state_leading *l, const struct sched_command *o)
{
	json_t *j = json_pack("{s:s,s:I,s:I,s:I}", "op", op_name(o->op), "attempt",
			      (json_int_t)o->attempt, "epoch", (json_int_t)o->epoch,
			      "expires_ms", (json_int_t)(o->expires_us / 1000));
	struct buf name = {0};

	buf_addf(&name, "%.*s/%.*s/%u", STR_ARG(o->team), STR_ARG(o->job), o->task);
	json_object_set_new(j, "task", ctl_json_str(buf_str(&name)));
	buf_free(&name);
	if (o->op == SCHED_THROTTLE)
		json_object_set_new(j, "percent", json_integer(o->percent));
	if (o->op == SCHED_START) {
		struct str job_name;
		bool service = leading_is_service(o->job, &job_name);
		const struct job *job =
			jobs_get(store_jobs(l->state->store), o->team, service, job_name);

		json_object_set_new(
			j, "command",
			ctl_json_str(job ? job->spec.command : (struct str){NULL, 0}));
		json_object_set_new(j, "cpus", json_real(o->size.cpu_milli / 1000.0));
		json_object_set_new(j, "memory_mb", json_integer(o->size.memory_mb));
		json_object_set_new(j, "accelerators",
				    json_integer(o->size.accelerators));
		json_object_set_new(j, "checkpoint",
				    json_integer((json_int_t)o->checkpoint));
	}
	return j;
}

static json_t *reply_json(const struct state_leading *l, const struct sched_reply *r)
{
	json_t *orders = json_array();

	for (size_t i = 0; i < r->ncommands; i++)
		json_array_append_new(orders, order_json(l, &r->commands[i]));
	return json_pack("{s:I,s:I,s:I,s:o}", "lease_ms",
			 (json_int_t)(r->lease_us / 1000), "poll_ms",
			 (json_int_t)(r->poll_us / 1000), "epoch", (json_int_t)r->epoch,
			 "orders", orders);
}

/*
 * Overrides what a renewal carries. Its measurements were taken before, so they count
 * as no measurement.
 */
static void apply_renewal(struct sched_worker_report *r,
			  const struct peer_worker_args *args)
{
	struct sched_task_report *tasks = (struct sched_task_report *)(uintptr_t)r->tasks;

	r->seq = args->seq;
	r->epoch = args->epoch;
	for (size_t i = 0; i < r->ntasks; i++)
		tasks[i].latency_us = 0;
}

static int poll(struct state *s, const struct peer_worker_args *args, struct str body,
		struct buf *out)
{
	struct str worker = XDR_STR(*args, name);
	json_t *j = json_loadb(body.p ? body.p : "", body.n, 0, NULL);
	struct sched_worker_report report = {0};
	struct sched_reply r;
	json_t *answer;
	char *text = NULL;
	int err = CF_EMALFORMED;

	if (j)
		err = read_report(j, worker, &report);
	if (!err && !args->full)
		apply_renewal(&report, args);
	if (!err)
		err = sched_poll(s->leading->sched, &report, clock_us(), &r);
	if (!err) {
		answer = reply_json(s->leading, &r);
		text = json_dumps(answer, JSON_COMPACT);
		json_decref(answer);
		err = text ? buf_adds(out, text) : CF_ENOMEM;
	}
	free(text);
	free((struct sched_task_report *)(uintptr_t)report.tasks);
	json_decref(j);
	return err;
}

/* The complete poll, from the call or from the last complete one. */
static int poll_body(struct state *s, const struct peer_worker_args *args,
		     struct str *body)
{
	struct poll_store *polls = s->leading->polls;

	*body = XDR_STR(*args, body);
	if (!args->full)
		return poll_store_get(polls, XDR_STR(*args, name), args->hash, body);
	/* A poll that is not kept only makes the next renewal fail. */
	poll_store_put(polls, XDR_STR(*args, name), args->hash, *body);
	return 0;
}

/* Serves WORKER: takes a report, answers with the lease and orders. */
void state_worker(struct state *s, struct rpc_call *call)
{
	struct peer_worker_args args = {0};
	struct str none = {NULL, 0};
	struct str body = {NULL, 0};
	struct buf answer = {0};
	int err = codec_decode((xdrproc_t)xdr_peer_worker_args, &args, call->args);

	/* Without the lease another process may lead and give other orders. */
	if (!err && (!s->leading || !replica_lease_valid(s->replica, clock_us())))
		err = CF_ENOTLEADER;
	if (!err)
		err = poll_body(s, &args, &body);
	if (!err)
		err = poll(s, &args, body, &answer);
	reply(call, err, err == CF_ENOTLEADER ? state_leader_name(s) : none,
	      buf_str(&answer));
	buf_free(&answer);
	codec_free((xdrproc_t)xdr_peer_worker_args, &args);
}
