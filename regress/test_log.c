#include <check.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

#include "base/str.h"
#include "io/log.h"

/* Guards against a name from outside that adds lines to the log. */
START_TEST(value_stays_on_its_line)
{
	struct str id = STR("i-1\nlevel=ERROR event=forged\r\x1b[2J");
	int file = memfd_create("log", 0);
	int out = dup(STDOUT_FILENO);
	char text[1024] = {0};

	ck_assert_int_ge(file, 0);
	ck_assert_int_ge(dup2(file, STDOUT_FILENO), 0);
	ck_assert_int_eq(log_open("test", false), 0);
	log_info("worker-report", "worker=%.*s state=%d", STR_ARG(id), 1);
	log_close();
	dup2(out, STDOUT_FILENO);
	ck_assert_int_gt((int)pread(file, text, sizeof(text) - 1, 0), 0);
	ck_assert_ptr_nonnull(strstr(text, "worker=i-1?level=ERROR"));
	ck_assert_ptr_eq(strchr(text, '\n'), text + strlen(text) - 1);
	ck_assert_ptr_null(strchr(text, '\r'));
	ck_assert_ptr_null(strchr(text, '\x1b'));
	close(out);
	close(file);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("log");
	TCase *t = tcase_create("lines");
	SRunner *r;
	int failed;

	tcase_add_test(t, value_stays_on_its_line);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
