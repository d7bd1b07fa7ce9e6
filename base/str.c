#include "base/str.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"

/* Returns the empty string for NULL. The result points to cstr. */
struct str str_from(const char *cstr)
{
	return (struct str){cstr, cstr ? strlen(cstr) : 0};
}

bool str_eq(struct str a, struct str b)
{
	return a.n == b.n && (a.n == 0 || memcmp(a.p, b.p, a.n) == 0);
}

/* Compares bytes as unsigned values; a prefix sorts before the longer string. */
int str_cmp(struct str a, struct str b)
{
	size_t n = a.n < b.n ? a.n : b.n;
	int c = n ? memcmp(a.p, b.p, n) : 0;

	if (c)
		return c;
	return (a.n > b.n) - (a.n < b.n);
}

bool str_starts(struct str s, struct str prefix)
{
	return s.n >= prefix.n && (prefix.n == 0 || memcmp(s.p, prefix.p, prefix.n) == 0);
}

/*
 * Splits at the first separator. Returns false, with all of s in *head and an
 * empty *tail, when there is none. head and tail may point to s itself.
 */
bool str_split(struct str s, char sep, struct str *head, struct str *tail)
{
	const char *q = s.n ? memchr(s.p, sep, s.n) : NULL;

	if (!q) {
		*head = s;
		*tail = (struct str){NULL, 0};
		return false;
	}
	*head = (struct str){s.p, (size_t)(q - s.p)};
	*tail = (struct str){q + 1, s.n - head->n - 1};
	return true;
}

/* Parses an unsigned decimal number. CF_EINVAL: other characters or overflow. */
int str_to_u64(struct str s, uint64_t *out)
{
	uint64_t v = 0;

	if (s.n == 0 || s.n > 20)
		return CF_EINVAL;
	for (size_t i = 0; i < s.n; i++) {
		if (s.p[i] < '0' || s.p[i] > '9')
			return CF_EINVAL;
		if (__builtin_mul_overflow(v, 10, &v) ||
		    __builtin_add_overflow(v, (uint64_t)(s.p[i] - '0'), &v))
			return CF_EINVAL;
	}
	*out = v;
	return 0;
}

/* Returns a NUL-terminated copy, which the caller frees; NULL when out of memory. */
char *str_dup(struct str s)
{
	char *p = malloc(s.n + 1);

	if (!p)
		return NULL;
	if (s.n)
		memcpy(p, s.p, s.n);
	p[s.n] = '\0';
	return p;
}

struct str buf_str(const struct buf *b)
{
	return (struct str){b->p, b->n};
}

/* Ensures capacity for n more bytes and a terminating NUL. */
int buf_reserve(struct buf *b, size_t n)
{
	size_t cap = b->cap ? b->cap : 64;
	char *p;

	if (b->n + n + 1 <= b->cap)
		return 0;
	while (cap < b->n + n + 1)
		cap *= 2;
	p = realloc(b->p, cap);
	if (!p)
		return CF_ENOMEM;
	b->p = p;
	b->cap = cap;
	return 0;
}

/* Appends n bytes and terminates the buffer with a NUL. */
int buf_add(struct buf *b, const void *p, size_t n)
{
	int err = buf_reserve(b, n);

	if (err)
		return err;
	if (n)
		memcpy(b->p + b->n, p, n);
	b->n += n;
	b->p[b->n] = '\0';
	return 0;
}

int buf_adds(struct buf *b, const char *cstr)
{
	return buf_add(b, cstr, strlen(cstr));
}

int buf_addf(struct buf *b, const char *fmt, ...)
{
	va_list ap;
	int n;
	int err;

	va_start(ap, fmt);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (n < 0)
		return CF_EINVAL;
	err = buf_reserve(b, (size_t)n);
	if (err)
		return err;
	va_start(ap, fmt);
	vsnprintf(b->p + b->n, (size_t)n + 1, fmt, ap);
	va_end(ap);
	b->n += (size_t)n;
	return 0;
}

/* Replaces the content. s must not point into b. */
int buf_set(struct buf *b, struct str s)
{
	b->n = 0;
	return buf_add(b, s.p, s.n);
}

void buf_free(struct buf *b)
{
	free(b->p);
	*b = (struct buf){0};
}
