#include "carawayfrontd/entry_watch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "carawayfrontd/ctl_reply.h"
#include "carawayfrontd/member_join.h"
#include "io/clock.h"
#include "io/log.h"
#include "proto/codec.h"
#include "proto/peer.h"

#define WATCH_WAIT_MS 500U
/* A confirmation as old as this is renewed without waiting for a change. */
#define RENEW_AGE_US 1000000
#define RETRY_DELAY 0.1
#define CHECK_PERIOD 0.05 /* between checks of freshness and of waiting requests */
#define MAX_WAIT_MS 60000U
/* Deletions that are kept for watching operators; 0.5 MB at the longest paths. */
#define MAX_DELETIONS 1024U

/* An availability zone that is out for a team, as the router was told. */
struct zone_out {
	struct zone_out *next;
	char *team;
	char *zone;
	bool seen;
};

/* A deleted document, which the view no longer has. */
struct deletion {
	char *path;
	uint64_t revision;
};

/* A control request that waits for a change of a team's subtree. */
struct wait {
	struct wait *next;
	struct http_request *req;
	char *team;
	uint64_t after;
	int64_t end_us;
};

struct entry_watch {
	struct leader_call call;
	struct entry_watch_options opt;
	struct conf_view *view;
	struct ev_timer retry;
	struct ev_timer check;
	struct member_join *join;
	struct zone_out *zones;
	struct wait *waits;
	struct deletion
		deletions[MAX_DELETIONS]; /* ring, the oldest at n_deleted % MAX */
	size_t n_deleted;		  /* of all time */
	uint64_t deletions_after;	  /* every deletion above this revision is kept */
	int64_t sent_us;
	int64_t fresh_us; /* no newer configuration had been accepted then; 0: never */
	bool fresh;
	bool told_fresh;
};

static void ask(struct entry_watch *w);

static void set_fresh(struct entry_watch *w)
{
	int64_t age = clock_us() - w->fresh_us;
	bool fresh =
		w->fresh_us && age <= (int64_t)w->opt.settings->limits.stale_ms * 1000;

	*metric_gauge(w->opt.metrics, "carawayfront_conf_age_us", "") =
		w->fresh_us ? (uint64_t)age : 0;
	if (w->told_fresh && fresh == w->fresh)
		return;
	w->told_fresh = true;
	w->fresh = fresh;
	router_fresh(w->opt.router, fresh, clock_us());
	if (fresh)
		log_info("configuration-confirmed", "revision=%llu",
			 (unsigned long long)conf_view_index(w->view));
	else
		log_warn("configuration-stale", "revision=%llu age_ms=%lld",
			 (unsigned long long)conf_view_index(w->view),
			 w->fresh_us ? (long long)age / 1000 : -1);
}

static void zone_free(struct zone_out *z)
{
	free(z->team);
	free(z->zone);
	free(z);
}

static int mark_out(struct entry_watch *w, struct str team, struct str zone)
{
	struct zone_out *z;

	for (z = w->zones; z; z = z->next) {
		if (str_eq(str_from(z->team), team) && str_eq(str_from(z->zone), zone)) {
			z->seen = true;
			return 0;
		}
	}
	z = calloc(1, sizeof(*z));
	if (!z)
		return CF_ENOMEM;
	z->team = str_dup(team);
	z->zone = str_dup(zone);
	z->seen = true;
	if (!z->team || !z->zone) {
		zone_free(z);
		return CF_ENOMEM;
	}
	z->next = w->zones;
	w->zones = z;
	return router_zone(w->opt.router, team, zone, true, clock_us());
}

/* Tells the router which zones are out, and which are back. */
static int apply_zones(struct entry_watch *w)
{
	struct zone_out **p;
	int err = 0;

	for (struct zone_out *z = w->zones; z; z = z->next)
		z->seen = false;
	for (size_t i = 0; i < conf_view_teams(w->view) && !err; i++) {
		struct str team = conf_view_team_name(w->view, i);
		size_t n;
		const struct conf_doc *const *docs = conf_view_team(w->view, team, &n);

		for (size_t k = 0; k < n && !err; k++) {
			struct conf_item item;

			if (conf_view_kind(w->view, docs[k]) != CONF_KIND_ZONE ||
			    conf_view_read(w->view, docs[k], &item))
				continue;
			if (conf_item_number(&item, CONF_STATE) == CONF_ZONE_OUT)
				err = mark_out(w, team, conf_doc_name(docs[k]));
		}
	}
	for (p = &w->zones; *p && !err;) {
		struct zone_out *z = *p;

		if (z->seen) {
			p = &z->next;
			continue;
		}
		err = router_zone(w->opt.router, str_from(z->team), str_from(z->zone),
				  false, clock_us());
		*p = z->next;
		zone_free(z);
	}
	return err;
}

/* Keeps a deletion; the oldest one makes room. */
static int keep_deletion(struct entry_watch *w, struct str path, uint64_t revision)
{
	struct deletion *d = &w->deletions[w->n_deleted % MAX_DELETIONS];
	char *copy = str_dup(path);

	if (!copy)
		return CF_ENOMEM;
	if (d->path)
		w->deletions_after = d->revision;
	free(d->path);
	*d = (struct deletion){copy, revision};
	w->n_deleted++;
	return 0;
}

static bool deletion_is_of(const struct deletion *d, const struct wait *wait)
{
	size_t n = strlen(wait->team);

	return d->path && d->revision > wait->after && d->path[0] == '/' &&
	       strncmp(d->path + 1, wait->team, n) == 0 && d->path[1 + n] == '/';
}

static int by_revision(const void *a, const void *b)
{
	json_t *const *x = a;
	json_t *const *y = b;
	json_int_t rx = json_integer_value(json_object_get(*x, "revision"));
	json_int_t ry = json_integer_value(json_object_get(*y, "revision"));

	return (rx > ry) - (rx < ry);
}

static json_t *change_json(struct str path, uint64_t revision, bool deleted)
{
	return json_pack("{s:o,s:I,s:b}", "path", ctl_json_str(path), "revision",
			 (json_int_t)revision, "deleted", (int)deleted);
}

/* The changes of the team after the revision of the request, in their order. */
static json_t *changes_json(struct entry_watch *w, const struct wait *wait)
{
	size_t n, count = 0;
	const struct conf_doc *const *docs =
		conf_view_team(w->view, str_from(wait->team), &n);
	json_t **rows = calloc(n + MAX_DELETIONS, sizeof(json_t *));
	json_t *list = json_array();

	if (!rows || !list)
		goto out;
	for (size_t i = 0; i < n; i++)
		if (docs[i]->revision > wait->after)
			rows[count++] = change_json(conf_doc_path(docs[i]),
						    docs[i]->revision, false);
	for (size_t i = 0; i < MAX_DELETIONS; i++)
		if (deletion_is_of(&w->deletions[i], wait))
			rows[count++] = change_json(str_from(w->deletions[i].path),
						    w->deletions[i].revision, true);
	if (count)
		qsort((void *)rows, count, sizeof(json_t *), by_revision);
	for (size_t i = 0; i < count; i++)
		json_array_append_new(list, rows[i]);
out:
	free((void *)rows);
	return list;
}

static void reply_changes(struct entry_watch *w, const struct wait *wait)
{
	ctl_reply_json(wait->req, 200,
		       json_pack("{s:I,s:I,s:o}", "revision",
				 (json_int_t)conf_view_index(w->view), "deletions_after",
				 (json_int_t)w->deletions_after, "changes",
				 changes_json(w, wait)));
}

static bool team_changed(struct entry_watch *w, const struct wait *wait)
{
	size_t n;
	const struct conf_doc *const *docs =
		conf_view_team(w->view, str_from(wait->team), &n);

	for (size_t i = 0; i < n; i++)
		if (docs[i]->revision > wait->after)
			return true;
	for (size_t i = 0; i < MAX_DELETIONS; i++)
		if (deletion_is_of(&w->deletions[i], wait))
			return true;
	return false;
}

/* Answers the waiting requests that have something to tell or have waited enough. */
static void serve_waits(struct entry_watch *w, bool all)
{
	int64_t now = clock_us();
	struct wait **p = &w->waits;

	while (*p) {
		struct wait *wait = *p;

		if (!all && now < wait->end_us && !team_changed(w, wait)) {
			p = &wait->next;
			continue;
		}
		*p = wait->next;
		reply_changes(w, wait);
		free(wait->team);
		free(wait);
	}
}

/* Applies a reply. Versions never go back: an older reply changes nothing. */
static int apply(struct entry_watch *w, const struct peer_watch_res *res, uint64_t after)
{
	u_int n = res->changes.changes_len;
	struct conf_change *changes = calloc(n ? n : 1, sizeof(*changes));
	uint64_t before = conf_view_index(w->view);
	int err;

	if (!changes)
		return CF_ENOMEM;
	for (u_int i = 0; i < n; i++) {
		const struct peer_change *c = &res->changes.changes_val[i];

		changes[i] = (struct conf_change){
			.path = XDR_STR(*c, path),
			.revision = c->revision,
			.deleted = c->deleted,
			.text = XDR_STR(*c, text),
			.fields = XDR_STR(*c, fields),
		};
	}
	if (res->complete)
		err = conf_view_replace(w->view, res->index, changes, n);
	else
		err = conf_view_advance(w->view, after, res->index, changes, n);
	if (!err && res->complete)
		w->deletions_after = conf_view_index(w->view);
	for (u_int i = 0; i < n && !err && !res->complete; i++)
		if (changes[i].deleted && changes[i].revision > before)
			err = keep_deletion(w, changes[i].path, changes[i].revision);
	if (!err && (n || res->complete)) {
		err = apply_zones(w);
		log_info("configuration-applied", "from=%llu to=%llu changes=%u",
			 (unsigned long long)before,
			 (unsigned long long)conf_view_index(w->view), n);
	}
	free(changes);
	return err;
}

static void on_reply(struct leader_call *call, int err, struct str results)
{
	struct entry_watch *w = (struct entry_watch *)call;
	struct peer_watch_res res = {0};

	if (!err)
		err = codec_decode((xdrproc_t)xdr_peer_watch_res, &res, results);
	if (!err)
		err = res.err;
	if (err == CF_ESTALE)
		member_join_again(w->join);
	if (!err)
		err = apply(w, &res, conf_view_index(w->view));
	if (!err && res.fresh)
		w->fresh_us = w->sent_us;
	codec_free((xdrproc_t)xdr_peer_watch_res, &res);
	set_fresh(w);
	serve_waits(w, false);
	if (!err) {
		ask(w);
		return;
	}
	++*metric_counter(w->opt.metrics, "carawayfront_watch_errors_total", "");
	ev_timer_set(&w->retry, RETRY_DELAY, 0);
	ev_timer_start(w->opt.loop, &w->retry);
}

static const struct leader_call_ops watch_ops = {.done = on_reply};

/*
 * Asks for what comes after the applied configuration. Freshness counts from here,
 * before the leader received the call.
 */
static void ask(struct entry_watch *w)
{
	int64_t now = clock_us();
	bool wait = w->fresh && now - w->fresh_us < RENEW_AGE_US;
	struct peer_watch_args args = {
		.after = conf_view_index(w->view),
		.wait_ms = wait ? WATCH_WAIT_MS : 0,
		.incarnation = *w->opt.incarnation,
	};
	double timeout = args.wait_ms / 1000.0 + LEADER_ATTEMPT;
	struct buf bytes = {0};

	w->sent_us = now;
	w->call.ops = &watch_ops;
	if (codec_encode((xdrproc_t)xdr_peer_watch_args, &args, &bytes) ||
	    leader_call_start(w->opt.leader, &w->call, PEER_WATCH, buf_str(&bytes),
			      timeout, timeout)) {
		ev_timer_set(&w->retry, RETRY_DELAY, 0);
		ev_timer_start(w->opt.loop, &w->retry);
	}
	buf_free(&bytes);
}

static void on_retry(struct ev_loop *loop, struct ev_timer *t, int events)
{
	ask(t->data);
}

static void on_check(struct ev_loop *loop, struct ev_timer *t, int events)
{
	set_fresh(t->data);
	serve_waits(t->data, false);
}

int entry_watch_new(const struct entry_watch_options *opt, struct entry_watch **out)
{
	struct entry_watch *w = calloc(1, sizeof(*w));
	struct member_join_options join = {
		.loop = opt->loop,
		.settings = opt->settings,
		.leader = opt->leader,
		.incarnation = opt->incarnation,
	};
	struct conf_view_options view;
	int err;

	if (!w)
		return CF_ENOMEM;
	w->opt = *opt;
	ev_timer_init(&w->retry, on_retry, 0, 0);
	ev_timer_init(&w->check, on_check, CHECK_PERIOD, CHECK_PERIOD);
	w->retry.data = w;
	w->check.data = w;
	conf_view_defaults(&view);
	err = conf_view_new(&view, &w->view);
	if (!err)
		err = member_join_new(&join, &w->join);
	if (err) {
		entry_watch_free(w);
		return err;
	}
	set_fresh(w);
	ev_timer_start(opt->loop, &w->check);
	ask(w);
	*out = w;
	return 0;
}

const struct conf_view *entry_watch_view(const struct entry_watch *w)
{
	return w->view;
}

bool entry_watch_fresh(const struct entry_watch *w)
{
	return w->fresh && member_join_done(w->join);
}

int64_t entry_watch_age_us(const struct entry_watch *w)
{
	return w->fresh_us ? clock_us() - w->fresh_us : -1;
}

/* Answers a control request when the team's subtree changes, or after wait_ms. */
void entry_watch_wait(struct entry_watch *w, struct http_request *req, struct str team,
		      uint64_t after, uint64_t wait_ms)
{
	struct wait *wait = calloc(1, sizeof(*wait));

	if (wait)
		wait->team = str_dup(team);
	if (!wait || !wait->team) {
		free(wait);
		ctl_reply_err(req, CF_ENOMEM, (struct str){NULL, 0});
		return;
	}
	wait->req = req;
	wait->after = after;
	wait->end_us = clock_us() +
		       (int64_t)(wait_ms < MAX_WAIT_MS ? wait_ms : MAX_WAIT_MS) * 1000;
	wait->next = w->waits;
	w->waits = wait;
	serve_waits(w, false);
}

/* Answers every waiting request. */
void entry_watch_end_waits(struct entry_watch *w)
{
	serve_waits(w, true);
}

void entry_watch_free(struct entry_watch *w)
{
	struct zone_out *next;

	if (!w)
		return;
	leader_call_cancel(&w->call);
	ev_timer_stop(w->opt.loop, &w->retry);
	ev_timer_stop(w->opt.loop, &w->check);
	for (struct zone_out *z = w->zones; z; z = next) {
		next = z->next;
		zone_free(z);
	}
	for (size_t i = 0; i < MAX_DELETIONS; i++)
		free(w->deletions[i].path);
	member_join_free(w->join);
	conf_view_free(w->view);
	free(w);
}
