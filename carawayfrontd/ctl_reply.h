#ifndef CARAWAYFRONTD_CTL_REPLY_H
#define CARAWAYFRONTD_CTL_REPLY_H

#include <jansson.h>

#include "base/metric.h"
#include "io/http_server.h"

/* Answers on the control port: JSON, errors as {"error":TEXT,"detail":TEXT}. */
void ctl_reply_json(struct http_request *req, unsigned int status, json_t *json);
void ctl_reply_text(struct http_request *req, unsigned int status, struct str body);
void ctl_reply_err(struct http_request *req, int err, struct str detail);
void ctl_reply_metrics(struct http_request *req, const struct metric_set *metrics);
unsigned int ctl_status(int err);
json_t *ctl_json_str(struct str s);

#endif
