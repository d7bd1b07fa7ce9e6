#include "carawayfrontd/member_join.h"

#include <stdlib.h>

#include "base/err.h"
#include "carawayfrontd/leader_propose.h"
#include "io/clock.h"
#include "io/log.h"
#include "proto/codec.h"
#include "proto/command.h"
#include "proto/peer.h"

#define JOIN_TIMEOUT 2.0 /* seconds */
#define RETRY_DELAY 0.1

struct member_join {
	struct leader_call call;
	struct member_join_options opt;
	struct buf address;
	struct ev_timer retry;
	uint64_t step; /* between incarnations that are tried */
	bool done;
};

static void ask(struct member_join *m);

static void retry_later(struct member_join *m)
{
	ev_timer_set(&m->retry, RETRY_DELAY, 0);
	ev_timer_start(m->opt.loop, &m->retry);
}

static void on_reply(struct leader_call *call, int err, struct str results)
{
	struct member_join *m = (struct member_join *)call;
	struct peer_propose_res res = {0};
	struct command_result result = {0};

	if (!err)
		err = codec_decode((xdrproc_t)xdr_peer_propose_res, &res, results);
	if (!err)
		err = res.err;
	if (!err)
		err = codec_decode((xdrproc_t)xdr_command_result, &result,
				   XDR_STR(res, result));
	if (!err)
		err = result.err;
	codec_free((xdrproc_t)xdr_command_result, &result);
	codec_free((xdrproc_t)xdr_peer_propose_res, &res);
	if (err == CF_ESTALE)
		member_join_again(m);
	else if (err)
		retry_later(m);
	if (err)
		return;
	m->done = true;
	m->step = 1;
	log_info("member-joined", "incarnation=%llu",
		 (unsigned long long)*m->opt.incarnation);
}

static const struct leader_call_ops join_ops = {.done = on_reply};

static void ask(struct member_join *m)
{
	struct command_body body = {.kind = CMD_MEMBER_ENTRY};
	struct command_member_entry *entry = &body.command_body_u.member_entry;

	XDR_SET(*entry, name, m->opt.settings->name);
	XDR_SET(*entry, address, buf_str(&m->address));
	entry->incarnation = *m->opt.incarnation;
	m->call.ops = &join_ops;
	if (leader_propose(m->opt.leader, &m->call, &body, JOIN_TIMEOUT))
		retry_later(m);
}

static void on_retry(struct ev_loop *loop, struct ev_timer *t, int events)
{
	ask(t->data);
}

/* Starts to register at once and repeats until it is accepted. */
int member_join_new(const struct member_join_options *opt, struct member_join **out)
{
	struct member_join *m = calloc(1, sizeof(*m));
	int err;

	if (!m)
		return CF_ENOMEM;
	m->opt = *opt;
	m->step = 1;
	ev_timer_init(&m->retry, on_retry, 0, 0);
	m->retry.data = m;
	err = addr_format(&opt->settings->listen.rpc, &m->address);
	if (err) {
		member_join_free(m);
		return err;
	}
	ask(m);
	*out = m;
	return 0;
}

bool member_join_done(const struct member_join *m)
{
	return m->done;
}

/*
 * Registers under a new incarnation, after the present one was declared gone or is below
 * that of an earlier life. The step doubles, so that a few tries pass any incarnation
 * that a clock ahead of this one has given.
 */
void member_join_again(struct member_join *m)
{
	uint64_t fresh = (uint64_t)clock_wall_us();

	if (m->call.client || ev_is_active(&m->retry))
		return;
	if (fresh < *m->opt.incarnation + m->step)
		fresh = *m->opt.incarnation + m->step;
	m->step *= 2;
	*m->opt.incarnation = fresh;
	m->done = false;
	log_warn("member-gone", "new-incarnation=%llu", (unsigned long long)fresh);
	ask(m);
}

void member_join_free(struct member_join *m)
{
	if (!m)
		return;
	leader_call_cancel(&m->call);
	ev_timer_stop(m->opt.loop, &m->retry);
	buf_free(&m->address);
	free(m);
}
