#include "base/err.h"
#include "core/fields.h"
#include "core/store_impl.h"
#include "proto/codec.h"

/* Services and tasks that a configuration change would add. */
struct service_growth {
	uint64_t services;
	uint64_t tasks;
};

static struct str empty_str(void)
{
	return (struct str){NULL, 0};
}

/*
 * Adds to *g what a service needs beyond its existing tasks. Returns CF_ETOOBIG when the
 * service wants more executors than a job may have tasks.
 */
static int add_service_growth(const struct store *s, struct str vocabulary,
			      const struct conf_doc *doc, struct service_growth *g)
{
	const struct job *job =
		jobs_get(s->jobs, conf_doc_team(doc), true, conf_doc_name(doc));
	struct conf_item item;
	struct vocab_error e;
	uint64_t n;

	if (vocab_kind(vocabulary, conf_doc_word(doc)) != CONF_KIND_SERVICE ||
	    vocab_read(vocabulary, CONF_KIND_SERVICE, conf_doc_fields(doc), &item, &e))
		return 0;
	n = conf_item_number(&item, CONF_EXECUTORS);
	if (n > s->options.job.tasks_per_job)
		return CF_ETOOBIG;
	if (!job && n)
		g->services++;
	if (!job)
		g->tasks += n;
	else if (n > job->ntasks)
		g->tasks += n - job->ntasks;
	return 0;
}

/*
 * Checks that the tasks of the changed services stay within the limits of the team.
 * Returns CF_ETOOBIG or CF_ENOSPACE if they do not.
 */
static int check_services(const struct store *s, const struct conf_doc *doc)
{
	const struct conf_view *view = conf_current_docs(s->conf);
	struct str team = conf_doc_team(doc);
	struct service_growth g = {0};
	int err = 0;

	if (conf_doc_is_vocabulary(doc)) {
		const struct conf_doc *const *docs;
		size_t n;

		docs = conf_view_team(view, team, &n);
		for (size_t i = 0; i < n && !err; i++) {
			if (!conf_doc_is_vocabulary(docs[i]))
				err = add_service_growth(s, conf_doc_fields(doc), docs[i],
							 &g);
		}
	} else if (!doc->deleted) {
		err = add_service_growth(s, conf_view_vocabulary(view, team), doc, &g);
	}
	if (err)
		return err;
	return jobs_services_fit(s->jobs, team, g.services, g.tasks) ? 0 : CF_ENOSPACE;
}

/* Adapts the executors of one service to its current document. */
static int update_service(struct store *s, const struct conf_doc *doc)
{
	struct conf_item item;
	struct job_spec spec;
	int err;

	if (conf_view_kind(conf_current_docs(s->conf), doc) != CONF_KIND_SERVICE)
		return 0;
	if (doc->deleted) {
		jobs_service_remove(s->jobs, conf_doc_team(doc), conf_doc_name(doc),
				    s->time_us);
		return 0;
	}
	err = conf_view_read(conf_current_docs(s->conf), doc, &item);
	if (!err)
		err = job_spec_read(&item, s->time_us, &spec);
	if (err)
		return err;
	return jobs_service_set(s->jobs, conf_doc_team(doc), conf_doc_name(doc), &spec,
				s->index, s->time_us);
}

/* Adapts the executors of all services that a changed document affects. */
static int update_services(struct store *s, const struct conf_doc *doc)
{
	const struct conf_doc *const *docs;
	size_t n;
	int err = 0;

	if (!conf_doc_is_vocabulary(doc))
		return update_service(s, doc);
	docs = conf_view_team(conf_current_docs(s->conf), conf_doc_team(doc), &n);
	for (size_t i = 0; i < n && !err; i++)
		err = update_service(s, docs[i]);
	return err;
}

static int change_document(struct store *s, const struct conf_change *in,
			   uint64_t expected, struct reply *reply)
{
	struct conf_doc *doc;
	int err = conf_prepare(s->conf, in, expected, reply, &doc);

	if (err)
		return err;
	err = check_services(s, doc);
	if (!err)
		err = conf_commit(s->conf, doc, reply);
	if (!err)
		err = update_services(s, doc);
	conf_doc_unref(doc);
	return err;
}

/*
 * Stores a new version of a document and adapts the services that it affects. Returns the
 * errors of conf_prepare().
 */
int store_conf_put(struct store *s, const struct command_conf_put *in,
		   struct reply *reply)
{
	struct command_fields fields = in->fields;
	struct buf packed = {0};
	struct conf_change put = {
		.path = XDR_STR(*in, path),
		.revision = s->index,
		.text = XDR_STR(*in, text),
	};
	int err = fields_pack(&fields, &packed);

	if (err == CF_EINVAL) {
		int failed =
			buf_adds(&reply->detail, "a field name is empty or repeated");

		err = failed ? failed : err;
	}
	put.fields = buf_str(&packed);
	if (!err)
		err = change_document(s, &put, in->expected_revision, reply);
	buf_free(&packed);
	return err;
}

/* Deletes a document. Returns the errors of conf_prepare(). */
int store_conf_delete(struct store *s, const struct command_conf_delete *in,
		      struct reply *reply)
{
	struct conf_change delete = {
		.path = XDR_STR(*in, path),
		.revision = s->index,
		.deleted = true,
		.text = empty_str(),
		.fields = empty_str(),
	};

	return change_document(s, &delete, in->expected_revision, reply);
}
