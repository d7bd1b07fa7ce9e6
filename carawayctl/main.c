#include <curl/curl.h>
#include <err.h>
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "base/err.h"
#include "carawayctl/ctl.h"
#include "carawayctl/document.h"
#include "proto/command.h"

#define DEFAULT_TIMEOUT_MS 5000
#define MAX_TIMEOUT_S 3600

static const struct ctl_command commands[] = {
	{"conf", ctl_conf},   {"vocabulary", ctl_vocabulary}, {"job", ctl_job},
	{"zone", ctl_zone},   {"upstreams", ctl_upstreams},   {"workers", ctl_workers},
	{"stats", ctl_stats}, {"health", ctl_health},	      {"member", ctl_member},
	{"place", ctl_place}, {"explain", ctl_explain},
};

static void usage(FILE *f)
{
	fprintf(f, "usage: carawayctl [-jn] [-a address[,address...]] [-t token|@file]\n"
		   "                  [-T team] [-m revision] [-r request-id] [-V file] "
		   "[-w word]\n"
		   "                  [--after revision] [--count n] [--timeout s] "
		   "command ...\n"
		   "commands:\n"
		   "  conf get word name | put word name file | delete word name\n"
		   "  conf list | history word name | watch\n"
		   "  vocabulary get | put file\n"
		   "  job submit file | show id | list | cancel id\n"
		   "  zone out name | in name\n"
		   "  upstreams | workers | stats | health\n"
		   "  member list\n"
		   "  place queue file | place -t id\n"
		   "  explain id logfile ...\n");
}

/* Prints an error and the usage to standard error. Returns CTL_USAGE. */
int ctl_usage_error(const char *what)
{
	warnx("%s", what);
	usage(stderr);
	return CTL_USAGE;
}

int ctl_require_team(const struct ctl *ctl)
{
	if (!ctl->team)
		return ctl_usage_error("a team is needed (-T)");
	return CTL_OK;
}

/*
 * Whether name can be a path segment: 1 to CMD_MAX_NAME characters of A-Za-z0-9-_., not
 * only dots.
 */
bool ctl_is_valid_name(const char *name)
{
	size_t n = strlen(name);

	return n > 0 && n <= CMD_MAX_NAME &&
	       strspn(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
			    "0123456789-_.") == n &&
	       strspn(name, ".") != n;
}

static bool add_addresses(struct ctl *ctl, char *list)
{
	char *save;

	for (char *p = strtok_r(list, ",", &save); p; p = strtok_r(NULL, ",", &save)) {
		if (ctl->n_addresses == CTL_MAX_ADDRESSES)
			return false;
		ctl->addresses[ctl->n_addresses++] = p;
	}
	return true;
}

/* Sets the token to the argument, or for "@file" to the first line of the file. */
static int set_token(struct ctl *ctl, const char *arg)
{
	struct buf b = {0};
	int e = 0;

	free(ctl->token);
	ctl->token = NULL;
	if (arg[0] == '@') {
		e = document_read_file(arg + 1, &b);
		if (!e)
			ctl->token = str_dup((struct str){b.p, b.n});
		buf_free(&b);
	} else {
		ctl->token = str_dup(str_from(arg));
	}
	if (e) {
		warnx("%s: %s", arg + 1, cf_strerror(e));
		return CTL_USAGE;
	}
	if (!ctl->token)
		return CTL_REFUSED;
	ctl->token[strcspn(ctl->token, "\r\n")] = '\0';
	return CTL_OK;
}

static int generate_request_id(struct ctl *ctl)
{
	unsigned char random[16];

	if (getrandom(random, sizeof(random), 0) != sizeof(random))
		return CF_EIO;
	for (size_t i = 0; i < sizeof(random); i++)
		snprintf(ctl->request_id + 2 * i, 3, "%02x", random[i]);
	return 0;
}

static int parse_number(const char *arg, uint64_t *out, const char *what)
{
	if (str_to_u64(str_from(arg), out) == 0)
		return CTL_OK;
	return ctl_usage_error(what);
}

/* Applies an option. Returns an enum ctl_status, or -1 to exit with success. */
static int apply_option(struct ctl *ctl, int ch)
{
	uint64_t n;

	switch (ch) {
	case 'a':
		return add_addresses(ctl, optarg) ? CTL_OK
						  : ctl_usage_error("too many addresses");
	case 'j':
		ctl->json = true;
		return CTL_OK;
	case 'm':
		ctl->has_match = true;
		return parse_number(optarg, &ctl->match,
				    "-m: expected a revision number");
	case 'n':
		ctl->check_only = true;
		return CTL_OK;
	case 'r':
		if (!ctl_is_valid_name(optarg))
			return ctl_usage_error("-r: invalid request id");
		snprintf(ctl->request_id, sizeof(ctl->request_id), "%s", optarg);
		return CTL_OK;
	case 't':
		return set_token(ctl, optarg);
	case 'T':
		ctl->team = optarg;
		return ctl_is_valid_name(optarg)
			       ? CTL_OK
			       : ctl_usage_error("-T: invalid team name");
	case 'V':
		ctl->vocabulary = optarg;
		return CTL_OK;
	case 'w':
		ctl->word = optarg;
		return ctl_is_valid_name(optarg) ? CTL_OK
						 : ctl_usage_error("-w: invalid word");
	case 'A':
		return parse_number(optarg, &ctl->after,
				    "--after: expected a revision number");
	case 'C':
		return parse_number(optarg, &ctl->count, "--count: expected a number");
	case 'O':
		if (parse_number(optarg, &n, "--timeout: expected a number of seconds"))
			return CTL_USAGE;
		if (n == 0 || n > MAX_TIMEOUT_S)
			return ctl_usage_error("--timeout: expected 1 to 3600 seconds");
		ctl->timeout_ms = (long)n * 1000;
		return CTL_OK;
	case 'v':
		printf("carawayctl %s\n", CTL_VERSION);
		return -1;
	case 'h':
		usage(stdout);
		return -1;
	default:
		usage(stderr);
		return CTL_USAGE;
	}
}

int main(int argc, char **argv)
{
	static const struct option long_options[] = {
		{"address", required_argument, NULL, 'a'},
		{"json", no_argument, NULL, 'j'},
		{"match", required_argument, NULL, 'm'},
		{"check", no_argument, NULL, 'n'},
		{"request-id", required_argument, NULL, 'r'},
		{"token", required_argument, NULL, 't'},
		{"team", required_argument, NULL, 'T'},
		{"vocabulary", required_argument, NULL, 'V'},
		{"word", required_argument, NULL, 'w'},
		{"after", required_argument, NULL, 'A'},
		{"count", required_argument, NULL, 'C'},
		{"timeout", required_argument, NULL, 'O'},
		{"version", no_argument, NULL, 'v'},
		{"help", no_argument, NULL, 'h'},
		{0},
	};
	struct ctl ctl = {.timeout_ms = DEFAULT_TIMEOUT_MS};
	const struct ctl_command *group = NULL;
	int status = CTL_OK;
	int ch;

	while ((ch = getopt_long(argc, argv, "a:jm:nr:t:T:V:w:h", long_options, NULL)) !=
	       -1) {
		status = apply_option(&ctl, ch);
		if (status)
			goto out;
	}
	argc -= optind;
	argv += optind;
	if (argc == 0) {
		status = ctl_usage_error("a command is needed");
		goto out;
	}
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		if (strcmp(commands[i].name, argv[0]) == 0)
			group = &commands[i];
	if (!group) {
		status = ctl_usage_error("unknown command");
		goto out;
	}
	if (!ctl.request_id[0] && generate_request_id(&ctl))
		errx(CTL_REFUSED, "cannot get random bytes for the request id");
	if (curl_global_init(CURL_GLOBAL_DEFAULT))
		errx(CTL_REFUSED, "cannot initialise libcurl");
	status = group->run(&ctl, argc - 1, argv + 1);
	curl_global_cleanup();
out:
	free(ctl.token);
	if (fflush(stdout) && status == CTL_OK)
		status = CTL_REFUSED;
	return status < 0 ? CTL_OK : status;
}
