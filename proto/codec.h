#ifndef PROTO_CODEC_H
#define PROTO_CODEC_H

#include <rpc/types.h>
#include <rpc/xdr.h>

#include "base/str.h"

int codec_encode(xdrproc_t proc, const void *object, struct buf *out);
int codec_decode(xdrproc_t proc, void *object, struct str bytes);
void codec_free(xdrproc_t proc, void *object);
/* Writes an XDR unsigned int, for heads of lists whose items are encoded already. */
void codec_put_u32(void *p, uint32_t v);

/* The counted-string view of an XDR opaque<> member, and the other way. */
#define XDR_STR(object, member) \
	((struct str){(object).member.member##_val, (object).member.member##_len})
#define XDR_SET(object, member, s)                                       \
	do {                                                             \
		(object).member.member##_val = (char *)(uintptr_t)(s).p; \
		(object).member.member##_len = (u_int)(s).n;             \
	} while (0)

#endif
