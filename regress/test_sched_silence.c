#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "regress/lib_sched_world.h"

#define SECOND 1000000LL
#define WORKERS 12
#define ROUNDS 16
#define DEADLY_BOUND 3 /* workers that a task ends before it is given up */
/* Ends beside cuts or in quick succession look like one cause: three more at most. */
#define DEADLY_BOUND_BURSTS (DEADLY_BOUND + 3)
#define BURST_US (5 * SECOND)
/* A worker that never returns proves nothing: the starts become rare. */
#define SILENT_STARTS_BOUND 6

static uint64_t first_seed = 1;
static uint64_t seeds = 8;

static struct sched_job batch(uint32_t tasks)
{
	return (struct sched_job){
		.class = SCHED_BATCH,
		.tasks = tasks,
		.size = {1000, 500, 0},
		.run_us = 20 * SECOND,
	};
}

static struct sim *new_world(uint64_t seed, struct sim_policy *p)
{
	struct sim_options o = {
		.seed = seed,
		.workers = WORKERS,
		.zones = 3,
		.rack_size = 8,
		.teams = 2,
		.capacity = {32000, 125000, 0},
		.lag_us = 2 * SECOND,
		.noise = 0.1,
	};
	struct sim *w = sim_new(&o, p);

	sim_submit(w, 0, 0, batch(2 * WORKERS), 4 * SECOND);
	sim_run(w, 30 * SECOND);
	return w;
}

static void finish(struct sim *w, struct sim_policy *p)
{
	ck_assert_msg(w->errors == 0, "%u violations, first: %s (seed %llu)", w->errors,
		      w->error, (unsigned long long)w->opt.seed);
	sim_free(w);
	free(p);
}

static void heal(struct sim *w)
{
	for (unsigned int i = 0; i < w->opt.workers; i++)
		sim_cut(w, i, false);
}

static void check_innocents(struct sim *w)
{
	for (unsigned int i = 0; i < w->njobs; i++)
		for (uint32_t k = 0; k < w->job[i]->ntasks; k++)
			if (!w->job[i]->deadly &&
			    w->job[i]->task[k].state == SCHED_FAILED)
				sim_fail(w, "innocent given up", w->job[i], k);
}

static int64_t seconds_below(struct sim *w, uint64_t low, uint64_t high)
{
	return (int64_t)(low * SECOND + prng_below(&w->rng, (high - low) * SECOND));
}

static void cut_share(struct sim *w, uint64_t percent)
{
	for (unsigned int i = 0; i < w->opt.workers; i++)
		if (prng_below(&w->rng, 100) < percent)
			sim_cut(w, i, true);
}

static void heal_share(struct sim *w, uint64_t percent)
{
	for (unsigned int i = 0; i < w->opt.workers; i++)
		if (prng_below(&w->rng, 100) < percent)
			sim_cut(w, i, false);
}

/* Ends the test if innocents failed or remain once all workers are in touch. */
static void finish_innocents(struct sim *w, struct sim_policy *p)
{
	heal(w);
	for (unsigned int i = 0; i < 60 && sim_unfinished(w, false); i++)
		sim_run(w, w->now_us + 10 * SECOND);
	check_innocents(w);
	if (sim_unfinished(w, false))
		sim_fail(w, "work left at the end", NULL, sim_unfinished(w, false));
	finish(w, p);
}

/* Guards against work that is given up since its workers were cut off in series. */
START_TEST(cuts_in_series_give_up_nothing)
{
	static const uint64_t share[] = {25, 50, 100};

	for (uint64_t seed = first_seed; seed < first_seed + seeds; seed++) {
		struct sim_policy *p = sim_scheduler();
		struct sim *w = new_world(seed, p);

		for (unsigned int i = 0; i < ROUNDS; i++) {
			sim_submit(w, 0, 0, batch(8), 60 * SECOND);
			cut_share(w, share[seed % 3]);
			sim_run(w, w->now_us + seconds_below(w, 7, i % 2 ? 60 : 10));
			heal_share(w, share[(seed + i) % 3]);
			if (_i && i % 2)
				sim_crash_leader(w, seconds_below(w, 0, 2));
			sim_run(w, w->now_us + seconds_below(w, 1, 4));
		}
		finish_innocents(w, p);
	}
}
END_TEST

/* Cuts off the worker that runs the task and returns its index, -1 if there is none. */
static int cut_worker_of(struct sim *w, const struct sim_job *j)
{
	for (unsigned int i = 0; i < w->opt.workers; i++)
		for (struct sim_run *r = w->worker[i].runs; r; r = r->next)
			if (r->job == j && r->status == SCHED_T_RUNNING &&
			    !w->worker[i].cut) {
				sim_cut(w, i, true);
				return (int)i;
			}
	return -1;
}

/* Guards against work that is given up since the cuts of its workers overlap. */
START_TEST(overlapping_cuts_give_up_nothing)
{
	for (uint64_t seed = first_seed; seed < first_seed + seeds; seed++) {
		struct sim_policy *p = sim_scheduler();
		struct sim *w = new_world(seed, p);
		struct sim_job *j = sim_submit(w, 0, 0, batch(1), 30 * SECOND);
		int cut[WORKERS];
		unsigned int n = 0;

		for (unsigned int i = 0; i < 8 * ROUNDS && n < 8; i++) {
			int k = cut_worker_of(w, j);

			if (k >= 0)
				cut[n++] = k;
			if (_i && k >= 0 && n % 2 == 0)
				sim_crash_leader(w, SECOND);
			/* The first one cut is back first, while others are silent. */
			if (k >= 0 && n >= 4)
				sim_cut(w, (unsigned int)cut[n - 4], false);
			sim_run(w, w->now_us + seconds_below(w, 1, 6));
		}
		check_innocents(w);
		if (n < 4 && !w->errors)
			sim_fail(w, "too few cuts", j, 0);
		finish_innocents(w, p);
	}
}
END_TEST

static void run_deadly(uint64_t seed, int64_t gap_us, bool cuts, bool new_leaders)
{
	struct sim_policy *p = sim_scheduler();
	struct sim *w = new_world(seed, p);
	struct sim_job *j = sim_submit(w, 0, 1, batch(1), 20 * SECOND);
	int64_t leader_end_us = INT64_MAX;
	uint32_t kills = 0;

	j->deadly = true;
	w->deadly_gap_us = gap_us;
	for (unsigned int i = 0; i < 300 && j->task[0].state != SCHED_FAILED; i++) {
		if (i % 10 == 0)
			sim_submit(w, 1, 2, batch(4), 6 * SECOND);
		if (cuts && i % 25 == 0)
			cut_share(w, 15);
		if (i % 25 == 8)
			heal(w);
		sim_run(w, w->now_us + SECOND);
		if (j->task[0].kills > kills)
			leader_end_us = w->now_us + seconds_below(w, 0, 12);
		if (new_leaders && w->now_us >= leader_end_us) {
			sim_crash_leader(w, seconds_below(w, 0, 2));
			leader_end_us = INT64_MAX;
		}
		kills = j->task[0].kills;
	}
	if (getenv("SCHED_TEST_STATS"))
		fprintf(stderr,
			"deadly: seed %llu gap %lld s cuts %d leaders %d: %u workers, "
			"%lld s\n",
			(unsigned long long)seed, (long long)(gap_us / SECOND), cuts,
			new_leaders, kills, (long long)(w->now_us / SECOND));
	ck_assert_int_eq(j->task[0].state, SCHED_FAILED);
	ck_assert_int_eq(j->task[0].reason, SCHED_R_LOSES_WORKERS);
	ck_assert_uint_ge(kills, DEADLY_BOUND);
	ck_assert_uint_le(kills,
			  cuts || gap_us < BURST_US ? DEADLY_BOUND_BURSTS : DEADLY_BOUND);
	finish_innocents(w, p);
}

/* Guards against a task whose workers return late, so that their ends go unnoticed. */
START_TEST(deadly_task_is_given_up_though_its_workers_return_late)
{
	static const int64_t gap_us[] = {SECOND / 2, 5 * SECOND, 9 * SECOND, 20 * SECOND};

	for (uint64_t seed = first_seed; seed < first_seed + seeds; seed++)
		for (unsigned int i = 0; i < 4; i++)
			run_deadly(seed, gap_us[i], _i & 1, _i & 2);
}
END_TEST

/* Guards against work that waits on though its workers have returned as they were. */
START_TEST(return_of_the_workers_ends_the_wait)
{
	for (uint64_t seed = first_seed; seed < first_seed + seeds; seed++) {
		struct sim_policy *p = sim_scheduler();
		struct sim *w = new_world(seed, p);
		struct sim_job *j = sim_submit(w, 0, 0, batch(1), 30 * SECOND);
		unsigned int cuts = 0;

		for (unsigned int i = 0; i < 60 && cuts < 3; i++) {
			sim_run(w, w->now_us + SECOND);
			cuts += cut_worker_of(w, j) >= 0;
		}
		sim_run(w, w->now_us + 10 * SECOND);
		ck_assert_uint_eq(j->task[0].running, 0);
		heal(w);
		if (_i)
			sim_crash_leader(w, SECOND / 10);
		sim_run(w, w->now_us + 3 * SECOND);
		ck_assert_uint_eq(j->task[0].running, 1);
		finish_innocents(w, p);
	}
}
END_TEST

/* Guards against a task that ends worker after worker while none of them returns. */
START_TEST(starts_are_rare_while_workers_stay_silent)
{
	for (uint64_t seed = first_seed; seed < first_seed + seeds; seed++) {
		struct sim_policy *p = sim_scheduler();
		struct sim *w = new_world(seed, p);
		struct sim_job *j = sim_submit(w, 0, 1, batch(1), 20 * SECOND);

		j->deadly = true;
		w->deadly_gap_us = 10000 * SECOND;
		for (unsigned int i = 0; i < 30; i++) {
			sim_run(w, w->now_us + 10 * SECOND);
			if (_i && i % 3 == 2)
				sim_crash_leader(w, SECOND);
		}
		ck_assert_int_ne(j->task[0].state, SCHED_FAILED);
		ck_assert_uint_ge(j->task[0].kills, DEADLY_BOUND + 1);
		ck_assert_uint_le(j->task[0].kills, SILENT_STARTS_BOUND);
		finish(w, p);
	}
}
END_TEST

/* Guards against a job that fails as too large since the large workers are silent. */
START_TEST(large_job_waits_for_workers_that_are_cut_off)
{
	for (uint64_t seed = first_seed; seed < first_seed + seeds; seed++) {
		struct sim_policy *p = sim_scheduler();
		struct sim *w = new_world(seed, p);
		struct sched_job large = batch(2);
		struct sim_job *j;

		for (unsigned int i = 2; i < w->opt.workers; i++)
			w->worker[i].capacity.cpu_milli = 8000;
		large.size.cpu_milli = 16000;
		sim_crash_leader(w, SECOND);
		sim_run(w, w->now_us + 10 * SECOND);
		j = sim_submit(w, 0, 1, large, 30 * SECOND);
		if (_i == 0)
			sim_run(w, w->now_us + 5 * SECOND);
		sim_cut(w, 0, true);
		sim_cut(w, 1, true);
		sim_crash_leader(w, SECOND);
		sim_run(w, w->now_us + 30 * SECOND);
		ck_assert_int_ne(j->task[0].state, SCHED_FAILED);
		finish_innocents(w, p);
	}
}
END_TEST

/* Runs the test in each of its variants, the first of which has one leader only. */
static void add_case(Suite *s, const char *name, const TTest *test, int variants)
{
	TCase *tc = tcase_create(name);

	tcase_set_timeout(tc, 300);
	tcase_add_loop_test(tc, test, 0, variants);
	suite_add_tcase(s, tc);
}

int main(int argc, char **argv)
{
	Suite *s = suite_create("sched_silence");
	SRunner *sr;
	int failed;

	if (argc > 2) {
		first_seed = (uint64_t)atoi(argv[1]);
		seeds = (uint64_t)atoi(argv[2]);
	}
	add_case(s, "series", cuts_in_series_give_up_nothing, 2);
	add_case(s, "overlap", overlapping_cuts_give_up_nothing, 2);
	add_case(s, "late", deadly_task_is_given_up_though_its_workers_return_late, 4);
	add_case(s, "return", return_of_the_workers_ends_the_wait, 2);
	add_case(s, "large", large_job_waits_for_workers_that_are_cut_off, 2);
	add_case(s, "silent", starts_are_rare_while_workers_stay_silent, 2);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
