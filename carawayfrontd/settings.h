#ifndef CARAWAYFRONTD_SETTINGS_H
#define CARAWAYFRONTD_SETTINGS_H

#include "io/addr.h"
#include "io/schema.h"

enum role { ROLE_ENTRY, ROLE_STATE, ROLE_GATEWAY, ROLE_CONTROLLER };

/* Another process of the site; an item of "state" and "entries". */
struct settings_member {
	struct str name;
	struct addr address;
};

/* A controller that a gateway or controller asks first; an item of "seeds". */
struct settings_seed {
	struct addr address;
};

struct settings_team {
	struct str name;
	struct str token_sha256; /* 64 hexadecimal digits */
};

struct settings_listen {
	struct addr rpc;
	struct addr callers; /* entry role */
	struct addr control; /* operators, health, metrics; state role: may be absent */
	struct addr health;  /* gateway role */
	struct addr metrics; /* gateway and controller roles; may be absent */
};

struct settings_limits {
	uint64_t max_body;	  /* bytes of a caller's request */
	uint64_t max_answer;	  /* bytes of an upstream's answer */
	uint64_t max_connections; /* from callers */
	uint64_t drain_s;	  /* longest graceful shutdown */
	uint64_t deadline_ms;	  /* of a request that names none */
	uint64_t stale_ms;	  /* configuration age at which an entry stops serving */
	uint64_t snapshot_entries;
	uint64_t body_budget;  /* bytes of bodies of all requests together */
	uint64_t reply_budget; /* bytes of replies and waiting requests together */
	uint64_t head_timeout_s;
	uint64_t body_timeout_s;
	uint64_t min_rate;	      /* bytes a second of bodies and replies */
	uint64_t max_per_source;      /* connections of an address; 0: no limit */
	uint64_t max_unauthenticated; /* RPC connections without the cluster key */
};

/* Controller role. */
struct settings_workers {
	uint64_t lease_ms;   /* longest lease that executors grant */
	uint64_t report_ms;  /* period of their reports */
	uint64_t stop_ms;    /* longest time in which they stop a task */
	uint64_t status_s;   /* ended jobs are kept this long */
	bool admit_serving;  /* refuse serving tasks in the room of batch work */
	uint64_t relay_from; /* workers from which on gateways make the calls */
	/* A decimal number, and the same in thousandths; 0: no task waits for its rack.
	 */
	struct str cross_rack_factor;
	uint32_t cross_rack_milli;
};

/* Content of the settings file. */
struct settings {
	struct str name;
	int role; /* enum role */
	struct str zone;
	struct str cluster_key;
	struct schema_list state;   /* struct settings_member */
	struct schema_list entries; /* struct settings_member */
	struct schema_list seeds;   /* struct settings_seed */
	bool found; /* a seed with an empty data directory founds the cluster */
	struct settings_listen listen;
	struct settings_workers workers;
	struct str data;
	struct schema_list teams; /* struct settings_team */
	struct settings_limits limits;
};

int settings_load(const char *path, struct settings *out, struct schema_error *error);
int settings_check_memory(const struct settings *s, uint64_t memory,
			  struct schema_error *error);
uint64_t settings_memory(const struct settings *s);
void settings_free(struct settings *s);
bool settings_same_process(const struct settings *a, const struct settings *b);
void settings_swap_reloadable(struct settings *active, struct settings *fresh);
const struct settings_member *settings_member(const struct schema_list *list,
					      struct str name);

#endif
