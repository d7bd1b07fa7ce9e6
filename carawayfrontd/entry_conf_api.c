#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "carawayfrontd/auth.h"
#include "carawayfrontd/ctl_call.h"
#include "carawayfrontd/ctl_reply.h"
#include "carawayfrontd/entry_impl.h"
#include "io/clock.h"
#include "io/doc_fields.h"
#include "proto/codec.h"

static const struct ctl_call_ops result_ops = {.done = ctl_reply_result};

/* Reads If-Match: a revision, with or without quotes; absent means 0. */
static int read_revision(struct http_request *req, uint64_t *out)
{
	struct str s = http_request_header(req, "If-Match");

	*out = 0;
	if (s.n >= 2 && s.p[0] == '"' && s.p[s.n - 1] == '"') {
		s.p++;
		s.n -= 2;
	}
	return s.n ? str_to_u64(s, out) : 0;
}

/* The request id of a change; one is made when the operator sent none. */
static int read_request_id(struct entry *e, struct http_request *req, struct buf *out)
{
	struct str id = http_request_header(req, "Request-Id");

	if (id.n > CMD_MAX_NAME)
		return CF_ETOOBIG;
	if (id.n)
		return buf_set(out, id);
	return buf_addf(out, "%.*s-%llx-%llx", STR_ARG(e->settings->name),
			(unsigned long long)e->incarnation,
			(unsigned long long)++e->request_ids);
}

static void put_document(struct entry *e, struct http_request *req, struct str path)
{
	struct command_body body = {.kind = CMD_CONF_PUT};
	struct command_conf_put *put = &body.command_body_u.conf_put;
	struct buf problem = {0};
	struct buf id = {0};
	int err = read_revision(req, &put->expected_revision);

	if (!err)
		err = read_request_id(e, req, &id);
	if (!err)
		err = doc_fields_read(buf_str(&req->body), &put->fields, &problem);
	if (err)
		goto out;
	XDR_SET(*put, path, path);
	XDR_SET(*put, request_id, buf_str(&id));
	XDR_SET(*put, text, buf_str(&req->body));
	err = ctl_propose(&e->leader, req, &body, &result_ops);
out:
	if (err)
		ctl_reply_err(req, err, buf_str(&problem));
	doc_fields_free(&put->fields);
	buf_free(&problem);
	buf_free(&id);
}

static void delete_document(struct entry *e, struct http_request *req, struct str path)
{
	struct command_body body = {.kind = CMD_CONF_DELETE};
	struct command_conf_delete *del = &body.command_body_u.conf_delete;
	struct buf id = {0};
	int err = read_revision(req, &del->expected_revision);

	if (!err)
		err = read_request_id(e, req, &id);
	if (err)
		goto out;
	XDR_SET(*del, path, path);
	XDR_SET(*del, request_id, buf_str(&id));
	err = ctl_propose(&e->leader, req, &body, &result_ops);
out:
	if (err)
		ctl_reply_err(req, err, (struct str){NULL, 0});
	buf_free(&id);
}

static void get_document(struct entry *e, struct http_request *req, struct str path)
{
	const struct conf_view *view = entry_watch_view(e->watch);
	const struct conf_doc *doc = conf_view_get(view, path);

	if (!doc) {
		ctl_reply_err(req, CF_ENOENT, path);
		return;
	}
	ctl_reply_json(req, 200,
		       json_pack("{s:o,s:I,s:o,s:I}", "path", ctl_json_str(path),
				 "revision", (json_int_t)doc->revision, "text",
				 ctl_json_str(conf_doc_text(doc)), "age_ms",
				 (json_int_t)(entry_watch_age_us(e->watch) / 1000)));
}

static void list_documents(struct entry *e, struct http_request *req, struct str team)
{
	const struct conf_view *view = entry_watch_view(e->watch);
	size_t n;
	const struct conf_doc *const *docs = conf_view_team(view, team, &n);
	json_t *list = json_array();

	for (size_t i = 0; i < n; i++)
		json_array_append_new(
			list, json_pack("{s:o,s:I}", "path",
					ctl_json_str(conf_doc_path(docs[i])), "revision",
					(json_int_t)docs[i]->revision));
	ctl_reply_json(req, 200,
		       json_pack("{s:o,s:I,s:o}", "team", ctl_json_str(team), "revision",
				 (json_int_t)conf_view_index(view), "documents", list));
}

static void watch_team(struct entry *e, struct http_request *req, struct str team)
{
	uint64_t after = 0;
	uint64_t wait_ms = 0;
	struct str s = http_request_query(req, "after");
	int err = s.n ? str_to_u64(s, &after) : 0;

	s = http_request_query(req, "wait_ms");
	if (!err && s.n)
		err = str_to_u64(s, &wait_ms);
	if (err)
		ctl_reply_err(req, err, STR("after and wait_ms are whole numbers"));
	else
		entry_watch_wait(e->watch, req, team, after, wait_ms);
}

/* Serves /v1/conf/TEAM[/WORD/NAME] and /v1/watch/TEAM; rest begins with the team. */
void entry_conf_api(struct entry *e, struct http_request *req, struct str rest)
{
	struct str authorization = http_request_header(req, "Authorization");
	struct str path = {rest.p - 1, rest.n + 1};
	struct str team, below;
	int err;

	str_split(rest, '/', &team, &below);
	err = auth_check(e->settings, team, authorization);
	if (err) {
		ctl_reply_err(req, err, auth_reason(err, authorization));
		return;
	}
	if (strncmp(req->path, "/v1/watch/", 10) == 0)
		watch_team(e, req, team);
	else if (strcmp(req->method, "GET") == 0 && below.n == 0)
		list_documents(e, req, team);
	else if (strcmp(req->method, "GET") == 0 && http_request_query(req, "history").n)
		err = ctl_read(&e->leader, req, PEER_READ_HISTORY, team, path);
	else if (strcmp(req->method, "GET") == 0)
		get_document(e, req, path);
	else if (strcmp(req->method, "PUT") == 0)
		put_document(e, req, path);
	else if (strcmp(req->method, "DELETE") == 0)
		delete_document(e, req, path);
	else
		err = CF_EINVAL;
	if (err)
		ctl_reply_err(req, err, (struct str){NULL, 0});
}
