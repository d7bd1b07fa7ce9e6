/*
 * A crowd of clients that misuse a port. It opens connections, sends the same on each
 * without reading an answer, holds them until the hold is over and ends.
 *
 *   crowd --address IP:PORT --kind KIND [--count N] [--bytes N] [--declare N]
 *         [--path PATH] [--repeat N] [--piece N] [--pace-ms N] [--hold-ms N]
 *         [--limit-s N]
 *
 * Kinds: "body" announces --declare bytes of a body and sends --bytes of it; "chunked"
 * sends --bytes in chunks that never end; "broken" sends --bytes in chunks and then a
 * malformed size; "header" sends --bytes of a header that does not end; "idle" sends
 * nothing; "get" sends --repeat requests for the path; "record" announces an RPC record
 * of --declare bytes and sends --bytes of it; "noise" sends --bytes of pseudo-random
 * bytes. Each connection sends --piece bytes every --pace-ms; without a pace, what the
 * socket takes.
 *
 * A connection has ended its part when all is sent, when the other side closed it, or
 * when its socket took nothing for two seconds. The hold begins when all have, and the
 * program ends after --limit-s in any case.
 */
#include <arpa/inet.h>
#include <getopt.h>
#include <poll.h>
#include <sys/socket.h>

#include "io/addr.h"
#include "standins/common.h"

#define MAX_COUNT 10000
#define MAX_BYTES (16U << 20)
#define MAX_REPEAT 100000
#define CHUNK 4096U /* bytes of a chunk of a body */
#define POLL_MS 20
#define STALLED_US (2 * US_PER_S)
#define RECEIVE_BUFFER 4096 /* bytes, so that answers that are not read wait */
#define LAST_FRAGMENT 0x80000000U

enum kind {
	KIND_BODY,
	KIND_CHUNKED,
	KIND_BROKEN,
	KIND_HEADER,
	KIND_IDLE,
	KIND_GET,
	KIND_RECORD,
	KIND_NOISE,
	N_KINDS
};

static const char *const kind_names[N_KINDS] = {"body", "chunked", "broken", "header",
						"idle", "get",	   "record", "noise"};

struct conn {
	int fd;		  /* -1: closed */
	bool connected;	  /* at any time */
	bool done;	  /* its part has ended */
	size_t sent;	  /* of the text */
	int64_t moved_us; /* the socket took something last */
	int64_t next_us;  /* of the next piece */
};

static struct addr address;
static enum kind kind = N_KINDS;
static size_t count = 100;
static size_t bytes;
static unsigned long long declared;
static const char *path = "/";
static size_t repeat = 1;
static size_t piece = 1;
static int64_t pace_us;
static int64_t hold_us = US_PER_S;
static int64_t limit_us = 60 * US_PER_S;
static struct buf text; /* that each connection sends */
static struct conn *conns;
static struct pollfd *fds;

static void add(const char *p, size_t n)
{
	if (buf_add(&text, p, n))
		errx(1, "no memory");
}

static void add_filler(size_t n)
{
	static char filler[CHUNK];

	memset(filler, 'x', sizeof(filler));
	for (; n > sizeof(filler); n -= sizeof(filler))
		add(filler, sizeof(filler));
	add(filler, n);
}

static void add_head(const char *method, const char *rest)
{
	if (buf_addf(&text, "%s %s HTTP/1.1\r\nHost: h.example\r\n%s", method, path,
		     rest))
		errx(1, "no memory");
}

static void add_chunks(void)
{
	char size[16];

	snprintf(size, sizeof(size), "%x\r\n", CHUNK);
	add_head("POST", "Transfer-Encoding: chunked\r\n\r\n");
	for (size_t n = 0; n < bytes; n += CHUNK) {
		add(size, strlen(size));
		add_filler(CHUNK);
		add("\r\n", 2);
	}
}

static void add_noise(void)
{
	struct prng r = {.state = 1};

	for (size_t i = 0; i < bytes; i++) {
		char c = (char)prng_next(&r);

		add(&c, 1);
	}
}

static void make_text(void)
{
	uint32_t mark = htonl(LAST_FRAGMENT | (uint32_t)declared);
	char line[64];

	snprintf(line, sizeof(line), "Content-Length: %llu\r\n\r\n", declared);
	switch (kind) {
	case KIND_BODY:
		add_head("POST", line);
		add_filler(bytes);
		break;
	case KIND_CHUNKED:
		add_chunks();
		break;
	case KIND_BROKEN:
		add_chunks();
		add("zz\r\n\r\n", 6);
		break;
	case KIND_HEADER:
		add_head("GET", "X-Filler: ");
		add_filler(bytes);
		break;
	case KIND_GET:
		for (size_t i = 0; i < repeat; i++)
			add_head("GET", "\r\n");
		break;
	case KIND_RECORD:
		add((char *)&mark, sizeof(mark));
		add_filler(bytes);
		break;
	case KIND_NOISE:
		add_noise();
		break;
	case KIND_IDLE:
	case N_KINDS:
		break;
	}
}

static void end_conn(struct conn *c)
{
	close(c->fd);
	c->fd = -1;
	c->done = true;
}

static void open_conn(struct conn *c)
{
	int size = RECEIVE_BUFFER;

	c->moved_us = mono_us();
	c->fd = socket(address.sa.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		       0);
	if (c->fd < 0)
		err(1, "socket");
	setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (connect(c->fd, (struct sockaddr *)&address.sa, address.len) &&
	    errno != EINPROGRESS)
		end_conn(c);
}

/* Sends what is due now and what the socket takes. */
static void send_more(struct conn *c)
{
	int64_t now = mono_us();

	while (c->sent < text.n && (!pace_us || now >= c->next_us)) {
		size_t n = text.n - c->sent;
		ssize_t taken;

		if (pace_us && n > piece)
			n = piece;
		taken = send(c->fd, text.p + c->sent, n, MSG_NOSIGNAL);
		if (taken < 0 && (errno == EAGAIN || errno == EINTR))
			break;
		if (taken < 0) {
			end_conn(c);
			return;
		}
		c->sent += (size_t)taken;
		c->moved_us = now;
		c->next_us = now + pace_us;
	}
	if (c->sent == text.n || now - c->moved_us > STALLED_US + pace_us)
		c->done = true;
}

static void on_event(struct conn *c, short events)
{
	if (events & (POLLERR | POLLHUP)) {
		end_conn(c);
		return;
	}
	if (events & POLLOUT)
		c->connected = true;
	send_more(c);
}

/* Whether a connection waits for the socket; one with a pace waits for its time. */
static bool wants_to_send(const struct conn *c)
{
	return !c->connected ||
	       (!c->done && c->sent < text.n && (!pace_us || mono_us() >= c->next_us));
}

/* Serves all connections once; returns the number that have not ended their part. */
static size_t run_once(void)
{
	size_t left = 0;

	for (size_t i = 0; i < count; i++)
		fds[i] =
			(struct pollfd){.fd = conns[i].fd,
					.events = wants_to_send(&conns[i]) ? POLLOUT : 0};
	if (poll(fds, count, POLL_MS) < 0 && errno != EINTR)
		err(1, "poll");
	for (size_t i = 0; i < count; i++) {
		struct conn *c = &conns[i];

		if (c->fd >= 0 && fds[i].revents)
			on_event(c, fds[i].revents);
		else if (c->fd >= 0 && !c->done &&
			 mono_us() - c->moved_us > STALLED_US + pace_us)
			c->done = true;
		left += !c->done;
	}
	return left;
}

static void report(void)
{
	size_t connected = 0;
	size_t closed = 0;
	unsigned long long sent = 0;

	for (size_t i = 0; i < count; i++) {
		connected += conns[i].connected;
		closed += conns[i].fd < 0;
		sent += conns[i].sent;
	}
	printf("kind=%s count=%zu connected=%zu closed=%zu sent=%llu\n", kind_names[kind],
	       count, connected, closed, sent);
}

static enum kind kind_arg(const char *name)
{
	for (size_t i = 0; i < N_KINDS; i++)
		if (strcmp(name, kind_names[i]) == 0)
			return (enum kind)i;
	errx(2, "--kind: %s is not known", name);
}

static void read_option(int c)
{
	switch (c) {
	case 'a':
		if (addr_parse(str_from(optarg), &address))
			errx(2, "--address: %s is not IP:PORT", optarg);
		break;
	case 'k':
		kind = kind_arg(optarg);
		break;
	case 'n':
		count = (size_t)number_arg(optarg, 1, MAX_COUNT, "count");
		break;
	case 'b':
		bytes = (size_t)number_arg(optarg, 0, MAX_BYTES, "bytes");
		break;
	case 'd':
		declared = (unsigned long long)number_arg(optarg, 0, 1e18, "declare");
		break;
	case 'p':
		path = optarg;
		break;
	case 'r':
		repeat = (size_t)number_arg(optarg, 1, MAX_REPEAT, "repeat");
		break;
	case 'c':
		piece = (size_t)number_arg(optarg, 1, MAX_BYTES, "piece");
		break;
	case 'm':
		pace_us = (int64_t)number_arg(optarg, 0, 60000, "pace-ms") * US_PER_MS;
		break;
	case 'h':
		hold_us = (int64_t)number_arg(optarg, 0, 60000, "hold-ms") * US_PER_MS;
		break;
	case 'l':
		limit_us = (int64_t)number_arg(optarg, 1, 120, "limit-s") * US_PER_S;
		break;
	default:
		exit(2);
	}
}

int main(int argc, char *argv[])
{
	static const struct option options[] = {
		{"address", required_argument, NULL, 'a'},
		{"kind", required_argument, NULL, 'k'},
		{"count", required_argument, NULL, 'n'},
		{"bytes", required_argument, NULL, 'b'},
		{"declare", required_argument, NULL, 'd'},
		{"path", required_argument, NULL, 'p'},
		{"repeat", required_argument, NULL, 'r'},
		{"piece", required_argument, NULL, 'c'},
		{"pace-ms", required_argument, NULL, 'm'},
		{"hold-ms", required_argument, NULL, 'h'},
		{"limit-s", required_argument, NULL, 'l'},
		{0},
	};
	int64_t end_us;
	int64_t held_us = 0; /* since all parts have ended; 0: not yet */
	int c;

	while ((c = getopt_long(argc, argv, "", options, NULL)) != -1)
		read_option(c);
	if (!address.len || kind == N_KINDS)
		errx(2, "--address and --kind are needed");
	end_us = mono_us() + limit_us;
	make_text();
	conns = calloc(count, sizeof(*conns));
	fds = calloc(count, sizeof(*fds));
	if (!conns || !fds)
		errx(1, "no memory");
	for (size_t i = 0; i < count; i++)
		open_conn(&conns[i]);
	while (mono_us() < end_us) {
		if (run_once() > 0 && !held_us)
			continue;
		if (!held_us)
			held_us = mono_us();
		if (mono_us() - held_us >= hold_us)
			break;
		poll(NULL, 0, POLL_MS);
	}
	report();
	buf_free(&text);
	free(conns);
	free(fds);
	return 0;
}
