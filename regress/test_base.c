#include <check.h>
#include <stdlib.h>

#include "base/err.h"
#include "base/hist.h"
#include "base/metric.h"
#include "base/prng.h"
#include "base/str.h"

/* Guards against a quantile off by more than the stated 1/32. */
START_TEST(hist_error_is_bounded)
{
	struct prng r = {.state = 1};
	struct hist h = {0};

	for (uint64_t v = 1; v < (1ULL << 38); v = v * 2 + prng_below(&r, v)) {
		uint64_t got;

		h = (struct hist){0};
		hist_add(&h, v);
		hist_add(&h, 1ULL << 39);
		got = hist_quantile(&h, 0);
		ck_assert_uint_le(got > v ? got - v : v - got, v / 32 + 1);
	}
}
END_TEST

/* Guards against values lost or moved between histograms when merging. */
START_TEST(hist_merge_keeps_all)
{
	struct hist a = {0};
	struct hist b = {0};

	for (uint64_t v = 0; v < 1000; v++)
		hist_add(v % 2 ? &a : &b, v);
	hist_merge(&a, &b);
	ck_assert_uint_eq(a.count, 1000);
	ck_assert_uint_eq(a.max, 999);
	ck_assert_uint_le(hist_quantile(&a, 0.5), 520);
	ck_assert_uint_ge(hist_quantile(&a, 0.5), 480);
}
END_TEST

/* Guards against accepting an overflowed or partly numeric value. */
START_TEST(numbers_are_checked)
{
	uint64_t v = 7;

	ck_assert_int_eq(str_to_u64(STR("18446744073709551615"), &v), 0);
	ck_assert_uint_eq(v, UINT64_MAX);
	ck_assert_int_eq(str_to_u64(STR("18446744073709551616"), &v), CF_EINVAL);
	ck_assert_int_eq(str_to_u64(STR("12x"), &v), CF_EINVAL);
	ck_assert_int_eq(str_to_u64(STR(""), &v), CF_EINVAL);
	ck_assert_int_eq(str_to_u64(STR("-1"), &v), CF_EINVAL);
}
END_TEST

/* Guards against a split that aliases its input giving wrong parts. */
START_TEST(split_in_place)
{
	struct str rest = STR("a/b/c");
	struct str head;

	ck_assert(str_split(rest, '/', &head, &rest));
	ck_assert(str_eq(head, STR("a")));
	ck_assert(str_split(rest, '/', &head, &rest));
	ck_assert(!str_split(rest, '/', &head, &rest));
	ck_assert(str_eq(head, STR("c")));
	ck_assert_uint_eq(rest.n, 0);
}
END_TEST

/* Guards against a queue whose name makes the page of metrics unreadable. */
START_TEST(label_of_any_bytes_is_escaped)
{
	struct buf labels = {0};

	ck_assert_int_eq(metric_add_label(&labels, "queue", STR("a\"b\\c\nd\0e")), 0);
	ck_assert_int_eq(metric_add_label(&labels, "state", STR("done")), 0);
	ck_assert_str_eq(labels.p, "queue=\"a\\\"b\\\\c\\nde\",state=\"done\"");
	buf_free(&labels);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("base");
	TCase *tc = tcase_create("base");
	SRunner *sr;
	int failed;

	tcase_add_test(tc, hist_error_is_bounded);
	tcase_add_test(tc, hist_merge_keeps_all);
	tcase_add_test(tc, numbers_are_checked);
	tcase_add_test(tc, split_in_place);
	tcase_add_test(tc, label_of_any_bytes_is_escaped);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
