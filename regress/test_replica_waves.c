/*
 * Waves of losses within the tolerance of five controllers: at most two places are lost
 * at a time, and each counts as lost for CATCH_UP after it is back or its successor
 * starts.
 */
#include <check.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "regress/lib_cluster.h"

#define SECOND 1000000LL
#define PLACES 5U
#define TOLERANCE 2U
#define CATCH_UP (4 * SECOND)  /* of docs/platform.md */
#define RECOVERY (12 * SECOND) /* bound of a core without a leader */
#define SPAN (90 * SECOND)
#define STEP 20000
#define LEARN_PERIOD (SECOND / 2)
#define CHECK_SEEDS 150

enum loss_kind {
	LOSS_DARK, /* without power */
	LOSS_FROZEN,
	LOSS_SLOW, /* frozen for most of the time */
	LOSS_CUT,
	LOSS_CUT_IN,  /* hears nobody */
	LOSS_CUT_OUT, /* is not heard */
	LOSS_DISK,    /* starts again at once, empty */
	LOSS_GONE,    /* an empty one starts at another address */
	LOSS_KINDS,
};

/* Where one of the five controllers runs. */
struct place {
	struct node *n;
	bool lost; /* the disturbance goes on */
	enum loss_kind kind;
	int64_t back_at;
	int64_t boot_at;      /* of the process, after the machine's start; 0: it runs */
	int64_t counts_until; /* as lost */
	int64_t since;	      /* for a message */
};

struct waves {
	struct cluster c;
	struct place place[PLACES];
	int64_t led_at;	    /* newest time with a leader */
	bool hurried;	    /* the next loss comes as soon as it may */
	unsigned int kinds; /* bit set of enum loss_kind */
	size_t replacements;
};

static int64_t draw(struct waves *w, int64_t low, int64_t high)
{
	return low + (int64_t)prng_below(&w->c.prng, (uint64_t)(high - low + 1));
}

static bool is_counted(const struct waves *w, const struct place *p)
{
	return p->lost || w->c.now < p->counts_until;
}

static size_t count_lost(const struct waves *w)
{
	size_t n = 0;

	for (size_t i = 0; i < PLACES; i++)
		n += is_counted(w, &w->place[i]);
	return n;
}

static void cut(struct waves *w, uint64_t id, bool in, bool out, bool on)
{
	for (size_t i = 1; i <= CLUSTER_MAX; i++) {
		if (in)
			w->c.cut[i][id] = on;
		if (out)
			w->c.cut[id][i] = on;
	}
}

static void lose(struct waves *w, struct place *p, enum loss_kind kind)
{
	p->lost = true;
	p->kind = kind;
	p->since = w->c.now;
	p->back_at = w->c.now + draw(w, SECOND / 5, 9 * SECOND);
	switch (kind) {
	case LOSS_DARK:
		node_crash(p->n);
		break;
	case LOSS_FROZEN:
		node_freeze(p->n, p->back_at - w->c.now);
		break;
	case LOSS_SLOW:
		break;
	case LOSS_CUT:
	case LOSS_CUT_IN:
	case LOSS_CUT_OUT:
		cut(w, p->n->id, kind != LOSS_CUT_OUT, kind != LOSS_CUT_IN, true);
		break;
	case LOSS_DISK:
		node_crash(p->n);
		node_wipe(p->n);
		p->back_at = w->c.now + draw(w, SECOND / 10, SECOND);
		break;
	default:
		node_crash(p->n);
		p->back_at = w->c.now + draw(w, SECOND / 5, 3 * SECOND);
		break;
	}
}

/* Starts its process within half a second. */
static void come_back(struct waves *w, struct place *p)
{
	p->lost = false;
	p->counts_until = w->c.now + CATCH_UP;
	if (p->kind == LOSS_CUT || p->kind == LOSS_CUT_IN || p->kind == LOSS_CUT_OUT)
		cut(w, p->n->id, true, true, false);
	/* A cut that another place is still under. */
	for (size_t i = 0; i < PLACES; i++) {
		const struct place *q = &w->place[i];

		if (q->lost && q->kind >= LOSS_CUT && q->kind <= LOSS_CUT_OUT)
			cut(w, q->n->id, q->kind != LOSS_CUT_OUT, q->kind != LOSS_CUT_IN,
			    true);
	}
	if (p->kind == LOSS_GONE) {
		p->n = cluster_add(&w->c);
		w->replacements++;
	}
	if (!p->n->r)
		p->boot_at = w->c.now + draw(w, 0, SECOND / 2);
}

static struct place *draw_place(struct waves *w)
{
	const struct node *leader = cluster_leader(&w->c);
	struct place *p;

	for (size_t i = 0; leader && i < PLACES && draw(w, 0, 2) == 0; i++)
		if (w->place[i].n == leader && !is_counted(w, &w->place[i]))
			return &w->place[i];
	do {
		p = &w->place[draw(w, 0, PLACES - 1)];
	} while (is_counted(w, p));
	return p;
}

static enum loss_kind draw_kind(struct waves *w)
{
	enum loss_kind kind;

	do {
		kind = (enum loss_kind)draw(w, 0, LOSS_KINDS - 1);
	} while (!(w->kinds & 1U << kind));
	return kind == LOSS_GONE && w->c.n == CLUSTER_MAX ? LOSS_DISK : kind;
}

/* A loss, or one of two places at once, as of a zone. */
static void next_loss(struct waves *w)
{
	enum loss_kind kind = draw_kind(w);
	size_t n = count_lost(w) == 0 && draw(w, 0, 3) == 0 ? 2 : 1;

	while (n-- && count_lost(w) < TOLERANCE && w->c.n < CLUSTER_MAX)
		lose(w, draw_place(w), kind);
}

static void step_place(struct waves *w, struct place *p)
{
	if (p->lost && p->kind == LOSS_SLOW && w->c.now >= p->n->frozen_until &&
	    w->c.now < p->back_at)
		node_freeze(p->n, draw(w, STEP, SECOND));
	if (p->lost && w->c.now >= p->back_at)
		come_back(w, p);
	if (!p->n->r && !p->lost && w->c.now >= p->boot_at)
		node_boot(p->n);
}

/* As controllers do: they ask others for the members while they hear no leader. */
static void learn_members(struct waves *w, const struct node *n)
{
	uint64_t ids[REPLICA_MAX_MEMBERS];

	if (!n->r || replica_leader(n->r))
		return;
	for (size_t i = 0; i < w->c.ref_members.n; i++)
		ids[i] = w->c.ref_members.list[i].id;
	replica_set_peers(n->r, ids, w->c.ref_members.n);
}

/* A place that does not count as lost has a vote. */
static void check_votes(struct waves *w)
{
	for (size_t i = 0; i < PLACES; i++) {
		const struct node *n = w->place[i].n;
		bool voter = false;

		for (size_t k = 0; k < w->c.ref_members.n; k++) {
			const struct replica_member *m = &w->c.ref_members.list[k];

			voter = voter || (m->id == n->id && m->voter &&
					  m->identity == n->disk.promise.identity);
		}
		if (!voter && !is_counted(w, &w->place[i]))
			cluster_fail(
				&w->c,
				"node %d has no vote, lost at %d ms (kind %d) and back",
				(int)n->id, (int)(w->place[i].since / 1000),
				(int)w->place[i].kind);
	}
}

static void check_leader(struct waves *w)
{
	if (cluster_leader(&w->c))
		w->led_at = w->c.now;
	else if (w->c.now - w->led_at > RECOVERY)
		cluster_fail(&w->c, "no leader since %d ms", (int)(w->led_at / 1000));
}

static void propose_everywhere(struct waves *w)
{
	uint64_t index;

	for (size_t i = 0; i < PLACES; i++)
		if (w->place[i].n->r && w->c.now >= w->place[i].n->frozen_until)
			cluster_propose(w->place[i].n, 64, &index);
}

/* One run. Returns whether all rules held; the failure stays in w->c. */
static bool run_waves(struct waves *w, uint64_t seed, unsigned int kinds)
{
	int64_t next = 8 * SECOND;

	w->kinds = kinds;
	w->c.opt.auto_admit = true;
	w->c.opt.admit_any = true;
	w->c.opt.max_voters = PLACES;
	w->c.opt.snapshot_every = 400;
	w->c.opt.keep_entries = 100;
	cluster_start(&w->c, seed, PLACES, 0);
	for (size_t i = 0; i < PLACES; i++)
		w->place[i] = (struct place){.n = &w->c.node[i + 1]};
	w->hurried = seed % 2;
	while (w->c.now < SPAN && !w->c.failure[0]) {
		cluster_run(&w->c, STEP);
		propose_everywhere(w);
		for (size_t i = 0; i < PLACES; i++)
			step_place(w, &w->place[i]);
		for (size_t i = 0; w->c.now % LEARN_PERIOD == 0 && i < PLACES; i++)
			learn_members(w, w->place[i].n);
		if (w->c.now >= next && count_lost(w) < TOLERANCE &&
		    w->c.n < CLUSTER_MAX) {
			next_loss(w);
			next = w->c.now + draw(w, 0, w->hurried ? SECOND : 6 * SECOND);
		}
		check_votes(w);
		check_leader(w);
	}
	for (int64_t end = w->c.now + 20 * SECOND; w->c.now < end && !w->c.failure[0];) {
		cluster_run(&w->c, STEP);
		for (size_t i = 0; i < PLACES; i++)
			step_place(w, &w->place[i]);
	}
	if (!w->c.failure[0] && !cluster_leader(&w->c))
		cluster_fail(&w->c, "no leader after the last loss");
	return w->c.failure[0] == '\0';
}

#define ALL_KINDS ((1U << LOSS_KINDS) - 1)

/*
 * Guards against losses within the tolerance that leave the core without a leader,
 * without five votes in time, or with two quorums that miss each other.
 */
START_TEST(losses_within_the_tolerance_end_nothing)
{
	static struct waves w;

	if (!run_waves(&w, (uint64_t)_i + 1, ALL_KINDS))
		ck_abort_msg("seed %d: %s", _i + 1, w.c.failure);
	cluster_stop(&w.c);
	w = (struct waves){0};
}
END_TEST

/* Runs COUNT seeds from SEED on and prints those that fail. */
static int run_seeds(uint64_t seed, uint64_t count, bool trace)
{
	static struct waves w;
	int failed = 0;

	for (uint64_t i = 0; i < count; i++) {
		w.c.trace = trace;
		if (!run_waves(&w, seed + i, ALL_KINDS)) {
			printf("seed %" PRIu64 ": %s (at %" PRId64 " ms)\n", seed + i,
			       w.c.failure, w.c.now / 1000);
			fflush(stdout);
			failed++;
		}
		cluster_stop(&w.c);
		w = (struct waves){0};
	}
	printf("%" PRIu64 " seeds, %d failed\n", count, failed);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	Suite *s = suite_create("replica_waves");
	TCase *tc = tcase_create("replica_waves");
	SRunner *sr;
	int failed;

	if (argc >= 3)
		return run_seeds(strtoull(argv[1], NULL, 10), strtoull(argv[2], NULL, 10),
				 argc > 3);
	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, losses_within_the_tolerance_end_nothing, 0, CHECK_SEEDS);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
