#ifndef CARAWAYFRONTD_MEMBER_JOIN_H
#define CARAWAYFRONTD_MEMBER_JOIN_H

#include "carawayfrontd/leader_client.h"

/*
 * Registers this entry process with the replicated state. Claims are accepted only
 * from registered processes, so that those of a process that is gone can be ended.
 */
struct member_join;

struct member_join_options {
	struct ev_loop *loop;
	const struct settings *settings;
	struct leader_client *leader;
	uint64_t *incarnation; /* raised when the present one was declared gone */
};

int member_join_new(const struct member_join_options *opt, struct member_join **out);
bool member_join_done(const struct member_join *m);
void member_join_again(struct member_join *m);
void member_join_free(struct member_join *m);

#endif
