/* Members that come, go and are given up: who has a vote, and how soon. */
#include <check.h>
#include <stdlib.h>

#include "base/err.h"
#include "regress/lib_cluster.h"

#define SECOND 1000000LL
#define ELECTION_US 600000

static size_t count_voters(const struct cluster *c)
{
	size_t voters = 0;

	for (size_t i = 0; i < c->ref_members.n; i++)
		voters += c->ref_members.list[i].voter;
	return voters;
}

static bool is_voter(const struct cluster *c, uint64_t id)
{
	for (size_t i = 0; i < c->ref_members.n; i++)
		if (c->ref_members.list[i].id == id && c->ref_members.list[i].voter)
			return true;
	return false;
}

/* A cluster that takes in any process and has so many voters at most; with a leader. */
static void start_open_membership(struct cluster *c, uint64_t seed, size_t voters,
				  size_t learners)
{
	c->opt.auto_admit = true;
	c->opt.admit_any = true;
	c->opt.max_voters = voters;
	cluster_start(c, seed, voters, learners);
	ck_run(c, cluster_run_to_leader(c, 10 * SECOND));
}

static struct node *follower(struct cluster *c)
{
	return cluster_leader(c) == &c->node[1] ? &c->node[2] : &c->node[1];
}

/*
 * Guards against a dead voter that keeps its place while a learner could have it, and
 * against more voters than the bound once it is back, with its disk or without.
 */
START_TEST(learner_takes_the_place_of_a_dead_voter)
{
	static struct cluster c;
	struct node *dead;

	start_open_membership(&c, (uint64_t)_i + 30, 3, 1);
	cluster_run(&c, 2 * SECOND);
	ck_assert_uint_eq(count_voters(&c), 3);
	ck_assert(!is_voter(&c, 4));
	dead = follower(&c);
	node_crash(dead);
	cluster_run(&c, 2 * SECOND);
	ck_assert(!is_voter(&c, 4)); /* it may be back at any moment */
	cluster_run(&c, 8 * SECOND);
	ck_cluster(&c);
	ck_assert(is_voter(&c, 4));
	ck_assert(!is_voter(&c, dead->id));
	ck_assert_uint_eq(count_voters(&c), 3);
	if (_i % 2)
		node_wipe(dead);
	node_boot(dead);
	ck_run(&c, cluster_settle(&c, 10 * SECOND));
	cluster_run(&c, 5 * SECOND);
	ck_cluster(&c);
	ck_assert_uint_eq(count_voters(&c), 3);
	ck_assert(!is_voter(&c, dead->id));
	cluster_stop(&c);
}
END_TEST

/* Writes the four followers of a cluster of five. */
static void list_followers(struct cluster *c, struct node **f)
{
	for (uint64_t i = 1, n = 0; i <= 5; i++)
		if (&c->node[i] != cluster_leader(c))
			f[n++] = &c->node[i];
}

static struct node *start_successor(struct cluster *c)
{
	struct node *n = cluster_add(c);

	node_boot(n);
	return n;
}

/*
 * Guards against a voter that was without contact for seconds, lost its place to the
 * successor of another one and does not ask for it in time: the next two losses then
 * leave no quorum, for good.
 */
START_TEST(voter_that_was_given_up_is_back_before_the_next_losses)
{
	static struct cluster c;
	struct node *f[4];
	struct node *successor;

	start_open_membership(&c, (uint64_t)_i + 400, 5, 0);
	cluster_run(&c, 2 * SECOND);
	list_followers(&c, f);
	if (_i % 3 == 0)
		node_crash(f[0]);
	else if (_i % 3 == 1)
		node_freeze(f[0], 7 * SECOND / 2);
	else
		cluster_isolate(&c, f[0]->id, true);
	cluster_run(&c, SECOND / 5);
	node_crash(f[1]);
	cluster_run(&c, SECOND);
	successor = start_successor(&c);
	cluster_run(&c, 23 * SECOND / 10);
	ck_assert(!is_voter(&c, f[0]->id)); /* silent for longest */
	ck_assert(is_voter(&c, successor->id));
	if (_i % 3 == 0)
		node_boot(f[0]);
	cluster_isolate(&c, f[0]->id, false);
	cluster_run(&c, 4 * SECOND);
	ck_cluster(&c);
	ck_assert(is_voter(&c, f[0]->id));
	node_crash(f[2]);
	cluster_run(&c, SECOND / 3);
	node_crash(f[3]);
	cluster_run(&c, SECOND);
	start_successor(&c);
	start_successor(&c);
	ck_run(&c, cluster_settle(&c, 10 * SECOND));
	cluster_run(&c, 4 * SECOND);
	ck_cluster(&c);
	ck_assert_uint_eq(count_voters(&c), 5);
	cluster_stop(&c);
}
END_TEST

/*
 * Guards against a site that loses its quorum for good: a voter ends as planned while its
 * successor is there, and two other disks are lost soon after.
 */
START_TEST(voter_that_ends_gives_its_vote_to_its_successor)
{
	static struct cluster c;
	struct node *gone;
	unsigned int wiped = 0;

	start_open_membership(&c, (uint64_t)_i + 300, 5, 1);
	cluster_run(&c, 2 * SECOND);
	ck_assert_uint_eq(count_voters(&c), 5);
	gone = _i % 2 ? follower(&c) : cluster_leader(&c);
	replica_leave(gone->r, cluster_clock(gone));
	if (replica_role(gone->r) == REPLICA_LEADER) {
		cluster_run(&c, SECOND / 20);
		ck_assert_int_eq(
			replica_transfer_leadership(gone->r, cluster_clock(gone)), 0);
	}
	cluster_run(&c, 3 * SECOND / 10);
	ck_assert(replica_may_leave(gone->r));
	node_crash(gone);
	for (uint64_t i = 1; i <= 5 && wiped < 2; i++) {
		if (&c.node[i] == gone)
			continue;
		node_crash(&c.node[i]);
		node_wipe(&c.node[i]);
		node_boot(&c.node[i]);
		wiped++;
	}
	ck_run(&c, cluster_run_to_leader(&c, 10 * SECOND));
	cluster_run(&c, 10 * SECOND);
	ck_cluster(&c);
	ck_assert(!is_voter(&c, gone->id));
	ck_assert_uint_eq(count_voters(&c), 5);
	cluster_stop(&c);
}
END_TEST

/* Guards against a restart that costs a vote which no other member takes over. */
START_TEST(voter_without_successor_keeps_its_vote)
{
	static struct cluster c;
	struct node *gone;

	start_open_membership(&c, (uint64_t)_i + 330, 3, 0);
	gone = follower(&c);
	replica_leave(gone->r, cluster_clock(gone));
	ck_assert(replica_may_leave(gone->r));
	cluster_run(&c, SECOND);
	ck_assert(is_voter(&c, gone->id));
	node_crash(gone);
	node_boot(gone);
	ck_run(&c, cluster_settle(&c, 10 * SECOND));
	ck_assert(is_voter(&c, gone->id));
	ck_cluster(&c);
	cluster_stop(&c);
}
END_TEST

/* Guards against a handover that passes over a voter whose earlier life was leaving. */
START_TEST(restarted_voter_takes_over)
{
	static struct cluster c;
	struct node *back, *old;
	int64_t start;

	start_open_membership(&c, (uint64_t)_i + 360, 3, 0);
	cluster_run(&c, SECOND);
	old = cluster_leader(&c);
	back = follower(&c);
	replica_leave(back->r, cluster_clock(back));
	cluster_run(&c, SECOND / 20);
	node_crash(back);
	node_boot(back);
	cluster_run(&c, SECOND / 4);
	for (uint64_t i = 1; i <= 3; i++) {
		struct node *other = &c.node[i];

		if (other == back || other == old)
			continue;
		replica_leave(other->r, cluster_clock(other));
		cluster_run(&c, SECOND / 20);
		node_crash(other);
	}
	ck_assert_ptr_eq(cluster_leader(&c), old);
	ck_assert_int_eq(replica_transfer_leadership(old->r, cluster_clock(old)), 0);
	start = c.now;
	ck_run(&c, cluster_run_to_leader(&c, SECOND));
	ck_assert_ptr_eq(cluster_leader(&c), back);
	ck_assert_int_le(c.now - start, ELECTION_US / 4);
	cluster_stop(&c);
}
END_TEST

/*
 * Guards against a voter that is gone for good and keeps its place for longer than the
 * timeout for members that do not answer. _i % 2: it led.
 */
START_TEST(voter_that_is_gone_is_replaced_in_time)
{
	static struct cluster c;
	struct node *gone, *successor;

	start_open_membership(&c, (uint64_t)_i + 500, 5, 0);
	cluster_run(&c, 2 * SECOND);
	gone = _i % 2 ? cluster_leader(&c) : follower(&c);
	node_crash(gone);
	cluster_run(&c, SECOND);
	successor = start_successor(&c);
	ck_run(&c, cluster_run_to_leader(&c, 10 * SECOND));
	/* The timeout, counted from the election if it led, and three heartbeats. */
	cluster_run(&c, (_i % 2 ? 0 : -SECOND) + 5 * SECOND / 2 + 3 * SECOND / 10);
	ck_cluster(&c);
	ck_assert(!is_voter(&c, gone->id));
	ck_assert(is_voter(&c, successor->id));
	ck_assert_uint_eq(count_voters(&c), 5);
	cluster_stop(&c);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("replica_member");
	TCase *tc = tcase_create("replica_member");
	SRunner *sr;
	int failed;

	tcase_set_timeout(tc, 300);
	tcase_add_loop_test(tc, learner_takes_the_place_of_a_dead_voter, 0, 10);
	tcase_add_loop_test(tc, voter_that_was_given_up_is_back_before_the_next_losses, 0,
			    12);
	tcase_add_loop_test(tc, voter_that_ends_gives_its_vote_to_its_successor, 0, 10);
	tcase_add_loop_test(tc, voter_without_successor_keeps_its_vote, 0, 10);
	tcase_add_loop_test(tc, restarted_voter_takes_over, 0, 10);
	tcase_add_loop_test(tc, voter_that_is_gone_is_replaced_in_time, 0, 20);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
