#include "io/http_body.h"

#include <stdlib.h>

#include "base/err.h"

#define FIRST_BYTES 4096U /* room for the first part of a body */

/* Whether a request can be refused by its head alone. */
int http_body_begin(const struct http_body_limits *l, struct http_body *b,
		    const char *content_length)
{
	*b = (struct http_body){0};
	b->is_declared =
		content_length && str_to_u64(str_from(content_length), &b->declared) == 0;
	if (!b->is_declared)
		return 0;
	if (b->declared > l->max_body)
		return CF_ETOOBIG;
	if (l->limits && !budget_has_room(&l->limits->bodies, 0, b->declared))
		return CF_EBUSY;
	return 0;
}

/* Room for at least n bytes: twice as much as before, but no more than can come. */
static size_t next_room(const struct http_body_limits *l, const struct http_body *b,
			size_t room, size_t n)
{
	size_t most = b->is_declared ? b->declared : l->max_body;
	size_t next = room ? 2 * room : FIRST_BYTES;

	if (next < n)
		next = n;
	return next > most && most >= n ? most : next;
}

/* Makes room and charges it; the terminating NUL of a buffer is not counted. */
static int grow(const struct http_body_limits *l, struct http_body *b, struct buf *to,
		size_t n)
{
	size_t room = next_room(l, b, to->cap ? to->cap - 1 : 0, n);
	char *p;

	if (l->limits) {
		if (!budget_take(&l->limits->bodies, b->charged, room - b->charged))
			return CF_EBUSY;
		b->charged = room;
	}
	p = realloc(to->p, room + 1);
	if (!p)
		return CF_ENOMEM;
	to->p = p;
	to->cap = room + 1;
	return 0;
}

int http_body_add(const struct http_body_limits *l, struct http_body *b, struct buf *to,
		  const char *data, size_t n)
{
	int err;

	if (n > l->max_body || to->n > l->max_body - n)
		return CF_ETOOBIG;
	if (to->n + n + 1 > to->cap) {
		err = grow(l, b, to, to->n + n);
		if (err)
			return err;
	}
	return buf_add(to, data, n);
}

void http_body_free(const struct http_body_limits *l, struct http_body *b, struct buf *to)
{
	if (l->limits)
		budget_give(&l->limits->bodies, b->charged);
	b->charged = 0;
	buf_free(to);
}
