# Shell functions of cases 11 to 15: a small site on loopback addresses with the programs
# of the deploy file and settings as its templates give them. Each machine has an address
# of its own, 127.X.Y.Z with X and Y from the process id; the ports are the same on all.
# The caller sets HERE (its folder) and TROUBLE before it reads this file.

ROOT=$(cd "$HERE/../.." && pwd)
BIN=$ROOT/target/bin/carawayfrontd
STANDINS=$ROOT/target/review-3
RECORD=$HERE/record.txt
D=$(mktemp -d)
N_CONTROLLERS=5
N_GATEWAYS=2
NET=127.$((20 + $$ % 200)).$((1 + $$ / 200 % 250))
RPC=17720 CONTROL=18166 CALLERS=18161 HEALTH=18167
HOLD_MAX_MS=10000 STOP_MS=200 REPORT_MS=1100 # bounds of the small sites
: >"$RECORD"

note() { # TEXT: a line of the record
	echo "$(date +%s%3N) $*" >>"$RECORD"
}
now_ms() { date +%s%3N; }
end_site() {
	status=$?
	for p in "$D"/*.pid; do
		[ -e "$p" ] || continue
		kill -CONT "$(cat "$p")" 2>/dev/null
		kill -9 "$(cat "$p")" 2>/dev/null
	done
	for p in "$D"/*.pid; do
		[ -e "$p" ] && wait "$(cat "$p")" 2>/dev/null
	done
	[ -n "${KEEP:-}" ] && cp -r "$D" "$KEEP"
	rm -rf "$D"
	exit $status
}
trap end_site EXIT
trap 'exit 2' INT TERM
cannot() { # the case could not run
	note "cannot run: $*"
	echo "cannot run: $*"
	exit 2
}
until_ok() { # SECONDS COMMAND...: repeats the command until it succeeds
	limit=$(($(now_ms) + $1 * 1000))
	shift
	while ! "$@"; do
		[ "$(now_ms)" -lt "$limit" ] || return 1
		sleep 0.05
	done
}
settings() { # NAME ROLE ADDRESS FOUND
	printf 'name: "%s"\nrole: %s\nzone: "z1"\ncluster-key: carawayfront\n' "$1" "$2"
	[ "$2" = controller ] && printf 'found: %s\n' "$4"
	printf 'seeds:\n'
	for seed in 1 2 3; do printf '  - {address: "%s.%s:%s"}\n' "$NET" $seed $CONTROL; done
	printf 'listen:\n  rpc: "%s:%s"\n  metrics: "%s:19102"\n' "$3" $RPC "$3"
	if [ "$2" = controller ]; then
		printf '  control: "%s:%s"\ndata: "%s"\n' "$3" $CONTROL "$D/$1.data"
		printf 'workers:\n  lease-ms: %s\n  report-ms: %s\n  stop-ms: %s\n' \
			$HOLD_MAX_MS $REPORT_MS $STOP_MS
		printf '  status-s: 120\n  admit-serving: true\n  cross-rack-factor: 1.5\n'
	else
		printf '  callers: "%s:%s"\n  health: "%s:%s"\n' "$3" $CALLERS "$3" $HEALTH
	fi
}
run() { # NAME: a process of the system
	mkdir -p "$D/$1.data"
	(cd "$ROOT" && exec "$BIN" -c "$D/$1.yaml") >>"$D/$1.log" 2>&1 &
	echo $! >"$D/$1.pid"
}
pid_of() { cat "$D/$1.pid"; }
control_args() {
	for i in $(seq $N_CONTROLLERS); do printf ' --control %s.%s:%s' "$NET" "$i" $CONTROL; done
}
executor() { # NAME HOST [OPTION...]: one executor, with the name as its id
	name=$1
	at=$NET.$2:18080
	shift 2
	# shellcheck disable=SC2046
	"$STANDINS/exec" --listen "$at" --id "$name" $(control_args) --service svc --zone z1 \
		--ledger "$RECORD" --report-ms $REPORT_MS --hold-max-ms $HOLD_MAX_MS \
		--stop-ms $STOP_MS "$@" >>"$D/$name.log" 2>&1 &
	echo $! >"$D/$name.pid"
}
crash() { # NAME: its process is killed
	kill -9 "$(pid_of "$1")"
	wait "$(pid_of "$1")" 2>/dev/null
	note "crashed $1"
}
call() { "$STANDINS/call" "$@"; }
control() { # METHOD PATH [BODY]: prints the answer, at any controller that gives a clear one
	for _ in $(seq 40); do
		for c in $(seq $N_CONTROLLERS); do
			answer=$(call "$1" "http://$NET.$c:$CONTROL$2" ${3:+-d "$3"} -m 1000)
			case $answer in 2* | 400* | 409*)
				echo "$answer"
				return
				;;
			esac
		done
		sleep 0.1
	done
	echo "$answer"
}
caller() { # METHOD PATH [BODY]: one request of a caller at the first gateway
	call "$1" "http://$NET.$((N_CONTROLLERS + 1)):$CALLERS$2" ${3:+-d "$3"} \
		-H 'Host: h.example' -H 'X-Carawayfront-Deadline-Ms: 3000' -m 3000
}
submit() { # PATH BODY: until it is accepted
	for _ in $(seq 20); do
		answer=$(caller POST "$1" "$2")
		note "POST $1 -> $answer"
		case $answer in 2*) return 0 ;; 4*) return 1 ;; esac
		sleep 0.3
	done
	return 1
}
state() { # PATH: the state that a GET shows, or the status
	answer=$(caller GET "$1")
	case $answer in
	200*) echo "$answer" | sed -n 's/.*"state":"\([a-z]*\)".*/\1/p' ;;
	*) echo "${answer%% *}" ;;
	esac
}
conf() { # VERSION ATTEMPTS
	printf '{"version":%s,"routes":[{"name":"q","host":"h.example","path_prefix":"/q/","type":"unsafe","timeout_ms":3000,"slo_ms":1000,"priority":0,"service":"svc","attempts":%s,"stretch":2.0}],"services":[{"name":"svc","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,"admission_control":%s,"spare":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}' \
		"$1" "$2" "${GUARDED:-true}"
}
is_ready() { case $(call GET "http://$NET.$((N_CONTROLLERS + 1)):$HEALTH/api/ready" -m 500) in 200*) ;; *) false ;; esac; }
start_site() { # ATTEMPTS
	[ -x "$BIN" ] && [ -x "$STANDINS/exec" ] || cannot "the programs are not built"
	for i in $(seq $N_CONTROLLERS); do
		settings "c$i" controller "$NET.$i" true >"$D/c$i.yaml"
		run "c$i"
	done
	for i in $(seq $N_GATEWAYS); do
		settings "g$i" gateway "$NET.$((N_CONTROLLERS + i))" false >"$D/g$i.yaml"
		run "g$i"
	done
	until_ok 20 is_ready || cannot "no gateway is ready"
	answer=$(control POST /api/config/replace "$(conf 5 "${1:-3}")")
	case $answer in 200*) ;; *) cannot "no configuration is taken: $answer" ;; esac
	note "configuration 5 acknowledged"
}
is_acked() { grep -q "acked $1 ready" "$RECORD"; }
leader() { # name of the controller that leads
	for i in $(seq $N_CONTROLLERS); do
		grep -E 'event=leading-(started|ended)' "$D/c$i.log" | tail -n 1 |
			grep -q leading-started && echo "c$i" && return
	done
}
