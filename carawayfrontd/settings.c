#include "carawayfrontd/settings.h"

#include <string.h>

#include "base/err.h"
#include "io/file.h"
#include "io/http_server.h"

#define SETTINGS_MAX_BYTES (1U << 20)
/* A larger number is probably meant in thousandths, so it is refused. */
#define CROSS_RACK_MAX 100U
/* Budgets without a setting, unless requests and answers may be large. */
#define BODY_BUDGET (24U << 20)
#define REPLY_BUDGET (12U << 20)
#define BUDGET_BODIES 4U  /* the largest bodies that they hold at least */
#define BUDGET_ANSWERS 8U /* the same of upstreams' answers in the entry role */
#define ROW(s, m) .key = #m, .offset = offsetof(s, m)

static const char *const roles[] = {"entry", "state", "gateway", "controller", NULL};

static const struct schema_row member_rows[] = {
	{ROW(struct settings_member, name), .type = SCHEMA_STR, .required = true},
	{ROW(struct settings_member, address), .type = SCHEMA_ADDRESS, .required = true},
	{0},
};

static const struct schema_row seed_rows[] = {
	{ROW(struct settings_seed, address), .type = SCHEMA_ADDRESS, .required = true},
	{0},
};

static const struct schema_row team_rows[] = {
	{ROW(struct settings_team, name), .type = SCHEMA_STR, .required = true},
	{.key = "token-sha256",
	 .offset = offsetof(struct settings_team, token_sha256),
	 .type = SCHEMA_STR,
	 .required = true},
	{0},
};

static const struct schema_row listen_rows[] = {
	{ROW(struct settings_listen, rpc), .type = SCHEMA_ADDRESS, .required = true},
	{ROW(struct settings_listen, callers), .type = SCHEMA_ADDRESS},
	{ROW(struct settings_listen, control), .type = SCHEMA_ADDRESS},
	{ROW(struct settings_listen, health), .type = SCHEMA_ADDRESS},
	{ROW(struct settings_listen, metrics), .type = SCHEMA_ADDRESS},
	{0},
};

#define LIMIT(text, m, lo, hi)                                              \
	{                                                                   \
		.key = text, .offset = offsetof(struct settings_limits, m), \
		.type = SCHEMA_U64, .min = (lo), .max = (hi)                \
	}

static const struct schema_row limit_rows[] = {
	LIMIT("max-body", max_body, 1, 64U << 20),
	LIMIT("max-answer", max_answer, 1, 64U << 20),
	LIMIT("max-connections", max_connections, 1, 100000),
	LIMIT("drain-s", drain_s, 1, 3600),
	LIMIT("deadline-ms", deadline_ms, 1, 600000),
	LIMIT("stale-ms", stale_ms, 500, 4000),
	LIMIT("snapshot-entries", snapshot_entries, 16, 10000000),
	LIMIT("body-budget", body_budget, 65536, 1ULL << 40),
	LIMIT("reply-budget", reply_budget, 65536, 1ULL << 40),
	LIMIT("head-timeout-s", head_timeout_s, 3, 600),
	LIMIT("body-timeout-s", body_timeout_s, 3, 600),
	LIMIT("min-rate", min_rate, 1, 1U << 30),
	LIMIT("max-per-source", max_per_source, 0, 100000),
	LIMIT("max-unauthenticated", max_unauthenticated, 16, 100000),
	{0},
};

#define WORKERS(text, m, lo, hi)                                             \
	{                                                                    \
		.key = text, .offset = offsetof(struct settings_workers, m), \
		.type = SCHEMA_U64, .min = (lo), .max = (hi)                 \
	}

static const struct schema_row worker_rows[] = {
	WORKERS("lease-ms", lease_ms, 500, 600000),
	WORKERS("report-ms", report_ms, 100, 60000),
	WORKERS("stop-ms", stop_ms, 0, 60000),
	WORKERS("status-s", status_s, 1, 86400),
	WORKERS("relay-from", relay_from, 0, 1000000),
	{.key = "admit-serving",
	 .offset = offsetof(struct settings_workers, admit_serving),
	 .type = SCHEMA_BOOL},
	{.key = "cross-rack-factor",
	 .offset = offsetof(struct settings_workers, cross_rack_factor),
	 .type = SCHEMA_STR},
	{0},
};

static const struct schema_row settings_rows[] = {
	{ROW(struct settings, name), .type = SCHEMA_STR, .required = true},
	{ROW(struct settings, role), .type = SCHEMA_CHOICE, .required = true,
	 .choices = roles},
	{ROW(struct settings, zone), .type = SCHEMA_STR, .required = true},
	{.key = "cluster-key",
	 .offset = offsetof(struct settings, cluster_key),
	 .type = SCHEMA_STR,
	 .required = true},
	{ROW(struct settings, state), .type = SCHEMA_LIST, .rows = member_rows,
	 .item_size = sizeof(struct settings_member)},
	{ROW(struct settings, entries), .type = SCHEMA_LIST, .rows = member_rows,
	 .item_size = sizeof(struct settings_member)},
	{ROW(struct settings, seeds), .type = SCHEMA_LIST, .rows = seed_rows,
	 .item_size = sizeof(struct settings_seed)},
	{ROW(struct settings, found), .type = SCHEMA_BOOL},
	{ROW(struct settings, workers), .type = SCHEMA_MAP, .rows = worker_rows},
	{ROW(struct settings, listen), .type = SCHEMA_MAP, .required = true,
	 .rows = listen_rows},
	{ROW(struct settings, data), .type = SCHEMA_STR},
	{ROW(struct settings, teams), .type = SCHEMA_LIST, .rows = team_rows,
	 .item_size = sizeof(struct settings_team)},
	{ROW(struct settings, limits), .type = SCHEMA_MAP, .rows = limit_rows},
	{0},
};

static const struct settings_limits default_limits = {
	.max_body = 1U << 20,
	.max_answer = 8U << 20,
	.max_connections = 4096,
	.drain_s = 60,
	.deadline_ms = 10000,
	.stale_ms = 3000,
	.snapshot_entries = 20000,
	.head_timeout_s = 10,
	.body_timeout_s = 20,
	.min_rate = 8192,
	.max_unauthenticated = 256,
};

static const struct settings_workers default_workers = {
	.lease_ms = 10000,
	.report_ms = 1000,
	.stop_ms = 1000,
	.status_s = 120,
	.relay_from = 150,
};

/* Returns the member with a name, NULL when the list has none. */
const struct settings_member *settings_member(const struct schema_list *list,
					      struct str name)
{
	const struct settings_member *m = list->items;

	for (size_t i = 0; i < list->n; i++)
		if (str_eq(m[i].name, name))
			return &m[i];
	return NULL;
}

static int refuse(struct schema_error *error, const char *key, const char *expected)
{
	error->err = CF_EINVAL;
	error->line = 0;
	error->expected = expected;
	strcpy(error->key, key);
	return CF_EINVAL;
}

static bool is_sha256(struct str s)
{
	if (s.n != 64)
		return false;
	for (size_t i = 0; i < s.n; i++)
		if (!strchr("0123456789abcdef", s.p[i]) || !s.p[i])
			return false;
	return true;
}

static bool names_are_unique(const struct schema_list *list)
{
	const struct settings_member *m = list->items;

	for (size_t i = 0; i < list->n; i++)
		if (settings_member(list, m[i].name) != &m[i])
			return false;
	return true;
}

/*
 * Reads a decimal number with at most three places, such as 2 or 1.5, in thousandths.
 * Nothing and 0 are 0; other values are within 1 and CROSS_RACK_MAX. CF_EINVAL.
 */
static int read_factor(struct str s, uint32_t *milli)
{
	uint32_t value = 0, places = 0;
	bool point = false;

	for (size_t i = 0; i < s.n; i++) {
		if (s.p[i] == '.' && !point && i > 0 && i + 1 < s.n) {
			point = true;
			continue;
		}
		if (s.p[i] < '0' || s.p[i] > '9' || (point && places == 3) ||
		    value > CROSS_RACK_MAX * 1000)
			return CF_EINVAL;
		value = value * 10 + (uint32_t)(s.p[i] - '0');
		places += point;
	}
	if (value > CROSS_RACK_MAX * 1000)
		return CF_EINVAL;
	for (; places < 3; places++)
		value *= 10;
	if (value && (value < 1000 || value > CROSS_RACK_MAX * 1000))
		return CF_EINVAL;
	*milli = value;
	return 0;
}

/* Checks the roles that find one another through seeds. */
static int check_seeded(struct settings *s, struct schema_error *error)
{
	if (s->seeds.n == 0)
		return refuse(error, "seeds", "an address of a controller");
	if (read_factor(s->workers.cross_rack_factor, &s->workers.cross_rack_milli))
		return refuse(error, "workers.cross-rack-factor",
			      "0, or a number from 1 to 100 with at most 3 decimals");
	if (s->role == ROLE_CONTROLLER && s->data.n == 0)
		return refuse(error, "data", "a data directory for the controller role");
	if (s->role == ROLE_CONTROLLER && s->listen.control.len == 0)
		return refuse(error, "listen.control",
			      "an address for the controller role");
	if (s->role == ROLE_GATEWAY && s->listen.callers.len == 0)
		return refuse(error, "listen.callers", "an address for the gateway role");
	return 0;
}

static uint64_t larger(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

static void set_budgets(struct settings *s)
{
	struct settings_limits *l = &s->limits;
	uint64_t bodies = BUDGET_BODIES * l->max_body;

	if (!l->body_budget)
		l->body_budget = larger(BODY_BUDGET, bodies);
	if (!l->reply_budget)
		l->reply_budget =
			larger(REPLY_BUDGET,
			       larger(bodies, s->role == ROLE_ENTRY
						      ? BUDGET_ANSWERS * l->max_answer
						      : 0));
}

/* A quarter of each budget is reserved for small bodies and replies. */
static int check_budgets(const struct settings *s, struct schema_error *error)
{
	const struct settings_limits *l = &s->limits;

	if (l->body_budget / 4 * 3 < l->max_body)
		return refuse(error, "limits.body-budget",
			      "at least four thirds of max-body");
	if (l->reply_budget / 4 * 3 < l->max_body + HTTP_WAITING_BYTES)
		return refuse(error, "limits.reply-budget",
			      "at least four thirds of max-body, and 2 KiB");
	return 0;
}

/* Bytes that clients can make this process use, in all of its budgets. */
uint64_t settings_memory(const struct settings *s)
{
	return s->limits.body_budget + s->limits.reply_budget +
	       s->limits.max_connections * HTTP_CONNECTION_MEMORY;
}

/* Refuses budgets that together exceed half of the machine's memory (bytes). */
int settings_check_memory(const struct settings *s, uint64_t memory,
			  struct schema_error *error)
{
	uint64_t budgets = s->limits.body_budget + s->limits.reply_budget;

	error->err = 0;
	if (budgets <= memory / 2)
		return 0;
	return refuse(error, "limits.body-budget",
		      "with reply-budget at most half of the machine's memory");
}

/* Checks what ties several keys together. */
static int check(struct settings *s, struct schema_error *error)
{
	const struct settings_team *team = s->teams.items;
	const struct settings_member *self;

	if (check_budgets(s, error))
		return CF_EINVAL;
	if (s->role == ROLE_GATEWAY || s->role == ROLE_CONTROLLER)
		return check_seeded(s, error);
	if (s->state.n == 0 || s->state.n > 9)
		return refuse(error, "state", "1 to 9 state processes");
	if (!names_are_unique(&s->state))
		return refuse(error, "state", "a different name for each process");
	if (!names_are_unique(&s->entries))
		return refuse(error, "entries", "a different name for each process");
	self = settings_member(s->role == ROLE_STATE ? &s->state : &s->entries, s->name);
	if (!self)
		return refuse(error, "name", "a name listed under the role's processes");
	if (addr_port(&self->address) != addr_port(&s->listen.rpc))
		return refuse(error, "listen.rpc", "the port listed for this name");
	if (s->role == ROLE_STATE && s->data.n == 0)
		return refuse(error, "data", "a data directory for the state role");
	if (s->role == ROLE_ENTRY && s->listen.callers.len == 0)
		return refuse(error, "listen.callers", "an address for the entry role");
	if (s->role == ROLE_ENTRY && s->listen.control.len == 0)
		return refuse(error, "listen.control", "an address for the entry role");
	for (size_t i = 0; i < s->teams.n; i++)
		if (!is_sha256(team[i].token_sha256))
			return refuse(error, "teams.token-sha256",
				      "64 lower-case hexadecimal digits");
	return 0;
}

/*
 * Reads and checks a settings file. On an error *error tells line, key and what was
 * expected; *out is released either way with settings_free().
 */
int settings_load(const char *path, struct settings *out, struct schema_error *error)
{
	struct doc_error doc_error = {0};
	struct doc_node *root = NULL;
	struct buf text = {0};
	int err;

	memset(out, 0, sizeof(*out));
	memset(error, 0, sizeof(*error));
	out->limits = default_limits;
	out->workers = default_workers;
	err = file_read(path, SETTINGS_MAX_BYTES, &text);
	if (err) {
		error->err = err;
		error->expected = "a readable settings file";
		goto out;
	}
	err = doc_parse(buf_str(&text), &root, &doc_error);
	if (err) {
		error->err = err;
		error->line = doc_error.line;
		error->expected = doc_error.reason;
		goto out;
	}
	err = schema_read(settings_rows, root, out, error);
	if (!err) {
		set_budgets(out);
		err = check(out, error);
	}
out:
	doc_free(root);
	buf_free(&text);
	return err;
}

void settings_free(struct settings *s)
{
	schema_free(settings_rows, s);
}

static bool same_address(const struct addr *a, const struct addr *b)
{
	return a->len == b->len && memcmp(&a->sa, &b->sa, a->len) == 0;
}

static bool same_members(const struct schema_list *a, const struct schema_list *b)
{
	const struct settings_member *x = a->items;
	const struct settings_member *y = b->items;

	if (a->n != b->n)
		return false;
	for (size_t i = 0; i < a->n; i++)
		if (!str_eq(x[i].name, y[i].name) ||
		    !same_address(&x[i].address, &y[i].address))
			return false;
	return true;
}

static bool same_budgets(const struct settings_limits *a, const struct settings_limits *b)
{
	return a->body_budget == b->body_budget && a->reply_budget == b->reply_budget &&
	       a->head_timeout_s == b->head_timeout_s &&
	       a->body_timeout_s == b->body_timeout_s && a->min_rate == b->min_rate &&
	       a->max_per_source == b->max_per_source &&
	       a->max_unauthenticated == b->max_unauthenticated;
}

/* Tells whether everything that a running process cannot change is equal. */
bool settings_same_process(const struct settings *a, const struct settings *b)
{
	return str_eq(a->name, b->name) && a->role == b->role &&
	       str_eq(a->zone, b->zone) && str_eq(a->cluster_key, b->cluster_key) &&
	       str_eq(a->data, b->data) && same_members(&a->state, &b->state) &&
	       same_members(&a->entries, &b->entries) &&
	       same_address(&a->listen.rpc, &b->listen.rpc) &&
	       same_address(&a->listen.callers, &b->listen.callers) &&
	       same_address(&a->listen.control, &b->listen.control) &&
	       a->limits.max_body == b->limits.max_body &&
	       a->limits.max_connections == b->limits.max_connections &&
	       same_budgets(&a->limits, &b->limits);
}

/* Exchanges teams and limits; the former values are then in fresh. */
void settings_swap_reloadable(struct settings *active, struct settings *fresh)
{
	struct schema_list teams = active->teams;
	struct settings_limits limits = active->limits;

	active->teams = fresh->teams;
	active->limits = fresh->limits;
	fresh->teams = teams;
	fresh->limits = limits;
}
