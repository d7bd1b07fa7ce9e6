#include "core/team.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "proto/command.h"

/* Returns the index of the first team whose name is not less than name. */
static size_t lower_bound(const struct teams *t, struct str name)
{
	size_t lo = 0;
	size_t hi = t->count;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (str_cmp(team_name(t->list[mid]), name) < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

/* Returns the team, NULL if there is none. */
struct team *teams_find(const struct teams *t, struct str name)
{
	size_t i = lower_bound(t, name);

	if (i == t->count || !str_eq(team_name(t->list[i]), name))
		return NULL;
	return t->list[i];
}

/* Finds or creates a team. CF_ENOSPACE: t->max teams exist. */
int teams_add(struct teams *t, struct str name, struct team **out)
{
	size_t i = lower_bound(t, name);
	struct team *team;

	if (i < t->count && str_eq(team_name(t->list[i]), name)) {
		*out = t->list[i];
		return 0;
	}
	if (t->count >= t->max)
		return CF_ENOSPACE;
	if (t->count == t->cap) {
		size_t cap = t->cap ? t->cap * 2 : 8;
		struct team **list = realloc(t->list, cap * sizeof(void *));

		if (!list)
			return CF_ENOMEM;
		t->list = list;
		t->cap = cap;
	}
	team = calloc(1, t->size);
	if (!team)
		return CF_ENOMEM;
	team->name = str_dup(name);
	team->n = name.n;
	if (!team->name) {
		free(team);
		return CF_ENOMEM;
	}
	memmove(t->list + i + 1, t->list + i, (t->count - i) * sizeof(void *));
	t->list[i] = team;
	t->count++;
	*out = team;
	return 0;
}

/* Removes and frees a team, to which no references may remain. */
void teams_remove(struct teams *t, struct team *team)
{
	size_t i = lower_bound(t, team_name(team));

	memmove(t->list + i, t->list + i + 1, (t->count - i - 1) * sizeof(void *));
	t->count--;
	free(team->name);
	free(team);
}

void teams_free(struct teams *t)
{
	for (size_t i = 0; i < t->count; i++) {
		free(t->list[i]->name);
		free(t->list[i]);
	}
	free(t->list);
	t->list = NULL;
	t->count = 0;
	t->cap = 0;
}

struct str team_name(const struct team *team)
{
	return (struct str){team->name, team->n};
}

/*
 * Whether the name is 1 to CMD_MAX_NAME letters, digits, '-', '_' or '.', not '.' first.
 */
bool name_valid(struct str name)
{
	if (name.n == 0 || name.n > CMD_MAX_NAME || name.p[0] == '.')
		return false;
	for (size_t i = 0; i < name.n; i++) {
		unsigned char c = (unsigned char)name.p[i];

		if (c > 127 || (!isalnum(c) && c != '-' && c != '_' && c != '.'))
			return false;
	}
	return true;
}
