/*
 * One HTTP request of a requester or an operator: prints the status (0: no answer) and the
 * body on one line. Free ports: "call2 port N" prints the first of N ports that are free
 * on the loopback address.
 *
 *   call2 METHOD URL HOST [BODY]
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <curl/curl.h>

#include "standins/common.h"

#define TIMEOUT_MS 3000L
#define LOW 20000
#define SPAN 10000

static char text[65536];
static size_t n_text;

static size_t on_body(char *p, size_t size, size_t n, void *arg)
{
	for (size_t i = 0; i < size * n && n_text + 1 < sizeof(text); i++)
		text[n_text++] = p[i];
	return size * n;
}

static int is_free(int port)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int on = 1;
	int err;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	err = bind(fd, (struct sockaddr *)&a, sizeof(a)) || listen(fd, 1);
	close(fd);
	return !err;
}

static int print_port(int n)
{
	struct prng rng = {(uint64_t)wall_us()};

	for (int tries = 0; tries < 1000; tries++) {
		int port = LOW + (int)prng_below(&rng, SPAN);
		int i = 0;

		while (i < n && is_free(port + i))
			i++;
		if (i == n) {
			printf("%d\n", port);
			return 0;
		}
	}
	return 2;
}

int main(int argc, char *argv[])
{
	struct curl_slist *headers = NULL;
	char host[256];
	long status = 0;
	CURL *easy;

	if (argc == 3 && strcmp(argv[1], "port") == 0)
		return print_port((int)number_arg(argv[2], 1, 100, "port"));
	if (argc < 4)
		errx(2, "usage: call2 METHOD URL HOST [BODY]");
	curl_global_init(CURL_GLOBAL_DEFAULT);
	easy = curl_easy_init();
	snprintf(host, sizeof(host), "Host: %s", argv[3]);
	headers = curl_slist_append(headers, host);
	headers = curl_slist_append(headers, "X-Carawayfront-Deadline-Ms: 3000");
	headers = curl_slist_append(headers, "Content-Type: application/json");
	curl_easy_setopt(easy, CURLOPT_URL, argv[2]);
	if (argc > 4)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, argv[4]);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, argv[1]);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	if (curl_easy_perform(easy) == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	printf("%ld %s\n", status, text);
	curl_easy_cleanup(easy);
	curl_slist_free_all(headers);
	return 0;
}
