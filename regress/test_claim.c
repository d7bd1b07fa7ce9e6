#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/err.h"
#include "core/keyset.h"
#include "regress/lib_store.h"

#define MINUTE_US (60 * 1000000ULL)
#define HOUR_US (60 * MINUTE_US)

static struct rig rig;

static void open_rig(void)
{
	rig_open(&rig);
	ck_assert_int_eq(rig_entry(&rig, "e1", 1), 0);
	ck_assert_int_eq(rig_entry(&rig, "e2", 1), 0);
}

static void close_rig(void)
{
	rig_close(&rig);
}

/* A claim of entry process e1 on a key of guild's gigdesk. */
static struct lib_claim claim(const char *key, uint64_t sequence)
{
	return (struct lib_claim){"guild", "gigdesk", key, "e1", 1, sequence, 7};
}

static void pass(uint64_t time_us)
{
	rig.now_us += time_us;
	ck_assert_int_eq(rig_run(&rig, CMD_NOP, NULL), 0);
}

static bool outcome_is(uint32_t status, const char *body)
{
	const struct command_outcome *o = rig.res.outcome;

	return o && o->status == status && str_eq(XDR_STR(*o, body), str_from(body));
}

/* Guards against a second grant of a key, and against a wrong answer in any state. */
START_TEST(each_state_answers)
{
	struct lib_claim a = claim("k", 1);
	struct lib_claim b = claim("k", 2);
	struct lib_claim other = claim("k", 3);

	other.hash = 8;
	ck_assert_int_eq(rig_claim(&rig, &a), 0);
	ck_assert_ptr_null(rig.res.outcome);
	ck_assert_int_eq(rig_claim(&rig, &a), 0); /* resend of a lost answer */
	ck_assert_int_eq(rig_claim(&rig, &b), CF_EINPROGRESS);
	ck_assert_int_eq(rig_claim(&rig, &other), CF_EREUSED);
	ck_assert_int_eq(rig_claim_done(&rig, &b, 200, STR("no")), CF_ESTALE);
	ck_assert_int_eq(rig_claim_done(&rig, &a, 201, STR("paid")), 0);
	ck_assert_int_eq(rig_claim_done(&rig, &a, 500, STR("late copy")), 0);
	ck_assert_int_eq(rig_claim(&rig, &b), 0);
	ck_assert(outcome_is(201, "paid"));
	ck_assert_int_eq(rig_claim(&rig, &other), CF_EREUSED);
	ck_assert_int_eq(rig_claim_end(&rig, &a, CMD_CLAIM_ABORT), CF_ESTALE);
	rig_restore(&rig);
	ck_assert_int_eq(rig_claim(&rig, &b), 0);
	ck_assert(outcome_is(201, "paid"));

	a = claim("u", 4);
	b = claim("u", 5);
	ck_assert_int_eq(rig_claim(&rig, &a), 0);
	ck_assert_int_eq(rig_claim_end(&rig, &a, CMD_CLAIM_UNKNOWN), 0);
	ck_assert_int_eq(rig_claim(&rig, &b), CF_EUNKNOWN);
	ck_assert_int_eq(rig_claim_end(&rig, &a, CMD_CLAIM_ABORT), CF_ESTALE);
	ck_assert_int_eq(rig_claim_done(&rig, &a, 200, STR("late")), 0);
	ck_assert_int_eq(rig_claim(&rig, &b), 0);
	ck_assert(outcome_is(200, "late"));
}
END_TEST

/*
 * Guards against a delayed copy of an abort that gives back a later claim on the key,
 * whose request may be at an upstream already.
 */
START_TEST(delayed_abort_misses_a_later_claim)
{
	struct lib_claim a = claim("k", 1);
	struct lib_claim b = claim("k", 2);
	struct lib_claim c = claim("k", 3);

	ck_assert_int_eq(rig_claim(&rig, &a), 0);
	ck_assert_int_eq(rig_claim_end(&rig, &a, CMD_CLAIM_ABORT), 0);
	ck_assert_int_eq(rig_claim(&rig, &b), 0);
	ck_assert_int_eq(rig_claim_end(&rig, &a, CMD_CLAIM_ABORT), CF_ESTALE);
	ck_assert_int_eq(rig_claim(&rig, &c), CF_EINPROGRESS);
}
END_TEST

/* Guards against a grant, or a wait forever, when the owner is gone. */
START_TEST(owner_gone_makes_unknown)
{
	struct lib_claim a = claim("a", 1);
	struct lib_claim b = claim("b", 2);
	struct lib_claim retry = {"guild", "gigdesk", "a", "e2", 1, 9, 7};
	struct command_member_gone gone = {.id = {.incarnation = 2}};

	ck_assert_int_eq(rig_claim(&rig, &a), 0);
	ck_assert_int_eq(rig_claim(&rig, &retry), CF_EINPROGRESS);
	ck_assert_int_eq(rig_entry(&rig, "e1", 2), 0); /* restarted */
	ck_assert_int_eq(rig_claim(&rig, &retry), CF_EUNKNOWN);
	ck_assert_int_eq(rig_claim(&rig, &b), CF_ENOENT); /* of the ended incarnation */
	a.incarnation = 2; /* numbers its requests from the start again */
	ck_assert_int_eq(rig_claim_done(&rig, &a, 200, STR("of another")), CF_ESTALE);
	b.incarnation = 2;
	ck_assert_int_eq(rig_claim(&rig, &b), 0);
	XDR_SET(gone.id, name, STR("e1"));
	ck_assert_int_eq(rig_run(&rig, CMD_MEMBER_GONE, &gone), 0);
	retry.key = "b";
	ck_assert_int_eq(rig_claim(&rig, &retry), CF_EUNKNOWN);
	ck_assert_int_eq(rig_entry(&rig, "e1", 2), CF_ESTALE);
	ck_assert_int_eq(rig_entry(&rig, "e1", 3), 0);
	rig_restore(&rig);
	ck_assert_int_eq(rig_claim(&rig, &retry), CF_EUNKNOWN);
}
END_TEST

/*
 * Guards against entry processes that count as gone only because no leader recorded
 * them, and against one that is never found to be gone.
 */
START_TEST(unseen_owner_is_gone_in_one_epoch)
{
	struct lib_claim a = claim("a", 1);
	struct lib_claim retry = {"guild", "gigdesk", "a", "e2", 1, 9, 7};

	ck_assert_int_eq(rig_claim(&rig, &a), 0);
	rig.now_us += HOUR_US / 6;
	ck_assert_int_eq(rig_seen(&rig, 5, "e2", 1), 0);
	ck_assert_int_eq(rig_claim(&rig, &retry), CF_EINPROGRESS);
	ck_assert_int_eq(rig_seen(&rig, 4, "e1", 1), CF_ESTALE);
	rig.now_us += rig.options.member.gone_timeout_us;
	ck_assert_int_eq(rig_seen(&rig, 5, "e2", 1), 0);
	ck_assert_int_eq(rig_claim(&rig, &retry), CF_EINPROGRESS);
	rig_restore(&rig);
	rig.now_us++;
	ck_assert_int_eq(rig_seen(&rig, 5, "e2", 1), 0);
	ck_assert_int_eq(rig_claim(&rig, &retry), CF_EUNKNOWN);
	ck_assert_int_eq(rig_seen(&rig, 5, "e1", 1), 0);
	ck_assert(!members_entry_is_live(store_members(rig.s), STR("e1"), 1));
}
END_TEST

/* Guards against a claim that stays open because its grant was a delayed copy. */
START_TEST(open_claim_becomes_unknown)
{
	struct lib_claim a = claim("a", 1);
	struct lib_claim b = claim("a", 2);

	ck_assert_int_eq(rig_claim(&rig, &a), 0);
	pass(rig.options.claim.open_us - MINUTE_US);
	ck_assert_int_eq(rig_claim(&rig, &b), CF_EINPROGRESS);
	pass(2 * MINUTE_US);
	ck_assert_int_eq(rig_claim(&rig, &b), CF_EUNKNOWN);
}
END_TEST

/* Guards against a key that runs again before the published time. */
START_TEST(expired_key_is_refused_until_forgotten)
{
	struct lib_claim a = claim("a", 1);
	struct lib_claim b = claim("a", 2);
	uint64_t ended;

	ck_assert_int_eq(rig_claim(&rig, &a), 0);
	ck_assert_int_eq(rig_claim_done(&rig, &a, 200, STR("x")), 0);
	ended = rig.now_us;
	pass(rig.options.claim.keep_us + MINUTE_US);
	ck_assert_uint_eq(claims_count(store_claims(rig.s), CLAIM_EXPIRED), 1);
	while (rig.now_us + MINUTE_US < ended + rig.options.claim.forget_us) {
		ck_assert_int_eq(rig_claim(&rig, &b), CF_ESTALE);
		pass(HOUR_US / 2);
		if ((rig.now_us / HOUR_US) % 8 == 0)
			rig_restore(&rig);
	}
	pass(2 * HOUR_US);
	ck_assert_uint_eq(claims_count(store_claims(rig.s), CLAIM_EXPIRED), 0);
	ck_assert_int_eq(rig_claim(&rig, &b), 0);
	ck_assert_ptr_null(rig.res.outcome);
}
END_TEST

/* Guards against a team that fills the share of another, or forgets keys early. */
START_TEST(bounds_are_per_team)
{
	struct claim_options *o = &rig.options.claim;
	struct lib_claim c;
	char key[16];
	int granted = 0;

	o->claims = (struct share_options){4, 8, 10};
	o->expired = (struct share_options){4, 8, 6};
	rig_reopen(&rig);
	rig.index = 0;
	ck_assert_int_eq(rig_entry(&rig, "e1", 1), 0);
	for (uint64_t i = 0; i < 100; i++) {
		int err;

		snprintf(key, sizeof(key), "k%d", (int)i);
		c = claim(key, i);
		err = rig_claim(&rig, &c);
		ck_assert(err == 0 || err == CF_ENOSPACE);
		granted += !err;
		if (!err)
			ck_assert_int_eq(rig_claim_done(&rig, &c, 200, STR("y")), 0);
	}
	/* 10 kept and 6 expired; then new keys are refused, old ones not forgotten. */
	ck_assert_int_eq(granted, 16);
	for (uint64_t i = 0; i < 16; i++) {
		snprintf(key, sizeof(key), "k%d", (int)i);
		c = claim(key, 1000 + i);
		ck_assert_int_eq(rig_claim(&rig, &c), i < 6 ? CF_ESTALE : 0);
		ck_assert(i < 6 || outcome_is(200, "y"));
	}
	rig_restore(&rig);
	c = claim("x", 5000);
	ck_assert_int_eq(rig_claim(&rig, &c), CF_ENOSPACE);
	c.team = "pinecrest";
	for (uint64_t i = 0; i < 4; i++) {
		snprintf(key, sizeof(key), "k%d", (int)i);
		c.key = key;
		c.sequence++;
		ck_assert_int_eq(rig_claim(&rig, &c), 0);
		ck_assert_ptr_null(rig.res.outcome);
	}
}
END_TEST

/*
 * Guards against a team that counts against the bound on teams at one replica only,
 * because it has nothing that a snapshot carries.
 */
START_TEST(team_without_claims_is_forgotten)
{
	struct lib_claim a = claim("a", 1);
	struct lib_claim b = claim("b", 2);
	struct lib_claim c;

	rig.options.claim.teams = 1;
	rig_reopen(&rig);
	rig.index = 0;
	ck_assert_int_eq(rig_entry(&rig, "e1", 1), 0);
	ck_assert_int_eq(rig_claim(&rig, &a), 0);
	b.team = "pinecrest";
	ck_assert_int_eq(rig_claim(&rig, &b), CF_ENOSPACE);
	ck_assert_int_eq(rig_claim_end(&rig, &a, CMD_CLAIM_ABORT), 0);
	ck_assert_int_eq(rig_claim(&rig, &b), 0);

	/* A team whose only claim was refused. */
	rig.options.claim.teams = 2;
	rig.options.claim.claims = (struct share_options){0, 2, 2};
	rig_reopen(&rig);
	rig.index = 0;
	ck_assert_int_eq(rig_entry(&rig, "e1", 1), 0);
	c = claim("c", 3);
	ck_assert_int_eq(rig_claim(&rig, &a), 0);
	ck_assert_int_eq(rig_claim(&rig, &c), 0);
	ck_assert_int_eq(rig_claim(&rig, &b), CF_ENOSPACE);
	ck_assert_int_eq(rig_claim_end(&rig, &a, CMD_CLAIM_ABORT), 0);
	b.team = "third";
	ck_assert_int_eq(rig_claim(&rig, &b), 0);
}
END_TEST

/* Guards against outcomes above the bound, and against dropping the present claim. */
START_TEST(outcome_bytes_are_bounded)
{
	struct claim_options *o = &rig.options.claim;
	static const char body[101];
	struct lib_claim a = claim("a", 1);
	struct lib_claim b = claim("b", 2);
	struct lib_claim big = claim("big", 3);
	struct lib_claim retry = claim("a", 4);

	o->body_bytes = 100;
	o->outcomes = (struct share_options){150, 0, 150};
	rig_reopen(&rig);
	rig.index = 0;
	ck_assert_int_eq(rig_entry(&rig, "e1", 1), 0);
	ck_assert_int_eq(rig_claim(&rig, &a), 0);
	ck_assert_int_eq(rig_claim(&rig, &b), 0);
	ck_assert_int_eq(rig_claim(&rig, &big), 0);
	ck_assert_int_eq(rig_claim_done(&rig, &a, 200, (struct str){body, 100}), 0);
	ck_assert_int_eq(rig_claim_done(&rig, &b, 200, (struct str){body, 100}), 0);
	ck_assert_int_eq(rig_claim(&rig, &retry), CF_ESTALE);
	ck_assert_int_eq(rig_claim_done(&rig, &big, 200, (struct str){body, 101}),
			 CF_ETOOBIG);
	big.sequence = 5;
	ck_assert_int_eq(rig_claim(&rig, &big), CF_EUNKNOWN);
}
END_TEST

/* Guards against a key that is forgotten with an older one of the same fingerprint. */
START_TEST(equal_fingerprints_are_kept_apart)
{
	struct keyset s = {0};
	bool added;

	ck_assert_int_eq(keyset_add(&s, 1, 7, &added), 0);
	ck_assert(added);
	ck_assert_int_eq(keyset_add(&s, 2, 7, &added), 0);
	ck_assert(added);
	ck_assert_int_eq(keyset_add(&s, 2, 7, &added), 0);
	ck_assert(!added);
	for (uint64_t key = 100; key > 50; key--)
		ck_assert_int_eq(keyset_add(&s, 2, key, &added), 0);
	ck_assert_uint_eq(keyset_drop_before(&s, 2), 1);
	ck_assert(keyset_contains(&s, 7));
	ck_assert(keyset_contains(&s, 51));
	ck_assert(!keyset_contains(&s, 50));
	ck_assert_uint_eq(keyset_drop_before(&s, 3), 51);
	ck_assert(!keyset_contains(&s, 7));
	keyset_free(&s);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("claim");
	TCase *tc = tcase_create("claim");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, open_rig, close_rig);
	tcase_add_test(tc, each_state_answers);
	tcase_add_test(tc, delayed_abort_misses_a_later_claim);
	tcase_add_test(tc, owner_gone_makes_unknown);
	tcase_add_test(tc, unseen_owner_is_gone_in_one_epoch);
	tcase_add_test(tc, open_claim_becomes_unknown);
	tcase_add_test(tc, expired_key_is_refused_until_forgotten);
	tcase_add_test(tc, equal_fingerprints_are_kept_apart);
	tcase_add_test(tc, bounds_are_per_team);
	tcase_add_test(tc, team_without_claims_is_forgotten);
	tcase_add_test(tc, outcome_bytes_are_bounded);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
