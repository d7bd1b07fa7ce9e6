#ifndef CORE_FIELDS_H
#define CORE_FIELDS_H

#include "base/str.h"
#include "proto/command.h"

/*
 * Packed fields: the XDR form of struct command_fields with the names in strictly
 * ascending order. Readers need no copy. Empty bytes stand for no fields.
 */
struct fields_iter {
	struct str rest;
	uint32_t left;
};

int fields_pack(struct command_fields *fields, struct buf *out);
int fields_check(struct str packed);
void fields_iter_init(struct str packed, struct fields_iter *it);
bool fields_iter_next(struct fields_iter *it, struct str *name, struct str *value);
bool fields_find(struct str packed, struct str name, struct str *value);

#endif
