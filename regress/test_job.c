#include <arpa/inet.h>
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "regress/lib_store.h"

static struct rig rig;

static void open_rig(void)
{
	rig_open(&rig);
}

static void close_rig(void)
{
	rig_close(&rig);
}

static const struct job *job_of(const char *team, bool service, const char *name)
{
	return jobs_get(store_jobs(rig.s), str_from(team), service, str_from(name));
}

static struct lib_task first(uint32_t attempt)
{
	return (struct lib_task){.team = "t",
				 .job = "j",
				 .attempt = attempt,
				 .worker = "w1",
				 .session = 5};
}

/* Puts task 0 of job j into a state. */
static void reach(enum task_state state)
{
	struct lib_task t = first(1);

	ck_assert_int_eq(rig_submit(&rig, "t", "j", "s", "command=x max_attempts=1"), 0);
	if (state == TASK_WAITING)
		return;
	ck_assert_int_eq(rig_task(&rig, &t, TASK_PLACED), 0);
	if (state == TASK_PLACED)
		return;
	ck_assert_int_eq(rig_task(&rig, &t, TASK_RUNNING), 0);
	if (state == TASK_RUNNING)
		return;
	if (state == TASK_CANCELLED)
		ck_assert_int_eq(rig_cancel(&rig, "t", "j", "c"), 0);
	ck_assert_int_eq(rig_task(&rig, &t, state), 0);
}

/* Guards against any step that is not legal, from every state to every state. */
START_TEST(only_legal_steps)
{
	static const bool legal[TASK_EVICTED + 1][TASK_EVICTED + 1] = {
		[TASK_WAITING][TASK_PLACED] = true,  [TASK_EVICTED][TASK_PLACED] = true,
		[TASK_PLACED][TASK_RUNNING] = true,  [TASK_PLACED][TASK_WAITING] = true,
		[TASK_PLACED][TASK_DONE] = true,     [TASK_PLACED][TASK_FAILED] = true,
		[TASK_PLACED][TASK_EVICTED] = true,  [TASK_RUNNING][TASK_WAITING] = true,
		[TASK_RUNNING][TASK_DONE] = true,    [TASK_RUNNING][TASK_FAILED] = true,
		[TASK_RUNNING][TASK_EVICTED] = true, [TASK_WAITING][TASK_FAILED] = true,
		[TASK_EVICTED][TASK_FAILED] = true,
	};

	for (int from = 0; from <= TASK_EVICTED; from++) {
		for (int to = 0; to <= TASK_EVICTED; to++) {
			struct lib_task t = first(to == TASK_PLACED ? 2 : 1);
			int err;

			if (from == TASK_WAITING)
				t.attempt--;
			rig_close(&rig);
			rig_open(&rig);
			reach((enum task_state)from);
			err = rig_task(&rig, &t, (enum task_state)to);
			ck_assert_msg(err == (legal[from][to] ? 0 : CF_ESTALE),
				      "from %d to %d: %d", from, to, err);
		}
	}
}
END_TEST

/* Guards against a number that is no state, which XDR lets through. */
START_TEST(unknown_state_is_refused)
{
	struct lib_task t = first(1);

	reach(TASK_RUNNING);
	ck_assert_int_eq(rig_task(&rig, &t, (enum task_state)(TASK_EVICTED + 1)),
			 CF_EINVAL);
	ck_assert_int_eq(rig_task(&rig, &t, (enum task_state) - 1), CF_EINVAL);
	ck_assert_uint_eq(job_of("t", false, "j")->tasks[0].state, TASK_RUNNING);
}
END_TEST

/*
 * Guards against evicted work that resumes twice or loses its checkpoint, and against
 * an outcome that is reported twice: copies of every record must change nothing.
 */
START_TEST(evicted_work_resumes_once)
{
	struct lib_task a = first(1);
	struct lib_task b = first(2);

	reach(TASK_RUNNING);
	a.checkpoint = 42;
	ck_assert_int_eq(rig_task(&rig, &a, TASK_EVICTED), 0);
	ck_assert_int_eq(rig_task(&rig, &a, TASK_EVICTED), CF_ESTALE);
	rig_restore(&rig);
	b.worker = "w2";
	ck_assert_int_eq(rig_task(&rig, &b, TASK_PLACED), 0);
	ck_assert_int_eq(rig_task(&rig, &b, TASK_PLACED), CF_ESTALE);
	ck_assert_uint_eq(job_of("t", false, "j")->tasks[0].checkpoint, 42);
	/* The worker of the first attempt reports late. */
	ck_assert_int_eq(rig_task(&rig, &a, TASK_DONE), CF_ESTALE);
	b.session = 6;
	ck_assert_int_eq(rig_task(&rig, &b, TASK_DONE), CF_ESTALE);
	b.session = 5;
	ck_assert_int_eq(rig_task(&rig, &b, TASK_DONE), 0);
	ck_assert_int_eq(rig_task(&rig, &b, TASK_DONE), CF_ESTALE);
	ck_assert_int_eq(rig_task(&rig, &b, TASK_FAILED), CF_ESTALE);
	ck_assert_uint_eq(job_of("t", false, "j")->state, JOB_DONE);
	ck_assert_uint_eq(job_of("t", false, "j")->tasks[0].evictions, 1);
}
END_TEST

static const struct task *first_task(void)
{
	return &job_of("t", false, "j")->tasks[0];
}

/* Guards against a lost worker that is counted twice, or forgotten in a snapshot. */
START_TEST(losses_are_counted_once)
{
	struct lib_task t = first(1);

	reach(TASK_RUNNING);
	t.losses = 1;
	ck_assert_int_eq(rig_task(&rig, &t, TASK_WAITING), 0);
	ck_assert_uint_eq(first_task()->losses, 1);
	t.losses = 2;
	ck_assert_int_eq(rig_task(&rig, &t, TASK_WAITING), CF_ESTALE);
	ck_assert_uint_eq(first_task()->losses, 1);
	t = first(2);
	ck_assert_int_eq(rig_task(&rig, &t, TASK_PLACED), 0);
	t.losses = 3;
	t.pardons = 4;
	ck_assert_int_eq(rig_task(&rig, &t, TASK_WAITING), CF_EINVAL);
	t.pardons = 1;
	ck_assert_int_eq(rig_task(&rig, &t, TASK_WAITING), 0);
	rig_restore(&rig);
	ck_assert_uint_eq(first_task()->losses, 3);
	ck_assert_uint_eq(first_task()->pardons, 1);
	t.losses = 0;
	t.reason = TASK_R_LOSES_WORKERS;
	ck_assert_int_eq(rig_task(&rig, &t, TASK_FAILED), 0);
	ck_assert_str_eq(job_of("t", false, "j")->reason,
			 "2 workers were lost soon after task 0 had started on them");
}
END_TEST

/* Returns how many records of the kind the snapshot of the store has. */
static unsigned int count_records(enum snap_kind kind)
{
	struct buf bytes = {0};
	unsigned int n = 0;

	ck_assert_int_eq(store_snapshot(rig.s, &bytes), 0);
	for (size_t at = 0; at < bytes.n;) {
		uint32_t head[2]; /* length of the record, kind */

		memcpy(head, bytes.p + at, sizeof(head));
		n += ntohl(head[1]) == (uint32_t)kind;
		at += sizeof(head[0]) + ntohl(head[0]);
	}
	buf_free(&bytes);
	return n;
}

/* Guards against a format that older versions and their snapshots lack without need. */
START_TEST(snapshot_without_losses_is_as_before)
{
	struct lib_task t = first(1);

	reach(TASK_RUNNING);
	ck_assert_uint_eq(count_records(SNAP_JOB), 1);
	ck_assert_uint_eq(count_records(SNAP_LOSSES), 0);
	t.losses = 1;
	ck_assert_int_eq(rig_task(&rig, &t, TASK_WAITING), 0);
	ck_assert_uint_eq(count_records(SNAP_LOSSES), 1);
}
END_TEST

static void add_silence(struct lib_task *t, const char *worker, uint64_t session)
{
	struct command_silence *out = &t->silence[t->nsilences++];

	XDR_SET(*out, worker, str_from(worker));
	out->session = session;
	t->silent++;
}

/* Guards against a silent worker that is forgotten in a snapshot or kept too long. */
START_TEST(silences_are_kept_until_they_are_explained)
{
	struct lib_task t = first(1);
	const struct task_silences *s;

	reach(TASK_RUNNING);
	ck_assert_uint_eq(count_records(SNAP_SILENCES), 0);
	add_silence(&t, "w1", 5);
	add_silence(&t, "w2", 6);
	ck_assert_int_eq(rig_task(&rig, &t, TASK_WAITING), 0);
	ck_assert_int_eq(rig_task(&rig, &t, TASK_WAITING), CF_ESTALE);
	rig_restore(&rig);
	ck_assert_uint_eq(count_records(SNAP_SILENCES), 1);
	s = first_task()->silences;
	ck_assert_uint_eq(s->count, 2);
	ck_assert_uint_eq(s->n, 2);
	ck_assert(str_eq(job_worker_name(s->list[1].worker), STR("w2")));
	ck_assert_uint_eq(s->list[1].session, 6);
	/* Commands of an earlier version say nothing of silences, or clear them. */
	t = first(2);
	ck_assert_int_eq(rig_task(&rig, &t, TASK_PLACED), 0);
	ck_assert_uint_eq(first_task()->silences->count, 2);
	t.losses = 1;
	ck_assert_int_eq(rig_task(&rig, &t, TASK_WAITING), 0);
	ck_assert_ptr_null(first_task()->silences);
	ck_assert_uint_eq(count_records(SNAP_SILENCES), 0);
}
END_TEST

/* Guards against a list of silent workers that no leader makes. */
START_TEST(invalid_silences_are_refused)
{
	struct lib_task t = first(1);

	reach(TASK_RUNNING);
	add_silence(&t, "w1", 5);
	t.silent = 0;
	ck_assert_int_eq(rig_task(&rig, &t, TASK_WAITING), CF_EINVAL);
	t.silent = 256;
	ck_assert_int_eq(rig_task(&rig, &t, TASK_WAITING), CF_EINVAL);
	t.silent = 2;
	add_silence(&t, "", 5);
	ck_assert_int_eq(rig_task(&rig, &t, TASK_WAITING), CF_EINVAL);
	ck_assert_uint_eq(first_task()->state, TASK_RUNNING);
	ck_assert_ptr_null(first_task()->silences);
}
END_TEST

/* Guards against a record for an earlier job that had the same name. */
START_TEST(record_of_an_earlier_job_is_stale)
{
	struct lib_task t = first(1);

	rig.options.job.retention_us = 0;
	rig_reopen(&rig);
	rig.index = 0;
	reach(TASK_DONE);
	t.revision = job_of("t", false, "j")->revision;
	rig.now_us += 3600 * 1000000ULL;
	ck_assert_int_eq(rig_submit(&rig, "t", "j", "s2", "command=x"), 0);
	ck_assert_int_eq(rig_task(&rig, &t, TASK_PLACED), CF_ESTALE);
	t.revision = 0;
	ck_assert_int_eq(rig_task(&rig, &t, TASK_PLACED), 0);
}
END_TEST

/* Guards against a wrong state of a job, or an end without its reason. */
START_TEST(job_state_follows_tasks)
{
	struct lib_task t = first(1);
	struct command_job_reject reject = {0};

	ck_assert_int_eq(
		rig_submit(&rig, "t", "j", "s", "command=x tasks=3 max_attempts=2"), 0);
	ck_assert_int_eq(rig_submit(&rig, "t", "j", "s9", "command=x"), CF_EEXIST);
	ck_assert_int_eq(rig_task(&rig, &t, TASK_PLACED), 0);
	ck_assert_uint_eq(job_of("t", false, "j")->state, JOB_RUNNING);
	t.exit_code = 9;
	t.failures = 1;
	ck_assert_int_eq(rig_task(&rig, &t, TASK_WAITING), 0);
	ck_assert_uint_eq(job_of("t", false, "j")->state, JOB_WAITING);
	ck_assert_uint_eq(job_of("t", false, "j")->tasks[0].failures, 1);
	t.attempt = 2;
	t.failures = 2;
	ck_assert_int_eq(rig_task(&rig, &t, TASK_PLACED), 0);
	t.task = 1;
	t.attempt = 1;
	ck_assert_int_eq(rig_task(&rig, &t, TASK_PLACED), 0);
	t.task = 0;
	t.attempt = 2;
	ck_assert_int_eq(rig_task(&rig, &t, TASK_FAILED), 0);
	ck_assert_uint_eq(job_of("t", false, "j")->state, JOB_RUNNING);
	ck_assert_uint_eq(job_of("t", false, "j")->tasks[2].state, TASK_CANCELLED);
	t.task = 1;
	t.attempt = 1;
	ck_assert_int_eq(rig_task(&rig, &t, TASK_EVICTED), 0);
	ck_assert_uint_eq(job_of("t", false, "j")->state, JOB_FAILED);
	ck_assert_str_eq(job_of("t", false, "j")->reason,
			 "task 0 failed 2 times, last with exit code 9");

	XDR_SET(reject, team, STR("t"));
	XDR_SET(reject, job, STR("r"));
	XDR_SET(reject, reason, STR("no worker has 99 cpus"));
	ck_assert_int_eq(rig_submit(&rig, "t", "", "r", "command=x cpus=99"), 0);
	ck_assert(str_eq(rig_detail(&rig), STR("r")));
	ck_assert_int_eq(rig_run(&rig, CMD_JOB_REJECT, &reject), 0);
	ck_assert_int_eq(rig_run(&rig, CMD_JOB_REJECT, &reject), CF_ESTALE);
	rig_restore(&rig);
	ck_assert_uint_eq(job_of("t", false, "r")->state, JOB_REJECTED);
	ck_assert_str_eq(job_of("t", false, "r")->reason, "no worker has 99 cpus");

	ck_assert_int_eq(rig_submit(&rig, "t", "c", "c1", "command=x tasks=2"), 0);
	t.job = "c";
	ck_assert_int_eq(rig_task(&rig, &t, TASK_PLACED), 0);
	ck_assert_int_eq(rig_task(&rig, &t, TASK_CANCELLED), CF_ESTALE);
	ck_assert_int_eq(rig_cancel(&rig, "t", "c", "c2"), 0);
	ck_assert_uint_eq(job_of("t", false, "c")->state, JOB_RUNNING);
	rig_restore(&rig);
	ck_assert_int_eq(rig_task(&rig, &t, TASK_CANCELLED), 0);
	ck_assert_uint_eq(job_of("t", false, "c")->state, JOB_CANCELLED);
	ck_assert_int_eq(rig_cancel(&rig, "t", "c", "c3"), 0);
	ck_assert_int_eq(rig_cancel(&rig, "t", "none", "c4"), CF_ENOENT);
}
END_TEST

/* Guards against executors that do not follow the document of their service. */
START_TEST(service_tasks_follow_the_document)
{
	struct lib_task t = {.team = "t",
			     .job = "s",
			     .service = true,
			     .task = 2,
			     .attempt = 1,
			     .worker = "w1",
			     .session = 5};
	uint64_t revision;

	ck_assert_int_eq(
		rig_put(&rig, "/t/vocabulary", 0, "v", "", "fields.copies=executors"), 0);
	revision = rig.res.revision;
	ck_assert_int_eq(
		rig_put(&rig, "/t/service/s", 0, "a", "", "slots=8 copies=3 command=x"),
		0);
	ck_assert_uint_eq(job_of("t", true, "s")->ntasks, 3);
	ck_assert_ptr_null(job_of("t", false, "s"));
	ck_assert_int_eq(rig_task(&rig, &t, TASK_PLACED), 0);
	ck_assert_int_eq(rig_task(&rig, &t, TASK_DONE), 0);
	ck_assert_uint_eq(job_of("t", true, "s")->tasks[2].state, TASK_WAITING);
	t.attempt = 2;
	ck_assert_int_eq(rig_task(&rig, &t, TASK_PLACED), 0);
	ck_assert_int_eq(
		rig_put(&rig, "/t/service/s", 2, "b", "", "slots=8 copies=1 command=x"),
		0);
	/* The scheduler chooses which executors stop. */
	ck_assert_uint_eq(job_of("t", true, "s")->tasks[2].state, TASK_PLACED);
	ck_assert_uint_eq(job_of("t", true, "s")->tasks[1].state, TASK_WAITING);
	rig_restore(&rig);
	ck_assert_int_eq(rig_task(&rig, &t, TASK_CANCELLED), 0);
	ck_assert_int_eq(rig_task(&rig, &t, TASK_CANCELLED), CF_ESTALE);
	t.task = 1;
	t.attempt = 0;
	ck_assert_int_eq(rig_task(&rig, &t, TASK_CANCELLED), 0);
	t.task = 2;
	t.attempt = 2;
	/* A change of the vocabulary alone changes the number of executors. */
	ck_assert_int_eq(rig_put(&rig, "/t/vocabulary", revision, "v2", "",
				 "fields.copies=accelerators fields.slots=executors"),
			 CF_EINVAL);
	ck_assert_int_eq(rig_put(&rig, "/t/vocabulary", revision, "v3", "",
				 "fields.copies=slots fields.slots=executors"),
			 0);
	ck_assert_uint_eq(job_of("t", true, "s")->ntasks, 8);
	ck_assert_uint_eq(job_of("t", true, "s")->tasks[2].state, TASK_CANCELLED);
	ck_assert_uint_eq(job_of("t", true, "s")->tasks[2].attempt, 2);
	ck_assert_int_eq(rig_task(&rig, &t, TASK_PLACED), CF_ESTALE);
	ck_assert_int_eq(rig_delete(&rig, "/t/service/s", 5, "d"), CF_ECONFLICT);
	ck_assert_int_eq(rig_delete(&rig, "/t/service/s", rig.res.revision, "d2"), 0);
	ck_assert_ptr_null(job_of("t", true, "s"));
	ck_assert_uint_eq(jobs_tasks(store_jobs(rig.s)), 0);
}
END_TEST

/*
 * Guards against executors that are lost or doubled: a free number is placed again only
 * with its next attempt, a replacement gets a number of its own within the bound, and a
 * late record of an earlier attempt changes nothing, also after a snapshot.
 */
START_TEST(service_numbers_are_reused_and_bounded)
{
	struct lib_task t = {.team = "t",
			     .job = "s",
			     .service = true,
			     .attempt = 1,
			     .worker = "w1",
			     .session = 5};
	struct lib_task late = t;

	ck_assert_int_eq(rig_put(&rig, "/t/service/s", 0, "a", "",
				 "slots=8 executors=2 command=x"),
			 0);
	ck_assert_int_eq(rig_task(&rig, &t, TASK_PLACED), 0);
	ck_assert_int_eq(rig_task(&rig, &t, TASK_RUNNING), 0);
	t.task = 4;
	ck_assert_int_eq(rig_task(&rig, &t, TASK_PLACED), CF_ENOENT);
	t.task = 3;
	t.attempt = 2;
	ck_assert_int_eq(rig_task(&rig, &t, TASK_PLACED), CF_ENOENT);
	t.attempt = 1;
	ck_assert_int_eq(rig_task(&rig, &t, TASK_PLACED), 0);
	ck_assert_uint_eq(job_of("t", true, "s")->ntasks, 4);
	ck_assert_uint_eq(job_of("t", true, "s")->tasks[2].state, TASK_CANCELLED);
	/* The executor with number 0 is replaced. */
	late.checkpoint = 7;
	ck_assert_int_eq(rig_task(&rig, &late, TASK_CANCELLED), 0);
	rig_restore(&rig);
	ck_assert_int_eq(rig_task(&rig, &late, TASK_PLACED), CF_ESTALE);
	late.attempt = 2;
	ck_assert_int_eq(rig_task(&rig, &late, TASK_PLACED), 0);
	ck_assert_uint_eq(job_of("t", true, "s")->tasks[0].checkpoint, 0);
	late.attempt = 1;
	ck_assert_int_eq(rig_task(&rig, &late, TASK_CANCELLED), CF_ESTALE);
	ck_assert_uint_eq(job_of("t", true, "s")->tasks[0].state, TASK_PLACED);
}
END_TEST

/* Guards against a job that ends without saying why it can never run. */
START_TEST(impossible_jobs_keep_their_reason)
{
	struct lib_task t = first(0);

	t.reason = TASK_R_TOO_LARGE;
	ck_assert_int_eq(rig_submit(&rig, "t", "j", "s", "command=x tasks=2"), 0);
	ck_assert_int_eq(rig_task(&rig, &t, TASK_FAILED), 0);
	ck_assert_int_eq(rig_task(&rig, &t, TASK_FAILED), CF_ESTALE);
	rig_restore(&rig);
	ck_assert_uint_eq(job_of("t", false, "j")->state, JOB_REJECTED);
	ck_assert_str_eq(job_of("t", false, "j")->reason,
			 "task 0 is larger than every worker");
	/* A job that ran is not rejected. */
	ck_assert_int_eq(rig_submit(&rig, "t", "k", "s2", "command=x"), 0);
	t.job = "k";
	t.attempt = 1;
	t.reason = TASK_R_OVER_QUOTA;
	ck_assert_int_eq(rig_task(&rig, &t, TASK_PLACED), 0);
	ck_assert_int_eq(rig_task(&rig, &t, TASK_FAILED), 0);
	ck_assert_uint_eq(job_of("t", false, "k")->state, JOB_FAILED);
	ck_assert_str_eq(job_of("t", false, "k")->reason,
			 "task 0 exceeds the quota of its team");
}
END_TEST

/* Guards against a team that takes the tasks of another, and unbounded records. */
START_TEST(bounds_are_per_team)
{
	rig.options.job.tasks = (struct share_options){10, 10, 18};
	rig.options.job.finished_tasks = (struct share_options){3, 0, 3};
	rig.options.job.tasks_per_job = 15;
	rig_reopen(&rig);
	rig.index = 0;
	ck_assert_int_eq(rig_submit(&rig, "t", "a", "a", "command=x tasks=16"),
			 CF_ETOOBIG);
	ck_assert_int_eq(rig_submit(&rig, "t", "b", "b", "command=x tasks=15"), 0);
	ck_assert_int_eq(rig_submit(&rig, "t", "c", "c", "command=x tasks=4"),
			 CF_ENOSPACE);
	ck_assert_int_eq(rig_put(&rig, "/t/service/s", 0, "p", "", "slots=1 executors=4"),
			 CF_ENOSPACE);
	ck_assert_ptr_null(
		conf_view_get(conf_current_docs(store_conf(rig.s)), STR("/t/service/s")));
	ck_assert_int_eq(rig_submit(&rig, "u", "d", "d", "command=x tasks=10"), 0);
	/* Of 5 finished jobs with one task each, 3 are kept. */
	for (int i = 0; i < 5; i++) {
		char name[16];
		char cancel[16];

		snprintf(name, sizeof(name), "k%d", i);
		snprintf(cancel, sizeof(cancel), "x%d", i);
		ck_assert_int_eq(rig_submit(&rig, "t", name, name, "command=x"), 0);
		ck_assert_int_eq(rig_cancel(&rig, "t", name, cancel), 0);
	}
	ck_assert_uint_eq(jobs_finished_count(store_jobs(rig.s)), 3);
	ck_assert_ptr_null(job_of("t", false, "k1"));
	ck_assert_ptr_nonnull(job_of("t", false, "k2"));
}
END_TEST

/* Guards against defaults of a job's kind that override what was submitted. */
START_TEST(kind_supplies_defaults)
{
	const struct job *job;

	ck_assert_int_eq(rig_put(&rig, "/t/job/recon", 0, "p", "",
				 "command=reconcile cpus=2.5 class=urgent deadline=60"),
			 0);
	ck_assert_int_eq(rig_submit(&rig, "t", "j", "s", "kind=recon cpus=1"), 0);
	job = job_of("t", false, "j");
	ck_assert(str_eq(job->spec.command, STR("reconcile")));
	ck_assert(str_eq(job->spec.batch_kind, STR("recon")));
	ck_assert_uint_eq(job->spec.cpus_milli, 1000);
	ck_assert_uint_eq(job->spec.class, CONF_CLASS_URGENT);
	ck_assert_uint_eq(job->spec.deadline_us, rig.now_us + 60000000);
	ck_assert_int_eq(rig_submit(&rig, "u", "j", "s", "kind=recon cpus=1"), CF_EINVAL);
	ck_assert(str_eq(rig_detail(&rig), STR("field \"command\" is missing")));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("job");
	TCase *tc = tcase_create("job");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, open_rig, close_rig);
	tcase_add_test(tc, only_legal_steps);
	tcase_add_test(tc, unknown_state_is_refused);
	tcase_add_test(tc, evicted_work_resumes_once);
	tcase_add_test(tc, losses_are_counted_once);
	tcase_add_test(tc, snapshot_without_losses_is_as_before);
	tcase_add_test(tc, silences_are_kept_until_they_are_explained);
	tcase_add_test(tc, invalid_silences_are_refused);
	tcase_add_test(tc, record_of_an_earlier_job_is_stale);
	tcase_add_test(tc, job_state_follows_tasks);
	tcase_add_test(tc, service_tasks_follow_the_document);
	tcase_add_test(tc, service_numbers_are_reused_and_bounded);
	tcase_add_test(tc, impossible_jobs_keep_their_reason);
	tcase_add_test(tc, bounds_are_per_team);
	tcase_add_test(tc, kind_supplies_defaults);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
