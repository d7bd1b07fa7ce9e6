#ifndef REGRESS_LIB_FAKEHTTP_H
#define REGRESS_LIB_FAKEHTTP_H

#include <pthread.h>
#include <stdint.h>
#include <sys/types.h>

#include "base/str.h"

#define FAKE_MAX_ANSWERS 64

/* A canned answer of the fake control port. */
struct fake_answer {
	const char *method;
	const char *path;    /* without the query */
	unsigned int status; /* 0: the connection is closed without an answer */
	const char *body;
	const char *run;    /* Carawayfront-Run, may be NULL */
	unsigned int times; /* uses before the next answer of this call, 0: no limit */
};

/* Small HTTP server on 127.0.0.1 with canned answers and a log of requests. */
struct fake {
	struct MHD_Daemon *daemon;
	pthread_mutex_t lock;
	struct fake_answer answers[FAKE_MAX_ANSWERS];
	unsigned int used[FAKE_MAX_ANSWERS];
	size_t n;
	struct buf log; /* one line a request: method, URL, headers, body */
};

void fake_open(struct fake *f, uint16_t port);
void fake_say(struct fake *f, const char *method, const char *path, unsigned int status,
	      const char *body, const char *run, unsigned int times);
void fake_clear(struct fake *f);
unsigned int fake_count(struct fake *f, const char *text);
bool fake_wait(struct fake *f, const char *text, unsigned int n, int ms);
void fake_close(struct fake *f);

int tool_run(struct buf *out, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
pid_t tool_spawn(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
int tool_end(pid_t pid, int sig);
unsigned int file_count(const char *file, const char *text);
bool file_wait(const char *file, const char *text, unsigned int n, int ms);

#endif
