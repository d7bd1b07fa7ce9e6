#ifndef CORE_ANNOUNCE_WIRE_H
#define CORE_ANNOUNCE_WIRE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "core/router.h"

/*
 * Bytes of a batch. XDR would round each number up to 4 bytes; a renewal takes one
 * byte here, which decides about the bound of 20 KB/s at 9,800 upstreams.
 *
 * batch: version, session, sections. A section is a tag and its content:
 *   'F' number, announcement          a new or changed upstream
 *   'M' number, id, age, sequence, digest   the sender's number of an upstream
 *   'R' age, detailed, count, {gap [load]}   renewals, by number
 *   'W' count, {id}                   asks for the announcements of ids
 *   'X'                               asks for an exchange
 * Numbers are LEB128; ages are milliseconds; ids are 8 bytes.
 */
#define WIRE_VERSION 1
#define WIRE_FULL 'F'
#define WIRE_MAP 'M'
#define WIRE_RENEW 'R'
#define WIRE_WANT 'W'
#define WIRE_EXCHANGE 'X'

/* Bytes still to be read; p is NULL after an error. */
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
