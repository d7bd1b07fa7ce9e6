#include "carawayctl/document.h"

#include <err.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <yaml.h>

#include "base/err.h"
#include "proto/command.h"

#define MAX_DEPTH 16

struct reader {
	yaml_parser_t parser;
	struct document_error *error;
	size_t scalars;
};

static int fail(struct reader *r, const yaml_event_t *e, const char *text)
{
	r->error->line = e ? (unsigned int)e->start_mark.line + 1 : 0;
	snprintf(r->error->text, sizeof(r->error->text), "%s", text);
	return CF_EMALFORMED;
}

static int next_event(struct reader *r, yaml_event_t *e)
{
	if (yaml_parser_parse(&r->parser, e))
		return 0;
	r->error->line = (unsigned int)r->parser.problem_mark.line + 1;
	snprintf(r->error->text, sizeof(r->error->text), "%s",
		 r->parser.problem ? r->parser.problem : "not YAML");
	memset(e, 0, sizeof(*e));
	return CF_EMALFORMED;
}

/* Converts a plain scalar to a number, boolean or null, everything else to text. */
static json_t *scalar(const yaml_event_t *e)
{
	const char *p = (const char *)e->data.scalar.value;
	size_t n = e->data.scalar.length;
	char *end;

	if (e->data.scalar.style == YAML_PLAIN_SCALAR_STYLE && n) {
		json_int_t i;
		double d;

		if (strcmp(p, "true") == 0 || strcmp(p, "false") == 0)
			return json_boolean(p[0] == 't');
		if (strcmp(p, "null") == 0 || strcmp(p, "~") == 0)
			return json_null();
		errno = 0;
		i = strtoll(p, &end, 10);
		if (*end == '\0' && errno == 0)
			return json_integer(i);
		if (strspn(p, "+-.0123456789eE") == n) {
			d = strtod(p, &end);
			if (*end == '\0')
				return json_real(d);
		}
	}
	return json_stringn(p, n);
}

static int value(struct reader *r, yaml_event_t *e, unsigned int depth, json_t **out);

static int mapping(struct reader *r, unsigned int depth, json_t *object)
{
	for (;;) {
		yaml_event_t key, e;
		json_t *v = NULL;
		int err_no = next_event(r, &key);

		if (err_no)
			return err_no;
		if (key.type == YAML_MAPPING_END_EVENT) {
			yaml_event_delete(&key);
			return 0;
		}
		if (key.type != YAML_SCALAR_EVENT)
			err_no = fail(r, &key, "a key must be a word");
		else if (json_object_get(object, (const char *)key.data.scalar.value))
			err_no = fail(r, &key, "a key is given twice");
		else if (key.data.scalar.length == 0 ||
			 key.data.scalar.length > CMD_MAX_PATH)
			err_no = fail(r, &key, "a key is empty or too long");
		if (!err_no)
			err_no = next_event(r, &e);
		if (!err_no) {
			err_no = value(r, &e, depth, &v);
			yaml_event_delete(&e);
		}
		if (!err_no &&
		    json_object_set_new(object, (const char *)key.data.scalar.value, v))
			err_no = fail(r, &key, "a key is not UTF-8");
		yaml_event_delete(&key);
		if (err_no)
			return err_no;
	}
}

static int sequence(struct reader *r, unsigned int depth, json_t *array)
{
	for (;;) {
		yaml_event_t e;
		json_t *v = NULL;
		int err_no = next_event(r, &e);

		if (err_no)
			return err_no;
		if (e.type == YAML_SEQUENCE_END_EVENT) {
			yaml_event_delete(&e);
			return 0;
		}
		err_no = value(r, &e, depth, &v);
		yaml_event_delete(&e);
		if (err_no)
			return err_no;
		if (json_array_append_new(array, v))
			return CF_ENOMEM;
	}
}

/* Reads the value that begins with e. */
static int value(struct reader *r, yaml_event_t *e, unsigned int depth, json_t **out)
{
	int err_no;

	*out = NULL;
	if (depth > MAX_DEPTH)
		return fail(r, e, "nested too deeply");
	switch (e->type) {
	case YAML_SCALAR_EVENT:
		if (++r->scalars > CMD_MAX_FIELDS)
			return fail(r, e, "too many fields");
		if (e->data.scalar.length > CMD_MAX_VALUE)
			return fail(r, e, "a value is too long");
		*out = scalar(e);
		return *out ? 0 : fail(r, e, "a value is not UTF-8");
	case YAML_MAPPING_START_EVENT:
		*out = json_object();
		err_no = mapping(r, depth + 1, *out);
		break;
	case YAML_SEQUENCE_START_EVENT:
		*out = json_array();
		err_no = sequence(r, depth + 1, *out);
		break;
	case YAML_ALIAS_EVENT:
		return fail(r, e, "aliases are not allowed");
	default:
		return fail(r, e, "a value is missing");
	}
	if (err_no) {
		json_decref(*out);
		*out = NULL;
	}
	return err_no;
}

/*
 * Parses one YAML document, a mapping at its top, into JSON. CF_EMALFORMED or
 * CF_ETOOBIG with a reason in *error.
 */
int document_parse(struct str text, json_t **out, struct document_error *error)
{
	struct reader r = {.error = error};
	yaml_event_t e;
	json_t *root = NULL;
	int err_no;

	*out = NULL;
	*error = (struct document_error){0};
	if (text.n > CMD_MAX_TEXT) {
		fail(&r, NULL, "the document is too large");
		return CF_ETOOBIG;
	}
	if (!yaml_parser_initialize(&r.parser))
		return CF_ENOMEM;
	yaml_parser_set_input_string(
		&r.parser, (const unsigned char *)(text.n ? text.p : ""), text.n);
	for (;;) {
		bool start;

		err_no = next_event(&r, &e);
		if (err_no)
			goto out;
		start = e.type == YAML_STREAM_START_EVENT ||
			e.type == YAML_DOCUMENT_START_EVENT;
		if (!start)
			break;
		yaml_event_delete(&e);
	}
	if (e.type != YAML_MAPPING_START_EVENT)
		err_no = fail(&r, &e, "the document is not a mapping");
	else
		err_no = value(&r, &e, 0, &root);
	yaml_event_delete(&e);
	while (!err_no) {
		yaml_event_type_t type;

		err_no = next_event(&r, &e);
		if (err_no)
			break;
		type = e.type;
		if (type == YAML_DOCUMENT_START_EVENT)
			err_no = fail(&r, &e, "more than one document");
		yaml_event_delete(&e);
		if (type == YAML_STREAM_END_EVENT)
			break;
	}
out:
	yaml_parser_delete(&r.parser);
	if (err_no)
		json_decref(root);
	else
		*out = root;
	return err_no;
}

/* Reads a file, "-" for standard input. CF_EIO, CF_ETOOBIG above the size limit. */
int document_read(const char *file, struct buf *out)
{
	FILE *f = strcmp(file, "-") == 0 ? stdin : fopen(file, "re");
	char tmp[8192];
	size_t n;
	int e = 0;

	if (!f)
		return CF_EIO;
	while (!e && (n = fread(tmp, 1, sizeof(tmp), f)) > 0) {
		e = buf_add(out, tmp, n);
		if (out->n > CMD_MAX_TEXT)
			e = CF_ETOOBIG;
	}
	if (ferror(f))
		e = CF_EIO;
	if (f != stdin)
		fclose(f);
	return e;
}
