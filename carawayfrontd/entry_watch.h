#ifndef CARAWAYFRONTD_ENTRY_WATCH_H
#define CARAWAYFRONTD_ENTRY_WATCH_H

#include "carawayfrontd/front.h"
#include "carawayfrontd/leader_client.h"
#include "core/conf_view.h"
#include "io/http_server.h"

/* Read copy of the configuration on an entry process, and how fresh it is. */
struct entry_watch;

struct entry_watch_options {
	struct ev_loop *loop;
	const struct settings *settings;
	struct metric_set *metrics;
	struct leader_client *leader;
	struct router *router;
	uint64_t *incarnation; /* of this process; raised when it was declared gone */
};

int entry_watch_new(const struct entry_watch_options *opt, struct entry_watch **out);
const struct conf_view *entry_watch_view(const struct entry_watch *w);
bool entry_watch_fresh(const struct entry_watch *w);
int64_t entry_watch_age_us(const struct entry_watch *w);
void entry_watch_wait(struct entry_watch *w, struct http_request *req, struct str team,
		      uint64_t after, uint64_t wait_ms);
void entry_watch_end_waits(struct entry_watch *w);
void entry_watch_free(struct entry_watch *w);

#endif
