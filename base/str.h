#ifndef BASE_STR_H
#define BASE_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A string that is not owned and not NUL-terminated. */
struct str {
	const char *p;
	size_t n;
};

/* A growable buffer that owns its memory. A zeroed struct is an empty buffer. */
struct buf {
	char *p;
	size_t n;
	size_t cap;
};

#define STR(literal) ((struct str){(literal), sizeof(literal) - 1})
/* Arguments for "%.*s" of printf(3). */
#define STR_ARG(s) (int)(s).n, (s).p

struct str str_from(const char *cstr);
bool str_eq(struct str a, struct str b);
int str_cmp(struct str a, struct str b);
bool str_starts(struct str s, struct str prefix);
bool str_split(struct str s, char sep, struct str *head, struct str *tail);
int str_to_u64(struct str s, uint64_t *out);
char *str_dup(struct str s);

struct str buf_str(const struct buf *b);
int buf_add(struct buf *b, const void *p, size_t n);
int buf_adds(struct buf *b, const char *cstr);
int buf_addf(struct buf *b, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
int buf_set(struct buf *b, struct str s);
int buf_reserve(struct buf *b, size_t n);
void buf_free(struct buf *b);

#endif
