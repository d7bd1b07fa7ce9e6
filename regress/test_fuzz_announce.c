/* Batches of announcements between entry processes. */
#include <stdio.h>
#include <stdlib.h>

#include "base/err.h"
#include "core/announce.h"
#include "regress/lib_fuzz.h"

#define N_BATCHES 40000
#define BATCHES_A_LIFE 200 /* of one receiver before it begins anew */
#define UPSTREAMS 12
#define MAX_UPSTREAMS 64U
#define PEER 2
#define STEP_US 50000

struct member {
	struct announce_host host; /* first member */
	struct announce *a;
	struct fuzz *f;
	bool collects; /* its batches are valid messages */
};

static int op_send(struct announce_host *h, uint64_t peer, struct str batch)
{
	struct member *m = (struct member *)h;

	if (m->collects)
		fuzz_add(m->f, batch);
	return 0;
}

static void op_upstream(struct announce_host *h, const struct router_upstream *u)
{
	FUZZ_CHECK(((struct member *)h)->f, u->load >= -1 && u->age_us >= 0);
}

static void op_renew(struct announce_host *h, uint64_t id, uint64_t sequence, int load,
		     int64_t age_us)
{
	FUZZ_CHECK(((struct member *)h)->f, load >= -1 && age_us >= 0);
}

static const struct announce_ops ops = {op_send, op_upstream, op_renew};

static void begin(struct member *m, int64_t now_us)
{
	struct announce_options opt;

	announce_options_init(&opt);
	opt.host = &m->host;
	opt.max_upstreams = MAX_UPSTREAMS;
	announce_free(m->a);
	FUZZ_MUST((announce_new(&opt, &m->a)) == 0);
	FUZZ_MUST((announce_peer_up(m->a, PEER, now_us)) == 0);
}

static void announce_all(struct member *m, uint64_t sequence, int64_t now_us)
{
	for (unsigned int i = 0; i < UPSTREAMS; i++) {
		char name[16];
		struct router_upstream u = {.team = STR("t"),
					    .service = STR("web"),
					    .address = STR("127.0.0.1:80"),
					    .zone = STR("a"),
					    .slots = 4,
					    .load = (int)i - 1,
					    .leaving = i == 3 && sequence > 4,
					    .incarnation = 7,
					    .sequence = sequence};

		snprintf(name, sizeof(name), "u%u", i);
		u.name = str_from(name);
		FUZZ_MUST((announce_receive_local(m->a, &u, now_us)) == 0);
	}
}

static void add_batches(struct fuzz *f)
{
	struct member m = {.host = {.ops = &ops}, .f = f, .collects = true};
	int64_t now_us = STEP_US;

	begin(&m, now_us);
	for (uint64_t round = 1; round <= 20; round++) {
		if (round % 4 == 1)
			announce_all(&m, round, now_us);
		announce_tick(m.a, now_us);
		now_us += STEP_US * 2;
	}
	announce_free(m.a);
	ck_assert_uint_gt(f->n_seeds, 0);
}

/* Guards against a batch that ends an entry process or its announcements. */
START_TEST(batches)
{
	struct member m = {.host = {.ops = &ops}};
	int64_t now_us = STEP_US;
	struct announce_stats stats;
	struct str input;
	struct fuzz f;

	fuzz_open(&f, "announcements", N_BATCHES);
	add_batches(&f);
	m.f = &f;
	while (fuzz_next(&f, &input)) {
		int err;

		if (f.inputs % BATCHES_A_LIFE == 1)
			begin(&m, now_us);
		err = announce_receive(m.a, PEER, input, now_us);
		FUZZ_CHECK(&f, err == 0 || err == CF_EMALFORMED);
		f.accepted += !err;
		now_us += STEP_US;
		announce_tick(m.a, now_us);
		announce_stats(m.a, &stats);
		FUZZ_CHECK(&f, stats.upstreams <= MAX_UPSTREAMS);
	}
	announce_free(m.a);
	fuzz_close(&f);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {batches};

	return fuzz_main("fuzz_announce", tests, sizeof(tests) / sizeof(tests[0]));
}
