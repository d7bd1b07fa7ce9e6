#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "regress/lib_sched_world.h"

#define SECOND 1000000LL
#define FIXED_SEED 7
#define FIXED_COUNT 12

static const struct sched_size vm = {32000, 125000, 0};

static struct sim_options options(uint64_t seed, unsigned int workers)
{
	return (struct sim_options){
		.seed = seed,
		.workers = workers,
		.zones = 3,
		.rack_size = 8,
		.teams = 2,
		.capacity = vm,
		.lag_us = 2 * SECOND,
		.noise = 0.1,
	};
}

static struct sched_job batch(uint32_t tasks, uint32_t cpu_milli, uint32_t memory_mb)
{
	return (struct sched_job){
		.class = SCHED_BATCH,
		.tasks = tasks,
		.size = {cpu_milli, memory_mb, 0},
		.run_us = 10 * SECOND,
		.checkpoint = true,
	};
}

static struct sched_job service(uint32_t executors, uint32_t cpu_milli)
{
	struct sched_job j = batch(executors, cpu_milli, 8000);

	j.class = SCHED_LATENCY;
	return j;
}

__attribute__((unused)) static struct sched_job urgent(uint32_t tasks, uint32_t cpu_milli)
{
	struct sched_job j = batch(tasks, cpu_milli, 4000);

	j.class = SCHED_URGENT;
	return j;
}

static void finish(struct sim *w, struct sim_policy *p)
{
	ck_assert_msg(w->errors == 0, "%u violations, first: %s (seed %llu)", w->errors,
		      w->error, (unsigned long long)w->opt.seed);
	sim_free(w);
	free(p);
}

/* Everything at once. */

static void submit_random(struct sim *w)
{
	unsigned int team = (unsigned int)prng_below(&w->rng, 2);
	struct sched_job o = batch(1 + (uint32_t)prng_below(&w->rng, 12),
				   500 + (uint32_t)prng_below(&w->rng, 8000),
				   500 + (uint32_t)prng_below(&w->rng, 30000));
	int64_t run = SECOND / 2 + (int64_t)prng_below(&w->rng, 20 * SECOND);
	struct sim_job *j;

	if (prng_below(&w->rng, 5) == 0)
		o.class = SCHED_URGENT;
	if (prng_below(&w->rng, 4) == 0)
		o.deadline_us = w->now_us + 60 * SECOND;
	o.checkpoint = prng_below(&w->rng, 2);
	o.run_us = run * (int64_t)(1 + prng_below(&w->rng, 30)) / 10;
	j = sim_submit(w, team, (unsigned int)prng_below(&w->rng, SIM_KINDS), o, run);
	j->poison = prng_below(&w->rng, 12) == 0;
	if (prng_below(&w->rng, 6) == 0)
		j->cpu_milli *= 3; /* the declared size is wrong */
}

static void random_event(struct sim *w, unsigned int *bad)
{
	unsigned int i = (unsigned int)prng_below(&w->rng, w->opt.workers);

	switch (prng_below(&w->rng, 12)) {
	case 0:
		sim_crash_worker(w, i, (int64_t)prng_below(&w->rng, 12 * SECOND), false);
		break;
	case 1:
		sim_crash_worker(w, i, (int64_t)prng_below(&w->rng, SECOND), true);
		break;
	case 2:
		sim_cut(w, i, true);
		break;
	case 3:
	case 4:
		for (unsigned int k = 0; k < w->opt.workers; k++)
			sim_cut(w, k, false);
		break;
	case 5:
		sim_crash_leader(w, (int64_t)prng_below(&w->rng, 2 * SECOND));
		break;
	case 6:
	case 7: {
		unsigned int team = (unsigned int)prng_below(&w->rng, 2);
		unsigned int zone = (unsigned int)prng_below(&w->rng, w->opt.zones);

		sim_zone(w, team, zone, !w->out_us[team][zone]);
		break;
	}
	case 8:
		for (unsigned int k = 0; k < w->njobs; k++)
			if (prng_below(&w->rng, 10) == 0 &&
			    w->job[k]->opt.class != SCHED_LATENCY)
				sim_cancel(w, w->job[k]);
		break;
	case 9:
		if (*bad == 0) {
			w->worker[i].bad = true;
			(*bad)++;
		}
		break;
	default:
		for (unsigned int k = 0; k < 4; k++)
			submit_random(w);
		break;
	}
}

static void heal(struct sim *w)
{
	for (unsigned int i = 0; i < w->opt.workers; i++) {
		sim_cut(w, i, false);
		w->worker[i].bad = false;
	}
	for (unsigned int t = 0; t < 2; t++)
		for (unsigned int z = 0; z < w->opt.zones; z++)
			if (w->out_us[t][z])
				sim_zone(w, t, z, false);
}

static void run_chaos(uint64_t seed)
{
	struct sim_options o = options(seed, 16);
	struct sim_policy *p = sim_scheduler();
	unsigned int bad = 0;
	struct sim *w;

	o.drift = true;
	o.loss = 30;
	o.delay_us = 3 * SECOND;
	w = sim_new(&o, p);
	w->busy_store = true;
	sim_submit(w, 0, 0, service(12, 4000), 0);
	sim_submit(w, 1, 1, service(8, 3000), 0);
	for (unsigned int i = 0; i < 120 && !w->errors; i++) {
		random_event(w, &bad);
		sim_run(w, w->now_us + (int64_t)prng_below(&w->rng, 2 * SECOND));
	}
	heal(w);
	for (unsigned int i = 0; i < 60 && sim_unfinished(w, true) && !w->errors; i++)
		sim_run(w, w->now_us + 10 * SECOND);
	if (sim_unfinished(w, true))
		sim_fail(w, "work left at the end", NULL, sim_unfinished(w, true));
	finish(w, p);
}

/*
 * Guards against work in two places, lost or doubled work, overfull workers and
 * starts in zones that are out, under every fault at once.
 */
START_TEST(faults_break_no_invariant)
{
	run_chaos(FIXED_SEED + (uint64_t)_i);
}
END_TEST

int main(int argc, char **argv)
{
	Suite *s = suite_create("sched");
	TCase *tc = tcase_create("sched");
	SRunner *sr;
	int first = 0;
	int count = FIXED_COUNT;
	int failed;

	if (argc > 2) {
		first = atoi(argv[1]) - FIXED_SEED;
		count = atoi(argv[2]);
	}
	tcase_set_timeout(tc, 800);
	tcase_add_loop_test(tc, faults_break_no_invariant, first, first + count);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
