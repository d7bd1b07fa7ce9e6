#ifndef IO_STREAM_H
#define IO_STREAM_H

#include <ev.h>

#include "base/str.h"

#define STREAM_MAX_OUTPUT (16U << 20) /* bytes waiting for a slow peer */

struct stream;

struct stream_ops {
	/* One whole record has arrived. A negative result closes the stream. */
	int (*record)(struct stream *s, struct str record);
	/*
	 * read_limit bytes of a record have arrived and more follow. It raises the limit
	 * or returns a negative result. Needed with a limit only.
	 */
	int (*full)(struct stream *s, struct str part);
	/* The connection attempt succeeded; may be NULL. */
	void (*opened)(struct stream *s);
	/* The connection ended; called once, from the loop. */
	void (*closed)(struct stream *s, int err);
};

/* Non-blocking TCP connection that carries records; embedded in its user. */
struct stream {
	const struct stream_ops *ops;
	struct ev_loop *loop;
	struct ev_io reader;
	struct ev_io writer;
	int fd; /* -1 when closed */
	bool connecting;
	struct buf in;
	struct buf out;
	size_t out_sent;
	size_t read_limit; /* bytes of a record that are kept at most; 0: no limit */
	uint64_t taken;	   /* bytes that the socket took */
	uint64_t received; /* bytes that were read */
};

void stream_open(struct stream *s, struct ev_loop *loop, int fd, bool connecting);
int stream_flush(struct stream *s);
size_t stream_pending(const struct stream *s);
void stream_close(struct stream *s);

#endif
