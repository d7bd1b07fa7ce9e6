#ifndef IO_DOC_H
#define IO_DOC_H

#include "base/str.h"

enum doc_kind { DOC_SCALAR, DOC_MAP, DOC_LIST };

/* A node of a parsed document. Children of a map carry a key. */
struct doc_node {
	enum doc_kind kind;
	unsigned int line; /* from 1 */
	struct str key;
	struct str scalar;
	struct doc_node *child;
	struct doc_node *next;
};

/* Why and where a text was refused. */
struct doc_error {
	int err;
	unsigned int line;
	const char *reason; /* static text */
};

#define DOC_MAX_DEPTH 16U
#define DOC_MAX_NODES 20000U
#define DOC_MAX_DIRECTIVES 16U
#define DOC_MAX_BYTES (1U << 20)

int doc_parse(struct str text, struct doc_node **out, struct doc_error *error);
void doc_free(struct doc_node *node);
const struct doc_node *doc_get(const struct doc_node *map, struct str key);

struct doc_visitor {
	/* Receives each scalar with its keys joined by dots; list items count from 0. */
	int (*scalar)(struct doc_visitor *v, struct str name,
		      const struct doc_node *node);
};

int doc_flatten(const struct doc_node *node, struct doc_visitor *v);

#endif
