#include <check.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <ev.h>

#include "base/err.h"
#include "carawayfrontd/agent.h"
#include "carawayfrontd/node_id.h"
#include "carawayfrontd/relay.h"
#include "io/clock.h"
#include "io/rpc_client.h"
#include "io/rpc_server.h"
#include "proto/codec.h"
#include "proto/peer.h"
#include "regress/lib_fakehttp.h"

/* A gateway that takes calls and answers only when the test says so. */
#define ADDRESS "127.0.0.1:20461"
#define AGENT_ADDRESS "127.0.0.1:20462"
#define DEPOSED_LEADER_ID 1U /* nothing listens there */
#define WORKER_PORT 20463
#define WORKER_ADDRESS "127.0.0.1:20463"
#define LEADER_ADDRESS "127.0.0.1:20468"
#define KEY "secret"
#define MAX_CALLS 64U
#define LISTED_ENDS 500 /* of one list */
#define LONG_LIST 120000
#define CONNECTIONS_A_WORKER 4 /* that a gateway opens at most */
/* Longer than a call may stay without an answer and its gateway be avoided. */
#define PATIENCE_S 4.0
#define HOUR_US 3600000000LL
/* Gateways that take calls and answer none. */
#define CROWD 5
#define CROWD_PORT 20490
#define CROWD_PERIOD_S 0.02 /* between calls */

struct gateway {
	struct rpc_server_host host;
	struct rpc_server *server;
	uint64_t call[MAX_CALLS];
	enum dag_call_kind kind[MAX_CALLS];
	size_t n;
};

/* Counts what reaches the direct transport, which stands for a fallback. */
struct direct {
	struct dag_transport transport;
	unsigned int calls;
};

struct user {
	struct dag_transport_user base;
	unsigned int looked;
	unsigned int unanswered;
	unsigned int lost; /* part of them that may not have come to the gateway */
	unsigned int cut;  /* lists of ends that may lack some */
};

static struct ev_loop *loop;
static struct gateway gateway;
static struct direct direct;
static struct user user;
static struct dag_state *state;
static struct settings settings;
static struct relay *relay;
static uint64_t gateway_id;
static uint64_t leader_id; /* where answers go */
static uint64_t life_of_gateway;

static void on_call(struct rpc_server_host *host, struct rpc_call *call)
{
	struct gateway *g = (struct gateway *)host;
	struct dag_calls list = {0};

	if (call->proc == PEER_NULL) { /* the leader probes its connection */
		rpc_call_reply(call, 0, (struct str){NULL, 0});
		return;
	}
	ck_assert_uint_eq(call->proc, RELAY_PROC_CALLS);
	ck_assert_int_eq(codec_decode((xdrproc_t)xdr_dag_calls, &list, call->args), 0);
	for (u_int i = 0; i < list.calls.calls_len && g->n < MAX_CALLS; i++) {
		g->call[g->n] = list.calls.calls_val[i].id;
		g->kind[g->n++] = list.calls.calls_val[i].kind;
	}
	codec_free((xdrproc_t)xdr_dag_calls, &list);
	rpc_call_drop(call);
}

static const struct rpc_server_ops gateway_ops = {.call = on_call};

static void direct_order(struct dag_transport *t, const struct dag_worker_command *o)
{
	((struct direct *)t)->calls++;
}

static void direct_look(struct dag_transport *t, const struct dag_poll_command *o)
{
	((struct direct *)t)->calls++;
}

static const struct dag_transport_ops direct_ops = {
	.start = direct_order,
	.stop = direct_order,
	.throttle = direct_order,
	.poll = direct_look,
};

static void on_order(struct dag_transport_user *u, uint32_t worker,
		     const struct dag_task_ref *t, uint32_t run,
		     enum dag_call_result answer)
{
	if (answer == DAG_RESULT_UNKNOWN)
		((struct user *)u)->unanswered++;
}

static void on_looked(struct dag_transport_user *u, uint32_t worker,
		      enum dag_call_result answer, const struct dag_poll_reply *look)
{
	((struct user *)u)->lost += answer == DAG_RESULT_PATH_LOST;
	if (answer == DAG_RESULT_UNKNOWN || answer == DAG_RESULT_PATH_LOST)
		((struct user *)u)->unanswered++;
	else
		((struct user *)u)->looked++;
	((struct user *)u)->cut += look && look->partial;
}

static const struct dag_transport_user_ops user_ops = {
	.start_replied = on_order,
	.stop_replied = on_order,
	.poll_replied = on_looked,
};

/* A new life of the leader's process has a relay of its own. */
static void new_relay(void)
{
	struct relay_options opt = {
		.loop = loop,
		.settings = &settings,
		.direct = &direct.transport,
		.user = &user.base,
		.state = state,
		.self = leader_id,
	};

	ck_assert_int_eq(relay_new(&opt, &relay), 0);
}

static void setup(void)
{
	struct rpc_server_options rpc = {.key = STR(KEY), .host = &gateway.host};
	struct dag_worker w = {.cpu_milli = 1000};
	struct dag_worker_rec *rec;

	leader_id = 1;
	loop = ev_loop_new(0);
	gateway = (struct gateway){.host = {.ops = &gateway_ops}};
	direct = (struct direct){.transport = {.ops = &direct_ops}};
	user = (struct user){.base = {.ops = &user_ops}};
	settings = (struct settings){.name = STR("leader"), .cluster_key = STR(KEY)};
	rpc.loop = loop;
	ck_assert_int_eq(addr_parse(STR(ADDRESS), &rpc.address), 0);
	ck_assert_int_eq(rpc_server_new(&rpc, &gateway.server), 0);
	gateway_id = node_id(&rpc.address);
	ck_assert_int_eq(dag_state_new(&state), 0);
	XDR_SET(w, id, STR("i-1"));
	XDR_SET(w, address, STR("10.0.0.1:80"));
	XDR_SET(w, zone, STR("a"));
	ck_assert_int_eq(dag_state_put_worker(state, 1, &w, &rec), 0);
	new_relay();
}

static void teardown(void)
{
	relay_free(relay);
	dag_state_free(state);
	rpc_server_free(gateway.server);
	ev_loop_destroy(loop);
}

static void report(void)
{
	struct dag_agent a = {.id = gateway_id, .clock_us = clock_us()};

	a.life = 1 + life_of_gateway;

	XDR_SET(a, zone, STR("a"));
	relay_agent(relay, &a);
}

static struct dag_transport *transport(void)
{
	return relay_transport(relay);
}

/* Plays for some seconds; the gateway goes on to report. */
static void play(double seconds)
{
	double end = ev_time() + seconds;

	while (ev_time() < end) {
		report();
		relay_flush(relay);
		ev_run(loop, EVRUN_ONCE);
	}
}

static void order_pace(void)
{
	struct dag_worker_command o = {
		.call = {.worker = 1}, .run = 1, .speed_percent = 50};

	transport()->ops->throttle(transport(), &o);
}

static void order_look(void)
{
	struct dag_poll_command o = {.call = {.worker = 1}};

	transport()->ops->poll(transport(), &o);
}

static void answer_looks(bool cut)
{
	for (size_t i = 0; i < gateway.n; i++) {
		struct dag_call_answer one = {.id = gateway.call[i],
					      .answer = DAG_RESULT_OK,
					      .has_look = cut,
					      .partial = cut};
		struct dag_call_answers list = {0};
		struct buf bytes = {0};

		if (gateway.kind[i] != DAG_CALL_LOOK)
			continue;
		list.answers.answers_len = 1;
		list.answers.answers_val = &one;
		ck_assert_int_eq(
			codec_encode((xdrproc_t)xdr_dag_call_answers, &list, &bytes), 0);
		relay_answers(relay, buf_str(&bytes));
		buf_free(&bytes);
	}
	gateway.n = 0;
}

/*
 * Guards against pace orders that count as calls without an answer: their gateway was
 * avoided, the path to the worker changed, and every gateway ended up connected to it.
 */
START_TEST(pace_is_not_waited_for)
{
	report();
	for (int i = 0; i < 5; i++)
		order_pace();
	play(PATIENCE_S);
	ck_assert_uint_eq(gateway.n, 5);
	gateway.n = 0;
	order_look();
	play(0.3);
	ck_assert_uint_eq(gateway.n, 1);
	ck_assert_uint_eq(direct.calls, 0);
	answer_looks(false);
	ck_assert_uint_eq(user.looked, 1);
	ck_assert_uint_eq(user.unanswered, 0);
}
END_TEST

/* Guards against a call that only fences and whose reply counts for a waiting poll. */
START_TEST(look_that_asks_for_no_reply_reports_none)
{
	struct dag_poll_command o = {.call = {.worker = 1}, .no_reply = true};

	report();
	transport()->ops->poll(transport(), &o);
	order_look();
	play(0.3);
	ck_assert_uint_eq(gateway.n, 2);
	answer_looks(false);
	ck_assert_uint_eq(user.looked, 1);
	transport()->ops->poll(transport(), &o);
	play(PATIENCE_S);
	ck_assert_uint_eq(user.unanswered, 0);
}
END_TEST

/* Guards against a look that never ends, and a silent gateway that stays in use. */
START_TEST(silent_gateway_is_avoided)
{
	report();
	order_look();
	play(PATIENCE_S - 1);
	ck_assert_uint_eq(user.unanswered, 1);
	order_look();
	ck_assert_uint_eq(direct.calls, 1);
	answer_looks(false); /* too late to count */
	ck_assert_uint_eq(user.looked, 0);
	play(PATIENCE_S - 1);
	order_look();
	ck_assert_uint_eq(direct.calls, 1);
}
END_TEST

/*
 * Guards against an answer to a call of the leader's earlier life that counts for a call
 * of this life, of another worker: both began their numbers at the same one.
 */
START_TEST(answer_of_an_earlier_life_is_ignored)
{
	report();
	order_look();
	play(0.3);
	ck_assert_uint_eq(gateway.n, 1);
	relay_free(relay);
	new_relay();
	report();
	order_look();
	answer_looks(false); /* of the earlier life */
	ck_assert_uint_eq(user.looked, 0);
	play(0.3);
	answer_looks(false);
	ck_assert_uint_eq(user.looked, 1);
}
END_TEST

/* Guards against an answer to a call of an ended term that counts for one of a new term.
 */
START_TEST(answer_of_an_earlier_term_is_ignored)
{
	report();
	order_look();
	play(0.3);
	ck_assert_uint_eq(gateway.n, 1);
	relay_clear(relay);
	report();
	order_look();
	answer_looks(false);
	ck_assert_uint_eq(user.looked, 0);
	play(0.3);
	answer_looks(false);
	ck_assert_uint_eq(user.looked, 1);
}
END_TEST

/* Plays the leader's loop for some seconds; reports of a real gateway arrive. */
static void play_leader(const struct dag_agent *report, double seconds)
{
	double end = ev_time() + seconds;
	struct dag_agent a = *report;

	while (ev_time() < end) {
		a.clock_us = clock_us();
		relay_agent(relay, &a);
		relay_flush(relay);
		ev_run(loop, EVRUN_ONCE);
	}
}

static void play_gateway(struct ev_loop *l, double seconds)
{
	double end = ev_time() + seconds;

	while (ev_time() < end) {
		ev_run(l, EVRUN_NOWAIT);
		ev_sleep(0.002);
	}
}

static void order_start_until(uint32_t run, int64_t send_until_us)
{
	struct dag_worker_command o = {.run = run};

	o.call = (struct dag_worker_call){.worker = 1,
					  .id = STR("i-1"),
					  .address = STR(WORKER_ADDRESS),
					  .lease_ms = 1000,
					  .send_until_us = send_until_us};
	transport()->ops->start(transport(), &o);
}

static void order_start(uint32_t run)
{
	order_start_until(run, 0);
}

static void order_poll_until(uint32_t wait_ms, int64_t send_until_us)
{
	struct dag_poll_command o = {.wait_ms = wait_ms};

	o.call = (struct dag_worker_call){.worker = 1,
					  .id = STR("i-1"),
					  .address = STR(WORKER_ADDRESS),
					  .send_until_us = send_until_us};
	transport()->ops->poll(transport(), &o);
}

/* A real gateway with an event loop of its own, and the report that it makes. */
struct far {
	struct ev_loop *loop;
	struct settings settings;
	struct agent *agent;
	struct dag_agent report;
};

/* Fills in what the gateway's process says of itself. */
static void far_report(struct far *f)
{
	f->report.life = agent_life(f->agent);
	f->report.clock_us = clock_us();
}

static void far_open(struct far *f)
{
	struct agent_options opt = {.settings = &f->settings};

	*f = (struct far){.settings = {.name = STR("gateway"), .cluster_key = STR(KEY)}};
	f->loop = ev_loop_new(0);
	opt.loop = f->loop;
	XDR_SET(f->report, zone, STR("a"));
	ck_assert_int_eq(addr_parse(STR(AGENT_ADDRESS), &f->settings.listen.rpc), 0);
	f->report.id = node_id(&f->settings.listen.rpc);
	ck_assert_int_eq(agent_new(&opt, &f->agent), 0);
	far_report(f);
}

static void far_close(struct far *f)
{
	agent_free(f->agent);
	ev_loop_destroy(f->loop);
}

/* Guards against start requests that reach a gateway late and still start a run. */
START_TEST(old_start_is_not_carried_out)
{
	struct fake worker;
	struct far f;

	far_open(&f);
	fake_open(&worker, WORKER_PORT);
	fake_say(&worker, "POST", "/api/run-start", 200, "{\"clock_ms\":1}", NULL, 0);
	play_leader(&f.report, 0.2);
	order_start(1);
	play_leader(&f.report, 1.5);
	play_gateway(f.loop, 0.5);
	ck_assert_uint_eq(fake_count(&worker, "run-start"), 0);
	play_leader(&f.report, 0.2); /* it hears the gateway again */
	order_start(2);
	play_leader(&f.report, 0.2);
	play_gateway(f.loop, 0.5);
	ck_assert_uint_eq(fake_count(&worker, "run-start"), 1);
	ck_assert_uint_eq(direct.calls, 0);
	far_close(&f);
	fake_close(&worker);
}
END_TEST

/* Guards against a gateway that makes calls of a leader whose lease has ended. */
START_TEST(call_of_an_ended_lease_is_not_carried_out)
{
	struct fake worker;
	struct far f;

	far_open(&f);
	fake_open(&worker, WORKER_PORT);
	play_leader(&f.report, 0.2);
	order_poll_until(0, clock_us() + 300000);
	order_start_until(1, clock_us() + 300000);
	play_leader(&f.report, 0.4);
	play_gateway(f.loop, 0.5);
	ck_assert_uint_eq(fake_count(&worker, "POST"), 0);
	order_poll_until(0, clock_us() + 5000000);
	play_leader(&f.report, 0.2);
	play_gateway(f.loop, 0.5);
	ck_assert_uint_eq(fake_count(&worker, "POST"), 1);
	ck_assert_uint_eq(direct.calls, 0);
	far_close(&f);
	fake_close(&worker);
}
END_TEST

/* Listens on an address without accepting. */
static int listen_on(const char *text)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	struct addr address;
	int one = 1;

	ck_assert_int_eq(addr_parse(str_from(text), &address), 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&address.sa, address.len), 0);
	ck_assert_int_eq(listen(fd, 16), 0);
	return fd;
}

/* Reads all that comes on the connections that wait and counts a path in it. */
static unsigned int count_requests(int listener, const char *path)
{
	char bytes[65536];
	unsigned int found = 0;
	ssize_t n;
	int fd;

	while ((fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK)) >= 0) {
		while ((n = recv(fd, bytes, sizeof(bytes), 0)) > 0)
			found += memmem(bytes, (size_t)n, path, strlen(path)) != NULL;
		close(fd);
	}
	return found;
}

/*
 * Guards against a gateway that sends a call late: it waits there for a connection,
 * since polls without an answer hold all that one executor may have.
 */
START_TEST(queued_call_of_an_ended_lease_is_not_sent)
{
	int worker = listen_on(WORKER_ADDRESS);
	int64_t lease_end_us;
	struct far f;

	far_open(&f);
	play_leader(&f.report, 0.2);
	for (int i = 0; i < CONNECTIONS_A_WORKER; i++)
		order_poll_until(100, 0);
	play_leader(&f.report, 0.1);
	play_gateway(f.loop, 0.1);
	lease_end_us = clock_us() + 200000;
	order_start_until(1, lease_end_us);
	play_leader(&f.report, 0.05);
	play_gateway(f.loop, 0.6);
	ck_assert_int_gt(clock_us(), lease_end_us);
	ck_assert_uint_eq(count_requests(worker, "run-start"), 0);
	order_start_until(2, clock_us() + 5000000);
	play_leader(&f.report, 0.1);
	play_gateway(f.loop, 0.3);
	ck_assert_uint_eq(count_requests(worker, "run-start"), 1);
	far_close(&f);
	close(worker);
}
END_TEST

/* Accepts the connection of the relay on the address of a gateway. */
static int accept_relay(int listener)
{
	int fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK);

	ck_assert_int_ge(fd, 0);
	return fd;
}

/* Guards against a gateway that stays out of reach for seconds after a partition. */
START_TEST(connection_without_answers_is_reset)
{
	struct rpc_server_options rpc = {
		.loop = loop, .key = STR(KEY), .host = &gateway.host};
	struct rpc_server *reached;
	struct dag_agent a = {0};
	int listener = listen_on(AGENT_ADDRESS);
	struct addr address;
	char bytes[4096];
	ssize_t n;
	int fd;

	XDR_SET(a, zone, STR("a"));
	ck_assert_int_eq(addr_parse(STR(AGENT_ADDRESS), &address), 0);
	a.id = node_id(&address);
	play_leader(&a, 0.2);
	order_start(1);
	play_leader(&a, 0.2);
	fd = accept_relay(listener);
	play_leader(&a, PATIENCE_S - 1);
	do
		n = recv(fd, bytes, sizeof(bytes), 0);
	while (n > 0);
	ck_assert_int_eq(n, -1);
	ck_assert_int_eq(errno, ECONNRESET);
	close(fd);
	close(listener);
	rpc.address = address;
	ck_assert_int_eq(rpc_server_new(&rpc, &reached), 0);
	play_leader(&a, PATIENCE_S / 2);
	order_start(2);
	play_leader(&a, 0.2);
	ck_assert_uint_eq(gateway.n, 1);
	ck_assert_uint_eq(direct.calls, 0);
	rpc_server_free(reached);
}
END_TEST

/* Hands the relay a start with the longest specification that there is. */
static void order_large_start(void)
{
	struct dag_worker_command o = {.call = {.worker = 1}, .run = 1};
	struct buf spec = {0};

	while (spec.n < DAG_MAX_SPEC)
		ck_assert_int_eq(buf_adds(&spec, "12345678"), 0);
	o.spec = buf_str(&spec);
	transport()->ops->start(transport(), &o);
	buf_free(&spec);
}

/* Guards against calls for an earlier life of a gateway that arrive with later ones. */
START_TEST(calls_for_an_earlier_life_of_a_gateway_are_dropped)
{
	struct dag_agent a = {.life = 1};
	int listener = listen_on(AGENT_ADDRESS);
	struct addr address;
	char bytes[4096];
	size_t total = 0;
	ssize_t n;
	int fd;

	/* The gateway's kernel takes a part of the call. */
	setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &(int){sizeof(bytes)}, sizeof(int));
	XDR_SET(a, zone, STR("a"));
	ck_assert_int_eq(addr_parse(STR(AGENT_ADDRESS), &address), 0);
	a.id = node_id(&address);
	play_leader(&a, 0.2);
	order_large_start();
	play_leader(&a, 0.2);
	fd = accept_relay(listener);
	fcntl(fd, F_SETFL, 0);
	a.life++;
	relay_agent(relay, &a);
	do {
		n = recv(fd, bytes, sizeof(bytes), 0);
		total += n > 0 ? (size_t)n : 0;
	} while (n > 0);
	ck_assert_uint_lt(total, DAG_MAX_SPEC);
	ck_assert_int_eq(n, -1);
	ck_assert_int_eq(errno, ECONNRESET);
	close(fd);
	close(listener);
}
END_TEST

/* Replaces the process of a gateway by a new one at the same address. */
static void far_restart(struct far *f)
{
	struct agent_options opt = {.loop = f->loop, .settings = &f->settings};

	agent_free(f->agent);
	ck_assert_int_eq(agent_new(&opt, &f->agent), 0);
}

/* Runs the leader's loop without a report of a gateway. */
static void play_leader_alone(double seconds)
{
	double end = ev_time() + seconds;

	while (ev_time() < end) {
		relay_flush(relay);
		ev_run(loop, EVRUN_NOWAIT);
		ev_sleep(0.002);
	}
}

/* Guards against calls that a restarted gateway makes by its earlier life's clock. */
START_TEST(call_for_an_earlier_life_of_a_gateway_is_not_carried_out)
{
	struct dag_agent earlier;
	struct fake worker;
	struct far f;

	far_open(&f);
	fake_open(&worker, WORKER_PORT);
	fake_say(&worker, "POST", "/api/run-start", 200, "{\"clock_ms\":1}", NULL, 0);
	earlier = f.report;
	earlier.clock_us = clock_us() + HOUR_US;
	relay_agent(relay, &earlier);
	far_restart(&f);
	order_start(1);
	play_leader_alone(1.2);
	play_gateway(f.loop, 0.3);
	ck_assert_uint_eq(fake_count(&worker, "run-start"), 0);
	far_report(&f);
	relay_agent(relay, &f.report);
	relay_agent(relay, &earlier); /* it was on its way for longer */
	order_start(2);
	play_leader_alone(1.2);
	play_gateway(f.loop, 0.3);
	ck_assert_uint_eq(fake_count(&worker, "run-start"), 0);
	play_leader(&f.report, 0.1);
	order_start(3);
	play_leader(&f.report, 0.2);
	play_gateway(f.loop, 0.5);
	ck_assert_uint_eq(fake_count(&worker, "run-start"), 1);
	far_close(&f);
	fake_close(&worker);
}
END_TEST

/* Counts the answers that reach a leader. */
struct leader {
	struct rpc_server_host host; /* first member */
	struct rpc_server *server;
	unsigned int batches;
	unsigned int answers;
	unsigned int lists;
	unsigned int cut; /* part of them whose ends may lack some */
};

static void on_answers(struct rpc_server_host *host, struct rpc_call *call)
{
	struct leader *l = (struct leader *)host;
	struct dag_call_answers list = {0};

	if (call->proc == PEER_NULL) { /* the gateway probes its connection */
		rpc_call_reply(call, 0, (struct str){NULL, 0});
		return;
	}
	ck_assert_uint_eq(call->proc, RELAY_PROC_ANSWERS);
	l->batches++;
	ck_assert_int_eq(codec_decode((xdrproc_t)xdr_dag_call_answers, &list, call->args),
			 0);
	for (u_int i = 0; i < list.answers.answers_len; i++) {
		l->answers++;
		l->lists += list.answers.answers_val[i].has_look != 0;
		l->cut += list.answers.answers_val[i].partial != 0;
	}
	codec_free((xdrproc_t)xdr_dag_call_answers, &list);
	rpc_call_drop(call);
}

static const struct rpc_server_ops leader_ops = {.call = on_answers};

static void leader_listen(struct leader *l)
{
	struct rpc_server_options rpc = {.loop = loop, .key = STR(KEY), .host = &l->host};

	ck_assert_int_eq(addr_parse(STR(LEADER_ADDRESS), &rpc.address), 0);
	ck_assert_int_eq(rpc_server_new(&rpc, &l->server), 0);
	leader_id = node_id(&rpc.address);
}

static void leader_open(struct leader *l)
{
	*l = (struct leader){.host = {.ops = &leader_ops}};
	leader_listen(l);
	relay_free(relay);
	new_relay();
}

/* Sends one expired call as a leader that another one has replaced. */
static void send_deposed(const struct far *f, struct rpc_client *client)
{
	struct dag_call c = {.id = 1, .kind = DAG_CALL_LOOK};
	struct dag_calls list = {.leader = DEPOSED_LEADER_ID, .life = f->report.life};
	struct buf bytes = {0};

	c.expires_us = clock_us() - 1;
	list.calls.calls_len = 1;
	list.calls.calls_val = &c;
	ck_assert_int_eq(codec_encode((xdrproc_t)xdr_dag_calls, &list, &bytes), 0);
	ck_assert_int_eq(rpc_client_post(client, RELAY_PROC_CALLS, buf_str(&bytes)), 0);
	buf_free(&bytes);
}

/* Reads the one request that waits and answers it. */
static void answer_request(int listener)
{
	static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n"
				     "Content-Type: application/json\r\n\r\n"
				     "{\"clock_ms\":1}";
	char bytes[65536];
	int fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK);

	ck_assert_int_ge(fd, 0);
	ck_assert_int_gt(recv(fd, bytes, sizeof(bytes), 0), 0);
	ck_assert_int_eq(write(fd, answer, strlen(answer)), (ssize_t)strlen(answer));
	close(fd);
}

/* Guards against answers to the leader that go to one whose late call came after its. */
START_TEST(late_call_of_a_deposed_leader_takes_no_answers)
{
	struct rpc_client_options opt = {
		.loop = loop, .member = STR("deposed"), .key = STR(KEY)};
	int worker = listen_on(WORKER_ADDRESS);
	struct rpc_client *deposed;
	struct leader l;
	struct far f;

	leader_open(&l);
	far_open(&f);
	ck_assert_int_eq(addr_parse(STR(AGENT_ADDRESS), &opt.address), 0);
	ck_assert_int_eq(rpc_client_new(&opt, &deposed), 0);
	play_leader(&f.report, 0.1);
	order_start(1);
	play_leader(&f.report, 0.1);
	play_gateway(f.loop, 0.1);
	send_deposed(&f, deposed);
	play_leader(&f.report, 0.1);
	play_gateway(f.loop, 0.1);
	answer_request(worker);
	play_gateway(f.loop, 0.2);
	play_leader(&f.report, 0.2);
	ck_assert_uint_eq(l.batches, 1);
	ck_assert_uint_eq(direct.calls, 0);
	rpc_client_free(deposed);
	far_close(&f);
	close(worker);
	rpc_server_free(l.server);
}
END_TEST

/* Guards against waiting for the answers of a gateway that has restarted. */
START_TEST(calls_of_an_earlier_life_of_a_gateway_end_with_it)
{
	report();
	order_look();
	play(0.3);
	ck_assert_uint_eq(gateway.n, 1);
	life_of_gateway++;
	report();
	ck_assert_uint_eq(user.unanswered, 1);
	answer_looks(false); /* of the earlier life */
	ck_assert_uint_eq(user.looked, 0);
	order_look();
	play(0.3);
	ck_assert_uint_eq(gateway.n, 1);
	answer_looks(false);
	ck_assert_uint_eq(user.looked, 1);
	ck_assert_uint_eq(direct.calls, 0);
}
END_TEST

/* Guards against a round with so many large starts that none of them is sent. */
START_TEST(starts_that_fill_messages_are_all_sent)
{
	struct dag_worker_command o = {.call = {.worker = 1}, .run = 1};
	struct buf spec = {0};

	while (spec.n < DAG_MAX_SPEC)
		ck_assert_int_eq(buf_adds(&spec, "12345678"), 0);
	o.spec = buf_str(&spec);
	play(0.2);
	for (unsigned int i = 0; i < MAX_CALLS; i++)
		transport()->ops->start(transport(), &o);
	play(0.5);
	ck_assert_uint_eq(gateway.n, MAX_CALLS);
	ck_assert_uint_eq(direct.calls, 0);
	buf_free(&spec);
}
END_TEST

/* An executor's reply with so many runs that the message to the leader is too large. */
static void make_long_list(struct buf *out)
{
	buf_adds(out, "{\"born\":1,\"clock_ms\":1,\"ended\":[],\"running\":[");
	for (int i = 0; i < LONG_LIST; i++)
		buf_adds(out, i ? ",[\"0000000000000001.0.0.0\",1]"
				: "[\"0000000000000001.0.0.0\",1]");
	ck_assert_int_eq(buf_adds(out, "]}"), 0);
}

/* Guards against one executor's list that leaves the leader without answers. */
START_TEST(list_that_is_too_long_is_answered)
{
	struct buf body = {0};
	struct fake worker;
	struct leader l;
	struct far f;

	far_open(&f);
	leader_open(&l);
	make_long_list(&body);
	fake_open(&worker, WORKER_PORT);
	fake_say(&worker, "POST", "/api/hold", 200, body.p, NULL, 1);
	fake_say(&worker, "POST", "/api/hold", 200,
		 "{\"born\":1,\"clock_ms\":1,\"running\":[],\"ended\":[]}", NULL, 0);
	play_leader(&f.report, 0.2);
	order_poll_until(2000, 0);
	order_poll_until(2000, 0);
	for (int i = 0; i < 20 && l.answers < 2; i++) {
		play_leader(&f.report, 0.05);
		play_gateway(f.loop, 0.1);
	}
	ck_assert_uint_eq(l.answers, 2);
	ck_assert_uint_eq(l.lists, 1);
	rpc_server_free(l.server);
	far_close(&f);
	fake_close(&worker);
	buf_free(&body);
}
END_TEST

/* Guards against a relayed list of ends that is taken for a list of all ends. */
START_TEST(relayed_list_may_lack_ends)
{
	struct buf body = {0};
	struct fake worker;
	struct leader l;
	struct far f;

	play(0.2);
	order_look();
	play(0.2);
	answer_looks(true);
	ck_assert_uint_eq(user.cut, 1);
	far_open(&f);
	leader_open(&l);
	buf_adds(&body, "{\"born\":1,\"clock_ms\":1,\"running\":[],\"ended\":[");
	for (unsigned int i = 0; i < LISTED_ENDS; i++)
		buf_addf(&body, "%s[%u,\"0000000000000001.0.0.%u\",1,\"done\",\"\"]",
			 i ? "," : "", i + 1, i);
	ck_assert_int_eq(buf_adds(&body, "]}"), 0);
	fake_open(&worker, WORKER_PORT);
	fake_say(&worker, "POST", "/api/hold", 200, body.p, NULL, 0);
	play_leader(&f.report, 0.2);
	order_poll_until(2000, 0);
	for (int i = 0; i < 20 && l.answers < 1; i++) {
		play_leader(&f.report, 0.05);
		play_gateway(f.loop, 0.1);
	}
	ck_assert_uint_eq(l.lists, 1);
	ck_assert_uint_eq(l.cut, 1);
	rpc_server_free(l.server);
	far_close(&f);
	fake_close(&worker);
	buf_free(&body);
}
END_TEST

/* In which a machine whose connections were reset has to be in touch again. */
#define IN_TOUCH_S 3.0

/* Guards against a gateway that is avoided as the connection to it has gone silent. */
START_TEST(silent_connection_to_a_gateway_is_noticed)
{
	struct rpc_server_options rpc = {
		.loop = loop, .key = STR(KEY), .host = &gateway.host};
	int listener;
	int silent;

	rpc_server_free(gateway.server);
	gateway.server = NULL;
	listener = listen_on(ADDRESS);
	report();
	order_look();
	play(0.2);
	silent = accept_relay(listener);
	close(listener);
	ck_assert_int_eq(addr_parse(STR(ADDRESS), &rpc.address), 0);
	ck_assert_int_eq(rpc_server_new(&rpc, &gateway.server), 0);
	play(IN_TOUCH_S);
	ck_assert_uint_eq(user.unanswered, 1);
	ck_assert_uint_eq(user.lost, 1);
	order_look();
	play(0.3);
	ck_assert_uint_eq(direct.calls, 0);
	ck_assert_uint_eq(gateway.n, 1);
	answer_looks(false);
	ck_assert_uint_eq(user.looked, 1);
	close(silent);
}
END_TEST

/*
 * A gateway has the answer to a poll for a leader that takes its connection and reads
 * nothing. Returns the leader's socket.
 */
static int open_silent_leader(struct leader *l, struct far *f, struct fake *worker)
{
	int listener;

	far_open(f);
	leader_open(l);
	rpc_server_free(l->server);
	listener = listen_on(LEADER_ADDRESS);
	fake_open(worker, WORKER_PORT);
	fake_say(worker, "POST", "/api/hold", 200,
		 "{\"born\":1,\"clock_ms\":1,\"running\":[],\"ended\":[]}", NULL, 0);
	play_leader(&f->report, 0.2);
	order_poll_until(0, 0);
	play_leader(&f->report, 0.1);
	return listener;
}

/* Guards against ends that are lost as a gateway's connection to the leader is silent. */
START_TEST(answers_on_a_silent_connection_are_sent_again)
{
	struct fake worker;
	struct leader l;
	struct far f;
	int listener;
	int silent;

	listener = open_silent_leader(&l, &f, &worker);
	play_gateway(f.loop, 0.3);
	silent = accept_relay(listener);
	close(listener);
	leader_listen(&l);
	for (int i = 0; i < IN_TOUCH_S / 0.1 && !l.lists; i++) {
		play_gateway(f.loop, 0.1);
		play_leader_alone(0.02);
	}
	ck_assert_uint_eq(l.lists, 1);
	close(silent);
	rpc_server_free(l.server);
	far_close(&f);
	fake_close(&worker);
}
END_TEST

/* Guards against a few gateways that get the calls of all, as one cause stops most. */
START_TEST(most_gateways_are_never_avoided)
{
	struct rpc_server_options rpc = {.loop = loop, .key = STR(KEY)};
	struct gateway crowd[CROWD] = {0};
	struct dag_agent a = {.life = 1};
	char text[32];

	XDR_SET(a, zone, STR("a"));
	for (int i = 0; i < CROWD; i++) {
		crowd[i].host.ops = &gateway_ops;
		rpc.host = &crowd[i].host;
		snprintf(text, sizeof(text), "127.0.0.1:%d", CROWD_PORT + i);
		ck_assert_int_eq(addr_parse(str_from(text), &rpc.address), 0);
		ck_assert_int_eq(rpc_server_new(&rpc, &crowd[i].server), 0);
	}
	for (double end = ev_time() + 2 * PATIENCE_S; ev_time() < end;) {
		for (int i = 0; i < CROWD; i++) {
			snprintf(text, sizeof(text), "127.0.0.1:%d", CROWD_PORT + i);
			ck_assert_int_eq(addr_parse(str_from(text), &rpc.address), 0);
			a.id = node_id(&rpc.address);
			a.clock_us = clock_us();
			relay_agent(relay, &a);
		}
		order_look();
		relay_flush(relay);
		ev_run(loop, EVRUN_ONCE);
		ev_sleep(CROWD_PERIOD_S);
	}
	ck_assert_uint_gt(user.unanswered, 0);
	ck_assert_uint_eq(direct.calls, 0);
	for (int i = 0; i < CROWD; i++)
		rpc_server_free(crowd[i].server);
}
END_TEST

/* Guards against a gateway that hangs and is used again as its kernel takes connections.
 */
START_TEST(hung_gateway_is_avoided)
{
	struct dag_agent a = {0};
	int listener = listen_on(AGENT_ADDRESS);
	struct addr address;

	XDR_SET(a, zone, STR("a"));
	ck_assert_int_eq(addr_parse(STR(AGENT_ADDRESS), &address), 0);
	a.id = node_id(&address);
	play_leader(&a, 0.2);
	order_look();
	for (double end = ev_time() + IN_TOUCH_S; ev_time() < end && !user.unanswered;)
		play_leader(&a, 0.02);
	ck_assert_uint_eq(user.unanswered, 1);
	for (int i = 0; i < 5; i++) {
		play_leader(&a, 0.4);
		order_look();
	}
	ck_assert_uint_eq(direct.calls, 5);
	close(listener);
}
END_TEST

/* Guards against answers to calls that were given up and hold up newer ones. */
START_TEST(stale_answers_are_dropped)
{
	struct fake worker;
	struct leader l;
	struct far f;
	int listener;

	listener = open_silent_leader(&l, &f, &worker);
	play_gateway(f.loop, 2 * IN_TOUCH_S);
	close(listener);
	leader_listen(&l);
	for (int i = 0; i < IN_TOUCH_S / 0.1; i++) {
		play_gateway(f.loop, 0.1);
		play_leader_alone(0.02);
	}
	ck_assert_uint_eq(l.lists, 0);
	rpc_server_free(l.server);
	far_close(&f);
	fake_close(&worker);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("relay");
	TCase *t = tcase_create("calls");
	SRunner *r;
	int failed;

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_set_timeout(t, 60);
	tcase_add_test(t, pace_is_not_waited_for);
	tcase_add_test(t, look_that_asks_for_no_reply_reports_none);
	tcase_add_test(t, silent_gateway_is_avoided);
	tcase_add_test(t, answer_of_an_earlier_life_is_ignored);
	tcase_add_test(t, answer_of_an_earlier_term_is_ignored);
	tcase_add_test(t, old_start_is_not_carried_out);
	tcase_add_test(t, call_of_an_ended_lease_is_not_carried_out);
	tcase_add_test(t, queued_call_of_an_ended_lease_is_not_sent);
	tcase_add_test(t, connection_without_answers_is_reset);
	tcase_add_test(t, calls_for_an_earlier_life_of_a_gateway_are_dropped);
	tcase_add_test(t, call_for_an_earlier_life_of_a_gateway_is_not_carried_out);
	tcase_add_test(t, calls_of_an_earlier_life_of_a_gateway_end_with_it);
	tcase_add_test(t, starts_that_fill_messages_are_all_sent);
	tcase_add_test(t, list_that_is_too_long_is_answered);
	tcase_add_test(t, relayed_list_may_lack_ends);
	tcase_add_test(t, silent_connection_to_a_gateway_is_noticed);
	tcase_add_test(t, answers_on_a_silent_connection_are_sent_again);
	tcase_add_test(t, most_gateways_are_never_avoided);
	tcase_add_test(t, hung_gateway_is_avoided);
	tcase_add_test(t, stale_answers_are_dropped);
	tcase_add_test(t, late_call_of_a_deposed_leader_takes_no_answers);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
