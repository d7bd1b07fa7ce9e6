#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/err.h"
#include "base/hist.h"
#include "base/prng.h"
#include "core/announce.h"
#include "core/router.h"

/*
 * Routing ways of core/router in virtual time: 8 entry processes that do not see
 * one another, executors of 8 slots, a load balancer that is not even, bursts.
 * Lines are "name value unit baseline ratio"; the baseline of a routing way is
 * random choice in the same situation. bench_router [SECONDS] [FILTER].
 */
#define ENTRIES 8
#define SLOTS 8
#define ZONES 3
#define MAX_UP 65
#define MS 1000LL
#define SEC 1000000LL
#define MEAN_US (50 * MS)
#define DEADLINE_US (1 * SEC)
#define ANNOUNCE_US (500 * MS)
#define ZONE_LATENCY_US 1500
#define LOCAL_LATENCY_US 250
#define QUEUE_AT_UPSTREAM 64

enum situation { BASE, SLOW, NOISY, ZONE_OUT, SITUATIONS };
enum event_kind { E_ARRIVE, E_RECEIVE, E_SERVED, E_RESPONSE, E_ANNOUNCE, E_HEAR, E_ZONE };

static const char *const situation_name[] = {"base", "slow", "noisy", "zone-out"};
static const char *const policy_name[] = {"default", "random", "p2c", "reported",
					  "subset"};
static const char *const entry_name[ENTRIES] = {"e1", "e2", "e3", "e4",
						"e5", "e6", "e7", "e8"};
static const char *const zone_name[ZONES] = {"a", "b", "c"};

struct event {
	int64_t at;
	uint64_t order;
	enum event_kind kind;
	unsigned int a;
	uint64_t b;
	int load;
	bool not_run;
};

struct sim_req {
	int64_t start;
	int64_t deadline;
	unsigned int entry;
	bool finished;
	int64_t work;
};

struct sim_up {
	uint64_t id;
	unsigned int busy;
	unsigned int waiting;
	uint64_t queue[QUEUE_AT_UPSTREAM];
	unsigned int zone;
	double slow;
	char name[8];
	uint64_t sequence;
};

struct sim_entry {
	struct router_host host;
	struct router *r;
	struct sim *s;
	unsigned int index;
	double weight;
};

struct sim {
	struct sim_entry entry[ENTRIES];
	struct sim_up up[MAX_UP];
	unsigned int n_up;
	struct event *heap;
	size_t n, cap;
	uint64_t order;
	struct sim_req *req;
	uint64_t n_req, cap_req;
	struct prng rng;
	int64_t now, end, warm;
	double rate;
	bool refuses;
	enum situation situation;
	struct hist latency;
	uint64_t sends, overshot, done, not_run, unknown, submitted;
	int64_t work, wasted;
	unsigned int max_busy;
};

static bool before(const struct event *x, const struct event *y)
{
	return x->at < y->at || (x->at == y->at && x->order < y->order);
}

static void push(struct sim *s, struct event e)
{
	size_t i;

	if (s->n == s->cap) {
		s->cap = s->cap ? 2 * s->cap : 1024;
		s->heap = realloc(s->heap, s->cap * sizeof(*s->heap));
		if (!s->heap)
			abort();
	}
	e.order = s->order++;
	for (i = s->n++; i > 0 && before(&e, &s->heap[(i - 1) / 2]); i = (i - 1) / 2)
		s->heap[i] = s->heap[(i - 1) / 2];
	s->heap[i] = e;
}

static struct event pop(struct sim *s)
{
	struct event top = s->heap[0];
	struct event last = s->heap[--s->n];
	size_t i = 0;

	for (;;) {
		size_t c = 2 * i + 1;

		if (c >= s->n)
			break;
		if (c + 1 < s->n && before(&s->heap[c + 1], &s->heap[c]))
			c++;
		if (!before(&s->heap[c], &last))
			break;
		s->heap[i] = s->heap[c];
		i = c;
	}
	s->heap[i] = last;
	return top;
}

static double exponential(struct prng *r, double mean)
{
	return -mean * log(1.0 - prng_unit(r));
}

/* Log-normal with the given mean and sigma 0.8: p99 is 4.7 times the mean. */
static int64_t service_time(struct sim *s, const struct sim_up *u)
{
	double g = sqrt(-2 * log(1.0 - prng_unit(&s->rng))) *
		   cos(2 * M_PI * prng_unit(&s->rng));
	double slow = u->slow;

	/* Disturbed upstreams change every 2 s; a tenth is disturbed at a time. */
	if (s->situation == NOISY &&
	    ((uint64_t)(s->now / (2 * SEC)) * 7 + (uint64_t)(u - s->up)) % 10 == 0)
		slow = 4;
	return (int64_t)(slow * (double)MEAN_US * exp(0.8 * g - 0.32)) + 1;
}

static int64_t latency(const struct sim *s, unsigned int entry, unsigned int up)
{
	return entry % ZONES == s->up[up].zone ? LOCAL_LATENCY_US : ZONE_LATENCY_US;
}

static unsigned int up_index(const struct sim *s, uint64_t id)
{
	for (unsigned int i = 0; i < s->n_up; i++)
		if (s->up[i].id == id)
			return i;
	abort();
}

static void on_send(struct router_host *h, uint64_t request, uint64_t upstream)
{
	struct sim_entry *e = (struct sim_entry *)(void *)h;
	unsigned int u = up_index(e->s, upstream);

	push(e->s, (struct event){.at = e->s->now + latency(e->s, e->index, u),
				  .kind = E_RECEIVE,
				  .a = u,
				  .b = request});
}

static void on_finish(struct router_host *h, uint64_t request,
		      const struct router_outcome *o)
{
	struct sim *s = ((struct sim_entry *)(void *)h)->s;
	struct sim_req *q = &s->req[request];

	q->finished = true;
	if (q->start < s->warm)
		return;
	if (o->run == ROUTER_DONE) {
		s->done++;
		hist_add(&s->latency, (uint64_t)o->total_us);
	} else if (o->run == ROUTER_NOT_RUN) {
		s->not_run++;
	} else {
		s->unknown++;
	}
}

static void on_claim(struct router_host *h, uint64_t request)
{
}

static const struct router_ops ops = {
	.send = on_send,
	.finish = on_finish,
	.claim = on_claim,
	.claim_done = on_claim,
	.claim_unknown = on_claim,
	.claim_abort = on_claim,
};

static void serve(struct sim *s, unsigned int u, uint64_t request)
{
	int64_t work = service_time(s, &s->up[u]);

	s->up[u].busy++;
	s->req[request].work = work;
	push(s,
	     (struct event){.at = s->now + work, .kind = E_SERVED, .a = u, .b = request});
}

static void respond(struct sim *s, unsigned int u, uint64_t request, bool not_run)
{
	unsigned int entry = s->req[request].entry;

	push(s, (struct event){.at = s->now + latency(s, entry, u),
			       .kind = E_RESPONSE,
			       .a = entry,
			       .b = request,
			       .load = (int)(s->up[u].busy + s->up[u].waiting),
			       .not_run = not_run});
}

static void receive(struct sim *s, unsigned int u, uint64_t request)
{
	struct sim_up *up = &s->up[u];
	bool counted = s->now >= s->warm;

	s->sends += counted;
	if (up->busy < SLOTS) {
		serve(s, u, request);
		return;
	}
	s->overshot += counted;
	if (s->refuses || up->waiting == QUEUE_AT_UPSTREAM)
		respond(s, u, request, true);
	else
		up->queue[up->waiting++] = request;
}

static void served(struct sim *s, unsigned int u, uint64_t request)
{
	struct sim_up *up = &s->up[u];
	const struct sim_req *q = &s->req[request];

	up->busy--;
	if (s->now >= s->warm) {
		s->work += q->work;
		if (q->finished)
			s->wasted += q->work;
	}
	if (up->waiting) {
		uint64_t next = up->queue[0];

		memmove(up->queue, up->queue + 1, --up->waiting * sizeof(next));
		serve(s, u, next);
	}
	respond(s, u, request, false);
}

static void hear(struct sim *s, unsigned int entry, unsigned int u, int load)
{
	struct router_upstream a = {.team = STR("guild"),
				    .service = STR("gigdesk"),
				    .name = str_from(s->up[u].name),
				    .address = STR("10.0.0.1:80"),
				    .zone = str_from(zone_name[s->up[u].zone]),
				    .slots = SLOTS,
				    .load = load,
				    .incarnation = 1,
				    .sequence = s->up[u].sequence,
				    .age_us = 2 * MS};

	s->up[u].id = router_upstream_id(&a);
	router_upstream(s->entry[entry].r, &a, s->now);
}

/* Arrivals: every second ends with 200 ms of twice the rate; the mean is kept. */
static int64_t next_arrival(struct sim *s, const struct sim_entry *e)
{
	double rate = s->rate * e->weight / ENTRIES / 1.2;

	if (s->now % SEC >= 800 * MS)
		rate *= 2;
	return s->now + 1 + (int64_t)exponential(&s->rng, 1e6 / rate);
}

static void arrive(struct sim *s, unsigned int entry)
{
	struct sim_entry *e = &s->entry[entry];
	struct router_request q = {.id = s->n_req,
				   .team = STR("guild"),
				   .service = STR("gigdesk"),
				   .class = ROUTER_LATENCY,
				   .deadline_us = s->now + DEADLINE_US};

	if (s->n_req == s->cap_req) {
		s->cap_req = s->cap_req ? 2 * s->cap_req : 65536;
		s->req = realloc(s->req, s->cap_req * sizeof(*s->req));
		if (!s->req)
			abort();
	}
	s->req[s->n_req++] = (struct sim_req){
		.start = s->now, .deadline = q.deadline_us, .entry = entry};
	s->submitted += s->now >= s->warm;
	if (router_submit(e->r, &q, s->now) != 0)
		abort();
	push(s, (struct event){.at = next_arrival(s, e), .kind = E_ARRIVE, .a = entry});
}

static void handle(struct sim *s, const struct event *e)
{
	struct router_answer a;

	switch (e->kind) {
	case E_ARRIVE:
		arrive(s, e->a);
		break;
	case E_RECEIVE:
		receive(s, e->a, e->b);
		break;
	case E_SERVED:
		served(s, e->a, e->b);
		break;
	case E_RESPONSE:
		a = (struct router_answer){
			.not_run = e->not_run, .status = 200, .load = e->load};
		router_answered(s->entry[e->a].r, e->b, &a, s->now);
		break;
	case E_ANNOUNCE:
		s->up[e->a].sequence++;
		for (unsigned int i = 0; i < ENTRIES; i++)
			push(s, (struct event){.at = s->now + 2 * MS,
					       .kind = E_HEAR,
					       .a = e->a,
					       .b = i,
					       .load = (int)(s->up[e->a].busy +
							     s->up[e->a].waiting)});
		push(s, (struct event){.at = s->now + ANNOUNCE_US,
				       .kind = E_ANNOUNCE,
				       .a = e->a});
		break;
	case E_HEAR:
		hear(s, (unsigned int)e->b, e->a, e->load);
		break;
	case E_ZONE:
		for (unsigned int i = 0; i < ENTRIES; i++)
			router_zone(s->entry[i].r, STR("guild"), STR("b"), e->a, s->now);
		break;
	}
}

static void run(struct sim *s)
{
	for (;;) {
		struct sim_entry *due = NULL;
		int64_t at = s->heap[0].at;

		for (unsigned int i = 0; i < ENTRIES; i++) {
			int64_t d = router_deadline(s->entry[i].r);

			if (d < at) {
				at = d;
				due = &s->entry[i];
			}
		}
		if (at > s->end)
			return;
		s->now = at > s->now ? at : s->now;
		if (due) {
			router_tick(due->r, s->now);
		} else {
			struct event e = pop(s);

			handle(s, &e);
		}
	}
}

static void setup(struct sim *s, enum router_policy policy, unsigned int n_up,
		  int64_t seconds)
{
	struct str names[ENTRIES];
	double sum = 0;

	s->rng.state = 42;
	s->n_up = n_up;
	s->warm = 2 * SEC;
	s->end = s->warm + seconds * SEC;
	for (unsigned int i = 0; i < ENTRIES; i++) {
		names[i] = str_from(entry_name[i]);
		s->entry[i].weight = 0.7 + 0.6 * prng_unit(&s->rng);
		sum += s->entry[i].weight;
	}
	for (unsigned int i = 0; i < ENTRIES; i++) {
		struct sim_entry *e = &s->entry[i];
		struct router_options o;

		e->host.ops = &ops;
		e->s = s;
		e->index = i;
		e->weight *= ENTRIES / sum;
		router_options_init(&o);
		o.host = &e->host;
		o.seed = i + 1;
		o.name = names[i];
		o.zone = str_from(zone_name[i % ZONES]);
		o.policy = policy;
		if (policy == ROUTER_POLICY_P2C)
			o.choices = 2;
		if (router_new(&o, &e->r) != 0)
			abort();
		router_entries(e->r, names, ENTRIES, 0);
		router_fresh(e->r, true, 0);
	}
	for (unsigned int i = 0; i < n_up; i++) {
		s->up[i].zone = i % ZONES;
		s->up[i].slow = s->situation == SLOW && i % 10 == 0 ? 4 : 1;
		snprintf(s->up[i].name, sizeof(s->up[i].name), "x%u", i);
		push(s, (struct event){.at = (int64_t)prng_below(&s->rng, 400 * MS),
				       .kind = E_ANNOUNCE,
				       .a = i});
	}
	for (unsigned int i = 0; i < ENTRIES; i++)
		push(s, (struct event){.at = 500 * MS, .kind = E_ARRIVE, .a = i});
	if (s->situation == ZONE_OUT) {
		push(s, (struct event){.at = s->warm + seconds * SEC / 3,
				       .kind = E_ZONE,
				       .a = 1});
		push(s, (struct event){.at = s->warm + 2 * seconds * SEC / 3,
				       .kind = E_ZONE,
				       .a = 0});
	}
}

struct result {
	double p50, p99, p999, overshot, refused, wasted, unknown, served;
};

static struct result measure(enum situation situation, bool refuses, unsigned int n_up,
			     unsigned int percent, enum router_policy policy,
			     int64_t seconds)
{
	struct sim *s = calloc(1, sizeof(*s));
	struct result x;

	if (!s)
		abort();
	s->situation = situation;
	s->refuses = refuses;
	s->rate = (double)n_up * SLOTS * 1e6 / (double)MEAN_US * percent / 100;
	setup(s, policy, n_up, seconds);
	run(s);
	x = (struct result){
		.p50 = (double)hist_quantile(&s->latency, 0.5) / 1000,
		.p99 = (double)hist_quantile(&s->latency, 0.99) / 1000,
		.p999 = (double)hist_quantile(&s->latency, 0.999) / 1000,
		.overshot = 100.0 * (double)s->overshot / (double)s->sends,
		.refused = 100.0 * (double)s->not_run / (double)s->submitted,
		.unknown = 100.0 * (double)s->unknown / (double)s->submitted,
		.wasted = s->work ? 100.0 * (double)s->wasted / (double)s->work : 0,
		.served = (double)s->done * 1e6 / (double)(s->end - s->warm),
	};
	for (unsigned int i = 0; i < ENTRIES; i++)
		router_free(s->entry[i].r);
	free(s->heap);
	free(s->req);
	free(s);
	return x;
}

static void line(const char *name, double value, const char *unit, double baseline)
{
	printf("%s %.3f %s %.3f %.3f\n", name, value, unit, baseline,
	       baseline != 0 ? value / baseline : 0);
}

static void print_result(const char *prefix, const struct result *x,
			 const struct result *base)
{
	char name[128];

#define ROW(field, unit)                                               \
	do {                                                           \
		snprintf(name, sizeof(name), "%s.%s", prefix, #field); \
		line(name, x->field, unit, base->field);               \
	} while (0)
	ROW(p50, "ms");
	ROW(p99, "ms");
	ROW(p999, "ms");
	ROW(overshot, "%");
	ROW(refused, "%");
	ROW(unknown, "%");
	ROW(wasted, "%");
	ROW(served, "1/s");
#undef ROW
	fflush(stdout);
}

/* The baseline, random, comes first in each situation. */
static const enum router_policy ways[] = {ROUTER_POLICY_RANDOM, ROUTER_POLICY_P2C,
					  ROUTER_POLICY_REPORTED, ROUTER_POLICY_SUBSET,
					  ROUTER_POLICY_DEFAULT};

static void compare(enum situation situation, bool refuses, unsigned int n_up,
		    unsigned int load, int64_t seconds, const char *filter)
{
	struct result base = {0};
	struct result x;
	char name[96];

	for (unsigned int i = 0; i < sizeof(ways) / sizeof(ways[0]); i++) {
		snprintf(name, sizeof(name), "route.%u.%s.%s.%u.%s", n_up,
			 situation_name[situation], refuses ? "refuse" : "queue", load,
			 policy_name[ways[i]]);
		if (filter && !strstr(name, filter))
			continue;
		x = measure(situation, refuses, n_up, load, ways[i], seconds);
		if (i == 0)
			base = x;
		print_result(name, &x, &base);
	}
}

static void bench_ways(int64_t seconds, const char *filter)
{
	static const unsigned int loads[] = {50, 80, 95, 120};
	static const unsigned int sizes[] = {65, 50};

	for (unsigned int k = 0; k < 2; k++)
		for (int situation = 0; situation < SITUATIONS; situation++)
			for (int refuses = 1; refuses >= 0; refuses--)
				for (unsigned int l = 0; l < 4; l++)
					compare((enum situation)situation, refuses,
						sizes[k], loads[l], seconds, filter);
}

/* Processor time and memory: a router with one pool, without a simulation. */
struct flat {
	struct router_host host;
	uint64_t sent[4096]; /* requests in flight, a ring */
	unsigned int n;
};

static void flat_send(struct router_host *h, uint64_t request, uint64_t upstream)
{
	struct flat *f = (struct flat *)(void *)h;

	f->sent[f->n++ % 4096] = request;
}

static void flat_finish(struct router_host *h, uint64_t request,
			const struct router_outcome *o)
{
}

static const struct router_ops flat_ops = {
	.send = flat_send,
	.finish = flat_finish,
	.claim = on_claim,
	.claim_done = on_claim,
	.claim_unknown = on_claim,
	.claim_abort = on_claim,
};

static double cpu_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e9 + (double)t.tv_nsec;
}

static size_t heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

static void flat_announce(struct router *r, unsigned int n, uint64_t sequence,
			  int64_t now_us)
{
	for (unsigned int i = 0; i < n; i++) {
		char name[16];
		struct router_upstream a = {.team = STR("guild"),
					    .service = STR("gigdesk"),
					    .name = {name, 0},
					    .address = STR("10.0.0.1:80"),
					    .zone = str_from(zone_name[i % ZONES]),
					    .slots = SLOTS,
					    .load = 2,
					    .incarnation = 1,
					    .sequence = sequence};

		a.name.n = (size_t)snprintf(name, sizeof(name), "x%u", i);
		if (router_upstream(r, &a, now_us) != 0)
			abort();
	}
}

/* One decision: submit, send, answer. A quarter of the slots stays in use. */
static void bench_cost(unsigned int n, double *base_ns)
{
	static struct flat f;
	struct router_options o;
	struct str names[ENTRIES];
	struct router *r;
	unsigned int open = n * 2 < 2000 ? n * 2 : 2000;
	unsigned int rounds = 200000;
	size_t mem;
	size_t mem_up;
	double start;
	double ns;
	char name[64];

	memset(&f, 0, sizeof(f));
	f.host.ops = &flat_ops;
	router_options_init(&o);
	o.host = &f.host;
	o.name = STR("e1");
	o.zone = STR("a");
	if (router_new(&o, &r) != 0)
		abort();
	for (unsigned int i = 0; i < ENTRIES; i++)
		names[i] = str_from(entry_name[i]);
	router_entries(r, names, ENTRIES, 0);
	router_fresh(r, true, 0);
	mem = heap_bytes();
	start = cpu_ns();
	flat_announce(r, n, 1, 0);
	snprintf(name, sizeof(name), "cost.announce.%u", n);
	line(name, (cpu_ns() - start) / n, "ns", 0);
	mem_up = heap_bytes() - mem;
	snprintf(name, sizeof(name), "memory.upstream.%u", n);
	line(name, (double)mem_up / n, "bytes", 0);
	mem = heap_bytes();
	for (unsigned int i = 0; i < rounds + open; i++) {
		struct router_request q = {.id = i,
					   .team = STR("guild"),
					   .service = STR("gigdesk"),
					   .deadline_us = 1000 * SEC};
		struct router_answer a = {.status = 200, .load = 3};
		int64_t now = 1000 + i;

		if (i == open) {
			snprintf(name, sizeof(name), "memory.request.%u", n);
			line(name, (double)(heap_bytes() - mem) / open, "bytes", 0);
			start = cpu_ns();
		}
		if (router_submit(r, &q, now) != 0)
			abort();
		if (i >= open)
			router_answered(r, f.sent[(f.n - open - 1) % 4096], &a, now);
	}
	ns = (cpu_ns() - start) / rounds;
	if (*base_ns == 0)
		*base_ns = ns;
	snprintf(name, sizeof(name), "cost.decision.%u", n);
	line(name, ns, "ns", *base_ns);
	if (f.n < rounds)
		printf("# cost.decision.%u: only %u sends\n", n, f.n);
	router_free(r);
}

/* Announcements between entry processes in virtual time. */
struct mesh_entry {
	struct announce_host host;
	struct mesh *m;
	unsigned int index;
	struct announce *a;
	uint64_t out;
	uint64_t in;
	uint64_t messages;
};

struct mesh {
	struct mesh_entry entry[9];
	unsigned int entries;
	int64_t now;
	uint64_t updates;
};

static int mesh_send(struct announce_host *h, uint64_t peer, struct str batch)
{
	struct mesh_entry *e = (struct mesh_entry *)(void *)h;
	struct mesh_entry *to = &e->m->entry[peer];

	e->out += batch.n;
	e->messages++;
	to->in += batch.n;
	if (announce_receive(to->a, e->index, batch, e->m->now) != 0)
		abort();
	return 0;
}

static void mesh_upstream(struct announce_host *h, const struct router_upstream *u)
{
}

static void mesh_renew(struct announce_host *h, uint64_t id, uint64_t sequence, int load,
		       int64_t age_us)
{
	((struct mesh_entry *)(void *)h)->m->updates++;
}

static const struct announce_ops mesh_ops = {mesh_send, mesh_upstream, mesh_renew};

/* Bytes of the RPC call, its credential and the TCP and IP headers of a batch. */
#define BATCH_OVERHEAD 200

static void mesh_run(struct mesh *m, struct prng *rng, int64_t *next, unsigned int n,
		     uint64_t *sequence, int64_t until)
{
	for (; m->now < until; m->now += 5 * MS) {
		for (unsigned int i = 0; i < n; i++) {
			char name[16];
			struct router_upstream a = {
				.team = STR("guild"),
				.service = STR("gigdesk"),
				.name = {name, 0},
				.address = STR("10.100.200.30:8080"),
				.zone = str_from(zone_name[i % ZONES]),
				.slots = SLOTS,
				.load = (int)prng_below(rng, SLOTS),
				.incarnation = 1};

			if (next[i] > m->now)
				continue;
			next[i] += ANNOUNCE_US;
			a.sequence = ++sequence[i];
			a.name.n = (size_t)snprintf(name, sizeof(name), "worker-%u", i);
			announce_receive_local(m->entry[prng_below(rng, m->entries)].a,
					       &a, m->now);
		}
		for (unsigned int e = 0; e < m->entries; e++)
			if (announce_deadline(m->entry[e].a) <= m->now)
				announce_tick(m->entry[e].a, m->now);
	}
}

static void bench_announce(unsigned int n, unsigned int entries, double *last_bytes,
			   unsigned int *last_n)
{
	static struct mesh m;
	struct announce_options o;
	struct prng rng = {.state = 7};
	int64_t *next = calloc(n, sizeof(*next));
	uint64_t *sequence = calloc(n, sizeof(*sequence));
	uint64_t bytes = 0;
	uint64_t messages = 0;
	double per_entry;
	double with_headers;
	double start;
	char name[64];
	const int64_t seconds = 20;

	if (!next || !sequence)
		abort();
	memset(&m, 0, sizeof(m));
	m.entries = entries;
	m.now = 10 * SEC;
	for (unsigned int i = 0; i < n; i++)
		next[i] = m.now + (int64_t)prng_below(&rng, ANNOUNCE_US);
	for (unsigned int i = 0; i < entries; i++) {
		struct mesh_entry *e = &m.entry[i];

		e->host.ops = &mesh_ops;
		e->m = &m;
		e->index = i;
		announce_options_init(&o);
		o.host = &e->host;
		if (announce_new(&o, &e->a) != 0)
			abort();
	}
	for (unsigned int i = 0; i < entries; i++)
		for (unsigned int k = 0; k < entries; k++)
			if (i != k)
				announce_peer_up(m.entry[i].a, k, m.now);
	/* Long enough for every process to have heard nearly each upstream once. */
	mesh_run(&m, &rng, next, n, sequence, 40 * SEC);
	for (unsigned int i = 0; i < entries; i++)
		m.entry[i].in = m.entry[i].out = m.entry[i].messages = 0;
	start = cpu_ns();
	mesh_run(&m, &rng, next, n, sequence, (40 + seconds) * SEC);
	start = cpu_ns() - start;
	for (unsigned int i = 0; i < entries; i++) {
		bytes += m.entry[i].in + m.entry[i].out;
		messages += 2 * m.entry[i].messages;
		announce_free(m.entry[i].a);
	}
	per_entry = (double)bytes / entries / (double)seconds;
	with_headers =
		per_entry + (double)messages * BATCH_OVERHEAD / entries / (double)seconds;
	snprintf(name, sizeof(name), "announce.bytes.%u.%u", n, entries);
	line(name, per_entry, "B/s", 20480);
	snprintf(name, sizeof(name), "announce.bytes-with-headers.%u.%u", n, entries);
	line(name, with_headers, "B/s", 20480);
	snprintf(name, sizeof(name), "announce.cpu.%u.%u", n, entries);
	line(name, start / 1e9 / entries / (double)seconds * 100, "%", 1.2);
	if (*last_n) {
		snprintf(name, sizeof(name), "announce.slope.%u-%u.%u", *last_n, n,
			 entries);
		line(name, (per_entry - *last_bytes) / (n - *last_n), "B/s/upstream", 0);
	}
	*last_bytes = per_entry;
	*last_n = n;
	free(next);
	free(sequence);
}

int main(int argc, char **argv)
{
	int64_t seconds = argc > 1 ? strtoll(argv[1], NULL, 10) : 6;
	const char *filter = argc > 2 ? argv[2] : NULL;
	double base_ns = 0;
	double bytes = 0;
	unsigned int n = 0;

	if (!filter || strstr("cost", filter)) {
		bench_cost(65, &base_ns);
		bench_cost(650, &base_ns);
		bench_cost(9800, &base_ns);
	}
	if (!filter || strstr("announce", filter)) {
		bench_announce(100, 9, &bytes, &n);
		bench_announce(1000, 9, &bytes, &n);
		bench_announce(9800, 9, &bytes, &n);
		n = 0;
		bench_announce(115, 8, &bytes, &n);
	}
	if (!filter || strstr(filter, "route") || strchr(filter, '.'))
		bench_ways(seconds, filter);
	return 0;
}
