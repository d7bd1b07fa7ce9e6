#include "proto/codec.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"

/* Smallest encoding of an array's item. */
#define ITEM_MIN_BYTES 4U

/* What a stream that decodes has in x_public. */
struct decode_limits {
	size_t n; /* bytes of the message */
	bool no_memory;
};

/*
 * Appends the XDR form of an object. CF_EINVAL when a bound of the definition is
 * exceeded.
 */
int codec_encode(xdrproc_t proc, const void *object, struct buf *out)
{
	unsigned long n = xdr_sizeof(proc, (void *)(uintptr_t)object);
	XDR xdrs;
	int err;

	err = buf_reserve(out, n);
	if (err)
		return err;
	xdrmem_create(&xdrs, out->p + out->n, (u_int)n, XDR_ENCODE);
	if (!proc(&xdrs, (void *)(uintptr_t)object)) {
		err = CF_EINVAL;
		goto out;
	}
	out->n += xdr_getpos(&xdrs);
	out->p[out->n] = '\0';
out:
	xdr_destroy(&xdrs);
	return err;
}

/*
 * Allocates what a length or count in front of the stream asks for. False if the rest of
 * the message cannot hold so many items of min_bytes, or without memory: a short message
 * must not allocate what its numbers say.
 */
static bool_t allocate(XDR *xdrs, char **out, u_int max, u_int size, u_int min_bytes)
{
	struct decode_limits *l = (void *)xdrs->x_public;
	u_int at = xdr_getpos(xdrs);
	u_int n;

	if (!xdr_u_int(xdrs, &n) || n > max || n > (l->n - xdr_getpos(xdrs)) / min_bytes)
		return FALSE;
	if (n && !*out && !(*out = calloc(n, size))) {
		l->no_memory = true;
		return FALSE;
	}
	return xdr_setpos(xdrs, at);
}

bool_t codec_bytes(XDR *xdrs, char **bytes, u_int *n, u_int max)
{
	if (xdrs->x_op == XDR_DECODE && !allocate(xdrs, bytes, max, 1, 1))
		return FALSE;
	return xdr_bytes(xdrs, bytes, n, max);
}

bool_t codec_array(XDR *xdrs, char **items, u_int *n, u_int max, u_int size,
		   xdrproc_t proc)
{
	if (xdrs->x_op == XDR_DECODE && !allocate(xdrs, items, max, size, ITEM_MIN_BYTES))
		return FALSE;
	return xdr_array(xdrs, items, n, max, size, proc);
}

/*
 * Decodes the object with which the bytes begin into a zeroed one that codec_free()
 * releases, also after a failure. used: bytes that it takes. CF_EMALFORMED when they do
 * not decode; CF_ENOMEM.
 */
int codec_decode_first(xdrproc_t proc, void *object, struct str bytes, size_t *used)
{
	struct decode_limits limits = {.n = bytes.n};
	XDR xdrs;
	int err = 0;

	xdrmem_create(&xdrs, (char *)(uintptr_t)bytes.p, (u_int)bytes.n, XDR_DECODE);
	xdrs.x_public = (void *)&limits;
	if (!proc(&xdrs, object))
		err = limits.no_memory ? CF_ENOMEM : CF_EMALFORMED;
	*used = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	return err;
}

/* The same; CF_EMALFORMED also when some bytes are left over. */
int codec_decode(xdrproc_t proc, void *object, struct str bytes)
{
	size_t used;
	int err = codec_decode_first(proc, object, bytes, &used);

	return !err && used != bytes.n ? CF_EMALFORMED : err;
}

void codec_free(xdrproc_t proc, void *object)
{
	xdr_free(proc, object);
}

void codec_put_u32(void *p, uint32_t v)
{
	unsigned char *to = p;

	for (int i = 0; i < 4; i++)
		to[i] = (unsigned char)(v >> (24 - 8 * i));
}
