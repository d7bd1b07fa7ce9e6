#ifndef IO_HTTP_CLIENT_H
#define IO_HTTP_CLIENT_H

#include <ev.h>

#include "io/http_server.h"

struct http_client;
struct http_call;

struct http_exchange;

/* The end of a call. Everything in it is valid only while done() runs. */
struct http_result {
	/* 0, CF_ECONN, CF_ETIMEOUT, CF_ETOOBIG, CF_EMALFORMED, CF_ESTALE */
	int err;
	bool maybe_sent; /* a byte of the request may have reached the upstream */
	bool refused;	 /* with CF_ECONN: no process listened at the address */
	/* Also on an earlier connection, which ended without an answer. */
	bool resent;
	unsigned int status;
	struct str body;
	const struct http_exchange *exchange;
};

struct http_call_ops {
	/* May free or reuse the call. */
	void (*done)(struct http_call *call, const struct http_result *result);
};

/* One outstanding call; embedded in its user. */
struct http_call {
	const struct http_call_ops *ops;
	struct http_exchange *exchange; /* NULL when no call is outstanding */
};

struct http_call_options {
	const char *method;
	struct str url; /* http://IP:PORT/path */
	const struct http_header *headers;
	size_t n_headers;
	struct str body;
	bool idempotent;
	bool reuse_idle; /* also connections that were idle for long, if not idempotent */
	bool drop_idle;	 /* connections that were idle for a second are not used again */
	double timeout;	 /* seconds for the whole call */
	/* On clock_us(); later it is not sent and ends with CF_ESTALE. 0: no limit. */
	int64_t send_until_us;
	size_t max_body; /* bytes of the answer */
};

struct http_client_options {
	struct ev_loop *loop;
	unsigned int max_connections_per_host;
	unsigned int max_idle;
	double connect_timeout; /* seconds */
};

int http_client_new(const struct http_client_options *opt, struct http_client **out);
int http_client_start(struct http_client *c, const struct http_call_options *opt,
		      struct http_call *call);
struct str http_result_header(const struct http_result *result, const char *name);
bool http_result_next_header(const struct http_result *result, void **cursor,
			     struct http_header *out);
void http_call_cancel(struct http_call *call);
void http_client_free(struct http_client *c);

#endif
