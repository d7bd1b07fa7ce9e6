#ifndef CARAWAYFRONTD_POLL_STORE_H
#define CARAWAYFRONTD_POLL_STORE_H

#include "base/str.h"

/* The last complete poll of each worker, kept by the leader for renewals. */
struct poll_store;

int poll_store_new(struct poll_store **out);
int poll_store_put(struct poll_store *p, struct str worker, uint64_t hash,
		   struct str body);
int poll_store_get(const struct poll_store *p, struct str worker, uint64_t hash,
		   struct str *body);
void poll_store_free(struct poll_store *p);

#endif
