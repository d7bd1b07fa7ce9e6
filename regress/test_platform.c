#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/prng.h"
#include "core/dag_state.h"
#include "platform/conf_json.h"
#include "platform/job_json.h"
#include "proto/codec.h"
#include "regress/lib_growth.h"

/* Bodies whose bytes are changed at random. */
#define N_MUTATIONS 20000
#define MAX_BODY (1U << 20) /* default of a controller */

static const char job_text[] =
	"{\"spec\":\"(text)\",\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":256,"
	"\"estimate_ms\":900,\"data_rack\":\"r1-3\"},{\"count\":20,\"cpu\":2000,"
	"\"mem_mb\":1024,\"estimate_ms\":7000,\"depends_on\":[0],\"checkpointable\":true,"
	"\"gang\":true,\"max_per_server\":2,\"image\":\"i\"}],\"repeat_count\":2,"
	"\"start_at_ms\":1700000000000,\"interval_ms\":500}";

static const char conf_text[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
	"\"path_prefix\":\"/p/\",\"timeout_ms\":3000,\"slo_ms\":2500,\"priority\":1,"
	"\"service\":\"s\",\"attempts\":3,\"stretch\":2.2},{\"name\":\"r2\","
	"\"host\":\"h.example\",\"path_prefix\":\"/p/q/\",\"timeout_ms\":1,"
	"\"service\":\"s\"}],\"services\":[{\"name\":\"s\",\"admission_control\":true}],"
	"\"limits\":{}}";

static int read_job(const char *text, size_t n, struct dag_job *job)
{
	json_t *root = json_parse((struct str){text, n});
	int err = root ? job_json_read(root, job) : CF_EMALFORMED;

	/* The texts of the job are borrowed, and only its numbers are looked at. */
	json_decref(root);
	return err;
}

static int read_conf(const char *text, size_t n)
{
	json_t *root = json_parse((struct str){text, n});
	struct dag_org_conf conf = {0};
	int err =
		root ? conf_json_read(root, (struct str){text, n}, &conf) : CF_EMALFORMED;

	conf_json_free(&conf);
	json_decref(root);
	return err;
}

/* Copies a text with one part replaced. */
static const char *with(const char *text, const char *part, const char *by)
{
	static char out[2048];
	const char *at = strstr(text, part);

	ck_assert_ptr_nonnull(at);
	snprintf(out, sizeof(out), "%.*s%s%s", (int)(at - text), text, by,
		 at + strlen(part));
	return out;
}

/* Guards the reading of each field of a submission. */
START_TEST(job_is_read)
{
	struct dag_job job = {0};
	const struct dag_step *st;

	ck_assert_int_eq(read_job(job_text, strlen(job_text), &job), 0);
	ck_assert_uint_eq(job.steps.steps_len, 2);
	ck_assert_uint_eq(job.occurrences, 2);
	ck_assert_int_eq(job.start_ms, 1700000000000);
	ck_assert_uint_eq(job.interval_ms, 500);
	st = &job.steps.steps_val[1];
	ck_assert_uint_eq(st->count, 20);
	ck_assert_uint_eq(st->cpu_milli, 2000);
	ck_assert_uint_eq(st->mem_mb, 1024);
	ck_assert_uint_eq(st->estimate_ms, 7000);
	ck_assert_uint_eq(st->max_per_worker, 2);
	ck_assert(st->gang);
	ck_assert(st->checkpointable);
	ck_assert(!st->speculative);
	ck_assert_uint_eq(st->depends_on.depends_on_len, 1);
	ck_assert_uint_eq(st->depends_on.depends_on_val[0], 0);
	job_json_free(&job);
}
END_TEST

static const struct {
	const char *part, *by;
} bad_jobs[] = {
	{"\"steps\":[", "\"stages\":["},
	{"\"count\":4", "\"count\":-4"},
	{"\"count\":4", "\"count\":\"4\""},
	{"\"count\":4", "\"count\":4.5"},
	{"\"count\":4", "\"count\":4294967296"},
	{"\"depends_on\":[0]", "\"depends_on\":[-1]"},
	{"\"depends_on\":[0]", "\"depends_on\":[\"0\"]"},
	{"\"depends_on\":[0]", "\"depends_on\":0"},
	{"\"gang\":true", "\"gang\":1"},
	{"\"image\":\"i\"", "\"image\":5"},
	{"\"spec\":\"(text)\"", "\"spec\":[]"},
	{"\"repeat_count\":2", "\"repeat_count\":true"},
	{"{\"spec\"", "[{\"spec\""},
	{"{\"count\":4", "7,{\"count\":4"},
};

/* Guards against a submission of another writer that is taken for a job. */
START_TEST(bad_job_is_refused)
{
	const char *text = with(job_text, bad_jobs[_i].part, bad_jobs[_i].by);
	struct dag_job job = {0};

	ck_assert_msg(read_job(text, strlen(text), &job) < 0, "%s", bad_jobs[_i].by);
	job_json_free(&job);
}
END_TEST

static const struct {
	const char *part, *by;
	int err;
} confs[] = {
	{"\"version\":7", "\"version\":8", 0},
	{"\"limits\":{}", "\"later\":[1]", 0},
	{"\"version\":7", "\"version\":0", CF_EINVAL},
	{"\"version\":7", "\"version\":\"7\"", CF_EMALFORMED},
	{"\"timeout_ms\":3000", "\"timeout_ms\":0", CF_EINVAL},
	{"\"timeout_ms\":3000", "\"other_ms\":3000", CF_EINVAL},
	{"\"service\":\"s\",\"attempts\"", "\"service\":\"t\",\"attempts\"", CF_EINVAL},
	{"\"path_prefix\":\"/p/q/\"", "\"path_prefix\":\"/p/\"", CF_EINVAL},
	{"\"stretch\":2.2", "\"stretch\":-1", CF_EMALFORMED},
	{"\"routes\":[", "\"routes\":[5,", CF_EMALFORMED},
	{"\"services\":[", "\"services\":{}, \"x\":[", CF_EMALFORMED},
};

/* Guards against an invalid configuration in force, and a valid one that is refused. */
START_TEST(conf_is_checked)
{
	const char *text = with(conf_text, confs[_i].part, confs[_i].by);

	ck_assert_int_eq(read_conf(conf_text, strlen(conf_text)), 0);
	ck_assert_msg(read_conf(text, strlen(text)) == confs[_i].err, "%s", confs[_i].by);
}
END_TEST

static const char org_text[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
	"\"path_prefix\":\"/p/\",\"timeout_ms\":3000,\"service\":\"s\"},"
	"{\"name\":\"r2\",\"host\":\"h.example\",\"path_prefix\":\"/p/q/\","
	"\"timeout_ms\":1,\"service\":\"s\",\"public\":true}],"
	"\"services\":[{\"name\":\"s\"}],"
	"\"tenants\":[{\"name\":\"kaje80\",\"api_keys\":[\"gkcu\",\"ex5w\"],"
	"\"priority\":1,\"weight\":19,\"max_count\":{\"cpu\":1897323,"
	"\"mem_mb\":3406163,\"gpu\":0}},{\"name\":\"b\",\"api_keys\":[\"b1\"]}]}";

#define KEY_64 "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define KEY_256 KEY_64 KEY_64 KEY_64 KEY_64

static const struct {
	const char *part, *by;
	int err;
} org_confs[] = {
	{"\"ex5w\"", "\"gkcu\"", 0}, /* the same key twice in one organisation */
	{"\"ex5w\"", "\"b1\"", CF_EINVAL},
	{"\"ex5w\"", "\"\"", CF_EINVAL},
	{"\"ex5w\"", "\"" KEY_256 "\"", 0},
	{"\"ex5w\"", "\"" KEY_256 "x\"", CF_EINVAL},
	{"\"ex5w\"", "5", CF_EMALFORMED},
	{"[\"b1\"]", "[]", 0},
	{"[\"b1\"]", "\"b1\"", CF_EMALFORMED},
	{"\"name\":\"b\"", "\"name\":\"kaje80\"", CF_EINVAL},
	{"\"name\":\"b\"", "\"name\":\"\"", CF_EINVAL},
	{"\"name\":\"b\"", "\"label\":\"b\"", CF_EINVAL},
	{"\"name\":\"b\"", "\"name\":7", CF_EMALFORMED},
	{"\"weight\":19", "\"weight\":0", 0},
	{"\"weight\":19", "\"weight\":9223372036854775807", 0},
	{"\"weight\":19", "\"weight\":-1", CF_EMALFORMED},
	{"\"weight\":19", "\"weight\":1.5", CF_EMALFORMED},
	{"\"weight\":19", "\"weight\":99999999999999999999", CF_EMALFORMED},
	{"\"priority\":1", "\"priority\":-1", CF_EMALFORMED},
	{"\"priority\":1", "\"later\":[{}]", 0},
	{"\"cpu\":1897323", "\"cpu\":-5", CF_EMALFORMED},
	{"\"mem_mb\":3406163", "\"mem_mb\":0.5", CF_EMALFORMED},
	{"\"gpu\":0", "\"gpu\":\"0\"", CF_EMALFORMED},
	{"\"max_count\":{", "\"max_count\":[], \"x\":{", CF_EMALFORMED},
	{"\"public\":true", "\"public\":1", CF_EMALFORMED},
	{"\"tenants\":[", "\"tenants\":[5,", CF_EMALFORMED},
	{"\"tenants\":[", "\"tenants\":7, \"x\":[", CF_EMALFORMED},
	{"\"tenants\":[", "\"tenants\":null, \"x\":[", 0},
	{"\"tenants\":[", "\"tenants\":[], \"x\":[", 0},
};

/* Guards against two organisations that cannot be told apart, and a limit misread. */
START_TEST(orgs_are_checked)
{
	const char *text = with(org_text, org_confs[_i].part, org_confs[_i].by);
	int err = read_conf(text, strlen(text));

	ck_assert_msg(err == org_confs[_i].err, "%s: %d", org_confs[_i].by, err);
}
END_TEST

/* Guards against a field of an organisation that is not taken over. */
START_TEST(orgs_are_read)
{
	json_t *root = json_parse(str_from(org_text));
	unsigned char digest[DAG_DIGEST_BYTES];
	const struct dag_org_spec *org;
	struct dag_org_conf conf;

	ck_assert_int_eq(conf_json_read(root, str_from(org_text), &conf), 0);
	ck_assert_uint_eq(conf.orgs.orgs_len, 2);
	org = &conf.orgs.orgs_val[0];
	ck_assert(str_eq(XDR_STR(*org, name), STR("kaje80")));
	ck_assert_uint_eq(org->weight, 19);
	ck_assert_uint_eq(org->cpu_milli, 1897323);
	ck_assert_uint_eq(org->mem_mb, 3406163);
	ck_assert_uint_eq(org->gpus, 0);
	ck_assert_uint_eq(org->credentials.credentials_len, 2);
	ck_assert_int_eq(dag_org_digest(STR("ex5w"), digest), 0);
	ck_assert_mem_eq(org->credentials.credentials_val[1].bytes, digest,
			 sizeof(digest));
	ck_assert_uint_eq(conf.public_queues.public_queues_len, 1);
	ck_assert_uint_eq(conf.public_queues.public_queues_val[0], 1);
	ck_assert(str_eq(XDR_STR(conf.conf, source), str_from(org_text)));
	conf_json_free(&conf);
	json_decref(root);
}
END_TEST

/* Guards against a body that is cut off and taken for whole. */
START_TEST(cut_bodies_are_refused)
{
	for (size_t n = 0; n < strlen(job_text); n++) {
		struct dag_job job = {0};

		ck_assert_int_lt(read_job(job_text, n, &job), 0);
		job_json_free(&job);
	}
	for (size_t n = 0; n < strlen(conf_text); n++)
		ck_assert_int_lt(read_conf(conf_text, n), 0);
	for (size_t n = 0; n < strlen(org_text); n++)
		ck_assert_int_lt(read_conf(org_text, n), 0);
}
END_TEST

/* Guards against bytes that damage the process; the sanitizers see what they do. */
START_TEST(random_bytes_do_no_harm)
{
	struct prng prng = {.state = 1};
	char text[sizeof(job_text) + sizeof(conf_text) + sizeof(org_text)];

	for (int i = 0; i < N_MUTATIONS; i++) {
		const char *from = i % 2 ? job_text : i % 4 ? conf_text : org_text;
		size_t n = strlen(from);
		struct dag_job job = {0};

		memcpy(text, from, n + 1);
		for (uint64_t k = 1 + prng_below(&prng, 3); k > 0; k--)
			text[prng_below(&prng, n)] =
				prng_below(&prng, 2) ? (char)prng_below(&prng, 256)
						     : from[prng_below(&prng, n)];
		if (i % 2 && !read_job(text, n, &job))
			ck_assert_uint_gt(job.steps.steps_len, 0);
		else if (i % 2 == 0)
			read_conf(text, n);
		job_json_free(&job);
	}
}
END_TEST

/* The first n bytes' worth of routes of a configuration with many services. */
static void check_conf_of(void *arg, size_t n)
{
	struct buf text = {0};

	buf_adds(&text, "{\"version\":1,\"services\":[");
	for (int i = 0; i < 1000; i++)
		buf_addf(&text, "%s{\"name\":\"s%d\"}", i ? "," : "", i);
	buf_adds(&text, "],\"routes\":[");
	for (int i = 0; text.n < n; i++)
		buf_addf(&text,
			 "%s{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/%06d\","
			 "\"timeout_ms\":1,\"service\":\"s%d\"}",
			 i ? "," : "", i, i % 1000);
	ck_assert_int_eq(buf_adds(&text, "]}"), 0);
	ck_assert_int_eq(read_conf(text.p, text.n), 0);
	buf_free(&text);
}

/* The first n bytes' worth of organisations with two keys each. */
static void check_orgs_of(void *arg, size_t n)
{
	struct buf text = {0};

	buf_adds(&text, "{\"version\":1,\"services\":[],\"routes\":[],\"tenants\":[");
	for (int i = 0; text.n < n; i++)
		buf_addf(&text, "%s{\"name\":\"o%d\",\"api_keys\":[\"a%d\",\"b%d\"]}",
			 i ? "," : "", i, i, i);
	ck_assert_int_eq(buf_adds(&text, "]}"), 0);
	ck_assert_int_eq(read_conf(text.p, text.n), 0);
	buf_free(&text);
}

/* Guards against a configuration that stops its controller for seconds. */
START_TEST(time_for_a_conf_grows_with_its_routes)
{
	ck_assert_double_lt(growth_of(check_conf_of, NULL, MAX_BODY / 4), GROWTH_MAX);
}
END_TEST

/* The same. */
START_TEST(time_for_a_conf_grows_with_its_orgs)
{
	ck_assert_double_lt(growth_of(check_orgs_of, NULL, MAX_BODY / 4), GROWTH_MAX);
}
END_TEST

#define N_OF(list) ((int)(sizeof(list) / sizeof((list)[0])))

int main(void)
{
	Suite *s = suite_create("platform");
	TCase *t = tcase_create("bodies");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 120);
	tcase_add_test(t, job_is_read);
	tcase_add_loop_test(t, bad_job_is_refused, 0, N_OF(bad_jobs));
	tcase_add_loop_test(t, conf_is_checked, 0, N_OF(confs));
	tcase_add_loop_test(t, orgs_are_checked, 0, N_OF(org_confs));
	tcase_add_test(t, orgs_are_read);
	tcase_add_test(t, time_for_a_conf_grows_with_its_routes);
	tcase_add_test(t, time_for_a_conf_grows_with_its_orgs);
	tcase_add_test(t, cut_bodies_are_refused);
	tcase_add_test(t, random_bytes_do_no_harm);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
