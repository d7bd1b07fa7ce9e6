#include "regress/lib_fakehttp.h"

#include <microhttpd.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define STEP_MS 5
#define MAX_COMMAND 2048

struct fake_request {
	struct buf body;
};

static unsigned int count_in(const char *p, const char *text)
{
	unsigned int n = 0;

	for (; p && (p = strstr(p, text)); p += strlen(text))
		n++;
	return n;
}

static void log_header(struct fake *f, struct MHD_Connection *c, const char *name)
{
	const char *v = MHD_lookup_connection_value(c, MHD_HEADER_KIND, name);

	if (v)
		buf_addf(&f->log, " %s=%s", name, v);
}

static enum MHD_Result log_query(void *cls, enum MHD_ValueKind kind, const char *key,
				 const char *value)
{
	buf_addf(cls, " ?%s=%s", key, value ? value : "");
	return MHD_YES;
}

/* Picks the first answer of this call that is not used up; called with the lock held. */
static const struct fake_answer *pick(struct fake *f, const char *method, const char *url)
{
	for (size_t i = 0; i < f->n; i++) {
		struct fake_answer *a = &f->answers[i];

		if (strcmp(a->method, method) != 0 || strcmp(a->path, url) != 0 ||
		    (a->times && f->used[i] >= a->times))
			continue;
		f->used[i]++;
		return a;
	}
	return NULL;
}

static enum MHD_Result handle(void *cls, struct MHD_Connection *c, const char *url,
			      const char *method, const char *version, const char *data,
			      size_t *n, void **state)
{
	struct fake *f = cls;
	struct fake_request *r = *state;
	const struct fake_answer *a;
	struct fake_answer none = {.status = 404,
				   .body = "{\"error\":\"no such thing\"}"};
	struct MHD_Response *resp;
	enum MHD_Result ret;

	if (!r) {
		*state = calloc(1, sizeof(*r));
		return *state ? MHD_YES : MHD_NO;
	}
	if (*n) {
		buf_add(&r->body, data, *n);
		*n = 0;
		return MHD_YES;
	}
	pthread_mutex_lock(&f->lock);
	buf_addf(&f->log, "%s %s", method, url);
	MHD_get_connection_values(c, MHD_GET_ARGUMENT_KIND, log_query, &f->log);
	log_header(f, c, "If-Match");
	log_header(f, c, "Request-Id");
	log_header(f, c, "Authorization");
	buf_addf(&f->log, " %.*s\n", STR_ARG(buf_str(&r->body)));
	a = pick(f, method, url);
	if (!a)
		a = &none;
	resp = MHD_create_response_from_buffer(a->body ? strlen(a->body) : 0,
					       (void *)(a->body ? a->body : ""),
					       MHD_RESPMEM_MUST_COPY);
	if (a->run)
		MHD_add_response_header(resp, "Carawayfront-Run", a->run);
	ret = a->status ? MHD_queue_response(c, a->status, resp) : MHD_NO;
	pthread_mutex_unlock(&f->lock);
	MHD_destroy_response(resp);
	return ret;
}

static void completed(void *cls, struct MHD_Connection *c, void **state,
		      enum MHD_RequestTerminationCode code)
{
	struct fake_request *r = *state;

	if (r)
		buf_free(&r->body);
	free(r);
	*state = NULL;
}

/* Starts the server; ends the test program when the port is taken. */
void fake_open(struct fake *f, uint16_t port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
				  .sin_port = htons(port),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

	memset(f, 0, sizeof(*f));
	pthread_mutex_init(&f->lock, NULL);
	buf_adds(&f->log, "");
	f->daemon = MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, handle, f,
		MHD_OPTION_SOCK_ADDR, &sin, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
		MHD_OPTION_NOTIFY_COMPLETED, completed, f, MHD_OPTION_END);
	if (!f->daemon) {
		fprintf(stderr, "port %u is taken\n", port);
		exit(EXIT_FAILURE);
	}
}

/* Adds an answer; the strings must live as long as the server. */
void fake_say(struct fake *f, const char *method, const char *path, unsigned int status,
	      const char *body, const char *run, unsigned int times)
{
	pthread_mutex_lock(&f->lock);
	if (f->n < FAKE_MAX_ANSWERS)
		f->answers[f->n++] =
			(struct fake_answer){method, path, status, body, run, times};
	pthread_mutex_unlock(&f->lock);
}

/* Removes the answers and the log. */
void fake_clear(struct fake *f)
{
	pthread_mutex_lock(&f->lock);
	f->n = 0;
	memset(f->used, 0, sizeof(f->used));
	f->log.n = 0;
	f->log.p[0] = '\0';
	pthread_mutex_unlock(&f->lock);
}

/* How often the text is in the log. */
unsigned int fake_count(struct fake *f, const char *text)
{
	unsigned int n;

	pthread_mutex_lock(&f->lock);
	n = count_in(f->log.p, text);
	pthread_mutex_unlock(&f->lock);
	return n;
}

bool fake_wait(struct fake *f, const char *text, unsigned int n, int ms)
{
	for (; ms > 0 && fake_count(f, text) < n; ms -= STEP_MS)
		usleep(STEP_MS * 1000);
	return fake_count(f, text) >= n;
}

void fake_close(struct fake *f)
{
	MHD_stop_daemon(f->daemon);
	buf_free(&f->log);
	pthread_mutex_destroy(&f->lock);
}

static void command_make(char *out, const char *prefix, const char *fmt, va_list ap)
{
	const char *build = getenv("BUILD");
	size_t n = (size_t)snprintf(out, MAX_COMMAND, "%s%s/bin/", prefix,
				    build ? build : "build");

	vsnprintf(out + n, MAX_COMMAND - n, fmt, ap);
}

/* Runs a program of build/bin to its end; returns its exit status, its output in out. */
int tool_run(struct buf *out, const char *fmt, ...)
{
	char command[MAX_COMMAND];
	char tmp[4096];
	size_t n;
	va_list ap;
	FILE *p;
	int status;

	va_start(ap, fmt);
	command_make(command, "exec 2>&1; ", fmt, ap);
	va_end(ap);
	out->n = 0;
	buf_adds(out, "");
	p = popen(command, "r");
	if (!p)
		return -1;
	while ((n = fread(tmp, 1, sizeof(tmp), p)) > 0)
		buf_add(out, tmp, n);
	status = pclose(p);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

/* Starts a program of build/bin in the background. */
pid_t tool_spawn(const char *fmt, ...)
{
	char command[MAX_COMMAND];
	va_list ap;
	pid_t pid;

	va_start(ap, fmt);
	command_make(command, "exec ", fmt, ap);
	va_end(ap);
	pid = fork();
	if (pid == 0) {
		execl("/bin/sh", "sh", "-c", command, (char *)NULL);
		_exit(127);
	}
	return pid;
}

/* Signals a program and waits for its end; returns its exit status. */
int tool_end(pid_t pid, int sig)
{
	int status = -1;

	if (pid <= 0)
		return -1;
	kill(pid, sig);
	waitpid(pid, &status, 0);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

/* How often the text is in the file; 0 without the file. */
unsigned int file_count(const char *file, const char *text)
{
	struct buf b = {0};
	char tmp[4096];
	size_t n;
	unsigned int found;
	FILE *f = fopen(file, "re");

	if (!f)
		return 0;
	buf_adds(&b, "");
	while ((n = fread(tmp, 1, sizeof(tmp), f)) > 0)
		buf_add(&b, tmp, n);
	fclose(f);
	found = count_in(b.p, text);
	buf_free(&b);
	return found;
}

bool file_wait(const char *file, const char *text, unsigned int n, int ms)
{
	for (; ms > 0 && file_count(file, text) < n; ms -= STEP_MS)
		usleep(STEP_MS * 1000);
	return file_count(file, text) >= n;
}
