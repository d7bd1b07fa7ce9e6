#ifndef REGRESS_LIB_STORE_H
#define REGRESS_LIB_STORE_H

#include "core/store.h"
#include "proto/codec.h"

/*
 * A store under test. Commands are encoded, applied at the next index at the time
 * now_us, and their decoded result is kept in res until the next one.
 */
struct rig {
	struct store_options options;
	struct store *s;
	uint64_t index;
	uint64_t now_us;
	struct buf command; /* last command as encoded */
	struct buf result;
	struct command_result res;
};

void rig_open(struct rig *r);
void rig_reopen(struct rig *r);
void rig_close(struct rig *r);
int rig_apply(struct rig *r, struct str command);
int rig_run(struct rig *r, enum command_kind kind, const void *body);
struct str rig_detail(const struct rig *r);
void rig_restore(struct rig *r);

/* Commands; each returns the answer's error. fields: "name=value name=value". */
int rig_put(struct rig *r, const char *path, uint64_t expected, const char *id,
	    const char *text, const char *fields);
int rig_delete(struct rig *r, const char *path, uint64_t expected, const char *id);
int rig_submit(struct rig *r, const char *team, const char *name, const char *id,
	       const char *fields);
int rig_cancel(struct rig *r, const char *team, const char *job, const char *id);

struct lib_claim {
	const char *team;
	const char *service;
	const char *key;
	const char *entry;
	uint64_t incarnation;
	uint64_t sequence;
	uint8_t hash;
};

int rig_claim(struct rig *r, const struct lib_claim *c);
int rig_claim_done(struct rig *r, const struct lib_claim *c, uint32_t status,
		   struct str body);
int rig_claim_end(struct rig *r, const struct lib_claim *c, enum command_kind kind);
int rig_entry(struct rig *r, const char *entry, uint64_t incarnation);
int rig_seen(struct rig *r, uint64_t epoch, const char *entry, uint64_t incarnation);

struct lib_task {
	const char *team;
	const char *job;
	bool service;
	uint32_t task;
	uint32_t attempt;
	const char *worker;
	uint64_t session;
	int exit_code;
	uint64_t checkpoint;
	uint64_t revision; /* 0: of the present job */
	uint32_t failures;
	enum task_reason reason;
	uint32_t losses; /* 0: a command without them */
	uint32_t pardons;
	uint32_t silent; /* 0: a command without silences */
	uint32_t nsilences;
	struct command_silence silence[CMD_MAX_SILENCES];
};

int rig_task(struct rig *r, const struct lib_task *t, enum task_state state);

/* Big-endian number and checksum as in a snapshot. */
void lib_put_u32(char *p, uint32_t v);
uint32_t lib_crc(struct str bytes);

#endif
