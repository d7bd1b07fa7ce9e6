/* Reports of workers: what of them is news, and which capacity they leave. */
#include <string.h>

#include "core/dag_sched_impl.h"
#include "proto/codec.h"

/* The sender of a report without an answer for this long reports to another controller.
 */
#define REPORT_LATE_MS 1000
/* A worker without a guard whose newest report is older gets no new runs. */
#define REPORT_AGE_MAX_HALF_INTERVALS 5
/* A worker's clock may be 2 % slow. */
#define SLOW_CLOCK_PERCENT 98

/* Clocks of hosts may differ, and jump by seconds. */
#define BORN_AHEAD_MAX_MS (24LL * 3600 * 1000)

static bool same_labels(const struct dag_worker *a, const struct dag_worker *b)
{
	if (a->labels.labels_len != b->labels.labels_len)
		return false;
	for (u_int i = 0; i < a->labels.labels_len; i++)
		if (!str_eq(XDR_STR(a->labels.labels_val[i], text),
			    XDR_STR(b->labels.labels_val[i], text)))
			return false;
	return true;
}

static bool is_same_place(const struct dag_worker *a, const struct dag_worker *b)
{
	return str_eq(XDR_STR(*a, address), XDR_STR(*b, address)) &&
	       str_eq(XDR_STR(*a, service), XDR_STR(*b, service));
}

/* Whether two descriptions of one worker say the same. */
bool dag_worker_equal(const struct dag_worker *a, const struct dag_worker *b)
{
	return a->born_ms == b->born_ms && a->state == b->state &&
	       a->cpu_milli == b->cpu_milli && a->mem_mb == b->mem_mb &&
	       a->gpus == b->gpus && is_same_place(a, b) &&
	       str_eq(XDR_STR(*a, zone), XDR_STR(*b, zone)) && same_labels(a, b);
}

struct ds_capacity ds_capacity_of(const struct dag_worker *w)
{
	return (struct ds_capacity){w->cpu_milli, w->mem_mb, w->gpus};
}

struct ds_capacity ds_capacity_min(const struct ds_capacity *a,
				   const struct ds_capacity *b)
{
	return (struct ds_capacity){
		a->cpu_milli < b->cpu_milli ? a->cpu_milli : b->cpu_milli,
		a->mem_mb < b->mem_mb ? a->mem_mb : b->mem_mb,
		a->gpus < b->gpus ? a->gpus : b->gpus,
	};
}

/*
 * Least time that has passed since a life of a worker sent a report, in milliseconds on
 * the clock of that life; INT64_MAX: its clock is not known.
 */
static int64_t report_age_ms(const struct dag_sched *s, const struct ds_worker *w,
			     int64_t born_ms, int64_t report_clock_ms)
{
	int64_t passed_ms =
		(s->now_us - w->clock_us) * SLOW_CLOCK_PERCENT / 100 / USEC_PER_MS;

	if (!w->clock_known || w->clock_born_ms != born_ms ||
	    !dag_time_valid(report_clock_ms))
		return INT64_MAX;
	return w->clock_ms + passed_ms - report_clock_ms;
}

/*
 * Whether the capacity of a worker is known well enough to start runs there. A worker
 * without a guard starts what does not fit, so a report must have come of late.
 */
bool ds_worker_capacity_known(const struct dag_sched *s, const struct ds_worker *w)
{
	int64_t max_us = s->opt.report_interval_us * REPORT_AGE_MAX_HALF_INTERVALS / 2;

	if (w->guarded)
		return true;
	return w->report_born_ms &&
	       report_age_ms(s, w, w->report_born_ms, w->report_clock_ms) <=
		       max_us / USEC_PER_MS;
}

/* Whether a report that was sent later has come before. */
static bool is_overtaken(const struct ds_worker *w, const struct dag_report *r)
{
	int64_t born_ms = r->worker.born_ms;

	return born_ms < w->report_born_ms ||
	       (born_ms == w->report_born_ms && r->clock_ms < w->report_clock_ms);
}

/* Whether a newer report came before, or may have come to another controller. */
static bool is_late(const struct dag_sched *s, const struct ds_worker *w,
		    const struct dag_report *r)
{
	int64_t born_ms = r->worker.born_ms;

	if (is_overtaken(w, r))
		return true;
	/* The first report of a new life is all that is known of it. */
	return born_ms == w->rec->w.born_ms &&
	       report_age_ms(s, w, born_ms, r->clock_ms) > REPORT_LATE_MS;
}

/*
 * Takes the capacity of a report. A late one may tell of a capacity that has shrunk
 * since, so it can only lower what is known; the next report corrects that.
 */
static void take_capacity(struct dag_sched *s, struct ds_worker *w,
			  const struct dag_report *r)
{
	struct ds_capacity reported = ds_capacity_of(&r->worker);
	bool known = ds_worker_capacity_known(s, w);

	if (is_late(s, w, r))
		reported = ds_capacity_min(&reported, &w->reported);
	if (!is_overtaken(w, r)) {
		w->report_born_ms = r->worker.born_ms;
		w->report_clock_ms = r->clock_ms;
	}
	if (!known && ds_worker_capacity_known(s, w))
		s->placement_needed = true;
	if (memcmp(&reported, &w->reported, sizeof(reported)) == 0)
		return;
	w->reported = reported;
	ds_worker_refresh(s, w);
}

/*
 * Whether the times of a report can be those of a worker. One that has a start in the
 * future would make all later reports under its id old.
 */
bool dag_report_valid(const struct dag_report *r, int64_t wall_ms)
{
	return dag_time_valid(r->clock_ms) && r->worker.born_ms >= 0 &&
	       r->worker.born_ms <= wall_ms + BORN_AHEAD_MAX_MS;
}

/*
 * Whether a report was sent before one of the same life that told of its draining. The
 * record of that may not be committed yet.
 */
static bool undoes_draining(struct ds_worker *w, const struct dag_worker *reported)
{
	bool same_life = w->drain_reported && w->drain_born_ms == reported->born_ms;

	if (reported->state != DAG_WORKER_DRAINING)
		return same_life;
	w->drain_reported = true;
	w->drain_born_ms = reported->born_ms;
	return false;
}

/*
 * Whether a report under the id of a worker at work names another address or service,
 * which a life keeps. Its sender is another process; the worker's own replies tell when
 * it has ended.
 */
static bool is_of_another(const struct ds_worker *w, const struct dag_worker *reported)
{
	bool at_work =
		w->n_runs || (w->rec->w.state != DAG_WORKER_GONE && !w->poll_failures);

	return at_work && !is_same_place(&w->rec->w, reported);
}

/*
 * Whether nothing but a report that may have been another's tells of the recorded worker:
 * it has never replied, and this report names another place.
 */
static bool is_unproved(const struct ds_worker *w, const struct dag_worker *reported)
{
	return !w->n_runs && !w->clock_known && !is_same_place(&w->rec->w, reported) &&
	       (w->poll_failures || w->rec->w.state == DAG_WORKER_GONE);
}

/*
 * Takes a report that came to any controller. Returns whether it says something that is
 * to be recorded; news then describes the worker, with strings of the report.
 */
bool dag_sched_report(struct dag_sched *s, const struct dag_report *r, int64_t now_us,
		      struct dag_worker *news)
{
	const struct dag_worker_rec *rec =
		dag_state_find_worker_by_id(s->state, XDR_STR(r->worker, id));
	struct ds_worker *w = rec ? rec->sched : NULL;

	s->now_us = now_us;
	*news = r->worker;
	if ((!w || !is_same_place(&w->rec->w, &r->worker)) &&
	    !dag_state_service_named(s->state, XDR_STR(r->worker, service)))
		return false;
	if (w && is_of_another(w, &r->worker)) {
		s->host->ops->log_event(s->host, "report-ignored", NULL, 0,
					XDR_STR(r->worker, id),
					"another address or service", r->worker.born_ms);
		if (!w->poll_in_flight)
			w->next_poll_us = now_us;
		return false;
	}
	if (w && is_unproved(w, &r->worker))
		return true;
	if (dag_state_is_old_report(s->state, &r->worker)) {
		dag_sched_worker_contradicted(s, r);
		return false;
	}
	if (!w)
		return true;
	dag_sched_worker_reported(s, rec->number, now_us);
	take_capacity(s, w, r);
	if (undoes_draining(w, &r->worker))
		return false;
	news->cpu_milli = w->reported.cpu_milli;
	news->mem_mb = w->reported.mem_mb;
	news->gpus = w->reported.gpus;
	return !dag_worker_equal(&rec->w, news);
}

/*
 * A report came that is older than what is recorded. If a worker that is recorded as gone
 * reports itself ready, its leaving may have been meant for an earlier life under the
 * same id, or its time of day has been set back since, so it is polled.
 */
void dag_sched_worker_contradicted(struct dag_sched *s, const struct dag_report *r)
{
	const struct dag_worker_rec *rec =
		dag_state_find_worker_by_id(s->state, XDR_STR(r->worker, id));
	struct ds_worker *w = rec ? rec->sched : NULL;

	if (!w || w->n_runs || rec->w.state != DAG_WORKER_GONE ||
	    r->worker.state != DAG_WORKER_READY)
		return;
	if (r->worker.born_ms == rec->w.born_ms)
		take_capacity(s, w, r);
	if (w->poll_in_flight)
		return;
	w->contradicted = true;
	w->next_poll_us = s->now_us;
}
