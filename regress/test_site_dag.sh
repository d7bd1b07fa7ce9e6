#!/bin/sh
# Guards the path of graph jobs with real processes: founding from seeds, configuration,
# submissions, a killed leader, a replaced data directory, cancelling, a closed
# availability zone and planned stops. Each task must end as done once and never run
# twice at a time.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
D=$(mktemp -d)
PORT=${SITE_PORT:-25700}
RPC=$PORT CONTROL=$((PORT + 1)) CALLERS=$((PORT + 2)) HEALTH=$((PORT + 3))
bad=0
fail() {
	echo "FAILED: $*"
	bad=1
}
end() {
	for p in "$D"/*.pid; do kill -9 "$(cat "$p")" 2>/dev/null; done
	wait 2>/dev/null # they hold their ports until they have ended
	[ "$bad" -ne 0 ] && tail -n 15 "$D"/*.log
	rm -rf "$D"
	exit $bad
}
trap end EXIT
until_ok() { # SECONDS COMMAND...: repeats the command until it succeeds
	tries=$(($1 * 20))
	shift
	while [ $tries -gt 0 ]; do
		"$@" && return 0
		sleep 0.05
		tries=$((tries - 1))
	done
	return 1
}
settings() { # NAME ROLE ADDRESS FOUND
	printf 'name: %s\nrole: %s\nzone: z1\ncluster-key: k\nfound: %s\nseeds:\n' "$1" "$2" "$4"
	for i in 1 2 3; do printf '  - {address: "127.0.1.%s:%s"}\n' $i $CONTROL; done
	printf 'listen:\n  rpc: "%s:%s"\n' "$3" $RPC
	if [ "$2" = controller ]; then
		printf '  control: "%s:%s"\ndata: "%s"\n' "$3" $CONTROL "$D/$1.data"
	else
		printf '  callers: "%s:%s"\n  health: "%s:%s"\n' "$3" $CALLERS "$3" $HEALTH
	fi
	printf 'workers:\n  lease-ms: 3000\n  report-ms: 500\n  status-s: 600\n'
	printf '  relay-from: %s\n' "${RELAY_FROM:-150}"
}
run() { # NAME
	mkdir -p "$D/$1.data"
	"$BUILD/bin/carawayfrontd" -c "$D/$1.yaml" >>"$D/$1.log" 2>&1 &
	echo $! >"$D/$1.pid"
}
stop() { # NAME SIGNAL
	kill "-$2" "$(cat "$D/$1.pid")"
	wait "$(cat "$D/$1.pid")" 2>/dev/null
}
status() {
	: >"$D/body"
	curl -s -m 3 -o "$D/body" -w '%{http_code}' "$@"
}
caller() { # METHOD PATH [BODY]
	status -X "$1" -H 'Host: h.example' -H 'X-Carawayfront-Deadline-Ms: 3000' \
		${3:+-d "$3"} "http://127.0.2.1:$CALLERS$2"
}
# Asks one controller after the other until the answer is clear; asked has the answers.
ask() { # METHOD PATH [BODY]
	for i in 1 2 3; do
		code=$(status -X "$1" ${3:+-d "$3"} "http://127.0.1.$i:$CONTROL$2")
		echo "$(date +%T.%3N) c$i $code $(cat "$D/body")" >>"$D/asked"
		case $code in 2?? | 400) break ;; esac
	done
	echo "$code"
}
# The same again, more rarely with time, as operators do.
control() { # METHOD PATH [BODY]
	: >"$D/asked"
	for pause in 0.1 0.2 0.4 0.8 1.6 3.2 0; do
		code=$(ask "$@")
		case $code in 2?? | 400) break ;; esac
		sleep $pause
	done
	echo "$code"
}
# An order is taken, and refused before only for a reason that the logs show.
order() { # PATH
	since=$(date -u -d '3 seconds ago' +%FT%T.%3NZ)
	[ "$(control POST "$1")" = 200 ] || fail "$1 not taken: $(cat "$D/asked")"
	[ "$(wc -l <"$D/asked")" -eq 1 ] && return
	cat "$D"/c?.log | awk -v since="time=$since" '
		$1 >= since && /event=(role-changed|order-refused) / { found = 1 }
		END { exit !found }' ||
		fail "$1 refused for no reason: $(cat "$D/asked")"
}
conf() { # VERSION [PREFIX]
	printf '{"version":%s,"routes":[{"name":"q","host":"h.example","path_prefix":"%s","type":"unsafe","timeout_ms":3000,"slo_ms":1000,"priority":0,"service":"%s","attempts":2,"stretch":2.0}],"services":[{"name":"svc","admission_control":%s}],"limits":{}}' \
		"$1" "${2:-/q/}" "${3:-svc}" "${GUARDED:-true}"
}
is() { [ "$("$@")" = 200 ]; }
job_id() { printf '%016x' "$1"; }
job='{"spec":"work","steps":[{"count":4,"cpu":500,"mem_mb":100,"estimate_ms":300},{"count":4,"cpu":500,"mem_mb":100,"estimate_ms":300,"depends_on":[0]}]}'
lasting='{"spec":"lasts","steps":[{"count":3,"cpu":500,"mem_mb":100,"estimate_ms":300,"long_running":true}]}'
submit() { until_ok 10 is caller POST "/q/$(job_id "$1")" "$2"; }
state_is() { # JOB STATE
	caller GET "/q/$(job_id "$1")" >/dev/null
	grep -q "\"state\":\"$2\"" "$D/body"
}
leader() { # name of the controller that leads now
	for i in 1 2 3; do
		kill -0 "$(cat "$D/c$i.pid")" 2>/dev/null || continue
		grep -E 'event=leading-(started|ended)' "$D/c$i.log" | tail -n 1 |
			grep -q leading-started && echo "c$i" && return
	done
}

for i in 1 2 3; do settings c$i controller 127.0.1.$i true >"$D/c$i.yaml"; done
settings g1 gateway 127.0.2.1 false >"$D/g1.yaml"
for n in c1 c2 c3 g1; do run $n; done
"$BUILD/bin/executor" --listen 127.0.3.1:$((PORT + 4)) --count 4 --zone z1 --service svc \
	--control 127.0.1.1:$CONTROL --control 127.0.1.2:$CONTROL --control 127.0.1.3:$CONTROL \
	--work-ms 300 --ledger "$D/ledger" ${ROOM_MS:+--room-ms $ROOM_MS} \
	>"$D/executor.log" 2>&1 &
echo $! >"$D/executor.pid"

# Configuration: taken, read back as sent, an older one changes nothing, a bad one is refused.
until_ok 10 is ask POST /api/config/replace "$(conf 5)" || fail "no configuration taken"
[ "$(control POST /api/config/replace "$(conf 3 /old/)")" = 200 ] || fail "older version refused"
[ "$(control POST /api/config/replace "$(conf 9 /q/ nobody)")" = 400 ] ||
	fail "unknown service taken"
[ "$(control POST /api/config/replace '{"version":9,"rou')" = 400 ] || fail "cut body taken"
control GET /api/config/get >/dev/null
[ "$(cat "$D/body")" = "$(conf 5)" ] || fail "read back: $(cat "$D/body")"
until_ok 5 is status "http://127.0.2.1:$HEALTH/api/ready" || fail "gateway not ready"
[ "$(caller GET /nothing/)" = 404 ] || fail "unknown queue"
[ "$(caller GET "/q/$(job_id 77)")" = 410 ] || fail "unknown job"
[ "$(caller POST "/q/$(job_id 78)" '{"steps":1}')" = 400 ] || fail "bad job taken"

# Jobs while the leader is killed, and again with its data directory lost.
submit 900 "$lasting" || fail "lasting job refused"
for i in 1 2 3 4; do submit $i "$job" || fail "job $i refused"; done
[ "$(caller POST "/q/$(job_id 1)" "$job")" = 200 ] || fail "job sent again refused"
killed=$(leader)
stop "$killed" KILL
for i in 5 6 7 8; do submit $i "$job" || fail "job $i refused after a kill"; done
rm -rf "$D/$killed.data"
lines=$(wc -l <"$D/$killed.log")
settings "$killed" controller 127.0.1."${killed#c}" false >"$D/$killed.yaml"
run "$killed"
for i in 1 2 3 4 5 6 7 8; do
	until_ok 20 state_is $i completed || fail "job $i: $(cat "$D/body")"
done
admitted() { tail -n +$((lines + 1)) "$D/$killed.log" | grep -q 'event=role-changed role=1'; }
until_ok 10 admitted || fail "$killed is not admitted again"
control GET /api/config/get >/dev/null
[ "$(cat "$D/body")" = "$(conf 5)" ] || fail "configuration lost"

# A closed availability zone gets nothing new.
order /api/evacuate/z1/start
submit 20 "$job" || fail "job 20 refused"
sleep 1
state_is 20 queued || fail "job 20 in a closed zone: $(cat "$D/body")"
order /api/evacuate/z1/finish
until_ok 10 state_is 20 completed || fail "job 20: $(cat "$D/body")"

# A leader that is paused beyond its lease sends nothing on its old epoch when it wakes.
for i in 21 22 23 24 25 26 27 28; do submit $i "$job" || fail "job $i refused"; done
leads() { # NAME: its newest role is that of the leader
	grep 'event=role-changed' "$D/$1.log" | tail -n 1 | grep -q 'role=4'
}
for i in 1 2 3; do leads c$i && frozen=c$i; done
sleep 0.28 # tasks end, so that polls are due
kill -STOP "$(cat "$D/$frozen.pid")"
elected() {
	for i in 1 2 3; do
		[ "c$i" != "$frozen" ] && leads c$i && return 0
	done
	return 1
}
until_ok 10 elected || fail "no leader beside a paused one"
for i in 31 32; do submit $i "$job" || fail "job $i refused beside a paused leader"; done
sleep 2
kill -CONT "$(cat "$D/$frozen.pid")"
for i in 21 22 23 24 25 26 27 28 31 32; do
	until_ok 20 state_is $i completed || fail "job $i: $(cat "$D/body")"
done
leads "$frozen" && fail "the paused leader still leads"
# A token has the epoch above 28 bits. A leader may fence earlier calls of its own.
awk '$1 == "fenced" && int($3 / 2 ^ 28) < int($5 / 2 ^ 28)' "$D/ledger" >"$D/ended-epoch"
[ -s "$D/ended-epoch" ] && fail "commands on an ended epoch: $(head -n 3 "$D/ended-epoch")"

# Cancelling ends the lasting tasks.
[ "$(caller DELETE "/q/$(job_id 900)")" = 200 ] || fail "not cancelled"
ended() { [ "$(grep -c "^end $(job_id 900)" "$D/ledger")" -ge 3 ]; }
until_ok 5 ended || fail "lasting tasks go on"
state_is 900 cancelled || fail "state after cancelling: $(cat "$D/body")"

# Planned stops: one after the other, each ends without an error.
for n in c1 c2 c3 g1; do
	kill -TERM "$(cat "$D/$n.pid")"
	wait "$(cat "$D/$n.pid")" || fail "$n ended with an error"
	grep -q 'event=stopped error="ok"' "$D/$n.log" || fail "$n did not stop as planned"
	run $n
	until_ok 10 is status "http://127.0.2.1:$HEALTH/api/ready" || fail "not ready after $n"
done
submit 30 "$job" || fail "job 30 refused"
until_ok 10 state_is 30 completed || fail "job 30: $(cat "$D/body")"

# The ledger: no task runs twice at a time, none again after it was done.
awk '$1 == "start" { if (run[$2]++) print "twice:", $0; if (($2 in done) && $5 != "lasts") print "again:", $0 }
     $1 == "end" { run[$2]--; if ($5 == "done") done[$2]++ }
     END { for (t in done) n++; if (n != 8 * 20) print "tasks done:", n }' "$D/ledger" \
	>"$D/checks"
[ -s "$D/checks" ] && fail "ledger: $(head -n 5 "$D/checks")"

# No start brings an executor over its room; one that has shrunk counts 3 s and one report
# later. Each task needs 500 of it.
awk '$1 == "room" { past[$4] = past[$4] " " $6 ":" (($4 in room) ? room[$4] : 8000); room[$4] = $2 }
     $1 == "end" { used[$4] -= 500 }
     $1 == "start" {
         used[$4] += 500
         most = ($4 in room) ? room[$4] : 8000
         n = split(past[$4], p, " ")
         for (i = 1; i <= n; i++) {
             split(p[i], x, ":")
             if (x[1] > $6 - 3500 && x[2] > most) most = x[2]
         }
         if (used[$4] > most) print "room:", $0, "used", used[$4], "of", most
     }' "$D/ledger" >"$D/rooms"
[ -s "$D/rooms" ] && fail "ledger: $(head -n 5 "$D/rooms")"
[ "$bad" -eq 0 ] && echo "site dag: ok"
