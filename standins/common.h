#ifndef STANDINS_COMMON_H
#define STANDINS_COMMON_H

#include <err.h>
#include <errno.h>
#include <fcntl.h>
#include <math.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/prng.h"
#include "base/str.h"

#define US_PER_S 1000000LL
#define US_PER_MS 1000LL
#define ANSWER_HEADER "Standin-Answer-Bytes" /* size of the filler a caller asks for */
#define MAX_ANSWER_BYTES (64U << 20)

/* Wall clock in microseconds, comparable between the processes of one machine. */
static inline int64_t wall_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return ts.tv_sec * US_PER_S + ts.tv_nsec / 1000;
}

/* Monotonic clock in microseconds. */
static inline int64_t mono_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * US_PER_S + ts.tv_nsec / 1000;
}

/* Parses a number within [min, max]; ends the program with usage status otherwise. */
static inline double number_arg(const char *text, double min, double max,
				const char *option)
{
	char *end;
	double v = strtod(text, &end);

	if (end == text || *end || !(v >= min && v <= max))
		errx(2, "--%s: %s is not a number from %g to %g", option, text, min, max);
	return v;
}

/* Byte i of the filler of an answer to a request with this body CRC. */
static inline char filler_byte(uint32_t crc, size_t i)
{
	return (char)('a' + (crc + i) % 26);
}

/* Opens an append-only ledger; -1 for NULL. Ends the program on failure. */
static inline int ledger_open(const char *path)
{
	int fd;

	if (!path)
		return -1;
	fd = open(path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
	if (fd < 0)
		err(1, "%s", path);
	return fd;
}

/* Appends one line with one write, so that lines of several processes stay whole. */
static inline void __attribute__((format(printf, 2, 3)))
ledger_line(int fd, const char *fmt, ...)
{
	char line[1024];
	va_list ap;
	int n;

	if (fd < 0)
		return;
	va_start(ap, fmt);
	n = vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	if (n < 0 || (size_t)n >= sizeof(line))
		errx(1, "ledger line of %d bytes is too long", n);
	if (write(fd, line, (size_t)n) != n)
		err(1, "ledger");
}

enum dist_kind { DIST_FIXED, DIST_UNIFORM, DIST_EXP, DIST_LOGNORMAL };

/* A distribution of non-negative numbers, in the unit of its user. */
struct dist {
	enum dist_kind kind;
	double a;
	double b;
};

/* Parses N, fixed:N, uniform:LOW:HIGH, exp:MEAN or lognormal:MEDIAN:SIGMA. */
static inline struct dist dist_arg(const char *text, const char *option)
{
	static const char *const names[] = {"fixed:", "uniform:", "exp:", "lognormal:"};
	struct dist d = {.kind = DIST_FIXED};
	const char *p = text;
	char *end;

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (strncmp(text, names[i], strlen(names[i])) == 0) {
			d.kind = (enum dist_kind)i;
			p = text + strlen(names[i]);
		}
	}
	d.a = strtod(p, &end);
	if (end == p || d.a < 0)
		errx(2, "--%s: %s is not a distribution", option, text);
	if (d.kind == DIST_UNIFORM || d.kind == DIST_LOGNORMAL) {
		p = end + 1;
		if (*end != ':')
			errx(2, "--%s: %s lacks its second number", option, text);
		d.b = strtod(p, &end);
		if (end == p || d.b < 0)
			errx(2, "--%s: %s is not a distribution", option, text);
	}
	if (*end)
		errx(2, "--%s: %s is not a distribution", option, text);
	return d;
}

static inline double dist_sample(const struct dist *d, struct prng *r)
{
	double u = 1.0 - prng_unit(r); /* in (0, 1] */

	switch (d->kind) {
	case DIST_UNIFORM:
		return d->a + (d->b - d->a) * (1.0 - u);
	case DIST_EXP:
		return -d->a * log(u);
	case DIST_LOGNORMAL:
		return d->a *
		       exp(d->b * sqrt(-2.0 * log(u)) * cos(2.0 * M_PI * prng_unit(r)));
	case DIST_FIXED:
		break;
	}
	return d->a;
}

#endif
