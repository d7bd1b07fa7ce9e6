#ifndef CORE_VOCAB_ERROR_H
#define CORE_VOCAB_ERROR_H

#include "core/vocab_schema.h"

enum vocab_problem {
	VOCAB_OK,
	VOCAB_UNKNOWN_WORD,    /* the word of the path stands for no kind */
	VOCAB_UNKNOWN_FIELD,   /* the name stands for no field of the kind */
	VOCAB_REPEATED_FIELD,  /* two names stand for the same field */
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
 * A new vocabulary is checked against all documents of its team. At these bounds that
 * took 140 ms for 4,000 documents, which is the bound on the documents of one team;
 * see bench/bench_store.c.
 */
#define VOCAB_MAX_ENTRIES 128
#define VOCAB_MAX_ELEMENTS 32

/* Why a document was refused. The strings point into the refused command or store. */
struct vocab_error {
	enum vocab_problem problem;
	struct str path;  /* stored document that is affected, if not the changed one */
	struct str field; /* as the team wrote it; canonical name of a missing field */
	const struct vocab_rule *rule; /* expectation for a value */
};

int vocab_error_format(const struct vocab_error *e, struct buf *out);

#endif
