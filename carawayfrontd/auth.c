#include "carawayfrontd/auth.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include "base/err.h"

#define HEX_BYTES (2 * SHA256_DIGEST_LENGTH)

static void hash_hex(struct str token, char out[HEX_BYTES])
{
	static const char digits[] = "0123456789abcdef";
	unsigned char hash[SHA256_DIGEST_LENGTH];

	SHA256((const unsigned char *)token.p, token.n, hash);
	for (size_t i = 0; i < sizeof(hash); i++) {
		out[2 * i] = digits[hash[i] >> 4];
		out[2 * i + 1] = digits[hash[i] & 15];
	}
}

/*
 * Checks an Authorization header for access to a team's subtree. CF_EAUTH when the
 * token is missing or belongs to nobody, CF_EPERM when it is another team's.
 */
int auth_check(const struct settings *s, struct str team, struct str authorization)
{
	const struct settings_team *t = s->teams.items;
	char hex[HEX_BYTES];
	int err = CF_EAUTH;

	if (!str_starts(authorization, STR("Bearer ")))
		return CF_EAUTH;
	authorization.p += sizeof("Bearer ") - 1;
	authorization.n -= sizeof("Bearer ") - 1;
	hash_hex(authorization, hex);
	for (size_t i = 0; i < s->teams.n; i++) {
		if (CRYPTO_memcmp(hex, t[i].token_sha256.p, HEX_BYTES) != 0)
			continue;
		if (str_eq(t[i].name, team))
			return 0;
		err = CF_EPERM;
	}
	return err;
}

/* What an operator has to change after auth_check() failed. */
struct str auth_reason(int err, struct str authorization)
{
	if (err == CF_EPERM)
		return STR("the token belongs to another team");
	if (str_starts(authorization, STR("Bearer ")))
		return STR("the token belongs to no team");
	return STR("the header Authorization: Bearer TOKEN is missing");
}
