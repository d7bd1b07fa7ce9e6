#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "regress/lib_store.h"

static struct rig rig;

static void open_rig(void)
{
	rig_open(&rig);
}

static void close_rig(void)
{
	rig_close(&rig);
}

/* Starts again with the options that the test changed. */
static void restart(void)
{
	rig_reopen(&rig);
	rig.index = 0;
}

static const struct conf_doc *get(const char *path)
{
	return conf_view_get(conf_current_docs(store_conf(rig.s)), str_from(path));
}

static bool detail_is(const char *text)
{
	return str_eq(rig_detail(&rig), str_from(text));
}

/* Guards against two changes with equal expected revision that both succeed. */
START_TEST(one_of_two_equal_revisions_wins)
{
	uint64_t v;

	ck_assert_int_eq(rig_put(&rig, "/t/zone/a", 0, "r1", "first", "state=in"), 0);
	ck_assert_int_eq(rig_put(&rig, "/t/zone/a", 0, "r2", "second", "state=out"),
			 CF_ECONFLICT);
	ck_assert_uint_eq(rig.res.revision, 1);
	ck_assert(detail_is("first"));
	v = 1;
	ck_assert_int_eq(rig_put(&rig, "/t/zone/a", v, "r3", "third", "state=out"), 0);
	ck_assert_uint_eq(rig.res.revision, 3);
	ck_assert_int_eq(rig_put(&rig, "/t/zone/a", v, "r4", "fourth", "state=in"),
			 CF_ECONFLICT);
	ck_assert_uint_eq(rig.res.revision, 3);
	ck_assert(detail_is("third"));
	ck_assert_int_eq(rig_delete(&rig, "/t/zone/a", v, "r5"), CF_ECONFLICT);
	ck_assert(str_eq(conf_doc_text(get("/t/zone/a")), STR("third")));
}
END_TEST

/*
 * Guards against a resend, after the answer was lost, that is applied again or is told
 * a conflict with itself.
 */
START_TEST(resend_after_lost_answer)
{
	struct buf sent = {0};

	ck_assert_int_eq(rig_put(&rig, "/t/zone/a", 0, "r1", "one", "state=in"), 0);
	buf_set(&sent, buf_str(&rig.command));
	ck_assert_int_eq(rig_put(&rig, "/t/zone/a", 1, "r2", "two", "state=out"), 0);
	store_set_command_time(&sent, rig.now_us + 5);
	ck_assert_int_eq(rig_apply(&rig, buf_str(&sent)), 0);
	ck_assert_uint_eq(rig.res.revision, 1);
	ck_assert(str_eq(conf_doc_text(get("/t/zone/a")), STR("two")));
	/* The same id of another team is another change. */
	ck_assert_int_eq(rig_put(&rig, "/u/zone/a", 0, "r1", "one", "state=in"), 0);
	ck_assert_int_eq(rig_put(&rig, "/t/zone/a", 0, "r1", "other", "state=in"),
			 CF_EREUSED);
	ck_assert_int_eq(rig_delete(&rig, "/t/zone/a", 2, "r1"), CF_EREUSED);
	/* A refused change stays refused when a delayed copy of it arrives. */
	ck_assert_int_eq(rig_put(&rig, "/t/zone/b", 8, "r3", "b", "state=in"),
			 CF_ECONFLICT);
	buf_set(&sent, buf_str(&rig.command));
	ck_assert_int_eq(rig_put(&rig, "/t/zone/b", 0, "r4", "b", "state=in"), 0);
	ck_assert_uint_eq(rig.res.revision, 8);
	ck_assert_int_eq(rig_apply(&rig, buf_str(&sent)), CF_ECONFLICT);
	buf_free(&sent);
}
END_TEST

/* Guards against duplicate suppression that a snapshot loses. */
START_TEST(resend_after_restore)
{
	struct buf put = {0};
	struct buf job = {0};

	ck_assert_int_eq(rig_put(&rig, "/t/zone/a", 0, "r1", "one", "state=in"), 0);
	buf_set(&put, buf_str(&rig.command));
	ck_assert_int_eq(rig_delete(&rig, "/t/zone/a", 1, "r2"), 0);
	ck_assert_int_eq(rig_submit(&rig, "t", "j", "r3", "command=x"), 0);
	buf_set(&job, buf_str(&rig.command));
	rig_restore(&rig);
	ck_assert_int_eq(rig_apply(&rig, buf_str(&put)), 0);
	ck_assert_uint_eq(rig.res.revision, 1);
	ck_assert_ptr_null(get("/t/zone/a"));
	ck_assert_int_eq(rig_apply(&rig, buf_str(&job)), 0);
	ck_assert_uint_eq(rig.res.revision, 3);
	ck_assert_uint_eq(jobs_count(store_jobs(rig.s)), 1);
	buf_free(&put);
	buf_free(&job);
}
END_TEST

static struct conf_change zone_change(uint64_t revision, const char *text, bool deleted)
{
	return (struct conf_change){.path = STR("/t/zone/a"),
				    .revision = revision,
				    .deleted = deleted,
				    .text = str_from(text)};
}

/* Guards against a read copy that applies an older revision after a newer one. */
START_TEST(read_copy_never_goes_back)
{
	struct conf_change old = zone_change(3, "old", false);
	struct conf_change new = zone_change(5, "new", false);
	struct conf_change gone = zone_change(7, "", true);
	struct conf_change both[] = {old, new};
	struct conf_change bad[] = {gone, zone_change(8, "bad", false)};
	struct conf_view *v;

	ck_assert_int_eq(conf_view_new(&rig.options.conf.view, &v), 0);
	ck_assert_int_eq(conf_view_advance(v, 0, 6, both, 2), 0);
	ck_assert_int_eq(conf_view_advance(v, 0, 4, both, 1), CF_ESTALE);
	ck_assert_int_eq(conf_view_replace(v, 4, both, 1), CF_ESTALE);
	/* A late copy of a reply that reaches further, but starts from before. */
	ck_assert_int_eq(conf_view_advance(v, 0, 6, &old, 1), 0);
	ck_assert(str_eq(conf_doc_text(conf_view_get(v, old.path)), STR("new")));
	/* A reply that would leave a gap, and one in the wrong order. */
	ck_assert_int_eq(conf_view_advance(v, 7, 9, &bad[1], 1), CF_EINVAL);
	ck_assert_int_eq(conf_view_advance(v, 6, 9, both, 1), CF_EINVAL);
	/* A failure halfway must not let an older complete copy in. */
	bad[1].path = STR("bad path");
	ck_assert_int_eq(conf_view_advance(v, 6, 8, bad, 2), CF_EINVAL);
	ck_assert_uint_eq(conf_view_index(v), 6);
	ck_assert_int_eq(conf_view_replace(v, 6, &new, 1), CF_ESTALE);
	ck_assert_int_eq(conf_view_advance(v, 6, 8, bad, 1), 0);
	ck_assert_uint_eq(conf_view_count(v), 0);
	/* The deletion must not be undone. */
	ck_assert_int_eq(conf_view_advance(v, 0, 8, both, 2), 0);
	ck_assert_uint_eq(conf_view_count(v), 0);
	conf_view_free(v);
}
END_TEST

/* Guards against fields from another process that are cut, unsorted or repeated. */
START_TEST(read_copy_checks_fields)
{
	/* One field "b" with the value "x". */
	static const char good[] = "\0\0\0\1\0\0\0\1b\0\0\0\0\0\0\1x\0\0\0";
	char two[2 * sizeof(good)];
	struct conf_change c = zone_change(1, "text", false);
	struct conf_view *v;
	size_t n = sizeof(good) - 1;

	ck_assert_int_eq(conf_view_new(&rig.options.conf.view, &v), 0);
	for (size_t i = 1; i < n; i++) {
		c.fields = (struct str){good, i};
		ck_assert_int_eq(conf_view_advance(v, 0, 1, &c, 1), CF_EMALFORMED);
	}
	memcpy(two, good, n);
	memcpy(two + n, good + 4, n - 4);
	two[3] = 2;
	c.fields = (struct str){two, 2 * n - 4};
	ck_assert_int_eq(conf_view_advance(v, 0, 1, &c, 1), CF_EMALFORMED);
	two[n + 4] = 'a';
	ck_assert_int_eq(conf_view_advance(v, 0, 1, &c, 1), CF_EMALFORMED);
	two[n + 4] = 'c';
	ck_assert_int_eq(conf_view_advance(v, 0, 1, &c, 1), 0);
	conf_view_free(v);
}
END_TEST

/* Guards against an observer that is not told about cut history or a deletion. */
START_TEST(changes_after_a_revision)
{
	const struct conf *c;
	const struct conf_doc *doc;

	rig.options.conf.changes = 3;
	rig.options.conf.versions = 2;
	restart();
	ck_assert_int_eq(rig_put(&rig, "/t/zone/a", 0, "r1", "1", "state=in"), 0);
	ck_assert_int_eq(rig_put(&rig, "/t/zone/b", 0, "r2", "2", "state=in"), 0);
	ck_assert_int_eq(rig_delete(&rig, "/t/zone/a", 1, "r3"), 0);
	ck_assert_int_eq(rig_put(&rig, "/t/zone/b", 2, "r4", "4", "state=in"), 0);
	rig_restore(&rig);
	c = store_conf(rig.s);
	ck_assert(!conf_complete_after(c, 0));
	ck_assert(conf_complete_after(c, 1));
	doc = conf_change_after(c, 1);
	ck_assert_uint_eq(doc->revision, 2);
	doc = conf_change_after(c, 2);
	ck_assert_uint_eq(doc->revision, 3);
	ck_assert(doc->deleted);
	ck_assert_ptr_null(conf_change_after(c, 4));
	doc = conf_version_before(c, STR("/t/zone/b"), 4);
	ck_assert(str_eq(conf_doc_text(doc), STR("2")));
	/* The bound on one path keeps the log complete for observers. */
	ck_assert_int_eq(rig_put(&rig, "/t/zone/b", 4, "r5", "5", "state=in"), 0);
	c = store_conf(rig.s);
	ck_assert(conf_complete_after(c, 1));
	ck_assert_uint_eq(conf_change_after(c, 1)->revision, 3);
	ck_assert_uint_eq(conf_change_after(c, 3)->revision, 4);
}
END_TEST

/* Guards against unbounded memory, and a team that takes another one's share. */
START_TEST(bounds_are_per_team)
{
	char text[300];
	char path[32];
	char id[16];
	size_t docs;

	rig.options.conf.text_bytes = 256;
	rig.options.conf.history_bytes = 2000;
	rig.options.conf.view.teams = 3;
	rig.options.conf.view.docs = (struct share_options){2, 2, 3};
	restart();
	memset(text, 'x', sizeof(text));
	text[257] = '\0';
	ck_assert_int_eq(rig_put(&rig, "/t/zone/a", 0, "big", text, "state=in"),
			 CF_ETOOBIG);
	text[256] = '\0';
	for (int i = 0; i < 5; i++) {
		snprintf(path, sizeof(path), "/t/zone/z%d", i);
		snprintf(id, sizeof(id), "a%d", i);
		ck_assert_int_eq(rig_put(&rig, path, 0, id, text, "state=in"),
				 i < 3 ? 0 : CF_ENOSPACE);
	}
	for (int i = 0; i < 3; i++) {
		snprintf(path, sizeof(path), "/u/zone/z%d", i);
		ck_assert_int_eq(rig_put(&rig, path, 0, path + 8, text, "state=in"), 0);
		snprintf(path, sizeof(path), "/v/zone/z%d", i);
		ck_assert_int_eq(rig_put(&rig, path, 0, path + 8, text, "state=in"),
				 i < 2 ? 0 : CF_ENOSPACE);
	}
	ck_assert_int_eq(rig_put(&rig, "/w/zone/a", 0, "w", text, "state=in"),
			 CF_ENOSPACE);
	docs = conf_view_bytes(conf_current_docs(store_conf(rig.s)));
	for (int i = 0; i < 100; i++) {
		snprintf(id, sizeof(id), "b%d", i);
		ck_assert_int_eq(rig_put(&rig, "/t/zone/z0", get("/t/zone/z0")->revision,
					 id, text, "state=in"),
				 0);
		ck_assert_uint_le(conf_history_bytes(store_conf(rig.s)), 2000);
	}
	ck_assert_uint_eq(conf_view_bytes(conf_current_docs(store_conf(rig.s))), docs);
}
END_TEST

/* Guards against results that are kept for ever, or dropped for another team's. */
START_TEST(results_are_bounded_per_team)
{
	struct buf first = {0};
	char id[16];

	rig.options.dedup.bytes = (struct share_options){1000, 0, 1000};
	rig.options.dedup.teams = 2;
	restart();
	ck_assert_int_eq(rig_put(&rig, "/u/zone/a", 0, "u1", "u", "state=in"), 0);
	buf_set(&first, buf_str(&rig.command));
	for (int i = 0; i < 100; i++) {
		snprintf(id, sizeof(id), "r%d", i);
		ck_assert_int_eq(rig_delete(&rig, "/t/zone/a", 0, id), CF_ENOENT);
	}
	ck_assert_uint_le(dedup_bytes(store_dedup(rig.s)), 2000 + 64 * 8);
	ck_assert_uint_lt(dedup_count(store_dedup(rig.s)), 20);
	ck_assert_int_eq(rig_apply(&rig, buf_str(&first)), 0);
	ck_assert_uint_eq(rig.res.revision, 1);
	rig.now_us += rig.options.dedup.keep_us + 60000000;
	rig_run(&rig, CMD_NOP, NULL);
	ck_assert_uint_eq(dedup_count(store_dedup(rig.s)), 0);
	ck_assert_int_eq(rig_apply(&rig, buf_str(&first)), CF_ECONFLICT);
	/* Teams without results no longer count. */
	ck_assert_int_eq(rig_put(&rig, "/v/zone/a", 0, "v1", "v", "state=in"), 0);
	ck_assert_int_eq(rig_put(&rig, "/w/zone/a", 0, "w1", "w", "state=in"),
			 CF_ENOSPACE);
	buf_free(&first);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("conf");
	TCase *tc = tcase_create("conf");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, open_rig, close_rig);
	tcase_add_test(tc, one_of_two_equal_revisions_wins);
	tcase_add_test(tc, resend_after_lost_answer);
	tcase_add_test(tc, resend_after_restore);
	tcase_add_test(tc, read_copy_never_goes_back);
	tcase_add_test(tc, read_copy_checks_fields);
	tcase_add_test(tc, changes_after_a_revision);
	tcase_add_test(tc, bounds_are_per_team);
	tcase_add_test(tc, results_are_bounded_per_team);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
