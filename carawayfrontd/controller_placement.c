/* Placement previews on the metrics port. */
#include <stdlib.h>
#include <string.h>

#include "carawayfrontd/controller_impl.h"
#include "carawayfrontd/node_id.h"
#include "io/clock.h"
#include "platform/placement.h"

/* A preview scores all workers for up to 64 tasks of 4 steps on the leader's event loop.
 */
#define PREVIEW_INTERVAL_US 100000

/* Address of the leader's metrics port; empty: it is not known. */
static void leader_address(const struct controller *c, struct buf *out)
{
	uint64_t leader = replica_leader(c->replica);
	uint64_t port = addr_port(&c->settings->listen.metrics);
	struct addr a;

	if (!leader || node_addr((leader & ~0xffffULL) | port, &a) ||
	    addr_format(&a, out))
		buf_free(out);
}

static bool on_request(struct metrics_port_handler *h, struct http_request *req)
{
	struct http_header retry = {"Retry-After", STR("1")};
	struct controller *c = CONTROLLER_OF(h, placement);
	bool leads = c->sched && controller_leads(c);
	int64_t now_us = clock_us();
	struct buf leader = {0};

	if (strcmp(req->path, PLACEMENT_PATH) != 0)
		return false;
	if (leads && now_us - c->preview_us < PREVIEW_INTERVAL_US) {
		http_request_reply(req, 429, &retry, 1,
				   STR("{\"error\":\"too many previews\"}"));
		return true;
	}
	if (leads)
		c->preview_us = now_us;
	else
		leader_address(c, &leader);
	placement_reply(req, leads ? c->sched : NULL, buf_str(&leader), now_us);
	buf_free(&leader);
	return true;
}

void controller_placement_init(struct controller *c)
{
	c->placement.request = on_request;
	metrics_port_set_handler(c->metrics_port, &c->placement);
}
