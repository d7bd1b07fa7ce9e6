#include "carawayctl/table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/str.h"

#define MAX_COLUMNS 32

/* Appends a table cell: a string as is, "-" for null, other values as JSON. */
static void append_cell(const json_t *v, struct buf *out)
{
	char *text;

	if (json_is_string(v)) {
		buf_adds(out, json_string_value(v));
	} else if (v && !json_is_null(v)) {
		text = json_dumps(v, JSON_COMPACT | JSON_ENCODE_ANY |
					     JSON_REAL_PRECISION(12));
		buf_adds(out, text ? text : "");
		free(text);
	} else {
		buf_adds(out, "-");
	}
}

/* Collects the distinct keys of all rows, up to MAX_COLUMNS; returns their number. */
static size_t collect_columns(const json_t *rows, const char **columns)
{
	size_t n = 0;
	size_t i;
	json_t *row;
	const char *key;
	json_t *v;

	json_array_foreach(rows, i, row)
	{
		json_object_foreach(row, key, v)
		{
			size_t c = 0;

			while (c < n && strcmp(columns[c], key) != 0)
				c++;
			if (c == n && n < MAX_COLUMNS)
				columns[n++] = key;
		}
	}
	return n;
}

/* Prints an array of objects as a table with a column per key, in order of appearance. */
void table_print(const json_t *rows)
{
	const char *columns[MAX_COLUMNS];
	size_t width[MAX_COLUMNS] = {0};
	size_t n = collect_columns(rows, columns);
	size_t n_rows = json_array_size(rows);

	for (size_t c = 0; c < n; c++) {
		width[c] = strlen(columns[c]);
		for (size_t i = 0; i < n_rows; i++) {
			struct buf text = {0};

			append_cell(json_object_get(json_array_get(rows, i), columns[c]),
				    &text);
			if (text.n > width[c])
				width[c] = text.n;
			buf_free(&text);
		}
	}
	for (size_t c = 0; c < n; c++)
		printf("%-*s%s", c + 1 < n ? (int)width[c] : 0, columns[c],
		       c + 1 < n ? "  " : "\n");
	for (size_t i = 0; i < n_rows; i++) {
		for (size_t c = 0; c < n; c++) {
			struct buf text = {0};

			append_cell(json_object_get(json_array_get(rows, i), columns[c]),
				    &text);
			printf("%-*s%s", c + 1 < n ? (int)width[c] : 0,
			       text.p ? text.p : "", c + 1 < n ? "  " : "\n");
			buf_free(&text);
		}
	}
}

/*
 * Prints a response as JSON, or as a table: the top-level array, the array under the key
 * list, or else the object as a single row.
 */
void table_print_reply(const json_t *reply, const char *list, bool as_json)
{
	const json_t *rows = json_is_array(reply) ? reply : json_object_get(reply, list);
	json_t *one;

	if (as_json || (!json_is_array(rows) && !json_is_object(reply))) {
		if (reply) {
			json_dumpf(reply, stdout, JSON_INDENT(2) | JSON_ENCODE_ANY);
			putchar('\n');
		}
		return;
	}
	if (json_is_array(rows)) {
		table_print(rows);
		return;
	}
	one = json_pack("[O]", reply);
	table_print(one);
	json_decref(one);
}
