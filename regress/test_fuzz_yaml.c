/* Settings files and documents of operators, as YAML. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

#include "base/err.h"
#include "carawayfrontd/settings.h"
#include "core/fields.h"
#include "core/vocab.h"
#include "io/doc_fields.h"
#include "proto/codec.h"
#include "regress/lib_fuzz.h"

#define N_DOCS 30000
#define N_FIELDS 30000
#define N_SETTINGS 8000

static const char *const words[] = {
	"\n",	"- ",		": ", "? ",	 "{",	    "}",      "[",	 "]",
	",",	"&a ",		"*a", "!!int ",	 "|\n",	    ">\n",    "%TAG ",	 "---\n",
	"...",	"\t",		"#",  "\"\\0\"", "\\u0000", "kinds.", "fields.", "<<:",
	"\xff", "\xef\xbb\xbf", NULL};

static void add_docs(struct fuzz *f)
{
	fuzz_add(f, STR("slots: 4\nexecutors: 3\ncpus: 1.5\nmemory_mb: 512\n"
			"idempotent:\n  - /read\n  - /list\ncommand: run it\n"));
	fuzz_add(f,
		 STR("kinds:\n  flock: service\n  chore: job\nfields:\n  hands: slots\n"
		     "  copies: executors\n"));
	fuzz_add(f,
		 STR("{\"tasks\": 4, \"duration_s\": 60, \"class\": \"urgent\",\n"
		     " \"deadline\": \"2026-12-05T10:00:00Z\", \"spread\": \"zone\"}"));
	fuzz_add(f, STR("state: out\nweight: 3\na: {b: {c: [1, 2, {d: x}]}}\n"
			"text: |\n  two\n  lines\nempty:\n"));
}

/* Packed fields are read by the vocabularies of the teams. */
static void read_packed(struct fuzz *f, struct str packed)
{
	struct conf_item item;
	struct vocab_error e;
	struct buf text = {0};

	if (vocab_check(packed, &e))
		FUZZ_CHECK(f, vocab_error_format(&e, &text) == 0);
	for (enum conf_kind kind = CONF_KIND_SERVICE; kind < CONF_KINDS; kind++) {
		text.n = 0;
		if (vocab_read((struct str){NULL, 0}, kind, packed, &item, &e))
			FUZZ_CHECK(f, vocab_error_format(&e, &text) == 0);
		vocab_read(packed, kind, packed, &item, &e);
	}
	buf_free(&text);
}

/* What was packed is valid, and packs to the same again. */
static void check_packed(struct fuzz *f, struct str packed)
{
	struct command_fields fields = {0};
	struct buf again = {0};

	FUZZ_CHECK(f, fields_check(packed) == 0);
	FUZZ_CHECK(f, codec_decode((xdrproc_t)xdr_command_fields, &fields, packed) == 0);
	FUZZ_CHECK(f, fields_pack(&fields, &again) == 0);
	FUZZ_CHECK(f, str_eq(buf_str(&again), packed));
	codec_free((xdrproc_t)xdr_command_fields, &fields);
	buf_free(&again);
	read_packed(f, packed);
}

/* Guards against a document that ends an entry process or keeps it busy. */
START_TEST(documents)
{
	struct str input;
	struct fuzz f;

	fuzz_open(&f, "documents", N_DOCS);
	f.words = words;
	add_docs(&f);
	while (fuzz_next(&f, &input)) {
		struct command_fields fields;
		struct buf problem = {0}, packed = {0};
		int err = doc_fields_read(input, &fields, &problem);

		FUZZ_CHECK(&f, !err || problem.n);
		fuzz_check_memory(&f, input.n);
		if (!err && !fields_pack(&fields, &packed)) {
			f.accepted++;
			check_packed(&f, buf_str(&packed));
		}
		doc_fields_free(&fields);
		buf_free(&problem);
		buf_free(&packed);
	}
	fuzz_close(&f);
}
END_TEST

/* Guards against packed fields of another process that are read beyond their end. */
START_TEST(packed_fields)
{
	struct fuzz docs = {0};
	struct str input;
	struct fuzz f;

	fuzz_open(&f, "fields", N_FIELDS);
	add_docs(&docs);
	for (size_t i = 0; i < docs.n_seeds; i++) {
		struct command_fields fields;
		struct buf problem = {0}, packed = {0};

		FUZZ_MUST((doc_fields_read(buf_str(&docs.seeds[i]), &fields, &problem)) ==
			  0);
		FUZZ_MUST((fields_pack(&fields, &packed)) == 0);
		fuzz_add(&f, buf_str(&packed));
		doc_fields_free(&fields);
		buf_free(&problem);
		buf_free(&packed);
	}
	while (fuzz_next(&f, &input)) {
		if (fields_check(input))
			continue;
		f.accepted++;
		read_packed(&f, input);
	}
	fuzz_close(&f);
	fuzz_free(&docs);
}
END_TEST

static void add_settings(struct fuzz *f)
{
	fuzz_add(f, STR("name: s1\nrole: state\nzone: a\ncluster-key: k\n"
			"state:\n  - {name: s1, address: 127.0.0.1:7001}\n"
			"  - {name: s2, address: 127.0.0.1:7002}\n"
			"entries:\n  - {name: e1, address: 127.0.0.1:7101}\n"
			"listen: {rpc: 127.0.0.1:7001, control: 127.0.0.1:7201}\n"
			"data: /var/lib/x\nlimits: {max-body: 65536, drain-s: 30}\n"));
	fuzz_add(f,
		 STR("name: c1\nrole: controller\nzone: a\ncluster-key: k\n"
		     "seeds:\n  - {address: 127.0.0.1:7001}\nfound: true\n"
		     "listen:\n  rpc: 127.0.0.1:7001\n  control: 127.0.0.1:7201\n"
		     "data: /var/lib/x\nworkers: {lease-ms: 6000, report-ms: 1000}\n"));
	fuzz_add(f, STR("name: e1\nrole: entry\nzone: a\ncluster-key: k\n"
			"listen: {rpc: 127.0.0.1:1, callers: '[::1]:2', control: "
			"127.0.0.1:3}\n"
			"teams:\n  - name: t\n    token-sha256: "
			"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
			"\n"));
}

/* Guards against a settings file that ends a running process that reads it again. */
START_TEST(settings_files)
{
	int fd = memfd_create("settings", 0);
	char path[32];
	struct str input;
	struct fuzz f;

	ck_assert_int_ge(fd, 0);
	snprintf(path, sizeof(path), "/proc/self/fd/%d", fd);
	fuzz_open(&f, "settings", N_SETTINGS);
	f.words = words;
	add_settings(&f);
	while (fuzz_next(&f, &input)) {
		struct settings s;
		struct schema_error e = {0};

		FUZZ_MUST((ftruncate(fd, 0)) == 0);
		ck_assert_int_eq((int)pwrite(fd, input.p, input.n, 0), (int)input.n);
		if (settings_load(path, &s, &e)) {
			FUZZ_CHECK(&f, e.expected != NULL);
			settings_free(&s);
			continue;
		}
		f.accepted++;
		FUZZ_CHECK(&f, settings_same_process(&s, &s));
		settings_free(&s);
	}
	fuzz_close(&f);
	close(fd);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {documents, packed_fields, settings_files};

	return fuzz_main("fuzz_yaml", tests, sizeof(tests) / sizeof(tests[0]));
}
