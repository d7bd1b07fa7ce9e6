/* Organisations, owners of jobs and of withdrawals in snapshots. */
#include <stdlib.h>

#include "base/err.h"
#include "core/dag_state.h"
#include "proto/codec.h"

/* Index of an organisation in the image; sorted by address while it is filled. */
struct org_index {
	const struct dag_org *org;
	u_int i;
};

static int compare_index(const void *a, const void *b)
{
	const struct org_index *x = a;
	const struct org_index *y = b;

	return x->org < y->org ? -1 : x->org > y->org;
}

/* The organisation must be in the index. */
static u_int index_of(const struct org_index *index, u_int n, const struct dag_org *org)
{
	const struct org_index key = {.org = org};
	const struct org_index *found =
		bsearch(&key, index, n, sizeof(key), compare_index);

	return found->i;
}

/* Adds the organisations without their credentials. Borrows the names. */
static void fill_specs(const struct dag_state *s, struct org_index *index,
		       struct dag_org_image *im)
{
	const struct dag_org *org;
	u_int n = 0;

	for (org = s->orgs; org; org = org->hh.next, n++) {
		struct dag_image_org *io = &im->orgs.orgs_val[n];

		index[n] = (struct org_index){org, n};
		XDR_SET(io->spec, name, dag_org_name(org));
		io->spec.weight = org->weight;
		io->spec.cpu_milli = org->limits.cpu_milli;
		io->spec.mem_mb = org->limits.mem_mb;
		io->spec.gpus = org->limits.gpus;
		io->configured = org->configured;
	}
	im->orgs.orgs_len = n;
	qsort(index, n, sizeof(*index), compare_index);
}

/* Adds the digests of credentials, for each organisation in ascending order. */
static int fill_credentials(const struct dag_state *s, const struct org_index *index,
			    struct dag_org_image *im)
{
	const struct dag_org_access *a = &s->access;
	u_int n = im->orgs.orgs_len;

	for (size_t i = 0; i < a->n_keys; i++)
		im->orgs.orgs_val[index_of(index, n, a->keys[i].org)]
			.spec.credentials.credentials_len++;
	for (u_int i = 0; i < n; i++) {
		struct dag_org_spec *spec = &im->orgs.orgs_val[i].spec;

		spec->credentials.credentials_val =
			calloc(spec->credentials.credentials_len + (size_t)1,
			       sizeof(struct dag_digest));
		spec->credentials.credentials_len = 0;
		if (!spec->credentials.credentials_val)
			return CF_ENOMEM;
	}
	for (size_t i = 0; i < a->n_keys; i++) {
		struct dag_org_spec *spec =
			&im->orgs.orgs_val[index_of(index, n, a->keys[i].org)].spec;
		char *to = spec->credentials
				   .credentials_val[spec->credentials.credentials_len++]
				   .bytes;

		for (size_t k = 0; k < DAG_DIGEST_BYTES; k++)
			to[k] = (char)a->keys[i].digest[k];
	}
	return 0;
}

static void fill_public_queues(const struct dag_state *s, struct dag_org_image *im)
{
	for (u_int i = 0; s->access.public_queues && i < s->conf.queues.queues_len; i++)
		if (s->access.public_queues[i])
			im->public_queues.public_queues_val
				[im->public_queues.public_queues_len++] = i;
}

static void fill_owners(const struct dag_state *s, const struct org_index *index,
			struct dag_org_image *im)
{
	const struct dag_job_rec *j;

	for (j = s->jobs; j; j = j->hh.next)
		if (j->org)
			im->owners.owners_val[im->owners.owners_len++] =
				(struct dag_image_owner){
					j->id,
					index_of(index, im->orgs.orgs_len, j->org)};
}

/*
 * Fills the second part of a snapshot, except for the withdrawals. The caller frees it
 * with dag_state_free_org_image(), also after an error. CF_ENOMEM.
 */
int dag_state_fill_orgs(const struct dag_state *s, struct dag_org_image *im)
{
	size_t n = HASH_COUNT(s->orgs);
	struct org_index *index = calloc(n + 1, sizeof(*index));
	int err = CF_ENOMEM;

	im->orgs.orgs_val = calloc(n + 1, sizeof(struct dag_image_org));
	im->public_queues.public_queues_val =
		calloc(s->conf.queues.queues_len + (size_t)1, sizeof(u_int));
	im->owners.owners_val =
		calloc(HASH_COUNT(s->jobs) + (size_t)1, sizeof(struct dag_image_owner));
	if (!index || !im->orgs.orgs_val || !im->public_queues.public_queues_val ||
	    !im->owners.owners_val)
		goto out;
	fill_specs(s, index, im);
	err = fill_credentials(s, index, im);
	fill_public_queues(s, im);
	fill_owners(s, index, im);
out:
	free(index);
	return err;
}

/* Frees the arrays of a filled image, which borrows its strings. */
void dag_state_free_org_image(struct dag_org_image *im)
{
	for (u_int i = 0; i < im->orgs.orgs_len; i++)
		free(im->orgs.orgs_val[i].spec.credentials.credentials_val);
	free(im->orgs.orgs_val);
	free(im->public_queues.public_queues_val);
	free(im->owners.owners_val);
	free(im->withdrawn.withdrawn_val);
	*im = (struct dag_org_image){0};
}

/* Adds an organisation that is not configured; the configuration may follow. */
static int load_org(struct dag_state *s, const struct dag_image_org *io)
{
	struct str name = XDR_STR(io->spec, name);

	if (!name.n || dag_state_find_org(s, name) ||
	    (!io->configured && io->spec.credentials.credentials_len))
		return CF_EMALFORMED;
	return dag_state_add_org(s, &io->spec);
}

static int load_owner(struct dag_state *s, const struct dag_org_image *im,
		      const struct dag_image_owner *o)
{
	struct dag_job_rec *j = dag_state_find_job(s, o->job);

	if (!j || j->org || o->org >= im->orgs.orgs_len)
		return CF_EMALFORMED;
	return dag_state_set_owner(s, j, XDR_STR(im->orgs.orgs_val[o->org].spec, name));
}

/* Puts the configured organisations of an image in force. */
static int load_conf(struct dag_state *s, const struct dag_org_image *im)
{
	struct dag_org_conf conf = {.conf = s->conf};
	int err;

	conf.orgs.orgs_val =
		calloc(im->orgs.orgs_len + (size_t)1, sizeof(struct dag_org_spec));
	if (!conf.orgs.orgs_val)
		return CF_ENOMEM;
	for (u_int i = 0; i < im->orgs.orgs_len; i++)
		if (im->orgs.orgs_val[i].configured)
			conf.orgs.orgs_val[conf.orgs.orgs_len++] =
				im->orgs.orgs_val[i].spec;
	conf.public_queues.public_queues_len = im->public_queues.public_queues_len;
	conf.public_queues.public_queues_val = im->public_queues.public_queues_val;
	if (!conf.orgs.orgs_len && conf.public_queues.public_queues_len)
		err = CF_EINVAL;
	else
		err = dag_state_set_orgs(s, &conf);
	free(conf.orgs.orgs_val);
	return err == CF_EINVAL ? CF_EMALFORMED : err;
}

/*
 * Adds what the second part of a snapshot holds to a state that has the first part.
 * CF_EMALFORMED: it contradicts itself or the first part; CF_ENOMEM.
 */
int dag_state_load_orgs(struct dag_state *s, const struct dag_org_image *im)
{
	int err = 0;

	if (!im->orgs.orgs_len && !im->withdrawn.withdrawn_len)
		return CF_EMALFORMED;
	for (u_int i = 0; !err && i < im->orgs.orgs_len; i++)
		err = load_org(s, &im->orgs.orgs_val[i]);
	for (u_int i = 0; !err && i < im->owners.owners_len; i++)
		err = load_owner(s, im, &im->owners.owners_val[i]);
	if (!err)
		err = load_conf(s, im);
	/* One that is neither configured nor owns a job would not be recorded. */
	if (!err && HASH_COUNT(s->orgs) != im->orgs.orgs_len)
		err = CF_EMALFORMED;
	for (u_int i = 0; !err && i < im->withdrawn.withdrawn_len; i++)
		err = dag_state_restore_org_withdrawn(s, &im->withdrawn.withdrawn_val[i]);
	return err;
}
