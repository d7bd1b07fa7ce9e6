/* Messages between processes of carawayfront; see docs/design.md 2.8. */

const PEER_MAX_NAME = 64;
const PEER_MAX_KEY = 64;
const PEER_MAX_PATH = 256;
const PEER_MAX_BYTES = 4194304;

enum peer_proc {
	PEER_NULL = 0,
	PEER_PROPOSE = 1,
	PEER_WATCH = 2,
	PEER_REPLICA = 3,
	PEER_ANNOUNCE = 4,
	PEER_WORKER = 5,
	PEER_READ = 6
};

/* Body of the call credential. */
struct peer_cred {
	opaque member<PEER_MAX_NAME>;
	opaque key<PEER_MAX_KEY>;
};

struct peer_propose_args {
	opaque command<PEER_MAX_BYTES>;
};

/* err CF_ENOTLEADER: leader names the member to ask, or is empty. */
struct peer_propose_res {
	int err;
	opaque leader<PEER_MAX_NAME>;
	unsigned hyper index;
	opaque result<PEER_MAX_BYTES>;
};

/*
 * The caller is an entry process of this incarnation; the call also shows the leader
 * that it is alive.
 */
struct peer_watch_args {
	unsigned hyper after;
	unsigned int wait_ms;
	unsigned hyper incarnation;
};

/*
 * One changed document; deleted documents have an empty text. Changes arrive in
 * the order of their revisions.
 */
struct peer_change {
	opaque path<>;
	unsigned hyper revision;
	bool deleted;
	opaque text<PEER_MAX_BYTES>;
	opaque fields<PEER_MAX_BYTES>;
};

/*
 * complete: changes is the whole configuration and replaces what the caller has.
 * fresh: the sender confirmed, after it received the call, that no newer
 * configuration was accepted than index.
 */
struct peer_watch_res {
	int err;
	opaque leader<PEER_MAX_NAME>;
	unsigned hyper index;
	bool complete;
	bool fresh;
	struct peer_change changes<>;
};

/*
 * A worker's poll. full: body is its JSON. Otherwise only what changes with every poll
 * is sent, and the leader uses the last body whose state has this hash; it answers
 * CF_ENOENT when it has none.
 */
struct peer_worker_args {
	opaque name<PEER_MAX_NAME>;
	unsigned hyper hash;
	unsigned hyper seq;
	unsigned hyper epoch;
	bool full;
	opaque body<PEER_MAX_BYTES>;
};

struct peer_worker_res {
	int err;
	opaque leader<PEER_MAX_NAME>;
	opaque body<PEER_MAX_BYTES>;
};

enum peer_read_kind {
	PEER_READ_JOB = 1,
	PEER_READ_JOBS = 2,
	PEER_READ_HISTORY = 3,
	PEER_READ_MEMBERS = 4,
	PEER_READ_WORKERS = 5
};

/* name: of the job, or path of the document. */
struct peer_read_args {
	enum peer_read_kind kind;
	opaque team<PEER_MAX_NAME>;
	opaque name<PEER_MAX_PATH>;
};

/* JSON text. */
struct peer_read_res {
	int err;
	opaque leader<PEER_MAX_NAME>;
	opaque body<PEER_MAX_BYTES>;
};
