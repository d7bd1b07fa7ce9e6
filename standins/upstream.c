/* Stand-in for the executors of a service: HTTP upstreams that announce themselves. */
#include <getopt.h>
#include <jansson.h>
#include <microhttpd.h>
#include <signal.h>
#include <zlib.h>

#include "io/addr.h"
#include "io/listener.h"
#include "standins/client.h"

#define ANNOUNCE_MS 500
#define ANNOUNCE_TIMEOUT_MS 1000
#define LEAVE_MS 2500	   /* entry processes stop sending new work within 2 s */
#define LEAVE_MAX_MS 30000 /* bound for requests that hang */
#define MAX_CONTROLS 16
#define MAX_COUNT 256
#define MODE_PATH "/-/mode"

/* Ways to misbehave. Probabilities are per request. */
struct modes {
	double close;	   /* run, then close the connection without an answer */
	double truncate;   /* run, then close the connection inside the answer */
	size_t truncate_n; /* bytes of the body that are still sent */
	double hang;	   /* run without an end and hold the slot */
	double refuse;	   /* 503 and not-run, whatever the number of slots in use */
	double slow;	   /* factor of the service time */
	double slow_from_s;
	double slow_for_s;
	long lie; /* announced load, -1: the true one */
};

struct options {
	const char *team;
	const char *service;
	const char *name;
	const char *zone;
	const char *ledger;
	const char *controls[MAX_CONTROLS];
	size_t n_controls;
	unsigned int slots;
	unsigned int count;
	bool queue;	    /* run above the slots instead of refusing */
	bool ledger_starts; /* an extra line when a request starts */
	struct dist service_ms;
	uint64_t seed;
	int announce_ms;
	struct modes modes;
};

static struct options opt = {
	.team = "guild",
	.service = "gigdesk",
	.name = "u1",
	.zone = "joburg-a",
	.slots = 8,
	.count = 1,
	.seed = 1,
	.announce_ms = ANNOUNCE_MS,
	.service_ms = {.kind = DIST_FIXED, .a = 10},
	.modes = {.slow = 1, .lie = -1},
};
static struct ev_loop *loop;
static struct client client;
static int ledger = -1;
static int64_t started_us;
static int64_t leaving_us;     /* monotonic, 0: not leaving */
static unsigned int in_flight; /* requests of all executors */

/* One executor: a listening socket and its slots. */
struct executor {
	char name[64];
	char address[64];
	struct MHD_Daemon *daemon;
	struct ev_io io;
	struct ev_timer timer;
	struct prng prng;
	unsigned int busy;
	bool leave_told; /* an entry process knows that it is leaving */
	unsigned int next_control;
	int64_t incarnation;
	int64_t sequence; /* number of the last announcement */
	struct ev_timer announce;
};

static struct executor *executors;

enum request_state { REQUEST_UPLOAD, REQUEST_RUNNING, REQUEST_ENDED, REQUEST_HELD };

struct request {
	struct executor *executor;
	struct MHD_Connection *connection;
	struct ev_timer timer;
	enum request_state state;
	char method[12];
	char path[512];
	char id[128];
	uint32_t crc;
	size_t body_n;
	size_t filler_n;
	int64_t start_us; /* wall clock */
	size_t cut_at;	  /* body bytes to send, SIZE_MAX: all */
	bool close;
	bool has_slot;
	struct buf mode_text;
	char digest[640];
	size_t digest_n;
};

/* Parses one mode such as "close=0.1"; "none" clears all. Returns false when wrong. */
static bool mode_parse(const char *text, struct modes *m)
{
	double p, from, len;
	size_t n;
	long load;
	int end = 0;
	int size = (int)strlen(text);

	if (strcmp(text, "none") == 0)
		*m = (struct modes){.slow = 1, .lie = -1};
	else if (sscanf(text, "close=%lf%n", &p, &end) == 1 && end == size)
		m->close = p;
	else if (sscanf(text, "truncate=%zu:%lf%n", &n, &p, &end) == 2 && end == size) {
		m->truncate = p;
		m->truncate_n = n;
	} else if (sscanf(text, "hang=%lf%n", &p, &end) == 1 && end == size)
		m->hang = p;
	else if (sscanf(text, "refuse=%lf%n", &p, &end) == 1 && end == size)
		m->refuse = p;
	else if (sscanf(text, "slow=%lf:%lf:%lf%n", &p, &from, &len, &end) == 3 &&
		 end == size) {
		m->slow = p;
		m->slow_from_s = from;
		m->slow_for_s = len;
	} else if (sscanf(text, "lie=%ld%n", &load, &end) == 1 && end == size)
		m->lie = load;
	else
		return false;
	return true;
}

static void executor_run(struct executor *x)
{
	MHD_UNSIGNED_LONG_LONG ms;

	MHD_run(x->daemon);
	ev_timer_stop(loop, &x->timer);
	if (MHD_get_timeout(x->daemon, &ms) == MHD_YES) {
		ev_timer_set(&x->timer, (double)ms / 1000.0, 0);
		ev_timer_start(loop, &x->timer);
	}
}

static void executor_io_cb(struct ev_loop *l, struct ev_io *w, int revents)
{
	executor_run(w->data);
}

static void executor_timer_cb(struct ev_loop *l, struct ev_timer *w, int revents)
{
	executor_run(w->data);
}

static void announced(struct client_call *c)
{
	struct executor *x = c->arg;

	if (c->result == CURLE_OK && c->status / 100 == 2 && x)
		x->leave_told = true;
}

/* Sends the state of one executor to the next control address. */
static void announce(struct executor *x)
{
	struct client_call *c;
	char url[256];
	json_t *j;
	char *text;
	long load = opt.modes.lie >= 0 ? opt.modes.lie : (long)x->busy;

	if (opt.n_controls == 0)
		return;
	snprintf(url, sizeof(url), "http://%s/v1/upstreams/%s",
		 opt.controls[x->next_control++ % opt.n_controls], x->name);
	j = json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:I,s:I,s:I}", "team", opt.team,
		      "service", opt.service, "address", x->address, "zone", opt.zone,
		      "slots", (int)opt.slots, "state", leaving_us ? "leaving" : "ready",
		      "load", (json_int_t)load, "incarnation", (json_int_t)x->incarnation,
		      "sequence", (json_int_t)++x->sequence);
	text = json_dumps(j, JSON_COMPACT);
	if (!text)
		errx(1, "out of memory");
	c = client_call(&client, "PUT", url, ANNOUNCE_TIMEOUT_MS, announced,
			leaving_us ? x : NULL);
	client_header(c, "Content-Type", "application/json");
	buf_adds(&c->request, text);
	client_start(c, true);
	free(text);
	json_decref(j);
}

static void announce_cb(struct ev_loop *l, struct ev_timer *w, int revents)
{
	announce(w->data);
}

/* Current factor of the service time. */
static double slow_factor(void)
{
	double t = (double)(mono_us() - started_us) / US_PER_S;
	const struct modes *m = &opt.modes;

	return t >= m->slow_from_s && t < m->slow_from_s + m->slow_for_s ? m->slow : 1.0;
}

static bool happens(struct executor *x, double probability)
{
	return probability > 0 && prng_unit(&x->prng) < probability;
}

static void request_line(const struct request *r, const char *result, int64_t end_us)
{
	ledger_line(ledger, "%s %s %s %s %lld %lld %s\n", r->executor->name, r->id,
		    r->method, r->path, (long long)r->start_us, (long long)end_us,
		    result);
}

/* The service time is over: record the request, then let the connection answer. */
static void request_end_cb(struct ev_loop *l, struct ev_timer *w, int revents)
{
	struct request *r = w->data;

	request_line(r,
		     r->close		     ? "close"
		     : r->cut_at != SIZE_MAX ? "truncate"
					     : "done",
		     wall_us());
	r->executor->busy--;
	r->has_slot = false;
	r->state = REQUEST_ENDED;
	MHD_resume_connection(r->connection);
	executor_run(r->executor);
}

static ssize_t answer_read(void *cls, uint64_t pos, char *p, size_t max)
{
	const struct request *r = cls;
	size_t total = r->digest_n + r->filler_n;
	size_t n = 0;

	if (pos >= r->cut_at)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (total > r->cut_at)
		total = r->cut_at;
	for (; n < max && pos + n < total; n++) {
		size_t i = (size_t)pos + n;

		p[n] = i < r->digest_n ? r->digest[i]
				       : filler_byte(r->crc, i - r->digest_n);
	}
	return n ? (ssize_t)n : MHD_CONTENT_READER_END_OF_STREAM;
}

static enum MHD_Result answer(struct request *r)
{
	struct MHD_Response *resp;
	enum MHD_Result ret;

	r->digest_n = (size_t)snprintf(r->digest, sizeof(r->digest), "%s %s %zu %08x\n",
				       r->method, r->path, r->body_n, r->crc);
	resp = MHD_create_response_from_callback(r->digest_n + r->filler_n, 16384,
						 answer_read, r, NULL);
	if (!resp)
		return MHD_NO;
	MHD_add_response_header(resp, "Content-Type", "text/plain");
	MHD_add_response_header(resp, "Standin-Name", r->executor->name);
	ret = MHD_queue_response(r->connection, 200, resp);
	MHD_destroy_response(resp);
	return ret;
}

/* Answers at once with a short text. */
static enum MHD_Result answer_text(struct request *r, unsigned int status,
				   const char *text, bool not_run)
{
	struct MHD_Response *resp = MHD_create_response_from_buffer(
		strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result ret;

	if (!resp)
		return MHD_NO;
	if (not_run)
		MHD_add_response_header(resp, "Carawayfront-Run", "not-run");
	ret = MHD_queue_response(r->connection, status, resp);
	MHD_destroy_response(resp);
	return ret;
}

/* The body is complete: takes a slot and starts the service time. */
static enum MHD_Result request_begin(struct request *r)
{
	struct executor *x = r->executor;
	double ms;

	if (strcmp(r->path, MODE_PATH) == 0) {
		bool ok = r->mode_text.p && mode_parse(r->mode_text.p, &opt.modes);

		r->state = REQUEST_HELD;
		return answer_text(r, ok ? 200 : 400, ok ? "ok\n" : "not a mode\n",
				   false);
	}
	if ((x->busy >= opt.slots && !opt.queue) || happens(x, opt.modes.refuse)) {
		r->state = REQUEST_HELD;
		return answer_text(r, 503, "no free slot\n", true);
	}
	x->busy++;
	r->has_slot = true;
	r->start_us = wall_us();
	r->cut_at = SIZE_MAX;
	if (opt.ledger_starts)
		request_line(r, "start", 0);
	MHD_suspend_connection(r->connection);
	if (happens(x, opt.modes.hang)) {
		request_line(r, "hang", 0);
		r->state = REQUEST_HELD;
		return MHD_YES;
	}
	r->close = happens(x, opt.modes.close);
	if (!r->close && happens(x, opt.modes.truncate))
		r->cut_at = opt.modes.truncate_n;
	ms = dist_sample(&opt.service_ms, &x->prng) * slow_factor();
	r->state = REQUEST_RUNNING;
	ev_timer_init(&r->timer, request_end_cb, ms / 1000.0, 0);
	r->timer.data = r;
	ev_timer_start(loop, &r->timer);
	return MHD_YES;
}

/* Reads the headers of a new request. */
static struct request *request_new(struct executor *x, struct MHD_Connection *connection,
				   const char *url, const char *method)
{
	struct request *r = calloc(1, sizeof(*r));
	const char *id;
	const char *size;

	if (!r)
		return NULL;
	in_flight++;
	r->executor = x;
	r->connection = connection;
	r->crc = (uint32_t)crc32(0, NULL, 0);
	snprintf(r->method, sizeof(r->method), "%s", method);
	snprintf(r->path, sizeof(r->path), "%s", url);
	id = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Idempotency-Key");
	if (!id)
		id = MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
						 "Request-Id");
	snprintf(r->id, sizeof(r->id), "%s", id && *id ? id : "-");
	for (char *p = r->id; *p; p++)
		if (*p == ' ')
			*p = '_';
	size = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, ANSWER_HEADER);
	if (size) {
		uint64_t v;

		if (str_to_u64(str_from(size), &v) == 0 && v <= MAX_ANSWER_BYTES)
			r->filler_n = (size_t)v;
	}
	return r;
}

static enum MHD_Result handle(void *cls, struct MHD_Connection *connection,
			      const char *url, const char *method, const char *version,
			      const char *data, size_t *data_n, void **state)
{
	struct request *r = *state;

	if (!r) {
		r = request_new(cls, connection, url, method);
		*state = r;
		return r ? MHD_YES : MHD_NO;
	}
	if (*data_n) {
		r->crc = (uint32_t)crc32(r->crc, (const unsigned char *)data,
					 (unsigned int)*data_n);
		r->body_n += *data_n;
		if (strcmp(r->path, MODE_PATH) == 0 && r->body_n < 256 &&
		    buf_add(&r->mode_text, data, *data_n))
			return MHD_NO;
		*data_n = 0;
		return MHD_YES;
	}
	if (r->state == REQUEST_UPLOAD)
		return request_begin(r);
	if (r->state == REQUEST_ENDED)
		return r->close ? MHD_NO : answer(r);
	return MHD_YES;
}

static void completed(void *cls, struct MHD_Connection *connection, void **state,
		      enum MHD_RequestTerminationCode code)
{
	struct request *r = *state;

	if (!r)
		return;
	ev_timer_stop(loop, &r->timer);
	if (r->has_slot)
		r->executor->busy--;
	buf_free(&r->mode_text);
	free(r);
	*state = NULL;
	in_flight--;
}

static void executor_open(struct executor *x, const struct addr *base, unsigned int i)
{
	struct addr a = *base;
	struct buf text = {0};
	int fd;
	int e;

	if (i) {
		struct buf t = {0};
		struct str host = {0};

		if (addr_format(base, &t))
			errx(1, "address");
		host = buf_str(&t);
		while (host.n && host.p[host.n - 1] != ':')
			host.n--;
		buf_addf(&text, "%.*s%u", STR_ARG(host), addr_port(base) + i);
		if (addr_parse(buf_str(&text), &a))
			errx(1, "address");
		buf_free(&t);
		text.n = 0;
	}
	if (addr_format(&a, &text))
		errx(1, "address");
	snprintf(x->address, sizeof(x->address), "%s", text.p);
	buf_free(&text);
	if (opt.count > 1)
		snprintf(x->name, sizeof(x->name), "%s-%u", opt.name, i + 1);
	else
		snprintf(x->name, sizeof(x->name), "%s", opt.name);
	x->prng.state = opt.seed * 1000003 + i;
	x->incarnation = wall_us();
	x->next_control = i;
	e = listener_open(&a, &fd);
	if (e)
		errx(1, "%s: cannot listen (%d)", x->address, e);
	x->daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL,
				     NULL, handle, x, MHD_OPTION_LISTEN_SOCKET, fd,
				     MHD_OPTION_NOTIFY_COMPLETED, completed, x,
				     MHD_OPTION_CONNECTION_TIMEOUT, 0U, MHD_OPTION_END);
	if (!x->daemon)
		errx(1, "%s: cannot start the HTTP server", x->address);
	ev_io_init(&x->io, executor_io_cb,
		   MHD_get_daemon_info(x->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd,
		   EV_READ);
	x->io.data = x;
	ev_io_start(loop, &x->io);
	ev_init(&x->timer, executor_timer_cb);
	x->timer.data = x;
	/* Executors of one process are spread over the period. */
	ev_timer_init(&x->announce, announce_cb, 0.001 * opt.announce_ms * i / opt.count,
		      0.001 * opt.announce_ms);
	x->announce.data = x;
	ev_timer_start(loop, &x->announce);
}

static void leave_cb(struct ev_loop *l, struct ev_timer *w, int revents)
{
	int64_t ms = (mono_us() - leaving_us) / US_PER_MS;
	bool told = true;
	int64_t min = opt.n_controls ? LEAVE_MS : 0;

	for (unsigned int i = 0; i < opt.count && opt.n_controls; i++)
		told = told && executors[i].leave_told;
	if ((ms >= min && in_flight == 0 && told) || ms >= LEAVE_MAX_MS)
		ev_break(l, EVBREAK_ALL);
}

static void term_cb(struct ev_loop *l, struct ev_signal *w, int revents)
{
	static struct ev_timer timer;

	if (leaving_us)
		return;
	leaving_us = mono_us();
	for (unsigned int i = 0; i < opt.count; i++)
		announce(&executors[i]);
	ev_timer_init(&timer, leave_cb, 0, 0.02);
	ev_timer_start(l, &timer);
}

static void __attribute__((noreturn)) usage(void)
{
	fprintf(stderr,
		"usage: upstream --listen ADDRESS [--control ADDRESS]... [--team NAME]\n"
		"  [--service NAME] [--name NAME] [--zone NAME] [--slots N] [--count N]\n"
		"  [--service-ms DISTRIBUTION] [--seed N] [--fail MODE]... [--queue]\n"
		"  [--announce-ms N] [--ledger FILE] [--ledger-starts]\n"
		"DISTRIBUTION: N | uniform:LOW:HIGH | exp:MEAN | lognormal:MEDIAN:SIGMA\n"
		"MODE: close=P | truncate=BYTES:P | hang=P | refuse=P | lie=LOAD |\n"
		"  slow=FACTOR:FROM_S:FOR_S | none; PUT " MODE_PATH
		" sets one at run time\n");
	exit(2);
}

int main(int argc, char **argv)
{
	static const struct option longs[] = {
		{"listen", required_argument, NULL, 'l'},
		{"control", required_argument, NULL, 'c'},
		{"team", required_argument, NULL, 'T'},
		{"service", required_argument, NULL, 's'},
		{"name", required_argument, NULL, 'n'},
		{"zone", required_argument, NULL, 'z'},
		{"slots", required_argument, NULL, 'S'},
		{"count", required_argument, NULL, 'N'},
		{"service-ms", required_argument, NULL, 't'},
		{"seed", required_argument, NULL, 'r'},
		{"fail", required_argument, NULL, 'f'},
		{"queue", no_argument, NULL, 'q'},
		{"announce-ms", required_argument, NULL, 'a'},
		{"ledger", required_argument, NULL, 'L'},
		{"ledger-starts", no_argument, NULL, 'B'},
		{0},
	};
	struct ev_signal term, intr;
	struct addr base;
	const char *listen_text = NULL;
	int ch;

	while ((ch = getopt_long(argc, argv, "", longs, NULL)) != -1) {
		switch (ch) {
		case 'l':
			listen_text = optarg;
			break;
		case 'c':
			if (opt.n_controls == MAX_CONTROLS)
				errx(2, "more than %d control addresses", MAX_CONTROLS);
			opt.controls[opt.n_controls++] = optarg;
			break;
		case 'T':
			opt.team = optarg;
			break;
		case 's':
			opt.service = optarg;
			break;
		case 'n':
			opt.name = optarg;
			break;
		case 'z':
			opt.zone = optarg;
			break;
		case 'S':
			opt.slots = (unsigned int)number_arg(optarg, 1, 100000, "slots");
			break;
		case 'N':
			opt.count =
				(unsigned int)number_arg(optarg, 1, MAX_COUNT, "count");
			break;
		case 't':
			opt.service_ms = dist_arg(optarg, "service-ms");
			break;
		case 'r':
			opt.seed = (uint64_t)number_arg(optarg, 0, 1e15, "seed");
			break;
		case 'f':
			if (!mode_parse(optarg, &opt.modes))
				errx(2, "--fail: %s is not a mode", optarg);
			break;
		case 'q':
			opt.queue = true;
			break;
		case 'a':
			opt.announce_ms =
				(int)number_arg(optarg, 10, 60000, "announce-ms");
			break;
		case 'L':
			opt.ledger = optarg;
			break;
		case 'B':
			opt.ledger_starts = true;
			break;
		default:
			usage();
		}
	}
	if (optind != argc || !listen_text)
		usage();
	if (addr_parse(str_from(listen_text), &base))
		errx(2, "--listen: %s is not an address", listen_text);
	signal(SIGPIPE, SIG_IGN);
	loop = ev_default_loop(0);
	started_us = mono_us();
	ledger = ledger_open(opt.ledger);
	client_open(&client, loop);
	executors = calloc(opt.count, sizeof(*executors));
	if (!executors)
		err(1, NULL);
	for (unsigned int i = 0; i < opt.count; i++)
		executor_open(&executors[i], &base, i);
	ev_signal_init(&term, term_cb, SIGTERM);
	ev_signal_start(loop, &term);
	ev_signal_init(&intr, term_cb, SIGINT);
	ev_signal_start(loop, &intr);
	ev_run(loop, 0);
	return 0;
}
