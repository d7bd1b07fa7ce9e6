#ifndef REGRESS_LIB_FUZZ_H
#define REGRESS_LIB_FUZZ_H

#include <check.h>

#include "base/prng.h"
#include "base/str.h"

/*
 * Seeded mutation of valid messages. A test runs a fixed number of inputs with a fixed
 * seed; with FUZZ_SECONDS in the environment, that long with the seed FUZZ_SEED. The
 * input of a crash or a failed FUZZ_CHECK() is printed in hexadecimal.
 */
struct fuzz {
	const char *name;
	struct prng prng;
	struct buf *seeds; /* valid messages */
	size_t n_seeds;
	const char *const *words; /* of a text format, ends with NULL; NULL: binary */
	char *input;		  /* its allocation ends where the message ends */
	size_t input_n;
	uint64_t seed;
	uint64_t inputs;
	uint64_t accepted;
	uint64_t limit;
	int64_t end_us; /* 0: the number of inputs is the limit */
	int64_t cpu_us; /* when the present input began */
	size_t allocated;
};

void fuzz_open(struct fuzz *f, const char *name, uint64_t inputs);
void fuzz_add(struct fuzz *f, struct str message);
bool fuzz_next(struct fuzz *f, struct str *input);
void fuzz_close(struct fuzz *f);
void fuzz_free(struct fuzz *f);
/* Checks what a message of n bytes has allocated since fuzz_next(). */
void fuzz_check_memory(struct fuzz *f, size_t n);
void fuzz_fail(struct fuzz *f, const char *file, int line, const char *what)
	__attribute__((noreturn));

#define FUZZ_CHECK(f, condition)                                      \
	do {                                                          \
		if (!(condition))                                     \
			fuzz_fail(f, __FILE__, __LINE__, #condition); \
	} while (0)

/* As ck_assert(), which writes to a pipe each time that it holds. */
#define FUZZ_MUST(condition)                                   \
	do {                                                   \
		if (!(condition))                              \
			ck_abort_msg("%s failed", #condition); \
	} while (0)

/* Runs the suite of a fuzz program; the exit status of main(). */
int fuzz_main(const char *name, const TTest *const *tests, size_t n);

#endif
