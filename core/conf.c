#include "core/conf.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/fields.h"

#define DEFAULT_TEXT_BYTES (128 << 10)
#define DEFAULT_VERSIONS 16
/* More than a day of changes (2,500): observers that missed a day need no full copy. */
#define DEFAULT_CHANGES 4096
#define DEFAULT_HISTORY_BYTES (512 << 10)

struct conf {
	struct conf_options options;
	struct conf_view *view;
	struct conf_doc **log; /* retained changes in ascending order of revision */
	size_t first;	       /* index of the oldest change in log */
	size_t end;
	size_t cap;
	size_t history_bytes;
	uint64_t base_revision; /* the log is complete after this revision */
};

void conf_defaults(struct conf_options *o)
{
	conf_view_defaults(&o->view);
	o->text_bytes = DEFAULT_TEXT_BYTES;
	o->versions = DEFAULT_VERSIONS;
	o->changes = DEFAULT_CHANGES;
	o->history_bytes = DEFAULT_HISTORY_BYTES;
}

int conf_new(const struct conf_options *o, struct conf **out)
{
	struct conf *c = calloc(1, sizeof(*c));
	int err;

	if (!c)
		return CF_ENOMEM;
	c->options = *o;
	err = conf_view_new(&o->view, &c->view);
	if (err) {
		free(c);
		return err;
	}
	*out = c;
	return 0;
}

void conf_free(struct conf *c)
{
	if (!c)
		return;
	for (size_t i = c->first; i < c->end; i++)
		conf_doc_unref(c->log[i]);
	free(c->log);
	conf_view_free(c->view);
	free(c);
}

static bool is_current_version(const struct conf *c, const struct conf_doc *doc)
{
	return conf_view_get(c->view, conf_doc_path(doc)) == doc;
}

/* Removes change i from the log. The log base moves only if i is the oldest. */
static void drop_change(struct conf *c, size_t i)
{
	struct conf_doc *doc = c->log[i];

	if (!is_current_version(c, doc))
		c->history_bytes -= conf_doc_bytes(doc);
	if (i == c->first) {
		c->base_revision = doc->revision;
		c->first++;
	} else {
		memmove(c->log + i, c->log + i + 1, (c->end - i - 1) * sizeof(void *));
		c->end--;
	}
	conf_doc_unref(doc);
}

static int append_change(struct conf *c, struct conf_doc *doc)
{
	if (c->end == c->cap && c->first) {
		memmove(c->log, c->log + c->first, (c->end - c->first) * sizeof(void *));
		c->end -= c->first;
		c->first = 0;
	}
	if (c->end == c->cap) {
		size_t cap = c->cap ? c->cap * 2 : 16;
		struct conf_doc **log = realloc(c->log, cap * sizeof(void *));

		if (!log)
			return CF_ENOMEM;
		c->log = log;
		c->cap = cap;
	}
	c->log[c->end++] = conf_doc_ref(doc);
	return 0;
}

/*
 * Removes the oldest version of a path if the path exceeds options.versions. A newer
 * change of the path remains, so observers still reach the current state and the base
 * revision does not move.
 */
static void trim_path_history(struct conf *c, struct str path)
{
	size_t n = 0;

	for (size_t i = c->end; i > c->first; i--) {
		if (!str_eq(conf_doc_path(c->log[i - 1]), path))
			continue;
		if (++n > c->options.versions) {
			uint64_t base = c->base_revision;

			drop_change(c, i - 1);
			c->base_revision = base;
			return;
		}
	}
}

/*
 * Appends a change to the log and trims the log to its limits. old is the replaced
 * version if the log holds it, else NULL.
 */
static int record_change(struct conf *c, struct conf_doc *doc, const struct conf_doc *old)
{
	int err = append_change(c, doc);

	if (err)
		return err;
	if (doc->deleted)
		c->history_bytes += conf_doc_bytes(doc);
	if (old)
		c->history_bytes += conf_doc_bytes(old);
	trim_path_history(c, conf_doc_path(doc));
	while (c->end - c->first > c->options.changes ||
	       (c->history_bytes > c->options.history_bytes && c->first < c->end))
		drop_change(c, c->first);
	return 0;
}

/* Returns whether the log holds this version. */
static bool in_log(const struct conf *c, const struct conf_doc *doc)
{
	return conf_change_after(c, doc->revision - 1) == doc;
}

static int reply_conflict(const struct conf_doc *winner, struct reply *reply)
{
	int err = 0;

	if (winner) {
		reply->revision = winner->revision;
		err = buf_set(&reply->detail, conf_doc_text(winner));
	}
	return err ? err : CF_ECONFLICT;
}

/* Checks a new version against the schema and the limits of its team. */
static int check_version(const struct conf *c, const struct conf_doc *doc,
			 struct reply *reply)
{
	struct vocab_error e;
	int err = conf_view_check(c->view, doc, &e);

	if (err) {
		int failed = vocab_error_format(&e, &reply->detail);

		return failed ? failed : err;
	}
	return conf_view_fits(c->view, doc);
}

/*
 * Validates a change and creates the new version without storing it. The current revision
 * of the document must equal `expected` (0: the document must not exist). Returns
 * CF_ECONFLICT with revision and text of the current version in the reply (revision 0 if
 * there is none), CF_EINVAL with a description, CF_ETOOBIG, CF_ENOSPACE, or CF_ENOENT
 * when a document to delete does not exist.
 */
int conf_prepare(const struct conf *c, const struct conf_change *change,
		 uint64_t expected, struct reply *reply, struct conf_doc **out)
{
	const struct conf_doc *current = conf_view_get(c->view, change->path);
	struct conf_doc *doc;
	int err;

	if (change->text.n > c->options.text_bytes ||
	    change->fields.n > c->options.text_bytes)
		return CF_ETOOBIG;
	err = conf_doc_new(change, &doc);
	if (err)
		return err;
	if (change->deleted && !current && !expected)
		err = CF_ENOENT;
	else if (expected != (current ? current->revision : 0))
		err = reply_conflict(current, reply);
	else
		err = check_version(c, doc, reply);
	if (err)
		conf_doc_unref(doc);
	else
		*out = doc;
	return err;
}

/* Stores a prepared version as the current one. CF_ENOMEM is fatal for the store. */
int conf_commit(struct conf *c, struct conf_doc *doc, struct reply *reply)
{
	const struct conf_doc *current = conf_view_get(c->view, conf_doc_path(doc));
	struct conf_doc *old = NULL;
	int err;

	/* conf_view_set() drops its reference; the log may still need the old version. */
	if (current && in_log(c, current))
		old = conf_doc_ref((struct conf_doc *)(uintptr_t)current);
	err = conf_view_set(c->view, doc);
	if (!err)
		err = record_change(c, doc, old);
	if (!err)
		reply->revision = doc->revision;
	conf_doc_unref(old);
	return err;
}

/* Returns the view of the current documents. */
const struct conf_view *conf_current_docs(const struct conf *c)
{
	return c->view;
}

/* Returns whether the log holds all changes needed after the revision. */
bool conf_complete_after(const struct conf *c, uint64_t revision)
{
	return revision >= c->base_revision;
}

/*
 * Returns the oldest retained change after the revision, NULL if there is none. If
 * conf_complete_after() is false, an observer needs a full copy instead.
 */
const struct conf_doc *conf_change_after(const struct conf *c, uint64_t revision)
{
	size_t lo = c->first;
	size_t hi = c->end;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (c->log[mid]->revision <= revision)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo < c->end ? c->log[lo] : NULL;
}

/* Returns the newest retained version of a path before the revision, or NULL. */
const struct conf_doc *conf_version_before(const struct conf *c, struct str path,
					   uint64_t revision)
{
	for (size_t i = c->end; i > c->first; i--) {
		const struct conf_doc *doc = c->log[i - 1];

		if (doc->revision < revision && str_eq(conf_doc_path(doc), path))
			return doc;
	}
	return NULL;
}

/* Memory of retained versions that are no longer current, in bytes. */
size_t conf_history_bytes(const struct conf *c)
{
	return c->history_bytes;
}

/* Revision up to which changes may have been removed from the log. */
uint64_t conf_log_base(const struct conf *c)
{
	return c->base_revision;
}

/* The newest change, or the revision after which the log begins. */
static uint64_t last_revision(const struct conf *c)
{
	return c->end > c->first ? c->log[c->end - 1]->revision : c->base_revision;
}

/* Adds a current document from a snapshot. Returns CF_ECORRUPT if it is invalid. */
int conf_load_doc(struct conf *c, const struct conf_change *change)
{
	struct conf_doc *doc;
	int err = fields_check(change->fields);

	if (!err && (change->text.n > c->options.text_bytes || change->deleted ||
		     conf_view_get(c->view, change->path)))
		err = CF_ECORRUPT;
	if (!err)
		err = conf_doc_new(change, &doc);
	if (err)
		return err;
	err = conf_view_fits(c->view, doc);
	if (!err)
		err = conf_view_set(c->view, doc);
	conf_doc_unref(doc);
	return err;
}

/*
 * Appends the next change of the log from a snapshot. With `present` the version is the
 * current document, which must be loaded already. Returns CF_ECORRUPT if it is not or if
 * the revisions are not ascending.
 */
int conf_load_change(struct conf *c, const struct conf_change *change, bool present)
{
	struct conf_doc *doc;
	int err;

	if (change->revision <= last_revision(c))
		return CF_ECORRUPT;
	if (present) {
		const struct conf_doc *stored = conf_view_get(c->view, change->path);

		if (!stored || stored->revision != change->revision)
			return CF_ECORRUPT;
		return append_change(c, (struct conf_doc *)(uintptr_t)stored);
	}
	err = fields_check(change->fields);
	if (!err)
		err = conf_doc_new(change, &doc);
	if (err)
		return err;
	err = append_change(c, doc);
	if (!err)
		c->history_bytes += conf_doc_bytes(doc);
	conf_doc_unref(doc);
	return err;
}

/* Sets the base revision of the log; must precede conf_load_change(). */
int conf_load_log_base(struct conf *c, uint64_t base)
{
	if (c->end > c->first)
		return CF_ECORRUPT;
	c->base_revision = base;
	return 0;
}

/*
 * Completes loading. Returns CF_ECORRUPT if a document violates its schema or a revision
 * is above index: changes that follow have higher ones.
 */
int conf_load_end(struct conf *c, uint64_t index)
{
	struct vocab_error e;

	if (last_revision(c) > index)
		return CF_ECORRUPT;
	for (size_t i = 0; i < conf_view_teams(c->view); i++) {
		const struct conf_doc *const *docs;
		size_t n;

		docs = conf_view_team(c->view, conf_view_team_name(c->view, i), &n);
		for (size_t k = 0; k < n; k++) {
			if (docs[k]->revision > index ||
			    conf_view_check(c->view, docs[k], &e))
				return CF_ECORRUPT;
		}
	}
	return 0;
}
