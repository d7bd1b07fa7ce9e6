/* Authorisation of callers by the leader. */
#include <xxhash.h>

#include "carawayfrontd/controller_impl.h"
#include "io/clock.h"
#include "io/log.h"
#include "proto/codec.h"

/* Failed authorisations can come at any rate. */
#define REFUSAL_LOG_US 1000000

/* For the comparison of organisations that may have gone meanwhile; NULL: 0. */
uint64_t controller_org_hash(const struct dag_org *org)
{
	struct str name;

	if (!org)
		return 0;
	name = dag_org_name(org);
	return XXH3_64bits(name.p, name.n);
}

/* Counts a refusal and logs it, without anything of the credential. */
static void note_refusal(struct controller *c, const struct dag_queue *q,
			 const char *reason)
{
	struct buf labels = {0};
	int64_t now = clock_us();

	if (!metric_add_label(&labels, "reason", str_from(reason)))
		++*metric_counter(c->metrics, "carawayfront_authorization_failures_total",
				  labels.p);
	buf_free(&labels);
	if (c->refusal_logged_us && now - c->refusal_logged_us < REFUSAL_LOG_US) {
		c->refusals_unlogged++;
		return;
	}
	log_info("authorization-failed", "reason=%s queue=%.*s unlogged=%llu", reason,
		 STR_ARG(XDR_STR(*q, name)), (unsigned long long)c->refusals_unlogged);
	c->refusal_logged_us = now;
	c->refusals_unlogged = 0;
}

/*
 * Whether a caller may use a queue. credential NULL: none was sent; empty: it was
 * malformed. owner: the caller's organisation, NULL: not known. Only the leader may ask,
 * while its lease is valid.
 */
bool controller_authorize(struct controller *c, const struct dag_queue *q,
			  const struct dag_credential *credential, struct dag_org **owner)
{
	struct str text = credential ? XDR_STR(*credential, text) : STR("");

	if (dag_state_authorize(c->state, q, text, owner))
		return true;
	note_refusal(c, q, !credential ? "missing" : text.n ? "unknown" : "malformed");
	return false;
}
