#include <check.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>

#include "io/addr.h"
#include "io/clock.h"
#include "platform/executors.h"
#include "regress/lib_fakehttp.h"

#define PORT 20464
#define ADDRESS "127.0.0.1:20464"
#define OTHER_ADDRESS "127.0.0.1:20465"
#define MS_US 1000
#define REPLY "{\"born\":1,\"clock_ms\":1,\"running\":[],\"ended\":[]}"

struct user {
	struct dag_transport_user base; /* first member */
	unsigned int polls;
	unsigned int usable;
	unsigned int cut; /* lists that may lack some */
	size_t rows;	  /* of the newest lists */
	unsigned int commands;
	enum dag_call_result result; /* of the newest call */
};

static struct ev_loop *loop;
static struct dag_transport *transport;
static struct user user;
static struct fake worker;

static void on_command(struct dag_transport_user *u, uint32_t number,
		       const struct dag_task_ref *t, uint32_t run,
		       enum dag_call_result result)
{
	((struct user *)u)->commands++;
	((struct user *)u)->result = result;
}

static void on_poll(struct dag_transport_user *u, uint32_t number,
		    enum dag_call_result result, const struct dag_poll_reply *poll)
{
	((struct user *)u)->polls++;
	((struct user *)u)->usable += poll != NULL;
	((struct user *)u)->cut += poll && poll->partial;
	((struct user *)u)->rows = poll ? poll->n_running + poll->n_ended : 0;
	((struct user *)u)->result = result;
}

static const struct dag_transport_user_ops user_ops = {
	.start_replied = on_command,
	.stop_replied = on_command,
	.poll_replied = on_poll,
};

static void setup(void)
{
	struct executors_options opt = {.user = &user.base, .max_idle = 4};

	loop = ev_loop_new(0);
	opt.loop = loop;
	user = (struct user){.base = {.ops = &user_ops}};
	fake_open(&worker, PORT);
	fake_say(&worker, "POST", "/api/hold", 200, REPLY, NULL, 0);
	fake_say(&worker, "POST", "/api/run-start", 200, "{\"clock_ms\":1}", NULL, 0);
	ck_assert_int_eq(executors_new(&opt, &transport), 0);
}

static void teardown(void)
{
	transport->ops->free(transport);
	fake_close(&worker);
	ev_loop_destroy(loop);
}

static struct dag_worker_call call_until(int64_t send_until_us)
{
	return (struct dag_worker_call){.worker = 1,
					.id = STR("i-1"),
					.address = STR(ADDRESS),
					.token = 1,
					.send_until_us = send_until_us};
}

static void poll_until(int64_t send_until_us)
{
	struct dag_poll_command o = {.call = call_until(send_until_us)};

	transport->ops->poll(transport, &o);
}

static void start_until(int64_t send_until_us)
{
	struct dag_worker_command o = {.call = call_until(send_until_us),
				       .spec = STR("work")};

	transport->ops->start(transport, &o);
}

static void play(double seconds)
{
	double end = ev_time() + seconds;

	while (ev_time() < end) {
		ev_run(loop, EVRUN_NOWAIT);
		usleep(MS_US);
	}
}

/* Guards against a paused leader whose calls go out on its ended epoch. */
START_TEST(call_of_an_ended_lease_is_not_sent)
{
	int64_t lease_end_us = clock_us() + 100 * MS_US;

	poll_until(lease_end_us);
	start_until(lease_end_us);
	usleep(150 * MS_US);
	play(0.3);
	ck_assert_uint_eq(user.polls, 1);
	ck_assert_uint_eq(user.commands, 1);
	ck_assert_int_eq(user.result, DAG_RESULT_UNKNOWN);
	ck_assert_uint_eq(fake_count(&worker, "POST"), 0);
	poll_until(clock_us() + 5000 * MS_US);
	play(0.3);
	ck_assert_uint_eq(user.usable, 1);
}
END_TEST

/* Guards against a call that is sent after its own time by a process that was paused. */
START_TEST(call_is_not_sent_after_its_timeout)
{
	poll_until(0);
	usleep(900 * MS_US);
	play(0.3);
	ck_assert_uint_eq(user.polls, 1);
	ck_assert_uint_eq(fake_count(&worker, "POST"), 0);
}
END_TEST

/*
 * Guards against a reply to a poll of an ended term that counts for a later poll of the
 * new term: runs that began in between are missing from its list.
 */
START_TEST(reply_of_an_earlier_term_is_ignored)
{
	poll_until(0);
	play(0.001);
	transport->ops->clear(transport);
	play(0.3);
	ck_assert_uint_eq(user.polls, 0);
	poll_until(0);
	play(0.3);
	ck_assert_uint_eq(user.polls, 1);
	ck_assert_uint_eq(user.usable, 1);
}
END_TEST

/* Guards against a call that only fences and whose reply counts for a waiting poll. */
START_TEST(poll_that_asks_for_no_reply_reports_none)
{
	struct dag_poll_command o = {.call = call_until(0), .no_reply = true};

	transport->ops->poll(transport, &o);
	play(0.3);
	ck_assert_uint_eq(fake_count(&worker, "POST"), 1);
	ck_assert_uint_eq(user.polls, 0);
	o.call.address = STR("127.0.0.1:0");
	transport->ops->poll(transport, &o);
	play(0.01);
	ck_assert_uint_eq(user.polls, 0);
}
END_TEST

/* Has a poll answered with a list of n ends. */
static void poll_ends(unsigned int n)
{
	struct buf body = {0};

	ck_assert_int_eq(buf_adds(&body, "{\"born\":1,\"clock_ms\":1,\"running\":[],"
					 "\"ended\":["),
			 0);
	for (unsigned int i = 0; i < n; i++)
		ck_assert_int_eq(
			buf_addf(&body,
				 "%s[%u,\"0000000000000001.0.0.%u\",1,\"done\",\"\"]",
				 i ? "," : "", i + 1, i),
			0);
	ck_assert_int_eq(buf_adds(&body, "]}"), 0);
	fake_clear(&worker);
	fake_say(&worker, "POST", "/api/hold", 200, body.p, NULL, 0);
	poll_until(0);
	play(0.3);
	buf_free(&body);
}

/* Guards against a full list of ends that is taken for a list of all ends. */
START_TEST(full_list_of_ends_may_lack_some)
{
	poll_ends(499);
	ck_assert_uint_eq(user.usable, 1);
	ck_assert_uint_eq(user.cut, 0);
	poll_ends(500);
	ck_assert_uint_eq(user.usable, 2);
	ck_assert_uint_eq(user.cut, 1);
}
END_TEST

static const char *const odd_rows[] = {
	"\"running\":[[[[[]]]],[\"0000000000000001.0.0.1\",1]],\"ended\":[]",
	"\"running\":[[\"0000000000000001.0.0.1\",4294967296],"
	"[\"0000000000000001.0.0.2\",1]],\"ended\":[]",
	"\"running\":[7,[\"0000000000000001.0.0.1\",1]],\"ended\":[]",
	"\"running\":[],\"ended\":[[1,\"other\",1,\"done\",\"\"],"
	"[2,\"0000000000000001.0.0.1\",1,\"done\",\"\"]]",
	"\"running\":[],\"ended\":[[1,\"0000000000000001.0.0.1\",1,\"gone\",\"\"],"
	"[2,\"0000000000000001.0.0.1\",1,\"done\",\"\"]]",
};

#define N_ODD_ROWS (int)(sizeof(odd_rows) / sizeof(odd_rows[0]))

/* Guards against one odd row of a list that costs all other runs of the executor. */
START_TEST(odd_row_costs_no_other_row)
{
	struct buf body = {0};

	ck_assert_int_eq(buf_addf(&body, "{\"born\":1,\"clock_ms\":1,%s}", odd_rows[_i]),
			 0);
	fake_clear(&worker);
	fake_say(&worker, "POST", "/api/hold", 200, body.p, NULL, 0);
	poll_until(0);
	play(0.3);
	ck_assert_uint_eq(user.usable, 1);
	ck_assert_uint_eq(user.cut, 1);
	ck_assert_uint_eq(user.rows, 1);
	buf_free(&body);
}
END_TEST

/* Guards against a deeply nested list that ends the process, or is taken for one. */
START_TEST(deeply_nested_list_is_no_reply)
{
	struct buf body = {0};

	ck_assert_int_eq(buf_adds(&body, "{\"born\":1,\"clock_ms\":1,\"ended\":[],"
					 "\"running\":["),
			 0);
	for (int i = 0; i < 200000; i++)
		ck_assert_int_eq(buf_adds(&body, "["), 0);
	fake_clear(&worker);
	fake_say(&worker, "POST", "/api/hold", 200, body.p, NULL, 0);
	poll_until(0);
	play(0.5);
	ck_assert_uint_eq(user.polls, 1);
	ck_assert_uint_eq(user.usable, 0);
	buf_free(&body);
}
END_TEST

/* Guards against an executor that is kept though nothing can be at its address. */
START_TEST(address_of_no_host_is_no_executor)
{
	static const char *const addresses[] = {"127.0.0.1:99999",
						"127.0.0.1:65536",
						"127.0.0.1:0",
						"127.0.0.1",
						"localhost:80",
						"0.0.0.0:80",
						"",
						"127.0.0.1:80/x"};
	struct dag_poll_command o = {.call = call_until(0)};

	o.call.address = str_from(addresses[_i]);
	transport->ops->poll(transport, &o);
	ck_assert_uint_eq(user.polls, 0); /* the scheduler is not called back at once */
	play(0.01);
	ck_assert_uint_eq(user.polls, 1);
	ck_assert_int_eq(user.result, DAG_RESULT_RESTARTED);
}
END_TEST

/* Whether a whole call comes on a connection; one without its body has no effect. */
static bool takes_call(int fd, bool answers)
{
	static const char ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
	char bytes[4096];
	ssize_t n = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	if (n <= 0)
		return false;
	if (answers)
		ck_assert_int_eq(write(fd, ok, sizeof(ok) - 1), sizeof(ok) - 1);
	return memmem(bytes, (size_t)n, "fencing_token", 13) != NULL;
}

static void take_call(int fd, bool answers)
{
	for (int i = 0; i < 200; i++) {
		play(0.005);
		if (takes_call(fd, answers))
			return;
	}
	ck_abort_msg("no call came");
}

static int listen_elsewhere(void)
{
	struct addr address;
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(addr_parse(STR(OTHER_ADDRESS), &address), 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&address.sa, address.len), 0);
	ck_assert_int_eq(listen(fd, 8), 0);
	return fd;
}

static void send_elsewhere(bool poll)
{
	struct dag_worker_command start = {.call = call_until(0), .spec = STR("work")};
	struct dag_poll_command look = {.call = call_until(0), .acked_end = 7};

	start.call.address = look.call.address = STR(OTHER_ADDRESS);
	if (poll)
		transport->ops->poll(transport, &look);
	else
		transport->ops->start(transport, &start);
}

/*
 * Guards against a second copy of a call, sent after its connection broke: of a start (_i
 * 0), whose refusal would count for both; of a poll that acknowledges ends (1), which may
 * reach a newer process.
 */
START_TEST(call_whose_copy_has_another_effect_is_sent_once)
{
	struct linger drop = {.l_onoff = 1};
	int listener = listen_elsewhere();
	int fd;

	send_elsewhere(_i);
	play(0.05);
	fd = accept(listener, NULL, NULL);
	take_call(fd, true);
	play(0.1);
	ck_assert_uint_eq(user.commands + user.polls, 1);
	send_elsewhere(_i);
	take_call(fd, false);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &drop, sizeof(drop));
	close(fd);
	play(0.3);
	ck_assert_uint_eq(user.commands + user.polls, 2);
	ck_assert_int_eq(user.result, DAG_RESULT_UNKNOWN);
	ck_assert_int_eq(fcntl(listener, F_SETFL, O_NONBLOCK), 0);
	fd = accept(listener, NULL, NULL);
	ck_assert(fd < 0 || !takes_call(fd, false));
	close(fd);
	close(listener);
}
END_TEST

/*
 * Guards against workers that are cut off and count as ended: only a machine that refuses
 * a poll says so (_i 0), not a start (1) and not a connection that breaks (2).
 */
START_TEST(refused_poll_tells_that_nobody_listens)
{
	struct linger drop = {.l_onoff = 1};
	int listener = _i < 2 ? -1 : listen_elsewhere();
	int fd;

	send_elsewhere(_i != 1);
	if (_i == 2) {
		play(0.05);
		fd = accept(listener, NULL, NULL);
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &drop, sizeof(drop));
		close(fd);
	}
	play(0.2);
	ck_assert_uint_eq(user.commands + user.polls, 1);
	ck_assert_int_eq(user.result, _i ? DAG_RESULT_UNKNOWN : DAG_RESULT_REFUSED);
	close(listener);
}
END_TEST

#define IDLE 4	       /* connections to one executor, all idle */
#define IN_TOUCH_S 3.0 /* after which a silent channel may not count any more */
#define RETRY_S 0.4    /* between polls without a reply, as the leader sends them */
#define LONG_WAIT_MS 1000U

/* Answers what comes on new connections; returns whether one came. */
static void serve_new(int listener, int *fds, size_t *n)
{
	static const char ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 47\r\n\r\n" REPLY;
	char bytes[4096];

	while (*n < 64 && (fds[*n] = accept(listener, NULL, NULL)) >= 0)
		(*n)++;
	for (size_t i = 0; i < *n; i++)
		if (recv(fds[i], bytes, sizeof(bytes), MSG_DONTWAIT) > 0)
			ck_assert_int_eq(write(fds[i], ok, sizeof(ok) - 1),
					 sizeof(ok) - 1);
}

static void poll_elsewhere(uint32_t wait_ms)
{
	struct dag_poll_command look = {.call = call_until(0), .wait_ms = wait_ms};

	look.call.address = STR(OTHER_ADDRESS);
	transport->ops->poll(transport, &look);
}

/* Opens idle connections, on which nothing is answered from then on. Returns how many. */
static size_t open_idle(int listener, int *fds)
{
	size_t n = 0;

	ck_assert_int_eq(fcntl(listener, F_SETFL, O_NONBLOCK), 0);
	for (int i = 0; i < IDLE; i++)
		poll_elsewhere(LONG_WAIT_MS);
	play(0.2);
	for (int i = 0; i < 20; i++) {
		serve_new(listener, fds, &n);
		play(0.01);
	}
	ck_assert_uint_eq(user.usable, IDLE);
	return n;
}

static void close_all(const int *fds, size_t n)
{
	while (n)
		close(fds[--n]);
}

/* Guards against silent connections to an executor that are used one after the other. */
START_TEST(silent_idle_connections_are_given_up)
{
	int listener = listen_elsewhere();
	int silent[64];
	int fresh[64];
	size_t n_silent;
	size_t n_fresh = 0;
	double start;
	double next;

	ck_assert_int_eq((int)strlen(REPLY), 47);
	n_silent = open_idle(listener, silent);
	ck_assert_uint_eq(n_silent, IDLE);
	user.polls = user.usable = 0;
	start = next = ev_time();
	poll_elsewhere(LONG_WAIT_MS);
	for (unsigned int sent = 1; !user.usable && ev_time() - start < 10;) {
		play(0.01);
		serve_new(listener, fresh, &n_fresh);
		if (user.polls < sent)
			next = ev_time() + (sent > 1 ? RETRY_S : 0);
		else if (ev_time() >= next && !user.usable) {
			poll_elsewhere(0);
			sent++;
		}
	}
	ck_assert_uint_eq(user.usable, 1);
	ck_assert(ev_time() - start < IN_TOUCH_S);
	close_all(silent, n_silent);
	close_all(fresh, n_fresh);
	close(listener);
}
END_TEST

#define BUSY_LINK_S 0.5 /* that a list takes over a link with much to carry */

/* Guards against ends that an executor has listed and nobody has read. */
START_TEST(slow_reply_after_a_lost_poll_is_read)
{
	int listener = listen_elsewhere();
	size_t n = 0;
	int fds[64];

	ck_assert_int_eq(fcntl(listener, F_SETFL, O_NONBLOCK), 0);
	poll_elsewhere(0);
	play(BUSY_LINK_S);
	serve_new(listener, fds, &n);
	play(0.1);
	ck_assert_uint_eq(user.usable, 1);
	close_all(fds, n);
	close(listener);
}
END_TEST

static void start_elsewhere(void)
{
	struct dag_worker_command o = {.call = call_until(0), .spec = STR("work")};

	o.call.address = STR(OTHER_ADDRESS);
	transport->ops->start(transport, &o);
}

/* Guards against starts that are lost on one silent connection after the other. */
START_TEST(start_gets_past_silent_idle_connections)
{
	int listener = listen_elsewhere();
	int silent[64];
	int fresh[64];
	size_t n_silent;
	size_t n_fresh = 0;
	double start;

	n_silent = open_idle(listener, silent);
	start = ev_time();
	user.result = DAG_RESULT_UNKNOWN;
	for (unsigned int sent = 0;
	     user.result != DAG_RESULT_OK && ev_time() - start < 10;) {
		if (user.commands == sent) {
			start_elsewhere();
			sent++;
		}
		play(0.01);
		serve_new(listener, fresh, &n_fresh);
	}
	ck_assert(ev_time() - start < IN_TOUCH_S);
	/* The first is lost, and one on a connection that had hardly been idle. */
	ck_assert_uint_le(user.commands, 3);
	close_all(silent, n_silent);
	close_all(fresh, n_fresh);
	close(listener);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("executors");
	TCase *t = tcase_create("calls");
	SRunner *r;
	int failed;

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_set_timeout(t, 60);
	tcase_add_test(t, call_of_an_ended_lease_is_not_sent);
	tcase_add_test(t, call_is_not_sent_after_its_timeout);
	tcase_add_test(t, reply_of_an_earlier_term_is_ignored);
	tcase_add_test(t, poll_that_asks_for_no_reply_reports_none);
	tcase_add_test(t, full_list_of_ends_may_lack_some);
	tcase_add_loop_test(t, call_whose_copy_has_another_effect_is_sent_once, 0, 2);
	tcase_add_loop_test(t, refused_poll_tells_that_nobody_listens, 0, 3);
	tcase_add_loop_test(t, odd_row_costs_no_other_row, 0, N_ODD_ROWS);
	tcase_add_test(t, silent_idle_connections_are_given_up);
	tcase_add_test(t, slow_reply_after_a_lost_poll_is_read);
	tcase_add_test(t, start_gets_past_silent_idle_connections);
	tcase_add_test(t, deeply_nested_list_is_no_reply);
	tcase_add_loop_test(t, address_of_no_host_is_no_executor, 0, 8);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
