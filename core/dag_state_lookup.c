#include "base/err.h"
#include "core/dag_state.h"
#include "proto/codec.h"

#define ID_DIGITS 16U

struct dag_zone_rec *dag_state_find_zone(const struct dag_state *s, struct str zone)
{
	struct dag_zone_rec *z;

	HASH_FIND(hh, s->zones, zone.p, zone.n, z);
	return z;
}

bool dag_state_zone_closed(const struct dag_state *s, struct str zone)
{
	const struct dag_zone_rec *z = dag_state_find_zone(s, zone);

	return z && z->closed;
}

/* Log entry that the newest order for a zone has at most; 0: there was none. */
uint64_t dag_state_zone_order(const struct dag_state *s, struct str zone)
{
	const struct dag_zone_rec *z = dag_state_find_zone(s, zone);

	return z ? z->order : s->zone_orders_floor;
}

struct dag_job_rec *dag_state_find_job(const struct dag_state *s, uint64_t id)
{
	struct dag_job_rec *j;

	HASH_FIND(hh, s->jobs, &id, sizeof(id), j);
	return j;
}

struct dag_worker_rec *dag_state_find_worker(const struct dag_state *s, uint32_t number)
{
	struct dag_worker_rec *w;

	HASH_FIND(hh, s->workers, &number, sizeof(number), w);
	return w;
}

struct dag_worker_rec *dag_state_find_worker_by_id(const struct dag_state *s,
						   struct str id)
{
	struct dag_worker_rec *w;

	HASH_FIND(hh_id, s->workers_by_id, id.p, id.n, w);
	return w;
}

static const struct dag_service *find_service(const struct dag_state *s, struct str name)
{
	for (u_int i = 0; i < s->conf.services.services_len; i++) {
		const struct dag_service *x = &s->conf.services.services_val[i];

		if (str_eq(XDR_STR(*x, name), name))
			return x;
	}
	return NULL;
}

/* Whether the configuration in force names a service. */
bool dag_state_service_named(const struct dag_state *s, struct str service)
{
	return find_service(s, service) != NULL;
}

/* Whether the workers of a service refuse what does not fit. An unknown one does not. */
bool dag_state_service_guarded(const struct dag_state *s, struct str service)
{
	const struct dag_service *x = find_service(s, service);

	return x && x->guarded;
}

/*
 * Whether a report tells of a life of a worker that has ended, or undoes a leaving:
 * reports may arrive after their sender has gone and another process has its id or its
 * address. Starts are compared by the time of day, which may be set back between two.
 */
bool dag_state_is_old_report(const struct dag_state *s, const struct dag_worker *w)
{
	const struct dag_worker_rec *rec =
		dag_state_find_worker_by_id(s, XDR_STR(*w, id));
	const struct dag_worker_rec *other;

	if (rec)
		return w->born_ms < rec->w.born_ms ||
		       (w->born_ms == rec->w.born_ms && w->state < rec->w.state);
	for (other = s->workers; other; other = other->hh.next)
		if (other->w.born_ms > w->born_ms && other->w.state != DAG_WORKER_GONE &&
		    str_eq(XDR_STR(other->w, address), XDR_STR(*w, address)))
			return true;
	return false;
}

/*
 * Finds the queue of host whose prefix is the longest that matches path. rest: what
 * follows the prefix. NULL: no queue matches.
 */
const struct dag_queue *dag_state_match_queue(const struct dag_state *s, struct str host,
					      struct str path, struct str *rest)
{
	const struct dag_queue *best = NULL;
	size_t longest = 0;

	for (u_int i = 0; i < s->conf.queues.queues_len; i++) {
		const struct dag_queue *q = &s->conf.queues.queues_val[i];
		struct str prefix = XDR_STR(*q, prefix);

		if (!str_eq(XDR_STR(*q, host), host) || !str_starts(path, prefix))
			continue;
		if (best && prefix.n <= longest)
			continue;
		best = q;
		longest = prefix.n;
	}
	if (best)
		*rest = (struct str){path.p + longest, path.n - longest};
	return best;
}

/* Reads the 16 hexadecimal digits of a job's id. CF_EINVAL: it has another form. */
int dag_job_id_parse(struct str text, uint64_t *out)
{
	uint64_t id = 0;

	if (text.n != ID_DIGITS)
		return CF_EINVAL;
	for (size_t i = 0; i < text.n; i++) {
		char ch = text.p[i];

		if (ch >= '0' && ch <= '9')
			id = id << 4 | (uint64_t)(ch - '0');
		else if (ch >= 'a' && ch <= 'f')
			id = id << 4 | (uint64_t)(ch - 'a' + 10);
		else if (ch >= 'A' && ch <= 'F')
			id = id << 4 | (uint64_t)(ch - 'A' + 10);
		else
			return CF_EINVAL;
	}
	*out = id;
	return 0;
}
