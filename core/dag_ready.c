/* Ready list: steps with tasks that wait for a worker, in the order of placement. */
#include <stdlib.h>

#include "base/err.h"
#include "core/dag_sched_impl.h"
#include "proto/codec.h"

#define PRIORITY_SHIFT 52
#define RANK_SHIFT 48
#define WORK_MASK ((1ULL << RANK_SHIFT) - 1)
/* A job older than this many objectives has no value any more. */
#define WORTHLESS_OBJECTIVES 3

struct ds_step *ds_job_find_step(const struct ds_job *j, uint32_t occurrence,
				 uint32_t step)
{
	return &j->steps[occurrence * j->n_steps + step];
}

struct ds_task *ds_job_find_task(const struct ds_job *j, const struct dag_task_ref *t)
{
	return &j->tasks[t->occurrence * j->rec->n_tasks + j->rec->first_task[t->step] +
			 t->index];
}

/* Critical path of the declared run times, in milliseconds. */
static uint64_t critical_path_ms(const struct dag_job *spec)
{
	uint64_t longest[DAG_MAX_STEPS] = {0};
	uint64_t best = 0;

	for (u_int i = 0; i < spec->steps.steps_len; i++) {
		const struct dag_step *st = &spec->steps.steps_val[i];

		for (u_int d = 0; d < st->depends_on.depends_on_len; d++) {
			uint64_t before = longest[st->depends_on.depends_on_val[d]];

			if (before > longest[i])
				longest[i] = before;
		}
		longest[i] += st->estimate_ms;
		if (longest[i] > best)
			best = longest[i];
	}
	return best;
}

/* Declared work of unfinished tasks, in milliseconds of one core. */
static uint64_t remaining_work(const struct ds_job *j)
{
	const struct dag_job *spec = &j->rec->spec;
	uint64_t work = 0;

	for (u_int i = 0; i < spec->steps.steps_len; i++) {
		const struct dag_step *st = &spec->steps.steps_val[i];

		work += (uint64_t)j->rec->occ[0].left[i] * st->cpu_milli *
			st->estimate_ms;
	}
	return work / 1000;
}

/* Time in which a job should complete, in milliseconds. */
static int64_t objective_ms(const struct dag_job *spec, const struct dag_queue *q)
{
	uint64_t path_ms = critical_path_ms(spec);
	uint64_t stretch = q ? q->stretch_milli : 1000;

	if (path_ms > UINT32_MAX)
		path_ms = UINT32_MAX;
	return (int64_t)((q ? q->slo_ms : 0) + path_ms * stretch / 1000);
}

int64_t ds_job_objective_ms(const struct ds_job *j)
{
	return objective_ms(&j->rec->spec, j->queue);
}

/*
 * Sort key: priority of the queue, then rank, then remaining work. Jobs with serving
 * tasks rank first, since they have value from their start on. Next are jobs that can
 * meet their objective, late jobs, and jobs too late to have value. Shortest remaining
 * work first completes the most jobs when not all can be completed in time.
 */
static uint64_t job_sort_key(const struct dag_sched *s, struct ds_job *j)
{
	const struct dag_job *spec = &j->rec->spec;
	const struct dag_queue *q = j->queue;
	int64_t objective = objective_ms(spec, q);
	int64_t age = s->wall_ms - spec->accepted_ms;
	uint64_t key = remaining_work(j);
	uint64_t rank = 1;

	j->objective_fraction = objective > 0 ? (double)age / (double)objective : 1;
	if (j->rec->has_long_running) {
		rank = 0;
		key = (uint64_t)spec->accepted_ms;
	} else if (!spec->occurrences && age > WORTHLESS_OBJECTIVES * objective) {
		rank = 3;
	} else if (!spec->occurrences && age > objective) {
		rank = 2;
	}
	if (key > WORK_MASK)
		key = WORK_MASK;
	return (uint64_t)(q ? q->priority : 0) << PRIORITY_SHIFT | rank << RANK_SHIFT |
	       key;
}

/* Steps of one class have the same priority of their queue and the same rank. */
uint64_t ds_step_class(const struct ds_step *st)
{
	return st->job->sort_key >> RANK_SHIFT;
}

static void ready_insert(struct dag_sched *s, struct ds_step *st)
{
	struct ds_step *other;

	TAILQ_FOREACH_REVERSE(other, &s->ready, ds_ready, entry)
	{
		if (other->job->sort_key <= st->job->sort_key) {
			TAILQ_INSERT_AFTER(&s->ready, other, st, entry);
			st->queued = true;
			return;
		}
	}
	TAILQ_INSERT_HEAD(&s->ready, st, entry);
	st->queued = true;
}

/* Whether a task needs a run: it has none, or needs a copy of its only run. */
bool ds_task_is_waiting(const struct ds_step *st, uint32_t index)
{
	struct dag_task_ref ref = {st->job->rec->id, st->occurrence, st->number, index};
	const struct ds_task *t = ds_job_find_task(st->job, &ref);
	const struct dag_task *task =
		dag_job_find_task(st->job->rec, st->occurrence, st->number, index);

	if (task->done || dag_task_is_held(task))
		return false;
	return !t->n_runs || (t->needs_copy && t->n_runs == 1);
}

/* Recounts a step's waiting tasks and adds it to or removes it from the ready list. */
void ds_step_refresh(struct dag_sched *s, struct ds_step *st)
{
	struct ds_job *j = st->job;
	uint32_t waiting = 0;
	bool wanted = !dag_job_ended(j->rec) && st->occurrence < j->next_occurrence &&
		      dag_job_step_ready(j->rec, st->occurrence, st->number);

	for (uint32_t i = 0; wanted && i < st->step->count; i++)
		waiting += ds_task_is_waiting(st, i);
	s->n_waiting += waiting;
	s->n_waiting -= st->n_waiting;
	j->org->n_waiting += waiting;
	j->org->n_waiting -= st->n_waiting;
	if (waiting && !st->n_waiting)
		st->waiting_since_us = s->now_us;
	st->n_waiting = waiting;
	if (waiting)
		s->placement_needed = true;
	if (waiting && !st->queued) {
		ready_insert(s, st);
	} else if (!waiting && st->queued) {
		TAILQ_REMOVE(&s->ready, st, entry);
		st->queued = false;
	}
}

/* Refreshes all steps of a job. */
void ds_job_refresh(struct dag_sched *s, struct ds_job *j)
{
	for (uint32_t i = 0; i < j->rec->n_occ * j->n_steps; i++)
		ds_step_refresh(s, &j->steps[i]);
}

static int compare_steps(const void *a, const void *b)
{
	const struct ds_step *x = *(struct ds_step *const *)a;
	const struct ds_step *y = *(struct ds_step *const *)b;

	if (x->job->sort_key != y->job->sort_key)
		return x->job->sort_key < y->job->sort_key ? -1 : 1;
	if (x->job->rec->id != y->job->rec->id)
		return x->job->rec->id < y->job->rec->id ? -1 : 1;
	if (x->occurrence != y->occurrence)
		return x->occurrence < y->occurrence ? -1 : 1;
	return (x->number > y->number) - (x->number < y->number);
}

/* Sorts the ready list by current sort keys, which change with the jobs' age. */
void ds_sort_ready(struct dag_sched *s)
{
	struct ds_step **list;
	struct ds_step *st;
	size_t n = 0;

	TAILQ_FOREACH (st, &s->ready, entry)
		n++;
	list = n ? malloc(n * sizeof(struct ds_step *)) : NULL;
	if (!list)
		return;
	n = 0;
	TAILQ_FOREACH (st, &s->ready, entry) {
		st->job->sort_key = job_sort_key(s, st->job);
		list[n++] = st;
	}
	qsort(list, n, sizeof(struct ds_step *), compare_steps);
	TAILQ_INIT(&s->ready);
	for (size_t i = 0; i < n; i++)
		TAILQ_INSERT_TAIL(&s->ready, list[i], entry);
	free(list);
}

/* Monotonic time when the next occurrence is due; INT64_MAX: none is left. */
int64_t ds_job_next_due_us(const struct dag_sched *s, const struct ds_job *j)
{
	int64_t due_ms;

	if (j->next_occurrence >= j->rec->n_occ || dag_job_ended(j->rec))
		return INT64_MAX;
	if (!j->rec->spec.occurrences)
		return s->now_us;
	due_ms = j->rec->spec.start_ms +
		 (int64_t)(j->next_occurrence * j->rec->spec.interval_ms);
	return s->now_us + (due_ms - s->wall_ms) * USEC_PER_MS;
}

/* Adds the leader's data of a job; the caller adds its recorded runs. CF_ENOMEM. */
int ds_job_new(struct dag_sched *s, struct dag_job_rec *rec, struct ds_job **out)
{
	struct ds_job *j = calloc(1, sizeof(*j));
	u_int n = rec->spec.steps.steps_len;

	if (!j)
		return CF_ENOMEM;
	TAILQ_INIT(&j->runs);
	j->rec = rec;
	j->org = ds_org_get(s, rec->org);
	j->n_steps = n;
	j->queue = dag_state_find_queue(s->state, &rec->queue);
	j->steps = calloc((size_t)rec->n_occ * n, sizeof(*j->steps));
	j->tasks = calloc((size_t)rec->n_occ * rec->n_tasks, sizeof(*j->tasks));
	if (!j->org || !j->steps || !j->tasks) {
		free(j->steps);
		free(j->tasks);
		free(j);
		return CF_ENOMEM;
	}
	for (uint32_t i = 0; i < rec->n_occ * n; i++) {
		j->steps[i].job = j;
		j->steps[i].occurrence = i / n;
		j->steps[i].number = i % n;
		j->steps[i].step = &rec->spec.steps.steps_val[i % n];
		j->steps[i].image = dag_interfere_image_index(
			s->interfere, XDR_STR(*j->steps[i].step, image));
	}
	j->sort_key = job_sort_key(s, j);
	rec->sched = j;
	TAILQ_INSERT_TAIL(&s->jobs, j, entry);
	*out = j;
	return 0;
}

/* Frees the leader's data of a job, with its runs and its ready steps. */
void ds_job_free(struct dag_sched *s, struct ds_job *j)
{
	struct ds_run *r;

	while ((r = TAILQ_FIRST(&j->runs)))
		ds_run_free(s, r);
	for (uint32_t i = 0; i < j->rec->n_occ * j->n_steps; i++) {
		s->n_waiting -= j->steps[i].n_waiting;
		j->org->n_waiting -= j->steps[i].n_waiting;
		if (j->steps[i].queued)
			TAILQ_REMOVE(&s->ready, &j->steps[i], entry);
		free(j->steps[i].wait);
	}
	TAILQ_REMOVE(&s->jobs, j, entry);
	j->rec->sched = NULL;
	free(j->steps);
	free(j->tasks);
	free(j);
}
