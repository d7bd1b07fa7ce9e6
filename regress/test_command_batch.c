#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "carawayfrontd/command_batch.h"
#include "core/replica.h"
#include "proto/codec.h"

#define LARGE (900U << 10)

static char text[4U << 20];

/* A configuration of about n bytes. */
static struct dag_command conf(uint64_t revision, size_t n)
{
	struct dag_command c = {.kind = DAG_CMD_CONF};

	c.dag_command_u.conf.revision = revision;
	XDR_SET(c.dag_command_u.conf, source, ((struct str){text, n}));
	return c;
}

static struct dag_command cancel(uint64_t job)
{
	struct dag_command c = {.kind = DAG_CMD_CANCEL};

	c.dag_command_u.cancel = job;
	return c;
}

/*
 * Guards against a leader that starts again, with all other requests of the round lost,
 * because two large configurations came at once: each entry is one that the log takes,
 * and all commands are there in their order.
 */
START_TEST(large_commands_take_several_entries)
{
	struct command_batch b = {0};
	struct buf entry = {0};
	uint64_t next = 1;

	for (uint64_t i = 1; i <= 12; i++) {
		struct dag_command c = i % 3 ? cancel(i) : conf(i, LARGE);

		ck_assert_int_eq(command_batch_add(&b, &c), 0);
	}
	ck_assert_uint_gt(b.n_parts, 1);
	for (size_t part = 0; part < b.n_parts; part++) {
		struct dag_batch got = {0};

		ck_assert_int_eq(command_batch_entry(&b, part, 1234, &entry), 0);
		ck_assert_uint_le(entry.n, REPLICA_MAX_ENTRY);
		ck_assert_int_eq(
			codec_decode((xdrproc_t)xdr_dag_batch, &got, buf_str(&entry)), 0);
		ck_assert_int_eq(got.time_ms, 1234);
		for (u_int i = 0; i < got.commands.commands_len; i++) {
			const struct dag_command *c = &got.commands.commands_val[i];

			ck_assert_uint_eq(c->kind == DAG_CMD_CONF
						  ? c->dag_command_u.conf.revision
						  : c->dag_command_u.cancel,
					  next);
			next++;
		}
		codec_free((xdrproc_t)xdr_dag_batch, &got);
	}
	ck_assert_uint_eq(next, 13);
	command_batch_clear(&b);
	ck_assert_uint_eq(b.n_parts, 0);
	buf_free(&entry);
	command_batch_free(&b);
}
END_TEST

/* Guards against one oversized request that takes the others of its round with it. */
START_TEST(oversized_command_is_refused_alone)
{
	struct command_batch b = {0};
	struct dag_command small = cancel(1);
	struct dag_command large = conf(2, 3U << 20);
	struct dag_batch got = {0};
	struct buf entry = {0};

	ck_assert_int_eq(command_batch_add(&b, &large), CF_ETOOBIG);
	ck_assert_uint_eq(b.n_parts, 0);
	ck_assert_int_eq(command_batch_add(&b, &small), 0);
	ck_assert_int_eq(command_batch_add(&b, &large), CF_ETOOBIG);
	small = cancel(3);
	ck_assert_int_eq(command_batch_add(&b, &small), 0);
	ck_assert_uint_eq(b.n_parts, 1);
	ck_assert_int_eq(command_batch_entry(&b, 0, 0, &entry), 0);
	ck_assert_int_eq(codec_decode((xdrproc_t)xdr_dag_batch, &got, buf_str(&entry)),
			 0);
	ck_assert_uint_eq(got.commands.commands_len, 2);
	ck_assert_uint_eq(got.commands.commands_val[1].dag_command_u.cancel, 3);
	codec_free((xdrproc_t)xdr_dag_batch, &got);
	buf_free(&entry);
	command_batch_free(&b);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("command_batch");
	TCase *tc = tcase_create("command_batch");
	SRunner *sr = srunner_create(s);
	int failed;

	memset(text, 'x', sizeof(text));
	tcase_add_test(tc, large_commands_take_several_entries);
	tcase_add_test(tc, oversized_command_is_refused_alone);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
