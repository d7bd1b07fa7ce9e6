#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/err.h"
#include "carawayfrontd/settings.h"

#define MIB (1ULL << 20)

static struct settings settings;
static struct schema_error error;

/* Loads the settings of a gateway with these limits. */
static int load(const char *limits)
{
	char path[] = "/tmp/test_settings.XXXXXX";
	int fd = mkstemp(path);
	FILE *f = fdopen(fd, "w");
	int err;

	ck_assert_ptr_nonnull(f);
	fprintf(f,
		"name: g\nrole: gateway\nzone: z\ncluster-key: k\n"
		"seeds:\n  - {address: \"127.0.0.1:1\"}\n"
		"listen: {rpc: \"127.0.0.1:1\", callers: \"127.0.0.1:2\"}\nlimits: "
		"{%s}\n",
		limits);
	fclose(f);
	err = settings_load(path, &settings, &error);
	unlink(path);
	return err;
}

static void expect_refused(const char *limits, const char *key)
{
	ck_assert_int_eq(load(limits), CF_EINVAL);
	ck_assert_str_eq(error.key, key);
	settings_free(&settings);
}

/* Guards against defaults that exceed the machine of a gateway, of 160 MB. */
START_TEST(defaults_fit_the_smallest_machine)
{
	ck_assert_int_eq(load("max-body: 262144"), 0);
	ck_assert_uint_eq(settings.limits.body_budget, 24 * MIB);
	ck_assert_uint_eq(settings.limits.reply_budget, 12 * MIB);
	ck_assert_uint_eq(settings.limits.max_per_source, 0);
	ck_assert_int_eq(settings_check_memory(&settings, 160 * MIB, &error), 0);
	ck_assert_uint_le(settings_memory(&settings), 150 * MIB);
	settings_free(&settings);
}
END_TEST

/* Guards against default budgets below the largest request that the settings allow. */
START_TEST(default_budgets_grow_with_the_largest_body)
{
	ck_assert_int_eq(load("max-body: 67108864"), 0);
	ck_assert_uint_eq(settings.limits.body_budget, 256 * MIB);
	ck_assert_uint_eq(settings.limits.reply_budget, 256 * MIB);
	settings_free(&settings);
}
END_TEST

/* Guards against budgets that a single request, or the machine, does not fit. */
START_TEST(budgets_that_do_not_fit_are_refused)
{
	expect_refused("max-body: 1048576, body-budget: 1048576", "limits.body-budget");
	expect_refused("max-body: 1048576, reply-budget: 1398101", "limits.reply-budget");
	expect_refused("body-budget: 100", "limits.body-budget");
	expect_refused("head-timeout-s: 2", "limits.head-timeout-s");
	expect_refused("min-rate: 0", "limits.min-rate");
	ck_assert_int_eq(load("body-budget: 33554432, reply-budget: 33554432"), 0);
	ck_assert_int_eq(settings_check_memory(&settings, 128 * MIB, &error), 0);
	ck_assert_int_eq(settings_check_memory(&settings, 127 * MIB, &error), CF_EINVAL);
	ck_assert_str_eq(error.key, "limits.body-budget");
	settings_free(&settings);
}
END_TEST

/* Guards against a reload that tells of limits which the process does not follow. */
START_TEST(changed_budget_needs_a_restart)
{
	struct settings before;

	ck_assert_int_eq(load("min-rate: 4096"), 0);
	before = settings;
	ck_assert_int_eq(load("min-rate: 4096"), 0);
	ck_assert(settings_same_process(&before, &settings));
	settings_free(&settings);
	ck_assert_int_eq(load("min-rate: 4097"), 0);
	ck_assert(!settings_same_process(&before, &settings));
	settings_free(&settings);
	settings_free(&before);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("settings");
	TCase *tc = tcase_create("limits");
	SRunner *sr;
	int failed;

	tcase_add_test(tc, defaults_fit_the_smallest_machine);
	tcase_add_test(tc, default_budgets_grow_with_the_largest_body);
	tcase_add_test(tc, budgets_that_do_not_fit_are_refused);
	tcase_add_test(tc, changed_budget_needs_a_restart);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
