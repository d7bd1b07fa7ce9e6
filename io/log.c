#include "io/log.h"

#include <ctype.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <log4c.h>

#include "base/err.h"

#define LINE_MAX_BYTES 2048
#define LINES_PER_S 400U	       /* further lines of a second are counted only */
#define PENDING_MAX_BYTES (256 * 1024) /* final lines that wait for room */

static log4c_category_t *category;
static const char *process_name = "";
static time_t second;	      /* of the newest line */
static unsigned int lines;    /* in that second */
static unsigned long dropped; /* since the last line that told it */
static unsigned long dropped_final;
static bool is_final; /* the line that is written tells the end of accepted work */
static char pending[PENDING_MAX_BYTES];
static size_t n_pending;

/* One line: time, level, process, event and key=value pairs. */
static const char *format_line(const log4c_layout_t *layout,
			       const log4c_logging_event_t *event)
{
	static char line[LINE_MAX_BYTES];
	struct tm tm;
	time_t sec = event->evt_timestamp.tv_sec;
	int n;

	gmtime_r(&sec, &tm);
	n = snprintf(line, sizeof(line),
		     "time=%04d-%02d-%02dT%02d:%02d:%02d.%03ldZ level=%s process=%s %s\n",
		     tm.tm_year + 1900, tm.tm_mon + 1, tm.tm_mday, tm.tm_hour, tm.tm_min,
		     tm.tm_sec, (long)event->evt_timestamp.tv_usec / 1000,
		     log4c_priority_to_string(event->evt_priority), process_name,
		     event->evt_msg);
	if (n >= (int)sizeof(line))
		line[sizeof(line) - 2] = '\n';
	return line;
}

static const log4c_layout_type_t key_value_layout = {
	.name = "key-value",
	.format = format_line,
};

static bool has_room(void)
{
	struct pollfd p = {.fd = STDOUT_FILENO, .events = POLLOUT};

	return poll(&p, 1, 0) == 1 && (p.revents & POLLOUT);
}

/* Writes a line unless the reader is behind; a full pipe must not stop the process. */
static bool write_out(const char *line, size_t n)
{
	return has_room() && write(STDOUT_FILENO, line, n) == (ssize_t)n;
}

/*
 * Writes the final lines that wait, as far as there is room. One line a write(2): a pipe
 * with room takes PIPE_BUF bytes, and more may block.
 */
void log_flush(void)
{
	size_t done = 0;

	while (done < n_pending && has_room()) {
		const char *from = pending + done;
		const char *end = memchr(from, '\n', n_pending - done);
		size_t n = end ? (size_t)(end - from) + 1 : n_pending - done;
		ssize_t written = write(STDOUT_FILENO, from, n);

		if (written <= 0)
			break;
		done += (size_t)written;
	}
	if (!done)
		return;
	n_pending -= done;
	memmove(pending, pending + done, n_pending);
}

/* Writes a final line, or keeps it until there is room. */
static void write_final(const char *line, size_t n)
{
	if (n > sizeof(pending) - n_pending) {
		dropped_final++;
		return;
	}
	memcpy(pending + n_pending, line, n);
	n_pending += n;
	log_flush();
}

/* Tells how many lines were dropped, once there is room again. */
static void tell_dropped(void)
{
	char line[128];
	int n;

	if (n_pending || (!dropped && !dropped_final))
		return;
	n = snprintf(line, sizeof(line),
		     "level=WARN process=%s event=log-dropped lines=%lu final=%lu\n",
		     process_name, dropped, dropped_final);
	if (!write_out(line, (size_t)n))
		return;
	dropped = 0;
	dropped_final = 0;
}

static int append(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	time_t now = event->evt_timestamp.tv_sec;
	const char *line = event->evt_rendered_msg;
	size_t n = strlen(line);

	log_flush();
	if (now != second) {
		second = now;
		lines = 0;
		tell_dropped();
	}
	lines++;
	if (is_final)
		write_final(line, n);
	else if (lines > LINES_PER_S || n_pending || !write_out(line, n))
		dropped++;
	return 0;
}

static const log4c_appender_type_t bounded_appender = {
	.name = "bounded",
	.append = append,
};

/* Logs to standard output. process must stay valid. CF_EIO when log4c fails. */
int log_open(const char *process, bool debug)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	process_name = process;
	if (log4c_init())
		return CF_EIO;
	category = log4c_category_get("carawayfront");
	log4c_appender_type_set(&bounded_appender);
	appender = log4c_appender_get("carawayfront");
	log4c_layout_type_set(&key_value_layout);
	layout = log4c_layout_get("carawayfront");
	if (!category || !appender || !layout)
		return CF_EIO;
	log4c_layout_set_type(layout, &key_value_layout);
	log4c_appender_set_type(appender, &bounded_appender);
	log4c_appender_set_layout(appender, layout);
	log4c_category_set_appender(category, appender);
	log4c_category_set_additivity(category, 0);
	log4c_category_set_priority(category,
				    debug ? LOG4C_PRIORITY_DEBUG : LOG4C_PRIORITY_INFO);
	return 0;
}

static void write_line(int priority, const char *event, const char *fmt, va_list ap)
{
	char text[LINE_MAX_BYTES];

	if (!category || !log4c_category_is_priority_enabled(category, priority))
		return;
	vsnprintf(text, sizeof(text), fmt, ap);
	/* A name that came from outside must not begin a line of its own. */
	for (char *p = text; *p; p++)
		if (iscntrl((unsigned char)*p))
			*p = '?';
	log4c_category_log(category, priority, "event=%s %s", event, text);
}

#define LOG_AT(priority)                              \
	do {                                          \
		va_list ap;                           \
                                                      \
		va_start(ap, fmt);                    \
		write_line(priority, event, fmt, ap); \
		va_end(ap);                           \
	} while (0)

void log_info(const char *event, const char *fmt, ...)
{
	LOG_AT(LOG4C_PRIORITY_INFO);
}

void log_warn(const char *event, const char *fmt, ...)
{
	LOG_AT(LOG4C_PRIORITY_WARN);
}

void log_error(const char *event, const char *fmt, ...)
{
	LOG_AT(LOG4C_PRIORITY_ERROR);
}

void log_debug(const char *event, const char *fmt, ...)
{
	LOG_AT(LOG4C_PRIORITY_DEBUG);
}

/* Tells the end of accepted work: not limited, and kept while there is no room. */
void log_final(const char *event, const char *fmt, ...)
{
	is_final = true;
	LOG_AT(LOG4C_PRIORITY_INFO);
	is_final = false;
}

/* As log_final(), of work that is given up. */
void log_final_warn(const char *event, const char *fmt, ...)
{
	is_final = true;
	LOG_AT(LOG4C_PRIORITY_WARN);
	is_final = false;
}

void log_close(void)
{
	log_flush();
	if (category)
		log4c_fini();
	category = NULL;
}
