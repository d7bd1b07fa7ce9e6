#ifndef CARAWAYFRONTD_AUTH_H
#define CARAWAYFRONTD_AUTH_H

#include "carawayfrontd/settings.h"

struct str auth_reason(int err, struct str authorization);
int auth_check(const struct settings *s, struct str team, struct str authorization);

#endif
