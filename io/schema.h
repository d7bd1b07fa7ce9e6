#ifndef IO_SCHEMA_H
#define IO_SCHEMA_H

#include "io/doc.h"

enum schema_type {
	SCHEMA_STR,	/* struct str, a copy that schema_free() releases */
	SCHEMA_U64,	/* uint64_t within min..max */
	SCHEMA_BOOL,	/* bool */
	SCHEMA_ADDRESS, /* struct addr */
	SCHEMA_CHOICE,	/* int, index into choices */
	SCHEMA_MAP,	/* fields of rows at the same base */
	SCHEMA_LIST,	/* struct schema_list of maps described by rows */
};

/* One key of a settings map. A table ends with a row that has no key. */
struct schema_row {
	const char *key;
	enum schema_type type;
	bool required;
	size_t offset; /* of the target in the struct that holds it */
	uint64_t min, max;
	const char *const *choices; /* ends with NULL */
	const struct schema_row *rows;
	size_t item_size; /* of one list item */
};

struct schema_list {
	void *items;
	size_t n;
};

/* Names the key that was refused and what was expected there. */
struct schema_error {
	int err;
	unsigned int line;
	char key[128]; /* path of keys joined with dots */
	const char *expected;
};

int schema_read(const struct schema_row *rows, const struct doc_node *map, void *target,
		struct schema_error *error);
void schema_free(const struct schema_row *rows, void *target);

#endif
