#include "io/doc.h"

#include <stdlib.h>
#include <string.h>

#include <yaml.h>

#include "base/err.h"
#include "io/doc_keys.h"

struct reader {
	yaml_parser_t parser;
	unsigned int nodes;
	struct doc_error *error;
};

static int refuse(struct reader *r, int err, size_t line, const char *reason)
{
	r->error->err = err;
	r->error->line = (unsigned int)line + 1;
	r->error->reason = reason;
	return err;
}

static int next_event(struct reader *r, yaml_event_t *event)
{
	if (yaml_parser_parse(&r->parser, event))
		return 0;
	return refuse(r, CF_EMALFORMED, r->parser.problem_mark.line, "not valid YAML");
}

static int copy(struct str s, struct str *out)
{
	char *p = str_dup(s);

	if (!p)
		return CF_ENOMEM;
	*out = (struct str){p, s.n};
	return 0;
}

static int read_node(struct reader *r, yaml_event_t *event, unsigned int depth,
		     struct doc_node **out);

/* Copies the key of a map's entry, and goes on to the event of its value. */
static int read_key(struct reader *r, yaml_event_t *event, struct doc_keys **keys,
		    struct str *key)
{
	size_t line = event->start_mark.line;
	int err;

	if (event->type != YAML_SCALAR_EVENT)
		return refuse(r, CF_EMALFORMED, line, "key is not a scalar");
	err = copy(
		(struct str){(char *)event->data.scalar.value, event->data.scalar.length},
		key);
	if (!err)
		err = doc_keys_add(keys, *key);
	if (err)
		return err == CF_EEXIST ? refuse(r, err, line, "duplicate key") : err;
	yaml_event_delete(event);
	return next_event(r, event);
}

/* Reads the children of a map or list up to its end event. */
static int read_children(struct reader *r, struct doc_node *parent, unsigned int depth)
{
	struct doc_node **tail = &parent->child;
	struct doc_keys *keys = NULL;
	yaml_event_t event = {0};
	int err;

	for (;;) {
		struct str key = {NULL, 0};

		err = next_event(r, &event);
		if (err || event.type == YAML_MAPPING_END_EVENT ||
		    event.type == YAML_SEQUENCE_END_EVENT)
			break;
		if (parent->kind == DOC_MAP)
			err = read_key(r, &event, &keys, &key);
		if (!err)
			err = read_node(r, &event, depth + 1, tail);
		if (*tail) {
			(*tail)->key = key;
			tail = &(*tail)->next;
		} else {
			free((char *)(uintptr_t)key.p);
		}
		if (err)
			break;
		yaml_event_delete(&event);
	}
	yaml_event_delete(&event);
	doc_keys_free(&keys);
	return err;
}

/* Builds the node that begins with an event. *out is set also on failure. */
static int read_node(struct reader *r, yaml_event_t *event, unsigned int depth,
		     struct doc_node **out)
{
	struct doc_node *n;

	if (depth > DOC_MAX_DEPTH || ++r->nodes > DOC_MAX_NODES)
		return refuse(r, CF_ETOOBIG, event->start_mark.line,
			      "too deep or too many values");
	n = calloc(1, sizeof(*n));
	if (!n)
		return CF_ENOMEM;
	*out = n;
	n->line = (unsigned int)event->start_mark.line + 1;
	switch (event->type) {
	case YAML_SCALAR_EVENT:
		n->kind = DOC_SCALAR;
		return copy((struct str){(char *)event->data.scalar.value,
					 event->data.scalar.length},
			    &n->scalar);
	case YAML_MAPPING_START_EVENT:
		n->kind = DOC_MAP;
		return read_children(r, n, depth);
	case YAML_SEQUENCE_START_EVENT:
		n->kind = DOC_LIST;
		return read_children(r, n, depth);
	default:
		/* An alias could expand a small text without bound. */
		return refuse(r, CF_EINVAL, event->start_mark.line,
			      "aliases are not supported");
	}
}

/* Directives that libyaml compares each with each. Lines may end in several ways. */
static unsigned int count_directives(struct str text)
{
	static const char directive[] = "%TAG";
	const size_t n = sizeof(directive) - 1;
	unsigned int count = 0;
	const char *at;

	while (text.n && (at = memmem(text.p, text.n, directive, n))) {
		text.n -= (size_t)(at - text.p) + n;
		text.p = at + n;
		count++;
	}
	return count;
}

/*
 * Parses one document of at most DOC_MAX_BYTES. On an error, *error tells the line
 * and *out is NULL.
 */
int doc_parse(struct str text, struct doc_node **out, struct doc_error *error)
{
	struct reader r = {.error = error};
	yaml_event_t event = {0};
	int err = 0;

	*out = NULL;
	*error = (struct doc_error){.err = CF_ENOMEM, .reason = "out of memory"};
	if (text.n > DOC_MAX_BYTES)
		return refuse(&r, CF_ETOOBIG, 0, "document too large");
	if (count_directives(text) > DOC_MAX_DIRECTIVES)
		return refuse(&r, CF_ETOOBIG, 0, "too many %TAG directives");
	if (!yaml_parser_initialize(&r.parser))
		return CF_ENOMEM;
	yaml_parser_set_encoding(&r.parser, YAML_UTF8_ENCODING);
	yaml_parser_set_input_string(
		&r.parser, (const unsigned char *)(text.n ? text.p : ""), text.n);
	for (;;) {
		err = next_event(&r, &event);
		if (err)
			goto out;
		if (event.type == YAML_STREAM_END_EVENT) {
			if (!*out)
				err = refuse(&r, CF_EMALFORMED, 0, "document is empty");
			goto out;
		}
		if (event.type != YAML_STREAM_START_EVENT &&
		    event.type != YAML_DOCUMENT_START_EVENT &&
		    event.type != YAML_DOCUMENT_END_EVENT) {
			if (*out)
				err = refuse(&r, CF_EMALFORMED, event.start_mark.line,
					     "more than one document");
			else
				err = read_node(&r, &event, 0, out);
			if (err)
				goto out;
		}
		yaml_event_delete(&event);
	}
out:
	yaml_event_delete(&event);
	yaml_parser_delete(&r.parser);
	if (err) {
		doc_free(*out);
		*out = NULL;
	}
	return err;
}

void doc_free(struct doc_node *node)
{
	while (node) {
		struct doc_node *next = node->next;

		doc_free(node->child);
		free((char *)(uintptr_t)node->key.p);
		free((char *)(uintptr_t)node->scalar.p);
		free(node);
		node = next;
	}
}

/* Returns the child with a key, NULL when there is none. */
const struct doc_node *doc_get(const struct doc_node *map, struct str key)
{
	if (!map || map->kind != DOC_MAP)
		return NULL;
	for (const struct doc_node *n = map->child; n; n = n->next)
		if (str_eq(n->key, key))
			return n;
	return NULL;
}

static int flatten(const struct doc_node *node, struct buf *name, struct doc_visitor *v)
{
	size_t prefix = name->n;
	unsigned int i = 0;
	int err = 0;

	if (node->kind == DOC_SCALAR)
		return v->scalar(v, buf_str(name), node);
	for (const struct doc_node *n = node->child; n && !err; n = n->next) {
		if (prefix)
			err = buf_adds(name, ".");
		if (!err && node->kind == DOC_MAP)
			err = buf_add(name, n->key.p, n->key.n);
		else if (!err)
			err = buf_addf(name, "%u", i++);
		if (!err)
			err = flatten(n, name, v);
		name->n = prefix;
	}
	return err;
}

/* Visits every scalar in order and stops at the first error of the visitor. */
int doc_flatten(const struct doc_node *node, struct doc_visitor *v)
{
	struct buf name = {0};
	int err = flatten(node, &name, v);

	buf_free(&name);
	return err;
}
