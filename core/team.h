#ifndef CORE_TEAM_H
#define CORE_TEAM_H

#include "base/str.h"

/*
 * Teams of one store component, ordered by name. The component's own struct has struct
 * team as its first member.
 */
struct team {
	char *name;
	size_t n;
};

struct teams {
	struct team **list;
	size_t count;
	size_t cap;
	size_t max;  /* maximum of count */
	size_t size; /* size of the component's own struct, allocated zeroed */
};

struct team *teams_find(const struct teams *t, struct str name);
int teams_add(struct teams *t, struct str name, struct team **out);
void teams_remove(struct teams *t, struct team *team);
void teams_free(struct teams *t);
struct str team_name(const struct team *team);

/* Checks a name of a team, word, document, job or member. */
bool name_valid(struct str name);

#endif
