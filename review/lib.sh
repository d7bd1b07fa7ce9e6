# Shell functions of the review's scripts: a small deployment on loopback addresses, with
# the commands of the deploy file and its templates filled in.
#
# A script sets NAME, calls site_start, and ends with site_verdict BROKEN.

BIN=target/bin
CASE=$(cd "$(dirname "$0")" && pwd)
cd "$CASE/../.." || exit 2
TROUBLE=${TROUBLE:-1}
D=$(mktemp -d)
RECORD=$CASE/record.txt
: >"$RECORD"
: >"$D/ledger"
LEASE_MS=10000   # hold_max_ms of the site
REPORT_MS=1500   # heartbeat_ms of the site
N_CONTROLLERS=5
N_GATEWAYS=2
HOST=h.example

now_ms() { date +%s%3N; }
say() { echo "$(now_ms) $*" >>"$RECORD"; }
site_end() {
	for p in "$D"/*.pid; do
		[ -e "$p" ] || continue
		kill -CONT "$(cat "$p")" 2>/dev/null
		kill -KILL "$(cat "$p")" 2>/dev/null
	done
	for p in "$D"/*.pid; do
		while [ -e "$p" ] && kill -0 "$(cat "$p")" 2>/dev/null; do sleep 0.05; done
	done
	[ -n "${KEEP_LOGS:-}" ] && cp -r "$D" "$KEEP_LOGS"
	rm -rf "$D"
}
cannot_run() {
	say "cannot run: $*"
	echo "cannot run: $*" >&2
	exit 2
}
trap site_end EXIT
trap 'exit 2' INT TERM
for p in carawayfrontd faultproxy review-executor review-client; do
	[ -x "$BIN/$p" ] || cannot_run "$BIN/$p is missing: build the deploy file, then review/build.sh"
done

until_ok() { # SECONDS COMMAND...: repeats the command until it succeeds
	local until=$(($(now_ms) + $1 * 1000))
	shift
	while [ "$(now_ms)" -lt $until ]; do
		"$@" && return 0
		sleep 0.05
	done
	return 1
}
launch() { # PROCESS COMMAND...
	local process=$1
	shift
	"$@" >>"$D/$process.log" 2>&1 &
	echo $! >"$D/$process.pid"
	disown 2>/dev/null || : # no message when it is killed
}
pid_of() { cat "$D/$1.pid"; }

# Ports are the same on all machines of a deployment; addresses are loopback ones.
listens() { # ADDRESS:PORT: whether something accepts there
	"$BIN/review-client" GET "http://$1/" - 300 | grep -qv '^0 '
}
choose_ports() {
	PORT=$((12000 + $$ % 1700 * 10))
	while listens "127.0.1.1:$((PORT + 1))" || listens "127.0.3.1:$((PORT + 4))"; do
		PORT=$((PORT + 10))
	done
	RPC=$PORT CONTROL=$((PORT + 1)) CALLERS=$((PORT + 2)) HEALTH=$((PORT + 3))
	EXEC=$((PORT + 4)) PROXY=127.0.9.1:$((PORT + 5))
}
SEEDS="1 2 3" # controllers that the settings name
seeds() { local i; for i in $SEEDS; do printf '  - {address: "127.0.1.%s:%s"}\n' $i $CONTROL; done; }
controller_settings() { # NUMBER FOUND: deploy/controller.yaml filled in
	printf 'name: "c%s"\nrole: controller\nzone: "z%s"\ncluster-key: carawayfront\n' \
		"$1" $((($1 - 1) % 3 + 1))
	printf 'found: %s\nseeds:\n' "$2"
	seeds
	printf 'listen:\n  rpc: "127.0.1.%s:%s"\n  control: "127.0.1.%s:%s"\n' \
		"$1" $RPC "$1" $CONTROL
	printf 'data: "%s"\nworkers:\n  lease-ms: %s\n  report-ms: %s\n  status-s: 120\n' \
		"$D/c$1.data" $LEASE_MS $REPORT_MS
}
gateway_settings() { # NUMBER: deploy/gateway.yaml filled in
	printf 'name: "g%s"\nrole: gateway\nzone: "z%s"\ncluster-key: carawayfront\nseeds:\n' \
		"$1" $((($1 - 1) % 3 + 1))
	seeds
	printf 'listen:\n  rpc: "127.0.2.%s:%s"\n  callers: "127.0.2.%s:%s"\n' \
		"$1" $RPC "$1" $CALLERS
	printf '  health: "127.0.2.%s:%s"\n' "$1" $HEALTH
}
# The fields of a config that the scripts differ in: QUEUE_ATTEMPTS.
config() { # VERSION
	printf '{"version":%s,"routes":[{"name":"q","host":"%s","path_prefix":"/q/","type":"unsafe","timeout_ms":3000,"slo_ms":1000,"priority":0,"service":"svc","attempts":%s,"stretch":2.0}],"services":[{"name":"svc","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,"admission_control":true,"spare":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}' \
		"$1" $HOST "${QUEUE_ATTEMPTS:-4}"
}
control() { # METHOD PATH [BODY]: one controller after the other, as operators do
	local i
	for i in ${LIVE:-$(seq $N_CONTROLLERS)}; do
		answer=$("$BIN/review-client" "$1" "http://127.0.1.$i:$CONTROL$2" - 1000 ${3:+"$3"})
		case $answer in 200*) return 0 ;; esac
	done
	return 1
}
caller() { # GATEWAY METHOD PATH [BODY]: prints the status and the body
	"$BIN/review-client" "$2" "http://127.0.2.$1:$CALLERS$3" $HOST "${CALLER_MS:-3000}" \
		${4:+"$4"}
}
job_id() { printf '%016x' "$1"; }
submit_once() { # GATEWAY NUMBER BODY
	answer=$(caller "$1" POST "/q/$(job_id "$2")" "$3")
	say "POST $(job_id "$2") gateway $1: ${answer%% *}"
	case $answer in 200*) return 0 ;; esac
	return 1
}
submit() { # NUMBER BODY: as requesters do, the same again until it is accepted
	until_ok 5 submit_once $(($1 % N_GATEWAYS + 1)) "$1" "$2"
}
state_of() { # NUMBER: prints the state, or the status if there is none
	answer=$(caller 1 GET "/q/$(job_id "$1")")
	case $answer in
	200*state*) echo "$answer" | sed 's/.*"state":"\([a-z]*\)".*/\1/' ;;
	*) echo "${answer%% *}" ;;
	esac
}
controls() { local i; for i in $(seq ${MAX_CONTROLLERS:-$N_CONTROLLERS}); do printf ' --control 127.0.1.%s:%s' "$i" $CONTROL; done; }
executor() { # NUMBER [OPTION...]: a process of its own
	local number=$1
	shift
	# shellcheck disable=SC2046
	launch "x$number" "$BIN/review-executor" --listen "127.0.3.$number:$EXEC" \
		--service svc --zone "z$(((number - 1) % 3 + 1))" --report-ms $REPORT_MS \
		--ledger "$D/ledger" $(controls) "$@"
}
gateway_ready() {
	case $("$BIN/review-client" GET "http://127.0.2.$1:$HEALTH/api/ready" - 1000) in
	200*) return 0 ;;
	esac
	return 1
}
leaders() { grep -h -c 'event=leading-started' "$D"/c*.log | awk '{ n += $1 } END { print n }'; }
site_start() {
	local i
	choose_ports
	for i in $(seq $N_CONTROLLERS); do
		controller_settings "$i" true >"$D/c$i.yaml"
		mkdir "$D/c$i.data"
		launch "c$i" "$BIN/carawayfrontd" -c "$D/c$i.yaml"
	done
	for i in $(seq $N_GATEWAYS); do
		gateway_settings "$i" >"$D/g$i.yaml"
		launch "g$i" "$BIN/carawayfrontd" -c "$D/g$i.yaml"
	done
	until_ok 10 control POST /api/config/replace "$(config 1)" || cannot_run "no config taken"
	say "config 1 acknowledged"
	for i in $(seq $N_GATEWAYS); do
		until_ok 10 gateway_ready "$i" || cannot_run "gateway $i is not ready"
	done
	say "started: $N_CONTROLLERS controllers, $N_GATEWAYS gateways; TROUBLE=$TROUBLE"
}
# Executors that the leader can use: it has polled them.
executors_known() { # NUMBER
	[ "$(grep -h 'event=worker-report' "$D"/c*.log | sed 's/.*worker=\([^ ]*\).*/\1/' | sort -u | wc -l)" -ge "$1" ]
}
site_verdict() { # FILE: a line for each break of the rule
	say "leaderships: $(leaders)"
	{
		echo "--- executors: MILLISECONDS EVENT TASK RUN EXECUTOR DETAIL"
		cat "$D/ledger"
		echo "--- breaks"
		cat "$1"
	} >>"$RECORD"
	if [ -s "$1" ]; then
		echo "BROKEN: $(wc -l <"$1") breaks; the first ones:"
		head -n 5 "$1"
		exit 1
	fi
	echo "held"
	exit 0
}
