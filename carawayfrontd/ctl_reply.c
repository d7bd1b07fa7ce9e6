#include "carawayfrontd/ctl_reply.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"

/* Maps an error number to the HTTP status that operators see. */
unsigned int ctl_status(int err)
{
	switch (err) {
	case CF_OK:
		return 200;
	case CF_EINVAL:
	case CF_EMALFORMED:
		return 400;
	case CF_EAUTH:
		return 401;
	case CF_EPERM:
		return 403;
	case CF_ENOENT:
		return 404;
	case CF_ECONFLICT:
	case CF_EEXIST:
	case CF_EINPROGRESS:
		return 409;
	case CF_ETOOBIG:
		return 413;
	case CF_EREUSED:
		return 422;
	case CF_EBUSY:
		return 429;
	case CF_EUNKNOWN:
		return 502;
	case CF_EUNAVAIL:
	case CF_ENOTLEADER:
	case CF_EDRAINING:
	case CF_ESTALE:
		return 503;
	case CF_ETIMEOUT:
		return 504;
	case CF_ENOSPACE:
		return 507;
	default:
		return 500;
	}
}

/* Makes a JSON string; invalid UTF-8 gives JSON null. */
json_t *ctl_json_str(struct str s)
{
	json_t *j = json_stringn(s.n ? s.p : "", s.n);

	return j ? j : json_null();
}

/* Answers with a JSON value, which is released. */
void ctl_reply_json(struct http_request *req, unsigned int status, json_t *json)
{
	const struct http_header h = {"Content-Type", STR("application/json")};
	char *text = json ? json_dumps(json, JSON_COMPACT) : NULL;
	struct buf body = {0};

	if (text) {
		buf_adds(&body, text);
		buf_adds(&body, "\n");
	}
	http_request_reply(req, text ? status : 500, &h, 1, buf_str(&body));
	buf_free(&body);
	free(text);
	json_decref(json);
}

void ctl_reply_text(struct http_request *req, unsigned int status, struct str body)
{
	const struct http_header h = {"Content-Type", STR("text/plain; charset=utf-8")};

	http_request_reply(req, status, &h, 1, body);
}

/* Answers with an error number; detail may be empty. */
void ctl_reply_err(struct http_request *req, int err, struct str detail)
{
	json_t *j = json_pack("{s:s}", "error", cf_strerror(err));

	if (j && detail.n)
		json_object_set_new(j, "detail", ctl_json_str(detail));
	ctl_reply_json(req, ctl_status(err), j);
}

/* Answers with the Prometheus text format. */
void ctl_reply_metrics(struct http_request *req, const struct metric_set *metrics)
{
	const struct http_header h = {"Content-Type", STR("text/plain; version=0.0.4")};
	struct buf body = {0};

	metric_print(metrics, &body);
	http_request_reply(req, 200, &h, 1, buf_str(&body));
	buf_free(&body);
}
