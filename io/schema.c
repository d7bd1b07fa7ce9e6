#include "io/schema.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "io/addr.h"

#define LIST_MAX_ITEMS 4096U

static int refuse(struct schema_error *error, const struct doc_node *node, int err,
		  const char *expected)
{
	error->err = err;
	error->line = node->line;
	error->expected = expected;
	return err;
}

static const char *type_expected(const struct schema_row *row)
{
	switch (row->type) {
	case SCHEMA_U64:
		return "a whole number within its range";
	case SCHEMA_BOOL:
		return "true or false";
	case SCHEMA_ADDRESS:
		return "an IP address and port such as 127.0.0.1:8001";
	case SCHEMA_CHOICE:
		return "one of the listed words";
	case SCHEMA_MAP:
		return "a map";
	case SCHEMA_LIST:
		return "a list of maps";
	case SCHEMA_STR:
		break;
	}
	return "a non-empty text";
}

static int read_bool(struct str s, bool *out)
{
	if (!str_eq(s, STR("true")) && !str_eq(s, STR("false")))
		return CF_EINVAL;
	*out = str_eq(s, STR("true"));
	return 0;
}

static int read_choice(const char *const *choices, struct str s, int *out)
{
	for (int i = 0; choices[i]; i++) {
		if (str_eq(s, str_from(choices[i]))) {
			*out = i;
			return 0;
		}
	}
	return CF_EINVAL;
}

static int read_str(struct str s, struct str *out)
{
	char *p;

	if (s.n == 0)
		return CF_EINVAL;
	p = str_dup(s);
	if (!p)
		return CF_ENOMEM;
	*out = (struct str){p, s.n};
	return 0;
}

static int read_u64(const struct schema_row *row, struct str s, uint64_t *out)
{
	if (str_to_u64(s, out) || *out < row->min || (row->max && *out > row->max))
		return CF_EINVAL;
	return 0;
}

static int read_list(const struct schema_row *row, const struct doc_node *node,
		     struct schema_list *list, struct schema_error *error)
{
	size_t n = 0;
	int err = 0;

	for (const struct doc_node *item = node->child; item; item = item->next)
		n++;
	if (n > LIST_MAX_ITEMS)
		return refuse(error, node, CF_ETOOBIG, "fewer list items");
	list->items = calloc(n ? n : 1, row->item_size);
	if (!list->items)
		return CF_ENOMEM;
	for (const struct doc_node *item = node->child; item && !err; item = item->next) {
		char *target = (char *)list->items + list->n * row->item_size;

		if (item->kind != DOC_MAP)
			return refuse(error, item, CF_EINVAL, "a map");
		list->n++;
		err = schema_read(row->rows, item, target, error);
	}
	return err;
}

static int read_value(const struct schema_row *row, const struct doc_node *node,
		      void *target, struct schema_error *error)
{
	enum doc_kind want = row->type == SCHEMA_MAP	? DOC_MAP
			     : row->type == SCHEMA_LIST ? DOC_LIST
							: DOC_SCALAR;
	int err = CF_EINVAL;

	if (node->kind != want)
		return refuse(error, node, CF_EINVAL, type_expected(row));
	switch (row->type) {
	case SCHEMA_STR:
		err = read_str(node->scalar, target);
		break;
	case SCHEMA_U64:
		err = read_u64(row, node->scalar, target);
		break;
	case SCHEMA_BOOL:
		err = read_bool(node->scalar, target);
		break;
	case SCHEMA_ADDRESS:
		err = addr_parse(node->scalar, target);
		break;
	case SCHEMA_CHOICE:
		err = read_choice(row->choices, node->scalar, target);
		break;
	case SCHEMA_MAP:
		return schema_read(row->rows, node, target, error);
	case SCHEMA_LIST:
		return read_list(row, node, target, error);
	}
	return err ? refuse(error, node, err, type_expected(row)) : 0;
}

static const struct schema_row *find_row(const struct schema_row *rows, struct str key)
{
	for (; rows->key; rows++)
		if (str_eq(key, str_from(rows->key)))
			return rows;
	return NULL;
}

/*
 * Fills a zeroed target from a map. Unknown keys and missing required keys are
 * errors. The caller releases the target with schema_free() in every case.
 */
int schema_read(const struct schema_row *rows, const struct doc_node *map, void *target,
		struct schema_error *error)
{
	size_t prefix = strlen(error->key);

	if (map->kind != DOC_MAP)
		return refuse(error, map, CF_EINVAL, "a map");
	for (const struct doc_node *n = map->child; n; n = n->next) {
		const struct schema_row *row = find_row(rows, n->key);
		int err;

		snprintf(error->key + prefix, sizeof(error->key) - prefix, "%s%.*s",
			 prefix ? "." : "", STR_ARG(n->key));
		if (!row)
			return refuse(error, n, CF_ENOENT, "a known key");
		err = read_value(row, n, (char *)target + row->offset, error);
		if (err)
			return err;
		error->key[prefix] = '\0';
	}
	for (const struct schema_row *row = rows; row->key; row++) {
		if (row->required && !doc_get(map, str_from(row->key))) {
			snprintf(error->key + prefix, sizeof(error->key) - prefix, "%s%s",
				 prefix ? "." : "", row->key);
			return refuse(error, map, CF_ENOENT, "this required key");
		}
	}
	return 0;
}

/* Releases what schema_read() put into a target; also after a failure. */
void schema_free(const struct schema_row *rows, void *target)
{
	for (; rows->key; rows++) {
		void *p = (char *)target + rows->offset;

		if (rows->type == SCHEMA_STR) {
			struct str *s = p;

			free((char *)(uintptr_t)s->p);
			*s = (struct str){NULL, 0};
		} else if (rows->type == SCHEMA_MAP) {
			schema_free(rows->rows, p);
		} else if (rows->type == SCHEMA_LIST) {
			struct schema_list *list = p;

			for (size_t i = 0; i < list->n; i++)
				schema_free(rows->rows,
					    (char *)list->items + i * rows->item_size);
			free(list->items);
			*list = (struct schema_list){NULL, 0};
		}
	}
}
