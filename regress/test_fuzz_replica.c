/* Messages of other members to one replica. */
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/replica_priv.h"
#include "regress/lib_fuzz.h"

#define N_MESSAGES 60000
#define MESSAGES_A_LIFE 200 /* of one replica before it begins anew */
#define SECOND_US 1000000
#define MAX_STEP_US 300000

/* Accepts what the replica stores and applies; its disk never fails. */
struct member {
	struct replica_host host; /* first member */
	struct replica *r;
	uint64_t token;
	uint64_t applied;
	struct fuzz *f;
};

static void op_send(struct replica_host *h, uint64_t to, const struct replica_msg *m)
{
	struct buf bytes = {0};

	FUZZ_CHECK(((struct member *)h)->f, replica_msg_encode(m, &bytes) == 0);
	buf_free(&bytes);
}

static int op_append(struct replica_host *h, const struct replica_entry *e, size_t n)
{
	return 0;
}

static int op_truncate(struct replica_host *h, uint64_t index)
{
	FUZZ_CHECK(((struct member *)h)->f, index > ((struct member *)h)->applied);
	return 0;
}

static int op_promise(struct replica_host *h, const struct replica_promise *p)
{
	return 0;
}

static void op_sync(struct replica_host *h, uint64_t token)
{
	((struct member *)h)->token = token;
}

/* Entries are applied once each, in order. */
static void op_apply(struct replica_host *h, const struct replica_entry *e)
{
	struct member *m = (struct member *)h;

	FUZZ_CHECK(m->f, e->index == m->applied + 1);
	m->applied = e->index;
}

static int op_take(struct replica_host *h, struct buf *out)
{
	return buf_adds(out, "state");
}

static int op_check(struct replica_host *h, struct str state)
{
	return str_eq(state, STR("state")) ? 0 : CF_EMALFORMED;
}

static int op_load(struct replica_host *h, uint64_t index, uint64_t epoch,
		   struct str state)
{
	FUZZ_CHECK(((struct member *)h)->f, str_eq(state, STR("state")));
	((struct member *)h)->applied = index;
	return 0;
}

static int op_save(struct replica_host *h, uint64_t index, uint64_t epoch,
		   struct str bytes)
{
	return 0;
}

static int op_compact(struct replica_host *h, uint64_t index)
{
	return 0;
}

static const struct replica_ops ops = {
	.send = op_send,
	.append = op_append,
	.truncate = op_truncate,
	.save_promise = op_promise,
	.sync = op_sync,
	.apply = op_apply,
	.take_snapshot = op_take,
	.check_snapshot = op_check,
	.load_snapshot = op_load,
	.save_snapshot = op_save,
	.compact = op_compact,
};

static const struct replica_members three = {
	.n = 3, .list = {{1, 101, true}, {2, 102, true}, {3, 103, true}}};

static void begin(struct member *m, int64_t now_us)
{
	static const uint64_t peers[] = {2, 3};
	struct replica_options opt = {.host = &m->host,
				      .id = 1,
				      .peers = peers,
				      .n_peers = 2,
				      .bootstrap = &three,
				      .promise = {.identity = 101},
				      .snapshot_every = 20,
				      .keep_entries = 5,
				      .seed = m->f->seed};

	replica_free(m->r);
	m->token = 0;
	m->applied = 0;
	FUZZ_MUST((replica_new(&opt, &m->r, now_us)) == 0);
}

static void add_message(struct fuzz *f, struct replica_msg m)
{
	struct buf bytes = {0};

	m.from_identity = 102;
	m.to_identity = 101;
	FUZZ_MUST((replica_msg_encode(&m, &bytes)) == 0);
	fuzz_add(f, buf_str(&bytes));
	buf_free(&bytes);
}

static void add_appends(struct fuzz *f)
{
	struct replica_entry e[3] = {{.kind = REPLICA_BARRIER}, {.data = STR("entry")}};
	struct buf members = {0};

	FUZZ_MUST((replica_members_encode(&three, &members)) == 0);
	e[2].kind = REPLICA_MEMBERS;
	e[2].data = buf_str(&members);
	for (uint64_t at = 0; at < 9; at += 3) {
		struct replica_msg m = {.kind = REPLICA_MSG_APPEND,
					.epoch = 1 + at / 6,
					.index = at,
					.index_epoch = at > 6 ? 2 : at > 0,
					.commit = at,
					.sent_us = 5,
					.entries = e,
					.n_entries = 3};

		for (uint64_t i = 0; i < 3; i++) {
			e[i].index = at + 1 + i;
			e[i].epoch = m.epoch;
		}
		add_message(f, m);
	}
	buf_free(&members);
}

static void add_messages(struct fuzz *f)
{
	struct buf image = {0};
	struct replica_msg m = {.epoch = 1, .index = 3, .index_epoch = 1, .ok = true};

	add_appends(f);
	for (m.kind = REPLICA_MSG_PREVOTE; m.kind <= REPLICA_MSG_VOTE_REPLY; m.kind++)
		add_message(f, m);
	m.kind = REPLICA_MSG_APPEND_REPLY;
	add_message(f, m);
	m.ok = false;
	add_message(f, m);
	for (m.kind = REPLICA_MSG_HELLO; m.kind <= REPLICA_MSG_HANDOVER_VOTE; m.kind++)
		add_message(f, m);
	FUZZ_MUST((replica_image_encode(&three, STR("state"), &image)) == 0);
	m = (struct replica_msg){.kind = REPLICA_MSG_SNAPSHOT,
				 .epoch = 2,
				 .index = 12,
				 .index_epoch = 2,
				 .total = image.n,
				 .chunk = buf_str(&image)};
	add_message(f, m);
	m.kind = REPLICA_MSG_SNAPSHOT_REPLY;
	m.ok = true;
	add_message(f, m);
	buf_free(&image);
}

static void receive(struct member *m, struct str input, int64_t now_us)
{
	struct replica_msg *msg = NULL;

	if (replica_msg_decode(input, &msg))
		return;
	m->f->accepted++;
	replica_receive(m->r, 2 + prng_below(&m->f->prng, 2), msg, now_us);
	replica_msg_free(msg);
}

/* Guards against a message of one member that ends another. */
START_TEST(messages)
{
	struct member m = {.host = {.ops = &ops}};
	int64_t now_us = SECOND_US;
	struct str input;
	struct fuzz f;

	fuzz_open(&f, "replica_messages", N_MESSAGES);
	add_messages(&f);
	m.f = &f;
	while (fuzz_next(&f, &input)) {
		if (f.inputs % MESSAGES_A_LIFE == 1)
			begin(&m, now_us);
		receive(&m, input, now_us);
		if (m.token && prng_below(&f.prng, 2)) {
			uint64_t token = m.token;

			m.token = 0;
			replica_synced(m.r, token, now_us);
		}
		now_us += (int64_t)prng_below(&f.prng, MAX_STEP_US);
		replica_tick(m.r, now_us);
		FUZZ_CHECK(&f, replica_failure(m.r) == 0);
	}
	replica_free(m.r);
	fuzz_close(&f);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {messages};

	return fuzz_main("fuzz_replica", tests, sizeof(tests) / sizeof(tests[0]));
}
