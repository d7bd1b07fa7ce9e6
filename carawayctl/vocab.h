#ifndef CARAWAYCTL_VOCAB_H
#define CARAWAYCTL_VOCAB_H

#include "carawayctl/document.h"

bool vocab_is_kind(const char *kind);
int vocab_check(const json_t *vocabulary, struct document_error *error);
int vocab_check_document(const json_t *vocabulary, const char *word,
			 const json_t *document, struct document_error *error);
const char *vocab_word_of_kind(const json_t *vocabulary, const char *kind, size_t *n);
const char *vocab_word_of_field(const json_t *vocabulary, const char *field);

#endif
