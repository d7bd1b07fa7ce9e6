#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "io/doc.h"
#include "regress/lib_growth.h"

#define MANY_KEYS 19990 /* below DOC_MAX_NODES */
#define LINE_BYTES 11

static int parse(const char *text, struct doc_error *error)
{
	struct doc_node *root;
	int err = doc_parse(str_from(text), &root, error);

	doc_free(root);
	return err;
}

struct collector {
	struct doc_visitor visitor;
	struct buf text;
};

static int collect(struct doc_visitor *v, struct str name, const struct doc_node *node)
{
	struct collector *c = (struct collector *)v;

	return buf_addf(&c->text, "%.*s=%.*s;", STR_ARG(name), STR_ARG(node->scalar));
}

/* Guards against names that do not show the nesting of a document. */
START_TEST(flattened_names)
{
	struct collector c = {.visitor = {.scalar = collect}};
	struct doc_error error;
	struct doc_node *root;

	ck_assert_int_eq(
		doc_parse(STR("a: 1\nb:\n  c: x y\n  d: [p, {q: r}]\n"), &root, &error),
		0);
	ck_assert_int_eq(doc_flatten(root, &c.visitor), 0);
	ck_assert_str_eq(c.text.p, "a=1;b.c=x y;b.d.0=p;b.d.1.q=r;");
	buf_free(&c.text);
	doc_free(root);
}
END_TEST

/* Guards against a request without a body that ends the process. */
START_TEST(empty_text_is_refused)
{
	struct doc_error error;
	struct doc_node *root;

	ck_assert_int_ne(doc_parse((struct str){NULL, 0}, &root, &error), 0);
	ck_assert_ptr_null(root);
}
END_TEST

/* Guards against refusals that do not tell the line. */
START_TEST(refusals_name_the_line)
{
	struct doc_error error;

	ck_assert_int_eq(parse("a: 1\nb: 2\na: 3\n", &error), CF_EEXIST);
	ck_assert_uint_eq(error.line, 3);
	ck_assert_int_eq(parse("a: 1\n? [x]\n: 2\n", &error), CF_EMALFORMED);
	ck_assert_uint_eq(error.line, 2);
	ck_assert_int_eq(parse("a: [1, 2\nb: 3\n", &error), CF_EMALFORMED);
	ck_assert_int_eq(parse("", &error), CF_EMALFORMED);
	ck_assert_int_eq(parse("a: 1\n---\nb: 2\n", &error), CF_EMALFORMED);
}
END_TEST

/* Guards against a small text that expands without bound through aliases or depth. */
START_TEST(expansion_is_refused)
{
	struct doc_error error;
	char deep[256];

	ck_assert_int_eq(parse("a: &x [1]\nb: [*x, *x]\n", &error), CF_EINVAL);
	memset(deep, '[', 64);
	memset(deep + 64, ']', 64);
	deep[128] = '\0';
	ck_assert_int_eq(parse(deep, &error), CF_ETOOBIG);
}
END_TEST

/* Guards against reads outside the text for any truncation of a document. */
START_TEST(every_prefix_is_handled)
{
	static const char text[] =
		"a: {b: [1, 'two', \"th\\u0041ree\"], c: |\n  long\n d: ~}\n";

	for (size_t n = 0; n < sizeof(text); n++) {
		struct doc_error error;
		struct doc_node *root;
		char *copy = str_dup((struct str){text, n});

		doc_parse((struct str){copy, n}, &root, &error);
		doc_free(root);
		free(copy);
	}
}
END_TEST

static void parse_to(struct str text, int want)
{
	struct doc_error error;
	struct doc_node *root;

	ck_assert_int_eq(doc_parse(text, &root, &error), want);
	doc_free(root);
}

/* The first n lines of a text; lines have LINE_BYTES. */
static void parse_lines(void *arg, size_t n)
{
	const struct buf *text = arg;

	parse_to((struct str){text->p, n * LINE_BYTES}, 0);
}

/* Guards against a map that stops its process while each key is compared with all. */
START_TEST(time_for_a_map_grows_with_its_keys)
{
	struct buf text = {0};

	for (int i = 0; i < MANY_KEYS; i++)
		buf_addf(&text, "k%06d: 1\n", i);
	ck_assert_uint_eq(text.n, MANY_KEYS * LINE_BYTES);
	ck_assert_double_lt(growth_of(parse_lines, &text, MANY_KEYS / 4), GROWTH_MAX);
	buf_adds(&text, "k000007: 1\n");
	parse_to(buf_str(&text), CF_EEXIST);
	buf_free(&text);
}
END_TEST

/* Guards against directives that libyaml compares each with each, for seconds. */
START_TEST(many_tag_directives_are_refused)
{
	struct buf text = {0};

	for (int i = 0; i < MANY_KEYS; i++)
		buf_addf(&text, "%%TAG !t%d! tag:x,2026:%c", i, i % 2 ? '\n' : '\r');
	buf_adds(&text, "---\na: 1\n");
	parse_to(buf_str(&text), CF_ETOOBIG);
	text.n = 0;
	buf_adds(&text, "%TAG ! tag:x,2026:\n---\na: 1\n");
	parse_to(buf_str(&text), 0);
	buf_free(&text);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("doc");
	TCase *tc = tcase_create("doc");
	SRunner *sr;
	int failed;

	tcase_add_test(tc, flattened_names);
	tcase_add_test(tc, empty_text_is_refused);
	tcase_add_test(tc, refusals_name_the_line);
	tcase_add_test(tc, expansion_is_refused);
	tcase_add_test(tc, every_prefix_is_handled);
	tcase_add_test(tc, time_for_a_map_grows_with_its_keys);
	tcase_add_test(tc, many_tag_directives_are_refused);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
