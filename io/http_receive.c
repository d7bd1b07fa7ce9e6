#include <sys/socket.h>

#include "base/err.h"
#include "io/clock.h"
#include "io/http_server_impl.h"

/* The server's own data of a connection; NULL: there was no memory for it. */
struct http_conn *http_own_data(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info ? info->socket_context : NULL;
}

/* Frees the body of a request whose connection was shut down. */
void http_drop_body(struct http_server *s, struct http_conn *c)
{
	struct http_request *req = c->body_of;

	c->body_of = NULL;
	if (!req)
		return;
	req->refused = true;
	http_body_free(&s->body_limits, &req->receiving, &req->body);
}

/*
 * Ends a request whose body is not received any further. libmicrohttpd takes no response
 * in the middle of a body, so this one is written to the socket, on which nothing else is
 * being sent. It is lost if the socket takes it only in part.
 */
static enum MHD_Result abort_body(struct http_request *req, struct http_conn *own,
				  int err)
{
	static const char too_large[] = "HTTP/1.1 413 Content Too Large\r\n"
					"Connection: close\r\n"
					"Content-Length: 0\r\n\r\n";
	static const char busy[] = "HTTP/1.1 503 Service Unavailable\r\n"
				   "Connection: close\r\n"
				   "Retry-After: " RETRY_AFTER_S "\r\n"
				   "Content-Length: 0\r\n\r\n";
	struct http_server *s = req->server;
	bool is_size = err == CF_ETOOBIG;
	struct str text = is_size ? STR(too_large) : STR(busy);

	req->refused = true;
	http_body_free(&s->body_limits, &req->receiving, &req->body);
	if (is_size)
		s->stats.refused_body++;
	else
		s->stats.refused_busy++;
	if (s->opt.limits)
		server_limits_note(s->opt.limits,
				   is_size ? LIMIT_BODY_SIZE : LIMIT_BODY_BUDGET);
	if (own)
		send(own->fd, text.p, text.n, MSG_DONTWAIT | MSG_NOSIGNAL);
	return MHD_NO;
}

/* Makes room for bodies by closing the connection of the one that takes longest. */
bool http_end_slowest_body(struct http_server *s, const struct http_conn *not_this)
{
	struct http_conn *slow = http_conns_slowest_body(&s->conns, not_this, clock_us());

	if (!slow)
		return false;
	http_conns_close(&s->conns, slow, LIMIT_BODY_TIME);
	http_drop_body(s, slow);
	return true;
}

enum MHD_Result http_receive(struct http_request *req, const char *data, size_t n)
{
	struct http_server *s = req->server;
	struct http_conn *own = http_own_data(req->connection);
	int err;

	if (req->refused)
		return MHD_NO;
	do {
		err = http_body_add(&s->body_limits, &req->receiving, &req->body, data,
				    n);
	} while (err == CF_EBUSY && http_end_slowest_body(s, own));
	if (err)
		return abort_body(req, own, err);
	if (own)
		own->received += n;
	return MHD_YES;
}
