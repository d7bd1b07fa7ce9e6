/* Metrics by organisation: a bounded number of series, whatever is configured. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carawayfrontd/org_metrics.h"

#define ORGS 300U

static struct org_metrics m;
static struct metric_set *set;

static void open_set(void)
{
	ck_assert_int_eq(metric_set_new(&set), 0);
}

static void close_set(void)
{
	org_metrics_free(&m);
	metric_set_free(set);
}

static void add(const char *name, uint64_t cpu, int64_t wait_us)
{
	char copy[16];
	struct dag_org org = {.name = copy, .weight = 2, .limits = {.cpu_milli = 7}};
	struct dag_org_stats st = {
		.org = &org, .cpu_milli = cpu, .n_waiting = 3, .quota_wait_us = wait_us};

	snprintf(copy, sizeof(copy), "%s", name);
	org_metrics_add(&m, &st);
}

static uint64_t gauge(const char *name, const char *org)
{
	char labels[32];

	snprintf(labels, sizeof(labels), "org=\"%s\"", org);
	return *metric_gauge(set, name, labels);
}

static unsigned int count_labels(void)
{
	struct buf text = {0};
	unsigned int n = 0;

	ck_assert_int_eq(metric_print(set, &text), 0);
	for (const char *p = text.p; p && (p = strstr(p, "org_weight{")); p++)
		n++;
	buf_free(&text);
	return n;
}

/* Guards against series without end: those beyond 64 labels are summed. */
START_TEST(labels_are_bounded)
{
	char name[16];

	for (int round = 0; round < 2; round++) {
		for (unsigned int i = 0; i < ORGS; i++) {
			/* In another order the second time. */
			snprintf(name, sizeof(name), "o%u", round ? ORGS - 1 - i : i);
			add(name, 10, 0);
		}
		org_metrics_export(&m, set);
		ck_assert_uint_eq(count_labels(), ORG_METRICS_LABELS);
		ck_assert_uint_eq(gauge("carawayfront_org_reserved_cpu_milli", "o0"), 10);
		ck_assert_uint_eq(gauge("carawayfront_org_reserved_cpu_milli", "other"),
				  10 * (ORGS - ORG_METRICS_LABELS + 1));
	}
}
END_TEST

/* Guards against an organisation "other" that replaces the sum of the others. */
START_TEST(organisation_named_other_is_summed)
{
	char name[16];

	for (unsigned int i = 0; i < ORG_METRICS_LABELS; i++) {
		snprintf(name, sizeof(name), "o%u", i);
		add(name, 10, 0);
	}
	add("other", 5, 0);
	org_metrics_export(&m, set);
	ck_assert_uint_eq(gauge("carawayfront_org_reserved_cpu_milli", "other"), 15);
	ck_assert_uint_eq(count_labels(), ORG_METRICS_LABELS);
}
END_TEST

/* Guards against gauges that stay after leading has ended, and a counter that falls. */
START_TEST(gauges_end_with_leading)
{
	add("a", 10, 500);
	org_metrics_export(&m, set);
	add("a", 20, 300);
	org_metrics_export(&m, set);
	ck_assert_uint_eq(gauge("carawayfront_org_reserved_cpu_milli", "a"), 20);
	ck_assert_uint_eq(gauge("carawayfront_org_limit_cpu_milli", "a"), 7);
	ck_assert_uint_eq(gauge("carawayfront_org_weight", "a"), 2);
	ck_assert_uint_eq(gauge("carawayfront_org_waiting_tasks", "a"), 3);
	org_metrics_clear(&m, set);
	ck_assert_uint_eq(gauge("carawayfront_org_reserved_cpu_milli", "a"), 0);
	ck_assert_uint_eq(gauge("carawayfront_org_waiting_tasks", "a"), 0);
	ck_assert_uint_eq(
		*metric_counter(set, "carawayfront_org_quota_wait_us_total", "org=\"a\""),
		800);
}
END_TEST

/* Guards against series where no organisation was ever configured. */
START_TEST(no_organisation_has_no_series)
{
	struct buf text = {0};

	org_metrics_export(&m, set);
	org_metrics_clear(&m, set);
	ck_assert_int_eq(metric_print(set, &text), 0);
	ck_assert_uint_eq(text.n, 0);
	buf_free(&text);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("org_metrics");
	TCase *tc = tcase_create("org_metrics");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, open_set, close_set);
	tcase_add_test(tc, labels_are_bounded);
	tcase_add_test(tc, organisation_named_other_is_summed);
	tcase_add_test(tc, gauges_end_with_leading);
	tcase_add_test(tc, no_organisation_has_no_series);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
