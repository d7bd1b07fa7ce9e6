#include "carawayfrontd/spread.h"

#include <stdlib.h>
#include <sys/random.h>

#include "base/err.h"
#include "carawayfrontd/member_id.h"
#include "core/announce.h"
#include "io/clock.h"
#include "io/rpc_client.h"
#include "proto/peer.h"

/* A link that drops everything silently is noticed by a call that gets no reply. */
#define PING_PERIOD 0.5	 /* seconds */
#define PING_TIMEOUT 1.0 /* seconds */

/* Another entry process. */
struct peer {
	struct rpc_client_host host; /* first member: the client calls back */
	struct rpc_waiter ping;
	struct spread *spread;
	struct rpc_client *client;
	uint64_t id;
};

struct spread {
	struct announce_host host; /* first member: the announcements call back */
	struct spread_options opt;
	struct announce *announce;
	struct ev_timer timer;
	struct ev_prepare prepare;
	struct ev_timer ping_timer;
	size_t n;
	struct peer *peers;
};

static int op_send(struct announce_host *host, uint64_t id, struct str batch)
{
	struct spread *s = (struct spread *)host;

	for (size_t i = 0; i < s->n; i++)
		if (s->peers[i].id == id)
			return rpc_client_post(s->peers[i].client, PEER_ANNOUNCE, batch);
	return CF_ENOENT;
}

static void op_upstream(struct announce_host *host, const struct router_upstream *u)
{
	struct spread *s = (struct spread *)host;

	router_upstream(s->opt.router, u, clock_us());
}

static void op_renew(struct announce_host *host, uint64_t id, uint64_t sequence, int load,
		     int64_t age_us)
{
	struct spread *s = (struct spread *)host;

	router_renew(s->opt.router, id, sequence, load, age_us, clock_us());
}

static const struct announce_ops announce_ops = {
	.send = op_send,
	.upstream = op_upstream,
	.renew = op_renew,
};

static void on_up(struct rpc_client_host *host)
{
	struct peer *p = (struct peer *)host;

	announce_peer_up(p->spread->announce, p->id, clock_us());
}

static void on_down(struct rpc_client_host *host)
{
	struct peer *p = (struct peer *)host;

	announce_peer_down(p->spread->announce, p->id, clock_us());
}

static const struct rpc_client_ops client_ops = {.up = on_up, .down = on_down};

static void on_ping(struct rpc_waiter *w, int err, struct str results)
{
	struct peer *p = (struct peer *)((char *)w - offsetof(struct peer, ping));

	if (err == CF_ETIMEOUT)
		rpc_client_disconnect(p->client);
}

static const struct rpc_waiter_ops ping_ops = {.done = on_ping};

/* Keeps a connection to every peer. */
static void on_ping_timer(struct ev_loop *loop, struct ev_timer *t, int events)
{
	struct spread *s = t->data;
	struct str none = {NULL, 0};

	for (size_t i = 0; i < s->n; i++)
		if (!s->peers[i].ping.client)
			rpc_client_call(s->peers[i].client, PEER_NULL, none, PING_TIMEOUT,
					&s->peers[i].ping);
}

static void on_timer(struct ev_loop *loop, struct ev_timer *t, int events)
{
	struct spread *s = t->data;

	announce_tick(s->announce, clock_us());
}

static void on_prepare(struct ev_loop *loop, struct ev_prepare *w, int events)
{
	struct spread *s = w->data;
	int64_t deadline = announce_deadline(s->announce);
	int64_t now = clock_us();

	ev_timer_stop(loop, &s->timer);
	if (deadline == INT64_MAX)
		return;
	ev_timer_set(&s->timer, deadline > now ? (double)(deadline - now) / 1e6 : 0, 0);
	ev_timer_start(loop, &s->timer);
}

static int add_peer(struct spread *s, const struct settings_member *m)
{
	struct peer *p = &s->peers[s->n];
	struct rpc_client_options opt = {
		.loop = s->opt.loop,
		.address = m->address,
		.member = s->opt.settings->name,
		.key = s->opt.settings->cluster_key,
		.host = &p->host,
	};
	int err;

	p->host.ops = &client_ops;
	p->ping.ops = &ping_ops;
	p->spread = s;
	p->id = member_id(m->name);
	err = rpc_client_new(&opt, &p->client);
	if (!err)
		s->n++;
	return err;
}

/* 32 random bits, since each batch carries the number and small ones are short. */
static int draw_session(struct announce_options *o)
{
	uint32_t session;

	if (getrandom(&session, sizeof(session), 0) != sizeof(session))
		return CF_EIO;
	o->first_session = session;
	return 0;
}

/* Connects to every other entry process of the settings. */
int spread_new(const struct spread_options *opt, struct spread **out)
{
	const struct settings *settings = opt->settings;
	const struct settings_member *m = settings->entries.items;
	struct announce_options announce;
	struct spread *s = calloc(1, sizeof(*s));
	int err;

	if (!s)
		return CF_ENOMEM;
	s->host.ops = &announce_ops;
	s->opt = *opt;
	ev_timer_init(&s->timer, on_timer, 0, 0);
	ev_timer_init(&s->ping_timer, on_ping_timer, 0, PING_PERIOD);
	ev_prepare_init(&s->prepare, on_prepare);
	s->timer.data = s;
	s->ping_timer.data = s;
	s->prepare.data = s;
	announce_options_init(&announce);
	announce.host = &s->host;
	err = draw_session(&announce);
	if (!err)
		err = announce_new(&announce, &s->announce);
	if (!err) {
		s->peers = calloc(settings->entries.n + 1, sizeof(*s->peers));
		err = s->peers ? 0 : CF_ENOMEM;
	}
	for (size_t i = 0; i < settings->entries.n && !err; i++)
		if (!str_eq(m[i].name, settings->name))
			err = add_peer(s, &m[i]);
	if (err) {
		spread_free(s);
		return err;
	}
	ev_timer_start(opt->loop, &s->ping_timer);
	ev_prepare_start(opt->loop, &s->prepare);
	*out = s;
	return 0;
}

/* Takes an announcement that an upstream made here. */
int spread_announced(struct spread *s, const struct router_upstream *u)
{
	return announce_receive_local(s->announce, u, clock_us());
}

/* Takes a batch of another entry process; malformed batches are counted. */
int spread_receive(struct spread *s, struct str member, struct str batch)
{
	return announce_receive(s->announce, member_id(member), batch, clock_us());
}

void spread_export_metrics(struct spread *s)
{
	struct metric_set *m = s->opt.metrics;
	struct announce_stats st;

	announce_stats(s->announce, &st);
	*metric_gauge(m, "carawayfront_peers", "") = st.peers;
	*metric_counter(m, "carawayfront_announcements_heard_total", "") = st.heard;
	*metric_counter(m, "carawayfront_announcement_changes_total", "") = st.changes;
	*metric_counter(m, "carawayfront_announcement_exchanges_total", "") =
		st.exchanges;
	*metric_counter(m, "carawayfront_announcements_refused_total", "") = st.refused;
	*metric_counter(m, "carawayfront_announcements_malformed_total", "") =
		st.malformed;
	*metric_counter(m, "carawayfront_announcement_sent_bytes_total", "") =
		st.bytes_sent;
}

void spread_free(struct spread *s)
{
	if (!s)
		return;
	ev_timer_stop(s->opt.loop, &s->timer);
	ev_timer_stop(s->opt.loop, &s->ping_timer);
	ev_prepare_stop(s->opt.loop, &s->prepare);
	for (size_t i = 0; i < s->n; i++)
		rpc_client_free(s->peers[i].client);
	free(s->peers);
	announce_free(s->announce);
	free(s);
}
