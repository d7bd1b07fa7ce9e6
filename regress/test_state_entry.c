#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "core/replica.h"
#include "io/wal.h"
#include "regress/lib_fakehttp.h"

#define RPC_ADDRESS "127.0.0.1:20474"
#define START_MS 20000 /* only ends a broken test */
#define PATH_BYTES 128

static char dir[64];

static void path_of(char *out, const char *name)
{
	snprintf(out, PATH_BYTES, "%s/%s", dir, name);
}

static void write_settings(void)
{
	char path[PATH_BYTES];
	FILE *f;

	path_of(path, "settings");
	f = fopen(path, "we");
	ck_assert_ptr_nonnull(f);
	fprintf(f,
		"name: s1\nrole: state\nzone: a\ncluster-key: k\n"
		"state:\n  - {name: s1, address: \"" RPC_ADDRESS "\"}\n"
		"listen: {rpc: \"" RPC_ADDRESS "\"}\ndata: %s/data\n",
		dir);
	fclose(f);
}

/* Runs the process until it leads; its exit status after a planned stop. */
static int run_to_leadership(const char *option, const char *log)
{
	char path[PATH_BYTES];
	bool leads;
	pid_t pid;
	int status;

	path_of(path, log);
	pid = tool_spawn("carawayfrontd -c %s/settings %s >%s", dir, option, path);
	leads = file_wait(path, "role=leader", 1, START_MS);
	usleep(200000);
	status = tool_end(pid, SIGTERM);
	ck_assert(leads);
	return status;
}

struct last {
	uint64_t index;
	uint64_t epoch;
};

static int take_record(void *arg, const struct wal_record *rec)
{
	*(struct last *)arg = (struct last){rec->index, rec->epoch};
	return 0;
}

/* Appends an entry that no version of this program can decode. */
static void append_entry(void)
{
	char path[PATH_BYTES];
	struct wal_options opt = {.dir = path};
	struct wal_record rec = {.kind = REPLICA_DATA, .data = STR("no command")};
	struct last last = {0};
	struct wal *w;

	path_of(path, "data");
	ck_assert_int_eq(wal_open(&opt, take_record, &last, &w), 0);
	rec.index = last.index + 1;
	rec.epoch = last.epoch;
	ck_assert_int_eq(wal_append(w, &rec, 1), 0);
	ck_assert_int_eq(wal_sync(w), 0);
	wal_close(w);
}

/* Guards against one entry that ends every state process, at each start again. */
START_TEST(entry_that_does_not_decode_ends_no_process)
{
	char command[PATH_BYTES];

	snprintf(dir, sizeof(dir), "/tmp/test_state_entry.XXXXXX");
	ck_assert_ptr_nonnull(mkdtemp(dir));
	write_settings();
	ck_assert_int_eq(run_to_leadership("--bootstrap", "log.1"), 0);
	append_entry();
	ck_assert_int_eq(run_to_leadership("", "log.2"), 0);
	snprintf(command, sizeof(command), "rm -r %s", dir);
	ck_assert_int_eq(system(command), 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("state_entry");
	TCase *t = tcase_create("entries");
	SRunner *r;
	int failed;

	tcase_set_timeout(t, 120);
	tcase_add_test(t, entry_that_does_not_decode_ends_no_process);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
