#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "io/http_server_impl.h"

#define FREE_REPLY 4096U /* replies up to that size are always sent */

static struct MHD_Response *make_response(const struct http_header *headers,
					  size_t n_headers, struct str body)
{
	struct MHD_Response *r = MHD_create_response_from_buffer(
		body.n, (void *)(uintptr_t)body.p, MHD_RESPMEM_MUST_COPY);

	if (!r)
		return NULL;
	for (size_t i = 0; i < n_headers; i++) {
		char *value = str_dup(headers[i].value);

		if (value)
			MHD_add_response_header(r, headers[i].name, value);
		free(value);
	}
	return r;
}

/* Without memory for the response the connection is closed. */
void http_set_response(struct http_request *req, unsigned int status,
		       const struct http_header *headers, size_t n_headers,
		       struct str body)
{
	req->status = status;
	req->response = make_response(headers, n_headers, body);
	if (req->response)
		req->server->unsent++;
}

/* Answers before the body has arrived, or instead of what there is no room for. */
void http_refuse(struct http_request *req, int err, enum limit_reason busy_reason)
{
	static const struct http_header headers[] = {{"Connection", STR("close")},
						     {"Retry-After", STR(RETRY_AFTER_S)}};
	struct http_server *s = req->server;

	req->handled = true;
	if (err == CF_ETOOBIG) {
		s->stats.refused_body++;
		if (s->opt.limits)
			server_limits_note(s->opt.limits, LIMIT_BODY_SIZE);
		http_set_response(req, MHD_HTTP_CONTENT_TOO_LARGE, headers, 1,
				  STR("body too large\n"));
		return;
	}
	s->stats.refused_busy++;
	server_limits_note(s->opt.limits, busy_reason);
	http_set_response(req, MHD_HTTP_SERVICE_UNAVAILABLE, headers, 2,
			  STR("too many requests in progress\n"));
}

/* Takes room for a reply; a small one needs none. */
static bool charge_reply(struct http_request *req, struct str body)
{
	struct server_limits *l = req->limits;

	if (!l || req->is_monitor)
		return true;
	/* It does not wait any more. */
	budget_give(&l->replies, req->waiting_bytes);
	req->waiting_bytes = 0;
	if (body.n <= FREE_REPLY)
		return true;
	if (!budget_take(&l->replies, 0, body.n))
		return false;
	req->reply_bytes = body.n;
	return true;
}

/*
 * Without room for the reply a request that only reads is told to come again. Any other
 * has been carried out, which a refusal would deny, so its connection is closed.
 */
void http_set_reply(struct http_request *req, unsigned int status,
		    const struct http_header *headers, size_t n_headers, struct str body)
{
	if (charge_reply(req, body)) {
		http_set_response(req, status, headers, n_headers, body);
		return;
	}
	buf_free(&req->receipt);
	if (strcmp(req->method, MHD_HTTP_METHOD_GET) == 0) {
		http_refuse(req, CF_EBUSY, LIMIT_REPLY_BUDGET);
		return;
	}
	server_limits_note(req->limits, LIMIT_REPLY_BUDGET);
	req->refused = true;
}
