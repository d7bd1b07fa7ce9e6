#include "io/meminfo.h"

#include "base/err.h"
#include "io/file.h"

#define MAX_BYTES 65536U
#define FIELD STR("MemTotal:")

/* Reads the memory of the machine from the text of /proc/meminfo. */
int meminfo_parse(struct str text, uint64_t *bytes)
{
	struct str line, rest, number;
	uint64_t kb;

	if (!str_starts(text, FIELD))
		return CF_EMALFORMED;
	text.p += FIELD.n;
	text.n -= FIELD.n;
	while (text.n && *text.p == ' ') {
		text.p++;
		text.n--;
	}
	if (!str_split(text, '\n', &line, &rest) ||
	    !str_split(line, ' ', &number, &rest) || str_to_u64(number, &kb) ||
	    !str_eq(rest, STR("kB")) || kb > UINT64_MAX / 1024)
		return CF_EMALFORMED;
	*bytes = kb * 1024;
	return 0;
}

int meminfo_read(const char *path, uint64_t *bytes)
{
	struct buf text = {0};
	int err = file_read(path, MAX_BYTES, &text);

	if (!err)
		err = meminfo_parse(buf_str(&text), bytes);
	buf_free(&text);
	return err;
}
