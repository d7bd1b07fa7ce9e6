#include "core/sched_impl.h"

#define STEP_UNPARK 64 /* parked jobs of a team and class retried per step */
#define FIRST_POLLS 2  /* poll intervals before the first placements */

static double weighted_share(const struct sched *s, const struct team *team)
{
	return size_share(team->used, s->total) / (team->weight ? team->weight : 1);
}

/* Queues parked jobs again after capacity was released. */
static void unpark(struct sched *s, struct team *team, unsigned int c, int64_t now_us)
{
	unsigned int n = 0;
	struct job *j;

	while ((j = TAILQ_FIRST(&team->parked[c])) && n++ < STEP_UNPARK) {
		if (j->parked_generation == s->generation)
			return;
		TAILQ_REMOVE(&team->parked[c], j, park_entry);
		j->parked = false;
		job_enqueue(s, j, now_us);
		if (j->parked) /* no memory for the heap */
			return;
	}
}

/* Returns why the job can never run, SCHED_R_NONE if it may. */
static enum sched_reason find_reject_reason(const struct sched *s, const struct job *j)
{
	if (!size_under_quota(j->opt.size, (struct sched_size){0}, j->team->quota))
		return SCHED_R_OVER_QUOTA;
	if (s->all_workers_polled && !fit_possible(s, j))
		return SCHED_R_TOO_LARGE;
	return SCHED_R_NONE;
}

static void propose_start(struct sched *s, struct task *t, struct worker *w)
{
	t->attempt++;
	t->attempt_resumed = t->checkpoint != 0;
	t->phase = P_PROPOSED;
	t->stop = SCHED_R_NONE;
	t->exit_code = 0;
	task_bind(s, t, w);
	zone_count_start(t->key.job->team, w->zone);
	s->stats.starts++;
	task_mark_dirty(s, t);
}

/* Whether this size did not fit anywhere since capacity was last released. */
static bool fit_known_to_fail(const struct sched *s, const struct job *j)
{
	const struct failed_fit *f = &j->team->failed_fit[j->opt.class];

	return f->set && f->generation == s->generation &&
	       size_covers(j->opt.size, f->size);
}

static void record_failed_fit(struct sched *s, struct job *j)
{
	struct failed_fit *f = &j->team->failed_fit[j->opt.class];

	if (f->set && f->generation == s->generation &&
	    !size_covers(f->size, j->opt.size))
		return;
	*f = (struct failed_fit){s->generation, j->opt.size, true};
}

/* Places waiting tasks of the job while they fit. Returns the number placed. */
static unsigned int place_job(struct sched *s, struct job *j, unsigned int limit,
			      int64_t now_us)
{
	struct task *t = TAILQ_FIRST(&j->waiting);
	struct worker *w = NULL;
	enum sched_reason reject;

	if (!limit)
		return 0;
	reject = find_reject_reason(s, j);
	if (reject) {
		job_end(s, j, reject);
		return 0;
	}
	if (quarantine_limits_job(j) ||
	    !size_under_quota(j->opt.size, j->team->used, j->team->quota)) {
		job_park(s, j);
		return 0;
	}
	if (!fit_known_to_fail(s, j)) {
		w = fit_find_worker(s, t, now_us);
		if (!w && j->opt.class != SCHED_BATCH)
			w = evict_for_task(s, t, now_us);
		/* A suspect needs more than free capacity. */
		if (!w && !suspect_is(t))
			record_failed_fit(s, j);
	}
	if (!w) {
		job_park(s, j);
		return 0;
	}
	propose_start(s, t, w);
	return 1;
}

/* Returns the team with the smallest weighted share that has jobs to try. */
static struct team *find_next_team(struct sched *s, unsigned int c)
{
	struct team *best = NULL;
	double best_share = 0;
	struct team *team;
	struct team *tmp;

	HASH_ITER (hh, s->teams, team, tmp) {
		double share;

		if (!sched_heap_first(&team->waiting[c]))
			continue;
		share = weighted_share(s, team);
		if (!best || share < best_share) {
			best = team;
			best_share = share;
		}
	}
	return best;
}

/* Places waiting tasks by class, then by the team's share, then by job. */
void place_step(struct sched *s, int64_t now_us)
{
	unsigned int placed = 0;
	unsigned int tried = 0;
	struct team *team;
	struct team *tmp;

	for (unsigned int c = 0; c < SCHED_CLASSES; c++) {
		/*
		 * Good placements need the workers' first polls; urgent tasks do not
		 * wait.
		 */
		if (c != SCHED_URGENT &&
		    now_us - s->ready_us < s->opt.poll_us * FIRST_POLLS) {
			s->work_left = true;
			continue;
		}
		HASH_ITER (hh, s->teams, team, tmp)
			unpark(s, team, c, now_us);
		while ((team = find_next_team(s, c))) {
			struct sched_node *n = sched_heap_first(&team->waiting[c]);
			struct job *j =
				(struct job *)((char *)n - offsetof(struct job, node));

			if (placed >= STEP_PLACEMENTS || tried++ >= STEP_JOBS) {
				s->work_left = true;
				return;
			}
			placed += place_job(s, j, 1, now_us);
		}
	}
}
