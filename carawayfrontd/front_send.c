#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <xxhash.h>

#include "base/err.h"
#include "carawayfrontd/front_request.h"
#include "io/clock.h"

#define MAX_HEADERS 64U
/*
 * An upstream may go on after the caller's deadline. Its slot counts as used until
 * it answers or this many seconds have passed, when the connection is closed.
 */
#define LATE_ANSWER_S 30.0
#define MAX_KEY_BYTES 256U

static bool is_idempotent(const char *method)
{
	return strcmp(method, "POST") != 0 && strcmp(method, "PATCH") != 0;
}

static void reply_error(struct http_request *http, unsigned int status,
			const char *reason, int err)
{
	const struct http_header headers[] = {
		{"Carawayfront-Run", STR("not-run")},
		{"Carawayfront-Reason", str_from(reason)},
		{"Content-Type", STR("application/json")},
	};
	struct buf body = {0};

	buf_addf(&body, "{\"run\":\"not-run\",\"reason\":\"%s\",\"error\":\"%s\"}\n",
		 reason, cf_strerror(err));
	http_request_reply(http, status, headers, 3, buf_str(&body));
	buf_free(&body);
}

/* Splits /TEAM/SERVICE/rest. */
static int read_path(struct front_request *r, const char *path)
{
	struct str rest;

	r->path = strdup(path);
	if (!r->path)
		return CF_ENOMEM;
	rest = str_from(r->path);
	if (rest.n < 2 || rest.p[0] != '/')
		return CF_EINVAL;
	rest.p++;
	rest.n--;
	str_split(rest, '/', &r->team, &rest);
	str_split(rest, '/', &r->service, &rest);
	if (r->team.n == 0 || r->service.n == 0 || r->team.n > CMD_MAX_NAME ||
	    r->service.n > CMD_MAX_NAME)
		return CF_EINVAL;
	return 0;
}

static int read_class(struct str text, enum router_class *out)
{
	*out = ROUTER_LATENCY;
	if (text.n == 0 || str_eq(text, STR("latency")))
		return 0;
	if (str_eq(text, STR("urgent")))
		*out = ROUTER_URGENT;
	else if (str_eq(text, STR("batch")))
		*out = ROUTER_BATCH;
	else
		return CF_EINVAL;
	return 0;
}

/*
 * Tells whether the service's document lists the path among those that may be
 * repeated, whatever the method.
 */
static bool is_listed(const struct front_request *r, const struct conf_item *service)
{
	struct str path = str_from(r->path);
	struct str prefix;

	path.n -= (size_t)(r->service.p + r->service.n - path.p);
	path.p = r->service.p + r->service.n;
	for (size_t i = 0; conf_item_list(service, CONF_IDEMPOTENT, i, &prefix); i++)
		if (prefix.n && str_starts(path, prefix))
			return true;
	return false;
}

/* Hash of what must be equal when a key is used again. */
static void hash_request(struct front_request *r)
{
	XXH3_state_t *state = XXH3_createState();
	XXH128_canonical_t canonical;

	if (!state)
		return;
	XXH3_128bits_reset(state);
	XXH3_128bits_update(state, r->method, strlen(r->method) + 1);
	XXH3_128bits_update(state, r->http->target, strlen(r->http->target) + 1);
	XXH3_128bits_update(state, r->http->body.p, r->http->body.n);
	XXH128_canonicalFromHash(&canonical, XXH3_128bits_digest(state));
	XXH3_freeState(state);
	memcpy(r->hash, canonical.digest, sizeof(r->hash));
}

/* Hash that tells resends of an idempotent request by its key and content. */
static uint64_t hash_identity(struct front_request *r, struct str key)
{
	hash_request(r);
	return XXH3_64bits_withSeed(key.p, key.n, XXH3_64bits(r->hash, sizeof(r->hash)));
}

/* Reads deadline, class and key headers. */
static int read_headers(struct front_request *r)
{
	struct str deadline = http_request_header(r->http, "Carawayfront-Deadline-Ms");
	struct str key = http_request_header(r->http, "Idempotency-Key");
	uint64_t ms = r->front->opt.settings->limits.deadline_ms;
	const struct conf_view *view = r->front->view;
	struct conf_item service;
	bool known = view && !conf_view_find(view, r->team, CONF_KIND_SERVICE, r->service,
					     &service);
	int err;

	if (known && conf_item_has(&service, CONF_DEADLINE_MS))
		ms = conf_item_number(&service, CONF_DEADLINE_MS);
	if (deadline.n && (str_to_u64(deadline, &ms) || ms == 0 || ms > 3600000))
		return CF_EINVAL;
	r->deadline_us = r->started_us + (int64_t)ms * 1000;
	err = read_class(http_request_header(r->http, "Carawayfront-Class"), &r->class);
	if (err)
		return err;
	if (key.n > MAX_KEY_BYTES)
		return CF_ETOOBIG;
	r->idempotent = is_idempotent(r->method) || (known && is_listed(r, &service));
	/* A repeated idempotent request is harmless, so it needs no claim. */
	if (!r->idempotent)
		return buf_set(&r->key, key);
	if (key.n)
		r->identity = hash_identity(r, key);
	return 0;
}

static struct front_request *request_new(struct front *f, struct http_request *http)
{
	struct front_request *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->front = f;
	r->http = http;
	r->id = ++f->next_id;
	r->started_us = clock_us();
	snprintf(r->method, sizeof(r->method), "%s", http->method);
	HASH_ADD(hh, f->requests, id, sizeof(r->id), r);
	return r;
}

/* HTTP server operation: a request of a caller has arrived completely. */
void front_on_request(struct http_server_host *host, struct http_request *http)
{
	struct front *f =
		(struct front *)((char *)host - offsetof(struct front, server_host));
	struct front_request *r;
	struct router_request q;
	int err;

	if (strlen(http->method) >= sizeof(r->method)) {
		reply_error(http, 501, "method", CF_EINVAL);
		return;
	}
	r = request_new(f, http);
	if (!r) {
		reply_error(http, 503, "memory", CF_ENOMEM);
		return;
	}
	err = read_path(r, http->path);
	if (!err)
		err = read_headers(r);
	if (err) {
		reply_error(http, err == CF_ENOMEM ? 503 : 400, "request", err);
		goto refused;
	}
	if (r->key.n)
		hash_request(r);
	q = (struct router_request){
		.id = r->id,
		.team = r->team,
		.service = r->service,
		.class = r->class,
		.idempotent = r->idempotent,
		.keyed = r->key.n > 0,
		.deadline_us = r->deadline_us,
		.identity = r->identity,
	};
	err = router_submit(f->router, &q, r->started_us);
	if (err) {
		reply_error(http, err == CF_EINVAL ? 400 : 503, "request", err);
		goto refused;
	}
	front_release(r);
	return;
refused:
	r->http = NULL;
	front_release(r);
}

/* Collects the headers that are forwarded to the upstream. */
struct collector {
	struct http_header_visitor visitor;
	struct http_header headers[MAX_HEADERS];
	size_t n;
};

static bool collect_header(struct http_header_visitor *v, const struct http_header *h)
{
	static const char *const dropped[] = {
		"Connection",
		"Keep-Alive",
		"Proxy-Authorization",
		"Proxy-Connection",
		"TE",
		"Trailer",
		"Transfer-Encoding",
		"Upgrade",
		"Content-Length",
		"Expect",
		"Host",
		"Carawayfront-Run",
	};
	struct collector *c = (struct collector *)v;

	for (size_t i = 0; i < sizeof(dropped) / sizeof(dropped[0]); i++)
		if (strcasecmp(h->name, dropped[i]) == 0)
			return true;
	if (c->n == MAX_HEADERS)
		return false;
	c->headers[c->n++] = *h;
	return true;
}

/* The part of the request target behind /TEAM/SERVICE. */
static const char *upstream_target(const struct front_request *r)
{
	const char *p = r->http->target;

	for (int slashes = 0; *p; p++)
		if ((*p == '/' && ++slashes == 3) || *p == '?')
			return p;
	return "/";
}

static void on_answer(struct http_call *call, const struct http_result *result)
{
	struct front_request *r = (struct front_request *)call;
	struct router *router = r->front->router;
	int64_t now = clock_us();

	r->result = result;
	if (result->err) {
		const struct router_failure failure = {
			.err = result->err,
			.maybe_run = result->maybe_sent,
			.refused = result->refused,
		};

		router_failed(router, r->id, &failure, now);
	} else {
		struct str run = http_result_header(result, "Carawayfront-Run");
		struct str load = http_result_header(result, "Carawayfront-Load");
		uint64_t n;
		struct router_answer answer = {
			.not_run = str_eq(run, STR("not-run")),
			.status = (int)result->status,
			.load = str_to_u64(load, &n) || n > INT32_MAX ? -1 : (int)n,
			.resent = result->resent,
		};

		router_answered(router, r->id, &answer, now);
	}
	r->result = NULL;
	front_release(r);
}

static const struct http_call_ops call_ops = {.done = on_answer};

/* Router operation: sends the request to an upstream. */
void front_send(struct router_host *host, uint64_t request, uint64_t upstream)
{
	struct front *f = (struct front *)((char *)host - offsetof(struct front, host));
	struct front_request *r = front_find(f, request);
	struct collector headers = {.visitor = {.header = collect_header}};
	struct router_upstream_info info;
	struct http_call_options opt;
	struct buf url = {0};
	int64_t now = clock_us();
	const char *target;
	int err;

	/* The router sends only requests whose caller still waits. */
	if (!r || !r->http)
		return;
	r->call.ops = &call_ops;
	err = router_upstream_info(f->router, upstream, &info, now);
	if (err)
		goto out;
	http_request_each_header(r->http, &headers.visitor);
	target = upstream_target(r);
	err = buf_addf(&url, "http://%.*s%s%s", STR_ARG(info.address),
		       *target == '/' ? "" : "/", target);
	if (err)
		goto out;
	opt = (struct http_call_options){
		.method = r->method,
		.url = buf_str(&url),
		.headers = headers.headers,
		.n_headers = headers.n,
		.body = buf_str(&r->http->body),
		.idempotent = r->idempotent,
		.timeout = (double)(r->deadline_us - now) / 1e6 + LATE_ANSWER_S,
		.max_body = f->opt.settings->limits.max_answer,
	};
	err = http_client_start(f->client, &opt, &r->call);
out:
	buf_free(&url);
	if (err)
		front_defer(r, FRONT_SEND, err);
}
