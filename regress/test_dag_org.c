/* Organisations in the replicated state: access, owners of jobs, snapshots. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "core/dag_state.h"
#include "proto/codec.h"

#define WALL_MS 1700000000000LL
#define KEYS_MAX 4U
#define MANY_KEYS 1000

static struct dag_state *state;
static uint64_t revision;

struct org_def {
	const char *name;
	const char *keys[KEYS_MAX];
	uint32_t weight;
	uint64_t cpu;
};

static const struct org_def ORG_A = {"a", {"key-a1", "key-a2"}, 19, 5000};
static const struct org_def ORG_B = {"b", {"key-b"}, 0, 0};

static void apply_to(struct dag_state *s, const struct dag_command *c)
{
	struct dag_command copy = *c;
	struct dag_batch b = {.time_ms = WALL_MS, .commands = {1, &copy}};
	struct buf bytes = {0};

	ck_assert_int_eq(codec_encode((xdrproc_t)xdr_dag_batch, &b, &bytes), 0);
	ck_assert_int_eq(dag_state_apply(s, buf_str(&bytes)), 0);
	buf_free(&bytes);
}

static void fill_org(const struct org_def *def, struct dag_digest *digests,
		     struct dag_org_spec *spec)
{
	unsigned char digest[DAG_DIGEST_BYTES];

	*spec = (struct dag_org_spec){.weight = def->weight, .cpu_milli = def->cpu};
	XDR_SET(*spec, name, str_from(def->name));
	spec->credentials.credentials_val = digests;
	for (size_t i = 0; i < KEYS_MAX && def->keys[i]; i++) {
		ck_assert_int_eq(dag_org_digest(str_from(def->keys[i]), digest), 0);
		memcpy(digests[i].bytes, digest, sizeof(digest));
		spec->credentials.credentials_len++;
	}
}

/* Queues q and open, the second public; orgs end with NULL. */
static void set_orgs(const struct org_def *first, const struct org_def *second)
{
	struct dag_queue queues[2] = {{.timeout_ms = 1000}, {.timeout_ms = 1000}};
	struct dag_digest digests[2][KEYS_MAX];
	struct dag_org_spec specs[2];
	struct dag_command c = {.kind = DAG_CMD_ORG_CONF};
	struct dag_org_conf *conf = &c.dag_command_u.org_conf;
	u_int public_queue = 1;

	XDR_SET(queues[0], name, STR("q"));
	XDR_SET(queues[0], host, STR("h"));
	XDR_SET(queues[0], prefix, STR("/q/"));
	XDR_SET(queues[1], name, STR("open"));
	XDR_SET(queues[1], host, STR("h"));
	XDR_SET(queues[1], prefix, STR("/open/"));
	conf->conf.revision = ++revision;
	conf->conf.queues.queues_len = 2;
	conf->conf.queues.queues_val = queues;
	conf->orgs.orgs_val = specs;
	conf->public_queues.public_queues_len = 1;
	conf->public_queues.public_queues_val = &public_queue;
	if (first)
		fill_org(first, digests[0], &specs[conf->orgs.orgs_len++]);
	if (second)
		fill_org(second, digests[1], &specs[conf->orgs.orgs_len++]);
	if (!conf->orgs.orgs_len) {
		struct dag_conf plain = conf->conf;

		c = (struct dag_command){.kind = DAG_CMD_CONF};
		c.dag_command_u.conf = plain;
	}
	apply_to(state, &c);
}

/* org NULL: as without organisations. */
static void submit(struct dag_state *s, uint64_t id, const char *org)
{
	struct dag_step step = {.count = 1};
	struct dag_command c = {.kind = org ? DAG_CMD_ORG_SUBMIT : DAG_CMD_SUBMIT};
	struct dag_job job = {.id = id, .accepted_ms = WALL_MS};

	XDR_SET(job, queue, STR("q"));
	job.steps.steps_len = 1;
	job.steps.steps_val = &step;
	if (org) {
		c.dag_command_u.org_job.job = job;
		XDR_SET(c.dag_command_u.org_job.org, text, str_from(org));
	} else {
		c.dag_command_u.job = job;
	}
	apply_to(s, &c);
}

static void withdraw(struct dag_state *s, uint64_t id, const char *org)
{
	struct dag_command c = {.kind = org ? DAG_CMD_ORG_WITHDRAW : DAG_CMD_WITHDRAW};
	struct dag_withdrawal w = {.job = id};

	XDR_SET(w, queue, STR("q"));
	if (org) {
		c.dag_command_u.org_withdrawal.withdrawal = w;
		XDR_SET(c.dag_command_u.org_withdrawal.org, text, str_from(org));
	} else {
		c.dag_command_u.withdrawal = w;
	}
	apply_to(s, &c);
}

static void end_and_forget(uint64_t id)
{
	struct dag_command c = {.kind = DAG_CMD_CANCEL, .dag_command_u.cancel = id};

	apply_to(state, &c);
	c.kind = DAG_CMD_FORGET;
	c.dag_command_u.forget = id;
	apply_to(state, &c);
}

/* What a key gives access to: the organisation, "-" without one, NULL: refused. */
static const char *who(const char *queue, const char *key)
{
	struct dag_org *org;
	struct str rest;
	const struct dag_queue *q =
		dag_state_match_queue(state, STR("h"), str_from(queue), &rest);

	ck_assert_ptr_nonnull(q);
	if (!dag_state_authorize(state, q, str_from(key), &org))
		return NULL;
	return org ? org->name : "-";
}

static const char *owner(const struct dag_state *s, uint64_t id)
{
	const struct dag_job_rec *j = dag_state_find_job(s, id);

	ck_assert_ptr_nonnull(j);
	return j->org ? j->org->name : "-";
}

static bool has_access(uint64_t id, const char *org)
{
	return dag_state_may_access(state, dag_state_find_job(state, id),
				    org ? dag_state_find_org(state, str_from(org))
					: NULL);
}

static void open_state(void)
{
	revision = 0;
	ck_assert_int_eq(dag_state_new(&state), 0);
}

static void close_state(void)
{
	dag_state_free(state);
}

/* Goes on with a copy that is restored from a snapshot, as a new leader may. */
static void restore(void)
{
	struct buf first = {0}, second = {0};
	struct dag_state *copy;

	ck_assert_int_eq(dag_state_snapshot(state, &first), 0);
	ck_assert_int_eq(dag_state_check_snapshot(buf_str(&first)), 0);
	ck_assert_int_eq(dag_state_new(&copy), 0);
	submit(copy, 99, "old"); /* what the copy had before must go */
	ck_assert_int_eq(dag_state_restore(copy, buf_str(&first)), 0);
	ck_assert_int_eq(dag_state_snapshot(copy, &second), 0);
	ck_assert(str_eq(buf_str(&first), buf_str(&second)));
	dag_state_free(state);
	state = copy;
	buf_free(&first);
	buf_free(&second);
}

/* Guards against a caller that gets in without a valid key, or is kept out with one. */
START_TEST(keys_tell_organisations)
{
	set_orgs(&ORG_A, &ORG_B);
	for (int round = 0; round < 2; round++, restore()) {
		ck_assert_str_eq(who("/q/", "key-a1"), "a");
		ck_assert_str_eq(who("/q/", "key-a2"), "a");
		ck_assert_str_eq(who("/q/", "key-b"), "b");
		ck_assert_ptr_null(who("/q/", ""));
		ck_assert_ptr_null(who("/q/", "key-"));
		ck_assert_ptr_null(who("/q/", "key-bb"));
		ck_assert_ptr_null(who("/q/", "b"));
		ck_assert_str_eq(who("/open/", ""), "-");
		ck_assert_str_eq(who("/open/", "key-c"), "-");
		ck_assert_str_eq(who("/open/", "key-b"), "b");
	}
	ck_assert_uint_eq(dag_state_find_org(state, STR("a"))->weight, 19);
	ck_assert_uint_eq(dag_state_find_org(state, STR("a"))->limits.cpu_milli, 5000);
	ck_assert_uint_eq(dag_state_find_org(state, STR("b"))->weight, 1);
}
END_TEST

/* Guards against a refusal where no organisation is configured. */
START_TEST(without_organisations_keys_are_ignored)
{
	set_orgs(NULL, NULL);
	ck_assert(!dag_state_has_orgs(state));
	ck_assert_str_eq(who("/q/", ""), "-");
	ck_assert_str_eq(who("/q/", "key-a1"), "-");
	set_orgs(&ORG_A, NULL);
	ck_assert_ptr_null(who("/q/", ""));
	set_orgs(NULL, NULL);
	ck_assert_str_eq(who("/q/", ""), "-");
	ck_assert_ptr_null(state->orgs);
}
END_TEST

/* Guards against a key that outlives its withdrawal, or stays withdrawn when it is back.
 */
START_TEST(keys_are_withdrawn_and_added_again)
{
	static const struct org_def fewer = {"a", {"key-a2"}, 19, 7000};
	static const struct org_def taken = {"b", {"key-b", "key-a1"}, 0, 0};

	set_orgs(&ORG_A, &ORG_B);
	submit(state, 1, "a");
	set_orgs(&fewer, &ORG_B);
	ck_assert_ptr_null(who("/q/", "key-a1"));
	ck_assert_str_eq(who("/q/", "key-a2"), "a");
	ck_assert_uint_eq(dag_state_find_org(state, STR("a"))->limits.cpu_milli, 7000);
	restore();
	ck_assert_ptr_null(who("/q/", "key-a1"));
	set_orgs(&fewer, &taken);
	ck_assert_str_eq(who("/q/", "key-a1"), "b");
	set_orgs(&ORG_A, &ORG_B);
	ck_assert_str_eq(who("/q/", "key-a1"), "a");
	ck_assert_str_eq(owner(state, 1), "a");
	/* An older configuration changes nothing. */
	revision = 1;
	set_orgs(&ORG_B, NULL);
	ck_assert_str_eq(who("/q/", "key-a1"), "a");
}
END_TEST

/* Guards against a key that is missed in a large table. */
START_TEST(each_of_many_keys_is_found)
{
	struct dag_org_spec specs[2] = {0};
	struct dag_command c = {.kind = DAG_CMD_ORG_CONF};
	struct dag_org_conf *conf = &c.dag_command_u.org_conf;
	struct dag_digest *digests = calloc(MANY_KEYS, sizeof(*digests));
	unsigned char digest[DAG_DIGEST_BYTES];
	struct dag_queue q = {.timeout_ms = 1000};
	char key[16];

	for (int i = 0; i < MANY_KEYS; i++) {
		snprintf(key, sizeof(key), "k%d", i);
		ck_assert_int_eq(dag_org_digest(str_from(key), digest), 0);
		memcpy(digests[i].bytes, digest, sizeof(digest));
	}
	for (int i = 0; i < 2; i++) {
		XDR_SET(specs[i], name, i ? STR("b") : STR("a"));
		specs[i].credentials.credentials_len = MANY_KEYS / 2;
		specs[i].credentials.credentials_val = digests + i * MANY_KEYS / 2;
	}
	XDR_SET(q, host, STR("h"));
	XDR_SET(q, prefix, STR("/q/"));
	conf->conf.revision = 1;
	conf->conf.queues.queues_len = 1;
	conf->conf.queues.queues_val = &q;
	conf->orgs.orgs_len = 2;
	conf->orgs.orgs_val = specs;
	apply_to(state, &c);
	restore();
	for (int i = 0; i < MANY_KEYS; i++) {
		snprintf(key, sizeof(key), "k%d", i);
		ck_assert_str_eq(who("/q/", key), i < MANY_KEYS / 2 ? "a" : "b");
	}
	ck_assert_ptr_null(who("/q/", "k1000"));
	free(digests);
}
END_TEST

/* Guards against a job that another organisation reads, cancels or takes over. */
START_TEST(jobs_belong_to_their_organisation)
{
	set_orgs(&ORG_A, &ORG_B);
	submit(state, 1, "a");
	submit(state, 1, "b"); /* the first counts */
	submit(state, 2, "b");
	submit(state, 3, NULL);
	for (int round = 0; round < 2; round++, restore()) {
		ck_assert_str_eq(owner(state, 1), "a");
		ck_assert_str_eq(owner(state, 2), "b");
		ck_assert_str_eq(owner(state, 3), "-");
		ck_assert(has_access(1, "a") && !has_access(1, "b"));
		ck_assert(has_access(2, "b") && !has_access(2, "a"));
		ck_assert(!has_access(1, NULL));
		ck_assert(has_access(3, "a") && has_access(3, "b"));
		ck_assert_uint_eq(dag_state_find_org(state, STR("a"))->n_jobs, 1);
	}
	/* Without organisations nobody can be told apart. */
	set_orgs(NULL, NULL);
	ck_assert(has_access(1, NULL));
	ck_assert_str_eq(owner(state, 1), "a");
}
END_TEST

/* Guards against a job that loses its owner, and organisations that are never removed. */
START_TEST(dropped_organisation_stays_while_it_owns_jobs)
{
	set_orgs(&ORG_A, &ORG_B);
	submit(state, 1, "a");
	submit(state, 2, "a");
	set_orgs(&ORG_B, NULL);
	restore();
	ck_assert(!dag_state_find_org(state, STR("a"))->configured);
	ck_assert_uint_eq(dag_state_find_org(state, STR("a"))->limits.cpu_milli, 5000);
	ck_assert_str_eq(owner(state, 1), "a");
	ck_assert(!has_access(1, "b"));
	end_and_forget(1);
	ck_assert_ptr_nonnull(dag_state_find_org(state, STR("a")));
	set_orgs(&ORG_B, &ORG_A);
	ck_assert(dag_state_find_org(state, STR("a"))->configured);
	ck_assert(has_access(2, "a"));
	set_orgs(&ORG_B, NULL);
	end_and_forget(2);
	ck_assert_ptr_null(dag_state_find_org(state, STR("a")));
	restore();
	set_orgs(NULL, NULL);
	ck_assert_ptr_null(state->orgs);
}
END_TEST

static unsigned int n_removed;
static char last_removed[8];

static void on_job(struct dag_observer *o, struct dag_job_rec *j)
{
}

static void on_conf_changed(struct dag_observer *o)
{
}

static void on_org_removed(struct dag_observer *o, struct dag_org *org)
{
	n_removed++;
	snprintf(last_removed, sizeof(last_removed), "%s", org->name);
	ck_assert_ptr_null(dag_state_find_org(state, dag_org_name(org)));
}

/* Guards against a scheduler that keeps what it knows of an organisation for ever. */
START_TEST(removal_is_notified)
{
	static const struct dag_observer_ops ops = {.job_added = on_job,
						    .job_ended = on_job,
						    .job_forgotten = on_job,
						    .conf_changed = on_conf_changed,
						    .org_removed = on_org_removed};
	struct dag_observer observer = {&ops};
	struct dag_org *a;

	n_removed = 0;
	state->observer = &observer;
	set_orgs(&ORG_A, &ORG_B);
	submit(state, 1, "a");
	a = dag_state_find_org(state, STR("a"));
	set_orgs(&ORG_A, NULL);
	ck_assert_uint_eq(n_removed, 1);
	ck_assert_str_eq(last_removed, "b");
	set_orgs(&ORG_B, NULL);
	ck_assert_uint_eq(n_removed, 1);
	/* The same record for the same name. */
	set_orgs(&ORG_A, NULL);
	ck_assert_ptr_eq(dag_state_find_org(state, STR("a")), a);
	set_orgs(NULL, NULL);
	end_and_forget(1);
	ck_assert_uint_eq(n_removed, 3);
	ck_assert_str_eq(last_removed, "a");
	state->observer = NULL;
}
END_TEST

/* Guards against a second part that earlier versions would refuse without need. */
START_TEST(snapshot_has_a_second_part_only_when_needed)
{
	struct dag_image im = {0};
	struct buf bytes = {0};

	set_orgs(&ORG_A, NULL);
	submit(state, 1, "a");
	withdraw(state, 7, "a");
	set_orgs(NULL, NULL);
	submit(state, 2, NULL);
	end_and_forget(1);
	submit(state, 7, NULL);
	ck_assert_int_eq(dag_state_snapshot(state, &bytes), 0);
	ck_assert_int_eq(codec_decode((xdrproc_t)xdr_dag_image, &im, buf_str(&bytes)), 0);
	codec_free((xdrproc_t)xdr_dag_image, &im);
	buf_free(&bytes);
}
END_TEST

/* Guards against an organisation that cancels the job of another before it comes. */
START_TEST(withdrawals_concern_the_own_jobs)
{
	set_orgs(&ORG_A, &ORG_B);
	withdraw(state, 1, "b");
	withdraw(state, 2, "a");
	withdraw(state, 2, "b");
	withdraw(state, 3, "");
	withdraw(state, 4, "");
	withdraw(state, 5, NULL); /* before there were organisations */
	withdraw(state, 6, "b");
	restore();
	for (uint64_t id = 1; id <= 3; id++)
		submit(state, id, "a");
	submit(state, 4, NULL);
	submit(state, 5, "a");
	submit(state, 6, NULL);
	ck_assert_int_eq(dag_state_find_job(state, 1)->state, DAG_JOB_QUEUED);
	ck_assert_int_eq(dag_state_find_job(state, 2)->state, DAG_JOB_CANCELLED);
	ck_assert_int_eq(dag_state_find_job(state, 3)->state, DAG_JOB_QUEUED);
	for (uint64_t id = 4; id <= 6; id++)
		ck_assert_int_eq(dag_state_find_job(state, id)->state, DAG_JOB_CANCELLED);
	ck_assert_uint_eq(state->n_withdrawn, 0);
	/* The submission is recorded just before. */
	submit(state, 11, "a");
	withdraw(state, 11, "b");
	ck_assert_int_eq(dag_state_find_job(state, 11)->state, DAG_JOB_QUEUED);
	withdraw(state, 11, "");
	ck_assert_int_eq(dag_state_find_job(state, 11)->state, DAG_JOB_QUEUED);
	withdraw(state, 11, "a");
	ck_assert_int_eq(dag_state_find_job(state, 11)->state, DAG_JOB_CANCELLED);
}
END_TEST

/* Guards against an order of withdrawals that differs after a restore. */
START_TEST(order_of_withdrawals_is_kept)
{
	static const char *const by[] = {"a", NULL, "b", "", NULL, "a"};

	set_orgs(&ORG_A, &ORG_B);
	for (uint64_t id = 0; id < 60; id++)
		withdraw(state, id / 2, by[id % 6]);
	restore();
	withdraw(state, 3, NULL);
	withdraw(state, 90, "a");
	restore();
}
END_TEST

/* Guards against an invalid configuration in force, wherever it comes from. */
START_TEST(invalid_organisations_change_nothing)
{
	static const struct org_def thief = {"c", {"key-a2"}, 1, 0};
	static const struct org_def nameless = {"", {"key-c"}, 1, 0};

	set_orgs(&ORG_A, NULL);
	set_orgs(&ORG_A, &thief);
	set_orgs(&ORG_A, &ORG_A);
	set_orgs(&nameless, NULL);
	ck_assert_uint_eq(state->conf.revision, 1);
	ck_assert_str_eq(who("/q/", "key-a2"), "a");
	ck_assert_ptr_null(dag_state_find_org(state, STR("c")));
}
END_TEST

/* Guards against a cut snapshot that is taken as one without owners. */
START_TEST(cut_snapshots_are_refused)
{
	struct dag_image im = {0};
	struct buf bytes = {0};
	size_t first;

	set_orgs(&ORG_A, &ORG_B);
	submit(state, 1, "a");
	withdraw(state, 2, "b");
	ck_assert_int_eq(dag_state_snapshot(state, &bytes), 0);
	ck_assert_int_eq(codec_decode_first((xdrproc_t)xdr_dag_image, &im,
					    buf_str(&bytes), &first),
			 0);
	codec_free((xdrproc_t)xdr_dag_image, &im);
	ck_assert_uint_lt(first, bytes.n);
	for (size_t n = 0; n < bytes.n; n++) {
		int err = dag_state_check_snapshot((struct str){bytes.p, n});

		ck_assert_msg((err != 0) == (n != first), "%zu of %zu", n, bytes.n);
	}
	buf_free(&bytes);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dag_org");
	TCase *t = tcase_create("dag_org");
	SRunner *r;
	int failed;

	tcase_add_checked_fixture(t, open_state, close_state);
	tcase_add_test(t, keys_tell_organisations);
	tcase_add_test(t, without_organisations_keys_are_ignored);
	tcase_add_test(t, keys_are_withdrawn_and_added_again);
	tcase_add_test(t, each_of_many_keys_is_found);
	tcase_add_test(t, jobs_belong_to_their_organisation);
	tcase_add_test(t, dropped_organisation_stays_while_it_owns_jobs);
	tcase_add_test(t, removal_is_notified);
	tcase_add_test(t, snapshot_has_a_second_part_only_when_needed);
	tcase_add_test(t, withdrawals_concern_the_own_jobs);
	tcase_add_test(t, order_of_withdrawals_is_kept);
	tcase_add_test(t, invalid_organisations_change_nothing);
	tcase_add_test(t, cut_snapshots_are_refused);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
