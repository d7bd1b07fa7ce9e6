#include "regress/lib_fuzz.h"

#include <ctype.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "io/clock.h"

#define MAX_CHANGES 4
#define MAX_INPUT (64U << 10) /* bytes */
/* Processor time of one message of this size, ten times that with sanitizers. */
#define MAX_CPU_US 200000
#define SANITIZER_FACTOR 10
/* A field of 4 bytes can ask for the largest item of a message. */
#define MEMORY_FACTOR 64
#define MEMORY_BASE (16U << 10)
#define PRINT_MAX 4096U
#define MAX_KINDS 60 /* of messages in one test, each for FUZZ_SECONDS */

#if defined(__SANITIZE_ADDRESS__)
#define SANITIZED 1
size_t __sanitizer_get_current_allocated_bytes(void);
void __sanitizer_set_death_callback(void (*f)(void));
#else
#define SANITIZED 0
#endif

static const struct fuzz *current;
static char heading[256]; /* of the present input */

static size_t allocated_bytes(void)
{
#if SANITIZED
	return __sanitizer_get_current_allocated_bytes();
#else
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
#endif
}

static int64_t cpu_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

static void write_all(const char *p, size_t n)
{
	ssize_t written = write(STDERR_FILENO, p, n);

	(void)written;
}

/* Called by signal handlers: nothing of stdio. */
static void print_input(void)
{
	static const char digits[] = "0123456789abcdef";

	if (!current)
		return;
	write_all(heading, strlen(heading));
	for (size_t i = 0; i < current->input_n && i < PRINT_MAX; i++) {
		unsigned char c = (unsigned char)current->input[i];

		write_all(&digits[c >> 4], 1);
		write_all(&digits[c & 15], 1);
	}
	write_all("\n", 1);
	current = NULL;
}

static void on_signal(int sig)
{
	print_input();
	signal(sig, SIG_DFL);
	raise(sig);
}

void fuzz_fail(struct fuzz *f, const char *file, int line, const char *what)
{
	fprintf(stderr, "%s:%d: %s does not hold\n", file, line, what);
	abort();
}

static uint64_t environment(const char *name, uint64_t absent)
{
	const char *v = getenv(name);
	uint64_t n;

	return v && *v && !str_to_u64(str_from(v), &n) ? n : absent;
}

void fuzz_open(struct fuzz *f, const char *name, uint64_t inputs)
{
	uint64_t seconds = environment("FUZZ_SECONDS", 0);

	memset(f, 0, sizeof(*f));
	f->name = name;
	f->seed = environment("FUZZ_SEED", 1);
	f->prng.state = f->seed;
	f->limit = inputs;
	if (seconds)
		f->end_us = clock_us() + (int64_t)seconds * 1000000;
	current = f;
	signal(SIGABRT, on_signal);
#if SANITIZED
	__sanitizer_set_death_callback(print_input);
#else
	signal(SIGSEGV, on_signal);
	signal(SIGFPE, on_signal);
#endif
}

/* Adds a valid message. */
void fuzz_add(struct fuzz *f, struct str message)
{
	f->seeds = realloc(f->seeds, (f->n_seeds + 1) * sizeof(*f->seeds));
	FUZZ_MUST(f->seeds);
	f->seeds[f->n_seeds] = (struct buf){0};
	FUZZ_MUST((buf_set(&f->seeds[f->n_seeds++], message)) == 0);
}

/* Replaces n bytes at a place by others. */
static void replace(struct buf *b, size_t at, size_t n, const char *p, size_t by)
{
	struct buf out = {0};

	FUZZ_MUST((buf_add(&out, b->p, at)) == 0);
	FUZZ_MUST((buf_add(&out, p, by)) == 0);
	FUZZ_MUST((buf_add(&out, b->p + at + n, b->n - at - n)) == 0);
	buf_free(b);
	*b = out;
}

/* Lengths, counts and times at the borders of their types, in either byte order. */
static void set_number(struct fuzz *f, struct buf *b)
{
	static const uint64_t values[] = {0,	      1,	  2,	   3,
					  4,	      0x7f,	  0x80,	   0xff,
					  0xffff,     0x10000,	  1 << 20, 0x7fffffff,
					  0x80000000, 0xfffffffe, ~0ULL,   1ULL << 63};
	size_t width = prng_below(&f->prng, 3) ? 4 : 8;
	uint64_t v = values[prng_below(&f->prng, sizeof(values) / sizeof(values[0]))];
	bool little = prng_below(&f->prng, 4) == 0;
	size_t at;

	if (prng_below(&f->prng, 4) == 0)
		v = b->n - prng_below(&f->prng, 16);
	if (b->n < width)
		return;
	at = prng_below(&f->prng, b->n - width + 1);
	if (prng_below(&f->prng, 4))
		at &= ~(size_t)3;
	for (size_t i = 0; i < width; i++)
		b->p[at + i] = (char)(v >> 8 * (little ? i : width - 1 - i));
}

/* Replaces a decimal number of a text. */
static void set_digits(struct fuzz *f, struct buf *b)
{
	static const char *const values[] = {
		"0",
		"-1",
		"1",
		"255",
		"65536",
		"2147483648",
		"4294967295",
		"4294967296",
		"4294967301",
		"9223372036854775807",
		"-9223372036854775808",
		"18446744073709551615",
		"99999999999999999999",
		"1e300",
		"-1e300",
		"0.5",
		"1e-400",
		"null",
	};
	const char *v = values[prng_below(&f->prng, sizeof(values) / sizeof(values[0]))];
	size_t at = prng_below(&f->prng, b->n);
	size_t n = 0;

	while (at < b->n && !isdigit((unsigned char)b->p[at]))
		at++;
	while (at + n < b->n && isdigit((unsigned char)b->p[at + n]))
		n++;
	if (n)
		replace(b, at, n, v, strlen(v));
}

static void insert_word(struct fuzz *f, struct buf *b)
{
	size_t n = 0;
	const char *word;

	while (f->words[n])
		n++;
	word = f->words[prng_below(&f->prng, n)];
	replace(b, prng_below(&f->prng, b->n + 1), 0, word, strlen(word));
}

static void insert_random(struct fuzz *f, struct buf *b)
{
	char bytes[16];
	size_t n = 1 + prng_below(&f->prng, sizeof(bytes));

	for (size_t i = 0; i < n; i++)
		bytes[i] = (char)prng_next(&f->prng);
	replace(b, prng_below(&f->prng, b->n + 1), 0, bytes, n);
}

/* Copies a part of a message into this one, or over a part of it. */
static void copy_part(struct fuzz *f, struct buf *b, const struct buf *from, bool over)
{
	size_t at = prng_below(&f->prng, from->n);
	size_t n = prng_below(&f->prng, from->n - at + 1);
	size_t to = prng_below(&f->prng, b->n + 1);
	struct buf part = {0};

	/* Fields of binary messages begin at multiples of 4 bytes. */
	if (!f->words && prng_below(&f->prng, 2)) {
		at &= ~(size_t)3;
		n &= ~(size_t)3;
		to &= ~(size_t)3;
	}
	FUZZ_MUST((buf_add(&part, from->p + at, n)) == 0);
	replace(b, to, over ? (n < b->n - to ? n : b->n - to) : 0, part.p, part.n);
	buf_free(&part);
}

static void change(struct fuzz *f, struct buf *b)
{
	const struct buf *other = &f->seeds[prng_below(&f->prng, f->n_seeds)];
	size_t at = prng_below(&f->prng, b->n);

	if (b->n == 0) {
		insert_random(f, b);
		return;
	}
	switch (prng_below(&f->prng, f->words ? 10 : 8)) {
	case 0:
		b->p[at] = (char)(b->p[at] ^ (1 << prng_below(&f->prng, 8)));
		break;
	case 1:
		b->p[at] = (char)prng_next(&f->prng);
		break;
	case 2:
		b->n = at;
		break;
	case 3:
		insert_random(f, b);
		break;
	case 4:
		set_number(f, b);
		break;
	case 5:
		copy_part(f, b, other, true);
		break;
	case 6:
		copy_part(f, b, b, false);
		break;
	case 7:
		replace(b, at, prng_below(&f->prng, b->n - at + 1), "", 0);
		break;
	case 8:
		set_digits(f, b);
		break;
	default:
		insert_word(f, b);
	}
}

/* One input in 64 is a valid message as it is. */
static void make_input(struct fuzz *f)
{
	const struct buf *from = &f->seeds[prng_below(&f->prng, f->n_seeds)];
	struct buf b = {0};

	FUZZ_MUST((buf_add(&b, from->p, from->n)) == 0);
	if (prng_below(&f->prng, 64))
		for (uint64_t k = 1 + prng_below(&f->prng, MAX_CHANGES); k > 0; k--)
			change(f, &b);
	f->input_n = b.n < MAX_INPUT ? b.n : MAX_INPUT;
	free(f->input);
	f->input = malloc(f->input_n ? f->input_n : 1);
	FUZZ_MUST(f->input);
	if (f->input_n)
		memcpy(f->input, b.p, f->input_n);
	buf_free(&b);
}

/* False when the test has run long enough. Checks the time of the input before. */
bool fuzz_next(struct fuzz *f, struct str *input)
{
	int64_t limit_us = MAX_CPU_US * (SANITIZED ? SANITIZER_FACTOR : 1);

	if (f->inputs && cpu_us() - f->cpu_us > limit_us)
		fuzz_fail(f, __FILE__, __LINE__, "processor time of a message");
	if (f->end_us ? clock_us() >= f->end_us : f->inputs >= f->limit)
		return false;
	make_input(f);
	f->inputs++;
	snprintf(heading, sizeof(heading), "%s: seed %llu, input %llu, %zu bytes:\n",
		 f->name, (unsigned long long)f->seed, (unsigned long long)f->inputs,
		 f->input_n);
	*input = (struct str){f->input, f->input_n};
	f->allocated = allocated_bytes();
	f->cpu_us = cpu_us();
	return true;
}

void fuzz_check_memory(struct fuzz *f, size_t n)
{
	size_t now = allocated_bytes();

	FUZZ_CHECK(f, now <= f->allocated ||
			      now - f->allocated <= MEMORY_BASE + n * MEMORY_FACTOR);
}

void fuzz_close(struct fuzz *f)
{
	fprintf(stderr, "%s: seed %llu, %llu inputs, %llu accepted\n", f->name,
		(unsigned long long)f->seed, (unsigned long long)f->inputs,
		(unsigned long long)f->accepted);
	current = NULL;
	fuzz_free(f);
}

/* Releases messages that were only collected. */
void fuzz_free(struct fuzz *f)
{
	for (size_t i = 0; i < f->n_seeds; i++)
		buf_free(&f->seeds[i]);
	free(f->seeds);
	free(f->input);
}

int fuzz_main(const char *name, const TTest *const *tests, size_t n)
{
	Suite *s = suite_create(name);
	TCase *tc = tcase_create("fuzz");
	SRunner *sr;
	int failed;

	/* A limit only ends a broken test; longer runs end by FUZZ_SECONDS. */
	tcase_set_timeout(tc, 300 + MAX_KINDS * (double)environment("FUZZ_SECONDS", 0));
	for (size_t i = 0; i < n; i++)
		tcase_add_test(tc, tests[i]);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
