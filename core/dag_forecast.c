/* When places for the tasks of a step become free in a rack. */
#include <math.h>
#include <stdlib.h>

#include "core/dag_sched_impl.h"
#include "proto/codec.h"

/* Of the times up to the latest end, to a few milliseconds. */
#define BISECTIONS 16

/* What a worker has free, with what runs release that are expected to have ended. */
struct room {
	int64_t cpu;
	int64_t mem;
	int64_t gpus;
	int64_t step_runs; /* of the step that is forecast */
	size_t places;
};

struct release {
	struct dag_time_estimate at; /* from now on */
	size_t room;
	int64_t cpu;
	int64_t mem;
	int64_t gpus;
	int64_t step_runs;
};

struct forecast {
	const struct ds_step *st;
	struct room *rooms;
	struct release *releases;
	size_t n_rooms;
	size_t n_releases;
};

static int64_t factor_of(const struct dag_sched *s, const struct ds_run *r)
{
	struct str rack = XDR_STR(*r->step, data_rack);

	return rack.n && !ds_worker_has_label(r->worker, rack) ? s->opt.cross_rack_milli
							       : 1000;
}

struct dag_time_estimate ds_step_run_time(const struct dag_sched *s,
					  const struct ds_job *j,
					  const struct dag_step *step)
{
	return dag_runtime_of(&s->state->runtime, j->rec->queue.high, j->rec->queue.low,
			      step->estimate_ms);
}

/* Expected rest of a run on the worker where it is. */
static struct dag_time_estimate run_left(const struct dag_sched *s,
					 const struct ds_run *r)
{
	struct dag_time_estimate total = ds_step_run_time(s, r->job, r->step);
	int64_t begun_us = r->start_sent_us ? r->start_sent_us : r->created_us;
	struct dag_run_age age = {.age_us = s->now_us - begun_us, .progress_percent = -1};

	total.mean_us = total.mean_us * factor_of(s, r) / 1000;
	total.sd_us = total.sd_us * factor_of(s, r) / 1000;
	if (r->progress_clock_ms && r->worker->clock_known &&
	    r->worker->clock_ms >= r->progress_clock_ms) {
		int64_t seen_us =
			r->worker->clock_us -
			(r->worker->clock_ms - r->progress_clock_ms) * USEC_PER_MS;

		age.progress_percent = r->progress_percent;
		age.progress_age_us = seen_us - begun_us;
	}
	return dag_runtime_left(&total, &age);
}

static size_t fits_in(const struct room *room, const struct dag_step *step)
{
	int64_t n = DS_FORECAST_MAX;

	if (step->cpu_milli && room->cpu / step->cpu_milli < n)
		n = room->cpu / step->cpu_milli;
	if (step->mem_mb && room->mem / step->mem_mb < n)
		n = room->mem / step->mem_mb;
	if (step->gpus && room->gpus / step->gpus < n)
		n = room->gpus / step->gpus;
	if (step->max_per_worker && (int64_t)step->max_per_worker - room->step_runs < n)
		n = (int64_t)step->max_per_worker - room->step_runs;
	return room->cpu < 0 || room->mem < 0 || room->gpus < 0 || n < 0 ? 0 : (size_t)n;
}

/* Adds the release of a run whose end can be foreseen. */
static void add_run(const struct dag_sched *s, struct forecast *f, const struct ds_run *r)
{
	const struct dag_step *step = r->step;
	struct release *rel = &f->releases[f->n_releases];

	if (step->long_running || r->released || !step->estimate_ms)
		return;
	*rel = (struct release){.room = f->n_rooms, .mem = step->mem_mb};
	rel->gpus = step->gpus;
	rel->step_runs = ds_is_run_of_step(r, f->st);
	if (!step->filler)
		rel->cpu = step->cpu_milli;
	else if (f->st->step->filler)
		rel->cpu = ds_filler_cpu(r);
	rel->at = run_left(s, r);
	f->n_releases++;
}

static void add_worker(const struct dag_sched *s, struct forecast *f, struct ds_worker *w)
{
	struct ds_room free = ds_worker_room(w, f->st->step);
	struct ds_run *r;

	f->rooms[f->n_rooms] = (struct room){free.cpu, free.mem, free.gpus,
					     ds_count_step_runs(w, f->st), 0};
	TAILQ_FOREACH (r, &w->runs, worker_entry)
		add_run(s, f, r);
	f->n_rooms++;
}

static int compare_releases(const void *a, const void *b)
{
	const struct release *x = a;
	const struct release *y = b;

	if (x->at.mean_us != y->at.mean_us)
		return x->at.mean_us < y->at.mean_us ? -1 : 1;
	return (x->room > y->room) - (x->room < y->room);
}

static bool is_candidate(const struct dag_sched *s, const struct ds_worker *w,
			 const struct ds_step *st, struct str rack)
{
	return ds_worker_has_label(w, rack) && ds_worker_may_take(s, w, st);
}

/* Allocates for all candidates. false: there is none, or no memory. */
static bool open_forecast(const struct dag_sched *s, struct forecast *f, struct str rack)
{
	size_t n = 0, runs = 0;

	for (size_t i = 0; i < s->n_workers; i++)
		if (is_candidate(s, s->workers[i], f->st, rack)) {
			n++;
			runs += s->workers[i]->n_runs;
		}
	if (!n)
		return false;
	f->rooms = calloc(n, sizeof(*f->rooms));
	f->releases = calloc(runs + 1, sizeof(*f->releases));
	if (!f->rooms || !f->releases)
		return false;
	for (size_t i = 0; i < s->n_workers; i++)
		if (is_candidate(s, s->workers[i], f->st, rack))
			add_worker(s, f, s->workers[i]);
	qsort(f->releases, f->n_releases, sizeof(*f->releases), compare_releases);
	return true;
}

/*
 * Collects the ends of runs after which tasks of a step have a place on the workers of a
 * rack, the earliest first; places that are free now come first. Runs are taken to end in
 * the order of their expected ends; those without a known end never free a place. Work:
 * the workers, and the runs of the rack.
 */
void ds_forecast_open(const struct dag_sched *s, const struct ds_step *st,
		      struct str rack, struct ds_forecast *out)
{
	struct forecast f = {.st = st};
	size_t n = 0;

	if (!open_forecast(s, &f, rack))
		goto out;
	for (size_t i = 0; i < f.n_rooms; i++) {
		f.rooms[i].places = fits_in(&f.rooms[i], st->step);
		for (size_t k = 0; k < f.rooms[i].places && n < DS_FORECAST_MAX; k++)
			out->place[n++] = (struct dag_time_estimate){0, 0};
	}
	for (size_t i = 0; i < f.n_releases && n < DS_FORECAST_MAX; i++) {
		const struct release *rel = &f.releases[i];
		struct room *room = &f.rooms[rel->room];
		size_t places;

		room->cpu += rel->cpu;
		room->mem += rel->mem;
		room->step_runs -= rel->step_runs;
		room->gpus += rel->gpus;
		places = fits_in(room, st->step);
		for (; room->places < places && n < DS_FORECAST_MAX; room->places++)
			out->place[n++] = rel->at;
	}
out:
	out->n = n;
	free(f.rooms);
	free(f.releases);
}

/* Whether more than k places are free at a time, with a margin in standard deviations. */
static bool has_free(const struct ds_forecast *f, size_t k, double at_us, double margin)
{
	double sum = 0, var = 0;

	for (size_t i = 0; i < f->n; i++) {
		double sd = (double)f->place[i].sd_us;
		double x = (at_us - (double)f->place[i].mean_us) / (sd > 1 ? sd : 1);
		double p = x > 4 ? 1 : x < -4 ? 0 : 0.5 * erfc(-x * M_SQRT1_2);

		sum += p;
		var += p * (1 - p);
	}
	/* Half a place is the continuity correction of the normal approximation. */
	return sum - margin * sqrt(var) >= (double)k + 0.5;
}

static double find_time(const struct ds_forecast *f, size_t k, double from_us,
			double margin)
{
	double low = from_us, high = from_us;

	if (has_free(f, k, from_us, margin))
		return from_us;
	for (size_t i = 0; i < f->n; i++)
		high = fmax(high, (double)f->place[i].mean_us +
					  4.0 * (double)f->place[i].sd_us + 4);
	for (unsigned int i = 0; i < BISECTIONS; i++) {
		double middle = (low + high) / 2;

		if (has_free(f, k, middle, margin))
			high = middle;
		else
			low = middle;
	}
	return high;
}

/*
 * When the place after k others is expected to be free. Each of the runs may be the first
 * to end, so with many of them the time is sooner, and better known, than the end of the
 * run that is expected first. The number of ends by a time is taken to be normally
 * distributed. false: so many places are not foreseen.
 */
bool ds_forecast_nth(const struct ds_forecast *f, size_t k, struct dag_time_estimate *out)
{
	double mean, late;

	if (k >= f->n)
		return false;
	mean = find_time(f, k, 0, 0);
	late = find_time(f, k, mean, 1);
	*out = (struct dag_time_estimate){(int64_t)mean, (int64_t)(late - mean)};
	return true;
}
