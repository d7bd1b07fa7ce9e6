#ifndef CARAWAYCTL_WORDS_H
#define CARAWAYCTL_WORDS_H

#include "core/conf_item.h"

/*
 * Documents and vocabularies as packed fields (core/fields.h), checked by the rules
 * that the daemon uses. On an error a description is in problem.
 */
int words_read(struct str text, struct buf *packed, struct buf *problem);
int words_check(struct str vocabulary, struct buf *problem);
int words_check_document(struct str vocabulary, struct str word, struct str fields,
			 struct buf *problem);
struct str words_of_kind(struct str vocabulary, enum conf_kind kind, size_t *n);
struct str words_of_field(struct str vocabulary, enum conf_field field);

#endif
