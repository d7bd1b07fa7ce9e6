#ifndef CARAWAYCTL_HTTP_H
#define CARAWAYCTL_HTTP_H

#include "carawayctl/ctl.h"

/* One HTTP request to the control port. */
struct http_request {
	const char *method;
	const char *path;
	const char *type; /* Content-Type, NULL without a body */
	struct str body;
	bool write;	/* sends Request-Id; a lost answer leaves the outcome unknown */
	bool has_match; /* sends If-Match */
	uint64_t match;
	bool allow_missing; /* 404 is an answer, not a refusal to report */
	long wait_ms;	    /* added to the time limit, for long polls */
};

struct http_reply {
	long status;
	char run_status[16]; /* Carawayfront-Run, empty without one */
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
