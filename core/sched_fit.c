#include "core/sched_impl.h"

#define COST_RACK 4.0	     /* for each executor of the service in the same rack */
#define COST_FULL 1.0	     /* for a completely used worker */
#define COST_ACCELERATOR 2.0 /* for other tasks on a worker with accelerators */

struct choice {
	struct worker *worker;
	double cost;
	unsigned int seen;
	unsigned int limit;
};

static bool failed_on_worker(const struct task *t, const struct worker *w)
{
	for (uint8_t i = 0; i < t->nfailed_on; i++)
		if (t->failed_on[i] == w)
			return true;
	return suspect_lost_on(t, w);
}

/* Whether the worker may take the task, capacity aside. */
bool fit_allowed(const struct sched *s, const struct task *t, const struct worker *w,
		 int64_t now_us)
{
	const struct team *team = t->key.job->team;

	return w->leased && w->seen &&
	       now_us - w->polled_us < s->opt.poll_us * SILENT_POLLS &&
	       !zone_is_out(team, w->zone) &&
	       !zone_ramp_exhausted(s, team, w->zone, now_us) &&
	       quarantine_allows(s, w, now_us) && suspect_allows(t, w, now_us);
}

/* Whether the task fits in addition to everything that may be running. */
bool fit_free_capacity(const struct task *t, const struct worker *w)
{
	struct sched_size used = w->used;

	size_add(&used, w->unowned);
	return size_fits(t->key.job->opt.size, used, w->capacity);
}

/* Whether the job fits on a worker that is known, be it silent now. */
bool fit_possible(const struct sched *s, const struct job *j)
{
	return capacity_may_fit(&s->capacities, j->opt.size);
}

/* Notes a worker's capacity; jobs larger than all of them are rejected. */
void fit_add_capacity(struct sched *s, struct sched_size capacity)
{
	if (capacity_add(&s->capacities, capacity))
		s->capacities_changed = true;
}

/*
 * Initial load: notes a capacity that an earlier leader recorded, so that a job for
 * which a silent worker is large enough is not rejected.
 */
void sched_load_capacity(struct sched *s, struct sched_size capacity)
{
	capacity_add(&s->capacities, capacity);
}

/* Records the capacities after a change; what could not be proposed is tried again. */
void fit_propose_capacities(struct sched *s)
{
	const struct sched_ops *ops = s->opt.host->ops;

	if (!s->capacities_changed || !ops->record_capacity)
		return;
	for (unsigned int i = 0; i < s->capacities.n; i++) {
		if (ops->record_capacity(s->opt.host, s->capacities.size[i])) {
			s->work_left = true;
			return;
		}
	}
	s->capacities_changed = false;
}

/* Returns the cost of placing the task on the worker; smaller is better. */
static double placement_cost(const struct sched *s, const struct task *t,
			     const struct worker *w)
{
	const struct job *j = t->key.job;
	double c = COST_FULL * size_share(w->used, w->capacity);

	if (j->opt.class == SCHED_LATENCY && w->rack->index < j->rack_cap)
		c += COST_RACK * j->rack_count[w->rack->index];
	if (!j->opt.size.accelerators && w->capacity.accelerators)
		c += COST_ACCELERATOR;
	return c + interfere_cost(s, t, w);
}

static void scan_zone(struct sched *s, struct task *t, struct zone *z, bool avoid,
		      int64_t now_us, struct choice *best)
{
	uint32_t cores = t->key.job->opt.size.cpu_milli / 1000;
	uint32_t need = cores < FREE_BUCKETS ? cores : FREE_BUCKETS - 1;
	struct worker *w;

	/* Emptiest workers first, to spread the load. */
	for (unsigned int b = FREE_BUCKETS; b-- > need;) {
		TAILQ_FOREACH (w, &z->free[b], free_entry) {
			double c;

			s->stats.examined++;
			if (!fit_free_capacity(t, w) || !fit_allowed(s, t, w, now_us) ||
			    (avoid && failed_on_worker(t, w)))
				continue;
			if (s->opt.first_fit) {
				best->worker = w;
				return;
			}
			c = placement_cost(s, t, w);
			if (!best->worker || c < best->cost) {
				best->worker = w;
				best->cost = c;
			}
			if (++best->seen >= best->limit)
				return;
		}
	}
}

/* Searches the zones in ascending order of the service's executors there. */
static struct worker *find_spread(struct sched *s, struct task *t, bool avoid,
				  int64_t now_us)
{
	const struct job *j = t->key.job;
	uint64_t visited = 0;

	for (unsigned int n = 0; n < s->nzones; n++) {
		struct choice best = {.limit = CANDIDATES};
		struct zone *z = NULL;

		for (unsigned int i = 0; i < s->nzones; i++) {
			struct zone *y = s->zone_by_index[i];

			if ((visited >> i) & 1)
				continue;
			if (!z || j->zone_count[i] < j->zone_count[z->index])
				z = y;
		}
		visited |= 1ULL << z->index;
		if (zone_is_out(j->team, z))
			continue;
		scan_zone(s, t, z, avoid, now_us, &best);
		if (best.worker)
			return best.worker;
	}
	return NULL;
}

/* Whether a worker of the zone can hold the task now. */
bool fit_in_zone(struct sched *s, struct task *t, struct zone *z, int64_t now_us)
{
	struct choice best = {.limit = 1};

	scan_zone(s, t, z, false, now_us, &best);
	return best.worker;
}

static struct worker *find_any(struct sched *s, struct task *t, bool avoid,
			       int64_t now_us)
{
	const struct job *j = t->key.job;
	struct choice best = {0};

	if (s->nzones)
		best.limit = CANDIDATES / s->nzones;
	if (best.limit < ZONE_CANDIDATES)
		best.limit = ZONE_CANDIDATES;
	for (unsigned int n = 0; n < s->nzones; n++) {
		struct zone *z = s->zone_by_index[(s->first_zone + n) % s->nzones];

		if (zone_is_out(j->team, z))
			continue;
		/* Each zone contributes candidates, however many the first ones have. */
		best.seen = 0;
		scan_zone(s, t, z, avoid, now_us, &best);
		if (s->opt.first_fit && best.worker)
			break;
	}
	if (!s->opt.first_fit)
		s->first_zone++;
	return best.worker;
}

/*
 * Returns a worker that can hold the task now, NULL when there is none. Workers on
 * which the task failed, or which were lost under it, are taken only when no other fits.
 */
struct worker *fit_find_worker(struct sched *s, struct task *t, int64_t now_us)
{
	bool spread = t->key.job->opt.class == SCHED_LATENCY && !s->opt.first_fit;
	struct worker *w;

	w = spread ? find_spread(s, t, true, now_us) : find_any(s, t, true, now_us);
	if (!w && (t->nfailed_on || t->nloss))
		w = spread ? find_spread(s, t, false, now_us)
			   : find_any(s, t, false, now_us);
	return w;
}
