/* The decision to wait for a rack, and the run times on which it is based. */
#include <check.h>
#include <stdlib.h>

#include "core/dag_locality.h"
#include "core/dag_runtime.h"

#define MS 1000LL
#define SEC (1000 * MS)
#define HUGE_SLACK (1000 * SEC)

static bool waits(int64_t free_us, int64_t sd_us, int64_t extra_us, int64_t slack_us,
		  int64_t waited_us)
{
	struct dag_locality_input in = {
		.free_us = free_us,
		.free_sd_us = sd_us,
		.extra_us = extra_us,
		.slack_us = slack_us,
		.waited_us = waited_us,
	};

	return dag_locality_choose(&in).wait;
}

/* Guards against waits that cost more than they save. */
START_TEST(a_wait_must_be_shorter_than_what_it_saves)
{
	ck_assert(waits(1 * SEC, 0, 2 * SEC, HUGE_SLACK, 0));
	ck_assert(!waits(2 * SEC, 0, 2 * SEC, HUGE_SLACK, 0));
	ck_assert(!waits(3 * SEC, 0, 2 * SEC, HUGE_SLACK, 0));
	ck_assert(!waits(1 * SEC, 0, 0, HUGE_SLACK, 0));
	ck_assert(!waits(0, 0, -1, HUGE_SLACK, 0));
}
END_TEST

/* Guards against a wait for a place whose time is not known well enough. */
START_TEST(uncertainty_counts_against_a_wait)
{
	ck_assert(waits(1 * SEC, SEC / 2, 2 * SEC, HUGE_SLACK, 0));
	ck_assert(!waits(1 * SEC, 1 * SEC, 2 * SEC, HUGE_SLACK, 0));
}
END_TEST

/* Guards against a job that waits although it meets its objective only elsewhere now. */
START_TEST(a_wait_does_not_endanger_the_objective)
{
	ck_assert(waits(1 * SEC, 0, 2 * SEC, 3 * SEC + 1, 0));
	ck_assert(!waits(1 * SEC, 0, 2 * SEC, 3 * SEC - 1, 0));
	/* Elsewhere it is late. */
	ck_assert(waits(1 * SEC, 0, 2 * SEC, 2 * SEC - 1, 0));
	ck_assert(waits(1 * SEC, 0, 2 * SEC, -5 * SEC, 0));
}
END_TEST

/* Guards against waits that are prolonged without end by ever new forecasts. */
START_TEST(a_wait_ends)
{
	struct dag_locality_input in = {
		.free_us = SEC / 2, .extra_us = 2 * SEC, .slack_us = HUGE_SLACK};

	ck_assert_int_eq(dag_locality_choose(&in).until_us, 2 * SEC);
	in.waited_us = SEC;
	ck_assert_int_eq(dag_locality_choose(&in).until_us, SEC);
	in.waited_us = 0;
	in.slack_us = 3 * SEC + SEC / 2;
	ck_assert_int_eq(dag_locality_choose(&in).until_us, SEC + SEC / 2);
	ck_assert(!waits(SEC / 2, 0, 2 * SEC, HUGE_SLACK, 2 * SEC));
	ck_assert(!waits(SEC / 2, 0, 2 * SEC, HUGE_SLACK, 2 * SEC - SEC / 4));
	ck_assert(!waits(0, 0, 2 * SEC, HUGE_SLACK, INT64_MAX / 2));
}
END_TEST

/* Guards against run times that are not learned, and memory that grows with queues. */
START_TEST(run_times_are_learned_by_queue)
{
	struct dag_runtime *rt = calloc(1, sizeof(*rt));
	struct dag_time_estimate e;

	e = dag_runtime_of(rt, 1, 0, 1000);
	ck_assert_int_eq(e.mean_us, SEC);
	ck_assert_int_eq(e.sd_us, SEC / 2);
	for (int i = 0; i < 400; i++)
		dag_runtime_learn(rt, 1, 0, 1000, i % 2 ? 2900 : 3100);
	e = dag_runtime_of(rt, 1, 0, 2000);
	ck_assert_int_ge(e.mean_us, 5700 * MS);
	ck_assert_int_le(e.mean_us, 6000 * MS);
	ck_assert_int_le(e.sd_us, 400 * MS);
	for (uint64_t q = 2; q < 2 + DAG_RUNTIME_QUEUES; q++)
		dag_runtime_learn(rt, q, 0, 1000, 500);
	ck_assert_int_eq(dag_runtime_of(rt, 1, 0, 1000).mean_us, SEC);
	ck_assert_int_lt(dag_runtime_of(rt, 9, 0, 1000).mean_us, SEC);
	dag_runtime_learn(rt, 9, 0, 0, 500);
	dag_runtime_learn(rt, 9, 0, 1000, -500);
	free(rt);
}
END_TEST

/* Guards against forecasts of long runs that say "soon" for ever. */
START_TEST(rest_of_a_run)
{
	struct dag_time_estimate total = {10 * SEC, 1 * SEC};
	struct dag_run_age age = {.age_us = 4 * SEC, .progress_percent = -1};

	ck_assert_int_eq(dag_runtime_left(&total, &age).mean_us, 6 * SEC);
	age.age_us = 40 * SEC;
	ck_assert_int_ge(dag_runtime_left(&total, &age).mean_us, 15 * SEC);
	ck_assert_int_ge(dag_runtime_left(&total, &age).sd_us, 15 * SEC);
	age.progress_percent = 80;
	age.progress_age_us = 40 * SEC;
	ck_assert_int_eq(dag_runtime_left(&total, &age).mean_us, 10 * SEC);
	age.age_us = 45 * SEC;
	ck_assert_int_eq(dag_runtime_left(&total, &age).mean_us, 5 * SEC);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("locality");
	TCase *tc = tcase_create("decision");
	SRunner *r;
	int failed;

	tcase_add_test(tc, a_wait_must_be_shorter_than_what_it_saves);
	tcase_add_test(tc, uncertainty_counts_against_a_wait);
	tcase_add_test(tc, a_wait_does_not_endanger_the_objective);
	tcase_add_test(tc, a_wait_ends);
	tcase_add_test(tc, run_times_are_learned_by_queue);
	tcase_add_test(tc, rest_of_a_run);
	suite_add_tcase(suite, tc);
	r = srunner_create(suite);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? 1 : 0;
}
