/* Requests that may have ended upstreams, and closed connections that have ended none. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/err.h"
#include "core/router.h"

#define MS 1000LL
#define SEC 1000000LL
#define MAX_LOSSES 2 /* upstreams that one request may end */

static void no_claim(struct router_host *h, uint64_t request)
{
}

/* Upstreams that end and restart, with a new incarnation, under a deadly request. */
#define DEADLY_UPSTREAMS 10
#define DEADLY_REQUESTS 2000U
#define FEW_DEADLY 50U /* one request of this many */
#define SERVE_STEPS 8  /* longest service time of the others */
#define DOWN (5 * MS)  /* of an upstream that does not restart at once */

struct deadly {
	struct router_host host;
	struct router *r;
	unsigned int every; /* one request of this many is deadly */
	int64_t down;	    /* until the restart */
	bool refuses;	    /* meanwhile nobody listens; else nobody answers */
	bool leaving[DEADLY_UPSTREAMS];
	int64_t now;
	int64_t up_at[DEADLY_UPSTREAMS]; /* 0: it is up */
	char address[DEADLY_UPSTREAMS][2];
	uint64_t id[DEADLY_UPSTREAMS];
	uint64_t incarnation[DEADLY_UPSTREAMS];
	uint64_t sequence;
	uint64_t at[DEADLY_REQUESTS]; /* upstream of the open send, 0: none */
	struct router_outcome out[DEADLY_REQUESTS];
	unsigned int lost[DEADLY_REQUESTS]; /* upstreams that it ended */
	unsigned int finished[DEADLY_REQUESTS];
};

static bool is_deadly(const struct deadly *d, uint64_t request)
{
	return request % d->every == 0;
}

static void deadly_send(struct router_host *h, uint64_t request, uint64_t upstream)
{
	struct deadly *d = (struct deadly *)(void *)h;

	d->at[request] = upstream;
}

static void deadly_finish(struct router_host *h, uint64_t request,
			  const struct router_outcome *o)
{
	struct deadly *d = (struct deadly *)(void *)h;

	d->out[request] = *o;
	d->finished[request]++;
}

static const struct router_ops deadly_ops = {deadly_send, deadly_finish, no_claim,
					     no_claim,	  no_claim,	 no_claim};

static void deadly_announce(struct deadly *d, unsigned int i)
{
	struct router_upstream u = {.team = STR("guild"),
				    .service = STR("desk"),
				    .name = {d->address[i], 1},
				    .address = {d->address[i], 1},
				    .zone = STR("a"),
				    .slots = 8,
				    .leaving = d->leaving[i],
				    .incarnation = d->incarnation[i],
				    .sequence = ++d->sequence};

	d->address[i][0] = (char)('a' + i);
	ck_assert_int_eq(router_upstream(d->r, &u, d->now), 0);
	d->id[i] = router_upstream_id(&u);
}

static unsigned int deadly_index(const struct deadly *d, uint64_t upstream)
{
	unsigned int i = 0;

	while (i < DEADLY_UPSTREAMS && d->id[i] != upstream)
		i++;
	return i;
}

/* Ends each send to an upstream in the same way. */
static void deadly_fail(struct deadly *d, uint64_t upstream,
			const struct router_failure *f)
{
	for (uint64_t k = 0; k < DEADLY_REQUESTS; k++) {
		if (d->at[k] != upstream)
			continue;
		d->at[k] = 0;
		router_failed(d->r, k, f, d->now);
	}
}

/* Ends the process of an upstream under a deadly request, with all that it has. */
static void deadly_crash(struct deadly *d, uint64_t request)
{
	const struct router_failure closed = {.err = CF_ECONN, .maybe_run = true};
	uint64_t upstream = d->at[request];
	unsigned int i = deadly_index(d, upstream);

	d->lost[request]++;
	deadly_fail(d, upstream, &closed);
	if (d->down) {
		d->up_at[i] = d->now + d->down;
	} else {
		d->incarnation[i]++;
		deadly_announce(d, i);
	}
}

/* Announces the upstreams that are up, and restarts those whose time has come. */
static void deadly_announce_all(struct deadly *d)
{
	const struct router_failure unsent = {.err = CF_ECONN};
	const struct router_failure refused = {.err = CF_ECONN, .refused = true};

	for (unsigned int i = 0; i < DEADLY_UPSTREAMS; i++) {
		bool restarts = d->up_at[i] && d->now >= d->up_at[i];

		if (d->up_at[i] && d->refuses)
			deadly_fail(d, d->id[i], &refused);
		if (d->up_at[i] && !restarts)
			continue;
		if (restarts) {
			deadly_fail(d, d->id[i], &unsent);
			d->up_at[i] = 0;
			d->incarnation[i]++;
		}
		deadly_announce(d, i);
	}
}

static bool deadly_is_up(const struct deadly *d, uint64_t upstream)
{
	unsigned int i = deadly_index(d, upstream);

	return i < DEADLY_UPSTREAMS && !d->up_at[i];
}

/* Lets some sends end: deadly ones crash, the others are answered. */
static void deadly_step(struct deadly *d, uint64_t step)
{
	struct router_answer ok = {.status = 200, .load = -1};

	for (uint64_t k = 0; k < DEADLY_REQUESTS; k++) {
		if (!d->at[k] || (k + step) % (is_deadly(d, k) ? 2 : SERVE_STEPS) ||
		    !deadly_is_up(d, d->at[k]))
			continue;
		if (is_deadly(d, k)) {
			deadly_crash(d, k);
			continue;
		}
		d->at[k] = 0;
		router_answered(d->r, k, &ok, d->now);
	}
}

/* An upstream may be ejected while nobody listens at its address. */
static void none_ejected(const struct deadly *d)
{
	struct router_upstream_info info;

	for (unsigned int i = 0; i < DEADLY_UPSTREAMS; i++) {
		ck_assert_int_eq(router_upstream_info(d->r, d->id[i], &info, d->now), 0);
		ck_assert(d->up_at[i] || !info.ejected);
	}
}

static void run_deadly(unsigned int every, int64_t down, bool refuses)
{
	static struct deadly d;
	struct router_options o;
	struct router_stats st;
	unsigned int innocents_failed = 0;
	unsigned int worst = 0;
	uint64_t next = 0;

	memset(&d, 0, sizeof(d));
	d.host.ops = &deadly_ops;
	d.every = every;
	d.down = down;
	d.refuses = refuses;
	router_options_init(&o);
	o.host = &d.host;
	o.name = STR("e1");
	o.zone = STR("a");
	o.retry_percent = 100;
	ck_assert_int_eq(router_new(&o, &d.r), 0);
	d.now = SEC;
	router_fresh(d.r, true, d.now);
	for (unsigned int i = 0; i < DEADLY_UPSTREAMS; i++) {
		d.incarnation[i] = 1;
		deadly_announce(&d, i);
	}
	for (uint64_t step = 0; step < DEADLY_REQUESTS; step++) {
		d.now += MS;
		deadly_announce_all(&d);
		router_tick(d.r, d.now);
		for (unsigned int i = 0; i < 2 && next < DEADLY_REQUESTS; i++, next++) {
			struct router_request q = {.id = next,
						   .team = STR("guild"),
						   .service = STR("desk"),
						   .idempotent = true,
						   .deadline_us = d.now + 60 * SEC};

			ck_assert_int_eq(router_submit(d.r, &q, d.now), 0);
		}
		deadly_step(&d, step);
		if (every == FEW_DEADLY)
			none_ejected(&d);
	}
	for (uint64_t k = 0; k < DEADLY_REQUESTS; k++) {
		ck_assert_uint_eq(d.finished[k], 1);
		if (d.lost[k] > worst)
			worst = d.lost[k];
		if (d.lost[k])
			ck_assert_int_eq(d.out[k].run, ROUTER_UNKNOWN);
		else if (is_deadly(&d, k))
			ck_assert_int_ne(d.out[k].run, ROUTER_DONE);
		else
			innocents_failed += d.out[k].run != ROUTER_DONE;
	}
	router_stats(d.r, &st);
	if (getenv("ROUTER_TEST_STATS"))
		fprintf(stderr,
			"one of %u, down for %lld us, refuses %d: at most %u lost, "
			"%llu ejections, %u others failed\n",
			every, (long long)down, refuses, worst,
			(unsigned long long)st.ejected, innocents_failed);
	ck_assert_uint_le(worst, MAX_LOSSES);
	/* So few of them neither stop an upstream nor fail others. */
	if (every == FEW_DEADLY) {
		ck_assert(refuses || st.ejected == 0);
		ck_assert_uint_eq(innocents_failed, 0);
	}
	router_free(d.r);
}

/* Guards against one request that crashes more than two upstreams by its retries. */
START_TEST(deadly_request_takes_two_upstreams)
{
	for (unsigned int every = 5; every <= FEW_DEADLY; every += FEW_DEADLY - 5) {
		run_deadly(every, 0, false);
		run_deadly(every, DOWN, false);
		run_deadly(every, DOWN, true);
	}
}
END_TEST

/* Guards against resends of one request that crash upstream after upstream. */
START_TEST(resends_of_a_deadly_request_are_refused)
{
	static struct deadly d;
	struct router_options o;
	unsigned int lost = 0;

	memset(&d, 0, sizeof(d));
	d.host.ops = &deadly_ops;
	router_options_init(&o);
	o.host = &d.host;
	o.zone = STR("a");
	ck_assert_int_eq(router_new(&o, &d.r), 0);
	d.now = SEC;
	router_fresh(d.r, true, d.now);
	for (uint64_t k = 0; k < 8; k++) {
		struct router_request q = {.id = k,
					   .team = STR("guild"),
					   .service = STR("desk"),
					   .idempotent = true,
					   .deadline_us = d.now + 2 * SEC,
					   .identity = k < 7 ? 5 : 6};

		for (unsigned int i = 0; i < DEADLY_UPSTREAMS; i++) {
			d.incarnation[i]++;
			deadly_announce(&d, i);
		}
		ck_assert_int_eq(router_submit(d.r, &q, d.now), 0);
		/* The last one is another request. */
		ck_assert(k < 7 || d.at[k]);
		while (k < 7 && d.at[k])
			deadly_crash(&d, k);
		d.now += 200 * MS;
		router_tick(d.r, d.now);
		lost += d.lost[k];
		ck_assert_uint_eq(d.finished[k], k < 7);
		if (k < 7) {
			ck_assert_int_eq(d.out[k].run, ROUTER_UNKNOWN);
			ck_assert_int_eq(d.out[k].reason, ROUTER_R_LOST);
		}
		d.now += 2 * SEC;
	}
	ck_assert_uint_eq(lost, MAX_LOSSES);
	router_free(d.r);
}
END_TEST

#define RESETS 8U
#define STEP (100 * MS)

static void resets_start(struct deadly *d)
{
	struct router_options o;

	memset(d, 0, sizeof(*d));
	d->host.ops = &deadly_ops;
	router_options_init(&o);
	o.host = &d->host;
	o.zone = STR("a");
	o.retry_percent = 200;
	ck_assert_int_eq(router_new(&o, &d->r), 0);
	d->now = SEC;
	router_fresh(d->r, true, d->now);
	for (unsigned int i = 0; i < DEADLY_UPSTREAMS; i++) {
		d->incarnation[i] = 1;
		deadly_announce(d, i);
	}
}

/* Lets time pass; upstreams announce themselves but for those that are silent. */
static void resets_pass(struct deadly *d, int64_t time)
{
	for (int64_t end = d->now + time; d->now < end;) {
		d->now += STEP;
		for (unsigned int i = 0; i < DEADLY_UPSTREAMS; i++)
			if (d->now >= d->up_at[i])
				deadly_announce(d, i);
		router_tick(d->r, d->now);
	}
}

static void resets_submit(struct deadly *d, uint64_t k, uint64_t identity)
{
	struct router_request q = {.id = k,
				   .team = STR("guild"),
				   .service = STR("desk"),
				   .idempotent = true,
				   .deadline_us = d->now + 10 * SEC,
				   .identity = identity};

	ck_assert_int_eq(router_submit(d->r, &q, d->now), 0);
}

/* Closes the connections of two sends; returns the upstreams, silent for a time then. */
static void resets_close_two(struct deadly *d, uint64_t k, int64_t silent,
			     unsigned int lost[2])
{
	const struct router_failure closed = {.err = CF_ECONN, .maybe_run = true};

	for (unsigned int n = 0; n < 2; n++) {
		ck_assert(d->at[k]);
		lost[n] = deadly_index(d, d->at[k]);
		d->up_at[lost[n]] = d->now + silent;
		d->at[k] = 0;
		router_failed(d->r, k, &closed, d->now);
	}
	ck_assert_uint_ne(lost[0], lost[1]);
	ck_assert(!d->at[k]);
}

/* Guards against requests given up for resets and cuts that their upstreams outlived. */
START_TEST(resets_and_cuts_give_no_request_up)
{
	static const int64_t silent[] = {0, 3 * SEC, 6 * SEC};
	struct router_answer ok = {.status = 200, .load = -1};

	for (unsigned int i = 0; i < 2 * sizeof(silent) / sizeof(silent[0]); i++) {
		static struct deadly d;
		unsigned int lost[2];

		resets_start(&d);
		for (uint64_t k = 0; k < RESETS; k++) {
			resets_submit(&d, k, i % 2 ? 5 : 0);
			resets_close_two(&d, k, silent[i / 2], lost);
			resets_pass(&d, silent[i / 2] + 2 * SEC);
			ck_assert(d.at[k]);
			d.at[k] = 0;
			router_answered(d.r, k, &ok, d.now);
			ck_assert_uint_eq(d.finished[k], 1);
			ck_assert_int_eq(d.out[k].run, ROUTER_DONE);
		}
		router_free(d.r);
	}
}
END_TEST

static void ck_given_up(const struct deadly *d, uint64_t k)
{
	ck_assert(!d->at[k]);
	ck_assert_uint_eq(d->finished[k], 1);
	ck_assert_int_eq(d->out[k].run, ROUTER_UNKNOWN);
	ck_assert_int_eq(d->out[k].reason, ROUTER_R_LOST);
}

/* Guards against a third upstream for a request whose upstreams restart seconds later. */
START_TEST(late_restarts_prove_that_upstreams_ended)
{
	static struct deadly d;
	unsigned int lost[2];

	resets_start(&d);
	resets_submit(&d, 0, 5);
	resets_close_two(&d, 0, 4 * SEC, lost);
	resets_pass(&d, SEC / 2);
	/* What they sent before they ended comes late. */
	for (unsigned int n = 0; n < 2; n++)
		deadly_announce(&d, lost[n]);
	resets_pass(&d, 3 * SEC);
	resets_submit(&d, 1, 5);
	ck_assert(!d.at[0] && !d.at[1]);
	ck_assert(!d.finished[0] && !d.finished[1]);
	for (unsigned int n = 0; n < 2; n++)
		d.incarnation[lost[n]]++;
	resets_pass(&d, SEC);
	ck_given_up(&d, 0);
	ck_given_up(&d, 1);
	resets_pass(&d, 30 * SEC);
	resets_submit(&d, 2, 5);
	ck_given_up(&d, 2);
	router_free(d.r);
}
END_TEST

/* Guards against a third upstream for a request after whose sends nobody listens. */
START_TEST(refused_connections_prove_that_upstreams_ended)
{
	const struct router_failure refused = {.err = CF_ECONN, .refused = true};
	static struct deadly d;
	unsigned int lost[2];
	uint64_t k = 3;

	resets_start(&d);
	resets_submit(&d, 0, 5);
	resets_close_two(&d, 0, 60 * SEC, lost);
	for (unsigned int n = 0; n < 2; k++) {
		resets_submit(&d, k, 0);
		if (d.at[k] != d.id[lost[n]])
			continue;
		n++;
		d.at[k] = 0;
		router_failed(d.r, k, &refused, d.now);
	}
	resets_pass(&d, 2 * STEP);
	ck_given_up(&d, 0);
	resets_submit(&d, 1, 5);
	ck_given_up(&d, 1);
	/* They had not ended: their connections were refused on the way. */
	for (unsigned int n = 0; n < 2; n++)
		d.up_at[lost[n]] = 0;
	resets_pass(&d, 2 * SEC);
	resets_submit(&d, 2, 5);
	ck_assert(d.at[2]);
	router_free(d.r);
}
END_TEST

/* Guards against a request given up for upstreams that left and closed connections. */
START_TEST(exits_give_no_request_up)
{
	static struct deadly d;
	unsigned int lost[2];

	resets_start(&d);
	resets_submit(&d, 0, 5);
	resets_close_two(&d, 0, 0, lost);
	for (unsigned int n = 0; n < 2; n++) {
		d.leaving[lost[n]] = true;
		deadly_announce(&d, lost[n]);
		d.leaving[lost[n]] = false;
		d.incarnation[lost[n]]++;
	}
	resets_pass(&d, 2 * STEP);
	ck_assert(d.at[0]);
	router_free(d.r);
}
END_TEST

/* Guards against a request that waits for a proof that its deadline excludes. */
START_TEST(no_wait_for_a_proof_after_the_deadline)
{
	static struct deadly d;
	unsigned int lost[2];

	resets_start(&d);
	for (uint64_t k = 0; k < 2; k++) {
		struct router_request q = {.id = k,
					   .team = STR("guild"),
					   .service = STR("desk"),
					   .idempotent = true,
					   .deadline_us = d.now + SEC / 2,
					   .identity = 5};

		ck_assert_int_eq(router_submit(d.r, &q, d.now), 0);
		if (k == 0)
			resets_close_two(&d, k, 0, lost);
		ck_assert(!d.at[k]);
		ck_assert_uint_eq(d.finished[k], 1);
	}
	ck_assert_int_eq(d.out[0].run, ROUTER_UNKNOWN);
	ck_assert_int_eq(d.out[0].reason, ROUTER_R_FAILED);
	ck_assert_int_eq(d.out[1].run, ROUTER_NOT_RUN);
	ck_assert_int_eq(d.out[1].reason, ROUTER_R_HOPELESS);
	router_free(d.r);
}
END_TEST

#define HELD 15U

/* Guards against others refused for requests that wait for a proof, not for a slot. */
START_TEST(held_requests_refuse_no_others)
{
	struct router_answer ok = {.status = 200, .load = -1};
	struct router_request q = {
		.team = STR("guild"), .service = STR("desk"), .idempotent = true};
	static struct deadly d;
	struct router_stats st;
	unsigned int lost[2];

	resets_start(&d);
	for (uint64_t k = HELD; k < 2UL * HELD; k++) {
		resets_submit(&d, k, 0);
		d.now += STEP;
		d.at[k] = 0;
		router_answered(d.r, k, &ok, d.now);
	}
	resets_pass(&d, STEP);
	for (uint64_t k = 0; k < HELD; k++) {
		resets_submit(&d, k, 0);
		resets_close_two(&d, k, 0, lost);
	}
	router_stats(d.r, &st);
	ck_assert_uint_eq(st.queued, HELD);
	for (uint64_t k = 2UL * HELD; k < 2UL * HELD + 3; k++) {
		q.id = k;
		q.deadline_us = d.now + SEC;
		ck_assert_int_eq(router_submit(d.r, &q, d.now), 0);
		ck_assert(d.at[k]);
	}
	resets_pass(&d, 2 * SEC);
	for (uint64_t k = 0; k < HELD; k++)
		ck_assert(d.at[k]);
	router_stats(d.r, &st);
	ck_assert_uint_eq(st.queued, 0);
	router_free(d.r);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("router_loss");
	TCase *tc = tcase_create("router_loss");
	SRunner *sr = srunner_create(suite);
	int failed;

	tcase_set_timeout(tc, 0);
	tcase_add_test(tc, deadly_request_takes_two_upstreams);
	tcase_add_test(tc, resends_of_a_deadly_request_are_refused);
	tcase_add_test(tc, resets_and_cuts_give_no_request_up);
	tcase_add_test(tc, late_restarts_prove_that_upstreams_ended);
	tcase_add_test(tc, refused_connections_prove_that_upstreams_ended);
	tcase_add_test(tc, exits_give_no_request_up);
	tcase_add_test(tc, no_wait_for_a_proof_after_the_deadline);
	tcase_add_test(tc, held_requests_refuse_no_others);
	suite_add_tcase(suite, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
