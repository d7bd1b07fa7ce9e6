#ifndef CORE_ANNOUNCE_WIRE_H
#define CORE_ANNOUNCE_WIRE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "core/router.h"

/*
 * Encoding of a batch. A renewal takes one byte. XDR would pad each number to 4
 * bytes and exceed the limit of 20 KB/s at 9,800 upstreams.
 *
 * batch: version, session, sections. A section is a tag and its content:
 *   'F' number, announcement          a new or changed upstream
 *   'M' number, id, age, sequence, digest   maps a number of the sender to an id
 *   'R' age, detailed, count, {gap [load]}   renewals, by number
 *   'W' count, {id}                   requests the announcements of ids
 *   'X'                               requests an exchange
 * Numbers are LEB128; ages are milliseconds; ids are 8 bytes.
 */
#define WIRE_VERSION 1
#define WIRE_FULL 'F'
#define WIRE_MAP 'M'
#define WIRE_RENEW 'R'
#define WIRE_WANT 'W'
#define WIRE_EXCHANGE 'X'

/* Read position in a batch; p is NULL after a decoding error. */
struct wire {
	const unsigned char *p;
	const unsigned char *end;
};

int wire_put(struct buf *b, uint64_t v);
int wire_put_id(struct buf *b, uint64_t id);
int wire_put_upstream(struct buf *b, const struct router_upstream *u);

struct wire wire_from(struct str s);
bool wire_more(const struct wire *w);
bool wire_ok(const struct wire *w);
uint64_t wire_get(struct wire *w);
uint64_t wire_get_id(struct wire *w);
void wire_get_upstream(struct wire *w, struct router_upstream *u);

#endif
