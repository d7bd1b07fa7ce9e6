#include "regress/lib_model.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

#include "base/err.h"

#define SWEEP_US 60000000ULL
#define PERIODS 24

const char *const model_teams[MODEL_TEAMS] = {"ta", "tb", "tc"};
const char *const model_vocabularies[MODEL_TEAMS] = {
	"kinds.booking=service fields.hold=slots",
	"kinds.booking=job fields.hold=duration_s",
	"",
};
const char *const model_forms[MODEL_FORMS] = {
	"hold=1",    "hold=2 executors=2",  "state=in",
	"state=out", "slots=3 executors=1", "bad=1",
};
static const uint32_t form_executors[MODEL_FORMS] = {0, 2, 0, 0, 1, 0};

/* Kind of a word by the vocabularies above: s, j, z or 0. */
static char kind_of(char team, const char *word)
{
	if (strcmp(word, "zone") == 0)
		return 'z';
	if (strcmp(word, "service") == 0)
		return 's';
	if (strcmp(word, "booking") == 0)
		return team == 'a' ? 's' : team == 'b' ? 'j' : 0;
	return 0;
}

static bool form_fits(char team, char kind, int form)
{
	switch (form) {
	case 0:
		return (kind == 's' && team == 'a') || (kind == 'j' && team == 'b');
	case 1:
		return kind == 's' && team == 'a';
	case 2:
	case 3:
		return kind == 'z';
	case 4:
		return kind == 's';
	default:
		return false;
	}
}

struct parts {
	char team[4];
	char word[12];
	char name[8];
};

static struct parts split(const char *path)
{
	struct parts p;

	ck_assert_int_eq(sscanf(path, "/%3[^/]/%11[^/]/%7s", p.team, p.word, p.name), 3);
	return p;
}

/* Returns the version of a path as of an index, NULL when there is none. */
const struct model_change *model_doc_at(const struct model *m, const char *path,
					uint64_t index)
{
	for (size_t i = m->nchanges; i > 0; i--) {
		const struct model_change *c = &m->changes[i - 1];

		if (c->revision <= index && strcmp(c->path, path) == 0)
			return c->deleted ? NULL : c;
	}
	return NULL;
}

static bool name_taken(const struct model *m, const char *path)
{
	struct parts p = split(path);
	char other[40];

	if (p.team[1] != 'a' || kind_of('a', p.word) != 's')
		return false;
	snprintf(other, sizeof(other), "/ta/%s/%s",
		 strcmp(p.word, "service") == 0 ? "booking" : "service", p.name);
	return model_doc_at(m, other, UINT64_MAX) != NULL;
}

static struct model_job *new_job(struct model *m, const char *key, bool service,
				 uint64_t revision)
{
	struct model_job *job = &m->jobs[m->njobs++];

	ck_assert_uint_lt(m->njobs, MODEL_MAX);
	memset(job, 0, sizeof(*job));
	snprintf(job->key, sizeof(job->key), "%s", key);
	job->service = service;
	job->revision = revision;
	return job;
}

static bool is_active(const struct model_task *t)
{
	return t->state == TASK_PLACED || t->state == TASK_RUNNING;
}

static void cancel_task(struct model_task *t)
{
	if (is_active(t))
		t->cancel = true;
	else if (t->state == TASK_WAITING || t->state == TASK_EVICTED)
		t->state = TASK_CANCELLED;
}

static void settle(struct model *m, struct model_job *job)
{
	for (uint32_t i = 0; i < job->n; i++) {
		enum task_state s = job->tasks[i].state;

		if (s != TASK_DONE && s != TASK_FAILED && s != TASK_CANCELLED)
			return;
	}
	if (job->service && !job->cancel)
		return;
	job->finished_us = m->time_us;
	job->dropped = job->service;
}

static void follow_service(struct model *m, uint64_t index, const char *path,
			   uint32_t wanted)
{
	struct parts p = split(path);
	struct model_job *job;
	char key[40];

	snprintf(key, sizeof(key), "%s/%s", p.team, p.name);
	job = model_job(m, key, true);
	if (!job && !wanted)
		return;
	if (!job)
		job = new_job(m, key, true, index);
	job->cancel = wanted == 0;
	if (wanted)
		job->wanted = wanted;
	if (wanted > job->n)
		job->n = wanted;
	for (uint32_t i = 0; i < job->n; i++) {
		struct model_task *t = &job->tasks[i];

		if (wanted)
			t->cancel = false;
		else
			cancel_task(t);
	}
	settle(m, job);
}

struct model_answer model_change(struct model *m, uint64_t index, const char *path,
				 uint64_t expected, bool deleted, const char *text,
				 int form)
{
	const struct model_change *now = model_doc_at(m, path, UINT64_MAX);
	struct parts p = split(path);
	struct model_change *c = &m->changes[m->nchanges];
	char kind = kind_of(p.team[1], p.word);

	if (deleted && !now && expected == 0)
		return (struct model_answer){.err = CF_ENOENT};
	if (expected != (now ? now->revision : 0)) {
		struct model_answer a = {.err = CF_ECONFLICT};

		a.revision = now ? now->revision : 0;
		snprintf(a.detail, sizeof(a.detail), "%s", now ? now->text : "");
		return a;
	}
	if (!deleted && (!form_fits(p.team[1], kind, form) || name_taken(m, path)))
		return (struct model_answer){.err = CF_EINVAL};
	ck_assert_uint_lt(++m->nchanges, MODEL_MAX);
	snprintf(c->path, sizeof(c->path), "%s", path);
	snprintf(c->text, sizeof(c->text), "%s", deleted ? "" : text);
	c->revision = index;
	c->deleted = deleted;
	c->form = form;
	if (kind == 's')
		follow_service(m, index, path, deleted ? 0 : form_executors[form]);
	return (struct model_answer){.revision = index};
}

/* Returns the stored result of a request id, or NULL. */
struct model_result *model_resent(struct model *m, const char *team, const char *id)
{
	for (size_t i = 0; i < m->nresults; i++) {
		struct model_result *r = &m->results[i];

		if (!r->dropped && !strcmp(r->team, team) && !strcmp(r->id, id))
			return r;
	}
	return NULL;
}

struct model_job *model_job(struct model *m, const char *key, bool service)
{
	for (size_t i = 0; i < m->njobs; i++) {
		struct model_job *job = &m->jobs[i];

		if (!job->dropped && job->service == service && !strcmp(job->key, key))
			return job;
	}
	return NULL;
}

struct model_answer model_submit(struct model *m, uint64_t index, const char *team,
				 const char *name, uint32_t tasks)
{
	struct model_answer a = {.revision = index};
	struct model_job *job;
	char key[40];

	snprintf(key, sizeof(key), "%s/%s", team, name);
	snprintf(a.detail, sizeof(a.detail), "%s", name);
	job = model_job(m, key, false);
	if (job) {
		a.err = CF_EEXIST;
		a.revision = job->revision;
		return a;
	}
	job = new_job(m, key, false, index);
	job->n = tasks;
	return a;
}

struct model_answer model_cancel(struct model *m, const char *key)
{
	struct model_job *job = model_job(m, key, false);

	if (!job)
		return (struct model_answer){.err = CF_ENOENT};
	if (!job->finished_us) {
		job->cancel = true;
		for (uint32_t i = 0; i < job->n; i++)
			cancel_task(&job->tasks[i]);
		settle(m, job);
	}
	return (struct model_answer){.revision = job->revision};
}

struct model_answer model_reject(struct model *m, const char *key)
{
	struct model_job *job = model_job(m, key, false);

	if (!job)
		return (struct model_answer){.err = CF_ENOENT};
	for (uint32_t i = 0; i < job->n; i++) {
		if (job->finished_us || job->tasks[i].attempt)
			return (struct model_answer){.err = CF_ESTALE};
	}
	for (uint32_t i = 0; i < job->n; i++)
		cancel_task(&job->tasks[i]);
	job->rejected = true;
	settle(m, job);
	return (struct model_answer){0};
}

/* State after an attempt ended with a report. */
static enum task_state after(const struct model_job *job, const struct model_task *t,
			     enum task_state report)
{
	if (report == TASK_CANCELLED || (report == TASK_DONE && !job->service))
		return report;
	if (t->cancel)
		return report == TASK_FAILED && !job->service ? TASK_FAILED
							      : TASK_CANCELLED;
	if (report == TASK_EVICTED)
		return TASK_EVICTED;
	return report == TASK_FAILED && !job->service ? TASK_FAILED : TASK_WAITING;
}

struct model_answer model_task(struct model *m, const char *key, bool service,
			       uint64_t revision, uint32_t task, uint32_t attempt,
			       enum task_state to, const char *worker, uint64_t session)
{
	const struct model_answer stale = {.err = CF_ESTALE};
	struct model_job *job = model_job(m, key, service);
	struct model_task *t;
	bool idle;

	if (!job)
		return (struct model_answer){.err = CF_ENOENT};
	if (job->revision != revision)
		return stale;
	if (task >= job->n) {
		if (!service || job->cancel || to != TASK_PLACED || attempt != 1 ||
		    task >= 2 * job->wanted)
			return (struct model_answer){.err = CF_ENOENT};
		while (job->n <= task)
			job->tasks[job->n++].state = TASK_CANCELLED;
	}
	t = &job->tasks[task];
	idle = t->state == TASK_WAITING || t->state == TASK_EVICTED;
	if (to == TASK_PLACED) {
		if (service && !job->cancel && t->state == TASK_CANCELLED) {
			t->cancel = false;
			idle = true;
		}
		if (!idle || attempt != t->attempt + 1)
			return stale;
		t->state = to;
		t->attempt = attempt;
		t->session = session;
		snprintf(t->worker, sizeof(t->worker), "%s", worker);
		return (struct model_answer){0};
	}
	if (idle && attempt == t->attempt && to == TASK_FAILED && service)
		return (struct model_answer){0};
	if (idle && attempt == t->attempt &&
	    to == (service ? TASK_CANCELLED : TASK_FAILED)) {
		t->state = to;
		goto ended;
	}
	if (!is_active(t) || attempt != t->attempt || session != t->session ||
	    strcmp(worker, t->worker) != 0 ||
	    (to == TASK_RUNNING && t->state == TASK_RUNNING) ||
	    (to == TASK_CANCELLED && !t->cancel && !service))
		return stale;
	if (to == TASK_RUNNING) {
		t->state = to;
		return (struct model_answer){0};
	}
	t->state = after(job, t, to);
ended:
	if (t->state == TASK_FAILED && !job->cancel) {
		job->failed = true;
		job->cancel = true;
		for (uint32_t i = 0; i < job->n; i++)
			cancel_task(&job->tasks[i]);
	}
	settle(m, job);
	return (struct model_answer){0};
}

struct model_claim *model_claim(struct model *m, const char *key)
{
	for (size_t i = 0; i < m->nclaims; i++) {
		if (!m->claims[i].forgotten && strcmp(m->claims[i].key, key) == 0)
			return &m->claims[i];
	}
	return NULL;
}

static bool owns(const struct model_claim *c, const struct model_claim *in)
{
	return strcmp(c->entry, in->entry) == 0 && c->incarnation == in->incarnation &&
	       c->sequence == in->sequence;
}

struct model_answer model_take(struct model *m, const struct model_claim *in)
{
	struct model_claim *c = model_claim(m, in->key);
	int e = in->entry[1] - '0';

	if (m->entries[e].gone || m->entries[e].incarnation != in->incarnation)
		return (struct model_answer){.err = CF_ENOENT};
	if (!c) {
		c = &m->claims[m->nclaims++];
		ck_assert_uint_lt(m->nclaims, MODEL_MAX);
		*c = *in;
		c->state = CLAIM_OPEN;
		c->time_us = m->time_us;
		return (struct model_answer){0};
	}
	if (c->state == CLAIM_EXPIRED)
		return (struct model_answer){.err = CF_ESTALE};
	if (c->hash != in->hash)
		return (struct model_answer){.err = CF_EREUSED};
	if (c->state == CLAIM_DONE)
		return (struct model_answer){.body = c->body};
	if (c->state == CLAIM_UNKNOWN)
		return (struct model_answer){.err = CF_EUNKNOWN};
	return (struct model_answer){.err = owns(c, in) ? 0 : CF_EINPROGRESS};
}

/* kind: CMD_CLAIM_DONE with in->body, CMD_CLAIM_ABORT or CMD_CLAIM_UNKNOWN. */
struct model_answer model_end(struct model *m, const struct model_claim *in,
			      enum command_kind kind)
{
	struct model_claim *c = model_claim(m, in->key);

	if (!c || c->state == CLAIM_EXPIRED || !owns(c, in))
		return (struct model_answer){.err = CF_ESTALE};
	if (kind == CMD_CLAIM_DONE) {
		if (c->state != CLAIM_DONE) {
			memcpy(c->body, in->body, sizeof(c->body));
			c->time_us = m->time_us;
		}
		c->state = CLAIM_DONE;
	} else if (kind == CMD_CLAIM_ABORT) {
		if (c->state != CLAIM_OPEN)
			return (struct model_answer){.err = CF_ESTALE};
		c->forgotten = true;
	} else {
		if (c->state == CLAIM_DONE)
			return (struct model_answer){.err = CF_ESTALE};
		if (c->state == CLAIM_OPEN)
			c->time_us = m->time_us;
		c->state = CLAIM_UNKNOWN;
	}
	return (struct model_answer){0};
}

struct model_answer model_entry(struct model *m, int entry, uint64_t incarnation)
{
	char name[4];

	if (incarnation < m->entries[entry].incarnation)
		return (struct model_answer){.err = CF_ESTALE};
	snprintf(name, sizeof(name), "e%d", entry);
	for (size_t i = 0; i < m->nclaims; i++) {
		struct model_claim *c = &m->claims[i];

		if (c->forgotten || c->state != CLAIM_OPEN ||
		    strcmp(c->entry, name) != 0 || c->incarnation >= incarnation)
			continue;
		c->state = CLAIM_UNKNOWN;
		c->time_us = m->time_us;
	}
	m->entries[entry].incarnation = incarnation;
	return (struct model_answer){0};
}

static void sweep_claim(const struct model *m, struct model_claim *c)
{
	uint64_t width = m->claim.forget_us / PERIODS;

	if (c->state == CLAIM_OPEN && m->time_us - c->time_us >= m->claim.open_us) {
		c->state = CLAIM_UNKNOWN;
		c->time_us = m->time_us;
	}
	if (c->state == CLAIM_EXPIRED && m->time_us >= m->claim.forget_us &&
	    c->time_us / width < (m->time_us - m->claim.forget_us) / width)
		c->forgotten = true;
	if ((c->state == CLAIM_DONE || c->state == CLAIM_UNKNOWN) &&
	    m->time_us - c->time_us >= m->claim.keep_us)
		c->state = CLAIM_EXPIRED;
}

/* Applies the rules of time. */
void model_advance(struct model *m, uint64_t time_us)
{
	uint64_t before = m->time_us;

	if (time_us <= before)
		return;
	m->time_us = time_us;
	if (time_us / SWEEP_US == before / SWEEP_US)
		return;
	for (size_t i = 0; i < m->nresults; i++) {
		if (time_us - m->results[i].time_us > m->keep_us)
			m->results[i].dropped = true;
	}
	for (size_t i = 0; i < m->njobs; i++) {
		if (m->jobs[i].finished_us &&
		    time_us - m->jobs[i].finished_us >= m->keep_us)
			m->jobs[i].dropped = true;
	}
	for (size_t i = 0; i < m->nclaims; i++) {
		if (!m->claims[i].forgotten)
			sweep_claim(m, &m->claims[i]);
	}
}
