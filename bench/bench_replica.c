#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include "base/err.h"
#include "base/hist.h"
#include "io/promise.h"
#include "io/snapfile.h"
#include "io/wal.h"
#include "regress/lib_cluster.h"

/* Lines "name value unit baseline ratio"; the baseline is from the same run. */

#define SECOND 1000000LL
#define REPLICAS 3
#define MEASURE_US (2 * SECOND)
#define VALUE_BYTES 256
#define MAX_CLIENTS 256
#define RECOVERY_SEEDS 200

static void die(const char *what, int err)
{
	fprintf(stderr, "bench_replica: %s: %s\n", what, cf_strerror(err));
	exit(EXIT_FAILURE);
}

static void line(const char *name, double value, const char *unit, double baseline)
{
	printf("%s %.4g %s %.4g %.3f\n", name, value, unit, baseline,
	       baseline > 0 ? value / baseline : 0);
	fflush(stdout);
}

static int64_t clock_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return t.tv_sec * SECOND + t.tv_nsec / 1000;
}

/* --- real files: one thread for each replica's fdatasync, as in three processes --- */

struct message {
	uint64_t from, to;
	struct replica_msg *msg;
};

struct files {
	struct replica_host host; /* first */
	struct bench *b;
	uint64_t id;
	struct replica *r;
	struct wal *wal;
	char dir[96];
	pthread_t thread;
	pthread_cond_t wake;
	uint64_t token; /* requested sync, 0: none */
	uint64_t done;	/* finished sync, 0: none */
	bool quit;
};

struct bench {
	struct files node[REPLICAS + 1];
	struct message queue[65536];
	size_t head, tail;
	pthread_mutex_t lock;
	pthread_cond_t finished;
	uint64_t index_of[MAX_CLIENTS];
	int64_t started_at[MAX_CLIENTS];
	size_t clients;
	uint64_t commits;
	struct hist latency;
};

static struct files *files_of(struct replica_host *h)
{
	return (struct files *)h;
}

static void files_send(struct replica_host *h, uint64_t to, const struct replica_msg *m)
{
	struct files *f = files_of(h);
	struct bench *b = f->b;
	struct buf bytes = {0};
	struct replica_msg *copy;
	int err;

	if (b->tail - b->head == sizeof(b->queue) / sizeof(b->queue[0]))
		return;
	if ((err = replica_msg_encode(m, &bytes)) ||
	    (err = replica_msg_decode(buf_str(&bytes), &copy)))
		die("message", err);
	buf_free(&bytes);
	b->queue[b->tail++ % (sizeof(b->queue) / sizeof(b->queue[0]))] =
		(struct message){f->id, to, copy};
}

static int files_append(struct replica_host *h, const struct replica_entry *e, size_t n)
{
	for (size_t i = 0; i < n;) {
		struct wal_record rec[256];
		size_t k;

		for (k = 0; k < 256 && i < n; k++, i++) {
			rec[k] = (struct wal_record){
				.index = e[i].index,
				.epoch = e[i].epoch,
				.kind = (uint32_t)e[i].kind,
				.data = e[i].data,
			};
		}
		if (wal_append(files_of(h)->wal, rec, k))
			return wal_failure(files_of(h)->wal);
	}
	return 0;
}

static int files_truncate(struct replica_host *h, uint64_t from_index)
{
	return wal_truncate(files_of(h)->wal, from_index);
}

static int files_save_promise(struct replica_host *h, const struct replica_promise *p)
{
	struct promise file = {
		.member = files_of(h)->id,
		.identity = p->identity,
		.epoch = p->epoch,
		.vote = p->vote,
	};

	return promise_save(files_of(h)->dir, NULL, &file);
}

static void files_sync(struct replica_host *h, uint64_t token)
{
	struct files *f = files_of(h);

	pthread_mutex_lock(&f->b->lock);
	f->token = token;
	pthread_cond_signal(&f->wake);
	pthread_mutex_unlock(&f->b->lock);
}

static void *files_thread(void *arg)
{
	struct files *f = arg;
	struct bench *b = f->b;

	pthread_mutex_lock(&b->lock);
	while (!f->quit) {
		uint64_t token = f->token;

		if (!token) {
			pthread_cond_wait(&f->wake, &b->lock);
			continue;
		}
		f->token = 0;
		pthread_mutex_unlock(&b->lock);
		if (wal_sync(f->wal))
			die("fdatasync", CF_EIO);
		pthread_mutex_lock(&b->lock);
		f->done = token;
		pthread_cond_signal(&b->finished);
	}
	pthread_mutex_unlock(&b->lock);
	return NULL;
}

static void files_apply(struct replica_host *h, const struct replica_entry *e)
{
	struct bench *b = files_of(h)->b;
	uint32_t client;

	if (e->kind != REPLICA_DATA || replica_role(files_of(h)->r) != REPLICA_LEADER)
		return;
	memcpy(&client, e->data.p, sizeof(client));
	b->index_of[client] = 0;
	b->commits++;
	hist_add(&b->latency, (uint64_t)(clock_us() - b->started_at[client]));
}

static int files_take(struct replica_host *h, struct buf *out)
{
	return buf_adds(out, "state");
}

static int files_load(struct replica_host *h, uint64_t index, uint64_t epoch,
		      struct str state)
{
	return 0;
}

static int files_save(struct replica_host *h, uint64_t index, uint64_t epoch,
		      struct str bytes)
{
	return snapfile_save(files_of(h)->dir, NULL, index, epoch, bytes);
}

static int files_check(struct replica_host *h, struct str state)
{
	return 0;
}

static int files_compact(struct replica_host *h, uint64_t index)
{
	return wal_compact(files_of(h)->wal, index);
}

static const struct replica_ops files_ops = {
	.send = files_send,
	.append = files_append,
	.truncate = files_truncate,
	.save_promise = files_save_promise,
	.sync = files_sync,
	.apply = files_apply,
	.take_snapshot = files_take,
	.check_snapshot = files_check,
	.load_snapshot = files_load,
	.save_snapshot = files_save,
	.compact = files_compact,
};

/* Delivers messages and finished syncs until nothing is left. */
static void bench_pump(struct bench *b)
{
	bool busy = true;

	while (busy) {
		busy = false;
		for (size_t i = 1; i <= REPLICAS; i++) {
			uint64_t done;

			pthread_mutex_lock(&b->lock);
			done = b->node[i].done;
			b->node[i].done = 0;
			pthread_mutex_unlock(&b->lock);
			if (done) {
				replica_synced(b->node[i].r, done, clock_us());
				busy = true;
			}
		}
		while (b->head < b->tail) {
			struct message m = b->queue[b->head++ % (sizeof(b->queue) /
								 sizeof(b->queue[0]))];

			replica_receive(b->node[m.to].r, m.from, m.msg, clock_us());
			replica_msg_free(m.msg);
			busy = true;
		}
	}
}

/* Waits at most 1 ms for a finished sync. */
static void bench_wait(struct bench *b)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	t.tv_nsec += 1000000;
	if (t.tv_nsec >= 1000000000) {
		t.tv_nsec -= 1000000000;
		t.tv_sec++;
	}
	pthread_mutex_lock(&b->lock);
	if (!b->node[1].done && !b->node[2].done && !b->node[3].done)
		pthread_cond_timedwait(&b->finished, &b->lock, &t);
	pthread_mutex_unlock(&b->lock);
}

static void bench_propose(struct bench *b, struct replica *leader)
{
	char value[VALUE_BYTES] = {0};

	for (uint32_t i = 0; i < b->clients; i++) {
		uint64_t index;
		int64_t now = clock_us();

		if (b->index_of[i])
			continue;
		memcpy(value, &i, sizeof(i));
		if (replica_propose(leader, (struct str){value, sizeof(value)}, now,
				    &index))
			return;
		b->index_of[i] = index;
		b->started_at[i] = now;
	}
}

/* Commits per second of closed-loop clients on real files; *latency gets the rest. */
static double files_run(const char *root, size_t clients, bool group,
			struct hist *latency)
{
	static struct bench b;
	struct replica_members members = {.n = REPLICAS};
	struct replica *leader = NULL;
	int64_t start = 0;
	int64_t now;
	double rate;

	memset(&b, 0, sizeof(b));
	pthread_mutex_init(&b.lock, NULL);
	pthread_cond_init(&b.finished, NULL);
	b.clients = clients;
	for (size_t i = 1; i <= REPLICAS; i++)
		members.list[i - 1] = (struct replica_member){i, 100 + i, true};
	for (size_t i = 1; i <= REPLICAS; i++) {
		struct files *f = &b.node[i];
		struct wal_options wo = {.dir = f->dir};
		struct replica_options opt = {
			.host = &f->host,
			.id = i,
			.seed = i,
			.bootstrap = &members,
			.promise.identity = 100 + i,
			.no_group_commit = !group,
			.no_snapshots = true,
		};
		int err;

		snprintf(f->dir, sizeof(f->dir), "%s/%d-%zu-%zu", root, group, clients,
			 i);
		mkdir(f->dir, 0700);
		f->host.ops = &files_ops;
		f->b = &b;
		f->id = i;
		pthread_cond_init(&f->wake, NULL);
		if ((err = wal_open(&wo, NULL, NULL, &f->wal)) ||
		    (err = replica_new(&opt, &f->r, clock_us())))
			die("start", err);
		if (pthread_create(&f->thread, NULL, files_thread, f))
			die("thread", CF_ENOMEM);
	}
	for (;;) {
		now = clock_us();
		for (size_t i = 1; i <= REPLICAS; i++) {
			if (now >= replica_deadline(b.node[i].r))
				replica_tick(b.node[i].r, now);
			if (replica_lease_valid(b.node[i].r, now))
				leader = b.node[i].r;
		}
		if (leader && !start) {
			start = now;
			b.commits = 0;
			memset(&b.latency, 0, sizeof(b.latency));
		}
		if (start && now >= start + MEASURE_US)
			break;
		bench_pump(&b);
		if (leader)
			bench_propose(&b, leader);
		if (b.head == b.tail)
			bench_wait(&b);
	}
	rate = (double)b.commits * SECOND / (double)(now - start);
	*latency = b.latency;
	for (size_t i = 1; i <= REPLICAS; i++) {
		struct files *f = &b.node[i];
		char path[160];

		pthread_mutex_lock(&b.lock);
		f->quit = true;
		pthread_cond_signal(&f->wake);
		pthread_mutex_unlock(&b.lock);
		pthread_join(f->thread, NULL);
		replica_free(f->r);
		while (wal_last(f->wal) > 0 && wal_first(f->wal) <= wal_last(f->wal))
			wal_compact(f->wal, wal_last(f->wal) + 1);
		wal_close(f->wal);
		snprintf(path, sizeof(path), "%s/promise", f->dir);
		unlink(path);
		snprintf(path, sizeof(path), "%s/snapshot", f->dir);
		unlink(path);
		rmdir(f->dir);
	}
	while (b.head < b.tail)
		replica_msg_free(b.queue[b.head++ % 65536].msg);
	return rate;
}

static void bench_group_commit(void)
{
	static const size_t clients[] = {1, 16, 256};
	char root[64] = "/tmp/bench_replica.XXXXXX";

	if (!mkdtemp(root))
		die("temporary directory", CF_EIO);
	for (size_t i = 0; i < 3; i++) {
		struct hist on, off;
		double rate_off = files_run(root, clients[i], false, &off);
		double rate_on = files_run(root, clients[i], true, &on);
		char name[64];

		snprintf(name, sizeof(name), "group_commit_rate_%zu_clients", clients[i]);
		line(name, rate_on, "commits/s", rate_off);
		snprintf(name, sizeof(name), "group_commit_p50_%zu_clients", clients[i]);
		line(name, (double)hist_quantile(&on, 0.5), "us",
		     (double)hist_quantile(&off, 0.5));
		snprintf(name, sizeof(name), "group_commit_p99_%zu_clients", clients[i]);
		line(name, (double)hist_quantile(&on, 0.99), "us",
		     (double)hist_quantile(&off, 0.99));
	}
	rmdir(root);
}

/* --- virtual time --- */

static void must(struct cluster *c, bool ok, const char *what)
{
	if (ok && !c->failure[0])
		return;
	fprintf(stderr, "bench_replica: %s: %s\n", what, c->failure);
	exit(EXIT_FAILURE);
}

static void load(struct cluster *c, int64_t span_us)
{
	int64_t until = c->now + span_us;
	uint64_t index;

	while (c->now < until) {
		struct node *leader = cluster_leader(c);

		for (int i = 0; leader && i < 5; i++)
			cluster_propose(leader, VALUE_BYTES, &index);
		cluster_run(c, 1000);
	}
}

/* Microseconds from the loss of the leader to the commit of a new proposal. */
static int64_t recovery(uint64_t seed, bool before_barrier)
{
	static struct cluster c;
	struct node *by = NULL;
	uint64_t index = 0;
	int64_t lost;

	c.opt.propose_before_barrier = before_barrier;
	cluster_start(&c, seed, 5, 0);
	must(&c, cluster_run_to_leader(&c, 20 * SECOND), "no leader");
	load(&c, 300000);
	/* Not always at the same distance from a heartbeat. */
	cluster_run(&c, (int64_t)prng_below(&c.prng, 100000));
	lost = c.now;
	node_crash(cluster_leader(&c));
	while (!by || by->applied < index) {
		for (size_t i = 1; !by && i <= c.n; i++) {
			struct node *n = &c.node[i];

			if (n->r && replica_role(n->r) == REPLICA_LEADER &&
			    !cluster_propose(n, VALUE_BYTES, &index))
				by = n;
		}
		/* The leader may lose its epoch again. */
		if (by && (!by->r || replica_role(by->r) != REPLICA_LEADER))
			by = NULL;
		cluster_step(&c, c.now + 1000);
		must(&c, c.now < lost + 60 * SECOND, "no recovery");
	}
	lost = c.now - lost;
	cluster_stop(&c);
	return lost;
}

static int compare(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static void bench_recovery(void)
{
	static int64_t with[RECOVERY_SEEDS], without[RECOVERY_SEEDS];
	const size_t median = RECOVERY_SEEDS / 2;

	for (uint64_t i = 0; i < RECOVERY_SEEDS; i++) {
		with[i] = recovery(i + 1, false);
		without[i] = recovery(i + 1, true);
	}
	qsort(with, RECOVERY_SEEDS, sizeof(with[0]), compare);
	qsort(without, RECOVERY_SEEDS, sizeof(without[0]), compare);
	line("recovery_median_barrier", (double)with[median] / 1000, "ms",
	     (double)without[median] / 1000);
	line("recovery_worst_barrier", (double)with[RECOVERY_SEEDS - 1] / 1000, "ms",
	     (double)without[RECOVERY_SEEDS - 1] / 1000);
}

/* Time and bytes until a follower that missed that many entries has them. */
static int64_t catch_up(uint64_t entries, bool snapshots, uint64_t *bytes)
{
	static struct cluster c;
	struct node *away;
	uint64_t target;
	int64_t start;
	int64_t span;

	c.opt.no_snapshots = !snapshots;
	c.opt.snapshot_every = entries / 2 < 20000 ? entries / 2 : 20000;
	c.opt.keep_entries = entries / 10 < 2000 ? entries / 10 : 2000;
	c.state_bytes = 1U << 20;
	c.bytes_per_ms = 12500; /* 100 Mbit/s */
	cluster_start(&c, 1, 3, 0);
	must(&c, cluster_run_to_leader(&c, 20 * SECOND), "no leader");
	away = cluster_leader(&c) == &c.node[1] ? &c.node[2] : &c.node[1];
	cluster_isolate(&c, away->id, true);
	target = c.n_ref + entries;
	while (c.n_ref < target) {
		struct node *leader = cluster_leader(&c);
		uint64_t index;

		for (int i = 0; leader && i < 100; i++)
			cluster_propose(leader, VALUE_BYTES, &index);
		cluster_run(&c, 5000);
		must(&c, true, "load");
	}
	cluster_run(&c, SECOND);
	target = c.n_ref;
	cluster_isolate(&c, away->id, false);
	start = c.now;
	c.bytes_to[away->id] = 0;
	while (away->applied < target) {
		cluster_step(&c, c.now + 1000);
		must(&c, c.now < start + 600 * SECOND, "no catch-up");
	}
	*bytes = c.bytes_to[away->id];
	span = c.now - start;
	cluster_stop(&c);
	return span;
}

static void bench_catch_up(void)
{
	static const uint64_t entries[] = {1000, 100000};

	for (size_t i = 0; i < 2; i++) {
		uint64_t bytes_snap, bytes_log;
		int64_t log = catch_up(entries[i], false, &bytes_log);
		int64_t snap = catch_up(entries[i], true, &bytes_snap);
		char name[64];

		snprintf(name, sizeof(name), "catch_up_time_%d_entries", (int)entries[i]);
		line(name, (double)snap / 1000, "ms", (double)log / 1000);
		snprintf(name, sizeof(name), "catch_up_bytes_%d_entries",
			 (int)entries[i]);
		line(name, (double)bytes_snap, "bytes", (double)bytes_log);
	}
}

/* Bytes of replica messages that the leader sends and receives without load. */
static double idle(size_t replicas)
{
	static struct cluster c;
	size_t leader;
	double rate;

	cluster_start(&c, 1, replicas, 0);
	must(&c, cluster_run_to_leader(&c, 20 * SECOND), "no leader");
	cluster_run(&c, 5 * SECOND);
	leader = cluster_leader(&c)->id;
	c.bytes_to[leader] = c.bytes_from[leader] = 0;
	cluster_run(&c, 60 * SECOND);
	must(&c, cluster_leader(&c) == &c.node[leader], "leader changed");
	rate = (double)(c.bytes_to[leader] + c.bytes_from[leader]) / 60;
	cluster_stop(&c);
	return rate;
}

static void bench_idle(void)
{
	double three = idle(3);

	line("idle_leader_3_replicas", three, "bytes/s", three);
	line("idle_leader_5_replicas", idle(5), "bytes/s", three);
	line("idle_leader_9_replicas", idle(9), "bytes/s", three);
}

int main(void)
{
	bench_group_commit();
	bench_recovery();
	bench_catch_up();
	bench_idle();
	return 0;
}
