# Shell functions of the tests of crowds of clients; sourced by regress/test_site_crowd_*.sh.
# They start one gateway and CONTROLLERS controllers (default 1) on loopback addresses,
# send a crowd and check what does not depend on the machine's speed.

BUILD=${BUILD:-build}
# AddressSanitizer keeps up to 256 MB of freed memory, which is not the process's use.
ASAN_OPTIONS=${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=0:thread_local_quarantine_size_kb=0
export ASAN_OPTIONS
D=$(mktemp -d)
PORT=${SITE_PORT:-30500}
RPC=$PORT CONTROL=$((PORT + 1)) CALLERS=$((PORT + 2)) HEALTH=$((PORT + 3)) METRICS=$((PORT + 4))
CONTROLLERS=${CONTROLLERS:-1}
CONNECTIONS=${CONNECTIONS:-512}
MAX_BODY=${MAX_BODY:-1048576}
# What a process may use above its size without a crowd, in kB: 48 MiB for the bodies,
# replies and waiting requests that all of its ports hold together, 20 kB for each
# connection, and 16 MiB for everything else.
BUDGET_KB=49152 CONNECTION_KB=20 ALLOWANCE_KB=16384
# Descriptors that a process may have open above its count without a crowd and
# max-connections: the connections of its other ports.
ALLOWANCE_FDS=100
bad=0
fail() {
	echo "FAILED: $*"
	bad=1
}
crowd_end() {
	for p in "$D"/*.pid; do kill -9 "$(cat "$p")" 2>/dev/null; done
	wait 2>/dev/null # they hold their ports until they have ended
	[ "$bad" -ne 0 ] && tail -n 8 "$D"/*.log
	rm -rf "$D"
	exit $bad
}
trap crowd_end EXIT
until_ok() { # SECONDS COMMAND...: repeats the command until it succeeds
	until_s=$(($(date +%s) + $1))
	shift
	while ! "$@"; do
		[ "$(date +%s)" -ge $until_s ] && return 1
		sleep 0.05
	done
}
settings() { # NAME ROLE ADDRESS FOUND
	printf 'name: %s\nrole: %s\nzone: z1\ncluster-key: k\nfound: %s\nseeds:\n' "$1" "$2" "$4"
	for i in $(seq "$CONTROLLERS"); do printf '  - {address: "127.0.1.%s:%s"}\n' "$i" $CONTROL; done
	printf 'listen:\n  rpc: "%s:%s"\n  metrics: "%s:%s"\n' "$3" $RPC "$3" $METRICS
	if [ "$2" = controller ]; then
		printf '  control: "%s:%s"\ndata: "%s"\n' "$3" $CONTROL "$D/$1.data"
	else
		printf '  callers: "%s:%s"\n  health: "%s:%s"\n' "$3" $CALLERS "$3" $HEALTH
	fi
	printf 'limits: {max-body: %s, max-connections: %s}\n' "$MAX_BODY" "$CONNECTIONS"
}
run() { # NAME
	mkdir -p "$D/$1.data"
	(
		[ -n "${DESCRIPTORS:-}" ] && ulimit -S -n "$DESCRIPTORS"
		exec "$BUILD/bin/carawayfrontd" -c "$D/$1.yaml" >>"$D/$1.log" 2>&1
	) &
	echo $! >"$D/$1.pid"
}
port_of() { # NAME: the address that takes requests
	case $1 in
	g*) echo "127.0.2.1:$CALLERS" ;;
	*) echo "127.0.1.${1#c}:$CONTROL" ;;
	esac
}
memory() { # NAME FIELD: kB
	awk -v field="$2:" '$1 == field { print $2 }' "/proc/$(cat "$D/$1.pid")/status"
}
descriptors() { # NAME
	ls "/proc/$(cat "$D/$1.pid")/fd" 2>/dev/null | wc -l
}
status() {
	: >"$D/body"
	curl -s -m 3 -o "$D/body" -w '%{http_code}' "$@"
}
conf() { # VERSION [FILLER-BYTES]
	printf '{"version":%s,"routes":[{"name":"q","host":"h.example","path_prefix":"/q/","type":"unsafe","timeout_ms":3000,"slo_ms":1000,"priority":0,"service":"svc","attempts":2,"stretch":2.0}],"services":[{"name":"svc"}],"limits":{},"note":"%s"}' \
		"$1" "$(head -c "${2:-1}" /dev/zero | tr '\0' x)"
}
put_conf() { # VERSION [FILLER-BYTES]
	conf "$@" >"$D/conf"
	for i in $(seq "$CONTROLLERS"); do
		[ "$(status --data-binary "@$D/conf" "http://127.0.1.$i:$CONTROL/api/config/replace")" = 200 ] &&
			return 0
	done
	return 1
}
conf_is() { # VERSION
	for i in $(seq "$CONTROLLERS"); do
		[ "$(status "http://127.0.1.$i:$CONTROL/api/config/get")" = 200 ] &&
			grep -q "^{\"version\":$1," "$D/body" && return 0
	done
	return 1
}
# One ordinary request: a job is submitted to a gateway, the configuration read.
serves() { # NAME
	case $1 in
	g*)
		[ "$(status -X POST -H 'Host: h.example' -H 'X-Carawayfront-Deadline-Ms: 3000' \
			-d '{"spec":"work","steps":[{"count":1,"cpu":500,"mem_mb":100,"estimate_ms":300}]}' \
			"http://127.0.2.1:$CALLERS/q/$(printf '%016x' $(($(date +%s%N) % 1000000007)))")" = 200 ]
		;;
	*) [ "$(status "http://$(port_of "$1")/api/config/get")" = 200 ] ;;
	esac
}
lives() { # NAME
	kill -0 "$(cat "$D/$1.pid")" 2>/dev/null
}
names() {
	for i in $(seq "$CONTROLLERS"); do echo "c$i"; done
	echo g1
}
# Starts all and notes the size that they have when each has served a request.
crowd_start() {
	for i in $(seq "$CONTROLLERS"); do settings "c$i" controller "127.0.1.$i" true >"$D/c$i.yaml"; done
	settings g1 gateway 127.0.2.1 false >"$D/g1.yaml"
	for n in $(names); do run "$n"; done
	until_ok 20 put_conf 5 "${CONF_BYTES:-1}" || fail "no configuration taken"
	for n in $(names); do
		until_ok 20 serves "$n" || fail "$n does not serve"
		memory "$n" VmRSS >"$D/$n.idle"
		descriptors "$n" >"$D/$n.fds"
	done
}
# Sends a crowd to a process and records the most descriptors that it has meanwhile.
crowd() { # NAME CROWD-OPTIONS...; without --address it goes to the port of port_of
	name=$1
	shift
	case "$*" in *--address*) ;; *) set -- --address "$(port_of "$name")" "$@" ;; esac
	"$BUILD/bin/crowd" "$@" >"$D/crowd.out" 2>&1 &
	pid=$!
	echo $pid >"$D/crowd.pid"
	while kill -0 $pid 2>/dev/null; do
		lives "$name" && descriptors "$name" >>"$D/$name.open"
		[ -n "${DURING:-}" ] && "$DURING"
		sleep 0.1
	done
	wait $pid || fail "crowd: $(cat "$D/crowd.out")"
	rm "$D/crowd.pid"
	echo "$name: $(cat "$D/crowd.out")"
}
bound_kb() { # NAME
	echo $(($(cat "$D/$1.idle") + BUDGET_KB + CONNECTION_KB * CONNECTIONS + ALLOWANCE_KB))
}
# The process lives, its peak size and its descriptors stayed below the bounds, and it
# answers an ordinary request.
check() { # NAME
	if ! lives "$1"; then
		fail "$1 has ended"
		return
	fi
	peak=$(memory "$1" VmHWM)
	open=$(sort -n "$D/$1.open" 2>/dev/null | tail -n 1)
	most=$(($(cat "$D/$1.fds") + ${MOST_CONNECTIONS:-$CONNECTIONS} + ALLOWANCE_FDS))
	echo "$1: idle $(cat "$D/$1.idle") kB, peak $peak kB of $(bound_kb "$1") kB," \
		"descriptors ${open:-0} of $most"
	[ "$peak" -le "$(bound_kb "$1")" ] || fail "$1 used $peak kB, bound $(bound_kb "$1") kB"
	[ "${open:-0}" -le $most ] || fail "$1 had $open descriptors open, bound $most"
	until_ok 20 serves "$1" || fail "$1 does not answer an ordinary request"
}
# Waits until the connections of the crowd are gone.
crowd_gone() { # NAME
	few() { [ "$(descriptors "$1")" -le $(($(cat "$D/$1.fds") + 20)) ]; }
	until_ok 20 few "$1" || fail "$1 keeps $(descriptors "$1") descriptors"
}
