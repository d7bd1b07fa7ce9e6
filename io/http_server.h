#ifndef IO_HTTP_SERVER_H
#define IO_HTTP_SERVER_H

#include <ev.h>
#include <sys/queue.h>

#include "io/addr.h"
#include "io/http_body.h"

/* Bytes for the headers and buffers of a connection: room for 16,384 of headers. */
#define HTTP_CONNECTION_MEMORY 24576U

#define HTTP_WAITING_BYTES 1024U /* of a request that waits, besides its body */

struct http_server;
struct http_server_host;

struct http_header {
	const char *name;
	struct str value;
};

struct http_header_visitor {
	/* Returns false to end the walk. */
	bool (*header)(struct http_header_visitor *v, const struct http_header *h);
};

/*
 * A request whose body has arrived completely. It stays valid until
 * http_request_reply(), which may come at any later time, also after the server was
 * freed; nobody gets the answer then.
 */
struct http_request {
	struct http_server *server; /* NULL: it was freed */
	const char *method;
	const char *path; /* decoded, without the query */
	char *target;	  /* as it came: encoded, with the query */
	struct buf body;
	void *user; /* free for the handler */
	/*
	 * Set by the handler before it answers: the host is told of it once the sender
	 * has received the answer and closed the connection. Empty: it is not.
	 */
	struct buf receipt;

	/* Private to the server. */
	LIST_ENTRY(http_request) waiting; /* while suspended */
	struct MHD_Connection *connection;
	struct MHD_Response *response;
	unsigned int status;
	bool started;
	bool suspended;
	bool handled;
	bool refused;	 /* no response follows: the connection is closed */
	bool is_monitor; /* of a port for health checks or metrics */
	struct http_body receiving;
	/* Bytes of the budget for replies that it holds. */
	size_t waiting_bytes;
	size_t reply_bytes;
	struct server_limits *limits; /* of these bytes; NULL: none */
};

struct http_server_ops {
	void (*request)(struct http_server_host *host, struct http_request *req);
	/* Called for requests with a receipt. */
	void (*received)(struct http_server_host *host, struct str receipt);
};

struct http_server_host {
	const struct http_server_ops *ops;
};

struct http_server_options {
	struct ev_loop *loop;
	struct http_server_host *host;
	struct addr address;
	size_t max_body;
	unsigned int max_connections;
	unsigned int idle_timeout; /* seconds */
	/*
	 * Shared by the servers of a process; valid until the last one is freed and all
	 * of their requests are answered.
	 */
	struct server_limits *limits; /* NULL: there are only the limits above */
	/*
	 * For health checks or metrics: served also when other ports have few
	 * descriptors or have used up the budget for replies.
	 */
	bool is_monitor;
};

struct http_server_stats {
	uint64_t requests;
	uint64_t refused_body; /* above max_body */
	uint64_t refused_busy; /* no room in the budgets of the process */
	uint64_t in_flight;    /* whose head has arrived */
};

int http_server_new(const struct http_server_options *opt, struct http_server **out);
struct str http_request_header(const struct http_request *req, const char *name);
bool http_request_each_header(const struct http_request *req,
			      struct http_header_visitor *v);
bool http_request_is_abandoned(const struct http_request *req);
struct str http_request_query(const struct http_request *req, const char *name);
void http_request_reply(struct http_request *req, unsigned int status,
			const struct http_header *headers, size_t n_headers,
			struct str body);
const struct http_server_stats *http_server_stats(const struct http_server *s);
void http_server_stop_accepting(struct http_server *s);
void http_server_free(struct http_server *s);

#endif
