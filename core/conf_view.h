#ifndef CORE_CONF_VIEW_H
#define CORE_CONF_VIEW_H

#include "core/conf_doc.h"
#include "core/share.h"
#include "core/vocab.h"

/*
 * All current documents, ordered by team and path. The state process changes its view
 * through core/conf.h. An entry process keeps a read-only copy that it updates from WATCH
 * replies; a reply that is older than the copy changes nothing.
 */
struct conf_view_options {
	size_t teams;
	struct share_options docs;  /* documents of a team */
	struct share_options bytes; /* conf_doc_bytes() of a team's documents */
};

struct conf_view;

void conf_view_defaults(struct conf_view_options *o);
int conf_view_new(const struct conf_view_options *o, struct conf_view **out);
void conf_view_free(struct conf_view *v);

/* Update of a copy. `after`: the index that the changes start from. */
int conf_view_advance(struct conf_view *v, uint64_t after, uint64_t index,
		      const struct conf_change *changes, size_t n);
int conf_view_replace(struct conf_view *v, uint64_t index,
		      const struct conf_change *changes, size_t n);
uint64_t conf_view_index(const struct conf_view *v);

/* Reading. Documents are valid until the next change. */
const struct conf_doc *conf_view_get(const struct conf_view *v, struct str path);
size_t conf_view_count(const struct conf_view *v);
size_t conf_view_bytes(const struct conf_view *v);
size_t conf_view_teams(const struct conf_view *v);
struct str conf_view_team_name(const struct conf_view *v, size_t i);
const struct conf_doc *const *conf_view_team(const struct conf_view *v, struct str team,
					     size_t *n);
struct str conf_view_vocabulary(const struct conf_view *v, struct str team);

/* Access to documents by kind and canonical field. */
enum conf_kind conf_view_kind(const struct conf_view *v, const struct conf_doc *doc);
int conf_view_read(const struct conf_view *v, const struct conf_doc *doc,
		   struct conf_item *out);
int conf_view_find(const struct conf_view *v, struct str team, enum conf_kind kind,
		   struct str name, struct conf_item *out);
int conf_view_check(const struct conf_view *v, const struct conf_doc *doc,
		    struct vocab_error *e);

/* Changing one path; for core/conf.c. */
int conf_view_fits(const struct conf_view *v, const struct conf_doc *doc);
int conf_view_set(struct conf_view *v, struct conf_doc *doc);

#endif
