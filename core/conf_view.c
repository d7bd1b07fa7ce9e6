#include "core/conf_view.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/fields.h"
#include "core/team.h"

/* The target size is 510 teams with 10,000 documents of about 630 bytes. */
#define DEFAULT_TEAMS 640
static const struct share_options default_docs = {8, 12000, 4000};
static const struct share_options default_bytes = {4 << 10, 5 << 20, 2 << 20};

struct view_team {
	struct team team;
	struct conf_doc **docs; /* ordered by path, the vocabulary among them */
	size_t n;
	size_t cap;
	uint64_t used_docs;
	uint64_t used_bytes;
};

struct conf_view {
	struct conf_view_options options;
	struct teams teams;
	struct share docs;
	struct share bytes;
	uint64_t index;	  /* all changes up to this index are applied */
	uint64_t applied; /* newest applied revision, even if the call failed later */
};

void conf_view_defaults(struct conf_view_options *o)
{
	*o = (struct conf_view_options){
		.teams = DEFAULT_TEAMS,
		.docs = default_docs,
		.bytes = default_bytes,
	};
}

int conf_view_new(const struct conf_view_options *o, struct conf_view **out)
{
	struct conf_view *v = calloc(1, sizeof(*v));

	if (!v)
		return CF_ENOMEM;
	v->options = *o;
	v->teams.max = o->teams;
	v->teams.size = sizeof(struct view_team);
	v->docs.options = o->docs;
	v->bytes.options = o->bytes;
	*out = v;
	return 0;
}

static struct view_team *team_at(const struct conf_view *v, size_t i)
{
	return (struct view_team *)v->teams.list[i];
}

static struct view_team *find_team(const struct conf_view *v, struct str name)
{
	return (struct view_team *)teams_find(&v->teams, name);
}

void conf_view_free(struct conf_view *v)
{
	if (!v)
		return;
	for (size_t i = 0; i < v->teams.count; i++) {
		struct view_team *t = team_at(v, i);

		for (size_t k = 0; k < t->n; k++)
			conf_doc_unref(t->docs[k]);
		free(t->docs);
	}
	teams_free(&v->teams);
	free(v);
}

/* Returns the index of the first document whose path is not less than `path`. */
static size_t lower_bound(const struct view_team *t, struct str path)
{
	size_t lo = 0;
	size_t hi = t->n;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (str_cmp(conf_doc_path(t->docs[mid]), path) < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

static struct conf_doc *find_doc(const struct view_team *t, struct str path)
{
	size_t i = t ? lower_bound(t, path) : 0;

	if (!t || i == t->n || !str_eq(conf_doc_path(t->docs[i]), path))
		return NULL;
	return t->docs[i];
}

/* Returns the document at a path, or NULL. */
const struct conf_doc *conf_view_get(const struct conf_view *v, struct str path)
{
	struct conf_path parts;

	if (conf_path_parse(path, &parts))
		return NULL;
	return find_doc(find_team(v, parts.team), path);
}

/* Returns CF_ENOSPACE if storing the document would exceed a limit, else 0. */
int conf_view_fits(const struct conf_view *v, const struct conf_doc *doc)
{
	const struct view_team *t = find_team(v, conf_doc_team(doc));
	const struct conf_doc *old = find_doc(t, conf_doc_path(doc));
	size_t size = conf_doc_bytes(doc);
	size_t freed = old ? conf_doc_bytes(old) : 0;

	if (doc->deleted)
		return 0;
	if (!t && v->teams.count >= v->teams.max)
		return CF_ENOSPACE;
	if (!old && !share_fits(&v->docs, t ? t->used_docs : 0, 1))
		return CF_ENOSPACE;
	if (size > freed && !share_fits(&v->bytes, t ? t->used_bytes : 0, size - freed))
		return CF_ENOSPACE;
	return 0;
}

static void remove_doc(struct conf_view *v, struct view_team *t, size_t i)
{
	share_release(&v->docs, &t->used_docs, 1);
	share_release(&v->bytes, &t->used_bytes, conf_doc_bytes(t->docs[i]));
	conf_doc_unref(t->docs[i]);
	memmove(t->docs + i, t->docs + i + 1, (t->n - i - 1) * sizeof(void *));
	t->n--;
	if (t->n == 0) {
		free(t->docs);
		teams_remove(&v->teams, &t->team);
	}
}

static int insert_doc(struct conf_view *v, struct view_team *t, size_t i,
		      struct conf_doc *doc)
{
	if (t->n == t->cap) {
		size_t cap = t->cap ? t->cap * 2 : 4;
		struct conf_doc **docs = realloc(t->docs, cap * sizeof(void *));

		if (!docs)
			return CF_ENOMEM;
		t->docs = docs;
		t->cap = cap;
	}
	memmove(t->docs + i + 1, t->docs + i, (t->n - i) * sizeof(void *));
	t->docs[i] = conf_doc_ref(doc);
	t->n++;
	share_acquire(&v->docs, &t->used_docs, 1);
	share_acquire(&v->bytes, &t->used_bytes, conf_doc_bytes(doc));
	return 0;
}

/* Stores the newest version of a path (or deletes it) and takes a reference. */
int conf_view_set(struct conf_view *v, struct conf_doc *doc)
{
	struct view_team *t = find_team(v, conf_doc_team(doc));
	struct conf_doc *old = find_doc(t, conf_doc_path(doc));
	int err = 0;

	if (old && doc->deleted) {
		remove_doc(v, t, lower_bound(t, conf_doc_path(doc)));
	} else if (old) {
		share_release(&v->bytes, &t->used_bytes, conf_doc_bytes(old));
		share_acquire(&v->bytes, &t->used_bytes, conf_doc_bytes(doc));
		t->docs[lower_bound(t, conf_doc_path(doc))] = conf_doc_ref(doc);
		conf_doc_unref(old);
	} else if (!doc->deleted) {
		struct team *team;

		err = teams_add(&v->teams, conf_doc_team(doc), &team);
		if (err)
			return err;
		t = (struct view_team *)team;
		err = insert_doc(v, t, lower_bound(t, conf_doc_path(doc)), doc);
		if (err && t->n == 0)
			teams_remove(&v->teams, team);
	}
	if (!err && doc->revision > v->applied)
		v->applied = doc->revision;
	return err;
}

/* Applies one change that was received from a state process. */
static int apply_change(struct conf_view *v, const struct conf_change *change)
{
	struct conf_doc *doc;
	int err = fields_check(change->fields);

	if (!err)
		err = conf_doc_new(change, &doc);
	if (err)
		return err;
	err = conf_view_fits(v, doc);
	if (!err)
		err = conf_view_set(v, doc);
	conf_doc_unref(doc);
	return err;
}

/*
 * Applies the changes with revisions in (after, index], in ascending order, and skips
 * those that the copy already has. Returns CF_ESTALE if the reply is older than the copy,
 * CF_EINVAL if changes between the copy and `after` would be missed or the order is
 * wrong. After any other error the index is unchanged and the call may be repeated.
 */
int conf_view_advance(struct conf_view *v, uint64_t after, uint64_t index,
		      const struct conf_change *changes, size_t n)
{
	uint64_t last = after;

	if (index < v->index || index < v->applied)
		return CF_ESTALE;
	if (after > v->index)
		return CF_EINVAL;
	for (size_t i = 0; i < n; i++) {
		if (changes[i].revision <= last || changes[i].revision > index)
			return CF_EINVAL;
		last = changes[i].revision;
	}
	for (size_t i = 0; i < n; i++) {
		int err;

		if (changes[i].revision <= v->index || changes[i].revision <= v->applied)
			continue;
		err = apply_change(v, &changes[i]);
		if (err)
			return err;
	}
	v->index = index;
	return 0;
}

/*
 * Replaces the copy by the full set of documents as of index. Returns CF_ESTALE if that
 * is older than the copy. After any error the copy is unchanged.
 */
int conf_view_replace(struct conf_view *v, uint64_t index,
		      const struct conf_change *changes, size_t n)
{
	struct conf_view *fresh;
	struct conf_view old;
	int err;

	if (index < v->index || index < v->applied)
		return CF_ESTALE;
	err = conf_view_new(&v->options, &fresh);
	if (err)
		return err;
	for (size_t i = 0; i < n && !err; i++) {
		if (changes[i].revision > index || changes[i].deleted)
			err = CF_EINVAL;
		else
			err = apply_change(fresh, &changes[i]);
	}
	if (!err) {
		fresh->index = index;
		old = *v;
		*v = *fresh;
		*fresh = old;
	}
	conf_view_free(fresh);
	return err;
}

/* Index up to which the copy is complete; 0 before the first reply. */
uint64_t conf_view_index(const struct conf_view *v)
{
	return v->index;
}

size_t conf_view_count(const struct conf_view *v)
{
	return v->docs.total;
}

/* Sum of conf_doc_bytes() of all documents. */
size_t conf_view_bytes(const struct conf_view *v)
{
	return v->bytes.total;
}

/* Number of teams that have documents. */
size_t conf_view_teams(const struct conf_view *v)
{
	return v->teams.count;
}

/* Name of team i, in ascending order of names. */
struct str conf_view_team_name(const struct conf_view *v, size_t i)
{
	return team_name(v->teams.list[i]);
}

/* Returns the documents of a team, ordered by path. */
const struct conf_doc *const *conf_view_team(const struct conf_view *v, struct str team,
					     size_t *n)
{
	const struct view_team *t = find_team(v, team);

	*n = t ? t->n : 0;
	return t ? (const struct conf_doc *const *)t->docs : NULL;
}

/* Binary search: words may sort before and after "vocabulary". */
static struct str find_vocabulary(const struct view_team *t)
{
	size_t lo = 0;
	size_t hi = t ? t->n : 0;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;
		const struct conf_doc *doc = t->docs[mid];
		size_t skip = (size_t)doc->team_n + 2;
		struct str rest = {doc->bytes + skip, doc->path_n - skip};
		int c = str_cmp(rest, STR("vocabulary"));

		if (c == 0)
			return conf_doc_fields(doc);
		if (c < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return (struct str){NULL, 0};
}

/* Returns the packed fields of the team's vocabulary, empty if there is none. */
struct str conf_view_vocabulary(const struct conf_view *v, struct str team)
{
	return find_vocabulary(find_team(v, team));
}

/* Returns the kind of a document, CONF_KIND_NONE for a vocabulary. */
enum conf_kind conf_view_kind(const struct conf_view *v, const struct conf_doc *doc)
{
	if (conf_doc_is_vocabulary(doc))
		return CONF_KIND_NONE;
	return vocab_kind(conf_view_vocabulary(v, conf_doc_team(doc)),
			  conf_doc_word(doc));
}

/* Reads a document into its canonical view. CF_EINVAL for a vocabulary. */
int conf_view_read(const struct conf_view *v, const struct conf_doc *doc,
		   struct conf_item *out)
{
	struct str vocabulary = conf_view_vocabulary(v, conf_doc_team(doc));
	enum conf_kind kind = conf_view_kind(v, doc);
	struct vocab_error e;

	if (kind == CONF_KIND_NONE)
		return CF_EINVAL;
	return vocab_read(vocabulary, kind, conf_doc_fields(doc), out, &e);
}

/* Reads a team's document by kind and name, whatever its word. CF_ENOENT. */
int conf_view_find(const struct conf_view *v, struct str team, enum conf_kind kind,
		   struct str name, struct conf_item *out)
{
	const struct view_team *t = find_team(v, team);

	for (size_t i = 0; t && i < t->n; i++) {
		if (str_eq(conf_doc_name(t->docs[i]), name) &&
		    conf_view_kind(v, t->docs[i]) == kind)
			return conf_view_read(v, t->docs[i], out);
	}
	return CF_ENOENT;
}

/* Checks the kind and fields of a document against a vocabulary. */
static int check_fields(struct str vocabulary, const struct conf_doc *doc,
			struct vocab_error *e)
{
	enum conf_kind kind = vocab_kind(vocabulary, conf_doc_word(doc));
	struct conf_item item;

	if (kind == CONF_KIND_NONE) {
		*e = (struct vocab_error){.problem = VOCAB_UNKNOWN_WORD,
					  .field = conf_doc_word(doc)};
		return CF_EINVAL;
	}
	return vocab_read(vocabulary, kind, conf_doc_fields(doc), &item, e);
}

/* Checks one document; its name must be unique among all words of its kind. */
static int check_doc(const struct view_team *t, const struct conf_doc *doc,
		     struct vocab_error *e)
{
	struct str vocabulary = find_vocabulary(t);
	enum conf_kind kind = vocab_kind(vocabulary, conf_doc_word(doc));
	int err = check_fields(vocabulary, doc, e);

	if (err)
		return err;
	for (size_t i = 0; t && i < t->n; i++) {
		const struct conf_doc *other = t->docs[i];

		if (str_eq(conf_doc_name(other), conf_doc_name(doc)) &&
		    !str_eq(conf_doc_word(other), conf_doc_word(doc)) &&
		    vocab_kind(vocabulary, conf_doc_word(other)) == kind) {
			*e = (struct vocab_error){.problem = VOCAB_NAME_TAKEN,
						  .field = conf_doc_name(doc)};
			return CF_EINVAL;
		}
	}
	return 0;
}

/*
 * Checks a new vocabulary against the stored documents of its team. A word that has
 * documents must not change its kind, which keeps names unique within a kind.
 */
static int check_vocabulary(const struct view_team *t, const struct conf_doc *doc,
			    struct vocab_error *e)
{
	struct str next = conf_doc_fields(doc);
	struct str now = find_vocabulary(t);
	int err = vocab_check(next, e);

	for (size_t i = 0; !err && t && i < t->n; i++) {
		const struct conf_doc *stored = t->docs[i];
		struct str word = conf_doc_word(stored);

		if (conf_doc_is_vocabulary(stored))
			continue;
		err = check_fields(next, stored, e);
		if (!err && vocab_kind(next, word) != vocab_kind(now, word)) {
			*e = (struct vocab_error){.problem = VOCAB_KIND_CHANGED,
						  .field = word};
			err = CF_EINVAL;
		}
		if (err)
			e->path = conf_doc_path(stored);
	}
	return err;
}

/*
 * Validates a new version, which may be a deletion, before conf_view_set(). Returns
 * CF_EINVAL and fills *e, whose strings point into the version or stored documents.
 */
int conf_view_check(const struct conf_view *v, const struct conf_doc *doc,
		    struct vocab_error *e)
{
	const struct view_team *t = find_team(v, conf_doc_team(doc));

	*e = (struct vocab_error){.problem = VOCAB_OK};
	if (conf_doc_is_vocabulary(doc))
		return check_vocabulary(t, doc, e);
	if (doc->deleted)
		return 0;
	return check_doc(t, doc, e);
}
