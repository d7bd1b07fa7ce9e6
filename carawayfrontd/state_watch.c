#include <stdlib.h>

#include "base/err.h"
#include "carawayfrontd/state_impl.h"
#include "io/clock.h"
#include "proto/codec.h"

#define MAX_WAIT_MS 1000U
#define MAX_CHANGES 512U /* of one reply */
#define MAX_REPLY_BYTES (2U << 20)

static void set_change(struct peer_change *out, const struct conf_doc *doc)
{
	out->revision = doc->revision;
	out->deleted = doc->deleted;
	XDR_SET(*out, path, conf_doc_path(doc));
	XDR_SET(*out, text, conf_doc_text(doc));
	XDR_SET(*out, fields, conf_doc_fields(doc));
}

/*
 * Collects the changes after a revision in their order. When not all fit, the
 * reply's index is that of the last one in it.
 */
static int add_changes(struct state *s, uint64_t after, struct peer_watch_res *res)
{
	const struct conf *conf = store_conf(s->store);
	struct peer_change *list = calloc(MAX_CHANGES, sizeof(*list));
	size_t bytes = 0;
	u_int n = 0;

	if (!list)
		return CF_ENOMEM;
	for (;;) {
		const struct conf_doc *doc = conf_change_after(conf, after);

		if (!doc)
			break;
		bytes += conf_doc_bytes(doc);
		if (n == MAX_CHANGES || (n && bytes > MAX_REPLY_BYTES)) {
			res->index = after;
			res->fresh = FALSE;
			break;
		}
		set_change(&list[n++], doc);
		after = doc->revision;
	}
	res->changes.changes_val = list;
	res->changes.changes_len = n;
	return 0;
}

/* Adds every present document. */
static int add_all(struct state *s, struct peer_watch_res *res)
{
	const struct conf_view *view = conf_current_docs(store_conf(s->store));
	size_t count = conf_view_count(view);
	struct peer_change *list = calloc(count ? count : 1, sizeof(*list));
	u_int n = 0;

	if (!list)
		return CF_ENOMEM;
	for (size_t i = 0; i < conf_view_teams(view); i++) {
		size_t docs;
		const struct conf_doc *const *d =
			conf_view_team(view, conf_view_team_name(view, i), &docs);

		for (size_t k = 0; k < docs && n < count; k++)
			set_change(&list[n++], d[k]);
	}
	res->complete = TRUE;
	res->changes.changes_val = list;
	res->changes.changes_len = n;
	return 0;
}

static void reply_watch(struct rpc_call *call, const struct peer_watch_res *res)
{
	struct buf bytes = {0};

	if (codec_encode((xdrproc_t)xdr_peer_watch_res, res, &bytes))
		rpc_call_reply(call, CF_EIO, (struct str){NULL, 0});
	else
		rpc_call_reply(call, 0, buf_str(&bytes));
	buf_free(&bytes);
}

static void refuse(struct state *s, struct rpc_call *call, int err)
{
	struct peer_watch_res res = {.err = err};

	if (err == CF_ENOTLEADER)
		XDR_SET(res, leader, state_leader_name(s));
	reply_watch(call, &res);
}

/*
 * Answers with what is newer than the caller's revision. The reply is fresh when the
 * leader's lease is valid now: no other leader can have accepted anything since the
 * call arrived.
 */
static void answer(struct state *s, struct rpc_call *call, uint64_t after)
{
	const struct conf *conf = store_conf(s->store);
	struct peer_watch_res res = {
		.index = store_index(s->store),
		.fresh = replica_lease_valid(s->replica, clock_us()),
	};
	int err;

	if (conf_complete_after(conf, after))
		err = add_changes(s, after, &res);
	else
		err = add_all(s, &res);
	if (err)
		refuse(s, call, err);
	else
		reply_watch(call, &res);
	free(res.changes.changes_val);
}

static bool has_news(struct state *s, uint64_t after)
{
	const struct conf *conf = store_conf(s->store);

	return !conf_complete_after(conf, after) || conf_change_after(conf, after);
}

/* Serves WATCH. */
void state_watch(struct state *s, struct rpc_call *call)
{
	struct peer_watch_args args = {0};
	struct state_watcher *w;
	int err = codec_decode((xdrproc_t)xdr_peer_watch_args, &args, call->args);

	if (!err && !s->leading)
		err = CF_ENOTLEADER;
	if (!err)
		err = state_leading_seen(s, call->member, args.incarnation);
	if (err) {
		refuse(s, call, err);
		return;
	}
	/* A reader whose revision is ahead of this state reads everything again. */
	if (args.after > store_index(s->store)) {
		refuse(s, call, CF_EUNAVAIL);
		return;
	}
	if (args.wait_ms == 0 || has_news(s, args.after)) {
		answer(s, call, args.after);
		return;
	}
	w = calloc(1, sizeof(*w));
	if (!w) {
		refuse(s, call, CF_ENOMEM);
		return;
	}
	w->call = call;
	w->after = args.after;
	w->end_us =
		clock_us() +
		(int64_t)(args.wait_ms < MAX_WAIT_MS ? args.wait_ms : MAX_WAIT_MS) * 1000;
	w->next = s->watchers;
	s->watchers = w;
}

/* Answers the watchers that have news or have waited enough. */
void state_serve_watchers(struct state *s, bool all)
{
	int64_t now = clock_us();
	struct state_watcher **p = &s->watchers;

	while (*p) {
		struct state_watcher *w = *p;

		if (!all && w->end_us > now && !has_news(s, w->after)) {
			p = &w->next;
			continue;
		}
		*p = w->next;
		if (s->leading)
			answer(s, w->call, w->after);
		else
			refuse(s, w->call, CF_ENOTLEADER);
		free(w);
	}
}
