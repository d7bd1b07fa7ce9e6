#ifndef CORE_VOCAB_VALUE_H
#define CORE_VOCAB_VALUE_H

#include "core/vocab_schema.h"

/* Flag in a parsed deadline: seconds since 1970, not seconds after submission. */
#define VOCAB_ABSOLUTE (1ULL << 63)

bool vocab_parse_value(const struct vocab_rule *rule, struct str value, uint64_t *out);

#endif
