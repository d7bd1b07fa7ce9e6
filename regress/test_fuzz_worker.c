/* Polls of workers to a state process. */
#include <stdlib.h>

#include "base/err.h"
#include "carawayfrontd/poll_digest.h"
#include "carawayfrontd/worker_report.h"
#include "regress/lib_fuzz.h"

#define N_INPUTS 60000

static const char *const words[] = {"{", "}", "[", "]",	   ",",	      ":",	 "\"",
				    "/", "-", "1", "null", "\\u0000", "\"seq\"", NULL};

/* A number that was cut would be that of another attempt. */
static void check_number(struct fuzz *f, const json_t *o, const char *key, int64_t value)
{
	json_int_t sent = json_integer_value(json_object_get(o, key));

	FUZZ_CHECK(f, (sent > 0 ? sent : 0) == value);
}

static void check_report(struct fuzz *f, const json_t *j,
			 const struct sched_worker_report *r)
{
	const json_t *tasks = json_object_get(j, "tasks");

	check_number(f, j, "lag_ms", r->lag_us / 1000);
	check_number(f, j, "cpus", r->capacity.cpu_milli / 1000);
	check_number(f, j, "memory_mb", r->capacity.memory_mb);
	FUZZ_CHECK(f, r->lag_us >= 0 && json_array_size(tasks) == r->ntasks);
	for (size_t i = 0; i < r->ntasks; i++) {
		const json_t *t = json_array_get(tasks, i);

		check_number(f, t, "attempt", r->tasks[i].attempt);
		check_number(f, t, "cpu_milli", r->tasks[i].cpu_milli);
		FUZZ_CHECK(f, json_integer_value(json_object_get(t, "exit")) ==
				      r->tasks[i].exit_code);
	}
}

/* Guards against a poll that ends the process or reports for another attempt. */
START_TEST(polls)
{
	struct str input;
	struct fuzz f;

	fuzz_open(&f, "worker_polls", N_INPUTS);
	f.words = words;
	fuzz_add(&f,
		 STR("{\"seq\":7,\"epoch\":2,\"session\":99,\"zone\":\"a\",\"rack\":"
		     "\"r1\",\"cpus\":16,\"memory_mb\":65536,\"accelerators\":2,"
		     "\"lag_ms\":12,\"tasks\":[{\"task\":\"t/job/17\",\"state\":"
		     "\"running\",\"attempt\":3,\"cpu_milli\":900,\"memory_mb\":512,"
		     "\"latency_us\":1500},{\"task\":\"t/job/18\",\"state\":\"failed\","
		     "\"attempt\":1,\"exit\":-9,\"checkpoint\":4}]}"));
	/* Cases: an attempt of 33 bits, and a lag whose microseconds overflow. */
	fuzz_add(&f, STR("{\"seq\":7,\"session\":99,\"zone\":\"a\",\"tasks\":[{\"task\":"
			 "\"t/job/17\",\"state\":\"done\",\"attempt\":4294967297}]}"));
	fuzz_add(&f, STR("{\"seq\":7,\"session\":99,\"zone\":\"a\",\"lag_ms\":"
			 "9223372036854775807,\"tasks\":[]}"));
	while (fuzz_next(&f, &input)) {
		json_t *j = json_loadb(input.p, input.n, 0, NULL);
		struct sched_worker_report r = {0};
		struct poll_digest digest;

		poll_digest_read(input, &digest);
		if (j && !worker_report_read(j, STR("w"), &r)) {
			f.accepted++;
			check_report(&f, j, &r);
		}
		fuzz_check_memory(&f, input.n);
		worker_report_free(&r);
		json_decref(j);
	}
	fuzz_close(&f);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {polls};

	return fuzz_main("fuzz_worker", tests, sizeof(tests) / sizeof(tests[0]));
}
