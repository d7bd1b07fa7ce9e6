#ifndef IO_LOG_H
#define IO_LOG_H

#include <stdbool.h>

/* Lines for changes of state only; what happens often is a counter. */

int log_open(const char *process, bool debug);
void log_info(const char *event, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void log_warn(const char *event, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void log_error(const char *event, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void log_debug(const char *event, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void log_close(void);

#endif
