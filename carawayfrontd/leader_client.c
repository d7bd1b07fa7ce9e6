#include "carawayfrontd/leader_client.h"

#include <stddef.h>

#include "base/err.h"
#include "io/clock.h"
#include "proto/codec.h"
#include "proto/peer.h"

#define RETRY_DELAY 0.03 /* seconds before another process is asked */
#define AVOID_TIME 1.0	 /* seconds without calls to a process that did not answer */
/* Seconds for the first answer on a connection that replaced one. */
#define RENEWED_ATTEMPT 0.3
#define RECONNECT_TIME 0.25 /* seconds until the attempt to connect has begun */

/* Connects lazily to every state process of the settings, which must stay valid. */
int leader_client_init(struct leader_client *c, struct ev_loop *loop,
		       const struct settings *settings)
{
	const struct settings_member *m = settings->state.items;

	*c = (struct leader_client){.loop = loop};
	for (size_t i = 0; i < settings->state.n && i < LEADER_MAX_MEMBERS; i++) {
		struct rpc_client_options opt = {
			.loop = loop,
			.address = m[i].address,
			.member = settings->name,
			.key = settings->cluster_key,
			.probe_period = STATE_PROBE_S,
			.drop_unsent = true,
		};
		int err = rpc_client_new(&opt, &c->clients[i]);

		if (err)
			return err;
		c->names[i] = m[i].name;
		c->n++;
	}
	return 0;
}

void leader_client_destroy(struct leader_client *c)
{
	for (size_t i = 0; i < c->n; i++)
		rpc_client_free(c->clients[i]);
	c->n = 0;
}

static void end_call(struct leader_call *call, int err, struct str results)
{
	struct buf args = call->args;

	ev_timer_stop(call->client->loop, &call->retry);
	call->client = NULL;
	call->args = (struct buf){0};
	call->ops->done(call, err, results);
	buf_free(&args);
}

/* Resets the connections on which a call that is given up may wait for its process. */
static void drop_late(const struct leader_call *call)
{
	struct leader_client *c = call->client;

	for (size_t i = 0; i < c->n; i++)
		if (call->unread & 1U << i)
			rpc_client_reset(c->clients[i]);
}

static void fail_call(struct leader_call *call)
{
	call->client->failures++;
	if (call->drop_late)
		drop_late(call);
	end_call(call, call->maybe_run ? CF_EUNKNOWN : CF_EUNAVAIL,
		 (struct str){NULL, 0});
}

/* The first process from target on that is not avoided; the last one if all are. */
static size_t choose_target(const struct leader_client *c, size_t target)
{
	size_t chosen = target;

	for (size_t i = 0; i < c->n; i++) {
		chosen = (target + i) % c->n;
		if (c->avoid_until[chosen] <= clock_s())
			break;
	}
	return chosen;
}

/*
 * Avoids a process that did not answer an attempt, unless it may only be slow: it has
 * answered another call since then, or the call ended before the time of an attempt.
 */
static void avoid(const struct leader_call *call, int err)
{
	struct leader_client *c = call->client;

	if (err == CF_ETIMEOUT &&
	    (!call->full_attempt || c->heard_at[call->target] >= call->sent_at))
		return;
	c->avoid_until[call->target] = clock_s() + AVOID_TIME;
}

/* Whether only the connection may have broken: it was reset, or has gone silent. */
static bool may_be_connection(const struct leader_call *call, int err)
{
	const struct leader_client *c = call->client;

	if (c->renewed_at[call->target] > 0)
		return false;
	if (err == CF_ETIMEOUT)
		return call->full_attempt && c->heard_at[call->target] < call->sent_at;
	return err == CF_ECONN;
}

/*
 * Avoids the process of an attempt that failed, and replaces a connection that may have
 * gone silent. Calls of an earlier connection say nothing about the one in use.
 */
static void attempt_failed(const struct leader_call *call, int err)
{
	struct leader_client *c = call->client;
	size_t target = call->target;
	bool renew = may_be_connection(call, err);

	if (call->connection != c->connection[target])
		return;
	avoid(call, err);
	if (renew)
		c->renewed_at[target] = clock_s();
	if (renew || err == CF_ECONN || err == CF_EUNAVAIL)
		c->connection[target]++;
	if (renew && err == CF_ETIMEOUT)
		rpc_client_reset(c->clients[target]);
}

/*
 * Another process names this one as the leader. If its connection was replaced, it may be
 * well: it is asked once more, although it is avoided.
 */
static void ask_again(struct leader_client *c, size_t target)
{
	if (c->renewed_at[target] <= 0 || c->asked_again[target])
		return;
	c->asked_again[target] = true;
	c->avoid_until[target] = 0;
}

static void retry_later(struct leader_call *call, size_t target, double delay)
{
	struct leader_client *c = call->client;

	call->target = choose_target(c, target);
	if (clock_s() + delay >= call->deadline) {
		fail_call(call);
		return;
	}
	ev_timer_set(&call->retry, delay, 0);
	ev_timer_start(c->loop, &call->retry);
}

static void attempt(struct leader_call *call, double now)
{
	struct leader_client *c = call->client;
	double left = call->deadline - now;
	double timeout = call->attempt_timeout;
	double renewed_at = c->renewed_at[call->target];
	int err;

	if (renewed_at > 0 && timeout >= LEADER_ATTEMPT)
		timeout -= LEADER_ATTEMPT - RENEWED_ATTEMPT;
	call->sent_at = now;
	call->full_attempt = call->sent_at + timeout <= call->deadline;
	call->connection = c->connection[call->target];
	if (timeout > left)
		timeout = left;
	err = rpc_client_call(c->clients[call->target], call->proc, buf_str(&call->args),
			      timeout, &call->waiter);
	if (!err) {
		call->unread |= 1U << call->target;
		return;
	}
	if (err == CF_ECONN && now < renewed_at + RECONNECT_TIME) {
		retry_later(call, call->target, RETRY_DELAY);
		return;
	}
	avoid(call, err);
	retry_later(call, call->target + 1, RETRY_DELAY);
}

static void on_retry(struct ev_loop *loop, struct ev_timer *t, int events)
{
	attempt(t->data, clock_s());
}

/* Every result that goes through the leader begins with err and leader. */
static int read_head(struct str results, int *err, struct str *leader)
{
	XDR xdrs;
	char *p = NULL;
	u_int n = 0;
	int ret = 0;

	xdrmem_create(&xdrs, (char *)(uintptr_t)results.p, (u_int)results.n, XDR_DECODE);
	if (!xdr_int(&xdrs, err) || !xdr_bytes(&xdrs, &p, &n, PEER_MAX_NAME))
		ret = CF_EMALFORMED;
	else /* the bytes stand in the results, behind err and their length */
		*leader = (struct str){results.p + 2 * BYTES_PER_XDR_UNIT, n};
	mem_free(p, n);
	xdr_destroy(&xdrs);
	return ret;
}

static size_t index_of(const struct leader_client *c, struct str name, size_t otherwise)
{
	for (size_t i = 0; i < c->n; i++)
		if (str_eq(c->names[i], name))
			return i;
	return otherwise;
}

static void on_reply(struct rpc_waiter *w, int err, struct str results)
{
	struct leader_call *call =
		(struct leader_call *)((char *)w - offsetof(struct leader_call, waiter));
	struct leader_client *c = call->client;
	struct str leader;
	int result_err;

	if (err != CF_ETIMEOUT)
		call->unread &= ~(1U << call->target);
	if (!err) {
		c->heard_at[call->target] = clock_s();
		c->renewed_at[call->target] = 0;
		c->asked_again[call->target] = false;
		err = read_head(results, &result_err, &leader);
	}
	if (err) {
		call->maybe_run = true;
		attempt_failed(call, err);
		retry_later(call, call->target + 1, RETRY_DELAY);
		return;
	}
	if (result_err == CF_ENOTLEADER) {
		size_t next = index_of(c, leader, call->target + 1) % c->n;

		c->redirects++;
		ask_again(c, next);
		retry_later(call, next, RETRY_DELAY);
		return;
	}
	if (result_err == CF_EUNKNOWN) {
		call->maybe_run = true;
		retry_later(call, call->target + 1, RETRY_DELAY);
		return;
	}
	c->guess = call->target;
	c->avoid_until[call->target] = 0;
	end_call(call, 0, results);
}

static const struct rpc_waiter_ops waiter_ops = {.done = on_reply};

/*
 * Starts a call that is repeated, at other processes too, until a leader answers or
 * timeout seconds have passed; one process gets attempt_timeout. The command must
 * therefore be idempotent. call->ops is set by the caller.
 */
int leader_call_start(struct leader_client *c, struct leader_call *call, uint32_t proc,
		      struct str args, double timeout, double attempt_timeout)
{
	double now = clock_s();
	int err;

	call->args = (struct buf){0};
	err = buf_set(&call->args, args);
	if (err)
		return err;
	call->client = c;
	call->waiter.ops = &waiter_ops;
	call->waiter.client = NULL;
	call->proc = proc;
	call->maybe_run = false;
	call->unread = 0;
	call->attempt_timeout = attempt_timeout;
	call->deadline = now + timeout;
	call->target = choose_target(c, c->guess);
	ev_timer_init(&call->retry, on_retry, 0, 0);
	call->retry.data = call;
	attempt(call, now);
	return 0;
}

/* Ends a call without done(). */
void leader_call_cancel(struct leader_call *call)
{
	if (!call->client)
		return;
	rpc_waiter_cancel(&call->waiter);
	ev_timer_stop(call->client->loop, &call->retry);
	buf_free(&call->args);
	call->client = NULL;
}
