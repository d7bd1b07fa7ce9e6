#include "core/store.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/err.h"
#include "core/store_impl.h"
#include "core/team.h"
#include "proto/codec.h"

/* Expired entries are removed when the time of commands enters a new interval. */
#define SWEEP_US (60 * 1000000ULL)
/* Upper limit that keeps sums of times from overflowing; far beyond any real date. */
#define MAX_TIME_US (1ULL << 61)
#define TIME_BYTES 8 /* of the time field at the start of an encoded command */

static void release_owner_claims(struct member_host *host, struct str entry,
				 uint64_t incarnation, uint64_t time_us)
{
	struct store *s = (struct store *)host;

	claims_owner_lost(s->claims, entry, incarnation, time_us);
}

void store_defaults(struct store_options *o)
{
	conf_defaults(&o->conf);
	claim_defaults(&o->claim);
	job_defaults(&o->job);
	member_defaults(&o->member);
	dedup_defaults(&o->dedup);
}

int store_new(const struct store_options *o, struct store **out)
{
	struct store *s = calloc(1, sizeof(*s));
	int err;

	if (!s)
		return CF_ENOMEM;
	s->host.entry_gone = release_owner_claims;
	s->options = *o;
	err = conf_new(&o->conf, &s->conf);
	if (!err)
		err = claims_new(&o->claim, &s->claims);
	if (!err)
		err = jobs_new(&o->job, &s->jobs);
	if (!err)
		err = members_new(&o->member, &s->members);
	if (!err)
		err = dedup_new(&o->dedup, &s->dedup);
	if (err)
		store_free(s);
	else
		*out = s;
	return err;
}

void store_free(struct store *s)
{
	if (!s)
		return;
	conf_free(s->conf);
	claims_free(s->claims);
	jobs_free(s->jobs);
	members_free(s->members);
	dedup_free(s->dedup);
	free(s);
}

/* Notes the capacity of a worker, from a command or a snapshot. */
void store_add_capacity(struct store *s, const struct command_capacity *in)
{
	capacity_add(&s->capacities,
		     (struct sched_size){in->cpu_milli, in->memory_mb, in->accelerators});
}

/* Advances the time of commands and removes expired entries once per SWEEP_US. */
static int advance_time(struct store *s, uint64_t time_us)
{
	uint64_t before = s->time_us;

	/* The clock of a new leader may be behind that of the previous one. */
	if (time_us <= before)
		return 0;
	s->time_us = time_us;
	if (time_us / SWEEP_US == before / SWEEP_US)
		return 0;
	dedup_expire(s->dedup, time_us);
	jobs_sweep(s->jobs, time_us);
	return claims_sweep(s->claims, time_us);
}

static struct claim_key claim_key(const struct command_key *key)
{
	return (struct claim_key){XDR_STR(*key, team), XDR_STR(*key, service),
				  XDR_STR(*key, key)};
}

static struct claim_owner claim_owner(const struct command_owner *owner)
{
	return (struct claim_owner){XDR_STR(*owner, entry), owner->incarnation,
				    owner->sequence};
}

/* Returns CF_ENOENT if the owner is not a live member, else as claims_acquire(). */
static int take_claim(struct store *s, const struct command_claim *in,
		      struct reply *reply)
{
	struct claim_key key = claim_key(&in->key);
	struct claim_owner owner = claim_owner(&in->owner);

	if (!members_entry_is_live(s->members, owner.entry, owner.incarnation))
		return CF_ENOENT;
	return claims_acquire(s->claims, &key, (const uint8_t *)in->hash, &owner,
			      s->time_us, reply);
}

static int end_claim(struct store *s, const struct command_claim_end *in, bool abort)
{
	struct claim_key key = claim_key(&in->key);
	struct claim_owner owner = claim_owner(&in->owner);

	if (abort)
		return claims_abort(s->claims, &key, &owner);
	return claims_set_unknown(s->claims, &key, &owner, s->time_us);
}

static int finish_claim(struct store *s, const struct command_claim_done *in)
{
	struct claim_key key = claim_key(&in->key);
	struct claim_owner owner = claim_owner(&in->owner);

	return claims_done(s->claims, &key, &owner, s->time_us, &in->outcome);
}

/* Executes a command. CF_ENOMEM is fatal, other errors are the result of the command. */
static int execute_command(struct store *s, const struct command_body *body,
			   struct reply *reply)
{
	switch (body->kind) {
	case CMD_NOP:
		return 0;
	case CMD_CONF_PUT:
		return store_conf_put(s, &body->command_body_u.conf_put, reply);
	case CMD_CONF_DELETE:
		return store_conf_delete(s, &body->command_body_u.conf_delete, reply);
	case CMD_JOB_SUBMIT:
		return store_job_submit(s, &body->command_body_u.job_submit, reply);
	case CMD_JOB_CANCEL:
		return jobs_cancel(
			s->jobs, XDR_STR(body->command_body_u.job_cancel, team),
			XDR_STR(body->command_body_u.job_cancel, job), s->time_us, reply);
	case CMD_TASK:
		return jobs_apply_task(s->jobs, &body->command_body_u.task, s->time_us);
	case CMD_TASK_LOSSES:
		return jobs_apply_task_losses(s->jobs, &body->command_body_u.task_losses,
					      s->time_us);
	case CMD_TASK_SILENCES:
		return jobs_apply_task_silences(
			s->jobs, &body->command_body_u.task_silences, s->time_us);
	case CMD_CAPACITY:
		store_add_capacity(s, &body->command_body_u.capacity);
		return 0;
	case CMD_JOB_REJECT:
		return jobs_reject(
			s->jobs, XDR_STR(body->command_body_u.job_reject, team),
			XDR_STR(body->command_body_u.job_reject, job),
			XDR_STR(body->command_body_u.job_reject, reason), s->time_us);
	case CMD_CLAIM:
		return take_claim(s, &body->command_body_u.claim, reply);
	case CMD_CLAIM_DONE:
		return finish_claim(s, &body->command_body_u.claim_done);
	case CMD_CLAIM_ABORT:
		return end_claim(s, &body->command_body_u.claim_abort, true);
	case CMD_CLAIM_UNKNOWN:
		return end_claim(s, &body->command_body_u.claim_unknown, false);
	case CMD_MEMBER_STATE:
		return members_set_state(s->members, &body->command_body_u.member_state);
	case CMD_MEMBER_ENTRY:
		return members_register_entry(s->members,
					      &body->command_body_u.member_entry,
					      s->time_us, &s->host);
	case CMD_MEMBER_SEEN:
		return members_record_contact(s->members,
					      &body->command_body_u.member_seen,
					      s->time_us, &s->host);
	case CMD_MEMBER_GONE:
		return members_end(s->members, &body->command_body_u.member_gone,
				   s->time_us, &s->host);
	}
	return CF_EMALFORMED;
}

/* Replaces *out by the encoded result of a command. */
static int encode_result(int answer, const struct reply *reply, struct buf *out)
{
	struct command_result result = {.err = answer, .revision = reply->revision};
	struct command_outcome outcome = {0};
	struct str detail = buf_str(&reply->detail);

	XDR_SET(result, detail, detail);
	if (reply->outcome) {
		struct str type = claim_outcome_type(reply->outcome);
		struct str body = claim_outcome_body(reply->outcome);

		outcome.status = reply->outcome->status;
		XDR_SET(outcome, content_type, type);
		XDR_SET(outcome, body, body);
		result.outcome = &outcome;
	}
	out->n = 0;
	return codec_encode((xdrproc_t)xdr_command_result, &result, out);
}

/* Gets team and request id of a command that clients may resend; false for others. */
static bool find_request_id(const struct command_body *body, struct str *team,
			    struct str *id)
{
	struct str path;

	switch (body->kind) {
	case CMD_CONF_PUT:
		path = XDR_STR(body->command_body_u.conf_put, path);
		*id = XDR_STR(body->command_body_u.conf_put, request_id);
		break;
	case CMD_CONF_DELETE:
		path = XDR_STR(body->command_body_u.conf_delete, path);
		*id = XDR_STR(body->command_body_u.conf_delete, request_id);
		break;
	case CMD_JOB_SUBMIT:
		*team = XDR_STR(body->command_body_u.job_submit, team);
		*id = XDR_STR(body->command_body_u.job_submit, request_id);
		return true;
	case CMD_JOB_CANCEL:
		*team = XDR_STR(body->command_body_u.job_cancel, team);
		*id = XDR_STR(body->command_body_u.job_cancel, request_id);
		return true;
	default:
		return false;
	}
	*team = (struct str){NULL, 0};
	if (path.n && path.p[0] == '/')
		str_split((struct str){path.p + 1, path.n - 1}, '/', team, &path);
	return true;
}

/*
 * Executes a command, or returns the stored result if it was executed before. Errors are
 * stored too: a duplicate delayed by the network must not succeed after the caller was
 * told that the change failed.
 */
static int execute_command_once(struct store *s, const struct command_body *body,
				struct str content, struct buf *out)
{
	struct dedup_result stored = {.index = s->index, .time_us = s->time_us};
	XXH128_canonical_t hash;
	struct reply reply = {0};
	bool resendable = find_request_id(body, &stored.team, &stored.request_id);
	bool keep = false;
	int answer = CF_ENOENT;
	int err;

	if (resendable) {
		XXH128_canonicalFromHash(&hash, XXH3_128bits(content.p, content.n));
		memcpy(stored.hash, hash.digest, CMD_HASH);
		answer = dedup_find(s->dedup, stored.team, stored.request_id, stored.hash,
				    &stored.result);
		if (answer == 0)
			return buf_set(out, stored.result);
	}
	if (answer == CF_EREUSED) {
		/* The request id was used for other content: reply with this error. */
	} else if (resendable && (!name_valid(stored.team) || stored.request_id.n == 0)) {
		answer = CF_EINVAL;
		err = buf_adds(&reply.detail, "team or request id is missing or invalid");
		if (err)
			return err;
	} else if (resendable && !dedup_has_room(s->dedup, stored.team)) {
		answer = CF_ENOSPACE;
	} else {
		answer = execute_command(s, body, &reply);
		keep = resendable;
	}
	err = answer == CF_ENOMEM ? CF_ENOMEM : encode_result(answer, &reply, out);
	if (!err && keep) {
		stored.result = buf_str(out);
		err = dedup_add(s->dedup, &stored);
	}
	buf_free(&reply.detail);
	return err;
}

/*
 * Applies the command at a log index and replaces *result by its encoded struct
 * command_result. The result of a command that cannot be decoded is CF_EMALFORMED.
 * Returns CF_ESTALE if the index was already applied, else 0. After CF_ENOMEM or any
 * other error the store may differ from the other replicas and must be discarded.
 */
int store_apply(struct store *s, uint64_t index, struct str bytes, struct buf *result)
{
	struct command decoded = {0};
	struct reply none = {0};
	int err;

	if (s->failed)
		return CF_ENOMEM;
	if (index <= s->index)
		return CF_ESTALE;
	s->index = index;
	err = codec_decode((xdrproc_t)xdr_command, &decoded, bytes);
	if (err) {
		err = encode_result(CF_EMALFORMED, &none, result);
	} else if (decoded.time_us > MAX_TIME_US) {
		err = encode_result(CF_EINVAL, &none, result);
	} else {
		err = advance_time(s, decoded.time_us);
		if (!err)
			err = execute_command_once(
				s, &decoded.body,
				(struct str){bytes.p + TIME_BYTES, bytes.n - TIME_BYTES},
				result);
	}
	codec_free((xdrproc_t)xdr_command, &decoded);
	s->failed = err != 0;
	return err;
}

/* Sets the time of an encoded command in place. CF_EINVAL if the command is too short. */
int store_set_command_time(struct buf *bytes, uint64_t time_us)
{
	if (bytes->n < TIME_BYTES)
		return CF_EINVAL;
	for (int i = 0; i < TIME_BYTES; i++)
		bytes->p[i] = (char)(time_us >> (TIME_BYTES - 1 - i) * 8);
	return 0;
}

/* Log index of the last applied command. */
uint64_t store_index(const struct store *s)
{
	return s->index;
}

/* Time of commands, in microseconds since 1970; never decreases. */
uint64_t store_time_us(const struct store *s)
{
	return s->time_us;
}

const struct conf *store_conf(const struct store *s)
{
	return s->conf;
}

const struct claims *store_claims(const struct store *s)
{
	return s->claims;
}

/* Returns the largest capacities that workers had so far. */
const struct capacity_list *store_capacities(const struct store *s)
{
	return &s->capacities;
}

const struct jobs *store_jobs(const struct store *s)
{
	return s->jobs;
}

const struct members *store_members(const struct store *s)
{
	return s->members;
}

const struct dedup *store_dedup(const struct store *s)
{
	return s->dedup;
}
