# Shell functions that run a small site on loopback; sourced by the demonstration and
# by the test scripts. Needs BUILD, SITE_DIR (work directory) and SITE_PORT (first of
# 100 free ports).

SITE_STATE=${SITE_STATE:-"s1 s2 s3"}
SITE_ENTRIES=${SITE_ENTRIES:-"e1 e2"}
SITE_TOKEN=guild-operator-token
SITE_TOKEN2=pinecrest-operator-token
SITE_PIDS=

# site_memory_dir: makes SITE_DIR, on a file system without a disk when there is one.
site_memory_dir() {
	if [ -w /dev/shm ]; then
		SITE_DIR=$(mktemp -d -p /dev/shm)
	else
		SITE_DIR=$(mktemp -d)
	fi
}

# site_port KIND NAME: RPC, callers or control port of a process.
site_port() {
	n=${2#?}
	case $1-$2 in
	rpc-s*) echo $((SITE_PORT + n)) ;;
	rpc-e*) echo $((SITE_PORT + 10 + n)) ;;
	control-s*) echo $((SITE_PORT + 20 + n)) ;;
	control-e*) echo $((SITE_PORT + 30 + n)) ;;
	callers-e*) echo $((SITE_PORT + 40 + n)) ;;
	esac
}

# site_proxy_port SOURCE TARGET: port at which SOURCE reaches TARGET through the proxy.
site_proxy_port() {
	echo $((SITE_PORT + 100 + 10 * $(site_number "$1") + $(site_number "$2")))
}

site_number() {
	case $1 in
	s*) echo "${1#s}" ;;
	e*) echo $((5 + ${1#e})) ;;
	esac
}

site_sha256() {
	printf '%s' "$1" | sha256sum | cut -d' ' -f1
}

# site_settings NAME ROLE ZONE: writes the settings file of a process. With SITE_PROXIED
# its peers are reached through the fault-injecting proxy.
site_settings() {
	peer_port() {
		if [ "${SITE_PROXIED:-}" ] && [ "$1" != "$2" ]; then
			site_proxy_port "$1" "$2"
		else
			site_port rpc "$2"
		fi
	}
	{
		echo "name: $1"
		echo "role: $2"
		echo "zone: $3"
		echo "cluster-key: demo-cluster-key"
		echo "state:"
		for s in $SITE_STATE; do
			echo "  - {name: $s, address: 127.0.0.1:$(peer_port "$1" "$s")}"
		done
		echo "entries:"
		for e in $SITE_ENTRIES; do
			echo "  - {name: $e, address: 127.0.0.1:$(peer_port "$1" "$e")}"
		done
		echo "listen:"
		echo "  rpc: 127.0.0.1:$(site_port rpc "$1")"
		echo "  control: 127.0.0.1:$(site_port control "$1")"
		[ "$2" = entry ] && echo "  callers: 127.0.0.1:$(site_port callers "$1")"
		[ "$2" = state ] && echo "data: $SITE_DIR/$1.data"
		echo "teams:"
		echo "  - {name: guild, token-sha256: $(site_sha256 $SITE_TOKEN)}"
		echo "  - {name: pinecrest, token-sha256: $(site_sha256 $SITE_TOKEN2)}"
		[ -n "${SITE_LIMITS:-}" ] && printf 'limits: %s\n' "$SITE_LIMITS"
		true
	} >"$SITE_DIR/$1.yaml"
}

# site_run NAME [OPTION...]: starts a daemon; its process id is in $SITE_DIR/NAME.pid.
site_run() {
	name=$1
	shift
	"${SITE_DAEMON:-$BUILD/bin/carawayfrontd}" -c "$SITE_DIR/$name.yaml" "$@" >>"$SITE_DIR/$name.log" 2>&1 &
	echo $! >"$SITE_DIR/$name.pid"
}

# site_spawn NAME COMMAND...: starts a stand-in in the background.
site_spawn() {
	name=$1
	shift
	"$@" >>"$SITE_DIR/$name.log" 2>&1 &
	echo $! >"$SITE_DIR/$name.pid"
}

site_signal() { # NAME SIGNAL
	kill -"$2" "$(cat "$SITE_DIR/$1.pid")" 2>/dev/null
}

# site_wait NAME: waits for the end of a process and gives its exit status.
site_wait() {
	wait "$(cat "$SITE_DIR/$1.pid")"
}

# site_until SECONDS COMMAND...: repeats a command until it succeeds.
site_until() {
	tries=$(($1 * 20))
	shift
	while ! "$@" >/dev/null 2>&1; do
		tries=$((tries - 1))
		[ $tries -le 0 ] && return 1
		sleep 0.05
	done
}

site_healthy() {
	curl -sf -m 2 "http://127.0.0.1:$(site_port control "$1")/healthz"
}

# site_proxy: starts the fault-injecting proxy with one pair for each direction.
site_proxy() {
	pairs=
	for a in $SITE_STATE $SITE_ENTRIES; do
		for b in $SITE_STATE $SITE_ENTRIES; do
			[ "$a" = "$b" ] && continue
			pairs="$pairs --pair $a-$b=127.0.0.1:$(site_proxy_port "$a" "$b")=127.0.0.1:$(site_port rpc "$b")"
		done
	done
	site_spawn proxy "$BUILD/bin/faultproxy" --control 127.0.0.1:$((SITE_PORT + 99)) $pairs
}

# site_fault COMMAND ARGUMENTS...: a command of the proxy, such as "cut s1-s2".
site_fault() {
	curl -s -m 5 "http://127.0.0.1:$((SITE_PORT + 99))/$(echo "$*" | tr ' ' '/')" >/dev/null
}

# site_isolate COMMAND NAME: applies cut or heal to every link of a process.
site_isolate() {
	for b in $SITE_STATE $SITE_ENTRIES; do
		[ "$b" = "$2" ] && continue
		site_fault "$1" "$2-$b"
		site_fault "$1" "$b-$2"
	done
}

# site_voters: succeeds when every state process is a voter.
site_voters() {
	members=$(curl -s -m 2 "http://127.0.0.1:$(site_port control e1)/v1/members")
	for s in $SITE_STATE; do
		case $members in
		*"\"name\":\"$s\",\"voter\":true"*) ;;
		*) return 1 ;;
		esac
	done
}

# site_start: starts the state processes, then the entry processes, and waits until all
# serve and vote. The first state process founds the cluster when its data directory is
# new; until all are voters the loss of one may stop the others.
site_start() {
	mkdir -p "$SITE_DIR"
	[ "${SITE_PROXIED:-}" ] && site_proxy
	zones="joburg-a midrand-b pretoria-c"
	for p in $SITE_STATE; do
		site_settings "$p" state "$(echo "$zones" | cut -d' ' -f1)"
		opt=
		[ "$p" = s1 ] && [ ! -d "$SITE_DIR/s1.data" ] && opt=-b
		site_run "$p" $opt
	done
	for p in $SITE_ENTRIES; do
		site_settings "$p" entry joburg-a
		site_run "$p"
	done
	for p in $SITE_ENTRIES; do
		site_until 20 site_healthy "$p" || return 1
	done
	site_until 20 site_voters
}

# site_put ENTRY TEAM TOKEN PATH REVISION BODY
site_put() {
	curl -s -m 10 -X PUT -H "Authorization: Bearer $3" -H "If-Match: $5" \
		-H "Request-Id: ${SITE_REQUEST_ID:-$(cat /proc/sys/kernel/random/uuid)}" \
		--data-binary "$6" "http://127.0.0.1:$(site_port control "$1")/v1/conf/$2/$4"
}

site_stop() {
	for f in "$SITE_DIR"/*.pid; do
		kill "$(cat "$f")" 2>/dev/null || true
	done
	wait || true
}

# site_arguments: options for stand-ins, in $controls (announcements, polls) and $entries.
site_arguments() {
	controls=
	entries=
	for e in $SITE_ENTRIES; do
		controls="$controls --control 127.0.0.1:$(site_port control $e)"
		entries="$entries --entry 127.0.0.1:$(site_port callers $e),127.0.0.1:$(site_port control $e)"
	done
}

site_fail() {
	echo "FAILED: $*"
	tail -n 12 "$SITE_DIR"/*.log
	exit 1
}

# site_serves TEAM/SERVICE: waits until every entry process answers for it.
site_serves() {
	for e in $SITE_ENTRIES; do
		site_until 10 curl -sf -m 2 "http://127.0.0.1:$(site_port callers $e)/$1/ready" ||
			site_fail "$e does not serve $1"
	done
}

# site_leader: name of the state process that leads.
site_leader() {
	curl -s -m 3 "http://127.0.0.1:$(site_port control "${1:-e1}")/v1/members" |
		sed -n 's/.*"leader":"\([^"]*\)".*/\1/p'
}

# site_end: stops everything; the files stay when SITE_KEEP is set.
site_end() {
	site_stop
	[ -n "${SITE_KEEP:-}" ] && echo "files: $SITE_DIR" || rm -rf "$SITE_DIR"
}
