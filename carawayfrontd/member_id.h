#ifndef CARAWAYFRONTD_MEMBER_ID_H
#define CARAWAYFRONTD_MEMBER_ID_H

#include "base/str.h"

uint64_t member_id(struct str name);

#endif
