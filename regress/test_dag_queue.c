/* Queues that get other names: their jobs, cancels and snapshots. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "proto/codec.h"
#include "regress/lib_dag_world.h"

#define SECOND 1000000LL
#define MS 1000LL

static struct dag_world w;

static void open_world(void)
{
	dw_open(&w, 1);
	dw_add_workers(&w, 2);
	dw_run_for(&w, SECOND);
}

static void close_world(void)
{
	dw_close(&w);
}

/* One queue at the path of the world's own. */
static void rename_queue(const char *name)
{
	struct dw_queue q = {name, "/q/", "svc"};

	dw_set_queues(&w, &q, 1);
	dw_run_for(&w, 50 * MS);
}

/* The state goes through a snapshot, as at a restart; the leader is another. */
static void restart(void)
{
	struct buf image = {0};

	dw_change_leader(&w);
	dag_sched_free(w.sched);
	ck_assert_int_eq(dag_state_snapshot(w.state, &image), 0);
	ck_assert_int_eq(dag_state_restore(w.state, buf_str(&image)), 0);
	dw_lead(&w);
	buf_free(&image);
}

/* As the leader does for a request at a path of the queue. */
static bool is_in(uint64_t id, const char *queue)
{
	const struct dag_job_rec *j = dag_state_find_job(w.state, id);
	struct dag_queue_key key;

	return dag_state_resolve_queue(w.state, str_from(queue), &key) && j &&
	       dag_queue_key_equal(&j->queue, &key);
}

/*
 * Guards against accepted jobs that nobody finds, places or cancels once their queue has
 * another name. _i 0: one version; 1: versions in series; 2: with restarts between; 3:
 * with versions without the queue between; 4: both.
 */
START_TEST(renamed_queue_keeps_its_jobs)
{
	static const char *const names[] = {"r", "s", "q", "t"};
	const char *last = names[0];
	struct dw_queue other = {"other", "/o/", "svc"};

	dw_submit_chain(&w, 1, 6, 2);
	dw_submit_lasting(&w, 2, 2);
	dw_run_for(&w, 600 * MS);
	ck_assert(is_in(1, "q"));
	for (int i = 0; i < (_i ? 4 : 1); i++) {
		if (_i >= 3) {
			dw_set_queues(&w, &other, 1);
			dw_run_for(&w, 50 * MS);
			ck_assert(!is_in(1, "other"));
		}
		if (_i == 2 || _i == 4)
			restart();
		last = names[i];
		rename_queue(last);
		ck_assert(is_in(1, last));
		ck_assert(is_in(2, last));
	}
	dw_run_for(&w, 12 * SECOND);
	dw_assert_sound(&w);
	ck_assert_int_eq(dw_state(&w, 1), DAG_JOB_COMPLETED);
	ck_assert_uint_eq(dw_alive(&w, 2), 2);
	dw_withdraw(&w, 2, str_from(last));
	dw_run_for(&w, SECOND);
	ck_assert_int_eq(dw_state(&w, 2), DAG_JOB_CANCELLED);
	ck_assert_uint_eq(dw_alive(&w, 2), 0);
}
END_TEST

/*
 * Guards against jobs that go to another queue, and so to workers of another service, as
 * two queues exchange their names. _i 1: with a restart between.
 */
START_TEST(exchanged_names_move_no_job)
{
	struct dw_queue queues[] = {{"q", "/q/", "svc"}, {"p", "/p/", "none"}};
	struct dw_queue exchanged[] = {{"p", "/q/", "svc"}, {"q", "/p/", "none"}};

	dw_set_queues(&w, queues, 2);
	dw_run_for(&w, 50 * MS);
	dw_submit_chain(&w, 1, 3, 2);
	w.queue = "p";
	dw_submit_chain(&w, 2, 1, 2);
	dw_run_for(&w, 50 * MS);
	dw_set_queues(&w, exchanged, 2);
	dw_run_for(&w, 50 * MS);
	if (_i)
		restart();
	ck_assert(is_in(1, "p"));
	ck_assert(is_in(2, "q"));
	ck_assert_uint_eq(dw_count_waiting(w.state, STR("q")), 1);
	ck_assert_uint_eq(dw_count_waiting(w.state, STR("p")), 0);
	dw_run_for(&w, 5 * SECOND);
	dw_assert_sound(&w);
	ck_assert_int_eq(dw_state(&w, 1), DAG_JOB_COMPLETED);
	ck_assert_int_eq(dw_state(&w, 2), DAG_JOB_QUEUED);
	ck_assert_uint_eq(w.starts, 6);
}
END_TEST

/*
 * Guards against a job that runs although it was cancelled before it came, under another
 * name of its queue. _i: 1: with a restart; 2: a version without the queue between; 3:
 * both.
 */
START_TEST(cancel_before_it_came_holds_under_another_name)
{
	struct dw_queue other = {"q", "/o/", "svc"};

	dw_withdraw(&w, 1, STR("q"));
	dw_run_for(&w, 50 * MS);
	if (_i >= 2) {
		dw_set_queues(&w, &other, 1);
		dw_run_for(&w, 50 * MS);
		ck_assert(!dw_is_withdrawn(w.state, 1, STR("q")));
	}
	if (_i % 2)
		restart();
	rename_queue("r");
	ck_assert(dw_is_withdrawn(w.state, 1, STR("r")));
	w.queue = "r";
	dw_submit_chain(&w, 1, 1, 2);
	dw_run_for(&w, 2 * SECOND);
	ck_assert_int_eq(dw_state(&w, 1), DAG_JOB_CANCELLED);
	ck_assert_uint_eq(w.starts, 0);
}
END_TEST

/* Guards against two queues of one name of which the second gets the jobs of the first.
 */
START_TEST(queues_of_one_name_keep_their_jobs)
{
	struct dw_queue queues[] = {{"q", "/p/", "none"}, {"q", "/q/", "svc"}};
	struct dag_queue_key key;
	unsigned char bytes[DAG_QUEUE_REF_BYTES];
	struct dag_command c = {.kind = DAG_CMD_SUBMIT};
	struct dag_step st = {
		.count = 1, .cpu_milli = 1000, .mem_mb = 100, .estimate_ms = 500};
	struct str ref;

	dw_set_queues(&w, queues, 2);
	dw_run_for(&w, 50 * MS);
	key = dag_queue_key(&w.state->conf.queues.queues_val[1]);
	ref = dag_state_refer_queue(w.state, &key, bytes);
	c.dag_command_u.job.id = 1;
	c.dag_command_u.job.steps.steps_len = 1;
	c.dag_command_u.job.steps.steps_val = &st;
	XDR_SET(c.dag_command_u.job, queue, ref);
	ck_assert_int_eq(w.host.ops->propose(&w.host, &c), 0);
	dw_run_for(&w, SECOND);
	restart();
	dw_run_for(&w, 2 * SECOND);
	ck_assert_int_eq(dw_state(&w, 1), DAG_JOB_COMPLETED);
}
END_TEST

/* Writes a snapshot as versions did that knew queues by their names at submission. */
static void name_jobs_in_snapshot(const char *name, struct buf *image)
{
	struct buf old = {0};
	struct dag_image im = {0};

	ck_assert_int_eq(dag_state_snapshot(w.state, &old), 0);
	ck_assert_int_eq(codec_decode((xdrproc_t)xdr_dag_image, &im, buf_str(&old)), 0);
	for (u_int i = 0; i < im.jobs.jobs_len; i++) {
		struct dag_job *job = &im.jobs.jobs_val[i].spec;

		free(job->queue.queue_val);
		job->queue.queue_val = strdup(name);
		job->queue.queue_len = (u_int)strlen(name);
	}
	ck_assert_int_eq(codec_encode((xdrproc_t)xdr_dag_image, &im, image), 0);
	codec_free((xdrproc_t)xdr_dag_image, &im);
	buf_free(&old);
}

/*
 * Guards against snapshots of earlier versions that are refused, or whose jobs are lost
 * for good. _i 1: the name is not in the snapshot's configuration, and comes back.
 */
START_TEST(snapshot_of_an_earlier_version_is_read)
{
	struct buf image = {0};

	w.work_us = 3 * SECOND;
	dw_submit_chain(&w, 1, 2, 2);
	dw_withdraw(&w, 2, STR("q"));
	dw_run_for(&w, 100 * MS);
	name_jobs_in_snapshot(_i ? "was" : "q", &image);
	dag_sched_free(w.sched);
	ck_assert_int_eq(dag_state_restore(w.state, buf_str(&image)), 0);
	buf_free(&image);
	dw_lead(&w);
	if (_i) {
		ck_assert(!is_in(1, "q"));
		restart();
		rename_queue("was");
		ck_assert(is_in(1, "was"));
		ck_assert(dw_is_withdrawn(w.state, 2, STR("was")));
		rename_queue("q");
	}
	ck_assert(is_in(1, "q"));
	ck_assert(dw_is_withdrawn(w.state, 2, STR("q")));
	dw_run_for(&w, 20 * SECOND);
	ck_assert_int_eq(dw_state(&w, 1), DAG_JOB_COMPLETED);
}
END_TEST

/*
 * Guards against references that earlier versions can't read: a snapshot names a queue by
 * its present name.
 */
START_TEST(snapshot_names_queues_as_its_configuration_does)
{
	struct buf image = {0};
	struct dag_image im = {0};

	dw_submit_chain(&w, 1, 1, 1);
	dw_run_for(&w, 50 * MS);
	rename_queue("renamed");
	ck_assert_int_eq(dag_state_snapshot(w.state, &image), 0);
	ck_assert_int_eq(codec_decode((xdrproc_t)xdr_dag_image, &im, buf_str(&image)), 0);
	ck_assert_uint_eq(im.jobs.jobs_len, 1);
	ck_assert(str_eq(XDR_STR(im.jobs.jobs_val[0].spec, queue), STR("renamed")));
	codec_free((xdrproc_t)xdr_dag_image, &im);
	buf_free(&image);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dag_queue");
	TCase *tc = tcase_create("dag_queue");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(tc, 60);
	tcase_add_checked_fixture(tc, open_world, close_world);
	tcase_add_loop_test(tc, renamed_queue_keeps_its_jobs, 0, 5);
	tcase_add_loop_test(tc, exchanged_names_move_no_job, 0, 2);
	tcase_add_loop_test(tc, cancel_before_it_came_holds_under_another_name, 0, 4);
	tcase_add_test(tc, queues_of_one_name_keep_their_jobs);
	tcase_add_loop_test(tc, snapshot_of_an_earlier_version_is_read, 0, 2);
	tcase_add_test(tc, snapshot_names_queues_as_its_configuration_does);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
