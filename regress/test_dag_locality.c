/* Waits for a place in the rack where a task runs faster: decision, run times, placing.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/dag_locality.h"
#include "core/dag_runtime.h"
#include "proto/codec.h"
#include "regress/lib_dag_world.h"

#define MS 1000LL
#define SEC (1000 * MS)
#define FACTOR_MILLI 3000
#define HUGE_SLACK (1000 * SEC)
#define SEED 7

static struct dag_world *world;

static bool waits(int64_t free_us, int64_t sd_us, int64_t extra_us, int64_t slack_us,
		  int64_t waited_us)
{
	struct dag_locality_input in = {
		.free_us = free_us,
		.free_sd_us = sd_us,
		.extra_us = extra_us,
		.slack_us = slack_us,
		.waited_us = waited_us,
	};

	return dag_locality_choose(&in).wait;
}

/* Guards against waits that cost more than they save. */
START_TEST(a_wait_must_be_shorter_than_what_it_saves)
{
	ck_assert(waits(1 * SEC, 0, 2 * SEC, HUGE_SLACK, 0));
	ck_assert(!waits(2 * SEC, 0, 2 * SEC, HUGE_SLACK, 0));
	ck_assert(!waits(3 * SEC, 0, 2 * SEC, HUGE_SLACK, 0));
	ck_assert(!waits(1 * SEC, 0, 0, HUGE_SLACK, 0));
	ck_assert(!waits(0, 0, -1, HUGE_SLACK, 0));
}
END_TEST

/* Guards against a wait for a place whose time is not known well enough. */
START_TEST(uncertainty_counts_against_a_wait)
{
	ck_assert(waits(1 * SEC, SEC / 2, 2 * SEC, HUGE_SLACK, 0));
	ck_assert(!waits(1 * SEC, 1 * SEC, 2 * SEC, HUGE_SLACK, 0));
}
END_TEST

/* Guards against a job that waits although it meets its objective only elsewhere now. */
START_TEST(a_wait_does_not_endanger_the_objective)
{
	ck_assert(waits(1 * SEC, 0, 2 * SEC, 3 * SEC + 1, 0));
	ck_assert(!waits(1 * SEC, 0, 2 * SEC, 3 * SEC - 1, 0));
	/* Elsewhere it is late. */
	ck_assert(waits(1 * SEC, 0, 2 * SEC, 2 * SEC - 1, 0));
	ck_assert(waits(1 * SEC, 0, 2 * SEC, -5 * SEC, 0));
}
END_TEST

/* Guards against waits that are prolonged without end by ever new forecasts. */
START_TEST(a_wait_ends)
{
	struct dag_locality_input in = {
		.free_us = SEC / 2, .extra_us = 2 * SEC, .slack_us = HUGE_SLACK};

	ck_assert_int_eq(dag_locality_choose(&in).until_us, 2 * SEC);
	in.waited_us = SEC;
	ck_assert_int_eq(dag_locality_choose(&in).until_us, SEC);
	in.waited_us = 0;
	in.slack_us = 3 * SEC + SEC / 2;
	ck_assert_int_eq(dag_locality_choose(&in).until_us, SEC + SEC / 2);
	ck_assert(!waits(SEC / 2, 0, 2 * SEC, HUGE_SLACK, 2 * SEC));
	ck_assert(!waits(SEC / 2, 0, 2 * SEC, HUGE_SLACK, 2 * SEC - SEC / 4));
	ck_assert(!waits(0, 0, 2 * SEC, HUGE_SLACK, INT64_MAX / 2));
}
END_TEST

/* Guards against run times that are not learned, and memory that grows with queues. */
START_TEST(run_times_are_learned_by_queue)
{
	struct dag_runtime *rt = calloc(1, sizeof(*rt));
	struct dag_time_estimate e;

	e = dag_runtime_of(rt, 1, 0, 1000);
	ck_assert_int_eq(e.mean_us, SEC);
	ck_assert_int_eq(e.sd_us, SEC / 2);
	for (int i = 0; i < 400; i++)
		dag_runtime_learn(rt, 1, 0, 1000, i % 2 ? 2900 : 3100);
	e = dag_runtime_of(rt, 1, 0, 2000);
	ck_assert_int_ge(e.mean_us, 5700 * MS);
	ck_assert_int_le(e.mean_us, 6000 * MS);
	ck_assert_int_le(e.sd_us, 400 * MS);
	for (uint64_t q = 2; q < 2 + DAG_RUNTIME_QUEUES; q++)
		dag_runtime_learn(rt, q, 0, 1000, 500);
	ck_assert_int_eq(dag_runtime_of(rt, 1, 0, 1000).mean_us, SEC);
	ck_assert_int_lt(dag_runtime_of(rt, 9, 0, 1000).mean_us, SEC);
	dag_runtime_learn(rt, 9, 0, 0, 500);
	dag_runtime_learn(rt, 9, 0, 1000, -500);
	free(rt);
}
END_TEST

/* Guards against forecasts of long runs that say "soon" for ever. */
START_TEST(rest_of_a_run)
{
	struct dag_time_estimate total = {10 * SEC, 1 * SEC};
	struct dag_run_age age = {.age_us = 4 * SEC, .progress_percent = -1};

	ck_assert_int_eq(dag_runtime_left(&total, &age).mean_us, 6 * SEC);
	age.age_us = 40 * SEC;
	ck_assert_int_ge(dag_runtime_left(&total, &age).mean_us, 15 * SEC);
	ck_assert_int_ge(dag_runtime_left(&total, &age).sd_us, 15 * SEC);
	age.progress_percent = 80;
	age.progress_age_us = 40 * SEC;
	ck_assert_int_eq(dag_runtime_left(&total, &age).mean_us, 10 * SEC);
	age.age_us = 45 * SEC;
	ck_assert_int_eq(dag_runtime_left(&total, &age).mean_us, 5 * SEC);
}
END_TEST

static struct dag_step rack_step(const char *rack, uint32_t cores, uint32_t estimate_ms)
{
	struct dag_step st = {.count = 1,
			      .cpu_milli = cores * 1000,
			      .mem_mb = 100,
			      .estimate_ms = estimate_ms};

	if (rack)
		XDR_SET(st, data_rack, str_from(rack));
	return st;
}

static void submit(uint64_t id, const char *rack, uint32_t cores, uint32_t estimate_ms)
{
	struct dag_step st = rack_step(rack, cores, estimate_ms);

	dw_submit_step(world, id, &st);
}

/* Two racks a and b; the objective leaves time for waits. */
static void open_racks(uint64_t seed, uint32_t told_milli, size_t workers)
{
	world = calloc(1, sizeof(*world));
	ck_assert_ptr_nonnull(world);
	dw_open(world, seed);
	dag_sched_free(world->sched);
	world->cross_rack_milli = FACTOR_MILLI;
	world->told_milli = told_milli;
	dw_lead(world);
	dw_add_rack(world, "a", workers);
	dw_add_rack(world, "b", workers);
	dw_run_for(world, 5 * SEC);
}

static void close_racks(void)
{
	dw_assert_sound(world);
	dw_close(world);
	free(world);
}

static const struct dw_worker *worker_with(uint64_t job)
{
	for (size_t i = 0; i < world->n_workers; i++)
		for (size_t k = 0; k < DW_RUNS; k++)
			if (world->workers[i].runs[k].used &&
			    world->workers[i].runs[k].task.job == job)
				return &world->workers[i];
	return NULL;
}

static bool runs_in(uint64_t job, const char *rack)
{
	const struct dw_worker *w = worker_with(job);

	return w && !strcmp(w->rack, rack);
}

/* Fills rack a with job 1, of which the run time is known from the jobs before. */
static void fill_rack_a(uint32_t estimate_ms)
{
	submit(1, "a", 8, estimate_ms);
	dw_run_for(world, 500 * MS);
	ck_assert(runs_in(1, "a"));
}

/* Guards against a task that starts elsewhere though its rack is free very soon. */
START_TEST(a_task_waits_for_its_rack)
{
	open_racks(SEED, FACTOR_MILLI, 1);
	fill_rack_a(2000);
	submit(2, "a", 8, 20000);
	dw_run_for(world, 200 * MS);
	ck_assert_ptr_null(worker_with(2));
	ck_assert_uint_eq(world->waits[DAG_WAIT_STARTED], 1);
	dw_run_for(world, 4 * SEC);
	ck_assert(runs_in(2, "a"));
	ck_assert_uint_eq(world->waits[DAG_WAIT_SUCCESSFUL], 1);
	ck_assert_uint_eq(world->waits[DAG_WAIT_UNSUCCESSFUL], 0);
	close_racks();
}
END_TEST

/* Guards against a wait for a place that is free later than the run elsewhere ends. */
START_TEST(a_task_does_not_wait_for_long_runs)
{
	open_racks(SEED, FACTOR_MILLI, 1);
	fill_rack_a(20000);
	submit(2, "a", 8, 2000);
	dw_run_for(world, 200 * MS);
	ck_assert(runs_in(2, "b"));
	ck_assert_uint_eq(world->waits[DAG_WAIT_STARTED], 0);
	close_racks();
}
END_TEST

/* Guards against waits where the setting is absent. */
START_TEST(nothing_waits_without_the_setting)
{
	open_racks(SEED, 0, 1);
	fill_rack_a(2000);
	submit(2, "a", 8, 20000);
	dw_run_for(world, 200 * MS);
	ck_assert(runs_in(2, "b"));
	ck_assert_uint_eq(world->waits[DAG_WAIT_STARTED], 0);
	close_racks();
}
END_TEST

/* Guards against capacity that stays idle behind a task that waits for its rack. */
START_TEST(other_steps_use_the_room_meanwhile)
{
	open_racks(SEED, FACTOR_MILLI, 1);
	fill_rack_a(2000);
	submit(2, "a", 8, 20000);
	dw_run_for(world, 100 * MS);
	ck_assert_ptr_null(worker_with(2));
	submit(3, NULL, 8, 21000);
	dw_run_for(world, 100 * MS);
	ck_assert(runs_in(3, "b"));
	ck_assert_ptr_null(worker_with(2));
	dw_run_for(world, 4 * SEC);
	ck_assert(runs_in(2, "a"));
	close_racks();
}
END_TEST

/* Guards against a wait for a run that lasts far longer than it should. */
START_TEST(a_wait_in_vain_ends)
{
	open_racks(SEED, FACTOR_MILLI, 1);
	world->workers[0].stands = true;
	fill_rack_a(2000);
	submit(2, "a", 8, 10000);
	dw_run_for(world, 200 * MS);
	ck_assert_ptr_null(worker_with(2));
	dw_run_for(world, 11 * SEC);
	ck_assert(runs_in(2, "b"));
	ck_assert_uint_eq(world->waits[DAG_WAIT_UNSUCCESSFUL], 1);
	close_racks();
}
END_TEST

/*
 * Guards against leaders that let a step wait anew. The job's only reason to wait is
 * worth 10 s; its waits under all leaders together must not last longer.
 */
START_TEST(a_new_leader_does_not_begin_the_wait_anew)
{
	int64_t submitted_us;

	open_racks(SEED, FACTOR_MILLI, 1);
	world->workers[0].stands = true;
	fill_rack_a(9000);
	submit(2, "a", 8, 10000);
	submitted_us = world->now_us;
	while (!worker_with(2) && world->now_us < submitted_us + 60 * SEC) {
		dw_run_for(world, 2 * SEC);
		if (!worker_with(2))
			dw_change_leader(world);
	}
	ck_assert(runs_in(2, "b"));
	ck_assert_int_le(world->now_us - submitted_us, 14 * SEC);
	close_racks();
}
END_TEST

/* Guards against waits of a dependent step of which a new leader does not know the age.
 */
START_TEST(a_dependent_step_does_not_wait_for_a_new_leader)
{
	struct dag_step st[2] = {rack_step("a", 8, 2000), rack_step("a", 8, 20000)};
	struct dag_job job = {.id = 2, .steps = {2, st}};
	u_int before = 0;

	open_racks(SEED, FACTOR_MILLI, 1);
	st[1].depends_on.depends_on_len = 1;
	st[1].depends_on.depends_on_val = &before;
	dw_submit(world, &job);
	dw_run_for(world, 500 * MS);
	ck_assert(runs_in(2, "a"));
	submit(1, "a", 8, 2000); /* takes rack a first, as it has the least work */
	for (int i = 0; i < 1000 && !runs_in(1, "a"); i++)
		dw_run_for(world, 5 * MS);
	ck_assert(runs_in(1, "a"));
	dw_run_for(world, 100 * MS);
	ck_assert_ptr_null(worker_with(2));
	dw_change_leader(world);
	dw_run_for(world, 500 * MS);
	ck_assert(runs_in(2, "b"));
	close_racks();
}
END_TEST

/* Guards against a gang that is spread over racks though one has room soon. */
START_TEST(a_gang_waits_for_one_rack)
{
	struct dag_step st = rack_step(NULL, 8, 20000);

	st.count = 2;
	st.gang = true;
	st.same_rack = true;
	open_racks(SEED, _i ? 0 : FACTOR_MILLI, 2);
	submit(1, "a", 8, 3000);
	submit(3, "b", 8, 60000);
	dw_run_for(world, 500 * MS);
	dw_submit_step(world, 2, &st);
	dw_run_for(world, 200 * MS);
	ck_assert_uint_eq(dw_alive(world, 2), _i ? 2 : 0);
	dw_run_for(world, 5 * SEC);
	ck_assert_uint_eq(dw_alive(world, 2), 2);
	if (!_i)
		ck_assert(runs_in(2, "a"));
	close_racks();
}
END_TEST

/*
 * A load of tasks with a rack on 2 racks of 8 workers: each seed has the same jobs and
 * run times in each mode.
 */
enum mode { NO_WAIT, DECIDED, FIXED_SHORT, FIXED_LONG, N_MODES };

#define LOAD_JOBS 260U
#define LOAD_SEEDS 4		 /* LOAD_SEEDS in the environment overrides it */
#define LOAD_TAIL_US (300 * SEC) /* the longest run takes 230 s */

struct outcome {
	double mean_ms;
	double late; /* part of the jobs above their objective */
	uint32_t waits[3];
};

/* Two thirds of the jobs name rack a, so that it is full at times and b is not. */
static void load_jobs(struct prng *p)
{
	uint64_t id = 0;

	while (id < LOAD_JOBS) {
		uint32_t kind = (uint32_t)prng_below(p, 6);
		const char *rack = kind < 4 ? "a" : kind == 4 ? "b" : NULL;
		uint32_t cores = 2 + 2 * (uint32_t)prng_below(p, 3);
		uint32_t ms = 600 + 400 * (uint32_t)prng_below(p, 20);

		submit(++id, rack, cores, ms);
		dw_run_for(world, 50 * MS + (int64_t)prng_below(p, 300) * MS);
	}
	dw_run_for(world, LOAD_TAIL_US);
}

static struct outcome run_load(uint64_t seed, uint32_t factor_milli, enum mode mode)
{
	struct prng p = {.state = seed};
	struct outcome o = {0};
	int64_t sum = 0;

	open_racks(seed, mode == NO_WAIT ? 0 : factor_milli, 8);
	world->cross_rack_milli = factor_milli;
	world->long_permille = 30;
	dag_sched_free(world->sched);
	if (mode == FIXED_SHORT)
		world->fixed_wait_us = 1 * SEC;
	if (mode == FIXED_LONG)
		world->fixed_wait_us = 5 * SEC;
	dw_lead(world);
	dw_run_for(world, 5 * SEC);
	load_jobs(&p);
	for (uint64_t id = 1; id <= LOAD_JOBS; id++) {
		const struct dag_job_rec *j = dag_state_find_job(world->state, id);
		int64_t ms;

		ck_assert_int_eq(j->state, DAG_JOB_COMPLETED);
		ms = j->ended_ms - j->spec.accepted_ms;
		sum += ms;
		o.late += ms > 1000 + 2 * (int64_t)j->spec.steps.steps_val[0].estimate_ms;
	}
	o.mean_ms = (double)sum / LOAD_JOBS;
	o.late /= LOAD_JOBS;
	memcpy(o.waits, world->waits, sizeof(o.waits));
	close_racks();
	return o;
}

static struct outcome run_loads(uint32_t factor_milli, enum mode mode)
{
	const char *text = getenv("LOAD_SEEDS");
	uint64_t seeds = text ? strtoull(text, NULL, 10) : LOAD_SEEDS;
	struct outcome sum = {0};

	for (uint64_t seed = 1; seed <= seeds; seed++) {
		struct outcome o = run_load(seed, factor_milli, mode);

		sum.mean_ms += o.mean_ms / (double)seeds;
		sum.late += o.late / (double)seeds;
		for (int i = 0; i < 3; i++)
			sum.waits[i] += o.waits[i];
	}
	return sum;
}

/*
 * Guards against decisions that are worse than none, or than delay scheduling with a
 * fixed wait, in the mean of the completion times over all seeds. No fixed wait is right
 * for all factors; each may come close to the decision for one of them.
 */
START_TEST(jobs_complete_sooner_than_without_or_with_fixed_waits)
{
	static const char *const names[] = {"no wait", "decided", "fixed 1 s",
					    "fixed 5 s"};
	static const uint32_t factors[] = {1500, 2000, 3000};
	double total[N_MODES] = {0};

	for (size_t f = 0; f < sizeof(factors) / sizeof(factors[0]); f++) {
		struct outcome sum[N_MODES];

		for (int m = 0; m < N_MODES; m++) {
			sum[m] = run_loads(factors[f], (enum mode)m);
			total[m] += sum[m].mean_ms;
			printf("factor %.1f, %-9s: mean completion %.0f ms, late %.3f, "
			       "waits %u, successful %u, unsuccessful %u\n",
			       factors[f] / 1000.0, names[m], sum[m].mean_ms, sum[m].late,
			       sum[m].waits[0], sum[m].waits[1], sum[m].waits[2]);
		}
		fflush(stdout);
		for (int m = 0; m < N_MODES; m++)
			ck_assert_msg(sum[DECIDED].mean_ms < 1.01 * sum[m].mean_ms, "%s",
				      names[m]);
		ck_assert(sum[DECIDED].mean_ms < 0.97 * sum[NO_WAIT].mean_ms);
	}
	for (int m = 0; m < N_MODES; m++)
		if (m != DECIDED)
			ck_assert_msg(total[DECIDED] < total[m], "%s", names[m]);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("dag_locality");
	TCase *tc = tcase_create("decision");
	SRunner *r;
	int failed;

	tcase_add_test(tc, a_wait_must_be_shorter_than_what_it_saves);
	tcase_add_test(tc, uncertainty_counts_against_a_wait);
	tcase_add_test(tc, a_wait_does_not_endanger_the_objective);
	tcase_add_test(tc, a_wait_ends);
	tcase_add_test(tc, run_times_are_learned_by_queue);
	tcase_add_test(tc, rest_of_a_run);
	suite_add_tcase(suite, tc);
	tc = tcase_create("placement");
	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, a_task_waits_for_its_rack);
	tcase_add_test(tc, a_task_does_not_wait_for_long_runs);
	tcase_add_test(tc, nothing_waits_without_the_setting);
	tcase_add_test(tc, other_steps_use_the_room_meanwhile);
	tcase_add_test(tc, a_wait_in_vain_ends);
	tcase_add_test(tc, a_new_leader_does_not_begin_the_wait_anew);
	tcase_add_test(tc, a_dependent_step_does_not_wait_for_a_new_leader);
	tcase_add_loop_test(tc, a_gang_waits_for_one_rack, 0, 2);
	suite_add_tcase(suite, tc);
	tc = tcase_create("load");
	tcase_set_timeout(tc, 300);
	tcase_add_test(tc, jobs_complete_sooner_than_without_or_with_fixed_waits);
	suite_add_tcase(suite, tc);
	r = srunner_create(suite);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? 1 : 0;
}
