#ifndef IO_BUDGET_H
#define IO_BUDGET_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Bytes that many holders share. A part is reserved for small holders, so that a few
 * large ones do not keep all others out. A zeroed struct has no limit.
 */
struct budget {
	size_t limit;	 /* bytes, 0: none */
	size_t reserved; /* of them for small holders */
	size_t small;	 /* largest size of a small holder */
	size_t used;
	size_t peak; /* largest use; the owner may lower it to the present use */
};

bool budget_has_room(const struct budget *b, size_t held, size_t n);
bool budget_take(struct budget *b, size_t held, size_t n);
void budget_give(struct budget *b, size_t n);

#endif
