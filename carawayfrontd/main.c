#include <err.h>
#include <getopt.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <ev.h>

#include "base/err.h"
#include "carawayfrontd/controller.h"
#include "carawayfrontd/entry.h"
#include "carawayfrontd/gateway.h"
#include "carawayfrontd/settings.h"
#include "carawayfrontd/state.h"
#include "io/log.h"
#include "io/meminfo.h"
#include "io/server_limits.h"

#define VERSION "0.1"
#define DEFAULT_SETTINGS "/etc/carawayfront.yaml"
#define START_RETRY_S 0.5
/*
 * Larger blocks are mapped one by one and returned when they are freed. The C library
 * raises this size as such blocks are freed, and later ones then fragment its heap.
 */
#define MAPPED_BYTES (256 << 10)
#define MEMINFO "/proc/meminfo"

/* The process: its settings and the object of its role. */
struct daemon {
	struct ev_loop *loop;
	struct ev_signal term;
	struct ev_signal intr;
	struct ev_signal hup;
	const char *path;
	struct settings settings;
	struct metric_set *metrics;
	struct server_limits *limits;
	struct entry *entry;
	struct state *state;
	struct gateway *gateway;
	struct controller *controller;
	bool bootstrap;
	bool started;  /* the object of the role exists */
	bool stopping; /* a planned stop was asked for */
};

static void usage(void)
{
	fprintf(stderr, "usage: carawayfrontd [-bdnV] [-c file]\n");
	exit(2);
}

/* Prints file, line, key and expectation of a refused setting. */
static void print_refusal(const char *path, const struct schema_error *error)
{
	fprintf(stderr, "%s:%u: %s%s%s, expected %s\n", path, error->line, error->key,
		*error->key ? ": " : "", cf_strerror(error->err), error->expected);
}

static void drain_role(struct daemon *d)
{
	switch (d->settings.role) {
	case ROLE_ENTRY:
		entry_drain(d->entry);
		break;
	case ROLE_STATE:
		state_drain(d->state);
		break;
	case ROLE_GATEWAY:
		gateway_drain(d->gateway);
		break;
	case ROLE_CONTROLLER:
		controller_drain(d->controller);
		break;
	}
}

static void on_terminate(struct ev_loop *loop, struct ev_signal *w, int events)
{
	struct daemon *d = w->data;

	log_info("shutdown-started", "signal=%d", w->signum);
	d->stopping = true;
	if (d->started)
		drain_role(d);
}

/*
 * Reads the settings again. Listening addresses, members and the role need a
 * restart; the file is checked so that the restart will work.
 */
static void on_reload(struct ev_loop *loop, struct ev_signal *w, int events)
{
	struct daemon *d = w->data;
	struct schema_error error;
	struct settings fresh;

	if (settings_load(d->path, &fresh, &error)) {
		log_warn("reload-refused",
			 "file=%s line=%u key=%s error=\"%s\" expected=\"%s\"", d->path,
			 error.line, error.key, cf_strerror(error.err), error.expected);
	} else if (!settings_same_process(&d->settings, &fresh)) {
		log_warn("reload-refused",
			 "file=%s reason=\"name, role, zone, addresses, members and data "
			 "need a restart\"",
			 d->path);
	} else {
		settings_swap_reloadable(&d->settings, &fresh);
		log_info("reload-done", "file=%s", d->path);
	}
	settings_free(&fresh);
}

/* Refuses budgets that the machine cannot hold; without its size they are not checked. */
static int check_memory(const struct daemon *d, struct schema_error *error)
{
	uint64_t memory;

	if (meminfo_read(MEMINFO, &memory))
		return 0;
	return settings_check_memory(&d->settings, memory, error);
}

static int make_limits(struct daemon *d)
{
	const struct settings_limits *l = &d->settings.limits;
	struct server_limits_options opt = {
		.loop = d->loop,
		.metrics = d->metrics,
		.body_budget = l->body_budget,
		.reply_budget = l->reply_budget,
		.head_timeout_s = l->head_timeout_s,
		.body_timeout_s = l->body_timeout_s,
		.min_rate = l->min_rate,
		.max_per_source = l->max_per_source,
		.max_unauthenticated = l->max_unauthenticated,
	};

	return server_limits_new(&opt, &d->limits);
}

/* Tells of limits on connections and budgets that together exceed the machine. */
static void note_memory(const struct daemon *d)
{
	uint64_t memory;

	if (meminfo_read(MEMINFO, &memory) || settings_memory(&d->settings) <= memory)
		return;
	log_warn("limits-exceed-memory", "limits_bytes=%llu memory_bytes=%llu",
		 (unsigned long long)settings_memory(&d->settings),
		 (unsigned long long)memory);
}

static int start_role(struct daemon *d)
{
	switch (d->settings.role) {
	case ROLE_ENTRY:
		return entry_new(d->loop, &d->settings, d->metrics, d->limits, &d->entry);
	case ROLE_STATE:
		return state_new(d->loop, &d->settings, d->metrics, d->limits,
				 d->bootstrap, &d->state);
	case ROLE_GATEWAY:
		return gateway_new(d->loop, &d->settings, d->metrics, d->limits,
				   &d->gateway);
	default:
		return controller_new(d->loop, &d->settings, d->metrics, d->limits,
				      &d->controller);
	}
}

/*
 * Starts the role unless a planned stop was asked for; while the disk of its data
 * directory is full, tries again.
 */
static int start_with_space(struct daemon *d)
{
	int err = 0;

	for (;;) {
		ev_run(d->loop, EVRUN_NOWAIT);
		if (d->stopping)
			return err;
		err = start_role(d);
		if (err != CF_ENOSPACE)
			break;
		log_warn("start-waits", "error=\"%s\"", cf_strerror(err));
		ev_sleep(START_RETRY_S);
	}
	d->started = !err;
	return err;
}

static int role_failure(const struct daemon *d)
{
	if (d->state)
		return state_failure(d->state);
	return d->controller ? controller_failure(d->controller) : 0;
}

/* Catches the signals; what comes before the loop runs is handled by its first round. */
static void watch_signals(struct daemon *d)
{
	ev_signal_init(&d->term, on_terminate, SIGTERM);
	ev_signal_init(&d->intr, on_terminate, SIGINT);
	ev_signal_init(&d->hup, on_reload, SIGHUP);
	d->term.data = d;
	d->intr.data = d;
	d->hup.data = d;
	ev_signal_start(d->loop, &d->term);
	ev_signal_start(d->loop, &d->intr);
	ev_signal_start(d->loop, &d->hup);
}

static int run(struct daemon *d)
{
	static const char *const names[] = {"entry", "state", "gateway", "controller"};
	int err;

	err = start_with_space(d);
	if (!d->started && d->stopping) {
		log_info("stopped", "error=\"%s\"", cf_strerror(err));
		return 0;
	}
	if (err) {
		log_error("start-failed", "error=\"%s\"", cf_strerror(err));
		return err;
	}
	log_info("started", "version=%s role=%s zone=%.*s", VERSION,
		 names[d->settings.role], STR_ARG(d->settings.zone));
	ev_run(d->loop, 0);
	err = role_failure(d);
	log_info("stopped", "error=\"%s\"", cf_strerror(err));
	return err;
}

int main(int argc, char *argv[])
{
	static const struct option long_options[] = {
		{"settings", required_argument, NULL, 'c'},
		{"bootstrap", no_argument, NULL, 'b'},
		{"debug", no_argument, NULL, 'd'},
		{"check", no_argument, NULL, 'n'},
		{"version", no_argument, NULL, 'V'},
		{0},
	};
	struct daemon d = {.path = DEFAULT_SETTINGS};
	struct schema_error error;
	bool check_only = false;
	bool debug = false;
	char *name = NULL;
	int status = 1;
	int c;

	while ((c = getopt_long(argc, argv, "bc:dnV", long_options, NULL)) != -1) {
		switch (c) {
		case 'b':
			d.bootstrap = true;
			break;
		case 'c':
			d.path = optarg;
			break;
		case 'd':
			debug = true;
			break;
		case 'n':
			check_only = true;
			break;
		case 'V':
			printf("carawayfrontd %s\n", VERSION);
			return 0;
		default:
			usage();
		}
	}
	if (optind != argc)
		usage();
	d.loop = ev_default_loop(0);
	if (!d.loop)
		errx(1, "initialisation failed");
	mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES);
	watch_signals(&d);
	if (settings_load(d.path, &d.settings, &error) || check_memory(&d, &error)) {
		print_refusal(d.path, &error);
		goto out;
	}
	if (check_only) {
		printf("%s: settings are valid\n", d.path);
		status = 0;
		goto out;
	}
	name = str_dup(d.settings.name);
	if (!name || log_open(name, debug) || metric_set_new(&d.metrics) ||
	    make_limits(&d) || curl_global_init(CURL_GLOBAL_DEFAULT))
		errx(1, "initialisation failed");
	signal(SIGPIPE, SIG_IGN);
	note_memory(&d);
	status = run(&d) ? 1 : 0;
	entry_free(d.entry);
	state_free(d.state);
	gateway_free(d.gateway);
	controller_free(d.controller);
	curl_global_cleanup();
	log_close();
out:
	server_limits_free(d.limits);
	metric_set_free(d.metrics);
	settings_free(&d.settings);
	free(name);
	return status;
}
