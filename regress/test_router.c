#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/prng.h"
#include "core/router.h"

/*
 * Random histories in virtual time against a naive router: one list of upstreams
 * with everything that was announced, and one record for each request with every
 * send and how it ended. test_router SEED COUNT runs COUNT histories from SEED on.
 */
#define TEAMS 2
#define SERVICES 2
#define ZONES 3
#define NAMES 24
#define MAX_UP 4096
#define MAX_REQ 6000
#define MS 1000LL
#define SEC 1000000LL
#define EXPIRY (2 * SEC)
#define MAX_QUEUE 8
#define MAX_CONNECTIONS 16
#define MAX_INFLIGHT 60
#define MAX_REQUESTS(s) ((s)->harsh ? 70U : 400U)
#define RETRY_START 10
#define RETRY_PERCENT 20
#define MAX_ATTEMPTS 3
#define MAX_REFUSALS 5
#define MAX_LOSSES 2
#define ANNOUNCE_DELAY SEC

/* As ck_assert_msg(), which would write to a pipe each time that it holds. */
#define must(expr, ...)                            \
	do {                                       \
		if (!(expr))                       \
			ck_abort_msg(__VA_ARGS__); \
	} while (0)

enum fate { F_OPEN, F_NOT_RUN, F_MAYBE, F_DONE };

struct naive_up {
	struct router_upstream a;
	uint64_t id;
	int64_t expires;
	unsigned int inflight;
	bool newest;
	char text[32];
};

/* A send whose connection the upstream closed. */
struct naive_loss {
	struct naive_up *up;
	int64_t at;
	bool leaving; /* when it closed the connection */
};

struct naive_req {
	bool accepted, finished, idempotent, keyed, granted, claiming, claim_ended;
	bool maybe_run, all_not_run;
	bool refused; /* the last send ended by a refusal */
	unsigned int team, class, sends, refusals, losses;
	struct naive_loss lost[MAX_ATTEMPTS];
	int64_t deadline;
	struct naive_up *open; /* of the send that has not ended */
	struct naive_up *last; /* it failed there last */
	enum fate fate;
	int64_t ends;
	struct router_outcome out;
};

struct sim {
	struct router_host host;
	struct router *r;
	struct prng rng;
	int64_t now;
	struct naive_up up[MAX_UP];
	unsigned int n_up;
	struct naive_req req[MAX_REQ];
	unsigned int n_req, done;
	bool zone_out[TEAMS][ZONES];
	bool fresh, draining;
	bool harsh; /* most sends fail, deadlines are long, the process is full */
	unsigned int entries;
	uint64_t sequence;
	unsigned int inflight;
	unsigned int successes[TEAMS];
	double spent[TEAMS]; /* of the retry budget */
	unsigned int refused, late;
	unsigned int waiting[TEAMS][ROUTER_CLASSES]; /* accepted, never sent */
	int64_t silent[NAMES]; /* the upstream does not announce until then */
};

static uint64_t seed_from = 1;
static uint64_t seed_count = 60;

static const char *const team_name[TEAMS] = {"guild", "pinecrest"};
static const char *const service_name[SERVICES] = {"desk", "quotes"};
static const char *const zone_name[ZONES] = {"a", "b", "c"};
static const char *const entry_name[] = {"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"};

static struct sim *sim_of(struct router_host *h)
{
	return (struct sim *)(void *)h;
}

static unsigned int team_of(const struct naive_up *u)
{
	return str_eq(u->a.team, str_from(team_name[0])) ? 0 : 1;
}

static bool naive_usable(const struct sim *s, const struct naive_up *u)
{
	unsigned int z = (unsigned int)(u->a.zone.p[0] - 'a');

	return u->newest && !u->a.leaving && s->now < u->expires &&
	       !s->zone_out[team_of(u)][z];
}

static struct naive_up *naive_find(struct sim *s, uint64_t id)
{
	for (unsigned int i = 0; i < s->n_up; i++)
		if (s->up[i].id == id)
			return &s->up[i];
	return NULL;
}

/* Whether the upstream announced itself after the loss, or its exit. */
static bool is_cleared(const struct naive_loss *l)
{
	return l->up->expires - EXPIRY > l->at + ANNOUNCE_DELAY || l->leaving ||
	       (l->up->a.leaving && !l->up->newest);
}

/* Upstreams that the request may have ended, or only those that it has. */
static unsigned int naive_lost(const struct naive_req *q, bool proven)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < q->losses; i++) {
		const struct naive_loss *l = &q->lost[i];
		bool again = false;

		for (unsigned int k = i + 1; k < q->losses; k++)
			again |= q->lost[k].up == l->up;
		n += !again && !is_cleared(l) && (!proven || !l->up->newest);
	}
	return n;
}

/* Whether the pool of u has another upstream that is in use. */
static bool another(struct sim *s, const struct naive_up *u)
{
	struct router_upstream_info info;

	for (unsigned int i = 0; i < s->n_up; i++) {
		const struct naive_up *o = &s->up[i];

		if (o == u || !naive_usable(s, o) || !str_eq(o->a.team, u->a.team) ||
		    !str_eq(o->a.service, u->a.service))
			continue;
		ck_assert_int_eq(router_upstream_info(s->r, o->id, &info, s->now), 0);
		if (!info.ejected)
			return true;
	}
	return false;
}

/* Every rule that a send has to keep. */
static void on_send(struct router_host *h, uint64_t request, uint64_t upstream)
{
	struct sim *s = sim_of(h);
	struct naive_req *q = &s->req[request];
	struct naive_up *u = naive_find(s, upstream);
	unsigned int share = MAX_CONNECTIONS / s->entries;

	must(u, "unknown upstream");
	must(naive_usable(s, u), "sent to an upstream that is not usable");
	must(naive_lost(q, false) < MAX_LOSSES,
	     "sent while it may have ended two upstreams");
	must(s->fresh, "sent while the configuration was stale");
	must(!q->finished, "sent after the caller was told");
	must(!q->open, "sent while an earlier send had not ended");
	must(q->idempotent || !q->maybe_run, "non-idempotent sent twice");
	must(!q->keyed || (q->granted && !q->claim_ended), "sent unclaimed");
	must(s->now < q->deadline, "sent after the deadline");
	must(q->last != u || !another(s, u), "sent where it just failed");
	ck_assert_uint_lt(q->sends - q->refusals, MAX_ATTEMPTS);
	ck_assert_uint_le(q->refusals, MAX_REFUSALS);
	u->inflight++;
	s->inflight++;
	must(u->inflight <= u->a.slots, "slots overshot by own sends");
	must(u->inflight <= (share ? share : 1), "connections overshot");
	ck_assert_uint_le(s->inflight, MAX_INFLIGHT);
	if (q->sends == 0 && q->accepted)
		s->waiting[q->team][q->class]--;
	if (q->sends++)
		s->spent[q->team] += q->refused ? 0.2 : 1.0;
	must(s->spent[q->team] <=
		     RETRY_START + 1e-6 + s->successes[q->team] * RETRY_PERCENT / 100.0,
	     "retry budget overspent");
	q->open = u;
	q->ends = s->now + MS + (int64_t)prng_below(&s->rng, 60 * MS);
	if (prng_below(&s->rng, 50) == 0)
		q->ends += SEC;
	switch (prng_below(&s->rng, s->harsh ? 5 : 20)) {
	case 0:
	case 1:
		q->fate = F_NOT_RUN;
		break;
	case 2:
		q->fate = F_MAYBE;
		break;
	default:
		q->fate = F_DONE;
		break;
	}
}

/* Every rule that an outcome has to keep. */
static void on_finish(struct router_host *h, uint64_t request,
		      const struct router_outcome *o)
{
	struct sim *s = sim_of(h);
	struct naive_req *q = &s->req[request];

	must(!q->finished, "finished twice");
	q->finished = true;
	if (q->accepted && q->sends == 0)
		s->waiting[q->team][q->class]--;
	q->out = *o;
	s->done++;
	ck_assert_uint_eq(o->sends, q->sends);
	if (o->run == ROUTER_NOT_RUN) {
		must(!q->maybe_run && !q->open, "refused as not run, but sent");
		must(!q->granted || q->claim_ended, "claim left open");
	}
	if (o->run == ROUTER_UNKNOWN && o->reason != ROUTER_R_IN_PROGRESS &&
	    o->reason != ROUTER_R_KEY_UNKNOWN)
		must(q->maybe_run || q->open, "unknown, but never run");
	if (o->reason == ROUTER_R_NO_UPSTREAM || o->reason == ROUTER_R_QUEUE_FULL)
		ck_assert_uint_eq(q->sends, 0);
	must(o->reason != ROUTER_R_LOST || naive_lost(q, true) >= MAX_LOSSES,
	     "given up for upstreams that are not known to have ended");
	must(o->reason != ROUTER_R_DRAINING || !q->accepted,
	     "drain cut an accepted request");
	must(o->reason != ROUTER_R_DEADLINE || s->now >= q->deadline,
	     "deadline before its time");
}

static void on_claim(struct router_host *h, uint64_t request)
{
	struct naive_req *q = &sim_of(h)->req[request];

	ck_assert(q->keyed && !q->claiming && !q->sends);
	q->claiming = true;
	q->ends = sim_of(h)->now + (int64_t)prng_below(&sim_of(h)->rng, 20 * MS);
}

static void claim_end(struct router_host *h, uint64_t request, bool may_have_run)
{
	struct naive_req *q = &sim_of(h)->req[request];

	must(q->granted && !q->claim_ended, "claim ended twice or not granted");
	must(may_have_run == (q->maybe_run || q->open || q->fate == F_DONE),
	     "claim ended with the wrong state");
	q->claim_ended = true;
}

static void on_claim_done(struct router_host *h, uint64_t request)
{
	claim_end(h, request, true);
	ck_assert_int_eq(sim_of(h)->req[request].fate, F_DONE);
}

static void on_claim_unknown(struct router_host *h, uint64_t request)
{
	claim_end(h, request, true);
}

static void on_claim_abort(struct router_host *h, uint64_t request)
{
	claim_end(h, request, false);
}

static const struct router_ops ops = {
	.send = on_send,
	.finish = on_finish,
	.claim = on_claim,
	.claim_done = on_claim_done,
	.claim_unknown = on_claim_unknown,
	.claim_abort = on_claim_abort,
};

static void sim_start(struct sim *s, uint64_t seed, enum router_policy policy)
{
	struct router_options o;
	struct str names[8];

	memset(s, 0, sizeof(*s));
	s->host.ops = &ops;
	s->rng.state = seed;
	s->now = SEC;
	s->harsh = seed % 3 == 0;
	s->entries = 1 + (unsigned int)prng_below(&s->rng, 8);
	router_options_init(&o);
	o.host = &s->host;
	o.seed = seed;
	o.name = STR("e1");
	o.zone = STR("a");
	o.policy = policy;
	o.max_queue = MAX_QUEUE;
	o.max_connections = MAX_CONNECTIONS;
	o.max_inflight = MAX_INFLIGHT;
	o.max_requests = MAX_REQUESTS(s);
	o.retry_percent = RETRY_PERCENT;
	o.max_attempts = MAX_ATTEMPTS;
	o.max_refusals = MAX_REFUSALS;
	ck_assert_int_eq(router_new(&o, &s->r), 0);
	for (unsigned int i = 0; i < s->entries; i++)
		names[i] = str_from(entry_name[i]);
	ck_assert_int_eq(router_entries(s->r, names, s->entries, s->now), 0);
	ck_assert_int_eq(router_status(s->r), CF_ESTALE);
	router_fresh(s->r, true, s->now);
	s->fresh = true;
}

/* Announces name i, as it is, restarted, changed, or late with old content. */
static void announce(struct sim *s, unsigned int i)
{
	struct router_upstream a = {0};
	struct naive_up *old = NULL;
	struct naive_up *u;
	int err;

	for (unsigned int k = 0; k < s->n_up; k++)
		if (s->up[k].newest && s->up[k].a.load == (int)i)
			old = &s->up[k];
	if (s->now < s->silent[i])
		return;
	if (prng_below(&s->rng, 20) == 0)
		s->silent[i] = s->now + (int64_t)prng_below(&s->rng, 5 * SEC);
	if (old && prng_below(&s->rng, 4)) {
		uint64_t seq = ++s->sequence;
		int64_t age = (int64_t)prng_below(&s->rng, 300 * MS);

		if (prng_below(&s->rng, 20) == 0) {
			/* A late one must change nothing. */
			a = old->a;
			a.leaving = !a.leaving;
			if (prng_below(&s->rng, 2)) {
				a.incarnation--;
				a.sequence = s->sequence;
			}
			ck_assert_int_eq(router_upstream(s->r, &a, s->now), CF_ESTALE);
			return;
		}
		old->a.sequence = seq;
		if (s->now - age + EXPIRY > old->expires)
			old->expires = s->now - age + EXPIRY;
		ck_assert_int_eq(router_renew(s->r, old->id, seq, -1, age, s->now), 0);
		return;
	}
	if (s->n_up == MAX_UP)
		return;
	if (old && prng_below(&s->rng, 3)) {
		u = old;
		u->a.leaving = prng_below(&s->rng, 3) == 0;
	} else {
		u = &s->up[s->n_up++];
		if (old) {
			u->a = old->a;
			old->newest = false;
		}
		u->a.team = str_from(team_name[i % TEAMS]);
		u->a.service = str_from(service_name[i / TEAMS % SERVICES]);
		u->text[0] = (char)('a' + i);
		u->a.name = (struct str){u->text, 1};
		u->a.address = STR("127.0.0.1:80");
		u->a.zone = str_from(zone_name[i % ZONES]);
		u->a.slots = 1 + (unsigned int)prng_below(&s->rng, 4);
		u->a.incarnation++;
		u->a.leaving = false;
		u->newest = true;
	}
	u->a.sequence = ++s->sequence;
	u->a.load = -1;
	u->expires = s->now + EXPIRY;
	u->id = router_upstream_id(&u->a);
	err = router_upstream(s->r, &u->a, s->now);
	u->a.load = (int)i; /* from here on the index of the name */
	ck_assert_int_eq(err, 0);
}

static void submit(struct sim *s)
{
	uint64_t id = s->n_req;
	struct naive_req *q = &s->req[id];
	struct router_request a = {.id = id};
	bool usable = false;

	if (s->n_req == MAX_REQ)
		return;
	s->n_req++;
	q->team = (unsigned int)prng_below(&s->rng, TEAMS);
	a.team = str_from(team_name[q->team]);
	a.service = str_from(service_name[prng_below(&s->rng, SERVICES)]);
	q->class = (unsigned int)prng_below(&s->rng, ROUTER_CLASSES);
	a.class = (enum router_class)q->class;
	a.idempotent = q->idempotent = prng_below(&s->rng, 2);
	a.keyed = q->keyed = !q->idempotent && prng_below(&s->rng, 2);
	q->deadline = s->now + 5 * MS +
		      (int64_t)prng_below(&s->rng, (s->harsh ? 4000 : 400) * MS);
	a.deadline_us = q->deadline;
	for (unsigned int i = 0; i < s->n_up; i++)
		usable |= naive_usable(s, &s->up[i]) && str_eq(s->up[i].a.team, a.team) &&
			  str_eq(s->up[i].a.service, a.service);
	ck_assert_int_eq(router_submit(s->r, &a, s->now), 0);
	must(!usable || !q->finished || q->out.reason != ROUTER_R_NO_UPSTREAM,
	     "refused for want of an upstream that is there");
	must(!s->draining || q->finished, "taken while draining");
	must(s->fresh || q->finished, "taken while stale");
	q->accepted = !q->finished;
	if (q->accepted && q->sends == 0)
		s->waiting[q->team][q->class]++;
	must(s->waiting[q->team][q->class] <= MAX_QUEUE, "queue above its bound");
	if (!q->finished)
		ck_assert_int_eq(router_submit(s->r, &a, s->now), CF_EEXIST);
}

static void end_claim(struct sim *s, uint64_t id)
{
	static const int errs[] = {CF_EEXIST,  CF_EINPROGRESS, CF_EUNKNOWN,
				   CF_EREUSED, CF_ESTALE,      CF_EUNAVAIL};
	struct naive_req *q = &s->req[id];
	int err = prng_below(&s->rng, 3) ? 0 : errs[prng_below(&s->rng, 6)];
	bool late = q->finished;

	q->claiming = false;
	/* A claim store that did not answer may have granted it. */
	q->granted = err == 0 || err == CF_EUNAVAIL;
	router_claimed(s->r, id, err, s->now);
	if (err)
		ck_assert(q->finished && q->sends == 0);
	/* An earlier request with the key may have run. */
	if (err == CF_EUNKNOWN || err == CF_ESTALE)
		must(late || q->out.run == ROUTER_UNKNOWN,
		     "key used before, and not run");
	ck_assert(!q->granted || !q->finished || q->claim_ended);
}

static void end_send(struct sim *s, uint64_t id)
{
	struct naive_req *q = &s->req[id];
	struct router_answer a = {.status = 200, .load = -1};
	struct naive_up *u = q->open;
	bool was_finished = q->finished;
	enum fate fate = q->fate;
	struct router_stats st;

	u->inflight--;
	s->inflight--;
	q->open = NULL;
	q->maybe_run |= fate == F_MAYBE;
	q->last = u;
	s->late += was_finished;
	q->refused = false;
	if (fate == F_DONE) {
		a.status = prng_below(&s->rng, 10) ? 200 : 500;
		if (!was_finished)
			s->successes[q->team]++;
		router_answered(s->r, id, &a, s->now);
		if (!was_finished)
			ck_assert(q->finished && q->out.run == ROUTER_DONE);
	} else if (fate == F_NOT_RUN && prng_below(&s->rng, 2)) {
		a.not_run = true;
		/* Only idempotent requests are sent again below the router. */
		a.resent = q->idempotent && prng_below(&s->rng, 4) == 0;
		q->maybe_run |= a.resent;
		q->refused = true;
		q->refusals++;
		router_answered(s->r, id, &a, s->now);
	} else {
		const struct router_failure f = {
			.err = CF_ECONN,
			.maybe_run = fate == F_MAYBE,
		};

		if (fate == F_MAYBE)
			q->lost[q->losses++] =
				(struct naive_loss){u, s->now, u->a.leaving};
		router_failed(s->r, id, &f, s->now);
	}
	router_stats(s->r, &st);
	ck_assert_uint_eq(st.late, s->late);
	ck_assert_uint_eq(st.inflight, s->inflight);
}

/* Serves what ends now, in the order of its time. */
static void advance(struct sim *s, int64_t to)
{
	for (;;) {
		int64_t next = router_deadline(s->r);
		struct naive_req *first = NULL;

		for (unsigned int i = 0; i < s->n_req; i++)
			if ((s->req[i].open || s->req[i].claiming) &&
			    (!first || s->req[i].ends < first->ends))
				first = &s->req[i];
		if (first && first->ends <= next && first->ends <= to) {
			s->now = first->ends > s->now ? first->ends : s->now;
			if (first->claiming)
				end_claim(s, (uint64_t)(first - s->req));
			else
				end_send(s, (uint64_t)(first - s->req));
			continue;
		}
		if (next > to)
			break;
		s->now = next > s->now ? next : s->now;
		router_tick(s->r, s->now);
		ck_assert_int_gt(router_deadline(s->r), s->now);
	}
	s->now = to;
}

static void step(struct sim *s)
{
	unsigned int x = (unsigned int)prng_below(&s->rng, 1000);
	struct router_stats st;

	if (x < 300) {
		announce(s, (unsigned int)prng_below(&s->rng, NAMES));
	} else if (x < 320) {
		unsigned int t = (unsigned int)prng_below(&s->rng, TEAMS);
		unsigned int z = (unsigned int)prng_below(&s->rng, ZONES);

		s->zone_out[t][z] = prng_below(&s->rng, 3) == 0;
		ck_assert_int_eq(router_zone(s->r, str_from(team_name[t]),
					     str_from(zone_name[z]), s->zone_out[t][z],
					     s->now),
				 0);
	} else if (x < 324) {
		s->fresh = !s->fresh;
		router_fresh(s->r, s->fresh, s->now);
	} else if (x < 380 && s->n_req) {
		uint64_t id =
			s->n_req - 1 - prng_below(&s->rng, s->n_req) % 50 % s->n_req;

		router_cancel(s->r, id, s->now);
		must(s->req[id].finished, "cancelled, but not finished");
	} else {
		submit(s);
	}
	if (!s->fresh && prng_below(&s->rng, 20) == 0) {
		s->fresh = true;
		router_fresh(s->r, true, s->now);
	}
	router_stats(s->r, &st);
	ck_assert_uint_le(st.requests, MAX_REQUESTS(s));
	advance(s, s->now + (int64_t)prng_below(&s->rng, (s->harsh ? 1 : 3) * MS));
}

static void run_history(uint64_t seed)
{
	static struct sim s;

	sim_start(&s, seed, (enum router_policy)(seed % 5));
	for (unsigned int i = 0; i < 5000; i++)
		step(&s);
	s.draining = true;
	router_drain(s.r, s.now);
	for (unsigned int i = 0; i < 50; i++)
		step(&s);
	advance(&s, s.now + 20 * SEC);
	must(router_idle(s.r), "seed %lu: not idle after the drain", seed);
	ck_assert_uint_eq(s.inflight, 0);
	for (unsigned int i = 0; i < s.n_req; i++) {
		must(s.req[i].finished, "seed %lu: request %u lost", seed, i);
		ck_assert(!s.req[i].granted || s.req[i].claim_ended);
	}
	router_free(s.r);
}

/* Guards against a broken rule in on_send(), on_finish() or claim_end(). */
START_TEST(random_histories)
{
	for (uint64_t i = 0; i < seed_count; i++)
		run_history(seed_from + i);
}
END_TEST

/* Two teams share a process that may have 40 requests in flight. */
#define FAIR_INFLIGHT 40
#define FAIR_REQUESTS 20000

struct fair {
	struct router_host host;
	unsigned int team[FAIR_REQUESTS];
	int64_t ends[FAIR_REQUESTS]; /* 0: not sent */
	unsigned int inflight[TEAMS];
	unsigned int waiting[TEAMS];
	unsigned int refused[TEAMS];
	int64_t now;
};

static void fair_send(struct router_host *h, uint64_t request, uint64_t upstream)
{
	struct fair *f = (struct fair *)(void *)h;
	unsigned int t = f->team[request];

	/* The first team's requests take ten times as long. */
	f->ends[request] = f->now + (t == 0 ? 50 : 5) * MS;
	f->inflight[t]++;
	f->waiting[t]--;
}

static void fair_finish(struct router_host *h, uint64_t request,
			const struct router_outcome *o)
{
	struct fair *f = (struct fair *)(void *)h;

	if (o->sends)
		return;
	f->waiting[f->team[request]]--;
	f->refused[f->team[request]]++;
}

static void fair_claim(struct router_host *h, uint64_t request)
{
}

static const struct router_ops fair_ops = {fair_send,  fair_finish, fair_claim,
					   fair_claim, fair_claim,  fair_claim};

static void fair_submit(struct fair *f, struct router *r, uint64_t id, unsigned int team)
{
	struct router_request q = {.id = id,
				   .team = str_from(team_name[team]),
				   .service = STR("desk"),
				   .deadline_us = f->now + 100 * SEC};

	f->team[id] = team;
	f->waiting[team]++;
	ck_assert_int_eq(router_submit(r, &q, f->now), 0);
}

/*
 * Guards against a team that fills the process, by many or by long requests, and
 * leaves another one without its half of the sends and of the request table.
 */
START_TEST(teams_share_the_process)
{
	static struct fair f;
	struct router_answer ok = {.status = 200, .load = -1};
	struct router_options o;
	struct router *r;
	uint64_t id = 0;
	uint64_t short_of_half = 0;

	memset(&f, 0, sizeof(f));
	f.host.ops = &fair_ops;
	router_options_init(&o);
	o.host = &f.host;
	o.name = STR("e1");
	o.zone = STR("a");
	o.max_inflight = FAIR_INFLIGHT;
	o.max_requests = 400;
	ck_assert_int_eq(router_new(&o, &r), 0);
	router_fresh(r, true, 0);
	for (unsigned int i = 0; i < 40; i++) {
		char name = (char)('A' + i);
		struct router_upstream u = {.team = str_from(team_name[i % TEAMS]),
					    .service = STR("desk"),
					    .name = {&name, 1},
					    .address = STR("127.0.0.1:80"),
					    .zone = STR("a"),
					    .slots = 8,
					    .load = -1,
					    .incarnation = 1,
					    .sequence = 1};

		ck_assert_int_eq(router_upstream(r, &u, 0), 0);
	}
	for (f.now = MS; f.now < 900 * MS; f.now += MS) {
		for (uint64_t i = 0; i < id; i++) {
			if (f.ends[i] && f.ends[i] <= f.now) {
				f.ends[i] = 0;
				f.inflight[f.team[i]]--;
				router_answered(r, i, &ok, f.now);
			}
		}
		/* The first team floods; the second one always has enough waiting. */
		for (unsigned int i = 0; i < 10 && id < FAIR_REQUESTS; i++)
			fair_submit(&f, r, id++, 0);
		while (f.waiting[1] < FAIR_INFLIGHT && id < FAIR_REQUESTS)
			fair_submit(&f, r, id++, 1);
		if (f.now > 200 * MS)
			short_of_half += f.inflight[1] < FAIR_INFLIGHT / 2 - 2;
	}
	ck_assert_uint_eq(f.refused[1], 0);
	ck_assert_uint_gt(f.refused[0], 0);
	ck_assert_uint_eq(short_of_half, 0);
	router_free(r);
}
END_TEST

/* Guards against tables that grow above the options. */
START_TEST(tables_are_bounded)
{
	static struct fair f;
	struct router_options o;
	struct router_stats st;
	struct router *r;
	char text[8][2];

	memset(&f, 0, sizeof(f));
	f.host.ops = &fair_ops;
	router_options_init(&o);
	o.host = &f.host;
	o.name = STR("e1");
	o.zone = STR("a");
	o.max_requests = 4;
	o.max_teams = 7;
	o.max_upstreams = 6;
	ck_assert_int_eq(router_new(&o, &r), 0);
	router_fresh(r, true, 0);
	for (unsigned int i = 0; i < 8; i++) {
		struct router_upstream u = {.team = {text[i], 1},
					    .service = STR("desk"),
					    .name = STR("x"),
					    .address = STR("127.0.0.1:80"),
					    .zone = STR("a"),
					    .slots = 1,
					    .incarnation = 1,
					    .sequence = 1};

		text[i][0] = (char)('a' + i);
		ck_assert_int_eq(router_upstream(r, &u, 0), i < 6 ? 0 : CF_ENOSPACE);
	}
	for (unsigned int i = 0; i < 6; i++) {
		struct router_request q = {
			.id = i, .team = {text[i], 1}, .service = STR("desk")};

		ck_assert_int_eq(router_submit(r, &q, 0), 0);
	}
	router_stats(r, &st);
	ck_assert_uint_eq(st.requests, 4);
	ck_assert_uint_eq(st.upstreams, 6);
	ck_assert_uint_eq(st.finished[ROUTER_R_MEMORY], 2);
	router_free(r);
}
END_TEST

/* Ten upstreams of one pool; some answer badly. */
#define EJECT_UPSTREAMS 10

struct eject {
	struct router_host host;
	uint64_t last[8192];
	uint64_t id[EJECT_UPSTREAMS];
	unsigned int sent[EJECT_UPSTREAMS];
};

static void eject_send(struct router_host *h, uint64_t request, uint64_t upstream)
{
	struct eject *e = (struct eject *)(void *)h;

	e->last[request] = upstream;
	for (unsigned int i = 0; i < EJECT_UPSTREAMS; i++)
		e->sent[i] += e->id[i] == upstream;
}

static void eject_finish(struct router_host *h, uint64_t request,
			 const struct router_outcome *o)
{
}

static const struct router_ops eject_ops = {eject_send, eject_finish, fair_claim,
					    fair_claim, fair_claim,   fair_claim};

/* Sends n requests one after the other; the first `bad` upstreams answer `status`. */
static void eject_round(struct eject *e, struct router *r, uint64_t *request,
			int64_t *now, unsigned int n, unsigned int bad, int status)
{
	memset(e->sent, 0, sizeof(e->sent));
	for (unsigned int k = 0; k < n; k++, ++*request) {
		struct router_request q = {.id = *request,
					   .team = STR("guild"),
					   .service = STR("desk"),
					   .deadline_us = *now + 60 * SEC};
		struct router_answer a = {.status = 200, .load = 0};

		*now += MS;
		for (unsigned int i = 0; i < EJECT_UPSTREAMS; i++)
			router_renew(r, e->id[i], 0, 0, 0, *now);
		router_tick(r, *now);
		ck_assert_int_eq(router_submit(r, &q, *now), 0);
		*now += MS;
		for (unsigned int i = 0; i < bad; i++)
			if (e->last[*request] == e->id[i])
				a.status = status;
		router_answered(r, *request, &a, *now);
	}
}

/*
 * Guards against a failing upstream that stays in use, one that does not come back,
 * ejection below the floor, and ejection for errors that every upstream returns.
 */
START_TEST(ejection)
{
	static struct eject e;
	struct router_upstream_info info;
	struct router_options o;
	struct router_stats st;
	struct router *r;
	uint64_t request = 0;
	uint64_t before;
	int64_t now = SEC;
	unsigned int ejected = 0;

	memset(&e, 0, sizeof(e));
	e.host.ops = &eject_ops;
	router_options_init(&o);
	o.host = &e.host;
	o.name = STR("e1");
	o.zone = STR("a");
	ck_assert_int_eq(router_new(&o, &r), 0);
	router_fresh(r, true, now);
	for (unsigned int i = 0; i < EJECT_UPSTREAMS; i++) {
		char name = (char)('a' + i);
		struct router_upstream u = {.team = STR("guild"),
					    .service = STR("desk"),
					    .name = {&name, 1},
					    .address = STR("127.0.0.1:80"),
					    .zone = STR("a"),
					    .slots = 8,
					    .incarnation = 1,
					    .sequence = 1};

		ck_assert_int_eq(router_upstream(r, &u, now), 0);
		e.id[i] = router_upstream_id(&u);
	}
	/* The same error everywhere: it belongs to the requests. */
	eject_round(&e, r, &request, &now, 1000, EJECT_UPSTREAMS, 500);
	router_stats(r, &st);
	ck_assert_uint_eq(st.ejected, 0);
	eject_round(&e, r, &request, &now, 400, 0, 200);
	/* One fails: it gets few of 1,000 requests, a tenth would be 100. */
	eject_round(&e, r, &request, &now, 1000, 1, 500);
	router_stats(r, &st);
	ck_assert_uint_gt(st.ejected, 0);
	ck_assert_uint_lt(e.sent[0], 30);
	/* It works again: it comes back, by a probe. */
	before = st.probes;
	eject_round(&e, r, &request, &now, 3000, 0, 200);
	eject_round(&e, r, &request, &now, 200, 0, 200);
	router_stats(r, &st);
	ck_assert_uint_gt(st.probes, before);
	ck_assert_uint_gt(e.sent[0], 5);
	/* One after the other fails: the floor of 60 % stays in use. */
	for (unsigned int bad = 1; bad < EJECT_UPSTREAMS; bad++)
		eject_round(&e, r, &request, &now, 150, bad, 500);
	for (unsigned int i = 0; i < EJECT_UPSTREAMS; i++) {
		ck_assert_int_eq(router_upstream_info(r, e.id[i], &info, now), 0);
		ejected += info.ejected;
	}
	ck_assert_uint_le(ejected, 4);
	router_free(r);
}
END_TEST

/* Announces an upstream of ejection, as leaving or not. */
static void eject_announce(struct eject *e, struct router *r, unsigned int i,
			   bool leaving, int64_t now)
{
	char name = (char)('a' + i);
	struct router_upstream u = {.team = STR("guild"),
				    .service = STR("desk"),
				    .name = {&name, 1},
				    .address = STR("127.0.0.1:80"),
				    .zone = STR("a"),
				    .slots = 8,
				    .leaving = leaving,
				    .incarnation = 1,
				    .sequence = (uint64_t)now};

	ck_assert_int_eq(router_upstream(r, &u, now), 0);
	e->id[i] = router_upstream_id(&u);
}

/*
 * Guards against requests that wait for the end of an ejection, up to 40 s, when the
 * upstreams that did better are silent or have left.
 */
START_TEST(ejection_ends_with_the_rest_of_the_pool)
{
	for (unsigned int leave = 0; leave < 2; leave++) {
		static struct eject e;
		struct router_upstream_info info;
		struct router_options o;
		struct router_stats st;
		struct router *r;
		uint64_t request = 0;
		int64_t now = SEC;
		struct router_request q = {.team = STR("guild"), .service = STR("desk")};

		memset(&e, 0, sizeof(e));
		e.host.ops = &eject_ops;
		router_options_init(&o);
		o.host = &e.host;
		o.name = STR("e1");
		o.zone = STR("a");
		ck_assert_int_eq(router_new(&o, &r), 0);
		router_fresh(r, true, now);
		for (unsigned int i = 0; i < EJECT_UPSTREAMS; i++)
			eject_announce(&e, r, i, false, now);
		eject_round(&e, r, &request, &now, 400, 0, 200);
		/* The fourth ejection lasts 8 s or more. */
		for (router_stats(r, &st); st.ejected < 4; router_stats(r, &st))
			eject_round(&e, r, &request, &now, 20, 1, 500);
		ck_assert_int_eq(router_upstream_info(r, e.id[0], &info, now), 0);
		ck_assert(info.ejected);
		/* More than the others take at once: some wait. */
		q.deadline_us = now + 60 * SEC;
		memset(e.sent, 0, sizeof(e.sent));
		for (unsigned int k = 0; k < 8 * EJECT_UPSTREAMS; k++, request++) {
			q.id = request;
			ck_assert_int_eq(router_submit(r, &q, now), 0);
		}
		router_stats(r, &st);
		ck_assert_uint_gt(st.queued, 0);
		ck_assert_uint_eq(e.sent[0], 0);
		for (unsigned int i = 1; leave && i < EJECT_UPSTREAMS; i++)
			eject_announce(&e, r, i, true, now);
		for (unsigned int k = 0; !leave && k < 2; k++) {
			now += SEC;
			router_renew(r, e.id[0], 0, 0, 0, now);
			router_tick(r, now);
		}
		/* One request at a time until one succeeds. */
		ck_assert_uint_eq(e.sent[0], 1);
		router_free(r);
	}
}
END_TEST

int main(int argc, char **argv)
{
	Suite *suite = suite_create("router");
	TCase *tc = tcase_create("router");
	SRunner *sr;
	int failed;

	if (argc > 1)
		seed_from = strtoull(argv[1], NULL, 10);
	if (argc > 2)
		seed_count = strtoull(argv[2], NULL, 10);
	tcase_set_timeout(tc, 0);
	tcase_add_test(tc, random_histories);
	tcase_add_test(tc, teams_share_the_process);
	tcase_add_test(tc, tables_are_bounded);
	tcase_add_test(tc, ejection);
	tcase_add_test(tc, ejection_ends_with_the_rest_of_the_pool);
	suite_add_tcase(suite, tc);
	sr = srunner_create(suite);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
