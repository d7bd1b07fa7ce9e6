#ifndef IO_HTTP_SERVER_IMPL_H
#define IO_HTTP_SERVER_IMPL_H

/* Shared by the files of the HTTP server only. */

#include <microhttpd.h>

#include "io/http_conns.h"
#include "io/http_server.h"

#define RETRY_AFTER_S "1"

struct http_server {
	struct http_server_options opt;
	struct MHD_Daemon *daemon;
	struct ev_io watcher;
	struct ev_timer timer;
	int listen_fd;
	int epoll_fd;
	bool running;  /* inside MHD_run() */
	bool again;    /* a connection was resumed and needs MHD_run() */
	bool closing;  /* inside http_server_free(); the host may be gone */
	size_t unsent; /* answers that are not sent completely */
	LIST_HEAD(, http_request) waiting;
	LIST_HEAD(, http_conn) receipts;
	struct http_body_limits body_limits;
	struct http_conns conns;
	struct ev_timer sweeper;
	struct http_server_stats stats;
};

/* http_reply.c */
void http_set_response(struct http_request *req, unsigned int status,
		       const struct http_header *headers, size_t n_headers,
		       struct str body);
void http_refuse(struct http_request *req, int err, enum limit_reason busy_reason);
void http_set_reply(struct http_request *req, unsigned int status,
		    const struct http_header *headers, size_t n_headers, struct str body);

/* http_receive.c */
struct http_conn *http_own_data(struct MHD_Connection *connection);
void http_drop_body(struct http_server *s, struct http_conn *c);
bool http_end_slowest_body(struct http_server *s, const struct http_conn *not_this);
enum MHD_Result http_receive(struct http_request *req, const char *data, size_t n);

#endif
