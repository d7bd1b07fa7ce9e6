#ifndef CORE_VOCAB_H
#define CORE_VOCAB_H

#include "core/conf_item.h"
#include "core/vocab_error.h"

/*
 * A team's words. `vocabulary` is always the packed fields of "/TEAM/vocabulary",
 * empty when the team has none. An entry "kinds.WORD" or "fields.WORD" gives the word
 * a meaning, also to a canonical word; a canonical word without an entry means itself.
 */
int vocab_check(struct str vocabulary, struct vocab_error *e);
enum conf_kind vocab_kind(struct str vocabulary, struct str word);
bool vocab_field(struct str vocabulary, struct str name, enum conf_field *out);
int vocab_read(struct str vocabulary, enum conf_kind kind, struct str fields,
	       struct conf_item *out, struct vocab_error *e);

#endif
