/*
 * Jobs that are graphs of steps, the executors that run their tasks, and the messages
 * by which gateways reach the leading controller; see docs/platform.md.
 */

const DAG_MAX_NAME = 256;
const DAG_MAX_SPEC = 65536;
const DAG_MAX_STEPS = 256;
const DAG_MAX_MEMBERS = 16;
const DAG_MAX_BYTES = 4194304;
const DAG_MAX_CREDENTIAL = 256;
const DAG_DIGEST_BYTES = 32;

struct dag_name {
	opaque text<DAG_MAX_NAME>;
};

/* Equal tasks of a job. cpu_milli: thousandths of a core. */
struct dag_step {
	unsigned int count;
	unsigned int cpu_milli;
	unsigned int mem_mb;
	unsigned int gpus;
	unsigned int estimate_ms;
	unsigned int depends_on<DAG_MAX_STEPS>;
	bool checkpointable;
	bool gang;         /* the tasks run together or not at all */
	bool same_rack;
	bool speculative;  /* copies may run in parallel */
	bool long_running; /* serves until the job is cancelled */
	bool filler;       /* uses processors that other tasks leave idle */
	opaque label<DAG_MAX_NAME>;
	opaque data_rack<DAG_MAX_NAME>;
	opaque image<DAG_MAX_NAME>;
	unsigned int max_per_worker; /* 0: no limit */
	unsigned int target_ms;      /* tail latency, 0: none */
	unsigned int max_unavailable;
};

/* occurrences 0: the steps run once, at once. */
struct dag_job {
	unsigned hyper id;
	opaque queue<DAG_MAX_NAME>;
	opaque spec<DAG_MAX_SPEC>;
	dag_step steps<DAG_MAX_STEPS>;
	unsigned int occurrences;
	hyper start_ms;
	unsigned hyper interval_ms;
	hyper accepted_ms;
};

struct dag_queue {
	opaque name<DAG_MAX_NAME>;
	opaque host<DAG_MAX_NAME>;
	opaque prefix<DAG_MAX_NAME>;
	opaque service<DAG_MAX_NAME>;
	unsigned int timeout_ms;
	unsigned int slo_ms;
	unsigned int priority; /* 0 first */
	unsigned int attempts;
	unsigned int stretch_milli;
};

/* guarded: executors refuse tasks that do not fit. */
struct dag_service {
	opaque name<DAG_MAX_NAME>;
	bool guarded;
};

/* source: the text that was accepted, returned as it came. */
struct dag_conf {
	unsigned hyper revision;
	opaque source<DAG_MAX_BYTES>;
	dag_queue queues<>;
	dag_service services<>;
};

/* SHA-256 of a credential. */
struct dag_digest {
	opaque bytes[DAG_DIGEST_BYTES];
};

/* Limits of 0 are none. */
struct dag_org_spec {
	opaque name<DAG_MAX_NAME>;
	unsigned int weight;
	unsigned hyper cpu_milli;
	unsigned hyper mem_mb;
	unsigned hyper gpus;
	dag_digest credentials<>;
};

/* public_queues: indices of those that need no credential. */
struct dag_org_conf {
	dag_conf conf;
	dag_org_spec orgs<>;
	unsigned int public_queues<>;
};

enum dag_worker_state {
	DAG_WORKER_READY = 0,
	DAG_WORKER_DRAINING = 1,
	DAG_WORKER_GONE = 2
};

/* One executor. born_ms tells two lives under one id apart. */
struct dag_worker {
	opaque id<DAG_MAX_NAME>;
	hyper born_ms;
	opaque address<DAG_MAX_NAME>;
	opaque service<DAG_MAX_NAME>;
	opaque zone<DAG_MAX_NAME>;
	dag_worker_state state;
	unsigned int cpu_milli;
	unsigned int mem_mb;
	unsigned int gpus;
	dag_name labels<16>;
};

struct dag_zone {
	opaque name<DAG_MAX_NAME>;
	bool closed;
};

/*
 * An operator's order. seen: the newest log entry that the controller knew to which the
 * order came; orders of later entries are newer.
 */
struct dag_zone_order {
	dag_zone zone;
	unsigned hyper seen;
};

struct dag_task_ref {
	unsigned hyper job;
	unsigned int occurrence;
	unsigned int step;
	unsigned int index;
};

struct dag_start {
	dag_task_ref task;
	unsigned int run;
	unsigned int worker;
};

/*
 * CRASHED and CRASHED_ALONE are found by the leader, not listed by a worker: the worker
 * crashed under the run; ALONE: only this run can have caused it; SURVIVED: it crashed
 * long after the start of the run, which is not the cause. UNANSWERED: it was lost before
 * it had answered the start, which may never have arrived.
 */
enum dag_end_how {
	DAG_END_DONE = 0,
	DAG_END_FAILED = 1,
	DAG_END_STOPPED = 2,
	DAG_END_LAPSED = 3,
	DAG_END_BROKEN = 4,
	DAG_END_ALONE = 5,
	DAG_END_CRASHED = 6,
	DAG_END_CRASHED_ALONE = 7,
	DAG_END_SURVIVED = 8,
	DAG_END_SUSPECTED = 9, /* lost soon after its start; not known to have crashed */
	DAG_END_UNANSWERED = 10,
	DAG_END_UNANSWERED_SUSPECTED = 11 /* the same; not known to have crashed */
};

struct dag_end {
	dag_task_ref task;
	unsigned int run;
	dag_end_how how;
	opaque checkpoint<DAG_MAX_NAME>;
};

/*
 * What the scheduler has learned of images that disturb one another, so that a new
 * leader need not learn it again. Parts are thousandths; slopes stand serving image by
 * serving image.
 */
struct dag_model_image {
	opaque name<DAG_MAX_NAME>;
	unsigned int base_us;
};

struct dag_model {
	dag_model_image images<64>;
	unsigned int slope_milli<4096>;
};

/* A cancel of a job that is not known: its submission may come later. */
struct dag_withdrawal {
	unsigned hyper job;
	opaque queue<DAG_MAX_NAME>;
};

struct dag_org_job {
	dag_job job;
	dag_name org;
};

/* org: of its sender, empty: none. It concerns no job of another organisation. */
struct dag_org_withdrawal {
	dag_withdrawal withdrawal;
	dag_name org;
};

/* lost: until a record says otherwise, the leader grants the worker no lease. */
struct dag_contact {
	unsigned int worker;
	bool lost;
};

enum dag_command_kind {
	DAG_CMD_CONF = 1,
	DAG_CMD_ZONE = 2,
	DAG_CMD_WORKER = 3,
	DAG_CMD_SUBMIT = 4,
	DAG_CMD_CANCEL = 5,
	DAG_CMD_START = 6,
	DAG_CMD_END = 7,
	DAG_CMD_FORGET = 8,
	DAG_CMD_MODEL = 9,
	DAG_CMD_CONTACT = 10,
	DAG_CMD_BEGUN = 11, /* a worker has begun a task of the job */
	DAG_CMD_WITHDRAW = 12,
	/* Only where organisations are configured. */
	DAG_CMD_ORG_CONF = 13,
	DAG_CMD_ORG_SUBMIT = 14,
	DAG_CMD_ORG_WITHDRAW = 15
};

union dag_command switch (dag_command_kind kind) {
case DAG_CMD_CONF:
	dag_conf conf;
case DAG_CMD_ZONE:
	dag_zone zone;
case DAG_CMD_WORKER:
	dag_worker worker;
case DAG_CMD_SUBMIT:
	dag_job job;
case DAG_CMD_CANCEL:
	unsigned hyper cancel;
case DAG_CMD_START:
	dag_start start;
case DAG_CMD_END:
	dag_end end;
case DAG_CMD_FORGET:
	unsigned hyper forget;
case DAG_CMD_MODEL:
	dag_model model;
case DAG_CMD_CONTACT:
	dag_contact contact;
case DAG_CMD_BEGUN:
	unsigned hyper begun;
case DAG_CMD_WITHDRAW:
	dag_withdrawal withdrawal;
case DAG_CMD_ORG_CONF:
	dag_org_conf org_conf;
case DAG_CMD_ORG_SUBMIT:
	dag_org_job org_job;
case DAG_CMD_ORG_WITHDRAW:
	dag_org_withdrawal org_withdrawal;
};

/* One log entry. time_ms: clock of the leader when it proposed the entry. */
struct dag_batch {
	hyper time_ms;
	dag_command commands<>;
};

/*
 * Snapshot. In the lists of live runs, bit 31 of worker marks one that has ended and is
 * suspected to have crashed its worker; older snapshots have none.
 */
struct dag_image_run {
	unsigned int run;
	unsigned int worker;
};

/*
 * failures: failed runs in the low 16 bits, then workers that crashed under the task in
 * 7 bits, whether its newest run failed, those that crashed under it alone in 4 bits,
 * starts without an answer in 3 bits, and whether the end of its newest run is unlisted;
 * these are zero in older snapshots. live: also the runs that are suspected, see
 * core/dag_state_snapshot.c.
 */
struct dag_image_task {
	unsigned int last_run;
	unsigned int failures;
	bool done;
	dag_image_run live<16>;
	opaque checkpoint<DAG_MAX_NAME>;
};

/* Without steps: a withdrawal of the job, which is not known. */
struct dag_image_job {
	dag_job spec;
	unsigned int state;
	unsigned int attempts;
	bool started;
	hyper ended_ms;
	dag_image_task tasks<>;
};

/* number: bit 31 is set when contact with the worker is lost. */
struct dag_image_worker {
	unsigned int number;
	dag_worker worker;
};

struct dag_image {
	unsigned int next_worker;
	hyper time_ms;
	dag_conf conf;
	dag_name closed_zones<>;
	dag_image_worker workers<>;
	dag_image_job jobs<>;
	dag_model model;
};

struct dag_image_org {
	dag_org_spec spec;
	bool configured;
};

/* org: its index in the image. */
struct dag_image_owner {
	unsigned hyper job;
	unsigned int org;
};

/* position: among all withdrawals, oldest first. */
struct dag_image_withdrawn {
	unsigned int position;
	hyper at_ms;
	dag_org_withdrawal by;
};

/*
 * Follows the dag_image in snapshots of a state with organisations, or with withdrawals
 * that were recorded while some were configured.
 */
struct dag_org_image {
	dag_image_org orgs<>;
	unsigned int public_queues<>;
	dag_image_owner owners<>;
	dag_image_withdrawn withdrawn<>;
};

/* Calls to workers that gateways make for the leader, and their answers. */
enum dag_call_kind {
	DAG_CALL_START = 0,
	DAG_CALL_STOP = 1,
	DAG_CALL_PACE = 2,
	DAG_CALL_LOOK = 3
};

struct dag_call {
	unsigned hyper id;
	dag_call_kind kind;
	unsigned int worker;
	opaque worker_id<DAG_MAX_NAME>;
	opaque address<DAG_MAX_NAME>;
	unsigned hyper token;
	hyper lease_ms;
	dag_task_ref task;
	unsigned int run;
	opaque spec<DAG_MAX_SPEC>;
	opaque checkpoint<DAG_MAX_NAME>;
	unsigned int percent;
	unsigned hyper seen;
	unsigned int wait_ms;
	hyper expires_us; /* on the gateway's clock; it is not made after that */
};

/*
 * leader: where the answers go. life: of the gateway's process, whose clock the calls
 * expire by; another process at its address makes none of them.
 */
struct dag_calls {
	unsigned hyper leader;
	unsigned hyper life;
	dag_call calls<>;
};

struct dag_call_run {
	dag_task_ref task;
	unsigned int run;
	opaque checkpoint<DAG_MAX_NAME>;
	int percent;
	int level;
};

struct dag_call_end {
	unsigned hyper number;
	dag_end end;
};

/* has_look: the lists came and could be read. */
struct dag_call_answer {
	unsigned hyper id;
	int answer;
	bool has_look;
	hyper born_ms;
	hyper clock_ms;
	dag_call_run running<>;
	dag_call_end ended<>;
	bool partial; /* there may be runs and ends that are not listed */
};

struct dag_call_answers {
	dag_call_answer answers<>;
};

/*
 * A gateway that can make calls; id is that of its RPC listener, life a random number of
 * its process.
 */
struct dag_agent {
	unsigned hyper id;
	unsigned hyper life;
	opaque zone<DAG_MAX_NAME>;
	hyper clock_us; /* its clock when it reported */
};

/* Calls of gateways, executors and operators to the leading controller. */
enum dag_request_kind {
	DAG_REQ_SUBMIT = 1,
	DAG_REQ_READ = 2,   /* state of a job, or of a queue when the path names no job */
	DAG_REQ_CANCEL = 3,
	DAG_REQ_REPORT = 4, /* an executor describes itself */
	DAG_REQ_LEAVE = 5,  /* id of an executor */
	DAG_REQ_CONF_PUT = 6,
	DAG_REQ_CONF_GET = 7,
	DAG_REQ_ZONE = 8,
	DAG_REQ_MEMBERS = 9,
	DAG_REQ_AGENT = 10, /* a gateway is there and can make calls */
	DAG_REQ_LEFT = 11,  /* an executor has the answer to LEAVE and has ended */
	/* SUBMIT, READ and CANCEL of a caller that sent a credential. */
	DAG_REQ_ORG_SUBMIT = 12,
	DAG_REQ_ORG_READ = 13,
	DAG_REQ_ORG_CANCEL = 14,
	DAG_REQ_ORG_CONF_PUT = 15 /* a configuration with organisations */
};

/* Host and path as the caller sent them. */
struct dag_target {
	opaque host<DAG_MAX_NAME>;
	opaque path<4096>;
};

struct dag_submit {
	dag_target target;
	dag_job job;
};

/* Empty: the caller sent a malformed one. */
struct dag_credential {
	opaque text<DAG_MAX_CREDENTIAL>;
};

struct dag_org_submit {
	dag_credential credential;
	dag_submit submit;
};

struct dag_org_target {
	dag_credential credential;
	dag_target target;
};

/* clock_ms: the worker's clock when it sent the report. */
struct dag_report {
	dag_worker worker;
	hyper clock_ms;
};

/* born_ms: life of the executor that left, as the reply to LEAVE has it in its text. */
struct dag_left {
	dag_name id;
	hyper born_ms;
};

union dag_request switch (dag_request_kind kind) {
case DAG_REQ_SUBMIT:
	dag_submit submit;
case DAG_REQ_READ:
case DAG_REQ_CANCEL:
	dag_target target;
case DAG_REQ_REPORT:
	dag_report report;
case DAG_REQ_LEAVE:
	dag_name leave;
case DAG_REQ_LEFT:
	dag_left left;
case DAG_REQ_CONF_PUT:
	dag_conf conf;
case DAG_REQ_ZONE:
	dag_zone_order zone;
case DAG_REQ_AGENT:
	dag_agent agent;
case DAG_REQ_ORG_SUBMIT:
	dag_org_submit org_submit;
case DAG_REQ_ORG_READ:
case DAG_REQ_ORG_CANCEL:
	dag_org_target org_target;
case DAG_REQ_ORG_CONF_PUT:
	dag_org_conf org_conf;
case DAG_REQ_CONF_GET:
case DAG_REQ_MEMBERS:
	void;
};

enum dag_outcome {
	DAG_OK = 0,
	DAG_NO_QUEUE = 1,
	DAG_NO_JOB = 2,
	DAG_NO_CONF = 3,
	DAG_REJECTED = 4,   /* not run; again after retry_after_ms */
	DAG_INVALID = 5,
	DAG_NOT_LEADER = 6, /* not run; leader names whom to ask, 0: not known */
	DAG_UNKNOWN = 7,    /* may have run */
	DAG_UNAUTHORIZED = 8, /* no valid credential */
	DAG_CONFLICT = 9    /* the job is another organisation's */
};

enum dag_job_state {
	DAG_JOB_QUEUED = 0,
	DAG_JOB_RUNNING = 1,
	DAG_JOB_COMPLETED = 2,
	DAG_JOB_FAILED = 3,
	DAG_JOB_CANCELLED = 4
};

struct dag_reply {
	dag_outcome outcome;
	unsigned hyper leader;
	unsigned hyper members<DAG_MAX_MEMBERS>;
	unsigned int retry_after_ms;
	bool is_queue;
	dag_job_state state;
	unsigned int waiting;
	opaque text<DAG_MAX_BYTES>;
};
