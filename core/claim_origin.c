#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/claim_impl.h"
#include "core/team.h"
#include "proto/codec.h"

bool claim_origin_matches(const struct claim_origin *o, struct str entry,
			  uint64_t incarnation)
{
	return o->incarnation == incarnation &&
	       str_eq((struct str){o->entry, o->n}, entry);
}

/* Finds or creates an origin and takes a reference to it. CF_EINVAL, CF_ENOMEM. */
int claim_origin_get(struct claims *c, struct str entry, uint64_t incarnation,
		     struct claim_origin **out)
{
	struct claim_origin *o;

	if (entry.n > CMD_MAX_NAME)
		return CF_EINVAL;
	LIST_FOREACH (o, &c->origins, link) {
		if (claim_origin_matches(o, entry, incarnation)) {
			o->refs++;
			*out = o;
			return 0;
		}
	}
	o = calloc(1, sizeof(*o));
	if (!o)
		return CF_ENOMEM;
	o->refs = 1;
	o->incarnation = incarnation;
	o->n = entry.n;
	if (entry.n)
		memcpy(o->entry, entry.p, entry.n);
	LIST_INSERT_HEAD(&c->origins, o, link);
	*out = o;
	return 0;
}

void claim_origin_put(struct claim_origin *o)
{
	if (--o->refs == 0) {
		LIST_REMOVE(o, link);
		free(o);
	}
}

bool claim_owned_by(const struct claim *claim, const struct claim_owner *owner)
{
	return claim->sequence == owner->sequence &&
	       claim_origin_matches(claim->origin, owner->entry, owner->incarnation);
}
