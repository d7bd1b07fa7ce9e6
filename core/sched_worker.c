#include <stdlib.h>

#include "base/err.h"
#include "core/sched_impl.h"

/* Finds a worker by name or creates it without a zone. Returns NULL if out of memory. */
struct worker *worker_get(struct sched *s, struct str name)
{
	struct worker *w;

	HASH_FIND(hh, s->workers, name.p, name.n, w);
	if (w)
		return w;
	w = calloc(1, sizeof(*w));
	if (!w)
		return NULL;
	w->name = str_dup(name);
	if (!w->name) {
		free(w);
		return NULL;
	}
	w->len = name.n;
	w->id = ++s->next_id;
	TAILQ_INIT(&w->tasks);
	HASH_ADD_KEYPTR(hh, s->workers, w->name, w->len, w);
	s->stats.bytes += sizeof(*w) + name.n + 1;
	return w;
}

static unsigned int bucket_of(const struct worker *w)
{
	uint64_t used = (uint64_t)w->used.cpu_milli + w->unowned.cpu_milli;
	uint64_t n = 0;

	if (used < w->capacity.cpu_milli)
		n = (w->capacity.cpu_milli - used) / 1000;
	return n < FREE_BUCKETS ? (unsigned int)n : FREE_BUCKETS - 1;
}

/* Indexes a usable worker by free CPUs; removes one that can take no tasks. */
void worker_update_index(struct sched *s, struct worker *w)
{
	bool usable = w->leased && w->seen && w->health != H_QUARANTINED;
	unsigned int b = bucket_of(w);

	if (w->indexed && usable && w->bucket == b)
		return;
	if (w->indexed)
		TAILQ_REMOVE(&w->zone->free[w->bucket], w, free_entry);
	w->indexed = usable;
	w->bucket = (uint8_t)b;
	if (usable)
		TAILQ_INSERT_TAIL(&w->zone->free[b], w, free_entry);
}

/*
 * Requests another try for parked jobs (those that fit on no worker), since they may fit
 * on the released capacity.
 */
void worker_capacity_released(struct sched *s, struct worker *w)
{
	if (w->zone)
		worker_update_index(s, w);
	s->generation++;
	s->work_left = true;
}

/*
 * Marks the tasks of a worker as lost. lease_end_us includes a margin for clock drift, so
 * the lease has expired on the clock of the worker too, and none of them is running.
 */
static void lose_tasks(struct sched *s, struct worker *w, int64_t now_us)
{
	struct task *t;
	struct task *next;

	for (t = TAILQ_FIRST(&w->tasks); t; t = next) {
		next = TAILQ_NEXT(t, worker_entry);
		suspect_count_loss(s, t, false, now_us);
		task_lost(s, t, now_us);
	}
	suspects_worker_lost(s, now_us);
	w->unowned = (struct sched_size){0};
}

static void worker_lost(struct sched *s, struct worker *w, int64_t now_us)
{
	w->leased = false;
	if (w->seen) {
		size_sub(&s->total, w->capacity);
		s->stats.workers--;
	}
	/* A lost worker is no longer quarantined; if it returns, it is on probation. */
	if (w->health == H_QUARANTINED) {
		w->health = H_PROBATION;
		s->stats.workers_quarantined--;
	}
	if (w->zone)
		worker_update_index(s, w);
	lose_tasks(s, w, now_us);
}

/* Handles the loss of workers whose lease has expired, a limited number per step. */
void workers_expire_step(struct sched *s, int64_t now_us)
{
	unsigned int n = 0;
	struct worker *w;

	while ((w = TAILQ_FIRST(&s->inherited)) && w->lease_end_us <= now_us) {
		if (n++ == STEP_LOST_WORKERS) {
			s->work_left = true;
			return;
		}
		TAILQ_REMOVE(&s->inherited, w, lease_entry);
		worker_lost(s, w, now_us);
	}
	while ((w = TAILQ_FIRST(&s->leases)) && w->lease_end_us <= now_us) {
		if (n++ == STEP_LOST_WORKERS) {
			s->work_left = true;
			return;
		}
		TAILQ_REMOVE(&s->leases, w, lease_entry);
		worker_lost(s, w, now_us);
	}
}

/*
 * Handles workers that have not polled for SILENT_POLLS poll intervals: withdraws their
 * attempts that were not issued yet, so that these start elsewhere before the lease ends.
 */
void workers_silent_step(struct sched *s, int64_t now_us)
{
	struct worker *w;

	TAILQ_FOREACH (w, &s->leases, lease_entry) {
		struct task *t;
		struct task *next;

		if (now_us - w->polled_us < s->opt.poll_us * SILENT_POLLS)
			return;
		if (w->silent)
			continue;
		w->silent = true;
		for (t = TAILQ_FIRST(&w->tasks); t; t = next) {
			next = TAILQ_NEXT(t, worker_entry);
			if (task_never_issued(t))
				task_stop(s, t, SCHED_R_NOT_STARTED, now_us);
		}
	}
}

/*
 * Renews the lease of a worker that has polled. The worker counts the lease from the time
 * when it sent the poll, so on the worker the lease ends before lease_end_us.
 */
void worker_renew_lease(struct sched *s, struct worker *w, int64_t now_us)
{
	if (w->leased)
		TAILQ_REMOVE(w->seen ? &s->leases : &s->inherited, w, lease_entry);
	/* A silent worker takes tasks again, so parked jobs may fit. */
	if (now_us - w->polled_us >= s->opt.poll_us * SILENT_POLLS) {
		s->generation++;
		s->work_left = true;
	}
	if (!w->leased || !w->seen) {
		size_add(&s->total, w->capacity);
		s->stats.workers++;
		s->generation++;
		s->work_left = true;
	}
	w->leased = true;
	w->seen = true;
	w->lease_end_us = now_us + sched_max_wait_us(s->opt.lease_us);
	w->polled_us = now_us;
	w->silent = false;
	TAILQ_INSERT_TAIL(&s->leases, w, lease_entry);
}

/* Updates zone, rack, capacity and totals from a report. Returns 0 or CF_ENOMEM. */
int worker_update_location(struct sched *s, struct worker *w,
			   const struct sched_worker_report *r)
{
	struct zone *z = zone_get(s, r->zone);
	struct rack *rack = rack_get(s, r->rack);

	if (!z || !rack)
		return CF_ENOMEM;
	if (w->zone != z || w->rack != rack) {
		struct task *t;

		TAILQ_FOREACH (t, &w->tasks, worker_entry)
			task_uncount_spread(t);
		if (w->indexed)
			TAILQ_REMOVE(&w->zone->free[w->bucket], w, free_entry);
		w->indexed = false;
		if (w->zone) {
			TAILQ_REMOVE(&w->zone->workers, w, zone_entry);
			w->zone->nworkers--;
		}
		w->zone = z;
		w->rack = rack;
		TAILQ_INSERT_TAIL(&z->workers, w, zone_entry);
		z->nworkers++;
		TAILQ_FOREACH (t, &w->tasks, worker_entry)
			task_count_spread(t);
	}
	if (!size_covers(w->capacity, r->capacity) ||
	    !size_covers(r->capacity, w->capacity)) {
		if (w->leased && w->seen) {
			size_sub(&s->total, w->capacity);
			size_add(&s->total, r->capacity);
		}
		w->capacity = r->capacity;
		s->generation++;
	}
	fit_add_capacity(s, r->capacity);
	return 0;
}
