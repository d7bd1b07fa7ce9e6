#include "carawayctl/vocab.h"

#include <stdio.h>
#include <string.h>

#include "base/err.h"

enum value_type { V_COUNT, V_TEXT, V_CLASS, V_ZONE_STATE };

/* The fields of the four kinds; see carawayctl(1). */
static const struct field {
	const char *kind;
	const char *name;
	enum value_type type;
} fields[] = {
	{"service", "slots", V_COUNT},
	{"service", "executors", V_COUNT},
	{"service", "cpus", V_COUNT},
	{"service", "memory_mb", V_COUNT},
	{"service", "accelerators", V_COUNT},
	{"service", "deadline_ms", V_COUNT},
	{"service", "max_queue", V_COUNT},
	{"job", "tasks", V_COUNT},
	{"job", "cpus", V_COUNT},
	{"job", "memory_mb", V_COUNT},
	{"job", "accelerators", V_COUNT},
	{"job", "duration_s", V_COUNT},
	{"job", "deadline_s", V_COUNT},
	{"job", "class", V_CLASS},
	{"job", "command", V_TEXT},
	{"job", "kind", V_TEXT},
	{"job", "max_attempts", V_COUNT},
	{"zone", "state", V_ZONE_STATE},
	{"quota", "cpus", V_COUNT},
	{"quota", "memory_mb", V_COUNT},
	{"quota", "accelerators", V_COUNT},
	{"quota", "tasks", V_COUNT},
	{"quota", "weight", V_COUNT},
};

#define N_FIELDS (sizeof(fields) / sizeof(fields[0]))

static int fail(struct document_error *error, const char *what, const char *word)
{
	error->line = 0;
	snprintf(error->text, sizeof(error->text), "%.64s: %s", word, what);
	return CF_EINVAL;
}

bool vocab_is_kind(const char *kind)
{
	for (size_t i = 0; i < N_FIELDS; i++)
		if (strcmp(fields[i].kind, kind) == 0)
			return true;
	return false;
}

/* kind NULL: any kind. */
static const struct field *field_find(const char *kind, const char *name)
{
	for (size_t i = 0; i < N_FIELDS; i++)
		if ((!kind || strcmp(fields[i].kind, kind) == 0) &&
		    strcmp(fields[i].name, name) == 0)
			return &fields[i];
	return NULL;
}

/* Checks a vocabulary document. CF_EINVAL with a reason. */
int vocab_check(const json_t *vocabulary, struct document_error *error)
{
	const char *key;
	const char *word;
	json_t *part;
	json_t *v;

	json_object_foreach((json_t *)vocabulary, key, part)
	{
		bool kinds = strcmp(key, "kinds") == 0;

		if (!kinds && strcmp(key, "fields") != 0)
			return fail(error, "neither kinds nor fields", key);
		if (!json_is_object(part))
			return fail(error, "is not a mapping", key);
		json_object_foreach(part, word, v)
		{
			const char *to = json_string_value(v);

			if (!to || !(kinds ? vocab_is_kind(to) : !!field_find(NULL, to)))
				return fail(error,
					    kinds ? "is not service, job, zone or quota"
						  : "does not name a field",
					    word);
		}
	}
	if (json_object_size(json_object_get(vocabulary, "kinds")) == 0)
		return fail(error, "is missing or empty", "kinds");
	return 0;
}

static bool value_valid(enum value_type type, const json_t *v)
{
	const char *s = json_string_value(v);

	switch (type) {
	case V_COUNT:
		return json_is_integer(v) && json_integer_value(v) >= 0;
	case V_TEXT:
		return s && *s;
	case V_CLASS:
		return s && (strcmp(s, "urgent") == 0 || strcmp(s, "batch") == 0);
	case V_ZONE_STATE:
		return s && (strcmp(s, "in") == 0 || strcmp(s, "out") == 0);
	}
	return false;
}

/*
 * Checks a document of a word against the vocabulary. A key that the vocabulary does
 * not map stands for the field of that name. CF_EINVAL with a reason.
 */
int vocab_check_document(const json_t *vocabulary, const char *word,
			 const json_t *document, struct document_error *error)
{
	const json_t *map = json_object_get(vocabulary, "fields");
	const char *kind = json_string_value(
		json_object_get(json_object_get(vocabulary, "kinds"), word));
	const char *seen[N_FIELDS];
	size_t n_seen = 0;
	const char *key;
	json_t *v;

	if (!kind)
		return fail(error, "is not a kind in the vocabulary", word);
	json_object_foreach((json_t *)document, key, v)
	{
		const char *name = json_string_value(json_object_get(map, key));
		const struct field *f = field_find(kind, name ? name : key);

		if (!f)
			return fail(error, "is not a field of this kind", key);
		if (!value_valid(f->type, v))
			return fail(error, "has a value out of its range", key);
		for (size_t i = 0; i < n_seen; i++)
			if (strcmp(seen[i], f->name) == 0)
				return fail(error, "gives the same field again", key);
		seen[n_seen++] = f->name;
	}
	return 0;
}

/* Returns a word that the vocabulary maps to a kind, NULL without one; *n counts them. */
const char *vocab_word_of_kind(const json_t *vocabulary, const char *kind, size_t *n)
{
	json_t *kinds = json_object_get(vocabulary, "kinds");
	const char *found = NULL;
	const char *word;
	json_t *v;

	*n = 0;
	json_object_foreach(kinds, word, v)
	{
		const char *to = json_string_value(v);

		if (to && strcmp(to, kind) == 0) {
			found = word;
			(*n)++;
		}
	}
	return found;
}

/* Returns the team's word for a field; the field's own name when it has none. */
const char *vocab_word_of_field(const json_t *vocabulary, const char *field)
{
	json_t *map = json_object_get(vocabulary, "fields");
	const char *word;
	json_t *v;

	json_object_foreach(map, word, v)
	{
		const char *to = json_string_value(v);

		if (to && strcmp(to, field) == 0)
			return word;
	}
	return field;
}
