#ifndef CORE_CONF_ITEM_H
#define CORE_CONF_ITEM_H

#include "base/str.h"

/* Kind of a document. A team's vocabulary maps its own words to kinds. */
enum conf_kind {
	CONF_KIND_NONE,
	CONF_KIND_SERVICE,
	CONF_KIND_JOB,
	CONF_KIND_ZONE,
	CONF_KIND_QUOTA,
	CONF_KINDS
};

/* Canonical fields of documents; core/vocab_schema.c says which kind has which. */
enum conf_field {
	CONF_SLOTS,	   /* concurrent requests per upstream */
	CONF_EXECUTORS,	   /* upstream instances that the scheduler keeps running */
	CONF_CPUS,	   /* thousandths of a processor for each task or executor */
	CONF_MEMORY_MB,	   /* for each task or executor */
	CONF_ACCELERATORS, /* for each task or executor */
	CONF_DEADLINE_MS,  /* default deadline of a request */
	CONF_MAX_QUEUE,	   /* queued requests per entry process */
	CONF_IDEMPOTENT,   /* list: path prefixes whose requests may be retried */
	CONF_RETRY_PERCENT,
	CONF_COMMAND,
	CONF_SPREAD,	 /* enum conf_spread */
	CONF_TASKS,	 /* tasks of a job; running tasks of a quota */
	CONF_DURATION_S, /* expected run time of a task */
	CONF_DEADLINE,	 /* read it with conf_item_deadline_us() */
	CONF_CLASS,	 /* enum conf_class */
	CONF_BATCH_KIND, /* jobs of one kind cause the same interference */
	CONF_MAX_ATTEMPTS,
	CONF_STATE, /* enum conf_zone_state */
	CONF_WEIGHT,
	CONF_FIELDS
};

enum conf_spread { CONF_SPREAD_NONE, CONF_SPREAD_RACK, CONF_SPREAD_ZONE };
enum conf_class { CONF_CLASS_BATCH, CONF_CLASS_URGENT };
enum conf_zone_state { CONF_ZONE_IN, CONF_ZONE_OUT };

/*
 * Canonical view of the fields of a document. It points into the fields and the
 * vocabulary and is valid as long as they are.
 */
struct conf_item {
	enum conf_kind kind;
	struct str vocabulary;
	struct str fields;
	uint32_t set; /* bit mask of present fields, indexed by enum conf_field */
	uint64_t number[CONF_FIELDS];
	struct str text[CONF_FIELDS];
};

void conf_item_default(struct conf_item *item, const struct conf_item *defaults);
bool conf_item_has(const struct conf_item *item, enum conf_field field);
uint64_t conf_item_number(const struct conf_item *item, enum conf_field field);
struct str conf_item_text(const struct conf_item *item, enum conf_field field);
uint64_t conf_item_deadline_us(const struct conf_item *item, uint64_t submitted_us);
bool conf_item_list(const struct conf_item *item, enum conf_field field, size_t i,
		    struct str *value);

#endif
