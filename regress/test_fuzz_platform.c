/* Bodies and headers of executors, callers and operators, without HTTP below them. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "io/http_client.h"
#include "platform/callers.h"
#include "platform/executors.h"
#include "platform/json.h"
#include "platform/operators.h"
#include "proto/codec.h"
#include "regress/lib_fuzz.h"

#define N_INPUTS 40000
#define MAX_HEADER 512U

static const char *const words[] = {
	"{",	  "}",	     "[",	 "]",	  ",",	       ":",
	"\"",	  "\\u0000", "\\ud800",	 "null",  "true",      "-",
	"\n",	  "\xff",    "running",	 "ended", "\"steps\"", "\"a\"",
	"[[[[[[", "{\"\":",  "\"x\":1,", "done",  NULL};

/* In place of io/http_client.c: one call at a time, which the test answers. */
static struct http_call *open_call;

int http_client_new(const struct http_client_options *opt, struct http_client **out)
{
	*out = NULL;
	return 0;
}

int http_client_start(struct http_client *c, const struct http_call_options *opt,
		      struct http_call *call)
{
	open_call = call;
	return 0;
}

void http_call_cancel(struct http_call *call)
{
}

void http_client_free(struct http_client *c)
{
}

/* In place of io/http_server.c: the test makes the requests. */
static struct http_server_host *server;
static struct str header;
static bool credential_sent;
static unsigned int replies;

int http_server_new(const struct http_server_options *opt, struct http_server **out)
{
	server = opt->host;
	*out = NULL;
	return 0;
}

struct str http_request_header(const struct http_request *req, const char *name)
{
	return header;
}

/* The credential is sent twice, once cut at a vertical bar. */
bool http_request_each_header(const struct http_request *req,
			      struct http_header_visitor *v)
{
	struct http_header first = {"x-carawayfront-credential", header};
	struct http_header second = first;
	struct str rest;

	if (!credential_sent)
		return true;
	str_split(header, '|', &first.value, &rest);
	return v->header(v, &first) && (!rest.n || v->header(v, &second));
}

void http_request_reply(struct http_request *req, unsigned int status,
			const struct http_header *headers, size_t n_headers,
			struct str body)
{
	replies++;
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

static struct fuzz fuzz;

/* Executors. */

static unsigned int answers;
static struct str answer_body;

/* A number of a list that is not the one in the body belongs to another run. */
static void check_row(json_t *row, size_t column, uint64_t value)
{
	json_int_t sent = json_integer_value(json_array_get(row, column));

	FUZZ_CHECK(&fuzz, sent >= 0 && (uint64_t)sent == value);
}

/* What a gateway could not pass on is not taken either. */
static void check_passed_on(const struct dag_task_ref *task, uint32_t run,
			    struct str checkpoint)
{
	struct dag_end e = {.task = *task, .run = run};
	struct buf bytes = {0};

	XDR_SET(e, checkpoint, checkpoint);
	FUZZ_CHECK(&fuzz, codec_encode((xdrproc_t)xdr_dag_end, &e, &bytes) == 0);
	buf_free(&bytes);
}

/* The next row, from *i on, of a run: its name is in a column, its number in the next. */
static json_t *next_row(json_t *list, size_t *i, size_t column,
			const struct dag_task_ref *t, uint32_t run)
{
	char name[64];

	snprintf(name, sizeof(name), "%016llx.%u.%u.%u", (unsigned long long)t->job,
		 t->occurrence, t->step, t->index);
	while (*i < json_array_size(list)) {
		json_t *row = json_array_get(list, (*i)++);
		const char *text = json_string_value(json_array_get(row, column));
		json_int_t number = json_integer_value(json_array_get(row, column + 1));

		if (text && strcmp(name, text) == 0 && number == (json_int_t)run)
			return row;
	}
	return NULL;
}

/* What is listed are the rows in their order; when one is left out, the list says so. */
static void check_lists(const struct dag_poll_reply *poll)
{
	json_t *body = json_parse(answer_body);
	json_t *running = json_object_get(body, "running");
	json_t *ended = json_object_get(body, "ended");
	size_t row = 0;

	FUZZ_CHECK(&fuzz, poll->n_running <= json_array_size(running));
	FUZZ_CHECK(&fuzz, poll->n_ended <= json_array_size(ended));
	FUZZ_CHECK(&fuzz, poll->partial || (poll->n_running == json_array_size(running) &&
					    poll->n_ended == json_array_size(ended)));
	for (size_t i = 0; i < poll->n_running; i++) {
		const struct dag_listed_run *l = &poll->running[i];

		check_row(next_row(running, &row, 0, &l->task, l->run), 1, l->run);
		check_passed_on(&l->task, l->run, l->checkpoint);
	}
	row = 0;
	for (size_t i = 0; i < poll->n_ended; i++) {
		const struct dag_listed_end *l = &poll->ended[i];
		json_t *from = next_row(ended, &row, 1, &l->task, l->run);

		check_row(from, 0, l->number);
		check_row(from, 2, l->run);
		check_passed_on(&l->task, l->run, l->checkpoint);
	}
	json_decref(body);
}

static void on_command(struct dag_transport_user *u, uint32_t worker,
		       const struct dag_task_ref *t, uint32_t run,
		       enum dag_call_result result)
{
	answers++;
	fuzz.accepted += result == DAG_RESULT_RUN_ENDED;
}

static void on_poll(struct dag_transport_user *u, uint32_t worker,
		    enum dag_call_result result, const struct dag_poll_reply *poll)
{
	answers++;
	fuzz.accepted += poll != NULL;
	if (poll)
		check_lists(poll);
}

static const struct dag_transport_user_ops user_ops = {
	.start_replied = on_command,
	.stop_replied = on_command,
	.poll_replied = on_poll,
};

static void add_answers(void)
{
	struct buf text = {0};

	fuzz_add(&fuzz, STR("{\"born\":1700000000000,\"clock_ms\":480000,\"running\":["
			    "[\"5c0e7a21d94b36f8.0.1.17\",2,\"00000bb87a21d94b\",40,900],"
			    "[\"5c0e7a21d94b36f8.0.1.18\",1,\"\",0,0]],\"ended\":["
			    "[7,\"5c0e7a21d94b36f8.0.1.16\",1,\"done\",\"\"],"
			    "[8,\"00000000000000a1.3.0.0\",3,\"failed\","
			    "\"00000bb87a21d94b\"]]}"));
	fuzz_add(&fuzz, STR("{\"reason\":\"old\"}"));
	fuzz_add(&fuzz, STR("{\"reason\":\"fence\"}"));
	/* Case: a checkpoint that no log entry can hold. */
	buf_adds(&text, "{\"born\":1,\"clock_ms\":1,\"running\":[],\"ended\":"
			"[[1,\"5c0e7a21d94b36f8.0.1.16\",1,\"stopped\",\"");
	for (size_t i = 0; i <= DAG_MAX_NAME; i++)
		buf_adds(&text, "c");
	buf_adds(&text, "\"]]}");
	fuzz_add(&fuzz, buf_str(&text));
	buf_free(&text);
	/* Case: numbers of runs and ends that are equal to others in 32 bits. */
	fuzz_add(&fuzz, STR("{\"born\":1,\"clock_ms\":1,\"running\":"
			    "[[\"5c0e7a21d94b36f8.0.1.17\",4294967298,\"\",0,0]],"
			    "\"ended\":[]}"));
	fuzz_add(&fuzz, STR("{\"born\":1,\"clock_ms\":1,\"running\":"
			    "[[\"5c0e7a21d94b36f8.0.1.4294967313\",2,\"\",0,0]],"
			    "\"ended\":[]}"));
	fuzz_add(&fuzz, STR("{\"born\":1,\"clock_ms\":1,\"running\":[],\"ended\":"
			    "[[-1,\"5c0e7a21d94b36f8.0.1.17\",2,\"done\",\"\"]]}"));
}

/*
 * Guards against an executor's list that ends the process or leadership, or whose
 * numbers are taken for those of other runs. Each call has one answer.
 */
START_TEST(executor_answers)
{
	static const unsigned int statuses[] = {200, 409, 421, 500};
	struct dag_transport_user user = {.ops = &user_ops};
	struct executors_options opt = {.user = &user};
	struct dag_worker_call call = {
		.worker = 1, .id = STR("i-1"), .address = STR("10.0.0.1:1")};
	struct dag_worker_command command = {.call = call};
	struct dag_poll_command poll = {.call = call};
	struct dag_transport *t;

	FUZZ_MUST((executors_new(&opt, &t)) == 0);
	fuzz_open(&fuzz, "executors", N_INPUTS);
	fuzz.words = words;
	add_answers();
	while (fuzz_next(&fuzz, &answer_body)) {
		struct http_result r = {.status = statuses[0], .body = answer_body};

		if (fuzz.inputs % 4) {
			t->ops->poll(t, &poll);
		} else {
			r.status = statuses[prng_below(&fuzz.prng, 4)];
			t->ops->start(t, &command);
		}
		answers = 0;
		open_call->ops->done(open_call, &r);
		FUZZ_CHECK(&fuzz, answers == 1);
		fuzz_check_memory(&fuzz, answer_body.n);
	}
	fuzz_close(&fuzz);
	t->ops->free(t);
}
END_TEST

/* Callers and operators. */

static struct dag_pending_request *waiting;

/* What was accepted reaches the leader as it was accepted. */
static void on_request(struct dag_request_handler *p, const struct dag_request *req,
		       double timeout, struct dag_pending_request *t)
{
	struct buf first = {0}, second = {0};
	struct dag_request again = {0};

	fuzz.accepted++;
	waiting = t;
	FUZZ_CHECK(&fuzz, timeout > 0 && timeout < 10);
	if (codec_encode((xdrproc_t)xdr_dag_request, req, &first) == 0) {
		FUZZ_CHECK(&fuzz, codec_decode((xdrproc_t)xdr_dag_request, &again,
					       buf_str(&first)) == 0);
		FUZZ_CHECK(&fuzz, codec_encode((xdrproc_t)xdr_dag_request, &again,
					       &second) == 0);
		FUZZ_CHECK(&fuzz, str_eq(buf_str(&first), buf_str(&second)));
		codec_free((xdrproc_t)xdr_dag_request, &again);
	}
	buf_free(&first);
	buf_free(&second);
}

static bool is_ready(struct dag_request_handler *p)
{
	return true;
}

static struct str report_address(struct dag_request_handler *p)
{
	return STR("10.0.0.1:7000");
}

static const struct dag_request_handler_ops handler_ops = {
	.request = on_request,
	.ready = is_ready,
	.report_address = report_address,
};

static struct dag_request_handler handler = {.ops = &handler_ops};

/* Method, path and header before the body, each up to the end of its line. */
static void make_request(struct str input)
{
	static const struct dag_reply reply = {.outcome = DAG_OK};
	struct str method, path, value, body;
	struct http_request req = {0};

	if (!str_split(input, '\n', &method, &body) ||
	    !str_split(body, '\n', &path, &body) ||
	    !str_split(body, '\n', &value, &body) || value.n > MAX_HEADER)
		return;
	req.method = str_dup(method);
	req.path = str_dup(path);
	FUZZ_MUST((buf_add(&req.body, body.p, body.n)) == 0);
	header = value;
	credential_sent = value.n % 2;
	replies = 0;
	waiting = NULL;
	server->ops->request(server, &req);
	FUZZ_CHECK(&fuzz, replies == (waiting ? 0 : 1));
	if (waiting)
		waiting->ops->done(waiting, &reply);
	FUZZ_CHECK(&fuzz, replies == 1);
	free((char *)(uintptr_t)req.method);
	free((char *)(uintptr_t)req.path);
	buf_free(&req.body);
}

/* Guards against a submission that ends the process or gets no reply or two. */
START_TEST(caller_requests)
{
	struct callers_options opt = {.handler = &handler};
	struct callers *c;
	struct str input;

	FUZZ_MUST((callers_new(&opt, &c)) == 0);
	fuzz_open(&fuzz, "callers", N_INPUTS);
	fuzz.words = words;
	fuzz_add(&fuzz,
		 STR("POST\n/p/5c0e7a21d94b36f8\n3000\n{\"spec\":\"(text)\",\"steps\":"
		     "[{\"count\":4,\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":900,"
		     "\"data_rack\":\"r1-3\"},{\"count\":20,\"cpu\":2000,\"mem_mb\":1024,"
		     "\"depends_on\":[0],\"checkpointable\":true,\"gang\":true,"
		     "\"max_per_server\":2,\"image\":\"i\"}],\"repeat_count\":2,"
		     "\"start_at_ms\":1700000000000,\"interval_ms\":500}"));
	fuzz_add(&fuzz, STR("GET\n/p/5c0e7a21d94b36f8\n18446744073709551615\n"));
	fuzz_add(&fuzz, STR("DELETE\n/p/5c0e7a21d94b36f8\n250\n"));
	fuzz_add(&fuzz, STR("DELETE\n/p/5c0e7a21d94b36f8\ngkcuyj8pjbvk9m68k7b\n"));
	fuzz_add(&fuzz, STR("GET\n/p/5c0e7a21d94b36f8\ngkcu|gkcuq\n"));
	while (fuzz_next(&fuzz, &input)) {
		make_request(input);
		fuzz_check_memory(&fuzz, input.n);
	}
	fuzz_close(&fuzz);
	callers_free(c);
}
END_TEST

/* Guards against a report or configuration that ends the process. */
START_TEST(operator_requests)
{
	struct operators_options opt = {.handler = &handler};
	unsigned char digest[DAG_DIGEST_BYTES];
	struct operators *o;
	struct str input;

	FUZZ_MUST((operators_new(&opt, &o)) == 0);
	/* What libcrypto allocates once is not of a message. */
	FUZZ_MUST((dag_org_digest(STR("k"), digest)) == 0);
	fuzz_open(&fuzz, "operators", N_INPUTS);
	fuzz.words = words;
	fuzz_add(&fuzz,
		 STR("POST\n/api/instances/i-1/heartbeat\n\n{\"seq\":7,\"clock_ms\":4800,"
		     "\"born\":1700000000000,\"address\":\"10.0.0.1:80\",\"service\":"
		     "\"s\","
		     "\"zone\":\"z\",\"state\":\"ready\",\"room\":{\"cpu\":4000,"
		     "\"mem_mb\":8192,\"gpu\":1},\"labels\":[\"ssd\",\"rack:r1\"]}"));
	fuzz_add(&fuzz, STR("POST\n/api/instances/i-1/deregister\n\n{}"));
	fuzz_add(&fuzz, STR("POST\n/api/evacuate/z/start\n\n{}"));
	fuzz_add(&fuzz, STR("GET\n/api/config/get\n\n"));
	fuzz_add(
		&fuzz,
		STR("POST\n/api/config/replace\n\n{\"version\":7,\"routes\":[{\"name\":"
		    "\"r\",\"host\":\"h.example\",\"path_prefix\":\"/p/\",\"timeout_ms\":"
		    "3000,\"slo_ms\":2500,\"priority\":1,\"service\":\"s\",\"attempts\":"
		    "3,"
		    "\"stretch\":2.2},{\"name\":\"r2\",\"host\":\"h.example\","
		    "\"path_prefix\":\"/p/q/\",\"timeout_ms\":1,\"service\":\"s\"}],"
		    "\"services\":[{\"name\":\"s\",\"admission_control\":true}]}"));
	fuzz_add(
		&fuzz,
		STR("POST\n/api/config/replace\n\n{\"version\":7,\"routes\":[{\"name\":"
		    "\"r\",\"host\":\"h.example\",\"path_prefix\":\"/p/\",\"timeout_ms\":"
		    "3000,\"service\":\"s\",\"public\":true}],\"services\":[{\"name\":"
		    "\"s\"}],\"tenants\":[{\"name\":\"kaje80\",\"api_keys\":["
		    "\"gkcuyj8p\","
		    "\"ex5w\"],\"priority\":1,\"weight\":19,\"max_count\":{\"cpu\":"
		    "1897323,"
		    "\"mem_mb\":3406163,\"gpu\":0}},{\"name\":\"b\",\"api_keys\":[\"b\"]}"
		    "]}"));
	while (fuzz_next(&fuzz, &input)) {
		make_request(input);
		fuzz_check_memory(&fuzz, input.n);
	}
	fuzz_close(&fuzz);
	operators_free(o);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {executor_answers, caller_requests,
				      operator_requests};

	return fuzz_main("fuzz_platform", tests, sizeof(tests) / sizeof(tests[0]));
}
