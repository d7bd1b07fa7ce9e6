#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/err.h"
#include "io/listener.h"

#define ADDRESS "127.0.0.1:20131"
#define MS_US 1000

static struct addr address;

/* Starts a process that holds the port until it is killed, or for hold_us. */
static pid_t hold_port(unsigned int hold_us)
{
	int ready[2];
	char byte;
	pid_t pid;
	int fd;

	ck_assert_int_eq(addr_parse(STR(ADDRESS), &address), 0);
	ck_assert_int_eq(pipe(ready), 0);
	pid = fork();
	if (pid == 0) {
		if (listener_open(&address, &fd) == 0 && write(ready[1], "x", 1) == 1)
			usleep(hold_us);
		_exit(0);
	}
	ck_assert_int_gt(pid, 0);
	close(ready[1]);
	ck_assert_int_eq(read(ready[0], &byte, 1), 1);
	close(ready[0]);
	return pid;
}

/* Guards against a restart that fails while the killed process still ends. */
START_TEST(port_of_an_ending_process_is_waited_for)
{
	pid_t pid = hold_port(500 * MS_US);
	int fd;

	ck_assert_int_eq(listener_open(&address, &fd), 0);
	close(fd);
	waitpid(pid, NULL, 0);
}
END_TEST

/* Guards against a start that waits for ever for a port of another program. */
START_TEST(port_that_stays_taken_is_refused)
{
	pid_t pid = hold_port(60000 * MS_US);
	int fd;

	ck_assert_int_eq(listener_open(&address, &fd), CF_EEXIST);
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("listener");
	TCase *t = tcase_create("ports");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 30);
	tcase_add_test(t, port_of_an_ending_process_is_waited_for);
	tcase_add_test(t, port_that_stays_taken_is_refused);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
