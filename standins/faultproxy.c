/* TCP proxy that injects faults into the connections of listed pairs. */
#include <getopt.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/queue.h>

#include <ev.h>

#include "io/addr.h"
#include "io/listener.h"
#include "standins/common.h"

#define MAX_PAIRS 256
#define CHUNK_BYTES 16384
#define MAX_QUEUED (1U << 20) /* bytes of one direction; reading pauses above it */
#define RATE_BURST_US 20000   /* credit that an idle direction may collect */
#define MAX_COMMAND 512

/* A direction is named after where its bytes go: up is towards the target. */
enum { UP, DOWN };

/* What happens to the bytes of one direction. */
struct fault {
	bool drop;	      /* read and discard */
	bool hold;	      /* do not read; the bytes arrive after heal */
	int64_t delay_us;     /* added to every byte */
	int64_t jitter_us;    /* at most this much more, uniform; the order is kept */
	uint64_t rate;	      /* bytes a second, 0: unlimited */
	uint64_t close_after; /* bytes of a connection before it is closed, 0: never */
};

struct chunk {
	STAILQ_ENTRY(chunk) next;
	int64_t due_us;
	size_t n;
	size_t sent;
	char p[];
};

STAILQ_HEAD(chunks, chunk);

/* One direction of one connection. */
struct flow {
	struct conn *conn;
	int from;
	int to;
	int way;
	struct ev_io reader;
	struct ev_io writer;
	struct ev_timer timer;
	struct chunks queue;
	size_t queued;
	uint64_t forwarded;
	int64_t last_due_us;
	int64_t credit_at_us; /* the rate allows the next byte at this time */
	bool eof;
	bool eof_sent;
	bool lost; /* bytes were discarded, the stream cannot go on after heal */
};

struct conn {
	LIST_ENTRY(conn) next;
	struct pair *pair;
	int client;
	int server;
	bool connecting;
	struct flow flow[2];
};

struct pair {
	char name[64];
	struct addr target;
	int fd;
	struct ev_io io;
	struct fault fault[2];
	struct prng prng;
	LIST_HEAD(, conn) conns;
	uint64_t accepted, resets, bytes[2], dropped[2];
};

struct session {
	struct ev_io io;
	struct buf in;
};

static struct ev_loop *loop;
static struct pair pairs[MAX_PAIRS];
static size_t n_pairs;

static void flow_update(struct flow *f);

/* Closes both sides; reset: the peers see a connection reset. */
static void conn_close(struct conn *c, bool reset)
{
	struct linger lin = {.l_onoff = 1, .l_linger = 0};

	for (int i = 0; i < 2; i++) {
		struct flow *f = &c->flow[i];

		ev_io_stop(loop, &f->reader);
		ev_io_stop(loop, &f->writer);
		ev_timer_stop(loop, &f->timer);
		while (!STAILQ_EMPTY(&f->queue)) {
			struct chunk *k = STAILQ_FIRST(&f->queue);

			STAILQ_REMOVE_HEAD(&f->queue, next);
			free(k);
		}
	}
	if (reset) {
		setsockopt(c->client, SOL_SOCKET, SO_LINGER, &lin, sizeof(lin));
		setsockopt(c->server, SOL_SOCKET, SO_LINGER, &lin, sizeof(lin));
		c->pair->resets++;
	}
	close(c->client);
	close(c->server);
	LIST_REMOVE(c, next);
	free(c);
}

static void pair_reset(struct pair *p, bool only_lost)
{
	struct conn *c = LIST_FIRST(&p->conns);

	while (c) {
		struct conn *next = LIST_NEXT(c, next);

		if (!only_lost || c->flow[UP].lost || c->flow[DOWN].lost)
			conn_close(c, true);
		c = next;
	}
}

/* Starts and stops the watchers of a flow after anything changed. */
static void flow_update(struct flow *f)
{
	const struct fault *fault = &f->conn->pair->fault[f->way];
	struct chunk *k = STAILQ_FIRST(&f->queue);
	bool held = fault->hold;
	bool read = !f->eof && !held && f->queued < MAX_QUEUED &&
		    (!f->conn->connecting || (f->way == UP && f->lost));
	int64_t at;

	if (read)
		ev_io_start(loop, &f->reader);
	else
		ev_io_stop(loop, &f->reader);
	ev_timer_stop(loop, &f->timer);
	if (!k || held || f->conn->connecting) {
		if (!(f->conn->connecting && f->way == UP))
			ev_io_stop(loop, &f->writer);
		return;
	}
	at = k->due_us;
	if (fault->rate && f->credit_at_us > at)
		at = f->credit_at_us;
	if (at <= mono_us()) {
		ev_io_start(loop, &f->writer);
		return;
	}
	ev_io_stop(loop, &f->writer);
	ev_timer_set(&f->timer, (double)(at - mono_us()) / US_PER_S, 0);
	ev_timer_start(loop, &f->timer);
}

static void flow_timer_cb(struct ev_loop *l, struct ev_timer *w, int revents)
{
	flow_update(w->data);
}

/* Passes an end of file on when everything before it was sent. */
static void flow_finish(struct flow *f)
{
	struct conn *c = f->conn;

	if (f->eof && !f->eof_sent && STAILQ_EMPTY(&f->queue) && !f->lost) {
		shutdown(f->to, SHUT_WR);
		f->eof_sent = true;
	}
	if (c->flow[UP].eof_sent && c->flow[DOWN].eof_sent)
		conn_close(c, false);
}

/* The sender of a dropped direction is gone; the receiver learns nothing of it. */
static void flow_end_lost(struct flow *f)
{
	struct conn *c = f->conn;

	f->eof = f->lost = true;
	if (c->connecting || (c->flow[UP].eof && c->flow[DOWN].eof))
		conn_close(c, false);
	else
		flow_update(f);
}

static void flow_read_cb(struct ev_loop *l, struct ev_io *w, int revents)
{
	struct flow *f = w->data;
	struct pair *p = f->conn->pair;
	const struct fault *fault = &p->fault[f->way];
	char tmp[CHUNK_BYTES];
	ssize_t n = read(f->from, tmp, sizeof(tmp));
	struct chunk *k;
	int64_t due = mono_us() + fault->delay_us;

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n < 0) {
		/* A reset under a drop stays hidden from the other side until heal. */
		if (fault->drop || f->lost) {
			flow_end_lost(f);
			return;
		}
		conn_close(f->conn, true);
		return;
	}
	if (n == 0 && (fault->drop || f->lost)) {
		flow_end_lost(f);
		return;
	}
	if (n == 0) {
		f->eof = true;
		flow_update(f);
		flow_finish(f);
		return;
	}
	if (fault->drop || f->lost) {
		p->dropped[f->way] += (uint64_t)n;
		f->lost = true;
		return;
	}
	if (fault->jitter_us)
		due += (int64_t)prng_below(&p->prng, (uint64_t)fault->jitter_us + 1);
	if (due < f->last_due_us)
		due = f->last_due_us;
	f->last_due_us = due;
	k = malloc(sizeof(*k) + (size_t)n);
	if (!k)
		err(1, NULL);
	k->due_us = due;
	k->n = (size_t)n;
	k->sent = 0;
	memcpy(k->p, tmp, (size_t)n);
	STAILQ_INSERT_TAIL(&f->queue, k, next);
	f->queued += (size_t)n;
	flow_update(f);
}

/* Returns how many bytes of the chunk may be sent now. */
static size_t flow_allowance(struct flow *f, const struct fault *fault, size_t n)
{
	if (fault->close_after && f->forwarded + n > fault->close_after)
		n = (size_t)(fault->close_after - f->forwarded);
	if (fault->rate) {
		int64_t now = mono_us();
		uint64_t most;

		if (f->credit_at_us < now - RATE_BURST_US)
			f->credit_at_us = now - RATE_BURST_US;
		most = (uint64_t)(now - f->credit_at_us) * fault->rate / US_PER_S;
		if (most < 1)
			most = 1;
		if (n > most)
			n = (size_t)most;
	}
	return n;
}

static void flow_write_cb(struct ev_loop *l, struct ev_io *w, int revents)
{
	struct flow *f = w->data;
	struct conn *c = f->conn;
	struct pair *p = c->pair;
	const struct fault *fault = &p->fault[f->way];
	struct chunk *k;
	size_t allowed;
	ssize_t n;

	if (c->connecting) {
		int e = 0;
		socklen_t len = sizeof(e);

		getsockopt(c->server, SOL_SOCKET, SO_ERROR, &e, &len);
		if (e) {
			conn_close(c, true);
			return;
		}
		c->connecting = false;
		flow_update(&c->flow[UP]);
		flow_update(&c->flow[DOWN]);
		return;
	}
	k = STAILQ_FIRST(&f->queue);
	if (!k) {
		flow_update(f);
		return;
	}
	if (fault->close_after && f->forwarded >= fault->close_after) {
		conn_close(c, false);
		return;
	}
	if (fault->drop) {
		f->lost = true;
		p->dropped[f->way] += k->n - k->sent;
		k->sent = k->n;
	} else {
		allowed = flow_allowance(f, fault, k->n - k->sent);
		n = send(f->to, k->p + k->sent, allowed, MSG_NOSIGNAL);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return;
		if (n < 0) {
			conn_close(c, true);
			return;
		}
		k->sent += (size_t)n;
		f->forwarded += (uint64_t)n;
		p->bytes[f->way] += (uint64_t)n;
		if (fault->rate)
			f->credit_at_us += n * US_PER_S / (int64_t)fault->rate;
	}
	if (fault->close_after && f->forwarded >= fault->close_after) {
		conn_close(c, false);
		return;
	}
	if (k->sent == k->n) {
		STAILQ_REMOVE_HEAD(&f->queue, next);
		f->queued -= k->n;
		free(k);
	}
	flow_update(f);
	flow_finish(f);
}

static void flow_open(struct conn *c, int way, int from, int to)
{
	struct flow *f = &c->flow[way];

	f->conn = c;
	f->way = way;
	f->from = from;
	f->to = to;
	STAILQ_INIT(&f->queue);
	ev_io_init(&f->reader, flow_read_cb, from, EV_READ);
	ev_io_init(&f->writer, flow_write_cb, to, EV_WRITE);
	ev_init(&f->timer, flow_timer_cb);
	f->reader.data = f->writer.data = f->timer.data = f;
}

static void accept_cb(struct ev_loop *l, struct ev_io *w, int revents)
{
	struct pair *p = w->data;
	int one = 1;
	int fd = accept4(p->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct conn *c;

	if (fd < 0)
		return;
	c = calloc(1, sizeof(*c));
	if (!c)
		err(1, NULL);
	c->pair = p;
	c->client = fd;
	c->server = socket(p->target.sa.ss_family,
			   SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (c->server < 0)
		err(1, "socket");
	setsockopt(c->client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(c->server, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	LIST_INSERT_HEAD(&p->conns, c, next);
	p->accepted++;
	flow_open(c, UP, c->client, c->server);
	flow_open(c, DOWN, c->server, c->client);
	c->connecting = true;
	if (p->fault[UP].drop && p->fault[DOWN].drop) {
		/* The target never learns of the connection. */
		c->flow[UP].lost = c->flow[DOWN].lost = true;
		flow_update(&c->flow[UP]);
		return;
	}
	if (connect(c->server, (struct sockaddr *)&p->target.sa, p->target.len) &&
	    errno != EINPROGRESS) {
		conn_close(c, true);
		return;
	}
	ev_io_start(loop, &c->flow[UP].writer);
}

static void pair_update(struct pair *p)
{
	struct conn *c = LIST_FIRST(&p->conns);

	while (c) {
		struct conn *next = LIST_NEXT(c, next);

		flow_update(&c->flow[UP]);
		flow_update(&c->flow[DOWN]);
		c = next;
	}
}

static void pair_stats(const struct pair *p, struct buf *out)
{
	const struct conn *c;
	unsigned int open = 0;

	LIST_FOREACH (c, &p->conns, next)
		open++;
	buf_addf(out,
		 "%s open %u accepted %llu resets %llu up %llu down %llu dropped-up %llu "
		 "dropped-down %llu\n",
		 p->name, open, (unsigned long long)p->accepted,
		 (unsigned long long)p->resets, (unsigned long long)p->bytes[UP],
		 (unsigned long long)p->bytes[DOWN], (unsigned long long)p->dropped[UP],
		 (unsigned long long)p->dropped[DOWN]);
}

/* Runs a command on one pair. Returns false when it is not understood. */
static bool command_pair(struct pair *p, const char *verb, int argc, char *const *args,
			 struct buf *out)
{
	double n[2] = {0, 0};

	for (int i = 0; i < argc && i < 2 && strcmp(verb, "half") != 0; i++) {
		char *end;

		n[i] = strtod(args[i], &end);
		if (end == args[i] || *end || !(n[i] >= 0 && n[i] < 1e12))
			return false;
	}
	if (strcmp(verb, "cut") == 0 && argc == 0) {
		p->fault[UP].drop = p->fault[DOWN].drop = true;
	} else if (strcmp(verb, "hold") == 0 && argc == 0) {
		p->fault[UP].hold = p->fault[DOWN].hold = true;
	} else if (strcmp(verb, "half") == 0 && argc == 1) {
		if (strcmp(args[0], "up") != 0 && strcmp(args[0], "down") != 0)
			return false;
		p->fault[strcmp(args[0], "up") == 0 ? UP : DOWN].drop = true;
	} else if (strcmp(verb, "delay") == 0 && (argc == 1 || argc == 2)) {
		for (int i = 0; i < 2; i++) {
			p->fault[i].delay_us = (int64_t)(n[0] * US_PER_MS);
			p->fault[i].jitter_us = (int64_t)(n[1] * US_PER_MS);
		}
	} else if (strcmp(verb, "rate") == 0 && argc == 1) {
		p->fault[UP].rate = p->fault[DOWN].rate = (uint64_t)n[0];
	} else if (strcmp(verb, "close-after") == 0 && argc == 1) {
		p->fault[UP].close_after = p->fault[DOWN].close_after = (uint64_t)n[0];
	} else if (strcmp(verb, "reset") == 0 && argc == 0) {
		pair_reset(p, false);
	} else if (strcmp(verb, "heal") == 0 && argc == 0) {
		memset(p->fault, 0, sizeof(p->fault));
		pair_reset(p, true);
	} else if (strcmp(verb, "stats") == 0 && argc == 0) {
		pair_stats(p, out);
	} else {
		return false;
	}
	pair_update(p);
	return true;
}

/* Runs "VERB PAIR|all [NUMBER]..."; appends the answer. */
static bool command(char *line, struct buf *out)
{
	char *word[8];
	int n = 0;
	bool found = false;
	char *save;

	for (char *w = strtok_r(line, " /\r\n", &save); w && n < 8;
	     w = strtok_r(NULL, " /\r\n", &save))
		word[n++] = w;
	if (n < 2)
		return false;
	for (size_t i = 0; i < n_pairs; i++) {
		if (strcmp(word[1], "all") != 0 && strcmp(word[1], pairs[i].name) != 0)
			continue;
		found = true;
		if (!command_pair(&pairs[i], word[0], n - 2, word + 2, out))
			return false;
	}
	return found;
}

/*
 * A control connection sends command lines, or one HTTP request whose path is the
 * command with slashes for blanks.
 */
static void session_cb(struct ev_loop *l, struct ev_io *w, int revents)
{
	struct session *s = w->data;
	struct buf out = {0};
	char tmp[MAX_COMMAND];
	ssize_t n = read(w->fd, tmp, sizeof(tmp));
	char *end;
	bool http = false;

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0 || s->in.n + (size_t)n > 4096 || buf_add(&s->in, tmp, (size_t)n))
		goto close;
	http = strncmp(s->in.p, "GET ", 4) == 0 || strncmp(s->in.p, "POST ", 5) == 0;
	if (http) {
		struct buf body = {0};
		bool ok;
		char *version;

		if (!strstr(s->in.p, "\r\n\r\n"))
			return;
		*strstr(s->in.p, "\r\n") = '\0';
		version = strstr(s->in.p, " HTTP/");
		if (version)
			*version = '\0';
		ok = command(strchr(s->in.p, ' ') + 1, &body);
		buf_addf(&body, "%s\n", ok ? "ok" : "error: not a command");
		buf_addf(&out,
			 "HTTP/1.1 %s\r\nContent-Length: %zu\r\nConnection: "
			 "close\r\n\r\n%s",
			 ok ? "200 OK" : "400 Bad Request", body.n, body.p);
		buf_free(&body);
	} else {
		while ((end = memchr(s->in.p, '\n', s->in.n))) {
			size_t used = (size_t)(end - s->in.p) + 1;

			*end = '\0';
			if (command(s->in.p, &out))
				buf_adds(&out, "ok\n");
			else
				buf_adds(&out, "error: not a command\n");
			memmove(s->in.p, s->in.p + used, s->in.n - used);
			s->in.n -= used;
			s->in.p[s->in.n] = '\0';
		}
	}
	if (out.n && send(w->fd, out.p, out.n, MSG_NOSIGNAL) < 0)
		http = true;
	buf_free(&out);
	if (!http)
		return;
close:
	ev_io_stop(l, w);
	close(w->fd);
	buf_free(&s->in);
	free(s);
}

static void control_cb(struct ev_loop *l, struct ev_io *w, int revents)
{
	int fd = accept4(w->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct session *s;

	if (fd < 0)
		return;
	s = calloc(1, sizeof(*s));
	if (!s)
		err(1, NULL);
	ev_io_init(&s->io, session_cb, fd, EV_READ);
	s->io.data = s;
	ev_io_start(l, &s->io);
}

static void __attribute__((noreturn)) usage(void)
{
	fprintf(stderr,
		"usage: faultproxy --control ADDRESS --pair NAME=LISTEN=TARGET...\n"
		"  [--seed N]\n"
		"commands: cut P | hold P | half P up|down | delay P MS [JITTER_MS] |\n"
		"  rate P BYTES_PER_S | close-after P BYTES | reset P | heal P | stats "
		"P\n"
		"P is the name of a pair or all\n");
	exit(2);
}

/* Adds NAME=LISTEN=TARGET. */
static void pair_add(const char *text)
{
	struct str name, rest = str_from(text), listen_text, target;
	struct pair *p = &pairs[n_pairs];
	struct addr a;

	if (n_pairs == MAX_PAIRS)
		errx(2, "more than %d pairs", MAX_PAIRS);
	if (!str_split(rest, '=', &name, &rest) ||
	    !str_split(rest, '=', &listen_text, &target) || name.n == 0 ||
	    name.n >= sizeof(p->name) || addr_parse(listen_text, &a) ||
	    addr_parse(target, &p->target))
		errx(2, "--pair: %s is not NAME=LISTEN=TARGET", text);
	memcpy(p->name, name.p, name.n);
	if (listener_open(&a, &p->fd))
		errx(1, "cannot listen on %.*s", STR_ARG(listen_text));
	LIST_INIT(&p->conns);
	ev_io_init(&p->io, accept_cb, p->fd, EV_READ);
	p->io.data = p;
	n_pairs++;
}

static void term_cb(struct ev_loop *l, struct ev_signal *w, int revents)
{
	ev_break(l, EVBREAK_ALL);
}

int main(int argc, char **argv)
{
	static const struct option longs[] = {
		{"control", required_argument, NULL, 'c'},
		{"pair", required_argument, NULL, 'p'},
		{"seed", required_argument, NULL, 's'},
		{0},
	};
	struct ev_signal term;
	struct ev_io control;
	const char *control_text = NULL;
	struct addr a;
	uint64_t seed = 1;
	int fd;
	int ch;

	while ((ch = getopt_long(argc, argv, "", longs, NULL)) != -1) {
		switch (ch) {
		case 'c':
			control_text = optarg;
			break;
		case 'p':
			pair_add(optarg);
			break;
		case 's':
			seed = (uint64_t)number_arg(optarg, 0, 1e15, "seed");
			break;
		default:
			usage();
		}
	}
	if (optind != argc || !control_text || n_pairs == 0)
		usage();
	if (addr_parse(str_from(control_text), &a))
		errx(2, "--control: %s is not an address", control_text);
	if (listener_open(&a, &fd))
		errx(1, "cannot listen on %s", control_text);
	signal(SIGPIPE, SIG_IGN);
	loop = ev_default_loop(0);
	for (size_t i = 0; i < n_pairs; i++) {
		pairs[i].prng.state = seed * 1000003 + i;
		ev_io_start(loop, &pairs[i].io);
	}
	ev_io_init(&control, control_cb, fd, EV_READ);
	ev_io_start(loop, &control);
	ev_signal_init(&term, term_cb, SIGTERM);
	ev_signal_start(loop, &term);
	ev_run(loop, 0);
	return 0;
}
