#include "carawayfrontd/state.h"

#include <stdlib.h>

#include "base/err.h"
#include "carawayfrontd/ctl_reply.h"
#include "carawayfrontd/state_impl.h"
#include "io/clock.h"
#include "io/log.h"

#define CONTROL_MAX_BODY 4096U
#define CONTROL_MAX_CONNECTIONS 256U
#define CONTROL_IDLE_S 60U

static struct state_peer *find_peer(struct state *s, uint64_t id)
{
	for (size_t i = 0; i < s->n_peers; i++)
		if (s->peers[i].id == id)
			return &s->peers[i];
	return NULL;
}

/* Name of the leader as far as this process knows; empty when it knows none. */
struct str state_leader_name(const struct state *s)
{
	uint64_t leader = replica_leader(s->replica);
	const struct state_peer *p;

	if (leader == s->id)
		return s->settings->name;
	p = leader ? find_peer((struct state *)(uintptr_t)s, leader) : NULL;
	return p ? p->name : (struct str){NULL, 0};
}

static void op_send(struct replica_host *host, uint64_t to, const struct replica_msg *m)
{
	struct state *s = (struct state *)host;
	struct state_peer *p = find_peer(s, to);
	struct buf bytes = {0};

	if (!p)
		return;
	if (!replica_msg_encode(m, &bytes))
		rpc_client_post(p->client, PEER_REPLICA, buf_str(&bytes));
	buf_free(&bytes);
}

static int op_take_snapshot(struct replica_host *host, struct buf *out)
{
	return store_snapshot(((struct state *)host)->store, out);
}

static int op_check_snapshot(struct replica_host *host, struct str bytes)
{
	int err = store_check_snapshot(((struct state *)host)->store, bytes);

	if (err)
		log_error("snapshot-refused", "bytes=%zu error=\"%s\"", bytes.n,
			  cf_strerror(err));
	return err;
}

static int op_load_snapshot(struct replica_host *host, uint64_t index, uint64_t epoch,
			    struct str bytes)
{
	struct state *s = (struct state *)host;
	int err = store_restore(s->store, bytes);

	if (!err)
		log_info("snapshot-loaded", "index=%llu epoch=%llu bytes=%zu",
			 (unsigned long long)index, (unsigned long long)epoch, bytes.n);
	return err;
}

static const char *role_name(enum replica_role role)
{
	switch (role) {
	case REPLICA_LEARNER:
		return "learner";
	case REPLICA_FOLLOWER:
		return "follower";
	case REPLICA_PRECANDIDATE:
		return "precandidate";
	case REPLICA_CANDIDATE:
		return "candidate";
	case REPLICA_LEADER:
		return "leader";
	case REPLICA_EXCLUDED:
		return "excluded";
	case REPLICA_FAILED:
		break;
	}
	return "failed";
}

static void op_role_changed(struct replica_host *host, enum replica_role role,
			    uint64_t epoch, uint64_t leader)
{
	struct state *s = (struct state *)host;
	const struct state_peer *p = find_peer(s, leader);
	struct str name = p ? p->name : (struct str){"", 0};

	if (leader == s->id)
		name = s->settings->name;
	log_info("role-changed", "role=%s epoch=%llu leader=%.*s", role_name(role),
		 (unsigned long long)epoch, STR_ARG(name));
	++*metric_counter(s->metrics, "carawayfront_role_changes_total", "");
}

static const struct replica_ops replica_ops = {
	.send = op_send,
	.append = disk_host_append,
	.truncate = disk_host_truncate,
	.save_promise = disk_host_save_promise,
	.sync = disk_host_sync,
	.apply = state_apply,
	.take_snapshot = op_take_snapshot,
	.check_snapshot = op_check_snapshot,
	.load_snapshot = op_load_snapshot,
	.role_changed = op_role_changed,
	.save_snapshot = disk_host_save_snapshot,
	.compact = disk_host_compact,
};

static const struct rpc_server_ops rpc_ops = {.call = state_on_rpc};
static const struct http_server_ops control_ops = {.request = state_on_control};

static void on_timer(struct ev_loop *loop, struct ev_timer *t, int events)
{
	struct state *s = t->data;

	log_flush();
	replica_tick(s->replica, clock_us());
	state_leading_tick(s);
	state_serve_watchers(s, false);
}

/* Starts or ends what only a leader does. */
static void follow_leadership(struct state *s)
{
	bool leads =
		replica_ready(s->replica) && replica_role(s->replica) == REPLICA_LEADER;

	if (leads && !s->leading) {
		int err = state_leading_start(s);

		if (err)
			log_error("leading-failed", "error=\"%s\"", cf_strerror(err));
	} else if (!leads && (s->leading || s->proposals)) {
		state_leading_stop(s);
		state_end_proposals(s, CF_EUNKNOWN);
		state_serve_watchers(s, true);
	}
}

/* A voter that cannot write its log must not go on. */
static void check_failure(struct state *s)
{
	disk_host_log_full(&s->disk, s->replica);
	if (!s->failure)
		s->failure = replica_failure(s->replica);
	if (!s->failure)
		return;
	log_error("replica-failed", "error=\"%s\"", cf_strerror(s->failure));
	ev_break(s->loop, EVBREAK_ALL);
}

static int64_t next_deadline(const struct state *s)
{
	int64_t deadline = replica_deadline(s->replica);
	int64_t other = state_leading_deadline(s);

	if (other < deadline)
		deadline = other;
	for (const struct state_watcher *w = s->watchers; w; w = w->next)
		if (w->end_us < deadline)
			deadline = w->end_us;
	return deadline;
}

/*
 * Runs before the loop sleeps: one sync covers all entries that arrived in this
 * round (group commit).
 */
static void on_prepare(struct ev_loop *loop, struct ev_prepare *w, int events)
{
	struct state *s = w->data;
	int64_t deadline;
	int64_t now;

	while (s->disk.sync_asked && !s->failure) {
		int err = disk_host_flush(&s->disk, s->replica, s->metrics);

		/* An entry that was applied meanwhile may have failed. */
		if (!s->failure)
			s->failure = err;
		if (s->failure) {
			ev_break(loop, EVBREAK_ALL);
			return;
		}
	}
	follow_leadership(s);
	if (s->conf_changed) {
		s->conf_changed = false;
		state_serve_watchers(s, false);
	}
	check_failure(s);
	deadline = next_deadline(s);
	now = clock_us();
	ev_timer_stop(loop, &s->timer);
	if (deadline == INT64_MAX)
		return;
	ev_timer_set(&s->timer, deadline > now ? (double)(deadline - now) / 1e6 : 0, 0);
	ev_timer_start(loop, &s->timer);
}

static int connect_peers(struct state *s)
{
	const struct settings_member *m = s->settings->state.items;

	for (size_t i = 0; i < s->settings->state.n; i++) {
		struct rpc_client_options opt = {
			.loop = s->loop,
			.address = m[i].address,
			.member = s->settings->name,
			.key = s->settings->cluster_key,
			.probe_period = STATE_PROBE_S,
		};
		struct state_peer *p = &s->peers[s->n_peers];
		int err;

		if (str_eq(m[i].name, s->settings->name))
			continue;
		p->id = member_id(m[i].name);
		p->name = m[i].name;
		err = rpc_client_new(&opt, &p->client);
		if (err)
			return err;
		s->n_peers++;
	}
	return 0;
}

static int open_replica(struct state *s, bool bootstrap)
{
	struct state_disk_options disk = {.dir = s->settings->data.p, .member = s->id};
	struct state_disk_loaded loaded;
	struct replica_members first = {0};
	uint64_t peers[STATE_MAX_PEERS];
	struct replica_options opt = {
		.host = &s->disk.host,
		.id = s->id,
		.peers = peers,
		.n_peers = s->n_peers,
		.auto_admit = true,
		.snapshot_every = s->settings->limits.snapshot_entries,
	};
	int err = state_disk_open(&disk, &s->disk.disk, &loaded);

	if (err) {
		log_error("data-refused", "dir=%.*s error=\"%s\"",
			  STR_ARG(s->settings->data), cf_strerror(err));
		return err;
	}
	for (size_t i = 0; i < s->n_peers; i++)
		peers[i] = s->peers[i].id;
	if (bootstrap) {
		if (!loaded.fresh) {
			log_error("bootstrap-refused",
				  "reason=\"data directory is in use\"");
			err = CF_EEXIST;
			goto out;
		}
		first.n = 1;
		first.list[0] = (struct replica_member){
			.id = s->id, .identity = loaded.promise.identity, .voter = true};
		opt.bootstrap = &first;
	}
	opt.seed = (uint64_t)clock_wall_us() ^ s->id;
	opt.promise = loaded.promise;
	opt.snapshot = buf_str(&loaded.snapshot);
	opt.snapshot_index = loaded.snapshot_index;
	opt.snapshot_epoch = loaded.snapshot_epoch;
	opt.entries = loaded.entries;
	opt.n_entries = loaded.n_entries;
	err = replica_new(&opt, &s->replica, clock_us());
out:
	state_disk_loaded_free(&loaded);
	return err;
}

static int make_servers(struct state *s)
{
	struct rpc_server_options rpc = {
		.loop = s->loop,
		.host = &s->rpc_host,
		.address = s->settings->listen.rpc,
		.key = s->settings->cluster_key,
		.limits = s->limits,
	};
	struct http_server_options control = {
		.loop = s->loop,
		.host = &s->control_host,
		.address = s->settings->listen.control,
		.max_body = CONTROL_MAX_BODY,
		.max_connections = CONTROL_MAX_CONNECTIONS,
		.idle_timeout = CONTROL_IDLE_S,
		.limits = s->limits,
	};
	int err;

	s->rpc_host.ops = &rpc_ops;
	s->control_host.ops = &control_ops;
	err = rpc_server_new(&rpc, &s->rpc);
	if (err || control.address.len == 0)
		return err;
	return http_server_new(&control, &s->control);
}

/*
 * Starts the state role. bootstrap makes this process the first member of a new
 * cluster; its data directory must be empty (CF_EEXIST).
 */
int state_new(struct ev_loop *loop, struct settings *settings, struct metric_set *metrics,
	      struct server_limits *limits, bool bootstrap, struct state **out)
{
	struct state *s = calloc(1, sizeof(*s));
	int err;

	if (!s)
		return CF_ENOMEM;
	s->disk.host.ops = &replica_ops;
	s->loop = loop;
	s->settings = settings;
	s->metrics = metrics;
	s->limits = limits;
	s->id = member_id(settings->name);
	ev_timer_init(&s->timer, on_timer, 0, 0);
	ev_prepare_init(&s->prepare, on_prepare);
	s->timer.data = s;
	s->prepare.data = s;
	err = state_make_store(s);
	if (!err)
		err = connect_peers(s);
	if (!err)
		err = open_replica(s, bootstrap);
	if (!err)
		err = make_servers(s);
	if (err) {
		state_free(s);
		return err;
	}
	ev_prepare_start(loop, &s->prepare);
	*out = s;
	return 0;
}

/* Ends the process; what was accepted is on the disks of a quorum. */
void state_drain(struct state *s)
{
	s->draining = true;
	state_end_proposals(s, CF_EUNKNOWN);
	state_serve_watchers(s, true);
	replica_transfer_leadership(s->replica, clock_us());
	ev_break(s->loop, EVBREAK_ALL);
}

/* Why the loop ended, 0 for a planned stop. */
int state_failure(const struct state *s)
{
	return s->failure;
}

void state_free(struct state *s)
{
	if (!s)
		return;
	ev_timer_stop(s->loop, &s->timer);
	ev_prepare_stop(s->loop, &s->prepare);
	if (s->replica) {
		state_leading_stop(s);
		state_end_proposals(s, CF_EUNKNOWN);
		state_serve_watchers(s, true);
	}
	http_server_free(s->control);
	rpc_server_free(s->rpc);
	for (size_t i = 0; i < s->n_peers; i++)
		rpc_client_free(s->peers[i].client);
	replica_free(s->replica);
	state_disk_close(s->disk.disk);
	store_free(s->store);
	free(s);
}
