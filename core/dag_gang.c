/* Placement of gangs, whose tasks run together or not at all. */
#include "core/dag_sched_impl.h"
#include "proto/codec.h"

/* All runs of a gang start under one number, above those of all members. */
static uint32_t gang_next_run(const struct ds_step *st)
{
	uint32_t run = 0;

	for (uint32_t i = 0; i < st->step->count; i++) {
		uint32_t last =
			dag_job_find_task(st->job->rec, st->occurrence, st->number, i)
				->last_run;

		run = last > run ? last : run;
	}
	return run + 1;
}

/*
 * Reserves workers of one rack, of any racks if rack is empty, for the members of a gang
 * until one does not fit. Returns the number of members with a run.
 */
uint32_t ds_reserve_gang(struct dag_sched *s, struct ds_step *st, struct str rack,
			 uint32_t run)
{
	uint32_t placed = 0;

	while (placed < st->step->count) {
		struct dag_task_ref ref = {st->job->rec->id, st->occurrence, st->number,
					   placed};
		const struct dag_task *t = dag_job_find_task(st->job->rec, st->occurrence,
							     st->number, placed);
		struct ds_worker *w =
			ds_best_worker(s, st, 0, ds_task_suspect_crashes(t), rack);

		if (!w || !ds_run_new(s, st->job, w, &ref, run))
			break;
		placed++;
	}
	return placed;
}

/* Places all members of a gang on workers of one rack, of any racks if rack is empty. */
static bool place_gang_in_rack(struct dag_sched *s, struct ds_step *st, struct str rack)
{
	uint32_t run = gang_next_run(st);
	/* Runs reserve resources first; starts are proposed only when all fit. */
	uint32_t placed = ds_reserve_gang(s, st, rack, run);
	struct ds_run *r, *next;

	for (r = TAILQ_FIRST(&st->job->runs); r; r = next) {
		struct dag_command c = {.kind = DAG_CMD_START};

		next = TAILQ_NEXT(r, job_entry);
		if (r->task.step != st->number || r->task.occurrence != st->occurrence ||
		    r->run != run)
			continue;
		if (placed < st->step->count) {
			ds_run_free(s, r);
			continue;
		}
		c.dag_command_u.start =
			(struct dag_start){r->task, run, r->worker->rec->number};
		ds_propose(s, &c);
	}
	return placed == st->step->count;
}

/* A gang starts only when all members wait and all fit. false: they do not fit. */
bool ds_place_gang(struct dag_sched *s, struct ds_step *st)
{
	if (st->n_waiting < st->step->count || ds_quota_blocks(st))
		return true;
	for (size_t i = 0; st->step->same_rack && i < s->n_workers; i++) {
		const struct dag_worker *w = &s->workers[i]->rec->w;
		u_int n = w->labels.labels_len;

		/* The last label names the rack. */
		if (n && place_gang_in_rack(s, st,
					    XDR_STR(w->labels.labels_val[n - 1], text))) {
			ds_wait_placed(s, st, st->step->count);
			return true;
		}
	}
	if (ds_wait_holds_gang(s, st))
		return true;
	return place_gang_in_rack(s, st, (struct str){NULL, 0});
}
