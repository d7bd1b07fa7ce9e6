#include "regress/lib_dag_orgs.h"

#include <check.h>
#include <string.h>

#include "proto/codec.h"

#define MAX_PENDING 4096U

/* A start that is proposed and may not be recorded yet. */
struct pending {
	struct dag_task_ref task;
	uint32_t run;
};

static struct {
	struct dag_world *w;
	char names[DO_ORGS][16];
	uint32_t n;
	uint32_t owner_of_all;
	struct pending pending[MAX_PENDING];
	size_t n_pending;
	int64_t quota_wait_us[DO_ORGS];
	char obstacle[96];
	const struct dag_host_ops *host;
	struct dag_host_ops host_tap;
	const struct dag_observer_ops *observer;
	struct dag_observer_ops observer_tap;
} f;

/* Number of a job's owner, 0: none. */
static uint32_t owner_of(uint64_t job)
{
	uint32_t owner = f.owner_of_all ? f.owner_of_all : (uint32_t)(job >> 32);

	return owner <= f.n ? owner : 0;
}

/* NULL: the state does not have it. */
static struct dag_org *find_org(const struct dag_state *s, uint32_t org)
{
	return dag_state_find_org(s, str_from(f.names[org - 1]));
}

static void own_job(struct dag_state *s, struct dag_job_rec *j)
{
	uint32_t owner = owner_of(j->id);

	if (!j->org && owner)
		ck_assert_int_eq(dag_state_set_owner(s, j, str_from(f.names[owner - 1])),
				 0);
}

static void on_job_added(struct dag_observer *o, struct dag_job_rec *j)
{
	own_job(f.w->state, j);
	f.observer->job_added(o, j);
}

static void before_lead(struct dag_world *w)
{
	struct dag_job_rec *j;

	for (j = w->state->jobs; j; j = j->hh.next)
		own_job(w->state, j);
	f.n_pending = 0;
}

static void after_lead(struct dag_world *w)
{
	f.observer = w->state->observer->ops;
	f.observer_tap = *f.observer;
	f.observer_tap.job_added = on_job_added;
	w->state->observer->ops = &f.observer_tap;
}

static void add_usage(struct do_usage *u, const struct dag_step *st, uint32_t n)
{
	u->cpu += (uint64_t)st->cpu_milli * n;
	u->mem += (uint64_t)st->mem_mb * n;
	u->gpus += (uint64_t)st->gpus * n;
	u->runs += n;
}

/* Whether a proposed start may still be recorded. */
static bool is_pending(const struct pending *p)
{
	const struct dag_job_rec *j = dag_state_find_job(f.w->state, p->task.job);
	const struct dag_task *t;

	if (!j || dag_job_ended(j))
		return false;
	t = dag_job_find_task(j, p->task.occurrence, p->task.step, p->task.index);
	return !t->done && t->last_run < p->run;
}

static void drop_recorded(void)
{
	size_t n = 0;

	for (size_t i = 0; i < f.n_pending; i++)
		if (is_pending(&f.pending[i]))
			f.pending[n++] = f.pending[i];
	f.n_pending = n;
}

struct do_usage do_recount(uint32_t org)
{
	struct do_usage u = {0};
	const struct dag_job_rec *j;

	for (j = f.w->state->jobs; j; j = j->hh.next) {
		if (owner_of(j->id) != org)
			continue;
		for (uint32_t i = 0; i < j->n_occ * j->n_tasks; i++) {
			uint32_t occurrence = i / j->n_tasks;
			struct dag_task_ref ref =
				dag_job_task_ref(j, occurrence, i % j->n_tasks);

			add_usage(&u, &j->spec.steps.steps_val[ref.step],
				  j->occ[occurrence].task[i % j->n_tasks].n_live);
		}
	}
	drop_recorded();
	for (size_t i = 0; i < f.n_pending; i++) {
		const struct dag_task_ref *t = &f.pending[i].task;

		j = dag_state_find_job(f.w->state, t->job);
		if (owner_of(t->job) == org)
			add_usage(&u, &j->spec.steps.steps_val[t->step], 1);
	}
	return u;
}

static void check_quota(const struct dag_start *st)
{
	const struct dag_job_rec *j = dag_state_find_job(f.w->state, st->task.job);
	uint32_t owner = owner_of(j->id);
	const struct dag_org_limits *l = &find_org(f.w->state, owner)->limits;
	struct do_usage u = do_recount(owner);

	if (!u.runs)
		return;
	add_usage(&u, &j->spec.steps.steps_val[st->task.step], 1);
	if ((l->cpu_milli && u.cpu > l->cpu_milli) || (l->mem_mb && u.mem > l->mem_mb) ||
	    (l->gpus && u.gpus > l->gpus))
		ck_abort_msg("job %llx starts above its quota: %llu, %llu MB, %llu GPUs",
			     (unsigned long long)j->id, (unsigned long long)u.cpu,
			     (unsigned long long)u.mem, (unsigned long long)u.gpus);
}

static int host_propose(struct dag_host *h, const struct dag_command *c)
{
	if (c->kind == DAG_CMD_START) {
		const struct dag_start *st = &c->dag_command_u.start;

		if (owner_of(st->task.job))
			check_quota(st);
		drop_recorded();
		ck_assert_uint_lt(f.n_pending, MAX_PENDING);
		f.pending[f.n_pending++] = (struct pending){st->task, st->run};
	}
	return f.host->propose(h, c);
}

static void host_log_event(struct dag_host *h, const char *event,
			   const struct dag_task_ref *t, uint32_t run, struct str worker,
			   const char *reason, int64_t value)
{
	if (strcmp(event, "task-obstacle") == 0)
		strncpy(f.obstacle, reason, sizeof(f.obstacle) - 1);
	f.host->log_event(h, event, t, run, worker, reason, value);
}

const char *do_obstacle(void)
{
	return f.obstacle;
}

void do_open(struct dag_world *w)
{
	memset(&f, 0, sizeof(f));
	f.w = w;
	f.host = w->host.ops;
	f.host_tap = *f.host;
	f.host_tap.propose = host_propose;
	f.host_tap.log_event = host_log_event;
	w->host.ops = &f.host_tap;
	w->before_lead = before_lead;
	w->after_lead = after_lead;
	after_lead(w);
}

void do_close(void)
{
	dag_sched_free(f.w->sched);
	f.w->sched = NULL;
	for (uint32_t i = 1; i <= f.n; i++)
		ck_assert(!do_is_known(i));
}

/* It counts as the owner of one job, as the world's configuration does not name it. */
static void put_org(struct dag_state *s, uint32_t org, uint32_t weight,
		    struct dag_org_limits limits)
{
	struct dag_org_spec spec = {.weight = weight};

	if (!s)
		return;
	XDR_SET(spec, name, str_from(f.names[org - 1]));
	ck_assert_int_eq(dag_state_add_org(s, &spec), 0);
	find_org(s, org)->weight = weight;
	find_org(s, org)->limits = limits;
	find_org(s, org)->n_jobs = 1;
}

uint32_t do_add(const char *name, uint32_t weight, struct dag_org_limits limits)
{
	uint32_t i = f.n++;

	ck_assert_uint_lt(i, DO_ORGS);
	strncpy(f.names[i], name, sizeof(f.names[i]) - 1);
	put_org(f.w->state, i + 1, weight, limits);
	put_org(f.w->follower, i + 1, weight, limits);
	return i + 1;
}

void do_own_all(uint32_t org)
{
	f.owner_of_all = org;
}

void do_set_limits(uint32_t org, struct dag_org_limits limits)
{
	find_org(f.w->state, org)->limits = limits;
	if (f.w->follower)
		find_org(f.w->follower, org)->limits = limits;
}

struct collect {
	uint32_t org;
	struct do_stats stats;
};

static void collect(void *arg, const struct dag_org_stats *st)
{
	struct collect *c = arg;
	uint32_t i = 0;

	while (i + 1 < f.n && strcmp(f.names[i], st->org->name) != 0)
		i++;
	f.quota_wait_us[i] += st->quota_wait_us;
	if (i + 1 != c->org)
		return;
	c->stats.used =
		(struct do_usage){st->cpu_milli, st->mem_mb, st->gpus, st->n_runs};
	c->stats.n_waiting = st->n_waiting;
	c->stats.quota_wait_us = f.quota_wait_us[i];
}

struct do_stats do_stats(uint32_t org)
{
	struct collect c = {.org = org};

	dag_sched_each_org(f.w->sched, collect, &c);
	return c.stats;
}

void do_assert_counted(void)
{
	for (uint32_t i = 1; i <= f.n; i++) {
		struct do_usage naive = do_recount(i);
		struct do_usage counted = do_stats(i).used;

		/* Each assertion of the check library costs a write to a pipe. */
		if (counted.cpu != naive.cpu || counted.mem != naive.mem ||
		    counted.gpus != naive.gpus || counted.runs != naive.runs)
			ck_abort_msg("organisation %u: counted %llu in %u runs, not %llu "
				     "in %u",
				     i, (unsigned long long)counted.cpu, counted.runs,
				     (unsigned long long)naive.cpu, naive.runs);
	}
}

double do_dominant_share(uint32_t org)
{
	struct do_usage u = do_recount(org);
	struct do_usage all = {0};
	double share;

	for (size_t i = 0; i < f.w->n_workers; i++) {
		all.cpu += f.w->workers[i].room.cpu;
		all.mem += f.w->workers[i].room.mem;
		all.gpus += f.w->workers[i].room.gpus;
	}
	share = (double)u.cpu / (double)all.cpu;
	if ((double)u.mem / (double)all.mem > share)
		share = (double)u.mem / (double)all.mem;
	if (all.gpus && (double)u.gpus / (double)all.gpus > share)
		share = (double)u.gpus / (double)all.gpus;
	return share;
}

void do_remove(uint32_t org)
{
	ck_assert_uint_eq(find_org(f.w->state, org)->n_jobs, 1);
	find_org(f.w->state, org)->n_jobs = 0;
	ck_assert_int_eq(dag_state_set_orgs(f.w->state, NULL), 0);
	ck_assert_ptr_null(find_org(f.w->state, org));
}

bool do_is_known(uint32_t org)
{
	const struct dag_org *o = find_org(f.w->state, org);

	return o && o->sched;
}
