#ifndef REGRESS_LIB_MODEL_H
#define REGRESS_LIB_MODEL_H

#include "base/str.h"
#include "core/claim.h"
#include "proto/command.h"

/*
 * A naive version of the store for differential tests: arrays that are searched from
 * end to end, the full history, no bounds. It knows three teams (ta, tb, tc) with
 * fixed vocabularies and documents of a few forms, see model_forms.
 */
#define MODEL_TEAMS 3
#define MODEL_FORMS 6
#define MODEL_TASKS 4
#define MODEL_MAX 20000

extern const char *const model_teams[MODEL_TEAMS];
extern const char *const model_vocabularies[MODEL_TEAMS];
extern const char *const model_forms[MODEL_FORMS];

struct model_change {
	char path[40];
	char text[24];
	uint64_t revision;
	bool deleted;
	int form;
};

struct model_claim {
	char key[40]; /* team/service/key */
	uint8_t hash;
	char entry[4];
	uint64_t incarnation;
	uint64_t sequence;
	enum claim_state state;
	uint64_t time_us;
	char body[24];
	bool forgotten;
};

struct model_task {
	enum task_state state;
	uint32_t attempt;
	uint64_t session;
	char worker[4];
	bool cancel;
};

struct model_job {
	char key[40]; /* team/name */
	bool service;
	uint64_t revision;
	uint32_t n;
	uint32_t wanted; /* executors */
	struct model_task tasks[MODEL_TASKS];
	bool cancel;
	bool failed;
	bool rejected;
	uint64_t finished_us; /* 0: unfinished */
	bool dropped;
};

struct model_result {
	char team[4];
	char id[12];
	struct buf content; /* the command without its time */
	struct buf result;
	uint64_t time_us;
	bool dropped;
};

struct model {
	struct model_change changes[MODEL_MAX];
	size_t nchanges;
	struct model_claim claims[MODEL_MAX];
	size_t nclaims;
	struct model_job jobs[MODEL_MAX];
	size_t njobs;
	struct model_result results[MODEL_MAX];
	size_t nresults;
	struct {
		uint64_t incarnation;
		bool gone;
	} entries[2]; /* e0, e1 */
	uint64_t time_us;
	struct claim_options claim;
	uint64_t keep_us; /* of results and jobs */
};

struct model_answer {
	int err;
	uint64_t revision;
	char detail[24];  /* compared for CF_ECONFLICT and submissions */
	const char *body; /* stored outcome, or NULL */
};

void model_advance(struct model *m, uint64_t time_us);
const struct model_change *model_doc_at(const struct model *m, const char *path,
					uint64_t index);
struct model_answer model_change(struct model *m, uint64_t index, const char *path,
				 uint64_t expected, bool deleted, const char *text,
				 int form);
struct model_result *model_resent(struct model *m, const char *team, const char *id);
struct model_job *model_job(struct model *m, const char *key, bool service);
struct model_answer model_submit(struct model *m, uint64_t index, const char *team,
				 const char *name, uint32_t tasks);
struct model_answer model_cancel(struct model *m, const char *key);
struct model_answer model_reject(struct model *m, const char *key);
struct model_answer model_task(struct model *m, const char *key, bool service,
			       uint64_t revision, uint32_t task, uint32_t attempt,
			       enum task_state to, const char *worker, uint64_t session);
struct model_claim *model_claim(struct model *m, const char *key);
struct model_answer model_take(struct model *m, const struct model_claim *in);
struct model_answer model_end(struct model *m, const struct model_claim *in,
			      enum command_kind kind);
struct model_answer model_entry(struct model *m, int entry, uint64_t incarnation);

#endif
