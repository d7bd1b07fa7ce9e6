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
/*
 * Lines that end accepted work. Work ends once, so they are not limited; those that
 * standard output has no room for are kept and written in their order before later ones.
 */
void log_final(const char *event, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void log_final_warn(const char *event, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/* Writes the lines that were kept, without waiting. */
void log_flush(void);
void log_close(void);

#endif
