#include <check.h>
#include <stdlib.h>

#include <ev.h>

#include "base/err.h"
#include "carawayfrontd/member_join.h"
#include "io/clock.h"
#include "io/rpc_server.h"
#include "proto/codec.h"
#include "proto/command.h"
#include "proto/peer.h"

#define LEADER_ADDRESS "127.0.0.1:20131"
#define ENTRY_ADDRESS "127.0.0.1:20132"
#define HOUR_US 3600000000ULL
/* Each is an entry of the replicated log. */
#define MAX_REGISTRATIONS 64U

/* A leader that knows an incarnation of the entry process, which is gone. */
struct leader {
	struct rpc_server_host host; /* first member */
	struct rpc_server *server;
	uint64_t gone;
	uint64_t accepted; /* newest incarnation, 0: none */
	unsigned int calls;
};

static struct ev_loop *loop;
static struct leader leader;
static struct settings_member item;
static struct settings settings;
static struct leader_client client;
static struct member_join *join;
static uint64_t incarnation;

static uint64_t read_incarnation(struct str args)
{
	struct peer_propose_args outer = {0};
	struct command cmd = {0};
	uint64_t n;

	ck_assert_int_eq(codec_decode((xdrproc_t)xdr_peer_propose_args, &outer, args), 0);
	ck_assert_int_eq(
		codec_decode((xdrproc_t)xdr_command, &cmd, XDR_STR(outer, command)), 0);
	ck_assert_int_eq(cmd.body.kind, CMD_MEMBER_ENTRY);
	n = cmd.body.command_body_u.member_entry.incarnation;
	codec_free((xdrproc_t)xdr_command, &cmd);
	codec_free((xdrproc_t)xdr_peer_propose_args, &outer);
	return n;
}

static void serve(struct rpc_server_host *host, struct rpc_call *call)
{
	struct leader *l = (struct leader *)host;
	uint64_t n = read_incarnation(call->args);
	struct command_result result = {.err = n <= l->gone ? CF_ESTALE : 0};
	struct peer_propose_res res = {0};
	struct buf inner = {0};
	struct buf outer = {0};

	l->calls++;
	if (!result.err)
		l->accepted = n;
	ck_assert_int_eq(codec_encode((xdrproc_t)xdr_command_result, &result, &inner), 0);
	XDR_SET(res, result, buf_str(&inner));
	ck_assert_int_eq(codec_encode((xdrproc_t)xdr_peer_propose_res, &res, &outer), 0);
	rpc_call_reply(call, 0, buf_str(&outer));
	buf_free(&inner);
	buf_free(&outer);
}

static const struct rpc_server_ops server_ops = {.call = serve};

static void setup(void)
{
	struct rpc_server_options opt = {.key = STR("secret"), .host = &leader.host};

	loop = ev_loop_new(0);
	leader = (struct leader){.host = {.ops = &server_ops}};
	item.name = STR("s0");
	ck_assert_int_eq(addr_parse(STR(LEADER_ADDRESS), &item.address), 0);
	opt.loop = loop;
	opt.address = item.address;
	ck_assert_int_eq(rpc_server_new(&opt, &leader.server), 0);
	settings = (struct settings){.name = STR("e1"), .cluster_key = STR("secret")};
	ck_assert_int_eq(addr_parse(STR(ENTRY_ADDRESS), &settings.listen.rpc), 0);
	settings.state.items = &item;
	settings.state.n = 1;
	ck_assert_int_eq(leader_client_init(&client, loop, &settings), 0);
}

static void teardown(void)
{
	member_join_free(join);
	leader_client_destroy(&client);
	rpc_server_free(leader.server);
	ev_loop_destroy(loop);
}

/* A process starts and runs until it is registered or has tried too often. */
static void play_start(void)
{
	struct member_join_options opt = {.loop = loop,
					  .settings = &settings,
					  .leader = &client,
					  .incarnation = &incarnation};

	incarnation = (uint64_t)clock_wall_us();
	ck_assert_int_eq(member_join_new(&opt, &join), 0);
	while (!member_join_done(join) && leader.calls <= MAX_REGISTRATIONS)
		ev_run(loop, EVRUN_ONCE);
}

/* Guards against a process that cannot join before its clock passes its former life's. */
START_TEST(process_joins_after_its_clock_was_set_back)
{
	leader.gone = (uint64_t)clock_wall_us() + HOUR_US;
	play_start();
	ck_assert(member_join_done(join));
	ck_assert_uint_eq(leader.accepted, incarnation);
	ck_assert_uint_lt(incarnation, leader.gone + 2 * HOUR_US);
}
END_TEST

/* Guards against a process that goes on under an incarnation that was declared gone. */
START_TEST(process_that_is_gone_joins_again)
{
	uint64_t first;

	play_start();
	first = leader.accepted;
	ck_assert_uint_eq(first, incarnation);
	leader.gone = first;
	member_join_again(join);
	ck_assert(!member_join_done(join));
	while (!member_join_done(join) && leader.calls <= MAX_REGISTRATIONS)
		ev_run(loop, EVRUN_ONCE);
	ck_assert_uint_gt(leader.accepted, first);
	ck_assert_uint_eq(leader.accepted, incarnation);
	ck_assert_uint_eq(leader.calls, 2);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("member_join");
	TCase *tc = tcase_create("join");
	SRunner *sr;
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, process_joins_after_its_clock_was_set_back);
	tcase_add_test(tc, process_that_is_gone_joins_again);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
