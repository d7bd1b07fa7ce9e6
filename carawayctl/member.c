#include <stdio.h>
#include <string.h>

#include "carawayctl/http.h"
#include "carawayctl/table.h"

static void print_members(const json_t *reply)
{
	const char *leader = json_string_value(json_object_get(reply, "leader"));

	printf("leader: %s\nepoch: %lld\n", leader && *leader ? leader : "-",
	       (long long)json_integer_value(json_object_get(reply, "epoch")));
	printf("\nstate processes\n");
	table_print(json_object_get(reply, "state"));
	printf("\nentry processes\n");
	table_print(json_object_get(reply, "entries"));
}

/*
 * member list. Members join without an operator, so that there are no other member
 * commands; see docs/operating.md.
 */
int ctl_member(struct ctl *ctl, int argc, char **argv)
{
	struct http_request req = {.method = "GET", .path = "/v1/members"};
	struct http_reply reply = {0};
	int status;

	if (argc != 1 || strcmp(argv[0], "list") != 0)
		return ctl_usage_error("member: only list, without arguments");
	status = http_send(ctl, &req, &reply);
	if (status == CTL_OK && ctl->json)
		table_print_reply(reply.json, "", true);
	else if (status == CTL_OK)
		print_members(reply.json);
	http_reply_free(&reply);
	return status;
}
