#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/claim_impl.h"
#include "core/team.h"
#include "proto/codec.h"

int claim_team_add(struct claims *c, struct str name, struct claim_team **out)
{
	struct team *team;
	int err = teams_add(&c->teams, name, &team);

	if (err)
		return err;
	*out = (struct claim_team *)team;
	if (!(*out)->ended.tqh_last)
		TAILQ_INIT(&(*out)->ended);
	return 0;
}

/*
 * Removes a team that has no claims and no expired keys. Snapshots do not include such a
 * team, so keeping it would make the count of teams differ between replicas.
 */
void claim_team_release(struct claims *c, struct claim_team *t)
{
	if (t->used_claims || t->used_expired)
		return;
	keyset_free(&t->expired);
	teams_remove(&c->teams, &t->team);
}

struct claim_team *claim_team_at(const struct claims *c, size_t i)
{
	return (struct claim_team *)c->teams.list[i];
}
