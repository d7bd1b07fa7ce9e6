#include <stdlib.h>
#include <string.h>

#include "carawayctl/http.h"
#include "carawayctl/table.h"
#include "io/addr.h"

#define MEMBERS_PATH "/v1/members"

static int member_change(const struct ctl *ctl, json_t *change)
{
	struct http_request req = {.method = "POST",
				   .path = MEMBERS_PATH,
				   .type = "application/json",
				   .write = true};
	struct http_reply reply = {0};
	char *text = json_dumps(change, JSON_COMPACT);
	int status = CTL_REFUSED;

	if (text) {
		req.body = str_from(text);
		status = http_call(ctl, &req, &reply);
	}
	if (status == CTL_DONE)
		table_print_reply(reply.json, "members", ctl->json);
	free(text);
	json_decref(change);
	http_reply_free(&reply);
	return status;
}

static bool address_valid(const char *text)
{
	struct addr a;

	return addr_parse(str_from(text), &a) == 0;
}

/* member list|add|replace|remove */
int ctl_member(struct ctl *ctl, int argc, char **argv)
{
	struct http_request req = {.method = "GET", .path = MEMBERS_PATH};
	struct http_reply reply = {0};
	const char *verb = argc ? argv[0] : "";
	int status;

	for (int i = 1; i < argc; i++)
		if (!ctl_name_valid(argv[i]) && !address_valid(argv[i]))
			return ctl_bad_usage("not a member's name or address");
	if (argc == 1 && strcmp(verb, "list") == 0) {
		status = http_call(ctl, &req, &reply);
		if (status == CTL_DONE)
			table_print_reply(reply.json, "members", ctl->json);
		http_reply_free(&reply);
		return status;
	}
	if (argc == 3 && strcmp(verb, "add") == 0 && address_valid(argv[2]))
		return member_change(ctl, json_pack("{s:s,s:s,s:s}", "op", "add", "name",
						    argv[1], "address", argv[2]));
	if (argc == 4 && strcmp(verb, "replace") == 0 && address_valid(argv[3]))
		return member_change(ctl, json_pack("{s:s,s:s,s:s,s:s}", "op", "replace",
						    "old", argv[1], "name", argv[2],
						    "address", argv[3]));
	if (argc == 2 && strcmp(verb, "remove") == 0)
		return member_change(
			ctl, json_pack("{s:s,s:s}", "op", "remove", "name", argv[1]));
	return ctl_bad_usage("member: not a command, or wrong arguments");
}
