/* Fair shares of organisations when not all waiting tasks fit. */
#include <check.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "core/dag_share.h"
#include "regress/lib_dag_orgs.h"

#define SECOND 1000000LL
#define MS 1000LL
#define SAMPLE_US (50 * MS)
#define WORKERS 16U

static struct dag_world w;
static const struct dag_org_limits unlimited;
static uint32_t n_jobs;

static void open_world(void)
{
	n_jobs = 0;
	dw_open(&w, 1);
	do_open(&w);
	dw_add_workers(&w, WORKERS);
	w.work_us = SECOND;
}

static void close_world(void)
{
	do_close();
	dw_close(&w);
}

/* The tasks' estimate gives their job so long an objective that none becomes late. */
static void submit(uint32_t org, uint32_t count, uint32_t cpu, uint32_t mem)
{
	struct dag_step st = {
		.count = count, .cpu_milli = cpu, .mem_mb = mem, .estimate_ms = 600000};

	dw_submit_step(&w, DO_JOB(org, ++n_jobs), &st);
}

/* Adds the shares of organisations 1 to n, one sample for each 50 ms, as a mean. */
static void mean_shares(uint32_t n, int64_t us, double *mean)
{
	int64_t samples = us / SAMPLE_US;

	for (uint32_t i = 0; i < n; i++)
		mean[i] = 0;
	for (int64_t k = 0; k < samples; k++) {
		dw_run_for(&w, SAMPLE_US);
		for (uint32_t i = 0; i < n; i++)
			mean[i] += do_dominant_share(i + 1) / (double)samples;
	}
	dw_assert_sound(&w);
}

/* The smallest of the parts that organisations got of their weighted shares. */
static double worst_part(const double *mean, const uint32_t *weights, uint32_t n)
{
	double worst = INFINITY;
	double sum = 0;

	for (uint32_t i = 0; i < n; i++)
		sum += weights[i] ? weights[i] : 1;
	for (uint32_t i = 0; i < n; i++)
		worst = fmin(worst, mean[i] * sum / (weights[i] ? weights[i] : 1));
	return worst;
}

/*
 * Guards against an organisation that gets less than 0.9 of its weighted share of a
 * cluster in which all have more work than fits: with one large job each (0), with many
 * small ones of which the last organisation submits most (1), with a new leader (2), and
 * with a weight of 0, which counts as 1 (3).
 */
START_TEST(shortage_is_shared_by_weight)
{
	uint32_t weights[3] = {1, 2, 5};
	double mean[3];
	double worst;

	if (_i == 3)
		weights[0] = 0;
	for (uint32_t i = 0; i < 3; i++)
		do_add((const char *[]){"a", "b", "c"}[i], weights[i], unlimited);
	dw_run_for(&w, SECOND);
	for (uint32_t i = 3; i > 0; i--) {
		if (_i != 1)
			submit(i, 1200, 1000, 100);
		for (uint32_t k = 0; _i == 1 && k < 40 * i; k++)
			submit(i, 10, 500 + 500 * (k % 4), 100);
	}
	dw_run_for(&w, 3 * SECOND);
	if (_i == 2)
		dw_change_leader(&w);
	mean_shares(3, 5 * SECOND, mean);
	worst = worst_part(mean, weights, 3);
	printf("case %d: shares %.3f %.3f %.3f, worst part %.3f\n", _i, mean[0], mean[1],
	       mean[2], worst);
	ck_assert_msg(worst >= 0.9, "%.3f", worst);
}
END_TEST

/*
 * Guards against shares of one resource only: tasks of a need CPU, those of b memory. By
 * the method each gets 0.8 of its resource if the workers were one, 0.75 if each takes
 * three of both.
 */
START_TEST(different_resources_are_shared)
{
	double mean[2];

	do_add("a", 1, unlimited);
	do_add("b", 1, unlimited);
	dw_run_for(&w, SECOND);
	submit(1, 600, 2000, 200);
	submit(2, 600, 500, 2000);
	dw_run_for(&w, 3 * SECOND);
	mean_shares(2, 5 * SECOND, mean);
	printf("CPU %.3f, memory %.3f\n", mean[0], mean[1]);
	ck_assert_msg(fmin(mean[0], mean[1]) >= 0.9 * 0.75, "%.3f %.3f", mean[0],
		      mean[1]);
	ck_assert_msg(fmin(mean[0], mean[1]) >= 0.9 * fmax(mean[0], mean[1]), "%.3f %.3f",
		      mean[0], mean[1]);
}
END_TEST

/*
 * Guards against capacity that is kept for an organisation without work, and against one
 * that does not get its share back as the runs of others end. Nothing is stopped.
 */
START_TEST(idle_share_is_lent_and_returned)
{
	double mean[2];

	do_add("a", 1, unlimited);
	do_add("b", 1, unlimited);
	dw_run_for(&w, SECOND);
	submit(1, 3000, 1000, 100);
	dw_run_for(&w, 2 * SECOND);
	mean_shares(2, 2 * SECOND, mean);
	printf("lent: %.3f\n", mean[0]);
	ck_assert_msg(mean[0] >= 0.95, "%.3f", mean[0]);
	submit(2, 300, 1000, 100);
	dw_run_for(&w, 3 * SECOND / 2);
	mean_shares(2, 2 * SECOND, mean);
	printf("returned: %.3f %.3f\n", mean[0], mean[1]);
	ck_assert_msg(mean[1] >= 0.9 * 0.5 && mean[0] >= 0.9 * 0.5, "%.3f %.3f", mean[0],
		      mean[1]);
	dw_run_for(&w, 6 * SECOND);
	mean_shares(2, 2 * SECOND, mean);
	printf("lent again: %.3f\n", mean[0]);
	ck_assert_msg(mean[0] >= 0.95, "%.3f", mean[0]);
	ck_assert_uint_eq(w.n_noted, 0);
}
END_TEST

/* Guards against jobs without an organisation that get more or less than a weight of 1.
 */
START_TEST(jobs_without_an_organisation_have_weight_1)
{
	double mean[2];

	do_add("a", 3, unlimited);
	dw_run_for(&w, SECOND);
	submit(0, 1000, 1000, 100);
	submit(1, 1000, 1000, 100);
	dw_run_for(&w, 3 * SECOND);
	mean_shares(1, 3 * SECOND, mean);
	ck_assert_msg(fabs(mean[0] - 0.75) < 0.03, "%.3f", mean[0]);
}
END_TEST

/* Submits jobs of many shapes and returns a hash of all starts in their order. */
static uint64_t starts_of(int orgs, uint64_t seed)
{
	struct prng p = {.state = seed};
	uint64_t hash;

	dw_open(&w, seed);
	do_open(&w);
	if (orgs) {
		do_add("a", 3, unlimited);
		do_own_all(orgs == 2 ? 1 : 2);
	}
	dw_add_workers(&w, 5);
	dw_run_for(&w, SECOND);
	for (uint32_t i = 1; i <= 40; i++) {
		struct dag_step st = {.count = 1 + (u_int)prng_below(&p, 8),
				      .cpu_milli = 500 * (1 + (u_int)prng_below(&p, 8)),
				      .mem_mb = 100 * (1 + (u_int)prng_below(&p, 30)),
				      .estimate_ms = 200 + (u_int)prng_below(&p, 3000),
				      .gang = prng_below(&p, 6) == 0};

		if (!st.gang)
			st.long_running = prng_below(&p, 20) == 0;
		if (!st.gang && !st.long_running)
			st.filler = prng_below(&p, 4) == 0;
		dw_submit_step(&w, i, &st);
		dw_run_for(&w, (int64_t)prng_below(&p, 300) * MS);
		if (i == 20)
			dw_crash_for(&w, 2, SECOND, false);
	}
	dw_run_for(&w, 10 * SECOND);
	dw_assert_sound(&w);
	hash = w.starts_hash;
	ck_assert_uint_gt(w.starts, 40);
	do_close();
	dw_close(&w);
	return hash;
}

/*
 * Guards against another order of starts where there is nothing to share: without
 * organisations, with one that owns no job, and with one that owns all.
 */
START_TEST(one_organisation_changes_no_start)
{
	uint64_t plain = starts_of(0, (uint64_t)_i + 1);

	ck_assert(starts_of(1, (uint64_t)_i + 1) == plain);
	ck_assert(starts_of(2, (uint64_t)_i + 1) == plain);
}
END_TEST

static struct ds_org org_with(struct dag_org *rec, uint64_t cpu, uint64_t mem)
{
	return (struct ds_org){.rec = rec, .used = {.cpu_milli = cpu, .mem_mb = mem}};
}

/* The share is that of the scarcest resource, and an absent resource does not count. */
START_TEST(dominant_share_is_the_largest_fraction)
{
	struct ds_usage cluster = {.cpu_milli = 1000, .mem_mb = 4000};
	struct dag_org heavy = {.weight = 4};
	struct dag_org none = {.weight = 0};
	struct ds_org o = org_with(&heavy, 100, 2000);

	ck_assert_double_eq_tol(ds_weighted_share(&o, &cluster), 0.125, 1e-9);
	o = org_with(&none, 100, 0);
	ck_assert_double_eq_tol(ds_weighted_share(&o, &cluster), 0.1, 1e-9);
	o.used.gpus = 3;
	ck_assert_double_eq_tol(ds_weighted_share(&o, &cluster), 0.1, 1e-9);
	o = org_with(NULL, 0, 0);
	ck_assert_double_eq_tol(ds_weighted_share(&o, &cluster), 0, 1e-9);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dag_share");
	TCase *tc = tcase_create("dag_share");
	TCase *order = tcase_create("order");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(tc, 120);
	tcase_set_timeout(order, 120);
	tcase_add_checked_fixture(tc, open_world, close_world);
	tcase_add_loop_test(tc, shortage_is_shared_by_weight, 0, 4);
	tcase_add_test(tc, different_resources_are_shared);
	tcase_add_test(tc, idle_share_is_lent_and_returned);
	tcase_add_test(tc, jobs_without_an_organisation_have_weight_1);
	tcase_add_loop_test(order, one_organisation_changes_no_start, 0, 10);
	tcase_add_test(order, dominant_share_is_the_largest_fraction);
	suite_add_tcase(s, tc);
	suite_add_tcase(s, order);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
