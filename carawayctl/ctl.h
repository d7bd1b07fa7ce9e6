#ifndef CARAWAYCTL_CTL_H
#define CARAWAYCTL_CTL_H

#include <jansson.h>

#include "base/str.h"

#define CTL_VERSION "0.1"
#define CTL_MAX_ADDRESSES 32
#define CTL_MAX_REQUEST_ID 64

/* Exit statuses, documented in carawayctl(1). */
enum ctl_status {
	CTL_OK = 0,
	CTL_REFUSED = 1,
	CTL_USAGE = 2,
	CTL_CONFLICT = 3,
	CTL_UNKNOWN = 4,
	CTL_UNREACHABLE = 5,
};

/* Command line options. */
struct ctl {
	const char *addresses[CTL_MAX_ADDRESSES];
	size_t n_addresses;
	char *token;
	const char *team;
	const char *word; /* -w: team's word for the kind, needed if it has several */
	const char *vocabulary; /* -V: local file to check documents against */
	char request_id[CTL_MAX_REQUEST_ID + 1];
	bool json;
	bool check_only; /* -n: check the file, send nothing */
	bool has_match;	 /* match is set */
	uint64_t match;	 /* expected revision, sent in If-Match */
	uint64_t after;	 /* a watch prints changes above this revision */
	uint64_t count;	 /* number of changes a watch prints, 0: unlimited */
	long timeout_ms;
};

/* A group of subcommands. argv[0] is the argument after the group's name. */
struct ctl_command {
	const char *name;
	int (*run)(struct ctl *ctl, int argc, char **argv);
};

int ctl_conf(struct ctl *ctl, int argc, char **argv);
int ctl_vocabulary(struct ctl *ctl, int argc, char **argv);
int ctl_job(struct ctl *ctl, int argc, char **argv);
int ctl_zone(struct ctl *ctl, int argc, char **argv);
int ctl_upstreams(struct ctl *ctl, int argc, char **argv);
int ctl_workers(struct ctl *ctl, int argc, char **argv);
int ctl_stats(struct ctl *ctl, int argc, char **argv);
int ctl_health(struct ctl *ctl, int argc, char **argv);
int ctl_member(struct ctl *ctl, int argc, char **argv);
int ctl_place(struct ctl *ctl, int argc, char **argv);
int ctl_explain(struct ctl *ctl, int argc, char **argv);

int ctl_require_team(const struct ctl *ctl);
int ctl_usage_error(const char *what);
bool ctl_is_valid_name(const char *name);

#endif
