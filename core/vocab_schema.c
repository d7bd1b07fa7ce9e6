#include "core/vocab_schema.h"

#include "proto/command.h"

const char *const vocab_kind_names[CONF_KINDS] = {"none", "service", "job", "zone",
						  "quota"};

const char *const vocab_field_names[CONF_FIELDS] = {
	[CONF_SLOTS] = "slots",
	[CONF_EXECUTORS] = "executors",
	[CONF_CPUS] = "cpus",
	[CONF_MEMORY_MB] = "memory_mb",
	[CONF_ACCELERATORS] = "accelerators",
	[CONF_DEADLINE_MS] = "deadline_ms",
	[CONF_MAX_QUEUE] = "max_queue",
	[CONF_IDEMPOTENT] = "idempotent",
	[CONF_RETRY_PERCENT] = "retry_percent",
	[CONF_COMMAND] = "command",
	[CONF_SPREAD] = "spread",
	[CONF_TASKS] = "tasks",
	[CONF_DURATION_S] = "duration_s",
	[CONF_DEADLINE] = "deadline",
	[CONF_CLASS] = "class",
	[CONF_BATCH_KIND] = "kind",
	[CONF_MAX_ATTEMPTS] = "max_attempts",
	[CONF_STATE] = "state",
	[CONF_WEIGHT] = "weight",
};

#define MAX_SLOTS 1024
#define MAX_TASK_COUNT 10000ULL
#define MAX_CPUS_MILLI (1024 * 1000ULL)
#define MAX_MEMORY_MB (16ULL << 20)
#define MAX_ACCELERATORS 64ULL
#define MAX_DEADLINE_MS (600 * 1000ULL)
#define MAX_QUEUE 100000
#define MAX_DURATION_S (30 * 86400ULL)
#define MAX_DEADLINE_S (365 * 86400ULL)
#define MAX_ATTEMPTS 100
#define MAX_WEIGHT 1000
/* A team's quota reaches over all workers: 1,900 of them at the target size. */
#define MAX_WORKERS 10000

#define SPREAD_WORDS                   \
	{                              \
		"none", "rack", "zone" \
	}

static const struct vocab_rule rules[] = {
	{CONF_KIND_SERVICE, CONF_SLOTS, VOCAB_INTEGER, true, 1, MAX_SLOTS, 0, {0}},
	{CONF_KIND_SERVICE,
	 CONF_EXECUTORS,
	 VOCAB_INTEGER,
	 false,
	 0,
	 MAX_TASK_COUNT,
	 0,
	 {0}},
	{CONF_KIND_SERVICE, CONF_CPUS, VOCAB_MILLI, false, 1, MAX_CPUS_MILLI, 1000, {0}},
	{CONF_KIND_SERVICE,
	 CONF_MEMORY_MB,
	 VOCAB_INTEGER,
	 false,
	 1,
	 MAX_MEMORY_MB,
	 1024,
	 {0}},
	{CONF_KIND_SERVICE,
	 CONF_ACCELERATORS,
	 VOCAB_INTEGER,
	 false,
	 0,
	 MAX_ACCELERATORS,
	 0,
	 {0}},
	{CONF_KIND_SERVICE,
	 CONF_DEADLINE_MS,
	 VOCAB_INTEGER,
	 false,
	 1,
	 MAX_DEADLINE_MS,
	 10000,
	 {0}},
	{CONF_KIND_SERVICE, CONF_MAX_QUEUE, VOCAB_INTEGER, false, 0, MAX_QUEUE, 256, {0}},
	{CONF_KIND_SERVICE, CONF_IDEMPOTENT, VOCAB_LIST, false, 1, CMD_MAX_PATH, 0, {0}},
	{CONF_KIND_SERVICE, CONF_RETRY_PERCENT, VOCAB_INTEGER, false, 0, 100, 10, {0}},
	{CONF_KIND_SERVICE, CONF_COMMAND, VOCAB_TEXT, false, 1, CMD_MAX_VALUE, 0, {0}},
	{CONF_KIND_SERVICE, CONF_SPREAD, VOCAB_CHOICE, false, 0, 0, CONF_SPREAD_ZONE,
	 SPREAD_WORDS},

	{CONF_KIND_JOB, CONF_TASKS, VOCAB_INTEGER, false, 1, MAX_TASK_COUNT, 1, {0}},
	{CONF_KIND_JOB, CONF_CPUS, VOCAB_MILLI, false, 1, MAX_CPUS_MILLI, 1000, {0}},
	{CONF_KIND_JOB,
	 CONF_MEMORY_MB,
	 VOCAB_INTEGER,
	 false,
	 1,
	 MAX_MEMORY_MB,
	 1024,
	 {0}},
	{CONF_KIND_JOB,
	 CONF_ACCELERATORS,
	 VOCAB_INTEGER,
	 false,
	 0,
	 MAX_ACCELERATORS,
	 0,
	 {0}},
	{CONF_KIND_JOB, CONF_DURATION_S, VOCAB_INTEGER, false, 1, MAX_DURATION_S, 0, {0}},
	{CONF_KIND_JOB, CONF_DEADLINE, VOCAB_DEADLINE, false, 1, MAX_DEADLINE_S, 0, {0}},
	{CONF_KIND_JOB,
	 CONF_CLASS,
	 VOCAB_CHOICE,
	 false,
	 0,
	 0,
	 CONF_CLASS_BATCH,
	 {"batch", "urgent"}},
	{CONF_KIND_JOB, CONF_COMMAND, VOCAB_TEXT, false, 1, CMD_MAX_VALUE, 0, {0}},
	{CONF_KIND_JOB, CONF_BATCH_KIND, VOCAB_NAME, false, 1, CMD_MAX_NAME, 0, {0}},
	{CONF_KIND_JOB, CONF_MAX_ATTEMPTS, VOCAB_INTEGER, false, 1, MAX_ATTEMPTS, 3, {0}},
	{CONF_KIND_JOB, CONF_SPREAD, VOCAB_CHOICE, false, 0, 0, CONF_SPREAD_NONE,
	 SPREAD_WORDS},

	{CONF_KIND_ZONE,
	 CONF_STATE,
	 VOCAB_CHOICE,
	 true,
	 0,
	 0,
	 CONF_ZONE_IN,
	 {"in", "out"}},

	{CONF_KIND_QUOTA,
	 CONF_CPUS,
	 VOCAB_MILLI,
	 false,
	 0,
	 MAX_CPUS_MILLI *MAX_WORKERS,
	 UINT64_MAX,
	 {0}},
	{CONF_KIND_QUOTA,
	 CONF_MEMORY_MB,
	 VOCAB_INTEGER,
	 false,
	 0,
	 MAX_MEMORY_MB *MAX_WORKERS,
	 UINT64_MAX,
	 {0}},
	{CONF_KIND_QUOTA,
	 CONF_ACCELERATORS,
	 VOCAB_INTEGER,
	 false,
	 0,
	 MAX_ACCELERATORS *MAX_WORKERS,
	 UINT64_MAX,
	 {0}},
	{CONF_KIND_QUOTA,
	 CONF_TASKS,
	 VOCAB_INTEGER,
	 false,
	 0,
	 MAX_TASK_COUNT *MAX_WORKERS,
	 UINT64_MAX,
	 {0}},
	{CONF_KIND_QUOTA, CONF_WEIGHT, VOCAB_INTEGER, false, 1, MAX_WEIGHT, 1, {0}},
};

/* Returns the rule, NULL when the kind does not have the field. */
const struct vocab_rule *vocab_rule(enum conf_kind kind, enum conf_field field)
{
	for (size_t i = 0; i < sizeof(rules) / sizeof(rules[0]); i++) {
		if (rules[i].kind == kind && rules[i].field == field)
			return &rules[i];
	}
	return NULL;
}

/* Returns all rules. */
const struct vocab_rule *vocab_rules(size_t *n)
{
	*n = sizeof(rules) / sizeof(rules[0]);
	return rules;
}
