#include "carawayctl/vocabulary.h"

#include "base/err.h"
#include "core/fields.h"
#include "core/vocab.h"
#include "core/vocab_error.h"
#include "core/vocab_schema.h"
#include "io/doc_fields.h"

/* Parses a YAML or JSON document and appends its packed fields to packed. */
int vocabulary_parse_document(struct str text, struct buf *packed, struct buf *problem)
{
	struct command_fields fields;
	int e = doc_fields_read(text, &fields, problem);

	if (!e) {
		e = fields_pack(&fields, packed);
		if (e)
			buf_addf(problem, "fields: %s", cf_strerror(e));
	}
	doc_fields_free(&fields);
	return e;
}

/* Checks that a vocabulary maps words to known kinds and fields. */
int vocabulary_check(struct str vocabulary, struct buf *problem)
{
	struct vocab_error error = {0};
	int e = vocab_check(vocabulary, &error);

	if (e)
		vocab_error_format(&error, problem);
	return e;
}

/* Checks the fields of a document against the kind that word is mapped to. */
int vocabulary_check_document(struct str vocabulary, struct str word, struct str fields,
			      struct buf *problem)
{
	enum conf_kind kind = vocab_kind(vocabulary, word);
	struct vocab_error error = {.problem = VOCAB_UNKNOWN_WORD, .field = word};
	struct conf_item item;
	int e = CF_EINVAL;

	if (kind != CONF_KIND_NONE)
		e = vocab_read(vocabulary, kind, fields, &item, &error);
	if (e)
		vocab_error_format(&error, problem);
	return e;
}

/*
 * Returns the last word that the vocabulary maps to a kind, or else the canonical name
 * of the kind. *n is the number of words for the kind, 0 if not even the canonical name
 * stands for it.
 */
struct str vocabulary_word_for_kind(struct str vocabulary, enum conf_kind kind, size_t *n)
{
	struct str canonical = str_from(vocab_kind_names[kind]);
	struct str prefix = STR("kinds.");
	struct str found = canonical;
	struct fields_iter it;
	struct str name, value;

	*n = 0;
	fields_iter_init(vocabulary, &it);
	while (fields_iter_next(&it, &name, &value)) {
		if (!str_starts(name, prefix) || !str_eq(value, canonical))
			continue;
		found = (struct str){name.p + prefix.n, name.n - prefix.n};
		(*n)++;
	}
	if (*n == 0 && vocab_kind(vocabulary, canonical) == kind)
		*n = 1;
	return found;
}

/* Returns the team's first word for a field, or else the canonical name. */
struct str vocabulary_word_for_field(struct str vocabulary, enum conf_field field)
{
	struct str canonical = str_from(vocab_field_names[field]);
	struct str prefix = STR("fields.");
	struct fields_iter it;
	struct str name, value;

	fields_iter_init(vocabulary, &it);
	while (fields_iter_next(&it, &name, &value))
		if (str_starts(name, prefix) && str_eq(value, canonical))
			return (struct str){name.p + prefix.n, name.n - prefix.n};
	return canonical;
}
