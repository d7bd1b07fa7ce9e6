#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/prng.h"
#include "core/announce.h"

/*
 * Entry processes with connections that keep order and sometimes break, against the
 * plain truth: a list of upstreams with their newest announcement.
 * test_announce SEED COUNT runs COUNT histories from SEED on.
 */
#define ENTRIES 4
#define NAMES 40
#define MS 1000LL
#define SEC 1000000LL
#define EXPIRY (2 * SEC)
#define PERIOD (500 * MS)
#define TRANSIT (3 * MS)
#define CHANGE_BOUND (100 * MS)
#define MESSAGES 4096

/* As ck_assert_msg(), which would write to a pipe each time that it holds. */
#define must(expr, ...)                            \
	do {                                       \
		if (!(expr))                       \
			ck_abort_msg(__VA_ARGS__); \
	} while (0)

struct truth {
	struct router_upstream u;
	char text[8];
	bool alive;
	int64_t announced; /* time of the newest announcement */
	int64_t next;
	int64_t changed; /* time at which the newest content was announced */
};

/* What one entry process believes of one name, as its router would. */
struct view {
	uint64_t id;
	uint64_t incarnation;
	uint64_t sequence;
	bool leaving;
	int64_t expires;
};

struct entry {
	struct announce_host host;
	struct sim *s;
	struct announce *a;
	unsigned int index;
	struct view view[NAMES];
};

struct message {
	unsigned int from, to;
	int64_t at;
	struct buf bytes;
};

struct sim {
	struct prng rng;
	int64_t now;
	struct entry entry[ENTRIES];
	struct truth up[NAMES];
	struct message queue[MESSAGES];
	unsigned int n;
	int64_t broken;	   /* time of the last break or restart */
	unsigned int busy; /* sends that fail for want of room */
	bool faults;
	bool dense; /* a quarter of the sends fails */
	uint64_t changes_seen;
};

static uint64_t seed_from = 1;
static uint64_t seed_count = 40;

static const char *const zones[] = {"a", "b"};

static struct entry *entry_of(struct announce_host *h)
{
	return (struct entry *)(void *)h;
}

static int on_send(struct announce_host *h, uint64_t peer, struct str batch)
{
	struct entry *e = entry_of(h);
	struct sim *s = e->s;
	struct message *m = &s->queue[s->n];

	if (s->faults && prng_below(&s->rng, s->dense ? 4 : 300) == 0) {
		s->busy++;
		s->broken = s->now;
		return CF_EBUSY;
	}
	must(s->n < MESSAGES, "queue of messages full");
	s->n++;
	*m = (struct message){
		.from = e->index, .to = (unsigned int)peer, .at = s->now + TRANSIT};
	must(buf_set(&m->bytes, batch) == 0, "out of memory");
	return 0;
}

static unsigned int name_of(struct str name)
{
	return (unsigned int)(name.p[0] - '0') * 10 + (unsigned int)(name.p[1] - '0');
}

/* Guards against a lifetime longer than the announcement gives. */
static void prolong(struct sim *s, struct view *v, const struct truth *t, int64_t age)
{
	must(s->now - age <= t->announced + TRANSIT + MS,
	     "an announcement made younger than it is");
	if (s->now - age + EXPIRY > v->expires)
		v->expires = s->now - age + EXPIRY;
}

static void on_upstream(struct announce_host *h, const struct router_upstream *u)
{
	struct entry *e = entry_of(h);
	unsigned int i = name_of(u->name);
	struct view *v = &e->view[i];

	must(u->incarnation > v->incarnation ||
		     (u->incarnation == v->incarnation && u->sequence > v->sequence),
	     "an older announcement overrides a newer one");
	if (u->incarnation > v->incarnation)
		v->expires = 0;
	v->id = router_upstream_id(u);
	v->incarnation = u->incarnation;
	v->sequence = u->sequence;
	v->leaving = u->leaving;
	if (u->incarnation == e->s->up[i].u.incarnation)
		prolong(e->s, v, &e->s->up[i], u->age_us);
	e->s->changes_seen++;
}

static void on_renew(struct announce_host *h, uint64_t id, uint64_t sequence, int load,
		     int64_t age_us)
{
	struct entry *e = entry_of(h);

	for (unsigned int i = 0; i < NAMES; i++) {
		struct view *v = &e->view[i];

		if (v->id != id)
			continue;
		if (sequence)
			v->sequence = sequence;
		if (v->incarnation == e->s->up[i].u.incarnation)
			prolong(e->s, v, &e->s->up[i], age_us);
		return;
	}
	ck_abort_msg("renewal of an upstream that was never told");
}

static const struct announce_ops ops = {
	.send = on_send,
	.upstream = on_upstream,
	.renew = on_renew,
};

static void entry_start(struct sim *s, unsigned int i, bool detailed)
{
	struct entry *e = &s->entry[i];
	struct announce_options o;

	announce_free(e->a);
	memset(e, 0, sizeof(*e));
	e->host.ops = &ops;
	e->s = s;
	e->index = i;
	announce_options_init(&o);
	o.host = &e->host;
	o.max_upstreams = 200;
	o.detailed = detailed ? 500 : 0;
	ck_assert_int_eq(announce_new(&o, &e->a), 0);
}

static void drop_messages(struct sim *s, unsigned int x, unsigned int y)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < s->n; i++) {
		struct message *m = &s->queue[i];

		if ((m->from == x && m->to == y) || (m->from == y && m->to == x))
			buf_free(&m->bytes);
		else
			s->queue[n++] = *m;
	}
	s->n = n;
}

/* A connection breaks, with what is in it, and is made again. */
static void reconnect(struct sim *s, unsigned int x, unsigned int y)
{
	drop_messages(s, x, y);
	ck_assert_int_eq(announce_peer_up(s->entry[x].a, y, s->now), 0);
	ck_assert_int_eq(announce_peer_up(s->entry[y].a, x, s->now), 0);
	s->broken = s->now;
}

static void announce_now(struct sim *s, struct truth *t)
{
	unsigned int to = (unsigned int)prng_below(&s->rng, ENTRIES);

	t->u.sequence++;
	t->u.load = (int)prng_below(&s->rng, 8);
	t->announced = s->now;
	t->next = s->now + PERIOD;
	must(announce_receive_local(s->entry[to].a, &t->u, s->now) == 0,
	     "announcement refused");
	if (prng_below(&s->rng, 20) == 0) {
		struct router_upstream old = t->u;

		/* A late one that was on its way for long. */
		old.sequence--;
		old.leaving = !old.leaving;
		ck_assert_int_eq(announce_receive_local(s->entry[to].a, &old, s->now),
				 CF_ESTALE);
	}
}

static void change(struct sim *s, unsigned int i)
{
	struct truth *t = &s->up[i];

	switch (prng_below(&s->rng, 4)) {
	case 0:
		t->alive = false;
		return;
	case 1:
		t->u.leaving = !t->u.leaving;
		break;
	default:
		t->text[0] = (char)('0' + i / 10);
		t->text[1] = (char)('0' + i % 10);
		t->u.team = STR("guild");
		t->u.service = STR("gigdesk");
		t->u.name = (struct str){t->text, 2};
		t->u.address = STR("10.0.0.1:80");
		t->u.zone = str_from(zones[prng_below(&s->rng, 2)]);
		t->u.slots = 1 + (unsigned int)prng_below(&s->rng, 8);
		t->u.leaving = false;
		t->u.incarnation++;
		t->u.sequence = 0;
		t->alive = true;
		break;
	}
	if (t->alive) {
		t->changed = s->now;
		announce_now(s, t);
	}
}

/* Compares every view with the truth. */
static void compare(const struct sim *s, bool settled)
{
	for (unsigned int e = 0; e < ENTRIES; e++) {
		for (unsigned int i = 0; i < NAMES; i++) {
			const struct view *v = &s->entry[e].view[i];
			const struct truth *t = &s->up[i];
			bool present = s->now < v->expires;

			if (present)
				must(s->now <= t->announced + EXPIRY + TRANSIT + MS ||
					     v->incarnation != t->u.incarnation,
				     "kept after its expiry");
			if (!t->alive || s->now - t->changed < CHANGE_BOUND)
				continue;
			if (!settled && s->now - s->broken < 3 * SEC)
				continue;
			must(present, "entry %u lost upstream %u", e, i);
			must(v->incarnation == t->u.incarnation &&
				     v->leaving == t->u.leaving,
			     "entry %u has old content of %u", e, i);
		}
	}
}

static void deliver(struct sim *s)
{
	while (s->n && s->queue[0].at <= s->now) {
		struct message m = s->queue[0];

		memmove(&s->queue[0], &s->queue[1], --s->n * sizeof(m));
		must(announce_receive(s->entry[m.to].a, m.from, buf_str(&m.bytes),
				      s->now) == 0,
		     "batch refused");
		buf_free(&m.bytes);
	}
}

static void step(struct sim *s, bool events, bool detailed)
{
	s->now += MS;
	deliver(s);
	for (unsigned int i = 0; i < NAMES; i++)
		if (s->up[i].alive && s->now >= s->up[i].next)
			announce_now(s, &s->up[i]);
	for (unsigned int e = 0; e < ENTRIES; e++)
		if (announce_deadline(s->entry[e].a) <= s->now)
			announce_tick(s->entry[e].a, s->now);
	if (!events)
		return;
	if (prng_below(&s->rng, 40) == 0)
		change(s, (unsigned int)prng_below(&s->rng, NAMES));
	if (s->faults && prng_below(&s->rng, 3000) == 0) {
		unsigned int x = (unsigned int)prng_below(&s->rng, ENTRIES);

		reconnect(s, x, (x + 1) % ENTRIES);
	}
	if (s->faults && prng_below(&s->rng, 6000) == 0) {
		unsigned int x = (unsigned int)prng_below(&s->rng, ENTRIES);

		entry_start(s, x, detailed);
		for (unsigned int y = 0; y < ENTRIES; y++)
			if (y != x)
				reconnect(s, x, y);
	}
}

static void run_history(uint64_t seed)
{
	static struct sim s;
	bool detailed = seed % 2;

	memset(&s, 0, sizeof(s));
	s.rng.state = seed;
	s.now = SEC;
	s.faults = seed % 4 < 2;
	for (unsigned int i = 0; i < ENTRIES; i++)
		entry_start(&s, i, detailed);
	for (unsigned int i = 0; i < ENTRIES; i++)
		for (unsigned int k = i + 1; k < ENTRIES; k++)
			reconnect(&s, i, k);
	s.broken = s.faults ? s.now : -10 * SEC;
	for (unsigned int i = 0; i < 20000; i++) {
		s.dense = i > 19000;
		step(&s, true, detailed);
		if (i % 5 == 0)
			compare(&s, false);
	}
	s.dense = false;
	for (unsigned int i = 0; i < 4000; i++)
		step(&s, false, detailed);
	compare(&s, true);
	ck_assert_uint_gt(s.changes_seen, 0);
	for (unsigned int i = 0; i < s.n; i++)
		buf_free(&s.queue[i].bytes);
	for (unsigned int i = 0; i < ENTRIES; i++)
		announce_free(s.entry[i].a);
}

/* Guards against views that differ from the truth for longer than they may. */
START_TEST(views_follow_the_truth)
{
	for (uint64_t i = 0; i < seed_count; i++)
		run_history(seed_from + i);
}
END_TEST

static int keep_send(struct announce_host *h, uint64_t peer, struct str batch)
{
	return 0;
}

static void ignore_upstream(struct announce_host *h, const struct router_upstream *u)
{
}

static void ignore_renew(struct announce_host *h, uint64_t id, uint64_t sequence,
			 int load, int64_t age_us)
{
}

#define LONE_BATCHES 8

/* An entry process that keeps the batches it sends and counts renewals. */
struct lone {
	struct announce_host host; /* first member */
	struct announce *a;
	struct buf sent[LONE_BATCHES];
	size_t n;
	unsigned int renewed;
};

static int lone_send(struct announce_host *h, uint64_t peer, struct str batch)
{
	struct lone *l = (struct lone *)(void *)h;

	ck_assert_uint_lt(l->n, LONE_BATCHES);
	return buf_set(&l->sent[l->n++], batch);
}

static void lone_renew(struct announce_host *h, uint64_t id, uint64_t sequence, int load,
		       int64_t age_us)
{
	((struct lone *)(void *)h)->renewed++;
}

static const struct announce_ops lone_ops = {lone_send, ignore_upstream, lone_renew};

static void lone_start(struct lone *l, uint64_t first_session)
{
	struct announce_options o;

	*l = (struct lone){.host = {&lone_ops}};
	announce_options_init(&o);
	o.host = &l->host;
	o.first_session = first_session;
	o.max_upstreams = 10;
	ck_assert_int_eq(announce_new(&o, &l->a), 0);
}

static void lone_stop(struct lone *l)
{
	announce_free(l->a);
	for (size_t i = 0; i < LONE_BATCHES; i++)
		buf_free(&l->sent[i]);
}

static void lone_hear(struct lone *l, const char *name, uint64_t sequence,
		      unsigned int slots, int64_t now)
{
	struct router_upstream u = {
		.team = STR("t"),
		.service = STR("s"),
		.name = str_from(name),
		.address = STR("10.0.0.1:80"),
		.zone = STR("a"),
		.slots = slots,
		.incarnation = 1,
		.sequence = sequence,
	};

	ck_assert_int_eq(announce_receive_local(l->a, &u, now), 0);
}

/* Delivers what was sent, in its order, as peer 1. */
static void lone_pass(struct lone *from, struct lone *to, int64_t now)
{
	ck_assert_uint_gt(from->n, 0);
	for (size_t i = 0; i < from->n; i++)
		ck_assert_int_eq(announce_receive(to->a, 1, buf_str(&from->sent[i]), now),
				 0);
	from->n = 0;
}

/* Guards against renewals whose numbers are those of a peer's earlier life. */
START_TEST(numbers_of_an_earlier_life_renew_nothing)
{
	struct lone first, second, listener;
	struct announce_stats st;
	int64_t now = SEC;

	lone_start(&listener, 1000);
	ck_assert_int_eq(announce_peer_up(listener.a, 1, now), 0);
	lone_start(&first, 2000);
	ck_assert_int_eq(announce_peer_up(first.a, 2, now), 0);
	lone_hear(&first, "lost", 1, 1, now);
	lone_pass(&first, &listener, now);

	/* The listener has not noticed yet that its connection ended. */
	lone_start(&second, 3000);
	lone_hear(&second, "other", 1, 1, now);
	announce_tick(second.a, now);
	now += SEC;
	lone_hear(&second, "other", 2, 1, now);
	ck_assert_int_eq(announce_peer_up(second.a, 2, now), 0);
	announce_tick(second.a, now);
	lone_pass(&second, &listener, now);
	announce_stats(listener.a, &st);
	ck_assert_uint_eq(st.renewals_received, 1);
	ck_assert_uint_eq(listener.renewed, 0);

	/* A batch of the earlier life arrives on the connection after that. */
	announce_peer_down(listener.a, 1, now);
	ck_assert_int_eq(announce_peer_up(listener.a, 1, now), 0);
	lone_hear(&first, "lost", 2, 2, now);
	lone_pass(&first, &listener, now);
	now += SEC;
	lone_hear(&second, "other", 3, 1, now);
	announce_tick(second.a, now);
	lone_pass(&second, &listener, now);
	announce_stats(listener.a, &st);
	ck_assert_uint_eq(st.renewals_received, 2);
	ck_assert_uint_eq(listener.renewed, 0);
	lone_stop(&first);
	lone_stop(&second);
	lone_stop(&listener);
}
END_TEST

/* Guards against reading beyond a batch, and against a table above its bound. */
START_TEST(hostile_batches)
{
	static const struct announce_ops quiet = {keep_send, ignore_upstream,
						  ignore_renew};
	struct announce_host host = {&quiet};
	struct announce_options o;
	struct announce_stats st;
	struct announce *a;
	struct prng r = {.state = seed_from};
	char bytes[200];

	announce_options_init(&o);
	o.host = &host;
	o.max_upstreams = 10;
	ck_assert_int_eq(announce_new(&o, &a), 0);
	ck_assert_int_eq(announce_receive(a, 1, STR("x"), 0), CF_ENOENT);
	ck_assert_int_eq(announce_peer_up(a, 1, 0), 0);
	for (unsigned int i = 0; i < 200000; i++) {
		static const char tags[] = "FMRWX";
		size_t n = 3 + prng_below(&r, sizeof(bytes) - 3);

		for (size_t k = 0; k < n; k++)
			bytes[k] = (char)prng_below(&r, prng_below(&r, 2) ? 12 : 256);
		bytes[0] = 1;
		bytes[1] = 1;
		bytes[2] = tags[prng_below(&r, 5)];
		announce_receive(a, 1, (struct str){bytes, n}, i * MS);
		announce_tick(a, i * MS);
		announce_stats(a, &st);
		ck_assert_uint_le(st.upstreams, 10);
	}
	ck_assert_uint_gt(st.malformed, 0);
	announce_free(a);
}
END_TEST

int main(int argc, char **argv)
{
	Suite *suite = suite_create("announce");
	TCase *tc = tcase_create("announce");
	SRunner *sr;
	int failed;

	if (argc > 1)
		seed_from = strtoull(argv[1], NULL, 10);
	if (argc > 2)
		seed_count = strtoull(argv[2], NULL, 10);
	tcase_set_timeout(tc, 0);
	tcase_add_test(tc, views_follow_the_truth);
	tcase_add_test(tc, numbers_of_an_earlier_life_renew_nothing);
	tcase_add_test(tc, hostile_batches);
	suite_add_tcase(suite, tc);
	sr = srunner_create(suite);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
