#include "core/dag_sched.h"

#include <stdlib.h>

#include "base/err.h"
#include "core/dag_counted.h"
#include "core/dag_sched_impl.h"
#include "proto/codec.h"

#define PLACE_RETRY_US (100 * USEC_PER_MS)
/* Pause between passes, so that one serves ends that arrive together. */
#define PLACE_INTERVAL_US (5 * USEC_PER_MS)
#define CHECK_PERIOD_US (50 * USEC_PER_MS) /* between passes over all runs */
#define TICK_INTERVAL_US (10 * USEC_PER_MS)
#define FORGET_PERIOD_US (5 * USEC_PER_SEC)
#define MODEL_SAVE_PERIOD_US (2 * USEC_PER_SEC)
#define SORT_PERIOD_US (500 * USEC_PER_MS)

void ds_log_run_event(struct dag_sched *s, const char *event, const struct ds_run *r,
		      const char *reason, int64_t value)
{
	s->host->ops->log_event(s->host, event, &r->task, r->run,
				XDR_STR(r->worker->rec->w, id), reason, value);
}

void ds_propose(struct dag_sched *s, const struct dag_command *c)
{
	int err = s->host->ops->propose(s->host, c);

	if (err && !s->err)
		s->err = err;
}

static const char *state_name(enum dag_job_state state)
{
	static const char *const names[] = {"queued", "running", "completed", "failed",
					    "cancelled"};

	return names[state];
}

static void log_accepted(struct dag_sched *s, const struct dag_job_rec *j)
{
	struct dag_task_ref t = {.job = j->id};

	s->host->ops->log_event(s->host, "job-accepted", &t, 0,
				dag_state_queue_name(s->state, j), state_name(j->state),
				j->n_tasks);
}

static void log_ended(struct dag_sched *s, const struct dag_job_rec *j)
{
	struct dag_task_ref t = {.job = j->id};

	s->host->ops->log_final(s->host, "job-ended", &t, 0,
				dag_state_queue_name(s->state, j), state_name(j->state),
				j->ended_ms - j->spec.accepted_ms);
}

static void on_job_added(struct dag_observer *o, struct dag_job_rec *rec)
{
	struct dag_sched *s = (struct dag_sched *)o;
	struct ds_job *j;
	int err = ds_job_new(s, rec, &j);

	if (err) {
		s->err = err;
		return;
	}
	if (!rec->spec.occurrences)
		j->next_occurrence = 1;
	log_accepted(s, rec);
	ds_job_refresh(s, j);
}

/* Frees runs whose start is not committed; the worker has not been told of them. */
static void free_proposed_runs(struct dag_sched *s, struct ds_job *j)
{
	struct ds_run *r, *next;

	for (r = TAILQ_FIRST(&j->runs); r; r = next) {
		next = TAILQ_NEXT(r, job_entry);
		if (r->phase == DS_PROPOSED)
			ds_run_free(s, r);
	}
}

static void on_job_ended(struct dag_observer *o, struct dag_job_rec *rec)
{
	struct dag_sched *s = (struct dag_sched *)o;
	struct ds_job *j = rec->sched;
	struct ds_run *r;

	if (!j)
		return;
	log_ended(s, rec);
	ds_demand_job_ended(s, j);
	j->given_up = rec->state == DAG_JOB_FAILED;
	free_proposed_runs(s, j);
	TAILQ_FOREACH (r, &j->runs, job_entry)
		ds_run_request_stop(s, r, "job ended");
	ds_job_refresh(s, j);
}

static void on_job_forgotten(struct dag_observer *o, struct dag_job_rec *rec)
{
	if (rec->sched)
		ds_job_free((struct dag_sched *)o, rec->sched);
}

static void on_run_started(struct dag_observer *o, struct dag_job_rec *rec,
			   const struct dag_start *st)
{
	struct dag_sched *s = (struct dag_sched *)o;
	struct ds_run *r = ds_find_run(s, &st->task, st->run);

	if (r && r->phase == DS_PROPOSED)
		ds_run_send_start(s, r);
}

/* Stops runs that a done task makes redundant: its copies, or all runs of its gang. */
static void stop_redundant_runs(struct dag_sched *s, struct ds_job *j,
				const struct dag_task_ref *t)
{
	const struct dag_step *step = &j->rec->spec.steps.steps_val[t->step];
	struct ds_run *r, *next;

	for (r = TAILQ_FIRST(&j->runs); r; r = next) {
		next = TAILQ_NEXT(r, job_entry);
		if (r->task.step != t->step || r->task.occurrence != t->occurrence)
			continue;
		if (!step->gang && r->task.index != t->index)
			continue;
		if (r->phase == DS_PROPOSED)
			ds_run_free(s, r);
		else
			ds_run_request_stop(s, r, DS_REDUNDANT);
	}
}

/* Tells what an end changes in what is known of crashes under its task. r NULL: late. */
static void log_crashes(struct dag_sched *s, const struct ds_run *r,
			const struct dag_end *e, const struct dag_task *t)
{
	struct str worker = r ? XDR_STR(r->worker->rec->w, id) : (struct str){NULL, 0};

	if (dag_end_is_suspicion(e->how) && dag_task_is_held(t))
		s->host->ops->log_event(
			s->host, "task-held", &e->task, e->run, worker,
			"until more is known of the workers of its lost runs",
			ds_task_suspect_crashes(t));
	if (!r && dag_end_is_crash(e->how))
		s->host->ops->log_event(s->host, "crash-known", &e->task, e->run, worker,
					"its worker did not survive it; value: crashes",
					dag_task_losses(t));
}

/* Tells which ends of runs a failed job was given up for. r NULL: the newest is late. */
static void log_given_up(struct dag_sched *s, struct ds_job *j, const struct ds_run *r,
			 const struct dag_end *e)
{
	struct str worker = r ? XDR_STR(r->worker->rec->w, id) : (struct str){NULL, 0};
	struct buf text = {0};
	uint32_t total = 0;
	int err = dag_counted_describe(j->rec, e, &text, &total);

	j->given_up = false;
	s->host->ops->log_final(s->host, "task-given-up", &e->task, e->run, worker,
				err ? "no memory to tell its runs" : text.p, total);
	buf_free(&text);
}

static void on_run_ended(struct dag_observer *o, struct dag_job_rec *rec,
			 const struct dag_end *e, uint32_t worker)
{
	struct dag_sched *s = (struct dag_sched *)o;
	struct ds_job *j = rec->sched;
	struct ds_run *r = ds_find_run(s, &e->task, e->run);
	struct dag_task *t =
		dag_job_find_task(rec, e->task.occurrence, e->task.step, e->task.index);
	struct dag_worker_rec *w = dag_state_find_worker(s->state, worker);
	struct ds_worker *dw = w ? w->sched : NULL;
	bool listed = r && r->end_listed;

	log_crashes(s, r, e, t);
	if (r && r->crash_known)
		dag_counted_explain(t->counted, e->run, r->crash_known);
	if (j && j->given_up)
		log_given_up(s, j, r, e);
	if (r)
		ds_run_free(s, r);
	if (dw && listed && --dw->ends_uncommitted == 0) {
		ds_worker_ack_ends(dw);
		dw->next_poll_us = s->now_us;
	}
	if (!j)
		return;
	if (t->done)
		stop_redundant_runs(s, j, &e->task);
	if (rec->occ[e->task.occurrence].left[e->task.step] == 0)
		ds_job_refresh(s, j);
	else
		ds_step_refresh(s, ds_job_find_step(j, e->task.occurrence, e->task.step));
}

static void on_worker_changed(struct dag_observer *o, struct dag_worker_rec *rec)
{
	struct dag_sched *s = (struct dag_sched *)o;
	struct ds_worker *w = rec->sched;

	if (!w) {
		w = ds_worker_new(s, rec);
		if (w) {
			w->last_heard_us = s->now_us;
			w->joined_us = s->now_us;
		}
		return;
	}
	ds_worker_follow_start(s, w, rec->w.born_ms);
	ds_worker_refresh(s, w);
	w->next_poll_us = s->now_us;
}

static void on_contact_changed(struct dag_observer *o, struct dag_worker_rec *rec)
{
	if (rec->sched)
		ds_worker_contact_changed((struct dag_sched *)o, rec->sched);
}

static void on_worker_removed(struct dag_observer *o, struct dag_worker_rec *rec)
{
	if (rec->sched)
		ds_worker_free((struct dag_sched *)o, rec->sched);
}

static void on_conf_changed(struct dag_observer *o)
{
	struct dag_sched *s = (struct dag_sched *)o;
	struct ds_job *j;

	TAILQ_FOREACH (j, &s->jobs, entry)
		j->queue = dag_state_find_queue(s->state, &j->rec->queue);
	for (size_t i = 0; i < s->n_workers; i++)
		ds_worker_refresh(s, s->workers[i]);
	s->placement_needed = true;
}

static void on_zones_changed(struct dag_observer *o)
{
	struct dag_sched *s = (struct dag_sched *)o;

	for (size_t i = 0; i < s->n_workers; i++)
		ds_worker_refresh(s, s->workers[i]);
}

static void on_org_removed(struct dag_observer *o, struct dag_org *org)
{
	if (org->sched)
		ds_org_free((struct dag_sched *)o, org->sched);
}

static const struct dag_observer_ops observer_ops = {
	.job_added = on_job_added,
	.job_ended = on_job_ended,
	.job_forgotten = on_job_forgotten,
	.run_started = on_run_started,
	.run_ended = on_run_ended,
	.worker_changed = on_worker_changed,
	.worker_removed = on_worker_removed,
	.contact_changed = on_contact_changed,
	.conf_changed = on_conf_changed,
	.zones_changed = on_zones_changed,
	.org_removed = on_org_removed,
};

/* When this process applied the record of a start; 0: not known. */
static int64_t recorded_start_us(const struct dag_sched *s, uint32_t started_ms)
{
	uint32_t age_ms = (uint32_t)(s->now_us / USEC_PER_MS) - started_ms;

	return started_ms ? s->now_us - (int64_t)age_ms * USEC_PER_MS : 0;
}

/* Adds a job's recorded runs; the worker may or may not have started them. */
static void recover_runs(struct dag_sched *s, struct ds_job *j)
{
	const struct dag_job_rec *rec = j->rec;

	for (uint32_t i = 0; i < rec->n_occ * rec->n_tasks; i++) {
		const struct dag_task *t =
			&rec->occ[i / rec->n_tasks].task[i % rec->n_tasks];
		struct dag_task_ref ref =
			dag_job_task_ref(rec, i / rec->n_tasks, i % rec->n_tasks);

		for (uint8_t c = 0; c < t->n_live; c++) {
			struct dag_worker_rec *w =
				dag_state_find_worker(s->state, t->live[c].worker);
			struct ds_run *r =
				w && w->sched
					? ds_run_new(s, j, w->sched, &ref, t->live[c].run)
					: NULL;

			if (!r)
				continue;
			r->phase = DS_RECOVERED;
			r->recovered = true;
			r->speed_known = !r->step->filler;
			r->start_sent_us = recorded_start_us(s, t->started_ms[c]);
			/* Its start may have been repeated until its lease ended. */
			r->begun_by_us = r->start_sent_us + s->opt.lease_us;
			if (!r->start_sent_us || r->begun_by_us > s->now_us)
				r->begun_by_us = s->now_us;
			if (t->life[c] == w->lives)
				r->born_ms = w->w.born_ms;
			else
				ds_recall_life(r, w->lives - t->life[c]);
		}
	}
}

/*
 * Builds the leader's data from the replicated state and observes its changes. Memory is
 * bounded: a fixed size for each worker, job, step, task and run in the state. Returns
 * CF_ENOMEM if the model cannot be allocated; dag_sched_error() reports later errors.
 */
int dag_sched_new(const struct dag_sched_options *opt, int64_t now_us, int64_t wall_ms,
		  struct dag_sched **out)
{
	struct dag_sched *s = calloc(1, sizeof(*s));
	struct dag_worker_rec *w;
	struct dag_job_rec *rec;

	if (!s)
		return CF_ENOMEM;
	s->observer.ops = &observer_ops;
	s->opt = *opt;
	s->state = opt->state;
	s->host = opt->host;
	s->now_us = now_us;
	s->leading_since_us = now_us;
	s->wall_ms = wall_ms;
	s->last_place_us = now_us - PLACE_RETRY_US;
	TAILQ_INIT(&s->ready);
	TAILQ_INIT(&s->jobs);
	TAILQ_INIT(&s->orgs);
	ds_org_init(&s->no_org, NULL);
	s->err = dag_interfere_new(&s->interfere);
	if (!s->err && opt->admit_serving)
		s->err = ds_demand_new(&s->demand);
	if (s->err) {
		dag_interfere_free(s->interfere);
		free(s);
		return CF_ENOMEM;
	}
	dag_interfere_restore(s->interfere, &s->state->model);
	for (w = s->state->workers; w; w = w->hh.next)
		ds_worker_new(s, w);
	ds_spread_first_polls(s);
	for (rec = s->state->jobs; rec && !s->err; rec = rec->hh.next) {
		struct ds_job *j;

		s->err = ds_job_new(s, rec, &j);
		if (s->err)
			break;
		if (!rec->spec.occurrences)
			j->next_occurrence = 1;
		recover_runs(s, j);
		ds_job_refresh(s, j);
	}
	s->state->observer = &s->observer;
	*out = s;
	return 0;
}

void dag_sched_free(struct dag_sched *s)
{
	struct ds_job *j;
	struct ds_org *o;

	if (!s)
		return;
	s->state->observer = NULL;
	while ((j = TAILQ_FIRST(&s->jobs)))
		ds_job_free(s, j);
	while ((o = TAILQ_FIRST(&s->orgs)))
		ds_org_free(s, o);
	while (s->n_workers)
		ds_worker_free(s, s->workers[0]);
	free(s->workers);
	free(s->scores);
	dag_interfere_free(s->interfere);
	ds_demand_free(s->demand);
	free(s);
}

/* Releases the steps of occurrences whose start time has come. */
static void release_due_occurrences(struct dag_sched *s, struct ds_job *j)
{
	while (ds_job_next_due_us(s, j) <= s->now_us) {
		j->next_occurrence++;
		for (uint32_t i = 0; i < j->n_steps; i++)
			ds_step_refresh(s,
					ds_job_find_step(j, j->next_occurrence - 1, i));
	}
}

/* Proposes to remove jobs without runs that ended before the retention time. */
static void forget_jobs(struct dag_sched *s)
{
	int64_t before = s->state->time_ms - s->opt.status_retention_us / USEC_PER_MS;
	struct ds_job *j;

	if (s->now_us < s->next_forget_us)
		return;
	s->next_forget_us = s->now_us + FORGET_PERIOD_US;
	TAILQ_FOREACH (j, &s->jobs, entry) {
		struct dag_command c = {.kind = DAG_CMD_FORGET};

		if (!dag_job_ended(j->rec) || j->rec->ended_ms >= before ||
		    !TAILQ_EMPTY(&j->runs))
			continue;
		c.dag_command_u.forget = j->rec->id;
		ds_propose(s, &c);
	}
}

/* Records the interference model for the next leader, so that it need not relearn it. */
static void save_model(struct dag_sched *s)
{
	struct dag_command c = {.kind = DAG_CMD_MODEL};

	if (s->now_us < s->next_model_save_us)
		return;
	s->next_model_save_us = s->now_us + MODEL_SAVE_PERIOD_US;
	if (dag_interfere_save(s->interfere, &c.dag_command_u.model))
		return;
	if (c.dag_command_u.model.images.images_len)
		ds_propose(s, &c);
	dag_interfere_save_free(&c.dag_command_u.model);
}

/* Runs all timers. wall_ms: time of day, which decides when occurrences are due. */
void dag_sched_tick(struct dag_sched *s, int64_t now_us, int64_t wall_ms)
{
	struct ds_job *j;
	bool check;

	s->now_us = now_us;
	s->wall_ms = wall_ms;
	TAILQ_FOREACH (j, &s->jobs, entry)
		if (j->next_occurrence < j->rec->n_occ)
			release_due_occurrences(s, j);
	check = now_us - s->last_check_us >= CHECK_PERIOD_US;
	if (check)
		s->last_check_us = now_us;
	for (size_t i = 0; i < s->n_workers; i++)
		ds_worker_tick(s, s->workers[i], check);
	if (check) {
		ds_watch_serving(s);
		ds_expire_suspicions(s);
	}
	if (now_us >= s->next_sort_us) {
		s->next_sort_us = now_us + SORT_PERIOD_US;
		ds_sort_ready(s);
	}
	ds_demand_sample(s);
	forget_jobs(s);
	save_model(s);
}

/* When to tick or place next. Polls that are due within one interval go out together. */
int64_t dag_sched_next_tick_us(const struct dag_sched *s)
{
	if (s->placement_needed)
		return s->last_place_us + PLACE_INTERVAL_US;
	return s->now_us + TICK_INTERVAL_US;
}

/* Places waiting tasks, at most once per PLACE_INTERVAL_US. */
void dag_sched_place(struct dag_sched *s, int64_t now_us)
{
	s->now_us = now_us;
	if (now_us - s->last_place_us < PLACE_INTERVAL_US)
		return;
	if (!s->placement_needed &&
	    (!s->n_waiting || now_us - s->last_place_us < PLACE_RETRY_US))
		return;
	s->last_place_us = now_us;
	ds_place_all(s);
}

bool dag_sched_fenced(const struct dag_sched *s)
{
	return s->fenced;
}

int dag_sched_error(const struct dag_sched *s)
{
	return s->err;
}
