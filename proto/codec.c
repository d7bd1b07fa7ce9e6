#include "proto/codec.h"

#include <string.h>

#include "base/err.h"

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
 * Decodes into a zeroed object that codec_free() releases, also after a failure.
 * CF_EMALFORMED when the bytes do not decode or some are left over.
 */
int codec_decode(xdrproc_t proc, void *object, struct str bytes)
{
	XDR xdrs;
	int err = 0;

	xdrmem_create(&xdrs, (char *)(uintptr_t)bytes.p, (u_int)bytes.n, XDR_DECODE);
	if (!proc(&xdrs, object) || xdr_getpos(&xdrs) != bytes.n)
		err = CF_EMALFORMED;
	xdr_destroy(&xdrs);
	return err;
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
