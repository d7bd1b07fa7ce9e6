#ifndef CARAWAYCTL_DOCUMENT_H
#define CARAWAYCTL_DOCUMENT_H

#include <jansson.h>

#include "base/str.h"

#define DOCUMENT_MAX_ERROR 160

/* Where and why a text is not a valid document. */
struct document_error {
	unsigned int line; /* from 1, 0 without a place */
	char text[DOCUMENT_MAX_ERROR];
};

int document_parse(struct str text, json_t **out, struct document_error *error);
int document_read(const char *file, struct buf *out);

#endif
