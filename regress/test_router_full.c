/* The router, whose upstreams hold all their slots for a moment. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/router.h"

#define MS 1000LL
#define SEC 1000000LL

/* Four upstreams whose slots others hold for a while. */
#define FULL_UPSTREAMS 4
#define FULL_SERVICE (250 * MS)
#define FULL_ROUND_TRIP MS

struct full {
	struct router_host host;
	int64_t answer_at; /* of the send in flight, 0: none */
	unsigned int sends;
	unsigned int finished;
	struct router_outcome out;
	int64_t now;
};

static void full_send(struct router_host *h, uint64_t request, uint64_t upstream)
{
	struct full *f = (struct full *)(void *)h;

	ck_assert_int_eq(f->answer_at, 0);
	f->answer_at = f->now + FULL_ROUND_TRIP;
	f->sends++;
}

static void full_finish(struct router_host *h, uint64_t request,
			const struct router_outcome *o)
{
	struct full *f = (struct full *)(void *)h;

	f->out = *o;
	f->finished++;
}

static void no_claim(struct router_host *h, uint64_t request)
{
}

static const struct router_ops full_ops = {full_send, full_finish, no_claim,
					   no_claim,  no_claim,	   no_claim};

/* Several sends may be in flight. */
static void many_send(struct router_host *h, uint64_t request, uint64_t upstream)
{
	((struct full *)(void *)h)->sends++;
}

static const struct router_ops many_ops = {many_send, full_finish, no_claim,
					   no_claim,  no_claim,	   no_claim};

static void full_announce(struct router *r, unsigned int i, int load, int64_t now)
{
	char name = (char)('a' + i);
	struct router_upstream u = {.team = STR("guild"),
				    .service = STR("desk"),
				    .name = {&name, 1},
				    .address = STR("127.0.0.1:80"),
				    .zone = STR("a"),
				    .slots = 8,
				    .load = load,
				    .incarnation = 1,
				    .sequence = 1};

	ck_assert_int_eq(router_upstream(r, &u, now), 0);
}

static void full_submit(struct full *f, struct router *r, uint64_t id)
{
	struct router_request q = {.id = id,
				   .team = STR("guild"),
				   .service = STR("desk"),
				   .deadline_us = f->now + 8 * SEC};

	ck_assert_int_eq(router_submit(r, &q, f->now), 0);
}

/* Plays one request; sends are refused before the time `until`. */
static void full_play(struct full *f, struct router *r, uint64_t id, int64_t until)
{
	f->sends = 0;
	f->finished = 0;
	full_submit(f, r, id);
	while (!f->finished) {
		int64_t next = router_deadline(r);
		struct router_answer a = {.status = 200, .load = -1};

		if (!f->answer_at || next < f->answer_at) {
			f->now = next;
			router_tick(r, f->now);
			continue;
		}
		f->now = f->answer_at;
		f->answer_at = 0;
		a.not_run = f->now < until;
		if (!a.not_run)
			f->now += FULL_SERVICE;
		router_answered(r, id, &a, f->now);
	}
	ck_assert_uint_eq(f->finished, 1);
}

/*
 * Guards against a request that is refused, long before its deadline, because it came
 * while others held every slot for a moment. It must not ask without end either.
 */
START_TEST(request_outlasts_a_full_pool)
{
	static const int64_t full_for[] = {0, 70 * MS, 500 * MS, 3 * SEC};
	struct router_options o;
	struct router *r;

	for (unsigned int k = 0; k < sizeof(full_for) / sizeof(full_for[0]); k++) {
		static struct full f;

		memset(&f, 0, sizeof(f));
		f.host.ops = &full_ops;
		router_options_init(&o);
		o.host = &f.host;
		o.zone = STR("a");
		/* Announcements are not what is tested. */
		o.expiry_us = 100 * SEC;
		ck_assert_int_eq(router_new(&o, &r), 0);
		f.now = SEC;
		router_fresh(r, true, f.now);
		for (unsigned int i = 0; i < FULL_UPSTREAMS; i++)
			full_announce(r, i, -1, f.now);
		/* From the first one the router learns how long requests take. */
		full_play(&f, r, 1, 0);
		full_play(&f, r, 2, f.now + full_for[k]);
		ck_assert_msg(f.out.run == ROUTER_DONE,
			      "full for %lld ms: %s after %u sends",
			      (long long)(full_for[k] / MS),
			      router_reason_str(f.out.reason), f.sends);
		ck_assert_uint_le(f.sends, o.max_refusals + 1);
		router_free(r);
	}
}
END_TEST

/* Guards against a refused request that keeps others from upstreams with free slots. */
START_TEST(refused_request_holds_up_no_others)
{
	static struct full f;
	struct router_answer refused = {.not_run = true, .status = 503, .load = -1};
	struct router_answer done = {.status = 200, .load = -1};
	struct router_options o;
	struct router_stats st;
	struct router *r;

	memset(&f, 0, sizeof(f));
	f.host.ops = &many_ops;
	router_options_init(&o);
	o.host = &f.host;
	o.zone = STR("a");
	ck_assert_int_eq(router_new(&o, &r), 0);
	f.now = SEC;
	router_fresh(r, true, f.now);
	for (unsigned int i = 0; i < FULL_UPSTREAMS; i++)
		full_announce(r, i, i == 0 ? 8 : 0, f.now);
	/* The reported load counts once a service time is known. */
	full_submit(&f, r, 0);
	f.now += FULL_SERVICE;
	router_answered(r, 0, &done, f.now);
	ck_assert_uint_eq(f.finished, 1);
	f.finished = 0;
	f.sends = 0;
	/* One is in service, so that the router does not send just to learn more. */
	full_submit(&f, r, 1);
	full_submit(&f, r, 2);
	ck_assert_uint_eq(f.sends, 2);
	/* The upstreams that are not full refuse the second one for the moment. */
	for (unsigned int i = 1; i < FULL_UPSTREAMS; i++)
		router_answered(r, 2, &refused, f.now);
	ck_assert_uint_eq(f.sends, FULL_UPSTREAMS);
	f.now += 100 * MS;
	router_tick(r, f.now);
	for (uint64_t id = 3; id < 13; id++) {
		f.now += MS;
		full_submit(&f, r, id);
	}
	router_stats(r, &st);
	ck_assert_uint_eq(f.finished, 0);
	ck_assert_uint_eq(st.queued, 1);
	ck_assert_uint_eq(f.sends, FULL_UPSTREAMS + 10);
	router_free(r);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("router_full");
	TCase *tc = tcase_create("router_full");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, request_outlasts_a_full_pool);
	tcase_add_test(tc, refused_request_holds_up_no_others);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
