#include <check.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <ev.h>

#include "base/err.h"
#include "carawayfrontd/leader_client.h"
#include "io/rpc_server.h"
#include "proto/codec.h"
#include "proto/peer.h"

#define MEMBERS 3
#define FIRST_PORT 20121

/* A state process that answers, names another leader, or is silent. */
struct member {
	struct rpc_server_host host; /* first member */
	struct rpc_server *server;
	const char *leader;  /* NULL: this one leads */
	unsigned int silent; /* calls left without an answer */
	unsigned int calls;
	struct rpc_conn *first; /* the first connection */
	bool first_silent;
};

struct caller {
	struct leader_call call; /* first member */
	bool ended;
	int err;
};

static struct ev_loop *loop;
static struct member member[MEMBERS];
static struct settings_member item[MEMBERS];
static struct settings settings;
static struct leader_client client;

static void serve(struct rpc_server_host *host, struct rpc_call *call)
{
	struct member *m = (struct member *)host;
	struct peer_propose_res res = {.err = m->leader ? CF_ENOTLEADER : 0};
	struct buf bytes = {0};

	m->calls++;
	if (!m->first)
		m->first = call->conn;
	if (m->first_silent && call->conn == m->first) {
		rpc_call_drop(call);
		return;
	}
	if (m->silent) {
		m->silent--;
		rpc_call_drop(call);
		return;
	}
	XDR_SET(res, leader, str_from(m->leader ? m->leader : ""));
	ck_assert_int_eq(codec_encode((xdrproc_t)xdr_peer_propose_res, &res, &bytes), 0);
	rpc_call_reply(call, 0, buf_str(&bytes));
	buf_free(&bytes);
}

static const struct rpc_server_ops server_ops = {.call = serve};

static void on_done(struct leader_call *call, int err, struct str results)
{
	struct caller *c = (struct caller *)call;

	c->ended = true;
	c->err = err;
}

static const struct leader_call_ops call_ops = {.done = on_done};

static void setup(void)
{
	static const char *const names[MEMBERS] = {"s0", "s1", "s2"};

	loop = ev_loop_new(0);
	for (int i = 0; i < MEMBERS; i++) {
		struct rpc_server_options opt = {.loop = loop, .key = STR("secret")};
		char text[32];

		snprintf(text, sizeof(text), "127.0.0.1:%d", FIRST_PORT + i);
		item[i].name = str_from(names[i]);
		ck_assert_int_eq(addr_parse(str_from(text), &item[i].address), 0);
		member[i] = (struct member){.host = {.ops = &server_ops},
					    .leader = i ? "s0" : NULL};
		opt.host = &member[i].host;
		opt.address = item[i].address;
		ck_assert_int_eq(rpc_server_new(&opt, &member[i].server), 0);
	}
	settings = (struct settings){.name = STR("e1"), .cluster_key = STR("secret")};
	settings.state.items = item;
	settings.state.n = MEMBERS;
	ck_assert_int_eq(leader_client_init(&client, loop, &settings), 0);
}

static void teardown(void)
{
	leader_client_destroy(&client);
	for (int i = 0; i < MEMBERS; i++)
		rpc_server_free(member[i].server);
	ev_loop_destroy(loop);
}

static void start(struct caller *c, double timeout, double attempt)
{
	*c = (struct caller){.call = {.ops = &call_ops}};
	ev_now_update(loop);
	ck_assert_int_eq(leader_call_start(&client, &c->call, PEER_PROPOSE, STR("x"),
					   timeout, attempt),
			 0);
}

/* Runs the loop until the call has ended; the bound only ends a broken test. */
static void run_until(const struct caller *c)
{
	for (int i = 0; i < 100000 && !c->ended; i++)
		ev_run(loop, EVRUN_ONCE);
	ck_assert(c->ended);
}

/* Guards against a leader that is taken for lost because one of its answers is late. */
START_TEST(slow_leader_is_asked_again)
{
	struct caller late;
	struct caller other;

	start(&other, 5, 5);
	run_until(&other);
	member[0].silent = 1;
	start(&late, 1.4, 0.5);
	start(&other, 5, 5);
	run_until(&other);
	run_until(&late);
	ck_assert_int_eq(late.err, 0);
}
END_TEST

/* Guards against a leader that is taken for lost because a call had little time. */
START_TEST(short_call_blames_no_process)
{
	struct caller late;
	struct caller next;

	member[0].silent = 1;
	start(&late, 0.2, 1);
	run_until(&late);
	ck_assert_int_eq(late.err, CF_EUNKNOWN);
	start(&next, 0.8, 0.8);
	run_until(&next);
	ck_assert_int_eq(next.err, 0);
	ck_assert_uint_eq(member[1].calls + member[2].calls, 0);
}
END_TEST

/* Guards against calls that start again and again at a process that is lost. */
START_TEST(lost_leader_is_not_asked_first)
{
	struct caller late;
	struct caller next;

	start(&next, 5, 5);
	run_until(&next);
	member[0].silent = 1000;
	member[1].leader = NULL;
	member[2].leader = "s1";
	start(&late, 0.3, 0.3);
	run_until(&late);
	ck_assert_int_eq(late.err, CF_EUNKNOWN);
	start(&next, 0.8, 0.8);
	run_until(&next);
	ck_assert_int_eq(next.err, 0);
	ck_assert_uint_eq(member[0].calls, 2);
}
END_TEST

#define SILENT_ADDRESS "127.0.0.1:20124"
#define IN_TOUCH_S 3.0 /* after which a silent channel may not count any more */

static void run_for(double seconds)
{
	double end = ev_time() + seconds;

	while (ev_time() < end) {
		ev_run(loop, EVRUN_NOWAIT);
		ev_sleep(0.002);
	}
}

/* Guards against a process that is out of reach for good as its connection is silent. */
START_TEST(silent_connection_is_replaced)
{
	struct rpc_server_options opt = {.loop = loop, .key = STR("secret")};
	struct settings_member one = {.name = STR("s0")};
	struct settings far = settings;
	struct leader_client reached;
	struct rpc_server *server;
	struct caller late = {.call = {.ops = &call_ops}};
	struct caller next = late;
	int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	int silent;

	ck_assert_int_eq(addr_parse(STR(SILENT_ADDRESS), &one.address), 0);
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &(int){1}, sizeof(int));
	ck_assert_int_eq(
		bind(listener, (struct sockaddr *)&one.address.sa, one.address.len), 0);
	ck_assert_int_eq(listen(listener, 1), 0);
	far.state.items = &one;
	far.state.n = 1;
	ck_assert_int_eq(leader_client_init(&reached, loop, &far), 0);
	ev_now_update(loop);
	ck_assert_int_eq(
		leader_call_start(&reached, &late.call, PEER_PROPOSE, STR("x"), 0.5, 0.5),
		0);
	run_until(&late);
	ck_assert_int_eq(late.err, CF_EUNKNOWN);
	silent = accept(listener, NULL, NULL);
	ck_assert_int_ge(silent, 0);
	close(listener);
	opt.host = &member[0].host;
	opt.address = one.address;
	ck_assert_int_eq(rpc_server_new(&opt, &server), 0);
	run_for(IN_TOUCH_S);
	ck_assert_int_eq(
		leader_call_start(&reached, &next.call, PEER_PROPOSE, STR("x"), 1, 0.5),
		0);
	run_until(&next);
	ck_assert_int_eq(next.err, 0);
	leader_client_destroy(&reached);
	rpc_server_free(server);
	close(silent);
}
END_TEST

#define COMMAND_BYTES (1U << 20) /* more than the sockets of both sides take */
#define RECEIVE_BYTES 4096

/* A state process that accepts connections and reads nothing, and a client for it. */
static int open_unread(struct settings *far, struct settings_member *one,
		       struct leader_client *c)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	*one = (struct settings_member){.name = STR("s0")};
	ck_assert_int_eq(addr_parse(STR(SILENT_ADDRESS), &one->address), 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &(int){1}, sizeof(int));
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &(int){RECEIVE_BYTES}, sizeof(int));
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&one->address.sa, one->address.len),
			 0);
	ck_assert_int_eq(listen(fd, 4), 0);
	*far = settings;
	far->state.items = one;
	far->state.n = 1;
	ck_assert_int_eq(leader_client_init(c, loop, far), 0);
	return fd;
}

static void propose_large(struct leader_client *c, struct caller *call, double timeout)
{
	char *bytes = calloc(1, COMMAND_BYTES);

	ck_assert_ptr_nonnull(bytes);
	*call = (struct caller){.call = {.ops = &call_ops, .drop_late = true}};
	ev_now_update(loop);
	ck_assert_int_eq(leader_call_start(c, &call->call, PEER_PROPOSE,
					   (struct str){bytes, COMMAND_BYTES}, timeout,
					   timeout),
			 0);
	free(bytes);
}

/* Reads all that a given-up call leaves: a part of it, and a reset. */
static void check_dropped(int listener)
{
	int fd = accept(listener, NULL, NULL);
	struct timeval bound = {.tv_sec = 2}; /* ends a broken test */
	char bytes[4096];
	size_t total = 0;
	ssize_t n;

	ck_assert_int_ge(fd, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &bound, sizeof(bound));
	while ((n = recv(fd, bytes, sizeof(bytes), 0)) > 0)
		total += (size_t)n;
	ck_assert_uint_lt(total, COMMAND_BYTES);
	ck_assert_int_eq(n, -1);
	ck_assert_int_eq(errno, ECONNRESET);
	close(fd);
}

/* Guards against a proposal that arrives after its process was killed. */
START_TEST(proposal_of_a_killed_process_is_dropped)
{
	struct settings_member one;
	struct settings far;
	struct leader_client c;
	struct caller call;
	int listener = open_unread(&far, &one, &c);
	pid_t pid = fork();
	int status;

	ck_assert_int_ge(pid, 0);
	if (pid == 0) {
		ev_loop_fork(loop);
		propose_large(&c, &call, 5);
		for (int i = 0; i < 3; i++)
			ev_run(loop, EVRUN_ONCE);
		raise(SIGKILL);
	}
	ck_assert_int_eq(waitpid(pid, &status, 0), pid);
	check_dropped(listener);
	leader_client_destroy(&c);
	close(listener);
}
END_TEST

#define LOAD_CALLS 200
#define LOAD_PERIOD_S 0.02
#define LOAD_S 2.5 /* from the silence on; later calls have no time for their answers */

/* Guards against a leader that is avoided, although it is well, after a silence. */
START_TEST(leader_is_in_touch_after_a_silence)
{
	static struct caller load[LOAD_CALLS];
	struct caller before;
	double begun;
	int n = 0;

	start(&before, 1, LEADER_ATTEMPT);
	run_until(&before);
	ck_assert_int_eq(before.err, 0);
	member[0].first_silent = true;
	begun = ev_time();
	while (n < LOAD_CALLS && ev_time() < begun + LOAD_S) {
		start(&load[n++], 8, LEADER_ATTEMPT);
		run_for(LOAD_PERIOD_S);
	}
	run_for(begun + IN_TOUCH_S - ev_time());
	for (int i = 0; i < n; i++) {
		ck_assert_msg(load[i].ended, "call %d of %d", i, n);
		ck_assert_int_eq(load[i].err, 0);
	}
}
END_TEST

/* Guards against a change that is carried out after its sender was told "unknown". */
START_TEST(proposal_that_was_given_up_is_dropped)
{
	struct settings_member one;
	struct settings far;
	struct leader_client c;
	struct caller call;
	int listener = open_unread(&far, &one, &c);

	propose_large(&c, &call, 0.3);
	run_until(&call);
	ck_assert_int_eq(call.err, CF_EUNKNOWN);
	check_dropped(listener);
	leader_client_destroy(&c);
	close(listener);
}
END_TEST

/* Guards against calls that end with another one whose connection is reset. */
START_TEST(other_calls_outlive_one_that_was_given_up)
{
	struct caller late = {.call = {.ops = &call_ops, .drop_late = true}};
	struct caller other;

	start(&other, 5, 5);
	run_until(&other);
	member[0].silent = 2;
	ck_assert_int_eq(
		leader_call_start(&client, &late.call, PEER_PROPOSE, STR("x"), 0.3, 0.3),
		0);
	start(&other, 4, 4);
	run_until(&late);
	ck_assert_int_eq(late.err, CF_EUNKNOWN);
	run_until(&other);
	ck_assert_int_eq(other.err, 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("leader_client");
	TCase *tc = tcase_create("calls");
	SRunner *sr;
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, slow_leader_is_asked_again);
	tcase_add_test(tc, short_call_blames_no_process);
	tcase_add_test(tc, lost_leader_is_not_asked_first);
	tcase_add_test(tc, silent_connection_is_replaced);
	tcase_add_test(tc, proposal_of_a_killed_process_is_dropped);
	tcase_add_test(tc, leader_is_in_touch_after_a_silence);
	tcase_add_test(tc, proposal_that_was_given_up_is_dropped);
	tcase_add_test(tc, other_calls_outlive_one_that_was_given_up);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
