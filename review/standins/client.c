/*
 * One HTTP request of a requester or an operator.
 *
 *   client METHOD URL HOST TIMEOUT_MS [BODY]
 *
 * Prints the status, 0 without an answer, and the body. HOST "-": as the URL says.
 */
#include <curl/curl.h>

#include "standins/common.h"

struct answer {
	char text[65536];
	size_t n;
};

static size_t on_body(char *p, size_t size, size_t n, void *arg)
{
	struct answer *a = arg;
	size_t take = size * n;

	if (take > sizeof(a->text) - 1 - a->n)
		take = sizeof(a->text) - 1 - a->n;
	memcpy(a->text + a->n, p, take);
	a->n += take;
	return size * n;
}

int main(int argc, char *argv[])
{
	static struct answer answer;
	struct curl_slist *headers = NULL;
	char line[256];
	long status = 0;
	CURL *c;

	if (argc < 5)
		errx(2, "usage: client METHOD URL HOST TIMEOUT_MS [BODY]");
	curl_global_init(CURL_GLOBAL_DEFAULT);
	c = curl_easy_init();
	if (!c)
		errx(2, "no curl");
	headers = curl_slist_append(headers, "Content-Type: application/json");
	headers = curl_slist_append(headers, "X-Carawayfront-Deadline-Ms: 3000");
	if (strcmp(argv[3], "-") != 0) {
		snprintf(line, sizeof(line), "Host: %s", argv[3]);
		headers = curl_slist_append(headers, line);
	}
	curl_easy_setopt(c, CURLOPT_URL, argv[2]);
	curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, argv[1]);
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(c, CURLOPT_PROXY, "");
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, strtol(argv[4], NULL, 10));
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, &answer);
	if (argc > 5)
		curl_easy_setopt(c, CURLOPT_POSTFIELDS, argv[5]);
	if (curl_easy_perform(c) == CURLE_OK)
		curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &status);
	printf("%ld %s\n", status, answer.text);
	return 0;
}
