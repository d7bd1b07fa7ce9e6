#include "carawayfrontd/front.h"

#include <stdlib.h>

#include "base/err.h"
#include "carawayfrontd/front_request.h"
#include "io/clock.h"
#include "io/log.h"

#define IDLE_TIMEOUT_S 75U
#define CONNECT_TIMEOUT 1.0 /* seconds */
/* About 64 connections an upstream are shared by all entry processes. */
#define MAX_IDLE_CONNECTIONS 512U

static const struct router_ops router_ops = {
	.send = front_send,
	.finish = front_finish,
	.claim = front_claim,
	.claim_done = front_claim_done,
	.claim_unknown = front_claim_unknown,
	.claim_abort = front_claim_abort,
};

static const struct http_server_ops server_ops = {.request = front_on_request};

static void on_timer(struct ev_loop *loop, struct ev_timer *t, int events)
{
	front_poll(t->data);
}

/* Reports the steps that failed inside an operation of the router. */
static void report_failed(struct front *f)
{
	while (f->failed) {
		struct front_request *r = f->failed;
		enum front_step step = r->failed_step;
		const struct router_failure failure = {.err = r->failed_err};

		f->failed = r->next_failed;
		r->failed_step = FRONT_NONE;
		if (step == FRONT_SEND)
			router_failed(f->router, r->id, &failure, clock_us());
		else
			router_claimed(f->router, r->id, r->failed_err, clock_us());
		front_release(r);
	}
}

/* Releases the requests that the router has answered, by their deadline for example. */
static void release_answered(struct front *f)
{
	while (f->answered) {
		struct front_request *r = f->answered;

		f->answered = r->next_answered;
		r->is_answered = false;
		front_release(r);
	}
}

/* Sets the timer to the router's next deadline before the loop sleeps. */
static void on_prepare(struct ev_loop *loop, struct ev_prepare *w, int events)
{
	struct front *f = w->data;
	int64_t deadline;
	int64_t now;

	report_failed(f);
	release_answered(f);
	deadline = router_deadline(f->router);
	now = clock_us();
	ev_timer_stop(loop, &f->timer);
	if (deadline == INT64_MAX)
		return;
	ev_timer_set(&f->timer, deadline > now ? (double)(deadline - now) / 1e6 : 0, 0);
	ev_timer_start(loop, &f->timer);
}

static int make_router(struct front *f)
{
	const struct settings *s = f->opt.settings;
	struct router_options o;

	router_options_init(&o);
	o.host = &f->host;
	o.seed = *f->opt.incarnation;
	o.name = s->name;
	o.zone = s->zone;
	o.default_deadline_us = (int64_t)s->limits.deadline_ms * 1000;
	return router_new(&o, &f->router);
}

/* Listens on the callers' port at once. */
int front_new(const struct front_options *opt, struct front **out)
{
	const struct settings *s = opt->settings;
	struct http_client_options client = {
		.loop = opt->loop,
		.max_connections_per_host = 0,
		.max_idle = MAX_IDLE_CONNECTIONS,
		.connect_timeout = CONNECT_TIMEOUT,
	};
	struct http_server_options server = {
		.loop = opt->loop,
		.address = s->listen.callers,
		.max_body = s->limits.max_body,
		.max_connections = (unsigned int)s->limits.max_connections,
		.idle_timeout = IDLE_TIMEOUT_S,
		.limits = opt->limits,
	};
	struct front *f = calloc(1, sizeof(*f));
	int err;

	if (!f)
		return CF_ENOMEM;
	f->opt = *opt;
	f->host.ops = &router_ops;
	f->server_host.ops = &server_ops;
	ev_timer_init(&f->timer, on_timer, 0, 0);
	ev_prepare_init(&f->prepare, on_prepare);
	f->timer.data = f;
	f->prepare.data = f;
	err = make_router(f);
	if (err)
		goto fail;
	err = http_client_new(&client, &f->client);
	if (err)
		goto fail;
	server.host = &f->server_host;
	err = http_server_new(&server, &f->server);
	if (err)
		goto fail;
	ev_prepare_start(opt->loop, &f->prepare);
	*out = f;
	return 0;
fail:
	front_free(f);
	return err;
}

/* The documents of services, which the caller keeps; without it none are known. */
void front_set_view(struct front *f, const struct conf_view *view)
{
	f->view = view;
}

struct router *front_router(struct front *f)
{
	return f->router;
}

/* Serves the router's deadlines. */
void front_poll(struct front *f)
{
	router_tick(f->router, clock_us());
}

/* Stops accepting; requests in flight finish. */
void front_drain(struct front *f)
{
	f->draining = true;
	http_server_stop_accepting(f->server);
	router_drain(f->router, clock_us());
}

bool front_idle(const struct front *f)
{
	return !f->requests && http_server_stats(f->server)->in_flight == 0;
}

uint64_t front_in_flight(const struct front *f)
{
	return HASH_COUNT(f->requests);
}

struct front_request *front_find(struct front *f, uint64_t id)
{
	struct front_request *r;

	HASH_FIND(hh, f->requests, &id, sizeof(id), r);
	return r;
}

static void request_free(struct front_request *r)
{
	http_call_cancel(&r->call);
	leader_call_cancel(&r->claim_call);
	leader_call_cancel(&r->end_call);
	buf_free(&r->key);
	buf_free(&r->stored.content_type);
	buf_free(&r->stored.body);
	free(r->path);
	free(r);
}

/*
 * Reports a failed step to the router later, because the router's operations must
 * not call back into it. Nothing was sent.
 */
void front_defer(struct front_request *r, enum front_step step, int err)
{
	r->failed_step = step;
	r->failed_err = err;
	r->next_failed = r->front->failed;
	r->front->failed = r;
}

/* Releases a request once the caller was answered and nothing is outstanding. */
void front_release(struct front_request *r)
{
	if (r->http || r->call.exchange || r->claim_call.client || r->end_call.client ||
	    r->result || r->failed_step != FRONT_NONE || r->is_answered)
		return;
	HASH_DEL(r->front->requests, r);
	request_free(r);
}

/* Requests in flight are cut; used after a drain or when starting failed. */
void front_free(struct front *f)
{
	struct front_request *r, *next;

	if (!f)
		return;
	ev_timer_stop(f->opt.loop, &f->timer);
	ev_prepare_stop(f->opt.loop, &f->prepare);
	r = f->requests;
	HASH_CLEAR(hh, f->requests);
	for (; r; r = next) {
		next = r->hh.next;
		if (r->http)
			http_request_reply(r->http, 503, NULL, 0, STR("shutting down\n"));
		request_free(r);
	}
	http_server_free(f->server);
	http_client_free(f->client);
	router_free(f->router);
	free(f);
}
