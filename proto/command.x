/* Commands of the replicated state machine; see docs/design.md 2.5. */

const CMD_MAX_NAME = 64;
const CMD_MAX_PATH = 256;
const CMD_MAX_TEXT = 1048576;
const CMD_MAX_FIELDS = 1024;
const CMD_MAX_VALUE = 4096;

enum command_kind {
	CMD_NOP = 0,
	CMD_CONF_PUT = 1,
	CMD_CONF_DELETE = 2,
	CMD_JOB_SUBMIT = 3,
	CMD_JOB_CANCEL = 4,
	CMD_TASK = 5
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

struct command_job_submit {
	opaque team<CMD_MAX_NAME>;
	opaque request_id<CMD_MAX_NAME>;
	struct command_fields fields;
};

struct command_job_cancel {
	opaque team<CMD_MAX_NAME>;
	opaque job<CMD_MAX_NAME>;
	opaque request_id<CMD_MAX_NAME>;
};

enum task_state {
	TASK_WAITING = 0,
	TASK_PLACED = 1,
	TASK_RUNNING = 2,
	TASK_DONE = 3,
	TASK_FAILED = 4,
	TASK_CANCELLED = 5
};

/* New state of one task. */
struct command_task {
	opaque team<CMD_MAX_NAME>;
	opaque job<CMD_MAX_NAME>;
	unsigned int task;
	unsigned int attempt;
	enum task_state state;
	opaque worker<CMD_MAX_NAME>;
	int exit_code;
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
};

struct command {
	unsigned hyper time_us;
	struct command_body body;
};

/* revision: of the document or job that the command made or that won against it. */
struct command_result {
	int err;
	unsigned hyper revision;
	opaque detail<CMD_MAX_TEXT>;
};
