#include <stdio.h>
#include <string.h>

#include "carawayctl/http.h"
#include "carawayctl/table.h"

/* Prints the array under the key list of the response to GET path as a table. */
static int print_list(const struct ctl *ctl, int argc, const char *path, const char *list)
{
	struct http_request req = {.method = "GET", .path = path};
	struct http_reply reply = {0};
	int status;

	if (argc)
		return ctl_usage_error("too many arguments");
	status = http_send(ctl, &req, &reply);
	if (status == CTL_OK)
		table_print_reply(reply.json, list, ctl->json);
	http_reply_free(&reply);
	return status;
}

int ctl_upstreams(struct ctl *ctl, int argc, char **argv)
{
	return print_list(ctl, argc, "/v1/upstreams", "upstreams");
}

int ctl_workers(struct ctl *ctl, int argc, char **argv)
{
	return print_list(ctl, argc, "/v1/workers", "workers");
}

/* health: queries every address. The exit status is that of the worst one. */
int ctl_health(struct ctl *ctl, int argc, char **argv)
{
	struct http_request req = {.method = "GET", .path = "/healthz"};
	json_t *rows;
	int status = CTL_OK;

	if (argc)
		return ctl_usage_error("too many arguments");
	if (ctl->n_addresses == 0)
		return ctl_usage_error("an address is needed (-a)");
	rows = json_array();
	for (size_t i = 0; i < ctl->n_addresses; i++) {
		struct http_reply reply;
		bool maybe;
		int e = http_send_once(ctl, ctl->addresses[i], &req, &reply, &maybe);
		const char *reason =
			json_string_value(json_object_get(reply.json, "reason"));
		const char *state = e			  ? "unreachable"
				    : reply.status == 200 ? "serving"
							  : "not serving";
		int one = e ? CTL_UNREACHABLE
			    : (reply.status == 200 ? CTL_OK : CTL_REFUSED);

		json_array_append_new(rows, json_pack("{s:s,s:s,s:i,s:s}", "address",
						      ctl->addresses[i], "state", state,
						      "status", (int)reply.status,
						      "reason", reason ? reason : ""));
		if (one > status)
			status = one;
		if (!e)
			http_reply_free(&reply);
	}
	table_print_reply(rows, "", ctl->json);
	json_decref(rows);
	return status;
}
