/* RPC records, and bytes on a connection beside another connection. */
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>

#include "base/err.h"
#include "io/rpc_client.h"
#include "io/rpc_server.h"
#include "io/rpc_wire.h"
#include "regress/lib_fuzz.h"

#define ADDRESS "127.0.0.1:20470"
#define KEY "secret"
#define N_RECORDS 80000
#define N_CONNECTIONS 4000
#define ECHO_EVERY 20 /* connections of the fuzz program */
#define ROUNDS 3      /* of the loop for each of them */

static void add_call(struct fuzz *f, uint32_t proc, struct str member, struct str args)
{
	struct rpc_call_head head = {
		.xid = 7, .proc = proc, .member = member, .key = STR(KEY)};
	struct buf bytes = {0};

	FUZZ_MUST((rpc_wire_add_call(&bytes, &head, args)) == 0);
	fuzz_add(f, buf_str(&bytes));
	/* Two records in one write. */
	head.member.n = 0;
	FUZZ_MUST((rpc_wire_add_call(&bytes, &head, args)) == 0);
	fuzz_add(f, buf_str(&bytes));
	buf_free(&bytes);
}

static void add_reply(struct fuzz *f, int err)
{
	struct rpc_reply_head head = {.xid = 7, .err = err};
	struct buf bytes = {0};

	FUZZ_MUST((rpc_wire_add_reply(&bytes, &head, STR("result"))) == 0);
	fuzz_add(f, buf_str(&bytes));
	buf_free(&bytes);
}

static void add_records(struct fuzz *f)
{
	add_call(f, 1, STR("m"), STR("12345678"));
	add_call(f, 2, STR("member-with-a-longer-name"), STR(""));
	add_call(f, 3, STR(""), STR("args"));
	add_reply(f, 0);
	add_reply(f, CF_EAUTH);
	add_reply(f, CF_EINVAL);
	add_reply(f, CF_EIO);
}

/* A call that was accepted is written and read as the same. */
static void check_call(struct fuzz *f, struct str record)
{
	struct rpc_cred_space space, space_again;
	struct rpc_call_head head, again;
	struct str args, args_again, next;
	struct buf bytes = {0};
	size_t used;

	if (rpc_wire_parse_call(record, &space, &head, &args))
		return;
	f->accepted++;
	if (!head.member.n)
		head.key.n = 0;
	FUZZ_CHECK(f, rpc_wire_add_call(&bytes, &head, args) == 0);
	FUZZ_CHECK(f, rpc_wire_next(buf_str(&bytes), &next, &used) == 0 && used);
	FUZZ_CHECK(f, rpc_wire_parse_call(next, &space_again, &again, &args_again) == 0);
	FUZZ_CHECK(f, again.xid == head.xid && again.proc == head.proc);
	FUZZ_CHECK(f, str_eq(again.member, head.member) && str_eq(args_again, args));
	FUZZ_CHECK(f, !head.member.n || str_eq(again.key, head.key));
	buf_free(&bytes);
}

static void check_reply(struct fuzz *f, struct str record)
{
	struct rpc_reply_head head, again;
	struct str results, results_again, next;
	struct buf bytes = {0};
	size_t used;

	if (rpc_wire_parse_reply(record, &head, &results))
		return;
	f->accepted++;
	FUZZ_CHECK(f, rpc_wire_add_reply(&bytes, &head, results) == 0);
	FUZZ_CHECK(f, rpc_wire_next(buf_str(&bytes), &next, &used) == 0 && used);
	FUZZ_CHECK(f, rpc_wire_parse_reply(next, &again, &results_again) == 0);
	FUZZ_CHECK(f, again.xid == head.xid && again.err == head.err);
	FUZZ_CHECK(f, str_eq(results_again, results));
	buf_free(&bytes);
}

/* Guards against a record that ends a process or is taken for another. */
START_TEST(records)
{
	struct str input;
	struct fuzz f;

	fuzz_open(&f, "rpc_records", N_RECORDS);
	add_records(&f);
	while (fuzz_next(&f, &input)) {
		struct str record;
		size_t used;

		while (rpc_wire_next(input, &record, &used) == 0 && used) {
			FUZZ_CHECK(&f, used <= input.n);
			check_call(&f, record);
			check_reply(&f, record);
			input.p += used;
			input.n -= used;
		}
	}
	fuzz_close(&f);
}
END_TEST

static void echo(struct rpc_server_host *host, struct rpc_call *call)
{
	rpc_call_reply(call, 0, call->args);
}

static const struct rpc_server_ops server_ops = {.call = echo};

struct waiter {
	struct rpc_waiter base; /* first member */
	bool ended;
	int err;
};

static void on_done(struct rpc_waiter *w, int err, struct str results)
{
	((struct waiter *)w)->ended = true;
	((struct waiter *)w)->err = err;
}

static const struct rpc_waiter_ops waiter_ops = {.done = on_done};

/* A call on the other connection is answered. */
static void check_echo(struct fuzz *f, struct ev_loop *loop, struct rpc_client *client)
{
	struct waiter w = {.base = {.ops = &waiter_ops}};

	FUZZ_MUST((rpc_client_call(client, 1, STR("echo"), 10, &w.base)) == 0);
	for (int i = 0; i < 100000 && !w.ended; i++)
		ev_run(loop, EVRUN_ONCE);
	FUZZ_CHECK(f, w.ended && w.err == 0);
}

static void send_bytes(struct ev_loop *loop, const struct addr *to, struct str bytes)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct linger drop = {.l_onoff = 1, .l_linger = 0};

	ck_assert_int_ge(fd, 0);
	FUZZ_MUST((connect(fd, (const struct sockaddr *)&to->sa, to->len)) == 0);
	send(fd, bytes.p, bytes.n, MSG_NOSIGNAL);
	for (int i = 0; i < ROUNDS; i++)
		ev_run(loop, EVRUN_NOWAIT);
	/* Thousands of closed connections would else hold their ports. */
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &drop, sizeof(drop));
	close(fd);
}

/* Guards against bytes on one connection that end others or the process. */
START_TEST(connections)
{
	struct rpc_server_host host = {.ops = &server_ops};
	struct rpc_server_options opt = {.host = &host, .key = STR(KEY)};
	struct rpc_client_options client_opt = {.member = STR("t"), .key = STR(KEY)};
	struct ev_loop *loop = ev_loop_new(0);
	struct rpc_server *server;
	struct rpc_client *client;
	struct str input;
	struct fuzz f;

	opt.loop = loop;
	client_opt.loop = loop;
	FUZZ_MUST((addr_parse(STR(ADDRESS), &opt.address)) == 0);
	client_opt.address = opt.address;
	FUZZ_MUST((rpc_server_new(&opt, &server)) == 0);
	FUZZ_MUST((rpc_client_new(&client_opt, &client)) == 0);
	fuzz_open(&f, "rpc_connections", N_CONNECTIONS);
	add_records(&f);
	while (fuzz_next(&f, &input)) {
		send_bytes(loop, &opt.address, input);
		if (f.inputs % ECHO_EVERY == 0)
			check_echo(&f, loop, client);
	}
	f.accepted = rpc_server_stats(server)->calls;
	ck_assert_uint_gt(rpc_server_stats(server)->malformed, 0);
	fuzz_close(&f);
	rpc_client_free(client);
	rpc_server_free(server);
	ev_loop_destroy(loop);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {records, connections};

	return fuzz_main("fuzz_rpc", tests, sizeof(tests) / sizeof(tests[0]));
}
