#include <string.h>
#include <zlib.h>

#include "base/err.h"
#include "core/store_impl.h"
#include "proto/codec.h"

#define LENGTH_BYTES 4
/* Encoded end record: length, kind, number of records (8 bytes) and CRC. */
#define END_BYTES (LENGTH_BYTES + 16)
#define CHUNK_BYTES (64 << 10)

struct writer {
	struct buf chunk;
	uint32_t crc;
	uint64_t records;
	int (*sink)(void *arg, struct str bytes);
	void *arg;
};

static uint32_t compute_crc(struct str bytes)
{
	return (uint32_t)crc32_z(0, (const Bytef *)bytes.p, bytes.n);
}

static uint32_t get_u32(const char *p)
{
	uint32_t v = 0;

	for (int i = 0; i < LENGTH_BYTES; i++)
		v = v << 8 | (unsigned char)p[i];
	return v;
}

/* Adds the buffered bytes to the CRC and writes them to the sink. */
static int flush_chunk(struct writer *w)
{
	struct str bytes = buf_str(&w->chunk);

	w->crc = (uint32_t)crc32_z(w->crc, (const Bytef *)bytes.p, bytes.n);
	w->chunk.n = 0;
	return w->sink(w->arg, bytes);
}

static int write_record(void *arg, struct snap_record *record)
{
	struct writer *w = arg;
	size_t at = w->chunk.n;
	int err = buf_add(&w->chunk, "\0\0\0\0", LENGTH_BYTES);

	if (!err)
		err = codec_encode((xdrproc_t)xdr_snap_record, record, &w->chunk);
	if (err)
		return err;
	codec_put_u32(w->chunk.p + at, (uint32_t)(w->chunk.n - at - LENGTH_BYTES));
	w->records++;
	return w->chunk.n >= CHUNK_BYTES ? flush_chunk(w) : 0;
}

static int write_header(struct writer *w, const struct store *s)
{
	struct snap_record record = {.kind = SNAP_HEAD};

	record.snap_record_u.head = (struct snap_head){
		.magic = SNAP_MAGIC,
		.format = SNAP_FORMAT,
		.index = s->index,
		.time_us = s->time_us,
	};
	return write_record(w, &record);
}

static int write_docs(struct writer *w, const struct conf_view *view)
{
	for (size_t i = 0; i < conf_view_teams(view); i++) {
		const struct conf_doc *const *docs;
		size_t n;

		docs = conf_view_team(view, conf_view_team_name(view, i), &n);
		for (size_t k = 0; k < n; k++) {
			struct snap_record record = {.kind = SNAP_DOC};
			struct snap_doc *out = &record.snap_record_u.doc;
			int err;

			XDR_SET(*out, path, conf_doc_path(docs[k]));
			XDR_SET(*out, text, conf_doc_text(docs[k]));
			XDR_SET(*out, fields, conf_doc_fields(docs[k]));
			out->revision = docs[k]->revision;
			err = write_record(w, &record);
			if (err)
				return err;
		}
	}
	return 0;
}

static int write_changes(struct writer *w, const struct conf *conf)
{
	struct snap_record cut = {.kind = SNAP_CONF};
	const struct conf_doc *doc = conf_change_after(conf, 0);
	int err;

	cut.snap_record_u.conf.cut = conf_log_base(conf);
	err = write_record(w, &cut);
	for (; doc && !err; doc = conf_change_after(conf, doc->revision)) {
		struct snap_record record = {.kind = SNAP_CHANGE};
		struct snap_change *out = &record.snap_record_u.change;

		XDR_SET(*out, path, conf_doc_path(doc));
		out->revision = doc->revision;
		out->deleted = doc->deleted;
		out->present =
			conf_view_get(conf_current_docs(conf), conf_doc_path(doc)) == doc;
		if (!out->present) {
			XDR_SET(*out, text, conf_doc_text(doc));
			XDR_SET(*out, fields, conf_doc_fields(doc));
		}
		err = write_record(w, &record);
	}
	return err;
}

static int write_capacities(struct writer *w, const struct capacity_list *l)
{
	int err = 0;

	for (unsigned int i = 0; i < l->n && !err; i++) {
		struct snap_record record = {.kind = SNAP_CAPACITY};

		record.snap_record_u.capacity = (struct command_capacity){
			l->size[i].cpu_milli, l->size[i].memory_mb,
			l->size[i].accelerators};
		err = write_record(w, &record);
	}
	return err;
}

static int write_end(struct writer *w)
{
	struct snap_record record = {.kind = SNAP_END};
	int err = flush_chunk(w);

	if (err)
		return err;
	record.snap_record_u.end = (struct snap_end){
		.records = w->records,
		.crc = w->crc,
	};
	err = write_record(w, &record);
	return err ? err : flush_chunk(w);
}

/*
 * Writes a snapshot to a sink in chunks of about CHUNK_BYTES. An error of the sink ends
 * the snapshot and is returned. The sink must not change the store.
 */
int store_snapshot_write(const struct store *s, int (*sink)(void *arg, struct str bytes),
			 void *arg)
{
	struct writer w = {.sink = sink, .arg = arg};
	int err;

	if (s->failed)
		return CF_ENOMEM;
	err = write_header(&w, s);
	if (!err)
		err = write_docs(&w, conf_current_docs(s->conf));
	if (!err)
		err = write_changes(&w, s->conf);
	if (!err)
		err = dedup_walk(s->dedup, write_record, &w);
	if (!err)
		err = claims_visit(s->claims, write_record, &w);
	if (!err)
		err = jobs_walk(s->jobs, write_record, &w);
	if (!err)
		err = members_walk(s->members, write_record, &w);
	if (!err)
		err = write_capacities(&w, &s->capacities);
	if (!err)
		err = write_end(&w);
	buf_free(&w.chunk);
	return err;
}

static int append_bytes(void *arg, struct str bytes)
{
	return buf_add(arg, bytes.p, bytes.n);
}

/* Appends a snapshot to *out. After an error *out is unchanged. */
int store_snapshot(const struct store *s, struct buf *out)
{
	size_t start = out->n;
	int err = store_snapshot_write(s, append_bytes, out);

	if (err)
		out->n = start;
	return err;
}

static int load_change(struct store *s, const struct snap_change *in)
{
	struct conf_change change = {
		.path = XDR_STR(*in, path),
		.revision = in->revision,
		.deleted = in->deleted,
		.text = XDR_STR(*in, text),
		.fields = XDR_STR(*in, fields),
	};

	return conf_load_change(s->conf, &change, in->present);
}

static int load_doc(struct store *s, const struct snap_doc *in)
{
	struct conf_change change = {
		.path = XDR_STR(*in, path),
		.revision = in->revision,
		.text = XDR_STR(*in, text),
		.fields = XDR_STR(*in, fields),
	};

	return conf_load_doc(s->conf, &change);
}

static int load_record(struct store *s, const struct snap_record *record)
{
	switch (record->kind) {
	case SNAP_DOC:
		return load_doc(s, &record->snap_record_u.doc);
	case SNAP_CONF:
		return conf_load_log_base(s->conf, record->snap_record_u.conf.cut);
	case SNAP_CHANGE:
		return load_change(s, &record->snap_record_u.change);
	case SNAP_RESULT:
		return dedup_load(s->dedup, &record->snap_record_u.result);
	case SNAP_CLAIM:
		return claims_load(s->claims, &record->snap_record_u.claim);
	case SNAP_EXPIRED:
		return claims_load_expired(s->claims, &record->snap_record_u.expired);
	case SNAP_JOB:
		return jobs_load(s->jobs, &record->snap_record_u.job);
	case SNAP_LOSSES:
		return jobs_load_losses(s->jobs, &record->snap_record_u.losses);
	case SNAP_SILENCES:
		return jobs_load_silences(s->jobs, &record->snap_record_u.silences);
	case SNAP_CAPACITY:
		store_add_capacity(s, &record->snap_record_u.capacity);
		return 0;
	case SNAP_MEMBER:
		return members_load(s->members, &record->snap_record_u.member);
	case SNAP_EPOCH:
		return members_load_epoch(s->members, &record->snap_record_u.epoch);
	case SNAP_HEAD:
	case SNAP_END:
		break;
	}
	return CF_ECORRUPT; /* header or end record in the middle */
}

/* Decodes the next record and advances *rest. Call free_record() even after an error. */
static int read_record(struct str *rest, struct snap_record *record)
{
	uint32_t n;
	struct str bytes;

	memset(record, 0, sizeof(*record));
	if (rest->n < LENGTH_BYTES)
		return CF_EMALFORMED;
	n = get_u32(rest->p);
	if (n > rest->n - LENGTH_BYTES)
		return CF_EMALFORMED;
	bytes = (struct str){rest->p + LENGTH_BYTES, n};
	rest->p += LENGTH_BYTES + n;
	rest->n -= LENGTH_BYTES + n;
	return codec_decode((xdrproc_t)xdr_snap_record, record, bytes);
}

static void free_record(struct snap_record *record)
{
	codec_free((xdrproc_t)xdr_snap_record, record);
}

/* Checks the CRC in the end record and gets the number of records. */
static int check_end(struct str snapshot, uint64_t *records)
{
	struct snap_record record;
	struct str body, rest;
	int err;

	if (snapshot.n < END_BYTES)
		return CF_EMALFORMED;
	body = (struct str){snapshot.p, snapshot.n - END_BYTES};
	rest = (struct str){snapshot.p + body.n, END_BYTES};
	err = read_record(&rest, &record);
	if (!err && (record.kind != SNAP_END || rest.n))
		err = CF_EMALFORMED;
	if (!err && record.snap_record_u.end.crc != compute_crc(body))
		err = CF_ECORRUPT;
	*records = record.snap_record_u.end.records;
	free_record(&record);
	return err;
}

static int read_header(struct store *s, struct str *rest)
{
	struct snap_record record;
	int err = read_record(rest, &record);

	if (!err &&
	    (record.kind != SNAP_HEAD || record.snap_record_u.head.magic != SNAP_MAGIC ||
	     record.snap_record_u.head.format != SNAP_FORMAT))
		err = CF_EMALFORMED;
	if (!err) {
		s->index = record.snap_record_u.head.index;
		s->time_us = record.snap_record_u.head.time_us;
	}
	free_record(&record);
	return err;
}

/* Loads a snapshot into an empty store. */
static int load_snapshot(struct store *s, struct str snapshot)
{
	struct str rest = snapshot;
	uint64_t records;
	uint64_t n = 1;
	int err = check_end(snapshot, &records);

	if (err)
		return err;
	rest.n -= END_BYTES;
	err = read_header(s, &rest);
	for (; !err && rest.n; n++) {
		struct snap_record record;

		err = read_record(&rest, &record);
		if (!err)
			err = load_record(s, &record);
		free_record(&record);
	}
	if (err)
		return err;
	if (n != records)
		return CF_ECORRUPT;
	return conf_load_end(s->conf, s->index);
}

/* Makes a store of the same options from a snapshot. */
static int make_store(const struct store *like, struct str snapshot, struct store **out)
{
	struct store *fresh;
	int err = store_new(&like->options, &fresh);

	if (err)
		return err;
	err = load_snapshot(fresh, snapshot);
	if (!err) {
		*out = fresh;
		return 0;
	}
	store_free(fresh);
	return err == CF_ENOMEM || err == CF_EMALFORMED ? err : CF_ECORRUPT;
}

/*
 * Replaces the state by a snapshot. Returns CF_EMALFORMED if the snapshot cannot be
 * decoded, CF_ECORRUPT if its checksum or content is invalid. After an error the store is
 * unchanged.
 */
int store_restore(struct store *s, struct str snapshot)
{
	struct store *fresh;
	struct store old;
	int err = make_store(s, snapshot, &fresh);

	if (err)
		return err;
	old = *s;
	*s = *fresh;
	*fresh = old;
	store_free(fresh);
	return 0;
}

/* Whether the state can be replaced by a snapshot. Errors as for store_restore(). */
int store_check_snapshot(const struct store *s, struct str snapshot)
{
	struct store *fresh;
	int err = make_store(s, snapshot, &fresh);

	if (!err)
		store_free(fresh);
	return err;
}
