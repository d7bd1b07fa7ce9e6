#ifndef CARAWAYCTL_TABLE_H
#define CARAWAYCTL_TABLE_H

#include <jansson.h>
#include <stdbool.h>

void table_print(const json_t *rows);
void table_print_reply(const json_t *reply, const char *list, bool as_json);

#endif
