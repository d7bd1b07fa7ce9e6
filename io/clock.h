#ifndef IO_CLOCK_H
#define IO_CLOCK_H

#include <stdint.h>

int64_t clock_us(void);
double clock_s(void);
int64_t clock_wall_us(void);

#endif
