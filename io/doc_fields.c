#include "io/doc_fields.h"

#include <stdlib.h>

#include "base/err.h"
#include "io/doc.h"
#include "proto/codec.h"

struct collector {
	struct doc_visitor visitor;
	struct command_fields *fields;
	unsigned int line;
};

static int add_field(struct doc_visitor *v, struct str name, const struct doc_node *node)
{
	struct collector *c = (struct collector *)v;
	struct command_fields *f = c->fields;
	struct command_field *field;
	char *name_copy, *value_copy;

	c->line = node->line;
	if (f->list.list_len == CMD_MAX_FIELDS || name.n > CMD_MAX_PATH ||
	    node->scalar.n > CMD_MAX_VALUE)
		return CF_ETOOBIG;
	field = realloc(f->list.list_val, (f->list.list_len + 1) * sizeof(*field));
	if (!field)
		return CF_ENOMEM;
	f->list.list_val = field;
	field += f->list.list_len;
	name_copy = str_dup(name);
	value_copy = str_dup(node->scalar);
	if (!name_copy || !value_copy) {
		free(name_copy);
		free(value_copy);
		return CF_ENOMEM;
	}
	XDR_SET(*field, name, ((struct str){name_copy, name.n}));
	XDR_SET(*field, value, ((struct str){value_copy, node->scalar.n}));
	f->list.list_len++;
	return 0;
}

/*
 * Parses a document. On an error a description with the line is in problem; the
 * fields are released with doc_fields_free() either way.
 */
int doc_fields_read(struct str text, struct command_fields *out, struct buf *problem)
{
	struct collector c = {.visitor = {.scalar = add_field}, .fields = out};
	struct doc_error error;
	struct doc_node *root;
	int err;

	*out = (struct command_fields){0};
	err = doc_parse(text, &root, &error);
	if (err) {
		buf_addf(problem, "line %u: %s", error.line, error.reason);
		return err;
	}
	if (root->kind != DOC_MAP) {
		err = CF_EMALFORMED;
		buf_addf(problem, "line %u: expected a map", root->line);
	} else {
		err = doc_flatten(root, &c.visitor);
		if (err)
			buf_addf(problem, "line %u: %s", c.line, cf_strerror(err));
	}
	doc_free(root);
	return err;
}

void doc_fields_free(struct command_fields *fields)
{
	codec_free((xdrproc_t)xdr_command_fields, fields);
}
