#ifndef PROTO_CODEC_H
#define PROTO_CODEC_H

#include <rpc/types.h>
#include <rpc/xdr.h>

#include "base/str.h"

int codec_encode(xdrproc_t proc, const void *object, struct buf *out);
int codec_decode(xdrproc_t proc, void *object, struct str bytes);
int codec_decode_first(xdrproc_t proc, void *object, struct str bytes, size_t *used);
void codec_free(xdrproc_t proc, void *object);
/* For the generated code, in place of xdr_bytes() and xdr_array(). */
bool_t codec_bytes(XDR *xdrs, char **bytes, u_int *n, u_int max);
bool_t codec_array(XDR *xdrs, char **items, u_int *n, u_int max, u_int size,
		   xdrproc_t proc);
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
