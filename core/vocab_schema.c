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
/* A quota covers the sum over all workers; the target size is 1,900 workers. */
#define MAX_WORKERS 10000

#define RULE(kind, field, type, min, max, dflt)                                      \
	{                                                                            \
		CONF_KIND_##kind, CONF_##field, VOCAB_##type, false, min, max, dflt, \
		{                                                                    \
			0                                                            \
		}                                                                    \
	}
#define REQUIRED(kind, field, type, min, max)                                    \
	{                                                                        \
		CONF_KIND_##kind, CONF_##field, VOCAB_##type, true, min, max, 0, \
		{                                                                \
			0                                                        \
		}                                                                \
	}
#define CHOICE(kind, field, required, dflt, ...)                                    \
	{                                                                           \
		CONF_KIND_##kind, CONF_##field, VOCAB_CHOICE, required, 0, 0, dflt, \
		{                                                                   \
			__VA_ARGS__                                                 \
		}                                                                   \
	}

static const struct vocab_rule rules[] = {
	REQUIRED(SERVICE, SLOTS, INTEGER, 1, MAX_SLOTS),
	RULE(SERVICE, EXECUTORS, INTEGER, 0, MAX_TASK_COUNT, 0),
	RULE(SERVICE, CPUS, MILLI, 1, MAX_CPUS_MILLI, 1000),
	RULE(SERVICE, MEMORY_MB, INTEGER, 1, MAX_MEMORY_MB, 1024),
	RULE(SERVICE, ACCELERATORS, INTEGER, 0, MAX_ACCELERATORS, 0),
	RULE(SERVICE, DEADLINE_MS, INTEGER, 1, MAX_DEADLINE_MS, 10000),
	RULE(SERVICE, MAX_QUEUE, INTEGER, 0, MAX_QUEUE, 256),
	RULE(SERVICE, IDEMPOTENT, LIST, 1, CMD_MAX_PATH, 0),
	RULE(SERVICE, RETRY_PERCENT, INTEGER, 0, 100, 10),
	RULE(SERVICE, COMMAND, TEXT, 1, CMD_MAX_VALUE, 0),
	CHOICE(SERVICE, SPREAD, false, CONF_SPREAD_ZONE, "none", "rack", "zone"),

	RULE(JOB, TASKS, INTEGER, 1, MAX_TASK_COUNT, 1),
	RULE(JOB, CPUS, MILLI, 1, MAX_CPUS_MILLI, 1000),
	RULE(JOB, MEMORY_MB, INTEGER, 1, MAX_MEMORY_MB, 1024),
	RULE(JOB, ACCELERATORS, INTEGER, 0, MAX_ACCELERATORS, 0),
	RULE(JOB, DURATION_S, INTEGER, 1, MAX_DURATION_S, 0),
	RULE(JOB, DEADLINE, DEADLINE, 1, MAX_DEADLINE_S, 0),
	CHOICE(JOB, CLASS, false, CONF_CLASS_BATCH, "batch", "urgent"),
	RULE(JOB, COMMAND, TEXT, 1, CMD_MAX_VALUE, 0),
	RULE(JOB, BATCH_KIND, NAME, 1, CMD_MAX_NAME, 0),
	RULE(JOB, MAX_ATTEMPTS, INTEGER, 1, MAX_ATTEMPTS, 3),
	CHOICE(JOB, SPREAD, false, CONF_SPREAD_NONE, "none", "rack", "zone"),

	CHOICE(ZONE, STATE, true, CONF_ZONE_IN, "in", "out"),

	RULE(QUOTA, CPUS, MILLI, 0, MAX_CPUS_MILLI *MAX_WORKERS, UINT64_MAX),
	RULE(QUOTA, MEMORY_MB, INTEGER, 0, MAX_MEMORY_MB *MAX_WORKERS, UINT64_MAX),
	RULE(QUOTA, ACCELERATORS, INTEGER, 0, MAX_ACCELERATORS *MAX_WORKERS, UINT64_MAX),
	RULE(QUOTA, TASKS, INTEGER, 0, MAX_TASK_COUNT *MAX_WORKERS, UINT64_MAX),
	RULE(QUOTA, WEIGHT, INTEGER, 1, MAX_WEIGHT, 1),
};

/* Returns the rule of a field, NULL if the kind does not have the field. */
const struct vocab_rule *vocab_rule(enum conf_kind kind, enum conf_field field)
{
	for (size_t i = 0; i < sizeof(rules) / sizeof(rules[0]); i++) {
		if (rules[i].kind == kind && rules[i].field == field)
			return &rules[i];
	}
	return NULL;
}

/* Returns the rules of all kinds and their number. */
const struct vocab_rule *vocab_rules(size_t *n)
{
	*n = sizeof(rules) / sizeof(rules[0]);
	return rules;
}
