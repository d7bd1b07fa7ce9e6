#ifndef CORE_VOCAB_VALUE_H
#define CORE_VOCAB_VALUE_H

#include "core/vocab_schema.h"

/* Set in a deadline that is a time in seconds since 1970 instead of a duration. */
#define VOCAB_ABSOLUTE (1ULL << 63)

bool vocab_value(const struct vocab_rule *rule, struct str value, uint64_t *out);

#endif
