#include <check.h>
#include <stdint.h>
#include <stdlib.h>

#include "base/err.h"
#include "base/prng.h"
#include "io/budget.h"
#include "io/meminfo.h"

/* Guards against large holders that take what is reserved for small ones. */
START_TEST(part_is_reserved_for_small_holders)
{
	struct budget b = {.limit = 100, .reserved = 25, .small = 10};

	ck_assert(!budget_take(&b, 0, 76));
	ck_assert(budget_take(&b, 0, 75));
	ck_assert(!budget_take(&b, 0, 11));
	ck_assert(budget_take(&b, 0, 10));
	ck_assert(!budget_take(&b, 10, 1)); /* it is no small holder any more */
	ck_assert(budget_take(&b, 0, 10));
	ck_assert(!budget_take(&b, 0, 6));
	ck_assert(budget_take(&b, 5, 5));
	ck_assert_uint_eq(b.used, 100);
	budget_give(&b, 75);
	ck_assert_uint_eq(b.used, 25);
	ck_assert_uint_eq(b.peak, 100);
	ck_assert(budget_take(&b, 0, 50));
	ck_assert(!budget_take(&b, 0, 11));
}
END_TEST

/* Guards against sums that wrap around and admit what has no room. */
START_TEST(sizes_do_not_wrap_around)
{
	struct budget b = {.limit = 100, .reserved = 25, .small = 10};
	struct budget none = {0};

	ck_assert(budget_take(&b, 0, 5));
	ck_assert(!budget_take(&b, 0, SIZE_MAX));
	ck_assert(!budget_take(&b, SIZE_MAX, 1) || b.used <= 75);
	ck_assert(!budget_take(&b, SIZE_MAX, SIZE_MAX));
	ck_assert(!budget_take(&b, 1, SIZE_MAX));
	budget_give(&b, SIZE_MAX);
	ck_assert_uint_eq(b.used, 0);
	ck_assert(budget_has_room(&none, 0, SIZE_MAX));
}
END_TEST

#define N_HOLDERS 40
#define N_STEPS 200000

/* Guards against a count that drifts from what is held, and a limit that is exceeded. */
START_TEST(count_is_what_holders_hold)
{
	struct budget b = {.limit = 10000, .reserved = 2500, .small = 300};
	size_t held[N_HOLDERS] = {0};
	struct prng r = {.state = 5};
	size_t sum = 0;

	for (int i = 0; i < N_STEPS; i++) {
		size_t h = prng_below(&r, N_HOLDERS);
		size_t n = prng_below(&r, 800);

		if (prng_below(&r, 3) == 0) {
			budget_give(&b, held[h]);
			sum -= held[h];
			held[h] = 0;
		} else if (budget_take(&b, held[h], n)) {
			held[h] += n;
			sum += n;
			ck_assert(held[h] <= 300 || sum <= 7500);
		} else {
			ck_assert(sum + n > (held[h] + n <= 300 ? 10000 : 7500));
		}
		ck_assert_uint_eq(b.used, sum);
		ck_assert_uint_le(sum, 10000);
	}
}
END_TEST

/* Guards against a size of the machine that is read wrongly, so that nothing starts. */
START_TEST(size_of_the_machine_is_read)
{
	static const char *const bad[] = {"",
					  "MemTotal:",
					  "MemTotal: 12\n",
					  "MemTotal: 12 MB\n",
					  "MemTotal: 12 kB",
					  "MemFree: 12 kB\n",
					  "MemTotal: 18446744073709551615 kB\n"};
	uint64_t bytes = 0;

	ck_assert_int_eq(
		meminfo_parse(STR("MemTotal:       16384 kB\nMemFree: 1 kB\n"), &bytes),
		0);
	ck_assert_uint_eq(bytes, 16384 * 1024);
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		ck_assert_int_eq(meminfo_parse(str_from(bad[i]), &bytes), CF_EMALFORMED);
	ck_assert_int_eq(meminfo_read("/proc/meminfo", &bytes), 0);
	ck_assert_uint_gt(bytes, 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("budget");
	TCase *tc = tcase_create("budget");
	SRunner *sr;
	int failed;

	tcase_add_test(tc, part_is_reserved_for_small_holders);
	tcase_add_test(tc, sizes_do_not_wrap_around);
	tcase_add_test(tc, count_is_what_holders_hold);
	tcase_add_test(tc, size_of_the_machine_is_read);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
