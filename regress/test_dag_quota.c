/* Quotas of organisations: none is exceeded, whatever is lost or repeated. */
#include <check.h>
#include <stdlib.h>

#include "regress/lib_dag_orgs.h"

#define SECOND 1000000LL
#define MS 1000LL
#define STEP_US (5 * MS)

static struct dag_world w;
static const struct dag_org_limits unlimited;

static void open_world(void)
{
	dw_open(&w, 1);
	do_open(&w);
}

static void close_world(void)
{
	do_close();
	dw_close(&w);
}

static struct dag_org_limits cpu_limit(uint64_t cpu_milli)
{
	return (struct dag_org_limits){.cpu_milli = cpu_milli};
}

static void submit(uint32_t org, uint32_t n, uint32_t count, uint32_t cpu_milli,
		   bool lasting)
{
	struct dag_step st = {.count = count,
			      .cpu_milli = cpu_milli,
			      .mem_mb = 100,
			      .estimate_ms = 60000,
			      .long_running = lasting};

	dw_submit_step(&w, DO_JOB(org, n), &st);
}

/* Runs with a comparison of the count after each step of time. */
static void run_counted(int64_t us)
{
	for (int64_t t = 0; t < us; t += STEP_US) {
		dw_run_for(&w, STEP_US);
		do_assert_counted();
	}
}

/* Guards against an organisation that gets more or less than its quota. */
START_TEST(quota_is_used_and_not_exceeded)
{
	uint32_t a = do_add("a", 1, cpu_limit(10000));
	uint32_t b = do_add("b", 1, (struct dag_org_limits){.mem_mb = 750});

	dw_add_workers(&w, 4);
	submit(a, 1, 30, 1000, true);
	submit(b, 1, 30, 1000, true);
	run_counted(3 * SECOND);
	ck_assert_uint_eq(dw_alive(&w, DO_JOB(a, 1)), 10);
	ck_assert_uint_eq(dw_alive(&w, DO_JOB(b, 1)), 7);
	ck_assert_uint_eq(do_stats(a).n_waiting, 20);
	/* Some 20 tasks for some 3 s. */
	ck_assert_int_gt(do_stats(a).quota_wait_us, 40 * SECOND);
	ck_assert_int_lt(do_stats(a).quota_wait_us, 60 * SECOND);
	dw_assert_sound(&w);
}
END_TEST

/* Guards against a quota that holds back others, or smaller tasks of its organisation. */
START_TEST(quota_blocks_no_others)
{
	/* Its steps are tried before the later tasks of the others. */
	uint32_t a = do_add("a", 1000000, cpu_limit(4000));
	uint32_t b = do_add("b", 1, unlimited);

	dw_add_workers(&w, 4);
	submit(a, 1, 4, 1000, true);
	dw_run_for(&w, SECOND);
	submit(a, 2, 8, 1000, true);
	dw_run_for(&w, SECOND);
	submit(0, 3, 8, 1000, true);
	submit(b, 4, 8, 1000, true);
	run_counted(SECOND);
	ck_assert_uint_eq(dw_alive(&w, DO_JOB(a, 2)), 0);
	ck_assert_uint_eq(dw_alive(&w, DO_JOB(0, 3)), 8);
	ck_assert_uint_eq(dw_alive(&w, DO_JOB(b, 4)), 8);
	/* A larger task of a comes first and stays; a smaller one fits. */
	do_set_limits(a, cpu_limit(4500));
	submit(a, 5, 1, 500, true);
	run_counted(SECOND);
	ck_assert_uint_eq(dw_alive(&w, DO_JOB(a, 2)), 0);
	ck_assert_uint_eq(dw_alive(&w, DO_JOB(a, 5)), 1);
	dw_assert_sound(&w);
}
END_TEST

/* Guards against a lower limit that stops runs, and against starts above it. */
START_TEST(lower_limit_stops_and_starts_nothing)
{
	uint32_t a = do_add("a", 1, cpu_limit(20000));

	dw_add_workers(&w, 4);
	submit(a, 1, 16, 1000, true);
	submit(a, 2, 16, 1000, true);
	run_counted(2 * SECOND);
	ck_assert_uint_eq(dw_alive(&w, DO_JOB(a, 1)), 16);
	ck_assert_uint_eq(dw_alive(&w, DO_JOB(a, 2)), 4);
	do_set_limits(a, cpu_limit(8000));
	if (_i)
		dw_change_leader(&w);
	run_counted(5 * SECOND);
	ck_assert_uint_eq(w.starts, 20);
	ck_assert_uint_eq(do_recount(a).runs, 20);
	do_set_limits(a, cpu_limit(21000));
	run_counted(2 * SECOND);
	ck_assert_uint_eq(w.starts, 21);
	ck_assert_uint_eq(w.n_noted, 0);
	dw_assert_sound(&w);
}
END_TEST

static void submit_gang(uint32_t org, uint32_t n, uint32_t count)
{
	struct dag_step st = {.count = count,
			      .cpu_milli = 1000,
			      .mem_mb = 100,
			      .estimate_ms = 60000,
			      .gang = true};

	dw_submit_step(&w, DO_JOB(org, n), &st);
}

/* Guards against a gang whose members are checked one by one, and started in part. */
START_TEST(gang_is_counted_as_a_whole)
{
	uint32_t a = do_add("a", 1, cpu_limit(8000));

	w.work_us = 2 * SECOND;
	dw_add_workers(&w, 4);
	submit(a, 1, 4, 1000, false);
	dw_run_for(&w, SECOND);
	submit_gang(a, 2, 6);
	submit_gang(a, 3, 9);
	run_counted(SECOND);
	ck_assert_uint_eq(dw_alive(&w, DO_JOB(a, 1)), 4);
	ck_assert_uint_eq(dw_alive(&w, DO_JOB(a, 2)), 0);
	run_counted(2 * SECOND);
	ck_assert_uint_eq(dw_alive(&w, DO_JOB(a, 2)), 6);
	run_counted(10 * SECOND);
	ck_assert_int_eq(dw_state(&w, DO_JOB(a, 2)), DAG_JOB_COMPLETED);
	/* Larger than the quota: it starts when the limit permits it. */
	ck_assert_int_eq(dw_state(&w, DO_JOB(a, 3)), DAG_JOB_QUEUED);
	do_set_limits(a, cpu_limit(9000));
	run_counted(10 * SECOND);
	ck_assert_int_eq(dw_state(&w, DO_JOB(a, 3)), DAG_JOB_COMPLETED);
	dw_assert_sound(&w);
}
END_TEST

/* Guards against a task that can never start as it is larger than its quota. */
START_TEST(task_larger_than_the_quota_runs_alone)
{
	uint32_t a = do_add("a", 1, cpu_limit(2000));

	w.work_us = 2 * SECOND;
	dw_add_workers(&w, 4);
	submit(a, 1, 2, 1000, false);
	dw_run_for(&w, SECOND);
	submit(a, 2, 1, 5000, false);
	run_counted(SECOND);
	ck_assert_uint_eq(dw_alive(&w, DO_JOB(a, 2)), 0);
	run_counted(1500 * MS);
	ck_assert_uint_eq(dw_alive(&w, DO_JOB(a, 2)), 1);
	submit(a, 3, 1, 100, false);
	run_counted(500 * MS);
	ck_assert_uint_eq(dw_alive(&w, DO_JOB(a, 3)), 0);
	run_counted(10 * SECOND);
	ck_assert_int_eq(dw_state(&w, DO_JOB(a, 2)), DAG_JOB_COMPLETED);
	ck_assert_int_eq(dw_state(&w, DO_JOB(a, 3)), DAG_JOB_COMPLETED);
	dw_assert_sound(&w);
}
END_TEST

/* Guards against a log line for each pass: one for an organisation in 3 s. */
START_TEST(log_of_an_exhausted_quota_is_bounded)
{
	uint32_t a = do_add("a", 1, cpu_limit(2000));

	dw_add_workers(&w, 4);
	submit(a, 1, 30, 1000, true);
	submit(a, 2, 30, 1000, false);
	dw_run_for(&w, 9 * SECOND);
	ck_assert_uint_ge(w.org_notes, 2);
	ck_assert_uint_le(w.org_notes, 4);
	dw_assert_sound(&w);
}
END_TEST

/* Guards against data of the leader that outlives its organisation, or ends before. */
START_TEST(data_ends_with_the_organisation)
{
	uint32_t a = do_add("a", 1, cpu_limit(2000));
	struct dag_command c = {.kind = DAG_CMD_FORGET};

	dw_add_workers(&w, 1);
	dw_run_for(&w, SECOND);
	ck_assert(!do_is_known(a));
	submit(a, 1, 2, 1000, false);
	dw_run_for(&w, 5 * SECOND);
	ck_assert(do_is_known(a));
	c.dag_command_u.forget = DO_JOB(a, 1);
	w.host.ops->propose(&w.host, &c);
	dw_run_for(&w, SECOND);
	do_remove(a);
	ck_assert(!do_is_known(a));
	submit(0, 2, 2, 1000, false);
	dw_run_for(&w, 5 * SECOND);
	ck_assert_int_eq(dw_state(&w, 2), DAG_JOB_COMPLETED);
	dw_assert_sound(&w);
}
END_TEST

/* Guards against a serving task at its quota that is reported as lacking a worker. */
START_TEST(quota_is_told_as_the_obstacle)
{
	uint32_t a = do_add("a", 1, cpu_limit(2000));
	struct dag_step gang = {
		.count = 3, .cpu_milli = 1000, .gang = true, .long_running = true};

	dw_add_workers(&w, 4);
	submit(a, 1, 3, 1000, true);
	dw_run_for(&w, 8 * SECOND);
	ck_assert_str_eq(do_obstacle(), "its organisation has reached its quota");
	dw_cancel(&w, DO_JOB(a, 1));
	dw_submit_step(&w, DO_JOB(a, 2), &gang);
	dw_run_for(&w, 8 * SECOND);
	ck_assert_str_eq(do_obstacle(), "its gang is larger than its organisation's "
					"quota");
	dw_assert_sound(&w);
}
END_TEST

static struct dag_org_limits random_limits(struct prng *p)
{
	struct dag_org_limits l = {0};

	if (prng_below(p, 4))
		l.cpu_milli = 500 + prng_below(p, 30000);
	if (prng_below(p, 2))
		l.mem_mb = 100 + prng_below(p, 12000);
	if (prng_below(p, 3) == 0)
		l.gpus = 1 + prng_below(p, 4);
	return l;
}

static void submit_random(struct prng *p, uint32_t n, bool copies)
{
	struct dag_step st[2] = {{0}};
	struct dag_job job = {.id = DO_JOB(prng_below(p, 4), n)};
	u_int before = 0;

	for (int i = 0; i < 2; i++) {
		st[i].count = 1 + (u_int)prng_below(p, 6);
		st[i].cpu_milli = 250 * (1 + (u_int)prng_below(p, 12));
		st[i].mem_mb = 100 * (1 + (u_int)prng_below(p, 12));
		st[i].gpus = prng_below(p, 8) == 0;
		st[i].estimate_ms = 500 + (u_int)prng_below(p, 2000);
		st[i].gang = prng_below(p, 5) == 0;
		st[i].speculative = copies && !st[i].gang && prng_below(p, 2);
		st[i].filler = !st[i].gang && prng_below(p, 4) == 0;
		st[i].checkpointable = prng_below(p, 2);
	}
	st[1].depends_on.depends_on_len = 1;
	st[1].depends_on.depends_on_val = &before;
	job.steps.steps_len = 1 + (u_int)prng_below(p, 2);
	/* A gang is done with its first member; the world expects an end of each before
	 * the next step. */
	if (job.steps.steps_len == 2)
		st[0].gang = false;
	job.steps.steps_val = st;
	if (prng_below(p, 10) == 0) {
		job.steps.steps_len = 1;
		st[0].long_running = true;
		st[0].gang = st[0].speculative = st[0].filler = false;
	}
	dw_submit(&w, &job);
}

static void disturb(struct prng *p, uint32_t n_jobs)
{
	uint32_t number = (uint32_t)prng_below(p, w.n_workers);
	struct dw_worker *dw = &w.workers[number];

	switch (prng_below(p, 7)) {
	case 0:
		dw_change_leader(&w);
		break;
	case 1:
		if (dw->up)
			dw_crash_for(&w, number,
				     (int64_t)prng_below(p, 4000) * MS + STEP_US,
				     prng_below(p, 2));
		break;
	case 2:
		dw->cut = !dw->cut;
		break;
	case 3:
		dw->refuses = !dw->refuses;
		break;
	case 4: {
		uint64_t id = DO_JOB(prng_below(p, 4), 1 + prng_below(p, n_jobs));

		if (dag_state_find_job(w.state, id))
			dw_cancel(&w, id);
		break;
	}
	default:
		do_set_limits(1 + (uint32_t)prng_below(p, 3), random_limits(p));
		break;
	}
}

static void end_disturbances(void)
{
	w.lost_permille = 0;
	w.late_permille = 0;
	for (uint32_t i = 1; i <= 3; i++)
		do_set_limits(i, unlimited);
	for (size_t i = 0; i < w.n_workers; i++) {
		w.workers[i].cut = false;
		w.workers[i].refuses = false;
	}
}

/*
 * Guards against usage that drifts from the recorded runs, and against a start above the
 * quota (lib_dag_orgs.c checks each): in random histories with lost and late orders,
 * crashes, cuts, refusals, cancelled jobs, changes of leader and of limits.
 */
START_TEST(random_histories)
{
	struct prng p = {.state = (uint64_t)_i + 1000};
	bool copies = _i % 3 == 0;
	uint32_t n_jobs = 0;

	dw_open(&w, (uint64_t)_i + 1);
	if (_i % 2)
		dw_add_follower(&w);
	do_open(&w);
	for (int i = 0; i < 3; i++)
		do_add((const char *[]){"a", "b", "c"}[i], (uint32_t)prng_below(&p, 4),
		       random_limits(&p));
	dw_add_workers(&w, 6);
	for (uint32_t i = 0; i < 3; i++)
		dw_set_room(&w, i, &(struct dw_room){8000, 8000, 2});
	w.lost_permille = (uint32_t)prng_below(&p, 80);
	w.late_permille = (uint32_t)prng_below(&p, 80);
	dw_run_for(&w, SECOND);
	for (int64_t until = w.now_us + 20 * SECOND; w.now_us < until;) {
		dw_assert_sound(&w);
		run_counted(STEP_US);
		if (prng_below(&p, 40) == 0 && n_jobs < 60)
			submit_random(&p, ++n_jobs, copies);
		if (prng_below(&p, 100) == 0 && n_jobs)
			disturb(&p, n_jobs);
	}
	end_disturbances();
	for (int i = 0; i < 60; i++) {
		dw_run_for(&w, SECOND);
		do_assert_counted();
	}
	ck_assert_uint_gt(w.starts, 0);
	dw_assert_sound(&w);
	do_close();
	dw_close(&w);
}
END_TEST

int main(int argc, char **argv)
{
	/* With arguments, the first seed and the number of seeds. */
	int first = argc > 1 ? atoi(argv[1]) : 0;
	int n = argc > 2 ? atoi(argv[2]) : 60;
	Suite *s = suite_create("dag_quota");
	TCase *tc = tcase_create("dag_quota");
	TCase *random = tcase_create("random");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(tc, 120);
	tcase_set_timeout(random, 240);
	tcase_add_checked_fixture(tc, open_world, close_world);
	tcase_add_test(tc, quota_is_used_and_not_exceeded);
	tcase_add_test(tc, quota_blocks_no_others);
	tcase_add_loop_test(tc, lower_limit_stops_and_starts_nothing, 0, 2);
	tcase_add_test(tc, gang_is_counted_as_a_whole);
	tcase_add_test(tc, task_larger_than_the_quota_runs_alone);
	tcase_add_test(tc, log_of_an_exhausted_quota_is_bounded);
	tcase_add_test(tc, quota_is_told_as_the_obstacle);
	tcase_add_test(tc, data_ends_with_the_organisation);
	tcase_add_loop_test(random, random_histories, first, first + n);
	suite_add_tcase(s, tc);
	suite_add_tcase(s, random);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
