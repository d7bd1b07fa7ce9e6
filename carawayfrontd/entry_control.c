#include <stddef.h>
#include <string.h>

#include "base/err.h"
#include "carawayfrontd/ctl_reply.h"
#include "carawayfrontd/entry_impl.h"

struct group {
	const char *prefix;
	void (*serve)(struct entry *e, struct http_request *req, struct str rest);
};

static const struct group groups[] = {
	{"/v1/conf/", entry_conf_api},	   {"/v1/watch/", entry_conf_api},
	{"/v1/jobs/", entry_job_api},	   {"/v1/upstreams", entry_upstream_api},
	{"/v1/workers", entry_worker_api}, {"/v1/members", entry_worker_api},
};

static void reply_health(struct entry *e, struct http_request *req)
{
	const char *reason = "";

	if (entry_healthy(e, &reason))
		ctl_reply_text(req, 200, STR("ok\n"));
	else
		ctl_reply_json(req, 503, json_pack("{s:s}", "reason", reason));
}

/* HTTP server operation of the control port. */
void entry_on_control(struct http_server_host *host, struct http_request *req)
{
	struct entry *e =
		(struct entry *)((char *)host - offsetof(struct entry, control_host));
	struct str path = str_from(req->path);

	if (strcmp(req->path, "/healthz") == 0) {
		reply_health(e, req);
		return;
	}
	if (strcmp(req->path, "/metrics") == 0) {
		entry_export_metrics(e);
		ctl_reply_metrics(req, e->metrics);
		return;
	}
	/* Nothing was passed on, so that the sender may try another entry process. */
	if (e->drain_end_us) {
		ctl_reply_err(req, CF_EDRAINING, (struct str){NULL, 0});
		return;
	}
	for (size_t i = 0; i < sizeof(groups) / sizeof(groups[0]); i++) {
		struct str prefix = str_from(groups[i].prefix);

		if (!str_starts(path, prefix))
			continue;
		path.p += prefix.n;
		path.n -= prefix.n;
		groups[i].serve(e, req, path);
		return;
	}
	ctl_reply_err(req, CF_ENOENT, STR("no such path"));
}

static void set_gauge(struct entry *e, const char *name, uint64_t value)
{
	*metric_gauge(e->metrics, name, "") = value;
}

static void set_counter(struct entry *e, const char *name, const char *labels,
			uint64_t value)
{
	*metric_counter(e->metrics, name, labels) = value;
}

/* Copies the counters of the parts into the metric set. */
void entry_export_metrics(struct entry *e)
{
	const struct rpc_server_stats *rpc = rpc_server_stats(e->rpc);
	struct router_stats r;

	router_stats(front_router(e->front), &r);
	set_gauge(e, "carawayfront_requests_queued", r.queued);
	set_gauge(e, "carawayfront_requests_in_flight", r.inflight);
	set_gauge(e, "carawayfront_upstreams", r.upstreams);
	set_counter(e, "carawayfront_sends_total", "", r.sent);
	set_counter(e, "carawayfront_retries_total", "", r.retried);
	set_counter(e, "carawayfront_retries_denied_total", "", r.retry_denied);
	set_counter(e, "carawayfront_upstream_refusals_total", "", r.upstream_refused);
	set_counter(e, "carawayfront_late_answers_total", "", r.late);
	set_counter(e, "carawayfront_ejections_total", "", r.ejected);
	set_counter(e, "carawayfront_probes_total", "", r.probes);
	set_counter(e, "carawayfront_stale_announcements_total", "",
		    r.stale_announcements);
	set_counter(e, "carawayfront_spilled_sends_total", "", r.spilled);
	spread_export_metrics(e->spread);
	set_counter(e, "carawayfront_rpc_calls_total", "", rpc->calls);
	set_counter(e, "carawayfront_rpc_refused_total", "", rpc->refused);
	set_counter(e, "carawayfront_rpc_malformed_total", "", rpc->malformed);
	set_counter(e, "carawayfront_rpc_received_bytes_total", "", rpc->bytes_in);
	set_counter(e, "carawayfront_rpc_sent_bytes_total", "", rpc->bytes_out);
	set_counter(e, "carawayfront_leader_redirects_total", "", e->leader.redirects);
	set_counter(e, "carawayfront_leader_failures_total", "", e->leader.failures);
	set_gauge(e, "carawayfront_conf_revision",
		  conf_view_index(entry_watch_view(e->watch)));
}
