/* Connects the scheduler to the replicated log and to the transport. */

#include "base/err.h"
#include "carawayfrontd/controller_impl.h"
#include "io/clock.h"
#include "io/log.h"

#define SECOND_US 1000000LL
#define MS_US 1000LL

/* A fleet that is too large for one process is reached through gateways. */
struct dag_transport *controller_transport(const struct controller *c)
{
	return HASH_COUNT(c->state->workers) >= c->settings->workers.relay_from
		       ? relay_transport(c->relay)
		       : c->transport;
}

static int host_propose(struct dag_host *h, const struct dag_command *cmd)
{
	return controller_propose(CONTROLLER_OF(h, sched_host), cmd);
}

/* A call may be held up below, also by a pause of this process, until another one leads.
 */
static void limit_sending(const struct controller *c, struct dag_worker_call *call)
{
	int64_t end_us = replica_lease_end_us(c->replica);

	call->send_until_us = end_us > 0 ? end_us : 1; /* 0 would be no limit */
}

static void host_start(struct dag_host *h, const struct dag_worker_command *o)
{
	struct controller *c = CONTROLLER_OF(h, sched_host);
	struct dag_worker_command cmd = *o;
	struct dag_transport *t;

	++*metric_counter(c->metrics, "carawayfront_start_orders_total", "");
	limit_sending(c, &cmd.call);
	t = controller_transport(c);
	t->ops->start(t, &cmd);
}

static void host_stop(struct dag_host *h, const struct dag_worker_command *o)
{
	struct controller *c = CONTROLLER_OF(h, sched_host);
	struct dag_worker_command cmd = *o;
	struct dag_transport *t;

	++*metric_counter(c->metrics, "carawayfront_stop_orders_total", "");
	limit_sending(c, &cmd.call);
	t = controller_transport(c);
	t->ops->stop(t, &cmd);
}

static void host_throttle(struct dag_host *h, const struct dag_worker_command *o)
{
	struct controller *c = CONTROLLER_OF(h, sched_host);
	struct dag_worker_command cmd = *o;
	struct dag_transport *t;

	++*metric_counter(c->metrics, "carawayfront_pace_orders_total", "");
	limit_sending(c, &cmd.call);
	t = controller_transport(c);
	t->ops->throttle(t, &cmd);
}

static void host_poll(struct dag_host *h, const struct dag_poll_command *o)
{
	struct controller *c = CONTROLLER_OF(h, sched_host);
	struct dag_poll_command cmd = *o;
	struct dag_transport *t;

	++*metric_counter(c->metrics, "carawayfront_looks_total", "");
	limit_sending(c, &cmd.call);
	t = controller_transport(c);
	t->ops->poll(t, &cmd);
}

/* From acceptance to the end, for each queue and final state. */
static void record_job_latency(struct controller *c, struct str queue, const char *state,
			       int64_t ms)
{
	struct buf labels = {0};

	if (!metric_add_label(&labels, "queue", queue) &&
	    !metric_add_label(&labels, "state", str_from(state)))
		hist_add(
			metric_hist(c->metrics, "carawayfront_job_duration_us", labels.p),
			ms > 0 ? (uint64_t)ms * 1000 : 0);
	buf_free(&labels);
}

static void host_log_event(struct dag_host *h, const char *event,
			   const struct dag_task_ref *t, uint32_t run, struct str worker,
			   const char *reason, int64_t value)
{
	if (!t)
		log_info(event, "worker=%.*s reason=\"%s\" value=%lld", STR_ARG(worker),
			 reason, (long long)value);
	else if (!run)
		log_info(event, "job=%016llx queue=%.*s state=%s value=%lld",
			 (unsigned long long)t->job, STR_ARG(worker), reason,
			 (long long)value);
	else
		log_info(event,
			 "job=%016llx task=%u.%u.%u run=%u worker=%.*s reason=\"%s\" "
			 "value=%lld",
			 (unsigned long long)t->job, t->occurrence, t->step, t->index,
			 run, STR_ARG(worker), reason, (long long)value);
}

static void host_log_final(struct dag_host *h, const char *event,
			   const struct dag_task_ref *t, uint32_t run, struct str worker,
			   const char *reason, int64_t value)
{
	if (!run) {
		record_job_latency(CONTROLLER_OF(h, sched_host), worker, reason, value);
		log_final(event, "job=%016llx queue=%.*s state=%s value=%lld",
			  (unsigned long long)t->job, STR_ARG(worker), reason,
			  (long long)value);
		return;
	}
	log_final_warn(event,
		       "job=%016llx task=%u.%u.%u run=%u worker=%.*s reason=\"%s\" "
		       "value=%lld",
		       (unsigned long long)t->job, t->occurrence, t->step, t->index, run,
		       STR_ARG(worker), reason, (long long)value);
}

static void host_log_org(struct dag_host *h, const char *event, struct str org,
			 const struct dag_task_ref *t, const char *reason, int64_t value)
{
	log_info(event, "org=%.*s job=%016llx task=%u.%u.%u reason=\"%s\" value=%lld",
		 STR_ARG(org), (unsigned long long)t->job, t->occurrence, t->step,
		 t->index, reason, (long long)value);
}

static void host_rack_wait(struct dag_host *h, enum dag_wait_event event, int64_t us)
{
	static const char *const labels[] = {
		[DAG_WAIT_STARTED] = "result=\"started\"",
		[DAG_WAIT_SUCCESSFUL] = "result=\"successful\"",
		[DAG_WAIT_UNSUCCESSFUL] = "result=\"unsuccessful\"",
	};
	struct controller *c = CONTROLLER_OF(h, sched_host);

	++*metric_counter(c->metrics, "carawayfront_rack_waits_total", labels[event]);
	if (event != DAG_WAIT_STARTED)
		hist_add(metric_hist(c->metrics, "carawayfront_rack_wait_us",
				     labels[event]),
			 us > 0 ? (uint64_t)us : 0);
}

static const struct dag_host_ops host_ops = {
	.propose = host_propose,
	.start = host_start,
	.stop = host_stop,
	.throttle = host_throttle,
	.poll = host_poll,
	.log_event = host_log_event,
	.log_final = host_log_final,
	.log_org = host_log_org,
	.rack_wait = host_rack_wait,
};

static void user_start_replied(struct dag_transport_user *u, uint32_t worker,
			       const struct dag_task_ref *t, uint32_t run,
			       enum dag_call_result result)
{
	struct controller *c = CONTROLLER_OF(u, user);

	if (controller_leads(c))
		dag_sched_start_replied(c->sched, worker, t, run, result, clock_us());
}

static void user_stop_replied(struct dag_transport_user *u, uint32_t worker,
			      const struct dag_task_ref *t, uint32_t run,
			      enum dag_call_result result)
{
	struct controller *c = CONTROLLER_OF(u, user);

	if (controller_leads(c))
		dag_sched_stop_replied(c->sched, worker, t, run, result, clock_us());
}

static void user_poll_replied(struct dag_transport_user *u, uint32_t worker,
			      enum dag_call_result result,
			      const struct dag_poll_reply *poll)
{
	struct controller *c = CONTROLLER_OF(u, user);

	if (controller_leads(c))
		dag_sched_poll_replied(c->sched, worker, result, poll, clock_us());
}

static const struct dag_transport_user_ops user_ops = {
	.start_replied = user_start_replied,
	.stop_replied = user_stop_replied,
	.poll_replied = user_poll_replied,
};

void controller_sched_init(struct controller *c)
{
	c->sched_host.ops = &host_ops;
	c->user.ops = &user_ops;
}

/* Builds the scheduler from the state; for a new leader. */
int controller_sched_start(struct controller *c)
{
	struct dag_sched_options opt = {
		.host = &c->sched_host,
		.state = c->state,
		.epoch = replica_epoch(c->replica),
		.lease_us = (int64_t)c->settings->workers.lease_ms * MS_US,
		.stop_us = (int64_t)c->settings->workers.stop_ms * MS_US,
		.report_interval_us = (int64_t)c->settings->workers.report_ms * MS_US,
		.admit_serving = c->settings->workers.admit_serving,
		.status_retention_us =
			(int64_t)c->settings->workers.status_s * 2 * SECOND_US,
		.cross_rack_milli = c->settings->workers.cross_rack_milli,
	};
	int err = dag_sched_new(&opt, clock_us(), clock_wall_us() / MS_US, &c->sched);

	log_info("leading-started", "epoch=%llu workers=%u jobs=%u error=\"%s\"",
		 (unsigned long long)opt.epoch, HASH_COUNT(c->state->workers),
		 HASH_COUNT(c->state->jobs), cf_strerror(err));
	return err;
}

/* Ends leadership here; nothing is lost, the next leader rebuilds it. */
void controller_sched_stop(struct controller *c)
{
	dag_sched_free(c->sched);
	c->sched = NULL;
	org_metrics_clear(&c->org_metrics, c->metrics);
	controller_reject_leaves(c);
	relay_clear(c->relay);
	c->transport->ops->clear(c->transport);
	command_batch_clear(&c->batch);
	log_info("leading-ended", "epoch=%llu",
		 (unsigned long long)replica_epoch(c->replica));
}
