#include "regress/lib_store.h"

#include <check.h>
#include <string.h>
#include <zlib.h>

#include "base/err.h"

#define MAX_FIELDS 256

void rig_open(struct rig *r)
{
	memset(r, 0, sizeof(*r));
	store_defaults(&r->options);
	r->now_us = 1000000;
	ck_assert_int_eq(store_new(&r->options, &r->s), 0);
}

/* Starts again with changed options. */
void rig_reopen(struct rig *r)
{
	store_free(r->s);
	ck_assert_int_eq(store_new(&r->options, &r->s), 0);
}

void rig_close(struct rig *r)
{
	codec_free((xdrproc_t)xdr_command_result, &r->res);
	buf_free(&r->command);
	buf_free(&r->result);
	store_free(r->s);
}

/* Applies an encoded command at the next index. Returns the answer's error. */
int rig_apply(struct rig *r, struct str bytes)
{
	codec_free((xdrproc_t)xdr_command_result, &r->res);
	memset(&r->res, 0, sizeof(r->res));
	ck_assert_int_eq(store_apply(r->s, ++r->index, bytes, &r->result), 0);
	ck_assert_int_eq(
		codec_decode((xdrproc_t)xdr_command_result, &r->res, buf_str(&r->result)),
		0);
	return r->res.err;
}

/* Encodes a command with the present time and applies it. */
int rig_run(struct rig *r, enum command_kind kind, const void *body)
{
	struct command c = {.time_us = r->now_us};
	size_t size = 0;

	switch (kind) {
	case CMD_NOP:
		break;
	case CMD_CONF_PUT:
		size = sizeof(struct command_conf_put);
		break;
	case CMD_CONF_DELETE:
		size = sizeof(struct command_conf_delete);
		break;
	case CMD_JOB_SUBMIT:
		size = sizeof(struct command_job_submit);
		break;
	case CMD_JOB_CANCEL:
		size = sizeof(struct command_job_cancel);
		break;
	case CMD_JOB_REJECT:
		size = sizeof(struct command_job_reject);
		break;
	case CMD_TASK:
		size = sizeof(struct command_task);
		break;
	case CMD_TASK_LOSSES:
		size = sizeof(struct command_task_losses);
		break;
	case CMD_TASK_SILENCES:
		size = sizeof(struct command_task_silences);
		break;
	case CMD_CAPACITY:
		size = sizeof(struct command_capacity);
		break;
	case CMD_CLAIM:
		size = sizeof(struct command_claim);
		break;
	case CMD_CLAIM_DONE:
		size = sizeof(struct command_claim_done);
		break;
	case CMD_CLAIM_ABORT:
	case CMD_CLAIM_UNKNOWN:
		size = sizeof(struct command_claim_end);
		break;
	case CMD_MEMBER_STATE:
		size = sizeof(struct command_member_state);
		break;
	case CMD_MEMBER_ENTRY:
		size = sizeof(struct command_member_entry);
		break;
	case CMD_MEMBER_SEEN:
		size = sizeof(struct command_member_seen);
		break;
	case CMD_MEMBER_GONE:
		size = sizeof(struct command_member_gone);
		break;
	}
	c.body.kind = kind;
	if (size)
		memcpy(&c.body.command_body_u, body, size);
	r->command.n = 0;
	ck_assert_int_eq(codec_encode((xdrproc_t)xdr_command, &c, &r->command), 0);
	return rig_apply(r, buf_str(&r->command));
}

struct str rig_detail(const struct rig *r)
{
	return XDR_STR(r->res, detail);
}

/* Replaces the store by a new one restored from its snapshot. */
void rig_restore(struct rig *r)
{
	struct buf snapshot = {0};
	struct buf again = {0};
	struct store *s;

	ck_assert_int_eq(store_snapshot(r->s, &snapshot), 0);
	ck_assert_int_eq(store_new(&r->options, &s), 0);
	ck_assert_int_eq(store_restore(s, buf_str(&snapshot)), 0);
	ck_assert_int_eq(store_snapshot(s, &again), 0);
	ck_assert(str_eq(buf_str(&snapshot), buf_str(&again)));
	store_free(r->s);
	r->s = s;
	buf_free(&snapshot);
	buf_free(&again);
}

static u_int parse_fields(const char *text, struct command_field *list)
{
	struct str rest = str_from(text);
	u_int n = 0;

	while (rest.n) {
		struct str one, name, value;

		str_split(rest, ' ', &one, &rest);
		str_split(one, '=', &name, &value);
		ck_assert_uint_lt(n, MAX_FIELDS);
		XDR_SET(list[n], name, name);
		XDR_SET(list[n], value, value);
		n++;
	}
	return n;
}

#define SET(object, member, cstr) XDR_SET(object, member, str_from(cstr))

int rig_put(struct rig *r, const char *path, uint64_t expected, const char *id,
	    const char *text, const char *fields)
{
	struct command_field list[MAX_FIELDS];
	struct command_conf_put c = {.expected_revision = expected};

	SET(c, path, path);
	SET(c, request_id, id);
	SET(c, text, text);
	c.fields.list.list_val = list;
	c.fields.list.list_len = parse_fields(fields, list);
	return rig_run(r, CMD_CONF_PUT, &c);
}

int rig_delete(struct rig *r, const char *path, uint64_t expected, const char *id)
{
	struct command_conf_delete c = {.expected_revision = expected};

	SET(c, path, path);
	SET(c, request_id, id);
	return rig_run(r, CMD_CONF_DELETE, &c);
}

int rig_submit(struct rig *r, const char *team, const char *name, const char *id,
	       const char *fields)
{
	struct command_field list[MAX_FIELDS];
	struct command_job_submit c = {0};

	SET(c, team, team);
	SET(c, name, name);
	SET(c, request_id, id);
	c.fields.list.list_val = list;
	c.fields.list.list_len = parse_fields(fields, list);
	return rig_run(r, CMD_JOB_SUBMIT, &c);
}

int rig_cancel(struct rig *r, const char *team, const char *job, const char *id)
{
	struct command_job_cancel c = {0};

	SET(c, team, team);
	SET(c, job, job);
	SET(c, request_id, id);
	return rig_run(r, CMD_JOB_CANCEL, &c);
}

static struct command_key key_of(const struct lib_claim *in)
{
	struct command_key key;

	SET(key, team, in->team);
	SET(key, service, in->service);
	SET(key, key, in->key);
	return key;
}

static struct command_owner owner_of(const struct lib_claim *in)
{
	struct command_owner owner = {.incarnation = in->incarnation,
				      .sequence = in->sequence};

	SET(owner, entry, in->entry);
	return owner;
}

int rig_claim(struct rig *r, const struct lib_claim *in)
{
	struct command_claim c = {.key = key_of(in), .owner = owner_of(in)};

	c.hash[0] = (char)in->hash;
	return rig_run(r, CMD_CLAIM, &c);
}

int rig_claim_done(struct rig *r, const struct lib_claim *in, uint32_t status,
		   struct str body)
{
	struct command_claim_done c = {.key = key_of(in), .owner = owner_of(in)};

	c.outcome.status = status;
	SET(c.outcome, content_type, "text/plain");
	XDR_SET(c.outcome, body, body);
	return rig_run(r, CMD_CLAIM_DONE, &c);
}

/* kind: CMD_CLAIM_ABORT or CMD_CLAIM_UNKNOWN. */
int rig_claim_end(struct rig *r, const struct lib_claim *in, enum command_kind kind)
{
	struct command_claim_end c = {.key = key_of(in), .owner = owner_of(in)};

	return rig_run(r, kind, &c);
}

int rig_entry(struct rig *r, const char *entry, uint64_t incarnation)
{
	struct command_member_entry c = {.incarnation = incarnation};

	SET(c, name, entry);
	SET(c, address, "127.0.0.1:1");
	return rig_run(r, CMD_MEMBER_ENTRY, &c);
}

/* Records one entry process as seen, or none when entry is NULL. */
int rig_seen(struct rig *r, uint64_t epoch, const char *entry, uint64_t incarnation)
{
	struct command_member_id id = {.incarnation = incarnation};
	struct command_member_seen c = {.epoch = epoch};

	SET(id, name, entry);
	c.entries.entries_val = &id;
	c.entries.entries_len = entry ? 1 : 0;
	return rig_run(r, CMD_MEMBER_SEEN, &c);
}

int rig_task(struct rig *r, const struct lib_task *t, enum task_state state)
{
	const struct job *job = jobs_get(store_jobs(r->s), str_from(t->team), t->service,
					 str_from(t->job));
	struct command_task c = {
		.service = t->service,
		.job_revision = t->revision || !job ? t->revision : job->revision,
		.task = t->task,
		.attempt = t->attempt,
		.state = state,
		.session = t->session,
		.exit_code = t->exit_code,
		.checkpoint = t->checkpoint,
		.failures = t->failures,
		.reason = t->reason,
	};

	SET(c, team, t->team);
	SET(c, job, t->job);
	SET(c, worker, t->worker);
	if (t->silent || t->nsilences) {
		struct command_silence list[CMD_MAX_SILENCES];
		struct command_task_silences l = {
			{c, t->losses, t->pardons}, t->silent, {t->nsilences, list}};

		memcpy(list, t->silence, sizeof(list));
		return rig_run(r, CMD_TASK_SILENCES, &l);
	}
	if (t->losses) {
		struct command_task_losses l = {c, t->losses, t->pardons};

		return rig_run(r, CMD_TASK_LOSSES, &l);
	}
	return rig_run(r, CMD_TASK, &c);
}

void lib_put_u32(char *p, uint32_t v)
{
	for (int i = 0; i < 4; i++)
		p[i] = (char)(v >> (3 - i) * 8);
}

uint32_t lib_crc(struct str bytes)
{
	return (uint32_t)crc32_z(0, (const Bytef *)bytes.p, bytes.n);
}
