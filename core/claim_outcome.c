#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/claim_impl.h"
#include "core/team.h"
#include "proto/codec.h"

struct str claim_outcome_type(const struct claim_outcome *o)
{
	return (struct str){o->bytes, o->type_n};
}

struct str claim_outcome_body(const struct claim_outcome *o)
{
	return (struct str){o->bytes + o->type_n, o->body_n};
}

size_t claim_outcome_bytes(const struct claim_outcome *o)
{
	return o ? sizeof(*o) + o->type_n + o->body_n : 0;
}

/* Allocates a copy of an outcome. CF_ENOMEM. */
int claim_outcome_copy(const struct command_outcome *in, struct claim_outcome **out)
{
	u_int type_n = in->content_type.content_type_len;
	u_int body_n = in->body.body_len;
	struct claim_outcome *o = malloc(sizeof(*o) + type_n + body_n);

	if (!o)
		return CF_ENOMEM;
	o->status = in->status;
	o->body_n = body_n;
	o->type_n = (uint16_t)type_n;
	if (type_n)
		memcpy(o->bytes, in->content_type.content_type_val, type_n);
	if (body_n)
		memcpy(o->bytes + type_n, in->body.body_val, body_n);
	*out = o;
	return 0;
}

void claim_set_outcome(struct claims *c, struct claim *claim, struct claim_outcome *o)
{
	share_release(&c->outcomes, &claim->team->used_outcomes,
		      claim_outcome_bytes(claim->outcome));
	free(claim->outcome);
	claim->outcome = o;
	share_acquire(&c->outcomes, &claim->team->used_outcomes, claim_outcome_bytes(o));
}
