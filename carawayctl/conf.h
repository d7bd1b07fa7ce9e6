#ifndef CARAWAYCTL_CONF_H
#define CARAWAYCTL_CONF_H

#include "carawayctl/http.h"

int conf_path(const struct ctl *ctl, const char *word, const char *name, struct buf *out);
int conf_read(const struct ctl *ctl, const char *path, struct http_reply *reply,
	      uint64_t *revision);
int conf_write(const struct ctl *ctl, const char *path, struct str text);
int conf_load(const char *file, struct buf *text, struct buf *fields);
int conf_load_vocabulary(const char *file, struct buf *vocabulary);
int conf_check(struct str vocabulary, struct str word, struct str fields,
	       const char *file);
int conf_vocabulary(const struct ctl *ctl, struct buf *out);
const char *conf_text(const json_t *reply);

#endif
