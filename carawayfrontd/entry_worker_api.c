#include <string.h>

#include "base/err.h"
#include "carawayfrontd/ctl_call.h"
#include "carawayfrontd/ctl_reply.h"
#include "carawayfrontd/entry_impl.h"
#include "proto/codec.h"

/* Serves POST /v1/workers/NAME, GET /v1/workers and GET /v1/members. */
void entry_worker_api(struct entry *e, struct http_request *req, struct str rest)
{
	struct str none = {NULL, 0};
	int err = CF_EINVAL;

	if (strcmp(req->method, "POST") == 0 && rest.n > 1 && rest.p[0] == '/')
		err = poll_relay_forward(e->polls, req,
					 (struct str){rest.p + 1, rest.n - 1});
	else if (strcmp(req->method, "GET") == 0 && rest.n == 0)
		err = ctl_read(&e->leader, req,
			       strcmp(req->path, "/v1/members") == 0 ? PEER_READ_MEMBERS
								     : PEER_READ_WORKERS,
			       none, none);
	if (err)
		ctl_reply_err(req, err, none);
}
