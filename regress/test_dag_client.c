#include <check.h>
#include <malloc.h>
#include <stdlib.h>

#include <ev.h>

#include "carawayfrontd/dag_client.h"
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

int main(void)
{
	Suite *s = suite_create("dag_client");
	TCase *t = tcase_create("requests");
	SRunner *r;
	int failed;

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, request_beyond_a_bound_is_invalid);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
