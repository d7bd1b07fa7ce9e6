#include "core/dag_state.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/dag_counted.h"
#include "proto/codec.h"

/* Zones of which the newest order is remembered; more only if they are closed. */
#define ZONES_MAX 1024U

/* Deep-copies an XDR object by encoding and decoding it; zeroes the target first. */
static int copy_xdr(xdrproc_t proc, const void *from, void *to, size_t size)
{
	struct buf bytes = {0};
	int err = codec_encode(proc, from, &bytes);

	memset(to, 0, size);
	if (!err)
		err = codec_decode(proc, to, buf_str(&bytes));
	buf_free(&bytes);
	return err;
}

int dag_state_new(struct dag_state **out)
{
	struct dag_state *s = calloc(1, sizeof(*s));

	if (!s)
		return CF_ENOMEM;
	s->next_worker_number = 1;
	*out = s;
	return 0;
}

static void free_job(struct dag_job_rec *j)
{
	for (uint32_t k = 0; j->occ && k < j->n_occ; k++) {
		for (uint32_t i = 0; j->occ[k].task && i < j->n_tasks; i++) {
			buf_free(&j->occ[k].task[i].checkpoint);
			dag_counted_free(&j->occ[k].task[i].counted);
		}
		free(j->occ[k].task);
		free(j->occ[k].left);
	}
	free(j->occ);
	free(j->first_task);
	codec_free((xdrproc_t)xdr_dag_job, &j->spec);
	free(j);
}

static void free_worker(struct dag_worker_rec *w)
{
	codec_free((xdrproc_t)xdr_dag_worker, &w->w);
	free(w);
}

static void remove_worker(struct dag_state *s, struct dag_worker_rec *w)
{
	dag_state_resolve_suspicions(s, w, DAG_END_LAPSED);
	HASH_DELETE(hh, s->workers, w);
	HASH_DELETE(hh_id, s->workers_by_id, w);
	if (s->observer)
		s->observer->ops->worker_removed(s->observer, w);
	free_worker(w);
}

static void remove_job(struct dag_state *s, struct dag_job_rec *j)
{
	dag_state_forget_job_suspicions(s, j->id);
	HASH_DEL(s->jobs, j);
	s->n_tasks -= (uint64_t)j->n_occ * j->n_tasks;
	dag_state_clear_owner(s, j);
	free_job(j);
}

/* Removes everything without notifying the observer. */
void dag_state_clear(struct dag_state *s)
{
	struct dag_worker_rec *w = s->workers;
	struct dag_zone_rec *z = s->zones;
	struct dag_job_rec *j = s->jobs;
	void *next;

	s->n_tasks = 0;
	HASH_CLEAR(hh, s->jobs);
	HASH_CLEAR(hh_id, s->workers_by_id);
	HASH_CLEAR(hh, s->workers);
	HASH_CLEAR(hh, s->zones);
	dag_state_clear_withdrawn(s);
	dag_suspicions_clear(s);
	for (; j; j = next) {
		next = j->hh.next;
		free_job(j);
	}
	for (; w; w = next) {
		next = w->hh.next;
		free_worker(w);
	}
	for (; z; z = next) {
		next = z->hh.next;
		free(z);
	}
	dag_state_clear_orgs(s);
	codec_free((xdrproc_t)xdr_dag_conf, &s->conf);
	memset(&s->conf, 0, sizeof(s->conf));
	free(s->queue_keys);
	s->queue_keys = NULL;
	codec_free((xdrproc_t)xdr_dag_model, &s->model);
	memset(&s->model, 0, sizeof(s->model));
}

void dag_state_free(struct dag_state *s)
{
	if (!s)
		return;
	dag_state_clear(s);
	free(s);
}

/* Returns the number of jobs of a queue of which no worker has begun a task. */
uint32_t dag_state_count_waiting(const struct dag_state *s,
				 const struct dag_queue_key *queue)
{
	const struct dag_job_rec *j;
	uint32_t n = 0;

	for (j = s->jobs; j; j = j->hh.next)
		n += j->state == DAG_JOB_QUEUED && !j->started &&
		     dag_queue_key_equal(&j->queue, queue);
	return n;
}

struct dag_task *dag_job_find_task(const struct dag_job_rec *j, uint32_t occurrence,
				   uint32_t step, uint32_t index)
{
	if (occurrence >= j->n_occ || step >= j->spec.steps.steps_len ||
	    index >= j->spec.steps.steps_val[step].count)
		return NULL;
	return &j->occ[occurrence].task[j->first_task[step] + index];
}

/* Names a task by its index among all tasks of an occurrence. */
struct dag_task_ref dag_job_task_ref(const struct dag_job_rec *j, uint32_t occurrence,
				     uint32_t task)
{
	struct dag_task_ref ref = {.job = j->id, .occurrence = occurrence};

	while (ref.step + 1 < j->spec.steps.steps_len &&
	       j->first_task[ref.step + 1] <= task)
		ref.step++;
	ref.index = task - j->first_task[ref.step];
	return ref;
}

bool dag_job_ended(const struct dag_job_rec *j)
{
	return j->state >= DAG_JOB_COMPLETED;
}

/* Whether all dependencies of a step are done. */
bool dag_job_step_ready(const struct dag_job_rec *j, uint32_t occurrence, uint32_t step)
{
	const struct dag_step *st = &j->spec.steps.steps_val[step];

	for (u_int i = 0; i < st->depends_on.depends_on_len; i++)
		if (j->occ[occurrence].left[st->depends_on.depends_on_val[i]])
			return false;
	return true;
}

/* Number of tasks of a job with all its occurrences. */
uint64_t dag_job_count_tasks(const struct dag_job *j)
{
	uint64_t tasks = 0;

	for (u_int i = 0; i < j->steps.steps_len; i++)
		tasks += j->steps.steps_val[i].count;
	return tasks * (j->occurrences ? j->occurrences : 1);
}

bool dag_time_valid(int64_t ms)
{
	return ms >= 0 && ms <= DAG_MAX_TIME_MS;
}

static int64_t limit_time(int64_t ms)
{
	return ms < 0 ? 0 : ms > DAG_MAX_TIME_MS ? DAG_MAX_TIME_MS : ms;
}

/* A time before 1970 or in thousands of years means at once or never. */
static void limit_times(struct dag_job *j)
{
	j->start_ms = limit_time(j->start_ms);
	j->accepted_ms = limit_time(j->accepted_ms);
	if (j->interval_ms > DAG_MAX_INTERVAL_MS)
		j->interval_ms = DAG_MAX_INTERVAL_MS;
}

/* Whether a job is within the limits and its steps depend on earlier steps only. */
bool dag_job_valid(const struct dag_job *j)
{
	uint64_t tasks = 0;

	if (j->steps.steps_len == 0 || j->occurrences > DAG_MAX_OCCURRENCES)
		return false;
	for (u_int i = 0; i < j->steps.steps_len; i++) {
		const struct dag_step *st = &j->steps.steps_val[i];

		tasks += st->count;
		if (st->count == 0 || tasks > DAG_MAX_TASKS)
			return false;
		for (u_int d = 0; d < st->depends_on.depends_on_len; d++)
			if (st->depends_on.depends_on_val[d] >= i)
				return false;
	}
	return dag_job_count_tasks(j) <= DAG_MAX_JOB_TASKS;
}

/* Allocates the tasks of a job and sets its counters. */
static int alloc_tasks(struct dag_job_rec *j)
{
	u_int n_steps = j->spec.steps.steps_len;

	j->first_task = calloc(n_steps, sizeof(*j->first_task));
	if (!j->first_task)
		return CF_ENOMEM;
	for (u_int i = 0; i < n_steps; i++) {
		j->first_task[i] = j->n_tasks;
		j->n_tasks += j->spec.steps.steps_val[i].count;
		j->has_long_running =
			j->has_long_running || j->spec.steps.steps_val[i].long_running;
	}
	j->n_occ = j->spec.occurrences ? j->spec.occurrences : 1;
	j->occ_left = j->n_occ;
	j->occ = calloc(j->n_occ, sizeof(*j->occ));
	if (!j->occ)
		return CF_ENOMEM;
	for (uint32_t k = 0; k < j->n_occ; k++) {
		struct dag_occurrence *o = &j->occ[k];

		o->task = calloc(j->n_tasks, sizeof(*o->task));
		o->left = calloc(n_steps, sizeof(*o->left));
		if (!o->task || !o->left)
			return CF_ENOMEM;
		o->tasks_left = j->n_tasks;
		for (u_int i = 0; i < n_steps; i++)
			o->left[i] = j->spec.steps.steps_val[i].count;
	}
	return 0;
}

/*
 * Adds a job whose id is not in use. The job fails when a task (of a gang step: all of
 * its tasks together) has had "attempts" failed runs. Returns 0, CF_EINVAL if
 * dag_job_valid() rejects the job, or CF_ENOMEM.
 */
int dag_state_add_job(struct dag_state *s, const struct dag_job *spec, uint32_t attempts,
		      struct dag_job_rec **out)
{
	struct dag_job_rec *j;
	int err;

	if (!dag_job_valid(spec))
		return CF_EINVAL;
	j = calloc(1, sizeof(*j));
	if (!j)
		return CF_ENOMEM;
	j->id = spec->id;
	j->attempts = attempts;
	err = copy_xdr((xdrproc_t)xdr_dag_job, spec, &j->spec, sizeof(j->spec));
	limit_times(&j->spec);
	j->queue_known = dag_state_resolve_queue(s, XDR_STR(*spec, queue), &j->queue);
	if (!err)
		err = alloc_tasks(j);
	if (err) {
		free_job(j);
		return err;
	}
	HASH_ADD(hh, s->jobs, id, sizeof(j->id), j);
	s->n_tasks += (uint64_t)j->n_occ * j->n_tasks;
	*out = j;
	return 0;
}

/*
 * Adds a worker, or replaces the one with the same id, which keeps its number. A new
 * worker gets the given number or, if that is 0, the next free one.
 */
int dag_state_put_worker(struct dag_state *s, uint32_t number, const struct dag_worker *w,
			 struct dag_worker_rec **out)
{
	struct str id = XDR_STR(*w, id);
	struct dag_worker_rec *rec = dag_state_find_worker_by_id(s, id);
	struct dag_worker copy;
	int err = copy_xdr((xdrproc_t)xdr_dag_worker, w, &copy, sizeof(copy));

	if (err)
		goto fail;
	if (rec) {
		HASH_DELETE(hh_id, s->workers_by_id, rec);
		codec_free((xdrproc_t)xdr_dag_worker, &rec->w);
	} else {
		rec = calloc(1, sizeof(*rec));
		if (!rec) {
			err = CF_ENOMEM;
			goto fail;
		}
		rec->number = number ? number : s->next_worker_number++;
		HASH_ADD(hh, s->workers, number, sizeof(rec->number), rec);
	}
	rec->w = copy;
	HASH_ADD_KEYPTR(hh_id, s->workers_by_id, rec->w.id.id_val, rec->w.id.id_len, rec);
	*out = rec;
	return 0;
fail:
	codec_free((xdrproc_t)xdr_dag_worker, &copy);
	return err;
}

/* Adds an open zone unless it is there. NULL: no memory. */
static struct dag_zone_rec *get_zone(struct dag_state *s, struct str zone)
{
	struct dag_zone_rec *z = dag_state_find_zone(s, zone);

	if (z)
		return z;
	z = calloc(1, sizeof(*z) + zone.n + 1);
	if (!z)
		return NULL;
	memcpy(z->name, zone.p, zone.n);
	z->order = s->zone_orders_floor;
	HASH_ADD_KEYPTR(hh, s->zones, z->name, zone.n, z);
	return z;
}

int dag_state_close_zone(struct dag_state *s, struct str zone)
{
	struct dag_zone_rec *z;

	if (!zone.n)
		return 0;
	z = get_zone(s, zone);
	if (!z)
		return CF_ENOMEM;
	z->closed = true;
	return 0;
}

int dag_state_set_conf(struct dag_state *s, const struct dag_conf *conf)
{
	struct dag_conf copy;
	int err = copy_xdr((xdrproc_t)xdr_dag_conf, conf, &copy, sizeof(copy));

	if (err) {
		codec_free((xdrproc_t)xdr_dag_conf, &copy);
		return err;
	}
	codec_free((xdrproc_t)xdr_dag_conf, &s->conf);
	s->conf = copy;
	return dag_state_index_queues(s);
}

int dag_state_set_model(struct dag_state *s, const struct dag_model *model)
{
	struct dag_model copy;
	int err = copy_xdr((xdrproc_t)xdr_dag_model, model, &copy, sizeof(copy));

	if (err) {
		codec_free((xdrproc_t)xdr_dag_model, &copy);
		return err;
	}
	codec_free((xdrproc_t)xdr_dag_model, &s->model);
	s->model = copy;
	return 0;
}

/* Finds the queues of jobs whose names were in no configuration before. */
static void name_queues(struct dag_state *s)
{
	struct dag_job_rec *j;

	for (j = s->jobs; j; j = j->hh.next)
		if (!j->queue_known)
			j->queue_known = dag_state_resolve_queue(
				s, XDR_STR(j->spec, queue), &j->queue);
	dag_state_name_withdrawn(s);
}

/*
 * Ignores a configuration unless its revision is higher than the current one. orgs: the
 * same configuration with its organisations, NULL: it has none.
 */
static int apply_conf(struct dag_state *s, const struct dag_conf *conf,
		      const struct dag_org_conf *orgs)
{
	int err;

	if (conf->revision <= s->conf.revision)
		return 0;
	err = orgs ? dag_state_check_orgs(orgs) : 0;
	if (err) /* every replica ignores an invalid one */
		return err == CF_EINVAL ? 0 : err;
	err = dag_state_set_conf(s, conf);
	if (!err)
		err = dag_state_set_orgs(s, orgs);
	if (!err)
		name_queues(s);
	if (!err && s->observer)
		s->observer->ops->conf_changed(s->observer);
	return err;
}

/* Opens a zone. One too many is forgotten: all others then count as ordered now. */
static int open_zone(struct dag_state *s, struct str zone)
{
	struct dag_zone_rec *z = get_zone(s, zone);

	if (!z)
		return CF_ENOMEM;
	z->closed = false;
	if (HASH_COUNT(s->zones) > ZONES_MAX) {
		HASH_DEL(s->zones, z);
		free(z);
		s->zone_orders_floor = s->index;
	}
	return 0;
}

/* An order for a zone without a name changes nothing. */
static int apply_zone(struct dag_state *s, const struct dag_zone *zone)
{
	struct str name = XDR_STR(*zone, name);
	struct dag_zone_rec *z;
	int err;

	if (!name.n)
		return 0;
	err = zone->closed ? dag_state_close_zone(s, name) : open_zone(s, name);
	z = err ? NULL : dag_state_find_zone(s, name);
	if (z)
		z->order = s->index;
	if (!err && s->observer)
		s->observer->ops->zones_changed(s->observer);
	return err;
}

/*
 * Adds or updates a worker. One that is gone is kept, so that a late report of it is
 * known as such; it is removed when it is reported gone once more, or by a new life. A
 * new one is ignored when no number is left.
 */
static int apply_worker(struct dag_state *s, const struct dag_worker *w)
{
	struct dag_worker_rec *rec = dag_state_find_worker_by_id(s, XDR_STR(*w, id));
	bool was_ready = rec && rec->w.state == DAG_WORKER_READY;
	bool restarted;
	int err = 0;

	if (!w->id.id_len)
		return 0;
	if (rec && rec->w.state == DAG_WORKER_GONE && rec->n_runs == 0) {
		remove_worker(s, rec);
		rec = NULL;
	}
	if (!rec &&
	    (w->state == DAG_WORKER_GONE || s->next_worker_number == DAG_WORKER_NUMBERS))
		return 0;
	restarted = rec && w->born_ms != rec->w.born_ms;
	/* A worker that gave no start before has one life, of which more is known now. */
	if (restarted && rec->w.born_ms)
		dag_state_resolve_suspicions(
			s, rec, was_ready ? DAG_END_CRASHED : DAG_END_LAPSED);
	err = dag_state_put_worker(s, 0, w, &rec);
	if (err)
		return err;
	rec->lives += restarted;
	if (restarted || w->state == DAG_WORKER_READY)
		rec->short_leases = 0;
	if (restarted) {
		rec->restarted_us = s->clock_us;
		rec->life_lost_us = rec->lost ? rec->lost_us : 0;
	}
	if (s->observer)
		s->observer->ops->worker_changed(s->observer, rec);
	return 0;
}

/*
 * The next entry is of this epoch. Called for each entry, also one without commands, so
 * that each leader that has led is known by the time that the next one leads.
 */
void dag_state_enter_epoch(struct dag_state *s, uint64_t epoch)
{
	if (epoch == s->epoch)
		return;
	s->earlier_epoch = s->epoch;
	s->epoch = epoch;
}

/*
 * Contact with a worker is lost or regained. That it is there is recorded of a worker
 * that leaves once all of its leases are short; earlier versions do not record it.
 */
static void apply_contact(struct dag_state *s, const struct dag_contact *c)
{
	struct dag_worker_rec *w = dag_state_find_worker(s, c->worker);

	if (!w)
		return;
	if (c->lost && !w->lost)
		w->lost_us = s->clock_us;
	if (!c->lost && !w->lost && w->w.state != DAG_WORKER_READY)
		w->short_leases = s->epoch;
	w->lost = c->lost;
	if (s->observer)
		s->observer->ops->contact_changed(s->observer, w);
}

void dag_state_end_job(struct dag_state *s, struct dag_job_rec *j,
		       enum dag_job_state state)
{
	j->state = state;
	j->ended_ms = s->time_ms;
	if (s->observer)
		s->observer->ops->job_ended(s->observer, j);
}

/*
 * Adds a job. Ignores one with a known id, so that submissions can be retried. One that
 * was withdrawn before is cancelled from the start. org: its owner, empty: none.
 */
static int apply_submit(struct dag_state *s, const struct dag_job *spec, struct str org)
{
	const struct dag_queue *q;
	struct dag_queue_key key;
	struct dag_job_rec *j;
	int err;

	if (dag_state_find_job(s, spec->id))
		return 0;
	dag_state_resolve_queue(s, XDR_STR(*spec, queue), &key);
	q = dag_state_find_queue(s, &key);
	err = dag_state_add_job(s, spec, q ? q->attempts : 1, &j);
	if (!err && org.n)
		err = dag_state_set_owner(s, j, org);
	if (!err && s->observer)
		s->observer->ops->job_added(s->observer, j);
	if (!err && dag_state_take_withdrawn(s, j))
		dag_state_end_job(s, j, DAG_JOB_CANCELLED);
	/* Every replica ignores an invalid job, so that is no error. */
	return err == CF_EINVAL ? 0 : err;
}

static void apply_cancel(struct dag_state *s, uint64_t id)
{
	struct dag_job_rec *j = dag_state_find_job(s, id);

	if (j && !dag_job_ended(j))
		dag_state_end_job(s, j, DAG_JOB_CANCELLED);
}

/*
 * The submission may have been recorded since the leader looked for the job. org: of the
 * sender, empty: none; NULL: recorded without organisations in the configuration.
 */
static int apply_withdraw(struct dag_state *s, const struct dag_withdrawal *w,
			  const struct str *org)
{
	struct dag_job_rec *j = dag_state_find_job(s, w->job);
	struct dag_queue_key key;

	if (!j)
		return dag_state_withdraw(s, w->job, XDR_STR(*w, queue), s->time_ms, org);
	dag_state_resolve_queue(s, XDR_STR(*w, queue), &key);
	if (org && j->org && !str_eq(dag_org_name(j->org), *org))
		return 0;
	if (dag_queue_key_equal(&j->queue, &key))
		apply_cancel(s, w->job);
	return 0;
}

static struct dag_task *find_task(struct dag_state *s, const struct dag_task_ref *ref,
				  struct dag_job_rec **job)
{
	*job = dag_state_find_job(s, ref->job);
	return *job ? dag_job_find_task(*job, ref->occurrence, ref->step, ref->index)
		    : NULL;
}

/*
 * A worker has begun a task of the job. The record of a start does not show that: the
 * worker may refuse the request, or it may be lost.
 */
static void begin_job(struct dag_job_rec *j)
{
	j->started = true;
	if (j->state == DAG_JOB_QUEUED)
		j->state = DAG_JOB_RUNNING;
}

static void apply_begun(struct dag_state *s, uint64_t id)
{
	struct dag_job_rec *j = dag_state_find_job(s, id);

	if (j)
		begin_job(j);
}

/*
 * Records the start of a run. A start is ignored if it is no longer valid at its place in
 * the log, for example because an earlier entry ended the job or completed the task. The
 * leader sends the start request to the worker only when the observer is notified below,
 * so an ignored start is never sent.
 */
static void apply_start(struct dag_state *s, const struct dag_start *st)
{
	struct dag_worker_rec *w = dag_state_find_worker(s, st->worker);
	struct dag_job_rec *j;
	struct dag_task *t = find_task(s, &st->task, &j);

	if (!t || !w || dag_job_ended(j) || t->done || st->run <= t->last_run ||
	    t->n_live == DAG_MAX_COPIES)
		return;
	t->life[t->n_live] = w->lives;
	t->started_ms[t->n_live] = (uint32_t)(s->clock_us / 1000);
	t->begun_ms[t->n_live] = (uint32_t)s->time_ms;
	t->live[t->n_live++] = (struct dag_run){st->run, st->worker};
	t->last_run = st->run;
	t->unlisted = false;
	t->newest_failed = false;
	w->n_runs++;
	if (s->observer)
		s->observer->ops->run_started(s->observer, j, st);
}

static void complete_task(struct dag_job_rec *j, const struct dag_task_ref *ref,
			  struct dag_task *t)
{
	struct dag_occurrence *o = &j->occ[ref->occurrence];

	if (t->done)
		return;
	t->done = true;
	dag_counted_free(&t->counted);
	o->left[ref->step]--;
	if (--o->tasks_left == 0)
		j->occ_left--;
}

/* Completes all tasks of a gang step. Called when the first of them is done. */
static void complete_gang(struct dag_job_rec *j, const struct dag_task_ref *ref)
{
	const struct dag_step *st = &j->spec.steps.steps_val[ref->step];

	for (uint32_t i = 0; i < st->count; i++)
		complete_task(j, ref,
			      dag_job_find_task(j, ref->occurrence, ref->step, i));
}

/* Whether a member of a gang has failed in a run. */
static bool gang_has_failed(const struct dag_job_rec *j, const struct dag_task_ref *ref,
			    uint32_t run)
{
	const struct dag_step *st = &j->spec.steps.steps_val[ref->step];

	for (uint32_t i = 0; i < st->count; i++) {
		const struct dag_task *t =
			dag_job_find_task(j, ref->occurrence, ref->step, i);

		if (t->newest_failed && t->last_run == run)
			return true;
	}
	return false;
}

/* Failed runs of a gang: one counts once, however many of its members have failed. */
static uint32_t gang_failures(const struct dag_job_rec *j, const struct dag_task_ref *ref)
{
	const struct dag_step *st = &j->spec.steps.steps_val[ref->step];
	uint32_t n = 0;

	for (uint32_t i = 0; i < st->count; i++)
		n += dag_job_find_task(j, ref->occurrence, ref->step, i)->failures;
	return n;
}

/* Whether an end is the leader's conclusion, without a list of the worker that has it. */
static bool is_unlisted(enum dag_end_how how)
{
	return how == DAG_END_LAPSED || how == DAG_END_SURVIVED ||
	       dag_end_is_crash(how) || dag_end_is_suspicion(how);
}

/*
 * Stores the checkpoint of an end. That of any member of a gang is valid for all, and
 * they must start with the same; what a leader knew of a member that was lost may be
 * older than what another member said as it ended.
 */
static void store_checkpoint(struct dag_job_rec *j, const struct dag_end *e,
			     struct dag_task *t)
{
	const struct dag_step *st = &j->spec.steps.steps_val[e->task.step];
	uint32_t first = st->gang ? 0 : e->task.index;
	uint32_t n = st->gang ? st->count : 1;

	if (!e->checkpoint.checkpoint_len ||
	    (is_unlisted(e->how) && t->checkpoint_run == e->run))
		return;
	for (uint32_t i = first; i < first + n; i++) {
		t = dag_job_find_task(j, e->task.occurrence, e->task.step, i);
		buf_set(&t->checkpoint, XDR_STR(*e, checkpoint));
		if (!is_unlisted(e->how))
			t->checkpoint_run = e->run;
	}
}

/* The checkpoint with which a task starts; empty: none. */
struct str dag_job_checkpoint(const struct dag_job_rec *j, const struct dag_task_ref *ref)
{
	const struct dag_step *st = &j->spec.steps.steps_val[ref->step];
	const struct dag_task *t =
		dag_job_find_task(j, ref->occurrence, ref->step, ref->index);

	/* Earlier versions stored one for each member. */
	for (uint32_t i = 0; st->gang && i < st->count; i++) {
		t = dag_job_find_task(j, ref->occurrence, ref->step, i);
		if (t->checkpoint.n)
			break;
	}
	return buf_str(&t->checkpoint);
}

/*
 * Records the outcome of a run that has ended: stores its checkpoint, then marks the task
 * as done or counts a failure or a crash. Completes the job when its last task is done;
 * fails the job when the number of failures reaches j->attempts or a task is deadly. The
 * tasks of a long-running step have no limit of failures. For a done task or an ended
 * job, only the checkpoint is stored. w: the worker of the run, NULL if it is not known;
 * later_life: it has started again since it had the run.
 */
static void record_end(struct dag_state *s, struct dag_job_rec *j,
		       const struct dag_end *e, struct dag_task *t,
		       const struct dag_worker_rec *w, bool later_life)
{
	const struct dag_step *st = &j->spec.steps.steps_val[e->task.step];
	uint32_t failures;

	store_checkpoint(j, e, t);
	if (dag_job_ended(j) || t->done)
		return;
	if (dag_end_is_crash(e->how)) {
		dag_state_count_crash(
			s, j, t, e, w,
			later_life ? "its worker came back in another life"
				   : "another life or process is in its worker's place");
		return;
	}
	/* A worker that lists the run as failed has survived it as well. */
	if (e->how == DAG_END_SURVIVED ||
	    (st->long_running && e->how == DAG_END_FAILED)) {
		t->crashes = 0;
		t->crashes_alone = 0;
		t->unanswered = 0;
		dag_counted_forget_crashes(&t->counted);
		if (t->n_suspected)
			dag_state_forget_suspicions(s, &e->task);
	}
	if (st->long_running)
		return;
	if (e->how == DAG_END_DONE) {
		if (st->gang)
			complete_gang(j, &e->task);
		else
			complete_task(j, &e->task, t);
		if (j->occ_left == 0)
			dag_state_end_job(s, j, DAG_JOB_COMPLETED);
		return;
	}
	if (e->how != DAG_END_FAILED)
		return;
	if (st->gang && gang_has_failed(j, &e->task, e->run))
		return;
	t->newest_failed = e->run == t->last_run;
	t->failures++;
	dag_state_note_counted(t, e, w, "listed as failed");
	failures = st->gang ? gang_failures(j, &e->task) : t->failures;
	if (failures >= j->attempts)
		dag_state_end_job(s, j, DAG_JOB_FAILED);
}

/*
 * Whether the end that a worker lists of a run counts although the run was recorded as
 * lost: no other run of the task has begun since.
 */
bool dag_task_takes_late_end(const struct dag_task *t, uint32_t run, enum dag_end_how how)
{
	return t->unlisted && t->last_run == run && !t->n_live && !t->done &&
	       (how == DAG_END_DONE || how == DAG_END_FAILED);
}

static void apply_late_end(struct dag_state *s, struct dag_job_rec *j, struct dag_task *t,
			   const struct dag_end *e)
{
	if (!dag_task_takes_late_end(t, e->run, e->how))
		return;
	t->unlisted = false;
	record_end(s, j, e, t, dag_state_find_worker(s, t->unlisted_worker), false);
	if (s->observer)
		s->observer->ops->run_ended(s->observer, j, e, 0);
}

/* The end of a run that is live no more. One that changes nothing is ignored. */
static void apply_second_end(struct dag_state *s, struct dag_job_rec *j,
			     struct dag_task *t, const struct dag_end *e)
{
	struct dag_suspicion *u = dag_suspicion_find(s, &e->task, e->run);

	if (u && (e->how == DAG_END_LAPSED || dag_end_is_crash(e->how)))
		dag_state_resolve_suspicion(s, u, e->how,
					    "another process answers at its address");
	else
		apply_late_end(s, j, t, e);
}

/*
 * Counts the run time of a run that is done. Not counted: fillers, which are throttled,
 * runs that began with a checkpoint, and runs outside the rack of their data. Gangs count
 * wherever they ran.
 */
static void learn_runtime(struct dag_state *s, const struct dag_job_rec *j,
			  const struct dag_task *t, const struct dag_end *e, uint8_t i,
			  const struct dag_worker_rec *w)
{
	const struct dag_step *st = &j->spec.steps.steps_val[e->task.step];
	bool in_rack = !st->data_rack.data_rack_len;

	for (u_int k = 0; w && k < w->w.labels.labels_len; k++)
		in_rack = in_rack || str_eq(XDR_STR(w->w.labels.labels_val[k], text),
					    XDR_STR(*st, data_rack));
	if (e->how != DAG_END_DONE || st->long_running || st->filler || !in_rack ||
	    t->checkpoint.n || !t->begun_ms[i])
		return;
	dag_runtime_learn(&s->runtime, j->queue.high, j->queue.low, st->estimate_ms,
			  (int32_t)((uint32_t)s->time_ms - t->begun_ms[i]));
}

/* Ends a live run. Repeating an end has no effect. CF_ENOMEM. */
static int apply_end(struct dag_state *s, const struct dag_end *e)
{
	struct dag_worker_rec *w;
	struct dag_job_rec *j;
	struct dag_task *t = find_task(s, &e->task, &j);
	uint32_t worker;
	bool later_life;
	uint8_t i = 0;
	int err = 0;

	if (!t)
		return 0;
	while (i < t->n_live && t->live[i].run != e->run)
		i++;
	if (i == t->n_live) {
		apply_second_end(s, j, t, e);
		return 0;
	}
	if (dag_end_is_suspicion(e->how) && !dag_job_ended(j) && !t->done)
		err = dag_suspicion_add(s, &e->task, e->run, t->live[i].worker,
					e->how == DAG_END_UNANSWERED_SUSPECTED);
	if (err)
		return err;
	worker = t->live[i].worker;
	w = dag_state_find_worker(s, worker);
	later_life = w && w->lives != t->life[i];
	learn_runtime(s, j, t, e, i, w);
	t->live[i] = t->live[--t->n_live];
	t->life[i] = t->life[t->n_live];
	t->begun_ms[i] = t->begun_ms[t->n_live];
	t->started_ms[i] = t->started_ms[t->n_live];
	t->unlisted = e->run == t->last_run && is_unlisted(e->how);
	t->unlisted_worker = worker;
	record_end(s, j, e, t, w, later_life);
	if (w)
		w->n_runs--;
	if (s->observer)
		s->observer->ops->run_ended(s->observer, j, e, worker);
	return 0;
}

static bool has_live_runs(const struct dag_job_rec *j)
{
	for (uint32_t k = 0; k < j->n_occ; k++)
		for (uint32_t i = 0; i < j->n_tasks; i++)
			if (j->occ[k].task[i].n_live)
				return true;
	return false;
}

/* Workers count the runs of a job, so it stays until these have ended. */
static void apply_forget(struct dag_state *s, uint64_t id)
{
	struct dag_job_rec *j = dag_state_find_job(s, id);

	if (!j || !dag_job_ended(j) || has_live_runs(j))
		return;
	if (s->observer)
		s->observer->ops->job_forgotten(s->observer, j);
	remove_job(s, j);
}

static int apply_command(struct dag_state *s, const struct dag_command *c)
{
	struct str org;

	switch (c->kind) {
	case DAG_CMD_CONF:
		return apply_conf(s, &c->dag_command_u.conf, NULL);
	case DAG_CMD_ZONE:
		return apply_zone(s, &c->dag_command_u.zone);
	case DAG_CMD_WORKER:
		return apply_worker(s, &c->dag_command_u.worker);
	case DAG_CMD_SUBMIT:
		return apply_submit(s, &c->dag_command_u.job, STR(""));
	case DAG_CMD_CANCEL:
		apply_cancel(s, c->dag_command_u.cancel);
		return 0;
	case DAG_CMD_START:
		apply_start(s, &c->dag_command_u.start);
		return 0;
	case DAG_CMD_END:
		return apply_end(s, &c->dag_command_u.end);
	case DAG_CMD_FORGET:
		apply_forget(s, c->dag_command_u.forget);
		return 0;
	case DAG_CMD_MODEL:
		return dag_state_set_model(s, &c->dag_command_u.model);
	case DAG_CMD_CONTACT:
		apply_contact(s, &c->dag_command_u.contact);
		return 0;
	case DAG_CMD_BEGUN:
		apply_begun(s, c->dag_command_u.begun);
		return 0;
	case DAG_CMD_WITHDRAW:
		return apply_withdraw(s, &c->dag_command_u.withdrawal, NULL);
	case DAG_CMD_ORG_CONF:
		return apply_conf(s, &c->dag_command_u.org_conf.conf,
				  &c->dag_command_u.org_conf);
	case DAG_CMD_ORG_SUBMIT:
		org = XDR_STR(c->dag_command_u.org_job.org, text);
		return apply_submit(s, &c->dag_command_u.org_job.job, org);
	case DAG_CMD_ORG_WITHDRAW:
		org = XDR_STR(c->dag_command_u.org_withdrawal.org, text);
		return apply_withdraw(s, &c->dag_command_u.org_withdrawal.withdrawal,
				      &org);
	}
	return CF_EINVAL;
}

/*
 * Applies one log entry, an encoded batch. An entry that does not decode, or a command
 * that is not valid in the current state, is ignored by every replica and is no error. An
 * error, such as CF_ENOMEM, may occur on this replica only and leaves the rest of the
 * batch unapplied. The state may then differ from that of the other replicas, so the
 * caller must not go on with it.
 */
int dag_state_apply(struct dag_state *s, struct str bytes)
{
	struct dag_batch b = {0};
	int err = codec_decode((xdrproc_t)xdr_dag_batch, &b, bytes);

	if (err == CF_EMALFORMED) {
		err = 0;
		goto out;
	}
	if (!err && b.time_ms > s->time_ms && dag_time_valid(b.time_ms))
		s->time_ms = b.time_ms;
	for (u_int i = 0; !err && i < b.commands.commands_len; i++)
		err = apply_command(s, &b.commands.commands_val[i]);
out:
	codec_free((xdrproc_t)xdr_dag_batch, &b);
	return err;
}
