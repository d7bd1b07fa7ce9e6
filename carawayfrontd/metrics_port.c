#include "carawayfrontd/metrics_port.h"

#include <stdlib.h>

#include "base/err.h"
#include "io/http_server.h"

#define MAX_BODY 262144U /* of a job that is previewed */
#define MAX_CONNECTIONS 16U
#define IDLE_S 30U

struct metrics_port {
	struct http_server_host host; /* first member */
	const struct metric_set *metrics;
	struct metrics_port_handler *handler; /* NULL: none */
	struct http_server *server;
};

static void on_request(struct http_server_host *host, struct http_request *req)
{
	struct metrics_port *p = (struct metrics_port *)host;
	struct http_header h = {"Content-Type", STR("text/plain; version=0.0.4")};
	struct buf text = {0};
	int err;

	if (p->handler && p->handler->request(p->handler, req))
		return;
	err = metric_print(p->metrics, &text);
	http_request_reply(req, err ? 500 : 200, &h, 1, buf_str(&text));
	buf_free(&text);
}

static const struct http_server_ops ops = {.request = on_request};

int metrics_port_new(struct ev_loop *loop, const struct addr *address,
		     const struct metric_set *metrics, struct server_limits *limits,
		     struct metrics_port **out)
{
	struct http_server_options http = {
		.loop = loop,
		.address = *address,
		.max_body = MAX_BODY,
		.max_connections = MAX_CONNECTIONS,
		.idle_timeout = IDLE_S,
		.limits = limits,
		.is_monitor = true,
	};
	struct metrics_port *p;
	int err;

	*out = NULL;
	if (!address->len)
		return 0;
	p = calloc(1, sizeof(*p));
	if (!p)
		return CF_ENOMEM;
	p->host.ops = &ops;
	p->metrics = metrics;
	http.host = &p->host;
	err = http_server_new(&http, &p->server);
	if (err) {
		free(p);
		return err;
	}
	*out = p;
	return 0;
}

void metrics_port_set_handler(struct metrics_port *p, struct metrics_port_handler *h)
{
	if (p)
		p->handler = h;
}

void metrics_port_free(struct metrics_port *p)
{
	if (!p)
		return;
	http_server_free(p->server);
	free(p);
}
