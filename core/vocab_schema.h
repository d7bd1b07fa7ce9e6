#ifndef CORE_VOCAB_SCHEMA_H
#define CORE_VOCAB_SCHEMA_H

#include "core/conf_item.h"

enum vocab_type {
	VOCAB_INTEGER,
	VOCAB_MILLI,	/* decimal number with up to 3 decimal places */
	VOCAB_TEXT,	/* min and max are lengths in bytes */
	VOCAB_NAME,	/* accepted by name_valid() */
	VOCAB_CHOICE,	/* one of choices[]; the value is its index */
	VOCAB_LIST,	/* FIELD or FIELD.0, FIELD.1, ... */
	VOCAB_DEADLINE, /* seconds after the submission, or YYYY-MM-DDTHH:MM:SSZ */
};

/* Type and limits of one field of one kind. */
struct vocab_rule {
	enum conf_kind kind;
	enum conf_field field;
	enum vocab_type type;
	bool required;
	uint64_t min;
	uint64_t max;
	uint64_t default_value; /* value of an absent number */
	const char *choices[4];
};

extern const char *const vocab_kind_names[CONF_KINDS];
extern const char *const vocab_field_names[CONF_FIELDS];

const struct vocab_rule *vocab_rule(enum conf_kind kind, enum conf_field field);
const struct vocab_rule *vocab_rules(size_t *n);

#endif
