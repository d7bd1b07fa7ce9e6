#ifndef CARAWAYCTL_VOCABULARY_H
#define CARAWAYCTL_VOCABULARY_H

#include "core/conf_item.h"

/*
 * Documents and vocabularies as packed fields (core/fields.h), checked by the rules
 * that the daemon uses. On an error a description is in problem.
 */
int vocabulary_parse_document(struct str text, struct buf *packed, struct buf *problem);
int vocabulary_check(struct str vocabulary, struct buf *problem);
int vocabulary_check_document(struct str vocabulary, struct str word, struct str fields,
			      struct buf *problem);
struct str vocabulary_word_for_kind(struct str vocabulary, enum conf_kind kind,
				    size_t *n);
struct str vocabulary_word_for_field(struct str vocabulary, enum conf_field field);

#endif
