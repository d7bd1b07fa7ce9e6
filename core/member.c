#include "core/member.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "core/team.h"
#include "proto/codec.h"

#define DEFAULT_MEMBERS 1024
/*
 * An entry process stops serving 3 s after it lost contact with the state processes.
 * 10 s also allow for an election; until then its claims are reported in progress.
 */
#define DEFAULT_GONE_TIMEOUT_US (10 * 1000000ULL)

struct members {
	struct member_options options;
	struct member **list; /* ordered by entry, then by name */
	size_t n;
	size_t cap;
	uint64_t epoch;	   /* of the last contact record */
	uint64_t epoch_us; /* time of its first record */
};

void member_defaults(struct member_options *o)
{
	*o = (struct member_options){
		.members = DEFAULT_MEMBERS,
		.gone_timeout_us = DEFAULT_GONE_TIMEOUT_US,
	};
}

int members_new(const struct member_options *o, struct members **out)
{
	struct members *m = calloc(1, sizeof(*m));

	if (!m)
		return CF_ENOMEM;
	m->options = *o;
	*out = m;
	return 0;
}

static void free_member(struct member *member)
{
	if (!member)
		return;
	free((char *)(uintptr_t)member->name.p);
	free((char *)(uintptr_t)member->address.p);
	free(member);
}

void members_free(struct members *m)
{
	if (!m)
		return;
	for (size_t i = 0; i < m->n; i++)
		free_member(m->list[i]);
	free(m->list);
	free(m);
}

/* Position of the first member that is not before the key. */
static size_t lower_bound(const struct members *m, bool entry, struct str name)
{
	size_t lo = 0;
	size_t hi = m->n;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;
		const struct member *at = m->list[mid];

		if (at->entry < entry ||
		    (at->entry == entry && str_cmp(at->name, name) < 0))
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

static struct member *find_member(const struct members *m, bool entry, struct str name)
{
	size_t i = lower_bound(m, entry, name);

	if (i == m->n || m->list[i]->entry != entry || !str_eq(m->list[i]->name, name))
		return NULL;
	return m->list[i];
}

static void remove_at(struct members *m, size_t i)
{
	free_member(m->list[i]);
	memmove(m->list + i, m->list + i + 1, (m->n - i - 1) * sizeof(void *));
	m->n--;
}

/* Evicts the gone entry process with the oldest contact; false if there is none. */
static bool evict_oldest_gone(struct members *m)
{
	size_t oldest = m->n;

	for (size_t i = 0; i < m->n; i++) {
		if (m->list[i]->gone &&
		    (oldest == m->n || m->list[i]->seen_us < m->list[oldest]->seen_us))
			oldest = i;
	}
	if (oldest == m->n)
		return false;
	remove_at(m, oldest);
	return true;
}

/* Finds a member or adds it. CF_ENOSPACE: table full; CF_EINVAL: invalid name. */
static int find_or_add_member(struct members *m, bool entry, struct str name,
			      struct member **out)
{
	struct member *member = find_member(m, entry, name);
	size_t i;

	if (member) {
		*out = member;
		return 0;
	}
	if (!name_valid(name))
		return CF_EINVAL;
	if (m->n >= m->options.members && !evict_oldest_gone(m))
		return CF_ENOSPACE;
	if (m->n == m->cap) {
		size_t cap = m->cap ? m->cap * 2 : 16;
		struct member **list = realloc(m->list, cap * sizeof(void *));

		if (!list)
			return CF_ENOMEM;
		m->list = list;
		m->cap = cap;
	}
	member = calloc(1, sizeof(*member));
	if (!member)
		return CF_ENOMEM;
	member->entry = entry;
	member->name = (struct str){str_dup(name), name.n};
	if (!member->name.p) {
		free(member);
		return CF_ENOMEM;
	}
	i = lower_bound(m, entry, name);
	memmove(m->list + i + 1, m->list + i, (m->n - i) * sizeof(void *));
	m->list[i] = member;
	m->n++;
	*out = member;
	return 0;
}

static int set_address(struct member *member, struct str address)
{
	char *p = str_dup(address);

	if (!p)
		return CF_ENOMEM;
	free((char *)(uintptr_t)member->address.p);
	member->address = (struct str){p, address.n};
	return 0;
}

static void mark_gone(struct member *member, uint64_t time_us, struct member_host *host)
{
	if (member->gone)
		return;
	member->gone = true;
	host->entry_gone(host, member->name, member->incarnation, time_us);
}

/* Adds or changes a state process. CF_EINVAL, CF_ENOSPACE. */
int members_set_state(struct members *m, const struct command_member_state *in)
{
	struct member *member;
	int err = find_or_add_member(m, false, XDR_STR(*in, name), &member);

	if (err)
		return err;
	memcpy(member->identity, in->identity, CMD_HASH);
	member->voter = in->voter;
	return set_address(member, XDR_STR(*in, address));
}

/*
 * Registers a start of an entry process. CF_ESTALE when the incarnation is lower than
 * the known one or gone; the process must choose a higher one. A resend is accepted.
 */
int members_register_entry(struct members *m, const struct command_member_entry *in,
			   uint64_t time_us, struct member_host *host)
{
	struct member *member;
	int err;

	if (in->incarnation == 0)
		return CF_EINVAL;
	err = find_or_add_member(m, true, XDR_STR(*in, name), &member);
	if (err)
		return err;
	if (in->incarnation < member->incarnation ||
	    (in->incarnation == member->incarnation && member->gone))
		return CF_ESTALE;
	if (in->incarnation > member->incarnation) {
		if (member->incarnation)
			mark_gone(member, time_us, host);
		member->incarnation = in->incarnation;
		member->gone = false;
	}
	member->seen_us = time_us;
	return set_address(member, XDR_STR(*in, address));
}

/*
 * Records the entry processes in contact with the leader of an epoch, and marks those
 * past the timeout as gone. CF_ESTALE for an epoch that has ended.
 */
int members_record_contact(struct members *m, const struct command_member_seen *in,
			   uint64_t time_us, struct member_host *host)
{
	if (in->epoch < m->epoch)
		return CF_ESTALE;
	if (in->epoch > m->epoch) {
		/* No contacts were recorded between the two leaders. */
		m->epoch = in->epoch;
		m->epoch_us = time_us;
	}
	for (u_int i = 0; i < in->entries.entries_len; i++) {
		const struct command_member_id *id = &in->entries.entries_val[i];
		struct member *member = find_member(m, true, XDR_STR(*id, name));

		if (!member || member->gone || member->incarnation != id->incarnation)
			continue;
		member->seen_epoch = in->epoch;
		member->seen_us = time_us;
	}
	for (size_t i = 0; i < m->n; i++) {
		struct member *member = m->list[i];
		uint64_t since =
			member->seen_us > m->epoch_us ? member->seen_us : m->epoch_us;

		if (member->entry && time_us - since > m->options.gone_timeout_us)
			mark_gone(member, time_us, host);
	}
	return 0;
}

/* Marks an incarnation of an entry process as gone, or removes a state process. */
int members_end(struct members *m, const struct command_member_gone *in, uint64_t time_us,
		struct member_host *host)
{
	struct str name = XDR_STR(in->id, name);
	struct member *member = find_member(m, !in->state, name);

	if (!member)
		return CF_ENOENT;
	if (in->state) {
		remove_at(m, lower_bound(m, false, name));
		return 0;
	}
	if (member->incarnation != in->id.incarnation)
		return CF_ESTALE;
	mark_gone(member, time_us, host);
	return 0;
}

/* Returns a member, or NULL. */
const struct member *members_find(const struct members *m, bool entry, struct str name)
{
	return find_member(m, entry, name);
}

/* Returns whether an incarnation may own claims. */
bool members_entry_is_live(const struct members *m, struct str entry,
			   uint64_t incarnation)
{
	const struct member *member = find_member(m, true, entry);

	return member && !member->gone && member->incarnation == incarnation;
}

size_t members_count(const struct members *m)
{
	return m->n;
}

/* Member i; state processes first, each group in the order of the names. */
const struct member *members_at(const struct members *m, size_t i)
{
	return m->list[i];
}

/* Returns the epoch of the last contact record. */
uint64_t members_epoch(const struct members *m)
{
	return m->epoch;
}

/* Visits the epoch, then all members. */
int members_walk(const struct members *m, int (*visit)(void *, struct snap_record *),
		 void *arg)
{
	struct snap_record epoch = {.kind = SNAP_EPOCH};
	int err;

	epoch.snap_record_u.epoch.epoch = m->epoch;
	epoch.snap_record_u.epoch.epoch_us = m->epoch_us;
	err = visit(arg, &epoch);
	for (size_t i = 0; !err && i < m->n; i++) {
		const struct member *member = m->list[i];
		struct snap_record record = {.kind = SNAP_MEMBER};
		struct snap_member *out = &record.snap_record_u.member;

		XDR_SET(*out, name, member->name);
		XDR_SET(*out, address, member->address);
		out->entry = member->entry;
		memcpy(out->identity, member->identity, CMD_HASH);
		out->voter = member->voter;
		out->incarnation = member->incarnation;
		out->gone = member->gone;
		out->seen_epoch = member->seen_epoch;
		out->seen_us = member->seen_us;
		err = visit(arg, &record);
	}
	return err;
}

/* Adds a member from a snapshot. */
int members_load(struct members *m, const struct snap_member *in)
{
	struct member *member;
	int err;

	if (find_member(m, in->entry, XDR_STR(*in, name)))
		return CF_ECORRUPT;
	err = find_or_add_member(m, in->entry, XDR_STR(*in, name), &member);
	if (err)
		return err;
	memcpy(member->identity, in->identity, CMD_HASH);
	member->voter = in->voter;
	member->incarnation = in->incarnation;
	member->gone = in->gone;
	member->seen_epoch = in->seen_epoch;
	member->seen_us = in->seen_us;
	return set_address(member, XDR_STR(*in, address));
}

int members_load_epoch(struct members *m, const struct snap_epoch *in)
{
	m->epoch = in->epoch;
	m->epoch_us = in->epoch_us;
	return 0;
}
