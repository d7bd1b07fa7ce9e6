#ifndef IO_DOC_KEYS_H
#define IO_DOC_KEYS_H

#include "base/str.h"

/* The keys of one map while it is read. NULL is an empty set. */
struct doc_keys;

int doc_keys_add(struct doc_keys **set, struct str key);
void doc_keys_free(struct doc_keys **set);

#endif
