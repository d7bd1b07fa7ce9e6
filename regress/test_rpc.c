#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <ev.h>

#include "base/err.h"
#include "base/prng.h"
#include "io/rpc_client.h"
#include "io/rpc_server.h"
#include "io/rpc_wire.h"

#define ADDRESS "127.0.0.1:20101"

enum proc { PROC_NULL = 0, PROC_ECHO = 1, PROC_HOLD = 2, PROC_ORDER = 3 };

struct server_host {
	struct rpc_server_host host;
	struct rpc_call *held;
	unsigned int orders; /* that were carried out */
};

static void serve(struct rpc_server_host *host, struct rpc_call *call)
{
	struct server_host *h = (struct server_host *)host;

	if (call->proc == PROC_ECHO || call->proc == PROC_NULL) {
		rpc_call_reply(call, 0, call->args);
	} else if (call->proc == PROC_ORDER) {
		h->orders += !rpc_call_is_abandoned(call);
		rpc_call_drop(call);
	} else {
		h->held = call;
	}
}

static const struct rpc_server_ops server_ops = {.call = serve};

struct waiter {
	struct rpc_waiter base;
	int err;
	bool ended;
	struct buf results;
};

static void on_done(struct rpc_waiter *w, int err, struct str results)
{
	struct waiter *x = (struct waiter *)w;

	x->err = err;
	x->ended = true;
	buf_set(&x->results, results);
}

static const struct rpc_waiter_ops waiter_ops = {.done = on_done};

static struct ev_loop *loop;
static struct server_host host;
static struct rpc_server *server;
static struct rpc_client *client;

static struct rpc_client *connect_with(struct str key)
{
	struct rpc_client_options opt = {.loop = loop, .member = STR("t"), .key = key};
	struct rpc_client *c = NULL;

	ck_assert_int_eq(addr_parse(STR(ADDRESS), &opt.address), 0);
	ck_assert_int_eq(rpc_client_new(&opt, &c), 0);
	return c;
}

static void open_server(void)
{
	struct rpc_server_options opt = {.loop = loop, .key = STR("secret")};

	opt.host = &host.host;
	ck_assert_int_eq(addr_parse(STR(ADDRESS), &opt.address), 0);
	ck_assert_int_eq(rpc_server_new(&opt, &server), 0);
}

static void setup(void)
{
	loop = ev_loop_new(0);
	host = (struct server_host){.host = {.ops = &server_ops}};
	open_server();
	client = connect_with(STR("secret"));
}

static void teardown(void)
{
	rpc_client_free(client);
	rpc_server_free(server);
	ev_loop_destroy(loop);
}

/* Runs the loop until the waiter has ended; the bound only ends a broken test. */
static void run_until(const struct waiter *w)
{
	for (int i = 0; i < 100000 && !w->ended; i++)
		ev_run(loop, EVRUN_ONCE);
	ck_assert(w->ended);
}

/* Guards against replies that reach another call than their own. */
START_TEST(many_outstanding_calls)
{
	static struct waiter w[500];

	for (uint32_t i = 0; i < 500; i++) {
		w[i] = (struct waiter){.base = {.ops = &waiter_ops}};
		ck_assert_int_eq(rpc_client_call(client, PROC_ECHO,
						 (struct str){(char *)&i, sizeof(i)}, 30,
						 &w[i].base),
				 0);
	}
	for (uint32_t i = 0; i < 500; i++) {
		run_until(&w[i]);
		ck_assert_int_eq(w[i].err, 0);
		ck_assert_uint_eq(w[i].results.n, sizeof(i));
		ck_assert_int_eq(memcmp(w[i].results.p, &i, sizeof(i)), 0);
		buf_free(&w[i].results);
	}
}
END_TEST

/*
 * Guards against a call that is reported as not sent and is sent later, and against one
 * that is reported as maybe run though it was never sent. The listener's queue is full,
 * so that the connection does not come about, as with a host without power.
 */
START_TEST(call_without_a_connection_is_not_sent)
{
	struct rpc_client_options opt = {
		.loop = loop, .member = STR("t"), .key = STR("secret")};
	struct waiter w = {.base = {.ops = &waiter_ops}};
	struct rpc_client *c = NULL;
	int fill[4];
	char bytes[64];
	int listener;
	int accepted = 0;

	ck_assert_int_eq(addr_parse(STR("127.0.0.1:20102"), &opt.address), 0);
	listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &(int){1}, sizeof(int));
	ck_assert_int_eq(
		bind(listener, (struct sockaddr *)&opt.address.sa, opt.address.len), 0);
	ck_assert_int_eq(listen(listener, 0), 0);
	for (size_t i = 0; i < 4; i++) {
		fill[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(fill[i], (struct sockaddr *)&opt.address.sa,
			      opt.address.len);
	}
	ck_assert_int_eq(rpc_client_new(&opt, &c), 0);
	ck_assert_int_eq(rpc_client_call(c, PROC_ECHO, STR("order"), 0.2, &w.base), 0);
	run_until(&w);
	ck_assert_int_eq(w.err, CF_EUNAVAIL);
	for (size_t i = 0; i < 4; i++)
		close(fill[i]);
	/* The kernel repeats the opening packet after one and three seconds. */
	for (int i = 0; i < 40; i++) {
		int fd = accept(listener, NULL, NULL);

		ev_run(loop, EVRUN_NOWAIT);
		usleep(100000);
		if (fd < 0)
			continue;
		accepted++;
		ck_assert_int_le(recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT), 0);
		close(fd);
	}
	ck_assert_int_gt(accepted, 0);
	rpc_client_free(c);
	close(listener);
	buf_free(&w.results);
}
END_TEST

#define POST_PERIOD 0.05 /* seconds */
#define PROBE_PERIOD 0.4 /* seconds */
#define REPLACED_MAX 3.0 /* seconds, in which a machine has to be in touch again */

static void on_post(struct ev_loop *l, struct ev_timer *t, int events)
{
	rpc_client_post(t->data, PROC_HOLD, STR("entry"));
}

/* Posts to a listener that answers nothing; returns how many connections it gets. */
static int count_connections(struct rpc_client *c, int listener, double seconds)
{
	struct ev_timer t;
	double end;
	int fds[64];
	int n = 0;

	ev_now_update(loop);
	end = ev_now(loop) + seconds;
	ev_timer_init(&t, on_post, 0, POST_PERIOD);
	t.data = c;
	ev_timer_start(loop, &t);
	while (ev_now(loop) < end) {
		ev_run(loop, EVRUN_ONCE);
		if (n < 64 && (fds[n] = accept(listener, NULL, NULL)) >= 0)
			n++;
	}
	ev_timer_stop(loop, &t);
	for (int i = 0; i < n; i++)
		close(fds[i]);
	return n;
}

static unsigned int times_silent;
static unsigned int times_heard;
static unsigned int times_replaced;

static void on_silent(struct rpc_client_host *h)
{
	times_silent++;
}

static void on_heard(struct rpc_client_host *h, unsigned int replaced)
{
	times_heard++;
	times_replaced = replaced;
}

static const struct rpc_client_ops silence_ops = {.silent = on_silent, .heard = on_heard};

/* Guards against a lost peer that is told never, or again with each connection. */
START_TEST(silent_peer_is_told_once)
{
	struct rpc_client_host silence = {.ops = &silence_ops};
	struct rpc_client_options opt = {.loop = loop,
					 .member = STR("t"),
					 .key = STR("secret"),
					 .host = &silence,
					 .probe_period = PROBE_PERIOD};
	struct rpc_client *c = NULL;
	int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	int never = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	struct rpc_server_options server_opt = {
		.host = &host.host, .loop = loop, .key = STR("secret")};
	struct rpc_server *again = NULL;
	int n;

	ck_assert_int_eq(addr_parse(STR("127.0.0.1:20135"), &opt.address), 0);
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &(int){1}, sizeof(int));
	ck_assert_int_eq(
		bind(listener, (struct sockaddr *)&opt.address.sa, opt.address.len), 0);
	ck_assert_int_eq(listen(listener, 16), 0);
	ck_assert_int_eq(rpc_client_new(&opt, &c), 0);
	times_silent = times_heard = 0;
	n = count_connections(c, listener, 2 * REPLACED_MAX);
	ck_assert_int_ge(n, 3);
	ck_assert_uint_eq(times_silent, 1);
	ck_assert_uint_eq(times_heard, 0);
	close(listener);
	server_opt.address = opt.address;
	ck_assert_int_eq(rpc_server_new(&server_opt, &again), 0);
	count_connections(c, never, REPLACED_MAX);
	ck_assert_uint_eq(times_silent, 1);
	ck_assert_uint_eq(times_heard, 1);
	ck_assert_uint_ge(times_replaced, 2);
	rpc_client_free(c);
	rpc_server_free(again);
	close(never);
}
END_TEST

/* Guards against posts for ever on a connection that has gone silent. */
START_TEST(silent_connection_is_replaced)
{
	struct rpc_client_options opt = {.loop = loop,
					 .member = STR("t"),
					 .key = STR("secret"),
					 .probe_period = PROBE_PERIOD};
	struct rpc_client *c = NULL;
	int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	ck_assert_int_eq(addr_parse(STR("127.0.0.1:20133"), &opt.address), 0);
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &(int){1}, sizeof(int));
	ck_assert_int_eq(
		bind(listener, (struct sockaddr *)&opt.address.sa, opt.address.len), 0);
	ck_assert_int_eq(listen(listener, 16), 0);
	ck_assert_int_eq(rpc_client_new(&opt, &c), 0);
	ck_assert_int_ge(count_connections(c, listener, REPLACED_MAX), 2);
	rpc_client_free(c);
	close(listener);
}
END_TEST

#define LARGE_POST (1U << 20)
#define SLOW_READ 8192	   /* bytes */
#define SLOW_PERIOD 0.03   /* seconds between two reads */
#define SMALL_BUFFER 16384 /* of the slow reader */

struct slow_reader {
	struct ev_timer timer;
	int listener;
	int fd;
	int connections;
	size_t n; /* bytes read */
};

static void on_slow_read(struct ev_loop *l, struct ev_timer *t, int events)
{
	struct slow_reader *r = t->data;
	char bytes[SLOW_READ];
	int fd = accept(r->listener, NULL, NULL);
	ssize_t n;

	if (fd >= 0) {
		r->fd = fd;
		r->connections++;
	}
	n = r->fd >= 0 ? recv(r->fd, bytes, sizeof(bytes), MSG_DONTWAIT) : 0;
	if (n > 0)
		r->n += (size_t)n;
}

/* Guards against a large message that never arrives over a slow link. */
START_TEST(slow_connection_stays)
{
	struct rpc_client_options opt = {.loop = loop,
					 .member = STR("t"),
					 .key = STR("secret"),
					 .probe_period = PROBE_PERIOD};
	struct slow_reader r = {.fd = -1};
	struct rpc_client *c = NULL;
	struct buf large = {0};

	ck_assert_int_eq(addr_parse(STR("127.0.0.1:20133"), &opt.address), 0);
	r.listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	setsockopt(r.listener, SOL_SOCKET, SO_REUSEADDR, &(int){1}, sizeof(int));
	setsockopt(r.listener, SOL_SOCKET, SO_RCVBUF, &(int){SMALL_BUFFER}, sizeof(int));
	ck_assert_int_eq(
		bind(r.listener, (struct sockaddr *)&opt.address.sa, opt.address.len), 0);
	ck_assert_int_eq(listen(r.listener, 16), 0);
	ck_assert_int_eq(rpc_client_new(&opt, &c), 0);
	ck_assert_int_eq(buf_reserve(&large, LARGE_POST), 0);
	memset(large.p, 'x', LARGE_POST);
	large.n = LARGE_POST;
	ev_timer_init(&r.timer, on_slow_read, 0, SLOW_PERIOD);
	r.timer.data = &r;
	ev_timer_start(loop, &r.timer);
	ck_assert_int_eq(rpc_client_post(c, PROC_HOLD, buf_str(&large)), 0);
	while (r.n < LARGE_POST && r.connections < 2)
		ev_run(loop, EVRUN_ONCE);
	ck_assert_int_eq(r.connections, 1);
	ev_timer_stop(loop, &r.timer);
	rpc_client_free(c);
	buf_free(&large);
	close(r.fd);
	close(r.listener);
}
END_TEST

#define CALLERS 14
#define CUT_S 7.0      /* by then the pauses between attempts are at their longest */
#define STAGGER_S 0.13 /* between callers, so that the cut heals in any phase */
/* A machine is in touch after 3 s, and the controllers' election takes up to 1.2 s. */
#define REACHED_MAX 1.5

/* A listener whose queue is full drops opening packets. */
static int listen_full(const struct addr *address, int fill[2])
{
	int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &(int){1}, sizeof(int));
	ck_assert_int_eq(
		bind(listener, (const struct sockaddr *)&address->sa, address->len), 0);
	ck_assert_int_eq(listen(listener, 0), 0);
	for (int i = 0; i < 2; i++) {
		fill[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(fill[i], (const struct sockaddr *)&address->sa,
			      address->len);
	}
	return listener;
}

static void run_loop_for(double seconds)
{
	double end = ev_time() + seconds;

	while (ev_time() < end) {
		ev_run(loop, EVRUN_NOWAIT);
		usleep(1000);
	}
}

/* Posts all the time, and notes that it has had a connection. */
struct caller {
	struct rpc_client_host host; /* first member */
	struct rpc_client *client;
	struct ev_timer timer;
	bool reached;
};

static void on_caller_up(struct rpc_client_host *h)
{
	((struct caller *)h)->reached = true;
}

static void on_caller_down(struct rpc_client_host *h)
{
}

static const struct rpc_client_ops caller_ops = {
	.up = on_caller_up,
	.down = on_caller_down,
};

static void start_caller(struct caller *c, const struct addr *address)
{
	struct rpc_client_options opt = {.loop = loop,
					 .address = *address,
					 .member = STR("t"),
					 .key = STR("secret"),
					 .host = &c->host,
					 .probe_period = PROBE_PERIOD};

	*c = (struct caller){.host = {.ops = &caller_ops}};
	ck_assert_int_eq(rpc_client_new(&opt, &c->client), 0);
	ev_timer_init(&c->timer, on_post, 0, POST_PERIOD);
	c->timer.data = c->client;
	ev_timer_start(loop, &c->timer);
}

/* Guards against a pause after a cut that is longer the longer the cut was. */
START_TEST(peer_is_reached_soon_after_a_cut)
{
	struct caller c[CALLERS];
	struct addr address;
	unsigned int reached = 0;
	int fill[2];
	int listener;

	ck_assert_int_eq(addr_parse(STR("127.0.0.1:20134"), &address), 0);
	listener = listen_full(&address, fill);
	for (int i = 0; i < CALLERS; i++) {
		start_caller(&c[i], &address);
		run_loop_for(STAGGER_S);
	}
	run_loop_for(CUT_S);
	for (int i = 0; i < CALLERS; i++)
		ck_assert(!c[i].reached);
	ck_assert_int_eq(listen(listener, 64), 0);
	run_loop_for(REACHED_MAX);
	for (int i = 0; i < CALLERS; i++) {
		reached += c[i].reached;
		ev_timer_stop(loop, &c[i].timer);
		rpc_client_free(c[i].client);
	}
	ck_assert_uint_eq(reached, CALLERS);
	close(fill[0]);
	close(fill[1]);
	close(listener);
}
END_TEST

/* Guards against a connection that is ended although the peer answers. */
START_TEST(answering_connection_stays)
{
	struct rpc_client_options opt = {.loop = loop,
					 .member = STR("t"),
					 .key = STR("secret"),
					 .probe_period = PROBE_PERIOD};
	struct rpc_client *c = NULL;
	int never = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	struct waiter w = {.base = {.ops = &waiter_ops}};

	ck_assert_int_eq(addr_parse(STR(ADDRESS), &opt.address), 0);
	ck_assert_int_eq(rpc_client_new(&opt, &c), 0);
	/* Held for longer than a silent connection lasts. */
	ck_assert_int_eq(rpc_client_call(c, PROC_HOLD, STR("x"), 30, &w.base), 0);
	count_connections(c, never, REPLACED_MAX);
	ck_assert(!w.ended);
	rpc_client_free(c);
	close(never);
}
END_TEST

/* Guards against a peer without the cluster key being served. */
START_TEST(wrong_key_is_refused)
{
	struct rpc_client *other = connect_with(STR("Secret"));
	struct waiter w = {.base = {.ops = &waiter_ops}};

	ck_assert_int_eq(rpc_client_call(other, PROC_ECHO, STR("x"), 30, &w.base), 0);
	run_until(&w);
	ck_assert_int_eq(w.err, CF_EAUTH);
	ck_assert_uint_eq(rpc_server_stats(server)->calls, 0);
	rpc_client_free(other);
	buf_free(&w.results);
}
END_TEST

/* Guards against a call that never ends when the peer does not answer. */
START_TEST(call_times_out_and_late_reply_is_dropped)
{
	struct waiter w = {.base = {.ops = &waiter_ops}};
	struct waiter w2 = {.base = {.ops = &waiter_ops}};

	ck_assert_int_eq(rpc_client_call(client, PROC_HOLD, STR("x"), 0.1, &w.base), 0);
	run_until(&w);
	ck_assert_int_eq(w.err, CF_ETIMEOUT);
	rpc_call_reply(host.held, 0, STR("late"));
	ck_assert_int_eq(rpc_client_call(client, PROC_ECHO, STR("next"), 30, &w2.base),
			 0);
	run_until(&w2);
	ck_assert_int_eq(w2.err, 0);
	ck_assert_str_eq(w2.results.p, "next");
	buf_free(&w.results);
	buf_free(&w2.results);
}
END_TEST

#define LARGE_BYTES 100000 /* more than the server reads at once */

/* Sends two calls, of which the second has a large argument, while the server waits. */
static int send_orders(size_t large)
{
	const struct rpc_call_head head = {
		.proc = PROC_ORDER, .member = STR("t"), .key = STR("secret")};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char *args = calloc(1, large + 1);
	struct buf calls = {0};
	struct addr address;

	ck_assert_ptr_nonnull(args);
	ck_assert_int_eq(addr_parse(STR(ADDRESS), &address), 0);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&address.sa, address.len), 0);
	ck_assert_int_eq(rpc_wire_add_call(&calls, &head, STR("abcd")), 0);
	ck_assert_int_eq(rpc_wire_add_call(&calls, &head, (struct str){args, large}), 0);
	ck_assert_int_eq(write(fd, calls.p, calls.n), (ssize_t)calls.n);
	buf_free(&calls);
	free(args);
	return fd;
}

/* Lets the server read what waits. */
static void run_rounds(void)
{
	for (int i = 0; i < 20; i++)
		ev_run(loop, EVRUN_NOWAIT);
}

/* Guards against orders that are carried out although their caller has gone. */
START_TEST(call_of_a_closed_connection_is_abandoned)
{
	for (int reset = 0; reset < 2; reset++) {
		for (int large = 0; large < 2; large++) {
			struct linger drop = {.l_onoff = reset};
			int fd = send_orders(large ? LARGE_BYTES : 4);

			setsockopt(fd, SOL_SOCKET, SO_LINGER, &drop, sizeof(drop));
			close(fd);
			run_rounds();
			ck_assert_msg(host.orders == 0, "reset %d, large %d: %u orders",
				      reset, large, host.orders);
		}
	}
	ck_assert_uint_gt(rpc_server_stats(server)->abandoned, 0);
	ck_assert_uint_eq(rpc_server_stats(server)->abandoned,
			  rpc_server_stats(server)->calls);
}
END_TEST

/* Guards against orders that are refused although their caller waits. */
START_TEST(call_of_an_open_connection_is_not_abandoned)
{
	for (unsigned int large = 0; large < 2; large++) {
		int fd = send_orders(large ? LARGE_BYTES : 4);

		run_rounds();
		ck_assert_uint_eq(host.orders, 2 * (large + 1));
		close(fd);
	}
	ck_assert_uint_eq(rpc_server_stats(server)->abandoned, 0);
}
END_TEST

/* Guards against a call that is answered after its connection ended. */
START_TEST(reply_after_disconnect)
{
	struct waiter w = {.base = {.ops = &waiter_ops}};

	ck_assert_int_eq(rpc_client_call(client, PROC_HOLD, STR("x"), 30, &w.base), 0);
	while (!host.held)
		ev_run(loop, EVRUN_ONCE);
	rpc_client_free(client);
	ev_run(loop, EVRUN_ONCE);
	rpc_call_reply(host.held, 0, STR("nobody"));
	client = connect_with(STR("secret"));
}
END_TEST

/* Guards against calls to a restarted peer that the earlier life's connection ends. */
START_TEST(restarted_peer_is_called_anew)
{
	struct waiter w = {.base = {.ops = &waiter_ops}};
	struct waiter w2 = {.base = {.ops = &waiter_ops}};
	struct rpc_call *held;
	uint32_t xid;

	ck_assert_int_eq(rpc_client_call(client, PROC_HOLD, STR("x"), 30, &w.base), 0);
	while (!host.held)
		ev_run(loop, EVRUN_ONCE);
	held = host.held;
	xid = held->xid;
	rpc_server_free(server);
	open_server();
	run_until(&w);
	ck_assert_int_eq(w.err, CF_ECONN);
	rpc_call_reply(held, 0, STR("earlier life"));
	while (rpc_client_call(client, PROC_HOLD, STR("y"), 30, &w2.base)) {
		usleep(1000);
		ev_now_update(loop);
	}
	host.held = NULL;
	while (!host.held && !w2.ended)
		ev_run(loop, EVRUN_ONCE);
	ck_assert_ptr_nonnull(host.held);
	ck_assert_uint_ne(host.held->xid, xid);
	ck_assert(str_eq(host.held->member, STR("t"))); /* shown again */
	rpc_call_reply(host.held, 0, STR("this life"));
	run_until(&w2);
	ck_assert_int_eq(w2.err, 0);
	ck_assert_str_eq(w2.results.p, "this life");
	buf_free(&w.results);
	buf_free(&w2.results);
}
END_TEST

/* Guards against a connection that never showed a credential being served. */
START_TEST(first_call_needs_a_credential)
{
	const struct rpc_call_head head = {.xid = 5, .proc = PROC_ECHO};
	struct rpc_reply_head reply;
	struct addr address;
	struct buf call = {0};
	struct str record;
	struct str results;
	char bytes[256];
	size_t used;
	ssize_t n;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(addr_parse(STR(ADDRESS), &address), 0);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&address.sa, address.len), 0);
	ck_assert_int_eq(rpc_wire_add_call(&call, &head, STR("abcd")), 0);
	ck_assert_int_eq(write(fd, call.p, call.n), (ssize_t)call.n);
	while (rpc_server_stats(server)->refused == 0)
		ev_run(loop, EVRUN_ONCE);
	n = read(fd, bytes, sizeof(bytes));
	ck_assert_int_gt(n, 0);
	ck_assert_int_eq(rpc_wire_next((struct str){bytes, (size_t)n}, &record, &used),
			 0);
	ck_assert_int_eq(rpc_wire_parse_reply(record, &reply, &results), 0);
	ck_assert_int_eq(reply.err, CF_EAUTH);
	ck_assert_uint_eq(rpc_server_stats(server)->calls, 0);
	buf_free(&call);
	close(fd);
}
END_TEST

/*
 * Guards against a server that accepts one connection in each round of its loop. On a day
 * with 147 gateways all machines restarted at once; a round of the new leader took tens
 * of milliseconds, gateways timed out and connected again, and half of them were not
 * served any more.
 */
START_TEST(waiting_connections_are_accepted_together)
{
	uint32_t bad[] = {htonl(0x80000000U | 8), 1, 2};
	struct addr address;
	int fds[150];

	ck_assert_int_eq(addr_parse(STR(ADDRESS), &address), 0);
	for (size_t i = 0; i < 150; i++) {
		fds[i] = socket(AF_INET, SOCK_STREAM, 0);
		ck_assert_int_eq(
			connect(fds[i], (struct sockaddr *)&address.sa, address.len), 0);
		ck_assert_int_eq(write(fds[i], bad, sizeof(bad)), (ssize_t)sizeof(bad));
	}
	/* One round accepts, the next ones read; epoll reports 64 events at a time first.
	 */
	for (int round = 0; round < 6; round++)
		ev_run(loop, EVRUN_NOWAIT);
	ck_assert_uint_eq(rpc_server_stats(server)->malformed, 150);
	for (size_t i = 0; i < 150; i++)
		close(fds[i]);
}
END_TEST

/* Guards against a bad record being skipped instead of ending the connection. */
START_TEST(malformed_record_closes_connection)
{
	struct addr address;
	char byte;
	uint32_t bad[] = {htonl(0x80000000U | 8), 1, 2};
	uint32_t huge[] = {htonl(0x80000000U | (RPC_MAX_RECORD + 1))};
	const void *const inputs[] = {bad, huge};
	const size_t sizes[] = {sizeof(bad), sizeof(huge)};

	ck_assert_int_eq(addr_parse(STR(ADDRESS), &address), 0);
	for (int i = 0; i < 2; i++) {
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		ck_assert_int_eq(connect(fd, (struct sockaddr *)&address.sa, address.len),
				 0);
		ck_assert_int_eq(write(fd, inputs[i], sizes[i]), (ssize_t)sizes[i]);
		while (rpc_server_stats(server)->malformed == (uint64_t)i)
			ev_run(loop, EVRUN_ONCE);
		ck_assert_int_le(read(fd, &byte, 1), 0);
		close(fd);
	}
}
END_TEST

/* Guards against reads outside a record for arbitrary bytes. */
START_TEST(random_bytes_are_handled)
{
	struct prng r = {.state = 7};

	for (int i = 0; i < 20000; i++) {
		struct rpc_cred_space space;
		struct rpc_call_head call;
		struct rpc_reply_head reply;
		struct buf valid = {0};
		struct str body;
		struct str record;
		size_t used;

		ck_assert_int_eq(
			rpc_wire_add_call(&valid,
					  &(struct rpc_call_head){.xid = 1,
								  .proc = 1,
								  .member = STR("m"),
								  .key = STR("k")},
					  STR("12345678")),
			0);
		ck_assert_int_eq(rpc_wire_next(buf_str(&valid), &record, &used), 0);
		for (int k = 0; k < 3; k++)
			valid.p[prng_below(&r, valid.n)] = (char)prng_next(&r);
		record.n = prng_below(&r, record.n + 1);
		rpc_wire_parse_call(record, &space, &call, &body);
		rpc_wire_parse_reply(record, &reply, &body);
		rpc_wire_next(buf_str(&valid), &record, &used);
		buf_free(&valid);
	}
}
END_TEST

#define MANY (RPC_MAX_UNAUTHENTICATED + 44)

/*
 * Guards against connections without the cluster key that take all descriptors, and
 * against one of a member that is ended for them.
 */
START_TEST(connections_without_key_are_few)
{
	struct waiter w = {.base = {.ops = &waiter_ops}};
	struct waiter w2 = {.base = {.ops = &waiter_ops}};
	struct addr address;
	size_t open = 0;
	char byte;
	int fds[MANY];

	ck_assert_int_eq(rpc_client_call(client, PROC_ECHO, STR("x"), 5, &w.base), 0);
	run_until(&w);
	ck_assert_int_eq(addr_parse(STR(ADDRESS), &address), 0);
	for (size_t i = 0; i < MANY; i++) {
		fds[i] = socket(AF_INET, SOCK_STREAM, 0);
		ck_assert_int_eq(
			connect(fds[i], (struct sockaddr *)&address.sa, address.len), 0);
		ev_run(loop, EVRUN_NOWAIT);
	}
	for (int i = 0; i < 20; i++)
		ev_run(loop, EVRUN_NOWAIT);
	ck_assert_uint_eq(rpc_server_stats(server)->strangers,
			  MANY - RPC_MAX_UNAUTHENTICATED);
	for (size_t i = 0; i < MANY; i++) {
		open += recv(fds[i], &byte, 1, MSG_DONTWAIT) < 0 && errno == EAGAIN;
		close(fds[i]);
	}
	ck_assert_uint_eq(open, RPC_MAX_UNAUTHENTICATED);
	ck_assert_int_eq(rpc_client_call(client, PROC_ECHO, STR("x"), 5, &w2.base), 0);
	run_until(&w2);
	ck_assert_int_eq(w2.err, 0);
	buf_free(&w.results);
	buf_free(&w2.results);
}
END_TEST

#define LARGE (1U << 20) /* bytes of a first call */

/*
 * Guards against the memory of records that are announced without the cluster key (_i 0:
 * with none, 1: with a wrong one, 2: no call at all), and against a member's large first
 * call that is refused (3).
 */
START_TEST(large_first_record_needs_the_key)
{
	struct rpc_call_head head = {.xid = 5, .proc = PROC_ECHO, .member = STR("m")};
	struct buf call = {0};
	struct addr address;
	char *args = calloc(1, LARGE);
	size_t sent = 0;
	ssize_t n = 0;
	char byte;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_ptr_nonnull(args);
	head.key = _i == 3 ? STR("secret") : STR("other");
	if (_i == 0)
		head.member.n = 0;
	ck_assert_int_eq(rpc_wire_add_call(&call, &head, (struct str){args, LARGE}), 0);
	if (_i == 2)
		memset(call.p + RPC_MARK_BYTES, 'x', call.n - RPC_MARK_BYTES);
	ck_assert_int_eq(addr_parse(STR(ADDRESS), &address), 0);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&address.sa, address.len), 0);
	while (rpc_server_stats(server)->calls == 0) {
		n = send(fd, call.p + sent, call.n - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
		if (n > 0)
			sent += (size_t)n;
		ev_run(loop, EVRUN_NOWAIT);
		n = recv(fd, &byte, 1, MSG_DONTWAIT);
		if (n == 0 || (n < 0 && errno != EAGAIN))
			break;
	}
	ck_assert_uint_eq(rpc_server_stats(server)->calls, _i == 3);
	ck_assert_uint_eq(rpc_server_stats(server)->refused, _i < 2);
	ck_assert_uint_eq(rpc_server_stats(server)->malformed, _i == 2);
	buf_free(&call);
	free(args);
	close(fd);
}
END_TEST

#define IDLE_S 0.5	       /* of the server */
#define ENDED_MAX (2 * IDLE_S) /* until a silent connection is ended */
#define USE_PERIOD_S 0.2       /* of the connection in use */

static struct rpc_server *open_idle_server(struct addr *address)
{
	struct rpc_server_options opt = {.loop = loop,
					 .host = &host.host,
					 .key = STR("secret"),
					 .idle_timeout = IDLE_S};
	struct rpc_server *s = NULL;

	ck_assert_int_eq(addr_parse(STR("127.0.0.1:20136"), &opt.address), 0);
	ck_assert_int_eq(rpc_server_new(&opt, &s), 0);
	*address = opt.address;
	return s;
}

/* A connection that carries one call, if any, and nothing more. */
static int connect_silent(const struct addr *address, const struct rpc_call_head *call)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct buf bytes = {0};

	ck_assert_int_eq(connect(fd, (const struct sockaddr *)&address->sa, address->len),
			 0);
	if (call) {
		ck_assert_int_eq(rpc_wire_add_call(&bytes, call, STR("")), 0);
		ck_assert_int_eq(write(fd, bytes.p, bytes.n), (ssize_t)bytes.n);
	}
	buf_free(&bytes);
	return fd;
}

static bool is_ended(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_DONTWAIT) == 0;
}

static struct rpc_client *connect_to(const struct addr *address,
				     struct rpc_client_host *client_host)
{
	struct rpc_client_options opt = {.loop = loop,
					 .address = *address,
					 .member = STR("t"),
					 .key = STR("secret"),
					 .host = client_host};
	struct rpc_client *c = NULL;

	ck_assert_int_eq(rpc_client_new(&opt, &c), 0);
	return c;
}

static unsigned int times_down;

static void on_down(struct rpc_client_host *h)
{
	times_down++;
}

static const struct rpc_client_ops down_ops = {.down = on_down};

/* Guards against descriptors that silent connections keep for good. */
START_TEST(silent_connections_are_ended)
{
	struct rpc_call_head hold = {
		.xid = 1, .proc = PROC_HOLD, .member = STR("t"), .key = STR("secret")};
	struct rpc_client_host down = {.ops = &down_ops};
	struct rpc_client *used;
	struct rpc_server *s;
	struct addr address;
	int fds[2];

	s = open_idle_server(&address);
	used = connect_to(&address, &down);
	times_down = 0;
	fds[0] = connect_silent(&address, NULL);
	fds[1] = connect_silent(&address, &hold);
	for (int i = 0; i < ENDED_MAX / USE_PERIOD_S; i++) {
		ck_assert_int_eq(rpc_client_post(used, PROC_ORDER, STR("")), 0);
		run_loop_for(USE_PERIOD_S);
	}
	ck_assert_ptr_nonnull(host.held);
	ck_assert(is_ended(fds[0]));
	ck_assert(is_ended(fds[1]));
	ck_assert_uint_eq(times_down, 0);
	/* The call outlives its connection. */
	rpc_call_reply(host.held, 0, STR(""));
	rpc_client_free(used);
	rpc_server_free(s);
	close(fds[0]);
	close(fds[1]);
}
END_TEST

/* Guards against a call that is lost as its connection was not in use for long. */
START_TEST(call_after_an_idle_time_is_answered)
{
	struct rpc_client_host down = {.ops = &down_ops};
	struct rpc_client *c;
	struct rpc_server *s;
	struct addr address;

	s = open_idle_server(&address);
	c = connect_to(&address, &down);
	times_down = 0;
	for (int i = 0; i < 2; i++) {
		struct waiter w = {.base = {.ops = &waiter_ops}};

		ck_assert_int_eq(rpc_client_call(c, PROC_ECHO, STR("x"), 1, &w.base), 0);
		run_until(&w);
		ck_assert_int_eq(w.err, 0);
		buf_free(&w.results);
		run_loop_for(ENDED_MAX);
	}
	ck_assert_uint_eq(times_down, 2);
	rpc_client_free(c);
	rpc_server_free(s);
}
END_TEST

/* Guards against an idle connection that is ended with a call that was not read yet. */
START_TEST(call_that_waits_to_be_read_is_served)
{
	struct rpc_client *c;
	struct rpc_server *s;
	struct addr address;
	struct waiter w = {.base = {.ops = &waiter_ops}};

	s = open_idle_server(&address);
	c = connect_to(&address, NULL);
	ck_assert_int_eq(rpc_client_call(c, PROC_ECHO, STR("x"), 1, &w.base), 0);
	run_until(&w);
	buf_free(&w.results);
	/* This process is paused, time and again, while a call arrives. */
	for (int i = 0; i < 8; i++) {
		ev_now_update(loop);
		w = (struct waiter){.base = {.ops = &waiter_ops}};
		ck_assert_int_eq(rpc_client_call(c, PROC_ECHO, STR("x"), 5, &w.base), 0);
		usleep((useconds_t)(IDLE_S * 1e6));
		run_until(&w);
		ck_assert_int_eq(w.err, 0);
		buf_free(&w.results);
	}
	rpc_client_free(c);
	rpc_server_free(s);
}
END_TEST

#define FULL_S 1.0	       /* without a free descriptor */
#define FULL_MAX_ROUNDS 50U    /* of the loop in this time */
#define ACCEPTED_AGAIN_MAX 0.5 /* seconds after one is free */

/* Guards against a busy loop while no descriptor is free, and an acceptor that stops. */
START_TEST(full_descriptor_table_is_waited_for)
{
	struct rlimit old;
	struct rlimit full;
	struct addr address;
	unsigned int rounds = 0;
	double end;
	int fd;

	ck_assert_int_eq(addr_parse(STR(ADDRESS), &address), 0);
	ck_assert_int_eq(getrlimit(RLIMIT_NOFILE, &old), 0);
	fd = connect_silent(&address, NULL);
	full = old;
	full.rlim_cur = (rlim_t)fd + 1;
	ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &full), 0);
	end = ev_time() + FULL_S;
	while (ev_time() < end) {
		ev_run(loop, EVRUN_ONCE);
		rounds++;
	}
	ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &old), 0);
	ck_assert_uint_lt(rounds, FULL_MAX_ROUNDS);
	close(fd);
	fd = connect_silent(&address, &(struct rpc_call_head){.xid = 1,
							      .proc = PROC_HOLD,
							      .member = STR("t"),
							      .key = STR("secret")});
	run_loop_for(ACCEPTED_AGAIN_MAX);
	ck_assert_ptr_nonnull(host.held);
	rpc_call_drop(host.held);
	close(fd);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("rpc");
	TCase *tc = tcase_create("rpc");
	SRunner *sr;
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 120);
	tcase_add_test(tc, many_outstanding_calls);
	tcase_add_test(tc, call_without_a_connection_is_not_sent);
	tcase_add_test(tc, silent_connection_is_replaced);
	tcase_add_test(tc, slow_connection_stays);
	tcase_add_test(tc, silent_peer_is_told_once);
	tcase_add_test(tc, peer_is_reached_soon_after_a_cut);
	tcase_add_test(tc, answering_connection_stays);
	tcase_add_test(tc, wrong_key_is_refused);
	tcase_add_test(tc, first_call_needs_a_credential);
	tcase_add_test(tc, call_times_out_and_late_reply_is_dropped);
	tcase_add_test(tc, call_of_a_closed_connection_is_abandoned);
	tcase_add_test(tc, call_of_an_open_connection_is_not_abandoned);
	tcase_add_test(tc, reply_after_disconnect);
	tcase_add_test(tc, restarted_peer_is_called_anew);
	tcase_add_test(tc, waiting_connections_are_accepted_together);
	tcase_add_test(tc, malformed_record_closes_connection);
	tcase_add_test(tc, connections_without_key_are_few);
	tcase_add_loop_test(tc, large_first_record_needs_the_key, 0, 4);
	tcase_add_test(tc, random_bytes_are_handled);
	tcase_add_test(tc, silent_connections_are_ended);
	tcase_add_test(tc, call_after_an_idle_time_is_answered);
	tcase_add_test(tc, call_that_waits_to_be_read_is_served);
	tcase_add_test(tc, full_descriptor_table_is_waited_for);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
