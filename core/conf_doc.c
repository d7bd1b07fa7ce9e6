#include "core/conf_doc.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/team.h"
#include "proto/command.h"

/* Splits "/TEAM/WORD/NAME" or "/TEAM/vocabulary". CF_EINVAL for any other form. */
int conf_path_parse(struct str path, struct conf_path *out)
{
	struct str rest;

	if (path.n == 0 || path.n > CMD_MAX_PATH || path.p[0] != '/')
		return CF_EINVAL;
	rest = (struct str){path.p + 1, path.n - 1};
	if (!str_split(rest, '/', &out->team, &rest) || !name_valid(out->team))
		return CF_EINVAL;
	if (!str_split(rest, '/', &out->word, &out->name))
		return str_eq(out->word, STR("vocabulary")) ? 0 : CF_EINVAL;
	return name_valid(out->word) && name_valid(out->name) ? 0 : CF_EINVAL;
}

/* Creates a document from a change, with one reference. CF_EINVAL, CF_ETOOBIG. */
int conf_doc_new(const struct conf_change *change, struct conf_doc **out)
{
	struct conf_path parts;
	struct conf_doc *doc;
	int err = conf_path_parse(change->path, &parts);

	if (err)
		return err;
	if (change->text.n > CMD_MAX_TEXT || change->fields.n > CMD_MAX_PACKED)
		return CF_ETOOBIG;
	doc = malloc(sizeof(*doc) + change->path.n + change->text.n + change->fields.n);
	if (!doc)
		return CF_ENOMEM;
	*doc = (struct conf_doc){
		.revision = change->revision,
		.refs = 1,
		.text_n = (uint32_t)change->text.n,
		.fields_n = (uint32_t)change->fields.n,
		.path_n = (uint16_t)change->path.n,
		.team_n = (uint8_t)parts.team.n,
		.word_n = (uint8_t)parts.word.n,
		.deleted = change->deleted,
	};
	memcpy(doc->bytes, change->path.p, change->path.n);
	if (change->text.n)
		memcpy(doc->bytes + change->path.n, change->text.p, change->text.n);
	if (change->fields.n)
		memcpy(doc->bytes + change->path.n + change->text.n, change->fields.p,
		       change->fields.n);
	*out = doc;
	return 0;
}

struct conf_doc *conf_doc_ref(struct conf_doc *doc)
{
	doc->refs++;
	return doc;
}

void conf_doc_unref(struct conf_doc *doc)
{
	if (doc && --doc->refs == 0)
		free(doc);
}

struct str conf_doc_path(const struct conf_doc *doc)
{
	return (struct str){doc->bytes, doc->path_n};
}

struct str conf_doc_team(const struct conf_doc *doc)
{
	return (struct str){doc->bytes + 1, doc->team_n};
}

struct str conf_doc_word(const struct conf_doc *doc)
{
	return (struct str){doc->bytes + doc->team_n + 2, doc->word_n};
}

/* Returns the last component of the path, empty for a vocabulary. */
struct str conf_doc_name(const struct conf_doc *doc)
{
	size_t skip = (size_t)doc->team_n + doc->word_n + 3;

	if (skip >= doc->path_n)
		return (struct str){NULL, 0};
	return (struct str){doc->bytes + skip, doc->path_n - skip};
}

/* The text as the operator wrote it. */
struct str conf_doc_text(const struct conf_doc *doc)
{
	return (struct str){doc->bytes + doc->path_n, doc->text_n};
}

struct str conf_doc_fields(const struct conf_doc *doc)
{
	return (struct str){doc->bytes + doc->path_n + doc->text_n, doc->fields_n};
}

bool conf_doc_is_vocabulary(const struct conf_doc *doc)
{
	return conf_doc_name(doc).n == 0;
}

/* Memory of the document in bytes. */
size_t conf_doc_bytes(const struct conf_doc *doc)
{
	return sizeof(*doc) + doc->path_n + doc->text_n + doc->fields_n;
}
