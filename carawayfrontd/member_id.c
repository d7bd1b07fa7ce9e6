#include "carawayfrontd/member_id.h"

#include <xxhash.h>

/*
 * Number of a member for the core objects; never 0. It depends on the name only, so
 * that the order of the settings is free.
 */
uint64_t member_id(struct str name)
{
	uint64_t id = XXH3_64bits(name.p, name.n);

	return id ? id : 1;
}
