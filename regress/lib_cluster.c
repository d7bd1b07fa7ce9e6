#include "regress/lib_cluster.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/err.h"
#include "proto/codec.h"
#include "proto/replica.h"

struct event {
	int64_t at;
	uint64_t sequence;
	uint64_t node;
	uint64_t generation; /* 0: any */
	uint64_t from;	     /* 0: completion of a sync */
	uint64_t token;
	uint64_t covers;
	struct buf bytes;
};

/* Records the first violated rule. */
void cluster_fail(struct cluster *c, const char *fmt, ...)
{
	va_list ap;

	if (c->failure[0])
		return;
	va_start(ap, fmt);
	vsnprintf(c->failure, sizeof(c->failure), fmt, ap);
	va_end(ap);
}

#define TRACE(c, ...)                                         \
	do {                                                  \
		if ((c)->trace) {                             \
			printf("%lld ", (long long)(c)->now); \
			printf(__VA_ARGS__);                  \
		}                                             \
	} while (0)

/* --- events --- */

static bool event_before(const struct event *a, const struct event *b)
{
	return a->at < b->at || (a->at == b->at && a->sequence < b->sequence);
}

static void event_push(struct cluster *c, struct event e)
{
	size_t i;

	if (c->n_heap == c->cap_heap) {
		c->cap_heap = c->cap_heap ? c->cap_heap * 2 : 256;
		c->heap = realloc(c->heap, c->cap_heap * sizeof(*c->heap));
		if (!c->heap)
			abort();
	}
	e.sequence = ++c->sequence;
	for (i = c->n_heap++; i > 0 && event_before(&e, &c->heap[(i - 1) / 2]);
	     i = (i - 1) / 2)
		c->heap[i] = c->heap[(i - 1) / 2];
	c->heap[i] = e;
}

static struct event event_pop(struct cluster *c)
{
	struct event top = c->heap[0];
	struct event last = c->heap[--c->n_heap];
	size_t i = 0;

	for (;;) {
		size_t k = 2 * i + 1;

		if (k >= c->n_heap)
			break;
		if (k + 1 < c->n_heap && event_before(&c->heap[k + 1], &c->heap[k]))
			k++;
		if (!event_before(&c->heap[k], &last))
			break;
		c->heap[i] = c->heap[k];
		i = k;
	}
	if (c->n_heap)
		c->heap[i] = last;
	return top;
}

static int64_t between(struct cluster *c, int64_t low, int64_t high)
{
	return low + (int64_t)prng_below(&c->prng, (uint64_t)(high - low + 1));
}

static bool chance(struct cluster *c, unsigned int thousandths)
{
	return prng_below(&c->prng, 1000) < thousandths;
}

/* --- clocks --- */

int64_t cluster_clock(const struct node *n)
{
	int64_t t = n->c->now;

	return n->clock_offset + t + t / 1000000 * n->clock_drift +
	       t % 1000000 * n->clock_drift / 1000000;
}

/* True time at which the node's clock has about reached a value, or now. */
static int64_t clock_reaches(const struct node *n, int64_t local)
{
	int64_t wait = local - cluster_clock(n);

	return wait <= 0 ? n->c->now
			 : n->c->now + wait - wait * n->clock_drift / 1000000 + 1;
}

/* --- disks --- */

static struct replica_entry entry_dup(const struct replica_entry *e)
{
	struct replica_entry d = *e;

	d.data.p = str_dup(e->data);
	return d;
}

static void disk_add(struct disk *d, const struct replica_entry *e)
{
	if (d->n == d->cap) {
		d->cap = d->cap ? d->cap * 2 : 64;
		d->log = realloc(d->log, d->cap * sizeof(*d->log));
		if (!d->log)
			abort();
	}
	d->log[d->n++] = entry_dup(e);
}

static void disk_cut(struct disk *d, uint64_t from_index)
{
	while (d->n && d->base + d->n >= from_index)
		free((char *)(uintptr_t)d->log[--d->n].data.p);
	if (d->durable > d->base + d->n)
		d->durable = d->base + d->n;
}

static void disk_drop(struct disk *d, uint64_t index)
{
	size_t k = index > d->base ? (size_t)(index - d->base) : 0;

	if (k == 0)
		return;
	if (k > d->n) {
		disk_cut(d, 0);
	} else {
		for (size_t i = 0; i < k; i++)
			free((char *)(uintptr_t)d->log[i].data.p);
		d->n -= k;
		memmove(d->log, d->log + k, d->n * sizeof(*d->log));
	}
	d->base = index;
	if (d->durable < index)
		d->durable = index;
}

void disk_free(struct disk *d)
{
	disk_cut(d, 0);
	free(d->log);
	buf_free(&d->snapshot);
	*d = (struct disk){0};
}

void disk_copy(struct disk *to, const struct disk *from)
{
	*to = *from;
	to->snapshot = (struct buf){0};
	to->log = NULL;
	to->n = to->cap = 0;
	buf_set(&to->snapshot, buf_str(&from->snapshot));
	for (size_t i = 0; i < from->n; i++)
		disk_add(to, &from->log[i]);
}

/* --- host --- */

static struct node *node_of(struct replica_host *h)
{
	return (struct node *)h;
}

/* An answer may only rest on what is durable here. */
static void check_send(struct node *n, const struct replica_msg *m)
{
	bool promise = (m->kind == REPLICA_MSG_VOTE_REPLY ||
			m->kind == REPLICA_MSG_APPEND_REPLY) &&
		       m->ok;

	if (promise && n->disk.promise.epoch < m->epoch)
		cluster_fail(n->c,
			     "node %d answered epoch %d before its promise was durable",
			     (int)n->id, (int)m->epoch);
	if (m->kind == REPLICA_MSG_VOTE_REPLY && m->ok &&
	    n->disk.promise.vote != m->to_identity)
		cluster_fail(n->c, "node %d voted before its vote was durable",
			     (int)n->id);
	if (m->kind == REPLICA_MSG_APPEND_REPLY && m->ok && m->index > n->disk.durable)
		cluster_fail(n->c, "node %d acknowledged unsynced entry %d", (int)n->id,
			     (int)m->index);
}

static void host_send(struct replica_host *h, uint64_t to, const struct replica_msg *m)
{
	struct node *n = node_of(h);
	struct cluster *c = n->c;
	int copies = 1;

	check_send(n, m);
	if (to == 0 || to > c->n)
		return;
	copies += chance(c, c->duplicate);
	for (int i = 0; i < copies; i++) {
		struct event e = {.node = to, .from = n->id};

		if (replica_msg_encode(m, &e.bytes)) {
			cluster_fail(c, "message of kind %d does not encode", m->kind);
			return;
		}
		c->messages++;
		c->bytes += e.bytes.n;
		c->bytes_to[to] += e.bytes.n;
		c->bytes_from[n->id] += e.bytes.n;
		if (c->cut[n->id][to] || chance(c, c->drop)) {
			buf_free(&e.bytes);
			continue;
		}
		e.at = c->now + between(c, c->latency_min, c->latency_max);
		/* It waits for its disk and sends what follows after that. */
		if (n->frozen_until > c->now)
			e.at += n->frozen_until - c->now;
		if (c->bytes_per_ms) {
			if (c->link_free[to] < c->now)
				c->link_free[to] = c->now;
			c->link_free[to] += (int64_t)(e.bytes.n * 1000 / c->bytes_per_ms);
			e.at += c->link_free[to] - c->now;
		}
		if (chance(c, c->slow))
			e.at += between(c, 0, 900000);
		event_push(c, e);
	}
}

static int host_append(struct replica_host *h, const struct replica_entry *e, size_t k)
{
	struct node *n = node_of(h);

	if (n->disk_full)
		return CF_ENOSPACE;
	for (size_t i = 0; i < k; i++) {
		if (e[i].index != n->disk.base + n->disk.n + 1)
			cluster_fail(n->c, "node %d appends entry %d behind %d",
				     (int)n->id, (int)e[i].index,
				     (int)(n->disk.base + n->disk.n));
		disk_add(&n->disk, &e[i]);
	}
	return 0;
}

static int host_truncate(struct replica_host *h, uint64_t from_index)
{
	struct node *n = node_of(h);

	if (from_index <= n->applied)
		cluster_fail(n->c, "node %d truncates applied entry %d", (int)n->id,
			     (int)from_index);
	n->c->truncations++;
	disk_cut(&n->disk, from_index);
	if (from_index < n->truncated)
		n->truncated = from_index;
	return 0;
}

static int host_save_promise(struct replica_host *h, const struct replica_promise *p)
{
	struct node *n = node_of(h);

	if (n->disk_full)
		return CF_ENOSPACE;
	if (n->stalled_until > n->c->now && n->frozen_until < n->stalled_until)
		n->frozen_until = n->stalled_until;
	if (p->epoch < n->disk.promise.epoch)
		cluster_fail(n->c, "node %d lowers its promise", (int)n->id);
	if (p->epoch == n->disk.promise.epoch && n->disk.promise.vote &&
	    p->vote != n->disk.promise.vote)
		cluster_fail(n->c, "node %d votes twice in epoch %d", (int)n->id,
			     (int)p->epoch);
	n->disk.promise = *p;
	return 0;
}

static void host_sync(struct replica_host *h, uint64_t token)
{
	struct node *n = node_of(h);
	int64_t start = n->stalled_until > n->c->now ? n->stalled_until : n->c->now;

	n->truncated = UINT64_MAX;
	event_push(n->c,
		   (struct event){
			   .at = start + between(n->c, n->c->sync_min, n->c->sync_max),
			   .node = n->id,
			   .generation = n->generation,
			   .token = token,
			   .covers = n->disk.base + n->disk.n,
		   });
}

static uint64_t chain_next(uint64_t chain, const struct replica_entry *e, uint64_t *hash)
{
	uint64_t v[4] = {chain, e->index, e->epoch, (uint64_t)e->kind};

	*hash = XXH64(e->data.p, e->data.n, XXH64(v + 1, sizeof(v) - 8, 0));
	return XXH64(v, sizeof(v), *hash);
}

/* Two memberships in force one after the other differ by at most one voter. */
static void check_members(struct cluster *c, const struct replica_entry *e)
{
	const struct replica_members *old = &c->ref_members;
	struct replica_wire_members w = {0};
	struct replica_members m = {0};
	size_t changed = 0;

	if (codec_decode((xdrproc_t)xdr_replica_wire_members, &w, e->data))
		cluster_fail(c, "membership entry %d does not decode", (int)e->index);
	for (m.n = 0; m.n < w.list.list_len; m.n++) {
		m.list[m.n] = (struct replica_member){
			.id = w.list.list_val[m.n].id,
			.identity = w.list.list_val[m.n].identity,
			.voter = w.list.list_val[m.n].voter,
		};
	}
	codec_free((xdrproc_t)xdr_replica_wire_members, &w);
	c->changes++;
	for (size_t i = 0; i < old->n; i++) {
		bool found = false;

		for (size_t k = 0; k < m.n; k++)
			found = found || (m.list[k].identity == old->list[i].identity &&
					  m.list[k].voter);
		changed += old->list[i].voter && !found;
	}
	for (size_t k = 0; k < m.n; k++) {
		bool found = false;

		for (size_t i = 0; i < old->n; i++)
			found = found || (m.list[k].identity == old->list[i].identity &&
					  old->list[i].voter);
		changed += m.list[k].voter && !found;
	}
	if (changed > 1)
		cluster_fail(c, "entry %d changes %d voters at once", (int)e->index,
			     (int)changed);
	c->ref_members = m;
}

/* A quorum of the leader's voters must hold what it commits, on disk. */
static void check_quorum(struct node *n, uint64_t index)
{
	const struct replica_members *m = replica_members(n->r);
	size_t voters = 0;
	size_t holds = 0;

	n->c->committed_by.epoch = replica_epoch(n->r);
	n->c->committed_by.n = 0;
	for (size_t i = 0; i < m->n; i++) {
		const struct node *k = &n->c->node[m->list[i].id];

		bool held = k->disk.durable >= index ||
			    k->disk.promise.identity != m->list[i].identity;

		voters += m->list[i].voter;
		/* A disk that was lost after its answer counts. */
		holds += m->list[i].voter && held;
		if (m->list[i].voter && held)
			n->c->committed_by.identity[n->c->committed_by.n++] =
				m->list[i].identity;
	}
	if (holds < voters / 2 + 1)
		cluster_fail(n->c, "leader %d commits entry %d held by %d of %d voters",
			     (int)n->id, (int)index, (int)holds, (int)voters);
}

static void host_apply(struct replica_host *h, const struct replica_entry *e)
{
	struct node *n = node_of(h);
	struct cluster *c = n->c;
	uint64_t hash;

	if (e->index != n->applied + 1)
		cluster_fail(c, "node %d applies entry %d after %d", (int)n->id,
			     (int)e->index, (int)n->applied);
	n->applied = e->index;
	n->chain = chain_next(n->chain, e, &hash);
	if (e->index <= c->n_ref) {
		if (c->ref[e->index - 1].chain != n->chain)
			cluster_fail(
				c, "node %d applies another entry %d (epoch %d, not %d)",
				(int)n->id, (int)e->index, (int)e->epoch,
				(int)c->ref[e->index - 1].epoch);
		return;
	}
	if (n->r && replica_role(n->r) != REPLICA_LEADER)
		cluster_fail(c, "node %d applies entry %d before any leader", (int)n->id,
			     (int)e->index);
	if (n->r)
		check_quorum(n, e->index);
	if (c->n_ref == c->cap_ref) {
		c->cap_ref = c->cap_ref ? c->cap_ref * 2 : 1024;
		c->ref = realloc(c->ref, c->cap_ref * sizeof(*c->ref));
		if (!c->ref)
			abort();
	}
	c->ref[c->n_ref++] = (struct ref_entry){e->epoch, n->chain, hash};
	if (e->kind == REPLICA_MEMBERS)
		check_members(c, e);
}

static int host_take_snapshot(struct replica_host *h, struct buf *out)
{
	struct node *n = node_of(h);
	int err = buf_add(out, &n->chain, sizeof(n->chain));

	/* Filler, so that a snapshot takes several chunks. */
	for (size_t i = 0; !err && i < (n->c->state_bytes ? n->c->state_bytes : 640) / 16;
	     i++)
		err = buf_add(out, "0123456789abcdef", 16);
	return err;
}

static int host_check_snapshot(struct replica_host *h, struct str state)
{
	return state.n < sizeof(node_of(h)->chain) ? CF_EMALFORMED : 0;
}

static int host_load_snapshot(struct replica_host *h, uint64_t index, uint64_t epoch,
			      struct str state)
{
	struct node *n = node_of(h);

	if (state.n < sizeof(n->chain))
		return CF_EMALFORMED;
	memcpy(&n->chain, state.p, sizeof(n->chain));
	if (index > n->c->n_ref || n->c->ref[index - 1].chain != n->chain ||
	    n->c->ref[index - 1].epoch != epoch)
		cluster_fail(n->c, "node %d loads a wrong snapshot at %d", (int)n->id,
			     (int)index);
	n->applied = index;
	n->c->installs += n->r != NULL;
	return 0;
}

/*
 * A quorum of the leader's voters must have voted for it, and one of them at least must
 * belong to the quorum that held the newest committed entry of an earlier epoch.
 */
static void check_election(struct node *n, uint64_t epoch)
{
	const struct replica_members *m = replica_members(n->r);
	struct cluster *c = n->c;
	size_t voters = 0;
	size_t votes = 0;
	bool meets = c->committed_by.n == 0 || c->committed_by.epoch >= epoch;

	for (size_t i = 0; i < m->n; i++) {
		const struct replica_promise *p = &c->node[m->list[i].id].disk.promise;
		/* A vote for a later candidate has replaced the one for this epoch. */
		bool vote = p->identity != m->list[i].identity || p->epoch > epoch ||
			    (p->epoch == epoch && p->vote == n->disk.promise.identity);

		if (!m->list[i].voter)
			continue;
		voters++;
		if (!vote)
			continue;
		votes++;
		for (size_t k = 0; k < c->committed_by.n; k++)
			meets = meets ||
				c->committed_by.identity[k] == m->list[i].identity;
	}
	if (votes < voters / 2 + 1)
		cluster_fail(c, "node %d leads with %d votes of %d", (int)n->id,
			     (int)votes, (int)voters);
	if (!meets)
		cluster_fail(c, "the quorum that elects node %d misses the last commit",
			     (int)n->id);
}

static void host_role_changed(struct replica_host *h, enum replica_role role,
			      uint64_t epoch, uint64_t leader)
{
	struct node *n = node_of(h);
	struct cluster *c = n->c;

	TRACE(c, "node %d role %d epoch %d leader %d\n", (int)n->id, (int)role,
	      (int)epoch, (int)leader);
	if (role == REPLICA_FAILED && !n->fail_sync)
		cluster_fail(c, "node %d failed", (int)n->id);
	if (role == REPLICA_EXCLUDED && !c->expect_excluded)
		cluster_fail(c, "node %d is excluded with an intact directory",
			     (int)n->id);
	if (role != REPLICA_LEADER)
		return;
	c->elections++;
	check_election(n, epoch);
	for (size_t i = 0; i < c->n_leaders; i++) {
		if (c->leader_of[i].epoch == epoch)
			cluster_fail(c, "nodes %d and %d lead epoch %d",
				     (int)c->leader_of[i].node, (int)n->id, (int)epoch);
	}
	if (c->n_leaders < sizeof(c->leader_of) / sizeof(c->leader_of[0])) {
		c->leader_of[c->n_leaders].epoch = epoch;
		c->leader_of[c->n_leaders++].node = n->id;
	}
}

static int host_save_snapshot(struct replica_host *h, uint64_t index, uint64_t epoch,
			      struct str bytes)
{
	struct node *n = node_of(h);

	if (n->disk_full)
		return CF_ENOSPACE;
	n->disk.snapshot_index = index;
	n->disk.snapshot_epoch = epoch;
	return buf_set(&n->disk.snapshot, bytes);
}

static int host_compact(struct replica_host *h, uint64_t index)
{
	disk_drop(&node_of(h)->disk, index);
	return 0;
}

static void host_member_step(struct replica_host *h, enum replica_member_step step,
			     const struct replica_member *m, int64_t silent_us)
{
	TRACE(node_of(h)->c, "node %d step %d for %d, silent for %d ms\n",
	      (int)node_of(h)->id, (int)step, (int)m->id, (int)(silent_us / 1000));
}

static const struct replica_ops host_ops = {
	.send = host_send,
	.append = host_append,
	.truncate = host_truncate,
	.save_promise = host_save_promise,
	.sync = host_sync,
	.apply = host_apply,
	.take_snapshot = host_take_snapshot,
	.check_snapshot = host_check_snapshot,
	.load_snapshot = host_load_snapshot,
	.role_changed = host_role_changed,
	.save_snapshot = host_save_snapshot,
	.compact = host_compact,
	.member_step = host_member_step,
};

/* --- nodes --- */

/* Ends the process; a part of the unsynced log tail may have reached the disk. */
void node_crash(struct node *n)
{
	struct disk *d = &n->disk;
	uint64_t written = d->base + d->n;

	TRACE(n->c, "node %d crashes\n", (int)n->id);
	n->c->crashes++;
	replica_free(n->r);
	n->r = NULL;
	n->generation++;
	n->frozen_until = 0;
	if (written > d->durable)
		disk_cut(d, d->durable + 1 +
				    prng_below(&n->c->prng, written - d->durable + 1));
	d->durable = d->base + d->n;
	n->applied = 0;
	n->chain = 0;
}

/* Starts the process from its disk. */
void node_boot(struct node *n)
{
	struct replica_options opt = n->c->opt;
	uint64_t peers[REPLICA_MAX_MEMBERS];
	bool first = n->disk.promise.epoch == 0 && n->disk.snapshot.n == 0;
	int err;

	opt.n_peers = n->c->n < REPLICA_MAX_MEMBERS ? n->c->n : REPLICA_MAX_MEMBERS;
	for (size_t i = 0; i < opt.n_peers; i++)
		peers[i] = n->c->n - i; /* the newest */
	opt.host = &n->host;
	opt.id = n->id;
	opt.seed = prng_next(&n->c->prng);
	opt.peers = peers;
	opt.promise = n->disk.promise;
	opt.snapshot = buf_str(&n->disk.snapshot);
	opt.snapshot_index = n->disk.snapshot_index;
	opt.snapshot_epoch = n->disk.snapshot_epoch;
	opt.entries = n->disk.log;
	opt.n_entries = n->disk.n;
	for (size_t i = 0; first && i < n->c->bootstrap.n; i++) {
		if (n->c->bootstrap.list[i].identity == n->disk.promise.identity)
			opt.bootstrap = &n->c->bootstrap;
	}
	err = replica_new(&opt, &n->r, cluster_clock(n));
	if (err)
		cluster_fail(n->c, "node %d does not start: %s", (int)n->id,
			     cf_strerror(err));
}

/* Replaces the disk of a stopped node by an empty one. */
void node_wipe(struct node *n)
{
	n->c->wipes++;
	disk_free(&n->disk);
	n->disk.promise.identity = prng_next(&n->c->prng) | 1;
}

void node_freeze(struct node *n, int64_t span_us)
{
	TRACE(n->c, "node %d freezes for %d\n", (int)n->id, (int)span_us);
	n->frozen_until = n->c->now + span_us;
}

/*
 * Syncs that begin within the span end after it. The process goes on, but a promise
 * blocks it.
 */
void node_stall(struct node *n, int64_t span_us)
{
	TRACE(n->c, "disk of node %d stalls for %d\n", (int)n->id, (int)span_us);
	n->stalled_until = n->c->now + span_us;
}

/* --- cluster --- */

/* Makes a node with a new id and an empty disk, which node_boot() starts. */
struct node *cluster_add(struct cluster *c)
{
	struct node *n = &c->node[++c->n];

	*n = (struct node){
		.host.ops = &host_ops,
		.c = c,
		.id = c->n,
		.generation = 1,
		.clock_offset = between(c, 0, 1000000000),
		.clock_drift = between(c, -1000, 1000),
	};
	n->disk.promise.identity = prng_next(&c->prng) | 1;
	return n;
}

/* Starts voters 1..voters and learners behind them, which ask for admission. */
void cluster_start(struct cluster *c, uint64_t seed, size_t voters, size_t learners)
{
	c->prng.state = seed;
	if (c->latency_max == 0) {
		c->latency_min = 1000;
		c->latency_max = 3000;
	}
	if (c->sync_max == 0) {
		c->sync_min = 500;
		c->sync_max = 4000;
	}
	while (c->n < voters + learners) {
		struct node *n = cluster_add(c);

		if (n->id <= voters)
			c->bootstrap.list[c->bootstrap.n++] = (struct replica_member){
				.id = n->id,
				.identity = n->disk.promise.identity,
				.voter = true,
			};
	}
	c->ref_members = c->bootstrap;
	for (size_t i = 1; i <= c->n; i++)
		node_boot(&c->node[i]);
}

void cluster_stop(struct cluster *c)
{
	for (size_t i = 1; i <= c->n; i++) {
		replica_free(c->node[i].r);
		disk_free(&c->node[i].disk);
	}
	for (size_t i = 0; i < c->n_heap; i++)
		buf_free(&c->heap[i].bytes);
	free(c->heap);
	free(c->ref);
	*c = (struct cluster){0};
}

/* Rules that hold between any two events. */
static void check_leases(struct cluster *c)
{
	const struct node *holder = NULL;

	for (size_t i = 1; i <= c->n; i++) {
		const struct node *n = &c->node[i];

		if (!n->r || !replica_lease_valid(n->r, cluster_clock(n)))
			continue;
		if (holder)
			cluster_fail(c, "nodes %d and %d hold valid leases",
				     (int)holder->id, (int)n->id);
		holder = n;
		if (n->applied != c->n_ref)
			cluster_fail(c, "leaseholder %d has applied %d of %d", (int)n->id,
				     (int)n->applied, (int)c->n_ref);
	}
}

static void deliver(struct cluster *c, struct event *e)
{
	struct node *n = &c->node[e->node];
	struct replica_msg *m;

	if (!n->r || (e->generation && e->generation != n->generation)) {
		buf_free(&e->bytes);
		return;
	}
	if (c->now < n->frozen_until) {
		e->at = n->frozen_until + between(c, 0, 2000);
		event_push(c, *e);
		return;
	}
	if (!e->from) {
		if (n->fail_sync) {
			replica_sync_failed(n->r, CF_EIO);
			return;
		}
		if (e->covers >= n->truncated)
			e->covers = n->truncated - 1;
		if (n->disk.durable < e->covers)
			n->disk.durable = e->covers;
		replica_synced(n->r, e->token, cluster_clock(n));
		return;
	}
	if (replica_msg_decode(buf_str(&e->bytes), &m)) {
		cluster_fail(c, "message does not decode");
	} else {
		replica_receive(n->r, e->from, m, cluster_clock(n));
		replica_msg_free(m);
	}
	buf_free(&e->bytes);
}

/* Handles the next event before until. Returns false when there is none. */
bool cluster_step(struct cluster *c, int64_t until)
{
	int64_t at = c->n_heap ? c->heap[0].at : INT64_MAX;
	struct node *due = NULL;

	for (size_t i = 1; i <= c->n; i++) {
		struct node *n = &c->node[i];
		int64_t t;

		if (!n->r || replica_deadline(n->r) == INT64_MAX)
			continue;
		t = clock_reaches(n, replica_deadline(n->r));
		if (t < n->frozen_until)
			t = n->frozen_until;
		if (t < at) {
			at = t;
			due = n;
		}
	}
	if (at > until) {
		c->now = until;
		return false;
	}
	if (at > c->now) {
		c->now = at;
		c->still = 0;
	} else if (++c->still > 100000) {
		cluster_fail(c, "time stands still, node %d is due",
			     due ? (int)due->id : 0);
		return false;
	}
	check_leases(c);
	if (due) {
		replica_tick(due->r, cluster_clock(due));
	} else {
		struct event e = event_pop(c);

		deliver(c, &e);
	}
	check_leases(c);
	return true;
}

void cluster_run(struct cluster *c, int64_t span_us)
{
	int64_t until = c->now + span_us;

	while (!c->failure[0] && cluster_step(c, until))
		;
}

/* The leader that is ready and has a valid lease, or NULL. */
struct node *cluster_leader(struct cluster *c)
{
	for (size_t i = 1; i <= c->n; i++) {
		struct node *n = &c->node[i];

		if (n->r && replica_lease_valid(n->r, cluster_clock(n)))
			return n;
	}
	return NULL;
}

bool cluster_run_to_leader(struct cluster *c, int64_t span_us)
{
	int64_t until = c->now + span_us;

	while (!c->failure[0] && !cluster_leader(c)) {
		if (!cluster_step(c, until))
			return false;
	}
	return !c->failure[0];
}

/* Proposes unique bytes of about that size. */
int cluster_propose(struct node *n, size_t size, uint64_t *index)
{
	char bytes[4096];
	int64_t now = cluster_clock(n);

	if (size > sizeof(bytes))
		size = sizeof(bytes);
	for (size_t i = 0; i < size; i += 8) {
		uint64_t v = prng_next(&n->c->prng);

		memcpy(bytes + i, &v, size - i < 8 ? size - i : 8);
	}
	if (!n->r)
		return CF_EUNAVAIL;
	return replica_propose(n->r, (struct str){bytes, size}, now, index);
}

void cluster_isolate(struct cluster *c, uint64_t id, bool cut)
{
	for (size_t i = 1; i <= c->n; i++)
		c->cut[i][id] = c->cut[id][i] = cut;
}

/* Ends all faults and starts all nodes. */
void cluster_heal(struct cluster *c)
{
	memset(c->cut, 0, sizeof(c->cut));
	c->drop = c->duplicate = c->slow = 0;
	for (size_t i = 1; i <= c->n; i++) {
		c->node[i].frozen_until = 0;
		c->node[i].stalled_until = 0;
		c->node[i].disk_full = false;
		if (!c->node[i].r)
			node_boot(&c->node[i]);
	}
}

/* Runs until a new proposal is applied by every member. */
bool cluster_settle(struct cluster *c, int64_t span_us)
{
	int64_t until = c->now + span_us;
	uint64_t index = 0;
	uint64_t target = 0;

	while (!c->failure[0]) {
		struct node *leader = cluster_leader(c);
		size_t done = 0;

		if (leader && (!target || c->n_ref < target)) {
			if (!cluster_propose(leader, 32, &index))
				target = index;
		}
		cluster_run(c, 200000);
		for (size_t i = 0; i < c->ref_members.n; i++) {
			const struct node *n = &c->node[c->ref_members.list[i].id];

			done += n->r && n->applied >= target &&
				n->disk.promise.identity ==
					c->ref_members.list[i].identity;
		}
		if (target && c->n_ref >= target && done == c->ref_members.n)
			return true;
		if (c->now >= until)
			return false;
	}
	return false;
}
