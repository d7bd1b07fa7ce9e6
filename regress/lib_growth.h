#ifndef REGRESS_LIB_GROWTH_H
#define REGRESS_LIB_GROWTH_H

#include <stddef.h>

/* Between growth by 4, which is linear, and by 16, which is with the square. */
#define GROWTH_MAX 8.0

/* How the processor time of work() grows from n to 4 n; work() gets n each time. */
double growth_of(void (*work)(void *arg, size_t n), void *arg, size_t n);

#endif
