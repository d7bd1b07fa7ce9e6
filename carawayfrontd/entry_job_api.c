#include <string.h>

#include "base/err.h"
#include "carawayfrontd/auth.h"
#include "carawayfrontd/ctl_call.h"
#include "carawayfrontd/ctl_reply.h"
#include "carawayfrontd/entry_impl.h"
#include "io/doc_fields.h"
#include "proto/codec.h"

static const struct ctl_call_ops result_ops = {.done = ctl_reply_result};

static int check_request_id(struct str id, struct buf *problem)
{
	if (id.n && id.n <= CMD_MAX_NAME)
		return 0;
	buf_adds(problem, "Request-Id is needed, so that a resend is not a second job");
	return CF_EINVAL;
}

static void submit_job(struct entry *e, struct http_request *req, struct str team)
{
	struct command_body body = {.kind = CMD_JOB_SUBMIT};
	struct command_job_submit *submit = &body.command_body_u.job_submit;
	struct str id = http_request_header(req, "Request-Id");
	struct buf problem = {0};
	int err = check_request_id(id, &problem);

	if (!err)
		err = doc_fields_read(buf_str(&req->body), &submit->fields, &problem);
	if (err)
		goto out;
	XDR_SET(*submit, team, team);
	XDR_SET(*submit, name, http_request_query(req, "name"));
	XDR_SET(*submit, request_id, id);
	err = ctl_propose(&e->leader, req, &body, &result_ops);
out:
	if (err)
		ctl_reply_err(req, err, buf_str(&problem));
	doc_fields_free(&submit->fields);
	buf_free(&problem);
}

static void cancel_job(struct entry *e, struct http_request *req, struct str team,
		       struct str job)
{
	struct command_body body = {.kind = CMD_JOB_CANCEL};
	struct command_job_cancel *cancel = &body.command_body_u.job_cancel;
	struct str id = http_request_header(req, "Request-Id");
	struct buf problem = {0};
	int err = check_request_id(id, &problem);

	if (err)
		goto out;
	XDR_SET(*cancel, team, team);
	XDR_SET(*cancel, job, job);
	XDR_SET(*cancel, request_id, id);
	err = ctl_propose(&e->leader, req, &body, &result_ops);
out:
	if (err)
		ctl_reply_err(req, err, buf_str(&problem));
	buf_free(&problem);
}

/* Serves /v1/jobs/TEAM[/ID]. */
void entry_job_api(struct entry *e, struct http_request *req, struct str rest)
{
	struct str authorization = http_request_header(req, "Authorization");
	struct str team, job;
	int err;

	str_split(rest, '/', &team, &job);
	err = auth_check(e->settings, team, authorization);
	if (err) {
		ctl_reply_err(req, err, auth_reason(err, authorization));
		return;
	}
	if (strcmp(req->method, "POST") == 0 && job.n == 0)
		submit_job(e, req, team);
	else if (strcmp(req->method, "DELETE") == 0 && job.n)
		cancel_job(e, req, team, job);
	else if (strcmp(req->method, "GET") == 0)
		err = ctl_read(&e->leader, req, job.n ? PEER_READ_JOB : PEER_READ_JOBS,
			       team, job);
	else
		err = CF_EINVAL;
	if (err)
		ctl_reply_err(req, err, (struct str){NULL, 0});
}
