/* Messages between state processes and the replicated membership; docs/design.md 2.4. */

const REPLICA_WIRE_MAX_BYTES = 4194304;
const REPLICA_WIRE_MAX_ENTRIES = 65536;
const REPLICA_WIRE_MAX_MEMBERS = 16;

struct replica_wire_entry {
	unsigned hyper index;
	unsigned hyper epoch;
	int kind;
	opaque data<REPLICA_WIRE_MAX_BYTES>;
};

struct replica_wire_witness {
	unsigned hyper id;
	unsigned hyper identity;
	unsigned hyper epoch;
	unsigned hyper index;
};

/* Kinds as in enum replica_msg_kind of core/replica.h. */
enum replica_wire_kind {
	REPLICA_WIRE_PREVOTE = 1,
	REPLICA_WIRE_PREVOTE_REPLY = 2,
	REPLICA_WIRE_VOTE = 3,
	REPLICA_WIRE_VOTE_REPLY = 4,
	REPLICA_WIRE_APPEND = 5,
	REPLICA_WIRE_APPEND_REPLY = 6,
	REPLICA_WIRE_SNAPSHOT = 7,
	REPLICA_WIRE_SNAPSHOT_REPLY = 8,
	REPLICA_WIRE_HELLO = 9,
	REPLICA_WIRE_HELLO_REPLY = 10,
	REPLICA_WIRE_JOIN = 11,
	REPLICA_WIRE_HANDOVER = 12,
	REPLICA_WIRE_HANDOVER_VOTE = 13,
	REPLICA_WIRE_LEAVE = 14,
	REPLICA_WIRE_LEAVE_REPLY = 15,
	REPLICA_WIRE_SILENCE = 16
};

/*
 * PREVOTE, VOTE, HANDOVER_VOTE: epoch of the election, end of the candidate's log.
 * HANDOVER: the leader of that epoch has ended its lease; the receiver may stand.
 */
struct replica_wire_ask {
	unsigned hyper epoch;
	unsigned hyper index;
	unsigned hyper index_epoch;
};

/* PREVOTE_REPLY, VOTE_REPLY: granted, epoch of the election, else the voter's own. */
struct replica_wire_grant {
	bool ok;
	unsigned hyper epoch;
};

/*
 * APPEND: index and index_epoch name the entry before the first one sent. No
 * entries: heartbeat.
 */
struct replica_wire_append {
	unsigned hyper epoch;
	unsigned hyper index;
	unsigned hyper index_epoch;
	unsigned hyper commit;
	hyper sent_us;
	struct replica_wire_entry entries<REPLICA_WIRE_MAX_ENTRIES>;
	struct replica_wire_witness witness<REPLICA_WIRE_MAX_MEMBERS>;
};

/*
 * APPEND_REPLY, ok: index is durable and equal to the leader's log up to it. Not
 * ok: index is the one before the entries that were refused, hint the last one that
 * may be equal.
 */
struct replica_wire_append_reply {
	bool ok;
	unsigned hyper epoch;
	unsigned hyper index;
	unsigned hyper hint;
	hyper sent_us;
};

/* SNAPSHOT: one chunk at offset of total bytes. */
struct replica_wire_snapshot {
	unsigned hyper epoch;
	unsigned hyper index;
	unsigned hyper index_epoch;
	unsigned hyper offset;
	unsigned hyper total;
	hyper sent_us;
	opaque chunk<REPLICA_WIRE_MAX_BYTES>;
};

/* SNAPSHOT_REPLY: offset bytes received; offset equal to total: installed, durable. */
struct replica_wire_snapshot_reply {
	bool ok;
	unsigned hyper epoch;
	unsigned hyper index;
	unsigned hyper offset;
	unsigned hyper total;
	hyper sent_us;
};

/*
 * HELLO: the sender restarted with this promise epoch and durable log end; life is a
 * random number of its process. HELLO_REPLY: the highest acknowledgement of it that is
 * known, and the life that asked.
 */
struct replica_wire_hello {
	unsigned hyper life;
	unsigned hyper epoch;
	unsigned hyper index;
};

/* SILENCE: members that have not answered the leader for that long. */
struct replica_wire_silent {
	unsigned hyper id;
	unsigned hyper identity;
	hyper silent_us;
};

struct replica_wire_silence {
	struct replica_wire_silent list<REPLICA_WIRE_MAX_MEMBERS>;
};

/*
 * JOIN: the sender asks for admission. LEAVE: the sender ends soon and gives its place to
 * a learner. LEAVE_REPLY: the sender of LEAVE is no member any more.
 */
union replica_wire_body switch (replica_wire_kind kind) {
case REPLICA_WIRE_PREVOTE:
case REPLICA_WIRE_VOTE:
case REPLICA_WIRE_HANDOVER:
case REPLICA_WIRE_HANDOVER_VOTE:
	struct replica_wire_ask ask;
case REPLICA_WIRE_PREVOTE_REPLY:
case REPLICA_WIRE_VOTE_REPLY:
	struct replica_wire_grant grant;
case REPLICA_WIRE_APPEND:
	struct replica_wire_append append;
case REPLICA_WIRE_APPEND_REPLY:
	struct replica_wire_append_reply append_reply;
case REPLICA_WIRE_SNAPSHOT:
	struct replica_wire_snapshot snapshot;
case REPLICA_WIRE_SNAPSHOT_REPLY:
	struct replica_wire_snapshot_reply snapshot_reply;
case REPLICA_WIRE_HELLO:
case REPLICA_WIRE_HELLO_REPLY:
	struct replica_wire_hello hello;
case REPLICA_WIRE_SILENCE:
	struct replica_wire_silence silence;
case REPLICA_WIRE_JOIN:
case REPLICA_WIRE_LEAVE:
case REPLICA_WIRE_LEAVE_REPLY:
	void;
};

struct replica_wire {
	unsigned hyper from_identity;
	unsigned hyper to_identity;
	struct replica_wire_body body;
};

struct replica_wire_member {
	unsigned hyper id;
	unsigned hyper identity;
	bool voter;
};

/* Data of a membership entry. */
struct replica_wire_members {
	struct replica_wire_member list<REPLICA_WIRE_MAX_MEMBERS>;
};

/* A stored or sent snapshot: the membership at its index, then the state. */
struct replica_wire_image {
	struct replica_wire_members members;
	opaque state<>;
};
