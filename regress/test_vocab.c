#include <check.h>
#include <stdlib.h>

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

static bool detail_is(const char *text)
{
	return str_eq(rig_detail(&rig), str_from(text));
}

static int find(const char *team, enum conf_kind kind, const char *name,
		struct conf_item *item)
{
	return conf_view_find(conf_current_docs(store_conf(rig.s)), str_from(team), kind,
			      str_from(name), item);
}

/* Guards against one team's words reaching another team. */
START_TEST(same_word_means_two_things)
{
	struct conf_item item;

	ck_assert_int_eq(rig_put(&rig, "/guild/vocabulary", 0, "v", "",
				 "kinds.booking=service fields.hold=slots"),
			 0);
	ck_assert_int_eq(rig_put(&rig, "/pinecrest/vocabulary", 0, "v", "",
				 "kinds.booking=job fields.hold=duration_s "
				 "fields.run=command"),
			 0);
	ck_assert_int_eq(rig_put(&rig, "/guild/booking/x", 0, "a", "", "hold=8"), 0);
	ck_assert_int_eq(
		rig_put(&rig, "/pinecrest/booking/x", 0, "a", "", "hold=60 run=sort"), 0);
	ck_assert_int_eq(find("guild", CONF_KIND_SERVICE, "x", &item), 0);
	ck_assert_uint_eq(conf_item_number(&item, CONF_SLOTS), 8);
	ck_assert_int_eq(find("guild", CONF_KIND_JOB, "x", &item), CF_ENOENT);
	ck_assert_int_eq(find("pinecrest", CONF_KIND_JOB, "x", &item), 0);
	ck_assert_uint_eq(conf_item_number(&item, CONF_DURATION_S), 60);
	ck_assert_int_eq(rig_put(&rig, "/third/booking/x", 0, "a", "", "hold=8"),
			 CF_EINVAL);
	ck_assert(detail_is("word \"booking\" is not in the vocabulary"));
}
END_TEST

/* Guards against a canonical word losing the meaning that its team gave it. */
START_TEST(canonical_word_can_be_remapped)
{
	struct conf_item item;

	ck_assert_int_eq(rig_put(&rig, "/t/vocabulary", 0, "v", "",
				 "kinds.job=service fields.tasks=slots"),
			 0);
	ck_assert_int_eq(rig_put(&rig, "/t/job/x", 0, "a", "", "tasks=3 cpus=0.25"), 0);
	ck_assert_int_eq(find("t", CONF_KIND_SERVICE, "x", &item), 0);
	ck_assert_uint_eq(conf_item_number(&item, CONF_SLOTS), 3);
	ck_assert_uint_eq(conf_item_number(&item, CONF_CPUS), 250);
	ck_assert_uint_eq(conf_item_number(&item, CONF_MAX_QUEUE), 256);
	ck_assert_int_eq(rig_put(&rig, "/t/job/y", 0, "b", "", "tasks=3 slots=4"),
			 CF_EINVAL);
	ck_assert(detail_is("field \"tasks\" has the meaning of another field"));
}
END_TEST

/* Guards against accepting values out of range, and against unclear errors. */
START_TEST(values_are_checked)
{
	static const struct {
		const char *path, *fields, *detail;
	} cases[] = {
		{"/t/service/x", "", "field \"slots\" is missing"},
		{"/t/service/x", "slots=0",
		 "field \"slots\": expected a whole number from 1 to 1024"},
		{"/t/service/x", "slots=1 cpus=1.0001",
		 "field \"cpus\": expected a number from 0.001 to 1024 with at most 3 "
		 "decimal places"},
		{"/t/service/x", "slots=1 speed=9",
		 "field \"speed\" is not known for this kind"},
		{"/t/service/x", "slots=1 slots=2", "a field name is empty or repeated"},
		{"/t/zone/x", "state=away", "field \"state\": expected one of in, out"},
		{"/t/job/x", "deadline=2026-02-29T00:00:00Z",
		 "field \"deadline\": expected seconds from 1 to 31536000 or a time of "
		 "the form 2026-12-04T05:00:00Z"},
		{"/t/job/x", "kind=a/b",
		 "field \"kind\": expected a name of at most 64 bytes"},
		{"/t/quota/x", "weight=1001",
		 "field \"weight\": expected a whole number from 1 to 1000"},
		{"/t/vocabulary", "kinds.x=thing",
		 "\"kinds.x\": expected service, job, zone or quota"},
		{"/t/vocabulary", "fields.x=thing",
		 "\"fields.x\": expected the name of a canonical field"},
		{"/t/vocabulary", "x=slots", "\"x\": expected kinds.WORD or fields.WORD"},
		{"/t/service", "slots=1", ""},
		{"t/service/x", "slots=1", "team or request id is missing or invalid"},
		{"/t/service/x/y", "slots=1", ""},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		char id[16];

		snprintf(id, sizeof(id), "r%zu", i);
		ck_assert_int_eq(rig_put(&rig, cases[i].path, 0, id, "", cases[i].fields),
				 CF_EINVAL);
		ck_assert_msg(detail_is(cases[i].detail), "%s: %.*s", cases[i].fields,
			      STR_ARG(rig_detail(&rig)));
	}
	ck_assert_uint_eq(conf_view_count(conf_current_docs(store_conf(rig.s))), 0);
}
END_TEST

/* Guards against a vocabulary that leaves stored documents without meaning. */
START_TEST(vocabulary_keeps_documents_valid)
{
	uint64_t v;

	ck_assert_int_eq(rig_put(&rig, "/t/vocabulary", 0, "v1", "",
				 "kinds.gig=service kinds.show=service "
				 "fields.seats=slots"),
			 0);
	v = rig.res.revision;
	ck_assert_int_eq(rig_put(&rig, "/t/gig/a", 0, "d1", "", "seats=4"), 0);
	ck_assert_int_eq(rig_put(&rig, "/t/show/a", 0, "d2", "", "seats=4"), CF_EINVAL);
	ck_assert(detail_is("name \"a\" is taken by a document of this kind"));
	ck_assert_int_eq(rig_put(&rig, "/t/vocabulary", v, "v2", "", "kinds.gig=service"),
			 CF_EINVAL);
	ck_assert(detail_is("/t/gig/a: field \"seats\" is not known for this kind"));
	ck_assert_int_eq(rig_put(&rig, "/t/vocabulary", v, "v3", "",
				 "kinds.gig=quota fields.seats=tasks"),
			 CF_EINVAL);
	ck_assert(detail_is("/t/gig/a: the word \"gig\" has stored documents"));
	ck_assert_int_eq(rig_delete(&rig, "/t/vocabulary", v, "v4"), CF_EINVAL);
	ck_assert_int_eq(rig_put(&rig, "/t/vocabulary", v, "v5", "",
				 "kinds.gig=service fields.seats=slots"),
			 0);
	v = rig.res.revision;
	ck_assert_int_eq(rig_delete(&rig, "/t/gig/a", v - 4, "d3"), CF_ECONFLICT);
	ck_assert_int_eq(rig_delete(&rig, "/t/gig/a", rig.res.revision, "d4"), 0);
	ck_assert_int_eq(rig_delete(&rig, "/t/vocabulary", v, "v6"), 0);
}
END_TEST

/* Guards against list elements and absolute deadlines that are read wrongly. */
START_TEST(lists_and_deadlines)
{
	struct conf_item item;
	struct str value;

	ck_assert_int_eq(rig_put(&rig, "/t/service/s", 0, "a", "",
				 "slots=1 idempotent.0=/fee idempotent.1=/quote"),
			 0);
	ck_assert_int_eq(find("t", CONF_KIND_SERVICE, "s", &item), 0);
	ck_assert(conf_item_list(&item, CONF_IDEMPOTENT, 1, &value));
	ck_assert(str_eq(value, STR("/quote")));
	ck_assert(!conf_item_list(&item, CONF_IDEMPOTENT, 2, &value));
	ck_assert_int_eq(
		rig_put(&rig, "/t/job/j", 0, "b", "", "deadline=2026-12-04T05:00:00Z"),
		0);
	ck_assert_int_eq(find("t", CONF_KIND_JOB, "j", &item), 0);
	ck_assert_uint_eq(conf_item_deadline_us(&item, 7), 1796360400ULL * 1000000);
	ck_assert_int_eq(rig_put(&rig, "/t/job/k", 0, "c", "", "deadline=90"), 0);
	ck_assert_int_eq(find("t", CONF_KIND_JOB, "k", &item), 0);
	ck_assert_uint_eq(conf_item_deadline_us(&item, 7), 90000007);
}
END_TEST

/* Guards against documents whose check takes too long. */
START_TEST(entries_and_elements_are_bounded)
{
	struct buf fields = {0};

	for (int i = 0; i <= VOCAB_MAX_ELEMENTS; i++) {
		buf_addf(&fields, "%sidempotent.%d=/p%d", i ? " " : "", i, i);
		if (i == VOCAB_MAX_ELEMENTS - 1) {
			struct buf fits = {0};

			buf_addf(&fits, "%s slots=1", fields.p);
			ck_assert_int_eq(
				rig_put(&rig, "/t/service/a", 0, "a", "", fits.p), 0);
			buf_free(&fits);
		}
	}
	buf_adds(&fields, " slots=1");
	ck_assert_int_eq(rig_put(&rig, "/t/service/b", 0, "b", "", fields.p), CF_EINVAL);
	ck_assert(detail_is("\"idempotent.9\" is above the limit of 32"));
	fields.n = 0;
	for (int i = 0; i <= VOCAB_MAX_ENTRIES; i++)
		buf_addf(&fields, "%sfields.w%d=cpus", i ? " " : "", i);
	ck_assert_int_eq(rig_put(&rig, "/t/vocabulary", 0, "v", "", fields.p), CF_EINVAL);
	ck_assert(detail_is("\"vocabulary\" is above the limit of 128"));
	buf_free(&fields);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("vocab");
	TCase *tc = tcase_create("vocab");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, open_rig, close_rig);
	tcase_add_test(tc, same_word_means_two_things);
	tcase_add_test(tc, canonical_word_can_be_remapped);
	tcase_add_test(tc, values_are_checked);
	tcase_add_test(tc, vocabulary_keeps_documents_valid);
	tcase_add_test(tc, entries_and_elements_are_bounded);
	tcase_add_test(tc, lists_and_deadlines);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
