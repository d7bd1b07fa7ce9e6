#include "carawayfrontd/worker_report.h"

#include <stdlib.h>

#include "base/err.h"

#define MAX_TASKS 4096U /* in one poll */
#define MAX_LAG_MS UINT32_MAX
#define MAX_LATENCY_US UINT32_MAX

static struct str get_str(const json_t *j, const char *key)
{
	const json_t *v = json_object_get(j, key);

	return (struct str){json_string_value(v), json_string_length(v)};
}

static uint64_t get_u64(const json_t *j, const char *key)
{
	json_int_t v = json_integer_value(json_object_get(j, key));

	return v > 0 ? (uint64_t)v : 0;
}

/*
 * A number of at most max; *err is set if it is larger. One that was cut to its low bits
 * would be that of another attempt.
 */
static uint64_t get_max(const json_t *j, const char *key, uint64_t max, int *err)
{
	uint64_t v = get_u64(j, key);

	if (v > max)
		*err = CF_EINVAL;
	return v > max ? 0 : v;
}

static uint32_t get_u32(const json_t *j, const char *key, int *err)
{
	return (uint32_t)get_max(j, key, UINT32_MAX, err);
}

static int32_t get_i32(const json_t *j, const char *key, int *err)
{
	json_int_t v = json_integer_value(json_object_get(j, key));

	if (v < INT32_MIN || v > INT32_MAX) {
		*err = CF_EINVAL;
		return 0;
	}
	return (int32_t)v;
}

static int read_status(struct str s, enum sched_status *out)
{
	static const char *const names[] = {"running", "done", "failed", "stopped",
					    "checkpointed"};

	for (int i = 0; i < 5; i++) {
		if (str_eq(s, str_from(names[i]))) {
			*out = (enum sched_status)i;
			return 0;
		}
	}
	return CF_EINVAL;
}

/* Splits TEAM/JOB/NUMBER. */
static int read_task_name(struct str name, struct sched_task_report *t)
{
	uint64_t number;

	if (!str_split(name, '/', &t->team, &name) ||
	    !str_split(name, '/', &t->job, &name) || str_to_u64(name, &number) ||
	    number > UINT32_MAX)
		return CF_EINVAL;
	t->task = (uint32_t)number;
	return 0;
}

static int read_task(const json_t *j, struct sched_task_report *t)
{
	int err = read_task_name(get_str(j, "task"), t);

	if (!err)
		err = read_status(get_str(j, "state"), &t->status);
	t->attempt = get_u32(j, "attempt", &err);
	t->exit_code = get_i32(j, "exit", &err);
	t->checkpoint = get_u64(j, "checkpoint");
	t->cpu_milli = get_u32(j, "cpu_milli", &err);
	t->memory_mb = get_u32(j, "memory_mb", &err);
	t->latency_us = (int64_t)get_max(j, "latency_us", MAX_LATENCY_US, &err);
	return err;
}

int worker_report_read(const json_t *j, struct str worker, struct sched_worker_report *r)
{
	const json_t *tasks = json_object_get(j, "tasks");
	size_t n = json_array_size(tasks);
	struct sched_task_report *list;
	int err = 0;

	if (n > MAX_TASKS)
		return CF_ETOOBIG;
	list = calloc(n ? n : 1, sizeof(*list));
	if (!list)
		return CF_ENOMEM;
	*r = (struct sched_worker_report){
		.worker = worker,
		.zone = get_str(j, "zone"),
		.rack = get_str(j, "rack"),
		.session = get_u64(j, "session"),
		.seq = get_u64(j, "seq"),
		.epoch = get_u64(j, "epoch"),
		.capacity = {.cpu_milli = (uint32_t)get_max(j, "cpus", UINT32_MAX / 1000,
							    &err) *
					  1000,
			     .memory_mb = get_u32(j, "memory_mb", &err),
			     .accelerators = get_u32(j, "accelerators", &err)},
		.lag_us = (int64_t)get_max(j, "lag_ms", MAX_LAG_MS, &err) * 1000,
		.tasks = list,
		.ntasks = n,
	};
	for (size_t i = 0; i < n && !err; i++)
		err = read_task(json_array_get(tasks, i), &list[i]);
	if (!err && (r->zone.n == 0 || r->session == 0 || r->seq == 0))
		err = CF_EINVAL;
	return err;
}

void worker_report_free(struct sched_worker_report *r)
{
	free((struct sched_task_report *)(uintptr_t)r->tasks);
	r->tasks = NULL;
	r->ntasks = 0;
}
