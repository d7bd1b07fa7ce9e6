/*
 * A caller of graph jobs: submits, reads, cancels and sends again over connections that
 * it keeps open, and waits at the end until every job that was accepted has ended.
 *
 *   jobcaller --gateway IP:PORT... --number N --seed N --seconds S --settle S
 *             --ledger FILE
 *
 * The ledger has lines "EVENT JOB WHAT MILLISECONDS": "submit JOB SHAPE" before the first
 * attempt, "answer JOB STATUS" for each attempt (0: no answer), "cancelling JOB -" before
 * a cancellation is sent, "cancel JOB STATUS" after it, "state JOB STATE" for each
 * reading (a status if there is no state), "left JOB STATE" for a job that did not end in
 * time. A shape is a list of task counts, one a step, each after the step before; "L3" is
 * a step of three tasks that last.
 */
#include <getopt.h>

#include <curl/curl.h>
#include <jansson.h>

#include "standins/common.h"

#define MAX_GATEWAYS 8
#define MAX_JOBS 4096
#define MAX_STEPS 3
#define MAX_TASKS 4
#define TIMEOUT_MS 2500L
#define ATTEMPTS 5
#define BACKOFF_MS 250
#define PAUSE_MS 120 /* mean pause between two calls */

struct job {
	uint64_t id;
	unsigned int n_steps;
	unsigned int tasks[MAX_STEPS];
	bool lasts;
	bool accepted;
	bool cancelling;
	bool cancelled; /* the cancellation is acknowledged */
	bool ended;
	bool running; /* as its newest state says */
};

struct answer {
	char text[512];
	size_t n;
	long status; /* 0: none */
};

static CURL *gateways[MAX_GATEWAYS]; /* each keeps its connection */
static const char *addresses[MAX_GATEWAYS];
static size_t n_gateways;
static struct job jobs[MAX_JOBS];
static size_t n_jobs;
static struct prng rng;
static int ledger_fd = -1;
static struct curl_slist *headers;

static void record(const char *event, const struct job *j, const char *what)
{
	ledger_line(ledger_fd, "%s %016llx %s %lld\n", event, (unsigned long long)j->id,
		    what, (long long)(wall_us() / US_PER_MS));
}

static void record_status(const char *event, const struct job *j, long status)
{
	char text[16];

	snprintf(text, sizeof(text), "%ld", status);
	record(event, j, text);
}

static void pause_ms(int64_t ms)
{
	struct timespec ts = {ms / 1000, ms % 1000 * 1000000};

	nanosleep(&ts, NULL);
}

static size_t on_body(char *p, size_t size, size_t n, void *arg)
{
	struct answer *a = arg;

	for (size_t i = 0; i < size * n && a->n + 1 < sizeof(a->text); i++)
		a->text[a->n++] = p[i];
	a->text[a->n] = '\0';
	return size * n;
}

/* One call at a gateway that is drawn. */
static void call(const char *method, const struct job *j, const char *body,
		 struct answer *a)
{
	size_t g = prng_below(&rng, n_gateways);
	CURL *easy = gateways[g];
	char url[128];

	*a = (struct answer){0};
	snprintf(url, sizeof(url), "http://%s/q/%016llx", addresses[g],
		 (unsigned long long)j->id);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
	if (body)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, a);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	if (curl_easy_perform(easy) == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &a->status);
}

static char *job_body(const struct job *j)
{
	json_t *steps = json_array();
	json_t *root =
		json_pack("{ssso}", "spec", j->lasts ? "lasts" : "work", "steps", steps);
	char *text;

	for (unsigned int i = 0; i < j->n_steps; i++) {
		json_t *step = json_pack("{sisisisi}", "count", (int)j->tasks[i], "cpu",
					 500, "mem_mb", 100, "estimate_ms", 300);

		if (i)
			json_object_set_new(step, "depends_on",
					    json_pack("[i]", (int)i - 1));
		if (j->lasts)
			json_object_set_new(step, "long_running", json_true());
		json_array_append_new(steps, step);
	}
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static void record_shape(const struct job *j)
{
	char text[64];
	int n = 0;

	for (unsigned int i = 0; i < j->n_steps; i++)
		n += snprintf(text + n, sizeof(text) - (size_t)n, "%s%s%u", i ? "," : "",
			      j->lasts ? "L" : "", j->tasks[i]);
	record("submit", j, text);
}

/*
 * Sends a job until an answer is clear or the attempts are used up. Callers leave some
 * jobs after a refusal.
 */
static void submit(struct job *j)
{
	char *body = job_body(j);
	struct answer a;

	for (int i = 0; i < ATTEMPTS; i++) {
		call("POST", j, body, &a);
		record_status("answer", j, a.status);
		if (a.status / 100 == 2) {
			j->accepted = true;
			break;
		}
		if (a.status == 503 && prng_below(&rng, 3) == 0)
			break;
		pause_ms(BACKOFF_MS);
	}
	free(body);
}

static void submit_new(uint64_t number)
{
	struct job *j = &jobs[n_jobs];

	if (n_jobs == MAX_JOBS)
		return;
	n_jobs++;
	*j = (struct job){.id = number << 32 | n_jobs};
	j->lasts = prng_below(&rng, 20) == 0;
	j->n_steps = j->lasts ? 1 : 1 + (unsigned int)prng_below(&rng, MAX_STEPS);
	for (unsigned int i = 0; i < j->n_steps; i++)
		j->tasks[i] = 1 + (unsigned int)prng_below(&rng, MAX_TASKS);
	record_shape(j);
	submit(j);
}

static void read_state(struct job *j, const char *event)
{
	struct answer a;
	const char *state;
	json_t *root;

	call("GET", j, NULL, &a);
	root = json_loads(a.text, 0, NULL);
	state = json_string_value(json_object_get(root, "state"));
	if (a.status == 200 && state) {
		record(event, j, state);
		j->running = strcmp(state, "running") == 0;
		j->ended = strcmp(state, "queued") != 0 && strcmp(state, "running") != 0;
	} else {
		record_status(event, j, a.status);
	}
	json_decref(root);
}

static void cancel(struct job *j)
{
	struct answer a;

	j->cancelling = true;
	record("cancelling", j, "-");
	for (int i = 0; i < ATTEMPTS; i++) {
		call("DELETE", j, NULL, &a);
		record_status("cancel", j, a.status);
		j->cancelled = a.status / 100 == 2;
		if (j->cancelled || a.status == 410)
			return;
		pause_ms(BACKOFF_MS);
	}
}

static void act(uint64_t number)
{
	uint64_t what = prng_below(&rng, 100);
	struct job *j = n_jobs ? &jobs[prng_below(&rng, n_jobs)] : NULL;

	if (what < 45 || !j)
		submit_new(number);
	else if (what < 85)
		read_state(j, "state");
	else if (what < 92)
		submit(j);
	else if (j->accepted)
		cancel(j);
}

/*
 * Reads what was accepted until all has ended, and sends cancellations again that had no
 * clear answer; what lasts must be running.
 */
static void settle(double seconds)
{
	int64_t end_us = mono_us() + (int64_t)(seconds * US_PER_S);
	size_t open = 1;

	for (size_t i = 0; i < n_jobs; i++)
		jobs[i].running = false;
	while (open && mono_us() < end_us) {
		open = 0;
		for (size_t i = 0; i < n_jobs; i++) {
			struct job *j = &jobs[i];

			if (!j->accepted || j->ended ||
			    (j->lasts && !j->cancelling && j->running))
				continue;
			if (j->cancelling && !j->cancelled)
				cancel(j);
			read_state(j, "state");
			open += !j->ended && !(j->lasts && !j->cancelling && j->running);
		}
		pause_ms(BACKOFF_MS);
	}
	for (size_t i = 0; i < n_jobs; i++)
		if (jobs[i].accepted && !jobs[i].ended &&
		    (!jobs[i].lasts || jobs[i].cancelling))
			read_state(&jobs[i], "left");
}

int main(int argc, char *argv[])
{
	static const struct option options[] = {
		{"gateway", required_argument, NULL, 'g'},
		{"number", required_argument, NULL, 'n'},
		{"seed", required_argument, NULL, 'r'},
		{"seconds", required_argument, NULL, 's'},
		{"settle", required_argument, NULL, 'e'},
		{"ledger", required_argument, NULL, 'l'},
		{0},
	};
	uint64_t number = 1;
	uint64_t seed = 1;
	double seconds = 10;
	double settle_s = 20;
	int64_t end_us;
	int c;

	while ((c = getopt_long(argc, argv, "", options, NULL)) != -1) {
		switch (c) {
		case 'g':
			if (n_gateways < MAX_GATEWAYS)
				addresses[n_gateways++] = optarg;
			break;
		case 'n':
			number = (uint64_t)number_arg(optarg, 1, 1000, "number");
			break;
		case 'r':
			seed = (uint64_t)number_arg(optarg, 0, 1e15, "seed");
			break;
		case 's':
			seconds = number_arg(optarg, 0, 1e6, "seconds");
			break;
		case 'e':
			settle_s = number_arg(optarg, 0, 1e6, "settle");
			break;
		case 'l':
			ledger_fd = ledger_open(optarg);
			break;
		default:
			return 2;
		}
	}
	if (!n_gateways)
		errx(2, "--gateway is needed");
	rng = (struct prng){seed * 1000 + number};
	if (curl_global_init(CURL_GLOBAL_DEFAULT))
		errx(1, "curl_global_init");
	headers = curl_slist_append(headers, "Host: h.example");
	headers = curl_slist_append(headers, "X-Carawayfront-Deadline-Ms: 3000");
	headers = curl_slist_append(headers, "Content-Type: application/json");
	for (size_t i = 0; i < n_gateways; i++)
		gateways[i] = curl_easy_init();
	end_us = mono_us() + (int64_t)(seconds * US_PER_S);
	while (mono_us() < end_us) {
		act(number);
		pause_ms((int64_t)prng_below(&rng, 2 * PAUSE_MS));
	}
	settle(settle_s);
	for (size_t i = 0; i < n_gateways; i++)
		curl_easy_cleanup(gateways[i]);
	curl_slist_free_all(headers);
	curl_global_cleanup();
	return 0;
}
