/* Commands and snapshots of the replicated state machine; see docs/design.md 2.5. */

const CMD_MAX_NAME = 64;
const CMD_MAX_PATH = 256;
const CMD_MAX_TEXT = 1048576;
const CMD_MAX_FIELDS = 1024;
const CMD_MAX_VALUE = 4096;
const CMD_MAX_KEY = 256;
const CMD_MAX_OUTCOME = 1048576;
const CMD_MAX_MEMBERS = 1024;
const CMD_HASH = 16;
const CMD_MAX_PACKED = 4194304;
const CMD_MAX_TASKS = 65536;
const CMD_MAX_SILENCES = 4;
const CMD_MAX_RESULT = 2097152;

enum command_kind {
	CMD_NOP = 0,
	CMD_CONF_PUT = 1,
	CMD_CONF_DELETE = 2,
	CMD_JOB_SUBMIT = 3,
	CMD_JOB_CANCEL = 4,
	CMD_TASK = 5,
	CMD_JOB_REJECT = 6,
	CMD_CLAIM = 7,
	CMD_CLAIM_DONE = 8,
	CMD_CLAIM_ABORT = 9,
	CMD_CLAIM_UNKNOWN = 10,
	CMD_MEMBER_STATE = 11,
	CMD_MEMBER_ENTRY = 12,
	CMD_MEMBER_SEEN = 13,
	CMD_MEMBER_GONE = 14,
	CMD_TASK_LOSSES = 15,
	CMD_TASK_SILENCES = 16,
	CMD_CAPACITY = 17
};

/* One scalar of a document; nested keys are joined with dots. */
struct command_field {
	opaque name<CMD_MAX_PATH>;
	opaque value<CMD_MAX_VALUE>;
};

struct command_fields {
	struct command_field list<CMD_MAX_FIELDS>;
};

struct command_conf_put {
	opaque path<CMD_MAX_PATH>;
	unsigned hyper expected_revision;
	opaque request_id<CMD_MAX_NAME>;
	opaque text<CMD_MAX_TEXT>;
	struct command_fields fields;
};

struct command_conf_delete {
	opaque path<CMD_MAX_PATH>;
	unsigned hyper expected_revision;
	opaque request_id<CMD_MAX_NAME>;
};

/* An empty name stands for the request id. fields are in the words of the team. */
struct command_job_submit {
	opaque team<CMD_MAX_NAME>;
	opaque name<CMD_MAX_NAME>;
	opaque request_id<CMD_MAX_NAME>;
	struct command_fields fields;
};

struct command_job_cancel {
	opaque team<CMD_MAX_NAME>;
	opaque job<CMD_MAX_NAME>;
	opaque request_id<CMD_MAX_NAME>;
};

/* The scheduler found that the job can never run. */
struct command_job_reject {
	opaque team<CMD_MAX_NAME>;
	opaque job<CMD_MAX_NAME>;
	opaque reason<CMD_MAX_PATH>;
};

enum task_state {
	TASK_WAITING = 0,
	TASK_PLACED = 1,
	TASK_RUNNING = 2,
	TASK_DONE = 3,
	TASK_FAILED = 4,
	TASK_CANCELLED = 5,
	TASK_EVICTED = 6
};

/* Why a task failed for good. Other reasons of the scheduler are not stored. */
enum task_reason {
	TASK_R_NONE = 0,
	TASK_R_TOO_LARGE = 1,
	TASK_R_OVER_QUOTA = 2,
	TASK_R_TOO_OFTEN = 3,
	TASK_R_JOB_FAILS = 4,
	TASK_R_LOSES_WORKERS = 5
};

/*
 * New state of one task of a job, or of a service when service is set. attempt is
 * the new attempt for TASK_PLACED, else the present one. session identifies the
 * worker's process. job_revision tells apart two jobs that had the same name at
 * different times. checkpoint is 0 when the attempt left none. failures counts the
 * attempts that failed by themselves; reason says why the attempt or the job ended.
 */
struct command_task {
	opaque team<CMD_MAX_NAME>;
	opaque job<CMD_MAX_NAME>;
	bool service;
	unsigned hyper job_revision;
	unsigned int task;
	unsigned int attempt;
	enum task_state state;
	opaque worker<CMD_MAX_NAME>;
	unsigned hyper session;
	int exit_code;
	unsigned hyper checkpoint;
	unsigned int failures;
	enum task_reason reason;
};

/*
 * A task command that also sets how many workers were lost under the task, and how many
 * of these losses do not count because many workers were lost at once.
 */
struct command_task_losses {
	struct command_task task;
	unsigned int losses;
	unsigned int pardons;
};

/* The capacity of a worker. It is kept, so that a silent worker is not forgotten. */
struct command_capacity {
	unsigned int cpu_milli;
	unsigned int memory_mb;
	unsigned int accelerators;
};

/* A worker that fell silent soon after the start of a task, and its session then. */
struct command_silence {
	opaque worker<CMD_MAX_NAME>;
	unsigned hyper session;
};

/*
 * As command_task_losses, with the workers that fell silent under the task and may only
 * have been cut off. They are no losses yet; list has the latest of them, oldest first.
 */
struct command_task_silences {
	struct command_task_losses losses;
	unsigned int silent;
	struct command_silence list<CMD_MAX_SILENCES>;
};

/*
 * The entry process that owns a claim. sequence is unique for each request of one
 * incarnation, so that a delayed copy of a command never reaches a later claim.
 */
struct command_owner {
	opaque entry<CMD_MAX_NAME>;
	unsigned hyper incarnation;
	unsigned hyper sequence;
};

struct command_key {
	opaque team<CMD_MAX_NAME>;
	opaque service<CMD_MAX_NAME>;
	opaque key<CMD_MAX_KEY>;
};

/* hash: of method, path and body. */
struct command_claim {
	struct command_key key;
	opaque hash[CMD_HASH];
	struct command_owner owner;
};

struct command_outcome {
	unsigned int status;
	opaque content_type<CMD_MAX_PATH>;
	opaque body<CMD_MAX_OUTCOME>;
};

struct command_claim_done {
	struct command_key key;
	struct command_owner owner;
	struct command_outcome outcome;
};

/* Body of CMD_CLAIM_ABORT and CMD_CLAIM_UNKNOWN. */
struct command_claim_end {
	struct command_key key;
	struct command_owner owner;
};

struct command_member_state {
	opaque name<CMD_MAX_NAME>;
	opaque identity[CMD_HASH];
	opaque address<CMD_MAX_NAME>;
	bool voter;
};

struct command_member_entry {
	opaque name<CMD_MAX_NAME>;
	unsigned hyper incarnation;
	opaque address<CMD_MAX_NAME>;
};

struct command_member_id {
	opaque name<CMD_MAX_NAME>;
	unsigned hyper incarnation;
};

/* Entry processes that the leader of the epoch heard from since its last record. */
struct command_member_seen {
	unsigned hyper epoch;
	struct command_member_id entries<CMD_MAX_MEMBERS>;
};

/* incarnation is not used for a state process. */
struct command_member_gone {
	struct command_member_id id;
	bool state;
};

union command_body switch (enum command_kind kind) {
case CMD_NOP:
	void;
case CMD_CONF_PUT:
	struct command_conf_put conf_put;
case CMD_CONF_DELETE:
	struct command_conf_delete conf_delete;
case CMD_JOB_SUBMIT:
	struct command_job_submit job_submit;
case CMD_JOB_CANCEL:
	struct command_job_cancel job_cancel;
case CMD_TASK:
	struct command_task task;
case CMD_JOB_REJECT:
	struct command_job_reject job_reject;
case CMD_CLAIM:
	struct command_claim claim;
case CMD_CLAIM_DONE:
	struct command_claim_done claim_done;
case CMD_CLAIM_ABORT:
	struct command_claim_end claim_abort;
case CMD_CLAIM_UNKNOWN:
	struct command_claim_end claim_unknown;
case CMD_MEMBER_STATE:
	struct command_member_state member_state;
case CMD_MEMBER_ENTRY:
	struct command_member_entry member_entry;
case CMD_MEMBER_SEEN:
	struct command_member_seen member_seen;
case CMD_MEMBER_GONE:
	struct command_member_gone member_gone;
case CMD_TASK_LOSSES:
	struct command_task_losses task_losses;
case CMD_TASK_SILENCES:
	struct command_task_silences task_silences;
case CMD_CAPACITY:
	struct command_capacity capacity;
};

/* The leader sets time_us, which comes first so that it can be set in place. */
struct command {
	unsigned hyper time_us;
	struct command_body body;
};

/*
 * revision: of the document or job that the command made or that won against it.
 * detail: text of the winning document (CF_ECONFLICT), name of the job (submit), or
 * a description of the error. outcome: stored outcome of a claim.
 */
struct command_result {
	int err;
	unsigned hyper revision;
	opaque detail<CMD_MAX_TEXT>;
	struct command_outcome *outcome;
};

/*
 * A snapshot is a sequence of records, each after its length (4 bytes, big endian):
 * SNAP_HEAD first, SNAP_END last, whose crc covers all bytes before its length.
 */
const SNAP_MAGIC = 1128879955;
const SNAP_FORMAT = 1;

enum snap_kind {
	SNAP_HEAD = 0,
	SNAP_END = 1,
	SNAP_DOC = 2,
	SNAP_CHANGE = 3,
	SNAP_RESULT = 4,
	SNAP_CLAIM = 5,
	SNAP_JOB = 6,
	SNAP_MEMBER = 7,
	SNAP_CONF = 8,
	SNAP_EXPIRED = 9,
	SNAP_EPOCH = 10,
	SNAP_LOSSES = 11,
	SNAP_SILENCES = 12,
	SNAP_CAPACITY = 13
};

struct snap_head {
	unsigned int magic;
	unsigned int format;
	unsigned hyper index;
	unsigned hyper time_us;
};

struct snap_end {
	unsigned hyper records;
	unsigned int crc;
};

/* fields: XDR form of command_fields. */
struct snap_doc {
	opaque path<CMD_MAX_PATH>;
	unsigned hyper revision;
	opaque text<CMD_MAX_TEXT>;
	opaque fields<CMD_MAX_PACKED>;
};

/* Changes are complete after the revision cut. */
struct snap_conf {
	unsigned hyper cut;
};

/* An old version in the history; the present version is in snap_doc. */
struct snap_change {
	opaque path<CMD_MAX_PATH>;
	unsigned hyper revision;
	bool deleted;
	bool present;
	opaque text<CMD_MAX_TEXT>;
	opaque fields<CMD_MAX_PACKED>;
};

struct snap_result {
	opaque team<CMD_MAX_NAME>;
	opaque request_id<CMD_MAX_NAME>;
	unsigned hyper index;
	unsigned hyper time_us;
	opaque hash[CMD_HASH];
	opaque result<CMD_MAX_RESULT>;
};

/* id: hash of team, service and key. */
struct snap_claim {
	opaque team<CMD_MAX_NAME>;
	opaque id[CMD_HASH];
	opaque hash[CMD_HASH];
	unsigned int state;
	struct command_owner owner;
	unsigned hyper time_us;
	struct command_outcome *outcome;
};

/* Fingerprints of expired keys of one period, ascending. */
const SNAP_MAX_KEYS = 65536;
struct snap_expired {
	opaque team<CMD_MAX_NAME>;
	unsigned hyper period;
	unsigned hyper keys<SNAP_MAX_KEYS>;
};

struct snap_task {
	enum task_state state;
	bool cancel;
	unsigned int attempt;
	unsigned int failures;
	unsigned int evictions;
	opaque worker<CMD_MAX_NAME>;
	unsigned hyper session;
	int exit_code;
	unsigned hyper checkpoint;
	unsigned hyper waiting_us;
	unsigned hyper placed_us;
	unsigned hyper running_us;
	unsigned hyper ended_us;
};

struct snap_spec {
	unsigned int tasks;
	unsigned int cpus_milli;
	unsigned int accelerators;
	unsigned int duration_s;
	unsigned int max_attempts;
	unsigned int spread;
	unsigned int priority;
	unsigned hyper memory_mb;
	unsigned hyper deadline_us;
	opaque command<CMD_MAX_VALUE>;
	opaque batch_kind<CMD_MAX_NAME>;
};

struct snap_job {
	opaque team<CMD_MAX_NAME>;
	opaque name<CMD_MAX_NAME>;
	bool service;
	unsigned hyper revision;
	unsigned hyper spec_revision;
	unsigned hyper submitted_us;
	unsigned hyper finished_us;
	bool cancel;
	unsigned int state;
	opaque reason<CMD_MAX_PATH>;
	struct snap_spec spec;
	struct snap_task tasks<CMD_MAX_TASKS>;
};

struct snap_task_losses {
	unsigned int task;
	unsigned int losses;
	unsigned int pardons;
};

/* Workers lost under the tasks of the job in the record before; absent if none was. */
struct snap_losses {
	opaque team<CMD_MAX_NAME>;
	opaque job<CMD_MAX_NAME>;
	bool service;
	struct snap_task_losses tasks<CMD_MAX_TASKS>;
};

struct snap_task_silences {
	unsigned int task;
	unsigned int silent;
	struct command_silence list<CMD_MAX_SILENCES>;
};

/* Workers that fell silent under the tasks of an earlier record; absent if none did. */
struct snap_silences {
	opaque team<CMD_MAX_NAME>;
	opaque job<CMD_MAX_NAME>;
	bool service;
	struct snap_task_silences tasks<CMD_MAX_TASKS>;
};

struct snap_member {
	opaque name<CMD_MAX_NAME>;
	bool entry;
	opaque identity[CMD_HASH];
	bool voter;
	unsigned hyper incarnation;
	bool gone;
	unsigned hyper seen_epoch;
	unsigned hyper seen_us;
	opaque address<CMD_MAX_NAME>;
};

/* Of the last record of seen entry processes, and time of the first in its epoch. */
struct snap_epoch {
	unsigned hyper epoch;
	unsigned hyper epoch_us;
};

union snap_record switch (enum snap_kind kind) {
case SNAP_HEAD:
	struct snap_head head;
case SNAP_END:
	struct snap_end end;
case SNAP_DOC:
	struct snap_doc doc;
case SNAP_CHANGE:
	struct snap_change change;
case SNAP_RESULT:
	struct snap_result result;
case SNAP_CLAIM:
	struct snap_claim claim;
case SNAP_JOB:
	struct snap_job job;
case SNAP_MEMBER:
	struct snap_member member;
case SNAP_CONF:
	struct snap_conf conf;
case SNAP_EXPIRED:
	struct snap_expired expired;
case SNAP_EPOCH:
	struct snap_epoch epoch;
case SNAP_LOSSES:
	struct snap_losses losses;
case SNAP_SILENCES:
	struct snap_silences silences;
case SNAP_CAPACITY:
	struct command_capacity capacity;
};
