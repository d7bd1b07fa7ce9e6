/* Reports of executors on the control port, from executors and from other writers. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "io/http_server.h"
#include "platform/operators.h"
#include "proto/codec.h"

#define PATH "/api/instances/i-1/heartbeat"

static struct http_server_host *server;
static unsigned int status;
static unsigned int forwarded;
static struct buf receipt;
static int64_t left_born_ms;
static enum dag_outcome outcome;
static const char *born_text;

int http_server_new(const struct http_server_options *opt, struct http_server **out)
{
	server = opt->host;
	*out = NULL;
	return 0;
}

void http_request_reply(struct http_request *req, unsigned int code,
			const struct http_header *headers, size_t n_headers,
			struct str body)
{
	status = code;
	ck_assert_int_eq(buf_set(&receipt, buf_str(&req->receipt)), 0);
}

bool http_request_is_abandoned(const struct http_request *req)
{
	return false;
}

void http_server_free(struct http_server *s)
{
}

static void on_request(struct dag_request_handler *p, const struct dag_request *req,
		       double timeout, struct dag_pending_request *t)
{
	struct dag_reply reply = {.outcome = outcome};

	forwarded++;
	if (req->kind == DAG_REQ_LEFT &&
	    str_eq(XDR_STR(req->dag_request_u.left.id, text), STR("i-1")))
		left_born_ms = req->dag_request_u.left.born_ms;
	if (req->kind == DAG_REQ_LEAVE)
		XDR_SET(reply, text, str_from(born_text));
	t->ops->done(t, &reply);
}

static struct str report_address(struct dag_request_handler *p)
{
	return STR("10.0.0.1:7000");
}

static const struct dag_request_handler_ops handler_ops = {
	.request = on_request,
	.report_address = report_address,
};
static struct dag_request_handler handler = {.ops = &handler_ops};
static struct operators *operators;

static void setup(void)
{
	struct operators_options opt = {.handler = &handler};

	forwarded = 0;
	outcome = DAG_OK;
	born_text = "1700000000000";
	left_born_ms = 0;
	ck_assert_int_eq(operators_new(&opt, &operators), 0);
}

static void teardown(void)
{
	operators_free(operators);
	buf_free(&receipt);
}

static void post_to(const char *path, struct str body)
{
	struct http_request req = {.method = "POST", .path = path};

	status = 0;
	ck_assert_int_eq(buf_add(&req.body, body.p, body.n), 0);
	server->ops->request(server, &req);
	buf_free(&req.body);
	buf_free(&req.receipt);
}

static void post(struct str body)
{
	post_to(PATH, body);
}

/* A report; other replaces its field of that name. */
static void report(const char *field, const char *other)
{
	static const char *const fields[][2] = {
		{"service", "\"s\""},
		{"address", "\"10.0.0.9:8080\""},
		{"zone", "\"z\""},
		{"state", "\"ready\""},
		{"room", "{\"cpu\":1000,\"mem_mb\":1000,\"gpu\":0}"},
		{"labels", "[\"a\"]"},
		{"clock_ms", "5"},
		{"born", "1700000000000"},
		{"seq", "4"},
	};
	struct buf body = {0};

	buf_adds(&body, "{");
	for (size_t i = 0; i < sizeof(fields) / sizeof(fields[0]); i++)
		buf_addf(&body, "%s\"%s\":%s", i ? "," : "", fields[i][0],
			 strcmp(field, fields[i][0]) == 0 ? other : fields[i][1]);
	ck_assert_int_eq(buf_adds(&body, "}"), 0);
	post(buf_str(&body));
	buf_free(&body);
}

static void assert_refused(const char *field, const char *other)
{
	report(field, other);
	ck_assert_msg(status == 400 && !forwarded, "%s %s: %u", field, other, status);
}

/* Guards against an entry that is kept as an executor and called at an address of none.
 */
START_TEST(report_with_an_address_of_no_host_is_refused)
{
	report("", "");
	ck_assert_uint_eq(status, 200);
	ck_assert_uint_eq(forwarded, 1);
	forwarded = 0;
	assert_refused("address", "\"10.0.0.9:99999\"");
	assert_refused("address", "\"10.0.0.9:65536\"");
	assert_refused("address", "\"10.0.0.9:0\"");
	assert_refused("address", "\"10.0.0.9\"");
	assert_refused("address", "\"10.0.0.9:\"");
	assert_refused("address", "\"host.example:80\"");
	assert_refused("address", "\"0.0.0.0:80\"");
	assert_refused("address", "\"255.255.255.255:80\"");
	assert_refused("address", "\"10.0.0.9:80/x\"");
	assert_refused("address", "\"10.0.0.9:80 \"");
	assert_refused("address", "8080");
}
END_TEST

/* Guards against an executor whose end is told though it has no answer to its notice, or
 * of another life. _i 1: the notice is refused; 2: no life is told.
 */
START_TEST(executor_that_received_its_answer_has_left)
{
	outcome = _i == 1 ? DAG_REJECTED : DAG_OK;
	born_text = _i == 2 ? "" : born_text;
	post_to("/api/instances/i-1/deregister", STR(""));
	ck_assert_uint_eq(status, _i == 1 ? 503 : 200);
	ck_assert_int_eq(left_born_ms, 0);
	ck_assert_int_eq(receipt.n > 0, _i == 0);
	if (_i)
		return;
	server->ops->received(server, buf_str(&receipt));
	ck_assert_int_eq(left_born_ms, 1700000000000);
	report("", "");
	ck_assert_uint_eq(receipt.n, 0);
}
END_TEST

/* Guards against one report that makes all later ones under its id old. */
START_TEST(report_with_times_of_no_clock_is_refused)
{
	char born[32];

	assert_refused("born", "9007199254740992");
	assert_refused("born", "-1");
	assert_refused("born", "1e300");
	snprintf(born, sizeof(born), "%lld",
		 (long long)(clock_wall_us() / 1000 + 2 * 24 * 3600 * 1000LL));
	assert_refused("born", born);
	assert_refused("clock_ms", "9007199254740992");
	assert_refused("clock_ms", "-1");
	snprintf(born, sizeof(born), "%lld", (long long)clock_wall_us() / 1000 + 10000LL);
	report("born", born);
	ck_assert_uint_eq(status, 200);
}
END_TEST

/* Guards against an odd entry that ends the process or is kept. */
START_TEST(odd_report_is_refused)
{
	struct buf deep = {0};

	assert_refused("room", "{\"cpu\":4294967296,\"mem_mb\":1,\"gpu\":0}");
	assert_refused("room", "{\"cpu\":99999999999999999999,\"mem_mb\":1}");
	assert_refused("seq", "99999999999999999999");
	assert_refused("state", "\"tired\"");
	for (int i = 0; i < 200000; i++)
		ck_assert_int_eq(buf_adds(&deep, "["), 0);
	assert_refused("labels", deep.p);
	post(buf_str(&deep));
	ck_assert_uint_eq(status, 400);
	buf_free(&deep);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("operators");
	TCase *tc = tcase_create("reports");
	SRunner *sr;
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, report_with_an_address_of_no_host_is_refused);
	tcase_add_test(tc, report_with_times_of_no_clock_is_refused);
	tcase_add_loop_test(tc, executor_that_received_its_answer_has_left, 0, 3);
	tcase_add_test(tc, odd_report_is_refused);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
