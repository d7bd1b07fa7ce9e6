#include "core/sched_impl.h"

#define EVICT_WORKERS 256 /* workers examined for one eviction */
#define MAX_VICTIMS 16
/* Stopping tasks of another team counts as more expensive. */
#define OTHER_TEAM_FACTOR 2.0
#define DEADLINE_FACTOR 2.0
#define VICTIM_BASE_US 1e6 /* fixed cost of an eviction, in addition to lost work */

struct victims {
	struct task *task[MAX_VICTIMS];
	unsigned int n;
	double cost;
};

/* Cost of stopping an attempt: the work since its last checkpoint. */
static double victim_cost(const struct task *t, const struct task *v, int64_t now_us)
{
	double c = VICTIM_BASE_US;

	if (v->saved_us)
		c += (double)(now_us - v->saved_us);
	if (v->key.job->team != t->key.job->team)
		c *= OTHER_TEAM_FACTOR;
	if (v->key.job->opt.deadline_us)
		c *= DEADLINE_FACTOR;
	return c * (1 + (double)v->key.job->opt.priority / 100);
}

static bool is_victim(const struct task *v)
{
	return v->key.job->opt.class == SCHED_BATCH && !v->stop && v->phase != P_PROPOSED;
}

static bool is_chosen(const struct victims *v, const struct task *t)
{
	for (unsigned int i = 0; i < v->n; i++)
		if (v->task[i] == t)
			return true;
	return false;
}

/* Selects the cheapest batch tasks that make room; false if there are not enough. */
static bool pick_victims(const struct task *t, const struct worker *w, int64_t now_us,
			 struct victims *out)
{
	struct sched_size used = w->used;

	size_add(&used, w->unowned);
	size_sub(&used, w->reclaim);
	out->n = 0;
	out->cost = 0;
	while (!size_fits(t->key.job->opt.size, used, w->capacity)) {
		struct task *best = NULL;
		double best_cost = 0;
		struct task *v;

		if (out->n == MAX_VICTIMS)
			return false;
		TAILQ_FOREACH (v, &w->tasks, worker_entry) {
			double c;

			if (!is_victim(v) || is_chosen(out, v))
				continue;
			c = victim_cost(t, v, now_us);
			if (!best || c < best_cost) {
				best = v;
				best_cost = c;
			}
		}
		if (!best)
			return false;
		out->task[out->n++] = best;
		out->cost += best_cost;
		size_sub(&used, best->key.job->opt.size);
	}
	return true;
}

/*
 * Stops batch tasks to make room for the task and returns their worker, NULL if none.
 * The caller binds the task there at once; its start command is held until they have
 * ended.
 */
struct worker *evict_for_task(struct sched *s, struct task *t, int64_t now_us)
{
	struct victims best = {.n = 0};
	struct worker *found = NULL;
	unsigned int seen = 0;

	for (unsigned int n = 0; n < s->nzones && seen < EVICT_WORKERS; n++) {
		struct zone *z = s->zone_by_index[(s->first_zone + n) % s->nzones];
		struct worker *w;

		if (zone_is_out(t->key.job->team, z))
			continue;
		TAILQ_FOREACH (w, &z->workers, zone_entry) {
			struct victims v;

			s->stats.examined++;
			if (!fit_allowed(s, t, w, now_us) ||
			    !pick_victims(t, w, now_us, &v))
				continue;
			if (!found || v.cost < best.cost) {
				found = w;
				best = v;
			}
			if (++seen >= EVICT_WORKERS)
				break;
		}
	}
	s->first_zone++;
	if (!found)
		return NULL;
	for (unsigned int i = 0; i < best.n; i++) {
		task_set_reclaim(best.task[i], true);
		s->stats.evictions++;
		task_stop(s, best.task[i], SCHED_R_EVICTED, now_us);
	}
	return found;
}
