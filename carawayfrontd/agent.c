#include "carawayfrontd/agent.h"

#include <stddef.h>
#include <stdlib.h>
#include <sys/queue.h>
#include <sys/random.h>

#include <uthash.h>

#include "base/err.h"
#include "carawayfrontd/node_id.h"
#include "carawayfrontd/relay.h"
#include "io/clock.h"
#include "io/log.h"
#include "io/rpc_client.h"
#include "io/rpc_wire.h"
#include "platform/executors.h"
#include "proto/codec.h"

/*
 * Executors admit few connections, and which gateway calls one changes. A gateway has
 * about 15 executors; those of the others must not stay connected to it.
 */
#define MAX_IDLE 128U
#define PROBE_PERIOD_S 0.4 /* a connection is silent after three of them */
#define RESEND_PERIOD_S 0.05
/*
 * Answers are kept until the leader has certainly read them: so many bytes, which a slow
 * link carries in a second, and for as long as the leader waits for a poll.
 */
#define MAX_UNCONFIRMED (256U << 10)
#define ANSWER_VALID_S 3.5
#define LOG_PERIOD_S 1.0 /* between lines on polls without an answer */
/* Bytes of one answer, and of a batch before it is sent: two of these fit a message. */
#define MAX_ANSWER (RPC_MAX_RECORD / 2 - 4096)

/*
 * A call under way. The transport is given its own number in place of the worker's, so
 * that an answer belongs to exactly one call: a worker may owe answers to several polls.
 */
struct agent_call {
	UT_hash_handle hh;
	uint32_t number;
	uint64_t id; /* the leader's */
};

/* A batch of answers that the leader may not have read. */
struct agent_batch {
	STAILQ_ENTRY(agent_batch) entry;
	uint32_t number; /* of its newest post */
	bool posted;	 /* on the present connection */
	double made;
	struct buf bytes;
};

STAILQ_HEAD(agent_batches, agent_batch);

struct agent {
	struct rpc_server_host rpc_host; /* first member */
	struct rpc_client_host client_host;
	struct dag_transport_user user;
	struct agent_options opt;
	struct rpc_server *rpc;
	struct dag_transport *transport;
	uint64_t life;
	uint64_t leader; /* whose calls are served */
	struct rpc_client *client;
	struct agent_call *calls; /* by number */
	uint32_t next_number;
	struct buf batch; /* encoded answers of this round */
	uint32_t n_batch;
	struct agent_batches unconfirmed; /* oldest first; those not posted at the end */
	size_t unconfirmed_bytes;
	struct ev_timer resend; /* while some are not posted */
	unsigned int polls;	/* that ended, and those of them without a list, */
	unsigned int unanswered;
	double polls_logged; /* since then */
	struct ev_prepare prepare;
};

/* The leader's id of a call that ended, 0: it is not known. */
static uint64_t take_call(struct agent *a, uint32_t number)
{
	struct agent_call *c;
	uint64_t id;

	HASH_FIND(hh, a->calls, &number, sizeof(number), c);
	if (!c)
		return 0;
	id = c->id;
	HASH_DEL(a->calls, c);
	free(c);
	return id;
}

static void free_oldest(struct agent *a)
{
	struct agent_batch *b = STAILQ_FIRST(&a->unconfirmed);

	STAILQ_REMOVE_HEAD(&a->unconfirmed, entry);
	a->unconfirmed_bytes -= b->bytes.n;
	buf_free(&b->bytes);
	free(b);
}

static void free_unconfirmed(struct agent *a)
{
	while (!STAILQ_EMPTY(&a->unconfirmed))
		free_oldest(a);
}

/* Frees batches that the leader has read or waits for no more, and the oldest of many. */
static void drop_old(struct agent *a)
{
	double now = clock_s();
	struct agent_batch *b;

	while ((b = STAILQ_FIRST(&a->unconfirmed)) &&
	       ((b->posted && rpc_client_has_confirmed(a->client, b->number)) ||
		now - b->made > ANSWER_VALID_S ||
		(a->unconfirmed_bytes > MAX_UNCONFIRMED && STAILQ_NEXT(b, entry))))
		free_oldest(a);
}

/* Posts what is not posted yet, in order; the rest soon, when the connection waits. */
static void post_batches(struct agent *a)
{
	struct agent_batch *b;

	drop_old(a);
	STAILQ_FOREACH (b, &a->unconfirmed, entry) {
		if (b->posted)
			continue;
		if (rpc_client_post(a->client, RELAY_PROC_ANSWERS, buf_str(&b->bytes))) {
			ev_timer_again(a->opt.loop, &a->resend);
			return;
		}
		b->number = rpc_client_sent(a->client);
		b->posted = true;
	}
	ev_timer_stop(a->opt.loop, &a->resend);
}

static void on_resend(struct ev_loop *loop, struct ev_timer *t, int events)
{
	struct agent *a = t->data;

	if (a->client)
		post_batches(a);
	else
		ev_timer_stop(loop, t);
}

/* The connection has ended: what the leader may not have read is sent again. */
static void on_lost(struct rpc_client_host *h)
{
	struct agent *a =
		(struct agent *)(void *)((char *)h - offsetof(struct agent, client_host));
	struct agent_batch *b;

	drop_old(a);
	STAILQ_FOREACH (b, &a->unconfirmed, entry)
		b->posted = false;
	if (!STAILQ_EMPTY(&a->unconfirmed))
		ev_timer_again(a->opt.loop, &a->resend);
}

static const struct rpc_client_ops client_ops = {.lost = on_lost};

/* Sends the answers of this round. Those that are lost are sent again. */
static void send_batch(struct agent *a)
{
	struct agent_batch *b;
	unsigned char count[4];

	if (!a->n_batch)
		return;
	b = a->client ? calloc(1, sizeof(*b)) : NULL;
	codec_put_u32(count, a->n_batch);
	if (b && !buf_add(&b->bytes, count, sizeof(count)) &&
	    !buf_add(&b->bytes, a->batch.p, a->batch.n)) {
		STAILQ_INSERT_TAIL(&a->unconfirmed, b, entry);
		a->unconfirmed_bytes += b->bytes.n;
		b->made = clock_s();
		post_batches(a);
	} else if (b) {
		buf_free(&b->bytes);
		free(b);
	}
	a->batch.n = 0;
	a->n_batch = 0;
}

/* Appends an answer to the batch. CF_ETOOBIG, CF_EINVAL, CF_ENOMEM: it is as before. */
static int encode_answer(struct agent *a, const struct dag_call_answer *answer)
{
	size_t before = a->batch.n;
	int err = codec_encode((xdrproc_t)xdr_dag_call_answer, answer, &a->batch);

	if (!err && a->batch.n - before > MAX_ANSWER)
		err = CF_ETOOBIG;
	if (err)
		a->batch.n = before;
	return err;
}

/*
 * Lists that cannot be sent count as no usable reply. Without any answer the leader would
 * avoid this gateway, which answers for other workers as well.
 */
static void add_answer(struct agent *a, const struct dag_call_answer *answer)
{
	struct dag_call_answer bare = {.id = answer->id, .answer = answer->answer};

	if (a->batch.n > MAX_ANSWER)
		send_batch(a);
	if (!encode_answer(a, answer) || !encode_answer(a, &bare))
		a->n_batch++;
}

static void answer_command(struct agent *a, uint32_t number, enum dag_call_result result)
{
	struct dag_call_answer answer = {.id = take_call(a, number), .answer = result};

	if (answer.id)
		add_answer(a, &answer);
}

static struct agent *of_user(struct dag_transport_user *u)
{
	return (struct agent *)(void *)((char *)u - offsetof(struct agent, user));
}

static void user_start_replied(struct dag_transport_user *u, uint32_t worker,
			       const struct dag_task_ref *t, uint32_t run,
			       enum dag_call_result result)
{
	answer_command(of_user(u), worker, result);
}

static void user_stop_replied(struct dag_transport_user *u, uint32_t worker,
			      const struct dag_task_ref *t, uint32_t run,
			      enum dag_call_result result)
{
	answer_command(of_user(u), worker, result);
}

static int fill_lists(const struct dag_poll_reply *poll, struct dag_call_answer *answer)
{
	answer->running.running_val =
		calloc(poll->n_running + 1, sizeof(struct dag_call_run));
	answer->ended.ended_val = calloc(poll->n_ended + 1, sizeof(struct dag_call_end));
	if (!answer->running.running_val || !answer->ended.ended_val)
		return CF_ENOMEM;
	for (size_t i = 0; i < poll->n_running; i++) {
		const struct dag_listed_run *from = &poll->running[i];
		struct dag_call_run *to = &answer->running.running_val[i];

		to->task = from->task;
		to->run = from->run;
		to->percent = from->percent;
		to->level = from->level;
		XDR_SET(*to, checkpoint, from->checkpoint);
	}
	for (size_t i = 0; i < poll->n_ended; i++) {
		const struct dag_listed_end *from = &poll->ended[i];
		struct dag_call_end *to = &answer->ended.ended_val[i];

		to->number = from->number;
		to->end.task = from->task;
		to->end.run = from->run;
		to->end.how = from->how;
		XDR_SET(to->end, checkpoint, from->checkpoint);
	}
	answer->running.running_len = (u_int)poll->n_running;
	answer->ended.ended_len = (u_int)poll->n_ended;
	answer->partial = poll->partial;
	answer->born_ms = poll->born_ms;
	answer->clock_ms = poll->clock_ms;
	answer->has_look = true;
	return 0;
}

static void user_poll_replied(struct dag_transport_user *u, uint32_t worker,
			      enum dag_call_result result,
			      const struct dag_poll_reply *poll)
{
	struct agent *a = of_user(u);
	struct dag_call_answer answer = {.id = take_call(a, worker), .answer = result};

	a->polls++;
	a->unanswered += result == DAG_RESULT_UNKNOWN || result == DAG_RESULT_REFUSED;
	if (!answer.id)
		return;
	if (!poll || !fill_lists(poll, &answer))
		add_answer(a, &answer);
	free(answer.running.running_val);
	free(answer.ended.ended_val);
}

static const struct dag_transport_user_ops user_ops = {
	.start_replied = user_start_replied,
	.stop_replied = user_stop_replied,
	.poll_replied = user_poll_replied,
};

/* A worker that is given up by its gateway alone may have listed ends that are not read.
 */
static void log_polls(struct agent *a)
{
	double now = clock_s();

	if (!a->unanswered || now - a->polls_logged < LOG_PERIOD_S)
		return;
	log_info("polls-unanswered", "polls=%u of=%u", a->unanswered, a->polls);
	a->unanswered = 0;
	a->polls = 0;
	a->polls_logged = now;
}

static void on_prepare(struct ev_loop *loop, struct ev_prepare *w, int events)
{
	send_batch(w->data);
	log_polls(w->data);
}

static void serve_call(struct agent *a, const struct dag_call *c)
{
	struct agent_call *call = calloc(1, sizeof(*call));
	struct dag_worker_call to = {
		.worker = ++a->next_number,
		.id = XDR_STR(*c, worker_id),
		.address = XDR_STR(*c, address),
		.token = c->token,
		.lease_ms = c->lease_ms,
		.send_until_us = c->expires_us,
	};
	struct dag_worker_command command = {
		.call = to,
		.task = c->task,
		.run = c->run,
		.spec = XDR_STR(*c, spec),
		.checkpoint = XDR_STR(*c, checkpoint),
		.speed_percent = c->percent,
	};
	struct dag_poll_command poll = {
		.call = to, .acked_end = c->seen, .wait_ms = c->wait_ms};
	const struct dag_transport_ops *ops = a->transport->ops;

	if (!call)
		return;
	call->number = to.worker;
	call->id = c->id;
	HASH_ADD(hh, a->calls, number, sizeof(call->number), call);
	switch (c->kind) {
	case DAG_CALL_START:
		ops->start(a->transport, &command);
		return;
	case DAG_CALL_STOP:
		ops->stop(a->transport, &command);
		return;
	case DAG_CALL_PACE:
		take_call(a, to.worker); /* nobody waits for it */
		ops->throttle(a->transport, &command);
		return;
	case DAG_CALL_LOOK:
		ops->poll(a->transport, &poll);
		return;
	}
}

/*
 * Refuses a call that arrived too late, or that an earlier life of this process was to
 * make: a partition or a busy process held it up, and the leader may have decided
 * otherwise since then.
 */
static void refuse_call(struct agent *a, const struct dag_call *c)
{
	struct dag_call_answer answer = {.id = c->id, .answer = DAG_RESULT_UNKNOWN};

	if (c->kind != DAG_CALL_PACE)
		add_answer(a, &answer);
}

/* The times of calls for another life are of another clock. */
static bool is_current(const struct agent *a, const struct dag_calls *list,
		       const struct dag_call *c, int64_t now_us)
{
	return list->life == a->life && now_us <= c->expires_us;
}

static void serve_calls(struct agent *a, const struct dag_calls *list, int64_t now_us)
{
	unsigned int refused = 0;

	for (u_int i = 0; i < list->calls.calls_len; i++) {
		const struct dag_call *c = &list->calls.calls_val[i];

		if (is_current(a, list, c, now_us)) {
			serve_call(a, c);
			continue;
		}
		if (list->leader == a->leader)
			refuse_call(a, c);
		refused++;
	}
	if (refused)
		log_info("calls-refused", "calls=%u leader=%llx reason=\"%s\"", refused,
			 (unsigned long long)list->leader,
			 list->life == a->life ? "expired" : "for an earlier life");
}

static void connect_to_leader(struct agent *a, uint64_t leader)
{
	struct rpc_client_options opt = {
		.loop = a->opt.loop,
		.member = a->opt.settings->name,
		.key = a->opt.settings->cluster_key,
		.host = &a->client_host,
		.probe_period = PROBE_PERIOD_S,
	};

	if (a->leader == leader && a->client)
		return;
	rpc_client_free(a->client);
	a->client = NULL;
	a->leader = leader;
	free_unconfirmed(a);
	a->batch.n = 0;
	a->n_batch = 0;
	if (node_addr(leader, &opt.address) || rpc_client_new(&opt, &a->client))
		log_warn("agent-no-leader", "leader=%llx", (unsigned long long)leader);
}

/* Calls of a leader that was replaced have expired; the answers are not for it. */
static bool is_of_leader(const struct agent *a, const struct dag_calls *list,
			 int64_t now_us)
{
	for (u_int i = 0; i < list->calls.calls_len; i++)
		if (is_current(a, list, &list->calls.calls_val[i], now_us))
			return true;
	return !a->client;
}

static void on_rpc(struct rpc_server_host *host, struct rpc_call *call)
{
	struct agent *a = (struct agent *)host;
	struct dag_calls list = {0};
	int64_t now_us = clock_us();

	if (call->proc != RELAY_PROC_CALLS) {
		rpc_call_reply(call, CF_EINVAL, (struct str){NULL, 0});
		return;
	}
	if (!codec_decode((xdrproc_t)xdr_dag_calls, &list, call->args)) {
		if (is_of_leader(a, &list, now_us))
			connect_to_leader(a, list.leader);
		serve_calls(a, &list, now_us);
	}
	codec_free((xdrproc_t)xdr_dag_calls, &list);
	rpc_call_drop(call);
}

static const struct rpc_server_ops rpc_ops = {.call = on_rpc};

static int draw_life(struct agent *a)
{
	if (getrandom(&a->life, sizeof(a->life), 0) != sizeof(a->life))
		return CF_EIO;
	a->life |= 1; /* not 0 */
	return 0;
}

int agent_new(const struct agent_options *opt, struct agent **out)
{
	struct agent *a = calloc(1, sizeof(*a));
	struct rpc_server_options rpc = {
		.loop = opt->loop,
		.address = opt->settings->listen.rpc,
		.key = opt->settings->cluster_key,
		.limits = opt->limits,
	};
	struct executors_options executors = {.loop = opt->loop, .max_idle = MAX_IDLE};
	int err;

	if (!a)
		return CF_ENOMEM;
	a->rpc_host.ops = &rpc_ops;
	a->client_host.ops = &client_ops;
	STAILQ_INIT(&a->unconfirmed);
	ev_timer_init(&a->resend, on_resend, RESEND_PERIOD_S, RESEND_PERIOD_S);
	a->resend.data = a;
	a->user.ops = &user_ops;
	a->opt = *opt;
	rpc.host = &a->rpc_host;
	executors.user = &a->user;
	ev_prepare_init(&a->prepare, on_prepare);
	a->prepare.data = a;
	err = draw_life(a);
	if (!err)
		err = executors_new(&executors, &a->transport);
	if (!err)
		err = rpc_server_new(&rpc, &a->rpc);
	if (err) {
		agent_free(a);
		return err;
	}
	ev_prepare_start(opt->loop, &a->prepare);
	*out = a;
	return 0;
}

void agent_free(struct agent *a)
{
	struct agent_call *next;
	struct agent_call *c;

	if (!a)
		return;
	ev_prepare_stop(a->opt.loop, &a->prepare);
	rpc_server_free(a->rpc);
	if (a->transport)
		a->transport->ops->free(a->transport);
	rpc_client_free(a->client);
	free_unconfirmed(a);
	ev_timer_stop(a->opt.loop, &a->resend);
	c = a->calls;
	HASH_CLEAR(hh, a->calls);
	for (; c; c = next) {
		next = c->hh.next;
		free(c);
	}
	buf_free(&a->batch);
	free(a);
}

uint64_t agent_life(const struct agent *a)
{
	return a->life;
}
