#include "carawayfrontd/command_batch.h"

#include <stdlib.h>

#include "base/err.h"
#include "core/replica.h"
#include "proto/codec.h"

/* Time and number of commands of an encoded dag_batch. */
#define HEAD_BYTES 12U
#define PART_BYTES (REPLICA_MAX_ENTRY - HEAD_BYTES)

static size_t part_start(const struct command_batch *b, size_t part)
{
	return part ? b->parts[part - 1].end : 0;
}

static int begin_part(struct command_batch *b, size_t end)
{
	size_t cap = b->cap_parts ? 2 * b->cap_parts : 4;
	struct command_part *parts;

	if (b->n_parts == b->cap_parts) {
		parts = realloc(b->parts, cap * sizeof(*parts));
		if (!parts)
			return CF_ENOMEM;
		b->parts = parts;
		b->cap_parts = cap;
	}
	b->parts[b->n_parts++] = (struct command_part){.end = end};
	return 0;
}

/* Whether the last part can hold the command that was just encoded. */
static bool has_room(const struct command_batch *b)
{
	return b->n_parts && b->bytes.n - part_start(b, b->n_parts - 1) <= PART_BYTES;
}

/*
 * Adds a command. CF_ETOOBIG: no entry can hold it; CF_EINVAL: it exceeds a
 * bound of the protocol; CF_ENOMEM. After an error the batch is as before.
 */
int command_batch_add(struct command_batch *b, const struct dag_command *cmd)
{
	size_t before = b->bytes.n;
	struct command_part *last;
	int err;

	err = codec_encode((xdrproc_t)xdr_dag_command, cmd, &b->bytes);
	if (!err && b->bytes.n - before > PART_BYTES)
		err = CF_ETOOBIG;
	if (!err && !has_room(b))
		err = begin_part(b, before);
	if (err) {
		b->bytes.n = before;
		return err;
	}
	last = &b->parts[b->n_parts - 1];
	last->end = b->bytes.n;
	last->n++;
	return 0;
}

/* Writes the log entry of a part, an encoded dag_batch. CF_ENOMEM. */
int command_batch_entry(const struct command_batch *b, size_t part, int64_t time_ms,
			struct buf *out)
{
	size_t start = part_start(b, part);
	unsigned char head[HEAD_BYTES];
	int err;

	codec_put_u32(head, (uint32_t)((uint64_t)time_ms >> 32));
	codec_put_u32(head + 4, (uint32_t)time_ms);
	codec_put_u32(head + 8, b->parts[part].n);
	out->n = 0;
	err = buf_add(out, head, sizeof(head));
	return err ? err : buf_add(out, b->bytes.p + start, b->parts[part].end - start);
}

void command_batch_clear(struct command_batch *b)
{
	b->bytes.n = 0;
	b->n_parts = 0;
}

void command_batch_free(struct command_batch *b)
{
	buf_free(&b->bytes);
	free(b->parts);
	*b = (struct command_batch){0};
}
