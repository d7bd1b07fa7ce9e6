#ifndef CORE_DAG_INTERFACE_H
#define CORE_DAG_INTERFACE_H

#include "core/dag_sched.h"

/*
 * Interfaces between the product and the platform protocols that callers, workers and
 * operators speak.
 */

/* Sends the scheduler's commands and polls to workers and returns their replies. */
struct dag_transport {
	const struct dag_transport_ops *ops;
};

struct dag_transport_ops {
	void (*start)(struct dag_transport *t, const struct dag_worker_command *cmd);
	void (*stop)(struct dag_transport *t, const struct dag_worker_command *cmd);
	void (*throttle)(struct dag_transport *t, const struct dag_worker_command *cmd);
	void (*poll)(struct dag_transport *t, const struct dag_poll_command *cmd);
	/* Forgets outstanding calls: none is sent any more, and no result is reported. */
	void (*clear)(struct dag_transport *t);
	void (*free)(struct dag_transport *t);
};

/* Receives the result of each call, once, from the event loop. */
struct dag_transport_user {
	const struct dag_transport_user_ops *ops;
};

/* Throttle requests report no result. poll NULL: no usable reply came. */
struct dag_transport_user_ops {
	void (*start_replied)(struct dag_transport_user *u, uint32_t worker,
			      const struct dag_task_ref *t, uint32_t run,
			      enum dag_call_result result);
	void (*stop_replied)(struct dag_transport_user *u, uint32_t worker,
			     const struct dag_task_ref *t, uint32_t run,
			     enum dag_call_result result);
	void (*poll_replied)(struct dag_transport_user *u, uint32_t worker,
			     enum dag_call_result result,
			     const struct dag_poll_reply *poll);
};

/* A request that waits for its reply; embedded in the struct of its sender. */
struct dag_pending_request {
	const struct dag_pending_request_ops *ops;
};

struct dag_pending_request_ops {
	/* Called once; reply is valid only during the call. */
	void (*done)(struct dag_pending_request *t, const struct dag_reply *reply);
};

/* Accepts requests of callers, executors and operators. */
struct dag_request_handler {
	const struct dag_request_handler_ops *ops;
};

struct dag_request_handler_ops {
	/* timeout: seconds that the sender waits. Copies req if it is needed later. */
	void (*request)(struct dag_request_handler *p, const struct dag_request *req,
			double timeout, struct dag_pending_request *t);
	/* Whether this process can serve new callers; reported by the health check. */
	bool (*ready)(struct dag_request_handler *p);
	/* Whether the configuration may have organisations. NULL: it is not known. */
	bool (*may_have_orgs)(struct dag_request_handler *p);
	/* IP address and port where the leader accepts worker reports; empty: unknown. */
	struct str (*report_address)(struct dag_request_handler *p);
};

#endif
