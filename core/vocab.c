#include "core/vocab.h"

#include <string.h>

#include "base/err.h"
#include "core/fields.h"
#include "core/team.h"
#include "core/vocab_value.h"

#define KINDS STR("kinds.")
#define FIELDS STR("fields.")

static int set_error(struct vocab_error *e, enum vocab_problem problem, struct str field,
		     const struct vocab_rule *rule)
{
	*e = (struct vocab_error){.problem = problem, .field = field, .rule = rule};
	return CF_EINVAL;
}

static bool parse_kind(struct str word, enum conf_kind *out)
{
	for (int k = CONF_KIND_NONE + 1; k < CONF_KINDS; k++) {
		if (str_eq(word, str_from(vocab_kind_names[k]))) {
			*out = (enum conf_kind)k;
			return true;
		}
	}
	return false;
}

static bool parse_field(struct str name, enum conf_field *out)
{
	for (int f = 0; f < CONF_FIELDS; f++) {
		if (str_eq(name, str_from(vocab_field_names[f]))) {
			*out = (enum conf_field)f;
			return true;
		}
	}
	return false;
}

static struct str strip_prefix(struct str s, struct str prefix)
{
	return (struct str){s.p + prefix.n, s.n - prefix.n};
}

/*
 * Checks a vocabulary without regard to stored documents. Returns CF_EINVAL and fills *e
 * if an entry is invalid.
 */
int vocab_check(struct str vocabulary, struct vocab_error *e)
{
	struct fields_iter it;
	struct str name, value;
	enum conf_kind kind;
	enum conf_field field;

	fields_iter_init(vocabulary, &it);
	if (it.left > VOCAB_MAX_ENTRIES)
		return set_error(e, VOCAB_TOO_MANY, STR("vocabulary"), NULL);
	while (fields_iter_next(&it, &name, &value)) {
		if (str_starts(name, KINDS)) {
			if (!name_valid(strip_prefix(name, KINDS)))
				return set_error(e, VOCAB_BAD_ENTRY, name, NULL);
			if (!parse_kind(value, &kind))
				return set_error(e, VOCAB_UNKNOWN_KIND, name, NULL);
		} else if (str_starts(name, FIELDS) && name.n > FIELDS.n) {
			if (!parse_field(value, &field))
				return set_error(e, VOCAB_UNKNOWN_MAPPING, name, NULL);
		} else {
			return set_error(e, VOCAB_BAD_ENTRY, name, NULL);
		}
	}
	return 0;
}

/* Looks up the vocabulary entry named prefix + word. */
static bool find_entry(struct str vocabulary, struct str prefix, struct str word,
		       struct str *value)
{
	struct fields_iter it;
	struct str name;

	fields_iter_init(vocabulary, &it);
	while (fields_iter_next(&it, &name, value)) {
		if (name.n == prefix.n + word.n && str_starts(name, prefix) &&
		    str_eq(strip_prefix(name, prefix), word))
			return true;
	}
	return false;
}

/* Returns the kind that a word maps to, CONF_KIND_NONE if there is none. */
enum conf_kind vocab_kind(struct str vocabulary, struct str word)
{
	enum conf_kind kind = CONF_KIND_NONE;
	struct str value;

	if (!find_entry(vocabulary, KINDS, word, &value))
		value = word;
	return parse_kind(value, &kind) ? kind : CONF_KIND_NONE;
}

/* Maps a field name to its canonical field. Returns false if there is none. */
bool vocab_field(struct str vocabulary, struct str name, enum conf_field *out)
{
	struct str value;

	if (!find_entry(vocabulary, FIELDS, name, &value))
		value = name;
	return parse_field(value, out);
}

/* Strips ".NUMBER" from the name of a list element; false if it has no such suffix. */
static bool strip_list_index(struct str name, struct str *list)
{
	size_t n = name.n;

	while (n && name.p[n - 1] >= '0' && name.p[n - 1] <= '9')
		n--;
	if (n < 2 || n == name.n || name.p[n - 1] != '.')
		return false;
	*list = (struct str){name.p, n - 1};
	return true;
}

/* Returns the rule for a field or list element name, NULL if the kind lacks it. */
static const struct vocab_rule *find_rule(struct str vocabulary, enum conf_kind kind,
					  struct str name, bool *element)
{
	const struct vocab_rule *rule;
	enum conf_field field;

	*element = false;
	if (vocab_field(vocabulary, name, &field))
		return vocab_rule(kind, field);
	if (!strip_list_index(name, &name) || !vocab_field(vocabulary, name, &field))
		return NULL;
	*element = true;
	rule = vocab_rule(kind, field);
	return rule && rule->type == VOCAB_LIST ? rule : NULL;
}

/*
 * Translates fields with a team's names into canonical fields. Returns CF_EINVAL and
 * fills *e if they do not match the schema of the kind.
 */
int vocab_read(struct str vocabulary, enum conf_kind kind, struct str fields,
	       struct conf_item *out, struct vocab_error *e)
{
	const struct vocab_rule *rules;
	struct fields_iter it;
	struct str name, value;
	size_t elements = 0;
	size_t n;

	memset(out, 0, sizeof(*out));
	out->kind = kind;
	out->vocabulary = vocabulary;
	out->fields = fields;
	rules = vocab_rules(&n);
	for (size_t i = 0; i < n; i++) {
		if (rules[i].kind == kind)
			out->number[rules[i].field] = rules[i].default_value;
	}
	fields_iter_init(fields, &it);
	while (fields_iter_next(&it, &name, &value)) {
		bool element;
		const struct vocab_rule *rule =
			find_rule(vocabulary, kind, name, &element);

		if (!rule)
			return set_error(e, VOCAB_UNKNOWN_FIELD, name, NULL);
		if (!element && conf_item_has(out, rule->field))
			return set_error(e, VOCAB_REPEATED_FIELD, name, NULL);
		if (!vocab_parse_value(rule, value, &out->number[rule->field]))
			return set_error(e, VOCAB_BAD_VALUE, name, rule);
		if (element && ++elements > VOCAB_MAX_ELEMENTS)
			return set_error(e, VOCAB_TOO_MANY, name, rule);
		out->text[rule->field] = value;
		out->set |= 1U << rule->field;
	}
	for (size_t i = 0; i < n; i++) {
		if (rules[i].kind == kind && rules[i].required &&
		    !conf_item_has(out, rules[i].field))
			return set_error(e, VOCAB_MISSING_FIELD,
					 str_from(vocab_field_names[rules[i].field]),
					 &rules[i]);
	}
	return 0;
}

/* Copies the fields that are absent in the item, except lists, from defaults. */
void conf_item_default(struct conf_item *item, const struct conf_item *defaults)
{
	for (int f = 0; f < CONF_FIELDS; f++) {
		if (conf_item_has(item, (enum conf_field)f) ||
		    !conf_item_has(defaults, (enum conf_field)f))
			continue;
		item->set |= 1U << f;
		item->number[f] = defaults->number[f];
		item->text[f] = defaults->text[f];
	}
}

bool conf_item_has(const struct conf_item *item, enum conf_field field)
{
	return item->set & 1U << field;
}

/*
 * Value of a number (cpus in thousandths) or index of a choice. An absent field has the
 * default value of the schema, an absent limit of a quota UINT64_MAX.
 */
uint64_t conf_item_number(const struct conf_item *item, enum conf_field field)
{
	return item->number[field];
}

/* Returns the value as written in the document, empty if it is absent. */
struct str conf_item_text(const struct conf_item *item, enum conf_field field)
{
	return item->text[field];
}

/*
 * Returns the deadline of a job in microseconds since 1970 (UTC, same clock as the time
 * of commands), 0 if it has none.
 */
uint64_t conf_item_deadline_us(const struct conf_item *item, uint64_t submitted_us)
{
	uint64_t v = item->number[CONF_DEADLINE];

	if (!conf_item_has(item, CONF_DEADLINE))
		return 0;
	if (v & VOCAB_ABSOLUTE)
		return (v & ~VOCAB_ABSOLUTE) * 1000000;
	return submitted_us + v * 1000000;
}

/* Gets element i of a list, ordered by name. Returns false past the last element. */
bool conf_item_list(const struct conf_item *item, enum conf_field field, size_t i,
		    struct str *value)
{
	const struct vocab_rule *rule;
	struct fields_iter it;
	struct str name;
	bool element;

	fields_iter_init(item->fields, &it);
	while (fields_iter_next(&it, &name, value)) {
		rule = find_rule(item->vocabulary, item->kind, name, &element);
		if (rule && rule->field == field && i-- == 0)
			return true;
	}
	return false;
}
