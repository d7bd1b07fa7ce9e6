#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "carawayctl/conf.h"
#include "carawayctl/vocabulary.h"
#include "core/fields.h"
#include "core/vocab.h"

/*
 * Formats a zone document from the stored fields and a new state under the team's word
 * for the field. The text is JSON, which is valid YAML. Returns NULL without memory.
 */
static char *format_zone_document(struct str vocabulary, const char *stored,
				  const char *state)
{
	struct str word = vocabulary_word_for_field(vocabulary, CONF_STATE);
	struct buf packed = {0};
	struct buf problem = {0};
	json_t *document = json_object();
	struct fields_iter it;
	struct str name, value;
	enum conf_field field;
	char *text;

	if (stored &&
	    vocabulary_parse_document(str_from(stored), &packed, &problem) == 0) {
		fields_iter_init(buf_str(&packed), &it);
		while (fields_iter_next(&it, &name, &value))
			if (!vocab_field(vocabulary, name, &field) || field != CONF_STATE)
				json_object_setn_new(document, name.p, name.n,
						     json_stringn(value.p, value.n));
	}
	json_object_setn_new(document, word.p, word.n, json_string(state));
	text = json_dumps(document, JSON_INDENT(1));
	json_decref(document);
	buf_free(&problem);
	buf_free(&packed);
	return text;
}

/*
 * Sets the state in the team's zone document. The write expects the revision that was
 * fetched, so that a change by another operator in between ends in a conflict.
 */
static int set_zone_state(const struct ctl *ctl, const char *name, const char *state)
{
	struct ctl write = *ctl;
	struct http_reply reply = {0};
	struct buf path = {0};
	struct buf vocabulary = {0};
	struct str word;
	char *copy = NULL;
	char *text = NULL;
	size_t n = 1;
	int status = conf_fetch_vocabulary(ctl, &vocabulary);

	if (status)
		goto out;
	word = ctl->word ? str_from(ctl->word)
			 : vocabulary_word_for_kind(buf_str(&vocabulary), CONF_KIND_ZONE,
						    &n);
	if (n != 1) {
		warnx("the vocabulary has %zu words for zones%s", n,
		      n ? "; choose one with -w" : "");
		status = CTL_REFUSED;
		goto out;
	}
	copy = str_dup(word);
	status = copy ? conf_format_path(ctl, copy, name, &path) : CTL_REFUSED;
	if (status)
		goto out;
	status = conf_fetch_document(ctl, path.p, &reply, &write.match);
	if (status)
		goto out;
	write.has_match = true;
	text = format_zone_document(buf_str(&vocabulary), conf_document_text(reply.json),
				    state);
	status = text ? conf_put_document(&write, path.p, str_from(text)) : CTL_REFUSED;
out:
	free(text);
	free(copy);
	http_reply_free(&reply);
	buf_free(&vocabulary);
	buf_free(&path);
	return status;
}

/* zone out|in */
int ctl_zone(struct ctl *ctl, int argc, char **argv)
{
	int status = ctl_require_team(ctl);

	if (status)
		return status;
	if (argc != 2 || (strcmp(argv[0], "out") != 0 && strcmp(argv[0], "in") != 0))
		return ctl_usage_error("zone: expected out or in, and a zone name");
	if (!ctl_is_valid_name(argv[1]))
		return ctl_usage_error("invalid zone name");
	return set_zone_state(ctl, argv[1], argv[0]);
}
