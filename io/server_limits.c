#include "io/server_limits.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

#include "base/err.h"
#include "io/clock.h"
#include "io/log.h"

#define PERIOD_S 1.0
#define LOG_PERIOD_US 1000000
#define TRIM_PERIOD_US 1000000
/* Descriptors for files, logs and connections that this process opens itself. */
#define RESERVED_FDS 200
/* Of them for members of the cluster, so that a crowd at an HTTP port keeps none out. */
#define RESERVED_RPC_FDS 100
#define TRIM_MIN (4U << 20) /* bytes that must have been in use for a release */
/* Shares of the budgets for small bodies and replies. */
#define RESERVED_PART 4U
#define SMALL_BODY 65536U
#define SMALL_REPLY 16384U

static const char *const reason_names[LIMIT_N_REASONS] = {
	"body-size",  "body-budget", "reply-budget", "head-time",   "body-time",
	"reply-time", "connections", "source",	     "descriptors", "unauthenticated"};

void server_limits_note(struct server_limits *l, enum limit_reason reason)
{
	int64_t now = clock_us();
	char labels[64];

	l->counts[reason]++;
	if (l->opt.metrics) {
		snprintf(labels, sizeof(labels), "reason=\"%s\"", reason_names[reason]);
		++*metric_counter(l->opt.metrics, "carawayfront_limited_total", labels);
	}
	if (l->logged_us[reason] && now - l->logged_us[reason] < LOG_PERIOD_US)
		return;
	log_warn("client-limited", "reason=%s count=%llu body_bytes=%zu reply_bytes=%zu",
		 reason_names[reason],
		 (unsigned long long)(l->counts[reason] - l->logged[reason]),
		 l->bodies.used, l->replies.used);
	l->logged_us[reason] = now;
	l->logged[reason] = l->counts[reason];
}

static void publish(const struct server_limits *l, const char *budget,
		    const struct budget *b)
{
	char labels[64];

	snprintf(labels, sizeof(labels), "budget=\"%s\"", budget);
	*metric_gauge(l->opt.metrics, "carawayfront_budget_used_bytes", labels) = b->used;
	*metric_gauge(l->opt.metrics, "carawayfront_budget_limit_bytes", labels) =
		b->limit;
}

/* Whether most of what was in use is free again. */
static bool has_drained(struct budget *b)
{
	bool drained = b->peak > TRIM_MIN && b->used < b->peak / 2;

	if (drained)
		b->peak = b->used;
	return drained;
}

/* Returns memory to the system once a crowd is over, at most once a second. */
void server_limits_trim(struct server_limits *l)
{
	int64_t now = clock_us();

	if (l->trimmed_us && now - l->trimmed_us < TRIM_PERIOD_US)
		return;
	if (!has_drained(&l->bodies) && !has_drained(&l->replies))
		return;
	l->trimmed_us = now;
	malloc_trim(0);
}

static void on_timer(struct ev_loop *loop, struct ev_timer *t, int events)
{
	struct server_limits *l = t->data;

	server_limits_trim(l);
	if (!l->opt.metrics)
		return;
	publish(l, "bodies", &l->bodies);
	publish(l, "replies", &l->replies);
}

static struct budget make_budget(uint64_t limit, size_t small)
{
	return (struct budget){
		.limit = limit, .reserved = limit / RESERVED_PART, .small = small};
}

/* Highest descriptor that leaves so many free below the limit of the process. */
static int highest_fd(int reserved)
{
	struct rlimit r;

	if (getrlimit(RLIMIT_NOFILE, &r) || r.rlim_cur > INT32_MAX)
		return INT32_MAX;
	if (r.rlim_cur < 2 * RESERVED_FDS)
		return (int)r.rlim_cur / 2;
	return (int)r.rlim_cur - reserved - 1;
}

int server_limits_new(const struct server_limits_options *opt, struct server_limits **out)
{
	struct server_limits *l = calloc(1, sizeof(*l));

	if (!l)
		return CF_ENOMEM;
	l->opt = *opt;
	l->bodies = make_budget(opt->body_budget, SMALL_BODY);
	l->replies = make_budget(opt->reply_budget, SMALL_REPLY);
	l->max_http_fd = highest_fd(RESERVED_FDS);
	l->max_rpc_fd = highest_fd(RESERVED_FDS - RESERVED_RPC_FDS);
	ev_timer_init(&l->timer, on_timer, PERIOD_S, PERIOD_S);
	l->timer.data = l;
	ev_timer_start(opt->loop, &l->timer);
	*out = l;
	return 0;
}

void server_limits_free(struct server_limits *l)
{
	if (!l)
		return;
	ev_timer_stop(l->opt.loop, &l->timer);
	free(l);
}
