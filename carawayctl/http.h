#ifndef CARAWAYCTL_HTTP_H
#define CARAWAYCTL_HTTP_H

#include "carawayctl/ctl.h"

/* An HTTP request to the control port of an entry process. */
struct http_request {
	const char *method;
	const char *path;
	const char *type; /* Content-Type, NULL: no body */
	struct str body;
	bool write;	/* sends Request-Id; without a response the outcome is unknown */
	bool has_match; /* sends If-Match */
	uint64_t match;
	bool allow_missing; /* 404 is not reported as an error */
	long wait_ms;	    /* added to the request timeout, for long polls */
};

struct http_reply {
	long status;
	char run_status[16]; /* Carawayfront-Run header, empty if absent */
	struct buf body;
	json_t *json; /* NULL when the body is not JSON */
};

int http_send_once(const struct ctl *ctl, const char *address,
		   const struct http_request *req, struct http_reply *reply,
		   bool *may_have_arrived);
int http_send(const struct ctl *ctl, const struct http_request *req,
	      struct http_reply *reply);
void http_reply_free(struct http_reply *reply);

#endif
