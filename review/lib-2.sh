# Shell functions of the scripts of review/6 to review/10: a small deployment on loopback
# addresses with the commands of the deploy file and settings like those of its templates.
# Five controllers and two gateways; the executors are those of standins-2.
#
# A script sets CASE_NUMBER and may set the figures below before start_site.

cd "$(dirname "$0")/../.." || exit 2
TROUBLE=${TROUBLE:-1}
BIN=target/bin
RECORD=review/$CASE_NUMBER/record.txt
LEASE_MS=10000  # hold_max_ms
REPORT_MS=1100  # heartbeat_ms
GANG_MS=3000    # gang_ms
SAVES_MS=2000   # checkpoint_interval_s
N_EXECUTORS=8
N_RACKS=4
CPU=8000
MEM=16000
ATTEMPTS=3
D=$(mktemp -d)
verdict=2

note() { echo "$(date +%s%3N) $*" >>"$RECORD"; }
end_all() {
	trap '' EXIT INT TERM
	exec 2>/dev/null
	for p in "$D"/*.pid; do
		[ -e "$p" ] && kill -CONT "$(cat "$p")" 2>/dev/null
		[ -e "$p" ] && kill -KILL "$(cat "$p")" 2>/dev/null
	done
	wait 2>/dev/null
	note "verdict $verdict"
	[ -n "${KEEP:-}" ] && cp -r "$D" "$KEEP"
	rm -rf "$D"
	exit $verdict
}
trap end_all EXIT INT TERM
give_up() {
	echo "cannot run: $*"
	note "cannot run: $*"
	verdict=2
	exit 2
}
now_ms() { date +%s%3N; }
start() { # NAME COMMAND...
	started=$1
	shift
	"$@" >>"$D/$started.log" 2>&1 &
	echo $! >"$D/$started.pid"
}
settings() { # NAME FOUND
	digit=${1#?}
	case $1 in
	c*) host=127.0.1.$digit ;;
	g*) host=127.0.2.$digit ;;
	esac
	printf 'name: "%s"\nzone: "z%s"\ncluster-key: carawayfront\nseeds:\n' \
		"$1" $(((digit - 1) % 3 + 1))
	for i in 1 2 3; do printf '  - {address: "127.0.1.%s:%s"}\n' $i "$CONTROL"; done
	case $1 in
	c*)
		printf 'role: controller\nfound: %s\ndata: "%s"\n' "$2" "$D/$1.data"
		printf 'listen:\n  rpc: "%s:%s"\n  control: "%s:%s"\n' "$host" "$RPC" "$host" "$CONTROL"
		printf 'workers:\n  lease-ms: %s\n  report-ms: %s\n  status-s: 120\n' \
			$LEASE_MS $REPORT_MS
		;;
	g*)
		printf 'role: gateway\nlisten:\n  rpc: "%s:%s"\n  callers: "%s:%s"\n  health: "%s:%s"\n' \
			"$host" "$RPC" "$host" "$CALLERS" "$host" "$HEALTH"
		;;
	esac
}
run_daemon() { # NAME: with the command of the deploy file and a settings file of its own
	mkdir -p "$D/$1.data"
	start "$1" $BIN/carawayfrontd -c "$D/$1.yaml"
}
conf() { # [VERSION [ROUTE]]
	printf '{"version":%s,"routes":[{"name":"%s","host":"h.example","path_prefix":"/q/","type":"unsafe","timeout_ms":3000,"slo_ms":1000,"priority":0,"service":"svc","attempts":%s,"stretch":2.0}],"services":[{"name":"svc","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,"admission_control":true,"spare":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}' \
		"${1:-1}" "${2:-r-1}" $ATTEMPTS
}
control() { # METHOD PATH [BODY]: at each controller in turn until one answers 200
	for c in 1 2 3 4 5; do
		answer=$($BIN/call2 "$1" "http://127.0.1.$c:$CONTROL$2" control ${3:+"$3"})
		[ "${answer%% *}" = 200 ] && return 0
	done
	return 1
}
call() { # METHOD PATH [BODY]: at the gateways in turn; sets status and answer; is recorded
	gateway=$((${gateway:-0} % 2 + 1))
	note "request $1 $2 ${3:+"$3"}"
	answer=$($BIN/call2 "$1" "http://127.0.2.$gateway:$CALLERS$2" h.example ${3:+"$3"})
	status=${answer%% *}
	note "answer $1 $2 $answer"
}
submit() { # ID BODY: as PROTOCOL.md says, again after no response, 502, 503 and 504
	for _ in 1 2 3 4 5 6 7 8 9 10; do
		call POST "/q/$1" "$2"
		case $status in 2??) return 0 ;; 4??) return 1 ;; esac
		sleep 0.3
	done
	return 1
}
state_of() { # ID: sets state
	call GET "/q/$1"
	state=$(printf '%s' "$answer" | sed -n 's/.*"state":"\([a-z]*\)".*/\1/p')
	[ -n "$state" ] || state=$status
}
executors() { # OPTIONS...
	mkfifo "$D/commands"
	controls=
	for c in 1 2 3 4 5; do controls="$controls --control 127.0.1.$c:$CONTROL"; done
	start executors $BIN/executors2 --listen "127.0.3.1:$WORK" --count $N_EXECUTORS $controls \
		--service svc --zones 3 --racks $N_RACKS --cpu $CPU --mem $MEM --hold-max-ms $LEASE_MS \
		--gang-ms $GANG_MS --saves-ms $SAVES_MS --report-ms $REPORT_MS \
		--commands "$D/commands" --record "$RECORD" "$@"
	sleep 0.2
	exec 9>"$D/commands"
}
order() { # COMMAND of executors2
	note "trouble $*"
	echo "$*" >&9
}
start_site() {
	[ -x $BIN/carawayfrontd ] && [ -x $BIN/executors2 ] && [ -x $BIN/call2 ] ||
		give_up "not built: run the build of the deploy file and review/build-2.sh"
	: >"$RECORD"
	RPC=$($BIN/call2 port 60) || give_up "no free ports"
	CONTROL=$((RPC + 1)) CALLERS=$((RPC + 2)) HEALTH=$((RPC + 3)) WORK=$((RPC + 10))
	note "site: trouble=$TROUBLE ports from $RPC"
	for n in c1 c2 c3 c4 c5 g1 g2; do
		settings $n true >"$D/$n.yaml"
		run_daemon $n
	done
	executors
	for _ in $(seq 100); do
		control POST /api/config/replace "$(conf)" && break
		sleep 0.2
	done
	case $answer in 200*) ;; *) give_up "no configuration: $answer" ;; esac
	for _ in $(seq 100); do
		call GET /q/
		[ "$status" = 200 ] && break
		sleep 0.2
	done
	[ "$status" = 200 ] || give_up "the gateways do not answer: $answer"
	for n in c1 c2 c3 c4 c5; do settings $n false >"$D/$n.yaml"; done
	sleep 4 # all five vote, and the executors are known
}
