#include "base/err.h"
#include "carawayfrontd/state_leading.h"
#include "core/capacity.h"
#include "core/vocab.h"
#include "io/clock.h"

/* Pause before jobs are fed again that the scheduler had no room for. */
#define FEED_AGAIN_US 1000000

/* Converts a time of commands to the scheduler's clock; 0 stays 0. */
static int64_t to_sched_clock(const struct state_leading *l, uint64_t wall_us)
{
	if (wall_us == 0)
		return 0;
	return clock_us() + ((int64_t)wall_us - clock_wall_us());
}

static enum sched_class job_class(const struct job *job)
{
	if (job->service)
		return SCHED_LATENCY;
	return job->spec.class == CONF_CLASS_URGENT ? SCHED_URGENT : SCHED_BATCH;
}

static int add_job(struct state_leading *l, const struct job *job, struct str name)
{
	struct sched_job j = {
		.team = job_team_name(job),
		.name = name,
		.kind = job->spec.batch_kind,
		.class = job_class(job),
		.tasks = job->spec.tasks,
		.next_task = job->ntasks,
		.size = {.cpu_milli = job->spec.cpus_milli,
			 .memory_mb = (uint32_t)job->spec.memory_mb,
			 .accelerators = job->spec.accelerators},
		.deadline_us = to_sched_clock(l, job->spec.deadline_us),
		.run_us = (int64_t)job->spec.duration_s * 1000000,
		.max_attempts = job->spec.max_attempts,
		.checkpoint = true,
		.cancelled = job->cancel,
	};

	return sched_add_job(l->sched, &j, clock_us());
}

static bool is_over(enum task_state state)
{
	return state == TASK_DONE || state == TASK_FAILED || state == TASK_CANCELLED;
}

static void add_silences(const struct task_silences *in, struct sched_record *out)
{
	if (!in)
		return;
	out->silent = in->count;
	out->nsilences = in->n;
	for (uint8_t i = 0; i < in->n; i++)
		out->silence[i] = (struct sched_silence){
			job_worker_name(in->list[i].worker), in->list[i].session};
}

static int add_task(struct state_leading *l, const struct job *job, struct str name,
		    uint32_t number)
{
	const struct task *t = &job->tasks[number];
	struct sched_record r = {
		.team = job_team_name(job),
		.job = name,
		.task = number,
		.attempt = t->attempt,
		.state = t->state == TASK_EVICTED ? SCHED_WAITING
						  : (enum sched_state)t->state,
		.session = t->session,
		.checkpoint = t->checkpoint,
		.failures = t->failures,
		.losses = t->losses,
		.pardons = t->pardons,
		.placed_us = to_sched_clock(l, t->placed_us),
	};

	add_silences(t->silences, &r);
	/* A free number of a service keeps its attempt. */
	if (is_over((enum task_state)t->state) && !job->service)
		return 0;
	/* Where a waiting task is loaded, its last worker matters only after a loss. */
	if ((r.state != SCHED_WAITING || t->losses || t->silences) &&
	    !is_over((enum task_state)t->state))
		r.worker = job_worker_name(t->worker);
	return sched_load_task(l->sched, &r, clock_us());
}

/* Gives a job or service and its unfinished tasks to the scheduler. */
int leading_feed_job(struct state_leading *l, const struct job *job)
{
	struct buf name = {0};
	int err = 0;

	if (job->service)
		err = buf_adds(&name, SERVICE_PREFIX);
	if (!err)
		err = buf_add(&name, job->name.p, job->name.n);
	if (!err)
		err = add_job(l, job, buf_str(&name));
	for (uint32_t i = 0; i < job->ntasks && !err && !l->state->leading; i++)
		err = add_task(l, job, buf_str(&name), i);
	buf_free(&name);
	return err;
}

static int feed_quota(struct state_leading *l, struct str team,
		      const struct conf_item *item)
{
	struct sched_quota q = {.team = team, .weight = 1};

	if (item) {
		q.limit.cpu_milli = (uint32_t)conf_item_number(item, CONF_CPUS);
		q.limit.memory_mb = (uint32_t)conf_item_number(item, CONF_MEMORY_MB);
		q.limit.accelerators =
			(uint32_t)conf_item_number(item, CONF_ACCELERATORS);
		q.weight = (uint32_t)conf_item_number(item, CONF_WEIGHT);
	}
	return sched_set_quota(l->sched, &q, clock_us());
}

/* The document of a service is gone. */
static int cancel_service(struct state_leading *l, const struct conf_path *path)
{
	struct buf name = {0};
	int err = buf_adds(&name, SERVICE_PREFIX);

	if (!err)
		err = buf_add(&name, path->name.p, path->name.n);
	if (!err)
		err = sched_cancel_job(l->sched, path->team, buf_str(&name), clock_us());
	buf_free(&name);
	return err == CF_ENOENT ? 0 : err;
}

/* Feeds a document that is present, or the absence of a deleted one. */
static int feed_doc(struct state_leading *l, const struct conf_path *path,
		    const struct conf_doc *doc)
{
	const struct conf_view *view = conf_current_docs(store_conf(l->state->store));
	enum conf_kind kind =
		vocab_kind(conf_view_vocabulary(view, path->team), path->word);
	struct conf_item item;
	bool present = doc && conf_view_read(view, doc, &item) == 0;
	const struct job *job;

	switch (kind) {
	case CONF_KIND_ZONE:
		return sched_set_zone(l->sched, path->team, path->name,
				      present && conf_item_number(&item, CONF_STATE) ==
							 CONF_ZONE_OUT,
				      clock_us());
	case CONF_KIND_QUOTA:
		return feed_quota(l, path->team, present ? &item : NULL);
	case CONF_KIND_SERVICE:
		/* At the start services come with the jobs. */
		job = l->state->leading ? jobs_get(store_jobs(l->state->store),
						   path->team, true, path->name)
					: NULL;
		if (job && !job->cancel)
			return leading_feed_job(l, job);
		return l->state->leading ? cancel_service(l, path) : 0;
	default:
		return 0;
	}
}

static int feed_team(struct state_leading *l, struct str team)
{
	const struct conf_view *view = conf_current_docs(store_conf(l->state->store));
	size_t n;
	const struct conf_doc *const *docs = conf_view_team(view, team, &n);
	int err = 0;

	for (size_t i = 0; i < n && !err; i++) {
		struct conf_path path;

		if (!conf_path_parse(conf_doc_path(docs[i]), &path) && path.name.n)
			err = feed_doc(l, &path, docs[i]);
	}
	return err;
}

/* Start-up feed: quotas, zones, then jobs and services with their tasks. */
int leading_feed_all(struct state_leading *l)
{
	const struct conf_view *view = conf_current_docs(store_conf(l->state->store));
	const struct jobs *jobs = store_jobs(l->state->store);
	const struct capacity_list *c = store_capacities(l->state->store);
	int err = 0;

	for (unsigned int i = 0; i < c->n; i++)
		sched_load_capacity(l->sched, c->size[i]);
	for (size_t i = 0; i < conf_view_teams(view) && !err; i++)
		err = feed_team(l, conf_view_team_name(view, i));
	for (const struct job *j = jobs_next_unfinished(jobs, NULL); j && !err;
	     j = jobs_next_unfinished(jobs, j))
		err = leading_feed_job(l, j);
	return err;
}

/*
 * Notes that a job or service was not taken over. Without room or memory it is fed
 * again later, so that no task waits until the next leader.
 */
void leading_feed_failed(struct state_leading *l, int err)
{
	if (err != CF_ENOSPACE && err != CF_ENOMEM)
		return;
	l->feed_again = true;
	l->feed_us = clock_us() + FEED_AGAIN_US;
}

/* Feeds what the scheduler may lack; it knows the others, which changes nothing. */
void leading_feed_rest(struct state_leading *l)
{
	const struct jobs *jobs = store_jobs(l->state->store);

	l->feed_again = false;
	for (const struct job *j = jobs_next_unfinished(jobs, NULL); j;
	     j = jobs_next_unfinished(jobs, j))
		if (!j->cancel)
			leading_feed_failed(l, leading_feed_job(l, j));
}

/* Feeds what a changed path means; a new vocabulary may change all of a team. */
void leading_feed_change(struct state_leading *l, struct str text)
{
	const struct conf_view *view = conf_current_docs(store_conf(l->state->store));
	struct conf_path path;

	if (conf_path_parse(text, &path))
		return;
	if (path.name.n)
		leading_feed_failed(l, feed_doc(l, &path, conf_view_get(view, text)));
	else
		leading_feed_failed(l, feed_team(l, path.team));
}
