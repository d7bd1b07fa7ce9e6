/*
 * Sends one HTTP request and prints the status and the body of the answer; "0" alone when
 * none came in time.
 *
 *   call METHOD URL [-d BODY|@FILE] [-H "Name: value"] [-m MS]
 */
#include <curl/curl.h>

#include "standins/common.h"

struct answer {
	char *p;
	size_t n;
};

static size_t on_body(char *data, size_t size, size_t n, void *user)
{
	struct answer *a = user;
	char *p = realloc(a->p, a->n + size * n + 1);

	if (!p)
		return 0;
	a->p = p;
	memcpy(a->p + a->n, data, size * n);
	a->n += size * n;
	a->p[a->n] = '\0';
	return size * n;
}

static char *read_file(const char *path)
{
	FILE *f = fopen(path, "r");
	char *text = calloc(1, 8U << 20);

	if (!f || !text)
		err(2, "%s", path);
	text[fread(text, 1, (8U << 20) - 1, f)] = '\0';
	fclose(f);
	return text;
}

int main(int argc, char *argv[])
{
	struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
	struct answer a = {0};
	CURL *curl = curl_easy_init();
	long status = 0;
	long ms = 3000;

	if (argc < 3 || !curl)
		errx(2, "usage: call METHOD URL [-d BODY] [-H HEADER] [-m MS]");
	headers = curl_slist_append(headers, "Content-Type: application/json");
	for (int i = 3; i + 1 < argc; i += 2) {
		if (strcmp(argv[i], "-d") == 0)
			curl_easy_setopt(curl, CURLOPT_POSTFIELDS,
					 argv[i + 1][0] == '@'
						 ? read_file(argv[i + 1] + 1)
						 : argv[i + 1]);
		else if (strcmp(argv[i], "-H") == 0)
			headers = curl_slist_append(headers, argv[i + 1]);
		else if (strcmp(argv[i], "-m") == 0)
			ms = atol(argv[i + 1]);
		else
			errx(2, "%s: unknown option", argv[i]);
	}
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, argv[1]);
	curl_easy_setopt(curl, CURLOPT_URL, argv[2]);
	curl_easy_setopt(curl, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, ms);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, &a);
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	printf("%ld %s\n", status, a.p ? a.p : "");
	return 0;
}
