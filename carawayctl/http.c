#include "carawayctl/http.h"

#include <curl/curl.h>
#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/err.h"

#define ADDRESS_PASSES 3 /* attempts per address */
/* Delay before the addresses are tried again; a leader change takes about as long. */
#define PASS_DELAY_US 400000
#define MAX_REPLY_BYTES (64U << 20) /* bytes */
#define CONNECT_TIMEOUT_MS 2000
#define HTTP_STORE_FULL 507 /* the store lacks space for the change */

static size_t append_reply_body(char *p, size_t size, size_t n, void *arg)
{
	struct buf *b = arg;

	if (b->n + size * n > MAX_REPLY_BYTES || buf_add(b, p, size * n))
		return 0;
	return size * n;
}

static int add_header(struct curl_slist **list, const char *name, const char *value)
{
	struct buf line = {0};
	struct curl_slist *l = NULL;

	if (buf_addf(&line, "%s: %s", name, value) == 0)
		l = curl_slist_append(*list, line.p);
	buf_free(&line);
	if (!l)
		return CF_ENOMEM;
	*list = l;
	return 0;
}

static int make_headers(const struct ctl *ctl, const struct http_request *req,
			struct curl_slist **list)
{
	char number[32];
	int e = add_header(list, "Expect", "");

	if (!e && req->type)
		e = add_header(list, "Content-Type", req->type);
	if (!e && req->write)
		e = add_header(list, "Request-Id", ctl->request_id);
	if (!e && req->has_match) {
		snprintf(number, sizeof(number), "%llu", (unsigned long long)req->match);
		e = add_header(list, "If-Match", number);
	}
	if (!e && ctl->token) {
		struct buf bearer = {0};

		e = buf_addf(&bearer, "Bearer %s", ctl->token);
		if (!e)
			e = add_header(list, "Authorization", bearer.p);
		buf_free(&bearer);
	}
	return e;
}

/*
 * Sends a request to one address. Returns 0 for a complete response of any status,
 * CF_ECONN or CF_ENOMEM. After CF_ECONN *may_have_arrived is true if any part of the
 * request was sent.
 */
int http_send_once(const struct ctl *ctl, const char *address,
		   const struct http_request *req, struct http_reply *reply,
		   bool *may_have_arrived)
{
	struct curl_slist *headers = NULL;
	struct curl_header *h;
	struct buf url = {0};
	CURL *easy = curl_easy_init();
	CURLcode code;
	int e = CF_ENOMEM;

	*reply = (struct http_reply){0};
	*may_have_arrived = false;
	if (!easy || make_headers(ctl, req, &headers) ||
	    buf_addf(&url, "http://%s%s", address, req->path))
		goto out;
	curl_easy_setopt(easy, CURLOPT_URL, url.p);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, req->method);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_reply_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &reply->body);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, ctl->timeout_ms + req->wait_ms);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	if (req->type) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)req->body.n);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
				 req->body.n ? req->body.p : "");
	}
	code = curl_easy_perform(easy);
	if (code != CURLE_OK) {
		long sent = 0;

		curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
		*may_have_arrived = sent > 0;
		warnx("%s: %s", address, curl_easy_strerror(code));
		e = CF_ECONN;
		goto out;
	}
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &reply->status);
	if (curl_easy_header(easy, "Carawayfront-Run", 0, CURLH_HEADER, -1, &h) ==
	    CURLHE_OK)
		snprintf(reply->run_status, sizeof(reply->run_status), "%s", h->value);
	if (reply->body.n)
		reply->json =
			json_loadb(reply->body.p, reply->body.n, JSON_DECODE_ANY, NULL);
	e = 0;
out:
	if (e)
		http_reply_free(reply);
	buf_free(&url);
	curl_slist_free_all(headers);
	curl_easy_cleanup(easy);
	return e;
}

/* Prints the status and the error text of a failed request. */
static void print_refusal(const struct http_reply *r)
{
	const char *text = json_string_value(json_object_get(r->json, "error"));
	const char *detail = json_string_value(json_object_get(r->json, "detail"));

	if (!r->status)
		warnx("no address served the request");
	else if (text)
		warnx("refused with status %ld: %s%s%s", r->status, text,
		      detail ? ": " : "", detail ? detail : "");
	else if (r->body.n)
		warnx("refused with status %ld: %.*s", r->status, (int)r->body.n,
		      r->body.p);
	else
		warnx("refused with status %ld", r->status);
}

/* Whether other addresses would give the same response, so that they are not tried. */
static bool is_final_reply(const struct http_reply *r)
{
	return r->status < 500 || r->status == HTTP_STORE_FULL;
}

/*
 * Maps a response to an exit status. A write that failed with a 5xx status may have been
 * applied, unless the status is 503 or 507 or the header says "not-run".
 */
static int get_exit_status(const struct http_request *req, const struct http_reply *r)
{
	if (r->status / 100 == 2)
		return CTL_OK;
	if (r->status == 409 || r->status == 412)
		return CTL_CONFLICT;
	if (req->write && !is_final_reply(r) && strcmp(r->run_status, "not-run") != 0 &&
	    r->status != 503)
		return CTL_UNKNOWN;
	return CTL_REFUSED;
}

/*
 * Sends a request to the addresses in turn until one gives a final response. A resend
 * has the same Request-Id, which makes writes idempotent. Reports errors and returns an
 * enum ctl_status. The caller frees the reply, which holds the last response, if any.
 */
int http_send(const struct ctl *ctl, const struct http_request *req,
	      struct http_reply *reply)
{
	bool unknown = false;
	bool answered = false;
	int status = CTL_UNREACHABLE;

	*reply = (struct http_reply){0};
	if (ctl->n_addresses == 0)
		return ctl_usage_error("an address is needed (-a)");
	for (size_t i = 0; i < ADDRESS_PASSES * ctl->n_addresses; i++) {
		bool maybe = false;

		if (i && i % ctl->n_addresses == 0)
			usleep(PASS_DELAY_US);
		http_reply_free(reply);
		if (http_send_once(ctl, ctl->addresses[i % ctl->n_addresses], req, reply,
				   &maybe)) {
			unknown = unknown || (req->write && maybe);
			continue;
		}
		answered = true;
		status = get_exit_status(req, reply);
		if (status == CTL_UNKNOWN)
			unknown = true;
		/* After a 5xx status another entry process may serve the request. */
		if (is_final_reply(reply))
			break;
	}
	if (!answered)
		status = CTL_UNREACHABLE;
	/* A failed resend does not tell whether an earlier send was applied. */
	if (unknown &&
	    (status == CTL_UNREACHABLE || !is_final_reply(reply) || !reply->status))
		status = CTL_UNKNOWN;
	if (status == CTL_UNKNOWN)
		warnx("the outcome is unknown; repeat with --request-id %s",
		      ctl->request_id);
	else if (status != CTL_OK && status != CTL_UNREACHABLE &&
		 !(req->allow_missing && reply->status == 404))
		print_refusal(reply);
	return status;
}

void http_reply_free(struct http_reply *reply)
{
	json_decref(reply->json);
	buf_free(&reply->body);
	*reply = (struct http_reply){0};
}
