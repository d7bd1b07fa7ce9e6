#ifndef CARAWAYFRONTD_POLL_DIGEST_H
#define CARAWAYFRONTD_POLL_DIGEST_H

#include "base/str.h"

/* What an entry process needs to know of a worker's poll to renew it. */
struct poll_digest {
	uint64_t hash; /* of everything but seq, epoch and measurements */
	uint64_t seq;
	uint64_t epoch;
};

int poll_digest_read(struct str body, struct poll_digest *out);

#endif
