#ifndef CARAWAYCTL_CONF_H
#define CARAWAYCTL_CONF_H

#include "carawayctl/http.h"

int conf_format_path(const struct ctl *ctl, const char *word, const char *name,
		     struct buf *out);
int conf_fetch_document(const struct ctl *ctl, const char *path, struct http_reply *reply,
			uint64_t *revision);
int conf_put_document(const struct ctl *ctl, const char *path, struct str text);
int conf_load_file(const char *file, struct buf *text, struct buf *fields);
int conf_load_vocabulary(const char *file, struct buf *vocabulary);
int conf_check_fields(struct str vocabulary, struct str word, struct str fields,
		      const char *file);
int conf_fetch_vocabulary(const struct ctl *ctl, struct buf *out);
const char *conf_document_text(const json_t *reply);

#endif
