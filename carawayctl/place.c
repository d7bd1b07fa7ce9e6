#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "base/err.h"
#include "carawayctl/document.h"
#include "carawayctl/http.h"
#include "carawayctl/table.h"

#define STATUS_NOT_LEADER 503

static const char *text(const json_t *o, const char *name)
{
	const char *s = json_string_value(json_object_get(o, name));

	return s && *s ? s : "-";
}

static long long number(const json_t *o, const char *name)
{
	return (long long)json_integer_value(json_object_get(o, name));
}

static void print_tasks(const json_t *step)
{
	const json_t *t;
	size_t i;

	json_array_foreach(json_object_get(step, "tasks"), i, t)
	{
		if (json_is_true(json_object_get(t, "waits_for_rack")))
			printf("  task %lld: waits for its rack\n", number(t, "task"));
		else if (strcmp(text(t, "worker"), "-") != 0)
			printf("  task %lld: starts on %s, rack %s\n", number(t, "task"),
			       text(t, "worker"), text(t, "rack"));
		else
			printf("  task %lld: no worker takes it now\n",
			       number(t, "task"));
	}
}

static void print_wait(const json_t *wait)
{
	printf("  wait for a rack: %s\n", text(wait, "reason"));
	if (number(wait, "tasks"))
		printf("    %lld tasks wait for rack %s until %lld ms from now; a place "
		       "is expected in %lld ms (standard deviation %lld); elsewhere the "
		       "run takes %lld ms longer, the job has %lld ms to lose\n",
		       number(wait, "tasks"), text(wait, "rack"),
		       number(wait, "until_ms"), number(wait, "free_ms"),
		       number(wait, "free_sd_ms"), number(wait, "elsewhere_extra_ms"),
		       number(wait, "slack_ms"));
}

static void print_preview(const json_t *p)
{
	const json_t *o;
	size_t i;

	printf("state: %s\nqueue: %s, priority %lld\norganisation: %s\n"
	       "workers: %lld, heard %lld ms ago\n",
	       text(p, "state"), text(p, "queue"), number(p, "priority"),
	       text(p, "organisation"), number(p, "workers"), number(p, "view_age_ms"));
	json_array_foreach(json_object_get(p, "notes"), i, o)
		printf("%s: %s (%s, %lld)\n", text(o, "part"), text(o, "text"),
		       text(o, "subject"), number(o, "value"));
	if (!number(p, "steps_waiting"))
		printf("no step waits for a worker\n");
	json_array_foreach(json_object_get(p, "steps"), i, o)
	{
		printf("\nstep %lld.%lld: %lld tasks wait, %lld steps come before it\n",
		       number(o, "occurrence"), number(o, "step"), number(o, "waiting"),
		       number(o, "steps_before"));
		print_tasks(o);
		print_wait(json_object_get(o, "wait"));
		printf("  candidates\n");
		table_print(json_object_get(o, "candidates"));
	}
}

/* Asks the addresses in turn until one leads, and the leader that one of them names. */
static int ask(const struct ctl *ctl, const struct http_request *req,
	       struct http_reply *reply)
{
	char leader[64] = "";
	bool arrived;

	for (size_t i = 0; i <= ctl->n_addresses; i++) {
		const char *address = i < ctl->n_addresses ? ctl->addresses[i] : leader;

		if (!*address)
			break;
		http_reply_free(reply);
		if (http_send_once(ctl, address, req, reply, &arrived))
			continue;
		if (reply->status != STATUS_NOT_LEADER)
			return CTL_OK;
		snprintf(leader, sizeof(leader), "%s",
			 json_string_value(json_object_get(reply->json, "leader")) ?: "");
	}
	warnx("no address leads; the leader is %s", *leader ? leader : "not known");
	return CTL_UNREACHABLE;
}

static int make_path(const char *name, const char *value, struct buf *path)
{
	char *escaped = curl_easy_escape(NULL, value, 0);
	int err = escaped ? buf_addf(path, "/v1/placement?%s=%s", name, escaped)
			  : CF_ENOMEM;

	curl_free(escaped);
	return err;
}

/*
 * place -t id | place queue file: where a job would start, without submitting it. The
 * preview needs no token, so the option -t names the job here.
 */
int ctl_place(struct ctl *ctl, int argc, char **argv)
{
	bool known = argc == 0 && ctl->token;
	struct http_request req = {.method = known ? "GET" : "POST"};
	struct http_reply reply = {0};
	struct buf path = {0};
	struct buf body = {0};
	int status = CTL_REFUSED;
	int err = 0;

	if (!known && argc != 2)
		return ctl_usage_error("place: expected a queue and a file, or -t id");
	if (!known) {
		err = document_read_file(argv[1], &body);
		req.type = "application/json";
	}
	if (err) {
		warnx("%s: %s", argv[1], cf_strerror(err));
		status = CTL_USAGE;
		goto out;
	}
	err = make_path(known ? "job" : "queue", known ? ctl->token : argv[0], &path);
	if (err) {
		warnx("place: %s", cf_strerror(err));
		goto out;
	}
	req.path = path.p;
	req.body = buf_str(&body);
	status = ask(ctl, &req, &reply);
	if (status)
		goto out;
	if (reply.status != 200) {
		warnx("refused with status %ld: %s", reply.status,
		      text(reply.json, "error"));
		status = CTL_REFUSED;
	} else if (ctl->json) {
		table_print_reply(reply.json, "", true);
	} else {
		print_preview(reply.json);
	}
out:
	http_reply_free(&reply);
	buf_free(&path);
	buf_free(&body);
	return status;
}
