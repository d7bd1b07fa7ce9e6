/*
 * Admission of jobs with serving tasks: urgent batch work keeps its room when a fleet
 * that was nearly full loses workers.
 */
#include <check.h>
#include <stdlib.h>

#include "core/dag_admit.h"
#include "proto/codec.h"
#include "regress/lib_dag_world.h"

#define SECOND 1000000LL
#define MS 1000LL
#define WORKERS 14
#define LEAVING 2
#define BATCH_PERIOD (100 * MS)
#define SERVING_PERIOD (500 * MS)
#define FIRST_BATCH 1000U
#define FIRST_SERVING 100000U

static struct dag_world w;

static const struct dag_step batch_step = {
	.count = 2, .cpu_milli = 2000, .mem_mb = 100, .estimate_ms = 500};
static const struct dag_step serving_step = {.count = 4,
					     .cpu_milli = 1500,
					     .mem_mb = 100,
					     .long_running = true,
					     .target_ms = 50};

static void open_world(void)
{
	dw_open(&w, 1);
	w.work_us = SECOND / 2;
}

static void close_world(void)
{
	dw_close(&w);
}

static uint32_t admit(const struct dag_step *step)
{
	struct dag_step copy = *step;
	struct dag_job job = {.id = 1};

	job.steps.steps_len = 1;
	job.steps.steps_val = &copy;
	return dag_sched_admit(w.sched, &w.state->conf.queues.queues_val[0], &job)
		.retry_ms;
}

/* Batch jobs, and serving jobs as far as they are admitted. Returns those refused. */
static uint32_t play(int64_t us, uint64_t *batch, uint64_t *serving)
{
	uint32_t refused = 0;

	for (int64_t t = 0; t < us; t += BATCH_PERIOD) {
		dw_submit_step(&w, (*batch)++, &batch_step);
		if (t % SERVING_PERIOD == 0) {
			if (admit(&serving_step))
				refused++;
			else
				dw_submit_step(&w, (*serving)++, &serving_step);
		}
		dw_run_for(&w, BATCH_PERIOD);
	}
	return refused;
}

static uint32_t count_late(uint64_t from, uint64_t to, int64_t objective_ms)
{
	uint32_t late = 0;

	for (uint64_t id = from; id < to; id++) {
		const struct dag_job_rec *j = dag_state_find_job(w.state, id);

		late += j->state != DAG_JOB_COMPLETED ||
			j->ended_ms - j->spec.accepted_ms > objective_ms;
	}
	return late;
}

/*
 * Guards against urgent batch work that starves: serving tasks of the same priority hold
 * most of a fleet, which loses a seventh of its workers, and more of them are submitted.
 * Without admission (_i 0) most batch jobs of the shortage are late.
 */
START_TEST(serving_tasks_leave_room_for_batch_work)
{
	uint64_t batch = FIRST_BATCH;
	uint64_t serving = FIRST_SERVING;
	uint64_t first;
	uint32_t refused;

	w.admit_serving = _i;
	dw_add_workers(&w, WORKERS);
	dw_run_for(&w, SECOND);
	dw_change_leader(&w);
	dw_run_for(&w, SECOND);
	for (; serving < FIRST_SERVING + 8; serving++)
		dw_submit_step(&w, serving, &serving_step);
	dw_run_for(&w, SECOND);
	refused = play(3 * SECOND, &batch, &serving);
	ck_assert_uint_eq(refused, 0);
	for (uint32_t i = 0; i < LEAVING; i++)
		dw_drain(&w, i + 1);
	first = batch;
	refused = play(8 * SECOND, &batch, &serving);
	dw_run_for(&w, 5 * SECOND);
	dw_assert_sound(&w);
	if (_i) {
		ck_assert_uint_gt(refused, 0);
		ck_assert_uint_eq(count_late(first, batch, 2000), 0);
	} else {
		ck_assert_uint_gt(count_late(first, batch, 2000),
				  (uint32_t)(batch - first) / 2);
	}
}
END_TEST

/* Guards against refusals where no batch work needs the room, or there is enough. */
START_TEST(serving_tasks_are_admitted_without_batch_work)
{
	uint64_t serving = FIRST_SERVING;

	w.admit_serving = true;
	dw_add_workers(&w, 4);
	dw_run_for(&w, SECOND);
	dw_change_leader(&w);
	dw_run_for(&w, SECOND);
	for (int i = 0; i < 8; i++) {
		ck_assert_uint_eq(admit(&serving_step), 0);
		dw_submit_step(&w, serving++, &serving_step);
		dw_run_for(&w, SECOND);
	}
	dw_assert_sound(&w);
}
END_TEST

/* Guards against batch jobs that are refused; they only wait. */
START_TEST(batch_work_is_always_admitted)
{
	uint64_t batch = FIRST_BATCH;
	uint64_t serving = FIRST_SERVING;

	w.admit_serving = true;
	dw_add_workers(&w, 2);
	dw_run_for(&w, SECOND);
	dw_change_leader(&w);
	dw_run_for(&w, SECOND);
	play(4 * SECOND, &batch, &serving);
	ck_assert_uint_eq(admit(&batch_step), 0);
	ck_assert_uint_gt(admit(&serving_step), 0);
}
END_TEST

START_TEST(room_of_batch_work_is_kept)
{
	struct dag_admit_room room = {
		.free = 10000, .batch = 4000, .batch_usual = 9000, .pending = 2000};

	ck_assert_int_eq(dag_admit_missing(&room, 3000), 0);
	ck_assert_int_eq(dag_admit_missing(&room, 4000), 1000);
	room.scraps = 1000;
	ck_assert_int_eq(dag_admit_missing(&room, 4000), 0);
	room.batch_usual = 0;
	ck_assert_int_eq(dag_admit_missing(&room, 1000000), 0);
}
END_TEST

START_TEST(return_time_follows_the_release_of_room)
{
	struct dag_admit_return r = {.missing = 6000, .per_second = 2000};

	ck_assert_uint_eq(dag_admit_retry_ms(&r), 3000);
	r.queued = 4000;
	ck_assert_uint_eq(dag_admit_retry_ms(&r), 5000);
	r.queued = 1000000;
	ck_assert_uint_eq(dag_admit_retry_ms(&r), 10000);
	r = (struct dag_admit_return){.missing = 1, .per_second = 100000};
	ck_assert_uint_eq(dag_admit_retry_ms(&r), 1000);
	r.per_second = 0;
	ck_assert_uint_eq(dag_admit_retry_ms(&r), 10000);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dag_admit");
	TCase *tc = tcase_create("dag_admit");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(tc, 120);
	tcase_add_checked_fixture(tc, open_world, close_world);
	tcase_add_loop_test(tc, serving_tasks_leave_room_for_batch_work, 0, 2);
	tcase_add_test(tc, serving_tasks_are_admitted_without_batch_work);
	tcase_add_test(tc, batch_work_is_always_admitted);
	tcase_add_test(tc, room_of_batch_work_is_kept);
	tcase_add_test(tc, return_time_follows_the_release_of_room);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
