/* Commands of the log and snapshots of the state processes. */
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "regress/lib_fuzz.h"
#include "regress/lib_store.h"

#define N_COMMANDS 60000
#define N_SNAPSHOTS 20000
#define COMMANDS_A_STORE 64 /* applied to one store before it begins anew */
/* Snapshot: the head up to its index, the end record, and the checksum in that. */
#define HEAD_BYTES 24
#define END_BYTES 20
#define CRC_BYTES 4
#define CUT_AT 40 /* of the record after the head, in a store without documents */

static struct buf before, after;

/* Keeps the command that was just applied. */
static void keep(struct fuzz *f, const struct rig *r)
{
	fuzz_add(f, buf_str(&r->command));
}

static void add_members(struct fuzz *f, struct rig *r)
{
	struct command_member_state state = {.voter = true};
	struct command_member_gone gone = {.state = true};

	rig_entry(r, "e1", 3);
	keep(f, r);
	rig_entry(r, "e2", 4);
	keep(f, r);
	rig_seen(r, 1, "e1", 3);
	keep(f, r);
	XDR_SET(state, name, STR("s1"));
	XDR_SET(state, address, STR("127.0.0.1:1"));
	rig_run(r, CMD_MEMBER_STATE, &state);
	keep(f, r);
	XDR_SET(gone.id, name, STR("s1"));
	rig_run(r, CMD_MEMBER_GONE, &gone);
	keep(f, r);
}

static void add_documents(struct fuzz *f, struct rig *r)
{
	FUZZ_MUST((rig_put(r, "/t/vocabulary", 0, "v1", "text", "kinds.chore=job")) == 0);
	keep(f, r);
	FUZZ_MUST((rig_put(r, "/t/service/web", 0, "p1", "executors: 2",
			   "slots=1 executors=2")) == 0);
	keep(f, r);
	rig_put(r, "/t/service/web", 1, "p2", "executors: 3", "slots=1 executors=3");
	keep(f, r);
	rig_put(r, "/t/zone/a", 0, "p3", "state: out", "state=out");
	keep(f, r);
	rig_delete(r, "/t/zone/a", 4, "d1");
	keep(f, r);
}

static void add_jobs(struct fuzz *f, struct rig *r)
{
	struct lib_task task = {
		.team = "t", .job = "j", .attempt = 1, .worker = "w", .session = 9};
	struct command_job_reject reject = {0};
	struct command_capacity capacity = {4000, 8000, 1};

	FUZZ_MUST((rig_submit(r, "t", "j", "s1", "command=run tasks=2")) == 0);
	keep(f, r);
	rig_task(r, &task, TASK_PLACED);
	keep(f, r);
	rig_task(r, &task, TASK_RUNNING);
	keep(f, r);
	task.losses = 2;
	task.pardons = 1;
	rig_task(r, &task, TASK_EVICTED);
	keep(f, r);
	task.attempt = 2;
	task.silent = 2;
	task.nsilences = 1;
	XDR_SET(task.silence[0], worker, STR("w"));
	rig_task(r, &task, TASK_PLACED);
	keep(f, r);
	rig_run(r, CMD_CAPACITY, &capacity);
	keep(f, r);
	task = (struct lib_task){.team = "t",
				 .job = "web",
				 .service = true,
				 .attempt = 1,
				 .worker = "w",
				 .session = 9};
	rig_task(r, &task, TASK_PLACED);
	keep(f, r);
	rig_submit(r, "t", "k", "s2", "command=run tasks=1");
	keep(f, r);
	XDR_SET(reject, team, STR("t"));
	XDR_SET(reject, job, STR("k"));
	XDR_SET(reject, reason, STR("too large"));
	rig_run(r, CMD_JOB_REJECT, &reject);
	keep(f, r);
	rig_cancel(r, "t", "j", "c1");
	keep(f, r);
}

static void add_claims(struct fuzz *f, struct rig *r)
{
	struct lib_claim c = {.team = "t",
			      .service = "web",
			      .key = "k1",
			      .entry = "e1",
			      .incarnation = 3,
			      .sequence = 1,
			      .hash = 5};

	for (int i = 0; i < 3; i++) {
		c.sequence++;
		c.key = i == 0 ? "k1" : i == 1 ? "k2" : "k3";
		rig_claim(r, &c);
		keep(f, r);
		if (i == 0)
			rig_claim_done(r, &c, 200, STR("answer"));
		else
			rig_claim_end(r, &c,
				      i == 1 ? CMD_CLAIM_ABORT : CMD_CLAIM_UNKNOWN);
		keep(f, r);
	}
	/* A day later keys expire. */
	r->now_us += 2 * 86400 * 1000000ULL;
	rig_seen(r, 2, NULL, 0);
	keep(f, r);
}

static void add_commands(struct fuzz *f)
{
	struct rig r;

	rig_open(&r);
	add_members(f, &r);
	add_documents(f, &r);
	add_jobs(f, &r);
	add_claims(f, &r);
	rig_close(&r);
}

static void take(struct fuzz *f, const struct store *s, struct buf *out)
{
	out->n = 0;
	FUZZ_CHECK(f, store_snapshot(s, out) == 0);
}

/* Another replica that is restored from this one is equal to it. */
static void check_snapshot(struct fuzz *f, const struct rig *r)
{
	struct store *other;

	take(f, r->s, &before);
	FUZZ_MUST((store_new(&r->options, &other)) == 0);
	FUZZ_CHECK(f, store_restore(other, buf_str(&before)) == 0);
	take(f, other, &after);
	FUZZ_CHECK(f, str_eq(buf_str(&before), buf_str(&after)));
	store_free(other);
}

static bool decodes(struct str bytes)
{
	struct command c = {0};
	int err = codec_decode((xdrproc_t)xdr_command, &c, bytes);

	codec_free((xdrproc_t)xdr_command, &c);
	return !err;
}

/* What follows the index in a snapshot, without the checksum. */
static struct str content(const struct buf *snapshot)
{
	return (struct str){snapshot->p + HEAD_BYTES,
			    snapshot->n - HEAD_BYTES - CRC_BYTES};
}

static void begin_store(struct fuzz *f, struct rig *r, size_t n)
{
	rig_close(r);
	rig_open(r);
	for (size_t i = 0; i < n; i++)
		rig_apply(r, buf_str(&f->seeds[i]));
}

/*
 * Guards against a command that ends every replica, one that is refused and yet changes
 * the state, and a state that cannot be restored from its snapshot.
 */
START_TEST(commands)
{
	struct str input;
	struct fuzz f;
	struct rig r;

	fuzz_open(&f, "store_commands", N_COMMANDS);
	add_commands(&f);
	rig_open(&r);
	while (fuzz_next(&f, &input)) {
		if (f.inputs % COMMANDS_A_STORE == 1)
			begin_store(&f, &r, prng_below(&f.prng, f.n_seeds + 1));
		if (decodes(input)) {
			f.accepted++;
			FUZZ_CHECK(&f,
				   store_apply(r.s, ++r.index, input, &r.result) == 0);
			check_snapshot(&f, &r);
			continue;
		}
		take(&f, r.s, &before);
		FUZZ_CHECK(&f, store_apply(r.s, ++r.index, input, &r.result) == 0);
		take(&f, r.s, &after);
		FUZZ_CHECK(&f, str_eq(content(&before), content(&after)));
	}
	rig_close(&r);
	fuzz_close(&f);
}
END_TEST

/* The checksum is right again, as it would be in a snapshot that was written so. */
static void mend_checksum(struct buf *snapshot)
{
	struct str body = {snapshot->p, snapshot->n - END_BYTES};

	lib_put_u32(snapshot->p + snapshot->n - CRC_BYTES, lib_crc(body));
}

/* Valid commands are applied to a store that came from a snapshot. */
static void check_goes_on(struct fuzz *f, struct rig *r, const struct fuzz *all)
{
	uint64_t index = store_index(r->s);

	check_snapshot(f, r);
	for (size_t i = 0; i < all->n_seeds && index < UINT64_MAX; i++)
		FUZZ_CHECK(f, store_apply(r->s, ++index, buf_str(&all->seeds[i]),
					  &r->result) == 0);
	check_snapshot(f, r);
}

/*
 * Guards against a snapshot that ends the process, that is refused and yet changes the
 * state, or that is taken and cannot be given on.
 */
START_TEST(snapshots)
{
	struct fuzz all = {0};
	struct buf changed = {0};
	struct str input;
	struct fuzz f;
	struct rig r;

	add_commands(&all);
	fuzz_open(&f, "store_snapshots", N_SNAPSHOTS);
	rig_open(&r);
	for (size_t i = 0; i < all.n_seeds; i++) {
		rig_apply(&r, buf_str(&all.seeds[i]));
		take(&f, r.s, &before);
		fuzz_add(&f, buf_str(&before));
	}
	while (fuzz_next(&f, &input)) {
		changed.n = 0;
		FUZZ_MUST((buf_add(&changed, input.p, input.n)) == 0);
		if (changed.n >= END_BYTES)
			mend_checksum(&changed);
		take(&f, r.s, &before);
		if (store_restore(r.s, buf_str(&changed)) == 0) {
			f.accepted++;
			check_goes_on(&f, &r, &all);
			continue;
		}
		take(&f, r.s, &after);
		FUZZ_CHECK(&f, str_eq(buf_str(&before), buf_str(&after)));
	}
	rig_close(&r);
	buf_free(&changed);
	fuzz_close(&f);
	fuzz_free(&all);
}
END_TEST

/* Case: the first revision of the log of changes lies far behind the snapshot. */
START_TEST(snapshot_of_later_changes_is_refused)
{
	struct buf snapshot = {0};
	struct fuzz f = {0};
	struct rig r;

	rig_open(&r);
	rig_entry(&r, "e1", 3);
	take(&f, r.s, &snapshot);
	snapshot.p[CUT_AT] = 1;
	mend_checksum(&snapshot);
	ck_assert_int_eq(store_restore(r.s, buf_str(&snapshot)), CF_ECORRUPT);
	rig_close(&r);
	buf_free(&snapshot);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {commands, snapshots,
				      snapshot_of_later_changes_is_refused};

	return fuzz_main("fuzz_store", tests, sizeof(tests) / sizeof(tests[0]));
}
