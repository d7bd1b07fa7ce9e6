#include <string.h>

#include "base/err.h"
#include "carawayfrontd/ctl_reply.h"
#include "carawayfrontd/state_leading.h"

/* Creates the store; all state processes must use the same options. */
int state_make_store(struct state *s)
{
	struct store_options opt;

	store_defaults(&opt);
	return store_new(&opt, &s->store);
}

static void set_gauge(struct state *s, const char *name, uint64_t value)
{
	*metric_gauge(s->metrics, name, "") = value;
}

static void export_metrics(struct state *s)
{
	const struct rpc_server_stats *rpc = rpc_server_stats(s->rpc);
	struct sched_stats st;

	set_gauge(s, "carawayfront_epoch", replica_epoch(s->replica));
	set_gauge(s, "carawayfront_leading", s->leading != NULL);
	set_gauge(s, "carawayfront_committed_index", replica_committed(s->replica));
	set_gauge(s, "carawayfront_last_index", replica_last_index(s->replica));
	set_gauge(s, "carawayfront_jobs", jobs_count(store_jobs(s->store)));
	set_gauge(s, "carawayfront_proposals_waiting", HASH_COUNT(s->proposals));
	*metric_counter(s->metrics, "carawayfront_rpc_calls_total", "") = rpc->calls;
	*metric_counter(s->metrics, "carawayfront_rpc_refused_total", "") = rpc->refused;
	*metric_counter(s->metrics, "carawayfront_rpc_malformed_total", "") =
		rpc->malformed;
	*metric_counter(s->metrics, "carawayfront_rpc_received_bytes_total", "") =
		rpc->bytes_in;
	*metric_counter(s->metrics, "carawayfront_rpc_sent_bytes_total", "") =
		rpc->bytes_out;
	if (!s->leading)
		return;
	sched_get_stats(s->leading->sched, &st);
	set_gauge(s, "carawayfront_workers", st.workers);
	set_gauge(s, "carawayfront_workers_quarantined", st.workers_quarantined);
	set_gauge(s, "carawayfront_tasks_waiting", st.tasks_waiting);
	set_gauge(s, "carawayfront_tasks_bound", st.tasks_bound);
	*metric_counter(s->metrics, "carawayfront_evictions_total", "") = st.evictions;
	*metric_counter(s->metrics, "carawayfront_throttles_total", "") = st.throttles;
	*metric_counter(s->metrics, "carawayfront_attempts_lost_total", "") = st.lost;
	*metric_counter(s->metrics, "carawayfront_tasks_given_up_total", "") =
		st.given_up;
}

/* HTTP server operation: health and metrics of a state process. */
void state_on_control(struct http_server_host *host, struct http_request *req)
{
	struct state *s =
		(struct state *)((char *)host - offsetof(struct state, control_host));

	if (strcmp(req->path, "/healthz") == 0) {
		if (replica_leader(s->replica) && !s->draining)
			ctl_reply_text(req, 200, STR("ok\n"));
		else
			ctl_reply_json(req, 503,
				       json_pack("{s:s}", "reason", "no leader"));
	} else if (strcmp(req->path, "/metrics") == 0) {
		export_metrics(s);
		ctl_reply_metrics(req, s->metrics);
	} else {
		ctl_reply_err(req, CF_ENOENT, STR("no such path"));
	}
}
