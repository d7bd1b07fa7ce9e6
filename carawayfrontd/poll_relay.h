#ifndef CARAWAYFRONTD_POLL_RELAY_H
#define CARAWAYFRONTD_POLL_RELAY_H

#include "carawayfrontd/leader_client.h"
#include "io/http_server.h"

/* Forwards workers' polls to the leader; an unchanged poll is sent as a renewal. */
struct poll_relay;

int poll_relay_new(struct leader_client *leader, struct poll_relay **out);
int poll_relay_forward(struct poll_relay *p, struct http_request *req, struct str worker);
void poll_relay_free(struct poll_relay *p);

#endif
