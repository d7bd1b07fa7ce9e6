#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/err.h"
#include "carawayfrontd/ctl_reply.h"
#include "carawayfrontd/state_leading.h"
#include "carawayfrontd/worker_report.h"
#include "io/clock.h"
#include "proto/codec.h"

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
		err = worker_report_read(j, worker, &report);
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
	worker_report_free(&report);
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
