#include "core/fields.h"

#include <stdlib.h>

#include "base/err.h"
#include "proto/codec.h"

#define XDR_UNIT 4

static int compare_names(const void *a, const void *b)
{
	const struct command_field *x = a;
	const struct command_field *y = b;

	return str_cmp(XDR_STR(*x, name), XDR_STR(*y, name));
}

/*
 * Sorts the fields in place and appends their packed form. CF_EINVAL for an empty or
 * repeated name.
 */
int fields_pack(struct command_fields *fields, struct buf *out)
{
	struct command_field *list = fields->list.list_val;
	u_int n = fields->list.list_len;

	if (n)
		qsort(list, n, sizeof(*list), compare_names);
	for (u_int i = 0; i < n; i++) {
		if (list[i].name.name_len == 0)
			return CF_EINVAL;
		if (i && compare_names(&list[i - 1], &list[i]) == 0)
			return CF_EINVAL;
	}
	return codec_encode((xdrproc_t)xdr_command_fields, fields, out);
}

static bool read_u32(struct str *rest, uint32_t *out)
{
	const unsigned char *p = (const unsigned char *)rest->p;

	if (rest->n < XDR_UNIT)
		return false;
	*out = (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 | (uint32_t)p[2] << 8 | p[3];
	rest->p += XDR_UNIT;
	rest->n -= XDR_UNIT;
	return true;
}

static bool read_bytes(struct str *rest, struct str *out)
{
	uint32_t n;
	size_t padded;

	if (!read_u32(rest, &n))
		return false;
	padded = ((size_t)n + XDR_UNIT - 1) / XDR_UNIT * XDR_UNIT;
	if (padded > rest->n)
		return false;
	*out = (struct str){rest->p, n};
	rest->p += padded;
	rest->n -= padded;
	return true;
}

/* Validates packed fields from another process. CF_EMALFORMED if invalid. */
int fields_check(struct str packed)
{
	struct fields_iter it;
	struct str last = {NULL, 0};
	struct str name, value;

	if (packed.n == 0)
		return 0;
	fields_iter_init(packed, &it);
	if (packed.n < XDR_UNIT || it.left > CMD_MAX_FIELDS)
		return CF_EMALFORMED;
	while (fields_iter_next(&it, &name, &value)) {
		if (name.n == 0 || name.n > CMD_MAX_PATH || value.n > CMD_MAX_VALUE ||
		    str_cmp(last, name) >= 0)
			return CF_EMALFORMED;
		last = name;
	}
	return it.left || it.rest.n ? CF_EMALFORMED : 0;
}

/* Starts an iteration over the fields in name order. */
void fields_iter_init(struct str packed, struct fields_iter *it)
{
	it->rest = packed;
	if (!read_u32(&it->rest, &it->left))
		it->left = 0;
}

/* Returns false at the end. */
bool fields_iter_next(struct fields_iter *it, struct str *name, struct str *value)
{
	if (!it->left || !read_bytes(&it->rest, name) || !read_bytes(&it->rest, value))
		return false;
	it->left--;
	return true;
}

/* Finds the value of one name. */
bool fields_find(struct str packed, struct str name, struct str *value)
{
	struct fields_iter it;
	struct str found;

	fields_iter_init(packed, &it);
	while (fields_iter_next(&it, &found, value)) {
		if (str_eq(found, name))
			return true;
	}
	return false;
}
