#include <check.h>
#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/prng.h"
#include "core/capacity.h"
#include "regress/lib_model.h"
#include "regress/lib_store.h"

/*
 * Random histories against the naive model of regress/lib_model.c. Run as
 * "test_store SEED COUNT" for other seeds.
 */
#define OPERATIONS 4000
#define REPLIES 8
#define TIME_BYTES 8

static const uint64_t default_seeds[] = {1, 2, 3, 5, 8, 13, 21, 34, 55, 89, 144, 233};
static uint64_t first_seed;
static uint64_t seed_count;

/* An answer to WATCH that is on its way to a read copy. */
struct reply_copy {
	bool complete;
	uint64_t after;
	uint64_t index;
	struct conf_doc **docs;
	size_t n;
};

struct history {
	struct prng rnd;
	struct model *model;
	struct rig main;     /* never restored */
	struct rig restored; /* restored from snapshots again and again */
	struct conf_view *copy;
	struct reply_copy replies[REPLIES];
	uint64_t next_id;
	bool bounded; /* small bounds, which the model does not know */
};

static uint64_t pick(struct history *h, uint64_t n)
{
	return prng_below(&h->rnd, n);
}

static void check_answer(struct history *h, struct model_answer want)
{
	const struct command_result *res = &h->main.res;
	struct str detail = rig_detail(&h->main);

	if (h->bounded)
		return;
	ck_assert_msg(res->err == want.err, "index %lu: %s, expected %s", h->main.index,
		      cf_strerror(res->err), cf_strerror(want.err));
	ck_assert_uint_eq(res->revision, want.revision);
	if (want.detail[0] || want.err == CF_ECONFLICT)
		ck_assert(str_eq(detail, str_from(want.detail)));
	ck_assert_int_eq(!!res->outcome, !!want.body);
	if (want.body)
		ck_assert(str_eq(XDR_STR(*res->outcome, body), str_from(want.body)));
}

/* The main store ran a command; the restored one must answer the same bytes. */
static void follow(struct history *h)
{
	h->restored.now_us = h->main.now_us;
	rig_apply(&h->restored, buf_str(&h->main.command));
	ck_assert(str_eq(buf_str(&h->main.result), buf_str(&h->restored.result)));
}

static struct str content_of(const struct rig *r)
{
	return (struct str){r->command.p + TIME_BYTES, r->command.n - TIME_BYTES};
}

/*
 * Finds what a command with a request id must answer: nothing (false) when it is new,
 * its first result, or CF_EREUSED.
 */
static bool check_resend(struct history *h, const char *team, const char *id)
{
	struct model_result *r = model_resent(h->model, team, id);

	if (!r)
		return false;
	if (h->bounded)
		return true;
	if (str_eq(buf_str(&r->content), content_of(&h->main)))
		ck_assert(str_eq(buf_str(&r->result), buf_str(&h->main.result)));
	else
		check_answer(h, (struct model_answer){.err = CF_EREUSED});
	return true;
}

static void remember(struct history *h, const char *team, const char *id)
{
	struct model_result *r = &h->model->results[h->model->nresults++];

	snprintf(r->team, sizeof(r->team), "%s", team);
	snprintf(r->id, sizeof(r->id), "%s", id);
	r->time_us = h->model->time_us;
	buf_set(&r->content, content_of(&h->main));
	buf_set(&r->result, buf_str(&h->main.result));
}

/* A new request id, or now and then one that was used. */
static void make_id(struct history *h, char id[12])
{
	uint64_t n = pick(h, 20) ? ++h->next_id : 1 + pick(h, h->next_id + 1);

	snprintf(id, 12, "r%lu", n);
}

static void make_path(struct history *h, char path[40])
{
	static const char *const words[] = {"booking", "zone", "service"};

	snprintf(path, 40, "/%s/%s/n%lu", model_teams[pick(h, MODEL_TEAMS)],
		 words[pick(h, 3)], pick(h, 4));
}

static void change(struct history *h, const char *path, uint64_t expected, bool deleted)
{
	char id[12];
	char text[24];
	char team[4];
	int form = (int)pick(h, MODEL_FORMS);

	make_id(h, id);
	snprintf(text, sizeof(text), "text %lu", pick(h, 1000));
	snprintf(team, sizeof(team), "%.2s", path + 1);
	if (deleted)
		rig_delete(&h->main, path, expected, id);
	else
		rig_put(&h->main, path, expected, id, text, model_forms[form]);
	follow(h);
	if (check_resend(h, team, id))
		return;
	check_answer(h, model_change(h->model, h->main.index, path, expected, deleted,
				     text, form));
	remember(h, team, id);
}

/* One change, or several that race with the same expected revision. */
static void op_change(struct history *h)
{
	const struct model_change *now;
	uint64_t expected;
	uint64_t racing = pick(h, 6) ? 1 : 2 + pick(h, 3);
	char path[40];

	make_path(h, path);
	now = model_doc_at(h->model, path, UINT64_MAX);
	expected = now ? now->revision : 0;
	if (pick(h, 5) == 0)
		expected = pick(h, h->main.index + 1);
	while (racing--)
		change(h, path, expected, pick(h, 5) == 0);
}

/* Sends an earlier command again, as after a lost answer. */
static void op_resend(struct history *h)
{
	struct model_result *r;
	struct buf *c = &h->main.command;

	if (!h->model->nresults)
		return;
	r = &h->model->results[pick(h, h->model->nresults)];
	if (r->dropped)
		return;
	c->n = 0;
	buf_add(c, "\0\0\0\0\0\0\0\0", TIME_BYTES);
	buf_add(c, r->content.p, r->content.n);
	ck_assert_int_eq(store_set_command_time(c, h->main.now_us), 0);
	rig_apply(&h->main, buf_str(c));
	follow(h);
	ck_assert(check_resend(h, r->team, r->id));
}

static void op_job(struct history *h)
{
	const char *team = model_teams[pick(h, MODEL_TEAMS)];
	uint32_t tasks = 1 + (uint32_t)pick(h, 3);
	struct command_job_reject reject = {0};
	char name[8];
	char key[40];
	char id[12];
	char fields[64];

	snprintf(name, sizeof(name), "j%lu", pick(h, 6));
	snprintf(key, sizeof(key), "%s/%s", team, name);
	snprintf(fields, sizeof(fields), "command=x max_attempts=2 tasks=%u", tasks);
	if (pick(h, 10) == 0) {
		XDR_SET(reject, team, str_from(team));
		XDR_SET(reject, job, str_from(name));
		XDR_SET(reject, reason, STR("too large"));
		rig_run(&h->main, CMD_JOB_REJECT, &reject);
		follow(h);
		check_answer(h, model_reject(h->model, key));
		return;
	}
	make_id(h, id);
	if (pick(h, 4) == 0) {
		rig_cancel(&h->main, team, name, id);
		follow(h);
		if (check_resend(h, team, id))
			return;
		check_answer(h, model_cancel(h->model, key));
	} else {
		rig_submit(&h->main, team, name, id, fields);
		follow(h);
		if (check_resend(h, team, id))
			return;
		check_answer(h, model_submit(h->model, h->main.index, team, name, tasks));
	}
	remember(h, team, id);
}

/* A record that mostly fits the task, and sometimes is late or wrong. */
static void op_task(struct history *h)
{
	static const char *const workers[] = {"w0", "w1"};
	const char *team = model_teams[pick(h, MODEL_TEAMS)];
	bool service = pick(h, 3) == 0;
	enum task_state to =
		(enum task_state)(pick(h, 3) ? pick(h, TASK_EVICTED + 1) : TASK_FAILED);
	struct lib_task t = {.team = team, .service = service};
	struct model_job *job;
	char name[8];
	char key[40];

	snprintf(name, sizeof(name), service ? "n%lu" : "j%lu", pick(h, service ? 4 : 6));
	snprintf(key, sizeof(key), "%s/%s", team, name);
	job = model_job(h->model, key, service);
	t.job = name;
	t.revision = job && pick(h, 20) ? job->revision : 1 + pick(h, h->main.index);
	t.task = (uint32_t)pick(h, MODEL_TASKS);
	t.worker = workers[pick(h, 2)];
	t.session = pick(h, 2);
	if (job && pick(h, 6)) {
		const struct model_task *task = &job->tasks[t.task];

		t.attempt = task->attempt + (to == TASK_PLACED);
		if (to != TASK_PLACED) {
			t.worker = task->worker;
			t.session = task->session;
		}
	} else {
		t.attempt = (uint32_t)pick(h, 4);
	}
	rig_task(&h->main, &t, to);
	follow(h);
	check_answer(h, model_task(h->model, key, service, t.revision, t.task, t.attempt,
				   to, t.worker, t.session));
}

static void op_claim(struct history *h)
{
	static const enum command_kind ends[] = {CMD_CLAIM_DONE, CMD_CLAIM_DONE,
						 CMD_CLAIM_ABORT, CMD_CLAIM_UNKNOWN};
	struct model_claim in = {.hash = pick(h, 8) == 0};
	const struct model_claim *known;
	struct lib_claim c = {0};
	char team[4], service[4], key[8];
	int entry = (int)pick(h, 2);
	enum command_kind kind = pick(h, 2) ? CMD_CLAIM : ends[pick(h, 4)];

	snprintf(team, sizeof(team), "%s", model_teams[pick(h, MODEL_TEAMS)]);
	snprintf(service, sizeof(service), "s%lu", pick(h, 2));
	snprintf(key, sizeof(key), "k%lu", pick(h, 12));
	snprintf(in.key, sizeof(in.key), "%s/%s/%s", team, service, key);
	snprintf(in.entry, sizeof(in.entry), "e%d", entry);
	snprintf(in.body, sizeof(in.body), "body %lu", pick(h, 1000));
	in.incarnation = h->model->entries[entry].incarnation - (pick(h, 10) == 0);
	in.sequence = pick(h, 20); /* also the number of another request */
	known = model_claim(h->model, in.key);
	if (known && pick(h, 3)) {
		memcpy(in.entry, known->entry, sizeof(in.entry));
		in.incarnation = known->incarnation;
		in.sequence = known->sequence;
	}
	c = (struct lib_claim){team,	       service,	    key,    in.entry,
			       in.incarnation, in.sequence, in.hash};
	if (kind == CMD_CLAIM)
		rig_claim(&h->main, &c);
	else if (kind == CMD_CLAIM_DONE)
		rig_claim_done(&h->main, &c, 200, str_from(in.body));
	else
		rig_claim_end(&h->main, &c, kind);
	follow(h);
	check_answer(h, kind == CMD_CLAIM ? model_take(h->model, &in)
					  : model_end(h->model, &in, kind));
}

static void op_entry(struct history *h)
{
	int entry = (int)pick(h, 2);
	uint64_t incarnation = h->model->entries[entry].incarnation + pick(h, 3) - 1;
	char name[4];

	if (incarnation == 0 || pick(h, 8))
		return;
	snprintf(name, sizeof(name), "e%d", entry);
	rig_entry(&h->main, name, incarnation);
	follow(h);
	check_answer(h, model_entry(h->model, entry, incarnation));
}

/* Replaces the second store by one restored from a snapshot of either. */
static void op_restore(struct history *h)
{
	struct rig *from = pick(h, 2) ? &h->main : &h->restored;
	struct buf a = {0};
	struct buf b = {0};

	if (pick(h, 10))
		return;
	ck_assert_int_eq(store_snapshot(h->main.s, &a), 0);
	ck_assert_int_eq(store_snapshot(h->restored.s, &b), 0);
	ck_assert(str_eq(buf_str(&a), buf_str(&b)));
	ck_assert_int_eq(
		store_restore(h->restored.s, buf_str(from == &h->main ? &a : &b)), 0);
	buf_free(&a);
	buf_free(&b);
}

static void drop_reply(struct reply_copy *r)
{
	for (size_t i = 0; i < r->n; i++)
		conf_doc_unref(r->docs[i]);
	free(r->docs);
	memset(r, 0, sizeof(*r));
}

static void add_doc(struct reply_copy *r, const struct conf_doc *doc)
{
	r->docs = realloc(r->docs, (r->n + 1) * sizeof(void *));
	r->docs[r->n++] = conf_doc_ref((struct conf_doc *)(uintptr_t)doc);
}

/* A state process answers what the copy, now or long ago, asked for. */
static void make_reply(struct history *h)
{
	const struct conf *conf = store_conf(h->main.s);
	const struct conf_view *view = conf_current_docs(conf);
	struct reply_copy *r = &h->replies[pick(h, REPLIES)];
	uint64_t known = conf_view_index(h->copy);

	drop_reply(r);
	r->after = pick(h, 2) ? known : pick(h, known + 1);
	r->index = h->main.index;
	r->complete = !conf_complete_after(conf, r->after);
	if (!r->complete) {
		const struct conf_doc *doc = conf_change_after(conf, r->after);

		for (; doc; doc = conf_change_after(conf, doc->revision))
			add_doc(r, doc);
		return;
	}
	for (size_t i = 0; i < conf_view_teams(view); i++) {
		const struct conf_doc *const *docs;
		size_t n;

		docs = conf_view_team(view, conf_view_team_name(view, i), &n);
		for (size_t k = 0; k < n; k++)
			add_doc(r, docs[k]);
	}
}

/* The copy must show exactly the documents as of its index, which never falls. */
static void check_copy(struct history *h, uint64_t before)
{
	uint64_t index = conf_view_index(h->copy);
	size_t found = 0;

	ck_assert_uint_ge(index, before);
	for (size_t i = 0; i < h->model->nchanges; i++) {
		const struct model_change *c = &h->model->changes[i];
		const struct model_change *want;
		const struct conf_doc *doc;

		if (c->revision > index)
			break;
		want = model_doc_at(h->model, c->path, index);
		doc = conf_view_get(h->copy, str_from(c->path));
		ck_assert_int_eq(!!want, !!doc);
		if (!want)
			continue;
		ck_assert_uint_eq(doc->revision, want->revision);
		ck_assert(str_eq(conf_doc_text(doc), str_from(want->text)));
		found += c == want;
	}
	for (int i = 0; i < MODEL_TEAMS; i++)
		found += conf_view_vocabulary(h->copy, str_from(model_teams[i])).n != 0;
	ck_assert_uint_eq(conf_view_count(h->copy), found);
}

/* Delivers a reply, in any order and more than once. */
static void deliver(struct history *h)
{
	struct reply_copy *r = &h->replies[pick(h, REPLIES)];
	struct conf_change *changes = calloc(r->n + 1, sizeof(*changes));
	uint64_t before;
	int err;

	/* The entry process restarts now and then. */
	if (pick(h, 25) == 0) {
		conf_view_free(h->copy);
		ck_assert_int_eq(conf_view_new(&h->main.options.conf.view, &h->copy), 0);
	}
	before = conf_view_index(h->copy);
	for (size_t i = 0; i < r->n; i++)
		changes[i] = (struct conf_change){
			conf_doc_path(r->docs[i]), r->docs[i]->revision,
			r->docs[i]->deleted, conf_doc_text(r->docs[i]),
			conf_doc_fields(r->docs[i])};
	if (r->complete)
		err = conf_view_replace(h->copy, r->index, changes, r->n);
	else
		err = conf_view_advance(h->copy, r->after, r->index, changes, r->n);
	/* CF_EINVAL: the reply starts from what the copy knew before the restart. */
	ck_assert_int_eq(err, r->index < before			  ? CF_ESTALE
			      : !r->complete && r->after > before ? CF_EINVAL
								  : 0);
	free(changes);
	if (!err && !h->bounded)
		check_copy(h, before);
}

/* Compares everything that can be read with the model. */
static void check_state(struct history *h)
{
	static const enum claim_state states[] = {CLAIM_OPEN, CLAIM_DONE, CLAIM_UNKNOWN,
						  CLAIM_EXPIRED};
	const struct store *s = h->restored.s;
	size_t count[CLAIM_STATES] = {0};
	size_t unfinished = 0;
	size_t kept = 0;

	for (size_t i = 0; i < h->model->nclaims; i++) {
		if (!h->model->claims[i].forgotten)
			count[h->model->claims[i].state]++;
	}
	for (size_t i = 0; i < CLAIM_STATES; i++)
		ck_assert_uint_eq(claims_count(store_claims(s), states[i]),
				  count[states[i]]);
	for (size_t i = 0; i < h->model->njobs; i++) {
		struct model_job *want = &h->model->jobs[i];
		const struct job *job;
		struct str team, name;

		if (want->dropped)
			continue;
		str_split(str_from(want->key), '/', &team, &name);
		job = jobs_get(store_jobs(s), team, want->service, name);
		ck_assert_ptr_nonnull(job);
		ck_assert_uint_eq(job->ntasks, want->n);
		ck_assert_int_eq(job->finished_us != 0, want->finished_us != 0);
		ck_assert_int_eq(job->reason != NULL, want->failed || want->rejected);
		for (uint32_t k = 0; k < want->n; k++) {
			ck_assert_uint_eq(job->tasks[k].state, want->tasks[k].state);
			ck_assert_uint_eq(job->tasks[k].attempt, want->tasks[k].attempt);
		}
		unfinished += !want->finished_us;
		kept += !!want->finished_us;
	}
	ck_assert_uint_eq(jobs_count(store_jobs(s)), unfinished);
	ck_assert_uint_eq(jobs_finished_count(store_jobs(s)), kept);
}

/* Bounds that are reached all the time. */
static void set_small_bounds(struct store_options *o)
{
	o->conf.view.teams = 2;
	o->conf.view.docs = (struct share_options){1, 4, 4};
	o->conf.changes = 6;
	o->conf.history_bytes = 300;
	o->claim.teams = 2;
	o->claim.claims = (struct share_options){1, 4, 4};
	o->claim.outcomes = (struct share_options){20, 100, 80};
	o->claim.expired = (struct share_options){1, 6, 5};
	o->job.teams = 2;
	o->job.jobs = (struct share_options){1, 4, 4};
	o->job.tasks = (struct share_options){2, 8, 8};
	o->job.finished_tasks = (struct share_options){1, 3, 3};
	o->dedup.teams = 2;
	o->dedup.bytes = (struct share_options){300, 900, 900};
	o->member.members = 1;
}

static void check_bounds(const struct history *h)
{
	const struct store_options *o = &h->main.options;
	const struct store *s = h->main.s;

	/* reserved times teams, and the pool */
	ck_assert_uint_le(conf_view_count(conf_current_docs(store_conf(s))), 6);
	ck_assert_uint_le(conf_history_bytes(store_conf(s)), o->conf.history_bytes);
	ck_assert_uint_le(claims_count(store_claims(s), CLAIM_OPEN) +
				  claims_count(store_claims(s), CLAIM_DONE) +
				  claims_count(store_claims(s), CLAIM_UNKNOWN),
			  6);
	ck_assert_uint_le(claims_count(store_claims(s), CLAIM_EXPIRED), 8);
	ck_assert_uint_le(jobs_count(store_jobs(s)), 6);
	ck_assert_uint_le(jobs_tasks(store_jobs(s)), 12);
	ck_assert_uint_le(jobs_finished_count(store_jobs(s)), 5);
	ck_assert_uint_le(dedup_bytes(store_dedup(s)), 1500 + 512);
	ck_assert_uint_le(members_count(store_members(s)), 1);
}

static void open_history(struct history *h, uint64_t seed, bool bounded)
{
	memset(h, 0, sizeof(*h));
	h->bounded = bounded;
	h->rnd.state = seed;
	h->model = calloc(1, sizeof(*h->model));
	ck_assert_ptr_nonnull(h->model);
	rig_open(&h->main);
	rig_open(&h->restored);
	/* Every other seed cuts the history of the configuration early. */
	h->main.options.conf.changes = seed % 2 ? 12 : 4096;
	h->main.options.conf.versions = 1 + seed % 5;
	if (bounded)
		set_small_bounds(&h->main.options);
	h->restored.options = h->main.options;
	rig_reopen(&h->main);
	rig_reopen(&h->restored);
	ck_assert_int_eq(conf_view_new(&h->main.options.conf.view, &h->copy), 0);
	h->model->claim = h->main.options.claim;
	h->model->keep_us = h->main.options.dedup.keep_us;
	ck_assert_uint_eq(h->model->keep_us, h->main.options.job.retention_us);
	h->main.now_us = 1796360400ULL * 1000000;
	model_advance(h->model, h->main.now_us);
	for (int i = 0; i < MODEL_TEAMS; i++) {
		char path[40];

		if (!model_vocabularies[i][0])
			continue;
		snprintf(path, sizeof(path), "/%s/vocabulary", model_teams[i]);
		ck_assert_int_eq(rig_put(&h->main, path, 0, "vocabulary", "v",
					 model_vocabularies[i]),
				 0);
		follow(h);
	}
	for (int i = 0; i < 2; i++) {
		rig_entry(&h->main, i ? "e1" : "e0", 1);
		follow(h);
		h->model->entries[i].incarnation = 1;
	}
}

static void close_history(struct history *h)
{
	for (size_t i = 0; i < h->model->nresults; i++) {
		buf_free(&h->model->results[i].content);
		buf_free(&h->model->results[i].result);
	}
	for (size_t i = 0; i < REPLIES; i++)
		drop_reply(&h->replies[i]);
	free(h->model);
	conf_view_free(h->copy);
	rig_close(&h->main);
	rig_close(&h->restored);
}

static void run_history(uint64_t seed, bool bounded)
{
	static void (*const ops[])(struct history *) = {
		op_change, op_change, op_resend,  op_job,     op_task, op_task, op_task,
		op_claim,  op_claim,  op_restore, make_reply, deliver, deliver, op_entry,
	};
	struct history h;

	open_history(&h, seed, bounded);
	for (int i = 0; i < OPERATIONS; i++) {
		uint64_t step = pick(&h, 100);

		/* Mostly moments, sometimes minutes or hours, sometimes back. */
		h.main.now_us += pick(&h, 1000000);
		if (step == 0)
			h.main.now_us += pick(&h, 7200) * 1000000;
		else if (step == 1)
			h.main.now_us -= pick(&h, 10000000);
		else if (step < 5)
			h.main.now_us += pick(&h, 300) * 1000000;
		ck_assert_int_eq(rig_run(&h.main, CMD_NOP, NULL), 0);
		follow(&h);
		model_advance(h.model, h.main.now_us);
		ops[pick(&h, sizeof(ops) / sizeof(ops[0]))](&h);
		if (bounded)
			check_bounds(&h);
		else if (i % 50 == 0)
			check_state(&h);
	}
	close_history(&h);
}

/* Guards against any difference from the naive model; see the file's comment. */
START_TEST(histories_match_the_model)
{
	run_history(seed_count ? first_seed + (uint64_t)_i : default_seeds[_i], false);
}
END_TEST

/*
 * Guards against a restored replica that drops, refuses or expires other things than
 * one that was never restored, and against bounds that are exceeded.
 */
START_TEST(replicas_agree_at_their_bounds)
{
	run_history(seed_count ? first_seed + (uint64_t)_i : default_seeds[_i], true);
}
END_TEST

/* Fills a store with one of everything. */
static void fill(struct rig *r)
{
	struct lib_claim c = {"t", "s", "k", "e1", 1, 1, 7};
	struct lib_task t = {
		.team = "t", .job = "j", .attempt = 1, .worker = "w1", .session = 5};
	struct command_member_state m = {.voter = true};
	struct command_capacity large = {8000, 16000, 0};

	ck_assert_int_eq(rig_put(r, "/t/vocabulary", 0, "a", "v", "kinds.x=zone"), 0);
	ck_assert_int_eq(rig_put(r, "/t/x/z", 0, "b", "z", "state=in"), 0);
	ck_assert_int_eq(rig_put(r, "/t/x/z", 2, "c", "z", "state=out"), 0);
	ck_assert_int_eq(rig_put(r, "/t/service/s", 0, "d", "", "slots=1 executors=2"),
			 0);
	ck_assert_int_eq(rig_submit(r, "t", "j", "e", "command=x"), 0);
	ck_assert_int_eq(rig_task(r, &t, TASK_PLACED), 0);
	t.losses = 1;
	t.silent = 1;
	t.nsilences = 1;
	XDR_SET(t.silence[0], worker, STR("w0"));
	ck_assert_int_eq(rig_task(r, &t, TASK_RUNNING), 0);
	ck_assert_int_eq(rig_entry(r, "e1", 1), 0);
	ck_assert_int_eq(rig_claim(r, &c), 0);
	ck_assert_int_eq(rig_claim_done(r, &c, 200, STR("ok")), 0);
	r->now_us += 2ULL * 3600 * 1000000;
	c.key = "k2";
	ck_assert_int_eq(rig_claim(r, &c), 0);
	XDR_SET(m, name, STR("s1"));
	ck_assert_int_eq(rig_run(r, CMD_MEMBER_STATE, &m), 0);
	ck_assert_int_eq(rig_run(r, CMD_CAPACITY, &large), 0);
}

/* Guards against a silent worker whose capacity a new leader does not know. */
START_TEST(capacities_are_kept)
{
	struct command_capacity small = {1000, 2000, 0};
	struct command_capacity large = {8000, 16000, 0};
	struct command_capacity special = {4000, 8000, 1};
	const struct capacity_list *l;
	struct rig r;

	rig_open(&r);
	ck_assert_int_eq(rig_run(&r, CMD_CAPACITY, &small), 0);
	ck_assert_int_eq(rig_run(&r, CMD_CAPACITY, &large), 0);
	ck_assert_int_eq(rig_run(&r, CMD_CAPACITY, &special), 0);
	ck_assert_int_eq(rig_run(&r, CMD_CAPACITY, &small), 0);
	rig_restore(&r);
	l = store_capacities(r.s);
	ck_assert_uint_eq(l->n, 2);
	ck_assert_uint_eq(l->size[0].memory_mb, 16000);
	ck_assert_uint_eq(l->size[1].accelerators, 1);
	rig_close(&r);
}
END_TEST

/*
 * Guards against a snapshot that is damaged in any byte, cut off or refused halfway
 * and changes the store, and against a crash on the way.
 */
START_TEST(damaged_snapshot_changes_nothing)
{
	struct rig r;
	struct buf good = {0};
	struct buf bad = {0};
	struct buf now = {0};
	struct prng rnd = {.state = 4};

	rig_open(&r);
	fill(&r);
	ck_assert_int_eq(store_snapshot(r.s, &good), 0);
	for (size_t i = 0; i < good.n; i++) {
		int err;

		buf_set(&bad, buf_str(&good));
		bad.p[i] = (char)(bad.p[i] ^ (1 + prng_below(&rnd, 255)));
		err = store_restore(r.s, buf_str(&bad));
		ck_assert(err == CF_EMALFORMED || err == CF_ECORRUPT);
		err = store_restore(r.s, (struct str){good.p, i});
		ck_assert(err == CF_EMALFORMED || err == CF_ECORRUPT);
	}
	now.n = 0;
	ck_assert_int_eq(store_snapshot(r.s, &now), 0);
	ck_assert(str_eq(buf_str(&now), buf_str(&good)));
	buf_free(&good);
	buf_free(&bad);
	buf_free(&now);
	rig_close(&r);
}
END_TEST

/*
 * Guards against a crash on a snapshot whose checksum is right but whose content is
 * not. Every accepted one must be a working store.
 */
START_TEST(wrong_content_is_survived)
{
	struct rig r;
	struct buf good = {0};
	struct buf bad = {0};
	struct prng rnd = {.state = 5};
	size_t refused = 0;

	rig_open(&r);
	fill(&r);
	ck_assert_int_eq(store_snapshot(r.s, &good), 0);
	for (size_t i = 0; i < 20000; i++) {
		struct store *s;
		struct str body;
		int err;

		buf_set(&bad, buf_str(&good));
		bad.p[prng_below(&rnd, bad.n - 20)] = (char)prng_next(&rnd);
		body = (struct str){bad.p, bad.n - 20};
		lib_put_u32(bad.p + bad.n - 4, lib_crc(body));
		ck_assert_int_eq(store_new(&r.options, &s), 0);
		err = store_restore(s, buf_str(&bad));
		ck_assert(!err || err == CF_EMALFORMED || err == CF_ECORRUPT);
		refused += err != 0;
		if (!err) {
			struct buf out = {0};
			struct rig other = {.s = s, .index = store_index(s)};

			ck_assert_int_eq(store_snapshot(s, &out), 0);
			if (other.index < UINT64_MAX - 8) {
				other.now_us = store_time_us(s) + 86400ULL * 2000000;
				other.now_us %= 1ULL << 61;
				rig_run(&other, CMD_NOP, NULL);
			}
			buf_free(&out);
			rig_close(&other);
		} else {
			store_free(s);
		}
	}
	ck_assert_uint_gt(refused, 1000);
	buf_free(&good);
	buf_free(&bad);
	rig_close(&r);
}
END_TEST

static int fail_later(void *arg, struct str bytes)
{
	int *left = arg;

	return (*left)-- ? 0 : CF_EIO;
}

/* Guards against a snapshot that is taken for complete although the disk was full. */
START_TEST(error_of_the_sink_is_returned)
{
	struct rig r;
	int chunks = 0;

	rig_open(&r);
	fill(&r);
	ck_assert_int_eq(store_snapshot_write(r.s, fail_later, &chunks), CF_EIO);
	chunks = 1;
	ck_assert_int_eq(store_snapshot_write(r.s, fail_later, &chunks), CF_EIO);
	chunks = 2;
	ck_assert_int_eq(store_snapshot_write(r.s, fail_later, &chunks), 0);
	rig_close(&r);
}
END_TEST

/* Guards against a crash, or an answer that differs, on bytes that are no command. */
START_TEST(malformed_command_is_answered)
{
	struct rig r;
	struct rig same;
	struct prng rnd = {.state = 6};
	struct buf bad = {0};

	rig_open(&r);
	rig_open(&same);
	fill(&r);
	fill(&same);
	ck_assert_int_eq(rig_apply(&r, (struct str){NULL, 0}), CF_EMALFORMED);
	rig_apply(&same, (struct str){NULL, 0});
	for (int i = 0; i < 20000; i++) {
		if (i % 2)
			rig_put(&r, "/t/x/y", 0, "id", "text", "state=in");
		else
			rig_submit(&r, "t", "y", "id2", "command=x");
		rig_apply(&same, buf_str(&r.command));
		buf_set(&bad, buf_str(&r.command));
		for (uint64_t n = 1 + prng_below(&rnd, 3); n; n--)
			bad.p[8 + prng_below(&rnd, bad.n - 8)] = (char)prng_next(&rnd);
		bad.n -= prng_below(&rnd, 2);
		rig_apply(&r, buf_str(&bad));
		rig_apply(&same, buf_str(&bad));
		ck_assert(str_eq(buf_str(&r.result), buf_str(&same.result)));
		ck_assert_int_ne(r.res.err, CF_ENOMEM);
	}
	ck_assert_int_eq(store_apply(r.s, r.index, buf_str(&r.command), &bad), CF_ESTALE);
	buf_free(&bad);
	rig_close(&r);
	rig_close(&same);
}
END_TEST

int main(int argc, char **argv)
{
	Suite *s = suite_create("store");
	TCase *tc = tcase_create("store");
	SRunner *sr = srunner_create(s);
	int n = sizeof(default_seeds) / sizeof(default_seeds[0]);
	int failed;

	if (argc != 1 && argc != 3)
		errx(2, "usage: test_store [SEED COUNT]");
	if (argc == 3) {
		first_seed = strtoull(argv[1], NULL, 10);
		seed_count = strtoull(argv[2], NULL, 10);
		n = (int)seed_count;
	}
	tcase_set_timeout(tc, 600);
	tcase_add_loop_test(tc, histories_match_the_model, 0, n);
	tcase_add_loop_test(tc, replicas_agree_at_their_bounds, 0, n);
	tcase_add_test(tc, capacities_are_kept);
	tcase_add_test(tc, damaged_snapshot_changes_nothing);
	tcase_add_test(tc, wrong_content_is_survived);
	tcase_add_test(tc, error_of_the_sink_is_returned);
	tcase_add_test(tc, malformed_command_is_answered);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
