/*
 * The room of workers that start whatever they are told to start, which shrinks and
 * grows, and who gets it.
 */
#include <check.h>
#include <stdlib.h>

#include "proto/codec.h"
#include "regress/lib_dag_world.h"

#define SECOND 1000000LL
#define N_SEEDS 100

static struct dag_world w;

static void open_world(void)
{
	dw_open(&w, 1);
}

static void close_world(void)
{
	dw_close(&w);
}

static uint32_t add_unguarded(void)
{
	uint32_t number = dw_add_worker(&w, 8000, 8000);

	w.workers[number].unguarded = true;
	dw_set_guarded(&w, false);
	return number;
}

static void set_room(uint32_t number, uint32_t cpu, uint32_t mem)
{
	dw_set_room(&w, number, &(struct dw_room){.cpu = cpu, .mem = mem});
}

static void assert_completed(uint64_t id)
{
	dw_assert_sound(&w);
	ck_assert_msg(dw_state(&w, id) == DAG_JOB_COMPLETED, "job %llu is in state %d",
		      (unsigned long long)id, dw_state(&w, id));
}

/* Guards against a start without an answer that is repeated after the room shrank. */
START_TEST(lost_start_is_not_repeated_in_a_smaller_room)
{
	uint32_t small = add_unguarded();

	dw_run_for(&w, SECOND);
	w.lost_permille = 1000;
	dw_submit_chain(&w, 1, 1, 8);
	dw_run_for(&w, SECOND / 10);
	set_room(small, _i ? 8000 : 3000, _i ? 300 : 8000);
	dw_run_for(&w, 6 * SECOND);
	w.lost_permille = 0;
	dw_run_for(&w, 10 * SECOND);
	assert_completed(1);
}
END_TEST

/* Guards against a recorded run that a new leader sends though the room has shrunk. */
START_TEST(recovered_run_is_not_sent_in_a_smaller_room)
{
	uint32_t small = add_unguarded();

	dw_run_for(&w, SECOND);
	w.lost_permille = 1000;
	dw_submit_chain(&w, 1, 1, 8);
	dw_run_for(&w, SECOND / 10);
	set_room(small, 3000, 8000);
	dw_run_for(&w, 6 * SECOND);
	dw_change_leader(&w);
	w.lost_permille = 0;
	dw_run_for(&w, 10 * SECOND);
	assert_completed(1);
}
END_TEST

static void submit_batch(uint64_t id, uint32_t count, uint32_t cpu, uint32_t mem)
{
	struct dag_step st = {
		.count = count, .cpu_milli = cpu, .mem_mb = mem, .estimate_ms = 500};

	dw_submit_step(&w, id, &st);
}

static struct dag_worker recorded(uint32_t number)
{
	return dag_state_find_worker_by_id(w.state, str_from(w.workers[number].id))->w;
}

/* A message of leaving that was meant for an earlier life, while the worker is cut off.
 */
static void lose_worker(uint32_t number)
{
	w.workers[number].cut = true;
	dw_announce_exit(&w, number + 1);
	dw_run_for(&w, 6 * SECOND);
	ck_assert_int_eq(recorded(number).state, DAG_WORKER_GONE);
}

/* Guards against starts beside runs that are recorded as lost and still being stopped. */
START_TEST(stray_runs_count_until_they_have_stopped)
{
	uint32_t number = add_unguarded();
	struct dag_report back = {0};

	w.work_us = 60 * SECOND;
	submit_batch(1, 4, 2000, 100);
	dw_run_for(&w, 2 * SECOND);
	ck_assert_uint_eq(dw_alive(&w, 1), 4);
	lose_worker(number);
	dw_cancel(&w, 1);
	w.work_us = SECOND;
	submit_batch(2, 4, 2000, 100);
	back.worker = recorded(number);
	back.worker.state = DAG_WORKER_READY;
	w.workers[number].cut = false;
	/* The next report comes while the runs are being stopped. */
	dw_run_for(&w, 9 * SECOND / 10);
	dag_sched_worker_contradicted(w.sched, &back);
	dw_run_for(&w, 3 * SECOND);
	assert_completed(2);
	ck_assert_uint_eq(dw_alive(&w, 1), 0);
}
END_TEST

/* Guards against a late report, sent before the room shrank, that brings it back. */
START_TEST(late_report_does_not_restore_a_room)
{
	uint32_t small = add_unguarded();

	w.work_us = 60 * SECOND;
	dw_run_for(&w, SECOND);
	w.late_report_permille = 1000;
	dw_run_for(&w, 3 * SECOND);
	w.late_report_permille = 0;
	set_room(small, 2000, 8000);
	dw_run_for(&w, SECOND + SECOND / 10);
	submit_batch(1, 8, 1000, 100);
	dw_run_for(&w, 14 * SECOND);
	dw_assert_sound(&w);
	ck_assert_uint_le(dw_alive(&w, 1), 2);
	set_room(small, 4000, 8000);
	dw_run_for(&w, SECOND + SECOND / 10);
	dw_assert_sound(&w);
	ck_assert_uint_eq(dw_alive(&w, 1), 4);
}
END_TEST

/* Guards against a start whose record takes so long that the room has shrunk by then. */
START_TEST(start_recorded_late_looks_at_the_room)
{
	uint32_t small = add_unguarded();

	dw_run_for(&w, SECOND);
	dw_submit_chain(&w, 1, 1, 8);
	dw_run_for(&w, SECOND / 100);
	w.commit_us = 6 * SECOND;
	dw_run_for(&w, SECOND / 100);
	set_room(small, 3000, 8000);
	dw_run_for(&w, 7 * SECOND);
	dw_assert_sound(&w);
	w.commit_us = SECOND / 100;
	dw_run_for(&w, 12 * SECOND);
	assert_completed(1);
}
END_TEST

/* Guards against the old room of a worker that was recorded as gone for a while. */
START_TEST(returned_worker_has_its_new_room)
{
	uint32_t number = add_unguarded();
	struct dag_report back = {0};

	dw_run_for(&w, SECOND);
	lose_worker(number);
	set_room(number, 2000, 8000);
	dw_run_for(&w, 5 * SECOND + SECOND / 20);
	w.workers[number].cut = false;
	submit_batch(1, 8, 1000, 100);
	back.worker = recorded(number);
	back.worker.state = DAG_WORKER_READY;
	back.worker.cpu_milli = 2000;
	dag_sched_worker_contradicted(w.sched, &back);
	dw_run_for(&w, SECOND / 10);
	ck_assert_int_eq(recorded(number).state, DAG_WORKER_READY);
	ck_assert_uint_eq(recorded(number).cpu_milli, 2000);
	dw_run_for(&w, 12 * SECOND);
	assert_completed(1);
}
END_TEST

static void take_report(const struct dag_report *r)
{
	struct dag_command c = {.kind = DAG_CMD_WORKER};

	if (dag_sched_report(w.sched, r, w.now_us, &c.dag_command_u.worker))
		w.host.ops->propose(&w.host, &c);
}

/* Guards against a late report that undoes a draining that is not recorded yet. */
START_TEST(late_report_does_not_undo_draining)
{
	uint32_t number = add_unguarded();
	struct dag_report late = {0};
	struct dag_report draining;

	dw_run_for(&w, 2 * SECOND);
	w.workers[number].mute = true;
	late.worker = recorded(number);
	late.clock_ms = dw_wall_ms(&w) - late.worker.born_ms;
	draining = late;
	draining.clock_ms++;
	draining.worker.state = DAG_WORKER_DRAINING;
	draining.worker.cpu_milli = 2000;
	w.commit_us = SECOND / 5;
	take_report(&draining);
	take_report(&late);
	dw_run_for(&w, SECOND);
	ck_assert_int_eq(recorded(number).state, DAG_WORKER_DRAINING);
}
END_TEST

static void submit_serving(uint64_t id, uint32_t count, const char *image)
{
	struct dag_step st = {.count = count,
			      .cpu_milli = 2000,
			      .mem_mb = 100,
			      .long_running = true,
			      .target_ms = DW_TARGET_MS};

	XDR_SET(st, image, str_from(image));
	dw_submit_step(&w, id, &st);
}

static void submit_filler(uint64_t id, const char *image)
{
	struct dag_step st = {.count = 1,
			      .cpu_milli = 1000,
			      .mem_mb = 100,
			      .estimate_ms = 500,
			      .filler = true};

	XDR_SET(st, image, str_from(image));
	dw_submit_step(&w, id, &st);
}

/* Guards against fillers that start beside tasks that no longer fit into the room. */
START_TEST(no_filler_starts_on_a_worker_over_its_room)
{
	struct dag_step lasting = {
		.count = 4, .cpu_milli = 2000, .mem_mb = 100, .long_running = true};
	uint32_t small = add_unguarded();

	dw_run_for(&w, SECOND);
	dw_submit_step(&w, 1, &lasting);
	dw_run_for(&w, SECOND);
	ck_assert_uint_eq(dw_alive(&w, 1), 4);
	set_room(small, 6000, 8000);
	dw_run_for(&w, 6 * SECOND);
	submit_filler(2, "fill-b");
	dw_run_for(&w, 3 * SECOND);
	dw_assert_sound(&w);
	ck_assert_int_eq(dw_state(&w, 2), DAG_JOB_QUEUED);
	ck_assert_uint_eq(dw_alive(&w, 1), 4);
	set_room(small, 8000, 8000);
	dw_run_for(&w, 6 * SECOND);
	assert_completed(2);
}
END_TEST

/* Guards the model of interference against a room without CPU: a share of it is no
 * number.
 */
START_TEST(fillers_outlast_a_room_without_cpu)
{
	uint32_t small = add_unguarded();

	w.work_us = 10 * SECOND;
	dw_run_for(&w, SECOND);
	submit_serving(1, 2, "serve-a");
	dw_run_for(&w, SECOND);
	submit_filler(2, "fill-b");
	dw_run_for(&w, 2 * SECOND);
	ck_assert_uint_eq(dw_alive(&w, 2), 1);
	set_room(small, 0, 8000);
	dw_run_for(&w, 4 * SECOND);
	set_room(small, 8000, 8000);
	submit_filler(3, "fill-b");
	dw_run_for(&w, 30 * SECOND);
	assert_completed(2);
	assert_completed(3);
	ck_assert_uint_eq(dw_alive(&w, 1), 2);
	ck_assert_uint_eq(w.starts, 4);
}
END_TEST

/* Guards against work that waits on after a guarded worker refused it for want of room.
 */
START_TEST(refusals_in_a_smaller_room_are_few_and_short)
{
	uint32_t small = dw_add_worker(&w, 8000, 8000);

	w.work_us = SECOND / 5;
	dw_run_for(&w, SECOND + SECOND / 100);
	set_room(small, 2000, 8000);
	dw_submit_chain(&w, 1, 1, 8);
	dw_run_for(&w, 3 * SECOND);
	assert_completed(1);
	ck_assert_uint_le(w.refusals, 24);
	w.refusals = 0;
	dw_submit_chain(&w, 2, 1, 8);
	dw_run_for(&w, 2 * SECOND);
	set_room(small, 8000, 8000);
	w.work_us = 60 * SECOND;
	dw_submit_chain(&w, 3, 1, 8);
	dw_run_for(&w, SECOND + SECOND / 2);
	assert_completed(2);
	ck_assert_uint_eq(dw_alive(&w, 3), 8);
	ck_assert_uint_eq(w.refusals, 0);
}
END_TEST

/* Guards against starts beside runs whose lease has ended here and not on the worker. */
START_TEST(runs_count_until_a_slow_clock_ends_their_lease)
{
	uint32_t slow = add_unguarded();

	w.workers[slow].slow_clock = true;
	w.work_us = 60 * SECOND;
	dw_run_for(&w, SECOND);
	submit_batch(1, 4, 2000, 100);
	dw_run_for(&w, SECOND);
	w.workers[slow].cut = true;
	dw_run_for(&w, SECOND);
	dw_cancel(&w, 1);
	submit_batch(2, 4, 2000, 100);
	dw_run_for(&w, 7 * SECOND + _i * SECOND / 20);
	w.workers[slow].cut = false;
	dw_run_for(&w, 6 * SECOND);
	dw_assert_sound(&w);
	ck_assert_uint_eq(dw_alive(&w, 2), 4);
}
END_TEST

/*
 * Guards against starts by a capacity of which no report has come for a while: the
 * reports are lost and polls are answered, or a new leader has only the record.
 */
START_TEST(room_without_reports_is_not_filled)
{
	uint32_t small = add_unguarded();

	dw_run_for(&w, SECOND + SECOND / 10);
	w.workers[small].mute = true;
	set_room(small, 2000, 8000);
	dw_run_for(&w, 5 * SECOND);
	if (_i)
		dw_change_leader(&w);
	dw_submit_chain(&w, 1, 1, 8);
	dw_run_for(&w, 5 * SECOND);
	dw_assert_sound(&w);
	w.workers[small].mute = false;
	dw_run_for(&w, 5 * SECOND);
	assert_completed(1);
}
END_TEST

static void random_room(struct prng *p)
{
	uint32_t n = (uint32_t)prng_below(p, w.n_workers);

	uint32_t cpu = 8000;
	uint32_t mem = 2000;

	/* One draw a statement: compilers order arguments differently. */
	if (prng_below(p, 3)) {
		mem = 250 * (uint32_t)prng_below(p, 9);
		cpu = 1000 * (uint32_t)prng_below(p, 9);
	}
	set_room(n, cpu, mem);
}

static void random_trouble(struct prng *p)
{
	struct dw_worker *dw = &w.workers[prng_below(p, w.n_workers)];
	uint32_t n = (uint32_t)(dw - w.workers);

	switch (prng_below(p, 8)) {
	case 0:
		dw_change_leader(&w);
		break;
	case 1:
		dw_crash_worker(&w, n, true);
		break;
	case 2:
		dw->cut = !dw->cut;
		break;
	case 3:
		dw->mute = !dw->mute;
		break;
	case 4:
		dw_cancel(&w, 1 + prng_below(p, 30));
		break;
	case 5:
		w.commit_us = prng_below(p, 3) ? SECOND / 100 : 2 * SECOND;
		break;
	default:
		break;
	}
}

static void submit_random(uint64_t id, struct prng *p)
{
	uint32_t count, cpu, mem;

	switch (prng_below(p, 3)) {
	case 0:
		count = 1 + (uint32_t)prng_below(p, 6);
		dw_submit_chain(&w, id, 1 + (uint32_t)prng_below(p, 3), count);
		break;
	case 1:
		mem = 100 * (1 + (uint32_t)prng_below(p, 6));
		cpu = 500 * (1 + (uint32_t)prng_below(p, 6));
		count = 1 + (uint32_t)prng_below(p, 5);
		submit_batch(id, count, cpu, mem);
		break;
	default:
		submit_filler(id, "fill-b");
		break;
	}
}

/* Guards all checks of the world against faults while rooms shrink and grow. */
START_TEST(random_rooms)
{
	struct prng p;

	dw_close(&w);
	dw_open(&w, (uint64_t)_i + 1000);
	p.state = (uint64_t)_i;
	w.lost_permille = 60;
	w.late_permille = 60;
	w.late_report_permille = 150;
	for (int i = 0; i < 6; i++) {
		uint32_t number = dw_add_worker(&w, 8000, 2000);

		w.workers[number].unguarded = true;
		w.workers[number].slow_clock = i % 2;
	}
	dw_set_guarded(&w, false);
	dw_run_for(&w, SECOND);
	dw_submit_lasting(&w, 1000, 6);
	for (uint64_t id = 1; id <= 30; id++) {
		submit_random(id, &p);
		w.work_us = SECOND / 10 + (int64_t)prng_below(&p, 3 * SECOND);
		dw_run_for(&w, SECOND / 3);
		random_room(&p);
		dw_run_for(&w, SECOND / 3);
		random_trouble(&p);
	}
	w.work_us = SECOND / 2;
	w.commit_us = SECOND / 100;
	for (uint32_t i = 0; i < w.n_workers; i++) {
		w.workers[i].cut = false;
		w.workers[i].mute = false;
		set_room(i, 8000, 2000);
	}
	dw_run_for(&w, 60 * SECOND);
	dw_assert_sound(&w);
	/* A submission that was not recorded when its leader was lost is not known. */
	for (uint64_t id = 1; id <= 30; id++)
		ck_assert_msg(!dag_state_find_job(w.state, id) ||
				      dw_state(&w, id) >= DAG_JOB_COMPLETED,
			      "job %llu waits", (unsigned long long)id);
	ck_assert_uint_eq(dw_alive(&w, 1000), 6);
}
END_TEST

/* A stream of batch tasks of which two always run; each ends 1 s after its start. */
static void submit_stream_for(int64_t us, const struct dag_step *step, uint64_t *id)
{
	for (int64_t t = 0; t < us; t += SECOND / 2) {
		dw_submit_step(&w, (*id)++, step);
		dw_run_for(&w, SECOND / 2);
	}
}

/*
 * Guards against a serving task that waits for ever as smaller batch tasks take each part
 * of its room when it is free. _i: tasks with cores of their own, fillers that take
 * memory.
 */
START_TEST(serving_task_is_not_overtaken_by_batch_tasks)
{
	struct dag_step batch = {.count = 1,
				 .cpu_milli = 2000,
				 .mem_mb = 2000,
				 .estimate_ms = 1000,
				 .filler = _i};
	struct dag_step large = {
		.count = 1, .cpu_milli = 5000, .mem_mb = 7000, .long_running = true};
	uint64_t id = 10;

	dw_add_worker(&w, 8000, 8000);
	w.work_us = SECOND + SECOND / 10;
	dw_submit_lasting(&w, 1, 2);
	submit_stream_for(4 * SECOND, &batch, &id);
	dw_submit_step(&w, 2, &large);
	submit_stream_for(6 * SECOND, &batch, &id);
	dw_assert_sound(&w);
	ck_assert_uint_eq(dw_alive(&w, 2), 1);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dag_room");
	TCase *tc = tcase_create("dag_room");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(tc, 120);
	tcase_add_checked_fixture(tc, open_world, close_world);
	tcase_add_loop_test(tc, lost_start_is_not_repeated_in_a_smaller_room, 0, 2);
	tcase_add_test(tc, recovered_run_is_not_sent_in_a_smaller_room);
	tcase_add_test(tc, stray_runs_count_until_they_have_stopped);
	tcase_add_test(tc, late_report_does_not_restore_a_room);
	tcase_add_test(tc, start_recorded_late_looks_at_the_room);
	tcase_add_test(tc, returned_worker_has_its_new_room);
	tcase_add_test(tc, late_report_does_not_undo_draining);
	tcase_add_test(tc, no_filler_starts_on_a_worker_over_its_room);
	tcase_add_test(tc, fillers_outlast_a_room_without_cpu);
	tcase_add_test(tc, refusals_in_a_smaller_room_are_few_and_short);
	tcase_add_loop_test(tc, runs_count_until_a_slow_clock_ends_their_lease, 0, 80);
	tcase_add_loop_test(tc, room_without_reports_is_not_filled, 0, 2);
	tcase_add_loop_test(tc, random_rooms, 0, N_SEEDS);
	tcase_add_loop_test(tc, serving_task_is_not_overtaken_by_batch_tasks, 0, 2);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
