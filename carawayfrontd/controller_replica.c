/* Connects the replica to the data directory and to the other controllers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base/err.h"
#include "carawayfrontd/controller_impl.h"
#include "carawayfrontd/node_id.h"
#include "io/clock.h"
#include "io/log.h"
#include "proto/peer.h"

/* Commits survive the loss of two voters' disks: three of five hold each entry. */
#define MAX_VOTERS 5U
#define MAX_FOUNDERS 3U

static struct controller_peer *find_peer(struct controller *c, uint64_t id)
{
	for (size_t i = 0; i < c->n_peers; i++)
		if (c->peers[i].id == id)
			return &c->peers[i];
	return NULL;
}

/* Once until the peer is heard again, however many connections are replaced. */
static void on_silent(struct rpc_client_host *host)
{
	struct controller_peer *p = (struct controller_peer *)host;

	log_warn("peer-silent", "peer=%llx", (unsigned long long)p->id);
	++*metric_counter(p->controller->metrics, "carawayfront_silent_peers_total", "");
}

static void on_heard(struct rpc_client_host *host, unsigned int replaced)
{
	struct controller_peer *p = (struct controller_peer *)host;

	log_info("peer-heard", "peer=%llx connections=%u", (unsigned long long)p->id,
		 replaced);
}

static const struct rpc_client_ops peer_ops = {.silent = on_silent, .heard = on_heard};

static struct controller_peer *make_peer(struct controller *c, uint64_t id)
{
	struct rpc_client_options opt = {
		.loop = c->loop,
		.member = c->settings->name,
		.key = c->settings->cluster_key,
		.probe_period = REPLICA_PROBE_S,
	};
	struct controller_peer *p = find_peer(c, id);
	struct rpc_client *client;

	if (p)
		return p;
	if (node_addr(id, &opt.address))
		return NULL;
	/* The oldest makes room; it is made again when it is needed. */
	p = &c->peers[c->n_peers < CONTROLLER_MAX_PEERS ? c->n_peers : c->oldest_peer];
	opt.host = &p->host;
	if (rpc_client_new(&opt, &client))
		return NULL;
	if (c->n_peers < CONTROLLER_MAX_PEERS) {
		c->n_peers++;
	} else {
		rpc_client_free(p->client);
		c->oldest_peer = (c->oldest_peer + 1) % CONTROLLER_MAX_PEERS;
	}
	*p = (struct controller_peer){
		.host = {.ops = &peer_ops},
		.controller = c,
		.id = id,
		.client = client,
	};
	return p;
}

static void op_send(struct replica_host *host, uint64_t to, const struct replica_msg *m)
{
	struct controller *c = (struct controller *)host;
	struct controller_peer *p = make_peer(c, to);
	struct buf bytes = {0};
	char from[sizeof(c->id)];

	if (!p)
		return;
	/* The sender's id goes before the message. */
	memcpy(from, &c->id, sizeof(from));
	if (!buf_add(&bytes, from, sizeof(from)) && !replica_msg_encode(m, &bytes))
		rpc_client_post(p->client, PEER_REPLICA, buf_str(&bytes));
	buf_free(&bytes);
}

/* Takes a message of another controller's replica. */
void controller_on_replica(struct controller *c, struct str member, struct str bytes)
{
	struct replica_msg *m = NULL;
	uint64_t from;

	if (bytes.n < sizeof(from))
		return;
	memcpy(&from, bytes.p, sizeof(from));
	bytes.p += sizeof(from);
	bytes.n -= sizeof(from);
	if (!replica_msg_decode(bytes, &m))
		replica_receive(c->replica, from, m, clock_us());
	replica_msg_free(m);
}

static void op_apply(struct replica_host *host, const struct replica_entry *e)
{
	struct controller *c = (struct controller *)host;
	int err;

	c->state->clock_us = clock_us();
	c->state->index = e->index;
	dag_state_enter_epoch(c->state, e->epoch);
	err = e->kind == REPLICA_DATA ? dag_state_apply(c->state, e->data) : 0;

	if (err) {
		log_error("apply-failed", "index=%llu error=\"%s\"",
			  (unsigned long long)e->index, cf_strerror(err));
		c->failure = err;
		return;
	}
	controller_applied(c, e->index);
}

static int op_take_snapshot(struct replica_host *host, struct buf *out)
{
	return dag_state_snapshot(((struct controller *)host)->state, out);
}

static int op_check_snapshot(struct replica_host *host, struct str bytes)
{
	int err = dag_state_check_snapshot(bytes);

	if (err)
		log_error("snapshot-refused", "bytes=%zu error=\"%s\"", bytes.n,
			  cf_strerror(err));
	return err;
}

static int op_load_snapshot(struct replica_host *host, uint64_t index, uint64_t epoch,
			    struct str bytes)
{
	struct controller *c = (struct controller *)host;
	int err;

	/* The scheduler's view refers to the state that is replaced. */
	if (c->sched)
		controller_sched_stop(c);
	c->state->clock_us = clock_us();
	c->state->index = index;
	err = dag_state_restore(c->state, bytes);
	log_info("snapshot-loaded", "index=%llu epoch=%llu bytes=%zu error=\"%s\"",
		 (unsigned long long)index, (unsigned long long)epoch, bytes.n,
		 cf_strerror(err));
	return err;
}

static void op_role_changed(struct replica_host *host, enum replica_role role,
			    uint64_t epoch, uint64_t leader)
{
	struct controller *c = (struct controller *)host;

	log_info("role-changed", "role=%d epoch=%llu leader=%llx", (int)role,
		 (unsigned long long)epoch, (unsigned long long)leader);
	++*metric_counter(c->metrics, "carawayfront_role_changes_total", "");
	/*
	 * The scheduler observes the state. As a follower this process may apply what it
	 * proposed, which the next leader sends to the workers.
	 */
	if (role != REPLICA_LEADER && c->sched) {
		controller_end_waits(c, DAG_UNKNOWN);
		controller_sched_stop(c);
	}
}

/* One line when the wait starts and one when it ends. */
static void op_hello_wait(struct replica_host *host, const struct replica_hello *w)
{
	char members[REPLICA_MAX_MEMBERS * 17 + 1] = "";
	size_t n = 0;

	if (!w->ended) {
		log_info("replica-waits", "needed=%zu", w->needed);
		return;
	}
	for (size_t i = 0; i < w->n_replied; i++)
		n += (size_t)snprintf(members + n, sizeof(members) - n, "%s%llx",
				      i ? "," : "", (unsigned long long)w->replied[i]);
	log_info("replica-verified", "ms=%lld needed=%zu replies=%s leader=%llx",
		 (long long)(w->waited_us / 1000), w->needed, n ? members : "none",
		 (unsigned long long)w->leader);
}

static void op_member_step(struct replica_host *host, enum replica_member_step step,
			   const struct replica_member *m, int64_t silent_us)
{
	static const char *const names[] = {
		[REPLICA_MEMBER_ASKS] = "asks",
		[REPLICA_MEMBER_ADMITTED] = "admitted",
		[REPLICA_MEMBER_PROMOTED] = "promoted",
		[REPLICA_MEMBER_REPLACED] = "replaced",
		[REPLICA_MEMBER_GIVEN_UP] = "given-up",
		[REPLICA_MEMBER_LEFT] = "left",
	};

	log_info("member-step", "step=%s member=%llx identity=%llx silent-ms=%lld",
		 names[step], (unsigned long long)m->id, (unsigned long long)m->identity,
		 (long long)(silent_us / 1000));
}

static const struct replica_ops replica_ops = {
	.send = op_send,
	.append = disk_host_append,
	.truncate = disk_host_truncate,
	.save_promise = disk_host_save_promise,
	.sync = disk_host_sync,
	.apply = op_apply,
	.take_snapshot = op_take_snapshot,
	.check_snapshot = op_check_snapshot,
	.load_snapshot = op_load_snapshot,
	.role_changed = op_role_changed,
	.save_snapshot = disk_host_save_snapshot,
	.compact = disk_host_compact,
	.hello_wait = op_hello_wait,
	.member_step = op_member_step,
};

/*
 * Identity of a founder's data directory. All founders know it, so that they start from
 * one membership without a message; a directory that is made later has a random one.
 */
static uint64_t founder_identity(uint64_t id)
{
	uint64_t identity = XXH3_64bits(&id, sizeof(id));

	return identity ? identity : 1;
}

/* The seeds as first voters; false when this process is none of them. */
static bool list_founders(const struct controller *c, struct replica_members *m)
{
	const struct settings_seed *seeds = c->settings->seeds.items;
	bool self = false;

	m->n = 0;
	for (size_t i = 0; i < c->settings->seeds.n && i < MAX_FOUNDERS; i++) {
		uint64_t id = node_id_with_port(&seeds[i].address,
						addr_port(&c->settings->listen.rpc));

		self = self || id == c->id;
		m->list[m->n++] = (struct replica_member){
			.id = id, .identity = founder_identity(id), .voter = true};
	}
	return self;
}

/*
 * Opens the data directory and starts the replica. Only a seed with an empty directory
 * and the setting "found" starts from the founders' membership.
 */
int controller_open_replica(struct controller *c)
{
	struct replica_members founders;
	bool founder = list_founders(c, &founders) && c->settings->found;
	struct state_disk_options disk = {
		.dir = c->settings->data.p,
		.member = c->id,
		.identity = founder ? founder_identity(c->id) : 0,
	};
	struct state_disk_loaded loaded;
	uint64_t peers[REPLICA_MAX_MEMBERS];
	struct replica_options opt = {
		.host = &c->disk.host,
		.id = c->id,
		.peers = peers,
		.auto_admit = true,
		.admit_any = true,
		.max_voters = MAX_VOTERS,
	};
	int err;

	c->disk.host.ops = &replica_ops;
	err = state_disk_open(&disk, &c->disk.disk, &loaded);
	if (err) {
		log_error("data-refused", "dir=%.*s error=\"%s\"",
			  STR_ARG(c->settings->data), cf_strerror(err));
		return err;
	}
	opt.n_peers = dag_client_nodes(c->client, peers, REPLICA_MAX_MEMBERS);
	if (loaded.promise.identity == founder_identity(c->id) && !loaded.snapshot.n &&
	    !loaded.n_entries)
		opt.bootstrap = &founders;
	opt.seed = (uint64_t)clock_wall_us() ^ c->id;
	opt.promise = loaded.promise;
	opt.snapshot = buf_str(&loaded.snapshot);
	opt.snapshot_index = loaded.snapshot_index;
	opt.snapshot_epoch = loaded.snapshot_epoch;
	opt.entries = loaded.entries;
	opt.n_entries = loaded.n_entries;
	err = replica_new(&opt, &c->replica, clock_us());
	log_info("replica-opened", "fresh=%d founder=%d entries=%zu error=\"%s\"",
		 loaded.fresh, opt.bootstrap != NULL, loaded.n_entries, cf_strerror(err));
	state_disk_loaded_free(&loaded);
	return err;
}

void controller_close_replica(struct controller *c)
{
	for (size_t i = 0; i < c->n_peers; i++)
		rpc_client_free(c->peers[i].client);
	c->n_peers = 0;
	replica_free(c->replica);
	state_disk_close(c->disk.disk);
}

/* Writes the members' ids, at most DAG_MAX_MEMBERS, and returns the leader's, or 0. */
uint64_t controller_members(const struct controller *c, uint64_t *ids, size_t *n)
{
	const struct replica_members *m = replica_members(c->replica);

	*n = 0;
	for (size_t i = 0; i < m->n && *n < DAG_MAX_MEMBERS; i++)
		ids[(*n)++] = m->list[i].id;
	return replica_leader(c->replica);
}
