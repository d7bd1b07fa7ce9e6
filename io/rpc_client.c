#include "io/rpc_client.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <unistd.h>

#include "base/err.h"
#include "io/clock.h"
#include "io/rpc_wire.h"
#include "io/stream.h"

#define RECONNECT_MIN 0.05 /* seconds between connection attempts */
#define RECONNECT_MAX 1.0
#define PROBED_RECONNECT_MAX 0.2 /* the peer may be back at any time */
#define SWEEP_PERIOD 0.05	 /* seconds between checks for expired calls */
#define WAITER_BUCKETS 256U
#define PROC_NULL 0U	   /* RFC 5531: does nothing, in every program */
#define SILENT_PERIODS 3U  /* without a reply: the connection is dead */
#define CONNECT_PERIODS 2U /* the opening packet was lost */
/* So little waits in the kernel that a slow peer is seen to take bytes in each period. */
#define PROBED_SEND_BUFFER 65536

struct rpc_client {
	struct stream stream;
	struct rpc_client_options opt;
	struct ev_timer sweep;
	struct ev_timer probe;
	unsigned int silent;   /* probe periods without a sign of the peer */
	uint64_t taken;	       /* bytes that the socket had taken at the last probe */
	uint32_t sent;	       /* number of the newest call or post */
	uint32_t confirmed;    /* the peer has read up to this one */
	unsigned int replaced; /* silent connections since the last record */
	struct rpc_waiter *waiters[WAITER_BUCKETS];
	unsigned int outstanding;
	bool up;
	bool shown; /* the connection has shown the credential */
	uint32_t next_xid;
	double backoff;
	double not_before; /* loop time of the next connection attempt */
};

static void waiter_unlink(struct rpc_waiter *w)
{
	struct rpc_client *c = w->client;

	*w->prev = w->next;
	if (w->next)
		w->next->prev = w->prev;
	w->client = NULL;
	if (--c->outstanding == 0)
		ev_timer_stop(c->opt.loop, &c->sweep);
}

static void waiter_link(struct rpc_client *c, struct rpc_waiter *w)
{
	struct rpc_waiter **head = &c->waiters[w->xid % WAITER_BUCKETS];

	w->client = c;
	w->next = *head;
	w->prev = head;
	if (*head)
		(*head)->prev = &w->next;
	*head = w;
	if (c->outstanding++ == 0)
		ev_timer_again(c->opt.loop, &c->sweep);
}

/* Ends every call whose deadline is before the given loop time. */
static void end_calls(struct rpc_client *c, double before, int err)
{
	for (unsigned int i = 0; i < WAITER_BUCKETS; i++) {
		struct rpc_waiter *w = c->waiters[i];

		while (w) {
			if (w->deadline < before) {
				waiter_unlink(w);
				w->ops->done(w, err, (struct str){NULL, 0});
				/* done() may have changed the list. */
				w = c->waiters[i];
			} else {
				w = w->next;
			}
		}
	}
}

/* Reports the first silent connection since the last record. */
static void note_silent(struct rpc_client *c)
{
	if (c->replaced++ == 0 && c->opt.host && c->opt.host->ops->silent)
		c->opt.host->ops->silent(c->opt.host);
}

/* Reports a record after silent connections. */
static void note_heard(struct rpc_client *c)
{
	unsigned int replaced = c->replaced;

	c->replaced = 0;
	if (replaced && c->opt.host && c->opt.host->ops->heard)
		c->opt.host->ops->heard(c->opt.host, replaced);
}

/* Whether the peer may not have read all calls and posts. Numbers may wrap. */
static bool is_unheard(const struct rpc_client *c)
{
	return (int32_t)(c->sent - c->confirmed) > 0;
}

/* A reply confirms all that was sent before its call, as the peer reads in order. */
static void confirm(struct rpc_client *c, uint32_t xid)
{
	if ((int32_t)(xid - c->confirmed) > 0 && (int32_t)(c->next_xid - xid) >= 0)
		c->confirmed = xid;
}

static int on_record(struct stream *s, struct str record)
{
	struct rpc_client *c = (struct rpc_client *)s;
	struct rpc_reply_head head;
	struct rpc_waiter *w;
	struct str results;
	int err = rpc_wire_parse_reply(record, &head, &results);

	if (err)
		return err;
	confirm(c, head.xid);
	c->silent = 0;
	c->backoff = RECONNECT_MIN;
	note_heard(c);
	w = c->waiters[head.xid % WAITER_BUCKETS];
	while (w && w->xid != head.xid)
		w = w->next;
	if (!w) /* answer to a call that timed out */
		return 0;
	waiter_unlink(w);
	w->ops->done(w, head.err, results);
	return 0;
}

static void on_opened(struct stream *s)
{
	struct rpc_client *c = (struct rpc_client *)s;

	c->up = true;
	if (c->opt.host && c->opt.host->ops->up)
		c->opt.host->ops->up(c->opt.host);
}

static void on_closed(struct stream *s, int err)
{
	struct rpc_client *c = (struct rpc_client *)s;
	double now = clock_s();
	double max = c->opt.probe_period > 0 ? PROBED_RECONNECT_MAX : RECONNECT_MAX;
	bool was_up = c->up;

	if (c->opt.host && c->opt.host->ops->lost)
		c->opt.host->ops->lost(c->opt.host);
	c->up = false;
	c->not_before = now + c->backoff;
	c->backoff = c->backoff * 2 > max ? max : c->backoff * 2;
	/* Calls made from done() wait for the next connection and are kept. */
	for (unsigned int i = 0; i < WAITER_BUCKETS; i++)
		for (struct rpc_waiter *w = c->waiters[i]; w; w = w->next)
			w->deadline = -1;
	/* Nothing is written before the connection is up. */
	end_calls(c, 0, was_up ? CF_ECONN : CF_EUNAVAIL);
	if (was_up && c->opt.host && c->opt.host->ops->down)
		c->opt.host->ops->down(c->opt.host);
}

static const struct stream_ops client_stream_ops = {
	.record = on_record,
	.opened = on_opened,
	.closed = on_closed,
};

static bool has_expired_call(const struct rpc_client *c)
{
	double now = clock_s();

	for (unsigned int i = 0; i < WAITER_BUCKETS; i++)
		for (const struct rpc_waiter *w = c->waiters[i]; w; w = w->next)
			if (w->deadline < now)
				return true;
	return false;
}

/*
 * Ends expired calls. A call that waits for its connection ends with the attempt to
 * connect, so that it is not sent after it was reported as not sent.
 */
static void on_sweep(struct ev_loop *loop, struct ev_timer *t, int events)
{
	struct rpc_client *c = t->data;

	if (!c->up && c->stream.fd >= 0 && has_expired_call(c)) {
		stream_close(&c->stream);
		on_closed(&c->stream, CF_ETIMEOUT);
		return;
	}
	end_calls(c, clock_s(), CF_ETIMEOUT);
}

/* Makes the end of a socket a reset, after which what it still holds is not sent. */
static void reset_at_close(int fd)
{
	struct linger drop = {.l_onoff = 1, .l_linger = 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &drop, sizeof(drop));
}

/* Starts a connection attempt. CF_ECONN also while the backoff runs. */
static int connect_peer(struct rpc_client *c)
{
	int send_buffer = PROBED_SEND_BUFFER;
	int one = 1;
	int fd;

	if (clock_s() < c->not_before)
		return CF_ECONN;
	fd = socket(c->opt.address.sa.ss_family,
		    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return CF_EIO;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (c->opt.probe_period > 0)
		setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &send_buffer, sizeof(send_buffer));
	if (c->opt.drop_unsent)
		reset_at_close(fd);
	if (connect(fd, (struct sockaddr *)&c->opt.address.sa, c->opt.address.len) &&
	    errno != EINPROGRESS) {
		close(fd);
		c->not_before = clock_s() + c->backoff;
		return CF_ECONN;
	}
	c->shown = false;
	c->silent = 0;
	stream_open(&c->stream, c->opt.loop, fd, true);
	return 0;
}

static void on_probe(struct ev_loop *loop, struct ev_timer *t, int events);

int rpc_client_new(const struct rpc_client_options *opt, struct rpc_client **out)
{
	struct rpc_client *c = calloc(1, sizeof(*c));

	if (!c)
		return CF_ENOMEM;
	c->stream.ops = &client_stream_ops;
	c->stream.fd = -1;
	c->opt = *opt;
	c->backoff = RECONNECT_MIN;
	c->next_xid = (uint32_t)ev_now(opt->loop);
	c->sent = c->next_xid;
	c->confirmed = c->next_xid;
	ev_timer_init(&c->sweep, on_sweep, SWEEP_PERIOD, SWEEP_PERIOD);
	c->sweep.data = c;
	ev_timer_init(&c->probe, on_probe, opt->probe_period, opt->probe_period);
	c->probe.data = c;
	*out = c;
	return 0;
}

static int send_call(struct rpc_client *c, uint32_t proc, struct str args, uint32_t xid)
{
	struct rpc_call_head head = {
		.xid = xid,
		.proc = proc,
	};
	int err;

	if (c->stream.fd < 0) {
		err = connect_peer(c);
		if (err)
			return err;
	}
	if (stream_pending(&c->stream) + args.n > STREAM_MAX_OUTPUT)
		return CF_EBUSY;
	/* The first call of a connection shows the credential for all of them. */
	if (!c->shown) {
		head.member = c->opt.member;
		head.key = c->opt.key;
	}
	err = rpc_wire_add_call(&c->stream.out, &head, args);
	if (err)
		return err;
	c->shown = true;
	if (proc != PROC_NULL)
		c->sent = xid;
	if (c->opt.probe_period > 0 && !ev_is_active(&c->probe))
		ev_timer_again(c->opt.loop, &c->probe);
	return 0;
}

/* Writes; a broken connection is reported from the reader, never from here. */
static void flush(struct rpc_client *c)
{
	if (stream_flush(&c->stream))
		shutdown(c->stream.fd, SHUT_RDWR);
}

/*
 * Starts a call whose end is reported through the waiter within timeout seconds.
 * On an error nothing was sent and the waiter is not called.
 */
int rpc_client_call(struct rpc_client *c, uint32_t proc, struct str args, double timeout,
		    struct rpc_waiter *w)
{
	int err = send_call(c, proc, args, ++c->next_xid);

	if (err)
		return err;
	w->xid = c->next_xid;
	w->deadline = clock_s() + timeout;
	waiter_link(c, w);
	flush(c);
	return 0;
}

/* Sends a call that has no reply. It may be lost. */
int rpc_client_post(struct rpc_client *c, uint32_t proc, struct str args)
{
	int err = send_call(c, proc, args, ++c->next_xid);

	if (!err)
		flush(c);
	return err;
}

/* Ends the connection, which is reported from the loop. */
void rpc_client_disconnect(struct rpc_client *c)
{
	if (c->stream.fd >= 0)
		shutdown(c->stream.fd, SHUT_RDWR);
}

/*
 * Ends the connection at once and drops what it still holds, so that no call arrives
 * later. Outstanding calls end with CF_ECONN before this returns; done() may call this.
 */
void rpc_client_reset(struct rpc_client *c)
{
	if (c->stream.fd < 0)
		return;
	reset_at_close(c->stream.fd);
	stream_close(&c->stream);
	on_closed(&c->stream, CF_ECONN);
}

/*
 * Probes the connection, or ends it after some periods of silence. Periods are counted,
 * not time, so that a pause of this process does not end it.
 */
static void on_probe(struct ev_loop *loop, struct ev_timer *t, int events)
{
	struct rpc_client *c = t->data;

	if (c->stream.fd < 0 || !is_unheard(c)) {
		c->silent = 0;
		ev_timer_stop(loop, t);
		return;
	}
	/* What waits for the socket moves: the reply is behind it. */
	if (stream_pending(&c->stream) && c->stream.taken != c->taken)
		c->silent = 0;
	c->taken = c->stream.taken;
	if (++c->silent >= (c->up ? SILENT_PERIODS : CONNECT_PERIODS)) {
		note_silent(c);
		rpc_client_reset(c);
		return;
	}
	if (c->up && !send_call(c, PROC_NULL, (struct str){NULL, 0}, ++c->next_xid))
		flush(c);
}

/* Number of the newest call or post, for rpc_client_has_confirmed(). */
uint32_t rpc_client_sent(const struct rpc_client *c)
{
	return c->sent;
}

/*
 * Whether the peer has answered something that was sent later than this number on the
 * present connection, so that it has certainly read what has the number. Of posts that is
 * known with a probe_period only.
 */
bool rpc_client_has_confirmed(const struct rpc_client *c, uint32_t sent)
{
	return (int32_t)(c->confirmed - sent) > 0;
}

/* Forgets an outstanding call; done() will not be called. */
void rpc_waiter_cancel(struct rpc_waiter *w)
{
	if (w->client)
		waiter_unlink(w);
}

/* Ends outstanding calls without calling their waiters. */
void rpc_client_free(struct rpc_client *c)
{
	if (!c)
		return;
	for (unsigned int i = 0; i < WAITER_BUCKETS; i++)
		for (struct rpc_waiter *w = c->waiters[i]; w; w = w->next)
			w->client = NULL;
	ev_timer_stop(c->opt.loop, &c->sweep);
	ev_timer_stop(c->opt.loop, &c->probe);
	stream_close(&c->stream);
	free(c);
}
