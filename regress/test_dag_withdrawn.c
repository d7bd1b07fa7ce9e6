/* Jobs that are cancelled before their submissions come. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "proto/codec.h"
#include "regress/lib_dag_world.h"

#define SECOND 1000000LL
#define MANY 10000U /* more than are remembered */
#define MANY_BYTES (1U << 20)

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

/* Guards against a job that runs although its cancel was recorded before it came. */
START_TEST(job_cancelled_before_it_came_does_not_run)
{
	dw_withdraw(&w, 1, STR("q"));
	dw_run_for(&w, SECOND);
	ck_assert_ptr_null(dag_state_find_job(w.state, 1));
	dw_submit_chain(&w, 1, 2, 4);
	dw_submit_chain(&w, 2, 1, 1);
	dw_run_for(&w, 3 * SECOND);
	dw_assert_sound(&w);
	ck_assert_int_eq(dw_state(&w, 1), DAG_JOB_CANCELLED);
	ck_assert_int_eq(dw_state(&w, 2), DAG_JOB_COMPLETED);
	ck_assert_uint_eq(w.starts, 1);
	ck_assert_uint_eq(w.state->n_withdrawn, 0);
}
END_TEST

/* Guards against a job that runs on as its submission and its cancel crossed. */
START_TEST(cancel_beside_the_submission_ends_the_job)
{
	w.work_us = 60 * SECOND;
	dw_submit_chain(&w, 1, 1, 4);
	dw_withdraw(&w, 1, STR("q"));
	dw_run_for(&w, 2 * SECOND);
	dw_assert_sound(&w);
	ck_assert_int_eq(dw_state(&w, 1), DAG_JOB_CANCELLED);
	ck_assert_uint_eq(w.starts, 0);
}
END_TEST

/* Guards against a cancel that ends the job of another queue. */
START_TEST(cancel_in_another_queue_changes_nothing)
{
	dw_withdraw(&w, 1, STR("other"));
	dw_submit_chain(&w, 1, 1, 1);
	dw_submit_chain(&w, 2, 1, 1);
	dw_withdraw(&w, 2, STR("other"));
	dw_run_for(&w, 3 * SECOND);
	ck_assert_int_eq(dw_state(&w, 1), DAG_JOB_COMPLETED);
	ck_assert_int_eq(dw_state(&w, 2), DAG_JOB_COMPLETED);
}
END_TEST

/* Guards against a new leader or a restored replica that does not know of the cancel. */
START_TEST(cancel_survives_a_snapshot_and_a_new_leader)
{
	struct dag_state *copy;
	struct buf a = {0};
	struct buf b = {0};

	for (uint64_t id = 1; id <= 3; id++)
		dw_withdraw(&w, id, STR("q"));
	dw_submit_chain(&w, 9, 1, 2);
	dw_run_for(&w, SECOND);
	ck_assert_int_eq(dag_state_snapshot(w.state, &a), 0);
	ck_assert_int_eq(dag_state_new(&copy), 0);
	ck_assert_int_eq(dag_state_restore(copy, buf_str(&a)), 0);
	ck_assert_int_eq(dag_state_snapshot(copy, &b), 0);
	ck_assert(str_eq(buf_str(&a), buf_str(&b)));
	ck_assert(dw_is_withdrawn(copy, 2, STR("q")));
	ck_assert(!dw_is_withdrawn(copy, 2, STR("other")));
	dag_state_free(copy);
	buf_free(&a);
	buf_free(&b);
	dw_change_leader(&w);
	dw_submit_chain(&w, 2, 1, 1);
	dw_run_for(&w, 3 * SECOND);
	dw_assert_sound(&w);
	ck_assert_int_eq(dw_state(&w, 2), DAG_JOB_CANCELLED);
}
END_TEST

/* Guards against cancels of jobs that nobody has that fill the memory. */
START_TEST(cancels_of_unknown_jobs_are_bounded)
{
	struct buf snapshot = {0};

	for (uint64_t id = 1; id <= MANY; id++) {
		dw_withdraw(&w, id, STR("q"));
		if (id % 100 == 0)
			dw_run_for(&w, SECOND / 10);
	}
	ck_assert(dw_is_withdrawn(w.state, MANY, STR("q")));
	ck_assert(!dw_is_withdrawn(w.state, 1, STR("q")));
	ck_assert_int_eq(dag_state_snapshot(w.state, &snapshot), 0);
	ck_assert_uint_lt(snapshot.n, MANY_BYTES);
	buf_free(&snapshot);
	dw_run_for(&w, 300 * SECOND);
	dw_withdraw(&w, MANY + 1, STR("q"));
	dw_run_for(&w, SECOND);
	ck_assert_uint_eq(w.state->n_withdrawn, 1);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dag_withdrawn");
	TCase *tc = tcase_create("dag_withdrawn");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(tc, 120);
	tcase_add_checked_fixture(tc, open_world, close_world);
	tcase_add_test(tc, job_cancelled_before_it_came_does_not_run);
	tcase_add_test(tc, cancel_beside_the_submission_ends_the_job);
	tcase_add_test(tc, cancel_in_another_queue_changes_nothing);
	tcase_add_test(tc, cancel_survives_a_snapshot_and_a_new_leader);
	tcase_add_test(tc, cancels_of_unknown_jobs_are_bounded);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
