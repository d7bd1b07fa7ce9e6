#ifndef IO_HTTP_BODY_H
#define IO_HTTP_BODY_H

#include "base/str.h"
#include "io/server_limits.h"

/* Body of a request while it is received, within the limits of request and process. */
struct http_body_limits {
	struct server_limits *limits; /* NULL: only the limit of a request counts */
	size_t max_body;	      /* bytes */
};

struct http_body {
	uint64_t declared; /* bytes, when is_declared */
	bool is_declared;
	size_t charged; /* to the budget for bodies */
};

/*
 * Both return 0, CF_ETOOBIG (413) or CF_EBUSY (503: no room, nothing is wrong with the
 * request). http_body_add() may also return CF_ENOMEM.
 */
int http_body_begin(const struct http_body_limits *l, struct http_body *b,
		    const char *content_length);
int http_body_add(const struct http_body_limits *l, struct http_body *b, struct buf *to,
		  const char *data, size_t n);
void http_body_free(const struct http_body_limits *l, struct http_body *b,
		    struct buf *to);

#endif
