#include "io/stream.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/err.h"
#include "io/rpc_wire.h"

#define READ_CHUNK 65536U

static void fail(struct stream *s, int err)
{
	stream_close(s);
	s->ops->closed(s, err);
}

/* Hands over every whole record and keeps the rest. */
static int deliver(struct stream *s)
{
	size_t done = 0;

	for (;;) {
		struct str record;
		size_t used;
		int err = rpc_wire_next((struct str){s->in.p + done, s->in.n - done},
					&record, &used);

		if (err)
			return err;
		if (used == 0)
			break;
		err = s->ops->record(s, record);
		if (err)
			return err;
		if (s->fd < 0)
			return 0;
		done += used;
	}
	if (done) {
		memmove(s->in.p, s->in.p + done, s->in.n - done);
		s->in.n -= done;
	}
	return 0;
}

/* Bytes that may be read now. */
static size_t next_chunk(const struct stream *s)
{
	size_t room;

	if (!s->read_limit)
		return READ_CHUNK;
	room = s->read_limit > s->in.n ? s->read_limit - s->in.n : 0;
	return room < READ_CHUNK ? room : READ_CHUNK;
}

static void on_readable(struct ev_loop *loop, struct ev_io *w, int events)
{
	struct stream *s = w->data;
	size_t chunk = next_chunk(s);
	ssize_t n;
	int err = buf_reserve(&s->in, chunk);

	if (err) {
		fail(s, err);
		return;
	}
	n = read(s->fd, s->in.p + s->in.n, chunk);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		fail(s, CF_ECONN);
		return;
	}
	s->in.n += (size_t)n;
	s->received += (size_t)n;
	err = deliver(s);
	if (!err && s->fd >= 0 && s->read_limit && s->in.n >= s->read_limit)
		err = s->ops->full(s, buf_str(&s->in));
	if (err)
		fail(s, err);
}

static void on_writable(struct ev_loop *loop, struct ev_io *w, int events)
{
	struct stream *s = w->data;
	int err;

	if (s->connecting) {
		socklen_t n = sizeof(err);

		err = 0;
		getsockopt(s->fd, SOL_SOCKET, SO_ERROR, &err, &n);
		if (err) {
			fail(s, CF_ECONN);
			return;
		}
		s->connecting = false;
		if (s->ops->opened)
			s->ops->opened(s);
		if (s->fd < 0)
			return;
	}
	err = stream_flush(s);
	if (err)
		fail(s, err);
}

/* Takes over a non-blocking socket. s->ops is set by the caller before. */
void stream_open(struct stream *s, struct ev_loop *loop, int fd, bool connecting)
{
	s->loop = loop;
	s->fd = fd;
	s->connecting = connecting;
	ev_io_init(&s->reader, on_readable, fd, EV_READ);
	ev_io_init(&s->writer, on_writable, fd, EV_WRITE);
	s->reader.data = s;
	s->writer.data = s;
	ev_io_start(loop, &s->reader);
	if (connecting)
		ev_io_start(loop, &s->writer);
}

size_t stream_pending(const struct stream *s)
{
	return s->out.n - s->out_sent;
}

/*
 * Writes what the socket takes of s->out and waits for the rest. The caller
 * closes the stream on an error (CF_ECONN; CF_EBUSY when the peer does not read).
 */
int stream_flush(struct stream *s)
{
	while (!s->connecting && stream_pending(s)) {
		ssize_t n = send(s->fd, s->out.p + s->out_sent, stream_pending(s),
				 MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n < 0)
			return CF_ECONN;
		s->out_sent += (size_t)n;
		s->taken += (size_t)n;
	}
	if (stream_pending(s) == 0) {
		s->out.n = 0;
		s->out_sent = 0;
		if (!s->connecting)
			ev_io_stop(s->loop, &s->writer);
		return 0;
	}
	if (stream_pending(s) > STREAM_MAX_OUTPUT)
		return CF_EBUSY;
	if (s->out_sent > READ_CHUNK) {
		memmove(s->out.p, s->out.p + s->out_sent, stream_pending(s));
		s->out.n -= s->out_sent;
		s->out_sent = 0;
	}
	ev_io_start(s->loop, &s->writer);
	return 0;
}

/* Closes without calling ops->closed. Safe to call twice. */
void stream_close(struct stream *s)
{
	if (s->fd < 0)
		return;
	ev_io_stop(s->loop, &s->reader);
	ev_io_stop(s->loop, &s->writer);
	close(s->fd);
	s->fd = -1;
	buf_free(&s->in);
	buf_free(&s->out);
	s->out_sent = 0;
}
