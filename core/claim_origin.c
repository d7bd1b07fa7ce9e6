#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/claim_impl.h"
#include "core/team.h"
#include "proto/codec.h"

bool claim_is_origin(const struct claim_origin *o, struct str entry, uint64_t incarnation)
{
	return o->incarnation == incarnation &&
	       str_eq((struct str){o->entry, o->n}, entry);
}

/* Finds or makes the origin of an owner and adds a reference. */
int claim_origin_get(struct claims *c, struct str entry, uint64_t incarnation,
		     struct claim_origin **out)
{
	struct claim_origin *o;

	if (entry.n > CMD_MAX_NAME)
		return CF_EINVAL;
	LIST_FOREACH (o, &c->origins, link) {
		if (claim_is_origin(o, entry, incarnation)) {
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
	       claim_is_origin(claim->origin, owner->entry, owner->incarnation);
}
