#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "regress/lib_fakehttp.h"

#define PORT 22102
#define POLL "/v1/workers/w"
#define WORKER "worker --control 127.0.0.1:22102 --name w --poll-ms 50 --cpus 4 "
#define WAIT_MS 8000
#define LEASE "{\"lease_ms\":60000,\"epoch\":5,\"orders\":["

/* Orders to the only worker, as JSON. */
#define START(task, attempt, command)                                            \
	"{\"op\":\"start\",\"task\":\"" task "\",\"attempt\":" attempt           \
	",\"command\":\"" command "\",\"cpus\":2,\"memory_mb\":100,\"epoch\":5," \
	"\"expires_ms\":5000}"
#define RESUME(task, attempt, command, marker)                                   \
	"{\"op\":\"start\",\"task\":\"" task "\",\"attempt\":" attempt           \
	",\"command\":\"" command "\",\"cpus\":2,\"memory_mb\":100,\"epoch\":5," \
	"\"expires_ms\":5000,\"checkpoint\":" marker "}"
#define ORDER(op, task, attempt) \
	"{\"op\":\"" op "\",\"task\":\"" task "\",\"attempt\":" attempt ",\"epoch\":5}"

static struct fake fake;
static char ledger[64];
static pid_t pid;

static void setup(void)
{
	int fd;

	fake_open(&fake, PORT);
	snprintf(ledger, sizeof(ledger), "/tmp/cfworker.XXXXXX");
	fd = mkstemp(ledger);
	close(fd);
	pid = 0;
}

static void teardown(void)
{
	tool_end(pid, SIGKILL);
	fake_close(&fake);
	unlink(ledger);
}

/* Answers one poll with the orders, the later ones without any. */
static void orders_once(const char *orders)
{
	fake_say(&fake, "POST", POLL, 200, orders, NULL, 1);
}

static void orders_none(void)
{
	fake_say(&fake, "POST", POLL, 200, LEASE "]}", NULL, 0);
}

static void run(const char *options)
{
	pid = tool_spawn(WORKER "--ledger %s %s", ledger, options);
}

static bool ledger_has(const char *text)
{
	return file_wait(ledger, text, 1, WAIT_MS);
}

/* Waits for n more polls, so that everything that was ordered has had its effect. */
static void polls(unsigned int n)
{
	ck_assert(fake_wait(&fake, "POST ", fake_count(&fake, "POST ") + n, WAIT_MS));
}

/* Guards against a task whose end is not reported, or is reported with a wrong state. */
START_TEST(task_ends_are_reported)
{
	orders_once(LEASE START("a", "1", "sleep:0.05") "," START(
		"b", "1", "fail:0.05") "," START("c", "1",
						 "crash") "," START("d", "1",
								    "nonsense") "]}");
	orders_none();
	run("");
	ck_assert(ledger_has(" a 1 start new\n"));
	ck_assert(ledger_has(" a 1 end done\n"));
	ck_assert(ledger_has(" b 1 end failed\n"));
	ck_assert(ledger_has(" c 1 end failed\n"));
	ck_assert(ledger_has(" d 1 end failed\n"));
	polls(2);
	ck_assert_uint_ge(fake_count(&fake, "\"state\":\"done\",\"exit\":0"), 1);
	ck_assert_uint_ge(fake_count(&fake, "\"state\":\"failed\",\"exit\":139"), 1);
}
END_TEST

/* Guards against a second run of an attempt by a duplicated or late order. */
START_TEST(an_attempt_starts_once)
{
	fake_say(&fake, "POST", POLL, 200, LEASE START("a", "3", "sleep:0.01") "]}", NULL,
		 5);
	orders_once(LEASE START("a", "2", "sleep:0.01") "]}");
	orders_once(LEASE START("a", "4", "sleep:0.01") "]}");
	orders_none();
	run("");
	ck_assert(ledger_has(" a 4 end done\n"));
	ck_assert_uint_eq(file_count(ledger, " a 3 start "), 1);
	ck_assert_uint_eq(file_count(ledger, " a 2 start "), 0);
}
END_TEST

/* Guards against obeying a leader that was replaced, or an order that has expired. */
START_TEST(old_orders_are_ignored)
{
	orders_once(LEASE "]}");
	orders_once(
		"{\"lease_ms\":60000,\"epoch\":4,\"orders\":[{\"op\":\"start\",\"task\":"
		"\"a\",\"attempt\":1,\"epoch\":4,\"command\":\"forever\"}]}");
	orders_once(LEASE "{\"op\":\"start\",\"task\":\"b\",\"attempt\":1,\"epoch\":4,"
			  "\"command\":\"forever\"},{\"op\":\"start\",\"task\":\"c\","
			  "\"attempt\":1,\"epoch\":5,\"expires_ms\":0,\"command\":"
			  "\"forever\"},{\"op\":\"start\",\"task\":\"d\",\"attempt\":1,"
			  "\"epoch\":5,\"command\":\"forever\"}]}");
	orders_none();
	run("");
	ck_assert(ledger_has(" d 1 start "));
	ck_assert_uint_eq(file_count(ledger, " start "), 1);
}
END_TEST

/* Time of the first ledger line with this text, in microseconds; -1 without one. */
static long long ledger_time(const char *text)
{
	char line[512];
	long long t = -1;
	FILE *f = fopen(ledger, "re");

	ck_assert_ptr_nonnull(f);
	while (t < 0 && fgets(line, sizeof(line), f))
		if (strstr(line, text))
			t = strtoll(line, NULL, 10);
	fclose(f);
	return t;
}

/*
 * Guards against work that goes on after the lease, and against a lease that is not
 * measured by the worker's clock: at half speed it lasts twice as long.
 */
START_TEST(tasks_stop_when_the_lease_ends)
{
	orders_once("{\"lease_ms\":1000,\"epoch\":5,\"orders\":[" START("a", "1",
									"forever") "]}");
	fake_say(&fake, "POST", POLL, 503, "{}", NULL, 0);
	run("--drift 0.5");
	ck_assert(ledger_has(" a 1 end stopped\n"));
	ck_assert_int_ge(ledger_time(" end ") - ledger_time(" start "), 1300000);
	ck_assert(fake_wait(&fake, "\"state\":\"stopped\"", 1, WAIT_MS));
}
END_TEST

/* Guards against a stop that is not confirmed, or a start that arrives after its stop. */
START_TEST(stop_of_an_unknown_attempt_is_confirmed)
{
	orders_once(LEASE ORDER("stop", "a", "2") "]}");
	orders_once(LEASE START("a", "2", "forever") "," START("b", "1", "forever") "]}");
	orders_once(LEASE ORDER("stop", "b", "1") "]}");
	orders_once(LEASE ORDER("forget", "a", "2") "]}");
	orders_none();
	run("");
	ck_assert(ledger_has(" b 1 end stopped\n"));
	ck_assert_uint_eq(file_count(ledger, " a 2 start "), 0);
	polls(3);
	ck_assert_uint_ge(fake_count(&fake, "\"state\":\"stopped\""), 2);
}
END_TEST

/* Guards against a checkpoint that loses the progress of its task. */
START_TEST(checkpoint_and_resume)
{
	orders_once(LEASE START("a", "1", "sleep:2 cpu:1500") "]}");
	orders_once(LEASE "{\"op\":\"throttle\",\"task\":\"a\",\"attempt\":1,\"epoch\":5,"
			  "\"percent\":50}]}");
	orders_once(LEASE ORDER("checkpoint", "a", "1") "]}");
	fake_say(&fake, "POST", POLL, 200, LEASE "]}", NULL, 5);
	orders_once(LEASE ORDER("stop", "a", "1") "]}");
	fake_say(&fake, "POST", POLL, 200, LEASE "]}", NULL, 5);
	orders_once(LEASE RESUME("a", "2", "sleep:600", "7") "]}");
	orders_none();
	run("--checkpoint-ms 20 --lag-ms 0");
	ck_assert(ledger_has(" a 1 throttle slower\n"));
	ck_assert(ledger_has(" a 1 checkpoint written\n"));
	ck_assert(ledger_has(" a 1 end stopped\n"));
	ck_assert(ledger_has(" a 2 start resumed\n"));
	ck_assert(ledger_has(" a 2 end done\n"));
	ck_assert(fake_wait(&fake, "\"state\":\"checkpointed\"", 1, WAIT_MS));
	ck_assert_uint_ge(fake_count(&fake, "\"cpu_milli\":750"), 1);
}
END_TEST

/* Guards against a scheduler that exceeds a worker's size and is not noticed. */
START_TEST(overcommit_is_recorded)
{
	orders_once(LEASE START("a", "1", "forever") "," START("b", "1", "forever") "]}");
	orders_once(LEASE START("c", "1", "forever") "]}");
	orders_none();
	run("");
	ck_assert(ledger_has(" c 1 violation overcommit\n"));
	ck_assert_uint_eq(file_count(ledger, "violation"), 1);
}
END_TEST

/* Guards against usage that a scheduler could see before the stated lag. */
START_TEST(usage_lags)
{
	orders_once(LEASE START("a", "1", "forever cpu:1234") "]}");
	orders_none();
	run("--lag-ms 600000");
	ck_assert(ledger_has(" a 1 start "));
	polls(3);
	ck_assert_uint_eq(fake_count(&fake, "\"cpu_milli\":1234"), 0);
	ck_assert_uint_ge(fake_count(&fake, "\"cpu_milli\":0"), 1);
}
END_TEST

/* Guards against a bad worker that runs a task all the same. */
START_TEST(fail_all)
{
	orders_once(LEASE START("a", "1", "forever") "]}");
	orders_none();
	run("--fail-all");
	ck_assert(ledger_has(" a 1 end failed\n"));
}
END_TEST

/* Guards against a frozen worker that still polls or whose tasks outlive the lease. */
START_TEST(freeze)
{
	unsigned int n;

	orders_once("{\"lease_ms\":900,\"epoch\":5,\"orders\":[" START("a", "1",
								       "forever") "]}");
	fake_say(&fake, "POST", POLL, 200, "{\"lease_ms\":900,\"epoch\":5,\"orders\":[]}",
		 NULL, 0);
	run("--freeze 0.5:600");
	ck_assert(ledger_has(" a 1 end stopped\n"));
	n = fake_count(&fake, "POST ");
	usleep(300000);
	ck_assert_uint_eq(fake_count(&fake, "POST "), n);
}
END_TEST

/* Guards against 65 workers that poll under one name, or not all of them. */
START_TEST(one_process_acts_as_many_workers)
{
	run("--count 65 --rack-size 8 --zone pretoria-c");
	ck_assert(fake_wait(&fake, "POST ", 200, WAIT_MS));
	ck_assert_uint_ge(fake_count(&fake, "/v1/workers/w-1 "), 1);
	ck_assert_uint_ge(fake_count(&fake, "/v1/workers/w-65 "), 1);
	ck_assert_uint_ge(fake_count(&fake, "\"rack\":\"r-9\""), 1);
}
END_TEST

/* Guards against announcements without the true or the false load, or without leaving. */
START_TEST(upstream_announces)
{
	fake_say(&fake, "PUT", "/v1/upstreams/u", 200, "{}", NULL, 0);
	pid = tool_spawn("upstream --listen 127.0.0.1:22103 --control 127.0.0.1:22102 "
			 "--name u --zone pretoria-c --slots 8 --announce-ms 50");
	ck_assert(fake_wait(&fake,
			    "\"address\":\"127.0.0.1:22103\",\"zone\":\"pretoria-c\","
			    "\"slots\":8,\"state\":\"ready\",\"load\":0",
			    2, WAIT_MS));
	ck_assert_int_eq(tool_end(pid, SIGTERM), 0);
	ck_assert_uint_ge(fake_count(&fake, "\"state\":\"leaving\""), 2);
	pid = tool_spawn("upstream --listen 127.0.0.1:22103 --control 127.0.0.1:22102 "
			 "--name u --fail lie=77 --announce-ms 50");
	ck_assert(fake_wait(&fake, "\"load\":77", 1, WAIT_MS));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("worker");
	TCase *tc = tcase_create("worker");
	SRunner *sr;
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, task_ends_are_reported);
	tcase_add_test(tc, an_attempt_starts_once);
	tcase_add_test(tc, old_orders_are_ignored);
	tcase_add_test(tc, tasks_stop_when_the_lease_ends);
	tcase_add_test(tc, stop_of_an_unknown_attempt_is_confirmed);
	tcase_add_test(tc, checkpoint_and_resume);
	tcase_add_test(tc, overcommit_is_recorded);
	tcase_add_test(tc, usage_lags);
	tcase_add_test(tc, fail_all);
	tcase_add_test(tc, freeze);
	tcase_add_test(tc, one_process_acts_as_many_workers);
	tcase_add_test(tc, upstream_announces);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
