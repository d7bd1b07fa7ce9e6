#include "carawayctl/document.h"

#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "proto/command.h"

/*
 * Appends the content of a file, or of standard input for "-", to out. Returns 0,
 * CF_EIO, CF_ETOOBIG above CMD_MAX_TEXT bytes, or CF_ENOMEM.
 */
int document_read_file(const char *file, struct buf *out)
{
	FILE *f = strcmp(file, "-") == 0 ? stdin : fopen(file, "re");
	char tmp[8192];
	size_t n;
	int e = 0;

	if (!f)
		return CF_EIO;
	while (!e && (n = fread(tmp, 1, sizeof(tmp), f)) > 0) {
		e = buf_add(out, tmp, n);
		if (out->n > CMD_MAX_TEXT)
			e = CF_ETOOBIG;
	}
	if (ferror(f))
		e = CF_EIO;
	if (f != stdin)
		fclose(f);
	return e;
}
