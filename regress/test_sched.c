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

static struct sched_job urgent(uint32_t tasks, uint32_t cpu_milli)
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
	struct sched_job gig = service(12, 4000);
	unsigned int bad = 0;
	struct sim *w;

	o.drift = true;
	o.loss = 30;
	o.delay_us = 3 * SECOND;
	o.retry_us = seed % 3 ? 0 : 3 * SECOND;
	w = sim_new(&o, p);
	w->busy_store = true;
	for (unsigned int i = 0; i < SIM_KINDS; i++)
		w->coef[0][i] = prng_unit(&w->rng) * 4;
	gig.latency_us = 15000;
	sim_submit(w, 0, 0, gig, 0);
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
	if (getenv("SCHED_TEST_STATS"))
		fprintf(stderr,
			"seed %llu: %.0f s, jobs %u, starts %llu, done %llu, evictions "
			"%llu, refused as late %llu, epochs %llu, left %u\n",
			(unsigned long long)seed, (double)w->now_us / 1e6, w->njobs,
			(unsigned long long)w->starts, (unsigned long long)w->done,
			(unsigned long long)w->evictions,
			(unsigned long long)w->late_starts, (unsigned long long)w->epoch,
			sim_unfinished(w, true));
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

/* Runs until the fleet is known and started, with one executor service per team. */
static struct sim *settled(const struct sim_options *o, struct sim_policy *p)
{
	struct sim *w = sim_new(o, p);

	sim_submit(w, 0, 0, batch(o->workers * 4, 2000, 1000), 4 * SECOND);
	sim_run(w, 30 * SECOND);
	return w;
}

/* Guards against work that moves while the old worker's slower clock keeps it alive. */
START_TEST(lease_wait_covers_clock_drift)
{
	for (uint64_t seed = 1; seed <= 6; seed++) {
		struct sim_options o = options(seed, 24);
		struct sim_policy *p = sim_scheduler();
		struct sim *w;

		o.drift = true;
		w = sim_new(&o, p);
		sim_submit(w, 0, 0, batch(120, 3000, 2000), 100 * SECOND);
		sim_run(w, 20 * SECOND);
		for (unsigned int i = 0; i < 12; i++)
			sim_cut(w, i, true);
		sim_run(w, 40 * SECOND);
		finish(w, p);
	}
}
END_TEST

/* Guards against a new leader that does not wait for leases of the one before. */
START_TEST(new_leader_waits_for_old_leases)
{
	for (uint64_t seed = 1; seed <= 6; seed++) {
		struct sim_options o = options(seed, 12);
		struct sim_policy *p = sim_scheduler();
		struct sim *w;

		o.drift = true;
		w = sim_new(&o, p);
		sim_submit(w, 0, 0, batch(60, 3000, 2000), 60 * SECOND);
		sim_run(w, 20 * SECOND);
		sim_crash_leader(w, 10000);
		for (unsigned int i = 0; i < 6; i++)
			sim_cut(w, i, true);
		sim_run(w, 40 * SECOND);
		for (unsigned int i = 0; i < 6; i++)
			sim_cut(w, i, false);
		sim_run(w, 200 * SECOND);
		ck_assert_uint_eq(sim_unfinished(w, false), 0);
		finish(w, p);
	}
}
END_TEST

/* Guards against a start order that is obeyed long after its zone was taken out. */
START_TEST(late_orders_expire)
{
	for (uint64_t seed = 1; seed <= 8; seed++) {
		struct sim_options o = options(seed, 12);
		struct sim_policy *p = sim_scheduler();
		uint64_t late = 0;
		struct sim *w;

		o.drift = true;
		o.delay_us = 6 * SECOND;
		o.retry_us = 5 * SECOND;
		w = sim_new(&o, p);
		sim_submit(w, 0, 0, batch(4000, 6000, 2000), SECOND);
		for (unsigned int i = 0; i < 20; i++) {
			sim_run(w, w->now_us + 5 * SECOND);
			sim_zone(w, 0, i % 3, true);
			sim_run(w, w->now_us + 4 * SECOND);
			sim_zone(w, 0, i % 3, false);
		}
		late += w->late_starts;
		finish(w, p);
		ck_assert_uint_gt(late, 0);
	}
}
END_TEST

/* Guards against urgent work that waits for batch work to end. */
START_TEST(urgent_work_starts_in_time)
{
	for (uint64_t seed = 1; seed <= 4; seed++) {
		struct sim_options o = options(seed, 20);
		struct sim_policy *p = sim_scheduler();
		struct sim *w = settled(&o, p);
		int64_t worst = 0;

		sim_submit(w, 0, 0, batch(400, 4000, 4000), 1000 * SECOND);
		sim_run(w, 60 * SECOND);
		for (unsigned int i = 0; i < 10; i++) {
			struct sim_job *j =
				sim_submit(w, i % 2, 1, urgent(3, 8000), 3 * SECOND);

			sim_run(w, w->now_us + 5 * SECOND);
			for (unsigned int k = 0; k < 3; k++) {
				int64_t d = j->task[k].started_us - j->submitted_us;

				ck_assert_int_gt(j->task[k].started_us, 0);
				worst = d > worst ? d : worst;
			}
		}
		ck_assert_int_le(worst, 1400000);
		ck_assert_uint_gt(w->evictions, 0);
		finish(w, p);
	}
}
END_TEST

/* Guards against a worker that fails everything and eats the queue. */
START_TEST(bad_worker_is_quarantined)
{
	for (uint64_t seed = 1; seed <= 4; seed++) {
		struct sim_options o = options(seed, 20);
		struct sim_policy *p = sim_scheduler();
		struct sim *w = settled(&o, p);
		struct sched_stats st;

		w->worker[3].bad = true;
		for (unsigned int i = 0; i < 10; i++) {
			sim_submit(w, i % 2, i % SIM_KINDS, batch(300, 2000, 1000),
				   5 * SECOND);
			sim_run(w, w->now_us + 6 * SECOND);
		}
		sched_get_stats(w->sched, &st);
		if (getenv("SCHED_TEST_STATS"))
			fprintf(stderr, "bad worker: %u failures\n",
				w->worker[3].failures);
		ck_assert_uint_eq(st.workers_quarantined, 1);
		ck_assert_uint_le(w->worker[3].failures, 24);
		sim_run(w, w->now_us + 200 * SECOND);
		/* Probation tries single tasks only. */
		ck_assert_uint_le(w->worker[3].failures, 32);
		ck_assert_uint_eq(sim_unfinished(w, false), 0);
		finish(w, p);
	}
}
END_TEST

/* Guards against blaming workers for a job that fails everywhere. */
START_TEST(poison_job_fails_alone)
{
	for (uint64_t seed = 1; seed <= 4; seed++) {
		struct sim_options o = options(seed, 20);
		struct sim_policy *p = sim_scheduler();
		struct sim *w = settled(&o, p);
		struct sim_job *bad = sim_submit(w, 0, 1, batch(200, 1000, 500), SECOND);
		struct sched_stats st;

		bad->poison = true;
		for (unsigned int i = 0; i < 10; i++) {
			sim_submit(w, i % 2, 2, batch(20, 2000, 1000), 3 * SECOND);
			sim_run(w, w->now_us + 4 * SECOND);
		}
		sched_get_stats(w->sched, &st);
		ck_assert_uint_eq(st.workers_quarantined, 0);
		ck_assert_int_eq(bad->task[7].state, SCHED_FAILED);
		ck_assert_int_eq(bad->task[7].reason, SCHED_R_JOB_FAILS);
		ck_assert_uint_le(bad->task[0].starts + bad->task[1].starts, 8);
		ck_assert_uint_eq(sim_unfinished(w, false), 0);
		finish(w, p);
	}
}
END_TEST

#define DEADLY_BOUND 3 /* workers lost before their task is given up */
/* Where others are lost at the same time, two losses may not count. */
#define DEADLY_BOUND_BURSTS 5
/* Nor do losses while a task is being stopped, or behind a change of the leader. */
#define DEADLY_BOUND_FAULTS 8

static void run_deadly(uint64_t seed, int64_t gap_us)
{
	struct sim_options o = options(seed, 20);
	struct sim_policy *p = sim_scheduler();
	struct sim *w = settled(&o, p);
	struct sim_job *deadly;

	w->deadly_gap_us = gap_us;
	for (unsigned int i = 0; i < 10; i++)
		sim_submit(w, i % 2, i % SIM_KINDS, batch(20, 2000, 1000), 6 * SECOND);
	deadly = sim_submit(w, 0, 1, batch(1, 1000, 500), 20 * SECOND);
	deadly->deadly = true;
	for (unsigned int i = 0; i < 30; i++) {
		sim_submit(w, i % 2, i % SIM_KINDS, batch(20, 2000, 1000), 6 * SECOND);
		sim_run(w, w->now_us + 4 * SECOND);
	}
	sim_run(w, w->now_us + 120 * SECOND);
	if (getenv("SCHED_TEST_STATS"))
		fprintf(stderr, "deadly: seed %llu, %u workers lost, %.0f s of work\n",
			(unsigned long long)seed, deadly->task[0].kills,
			w->lost_us / 1e6);
	ck_assert_uint_ge(deadly->task[0].kills, 1);
	ck_assert_uint_le(deadly->task[0].kills, DEADLY_BOUND);
	ck_assert_int_eq(deadly->task[0].state, SCHED_FAILED);
	ck_assert_uint_eq(sim_unfinished(w, false), 0);
	finish(w, p);
}

/* Guards against one task that ends the process of worker after worker. */
START_TEST(deadly_task_is_given_up)
{
	for (uint64_t seed = 1; seed <= 4; seed++) {
		run_deadly(seed, SECOND);
		run_deadly(seed, 20 * SECOND);
	}
}
END_TEST

static void submit_innocents(struct sim *w, unsigned int jobs)
{
	for (unsigned int i = 0; i < jobs; i++)
		sim_submit(w, i % 2, i % SIM_KINDS, batch(20, 2000, 1000), 6 * SECOND);
}

/* Fails the test if a task that ends no process was given up for lost workers. */
static void check_innocents(struct sim *w)
{
	for (unsigned int i = 0; i < w->njobs; i++)
		for (uint32_t k = 0; k < w->job[i]->ntasks; k++)
			if (!w->job[i]->deadly &&
			    w->job[i]->task[k].reason == SCHED_R_LOSES_WORKERS)
				sim_fail(w, "innocent given up", w->job[i], k);
}

/* Guards against deadly tasks whose losses excuse one another, and a count of a leader.
 */
START_TEST(deadly_job_is_given_up_under_new_leaders)
{
	for (uint64_t seed = 1; seed <= 4; seed++) {
		struct sim_options o = options(seed, 20);
		struct sim_policy *p = sim_scheduler();
		struct sim *w = settled(&o, p);
		struct sim_job *deadly = sim_submit(w, 0, 1, batch(6, 1000, 500), SECOND);

		deadly->deadly = true;
		w->deadly_gap_us = SECOND;
		for (unsigned int i = 0; i < 20; i++) {
			submit_innocents(w, 2);
			sim_run(w, w->now_us + 3 * SECOND);
			if (i % 4 == 3)
				sim_crash_leader(w, SECOND);
		}
		sim_run(w, w->now_us + 120 * SECOND);
		for (uint32_t k = 0; k < 6; k++) {
			if (getenv("SCHED_TEST_STATS"))
				fprintf(stderr, "deadly job: seed %llu task %u: %u\n",
					(unsigned long long)seed, k,
					deadly->task[k].kills);
			ck_assert_int_eq(deadly->task[k].state, SCHED_FAILED);
			ck_assert_uint_le(deadly->task[k].kills, DEADLY_BOUND_BURSTS);
		}
		check_innocents(w);
		ck_assert_uint_eq(sim_unfinished(w, false), 0);
		finish(w, p);
	}
}
END_TEST

/* Guards against innocent work that is given up since its zone or its cables fail. */
START_TEST(innocents_survive_lost_workers)
{
	for (uint64_t seed = 1; seed <= 4; seed++) {
		struct sim_options o = options(seed, 18);
		struct sim_policy *p = sim_scheduler();
		struct sim *w = settled(&o, p);

		for (unsigned int round = 0; round < 12; round++) {
			submit_innocents(w, 4);
			sim_run(w, w->now_us + 2 * SECOND);
			for (unsigned int i = round % 3; i < 18; i += 3) {
				if (seed % 2)
					sim_crash_worker(w, i, (int64_t)i * SECOND / 10,
							 false);
				else
					sim_cut(w, i, true);
			}
			sim_run(w, w->now_us + 9 * SECOND);
			for (unsigned int i = 0; i < 18; i++)
				sim_cut(w, i, false);
			sim_run(w, w->now_us + 2 * SECOND);
			if (round % 4 == 3) {
				sim_zone(w, 0, 1, true);
				sim_run(w, w->now_us + 5 * SECOND);
				sim_zone(w, 0, 1, false);
			}
		}
		sim_run(w, w->now_us + 300 * SECOND);
		check_innocents(w);
		ck_assert_uint_eq(sim_unfinished(w, false), 0);
		finish(w, p);
	}
}
END_TEST

/* Guards against work that is given up since its workers are restarted in turn. */
START_TEST(restarts_in_turn_give_up_nothing)
{
	for (uint64_t seed = 1; seed <= 4; seed++) {
		struct sim_options o = options(seed, 20);
		struct sim_policy *p = sim_scheduler();
		struct sim *w = settled(&o, p);

		for (unsigned int i = 0; i < 60; i++) {
			sim_crash_worker(w, i % 20, SECOND, false);
			submit_innocents(w, 1);
			sim_run(w, w->now_us + 2 * SECOND);
		}
		sim_run(w, w->now_us + 120 * SECOND);
		check_innocents(w);
		ck_assert_uint_eq(sim_unfinished(w, false), 0);
		finish(w, p);
	}
}
END_TEST

/* Cuts off the worker that runs the task of the job; returns whether there was one. */
static bool cut_worker_of(struct sim *w, const struct sim_job *j)
{
	for (unsigned int i = 0; i < w->opt.workers; i++)
		for (struct sim_run *r = w->worker[i].runs; r; r = r->next)
			if (r->job == j && r->status == SCHED_T_RUNNING &&
			    !w->worker[i].cut) {
				sim_cut(w, i, true);
				return true;
			}
	return false;
}

/* Guards against work that is given up since its workers were cut off one by one. */
START_TEST(cuts_are_no_losses)
{
	for (uint64_t seed = 1; seed <= 4; seed++) {
		struct sim_options o = options(seed, 12);
		struct sim_policy *p = sim_scheduler();
		struct sim *w = settled(&o, p);
		struct sim_job *j = sim_submit(w, 0, 0, batch(1, 1000, 500), 20 * SECOND);

		for (unsigned int round = 0; round < 8; round++) {
			while (!cut_worker_of(w, j) && w->now_us < 300 * SECOND)
				sim_run(w, w->now_us + SECOND / 5);
			sim_run(w, w->now_us + 8 * SECOND);
			for (unsigned int i = 0; i < o.workers; i++)
				sim_cut(w, i, false);
			if (seed % 2)
				sim_crash_leader(w, SECOND);
			sim_run(w, w->now_us + SECOND);
		}
		sim_run(w, w->now_us + 100 * SECOND);
		if (getenv("SCHED_TEST_STATS"))
			fprintf(stderr, "cuts: seed %llu, %u starts\n",
				(unsigned long long)seed, j->task[0].starts);
		ck_assert_uint_gt(j->task[0].starts, 4);
		ck_assert_int_eq(j->task[0].state, SCHED_DONE);
		finish(w, p);
	}
}
END_TEST

static void run_deadly_chaos(uint64_t seed)
{
	struct sim_options o = options(seed, 48);
	struct sim_policy *p = sim_scheduler();
	struct sim *w;
	uint32_t worst = 0;

	o.drift = true;
	o.loss = 20;
	o.delay_us = SECOND;
	w = sim_new(&o, p);
	w->busy_store = true;
	w->deadly_gap_us = (int64_t)(seed % 4) * 4 * SECOND + SECOND / 2;
	sim_submit(w, 1, 1, service(8, 3000), 0);
	for (unsigned int i = 0; i < 100 && !w->errors; i++) {
		unsigned int k = (unsigned int)prng_below(&w->rng, o.workers);
		unsigned int zone = (unsigned int)prng_below(&w->rng, 3);

		switch (prng_below(&w->rng, 9)) {
		case 0:
			sim_crash_worker(w, k, (int64_t)prng_below(&w->rng, 9 * SECOND),
					 false);
			break;
		case 1:
			sim_cut(w, k, true);
			break;
		case 2:
			for (k = 0; k < o.workers; k++)
				sim_cut(w, k, false);
			break;
		case 3:
			sim_crash_leader(w, (int64_t)prng_below(&w->rng, SECOND));
			break;
		case 4:
			sim_zone(w, 0, zone, !w->out_us[0][zone]);
			break;
		case 5:
			if (i % 8 == 0)
				for (k = zone; k < o.workers; k += 3)
					sim_crash_worker(w, k, 2 * SECOND, false);
			break;
		case 6:
			sim_submit(w, 0, 3, batch(1, 1000, 500), SECOND)->deadly = true;
			break;
		default:
			submit_innocents(w, 1);
			break;
		}
		sim_run(w, w->now_us + (int64_t)prng_below(&w->rng, 3 * SECOND));
	}
	heal(w);
	for (unsigned int i = 0; i < 60 && sim_unfinished(w, true) && !w->errors; i++)
		sim_run(w, w->now_us + 10 * SECOND);
	if (sim_unfinished(w, true))
		sim_fail(w, "work left at the end", NULL, sim_unfinished(w, true));
	check_innocents(w);
	for (unsigned int i = 0; i < w->njobs; i++)
		if (w->job[i]->deadly && w->job[i]->task[0].kills > worst)
			worst = w->job[i]->task[0].kills;
	if (getenv("SCHED_TEST_STATS"))
		fprintf(stderr, "deadly chaos: seed %llu, at most %u workers\n",
			(unsigned long long)seed, worst);
	if (worst > DEADLY_BOUND_FAULTS)
		sim_fail(w, "too many workers lost", NULL, worst);
	finish(w, p);
}

/* Guards against unbounded losses and innocents given up under every fault at once. */
START_TEST(deadly_tasks_are_bounded_under_faults)
{
	run_deadly_chaos(FIXED_SEED + (uint64_t)_i);
}
END_TEST

/* Guards against a bound on failures that the scheduler ignores or applies early. */
START_TEST(max_attempts_bounds_failures)
{
	struct sim_options o = options(1, 20);
	struct sim_policy *p = sim_scheduler();
	struct sim *w = settled(&o, p);
	struct sched_job spec = batch(1, 1000, 500);
	struct sim_job *bad;

	spec.max_attempts = 2;
	bad = sim_submit(w, 0, 1, spec, SECOND);
	bad->poison = true;
	sim_run(w, w->now_us + 60 * SECOND);
	ck_assert_int_eq(bad->task[0].state, SCHED_FAILED);
	ck_assert_int_eq(bad->task[0].reason, SCHED_R_FAILED_TOO_OFTEN);
	ck_assert_uint_eq(bad->task[0].failures, 2);
	ck_assert_uint_eq(bad->task[0].starts, 2);
	finish(w, p);
}
END_TEST

struct refusing_host {
	struct sched_host host;
	struct sched_record last;
	char job[2];
	unsigned int proposals;
	int err;
};

static int refusing_propose(struct sched_host *host, const struct sched_record *r)
{
	struct refusing_host *h = (struct refusing_host *)host;

	h->proposals++;
	h->last = *r;
	h->last.team = STR("t");
	h->job[0] = r->job.p[0];
	h->last.job = (struct str){h->job, 1};
	return h->err && r->job.p[0] == 'g' ? h->err : 0;
}

static const struct sched_ops refusing_ops = {.propose = refusing_propose};

static void refusing_step(struct sched *s, uint64_t seq, int64_t now_us)
{
	struct sched_worker_report r = {
		.worker = STR("w"),
		.zone = STR("z"),
		.rack = STR("r"),
		.session = 1,
		.seq = seq,
		.capacity = vm,
	};
	struct sched_reply reply;

	ck_assert_int_eq(sched_poll(s, &r, now_us, &reply), 0);
	sched_tick(s, now_us + SECOND / 10);
}

/*
 * Guards against a task that waits for ever after a refusal: the next intent continues
 * from the store's attempt, is not made at once again, and a job that the store has
 * dropped neither repeats nor holds up the proposals behind it.
 */
START_TEST(refused_intents_are_made_again)
{
	struct refusing_host h = {.host = {&refusing_ops}};
	struct sched_options opt = {.host = &h.host, .epoch = 1};
	struct sched_job gone = urgent(1, 1000);
	struct sched_job kept = urgent(1, 1000);
	struct sched_stats st;
	struct sched *s;

	gone.team = kept.team = STR("t");
	gone.name = STR("g");
	kept.name = STR("k");
	h.err = CF_ENOENT;
	ck_assert_int_eq(sched_new(&opt, &s), 0);
	sched_finish_load(s, 0);
	ck_assert_int_eq(sched_add_job(s, &gone, 0), 0);
	ck_assert_int_eq(sched_add_job(s, &kept, 0), 0);
	refusing_step(s, 1, SECOND);
	ck_assert_uint_eq(h.proposals, 2);
	ck_assert_int_eq(h.last.job.p[0], 'k');
	ck_assert_uint_eq(h.last.attempt, 1);
	sched_get_stats(s, &st);
	ck_assert_uint_eq(st.tasks_bound, 1);
	/* The store already has three attempts of the task. */
	sched_refused(s, &h.last, 3, 2 * SECOND);
	refusing_step(s, 2, 2 * SECOND);
	ck_assert_uint_eq(h.proposals, 2);
	refusing_step(s, 3, 4 * SECOND);
	ck_assert_uint_eq(h.proposals, 3);
	ck_assert_uint_eq(h.last.attempt, 4);
	/* The store has no such task any more. */
	sched_refused(s, &h.last, -1, 5 * SECOND);
	refusing_step(s, 4, 7 * SECOND);
	ck_assert_uint_eq(h.proposals, 3);
	sched_get_stats(s, &st);
	ck_assert_uint_eq(st.tasks_bound + st.tasks_waiting, 0);
	sched_free(s);
}
END_TEST

/* A poll of one life of worker "w" that lists its tasks; returns the lease. */
static int64_t session_poll(struct sched *s, uint64_t session, uint64_t seq,
			    const struct sched_task_report *tasks, size_t n,
			    int64_t now_us)
{
	struct sched_worker_report r = {
		.worker = STR("w"),
		.zone = STR("z"),
		.rack = STR("r"),
		.session = session,
		.seq = seq,
		.epoch = 1,
		.capacity = vm,
		.tasks = tasks,
		.ntasks = n,
	};
	struct sched_reply reply;

	ck_assert_int_eq(sched_poll(s, &r, now_us, &reply), 0);
	ck_assert_uint_eq(reply.ncommands, 0);
	sched_tick(s, now_us + SECOND / 10);
	return reply.lease_us;
}

/*
 * Guards against polls of an earlier life of a worker, which a new leader hears first or
 * after those of the present life: they list nothing, so its task would start again.
 */
START_TEST(late_poll_of_an_earlier_life_loses_no_task)
{
	static const struct sched_task_report task = {
		.team = STR("t"), .job = STR("k"), .attempt = 1};
	struct sched_record record = {.team = STR("t"),
				      .job = STR("k"),
				      .attempt = 1,
				      .state = SCHED_RUNNING,
				      .worker = STR("w"),
				      .session = 2};
	struct refusing_host h = {.host = {&refusing_ops}};
	struct sched_options opt = {.host = &h.host, .epoch = 2};
	struct sched_job job = urgent(1, 1000);
	struct sched *s;

	job.team = STR("t");
	job.name = STR("k");
	ck_assert_int_eq(sched_new(&opt, &s), 0);
	ck_assert_int_eq(sched_add_job(s, &job, 0), 0);
	ck_assert_int_eq(sched_load_task(s, &record, 0), 0);
	sched_finish_load(s, 0);
	ck_assert_int_eq(session_poll(s, 1, 900, NULL, 0, SECOND / 10), 0);
	ck_assert_int_gt(session_poll(s, 2, 1, &task, 1, SECOND / 5), 0);
	ck_assert_int_eq(session_poll(s, 1, 901, NULL, 0, SECOND / 2), 0);
	ck_assert_uint_eq(h.proposals, 0);
	/* A later life has ended the task, and numbers its polls from 1 again. */
	ck_assert_int_gt(session_poll(s, 3, 1, NULL, 0, SECOND), 0);
	ck_assert_uint_gt(h.proposals, 0);
	sched_free(s);
}
END_TEST

/* Guards against jobs that wait for ever, and against rejecting possible ones. */
START_TEST(impossible_jobs_are_rejected)
{
	struct sim_options o = options(1, 6);
	struct sim_policy *p = sim_scheduler();
	struct sim *w = settled(&o, p);
	struct sched_quota q = {.team = sim_team(1), .limit = {.cpu_milli = 8000}};
	struct sim_job *large;
	struct sim_job *quota;
	struct sim_job *whole;

	sched_set_quota(w->sched, &q, w->now_us);
	large = sim_submit(w, 0, 0, batch(3, 32001, 100), SECOND);
	whole = sim_submit(w, 0, 0, batch(1, 32000, 125000), SECOND);
	quota = sim_submit(w, 1, 0, batch(1, 8001, 100), SECOND);
	sim_run(w, w->now_us + 200000);
	ck_assert_int_eq(large->task[2].state, SCHED_FAILED);
	ck_assert_int_eq(large->task[2].reason, SCHED_R_TOO_LARGE);
	ck_assert_int_eq(quota->task[0].state, SCHED_FAILED);
	ck_assert_int_eq(quota->task[0].reason, SCHED_R_OVER_QUOTA);
	sim_run(w, w->now_us + 60 * SECOND);
	ck_assert_int_eq(whole->task[0].state, SCHED_DONE);
	finish(w, p);
}
END_TEST

static void run_control(uint64_t seed, int64_t target_us, double slope, unsigned int most)
{
	struct sim_options o = options(seed, 6);
	struct sim_policy *p = sim_scheduler();
	struct sched_job gig = service(6, 8000);
	struct sched_stats before;
	struct sched_stats after;
	struct sim *w;

	gig.latency_us = target_us; /* 10 ms alone */
	o.lag_us = 4 * SECOND;
	w = sim_new(&o, p);
	w->coef[0][1] = slope;
	sim_submit(w, 0, 0, gig, 0);
	sim_run(w, 20 * SECOND);
	/* Three tasks on each worker use three quarters of it. */
	sim_submit(w, 1, 1, batch(18, 8000, 1000), 4000 * SECOND);
	sim_run(w, 140 * SECOND);
	sched_get_stats(w->sched, &before);
	ck_assert_uint_gt(before.throttles, 0);
	ck_assert_uint_le(before.throttles, 60);
	sim_run(w, 740 * SECOND);
	sched_get_stats(w->sched, &after);
	ck_assert_uint_le(after.throttles + after.evictions - before.throttles -
				  before.evictions,
			  most);
	finish(w, p);
}

/*
 * Guards against a controller that swings because its measurements are late: ten
 * minutes of constant load bring few changes to six workers. In the second case half
 * a throttle is too little and a whole one is more than needed.
 */
START_TEST(late_measurements_cause_no_oscillation)
{
	for (uint64_t seed = 1; seed <= 4; seed++) {
		run_control(seed, 15000, 1.5, 36);
		run_control(seed, 22000, 1.8, 36);
	}
}
END_TEST

/* Guards against a controller that follows every swing of a load. */
START_TEST(swinging_load_is_not_followed)
{
	for (uint64_t seed = 1; seed <= 4; seed++) {
		struct sim_options o = options(seed, 6);
		struct sim_policy *p = sim_scheduler();
		struct sched_job gig = service(6, 8000);
		struct sched_stats st;
		struct sim *w;

		gig.latency_us = 20000;
		w = sim_new(&o, p);
		w->coef[0][1] = 2;
		sim_submit(w, 0, 0, gig, 0);
		sim_run(w, 20 * SECOND);
		sim_submit(w, 1, 1, batch(18, 8000, 1000), 4000 * SECOND);
		for (unsigned int i = 0; i < 40; i++) {
			w->load = i % 2 ? 0.3 : 1;
			sim_run(w, w->now_us + 15 * SECOND);
		}
		sched_get_stats(w->sched, &st);
		if (getenv("SCHED_TEST_STATS"))
			fprintf(stderr, "swings: %llu changes\n",
				(unsigned long long)st.throttles);
		/* Following each of 40 swings would be 720 changes or more. */
		ck_assert_uint_le(st.throttles, 360);
		finish(w, p);
	}
}
END_TEST

static unsigned int running_executors(const struct sim_job *j)
{
	unsigned int n = 0;

	for (uint32_t i = 0; i < j->ntasks; i++)
		n += j->task[i].running;
	return n;
}

static unsigned int running_in_zone(const struct sim *w, unsigned int zone)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < w->opt.workers; i++)
		for (const struct sim_run *r = w->worker[i].runs; r; r = r->next)
			n += w->worker[i].zone_index == zone &&
			     r->status == SCHED_T_RUNNING;
	return n;
}

static unsigned int executors_in_zone(const struct sim *w, const struct sim_job *j,
				      unsigned int zone)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < w->opt.workers; i++)
		for (const struct sim_run *r = w->worker[i].runs; r; r = r->next)
			n += w->worker[i].zone_index == zone && r->job == j &&
			     r->status == SCHED_T_RUNNING;
	return n;
}

/* Guards against a drain that stops executors first, and a return that rushes. */
START_TEST(zone_drains_gently_and_returns_slowly)
{
	for (uint64_t seed = 1; seed <= 4; seed++) {
		struct sim_options o = options(seed, 24);
		struct sim_policy *p = sim_scheduler();
		struct sim_job *gig;
		unsigned int most = 0;
		struct sim *w;

		w = sim_new(&o, p);
		gig = sim_submit(w, 0, 0, service(21, 4000), 0);
		sim_submit(w, 0, 1, batch(1200, 4000, 3000), 20 * SECOND);
		sim_run(w, 60 * SECOND);
		sim_zone(w, 0, 1, true);
		for (unsigned int i = 0; i < 300; i++) {
			sim_run(w, w->now_us + 100000);
			ck_assert_uint_ge(running_executors(gig), 21);
		}
		ck_assert_uint_eq(running_in_zone(w, 1), 0);
		ck_assert_uint_eq(running_executors(gig), 21);
		sim_zone(w, 0, 1, false);
		sim_run(w, w->now_us + 6 * SECOND);
		most = running_in_zone(w, 1);
		/* 8 workers hold 64 of these tasks. */
		ck_assert_uint_le(most, 16);
		sim_run(w, w->now_us + 60 * SECOND);
		ck_assert_uint_ge(running_in_zone(w, 1), 40);
		/* The spread of the service returns, one executor at a time. */
		for (unsigned int i = 0; i < 600; i++) {
			sim_run(w, w->now_us + 100000);
			ck_assert_uint_ge(running_executors(gig), 21);
			ck_assert_uint_le(running_executors(gig), 23);
		}
		ck_assert_uint_ge(executors_in_zone(w, gig, 1), 6);
		finish(w, p);
	}
}
END_TEST

/* Guards against executors of one service crowding into one rack or zone. */
START_TEST(executors_are_spread)
{
	struct sim_options o = options(1, 48);
	struct sim_policy *p = sim_scheduler();
	struct sim *w = sim_new(&o, p);
	struct sim_job *j = sim_submit(w, 0, 0, service(12, 2000), 0);
	unsigned int zone[3] = {0};
	unsigned int rack[6] = {0};

	sim_run(w, 20 * SECOND);
	for (uint32_t i = 0; i < 12; i++) {
		unsigned int k = j->task[i].worker->index;

		zone[k % 3]++;
		rack[k % 3 * 2 + k / 24]++;
	}
	for (unsigned int i = 0; i < 3; i++)
		ck_assert_uint_eq(zone[i], 4);
	for (unsigned int i = 0; i < 6; i++)
		ck_assert_uint_eq(rack[i], 2);
	finish(w, p);
}
END_TEST

/* Guards against one team taking all contended capacity. */
START_TEST(contended_capacity_is_shared_by_weight)
{
	struct sim_options o = options(1, 12);
	struct sim_policy *p = sim_scheduler();
	struct sim *w = settled(&o, p);
	struct sched_quota q = {.team = sim_team(1), .weight = 3};
	unsigned int n[2] = {0};

	sched_set_quota(w->sched, &q, w->now_us);
	sim_submit(w, 0, 0, batch(2000, 4000, 1000), 5 * SECOND);
	sim_submit(w, 1, 0, batch(2000, 2000, 1000), 5 * SECOND);
	sim_run(w, w->now_us + 40 * SECOND);
	for (unsigned int i = 0; i < o.workers; i++)
		for (const struct sim_run *r = w->worker[i].runs; r; r = r->next)
			if (r->status == SCHED_T_RUNNING)
				n[r->job->team] += r->job->opt.size.cpu_milli;
	ck_assert_uint_ge(n[1] / 2, n[0]);
	ck_assert_uint_le(n[1] / 4, n[0]);
	finish(w, p);
}
END_TEST

/* Guards against a wave of cancellations that still starts work or stays unfinished. */
START_TEST(cancelled_waves_end)
{
	struct sim_options o = options(3, 20);
	struct sim_policy *p = sim_scheduler();
	struct sim *w = settled(&o, p);
	uint64_t starts;

	for (unsigned int i = 0; i < 300; i++)
		sim_submit(w, i % 2, 1, batch(50, 1000, 200), 30 * SECOND);
	sim_run(w, w->now_us + 100000);
	/* Those with placed tasks last, so that some are placed while it goes on. */
	for (unsigned int i = w->njobs - 1; i > 0; i--)
		sim_cancel(w, w->job[i]);
	/* What was ordered before has arrived by then. */
	sim_run(w, w->now_us + 10000);
	starts = w->starts;
	sim_run(w, w->now_us + 7 * SECOND);
	ck_assert_uint_eq(w->starts, starts);
	ck_assert_uint_eq(sim_unfinished(w, false), 0);
	finish(w, p);
}
END_TEST

/* Guards against an attempt that a crashed worker began and is begun again. */
START_TEST(crashed_workers_double_no_attempt)
{
	for (uint64_t seed = 1; seed <= 6; seed++) {
		struct sim_options o = options(seed, 12);
		struct sim_policy *p = sim_scheduler();
		struct sim *w = settled(&o, p);

		sim_submit(w, 0, 0, batch(1500, 4000, 1000), SECOND);
		for (unsigned int i = 0; i < 200; i++) {
			sim_crash_worker(w, (unsigned int)prng_below(&w->rng, 12), 50000,
					 false);
			sim_run(w, w->now_us + 150000);
		}
		sim_run(w, w->now_us + 400 * SECOND);
		ck_assert_uint_eq(sim_unfinished(w, false), 0);
		finish(w, p);
	}
}
END_TEST

/* Guards against a finished task that a new leader starts again while syncs are slow. */
START_TEST(slow_syncs_repeat_no_finished_task)
{
	for (uint64_t seed = 1; seed <= 8; seed++) {
		struct sim_options o = options(seed, 12);
		struct sim_policy *p = sim_scheduler();
		struct sim *w;

		o.sync_us = (int64_t)seed * 21000;
		w = settled(&o, p);
		sim_submit(w, 0, 0, batch(1500, 4000, 1000), SECOND);
		for (unsigned int i = 0; i < 40; i++) {
			sim_crash_leader(w, (int64_t)prng_below(&w->rng, 2 * SECOND));
			if (i % 4 == 0)
				sim_crash_worker(w, (unsigned int)prng_below(&w->rng, 12),
						 SECOND, false);
			sim_run(w, w->now_us + (int64_t)prng_below(&w->rng, 3 * SECOND));
		}
		sim_run(w, w->now_us + 400 * SECOND);
		ck_assert_uint_eq(sim_unfinished(w, false), 0);
		finish(w, p);
	}
}
END_TEST

/* Guards against a team above its quota. */
START_TEST(quota_holds)
{
	struct sim_options o = options(1, 6);
	struct sim_policy *p = sim_scheduler();
	struct sim *w = settled(&o, p);
	struct sched_quota q = {.team = sim_team(0), .limit = {.memory_mb = 10000}};

	sched_set_quota(w->sched, &q, w->now_us);
	sim_submit(w, 0, 0, batch(40, 100, 3000), 2 * SECOND);
	for (unsigned int i = 0; i < 200; i++) {
		unsigned int n = 0;

		sim_run(w, w->now_us + 200000);
		for (unsigned int k = 0; k < o.workers; k++)
			n += w->worker[k].used.memory_mb;
		ck_assert_uint_le(n, 10000);
	}
	sim_run(w, w->now_us + 60 * SECOND);
	ck_assert_uint_eq(sim_unfinished(w, false), 0);
	finish(w, p);
}
END_TEST

/* Guards against urgent work that waits for the lease of a worker that was cut off. */
START_TEST(urgent_work_leaves_silent_workers)
{
	for (uint64_t seed = 1; seed <= 6; seed++) {
		struct sim_options o = options(seed, 6);
		struct sim_policy *p = sim_scheduler();
		struct sim *w = settled(&o, p);
		struct sim_job *j;

		for (unsigned int i = 0; i < 4; i++)
			sim_cut(w, i, true);
		j = sim_submit(w, 0, 1, urgent(8, 4000), SECOND);
		sim_run(w, w->now_us + 4 * SECOND);
		for (unsigned int k = 0; k < 8; k++)
			ck_assert_int_gt(j->task[k].started_us, 0);
		finish(w, p);
	}
}
END_TEST

/* Guards against work that waits for ever when nothing ends on full workers. */
START_TEST(returned_zone_fills_though_nothing_ends)
{
	struct sim_options o = options(1, 12);
	struct sim_policy *p = sim_scheduler();
	struct sim *w = settled(&o, p);

	sim_submit(w, 0, 0, batch(96, 4000, 1000), 4000 * SECOND);
	sim_run(w, w->now_us + 20 * SECOND);
	sim_zone(w, 0, 1, true);
	sim_run(w, w->now_us + 30 * SECOND);
	ck_assert_uint_eq(running_in_zone(w, 1), 0);
	sim_zone(w, 0, 1, false);
	sim_run(w, w->now_us + 80 * SECOND);
	ck_assert_uint_eq(running_in_zone(w, 1), 32);
	finish(w, p);
}
END_TEST

/* Guards against deadlines planned with declared run times that are far too short. */
START_TEST(slack_uses_learned_run_times)
{
	struct sim_options o = options(1, 2);
	struct sim_policy *p = sim_scheduler();
	struct sched_job slow = batch(4, 16000, 1000);
	struct sched_job fast = batch(4, 16000, 1000);
	struct sim *w = settled(&o, p);
	struct sim_job *a;
	struct sim_job *b;

	slow.kind = str_from("slow");
	slow.run_us = SECOND; /* truly 20 s */
	fast.kind = str_from("fast");
	fast.run_us = SECOND;
	sim_submit(w, 0, 0, slow, 20 * SECOND);
	sim_submit(w, 0, 0, fast, SECOND);
	sim_run(w, w->now_us + 60 * SECOND);
	sim_submit(w, 0, 0, batch(4, 16000, 1000), 5 * SECOND);
	sim_run(w, w->now_us + SECOND);
	/* Both wait; the one due first can begin later. */
	fast.deadline_us = w->now_us + 40 * SECOND;
	slow.deadline_us = w->now_us + 45 * SECOND;
	a = sim_submit(w, 0, 0, fast, SECOND);
	b = sim_submit(w, 0, 0, slow, 20 * SECOND);
	sim_run(w, w->now_us + 60 * SECOND);
	for (unsigned int i = 0; i < 4; i++) {
		ck_assert_int_le(a->task[i].done_us, fast.deadline_us);
		ck_assert_int_le(b->task[i].done_us, slow.deadline_us);
	}
	ck_assert_int_lt(b->task[0].started_us, a->task[0].started_us);
	finish(w, p);
}
END_TEST

/* The naive placer: a full scan by the declared sizes of what runs. */
static bool naive_fits(const struct sim *w, unsigned int team, struct sched_size need)
{
	for (unsigned int i = 0; i < w->opt.workers; i++) {
		const struct sim_worker *k = &w->worker[i];

		if (!w->out_us[team][k->zone_index] && !k->cut &&
		    k->used.cpu_milli + need.cpu_milli <= k->capacity.cpu_milli &&
		    k->used.memory_mb + need.memory_mb <= k->capacity.memory_mb)
			return true;
	}
	return false;
}

static void run_differential(uint64_t seed)
{
	struct sim_options o = options(seed, 6 + (unsigned int)(seed % 20));
	struct sim_policy *p = sim_scheduler();
	struct sim *w = settled(&o, p);

	sim_run(w, 60 * SECOND);
	for (unsigned int i = 0; i < 40; i++) {
		unsigned int team = (unsigned int)prng_below(&w->rng, 2);
		struct sched_job b = batch(1, 100 + (uint32_t)prng_below(&w->rng, 34000),
					   100 + (uint32_t)prng_below(&w->rng, 60000));
		bool large = b.size.cpu_milli > vm.cpu_milli;
		struct sim_job *j;
		bool fits;

		if (prng_below(&w->rng, 8) == 0) {
			sim_zone(w, team, i % 3, !w->out_us[team][i % 3]);
			sim_run(w, w->now_us + 70 * SECOND);
		}
		fits = naive_fits(w, team, b.size);
		j = sim_submit(w, team, i % SIM_KINDS, b, 1000000 * SECOND);
		sim_run(w, w->now_us + 5 * SECOND);
		if (fits)
			ck_assert_msg(j->task[0].running == 1, "not placed (seed %llu)",
				      (unsigned long long)seed);
		else if (!large)
			ck_assert_int_lt(j->task[0].state, SCHED_DONE);
		if (!j->task[0].running)
			sim_cancel(w, j);
		sim_run(w, w->now_us + 3 * SECOND);
	}
	finish(w, p);
}

/* Guards against calling impossible what a plain full scan can place. */
START_TEST(places_what_a_full_scan_places)
{
	run_differential(FIXED_SEED + (uint64_t)_i);
}
END_TEST

/* One case for each test, so that CK_RUN_CASE selects it. */
static TCase *add_case(Suite *s, const char *name)
{
	TCase *tc = tcase_create(name);

	tcase_set_timeout(tc, 800);
	suite_add_tcase(s, tc);
	return tc;
}

int main(int argc, char **argv)
{
	Suite *s = suite_create("sched");
	TCase *tc;
	SRunner *sr;
	int first = 0;
	int count = FIXED_COUNT;
	int failed;

	if (argc > 2) {
		first = atoi(argv[1]) - FIXED_SEED;
		count = atoi(argv[2]);
	}
	tc = add_case(s, "faults");
	tcase_add_loop_test(tc, faults_break_no_invariant, first, first + count);
	tc = add_case(s, "differential");
	tcase_add_loop_test(tc, places_what_a_full_scan_places, first, first + count);
	tcase_add_test(add_case(s, "lease_wait_covers_clock_drift"),
		       lease_wait_covers_clock_drift);
	tcase_add_test(add_case(s, "new_leader_waits_for_old_leases"),
		       new_leader_waits_for_old_leases);
	tcase_add_test(add_case(s, "late_orders_expire"), late_orders_expire);
	tcase_add_test(add_case(s, "urgent_work_starts_in_time"),
		       urgent_work_starts_in_time);
	tcase_add_test(add_case(s, "bad_worker_is_quarantined"),
		       bad_worker_is_quarantined);
	tcase_add_test(add_case(s, "poison_job_fails_alone"), poison_job_fails_alone);
	tcase_add_test(add_case(s, "deadly_task_is_given_up"), deadly_task_is_given_up);
	tcase_add_test(add_case(s, "deadly_job_is_given_up_under_new_leaders"),
		       deadly_job_is_given_up_under_new_leaders);
	tcase_add_test(add_case(s, "innocents_survive_lost_workers"),
		       innocents_survive_lost_workers);
	tcase_add_test(add_case(s, "restarts_in_turn_give_up_nothing"),
		       restarts_in_turn_give_up_nothing);
	tcase_add_test(add_case(s, "cuts_are_no_losses"), cuts_are_no_losses);
	tc = add_case(s, "deadly");
	tcase_add_loop_test(tc, deadly_tasks_are_bounded_under_faults, first,
			    first + count);
	tcase_add_test(add_case(s, "max_attempts_bounds_failures"),
		       max_attempts_bounds_failures);
	tcase_add_test(add_case(s, "refused_intents_are_made_again"),
		       refused_intents_are_made_again);
	tcase_add_test(add_case(s, "late_poll_of_an_earlier_life_loses_no_task"),
		       late_poll_of_an_earlier_life_loses_no_task);
	tcase_add_test(add_case(s, "impossible_jobs_are_rejected"),
		       impossible_jobs_are_rejected);
	tcase_add_test(add_case(s, "late_measurements_cause_no_oscillation"),
		       late_measurements_cause_no_oscillation);
	tcase_add_test(add_case(s, "swinging_load_is_not_followed"),
		       swinging_load_is_not_followed);
	tcase_add_test(add_case(s, "zone_drains_gently_and_returns_slowly"),
		       zone_drains_gently_and_returns_slowly);
	tcase_add_test(add_case(s, "executors_are_spread"), executors_are_spread);
	tcase_add_test(add_case(s, "contended_capacity_is_shared_by_weight"),
		       contended_capacity_is_shared_by_weight);
	tcase_add_test(add_case(s, "cancelled_waves_end"), cancelled_waves_end);
	tcase_add_test(add_case(s, "crashed_workers_double_no_attempt"),
		       crashed_workers_double_no_attempt);
	tcase_add_test(add_case(s, "slow_syncs_repeat_no_finished_task"),
		       slow_syncs_repeat_no_finished_task);
	tcase_add_test(add_case(s, "quota_holds"), quota_holds);
	tcase_add_test(add_case(s, "urgent_work_leaves_silent_workers"),
		       urgent_work_leaves_silent_workers);
	tcase_add_test(add_case(s, "returned_zone_fills_though_nothing_ends"),
		       returned_zone_fills_though_nothing_ends);
	tcase_add_test(add_case(s, "slack_uses_learned_run_times"),
		       slack_uses_learned_run_times);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
