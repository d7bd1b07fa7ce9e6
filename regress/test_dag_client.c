#include <check.h>
#include <errno.h>
#include <malloc.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <ev.h>

#include "base/err.h"
#include "carawayfrontd/dag_client.h"
#include "carawayfrontd/leader_wait.h"
#include "carawayfrontd/node_id.h"
#include "io/rpc_server.h"
#include "proto/codec.h"
#include "proto/peer.h"

#define N_REQUESTS 200
#define KEPT_BYTES 4096 /* that the allocator may keep after all requests */
#define CONTROLLER_ADDRESS "127.0.0.1:20481"
#define RECEIVE_BYTES 4096 /* buffer of the controller's sockets */
#define SPEC_BYTES 60000   /* the controller's kernel takes a part of such a request */

static struct ev_loop *loop;
static struct settings settings = {.name = {"t", 1}, .cluster_key = {"secret", 6}};
static struct dag_client *client;
static enum dag_outcome outcome;
static unsigned int replies;

static time_t clock_step; /* seconds by which the time of day is off */

/* In place of the C library's, also for libev. */
__attribute__((visibility("default"))) int clock_gettime(clockid_t id,
							 struct timespec *ts)
{
	int ret = (int)syscall(SYS_clock_gettime, id, ts);

	if (id == CLOCK_REALTIME)
		ts->tv_sec += clock_step;
	return ret;
}

__attribute__((visibility("default"))) int gettimeofday(struct timeval *restrict tv,
							void *restrict zone)
{
	int ret = (int)syscall(SYS_gettimeofday, tv, zone);

	tv->tv_sec += clock_step;
	return ret;
}

static void on_done(struct dag_pending_request *t, const struct dag_reply *reply)
{
	outcome = reply->outcome;
	replies++;
}

static const struct dag_pending_request_ops ops = {.done = on_done};

static void setup(void)
{
	struct dag_client_options opt = {.settings = &settings};

	loop = ev_loop_new(0);
	opt.loop = loop;
	replies = 0;
	ck_assert_int_eq(dag_client_new(&opt, &client), 0);
}

static void teardown(void)
{
	dag_client_free(client);
	ev_loop_destroy(loop);
}

/* Guards against a caller that is told to send again what can never be taken. */
START_TEST(request_beyond_a_bound_is_invalid)
{
	struct dag_pending_request pending = {.ops = &ops};
	struct dag_request req = {.kind = DAG_REQ_SUBMIT};
	struct dag_target *target = &req.dag_request_u.submit.target;
	struct buf host = {0};
	size_t before;

	while (host.n <= DAG_MAX_NAME)
		ck_assert_int_eq(buf_adds(&host, "h"), 0);
	XDR_SET(*target, host, buf_str(&host));
	before = mallinfo2().uordblks;
	for (unsigned int i = 0; i < N_REQUESTS; i++)
		dag_client_request(client, &req, 1, &pending);
	ck_assert_uint_eq(replies, N_REQUESTS);
	ck_assert_int_eq(outcome, DAG_INVALID);
	ck_assert_uint_lt(mallinfo2().uordblks - before, KEPT_BYTES);
	buf_free(&host);
}
END_TEST

/* A controller's id holds an address and a port. */
static uint64_t controller_id(unsigned int i)
{
	struct addr a;
	struct buf text = {0};
	uint64_t id;

	ck_assert_int_eq(buf_addf(&text, "127.7.%u.%u:7000", i / 200, i % 200 + 1), 0);
	ck_assert_int_eq(addr_parse(buf_str(&text), &a), 0);
	id = node_id(&a);
	buf_free(&text);
	return id;
}

/* Guards against a process that knows only controllers that have been replaced. */
START_TEST(members_take_the_place_of_those_that_left)
{
	uint64_t known[DAG_CLIENT_NODES];
	uint64_t members[5];

	for (unsigned int round = 0; round < 40; round++) {
		size_t n;

		/* Two of five are replaced each time. */
		for (unsigned int i = 0; i < 5; i++)
			members[i] = controller_id(2 * round + i);
		dag_client_learn(client, members[round % 5], members, 5);
		n = dag_client_nodes(client, known, DAG_CLIENT_NODES);
		for (unsigned int i = 0; i < 5; i++) {
			bool found = false;

			for (size_t k = 0; k < n; k++)
				found = found || known[k] == members[i];
			ck_assert_msg(found, "round %u: member %u", round, i);
		}
	}
}
END_TEST

/* A controller that accepts connections and reads nothing. */
static int open_controller(void)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	struct addr address;
	uint64_t id;

	ck_assert_int_eq(addr_parse(STR(CONTROLLER_ADDRESS), &address), 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &(int){1}, sizeof(int));
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &(int){RECEIVE_BYTES}, sizeof(int));
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&address.sa, address.len), 0);
	ck_assert_int_eq(listen(fd, 16), 0);
	id = node_id(&address);
	dag_client_learn(client, id, &id, 1);
	return fd;
}

/* Submits a job whose request is longer than the controller's kernel takes. */
static void submit_large(struct dag_pending_request *pending, double timeout)
{
	struct dag_request req = {.kind = DAG_REQ_SUBMIT};
	struct buf spec = {0};

	while (spec.n < SPEC_BYTES)
		ck_assert_int_eq(buf_adds(&spec, "12345678"), 0);
	XDR_SET(req.dag_request_u.submit.job, spec, buf_str(&spec));
	ev_now_update(loop);
	dag_client_request(client, &req, timeout, pending);
	buf_free(&spec);
}

static void run_until_replies(unsigned int n)
{
	for (int i = 0; i < 100000 && replies < n; i++)
		ev_run(loop, EVRUN_ONCE);
	ck_assert_uint_eq(replies, n);
}

/* Reads all that a given-up request leaves: a part of it, and a reset. */
static void check_dropped(int listener)
{
	int fd = accept(listener, NULL, NULL);
	char bytes[4096];
	size_t total = 0;
	ssize_t n;

	ck_assert_int_ge(fd, 0);
	while ((n = recv(fd, bytes, sizeof(bytes), 0)) > 0)
		total += (size_t)n;
	ck_assert_uint_lt(total, SPEC_BYTES);
	ck_assert_int_eq(n, -1);
	ck_assert_int_eq(errno, ECONNRESET);
	close(fd);
}

/* Guards against a request that arrives after its sender timed out. */
START_TEST(request_that_timed_out_is_dropped)
{
	struct dag_pending_request pending = {.ops = &ops};
	int listener = open_controller();

	submit_large(&pending, 0.3);
	run_until_replies(1);
	ck_assert_int_eq(outcome, DAG_UNKNOWN);
	check_dropped(listener);
	close(listener);
}
END_TEST

/* Guards against a request that arrives after its sender has ended. */
START_TEST(request_of_an_ended_client_is_dropped)
{
	struct dag_pending_request pending = {.ops = &ops};
	int listener = open_controller();

	submit_large(&pending, 5);
	for (int i = 0; i < 3; i++)
		ev_run(loop, EVRUN_ONCE);
	dag_client_free(client);
	client = NULL;
	ck_assert_uint_eq(replies, 1);
	ck_assert_int_eq(outcome, DAG_UNKNOWN);
	check_dropped(listener);
	close(listener);
}
END_TEST

/* Guards against a request that arrives after the process of its sender was killed. */
START_TEST(request_of_a_killed_process_is_dropped)
{
	struct dag_pending_request pending = {.ops = &ops};
	int listener = open_controller();
	pid_t pid = fork();
	int status;

	ck_assert_int_ge(pid, 0);
	if (pid == 0) {
		ev_loop_fork(loop);
		submit_large(&pending, 5);
		for (int i = 0; i < 3; i++)
			ev_run(loop, EVRUN_ONCE);
		raise(SIGKILL);
	}
	ck_assert_int_eq(waitpid(pid, &status, 0), pid);
	check_dropped(listener);
	close(listener);
}
END_TEST

/* Guards against other requests of a connection that the end of one loses or frees. */
START_TEST(other_requests_outlive_one_that_timed_out)
{
	struct dag_pending_request pending[8];
	int listener = open_controller();

	for (int i = 0; i < 8; i++) {
		pending[i] = (struct dag_pending_request){.ops = &ops};
		submit_large(&pending[i], i % 2 ? 5 : 0.3);
	}
	run_until_replies(4);
	run_until_replies(8);
	ck_assert_int_eq(outcome, DAG_UNKNOWN);
	close(listener);
}
END_TEST

/* The loss of a leader, in virtual time. */
struct loss {
	double seen;	/* the leader is known to be lost */
	double elected; /* the next one is known */
};

struct outcome_of {
	double arrived;
	double ended;
	bool sent;
};

/* A request that is asked about every 10 ms until it is sent, refused or too old.
 */
static struct outcome_of play_request(const struct loss *l, double arrived,
				      double patience)
{
	struct leader_wait w = {.known = true};
	struct outcome_of o = {.arrived = arrived};

	for (int tick = 0; tick * 0.01 < arrived + patience; tick++) {
		double now = tick * 0.01;
		enum leader_wait_step step;

		leader_wait_update(&w, now < l->seen || now >= l->elected, now);
		step = leader_wait_decide(&w, now);
		o.ended = now;
		o.sent = step == LEADER_WAIT_SEND;
		if (now >= arrived && step != LEADER_WAIT_SEARCH)
			return o;
	}
	return o;
}

/* Guards against requests that are held to their end while no leader comes. */
START_TEST(long_loss_of_the_leader_refuses_at_once)
{
	struct loss l = {.seen = 5, .elected = 12};

	for (int tick = 40; tick < 140; tick++) {
		double at = tick * 0.1;
		struct outcome_of o = play_request(&l, at, 1.5);

		if (at < l.seen - 0.02 || at >= l.elected)
			ck_assert_msg(o.sent, "at %.1f not sent", at);
		/* An election takes up to 1.5 s; a slow leader is asked again
		 * after 1 s.
		 */
		if (at > l.seen + 2.5 && at < l.elected - 0.02)
			ck_assert_msg(!o.sent && o.ended - o.arrived < 0.02,
				      "at %.1f held for %.2f s", at, o.ended - o.arrived);
	}
}
END_TEST

/* Guards against requests that are refused though the usual election serves them.
 */
START_TEST(usual_election_refuses_no_request)
{
	struct loss l = {.seen = 5, .elected = 6.5};

	for (int tick = 40; tick < 80; tick++) {
		double at = tick * 0.1;
		struct outcome_of o = play_request(&l, at, 1.6);

		ck_assert_msg(o.sent, "at %.1f refused", at);
	}
}
END_TEST

/* Runs the loop for so long. */
static void run_for(double seconds)
{
	double end;

	ev_now_update(loop);
	end = ev_now(loop) + seconds;
	while (ev_now(loop) < end) {
		ev_run(loop, EVRUN_NOWAIT);
		usleep(5000);
	}
}

static void submit(struct dag_pending_request *pending)
{
	struct dag_request req = {.kind = DAG_REQ_SUBMIT};

	XDR_SET(req.dag_request_u.submit.target, host, STR("h"));
	XDR_SET(req.dag_request_u.submit.target, path, STR("/p/1"));
	dag_client_request(client, &req, 1, pending);
}

/* Guards against a wait where no leader comes, and against 503 where one may have
 * run. */
START_TEST(long_search_refuses_the_next_request_at_once)
{
	struct dag_pending_request pending = {.ops = &ops};
	int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	struct addr address;
	uint64_t silent;

	ck_assert_int_eq(addr_parse(STR("127.0.0.1:20105"), &address), 0);
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &(int){1}, sizeof(int));
	ck_assert_int_eq(bind(listener, (struct sockaddr *)&address.sa, address.len), 0);
	ck_assert_int_eq(listen(listener, 64), 0);
	silent = node_id(&address);
	dag_client_learn(client, 0, &silent, 1);
	submit(&pending);
	run_for(1.2);
	ck_assert_uint_eq(replies, 1);
	ck_assert_int_eq(outcome, DAG_UNKNOWN);
	run_for(1.5);
	submit(&pending);
	ck_assert_uint_eq(replies, 2);
	ck_assert_int_eq(outcome, DAG_REJECTED);
	close(listener);
}
END_TEST

#define LEADER_ADDRESS "127.0.0.1:20482"
#define FOLLOWER_ADDRESS "127.0.0.1:20483"
#define BUDGET_S 1.5 /* the longest that a gateway lets a caller wait */

/* A controller in this process. Calls on its first connection can be left unanswered. */
struct stand_in {
	struct rpc_server_host host; /* first member */
	struct rpc_server *server;
	struct rpc_conn *first;
	uint64_t leader; /* named in replies */
	bool leads;
	bool silent; /* the first connection */
	bool lost;   /* no connection is answered on */
	bool old;    /* its program does not know the requests of organisations */
	unsigned int answered;
	unsigned int refused;
};

static void serve_stand_in(struct rpc_server_host *h, struct rpc_call *call)
{
	struct stand_in *c = (struct stand_in *)h;
	struct dag_reply reply = {.outcome = c->leads ? DAG_OK : DAG_NOT_LEADER,
				  .leader = c->leader};
	struct dag_request req = {0};
	struct buf bytes = {0};

	if (!c->first)
		c->first = call->conn;
	ck_assert_int_eq(codec_decode((xdrproc_t)xdr_dag_request, &req, call->args), 0);
	codec_free((xdrproc_t)xdr_dag_request, &req);
	if (c->old && req.kind >= DAG_REQ_ORG_SUBMIT) {
		c->refused++;
		rpc_call_reply(call, CF_EINVAL, (struct str){NULL, 0});
		return;
	}
	if (c->lost || (c->silent && call->conn == c->first)) {
		rpc_call_drop(call);
		return;
	}
	c->answered++;
	ck_assert_int_eq(codec_encode((xdrproc_t)xdr_dag_reply, &reply, &bytes), 0);
	rpc_call_reply(call, 0, buf_str(&bytes));
	buf_free(&bytes);
}

static const struct rpc_server_ops stand_in_ops = {.call = serve_stand_in};

/* Returns the id of the controller. */
static uint64_t open_stand_in(struct stand_in *c, struct str address)
{
	struct rpc_server_options opt = {
		.loop = loop, .host = &c->host, .key = settings.cluster_key};

	c->host.ops = &stand_in_ops;
	ck_assert_int_eq(addr_parse(address, &opt.address), 0);
	ck_assert_int_eq(rpc_server_new(&opt, &c->server), 0);
	return node_id(&opt.address);
}

/* A leader, and a controller that names it; the client has asked the leader once. */
static void open_controllers(struct stand_in *leader, struct stand_in *follower)
{
	struct dag_pending_request pending = {.ops = &ops};
	uint64_t members[2];

	leader->leads = true;
	members[0] = open_stand_in(leader, STR(LEADER_ADDRESS));
	members[1] = open_stand_in(follower, STR(FOLLOWER_ADDRESS));
	leader->leader = members[0];
	follower->leader = members[0];
	dag_client_learn(client, members[0], members, 2);
	submit(&pending);
	run_for(0.1);
	ck_assert_uint_eq(replies, 1);
	ck_assert_int_eq(outcome, DAG_OK);
}

static void submit_within(struct dag_pending_request *pending, double seconds)
{
	struct dag_request req = {.kind = DAG_REQ_SUBMIT};

	XDR_SET(req.dag_request_u.submit.target, host, STR("h"));
	XDR_SET(req.dag_request_u.submit.target, path, STR("/p/1"));
	ev_now_update(loop);
	dag_client_request(client, &req, seconds, pending);
}

/* Guards against a well leader that is avoided as its connection has gone silent. */
START_TEST(request_on_a_silent_connection_is_served)
{
	struct dag_pending_request pending[8];
	struct stand_in leader = {0};
	struct stand_in follower = {0};

	open_controllers(&leader, &follower);
	leader.silent = true;
	for (int i = 0; i < 8; i++) {
		pending[i] = (struct dag_pending_request){.ops = &ops};
		submit_within(&pending[i], BUDGET_S);
		run_for(0.05);
	}
	run_for(BUDGET_S + 0.1);
	ck_assert_uint_eq(replies, 9);
	ck_assert_int_eq(outcome, DAG_OK);
	ck_assert_uint_eq(leader.answered, 9);
	ck_assert_uint_lt(follower.answered, 100);
	rpc_server_free(leader.server);
	rpc_server_free(follower.server);
}
END_TEST

/* Guards against a well leader that is avoided as its connections were reset. */
START_TEST(request_on_a_reset_connection_is_served)
{
	struct dag_pending_request pending = {.ops = &ops};
	struct stand_in leader = {0};
	struct stand_in follower = {0};
	double start;

	open_controllers(&leader, &follower);
	leader.silent = true;
	submit_within(&pending, BUDGET_S);
	run_for(0.1);
	rpc_server_free(leader.server);
	open_stand_in(&leader, STR(LEADER_ADDRESS));
	leader.silent = false;
	start = ev_time();
	while (replies < 2 && ev_time() < start + BUDGET_S)
		run_for(0.01);
	ck_assert_int_eq(outcome, DAG_OK);
	ck_assert(ev_time() - start < 0.5);
	rpc_server_free(leader.server);
	rpc_server_free(follower.server);
}
END_TEST

/*
 * Guards against a leader of the earlier program that is avoided, and a caller that is
 * told that its submission may have run, because it sent a credential.
 */
START_TEST(request_that_is_not_known_is_refused)
{
	struct dag_pending_request pending = {.ops = &ops};
	struct dag_request req = {.kind = DAG_REQ_ORG_SUBMIT};
	struct stand_in leader = {.old = true};
	struct stand_in follower = {.old = true};

	open_controllers(&leader, &follower);
	XDR_SET(req.dag_request_u.org_submit.credential, text, STR("key"));
	ev_now_update(loop);
	dag_client_request(client, &req, BUDGET_S, &pending);
	run_for(0.1);
	ck_assert_uint_eq(replies, 2);
	ck_assert_int_eq(outcome, DAG_REJECTED);
	ck_assert_uint_eq(leader.refused, 1);
	submit(&pending);
	run_for(0.1);
	ck_assert_uint_eq(replies, 3);
	ck_assert_int_eq(outcome, DAG_OK);
	ck_assert_uint_eq(leader.answered, 2);
	ck_assert_uint_eq(follower.answered, 0);
	rpc_server_free(leader.server);
	rpc_server_free(follower.server);
}
END_TEST

#define ASKED_MAX 60U /* times in BUDGET_S, by one request */

/* Guards against controllers that are asked in a tight loop for a leader that is lost. */
START_TEST(lost_leader_is_not_asked_for_in_a_loop)
{
	struct dag_pending_request pending = {.ops = &ops};
	struct stand_in leader = {0};
	struct stand_in follower = {0};

	open_controllers(&leader, &follower);
	leader.lost = true;
	submit_within(&pending, BUDGET_S);
	run_until_replies(2);
	ck_assert_uint_gt(follower.answered, 0);
	ck_assert_uint_lt(follower.answered, ASKED_MAX);
	rpc_server_free(leader.server);
	rpc_server_free(follower.server);
}
END_TEST

#define STEP_S 5 /* seconds */

/* Guards against a leader that is avoided for as long as the time of day was set back. */
START_TEST(step_of_the_clock_keeps_no_leader_away)
{
	struct dag_pending_request pending = {.ops = &ops};
	struct stand_in leader = {.leads = true};
	struct addr address;
	uint64_t id;

	ck_assert_int_eq(addr_parse(STR(LEADER_ADDRESS), &address), 0);
	id = node_id(&address);
	dag_client_learn(client, id, &id, 1);
	/* Nobody listens. */
	submit_within(&pending, 0.1);
	run_for(0.2);
	ck_assert_int_eq(outcome, DAG_REJECTED);
	clock_step = -STEP_S;
	leader.leader = open_stand_in(&leader, STR(LEADER_ADDRESS));
	for (int i = 0; i < 600; i++) {
		ev_run(loop, EVRUN_NOWAIT);
		usleep(1000);
	}
	submit_within(&pending, BUDGET_S);
	for (int i = 0; i < 2000 && replies < 2; i++) {
		ev_run(loop, EVRUN_NOWAIT);
		usleep(1000);
	}
	ck_assert_uint_eq(replies, 2);
	ck_assert_int_eq(outcome, DAG_OK);
	rpc_server_free(leader.server);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dag_client");
	TCase *t = tcase_create("requests");
	SRunner *r;
	int failed;

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_set_timeout(t, 60);
	tcase_add_test(t, request_beyond_a_bound_is_invalid);
	tcase_add_test(t, members_take_the_place_of_those_that_left);
	tcase_add_test(t, request_that_timed_out_is_dropped);
	tcase_add_test(t, request_of_an_ended_client_is_dropped);
	tcase_add_test(t, request_of_a_killed_process_is_dropped);
	tcase_add_test(t, other_requests_outlive_one_that_timed_out);
	tcase_add_test(t, long_loss_of_the_leader_refuses_at_once);
	tcase_add_test(t, usual_election_refuses_no_request);
	tcase_add_test(t, long_search_refuses_the_next_request_at_once);
	tcase_add_test(t, request_that_is_not_known_is_refused);
	tcase_add_test(t, request_on_a_silent_connection_is_served);
	tcase_add_test(t, request_on_a_reset_connection_is_served);
	tcase_add_test(t, lost_leader_is_not_asked_for_in_a_loop);
	tcase_add_test(t, step_of_the_clock_keeps_no_leader_away);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
