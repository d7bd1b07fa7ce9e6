#include "carawayfrontd/poll_digest.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <xxhash.h>

#include "base/err.h"

/* Members that may differ between two polls of an unchanged worker. */
static void remove_varying(json_t *poll)
{
	static const char *const measured[] = {"cpu_milli", "memory_mb", "latency_us"};
	json_t *tasks = json_object_get(poll, "tasks");
	json_t *task;
	size_t i;

	json_object_del(poll, "seq");
	json_object_del(poll, "epoch");
	json_object_del(poll, "lag_ms");
	json_array_foreach(tasks, i,
			   task) for (size_t k = 0;
				      k < sizeof(measured) / sizeof(measured[0]); k++)
		json_object_del(task, measured[k]);
}

/* CF_EMALFORMED when the body is not a JSON object with a number seq. */
int poll_digest_read(struct str body, struct poll_digest *out)
{
	json_t *poll = json_loadb(body.p ? body.p : "", body.n, 0, NULL);
	char *text = NULL;
	int err = CF_EMALFORMED;

	if (!json_is_object(poll) || !json_is_integer(json_object_get(poll, "seq")))
		goto out;
	out->seq = (uint64_t)json_integer_value(json_object_get(poll, "seq"));
	out->epoch = (uint64_t)json_integer_value(json_object_get(poll, "epoch"));
	remove_varying(poll);
	err = CF_ENOMEM;
	text = json_dumps(poll, JSON_COMPACT | JSON_SORT_KEYS);
	if (!text)
		goto out;
	out->hash = XXH3_64bits(text, strlen(text));
	err = 0;
out:
	free(text);
	json_decref(poll);
	return err;
}
