#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "carawayctl/conf.h"
#include "carawayctl/vocab.h"

/* Returns the stored zone document, or an empty one when there is none. */
static json_t *zone_document(const struct http_reply *reply)
{
	struct document_error error;
	const char *text = conf_text(reply->json);
	json_t *document = NULL;

	if (text && document_parse(str_from(text), &document, &error) == 0)
		return document;
	return json_object();
}

/*
 * Writes the team's zone document with the new state in the team's own words. The
 * write expects the version that was read, so that another operator's change between
 * the two ends in a conflict.
 */
static int zone_set(const struct ctl *ctl, const char *name, const char *state)
{
	struct ctl write = *ctl;
	struct http_reply reply = {0};
	struct buf path = {0};
	json_t *vocabulary = NULL;
	json_t *document = NULL;
	const char *word = ctl->word;
	char *text = NULL;
	size_t n = 1;
	int status = conf_vocabulary(ctl, &vocabulary);

	if (status)
		goto out;
	if (!word)
		word = vocab_word_of_kind(vocabulary, "zone", &n);
	if (n != 1) {
		warnx("the vocabulary has %zu words for zones%s", n,
		      n ? "; choose one with -w" : "");
		status = CTL_REFUSED;
		goto out;
	}
	status = conf_path(ctl, word, name, &path);
	if (status)
		goto out;
	status = conf_read(ctl, path.p, &reply, &write.match);
	if (status)
		goto out;
	write.has_match = true;
	document = zone_document(&reply);
	json_object_set_new(document, vocab_word_of_field(vocabulary, "state"),
			    json_string(state));
	/* JSON is YAML, too. */
	text = json_dumps(document, JSON_INDENT(1));
	status = text ? conf_write(&write, path.p, str_from(text)) : CTL_REFUSED;
out:
	free(text);
	json_decref(document);
	json_decref(vocabulary);
	http_reply_free(&reply);
	buf_free(&path);
	return status;
}

/* zone out|in */
int ctl_zone(struct ctl *ctl, int argc, char **argv)
{
	int status = ctl_need_team(ctl);

	if (status)
		return status;
	if (argc != 2 || (strcmp(argv[0], "out") != 0 && strcmp(argv[0], "in") != 0))
		return ctl_bad_usage("zone: out or in, and the zone's name");
	if (!ctl_name_valid(argv[1]))
		return ctl_bad_usage("not a zone's name");
	return zone_set(ctl, argv[1], argv[0]);
}
