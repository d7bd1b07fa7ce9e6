/*
 * A client that keeps its connections until the other side closes them: at each address
 * one that stays silent, one with half a request, and one that reads a path again and
 * again. A connection that was closed is opened again.
 *
 *   keepopen --address IP:PORT... --path PATH --expect STATUS,... [--ledger FILE]
 *
 * The ledger has a line "read VERSION STATUS MILLISECONDS" for each reading, with the
 * number after "version" in the answer ("-" if there is none) and the time before the
 * request. An answer with another status than the expected ones ends the program, as
 * does SIGTERM.
 */
#include <getopt.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>

#include "io/addr.h"
#include "standins/common.h"

#define MAX_ADDRESSES 32
#define POLL_MS 50
#define READ_PERIOD_US (250 * US_PER_MS)
#define CONNECT_PERIOD_US (100 * US_PER_MS)
#define ANSWER_MAX 8192

enum kind { SILENT, HALF, READER, N_KINDS };

struct conn {
	const char *name; /* of the address */
	struct addr address;
	enum kind kind;
	int fd; /* -1: closed */
	bool connected;
	bool asked;	 /* the answer has not arrived yet */
	int64_t next_us; /* of the next attempt or reading */
	int64_t asked_ms;
	char answer[ANSWER_MAX];
	size_t n;
};

static struct conn conns[MAX_ADDRESSES * N_KINDS];
static size_t n_conns;
static const char *path = "/";
static const char *expected = "200";
static int ledger_fd = -1;
static volatile sig_atomic_t stopping;
static unsigned long n_answers, n_closed;

static void add_address(const char *text)
{
	struct addr a;

	if (addr_parse(str_from(text), &a))
		errx(2, "--address: %s is not IP:PORT", text);
	if (n_conns == MAX_ADDRESSES * N_KINDS)
		errx(2, "--address: more than %d", MAX_ADDRESSES);
	for (enum kind k = SILENT; k < N_KINDS; k++)
		conns[n_conns++] =
			(struct conn){.name = text, .address = a, .kind = k, .fd = -1};
}

/* A request without an answer tells nothing about what it read. */
static void close_conn(struct conn *c)
{
	if (c->connected)
		n_closed++;
	close(c->fd);
	c->fd = -1;
	c->connected = false;
	c->asked = false;
	c->n = 0;
	c->next_us = mono_us() + CONNECT_PERIOD_US;
}

static void open_conn(struct conn *c)
{
	c->fd = socket(c->address.sa.ss_family,
		       SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (c->fd < 0)
		err(1, "socket");
	if (connect(c->fd, (struct sockaddr *)&c->address.sa, c->address.len) &&
	    errno != EINPROGRESS)
		close_conn(c);
}

static void send_text(struct conn *c, const char *text)
{
	if (send(c->fd, text, strlen(text), MSG_NOSIGNAL) != (ssize_t)strlen(text))
		close_conn(c);
}

static void ask(struct conn *c)
{
	char text[512];

	snprintf(text, sizeof(text), "GET %s HTTP/1.1\r\nHost: h.example\r\n\r\n", path);
	c->asked = true;
	c->asked_ms = wall_us() / US_PER_MS;
	c->next_us = mono_us() + READ_PERIOD_US;
	send_text(c, text);
}

static void on_connected(struct conn *c)
{
	int error = 0;
	socklen_t len = sizeof(error);

	getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error) {
		close_conn(c);
		return;
	}
	c->connected = true;
	if (c->kind == HALF)
		send_text(c, "GET / HTTP/1.1\r\nHost: h.exa");
}

/* Length of the head, 0 while it is not complete; *body is the length of what follows. */
static size_t head_length(const struct conn *c, size_t *body)
{
	const char *end = strstr(c->answer, "\r\n\r\n");
	const char *length = strcasestr(c->answer, "\r\nContent-Length:");

	if (!end)
		return 0;
	*body = length && length < end
			? strtoul(length + strlen("\r\nContent-Length:"), NULL, 10)
			: 0;
	return (size_t)(end - c->answer) + 4;
}

static bool is_expected(const char *status)
{
	const char *p = strstr(expected, status);

	return p && (p[3] == ',' || p[3] == '\0');
}

/* Records an answer that is complete. */
static void take_answer(struct conn *c)
{
	const char *version;
	char status[4] = "";
	size_t body = 0;
	size_t head = head_length(c, &body);

	if (!head || c->n < head + body)
		return;
	if (sscanf(c->answer, "HTTP/1.1 %3[0-9]", status) != 1 || !is_expected(status))
		errx(1, "%s: unexpected answer: %s", c->name, c->answer);
	version = strstr(c->answer + head, "\"version\":");
	ledger_line(ledger_fd, "read %.*s %s %lld\n",
		    version ? (int)strspn(version + 10, "0123456789") : 1,
		    version ? version + 10 : "-", status, (long long)c->asked_ms);
	n_answers++;
	c->asked = false;
	c->n = 0;
}

static void on_readable(struct conn *c)
{
	ssize_t n = recv(c->fd, c->answer + c->n, sizeof(c->answer) - 1 - c->n, 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		close_conn(c);
		return;
	}
	c->n += (size_t)n;
	c->answer[c->n] = '\0';
	if (c->kind == HALF)
		c->n = 0; /* an answer to half a request refuses it */
	else if (!c->asked)
		errx(1, "%s: an answer that nobody asked for", c->name);
	else
		take_answer(c);
}

static void run_once(void)
{
	struct pollfd fds[MAX_ADDRESSES * N_KINDS];

	for (size_t i = 0; i < n_conns; i++) {
		struct conn *c = &conns[i];

		if (c->fd < 0 && mono_us() >= c->next_us)
			open_conn(c);
		if (c->connected && c->kind == READER && !c->asked &&
		    mono_us() >= c->next_us)
			ask(c);
		fds[i] = (struct pollfd){.fd = c->fd,
					 .events = c->connected ? POLLIN : POLLOUT};
	}
	if (poll(fds, n_conns, POLL_MS) < 0 && errno != EINTR)
		err(1, "poll");
	for (size_t i = 0; i < n_conns; i++) {
		if (fds[i].fd < 0 || !fds[i].revents)
			continue;
		if (conns[i].connected)
			on_readable(&conns[i]);
		else
			on_connected(&conns[i]);
	}
}

static void on_terminate(int signal_number)
{
	stopping = 1;
}

int main(int argc, char *argv[])
{
	static const struct option options[] = {
		{"address", required_argument, NULL, 'a'},
		{"path", required_argument, NULL, 'p'},
		{"expect", required_argument, NULL, 'x'},
		{"ledger", required_argument, NULL, 'l'},
		{0},
	};
	int c;

	signal(SIGTERM, on_terminate);
	while ((c = getopt_long(argc, argv, "", options, NULL)) != -1) {
		switch (c) {
		case 'a':
			add_address(optarg);
			break;
		case 'p':
			path = optarg;
			break;
		case 'x':
			expected = optarg;
			break;
		case 'l':
			ledger_fd = ledger_open(optarg);
			break;
		default:
			return 2;
		}
	}
	if (!n_conns)
		errx(2, "--address is needed");
	while (!stopping)
		run_once();
	printf("answers=%lu closed=%lu\n", n_answers, n_closed);
	return 0;
}
