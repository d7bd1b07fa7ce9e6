#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "base/err.h"
#include "carawayfrontd/relay_impl.h"
#include "io/clock.h"
#include "io/log.h"
#include "io/rpc_wire.h"
#include "proto/codec.h"
#include "proto/peer.h"

#define ANSWER_S 2.5 /* beyond the wait that a poll asks for */
/*
 * A start or throttle request that reaches a gateway later may be out of date: the run
 * may have been replaced meanwhile.
 */
#define COMMAND_VALID_S 1.0
#define SWEEP_S 0.1
#define LOG_PERIOD_S 1.0 /* between lines on late answers */
/* Bytes of calls after which they are sent; a message holds these and one more. */
#define MAX_BATCH (RPC_MAX_RECORD / 2)

/*
 * When a gateway no longer makes a call, on its clock. Its report took some time to
 * arrive, so that the call may expire earlier, never later.
 */
static int64_t expiry_us(const struct relay_agent *a, enum dag_call_kind kind,
			 int64_t send_until_us, double timeout)
{
	bool command = kind == DAG_CALL_START || kind == DAG_CALL_PACE;
	double valid = command ? COMMAND_VALID_S : timeout;
	int64_t end_us = clock_us() + (int64_t)(valid * 1e6);

	if (send_until_us && send_until_us < end_us)
		end_us = send_until_us;
	return end_us + a->clock_offset_us;
}

/* An encoded dag_calls: the leader, the gateway's life, the number of calls, the calls.
 */
static void send_batch(struct relay *r, struct relay_agent *a)
{
	unsigned char head[20];
	struct buf bytes = {0};
	int err;

	codec_put_u32(head, (uint32_t)(r->opt.self >> 32));
	codec_put_u32(head + 4, (uint32_t)r->opt.self);
	codec_put_u32(head + 8, (uint32_t)(a->life >> 32));
	codec_put_u32(head + 12, (uint32_t)a->life);
	codec_put_u32(head + 16, a->n_batch);
	err = buf_add(&bytes, head, sizeof(head));
	if (!err)
		err = buf_add(&bytes, a->batch.p, a->batch.n);
	if (!err)
		err = rpc_client_post(a->client, RELAY_PROC_CALLS, buf_str(&bytes));
	if (err && a->n_batch)
		relay_lose_unsent_calls(r, a);
	if (err == CF_ECONN)
		a->down = true;
	else if (err)
		relay_avoid_agent(r, a, "calls not sent");
	buf_free(&bytes);
	a->batch.n = 0;
	a->n_batch = 0;
}

/*
 * Adds a call to the batch of a gateway; its end is reported later, but for a throttle,
 * which has no answer.
 */
static bool add_call(struct relay *r, struct relay_agent *a, struct dag_call *c,
		     int64_t send_until_us, double timeout, bool no_reply)
{
	struct relay_call *call;

	if (a->batch.n > MAX_BATCH)
		send_batch(r, a);
	c->id = ++r->next_id;
	c->expires_us = expiry_us(a, c->kind, send_until_us, timeout);
	if (codec_encode((xdrproc_t)xdr_dag_call, c, &a->batch))
		return false;
	a->n_batch++;
	if (c->kind == DAG_CALL_PACE)
		return true;
	call = calloc(1, sizeof(*call));
	if (!call)
		return false;
	call->id = c->id;
	call->kind = c->kind;
	call->worker = c->worker;
	call->task = c->task;
	call->run = c->run;
	call->agent = a->id;
	call->sent = rpc_client_sent(a->client) + 1;
	call->no_reply = no_reply;
	call->deadline = clock_s() + timeout;
	HASH_ADD(hh, r->calls, id, sizeof(call->id), call);
	return true;
}

static void fill_call(struct dag_call *c, const struct dag_worker_call *to)
{
	c->worker = to->worker;
	XDR_SET(*c, worker_id, to->id);
	XDR_SET(*c, address, to->address);
	c->token = to->token;
	c->lease_ms = to->lease_ms;
}

/* Hands a worker command to a gateway; false when there is none. */
static bool relay_command(struct dag_transport *t, enum dag_call_kind kind,
			  const struct dag_worker_command *o)
{
	struct relay *r = (struct relay *)t;
	struct relay_agent *a = relay_choose_agent(r, o->call.worker);
	struct dag_call c = {.kind = kind, .task = o->task, .run = o->run};

	if (!a)
		return false;
	fill_call(&c, &o->call);
	XDR_SET(c, spec, o->spec);
	XDR_SET(c, checkpoint, o->checkpoint);
	c.percent = o->speed_percent;
	return add_call(r, a, &c, o->call.send_until_us, ANSWER_S, false);
}

static struct dag_transport *direct_transport(struct dag_transport *t)
{
	return ((struct relay *)t)->opt.direct;
}

static void send_start(struct dag_transport *t, const struct dag_worker_command *o)
{
	if (!relay_command(t, DAG_CALL_START, o))
		direct_transport(t)->ops->start(direct_transport(t), o);
}

static void send_stop(struct dag_transport *t, const struct dag_worker_command *o)
{
	if (!relay_command(t, DAG_CALL_STOP, o))
		direct_transport(t)->ops->stop(direct_transport(t), o);
}

static void send_throttle(struct dag_transport *t, const struct dag_worker_command *o)
{
	if (!relay_command(t, DAG_CALL_PACE, o))
		direct_transport(t)->ops->throttle(direct_transport(t), o);
}

static void send_poll(struct dag_transport *t, const struct dag_poll_command *o)
{
	struct relay *r = (struct relay *)t;
	struct relay_agent *a = relay_choose_agent(r, o->call.worker);
	struct dag_call c = {
		.kind = DAG_CALL_LOOK, .seen = o->acked_end, .wait_ms = o->wait_ms};
	double timeout = o->wait_ms / 1000.0 + ANSWER_S;

	fill_call(&c, &o->call);
	if (!a || !add_call(r, a, &c, o->call.send_until_us, timeout, o->no_reply))
		direct_transport(t)->ops->poll(direct_transport(t), o);
}

static const struct dag_transport_ops transport_ops = {
	.start = send_start,
	.stop = send_stop,
	.throttle = send_throttle,
	.poll = send_poll,
};

/*
 * Opens a new connection to a gateway that is without one, and asks for a sign of it. The
 * batch, which may be empty, is probed for like any other.
 */
static void reconnect_agent(struct relay *r, struct relay_agent *a)
{
	if (a->connecting)
		return;
	send_batch(r, a);
	a->connecting = !rpc_client_post(a->client, PEER_NULL, (struct str){NULL, 0});
}

static void reconnect_agents(struct relay *r)
{
	double now = clock_s();

	for (size_t i = 0; i < r->n_agents; i++) {
		struct relay_agent *a = &r->agents[i];

		if (a->id && (a->down || a->silent) && now - a->heard < ALIVE_S)
			reconnect_agent(r, a);
	}
}

void relay_flush(struct relay *r)
{
	reconnect_agents(r);
	relay_check_panic(r);
	for (size_t i = 0; i < r->n_agents; i++)
		if (r->agents[i].n_batch)
			send_batch(r, &r->agents[i]);
}

/* Ends a call; the call is freed. */
static void end_call(struct relay *r, struct relay_call *call,
		     enum dag_call_result answer, const struct dag_poll_reply *poll)
{
	struct dag_transport_user *u = r->opt.user;

	HASH_DEL(r->calls, call);
	if (answer == DAG_RESULT_UNKNOWN || answer == DAG_RESULT_REFUSED)
		relay_change_path(r, call->worker);
	if (call->no_reply)
		goto out;
	if (call->kind == DAG_CALL_LOOK)
		u->ops->poll_replied(u, call->worker, answer, poll);
	else if (call->kind == DAG_CALL_START)
		u->ops->start_replied(u, call->worker, &call->task, call->run, answer);
	else if (call->kind == DAG_CALL_STOP)
		u->ops->stop_replied(u, call->worker, &call->task, call->run, answer);
out:
	free(call);
}

/* Ends the calls of an earlier life of a gateway, which nobody answers, and forgets it.
 */
static void restart_agent(struct relay *r, struct relay_agent *a)
{
	struct relay_call *call, *next;
	uint64_t id = a->id;

	log_info("gateway-restarted", "gateway=%llx", (unsigned long long)id);
	a->avoid_until = 0;
	a->batch.n = 0;
	a->n_batch = 0;
	if (relay_connect_agent(r, a))
		a->id = 0;
	for (call = r->calls; call; call = next) {
		next = call->hh.next;
		if (call->agent == id)
			end_call(r, call, DAG_RESULT_UNKNOWN, NULL);
	}
}

/* A gateway said that it can make calls. */
void relay_agent(struct relay *r, const struct dag_agent *agent)
{
	struct relay_agent *a = relay_find_agent(r, agent->id);
	struct str zone = XDR_STR(*agent, zone);

	if (!a)
		a = relay_new_agent(r, agent->id);
	if (!a || zone.n >= ZONE_MAX)
		return;
	if (a->life && a->life != agent->life)
		restart_agent(r, a);
	a->life = agent->life;
	memcpy(a->zone, zone.p, zone.n);
	a->zone[zone.n] = '\0';
	a->heard = clock_s();
	a->clock_offset_us = agent->clock_us - clock_us();
}

/* Answers that come late were on their way; those of a silent connection never come. */
static void log_late(struct relay *r)
{
	if (!r->late || clock_s() - r->late_logged < LOG_PERIOD_S)
		return;
	log_info("answers-late", "answers=%u reason=\"the call was given up\"", r->late);
	r->late = 0;
	r->late_logged = clock_s();
}

/*
 * A gateway that has read the call is slow. If it may not have, a new connection may work
 * at once.
 */
static void give_up_call(struct relay *r, const struct relay_call *call)
{
	struct relay_agent *a = relay_find_agent(r, call->agent);

	if (!a)
		return;
	relay_avoid_agent(r, a, "no answer to a call");
	if (!rpc_client_has_confirmed(a->client, call->sent))
		rpc_client_reset(a->client);
}

static void on_sweep(struct ev_loop *loop, struct ev_timer *t, int events)
{
	struct relay *r = t->data;
	struct relay_call *call, *next;
	double now = clock_s();

	log_late(r);
	for (call = r->calls; call; call = next) {
		next = call->hh.next;
		if (!call->lost && call->deadline > now)
			continue;
		if (!call->lost)
			give_up_call(r, call);
		end_call(r, call,
			 call->lost && call->kind == DAG_CALL_LOOK ? DAG_RESULT_PATH_LOST
								   : DAG_RESULT_UNKNOWN,
			 NULL);
	}
}

/* The lists borrow their texts from the answer. */
static int read_lists(const struct dag_call_answer *a, struct dag_listed_run **runs,
		      struct dag_listed_end **ends, struct dag_poll_reply *poll)
{
	*runs = calloc(a->running.running_len + 1, sizeof(**runs));
	*ends = calloc(a->ended.ended_len + 1, sizeof(**ends));
	if (!*runs || !*ends)
		return CF_ENOMEM;
	for (u_int i = 0; i < a->running.running_len; i++) {
		const struct dag_call_run *from = &a->running.running_val[i];

		(*runs)[i] = (struct dag_listed_run){from->task, from->run,
						     XDR_STR(*from, checkpoint),
						     from->percent, from->level};
	}
	for (u_int i = 0; i < a->ended.ended_len; i++) {
		const struct dag_call_end *from = &a->ended.ended_val[i];

		(*ends)[i] = (struct dag_listed_end){from->number, from->end.task,
						     from->end.run, from->end.how,
						     XDR_STR(from->end, checkpoint)};
	}
	*poll = (struct dag_poll_reply){
		.born_ms = a->born_ms,
		.clock_ms = a->clock_ms,
		.running = *runs,
		.n_running = a->running.running_len,
		.ended = *ends,
		.n_ended = a->ended.ended_len,
		.partial = a->partial,
	};
	return 0;
}

static void take_answer(struct relay *r, const struct dag_call_answer *a)
{
	struct dag_listed_run *runs = NULL;
	struct dag_listed_end *ends = NULL;
	struct relay_call *call;
	struct dag_poll_reply poll;
	u_quad_t id = a->id;
	bool usable;

	HASH_FIND(hh, r->calls, &id, sizeof(id), call);
	if (!call) { /* it has timed out */
		r->late++;
		return;
	}
	usable = a->has_look && !read_lists(a, &runs, &ends, &poll);
	end_call(r, call, (enum dag_call_result)a->answer, usable ? &poll : NULL);
	free(runs);
	free(ends);
}

/* Takes answers that a gateway sent. */
void relay_answers(struct relay *r, struct str bytes)
{
	struct dag_call_answers list = {0};

	if (!codec_decode((xdrproc_t)xdr_dag_call_answers, &list, bytes))
		for (u_int i = 0; i < list.answers.answers_len; i++)
			take_answer(r, &list.answers.answers_val[i]);
	codec_free((xdrproc_t)xdr_dag_call_answers, &list);
}

struct dag_transport *relay_transport(struct relay *r)
{
	return &r->transport;
}

/*
 * Numbers of calls begin at a random place: a gateway may still send answers to calls
 * that an earlier life of this process made under the same address.
 */
int relay_new(const struct relay_options *opt, struct relay **out)
{
	struct relay *r = calloc(1, sizeof(*r));

	if (!r)
		return CF_ENOMEM;
	if (getrandom(&r->next_id, sizeof(r->next_id), 0) != sizeof(r->next_id)) {
		free(r);
		return CF_EIO;
	}
	r->transport.ops = &transport_ops;
	r->opt = *opt;
	ev_timer_init(&r->sweep, on_sweep, SWEEP_S, SWEEP_S);
	r->sweep.data = r;
	ev_timer_start(opt->loop, &r->sweep);
	*out = r;
	return 0;
}

void relay_clear(struct relay *r)
{
	struct relay_call *call = r->calls;
	struct relay_path *p = r->paths;
	void *next;

	HASH_CLEAR(hh, r->calls);
	HASH_CLEAR(hh, r->paths);
	for (; call; call = next) {
		next = call->hh.next;
		free(call);
	}
	for (; p; p = next) {
		next = p->hh.next;
		free(p);
	}
	for (size_t i = 0; i < r->n_agents; i++) {
		r->agents[i].batch.n = 0;
		r->agents[i].n_batch = 0;
	}
}

void relay_free(struct relay *r)
{
	if (!r)
		return;
	relay_clear(r);
	ev_timer_stop(r->opt.loop, &r->sweep);
	for (size_t i = 0; i < r->n_agents; i++) {
		rpc_client_free(r->agents[i].client);
		buf_free(&r->agents[i].batch);
	}
	free(r);
}
