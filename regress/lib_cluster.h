#ifndef REGRESS_LIB_CLUSTER_H
#define REGRESS_LIB_CLUSTER_H

#include <check.h>

#include "base/prng.h"
#include "core/replica.h"

/*
 * Replicas in virtual time with fake disks, a faulty network and drifting clocks.
 * Everything that is applied is compared with one committed history.
 */
#define CLUSTER_MAX 24

#define ck_cluster(c) ck_assert_msg((c)->failure[0] == '\0', "%s", (c)->failure)
/* A violated rule is reported before the condition that fails because of it. */
#define ck_run(c, condition)             \
	do {                             \
		bool held = (condition); \
		ck_cluster(c);           \
		ck_assert(held);         \
	} while (0)

struct disk_entry {
	struct replica_entry e; /* data owned */
};

/* Content of a data directory. */
struct disk {
	struct replica_promise promise;
	struct buf snapshot;
	uint64_t snapshot_index;
	uint64_t snapshot_epoch;
	struct replica_entry *log; /* data owned */
	size_t n;
	size_t cap;
	uint64_t base;
	uint64_t durable; /* entries after it are lost in a crash */
};

struct node {
	struct replica_host host; /* first */
	struct cluster *c;
	uint64_t id;
	struct replica *r; /* NULL while it is down */
	struct disk disk;
	uint64_t generation; /* of the process */
	int64_t frozen_until;
	int64_t stalled_until; /* no sync of its disk ends before */
	int64_t clock_offset;
	int64_t clock_drift; /* millionths, within 1,000 */
	uint64_t applied;
	uint64_t chain; /* hash of everything applied */
	uint64_t rng;
	uint64_t truncated; /* lowest truncation during the outstanding sync */
	bool fail_sync;
	bool disk_full; /* its disk refuses all writes */
};

struct ref_entry {
	uint64_t epoch;
	uint64_t chain;
	uint64_t hash;
};

struct event;

struct cluster {
	struct prng prng;
	int64_t now;
	size_t n;
	struct node node[CLUSTER_MAX + 1]; /* by id */
	struct replica_options opt;	   /* template */
	struct replica_members bootstrap;

	struct event *heap;
	size_t n_heap, cap_heap;
	uint64_t sequence;

	/* Network: chances in thousandths, latency in microseconds. */
	unsigned int drop, duplicate, slow;
	int64_t latency_min, latency_max, sync_min, sync_max;
	bool cut[CLUSTER_MAX + 1][CLUSTER_MAX + 1];
	uint64_t bytes, messages;
	uint64_t bytes_to[CLUSTER_MAX + 1], bytes_from[CLUSTER_MAX + 1];
	uint64_t bytes_per_ms; /* of the link into a node, 0: no limit */
	int64_t link_free[CLUSTER_MAX + 1];
	size_t state_bytes; /* size of a snapshot's state, default 640 */

	/* Reference. */
	struct ref_entry *ref;
	size_t n_ref, cap_ref;
	struct replica_members ref_members;
	/* Identities of the directories that held the newest entry as it committed. */
	struct {
		uint64_t epoch;
		size_t n;
		uint64_t identity[REPLICA_MAX_MEMBERS];
	} committed_by;
	struct {
		uint64_t epoch;
		uint64_t node;
	} leader_of[4096];
	size_t n_leaders;
	char failure[256];  /* first violated rule */
	unsigned int still; /* events since time moved */
	bool trace;
	bool expect_excluded; /* a directory is put back from an older copy */
	/* How often it happened. */
	uint64_t elections, crashes, wipes, truncations, installs, changes;
};

void cluster_start(struct cluster *c, uint64_t seed, size_t voters, size_t learners);
struct node *cluster_add(struct cluster *c);
void cluster_stop(struct cluster *c);
bool cluster_step(struct cluster *c, int64_t until);
void cluster_run(struct cluster *c, int64_t span_us);
bool cluster_run_to_leader(struct cluster *c, int64_t span_us);
bool cluster_settle(struct cluster *c, int64_t span_us);
struct node *cluster_leader(struct cluster *c);
int64_t cluster_clock(const struct node *n);
int cluster_propose(struct node *n, size_t size, uint64_t *index);
void cluster_fail(struct cluster *c, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void cluster_heal(struct cluster *c);
void cluster_isolate(struct cluster *c, uint64_t id, bool cut);

void node_crash(struct node *n);
void node_boot(struct node *n);
void node_wipe(struct node *n);
void node_freeze(struct node *n, int64_t span_us);
void node_stall(struct node *n, int64_t span_us);

void disk_copy(struct disk *to, const struct disk *from);
void disk_free(struct disk *d);

#endif
