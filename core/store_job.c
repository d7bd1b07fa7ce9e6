#include "base/err.h"
#include "core/fields.h"
#include "core/store_impl.h"
#include "proto/codec.h"

static int reply_invalid(const struct vocab_error *e, struct reply *reply)
{
	int err = vocab_error_format(e, &reply->detail);

	return err ? err : CF_EINVAL;
}

/*
 * Submits a job whose fields use the team's vocabulary. If the team has a job document
 * named like the batch kind of the job, it supplies the absent fields. Returns the errors
 * of jobs_submit(), or CF_EINVAL with a description in the reply.
 */
int store_job_submit(struct store *s, const struct command_job_submit *in,
		     struct reply *reply)
{
	struct command_fields fields = in->fields;
	const struct conf_view *view = conf_current_docs(s->conf);
	struct str team = XDR_STR(*in, team);
	struct str name = XDR_STR(*in, name);
	struct buf packed = {0};
	struct conf_item item;
	struct conf_item defaults;
	struct job_spec spec;
	struct vocab_error e = {.problem = VOCAB_OK};
	int err = fields_pack(&fields, &packed);

	if (err == CF_EINVAL) {
		int failed =
			buf_adds(&reply->detail, "a field name is empty or repeated");

		err = failed ? failed : err;
	}
	if (err)
		goto out;
	err = vocab_read(conf_view_vocabulary(view, team), CONF_KIND_JOB,
			 buf_str(&packed), &item, &e);
	if (err) {
		err = reply_invalid(&e, reply);
		goto out;
	}
	if (conf_item_has(&item, CONF_BATCH_KIND) &&
	    !conf_view_find(view, team, CONF_KIND_JOB,
			    conf_item_text(&item, CONF_BATCH_KIND), &defaults))
		conf_item_default(&item, &defaults);
	if (!conf_item_has(&item, CONF_COMMAND)) {
		e = (struct vocab_error){.problem = VOCAB_MISSING_FIELD,
					 .field = STR("command")};
		err = reply_invalid(&e, reply);
		goto out;
	}
	err = job_spec_read(&item, s->time_us, &spec);
	if (!err)
		err = jobs_submit(s->jobs, team, name.n ? name : XDR_STR(*in, request_id),
				  &spec, s->index, s->time_us, reply);
out:
	buf_free(&packed);
	return err;
}
