#include "core/vocab_error.h"

#include <inttypes.h>

/* Appends a description of the values that a rule allows. */
static int format_rule(const struct vocab_rule *rule, struct buf *out)
{
	int err = 0;

	switch (rule->type) {
	case VOCAB_INTEGER:
		return buf_addf(out,
				"expected a whole number from %" PRIu64 " to %" PRIu64,
				rule->min, rule->max);
	case VOCAB_MILLI:
		return buf_addf(out,
				"expected a number from %" PRIu64 ".%03" PRIu64
				" to %" PRIu64 " with at most 3 decimal places",
				rule->min / 1000, rule->min % 1000, rule->max / 1000);
	case VOCAB_TEXT:
	case VOCAB_LIST:
		return buf_addf(out, "expected text of %" PRIu64 " to %" PRIu64 " bytes",
				rule->min, rule->max);
	case VOCAB_NAME:
		return buf_addf(out, "expected a name of at most %" PRIu64 " bytes",
				rule->max);
	case VOCAB_DEADLINE:
		return buf_addf(out,
				"expected seconds from %" PRIu64 " to %" PRIu64
				" or a time of the form 2026-12-04T05:00:00Z",
				rule->min, rule->max);
	case VOCAB_CHOICE:
		err = buf_adds(out, "expected one of");
		for (size_t i = 0; !err && i < 4 && rule->choices[i]; i++)
			err = buf_addf(out, "%s %s", i ? "," : "", rule->choices[i]);
		return err;
	}
	return 0;
}

/* Appends a one-line description of the error, without a newline. */
int vocab_error_format(const struct vocab_error *e, struct buf *out)
{
	int err = 0;

	if (e->path.n)
		err = buf_addf(out, "%.*s: ", STR_ARG(e->path));
	if (err)
		return err;
	switch (e->problem) {
	case VOCAB_OK:
		return 0;
	case VOCAB_UNKNOWN_WORD:
		return buf_addf(out, "word \"%.*s\" is not in the vocabulary",
				STR_ARG(e->field));
	case VOCAB_UNKNOWN_FIELD:
		return buf_addf(out, "field \"%.*s\" is not known for this kind",
				STR_ARG(e->field));
	case VOCAB_REPEATED_FIELD:
		return buf_addf(out, "field \"%.*s\" has the meaning of another field",
				STR_ARG(e->field));
	case VOCAB_MISSING_FIELD:
		return buf_addf(out, "field \"%.*s\" is missing", STR_ARG(e->field));
	case VOCAB_BAD_VALUE:
		err = buf_addf(out, "field \"%.*s\": ", STR_ARG(e->field));
		return err ? err : format_rule(e->rule, out);
	case VOCAB_BAD_ENTRY:
		return buf_addf(out, "\"%.*s\": expected kinds.WORD or fields.WORD",
				STR_ARG(e->field));
	case VOCAB_UNKNOWN_KIND:
		return buf_addf(out, "\"%.*s\": expected service, job, zone or quota",
				STR_ARG(e->field));
	case VOCAB_UNKNOWN_MAPPING:
		return buf_addf(out, "\"%.*s\": expected the name of a canonical field",
				STR_ARG(e->field));
	case VOCAB_NAME_TAKEN:
		return buf_addf(out, "name \"%.*s\" is taken by a document of this kind",
				STR_ARG(e->field));
	case VOCAB_TOO_MANY:
		return buf_addf(out, "\"%.*s\" is above the limit of %d",
				STR_ARG(e->field),
				e->rule ? VOCAB_MAX_ELEMENTS : VOCAB_MAX_ENTRIES);
	case VOCAB_KIND_CHANGED:
		return buf_addf(out, "the word \"%.*s\" has stored documents",
				STR_ARG(e->field));
	}
	return 0;
}
