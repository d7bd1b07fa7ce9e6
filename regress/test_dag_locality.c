/* Waits for a place in the rack where a task runs faster: decision, run times, placing.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/dag_preview.h"
#include "proto/codec.h"
#include "regress/lib_dag_world.h"

#define MS 1000LL
#define SEC (1000 * MS)
#define FACTOR_MILLI 3000
#define SEED 7

static struct dag_world *world;

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

static struct dag_preview *preview(uint64_t id, const struct dag_step *st)
{
	struct dag_preview *p = calloc(1, sizeof(*p));
	struct dag_step copy;
	struct dag_job job = {.id = id};

	ck_assert_ptr_nonnull(p);
	if (!st) {
		ck_assert_int_eq(dag_preview_job(world->sched, id, world->now_us, p), 0);
		return p;
	}
	copy = *st;
	job.steps.steps_len = 1;
	job.steps.steps_val = &copy;
	XDR_SET(job, queue, STR("q"));
	ck_assert_int_eq(dag_preview_submission(world->sched, &job, world->now_us, p), 0);
	return p;
}

/* The tasks of a job run exactly where the preview said. */
static void assert_placed(uint64_t id, const struct dag_preview *p)
{
	const struct dag_preview_step *st = &p->step[0];
	uint32_t placed = 0;

	for (size_t i = 0; i < st->n_tasks; i++) {
		const struct dag_preview_task *t = &st->task[i];
		bool found = false;

		for (size_t w = 0; w < world->n_workers; w++)
			for (size_t k = 0; k < DW_RUNS; k++) {
				const struct dw_run *r = &world->workers[w].runs[k];

				if (!r->used || r->task.job != id ||
				    r->task.index != t->index)
					continue;
				found = true;
				ck_assert(str_eq(str_from(world->workers[w].id),
						 t->worker));
			}
		ck_assert_int_eq(found, t->worker.n > 0);
		placed += found;
	}
	ck_assert_uint_eq(dw_alive(world, id), placed);
}

/* Jobs that take capacity, and none of which ends while a preview is compared. */
#define BLOCKERS 5U
#define LASTING_MS 1000000U

/*
 * Guards against a preview that differs from the next start: random steps are previewed,
 * submitted and compared, some with more tasks than fit, for their rack or as gangs.
 */
START_TEST(preview_equals_the_next_start)
{
	struct prng p = {.state = (uint64_t)_i + 1};
	uint32_t starts = 0;

	open_racks((uint64_t)_i + 1, FACTOR_MILLI, 3);
	for (uint64_t id = 1; id <= 40; id++) {
		uint32_t kind = (uint32_t)prng_below(&p, 4);
		struct dag_step st = rack_step(kind == 1   ? "a"
					       : kind == 2 ? "b"
							   : NULL,
					       1 + (uint32_t)prng_below(&p, 6),
					       1000 + (uint32_t)prng_below(&p, 8000));
		struct dag_preview *before, *waiting;

		st.count = 1 + (uint32_t)prng_below(&p, 5);
		st.gang = kind == 3;
		st.same_rack = kind == 3 && prng_below(&p, 2);
		before = preview(id, &st);
		ck_assert_uint_eq(before->n_steps, 1);
		ck_assert_uint_eq(before->n_workers, 6);
		ck_assert_uint_le(before->step[0].n_candidates, DAG_PREVIEW_CANDIDATES);
		ck_assert_uint_eq(before->step[0].n_candidates, 6);
		dw_submit_step(world, id, &st);
		dw_run_for(world, 60 * MS);
		assert_placed(id, before);
		waiting = preview(id, NULL);
		ck_assert_uint_eq(waiting->n_steps, dw_alive(world, id) < st.count);
		starts += dw_alive(world, id);
		free(before);
		free(waiting);
		/* No activity of others during the next preview and start. */
		dw_cancel(world, id);
		submit(1000 + id, prng_below(&p, 2) ? "a" : NULL, 4, LASTING_MS);
		if (id > BLOCKERS)
			dw_cancel(world, 1000 + id - BLOCKERS);
		dw_run_for(world, 1 * SEC);
		for (uint64_t k = 1; k <= id; k++)
			ck_assert_uint_eq(dw_alive(world, k), 0);
	}
	ck_assert_uint_gt(starts, 40);
	close_racks();
}
END_TEST

/* Guards against previews that change what happens after them. */
START_TEST(previews_change_nothing)
{
	uint64_t hash[2];

	for (int with = 0; with < 2; with++) {
		struct dag_step st = rack_step("a", 3, 2000);
		struct prng p = {.state = 11};

		XDR_SET(st, image, STR("unknown"));
		st.count = 3;
		open_racks(SEED, FACTOR_MILLI, 3);
		for (uint64_t id = 1; id <= 60; id++) {
			submit(id, prng_below(&p, 3) ? "a" : NULL,
			       1 + (uint32_t)prng_below(&p, 8),
			       500 + (uint32_t)prng_below(&p, 4000));
			dw_run_for(world, 100 * MS);
			if (with) {
				free(preview(5000, &st));
				free(preview(id, NULL));
			}
			dw_run_for(world, 100 * MS);
		}
		dw_run_for(world, 30 * SEC);
		hash[with] = world->starts_hash;
		close_racks();
	}
	ck_assert_uint_eq(hash[0], hash[1]);
}
END_TEST

/* Guards against a preview that hides the wait of a job, its end, or what is unknown. */
START_TEST(preview_tells_of_waits_and_errors)
{
	struct dag_step st = rack_step("a", 8, 20000);
	struct dag_job job = {.id = 9, .steps = {1, &st}};
	struct dag_preview *p;

	open_racks(SEED, FACTOR_MILLI, 1);
	fill_rack_a(2000);
	p = preview(2, &st);
	ck_assert_uint_eq(p->step[0].hold, 1);
	ck_assert(p->step[0].task[0].waits);
	ck_assert(str_eq(p->step[0].wait_rack, STR("a")));
	ck_assert_int_gt(p->step[0].until_ms, 0);
	ck_assert_int_gt(p->step[0].free_ms, 0);
	ck_assert_int_ge(p->view_age_ms, 0);
	free(p);
	submit(2, "a", 8, 20000);
	dw_run_for(world, 200 * MS);
	p = preview(2, NULL);
	ck_assert(p->step[0].task[0].waits);
	ck_assert_int_gt(p->step[0].until_ms, 0);
	ck_assert_int_eq(dag_preview_job(world->sched, 77, world->now_us, p), CF_ENOENT);
	XDR_SET(job, queue, STR("no such queue"));
	ck_assert_int_eq(dag_preview_submission(world->sched, &job, world->now_us, p),
			 CF_ENOENT);
	st.count = 0;
	XDR_SET(job, queue, STR("q"));
	ck_assert_int_eq(dag_preview_submission(world->sched, &job, world->now_us, p),
			 CF_EINVAL);
	free(p);
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
	TCase *tc = tcase_create("placement");
	SRunner *r;
	int failed;

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
	tc = tcase_create("preview");
	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, preview_equals_the_next_start, 0, 12);
	tcase_add_test(tc, previews_change_nothing);
	tcase_add_test(tc, preview_tells_of_waits_and_errors);
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
