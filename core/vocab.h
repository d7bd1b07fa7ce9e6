#ifndef CORE_VOCAB_H
#define CORE_VOCAB_H

#include "core/conf_item.h"
#include "core/vocab_error.h"

/*
 * Maps a team's own names of kinds and fields to the canonical ones. `vocabulary` is
 * always the packed fields of "/TEAM/vocabulary", empty if the team has none. An entry
 * "kinds.WORD" or "fields.WORD" maps WORD to a canonical name and overrides a canonical
 * name that is spelled the same. A canonical name without an entry maps to itself.
 */
int vocab_check(struct str vocabulary, struct vocab_error *e);
enum conf_kind vocab_kind(struct str vocabulary, struct str word);
bool vocab_field(struct str vocabulary, struct str name, enum conf_field *out);
int vocab_read(struct str vocabulary, enum conf_kind kind, struct str fields,
	       struct conf_item *out, struct vocab_error *e);

#endif
