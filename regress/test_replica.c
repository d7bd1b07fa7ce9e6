#include <check.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "regress/lib_cluster.h"

#define SECOND 1000000LL
#define CHECK_SEEDS 60
#define HANDOVER_SEEDS 40
#define FAULT_SPAN (40 * SECOND)

/* --- random faults --- */

static struct node *random_node(struct cluster *c)
{
	return &c->node[1 + prng_below(&c->prng, c->n)];
}

/* Whether a replica's membership in force is the committed one, member for member. */
static bool knows_membership(const struct cluster *c, const struct replica *r)
{
	const struct replica_members *m = replica_members(r);

	if (m->n != c->ref_members.n)
		return false;
	for (size_t i = 0; i < m->n; i++) {
		const struct replica_member *a = &m->list[i];
		const struct replica_member *b = &c->ref_members.list[i];

		if (a->id != b->id || a->identity != b->identity || a->voter != b->voter)
			return false;
	}
	return true;
}

/* Whether every voter is up to date about the membership and has its disk. */
static bool disks_intact(struct cluster *c)
{
	size_t voters = 0;

	for (size_t i = 0; i < c->ref_members.n; i++) {
		const struct replica_member *m = &c->ref_members.list[i];

		if (!m->voter)
			continue;
		voters++;
		if (c->node[m->id].disk.promise.identity != m->identity)
			return false;
	}
	for (size_t i = 1; i <= c->n; i++) {
		const struct replica *r = c->node[i].r;

		if (!r || !knows_membership(c, r))
			return false;
	}
	return voters >= 3;
}

static void random_fault(struct cluster *c)
{
	struct node *n = random_node(c);
	struct node *leader = cluster_leader(c);

	if (leader && prng_below(&c->prng, 2))
		n = leader;
	switch (prng_below(&c->prng, 12)) {
	case 0:
	case 1:
		if (n->r)
			node_crash(n);
		break;
	case 2:
	case 3:
		for (size_t i = 1; i <= c->n; i++) {
			if (!c->node[i].r)
				node_boot(&c->node[i]);
		}
		break;
	case 4:
		node_freeze(n, 1000 + (int64_t)prng_below(&c->prng, 3 * SECOND));
		break;
	case 5:
		cluster_isolate(c, n->id, true);
		break;
	case 6: {
		struct node *to = random_node(c);

		c->cut[n->id][to->id] = true;
		break;
	}
	case 7:
	case 8:
		memset(c->cut, 0, sizeof(c->cut));
		break;
	case 9:
		if (disks_intact(c)) {
			node_crash(n);
			node_wipe(n);
			node_boot(n);
		}
		break;
	case 10:
		/* A removal while a disk is lost exceeds what three voters tolerate. */
		if (leader && leader->r && disks_intact(c)) {
			uint64_t id = n->id;

			replica_remove(leader->r, id, n->disk.promise.identity,
				       cluster_clock(leader));
			replica_promote(leader->r, id, n->disk.promise.identity,
					cluster_clock(leader));
		}
		break;
	default:
		c->drop = (unsigned int)prng_below(&c->prng, 100);
		c->duplicate = (unsigned int)prng_below(&c->prng, 100);
		c->slow = (unsigned int)prng_below(&c->prng, 50);
		break;
	}
}

/* Proposes at every replica that believes it leads, valid lease or not. */
static void propose_everywhere(struct cluster *c)
{
	uint64_t index;

	for (size_t i = 1; i <= c->n; i++) {
		struct node *n = &c->node[i];

		if (!n->r || c->now < n->frozen_until)
			continue;
		for (uint64_t k = prng_below(&c->prng, 5); k > 0; k--)
			cluster_propose(n, 8 + prng_below(&c->prng, 300), &index);
	}
}

static void small_limits(struct replica_options *opt)
{
	opt->batch_bytes = 1024;
	opt->window_bytes = 4096;
	opt->chunk_bytes = 200;
	opt->snapshot_every = 60;
	opt->keep_entries = 20;
	opt->auto_admit = true;
}

/* A replica that believes it leads hands over, to whom it knows. */
static void random_handover(struct cluster *c)
{
	struct node *n = random_node(c);

	if (n->r && c->now >= n->frozen_until)
		replica_transfer_leadership(n->r, cluster_clock(n));
}

/* A disk becomes full, or all of them have space again. */
static void random_full_disk(struct cluster *c)
{
	if (prng_below(&c->prng, 3)) {
		random_node(c)->disk_full = true;
		return;
	}
	for (size_t i = 1; i <= c->n; i++)
		c->node[i].disk_full = false;
}

/* The syncs of one disk, or of all of them, take up to 4 s. */
static void random_stall(struct cluster *c)
{
	int64_t span = (int64_t)prng_below(&c->prng, 4 * SECOND);

	if (prng_below(&c->prng, 3)) {
		node_stall(random_node(c), span);
		return;
	}
	for (size_t i = 1; i <= c->n; i++)
		node_stall(&c->node[i], span);
}

/* A replica announces that it ends; one that did so before may start again. */
static void random_leave(struct cluster *c)
{
	struct node *n = random_node(c);

	if (!n->r || c->now < n->frozen_until)
		return;
	replica_leave(n->r, cluster_clock(n));
	if (prng_below(&c->prng, 3) == 0) {
		node_crash(n);
		node_boot(n);
	}
}

/* Faults beside the usual ones; chances in thousandths of each 20 ms. */
struct more_faults {
	unsigned int handovers;
	unsigned int full_disks;
	unsigned int stalls;
	unsigned int leaves;
};

/* One random run. Returns whether all rules held; the failure stays in *c. */
static bool random_run(struct cluster *c, uint64_t seed, struct more_faults more)
{
	int64_t end;
	int64_t next_fault;
	int64_t quiet_until = 0;
	/* Some runs hardly let a leader settle. */
	uint64_t fault_interval = seed % 11 == 7 ? SECOND / 3 : 2 * SECOND;

	small_limits(&c->opt);
	c->opt.no_group_commit = seed % 7 == 0;
	c->opt.propose_before_barrier = seed % 5 == 0;
	if (more.leaves) {
		c->opt.admit_any = true;
		c->opt.max_voters = seed % 2 ? 3 : 5;
	}
	cluster_start(c, seed, seed % 2 ? 3 : 5, 1);
	end = c->now + FAULT_SPAN;
	next_fault = SECOND;
	while (c->now < end && !c->failure[0]) {
		cluster_run(c, 20000);
		/* Without proposals all logs are equal and any voter can be elected. */
		if (c->now >= quiet_until)
			propose_everywhere(c);
		if (more.handovers && prng_below(&c->prng, 1000) < more.handovers)
			random_handover(c);
		if (more.full_disks && prng_below(&c->prng, 1000) < more.full_disks)
			random_full_disk(c);
		if (more.stalls && prng_below(&c->prng, 1000) < more.stalls)
			random_stall(c);
		if (more.leaves && prng_below(&c->prng, 1000) < more.leaves)
			random_leave(c);
		if (c->now >= next_fault) {
			random_fault(c);
			next_fault =
				c->now + (int64_t)prng_below(&c->prng, fault_interval);
			if (prng_below(&c->prng, 10) == 0)
				quiet_until = c->now + 5 * SECOND;
		}
	}
	cluster_heal(c);
	/* A process that has announced its end does not ask for admission again. */
	for (size_t i = 1; more.leaves && i <= c->n; i++) {
		node_crash(&c->node[i]);
		node_boot(&c->node[i]);
	}
	if (!c->failure[0] && !cluster_settle(c, 60 * SECOND) && !c->failure[0])
		cluster_fail(c, "does not settle after the faults ended");
	return c->failure[0] == '\0';
}

/*
 * Guards against any break of the rules in lib_cluster.c (one committed history, one
 * leader for each epoch, one valid lease, acknowledged entries kept) under faults.
 */
START_TEST(random_faults)
{
	static struct cluster c;
	uint64_t seed = (uint64_t)_i + 1;

	if (!random_run(&c, seed, (struct more_faults){0}))
		ck_abort_msg("seed %d: %s", (int)seed, c.failure);
	ck_assert_uint_gt(c.n_ref, seed % 11 == 7 ? 10 : 100);
	cluster_stop(&c);
}
END_TEST

/* Guards against the same while leaders hand over, with messages lost and repeated. */
START_TEST(random_handovers)
{
	static struct cluster c;
	uint64_t seed = (uint64_t)_i + 1;

	if (!random_run(&c, seed, (struct more_faults){.handovers = 40}))
		ck_abort_msg("seed %d: %s", (int)seed, c.failure);
	cluster_stop(&c);
}
END_TEST

/* Guards against a break of the rules, or a voter that fails, when disks are full. */
START_TEST(random_full_disks)
{
	static struct cluster c;
	uint64_t seed = (uint64_t)_i + 1;

	if (!random_run(&c, seed, (struct more_faults){.full_disks = 20}))
		ck_abort_msg("seed %d: %s", (int)seed, c.failure);
	cluster_stop(&c);
}
END_TEST

/* Guards against a break of the rules when syncs take seconds. */
START_TEST(random_stalls)
{
	static struct cluster c;
	uint64_t seed = (uint64_t)_i + 1;

	if (!random_run(&c, seed, (struct more_faults){.stalls = 10}))
		ck_abort_msg("seed %d: %s", (int)seed, c.failure);
	cluster_stop(&c);
}
END_TEST

/* Guards against a break of the rules, or a lost quorum, when voters give up their place.
 */
START_TEST(random_leaves)
{
	static struct cluster c;
	uint64_t seed = (uint64_t)_i + 1;

	if (!random_run(&c, seed, (struct more_faults){.handovers = 20, .leaves = 10}))
		ck_abort_msg("seed %d: %s", (int)seed, c.failure);
	cluster_stop(&c);
}
END_TEST

/*
 * These did not settle once. 2000580, 2001953: a restarted voter waited for answers of
 * voters that had been replaced. 40001617: the same with a lost voter, a learner was
 * there. 40004169: a learner held the longest log and did not stand.
 */
static const uint64_t regression_seeds[] = {2000580, 2001953, 40001617, 40004169};
#define REGRESSION_SEEDS (int)(sizeof(regression_seeds) / sizeof(regression_seeds[0]))

/* Guards against the return of faults that random runs have found. */
START_TEST(regressions)
{
	static struct cluster c;
	uint64_t seed = regression_seeds[_i];

	if (!random_run(&c, seed, (struct more_faults){0}))
		ck_abort_msg("seed %d: %s", (int)seed, c.failure);
	cluster_stop(&c);
}
END_TEST

/* --- named traps --- */

/* Guards against an answer that leaves before the promise it rests on is durable. */
START_TEST(promise_is_durable_before_answer)
{
	static struct cluster c;

	cluster_start(&c, 11, 3, 0);
	ck_run(&c, cluster_run_to_leader(&c, 10 * SECOND));
	ck_run(&c, cluster_settle(&c, 10 * SECOND));
	ck_cluster(&c);
	cluster_stop(&c);
}
END_TEST

/* Guards against a leader that proposes or reads on its lease after a long freeze. */
START_TEST(frozen_leader_does_not_act)
{
	static struct cluster c;
	struct node *old;
	uint64_t index;
	int err;

	cluster_start(&c, 12, 3, 0);
	ck_run(&c, cluster_run_to_leader(&c, 10 * SECOND));
	old = cluster_leader(&c);
	cluster_run(&c, SECOND);
	node_freeze(old, 5 * SECOND);
	cluster_run(&c, 4 * SECOND);
	ck_cluster(&c);
	ck_assert_ptr_ne(cluster_leader(&c), NULL);
	ck_assert_ptr_ne(cluster_leader(&c), old);
	old->frozen_until = 0;
	ck_assert(!replica_lease_valid(old->r, cluster_clock(old)));
	err = cluster_propose(old, 16, &index);
	ck_assert_int_eq(err, CF_ESTALE);
	ck_assert_int_ne(replica_role(old->r), REPLICA_LEADER);
	ck_run(&c, cluster_settle(&c, 10 * SECOND));
	ck_cluster(&c);
	cluster_stop(&c);
}
END_TEST

/* --- one replica driven by hand --- */

struct lone {
	struct replica_host host;
	struct replica *r;
	uint64_t token;
	uint64_t epoch_asked;
	struct replica_msg last; /* newest message sent; its pointers are stale */
	uint64_t applied;
	size_t appended; /* bytes of entries sent to replica 2 */
	char order[16];	 /* initials of disk operations */
	size_t n_order;
	size_t window_bytes;
	int refuse;		       /* result of loading a snapshot */
	struct replica_hello hello[3]; /* what it told of its wait */
	size_t n_hello;
};

static int lone_note(struct replica_host *h, char op)
{
	struct lone *l = (struct lone *)h;

	if (l->n_order + 1 < sizeof(l->order))
		l->order[l->n_order++] = op;
	return 0;
}

static void lone_send(struct replica_host *h, uint64_t to, const struct replica_msg *m)
{
	struct lone *l = (struct lone *)h;

	l->last = *m;
	for (size_t i = 0; to == 2 && i < m->n_entries; i++)
		l->appended += m->entries[i].data.n;
	if (m->kind == REPLICA_MSG_PREVOTE || m->kind == REPLICA_MSG_VOTE)
		l->epoch_asked = m->epoch;
}

static int lone_append(struct replica_host *h, const struct replica_entry *e, size_t n)
{
	return 0;
}

static int lone_truncate(struct replica_host *h, uint64_t index)
{
	return lone_note(h, 'T');
}

static int lone_compact(struct replica_host *h, uint64_t index)
{
	return lone_note(h, 'C');
}

static int lone_promise(struct replica_host *h, const struct replica_promise *p)
{
	return 0;
}

static void lone_sync(struct replica_host *h, uint64_t token)
{
	((struct lone *)h)->token = token;
}

static void lone_apply(struct replica_host *h, const struct replica_entry *e)
{
	((struct lone *)h)->applied = e->index;
}

static int lone_take(struct replica_host *h, struct buf *out)
{
	return buf_adds(out, "state");
}

static int lone_check(struct replica_host *h, struct str state)
{
	return ((struct lone *)h)->refuse;
}

static int lone_load(struct replica_host *h, uint64_t index, uint64_t epoch,
		     struct str state)
{
	struct lone *l = (struct lone *)h;

	if (l->refuse)
		return l->refuse;
	l->applied = index;
	return lone_note(h, 'L');
}

static int lone_save(struct replica_host *h, uint64_t index, uint64_t epoch,
		     struct str bytes)
{
	return lone_note(h, 'S');
}

static void lone_hello_wait(struct replica_host *h, const struct replica_hello *w)
{
	struct lone *l = (struct lone *)h;

	ck_assert_uint_lt(l->n_hello, 3);
	l->hello[l->n_hello++] = *w;
}

static const struct replica_ops lone_ops = {
	.send = lone_send,
	.append = lone_append,
	.truncate = lone_truncate,
	.save_promise = lone_promise,
	.sync = lone_sync,
	.apply = lone_apply,
	.take_snapshot = lone_take,
	.check_snapshot = lone_check,
	.load_snapshot = lone_load,
	.save_snapshot = lone_save,
	.compact = lone_compact,
	.hello_wait = lone_hello_wait,
};

/* Replies for a member to the newest HELLO of the lone replica, id 1. */
static void lone_hello_reply(struct lone *l, uint64_t from, uint64_t identity,
			     int64_t now)
{
	struct replica_msg m = {
		.kind = REPLICA_MSG_HELLO_REPLY,
		.from_identity = identity,
		.to_identity = 101,
		.life = l->last.life,
	};

	ck_assert_int_eq(replica_receive(l->r, from, &m, now), 0);
}

/* Lets the lone replica ask about its directory and answers. */
static void lone_hello(struct lone *l, int64_t now)
{
	replica_tick(l->r, now);
	ck_assert_int_eq(l->last.kind, REPLICA_MSG_HELLO);
	lone_hello_reply(l, 2, 102, now);
}

/* Takes the lone replica through an election to leader; its timeout has passed. */
static void lone_stand(struct lone *l, int64_t now)
{
	struct replica_msg m = {.from_identity = 102, .to_identity = 101, .ok = true};

	replica_tick(l->r, now);
	ck_assert_int_eq(replica_role(l->r), REPLICA_PRECANDIDATE);
	m.kind = REPLICA_MSG_PREVOTE_REPLY;
	m.epoch = l->epoch_asked;
	replica_receive(l->r, 2, &m, now);
	ck_assert_int_eq(replica_role(l->r), REPLICA_CANDIDATE);
	m.kind = REPLICA_MSG_VOTE_REPLY;
	m.epoch = l->epoch_asked;
	replica_receive(l->r, 2, &m, now);
	ck_assert_int_eq(replica_role(l->r), REPLICA_LEADER);
}

/* Takes the lone replica through a restart and an election to leader. */
static void lone_elect(struct lone *l, int64_t *now)
{
	lone_hello(l, *now);
	*now += 5 * SECOND;
	lone_stand(l, *now);
}

static void lone_ack(struct lone *l, uint64_t index, int64_t now)
{
	struct replica_msg m = {
		.kind = REPLICA_MSG_APPEND_REPLY,
		.from_identity = 102,
		.to_identity = 101,
		.ok = true,
		.epoch = replica_epoch(l->r),
		.index = index,
		.sent_us = now,
	};

	ck_assert_int_eq(replica_receive(l->r, 2, &m, now), 0);
}

/* A stored snapshot with the membership of three and an empty state. */
static void lone_image(struct buf *image)
{
	static const unsigned char head[] = {0, 0, 0, 3};

	buf_add(image, head, 4);
	for (unsigned char i = 1; i <= 3; i++) {
		unsigned char b[20] = {0};

		b[7] = i;
		b[15] = (unsigned char)(100 + i);
		b[19] = 1;
		buf_add(image, b, sizeof(b));
	}
	buf_add(image, "\0\0\0\0", 4);
}

/* A replica with two entries of epoch 2 and the promise of epoch 3. */
static void lone_start(struct lone *l, int64_t now)
{
	struct replica_entry e[2] = {
		{.index = 1, .epoch = 2, .kind = REPLICA_BARRIER},
		{.index = 2, .epoch = 2, .kind = REPLICA_DATA, .data = STR("x")},
	};
	struct replica_options opt = {
		.host = &l->host,
		.id = 1,
		.seed = 1,
		.promise = {.epoch = 3, .identity = 101},
		.window_bytes = l->window_bytes,
		.entries = e,
		.n_entries = 2,
	};
	struct buf image = {0};

	l->host.ops = &lone_ops;
	lone_image(&image);
	opt.snapshot = buf_str(&image);
	ck_assert_int_eq(replica_new(&opt, &l->r, now), 0);
	buf_free(&image);
}

/* Guards against a restarted voter whose wait operators cannot see, or see wrongly. */
START_TEST(wait_for_replies_is_told)
{
	struct lone l = {0};

	lone_start(&l, SECOND);
	ck_assert_uint_eq(l.n_hello, 1);
	ck_assert(!l.hello[0].ended);
	ck_assert_uint_eq(l.hello[0].needed, 1);
	ck_assert_uint_eq(l.hello[0].n_replied, 0);
	lone_hello(&l, SECOND + 250000);
	ck_assert_uint_eq(l.n_hello, 2);
	ck_assert(l.hello[1].ended);
	ck_assert_uint_eq(l.hello[1].needed, 1);
	ck_assert_uint_eq(l.hello[1].n_replied, 1);
	ck_assert_uint_eq(l.hello[1].replied[0], 2);
	ck_assert_uint_eq(l.hello[1].leader, 0);
	ck_assert_int_eq(l.hello[1].waited_us, 250000);
	/* Later replies tell nothing more. */
	lone_hello_reply(&l, 3, 103, SECOND + 300000);
	ck_assert_uint_eq(l.n_hello, 2);
	replica_free(l.r);
}
END_TEST

/* Guards against a leader's reply that ends the wait alone and is told as a quorum. */
START_TEST(wait_that_the_leader_ended_is_told)
{
	struct lone l = {0};
	struct replica_msg append = {
		.kind = REPLICA_MSG_APPEND,
		.from_identity = 109,
		.to_identity = 101,
		.epoch = 4,
	};

	lone_start(&l, SECOND);
	/* Member 9 is not in the stored log: all voters have been replaced since. */
	replica_receive(l.r, 9, &append, SECOND + 40000);
	ck_assert_int_eq(l.last.kind, REPLICA_MSG_HELLO);
	ck_assert_uint_eq(l.n_hello, 1);
	lone_hello_reply(&l, 9, 109, SECOND + 80000);
	ck_assert_uint_eq(l.n_hello, 2);
	ck_assert(l.hello[1].ended);
	ck_assert_uint_eq(l.hello[1].n_replied, 0);
	ck_assert_uint_eq(l.hello[1].leader, 9);
	ck_assert_int_eq(l.hello[1].waited_us, 80000);
	replica_free(l.r);
}
END_TEST

/* Guards against an entry of an earlier epoch that commits by its replicas alone. */
START_TEST(earlier_epoch_needs_barrier)
{
	struct lone l = {0};
	int64_t now = SECOND;
	uint64_t index;

	lone_start(&l, now);
	lone_elect(&l, &now);
	/* Entry 2 of epoch 2 is now held by two of three. */
	lone_ack(&l, 2, now);
	ck_assert_uint_eq(replica_committed(l.r), 0);
	ck_assert(!replica_lease_valid(l.r, now));
	ck_assert_int_eq(replica_propose(l.r, STR("y"), now, &index), CF_EUNAVAIL);
	replica_synced(l.r, l.token, now);
	lone_ack(&l, 3, now);
	ck_assert_uint_eq(replica_committed(l.r), 3);
	ck_assert_uint_eq(l.applied, 3);
	ck_assert(replica_lease_valid(l.r, now));
	ck_assert_int_eq(replica_propose(l.r, STR("y"), now, &index), 0);
	replica_free(l.r);
}
END_TEST

/* Guards against two uncommitted membership changes, whose quorums may be disjoint. */
START_TEST(membership_changes_do_not_overlap)
{
	struct lone l = {0};
	int64_t now = SECOND;

	lone_start(&l, now);
	lone_elect(&l, &now);
	lone_ack(&l, 2, now);
	/* Before the barrier committed, an earlier leader's change may be open. */
	ck_assert_int_eq(replica_add_learner(l.r, 4, 104, now), CF_EUNAVAIL);
	replica_synced(l.r, l.token, now);
	lone_ack(&l, 3, now);
	ck_assert_int_eq(replica_add_learner(l.r, 4, 104, now), 0);
	ck_assert_int_eq(replica_remove(l.r, 3, 103, now), CF_EBUSY);
	ck_assert_int_eq(replica_add_learner(l.r, 5, 105, now), CF_EBUSY);
	replica_synced(l.r, l.token, now);
	lone_ack(&l, 4, now);
	ck_assert_int_eq(replica_add_learner(l.r, 5, 105, now), 0);
	/* A learner that has synced nothing must not become a voter. */
	replica_synced(l.r, l.token, now);
	lone_ack(&l, 5, now);
	ck_assert_int_eq(replica_promote(l.r, 4, 104, now), CF_EUNAVAIL);
	ck_assert_int_eq(replica_remove(l.r, 3, 103, now), 0);
	replica_free(l.r);
}
END_TEST

/* Guards against an answer that counts for a voter whose directory has changed. */
START_TEST(other_identity_is_refused)
{
	struct lone l = {0};
	int64_t now = SECOND;
	struct replica_msg m = {
		.kind = REPLICA_MSG_APPEND_REPLY,
		.from_identity = 999,
		.to_identity = 101,
		.ok = true,
		.index = 3,
		.sent_us = 0,
	};

	lone_start(&l, now);
	lone_elect(&l, &now);
	replica_synced(l.r, l.token, now);
	m.epoch = replica_epoch(l.r);
	ck_assert_int_eq(replica_receive(l.r, 2, &m, now), CF_EFOREIGN);
	ck_assert_uint_eq(replica_committed(l.r), 0);
	/* A candidate that is not a member, with an equal log. */
	now += 5 * SECOND;
	replica_tick(l.r, now);
	m.kind = REPLICA_MSG_VOTE;
	m.epoch += 1;
	m.index = 3;
	m.index_epoch = replica_epoch(l.r);
	l.last.kind = 0;
	replica_receive(l.r, 3, &m, now);
	ck_assert_int_ne(l.last.kind, REPLICA_MSG_VOTE_REPLY);
	m.kind = REPLICA_MSG_APPEND_REPLY;
	m.epoch -= 1;
	m.from_identity = 102;
	m.to_identity = 998;
	ck_assert_int_eq(replica_receive(l.r, 2, &m, now), CF_EFOREIGN);
	ck_assert_uint_eq(replica_committed(l.r), 0);
	replica_free(l.r);
}
END_TEST

/* Another leader replaces what the lone replica has after entry 3 by one entry. */
static void lone_replace_tail(struct lone *l, int64_t now)
{
	const struct replica_entry e = {
		.index = 4, .epoch = replica_epoch(l->r) + 1, .kind = REPLICA_BARRIER};
	struct replica_msg m = {
		.kind = REPLICA_MSG_APPEND,
		.from_identity = 103,
		.to_identity = 101,
		.epoch = e.epoch,
		.index = 3,
		.index_epoch = replica_epoch(l->r),
		.commit = 3,
		.sent_us = now,
		.entries = &e,
		.n_entries = 1,
	};

	ck_assert_int_eq(replica_receive(l->r, 3, &m, now), 0);
	replica_synced(l->r, l->token, now);
	ck_assert_uint_eq(replica_last_index(l->r), 4);
}

/* Guards against an acknowledgement that counts in a later term of the same leader. */
START_TEST(reply_of_an_earlier_term_counts_for_nothing)
{
	struct lone l = {0};
	int64_t now = SECOND;
	struct replica_msg late = {
		.kind = REPLICA_MSG_APPEND_REPLY,
		.from_identity = 102,
		.to_identity = 101,
		.ok = true,
		.index = 5,
	};
	int64_t lease_end_us;
	uint64_t index;

	lone_start(&l, now);
	lone_elect(&l, &now);
	replica_synced(l.r, l.token, now);
	lone_ack(&l, 3, now);
	late.epoch = replica_epoch(l.r);
	late.sent_us = now;
	for (int i = 0; i < 2; i++) {
		ck_assert_int_eq(replica_propose(l.r, STR("x"), now, &index), 0);
		replica_synced(l.r, l.token, now);
	}
	ck_assert_uint_eq(index, late.index);
	lone_replace_tail(&l, now);
	now += 5 * SECOND;
	lone_stand(&l, now);
	replica_synced(l.r, l.token, now);
	ck_assert_uint_eq(replica_last_index(l.r), late.index);
	ck_assert_int_eq(replica_receive(l.r, 2, &late, now), 0);
	ck_assert_uint_eq(replica_committed(l.r), 3);
	lone_ack(&l, 5, now);
	ck_assert_uint_eq(replica_committed(l.r), 5);
	lease_end_us = replica_lease_end_us(l.r);
	now += SECOND / 4;
	late.sent_us = now;
	ck_assert_int_eq(replica_receive(l.r, 2, &late, now), 0);
	ck_assert_int_eq(replica_lease_end_us(l.r), lease_end_us);
	lone_ack(&l, 5, now);
	ck_assert_int_gt(replica_lease_end_us(l.r), lease_end_us);
	replica_free(l.r);
}
END_TEST

/* Asks the lone replica for its vote and returns whether it grants it. */
static bool lone_grants(struct lone *l, enum replica_msg_kind kind, int64_t now)
{
	struct replica_msg m = {
		.kind = kind,
		.from_identity = 103,
		.to_identity = 101,
		.epoch = replica_epoch(l->r) + 1,
		.index = 10,
		.index_epoch = 3,
	};

	l->last.kind = 0;
	ck_assert_int_eq(replica_receive(l->r, 3, &m, now), 0);
	return l->last.kind == kind + 1 && l->last.ok;
}

static const int64_t election_us = 600000;

/*
 * Guards against a lease that outlasts the silence that it rests on: the leader's
 * clock may run 1/1000 slow and a voter's 1/1000 fast.
 */
START_TEST(lease_allows_for_drift)
{
	struct lone l = {0};
	int64_t now = SECOND;
	int64_t sent;

	lone_start(&l, now);
	lone_elect(&l, &now);
	replica_synced(l.r, l.token, now);
	sent = now;
	lone_ack(&l, 3, now);
	ck_assert(replica_lease_valid(l.r, sent + election_us * 99 / 100));
	ck_assert(!replica_lease_valid(l.r, sent + election_us * 999 / 1001));
	ck_assert_int_ge(replica_lease_end_us(l.r), sent + election_us * 99 / 100);
	ck_assert_int_le(replica_lease_end_us(l.r), sent + election_us * 999 / 1001);
	replica_tick(l.r, sent + election_us * 999 / 1001);
	ck_assert_int_ne(replica_role(l.r), REPLICA_LEADER);
	ck_assert_int_eq(replica_lease_end_us(l.r), INT64_MIN);
	replica_free(l.r);
}
END_TEST

/* Guards against a voter that helps another candidate while a lease rests on it. */
START_TEST(no_vote_during_lease)
{
	struct lone l = {0};
	int64_t now = SECOND;
	struct replica_msg m = {
		.kind = REPLICA_MSG_APPEND,
		.from_identity = 102,
		.to_identity = 101,
		.epoch = 3,
		.index = 2,
		.index_epoch = 2,
		.sent_us = 77,
	};

	lone_start(&l, now);
	/* Not before it knows that its directory is not older than its answers. */
	ck_assert(!lone_grants(&l, REPLICA_MSG_VOTE, now + 5 * SECOND));
	replica_receive(l.r, 2, &m, now + 5 * SECOND);
	ck_assert_int_ne(l.last.kind, REPLICA_MSG_APPEND_REPLY);
	lone_hello(&l, now);
	/* An answer given before the restart may carry a lease. */
	ck_assert(!lone_grants(&l, REPLICA_MSG_PREVOTE, now + election_us - 1));
	ck_assert(!lone_grants(&l, REPLICA_MSG_VOTE, now + election_us - 1));
	ck_assert(lone_grants(&l, REPLICA_MSG_PREVOTE, now + election_us));
	now += election_us;
	ck_assert_int_eq(replica_receive(l.r, 2, &m, now), 0);
	ck_assert_int_eq(l.last.kind, REPLICA_MSG_APPEND_REPLY);
	ck_assert_int_eq(l.last.sent_us, 77);
	ck_assert(!lone_grants(&l, REPLICA_MSG_PREVOTE, now + election_us - 1));
	ck_assert(!lone_grants(&l, REPLICA_MSG_VOTE, now + election_us - 1));
	ck_assert(lone_grants(&l, REPLICA_MSG_VOTE, now + election_us));
	replica_free(l.r);
}
END_TEST

/* Guards against a slow follower that is sent more than its window. */
START_TEST(window_is_bounded)
{
	static const char value[1000];
	struct lone l = {.window_bytes = 4096};
	int64_t now = SECOND;
	uint64_t index;

	lone_start(&l, now);
	lone_elect(&l, &now);
	replica_synced(l.r, l.token, now);
	lone_ack(&l, 3, now);
	for (int i = 0; i < 20; i++)
		ck_assert_int_eq(replica_propose(l.r, (struct str){value, sizeof(value)},
						 now, &index),
				 0);
	for (int i = 0; i < 5; i++)
		replica_synced(l.r, l.token, now);
	ck_assert_uint_gt(l.appended, 2000);
	ck_assert_uint_le(l.appended, 4096);
	lone_ack(&l, 5, now);
	ck_assert_uint_gt(l.appended, 4096);
	ck_assert_uint_le(l.appended, 4096 + 2000);
	replica_free(l.r);
}
END_TEST

/*
 * Guards against conflicting entries that look like the tail of an installed snapshot
 * after a crash: they are removed before the snapshot is saved.
 */
START_TEST(snapshot_install_order)
{
	/* Three members as in lone_start(), then the state "s". */
	struct lone l = {0};
	int64_t now = SECOND;
	struct buf image = {0};
	struct replica_msg m = {
		.kind = REPLICA_MSG_SNAPSHOT,
		.from_identity = 102,
		.to_identity = 101,
		.epoch = 4,
		.index = 2,
		.index_epoch = 3,
	};

	lone_start(&l, now);
	lone_hello(&l, now);
	lone_image(&image);
	m.total = image.n;
	m.chunk = buf_str(&image);
	l.n_order = 0;
	memset(l.order, 0, sizeof(l.order));
	ck_assert_int_eq(replica_receive(l.r, 2, &m, now), 0);
	ck_assert_str_eq(l.order, "TSLC");
	ck_assert_uint_eq(replica_committed(l.r), 2);
	ck_assert_int_eq(l.last.kind, REPLICA_MSG_SNAPSHOT_REPLY);
	ck_assert_uint_eq(l.last.offset, image.n);
	buf_free(&image);
	replica_free(l.r);
}
END_TEST

/* Guards against indexes and epochs at the end of their type, which wrap. */
START_TEST(number_at_the_end_of_its_type_is_refused)
{
	static const struct replica_msg messages[] = {
		{.epoch = 4, .index = UINT64_MAX, .index_epoch = 3},
		{.epoch = UINT64_MAX, .index = 2, .index_epoch = 3},
		{.epoch = 4, .index = 2, .index_epoch = UINT64_MAX},
		{.epoch = 4, .index = 2, .index_epoch = 3, .commit = UINT64_MAX},
		{.epoch = 4, .index = 2, .index_epoch = 3, .hint = UINT64_MAX},
	};
	struct replica_msg m = messages[_i];
	struct lone l = {0};
	int64_t now = SECOND;
	struct buf image = {0};
	uint64_t epoch;

	lone_start(&l, now);
	lone_hello(&l, now);
	lone_image(&image);
	epoch = replica_epoch(l.r);
	m.kind = REPLICA_MSG_SNAPSHOT;
	m.from_identity = 102;
	m.to_identity = 101;
	m.total = image.n;
	m.chunk = buf_str(&image);
	ck_assert_int_eq(replica_receive(l.r, 2, &m, now), CF_EINVAL);
	ck_assert_uint_eq(replica_epoch(l.r), epoch);
	ck_assert_uint_lt(replica_committed(l.r), 2);
	buf_free(&image);
	replica_free(l.r);
}
END_TEST

/* Guards against a damaged snapshot of a leader that replaces the log and a good one. */
START_TEST(snapshot_that_does_not_load_changes_nothing)
{
	static const int errors[] = {CF_EMALFORMED, CF_ECORRUPT};
	struct lone l = {.refuse = errors[_i]};
	int64_t now = SECOND;
	struct buf image = {0};
	struct replica_msg m = {
		.kind = REPLICA_MSG_SNAPSHOT,
		.from_identity = 102,
		.to_identity = 101,
		.epoch = 4,
		.index = 2,
		.index_epoch = 3,
	};

	lone_start(&l, now);
	lone_hello(&l, now);
	lone_image(&image);
	m.total = image.n;
	m.chunk = buf_str(&image);
	l.n_order = 0;
	memset(l.order, 0, sizeof(l.order));
	ck_assert_int_eq(replica_receive(l.r, 2, &m, now), 0);
	ck_assert_str_eq(l.order, "");
	ck_assert_int_eq(replica_failure(l.r), 0);
	ck_assert_uint_lt(replica_committed(l.r), 2);
	l.refuse = 0;
	ck_assert_int_eq(replica_receive(l.r, 2, &m, now), 0);
	ck_assert_str_eq(l.order, "TSLC");
	buf_free(&image);
	replica_free(l.r);
}
END_TEST

/* --- disks --- */

/* Proposes until that many entries committed. */
static void commit_entries(struct cluster *c, size_t count)
{
	size_t target = c->n_ref + count;
	int64_t limit = c->now + 60 * SECOND;
	uint64_t index;

	while (c->n_ref < target && !c->failure[0] && c->now < limit) {
		struct node *leader = cluster_leader(c);

		if (leader)
			cluster_propose(leader, 64, &index);
		cluster_run(c, 1000);
	}
	ck_cluster(c);
	ck_assert_uint_ge(c->n_ref, target);
}

/*
 * Guards against a hole when the snapshot is newer than the start of the log, at a
 * restart and for a follower that needs entries from before it.
 */
START_TEST(snapshot_newer_than_log_start)
{
	static struct cluster c;
	struct node *n;

	small_limits(&c.opt);
	cluster_start(&c, 13, 3, 0);
	ck_run(&c, cluster_run_to_leader(&c, 10 * SECOND));
	n = cluster_leader(&c) == &c.node[3] ? &c.node[2] : &c.node[3];
	cluster_isolate(&c, n->id, true);
	commit_entries(&c, 500);
	for (size_t i = 1; i <= 3; i++) {
		struct node *k = &c.node[i];

		if (k == n)
			continue;
		ck_assert_uint_gt(k->disk.snapshot_index, k->disk.base);
		ck_assert_uint_gt(k->disk.base, n->applied);
		node_crash(k);
		node_boot(k);
		ck_assert_uint_ge(k->applied, k->disk.snapshot_index);
	}
	cluster_heal(&c);
	ck_run(&c, cluster_settle(&c, 20 * SECOND));
	ck_cluster(&c);
	cluster_stop(&c);
}
END_TEST

/* Guards against a voter that lost its disk and helps to elect a shorter history. */
START_TEST(empty_directory_does_not_vote)
{
	static struct cluster c;
	struct node *a;
	struct node *b = NULL;
	struct node *lagging = NULL;
	size_t before;

	c.opt.auto_admit = true;
	cluster_start(&c, 14, 3, 0);
	ck_run(&c, cluster_run_to_leader(&c, 10 * SECOND));
	a = cluster_leader(&c);
	for (size_t i = 1; i <= 3; i++) {
		if (&c.node[i] == a)
			continue;
		lagging = b ? &c.node[i] : lagging;
		b = b ? b : &c.node[i];
	}
	ck_assert_ptr_ne(lagging, NULL);
	cluster_isolate(&c, lagging->id, true);
	commit_entries(&c, 20);
	before = c.n_ref;
	node_crash(a);
	node_crash(b);
	node_wipe(b);
	node_boot(b);
	cluster_isolate(&c, lagging->id, false);
	cluster_run(&c, 20 * SECOND);
	ck_cluster(&c);
	ck_assert_ptr_eq(cluster_leader(&c), NULL);
	ck_assert_uint_eq(c.n_ref, before);
	/* With the leader's disk back, it is admitted under its new identity. */
	node_boot(a);
	ck_run(&c, cluster_settle(&c, 30 * SECOND));
	cluster_run(&c, 5 * SECOND);
	ck_cluster(&c);
	ck_assert_int_ne(replica_role(b->r), REPLICA_LEARNER);
	cluster_stop(&c);
}
END_TEST

/* Guards against a voter that restarts from an older copy of its directory. */
START_TEST(older_directory_is_excluded)
{
	static struct cluster c;
	struct disk copy;
	struct node *b;
	struct node *a;

	c.expect_excluded = true;
	cluster_start(&c, 15, 3, 0);
	ck_run(&c, cluster_run_to_leader(&c, 10 * SECOND));
	a = cluster_leader(&c);
	b = a == &c.node[1] ? &c.node[2] : &c.node[1];
	commit_entries(&c, 5);
	cluster_run(&c, SECOND);
	disk_copy(&copy, &b->disk);
	commit_entries(&c, 50);
	cluster_run(&c, 2 * SECOND);
	node_crash(b);
	disk_free(&b->disk);
	b->disk = copy;
	b->disk.durable = copy.base + copy.n;
	/* The leader is lost too: what it heard must be known elsewhere. */
	node_crash(a);
	node_boot(b);
	cluster_run(&c, 10 * SECOND);
	ck_cluster(&c);
	ck_assert_int_eq(replica_role(b->r), REPLICA_EXCLUDED);
	node_boot(a);
	ck_run(&c, cluster_run_to_leader(&c, 10 * SECOND));
	ck_cluster(&c);
	cluster_stop(&c);
}
END_TEST

/* A HELLO_REPLY to b's earlier life, which knows of no acknowledgement. */
static void reply_to_earlier_life(struct node *b, const struct node *from)
{
	struct replica_msg m = {
		.kind = REPLICA_MSG_HELLO_REPLY,
		.from_identity = from->disk.promise.identity,
		.to_identity = b->disk.promise.identity,
	};

	replica_receive(b->r, from->id, &m, cluster_clock(b));
}

/* Guards against replies to an earlier life that admit an older copy of a directory. */
START_TEST(reply_to_an_earlier_life_admits_no_older_directory)
{
	static struct cluster c;
	struct disk copy;
	struct node *b;

	c.expect_excluded = true;
	cluster_start(&c, 15, 3, 0);
	ck_run(&c, cluster_run_to_leader(&c, 10 * SECOND));
	b = cluster_leader(&c) == &c.node[1] ? &c.node[2] : &c.node[1];
	commit_entries(&c, 5);
	cluster_run(&c, SECOND);
	disk_copy(&copy, &b->disk);
	commit_entries(&c, 50);
	cluster_run(&c, 2 * SECOND);
	node_crash(b);
	disk_free(&b->disk);
	b->disk = copy;
	b->disk.durable = copy.base + copy.n;
	cluster_isolate(&c, b->id, true);
	node_boot(b);
	cluster_run(&c, SECOND / 10);
	for (size_t i = 1; i <= c.n; i++)
		if (&c.node[i] != b)
			reply_to_earlier_life(b, &c.node[i]);
	for (int i = 0; i < 50; i++) {
		cluster_run(&c, SECOND / 10);
		ck_assert_int_eq(replica_role(b->r), REPLICA_FOLLOWER);
	}
	cluster_heal(&c);
	cluster_run(&c, 2 * SECOND);
	ck_cluster(&c);
	ck_assert_int_eq(replica_role(b->r), REPLICA_EXCLUDED);
	cluster_stop(&c);
}
END_TEST

/* Guards against a voter that goes on after its disk failed to sync. */
START_TEST(failed_sync_ends_the_voter)
{
	static struct cluster c;
	struct node *a;

	cluster_start(&c, 16, 3, 0);
	ck_run(&c, cluster_run_to_leader(&c, 10 * SECOND));
	a = cluster_leader(&c);
	a->fail_sync = true;
	commit_entries(&c, 5);
	ck_assert_int_eq(replica_role(a->r), REPLICA_FAILED);
	ck_assert_int_eq(replica_failure(a->r), CF_EIO);
	ck_assert_int_eq((int)(replica_deadline(a->r) == INT64_MAX), 1);
	cluster_run(&c, 2 * SECOND);
	ck_cluster(&c);
	ck_assert_ptr_ne(cluster_leader(&c), NULL);
	cluster_stop(&c);
}
END_TEST

/*
 * Guards against a leader with a full disk that ends, keeps leading or accepts what it
 * cannot store: it refuses the proposal, another voter leads at once, and it catches up
 * when there is space again.
 */
START_TEST(full_disk_ends_leadership_only)
{
	static struct cluster c;
	struct node *a;
	struct node *b;
	uint64_t index;

	small_limits(&c.opt);
	cluster_start(&c, 17, 5, 0);
	ck_run(&c, cluster_run_to_leader(&c, 10 * SECOND));
	a = cluster_leader(&c);
	a->disk_full = true;
	ck_assert_int_eq(cluster_propose(a, 32, &index), CF_ENOSPACE);
	ck_assert_int_eq(replica_failure(a->r), 0);
	cluster_run(&c, SECOND / 5);
	ck_cluster(&c);
	b = cluster_leader(&c);
	ck_assert_ptr_ne(b, NULL);
	ck_assert_ptr_ne(b, a);
	commit_entries(&c, 200);
	ck_assert_uint_lt(a->disk.durable, c.n_ref);
	/* Without its leader, it must not win an election that it cannot record. */
	cluster_isolate(&c, b->id, true);
	cluster_run(&c, 5 * SECOND);
	ck_cluster(&c);
	ck_assert_ptr_ne(cluster_leader(&c), NULL);
	ck_assert_ptr_ne(cluster_leader(&c), a);
	a->disk_full = false;
	cluster_heal(&c);
	ck_run(&c, cluster_settle(&c, 10 * SECOND));
	ck_assert_uint_eq(a->applied, c.n_ref);
	cluster_stop(&c);
}
END_TEST

/*
 * Guards against a proposal that was refused for lack of space and commits later: the
 * first entry after it is of the next epoch.
 */
START_TEST(refused_proposal_does_not_commit)
{
	static struct cluster c;
	struct node *a;
	uint64_t epoch;
	uint64_t before;
	uint64_t index;

	cluster_start(&c, 19, 1, 0);
	ck_run(&c, cluster_run_to_leader(&c, 10 * SECOND));
	a = cluster_leader(&c);
	commit_entries(&c, 5);
	cluster_run(&c, SECOND);
	before = c.n_ref;
	epoch = replica_epoch(a->r);
	a->disk_full = true;
	ck_assert_int_eq(cluster_propose(a, 32, &index), CF_ENOSPACE);
	cluster_run(&c, SECOND);
	a->disk_full = false;
	ck_run(&c, cluster_settle(&c, 10 * SECOND));
	ck_assert_uint_gt(c.ref[before].epoch, epoch);
	cluster_stop(&c);
}
END_TEST

/* Guards against commits without disk space, and a cluster that stays down after it. */
START_TEST(full_disks_come_back)
{
	static struct cluster c;
	uint64_t committed;
	uint64_t index;

	small_limits(&c.opt);
	cluster_start(&c, 18, 5, 0);
	ck_run(&c, cluster_run_to_leader(&c, 10 * SECOND));
	commit_entries(&c, 70);
	for (size_t i = 1; i <= c.n; i++)
		c.node[i].disk_full = true;
	cluster_run(&c, SECOND);
	committed = c.n_ref;
	for (int i = 0; i < 10; i++) {
		struct node *leader = cluster_leader(&c);

		if (leader)
			cluster_propose(leader, 32, &index);
		cluster_run(&c, SECOND);
	}
	ck_cluster(&c);
	ck_assert_uint_eq(c.n_ref, committed);
	for (size_t i = 1; i <= c.n; i++)
		c.node[i].disk_full = false;
	ck_run(&c, cluster_settle(&c, 10 * SECOND));
	cluster_stop(&c);
}
END_TEST

/*
 * Proposes every 10 ms where there is a leader. Returns the time until three entries have
 * committed: a leader with a stalled disk commits one with the others, and the next
 * leader begins with a barrier.
 */
static int64_t time_to_commit(struct cluster *c, int64_t span_us)
{
	int64_t start = c->now;
	uint64_t before = c->n_ref;
	uint64_t index;

	while (c->now < start + span_us && !c->failure[0]) {
		struct node *leader = cluster_leader(c);

		if (leader && c->now >= leader->frozen_until)
			cluster_propose(leader, 32, &index);
		cluster_run(c, 10000);
		if (c->n_ref > before + 2)
			break;
	}
	return c->now - start;
}

/*
 * Guards against a leader that keeps its lease while its sync hangs, so that nothing is
 * accepted until the sync ends: the others must take over within the time in which they
 * would replace a leader that is lost.
 */
START_TEST(stalled_sync_ends_leadership)
{
	static struct cluster c;
	struct node *a;

	small_limits(&c.opt);
	cluster_start(&c, (uint64_t)_i + 1, _i % 2 ? 3 : 5, 0);
	ck_run(&c, cluster_run_to_leader(&c, 10 * SECOND));
	commit_entries(&c, 10);
	cluster_run(&c, SECOND / 10);
	a = cluster_leader(&c);
	node_stall(a, 4 * SECOND);
	ck_assert_int_le(time_to_commit(&c, 4 * SECOND), election_us);
	ck_cluster(&c);
	ck_assert_ptr_ne(cluster_leader(&c), NULL);
	ck_assert_ptr_ne(cluster_leader(&c), a);
	commit_entries(&c, 100);
	cluster_run(&c, 5 * SECOND);
	ck_run(&c, cluster_settle(&c, SECOND));
	ck_assert_uint_eq(a->applied, c.n_ref);
	cluster_stop(&c);
}
END_TEST

/*
 * Guards against leaders that hand over to each other while the syncs of all voters hang,
 * and an election after that: the leader stays and accepts again at once.
 */
START_TEST(stall_of_all_disks_keeps_the_leader)
{
	static struct cluster c;
	struct node *a;
	uint64_t elections;

	cluster_start(&c, (uint64_t)_i + 1, _i % 2 ? 3 : 5, 0);
	ck_run(&c, cluster_run_to_leader(&c, 10 * SECOND));
	commit_entries(&c, 10);
	cluster_run(&c, SECOND / 10);
	a = cluster_leader(&c);
	elections = c.elections;
	for (size_t i = 1; i <= c.n; i++)
		node_stall(&c.node[i], 4 * SECOND);
	ck_assert_int_ge(time_to_commit(&c, 4 * SECOND - 20000), 4 * SECOND - 20000);
	ck_assert_int_le(time_to_commit(&c, SECOND), SECOND / 10);
	ck_cluster(&c);
	ck_assert_ptr_eq(cluster_leader(&c), a);
	ck_assert_uint_eq(c.elections, elections);
	cluster_stop(&c);
}
END_TEST

/* Guards against a planned stop that leaves the cluster without a leader for seconds. */
START_TEST(handover_is_quick)
{
	static struct cluster c;
	struct node *old;
	int64_t start;

	cluster_start(&c, (uint64_t)_i + 1, 5, 0);
	ck_run(&c, cluster_run_to_leader(&c, 10 * SECOND));
	cluster_run(&c, SECOND);
	old = cluster_leader(&c);
	ck_assert_int_eq(replica_transfer_leadership(old->r, cluster_clock(old)), 0);
	ck_assert_int_ne(replica_role(old->r), REPLICA_LEADER);
	ck_assert(!replica_lease_valid(old->r, cluster_clock(old)));
	ck_assert_int_eq(replica_transfer_leadership(old->r, cluster_clock(old)),
			 CF_ENOTLEADER);
	start = c.now;
	ck_run(&c, cluster_run_to_leader(&c, SECOND));
	ck_assert_ptr_ne(cluster_leader(&c), old);
	ck_assert_int_le(c.now - start, election_us / 4);
	cluster_stop(&c);
}
END_TEST

/* Guards against a returning partitioned voter that ends a healthy leader's epoch. */
START_TEST(returning_voter_does_not_disturb)
{
	static struct cluster c;
	struct node *n;
	uint64_t epoch;

	cluster_start(&c, 17, 5, 0);
	ck_run(&c, cluster_run_to_leader(&c, 10 * SECOND));
	epoch = replica_epoch(cluster_leader(&c)->r);
	n = cluster_leader(&c) == &c.node[5] ? &c.node[4] : &c.node[5];
	cluster_isolate(&c, n->id, true);
	cluster_run(&c, 30 * SECOND);
	cluster_isolate(&c, n->id, false);
	ck_run(&c, cluster_settle(&c, 10 * SECOND));
	ck_cluster(&c);
	ck_assert_uint_eq(replica_epoch(cluster_leader(&c)->r), epoch);
	cluster_stop(&c);
}
END_TEST

/* Guards against memory that grows with a follower that stays away. */
START_TEST(memory_is_bounded)
{
	static struct cluster c;
	size_t early;

	small_limits(&c.opt);
	cluster_start(&c, 18, 3, 0);
	ck_run(&c, cluster_run_to_leader(&c, 10 * SECOND));
	cluster_isolate(&c, cluster_leader(&c) == &c.node[1] ? 2 : 1, true);
	commit_entries(&c, 300);
	early = replica_memory(cluster_leader(&c)->r);
	commit_entries(&c, 3000);
	ck_assert_uint_le(replica_memory(cluster_leader(&c)->r), 2 * early);
	cluster_stop(&c);
}
END_TEST

/*
 * Guards against a voter that stops standing for election because of its own, not yet
 * committed removal: it may hold the longest log, which no other can outvote.
 */
START_TEST(removed_leader_still_stands)
{
	static struct cluster c;
	struct node *old;

	cluster_start(&c, 20, 4, 0);
	ck_run(&c, cluster_run_to_leader(&c, 10 * SECOND));
	cluster_run(&c, SECOND);
	old = cluster_leader(&c);
	node_crash(old == &c.node[1] ? &c.node[2] : &c.node[1]);
	cluster_isolate(&c, old->id, true);
	ck_assert_int_eq(replica_remove(old->r, old->id, old->disk.promise.identity,
					cluster_clock(old)),
			 0);
	cluster_run(&c, 5 * SECOND);
	cluster_isolate(&c, old->id, false);
	ck_run(&c, cluster_run_to_leader(&c, 20 * SECOND));
	cluster_stop(&c);
}
END_TEST

/* Guards against a first start that needs identities known in advance. */
START_TEST(cluster_grows_from_one)
{
	static struct cluster c;
	size_t voters = 0;

	c.opt.auto_admit = true;
	cluster_start(&c, 19, 1, 2);
	ck_run(&c, cluster_run_to_leader(&c, 10 * SECOND));
	cluster_run(&c, 5 * SECOND);
	ck_run(&c, cluster_settle(&c, 10 * SECOND));
	for (size_t i = 0; i < c.ref_members.n; i++)
		voters += c.ref_members.list[i].voter;
	ck_assert_uint_eq(voters, 3);
	cluster_stop(&c);
}
END_TEST

static void print_nodes(const struct cluster *c)
{
	for (size_t i = 1; i <= c->n; i++) {
		const struct node *n = &c->node[i];
		const struct replica_members *m;

		if (!n->r)
			continue;
		m = replica_members(n->r);
		printf("node %d %llx role %d epoch %d leader %d last %d commit %d "
		       "members",
		       (int)i, (unsigned long long)n->disk.promise.identity & 0xffff,
		       (int)replica_role(n->r), (int)replica_epoch(n->r),
		       (int)replica_leader(n->r), (int)replica_last_index(n->r),
		       (int)replica_committed(n->r));
		for (size_t k = 0; k < m->n; k++)
			printf(" %d/%llx%s", (int)m->list[k].id,
			       (unsigned long long)m->list[k].identity & 0xffff,
			       m->list[k].voter ? "v" : "l");
		printf("\n");
	}
}

/* Runs COUNT seeds from SEED on and prints those that fail. */
static int run_seeds(uint64_t seed, uint64_t count, bool trace)
{
	static struct cluster c;
	uint64_t total[7] = {0};
	int failed = 0;

	for (uint64_t i = 0; i < count; i++) {
		c.trace = trace;
		if (!random_run(&c, seed + i, (struct more_faults){0})) {
			printf("seed %" PRIu64 ": %s (at %" PRId64 " us)\n", seed + i,
			       c.failure, c.now);
			if (trace)
				print_nodes(&c);
			fflush(stdout);
			failed++;
		}
		total[0] += c.n_ref;
		total[1] += c.elections;
		total[2] += c.crashes;
		total[3] += c.wipes;
		total[4] += c.truncations;
		total[5] += c.installs;
		total[6] += c.changes;
		cluster_stop(&c);
	}
	printf("entries %" PRIu64 " elections %" PRIu64 " crashes %" PRIu64
	       " lost disks %" PRIu64 " truncations %" PRIu64
	       " snapshots installed %" PRIu64 " membership changes %" PRIu64 "\n",
	       total[0], total[1], total[2], total[3], total[4], total[5], total[6]);
	printf("%" PRIu64 " seeds, %d failed\n", count, failed);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	Suite *s = suite_create("replica");
	TCase *tc = tcase_create("replica");
	SRunner *sr;
	int failed;

	if (argc >= 3)
		return run_seeds(strtoull(argv[1], NULL, 10), strtoull(argv[2], NULL, 10),
				 argc > 3);
	tcase_set_timeout(tc, 300);
	tcase_add_test(tc, promise_is_durable_before_answer);
	tcase_add_test(tc, frozen_leader_does_not_act);
	tcase_add_test(tc, wait_for_replies_is_told);
	tcase_add_test(tc, wait_that_the_leader_ended_is_told);
	tcase_add_test(tc, earlier_epoch_needs_barrier);
	tcase_add_test(tc, membership_changes_do_not_overlap);
	tcase_add_test(tc, other_identity_is_refused);
	tcase_add_test(tc, reply_of_an_earlier_term_counts_for_nothing);
	tcase_add_test(tc, snapshot_newer_than_log_start);
	tcase_add_test(tc, empty_directory_does_not_vote);
	tcase_add_test(tc, older_directory_is_excluded);
	tcase_add_test(tc, reply_to_an_earlier_life_admits_no_older_directory);
	tcase_add_test(tc, failed_sync_ends_the_voter);
	tcase_add_test(tc, full_disk_ends_leadership_only);
	tcase_add_test(tc, refused_proposal_does_not_commit);
	tcase_add_test(tc, full_disks_come_back);
	tcase_add_test(tc, returning_voter_does_not_disturb);
	tcase_add_loop_test(tc, handover_is_quick, 0, HANDOVER_SEEDS);
	tcase_add_test(tc, memory_is_bounded);
	tcase_add_test(tc, lease_allows_for_drift);
	tcase_add_test(tc, no_vote_during_lease);
	tcase_add_test(tc, snapshot_install_order);
	tcase_add_loop_test(tc, number_at_the_end_of_its_type_is_refused, 0, 5);
	tcase_add_loop_test(tc, snapshot_that_does_not_load_changes_nothing, 0, 2);
	tcase_add_test(tc, window_is_bounded);
	tcase_add_test(tc, cluster_grows_from_one);
	tcase_add_test(tc, removed_leader_still_stands);
	tcase_add_loop_test(tc, regressions, 0, REGRESSION_SEEDS);
	tcase_add_loop_test(tc, random_faults, 0, CHECK_SEEDS);
	tcase_add_loop_test(tc, random_handovers, 0, CHECK_SEEDS);
	tcase_add_loop_test(tc, random_full_disks, 0, CHECK_SEEDS);
	tcase_add_loop_test(tc, random_stalls, 0, CHECK_SEEDS);
	tcase_add_loop_test(tc, random_leaves, 0, CHECK_SEEDS);
	tcase_add_loop_test(tc, stalled_sync_ends_leadership, 0, 20);
	tcase_add_loop_test(tc, stall_of_all_disks_keeps_the_leader, 0, 20);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
