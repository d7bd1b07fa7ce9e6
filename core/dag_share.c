/*
 * Order of placement among organisations when not all waiting tasks fit: dominant
 * resource fairness (A. Ghodsi et al., Dominant Resource Fairness: Fair Allocation of
 * Multiple Resource Types, NSDI 2011) with weights, for what organisations use above
 * their fair share. Steps of a lower priority or rank are tried after all others, and the
 * order within an organisation is that of the ready list.
 */
#include <math.h>

#include "core/dag_sched_impl.h"

/*
 * An organisation may take this part of the cluster in one turn, even if another one then
 * has less. It bounds the turns of a pass, each of which scores all workers anew.
 */
#define TURN_SHARE (1.0 / 1024)

static double fraction(uint64_t used, uint64_t all)
{
	return all ? (double)used / (double)all : 0;
}

/* The largest of an organisation's fractions of the cluster, divided by its weight. */
double ds_weighted_share(const struct ds_org *o, const struct ds_usage *cluster)
{
	double cpu = fraction(o->used.cpu_milli, cluster->cpu_milli);
	double mem = fraction(o->used.mem_mb, cluster->mem_mb);
	double gpus = fraction(o->used.gpus, cluster->gpus);

	return fmax(cpu, fmax(mem, gpus)) / ds_org_weight(o);
}

/* Jobs without an organisation have weight 1 together. */
double ds_org_weight(const struct ds_org *o)
{
	return o->rec && o->rec->weight ? o->rec->weight : 1;
}

/*
 * Whether an organisation comes before another one. Those below their fair share come
 * first, in the order of the ready list, which completes more jobs than equal progress of
 * all; the others by their share.
 */
static bool is_before(const struct ds_org *a, double share_a, const struct ds_org *b,
		      double share_b, double fair)
{
	if ((share_a < fair) != (share_b < fair))
		return share_a < fair;
	if (share_a >= fair && share_a != share_b)
		return share_a < share_b;
	return TAILQ_FIRST(&a->steps)->job->sort_key <
	       TAILQ_FIRST(&b->steps)->job->sort_key;
}

/*
 * The organisation whose turn it is, of a list that is not empty. Its turn lasts until
 * its weighted share is above turn_end: the fair one, or that of the next organisation,
 * and a little more than its own at least.
 */
struct ds_org *ds_choose_org(const struct ds_orgs *active, const struct ds_usage *cluster,
			     double fair, double *turn_end)
{
	struct ds_org *best = TAILQ_FIRST(active);
	double least = ds_weighted_share(best, cluster);
	double second = INFINITY;
	struct ds_org *o = best;

	while ((o = TAILQ_NEXT(o, active_entry))) {
		double share = ds_weighted_share(o, cluster);

		if (is_before(o, share, best, least, fair)) {
			second = least;
			least = share;
			best = o;
		} else if (share < second) {
			second = share;
		}
	}
	*turn_end = fmax(least < fair ? fair : second,
			 least + TURN_SHARE / ds_org_weight(best));
	return best;
}

/* Weighted share of each organisation with jobs if all had their parts. */
static double fair_share(const struct dag_sched *s)
{
	const struct ds_org *o;
	double weights = 0;

	TAILQ_FOREACH (o, &s->orgs, entry)
		if (o->n_runs || o->n_waiting)
			weights += ds_org_weight(o);
	if (s->no_org.n_runs || s->no_org.n_waiting)
		weights += ds_org_weight(&s->no_org);
	return weights > 0 ? 1 / weights : 0;
}

static struct ds_usage cluster_capacity(const struct dag_sched *s)
{
	struct ds_usage sum = {0};

	for (size_t i = 0; i < s->n_workers; i++) {
		const struct ds_worker *w = s->workers[i];

		if (!w->in_service)
			continue;
		sum.cpu_milli += w->capacity.cpu_milli;
		sum.mem_mb += w->capacity.mem_mb;
		sum.gpus += w->capacity.gpus;
	}
	return sum;
}

/* Begins a pass. Without organisations its order is that of the ready list. */
void ds_share_begin(struct dag_sched *s)
{
	struct ds_share *sh = &s->share;

	*sh = (struct ds_share){.by_org = s->state->orgs != NULL,
				.next = TAILQ_FIRST(&s->ready)};
	TAILQ_INIT(&sh->active);
	if (!sh->by_org)
		return;
	sh->cluster = cluster_capacity(s);
	sh->fair = fair_share(s);
	ds_quota_begin_pass(s);
}

/* Lists the next steps of the ready list that have one priority and rank. */
static void list_class(struct ds_share *sh)
{
	uint64_t class = sh->next ? ds_step_class(sh->next) : 0;

	while (sh->next && ds_step_class(sh->next) == class) {
		struct ds_org *o = sh->next->job->org;

		if (TAILQ_EMPTY(&o->steps))
			TAILQ_INSERT_TAIL(&sh->active, o, active_entry);
		TAILQ_INSERT_TAIL(&o->steps, sh->next, org_entry);
		sh->next = TAILQ_NEXT(sh->next, entry);
	}
}

/* The newest step has been tried. Counts what the quota held back of it. */
static void leave_step(struct dag_sched *s, struct ds_share *sh)
{
	struct ds_org *o = sh->current;
	struct ds_step *st = TAILQ_FIRST(&o->steps);

	TAILQ_REMOVE(&o->steps, st, org_entry);
	if (o->next_task)
		ds_step_refresh(s, st);
	o->next_task = 0;
	if (st->quota_blocked)
		o->n_blocked += st->n_waiting;
	if (TAILQ_EMPTY(&o->steps))
		TAILQ_REMOVE(&sh->active, o, active_entry);
	/* Below their fair share, organisations take turns by step. */
	if (TAILQ_EMPTY(&o->steps) || sh->turn_end <= sh->fair)
		sh->current = NULL;
}

/* The next step to place tasks of; NULL: all have been tried. */
struct ds_step *ds_share_next(struct dag_sched *s)
{
	struct ds_share *sh = &s->share;
	struct ds_step *st = sh->next;

	if (!sh->by_org) {
		if (st)
			sh->next = TAILQ_NEXT(st, entry);
		return st;
	}
	if (sh->current && !sh->yielded)
		leave_step(s, sh);
	sh->yielded = false;
	if (TAILQ_EMPTY(&sh->active))
		list_class(sh);
	if (TAILQ_EMPTY(&sh->active)) {
		ds_quota_end_pass(s);
		return NULL;
	}
	if (!sh->current || ds_weighted_share(sh->current, &sh->cluster) > sh->turn_end)
		sh->current =
			ds_choose_org(&sh->active, &sh->cluster, sh->fair, &sh->turn_end);
	st = TAILQ_FIRST(&sh->current->steps);
	st->quota_blocked = false;
	return st;
}

/* The first task of the newest step that this pass has not tried. */
uint32_t ds_share_first_task(const struct dag_sched *s)
{
	return s->share.by_org ? s->share.current->next_task : 0;
}

/*
 * After the start of a task of the newest step: whether another organisation is next. The
 * step is tried again from the given task on when it is its organisation's turn.
 */
bool ds_share_yields(struct dag_sched *s, uint32_t next_task)
{
	struct ds_share *sh = &s->share;

	if (!sh->by_org || ds_weighted_share(sh->current, &sh->cluster) <= sh->turn_end)
		return false;
	sh->current->next_task = next_task;
	sh->yielded = true;
	return true;
}
