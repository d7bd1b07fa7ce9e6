/* The port for callers: what a request is forwarded as, and what its reply becomes. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "io/http_server.h"
#include "platform/callers.h"
#include "proto/codec.h"

#define HEADER "X-Carawayfront-Credential"
#define LONGEST DAG_MAX_CREDENTIAL
#define VALID_JOB "{\"spec\":\"s\",\"steps\":[{\"count\":1}]}"

/* In place of io/http_server.c: the test makes the requests. */
static struct http_server_host *server;
static struct http_header headers[4];
static size_t n_headers;
static unsigned int status; /* of the reply, 0: none */

int http_server_new(const struct http_server_options *opt, struct http_server **out)
{
	server = opt->host;
	*out = NULL;
	return 0;
}

struct str http_request_header(const struct http_request *req, const char *name)
{
	return strcmp(name, "Host") == 0 ? STR("h") : (struct str){NULL, 0};
}

bool http_request_each_header(const struct http_request *req,
			      struct http_header_visitor *v)
{
	for (size_t i = 0; i < n_headers; i++)
		if (!v->header(v, &headers[i]))
			return false;
	return true;
}

void http_request_reply(struct http_request *req, unsigned int code,
			const struct http_header *list, size_t n, struct str body)
{
	ck_assert_uint_eq(status, 0);
	status = code;
	if (code == 401 || code == 409)
		ck_assert(str_eq(body, STR("{}")));
}

bool http_request_is_abandoned(const struct http_request *req)
{
	return false;
}

const struct http_server_stats *http_server_stats(const struct http_server *s)
{
	return NULL;
}

void http_server_stop_accepting(struct http_server *s)
{
}

void http_server_free(struct http_server *s)
{
}

/* The leader. */
static enum dag_request_kind kind; /* of the newest request, 0: none */
static char credential[LONGEST + 1];
static size_t n_steps;
static bool with_orgs;
static enum dag_outcome outcome;

static void on_request(struct dag_request_handler *p, const struct dag_request *req,
		       double timeout, struct dag_pending_request *t)
{
	const struct dag_reply reply = {.outcome = outcome};
	struct str text = {0};

	kind = req->kind;
	if (kind == DAG_REQ_ORG_SUBMIT) {
		text = XDR_STR(req->dag_request_u.org_submit.credential, text);
		n_steps = req->dag_request_u.org_submit.submit.job.steps.steps_len;
	} else if (kind == DAG_REQ_ORG_READ || kind == DAG_REQ_ORG_CANCEL) {
		text = XDR_STR(req->dag_request_u.org_target.credential, text);
		ck_assert(str_eq(XDR_STR(req->dag_request_u.org_target.target, path),
				 STR("/q/1")));
	} else if (kind == DAG_REQ_SUBMIT) {
		n_steps = req->dag_request_u.submit.job.steps.steps_len;
	}
	ck_assert_uint_le(text.n, LONGEST);
	snprintf(credential, sizeof(credential), "%.*s", STR_ARG(text));
	t->ops->done(t, &reply);
}

static bool is_ready(struct dag_request_handler *p)
{
	return true;
}

static bool may_have_orgs(struct dag_request_handler *p)
{
	return with_orgs;
}

static const struct dag_request_handler_ops handler_ops = {
	.request = on_request,
	.ready = is_ready,
	.may_have_orgs = may_have_orgs,
};

static struct dag_request_handler handler = {.ops = &handler_ops};
static struct callers *callers;

static void open_callers(void)
{
	struct callers_options opt = {.handler = &handler};

	ck_assert_int_eq(callers_new(&opt, &callers), 0);
	n_headers = 0;
	with_orgs = false;
	outcome = DAG_OK;
}

static void close_callers(void)
{
	callers_free(callers);
}

static void add_header(const char *name, const char *value)
{
	headers[n_headers++] = (struct http_header){name, str_from(value)};
}

/* Returns the status of the reply. */
static unsigned int request(const char *method, const char *body)
{
	struct http_request req = {.method = method, .path = "/q/1"};

	ck_assert_int_eq(buf_adds(&req.body, body), 0);
	kind = 0;
	status = 0;
	credential[0] = '\0';
	server->ops->request(server, &req);
	buf_free(&req.body);
	return status;
}

/* Guards against requests that earlier controllers do not know. */
START_TEST(without_a_credential_requests_are_as_before)
{
	add_header("X-Other", "k");
	ck_assert_uint_eq(request("GET", ""), 200);
	ck_assert_int_eq(kind, DAG_REQ_READ);
	ck_assert_uint_eq(request("DELETE", ""), 200);
	ck_assert_int_eq(kind, DAG_REQ_CANCEL);
	ck_assert_uint_eq(request("POST", VALID_JOB), 200);
	ck_assert_int_eq(kind, DAG_REQ_SUBMIT);
	ck_assert_uint_eq(n_steps, 1);
	ck_assert_uint_eq(request("POST", "{\"steps\":1}"), 400);
	ck_assert_int_eq(kind, 0);
	ck_assert_uint_eq(request("PUT", ""), 405);
}
END_TEST

/* Guards against a credential that does not reach the leader as it was sent. */
START_TEST(credential_is_sent_to_the_leader)
{
	add_header("x-carawayfront-CREDENTIAL", " \tkey 1 ");
	ck_assert_uint_eq(request("GET", ""), 200);
	ck_assert_int_eq(kind, DAG_REQ_ORG_READ);
	ck_assert_str_eq(credential, "key 1");
	ck_assert_uint_eq(request("DELETE", ""), 200);
	ck_assert_int_eq(kind, DAG_REQ_ORG_CANCEL);
	ck_assert_str_eq(credential, "key 1");
	ck_assert_uint_eq(request("POST", VALID_JOB), 200);
	ck_assert_int_eq(kind, DAG_REQ_ORG_SUBMIT);
	ck_assert_str_eq(credential, "key 1");
	ck_assert_uint_eq(n_steps, 1);
}
END_TEST

static const struct {
	const char *first, *second; /* second NULL: sent once */
	const char *sent;	    /* to the leader; empty: malformed */
} cases[] = {
	{"key", "key", "key"}, {"key", " key", "key"}, {"key", "Key", ""},
	{"key", "", ""},       {"", "key", ""},	       {"", NULL, ""},
	{"  ", NULL, ""},      {"k\x01y", NULL, ""},   {"k\ty", NULL, ""},
	{"key\x7f", NULL, ""}, {"k\ny", NULL, ""},     {"k\xc3\xa4", NULL, "k\xc3\xa4"},
	{"a,b", NULL, "a,b"},
};

/* Guards against a choice between two credentials, and bytes that damage the log. */
START_TEST(malformed_credentials_are_sent_as_empty)
{
	add_header(HEADER, cases[_i].first);
	if (cases[_i].second)
		add_header(HEADER, cases[_i].second);
	request("GET", "");
	ck_assert_int_eq(kind, DAG_REQ_ORG_READ);
	ck_assert_msg(strcmp(credential, cases[_i].sent) == 0, "case %d: %s", _i,
		      credential);
}
END_TEST

/* Guards against a longer credential that is cut to a valid one. */
START_TEST(credential_of_the_greatest_length)
{
	char text[LONGEST + 2];

	memset(text, 'k', sizeof(text));
	text[LONGEST] = '\0';
	add_header(HEADER, text);
	request("GET", "");
	ck_assert_str_eq(credential, text);
	text[LONGEST] = 'k';
	text[LONGEST + 1] = '\0';
	n_headers = 0;
	add_header(HEADER, text);
	request("GET", "");
	ck_assert_int_eq(kind, DAG_REQ_ORG_READ);
	ck_assert_str_eq(credential, "");
}
END_TEST

/* Guards against 400 for a caller that must be told that it has no access. */
START_TEST(refusal_takes_precedence_over_a_bad_body)
{
	outcome = DAG_UNAUTHORIZED;
	with_orgs = true;
	ck_assert_uint_eq(request("POST", "{\"steps\":1}"), 401);
	ck_assert_int_eq(kind, DAG_REQ_SUBMIT);
	ck_assert_uint_eq(n_steps, 0); /* no leader takes that */
	ck_assert_uint_eq(request("POST", "{"), 401);
	with_orgs = false;
	add_header(HEADER, "key");
	ck_assert_uint_eq(request("POST", "{\"steps\":[{\"count\":1},{\"count\":-1}]}"),
			  401);
	ck_assert_int_eq(kind, DAG_REQ_ORG_SUBMIT);
	ck_assert_uint_eq(n_steps, 0);
	outcome = DAG_INVALID;
	ck_assert_uint_eq(request("POST", "{"), 400);
}
END_TEST

static const struct {
	enum dag_outcome outcome;
	unsigned int status;
} outcomes[] = {
	{DAG_OK, 200},	       {DAG_NO_QUEUE, 404}, {DAG_NO_JOB, 410},
	{DAG_NO_CONF, 503},    {DAG_REJECTED, 503}, {DAG_INVALID, 400},
	{DAG_NOT_LEADER, 503}, {DAG_UNKNOWN, 504},  {DAG_UNAUTHORIZED, 401},
	{DAG_CONFLICT, 409},
};

/* Guards against an outcome that the caller is told as another, or not at all. */
START_TEST(outcomes_are_told)
{
	outcome = outcomes[_i].outcome;
	ck_assert_uint_eq(request("DELETE", ""), outcomes[_i].status);
}
END_TEST

#define N_OF(list) ((int)(sizeof(list) / sizeof((list)[0])))

int main(void)
{
	Suite *s = suite_create("callers");
	TCase *t = tcase_create("callers");
	SRunner *r;
	int failed;

	tcase_add_checked_fixture(t, open_callers, close_callers);
	tcase_add_test(t, without_a_credential_requests_are_as_before);
	tcase_add_test(t, credential_is_sent_to_the_leader);
	tcase_add_loop_test(t, malformed_credentials_are_sent_as_empty, 0, N_OF(cases));
	tcase_add_test(t, credential_of_the_greatest_length);
	tcase_add_test(t, refusal_takes_precedence_over_a_bad_body);
	tcase_add_loop_test(t, outcomes_are_told, 0, N_OF(outcomes));
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
