/* Encodes and decodes snapshots of the replicated state. */
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/dag_state.h"
#include "proto/codec.h"

/* Flag in dag_image_worker.number. */
#define WORKER_LOST DAG_WORKER_NUMBERS
/*
 * Flag in dag_image_run.worker. A suspected run whose start had no answer stands there
 * twice, which programs of before 2026-12-07 read as once.
 */
#define RUN_SUSPECTED DAG_WORKER_NUMBERS
#define IMAGE_RUNS_MAX 16U
/*
 * Fields of dag_image_task.failures. Those programs read starts without an answer as
 * crashes under the task alone, which count for nothing until there are three crashes.
 */
#define FAILURES_MASK 0xffffU
#define CRASHES_SHIFT 16
#define CRASHES_MASK 0x7fU
#define CRASHES_ALONE_SHIFT 24
#define CRASHES_ALONE_MASK 0xfU
#define UNANSWERED_SHIFT 28
#define UNANSWERED_MASK 0x7U
#define NEWEST_FAILED (1U << 23)
#define UNLISTED (1U << 31)

/* Adds the runs of a task that may have crashed their workers to its live runs. */
static int fill_suspicions(const struct dag_state *s, const struct dag_task_ref *ref,
			   const struct dag_task *t, struct dag_image_task *it)
{
	size_t n = (size_t)t->n_live + 2 * (size_t)t->n_suspected;
	struct dag_image_run *runs = calloc(n, sizeof(*runs));
	const struct dag_suspicion *u;

	if (!runs)
		return CF_ENOMEM;
	memcpy(runs, t->live, t->n_live * sizeof(*runs));
	it->live.live_val = runs;
	for (u = s->suspicions; u; u = u->hh.next)
		if (dag_suspicion_is_of(u, ref))
			runs[it->live.live_len++] = (struct dag_image_run){
				u->key.run, u->worker | RUN_SUSPECTED};
	for (u = s->suspicions; u; u = u->hh.next)
		if (u->unanswered && dag_suspicion_is_of(u, ref) &&
		    it->live.live_len < IMAGE_RUNS_MAX)
			runs[it->live.live_len++] = (struct dag_image_run){
				u->key.run, u->worker | RUN_SUSPECTED};
	return 0;
}

/* The snapshot borrows strings from the state and owns only its arrays. */
static void fill_task(const struct dag_task *t, struct dag_image_task *it)
{
	it->last_run = t->last_run;
	it->failures = t->failures | (u_int)t->crashes << CRASHES_SHIFT |
		       (u_int)t->unanswered << UNANSWERED_SHIFT |
		       (u_int)t->crashes_alone << CRASHES_ALONE_SHIFT |
		       (t->newest_failed ? NEWEST_FAILED : 0) |
		       (t->unlisted ? UNLISTED : 0);
	it->done = t->done;
	it->live.live_len = t->n_live;
	/* The cast is valid because both structs hold the same two numbers. */
	_Static_assert(sizeof(struct dag_run) == sizeof(struct dag_image_run), "layout");
	it->live.live_val = (struct dag_image_run *)(uintptr_t)t->live;
	XDR_SET(*it, checkpoint, buf_str(&t->checkpoint));
}

/* Frees the lists of runs that a job's image owns. */
static void free_job_image(struct dag_image_job *ij)
{
	for (u_int i = 0; i < ij->tasks.tasks_len; i++) {
		struct dag_image_task *it = &ij->tasks.tasks_val[i];

		for (u_int k = 0; k < it->live.live_len; k++) {
			if (!(it->live.live_val[k].worker & RUN_SUSPECTED))
				continue;
			free(it->live.live_val);
			break;
		}
	}
	free(ij->tasks.tasks_val);
}

/* queue_ref: memory for the reference to its queue. */
static int fill_job(const struct dag_state *s, const struct dag_job_rec *j,
		    unsigned char *queue_ref, struct dag_image_job *ij)
{
	u_int n = j->n_occ * j->n_tasks;
	struct str queue;
	int err = 0;

	ij->tasks.tasks_val = calloc(n, sizeof(*ij->tasks.tasks_val));
	if (!ij->tasks.tasks_val)
		return CF_ENOMEM;
	ij->tasks.tasks_len = n;
	ij->spec = j->spec;
	if (j->queue_known) {
		queue = dag_state_refer_queue(s, &j->queue, queue_ref);
		XDR_SET(ij->spec, queue, queue);
	}
	ij->state = j->state;
	ij->attempts = j->attempts;
	ij->started = j->started;
	ij->ended_ms = j->ended_ms;
	for (u_int i = 0; i < n && !err; i++) {
		const struct dag_task *t = &j->occ[i / j->n_tasks].task[i % j->n_tasks];
		struct dag_task_ref ref =
			dag_job_task_ref(j, i / j->n_tasks, i % j->n_tasks);

		fill_task(t, &ij->tasks.tasks_val[i]);
		if (t->n_suspected)
			err = fill_suspicions(s, &ref, t, &ij->tasks.tasks_val[i]);
	}
	return err;
}

/* refs: DAG_QUEUE_REF_BYTES for each job and withdrawal. */
static int fill_image(const struct dag_state *s, unsigned char *refs,
		      struct dag_image *im)
{
	const struct dag_worker_rec *w;
	const struct dag_zone_rec *z;
	const struct dag_job_rec *j;
	int err = 0;

	im->next_worker = s->next_worker_number;
	im->time_ms = s->time_ms;
	im->conf = s->conf;
	im->model = s->model;
	im->closed_zones.closed_zones_val =
		calloc(HASH_COUNT(s->zones) + 1, sizeof(struct dag_name));
	im->workers.workers_val =
		calloc(HASH_COUNT(s->workers) + 1, sizeof(struct dag_image_worker));
	im->jobs.jobs_val = calloc(HASH_COUNT(s->jobs) + s->n_withdrawn + 1,
				   sizeof(struct dag_image_job));
	if (!im->closed_zones.closed_zones_val || !im->workers.workers_val ||
	    !im->jobs.jobs_val)
		return CF_ENOMEM;
	for (z = s->zones; z; z = z->hh.next) {
		struct dag_name *n =
			&im->closed_zones
				 .closed_zones_val[im->closed_zones.closed_zones_len];

		if (!z->closed)
			continue;
		im->closed_zones.closed_zones_len++;
		XDR_SET(*n, text, ((struct str){z->name, z->hh.keylen}));
	}
	for (w = s->workers; w; w = w->hh.next)
		im->workers.workers_val[im->workers.workers_len++] =
			(struct dag_image_worker){w->number | (w->lost ? WORKER_LOST : 0),
						  w->w};
	for (j = s->jobs; j && !err; j = j->hh.next, refs += DAG_QUEUE_REF_BYTES)
		err = fill_job(s, j, refs, &im->jobs.jobs_val[im->jobs.jobs_len++]);
	if (err)
		return err;
	im->jobs.jobs_len +=
		dag_state_list_withdrawn(s, refs, &im->jobs.jobs_val[im->jobs.jobs_len]);
	return 0;
}

/* Appends the part of a snapshot that is there only with organisations. */
static int add_orgs(const struct dag_state *s, struct buf *out)
{
	u_int n_withdrawn = dag_state_list_org_withdrawn(s, NULL, NULL);
	struct dag_org_image im = {0};
	unsigned char *refs;
	int err;

	if (!s->orgs && !n_withdrawn)
		return 0;
	refs = calloc((size_t)s->n_withdrawn + 1, DAG_QUEUE_REF_BYTES);
	im.withdrawn.withdrawn_val =
		calloc((size_t)n_withdrawn + 1, sizeof(struct dag_image_withdrawn));
	err = refs && im.withdrawn.withdrawn_val ? dag_state_fill_orgs(s, &im)
						 : CF_ENOMEM;
	if (!err) {
		im.withdrawn.withdrawn_len =
			dag_state_list_org_withdrawn(s, refs, im.withdrawn.withdrawn_val);
		err = codec_encode((xdrproc_t)xdr_dag_org_image, &im, out);
	}
	dag_state_free_org_image(&im);
	free(refs);
	return err;
}

/* Appends a snapshot of the whole state to out. CF_ENOMEM or an encoding error. */
int dag_state_snapshot(const struct dag_state *s, struct buf *out)
{
	struct dag_image im = {0};
	unsigned char *refs = calloc(HASH_COUNT(s->jobs) + (size_t)s->n_withdrawn + 1,
				     DAG_QUEUE_REF_BYTES);
	int err = refs ? fill_image(s, refs, &im) : CF_ENOMEM;

	if (!err)
		err = codec_encode((xdrproc_t)xdr_dag_image, &im, out);
	if (!err)
		err = add_orgs(s, out);
	for (u_int i = 0; i < im.jobs.jobs_len; i++)
		free_job_image(&im.jobs.jobs_val[i]);
	free(im.closed_zones.closed_zones_val);
	free(im.workers.workers_val);
	free(im.jobs.jobs_val);
	free(refs);
	return err;
}

/* Each worker once, with a number that no later one gets. */
static int restore_worker(struct dag_state *s, const struct dag_image_worker *iw)
{
	uint32_t number = iw->number & ~WORKER_LOST;
	struct dag_worker_rec *w;
	int err;

	if (!number || !iw->worker.id.id_len || number >= s->next_worker_number ||
	    dag_state_find_worker(s, number) ||
	    dag_state_find_worker_by_id(s, XDR_STR(iw->worker, id)))
		return CF_EMALFORMED;
	err = dag_state_put_worker(s, number, &iw->worker, &w);
	if (err)
		return err;
	w->lost = (iw->number & WORKER_LOST) != 0;
	w->lost_us = s->clock_us;
	return 0;
}

static int restore_run(struct dag_state *s, const struct dag_task_ref *ref,
		       struct dag_task *t, const struct dag_image_run *r)
{
	uint32_t number = r->worker & ~RUN_SUSPECTED;
	struct dag_worker_rec *w = dag_state_find_worker(s, number);
	struct dag_suspicion *u;

	if (!w || r->run > t->last_run)
		return CF_EMALFORMED;
	if (r->worker & RUN_SUSPECTED) {
		u = dag_suspicion_find(s, ref, r->run);
		if (!u)
			return dag_suspicion_add(s, ref, r->run, number, false);
		u->unanswered = true;
		return 0;
	}
	if (t->n_live == DAG_MAX_COPIES || (t->n_live && r->run == t->live[0].run))
		return CF_EMALFORMED;
	t->live[t->n_live++] = (struct dag_run){r->run, number};
	w->n_runs++;
	return 0;
}

static int restore_task(struct dag_state *s, const struct dag_task_ref *ref,
			struct dag_task *t, const struct dag_image_task *it)
{
	int err = 0;

	t->last_run = it->last_run;
	t->failures = it->failures & FAILURES_MASK;
	t->crashes = it->failures >> CRASHES_SHIFT & CRASHES_MASK;
	t->crashes_alone = it->failures >> CRASHES_ALONE_SHIFT & CRASHES_ALONE_MASK;
	t->unanswered = it->failures >> UNANSWERED_SHIFT & UNANSWERED_MASK;
	t->unlisted = (it->failures & UNLISTED) != 0;
	t->newest_failed = (it->failures & NEWEST_FAILED) != 0;
	t->done = it->done;
	for (u_int i = 0; i < it->live.live_len && !err; i++)
		err = restore_run(s, ref, t, &it->live.live_val[i]);
	if (err)
		return err;
	return it->checkpoint.checkpoint_len
		       ? buf_set(&t->checkpoint, XDR_STR(*it, checkpoint))
		       : 0;
}

/* Recomputes the counters of unfinished tasks, which are not in the snapshot. */
static void count_left(struct dag_job_rec *j)
{
	j->occ_left = 0;
	for (uint32_t k = 0; k < j->n_occ; k++) {
		struct dag_occurrence *o = &j->occ[k];

		o->tasks_left = 0;
		for (u_int i = 0; i < j->spec.steps.steps_len; i++) {
			o->left[i] = 0;
			for (uint32_t t = 0; t < j->spec.steps.steps_val[i].count; t++)
				o->left[i] += !dag_job_find_task(j, k, i, t)->done;
			o->tasks_left += o->left[i];
		}
		j->occ_left += o->tasks_left > 0;
	}
}

static int restore_job(struct dag_state *s, const struct dag_image_job *ij)
{
	struct dag_job_rec *j;
	int err;

	if (dag_state_find_job(s, ij->spec.id) || !dag_time_valid(ij->ended_ms))
		return CF_EMALFORMED;
	if (!ij->spec.steps.steps_len)
		return dag_state_withdraw(s, ij->spec.id, XDR_STR(ij->spec, queue),
					  ij->ended_ms, NULL);
	err = dag_state_add_job(s, &ij->spec, ij->attempts, &j);
	if (err)
		return err == CF_EINVAL ? CF_EMALFORMED : err;
	if (ij->tasks.tasks_len != j->n_occ * j->n_tasks || ij->state > DAG_JOB_CANCELLED)
		return CF_EMALFORMED;
	j->state = (enum dag_job_state)ij->state;
	j->started = ij->started;
	j->ended_ms = ij->ended_ms;
	for (u_int i = 0; !err && i < ij->tasks.tasks_len; i++) {
		struct dag_task_ref ref =
			dag_job_task_ref(j, i / j->n_tasks, i % j->n_tasks);

		err = restore_task(s, &ref, &j->occ[i / j->n_tasks].task[i % j->n_tasks],
				   &ij->tasks.tasks_val[i]);
	}
	count_left(j);
	return err;
}

/* Fills an empty state. CF_EMALFORMED: parts of the image contradict one another. */
static int load_image(struct dag_state *s, const struct dag_image *im)
{
	int err;

	if (!dag_time_valid(im->time_ms) || im->next_worker == 0 ||
	    im->next_worker > DAG_WORKER_NUMBERS)
		return CF_EMALFORMED;
	s->time_ms = im->time_ms;
	s->next_worker_number = im->next_worker;
	err = dag_state_set_conf(s, &im->conf);
	if (!err)
		err = dag_state_set_model(s, &im->model);
	for (u_int i = 0; !err && i < im->closed_zones.closed_zones_len; i++)
		err = dag_state_close_zone(
			s, XDR_STR(im->closed_zones.closed_zones_val[i], text));
	for (u_int i = 0; !err && i < im->workers.workers_len; i++)
		err = restore_worker(s, &im->workers.workers_val[i]);
	for (u_int i = 0; !err && i < im->jobs.jobs_len; i++)
		err = restore_job(s, &im->jobs.jobs_val[i]);
	return err;
}

/* Decodes a snapshot into an empty state, which the caller clears after an error too. */
static int read_image(struct dag_state *s, struct str snapshot)
{
	struct dag_org_image orgs = {0};
	struct dag_image im = {0};
	size_t used;
	int err = codec_decode_first((xdrproc_t)xdr_dag_image, &im, snapshot, &used);

	if (!err)
		err = load_image(s, &im);
	if (!err && used < snapshot.n) {
		err = codec_decode((xdrproc_t)xdr_dag_org_image, &orgs,
				   (struct str){snapshot.p + used, snapshot.n - used});
		if (!err)
			err = dag_state_load_orgs(s, &orgs);
		codec_free((xdrproc_t)xdr_dag_org_image, &orgs);
	}
	codec_free((xdrproc_t)xdr_dag_image, &im);
	return err;
}

/*
 * Replaces the state by a snapshot. CF_EMALFORMED: it is damaged; CF_ENOMEM. After an
 * error the state is as before.
 */
int dag_state_restore(struct dag_state *s, struct str snapshot)
{
	struct dag_state fresh = {.clock_us = s->clock_us,
				  .observer = s->observer,
				  .index = s->index,
				  .epoch = s->epoch,
				  .earlier_epoch = s->earlier_epoch,
				  .zone_orders_floor = s->index};
	int err = read_image(&fresh, snapshot);

	if (err) {
		dag_state_clear(&fresh);
	} else {
		dag_state_clear(s);
		*s = fresh;
	}
	return err;
}

/* Whether a state can be replaced by a snapshot. Errors as for dag_state_restore(). */
int dag_state_check_snapshot(struct str snapshot)
{
	struct dag_state fresh = {0};
	int err = read_image(&fresh, snapshot);

	dag_state_clear(&fresh);
	return err;
}
