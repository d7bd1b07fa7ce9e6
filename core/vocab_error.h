#ifndef CORE_VOCAB_ERROR_H
#define CORE_VOCAB_ERROR_H

#include "core/vocab_schema.h"

enum vocab_problem {
	VOCAB_OK,
	VOCAB_UNKNOWN_WORD,    /* the word in the path maps to no kind */
	VOCAB_UNKNOWN_FIELD,   /* the name maps to no field of the kind */
	VOCAB_REPEATED_FIELD,  /* two names map to the same field */
	VOCAB_MISSING_FIELD,   /* a required field is absent */
	VOCAB_BAD_VALUE,       /* value does not match the rule */
	VOCAB_BAD_ENTRY,       /* vocabulary entry is neither kinds.* nor fields.* */
	VOCAB_UNKNOWN_KIND,    /* vocabulary maps a word to no kind */
	VOCAB_UNKNOWN_MAPPING, /* vocabulary maps a word to no canonical field */
	VOCAB_NAME_TAKEN,      /* two documents of one kind have the same name */
	VOCAB_TOO_MANY,	       /* entries of a vocabulary or elements of a list */
	VOCAB_KIND_CHANGED,    /* vocabulary changes the kind of stored documents */
};

/*
 * A new vocabulary is checked against all documents of its team while the command is
 * applied. At these limits the check takes 140 ms for 4,000 documents, the most that one
 * team may have (bench/bench_store.c).
 */
#define VOCAB_MAX_ENTRIES 128
#define VOCAB_MAX_ELEMENTS 32

/* Why a document was rejected. Strings point into the command or the store. */
struct vocab_error {
	enum vocab_problem problem;
	struct str path;  /* affected stored document, if not the changed one */
	struct str field; /* as the team wrote it; canonical name of a missing field */
	const struct vocab_rule *rule; /* rule that the value violates */
};

int vocab_error_format(const struct vocab_error *e, struct buf *out);

#endif
