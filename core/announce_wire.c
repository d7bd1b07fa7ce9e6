#include "core/announce_wire.h"

#include <string.h>

#include "base/err.h"

/* Ages are encoded in milliseconds. */
#define AGE_UNIT_US 1000
/* Longest LEB128 encoding of a 64-bit number, in bytes. */
#define LEB128_MAX 10

/* Appends a LEB128 number: 7 bits a byte, least significant first. CF_ENOMEM. */
int wire_put(struct buf *b, uint64_t v)
{
	unsigned char x[LEB128_MAX];
	size_t n = 0;

	while (v >= 0x80) {
		x[n++] = (unsigned char)(v | 0x80);
		v >>= 7;
	}
	x[n++] = (unsigned char)v;
	return buf_add(b, x, n);
}

/* Appends an id as 8 bytes in little-endian order. CF_ENOMEM. */
int wire_put_id(struct buf *b, uint64_t id)
{
	unsigned char x[8];

	for (unsigned int i = 0; i < 8; i++)
		x[i] = (unsigned char)(id >> (8 * i));
	return buf_add(b, x, sizeof(x));
}

static int put_str(struct buf *b, struct str s)
{
	int err = wire_put(b, s.n);

	return err ? err : buf_add(b, s.p, s.n);
}

/* Appends an announcement. After CF_ENOMEM it is incomplete; discard the batch. */
int wire_put_upstream(struct buf *b, const struct router_upstream *u)
{
	int err = 0;

	err |= put_str(b, u->team);
	err |= put_str(b, u->service);
	err |= put_str(b, u->name);
	err |= put_str(b, u->address);
	err |= put_str(b, u->zone);
	err |= wire_put(b, u->slots);
	err |= wire_put(b, u->load < 0 ? 0 : (uint64_t)u->load + 1);
	err |= wire_put(b, u->leaving);
	err |= wire_put(b, u->incarnation);
	err |= wire_put(b, u->sequence);
	err |= wire_put(b, ((uint64_t)u->age_us + AGE_UNIT_US - 1) / AGE_UNIT_US);
	return err ? CF_ENOMEM : 0;
}

struct wire wire_from(struct str s)
{
	const unsigned char *p = (const unsigned char *)s.p;

	return (struct wire){p, s.n ? p + s.n : p};
}

/* True while bytes are left to read and no error has occurred. */
bool wire_more(const struct wire *w)
{
	return w->p && w->p < w->end;
}

bool wire_ok(const struct wire *w)
{
	return w->p != NULL;
}

/* Reads a number. Truncated or above 64 bits: returns 0 and sets the error state. */
uint64_t wire_get(struct wire *w)
{
	uint64_t v = 0;

	for (unsigned int shift = 0; shift < 64 && wire_more(w); shift += 7) {
		unsigned char c = *w->p++;

		if (shift == 63 && c > 1)
			break;
		v |= (uint64_t)(c & 0x7f) << shift;
		if (!(c & 0x80))
			return v;
	}
	w->p = NULL;
	return 0;
}

uint64_t wire_get_id(struct wire *w)
{
	uint64_t id = 0;

	if (!w->p || w->end - w->p < 8) {
		w->p = NULL;
		return 0;
	}
	for (unsigned int i = 0; i < 8; i++)
		id |= (uint64_t)*w->p++ << (8 * i);
	return id;
}

static struct str get_str(struct wire *w)
{
	uint64_t n = wire_get(w);
	struct str s;

	if (!w->p || n > (uint64_t)(w->end - w->p)) {
		w->p = NULL;
		return (struct str){NULL, 0};
	}
	s = (struct str){(const char *)w->p, n};
	w->p += n;
	return s;
}

/* Reads an announcement; its strings point into the batch. */
void wire_get_upstream(struct wire *w, struct router_upstream *u)
{
	uint64_t load;
	uint64_t age;
	uint64_t slots;

	memset(u, 0, sizeof(*u));
	u->team = get_str(w);
	u->service = get_str(w);
	u->name = get_str(w);
	u->address = get_str(w);
	u->zone = get_str(w);
	slots = wire_get(w);
	load = wire_get(w);
	u->leaving = wire_get(w) != 0;
	u->incarnation = wire_get(w);
	u->sequence = wire_get(w);
	age = wire_get(w);
	if (slots > UINT32_MAX || load > INT32_MAX || age > UINT32_MAX) {
		w->p = NULL;
		return;
	}
	u->slots = (unsigned int)slots;
	u->load = (int)load - 1;
	u->age_us = (int64_t)age * AGE_UNIT_US;
}
