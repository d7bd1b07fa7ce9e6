#ifndef CORE_CONF_H
#define CORE_CONF_H

#include "core/conf_view.h"
#include "core/reply.h"

/*
 * Configuration documents of a state process with their revisions and history. The
 * revision of a version is the log index of the command that created it.
 */
struct conf_options {
	struct conf_view_options view;
	size_t text_bytes;    /* limit of text and of packed fields of a document, each */
	size_t versions;      /* retained changes of one path, at least 1 */
	size_t changes;	      /* retained changes in total, at least 1 */
	size_t history_bytes; /* conf_doc_bytes() of retained old versions */
};

struct conf;

void conf_defaults(struct conf_options *o);
int conf_new(const struct conf_options *o, struct conf **out);
void conf_free(struct conf *c);

/* A change in two steps; the caller may drop the prepared version in between. */
int conf_prepare(const struct conf *c, const struct conf_change *change,
		 uint64_t expected, struct reply *reply, struct conf_doc **out);
int conf_commit(struct conf *c, struct conf_doc *doc, struct reply *reply);

const struct conf_view *conf_current_docs(const struct conf *c);

/* Changes after a revision, for observers. */
bool conf_complete_after(const struct conf *c, uint64_t revision);
const struct conf_doc *conf_change_after(const struct conf *c, uint64_t revision);
const struct conf_doc *conf_version_before(const struct conf *c, struct str path,
					   uint64_t revision);
size_t conf_history_bytes(const struct conf *c);

/* For the snapshot. */
uint64_t conf_log_base(const struct conf *c);
int conf_load_doc(struct conf *c, const struct conf_change *change);
int conf_load_change(struct conf *c, const struct conf_change *change, bool present);
int conf_load_log_base(struct conf *c, uint64_t base);
int conf_load_end(struct conf *c, uint64_t index);

#endif
