#include "carawayctl/conf.h"

#include <err.h>
#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "carawayctl/document.h"
#include "carawayctl/table.h"
#include "carawayctl/vocabulary.h"

#define WATCH_LONG_POLL_MS 20000
#define YAML_CONTENT_TYPE "application/yaml"

/*
 * Appends the URL path of the document word/name to out; with name NULL the path ends
 * after word. Returns an enum ctl_status.
 */
int conf_format_path(const struct ctl *ctl, const char *word, const char *name,
		     struct buf *out)
{
	int e = ctl_require_team(ctl);

	if (e)
		return e;
	if (!ctl_is_valid_name(word) || (name && !ctl_is_valid_name(name)))
		return ctl_usage_error(
			"a word or name may only have the characters A-Za-z0-9-_.");
	e = buf_addf(out, "/v1/conf/%s/%s", ctl->team, word);
	if (!e && name)
		e = buf_addf(out, "/%s", name);
	return e ? CTL_REFUSED : CTL_OK;
}

/* Returns the document text in a response, NULL if it has none. */
const char *conf_document_text(const json_t *reply)
{
	return json_string_value(json_object_get(reply, "text"));
}

/*
 * Fetches a document and its revision. A missing document is no error: *revision is 0
 * and reply->status is 404. Returns an enum ctl_status.
 */
int conf_fetch_document(const struct ctl *ctl, const char *path, struct http_reply *reply,
			uint64_t *revision)
{
	struct http_request req = {.method = "GET", .path = path, .allow_missing = true};
	int status = http_send(ctl, &req, reply);

	*revision = 0;
	if (status == CTL_REFUSED && reply->status == 404)
		return CTL_OK;
	if (status == CTL_OK)
		*revision = (uint64_t)json_integer_value(
			json_object_get(reply->json, "revision"));
	return status;
}

/* Prints the revision as a YAML comment, then the text: the output can be put again. */
static void print_document(const json_t *reply)
{
	const char *text = conf_document_text(reply);

	printf("# revision %lld\n%s",
	       (long long)json_integer_value(json_object_get(reply, "revision")),
	       text ? text : "");
	if (text && *text && text[strlen(text) - 1] != '\n')
		putchar('\n');
}

/* Prints the result of a write; after a conflict, the current document. */
static void print_result(const struct ctl *ctl, int status,
			 const struct http_reply *reply)
{
	if (status == CTL_CONFLICT && !ctl->json)
		print_document(reply->json);
	else if (status == CTL_OK || status == CTL_CONFLICT)
		table_print_reply(reply->json, "", ctl->json);
}

/*
 * Writes a document if its revision is still the one given with -m, or without -m the
 * one fetched just before. Returns an enum ctl_status.
 */
int conf_put_document(const struct ctl *ctl, const char *path, struct str text)
{
	struct http_request req = {.method = "PUT",
				   .path = path,
				   .type = YAML_CONTENT_TYPE,
				   .body = text,
				   .write = true,
				   .has_match = true,
				   .match = ctl->match};
	struct http_reply reply = {0};
	int status = CTL_OK;

	if (!ctl->has_match) {
		status = conf_fetch_document(ctl, path, &reply, &req.match);
		http_reply_free(&reply);
	}
	if (status == CTL_OK) {
		status = http_send(ctl, &req, &reply);
		print_result(ctl, status, &reply);
		http_reply_free(&reply);
	}
	return status;
}

/*
 * Reads a YAML file into text and parses it into packed fields; the caller frees both.
 * Reports errors and returns an enum ctl_status.
 */
int conf_load_file(const char *file, struct buf *text, struct buf *fields)
{
	struct buf problem = {0};
	int e = document_read_file(file, text);

	if (e)
		warnx("%s: %s", file, cf_strerror(e));
	else if ((e = vocabulary_parse_document(buf_str(text), fields, &problem)) != 0)
		warnx("%s: %.*s", file, STR_ARG(buf_str(&problem)));
	buf_free(&problem);
	return e ? CTL_REFUSED : CTL_OK;
}

/* Reads, parses and checks a vocabulary file. Returns an enum ctl_status. */
int conf_load_vocabulary(const char *file, struct buf *vocabulary)
{
	struct buf text = {0};
	struct buf problem = {0};
	int status = conf_load_file(file, &text, vocabulary);

	if (status == CTL_OK && vocabulary_check(buf_str(vocabulary), &problem)) {
		warnx("%s: %.*s", file, STR_ARG(buf_str(&problem)));
		status = CTL_REFUSED;
	}
	buf_free(&problem);
	buf_free(&text);
	return status;
}

/* Checks fields against the kind that word is mapped to. Returns an enum ctl_status. */
int conf_check_fields(struct str vocabulary, struct str word, struct str fields,
		      const char *file)
{
	struct buf problem = {0};
	int e = vocabulary_check_document(vocabulary, word, fields, &problem);

	if (e)
		warnx("%s: %.*s", file, STR_ARG(buf_str(&problem)));
	buf_free(&problem);
	return e ? CTL_REFUSED : CTL_OK;
}

/* Fetches the team's vocabulary as packed fields. Returns an enum ctl_status. */
int conf_fetch_vocabulary(const struct ctl *ctl, struct buf *out)
{
	struct http_reply reply = {0};
	struct buf path = {0};
	struct buf problem = {0};
	const char *text;
	uint64_t revision;
	int status = conf_format_path(ctl, "vocabulary", NULL, &path);

	if (status)
		goto out;
	status = conf_fetch_document(ctl, path.p, &reply, &revision);
	if (status)
		goto out;
	text = conf_document_text(reply.json);
	if (!text || vocabulary_parse_document(str_from(text), out, &problem)) {
		warnx("the team %s has no valid vocabulary", ctl->team);
		status = CTL_REFUSED;
	}
out:
	buf_free(&problem);
	http_reply_free(&reply);
	buf_free(&path);
	return status;
}

/* Checks the fields against the vocabulary file of -V, if given. */
static int check_against_local_vocabulary(const struct ctl *ctl, const char *word,
					  struct str fields, const char *file)
{
	struct buf vocabulary = {0};
	int status;

	if (!ctl->vocabulary)
		return CTL_OK;
	status = conf_load_vocabulary(ctl->vocabulary, &vocabulary);
	if (status == CTL_OK)
		status = conf_check_fields(buf_str(&vocabulary), str_from(word), fields,
					   file);
	buf_free(&vocabulary);
	return status;
}

static int get_document(const struct ctl *ctl, const char *path, bool history)
{
	struct http_reply reply = {0};
	struct buf full = {0};
	struct http_request req = {.method = "GET"};
	int status = CTL_REFUSED;

	if (buf_addf(&full, "%s%s", path, history ? "?history=1" : "") == 0) {
		req.path = full.p;
		status = http_send(ctl, &req, &reply);
	}
	if (status == CTL_OK && !history && !ctl->json) {
		print_document(reply.json);
	} else if (status == CTL_OK) {
		table_print_reply(reply.json, "versions", ctl->json);
	}
	http_reply_free(&reply);
	buf_free(&full);
	return status;
}

static int put_document(const struct ctl *ctl, const char *path, const char *word,
			const char *file)
{
	struct buf text = {0};
	struct buf fields = {0};
	int status = conf_load_file(file, &text, &fields);

	if (status == CTL_OK)
		status =
			check_against_local_vocabulary(ctl, word, buf_str(&fields), file);
	if (status == CTL_OK && !ctl->check_only)
		status = conf_put_document(ctl, path, buf_str(&text));
	buf_free(&fields);
	buf_free(&text);
	return status;
}

static int delete_document(const struct ctl *ctl, const char *path)
{
	struct http_request req = {.method = "DELETE",
				   .path = path,
				   .write = true,
				   .has_match = true,
				   .match = ctl->match};
	struct http_reply reply = {0};
	int status = CTL_OK;

	if (!ctl->has_match) {
		status = conf_fetch_document(ctl, path, &reply, &req.match);
		if (status == CTL_OK && req.match == 0) {
			warnx("no such document");
			status = CTL_REFUSED;
		}
		http_reply_free(&reply);
	}
	if (status == CTL_OK) {
		status = http_send(ctl, &req, &reply);
		print_result(ctl, status, &reply);
		http_reply_free(&reply);
	}
	return status;
}

static void print_change(const struct ctl *ctl, const json_t *change)
{
	const char *path = json_string_value(json_object_get(change, "path"));
	json_int_t revision = json_integer_value(json_object_get(change, "revision"));
	bool deleted = json_is_true(json_object_get(change, "deleted"));

	if (ctl->json)
		json_dumpf(change, stdout, JSON_COMPACT);
	else
		printf("%lld %s %s", (long long)revision, deleted ? "deleted" : "set",
		       path ? path : "-");
	putchar('\n');
	fflush(stdout);
}

/* Long-polls for changes and prints each, until --count of them were printed. */
static int watch_documents(const struct ctl *ctl)
{
	uint64_t after = ctl->after;
	uint64_t printed = 0;
	int status = CTL_OK;

	while (status == CTL_OK && (ctl->count == 0 || printed < ctl->count)) {
		struct http_reply reply = {0};
		struct buf path = {0};
		struct http_request req = {.method = "GET",
					   .wait_ms = WATCH_LONG_POLL_MS};
		const json_t *change;
		size_t i;

		if (buf_addf(&path, "/v1/watch/%s?after=%llu&wait_ms=%d", ctl->team,
			     (unsigned long long)after, WATCH_LONG_POLL_MS))
			return CTL_REFUSED;
		req.path = path.p;
		status = http_send(ctl, &req, &reply);
		buf_free(&path);
		if (status == CTL_OK) {
			const json_t *index = json_object_get(reply.json, "revision");
			const json_t *kept =
				json_object_get(reply.json, "deletions_after");

			/* An entry process lacks deletions from before its start. */
			if (after && (uint64_t)json_integer_value(kept) > after)
				warnx("deletions up to revision %lld may be missing",
				      (long long)json_integer_value(kept));

			json_array_foreach(json_object_get(reply.json, "changes"), i,
					   change)
			{
				if (ctl->count && printed == ctl->count)
					break;
				print_change(ctl, change);
				printed++;
			}
			if (json_is_integer(index))
				after = (uint64_t)json_integer_value(index);
			else {
				warnx("the response to the watch has no revision");
				status = CTL_REFUSED;
			}
		}
		http_reply_free(&reply);
	}
	return status;
}

static int list_documents(const struct ctl *ctl)
{
	struct http_reply reply = {0};
	struct buf path = {0};
	struct http_request req = {.method = "GET"};
	int status;

	if (buf_addf(&path, "/v1/conf/%s", ctl->team))
		return CTL_REFUSED;
	req.path = path.p;
	status = http_send(ctl, &req, &reply);
	if (status == CTL_OK)
		table_print_reply(reply.json, "documents", ctl->json);
	http_reply_free(&reply);
	buf_free(&path);
	return status;
}

/* conf get|put|delete|list|history|watch */
int ctl_conf(struct ctl *ctl, int argc, char **argv)
{
	struct buf path = {0};
	const char *verb = argc ? argv[0] : "";
	int status;

	if (argc == 1 && (strcmp(verb, "list") == 0 || strcmp(verb, "watch") == 0)) {
		status = ctl_require_team(ctl);
		if (status)
			return status;
		return verb[0] == 'l' ? list_documents(ctl) : watch_documents(ctl);
	}
	if (!(argc == 3 && (strcmp(verb, "get") == 0 || strcmp(verb, "delete") == 0 ||
			    strcmp(verb, "history") == 0)) &&
	    !(argc == 4 && strcmp(verb, "put") == 0))
		return ctl_usage_error(
			"conf: unknown command or wrong number of arguments");
	status = conf_format_path(ctl, argv[1], argv[2], &path);
	if (status == CTL_OK) {
		if (strcmp(verb, "put") == 0)
			status = put_document(ctl, path.p, argv[1], argv[3]);
		else if (strcmp(verb, "delete") == 0)
			status = delete_document(ctl, path.p);
		else
			status = get_document(ctl, path.p, verb[0] == 'h');
	}
	buf_free(&path);
	return status;
}

static int put_vocabulary(const struct ctl *ctl, const char *path, const char *file)
{
	struct buf text = {0};
	struct buf fields = {0};
	struct buf problem = {0};
	int status = conf_load_file(file, &text, &fields);

	if (status == CTL_OK && vocabulary_check(buf_str(&fields), &problem)) {
		warnx("%s: %.*s", file, STR_ARG(buf_str(&problem)));
		status = CTL_REFUSED;
	}
	if (status == CTL_OK && !ctl->check_only)
		status = conf_put_document(ctl, path, buf_str(&text));
	buf_free(&problem);
	buf_free(&fields);
	buf_free(&text);
	return status;
}

/* vocabulary get|put */
int ctl_vocabulary(struct ctl *ctl, int argc, char **argv)
{
	struct buf path = {0};
	bool put = argc == 2 && strcmp(argv[0], "put") == 0;
	int status;

	if (!put && !(argc == 1 && strcmp(argv[0], "get") == 0))
		return ctl_usage_error("vocabulary: expected get, or put and a file");
	status = conf_format_path(ctl, "vocabulary", NULL, &path);
	if (status == CTL_OK)
		status = put ? put_vocabulary(ctl, path.p, argv[1])
			     : get_document(ctl, path.p, false);
	buf_free(&path);
	return status;
}
