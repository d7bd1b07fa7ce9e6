#include <string.h>

#include "base/err.h"
#include "carawayfrontd/ctl_reply.h"
#include "carawayfrontd/entry_impl.h"
#include "io/addr.h"
#include "io/clock.h"

static struct str json_str(const json_t *j, const char *key)
{
	const json_t *v = json_object_get(j, key);

	return (struct str){json_string_value(v), json_string_length(v)};
}

/* Whether a field is absent or a whole number from 0 on. */
static bool is_count(const json_t *j, const char *key)
{
	const json_t *v = json_object_get(j, key);

	return !v || (json_is_integer(v) && json_integer_value(v) >= 0);
}

static int read_announcement(const json_t *j, struct str name, struct router_upstream *u)
{
	json_int_t slots = json_integer_value(json_object_get(j, "slots"));
	json_int_t load = -1;
	const json_t *v = json_object_get(j, "load");
	struct str state = json_str(j, "state");
	struct addr address;

	if (json_is_integer(v))
		load = json_integer_value(v);
	*u = (struct router_upstream){
		.team = json_str(j, "team"),
		.service = json_str(j, "service"),
		.name = name,
		.address = json_str(j, "address"),
		.zone = json_str(j, "zone"),
		.slots = (unsigned int)slots,
		.load = (int)load,
		.leaving = str_eq(state, STR("leaving")),
		.incarnation =
			(uint64_t)json_integer_value(json_object_get(j, "incarnation")),
		.sequence = (uint64_t)json_integer_value(json_object_get(j, "sequence")),
	};
	if (!u->leaving && !str_eq(state, STR("ready")))
		return CF_EINVAL;
	if (!is_count(j, "incarnation") || !is_count(j, "sequence"))
		return CF_EINVAL;
	if (u->team.n == 0 || u->service.n == 0 || u->zone.n == 0 || slots < 1 ||
	    slots > 100000 || load > 100000)
		return CF_EINVAL;
	if (addr_parse(u->address, &address) || !addr_is_host(&address))
		return CF_EINVAL;
	return 0;
}

static void announce(struct entry *e, struct http_request *req, struct str name)
{
	json_t *j = json_loadb(req->body.p ? req->body.p : "", req->body.n, 0, NULL);
	struct router_upstream u;
	int err = CF_EMALFORMED;

	if (j)
		err = read_announcement(j, name, &u);
	if (!err)
		err = spread_announced(e->spread, &u);
	json_decref(j);
	if (err)
		ctl_reply_err(req, err,
			      STR("expected team, service, address, zone, slots, state "
				  "(ready or leaving), incarnation and sequence"));
	else
		ctl_reply_json(req, 200, json_object());
}

/* Lists the announced upstreams, and older incarnations that still have requests. */
static void list_upstreams(struct entry *e, struct http_request *req)
{
	const struct router *r = front_router(e->front);
	struct router_upstream_info u;
	json_t *list = json_array();
	uint64_t cursor = 0;

	while (router_upstream_next(r, &cursor, &u, clock_us())) {
		if (!u.current && !u.inflight)
			continue;
		json_array_append_new(
			list,
			json_pack("{s:o,s:o,s:o,s:o,s:o,s:i,s:i,s:s,s:b,s:b,s:I}", "team",
				  ctl_json_str(u.team), "service",
				  ctl_json_str(u.service), "name", ctl_json_str(u.name),
				  "address", ctl_json_str(u.address), "zone",
				  ctl_json_str(u.zone), "slots", (int)u.slots,
				  "in_flight", (int)u.inflight, "state",
				  u.leaving ? "leaving" : "ready", "usable",
				  (int)u.usable, "ejected", (int)u.ejected, "age_ms",
				  (json_int_t)(u.age_us < 0 ? -1 : u.age_us / 1000)));
	}
	ctl_reply_json(req, 200, json_pack("{s:o}", "upstreams", list));
}

/* Serves /v1/upstreams[/NAME]; rest is empty or begins with a slash. */
void entry_upstream_api(struct entry *e, struct http_request *req, struct str rest)
{
	if (strcmp(req->method, "PUT") == 0 && rest.n > 1 && rest.p[0] == '/') {
		rest.p++;
		rest.n--;
		announce(e, req, rest);
	} else if (strcmp(req->method, "GET") == 0 && rest.n == 0) {
		list_upstreams(e, req);
	} else {
		ctl_reply_err(req, CF_EINVAL,
			      STR("GET /v1/upstreams or PUT /v1/upstreams/NAME"));
	}
}
