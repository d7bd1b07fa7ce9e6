#include <err.h>
#include <stdio.h>
#include <string.h>

#include "carawayctl/conf.h"
#include "carawayctl/table.h"
#include "carawayctl/vocabulary.h"

/* Checks a job against the vocabulary file of -V, as the word of -w or one for jobs. */
static int check_job(const struct ctl *ctl, struct str fields, const char *file)
{
	struct buf vocabulary = {0};
	struct str word;
	size_t n = 1;
	int status;

	if (!ctl->vocabulary)
		return CTL_OK;
	status = conf_load_vocabulary(ctl->vocabulary, &vocabulary);
	if (status)
		goto out;
	word = ctl->word ? str_from(ctl->word)
			 : vocabulary_word_for_kind(buf_str(&vocabulary), CONF_KIND_JOB,
						    &n);
	if (n == 0) {
		warnx("%s: no word is mapped to the kind job", ctl->vocabulary);
		status = CTL_REFUSED;
	} else {
		status = conf_check_fields(buf_str(&vocabulary), word, fields, file);
	}
out:
	buf_free(&vocabulary);
	return status;
}

static int submit_job(const struct ctl *ctl, const char *file)
{
	struct http_request req = {
		.method = "POST", .type = "application/yaml", .write = true};
	struct http_reply reply = {0};
	struct buf path = {0};
	struct buf text = {0};
	struct buf job = {0};
	const char *name;
	int status = conf_load_file(file, &text, &job);

	if (status == CTL_OK)
		status = check_job(ctl, buf_str(&job), file);
	if (status || ctl->check_only)
		goto out;
	status = CTL_REFUSED;
	if (buf_addf(&path, "/v1/jobs/%s", ctl->team))
		goto out;
	req.path = path.p;
	req.body = buf_str(&text);
	status = http_send(ctl, &req, &reply);
	if (status)
		goto out;
	name = json_string_value(json_object_get(reply.json, "name"));
	if (name && !ctl->json)
		printf("%s\n", name);
	else
		table_print_reply(reply.json, "", ctl->json);
out:
	buf_free(&job);
	buf_free(&text);
	buf_free(&path);
	http_reply_free(&reply);
	return status;
}

/* Prints the fields of a job one per line, then its tasks as a table. */
static void print_job(const struct ctl *ctl, json_t *job)
{
	json_t *tasks = json_object_get(job, "tasks");
	const char *key;
	json_t *v;

	if (ctl->json || !json_is_object(job)) {
		table_print_reply(job, "jobs", ctl->json);
		return;
	}
	json_object_foreach(job, key, v)
	{
		if (json_is_array(v))
			continue;
		printf("%s: ", key);
		if (json_is_string(v))
			printf("%s", json_string_value(v));
		else
			json_dumpf(v, stdout, JSON_ENCODE_ANY | JSON_COMPACT);
		putchar('\n');
	}
	if (json_is_array(tasks))
		table_print(tasks);
}

static int send_job_request(const struct ctl *ctl, const char *verb, const char *id)
{
	bool cancel = strcmp(verb, "cancel") == 0;
	struct http_request req = {.method = cancel ? "DELETE" : "GET", .write = cancel};
	struct http_reply reply = {0};
	struct buf path = {0};
	int status;

	if (id && !ctl_is_valid_name(id))
		return ctl_usage_error("invalid job id");
	if (buf_addf(&path, "/v1/jobs/%s%s%s", ctl->team, id ? "/" : "", id ? id : ""))
		return CTL_REFUSED;
	req.path = path.p;
	status = http_send(ctl, &req, &reply);
	if (status == CTL_OK) {
		if (strcmp(verb, "show") == 0)
			print_job(ctl, reply.json);
		else
			table_print_reply(reply.json, "jobs", ctl->json);
	}
	http_reply_free(&reply);
	buf_free(&path);
	return status;
}

/* job submit|show|list|cancel */
int ctl_job(struct ctl *ctl, int argc, char **argv)
{
	const char *verb = argc ? argv[0] : "";
	int status = ctl_require_team(ctl);

	if (status)
		return status;
	if (argc == 2 && strcmp(verb, "submit") == 0)
		return submit_job(ctl, argv[1]);
	if (argc == 2 && (strcmp(verb, "show") == 0 || strcmp(verb, "cancel") == 0))
		return send_job_request(ctl, verb, argv[1]);
	if (argc == 1 && strcmp(verb, "list") == 0)
		return send_job_request(ctl, verb, NULL);
	return ctl_usage_error("job: unknown command or wrong number of arguments");
}
