#include <check.h>
#include <malloc.h>
#include <stdlib.h>

#include <ev.h>

#include "carawayfrontd/dag_client.h"
#include "carawayfrontd/node_id.h"
#include "proto/codec.h"

#define N_REQUESTS 200
#define KEPT_BYTES 4096 /* that the allocator may keep after all requests */

static struct ev_loop *loop;
static struct settings settings;
static struct dag_client *client;
static enum dag_outcome outcome;
static unsigned int replies;

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

int main(void)
{
	Suite *s = suite_create("dag_client");
	TCase *t = tcase_create("requests");
	SRunner *r;
	int failed;

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, request_beyond_a_bound_is_invalid);
	tcase_add_test(t, members_take_the_place_of_those_that_left);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
