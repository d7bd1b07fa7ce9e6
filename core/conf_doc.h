#ifndef CORE_CONF_DOC_H
#define CORE_CONF_DOC_H

#include "base/str.h"

/* One change of a path: a new text with its fields, or a deletion. */
struct conf_change {
	struct str path;
	uint64_t revision;
	bool deleted;
	struct str text;
	struct str fields; /* packed, see core/fields.h */
};

/* An immutable version of a document in one allocation, shared by reference. */
struct conf_doc {
	uint64_t revision;
	uint32_t refs;
	uint32_t text_n;
	uint32_t fields_n;
	uint16_t path_n;
	uint8_t team_n;
	uint8_t word_n;
	bool deleted;
	char bytes[]; /* path, text, fields */
};

int conf_doc_new(const struct conf_change *change, struct conf_doc **out);
struct conf_doc *conf_doc_ref(struct conf_doc *doc);
void conf_doc_unref(struct conf_doc *doc);

struct str conf_doc_path(const struct conf_doc *doc);
struct str conf_doc_team(const struct conf_doc *doc);
struct str conf_doc_word(const struct conf_doc *doc);
struct str conf_doc_name(const struct conf_doc *doc);
struct str conf_doc_text(const struct conf_doc *doc);
struct str conf_doc_fields(const struct conf_doc *doc);
bool conf_doc_is_vocabulary(const struct conf_doc *doc);
size_t conf_doc_bytes(const struct conf_doc *doc);

/* The parts of "/TEAM/WORD/NAME"; name is empty for "/TEAM/vocabulary". */
struct conf_path {
	struct str team;
	struct str word;
	struct str name;
};

int conf_path_parse(struct str path, struct conf_path *out);

#endif
