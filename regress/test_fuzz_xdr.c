/* Messages between processes and records of the log, as XDR. */
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/replica_priv.h"
#include "proto/codec.h"
#include "proto/command.h"
#include "proto/dag.h"
#include "proto/peer.h"
#include "proto/replica.h"
#include "regress/lib_fuzz.h"

#define N_INPUTS 4000 /* of each type */
#define N_SEEDS 40
#define SEED_WORDS 300

#define TYPE(name)                                                \
	{                                                         \
#name, (xdrproc_t)xdr_##name, sizeof(struct name) \
	}

static const struct xdr_type {
	const char *name;
	xdrproc_t proc;
	size_t size;
} types[] = {
	TYPE(dag_batch),
	TYPE(dag_image),
	TYPE(dag_request),
	TYPE(dag_reply),
	TYPE(dag_calls),
	TYPE(dag_call_answers),
	TYPE(command),
	TYPE(command_result),
	TYPE(snap_record),
	TYPE(peer_cred),
	TYPE(peer_propose_args),
	TYPE(peer_propose_res),
	TYPE(peer_watch_args),
	TYPE(peer_watch_res),
	TYPE(peer_worker_args),
	TYPE(peer_worker_res),
	TYPE(peer_read_args),
	TYPE(peer_read_res),
	TYPE(replica_wire),
	TYPE(replica_wire_members),
	TYPE(replica_wire_image),
};

/*
 * Makes a valid message of any type: small random words decode, at least in part, and
 * what they decode to is encoded. Empty if that is not valid.
 */
static void make_seed(const struct xdr_type *t, struct prng *prng, struct buf *out)
{
	void *object = calloc(1, t->size);
	char bytes[4 * SEED_WORDS];

	FUZZ_MUST(object);
	for (size_t i = 0; i < SEED_WORDS; i++)
		codec_put_u32(bytes + 4 * i, (uint32_t)prng_below(prng, 7));
	codec_decode(t->proc, object, (struct str){bytes, sizeof(bytes)});
	out->n = 0;
	if (codec_encode(t->proc, object, out))
		out->n = 0;
	codec_free(t->proc, object);
	free(object);
	if (!out->n)
		return;
	object = calloc(1, t->size);
	FUZZ_MUST(object);
	if (codec_decode(t->proc, object, buf_str(out)))
		out->n = 0;
	codec_free(t->proc, object);
	free(object);
}

static void add_seeds(struct fuzz *f, const struct xdr_type *t)
{
	struct buf seed = {0};

	for (size_t i = 0; i < 100 * N_SEEDS && f->n_seeds < N_SEEDS; i++) {
		make_seed(t, &f->prng, &seed);
		if (seed.n)
			fuzz_add(f, buf_str(&seed));
	}
	ck_assert_uint_gt(f->n_seeds, 0);
	buf_free(&seed);
}

/* What was accepted is encoded and decoded to the same again. */
static void check_again(struct fuzz *f, const struct xdr_type *t, const void *object)
{
	void *again = calloc(1, t->size);
	struct buf first = {0}, second = {0};

	FUZZ_MUST(again);
	FUZZ_CHECK(f, codec_encode(t->proc, object, &first) == 0);
	FUZZ_CHECK(f, codec_decode(t->proc, again, buf_str(&first)) == 0);
	FUZZ_CHECK(f, codec_encode(t->proc, again, &second) == 0);
	FUZZ_CHECK(f, first.n == f->input_n && str_eq(buf_str(&first), buf_str(&second)));
	codec_free(t->proc, again);
	free(again);
	buf_free(&first);
	buf_free(&second);
}

/* Guards against a message that ends a process, or whose numbers allocate memory. */
START_TEST(any_type)
{
	for (size_t i = 0; i < sizeof(types) / sizeof(types[0]); i++) {
		const struct xdr_type *t = &types[i];
		struct str input;
		struct fuzz f;

		fuzz_open(&f, t->name, N_INPUTS);
		add_seeds(&f, t);
		while (fuzz_next(&f, &input)) {
			void *object = calloc(1, t->size);
			int err;

			FUZZ_MUST(object);
			err = codec_decode(t->proc, object, input);
			fuzz_check_memory(&f, input.n);
			FUZZ_CHECK(&f, err == 0 || err == CF_EMALFORMED);
			if (!err) {
				f.accepted++;
				check_again(&f, t, object);
			}
			codec_free(t->proc, object);
			free(object);
		}
		fuzz_close(&f);
	}
}
END_TEST

/* Guards against a message of a member that does not come back as it was sent. */
START_TEST(replica_message)
{
	const struct xdr_type type = TYPE(replica_wire);
	struct str input;
	struct fuzz f;

	fuzz_open(&f, "replica_msg", N_INPUTS);
	add_seeds(&f, &type);
	while (fuzz_next(&f, &input)) {
		struct replica_msg *m = NULL, *again = NULL;
		struct buf first = {0}, second = {0};

		if (!replica_msg_decode(input, &m)) {
			f.accepted++;
			FUZZ_CHECK(&f, replica_msg_encode(m, &first) == 0);
			FUZZ_CHECK(&f, replica_msg_decode(buf_str(&first), &again) == 0);
			FUZZ_CHECK(&f, replica_msg_encode(again, &second) == 0);
			FUZZ_CHECK(&f, str_eq(buf_str(&first), buf_str(&second)));
			replica_msg_free(again);
			replica_msg_free(m);
		}
		buf_free(&first);
		buf_free(&second);
	}
	fuzz_close(&f);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {any_type, replica_message};

	return fuzz_main("fuzz_xdr", tests, sizeof(tests) / sizeof(tests[0]));
}
