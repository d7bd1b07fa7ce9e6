#ifndef STANDINS_CLIENT_H
#define STANDINS_CLIENT_H

#include <curl/curl.h>
#include <ev.h>

#include "standins/common.h"

/* Asynchronous HTTP client: libcurl multi on libev. */
struct client {
	struct ev_loop *loop;
	CURLM *multi;
	struct ev_timer timer;
};

struct client_call {
	struct client *client;
	CURL *easy;
	struct curl_slist *headers;
	struct buf request;
	struct buf answer;
	char run[16];	   /* Carawayfront-Run of the answer, empty without one */
	long status;	   /* 0 without an answer */
	CURLcode result;   /* transport result */
	int64_t sent_us;   /* monotonic */
	int64_t answer_us; /* monotonic */
	long sent_bytes;   /* of all tries that libcurl made */
	bool resent;	   /* after an earlier try of libcurl that sent something */
	void (*done)(struct client_call *); /* the call is freed after it returns */
	void *arg;
};

struct client_sock {
	struct ev_io io;
	struct client *client;
};

static inline void client_call_free(struct client_call *c)
{
	curl_easy_cleanup(c->easy);
	curl_slist_free_all(c->headers);
	buf_free(&c->request);
	buf_free(&c->answer);
	free(c);
}

static inline void client_check(struct client *cl)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(cl->multi, &left))) {
		struct client_call *c;
		struct curl_header *h;
		CURL *easy = msg->easy_handle;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(easy, CURLINFO_PRIVATE, &c);
		c->result = msg->data.result;
		c->answer_us = mono_us();
		curl_multi_remove_handle(cl->multi, easy);
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &c->status);
		curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &c->sent_bytes);
		if (curl_easy_header(easy, "Carawayfront-Run", 0, CURLH_HEADER, -1, &h) ==
		    CURLHE_OK)
			snprintf(c->run, sizeof(c->run), "%s", h->value);
		c->done(c);
		client_call_free(c);
	}
}

static inline void client_io_cb(struct ev_loop *loop, struct ev_io *w, int revents)
{
	struct client *cl = ((struct client_sock *)w->data)->client;
	int running;
	int what = (revents & EV_READ ? CURL_CSELECT_IN : 0) |
		   (revents & EV_WRITE ? CURL_CSELECT_OUT : 0);

	curl_multi_socket_action(cl->multi, w->fd, what, &running);
	client_check(cl);
}

static inline void client_timer_cb(struct ev_loop *loop, struct ev_timer *w, int revents)
{
	struct client *cl = w->data;
	int running;

	curl_multi_socket_action(cl->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	client_check(cl);
}

static inline int client_set_timer(CURLM *multi, long ms, void *arg)
{
	struct client *cl = arg;

	ev_timer_stop(cl->loop, &cl->timer);
	if (ms >= 0) {
		ev_timer_set(&cl->timer, (double)ms / 1000.0, 0);
		ev_timer_start(cl->loop, &cl->timer);
	}
	return 0;
}

static inline int client_set_socket(CURL *easy, curl_socket_t fd, int what, void *arg,
				    void *sock)
{
	struct client *cl = arg;
	struct client_sock *s = sock;
	int events = (what & CURL_POLL_IN ? EV_READ : 0) |
		     (what & CURL_POLL_OUT ? EV_WRITE : 0);

	if (what == CURL_POLL_REMOVE) {
		if (s) {
			ev_io_stop(cl->loop, &s->io);
			free(s);
			curl_multi_assign(cl->multi, fd, NULL);
		}
		return 0;
	}
	if (!s) {
		s = calloc(1, sizeof(*s));
		if (!s)
			err(1, NULL);
		s->client = cl;
		ev_init(&s->io, client_io_cb);
		s->io.data = s;
		curl_multi_assign(cl->multi, fd, s);
	}
	ev_io_stop(cl->loop, &s->io);
	ev_io_set(&s->io, fd, events);
	ev_io_start(cl->loop, &s->io);
	return 0;
}

static inline void client_open(struct client *cl, struct ev_loop *loop)
{
	if (curl_global_init(CURL_GLOBAL_DEFAULT))
		errx(1, "curl_global_init");
	cl->loop = loop;
	cl->multi = curl_multi_init();
	if (!cl->multi)
		errx(1, "curl_multi_init");
	ev_init(&cl->timer, client_timer_cb);
	cl->timer.data = cl;
	curl_multi_setopt(cl->multi, CURLMOPT_SOCKETFUNCTION, client_set_socket);
	curl_multi_setopt(cl->multi, CURLMOPT_SOCKETDATA, cl);
	curl_multi_setopt(cl->multi, CURLMOPT_TIMERFUNCTION, client_set_timer);
	curl_multi_setopt(cl->multi, CURLMOPT_TIMERDATA, cl);
}

static inline size_t client_write_cb(char *p, size_t size, size_t n, void *arg)
{
	struct client_call *c = arg;

	return buf_add(&c->answer, p, size * n) ? 0 : size * n;
}

static inline void client_header(struct client_call *c, const char *fmt,
				 const char *value)
{
	char line[256];
	struct curl_slist *l;

	snprintf(line, sizeof(line), "%s: %s", fmt, value);
	l = curl_slist_append(c->headers, line);
	if (!l)
		errx(1, "out of memory");
	c->headers = l;
}

/* Called before each try of libcurl. */
static inline int client_prereq(void *arg, char *peer_ip, char *own_ip, int peer_port,
				int own_port)
{
	struct client_call *c = arg;
	long sent = 0;

	curl_easy_getinfo(c->easy, CURLINFO_REQUEST_SIZE, &sent);
	if (sent > 0)
		c->resent = true;
	return CURL_PREREQFUNC_OK;
}

/* Prepares a call; the body is taken from c->request by client_start(). */
static inline struct client_call *client_call(struct client *cl, const char *method,
					      const char *url, long timeout_ms,
					      void (*done)(struct client_call *),
					      void *arg)
{
	struct client_call *c = calloc(1, sizeof(*c));

	if (!c)
		err(1, NULL);
	c->client = cl;
	c->done = done;
	c->arg = arg;
	c->easy = curl_easy_init();
	if (!c->easy)
		errx(1, "curl_easy_init");
	curl_easy_setopt(c->easy, CURLOPT_PRIVATE, c);
	curl_easy_setopt(c->easy, CURLOPT_URL, url);
	curl_easy_setopt(c->easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(c->easy, CURLOPT_WRITEFUNCTION, client_write_cb);
	curl_easy_setopt(c->easy, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(c->easy, CURLOPT_PREREQFUNCTION, client_prereq);
	curl_easy_setopt(c->easy, CURLOPT_PREREQDATA, c);
	curl_easy_setopt(c->easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(c->easy, CURLOPT_CONNECTTIMEOUT_MS, timeout_ms);
	curl_easy_setopt(c->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c->easy, CURLOPT_PROXY, "");
	client_header(c, "Expect", "");
	return c;
}

static inline void client_start(struct client_call *c, bool has_body)
{
	if (has_body) {
		curl_easy_setopt(c->easy, CURLOPT_POSTFIELDSIZE, (long)c->request.n);
		curl_easy_setopt(c->easy, CURLOPT_POSTFIELDS,
				 c->request.p ? c->request.p : "");
	}
	curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, c->headers);
	c->sent_us = mono_us();
	if (curl_multi_add_handle(c->client->multi, c->easy))
		errx(1, "curl_multi_add_handle");
}

#endif
