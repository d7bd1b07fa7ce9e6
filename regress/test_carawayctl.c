#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "regress/lib_fakehttp.h"

#define PORT 22101
#define CTL "carawayctl -a 127.0.0.1:22101 -T guild -t secret "

static struct fake fake;
static struct buf out;

static void setup(void)
{
	fake_open(&fake, PORT);
}

static void teardown(void)
{
	fake_close(&fake);
	buf_free(&out);
}

static char *temp_file(const char *text)
{
	static char name[64];
	int fd;

	snprintf(name, sizeof(name), "/tmp/cfctl.XXXXXX");
	fd = mkstemp(name);
	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(write(fd, text, strlen(text)), (int)strlen(text));
	close(fd);
	return name;
}

/* Guards against a misuse that is taken for a refusal, or that is sent all the same. */
START_TEST(usage_errors)
{
	static const char *const wrong[] = {
		"carawayctl",
		CTL,
		CTL "conf",
		CTL "conf get desk",
		CTL "conf put desk a",
		CTL "conf get desk ../a",
		CTL "conf get desk ..",
		CTL "zone off joburg-a",
		CTL "zone out",
		CTL "job submit",
		CTL "job show a/b",
		CTL "member add s4",
		CTL "member add s4 host",
		CTL "upstreams x",
		CTL "nothing",
		CTL "--nothing health",
		CTL "--timeout 0 health",
		CTL "-m x conf list",
		"carawayctl -a 127.0.0.1:22101 conf list",
		"carawayctl -T guild conf list",
		"carawayctl -T guild -t @/nonexistent conf list",
	};

	for (size_t i = 0; i < sizeof(wrong) / sizeof(wrong[0]); i++)
		ck_assert_msg(tool_run(&out, "%s", wrong[i]) == 2, "%s", wrong[i]);
	ck_assert_uint_eq(fake_count(&fake, "\n"), 0);
	ck_assert_int_eq(tool_run(&out, "carawayctl --version"), 0);
	ck_assert_ptr_nonnull(strstr(out.p, "carawayctl "));
}
END_TEST

/* Guards against a put that overwrites a change that its author has not seen. */
START_TEST(put_expects_the_version_that_was_read)
{
	char *file = temp_file("hold: 8\n");

	fake_say(&fake, "GET", "/v1/conf/guild/desk/a", 200,
		 "{\"revision\":41,\"text\":\"hold: 7\\n\"}", NULL, 0);
	fake_say(&fake, "PUT", "/v1/conf/guild/desk/a", 200, "{\"revision\":42}", NULL,
		 0);
	ck_assert_int_eq(tool_run(&out, CTL "conf put desk a %s", file), 0);
	ck_assert_uint_eq(fake_count(&fake, "PUT /v1/conf/guild/desk/a If-Match=41 "), 1);
	ck_assert_uint_eq(fake_count(&fake, "Authorization=Bearer secret hold: 8\n"), 1);
	ck_assert_int_eq(tool_run(&out, CTL "-m 7 conf put desk a %s", file), 0);
	ck_assert_uint_eq(fake_count(&fake, "PUT /v1/conf/guild/desk/a If-Match=7 "), 1);
	unlink(file);
}
END_TEST

/* Guards against a new document that is written over one made at the same time. */
START_TEST(put_of_a_new_document_expects_none)
{
	char *file = temp_file("hold: 8\n");

	fake_say(&fake, "PUT", "/v1/conf/guild/desk/a", 200, "{\"revision\":1}", NULL, 0);
	ck_assert_int_eq(tool_run(&out, CTL "conf put desk a %s", file), 0);
	ck_assert_uint_eq(fake_count(&fake, "If-Match=0 "), 1);
	unlink(file);
}
END_TEST

/* Guards against exit statuses that scripts cannot tell apart. */
START_TEST(exit_statuses)
{
	static const struct {
		const char *run;
		unsigned int status;
		int exit;
	} rows[] = {
		{NULL, 200, 0},	     {NULL, 201, 0}, {NULL, 400, 1}, {NULL, 401, 1},
		{NULL, 403, 1},	     {NULL, 404, 1}, {NULL, 422, 1}, {NULL, 409, 3},
		{NULL, 412, 3},	     {NULL, 503, 1}, {NULL, 500, 4}, {NULL, 502, 4},
		{NULL, 504, 4},	     {NULL, 507, 1}, {NULL, 0, 4},   {"not-run", 502, 1},
		{"unknown", 504, 4},
	};

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		fake_clear(&fake);
		fake_say(&fake, "DELETE", "/v1/jobs/guild/j1", rows[i].status, "{}",
			 rows[i].run, 0);
		ck_assert_msg(tool_run(&out, CTL "job cancel j1") == rows[i].exit,
			      "status %u: %s", rows[i].status, out.p);
	}
	ck_assert_int_eq(
		tool_run(&out, "carawayctl -a 127.0.0.1:22199 -T guild job cancel j1"),
		5);
}
END_TEST

/* Guards against a resend that the store takes for a second change. */
START_TEST(resend_keeps_the_request_id)
{
	char *id;
	char want[128];

	fake_say(&fake, "DELETE", "/v1/jobs/guild/j1", 0, NULL, NULL, 1);
	fake_say(&fake, "DELETE", "/v1/jobs/guild/j1", 503, "{}", NULL, 1);
	fake_say(&fake, "DELETE", "/v1/jobs/guild/j1", 200, "{}", NULL, 0);
	ck_assert_int_eq(tool_run(&out, CTL "-a 127.0.0.1:22101 job cancel j1"), 0);
	id = strstr(fake.log.p, "Request-Id=");
	ck_assert_ptr_nonnull(id);
	snprintf(want, sizeof(want), "%.*s", 11 + 32, id);
	ck_assert_uint_eq(fake_count(&fake, want), 3);
	ck_assert_int_eq(tool_run(&out, CTL "-r again-1 job cancel j1"), 0);
	ck_assert_uint_eq(fake_count(&fake, "Request-Id=again-1 "), 1);
}
END_TEST

/* Guards against a refusal after a lost answer being reported as a sure refusal. */
START_TEST(lost_then_refused_is_unknown)
{
	fake_say(&fake, "DELETE", "/v1/jobs/guild/j1", 0, NULL, NULL, 1);
	fake_say(&fake, "DELETE", "/v1/jobs/guild/j1", 503, "{}", NULL, 0);
	ck_assert_int_eq(tool_run(&out, CTL "job cancel j1"), 4);
	ck_assert_ptr_nonnull(strstr(out.p, "--request-id"));
}
END_TEST

/* Guards against a zone change in other words than the team's, or in a lost update. */
START_TEST(zone_uses_the_teams_words)
{
	fake_say(&fake, "GET", "/v1/conf/guild/vocabulary", 200,
		 "{\"revision\":1,\"text\":\"kinds: {house: zone, run: job}\\n"
		 "fields: {curtain: state}\\n\"}",
		 NULL, 0);
	fake_say(&fake, "GET", "/v1/conf/guild/house/joburg-a", 200,
		 "{\"revision\":9,\"text\":\"curtain: in\"}", NULL, 1);
	/* A change of another operator after the document was read. */
	fake_say(&fake, "GET", "/v1/conf/guild/house/joburg-a", 200,
		 "{\"revision\":12,\"text\":\"curtain: in\"}", NULL, 0);
	fake_say(&fake, "PUT", "/v1/conf/guild/house/joburg-a", 200, "{\"revision\":10}",
		 NULL, 0);
	ck_assert_int_eq(tool_run(&out, CTL "zone out joburg-a"), 0);
	ck_assert_uint_eq(
		fake_count(&fake, "PUT /v1/conf/guild/house/joburg-a If-Match=9 "), 1);
	ck_assert_uint_eq(fake_count(&fake, "\"curtain\": \"out\""), 1);
}
END_TEST

/* Guards against documents that the check lets through and the server refuses. */
START_TEST(local_check)
{
	static const struct {
		const char *text;
		int exit;
	} rows[] = {
		{"stand: 8\nlapse: 1500\n", 0},
		{"stand: -1\n", 1},
		{"stand: many\n", 1},
		{"other: 1\n", 1},
		{"stand: 1\nstand: 2\n", 1},
		{"stand: 1\nslots: 2\n", 1},
		{"stand: &a 1\nlapse: *a\n", 1},
		{"- 1\n", 1},
		{"stand: [1\n", 1},
		{"stand: 1\n---\nstand: 2\n", 1},
		{"", 1},
	};
	char vocabulary[64];

	snprintf(vocabulary, sizeof(vocabulary), "%s",
		 temp_file("kinds: {desk: service}\nfields: {stand: slots, lapse: "
			   "deadline_ms}\n"));
	ck_assert_int_eq(tool_run(&out, CTL "-n vocabulary put %s", vocabulary), 0);
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		char *file = temp_file(rows[i].text);

		ck_assert_msg(tool_run(&out, CTL "-n -V %s conf put desk a %s",
				       vocabulary, file) == rows[i].exit,
			      "%s: %s", rows[i].text, out.p);
		unlink(file);
	}
	ck_assert_uint_eq(fake_count(&fake, "\n"), 0);
	unlink(vocabulary);
}
END_TEST

/* Guards against a vocabulary that maps a word to something that does not exist. */
START_TEST(vocabulary_is_checked)
{
	static const char *const wrong[] = {
		"kinds: {desk: shop}\n", "kinds: {desk: service}\nfields: {a: b}\n",
		"other: {a: slots}\n", "kinds: desk\n", "words: {a: job}\n"};

	for (size_t i = 0; i < sizeof(wrong) / sizeof(wrong[0]); i++) {
		char *file = temp_file(wrong[i]);

		ck_assert_msg(tool_run(&out, CTL "vocabulary put %s", file) == 1, "%s",
			      wrong[i]);
		unlink(file);
	}
	ck_assert_uint_eq(fake_count(&fake, "\n"), 0);
}
END_TEST

/* Guards against counters or buckets that are lost or mixed when they are summed. */
START_TEST(stats_sum_over_addresses)
{
	fake_say(&fake, "GET", "/metrics", 200,
		 "# TYPE lat histogram\n"
		 "lat_bucket{team=\"guild\",class=\"urgent\",le=\"0.01\"} 90\n"
		 "lat_bucket{team=\"guild\",class=\"urgent\",le=\"0.1\"} 99\n"
		 "lat_bucket{team=\"guild\",class=\"urgent\",le=\"+Inf\"} 100\n"
		 "lat_sum{team=\"guild\",class=\"urgent\"} 5\n"
		 "lat_count{team=\"guild\",class=\"urgent\"} 100\n"
		 "refused_total{team=\"guild\"} 3\n"
		 "plain 7\n",
		 NULL, 0);
	ck_assert_int_eq(tool_run(&out, CTL "-a 127.0.0.1:22101 -j stats"), 0);
	ck_assert_ptr_nonnull(strstr(out.p, "\"count\": 200.0"));
	ck_assert_ptr_nonnull(strstr(out.p, "\"p50\": 0.01"));
	ck_assert_ptr_nonnull(strstr(out.p, "\"p99\": 0.10"));
	ck_assert_ptr_nonnull(strstr(out.p, "\"p999\": \"above\""));
	ck_assert_ptr_nonnull(strstr(out.p, "\"value\": 6.0"));
	ck_assert_ptr_nonnull(strstr(out.p, "\"value\": 14.0"));
	ck_assert_ptr_null(strstr(out.p, "lat_sum"));
}
END_TEST

/* Guards against quantiles of sums of cumulative counts that lack different buckets. */
START_TEST(stats_sum_sparse_buckets)
{
	fake_say(&fake, "GET", "/metrics", 200,
		 "lat_bucket{le=\"10\"} 60\nlat_bucket{le=\"+Inf\"} 60\n", NULL, 1);
	fake_say(&fake, "GET", "/metrics", 200,
		 "lat_bucket{le=\"20\"} 50\nlat_bucket{le=\"+Inf\"} 50\n", NULL, 1);
	ck_assert_int_eq(tool_run(&out, CTL "-a 127.0.0.1:22101 -j stats"), 0);
	ck_assert_ptr_nonnull(strstr(out.p, "\"count\": 110.0"));
	ck_assert_ptr_nonnull(strstr(out.p, "\"p50\": 10.0"));
	ck_assert_ptr_nonnull(strstr(out.p, "\"p999\": 20.0"));
}
END_TEST

/* Guards against a watch that skips or repeats changes between two polls. */
START_TEST(watch_continues_behind_the_index)
{
	fake_say(
		&fake, "GET", "/v1/watch/guild", 200,
		"{\"revision\":5,\"changes\":[{\"path\":\"/guild/desk/a\",\"revision\":5,"
		"\"deleted\":false}]}",
		NULL, 1);
	fake_say(
		&fake, "GET", "/v1/watch/guild", 200,
		"{\"revision\":8,\"changes\":[{\"path\":\"/guild/desk/a\",\"revision\":8,"
		"\"deleted\":true}]}",
		NULL, 0);
	ck_assert_int_eq(tool_run(&out, CTL "--after 3 --count 2 conf watch"), 0);
	ck_assert_str_eq(out.p, "5 set /guild/desk/a\n8 deleted /guild/desk/a\n");
	ck_assert_uint_eq(fake_count(&fake, "?after=3 "), 1);
	ck_assert_uint_eq(fake_count(&fake, "?after=5 "), 1);
}
END_TEST

/* Guards against an entry process that does not serve being reported as healthy. */
START_TEST(health_reports_the_worst)
{
	fake_say(&fake, "GET", "/healthz", 503, "{\"reason\":\"stale\"}", NULL, 1);
	fake_say(&fake, "GET", "/healthz", 200, "{}", NULL, 0);
	ck_assert_int_eq(tool_run(&out, CTL "health"), 1);
	ck_assert_ptr_nonnull(strstr(out.p, "stale"));
	ck_assert_int_eq(tool_run(&out, CTL "health"), 0);
	ck_assert_int_eq(tool_run(&out, CTL "-a 127.0.0.1:22199 health"), 5);
}
END_TEST

static char *log_file(const char *text)
{
	static char names[4][64];
	static int n;
	char *name = names[n++ % 4];

	snprintf(name, sizeof(names[0]), "%s", temp_file(text));
	return name;
}

/*
 * Guards against a history with lines of another id or in the order of the files, and one
 * that leaves out what happened to the workers and leaders meanwhile.
 */
START_TEST(explain_orders_the_lines_of_one_id)
{
	char *gateway = log_file(
		"time=2026-01-01T00:00:01.500Z level=INFO process=front-1 event=request "
		"kind=submit path=/q/0a1b outcome=ok ms=9\n"
		"time=2026-01-01T00:00:01.600Z level=INFO process=front-1 event=request "
		"kind=submit path=/q/0a1b2 outcome=ok ms=9\n"
		"level=WARN event=log-dropped lines=3 path=/q/0a1b\n");
	char *leader = log_file(
		"time=2026-01-01T00:00:01.000Z level=INFO process=core-1 "
		"event=worker-lost worker=w1 reason=\"no answer\" value=8\n"
		"time=2026-01-01T00:00:01.400Z level=INFO process=core-1 "
		"event=job-accepted job=0a1b queue=q\n"
		"  12.5 core-1 time=2026-01-01T00:00:02.000Z level=INFO process=core-1 "
		"event=worker-lost worker=w1 reason=\"no answer\" value=8\n"
		"time=2026-01-01T00:00:02.100Z level=INFO process=core-1 "
		"event=worker-lost worker=w2 reason=\"no answer\" value=8\n"
		"time=2026-01-01T00:00:02.200Z level=INFO process=core-1 "
		"event=leading-ended epoch=3\n"
		"time=2026-01-01T00:00:09.000Z level=INFO process=core-1 "
		"event=run-ended job=0a1b task=0.0.0 run=1 worker=w1 "
		"reason=\"lease ended\" value=3\n"
		"time=2026-01-01T00:00:09.500Z level=INFO process=core-1 "
		"event=worker-back worker=w1 value=2\n");
	static const char *const events[] = {"job-accepted", "request", "worker-lost",
					     "leading-ended", "lease ended"};
	char command[256];
	const char *at;

	snprintf(command, sizeof(command), "carawayctl explain 0a1b %s %s", gateway,
		 leader);
	ck_assert_int_eq(tool_run(&out, command), 0);
	at = out.p;
	for (size_t i = 0; i < sizeof(events) / sizeof(events[0]); i++) {
		at = strstr(at, events[i]);
		ck_assert_msg(at != NULL, "%s in %s", events[i], out.p);
	}
	ck_assert_ptr_null(strstr(out.p, "0a1b2"));
	ck_assert_ptr_null(strstr(out.p, "w2"));
	ck_assert_ptr_null(strstr(out.p, "worker-back"));
	ck_assert_ptr_null(strstr(out.p, "00:00:01.000Z"));
	snprintf(command, sizeof(command), "carawayctl -j explain 0a1b %s", leader);
	ck_assert_int_eq(tool_run(&out, command), 0);
	ck_assert_ptr_nonnull(strstr(out.p, "\"process\""));
	snprintf(command, sizeof(command), "carawayctl explain ffff %s", leader);
	ck_assert_int_eq(tool_run(&out, command), 1);
	ck_assert_int_eq(tool_run(&out, "carawayctl explain 0a1b"), 2);
	ck_assert_int_eq(tool_run(&out, "carawayctl explain 0a1b /nonexistent"), 2);
	unlink(gateway);
	unlink(leader);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("carawayctl");
	TCase *tc = tcase_create("carawayctl");
	SRunner *sr;
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, usage_errors);
	tcase_add_test(tc, put_expects_the_version_that_was_read);
	tcase_add_test(tc, put_of_a_new_document_expects_none);
	tcase_add_test(tc, exit_statuses);
	tcase_add_test(tc, resend_keeps_the_request_id);
	tcase_add_test(tc, lost_then_refused_is_unknown);
	tcase_add_test(tc, zone_uses_the_teams_words);
	tcase_add_test(tc, local_check);
	tcase_add_test(tc, vocabulary_is_checked);
	tcase_add_test(tc, stats_sum_over_addresses);
	tcase_add_test(tc, stats_sum_sparse_buckets);
	tcase_add_test(tc, watch_continues_behind_the_index);
	tcase_add_test(tc, health_reports_the_worst);
	tcase_add_test(tc, explain_orders_the_lines_of_one_id);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
