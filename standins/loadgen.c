/* Bounded load generator for callers' requests; it checks every answer. */
#include <getopt.h>
#include <jansson.h>
#include <signal.h>
#include <zlib.h>

#include "base/hist.h"
#include "standins/client.h"

#define MAX_ENTRIES 64
#define MAX_BODY (1U << 20)
#define HEALTH_TIMEOUT_MS 1000
#define DRAIN_MAX_S 60 /* time for answers after the last request was sent */

struct entry {
	char callers[64];
	char control[64]; /* empty: always taken for healthy */
	bool healthy;
	bool checking;
	uint64_t sent;
};

struct options {
	struct entry entries[MAX_ENTRIES];
	size_t n_entries;
	const char *team;
	const char *service;
	const char *class;
	const char *prefix; /* of idempotency keys, unique for a run */
	const char *ledger;
	double rate;
	unsigned int concurrency;
	double duration_s;
	uint64_t max;
	double post;	/* share of POST */
	double unkeyed; /* share of POST without a key */
	unsigned int resend;
	struct dist body;
	struct dist answer;
	long deadline_ms;
	long timeout_ms;
	int health_ms;
	uint64_t seed;
	bool direct; /* the entry is an upstream and sees the whole path */
};

static struct options opt = {
	.team = "guild",
	.service = "gigdesk",
	.concurrency = 8,
	.duration_s = 5,
	.max = UINT64_MAX,
	.post = 0.5,
	.body = {.kind = DIST_UNIFORM, .a = 0, .b = 512},
	.answer = {.kind = DIST_UNIFORM, .a = 0, .b = 2048},
	.timeout_ms = 10000,
	.health_ms = 500,
	.seed = 1,
};

enum outcome { OUT_DONE, OUT_NOT_RUN, OUT_UNKNOWN, OUT_WRONG, OUT_REFUSED, OUT_N };
static const char *const outcome_names[OUT_N] = {"done", "not_run", "unknown", "wrong",
						 "refused"};

struct caller {
	uint64_t number;
	struct entry *entry;
	bool post;
	bool keyed;
	unsigned int tries;
	char key[96];
	char path[160];
	size_t body_n;
	uint32_t crc;
	size_t filler_n;
	int64_t first_us;
	bool maybe_run; /* an earlier send had an unknown outcome */
};

static struct ev_loop *loop;
static struct client client;
static struct prng prng;
static struct ev_timer sender;
static struct ev_timer stopper;
static int ledger = -1;
static int64_t started_us;
static bool stopping;
static uint64_t sent, in_flight, next_entry, no_entry, resends, connect_failed;
static uint64_t counts[OUT_N];
static uint64_t statuses[600];
static struct hist latency[OUT_N];
static json_t *reasons; /* of answers that are not 2xx, with their counts */
static int64_t checked_us;
static int64_t longest_pause_us; /* of this process: how late a health check began */

static void caller_send(struct caller *k);
static void send_more(void);

static void finish_if_idle(void)
{
	if (stopping && in_flight == 0)
		ev_break(loop, EVBREAK_ALL);
}

/* Returns the next healthy entry process in turn, NULL without one. */
static struct entry *pick_entry(void)
{
	for (size_t i = 0; i < opt.n_entries; i++) {
		struct entry *e = &opt.entries[next_entry++ % opt.n_entries];

		if (e->healthy)
			return e;
	}
	return NULL;
}

/* True when the answer is complete and belongs to this very request. */
static bool answer_matches(const struct caller *k, const struct client_call *c)
{
	char want[320];
	/* Entry processes send the path behind /TEAM/SERVICE to the upstream. */
	const char *path =
		k->path + (opt.direct ? 0 : strlen(opt.team) + strlen(opt.service) + 2);
	int n = snprintf(want, sizeof(want), "%s %s %zu %08x\n", k->post ? "POST" : "GET",
			 path, k->body_n, k->crc);

	if (c->answer.n != (size_t)n + k->filler_n ||
	    memcmp(c->answer.p, want, (size_t)n) != 0)
		return false;
	for (size_t i = 0; i < k->filler_n; i++)
		if (c->answer.p[n + (int)i] != filler_byte(k->crc, i))
			return false;
	return true;
}

/* Judges an answer by its outcome header and its content. */
static enum outcome classify(const struct caller *k, const struct client_call *c)
{
	/*
	 * libcurl sends an idempotent request again when a reused connection ends early;
	 * then only the last try failed to connect.
	 */
	if (c->result == CURLE_COULDNT_CONNECT && c->sent_bytes == 0) {
		connect_failed++;
		return OUT_NOT_RUN;
	}
	if (c->result != CURLE_OK)
		return OUT_UNKNOWN;
	if (c->status / 100 == 2) {
		if (!answer_matches(k, c))
			return OUT_WRONG;
		return c->run[0] && strcmp(c->run, "done") != 0 ? OUT_WRONG : OUT_DONE;
	}
	/* An answer to the last try says nothing about the tries before it. */
	if (strcmp(c->run, "not-run") == 0)
		return c->resent ? OUT_UNKNOWN : OUT_NOT_RUN;
	if (strcmp(c->run, "unknown") == 0 || c->status >= 500 || c->status == 409)
		return OUT_UNKNOWN;
	return OUT_REFUSED;
}

/* Counts the reason that the answer of an entry process gives. */
static void count_reason(const struct client_call *c)
{
	json_t *body = json_loadb(c->answer.p, c->answer.n, 0, NULL);
	const char *reason = json_string_value(json_object_get(body, "reason"));
	json_int_t n;

	if (reason) {
		n = json_integer_value(json_object_get(reasons, reason));
		json_object_set_new(reasons, reason, json_integer(n + 1));
	}
	json_decref(body);
}

static void answered(struct client_call *c)
{
	struct caller *k = c->arg;
	enum outcome o = classify(k, c);
	int64_t us = c->answer_us - c->sent_us;

	ledger_line(ledger, "%llu %s %s %s %s %ld %lld %s\n",
		    (unsigned long long)k->number, k->keyed ? k->key : "-",
		    k->post ? "POST" : "GET", k->path, outcome_names[o], c->status,
		    (long long)us, k->entry->callers);
	if (c->status > 0 && c->status < 600)
		statuses[c->status]++;
	if (c->result == CURLE_OK && c->status / 100 != 2)
		count_reason(c);
	if (o == OUT_UNKNOWN)
		k->maybe_run = true;
	if (o == OUT_UNKNOWN && k->tries < opt.resend && (k->keyed || !k->post)) {
		k->tries++;
		resends++;
		caller_send(k);
		return;
	}
	/* A refused resend says nothing about the sends before it. */
	if (k->maybe_run && (o == OUT_NOT_RUN || o == OUT_REFUSED))
		o = OUT_UNKNOWN;
	counts[o]++;
	hist_add(&latency[o], (uint64_t)(c->answer_us - k->first_us));
	in_flight--;
	free(k);
	/* After a refused connection the timer goes on, so that the loop does not spin.
	 */
	if (c->result != CURLE_COULDNT_CONNECT)
		send_more();
	finish_if_idle();
}

/* Sends one request to the next healthy entry process. */
static void caller_send(struct caller *k)
{
	struct client_call *c;
	char url[320];
	char text[32];

	k->entry = pick_entry();
	if (!k->entry) {
		/* As behind a balancer without a healthy target. */
		no_entry++;
		counts[k->maybe_run ? OUT_UNKNOWN : OUT_NOT_RUN]++;
		in_flight--;
		free(k);
		return;
	}
	k->entry->sent++;
	snprintf(url, sizeof(url), "http://%s%s", k->entry->callers, k->path);
	c = client_call(&client, k->post ? "POST" : "GET", url, opt.timeout_ms, answered,
			k);
	if (k->keyed)
		client_header(c, "Idempotency-Key", k->key);
	if (opt.class)
		client_header(c, "Carawayfront-Class", opt.class);
	if (opt.deadline_ms) {
		snprintf(text, sizeof(text), "%ld", opt.deadline_ms);
		client_header(c, "Carawayfront-Deadline-Ms", text);
	}
	snprintf(text, sizeof(text), "%zu", k->filler_n);
	client_header(c, ANSWER_HEADER, text);
	/* libcurl repeats a POST by itself on a reused connection that ends early. */
	if (k->post)
		curl_easy_setopt(c->easy, CURLOPT_FRESH_CONNECT, 1L);
	if (buf_reserve(&c->request, k->body_n))
		errx(1, "out of memory");
	for (size_t i = 0; i < k->body_n; i++)
		c->request.p[i] = (char)('0' + (k->number + i * 7) % 64);
	c->request.n = k->body_n;
	client_start(c, k->post);
}

static void caller_new(void)
{
	struct caller *k = calloc(1, sizeof(*k));
	double n;

	if (!k)
		err(1, NULL);
	k->number = sent++;
	k->post = prng_unit(&prng) < opt.post;
	k->keyed = k->post && !(prng_unit(&prng) < opt.unkeyed);
	snprintf(k->key, sizeof(k->key), "%s-%llu", opt.prefix,
		 (unsigned long long)k->number);
	snprintf(k->path, sizeof(k->path), "/%s/%s/%s/%llu", opt.team, opt.service,
		 opt.prefix, (unsigned long long)k->number);
	n = dist_sample(&opt.body, &prng);
	k->body_n = k->post ? (size_t)(n < MAX_BODY ? n : MAX_BODY) : 0;
	n = dist_sample(&opt.answer, &prng);
	k->filler_n = (size_t)(n < MAX_ANSWER_BYTES ? n : MAX_ANSWER_BYTES);
	k->crc = (uint32_t)crc32(0, NULL, 0);
	for (size_t i = 0; i < k->body_n; i++) {
		unsigned char b = (unsigned char)('0' + (k->number + i * 7) % 64);

		k->crc = (uint32_t)crc32(k->crc, &b, 1);
	}
	k->first_us = mono_us();
	in_flight++;
	caller_send(k);
}

static bool load_over(void)
{
	return sent >= opt.max ||
	       (double)(mono_us() - started_us) / US_PER_S >= opt.duration_s;
}

static void stop_sending(void)
{
	if (stopping)
		return;
	stopping = true;
	ev_timer_stop(loop, &sender);
	ev_timer_stop(loop, &stopper);
	ev_timer_set(&stopper, DRAIN_MAX_S, 0);
	ev_timer_start(loop, &stopper);
	finish_if_idle();
}

/* Keeps the concurrency, or the number of requests that the rate asks for. */
static void send_more(void)
{
	double s = (double)(mono_us() - started_us) / US_PER_S;
	uint64_t before;

	while (!stopping) {
		if (load_over()) {
			stop_sending();
			return;
		}
		if (opt.rate > 0 ? (double)sent >= s * opt.rate
				 : in_flight >= opt.concurrency)
			return;
		if (opt.rate > 0 && in_flight >= 10000)
			return;
		before = no_entry;
		caller_new();
		if (no_entry != before && opt.rate <= 0)
			return;
	}
}

static void sender_cb(struct ev_loop *l, struct ev_timer *w, int revents)
{
	send_more();
}

static void stopper_cb(struct ev_loop *l, struct ev_timer *w, int revents)
{
	if (stopping)
		ev_break(l, EVBREAK_ALL);
	else
		stop_sending();
}

/* Ends the load early, as at the end of its duration. */
static void terminate_cb(struct ev_loop *l, struct ev_signal *w, int revents)
{
	stop_sending();
}

static void health_answered(struct client_call *c)
{
	struct entry *e = c->arg;

	e->checking = false;
	e->healthy = c->result == CURLE_OK && c->status == 200;
}

static void health_cb(struct ev_loop *l, struct ev_timer *w, int revents)
{
	int64_t late = mono_us() - checked_us - opt.health_ms * 1000L;

	if (checked_us && late > longest_pause_us)
		longest_pause_us = late;
	checked_us = mono_us();
	for (size_t i = 0; i < opt.n_entries; i++) {
		struct entry *e = &opt.entries[i];
		char url[128];

		if (!e->control[0] || e->checking)
			continue;
		e->checking = true;
		snprintf(url, sizeof(url), "http://%s/healthz", e->control);
		client_start(client_call(&client, "GET", url, HEALTH_TIMEOUT_MS,
					 health_answered, e),
			     false);
	}
}

static void print_result(void)
{
	double s = (double)(mono_us() - started_us) / US_PER_S;
	json_t *lat = json_object();
	json_t *st = json_object();
	json_t *ent = json_object();
	json_t *j;

	for (int o = 0; o < OUT_N; o++) {
		const struct hist *h = &latency[o];

		if (h->count == 0)
			continue;
		json_object_set_new(
			lat, outcome_names[o],
			json_pack("{s:I,s:f,s:f,s:f,s:f,s:f}", "count",
				  (json_int_t)h->count, "p50_ms",
				  (double)hist_quantile(h, 0.5) / 1000.0, "p90_ms",
				  (double)hist_quantile(h, 0.9) / 1000.0, "p99_ms",
				  (double)hist_quantile(h, 0.99) / 1000.0, "p999_ms",
				  (double)hist_quantile(h, 0.999) / 1000.0, "max_ms",
				  (double)h->max / 1000.0));
	}
	for (int i = 0; i < 600; i++) {
		char key[16];

		snprintf(key, sizeof(key), "%d", i);
		if (statuses[i])
			json_object_set_new(st, key,
					    json_integer((json_int_t)statuses[i]));
	}
	for (size_t i = 0; i < opt.n_entries; i++)
		json_object_set_new(ent, opt.entries[i].callers,
				    json_integer((json_int_t)opt.entries[i].sent));
	j = json_pack(
		"{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:f,s:f,s:o,s:o,s:O,s:o}",
		"sent", (json_int_t)sent, "done", (json_int_t)counts[OUT_DONE], "not_run",
		(json_int_t)counts[OUT_NOT_RUN], "unknown",
		(json_int_t)counts[OUT_UNKNOWN], "wrong", (json_int_t)counts[OUT_WRONG],
		"refused", (json_int_t)counts[OUT_REFUSED], "unanswered",
		(json_int_t)in_flight, "resends", (json_int_t)resends, "connect_failed",
		(json_int_t)connect_failed, "no_entry", (json_int_t)no_entry, "seconds",
		s, "longest_pause_ms", (double)longest_pause_us / 1000.0, "latency", lat,
		"status", st, "reasons", reasons, "entries", ent);
	json_dumpf(j, stdout, JSON_INDENT(2) | JSON_REAL_PRECISION(6));
	putchar('\n');
	json_decref(j);
}

static void __attribute__((noreturn)) usage(void)
{
	fprintf(stderr,
		"usage: loadgen --entry CALLERS[,CONTROL]... [--team NAME] [--service "
		"NAME]\n"
		"  [--rate PER_S | --concurrency N] [--duration S] [--max N]\n"
		"  [--post SHARE] [--unkeyed SHARE] [--resend N] [--body DISTRIBUTION]\n"
		"  [--answer DISTRIBUTION] [--deadline-ms N] [--class NAME]\n"
		"  [--timeout-ms N] [--health-ms N] [--prefix TEXT] [--seed N]\n"
		"  [--ledger FILE] [--direct]\n"
		"DISTRIBUTION (bytes): N | uniform:LOW:HIGH | exp:MEAN | "
		"lognormal:MEDIAN:SIGMA\n"
		"exit status: 0 no wrong and no missing answer, 1 otherwise, 2 usage\n");
	exit(2);
}

/* Adds CALLERS[,CONTROL]. */
static void entry_add(const char *text)
{
	struct str callers, control;
	struct entry *e = &opt.entries[opt.n_entries];

	if (opt.n_entries == MAX_ENTRIES)
		errx(2, "more than %d entry processes", MAX_ENTRIES);
	str_split(str_from(text), ',', &callers, &control);
	if (callers.n == 0 || callers.n >= sizeof(e->callers) ||
	    control.n >= sizeof(e->control))
		errx(2, "--entry: %s is not CALLERS[,CONTROL]", text);
	memcpy(e->callers, callers.p, callers.n);
	if (control.n)
		memcpy(e->control, control.p, control.n);
	e->healthy = control.n == 0;
	opt.n_entries++;
}

static void options_read(int argc, char **argv)
{
	static const struct option longs[] = {
		{"entry", required_argument, NULL, 'e'},
		{"team", required_argument, NULL, 'T'},
		{"service", required_argument, NULL, 's'},
		{"class", required_argument, NULL, 'C'},
		{"rate", required_argument, NULL, 'r'},
		{"concurrency", required_argument, NULL, 'c'},
		{"duration", required_argument, NULL, 'd'},
		{"max", required_argument, NULL, 'm'},
		{"post", required_argument, NULL, 'p'},
		{"unkeyed", required_argument, NULL, 'u'},
		{"direct", no_argument, NULL, 'Z'},
		{"resend", required_argument, NULL, 'R'},
		{"body", required_argument, NULL, 'b'},
		{"answer", required_argument, NULL, 'a'},
		{"deadline-ms", required_argument, NULL, 'D'},
		{"timeout-ms", required_argument, NULL, 't'},
		{"health-ms", required_argument, NULL, 'H'},
		{"prefix", required_argument, NULL, 'P'},
		{"seed", required_argument, NULL, 'S'},
		{"ledger", required_argument, NULL, 'L'},
		{0},
	};
	int ch;

	while ((ch = getopt_long(argc, argv, "", longs, NULL)) != -1) {
		switch (ch) {
		case 'e':
			entry_add(optarg);
			break;
		case 'T':
			opt.team = optarg;
			break;
		case 's':
			opt.service = optarg;
			break;
		case 'C':
			opt.class = optarg;
			break;
		case 'r':
			opt.rate = number_arg(optarg, 0.01, 20000, "rate");
			break;
		case 'c':
			opt.concurrency =
				(unsigned int)number_arg(optarg, 1, 4096, "concurrency");
			break;
		case 'd':
			opt.duration_s = number_arg(optarg, 0.1, 3600, "duration");
			break;
		case 'm':
			opt.max = (uint64_t)number_arg(optarg, 1, 1e9, "max");
			break;
		case 'p':
			opt.post = number_arg(optarg, 0, 1, "post");
			break;
		case 'Z':
			opt.direct = true;
			break;
		case 'u':
			opt.unkeyed = number_arg(optarg, 0, 1, "unkeyed");
			break;
		case 'R':
			opt.resend = (unsigned int)number_arg(optarg, 0, 100, "resend");
			break;
		case 'b':
			opt.body = dist_arg(optarg, "body");
			break;
		case 'a':
			opt.answer = dist_arg(optarg, "answer");
			break;
		case 'D':
			opt.deadline_ms = (long)number_arg(optarg, 1, 1e9, "deadline-ms");
			break;
		case 't':
			opt.timeout_ms =
				(long)number_arg(optarg, 10, 600000, "timeout-ms");
			break;
		case 'H':
			opt.health_ms = (int)number_arg(optarg, 10, 60000, "health-ms");
			break;
		case 'P':
			opt.prefix = optarg;
			break;
		case 'S':
			opt.seed = (uint64_t)number_arg(optarg, 0, 1e15, "seed");
			break;
		case 'L':
			opt.ledger = optarg;
			break;
		default:
			usage();
		}
	}
	if (optind != argc || opt.n_entries == 0)
		usage();
	if (opt.prefix && strlen(opt.prefix) > 48)
		errx(2, "--prefix: more than 48 bytes");
}

int main(int argc, char **argv)
{
	char prefix[32];
	struct ev_timer health;
	struct ev_signal terminate;

	options_read(argc, argv);
	if (!opt.prefix) {
		snprintf(prefix, sizeof(prefix), "r%llx", (unsigned long long)wall_us());
		opt.prefix = prefix;
	}
	signal(SIGPIPE, SIG_IGN);
	loop = ev_default_loop(0);
	reasons = json_object();
	prng.state = opt.seed;
	ledger = ledger_open(opt.ledger);
	client_open(&client, loop);
	curl_multi_setopt(client.multi, CURLMOPT_MAXCONNECTS, 4096L);
	started_us = mono_us();
	ev_timer_init(&health, health_cb, 0, opt.health_ms / 1000.0);
	ev_timer_start(loop, &health);
	/* The first health answers come before the first request. */
	ev_timer_init(&sender, sender_cb, 0.05, opt.rate > 0 ? 0.002 : 0.02);
	ev_timer_start(loop, &sender);
	ev_timer_init(&stopper, stopper_cb, opt.duration_s, 0);
	ev_timer_start(loop, &stopper);
	ev_signal_init(&terminate, terminate_cb, SIGTERM);
	ev_signal_start(loop, &terminate);
	ev_run(loop, 0);
	print_result();
	json_decref(reasons);
	return counts[OUT_WRONG] || in_flight ? 1 : 0;
}
