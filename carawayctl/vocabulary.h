#ifndef CARAWAYCTL_VOCABULARY_H
#define CARAWAYCTL_VOCABULARY_H

#include "core/conf_item.h"

/*
 * Parses documents and vocabularies into packed fields (core/fields.h) and checks them
 * with the daemon's own rules. Functions that return an int return 0 or a CF_E* code
 * and append a description of the error to problem.
 */
int vocabulary_parse_document(struct str text, struct buf *packed, struct buf *problem);
int vocabulary_check(struct str vocabulary, struct buf *problem);
int vocabulary_check_document(struct str vocabulary, struct str word, struct str fields,
			      struct buf *problem);
struct str vocabulary_word_for_kind(struct str vocabulary, enum conf_kind kind,
				    size_t *n);
struct str vocabulary_word_for_field(struct str vocabulary, enum conf_field field);

#endif
