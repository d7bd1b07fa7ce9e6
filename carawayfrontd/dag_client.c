#include "carawayfrontd/dag_client.h"

#include <stdlib.h>

#include "base/err.h"
#include "carawayfrontd/leader_wait.h"
#include "carawayfrontd/node_id.h"
#include "io/clock.h"
#include "proto/codec.h"

#define ATTEMPT_S 0.6	   /* one controller may take so long to answer */
#define RETRY_S 0.04	   /* before a controller is asked again for the leader */
#define AVOID_S 1.0	   /* after a controller did not answer */
#define QUIET_S 0.25	   /* without an answer: silent and not only slow */
#define RENEWED_S 0.3	   /* for the first answer on a connection that replaced one */
#define RETRY_AFTER_MS 500 /* told to callers while there is no leader */
#define FINDERS 3U	   /* controllers that are asked for the leader at a time */
#define FINDER_S 0.5
#define FINDER_ATTEMPT_S 0.3

struct dag_node {
	uint64_t id;
	struct rpc_client *client;
	double avoid_until;
	double heard;
	unsigned int connection; /* number of the one in use */
	bool renewed; /* it is in place of a broken one, and nothing was heard on it */
};

/* Asks for the leader while requests of callers are refused. */
struct finder {
	struct dag_pending_request ticket; /* first member */
	bool running;
};

struct dag_client {
	struct dag_client_options opt;
	struct leader_wait wait;
	struct finder finders[FINDERS];
	uint64_t confirmed; /* answered as the leader last; 0: lost since */
	struct dag_node nodes[DAG_CLIENT_NODES];
	size_t n;
	size_t next;
	uint64_t leader; /* 0: not known */
	double heard;
	struct client_call *calls;
};

/* One request on its way. */
struct client_call {
	struct rpc_waiter waiter; /* first member */
	struct client_call *next, **prev;
	struct dag_client *client;
	struct dag_pending_request *ticket;
	struct ev_timer retry;
	struct buf args;
	struct dag_node *node;
	unsigned int connection; /* of the node, on which it was sent */
	double deadline;
	double attempt_s;
	bool of_caller;	 /* not of an executor, an operator or this process */
	bool has_effect; /* it is not just a read */
	bool maybe_run;
};

static void attempt(struct client_call *call);

static struct dag_node *find_node(struct dag_client *c, uint64_t id)
{
	for (size_t i = 0; i < c->n; i++)
		if (c->nodes[i].id == id)
			return &c->nodes[i];
	return NULL;
}

static bool is_listed(const uint64_t *ids, size_t n, uint64_t id)
{
	for (size_t i = 0; i < n; i++)
		if (ids[i] == id)
			return true;
	return false;
}

static bool has_calls(const struct dag_client *c, const struct dag_node *node)
{
	for (const struct client_call *call = c->calls; call; call = call->next)
		if (call->node == node)
			return true;
	return false;
}

/*
 * The place of a controller that is not among the members and is not called now; of these
 * the one that was longest known not to answer. NULL: none.
 */
static struct dag_node *find_departed(struct dag_client *c, const uint64_t *members,
				      size_t n)
{
	struct dag_node *found = NULL;

	for (size_t i = 0; i < c->n; i++) {
		struct dag_node *node = &c->nodes[i];

		if (is_listed(members, n, node->id) || node->id == c->leader ||
		    has_calls(c, node))
			continue;
		if (!found || node->avoid_until < found->avoid_until)
			found = node;
	}
	return found;
}

/*
 * Adds a controller that is not known yet. When the list is full it takes the place of
 * one that is not among the members, if that is possible now.
 */
static void add_node(struct dag_client *c, uint64_t id, const uint64_t *members, size_t n)
{
	struct rpc_client_options opt = {
		.loop = c->opt.loop,
		.member = c->opt.settings->name,
		.key = c->opt.settings->cluster_key,
		.drop_unsent = true,
	};
	struct dag_node *node = &c->nodes[c->n];
	struct rpc_client *client;

	if (id == c->opt.self || find_node(c, id) || node_addr(id, &opt.address))
		return;
	if (c->n == DAG_CLIENT_NODES)
		node = find_departed(c, members, n);
	if (!node || rpc_client_new(&opt, &client))
		return;
	if (node == &c->nodes[c->n])
		c->n++;
	else
		rpc_client_free(node->client);
	*node = (struct dag_node){.id = id, .client = client};
}

static void on_found(struct dag_pending_request *t, const struct dag_reply *reply)
{
	((struct finder *)t)->running = false;
}

static const struct dag_pending_request_ops finder_ops = {.done = on_found};

/* Looks for a leader also when nothing but refused requests would ask for it. */
static void start_finders(struct dag_client *c)
{
	struct dag_request req = {.kind = DAG_REQ_MEMBERS};

	for (size_t i = 0; i < FINDERS; i++) {
		if (c->finders[i].running)
			continue;
		c->finders[i].running = true;
		dag_client_request(c, &req, FINDER_S, &c->finders[i].ticket);
	}
}

int dag_client_new(const struct dag_client_options *opt, struct dag_client **out)
{
	struct dag_client *c = calloc(1, sizeof(*c));
	const struct settings_seed *seeds = opt->settings->seeds.items;

	if (!c)
		return CF_ENOMEM;
	c->opt = *opt;
	c->wait.lost_at = clock_s();
	for (size_t i = 0; i < FINDERS; i++)
		c->finders[i].ticket.ops = &finder_ops;
	for (size_t i = 0; i < opt->settings->seeds.n; i++)
		add_node(c,
			 node_id_with_port(&seeds[i].address,
					   addr_port(&opt->settings->listen.rpc)),
			 NULL, 0);
	*out = c;
	return 0;
}

static void end_call(struct client_call *call, const struct dag_reply *reply)
{
	struct dag_pending_request *t = call->ticket;

	*call->prev = call->next;
	if (call->next)
		call->next->prev = call->prev;
	ev_timer_stop(call->client->opt.loop, &call->retry);
	buf_free(&call->args);
	free(call);
	t->ops->done(t, reply);
}

static void fail_call(struct client_call *call)
{
	struct dag_reply reply = {
		.outcome = call->maybe_run ? DAG_UNKNOWN : DAG_REJECTED,
		.retry_after_ms = RETRY_AFTER_MS,
	};

	end_call(call, &reply);
}

static void on_retry(struct ev_loop *loop, struct ev_timer *t, int events)
{
	attempt(t->data);
}

static void retry_in(struct client_call *call, double delay)
{
	struct ev_loop *loop = call->client->opt.loop;

	if (clock_s() + delay >= call->deadline) {
		fail_call(call);
		return;
	}
	ev_timer_set(&call->retry, delay, 0);
	ev_timer_start(loop, &call->retry);
}

/* The leader when it is known and answers, else one after the other. */
static struct dag_node *choose(struct dag_client *c)
{
	struct dag_node *node = c->leader ? find_node(c, c->leader) : NULL;
	double now = clock_s();

	if (node && node->avoid_until <= now)
		return node;
	for (size_t i = 0; i < c->n; i++) {
		node = &c->nodes[c->next++ % c->n];
		if (node->avoid_until <= now)
			return node;
	}
	return NULL;
}

/* Takes over what a reply says of the leader and the members. */
void dag_client_learn(struct dag_client *c, uint64_t leader, const uint64_t *members,
		      size_t n)
{
	for (size_t i = 0; i < n; i++)
		add_node(c, members[i], members, n);
	if (leader)
		add_node(c, leader, members, n);
	c->leader = leader;
}

/* A leader counts as known from its answer until a call to it fails. */
static void update_wait(struct dag_client *c)
{
	bool known = c->confirmed && c->leader == c->confirmed;

	leader_wait_update(&c->wait, known, clock_s());
}

/* Whether a controller other than the one that was asked leads and can be asked now. */
static bool can_ask_leader(struct dag_client *c, uint64_t leader, uint64_t asked)
{
	const struct dag_node *node = leader ? find_node(c, leader) : NULL;

	return node && leader != asked && node->avoid_until <= clock_s();
}

static void take_reply(struct client_call *call, const struct dag_reply *reply)
{
	struct dag_client *c = call->client;
	uint64_t asked = call->node->id;

	call->node->heard = clock_s();
	call->node->renewed = false;
	dag_client_learn(c, reply->leader, reply->members.members_val,
			 reply->members.members_len);
	if (reply->outcome != DAG_NOT_LEADER) {
		c->leader = asked;
		c->confirmed = asked;
		c->heard = clock_s();
		update_wait(c);
		end_call(call, reply);
		return;
	}
	if (c->confirmed == asked)
		c->confirmed = 0;
	update_wait(c);
	retry_in(call, can_ask_leader(c, reply->leader, asked) ? 0 : RETRY_S);
}

/*
 * Whether only the connection may have failed: it was reset, or has gone silent. A new
 * one is then tried at once. A controller that answered others just before is slow, and
 * one that does not answer on a new connection either is out of reach.
 */
static bool may_be_connection(const struct client_call *call, int err)
{
	const struct dag_node *node = call->node;

	if (node->renewed)
		return false;
	if (err == CF_ETIMEOUT)
		return clock_s() - node->heard > QUIET_S;
	return err == CF_ECONN;
}

/* Calls of an earlier connection say nothing about the one in use. */
static void attempt_failed(struct client_call *call, int err)
{
	struct dag_client *c = call->client;
	struct dag_node *node = call->node;

	if (call->connection != node->connection)
		return;
	if (err == CF_ETIMEOUT || err == CF_ECONN || err == CF_EUNAVAIL)
		node->connection++;
	if (may_be_connection(call, err)) {
		node->renewed = true;
	} else {
		node->avoid_until = clock_s() + AVOID_S;
		if (c->leader == node->id)
			c->leader = 0;
		if (c->confirmed == node->id)
			c->confirmed = 0;
		update_wait(c);
	}
	/* The request must not arrive after its end was reported. */
	if (err == CF_ETIMEOUT)
		rpc_client_reset(node->client);
}

static void on_answer(struct rpc_waiter *w, int err, struct str results)
{
	struct client_call *call = (struct client_call *)w;
	struct dag_reply reply = {0};

	if (!err)
		err = codec_decode((xdrproc_t)xdr_dag_reply, &reply, results);
	if (!err) {
		take_reply(call, &reply);
	} else if (err == CF_EINVAL) {
		/*
		 * The controller has not decoded the request, so it has not run: its
		 * program does not know the kind. It serves other requests.
		 */
		call->node->heard = clock_s();
		call->node->renewed = false;
		fail_call(call);
	} else {
		call->maybe_run =
			call->maybe_run || (call->has_effect && err != CF_EUNAVAIL);
		attempt_failed(call, err);
		retry_in(call, 0);
	}
	codec_free((xdrproc_t)xdr_dag_reply, &reply);
}

static const struct rpc_waiter_ops waiter_ops = {.done = on_answer};

/*
 * Whether the call goes on. No request of a caller is held while no leader is known for
 * longer than an election takes; the call is then ended and must not be used.
 */
static bool may_go_on(struct client_call *call)
{
	struct dag_client *c = call->client;

	if (!call->of_caller ||
	    leader_wait_decide(&c->wait, clock_s()) != LEADER_WAIT_REFUSE)
		return true;
	start_finders(c);
	fail_call(call);
	return false;
}

static void attempt(struct client_call *call)
{
	struct dag_client *c = call->client;
	double left = call->deadline - clock_s();
	double timeout;
	struct dag_node *node;

	if (left <= 0) {
		fail_call(call);
		return;
	}
	if (!may_go_on(call))
		return;
	node = choose(c);
	if (!node) {
		retry_in(call, RETRY_S);
		return;
	}
	call->node = node;
	call->connection = node->connection;
	timeout = node->renewed && call->attempt_s > RENEWED_S ? RENEWED_S
							       : call->attempt_s;
	if (rpc_client_call(node->client, DAG_PROC_REQUEST, buf_str(&call->args),
			    left < timeout ? left : timeout, &call->waiter)) {
		node->avoid_until = clock_s() + RETRY_S;
		if (c->leader == node->id)
			c->leader = 0;
		update_wait(c);
		retry_in(call, RETRY_S / 4);
	}
}

/* Whether a request can change something. */
bool dag_request_has_effect(enum dag_request_kind kind)
{
	return kind != DAG_REQ_READ && kind != DAG_REQ_ORG_READ &&
	       kind != DAG_REQ_CONF_GET && kind != DAG_REQ_MEMBERS;
}

static bool is_of_caller(enum dag_request_kind kind)
{
	switch (kind) {
	case DAG_REQ_SUBMIT:
	case DAG_REQ_READ:
	case DAG_REQ_CANCEL:
	case DAG_REQ_ORG_SUBMIT:
	case DAG_REQ_ORG_READ:
	case DAG_REQ_ORG_CANCEL:
		return true;
	default:
		return false;
	}
}

/* A request that exceeds a bound of the protocol stays invalid; others may come again. */
static void refuse(struct dag_pending_request *t, int err)
{
	struct dag_reply reply = {.outcome = DAG_REJECTED,
				  .retry_after_ms = RETRY_AFTER_MS};

	if (err == CF_EINVAL)
		reply.outcome = DAG_INVALID;
	t->ops->done(t, &reply);
}

/*
 * Sends a request; timeout in seconds. Without an answer it ends as rejected if it cannot
 * have changed anything, else as unknown.
 */
void dag_client_request(struct dag_client *c, const struct dag_request *req,
			double timeout, struct dag_pending_request *t)
{
	struct client_call *call = calloc(1, sizeof(*call));
	int err = call ? codec_encode((xdrproc_t)xdr_dag_request, req, &call->args)
		       : CF_ENOMEM;

	if (err) {
		if (call)
			buf_free(&call->args);
		free(call);
		refuse(t, err);
		return;
	}
	call->waiter.ops = &waiter_ops;
	call->client = c;
	call->ticket = t;
	call->has_effect = dag_request_has_effect(req->kind);
	call->of_caller = is_of_caller(req->kind);
	call->attempt_s = req->kind == DAG_REQ_MEMBERS ? FINDER_ATTEMPT_S : ATTEMPT_S;
	call->deadline = clock_s() + timeout;
	ev_timer_init(&call->retry, on_retry, 0, 0);
	call->retry.data = call;
	call->next = c->calls;
	call->prev = &c->calls;
	if (c->calls)
		c->calls->prev = &call->next;
	c->calls = call;
	attempt(call);
}

uint64_t dag_client_leader(const struct dag_client *c)
{
	return c->leader;
}

double dag_client_heard(const struct dag_client *c)
{
	return c->heard;
}

/* Lists the known controllers and returns how many were written. */
size_t dag_client_nodes(const struct dag_client *c, uint64_t *ids, size_t max)
{
	size_t n = c->n < max ? c->n : max;

	for (size_t i = 0; i < n; i++)
		ids[i] = c->nodes[i].id;
	return n;
}

/*
 * Ends outstanding requests; those that may have changed something as unknown. The
 * connections end first, so that no request arrives after its end was reported.
 */
void dag_client_free(struct dag_client *c)
{
	struct client_call *next;

	if (!c)
		return;
	for (size_t i = 0; i < c->n; i++)
		rpc_client_free(c->nodes[i].client);
	c->n = 0;
	for (struct client_call *call = c->calls; call; call = next) {
		next = call->next;
		call->maybe_run = call->has_effect;
		fail_call(call);
	}
	free(c);
}
