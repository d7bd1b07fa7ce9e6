#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "base/err.h"
#include "carawayfrontd/front_request.h"
#include "io/clock.h"

#define MAX_HEADERS 64U

/* Headers that belong to one connection and are not forwarded (RFC 9110, 7.6.1). */
static bool is_hop_by_hop(const char *name)
{
	static const char *const names[] = {
		"Connection",
		"Keep-Alive",
		"Proxy-Authenticate",
		"Proxy-Authorization",
		"Proxy-Connection",
		"TE",
		"Trailer",
		"Transfer-Encoding",
		"Upgrade",
		"Content-Length",
		"Carawayfront-Run",
		"Carawayfront-Load",
	};

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (strcasecmp(name, names[i]) == 0)
			return true;
	return false;
}

static const char *run_text(enum router_run run)
{
	switch (run) {
	case ROUTER_NOT_RUN:
		return "not-run";
	case ROUTER_DONE:
		return "done";
	case ROUTER_UNKNOWN:
		break;
	}
	return "unknown";
}

static unsigned int refusal_status(const struct router_outcome *o)
{
	switch (o->reason) {
	case ROUTER_R_IN_PROGRESS:
		return 409;
	case ROUTER_R_KEY_REUSED:
		return 422;
	case ROUTER_R_QUEUE_FULL:
	case ROUTER_R_TEAM_SHARE:
		return 429;
	case ROUTER_R_KEY_UNKNOWN:
	case ROUTER_R_FAILED:
	case ROUTER_R_LOST:
		return 502;
	case ROUTER_R_DEADLINE:
		return 504;
	default:
		return 503;
	}
}

static void count(struct front_request *r, const struct router_outcome *o)
{
	struct metric_set *m = r->front->opt.metrics;
	static const char *const classes[] = {"latency", "urgent", "batch"};
	char labels[256];

	snprintf(labels, sizeof(labels), "team=\"%.*s\",class=\"%s\"", STR_ARG(r->team),
		 classes[r->class]);
	hist_add(metric_hist(m, "carawayfront_request_duration_us", labels),
		 (uint64_t)(clock_us() - r->started_us));
	snprintf(labels, sizeof(labels),
		 "team=\"%.*s\",class=\"%s\",run=\"%s\",reason=\"%s\"", STR_ARG(r->team),
		 classes[r->class], run_text(o->run), router_reason_str(o->reason));
	++*metric_counter(m, "carawayfront_requests_total", labels);
}

static void reply_answered(struct front_request *r)
{
	struct http_header headers[MAX_HEADERS];
	struct http_header h;
	void *cursor = NULL;
	size_t n = 0;

	headers[n++] = (struct http_header){"Carawayfront-Run", STR("done")};
	while (n < MAX_HEADERS && http_result_next_header(r->result, &cursor, &h))
		if (!is_hop_by_hop(h.name))
			headers[n++] = h;
	http_request_reply(r->http, r->result->status, headers, n, r->result->body);
}

static void reply_stored(struct front_request *r)
{
	const struct http_header headers[] = {
		{"Carawayfront-Run", STR("done")},
		{"Idempotent-Replayed", STR("true")},
		{"Content-Type", buf_str(&r->stored.content_type)},
	};

	http_request_reply(r->http, r->stored.status, headers,
			   r->stored.content_type.n ? 3 : 2, buf_str(&r->stored.body));
}

static void reply_refused(struct front_request *r, const struct router_outcome *o)
{
	const char *reason = router_reason_str(o->reason);
	const struct http_header headers[] = {
		{"Carawayfront-Run", str_from(run_text(o->run))},
		{"Carawayfront-Reason", str_from(reason)},
		{"Content-Type", STR("application/json")},
		{"Retry-After", STR("1")},
	};
	struct buf body = {0};

	buf_addf(&body, "{\"run\":\"%s\",\"reason\":\"%s\",\"error\":\"%s\"}\n",
		 run_text(o->run), reason, cf_strerror(o->err));
	http_request_reply(r->http, refusal_status(o), headers,
			   o->run == ROUTER_NOT_RUN ? 4 : 3, buf_str(&body));
	buf_free(&body);
}

/* Router operation: answers the caller. */
void front_finish(struct router_host *host, uint64_t request,
		  const struct router_outcome *outcome)
{
	struct front *f = (struct front *)((char *)host - offsetof(struct front, host));
	struct front_request *r = front_find(f, request);

	if (!r || !r->http)
		return;
	count(r, outcome);
	if (outcome->reason == ROUTER_R_ANSWERED)
		reply_answered(r);
	else if (outcome->reason == ROUTER_R_STORED)
		reply_stored(r);
	else
		reply_refused(r, outcome);
	r->http = NULL;
	/* The router may still use it, so that it is released from the loop. */
	r->is_answered = true;
	r->next_answered = f->answered;
	f->answered = r;
}
