/* Placement preview: the decisions of core/dag_place.c without their effect. */
#include "core/dag_preview.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/dag_sched_impl.h"
#include "proto/codec.h"

/* Higher than the number of any run that a task has in practice. */
#define PREVIEW_RUN UINT32_MAX

static struct str rack_of(const struct ds_worker *w)
{
	u_int n = w->rec->w.labels.labels_len;

	return n ? XDR_STR(w->rec->w.labels.labels_val[n - 1], text)
		 : (struct str){NULL, 0};
}

static int64_t age_ms(const struct dag_sched *s, const struct ds_worker *w)
{
	return (s->now_us - w->last_heard_us) / USEC_PER_MS;
}

static int compare_obstacles(const void *a, const void *b)
{
	const struct ds_obstacle *x = a;
	const struct ds_obstacle *y = b;

	if (x->kind != y->kind)
		return x->kind < y->kind ? -1 : 1;
	if (x->missing != y->missing)
		return x->missing < y->missing ? -1 : 1;
	return (x->worker->rec->number > y->worker->rec->number) -
	       (x->worker->rec->number < y->worker->rec->number);
}

/* The workers that are nearest to taking a task, with what keeps each from it. */
static int list_candidates(const struct dag_sched *s, const struct ds_step *st,
			   struct dag_preview_step *out)
{
	struct ds_obstacle *all = calloc(s->n_workers + 1, sizeof(*all));

	if (!all)
		return CF_ENOMEM;
	for (size_t i = 0; i < s->n_workers; i++)
		all[i] = ds_find_obstacle(s, s->workers[i], st);
	qsort(all, s->n_workers, sizeof(*all), compare_obstacles);
	for (size_t i = 0; i < s->n_workers && i < DAG_PREVIEW_CANDIDATES; i++) {
		const struct ds_worker *w = all[i].worker;

		out->candidate[out->n_candidates++] = (struct dag_preview_candidate){
			XDR_STR(w->rec->w, id), rack_of(w), all[i].reason, all[i].missing,
			age_ms(s, w)};
	}
	free(all);
	return 0;
}

static void add_task(struct dag_preview_step *out, uint32_t index,
		     const struct ds_worker *w, bool waits)
{
	struct dag_preview_task *t = &out->task[out->n_tasks++];

	*t = (struct dag_preview_task){.index = index, .waits = waits};
	if (w && !waits) {
		t->worker = XDR_STR(w->rec->w, id);
		t->rack = rack_of(w);
	}
}

/* Runs that only reserve capacity for the tasks after them; no start is proposed. */
static void drop_runs(struct dag_sched *s, struct ds_job *j)
{
	struct ds_run *r, *next;

	for (r = TAILQ_FIRST(&j->runs); r; r = next) {
		next = TAILQ_NEXT(r, job_entry);
		if (r->run == PREVIEW_RUN)
			ds_run_free(s, r);
	}
}

static bool is_preview_of(const struct ds_run *r, const struct ds_step *st)
{
	return r->run == PREVIEW_RUN && ds_is_run_of_step(r, st);
}

static void drop_step_runs(struct dag_sched *s, struct ds_step *st)
{
	struct ds_run *r, *next;

	for (r = TAILQ_FIRST(&st->job->runs); r; r = next) {
		next = TAILQ_NEXT(r, job_entry);
		if (is_preview_of(r, st))
			ds_run_free(s, r);
	}
}

static bool is_suspect(const struct ds_step *st, uint32_t index)
{
	return ds_task_suspect_crashes(
		dag_job_find_task(st->job->rec, st->occurrence, st->number, index));
}

/*
 * Reserves nothing for a task that is suspected of crashes, as its run would put the
 * worker on trial. false: no memory.
 */
static bool reserve(struct dag_sched *s, struct ds_step *st, struct ds_worker *w,
		    uint32_t index)
{
	struct dag_task_ref ref = {st->job->rec->id, st->occurrence, st->number, index};

	return is_suspect(st, index) || ds_run_new(s, st->job, w, &ref, PREVIEW_RUN);
}

static void preview_tasks(struct dag_sched *s, struct ds_step *st,
			  struct dag_preview_step *out)
{
	uint32_t held = 0;

	for (uint32_t i = 0; i < st->step->count && out->n_tasks < DAG_PREVIEW_TASKS;
	     i++) {
		struct ds_worker *w;
		bool may_wait, waits;

		if (!ds_task_is_waiting(st, i))
			continue;
		/* What is reserved for earlier tasks counts for the quota too. */
		w = ds_quota_obstacle(st) ? NULL : ds_choose_worker(s, st, i, &may_wait);
		waits = w && may_wait && held < out->hold &&
			!ds_worker_has_label(w, XDR_STR(*st->step, data_rack));
		held += waits;
		add_task(out, i, w, waits);
		if (w && !waits && !reserve(s, st, w, i))
			break;
	}
}

static void list_unplaced(const struct ds_step *st, bool waits,
			  struct dag_preview_step *out)
{
	for (uint32_t i = 0; i < st->step->count && i < DAG_PREVIEW_TASKS; i++)
		add_task(out, i, NULL, waits);
}

static bool has_suspect(const struct ds_step *st)
{
	for (uint32_t i = 0; i < st->step->count; i++)
		if (is_suspect(st, i))
			return true;
	return false;
}

/*
 * A gang starts in one rack, waits, or starts in any racks. Where one with a suspect
 * member starts is not foreseen, as its runs would put workers on trial.
 */
static void preview_gang(struct dag_sched *s, struct ds_step *st,
			 struct dag_preview_step *out)
{
	uint32_t placed = 0;
	bool waits = false;
	struct ds_run *r;

	if (st->n_waiting < st->step->count)
		return;
	if (ds_quota_obstacle(st) || has_suspect(st)) {
		list_unplaced(st, false, out);
		return;
	}
	for (size_t i = 0; st->step->same_rack && i < s->n_workers && !placed; i++) {
		struct str rack = rack_of(s->workers[i]);

		if (!rack.n)
			continue;
		placed = ds_reserve_gang(s, st, rack, PREVIEW_RUN);
		if (placed < st->step->count) {
			drop_step_runs(s, st);
			placed = 0;
		}
	}
	waits = !placed && out->hold;
	if (!placed && !waits)
		placed = ds_reserve_gang(s, st, (struct str){NULL, 0}, PREVIEW_RUN);
	if (placed < st->step->count) {
		drop_step_runs(s, st);
		list_unplaced(st, waits, out);
		return;
	}
	TAILQ_FOREACH (r, &st->job->runs, job_entry)
		if (is_preview_of(r, st) && out->n_tasks < DAG_PREVIEW_TASKS)
			add_task(out, r->task.index, r->worker, false);
}

static void note_wait(const struct dag_sched *s, const struct ds_step *st,
		      struct dag_preview_step *out)
{
	struct ds_wait_plan plan;

	ds_wait_plan(s, st, &plan);
	if (st->wait && st->wait->hold &&
	    st->wait->until_us - s->now_us < plan.choice.until_us)
		plan.choice.until_us = st->wait->until_us - s->now_us;
	out->hold = plan.hold;
	out->wait_reason = plan.choice.reason;
	out->wait_rack = plan.rack;
	out->until_ms = plan.choice.wait ? plan.choice.until_us / USEC_PER_MS : 0;
	out->free_ms = plan.free.mean_us / USEC_PER_MS;
	out->free_sd_ms = plan.free.sd_us / USEC_PER_MS;
	out->extra_ms = plan.extra_us / USEC_PER_MS;
	out->slack_ms = plan.slack_us / USEC_PER_MS;
}

static uint32_t count_before(const struct dag_sched *s, const struct ds_step *st)
{
	const struct ds_step *other;
	uint32_t n = 0;

	TAILQ_FOREACH (other, &s->ready, entry) {
		if (other == st ||
		    (!st->queued && other->job->sort_key > st->job->sort_key))
			break;
		n++;
	}
	return n;
}

/* Notes the quota, or what keeps the nearest worker from taking a task of the step. */
static void add_notes(const struct dag_sched *s, const struct ds_step *st,
		      struct dag_preview *p)
{
	struct ds_obstacle o = ds_nearest_obstacle(s, st);

	if (o.kind == DS_OBSTACLE_NONE || p->n_notes == DAG_PREVIEW_NOTES)
		return;
	p->note[p->n_notes++] = (struct dag_preview_note){
		"obstacle", o.reason,
		o.worker ? XDR_STR(o.worker->rec->w, id) : (struct str){NULL, 0},
		o.missing};
}

static int preview_step(struct dag_sched *s, struct ds_step *st, struct dag_preview *p)
{
	struct dag_preview_step *out = &p->step[p->n_steps++];
	int err;

	out->occurrence = st->occurrence;
	out->number = st->number;
	out->waiting = st->n_waiting;
	out->steps_before = count_before(s, st);
	err = list_candidates(s, st, out);
	if (err)
		return err;
	add_notes(s, st, p);
	note_wait(s, st, out);
	if (st->step->gang)
		preview_gang(s, st, out);
	else
		preview_tasks(s, st, out);
	return 0;
}

static void describe(const struct dag_sched *s, const struct ds_job *j,
		     struct dag_preview *p)
{
	int64_t heard_us = INT64_MIN;

	p->queue = dag_state_queue_name(s->state, j->rec);
	if (j->rec->org)
		p->organisation = str_from(j->rec->org->name);
	p->priority = j->queue ? j->queue->priority : 0;
	p->n_workers = s->n_workers;
	for (size_t i = 0; i < s->n_workers; i++)
		if (s->workers[i]->in_service && s->workers[i]->last_heard_us > heard_us)
			heard_us = s->workers[i]->last_heard_us;
	p->view_age_ms =
		heard_us == INT64_MIN ? -1 : (s->now_us - heard_us) / USEC_PER_MS;
}

/* Previews the steps that wait. What it reserves meanwhile is released again. */
static int preview(struct dag_sched *s, struct ds_job *j, struct dag_preview *p)
{
	bool needed = s->placement_needed;
	int err = 0;

	describe(s, j, p);
	for (uint32_t i = 0; i < j->rec->n_occ * j->n_steps && !err; i++) {
		if (!j->steps[i].n_waiting)
			continue;
		p->n_steps_waiting++;
		if (p->n_steps < DAG_PREVIEW_STEPS)
			err = preview_step(s, &j->steps[i], p);
	}
	drop_runs(s, j);
	s->placement_needed = needed;
	return err;
}

/* Of a job that is known. CF_ENOENT: it is not; CF_ENOMEM. */
int dag_preview_job(struct dag_sched *s, uint64_t id, int64_t now_us,
		    struct dag_preview *out)
{
	struct dag_job_rec *rec = dag_state_find_job(s->state, id);

	memset(out, 0, sizeof(*out));
	if (!rec || !rec->sched)
		return CF_ENOENT;
	s->now_us = now_us;
	out->job = id;
	out->state = dag_job_ended(rec) ? "ended"
		     : rec->started	? "started"
					: "not started";
	return preview(s, rec->sched, out);
}

/* Makes the tasks wait that would wait once the job is accepted. */
static void release_steps(struct ds_job *j)
{
	for (uint32_t i = 0; i < j->n_steps; i++)
		if (dag_job_step_ready(j->rec, 0, i))
			j->steps[i].n_waiting = j->steps[i].step->count;
}

/*
 * Of a job that is not submitted, by its queue's name. It is added to the scheduler's
 * jobs only during the call, in a state of its own. CF_EINVAL: the job is not valid;
 * CF_ENOENT: there is no such queue; CF_ENOMEM.
 */
int dag_preview_submission(struct dag_sched *s, const struct dag_job *spec,
			   int64_t now_us, struct dag_preview *out)
{
	struct dag_state *own = NULL;
	struct dag_job copy = *spec;
	struct dag_job_rec *rec;
	struct ds_job *j;
	int images;
	int err;

	memset(out, 0, sizeof(*out));
	s->now_us = now_us;
	copy.accepted_ms = s->wall_ms;
	err = dag_state_new(&own);
	if (!err)
		err = dag_state_add_job(own, &copy, 1, &rec);
	if (err)
		goto out;
	rec->queue_known =
		dag_state_resolve_queue(s->state, XDR_STR(*spec, queue), &rec->queue);
	if (!dag_state_find_queue(s->state, &rec->queue)) {
		err = CF_ENOENT;
		goto out;
	}
	images = dag_interfere_count(s->interfere);
	err = ds_job_new(s, rec, &j);
	if (err)
		goto out;
	j->next_occurrence = 1;
	out->state = "not submitted";
	release_steps(j);
	err = preview(s, j, out);
	for (uint32_t i = 0; i < rec->n_occ * j->n_steps; i++)
		j->steps[i].n_waiting = 0;
	/* The job's own strings are freed with it. */
	for (size_t i = 0; i < out->n_steps; i++) {
		const struct dag_step *st = &spec->steps.steps_val[out->step[i].number];

		if (!st->gang && out->step[i].wait_rack.n)
			out->step[i].wait_rack = XDR_STR(*st, data_rack);
	}
	ds_job_free(s, j);
	dag_interfere_remove_from(s->interfere, images);
out:
	dag_state_free(own);
	return err;
}
