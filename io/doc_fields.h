#ifndef IO_DOC_FIELDS_H
#define IO_DOC_FIELDS_H

#include "base/str.h"
#include "proto/command.h"

/* Scalars of a YAML or JSON document as the fields of a command. */
int doc_fields_read(struct str text, struct command_fields *out, struct buf *problem);
void doc_fields_free(struct command_fields *fields);

#endif
